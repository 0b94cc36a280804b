//! Stored record of the images that the machines of a shard hold.

use super::record_error::RecordProblem;
use cherryyard_wire::record::ImagesRecord;
use std::collections::HashMap;

/// Record of the images that the machines of a shard hold, as last stored.
#[derive(Clone, Debug, Default)]
pub struct StoredImages {
    /// Record as it was read.
    pub record: ImagesRecord,
    /// Indexes of the images that each machine holds, by machine name. Kept as an index, since a
    /// new owner of the shard looks up every machine.
    pub held: HashMap<String, Vec<usize>>,
    /// Revision of the record.
    pub revision: u64,
}

impl StoredImages {
    /// Indexes a record by machine; fails if a machine refers to an image that the record does not
    /// list.
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
