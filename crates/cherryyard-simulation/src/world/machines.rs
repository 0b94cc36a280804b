//! Machines: the steps of their workers, heartbeats, direct commands and status queries.

use super::World;
use cherryyard_core::{PushOutcome, Reply};
use cherryyard_wire::worker::{CommandBatch, WorkerHeartbeat};
use std::collections::{BTreeMap, BTreeSet};

/// How long a worker waits for the response to a heartbeat.
const RESPONSE_TIMEOUT_MS: f64 = 4000.0;
/// Time between two heartbeats of a worker.
const HEARTBEAT_INTERVAL_MS: f64 = 2000.0;
/// After what time a worker turns to the controller that it was sent to.
const REDIRECT_MS: f64 = 100.0;
/// After what time a worker turns to another controller by itself.
const RETRY_MS: f64 = 1000.0;

/// The machines themselves, and commands on their way to them.
#[derive(Debug, Default)]
pub struct Machines {
    /// Machines that stand still: what is sent to them directly waits.
    pub hung: BTreeSet<String>,
    /// Machines to which direct commands are held back.
    pub slow_commands: BTreeSet<String>,
    /// Direct commands held back.
    pub held_commands: Vec<HeldCommand>,
    /// Direct status queries to machines so far.
    pub status_queries: usize,
    /// Workers that wait for a response, and since when.
    awaiting_response: BTreeMap<String, f64>,
}

/// Direct commands that are held back on their way to a machine.
#[derive(Clone, Debug)]
pub struct HeldCommand {
    /// The machine's name.
    pub machine: String,
    /// The commands.
    pub request: CommandBatch,
}

/// The machine's name in its address.
fn machine_at(addr: &str) -> &str {
    addr.trim_end_matches(":9000")
}

impl World {
    pub(super) fn step_workers(&mut self) {
        let names: Vec<String> = self.workers.keys().cloned().collect();
        for name in names {
            self.step_worker(&name);
        }
    }

    fn step_worker(&mut self, name: &str) {
        let now = self.now;
        let Some(worker) = self.workers.get_mut(name) else {
            return;
        };
        if self.machines.hung.contains(name) {
            worker.hang(now);
            return;
        }
        if worker.reclaim_at.is_some_and(|at| now >= at) {
            self.workers.remove(name);
            self.say(format!("{name} is taken"));
            return;
        }
        let log = worker.advance(now, &self.checker.services);
        if let Some(&sent_at) = self.machines.awaiting_response.get(name) {
            if now - sent_at > RESPONSE_TIMEOUT_MS {
                self.machines.awaiting_response.remove(name);
                worker.controller = (worker.controller + 1) % self.controllers.len();
                worker.report_at = now + RETRY_MS;
            }
        } else if now >= worker.report_at && self.network.carries_heartbeats_of(name) {
            self.send_heartbeat(name);
        }
        self.say_all(log);
    }

    /// A worker sends a heartbeat, which may be lost or have to wait at its controller.
    fn send_heartbeat(&mut self, name: &str) {
        let now = self.now;
        let Some(worker) = self.workers.get_mut(name) else {
            return;
        };
        worker.report_at = now + HEARTBEAT_INTERVAL_MS;
        let (controller, zone) = (worker.controller, worker.zone.clone());
        let heartbeat = worker.report(now);
        self.duplicates
            .copy(&heartbeat, controller, self.controllers.len(), now);
        self.machines.awaiting_response.insert(name.into(), now);
        if !self.reaches(controller, &zone) {
            return;
        }
        match self.processes.lag_ms.get(&controller).copied() {
            Some(lag_ms) => self
                .processes
                .queue_heartbeat(controller, heartbeat, lag_ms, now),
            None => self.deliver_heartbeat(controller, &heartbeat, now),
        }
    }

    /// A controller takes a heartbeat that was sent at `sent_at`, and responds. A worker
    /// that has given up waiting drops the response.
    pub(super) fn deliver_heartbeat(
        &mut self,
        i: usize,
        heartbeat: &WorkerHeartbeat,
        sent_at: f64,
    ) {
        let now = self.now;
        let is_reachable =
            !self.network.cut_from_workers.contains(&i) && !self.processes.frozen.contains(&i);
        let controller = self.controllers[i].as_mut().filter(|_| is_reachable);
        let reply = controller.map(|controller| controller.handle_worker_heartbeat(heartbeat, now));
        let name = &heartbeat.host;
        let awaits = self.machines.awaiting_response.get(name) == Some(&sent_at);
        let log = if awaits && !self.network.inbound_lost.contains(name) {
            self.deliver_reply(i, heartbeat, sent_at, reply)
        } else {
            Vec::new()
        };
        self.apply_effects(i);
        self.say_all(log);
    }

