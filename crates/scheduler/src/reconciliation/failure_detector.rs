//! The failure detector: which machines are suspected since nothing is heard of them, or since nothing
//! reaches them (a one-way partition), each alone, by zone and all together.

use std::collections::BTreeMap;

use crate::model::cluster::Cluster;
use crate::model::ids::MachineIndex;
use crate::model::machine::{DrainReason, Machine, MachineState};
use crate::scheduler::OVERDUE_INTERVALS;
use crate::time::{TimeDelta, Timestamp};
use crate::tunables::{Site, Tunables};

/// From this many machines on, what they do together is significant.
const MANY: usize = 8;
/// A zone is silent if less than one machine in this many was heard.
const SILENT_ZONE_DIVISOR: usize = 5;
/// So many machines that are silent at once may fail independently.
const MAX_INDEPENDENT: usize = 3;

/// A machine that is given up.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) struct SuspectedMachine {
    pub(crate) machine: MachineIndex,
    pub(crate) reason: DrainReason,
}

/// Silence after which a machine is given up: its heartbeat is overdue, it was asked directly and
/// has had the time to answer. (Counted in seconds that suited heartbeats every three, every
/// machine whose heartbeats came six seconds apart was given back as soon as one was a bit late.)
pub(crate) fn suspicion_timeout(site: &Site, tunables: &Tunables) -> TimeDelta {
    site.heartbeat_interval.mul_f64(OVERDUE_INTERVALS) + tunables.patience
}

/// Whether all of several machines that should report have been silent for a while: more likely this
/// node can't be reached than that all of them failed at once. Of many machines some report at any
/// moment, so that one interval without any is enough.
pub(crate) fn receives_no_heartbeats(
    cluster: &Cluster,
    now: Timestamp,
    leading_since: Timestamp,
    heartbeat_interval: TimeDelta,
) -> bool {
    let up = || cluster.machines.iter().filter(|machine| machine.state == MachineState::Up);
    let count = up().count();
    let silence = if count >= MANY {
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

/// The zones whose machines are silent as a whole: of many machines about half should have
/// reported within half an interval, and nearly none has. (The machines that happened to have
/// reported longest ago exceed any timeout first, when most of the others are not even due: one by
/// one a leader cut off from the workers gave back 500 of 800 before it stepped down.)
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
    for machine in cluster.machines.iter().filter(|machine| is_kept_up(machine)) {
        let count = zones.entry(&machine.zone).or_default();
        count.all += 1;
        count.heard += usize::from(now.since(machine.last_heartbeat) <= half_interval);
    }
    let is_silent =
        |count: &Count| count.all >= MANY && count.heard * SILENT_ZONE_DIVISOR < count.all;
    let silent = zones.into_iter().filter(|(_, count)| is_silent(count));
    silent.map(|(zone, _)| zone.to_owned()).collect()
}

/// The machines that are given up now.
pub(crate) fn suspected_machines(
    cluster: &Cluster,
    now: Timestamp,
    timeout: TimeDelta,
    silent_zones: &[String],
) -> Vec<SuspectedMachine> {
    let kept_up = cluster.machines.iter().filter(|machine| is_kept_up(machine)).count();
    let lost: Vec<MachineIndex> = cluster
        .machine_indices()
        .filter(|&index| {
            let machine = &cluster.machines[index];
            should_report(machine) && lost_for(machine, now) > timeout
        })
        .collect();
    // When most of the fleet is silent at once, the trouble is more likely between here and there than
    // on every machine: wait longer before giving so much work up.
    let most_are_lost = lost.len() > MAX_INDEPENDENT && lost.len() * 2 > kept_up;
    let patient_timeout = timeout + timeout + timeout;
    let suspect = |machine_index: MachineIndex| {
        let machine = &cluster.machines[machine_index];
        let lost_together = most_are_lost || silent_zones.contains(&machine.zone);
        if lost_together && lost_for(machine, now) < patient_timeout {
            return None;
        }
        let is_silent = now.since(machine.last_heartbeat) > timeout;
        let reason = if is_silent { DrainReason::Silent } else { DrainReason::Unreachable };
        Some(SuspectedMachine { machine: machine_index, reason })
    };
    lost.into_iter().filter_map(suspect).collect()
}

/// Up, and not to be returned.
fn is_kept_up(machine: &Machine) -> bool {
    machine.state == MachineState::Up && machine.drain_reason.is_none()
}

/// Whether heartbeats of the machine are expected: it is up, or has tasks of an earlier term.
fn should_report(machine: &Machine) -> bool {
    let is_loaded = machine.state == MachineState::Booting && !machine.tasks.is_empty();
    (machine.state == MachineState::Up || is_loaded) && machine.drain_reason.is_none()
}

/// For how long the machine has been silent or unreachable. One whose heartbeats arrive and that owes
/// an acknowledgement has twice the time: it may be the answer alone that was late.
fn lost_for(machine: &Machine, now: Timestamp) -> TimeDelta {
    let unreachable_for = machine
        .fence
        .unacknowledged_since()
        .map_or(TimeDelta::ZERO, |since| TimeDelta(now.since(since).0 / 2));
    now.since(machine.last_heartbeat).max(unreachable_for)
}
