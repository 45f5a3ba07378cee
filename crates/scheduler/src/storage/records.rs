//! Codec of the stored records: job descriptions, and tasks in chunks.
//!
//! A job's description is one value, written when the job is accepted. Its tasks are stored in
//! chunks of [`chunk_size`], or in parts of a chunk if the whole chunk has become too large a
//! value. All versions use the same names and order of fields.

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

/// Unit of a task's stored placement time, which is counted from its job's acceptance.
const PLACED_UNIT: TimeDelta = TimeDelta::from_millis(100);

/// Size allowed for the record of one task in a part, in bytes, unless its machine's name is longer
/// than usual.
const MIN_RECORD_BYTES: usize = 64;
/// Size allowed for the record of one task besides its machine's name, in bytes.
const RECORD_BYTES_WITHOUT_NAME: usize = 48;

/// Returns how many tasks one stored chunk holds, so that its value stays within the limit even
/// with long machine names and large attempt numbers.
pub fn chunk_size(value_bytes: usize) -> u32 {
    ((value_bytes.saturating_sub(96)) / 48).clamp(1, 200) as u32
}

/// Returns how many of the job's tasks one part of a chunk holds, so that its value stays within the
/// limit even with the longest records. `tasks` are those of the chunk.
pub(crate) fn part_size(
    cluster: &Cluster,
    job: &Job,
    tasks: Range<u32>,
    value_bytes: usize,
) -> u32 {
    let placed = job.tasks.range(tasks).filter(|task| task.phase.placed());
    let longest_name = placed.map(|task| cluster.machines[task.machine].name.len()).max();
    let record_bytes = MIN_RECORD_BYTES.max(longest_name.unwrap_or(0) + RECORD_BYTES_WITHOUT_NAME);
    (value_bytes.saturating_sub(96) / record_bytes).clamp(1, 200) as u32
}

/// Stored form of a job's description.
#[derive(Debug, Serialize, Deserialize)]
pub(crate) struct DescriptionRecord<'a> {
    pub(crate) spec: Cow<'a, JobSpec>,
    /// Wall-clock time of the job's acceptance, in microseconds.
    #[serde(rename = "at")]
    pub(crate) accepted_wall_us: u64,
    /// Number of tasks in each of the job's chunks.
    #[serde(rename = "chunk")]
    pub(crate) chunk_size: u64,
}

/// Encodes a job's description. `accepted_wall_us` is the wall-clock time of its acceptance in
/// microseconds.
pub fn description_record(spec: &JobSpec, accepted_wall_us: u64, chunk_size: u32) -> Value {
    let (spec, chunk_size) = (Cow::Borrowed(spec), u64::from(chunk_size));
    let record = DescriptionRecord { spec, accepted_wall_us, chunk_size };
    serde_json::to_value(record).unwrap_or_default()
}

/// Stored form of a chunk or of a part of one, as written.
#[derive(Serialize)]
struct ChunkRecord<'a> {
    #[serde(rename = "t")]
    tasks: Vec<TaskRecord<'a>>,
    /// Identifies the transaction that wrote the record.
    #[serde(rename = "w")]
    nonce: &'a str,
}

/// Stored form of one task, as written.
#[derive(Serialize)]
#[serde(untagged)]
enum TaskRecord<'a> {
    /// Pending, and never placed before. Always the number 0.
    NeverPlaced(u8),
    /// Not on a machine: phase code and attempt.
    NotPlaced(u8, Attempt),
    /// On a machine: phase code, attempt, machine, its agent epoch, and time of placement in
    /// [`PLACED_UNIT`]s after the job's acceptance.
    Placed(u8, Attempt, &'a str, AgentEpoch, u64),
}

