//! Machines that are heard and don't hear, copies that come late, leaders without their lease, and
//! jobs that wait: each test is of one guard, and fails without it.

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

fn report_of(w: &mut World, name: &str) -> Heartbeat {
    w.workers.get_mut(name).expect("worker").heartbeat()
}

/// Plays a second in which the machine's heartbeats arrive and nothing reaches it.
fn deaf_second(w: &mut World, name: &str) -> Vec<Command> {
    w.wait(1_000);
    let heartbeat = report_of(w, name);
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
fn a_machine_that_does_not_hear_gets_no_more_work_and_is_given_back() {
    let mut w = World::new(&[("n-1", "a")]);
    let (_, (m, ..)) = w.start_under_way(JOB);
    w.leader.message_answered(w.now, m, MessageOutcome::Indeterminate);
    w.submit("req-000002", &spec(2));
    let mut given_back = None;
    for second in 0..40 {
        for command in deaf_second(&mut w, "n-1") {
            match command {
                Command::Commit { .. } => panic!("something was placed on it at {second}"),
                Command::ScaleIn { .. } => {
                    given_back.get_or_insert(second);
                }
                _ => {}
            }
        }
        assert_eq!(w.attempt(JOB, 0), Attempt(1), "its reports prove nothing");
    }
    assert!(given_back.is_some_and(|s| (5..20).contains(&s)), "{given_back:?}");
    w.leader.scale_in_answered(w.now, &["n-1".to_owned()], true);
    assert_eq!(w.attempt(JOB, 0), Attempt(2));
}

#[test]
fn a_new_session_of_a_machine_that_does_not_hear_opens_nothing() {
    let mut w = World::new(&[("n-1", "a")]);
    w.submit(JOB, &spec(1));
    w.settle();
    assert_eq!(w.phase(JOB, 0), TaskPhase::Running);
    // Its lease runs out although its heartbeats arrive: it hears no answer.
    w.workers.get_mut("n-1").expect("worker").lease_ends();
    let heartbeat = report_of(&mut w, "n-1");
    let _ = w.leader.handle_heartbeat(w.now, &heartbeat);
    assert_eq!(w.attempt(JOB, 0), Attempt(2), "a later session is proof");
    w.tick();
    let starts = |w: &World| w.commands.iter().any(|c| matches!(c, Command::Commit { .. }));
    assert!(!starts(&w), "and opens nothing");
    // It answers after all, and is trusted again.
    w.settle();
    assert_eq!(w.places().len(), 1);
}

#[test]
fn a_lost_message_closes_a_machine_until_it_shows_the_raised_token() {
    let mut w = World::new(&[("n-1", "a")]);
    let (_, (m, ..)) = w.start_under_way(JOB);
    w.leader.message_answered(w.now, m, MessageOutcome::Indeterminate);
    w.wait(5_000);
    let stale = report_of(&mut w, "n-1");
    let _ = w.leader.handle_heartbeat(w.now, &stale);
    assert!(!w.leader.open_for_work(w.now, machine(&w, "n-1")), "nothing shows that it hears");
    w.heartbeat("n-1");
    w.heartbeat("n-1");
    assert!(w.leader.open_for_work(w.now, machine(&w, "n-1")));
}

#[test]
fn an_older_copy_changes_nothing_that_is_trusted() {
    let mut w = World::new(&[("n-1", "a")]);
    let mut old = report_of(&mut w, "n-1");
    old.interruption_notice_s = Some(5.0);
    old.address = "10.9.9.9:9".into();
    w.workers.get_mut("n-1").expect("worker").lease_ends();
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
    let notes = |w: &mut World| {
        let all = w.leader.take_commands();
        all.iter()
            .filter(|c| {
                matches!(c, Command::Log(Event::Anomaly { kind: Anomaly::LateHeartbeat, .. }))
            })
            .count()
    };
    assert_eq!(notes(&mut w), 1, "logged once, not per copy");
}

/// A new leader never saw the newer heartbeat, so the copy is the newest it knows. The machine is
/// long dead.
#[test]
fn a_late_copy_at_a_new_leader_only_makes_it_ask() {
    let mut w = World::new(&[("n-1", "a"), ("n-2", "a")]);
    w.submit(JOB, &spec(1));
    w.settle();
    let name = w.places()[&format!("{JOB}/0")][0].clone();
    let mut copy = report_of(&mut w, &name);
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
        assert!(!w.leader.open_for_work(w.now, m));
    }
    w.tick();
    let asks = |c: &Command| matches!(c, Command::SendToWorker { calls, .. } if calls.is_empty());
    assert!(w.commands.iter().any(asks), "it is asked");
    // What is not heard of otherwise is not counted on to come, nor kept for ever.
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
fn a_machine_that_was_given_back_is_not_made_anew_by_its_old_report() {
    let mut w = World::new(&[("n-1", "a")]);
    let copy = report_of(&mut w, "n-1");
    w.leader.machine_gone(w.now, "n-1");
    w.wait(1_000);
    let _ = w.leader.handle_heartbeat(w.now, &copy);
    assert_eq!(machine(&w, "n-1").state, MachineState::Terminated);
    assert_eq!(w.leader.cluster.machines.len(), 1);
}

#[test]
fn a_token_from_the_future_makes_the_leader_look_and_not_leave() {
    let mut w = World::new(&[("n-1", "a")]);
    let mut odd = report_of(&mut w, "n-1");
    odd.token = FencingToken::first_of(Term(w.leader.term.get() + 1_000));
    let before = machine(&w, "n-1").clone();
    for _ in 0..3 {
        let answer = w.leader.handle_heartbeat(w.now, &odd);
        assert!(
            matches!(answer, Err(HeartbeatRefusal::NewerTerm { .. })),
            "the worker goes elsewhere"
        );
    }
    let commands = w.leader.take_commands();
    assert!(!commands.iter().any(|c| matches!(c, Command::StepDown(_))));
    assert!(commands.contains(&Command::VerifyLeadership));
    let notes = commands.iter().filter(|c| matches!(c, Command::Log(_))).count();
    assert_eq!(notes, 1, "logged once");
    assert_eq!(machine(&w, "n-1").fence.acknowledged(), before.fence.acknowledged());
}

/// Cut off from the key-value store and the other nodes, but not from its workers.
#[test]
fn a_leader_without_its_lease_answers_workers_and_does_nothing_else() {
    let mut w = World::new(&[("n-1", "a"), ("n-2", "a"), ("n-3", "a")]);
    w.submit(JOB, &spec(2));
    w.settle();
    w.submit("req-000002", &spec(3));
    w.tick();
    let (id, transaction) = w.take_commit();
    let outcome = w.store.apply(&transaction);
    w.leader.authority.set_holds_lease(false);
    // Written before the cut, and not sent any more.
    w.leader.transaction_answered(w.now, id, outcome);
    w.submit("req-000003", &spec(40));
    // All but one machine have gone over to the next leader, and are silent here.
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
    let heartbeat = report_of(&mut w, "n-1");
    let HeartbeatAnswer { token, .. } =
        w.leader.handle_heartbeat(w.now, &heartbeat).expect("an answer that renews its lease");
    assert!(token >= heartbeat.token);
}

#[test]
fn a_machine_back_at_once_without_its_tasks_runs_them_once() {
    let mut w = World::new(&[("n-1", "a")]);
    w.submit(JOB, &spec(3));
    w.settle();
    // Back within a moment: the same name and agent epoch, and nothing on it.
    w.workers.get_mut("n-1").expect("worker").tasks.clear();
    w.all_report();
    w.settle();
    w.all_report();
    w.settle();
    assert_eq!(w.places().len(), 3);
    assert_eq!(w.attempt(JOB, 0), Attempt(2));
    // With a new agent epoch, and having forgotten every token.
    let fresh = Worker { agent_epoch: AgentEpoch(2), sequence: 0, ..Worker::new("n-1", "a") };
    w.workers.insert("n-1".into(), fresh);
    w.all_report();
    w.settle();
    w.all_report();
    w.settle();
    assert_eq!(w.places().len(), 3);
    assert_eq!(w.attempt(JOB, 0), Attempt(3));
}

/// A task that needs half a machine among small ones that take every bit that gets free, and whose
/// priority is higher.
#[test]
fn a_large_task_among_small_ones_begins_and_is_left_to_run() {
    let machines = ["n-01", "n-02", "n-03", "n-04", "n-05", "n-06"];
    let mut w = World::new(&machines.map(|n| (n, "a")));
    let mut began: std::collections::BTreeMap<String, u64> = Default::default();
    for second in 0..20 {
        w.wait(300);
        overload(&mut w, second);
        w.settle();
    }
    w.submit(JOB, &JobSpec { cpus: 6.0, estimate_s: 60.0, ..spec(4) });
    let accepted = w.now;
    let mut first = None;
    for second in 20..400 {
        overload(&mut w, second);
        w.wait(200);
        w.settle();
        let now = w.now.0 / 1_000_000;
        for (task, machines) in w.places() {
            // The small ones run out of step, so that no machine is ever empty by chance.
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
        w.all_report();
    }
    assert!(first.is_some_and(|s| s < 240.0), "its first task ran 40 s on end by {first:?} s");
}

/// More high-priority work than the fleet can ever do.
fn overload(w: &mut World, second: u64) {
    let name = format!("req-9{second:05}");
    w.submit(&name, &JobSpec { priority: Priority::High, deadline_s: Some(30.0), ..spec(6) });
}

fn play_second(w: &mut World, runs_s: u64, began: &mut std::collections::BTreeMap<String, u64>) {
    w.wait(200);
    w.settle();
    let now = w.now.0 / 1_000_000;
    for (task, machines) in w.places() {
        if now >= *began.entry(task.clone()).or_insert(now) + runs_s {
            w.finish(&machines[0], &task);
        }
    }
    w.all_report();
}

#[test]
fn under_lasting_overload_the_largest_begins_in_time_and_the_old_get_done() {
    let machines = ["n-01", "n-02", "n-03", "n-04", "n-05", "n-06", "n-07", "n-08", "n-09", "n-10"];
    let mut w = World::new(&machines.map(|n| (n, "a")));
    let mut began = Default::default();
    for second in 0..10 {
        overload(&mut w, second);
    }
    w.settle();
    w.submit(JOB, &JobSpec { priority: Priority::Low, cpus: 2.0, ..spec(12) });
    let accepted = w.now;
    let begun = |s: &Scheduler| {
        s.cluster.jobs_by_name.get(JOB).and_then(|&ix| s.cluster.job(ix)).map(|j| j.has_started)
    };
    let (mut first, mut done) = (None, None);
    for second in 10..900 {
        overload(&mut w, second);
        play_second(&mut w, 8, &mut began);
        let age = w.now.since(accepted).as_secs_f64();
        if begun(&w.leader) == Some(true) {
            first.get_or_insert(age);
        }
        if w.end(JOB).is_some() {
            done = Some(age);
            break;
        }
    }
    assert!(first.is_some_and(|s| s < 200.0), "its first task ran after {first:?} s");
    assert!(done.is_some(), "starved");
}

#[test]
fn a_report_of_thousands_of_tasks_gets_an_answer_that_fits_a_line() {
    use walnutlug_scheduler::protocol::workers::{HeartbeatResponse, TaskState, TaskStatus};
    let mut w = World::new(&[("n-1", "a")]);
    let mut heartbeat = report_of(&mut w, "n-1");
    heartbeat.tasks = (0..3_000)
        .map(|i| TaskStatus {
            task: format!("req-999999/{i}"),
            attempt: Attempt(4_000_000),
            state: TaskState::Running,
            cause: None,
        })
        .collect();
    let HeartbeatAnswer { token, commands: calls } =
        w.leader.handle_heartbeat(w.now, &heartbeat).expect("answered");
    assert!(calls.len() >= 400, "{} of what it runs is stopped at once", calls.len());
    let answer = serde_json::to_vec(&HeartbeatResponse { token, calls }).expect("json");
    assert!(answer.len() < 64 * 1024, "{} bytes", answer.len());
}
