//! Directly sent starts that may still take effect, once or again.
//!
//! The network may deliver a direct command again at any later time, also after the worker has
//! carried it out and answered. The worker carries it out if its token and incarnation still match
//! and the worker does not hold the attempt. So each start is kept here until the worker has shown
//! a higher token or a later incarnation, and until then the attempt is not cleared.

use super::{Machine, Task};
use cherryyard_wire::worker::{CommandBatch, TaskReport, parse_task_name};

/// Largest number of direct starts of a machine that are kept; beyond it starts go out in answers
/// to heartbeats only, which are never carried out late. With the tasks of at most 100 bytes each
/// in a heartbeat, what is not cleared stays below a fifth of the largest heartbeat.
pub const MAX_DIRECT_STARTS: usize = 128;

/// What is known of the outcome of a direct start.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum StartOutcome {
    /// The answer is awaited.
    InFlight,
    /// The answer was lost, or did not show the attempt: the start may arrive at any later time.
    Unknown,
    /// The worker has answered that it holds the attempt, and holds it until it is cleared.
    Held,
}

/// A directly sent start.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct DirectStart {
    /// The task to start.
    pub task: Task,
    /// Number of the attempt.
    pub attempt: u64,
    /// Incarnation of the worker that the start is addressed to.
    pub incarnation: u64,
    /// Fencing token under which the start was sent.
    pub token: u64,
    /// What is known of its outcome.
    pub outcome: StartOutcome,
}

impl Machine {
    /// Returns the direct starts of an attempt.
    pub(crate) fn direct_starts_of(
        &self,
        task: Task,
        attempt: u64,
    ) -> impl Iterator<Item = &DirectStart> {
        let starts = self.direct_starts.iter();
        starts.filter(move |start| start.task == task && start.attempt == attempt)
    }

    /// Returns the number of direct starts that may be sent before the bound is reached.
    pub(crate) fn direct_starts_left(&self) -> usize {
        MAX_DIRECT_STARTS.saturating_sub(self.direct_starts.len())
    }

    /// Records the starts of a batch of direct commands as in flight.
    pub(crate) fn note_direct_starts(&mut self, request: &CommandBatch) {
        for (task, attempt) in request.starts() {
            self.direct_starts.push(DirectStart {
                task,
                attempt,
                incarnation: request.incarnation,
                token: request.fencing_token,
                outcome: StartOutcome::InFlight,
            });
        }
    }

    /// Removes the starts of a batch that was never sent.
    pub(crate) fn forget_unsent_starts(&mut self, request: &CommandBatch) {
        for (task, attempt) in request.starts() {
            self.take_in_flight(task, attempt, request.fencing_token);
        }
    }

    /// Records the outcome of the starts of a batch. `answer` has the tasks in the worker's answer;
    /// it is `None` if no answer arrived.
    pub(crate) fn settle_direct_starts(
        &mut self,
        request: &CommandBatch,
        answer: Option<&[TaskReport]>,
    ) {
        let held: Vec<(Task, u64)> = answer
            .into_iter()
            .flatten()
            .filter_map(|report| Some((parse_task_name(&report.task_name)?, report.attempt)))
            .collect();
        for (task, attempt) in request.starts() {
            let Some(start) = self.take_in_flight(task, attempt, request.fencing_token) else {
                continue;
            };
            let outcome = if held.contains(&(task, attempt)) {
                StartOutcome::Held
            } else {
                StartOutcome::Unknown
            };
            self.replace_direct_start(DirectStart { outcome, ..start });
        }
    }

    /// Returns and removes the start of an attempt that is in flight under this token.
    fn take_in_flight(&mut self, task: Task, attempt: u64, token: u64) -> Option<DirectStart> {
        let i = self.direct_starts.iter().position(|start| {
            start.task == task
                && start.attempt == attempt
                && start.token == token
                && start.outcome == StartOutcome::InFlight
        })?;
        Some(self.direct_starts.remove(i))
    }

    /// Keeps a settled start in place of earlier ones of the same attempt under the same token. The
    /// attempt stays held if it was held before.
    fn replace_direct_start(&mut self, mut start: DirectStart) {
        let is_same = |earlier: &DirectStart| {
            (earlier.task, earlier.attempt) == (start.task, start.attempt)
                && (earlier.token, earlier.incarnation) == (start.token, start.incarnation)
                && earlier.outcome != StartOutcome::InFlight
        };
        let mut same = self.direct_starts.iter().filter(|earlier| is_same(earlier));
        if same.any(|earlier| earlier.outcome == StartOutcome::Held) {
            start.outcome = StartOutcome::Held;
        }
        self.direct_starts.retain(|earlier| !is_same(earlier));
        self.direct_starts.push(start);
    }

    /// Removes starts to an older incarnation, or under a lower token than the worker has shown.
    pub(super) fn drop_void_starts(&mut self, incarnation: u64, token: u64) {
        self.direct_starts
            .retain(|start| start.incarnation >= incarnation && start.token >= token);
    }

    /// Records that the worker has restarted in this incarnation and holds no attempt any more.
    pub(super) fn forget_held_attempts(&mut self, incarnation: u64) {
        self.direct_starts
            .retain(|start| start.incarnation >= incarnation);
        for start in &mut self.direct_starts {
            if start.outcome == StartOutcome::Held {
                start.outcome = StartOutcome::Unknown;
            }
        }
    }

    /// Returns whether an ended attempt cannot be cleared before the worker has shown a token higher
    /// than `token`.
    pub(crate) fn has_uncleared_under(&self, token: u64) -> bool {
        self.reported.iter().any(|(&task, reported)| {
            let mut starts = self.direct_starts_of(task, reported.attempt);
            reported.ended() && starts.any(|start| start.token >= token)
        })
    }

    /// Returns whether the answer to a direct start is awaited.
    pub(super) fn has_starts_in_flight(&self) -> bool {
        let mut starts = self.direct_starts.iter();
        starts.any(|start| start.outcome == StartOutcome::InFlight)
    }

    /// Returns how many direct starts were sent under a token of at least `token`.
    pub(crate) fn direct_starts_under(&self, token: u64) -> usize {
        let starts = self.direct_starts.iter();
        starts.filter(|start| start.token >= token).count()
    }
}
