//! Formats of records in use.

use cherryyard_wire::record::FormatRecord;

/// Formats of records in use, from the record that the leader changes when all controllers support
/// a newer format.
#[derive(Clone, Copy, Debug, Default)]
pub struct RecordFormat {
    /// Format in which jobs are stored: `BUCKETS` or later if they are stored in buckets.
    pub jobs: u32,
    /// Whether new jobs are added to the admission log.
    pub uses_admission_log: bool,
    /// Whether jobs may depend on other jobs, which all controllers have to support.
    pub dependencies: bool,
    /// Revision of the record of formats.
    pub(super) revision: u64,
}

impl RecordFormat {
    /// Converts the stored record.
    pub(super) fn of(record: FormatRecord, revision: u64) -> Self {
        Self {
            jobs: record.jobs,
            uses_admission_log: record.admission_log,
            dependencies: record.dependencies,
            revision,
        }
    }
}
