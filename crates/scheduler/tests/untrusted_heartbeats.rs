//! Tests of heartbeats that must not be trusted: machines that send heartbeats but can't be
//! reached, delayed copies, tokens of other terms, and leaders without their lease. Also tests that
//! waiting jobs are not starved. Each test fails without the check that it covers.

mod world;

use walnutlug_scheduler::command::{Command, MessageOutcome};
use walnutlug_scheduler::event::{Anomaly, Event};
use walnutlug_scheduler::leadership::fencing_token::{FencingToken, Term};
use walnutlug_scheduler::model::ids::{AgentEpoch, Attempt};
use walnutlug_scheduler::model::job_spec::{JobSpec, Priority};
use walnutlug_scheduler::model::machine::MachineState;
use walnutlug_scheduler::model::task::TaskPhase;
use walnutlug_scheduler::protocol::workers::Heartbeat;
use walnutlug_scheduler::reconciliation::heartbeats::{HeartbeatAnswer, HeartbeatRefusal};
use walnutlug_scheduler::scheduler::Scheduler;
use world::{spec, Worker, World};

const JOB: &str = "req-000001";

fn machine<'a>(w: &'a World, name: &str) -> &'a walnutlug_scheduler::model::machine::Machine {
    &w.leader.cluster.machines[w.leader.cluster.machines_by_name[name]]
}

fn next_heartbeat(w: &mut World, name: &str) -> Heartbeat {
    w.workers.get_mut(name).expect("worker").heartbeat()
}

/// Advances time by a second in which the machine's heartbeats arrive but all requests to it are
/// lost. Returns the leader's commands.
fn advance_with_lost_requests(w: &mut World, name: &str) -> Vec<Command> {
    w.wait(1_000);
    let heartbeat = next_heartbeat(w, name);
    let _ = w.leader.handle_heartbeat(w.now, &heartbeat);
    w.tick();
    w.leader.autoscale(w.now);
    let commands = std::mem::take(&mut w.commands);
    for command in &commands {
        if let Command::SendToWorker { machine, .. } = command {
            w.leader.message_answered(w.now, *machine, MessageOutcome::Indeterminate);
        }
    }
    commands.into_iter().chain(w.leader.take_commands()).collect()
}

#[test]
fn a_machine_that_requests_do_not_reach_gets_no_work_and_is_returned() {
    let mut w = World::new(&[("n-1", "a")]);
    let (_, (m, ..)) = w.submit_with_start_in_flight(JOB);
    w.leader.message_answered(w.now, m, MessageOutcome::Indeterminate);
    w.submit("req-000002", &spec(2));
    let mut returned_at = None;
    for second in 0..40 {
        for command in advance_with_lost_requests(&mut w, "n-1") {
            match command {
                Command::Commit { .. } => panic!("a task was placed at second {second}"),
                Command::ScaleIn { .. } => {
                    returned_at.get_or_insert(second);
                }
                _ => {}
            }
        }
        assert_eq!(w.attempt(JOB, 0), Attempt(1), "its heartbeats do not prove absence");
    }
    assert!(returned_at.is_some_and(|s| (5..20).contains(&s)), "{returned_at:?}");
    w.leader.scale_in_answered(w.now, &["n-1".to_owned()], true);
    assert_eq!(w.attempt(JOB, 0), Attempt(2));
}

#[test]
fn a_new_agent_epoch_on_an_unreachable_machine_does_not_reopen_it_for_work() {
    let mut w = World::new(&[("n-1", "a")]);
    w.submit(JOB, &spec(1));
    w.settle();
    assert_eq!(w.phase(JOB, 0), TaskPhase::Running);
    // The lease runs out although the heartbeats arrive, so the worker receives no responses.
    w.workers.get_mut("n-1").expect("worker").expire_lease();
    let heartbeat = next_heartbeat(&mut w, "n-1");
    let _ = w.leader.handle_heartbeat(w.now, &heartbeat);
    assert_eq!(w.attempt(JOB, 0), Attempt(2), "a later agent epoch proves absence");
    w.tick();
    let starts = |w: &World| w.commands.iter().any(|c| matches!(c, Command::Commit { .. }));
    assert!(!starts(&w), "the machine must not get work yet");
    // The worker answers a request, so the machine accepts work again.
    w.settle();
    assert_eq!(w.places().len(), 1);
}

