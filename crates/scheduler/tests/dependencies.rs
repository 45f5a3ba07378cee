//! Job chains: nothing begins before what it needs is done by its stored end, and what stands behind a
//! cancelled job ends with it, whoever leads and whatever is lost.

mod world;

use serde_json::json;
use walnutlug_scheduler::command::{Command, TransactionOutcome};
use walnutlug_scheduler::event::{Anomaly, Event};
use walnutlug_scheduler::model::job_spec::{JobEnd, JobSpec, Priority};
use walnutlug_scheduler::queue::dependencies::JobEndLookup;
use walnutlug_scheduler::storage::keys;
use world::{one_machine, spec, World};

const FIRST: &str = "req-000001";
const SECOND: &str = "req-000002";

fn after(dependencies: &[&str]) -> JobSpec {
    JobSpec { dependencies: dependencies.iter().map(|n| (*n).to_owned()).collect(), ..spec(1) }
}

fn name(i: usize) -> String {
    format!("req-{i:06}")
}

/// A job of one task that is done but for its end, and another that needs it.
fn before_the_end() -> World {
    let mut w = one_machine();
    w.submit(FIRST, &spec(1));
    w.submit(SECOND, &after(&[FIRST]));
    w.settle();
    w.finish("n-1", "req-000001/0");
    w.all_report();
    w
}

fn asked(w: &mut World) -> Vec<String> {
    w.tick();
    let mut names = Vec::new();
    w.commands.retain(|c| match c {
        Command::FindJobEnds { names: found } => {
            names.clone_from(found);
            false
        }
        _ => true,
    });
    names
}

#[test]
fn a_job_begins_in_the_turn_in_which_the_end_of_its_need_is_committed() {
    let mut w = before_the_end();
    // All its tasks are finished, by report; their end is not written yet.
    w.tick();
    let (id, transaction) = w.take_commit();
    assert!(transaction.operations.len() == 1 && w.leader.queue(w.now).is_empty());
    let outcome = w.store.apply(&transaction);
    w.leader.transaction_answered(w.now, id, outcome);
    assert_eq!(w.leader.queue(w.now).len(), 1, "released at once");
    w.run_out();
    assert_eq!(w.end(SECOND), Some(&json!("done")));
    assert!(!w.store.keys.keys().any(|k| k.starts_with("run/") || k.starts_with("todo")));
}

/// The commit's answer is lost: the end may be stored or not, and only reading it tells.
#[test]
fn a_commit_in_doubt_releases_nothing() {
    let mut w = before_the_end();
    w.tick();
    let (id, transaction) = w.take_commit();
    w.store.apply(&transaction);
    w.leader.transaction_answered(w.now, id, TransactionOutcome::Indeterminate);
    w.wait(2_000);
    w.tick();
    assert!(w.leader.queue(w.now).is_empty());
    let (id, transaction) = w.take_commit();
    let outcome = w.store.apply(&transaction);
    assert!(matches!(outcome, TransactionOutcome::Conflict { .. }));
    w.leader.transaction_answered(w.now, id, outcome);
    assert!(w.leader.queue(w.now).is_empty(), "that it ended doesn't tell how");
    assert_eq!(asked(&mut w), [FIRST]);
    w.leader.job_ends_found(w.now, &[(FIRST.to_owned(), JobEndLookup::Ended(JobEnd::Done))]);
    assert_eq!(w.leader.queue(w.now).len(), 1);
}

#[test]
fn that_a_job_is_over_for_some_reason_releases_nothing() {
    let mut w = one_machine();
    w.submit(FIRST, &spec(1));
    w.submit(SECOND, &after(&[FIRST]));
    w.leader.mark_job_ended(w.now, FIRST);
    w.settle();
    assert!(w.places().is_empty() && w.leader.queue(w.now).is_empty());
}

