//! State of one machine: its properties, the tasks placed on it and the requests to its worker.

mod failures;
mod fence;

use std::collections::BTreeSet;

use walnutlug_admission::resources::Resources;

use crate::dispatch::channel::WorkerChannel;
use crate::leadership::fencing_token::{FencingToken, Term};
use crate::model::ids::{AgentEpoch, TaskId};
use crate::model::job_spec::{JobSpec, Priority};
pub(crate) use crate::model::machine::failures::MachineFailures;
pub use crate::model::machine::fence::Fence;
use crate::model::task::TaskPhase;
use crate::time::Timestamp;

/// Number of images remembered per machine.
const MAX_IMAGES: usize = 32;

/// Position of a machine in its life cycle, from the request to the cloud until its termination.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum MachineState {
    /// Requested from the cloud; no heartbeat has arrived yet.
    Booting,
    /// The machine's worker sends heartbeats.
    Up,
    /// Being returned to the cloud. Its tasks still count as running on it.
    Terminating,
    /// Certain to be gone, with all tasks that were on it.
    Terminated,
}

/// State of one machine of the fleet, as the leader knows it.
#[derive(Debug, Clone)]
pub struct Machine {
    /// Name assigned by the cloud, never reused.
    pub name: String,
    /// Address at which the worker accepts requests; empty while unknown.
    pub address: String,
    /// Index of the machine's type in [`crate::model::cluster::Cluster::machine_types`]; `None`
    /// while unknown.
    pub kind: Option<usize>,
    /// Zone in which the machine runs; empty while unknown.
    pub zone: String,
    /// Whether this is a spot machine, which the cloud may reclaim at any time.
    pub spot: bool,
    /// Position in the machine's life cycle.
    pub state: MachineState,
    /// Incarnation of the worker, from its newest heartbeat; 0 before the first heartbeat.
    pub agent_epoch: AgentEpoch,
    /// Sequence number of the newest heartbeat within the agent epoch.
    pub sequence: u64,
    /// Whether this leader requested the machine or the cloud lists it, so that its capacity can be
    /// planned with. A machine known only from a late heartbeat may be long gone.
    pub(crate) expected: bool,
    /// Fencing token sent to the worker and the one that the worker has acknowledged.
    pub fence: Fence,
    /// Since when the cloud, another node or a possibly outdated heartbeat has indicated that the
    /// machine runs. It is then asked directly for a heartbeat.
    pub(crate) hinted_up_at: Option<Timestamp>,
    /// When a heartbeat last proved the machine alive, or when it became known if none has.
    pub last_heartbeat: Timestamp,
    /// When the machine was requested from the cloud, as far as known.
    pub(crate) requested_at: Timestamp,
    /// When the cloud will reclaim the machine, according to its interruption notice.
    pub interruption_at: Option<Timestamp>,
    /// Tasks placed on the machine and not proven absent. Changed only by `attach` and `detach`.
    pub tasks: BTreeSet<TaskId>,
    /// Number of placed tasks per priority submitted with their job, in ascending order. Dependent
    /// jobs may raise a job's effective priority above it, but never lower it.
    tasks_by_priority: [u32; Priority::COUNT],
    /// Number of placed tasks that were told to stop.
    stopping: u32,
    /// Number of tasks that the worker reports but that are not recorded as placed here. The room
    /// that they take cannot be used.
    pub(crate) unexpected_tasks: u32,
    /// Sum of the resources of all placed tasks.
    used: Resources,
    /// Images that the machine has or is fetching, least recently used first.
    images: Vec<String>,
    /// Requests being sent to the worker.
    pub(crate) channel: WorkerChannel,
    /// When the machine last became empty; meaningless while it has tasks.
    pub(crate) idle_since: Timestamp,
    /// Jobs whose failures are attributed to the machine.
    pub(crate) failures: MachineFailures,
    /// Why the machine is being drained, after which it is returned to the cloud; `None` if it is
    /// not.
    pub drain_reason: Option<DrainReason>,
    /// When the return to the cloud was last requested.
    pub(crate) termination_sent_at: Option<Timestamp>,
}

