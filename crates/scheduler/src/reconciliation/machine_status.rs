//! Updates a machine from its newest heartbeat: agent epoch, acknowledged token, address, zone and
//! interruption notice.

use crate::event::Event;
use crate::leadership::fencing_token::FencingToken;
use crate::model::cluster::Cluster;
use crate::model::ids::{AgentEpoch, MachineIndex, TaskId};
use crate::model::machine::{Machine, MachineState};
use crate::protocol::workers::Heartbeat;
use crate::reconciliation::heartbeats::HeartbeatSource;
use crate::time::{TimeDelta, Timestamp};

/// Updates the machine's state from the heartbeat. Returns an event if the heartbeat brings a new
/// interruption notice.
pub(crate) fn update(
    cluster: &mut Cluster,
    now: Timestamp,
    index: MachineIndex,
    heartbeat: &Heartbeat,
    source: HeartbeatSource,
) -> Option<Event> {
    let first_token = FencingToken::first_of(cluster.term);
    // A heartbeat proves that the machine is alive only if the worker has seen this term or is
    // answering a request. Any other heartbeat may be a copy, minutes old, that reached a leader
    // which never saw the newer ones. In that case the machine is sent a request and nothing else
    // is concluded.
    let proves_alive = source == HeartbeatSource::DirectAnswer || heartbeat.token >= first_token;
    let had_seen_term = cluster.machines[index].fence.acknowledged() >= first_token;
    update_agent(cluster, now, index, heartbeat, source);
    update_description(cluster, now, index, heartbeat, proves_alive);
    if !proves_alive {
        return None;
    }
    let machine = &mut cluster.machines[index];
    machine.last_heartbeat = now;
    machine.expected = true;
    let came_up = machine.state == MachineState::Booting;
    if came_up {
        machine.state = MachineState::Up;
        machine.idle_since = now;
    }
    let notice = update_interruption(machine, now, heartbeat.interruption_notice_s);
    let sees_term_first = !had_seen_term && heartbeat.token >= first_token;
    cluster.placement_needed |= came_up || notice.is_some() || sees_term_first;
    notice
}

/// Stores the agent epoch, the sequence number and the acknowledged token.
fn update_agent(
    cluster: &mut Cluster,
    now: Timestamp,
    index: MachineIndex,
    heartbeat: &Heartbeat,
    source: HeartbeatSource,
) {
    let term = cluster.term;
    let machine = &mut cluster.machines[index];
    if heartbeat.agent_epoch > machine.agent_epoch {
        // A new agent epoch starts without tasks, and commands meant for the previous one no longer
        // apply.
        machine.channel.discard_commands();
        if machine.agent_epoch > AgentEpoch::NONE && source == HeartbeatSource::Connection {
            // The worker's lease ran out although its heartbeats arrive, so responses may not reach
            // it.
            machine.fence.raise_required(now, term);
        }
    }
    machine.agent_epoch = heartbeat.agent_epoch;
    machine.sequence = heartbeat.sequence;
    if machine.acknowledge(now, heartbeat.token) {
        // The machine accepts work again, and tasks may be waiting for it.
        cluster.placement_needed = true;
    }
}

/// Stores the machine's address, type and zone.
fn update_description(
    cluster: &mut Cluster,
    now: Timestamp,
    index: MachineIndex,
    heartbeat: &Heartbeat,
    proves_alive: bool,
) {
    let kind = cluster.machine_types.iter().position(|known| known.name == heartbeat.kind);
    let machine = &mut cluster.machines[index];
    if proves_alive || machine.address.is_empty() {
        machine.address.clone_from(&heartbeat.address);
    }
    machine.kind = kind;
    machine.spot = heartbeat.spot;
    machine.hinted_up_at.get_or_insert(now);
    if machine.zone != heartbeat.zone {
        // Tasks loaded before the machine was known were counted under an empty zone.
        let old = std::mem::replace(&mut machine.zone, heartbeat.zone.clone());
        let tasks: Vec<TaskId> = machine.tasks.iter().copied().collect();
        cluster.rezone(&tasks, &old, &heartbeat.zone);
    }
}

/// Sets or clears the expected interruption time. The first notice stays in force until it is
/// withdrawn, because later notices announce the same interruption.
fn update_interruption(
    machine: &mut Machine,
    now: Timestamp,
    notice_s: Option<f64>,
) -> Option<Event> {
    let Some(notice_s) = notice_s else {
        machine.interruption_at = None;
        return None;
    };
    if machine.interruption_at.is_some() {
        return None;
    }
    machine.interruption_at = Some(now + TimeDelta::from_secs_f64(notice_s));
    Some(Event::MachineInterruptionNotice { machine: machine.name.clone() })
}
