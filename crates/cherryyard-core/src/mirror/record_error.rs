//! Errors of records that the mirror ignores.

use cherryyard_wire::state::Json;
use serde::de::DeserializeOwned;
use thiserror::Error;

/// Record in the state service that this controller cannot use, because a newer version or another
/// program writes under the same prefix.
#[derive(Clone, Debug, PartialEq, Eq, Error)]
#[error("{key}: {problem}")]
pub struct RecordError {
    /// Key of the record.
    pub key: String,
    /// Reason why the record cannot be used.
    pub problem: RecordProblem,
}

/// Reason why a record cannot be used.
#[derive(Clone, Debug, PartialEq, Eq, Error)]
pub enum RecordProblem {
    /// The value is not JSON of the expected form.
    #[error("{0}")]
    Unreadable(String),
    /// A job's division is not one canonical set of task numbers for each shard.
    #[error("the division is not one valid set of task numbers for each shard")]
    BadDivision,
    /// A job's team is not in the settings.
    #[error("the team of the job is not in the settings")]
    UnknownTeam,
    /// The key names a shard that the settings do not have.
    #[error("the settings have no such shard")]
    UnknownShard,
    /// A machine refers to an image that the record does not list.
    #[error("a machine refers to an image that the record does not list")]
    UnknownImage,
    /// The key names a team or a shard that the settings do not have.
    #[error("the settings have no such team or shard")]
    UnknownGrant,
    /// A page of the admission log has a row that refers to common fields or to a shard that do not
    /// exist.
    #[error("a row refers to common fields or to a shard that do not exist")]
    BadRows,
    /// A page of assignments is malformed, or has a set of completed tasks that is not canonical.
    #[error("invalid ranges, machines or assignments")]
    BadAssignments,
    /// The record of one job of a bucket cannot be used; the other jobs of the bucket are used.
    #[error("job {job}: {problem}")]
    Job {
        /// Number of the job.
        job: u64,
        /// Reason why the job's record cannot be used.
        problem: Box<RecordProblem>,
    },
}

/// Parses the value of a record.
pub(super) fn read<T: DeserializeOwned>(value: &Json) -> Result<T, RecordProblem> {
    let parsed = value.read();
    parsed.map_err(|error| RecordProblem::Unreadable(error.to_string()))
}
