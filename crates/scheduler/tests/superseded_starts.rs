//! Tests of starts whose task is placed anew while a transaction, a queue or a request still holds
//! the earlier decision. What becomes of the earlier decision must not change the later one.

mod world;

use walnutlug_scheduler::command::{Command, TransactionOutcome};
use walnutlug_scheduler::model::ids::{AgentEpoch, Attempt, MachineIndex};
use walnutlug_scheduler::model::job_spec::JobSpec;
use walnutlug_scheduler::protocol::key_value::Transaction;
use walnutlug_scheduler::protocol::workers::{ExitReason, TaskState, WorkerCommand};
use world::{one_machine, spec, Worker, World};

const FIRST_JOB: &str = "req-000001";
const JOB: &str = "req-000002";
const TASK: &str = "req-000002/0";

/// A transaction whose outcome the leader doesn't know yet.
type OpenCommit = (u64, Transaction);

/// Tasks that each take half of a machine.
fn half_machine_tasks(tasks: u32) -> JobSpec {
    JobSpec { cpus: 4.0, ..spec(tasks) }
}

/// A request to `n-1` is in flight, so that the recorded start of [`TASK`] waits for that machine.
/// A second machine has come up and takes the job's other task. Returns the cluster, the machine
/// with the request, and the transaction with that other start, which writes both tasks.
fn recorded_start_waits_while_its_chunk_is_written_again() -> (World, MachineIndex, OpenCommit) {
    let mut w = one_machine();
    w.submit(FIRST_JOB, &half_machine_tasks(1));
    w.place_and_commit();
    let (machine, ..) = w.take_worker_message();
    w.submit(JOB, &half_machine_tasks(2));
    w.place_and_commit();
    assert_eq!(sent_starts(&w.commands), [], "the machine's request is still in flight");
    add_machine(&mut w, "n-2");
    w.tick();
    let commit = w.take_commit();
    (w, machine, commit)
}

/// Adds a machine whose worker has seen the leader's term.
fn add_machine(w: &mut World, name: &str) {
    w.workers.insert(name.to_owned(), Worker::new(name, "a"));
    w.heartbeat(name);
    w.heartbeat(name);
}

/// Returns the tasks and attempts that the commands start, with their machines.
fn sent_starts(commands: &[Command]) -> Vec<(MachineIndex, String, Attempt)> {
    let mut starts = Vec::new();
    for command in commands {
        let Command::SendToWorker { machine, calls, .. } = command else { continue };
        for call in calls {
            if let WorkerCommand::Run { task, attempt } = call {
                starts.push((*machine, task.clone(), *attempt));
            }
        }
    }
    starts
}

fn starts_of_task(w: &World) -> Vec<(MachineIndex, String, Attempt)> {
    let mut starts = sent_starts(&w.commands);
    starts.retain(|(_, task, _)| task == TASK);
    starts
}

/// Guards against `ran_twice` after a failover: the commit of a start's earlier placement released
/// the next attempt on another machine, which no transaction held yet.
#[test]
fn a_commit_of_an_earlier_placement_does_not_release_the_next_attempt() {
    let (mut w, _, (id, transaction)) = recorded_start_waits_while_its_chunk_is_written_again();
    let outcome = w.store.apply(&transaction);
    // The waiting start is retracted because of the notice, and the task is placed on `n-2`.
    w.workers.get_mut("n-1").expect("worker").interruption_at = Some(15.0);
    w.heartbeat("n-1");
    w.wait(300);
    w.tick();
    w.tick();
    assert_eq!(w.attempt(JOB, 0), Attempt(2));
    w.leader.transaction_answered(w.now, id, outcome);
    w.tick();
    assert_eq!(starts_of_task(&w), [], "the second attempt is not recorded yet");
    // The transaction with the second attempt is lost with the leader. Nothing that the leader has
    // sent may run beside what its successor starts.
    w.commands.retain(|command| !matches!(command, Command::Commit { .. }));
    w.execute_commands();
    w.workers.get_mut("n-2").expect("worker").alive = false;
    w.take_over();
    add_machine(&mut w, "n-3");
    for _ in 0..3 {
        w.send_all_heartbeats();
        w.settle();
    }
    w.workers.get_mut("n-2").expect("worker").alive = true;
    assert_eq!(w.places_of(TASK).len(), 1);
}

