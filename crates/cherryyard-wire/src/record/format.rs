//! Formats of records: which ones are in use, and which ones a build supports.

use serde::{Deserialize, Serialize};

/// Format in which jobs are stored in buckets, and their ends move to the history.
pub const BUCKETS: u32 = 2;

/// Format in which new jobs are written to pages of the admission log.
pub const ADMISSION_LOG: u32 = 3;
/// Format in which jobs may depend on other jobs.
pub const DEPENDENCIES: u32 = 4;
/// Newest format of records that this build supports.
pub const NEWEST_FORMAT: u32 = DEPENDENCIES;

/// Record of the formats in use.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct FormatRecord {
    /// Format in which jobs are stored: [`BUCKETS`] or later if they are stored in buckets.
    pub jobs: u32,
    /// Whether new jobs are written to the admission log, and nowhere else.
    #[serde(default, rename = "new", skip_serializing_if = "is_false")]
    pub admission_log: bool,
    /// Whether jobs may depend on other jobs.
    #[serde(default, skip_serializing_if = "is_false")]
    pub dependencies: bool,
}

fn is_false(flag: &bool) -> bool {
    !flag
}
