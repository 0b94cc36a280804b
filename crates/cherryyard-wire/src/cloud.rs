//! Messages of the cloud's interface, through which machines are provisioned, listed and
//! released.

use crate::peer::MachinePool;
use serde::{Deserialize, Serialize};

/// Machine type that the cloud offers.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[allow(missing_docs)] // each field's name says the quantity and its unit
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

/// Response to `GET /machine_types`.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct MachineTypeList {
    /// All machine types.
    #[serde(rename = "kinds_of_host")]
    pub machine_types: Vec<MachineType>,
}

/// Request to provision machines.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct ProvisionRequest {
    /// Unique identifier of the request, never reused.
    #[serde(rename = "hire")]
    pub request_id: String,
    /// Machine type.
    #[serde(rename = "host_kind")]
    pub machine_type: String,
    /// Zone of the machines.
    #[serde(rename = "yard")]
    pub zone: String,
    /// Whether spot machines are requested instead of ordinary ones.
    #[serde(rename = "borrowed")]
    pub spot: bool,
    /// Number of machines.
    pub number: u32,
}

/// Names of machines, in the response to a [`ProvisionRequest`] and in a request to release
/// machines.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct MachineNames {
    /// Names of the machines.
    pub hosts: Vec<String>,
}

/// Page of the list of machines.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct InstancePage {
    /// Machines, sorted by name.
    pub hosts: Vec<Instance>,
    /// Whether further pages follow.
    #[serde(default)]
    pub truncated: bool,
}

/// Machine in the cloud's list.
#[derive(Clone, Debug, Serialize, Deserialize)]
#[allow(missing_docs)] // each field's name says what it holds
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

impl Instance {
    /// Returns the pool that the machine belongs to.
    pub fn pool(&self) -> MachinePool {
        MachinePool {
            machine_type: self.machine_type.clone(),
            zone: self.zone.clone(),
            spot: self.spot,
        }
    }
}

/// State of a machine in the cloud's list.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum InstanceStatus {
    /// The machine boots. As the list lags behind, the machine may already be in another state.
    Starting,
    /// The machine is up.
    Running,
    /// The machine has stopped without a request to release it.
    Failed,
    /// State that is unknown to this version.
    #[serde(other)]
    Other,
}
