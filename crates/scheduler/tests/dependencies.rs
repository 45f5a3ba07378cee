//! Dependencies between jobs: a job starts only after the stored ends of its dependencies are
//! `done`, and a cancellation ends all dependents, across failovers and lost messages.

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

fn depending_on(dependencies: &[&str]) -> JobSpec {
    JobSpec { dependencies: dependencies.iter().map(|n| (*n).to_owned()).collect(), ..spec(1) }
}

fn name(i: usize) -> String {
    format!("req-{i:06}")
}

/// A job of one task whose task is finished but whose end isn't written yet, and a second job that
/// depends on it.
fn job_before_its_end() -> World {
    let mut w = one_machine();
    w.submit(FIRST, &spec(1));
    w.submit(SECOND, &depending_on(&[FIRST]));
    w.settle();
    w.finish("n-1", "req-000001/0");
    w.send_all_heartbeats();
    w
}

fn take_looked_up_names(w: &mut World) -> Vec<String> {
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
fn a_job_is_released_as_soon_as_the_end_of_its_dependency_is_committed() {
    let mut w = job_before_its_end();
    // All tasks are reported as finished; the job's end isn't written yet.
    w.tick();
    let (id, transaction) = w.take_commit();
    assert!(transaction.operations.len() == 1 && w.leader.queue(w.now).is_empty());
    let outcome = w.store.apply(&transaction);
    w.leader.transaction_answered(w.now, id, outcome);
    assert_eq!(w.leader.queue(w.now).len(), 1, "released by the commit");
    w.run_to_completion();
    assert_eq!(w.end(SECOND), Some(&json!("done")));
    assert!(!w.store.keys.keys().any(|k| k.starts_with("run/") || k.starts_with("todo")));
}

/// The answer to the commit is lost: the end may be stored or not, and only reading it tells.
#[test]
fn a_commit_of_unknown_outcome_releases_no_job() {
    let mut w = job_before_its_end();
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
    assert!(w.leader.queue(w.now).is_empty(), "a conflict does not tell how the job ended");
    assert_eq!(take_looked_up_names(&mut w), [FIRST]);
    w.leader.job_ends_found(w.now, &[(FIRST.to_owned(), JobEndLookup::Ended(JobEnd::Done))]);
    assert_eq!(w.leader.queue(w.now).len(), 1);
}

#[test]
fn an_end_of_unknown_kind_releases_no_job() {
    let mut w = one_machine();
    w.submit(FIRST, &spec(1));
    w.submit(SECOND, &depending_on(&[FIRST]));
    w.leader.mark_job_ended(w.now, FIRST);
    w.settle();
    assert!(w.places().is_empty() && w.leader.queue(w.now).is_empty());
}

#[test]
fn a_released_job_stays_released_across_a_failover_after_its_dependency_was_deleted() {
    let mut w = job_before_its_end();
    w.settle();
    w.send_all_heartbeats();
    w.settle();
    assert!(
        !w.store.keys.contains_key(&keys::todo(FIRST)),
        "the records of the dependency are deleted"
    );
    assert_eq!(w.places().len(), 1, "the dependent job runs");
    w.take_over();
    w.send_all_heartbeats();
    assert!(w.leader.queue(w.now).is_empty());
    w.run_to_completion();
    assert_eq!(w.end(SECOND), Some(&json!("done")));
    assert_eq!(w.places().len(), 0);
}

#[test]
fn a_new_leader_releases_no_job_until_the_ends_are_read() {
    let mut w = one_machine();
    w.store.put(&keys::job(FIRST), json!(1));
    w.submit(SECOND, &depending_on(&[FIRST]));
    w.take_over();
    w.send_all_heartbeats();
    w.send_all_heartbeats();
    assert_eq!(take_looked_up_names(&mut w), [FIRST]);
    w.leader.job_ends_found(w.now, &[]);
    w.wait(1_000);
    assert_eq!(
        take_looked_up_names(&mut w),
        [FIRST],
        "names without an answer are looked up again"
    );
    w.leader.job_ends_found(w.now, &[(FIRST.to_owned(), JobEndLookup::Open)]);
    w.run_to_completion();
    assert!(w.places().is_empty() && w.end(SECOND).is_none());
    // The job isn't in the registry, so no commit of this leader reports its end; the watch or the
    // next reload does.
    assert_eq!(w.leader.open_dependencies(), [FIRST]);
    w.store.put(&keys::end(FIRST), json!("done"));
    w.leader.job_ended(w.now, FIRST, JobEnd::Done);
    w.run_to_completion();
    assert_eq!(w.end(SECOND), Some(&json!("done")));
}

/// A cancellation continues from the store alone: a new leader takes over after each of its
/// transactions.
#[test]
fn a_cancellation_ends_the_whole_chain_across_failovers() {
    for answered in [true, false] {
        let mut w = one_machine();
        w.submit(&name(0), &spec(1));
        for i in 1..40 {
            w.submit(&name(i), &depending_on(&[&name(i - 1)]));
        }
        w.settle();
        w.cancel_job(&name(0));
        let open = |w: &World| (0..40).filter(|&i| w.end(&name(i)).is_none()).count();
        let mut leaders = 0;
        while open(&w) > 0 {
            w.tick();
            // The ends are written before anything else, as many at once as the limits allow.
            let before = open(&w);
            // A new leader deletes other records until it has read the ends; after that the ends go
            // first.
            w.commands.retain(|c| match c {
                Command::Commit { transaction, .. } => {
                    transaction.compares.iter().any(|g| g.key.starts_with(keys::END))
                }
                _ => true,
            });
            let commit = w.commands.iter().position(|c| matches!(c, Command::Commit { .. }));
            if commit.is_some() {
                let (id, transaction) = w.take_commit();
                let outcome = w.store.apply(&transaction);
                assert_eq!(before - open(&w), 12.min(before), "{transaction:?}");
                if answered {
                    w.leader.transaction_answered(w.now, id, outcome);
                }
            }
            w.take_over();
            w.send_all_heartbeats();
            let names = take_looked_up_names(&mut w);
            let found = w.store.ends(&names);
            w.leader.job_ends_found(w.now, &found);
            leaders += 1;
            assert!(leaders < 10, "{} are still open", open(&w));
        }
        w.run_to_completion();
        for i in 0..40 {
            assert_eq!(w.end(&name(i)), Some(&json!("aborted")), "{i}");
        }
        assert!(!w.store.keys.keys().any(|k| k.starts_with("todo")), "all records are deleted");
    }
}

/// The job is accepted while its dependency is being cancelled, and reaches the leader only after
/// the dependency's records were deleted.
#[test]
fn a_job_accepted_after_its_dependency_was_cancelled_is_cancelled() {
    let mut w = one_machine();
    w.submit(FIRST, &spec(1));
    w.settle();
    w.cancel_job(FIRST);
    w.run_to_completion();
    assert!(!w.store.keys.contains_key(&keys::todo(FIRST)));
    w.submit(SECOND, &depending_on(&[FIRST]));
    w.submit("req-000003", &depending_on(&[SECOND]));
    w.run_to_completion();
    assert_eq!(w.end(SECOND), Some(&json!("aborted")));
    assert_eq!(w.end("req-000003"), Some(&json!("aborted")));
}

#[test]
fn a_cancellation_after_the_end_does_not_affect_dependents() {
    let mut w = job_before_its_end();
    w.settle();
    assert_eq!(w.end(FIRST), Some(&json!("done")));
    // The user is told the end as it is stored.
    w.leader.job_ended(w.now, FIRST, JobEnd::Done);
    w.run_to_completion();
    assert_eq!(w.end(SECOND), Some(&json!("done")));
}

/// A user's request wrote one of several ends first: the others are written all the same.
#[test]
fn an_end_written_by_a_user_does_not_hold_up_the_other_ends() {
    let mut w = one_machine();
    w.submit(FIRST, &spec(1));
    for i in 2..6 {
        w.submit(&name(i), &depending_on(&[FIRST]));
    }
    w.settle();
    w.cancel_job(FIRST);
    w.store.put(&keys::end(&name(3)), json!("aborted"));
    w.run_to_completion();
    for i in 2..6 {
        assert_eq!(w.end(&name(i)), Some(&json!("aborted")), "{i}");
    }
}

#[test]
fn a_job_inherits_priority_and_deadline_from_its_dependents() {
    let mut w = one_machine();
    let step = JobSpec { priority: Priority::Low, deadline_s: None, ..spec(1) };
    w.submit(FIRST, &step);
    w.submit(SECOND, &JobSpec { dependencies: vec![FIRST.into()], ..step.clone() });
    let priority_and_slack = |w: &World| {
        let job =
            w.leader.cluster.job(w.leader.cluster.jobs_by_name[FIRST]).expect("the first step");
        (job.priority, w.leader.queue_key(w.now, job).slack)
    };
    let (priority, own_slack) = priority_and_slack(&w);
    assert_eq!(priority, Priority::Low);
    let last =
        JobSpec { priority: Priority::High, deadline_s: Some(100.0), ..depending_on(&[SECOND]) };
    w.submit("req-000003", &last);
    let (priority, inherited_slack) = priority_and_slack(&w);
    assert_eq!(priority, Priority::High);
    // 100 s less three runs of 10 s; two of them are of later jobs, which take some time more.
    assert!(
        (50.0..70.0).contains(&inherited_slack) && own_slack > 1_000.0,
        "{inherited_slack} {own_slack}"
    );
    // A job with a tighter deadline depends on the same job, and is then cancelled.
    w.submit("req-000004", &JobSpec { deadline_s: Some(60.0), ..last.clone() });
    assert!(priority_and_slack(&w).1 < inherited_slack - 35.0);
    w.cancel_job("req-000004");
    assert!((priority_and_slack(&w).1 - inherited_slack).abs() < 0.5);
    w.cancel_job("req-000003");
    assert_eq!(
        (priority_and_slack(&w).0, priority_and_slack(&w).1 > 1_000.0),
        (Priority::Low, true)
    );
}

/// After a failover the jobs of a chain are loaded in the order of their names, which is arbitrary.
#[test]
fn inherited_priorities_are_restored_after_a_failover_in_any_load_order() {
    for names in
        [["req-1", "req-2", "req-3"], ["req-3", "req-2", "req-1"], ["req-2", "req-3", "req-1"]]
    {
        let mut w = World::new(&[]);
        let step = JobSpec { priority: Priority::Low, deadline_s: None, ..spec(1) };
        w.submit(names[0], &step);
        w.submit(names[1], &JobSpec { dependencies: vec![names[0].into()], ..step.clone() });
        let dependencies = vec![names[1].into()];
        w.submit(names[2], &JobSpec { priority: Priority::High, dependencies, ..spec(1) });
        let inherited = |w: &World| {
            let job = |n: &str| {
                w.leader.cluster.job(w.leader.cluster.jobs_by_name[n]).cloned().expect("job")
            };
            names.map(|n| (job(n).priority, job(n).effective_deadline.map(|d| d.chain_s.round())))
        };
        let before = inherited(&w);
        assert!(before.iter().all(|s| s.0 == Priority::High), "{before:?}");
        w.take_over();
        assert_eq!(inherited(&w), before, "{names:?}");
    }
}

#[test]
fn blocked_jobs_are_not_queued_and_request_no_machines() {
    let mut w = World::new(&[]);
    w.store.put(&keys::job(FIRST), json!(1));
    let large = JobSpec { tasks: 60, deadline_s: Some(5.0), ..depending_on(&[FIRST]) };
    w.submit(SECOND, &large);
    w.settle();
    w.wait(60_000);
    w.leader.autoscale(w.now);
    let requests_machines = |w: &mut World| {
        let commands = w.leader.take_commands();
        commands.iter().any(|c| matches!(c, Command::ScaleOut { .. }))
    };
    assert!(!requests_machines(&mut w) && w.leader.queue(w.now).is_empty());
    w.leader.job_ended(w.now, FIRST, JobEnd::Done);
    let queue = w.leader.queue(w.now);
    assert_eq!(queue.len(), 1);
    assert_eq!(queue[0].0.ready_at, w.now, "its wait counts from its release");
    w.wait(1_000);
    w.leader.autoscale(w.now);
    assert!(requests_machines(&mut w));
}

#[test]
fn a_dependency_that_was_never_submitted_blocks_the_job_and_is_logged_once() {
    let mut w = one_machine();
    w.submit(SECOND, &depending_on(&[FIRST]));
    let mut log_count = 0;
    for _ in 0..5 {
        let names = take_looked_up_names(&mut w);
        let found = w.store.ends(&names);
        w.leader.job_ends_found(w.now, &found);
        let commands = w.leader.take_commands();
        let is_log_entry = |c: &&Command| {
            matches!(
                c,
                Command::Log(Event::Anomaly { kind: Anomaly::DependencyNeverSubmitted, .. })
            )
        };
        log_count += commands.iter().filter(is_log_entry).count();
        w.wait(1_000);
    }
    assert_eq!(log_count, 1);
    assert!(w.places().is_empty());
    w.cancel_job(SECOND);
    w.run_to_completion();
    assert!(!w.store.keys.contains_key(&keys::description(SECOND, true)));
}

#[test]
fn jobs_in_a_dependency_cycle_never_run_and_can_be_cancelled() {
    let mut w = one_machine();
    w.submit(FIRST, &depending_on(&[SECOND]));
    w.submit(SECOND, &depending_on(&[FIRST, SECOND]));
    w.run_to_completion();
    assert!(w.places().is_empty());
    w.cancel_job(FIRST);
    w.run_to_completion();
    assert_eq!(w.end(SECOND), Some(&json!("aborted")));
}

#[test]
fn long_wide_and_diamond_shaped_dependency_graphs_work() {
    let mut w = one_machine();
    // A chain of hundreds of jobs, whose last one gives its priority to the first.
    w.submit(&name(0), &spec(1));
    for i in 1..600 {
        w.submit(&name(i), &JobSpec { deadline_s: None, ..depending_on(&[&name(i - 1)]) });
    }
    w.submit(&name(600), &JobSpec { priority: Priority::Prod, ..depending_on(&[&name(599)]) });
    assert_eq!(
        w.leader.cluster.job(w.leader.cluster.jobs_by_name[&name(0)]).map(|j| j.priority),
        Some(Priority::Prod)
    );
    // Thousands of jobs that depend on one, and one that depends on many of them.
    w.submit(&name(1_000), &spec(1));
    for i in 2_000..5_000 {
        w.submit(&name(i), &depending_on(&[&name(1_000)]));
    }
    let many: Vec<String> = (2_000..2_064).map(name).collect();
    let many: Vec<&str> = many.iter().map(String::as_str).collect();
    w.submit(&name(5_000), &depending_on(&many));
    // A sequence of diamonds, with 2^20 paths through it.
    w.submit(&name(6_000), &spec(1));
    for i in 0..20 {
        let top = name(6_000 + 3 * i);
        let (left, right) = (name(6_001 + 3 * i), name(6_002 + 3 * i));
        w.submit(&left, &depending_on(&[&top]));
        w.submit(&right, &depending_on(&[&top]));
        w.submit(&name(6_003 + 3 * i), &depending_on(&[&left, &right]));
    }
    for first in [0, 1_000, 6_000] {
        w.cancel_job(&name(first));
    }
    for _ in 0..60 {
        w.settle();
    }
    for i in [600, 4_999, 5_000, 6_060] {
        assert_eq!(w.end(&name(i)), Some(&json!("aborted")), "{i}");
    }
}
