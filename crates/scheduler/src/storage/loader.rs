//! Loads the stored records into the cluster.

use std::borrow::Cow;
use std::collections::BTreeMap;

use serde::Deserialize;
use serde_json::Value;

use crate::event::Anomaly;
use crate::leadership::fencing_token::FencingToken;
use crate::model::cluster::Cluster;
use crate::model::ids::{JobIndex, MachineIndex, TaskId};
use crate::model::job::Job;
use crate::model::task::TaskPhase;
use crate::protocol::key_value::KeyValue;
use crate::protocol::users::MAX_TASKS;
use crate::storage::chunk_records::StoredRecord;
use crate::storage::keys::RunKey;
use crate::storage::records::{
    DescriptionRecord, StoredChunk, StoredProgress, StoredTask, TaskState,
};
use crate::time::{TimeDelta, Timestamp};

/// The reason for which a job's stored description was rejected.
#[derive(Debug, thiserror::Error)]
pub enum DescriptionError {
    /// The value is not a description, or one of its fields has the wrong type.
    #[error("the job's stored description can't be read")]
    Unreadable(#[source] serde_json::Error),
    /// The number of tasks, or of tasks per chunk, is out of range.
    #[error(
        "the job's stored description is out of range: {tasks} tasks in chunks of {chunk_size}"
    )]
    OutOfRange {
        /// Number of tasks in the description.
        tasks: u32,
        /// Number of tasks per chunk in the description.
        chunk_size: u64,
    },
}

impl DescriptionError {
    /// Returns the anomaly to log for this error.
    pub(crate) fn anomaly(&self) -> Anomaly {
        match self {
            DescriptionError::Unreadable(_) => Anomaly::UnreadableDescription,
            DescriptionError::OutOfRange { .. } => Anomaly::DescriptionOutOfRange,
        }
    }
}

/// The result of loading a job's stored description.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum LoadedJob {
    /// The job was not in the cluster before and has been added.
    Added(JobIndex),
    /// The job was already in the cluster, which is unchanged.
    AlreadyLoaded,
}

/// Adds a job from its stored description. `wall_us` is the current wall-clock time in
/// microseconds, used to convert the time of acceptance to this node's clock.
pub(crate) fn load_job(
    cluster: &mut Cluster,
    now: Timestamp,
    name: &str,
    value: &Value,
    wall_us: u64,
) -> Result<LoadedJob, DescriptionError> {
    if cluster.jobs_by_name.contains_key(name) {
        return Ok(LoadedJob::AlreadyLoaded);
    }
    let record = DescriptionRecord::deserialize(value).map_err(DescriptionError::Unreadable)?;
    let (tasks, chunk_size) = (record.spec.tasks, record.chunk_size);
    if tasks == 0 || u64::from(tasks) > MAX_TASKS || chunk_size == 0 {
        return Err(DescriptionError::OutOfRange { tasks, chunk_size });
    }
    let chunk_size = chunk_size.min(u64::from(u32::MAX)) as u32;
    let accepted = now - TimeDelta(wall_us.saturating_sub(record.accepted_wall_us));
    let spec = Cow::into_owned(record.spec);
    let class = cluster.shares.add_job(&spec.team, &spec.class);
    let job = Job::new(now, name, spec, accepted, chunk_size, class);
    Ok(LoadedJob::Added(cluster.add_job(job)))
}

