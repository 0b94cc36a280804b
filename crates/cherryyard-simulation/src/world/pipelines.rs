//! Jobs that depend on other jobs: checks of their order, and users who submit them.

use super::World;
use cherryyard_wire::job::{JobSpec, JobStatus};
use std::collections::BTreeSet;

impl World {
    /// Returns all jobs that a job depends on, directly or through others, as they were
    /// submitted.
    pub fn ancestors(&self, id: &str) -> BTreeSet<String> {
        let mut found = BTreeSet::new();
        let mut pending = vec![id.to_string()];
        while let Some(id) = pending.pop() {
            let dependencies = self.submitted(&id).map(|spec| spec.waits_on.iter());
            for dependency in dependencies.into_iter().flatten() {
                if found.insert(dependency.clone()) {
                    pending.push(dependency.clone());
                }
            }
        }
        found
    }

    /// Returns whether all tasks of a job have completed.
    pub fn is_complete(&self, id: &str) -> bool {
        let task_count = self.submitted(id).map_or(u32::MAX, |spec| spec.task_count);
        (0..task_count).all(|n| self.checker.completed.contains(&format!("{id}/{n}")))
    }

    /// Returns whether all direct dependencies of a job have completed.
    pub fn dependencies_complete(&self, id: &str) -> bool {
        let spec = self.submitted(id);
        spec.is_none_or(|spec| {
            spec.waits_on
                .iter()
                .all(|dependency| self.is_complete(dependency))
        })
    }

    /// Returns whether a job may be reported as cancelled: the cancellation of the job or of
    /// one that it depends on was requested.
    pub fn may_be_cancelled(&self, id: &str) -> bool {
        self.asked_to_cancel(id) || self.ancestors(id).iter().any(|a| self.asked_to_cancel(a))
    }

    /// Returns whether a job is reported as queued or running too long after the cancellation
    /// of a job that it depends on was confirmed.
    pub(super) fn outlives_cancelled_dependency(
        &self,
        id: &str,
        status: JobStatus,
        sent_at: f64,
    ) -> bool {
        if !matches!(status, JobStatus::Queued | JobStatus::Running) {
            return false;
        }
        let cancelled_too_long_ago = |dependency: &String| {
            let at = self.submissions.cancelled_at.get(dependency);
            at.is_some_and(|at| sent_at - at > self.setup.cancel_ms())
        };
        self.ancestors(id).iter().any(cancelled_too_long_ago)
    }

    /// Records a violation if a task starts before all dependencies of its job are complete.
    pub(super) fn check_dependencies(&mut self, id: &str, task_name: &str) {
        if !self.dependencies_complete(id) {
            self.record_violation(format!(
                "{task_name} starts before all that it needs is done"
            ));
        }
    }

    /// Returns whether a job's user has been told that the job is accepted.
    pub fn is_accepted(&self, id: &str) -> bool {
        self.requests.knows_accepted(id)
    }
}

/// Users who submit pipelines: each job once the jobs that it depends on are accepted or
/// complete.
#[derive(Debug, Default)]
pub struct Pipelines {
    pending: Vec<PendingJob>,
    next: usize,
}

/// A job that has not yet been submitted.
#[derive(Debug)]
struct PendingJob {
    spec: JobSpec,
    submit_when: SubmitWhen,
}

/// Condition for the submission of a pipeline's job.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum SubmitWhen {
    /// All dependencies are accepted.
    DependenciesAccepted,
    /// All dependencies are accepted, and all of them are complete or one of them may be
    /// cancelled.
    DependenciesComplete,
}

impl PendingJob {
    fn is_due(&self, world: &World) -> bool {
        let dependencies = || self.spec.waits_on.iter();
        if !dependencies().all(|dependency| world.is_accepted(dependency)) {
            return false;
        }
        match self.submit_when {
            SubmitWhen::DependenciesAccepted => true,
            SubmitWhen::DependenciesComplete => {
                dependencies().any(|dependency| world.may_be_cancelled(dependency))
                    || dependencies().all(|dependency| world.is_complete(dependency))
            }
        }
    }
}

impl Pipelines {
    /// Adds a job that is submitted as soon as the jobs that it depends on are accepted.
    pub fn add(&mut self, spec: JobSpec) {
        self.pending.push(PendingJob {
            spec,
            submit_when: SubmitWhen::DependenciesAccepted,
        });
    }

    /// Adds a job that is submitted only once the jobs that it depends on are complete, or one
    /// of them may be cancelled.
    pub fn add_after_completion(&mut self, spec: JobSpec) {
        self.pending.push(PendingJob {
            spec,
            submit_when: SubmitWhen::DependenciesComplete,
        });
    }

    /// Returns whether all jobs have been submitted.
    pub fn is_empty(&self) -> bool {
        self.pending.is_empty()
    }

    /// Submits the jobs that are due, each to the next controller in turn.
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
