//! Typed log events of the scheduler. The program writes each as a constant message with structured
//! fields.

pub use crate::autoscaling::capacity_wait::WaitReason;
use crate::model::ids::Attempt;
use crate::model::job_spec::Priority;
use crate::model::machine::DrainReason;
use crate::model::task::TaskPhase;
use crate::time::TimeDelta;

/// An event to be logged. Jobs, tasks and machines are identified by their names.
#[derive(Debug, Clone, PartialEq)]
pub enum Event {
    /// All tasks of the job are done, and its end is stored.
    JobDone(JobDone),
    /// The job's end is stored as cancelled because a job that it depends on was cancelled.
    JobCancelledByDependency {
        /// Name of the cancelled job.
        job: String,
    },
    /// All jobs that the job depends on are done, so its tasks may be placed.
    JobReady {
        /// Name of the job that became ready.
        job: String,
        /// Time from the job's acceptance to this event.
        waited: TimeDelta,
        /// Highest priority among the job and the jobs that depend on it.
        priority: Priority,
        /// Names of the jobs that it depended on.
        dependencies: Vec<String>,
    },
    /// Tasks of the job have been waiting for a machine, and none was requested for them.
    JobWaits {
        /// Name of the waiting job.
        job: String,
        /// What it waits for.
        reason: WaitReason,
        /// Time since a task of the job was placed, or since its tasks began to wait.
        waiting: TimeDelta,
    },
    /// A running task is stopped in favour of a job with higher priority or of a team below its
    /// guaranteed share.
    TaskPreempted {
        /// Name of the stopped task.
        task: String,
    },
    /// An attempt of the task ended with an error.
    TaskFailed {
        /// Name of the failed task.
        task: String,
        /// Name of the machine that the attempt ran on.
        machine: String,
    },
    /// No heartbeat and no answer confirmed the task's start by its deadline.
    StartUnconfirmed {
        /// Name of the task; its state is unknown from this event on.
        task: String,
    },
    /// The outcome of a transaction was ignored for one of its starts.
    StartSuperseded(SupersededStart),
    /// The cloud announced that it will reclaim the machine.
    MachineInterruptionNotice {
        /// Name of the machine to be reclaimed.
        machine: String,
    },
    /// The machine is excluded from placement and will be returned to the cloud.
    MachineDrained {
        /// Name of the drained machine.
        machine: String,
        /// The condition that led to the drain.
        reason: DrainReason,
    },
    /// The autoscaler decided to return machines to the cloud.
    ScaleIn {
        /// The machines, each with the reason for its return.
        machines: Vec<MachineScaledIn>,
    },
    /// The cloud answered a request for machines.
    ScaleOutAnswered {
        /// Number of machines requested.
        requested: u32,
        /// Number of machines that the cloud granted.
        granted: usize,
        /// Type of the requested machines.
        machine_type: String,
        /// Zone of the requested machines.
        zone: String,
        /// Whether spot machines were requested.
        spot: bool,
    },
    /// Cost of the fleet over the last minute.
    FleetCost(FleetCost),
    /// Number of operations written over the last minute.
    Writes(WriteCounts),
    /// What the leader holds in memory.
    Held(HeldEntries),
    /// Shares of the fleet that classes hold while it is overloaded, largest first.
    Shares {
        /// The classes that hold the largest shares.
        shares: Vec<HeldShare>,
    },
    /// The fleet became overloaded: shares now decide which work gets capacity.
    OverloadEntered {
        /// Work that no machine has capacity for, as a fraction of the fleet's capacity.
        waiting: f64,
    },
    /// The fleet is no longer overloaded.
    OverloadLeft,
    /// An unexpected condition; logged once for each name and kind.
    Anomaly {
        /// Name of the machine or job that shows the condition.
        name: String,
        /// The kind of unexpected condition.
        kind: Anomaly,
    },
}

/// A finished job, with its expected and actual times.
#[derive(Debug, Clone, PartialEq)]
pub struct JobDone {
    /// Name of the finished job.
    pub job: String,
    /// Class of the job, by which fair sharing accounts for it.
    pub class: String,
    /// Number of tasks in the job.
    pub tasks: u32,
    /// Time from the job's acceptance to this event.
    pub elapsed: TimeDelta,
    /// Requested completion time, in seconds from the job's acceptance; `None` without a deadline.
    pub deadline_s: Option<f64>,
    /// The submitter's estimate of a task's run time, in seconds.
    pub estimate_s: f64,
    /// Mean measured run time of the job's tasks, in seconds.
    pub mean_run_s: f64,
}

