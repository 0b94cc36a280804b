//! Formats of records: which one is in use, and which a build can work with.

use serde::{Deserialize, Serialize};

/// The format in which jobs stand in buckets, and their ends go into the history.
pub const BUCKETS: u32 = 2;

/// The format in which new jobs stand in pages of admissions.
pub const ADMISSION_LOG: u32 = 3;
/// The format in which jobs may wait for others.
pub const DEPENDENCIES: u32 = 4;
/// The newest format of records that this build can work with.
pub const NEWEST_FORMAT: u32 = DEPENDENCIES;

/// Which formats of records are in use.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct FormatRecord {
    /// How jobs are kept.
    pub jobs: u32,
    /// Whether new jobs are written to the admission log, and nowhere else.
    #[serde(default, rename = "new", skip_serializing_if = "is_false")]
    pub admission_log: bool,
    /// Whether jobs may wait for others.
    #[serde(default, skip_serializing_if = "is_false")]
    pub dependencies: bool,
}

fn is_false(flag: &bool) -> bool {
    !flag
}
