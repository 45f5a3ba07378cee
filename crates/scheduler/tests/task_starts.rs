//! Tests of task starts, heartbeats and proofs of absence. Each test reproduces one failure: lost
//! or delayed messages, a failover, or a cancellation that races with another transaction.

mod world;

use serde_json::json;
use walnutlug_scheduler::command::{Command, MessageOutcome, TransactionOutcome};
use walnutlug_scheduler::model::ids::{AgentEpoch, Attempt};
use walnutlug_scheduler::model::machine::MachineState;
use walnutlug_scheduler::model::task::TaskPhase;
use walnutlug_scheduler::protocol::cloud::{CloudMachineState, ListedMachine};
use walnutlug_scheduler::protocol::workers::WorkerCommand;
use walnutlug_scheduler::reconciliation::heartbeats::{HeartbeatAnswer, HeartbeatRefusal};
use walnutlug_scheduler::storage::keys;
use walnutlug_scheduler::storage::revision::Revision;
use walnutlug_scheduler::storage::transactions::WriteAllowance;
use world::{one_machine, spec, World};

const JOB: &str = "req-000001";

#[test]
fn a_start_is_stored_before_it_is_sent() {
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
    let (_, _, _, calls) = w.take_worker_message();
    assert_eq!(calls, [WorkerCommand::Run { task: format!("{JOB}/0"), attempt: Attempt(1) }]);
}

#[test]
fn a_completed_job_has_its_run_and_queue_records_deleted() {
    let mut w = World::new(&[("n-1", "a"), ("n-2", "b")]);
    w.submit(JOB, &spec(6));
    w.settle();
    let places = w.places();
    assert_eq!(places.len(), 6);
    for (task, machines) in places {
        assert_eq!(machines.len(), 1);
        w.finish(&machines[0], &task);
    }
    w.send_all_heartbeats();
    w.settle();
    assert_eq!(w.end(JOB), Some(&json!("done")));
    w.send_all_heartbeats();
    w.settle();
    assert!(!w.store.keys.keys().any(|k| k.starts_with("run/") || k.starts_with("todo/")));
    assert!(w.store.keys.contains_key(&keys::job(JOB)), "the job record is kept permanently");
    assert!(w.workers.values().all(|w| w.tasks.is_empty()), "all tasks are reaped");
}

/// The start is delayed in transit, and a heartbeat under the same token doesn't list the task.
/// This proves nothing, because the start may still be executed when it arrives.
#[test]
fn a_heartbeat_without_the_task_under_the_same_token_does_not_prove_absence() {
    let mut w = World::new(&[("n-1", "a"), ("n-2", "a")]);
    let (name, (machine, token, agent_epoch, calls)) = w.submit_with_start_in_flight(JOB);
    w.heartbeat(&name);
    w.settle();
    assert_eq!(w.phase(JOB, 0), TaskPhase::Dispatching);
    assert!(w.places().is_empty());
    // The start arrives late and is executed; the task still runs only once.
    w.deliver(machine, token, agent_epoch, &calls);
    w.settle();
    assert_eq!(w.places().len(), 1);
    assert_eq!(w.phase(JOB, 0), TaskPhase::Running);
}

/// The answer to a start is lost. The raised fencing token makes the worker refuse the delayed
/// start, and only a heartbeat that has seen the token allows a new attempt on another machine.
#[test]
fn a_lost_start_is_retried_only_after_the_worker_has_seen_a_raised_token() {
    let mut w = World::new(&[("n-1", "a"), ("n-2", "a")]);
    let (name, (machine, token, agent_epoch, calls)) = w.submit_with_start_in_flight(JOB);
    w.leader.message_answered(w.now, machine, MessageOutcome::Indeterminate);
    // The worker has not seen the raised token when it sends this heartbeat.
    let old = w.workers.get_mut(&name).expect("worker").heartbeat();
    let _ = w.leader.handle_heartbeat(w.now, &old);
    assert_eq!(w.attempt(JOB, 0), Attempt(1));
    w.wait(2_000);
    w.settle();
    assert_eq!(w.attempt(JOB, 0), Attempt(2));
    assert_eq!(w.places().len(), 1);
    // The delayed request arrives at last and is refused.
    w.workers.get_mut(&name).expect("worker").run_commands(token, agent_epoch, &calls);
    assert!(w.places().values().all(|m| m.len() == 1));
}

