//! Leases on shards and on leadership.

use serde::{Deserialize, Serialize};

/// Who owns a shard, or leads.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct LeaseRecord {
    /// The controller's name.
    pub label: String,
    /// The newest format of records that it can work with; builds before there
    /// were any say nothing.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub f: Option<u32>,
    /// The number of the process that made it, so that it knows its own though the
    /// answer was lost; earlier builds say nothing.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub n: Option<u64>,
}

impl LeaseRecord {
    /// A lease by the process with this number, which can work with this format.
    pub fn of(label: &str, process: u64, format: u32) -> Self {
        Self {
            label: label.into(),
            f: Some(format),
            n: Some(process),
        }
    }
}
