//! The controllers' processes: how they end, start, stand still and fall behind, and the
//! steps that each takes by itself.

use super::World;
use super::state_link::renew_state_lease;
use cherryyard_core::Controller;
use cherryyard_wire::worker::WorkerHeartbeat;
use std::collections::{BTreeMap, BTreeSet};

/// How long a leader that was ended by [`Processes::leader_ends_every_ms`] is away.
const LEADER_RESTART_MS: f64 = 500.0;

/// The controllers' processes.
#[derive(Debug, Default)]
pub struct Processes {
    /// Controllers that stand still while their clocks run on.
    pub frozen: BTreeSet<usize>,
    /// Event-loop lag of controllers: workers' heartbeats wait this long for their turn,
    /// while what is urgent goes on.
    pub lag_ms: BTreeMap<usize, f64>,
    /// The leader ends this often, and is back half a second later.
    pub leader_ends_every_ms: Option<f64>,
    leader_ends_at: f64,
    queued_heartbeats: Vec<QueuedHeartbeat>,
    restarts: Vec<Restart>,
    /// Which start of each controller runs.
    incarnations: Vec<u64>,
    /// Starts of all controllers so far.
    starts: u64,
}

/// A worker's heartbeat that waits for its turn at a controller that lags.
#[derive(Debug)]
struct QueuedHeartbeat {
    due: f64,
    sent_at: f64,
    controller: usize,
    heartbeat: WorkerHeartbeat,
}

/// When a controller that has ended starts again.
#[derive(Debug)]
struct Restart {
    due: f64,
    controller: usize,
}

impl Processes {
    /// A controller starts: the number of this start among all controllers' starts.
    pub(super) fn begin_incarnation(&mut self, controller: usize) -> u64 {
        self.starts += 1;
        if self.incarnations.len() <= controller {
            self.incarnations.resize(controller + 1, 0);
        }
        self.incarnations[controller] = self.starts;
        self.starts
    }

    /// Which start of a controller was the last one.
    pub(super) fn incarnation(&self, controller: usize) -> u64 {
        self.incarnations[controller]
    }

    /// A heartbeat waits for its turn at a controller that lags.
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
    /// A controller ends.
    pub fn kill(&mut self, i: usize) {
        self.say(format!("node-{i} ends"));
        self.controllers[i] = None;
    }

    /// A controller starts again.
    pub fn start(&mut self, i: usize) {
        self.say(format!("node-{i} starts"));
        self.controllers[i] = Some(self.new_controller(i));
        self.state_link.forget_read(i);
    }

    /// All controllers end and start again.
    pub fn restart_all(&mut self) {
        for i in 0..self.controllers.len() {
            self.kill(i);
            self.start(i);
        }
    }

    /// A controller that runs: neither down nor standing still.
    fn active_controller(&mut self, i: usize) -> Option<&mut Controller> {
        let is_frozen = self.processes.frozen.contains(&i);
        self.controllers[i].as_mut().filter(|_| !is_frozen)
    }

    /// The controller that sent something in this incarnation, if that still runs.
    pub(super) fn same_controller(
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
        controller.queue_passed(now - lag_ms, now);
        self.apply_effects(i);
    }

    /// Each controller sends a heartbeat to all others.
    pub(super) fn exchange_heartbeats(&mut self) {
        let now = self.now;
        for i in 0..self.controllers.len() {
            let Some(controller) = self.active_controller(i) else {
                continue;
            };
            let heartbeat = controller.heartbeat_out(now);
            for k in 0..self.controllers.len() {
                if k != i && self.controllers_connected(i, k) {
                    if let Some(other) = &mut self.controllers[k] {
                        other.heartbeat_in(heartbeat.clone(), now);
                    }
                    self.apply_effects(k);
                }
            }
        }
    }

    /// Workers' heartbeats whose turn it is at controllers that lag.
    pub(super) fn deliver_queued_heartbeats(&mut self) {
        for queued in self.processes.take_due_heartbeats(self.now) {
            self.deliver_heartbeat(queued.controller, &queued.heartbeat, queued.sent_at);
        }
    }

    /// The leader ends, if it is time, and one that has ended is back half a second later.
    pub(super) fn end_and_restart_leaders(&mut self) {
        let Some(every) = self.processes.leader_ends_every_ms else {
            return;
        };
        let now = self.now;
        if now >= self.processes.leader_ends_at
            && let Some(controller) = self.leader()
        {
            self.processes.leader_ends_at = now + every;
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

    /// The first controller that leads.
    pub fn leader(&self) -> Option<usize> {
        let leads = |controller: &Controller| controller.leadership_token().is_some();
        self.controllers
            .iter()
            .position(|controller| controller.as_ref().is_some_and(leads))
    }
}
