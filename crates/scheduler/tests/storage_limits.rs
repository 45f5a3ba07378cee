//! Tests of the key-value store lowering its limits without notice. Chunks that are now too large
//! are continued in small parts, and the stored state is correct after every single write, whatever
//! limits its leaders know.

mod world;

use std::collections::BTreeSet;

use serde_json::json;
use walnutlug_scheduler::command::{Command, TransactionOutcome};
use walnutlug_scheduler::model::ids::Attempt;
use walnutlug_scheduler::model::job_spec::JobSpec;
use walnutlug_scheduler::model::task::TaskPhase;
use walnutlug_scheduler::protocol::key_value::Transaction;
use walnutlug_scheduler::storage::keys;
use walnutlug_scheduler::storage::transactions::TransactionLimits;
use world::{spec, World};

const JOB: &str = "req-000001";
/// Chunk size that the previous version chose for values of up to 8 KiB.
const OLD_CHUNK_SIZE: u32 = 168;
const LOWERED_LIMITS: (usize, usize) = (2_048, 4);

fn world_with_machines(n: usize) -> World {
    let names: Vec<String> = (0..n).map(|i| format!("n-{i:06}")).collect();
    let machines: Vec<(&str, &str)> = names.iter().map(|n| (n.as_str(), "a")).collect();
    World::new(&machines)
}

fn lower_limits(w: &mut World) {
    w.store.limits = Some(LOWERED_LIMITS);
    w.leader.set_limits(TransactionLimits {
        value_bytes: LOWERED_LIMITS.0,
        operations: LOWERED_LIMITS.1,
    });
}

fn chunk_keys(w: &World) -> BTreeSet<String> {
    w.store.key_values(keys::RUN).into_iter().map(|p| p.key).collect()
}

/// Makes a new leader load the stored records, and asserts that it knows every placed task.
fn assert_new_leader_knows_placed_tasks(w: &mut World) {
    let places = w.places();
    let former_leader = w.take_over();
    for (task, machines) in places {
        let job_index = w.leader.cluster.jobs_by_name[JOB];
        let index: u32 = task.rsplit_once('/').and_then(|t| t.1.parse().ok()).expect("a task");
        let known = w.leader.cluster.job(job_index).expect("job").tasks.get(index).expect("task");
        assert!(
            known.phase.placed() || known.phase == TaskPhase::Done,
            "the new leader does not know that {task} is on {machines:?}"
        );
    }
    drop(former_leader);
    w.send_all_heartbeats();
    w.send_all_heartbeats();
}

#[test]
fn large_chunk_continues_in_parts_and_any_new_leader_knows_all_placed_tasks() {
    let mut w = world_with_machines(40);
    w.submit_in_chunks(JOB, &spec(160), OLD_CHUNK_SIZE);
    w.settle();
    assert_eq!(w.places().len(), 160);
    assert_eq!(chunk_keys(&w).len(), 1);
    assert!(w.store.key_values(keys::RUN)[0].value.to_string().len() > LOWERED_LIMITS.0);
    lower_limits(&mut w);
    // In each round some tasks finish, and in some rounds a machine is lost. In every other round a
    // new leader takes over after each write.
    for round in 0..12 {
        let places = w.places();
        for (task, machines) in places.iter().take(13) {
            w.finish(&machines[0], task);
        }
        if round % 3 == 1 {
            let lost_machine = format!("n-{:06}", 39 - round);
            let worker = w.workers.get_mut(&lost_machine).expect("worker");
            worker.alive = false;
            worker.tasks.clear();
            w.leader.machine_gone(w.now, &lost_machine);
        }
        w.send_all_heartbeats();
        for _ in 0..200 {
            w.tick();
            let at = w.commands.iter().position(|c| matches!(c, Command::Commit { .. }));
            if at.is_none() {
                break;
            }
            let (id, transaction) = w.take_commit();
            let outcome = w.store.apply(&transaction);
            assert!(matches!(outcome, TransactionOutcome::Committed { .. }), "{outcome:?}");
            w.leader.transaction_answered(w.now, id, outcome);
            if round % 2 == 0 {
                assert_new_leader_knows_placed_tasks(&mut w);
            }
        }
        w.settle();
        w.wait(6_000);
    }
    assert!(chunk_keys(&w).iter().any(|k| k.contains('.')), "{:?}", chunk_keys(&w));
    w.run_to_completion();
    assert_eq!(w.end(JOB), Some(&json!("done")));
    assert_eq!(chunk_keys(&w).len(), 0, "parts were not deleted with the chunks");
    assert!(!w.store.keys.contains_key(&keys::todo(JOB)));
}

