//! What is kept in the key-value store of jobs and their tasks: how it is written and how it is read.
//!
//! A job's description is one value, written when it is accepted. Its tasks are kept in chunks of
//! [`chunk_size`], or in parts of a chunk where a whole one is too large a value by now.

use std::collections::BTreeMap;

use serde::Serialize;
use serde_json::{json, Value};

use crate::event::Anomaly;
use crate::model::ids::{AgentEpoch, Attempt, JobIndex};
use crate::model::job::{Job, TaskId};
use crate::model::job_spec::JobSpec;
use crate::model::task::{Task, TaskPhase};
use crate::protocol;
use crate::scheduler::Scheduler;
use crate::storage::document::Document;
use crate::storage::keys;
use crate::time::{TimeDelta, Timestamp};

/// In what steps after the job's acceptance the time of a placing is stored.
pub(crate) const PLACED_UNIT: TimeDelta = TimeDelta::from_millis(100);
/// How many tasks one stored chunk holds, so that its value stays below the limit even with long
/// machine names and large attempt numbers.
pub fn chunk_size(value_bytes: usize) -> u32 {
    ((value_bytes.saturating_sub(96)) / 48).clamp(1, 200) as u32
}

/// The stored form of a job's description.
pub fn description_record(spec: &JobSpec, accepted_wall_us: u64, chunk: u32) -> Value {
    json!({"spec": spec, "at": accepted_wall_us, "chunk": chunk})
}

/// The stored form of some of a job's tasks. The names and their order are those of all versions.
#[derive(Serialize)]
struct ChunkRecord<'a> {
    #[serde(rename = "t")]
    tasks: Vec<TaskRecord<'a>>,
    /// Names the transaction that wrote it.
    #[serde(rename = "w")]
    nonce: &'a str,
}

/// The stored form of one task.
#[derive(Serialize)]
#[serde(untagged)]
enum TaskRecord<'a> {
    /// Pending, and never placed before.
    Untouched(u8),
    /// Phase and attempt.
    Off(u8, Attempt),
    /// Phase, attempt, machine, its agent epoch, and when it was placed.
    Placed(u8, Attempt, &'a str, AgentEpoch, u64),
}

/// Phase, attempt, machine, agent epoch, and when it was placed, if the record tells.
type Record<'a> = (TaskPhase, Attempt, &'a str, AgentEpoch, Option<u64>);

fn read_record(record: &Value) -> Option<Record<'_>> {
    let items = match record {
        Value::Number(_) => {
            return Some((TaskPhase::Pending, Attempt::FIRST, "", AgentEpoch::NONE, None))
        }
        Value::Array(items) => items,
        _ => return None,
    };
    let phase = TaskPhase::from_code(items.first()?.as_u64()?)?;
    let attempt = Attempt(u32::try_from(items.get(1)?.as_u64()?).ok()?.into());
    if !phase.placed() {
        return Some((phase, attempt, "", AgentEpoch::NONE, None));
    }
    let placed = items.get(4).and_then(Value::as_u64);
    let agent_epoch = AgentEpoch(items.get(3)?.as_u64()?);
    Some((phase, attempt, items.get(2)?.as_str()?, agent_epoch, placed))
}

impl Scheduler {
    /// Adds a job from its stored description. `accepted` is its acceptance on this node's clock.
    /// Returns whether the record could be read.
    pub fn add_job(&mut self, now: Timestamp, name: &str, value: &Value, wall_us: u64) -> bool {
        if self.cluster.jobs_by_name.contains_key(name) {
            return true;
        }
        let spec = serde_json::from_value::<JobSpec>(value["spec"].clone());
        let (Ok(spec), Some(at), Some(chunk_size)) =
            (spec, value["at"].as_u64(), value["chunk"].as_u64())
        else {
            self.log_once(name, Anomaly::UnreadableDescription);
            return false;
        };
        if spec.tasks == 0 || u64::from(spec.tasks) > protocol::users::MAX_TASKS || chunk_size == 0
        {
            self.log_once(name, Anomaly::DescriptionOutOfRange);
            return false;
        }
        let chunk_size = chunk_size.min(u64::from(u32::MAX)) as u32;
        let age = TimeDelta(wall_us.saturating_sub(at));
        let accepted = now - age;
        if spec.dependencies.is_empty() {
            self.run_times.learn_size(&spec, now, accepted);
        }
        let class = self.cluster.shares.job_came(&spec.team, &spec.class);
        let job = Job::new(now, name, spec, accepted, chunk_size, class);
        let ix = self.cluster.next_job;
        self.cluster.next_job = ix.next();
        self.cluster.jobs.insert(ix, job);
        self.cluster.jobs_by_name.insert(name.to_owned(), ix);
        self.cluster.placement_needed = true;
        self.add_dependencies(now, ix);
        true
    }

