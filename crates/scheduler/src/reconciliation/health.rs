//! Health assessment: machines that never come up, that run tasks slowly, or that the cloud will take.
//! Those on which tasks fail are found where a failure is attributed
//! ([`crate::reconciliation::task_ends`]).

use crate::event::Event;
use crate::leadership::fencing_token::FencingToken;
use crate::model::cluster::Cluster;
use crate::model::ids::MachineIndex;
use crate::model::job::{Job, TaskId};
use crate::model::machine::{DrainReason, Machine, MachineState};
use crate::model::run_times::RunTimes;
use crate::model::task::TaskPhase;
use crate::time::{TimeDelta, Timestamp};

/// How often every task's run time is compared with its siblings'.
pub(crate) const SLOW_TASK_CHECK_INTERVAL: TimeDelta = TimeDelta::from_secs(2);

/// The part of an interruption notice's time that is counted on: it may come at half the time given.
const NOTICE_PERIOD_TRUSTED: f64 = 0.75;
/// The boot time of a machine whose type is unknown, in seconds.
const UNKNOWN_BOOT_S: f64 = 60.0;
/// The shortest boot time that is counted with, in seconds.
const MIN_BOOT_S: f64 = 5.0;
/// Siblings whose run time must be known before a task can be called slow.
const MIN_SIBLINGS: u32 = 3;
/// What a task may run beyond the bound for its siblings, in seconds.
const SLOW_ALLOWANCE_S: f64 = 5.0;

/// A task to be stopped before its machine is taken.
#[derive(Debug, Clone, Copy, PartialEq)]
pub(crate) struct Eviction {
    pub(crate) task: TaskId,
    /// What it may take to save a checkpoint, in seconds.
    pub(crate) grace_s: f64,
}

/// Nothing more is placed on the machine, and it is returned to the cloud.
pub(crate) fn drain(machine: &mut Machine, reason: DrainReason) -> Event {
    machine.drain_reason = Some(reason);
    Event::MachineDrained { machine: machine.name.clone(), reason }
}

/// Machines without tasks whose boot has taken longer than `boot_patience` times their type's.
pub(crate) fn overdue_boots(
    cluster: &Cluster,
    now: Timestamp,
    suspicion_timeout: TimeDelta,
    boot_patience: f64,
) -> Vec<MachineIndex> {
    let is_overdue = |machine: &Machine| {
        machine.state == MachineState::Booting
            && machine.tasks.is_empty()
            && machine.drain_reason.is_none()
            && now.since(machine.requested_at) > boot_limit(cluster, machine, boot_patience)
            && had_time_to_answer(machine, now, suspicion_timeout)
    };
    indices(cluster, is_overdue)
}

fn boot_limit(cluster: &Cluster, machine: &Machine, boot_patience: f64) -> TimeDelta {
    let machine_type = machine.kind.and_then(|kind| cluster.machine_types.get(kind));
    let boot_s = machine_type.map_or(UNKNOWN_BOOT_S, |known| known.boot_s);
    TimeDelta::from_secs_f64(boot_s.max(MIN_BOOT_S) * boot_patience)
}

/// A new leader learns of machines that came up long ago, and has to give each the time to answer it.
/// (By their age alone, each failover gave back every machine that was idle and hadn't reported within
/// its first second: a third of the fleet.)
fn had_time_to_answer(machine: &Machine, now: Timestamp, suspicion_timeout: TimeDelta) -> bool {
    let two_timeouts = suspicion_timeout + suspicion_timeout;
    match machine.hinted_up_at {
        Some(since) => now.since(since) > two_timeouts + suspicion_timeout,
        None => now.since(machine.last_heartbeat) > two_timeouts,
    }
}

/// Machines on which at least half of the tasks run far longer than their siblings elsewhere.
pub(crate) fn slow_machines(
    cluster: &Cluster,
    now: Timestamp,
    slow_factor: f64,
) -> Vec<MachineIndex> {
    let is_slow = |machine: &Machine| {
        if machine.state != MachineState::Up || machine.drain_reason.is_some() {
            return false;
        }
        let is_late = |id: &&TaskId| {
            cluster.job(id.0).is_some_and(|job| is_slow_task(job, id.1, now, slow_factor))
        };
        let late = machine.tasks.iter().filter(is_late).count();
        late >= 1 && late * 2 >= machine.tasks.len()
    };
    indices(cluster, is_slow)
}

fn is_slow_task(job: &Job, index: u32, now: Timestamp, slow_factor: f64) -> bool {
    let Some(&started) = job.started.get(&index) else { return false };
    let (sum_s, count) = job.run_times;
    count >= MIN_SIBLINGS
        && now.since(started).as_secs_f64()
            > slow_factor * sum_s / f64::from(count) + SLOW_ALLOWANCE_S
}

/// The machines for which that holds.
fn indices(cluster: &Cluster, condition: impl Fn(&Machine) -> bool) -> Vec<MachineIndex> {
    cluster.machine_indices().filter(|&index| condition(&cluster.machines[index])).collect()
}

/// Whether tasks are on a machine that the cloud will take.
pub(crate) fn any_interrupted(cluster: &Cluster) -> bool {
    cluster
        .machines
        .iter()
        .any(|machine| machine.interruption_at.is_some() && !machine.tasks.is_empty())
}

/// Tasks that won't be done on a machine before the cloud takes it, as far as they can run elsewhere,
/// where `free_cpus` processors are free: left alone, they would lose the rest of the notice as well,
/// and the time until the machine is found to be gone. What has a good chance to complete, or nowhere
/// to go, runs on.
pub(crate) fn evictions(
    cluster: &Cluster,
    run_times: &RunTimes,
    now: Timestamp,
    mut free_cpus: f64,
) -> Vec<Eviction> {
    let mut evictions = Vec::new();
    for machine in cluster.machines.iter().filter(|machine| machine.state == MachineState::Up) {
        let Some(interruption_at) = machine.interruption_at else { continue };
        let left_s = interruption_at.since(now).as_secs_f64() * NOTICE_PERIOD_TRUSTED;
        for &id in &machine.tasks {
            let Some(job) = cluster.job(id.0) else { continue };
            let task = &job.tasks[id.1 as usize];
            let ran_s = job.started.get(&id.1).map_or(0.0, |&at| now.since(at).as_secs_f64());
            let is_sent = task.token != FencingToken::NONE && task.phase != TaskPhase::Stopping;
            let may_complete = ran_s + left_s >= run_times.expected_run(job);
            if !is_sent || may_complete || free_cpus < job.spec.cpus {
                continue;
            }
            free_cpus -= job.spec.cpus;
            evictions.push(Eviction { task: id, grace_s: job.spec.stop_grace_s() });
        }
    }
    evictions
}
