//! Late copies of start commands: a request that was executed and answered reaches its machine again,
//! at every later step, while the task is moved, cancelled or reaped, or the leader or the agent
//! changes, all within a second. No copy may have an effect.

mod world;

use walnutlug_scheduler::command::Command;
use walnutlug_scheduler::leadership::fencing_token::FencingToken;
use walnutlug_scheduler::model::ids::{AgentEpoch, Attempt};
use walnutlug_scheduler::model::job_spec::JobSpec;
use walnutlug_scheduler::protocol::workers::{ExitReason, TaskState, WorkerCommand};
use world::{spec, World};

const JOB: &str = "req-000001";
const TASK: &str = "req-000001/0";

/// A request with starts, as it was sent to a machine.
#[derive(Debug, Clone)]
struct SentStarts {
    machine: String,
    token: FencingToken,
    agent_epoch: AgentEpoch,
    calls: Vec<WorkerCommand>,
}

/// A cluster in which every request with starts arrives again after every step.
struct Play {
    w: World,
    sent: Vec<SentStarts>,
}

impl Play {
    /// Starts the task of a job on one of two machines.
    fn with_running_task() -> Play {
        let mut play = Play { w: World::new(&[("n-1", "a"), ("n-2", "a")]), sent: Vec::new() };
        play.w.submit(JOB, &JobSpec { estimate_s: 500.0, deadline_s: None, ..spec(1) });
        play.ticks(4);
        assert_eq!(play.w.places_of(TASK), ["n-1"]);
        play
    }

    /// Lets the leader work for 50 ms a tick. Its requests arrive at once.
    fn ticks(&mut self, count: usize) {
        for _ in 0..count {
            self.w.tick();
            self.remember_starts();
            self.w.execute_commands();
            self.copies_arrive();
        }
    }

    fn remember_starts(&mut self) {
        for command in &self.w.commands {
            let Command::SendToWorker { machine, token, agent_epoch, calls, .. } = command else {
                continue;
            };
            if calls.iter().any(|call| matches!(call, WorkerCommand::Run { .. })) {
                let machine = self.w.leader.cluster.machines[*machine].name.clone();
                let (token, agent_epoch, calls) = (*token, *agent_epoch, calls.clone());
                self.sent.push(SentStarts { machine, token, agent_epoch, calls });
            }
        }
    }

    fn heartbeat(&mut self, machine: &str) {
        self.w.heartbeat(machine);
        self.copies_arrive();
    }

    /// Delivers every request again, and checks that nothing starts by it.
    fn copies_arrive(&mut self) {
        let before = self.w.places();
        for SentStarts { machine, token, agent_epoch, calls } in &self.sent {
            let worker = self.w.workers.get_mut(machine).expect("a worker");
            worker.run_commands(*token, *agent_epoch, calls);
        }
        assert_eq!(self.w.places(), before, "a late copy had an effect");
        for (task, machines) in before {
            assert_eq!(machines.len(), 1, "{task} is on {machines:?}");
        }
    }

    /// Lets the task on `n-1` exit, and the machine report it until the leader lets it be forgotten.
    fn exit_and_reap(&mut self, reason: ExitReason) {
        for state in self.w.workers.get_mut("n-1").expect("worker").tasks.values_mut() {
            *state = (TaskState::Exited, Some(reason));
        }
        self.report_until_reaped();
    }

    fn report_until_reaped(&mut self) {
        for _ in 0..6 {
            self.heartbeat("n-1");
            self.ticks(2);
        }
        let attempts = &self.w.workers["n-1"].tasks;
        assert!(!attempts.contains_key(&(TASK.to_owned(), Attempt::FIRST)), "reaped: {attempts:?}");
    }

    /// The leader ends, and the same process or another is elected at once.
    fn next_leader(&mut self) {
        self.w.take_over();
        self.copies_arrive();
    }
}

/// Guards against a task that runs on two machines: its first attempt is stopped, reaped and started
/// again by a late copy, while the second one runs elsewhere.
#[test]
fn late_copy_of_a_moved_tasks_start_has_no_effect() {
    let mut play = Play::with_running_task();
    play.w.workers.get_mut("n-1").expect("worker").interruption_at = Some(12.0);
    play.heartbeat("n-1");
    play.w.autoscale();
    play.report_until_reaped();
    assert_eq!(play.w.places_of(TASK), ["n-2"]);
}

/// Guards against a cancelled task that runs again.
#[test]
fn late_copy_of_a_cancelled_tasks_start_has_no_effect() {
    let mut play = Play::with_running_task();
    play.w.cancel_job(JOB);
    play.report_until_reaped();
    assert!(play.w.places().is_empty());
}

#[test]
fn late_copies_have_no_effect_after_completion_failure_or_a_refused_start() {
    for reason in [ExitReason::Done, ExitReason::Error, ExitReason::NoRoom, ExitReason::InUse] {
        let mut play = Play::with_running_task();
        play.exit_and_reap(reason);
        let moved = if reason == ExitReason::Done { 0 } else { 1 };
        // The task is placed again with the next write, 4 s later.
        play.ticks(100);
        assert_eq!(play.w.places().len(), moved, "{reason:?}");
    }
}

