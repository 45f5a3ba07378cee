//! What jobs, tasks, machines and their lives are known by.

use std::fmt;
use std::ops::{Index, IndexMut};

use serde::{Deserialize, Serialize};

use crate::model::machine::Machine;

/// Which start of the agent on a machine: a worker that was restarted reports under a higher one.
#[derive(
    Debug, Clone, Copy, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize,
)]
#[serde(transparent)]
pub struct AgentEpoch(pub u64);

impl AgentEpoch {
    /// Of a machine whose worker has not reported, and of a task that was never placed.
    pub const NONE: AgentEpoch = AgentEpoch(0);

    /// The number itself.
    pub const fn get(self) -> u64 {
        self.0
    }
}

impl fmt::Display for AgentEpoch {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        self.0.fmt(f)
    }
}

/// Which time a task is started: 1 for its first start, one more each time that it is started anew.
/// Workers may report any number; records hold numbers up to `u32::MAX`.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(transparent)]
pub struct Attempt(pub u64);

impl Attempt {
    /// The attempt that every task begins with.
    pub const FIRST: Attempt = Attempt(1);

    /// The number itself.
    pub const fn get(self) -> u64 {
        self.0
    }

    /// The attempt after this one, of a task in the table: its number has the 32 bits of the records.
    #[must_use]
    pub fn next(self) -> Attempt {
        Attempt(u64::from((self.0 as u32).wrapping_add(1)))
    }
}

impl fmt::Display for Attempt {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        self.0.fmt(f)
    }
}

/// A job's number in the scheduler's table. It is never used again, so that a late answer can't mean
/// another job.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct JobIndex(pub u32);

impl JobIndex {
    /// The index of the job that comes after this one.
    #[must_use]
    pub fn next(self) -> JobIndex {
        JobIndex(self.0 + 1)
    }
}

/// Index of a machine in the scheduler's table, which it indexes itself.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct MachineIndex(pub u32);

impl MachineIndex {
    /// The number itself.
    pub const fn get(self) -> u32 {
        self.0
    }

    /// The place in the table.
    pub const fn as_usize(self) -> usize {
        self.0 as usize
    }
}

impl From<usize> for MachineIndex {
    fn from(place: usize) -> MachineIndex {
        MachineIndex(place as u32)
    }
}

impl Index<MachineIndex> for Vec<Machine> {
    type Output = Machine;

    fn index(&self, index: MachineIndex) -> &Machine {
        &self[index.as_usize()]
    }
}

impl IndexMut<MachineIndex> for Vec<Machine> {
    fn index_mut(&mut self, index: MachineIndex) -> &mut Machine {
        &mut self[index.as_usize()]
    }
}

impl fmt::Display for MachineIndex {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        self.0.fmt(f)
    }
}

impl fmt::Display for JobIndex {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        self.0.fmt(f)
    }
}
