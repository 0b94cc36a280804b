//! Records of the history of jobs that are over, and their keys.

use serde::{Deserialize, Serialize};

/// The largest job number there can be: ids have at most 18 digits.
pub const LAST: u64 = 999_999_999_999_999_999;

/// One of the two sorted runs of leaves.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub enum Level {
    /// The small run, into which batches of ends are folded.
    Small,
    /// The large run, into which the small one is spilled.
    Large,
}

impl Level {
    /// Start of the run's keys.
    pub fn prefix(self) -> &'static str {
        match self {
            Self::Small => "h/1/",
            Self::Large => "h/2/",
        }
    }
}

/// Key of the leaf whose last possible id is `last`.
pub fn leaf_key(level: Level, last: u64) -> String {
    format!("{}{last:018}", level.prefix())
}

/// The last possible id of the leaf with this key.
pub fn leaf_of_key(level: Level, key: &str) -> Option<u64> {
    let digits = key.strip_prefix(level.prefix())?;
    let plain = digits.len() == 18 && digits.bytes().all(|b| b.is_ascii_digit());
    if plain { digits.parse().ok() } else { None }
}

/// The key after which the leaf of `job` is the first; none for the first job.
pub fn since_key(level: Level, job: u64) -> Option<String> {
    Some(leaf_key(level, job.checked_sub(1)?))
}

/// A leaf.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct LeafRecord {
    /// How many jobs it holds.
    #[serde(rename = "n")]
    pub job_count: u32,
    /// The jobs, in base64; see `cherryyard_history::Leaf`.
    #[serde(rename = "b")]
    pub base64: String,
}

/// How far the history goes: `c/packed`.
///
/// Ends are counted by *generations*: an end carries the one that was current when
/// it was written, and is written only if this record is as its writer knows it.
/// So once a generation is closed, by a record with the next one, no further end of
/// it can come, and whoever has read as far as that record has seen them all.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct PackedRecord {
    /// The generation of ends written now.
    pub gen_now: u64,
    /// Ends of this generation and before are all in the leaves; 0: none are.
    pub gen_done: u64,
    /// Ends in records of their own, written at this revision or before, are too.
    #[serde(default)]
    pub own: u64,
    /// About how many jobs the small and the large run hold.
    #[serde(default, rename = "n")]
    pub jobs_in_runs: [u64; 2],
    /// Whether the small run is being spilled into the large one.
    #[serde(default)]
    pub spilling: bool,
}

impl PackedRecord {
    /// The generation of ends written now; the first is 1.
    pub fn generation(&self) -> u64 {
        self.gen_now.max(1)
    }

    /// The last closed generation, if its ends are not all in the leaves yet.
    pub fn to_fold(&self) -> Option<u64> {
        let closed = self.generation() - 1;
        (closed > self.gen_done).then_some(closed)
    }

    /// Whether any leaf may hold anything.
    pub fn any(&self) -> bool {
        self.gen_done > 0 || self.generation() > 1
    }
}

#[cfg(test)]
mod tests;
