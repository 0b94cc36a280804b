//! Handling of workers' heartbeats and of the outcomes of direct commands in a controller.

mod misdirected;
mod queries;

use crate::Millis;
use crate::command_log::{CommandReason, DueCommand};
use crate::config::MAX_MACHINES;
use crate::controller::Controller;
use crate::effects::{Effect, PushOutcome, Reply};
use crate::machine::{Freshness, MachineState, OwnTokens};
use crate::owner::reconciliation::CommandChannel;
use crate::reachability::ReachabilityEvent;
use cherryyard_wire::record::JobOutcome;
use cherryyard_wire::worker::{
    CommandBatch, HeartbeatResponse, TaskReport, TaskStatus, WorkerCommand, WorkerHeartbeat,
    parse_task_name,
};

/// Maximum number of status queries to machines in flight at once.
const MAX_QUERIES_IN_FLIGHT: usize = 16;
/// Maximum length of a machine name in a heartbeat, in bytes; heartbeats with longer names are
/// refused.
const MAX_MACHINE_NAME_BYTES: usize = 100;
/// Delay before the next direct commands to a machine after a batch that could not be sent.
const UNSENT_RETRY_MS: f64 = 500.0;
/// Delay before the next direct commands to a machine after a batch that got no answer.
const UNANSWERED_RETRY_MS: f64 = 1000.0;
/// Time within which a worker reports a change: it sends a heartbeat at most every half second.
const CHANGE_REPORTED_MS: f64 = 1000.0;

impl Controller {
    /// Handles a worker's heartbeat and returns the answer to it.
    pub fn handle_worker_heartbeat(&mut self, heartbeat: &WorkerHeartbeat, now: Millis) -> Reply {
        match self.answer_heartbeat(heartbeat, now) {
            Reply::Answer(mut response) => {
                self.kill_cancelled(heartbeat, &mut response, now);
                Reply::Answer(response)
            }
            other => other,
        }
    }

    fn answer_heartbeat(&mut self, heartbeat: &WorkerHeartbeat, now: Millis) -> Reply {
        self.advance_clock(now);
        let shard_id = self
            .config
            .shard_map
            .shard(&heartbeat.zone, &heartbeat.host);
        let Some(own) = self.answering_tokens(shard_id, now) else {
            return self.answer_as_non_owner(shard_id, heartbeat, now);
        };
        let token = own.current;
        if heartbeat.fencing_token > token {
            // Another controller holds a newer token. The worker would drop an answer under this
            // older token and would keep reporting to this controller instead of the owner.
            self.effects.push(Effect::Refresh);
            return Reply::Misdirected(self.other_owner_label(shard_id, now));
        }
        let Some(host) = self.reporting_machine(shard_id, heartbeat, now) else {
            return Reply::Unavailable;
        };
        let commands = match self.apply_heartbeat(host, heartbeat, own, now) {
            HeartbeatOutcome::Current => self.commands_in_answer(host, now),
            HeartbeatOutcome::Stale => {
                self.log_token_fallen(host, heartbeat, token);
                Vec::new()
            }
            HeartbeatOutcome::FromRestartedWorker => self.commands_for_restarted_worker(host, now),
        };
        self.log_commands(
            host,
            token,
            CommandChannel::HeartbeatResponse,
            &commands,
            now,
        );
        self.log_answer(heartbeat, token, now);
        Reply::Answer(HeartbeatResponse {
            fencing_token: token,
            commands: commands.into_iter().map(DueCommand::to_command).collect(),
        })
    }

    /// Returns the tokens of a shard whose heartbeats may be answered now, or `None` if this
    /// controller must not answer them.
    fn answering_tokens(&self, shard_id: usize, now: Millis) -> Option<OwnTokens> {
        let tokens = self.shards[shard_id].lease.tokens()?;
        // A cancellation that this controller cannot read must still take effect in time, so after
        // too long without a read of the state service it stops answering and lets the workers'
        // leases expire. If no controller can reach the state service, no new cancellation can be
        // accepted; those accepted before the last controller lost contact have been announced by
        // the controllers that accepted them.
        let bound = self.config.cut_off_bound_ms();
        let outage = || self.all_cut_off(now) && self.knows_cancellations();
        (self.state_contact.read_age(now) <= bound || outage()).then_some(tokens)
    }

