//! Machines: the steps of their workers, heartbeats, direct commands and status queries.

use super::World;
use cherryyard_core::{PushOutcome, Reply};
use cherryyard_wire::limits::MAX_TASKS;
use cherryyard_wire::worker::{CommandBatch, WorkerHeartbeat, task_name_of};
use std::collections::{BTreeMap, BTreeSet};

/// Timeout of a worker for the response to a heartbeat.
const RESPONSE_TIMEOUT_MS: f64 = 4000.0;
/// Delay until a worker's heartbeat to the controller that it was redirected to.
const REDIRECT_DELAY_MS: f64 = 100.0;
/// Delay until a worker's heartbeat to the next controller, after a timeout or a reply that
/// neither answers the heartbeat nor names another controller.
const RETRY_DELAY_MS: f64 = 1000.0;

/// Faults of machines, and direct commands on their way to them.
#[derive(Debug, Default)]
pub struct Machines {
    /// Machines that hang: they send nothing, and direct commands to them are held back.
    pub hung: BTreeSet<String>,
    /// Machines whose direct commands are held back until [`World::deliver_held_commands`].
    pub slow_commands: BTreeSet<String>,
    /// Direct commands that are held back, also those to hanging or unreachable machines.
    pub held_commands: Vec<HeldCommand>,
    /// Number of direct status queries to machines so far.
    pub status_queries: usize,
    /// Workers that wait for the response to a heartbeat, with the time at which the heartbeat
    /// was sent.
    awaiting_response: BTreeMap<String, f64>,
}

/// Direct commands that are held back on their way to a machine.
#[derive(Clone, Debug)]
pub struct HeldCommand {
    /// Name of the machine.
    pub machine: String,
    /// The commands, as the controller sent them.
    pub request: CommandBatch,
}

