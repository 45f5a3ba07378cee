//! Starts, receipts and proofs, each against the failure that it guards against.

mod world;

use serde_json::json;
use walnutlug_core::book::{Command, DirectOutcome, MachineState, Outcome};
use walnutlug_core::job::{keys, JobSpec};
use walnutlug_core::task::Phase;
use walnutlug_core::time::Span;
use walnutlug_core::tunables::Site;
use walnutlug_core::wire::{Call, ListedMachine, MachineStage};
use world::{site, spec, types, World};

const JOB: &str = "req-000001";

fn one_machine() -> World {
    World::new(&[("n-1", "a")])
}

#[test]
fn a_start_is_written_before_it_is_sent() {
    let mut w = one_machine();
    w.submit(JOB, &spec(1));
    w.tick();
    let sends = |w: &World| w.commands.iter().any(|c| matches!(c, Command::Direct { .. }));
    assert!(!sends(&w));
    let (id, txn) = w.take_commit();
    assert!(txn.guards.iter().any(|g| g.key == keys::LEADER && g.mark == w.leader.term));
    assert!(txn.guards.iter().any(|g| g.key == keys::end(JOB) && g.mark == 0));
    let outcome = w.store.apply(&txn);
    assert!(w.store.keys.contains_key(&keys::run(JOB, 0)));
    w.leader.txn_answer(w.now, id, outcome);
    w.tick();
    let (_, _, _, calls) = w.take_direct();
    assert_eq!(calls, [Call::Run { task: format!("{JOB}/0"), attempt: 1 }]);
}

#[test]
fn a_job_runs_to_its_end_and_its_records_go() {
    let mut w = World::new(&[("n-1", "a"), ("n-2", "b")]);
    w.submit(JOB, &spec(6));
    w.settle();
    let places = w.places();
    assert_eq!(places.len(), 6);
    for (task, machines) in places {
        assert_eq!(machines.len(), 1);
        w.finish(&machines[0], &task);
    }
    w.all_report();
    w.settle();
    assert_eq!(w.end(JOB), Some(&json!("done")));
    w.all_report();
    w.settle();
    assert!(!w.store.keys.keys().any(|k| k.starts_with("run/") || k.starts_with("todo/")));
    assert!(w.store.keys.contains_key(&keys::job(JOB)), "acceptance is kept for ever");
    assert!(w.workers.values().all(|w| w.tasks.is_empty()), "all reaped");
}

/// The direct start is held up; a report under the same token doesn't show the task. That proves
/// nothing: the start arrives a minute later and is executed.
#[test]
fn an_absent_report_under_the_same_token_proves_nothing() {
    let mut w = World::new(&[("n-1", "a"), ("n-2", "a")]);
    let (name, (machine, token, session, calls)) = w.start_under_way(JOB);
    w.report(&name);
    w.settle();
    assert_eq!(w.phase(JOB, 0), Phase::Dispatching);
    assert!(w.places().is_empty());
    // It arrives late after all: still the only copy.
    w.deliver(machine, token, session, &calls);
    w.settle();
    assert_eq!(w.places().len(), 1);
    assert_eq!(w.phase(JOB, 0), Phase::Running);
}

/// The answer is lost. A raised fence makes the worker refuse the old message, and only a report
/// that has seen it lets the task move, under a new attempt.
#[test]
fn a_lost_start_moves_only_behind_a_raised_fence() {
    let mut w = World::new(&[("n-1", "a"), ("n-2", "a")]);
    let (name, (machine, token, session, calls)) = w.start_under_way(JOB);
    w.leader.direct_answer(w.now, machine, DirectOutcome::Lost);
    // This report's sender has not seen the new fence yet.
    let old = w.workers.get_mut(&name).expect("worker").report();
    w.leader.report(w.now, &old);
    assert_eq!(w.attempt(JOB, 0), 1);
    w.wait(2_000);
    w.settle();
    assert_eq!(w.attempt(JOB, 0), 2);
    assert_eq!(w.places().len(), 1);
    // The old message comes through at last, and is refused.
    w.workers.get_mut(&name).expect("worker").direct(token, session, &calls);
    assert!(w.places().values().all(|m| m.len() == 1));
}

/// While a start waits for the message in front of it, a raised fence and a report must not prove
/// it absent: it would then go out all the same, beside its own next attempt.
#[test]
fn a_start_that_waits_for_its_message_is_not_proven_absent() {
    let mut w = one_machine();
    w.submit(JOB, &spec(1));
    w.tick();
    let (id, txn) = w.take_commit();
    let outcome = w.store.apply(&txn);
    w.leader.txn_answer(w.now, id, outcome);
    w.leader.machines[0].fence += 1;
    w.report("n-1");
    w.report("n-1");
    assert_eq!((w.phase(JOB, 0), w.attempt(JOB, 0)), (Phase::Dispatching, 1));
    w.settle();
    assert_eq!(w.places().len(), 1);
    assert_eq!(w.attempt(JOB, 0), 1);
}

#[test]
fn an_unsent_start_to_a_new_session_is_taken_back_and_placed_anew() {
    let mut w = one_machine();
    w.submit(JOB, &spec(1));
    w.tick();
    let (id, txn) = w.take_commit();
    w.workers.get_mut("n-1").expect("worker").lease_ends();
    w.report("n-1");
    let outcome = w.store.apply(&txn);
    w.leader.txn_answer(w.now, id, outcome);
    w.settle();
    assert_eq!(w.attempt(JOB, 0), 2);
    assert_eq!(w.places().len(), 1);
}

