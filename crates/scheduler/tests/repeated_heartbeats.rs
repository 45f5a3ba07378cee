//! Reports that say nothing new: a repetition is answered without being read, and whatever could give it
//! a meaning makes the leader read it in full.

mod world;

use walnutlug_scheduler::model::job::JobSpec;
use walnutlug_scheduler::protocol::{sequence_digits, Report, TaskStage};
use walnutlug_scheduler::reconciliation::repeated_heartbeats::{SettledReport, OWN_NODE};
use walnutlug_scheduler::scheduler::{Command, DirectOutcome};
use walnutlug_scheduler::time::Span;
use world::{one_machine, spec, World};

const MACHINE: &str = "n-1";
const JOB: &str = "req-000001";

/// Lets the machine report, and settles the report if it left nothing to do.
fn report(w: &mut World) -> (Report, Option<SettledReport>) {
    let report = w.workers.get_mut(MACHINE).expect("worker").report();
    let (token, calls) = w.leader.report(w.now, &report).expect("an answer");
    let settled =
        calls.is_empty().then(|| w.leader.settle_report(w.now, &report, OWN_NODE)).flatten();
    w.workers.get_mut(MACHINE).expect("worker").answered(report.session, token, &calls);
    (report, settled)
}

/// A machine with two running tasks of a job of three, whose last report left nothing to do.
fn running() -> (World, Report, SettledReport) {
    let mut w = one_machine();
    w.submit(JOB, &JobSpec { cpus: 4.0, ..spec(3) });
    w.settle();
    w.all_report();
    w.settle();
    assert_eq!(w.places().len(), 2);
    let (report, settled) = report(&mut w);
    (w, report, settled.expect("nothing is left to do"))
}

#[test]
fn a_repetition_is_answered_and_counts_as_a_report() {
    let (mut w, report, settled) = running();
    for n in 1..4 {
        w.wait(3_000);
        let token = w.leader.report_unchanged(w.now, settled, report.seq + n);
        assert_eq!(token, Some(w.token_now()));
        let machine = &w.leader.machines[w.leader.by_name[MACHINE] as usize];
        assert_eq!((machine.last_report, machine.seq), (w.now, report.seq + n));
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
            tasks.values_mut().next().expect("a task").0 = TaskStage::Flushing;
        }),
        ("a task is missing", |w| {
            w.workers.get_mut(MACHINE).expect("worker").tasks.pop_first();
        }),
        ("an unknown task", |w| {
            let unknown = (("req-000009/0".to_owned(), 1), (TaskStage::Running, None));
            w.workers.get_mut(MACHINE).expect("worker").tasks.extend([unknown]);
        }),
        ("a notice", |w| w.workers.get_mut(MACHINE).expect("worker").notice = Some(20.0)),
    ];
    for (case, change) in cases {
        let (mut w, ..) = running();
        change(&mut w);
        assert_eq!(report(&mut w).1, None, "{case}");
    }
}

/// Each of these gives the next repetition a meaning. Taken for settled all the same, the machine's lease
/// was renewed and nothing was stopped.
#[test]
fn a_repetition_is_read_in_full_once_it_may_mean_something() {
    type Operation = fn(&mut World, &Report);
    let cases: [(&str, Operation); 9] = [
        ("the job is cancelled", |w, _| w.withdraw(JOB)),
        ("the job has ended, how isn't told", |w, _| w.leader.job_over(w.now, JOB)),
        ("another report came", |w, _| w.report(MACHINE)),
        ("a message to the machine was lost", |w, _| {
            let machine = w.leader.by_name[MACHINE];
            w.leader.direct_answer(w.now, machine, DirectOutcome::Lost);
        }),
        ("the machine is gone", |w, _| w.leader.machine_gone(w.now, MACHINE)),
        ("cancellations may be unknown", |w, _| {
            w.cut_off = true;
            w.wait(21_000);
        }),
        ("another leader leads", |w, _| drop(w.take_over())),
        ("a task has run for long enough to count as begun", |w, _| w.wait(33_000)),
        ("a late finish of one of its tasks", |w, report| {
            let mut old = report.clone();
            old.seq -= 1;
            old.tasks[0].state = TaskStage::Exited;
            old.tasks[0].cause = Some(walnutlug_scheduler::protocol::Cause::Done);
            w.leader.report(w.now, &old);
        }),
    ];
    for (case, change) in cases {
        let (mut w, report, settled) = running();
        change(&mut w, &report);
        assert_eq!(w.leader.report_unchanged(w.now, settled, report.seq + 5), None, "{case}");
    }
}

