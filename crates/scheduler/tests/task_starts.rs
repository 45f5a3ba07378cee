//! Starts, reports and proofs, each against the failure that it guards against.

mod world;

use serde_json::json;
use walnutlug_scheduler::command::{Command, MessageOutcome, TransactionOutcome};
use walnutlug_scheduler::model::ids::{AgentEpoch, Attempt};
use walnutlug_scheduler::model::machine::MachineState;
use walnutlug_scheduler::model::task::TaskPhase;
use walnutlug_scheduler::protocol::cloud::{CloudMachineState, ListedMachine};
use walnutlug_scheduler::protocol::workers::WorkerCommand;
use walnutlug_scheduler::storage::keys;
use walnutlug_scheduler::storage::revision::Revision;
use world::{one_machine, spec, World};

const JOB: &str = "req-000001";

#[test]
fn a_start_is_written_before_it_is_sent() {
    let mut w = one_machine();
    w.submit(JOB, &spec(1));
    w.tick();
    let sends = |w: &World| w.commands.iter().any(|c| matches!(c, Command::SendToWorker { .. }));
    assert!(!sends(&w));
    let (id, transaction) = w.take_commit();
    assert!(transaction
        .compares
        .iter()
        .any(|g| g.key == keys::LEADER && g.revision == Revision(w.leader.term.get())));
    assert!(transaction
        .compares
        .iter()
        .any(|g| g.key == keys::end(JOB) && g.revision == Revision(0)));
    let outcome = w.store.apply(&transaction);
    assert!(w.store.keys.contains_key(&keys::run(JOB, 0)));
    w.leader.transaction_answered(w.now, id, outcome);
    w.tick();
    let (_, _, _, calls) = w.take_direct();
    assert_eq!(calls, [WorkerCommand::Run { task: format!("{JOB}/0"), attempt: Attempt(1) }]);
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

/// The direct start is held up; a heartbeat under the same token doesn't show the task. That proves
/// nothing: the start arrives a minute later and is executed.
#[test]
fn an_absent_report_under_the_same_token_proves_nothing() {
    let mut w = World::new(&[("n-1", "a"), ("n-2", "a")]);
    let (name, (machine, token, agent_epoch, calls)) = w.start_under_way(JOB);
    w.heartbeat(&name);
    w.settle();
    assert_eq!(w.phase(JOB, 0), TaskPhase::Dispatching);
    assert!(w.places().is_empty());
    // It arrives late after all: still the only copy.
    w.deliver(machine, token, agent_epoch, &calls);
    w.settle();
    assert_eq!(w.places().len(), 1);
    assert_eq!(w.phase(JOB, 0), TaskPhase::Running);
}

/// The answer is lost. A raised fence makes the worker refuse the old message, and only a heartbeat
/// that has seen it lets the task move, under a new attempt.
#[test]
fn a_lost_start_moves_only_behind_a_raised_fence() {
    let mut w = World::new(&[("n-1", "a"), ("n-2", "a")]);
    let (name, (machine, token, agent_epoch, calls)) = w.start_under_way(JOB);
    w.leader.message_answered(w.now, machine, MessageOutcome::Indeterminate);
    // This report's sender has not seen the new fence yet.
    let old = w.workers.get_mut(&name).expect("worker").heartbeat();
    w.leader.heartbeat(w.now, &old);
    assert_eq!(w.attempt(JOB, 0), Attempt(1));
    w.wait(2_000);
    w.settle();
    assert_eq!(w.attempt(JOB, 0), Attempt(2));
    assert_eq!(w.places().len(), 1);
    // The old message comes through at last, and is refused.
    w.workers.get_mut(&name).expect("worker").direct(token, agent_epoch, &calls);
    assert!(w.places().values().all(|m| m.len() == 1));
}

/// While a start waits for the message in front of it, a raised fence and a heartbeat must not prove
/// it absent: it would then go out all the same, beside its own next attempt.
#[test]
fn a_start_that_waits_for_its_message_is_not_proven_absent() {
    let mut w = one_machine();
    w.submit(JOB, &spec(1));
    w.tick();
    let (id, transaction) = w.take_commit();
    let outcome = w.store.apply(&transaction);
    w.leader.transaction_answered(w.now, id, outcome);
    w.leader.cluster.machines[0].fencing_counter += 1;
    w.heartbeat("n-1");
    w.heartbeat("n-1");
    assert_eq!((w.phase(JOB, 0), w.attempt(JOB, 0)), (TaskPhase::Dispatching, Attempt(1)));
    w.settle();
    assert_eq!(w.places().len(), 1);
    assert_eq!(w.attempt(JOB, 0), Attempt(1));
}

#[test]
fn an_unsent_start_to_a_new_session_is_taken_back_and_placed_anew() {
    let mut w = one_machine();
    w.submit(JOB, &spec(1));
    w.tick();
    let (id, transaction) = w.take_commit();
    w.workers.get_mut("n-1").expect("worker").lease_ends();
    w.heartbeat("n-1");
    let outcome = w.store.apply(&transaction);
    w.leader.transaction_answered(w.now, id, outcome);
    w.settle();
    assert_eq!(w.attempt(JOB, 0), Attempt(2));
    assert_eq!(w.places().len(), 1);
}

#[test]
fn a_refused_connection_takes_the_start_back_at_once() {
    let mut w = World::new(&[("n-1", "a"), ("n-2", "a")]);
    let (_, (machine, ..)) = w.start_under_way(JOB);
    w.leader.message_answered(w.now, machine, MessageOutcome::NotSent);
    assert_eq!((w.phase(JOB, 0), w.attempt(JOB, 0)), (TaskPhase::Pending, Attempt(2)));
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
    assert_eq!((w.phase(JOB, 0), w.attempt(JOB, 0)), (TaskPhase::Running, Attempt(2)));
    w.leader.message_answered(w.now, machine, MessageOutcome::NotSent);
    assert_eq!((w.phase(JOB, 0), w.attempt(JOB, 0)), (TaskPhase::Running, Attempt(2)));
}

#[test]
fn an_unconfirmed_start_settles_as_unknown_and_is_not_resent() {
    let mut w = one_machine();
    let (_, (machine, ..)) = w.start_under_way(JOB);
    w.leader.message_answered(w.now, machine, MessageOutcome::Indeterminate);
    w.workers.get_mut("n-1").expect("worker").alive = false;
    for _ in 0..30 {
        w.wait(1_000);
        w.settle();
    }
    assert_eq!((w.phase(JOB, 0), w.attempt(JOB, 0)), (TaskPhase::Unknown, Attempt(1)));
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
        w.heartbeat(other);
        w.settle();
        w.leader.autoscale(w.now);
    }
    assert_eq!(w.attempt(JOB, 0), Attempt(1), "silent for two minutes, and still there");
    let state =
        |w: &World| w.leader.cluster.machines[w.leader.cluster.machines_by_name[&machine]].state;
    assert_eq!(state(&w), MachineState::Terminating, "given back, since nothing else settles it");
    w.leader.scale_in_answered(w.now, std::slice::from_ref(&machine), false);
    assert_eq!(w.attempt(JOB, 0), Attempt(1), "an unanswered return is no proof");
    w.leader.scale_in_answered(w.now, std::slice::from_ref(&machine), true);
    assert_eq!((w.phase(JOB, 0), w.attempt(JOB, 0)), (TaskPhase::Pending, Attempt(2)));
}

