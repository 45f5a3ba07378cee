//! What the cloud offers, is asked for and lists.

use serde::{Deserialize, Serialize};

/// A machine type as the cloud publishes it.
#[derive(Debug, Clone, PartialEq, Deserialize, Serialize)]
pub struct MachineType {
    /// The type's name.
    #[serde(rename = "sku")]
    pub name: String,
    /// Processors.
    #[serde(rename = "vcpus")]
    pub cpus: f64,
    /// Accelerators.
    #[serde(default)]
    pub gpus: f64,
    /// Gigabytes of memory.
    #[serde(rename = "memoryGb")]
    pub memory_gb: f64,
    /// Gigabytes that it has for images.
    #[serde(rename = "localGb", default)]
    pub cache_gb: f64,
    /// Gigabytes a second at which it fetches images.
    #[serde(rename = "pullGbPerS", default)]
    pub fetch_gb_per_s: f64,
    /// Price of an ordinary machine for an hour.
    #[serde(default)]
    pub price: f64,
    /// Price of a spot machine for an hour.
    #[serde(rename = "lowPrice", default)]
    pub spot_price: f64,
    /// Seconds that a boot usually takes.
    #[serde(rename = "bootS", default)]
    pub boot_s: f64,
    /// Zones in which it is offered.
    #[serde(rename = "groves", default)]
    pub zones: Vec<String>,
}

/// The answer to a request for the machine types.
#[derive(Debug, Deserialize, Serialize)]
pub struct MachineTypes {
    /// The types.
    #[serde(rename = "breeds")]
    pub types: Vec<MachineType>,
}

/// A request for machines. Under a name that was used before it gets the same answer again.
#[derive(Debug, Clone, Serialize)]
pub struct ScaleOutRequest {
    /// The request's name.
    #[serde(rename = "ask")]
    pub request: String,
    /// The machine type.
    #[serde(rename = "breed")]
    pub kind: String,
    /// The zone.
    #[serde(rename = "grove")]
    pub zone: String,
    /// Spot machines.
    #[serde(rename = "windfall")]
    pub spot: bool,
    /// How many machines.
    pub count: u32,
}

/// Names of machines: those that were started, or those to return.
#[derive(Debug, Deserialize, Serialize)]
pub struct MachineIds {
    /// The names.
    #[serde(rename = "trees")]
    pub machines: Vec<String>,
}

/// A machine's state as the cloud lists it.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Deserialize, Serialize)]
#[serde(rename_all = "lowercase")]
pub enum CloudMachineState {
    /// Not up yet.
    Booting,
    /// Up.
    Running,
    /// Stopped by itself; nothing runs on it.
    Failed,
    /// A state of a later protocol.
    #[serde(other)]
    Other,
}

/// A machine on the cloud's list, which lags.
#[derive(Debug, Clone, Deserialize, Serialize)]
pub struct ListedMachine {
    /// Its name.
    #[serde(rename = "ref")]
    pub name: String,
    /// Where its worker listens, once that is known.
    #[serde(default)]
    pub address: Option<String>,
    /// Its type.
    #[serde(rename = "breed")]
    pub kind: String,
    /// Its zone.
    #[serde(rename = "grove")]
    pub zone: String,
    /// A spot machine.
    #[serde(rename = "windfall")]
    pub spot: bool,
    /// Its state.
    pub stage: CloudMachineState,
    /// Seconds since it was asked for.
    #[serde(rename = "ageS", default)]
    pub age_s: f64,
}

/// One page of the list.
#[derive(Debug, Deserialize, Serialize)]
pub struct MachineList {
    /// The machines, ordered by name.
    #[serde(rename = "trees")]
    pub machines: Vec<ListedMachine>,
    /// Whether more pages follow.
    #[serde(rename = "hasNext", default)]
    pub more: bool,
}
