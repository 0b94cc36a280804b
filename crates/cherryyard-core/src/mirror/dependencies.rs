//! Dependencies between jobs: which jobs are ready, and which are cancelled with a job that they
//! depend on. `urgency` passes on priorities and deadlines, `dependency_graph` holds the graph.
//!
//! All of this is derived from the stored records and is never stored itself. A job is *ready* when
//! every job that it depends on is done. A job is *cancelled with* a dependency as soon as that
//! dependency is cancelled, or is itself cancelled with another job. Ends are final, so neither
//! state is ever reversed, and controllers that have read up to different revisions never
//! contradict each other: some only lack changes that others have read.

use super::dependency_steps::{DependencySteps, Walk, WalkKind};
use super::{Mirror, OpenJob};
use cherryyard_wire::job::Shape;
use cherryyard_wire::record::{JobOutcome, JobRecord};
use std::collections::VecDeque;

/// Open job that is to be marked as cancelled with a dependency.
#[derive(Clone, Copy, Debug)]
struct CancelledDependent {
    job: u64,
    dependency: u64,
}

impl Mirror {
    /// Inserts an open job, or replaces an earlier version of it; returns the earlier version.
    pub(super) fn insert_open(&mut self, job: u64, mut open: OpenJob) -> Option<OpenJob> {
        // The graph needs each dependency once, in order. Lists are written so, but records come from
        // outside this process.
        open.dependencies.jobs.sort_unstable();
        open.dependencies.jobs.dedup();
        let dependencies = open.dependencies.jobs.clone();
        open.urgency = self.graph.urgency(job, open.own_urgency());
        let urgency = open.urgency;
        let previous = self.open.insert(job, open);
        let linked = previous.as_ref().map(|open| &open.dependencies.jobs);
        if linked != Some(&dependencies) {
            if let Some(linked) = linked {
                self.unlink(job, linked);
            }
            self.link(job, &dependencies);
        }
        if !dependencies.is_empty() {
            self.graph.mark_changed(job);
        }
        if previous
            .as_ref()
            .is_some_and(|open| open.urgency != urgency)
        {
            self.tasks.note_waiting_change(job);
        }
        previous
    }

    fn link(&mut self, job: u64, dependencies: &[u64]) {
        let unmet = dependencies.iter().copied();
        let unmet = unmet.filter(|dependency| self.end(*dependency) != Some(JobOutcome::Done));
        let unmet = unmet.collect();
        self.graph.link(job, dependencies, unmet);
        if let Some(dependency) = self.cancelled_dependency(job) {
            self.cancel_with_dependency(CancelledDependent { job, dependency });
        }
    }

    /// Removes the dependencies of a job. They no longer inherit its priority and deadline.
    fn unlink(&mut self, job: u64, dependencies: &[u64]) {
        self.graph.unlink(job, dependencies);
        for &dependency in dependencies {
            if self.open.contains_key(&dependency) {
                self.graph.mark_changed(dependency);
            }
        }
    }

    /// Removes an open job; returns false if there is no such open job.
    pub(super) fn remove_open(&mut self, job: u64) -> bool {
        let Some(previous) = self.open.remove(&job) else {
            return false;
        };
        self.graph.cancelled.remove(&job);
        self.unlink(job, &previous.dependencies.jobs);
        true
    }

    /// Updates the dependents of a job that has ended: they may be ready now, or are cancelled with
    /// the job. Called once for each job, so each of its dependents is visited once.
    pub(super) fn refresh_dependents(&mut self, job: u64, end: JobOutcome) {
        let mut walk = Walk::new(WalkKind::Readiness, job);
        for dependent in self.graph.dependents(job) {
            walk.count(1);
            match end {
                JobOutcome::Done => {
                    if self.graph.dependency_done(dependent, job) {
                        self.refresh_job(dependent);
                    }
                }
                JobOutcome::Cancelled => self.cancel_with_dependency(CancelledDependent {
                    job: dependent,
                    dependency: job,
                }),
            }
        }
        self.graph.steps.add(&walk);
    }

    /// Returns the steps that walks over the graph of dependencies have taken.
    pub fn dependency_steps(&self) -> DependencySteps {
        self.graph.steps
    }

    /// Returns the cancelled job that an open job depends on, if there is one.
    fn cancelled_dependency(&self, job: u64) -> Option<u64> {
        let open = self.open.get(&job)?;
        let is_cancelled = |dependency: &&u64| {
            self.end(**dependency) == Some(JobOutcome::Cancelled)
                || self.graph.cancelled.contains_key(*dependency)
        };
        let dependencies = &open.dependencies;
        let first_cancelled = || dependencies.jobs.iter().find(is_cancelled).copied();
        dependencies.cancelled_by.or_else(first_cancelled)
    }

    /// Marks a job as cancelled with a dependency, and all its direct and indirect dependents with
    /// it. Each job is marked once, and each of its dependents is looked at once.
    fn cancel_with_dependency(&mut self, first: CancelledDependent) {
        let mut walk = Walk::new(WalkKind::Cancellation, first.job);
        let mut pending = VecDeque::from([first]);
        while let Some(CancelledDependent { job, dependency }) = pending.pop_front() {
            walk.count(1);
            if self.graph.cancelled.contains_key(&job) {
                continue;
            }
            self.graph.cancelled.insert(job, dependency);
            self.undivided.remove(&job);
            self.graph.mark_changed(job);
            let dependents = self.graph.dependents(job).into_iter();
            pending.extend(dependents.map(|dependent| CancelledDependent {
                job: dependent,
                dependency: job,
            }));
        }
        self.graph.steps.add(&walk);
    }

    /// Returns the dependency with which an open job is cancelled; none if it is not cancelled.
    pub fn cancelled_with(&self, job: u64) -> Option<u64> {
        self.graph.cancelled.get(&job).copied()
    }

    /// Returns the open jobs that are cancelled with a dependency and whose ends are not stored
    /// yet.
    pub fn cancelled_dependents(&self) -> impl Iterator<Item = u64> + '_ {
        self.graph.cancelled.keys().copied()
    }

    /// Returns whether an open job waits for another job, or is cancelled with one. A divided job
    /// was ready before its division and waits for none.
    pub fn waits_for_others(&self, job: u64) -> bool {
        let Some(open) = self.open.get(&job) else {
            return false;
        };
        if open.divided() {
            return false;
        }
        self.graph.cancelled.contains_key(&job) || !self.unmet_dependencies(job).is_empty()
    }

    /// Returns the jobs that an open job depends on and that are not done, in ascending order.
    pub fn unmet_dependencies(&self, job: u64) -> &[u64] {
        self.graph.unmet(job)
    }

    /// Returns whether open jobs depend on a job. The job's end must stay stored until they have
    /// ended.
    pub fn has_dependents(&self, job: u64) -> bool {
        self.graph.has_dependents(job)
    }

    /// Returns the record for the end of an open job that is cancelled with a dependency.
    pub fn end_of_dependent(&self, job: u64) -> Option<JobRecord> {
        let cancelled_with = self.cancelled_with(job)?;
        let mut record = self.open.get(&job)?.ended(JobOutcome::Cancelled);
        if let JobRecord::Ended { cancelled_by, .. } = &mut record {
            *cancelled_by = Some(cancelled_with);
        }
        Some(record)
    }

    /// Returns whether a job is an open service, whose tasks run until the job is cancelled.
    pub fn is_service(&self, job: u64) -> bool {
        let open = self.open.get(&job);
        open.is_some_and(|open| open.spec.shape == Shape::Service)
    }
}
