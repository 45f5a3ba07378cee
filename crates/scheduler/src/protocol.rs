//! The protocol's own words, as serde types. Nothing outside this module spells them.

use serde::{Deserialize, Serialize};
use serde_json::{json, Map, Value};

use crate::model::job::{JobSpec, Priority};
use crate::storage::document::Document;

/// What a submission may be refused for as malformed: the field and what is wrong with it.
#[derive(Debug, Clone, PartialEq, Eq, thiserror::Error)]
#[error("{field}: {fault}")]
pub struct InvalidField {
    pub field: &'static str,
    pub fault: String,
}

fn invalid(field: &'static str, fault: impl Into<String>) -> InvalidField {
    InvalidField { field, fault: fault.into() }
}

/// The largest number of tasks in one job.
pub const MAX_TASKS: u64 = 100_000;

/// Whether `name` has the form of a job's id: `req-` and decimal digits. Everything else is no id,
/// and is never looked up in the key-value store.
pub fn is_job_id(name: &str) -> bool {
    name.strip_prefix("req-")
        .is_some_and(|n| (1..=20).contains(&n.len()) && n.bytes().all(|b| b.is_ascii_digit()))
}

/// Reads a submission, naming the first field that is missing or invalid.
pub fn parse_submission(body: &[u8]) -> Result<(String, JobSpec), InvalidField> {
    let value: Value =
        serde_json::from_slice(body).map_err(|e| invalid("body", format!("not JSON: {e}")))?;
    let Value::Object(map) = value else { return Err(invalid("body", "not a JSON object")) };
    let name = text(&map, "ref")?;
    if !is_job_id(&name) {
        return Err(invalid("ref", "must look like req-000412"));
    }
    if text(&map, "husk")? != "batch" {
        return Err(invalid("husk", "must be \"batch\""));
    }
    let priority = match text(&map, "rank")?.as_str() {
        "prod" => Priority::Prod,
        "high" => Priority::High,
        "normal" => Priority::Normal,
        "low" => Priority::Low,
        _ => return Err(invalid("rank", "must be prod, high, normal or low")),
    };
    let tasks = match map.get("nuts") {
        Some(v) => v.as_u64().filter(|n| (1..=MAX_TASKS).contains(n)).ok_or_else(|| {
            invalid("nuts", format!("must be a whole number from 1 to {MAX_TASKS}"))
        })?,
        None => return Err(invalid("nuts", "is missing")),
    };
    let cpus = amount(&map, "vcpus")?;
    let gpus = amount(&map, "gpus")?;
    let memory_gb = amount(&map, "memoryGb")?;
    if cpus == 0.0 && gpus == 0.0 && memory_gb == 0.0 {
        return Err(invalid("vcpus", "a task must take something of its machine"));
    }
    let types = match map.get("breeds") {
        None | Some(Value::Null) => None,
        Some(Value::Array(items)) => {
            let mut names = Vec::with_capacity(items.len());
            for item in items {
                let name = item.as_str().ok_or_else(|| invalid("breeds", "must hold names"))?;
                names.push(name.to_owned());
            }
            if names.is_empty() {
                return Err(invalid("breeds", "must not be empty"));
            }
            Some(names)
        }
        Some(_) => return Err(invalid("breeds", "must be a list of machine types or null")),
    };
    let zone = match map.get("grove") {
        None | Some(Value::Null) => None,
        Some(Value::String(s)) if !s.is_empty() => Some(s.clone()),
        Some(_) => return Err(invalid("grove", "must be a zone's name or null")),
    };
    let deadline_s = match map.get("harvestS") {
        None | Some(Value::Null) => None,
        Some(_) => Some(amount(&map, "harvestS")?),
    };
    let spec = JobSpec {
        class: text(&map, "shell")?,
        team: text(&map, "crew")?,
        priority,
        tasks: tasks as u32,
        cpus,
        gpus,
        memory_gb,
        image: text(&map, "seed")?,
        image_gb: amount(&map, "imageGb")?,
        types,
        zone,
        one_zone: flag(&map, "together")?,
        spread: flag(&map, "spread")?,
        spot: flag(&map, "windfall")?,
        estimate_s: amount(&map, "ripenS")?,
        checkpoint_s: amount(&map, "stashS")?,
        save_s: amount(&map, "buryS")?,
        deadline_s,
        dependencies: dependencies(&map)?,
    };
    Ok((name, spec))
}

/// The most jobs that one may wait for. With names of the usual length their list takes a quarter of
/// the smallest value that a key-value store is planned to hold.
pub const MAX_DEPENDENCIES: usize = 64;

