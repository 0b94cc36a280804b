//! Jobs that wait for others, as their users and the checker see them.

use super::World;
use cherryyard_wire::job::{JobSpec, JobStatus};
use std::collections::BTreeSet;

/// Time within which jobs that need a cancelled one are to be called cancelled.
const CANCEL_MS: f64 = 40_000.0;

impl World {
    /// All jobs that a job needs, directly and through others, as they were submitted.
    pub fn ancestors(&self, id: &str) -> BTreeSet<String> {
        let mut found = BTreeSet::new();
        let mut pending = vec![id.to_string()];
        while let Some(id) = pending.pop() {
            let needs = self.submitted(&id).map(|spec| spec.waits_on.iter());
            for need in needs.into_iter().flatten() {
                if found.insert(need.clone()) {
                    pending.push(need.clone());
                }
            }
        }
        found
    }

    /// Whether all tasks of a job have completed.
    pub fn is_complete(&self, id: &str) -> bool {
        let task_count = self.submitted(id).map_or(u32::MAX, |spec| spec.task_count);
        (0..task_count).all(|n| self.checker.completed.contains(&format!("{id}/{n}")))
    }

    /// Whether all that a job needs has completed.
    pub fn needs_are_complete(&self, id: &str) -> bool {
        let spec = self.submitted(id);
        spec.is_none_or(|spec| spec.waits_on.iter().all(|need| self.is_complete(need)))
    }

    /// Whether a job may be called cancelled: its user has asked for that, or the user of
    /// a job that it needs.
    pub fn may_be_cancelled(&self, id: &str) -> bool {
        self.asked_to_cancel(id) || self.ancestors(id).iter().any(|a| self.asked_to_cancel(a))
    }

    /// Whether a job that needs a cancelled one is called by an older state for too long
    /// after that one's user was told.
    pub(super) fn is_orphaned(&self, id: &str, status: JobStatus, sent_at: f64) -> bool {
        if !matches!(status, JobStatus::Queued | JobStatus::Running) {
            return false;
        }
        let answered = |need: &String| {
            let at = self.submissions.cancelled_at.get(need);
            at.is_some_and(|at| sent_at - at > CANCEL_MS)
        };
        self.ancestors(id).iter().any(answered)
    }

    /// Notes a start of a task before all jobs that its job needs are done.
    pub(super) fn check_needs(&mut self, id: &str, task_name: &str) {
        if !self.needs_are_complete(id) {
            self.note_violation(format!(
                "{task_name} starts before all that it needs is done"
            ));
        }
    }

    /// Whether a job's user knows that it was accepted.
    pub fn is_accepted(&self, id: &str) -> bool {
        self.requests.knows_accepted(id)
    }
}

/// Users who submit pipelines: each job as soon as those that it needs are accepted.
#[derive(Debug, Default)]
pub struct Pipelines {
    pending: Vec<PendingJob>,
    next: usize,
}

/// A job that is yet to be submitted.
#[derive(Debug)]
struct PendingJob {
    spec: JobSpec,
    submitted: When,
}

/// When a job of a pipeline is submitted.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum When {
    /// As soon as all that it needs is accepted.
    NeedsAccepted,
    /// When all that it needs is complete, or one of that may be cancelled.
    NeedsComplete,
}

impl PendingJob {
    fn is_due(&self, world: &World) -> bool {
        let needs = || self.spec.waits_on.iter();
        if !needs().all(|need| world.is_accepted(need)) {
            return false;
        }
        match self.submitted {
            When::NeedsAccepted => true,
            When::NeedsComplete => {
                needs().any(|need| world.may_be_cancelled(need))
                    || needs().all(|need| world.is_complete(need))
            }
        }
    }
}

impl Pipelines {
    /// A job that is to be submitted as soon as those that it needs are accepted.
    pub fn add(&mut self, spec: JobSpec) {
        self.pending.push(PendingJob {
            spec,
            submitted: When::NeedsAccepted,
        });
    }

    /// A job that is to be submitted only when those that it needs are complete.
    pub fn add_late(&mut self, spec: JobSpec) {
        self.pending.push(PendingJob {
            spec,
            submitted: When::NeedsComplete,
        });
    }

    /// Whether all have been submitted.
    pub fn is_empty(&self) -> bool {
        self.pending.is_empty()
    }

    /// Submits what is due, each at the next controller.
    pub fn step(&mut self, world: &mut World) {
        let pending = std::mem::take(&mut self.pending).into_iter();
        let (due, later): (Vec<_>, Vec<_>) = pending.partition(|job| job.is_due(world));
        self.pending = later;
        for PendingJob { spec, .. } in due {
            self.next += 1;
            world.submit_at(self.next % world.controllers.len(), &spec);
        }
    }
}
