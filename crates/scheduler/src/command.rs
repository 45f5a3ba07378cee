//! Commands that the scheduler issues to the program, and the outcomes that the program reports
//! back.

use std::collections::BTreeSet;
use std::fmt;

use serde_json::Value;

use crate::event::{Anomaly, Event};
use crate::leadership::fencing_token::FencingToken;
use crate::model::ids::{AgentEpoch, MachineIndex};
use crate::protocol::key_value::Transaction;
use crate::protocol::workers::{Heartbeat, WorkerCommand};
use crate::storage::revision::Revision;

/// An action for the program to carry out.
#[derive(Debug, Clone, PartialEq)]
pub enum Command {
    /// Sends a transaction to the key-value store. The program reports the outcome through
    /// [`Scheduler::transaction_answered`](crate::scheduler::Scheduler::transaction_answered).
    Commit {
        /// Identifies the transaction within this term; a resent transaction keeps its ID.
        id: u64,
        /// The compares and operations to execute atomically.
        transaction: Transaction,
    },
    /// Reads one key. The program reports the outcome through
    /// [`Scheduler::read_answered`](crate::scheduler::Scheduler::read_answered).
    Read {
        /// Identifies the transaction whose outcome the key's value decides.
        id: u64,
        /// Full key of the record to read.
        key: String,
    },
    /// Looks up which of the jobs have ended. The program reports the result through
    /// [`Scheduler::job_ends_found`](crate::scheduler::Scheduler::job_ends_found).
    FindJobEnds {
        /// Names of the jobs to look up.
        names: Vec<String>,
    },
    /// Sends commands to a worker once, without retries. The program reports the outcome through
    /// [`Scheduler::message_answered`](crate::scheduler::Scheduler::message_answered).
    SendToWorker {
        /// The machine that the worker runs on.
        machine: MachineIndex,
        /// Network address of the worker.
        address: String,
        /// Fencing token of the message; a worker rejects tokens lower than the highest that it has
        /// seen.
        token: FencingToken,
        /// Agent epoch of the worker that the commands are meant for.
        agent_epoch: AgentEpoch,
        /// Commands to execute; empty if the leader only wants the worker's heartbeat in the
        /// answer.
        calls: Vec<WorkerCommand>,
    },
    /// Requests machines from the cloud.
    ScaleOut {
        /// Machine type to request.
        kind: String,
        /// Zone in which the machines are to run.
        zone: String,
        /// Whether to request spot machines instead of ordinary ones.
        spot: bool,
        /// Number of machines to request.
        count: u32,
    },
    /// Returns machines to the cloud.
    ScaleIn {
        /// Names of the machines to return.
        machines: Vec<String>,
    },
    /// Writes an event to the log.
    Log(Event),
    /// Reads the leader key, because a worker reported a newer term. The report alone doesn't prove
    /// that another node leads.
    VerifyLeadership,
    /// Ends this node's term as leader.
    StepDown(StepDownReason),
}

/// Maximum number of anomalies remembered as already logged: enough for several per machine in a
/// fleet of any size. Anomalies beyond it are not logged.
const MAX_ANOMALIES: usize = 20_000;

/// Commands that were decided but not yet taken by the program, in the order of their execution.
#[derive(Debug, Default)]
pub(crate) struct CommandQueue {
    commands: Vec<Command>,
    /// Anomalies logged so far, by machine or job name; each is logged only once.
    logged: BTreeSet<(String, Anomaly)>,
}

impl CommandQueue {
    pub(crate) fn push(&mut self, command: Command) {
        self.commands.push(command);
    }

    pub(crate) fn extend(&mut self, commands: impl IntoIterator<Item = Command>) {
        self.commands.extend(commands);
    }

    pub(crate) fn log(&mut self, event: Event) {
        self.push(Command::Log(event));
    }

    /// Logs an anomaly unless the same kind was already logged for this machine or job.
    pub(crate) fn log_once(&mut self, name: &str, kind: Anomaly) {
        if self.logged.len() < MAX_ANOMALIES && self.logged.insert((name.to_owned(), kind)) {
            self.log(Event::Anomaly { name: name.to_owned(), kind });
        }
    }

    /// Removes and returns all queued commands.
    pub(crate) fn take(&mut self) -> Vec<Command> {
        std::mem::take(&mut self.commands)
    }
}

/// The reason for which a leader ends its own term.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum StepDownReason {
    /// A transaction found that the leader key's revision is not this term's.
    LeaderKeyTaken,
    /// A chunk holds tasks that this leader did not write, so its state in memory differs from the
    /// stored state.
    UnexpectedChunk,
    /// A transaction whose answer was lost exceeds the store's lowered limits. It can't be resent, and
    /// its earlier copy may still be executed while this node leads.
    UnsettledTransaction,
}

impl fmt::Display for StepDownReason {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(match self {
            StepDownReason::LeaderKeyTaken => "another node holds the leader key",
            StepDownReason::UnexpectedChunk => "a stored chunk differs from the registry",
            StepDownReason::UnsettledTransaction => {
                "a write without an answer can't be repeated within the key-value store's limits"
            }
        })
    }
}

/// The outcome of reading a key.
#[derive(Debug, Clone, PartialEq)]
pub enum ReadOutcome {
    /// The key exists.
    Found {
        /// The stored JSON value.
        value: Value,
        /// Revision at which the key was last written.
        revision: Revision,
    },
    /// The key does not exist.
    Missing,
    /// The key-value store did not answer the read.
    Unavailable,
}

/// The outcome of a transaction.
#[derive(Debug, Clone, PartialEq)]
pub enum TransactionOutcome {
    /// The transaction was executed.
    Committed {
        /// Revision of the store after the transaction.
        revision: Revision,
    },
    /// The transaction was not executed, because some keys have revisions other than it requires.
    Conflict {
        /// Keys whose compares failed.
        failed: Vec<String>,
    },
    /// The transaction was certainly not executed.
    Rejected,
    /// The transaction was certainly not executed and never will be: one of its values, or the
    /// transaction itself, exceeds the service's limits.
    TooLarge,
    /// The transaction may have been executed, or may still be.
    Indeterminate,
}

/// The outcome of a message to a worker.
#[derive(Debug, Clone)]
pub enum MessageOutcome {
    /// The worker answered with status 200 or 409 and a heartbeat taken after it handled the
    /// message.
    Answered(Box<Heartbeat>),
    /// The connection was refused, so nothing was sent.
    NotSent,
    /// Any other failure. The worker may still execute the commands, even minutes later.
    Indeterminate,
}
