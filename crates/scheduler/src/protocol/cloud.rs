//! Messages of the cloud API: machine types, scale-out and return requests, and the machine list.

use serde::{Deserialize, Serialize};

/// A machine type as published by the cloud.
#[derive(Debug, Clone, PartialEq, Deserialize, Serialize)]
pub struct MachineType {
    /// Name by which requests and machines refer to the type.
    #[serde(rename = "sku")]
    pub name: String,
    /// Number of CPUs.
    #[serde(rename = "vcpus")]
    pub cpus: f64,
    /// Number of GPUs.
    #[serde(default)]
    pub gpus: f64,
    /// Memory in gigabytes.
    #[serde(rename = "memoryGb")]
    pub memory_gb: f64,
    /// Local storage for images in gigabytes.
    #[serde(rename = "localGb", default)]
    pub cache_gb: f64,
    /// Image download rate in gigabytes per second.
    #[serde(rename = "pullGbPerS", default)]
    pub fetch_gb_per_s: f64,
    /// Price of an on-demand machine per hour.
    #[serde(default)]
    pub price: f64,
    /// Price of a spot machine per hour.
    #[serde(rename = "lowPrice", default)]
    pub spot_price: f64,
    /// Typical boot time in seconds.
    #[serde(rename = "bootS", default)]
    pub boot_s: f64,
    /// Zones in which the type is offered.
    #[serde(rename = "groves", default)]
    pub zones: Vec<String>,
}

/// Response to a request for the machine types.
#[derive(Debug, Deserialize, Serialize)]
pub struct MachineTypes {
    /// All machine types that the cloud offers.
    #[serde(rename = "breeds")]
    pub types: Vec<MachineType>,
}

/// Request to start machines. It is idempotent: repeating it under the same name returns the first
/// response again.
#[derive(Debug, Clone, Serialize)]
pub struct ScaleOutRequest {
    /// Idempotency key: the name of this request.
    #[serde(rename = "ask")]
    pub request: String,
    /// Name of the machine type.
    #[serde(rename = "breed")]
    pub kind: String,
    /// Zone in which the machines are started.
    #[serde(rename = "grove")]
    pub zone: String,
    /// Whether to start spot machines.
    #[serde(rename = "windfall")]
    pub spot: bool,
    /// Number of machines to start.
    pub count: u32,
}

/// List of machine names: those started by a scale-out request, or those to return to the cloud.
#[derive(Debug, Deserialize, Serialize)]
pub struct MachineIds {
    /// Machine names as assigned by the cloud.
    #[serde(rename = "trees")]
    pub machines: Vec<String>,
}

/// State of a machine in the cloud's machine list.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Deserialize, Serialize)]
#[serde(rename_all = "lowercase")]
pub enum CloudMachineState {
    /// Started, but not yet up.
    Booting,
    /// Up and able to run a worker.
    Running,
    /// Stopped without having been returned; nothing runs on it.
    Failed,
    /// Any state that this version does not know.
    #[serde(other)]
    Other,
}

/// Entry of the cloud's machine list, which may be out of date.
#[derive(Debug, Clone, Deserialize, Serialize)]
pub struct ListedMachine {
    /// Machine name as assigned by the cloud.
    #[serde(rename = "ref")]
    pub name: String,
    /// Address of the machine's worker, once known.
    #[serde(default)]
    pub address: Option<String>,
    /// Name of the machine type.
    #[serde(rename = "breed")]
    pub kind: String,
    /// Zone in which the machine runs.
    #[serde(rename = "grove")]
    pub zone: String,
    /// Whether this is a spot machine.
    #[serde(rename = "windfall")]
    pub spot: bool,
    /// State of the machine when the list was made.
    pub stage: CloudMachineState,
    /// Time in seconds since the machine was requested.
    #[serde(rename = "ageS", default)]
    pub age_s: f64,
}

/// One page of the machine list.
#[derive(Debug, Deserialize, Serialize)]
pub struct MachineList {
    /// Machines of this page, ordered by name.
    #[serde(rename = "trees")]
    pub machines: Vec<ListedMachine>,
    /// Whether more pages follow.
    #[serde(rename = "hasNext", default)]
    pub more: bool,
}