#[test]
fn a_take_over_knows_released_jobs_anew_when_the_records_before_are_gone() {
    let mut w = before_the_end();
    w.settle();
    w.all_report();
    w.settle();
    assert!(!w.store.keys.contains_key(&keys::todo(FIRST)), "cleaned up");
    assert_eq!(w.places().len(), 1, "the second runs");
    w.take_over();
    w.all_report();
    assert!(w.leader.queue(w.now).is_empty());
    w.run_out();
    assert_eq!(w.end(SECOND), Some(&json!("done")));
    assert_eq!(w.places().len(), 0);
}

#[test]
fn a_take_over_holds_what_waits_until_the_ends_are_read() {
    let mut w = one_machine();
    w.store.put(&keys::job(FIRST), json!(1));
    w.submit(SECOND, &after(&[FIRST]));
    w.take_over();
    w.all_report();
    w.all_report();
    assert_eq!(asked(&mut w), [FIRST]);
    w.leader.job_ends_found(w.now, &[]);
    w.wait(1_000);
    assert_eq!(asked(&mut w), [FIRST], "what was not answered is asked again");
    w.leader.job_ends_found(w.now, &[(FIRST.to_owned(), JobEndLookup::Open)]);
    w.run_out();
    assert!(w.places().is_empty() && w.end(SECOND).is_none());
    // Not in the registry, so no commit of this leader's tells; the watch or the next reading does.
    assert_eq!(w.leader.open_dependencies(), [FIRST]);
    w.store.put(&keys::end(FIRST), json!("done"));
    w.leader.job_ended(w.now, FIRST, JobEnd::Done);
    w.run_out();
    assert_eq!(w.end(SECOND), Some(&json!("done")));
}

/// A cancellation goes on from the store alone: a new leader after each of its transactions.
#[test]
fn a_cancelled_chain_ends_at_every_depth_whoever_leads() {
    for answered in [true, false] {
        let mut w = one_machine();
        w.submit(&name(0), &spec(1));
        for i in 1..40 {
            w.submit(&name(i), &after(&[&name(i - 1)]));
        }
        w.settle();
        w.withdraw(&name(0));
        let open = |w: &World| (0..40).filter(|&i| w.end(&name(i)).is_none()).count();
        let mut turns = 0;
        while open(&w) > 0 {
            w.tick();
            // Before any other write, and as many at once as the limits allow.
            let before = open(&w);
            // A new leader cleans up until it has read the ends; then nothing goes before them.
            w.commands.retain(|c| match c {
                Command::Commit { transaction, .. } => {
                    transaction.compares.iter().any(|g| g.key.starts_with(keys::END))
                }
                _ => true,
            });
            let at = w.commands.iter().position(|c| matches!(c, Command::Commit { .. }));
            if at.is_some() {
                let (id, transaction) = w.take_commit();
                let outcome = w.store.apply(&transaction);
                assert_eq!(before - open(&w), 12.min(before), "{transaction:?}");
                if answered {
                    w.leader.transaction_answered(w.now, id, outcome);
                }
            }
            w.take_over();
            w.all_report();
            let names = asked(&mut w);
            let found = w.store.ends(&names);
            w.leader.job_ends_found(w.now, &found);
            turns += 1;
            assert!(turns < 10, "{} are still open", open(&w));
        }
        w.run_out();
        for i in 0..40 {
            assert_eq!(w.end(&name(i)), Some(&json!("aborted")), "{i}");
        }
        assert!(!w.store.keys.keys().any(|k| k.starts_with("todo")), "all cleaned up");
    }
}

/// Accepted while the job before it was being cancelled, and told only after that was cleaned up.
#[test]
fn a_job_accepted_behind_a_cancelled_one_is_cancelled() {
    let mut w = one_machine();
    w.submit(FIRST, &spec(1));
    w.settle();
    w.withdraw(FIRST);
    w.run_out();
    assert!(!w.store.keys.contains_key(&keys::todo(FIRST)));
    w.submit(SECOND, &after(&[FIRST]));
    w.submit("req-000003", &after(&[SECOND]));
    w.run_out();
    assert_eq!(w.end(SECOND), Some(&json!("aborted")));
    assert_eq!(w.end("req-000003"), Some(&json!("aborted")));
}

