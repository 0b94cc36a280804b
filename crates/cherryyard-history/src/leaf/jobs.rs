//! Defines finished jobs and leaves of them.

use cherryyard_wire::record::JobOutcome;

/// A finished job.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct FinishedJob {
    /// The job's number.
    pub job: u64,
    /// The way in which the job ended.
    pub end: JobOutcome,
    /// The number of the job's tasks that were done.
    pub done: u32,
    /// The day on which the job was archived, in days since 1970-01-01.
    pub day: u32,
}

/// The jobs of one leaf, sorted by number, each only once.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Leaf {
    pub(super) jobs: Vec<FinishedJob>,
}

impl Leaf {
    /// Creates a leaf of these jobs; of two with the same number the first is kept.
    pub fn new(mut jobs: Vec<FinishedJob>) -> Self {
        jobs.sort_by_key(|finished| finished.job);
        jobs.dedup_by_key(|finished| finished.job);
        Self { jobs }
    }

    /// Returns the jobs, in order of their numbers.
    pub fn jobs(&self) -> &[FinishedJob] {
        &self.jobs
    }

    /// Returns the job with this number, if the leaf contains it.
    pub fn find(&self, job: u64) -> Option<&FinishedJob> {
        let index = self
            .jobs
            .binary_search_by_key(&job, |finished| finished.job)
            .ok()?;
        self.jobs.get(index)
    }

    /// Removes the jobs up to and including this number.
    pub(crate) fn remove_up_to(&mut self, job: u64) {
        self.jobs.retain(|finished| finished.job > job);
    }
}
