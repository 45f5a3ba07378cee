//! A job in the scheduler's table: its tasks, the state of its stored records, and what was learned
//! from its runs.

use std::collections::{BTreeMap, HashMap};
use std::ops::Range;

use roaring::RoaringBitmap;
use walnutlug_admission::shares::ClassId;

use crate::autoscaling::capacity_wait::CapacityWait;
use crate::model::chunk_table::ChunkTable;
use crate::model::footprint;
use crate::model::ids::MachineIndex;
use crate::model::job_spec::{JobSpec, Priority};
use crate::model::job_state::{JobEvent, JobState};
use crate::model::task_table::TaskTable;
use crate::queue::dependencies::EffectiveDeadline;
use crate::time::{TimeDelta, Timestamp};

/// A job that is in the scheduler's table until its records are deleted.
#[derive(Debug, Clone)]
pub struct Job {
    /// Job id, such as `req-000412`.
    pub name: String,
    /// Requirements that the user submitted.
    pub spec: JobSpec,
    /// When the job was accepted, on this node's clock.
    pub accepted: Timestamp,
    /// When the last dependency was found to be completed, or when the job was accepted if it has
    /// no dependencies. All times of the job except its deadline count from here.
    pub ready_at: Timestamp,
    /// Number of dependencies that are not known to be completed. Until it is 0, none of the job's
    /// tasks is started and the job does not count as demand.
    pub unmet_dependencies: usize,
    /// Highest priority among the job itself and the jobs that depend on it.
    pub priority: Priority,
    /// Class of the job's team, under which its share of the fleet is accounted.
    pub(crate) share_class: ClassId,
    /// Most urgent deadline among the job's own and those of the jobs that depend on it.
    pub effective_deadline: Option<EffectiveDeadline>,
    /// Number of tasks per chunk, as fixed in the job's stored description.
    pub chunk_size: u32,
    /// State of the stored records, by chunk.
    pub chunks: ChunkTable,
    /// Tasks that changed since their records were last written.
    pub changed: RoaringBitmap,
    /// Tasks by index in the array.
    pub tasks: TaskTable,
    state: JobState,
    /// Number of completed tasks.
    pub done: u32,
    /// Number of tasks that are placed and not proven absent from their machine.
    pub placed: u32,
    /// Number of placed tasks that were told to stop.
    pub stopping: u32,
    /// Number of placed tasks by zone.
    pub zones: BTreeMap<String, u32>,
    /// Lower bound for the search for pending tasks: no task below this index is pending.
    pub scan_from: u32,
    /// Number of consecutive failures attributed to the job itself. Tasks that fail together count
    /// as one failure.
    pub errors: u32,
    /// Machines on which tasks of the job failed, with the time of the last failure.
    pub error_machines: BTreeMap<MachineIndex, Timestamp>,
    /// Earliest time at which the job's tasks may be placed again, after they failed on all
    /// machines or a start was refused.
    pub not_before: Timestamp,
    /// When each running task was first observed running, by task index.
    pub started: HashMap<u32, Timestamp>,
    /// How long the job has been waiting for machines.
    pub(crate) capacity_wait: CapacityWait,
    /// Whether any task of the job completed, or ran long enough to count as started.
    pub has_started: bool,
    /// Run times of completed tasks: their sum in seconds, and their count.
    pub run_times: (f64, u32),
}

impl Job {
    /// Creates a job with none of its tasks placed.
    pub(crate) fn new(
        now: Timestamp,
        name: &str,
        spec: JobSpec,
        accepted: Timestamp,
        chunk_size: u32,
        share_class: ClassId,
    ) -> Job {
        Job {
            name: name.to_owned(),
            accepted,
            ready_at: accepted,
            unmet_dependencies: 0,
            priority: spec.priority,
            share_class,
            effective_deadline: EffectiveDeadline::of(&spec, accepted),
            chunk_size,
            chunks: ChunkTable::default(),
            changed: RoaringBitmap::new(),
            tasks: TaskTable::new(spec.tasks, now),
            state: JobState::Open,
            done: 0,
            placed: 0,
            stopping: 0,
            zones: BTreeMap::new(),
            scan_from: 0,
            errors: 0,
            error_machines: BTreeMap::new(),
            not_before: Timestamp(0),
            started: HashMap::new(),
            capacity_wait: CapacityWait::default(),
            has_started: false,
            run_times: (0.0, 0),
            spec,
        }
    }

