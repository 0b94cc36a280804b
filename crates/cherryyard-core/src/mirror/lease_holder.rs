//! Who holds the leases on shards and on the lead.

use cherryyard_wire::record::LeaseRecord;

/// The holder of a lease on a shard or on the lead.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct LeaseHolder {
    /// The controller's name.
    pub label: String,
    /// The lease's revision: the owner's fencing token.
    pub revision: u64,
    /// The newest format of records that the owner can work with.
    pub format: u32,
    /// The number of the process that made it, if it says so.
    pub process: Option<u64>,
}

impl LeaseHolder {
    /// The holder by the lease's record.
    pub(super) fn of(record: LeaseRecord, revision: u64) -> Self {
        Self {
            label: record.label,
            revision,
            format: record.newest_format.unwrap_or(1),
            process: record.process,
        }
    }
}
