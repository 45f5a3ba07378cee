//! What the scheduler wants done, and what became of it.

use crate::event::Event;
use crate::leadership::fencing_token::FencingToken;
use crate::model::ids::{AgentEpoch, MachineIndex};
use crate::protocol::key_value::Transaction;
use crate::protocol::workers::{Heartbeat, WorkerCommand};
use crate::storage::revision::Revision;

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
        token: FencingToken,
        agent_epoch: AgentEpoch,
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
    StepDown(&'static str),
}

/// What became of a transaction.
#[derive(Debug, Clone, PartialEq)]
pub enum TransactionOutcome {
    Committed {
        revision: Revision,
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
