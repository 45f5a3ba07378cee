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
//! A task leaves its machine only on proof ([`Input::Absent`]); no state knows a time-out that
//! frees it. `unknown` is the paper's: it may have started, and is never resent under its attempt.

use crate::time::Time;

/// Index of a machine in the scheduler's table.
pub type MachineIx = u32;

#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Phase {
    /// To be placed, under the attempt given.
    Pending,
    /// Recorded, or being recorded, as given to a machine; the start may be under way.
    Dispatching,
    /// A report showed it on its machine.
    Running,
    /// Told to stop; still on its machine as far as anybody knows.
    Stopping,
    /// Its start was not confirmed by the deadline.
    Unknown,
    /// Completed. Final.
    Done,
}

impl Phase {
    /// The number under which the phase is stored.
    pub fn code(self) -> u8 {
        match self {
            Phase::Pending => 0,
            Phase::Dispatching => 1,
            Phase::Running => 2,
            Phase::Stopping => 3,
            Phase::Unknown => 4,
            Phase::Done => 5,
        }
    }

    pub fn from_code(code: u64) -> Option<Phase> {
        Some(match code {
            0 => Phase::Pending,
            1 => Phase::Dispatching,
            2 => Phase::Running,
            3 => Phase::Stopping,
            4 => Phase::Unknown,
            5 => Phase::Done,
            _ => return None,
        })
    }

    /// Whether the task counts as on its machine: everything not proven absent does.
    pub fn placed(self) -> bool {
        !matches!(self, Phase::Pending | Phase::Done)
    }
}

#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Task {
    pub phase: Phase,
    pub attempt: u32,
    pub machine: MachineIx,
    /// The worker's session that the start was sent to.
    pub agent_epoch: u64,
    /// The token that the start was sent with; 0 until it is sent. Proof of absence needs a
    /// report that had already seen a higher one.
    pub token: u64,
    /// When the phase was entered.
    pub since: Time,
    /// When it was placed where it is, by whichever leader did. Stored, so that a new leader knows
    /// about how long a task has run that it first sees running.
    pub placed_at: Time,
}

/// What can happen to a task.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Input {
    /// Placed by a round, to be written before it is sent.
    Dispatch { machine: MachineIx, agent_epoch: u64 },
    /// The round's write is certain to have failed: nothing was sent.
    Retract,
    /// The start goes out, once, with this token.
    Send { token: u64 },
    /// A report shows the attempt on the machine, with its image.
    Seen,
    /// A command to stop it goes out.
    Stop,
    /// Its deadline passed without a receipt.
    Settle,
    /// Proven off its machine without having completed.
    Absent,
    /// A report shows that it completed.
    Finish,
}

impl Task {
    pub fn new(now: Time) -> Task {
        Task {
            phase: Phase::Pending,
            attempt: 1,
            machine: 0,
            agent_epoch: 0,
            token: 0,
            since: now,
            placed_at: now,
        }
    }

    /// Makes the change that `input` asks for, if the state allows it. A finish is final, and
    /// evidence never moves a task backwards without proof.
    pub fn step(&mut self, now: Time, input: Input) -> bool {
        use Input as I;
        use Phase as P;
        let next = match (self.phase, input) {
            (P::Pending, I::Dispatch { machine, agent_epoch }) => {
                self.machine = machine;
                self.agent_epoch = agent_epoch;
                self.token = 0;
                self.placed_at = now;
                P::Dispatching
            }
            // Only a start that was never sent may go back under the same attempt.
            (P::Dispatching, I::Retract) if self.token == 0 => P::Pending,
            (P::Dispatching, I::Send { token }) if self.token == 0 => {
                self.token = token;
                P::Dispatching
            }
            (P::Dispatching | P::Unknown, I::Seen) => P::Running,
            (P::Dispatching | P::Running | P::Unknown, I::Stop) => P::Stopping,
            (P::Dispatching, I::Settle) => P::Unknown,
            (P::Dispatching | P::Running | P::Stopping | P::Unknown, I::Absent) => {
                self.attempt += 1;
                P::Pending
            }
            (P::Pending | P::Dispatching | P::Running | P::Stopping | P::Unknown, I::Finish) => {
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
