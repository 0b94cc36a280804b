//! Workers' heartbeats and the outcomes of direct commands, as a controller handles them.

mod misdirected;
mod queries;

use crate::Millis;
use crate::config::MAX_MACHINES;
use crate::controller::Controller;
use crate::effects::{Effect, PushOutcome, Reply};
use crate::machine::{Freshness, Machine, MachineState};
use crate::owner::reconciliation::CommandChannel;
use crate::reachability::ReachabilityEvent;
use cherryyard_wire::record::End;
use cherryyard_wire::worker::{
    CommandBatch, HeartbeatResponse, TaskReport, TaskStatus, WorkerCommand, WorkerHeartbeat,
    parse_task_name,
};

/// Status queries to machines under way at once.
const MAX_QUERIES: usize = 16;
/// Longest name of a machine that is taken, in bytes.
const MAX_HOST_NAME: usize = 100;
/// Time before commands are sent again of which the last could not be sent.
const UNSENT_RETRY_MS: f64 = 500.0;
/// Time before commands are sent again of which the last got no answer.
const UNANSWERED_RETRY_MS: f64 = 1000.0;

impl Controller {
    /// Handles a worker's heartbeat and returns the answer to it.
    pub fn handle_worker_heartbeat(&mut self, heartbeat: &WorkerHeartbeat, now: Millis) -> Reply {
        match self.answer_heartbeat(heartbeat, now) {
            Reply::Answer(mut response) => {
                self.kill_cancelled(heartbeat, &mut response);
                Reply::Answer(response)
            }
            other => other,
        }
    }

    fn answer_heartbeat(&mut self, heartbeat: &WorkerHeartbeat, now: Millis) -> Reply {
        self.notice(now);
        let shard_id = self
            .config
            .shard_map
            .shard(&heartbeat.zone, &heartbeat.host);
        let Some(token) = self.answering_token(shard_id, now) else {
            return self.answer_as_non_owner(shard_id, heartbeat, now);
        };
        if heartbeat.fencing_token > token {
            // Somebody has a newer token; an answer of ours would be dropped
            // and only hold the worker here.
            self.effects.push(Effect::Refresh);
            return Reply::Elsewhere(self.owner_elsewhere(shard_id, now));
        }
        let Some(host) = self.reporting_machine(shard_id, heartbeat, now) else {
            return Reply::Unavailable;
        };
        let commands = match self.take_heartbeat(host, heartbeat, token, now) {
            Taken::Current => self.commands_in_answer(host, now),
            Taken::Stale => Vec::new(),
            Taken::OfRestartedWorker => self.commands_for_restarted_worker(host, now),
        };
        Reply::Answer(HeartbeatResponse {
            fencing_token: token,
            commands,
        })
    }

    /// The token under which heartbeats of a shard are answered now, if any.
    fn answering_token(&self, shard_id: usize, now: Millis) -> Option<u64> {
        let token = self.shards[shard_id].lease.held_token()?;
        // Guards against a cancellation that this controller cannot see: the
        // workers' leases must end in time. If nobody can reach the state
        // service, nobody can take a cancellation either; what was taken before the
        // last of them lost it, those who took it have announced.
        let bound = self.config.cut_off_bound_ms();
        let outage = || self.all_cut_off(now) && self.knows_cancellations();
        (self.state_contact.read_age(now) <= bound || outage()).then_some(token)
    }

    /// Answers a heartbeat of a shard that this controller does not own beyond doubt: it
    /// extends the worker's lease for the owner if it may, and else names the owner.
    fn answer_as_non_owner(
        &mut self,
        shard_id: usize,
        heartbeat: &WorkerHeartbeat,
        now: Millis,
    ) -> Reply {
        self.note_misdirected_worker(shard_id, heartbeat, now);
        if self.may_extend_lease(shard_id, heartbeat, now) {
            tracing::debug!(machine = %heartbeat.host, "worker lease extended for its owner");
            return Reply::Answer(HeartbeatResponse {
                fencing_token: heartbeat.fencing_token,
                commands: Vec::new(),
            });
        }
        match self.owner_elsewhere(shard_id, now) {
            Some(label) => Reply::Elsewhere(Some(label)),
            None => Reply::Unavailable,
        }
    }

