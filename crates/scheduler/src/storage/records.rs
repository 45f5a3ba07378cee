//! The codec of the records: jobs' descriptions, and their tasks in chunks.
//!
//! A job's description is one value, written when it is accepted. Its tasks are kept in chunks of
//! [`chunk_size`], or in parts of a chunk where a whole one is too large a value by now. The names and
//! the order of all fields are those of every version.

use std::borrow::Cow;
use std::ops::Range;

use serde::de::IgnoredAny;
use serde::{Deserialize, Serialize};
use serde_json::Value;

use crate::model::cluster::Cluster;
use crate::model::ids::{AgentEpoch, Attempt};
use crate::model::job::Job;
use crate::model::job_spec::JobSpec;
use crate::model::task::{Task, TaskPhase};
use crate::storage::document::Document;
use crate::time::{TimeDelta, Timestamp};

/// The unit in which a task's placement is stored, counted from its job's acceptance.
const PLACED_UNIT: TimeDelta = TimeDelta::from_millis(100);

/// How many tasks one stored chunk holds, so that its value stays below the limit even with long
/// machine names and large attempt numbers.
pub fn chunk_size(value_bytes: usize) -> u32 {
    ((value_bytes.saturating_sub(96)) / 48).clamp(1, 200) as u32
}

/// How many tasks a part of a chunk holds: few enough for the longest records.
pub(crate) fn part_size(value_bytes: usize) -> u32 {
    (value_bytes.saturating_sub(96) / 64).clamp(1, 200) as u32
}

/// The stored form of a job's description.
#[derive(Debug, Serialize, Deserialize)]
pub(crate) struct DescriptionRecord<'a> {
    pub(crate) spec: Cow<'a, JobSpec>,
    /// Microseconds of the wall clock at the job's acceptance.
    #[serde(rename = "at")]
    pub(crate) accepted_wall_us: u64,
    /// Tasks in each of its chunks.
    #[serde(rename = "chunk")]
    pub(crate) chunk_size: u64,
}

/// The stored form of a job's description. `accepted_wall_us` is the wall clock in microseconds.
pub fn description_record(spec: &JobSpec, accepted_wall_us: u64, chunk_size: u32) -> Value {
    let (spec, chunk_size) = (Cow::Borrowed(spec), u64::from(chunk_size));
    let record = DescriptionRecord { spec, accepted_wall_us, chunk_size };
    serde_json::to_value(record).unwrap_or_default()
}

/// Some of a job's tasks, to be written.
#[derive(Serialize)]
struct ChunkRecord<'a> {
    #[serde(rename = "t")]
    tasks: Vec<TaskRecord<'a>>,
    /// Names the transaction that wrote it.
    #[serde(rename = "w")]
    nonce: &'a str,
}

/// One task, to be written.
#[derive(Serialize)]
#[serde(untagged)]
enum TaskRecord<'a> {
    /// Pending, and never placed before.
    Untouched(u8),
    /// Phase and attempt.
    NotPlaced(u8, Attempt),
    /// Phase, attempt, machine, its agent epoch, and when it was placed.
    Placed(u8, Attempt, &'a str, AgentEpoch, u64),
}

impl<'a> TaskRecord<'a> {
    fn new(cluster: &'a Cluster, job: &Job, task: &Task) -> TaskRecord<'a> {
        let code = task.phase.code();
        match task.phase {
            TaskPhase::Pending if task.attempt == Attempt::FIRST => TaskRecord::Untouched(0),
            TaskPhase::Pending | TaskPhase::Done => TaskRecord::NotPlaced(code, task.attempt),
            _ => {
                let machine = &cluster.machines[task.machine].name;
                let placed_at = task.placed_at.since(job.accepted).0 / PLACED_UNIT.0;
                TaskRecord::Placed(code, task.attempt, machine, task.agent_epoch, placed_at)
            }
        }
    }
}

/// Encodes the job's tasks of that range; `nonce` names the transaction that will write them.
pub(crate) fn encode_tasks(
    cluster: &Cluster,
    job: &Job,
    tasks: Range<u32>,
    nonce: &str,
) -> Document {
    let tasks = job.tasks[tasks.start as usize..tasks.end as usize].iter();
    let tasks = tasks.map(|task| TaskRecord::new(cluster, job, task)).collect();
    Document::new(&ChunkRecord { tasks, nonce })
}

/// A stored chunk, or a part of one, as it is read.
#[derive(Debug, Deserialize)]
pub(crate) struct StoredChunk<'a> {
    #[serde(rename = "t", borrow)]
    pub(crate) tasks: Vec<StoredTask<'a>>,
}

