//! What the scheduler did or found, for the log: typed, so that the program writes each as a constant
//! message with fields.

use crate::model::job_spec::Priority;
use crate::model::machine::DrainReason;
use crate::time::TimeDelta;

/// Something worth a line in the log. Jobs, tasks and machines are given by their names.
#[derive(Debug, Clone, PartialEq)]
pub enum Event {
    /// All tasks of the job are done, and its end is stored.
    JobDone(JobDone),
    /// The job's end is stored as cancelled, since a job that it depends on was cancelled.
    JobCancelledByDependency {
        /// The job.
        job: String,
    },
    /// All jobs that the job depends on are done.
    JobReady {
        /// The job.
        job: String,
        /// From its acceptance until now.
        waited: TimeDelta,
        /// The highest priority of its own and of the jobs that depend on it.
        priority: Priority,
        /// The jobs that it depended on.
        dependencies: Vec<String>,
    },
    /// A running task is stopped for a job of higher priority, or for a team's guarantee.
    TaskPreempted {
        /// The task.
        task: String,
    },
    /// An attempt of the task ended with an error.
    TaskFailed {
        /// The task.
        task: String,
        /// Where it ran.
        machine: String,
    },
    /// Neither a heartbeat nor an answer confirmed the start by its deadline.
    StartUnconfirmed {
        /// The task, which is unknown from now on.
        task: String,
    },
    /// The cloud will take the machine.
    MachineInterruptionNotice {
        /// The machine.
        machine: String,
    },
    /// Nothing more is placed on the machine, and it will be returned.
    MachineDrained {
        /// The machine.
        machine: String,
        /// Why.
        reason: DrainReason,
    },
    /// Machines are to be returned to the cloud.
    ScaleIn {
        /// Which, and why.
        machines: Vec<MachineScaledIn>,
    },
    /// The cloud answered a request for machines.
    ScaleOutAnswered {
        /// How many were asked for.
        requested: u32,
        /// How many it gave.
        granted: usize,
        /// Their type.
        machine_type: String,
        /// Their zone.
        zone: String,
        /// Spot machines.
        spot: bool,
    },
    /// What the machines of the last minute cost.
    FleetCost(FleetCost),
    /// What was written in the last minute.
    Writes(WriteCounts),
    /// Who holds the overloaded fleet, the largest share first.
    Shares {
        /// The classes with most.
        shares: Vec<HeldShare>,
    },
    /// The fleet is overloaded from now on: shares decide.
    OverloadEntered {
        /// The work that finds no room, as a part of the fleet.
        waiting: f64,
    },
    /// The fleet is no longer overloaded.
    OverloadLeft,
    /// Something that should not be; told once for each name and kind.
    Anomaly {
        /// The machine or job.
        name: String,
        /// What is wrong.
        kind: Anomaly,
    },
}

/// A job that is done, beside what was expected of it.
#[derive(Debug, Clone, PartialEq)]
pub struct JobDone {
    /// The job.
    pub job: String,
    /// Its class.
    pub class: String,
    /// How many tasks it had.
    pub tasks: u32,
    /// From its acceptance until now.
    pub elapsed: TimeDelta,
    /// When it should have been done, in seconds from its acceptance.
    pub deadline_s: Option<f64>,
    /// Its owner's estimate of a task's run time, in seconds.
    pub estimate_s: f64,
    /// The mean run time of its tasks, in seconds.
    pub mean_run_s: f64,
}

/// A machine that is returned to the cloud.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct MachineScaledIn {
    /// The machine.
    pub machine: String,
    /// Why; `None` if an earlier request is repeated.
    pub reason: Option<DrainReason>,
}

/// Cost of the fleet since the last such event, in the prices' unit, by what it went to.
#[derive(Debug, Clone, Copy, Default, PartialEq)]
pub struct FleetCost {
    /// Of spot machines, whatever they did.
    pub spot: f64,
    /// Of ordinary machines, whatever they did.
    pub ordinary: f64,
    /// Tasks that run.
    pub running: f64,
    /// Tasks that wait for their image.
    pub fetching: f64,
    /// Machines that boot.
    pub booting: f64,
    /// Room of spot machines that nothing uses.
    pub idle_spot: f64,
    /// Room of ordinary machines that nothing uses.
    pub idle_ordinary: f64,
}

/// Operations written since the last such event, by kind, and tasks placed.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct WriteCounts {
    /// Chunks with task starts.
    pub starts: usize,
    /// Chunks with task states alone.
    pub task_states: usize,
    /// Ends of jobs.
    pub job_ends: usize,
    /// Deletions of what ended jobs left.
    pub deletes: usize,
    /// Jobs whose last record was deleted.
    pub jobs_deleted: usize,
    /// Tasks placed.
    pub tasks_placed: usize,
    /// Those of them that were placed where their image is known to be.
    pub image_cached: usize,
}

/// A class's part of the fleet.
#[derive(Debug, Clone, PartialEq)]
pub struct HeldShare {
    /// The team.
    pub team: String,
    /// The class; `None` for all further classes of the team together.
    pub class: Option<String>,
    /// Its dominant share of the fleet.
    pub share: f64,
}

/// What may be wrong with a heartbeat or a record.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub enum Anomaly {
    /// A heartbeat shows a fencing token of a newer term than this one.
    NewerTerm,
    /// A heartbeat of a machine that was returned.
    HeartbeatAfterTermination,
    /// A heartbeat of an earlier agent epoch came late.
    LateHeartbeat,
    /// The machine runs tasks that were not placed there.
    UnexpectedTasks,
    /// Jobs depend on this one, which nobody ever submitted.
    DependencyNeverSubmitted,
    /// The job's stored description can't be read.
    UnreadableDescription,
    /// The job's stored description is out of range.
    DescriptionOutOfRange,
}