    /// The machine that a heartbeat comes from, if it may be answered now.
    fn reporting_machine(
        &mut self,
        shard_id: usize,
        heartbeat: &WorkerHeartbeat,
        now: Millis,
    ) -> Option<u32> {
        if self.machines.len() >= MAX_MACHINES || heartbeat.host.len() > MAX_HOST_NAME {
            return None;
        }
        let host = self.mirror.hosts.intern(&heartbeat.host);
        self.register_machine(host, shard_id, heartbeat, now);
        let machine = self.machines.get(&host)?;
        if machine.state == MachineState::Gone {
            return None;
        }
        let is_blind = self.state_contact.read_age(now) > self.config.cut_off_bound_ms() / 2.0;
        if is_blind && self.may_start_cancelled(machine) {
            // While the state service does not answer nobody can get the token that would
            // stop the start: the machine's incarnation has to end.
            return None;
        }
        Some(host)
    }

    /// Whether a start of a cancelled job may yet take effect on a machine. Where the attempt
    /// is known it has none.
    fn may_start_cancelled(&self, machine: &Machine) -> bool {
        machine.pushed.iter().any(|start| {
            let reported = machine.reported.get(&start.task);
            self.is_cancelled(start.task.0)
                && reported.is_none_or(|reported| reported.attempt != start.attempt)
        })
    }

    /// Whether a job is known to be cancelled, by the state service or by another controller.
    fn is_cancelled(&self, job: u64) -> bool {
        self.cancelled.is_announced(job) || self.mirror.end(job) == Some(End::Cancelled)
    }

    /// Takes over what a heartbeat reports, and plans by it.
    fn take_heartbeat(
        &mut self,
        host: u32,
        heartbeat: &WorkerHeartbeat,
        token: u64,
        now: Millis,
    ) -> Taken {
        let Some(machine) = self.machines.get_mut(&host) else {
            return Taken::Stale;
        };
        if machine.has_restarted {
            machine.answered_at = now;
            machine.last_heard_at = now;
            return Taken::OfRestartedWorker;
        }
        let before = (machine.state, machine.reachability.is_reachable());
        let freshness = machine.receive(heartbeat, token, now);
        // The answer to an older heartbeat renews the lease, if at all, from when that was
        // sent, before the newest message: a late copy keeps no dead machine alive.
        machine.answered_at = match freshness {
            Freshness::Old => machine.answered_at.max(machine.last_heard_at),
            Freshness::Same | Freshness::New => now,
        };
        // A new owner's machines are reported to the leader as they come, or it gives
        // the shard nothing until its next regular report.
        self.capacity_changed |= (machine.state, machine.reachability.is_reachable()) != before;
        if freshness == Freshness::Old {
            return Taken::Stale;
        }
        // The worker has one heartbeat under way at a time, so a newer one shows
        // that the last answer was executed or dropped.
        machine.check_offered(now);
        if freshness == Freshness::New {
            self.after_message(host, now);
        }
        Taken::Current
    }

    /// The commands in the answer to a heartbeat; their starts are noted.
    fn commands_in_answer(&mut self, host: u32, now: Millis) -> Vec<WorkerCommand> {
        let commands = self.reconcile(host, now, CommandChannel::HeartbeatResponse);
        if let Some(machine) = self.machines.get_mut(&host) {
            let starts = commands.iter().filter_map(|command| match command {
                WorkerCommand::Start { task_name, attempt } => {
                    Some((parse_task_name(task_name)?, *attempt))
                }
                WorkerCommand::Kill { .. } | WorkerCommand::Clear { .. } => None,
            });
            machine.offered = starts.collect();
        }
        commands
    }

