//! What jobs, tasks, machines and their lives are known by.

use std::fmt;

use serde::{Deserialize, Serialize};

/// Which start of the agent on a machine: a worker that was restarted reports under a higher one.
#[derive(
    Debug, Clone, Copy, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize,
)]
#[serde(transparent)]
pub struct AgentEpoch(pub u64);

impl AgentEpoch {
    /// Of a machine whose worker has not reported, and of a task that was never placed.
    pub const NONE: AgentEpoch = AgentEpoch(0);

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
    pub const FIRST: Attempt = Attempt(1);

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