/// Why a machine is drained and returned to the cloud.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum DrainReason {
    /// No heartbeat arrived for too long.
    Silent,
    /// Heartbeats arrive, but requests do not reach the worker.
    Unreachable,
    /// The machine did not send a heartbeat within its boot time limit.
    NeverCameUp,
    /// The cloud lists the machine as failed.
    Failed,
    /// Tasks run far longer on it than other tasks of the same job do elsewhere.
    Slow,
    /// Tasks of several jobs failed on it.
    FailsTasks,
    /// It has had no tasks for too long.
    Idle,
}

impl DrainReason {
    /// Returns whether the machine is returned to the cloud with tasks still on it, because only
    /// its termination can prove them absent.
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
            DrainReason::Silent => "no heartbeats",
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
    /// Creates a booting machine of which only the name is known.
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

    /// Returns the fencing token for the next request to the worker.
    pub fn token(&self, term: Term) -> FencingToken {
        self.fence.token(term)
    }

    /// Adds a placed task to the machine's usage. Returns `false` if it was already added.
    pub(crate) fn attach(&mut self, task: TaskId, spec: &JobSpec) -> bool {
        let is_new = self.tasks.insert(task);
        if is_new {
            self.used += spec.task();
            self.tasks_by_priority[spec.priority as usize] += 1;
        }
        is_new
    }

    /// Reverses [`Machine::attach`]. Returns `false` if the task was not placed here.
    pub(crate) fn detach(&mut self, now: Timestamp, task: TaskId, spec: &JobSpec) -> bool {
        if !self.tasks.remove(&task) {
            return false;
        }
        self.tasks_by_priority[spec.priority as usize] -= 1;
        if self.tasks.is_empty() {
            // Rounding errors add up in the sum; an empty machine is a chance to reset it.
            self.used = Resources::NONE;
            self.idle_since = now;
        } else {
            // Not clamped to zero: a rounding error below zero is corrected when the machine
            // becomes empty.
            self.used += spec.task().times(-1.0);
        }
        true
    }

    /// Updates the number of stopping tasks after a task's phase changed.
    pub(crate) fn count_stopping(&mut self, before: TaskPhase, after: TaskPhase) {
        self.stopping += u32::from(after == TaskPhase::Stopping);
        self.stopping -= u32::from(before == TaskPhase::Stopping && after != TaskPhase::Stopping);
    }

    /// Returns the number of placed tasks that were told to stop.
    pub(crate) fn stopping(&self) -> u32 {
        self.stopping
    }

    /// Returns the sum of the resources of all placed tasks.
    pub fn used(&self) -> Resources {
        self.used
    }

    /// Returns whether the machine has the image or is fetching it.
    pub(crate) fn has_image(&self, image: &str) -> bool {
        self.images.iter().any(|known| known == image)
    }

    /// Records that the machine has the image or is fetching it. Beyond [`MAX_IMAGES`], the least
    /// recently used image is forgotten.
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

    /// Returns the lowest submitted priority among the placed tasks.
    pub(crate) fn lowest_priority(&self) -> Option<Priority> {
        let lowest = self.tasks_by_priority.iter().position(|&tasks| tasks > 0)?;
        Priority::ALL.get(lowest).copied()
    }

    /// Records the highest token that the worker has seen. Returns whether this ends the wait for a
    /// required token.
    pub(crate) fn acknowledge(&mut self, now: Timestamp, token: FencingToken) -> bool {
        let owed = self.fence.acknowledge(token);
        if !self.fence.owes_required() {
            self.channel.acknowledged(now);
        }
        owed
    }

    /// Records that the last heartbeat was repeated with this sequence number. Returns whether the
    /// number is new, so that the repetition proves the machine alive.
    pub(crate) fn record_repeated_heartbeat(&mut self, now: Timestamp, sequence: u64) -> bool {
        let is_later = sequence > self.sequence;
        if is_later {
            self.sequence = sequence;
            self.last_heartbeat = now;
        }
        is_later
    }
}
