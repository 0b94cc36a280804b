//! Records of the leases on shards and on leadership.

use serde::{Deserialize, Serialize};

/// Lease on a shard or on leadership, with its holder.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct LeaseRecord {
    /// Name of the controller that holds the lease.
    pub label: String,
    /// Newest format of records that the holder supports; absent in leases written by builds
    /// that supported only the first format.
    #[serde(default, rename = "f", skip_serializing_if = "Option::is_none")]
    pub newest_format: Option<u32>,
    /// Number of the process that acquired the lease, by which a process recognises its own
    /// lease if the response to the acquiring transaction was lost; absent in leases written
    /// by earlier builds.
    #[serde(default, rename = "n", skip_serializing_if = "Option::is_none")]
    pub process: Option<u64>,
}

impl LeaseRecord {
    /// Returns the lease of controller `label`, acquired by process number `process`, whose
    /// newest supported format of records is `newest_format`.
    pub fn of(label: &str, process: u64, newest_format: u32) -> Self {
        Self {
            label: label.into(),
            newest_format: Some(newest_format),
            process: Some(process),
        }
    }
}