/// A start waits while another request to the machine is in flight. A raised token and a heartbeat
/// must not prove the start absent: it would still be sent, in addition to its next attempt.
#[test]
fn a_start_not_sent_yet_is_not_proven_absent_by_a_heartbeat() {
    let mut w = one_machine();
    w.submit(JOB, &spec(1));
    w.place_and_record();
    w.leader.cluster.machines[0].fence.raise();
    w.heartbeat("n-1");
    w.heartbeat("n-1");
    assert_eq!((w.phase(JOB, 0), w.attempt(JOB, 0)), (TaskPhase::Recorded, Attempt(1)));
    w.settle();
    assert_eq!(w.places().len(), 1);
    assert_eq!(w.attempt(JOB, 0), Attempt(1));
}

#[test]
fn an_unsent_start_is_retracted_and_placed_again_after_the_agent_epoch_changes() {
    let mut w = one_machine();
    w.submit(JOB, &spec(1));
    w.tick();
    let (id, transaction) = w.take_commit();
    w.workers.get_mut("n-1").expect("worker").expire_lease();
    w.heartbeat("n-1");
    let outcome = w.store.apply(&transaction);
    w.leader.transaction_answered(w.now, id, outcome);
    w.settle();
    assert_eq!(w.attempt(JOB, 0), Attempt(2));
    assert_eq!(w.places().len(), 1);
}

#[test]
fn a_refused_connection_retracts_the_start_immediately() {
    let mut w = World::new(&[("n-1", "a"), ("n-2", "a")]);
    let (_, (machine, ..)) = w.submit_with_start_in_flight(JOB);
    w.leader.message_answered(w.now, machine, MessageOutcome::NotSent);
    assert_eq!((w.phase(JOB, 0), w.attempt(JOB, 0)), (TaskPhase::Pending, Attempt(2)));
    w.settle();
    assert_eq!(w.places().len(), 1);
}

/// The refused connection is reported only after the machine was returned and the next attempt of
/// the task runs elsewhere. It must affect only the old attempt.
#[test]
fn a_refused_connection_does_not_affect_the_next_attempt() {
    let mut w = World::new(&[("n-1", "a"), ("n-2", "a")]);
    let (name, (machine, ..)) = w.submit_with_start_in_flight(JOB);
    w.workers.get_mut(&name).expect("worker").alive = false;
    w.leader.machine_gone(w.now, &name);
    w.settle();
    assert_eq!((w.phase(JOB, 0), w.attempt(JOB, 0)), (TaskPhase::Running, Attempt(2)));
    w.leader.message_answered(w.now, machine, MessageOutcome::NotSent);
    assert_eq!((w.phase(JOB, 0), w.attempt(JOB, 0)), (TaskPhase::Running, Attempt(2)));
}

#[test]
fn an_unconfirmed_start_becomes_unknown_and_is_not_sent_again() {
    let mut w = one_machine();
    let (_, (machine, ..)) = w.submit_with_start_in_flight(JOB);
    w.leader.message_answered(w.now, machine, MessageOutcome::Indeterminate);
    w.workers.get_mut("n-1").expect("worker").alive = false;
    for _ in 0..30 {
        w.wait(1_000);
        w.settle();
    }
    assert_eq!((w.phase(JOB, 0), w.attempt(JOB, 0)), (TaskPhase::Unknown, Attempt(1)));
}

