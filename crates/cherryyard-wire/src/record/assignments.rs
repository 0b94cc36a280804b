//! Pages of a shard's assignments, and what the shard may use of teams' limits.

use crate::RangeSet;
use serde::{Deserialize, Serialize};

/// Assignments of one attempt and incarnation: `[attempt, incarnation, machine, number,
/// machine, number, ...]`, each machine by its place in the page's list. Tasks
/// of a job mostly start together, so this is a few bytes for each.
pub type AssignmentGroup = Vec<u64>;

/// One page of a shard's assignments: of all jobs that have some there.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct PageRecord {
    /// Machines that the assignments name.
    #[serde(default, rename = "h", skip_serializing_if = "Vec::is_empty")]
    pub machines: Vec<String>,
    /// Of each job: its number, its assignments, and the numbers of its completed tasks.
    #[serde(rename = "j")]
    pub jobs: Vec<(u64, Vec<AssignmentGroup>, RangeSet)>,
}

/// What a shard may use of a team's limit.
#[derive(Clone, Copy, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct Grant {
    /// Cores.
    pub cores: f64,
    /// Accelerators.
    pub acc: f64,
}