#[test]
fn a_missing_list_entry_is_no_proof_and_a_failed_one_is() {
    let mut w = World::new(&[("n-1", "a")]);
    w.submit(JOB, &spec(1));
    w.settle();
    w.leader.machine_list(w.now, &[]);
    assert_eq!(w.attempt(JOB, 0), Attempt(1));
    w.workers.get_mut("n-1").expect("worker").alive = false;
    let failed = ListedMachine {
        name: "n-1".into(),
        address: None,
        kind: "t8".into(),
        zone: "a".into(),
        spot: false,
        stage: CloudMachineState::Failed,
        age_s: 9.0,
    };
    w.leader.machine_list(w.now, &[failed]);
    assert_eq!(w.attempt(JOB, 0), Attempt(2));
}

#[test]
fn a_finish_is_written_before_the_worker_may_forget_it() {
    let mut w = one_machine();
    w.submit(JOB, &spec(2));
    w.settle();
    w.finish("n-1", &format!("{JOB}/0"));
    w.heartbeat("n-1");
    w.heartbeat("n-1");
    let kept = |w: &World| w.workers["n-1"].tasks.keys().any(|k| k.0.ends_with("/0"));
    assert!(kept(&w), "not written yet");
    w.wait(4_500);
    w.settle();
    w.heartbeat("n-1");
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
    let (machine, token, agent_epoch, calls) = w.take_direct();
    w.deliver(machine, token, agent_epoch, &calls);
    w.finish("n-1", &format!("{JOB}/0"));
    w.heartbeat("n-1");
    w.wait(4_500);
    w.settle();
    w.heartbeat("n-1");
    assert!(!w.workers["n-1"].tasks.keys().any(|k| k.0.ends_with("/0")));
    w.workers.get_mut("n-1").expect("worker").direct(token, agent_epoch, &calls);
    assert!(!w.workers["n-1"].live().contains(&format!("{JOB}/0")), "done, and run again");
}

