//! Log lines and counters of the commands to workers.
//!
//! The lines have the level `debug`, or `info` for the machines and jobs that a [`CommandTrace`]
//! names.

use crate::Millis;
use crate::controller::Controller;
use crate::machine::Task;
use crate::owner::reconciliation::CommandChannel;
use cherryyard_wire::worker::{CommandBatch, WorkerCommand, WorkerHeartbeat, task_name_of};
use std::collections::BTreeSet;

/// Logs an event at the level `info` if it is traced, else at the level `debug`.
macro_rules! log_event {
    ($is_traced:expr, $($event:tt)+) => {
        if $is_traced {
            tracing::info!($($event)+);
        } else {
            tracing::debug!($($event)+);
        }
    };
}

/// Machines and jobs whose commands are logged at the level `info`.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct CommandTrace {
    /// Names of the machines.
    pub machines: BTreeSet<String>,
    /// Numbers of the jobs.
    pub jobs: BTreeSet<u64>,
}

impl CommandTrace {
    fn includes(&self, machine: &str, job: u64) -> bool {
        self.jobs.contains(&job) || self.machines.contains(machine)
    }
}

/// Numbers of commands to workers since the start of the process.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct CommandCounts {
    /// Starts.
    pub starts: u64,
    /// Starts in an answer after which the worker did not report the attempt, so that they are sent
    /// again.
    pub repeated_starts: u64,
    /// Direct commands that request a heartbeat.
    pub heartbeat_requests: u64,
    /// Kills.
    pub kills: u64,
    /// Clears.
    pub clears: u64,
    /// Batches of direct commands that a worker refused.
    pub refused: u64,
    /// Renewals of a held shard lease under a higher token.
    pub token_raises: u64,
    /// Kills of attempts that no assignment accounts for.
    pub unassigned_kills: u64,
    /// Workers found to have restarted within their lease.
    pub worker_restarts: u64,
}

/// Reason for a command to a worker.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum CommandReason {
    /// The task is assigned to the machine and not reported there.
    Assigned,
    /// The attempt has ended, and its end is durable.
    EndDurable,
    /// The heartbeat that the attempt stands for as a request has arrived.
    HeartbeatArrived,
    /// The job is cancelled.
    Cancelled,
    /// The job is over.
    JobOver,
    /// The attempt is not assigned to the machine.
    NotAssigned,
    /// The attempt makes room for another task.
    Preempted,
    /// The cloud is about to reclaim the machine.
    Reclaimed,
    /// The cloud is about to reclaim the machine, and the attempt can start elsewhere.
    RestartsElsewhere,
}

impl CommandReason {
    /// Returns the reason as it is logged.
    fn text(self) -> &'static str {
        match self {
            Self::Assigned => "assigned",
            Self::EndDurable => "end durable",
            Self::HeartbeatArrived => "heartbeat arrived",
            Self::Cancelled => "cancelled",
            Self::JobOver => "job over",
            Self::NotAssigned => "not assigned",
            Self::Preempted => "preempted",
            Self::Reclaimed => "reclaimed",
            Self::RestartsElsewhere => "restarts elsewhere",
        }
    }
}

/// What a command has a worker do with an attempt.
#[derive(Clone, Copy, Debug, PartialEq)]
pub(crate) enum CommandKind {
    /// Starts the attempt.
    Start,
    /// Stops the attempt, which gets this many seconds to save its progress.
    Kill { grace_period_s: f64 },
    /// Removes the ended attempt from further heartbeats.
    Clear,
}

/// A command that is due, with the reason for it.
#[derive(Clone, Copy, Debug, PartialEq)]
pub(crate) struct DueCommand {
    pub task: Task,
    pub attempt: u64,
    pub kind: CommandKind,
    pub reason: CommandReason,
}

impl DueCommand {
    /// Returns the kill of an attempt.
    pub fn kill(task: Task, attempt: u64, grace_period_s: f64, reason: CommandReason) -> Self {
        Self {
            task,
            attempt,
            kind: CommandKind::Kill { grace_period_s },
            reason,
        }
    }

    /// Returns whether the command is a kill.
    pub fn is_kill(&self) -> bool {
        matches!(self.kind, CommandKind::Kill { .. })
    }

    /// Returns whether the command is a start.
    pub fn is_start(&self) -> bool {
        self.kind == CommandKind::Start
    }

    /// Returns the command as it is sent.
    pub fn to_command(self) -> WorkerCommand {
        let task_name = task_name_of(self.task.0, self.task.1);
        let attempt = self.attempt;
        match self.kind {
            CommandKind::Start => WorkerCommand::Start { task_name, attempt },
            CommandKind::Kill { grace_period_s } => WorkerCommand::Kill {
                task_name,
                attempt,
                grace_period_s,
            },
            CommandKind::Clear => WorkerCommand::Clear { task_name, attempt },
        }
    }
}