#[test]
fn a_refused_connection_takes_the_start_back_at_once() {
    let mut w = World::new(&[("n-1", "a"), ("n-2", "a")]);
    let (_, (machine, ..)) = w.start_under_way(JOB);
    w.leader.direct_answer(w.now, machine, DirectOutcome::NotSent);
    assert_eq!((w.phase(JOB, 0), w.attempt(JOB, 0)), (Phase::Pending, 2));
    w.settle();
    assert_eq!(w.places().len(), 1);
}

/// The connection is refused only after the machine was returned and the task runs elsewhere
/// under its next attempt: the refusal speaks of the old one alone.
#[test]
fn a_refused_connection_says_nothing_of_the_next_attempt() {
    let mut w = World::new(&[("n-1", "a"), ("n-2", "a")]);
    let (name, (machine, ..)) = w.start_under_way(JOB);
    w.workers.get_mut(&name).expect("worker").alive = false;
    w.leader.machine_gone(w.now, &name);
    w.settle();
    assert_eq!((w.phase(JOB, 0), w.attempt(JOB, 0)), (Phase::Running, 2));
    w.leader.direct_answer(w.now, machine, DirectOutcome::NotSent);
    assert_eq!((w.phase(JOB, 0), w.attempt(JOB, 0)), (Phase::Running, 2));
}

#[test]
fn an_unconfirmed_start_settles_as_unknown_and_is_not_resent() {
    let mut w = one_machine();
    let (_, (machine, ..)) = w.start_under_way(JOB);
    w.leader.direct_answer(w.now, machine, DirectOutcome::Lost);
    w.workers.get_mut("n-1").expect("worker").alive = false;
    for _ in 0..30 {
        w.wait(1_000);
        w.settle();
    }
    assert_eq!((w.phase(JOB, 0), w.attempt(JOB, 0)), (Phase::Unknown, 1));
}

#[test]
fn silence_is_never_proof_but_a_returned_machine_is() {
    let mut w = World::new(&[("n-1", "a"), ("n-2", "b")]);
    w.submit(JOB, &spec(1));
    w.settle();
    let machine = w.places()[&format!("{JOB}/0")][0].clone();
    let other = if machine == "n-1" { "n-2" } else { "n-1" };
    w.workers.get_mut(&machine).expect("worker").alive = false;
    for _ in 0..60 {
        w.wait(2_000);
        w.report(other);
        w.settle();
        w.leader.look_at_fleet(w.now);
    }
    assert_eq!(w.attempt(JOB, 0), 1, "silent for two minutes, and still there");
    let state = |w: &World| w.leader.machines[w.leader.by_name[&machine] as usize].state;
    assert_eq!(state(&w), MachineState::Returning, "given back, since nothing else settles it");
    w.leader.returned(w.now, std::slice::from_ref(&machine), false);
    assert_eq!(w.attempt(JOB, 0), 1, "an unanswered return is no proof");
    w.leader.returned(w.now, std::slice::from_ref(&machine), true);
    assert_eq!((w.phase(JOB, 0), w.attempt(JOB, 0)), (Phase::Pending, 2));
}

#[test]
fn a_missing_list_entry_is_no_proof_and_a_failed_one_is() {
    let mut w = World::new(&[("n-1", "a")]);
    w.submit(JOB, &spec(1));
    w.settle();
    w.leader.machine_list(w.now, &[]);
    assert_eq!(w.attempt(JOB, 0), 1);
    w.workers.get_mut("n-1").expect("worker").alive = false;
    let failed = ListedMachine {
        name: "n-1".into(),
        address: None,
        kind: "t8".into(),
        zone: "a".into(),
        spot: false,
        stage: MachineStage::Failed,
        age_s: 9.0,
    };
    w.leader.machine_list(w.now, &[failed]);
    assert_eq!(w.attempt(JOB, 0), 2);
}

#[test]
fn a_finish_is_written_before_the_worker_may_forget_it() {
    let mut w = one_machine();
    w.submit(JOB, &spec(2));
    w.settle();
    w.finish("n-1", &format!("{JOB}/0"));
    w.report("n-1");
    w.report("n-1");
    let kept = |w: &World| w.workers["n-1"].tasks.keys().any(|k| k.0.ends_with("/0"));
    assert!(kept(&w), "not written yet");
    w.wait(4_500);
    w.settle();
    w.report("n-1");
    assert!(!kept(&w));
    let before = w.workers["n-1"].token;
    assert!(before > w.token_now(), "a reap travels with a raised fence");
}

/// A copy of the start arrives after the reap: the worker has forgotten the attempt and only the
/// fence keeps it from running the task again.
#[test]
fn a_reap_outranks_every_copy_of_the_start() {
    let mut w = one_machine();
    w.submit(JOB, &spec(2));
    w.place_and_commit();
    let (machine, token, session, calls) = w.take_direct();
    w.deliver(machine, token, session, &calls);
    w.finish("n-1", &format!("{JOB}/0"));
    w.report("n-1");
    w.wait(4_500);
    w.settle();
    w.report("n-1");
    assert!(!w.workers["n-1"].tasks.keys().any(|k| k.0.ends_with("/0")));
    w.workers.get_mut("n-1").expect("worker").direct(token, session, &calls);
    assert!(!w.workers["n-1"].live().contains(&format!("{JOB}/0")), "done, and run again");
}

