//! Reports that say nothing new: a repetition is answered without being read, and whatever could give it
//! a meaning makes the leader read it in full.

mod world;

use walnutlug_scheduler::command::{Command, MessageOutcome};
use walnutlug_scheduler::model::ids::Attempt;
use walnutlug_scheduler::model::job_spec::JobSpec;
use walnutlug_scheduler::protocol::workers::{sequence_digits, Heartbeat, TaskState};
use walnutlug_scheduler::reconciliation::repeated_heartbeats::{CachedHeartbeat, OWN_NODE};
use walnutlug_scheduler::time::TimeDelta;
use world::{one_machine, spec, World};

const MACHINE: &str = "n-1";
const JOB: &str = "req-000001";

/// Lets the machine report, and settles the heartbeat if it left nothing to do.
fn heartbeat(w: &mut World) -> (Heartbeat, Option<CachedHeartbeat>) {
    let heartbeat = w.workers.get_mut(MACHINE).expect("worker").heartbeat();
    let (token, calls) = w.leader.heartbeat(w.now, &heartbeat).expect("an answer");
    let cached =
        calls.is_empty().then(|| w.leader.cache_heartbeat(w.now, &heartbeat, OWN_NODE)).flatten();
    w.workers.get_mut(MACHINE).expect("worker").answered(heartbeat.agent_epoch, token, &calls);
    (heartbeat, cached)
}

/// A machine with two running tasks of a job of three, whose last heartbeat left nothing to do.
fn running() -> (World, Heartbeat, CachedHeartbeat) {
    let mut w = one_machine();
    w.submit(JOB, &JobSpec { cpus: 4.0, ..spec(3) });
    w.settle();
    w.all_report();
    w.settle();
    assert_eq!(w.places().len(), 2);
    let (heartbeat, cached) = heartbeat(&mut w);
    (w, heartbeat, cached.expect("nothing is left to do"))
}

