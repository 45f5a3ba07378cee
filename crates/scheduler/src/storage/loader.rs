//! Loads the stored records into the cluster.

use std::borrow::Cow;
use std::collections::HashMap;

use serde::Deserialize;
use serde_json::Value;

use crate::event::Anomaly;
use crate::leadership::fencing_token::FencingToken;
use crate::model::cluster::Cluster;
use crate::model::ids::{JobIndex, MachineIndex, TaskId};
use crate::model::job::Job;
use crate::model::task::{Task, TaskPhase};
use crate::protocol::key_value::KeyValue;
use crate::protocol::users::MAX_TASKS;
use crate::storage::chunk_records::StoredRecord;
use crate::storage::keys::RunKey;
use crate::storage::records::{DescriptionRecord, StoredChunk, StoredProgress, TaskState};
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

/// Loads the stored chunks of tasks, a page of them at a time. Placed tasks keep their machine;
/// their deadlines start again.
///
/// A task may be stored both in its chunk and in a part, and either may have been written later.
/// Each record holds all of its tasks as they were when it was written, so the newer record is
/// used. The records may come in any order.
#[derive(Debug)]
pub struct ChunkLoader {
    now: Timestamp,
    /// Names of machines in records. Until [`ChunkLoader::finish`], the tasks' machine indices are
    /// positions in this list: a machine is added to the cluster only if a newest record names it.
    machine_names: Vec<String>,
    positions: HashMap<String, MachineIndex>,
}

impl ChunkLoader {
    /// Creates a loader for the records as they are read at `now`.
    pub fn new(now: Timestamp) -> ChunkLoader {
        ChunkLoader { now, machine_names: Vec::new(), positions: HashMap::new() }
    }

    /// Adds stored chunks to the jobs of the cluster. Returns the keys that belong to no job or
    /// can't be decoded.
    pub(crate) fn add(&mut self, cluster: &mut Cluster, stored: &[KeyValue]) -> Vec<String> {
        let mut unreadable = Vec::new();
        for key_value in stored {
            if self.add_chunk(cluster, key_value).is_none() {
                unreadable.push(key_value.key.clone());
            }
        }
        unreadable
    }

    /// Decodes a chunk or a part, and registers it in the job. Returns `None` if it belongs to no
    /// job or can't be decoded.
    fn add_chunk(&mut self, cluster: &mut Cluster, key_value: &KeyValue) -> Option<()> {
        let key = RunKey::parse(&key_value.key)?;
        let job_index = *cluster.jobs_by_name.get(key.job)?;
        let records = StoredChunk::deserialize(&key_value.value).ok()?.tasks;
        let loaded_token = cluster.loaded_token;
        let job = cluster.jobs.get_mut(&job_index)?;
        if key.chunk >= job.chunk_count() {
            return None;
        }
        let base = key.chunk as u32 * job.chunk_size;
        let first = match key.part {
            Some(from) if from < base || from >= base.saturating_add(job.chunk_size) => {
                return None
            }
            Some(from) => from,
            None => base,
        };
        let chunk_end = base.saturating_add(job.chunk_size).min(job.spec.tasks);
        let tasks = first..chunk_end.min(first.saturating_add(records.len() as u32));
        let revision = key_value.revision;
        let stored = StoredRecord { tasks: tasks.clone(), revision };
        job.chunks.records_mut(key.chunk).insert(key.part, stored);
        for (index, record) in tasks.zip(records) {
            let others = job.chunks.records(key.chunk);
            if !others.is_some_and(|records| records.has_newer(index, revision)) {
                self.load_task(job, index, record.state(), loaded_token);
            }
        }
        Some(())
    }

    /// Loads one task from its record; a malformed record says nothing about it.
    fn load_task(
        &mut self,
        job: &mut Job,
        index: u32,
        state: Option<TaskState<'_>>,
        loaded_token: FencingToken,
    ) {
        let mut task = Task::new(self.now);
        let Some(state) = state else { return job.tasks.set(index, task) };
        task.attempt = state.attempt;
        match state.progress {
            StoredProgress::Pending => {}
            StoredProgress::Done => {
                task.phase = TaskPhase::Done;
                job.tasks.set(index, task);
                return job.tasks.completion_stored(index);
            }
            StoredProgress::Placed(placement) => {
                let placed_at = placement.placed_at(job.accepted, self.now);
                task.placed_at = placed_at.unwrap_or(task.placed_at);
                // Whichever phase was stored, it is only certain that the task may be on the
                // machine.
                task.phase = TaskPhase::Dispatching;
                task.agent_epoch = placement.agent_epoch;
                // The start was sent in an earlier term, with a token below all tokens of this
                // term. Only a worker that has seen this term certainly rejects it. With a lower
                // token here, a heartbeat from before the old start arrived would count as proof of
                // the task's absence.
                task.token = loaded_token;
                task.machine = self.position(placement.machine);
            }
        }
        job.tasks.set(index, task);
    }

    /// Returns the position of the machine's name in the list of names.
    fn position(&mut self, machine: &str) -> MachineIndex {
        if let Some(&position) = self.positions.get(machine) {
            return position;
        }
        let position = MachineIndex::from(self.machine_names.len());
        self.machine_names.push(machine.to_owned());
        self.positions.insert(machine.to_owned(), position);
        position
    }

    /// Assigns the loaded tasks to their machines, once all records were added.
    pub(crate) fn finish(self, cluster: &mut Cluster) {
        let jobs: Vec<JobIndex> = cluster.jobs.keys().copied().collect();
        for job in jobs {
            self.finish_job(cluster, job);
        }
    }

    fn finish_job(&self, cluster: &mut Cluster, job_index: JobIndex) {
        let Some(job) = cluster.jobs.get_mut(&job_index) else { return };
        job.done = job.tasks.count_done();
        job.has_started |= job.done > 0;
        let image = job.spec.image.clone();
        let placed: Vec<(u32, MachineIndex)> =
            job.tasks.placed().map(|(index, task)| (index, task.machine)).collect();
        let mut machines = Vec::with_capacity(placed.len());
        for &(_, position) in &placed {
            let machine = cluster.machine_named(self.now, &self.machine_names[position.as_usize()]);
            cluster.machines[machine].add_image(image.clone());
            machines.push(machine);
        }
        if let Some(job) = cluster.jobs.get_mut(&job_index) {
            for ((_, task), &machine) in job.tasks.placed_mut().zip(&machines) {
                task.machine = machine;
            }
        }
        for ((index, _), machine) in placed.into_iter().zip(machines) {
            cluster.attach(TaskId { job: job_index, index }, machine);
        }
    }
}