#[test]
fn a_cancellation_that_came_after_the_end_leaves_the_rest_to_go_on() {
    let mut w = before_the_end();
    w.settle();
    assert_eq!(w.end(FIRST), Some(&json!("done")));
    // What a user is told then is the end as it is stored.
    w.leader.job_ended(w.now, FIRST, JobEnd::Done);
    w.run_out();
    assert_eq!(w.end(SECOND), Some(&json!("done")));
}

/// One of several ends was written by a user meanwhile: the others go on without it.
#[test]
fn an_end_that_a_user_wrote_first_holds_up_no_other() {
    let mut w = one_machine();
    w.submit(FIRST, &spec(1));
    for i in 2..6 {
        w.submit(&name(i), &after(&[FIRST]));
    }
    w.settle();
    w.withdraw(FIRST);
    w.store.put(&keys::end(&name(3)), json!("aborted"));
    w.run_out();
    for i in 2..6 {
        assert_eq!(w.end(&name(i)), Some(&json!("aborted")), "{i}");
    }
}

#[test]
fn a_step_has_the_priority_and_the_deadline_of_what_needs_it() {
    let mut w = one_machine();
    let step = JobSpec { priority: Priority::Low, deadline_s: None, ..spec(1) };
    w.submit(FIRST, &step);
    w.submit(SECOND, &JobSpec { dependencies: vec![FIRST.into()], ..step.clone() });
    let state = |w: &World| {
        let job =
            w.leader.cluster.job(w.leader.cluster.jobs_by_name[FIRST]).expect("the first step");
        (job.priority, w.leader.queue_key(w.now, job).slack)
    };
    let (priority, alone) = state(&w);
    assert_eq!(priority, Priority::Low);
    let last = JobSpec { priority: Priority::High, deadline_s: Some(100.0), ..after(&[SECOND]) };
    w.submit("req-000003", &last);
    let (priority, pressed) = state(&w);
    assert_eq!(priority, Priority::High);
    // 100 s less three runs of 10 s, of which two are later steps with what they take beyond.
    assert!((50.0..70.0).contains(&pressed) && alone > 1_000.0, "{pressed} {alone}");
    // A tighter one behind the same step, and its end.
    w.submit("req-000004", &JobSpec { deadline_s: Some(60.0), ..last.clone() });
    assert!(state(&w).1 < pressed - 35.0);
    w.withdraw("req-000004");
    assert!((state(&w).1 - pressed).abs() < 0.5);
    w.withdraw("req-000003");
    assert_eq!((state(&w).0, state(&w).1 > 1_000.0), (Priority::Low, true));
}

/// After a failover the steps of a chain come in the order of their names, which is any.
#[test]
fn a_take_over_knows_the_priorities_of_a_chain_in_whatever_order_it_is_read() {
    for names in
        [["req-1", "req-2", "req-3"], ["req-3", "req-2", "req-1"], ["req-2", "req-3", "req-1"]]
    {
        let mut w = World::new(&[]);
        let step = JobSpec { priority: Priority::Low, deadline_s: None, ..spec(1) };
        w.submit(names[0], &step);
        w.submit(names[1], &JobSpec { dependencies: vec![names[0].into()], ..step.clone() });
        let dependencies = vec![names[1].into()];
        w.submit(names[2], &JobSpec { priority: Priority::High, dependencies, ..spec(1) });
        let state = |w: &World| {
            let job = |n: &str| {
                w.leader.cluster.job(w.leader.cluster.jobs_by_name[n]).cloned().expect("job")
            };
            names.map(|n| (job(n).priority, job(n).effective_deadline.map(|d| d.after_s.round())))
        };
        let before = state(&w);
        assert!(before.iter().all(|s| s.0 == Priority::High), "{before:?}");
        w.take_over();
        assert_eq!(state(&w), before, "{names:?}");
    }
}

