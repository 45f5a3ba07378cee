//! Messages of the user API: job submissions and status responses.

use serde::{Deserialize, Serialize};
use serde_json::{json, Map, Value};

use crate::model::job_spec::{JobSpec, Priority};

/// Reason for rejecting a submission as malformed.
#[derive(Debug, Clone, PartialEq, Eq, thiserror::Error)]
#[error("{field}: {fault}")]
pub struct InvalidField {
    /// Name of the field as used in the submission.
    pub field: &'static str,
    /// Description of the problem, for the user.
    pub fault: String,
}

fn invalid(field: &'static str, fault: impl Into<String>) -> InvalidField {
    InvalidField { field, fault: fault.into() }
}

/// Maximum number of tasks in one job.
pub const MAX_TASKS: u64 = 100_000;

/// Returns whether `name` has the form of a job id: `req-` followed by 1 to 20 decimal digits. Any
/// other name is rejected without a lookup in the key-value store.
pub fn is_job_id(name: &str) -> bool {
    name.strip_prefix("req-")
        .is_some_and(|n| (1..=20).contains(&n.len()) && n.bytes().all(|b| b.is_ascii_digit()))
}

/// Parses a submission into the job's id and requirements. The error names the first field that is
/// missing or invalid.
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
    let priority = priority(&map)?;
    let tasks = task_count(&map)?;
    let cpus = amount(&map, "vcpus")?;
    let gpus = amount(&map, "gpus")?;
    let memory_gb = amount(&map, "memoryGb")?;
    if cpus == 0.0 && gpus == 0.0 && memory_gb == 0.0 {
        return Err(invalid("vcpus", "a task must take something of its machine"));
    }
    let types = allowed_types(&map)?;
    let zone = allowed_zone(&map)?;
    let deadline_s = deadline(&map)?;
    let spec = JobSpec {
        class: text(&map, "shell")?,
        team: text(&map, "crew")?,
        priority,
        tasks,
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

fn priority(map: &Map<String, Value>) -> Result<Priority, InvalidField> {
    match text(map, "rank")?.as_str() {
        "prod" => Ok(Priority::Prod),
        "high" => Ok(Priority::High),
        "normal" => Ok(Priority::Normal),
        "low" => Ok(Priority::Low),
        _ => Err(invalid("rank", "must be prod, high, normal or low")),
    }
}

fn task_count(map: &Map<String, Value>) -> Result<u32, InvalidField> {
    let value = map.get("nuts").ok_or_else(|| invalid("nuts", "is missing"))?;
    let count = value.as_u64().filter(|count| (1..=MAX_TASKS).contains(count));
    let count = count.and_then(|count| u32::try_from(count).ok());
    count.ok_or_else(|| invalid("nuts", format!("must be a whole number from 1 to {MAX_TASKS}")))
}

fn allowed_types(map: &Map<String, Value>) -> Result<Option<Vec<String>>, InvalidField> {
    let items = match map.get("breeds") {
        None | Some(Value::Null) => return Ok(None),
        Some(Value::Array(items)) => items,
        Some(_) => return Err(invalid("breeds", "must be a list of machine types or null")),
    };
    let name = |item: &Value| item.as_str().map(str::to_owned);
    let names: Option<Vec<String>> = items.iter().map(name).collect();
    match names {
        None => Err(invalid("breeds", "must hold names")),
        Some(names) if names.is_empty() => Err(invalid("breeds", "must not be empty")),
        names => Ok(names),
    }
}

fn allowed_zone(map: &Map<String, Value>) -> Result<Option<String>, InvalidField> {
    match map.get("grove") {
        None | Some(Value::Null) => Ok(None),
        Some(Value::String(zone)) if !zone.is_empty() => Ok(Some(zone.clone())),
        Some(_) => Err(invalid("grove", "must be a zone's name or null")),
    }
}

fn deadline(map: &Map<String, Value>) -> Result<Option<f64>, InvalidField> {
    match map.get("harvestS") {
        None | Some(Value::Null) => Ok(None),
        Some(_) => amount(map, "harvestS").map(Some),
    }
}

/// Maximum number of dependencies of one job. With ids of the usual length, the list takes a
/// quarter of the smallest value size limit that a key-value store is expected to have.
pub const MAX_DEPENDENCIES: usize = 64;

/// Parses the ids of the jobs that must complete first and removes duplicates.
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

/// Job status as shown to users.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum JobStage {
    /// None of the tasks is running.
    Queued,
    /// At least one task is running.
    Running,
    /// All tasks completed.
    Done,
    /// The job was cancelled.
    #[serde(rename = "aborted")]
    Cancelled,
}

/// Builds the response to a submission, a status request or a cancellation. `counts` holds the
/// numbers of completed and of running tasks.
pub fn job_response(name: &str, stage: JobStage, counts: Option<(u32, u32)>) -> Value {
    match counts {
        Some((done, running)) => {
            json!({"ref": name, "stage": stage, "done": done, "running": running})
        }
        None => json!({"ref": name, "stage": stage}),
    }
}