#[test]
fn a_silent_machine_does_not_prove_absence_but_a_returned_machine_does() {
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
    assert_eq!(w.attempt(JOB, 0), Attempt(1), "silence for two minutes does not prove absence");
    let state =
        |w: &World| w.leader.cluster.machines[w.leader.cluster.machines_by_name[&machine]].state;
    assert_eq!(
        state(&w),
        MachineState::Terminating,
        "the machine is returned, because nothing else proves absence"
    );
    w.leader.scale_in_answered(w.now, std::slice::from_ref(&machine), false);
    assert_eq!(w.attempt(JOB, 0), Attempt(1), "a return without an answer does not prove absence");
    w.leader.scale_in_answered(w.now, std::slice::from_ref(&machine), true);
    assert_eq!((w.phase(JOB, 0), w.attempt(JOB, 0)), (TaskPhase::Pending, Attempt(2)));
}

#[test]
fn a_machine_missing_from_the_cloud_list_does_not_prove_absence_but_a_failed_one_does() {
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
fn a_completion_is_stored_before_the_task_is_reaped() {
    let mut w = one_machine();
    w.submit(JOB, &spec(2));
    w.settle();
    w.finish("n-1", &format!("{JOB}/0"));
    w.heartbeat("n-1");
    w.heartbeat("n-1");
    let kept = |w: &World| w.workers["n-1"].tasks.keys().any(|k| k.0.ends_with("/0"));
    assert!(kept(&w), "the completion is not stored yet");
    w.wait(4_500);
    w.settle();
    w.heartbeat("n-1");
    assert!(!kept(&w));
    let before = w.workers["n-1"].token;
    assert!(before > w.token_now(), "a reap is sent with a raised token");
}

/// A copy of the start arrives after the reap. The worker has forgotten the attempt, so only the
/// fencing token prevents it from running the task again.
#[test]
fn a_reap_raises_the_token_above_delayed_copies_of_the_start() {
    let mut w = one_machine();
    w.submit(JOB, &spec(2));
    w.place_and_commit();
    let (machine, token, agent_epoch, calls) = w.take_worker_message();
    w.deliver(machine, token, agent_epoch, &calls);
    w.finish("n-1", &format!("{JOB}/0"));
    w.heartbeat("n-1");
    w.wait(4_500);
    w.settle();
    w.heartbeat("n-1");
    assert!(!w.workers["n-1"].tasks.keys().any(|k| k.0.ends_with("/0")));
    w.workers.get_mut("n-1").expect("worker").run_commands(token, agent_epoch, &calls);
    assert!(
        !w.workers["n-1"].live().contains(&format!("{JOB}/0")),
        "a completed task was started again"
    );
}

#[test]
fn an_older_heartbeat_after_a_completion_does_not_revert_it() {
    let mut w = one_machine();
    w.submit(JOB, &spec(2));
    w.settle();
    let old = w.workers.get_mut("n-1").expect("worker").heartbeat();
    w.finish("n-1", &format!("{JOB}/0"));
    w.heartbeat("n-1");
    assert_eq!(w.phase(JOB, 0), TaskPhase::Done);
    let _ = w.leader.handle_heartbeat(w.now, &old);
    assert_eq!(w.phase(JOB, 0), TaskPhase::Done);
    assert_eq!(w.phase(JOB, 1), TaskPhase::Running);
}

#[test]
fn a_cancellation_stored_before_the_start_transaction_prevents_the_start() {
    let mut w = one_machine();
    w.submit(JOB, &spec(1));
    w.tick();
    let (id, transaction) = w.take_commit();
    w.store.put(&keys::end(JOB), json!("aborted"));
    let outcome = w.store.apply(&transaction);
    assert!(matches!(outcome, TransactionOutcome::Conflict { .. }));
    w.leader.transaction_answered(w.now, id, outcome);
    w.settle();
    w.send_all_heartbeats();
    w.settle();
    assert!(w.places().is_empty());
    assert!(!w.store.keys.contains_key(&keys::todo(JOB)), "cleaned up");
}

#[test]
fn a_cancellation_between_commit_and_send_prevents_the_start() {
    let mut w = one_machine();
    w.submit(JOB, &spec(1));
    w.tick();
    let (id, transaction) = w.take_commit();
    let outcome = w.store.apply(&transaction);
    w.store.put(&keys::end(JOB), json!("aborted"));
    w.leader.transaction_answered(w.now, id, outcome);
    w.leader.mark_job_ended(w.now, JOB);
    w.settle();
    assert!(w.places().is_empty());
}

/// Asserts that the cancelled job holds no room on the machine and that its records are deleted.
fn assert_cancelled_job_leaves_nothing(w: &mut World) {
    w.settle();
    w.send_all_heartbeats();
    w.settle();
    assert!(!w.leader.cluster.jobs_by_name.contains_key(JOB), "its records are deleted");
    assert!(!w.store.keys.contains_key(&keys::todo(JOB)));
    assert!(w.leader.cluster.machines.iter().all(|machine| machine.used().cpus == 0.0));
}

/// Guards against room that stays taken for the rest of a term: the write rate allowed no write of
/// the planned start before the job was cancelled, so no outcome ever settled it.
#[test]
fn a_cancellation_before_the_planned_start_is_written_frees_its_room() {
    let mut w = one_machine();
    let (first_job, no_writes) = ("req-000000", WriteAllowance { left: 0.0, per_s: 10.0 });
    w.submit(first_job, &spec(1));
    w.submit(JOB, &spec(1));
    w.leader.set_write_allowance(WriteAllowance { left: 1.0, ..no_writes });
    w.tick();
    let (_, transaction) = w.take_commit();
    assert!(transaction.compares.iter().any(|c| c.key == keys::run(first_job, 0)));
    assert_eq!(w.phase(JOB, 0), TaskPhase::Planned);
    w.leader.set_write_allowance(no_writes);
    w.cancel_job(first_job);
    w.cancel_job(JOB);
    w.leader.transaction_answered(w.now, 1, TransactionOutcome::Rejected);
    w.leader.set_write_allowance(WriteAllowance { left: 100.0, per_s: 100.0 });
    w.wait(400);
    assert_cancelled_job_leaves_nothing(&mut w);
}

/// The same for a start that was planned while a write of its chunk was open.
#[test]
fn a_cancellation_while_an_earlier_write_of_the_chunk_is_open_frees_the_planned_room() {
    for is_executed in [true, false] {
        let mut w = one_machine();
        w.submit(JOB, &spec(5));
        w.tick();
        let (id, transaction) = w.take_commit();
        w.workers.insert("n-2".to_owned(), world::Worker::new("n-2", "a"));
        w.heartbeat("n-2");
        w.heartbeat("n-2");
        w.wait(300);
        w.tick();
        assert_eq!(w.phase(JOB, 4), TaskPhase::Planned);
        let outcome = match is_executed {
            true => w.store.apply(&transaction),
            false => TransactionOutcome::Rejected,
        };
        w.cancel_job(JOB);
        w.leader.transaction_answered(w.now, id, outcome);
        w.wait(400);
        assert_cancelled_job_leaves_nothing(&mut w);
    }
}

#[test]
fn a_cancellation_stored_before_the_last_completion_decides_the_jobs_end() {
    let mut w = one_machine();
    w.submit(JOB, &spec(1));
    w.settle();
    w.finish("n-1", &format!("{JOB}/0"));
    w.heartbeat("n-1");
    w.tick();
    w.store.put(&keys::end(JOB), json!("aborted"));
    w.settle();
    assert_eq!(w.end(JOB), Some(&json!("aborted")));
    w.send_all_heartbeats();
    w.settle();
    assert!(w.leader.cluster.jobs_by_name.is_empty());
}

#[test]
fn tasks_of_a_cancelled_job_are_killed() {
    let mut w = World::new(&[("n-1", "a"), ("n-2", "b")]);
    w.submit(JOB, &spec(6));
    w.settle();
    w.store.put(&keys::end(JOB), json!("aborted"));
    w.leader.mark_job_ended(w.now, JOB);
    w.settle();
    assert!(w.places().is_empty());
}

/// The answer to the transaction that stores the starts is lost. Nothing is sent until its outcome
/// has been read back; then each start is sent once.
#[test]
fn starts_are_not_sent_until_an_indeterminate_transaction_is_read_back() {
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
fn a_lost_transaction_is_repeated_and_its_late_copy_fails() {
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
        "the late copy is rejected"
    );
}

#[test]
fn a_late_transaction_of_the_previous_leader_fails_and_makes_it_step_down() {
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
    w.send_all_heartbeats();
    w.send_all_heartbeats();
    w.settle();
    assert_eq!(w.places().len(), 1);
}

/// A start sent by the previous leader is still in transit, and the worker's heartbeat is from
/// before the new term reached it. A task missing from that heartbeat is not proven absent.
#[test]
fn a_new_leader_accepts_absence_only_from_workers_that_have_seen_its_term() {
    let mut w = World::new(&[("n-1", "a"), ("n-2", "a")]);
    let (name, (_, token, agent_epoch, calls)) = w.submit_with_start_in_flight(JOB);
    let other = if name == "n-1" { "n-2" } else { "n-1" };
    w.take_over();
    let before = w.workers.get_mut(&name).expect("worker").heartbeat();
    let _ = w.leader.handle_heartbeat(w.now, &before);
    assert_eq!(w.attempt(JOB, 0), Attempt(1));
    w.heartbeat(other);
    w.heartbeat(other);
    w.tick();
    assert!(w.places().is_empty());
    // The old start arrives before the worker has seen the new token.
    w.workers.get_mut(&name).expect("worker").run_commands(token, agent_epoch, &calls);
    w.heartbeat(&name);
    w.heartbeat(&name);
    w.settle();
    assert_eq!(w.places().len(), 1);
    assert_eq!(w.attempt(JOB, 0), Attempt(1));
}

#[test]
fn a_new_leader_retries_starts_that_were_stored_but_not_sent() {
    let mut w = World::new(&[("n-1", "a"), ("n-2", "b")]);
    w.submit(JOB, &spec(8));
    w.tick();
    let (_, transaction) = w.take_commit();
    w.store.apply(&transaction);
    // The starts are stored but not sent when the leader fails.
    w.take_over();
    w.send_all_heartbeats();
    w.send_all_heartbeats();
    w.settle();
    assert_eq!(w.places().len(), 8);
    assert!(w.places().values().all(|m| m.len() == 1));
    assert_eq!(w.attempt(JOB, 0), Attempt(2), "the stored start was never confirmed");
}

#[test]
fn a_replaced_leader_renews_leases_but_starts_nothing() {
    let mut w = World::new(&[("n-1", "a"), ("n-2", "b")]);
    w.submit(JOB, &spec(4));
    w.settle();
    let mut old = w.take_over();
    old.mark_job_ended(w.now, "req-999999");
    // The old leader may still renew the lease of a worker that has not seen the new term, so its
    // tasks keep running.
    let worker = w.workers.get_mut("n-1").expect("worker");
    let heartbeat = worker.heartbeat();
    let HeartbeatAnswer { token, commands: calls } =
        old.handle_heartbeat(w.now, &heartbeat).expect("the heartbeat is answered");
    worker.receive_heartbeat_response(heartbeat.agent_epoch, token, &calls);
    assert!(calls.is_empty());
    w.send_all_heartbeats();
    // A worker that has seen the new term is no longer answered by the old leader.
    let heartbeat = w.workers.get_mut("n-1").expect("worker").heartbeat();
    let answer = old.handle_heartbeat(w.now, &heartbeat);
    assert!(matches!(answer, Err(HeartbeatRefusal::NewerTerm { .. })));
    w.settle();
    assert_eq!(w.places().len(), 4);
}

#[test]
fn rejected_transactions_start_no_tasks_and_are_retried_after_the_outage() {
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
fn a_team_limit_counts_tasks_not_proven_absent() {
    let mut w = World::new(&[("n-1", "a"), ("n-2", "b")]);
    let mut capped = spec(4);
    capped.team = "capped".into();
    w.submit(JOB, &capped);
    w.settle();
    assert_eq!(w.places().len(), 2, "two tasks with two processors each reach the team's limit");
    let machine = w.places()[&format!("{JOB}/0")][0].clone();
    w.workers.get_mut(&machine).expect("worker").alive = false;
    for _ in 0..20 {
        w.wait(2_000);
        w.send_all_heartbeats();
        w.settle();
    }
    assert_eq!(
        w.leader.cluster.team_usage["capped"].cpus, 4.0,
        "tasks in unknown state count towards the limit"
    );
    w.leader.machine_gone(w.now, &machine);
    w.send_all_heartbeats();
    w.settle();
    assert_eq!(w.places().len(), 2);
}

#[test]
fn jobs_spread_over_zones_or_stay_in_one_zone_as_requested() {
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
    assert_eq!(w.places().len(), 4, "the tasks fill the machine of a single zone");
    assert!(count(&w, "a") == 0 || count(&w, "b") == 0);
}

#[test]
fn stored_values_of_a_job_with_a_hundred_thousand_tasks_stay_within_the_size_limit() {
    let mut w = one_machine();
    w.submit(JOB, &spec(100_000));
    w.settle();
    assert_eq!(w.places().len(), 4);
    for (value, _) in w.store.keys.values() {
        assert!(value.to_string().len() <= 4096);
    }
}

#[test]
fn a_job_that_fails_everywhere_drains_no_machine_and_is_retried_less_often() {
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
        w.send_all_heartbeats();
        w.wait(1_000);
    }
    let machines = &w.leader.cluster.machines;
    assert!(machines.iter().all(|m| m.state == MachineState::Up && m.drain_reason.is_none()));
    let job = w.leader.cluster.job(w.leader.cluster.jobs_by_name[JOB]).expect("job");
    let tries = job.tasks.iter().map(|t| t.attempt).max();
    assert!(
        tries < Some(Attempt(12)),
        "attempts should become rarer, but there were {tries:?} in 80 s"
    );
}

#[test]
fn extreme_run_time_estimates_leave_finite_slack_in_the_queue() {
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

/// A worker refuses an attempt with `in_use` while an earlier attempt of the task is running.
/// Taking the refusal for absence started the task on a second machine; this was seen on an
/// overloaded controller.
#[test]
fn a_refusal_because_the_task_is_already_running_does_not_prove_absence() {
    use walnutlug_scheduler::protocol::workers::{ExitReason, TaskState};
    let mut w = World::new(&[("n-1", "a"), ("n-2", "a")]);
    w.submit(JOB, &spec(1));
    w.settle();
    w.send_all_heartbeats();
    let place = w.places_of(&format!("{JOB}/0"))[0].to_owned();
    // Contrary to the cluster state, an earlier attempt is running, and the recorded attempt was
    // refused because of it.
    let task = format!("{JOB}/0");
    let worker = w.workers.get_mut(&place).expect("worker");
    worker.tasks.insert((task.clone(), Attempt(1)), (TaskState::Exited, Some(ExitReason::InUse)));
    worker.tasks.insert((task.clone(), Attempt(0)), (TaskState::Running, None));
    let heartbeat = worker.heartbeat();
    let _ = w.leader.handle_heartbeat(w.now, &heartbeat);
    assert_eq!(w.attempt(JOB, 0), Attempt(1), "the task is still on its machine");
    // After the earlier attempt was stopped, the task runs once, on either machine.
    for _ in 0..6 {
        w.send_all_heartbeats();
        w.settle();
        assert!(w.places_of(&task).len() <= 1);
    }
    assert_eq!((w.places_of(&task).len(), w.attempt(JOB, 0)), (1, Attempt(2)));
}

/// A machine reports a task as live that the cluster state has as pending. Whatever the cause, the
/// start must wait until the reported attempt has stopped.
#[test]
fn a_start_waits_while_another_machine_reports_the_task_as_live() {
    use walnutlug_scheduler::protocol::workers::TaskState;
    let mut w = World::new(&[("n-1", "a"), ("n-2", "a")]);
    w.submit(JOB, &spec(1));
    w.place_and_record();
    let task = format!("{JOB}/0");
    let ix = w.leader.cluster.jobs_by_name[JOB];
    let planned_machine =
        w.leader.cluster.job(ix).expect("job").tasks.get(0).expect("task").machine;
    let planned_machine = w.leader.cluster.machines[planned_machine].name.clone();
    let other = if planned_machine == "n-1" { "n-2" } else { "n-1" };
    let worker = w.workers.get_mut(other).expect("worker");
    worker.tasks.insert((task.clone(), Attempt(7)), (TaskState::Running, None));
    let heartbeat = worker.heartbeat();
    let HeartbeatAnswer { token, commands: calls } =
        w.leader.handle_heartbeat(w.now, &heartbeat).expect("the heartbeat is answered");
    w.settle();
    assert_eq!(w.places_of(&task), [other], "no second copy is started");
    w.workers.get_mut(other).expect("worker").receive_heartbeat_response(
        AgentEpoch(1),
        token,
        &calls,
    );
    w.send_all_heartbeats();
    w.settle();
    assert_eq!(
        w.places_of(&task),
        [planned_machine.as_str()],
        "started after the other attempt was stopped"
    );
}

/// Two machines report other attempts of the task as live. Guards against a start that is sent when
/// the first of them has stopped: the second report replaced the first, and ended with it.
#[test]
fn a_start_waits_until_every_machine_that_reports_the_task_as_live_has_stopped_it() {
    use walnutlug_scheduler::protocol::workers::TaskState;
    let mut w = one_machine();
    w.submit(JOB, &spec(1));
    w.place_and_record();
    let task = format!("{JOB}/0");
    for (name, attempt) in [("n-2", Attempt(7)), ("n-3", Attempt(8))] {
        let mut worker = world::Worker::new(name, "a");
        worker.tasks.insert((task.clone(), attempt), (TaskState::Running, None));
        let heartbeat = worker.heartbeat();
        w.workers.insert(name.to_owned(), worker);
        // The answer, which tells the worker to stop the task, is lost.
        let _ = w.leader.handle_heartbeat(w.now, &heartbeat);
    }
    w.workers.get_mut("n-3").expect("worker").tasks.clear();
    w.heartbeat("n-3");
    w.settle();
    assert_eq!(w.places_of(&task), ["n-2"], "no second copy is started");
    w.workers.get_mut("n-2").expect("worker").tasks.clear();
    w.heartbeat("n-2");
    w.settle();
    assert_eq!(w.places_of(&task), ["n-1"]);
}

/// The outcome of a transaction arrives for an attempt that has ended. It is ignored for the task,
/// and the log shows what was recorded and what the task had become.
#[test]
fn an_outcome_that_is_ignored_for_a_start_is_logged() {
    use walnutlug_scheduler::event::{Event, StartOutcome, SupersededStart};
    use walnutlug_scheduler::protocol::workers::{ExitReason, TaskState};
    let mut w = one_machine();
    w.submit(JOB, &spec(1));
    w.tick();
    let (id, _) = w.take_commit();
    let task = format!("{JOB}/0");
    let worker = w.workers.get_mut("n-1").expect("worker");
    worker.tasks.insert((task.clone(), Attempt(1)), (TaskState::Exited, Some(ExitReason::Stopped)));
    w.heartbeat("n-1");
    w.leader.transaction_answered(w.now, id, TransactionOutcome::Rejected);
    let logged = Command::Log(Event::StartSuperseded(SupersededStart {
        task,
        outcome: StartOutcome::NotRecorded,
        attempt: Attempt(1),
        machine: "n-1".to_owned(),
        current_phase: TaskPhase::Pending,
        current_attempt: Attempt(2),
        current_machine: None,
    }));
    assert!(w.leader.take_commands().contains(&logged));
}
