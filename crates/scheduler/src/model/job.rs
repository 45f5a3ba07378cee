//! A job: what its owner asked for, and how far it is.

use serde::{Deserialize, Serialize};

use walnutlug_admission::resources::Resources;

use crate::protocol::MachineType;

/// Priority of a job; the greater comes first.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub enum Priority {
    Low,
    Normal,
    High,
    Prod,
}

impl Priority {
    pub const COUNT: usize = Priority::ALL.len();
    /// All of them, the lowest first, each at the place of its number.
    pub const ALL: [Priority; 4] =
        [Priority::Low, Priority::Normal, Priority::High, Priority::Prod];
}

/// What the owner asked for. Stored in the key-value store as it is.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct JobSpec {
    pub class: String,
    pub team: String,
    #[serde(rename = "rank")]
    pub priority: Priority,
    pub tasks: u32,
    pub cpus: f64,
    pub gpus: f64,
    pub memory_gb: f64,
    pub image: String,
    pub image_gb: f64,
    pub types: Option<Vec<String>>,
    pub zone: Option<String>,
    pub one_zone: bool,
    pub spread: bool,
    pub spot: bool,
    pub estimate_s: f64,
    pub checkpoint_s: f64,
    pub save_s: f64,
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
    Done,
    #[serde(rename = "aborted")]
    Cancelled,
}

/// A team's guarantee and limit. A limit of 0 means none.
#[derive(Debug, Clone, PartialEq)]
pub struct Team {
    pub name: String,
    pub cpus: f64,
    pub cpus_max: f64,
    pub gpus: f64,
    pub gpus_max: f64,
}

/// Room for sums of decimal amounts: a tenth added ten times must still count as one.
pub const EPSILON: f64 = 1e-6;

impl Team {
    /// Whether the team may use this much at once.
    pub fn allows(&self, cpus: f64, gpus: f64) -> bool {
        (self.cpus_max <= 0.0 || cpus <= self.cpus_max + EPSILON)
            && (self.gpus_max <= 0.0 || gpus <= self.gpus_max + EPSILON)
    }
}

impl JobSpec {
    /// What one task takes of its machine.
    pub fn task(&self) -> Resources {
        Resources { cpus: self.cpus, gpus: self.gpus, memory_gb: self.memory_gb }
    }

    pub fn allows_type(&self, name: &str) -> bool {
        self.types.as_ref().is_none_or(|types| types.iter().any(|t| t == name))
    }

    pub fn fits_type(&self, kind: &MachineType) -> bool {
        self.allows_type(&kind.name)
            && self.cpus <= kind.cpus + EPSILON
            && self.gpus <= kind.gpus + EPSILON
            && self.memory_gb <= kind.memory_gb + EPSILON
    }

    /// Why the job can never run, if so. Only called once teams and types are known.
    pub fn impossible(&self, teams: &[Team], types: &[MachineType]) -> Option<String> {
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

/// The key under which each part of a job is kept.
pub mod keys {
    pub const LEADER: &str = "leader";
    pub const TYPES: &str = "types";
    pub const TODO: &str = "todo/";
    /// Descriptions of jobs that wait for others. A version without chains reads `todo/` alone: it
    /// never sees these, and so can't start one too early, whenever it comes to lead.
    pub const CHAINED: &str = "todo-chain/";
    /// What both kinds of descriptions begin with: one list and one watch serve both.
    pub const DESCRIPTIONS: &str = "todo";
    pub const RUN: &str = "run/";
    pub const JOB: &str = "job/";
    pub const END: &str = "end/";

    /// Proof that the job was accepted. Created once, never deleted.
    pub fn job(name: &str) -> String {
        format!("{JOB}{name}")
    }
    /// The description, for as long as there is anything to do about the job.
    pub fn todo(name: &str) -> String {
        format!("{TODO}{name}")
    }
    /// Where the description of a job is kept, one of a chain or not.
    pub fn description(name: &str, chained: bool) -> String {
        match chained {
            true => format!("{CHAINED}{name}"),
            false => todo(name),
        }
    }
    /// The job whose description the key holds, of either kind.
    pub fn described(key: &str) -> Option<&str> {
        key.strip_prefix(TODO).or_else(|| key.strip_prefix(CHAINED))
    }
    pub fn end(name: &str) -> String {
        format!("{END}{name}")
    }
    pub fn run(name: &str, chunk: usize) -> String {
        format!("{RUN}{name}/{chunk:05}")
    }
    /// Tasks of a chunk, from the one with that number on, that are kept apart from it because the
    /// whole would be too large a value.
    pub fn part(name: &str, chunk: usize, from: u32) -> String {
        format!("{RUN}{name}/{chunk:05}.{from:06}")
    }
    /// The job, the chunk and, of a part, its first task.
    pub fn split_run(key: &str) -> Option<(&str, usize, Option<u32>)> {
        let (name, place) = key.strip_prefix(RUN)?.rsplit_once('/')?;
        Some(match place.split_once('.') {
            Some((chunk, from)) => (name, chunk.parse().ok()?, Some(from.parse().ok()?)),
            None => (name, place.parse().ok()?, None),
        })
    }
}