    /// Takes over the stored chunks, all of them at once. All that was placed keeps its machine;
    /// deadlines start again. Returns the keys that belong to no job or can't be read.
    ///
    /// A task may stand in its chunk and in a part that was written later, or the other way round:
    /// each holds all of its tasks as they were when it was written, so the newer one counts.
    pub fn load_runs(
        &mut self,
        now: Timestamp,
        stored: &[protocol::key_value::KeyValue],
    ) -> Vec<String> {
        let mut by_age: Vec<&protocol::key_value::KeyValue> = stored.iter().collect();
        by_age.sort_by_key(|key_value| key_value.revision);
        let mut newest: BTreeMap<TaskId, &Value> = BTreeMap::new();
        let mut strange = Vec::new();
        for key_value in by_age {
            if self.read_run(key_value, &mut newest).is_none() {
                strange.push(key_value.key.clone());
            }
        }
        let mut by_job: BTreeMap<JobIndex, Vec<(u32, &Value)>> = BTreeMap::new();
        for (id, record) in newest {
            by_job.entry(id.0).or_default().push((id.1, record));
        }
        for (ix, records) in by_job {
            self.load_records(now, ix, &records);
        }
        strange
    }

    /// Adds a stored chunk's or part's records to the newest of each task.
    fn read_run<'a>(
        &mut self,
        key_value: &'a protocol::key_value::KeyValue,
        newest: &mut BTreeMap<TaskId, &'a Value>,
    ) -> Option<()> {
        let (name, chunk, from) = keys::split_run(&key_value.key)?;
        let ix = *self.cluster.jobs_by_name.get(name)?;
        let records = key_value.value["t"].as_array()?;
        let job = self.cluster.jobs.get_mut(&ix)?;
        let state = job.chunks.get_mut(chunk)?;
        let base = chunk as u32 * job.chunk_size;
        let first = match from {
            Some(from) if from < base || from >= base.saturating_add(job.chunk_size) => {
                return None
            }
            Some(from) => {
                job.parts.insert((chunk, from), key_value.revision);
                from
            }
            None => {
                state.revision = key_value.revision;
                base
            }
        };
        let end = base.saturating_add(job.chunk_size).min(job.spec.tasks);
        newest.extend((first..end).zip(records).map(|(index, record)| ((ix, index), record)));
        Some(())
    }

    fn load_records(&mut self, now: Timestamp, ix: JobIndex, records: &[(u32, &Value)]) {
        let Some(job) = self.cluster.jobs.get_mut(&ix) else { return };
        let mut placed = Vec::new();
        for &(index, record) in records {
            let Some(task) = job.tasks.get_mut(index as usize) else { break };
            let Some((phase, attempt, machine, agent_epoch, steps)) = read_record(record) else {
                continue;
            };
            task.attempt = attempt;
            task.since = now;
            if let Some(steps) = steps {
                let after = TimeDelta(steps.saturating_mul(PLACED_UNIT.0));
                task.placed_at = (job.accepted + after).min(now);
            }
            if phase == TaskPhase::Done {
                task.phase = TaskPhase::Done;
                job.recorded.insert(index);
                job.done += 1;
                job.has_started = true;
            } else if phase.placed() {
                // Whatever it was, all that is certain now is that it may be there.
                task.phase = TaskPhase::Dispatching;
                task.agent_epoch = agent_epoch;
                // Sent under an older term, so with a token below all of this one's. Only a worker
                // that has seen this term refuses it for certain; a lower bar would take a heartbeat
                // from before the old start's arrival for proof.
                task.token = self.cluster.loaded_token;
                placed.push((index, machine.to_owned()));
            }
        }
        for (index, machine) in placed {
            let m = self.cluster.machine_named(now, &machine);
            self.cluster.attach((ix, index), m);
            if let Some(image) = self.cluster.job(ix).map(|j| j.spec.image.clone()) {
                self.cluster.has_image(m, image);
            }
        }
    }

    /// The stored form of the job's tasks from one up to another.
    pub(crate) fn records(&self, ix: JobIndex, from: u32, to: u32) -> Document {
        let Some(job) = self.cluster.jobs.get(&ix) else { return Document::new(&()) };
        let record = |task: &Task| match task.phase {
            TaskPhase::Pending if task.attempt == Attempt::FIRST => TaskRecord::Untouched(0),
            TaskPhase::Pending | TaskPhase::Done => {
                TaskRecord::Off(task.phase.code(), task.attempt)
            }
            phase => {
                let name = &self.cluster.machines[task.machine].name;
                let placed = task.placed_at.since(job.accepted).0 / PLACED_UNIT.0;
                TaskRecord::Placed(phase.code(), task.attempt, name, task.agent_epoch, placed)
            }
        };
        let tasks = job.tasks[from as usize..to as usize].iter().map(record).collect();
        Document::new(&ChunkRecord { tasks, nonce: &self.nonce() })
    }
}