impl<'a> TaskRecord<'a> {
    fn new(cluster: &'a Cluster, job: &Job, task: &Task) -> TaskRecord<'a> {
        let code = task.phase.code();
        match task.phase {
            TaskPhase::Pending if task.attempt == Attempt::FIRST => TaskRecord::NeverPlaced(0),
            TaskPhase::Pending | TaskPhase::Done => TaskRecord::NotPlaced(code, task.attempt),
            _ => {
                let machine = &cluster.machines[task.machine].name;
                let placed_at = task.placed_at.since(job.accepted).0 / PLACED_UNIT.0;
                TaskRecord::Placed(code, task.attempt, machine, task.agent_epoch, placed_at)
            }
        }
    }
}

/// The encoded state of consecutive tasks.
#[derive(Debug)]
pub(crate) struct EncodedTasks {
    tasks: Range<u32>,
    value: Document,
}

impl EncodedTasks {
    /// Encodes the job's tasks in the given range. `nonce` identifies the transaction that will
    /// write them.
    pub(crate) fn new(
        cluster: &Cluster,
        job: &Job,
        tasks: Range<u32>,
        nonce: &str,
    ) -> EncodedTasks {
        let states = job.tasks.range(tasks.clone());
        let states = states.map(|task| TaskRecord::new(cluster, job, &task)).collect();
        EncodedTasks { tasks, value: Document::new(&ChunkRecord { tasks: states, nonce }) }
    }

    /// Returns the tasks that the value holds.
    pub(crate) fn tasks(&self) -> &Range<u32> {
        &self.tasks
    }

    /// Returns the size of the value in bytes.
    pub(crate) fn size(&self) -> usize {
        self.value.size()
    }

    pub(crate) fn into_value(self) -> Document {
        self.value
    }
}

/// Stored form of a chunk or of a part of one, as read.
#[derive(Debug, Deserialize)]
pub(crate) struct StoredChunk<'a> {
    #[serde(rename = "t", borrow)]
    pub(crate) tasks: Vec<StoredTask<'a>>,
}

/// Stored form of one task, as read. A task that can't be decoded doesn't prevent the decoding of
/// the others in its chunk.
#[derive(Debug, Deserialize)]
#[serde(untagged)]
pub(crate) enum StoredTask<'a> {
    /// Any number: pending, and never placed before.
    NeverPlaced(#[expect(dead_code, reason = "any number means the same")] f64),
    /// The fields of a [`TaskRecord`], possibly followed by fields that a later version added.
    Fields(#[serde(borrow)] Vec<StoredField<'a>>),
    /// Any other value, which is skipped.
    Unreadable(IgnoredAny),
}

/// One field of a [`StoredTask`], typed loosely so that unknown fields can be skipped.
#[derive(Debug, Deserialize)]
#[serde(untagged)]
pub(crate) enum StoredField<'a> {
    Number(u64),
    Text(#[serde(borrow)] &'a str),
    Other(IgnoredAny),
}

/// Decoded state of a task.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) struct TaskState<'a> {
    pub(crate) attempt: Attempt,
    pub(crate) progress: StoredProgress<'a>,
}

/// Progress of a task according to its record.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum StoredProgress<'a> {
    Pending,
    /// The task is or was on a machine or on its way there, and has not been proven absent from it.
    Placed(StoredPlacement<'a>),
    Done,
}

/// Place and time at which a task was placed, according to its record.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) struct StoredPlacement<'a> {
    pub(crate) machine: &'a str,
    pub(crate) agent_epoch: AgentEpoch,
    /// Time from the job's acceptance to the placement; `None` in records of a version that did not
    /// store it.
    pub(crate) after_acceptance: Option<TimeDelta>,
}

impl StoredPlacement<'_> {
    /// Returns when the task was placed, but not later than `now`. `accepted` is the time of its
    /// job's acceptance.
    pub(crate) fn placed_at(&self, accepted: Timestamp, now: Timestamp) -> Option<Timestamp> {
        self.after_acceptance.map(|after| (accepted + after).min(now))
    }
}

impl<'a> StoredTask<'a> {
    /// Decodes the task's state; returns `None` if the record is malformed.
    pub(crate) fn state(&self) -> Option<TaskState<'a>> {
        let fields = match self {
            StoredTask::NeverPlaced(_) => {
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
            TaskPhase::Planned
            | TaskPhase::Recorded
            | TaskPhase::Dispatching
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

/// Returns whether the stored value was written by the transaction with the given nonce.
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
