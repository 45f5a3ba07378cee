//! What the scheduler wants done, and what became of it.

use std::collections::BTreeSet;
use std::fmt;

use serde_json::Value;

use crate::event::{Anomaly, Event};
use crate::leadership::fencing_token::FencingToken;
use crate::model::ids::{AgentEpoch, MachineIndex};
use crate::protocol::key_value::Transaction;
use crate::protocol::workers::{Heartbeat, WorkerCommand};
use crate::storage::revision::Revision;

/// Something for the program to do.
#[derive(Debug, Clone, PartialEq)]
pub enum Command {
    /// Send the transaction and answer with [`Scheduler::transaction_answered`](crate::scheduler::Scheduler::transaction_answered).
    Commit {
        /// Of the transaction, in this term.
        id: u64,
        /// What to send.
        transaction: Transaction,
    },
    /// Read one key and answer with [`Scheduler::read_answered`](crate::scheduler::Scheduler::read_answered).
    Read {
        /// Of the transaction whose outcome it decides.
        id: u64,
        /// The key.
        key: String,
    },
    /// Find out which of the jobs have ended, and answer with [`Scheduler::job_ends_found`](crate::scheduler::Scheduler::job_ends_found).
    FindJobEnds {
        /// The jobs.
        names: Vec<String>,
    },
    /// Send the commands to a worker once, never again, and answer with
    /// [`Scheduler::message_answered`](crate::scheduler::Scheduler::message_answered).
    SendToWorker {
        /// The worker's machine.
        machine: MachineIndex,
        /// Where the worker can be reached.
        address: String,
        /// The fencing token of the message.
        token: FencingToken,
        /// The agent epoch of the worker that it is for.
        agent_epoch: AgentEpoch,
        /// The commands; none if only an answer is wanted.
        calls: Vec<WorkerCommand>,
    },
    /// Request machines from the cloud.
    ScaleOut {
        /// Their type.
        kind: String,
        /// Their zone.
        zone: String,
        /// Whether spot machines.
        spot: bool,
        /// How many.
        count: u32,
    },
    /// Return machines to the cloud.
    ScaleIn {
        /// Their names.
        machines: Vec<String>,
    },
    /// Write an event to the log.
    Log(Event),
    /// Read the leader key: a worker reports a newer term, which alone proves nothing.
    VerifyLeadership,
    /// End the term.
    StepDown(StepDownReason),
}

/// How many anomalies are remembered as logged: several for each machine of any fleet.
const MAX_ANOMALIES: usize = 20_000;

/// The commands that were decided and not yet taken, in their order.
#[derive(Debug, Default)]
pub(crate) struct CommandQueue {
    commands: Vec<Command>,
    /// Anomalies that were logged, each once.
    logged: BTreeSet<(String, Anomaly)>,
}

impl CommandQueue {
    /// Adds a command.
    pub(crate) fn push(&mut self, command: Command) {
        self.commands.push(command);
    }

    /// Adds commands.
    pub(crate) fn extend(&mut self, commands: impl IntoIterator<Item = Command>) {
        self.commands.extend(commands);
    }

    /// Logs an event.
    pub(crate) fn log(&mut self, event: Event) {
        self.push(Command::Log(event));
    }

    /// Logs an anomaly, once for each machine or job and kind.
    pub(crate) fn log_once(&mut self, name: &str, kind: Anomaly) {
        if self.logged.len() < MAX_ANOMALIES && self.logged.insert((name.to_owned(), kind)) {
            self.log(Event::Anomaly { name: name.to_owned(), kind });
        }
    }

    /// Takes all commands.
    pub(crate) fn take(&mut self) -> Vec<Command> {
        std::mem::take(&mut self.commands)
    }
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
        revision: Revision,
    },
    /// There is no such key.
    Missing,
    /// It could not be read.
    Unavailable,
}

/// What became of a transaction.
#[derive(Debug, Clone, PartialEq)]
pub enum TransactionOutcome {
    /// Executed.
    Committed {
        /// The store's revision of it.
        revision: Revision,
    },
    /// Not executed: these keys have other revisions than it expects.
    Conflict {
        /// The keys.
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

/// What became of a message to a worker.
#[derive(Debug, Clone)]
pub enum MessageOutcome {
    /// 200 or 409: the worker's heartbeat after it.
    Answered(Box<Heartbeat>),
    /// The connection was refused, so nothing was sent.
    NotSent,
    /// Anything else: it may be executed, even minutes later.
    Indeterminate,
}
