//! A machine: what is known of it, what is on it and what is being sent to it.

mod failures;
mod fence;

use std::collections::BTreeSet;

use walnutlug_admission::resources::Resources;

use crate::dispatch::channel::WorkerChannel;
use crate::leadership::fencing_token::{FencingToken, Term};
use crate::model::ids::AgentEpoch;
use crate::model::job::TaskId;
use crate::model::job_spec::{JobSpec, Priority};
pub(crate) use crate::model::machine::failures::MachineFailures;
pub use crate::model::machine::fence::Fence;
use crate::model::task::TaskPhase;
use crate::time::Timestamp;

/// Images that are remembered to be on a machine.
const MAX_IMAGES: usize = 32;

/// How far a machine is between its request and its end.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum MachineState {
    /// Requested; no heartbeat of it came yet.
    Booting,
    /// Its worker reports.
    Up,
    /// Being returned to the cloud; whatever was on it is still on it.
    Terminating,
    /// Certainly gone, and everything on it.
    Terminated,
}

/// One machine of the fleet, as the leader knows it.
#[derive(Debug, Clone)]
pub struct Machine {
    /// Its name in the cloud, never used twice.
    pub name: String,
    /// Where its worker takes requests; empty while unknown.
    pub address: String,
    /// Its place in [`crate::model::cluster::Cluster::machine_types`]; `None` while unknown.
    pub kind: Option<usize>,
    /// Its zone; empty while unknown.
    pub zone: String,
    /// Whether the cloud may take it at any time.
    pub spot: bool,
    /// How far it is between its request and its end.
    pub state: MachineState,
    /// The incarnation of its worker, by its newest heartbeat; 0: none came.
    pub agent_epoch: AgentEpoch,
    /// The sequence number of its newest heartbeat within the agent epoch.
    pub sequence: u64,
    /// Requested by this leader or listed by the cloud, so that it can be counted on to come. What a
    /// late heartbeat alone shows may be long gone.
    pub(crate) expected: bool,
    /// Which fencing token its worker is sent, and has acknowledged.
    pub fence: Fence,
    /// Since when it is said to be running, by the cloud, another node or a heartbeat that may be a
    /// late copy: worth asking directly.
    pub(crate) hinted_up_at: Option<Timestamp>,
    /// When a heartbeat last proved it alive; when it became known, if none has.
    pub last_heartbeat: Timestamp,
    /// When it was requested, as far as is known.
    pub(crate) requested_at: Timestamp,
    /// When the cloud will take it, by its interruption notice.
    pub interruption_at: Option<Timestamp>,
    /// Tasks that are placed on it and not proven absent. Changed by `attach` and `detach` alone.
    pub tasks: BTreeSet<TaskId>,
    /// How many of them the jobs gave each priority to, the lowest first. A job may count with a higher
    /// one that needs it, never with a lower one.
    tasks_by_priority: [u32; Priority::COUNT],
    /// How many of them are told to stop.
    stopping: u32,
    /// Tasks that it reports and the tables don't place there: room that can't be counted on.
    pub(crate) unexpected_tasks: u32,
    /// What the tasks on it take.
    used: Resources,
    /// Images that are on it, or will be, the one used last at the end.
    images: Vec<String>,
    /// What is being sent to it.
    pub(crate) channel: WorkerChannel,
    /// Since when it has had no tasks, if it has none.
    pub(crate) idle_since: Timestamp,
    /// Jobs whose failures are attributed to it.
    pub(crate) failures: MachineFailures,
    /// Why nothing more is placed on it and it is returned to the cloud, if so.
    pub drain_reason: Option<DrainReason>,
    /// When its return to the cloud was requested last.
    pub(crate) termination_sent_at: Option<Timestamp>,
}

/// Why a machine is returned to the cloud.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum DrainReason {
    /// No heartbeat came for too long.
    Silent,
    /// Its heartbeats come, but nothing sent to it arrives.
    Unreachable,
    /// Its boot is overdue.
    NeverCameUp,
    /// The cloud lists it as failed.
    Failed,
    /// Its tasks run far longer than their siblings elsewhere.
    Slow,
    /// Tasks of several jobs failed on it.
    FailsTasks,
    /// It has had nothing to do for a while.
    Idle,
}

impl DrainReason {
    /// Whether the machine is returned with the tasks that are on it: nothing else proves them gone.
    pub fn terminates_with_tasks(self) -> bool {
        match self {
            DrainReason::Silent
            | DrainReason::Unreachable
            | DrainReason::NeverCameUp
            | DrainReason::Failed => true,
            DrainReason::Slow | DrainReason::FailsTasks | DrainReason::Idle => false,
        }
    }
}

