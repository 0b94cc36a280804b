//! The controllers' processes: their kills, starts, pauses and lag, and the steps of each
//! process.

use super::World;
use super::state_link::renew_state_lease;
use cherryyard_core::Controller;
use cherryyard_wire::worker::WorkerHeartbeat;
use std::collections::{BTreeMap, BTreeSet};

/// Time until a leader that was killed because of [`Processes::leader_kill_interval_ms`] restarts.
const LEADER_RESTART_MS: f64 = 500.0;

/// State of the controllers' processes.
#[derive(Debug, Default)]
pub struct Processes {
    /// Controllers whose processes are paused while their clocks continue.
    pub frozen: BTreeSet<usize>,
    /// Event-loop lag by controller: workers' heartbeats wait this long before they are
    /// handled, while urgent work is not delayed.
    pub lag_ms: BTreeMap<usize, f64>,
    /// Interval at which the leader is killed, to be restarted half a second later.
    pub leader_kill_interval_ms: Option<f64>,
    next_leader_kill_at: f64,
    queued_heartbeats: Vec<QueuedHeartbeat>,
    restarts: Vec<Restart>,
    /// Number of the latest start of each controller, counted over all controllers.
    incarnations: Vec<u64>,
    /// Number of starts of all controllers so far.
    starts: u64,
}

/// A worker's heartbeat that waits at a controller that lags.
#[derive(Debug)]
struct QueuedHeartbeat {
    due: f64,
    sent_at: f64,
    controller: usize,
    heartbeat: WorkerHeartbeat,
}

/// A scheduled restart of a killed controller.
#[derive(Debug)]
struct Restart {
    due: f64,
    controller: usize,
}

impl Processes {
    /// Records a controller's start, and returns its number among the starts of all
    /// controllers.
    pub(super) fn begin_incarnation(&mut self, controller: usize) -> u64 {
        self.starts += 1;
        if self.incarnations.len() <= controller {
            self.incarnations.resize(controller + 1, 0);
        }
        self.incarnations[controller] = self.starts;
        self.starts
    }

    /// Returns the number of a controller's latest start.
    pub(super) fn incarnation(&self, controller: usize) -> u64 {
        self.incarnations[controller]
    }

    /// Queues a heartbeat at a controller that lags.
    pub(super) fn queue_heartbeat(
        &mut self,
        controller: usize,
        heartbeat: WorkerHeartbeat,
        lag_ms: f64,
        now: f64,
    ) {
        self.queued_heartbeats.push(QueuedHeartbeat {
            due: now + lag_ms,
            sent_at: now,
            controller,
            heartbeat,
        });
    }

    fn take_due_heartbeats(&mut self, now: f64) -> Vec<QueuedHeartbeat> {
        let due = self.queued_heartbeats.extract_if(.., |h| h.due <= now);
        due.collect()
    }
}

impl World {
    /// Kills a controller's process.
    pub fn kill(&mut self, i: usize) {
        self.trace_line(format!("node-{i} ends"));
        self.controllers[i] = None;
    }

    /// Starts a controller's process.
    pub fn start(&mut self, i: usize) {
        self.trace_line(format!("node-{i} starts"));
        self.controllers[i] = Some(self.new_controller(i));
        self.state_link.drop_read(i);
    }

    /// Kills and restarts all controllers, one after the other.
    pub fn restart_all(&mut self) {
        for i in 0..self.controllers.len() {
            self.kill(i);
            self.start(i);
        }
    }

    /// Returns a controller if it is running: neither down nor paused.
    fn active_controller(&mut self, i: usize) -> Option<&mut Controller> {
        let is_frozen = self.processes.frozen.contains(&i);
        self.controllers[i].as_mut().filter(|_| !is_frozen)
    }

    /// Returns the controller if its process is still the one of this incarnation.
    pub(super) fn controller_of_incarnation(
        &mut self,
        i: usize,
        incarnation: u64,
    ) -> Option<&mut Controller> {
        let is_same = self.processes.incarnation(i) == incarnation;
        self.controllers[i].as_mut().filter(|_| is_same)
    }

    pub(super) fn step_controllers(&mut self) {
        for i in 0..self.controllers.len() {
            self.step_controller(i);
        }
    }

    fn step_controller(&mut self, i: usize) {
        let now = self.now;
        let is_frozen = self.processes.frozen.contains(&i);
        let Some(controller) = self.controllers[i].as_mut().filter(|_| !is_frozen) else {
            return;
        };
        if !self.state_link.refused.contains(&i) {
            self.state_link.read(i, &self.state, controller, now);
            renew_state_lease(&mut self.state, controller, now);
        }
        controller.tick(now);
        let lag_ms = self.processes.lag_ms.get(&i).copied().unwrap_or(0.0);
        controller.handle_lag_probe(now - lag_ms, now);
        self.apply_effects(i);
    }

    /// Sends a heartbeat from each controller to all other controllers.
    pub(super) fn exchange_heartbeats(&mut self) {
        let now = self.now;
        for i in 0..self.controllers.len() {
            let Some(controller) = self.active_controller(i) else {
                continue;
            };
            let heartbeat = controller.build_heartbeat(now);
            for k in 0..self.controllers.len() {
                if k != i && self.controllers_connected(i, k) {
                    if let Some(other) = &mut self.controllers[k] {
                        other.handle_peer_heartbeat(heartbeat.clone(), now);
                    }
                    self.apply_effects(k);
                }
            }
        }
    }

    /// Delivers the queued heartbeats that are due at controllers that lag.
    pub(super) fn deliver_queued_heartbeats(&mut self) {
        for queued in self.processes.take_due_heartbeats(self.now) {
            self.deliver_heartbeat(queued.controller, &queued.heartbeat, queued.sent_at);
        }
    }

    /// Kills the leader if its kill interval has passed, and starts killed leaders that are due
    /// for a restart.
    pub(super) fn kill_and_restart_leaders(&mut self) {
        let Some(interval_ms) = self.processes.leader_kill_interval_ms else {
            return;
        };
        let now = self.now;
        if now >= self.processes.next_leader_kill_at
            && let Some(controller) = self.leader()
        {
            self.processes.next_leader_kill_at = now + interval_ms;
            self.kill(controller);
            let due = now + LEADER_RESTART_MS;
            self.processes.restarts.push(Restart { due, controller });
        }
        let due = self.processes.restarts.extract_if(.., |r| r.due <= now);
        for restart in due.collect::<Vec<_>>() {
            if self.controllers[restart.controller].is_none() {
                self.start(restart.controller);
            }
        }
    }

    /// Returns the first controller that has a leadership token.
    pub fn leader(&self) -> Option<usize> {
        let leads = |controller: &Controller| controller.leadership_token().is_some();
        self.controllers
            .iter()
            .position(|controller| controller.as_ref().is_some_and(leads))
    }
}