#[test]
fn an_older_report_after_a_finish_takes_nothing_away() {
    let mut w = one_machine();
    w.submit(JOB, &spec(2));
    w.settle();
    let old = w.workers.get_mut("n-1").expect("worker").report();
    w.finish("n-1", &format!("{JOB}/0"));
    w.report("n-1");
    assert_eq!(w.phase(JOB, 0), Phase::Done);
    w.leader.report(w.now, &old);
    assert_eq!(w.phase(JOB, 0), Phase::Done);
    assert_eq!(w.phase(JOB, 1), Phase::Running);
}

#[test]
fn a_withdrawal_that_races_the_dispatch_stops_it() {
    let mut w = one_machine();
    w.submit(JOB, &spec(1));
    w.tick();
    let (id, txn) = w.take_commit();
    w.store.put(&keys::end(JOB), json!("aborted"));
    let outcome = w.store.apply(&txn);
    assert!(matches!(outcome, Outcome::Conflict { .. }));
    w.leader.txn_answer(w.now, id, outcome);
    w.settle();
    w.all_report();
    w.settle();
    assert!(w.places().is_empty());
    assert!(!w.store.keys.contains_key(&keys::todo(JOB)), "cleaned up");
}

#[test]
fn a_withdrawal_between_commit_and_send_stops_the_send() {
    let mut w = one_machine();
    w.submit(JOB, &spec(1));
    w.tick();
    let (id, txn) = w.take_commit();
    let outcome = w.store.apply(&txn);
    w.store.put(&keys::end(JOB), json!("aborted"));
    w.leader.txn_answer(w.now, id, outcome);
    w.leader.job_over(w.now, JOB);
    w.settle();
    assert!(w.places().is_empty());
}

#[test]
fn a_withdrawal_that_races_the_last_finish_has_one_winner() {
    let mut w = one_machine();
    w.submit(JOB, &spec(1));
    w.settle();
    w.finish("n-1", &format!("{JOB}/0"));
    w.report("n-1");
    w.tick();
    w.store.put(&keys::end(JOB), json!("aborted"));
    w.settle();
    assert_eq!(w.end(JOB), Some(&json!("aborted")));
    w.all_report();
    w.settle();
    assert!(w.leader.by_ref.is_empty());
}

#[test]
fn a_withdrawn_jobs_tasks_are_killed() {
    let mut w = World::new(&[("n-1", "a"), ("n-2", "b")]);
    w.submit(JOB, &spec(6));
    w.settle();
    w.store.put(&keys::end(JOB), json!("aborted"));
    w.leader.job_over(w.now, JOB);
    w.settle();
    assert!(w.places().is_empty());
}

/// The answer to a dispatch is lost: nothing is sent until the outcome is certain, and then once.
#[test]
fn a_lost_answer_on_dispatch_stays_open_until_it_is_read_back() {
    let mut w = one_machine();
    w.submit(JOB, &spec(2));
    w.tick();
    let (id, txn) = w.take_commit();
    assert!(matches!(w.store.apply(&txn), Outcome::Committed { .. }));
    w.leader.txn_answer(w.now, id, Outcome::Lost);
    w.tick();
    assert!(!w.commands.iter().any(|c| matches!(c, Command::Direct { .. })));
    w.wait(300);
    w.settle();
    assert_eq!(w.places().len(), 2);
    assert_eq!(w.attempt(JOB, 0), 1);
}

#[test]
fn a_lost_transaction_that_was_never_applied_is_applied_once() {
    let mut w = one_machine();
    w.submit(JOB, &spec(2));
    w.tick();
    let (id, late) = w.take_commit();
    w.leader.txn_answer(w.now, id, Outcome::Lost);
    w.wait(300);
    w.settle();
    assert_eq!(w.places().len(), 2);
    assert!(matches!(w.store.apply(&late), Outcome::Conflict { .. }), "the late copy fails");
}

#[test]
fn an_old_leaders_late_transaction_fails() {
    let mut w = one_machine();
    w.submit(JOB, &spec(1));
    w.tick();
    let (id, late) = w.take_commit();
    let mut old = w.take_over();
    let outcome = w.store.apply(&late);
    assert!(matches!(&outcome, Outcome::Conflict { failed } if failed[0] == keys::LEADER));
    old.txn_answer(w.now, id, outcome);
    assert!(old.take_commands().iter().any(|c| matches!(c, Command::StepDown(_))));
    w.all_report();
    w.all_report();
    w.settle();
    assert_eq!(w.places().len(), 1);
}

/// A start of the last leader's is still under way, and the worker's report comes from before the
/// new term reached it: that the task is absent proves nothing yet.
#[test]
fn a_take_over_asks_for_its_own_term_before_it_believes_an_absence() {
    let mut w = World::new(&[("n-1", "a"), ("n-2", "a")]);
    let (name, (_, token, session, calls)) = w.start_under_way(JOB);
    let other = if name == "n-1" { "n-2" } else { "n-1" };
    w.take_over();
    let before = w.workers.get_mut(&name).expect("worker").report();
    w.leader.report(w.now, &before);
    assert_eq!(w.attempt(JOB, 0), 1);
    w.report(other);
    w.report(other);
    w.tick();
    assert!(w.places().is_empty());
    // The old start arrives before the new token does.
    w.workers.get_mut(&name).expect("worker").direct(token, session, &calls);
    w.report(&name);
    w.report(&name);
    w.settle();
    assert_eq!(w.places().len(), 1);
    assert_eq!(w.attempt(JOB, 0), 1);
}

