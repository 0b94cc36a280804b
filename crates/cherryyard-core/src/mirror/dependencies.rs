//! Dependencies between jobs: which jobs are ready, which are cancelled with a job that they depend
//! on, and which priority and deadline a job inherits from its dependents.
//!
//! All of this is derived from the stored records and is never stored itself. A job is *ready* when
//! every job that it depends on is done. A job is *cancelled with* a dependency as soon as that
//! dependency is cancelled, or is itself cancelled with another job. Ends are final, so neither
//! state is ever reversed, and controllers that have read up to different revisions never
//! contradict each other: some only lack changes that others have read.

use super::dependency_steps::{DependencySteps, Walk, WalkKind};
use super::{Mirror, OpenJob};
use crate::admission::flows::Flow;
use cherryyard_wire::job::{Rank, Shape};
use cherryyard_wire::record::{JobOutcome, JobRecord};
use std::collections::{BTreeMap, BTreeSet, HashMap};

/// Time in milliseconds that a stage takes besides the run time of its tasks: until controllers
/// have read of its end, the next stage has been divided and started, and images have been fetched.
const STAGE_OVERHEAD_MS: f64 = 5000.0;
/// Ratio of the run time of the longest of several tasks to the estimate for one task.
const LONGEST_TASK_FACTOR: f64 = 1.5;

/// Deadline that applies to a job: its own, or that of a direct or indirect dependent.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Deadline {
    /// Wall-clock time at which the deadline's period starts, in milliseconds.
    pub starts_ms: f64,
    /// Length of the deadline's period in milliseconds.
    pub allowed_ms: f64,
    /// Estimated duration in milliseconds of the later stages: the jobs after this one, up to and
    /// including the job that was submitted with the deadline.
    pub later_stages_ms: f64,
    /// Flow of the job that was submitted with the deadline.
    pub flow: Flow,
}

impl Deadline {
    /// Returns the wall-clock time in milliseconds by which the job has to be complete so that a
    /// multiple of the deadline's period is met.
    pub fn complete_by(&self, multiple: f64) -> f64 {
        self.starts_ms + self.allowed_ms * multiple - self.later_stages_ms
    }
}

/// Priority and deadline of a job, including those inherited from its dependents.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Urgency {
    /// Highest priority of the job and its dependents.
    pub rank: Rank,
    /// Earliest deadline of the job and its dependents.
    pub deadline: Option<Deadline>,
}

impl Urgency {
    /// Inherits the priority and the deadline of a dependent, each if it is more urgent.
    /// `dependent_duration_ms` is the estimated duration of the dependent.
    fn inherit(&mut self, dependent: &Self, dependent_duration_ms: f64) {
        self.rank = self.rank.max(dependent.rank);
        let inherited = dependent.deadline.map(|deadline| Deadline {
            later_stages_ms: deadline.later_stages_ms + dependent_duration_ms,
            ..deadline
        });
        let complete_by = |deadline: &Option<Deadline>| {
            deadline.map_or(f64::INFINITY, |deadline| deadline.complete_by(1.0))
        };
        if complete_by(&inherited) < complete_by(&self.deadline) {
            self.deadline = inherited;
        }
    }
}

/// Graph of the dependencies between jobs.
#[derive(Clone, Debug, Default)]
pub(super) struct DependencyGraph {
    /// Open jobs that depend on each job.
    dependents: HashMap<u64, BTreeSet<u64>>,
    /// Open jobs that are cancelled with a dependency, and the number of that dependency.
    cancelled: BTreeMap<u64, u64>,
    /// Steps of all walks over the graph.
    steps: DependencySteps,
}

impl DependencyGraph {
    fn dependents(&self, job: u64) -> Vec<u64> {
        let dependents = self.dependents.get(&job).into_iter().flatten();
        dependents.copied().collect()
    }

    fn link(&mut self, job: u64, dependencies: &[u64]) {
        for &dependency in dependencies {
            self.dependents.entry(dependency).or_default().insert(job);
        }
    }

    fn unlink(&mut self, job: u64, dependencies: &[u64]) {
        for dependency in dependencies {
            let Some(dependents) = self.dependents.get_mut(dependency) else {
                continue;
            };
            dependents.remove(&job);
            if dependents.is_empty() {
                self.dependents.remove(dependency);
            }
        }
    }
}

impl OpenJob {
    /// Returns the estimated duration of the job from when it is ready, in milliseconds.
    fn estimated_duration_ms(&self) -> f64 {
        self.spec.expected_s * 1000.0 * LONGEST_TASK_FACTOR + STAGE_OVERHEAD_MS
    }

    /// Returns the job's own priority and deadline, without inherited ones.
    pub(super) fn own_urgency(&self) -> Urgency {
        Urgency {
            rank: self.spec.rank,
            deadline: self.spec.due_s.map(|due_s| Deadline {
                starts_ms: self.submitted_at as f64,
                allowed_ms: due_s * 1000.0,
                later_stages_ms: 0.0,
                flow: self.flow,
            }),
        }
    }
}

