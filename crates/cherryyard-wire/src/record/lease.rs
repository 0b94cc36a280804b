//! Leases on shards and on leadership.

use serde::{Deserialize, Serialize};

/// The holder of the lease on a shard, or on leadership.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct LeaseRecord {
    /// The controller's name.
    pub label: String,
    /// The newest format of records that it can work with; absent in leases of builds
    /// that knew only the first format.
    #[serde(default, rename = "f", skip_serializing_if = "Option::is_none")]
    pub newest_format: Option<u32>,
    /// The number of the process that acquired it, so that a process recognises its own
    /// lease although the response was lost; absent in leases of earlier builds.
    #[serde(default, rename = "n", skip_serializing_if = "Option::is_none")]
    pub process: Option<u64>,
}

impl LeaseRecord {
    /// The lease of controller `label`, acquired by process number `process`, whose newest
    /// format of records is `format`.
    pub fn of(label: &str, process: u64, format: u32) -> Self {
        Self {
            label: label.into(),
            newest_format: Some(format),
            process: Some(process),
        }
    }
}
