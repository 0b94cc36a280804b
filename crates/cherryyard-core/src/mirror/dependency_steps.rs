//! Counts of the steps that walks over the graph of dependencies take, for the log and for tests.
//!
//! A step is one job visited, or one dependency between two jobs looked at.

/// Number of steps in one walk from which on the log names the walk.
const LONG_WALK_STEPS: u64 = 100_000;

/// Reason for a walk over the graph of dependencies. Passes of priorities and deadlines are not
/// among them, since each makes a limited number of steps.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum WalkKind {
    /// Dependents of a job that was inserted after them get higher levels.
    Order,
    /// A cancellation passes from a job to its dependents.
    Cancellation,
    /// The end of a job may make its dependents ready.
    Readiness,
}

/// Steps of all walks since the mirror was created, by kind.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct DependencySteps {
    /// Steps of walks that pass on priority and deadline.
    pub urgency: u64,
    /// Steps of walks that restore the order of jobs after a full read.
    pub order: u64,
    /// Steps of walks that pass on a cancellation.
    pub cancellation: u64,
    /// Steps of walks that look for jobs that have become ready.
    pub readiness: u64,
}

impl DependencySteps {
    /// Returns the steps of walks of all kinds.
    pub fn total(&self) -> u64 {
        self.urgency + self.order + self.cancellation + self.readiness
    }

    /// Adds the steps of a walk that is over.
    pub(super) fn add(&mut self, walk: &Walk) {
        let total = match walk.kind {
            WalkKind::Order => &mut self.order,
            WalkKind::Cancellation => &mut self.cancellation,
            WalkKind::Readiness => &mut self.readiness,
        };
        *total += walk.steps;
    }
}

/// Walk over the graph of dependencies that is in progress.
#[derive(Debug)]
pub(super) struct Walk {
    kind: WalkKind,
    /// Number of the job at which the walk started.
    job: u64,
    steps: u64,
    /// Number of steps at which the log next names the walk.
    next_report: u64,
}

impl Walk {
    /// Starts a walk at a job.
    pub fn new(kind: WalkKind, job: u64) -> Self {
        Self {
            kind,
            job,
            steps: 0,
            next_report: LONG_WALK_STEPS,
        }
    }

    /// Counts further steps. A long walk is logged while it is in progress, as one that does not
    /// end keeps the controller from logging anything else; then each time its length has doubled.
    pub fn count(&mut self, steps: usize) {
        self.steps += steps as u64;
        if self.steps >= self.next_report {
            self.next_report = self.steps * 2;
            let (kind, job, steps) = (self.kind, self.job, self.steps);
            tracing::warn!(?kind, job, steps, "long walk over dependencies of jobs");
        }
    }
}