#[test]
fn a_take_over_in_mid_round_keeps_what_runs_and_places_the_rest() {
    let mut w = World::new(&[("n-1", "a"), ("n-2", "b")]);
    w.submit(JOB, &spec(8));
    w.tick();
    let (_, txn) = w.take_commit();
    w.store.apply(&txn);
    // Written, not sent: the leader dies here.
    w.take_over();
    w.all_report();
    w.all_report();
    w.settle();
    assert_eq!(w.places().len(), 8);
    assert!(w.places().values().all(|m| m.len() == 1));
    assert_eq!(w.attempt(JOB, 0), 2, "its own start was never confirmed");
}

#[test]
fn a_cut_off_leader_that_goes_on_answering_starts_nothing() {
    let mut w = World::new(&[("n-1", "a"), ("n-2", "b")]);
    w.submit(JOB, &spec(4));
    w.settle();
    let mut old = w.take_over();
    old.job_over(w.now, "req-999999");
    // The old leader still answers a worker that has not seen the new term: its tasks live on.
    let worker = w.workers.get_mut("n-1").expect("worker");
    let report = worker.report();
    let (token, calls) = old.report(w.now, &report).expect("an answer");
    worker.answered(report.session, token, &calls);
    assert!(calls.is_empty());
    w.all_report();
    // One that has seen it is not the old leader's any more.
    let report = w.workers.get_mut("n-1").expect("worker").report();
    assert!(old.report(w.now, &report).is_none());
    w.settle();
    assert_eq!(w.places().len(), 4);
}

#[test]
fn a_state_outage_during_a_round_starts_nothing_and_loses_nothing() {
    let mut w = one_machine();
    w.submit(JOB, &spec(3));
    for _ in 0..10 {
        w.wait(400);
        w.tick();
        for command in std::mem::take(&mut w.commands) {
            if let Command::Commit { id, .. } = command {
                w.leader.txn_answer(w.now, id, Outcome::Refused);
            }
        }
        assert_eq!(w.phase(JOB, 0), Phase::Pending);
        w.report("n-1");
    }
    w.wait(500);
    w.settle();
    assert_eq!(w.places().len(), 3);
}

#[test]
fn a_limit_counts_tasks_that_are_not_proven_absent() {
    let mut w = World::new(&[("n-1", "a"), ("n-2", "b")]);
    let mut capped = spec(4);
    capped.team = "capped".into();
    w.submit(JOB, &capped);
    w.settle();
    assert_eq!(w.places().len(), 2, "two tasks of two processors fill the team's limit");
    let machine = w.places()[&format!("{JOB}/0")][0].clone();
    w.workers.get_mut(&machine).expect("worker").alive = false;
    for _ in 0..20 {
        w.wait(2_000);
        w.all_report();
        w.settle();
    }
    assert_eq!(w.leader.team_use["capped"].0, 4.0, "unknown tasks count");
    w.leader.machine_gone(w.now, &machine);
    w.all_report();
    w.settle();
    assert_eq!(w.places().len(), 2);
}

#[test]
fn zones_are_kept_counting_every_task_not_proven_absent() {
    let mut w = World::new(&[("n-1", "a"), ("n-2", "b"), ("n-3", "a")]);
    let mut spread = spec(5);
    spread.spread = true;
    w.submit(JOB, &spread);
    w.settle();
    let count = |w: &World, zone: &str| {
        w.workers.values().filter(|k| k.zone == zone).map(|k| k.live().len()).sum::<usize>()
    };
    assert_eq!(w.places().len(), 5);
    assert!(count(&w, "a") <= 3 && count(&w, "b") <= 3);
    let mut w = World::new(&[("n-1", "a"), ("n-2", "b")]);
    let mut together = spec(6);
    together.one_zone = true;
    w.submit(JOB, &together);
    w.settle();
    assert_eq!(w.places().len(), 4, "one machine's worth, in one zone");
    assert!(count(&w, "a") == 0 || count(&w, "b") == 0);
}

#[test]
fn an_image_of_a_hundred_thousand_tasks_fits_the_limits() {
    let mut w = one_machine();
    w.submit(JOB, &spec(100_000));
    w.settle();
    assert_eq!(w.places().len(), 4);
    for (value, _) in w.store.keys.values() {
        assert!(value.to_string().len() <= 4096);
    }
}

#[test]
fn a_job_that_fails_everywhere_taints_no_machine_and_waits_longer() {
    let mut w = World::new(&[("n-1", "a"), ("n-2", "a"), ("n-3", "a"), ("n-4", "a")]);
    w.submit(JOB, &spec(12));
    for _ in 0..40 {
        w.settle();
        for worker in w.workers.values_mut() {
            for state in worker.tasks.values_mut() {
                if state.0 != walnutlug_core::wire::TaskStage::Exited {
                    *state = (
                        walnutlug_core::wire::TaskStage::Exited,
                        Some(walnutlug_core::wire::Cause::Error),
                    );
                }
            }
        }
        w.all_report();
        w.wait(1_000);
    }
    let machines = &w.leader.machines;
    assert!(machines.iter().all(|m| m.state == MachineState::Up && m.draining.is_none()));
    let job = w.leader.job(w.leader.by_ref[JOB]).expect("job");
    let tries = job.tasks.iter().map(|t| t.attempt).max();
    assert!(tries < Some(12), "tried at growing intervals, not {tries:?} times in 80 s");
}