/// Outcome of the transaction that held a start.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum StartOutcome {
    /// The transaction was committed.
    Recorded,
    /// The transaction was not executed.
    NotRecorded,
}

/// A start whose transaction was settled when its task no longer waited for that outcome.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct SupersededStart {
    /// Name of the task.
    pub task: String,
    /// Outcome of the transaction, which was ignored for the task.
    pub outcome: StartOutcome,
    /// Attempt in the transaction.
    pub attempt: Attempt,
    /// Name of the machine in the transaction.
    pub machine: String,
    /// The task's phase when the outcome arrived.
    pub current_phase: TaskPhase,
    /// The task's attempt when the outcome arrived.
    pub current_attempt: Attempt,
    /// Name of the task's machine when the outcome arrived; `None` if it is on none.
    pub current_machine: Option<String>,
}

/// A machine that is returned to the cloud.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct MachineScaledIn {
    /// Name of the returned machine.
    pub machine: String,
    /// The reason for draining it; `None` if this repeats an earlier request.
    pub reason: Option<DrainReason>,
}

/// Cost of the fleet since the last event of this kind, in the unit of the cloud's prices. `spot`
/// and `ordinary` split the cost by type of machine, the other fields by use.
#[derive(Debug, Clone, Copy, Default, PartialEq)]
pub struct FleetCost {
    /// Cost of spot machines, whether used or idle.
    pub spot: f64,
    /// Cost of ordinary machines, whether used or idle.
    pub ordinary: f64,
    /// Cost of capacity used by running tasks.
    pub running: f64,
    /// Cost of capacity held by tasks that wait for their image.
    pub fetching: f64,
    /// Cost of machines that are booting.
    pub booting: f64,
    /// Cost of unused capacity on spot machines.
    pub idle_spot: f64,
    /// Cost of unused capacity on ordinary machines.
    pub idle_ordinary: f64,
}

/// Number of operations written since the last event of this kind, and number of tasks placed.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct WriteCounts {
    /// Writes of chunks that contain task starts.
    pub starts: usize,
    /// Writes of chunks that contain only task state changes.
    pub task_states: usize,
    /// Writes of job ends.
    pub job_ends: usize,
    /// Deletions of records of ended jobs.
    pub deletes: usize,
    /// Jobs whose last record was deleted.
    pub jobs_deleted: usize,
    /// Tasks assigned to a machine.
    pub tasks_placed: usize,
    /// Tasks assigned to a machine that is known to have their image.
    pub image_cached: usize,
}

/// Numbers of entries in the leader's tables.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct HeldEntries {
    /// Jobs whose records are not deleted yet.
    pub jobs: usize,
    /// Most memory that these jobs may take besides their placed tasks, in bytes.
    pub max_job_bytes: u64,
    /// Tasks with an entry of their own: placed, or completed without the completion being stored.
    pub tasks: usize,
    /// Chunks of tasks that are stored.
    pub chunks: usize,
    /// Machines, including terminated ones whose entry is not reused yet.
    pub machines: usize,
}

/// The share of the fleet that one class of a team holds.
#[derive(Debug, Clone, PartialEq)]
pub struct HeldShare {
    /// Name of the team that the class belongs to.
    pub team: String,
    /// Name of the class; `None` for the sum of the team's remaining classes.
    pub class: Option<String>,
    /// Dominant share: the largest fraction of the fleet held of any one resource.
    pub share: f64,
}

/// An unexpected condition in a heartbeat or a stored record.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub enum Anomaly {
    /// A heartbeat carries a fencing token of a term newer than this leader's.
    NewerTerm,
    /// A machine that was returned to the cloud sent a heartbeat.
    HeartbeatAfterTermination,
    /// A heartbeat of an earlier agent epoch arrived late.
    LateHeartbeat,
    /// The machine runs tasks that were not placed on it.
    UnexpectedTasks,
    /// Other jobs depend on this job, but it was never submitted.
    DependencyNeverSubmitted,
    /// The job's stored description can't be decoded.
    UnreadableDescription,
    /// The job's stored description has a number of tasks, or of tasks per chunk, that is out of
    /// range.
    DescriptionOutOfRange,
}