/// The jobs that have to be done first, each once.
fn dependencies(map: &Map<String, Value>) -> Result<Vec<String>, InvalidField> {
    let items = match map.get("waits") {
        None | Some(Value::Null) => return Ok(Vec::new()),
        Some(Value::Array(items)) => items,
        Some(_) => return Err(invalid("waits", "must be a list of job ids or null")),
    };
    let mut names: Vec<String> = Vec::new();
    for item in items {
        match item.as_str() {
            Some(name) if is_job_id(name) => {
                if !names.iter().any(|n| n == name) {
                    names.push(name.to_owned());
                }
            }
            _ => return Err(invalid("waits", format!("{item} does not look like req-000412"))),
        }
        if names.len() > MAX_DEPENDENCIES {
            return Err(invalid("waits", format!("must name at most {MAX_DEPENDENCIES} jobs")));
        }
    }
    Ok(names)
}

fn text(map: &Map<String, Value>, field: &'static str) -> Result<String, InvalidField> {
    match map.get(field) {
        Some(Value::String(s)) if s.len() <= 256 && !s.is_empty() => Ok(s.clone()),
        Some(Value::String(_)) => Err(invalid(field, "must have 1 to 256 bytes")),
        Some(_) => Err(invalid(field, "must be a string")),
        None => Err(invalid(field, "is missing")),
    }
}

fn amount(map: &Map<String, Value>, field: &'static str) -> Result<f64, InvalidField> {
    match map.get(field) {
        Some(v) => v
            .as_f64()
            .filter(|x| x.is_finite() && *x >= 0.0)
            .ok_or_else(|| invalid(field, "must be a number of at least 0")),
        None => Err(invalid(field, "is missing")),
    }
}

fn flag(map: &Map<String, Value>, field: &'static str) -> Result<bool, InvalidField> {
    match map.get(field) {
        Some(Value::Bool(b)) => Ok(*b),
        Some(_) => Err(invalid(field, "must be true or false")),
        None => Err(invalid(field, "is missing")),
    }
}

/// How a job stands, for its user.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum JobStage {
    Queued,
    Running,
    Done,
    #[serde(rename = "aborted")]
    Cancelled,
}

/// The answer to a submission, a poll or a withdrawal.
pub fn job_response(name: &str, stage: JobStage, counts: Option<(u32, u32)>) -> Value {
    match counts {
        Some((done, running)) => {
            json!({"ref": name, "stage": stage, "done": done, "running": running})
        }
        None => json!({"ref": name, "stage": stage}),
    }
}

/// One task in a worker's heartbeat.
#[derive(Debug, Clone, PartialEq, Eq, Deserialize, Serialize)]
pub struct TaskStatus {
    #[serde(rename = "nut")]
    pub task: String,
    #[serde(rename = "try")]
    pub attempt: u64,
    #[serde(rename = "stage")]
    pub state: TaskState,
    #[serde(rename = "cause", default)]
    pub cause: Option<ExitReason>,
}

#[derive(Debug, Clone, Copy, PartialEq, Eq, Deserialize, Serialize)]
#[serde(rename_all = "lowercase")]
pub enum TaskState {
    Fetching,
    Running,
    Flushing,
    Exited,
    /// A state of a later protocol: on the machine, not exited.
    #[serde(other)]
    Other,
}

#[derive(Debug, Clone, Copy, PartialEq, Eq, Deserialize, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum ExitReason {
    Done,
    Stopped,
    Error,
    NoRoom,
    InUse,
    Unknown,
    #[serde(other)]
    Other,
}

/// A worker's heartbeat, also the answer to `/commands` and `/show`.
#[derive(Debug, Clone, Deserialize, Serialize)]
pub struct Heartbeat {
    #[serde(rename = "tree")]
    pub machine: String,
    pub address: String,
    #[serde(rename = "breed")]
    pub kind: String,
    #[serde(rename = "grove")]
    pub zone: String,
    #[serde(rename = "windfall")]
    pub spot: bool,
    #[serde(rename = "season")]
    pub agent_epoch: u64,
    #[serde(rename = "ring")]
    pub sequence: u64,
    #[serde(rename = "staff")]
    pub token: u64,
    #[serde(rename = "shakeS", default)]
    pub interruption_notice_s: Option<f64>,
    #[serde(rename = "nuts", default)]
    pub tasks: Vec<TaskStatus>,
}

/// The name of a heartbeat's sequence number, as it stands in the text.
const SEQUENCE_KEY: &[u8] = b"\"ring\":";

