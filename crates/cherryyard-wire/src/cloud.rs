//! The cloud's messages.

use serde::{Deserialize, Serialize};

/// A machine type.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[allow(missing_docs)]
pub struct HostKind {
    pub sku: String,
    pub cores: f64,
    #[serde(default)]
    pub accelerators: f64,
    pub ram_gb: f64,
    #[serde(default)]
    pub cache_gb: f64,
    #[serde(default)]
    pub fetch_gb_per_s: f64,
    #[serde(default)]
    pub price: f64,
    #[serde(default)]
    pub low_price: f64,
    #[serde(default)]
    pub ready_s: f64,
    pub yards: Vec<String>,
}

/// The answer to `GET /machine_types`.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct HostKinds {
    /// The types.
    pub kinds_of_host: Vec<HostKind>,
}

/// A request to rent machines.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct HireRequest {
    /// The request's name, never used again.
    pub hire: String,
    /// Which type.
    pub host_kind: String,
    /// Which zone.
    pub yard: String,
    /// Spot or ordinary.
    pub borrowed: bool,
    /// How many.
    pub number: u32,
}

/// Machine names, in a rental's answer and in a release.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct Hosts {
    /// The names.
    pub hosts: Vec<String>,
}

/// One page of the machine list.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct HostPage {
    /// Machines in order of their names.
    pub hosts: Vec<HostEntry>,
    /// Whether more follow.
    #[serde(default)]
    pub truncated: bool,
}

/// One listed machine.
#[derive(Clone, Debug, Serialize, Deserialize)]
#[allow(missing_docs)]
pub struct HostEntry {
    pub id: String,
    #[serde(default)]
    pub addr: String,
    pub host_kind: String,
    pub yard: String,
    #[serde(default)]
    pub borrowed: bool,
    pub status: HostStatus,
    #[serde(default)]
    pub held_s: f64,
}

/// A listed machine's state.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum HostStatus {
    /// Boots, or the list is late.
    Starting,
    /// Up.
    Running,
    /// Stopped on its own.
    Failed,
    /// A state this version does not know.
    #[serde(other)]
    Other,
}
