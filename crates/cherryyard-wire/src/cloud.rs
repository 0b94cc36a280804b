//! The cloud's messages.

use serde::{Deserialize, Serialize};

/// A machine type.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[allow(missing_docs)] // the names tell what and in which unit; the protocol describes them
pub struct MachineType {
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
    #[serde(rename = "yards")]
    pub zones: Vec<String>,
}

/// The answer to `GET /machine_types`.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct MachineTypeList {
    /// The types.
    #[serde(rename = "kinds_of_host")]
    pub machine_types: Vec<MachineType>,
}

/// A request to provision machines.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct ProvisionRequest {
    /// The request's name, never used again.
    #[serde(rename = "hire")]
    pub request_id: String,
    /// Which type.
    #[serde(rename = "host_kind")]
    pub machine_type: String,
    /// Which zone.
    #[serde(rename = "yard")]
    pub zone: String,
    /// Spot or ordinary.
    #[serde(rename = "borrowed")]
    pub spot: bool,
    /// How many.
    pub number: u32,
}

/// Machine names, in a provisioning request's answer and in a release.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct MachineNames {
    /// The names.
    pub hosts: Vec<String>,
}

/// One page of the machine list.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct InstancePage {
    /// Machines in order of their names.
    pub hosts: Vec<Instance>,
    /// Whether more follow.
    #[serde(default)]
    pub truncated: bool,
}

/// One listed machine.
#[derive(Clone, Debug, Serialize, Deserialize)]
#[allow(missing_docs)] // the names tell what; the protocol describes them
pub struct Instance {
    pub id: String,
    #[serde(default)]
    pub addr: String,
    #[serde(rename = "host_kind")]
    pub machine_type: String,
    #[serde(rename = "yard")]
    pub zone: String,
    #[serde(default)]
    #[serde(rename = "borrowed")]
    pub spot: bool,
    pub status: InstanceStatus,
    #[serde(default)]
    pub held_s: f64,
}

/// A listed machine's state.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum InstanceStatus {
    /// Boots, or the list is not up to date yet.
    Starting,
    /// Up.
    Running,
    /// Stopped on its own.
    Failed,
    /// A state this version does not know.
    #[serde(other)]
    Other,
}
