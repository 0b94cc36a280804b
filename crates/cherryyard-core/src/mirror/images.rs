//! What is stored of the images that a shard's machines hold.

use super::record_error::RecordProblem;
use cherryyard_wire::record::ImagesRecord;
use std::collections::HashMap;

/// What is stored of the images in a shard.
#[derive(Clone, Debug, Default)]
pub struct StoredImages {
    /// The record.
    pub record: ImagesRecord,
    /// What it says of each machine: a new owner looks here for every one.
    pub held: HashMap<String, Vec<usize>>,
    /// Its revision.
    pub revision: u64,
}

impl StoredImages {
    /// What a record says.
    pub(super) fn of(record: ImagesRecord, revision: u64) -> Result<Self, RecordProblem> {
        if !record.is_sound() {
            return Err(RecordProblem::UnknownImage);
        }
        Ok(Self {
            held: record.held().collect(),
            record,
            revision,
        })
    }
}