#[test]
fn an_older_copy_is_no_repetition() {
    let (mut w, report, settled) = running();
    assert_eq!(w.leader.report_unchanged(w.now, settled, report.seq), None);
    assert!(w.leader.report_unchanged(w.now, settled, report.seq + 2).is_some());
    assert_eq!(w.leader.report_unchanged(w.now, settled, report.seq + 1), None);
}

/// Numbers begin anew with each term, so that those of two leaders meet.
#[test]
fn a_mark_of_another_term_is_worth_nothing() {
    let (mut w, first, settled) = running();
    w.take_over();
    w.settle();
    let mut again = None;
    while again.is_none_or(|mark: SettledReport| mark.number < settled.number) {
        w.wait(500);
        w.all_report();
        w.settle();
        again = report(&mut w).1;
    }
    let same_number = SettledReport { term: settled.term, ..again.expect("a mark") };
    assert_eq!(w.leader.report_unchanged(w.now, same_number, first.seq + 99), None);
    assert!(w.leader.report_unchanged(w.now, again.expect("a mark"), first.seq + 99).is_some());
}

#[test]
fn an_idle_machine_that_is_given_back_or_gone_is_settled_no_more() {
    for gone in [true, false] {
        let mut w = one_machine();
        let (first, settled) = report(&mut w);
        let settled = settled.expect("nothing is left to do");
        if gone {
            w.leader.machine_gone(w.now, MACHINE);
        } else {
            w.leader.fleet.listed = true;
            let returned = |c: &Command| matches!(c, Command::Return { .. });
            while !w.commands.iter().any(returned) {
                w.wait(1_000);
                w.leader.heard_unchanged(w.now, settled, first.seq + w.now.0);
                w.leader.look_at_fleet(w.now);
                w.commands.extend(w.leader.take_commands());
            }
        }
        assert_eq!(w.leader.report_unchanged(w.now, settled, u64::MAX), None, "gone: {gone}");
    }
}

/// A start that is planned or under way for the machine: its reports are read until they show it.
#[test]
fn a_planned_start_unsettles_its_machine() {
    let (mut w, first, settled) = running();
    let task = w.places().into_keys().next().expect("a task");
    w.finish(MACHINE, &task);
    report(&mut w);
    assert_eq!(w.leader.report_unchanged(w.now, settled, first.seq + 9), None);
    w.wait(100);
    w.leader.tick(w.now);
    let (_, settled) = report(&mut w);
    assert_eq!(settled, None, "the third task is on its way");
    w.settle();
    w.wait(Span::secs(1).0 / 1_000);
    w.all_report();
    w.settle();
    assert!(report(&mut w).1.is_some());
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

/// What a report costs doesn't grow with the fleet: a repetition has no machine looked at, and a new
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
        let busy = w.places().into_values().next().expect("a task")[0].clone();
        let report = w.workers.get_mut(&busy).expect("worker").report();
        w.leader.report(w.now, &report);
        let settled = w.leader.settle_report(w.now, &report, OWN_NODE).expect("a mark");
        w.leader.tick(w.now);
        for repetition in 1..=10 {
            let before = w.leader.looked_at_to_send;
            w.leader.report_unchanged(w.now, settled, report.seq + repetition).expect("an answer");
            w.leader.tick(w.now);
            assert_eq!(w.leader.looked_at_to_send - before, 0, "{size} machines");
        }
        let before = w.leader.looked_at_to_send;
        w.finish(&busy, &report.tasks[0].task);
        w.workers.get_mut(&busy).expect("worker").seq += 20;
        w.report(&busy);
        w.leader.tick(w.now);
        assert_eq!(w.leader.looked_at_to_send - before, 1, "{size} machines");
    }
}
