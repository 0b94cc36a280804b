//! Priority and deadline of jobs, and how jobs inherit them from their dependents.
//!
//! A job passes its priority and deadline on to its dependencies, these to theirs, and so on. This
//! decides only the order of service, so a change that concerns very many jobs may take several
//! passes: a pass makes a limited number of steps, and the next one continues.

use super::{Mirror, OpenJob};
use crate::admission::flows::Flow;
use cherryyard_wire::job::Rank;

/// Number of steps after which a pass ends. The last job of a pass may exceed it by one step for
/// each of its dependencies.
pub const MAX_URGENCY_STEPS: usize = 4096;
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

    /// Returns the earlier of a job's own deadline and an inherited one, its own if they are equal.
    pub(super) fn earlier(own: Option<Self>, inherited: Option<Self>) -> Option<Self> {
        let complete_by = |deadline: &Option<Self>| {
            deadline.map_or(f64::INFINITY, |deadline| deadline.complete_by(1.0))
        };
        if complete_by(&inherited) < complete_by(&own) {
            inherited
        } else {
            own
        }
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
    /// Returns the priority and deadline that a job passes on to its dependencies;
    /// `duration_ms` is the job's estimated duration.
    fn for_dependencies(&self, duration_ms: f64) -> Self {
        let deadline = self.deadline.map(|deadline| Deadline {
            later_stages_ms: deadline.later_stages_ms + duration_ms,
            ..deadline
        });
        Self {
            rank: self.rank,
            deadline,
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
    /// Passes changed priorities and deadlines on to dependencies, until all have been passed on or
    /// [`MAX_URGENCY_STEPS`] have been made. Waits while a full read is in progress, since the read
    /// may return a job after its dependents.
    pub(crate) fn pass_on_urgency(&mut self) {
        if self.key_tracking.is_reading() {
            return;
        }
        self.graph.restore_order();
        let mut steps = 0;
        while steps < MAX_URGENCY_STEPS
            && let Some(job) = self.graph.take_changed()
        {
            steps += 1 + self.pass_on_urgency_of(job);
        }
        self.graph.steps.urgency += steps as u64;
    }

    /// Updates the priority and deadline of a job and passes them on to its dependencies; returns
    /// the number of dependencies that this concerns. A cancelled job passes on nothing.
    fn pass_on_urgency_of(&mut self, job: u64) -> usize {
        let Some(open) = self.open.get_mut(&job) else {
            return 0;
        };
        let urgency = self.graph.urgency(job, open.own_urgency());
        let is_changed = std::mem::replace(&mut open.urgency, urgency) != urgency;
        if is_changed {
            self.tasks.note_waiting_change(job);
        }
        let is_cancelled = self.graph.cancelled.contains_key(&job);
        let passed_on =
            (!is_cancelled).then(|| urgency.for_dependencies(open.estimated_duration_ms()));
        self.graph.pass_on(job, &open.dependencies.jobs, passed_on)
    }

    /// Returns the number of jobs whose priority or deadline may have changed and has not been
    /// passed on yet.
    pub fn urgency_backlog(&self) -> usize {
        self.graph.changed_count()
    }
}