#[test]
fn a_machine_gets_no_work_after_a_lost_request_until_it_acknowledges_the_raised_token() {
    let mut w = World::new(&[("n-1", "a")]);
    let (_, (m, ..)) = w.submit_with_start_in_flight(JOB);
    w.leader.message_answered(w.now, m, MessageOutcome::Indeterminate);
    w.wait(5_000);
    let stale = next_heartbeat(&mut w, "n-1");
    let _ = w.leader.handle_heartbeat(w.now, &stale);
    assert!(
        !w.leader.is_schedulable(w.now, machine(&w, "n-1")),
        "the old heartbeat does not acknowledge the raised token"
    );
    w.heartbeat("n-1");
    w.heartbeat("n-1");
    assert!(w.leader.is_schedulable(w.now, machine(&w, "n-1")));
}

#[test]
fn a_delayed_heartbeat_copy_does_not_change_the_machine_state() {
    let mut w = World::new(&[("n-1", "a")]);
    let mut old = next_heartbeat(&mut w, "n-1");
    old.interruption_notice_s = Some(5.0);
    old.address = "10.9.9.9:9".into();
    w.workers.get_mut("n-1").expect("worker").expire_lease();
    w.heartbeat("n-1");
    w.settle();
    let before = machine(&w, "n-1").clone();
    w.wait(30_000);
    for _ in 0..3 {
        let answer = w.leader.handle_heartbeat(w.now, &old);
        assert!(answer.is_ok_and(|answer| answer.commands.is_empty()));
    }
    let after = machine(&w, "n-1").clone();
    assert_eq!(
        (
            after.agent_epoch,
            after.sequence,
            after.fence.acknowledged(),
            after.last_heartbeat,
            after.interruption_at
        ),
        (
            before.agent_epoch,
            before.sequence,
            before.fence.acknowledged(),
            before.last_heartbeat,
            None
        )
    );
    assert_eq!(after.address, before.address);
    let anomaly_logs = |w: &mut World| {
        let all = w.leader.take_commands();
        all.iter()
            .filter(|c| {
                matches!(c, Command::Log(Event::Anomaly { kind: Anomaly::LateHeartbeat, .. }))
            })
            .count()
    };
    assert_eq!(anomaly_logs(&mut w), 1, "the anomaly is logged once, not for each copy");
}

/// The new leader never saw a newer heartbeat, so the delayed copy is the newest that it knows. The
/// machine has been dead for long.
#[test]
fn a_delayed_heartbeat_copy_at_a_new_leader_only_triggers_a_request() {
    let mut w = World::new(&[("n-1", "a"), ("n-2", "a")]);
    w.submit(JOB, &spec(1));
    w.settle();
    let name = w.places()[&format!("{JOB}/0")][0].clone();
    let mut copy = next_heartbeat(&mut w, &name);
    copy.interruption_notice_s = Some(9.0);
    w.workers.get_mut(&name).expect("worker").alive = false;
    w.take_over();
    let heard = machine(&w, &name).last_heartbeat;
    for _ in 0..5 {
        w.wait(1_000);
        copy.sequence += 1;
        let _ = w.leader.handle_heartbeat(w.now, &copy);
        let m = machine(&w, &name);
        assert_eq!(
            (m.state, m.last_heartbeat, m.interruption_at),
            (MachineState::Booting, heard, None)
        );
        assert!(!w.leader.is_schedulable(w.now, m));
    }
    w.tick();
    let is_heartbeat_request =
        |c: &Command| matches!(c, Command::SendToWorker { calls, .. } if calls.is_empty());
    assert!(w.commands.iter().any(is_heartbeat_request), "the machine is sent a request");
    // A machine known only from such copies is not counted as future capacity, and is returned
    // eventually.
    w.submit("req-000002", &spec(8));
    w.leader.machine_list(w.now, &[]);
    let mut returned = false;
    for _ in 0..20 {
        w.wait(1_000);
        w.leader.autoscale(w.now);
        returned |= w
            .leader
            .take_commands()
            .iter()
            .any(|c| matches!(c, Command::ScaleIn { machines } if machines.contains(&name)));
    }
    assert!(returned);
}

