//! Merges jobs into a leaf, which may split it.

use super::jobs::{FinishedJob, Leaf};

impl Leaf {
    /// Returns the leaf with these jobs added, as one or more leaves of at most `max_bytes`
    /// of JSON each, or nothing if the leaf already contains all of the jobs. Jobs that the
    /// leaf already contains are kept unchanged, except that those archived before
    /// `oldest_day` are dropped.
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

    /// Splits a leaf into as few leaves of about the same size as fit into `max_bytes`
    /// each; a leaf of a single job is never split.
    fn split(self, max_bytes: usize) -> Vec<Self> {
        let size = Self::max_json_bytes(&self.jobs);
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