    /// Returns the name under which workers and users know a task of the job.
    pub(crate) fn task_name(&self, index: u32) -> String {
        format!("{}/{index}", self.name)
    }

    /// Returns the most memory that the job may take besides its placed tasks, in bytes.
    pub(crate) fn max_bytes(&self) -> u64 {
        footprint::max_bytes(&self.spec, self.chunk_size)
    }

    /// Returns the class under which the job's share of the fleet is accounted.
    pub fn share_class(&self) -> ClassId {
        self.share_class
    }

    /// Returns the job's position in its life cycle.
    pub fn state(&self) -> JobState {
        self.state
    }

    /// Applies an event to the job's state. Returns whether the state changed.
    pub(crate) fn apply(&mut self, event: JobEvent) -> bool {
        let next = self.state.next(event);
        self.state = next.unwrap_or(self.state);
        next.is_some()
    }

    /// Counts one placed task less in the zone.
    pub(crate) fn leave_zone(&mut self, zone: &str) {
        let Some(tasks) = self.zones.get_mut(zone) else { return };
        *tasks -= 1;
        if *tasks == 0 {
            self.zones.remove(zone);
        }
    }

    /// Returns whether the job's end is stored. Nothing of an ended job is started any more, and
    /// its remaining tasks are stopped.
    pub fn is_ended(&self) -> bool {
        self.state.is_ended()
    }

    /// Returns whether a transaction that deletes the job's records may be sent now.
    pub(crate) fn may_delete_records(&self) -> bool {
        matches!(self.state, JobState::Ended { .. })
    }

    /// Returns whether dependencies keep the job from starting.
    pub fn is_blocked(&self) -> bool {
        self.unmet_dependencies > 0 || self.state.is_dependency_cancelled()
    }

    /// Returns the number of tasks that are still to be placed.
    pub fn pending(&self) -> u32 {
        self.spec.tasks - self.done - self.placed
    }

    /// Returns whether the job itself is the likely cause of its failures: it failed on
    /// [`MIN_FAILED_MACHINES`] or more machines and none of its tasks ever completed.
    pub(crate) fn suspect(&self) -> bool {
        self.done == 0 && self.error_machines.len() >= MIN_FAILED_MACHINES
    }

    /// Returns whether the job's tasks are kept off the machine because they failed there recently.
    /// Without this rule, one job's tasks failed 412 times on one of 42 faulty machines, which was
    /// always the first to have free room. Three such machines made the job look at fault, so that
    /// no machine was blamed.
    pub(crate) fn avoids(&self, now: Timestamp, machine: MachineIndex) -> bool {
        self.error_machines.get(&machine).is_some_and(|&at| now.since(at) < AVOIDANCE_PERIOD)
    }

    /// Returns the indices of the tasks in a chunk.
    pub(crate) fn chunk_tasks(&self, chunk: usize) -> Range<u32> {
        let start = chunk as u32 * self.chunk_size;
        start..start.saturating_add(self.chunk_size).min(self.spec.tasks)
    }

    /// Returns the number of chunks in which the job's tasks are stored.
    pub(crate) fn chunk_count(&self) -> usize {
        self.spec.tasks.div_ceil(self.chunk_size) as usize
    }

    pub(crate) fn chunk_of(&self, index: u32) -> usize {
        (index / self.chunk_size) as usize
    }
}

/// Number of machines on which a job has to fail before the job itself is considered at fault.
const MIN_FAILED_MACHINES: usize = 3;

/// How long a job's tasks are kept off a machine after one of them failed there.
const AVOIDANCE_PERIOD: TimeDelta = TimeDelta::from_secs(120);
