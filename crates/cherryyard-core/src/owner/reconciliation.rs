//! Reconciliation: computation of the commands that bring a machine in line with its assignments.
//!
//! Commands are the difference between a machine's durable assignments and the tasks in its newest
//! message, so commands can be repeated and a new owner can continue for the previous one.

use super::heartbeat_request::is_heartbeat_request;
use crate::Millis;
use crate::command_log::{CommandKind, CommandReason, DueCommand};
use crate::controller::Controller;
use crate::machine::{Machine, MachineState, ReportedTask, Task};
use crate::mirror::OpenJob;
use cherryyard_wire::record::JobOutcome;
use cherryyard_wire::worker::TaskStatus;

/// Maximum number of commands in one message to a worker.
const MAX_COMMANDS: usize = 300;
/// Time left before a reclaim, beyond the time that saving the snapshot takes, at which a task
/// begins to save it, in heartbeat intervals.
const SAVE_MARGIN_HEARTBEATS: f64 = 2.5;
/// Time that a task may take to stop in addition to saving its snapshot, in seconds.
const SAVE_MARGIN_S: f64 = 1.0;

/// Path by which commands reach a machine.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum CommandChannel {
    /// Commands are sent in the response to a heartbeat of the machine, which the worker drops if
    /// it arrives late: the only way for starts and clears.
    HeartbeatResponse,
    /// Commands are sent in a request from the owner to the worker; a copy of it may arrive at any
    /// later time, so these are kills alone.
    Direct,
}

/// Reconciliation of one machine.
struct Reconciliation<'a> {
    controller: &'a Controller,
    machine: &'a Machine,
    /// Whether the assignments in the mirror are current: the state service answers, and this
    /// controller certainly owns the shard. Otherwise a missing assignment may only mean that the
    /// mirror is outdated.
    assignments_are_current: bool,
    now: Millis,
}

