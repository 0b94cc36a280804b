//! Processing of a machine's messages: its heartbeats, and its answers to queries and direct
//! commands.

use super::{Machine, MachineEvent, MachineState, OwnTokens, ReportedTask, Task};
use crate::Millis;
use crate::reachability::ReachabilityEvent;
use cherryyard_wire::worker::{TaskStatus, WorkerHeartbeat, parse_task_name};

/// Order and content of a message relative to the newest message before it.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Freshness {
    /// The message is not newer.
    Stale,
    /// The message is newer and reports the same state.
    Unchanged,
    /// The message is newer and reports a change.
    Changed,
}

impl Machine {
    /// Applies a message if it is newer than the newest one known.
    ///
    /// Most messages report no change. They are compared with the last message and leave the task
    /// list as it is, because rebuilding the list for each message took a fifth of all processor
    /// time.
    pub fn receive(&mut self, message: &WorkerHeartbeat, own: OwnTokens, now: Millis) -> Freshness {
        let order = (message.incarnation, message.sequence);
        if order <= self.newest {
            self.consecutive_stale += 1;
            return Freshness::Stale;
        }
        self.consecutive_stale = 0;
        if self.reports_no_change(message, own) {
            self.newest = order;
            self.last_heard_at = now;
            self.note_busy(now);
            return Freshness::Unchanged;
        }
        self.update_reachability(message, own, now);
        if message.incarnation > self.newest.0 {
            // A new incarnation has a whole lease, counted from its start, which was at the latest
            // now. Its first message may be a direct answer long after the last answered heartbeat;
            // without this update a task started there would be taken for lost at once, because the
            // previous incarnation's lease has expired.
            self.answered_at = now;
        }
        self.newest = order;
        self.apply_report(message, own, now);
        Freshness::Changed
    }

    /// Updates reachability from what a newer message shows of earlier answers.
    fn update_reachability(&mut self, message: &WorkerHeartbeat, own: OwnTokens, now: Millis) {
        if message.fencing_token >= own.first && self.token < own.first {
            self.note_reachability(ReachabilityEvent::Reflected, now);
        } else if message.fencing_token < own.first && self.answered_under == own.first {
            // The previous message was answered with one of the owner's tokens, and this one does
            // not show it.
            self.note_reachability(ReachabilityEvent::NotReflected, now);
        } else if message.incarnation > self.newest.0 && self.newest.0 > 0 {
            self.note_reachability(ReachabilityEvent::NewIncarnation, now);
        }
    }

    /// Updates reachability from whether the newest message reports the starts that were offered in
    /// the last answer. Returns how many it does not report.
    pub(crate) fn check_offered_starts(&mut self, now: Millis) -> usize {
        let offered = std::mem::take(&mut self.offered_starts);
        if offered.is_empty() {
            return 0;
        }
        let is_reported = |(task, attempt): &(Task, u64)| {
            let reported = self.reported.get(task);
            reported.is_some_and(|reported| reported.attempt == *attempt)
        };
        let unreported = offered.iter().filter(|start| !is_reported(start)).count();
        let event = if unreported == 0 {
            ReachabilityEvent::Reflected
        } else {
            ReachabilityEvent::NotReflected
        };
        self.note_reachability(event, now);
        unreported
    }

    /// Returns whether the answer to a query shows that the worker has restarted.
    ///
    /// The answer is never a delayed copy, because its connection was made for this query. A worker
    /// numbers the answer after everything that it sent before, so an answer numbered below the
    /// newest message known at the time of the query is that of a new process. If a newer message
    /// has been evaluated since, the new process may have sent it and have been answered with starts,
    /// so another query has to tell.
    pub(crate) fn shows_restart(&self, status: &WorkerHeartbeat) -> bool {
        let (_, newest_when_queried) = self.last_query;
        (status.incarnation, status.sequence) < newest_when_queried
            && self.newest == newest_when_queried
    }