/// Where the digits of a heartbeat's sequence number stand in its text. `None`: nowhere, or in more than
/// one place, or not as plain digits. (Inside of a string the key can't stand like that: its quotation
/// marks would be escaped.)
pub fn sequence_digits(heartbeat: &[u8]) -> Option<std::ops::Range<usize>> {
    let mut places = heartbeat
        .windows(SEQUENCE_KEY.len())
        .enumerate()
        .filter(|(_, window)| *window == SEQUENCE_KEY);
    let start = places.next()?.0 + SEQUENCE_KEY.len();
    if places.next().is_some() {
        return None;
    }
    let digits = heartbeat[start..].iter().take_while(|byte| byte.is_ascii_digit()).count();
    let ends_there = matches!(heartbeat.get(start + digits), Some(b',' | b'}'));
    (digits > 0 && ends_there).then_some(start..start + digits)
}

/// Splits `req-000412/3` into the job and the task's number.
pub fn parse_task_id(name: &str) -> Option<(&str, u32)> {
    let (job, index) = name.rsplit_once('/')?;
    if !is_job_id(job) || (index.len() > 1 && index.starts_with('0')) {
        return None;
    }
    Some((job, index.parse().ok()?))
}

/// A command to a worker.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(tag = "call", rename_all = "lowercase")]
pub enum WorkerCommand {
    Kill {
        #[serde(rename = "nut")]
        task: String,
        #[serde(rename = "try")]
        attempt: u64,
        #[serde(rename = "dropS")]
        grace_s: f64,
    },
    Reap {
        #[serde(rename = "nut")]
        task: String,
        #[serde(rename = "try")]
        attempt: u64,
    },
    Run {
        #[serde(rename = "nut")]
        task: String,
        #[serde(rename = "try")]
        attempt: u64,
    },
}

/// The answer to a heartbeat.
#[derive(Debug, Serialize)]
pub struct HeartbeatResponse {
    #[serde(rename = "staff")]
    pub token: u64,
    pub calls: Vec<WorkerCommand>,
}

/// The body of an answer that sends a worker to another node.
#[derive(Debug, Serialize)]
pub struct Redirect {
    /// Where it should report; `None`: to whichever answers.
    #[serde(rename = "keeper", skip_serializing_if = "Option::is_none")]
    pub node: Option<String>,
}

/// The body of `/commands`.
#[derive(Debug, Serialize)]
pub struct CommandsRequest<'a> {
    #[serde(rename = "staff")]
    pub token: u64,
    #[serde(rename = "season")]
    pub agent_epoch: u64,
    pub calls: &'a [WorkerCommand],
}

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

/// A condition of a transaction: the key has this version (0: it does not exist).
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Compare {
    pub key: String,
    #[serde(rename = "mark")]
    pub revision: u64,
}

/// A change made by a transaction.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(untagged)]
pub enum Operation {
    Put {
        put: String,
        value: Document,
        #[serde(rename = "hold", skip_serializing_if = "Option::is_none", default)]
        lease: Option<u64>,
    },
    Delete {
        drop: String,
    },
}

impl Operation {
    pub fn put(key: impl Into<String>, value: impl Serialize) -> Operation {
        Operation::put_document(key, Document::new(&value))
    }
    pub fn put_document(key: impl Into<String>, value: Document) -> Operation {
        Operation::Put { put: key.into(), value, lease: None }
    }
    pub fn delete(key: impl Into<String>) -> Operation {
        Operation::Delete { drop: key.into() }
    }
}

#[derive(Debug, Clone, Default, PartialEq, Serialize, Deserialize)]
pub struct Transaction {
    #[serde(rename = "guards")]
    pub compares: Vec<Compare>,
    #[serde(rename = "apply")]
    pub operations: Vec<Operation>,
}

#[derive(Debug, Deserialize)]
pub struct Committed {
    #[serde(rename = "growth")]
    pub store_revision: u64,
}

#[derive(Debug, Deserialize)]
pub struct Conflict {
    pub failed: Vec<String>,
}

/// A stored key.
#[derive(Debug, Clone, Deserialize, Serialize)]
pub struct KeyValue {
    pub key: String,
    pub value: Value,
    #[serde(rename = "mark")]
    pub revision: u64,
}

#[derive(Debug, Deserialize, Serialize)]
pub struct Page {
    #[serde(rename = "pairs")]
    pub key_values: Vec<KeyValue>,
    #[serde(rename = "hasNext", default)]
    pub more: bool,
    #[serde(rename = "growth")]
    pub store_revision: u64,
}

#[derive(Debug, Deserialize)]
pub struct LeaseGrant {
    pub hold: u64,
}

#[derive(Debug, Clone, Deserialize)]
#[serde(untagged)]
pub enum WatchEvent {
    Put {
        put: String,
        value: Value,
        #[serde(rename = "mark")]
        revision: u64,
    },
    Delete {
        drop: String,
        #[serde(rename = "mark")]
        revision: u64,
    },
}

#[derive(Debug, Deserialize)]
pub struct Watched {
    #[serde(rename = "growth")]
    pub store_revision: u64,
    pub events: Vec<WatchEvent>,
}

#[cfg(test)]
mod tests;