#[test]
fn absurd_estimates_do_not_upset_the_order() {
    let mut w = one_machine();
    for (name, estimate) in [("req-1", 0.0), ("req-2", 1e300), ("req-3", 10.0)] {
        let mut s = spec(1);
        s.estimate_s = estimate;
        w.submit(name, &s);
    }
    let queue = w.leader.queue(w.now);
    assert_eq!(queue.len(), 3);
    assert!(queue.iter().all(|(u, _)| u.slack.is_finite()));
    w.settle();
    assert_eq!(w.places().len(), 3);
}

/// A job with time to spare waits for running work to make room, but not on an empty fleet.
#[test]
fn a_job_with_time_to_spare_gets_a_machine_where_there_is_none() {
    let mut w = World::new(&[]);
    w.submit(JOB, &JobSpec { deadline_s: None, ..spec(6) });
    w.leader.machine_list(w.now, &[]);
    w.wait(1_000);
    w.leader.look_at_fleet(w.now);
    let asked = w.leader.take_commands();
    assert!(asked.iter().any(|c| matches!(c, Command::Rent { .. })), "{asked:?}");
}

/// And it doesn't wait for ever for work that never ends.
#[test]
fn a_job_with_time_to_spare_does_not_wait_for_ever() {
    let mut w = one_machine();
    w.submit("req-000009", &spec(4));
    w.settle();
    w.submit(JOB, &JobSpec { deadline_s: None, ..spec(2) });
    let mut rented_after = None;
    for second in 0..90 {
        w.wait(1_000);
        w.report("n-1");
        w.leader.machine_list(w.now, &[]);
        w.leader.look_at_fleet(w.now);
        let rents = |c: &Command| matches!(c, Command::Rent { .. });
        if w.leader.take_commands().iter().any(rents) {
            rented_after.get_or_insert(second);
        }
    }
    assert!(rented_after.is_some_and(|s| (50..70).contains(&s)), "{rented_after:?}");
}

/// A new leader asks the machines it was told of, idle ones too, and doesn't wait for their next
/// reports; one that was told wrongly holds nothing up.
#[test]
fn a_take_over_asks_the_machines_it_was_told_of() {
    let mut w = World::new(&[("n-1", "a")]);
    w.take_over();
    w.leader.hint_address(w.now, "n-1", "10.0.0.1:1");
    w.leader.hint_address(w.now, "n-gone", "10.0.0.9:1");
    w.submit(JOB, &spec(1));
    w.settle();
    assert_eq!(w.places().len(), 1, "placed before any report came");
}

/// A leader that no worker reaches any more says so, but not while one of them still reports.
#[test]
fn a_leader_that_hears_of_no_worker_is_deaf() {
    let mut w = World::new(&[("n-1", "a"), ("n-2", "b")]);
    assert!(!w.leader.deaf(w.now));
    w.wait(20_000);
    assert!(w.leader.deaf(w.now));
    w.report("n-2");
    assert!(!w.leader.deaf(w.now), "one worker is heard");
}

/// The fleet once stopped growing at 400 machines, rented and wanted together, whatever waited.
#[test]
fn a_large_fleet_grows_as_far_as_the_work_needs() {
    let names: Vec<String> = (0..500).map(|i| format!("n-{i:03}")).collect();
    let machines: Vec<(&str, &str)> = names.iter().map(|n| (n.as_str(), "a")).collect();
    let mut w = World::new(&machines);
    w.leader.machine_list(w.now, &[]);
    for i in 0..8 {
        w.submit(&format!("req-00000{i}"), &JobSpec { cpus: 8.0, ..spec(100) });
    }
    w.all_report();
    let mut got = 0;
    for _ in 0..20 {
        w.wait(600);
        w.all_report();
        w.settle();
        w.leader.look_at_fleet(w.now);
        for command in w.leader.take_commands() {
            if let Command::Rent { kind, zone, spot, count } = command {
                assert!(count <= 50, "by the protocol");
                let names: Vec<String> = (0..count).map(|i| format!("r-{:04}", got + i)).collect();
                got += count;
                w.leader.rented(w.now, &kind, &zone, spot, count, Ok(names));
            }
        }
    }
    assert_eq!(got, 300, "800 tasks, a machine each, and 500 machines");
}

