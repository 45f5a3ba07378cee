//! Identifiers of jobs, tasks and machines, and the counters that tell their incarnations apart.

use std::fmt;
use std::ops::{Index, IndexMut};

use serde::{Deserialize, Serialize};

use crate::model::machine::Machine;

/// Incarnation of the agent on a machine. A restarted worker reports a higher epoch.
#[derive(
    Debug, Clone, Copy, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize,
)]
#[serde(transparent)]
pub struct AgentEpoch(pub u64);

impl AgentEpoch {
    /// Epoch of a machine whose worker has not reported yet, and of a task that was never placed.
    pub const NONE: AgentEpoch = AgentEpoch(0);

    /// Returns the epoch as a plain number.
    pub const fn get(self) -> u64 {
        self.0
    }
}

impl fmt::Display for AgentEpoch {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        self.0.fmt(f)
    }
}

/// Number of a task's start: 1 for the first, increased by one each time the task is started anew.
/// Workers may report any number; stored records hold numbers up to `u32::MAX`.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(transparent)]
pub struct Attempt(pub u64);

impl Attempt {
    /// Attempt number of a task that was never restarted.
    pub const FIRST: Attempt = Attempt(1);

    /// Returns the attempt as a plain number.
    pub const fn get(self) -> u64 {
        self.0
    }

    /// Returns the following attempt of a task in the table. The number wraps at 32 bits, the width
    /// used in stored records.
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

/// Index of a job in the scheduler's table. It is never reused, so a late response cannot refer to
/// a different job.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct JobIndex(pub u32);

impl JobIndex {
    /// Returns the index that is assigned to the next job.
    #[must_use]
    pub fn next(self) -> JobIndex {
        JobIndex(self.0 + 1)
    }
}

/// Identifies a task.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct TaskId {
    /// Job that the task belongs to.
    pub job: JobIndex,
    /// Position of the task in the job's array.
    pub index: u32,
}

/// Index of a machine in the scheduler's machine table, a `Vec<Machine>` that it indexes directly.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct MachineIndex(pub u32);

impl MachineIndex {
    /// Returns the index as a plain number.
    pub const fn get(self) -> u32 {
        self.0
    }

    /// Returns the index as a position in the machine table.
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
