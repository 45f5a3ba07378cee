//! How long a waiting job goes without a machine of its own, and what the log says about it.

mod world;

use walnutlug_scheduler::command::Command;
use walnutlug_scheduler::event::{Event, WaitReason};
use walnutlug_scheduler::model::job_spec::{JobSpec, Priority};
use walnutlug_scheduler::protocol::workers::{ExitReason, TaskState};
use world::{one_machine, spec, Worker, World};

const JOB: &str = "req-000001";

/// What a cloud without spot machines saw of a waiting job.
#[derive(Debug, Default)]
struct Observed {
    /// Seconds until an ordinary machine was requested.
    requested_after: Option<f64>,
    /// The logged reasons for which the job waited.
    reasons: Vec<WaitReason>,
}

impl Observed {
    fn was_requested_within(&self, from_s: f64, to_s: f64) -> bool {
        self.requested_after.is_some_and(|seconds| (from_s..=to_s).contains(&seconds))
    }
}

/// Lets time pass until an ordinary machine is requested. The cloud has no spot machine to give.
fn observe(w: &mut World, limit_s: f64) -> Observed {
    let mut observed = Observed::default();
    let start = w.now;
    let elapsed_s = |w: &World| w.now.since(start).as_secs_f64();
    while observed.requested_after.is_none() && elapsed_s(w) < limit_s {
        w.leader.machine_list(w.now, &[]);
        w.leader.autoscale(w.now);
        for command in w.leader.take_commands() {
            match command {
                Command::ScaleOut { kind, zone, spot: true, count } => {
                    w.leader.scale_out_answered(w.now, &kind, &zone, true, count, Ok(Vec::new()));
                }
                Command::ScaleOut { .. } => observed.requested_after = Some(elapsed_s(w)),
                Command::Log(Event::JobWaits { job, reason, .. }) if job == JOB => {
                    observed.reasons.push(reason);
                }
                _ => {}
            }
        }
        w.send_all_heartbeats();
        w.settle();
    }
    observed
}

/// Guards against jobs that wait without end for capacity that they can't use (review/7 of the
/// second review): spot machines, machines in another zone, and no machine at all for a task
/// without CPUs.
#[test]
fn job_gets_a_machine_at_once_while_work_ends_only_where_it_cannot_run() {
    let on_demand = JobSpec { spot: false, deadline_s: Some(40.0), ..spec(1) };
    let cases = [
        ("spot machines are busy", true, on_demand.clone()),
        ("another zone is busy", false, JobSpec { zone: Some("b".into()), ..on_demand.clone() }),
        ("a task needs no CPUs", true, JobSpec { cpus: 0.0, memory_gb: 1.0, ..on_demand }),
    ];
    for (what, spot, job) in cases {
        let mut w = World::new(&[]);
        w.workers.insert("n-1".into(), Worker { spot, ..Worker::new("n-1", "a") });
        w.send_all_heartbeats();
        w.send_all_heartbeats();
        w.submit("req-000009", &JobSpec { cpus: 8.0, ..spec(1) });
        w.settle();
        assert_eq!(w.places().len(), 1, "{what}");
        w.send_all_heartbeats();
        w.submit(JOB, &job);
        let observed = observe(&mut w, 10.0);
        assert!(observed.was_requested_within(0.0, 2.0), "{what}: {observed:?}");
    }
}

/// Capacity that becomes free may go to a job ahead in the queue. The job behind it waits for it no
/// longer than twice the predicted time, here 48 s.
#[test]
fn job_gets_a_machine_in_bounded_time_while_a_job_ahead_of_it_takes_what_becomes_free() {
    let mut w = one_machine();
    w.submit("req-000009", &JobSpec { cpus: 8.0, ..spec(1) });
    w.settle();
    w.send_all_heartbeats();
    let ahead = JobSpec { cpus: 8.0, deadline_s: Some(300.0), priority: Priority::High, ..spec(1) };
    w.submit("req-000008", &ahead);
    w.submit(JOB, &JobSpec { spot: false, deadline_s: Some(40.0), ..spec(1) });
    let observed = observe(&mut w, 90.0);
    assert!(observed.was_requested_within(40.0, 60.0), "{observed:?}");
}

/// Guards against jobs that may use spot machines and wait for them without end (review/6 of the
/// second review): without a deadline, and after a missed one.
#[test]
fn job_without_a_reachable_deadline_gets_an_ordinary_machine_when_there_are_no_spot_machines() {
    for deadline_s in [None, Some(1.0)] {
        let mut w = World::new(&[]);
        w.submit(JOB, &JobSpec { deadline_s, ..spec(2) });
        let observed = observe(&mut w, 90.0);
        assert!(observed.was_requested_within(55.0, 65.0), "{deadline_s:?}: {observed:?}");
        assert!(observed.reasons.contains(&WaitReason::SpotPreferred), "{observed:?}");
    }
}

/// Guards against a job whose only eligible machine is faulty and which gets no other: the room of
/// the machine that it avoids counted as room for the job.
#[test]
fn job_gets_another_machine_while_it_avoids_the_one_on_which_it_failed() {
    let mut w = one_machine();
    w.submit(JOB, &JobSpec { spot: false, deadline_s: Some(40.0), ..spec(1) });
    w.settle();
    for state in w.workers.get_mut("n-1").expect("worker").tasks.values_mut() {
        *state = (TaskState::Exited, Some(ExitReason::Error));
    }
    w.send_all_heartbeats();
    let observed = observe(&mut w, 10.0);
    assert!(observed.was_requested_within(0.0, 2.0), "{observed:?}");
}

/// Capacity that the job gets within a boot is worth waiting for, and the log tells what it is.
#[test]
fn job_waits_for_running_work_on_machines_that_it_may_use_and_the_log_tells_it() {
    let mut w = one_machine();
    w.submit("req-000009", &JobSpec { cpus: 8.0, ..spec(1) });
    w.settle();
    w.send_all_heartbeats();
    w.submit(JOB, &JobSpec { spot: false, deadline_s: Some(40.0), ..spec(1) });
    // The work ends later than its user's estimate says, so the prediction fails after 48 s.
    let observed = observe(&mut w, 90.0);
    assert!(observed.was_requested_within(40.0, 60.0), "{observed:?}");
    assert_eq!(observed.reasons, [WaitReason::RunningWorkEndsSoon]);
}
