//! What the owner of a job asked for, and how a job can end.

use serde::{Deserialize, Serialize};

use walnutlug_admission::resources::Resources;

use crate::model::team::Team;
use crate::model::EPSILON;
use crate::protocol::cloud::MachineType;

/// Priority of a job; the greater comes first.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub enum Priority {
    /// What can wait.
    Low,
    /// The usual.
    Normal,
    /// What is urgent.
    High,
    /// What production depends on.
    Prod,
}

impl Priority {
    /// How many there are.
    pub const COUNT: usize = Priority::ALL.len();
    /// All of them, the lowest first, each at the place of its number.
    pub const ALL: [Priority; 4] =
        [Priority::Low, Priority::Normal, Priority::High, Priority::Prod];
}

/// What the owner asked for. Stored in the key-value store as it is.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct JobSpec {
    /// The class of jobs that it belongs to, by which objectives are set and run times learned.
    pub class: String,
    /// The team whose quota and limit apply.
    pub team: String,
    /// Its priority.
    #[serde(rename = "rank")]
    pub priority: Priority,
    /// Tasks in the array.
    pub tasks: u32,
    /// Processors that one task takes.
    pub cpus: f64,
    /// Accelerators that one task takes.
    pub gpus: f64,
    /// Gigabytes of memory that one task takes.
    pub memory_gb: f64,
    /// The image that a machine must have before a task can run.
    pub image: String,
    /// Gigabytes of the image.
    pub image_gb: f64,
    /// Allowed machine types; `None`: any.
    pub types: Option<Vec<String>>,
    /// The only allowed zone; `None`: any.
    pub zone: Option<String>,
    /// Gang scheduling: all tasks have to be in the same zone.
    pub one_zone: bool,
    /// At most half of the tasks, rounded up, may be in one zone.
    pub spread: bool,
    /// Whether it may use spot machines.
    pub spot: bool,
    /// The owner's estimate of a task's run time in seconds, without the image fetch.
    pub estimate_s: f64,
    /// Seconds of progress between checkpoints; 0: it saves none.
    pub checkpoint_s: f64,
    /// Seconds that a task needs to save when it is stopped.
    pub save_s: f64,
    /// When the job should be done, in seconds from its submission.
    pub deadline_s: Option<f64>,
    /// Jobs that have to be done before any task of this one starts, each once. Left out when there
    /// are none, so that such a record is the one that versions without chains wrote.
    #[serde(default, rename = "needs", skip_serializing_if = "Vec::is_empty")]
    pub dependencies: Vec<String>,
}

/// How a job ended. Written once to `end/{ref}`; whoever writes first wins.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum JobEnd {
    /// All of its tasks are done.
    Done,
    /// Its user cancelled it, or a job that it depends on was cancelled.
    #[serde(rename = "aborted")]
    Cancelled,
}

impl JobSpec {
    /// What one task takes of its machine.
    pub fn task(&self) -> Resources {
        Resources { cpus: self.cpus, gpus: self.gpus, memory_gb: self.memory_gb }
    }

    /// How many seconds a task that is stopped may take to save a checkpoint; 0 if it makes none.
    pub fn stop_grace_s(&self) -> f64 {
        match self.checkpoint_s > 0.0 {
            true => self.save_s,
            false => 0.0,
        }
    }

    /// Whether the type of that name is allowed.
    pub fn allows_type(&self, name: &str) -> bool {
        self.types.as_ref().is_none_or(|types| types.iter().any(|t| t == name))
    }

    /// Whether a task fits an empty machine of the type, and the type is allowed.
    pub fn fits_type(&self, kind: &MachineType) -> bool {
        self.allows_type(&kind.name)
            && self.cpus <= kind.cpus + EPSILON
            && self.gpus <= kind.gpus + EPSILON
            && self.memory_gb <= kind.memory_gb + EPSILON
    }

    /// Why the job can never run, if so. Only called once teams and types are known.
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
