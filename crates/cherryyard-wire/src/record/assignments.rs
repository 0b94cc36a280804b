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
    #[serde(default, skip_serializing_if = "Vec::is_empty")]
    pub h: Vec<String>,
    /// By job's number: its assignments, and its numbers done.
    pub j: Vec<(u64, Vec<AssignmentGroup>, RangeSet)>,
}

/// What a shard may use of a team's limit.
#[derive(Clone, Copy, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct Grant {
    /// Cores.
    pub cores: f64,
    /// Accelerators.
    pub acc: f64,
}