#[test]
fn a_repetition_is_answered_and_counts_as_a_report() {
    let (mut w, heartbeat, cached) = running();
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
fn a_report_that_left_something_to_do_is_not_settled() {
    type Operation = fn(&mut World);
    let cases: [(&str, Operation); 5] = [
        ("a task ended", |w| {
            let task = w.places().into_keys().next().expect("a task");
            w.finish(MACHINE, &task);
        }),
        ("a task is saving", |w| {
            let tasks = &mut w.workers.get_mut(MACHINE).expect("worker").tasks;
            tasks.values_mut().next().expect("a task").0 = TaskState::Flushing;
        }),
        ("a task is missing", |w| {
            w.workers.get_mut(MACHINE).expect("worker").tasks.pop_first();
        }),
        ("an unknown task", |w| {
            let unknown = (("req-000009/0".to_owned(), Attempt(1)), (TaskState::Running, None));
            w.workers.get_mut(MACHINE).expect("worker").tasks.extend([unknown]);
        }),
        ("a notice", |w| w.workers.get_mut(MACHINE).expect("worker").interruption_at = Some(20.0)),
    ];
    for (case, change) in cases {
        let (mut w, ..) = running();
        change(&mut w);
        assert_eq!(heartbeat(&mut w).1, None, "{case}");
    }
}

/// Each of these gives the next repetition a meaning. Taken for settled all the same, the machine's lease
/// was renewed and nothing was stopped.
#[test]
fn a_repetition_is_read_in_full_once_it_may_mean_something() {
    type Operation = fn(&mut World, &Heartbeat);
    let cases: [(&str, Operation); 9] = [
        ("the job is cancelled", |w, _| w.withdraw(JOB)),
        ("the job has ended, how isn't told", |w, _| w.leader.job_over(w.now, JOB)),
        ("another report came", |w, _| w.heartbeat(MACHINE)),
        ("a message to the machine was lost", |w, _| {
            let machine = w.leader.cluster.machines_by_name[MACHINE];
            w.leader.message_answered(w.now, machine, MessageOutcome::Indeterminate);
        }),
        ("the machine is gone", |w, _| w.leader.machine_gone(w.now, MACHINE)),
        ("cancellations may be unknown", |w, _| {
            w.cut_off = true;
            w.wait(21_000);
        }),
        ("another leader leads", |w, _| drop(w.take_over())),
        ("a task has run for long enough to count as begun", |w, _| w.wait(33_000)),
        ("a late finish of one of its tasks", |w, heartbeat| {
            let mut old = heartbeat.clone();
            old.sequence -= 1;
            old.tasks[0].state = TaskState::Exited;
            old.tasks[0].cause = Some(walnutlug_scheduler::protocol::workers::ExitReason::Done);
            w.leader.heartbeat(w.now, &old);
        }),
    ];
    for (case, change) in cases {
        let (mut w, heartbeat, cached) = running();
        change(&mut w, &heartbeat);
        assert_eq!(
            w.leader.answer_repeated_heartbeat(w.now, cached, heartbeat.sequence + 5),
            None,
            "{case}"
        );
    }
}

#[test]
fn an_older_copy_is_no_repetition() {
    let (mut w, heartbeat, cached) = running();
    assert_eq!(w.leader.answer_repeated_heartbeat(w.now, cached, heartbeat.sequence), None);
    assert!(w.leader.answer_repeated_heartbeat(w.now, cached, heartbeat.sequence + 2).is_some());
    assert_eq!(w.leader.answer_repeated_heartbeat(w.now, cached, heartbeat.sequence + 1), None);
}

/// Numbers begin anew with each term, so that those of two leaders meet.
#[test]
fn a_mark_of_another_term_is_worth_nothing() {
    let (mut w, first, cached) = running();
    w.take_over();
    w.settle();
    let mut again = None;
    while again.is_none_or(|cache_entry: CachedHeartbeat| cache_entry.number < cached.number) {
        w.wait(500);
        w.all_report();
        w.settle();
        again = heartbeat(&mut w).1;
    }
    let same_number = CachedHeartbeat { term: cached.term, ..again.expect("a mark") };
    assert_eq!(w.leader.answer_repeated_heartbeat(w.now, same_number, first.sequence + 99), None);
    assert!(w
        .leader
        .answer_repeated_heartbeat(w.now, again.expect("a mark"), first.sequence + 99)
        .is_some());
}

#[test]
fn an_idle_machine_that_is_given_back_or_gone_is_settled_no_more() {
    for gone in [true, false] {
        let mut w = one_machine();
        let (first, cached) = heartbeat(&mut w);
        let cached = cached.expect("nothing is left to do");
        if gone {
            w.leader.machine_gone(w.now, MACHINE);
        } else {
            w.leader.autoscaler.listed = true;
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
            "gone: {gone}"
        );
    }
}

/// A start that is planned or under way for the machine: its heartbeats are read until they show it.
#[test]
fn a_planned_start_unsettles_its_machine() {
    let (mut w, first, cached) = running();
    let task = w.places().into_keys().next().expect("a task");
    w.finish(MACHINE, &task);
    heartbeat(&mut w);
    assert_eq!(w.leader.answer_repeated_heartbeat(w.now, cached, first.sequence + 9), None);
    w.wait(100);
    w.leader.tick(w.now);
    let (_, cached) = heartbeat(&mut w);
    assert_eq!(cached, None, "the third task is on its way");
    w.settle();
    w.wait(TimeDelta::from_secs(1).0 / 1_000);
    w.all_report();
    w.settle();
    assert!(heartbeat(&mut w).1.is_some());
}

#[test]
fn the_sequence_number_is_found_where_it_stands_alone() {
    let found = |text: &str| sequence_digits(text.as_bytes()).map(|range| text[range].to_owned());
    assert_eq!(found(r#"{"season":1,"ring":88,"staff":41}"#).as_deref(), Some("88"));
    assert_eq!(found(r#"{"ring":7}"#).as_deref(), Some("7"));
    // Escaped inside of a string, it is no key.
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

/// What a heartbeat costs doesn't grow with the fleet: a repetition has no machine looked at, and a new
/// report its own. (Every report once woke the leader, which then looked at whatever there was.)
#[test]
fn a_report_costs_the_same_at_any_size() {
    for size in [100, 2_000] {
        let names: Vec<String> = (0..size).map(|i| format!("n-{i:04}")).collect();
        let machines: Vec<(&str, &str)> = names.iter().map(|n| (n.as_str(), "a")).collect();
        let mut w = World::new(&machines);
        w.submit(JOB, &JobSpec { cpus: 4.0, ..spec(3) });
        w.settle();
        w.all_report();
        w.settle();
        let request_in_flight = w.places().into_values().next().expect("a task")[0].clone();
        let heartbeat = w.workers.get_mut(&request_in_flight).expect("worker").heartbeat();
        w.leader.heartbeat(w.now, &heartbeat);
        let cached = w.leader.cache_heartbeat(w.now, &heartbeat, OWN_NODE).expect("a mark");
        w.leader.tick(w.now);
        for repetition in 1..=10 {
            let before = w.leader.examined.send_checks;
            w.leader
                .answer_repeated_heartbeat(w.now, cached, heartbeat.sequence + repetition)
                .expect("an answer");
            w.leader.tick(w.now);
            assert_eq!(w.leader.examined.send_checks - before, 0, "{size} machines");
        }
        let before = w.leader.examined.send_checks;
        w.finish(&request_in_flight, &heartbeat.tasks[0].task);
        w.workers.get_mut(&request_in_flight).expect("worker").sequence += 20;
        w.heartbeat(&request_in_flight);
        w.leader.tick(w.now);
        assert_eq!(w.leader.examined.send_checks - before, 1, "{size} machines");
    }
}