/// Counts of writes, at the tighter deployment's size. Evidence was once written every second for
/// every job with a finish, and clean-up at once: most of 20 changes a second, which starts and
/// acceptances then waited for.
#[test]
fn finishes_share_few_writes_and_starts_go_first() {
    let mut w = World::new(&[]);
    for i in 0..100 {
        let name = format!("n-{i:03}");
        w.workers.insert(name.clone(), world::Worker::new(&name, "a"));
    }
    w.all_report();
    w.all_report();
    w.submit(JOB, &spec(300));
    w.settle();
    let puts = |w: &World| {
        let keys = w.store.keys.values().map(|v| v.1).collect::<std::collections::BTreeSet<_>>();
        (w.store.growth, keys.len())
    };
    let before = puts(&w).0;
    // One task after the other ends, over half a minute.
    for index in 0..300 {
        let task = format!("{JOB}/{index}");
        let machine = w.places()[&task][0].clone();
        w.finish(&machine, &task);
        w.report(&machine);
        w.wait(50);
        w.settle();
    }
    assert_eq!(w.end(JOB), Some(&json!("done")));
    // Four chunks, every four seconds, and 30 + 300 * 1.0 s of settling.
    let writes = puts(&w).0 - before;
    assert!(writes < 330 / 4 + 10, "{writes} transactions for 300 finishes");

    // With room for two changes, they go to the start of the more urgent job.
    w.settle();
    w.submit("req-000002", &spec(4));
    w.submit("req-000003", &JobSpec { rank: walnutlug_core::job::Rank::High, ..spec(4) });
    w.wait(50);
    w.leader.allow_writes(1.0, 16.0);
    w.leader.tick(w.now);
    let commits: Vec<_> = w
        .leader
        .take_commands()
        .into_iter()
        .filter_map(|c| match c {
            Command::Commit { txn, .. } => Some(txn),
            _ => None,
        })
        .collect();
    assert_eq!(commits.len(), 1);
    assert_eq!(commits[0].apply.len(), 1);
    assert!(commits[0].guards.iter().any(|g| g.key == keys::run("req-000003", 0)));
}

/// A round's cost at full size, counted in machines looked at. It once was tasks times machines: each
/// of a burst's tasks looked at all of some hundred machines, and so did every job that waited, in
/// every round.
#[test]
fn a_round_looks_at_machines_with_room_and_once_a_job() {
    let names: Vec<String> = (0..800).map(|i| format!("n-{i:03}")).collect();
    let machines: Vec<(&str, &str)> = names.iter().map(|n| (n.as_str(), "a")).collect();
    let mut w = World::new(&machines);
    w.submit("req-000001", &JobSpec { cpus: 8.0, ..spec(300) });
    w.tick();
    assert_eq!(w.leader.looked_at, 800, "one look for 300 tasks");
    w.settle();
    assert_eq!(w.places().len(), 300);
    w.submit("req-000002", &JobSpec { cpus: 8.0, ..spec(500) });
    w.settle();
    assert_eq!(w.places().len(), 800);
    for i in 10..70 {
        w.submit(&format!("req-0000{i}"), &spec(300));
    }
    let before = w.leader.looked_at;
    w.leader.dirty = true;
    w.tick();
    assert_eq!(w.leader.looked_at - before, 0, "60 jobs wait and no machine has room");
    // One machine has room: it alone is looked at, until it is full.
    w.finish("n-007", &w.places().into_iter().find(|p| p.1[0] == "n-007").expect("task").0);
    w.report("n-007");
    let before = w.leader.looked_at;
    w.tick();
    assert_eq!(w.leader.looked_at - before, 1);
}

/// A take-over asks the whole fleet, a part at a time: sockets and processor are for starts and for
/// answers to workers first.
#[test]
fn a_take_over_asks_a_large_fleet_in_parts() {
    let names: Vec<String> = (0..800).map(|i| format!("n-{i:03}")).collect();
    let machines: Vec<(&str, &str)> = names.iter().map(|n| (n.as_str(), "a")).collect();
    let mut w = World::new(&machines);
    w.take_over();
    for name in &names {
        w.leader.hint_address(w.now, name, "10.0.0.1:1");
    }
    let mut rounds = 0;
    let seen = |w: &World| w.leader.machines.iter().filter(|m| m.seen_token > 0).count();
    while seen(&w) < 800 {
        rounds += 1;
        assert!(rounds < 60, "{} of 800 asked after 60 rounds", seen(&w));
        w.wait(150);
        w.tick();
        let sent = std::mem::take(&mut w.commands);
        assert!(sent.len() <= 101, "{} at once", sent.len());
        for command in sent {
            if let Command::Direct { machine, token, session, calls, .. } = command {
                w.deliver(machine, token, session, &calls);
            }
        }
    }
}

/// Seen on the rough day of the grown maps cluster: within a second of each take-over a third of the
/// fleet was given back as "never came up", since it was older than a boot and had not reported to
/// the new leader yet.
#[test]
fn a_take_over_gives_idle_machines_time_to_answer() {
    let mut w = World::new(&[("n-1", "a"), ("n-2", "b")]);
    w.take_over();
    let listed = |name: &str| ListedMachine {
        name: name.into(),
        address: Some("10.0.0.1:1".into()),
        kind: "t8".into(),
        zone: "a".into(),
        spot: true,
        stage: MachineStage::Running,
        age_s: 500.0,
    };
    w.leader.machine_list(w.now, &[listed("n-1"), listed("n-2"), listed("n-dead")]);
    let mut given_up: Vec<(u64, String)> = Vec::new();
    // They answer after some seconds, as in a take-over of hundreds.
    let awake = |w: &mut World, on: bool| w.workers.values_mut().for_each(|k| k.alive = on);
    awake(&mut w, false);
    for second in 0..20 {
        w.wait(1_000);
        w.leader.look_at_fleet(w.now);
        for command in w.leader.take_commands() {
            if let Command::Note(text) = command {
                if text.contains("never came up:") {
                    given_up.push((second, text));
                }
            }
        }
        if second == 4 {
            awake(&mut w, true);
        }
        w.settle();
    }
    assert_eq!(given_up.len(), 1, "{given_up:?}");
    assert!(given_up[0].1.contains("n-dead") && given_up[0].0 >= 9, "{given_up:?}");
}

