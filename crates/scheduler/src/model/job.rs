//! A job in the scheduler's table: its tasks, their records, and what was learned of it.

use std::collections::{BTreeMap, HashMap};
use std::ops::Range;

use roaring::RoaringBitmap;
use walnutlug_admission::shares::ClassId;

use crate::model::ids::{JobIndex, MachineIndex};
use crate::model::job_spec::{JobSpec, Priority};
use crate::model::job_state::{JobEvent, JobState};
use crate::model::task::Task;
use crate::queue::dependencies::EffectiveDeadline;
use crate::storage::revision::Revision;
use crate::time::{TimeDelta, Timestamp};

/// A task: its job, and its number in the array.
pub type TaskId = (JobIndex, u32);

/// The stored record of some of a job's tasks.
#[derive(Debug, Clone, Default)]
pub struct Chunk {
    /// The revision of its key.
    pub revision: Revision,
    /// Whether a transaction with it is in flight.
    pub in_flight: bool,
    /// Since when a planned start waits for its write.
    pub start_due: Option<Timestamp>,
    /// Since when unpersisted_since waits that is not written yet. It may wait longer, or go along with a
    /// start: until it is written the worker keeps it.
    pub unpersisted_since: Option<Timestamp>,
}

/// A job that has not been deleted from the table.
#[derive(Debug, Clone)]
pub struct Job {
    /// Its id.
    pub name: String,
    /// What its owner asked for.
    pub spec: JobSpec,
    /// When it was accepted, on this node's clock.
    pub accepted: Timestamp,
    /// When the last job that it needs was found to be done; its acceptance, if it needs none. All
    /// times but the deadline count from here.
    pub ready_at: Timestamp,
    /// Jobs that it needs and whose end `done` was not read yet. While there are any, nothing of
    /// it is started and it counts for nothing.
    pub unmet_dependencies: usize,
    /// The highest priority of its own and of the jobs that need it.
    pub priority: Priority,
    /// Its team's class, for what that holds of the fleet.
    pub(crate) share_class: ClassId,
    /// The deadline that presses it most: its own, or that of a job that needs it.
    pub effective_deadline: Option<EffectiveDeadline>,
    /// Tasks in one chunk, as its description says.
    pub chunk_size: u32,
    /// Its chunks, in the order of its tasks.
    pub chunks: Vec<Chunk>,
    /// Marks of the parts of its chunks that are kept apart, by chunk and first task.
    pub parts: BTreeMap<(usize, u32), Revision>,
    /// Tasks that changed since their records were written last.
    pub changed: RoaringBitmap,
    /// Its tasks, by number.
    pub tasks: Vec<Task>,
    /// Which finishes are written; only then may the worker forget them.
    pub recorded: RoaringBitmap,
    state: JobState,
    /// Tasks that are done.
    pub done: u32,
    /// Tasks that are not proven absent from a machine.
    pub placed: u32,
    /// Of those placed, the ones told to stop.
    pub stopping: u32,
    /// Tasks not proven absent, by zone.
    pub zones: BTreeMap<String, u32>,
    /// No task below this index is pending.
    pub scan_from: u32,
    /// Times in a row that it was found to be at fault itself, tasks that fail together counted once.
    pub errors: u32,
    /// Where its tasks failed, and when last.
    pub error_machines: BTreeMap<MachineIndex, Timestamp>,
    /// Before this none of its tasks is placed: it has failed everywhere, or was refused.
    pub not_before: Timestamp,
    /// When each running task was first seen with its image.
    pub started: HashMap<u32, Timestamp>,
    /// Whether any of its tasks has run for long enough to count as a start, or to its end.
    pub has_started: bool,
    /// Run times of its tasks that ran to their end: the sum in seconds, and the count.
    pub run_times: (f64, u32),
}

impl Job {
    /// A job of which nothing is placed yet.
    pub(crate) fn new(
        now: Timestamp,
        name: &str,
        spec: JobSpec,
        accepted: Timestamp,
        chunk_size: u32,
        share_class: ClassId,
    ) -> Job {
        let chunks = spec.tasks.div_ceil(chunk_size) as usize;
        Job {
            name: name.to_owned(),
            accepted,
            ready_at: accepted,
            unmet_dependencies: 0,
            priority: spec.priority,
            share_class,
            effective_deadline: EffectiveDeadline::of(&spec, accepted),
            chunk_size,
            chunks: vec![Chunk::default(); chunks],
            parts: BTreeMap::new(),
            changed: RoaringBitmap::new(),
            tasks: vec![Task::new(now); spec.tasks as usize],
            recorded: RoaringBitmap::new(),
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
            has_started: false,
            run_times: (0.0, 0),
            spec,
        }
    }

    /// Its team's class, by which its share of the fleet is kept.
    pub fn share_class(&self) -> ClassId {
        self.share_class
    }

    /// How far it is from its end.
    pub fn state(&self) -> JobState {
        self.state
    }

    /// Changes its state, if the event means anything in it.
    pub(crate) fn apply(&mut self, event: JobEvent) -> bool {
        let next = self.state.next(event);
        self.state = next.unwrap_or(self.state);
        next.is_some()
    }

    /// Whether it has ended for its users: nothing more is started, all that is left is stopped.
    pub fn is_ended(&self) -> bool {
        self.state.is_ended()
    }

    /// Whether a deletion of its records may be sent now.
    pub(crate) fn may_delete_records(&self) -> bool {
        matches!(self.state, JobState::Ended { .. })
    }

    /// Whether it waits for other jobs.
    pub fn is_blocked(&self) -> bool {
        self.unmet_dependencies > 0 || self.state.is_dependency_cancelled()
    }

    /// Tasks that are to be placed.
    pub fn pending(&self) -> u32 {
        self.spec.tasks - self.done - self.placed
    }

    /// Whether the job itself is likely at fault: it failed on several machines and never came off.
    pub(crate) fn suspect(&self) -> bool {
        self.done == 0 && self.error_machines.len() >= SUSPECT_AFTER
    }

    /// Whether its tasks keep away from the machine because they failed there lately. (Sent there
    /// again, as the machine was the first to be free each time, one job's tasks failed 412 times on
    /// one of 42 sick machines; three such machines made the job look at fault, and nobody was blamed.)
    pub(crate) fn avoids(&self, now: Timestamp, m: MachineIndex) -> bool {
        self.error_machines.get(&m).is_some_and(|&at| now.since(at) < AVOID_FOR)
    }

    /// The tasks of a chunk.
    pub(crate) fn chunk_tasks(&self, chunk: usize) -> Range<u32> {
        let start = chunk as u32 * self.chunk_size;
        start..start.saturating_add(self.chunk_size).min(self.spec.tasks)
    }

    pub(crate) fn chunk_of(&self, index: u32) -> usize {
        (index / self.chunk_size) as usize
    }
}

/// Machines on which a job has to fail to be at fault itself.
const SUSPECT_AFTER: usize = 3;

/// For how long a job keeps away from a machine that failed it.
const AVOID_FOR: TimeDelta = TimeDelta::from_secs(120);