/// A leader that ends before the reap leaves it to its successor, which knows nothing of the starts
/// that were sent; only the token of its term keeps their copies off.
#[test]
fn late_copies_have_no_effect_while_leaders_change_between_stop_and_reap() {
    for changes in 1..4 {
        let mut play = Play::with_running_task();
        play.w.cancel_job(JOB);
        for state in play.w.workers.get_mut("n-1").expect("worker").tasks.values_mut() {
            *state = (TaskState::Exited, Some(ExitReason::Stopped));
        }
        for _ in 0..changes {
            play.next_leader();
            play.heartbeat("n-1");
        }
        play.report_until_reaped();
        assert!(play.w.places().is_empty());
    }
}

/// A worker whose lease expired, or that hung for longer than its lease, has forgotten its tasks and
/// goes on with the next agent epoch.
#[test]
fn late_copies_have_no_effect_after_the_agent_epoch_changed() {
    for cancelled in [false, true] {
        let mut play = Play::with_running_task();
        play.w.workers.get_mut("n-1").expect("worker").expire_lease();
        play.copies_arrive();
        if cancelled {
            play.w.cancel_job(JOB);
        }
        play.report_until_reaped();
        play.ticks(10);
        assert_eq!(play.w.places().len(), usize::from(!cancelled));
    }
}

/// A machine that hangs across the reap, for less than its lease, neither reports nor receives; it
/// then executes what arrived meanwhile.
#[test]
fn late_copies_have_no_effect_on_a_machine_that_hung_across_the_reap() {
    let mut play = Play::with_running_task();
    play.w.cancel_job(JOB);
    play.ticks(1);
    play.w.workers.get_mut("n-1").expect("worker").alive = false;
    let hung = std::mem::take(&mut play.sent);
    play.ticks(10);
    play.w.workers.get_mut("n-1").expect("worker").alive = true;
    play.sent = hung;
    play.copies_arrive();
    play.report_until_reaped();
    assert!(play.w.places().is_empty());
}

/// Lets the leader work while all requests to `n-1` are on their way, and returns those. The machine
/// reports at each tick, but the answers are lost.
fn ticks_with_requests_on_their_way(w: &mut World, count: usize) -> Vec<SentStarts> {
    let mut play = Play { w: std::mem::replace(w, World::new(&[])), sent: Vec::new() };
    for _ in 0..count {
        let heartbeat = play.w.workers.get_mut("n-1").expect("worker").heartbeat();
        let _lost = play.w.leader.handle_heartbeat(play.w.now, &heartbeat);
        play.w.tick();
        play.remember_starts();
        let cluster = &play.w.leader.cluster;
        let is_held = |command: &Command| {
            matches!(command, Command::SendToWorker { machine, .. }
                if cluster.machines[*machine].name == "n-1")
        };
        play.w.commands.retain(|command| !is_held(command));
        play.w.execute_commands();
    }
    *w = play.w;
    play.sent.into_iter().filter(|sent| sent.machine == "n-1").collect()
}

/// Makes `n-1` report that it is going to be reclaimed, so that nothing new is placed on it.
fn announce_reclaim(w: &mut World) {
    w.workers.get_mut("n-1").expect("worker").interruption_at = Some(600.0);
}

/// Delivers the requests for the first time, and checks that the task runs on one machine at most.
fn arrive(w: &mut World, sent: &[SentStarts]) {
    for SentStarts { machine, token, agent_epoch, calls } in sent {
        let worker = w.workers.get_mut(machine).expect("a worker");
        worker.run_commands(*token, *agent_epoch, calls);
    }
    let places = w.places_of(TASK);
    assert!(places.len() <= 1, "{TASK} is on {places:?}");
}

/// Guards against a second start of a task whose first start has not arrived yet: a report without
/// the task proves nothing as long as the worker would still execute the start.
#[test]
fn start_that_arrives_late_runs_alone_or_not_at_all() {
    for cancelled in [false, true] {
        let mut w = World::new(&[("n-1", "a"), ("n-2", "a")]);
        w.submit(JOB, &spec(1));
        w.place_and_record();
        let sent = ticks_with_requests_on_their_way(&mut w, 2);
        assert_eq!(sent.len(), 1, "the start is sent once");
        announce_reclaim(&mut w);
        if cancelled {
            w.cancel_job(JOB);
        }
        ticks_with_requests_on_their_way(&mut w, 10);
        arrive(&mut w, &sent);
        for _ in 0..4 {
            w.heartbeat("n-1");
            w.settle();
        }
        assert_eq!(w.places_of(TASK).len(), usize::from(!cancelled), "cancelled: {cancelled}");
    }
}

/// Guards against a start that is sent to a later agent epoch than the one that it was recorded for:
/// that epoch's reports would prove the task absent while its start is on the way.
#[test]
fn start_recorded_for_an_earlier_agent_epoch_is_not_sent_to_the_next() {
    let mut w = World::new(&[("n-1", "a"), ("n-2", "a")]);
    w.submit(JOB, &spec(1));
    w.place_and_record();
    w.workers.get_mut("n-1").expect("worker").expire_lease();
    let sent = ticks_with_requests_on_their_way(&mut w, 2);
    announce_reclaim(&mut w);
    ticks_with_requests_on_their_way(&mut w, 40);
    arrive(&mut w, &sent);
    assert!(sent.iter().all(|start| start.agent_epoch == AgentEpoch(2)));
}