impl std::fmt::Display for DrainReason {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        f.write_str(match self {
            DrainReason::Silent => "silent",
            DrainReason::Unreachable => "unreachable",
            DrainReason::NeverCameUp => "never came up",
            DrainReason::Failed => "failed",
            DrainReason::Slow => "slow",
            DrainReason::FailsTasks => "fails the tasks of several jobs",
            DrainReason::Idle => "idle",
        })
    }
}

impl Machine {
    /// A machine of which nothing but its name is known.
    pub(crate) fn new(now: Timestamp, name: &str) -> Machine {
        Machine {
            name: name.to_owned(),
            address: String::new(),
            kind: None,
            zone: String::new(),
            spot: false,
            state: MachineState::Booting,
            agent_epoch: AgentEpoch::NONE,
            sequence: 0,
            expected: false,
            fence: Fence::default(),
            hinted_up_at: None,
            last_heartbeat: now,
            requested_at: now,
            interruption_at: None,
            tasks: BTreeSet::new(),
            tasks_by_priority: [0; Priority::COUNT],
            stopping: 0,
            unexpected_tasks: 0,
            used: Resources::NONE,
            images: Vec::new(),
            channel: WorkerChannel::default(),
            idle_since: now,
            failures: MachineFailures::default(),
            drain_reason: None,
            termination_sent_at: None,
        }
    }

    /// The fencing token that a request to it carries now.
    pub fn token(&self, term: Term) -> FencingToken {
        self.fence.token(term)
    }

    /// Counts a task that was placed on it. Whether it was not counted before.
    pub(crate) fn attach(&mut self, task: TaskId, spec: &JobSpec) -> bool {
        let is_new = self.tasks.insert(task);
        if is_new {
            self.used += spec.task();
            self.tasks_by_priority[spec.priority as usize] += 1;
        }
        is_new
    }

    /// The reverse of [`Machine::attach`]. Whether it was counted.
    pub(crate) fn detach(&mut self, now: Timestamp, task: TaskId, spec: &JobSpec) -> bool {
        if !self.tasks.remove(&task) {
            return false;
        }
        self.tasks_by_priority[spec.priority as usize] -= 1;
        if self.tasks.is_empty() {
            // Sums of decimals drift; an empty machine is a chance to start from nothing.
            self.used = Resources::NONE;
            self.idle_since = now;
        } else {
            // Not bounded at zero: what drifts below it is corrected when the machine is empty.
            self.used += spec.task().times(-1.0);
        }
        true
    }

    /// Counts a task that was told to stop, or no longer is.
    pub(crate) fn count_stopping(&mut self, before: TaskPhase, after: TaskPhase) {
        self.stopping += u32::from(after == TaskPhase::Stopping);
        self.stopping -= u32::from(before == TaskPhase::Stopping && after != TaskPhase::Stopping);
    }

    /// How many of its tasks are told to stop.
    pub(crate) fn stopping(&self) -> u32 {
        self.stopping
    }

    /// What the tasks on it take.
    pub fn used(&self) -> Resources {
        self.used
    }

    /// Whether the image is on it, or will be.
    pub(crate) fn has_image(&self, image: &str) -> bool {
        self.images.iter().any(|known| known == image)
    }

    /// Notes that the image is on it, or will be. Those used longest ago are forgotten.
    pub(crate) fn add_image(&mut self, image: String) {
        if self.images.last() == Some(&image) {
            return;
        }
        self.images.retain(|known| *known != image);
        self.images.push(image);
        if self.images.len() > MAX_IMAGES {
            self.images.remove(0);
        }
    }

    /// The lowest priority that a job gave to one of its tasks.
    pub(crate) fn lowest_priority(&self) -> Option<Priority> {
        let lowest = self.tasks_by_priority.iter().position(|&tasks| tasks > 0)?;
        Priority::ALL.get(lowest).copied()
    }

    /// Takes over the token that its worker has seen. Whether it owed one until now.
    pub(crate) fn acknowledge(&mut self, now: Timestamp, token: FencingToken) -> bool {
        let owed = self.fence.acknowledge(token);
        if !self.fence.owes_required() {
            self.channel.acknowledged(now);
        }
        owed
    }

    /// Its last heartbeat came again under that sequence number. Whether that is a later one.
    pub(crate) fn record_repeated_heartbeat(&mut self, now: Timestamp, sequence: u64) -> bool {
        let is_later = sequence > self.sequence;
        if is_later {
            self.sequence = sequence;
            self.last_heartbeat = now;
        }
        is_later
    }
}
