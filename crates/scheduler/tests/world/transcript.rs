//! Records what a scheduler wants done, what it answers and what the store takes, as neutral text.
//!
//! The one place that spells the packages' variants and fields for the transcripts: a change of names
//! changes the patterns here, never the words. What is written to the log and the reason for which a leader
//! steps down are free text and left out.

use std::cell::RefCell;

use serde::Serialize;
use serde_json::Value;
use walnutlug_scheduler::command::{Command, TransactionOutcome};
use walnutlug_scheduler::leadership::fencing_token::{FencingToken, Term};
use walnutlug_scheduler::protocol::key_value::{Operation, Transaction};
use walnutlug_scheduler::protocol::workers::WorkerCommand;

use super::golden::Transcript;

thread_local! {
    /// The script that this thread plays, if it is recorded.
    static RECORDED: RefCell<Option<Transcript>> = const { RefCell::new(None) };
}

/// Plays a script and gives what came to pass in it.
pub fn record(name: &str, play: impl FnOnce()) -> Transcript {
    RECORDED.set(Some(Transcript::new(name)));
    play();
    RECORDED.take().expect("the transcript of the script")
}

fn with(change: impl FnOnce(&mut Transcript)) {
    RECORDED.with_borrow_mut(|recorded| recorded.as_mut().map(change));
}

/// What follows belongs to the next step.
pub fn next_step() {
    with(Transcript::next_step);
}

/// Something that the script saw for itself.
pub fn line(kind: &str, text: &str) {
    with(|transcript| transcript.line(kind, text));
}

/// Something that came to pass so often.
pub fn count(kind: &str, times: u64) {
    with(|transcript| transcript.count(kind, times));
}

fn json(value: &impl Serialize) -> String {
    serde_json::to_string(value).expect("a value with a written form")
}

/// The part of a key before its first slash.
fn family(key: &str) -> &str {
    key.split('/').next().unwrap_or(key)
}

/// What the leader of that term wants done now.
pub fn commands(term: Term, commands: &[Command]) {
    with(|transcript| commands.iter().for_each(|c| command(transcript, term, c)));
}

fn command(transcript: &mut Transcript, term: Term, command: &Command) {
    match command {
        // Text for the log.
        Command::Log(_) => {}
        Command::Commit { id, transaction } => {
            transcript
                .line("commit", &format!("term={term} id={id} {}", transaction_text(transaction)));
            for change in &transaction.operations {
                transcript.count(&change_kind(change), 1);
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

/// The conditions and changes of a transaction, with the exact bytes of each value, and its whole form
/// on the wire.
fn transaction_text(transaction: &Transaction) -> String {
    let conditions =
        transaction.compares.iter().map(|guard| format!("if {}={}", guard.key, guard.revision));
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

fn change_kind(change: &Operation) -> String {
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

/// How a heartbeat of that kind (whole, repeated, repeated at another node, late) was answered.
pub fn answer(kind: &str, machine: &str, answer: Option<&(FencingToken, Vec<WorkerCommand>)>) {
    with(|transcript| {
        let text = match answer {
            Some((token, calls)) => {
                count_calls(transcript, calls);
                format!("machine={machine} token={token} calls={}", json(calls))
            }
            None => format!("machine={machine} refused"),
        };
        transcript.line(&format!("answer to a {kind} report"), &text);
    });
}

/// What the store made of a transaction.
pub fn applied(transaction: &Transaction, outcome: &TransactionOutcome) {
    with(|transcript| match outcome {
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
            unreachable!("no answer of a store")
        }
    });
}

/// What another node, or the script, wrote to the store.
pub fn put(key: &str, value: &Value) {
    line("written by others", &format!("put {key}={}", json(value)));
}