impl Mirror {
    /// Inserts an open job, or replaces an earlier version of it; returns the earlier version.
    pub(super) fn insert_open(&mut self, job: u64, open: OpenJob) -> Option<OpenJob> {
        let dependencies = open.dependencies.jobs.clone();
        let previous = self.open.insert(job, open);
        if let Some(previous) = &previous {
            self.graph.unlink(job, &previous.dependencies.jobs);
        }
        self.graph.link(job, &dependencies);
        self.cancel_with_dependency(job);
        self.refresh_urgency(job);
        let urgency = self.open.get(&job).map(|open| open.urgency);
        let is_unchanged = |previous: &OpenJob| {
            previous.dependencies.jobs == dependencies && Some(previous.urgency) == urgency
        };
        if !previous.as_ref().is_some_and(is_unchanged) {
            // A new job already has its own urgency, so the refresh above finds no change and
            // does not pass it on to the dependencies.
            for dependency in dependencies {
                self.refresh_urgency(dependency);
            }
        }
        previous
    }

    /// Removes an open job; returns false if there is no such open job.
    pub(super) fn remove_open(&mut self, job: u64) -> bool {
        let Some(previous) = self.open.remove(&job) else {
            return false;
        };
        self.graph.unlink(job, &previous.dependencies.jobs);
        self.graph.cancelled.remove(&job);
        for &dependency in &previous.dependencies.jobs {
            self.refresh_urgency(dependency);
        }
        true
    }

    /// Updates the dependents of a job that has ended: they may be ready now, or are cancelled with
    /// the job.
    pub(super) fn refresh_dependents(&mut self, job: u64) {
        let mut walk = Walk::new(WalkKind::Readiness, job);
        for dependent in self.graph.dependents(job) {
            walk.count(1 + self.dependency_count(dependent));
            self.cancel_with_dependency(dependent);
            self.refresh_job(dependent);
        }
        self.graph.steps.add(&walk);
    }

    fn dependency_count(&self, job: u64) -> usize {
        let open = self.open.get(&job);
        open.map_or(0, |open| open.dependencies.jobs.len())
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

    /// Marks a job as cancelled if a job that it depends on is cancelled, and marks all its direct
    /// and indirect dependents with it.
    fn cancel_with_dependency(&mut self, job: u64) {
        let mut walk = Walk::new(WalkKind::Cancellation, job);
        let mut pending = vec![job];
        while let Some(job) = pending.pop() {
            walk.count(1);
            if self.graph.cancelled.contains_key(&job) {
                continue;
            }
            walk.count(self.dependency_count(job));
            let Some(dependency) = self.cancelled_dependency(job) else {
                continue;
            };
            self.graph.cancelled.insert(job, dependency);
            self.undivided.remove(&job);
            pending.extend(self.graph.dependents(job));
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
        self.graph.cancelled.contains_key(&job) || self.unmet_dependencies(open).next().is_some()
    }

    /// Returns the jobs that an open job depends on and that are not done.
    pub fn unmet_dependencies<'a>(&'a self, open: &'a OpenJob) -> impl Iterator<Item = u64> + 'a {
        let dependencies = open.dependencies.jobs.iter().copied();
        dependencies.filter(|dependency| self.end(*dependency) != Some(JobOutcome::Done))
    }

    /// Returns whether open jobs depend on a job. The job's end must stay stored until they have
    /// ended.
    pub fn has_dependents(&self, job: u64) -> bool {
        self.graph.dependents.contains_key(&job)
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

    /// Computes an open job's urgency from its own priority and deadline and from those of its
    /// dependents, except the cancelled ones.
    fn urgency_of(&self, job: u64, open: &OpenJob) -> Urgency {
        let mut urgency = open.own_urgency();
        for dependent in self.graph.dependents(job) {
            if let Some(other) = self.open.get(&dependent)
                && !self.graph.cancelled.contains_key(&dependent)
            {
                urgency.inherit(&other.urgency, other.estimated_duration_ms());
            }
        }
        urgency
    }

    /// Recomputes the urgency of a job and, where it changes, of the jobs that it depends on,
    /// directly or indirectly.
    fn refresh_urgency(&mut self, job: u64) {
        let mut walk = Walk::new(WalkKind::Urgency, job);
        let mut pending = vec![job];
        while let Some(job) = pending.pop() {
            walk.count(1);
            let Some(open) = self.open.get(&job) else {
                continue;
            };
            walk.count(self.graph.dependents.get(&job).map_or(0, BTreeSet::len));
            let urgency = self.urgency_of(job, open);
            let dependencies = open.dependencies.jobs.clone();
            if let Some(open) = self.open.get_mut(&job) {
                if open.urgency == urgency {
                    continue;
                }
                open.urgency = urgency;
            }
            self.tasks.note_waiting_change(job);
            pending.extend(dependencies);
        }
        self.graph.steps.add(&walk);
    }

    /// Returns whether a job is an open service, whose tasks run until the job is cancelled.
    pub fn is_service(&self, job: u64) -> bool {
        let open = self.open.get(&job);
        open.is_some_and(|open| open.spec.shape == Shape::Service)
    }
}