impl Reconciliation<'_> {
    /// Returns the command that is due for a task that the machine reports, if any.
    fn command_for_reported(&self, task: Task, reported: &ReportedTask) -> Option<DueCommand> {
        let assignment = self
            .controller
            .mirror
            .assignment_on(self.machine.host, task);
        let is_assigned = assignment.is_some_and(|assignment| {
            assignment.incarnation == self.machine.newest.0
                && assignment.attempt == reported.attempt
        });
        if reported.ended() {
            return self.clear_ended(task, reported, is_assigned);
        }
        let job = task.0;
        // Another controller may announce a cancellation before the state service shows it.
        let is_cancelled = self.controller.cancelled.is_announced(job);
        let open = self.controller.mirror.open.get(&job);
        match open.filter(|_| is_assigned && !is_cancelled) {
            Some(open) => self.stop_assigned(task, reported, open),
            None => self.kill_unassigned(task, reported, is_cancelled),
        }
    }

    /// Clears an ended task only once its end is durable and no start of it is in flight; otherwise
    /// the worker could start the task a second time. A request for a heartbeat has been answered.
    fn clear_ended(
        &self,
        task: Task,
        reported: &ReportedTask,
        is_assigned: bool,
    ) -> Option<DueCommand> {
        let is_end_durable = !is_assigned
            && !self.machine.start_pending(task, reported.attempt)
            && self.assignments_are_current;
        let reason = if is_heartbeat_request(task) {
            CommandReason::HeartbeatArrived
        } else if is_end_durable {
            CommandReason::EndDurable
        } else {
            return None;
        };
        Some(DueCommand {
            task,
            attempt: reported.attempt,
            kind: CommandKind::Clear,
            reason,
        })
    }

    /// Stops a task that should run if it is preempted, must save its snapshot before the machine
    /// is reclaimed, or can restart elsewhere instead of being lost with the machine.
    fn stop_assigned(
        &self,
        task: Task,
        reported: &ReportedTask,
        open: &OpenJob,
    ) -> Option<DueCommand> {
        let reason = self.reason_to_stop(task, reported.attempt, open)?;
        if reported.status == TaskStatus::Saving {
            return None;
        }
        let has_snapshots = open.spec.snapshot_every_s > 0.0;
        let grace_period_s = if has_snapshots {
            open.spec.snapshot_cost_s + SAVE_MARGIN_S
        } else {
            0.0
        };
        Some(DueCommand::kill(
            task,
            reported.attempt,
            grace_period_s,
            reason,
        ))
    }

    /// Returns why a task that should run must stop, if it must.
    fn reason_to_stop(&self, task: Task, attempt: u64, open: &OpenJob) -> Option<CommandReason> {
        if self.is_preempted(task, attempt) {
            Some(CommandReason::Preempted)
        } else if self.must_save_before_reclaim(open) {
            Some(CommandReason::Reclaimed)
        } else if self.should_restart_elsewhere(task, attempt, open) {
            Some(CommandReason::RestartsElsewhere)
        } else {
            None
        }
    }

    fn is_preempted(&self, task: Task, attempt: u64) -> bool {
        let preempted = self.controller.shards[self.machine.shard]
            .preempted
            .get(&task);
        preempted.is_some_and(|p| p.attempt == attempt && p.until > self.now)
    }

    /// Returns whether the time until the cloud reclaims the machine is only just enough to save a
    /// snapshot.
    fn must_save_before_reclaim(&self, open: &OpenJob) -> bool {
        let margin_ms = self.controller.config.report_ms * SAVE_MARGIN_HEARTBEATS;
        self.machine.reclaim_at.is_some_and(|at| {
            open.spec.snapshot_every_s > 0.0
                && at - self.now < open.spec.snapshot_cost_s * 1000.0 + margin_ms
        })
    }

    fn should_restart_elsewhere(&self, task: Task, attempt: u64, open: &OpenJob) -> bool {
        self.assignments_are_current
            && self
                .controller
                .should_restart_elsewhere(self.machine, task, attempt, open, self.now)
    }

    /// Kills a task whose job is over or that has no assignment. While the mirror may be outdated,
    /// a missing assignment alone is no reason to kill.
    fn kill_unassigned(
        &self,
        task: Task,
        reported: &ReportedTask,
        is_cancelled: bool,
    ) -> Option<DueCommand> {
        let reason = match self.controller.mirror.end(task.0) {
            _ if is_cancelled => CommandReason::Cancelled,
            Some(JobOutcome::Cancelled) => CommandReason::Cancelled,
            Some(JobOutcome::Done) => CommandReason::JobOver,
            None if self.assignments_are_current => CommandReason::NotAssigned,
            None => return None,
        };
        Some(DueCommand::kill(task, reported.attempt, 0.0, reason))
    }

    /// Returns the starts of assigned tasks that the machine does not report. Abandoned attempts
    /// are not started again: only if no start of theirs is sent does a message without the task
    /// prove that it is absent.
    fn missing_starts(&self) -> impl Iterator<Item = DueCommand> {
        let may_start = self.machine.state == MachineState::Ready
            && self.assignments_are_current
            && !self.machine.is_reclaimed_soon(self.now);
        let (machine, mirror) = (self.machine, &self.controller.mirror);
        let assigned = may_start.then(|| mirror.assignments_on(machine.host));
        let missing = assigned.into_iter().flatten().filter(|(task, assignment)| {
            assignment.incarnation == machine.newest.0
                && !machine.is_abandoned(assignment.incarnation, assignment.attempt)
                && !machine.reported.contains_key(task)
                && mirror.open.contains_key(&task.0)
        });
        missing.map(|(task, assignment)| DueCommand {
            task,
            attempt: assignment.attempt,
            kind: CommandKind::Start,
            reason: CommandReason::Assigned,
        })
    }
}

impl Controller {
    /// Returns the commands that bring a machine in line with its assignments, as far as they may be
    /// sent this way.
    pub(crate) fn reconcile(
        &self,
        host: u32,
        now: Millis,
        channel: CommandChannel,
    ) -> Vec<DueCommand> {
        let mut commands = Vec::new();
        let Some(machine) = self.machines.get(&host) else {
            return commands;
        };
        // A machine whose release is requested still gets commands until the cloud has taken it,
        // because cancelled tasks on it must be stopped in any case.
        let is_commanded = matches!(machine.state, MachineState::Ready | MachineState::Returning);
        if !machine.shows_own_token() || !is_commanded {
            return commands;
        }
        let reconciliation = self.reconciliation(machine, now);
        for (&task, reported) in &machine.reported {
            commands.extend(reconciliation.command_for_reported(task, reported));
        }
        match channel {
            CommandChannel::HeartbeatResponse => commands.extend(reconciliation.missing_starts()),
            CommandChannel::Direct => commands.retain(DueCommand::is_kill),
        }
        commands.truncate(MAX_COMMANDS);
        commands
    }

    fn reconciliation<'a>(&'a self, machine: &'a Machine, now: Millis) -> Reconciliation<'a> {
        Reconciliation {
            controller: self,
            machine,
            assignments_are_current: self.state_fresh(now)
                && self.owned_token(machine.shard).is_some(),
            now,
        }
    }

    /// Returns whether a machine is to start tasks that it does not report.
    pub(super) fn has_starts_due(&self, machine: &Machine, now: Millis) -> bool {
        let reconciliation = self.reconciliation(machine, now);
        reconciliation.missing_starts().next().is_some()
    }
}
