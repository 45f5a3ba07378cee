//! Records a scheduler's commands, its heartbeat responses and the store's transactions as text.
//!
//! The recorded words are independent of the names in the code: renaming a variant or a field
//! changes the patterns in this module, but never the transcripts. Log messages and the reason for
//! which a leader steps down are free text and aren't recorded.

use std::cell::RefCell;

use serde::Serialize;
use serde_json::Value;
use walnutlug_scheduler::command::{Command, TransactionOutcome};
use walnutlug_scheduler::leadership::fencing_token::Term;
use walnutlug_scheduler::protocol::key_value::{Operation, Transaction};
use walnutlug_scheduler::protocol::workers::WorkerCommand;
use walnutlug_scheduler::reconciliation::heartbeats::HeartbeatAnswer;

use super::golden::Transcript;

thread_local! {
    /// The transcript of the script that this thread plays, if it is recorded.
    static CURRENT: RefCell<Option<Transcript>> = const { RefCell::new(None) };
}

/// Plays a script and returns its transcript.
pub fn record(name: &str, play: impl FnOnce()) -> Transcript {
    CURRENT.set(Some(Transcript::new(name)));
    play();
    CURRENT.take().expect("the transcript that was set before the script")
}

/// Changes the current transcript; does nothing if the script isn't recorded.
fn with_current(change: impl FnOnce(&mut Transcript)) {
    CURRENT.with_borrow_mut(|current| current.as_mut().map(change));
}

/// Starts the next step of the transcript.
pub fn next_step() {
    with_current(Transcript::next_step);
}

/// Records a line of the script's own.
pub fn line(kind: &str, text: &str) {
    with_current(|transcript| transcript.line(kind, text));
}

/// Adds to the count of one kind of event.
pub fn count(kind: &str, times: u64) {
    with_current(|transcript| transcript.count(kind, times));
}

fn json(value: &impl Serialize) -> String {
    serde_json::to_string(value).expect("a value that can be serialized")
}

/// Returns the part of a key before its first slash.
fn family(key: &str) -> &str {
    key.split('/').next().unwrap_or(key)
}

/// Records the commands that the leader of a term has issued.
pub fn commands(term: Term, commands: &[Command]) {
    with_current(|transcript| commands.iter().for_each(|c| command(transcript, term, c)));
}

fn command(transcript: &mut Transcript, term: Term, command: &Command) {
    match command {
        // Log messages are free text.
        Command::Log(_) => {}
        Command::Commit { id, transaction } => {
            transcript
                .line("commit", &format!("term={term} id={id} {}", transaction_text(transaction)));
            for change in &transaction.operations {
                transcript.count(&operation_kind(change), 1);
            }
        }
        Command::Read { id, key } => {
            transcript.line("read", &format!("term={term} id={id} key={key}"));
        }
        Command::FindJobEnds { names } => {
            transcript.line("find-ends", &format!("term={term} jobs={}", json(names)));
        }
        Command::SendToWorker { machine, address, token, agent_epoch, calls } => {
            let to = format!("term={term} machine={machine} address={address}");
            let body = format!("token={token} session={agent_epoch} calls={}", json(calls));
            transcript.line("direct", &format!("{to} {body}"));
            count_calls(transcript, calls);
        }
        Command::ScaleOut { kind, zone, spot, count } => {
            let what = format!("kind={kind} zone={zone} spot={spot} count={count}");
            transcript.line("rent", &format!("term={term} {what}"));
        }
        Command::ScaleIn { machines } => {
            transcript.line("return", &format!("term={term} machines={}", json(machines)));
        }
        Command::VerifyLeadership => transcript.line("check-lead", &format!("term={term}")),
        Command::StepDown(_) => transcript.line("step-down", &format!("term={term}")),
    }
}

/// Returns a transaction's compares and operations with the exact bytes of each value, followed by
/// the whole transaction as it is sent.
fn transaction_text(transaction: &Transaction) -> String {
    let conditions = transaction
        .compares
        .iter()
        .map(|compare| format!("if {}={}", compare.key, compare.revision));
    let changes = transaction.operations.iter().map(|change| match change {
        Operation::Put { put, value, lease } => {
            let lease = lease.map_or(String::new(), |lease| format!(" lease={lease}"));
            format!("put {put}={}{lease}", json(value))
        }
        Operation::Delete { drop } => format!("delete {drop}"),
    });
    let parts: Vec<String> = conditions.chain(changes).collect();
    format!("{} wire={}", parts.join("; "), json(transaction))
}

fn operation_kind(change: &Operation) -> String {
    match change {
        Operation::Put { put, .. } => format!("commit puts {}", family(put)),
        Operation::Delete { drop } => format!("commit deletes {}", family(drop)),
    }
}

fn count_calls(transcript: &mut Transcript, calls: &[WorkerCommand]) {
    for call in calls {
        let kind = match call {
            WorkerCommand::Run { .. } => "call run",
            WorkerCommand::Kill { grace_s, .. } if *grace_s > 0.0 => "call kill with grace",
            WorkerCommand::Kill { .. } => "call kill at once",
            WorkerCommand::Reap { .. } => "call reap",
        };
        transcript.count(kind, 1);
    }
}

/// Records the response to a heartbeat. The kind says how it was handled: whole, repeated, repeated
/// (at a follower), forwarded or late.
pub fn answer(kind: &str, machine: &str, answer: Option<&HeartbeatAnswer>) {
    with_current(|transcript| {
        let text = match answer {
            Some(HeartbeatAnswer { token, commands: calls }) => {
                count_calls(transcript, calls);
                format!("machine={machine} token={token} calls={}", json(calls))
            }
            None => format!("machine={machine} refused"),
        };
        transcript.line(&format!("answer to a {kind} report"), &text);
    });
}

/// Records the outcome of a transaction in the store.
pub fn applied(transaction: &Transaction, outcome: &TransactionOutcome) {
    with_current(|transcript| match outcome {
        TransactionOutcome::Committed { revision } => {
            transcript
                .line("stored", &format!("revision={revision} {}", transaction_text(transaction)));
        }
        TransactionOutcome::Conflict { failed } => {
            transcript.line("conflict", &format!("failed={}", json(failed)));
        }
        TransactionOutcome::TooLarge => {
            transcript.line("too-large", &transaction_text(transaction))
        }
        TransactionOutcome::Rejected | TransactionOutcome::Indeterminate => {
            unreachable!("the test store never gives this outcome")
        }
    });
}

/// Records a write to the store by another node or by the script.
pub fn put(key: &str, value: &Value) {
    line("written by others", &format!("put {key}={}", json(value)));
}
