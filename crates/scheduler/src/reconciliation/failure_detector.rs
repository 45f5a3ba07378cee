//! Failure detector: suspects machines that have stopped sending heartbeats, and machines that send
//! heartbeats but can't be reached (a one-way partition). It examines machines one by one, per
//! zone, and as a whole fleet.

use std::collections::BTreeMap;

use crate::model::cluster::Cluster;
use crate::model::ids::MachineIndex;
use crate::model::machine::{DrainReason, Machine, MachineState};
use crate::scheduler::OVERDUE_INTERVALS;
use crate::time::{TimeDelta, Timestamp};
use crate::tunables::{Site, Tunables};

/// Smallest number of machines whose common behaviour is significant.
const MIN_GROUP: usize = 8;
/// A zone counts as silent if fewer than one in this many of its machines sent a recent heartbeat.
const SILENT_ZONE_DIVISOR: usize = 5;
/// Largest number of machines that may plausibly become silent independently of each other.
const MAX_INDEPENDENT_FAILURES: usize = 3;

/// Machine to be drained because it is suspected to have failed.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) struct SuspectedMachine {
    pub(crate) machine: MachineIndex,
    pub(crate) reason: DrainReason,
}

/// Returns the time without a heartbeat after which a machine is suspected. It allows for the
/// heartbeat to be overdue, and for the worker to answer a direct request after that. The timeout
/// scales with the heartbeat interval: when it was a fixed number of seconds that suited an
/// interval of three seconds, every machine with an interval of six seconds was returned as soon as
/// a heartbeat was slightly late.
pub(crate) fn suspicion_timeout(site: &Site, tunables: &Tunables) -> TimeDelta {
    site.heartbeat_interval.mul_f64(OVERDUE_INTERVALS) + tunables.patience
}

/// Returns whether all machines that should report have been silent or unreachable for a while. In
/// that case a network fault at this node is more likely than a failure of all machines. With many
/// machines some report at any moment, so one interval without any heartbeat is enough.
pub(crate) fn receives_no_heartbeats(
    cluster: &Cluster,
    now: Timestamp,
    leading_since: Timestamp,
    heartbeat_interval: TimeDelta,
) -> bool {
    let up = || cluster.machines.iter().filter(|machine| machine.state == MachineState::Up);
    let count = up().count();
    let silence = if count >= MIN_GROUP {
        heartbeat_interval
    } else {
        heartbeat_interval + heartbeat_interval + TimeDelta::from_secs(1)
    };
    now.since(leading_since) > silence
        && count > 0
        && up().all(|machine| {
            let is_unreachable = machine
                .fence
                .unacknowledged_since()
                .is_some_and(|since| now.since(since) > silence);
            is_unreachable || now.since(machine.last_heartbeat) > silence
        })
}

/// Returns the zones whose machines are silent as a whole. With many machines about half should
/// have reported within the last half interval; in a silent zone almost none has. Per-machine
/// timeouts can't show this early: the machines that reported longest ago exceed them first, when
/// most others are not even due. A leader cut off from its workers returned 500 of 800 machines one
/// by one before it stepped down.
pub(crate) fn silent_zones(
    cluster: &Cluster,
    now: Timestamp,
    heartbeat_interval: TimeDelta,
) -> Vec<String> {
    #[derive(Default)]
    struct Count {
        all: usize,
        heard: usize,
    }
    let half_interval = heartbeat_interval.mul_f64(0.5);
    let mut zones: BTreeMap<&str, Count> = BTreeMap::new();
    for machine in cluster.machines.iter().filter(|machine| is_up_and_not_draining(machine)) {
        let count = zones.entry(&machine.zone).or_default();
        count.all += 1;
        count.heard += usize::from(now.since(machine.last_heartbeat) <= half_interval);
    }
    let is_silent =
        |count: &Count| count.all >= MIN_GROUP && count.heard * SILENT_ZONE_DIVISOR < count.all;
    let silent = zones.into_iter().filter(|(_, count)| is_silent(count));
    silent.map(|(zone, _)| zone.to_owned()).collect()
}

/// Returns the machines that are suspected now.
pub(crate) fn suspected_machines(
    cluster: &Cluster,
    now: Timestamp,
    timeout: TimeDelta,
    silent_zones: &[String],
) -> Vec<SuspectedMachine> {
    let up_count =
        cluster.machines.iter().filter(|machine| is_up_and_not_draining(machine)).count();
    let unresponsive: Vec<MachineIndex> = cluster
        .machine_indices()
        .filter(|&index| {
            let machine = &cluster.machines[index];
            expects_heartbeats(machine) && unresponsive_for(machine, now) > timeout
        })
        .collect();
    // If most of the fleet is silent at once, a network fault between this node and the machines is
    // more likely than a failure of each machine, so wait longer before giving up that much work.
    let most_are_unresponsive =
        unresponsive.len() > MAX_INDEPENDENT_FAILURES && unresponsive.len() * 2 > up_count;
    let extended_timeout = timeout + timeout + timeout;
    let suspect = |machine_index: MachineIndex| {
        let machine = &cluster.machines[machine_index];
        let is_group_failure = most_are_unresponsive || silent_zones.contains(&machine.zone);
        if is_group_failure && unresponsive_for(machine, now) < extended_timeout {
            return None;
        }
        let is_silent = now.since(machine.last_heartbeat) > timeout;
        let reason = if is_silent { DrainReason::Silent } else { DrainReason::Unreachable };
        Some(SuspectedMachine { machine: machine_index, reason })
    };
    unresponsive.into_iter().filter_map(suspect).collect()
}

/// Returns whether the machine is up and not being drained.
fn is_up_and_not_draining(machine: &Machine) -> bool {
    machine.state == MachineState::Up && machine.drain_reason.is_none()
}

/// Returns whether heartbeats are expected from the machine: it is up, or it has tasks from an
/// earlier term.
fn expects_heartbeats(machine: &Machine) -> bool {
    let has_tasks_of_earlier_term =
        machine.state == MachineState::Booting && !machine.tasks.is_empty();
    (machine.state == MachineState::Up || has_tasks_of_earlier_term)
        && machine.drain_reason.is_none()
}

/// Returns how long the machine has been silent or unreachable. A machine that sends heartbeats but
/// has not acknowledged its token gets twice the time, because only the answer may have been late.
fn unresponsive_for(machine: &Machine, now: Timestamp) -> TimeDelta {
    let unreachable_for = machine
        .fence
        .unacknowledged_since()
        .map_or(TimeDelta::ZERO, |since| TimeDelta(now.since(since).0 / 2));
    now.since(machine.last_heartbeat).max(unreachable_for)
}