/// Guards against a start that is sent though its placement isn't stored: the rejection of a later
/// write of its chunk retracted a recorded start, and what waited in the machine's queue was then
/// sent for the next placement there.
#[test]
fn a_waiting_start_is_not_sent_for_a_later_placement_on_its_machine() {
    let (mut w, machine, (id, _)) = recorded_start_waits_while_its_chunk_is_written_again();
    w.workers.get_mut("n-2").expect("worker").alive = false;
    w.leader.machine_gone(w.now, "n-2");
    // The worker restarts: the recorded start is for its earlier agent epoch.
    w.workers.get_mut("n-1").expect("worker").expire_lease();
    w.heartbeat("n-1");
    w.heartbeat("n-1");
    w.leader.transaction_answered(w.now, id, TransactionOutcome::Rejected);
    w.wait(400);
    w.tick();
    w.deliver(machine, w.token_now(), AgentEpoch(1), &[]);
    w.tick();
    assert_eq!(starts_of_task(&w), [], "no placement for the new agent epoch is recorded yet");
    w.settle();
    assert_eq!((w.places_of(TASK).len(), w.attempt(JOB, 0)), (1, Attempt(2)));
}

/// Guards against a needless new placement: the rejection of a later write of its chunk retracted a
/// recorded start. It is sent once, under its first attempt.
#[test]
fn a_recorded_start_is_sent_after_a_later_write_of_its_chunk_was_rejected() {
    let (mut w, machine, (id, _)) = recorded_start_waits_while_its_chunk_is_written_again();
    w.leader.transaction_answered(w.now, id, TransactionOutcome::Rejected);
    w.deliver(machine, w.token_now(), AgentEpoch(1), &[]);
    w.tick();
    assert_eq!(starts_of_task(&w), [(machine, TASK.to_owned(), Attempt(1))]);
    w.settle();
    assert_eq!(w.places_of(TASK), ["n-1"]);
}

/// Places a task of which a worker holds an exited first attempt, so that the attempt is taken for
/// ended while the transaction that records it is open. Returns the cluster and that transaction.
fn planned_start_ends_before_its_transaction_is_settled() -> (World, OpenCommit) {
    let mut w = one_machine();
    w.submit(JOB, &half_machine_tasks(1));
    w.tick();
    let commit = w.take_commit();
    let worker = w.workers.get_mut("n-1").expect("worker");
    let ended = (TaskState::Exited, Some(ExitReason::Stopped));
    worker.tasks.insert((TASK.to_owned(), Attempt(1)), ended);
    w.heartbeat("n-1");
    w.wait(400);
    w.tick();
    assert_eq!(w.attempt(JOB, 0), Attempt(2));
    (w, commit)
}

/// Guards against a start sent before it is recorded: the commit named an attempt that had ended.
#[test]
fn a_commit_of_an_ended_attempt_does_not_release_the_next_one() {
    let (mut w, (id, transaction)) = planned_start_ends_before_its_transaction_is_settled();
    let outcome = w.store.apply(&transaction);
    w.leader.transaction_answered(w.now, id, outcome);
    w.tick();
    assert_eq!(starts_of_task(&w), [], "the second attempt is not recorded yet");
    w.settle();
    assert_eq!((w.places_of(TASK).len(), w.attempt(JOB, 0)), (1, Attempt(2)));
}

/// Guards against a rejection that retracts a start which its transaction didn't hold.
#[test]
fn a_rejected_write_of_an_ended_attempt_leaves_the_next_one_placed() {
    let (mut w, (id, _)) = planned_start_ends_before_its_transaction_is_settled();
    let placed = w.phase(JOB, 0);
    assert!(placed.placed());
    w.leader.transaction_answered(w.now, id, TransactionOutcome::Rejected);
    assert_eq!((w.phase(JOB, 0), w.attempt(JOB, 0)), (placed, Attempt(2)));
    w.wait(400);
    w.settle();
    assert_eq!((w.places_of(TASK).len(), w.attempt(JOB, 0)), (1, Attempt(2)));
}
