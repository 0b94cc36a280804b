//! Finished jobs, and leaves of them.

use cherryyard_wire::record::End;

/// A finished job.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct FinishedJob {
    /// Its number.
    pub job: u64,
    /// How it ended.
    pub end: End,
    /// How many of its tasks were done.
    pub done: u32,
    /// The day on which it was archived, in days since 1970.
    pub day: u32,
}

/// The jobs of one leaf, sorted by number, each once.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Leaf {
    pub(super) jobs: Vec<FinishedJob>,
}

impl Leaf {
    /// A leaf of these jobs; the first of two with the same number counts.
    pub fn new(mut jobs: Vec<FinishedJob>) -> Self {
        jobs.sort_by_key(|finished| finished.job);
        jobs.dedup_by_key(|finished| finished.job);
        Self { jobs }
    }

    /// The jobs, in order of their numbers.
    pub fn jobs(&self) -> &[FinishedJob] {
        &self.jobs
    }

    /// The job with this number, if it is in the leaf.
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