/// Loads the stored chunks, all of which must be passed at once. Placed tasks keep their machine;
/// their deadlines start again. Returns the keys that belong to no job or can't be decoded.
///
/// A task may be stored both in its chunk and in a part, and either may have been written later.
/// Each record holds all of its tasks as they were when it was written, so the newer record is
/// used.
pub(crate) fn load_chunks(
    cluster: &mut Cluster,
    now: Timestamp,
    stored: &[KeyValue],
) -> Vec<String> {
    let mut by_revision: Vec<&KeyValue> = stored.iter().collect();
    by_revision.sort_by_key(|key_value| key_value.revision);
    let mut newest: BTreeMap<TaskId, StoredTask<'_>> = BTreeMap::new();
    let mut unreadable = Vec::new();
    for key_value in by_revision {
        match read_chunk(cluster, key_value) {
            Some(tasks) => newest.extend(tasks),
            None => unreadable.push(key_value.key.clone()),
        }
    }
    let mut by_job: BTreeMap<JobIndex, Vec<(u32, StoredTask<'_>)>> = BTreeMap::new();
    for (id, record) in newest {
        by_job.entry(id.job).or_default().push((id.index, record));
    }
    for (job, records) in by_job {
        load_tasks(cluster, now, job, &records);
    }
    unreadable
}

/// Decodes a chunk or a part, and registers it in the job. Returns `None` if it belongs to no job
/// or can't be decoded.
fn read_chunk<'a>(
    cluster: &mut Cluster,
    key_value: &'a KeyValue,
) -> Option<Vec<(TaskId, StoredTask<'a>)>> {
    let key = RunKey::parse(&key_value.key)?;
    let job_index = *cluster.jobs_by_name.get(key.job)?;
    let records = StoredChunk::deserialize(&key_value.value).ok()?.tasks;
    let job = cluster.jobs.get_mut(&job_index)?;
    let chunk = job.chunks.get_mut(key.chunk)?;
    let base = key.chunk as u32 * job.chunk_size;
    let first = match key.part {
        Some(from) if from < base || from >= base.saturating_add(job.chunk_size) => return None,
        Some(from) => from,
        None => base,
    };
    let chunk_end = base.saturating_add(job.chunk_size).min(job.spec.tasks);
    let tasks = first..chunk_end.min(first.saturating_add(records.len() as u32));
    let stored = StoredRecord { tasks: tasks.clone(), revision: key_value.revision };
    chunk.records.insert(key.part, stored);
    let ids = tasks.map(|index| TaskId { job: job_index, index });
    Some(ids.zip(records).collect())
}

/// A task that is on a machine according to its record.
struct LoadedPlacement {
    id: TaskId,
    machine: String,
}

fn load_tasks(
    cluster: &mut Cluster,
    now: Timestamp,
    job_index: JobIndex,
    records: &[(u32, StoredTask<'_>)],
) {
    let loaded_token = cluster.loaded_token;
    let Some(job) = cluster.jobs.get_mut(&job_index) else { return };
    let image = job.spec.image.clone();
    let mut placements = Vec::new();
    for (index, record) in records {
        let Some(state) = record.state() else { continue };
        if *index >= job.spec.tasks {
            break;
        }
        let placement = load_task(job, now, *index, state, loaded_token);
        placements.extend(placement.map(|machine| LoadedPlacement {
            id: TaskId { job: job_index, index: *index },
            machine: machine.to_owned(),
        }));
    }
    for LoadedPlacement { id, machine } in placements {
        let machine: MachineIndex = cluster.machine_named(now, &machine);
        cluster.attach(id, machine);
        cluster.machines[machine].add_image(image.clone());
    }
}

/// Loads one task from its record. Returns the name of its machine if the task is placed.
fn load_task<'a>(
    job: &mut Job,
    now: Timestamp,
    index: u32,
    state: TaskState<'a>,
    loaded_token: FencingToken,
) -> Option<&'a str> {
    let task = &mut job.tasks[index as usize];
    task.attempt = state.attempt;
    task.since = now;
    match state.progress {
        StoredProgress::Pending => None,
        StoredProgress::Done => {
            task.phase = TaskPhase::Done;
            job.stored_completions.insert(index);
            job.done += 1;
            job.has_started = true;
            None
        }
        StoredProgress::Placed(placement) => {
            task.placed_at = placement.placed_at(job.accepted, now).unwrap_or(task.placed_at);
            // Whichever phase was stored, it is only certain that the task may be on the machine.
            task.phase = TaskPhase::Dispatching;
            task.agent_epoch = placement.agent_epoch;
            // The start was sent in an earlier term, with a token below all tokens of this term.
            // Only a worker that has seen this term certainly rejects it. With a lower token here,
            // a heartbeat from before the old start arrived would count as proof of the task's
            // absence.
            task.token = loaded_token;
            Some(placement.machine)
        }
    }
}