    /// Answers a heartbeat of a shard that this controller does not certainly own: extends the
    /// worker's lease on behalf of the owner where that is safe, and otherwise names the owner.
    fn answer_as_non_owner(
        &mut self,
        shard_id: usize,
        heartbeat: &WorkerHeartbeat,
        now: Millis,
    ) -> Reply {
        self.record_misdirected_worker(shard_id, heartbeat, now);
        if self.may_extend_lease(shard_id, heartbeat, now) {
            tracing::debug!(machine = %heartbeat.host, "worker lease extended for its owner");
            return Reply::Answer(HeartbeatResponse {
                fencing_token: heartbeat.fencing_token,
                commands: Vec::new(),
            });
        }
        match self.other_owner_label(shard_id, now) {
            Some(label) => Reply::Misdirected(Some(label)),
            None => Reply::Unavailable,
        }
    }

    /// Returns the machine that sent a heartbeat, or `None` if the heartbeat must not be answered
    /// now. Registers machines that report for the first time.
    fn reporting_machine(
        &mut self,
        shard_id: usize,
        heartbeat: &WorkerHeartbeat,
        now: Millis,
    ) -> Option<u32> {
        if self.machines.len() >= MAX_MACHINES || heartbeat.host.len() > MAX_MACHINE_NAME_BYTES {
            return None;
        }
        let host = self.mirror.hosts.intern(&heartbeat.host);
        self.register_machine(host, shard_id, heartbeat, now);
        let machine = self.machines.get(&host)?;
        (machine.state != MachineState::Gone).then_some(host)
    }

    /// Returns whether a job is known to be cancelled, from the state service or from another
    /// controller.
    fn is_cancelled(&self, job: u64) -> bool {
        self.cancelled.is_announced(job) || self.mirror.end(job) == Some(JobOutcome::Cancelled)
    }

    /// Applies what a heartbeat reports to its machine, and plans a scheduling cycle if anything
    /// has changed.
    fn apply_heartbeat(
        &mut self,
        host: u32,
        heartbeat: &WorkerHeartbeat,
        own: OwnTokens,
        now: Millis,
    ) -> HeartbeatOutcome {
        let Some(machine) = self.machines.get_mut(&host) else {
            return HeartbeatOutcome::Stale;
        };
        if machine.may_precede_restart(heartbeat.fencing_token) {
            machine.answered_at = now;
            machine.last_heard_at = now;
            return HeartbeatOutcome::FromRestartedWorker;
        }
        let before = (machine.state, machine.reachability.is_reachable());
        let freshness = machine.receive(heartbeat, own, now);
        // An answer to an older heartbeat renews the worker's lease at most from the time when that
        // heartbeat was sent, which is before the newest message arrived. Counting it from now
        // would let a delayed copy keep a dead machine's lease alive.
        machine.answered_at = match freshness {
            Freshness::Stale => machine.answered_at.max(machine.last_heard_at),
            Freshness::Unchanged | Freshness::Changed => now,
        };
        // Machines of a new owner are reported to the leader as soon as they appear; otherwise the
        // leader would assign nothing to the shard until its next regular report.
        self.capacity_changed |= (machine.state, machine.reachability.is_reachable()) != before;
        if freshness == Freshness::Stale {
            return HeartbeatOutcome::Stale;
        }
        machine.heartbeat_at = now;
        machine.heartbeat_awaited_until = now;
        // A worker has one heartbeat in flight at a time, so a newer heartbeat shows that the
        // previous answer was either executed or dropped.
        let unreported = machine.check_offered_starts(now);
        self.command_counts.repeated_starts += unreported as u64;
        if freshness == Freshness::Changed {
            self.handle_message_arrival(host, now);
        }
        HeartbeatOutcome::Current
    }

    /// Returns the commands for the answer to a heartbeat, and records the starts among them as
    /// offered.
    fn commands_in_answer(&mut self, host: u32, now: Millis) -> Vec<DueCommand> {
        let commands = self.reconcile(host, now, CommandChannel::HeartbeatResponse);
        if let Some(machine) = self.machines.get_mut(&host) {
            let starts = commands.iter().filter(|due| due.is_start());
            machine.offered_starts = starts.map(|due| (due.task, due.attempt)).collect();
            if !commands.is_empty() {
                machine.heartbeat_awaited_until = now + CHANGE_REPORTED_MS;
            }
        }
        commands
    }

