//! Messages of a machine: its heartbeats, and its answers to queries and direct commands.

use super::{Machine, MachineEvent, MachineState, ReportedTask, Task};
use crate::Millis;
use crate::reachability::ReachabilityEvent;
use cherryyard_wire::worker::{TaskStatus, WorkerHeartbeat, parse_task_name};

/// How a message stands to the one before it.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Freshness {
    /// A newer one came before it.
    Old,
    /// It is newer, and all is as before.
    Same,
    /// It is newer, and something has changed.
    New,
}

impl Machine {
    /// Takes a message if it is newer than what is known.
    ///
    /// Most messages report that all is as before: they are compared, and leave
    /// the list of tasks as it is (a fifth of all processor time, before).
    pub fn receive(&mut self, message: &WorkerHeartbeat, own_token: u64, now: Millis) -> Freshness {
        let order = (message.incarnation, message.sequence);
        if order <= self.newest {
            self.stale_in_a_row += 1;
            return Freshness::Old;
        }
        self.stale_in_a_row = 0;
        if self.reports_the_same(message, own_token) {
            self.newest = order;
            self.last_heard_at = now;
            if !self.reported.is_empty() {
                self.busy_at = now;
            }
            return Freshness::Same;
        }
        self.drop_outdated_starts(message);
        self.note_reflected(message, own_token, now);
        if message.incarnation > self.newest.0 {
            // An incarnation has its whole lease from when it began, which was at the latest
            // now: a direct answer was its first message though no heartbeat was answered for
            // long, and what was then started there was taken for lost at once, by the lease
            // before.
            self.answered_at = now;
        }
        self.newest = order;
        self.take(message, own_token, now);
        Freshness::New
    }

    /// Direct commands to an older incarnation, or under a lower token than
    /// the worker has seen, can no longer take effect.
    /// (One that has restarted comes from token 0 to the one that they were sent under.)
    fn drop_outdated_starts(&mut self, message: &WorkerHeartbeat) {
        let (incarnation, token) = (message.incarnation, message.fencing_token);
        if incarnation > self.newest.0 || token > self.token {
            self.pushed
                .retain(|start| start.incarnation >= incarnation && start.token >= token);
        }
    }

    /// Takes what a newer message shows of the answers that we have sent.
    fn note_reflected(&mut self, message: &WorkerHeartbeat, own_token: u64, now: Millis) {
        if message.fencing_token == own_token && self.token < own_token {
            self.note_reachability(ReachabilityEvent::Reflected, now);
        } else if message.fencing_token < own_token && self.confirmed_token == own_token {
            // The last one was answered with our token.
            self.note_reachability(ReachabilityEvent::Missed, now);
        } else if message.incarnation > self.newest.0 && self.newest.0 > 0 {
            self.note_reachability(ReachabilityEvent::NewIncarnation, now);
        }
    }

    /// Takes what a newer message shows of the starts in the last answer.
    pub(crate) fn check_offered(&mut self, now: Millis) {
        let offered = std::mem::take(&mut self.offered);
        if offered.is_empty() {
            return;
        }
        let is_reported = |(task, attempt): &(Task, u64)| {
            let reported = self.reported.get(task);
            reported.is_some_and(|reported| reported.attempt == *attempt)
        };
        let event = if offered.iter().all(is_reported) {
            ReachabilityEvent::Reflected
        } else {
            ReachabilityEvent::Missed
        };
        self.note_reachability(event, now);
    }

    /// Takes the answer to a query, which no late copy can be: the connection
    /// was made for it. The worker numbers it after all that it sent before, so one that
    /// comes before what was known when it was asked is of a worker that has restarted:
    /// whatever was started there before, up to `newest_attempt`, is gone with its
    /// process. Only starts sent directly may yet arrive, if the incarnations' numbers agree.
    pub(crate) fn receive_status(
        &mut self,
        status: &WorkerHeartbeat,
        own_token: u64,
        newest_attempt: u64,
        now: Millis,
    ) -> Freshness {
        self.note_reachability(ReachabilityEvent::Reflected, now);
        let order = (status.incarnation, status.sequence);
        let (_, newest_when_queried) = self.queried;
        if order >= newest_when_queried {
            return self.receive(status, own_token, now);
        }
        tracing::info!(
            machine = %self.addr,
            incarnation = status.incarnation,
            before = self.newest.0,
            "worker restarted within its lease"
        );
        self.pushed
            .retain(|start| start.incarnation >= status.incarnation);
        self.offered.clear();
        self.runs.clear();
        self.images.clear();
        self.restarted_after = newest_attempt;
        self.answered_at = now;
        self.newest = order;
        self.stale_in_a_row = 0;
        self.change(MachineEvent::TokenChanged);
        self.has_restarted = true;
        self.take(status, own_token, now);
        Freshness::New
    }

    /// Takes over what a message reports.
    fn take(&mut self, message: &WorkerHeartbeat, own_token: u64, now: Millis) {
        self.token = message.fencing_token;
        self.confirmed_token = own_token;
        self.last_heard_at = now;
        self.addr.clone_from(&message.addr);
        // Only ever nearer: an assignment that a late transaction takes back for it must not be
        // started again meanwhile.
        let reclaim_at = message.reclaim_in_s.map(|s| now + s.max(0.0) * 1000.0);
        self.reclaim_at = match (reclaim_at, self.reclaim_at) {
            (Some(new), Some(old)) => Some(new.min(old)),
            (new, _) => new,
        };
        self.take_tasks(message);
        self.note_runs(now);
        if !self.reported.is_empty() {
            self.busy_at = now;
        }
        if message.fencing_token == own_token {
            self.change(MachineEvent::Confirmed);
        }
    }

    fn take_tasks(&mut self, message: &WorkerHeartbeat) {
        self.reported.clear();
        self.last_reported.clear();
        for report in &message.tasks {
            if let Some(task) = parse_task_name(&report.task_name) {
                let reported = ReportedTask::of(report);
                self.last_reported.push((task, reported));
                // The same task twice: the one still there counts.
                let known = self.reported.entry(task).or_insert(reported);
                if known.ended() {
                    *known = reported;
                }
            }
        }
    }

    /// Keeps the times of tasks that go on running, or have just ended.
    fn note_runs(&mut self, now: Millis) {
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

    /// For how long an attempt has been seen to run.
    pub fn ran_ms(&self, task: Task, attempt: u64, now: Millis) -> Option<Millis> {
        let run = self.runs.get(&task).filter(|run| run.0 == attempt);
        run.map(|(_, since)| now - since)
    }

    /// Whether a message differs in nothing that matters from the last one. It
    /// matters while a start may be on its way that it shows or does not show.
    fn reports_the_same(&self, message: &WorkerHeartbeat, own_token: u64) -> bool {
        self.state == MachineState::Ready
            && !self.lease_over
            && message.incarnation == self.newest.0
            && message.fencing_token == self.token
            && own_token == self.token
            && own_token == self.confirmed_token
            && message.reclaim_in_s.is_none()
            && self.reclaim_at.is_none()
            && self.pushed.iter().all(|start| start.lost)
            && self.offered.is_empty()
            && message.addr == self.addr
            && self.lists_the_same(message)
    }

    /// Whether a message lists the same tasks as the last one, in the same order.
    fn lists_the_same(&self, message: &WorkerHeartbeat) -> bool {
        let mut pairs = message.tasks.iter().zip(&self.last_reported);
        message.tasks.len() == self.last_reported.len()
            && pairs.all(|(report, (task, last))| {
                *last == ReportedTask::of(report)
                    && parse_task_name(&report.task_name) == Some(*task)
            })
    }
}
