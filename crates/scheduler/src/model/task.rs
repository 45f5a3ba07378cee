//! State machine of a task. [`Task::step`] defines all transitions.
//!
//! ```text
//! pending <-> planned -> recorded -> dispatching -> running -> done
//!                            |           |   \        |  \
//!                            |           |    unknown-+   stopping
//!                            |           |       |            |
//!                            +-(not sent)+-------+--(absent)--+--> pending, next attempt
//! ```
//!
//! Only a recorded start is sent. The events that follow from a stored outcome, a queue or a late
//! answer name the [`Placement`] that they belong to, and change nothing once the task has another.
//!
//! A task leaves its machine only on completion, on proof of absence ([`TaskEvent::ProvenAbsent`])
//! or because its start was never sent; no timeout frees it. A task in `unknown` may have started,
//! so its start is never resent under the same attempt.

use crate::leadership::fencing_token::FencingToken;
use crate::model::ids::{AgentEpoch, Attempt, MachineIndex};
use crate::model::start::Placement;
use crate::time::Timestamp;

/// Position of a task in its life cycle.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum TaskPhase {
    /// Waiting to be placed under the current attempt.
    Pending,
    /// Assigned to a machine; no transaction that records the start is known to be committed.
    Planned,
    /// The start is stored under its attempt, machine and agent epoch, and was not sent.
    Recorded,
    /// The start was sent, and no heartbeat has confirmed it.
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
    /// Returns the number under which the phase is stored. The phases of a start share a number: a
    /// reader of the record can't know whether it was sent.
    pub fn code(self) -> u8 {
        match self {
            TaskPhase::Pending => 0,
            TaskPhase::Planned | TaskPhase::Recorded | TaskPhase::Dispatching => 1,
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

    /// Returns whether the task is assigned to a machine by a start that was not sent.
    pub fn is_unsent(self) -> bool {
        matches!(self, TaskPhase::Planned | TaskPhase::Recorded)
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
    /// The transaction that holds the start is committed.
    Recorded(Placement),
    /// The transaction that holds the start is certain to have had no effect.
    NotRecorded(Placement),
    /// The recorded start is sent. This happens once per attempt.
    Sent {
        /// The placement that the start is sent for.
        placement: Placement,
        /// Fencing token of the request that carries the start.
        token: FencingToken,
    },
    /// The recorded start never left this process and never will.
    NotSent(Placement),
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

    /// Returns the placement of the current attempt; meaningless while the task is pending.
    pub fn placement(&self) -> Placement {
        Placement { attempt: self.attempt, machine: self.machine, agent_epoch: self.agent_epoch }
    }

    /// Applies an event if the current phase allows it. Returns whether the task changed. A
    /// completion is final, no event returns a sent start to pending without proof of absence, and
    /// no start is sent unless exactly its placement is recorded.
    pub fn step(&mut self, now: Timestamp, event: TaskEvent) -> bool {
        use TaskEvent as E;
        use TaskPhase as P;
        let next = match (self.phase, event) {
            (P::Pending, E::Dispatch { machine, agent_epoch }) => {
                self.machine = machine;
                self.agent_epoch = agent_epoch;
                self.token = FencingToken::NONE;
                self.placed_at = now;
                P::Planned
            }
            (P::Planned, E::Recorded(placement)) if placement == self.placement() => P::Recorded,
            // A start that was never recorded can be retried under the same attempt.
            (P::Planned, E::NotRecorded(placement)) if placement == self.placement() => P::Pending,
            (P::Recorded, E::Sent { placement, token }) if placement == self.placement() => {
                self.token = token;
                P::Dispatching
            }
            // A task that was observed running was started, whatever became of this request.
            (P::Recorded | P::Dispatching | P::Stopping | P::Unknown, E::NotSent(placement))
                if placement == self.placement() =>
            {
                self.next_attempt()
            }
            (P::Planned | P::Recorded | P::Dispatching | P::Unknown, E::Observed) => P::Running,
            (P::Dispatching | P::Running | P::Unknown, E::Stop) => P::Stopping,
            (P::Dispatching, E::ConfirmationExpired) => P::Unknown,
            (phase, E::ProvenAbsent) if phase.placed() => self.next_attempt(),
            (phase, E::Completed) if phase != P::Done => P::Done,
            _ => return false,
        };
        self.phase = next;
        self.since = now;
        true
    }

    /// Gives the task its next attempt, and returns the phase of a task that waits for it.
    fn next_attempt(&mut self) -> TaskPhase {
        self.attempt = self.attempt.next();
        TaskPhase::Pending
    }
}

#[cfg(test)]
mod tests;
