//! Holders of the leases on shards and on leadership.

use cherryyard_wire::record::LeaseRecord;

/// Holder of the lease on a shard or on leadership.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct LeaseHolder {
    /// Name of the controller that holds the lease.
    pub label: String,
    /// Revision of the lease's record, which is the holder's fencing token.
    pub revision: u64,
    /// Revision of the first record of the holder's process in a row; the later ones renewed the
    /// lease under a higher token.
    pub first_revision: u64,
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
            first_revision: revision,
            format: record.newest_format.unwrap_or(1),
            process: record.process,
        }
    }

    /// Returns the holder that replaces `earlier`, with the first revision of that one if both are
    /// the same process.
    pub(super) fn replacing(mut self, earlier: Option<&Self>) -> Self {
        let is_same =
            |earlier: &&Self| earlier.process.is_some() && earlier.process == self.process;
        if let Some(earlier) = earlier.filter(is_same) {
            self.first_revision = earlier.first_revision;
        }
        self
    }

    /// Returns whether a message that names `token` as the shard's token is of the present holder.
    pub(crate) fn has_held(&self, token: u64) -> bool {
        token >= self.first_revision
    }
}
