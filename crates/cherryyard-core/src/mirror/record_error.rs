//! Errors of records that the mirror passes over.

use cherryyard_wire::state::Json;
use serde::de::DeserializeOwned;
use thiserror::Error;

/// A record in the state service that this controller cannot use: something else writes
/// under our prefix, or a newer version does.
#[derive(Clone, Debug, PartialEq, Eq, Error)]
#[error("{key}: {problem}")]
pub struct RecordError {
    /// The record's key.
    pub key: String,
    /// What is wrong with it.
    pub problem: RecordProblem,
}

/// What is wrong with a record.
#[derive(Clone, Debug, PartialEq, Eq, Error)]
pub enum RecordProblem {
    /// It is not JSON of the expected form.
    #[error("{0}")]
    Unreadable(String),
    /// A job's division is not one canonical set of task numbers for each shard.
    #[error("bad division")]
    BadDivision,
    /// A job's team is not in the settings.
    #[error("unknown team")]
    UnknownTeam,
    /// The key names a shard that the settings do not have.
    #[error("no such part")]
    UnknownShard,
    /// A machine is said to hold an image that is not in the record's list.
    #[error("no such image")]
    UnknownImage,
    /// The key names a team or a shard that the settings do not have.
    #[error("no such grant")]
    UnknownGrant,
    /// A page of the admission log has rows that make no sense.
    #[error("bad rows")]
    BadRows,
    /// A page of assignments makes no sense.
    #[error("bad ranges, machines or marks")]
    BadAssignments,
    /// One job of a bucket is wrong; the bucket's others are taken.
    #[error("job {job}: {problem}")]
    Job {
        /// The job's number.
        job: u64,
        /// What is wrong with its record.
        problem: Box<RecordProblem>,
    },
}

/// Reads a record's value.
pub(super) fn read<T: DeserializeOwned>(value: &Json) -> Result<T, RecordProblem> {
    let read = value.read();
    read.map_err(|error| RecordProblem::Unreadable(error.to_string()))
}
