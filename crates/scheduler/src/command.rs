//! What the scheduler wants done, and what became of it.

use std::fmt;

use serde_json::Value;

use crate::event::Event;
use crate::model::task::MachineIndex;
use crate::protocol::key_value::Transaction;
use crate::protocol::workers::{Heartbeat, WorkerCommand};

/// Something for the sockets to do.
#[derive(Debug, Clone, PartialEq)]
pub enum Command {
    /// Send the transaction and answer with [`Scheduler::transaction_answered`].
    Commit {
        id: u64,
        transaction: Transaction,
    },
    /// Read one key and answer with [`Scheduler::read_answered`].
    Read {
        id: u64,
        key: String,
    },
    /// Find out which of the jobs have ended, and answer with [`Scheduler::job_ends_found`].
    FindJobEnds {
        names: Vec<String>,
    },
    /// Post the calls once, never again, and answer with [`Scheduler::message_answered`].
    SendToWorker {
        machine: MachineIndex,
        address: String,
        token: u64,
        agent_epoch: u64,
        calls: Vec<WorkerCommand>,
    },
    ScaleOut {
        kind: String,
        zone: String,
        spot: bool,
        count: u32,
    },
    ScaleIn {
        machines: Vec<String>,
    },
    /// Worth a line in the log.
    Log(Event),
    /// A worker claims a newer term: worth a look at the leader key, and no more.
    VerifyLeadership,
    /// The term is over.
    StepDown(StepDownReason),
}

/// Why a leader ends its own term.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum StepDownReason {
    /// A transaction found the leader key under another revision than this term's.
    LeaderKeyTaken,
    /// A chunk holds what this leader did not write: its table is not what is stored.
    UnexpectedChunk,
}

impl fmt::Display for StepDownReason {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(match self {
            StepDownReason::LeaderKeyTaken => "another node holds the leader key",
            StepDownReason::UnexpectedChunk => "a stored chunk differs from the registry",
        })
    }
}

/// What came of the reading of a key.
#[derive(Debug, Clone, PartialEq)]
pub enum ReadOutcome {
    /// The key's value.
    Found {
        /// The value.
        value: Value,
        /// The key's revision.
        revision: u64,
    },
    /// There is no such key.
    Missing,
    /// It could not be read.
    Unavailable,
}

/// What became of a transaction.
#[derive(Debug, Clone, PartialEq)]
pub enum TransactionOutcome {
    Committed {
        revision: u64,
    },
    Conflict {
        failed: Vec<String>,
    },
    /// Certainly not executed.
    Rejected,
    /// Certainly not executed, now or later: a value or the transaction is over the service's
    /// limits.
    TooLarge,
    /// May have been executed, or may be later.
    Indeterminate,
}

/// What became of a direct command.
#[derive(Debug, Clone)]
pub enum MessageOutcome {
    /// 200 or 409: the worker's heartbeat after it.
    Answered(Box<Heartbeat>),
    /// The connection was refused, so nothing was sent.
    NotSent,
    /// Anything else: it may be executed, even minutes later.
    Indeterminate,
}
