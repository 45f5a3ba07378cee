//! What the cloud offers, is asked for and lists.

use serde::{Deserialize, Serialize};

/// A machine type as the cloud publishes it.
#[derive(Debug, Clone, PartialEq, Deserialize, Serialize)]
pub struct MachineType {
    #[serde(rename = "sku")]
    pub name: String,
    #[serde(rename = "vcpus")]
    pub cpus: f64,
    #[serde(default)]
    pub gpus: f64,
    #[serde(rename = "memoryGb")]
    pub memory_gb: f64,
    #[serde(rename = "localGb", default)]
    pub cache_gb: f64,
    #[serde(rename = "pullGbPerS", default)]
    pub fetch_gb_per_s: f64,
    #[serde(default)]
    pub price: f64,
    #[serde(rename = "lowPrice", default)]
    pub spot_price: f64,
    #[serde(rename = "bootS", default)]
    pub boot_s: f64,
    #[serde(rename = "groves", default)]
    pub zones: Vec<String>,
}

#[derive(Debug, Deserialize, Serialize)]
pub struct MachineTypes {
    #[serde(rename = "breeds")]
    pub types: Vec<MachineType>,
}

#[derive(Debug, Clone, Serialize)]
pub struct ScaleOutRequest {
    #[serde(rename = "ask")]
    pub request: String,
    #[serde(rename = "breed")]
    pub kind: String,
    #[serde(rename = "grove")]
    pub zone: String,
    #[serde(rename = "windfall")]
    pub spot: bool,
    pub count: u32,
}

#[derive(Debug, Deserialize, Serialize)]
pub struct MachineIds {
    #[serde(rename = "trees")]
    pub machines: Vec<String>,
}

#[derive(Debug, Clone, Copy, PartialEq, Eq, Deserialize, Serialize)]
#[serde(rename_all = "lowercase")]
pub enum CloudMachineState {
    Booting,
    Running,
    Failed,
    #[serde(other)]
    Other,
}

#[derive(Debug, Clone, Deserialize, Serialize)]
pub struct ListedMachine {
    #[serde(rename = "ref")]
    pub name: String,
    #[serde(default)]
    pub address: Option<String>,
    #[serde(rename = "breed")]
    pub kind: String,
    #[serde(rename = "grove")]
    pub zone: String,
    #[serde(rename = "windfall")]
    pub spot: bool,
    pub stage: CloudMachineState,
    #[serde(rename = "ageS", default)]
    pub age_s: f64,
}

#[derive(Debug, Deserialize, Serialize)]
pub struct MachineList {
    #[serde(rename = "trees")]
    pub machines: Vec<ListedMachine>,
    #[serde(rename = "hasNext", default)]
    pub more: bool,
}