#[test]
fn an_older_report_after_a_finish_takes_nothing_away() {
    let mut w = one_machine();
    w.submit(JOB, &spec(2));
    w.settle();
    let old = w.workers.get_mut("n-1").expect("worker").heartbeat();
    w.finish("n-1", &format!("{JOB}/0"));
    w.heartbeat("n-1");
    assert_eq!(w.phase(JOB, 0), TaskPhase::Done);
    w.leader.heartbeat(w.now, &old);
    assert_eq!(w.phase(JOB, 0), TaskPhase::Done);
    assert_eq!(w.phase(JOB, 1), TaskPhase::Running);
}

#[test]
fn a_withdrawal_that_races_the_dispatch_stops_it() {
    let mut w = one_machine();
    w.submit(JOB, &spec(1));
    w.tick();
    let (id, transaction) = w.take_commit();
    w.store.put(&keys::end(JOB), json!("aborted"));
    let outcome = w.store.apply(&transaction);
    assert!(matches!(outcome, TransactionOutcome::Conflict { .. }));
    w.leader.transaction_answered(w.now, id, outcome);
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
    let (id, transaction) = w.take_commit();
    let outcome = w.store.apply(&transaction);
    w.store.put(&keys::end(JOB), json!("aborted"));
    w.leader.transaction_answered(w.now, id, outcome);
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
    w.heartbeat("n-1");
    w.tick();
    w.store.put(&keys::end(JOB), json!("aborted"));
    w.settle();
    assert_eq!(w.end(JOB), Some(&json!("aborted")));
    w.all_report();
    w.settle();
    assert!(w.leader.cluster.jobs_by_name.is_empty());
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
    let (id, transaction) = w.take_commit();
    assert!(matches!(w.store.apply(&transaction), TransactionOutcome::Committed { .. }));
    w.leader.transaction_answered(w.now, id, TransactionOutcome::Indeterminate);
    w.tick();
    assert!(!w.commands.iter().any(|c| matches!(c, Command::SendToWorker { .. })));
    w.wait(300);
    w.settle();
    assert_eq!(w.places().len(), 2);
    assert_eq!(w.attempt(JOB, 0), Attempt(1));
}

#[test]
fn a_lost_transaction_that_was_never_applied_is_applied_once() {
    let mut w = one_machine();
    w.submit(JOB, &spec(2));
    w.tick();
    let (id, late) = w.take_commit();
    w.leader.transaction_answered(w.now, id, TransactionOutcome::Indeterminate);
    w.wait(300);
    w.settle();
    assert_eq!(w.places().len(), 2);
    assert!(
        matches!(w.store.apply(&late), TransactionOutcome::Conflict { .. }),
        "the late copy fails"
    );
}

#[test]
fn an_old_leaders_late_transaction_fails() {
    let mut w = one_machine();
    w.submit(JOB, &spec(1));
    w.tick();
    let (id, late) = w.take_commit();
    let mut old = w.take_over();
    let outcome = w.store.apply(&late);
    assert!(
        matches!(&outcome, TransactionOutcome::Conflict { failed } if failed[0] == keys::LEADER)
    );
    old.transaction_answered(w.now, id, outcome);
    assert!(old.take_commands().iter().any(|c| matches!(c, Command::StepDown(_))));
    w.all_report();
    w.all_report();
    w.settle();
    assert_eq!(w.places().len(), 1);
}

/// A start of the last leader's is still under way, and the worker's heartbeat comes from before the
/// new term reached it: that the task is absent proves nothing yet.
#[test]
fn a_take_over_asks_for_its_own_term_before_it_believes_an_absence() {
    let mut w = World::new(&[("n-1", "a"), ("n-2", "a")]);
    let (name, (_, token, agent_epoch, calls)) = w.start_under_way(JOB);
    let other = if name == "n-1" { "n-2" } else { "n-1" };
    w.take_over();
    let before = w.workers.get_mut(&name).expect("worker").heartbeat();
    w.leader.heartbeat(w.now, &before);
    assert_eq!(w.attempt(JOB, 0), Attempt(1));
    w.heartbeat(other);
    w.heartbeat(other);
    w.tick();
    assert!(w.places().is_empty());
    // The old start arrives before the new token does.
    w.workers.get_mut(&name).expect("worker").direct(token, agent_epoch, &calls);
    w.heartbeat(&name);
    w.heartbeat(&name);
    w.settle();
    assert_eq!(w.places().len(), 1);
    assert_eq!(w.attempt(JOB, 0), Attempt(1));
}

