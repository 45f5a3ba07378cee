//! Requirements of a job as submitted by its user, and the ways in which a job can end.

use serde::{Deserialize, Serialize};

use walnutlug_admission::resources::Resources;

use crate::model::team::Team;
use crate::model::EPSILON;
use crate::protocol::cloud::MachineType;

/// Priority of a job. Variants are in ascending order, so a greater value is placed first.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub enum Priority {
    /// Work that can wait.
    Low,
    /// Ordinary work.
    Normal,
    /// Urgent work.
    High,
    /// Work that production systems depend on.
    Prod,
}

impl Priority {
    /// Number of priority levels.
    pub const COUNT: usize = Priority::ALL.len();
    /// All priorities in ascending order, each at the index given by its discriminant.
    pub const ALL: [Priority; 4] =
        [Priority::Low, Priority::Normal, Priority::High, Priority::Prod];
}

/// Requirements of a job. Stored unchanged in the key-value store.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct JobSpec {
    /// Class of similar jobs. Objectives are set and run times are learned per class.
    pub class: String,
    /// Team whose quota and limit apply.
    pub team: String,
    /// Priority given by the user; jobs that depend on this one may raise its effective priority.
    #[serde(rename = "rank")]
    pub priority: Priority,
    /// Number of tasks in the job array.
    pub tasks: u32,
    /// Number of CPUs per task.
    pub cpus: f64,
    /// Number of GPUs per task.
    pub gpus: f64,
    /// Memory per task in gigabytes.
    pub memory_gb: f64,
    /// Image that a machine must have fetched before a task can run on it.
    pub image: String,
    /// Size of the image in gigabytes.
    pub image_gb: f64,
    /// Names of the allowed machine types; `None` allows all.
    pub types: Option<Vec<String>>,
    /// Zone in which all tasks must run; `None` allows all zones.
    pub zone: Option<String>,
    /// Gang scheduling: whether all tasks must run in the same zone.
    pub one_zone: bool,
    /// Whether at most half of the tasks, rounded up, may run in one zone.
    pub spread: bool,
    /// Whether tasks may run on spot machines.
    pub spot: bool,
    /// User's estimate of a task's run time in seconds, without the image fetch.
    pub estimate_s: f64,
    /// Interval between checkpoints in seconds of progress; 0 if the tasks write no checkpoints.
    pub checkpoint_s: f64,
    /// Time in seconds that a stopped task needs to save a checkpoint.
    pub save_s: f64,
    /// Deadline in seconds from submission; `None` if the job has none.
    pub deadline_s: Option<f64>,
    /// Ids of jobs that must complete before any task of this job starts, without duplicates.
    /// Omitted when empty, so that the record is identical to one written by versions without
    /// dependencies.
    #[serde(default, rename = "needs", skip_serializing_if = "Vec::is_empty")]
    pub dependencies: Vec<String>,
}

/// How a job ended. Written once to `end/{ref}`; the first writer wins.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum JobEnd {
    /// All tasks completed.
    Done,
    /// The user cancelled the job, or a job that it depends on was cancelled.
    #[serde(rename = "aborted")]
    Cancelled,
}

impl JobSpec {
    /// Returns the resources of one task.
    pub fn task(&self) -> Resources {
        Resources { cpus: self.cpus, gpus: self.gpus, memory_gb: self.memory_gb }
    }

    /// Returns the time in seconds that a stopped task gets to save a checkpoint; 0 if it writes
    /// none.
    pub fn stop_grace_s(&self) -> f64 {
        match self.checkpoint_s > 0.0 {
            true => self.save_s,
            false => 0.0,
        }
    }

    /// Returns whether the job's tasks may run on the machine type with this name.
    pub fn allows_type(&self, name: &str) -> bool {
        self.types.as_ref().is_none_or(|types| types.iter().any(|t| t == name))
    }

    /// Returns whether the machine type is allowed and an empty machine of it has room for a task.
    pub fn fits_type(&self, kind: &MachineType) -> bool {
        self.allows_type(&kind.name)
            && self.cpus <= kind.cpus + EPSILON
            && self.gpus <= kind.gpus + EPSILON
            && self.memory_gb <= kind.memory_gb + EPSILON
    }

    /// Returns why the job can never run, or `None` if it can. Requires the teams and machine types
    /// to be known.
    pub fn infeasibility_reason(&self, teams: &[Team], types: &[MachineType]) -> Option<String> {
        let Some(team) = teams.iter().find(|t| t.name == self.team) else {
            return Some(format!("crew: unknown team {:?}", self.team));
        };
        if !team.allows(self.cpus, self.gpus) {
            return Some(format!("crew: one task is over the limit of team {:?}", self.team));
        }
        let offered = |kind: &&MachineType| match &self.zone {
            Some(zone) => kind.zones.iter().any(|z| z == zone),
            None => true,
        };
        if !types.iter().filter(offered).any(|kind| self.fits_type(kind)) {
            return Some("breeds: a task fits no allowed machine type".to_owned());
        }
        None
    }
}
