//! Leaves: finished jobs, sorted by number.

mod codec;

pub use codec::LeafError;

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
    jobs: Vec<FinishedJob>,
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

    /// The leaf with these jobs added, as one or more leaves of at most `max_bytes` of
    /// JSON each; empty if all of the jobs are in the leaf already. Jobs that are there
    /// stay as they are, except that those archived before `oldest_day` are dropped.
    pub fn merged_with(
        &self,
        jobs: &[FinishedJob],
        oldest_day: u32,
        max_bytes: usize,
    ) -> Vec<Leaf> {
        let new_jobs: Vec<FinishedJob> = jobs
            .iter()
            .filter(|finished| self.find(finished.job).is_none())
            .copied()
            .collect();
        if new_jobs.is_empty() {
            return Vec::new();
        }
        let kept = self.jobs.iter().filter(|old| old.day >= oldest_day);
        let merged = Leaf::new(kept.copied().chain(new_jobs).collect());
        merged.split(max_bytes)
    }

    /// Splits a leaf into as few as fit into `max_bytes` each, of about the same size; a
    /// leaf of a single job is never split.
    fn split(self, max_bytes: usize) -> Vec<Self> {
        let size = Self::size(&self.jobs);
        if size <= max_bytes || self.jobs.len() < 2 {
            return vec![self];
        }
        let count = size.div_ceil(max_bytes.max(1)).max(2).min(self.jobs.len());
        let jobs_per_leaf = self.jobs.len().div_ceil(count);
        self.jobs
            .chunks(jobs_per_leaf)
            .map(|jobs| Self {
                jobs: jobs.to_vec(),
            })
            .flat_map(|leaf| leaf.split(max_bytes))
            .collect()
    }
}

#[cfg(test)]
mod tests;