#[test]
fn what_waits_takes_no_part_in_any_decision() {
    let mut w = World::new(&[]);
    w.store.put(&keys::job(FIRST), json!(1));
    let large = JobSpec { tasks: 60, deadline_s: Some(5.0), ..after(&[FIRST]) };
    w.submit(SECOND, &large);
    w.settle();
    w.wait(60_000);
    w.leader.autoscale(w.now);
    let rents = |w: &mut World| {
        let commands = w.leader.take_commands();
        commands.iter().any(|c| matches!(c, Command::ScaleOut { .. }))
    };
    assert!(!rents(&mut w) && w.leader.queue(w.now).is_empty());
    w.leader.job_ended(w.now, FIRST, JobEnd::Done);
    let queue = w.leader.queue(w.now);
    assert_eq!(queue.len(), 1);
    assert_eq!(queue[0].0.accepted, w.now, "its times count from here");
    w.wait(1_000);
    w.leader.autoscale(w.now);
    assert!(rents(&mut w));
}

#[test]
fn a_need_that_nobody_submitted_keeps_its_job_queued_and_is_told_once() {
    let mut w = one_machine();
    w.submit(SECOND, &after(&[FIRST]));
    let mut notes = 0;
    for _ in 0..5 {
        let names = asked(&mut w);
        let found = w.store.ends(&names);
        w.leader.job_ends_found(w.now, &found);
        let commands = w.leader.take_commands();
        let told = |c: &&Command| {
            matches!(
                c,
                Command::Log(Event::Anomaly { kind: Anomaly::DependencyNeverSubmitted, .. })
            )
        };
        notes += commands.iter().filter(told).count();
        w.wait(1_000);
    }
    assert_eq!(notes, 1);
    assert!(w.places().is_empty());
    w.withdraw(SECOND);
    w.run_out();
    assert!(!w.store.keys.contains_key(&keys::description(SECOND, true)));
}

#[test]
fn records_that_name_each_other_in_a_circle_do_no_harm() {
    let mut w = one_machine();
    w.submit(FIRST, &after(&[SECOND]));
    w.submit(SECOND, &after(&[FIRST, SECOND]));
    w.run_out();
    assert!(w.places().is_empty());
    w.withdraw(FIRST);
    w.run_out();
    assert_eq!(w.end(SECOND), Some(&json!("aborted")));
}

#[test]
fn long_chains_wide_ones_and_diamonds_work() {
    let mut w = one_machine();
    // A chain of hundreds of steps, whose last presses the first.
    w.submit(&name(0), &spec(1));
    for i in 1..600 {
        w.submit(&name(i), &JobSpec { deadline_s: None, ..after(&[&name(i - 1)]) });
    }
    w.submit(&name(600), &JobSpec { priority: Priority::Prod, ..after(&[&name(599)]) });
    assert_eq!(
        w.leader.cluster.job(w.leader.cluster.jobs_by_name[&name(0)]).map(|j| j.priority),
        Some(Priority::Prod)
    );
    // Thousands behind one job, and one behind many of them.
    w.submit(&name(1_000), &spec(1));
    for i in 2_000..5_000 {
        w.submit(&name(i), &after(&[&name(1_000)]));
    }
    let many: Vec<String> = (2_000..2_064).map(name).collect();
    let many: Vec<&str> = many.iter().map(String::as_str).collect();
    w.submit(&name(5_000), &after(&many));
    // Diamonds one behind the other: 2^20 ways through them.
    w.submit(&name(6_000), &spec(1));
    for i in 0..20 {
        let top = name(6_000 + 3 * i);
        let (left, right) = (name(6_001 + 3 * i), name(6_002 + 3 * i));
        w.submit(&left, &after(&[&top]));
        w.submit(&right, &after(&[&top]));
        w.submit(&name(6_003 + 3 * i), &after(&[&left, &right]));
    }
    for first in [0, 1_000, 6_000] {
        w.withdraw(&name(first));
    }
    for _ in 0..60 {
        w.settle();
    }
    for i in [600, 4_999, 5_000, 6_060] {
        assert_eq!(w.end(&name(i)), Some(&json!("aborted")), "{i}");
    }
}
