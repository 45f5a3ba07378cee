//! A job: what its owner asked for, and how far it is.

use serde::{Deserialize, Serialize};

use crate::wire::MachineType;

/// Priority of a job; the greater comes first.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub enum Rank {
    Low,
    Normal,
    High,
    Prod,
}

/// What the owner asked for. Stored in the state service as it is.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct JobSpec {
    pub class: String,
    pub team: String,
    pub rank: Rank,
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
}

/// How a job ended. Written once to `end/{ref}`; whoever writes first wins.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum End {
    Done,
    Aborted,
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
pub const SLACK: f64 = 1e-6;

impl Team {
    /// Whether the team may use this much at once.
    pub fn allows(&self, cpus: f64, gpus: f64) -> bool {
        (self.cpus_max <= 0.0 || cpus <= self.cpus_max + SLACK)
            && (self.gpus_max <= 0.0 || gpus <= self.gpus_max + SLACK)
    }
}

impl JobSpec {
    pub fn allows_type(&self, name: &str) -> bool {
        self.types.as_ref().is_none_or(|types| types.iter().any(|t| t == name))
    }

    pub fn fits_type(&self, kind: &MachineType) -> bool {
        self.allows_type(&kind.name)
            && self.cpus <= kind.cpus + SLACK
            && self.gpus <= kind.gpus + SLACK
            && self.memory_gb <= kind.memory_gb + SLACK
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
    pub const RUN: &str = "run/";
    pub const END: &str = "end/";

    /// Proof that the job was accepted. Created once, never deleted.
    pub fn job(name: &str) -> String {
        format!("job/{name}")
    }
    /// The description, for as long as there is anything to do about the job.
    pub fn todo(name: &str) -> String {
        format!("{TODO}{name}")
    }
    pub fn end(name: &str) -> String {
        format!("{END}{name}")
    }
    pub fn run(name: &str, chunk: usize) -> String {
        format!("{RUN}{name}/{chunk:05}")
    }
    pub fn split_run(key: &str) -> Option<(&str, usize)> {
        let (name, chunk) = key.strip_prefix(RUN)?.rsplit_once('/')?;
        Some((name, chunk.parse().ok()?))
    }
}