    /// Returns the commands for the answer to a heartbeat of a worker that has restarted, or to a
    /// late copy of a heartbeat from before the restart, and has the worker queried. Starts are left
    /// out until a heartbeat shows a higher token: a heartbeat without the task would not prove that
    /// a start in the answer to another heartbeat has not arrived.
    fn commands_for_restarted_worker(&mut self, host: u32, now: Millis) -> Vec<DueCommand> {
        if let Some(machine) = self.machines.get_mut(&host) {
            machine.request_query();
            let shard_id = machine.shard;
            self.query_machines(shard_id, now);
        }
        let mut commands = self.reconcile(host, now, CommandChannel::HeartbeatResponse);
        commands.retain(|due| !due.is_start());
        commands
    }

    /// Adds kills of cancelled tasks to an answer.
    ///
    /// An answer renews the lease of everything on the machine, whatever the machine's state and
    /// token, so every answer also stops the tasks of jobs that are known to be cancelled. Without
    /// these kills, an owner that had just acquired its shard could answer, without commands, a
    /// machine that still showed the previous token, and then exit: the cancelled task would run
    /// for one more lease.
    fn kill_cancelled(
        &mut self,
        heartbeat: &WorkerHeartbeat,
        response: &mut HeartbeatResponse,
        now: Millis,
    ) {
        let mut kills = Vec::new();
        for reported in &heartbeat.tasks {
            if reported.status == TaskStatus::Ended || is_killed(reported, &response.commands) {
                continue;
            }
            let task = parse_task_name(&reported.task_name);
            if let Some(task) = task.filter(|task| self.is_cancelled(task.0)) {
                let reason = CommandReason::Cancelled;
                kills.push(DueCommand::kill(task, reported.attempt, 0.0, reason));
            }
        }
        if kills.is_empty() {
            return;
        }
        if let Some(host) = self.mirror.hosts.get(&heartbeat.host) {
            let token = response.fencing_token;
            let channel = CommandChannel::HeartbeatResponse;
            self.log_commands(host, token, channel, &kills, now);
        }
        response
            .commands
            .extend(kills.into_iter().map(DueCommand::to_command));
    }

    /// Handles the outcome of a batch of direct commands.
    pub fn handle_push_outcome(
        &mut self,
        host: u32,
        request: &CommandBatch,
        outcome: PushOutcome,
        now: Millis,
    ) {
        self.advance_clock(now);
        if let PushOutcome::Answered(status) = &outcome {
            self.note_refused_commands(request, status);
        }
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
                if request.is_executed(&status) {
                    machine.heartbeat_awaited_until = now + CHANGE_REPORTED_MS;
                }
                machine.note_reachability(ReachabilityEvent::Reflected, now);
                let Some(own) = self.shards[shard_id].lease.tokens() else {
                    return;
                };
                if machine.receive(&status, own, now) != Freshness::Stale {
                    self.handle_message_arrival(host, now);
                }
                self.push(host, now);
            }
            PushOutcome::Unsent => {
                tracing::debug!(machine = %machine.addr, incarnation, "direct commands not sent");
                machine.note_reachability(ReachabilityEvent::NotReflected, now);
                machine.push_after = now + UNSENT_RETRY_MS;
            }
            PushOutcome::Unknown => {
                tracing::debug!(machine = %machine.addr, incarnation, "direct commands not answered");
                machine.note_reachability(ReachabilityEvent::NotReflected, now);
                machine.push_after = now + UNANSWERED_RETRY_MS;
            }
        }
    }
}

/// Result of applying a heartbeat to its machine.
enum HeartbeatOutcome {
    /// The heartbeat is the newest message of its machine.
    Current,
    /// A newer message of the machine was received before this heartbeat.
    Stale,
    /// The worker has restarted, so only its direct answers are evaluated and this heartbeat is
    /// not.
    FromRestartedWorker,
}

/// Returns whether `commands` contain a kill of the reported attempt.
fn is_killed(reported: &TaskReport, commands: &[WorkerCommand]) -> bool {
    commands.iter().any(|command| match command {
        WorkerCommand::Kill {
            task_name, attempt, ..
        } => *task_name == reported.task_name && *attempt == reported.attempt,
        WorkerCommand::Start { .. } | WorkerCommand::Clear { .. } => false,
    })
}
