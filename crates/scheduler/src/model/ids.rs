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