#[test]
fn a_delayed_heartbeat_does_not_revive_a_returned_machine() {
    let mut w = World::new(&[("n-1", "a")]);
    let copy = next_heartbeat(&mut w, "n-1");
    w.leader.machine_gone(w.now, "n-1");
    w.wait(1_000);
    let _ = w.leader.handle_heartbeat(w.now, &copy);
    assert_eq!(machine(&w, "n-1").state, MachineState::Terminated);
    assert_eq!(w.leader.cluster.machines.len(), 1);
}

#[test]
fn a_token_of_a_later_term_makes_the_leader_verify_its_leadership_without_stepping_down() {
    let mut w = World::new(&[("n-1", "a")]);
    let mut from_later_term = next_heartbeat(&mut w, "n-1");
    from_later_term.token = FencingToken::first_of(Term(w.leader.term.get() + 1_000));
    let before = machine(&w, "n-1").clone();
    for _ in 0..3 {
        let answer = w.leader.handle_heartbeat(w.now, &from_later_term);
        assert!(
            matches!(answer, Err(HeartbeatRefusal::NewerTerm { .. })),
            "the worker is refused and turns to another node"
        );
    }
    let commands = w.leader.take_commands();
    assert!(!commands.iter().any(|c| matches!(c, Command::StepDown(_))));
    assert!(commands.contains(&Command::VerifyLeadership));
    let anomaly_logs = commands.iter().filter(|c| matches!(c, Command::Log(_))).count();
    assert_eq!(anomaly_logs, 1, "the anomaly is logged only once");
    assert_eq!(machine(&w, "n-1").fence.acknowledged(), before.fence.acknowledged());
}

/// The leader is cut off from the key-value store and the other nodes, but not from its workers.
#[test]
fn a_leader_without_its_lease_only_answers_heartbeats() {
    let mut w = World::new(&[("n-1", "a"), ("n-2", "a"), ("n-3", "a")]);
    w.submit(JOB, &spec(2));
    w.settle();
    w.submit("req-000002", &spec(3));
    w.tick();
    let (id, transaction) = w.take_commit();
    let outcome = w.store.apply(&transaction);
    w.leader.authority.set_holds_lease(false);
    // The starts were stored before the leader lost its lease, and are no longer sent.
    w.leader.transaction_answered(w.now, id, outcome);
    w.submit("req-000003", &spec(40));
    // All machines but one have moved to the next leader and send no heartbeats here.
    for _ in 0..60 {
        w.wait(1_000);
        w.heartbeat("n-1");
        w.tick();
        w.leader.autoscale(w.now);
        for command in w.leader.take_commands().into_iter().chain(std::mem::take(&mut w.commands)) {
            match command {
                Command::SendToWorker { calls, .. } => assert!(calls.is_empty(), "{calls:?}"),
                Command::Log(_) => {}
                other => panic!("{other:?}"),
            }
        }
    }
    let heartbeat = next_heartbeat(&mut w, "n-1");
    let HeartbeatAnswer { token, .. } = w
        .leader
        .handle_heartbeat(w.now, &heartbeat)
        .expect("the heartbeat is answered, which renews the lease");
    assert!(token >= heartbeat.token);
}

#[test]
fn a_machine_that_restarts_without_its_tasks_runs_each_of_them_once() {
    let mut w = World::new(&[("n-1", "a")]);
    w.submit(JOB, &spec(3));
    w.settle();
    // The machine restarts quickly, with the same name and agent epoch but without tasks.
    w.workers.get_mut("n-1").expect("worker").tasks.clear();
    w.send_all_heartbeats();
    w.settle();
    w.send_all_heartbeats();
    w.settle();
    assert_eq!(w.places().len(), 3);
    assert_eq!(w.attempt(JOB, 0), Attempt(2));
    // The machine restarts with a new agent epoch and without any token.
    let fresh = Worker { agent_epoch: AgentEpoch(2), sequence: 0, ..Worker::new("n-1", "a") };
    w.workers.insert("n-1".into(), fresh);
    w.send_all_heartbeats();
    w.settle();
    w.send_all_heartbeats();
    w.settle();
    assert_eq!(w.places().len(), 3);
    assert_eq!(w.attempt(JOB, 0), Attempt(3));
}