#[test]
fn a_take_over_in_mid_round_keeps_what_runs_and_places_the_rest() {
    let mut w = World::new(&[("n-1", "a"), ("n-2", "b")]);
    w.submit(JOB, &spec(8));
    w.tick();
    let (_, transaction) = w.take_commit();
    w.store.apply(&transaction);
    // Written, not sent: the leader dies here.
    w.take_over();
    w.all_report();
    w.all_report();
    w.settle();
    assert_eq!(w.places().len(), 8);
    assert!(w.places().values().all(|m| m.len() == 1));
    assert_eq!(w.attempt(JOB, 0), Attempt(2), "its own start was never confirmed");
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
    let heartbeat = worker.heartbeat();
    let (token, calls) = old.heartbeat(w.now, &heartbeat).expect("an answer");
    worker.answered(heartbeat.agent_epoch, token, &calls);
    assert!(calls.is_empty());
    w.all_report();
    // One that has seen it is not the old leader's any more.
    let heartbeat = w.workers.get_mut("n-1").expect("worker").heartbeat();
    assert!(old.heartbeat(w.now, &heartbeat).is_none());
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
                w.leader.transaction_answered(w.now, id, TransactionOutcome::Rejected);
            }
        }
        assert_eq!(w.phase(JOB, 0), TaskPhase::Pending);
        w.heartbeat("n-1");
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
    assert_eq!(w.leader.cluster.team_usage["capped"].cpus, 4.0, "unknown tasks count");
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
                if state.0 != walnutlug_scheduler::protocol::workers::TaskState::Exited {
                    *state = (
                        walnutlug_scheduler::protocol::workers::TaskState::Exited,
                        Some(walnutlug_scheduler::protocol::workers::ExitReason::Error),
                    );
                }
            }
        }
        w.all_report();
        w.wait(1_000);
    }
    let machines = &w.leader.cluster.machines;
    assert!(machines.iter().all(|m| m.state == MachineState::Up && m.drain_reason.is_none()));
    let job = w.leader.cluster.job(w.leader.cluster.jobs_by_name[JOB]).expect("job");
    let tries = job.tasks.iter().map(|t| t.attempt).max();
    assert!(tries < Some(Attempt(12)), "tried at growing intervals, not {tries:?} times in 80 s");
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

/// Seen on a saturated controller: an attempt was refused with `in_use`, was taken for absent, and the
/// task was started on another machine while an earlier attempt ran on.
#[test]
fn a_refusal_because_the_task_is_there_is_no_absence() {
    use walnutlug_scheduler::protocol::workers::{ExitReason, TaskState};
    let mut w = World::new(&[("n-1", "a"), ("n-2", "a")]);
    w.submit(JOB, &spec(1));
    w.settle();
    w.all_report();
    let place = w.places_of(&format!("{JOB}/0"))[0].to_owned();
    // Against the registry, an earlier attempt is there, and the registry's own was refused for it.
    let task = format!("{JOB}/0");
    let worker = w.workers.get_mut(&place).expect("worker");
    worker.tasks.insert((task.clone(), Attempt(1)), (TaskState::Exited, Some(ExitReason::InUse)));
    worker.tasks.insert((task.clone(), Attempt(0)), (TaskState::Running, None));
    let heartbeat = worker.heartbeat();
    w.leader.heartbeat(w.now, &heartbeat);
    assert_eq!(w.attempt(JOB, 0), Attempt(1), "it is there");
    // Once that attempt was stopped, it goes on elsewhere or there, once.
    for _ in 0..6 {
        w.all_report();
        w.settle();
        assert!(w.places_of(&task).len() <= 1);
    }
    assert_eq!((w.places_of(&task).len(), w.attempt(JOB, 0)), (1, Attempt(2)));
}

/// A machine shows a task live that the registry takes for pending: whatever led to that, the start waits.
#[test]
fn a_start_waits_while_another_machine_shows_the_task_live() {
    use walnutlug_scheduler::protocol::workers::TaskState;
    let mut w = World::new(&[("n-1", "a"), ("n-2", "a")]);
    w.submit(JOB, &spec(1));
    w.tick();
    let (id, transaction) = w.take_commit();
    let outcome = w.store.apply(&transaction);
    w.leader.transaction_answered(w.now, id, outcome);
    let task = format!("{JOB}/0");
    let ix = w.leader.cluster.jobs_by_name[JOB];
    let planned = w.leader.cluster.job(ix).expect("job").tasks[0].machine;
    let planned = w.leader.cluster.machines[planned].name.clone();
    let other = if planned == "n-1" { "n-2" } else { "n-1" };
    let worker = w.workers.get_mut(other).expect("worker");
    worker.tasks.insert((task.clone(), Attempt(7)), (TaskState::Running, None));
    let heartbeat = worker.heartbeat();
    let (token, calls) = w.leader.heartbeat(w.now, &heartbeat).expect("an answer");
    w.settle();
    assert_eq!(w.places_of(&task), [other], "not started beside it");
    w.workers.get_mut(other).expect("worker").answered(AgentEpoch(1), token, &calls);
    w.all_report();
    w.settle();
    assert_eq!(w.places_of(&task), [planned.as_str()], "started once it was stopped");
}
