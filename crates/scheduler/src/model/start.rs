//! Identity of a decision to start a task.
//!
//! A task may be placed, proven absent and placed anew while a transaction, a queue or a request
//! still holds the earlier decision. Each of them therefore names the whole decision, and
//! [`Task::step`](crate::model::task::Task::step) applies its outcome only to a task for which that
//! decision still stands.

use crate::model::ids::{AgentEpoch, Attempt, MachineIndex, TaskId};

/// The attempt of a task, and the worker to which its start is addressed.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Placement {
    /// Attempt of the start.
    pub attempt: Attempt,
    /// Machine that the worker runs on.
    pub machine: MachineIndex,
    /// Agent epoch of the worker.
    pub agent_epoch: AgentEpoch,
}

/// A task and the placement that was decided for it.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct TaskStart {
    /// The task to start.
    pub task: TaskId,
    /// The decision that the start belongs to.
    pub placement: Placement,
}