/// A third of the spot machines got notice, and their tasks stayed until the machines were gone and
/// found to be gone.
#[test]
fn notice_moves_what_would_not_be_done_in_time_if_there_is_room() {
    let mut w = World::new(&[("n-1", "a"), ("n-2", "a")]);
    w.submit("req-000001", &JobSpec { estimate_s: 60.0, ..spec(1) });
    w.submit("req-000002", &JobSpec { estimate_s: 4.0, ..spec(1) });
    w.settle();
    let name = w.places()["req-000001/0"][0].clone();
    assert_eq!(w.places()["req-000002/0"][0], name, "the fullest");
    w.all_report();
    let notice = |w: &mut World| {
        w.workers.get_mut(&name).expect("worker").notice = Some(12.0);
        w.report(&name);
        w.leader.look_at_fleet(w.now);
        w.settle();
        w.all_report();
        w.settle();
    };
    notice(&mut w);
    let places = w.places();
    assert_ne!(places["req-000001/0"][0], name, "moved");
    assert_eq!(places["req-000002/0"][0], name, "will be done in time");
    // With nowhere to go it stays.
    let mut w = World::new(&[("n-1", "a")]);
    w.submit("req-000001", &JobSpec { estimate_s: 60.0, ..spec(1) });
    w.settle();
    w.all_report();
    notice(&mut w);
    assert_eq!(w.places().len(), 1);
}

/// With reports every six seconds, give or take a quarter, each machine whose report was a bit late
/// was given back with its work: patience was six and a half seconds, whatever the interval.
#[test]
fn patience_counts_from_when_a_report_is_overdue() {
    for report in [3, 6, 20] {
        let site = Site { report: Span::secs(report), lease: Span::secs(5 * report), ..site() };
        let mut w = World::of(site, &[("n-1", "a"), ("n-2", "a"), ("n-3", "b")]);
        w.submit("req-000001", &JobSpec { estimate_s: 900.0, deadline_s: None, ..spec(3) });
        w.settle();
        let holder = w.places()["req-000001/0"][0].clone();
        w.all_report();
        let mut silent_ms = 0;
        let given_back = loop {
            w.wait(100);
            silent_ms += 150;
            w.tick();
            w.leader.look_at_fleet(w.now);
            // Nobody is asked successfully; the others report.
            for name in ["n-1", "n-2", "n-3"].into_iter().filter(|n| *n != holder) {
                w.report(name);
            }
            w.commands.extend(w.leader.take_commands());
            let returned: Vec<Vec<String>> = std::mem::take(&mut w.commands)
                .into_iter()
                .filter_map(|c| match c {
                    Command::Return { machines } => Some(machines),
                    _ => None,
                })
                .collect();
            if returned.iter().flatten().any(|name| *name == holder) {
                break silent_ms;
            }
            for names in returned {
                w.leader.returned(w.now, &names, true);
            }
            assert!(silent_ms < 60_000);
        };
        // Late by a quarter and asked, with the two seconds that a question may take.
        assert!(given_back as f64 > report as f64 * 1_250.0 + 2_000.0, "{report}: {given_back} ms");
        assert!(
            given_back as f64 <= report as f64 * 1_400.0 + 3_000.0,
            "{report}: {given_back} ms"
        );
    }
}

#[test]
fn machines_that_are_long_gone_leave_their_places() {
    let mut w = World::new(&[("n-1", "a")]);
    for i in 0..3_000 {
        let name = format!("x-{i:06}");
        w.leader.rented(w.now, "t8", "a", true, 1, Ok(vec![name.clone()]));
        w.leader.machine_gone(w.now, &name);
        w.wait(1_000);
    }
    // Those of the last ten minutes are remembered, against late reports of them.
    let table = w.leader.machines.len();
    assert!((500..700).contains(&table), "{table}");
    assert_eq!(w.leader.by_name.len(), table);
    assert!(
        w.leader.by_name.contains_key("x-002999") && !w.leader.by_name.contains_key("x-000001")
    );
}

/// A leader cut off from the workers gave back 500 of 800 machines, those that had reported longest ago
/// first, before it found that it heard of none. A cut of one zone looks the same for that zone.
#[test]
fn a_zone_that_is_unheard_as_a_whole_is_not_given_back_one_by_one() {
    for cut in [vec!["a"], vec!["a", "b"]] {
        let names: Vec<(String, &str)> =
            (0..40).map(|i| (format!("n-{i:03}"), if i % 2 == 0 { "a" } else { "b" })).collect();
        let machines: Vec<(&str, &str)> = names.iter().map(|(n, z)| (n.as_str(), *z)).collect();
        let mut w =
            World::of(Site { report: Span::secs(5), lease: Span::secs(24), ..site() }, &machines);
        // Work on every machine, and more of it than fits.
        w.submit(JOB, &JobSpec { cpus: 8.0, estimate_s: 900.0, deadline_s: Some(1.0), ..spec(60) });
        w.settle();
        // Reports come one after the other, each machine's every five seconds.
        let (mut given_back, mut rented, mut deaf_at) = (0, 0, None);
        for step in 0..200 {
            let (name, zone) = machines[step % 40];
            let at_ms = step as u64 * 125;
            if at_ms < 5_000 || !cut.contains(&zone) {
                w.report(name);
            }
            w.wait(75);
            w.tick();
            w.leader.look_at_fleet(w.now);
            if deaf_at.is_none() && w.leader.deaf(w.now) {
                deaf_at = Some(at_ms);
            }
            w.commands.extend(w.leader.take_commands());
            for command in std::mem::take(&mut w.commands) {
                let cut_for = at_ms.saturating_sub(5_000);
                match command {
                    Command::Return { machines } => given_back += machines.len(),
                    Command::Rent { count, .. } if cut_for > 3_000 => rented += count,
                    _ => {}
                }
            }
        }
        assert_eq!(given_back, 0, "{cut:?}");
        match cut.len() {
            1 => assert_eq!(deaf_at, None),
            _ => {
                assert_eq!(rented, 0, "nothing is rented for what only isn't heard");
                let at = deaf_at.expect("deaf at last");
                assert!((9_000..11_000).contains(&at), "{at} ms");
            }
        }
    }
}