/// A task that needs half a machine competes with small tasks of higher priority, which occupy
/// every processor that becomes free.
#[test]
fn a_large_task_starts_and_runs_despite_small_tasks_of_higher_priority() {
    let machines = ["n-01", "n-02", "n-03", "n-04", "n-05", "n-06"];
    let mut w = World::new(&machines.map(|n| (n, "a")));
    let mut began: std::collections::BTreeMap<String, u64> = Default::default();
    for second in 0..20 {
        w.wait(300);
        submit_overload(&mut w, second);
        w.settle();
    }
    w.submit(JOB, &JobSpec { cpus: 6.0, estimate_s: 60.0, ..spec(4) });
    let accepted = w.now;
    let mut first = None;
    for second in 20..400 {
        submit_overload(&mut w, second);
        w.wait(200);
        w.settle();
        let now = w.now.0 / 1_000_000;
        for (task, machines) in w.places() {
            // The small tasks have different run times, so that no machine becomes empty by chance.
            let index: u64 = task.rsplit('/').next().and_then(|i| i.parse().ok()).unwrap_or(0);
            let runs = if task.starts_with(JOB) { 60 } else { 5 + index };
            let since = *began.entry(task.clone()).or_insert(now);
            if task.starts_with(JOB) && now - since >= 40 {
                first.get_or_insert(w.now.since(accepted).as_secs_f64());
            }
            if now >= since + runs {
                w.finish(&machines[0], &task);
            }
        }
        w.send_all_heartbeats();
    }
    assert!(
        first.is_some_and(|s| s < 240.0),
        "a task first reached 40 s of run time after {first:?} s"
    );
}

/// Submits more high-priority work per step than the fleet can ever complete.
fn submit_overload(w: &mut World, second: u64) {
    let name = format!("req-9{second:05}");
    w.submit(&name, &JobSpec { priority: Priority::High, deadline_s: Some(30.0), ..spec(6) });
}

fn run_for_one_step(
    w: &mut World,
    runs_s: u64,
    began: &mut std::collections::BTreeMap<String, u64>,
) {
    w.wait(200);
    w.settle();
    let now = w.now.0 / 1_000_000;
    for (task, machines) in w.places() {
        if now >= *began.entry(task.clone()).or_insert(now) + runs_s {
            w.finish(&machines[0], &task);
        }
    }
    w.send_all_heartbeats();
}

#[test]
fn a_low_priority_job_starts_and_completes_under_lasting_overload() {
    let machines = ["n-01", "n-02", "n-03", "n-04", "n-05", "n-06", "n-07", "n-08", "n-09", "n-10"];
    let mut w = World::new(&machines.map(|n| (n, "a")));
    let mut began = Default::default();
    for second in 0..10 {
        submit_overload(&mut w, second);
    }
    w.settle();
    w.submit(JOB, &JobSpec { priority: Priority::Low, cpus: 2.0, ..spec(12) });
    let accepted = w.now;
    let has_started = |s: &Scheduler| {
        s.cluster.jobs_by_name.get(JOB).and_then(|&ix| s.cluster.job(ix)).map(|j| j.has_started)
    };
    let (mut first, mut done) = (None, None);
    for second in 10..900 {
        submit_overload(&mut w, second);
        run_for_one_step(&mut w, 8, &mut began);
        let age = w.now.since(accepted).as_secs_f64();
        if has_started(&w.leader) == Some(true) {
            first.get_or_insert(age);
        }
        if w.end(JOB).is_some() {
            done = Some(age);
            break;
        }
    }
    assert!(first.is_some_and(|s| s < 200.0), "the first task started after {first:?} s");
    assert!(done.is_some(), "the low-priority job was starved");
}

#[test]
fn the_response_to_a_heartbeat_with_thousands_of_tasks_fits_into_64_kib() {
    use walnutlug_scheduler::protocol::workers::{HeartbeatResponse, TaskState, TaskStatus};
    let mut w = World::new(&[("n-1", "a")]);
    let mut heartbeat = next_heartbeat(&mut w, "n-1");
    heartbeat.tasks = (0..3_000)
        .map(|i| TaskStatus {
            task: format!("req-999999/{i}"),
            attempt: Attempt(4_000_000),
            state: TaskState::Running,
            cause: None,
        })
        .collect();
    let HeartbeatAnswer { token, commands: calls } =
        w.leader.handle_heartbeat(w.now, &heartbeat).expect("the heartbeat is answered");
    assert!(calls.len() >= 400, "only {} kill commands in the first response", calls.len());
    let answer = serde_json::to_vec(&HeartbeatResponse { token, calls }).expect("json");
    assert!(answer.len() < 64 * 1024, "the response has {} bytes", answer.len());
}
