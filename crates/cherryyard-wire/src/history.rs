//! Records of the history of finished jobs (done or cancelled), and their keys.
//!
//! The history consists of two sorted runs of leaves; each leaf holds jobs in the order of their
//! numbers and is stored under a key of its own.

use serde::{Deserialize, Serialize};

/// Largest possible job number: ids have at most 18 digits.
pub const MAX_JOB_NUMBER: u64 = 999_999_999_999_999_999;

/// Sorted run of leaves; the history has two.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub enum Level {
    /// Small run, into which batches of finished jobs are merged.
    Small,
    /// Large run, into which the small one is merged when that has become too large.
    Large,
}

impl Level {
    /// Returns the prefix of the keys of the run's leaves.
    pub fn prefix(self) -> &'static str {
        match self {
            Self::Small => "h/1/",
            Self::Large => "h/2/",
        }
    }
}

/// Returns the key of the leaf that covers job numbers up to `last`.
pub fn leaf_key(level: Level, last: u64) -> String {
    format!("{}{last:018}", level.prefix())
}

/// Returns the highest job number that the leaf with this key covers; `None` if this is not the
/// key of a leaf of this run.
pub fn last_job_of_leaf_key(level: Level, key: &str) -> Option<u64> {
    let digits = key.strip_prefix(level.prefix())?;
    let is_numeric = digits.len() == 18 && digits.bytes().all(|b| b.is_ascii_digit());
    if is_numeric {
        digits.parse().ok()
    } else {
        None
    }
}

/// Returns the key after which the next key is that of the leaf that covers `job`, for a range
/// read; `None` for job 0, whose leaf is the run's first.
pub fn key_before_leaf(level: Level, job: u64) -> Option<String> {
    Some(leaf_key(level, job.checked_sub(1)?))
}

/// Record of a leaf.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct LeafRecord {
    /// Number of jobs in the leaf.
    #[serde(rename = "n")]
    pub job_count: u32,
    /// Encoded jobs, in base64; see `cherryyard_history::Leaf`.
    #[serde(rename = "b")]
    pub base64: String,
}

/// Progress of the history: which finished jobs are in its leaves. Its key is `c/packed`.
///
/// The end of a job is recorded with a *generation*: the current one at the time of the write.
/// The write is conditional on this record being unchanged since its writer read it. So once a
/// generation is closed, by a record with the next one, no further end of that generation can
/// be written, and a process that has read all changes up to that record has read all of them.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct HistoryProgressRecord {
    /// Current generation, with which ends of jobs are recorded; 0 counts as 1.
    #[serde(rename = "gen_now")]
    pub current_generation: u64,
    /// Last generation whose finished jobs, and those of all before it, are in the leaves; 0:
    /// none are.
    #[serde(rename = "gen_done")]
    pub archived_generation: u64,
    /// State revision up to which finished jobs that have records of their own, outside of
    /// buckets, are in the leaves.
    #[serde(default, rename = "own")]
    pub archived_revision: u64,
    /// Approximate number of jobs in the small and in the large run.
    #[serde(default, rename = "n")]
    pub jobs_in_runs: [u64; 2],
    /// Whether the small run is being merged into the large one.
    #[serde(default, rename = "spilling")]
    pub merging_runs: bool,
}

impl HistoryProgressRecord {
    /// Returns the current generation; the first is 1.
    pub fn generation(&self) -> u64 {
        self.current_generation.max(1)
    }

    /// Returns the last closed generation, if its finished jobs are not in the leaves yet.
    pub fn closed_generation_to_compact(&self) -> Option<u64> {
        let closed = self.generation() - 1;
        (closed > self.archived_generation).then_some(closed)
    }

    /// Returns whether any leaf may contain jobs.
    pub fn may_have_jobs(&self) -> bool {
        self.archived_generation > 0 || self.generation() > 1
    }
}

#[cfg(test)]
mod tests;
