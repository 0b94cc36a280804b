//! Records of a shard: pages of its assignments, and its grants from teams' limits.

use crate::RangeSet;
use serde::{Deserialize, Serialize};

/// Assignments of one attempt and worker incarnation: `[attempt, incarnation, machine, number,
/// machine, number, ...]`, where `machine` is an index into [`PageRecord::machines`] and
/// `number` is a task's number. The tasks of a job mostly start together, so each one adds
/// only a few bytes.
pub type AssignmentGroup = Vec<u64>;

/// One page of a shard's assignments, which may belong to many jobs.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct PageRecord {
    /// Names of the machines that the assignments refer to by index.
    #[serde(default, rename = "h", skip_serializing_if = "Vec::is_empty")]
    pub machines: Vec<String>,
    /// Job number, assignments and numbers of completed tasks of each job.
    #[serde(rename = "j")]
    pub jobs: Vec<(u64, Vec<AssignmentGroup>, RangeSet)>,
}

/// Part of a team's limit that a shard may use.
#[derive(Clone, Copy, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct Grant {
    /// Cores that the shard may use.
    pub cores: f64,
    /// Accelerators that the shard may use.
    #[serde(rename = "acc")]
    pub accelerators: f64,
}