    /// The reply to a heartbeat, or that there was none, arrives at its worker.
    fn deliver_reply(
        &mut self,
        i: usize,
        heartbeat: &WorkerHeartbeat,
        sent_at: f64,
        reply: Option<Reply>,
    ) -> Vec<String> {
        let now = self.now;
        let Some(worker) = self.workers.get_mut(&heartbeat.host) else {
            return Vec::new();
        };
        self.machines.awaiting_response.remove(&heartbeat.host);
        match reply {
            // The response to a heartbeat of the incarnation before.
            Some(Reply::Answer(_)) if worker.incarnation != heartbeat.incarnation => {
                worker.report_at = now;
            }
            Some(Reply::Answer(response)) => {
                return worker.answered(&response, sent_at, now);
            }
            Some(Reply::Elsewhere(Some(label))) => {
                worker.controller = controller_of_label(&label).expect("a label");
                worker.report_at = now + REDIRECT_MS;
            }
            Some(Reply::Elsewhere(None) | Reply::Unavailable) | None => {
                worker.controller = (i + 1) % self.controllers.len();
                worker.report_at = now + RETRY_MS;
            }
        }
        Vec::new()
    }

    /// A controller sends direct commands to a machine.
    pub(super) fn push(&mut self, i: usize, host: u32, addr: &str, request: CommandBatch) {
        let now = self.now;
        let name = machine_at(addr);
        let is_held = self.machines.slow_commands.contains(name) || !self.reaches_machine(i, name);
        let outcome = if is_held {
            self.machines.held_commands.push(HeldCommand {
                machine: name.into(),
                request: request.clone(),
            });
            PushOutcome::Unknown
        } else if let Some(worker) = self.workers.get_mut(name) {
            let (_, log) = worker.direct(&request, now);
            let status = worker.report(now);
            self.say_all(log);
            PushOutcome::Answered(Box::new(status))
        } else {
            PushOutcome::Unsent
        };
        if let Some(controller) = &mut self.controllers[i] {
            controller.handle_push_outcome(host, &request, outcome, now);
        }
    }

    /// A controller asks a machine for its status.
    pub(super) fn query_status(&mut self, i: usize, host: u32, addr: &str) {
        let now = self.now;
        self.machines.status_queries += 1;
        let name = machine_at(addr);
        let is_reachable =
            self.reaches_machine(i, name) && !self.network.cut_from_workers.contains(&i);
        let worker = self.workers.get_mut(name).filter(|_| is_reachable);
        let status = worker.map(|worker| worker.report(now));
        if let Some(controller) = &mut self.controllers[i] {
            controller.handle_status_answer(host, status.as_ref(), now);
        }
    }

    /// A machine ends with all that is on it and is back at once, its worker new. What
    /// was held back on connections to it is lost with them.
    pub fn reborn(&mut self, name: &str) {
        self.say(format!("{name} begins anew"));
        self.machines.awaiting_response.remove(name);
        self.machines
            .held_commands
            .retain(|held| held.machine != name);
        let now = self.now;
        if let Some(worker) = self.workers.get_mut(name) {
            worker.begin_anew(now);
        }
    }

    /// Delivers the direct commands that were held back; says how many of them
    /// a worker executed.
    pub fn deliver_direct(&mut self) -> usize {
        let now = self.now;
        let mut executed = 0;
        for held in std::mem::take(&mut self.machines.held_commands) {
            if let Some(worker) = self.workers.get_mut(&held.machine) {
                let (is_executed, log) = worker.direct(&held.request, now);
                executed += usize::from(is_executed);
                for line in log {
                    self.say(format!("late: {line}"));
                }
            }
        }
        self.check();
        executed
    }

    /// How many machines run this task.
    pub fn copies(&self, task_name: &str) -> usize {
        let running = self.workers.values();
        running.filter(|worker| worker.runs(task_name)).count()
    }

    /// How many tasks run.
    pub fn running(&self) -> usize {
        self.workers
            .values()
            .map(|worker| worker.running_tasks().count())
            .sum()
    }
}

/// The index of a controller by its label.
pub(super) fn controller_of_label(label: &str) -> Option<usize> {
    label.trim_start_matches("node-").parse().ok()
}