/// One task of a [`StoredChunk`]. Unreadable ones don't make the rest of the chunk unreadable.
#[derive(Debug, Deserialize)]
#[serde(untagged)]
pub(crate) enum StoredTask<'a> {
    /// Any number: pending, and never placed before.
    Untouched(#[expect(dead_code, reason = "any number means the same")] f64),
    /// The fields of a [`TaskRecord`], and perhaps more from a later version.
    Fields(#[serde(borrow)] Vec<StoredField<'a>>),
    /// Anything else.
    Unreadable(IgnoredAny),
}

/// One field of a [`StoredTask`].
#[derive(Debug, Deserialize)]
#[serde(untagged)]
pub(crate) enum StoredField<'a> {
    Number(u64),
    Text(#[serde(borrow)] &'a str),
    Other(IgnoredAny),
}

/// What a record says of one task.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) struct TaskState<'a> {
    pub(crate) attempt: Attempt,
    pub(crate) progress: StoredProgress<'a>,
}

/// How far a record says that a task has come.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum StoredProgress<'a> {
    Pending,
    /// On a machine, or on its way there; or it was, and has not been proven absent.
    Placed(StoredPlacement<'a>),
    Done,
}

/// Where and when a record says that a task was placed.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) struct StoredPlacement<'a> {
    pub(crate) machine: &'a str,
    pub(crate) agent_epoch: AgentEpoch,
    /// From the job's acceptance; `None` in records of a version that did not store it.
    pub(crate) after_acceptance: Option<TimeDelta>,
}

impl StoredPlacement<'_> {
    /// The time of the placement of a task of a job accepted at `accepted`, never later than `now`.
    pub(crate) fn placed_at(&self, accepted: Timestamp, now: Timestamp) -> Option<Timestamp> {
        self.after_acceptance.map(|after| (accepted + after).min(now))
    }
}

impl<'a> StoredTask<'a> {
    /// What the record says; `None` if it can't be read.
    pub(crate) fn state(&self) -> Option<TaskState<'a>> {
        let fields = match self {
            StoredTask::Untouched(_) => {
                return Some(TaskState {
                    attempt: Attempt::FIRST,
                    progress: StoredProgress::Pending,
                })
            }
            StoredTask::Fields(fields) => fields.as_slice(),
            StoredTask::Unreadable(_) => return None,
        };
        let [StoredField::Number(code), StoredField::Number(attempt), placement @ ..] = fields
        else {
            return None;
        };
        let attempt = Attempt(u32::try_from(*attempt).ok()?.into());
        let progress = match TaskPhase::from_code(*code)? {
            TaskPhase::Pending => StoredProgress::Pending,
            TaskPhase::Done => StoredProgress::Done,
            TaskPhase::Dispatching
            | TaskPhase::Running
            | TaskPhase::Stopping
            | TaskPhase::Unknown => StoredProgress::Placed(read_placement(placement)?),
        };
        Some(TaskState { attempt, progress })
    }
}

fn read_placement<'a>(fields: &[StoredField<'a>]) -> Option<StoredPlacement<'a>> {
    let [StoredField::Text(machine), StoredField::Number(agent_epoch), rest @ ..] = fields else {
        return None;
    };
    let after_acceptance = match rest.first() {
        Some(StoredField::Number(units)) => Some(TimeDelta(units.saturating_mul(PLACED_UNIT.0))),
        _ => None,
    };
    Some(StoredPlacement { machine, agent_epoch: AgentEpoch(*agent_epoch), after_acceptance })
}

/// Whether the stored value was written by the transaction with that nonce.
pub(crate) fn was_written_by(value: &Value, nonce: &str) -> bool {
    #[derive(Deserialize)]
    struct Writer<'a> {
        #[serde(rename = "w")]
        nonce: &'a str,
    }
    Writer::deserialize(value).is_ok_and(|writer| writer.nonce == nonce)
}

#[cfg(test)]
mod tests;