/// Sets the limits that the leader knows; the store has none.
fn set_known_limits(w: &mut World, (value_bytes, operations): (usize, usize)) {
    w.leader.set_limits(TransactionLimits { value_bytes, operations });
}

/// Returns whether a transaction of the leader is pending.
fn has_commit(w: &World) -> bool {
    w.commands.iter().any(|command| matches!(command, Command::Commit { .. }))
}

/// Guards against `ran_twice` after a failover: the known limits fell twice, a part was replaced by
/// a shorter one, and the placed tasks beyond its end were in no record any more.
#[test]
fn a_shorter_part_takes_no_placed_task_out_of_the_store() {
    let mut w = world_with_machines(40);
    w.submit_in_chunks(JOB, &spec(160), OLD_CHUNK_SIZE);
    set_known_limits(&mut w, LOWERED_LIMITS);
    w.settle();
    assert_eq!(w.places().len(), 160);
    set_known_limits(&mut w, (1_024, 4));
    w.finish("n-000000", "req-000001/0");
    w.send_all_heartbeats();
    w.wait(6_000);
    w.settle();
    assert!(chunk_keys(&w).contains(&keys::part(JOB, 0, 14)), "{:?}", chunk_keys(&w));
    assert_new_leader_knows_placed_tasks(&mut w);
    w.settle();
    for (task, machines) in w.places() {
        assert_eq!(machines.len(), 1, "{task} is on {machines:?}");
    }
}

/// What happens to the answer of a transaction.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Answer {
    Arrives,
    /// It is lost, and the transaction was executed.
    LostAfterExecution,
    /// It is lost, and the transaction was not executed.
    LostWithoutExecution,
}

/// Answers the pending transaction, and resends it if the answer is lost.
fn answer_commit(w: &mut World, answer: Answer) {
    let (id, transaction) = w.take_commit();
    if answer != Answer::LostWithoutExecution {
        w.store.apply(&transaction);
    }
    let outcome = match answer {
        Answer::Arrives => TransactionOutcome::Committed { revision: w.store.store_revision },
        _ => TransactionOutcome::Indeterminate,
    };
    w.leader.transaction_answered(w.now, id, outcome);
}

/// Limits are known to leaders in these orders, each to the next leader or to the same one: they
/// fall twice, rise at a restart, and differ between leaders that take turns. With one operation per
/// transaction every write of a chunk takes several transactions.
const KNOWN_LIMITS: [&[(usize, usize)]; 4] = [
    &[(2_048, 4), (1_024, 2), (512, 1)],
    &[(1_024, 1), (8_192, 4), (2_048, 1), (512, 1)],
    &[(2_048, 2), (512, 1), (2_048, 1), (512, 2), (1_024, 1)],
    &[(512, 1), (1_536, 1), (700, 1), (2_048, 1), (600, 1)],
];

#[test]
fn every_commit_keeps_all_placed_tasks_whatever_limits_the_leaders_know() {
    let answers = [Answer::Arrives, Answer::LostAfterExecution, Answer::LostWithoutExecution];
    for (known, answer) in KNOWN_LIMITS.iter().flat_map(|known| answers.map(|a| (known, a))) {
        for leader_ends_after_each_write in [false, true] {
            let mut w = world_with_machines(40);
            w.submit_in_chunks(JOB, &spec(160), OLD_CHUNK_SIZE);
            set_known_limits(&mut w, known[0]);
            for _ in 0..20 {
                w.settle();
            }
            assert_eq!(w.places().len(), 160);
            for &limits in *known {
                set_known_limits(&mut w, limits);
                for (task, machines) in w.places().iter().step_by(37) {
                    w.finish(&machines[0], task);
                }
                w.send_all_heartbeats();
                w.wait(6_000);
                write_all(&mut w, limits, answer, leader_ends_after_each_write);
            }
            w.run_to_completion();
            assert_eq!(w.end(JOB), Some(&json!("done")));
            assert_eq!(chunk_keys(&w).len(), 0);
        }
    }
}

/// Executes the leader's transactions until it has none left; every third answer may be lost. The
/// world checks after each of them that a successor would know every placed task.
fn write_all(w: &mut World, limits: (usize, usize), answer: Answer, leader_ends: bool) {
    for written in 0..200 {
        w.tick();
        if !has_commit(w) {
            w.wait(1_000);
            w.tick();
        }
        if !has_commit(w) {
            return;
        }
        let answer = if written % 3 == 0 { answer } else { Answer::Arrives };
        answer_commit(w, answer);
        if leader_ends {
            assert_new_leader_knows_placed_tasks(w);
            set_known_limits(w, limits);
            w.wait(6_000);
        } else if answer != Answer::Arrives {
            w.settle();
        }
    }
    panic!("the leader goes on writing");
}