/// Counted from the take-over, run times were learned far too short, all that ran on looked slow beside
/// them, and a fifth of a fleet without a slow machine was drained.
#[test]
fn a_new_leader_knows_for_how_long_tasks_have_run() {
    let mut w = World::new(&[("n-1", "a"), ("n-2", "a"), ("n-3", "a"), ("n-4", "b")]);
    w.submit(JOB, &JobSpec { cpus: 4.0, estimate_s: 100.0, deadline_s: Some(900.0), ..spec(8) });
    w.settle();
    w.all_report();
    let keep_running = |w: &mut World, seconds: u64| {
        for _ in 0..seconds {
            w.wait(950);
            w.settle();
            w.all_report();
            w.leader.look_at_fleet(w.now);
            w.commands.extend(w.leader.take_commands());
        }
    };
    keep_running(&mut w, 40);
    w.take_over();
    w.settle();
    w.all_report();
    keep_running(&mut w, 3);
    // Three are done after some 80 s (a settling takes a second too), the others run on.
    let tasks: Vec<(String, String)> = w
        .workers
        .values()
        .flat_map(|k| k.tasks.keys().map(|t| (k.name.clone(), t.0.clone())))
        .take(3)
        .collect();
    for (machine, task) in tasks {
        w.finish(&machine, &task);
    }
    keep_running(&mut w, 8);
    let ix = w.leader.by_ref[JOB];
    let job = w.leader.job(ix).expect("the job");
    let ran = job.run_times.0 / f64::from(job.run_times.1.max(1));
    assert_eq!(job.run_times.1, 3);
    assert!((75.0..100.0).contains(&ran), "ran {ran} s");
    assert!(w.leader.machines.iter().all(|m| m.draining != Some("slow")), "none is slow");
}

/// Jobs of many short, pressed tasks were late whenever the cloud took one spot machine of many.
#[test]
fn pressed_work_goes_to_ordinary_machines_where_they_cost_little_more() {
    use walnutlug_core::tunables::Objective;
    for (price, apart) in [(0.5, true), (3.0, false)] {
        let quick = Objective::Wait { class: "quick".into(), within: Span::secs(3) };
        let site = Site { objectives: vec![quick], ..site() };
        let mut w = World::of(site, &[("n-1", "a"), ("n-2", "a")]);
        w.leader.set_types(vec![walnutlug_core::wire::MachineType { price, ..types().remove(0) }]);
        w.leader.machines[0].spot = true;
        w.submit("req-000001", &spec(1));
        w.submit("req-000002", &JobSpec { class: "quick".into(), ..spec(1) });
        w.settle();
        let places = w.places();
        if apart {
            assert_eq!(
                places["req-000001/0"],
                ["n-1"],
                "what has time leaves the ordinary one free"
            );
            assert_eq!(places["req-000002/0"], ["n-2"]);
        } else {
            assert_eq!(places["req-000001/0"], places["req-000002/0"], "the fullest");
        }
    }
}

/// Each look rented anew for a job whose machines on their way a more urgent job, for which nothing dear is
/// rented, took on paper.
#[test]
fn dear_machines_are_rented_once_for_the_same_need() {
    use walnutlug_core::job::Rank;
    let mut w = one_machine();
    let late = JobSpec { rank: Rank::High, deadline_s: Some(1.0), ..spec(200) };
    w.submit("req-000001", &late);
    w.submit("req-000002", &JobSpec { deadline_s: Some(60.0), ..spec(16) });
    w.settle();
    w.all_report();
    w.leader.machine_list(w.now, &[]);
    let mut rented = 0;
    for _ in 0..12 {
        w.wait(500);
        w.tick();
        w.leader.look_at_fleet(w.now);
        w.commands.extend(w.leader.take_commands());
        for command in std::mem::take(&mut w.commands) {
            let Command::Rent { kind, zone, spot, count } = command else { continue };
            let names = (rented..rented + count).map(|i| format!("x-{i:03}")).collect();
            let got = if spot { Vec::new() } else { names };
            rented += got.len() as u32;
            w.leader.rented(w.now, &kind, &zone, spot, count, Ok(got));
        }
    }
    // Sixteen tasks of two processors, eight on a machine.
    assert!((1..=4).contains(&rented), "{rented} machines");
}