/// Returns the machine's name, given its address.
fn machine_name_of(addr: &str) -> &str {
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
            worker.advance_hung(now);
            return;
        }
        if worker.reclaim_at.is_some_and(|at| now >= at) {
            self.workers.remove(name);
            self.trace_line(format!("{name} is taken"));
            return;
        }
        let log = worker.advance(now, &self.checker.services);
        if let Some(&sent_at) = self.machines.awaiting_response.get(name) {
            if now - sent_at > RESPONSE_TIMEOUT_MS {
                self.machines.awaiting_response.remove(name);
                worker.controller = (worker.controller + 1) % self.controllers.len();
                worker.next_heartbeat_at = now + RETRY_DELAY_MS;
            }
        } else if now >= worker.next_heartbeat_at && self.network.carries_heartbeats_of(name) {
            self.send_heartbeat(name);
        }
        self.trace_all(log);
    }

    /// Sends a worker's heartbeat, which may be lost, or queued at a controller that lags.
    fn send_heartbeat(&mut self, name: &str) {
        let (now, report_ms) = (self.now, self.setup.report_ms());
        let Some(worker) = self.workers.get_mut(name) else {
            return;
        };
        worker.heartbeat_sent(now, report_ms);
        let (controller, zone) = (worker.controller, worker.zone.clone());
        let heartbeat = worker.next_heartbeat(now);
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

    /// Delivers a heartbeat that was sent at `sent_at` to a controller, and the response to the
    /// worker. The response is dropped if the worker no longer waits for it.
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
        self.trace_all(log);
    }

    /// Delivers the reply to a heartbeat, or the failure to get one, to the worker.
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
            // The response belongs to a heartbeat of the previous incarnation.
            Some(Reply::Answer(_)) if worker.incarnation != heartbeat.incarnation => {
                worker.next_heartbeat_at = now;
            }
            Some(Reply::Answer(response)) => {
                return worker.handle_heartbeat_response(&response, sent_at, now);
            }
            Some(Reply::Misdirected(Some(label))) => {
                worker.controller = controller_of_label(&label).expect("a label");
                worker.next_heartbeat_at = now + REDIRECT_DELAY_MS;
            }
            Some(Reply::Misdirected(None) | Reply::Unavailable) | None => {
                worker.controller = (i + 1) % self.controllers.len();
                worker.next_heartbeat_at = now + RETRY_DELAY_MS;
            }
        }
        Vec::new()
    }

    /// Sends a controller's direct commands to a machine.
    pub(super) fn push(&mut self, i: usize, host: u32, addr: &str, request: CommandBatch) {
        let now = self.now;
        let name = machine_name_of(addr);
        self.check_direct_commands(name, &request);
        let is_held = self.machines.slow_commands.contains(name) || !self.reaches_machine(i, name);
        let outcome = if is_held {
            self.machines.held_commands.push(HeldCommand {
                machine: name.into(),
                request: request.clone(),
            });
            PushOutcome::Unknown
        } else if let Some(worker) = self.workers.get_mut(name) {
            let (is_executed, log) = worker.handle_direct_commands(&request, now);
            let status = worker.next_heartbeat(now);
            if is_executed {
                let command = HeldCommand {
                    machine: name.into(),
                    request: request.clone(),
                };
                self.command_copies.record(&command, now);
            }
            self.trace_all(log);
            PushOutcome::Answered(Box::new(status))
        } else {
            PushOutcome::Unsent
        };
        if let Some(controller) = &mut self.controllers[i] {
            controller.handle_push_outcome(host, &request, outcome, now);
        }
    }

    /// Checks that direct commands start no task: a copy of them could start it again.
    pub fn check_direct_commands(&mut self, machine: &str, request: &CommandBatch) {
        for ((job, number), attempt) in request.starts() {
            if number < MAX_TASKS {
                let task_name = task_name_of(job, number);
                self.record_violation(format!(
                    "{task_name} try {attempt} is sent directly to {machine}"
                ));
            }
        }
    }

    /// Queries a machine's status for a controller.
    pub(super) fn query_status(&mut self, i: usize, host: u32, addr: &str) {
        let now = self.now;
        self.machines.status_queries += 1;
        let name = machine_name_of(addr);
        let is_reachable =
            self.reaches_machine(i, name) && !self.network.cut_from_workers.contains(&i);
        let worker = self.workers.get_mut(name).filter(|_| is_reachable);
        let status = worker.map(|worker| worker.next_heartbeat(now));
        if let Some(controller) = &mut self.controllers[i] {
            controller.handle_status_answer(host, status.as_ref(), now);
        }
    }

    /// Restarts a machine at once: all its tasks are lost and its worker is new. Commands that
    /// were held back on connections to it are lost with these connections.
    pub fn restart_machine(&mut self, name: &str) {
        self.trace_line(format!("{name} begins anew"));
        self.machines.awaiting_response.remove(name);
        self.machines
            .held_commands
            .retain(|held| held.machine != name);
        let now = self.now;
        if let Some(worker) = self.workers.get_mut(name) {
            worker.restart(now);
        }
    }

    /// Delivers the direct commands that were held back, and returns how many of them a worker
    /// executed.
    pub fn deliver_held_commands(&mut self) -> usize {
        let now = self.now;
        let mut executed = 0;
        for held in std::mem::take(&mut self.machines.held_commands) {
            if let Some(worker) = self.workers.get_mut(&held.machine) {
                let (is_executed, log) = worker.handle_direct_commands(&held.request, now);
                executed += usize::from(is_executed);
                for line in log {
                    self.trace_line(format!("late: {line}"));
                }
            }
        }
        self.check_rules();
        executed
    }

    /// Returns the number of machines that run this task.
    pub fn running_copies(&self, task_name: &str) -> usize {
        let running = self.workers.values();
        running.filter(|worker| worker.runs(task_name)).count()
    }

    /// Returns the number of running tasks on all machines.
    pub fn running_task_count(&self) -> usize {
        self.workers
            .values()
            .map(|worker| worker.running_tasks().count())
            .sum()
    }
}

/// Returns the index of a controller, given its label.
pub(super) fn controller_of_label(label: &str) -> Option<usize> {
    label.trim_start_matches("node-").parse().ok()
}