impl Controller {
    /// Returns the numbers of commands to workers since the start of the process.
    pub fn command_counts(&self) -> CommandCounts {
        self.command_counts
    }

    /// Sets the machines and jobs whose commands are logged at the level `info`.
    pub fn set_command_trace(&mut self, trace: CommandTrace) {
        self.command_trace = trace;
    }

    /// Counts and logs commands that are sent to a machine under this token.
    pub(crate) fn log_commands(
        &mut self,
        host: u32,
        token: u64,
        channel: CommandChannel,
        commands: &[DueCommand],
        now: Millis,
    ) {
        for due in commands {
            let counts = &mut self.command_counts;
            let (count, event) = match due.kind {
                CommandKind::Start => (&mut counts.starts, "start sent"),
                CommandKind::Kill { .. } => (&mut counts.kills, "stop sent"),
                CommandKind::Clear => (&mut counts.clears, "clear sent"),
            };
            *count += 1;
            counts.unassigned_kills += u64::from(due.reason == CommandReason::NotAssigned);
            self.log_command(host, token, channel, due, event, now);
        }
    }

    fn log_command(
        &self,
        host: u32,
        token: u64,
        channel: CommandChannel,
        due: &DueCommand,
        event: &str,
        now: Millis,
    ) {
        let Some(machine) = self.machines.get(&host) else {
            return;
        };
        let (job, number) = due.task;
        let name = self.mirror.hosts.name(host);
        let is_unexpected = due.reason == CommandReason::NotAssigned;
        log_event!(
            is_unexpected || self.command_trace.includes(name, job),
            machine = name,
            job,
            number,
            attempt = due.attempt,
            incarnation = machine.newest.0,
            token,
            shown_token = machine.token,
            channel = ?channel,
            reason = due.reason.text(),
            store_revision = self.mirror.store_revision,
            state_read_age_ms = self.state_contact.read_age(now),
            "{event}"
        );
    }

    /// Counts and logs a request for a heartbeat.
    pub(crate) fn log_heartbeat_request(&mut self, host: u32, token: u64) {
        self.command_counts.heartbeat_requests += 1;
        let machine = self.mirror.hosts.name(host);
        log_event!(
            self.command_trace.machines.contains(machine),
            machine,
            token,
            "heartbeat requested"
        );
    }

    /// Logs that a heartbeat of a traced machine is answered, and what permits the answer.
    pub(crate) fn log_answer(&self, heartbeat: &WorkerHeartbeat, token: u64, now: Millis) {
        if self.command_trace.machines.contains(&heartbeat.host) {
            tracing::info!(
                machine = %heartbeat.host,
                incarnation = heartbeat.incarnation,
                sequence = heartbeat.sequence,
                shown_token = heartbeat.fencing_token,
                token,
                store_revision = self.mirror.store_revision,
                state_read_age_ms = self.state_contact.read_age(now),
                "heartbeat answered"
            );
        }
    }

    /// Logs the first of a row of heartbeats that are numbered below the machine's newest message
    /// and show a lower token: the worker has restarted, or the heartbeat is a late copy. Until the
    /// worker shows the present token again, it carries out what was sent under any lower one.
    pub(crate) fn log_token_fallen(&self, host: u32, heartbeat: &WorkerHeartbeat, token: u64) {
        let Some(machine) = self.machines.get(&host) else {
            return;
        };
        if machine.consecutive_stale != 1 || heartbeat.fencing_token >= machine.token {
            return;
        }
        tracing::info!(
            machine = %heartbeat.host,
            incarnation = heartbeat.incarnation,
            sequence = heartbeat.sequence,
            newest = ?machine.newest,
            shown_token = heartbeat.fencing_token,
            shown_before = machine.token,
            token,
            "older heartbeat shows a lower token"
        );
    }

    /// Counts and logs a batch of direct commands that the worker refused, as its answer shows: the
    /// worker has seen a higher token, or is in another incarnation.
    pub(crate) fn note_refused_commands(
        &mut self,
        request: &CommandBatch,
        status: &WorkerHeartbeat,
    ) {
        if !request.is_executed(status) {
            self.command_counts.refused += 1;
            tracing::info!(
                machine = %status.host,
                token = request.fencing_token,
                shown_token = status.fencing_token,
                incarnation = request.incarnation,
                shown_incarnation = status.incarnation,
                commands = request.commands.len(),
                "direct commands refused by a worker"
            );
        }
    }
}