    /// The commands in the answer to a heartbeat of a worker that has restarted, or to a copy
    /// of one that it sent before: it is queried. Starts are sent directly only, as a
    /// heartbeat without the task would not tell that one in the answer to another has not
    /// arrived.
    fn commands_for_restarted_worker(&mut self, host: u32, now: Millis) -> Vec<WorkerCommand> {
        if let Some(machine) = self.machines.get_mut(&host) {
            machine.request_query();
            let shard_id = machine.shard;
            self.query_machines(shard_id, now);
        }
        let mut commands = self.reconcile(host, now, CommandChannel::HeartbeatResponse);
        commands.retain(|command| !matches!(command, WorkerCommand::Start { .. }));
        commands
    }

    /// Adds kills of cancelled tasks to an answer.
    ///
    /// An answer renews the lease of all that is on the machine, whatever its state and
    /// whichever token it shows: so it stops what is known to be over. An owner that has
    /// just acquired its shard answered, without commands, a machine that showed the token
    /// before, and ended; the cancelled task had a lease more.
    fn kill_cancelled(&self, heartbeat: &WorkerHeartbeat, response: &mut HeartbeatResponse) {
        for reported in &heartbeat.tasks {
            let is_cancelled = || {
                parse_task_name(&reported.task_name).is_some_and(|task| self.is_cancelled(task.0))
            };
            if reported.status != TaskStatus::Ended
                && !is_killed(reported, &response.commands)
                && is_cancelled()
            {
                response.commands.push(WorkerCommand::Kill {
                    task_name: reported.task_name.clone(),
                    attempt: reported.attempt,
                    grace_period_s: 0.0,
                });
            }
        }
    }

    /// Handles the outcome of direct commands.
    pub fn handle_push_outcome(
        &mut self,
        host: u32,
        request: &CommandBatch,
        outcome: PushOutcome,
        now: Millis,
    ) {
        self.notice(now);
        let Some(machine) = self.machines.get_mut(&host) else {
            return;
        };
        let shard_id = machine.shard;
        machine.pushing = false;
        let incarnation = request.incarnation;
        match outcome {
            PushOutcome::Answered(status) => {
                let answered_by = status.incarnation;
                tracing::debug!(machine = %machine.addr, incarnation, answered_by, "direct commands answered");
                machine.settle_push(request, false);
                machine.note_reachability(ReachabilityEvent::Reflected, now);
                let Some(token) = self.shards[shard_id].lease.held_token() else {
                    return;
                };
                if machine.receive(&status, token, now) != Freshness::Old {
                    self.after_message(host, now);
                }
                self.push(host, now);
            }
            PushOutcome::Unsent => {
                tracing::debug!(machine = %machine.addr, incarnation, "direct commands not sent");
                machine.settle_push(request, false);
                machine.note_reachability(ReachabilityEvent::Missed, now);
                machine.push_after = now + UNSENT_RETRY_MS;
            }
            PushOutcome::Unknown => {
                tracing::debug!(machine = %machine.addr, incarnation, "direct commands not answered");
                machine.settle_push(request, true);
                machine.note_reachability(ReachabilityEvent::Missed, now);
                machine.push_after = now + UNANSWERED_RETRY_MS;
            }
        }
    }
}

/// How a heartbeat was taken.
enum Taken {
    /// It is the newest of its machine.
    Current,
    /// A newer one came before it.
    Stale,
    /// Its worker has restarted, and only direct answers count of it.
    OfRestartedWorker,
}

/// Whether commands kill a reported attempt.
fn is_killed(reported: &TaskReport, commands: &[WorkerCommand]) -> bool {
    commands.iter().any(|command| match command {
        WorkerCommand::Kill {
            task_name, attempt, ..
        } => *task_name == reported.task_name && *attempt == reported.attempt,
        WorkerCommand::Start { .. } | WorkerCommand::Clear { .. } => false,
    })
}
