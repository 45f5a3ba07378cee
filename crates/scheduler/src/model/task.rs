//! State machine of a task. [`Task::step`] defines all transitions.
//!
//! ```text
//! pending -> dispatching -> running -> done
//!                |   \        |  \
//!                |    unknown-+   stopping
//!                |       |            |
//!                +-------+--(absent)--+--> pending, next attempt
//! ```
//!
//! A task leaves its machine only on completion or on proof of absence
//! ([`TaskEvent::ProvenAbsent`]); no timeout frees it. A task in `unknown` may have started, so its
//! start is never resent under the same attempt.

use crate::leadership::fencing_token::FencingToken;
use crate::model::ids::{AgentEpoch, Attempt, MachineIndex};
use crate::time::Timestamp;

/// Position of a task in its life cycle.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum TaskPhase {
    /// Waiting to be placed under the current attempt.
    Pending,
    /// Assigned to a machine: the start is being written, is ready to be sent or was sent.
    Dispatching,
    /// A heartbeat reported the task running on its machine.
    Running,
    /// Told to stop, but not proven absent from its machine.
    Stopping,
    /// The start was not confirmed by its deadline, so the task may or may not have started.
    Unknown,
    /// Completed. No event changes this phase.
    Done,
}

impl TaskPhase {
    /// Returns the number under which the phase is stored.
    pub fn code(self) -> u8 {
        match self {
            TaskPhase::Pending => 0,
            TaskPhase::Dispatching => 1,
            TaskPhase::Running => 2,
            TaskPhase::Stopping => 3,
            TaskPhase::Unknown => 4,
            TaskPhase::Done => 5,
        }
    }

    /// Returns the phase stored under this number, or `None` if no version writes it.
    pub fn from_code(code: u64) -> Option<TaskPhase> {
        Some(match code {
            0 => TaskPhase::Pending,
            1 => TaskPhase::Dispatching,
            2 => TaskPhase::Running,
            3 => TaskPhase::Stopping,
            4 => TaskPhase::Unknown,
            5 => TaskPhase::Done,
            _ => return None,
        })
    }

    /// Returns whether the task counts as being on its machine. That holds for every task that is
    /// neither pending nor completed, since it is not proven absent.
    pub fn placed(self) -> bool {
        !matches!(self, TaskPhase::Pending | TaskPhase::Done)
    }
}

/// State of one task of a job array.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Task {
    /// Position in the task's life cycle.
    pub phase: TaskPhase,
    /// Attempt of the current or next start.
    pub attempt: Attempt,
    /// Machine on which the task is placed; meaningless while it is pending.
    pub machine: MachineIndex,
    /// Agent epoch of the worker to which the start is addressed.
    pub agent_epoch: AgentEpoch,
    /// Token with which the start was sent; [`FencingToken::NONE`] until then. Only a report from a
    /// worker that had already seen a higher token proves the task absent.
    pub token: FencingToken,
    /// When the current phase was entered.
    pub since: Timestamp,
    /// When the task was placed on its machine, by this leader or an earlier one. Stored, so that a
    /// new leader can estimate how long a task has run that it observes for the first time.
    pub placed_at: Timestamp,
}

/// Event that can change a task's state.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum TaskEvent {
    /// A placement round assigned the task to a machine. The start is written before it is sent.
    Dispatch {
        /// Machine on which the task is placed.
        machine: MachineIndex,
        /// Agent epoch of the worker to which the start is addressed.
        agent_epoch: AgentEpoch,
    },
    /// The write of the start is certain to have failed, so nothing was sent.
    Retract,
    /// The start is sent with this token. This happens once per attempt.
    Sent {
        /// Fencing token of the request that carries the start.
        token: FencingToken,
    },
    /// A heartbeat reported the attempt running on the machine.
    Observed,
    /// A stop command for the task is sent.
    Stop,
    /// The confirmation deadline passed without a report of the task.
    ConfirmationExpired,
    /// The task is proven absent from its machine without having completed.
    ProvenAbsent,
    /// A heartbeat reported the task as completed.
    Completed,
}

impl Task {
    /// Creates a pending task that was never placed.
    pub fn new(now: Timestamp) -> Task {
        Task {
            phase: TaskPhase::Pending,
            attempt: Attempt::FIRST,
            machine: MachineIndex(0),
            agent_epoch: AgentEpoch::NONE,
            token: FencingToken::NONE,
            since: now,
            placed_at: now,
        }
    }

    /// Applies an event if the current phase allows it. Returns whether the task changed. A
    /// completion is final, and no event returns a sent start to pending without proof of absence.
    pub fn step(&mut self, now: Timestamp, event: TaskEvent) -> bool {
        use TaskEvent as E;
        use TaskPhase as P;
        let next = match (self.phase, event) {
            (P::Pending, E::Dispatch { machine, agent_epoch }) => {
                self.machine = machine;
                self.agent_epoch = agent_epoch;
                self.token = FencingToken::NONE;
                self.placed_at = now;
                P::Dispatching
            }
            // A start that was never sent can be retried under the same attempt.
            (P::Dispatching, E::Retract) if self.token == FencingToken::NONE => P::Pending,
            (P::Dispatching, E::Sent { token }) if self.token == FencingToken::NONE => {
                self.token = token;
                P::Dispatching
            }
            (P::Dispatching | P::Unknown, E::Observed) => P::Running,
            (P::Dispatching | P::Running | P::Unknown, E::Stop) => P::Stopping,
            (P::Dispatching, E::ConfirmationExpired) => P::Unknown,
            (P::Dispatching | P::Running | P::Stopping | P::Unknown, E::ProvenAbsent) => {
                self.attempt = self.attempt.next();
                P::Pending
            }
            (P::Pending | P::Dispatching | P::Running | P::Stopping | P::Unknown, E::Completed) => {
                P::Done
            }
            _ => return false,
        };
        self.phase = next;
        self.since = now;
        true
    }
}

#[cfg(test)]
mod tests;
