//! Tests of heartbeats without new information: a repetition is answered from the cache, and any
//! apply_change that could make it relevant causes it to be processed in full.

mod world;

use walnutlug_scheduler::command::{Command, MessageOutcome};
use walnutlug_scheduler::model::ids::Attempt;
use walnutlug_scheduler::model::job_spec::JobSpec;
use walnutlug_scheduler::protocol::workers::{sequence_digits, Heartbeat, TaskState};
use walnutlug_scheduler::reconciliation::heartbeat_cache::{CachedHeartbeat, OWN_NODE};
use walnutlug_scheduler::reconciliation::heartbeats::HeartbeatAnswer;
use walnutlug_scheduler::time::TimeDelta;
use world::{one_machine, spec, World};

const MACHINE: &str = "n-1";
const JOB: &str = "req-000001";

/// Lets the machine send a heartbeat, and caches it if it required no action.
fn send_and_cache_heartbeat(w: &mut World) -> (Heartbeat, Option<CachedHeartbeat>) {
    let heartbeat = w.workers.get_mut(MACHINE).expect("worker").heartbeat();
    let HeartbeatAnswer { token, commands: calls } =
        w.leader.handle_heartbeat(w.now, &heartbeat).expect("the heartbeat is answered");
    let cached =
        calls.is_empty().then(|| w.leader.cache_heartbeat(w.now, &heartbeat, OWN_NODE)).flatten();
    w.workers.get_mut(MACHINE).expect("worker").receive_heartbeat_response(
        heartbeat.agent_epoch,
        token,
        &calls,
    );
    (heartbeat, cached)
}

/// Creates a machine with two world_with_cached_heartbeat tasks of a job of three, whose last heartbeat is cached.
fn world_with_cached_heartbeat() -> (World, Heartbeat, CachedHeartbeat) {
    let mut w = one_machine();
    w.submit(JOB, &JobSpec { cpus: 4.0, ..spec(3) });
    w.settle();
    w.send_all_heartbeats();
    w.settle();
    assert_eq!(w.places().len(), 2);
    let (heartbeat, cached) = send_and_cache_heartbeat(&mut w);
    (w, heartbeat, cached.expect("the heartbeat is cached"))
}

#[test]
fn a_repetition_is_answered_from_the_cache_and_recorded_as_a_heartbeat() {
    let (mut w, heartbeat, cached) = world_with_cached_heartbeat();
    for n in 1..4 {
        w.wait(3_000);
        let token = w.leader.answer_repeated_heartbeat(w.now, cached, heartbeat.sequence + n);
        assert_eq!(token, Some(w.token_now()));
        let machine = &w.leader.cluster.machines[w.leader.cluster.machines_by_name[MACHINE]];
        assert_eq!((machine.last_heartbeat, machine.sequence), (w.now, heartbeat.sequence + n));
    }
    assert!(w.leader.take_commands().is_empty());
}

#[test]
fn a_heartbeat_that_requires_an_action_is_not_cached() {
    type Operation = fn(&mut World);
    let cases: [(&str, Operation); 5] = [
        ("a task ended", |w| {
            let task = w.places().into_keys().next().expect("a task");
            w.finish(MACHINE, &task);
        }),
        ("a task is saving its checkpoint", |w| {
            let tasks = &mut w.workers.get_mut(MACHINE).expect("worker").tasks;
            tasks.values_mut().next().expect("a task").0 = TaskState::Flushing;
        }),
        ("a task is missing", |w| {
            w.workers.get_mut(MACHINE).expect("worker").tasks.pop_first();
        }),
        ("an unknown task is reported", |w| {
            let unknown = (("req-000009/0".to_owned(), Attempt(1)), (TaskState::Running, None));
            w.workers.get_mut(MACHINE).expect("worker").tasks.extend([unknown]);
        }),
        ("a notice", |w| w.workers.get_mut(MACHINE).expect("worker").interruption_at = Some(20.0)),
    ];
    for (case, apply_change) in cases {
        let (mut w, ..) = world_with_cached_heartbeat();
        apply_change(&mut w);
        assert_eq!(send_and_cache_heartbeat(&mut w).1, None, "{case}");
    }
}

