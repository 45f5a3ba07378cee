//! One task's life as a state machine. [`Task::step`] is the only place where a task changes.
//!
//! ```text
//! pending -> dispatching -> running -> done
//!                |   \        |  \
//!                |    unknown-+   stopping
//!                |       |            |
//!                +-------+--(absent)--+--> pending, next attempt
//! ```
//!
//! A task leaves its machine only on proof ([`TaskEvent::ProvenAbsent`]); no state knows a time-out that
//! frees it. `unknown` is the paper's: it may have started, and is never resent under its attempt.

use crate::leadership::fencing_token::FencingToken;
use crate::model::ids::{AgentEpoch, Attempt, MachineIndex};
use crate::time::Timestamp;

/// Where a task is in its life.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum TaskPhase {
    /// To be placed, under the attempt given.
    Pending,
    /// Recorded, or being recorded, as given to a machine; the start may be under way.
    Dispatching,
    /// A heartbeat showed it on its machine.
    Running,
    /// Told to stop; still on its machine as far as anybody knows.
    Stopping,
    /// Its start was not confirmed by the deadline.
    Unknown,
    /// Completed. Final.
    Done,
}

impl TaskPhase {
    /// The number under which the phase is stored.
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

    /// The phase that is stored under the number; `None` if no version writes it.
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

    /// Whether the task counts as on its machine: everything not proven absent does.
    pub fn placed(self) -> bool {
        !matches!(self, TaskPhase::Pending | TaskPhase::Done)
    }
}

/// One task of a job array.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Task {
    /// Its phase.
    pub phase: TaskPhase,
    /// The attempt that is to be started, or was.
    pub attempt: Attempt,
    /// Where it is placed; of no meaning while it is pending.
    pub machine: MachineIndex,
    /// The worker's agent epoch that the start was sent to.
    pub agent_epoch: AgentEpoch,
    /// The token that the start was sent with; [`FencingToken::NONE`] until it is sent. Proof of absence needs a
    /// report that had already seen a higher one.
    pub token: FencingToken,
    /// When the phase was entered.
    pub since: Timestamp,
    /// When it was placed where it is, by whichever leader did. Stored, so that a new leader knows
    /// about how long a task has run that it first sees running.
    pub placed_at: Timestamp,
}

/// What can happen to a task.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum TaskEvent {
    /// Placed by a round, to be written before it is sent.
    Dispatch {
        /// Where it is placed.
        machine: MachineIndex,
        /// The agent epoch that the start is meant for.
        agent_epoch: AgentEpoch,
    },
    /// The round's write is certain to have failed: nothing was sent.
    Retract,
    /// The start goes out, once, with this token.
    Sent {
        /// The fencing token of the request that carries it.
        token: FencingToken,
    },
    /// A heartbeat shows the attempt on the machine, with its image.
    Observed,
    /// A command to stop it goes out.
    Stop,
    /// Its deadline passed without a receipt.
    ConfirmationExpired,
    /// Proven off its machine without having completed.
    ProvenAbsent,
    /// A heartbeat shows that it completed.
    Completed,
}

impl Task {
    /// A task that was never placed.
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

    /// Makes the change that `input` asks for, if the state allows it. A finish is final, and
    /// evidence never moves a task backwards without proof.
    pub fn step(&mut self, now: Timestamp, input: TaskEvent) -> bool {
        use TaskEvent as I;
        use TaskPhase as P;
        let next = match (self.phase, input) {
            (P::Pending, I::Dispatch { machine, agent_epoch }) => {
                self.machine = machine;
                self.agent_epoch = agent_epoch;
                self.token = FencingToken::NONE;
                self.placed_at = now;
                P::Dispatching
            }
            // Only a start that was never sent may go back under the same attempt.
            (P::Dispatching, I::Retract) if self.token == FencingToken::NONE => P::Pending,
            (P::Dispatching, I::Sent { token }) if self.token == FencingToken::NONE => {
                self.token = token;
                P::Dispatching
            }
            (P::Dispatching | P::Unknown, I::Observed) => P::Running,
            (P::Dispatching | P::Running | P::Unknown, I::Stop) => P::Stopping,
            (P::Dispatching, I::ConfirmationExpired) => P::Unknown,
            (P::Dispatching | P::Running | P::Stopping | P::Unknown, I::ProvenAbsent) => {
                self.attempt = self.attempt.next();
                P::Pending
            }
            (P::Pending | P::Dispatching | P::Running | P::Stopping | P::Unknown, I::Completed) => {
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