/// The parts of an ended job are deleted one by one, by leaders that know higher limits than the one
/// that wrote them and that end after each operation. What is left shows tasks as placed that ended
/// long ago; the next heartbeats of their machines prove them absent.
#[test]
fn deletion_of_parts_is_completed_by_leaders_that_know_other_limits() {
    let mut w = world_with_machines(40);
    w.submit_in_chunks(JOB, &spec(160), OLD_CHUNK_SIZE);
    set_known_limits(&mut w, LOWERED_LIMITS);
    w.settle();
    for (task, machines) in w.places() {
        w.finish(&machines[0], &task);
    }
    w.send_all_heartbeats();
    w.wait(6_000);
    let mut deletions = 0;
    for _ in 0..100 {
        set_known_limits(&mut w, (8_192, 1));
        w.tick();
        if has_commit(&w) {
            let before = chunk_keys(&w).len();
            answer_commit(&mut w, Answer::Arrives);
            deletions += usize::from(chunk_keys(&w).len() < before);
            assert_new_leader_knows_placed_tasks(&mut w);
        }
        if w.end(JOB).is_some() {
            let job = w.leader.cluster.jobs_by_name.get(JOB);
            let job = job.and_then(|index| w.leader.cluster.job(*index));
            assert_eq!(job.map_or(0, |job| job.placed), 0, "{:?}", chunk_keys(&w));
        }
        w.wait(1_000);
    }
    assert!(deletions > 2, "{deletions}");
    assert!(!w.store.keys.contains_key(&keys::todo(JOB)), "{:?}", chunk_keys(&w));
}

/// Guards against writes that the store can never accept: parts were sized for machine names of usual
/// length.
#[test]
fn parts_fit_the_limits_with_long_machine_names() {
    let names: Vec<String> = (0..40).map(|n| format!("machine-{n:0>100}")).collect();
    let machines: Vec<(&str, &str)> = names.iter().map(|name| (name.as_str(), "a")).collect();
    let mut w = World::new(&machines);
    w.submit_in_chunks(JOB, &spec(160), OLD_CHUNK_SIZE);
    lower_limits(&mut w);
    w.settle();
    assert_eq!(w.places().len(), 160);
    assert_first_attempts_complete(w);
}

/// A refusal for size is a certain outcome, so the refused starts must be planned again at once, in
/// smaller transactions.
#[test]
fn starts_of_a_too_large_transaction_are_planned_again_within_the_lowered_limits() {
    let mut w = world_with_machines(40);
    w.submit_in_chunks(JOB, &spec(160), OLD_CHUNK_SIZE);
    w.tick();
    let (id, transaction) = w.take_commit();
    w.store.limits = Some(LOWERED_LIMITS);
    let outcome = w.store.apply(&transaction);
    assert_eq!(outcome, TransactionOutcome::TooLarge);
    w.leader.transaction_answered(w.now, id, outcome);
    lower_limits(&mut w);
    w.settle();
    assert_eq!(w.places().len(), 160);
    w.run_to_completion();
    assert_eq!(w.end(JOB), Some(&json!("done")));
}

/// Lets the answer to the first write of [`JOB`] be lost and the limits fall, so that the resent
/// copy is refused. Returns the transaction.
fn lose_answer_before_limits_fall(w: &mut World, is_executed: bool) -> Transaction {
    w.submit_in_chunks(JOB, &spec(160), OLD_CHUNK_SIZE);
    w.tick();
    let (id, transaction) = w.take_commit();
    if is_executed {
        w.store.apply(&transaction);
    }
    w.leader.transaction_answered(w.now, id, TransactionOutcome::Indeterminate);
    lower_limits(w);
    w.wait(1_000);
    w.tick();
    let (id, transaction) = w.take_commit();
    let outcome = w.store.apply(&transaction);
    assert_eq!(outcome, TransactionOutcome::TooLarge);
    w.leader.transaction_answered(w.now, id, outcome);
    w.tick();
    let sends_commands =
        |c: &Command| matches!(c, Command::SendToWorker { calls, .. } if !calls.is_empty());
    assert!(!w.commands.iter().any(sends_commands), "commands were sent before the chunk was read");
    transaction
}

fn steps_down(w: &World) -> bool {
    w.commands.iter().any(|command| matches!(command, Command::StepDown(_)))
}