/// Each of these changes makes the next repetition relevant. If it were still answered from the
/// cache, the machine's lease would be renewed without anything being stopped.
#[test]
fn a_repetition_is_not_answered_from_the_cache_after_a_relevant_change() {
    type Operation = fn(&mut World, &Heartbeat);
    let cases: [(&str, Operation); 9] = [
        ("the job is cancelled", |w, _| w.cancel_job(JOB)),
        ("the job has ended with an unknown outcome", |w, _| w.leader.mark_job_ended(w.now, JOB)),
        ("another heartbeat arrived", |w, _| w.heartbeat(MACHINE)),
        ("a request to the machine was lost", |w, _| {
            let machine = w.leader.cluster.machines_by_name[MACHINE];
            w.leader.message_answered(w.now, machine, MessageOutcome::Indeterminate);
        }),
        ("the machine is gone", |w, _| w.leader.machine_gone(w.now, MACHINE)),
        ("cancellations may be unknown", |w, _| {
            w.cut_off = true;
            w.wait(21_000);
        }),
        ("another leader took over", |w, _| drop(w.take_over())),
        ("a task has run long enough to count as started", |w, _| w.wait(33_000)),
        ("a late completion of one of its tasks", |w, heartbeat| {
            let mut old = heartbeat.clone();
            old.sequence -= 1;
            old.tasks[0].state = TaskState::Exited;
            old.tasks[0].cause = Some(walnutlug_scheduler::protocol::workers::ExitReason::Done);
            let _ = w.leader.handle_heartbeat(w.now, &old);
        }),
    ];
    for (case, apply_change) in cases {
        let (mut w, heartbeat, cached) = world_with_cached_heartbeat();
        apply_change(&mut w, &heartbeat);
        assert_eq!(
            w.leader.answer_repeated_heartbeat(w.now, cached, heartbeat.sequence + 5),
            None,
            "{case}"
        );
    }
}

#[test]
fn an_older_copy_of_a_heartbeat_is_not_answered_from_the_cache() {
    let (mut w, heartbeat, cached) = world_with_cached_heartbeat();
    assert_eq!(w.leader.answer_repeated_heartbeat(w.now, cached, heartbeat.sequence), None);
    assert!(w.leader.answer_repeated_heartbeat(w.now, cached, heartbeat.sequence + 2).is_some());
    assert_eq!(w.leader.answer_repeated_heartbeat(w.now, cached, heartbeat.sequence + 1), None);
}

/// Entry numbers start new_entry with each term, so the entries of two leaders may have the same
/// number.
#[test]
fn a_cache_entry_of_another_term_is_not_used() {
    let (mut w, first, cached) = world_with_cached_heartbeat();
    w.take_over();
    w.settle();
    let mut new_entry = None;
    while new_entry.is_none_or(|cache_entry: CachedHeartbeat| cache_entry.number < cached.number) {
        w.wait(500);
        w.send_all_heartbeats();
        w.settle();
        new_entry = send_and_cache_heartbeat(&mut w).1;
    }
    let same_number =
        CachedHeartbeat { term: cached.term, ..new_entry.expect("the heartbeat is cached") };
    assert_eq!(w.leader.answer_repeated_heartbeat(w.now, same_number, first.sequence + 99), None);
    assert!(w
        .leader
        .answer_repeated_heartbeat(
            w.now,
            new_entry.expect("the heartbeat is cached"),
            first.sequence + 99
        )
        .is_some());
}

#[test]
fn repetitions_of_a_returned_or_terminated_idle_machine_are_not_answered_from_the_cache() {
    for gone in [true, false] {
        let mut w = one_machine();
        let (first, cached) = send_and_cache_heartbeat(&mut w);
        let cached = cached.expect("the heartbeat is cached");
        if gone {
            w.leader.machine_gone(w.now, MACHINE);
        } else {
            w.leader.autoscaler.machine_list_read = true;
            let returned = |c: &Command| matches!(c, Command::ScaleIn { .. });
            while !w.commands.iter().any(returned) {
                w.wait(1_000);
                w.leader.record_repeated_heartbeat(w.now, cached, first.sequence + w.now.0);
                w.leader.autoscale(w.now);
                w.commands.extend(w.leader.take_commands());
            }
        }
        assert_eq!(
            w.leader.answer_repeated_heartbeat(w.now, cached, u64::MAX),
            None,
            "machine terminated: {gone}"
        );
    }
}

