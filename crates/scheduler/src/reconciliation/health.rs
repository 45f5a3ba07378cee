//! Health assessment: finds machines that don't finish booting, that run tasks slowly, or that the
//! cloud is about to interrupt. Machines on which tasks fail are found where failures are
//! attributed ([`crate::reconciliation::task_ends`]).

use crate::event::Event;
use crate::model::cluster::Cluster;
use crate::model::ids::{MachineIndex, TaskId};
use crate::model::job::Job;
use crate::model::machine::{DrainReason, Machine, MachineState};
use crate::model::run_times::RunTimes;
use crate::model::task::TaskPhase;
use crate::time::{TimeDelta, Timestamp};

/// Interval at which the run time of every task is compared with that of its siblings.
pub(crate) const SLOW_TASK_CHECK_INTERVAL: TimeDelta = TimeDelta::from_secs(2);

/// Fraction of the announced notice period that is relied on. The interruption may come after only
/// half of the period.
const USABLE_NOTICE_FRACTION: f64 = 0.75;
/// Boot time assumed for a machine of unknown type, in seconds.
const DEFAULT_BOOT_S: f64 = 60.0;
/// Lower bound for the boot time used in the limit, in seconds.
const MIN_ASSUMED_BOOT_S: f64 = 5.0;
/// Number of siblings with a known run time that is needed to call a task slow.
const MIN_SIBLINGS: u32 = 3;
/// Run time allowed on top of the limit derived from the siblings, in seconds.
const SLOW_ALLOWANCE_S: f64 = 5.0;

/// Task to be stopped before the cloud interrupts its machine.
#[derive(Debug, Clone, Copy, PartialEq)]
pub(crate) struct Eviction {
    pub(crate) task: TaskId,
    /// Time the task may take to save a checkpoint, in seconds.
    pub(crate) grace_s: f64,
}

/// Marks the machine as draining: no further tasks are placed on it, and it is returned to the
/// cloud.
pub(crate) fn drain(machine: &mut Machine, reason: DrainReason) -> Event {
    machine.drain_reason = Some(reason);
    Event::MachineDrained { machine: machine.name.clone(), reason }
}

/// Returns the machines without tasks that have been booting for longer than `boot_patience` times
/// the boot time of their type.
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
            && had_time_to_report(machine, now, suspicion_timeout)
    };
    machines_where(cluster, is_overdue)
}

fn boot_limit(cluster: &Cluster, machine: &Machine, boot_patience: f64) -> TimeDelta {
    let machine_type = machine.kind.and_then(|kind| cluster.machine_types.get(kind));
    let boot_s = machine_type.map_or(DEFAULT_BOOT_S, |known| known.boot_s);
    TimeDelta::from_secs_f64(boot_s.max(MIN_ASSUMED_BOOT_S) * boot_patience)
}

/// Returns whether the machine has had time to report to this leader. A new leader learns of
/// machines that booted long ago, and must wait for each to answer before it calls the boot
/// overdue. When the machine's age alone decided, each failover returned every idle machine that
/// had not reported within the first second, which was a third of the fleet.
fn had_time_to_report(machine: &Machine, now: Timestamp, suspicion_timeout: TimeDelta) -> bool {
    let two_timeouts = suspicion_timeout + suspicion_timeout;
    match machine.hinted_up_at {
        Some(since) => now.since(since) > two_timeouts + suspicion_timeout,
        None => now.since(machine.last_heartbeat) > two_timeouts,
    }
}

/// Returns the machines on which at least half of the tasks run much longer than their siblings on
/// other machines.
pub(crate) fn slow_machines(
    cluster: &Cluster,
    now: Timestamp,
    slow_factor: f64,
) -> Vec<MachineIndex> {
    let is_slow = |machine: &Machine| {
        if machine.state != MachineState::Up || machine.drain_reason.is_some() {
            return false;
        }
        let is_slow_here = |id: &&TaskId| {
            cluster.job(id.job).is_some_and(|job| is_slow_task(job, id.index, now, slow_factor))
        };
        let slow_count = machine.tasks.iter().filter(is_slow_here).count();
        slow_count >= 1 && slow_count * 2 >= machine.tasks.len()
    };
    machines_where(cluster, is_slow)
}

fn is_slow_task(job: &Job, index: u32, now: Timestamp, slow_factor: f64) -> bool {
    let Some(&started) = job.started.get(&index) else { return false };
    let (sum_s, count) = job.run_times;
    count >= MIN_SIBLINGS
        && now.since(started).as_secs_f64()
            > slow_factor * sum_s / f64::from(count) + SLOW_ALLOWANCE_S
}

/// Returns the indices of the machines that satisfy the condition.
fn machines_where(cluster: &Cluster, condition: impl Fn(&Machine) -> bool) -> Vec<MachineIndex> {
    cluster.machine_indices().filter(|&index| condition(&cluster.machines[index])).collect()
}

/// Returns whether any machine with an interruption notice still has tasks.
pub(crate) fn any_interrupted(cluster: &Cluster) -> bool {
    cluster
        .machines
        .iter()
        .any(|machine| machine.interruption_at.is_some() && !machine.tasks.is_empty())
}

/// Returns the tasks to stop because they are unlikely to complete before the cloud interrupts
/// their machine. Left running, they would lose the rest of the notice period and also the time
/// until the machine is found to be gone. Tasks that probably complete in time keep running, and so
/// do those that don't fit into the `free_cpus` available on other machines.
pub(crate) fn evictions(
    cluster: &Cluster,
    run_times: &RunTimes,
    now: Timestamp,
    mut free_cpus: f64,
) -> Vec<Eviction> {
    let mut evictions = Vec::new();
    for machine in cluster.machines.iter().filter(|machine| machine.state == MachineState::Up) {
        let Some(interruption_at) = machine.interruption_at else { continue };
        let remaining_s = interruption_at.since(now).as_secs_f64() * USABLE_NOTICE_FRACTION;
        for &id in &machine.tasks {
            let Some(job) = cluster.job(id.job) else { continue };
            let Some(task) = job.tasks.get(id.index) else { continue };
            let ran_s = job.started.get(&id.index).map_or(0.0, |&at| now.since(at).as_secs_f64());
            let is_sent = !task.phase.is_unsent() && task.phase != TaskPhase::Stopping;
            let may_complete = ran_s + remaining_s >= run_times.expected_run(job);
            if !is_sent || may_complete || free_cpus < job.spec.cpus {
                continue;
            }
            free_cpus -= job.spec.cpus;
            evictions.push(Eviction { task: id, grace_s: job.spec.stop_grace_s() });
        }
    }
    evictions
}
