//! Which formats of records are in use.

use cherryyard_wire::record::FormatRecord;

/// The formats in use, by the record that the leader writes once all controllers know one.
#[derive(Clone, Copy, Debug, Default)]
pub struct RecordFormat {
    /// How jobs are kept.
    pub jobs: u32,
    /// Whether new jobs come by pages of admissions.
    pub by_pages: bool,
    /// Whether jobs may wait for others: all controllers know of that.
    pub dependencies: bool,
    /// Revision of the record.
    pub(super) revision: u64,
}

impl RecordFormat {
    /// What the record says.
    pub(super) fn of(record: FormatRecord, revision: u64) -> Self {
        Self {
            jobs: record.jobs,
            by_pages: record.admission_log,
            dependencies: record.dependencies,
            revision,
        }
    }
}