/// While a start for the machine is planned or in transit, its heartbeats are processed in full
/// until one of them shows the task.
#[test]
fn a_planned_start_invalidates_the_cache_entry_of_its_machine() {
    let (mut w, first, cached) = world_with_cached_heartbeat();
    let task = w.places().into_keys().next().expect("a task");
    w.finish(MACHINE, &task);
    send_and_cache_heartbeat(&mut w);
    assert_eq!(w.leader.answer_repeated_heartbeat(w.now, cached, first.sequence + 9), None);
    w.wait(100);
    w.leader.tick(w.now);
    let (_, cached) = send_and_cache_heartbeat(&mut w);
    assert_eq!(cached, None, "the start of the third task is planned");
    w.settle();
    w.wait(TimeDelta::from_secs(1).0 / 1_000);
    w.send_all_heartbeats();
    w.settle();
    assert!(send_and_cache_heartbeat(&mut w).1.is_some());
}

#[test]
fn the_sequence_number_is_found_only_as_a_single_top_level_key() {
    let found = |text: &str| sequence_digits(text.as_bytes()).map(|range| text[range].to_owned());
    assert_eq!(found(r#"{"season":1,"ring":88,"staff":41}"#).as_deref(), Some("88"));
    assert_eq!(found(r#"{"ring":7}"#).as_deref(), Some("7"));
    // An escaped quote inside a string does not start a key.
    assert_eq!(found(r#"{"tree":"\"ring\":5,","ring":8}"#).as_deref(), Some("8"));
    for text in [
        "",
        r#"{"season":1}"#,
        r#"{"ring":}"#,
        r#"{"ring":-4}"#,
        r#"{"ring":4.5}"#,
        r#"{"ring":4e3}"#,
        r#"{"ring": 4}"#,
        r#"{"ring":4"#,
        r#"{"ring":1,"x":{"ring":2}}"#,
    ] {
        assert_eq!(found(text), None, "{text}");
    }
}

/// The cost of a heartbeat must not grow with the fleet: a repetition causes no machine to be
/// checked, and a new heartbeat only its own machine. Every heartbeat used to wake the leader,
/// which then checked all machines.
#[test]
fn the_cost_of_a_heartbeat_is_independent_of_the_fleet_size() {
    for size in [100, 2_000] {
        let names: Vec<String> = (0..size).map(|i| format!("n-{i:04}")).collect();
        let machines: Vec<(&str, &str)> = names.iter().map(|n| (n.as_str(), "a")).collect();
        let mut w = World::new(&machines);
        w.submit(JOB, &JobSpec { cpus: 4.0, ..spec(3) });
        w.settle();
        w.send_all_heartbeats();
        w.settle();
        let machine_name = w.places().into_values().next().expect("a task")[0].clone();
        let heartbeat = w.workers.get_mut(&machine_name).expect("worker").heartbeat();
        let _ = w.leader.handle_heartbeat(w.now, &heartbeat);
        let cached =
            w.leader.cache_heartbeat(w.now, &heartbeat, OWN_NODE).expect("the heartbeat is cached");
        w.leader.tick(w.now);
        for repetition in 1..=10 {
            let before = w.leader.examined.send_checks;
            w.leader
                .answer_repeated_heartbeat(w.now, cached, heartbeat.sequence + repetition)
                .expect("the heartbeat is answered");
            w.leader.tick(w.now);
            assert_eq!(w.leader.examined.send_checks - before, 0, "{size} machines");
        }
        let before = w.leader.examined.send_checks;
        w.finish(&machine_name, &heartbeat.tasks[0].task);
        w.workers.get_mut(&machine_name).expect("worker").sequence += 20;
        w.heartbeat(&machine_name);
        w.leader.tick(w.now);
        assert_eq!(w.leader.examined.send_checks - before, 1, "{size} machines");
    }
}
