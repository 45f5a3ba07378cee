//! The key-value store's limits fall without notice: what was kept in large chunks goes on in small
//! parts beside them, and what is stored is right after every one of the writes.

mod world;

use std::collections::BTreeSet;

use serde_json::json;
use walnutlug_scheduler::command::{Command, TransactionOutcome};
use walnutlug_scheduler::model::ids::Attempt;
use walnutlug_scheduler::model::job_spec::JobSpec;
use walnutlug_scheduler::model::task::TaskPhase;
use walnutlug_scheduler::storage::keys;
use world::{spec, World};

const JOB: &str = "req-000001";
/// As the version before made them, for values of 8 KiB.
const LARGE: u32 = 168;
const SMALL: (usize, usize) = (2_048, 4);

fn long_named(n: usize) -> World {
    let names: Vec<String> = (0..n).map(|i| format!("n-{i:06}")).collect();
    let machines: Vec<(&str, &str)> = names.iter().map(|n| (n.as_str(), "a")).collect();
    World::new(&machines)
}

fn fall(w: &mut World) {
    w.store.limits = Some(SMALL);
    w.leader.set_limits(SMALL.0, SMALL.1);
}

fn run_keys(w: &World) -> BTreeSet<String> {
    w.store.key_values(keys::RUN).into_iter().map(|p| p.key).collect()
}

/// What is stored tells of every task that is anywhere.
fn nothing_is_forgotten(w: &mut World) {
    let places = w.places();
    let live = w.take_over();
    let ix = w.leader.cluster.jobs_by_name[JOB];
    for (task, machines) in places {
        let index: usize = task.rsplit_once('/').and_then(|t| t.1.parse().ok()).expect("a task");
        let known = &w.leader.cluster.job(ix).expect("job").tasks[index];
        assert!(
            known.phase.placed() || known.phase == TaskPhase::Done,
            "{task} is on {machines:?}"
        );
    }
    drop(live);
    w.all_report();
    w.all_report();
}

#[test]
fn a_large_chunk_goes_on_in_parts_and_every_step_holds_for_a_take_over() {
    let mut w = long_named(40);
    w.submit_in_chunks(JOB, &spec(160), LARGE);
    w.settle();
    assert_eq!(w.places().len(), 160);
    assert_eq!(run_keys(&w).len(), 1);
    assert!(w.store.key_values(keys::RUN)[0].value.to_string().len() > SMALL.0);
    fall(&mut w);
    // Some finish, some are lost with their machines, each write being followed by a new leader.
    for round in 0..12 {
        let places = w.places();
        for (task, machines) in places.iter().take(13) {
            w.finish(&machines[0], task);
        }
        if round % 3 == 1 {
            let dead = format!("n-{:06}", 39 - round);
            let worker = w.workers.get_mut(&dead).expect("worker");
            worker.alive = false;
            worker.tasks.clear();
            w.leader.machine_gone(w.now, &dead);
        }
        w.all_report();
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
                nothing_is_forgotten(&mut w);
            }
        }
        w.settle();
        w.wait(6_000);
    }
    assert!(run_keys(&w).iter().any(|k| k.contains('.')), "{:?}", run_keys(&w));
    w.run_out();
    assert_eq!(w.end(JOB), Some(&json!("done")));
    assert_eq!(run_keys(&w).len(), 0, "parts go with the chunks");
    assert!(!w.store.keys.contains_key(&keys::todo(JOB)));
}

/// A refusal for size is certain: what would have been started is planned anew, at once and smaller.
#[test]
fn a_transaction_that_is_too_large_loses_no_round() {
    let mut w = long_named(40);
    w.submit_in_chunks(JOB, &spec(160), LARGE);
    w.tick();
    let (id, transaction) = w.take_commit();
    w.store.limits = Some(SMALL);
    let outcome = w.store.apply(&transaction);
    assert_eq!(outcome, TransactionOutcome::TooLarge);
    w.leader.transaction_answered(w.now, id, outcome);
    fall(&mut w);
    w.settle();
    assert_eq!(w.places().len(), 160);
    w.run_out();
    assert_eq!(w.end(JOB), Some(&json!("done")));
}

/// The first copy took effect unheard, then the limits fell: the refusal of the second says nothing of
/// the first, and only what is stored does.
#[test]
fn a_refusal_for_size_after_a_lost_answer_is_read_back() {
    for applied in [true, false] {
        let mut w = long_named(40);
        w.submit_in_chunks(JOB, &spec(160), LARGE);
        w.tick();
        let (id, transaction) = w.take_commit();
        if applied {
            w.store.apply(&transaction);
        }
        w.leader.transaction_answered(w.now, id, TransactionOutcome::Indeterminate);
        fall(&mut w);
        w.wait(1_000);
        w.tick();
        let (id, transaction) = w.take_commit();
        let outcome = w.store.apply(&transaction);
        assert_eq!(outcome, TransactionOutcome::TooLarge);
        w.leader.transaction_answered(w.now, id, outcome);
        w.tick();
        let sends =
            |c: &Command| matches!(c, Command::SendToWorker { calls, .. } if !calls.is_empty());
        assert!(!w.commands.iter().any(sends), "the outcome is open until it is read");
        w.settle();
        assert_eq!(w.places().len(), 160, "applied: {applied}");
        let ix = w.leader.cluster.jobs_by_name[JOB];
        let attempts = w.leader.cluster.job(ix).expect("job").tasks.iter().map(|t| t.attempt);
        assert_eq!(attempts.max(), Some(Attempt(1)), "applied: {applied}");
        w.run_out();
        assert_eq!(w.end(JOB), Some(&json!("done")));
    }
}

#[test]
fn of_a_chunk_and_its_parts_the_one_written_last_counts() {
    let mut w = World::new(&[("n-1", "a")]);
    w.submit_in_chunks(JOB, &JobSpec { cpus: 0.1, ..spec(4) }, LARGE);
    let put = |w: &mut World, key: String, records: serde_json::Value| {
        w.store.put(&key, json!({"w": "x", "t": records}));
    };
    put(&mut w, keys::part(JOB, 0, 2), json!([[5, 1], [0, 7]]));
    put(&mut w, keys::run(JOB, 0), json!([0, [2, 3, "n-1", 1, 0], [5, 1], [0, 8]]));
    put(&mut w, keys::part(JOB, 0, 0), json!([[5, 2], [5, 3]]));
    // Not this job's, not of this form, beyond its tasks: passed over, never a panic.
    for (key, value) in [
        ("run/req-000009/00000", json!({"t": []})),
        ("run/req-000001/00000.x", json!({"t": []})),
        ("run/req-000001/00000.000900", json!({"t": [0]})),
        ("run/req-000001/00009", json!({"t": [0]})),
        ("run/req-000001/00000.000003", json!(7)),
    ] {
        w.store.put(key, value);
    }
    let strange = w.leader.load_runs(w.now, &w.store.key_values(keys::RUN));
    assert_eq!(strange.len(), 5, "{strange:?}");
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
fn new_jobs_fit_the_smaller_limits_from_the_start() {
    let mut w = long_named(70);
    w.submit_in_chunks(JOB, &spec(200), walnutlug_scheduler::storage::records::chunk_size(SMALL.0));
    w.store.limits = Some(SMALL);
    w.leader.set_limits(8_192, SMALL.1);
    w.run_out();
    assert_eq!(w.end(JOB), Some(&json!("done")));
}
