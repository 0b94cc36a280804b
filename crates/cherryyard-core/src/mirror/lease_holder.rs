//! Holders of the leases on shards and on leadership.

use cherryyard_wire::record::LeaseRecord;

/// Holder of the lease on a shard or on leadership.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct LeaseHolder {
    /// Name of the controller that holds the lease.
    pub label: String,
    /// Revision of the lease's record, which is the holder's fencing token.
    pub revision: u64,
    /// Newest format of records that the holder supports.
    pub format: u32,
    /// Number of the process that acquired the lease, if the record contains it.
    pub process: Option<u64>,
}

impl LeaseHolder {
    /// Returns the holder from the record of a lease and the record's revision.
    pub(super) fn of(record: LeaseRecord, revision: u64) -> Self {
        Self {
            label: record.label,
            revision,
            format: record.newest_format.unwrap_or(1),
            process: record.process,
        }
    }
}