/// Asserts that each task of [`JOB`] is placed under its first attempt, and completes the job.
fn assert_first_attempts_complete(mut w: World) {
    w.settle();
    assert_eq!(w.places().len(), 160);
    let job_index = w.leader.cluster.jobs_by_name[JOB];
    let attempts = w.leader.cluster.job(job_index).expect("job").tasks.iter().map(|t| t.attempt);
    assert_eq!(attempts.max(), Some(Attempt(1)));
    w.run_to_completion();
    assert_eq!(w.end(JOB), Some(&json!("done")));
}

/// The first copy of a transaction may have been committed although its answer was lost, and then
/// the limits were lowered. The refusal of the second copy for its size says nothing about the
/// first, so the chunk is read.
#[test]
fn refusal_for_size_after_a_lost_answer_is_resolved_by_reading_the_chunk() {
    let mut w = world_with_machines(40);
    lose_answer_before_limits_fall(&mut w, true);
    w.settle();
    assert!(!steps_down(&w));
    assert_first_attempts_complete(w);
}

/// Guards against `ran_twice` after a failover: the store had accepted the first copy before its
/// limits fell, and executed it after the records that replaced it. The term ends instead, so that
/// no copy can be executed any more.
#[test]
fn late_copy_of_a_transaction_that_became_too_large_changes_nothing() {
    let mut w = world_with_machines(40);
    let transaction = lose_answer_before_limits_fall(&mut w, false);
    w.execute_commands();
    w.tick();
    if steps_down(&w) {
        w.take_over();
        w.send_all_heartbeats();
        w.send_all_heartbeats();
    }
    w.settle();
    let limits = w.store.limits.take();
    let outcome = w.store.apply(&transaction);
    w.store.limits = limits;
    assert!(matches!(outcome, TransactionOutcome::Conflict { .. }), "{outcome:?}");
    assert_new_leader_knows_placed_tasks(&mut w);
    assert_first_attempts_complete(w);
}

#[test]
fn newest_record_of_a_task_counts_whether_chunk_or_part() {
    let mut w = World::new(&[("n-1", "a")]);
    w.submit_in_chunks(JOB, &JobSpec { cpus: 0.1, ..spec(4) }, OLD_CHUNK_SIZE);
    let put = |w: &mut World, key: String, records: serde_json::Value| {
        w.store.put(&key, json!({"w": "x", "t": records}));
    };
    put(&mut w, keys::part(JOB, 0, 2), json!([[5, 1], [0, 7]]));
    put(&mut w, keys::run(JOB, 0), json!([0, [2, 3, "n-1", 1, 0], [5, 1], [0, 8]]));
    put(&mut w, keys::part(JOB, 0, 0), json!([[5, 2], [5, 3]]));
    // Records of an unknown job, with a malformed key or value, or beyond the job's tasks. They
    // must be skipped without a panic.
    for (key, value) in [
        ("run/req-000009/00000", json!({"t": []})),
        ("run/req-000001/00000.x", json!({"t": []})),
        ("run/req-000001/00000.000900", json!({"t": [0]})),
        ("run/req-000001/00009", json!({"t": [0]})),
        ("run/req-000001/00000.000003", json!(7)),
    ] {
        w.store.put(key, value);
    }
    let unreadable = w.leader.load_chunks(w.now, &w.store.key_values(keys::RUN));
    assert_eq!(unreadable.len(), 5, "{unreadable:?}");
    let tasks = &w.leader.cluster.job(w.leader.cluster.jobs_by_name[JOB]).expect("job").tasks;
    let seen: Vec<(TaskPhase, Attempt)> = tasks.iter().map(|t| (t.phase, t.attempt)).collect();
    let done = TaskPhase::Done;
    assert_eq!(
        seen,
        [
            (done, Attempt(2)),
            (done, Attempt(3)),
            (done, Attempt(1)),
            (TaskPhase::Pending, Attempt(8))
        ]
    );
}

#[test]
fn chunks_sized_for_the_lowered_limits_fit_them() {
    let mut w = world_with_machines(70);
    w.submit_in_chunks(
        JOB,
        &spec(200),
        walnutlug_scheduler::storage::records::chunk_size(LOWERED_LIMITS.0),
    );
    w.store.limits = Some(LOWERED_LIMITS);
    w.leader.set_limits(TransactionLimits { value_bytes: 8_192, operations: LOWERED_LIMITS.1 });
    w.run_to_completion();
    assert_eq!(w.end(JOB), Some(&json!("done")));
}