    /// Applies the answer to a query. If it shows that the worker has restarted, everything started
    /// before, up to attempt `newest_attempt`, ended with the old process, and the answers that were
    /// on their way to it are lost.
    pub(crate) fn receive_status(
        &mut self,
        status: &WorkerHeartbeat,
        own: OwnTokens,
        newest_attempt: u64,
        now: Millis,
    ) -> Freshness {
        self.note_reachability(ReachabilityEvent::Reflected, now);
        if !self.shows_restart(status) {
            return self.receive(status, own, now);
        }
        tracing::info!(
            machine = %self.addr,
            incarnation = status.incarnation,
            before = self.newest.0,
            shown_token = status.fencing_token,
            shown_before = self.token,
            token = own.current,
            silent_ms = now - self.last_heard_at,
            "worker restarted within its lease"
        );
        self.offered_starts.clear();
        self.runs.clear();
        self.images.clear();
        self.last_attempt_before_restart = newest_attempt;
        self.answered_at = now;
        self.newest = (status.incarnation, status.sequence);
        self.consecutive_stale = 0;
        self.change(MachineEvent::TokenChanged);
        self.restarted_under = Some(own.current);
        self.apply_report(status, own, now);
        Freshness::Changed
    }

    /// Copies what a message reports into the machine.
    fn apply_report(&mut self, message: &WorkerHeartbeat, own: OwnTokens, now: Millis) {
        self.token = message.fencing_token;
        self.is_confirmed = (own.first..=own.current).contains(&message.fencing_token);
        self.answered_under = own.first;
        self.last_heard_at = now;
        self.addr.clone_from(&message.addr);
        self.pool.get_or_insert_with(|| message.pool());
        // An announced reclaim time only moves closer as long as messages announce one. A pending
        // transaction may withdraw an assignment because of the reclaim, and that task must not be
        // started again in the meantime.
        let reclaim_at = message.reclaim_in_s.map(|s| now + s.max(0.0) * 1000.0);
        self.reclaim_at = match (reclaim_at, self.reclaim_at) {
            (Some(new), Some(old)) => Some(new.min(old)),
            (new, _) => new,
        };
        self.replace_tasks(message);
        self.update_run_times(now);
        self.note_busy(now);
        if self.is_confirmed {
            self.change(MachineEvent::Confirmed);
        }
    }

    /// Records the time if the machine has tasks that have not ended.
    fn note_busy(&mut self, now: Millis) {
        if self.has_tasks() {
            self.busy_at = now;
        }
    }

    /// Returns whether the newest message reports a task that has not ended.
    pub(crate) fn has_tasks(&self) -> bool {
        self.reported.values().any(|reported| !reported.ended())
    }

    fn replace_tasks(&mut self, message: &WorkerHeartbeat) {
        self.reported.clear();
        self.last_reported.clear();
        for report in &message.tasks {
            if let Some(task) = parse_task_name(&report.task_name) {
                let reported = ReportedTask::of(report);
                self.last_reported.push((task, reported));
                // If a message lists a task twice, the attempt that has not ended is kept.
                let known = self.reported.entry(task).or_insert(reported);
                if known.ended() {
                    *known = reported;
                }
            }
        }
    }

    /// Records the first time at which each reported attempt was seen running, and removes attempts
    /// that are no longer reported.
    fn update_run_times(&mut self, now: Millis) {
        let reported = &self.reported;
        self.runs.retain(|task, (attempt, _)| {
            let reported = reported.get(task);
            reported.is_some_and(|reported| reported.attempt == *attempt)
        });
        for (&task, reported) in reported {
            if reported.status == TaskStatus::Running {
                self.runs.entry(task).or_insert((reported.attempt, now));
            }
        }
    }

    /// Returns for how long an attempt has been seen running.
    pub fn ran_ms(&self, task: Task, attempt: u64, now: Millis) -> Option<Millis> {
        let run = self.runs.get(&task).filter(|run| run.0 == attempt);
        run.map(|(_, since)| now - since)
    }

    /// Returns whether a message repeats the last one in everything that affects decisions. While
    /// offered starts are in flight every message counts as a change, because it shows whether they
    /// have arrived.
    fn reports_no_change(&self, message: &WorkerHeartbeat, own: OwnTokens) -> bool {
        self.state == MachineState::Ready
            && !self.lease_over
            && message.incarnation == self.newest.0
            && message.fencing_token == self.token
            && self.is_confirmed
            && own.first == self.answered_under
            && message.reclaim_in_s.is_none()
            && self.reclaim_at.is_none()
            && self.offered_starts.is_empty()
            && message.addr == self.addr
            && self.lists_same_tasks(message)
    }

    /// Returns whether a message lists the same tasks as the last one, in the same order.
    fn lists_same_tasks(&self, message: &WorkerHeartbeat) -> bool {
        let mut pairs = message.tasks.iter().zip(&self.last_reported);
        message.tasks.len() == self.last_reported.len()
            && pairs.all(|(report, (task, last))| {
                *last == ReportedTask::of(report)
                    && parse_task_name(&report.task_name) == Some(*task)
            })
    }
}
