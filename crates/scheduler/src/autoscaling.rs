//! Autoscaling: requesting machines from the cloud, returning them, and accounting for the cost of
//! the fleet.

pub(crate) mod capacity_wait;
mod costs;
mod demand;
pub mod offers;
mod scale_in;
mod scale_out;

use std::collections::HashMap;

use crate::autoscaling::costs::CostAccount;
use crate::autoscaling::offers::InstanceOffer;
use crate::event::Event;
use crate::model::machine::{DrainReason, MachineState};
use crate::protocol::cloud::{CloudMachineState, ListedMachine};
use crate::reconciliation::machine_loss::tasks_lost;
use crate::scheduler::Scheduler;
use crate::time::{TimeDelta, Timestamp};

/// Requests to the cloud that are in progress, offers to avoid for now, and the accounting of
/// costs.
#[derive(Debug, Default)]
pub struct Autoscaler {
    /// Offers that were recently not filled: when each may be requested again, and how often it was
    /// refused in a row.
    pub refused: HashMap<InstanceOffer, (Timestamp, u32)>,
    /// Machines requested per offer and not yet answered.
    pub pending_scale_out: HashMap<InstanceOffer, u32>,
    /// No request is sent before this, since the cloud gave no usable answer.
    pub requests_paused_until: Timestamp,
    last_assessed: Timestamp,
    last_scale_out: Timestamp,
    /// When the fleet was last checked for slow machines.
    pub(crate) last_slow_check: Timestamp,
    /// Requests to return machines that are not answered yet.
    pub pending_scale_ins: u32,
    costs: CostAccount,
    /// Whether a complete machine list was read in this term.
    pub machine_list_read: bool,
}

/// How long after the cloud reports a machine as running its capacity is still counted on without a
/// heartbeat.
const FIRST_HEARTBEAT_TIMEOUT: TimeDelta = TimeDelta::from_secs(5);

const ASSESS_INTERVAL: TimeDelta = TimeDelta::from_millis(500);
/// How often demand is compared with the fleet while no request for machines is open; a boot takes
/// many times that. With requests open it is compared at every assessment, since one request yields
/// a limited number of machines.
const SCALE_OUT_INTERVAL: TimeDelta = TimeDelta::from_millis(1_000);
/// Most doublings of the pause before a refused offer is requested again. The pause is 16 s at
/// most, since the cloud reclaims machines all the time and can then offer them again.
const MAX_BACKOFF_DOUBLINGS: u32 = 2;
/// How long no request is sent after the cloud gave no usable answer.
const CLOUD_PAUSE: TimeDelta = TimeDelta::from_secs(2);
const TERMINATION_RETRY_INTERVAL: TimeDelta = TimeDelta::from_secs(6);

impl Scheduler {
    /// Assesses the fleet every `ASSESS_INTERVAL`: adds up costs, checks the health of machines,
    /// requests and returns machines.
    pub fn autoscale(&mut self, now: Timestamp) {
        if now.since(self.autoscaler.last_assessed) < ASSESS_INTERVAL {
            return;
        }
        self.autoscaler.last_assessed = now;
        if self.autoscaler.costs.is_sample_due(now) {
            self.account_costs(now);
        }
        if !self.authority.holds_lease() {
            return;
        }
        let silent_zones = self.silent_zones(now);
        self.assess_health(now, &silent_zones);
        self.evict_before_interruption(now);
        let in_use = |m: &crate::model::machine::Machine| {
            m.state == MachineState::Up && m.drain_reason.is_none()
        };
        if !silent_zones.is_empty()
            && self.cluster.machines.iter().all(|m| !in_use(m) || silent_zones.contains(&m.zone))
        {
            // No machine is heard, so neither the fleet nor the demand can be judged.
            return;
        }
        // A new leader waits for a machine list, 10 s at most.
        let knows_fleet = self.autoscaler.machine_list_read
            || now.since(self.started_at) > TimeDelta::from_secs(10);
        let interval = if self.autoscaler.pending_scale_out.is_empty() {
            SCALE_OUT_INTERVAL
        } else {
            ASSESS_INTERVAL
        };
        if knows_fleet && now.since(self.autoscaler.last_scale_out) >= interval {
            self.autoscaler.last_scale_out = now;
            let queue = self.queue(now);
            let none_may_run = !queue.iter().any(|&(_, ix)| self.tasks_within_team_limit(ix) > 0);
            self.scale_out(now, queue);
            // While a job that may run is queued, it may need the next capacity that becomes free.
            if none_may_run {
                self.drain_idle(now);
            }
        }
        self.scale_in(now);
    }

    /// Adds the cost since the last sample, and logs the sums, the writes and the shares once a
    /// minute.
    fn account_costs(&mut self, now: Timestamp) {
        self.autoscaler.costs.sample(&self.cluster, now);
        let Some(cost) = self.autoscaler.costs.take_if_due(now) else { return };
        self.log(Event::FleetCost(cost));
        let write_counts = self.transactions.take_counts();
        self.log(Event::Writes(write_counts));
        self.log(Event::Held(self.cluster.held_entries()));
        self.log_shares();
    }

    /// Sends no requests for `CLOUD_PAUSE`, since the cloud gives no usable answers.
    pub fn pause_cloud(&mut self, now: Timestamp) {
        self.autoscaler.requests_paused_until = now + CLOUD_PAUSE;
    }

    /// Handles the answer to [`Command::ScaleOut`](crate::command::Command::ScaleOut): the names of the machines, none if there was no
    /// capacity, or `Err` if the cloud gave no usable answer.
    pub fn scale_out_answered(
        &mut self,
        now: Timestamp,
        kind: &str,
        zone: &str,
        spot: bool,
        asked: u32,
        answer: Result<Vec<String>, ()>,
    ) {
        let Some(type_index) = self.cluster.machine_types.iter().position(|t| t.name == kind)
        else {
            return;
        };
        let offer = (type_index, zone.to_owned(), spot);
        self.autoscaler.pending_scale_out.remove(&offer);
        let granted = match answer {
            Ok(names) => names,
            Err(()) => {
                self.pause_cloud(now);
                return;
            }
        };
        if (granted.len() as u32) < asked {
            let entry = self.autoscaler.refused.entry(offer.clone()).or_insert((now, 0));
            entry.1 = (entry.1 + 1).min(MAX_BACKOFF_DOUBLINGS);
            entry.0 = now + TimeDelta::from_secs(4 << entry.1);
        } else {
            self.autoscaler.refused.remove(&offer);
        }
        self.log(Event::ScaleOutAnswered {
            requested: asked,
            granted: granted.len(),
            machine_type: kind.to_owned(),
            zone: zone.to_owned(),
            spot,
        });
        for name in granted {
            let m = self.cluster.machine_named(now, &name);
            let machine = &mut self.cluster.machines[m];
            machine.expected = true;
            if machine.state == MachineState::Booting {
                machine.kind = Some(type_index);
                machine.spot = spot;
                let old = std::mem::replace(&mut machine.zone, zone.to_owned());
                let tasks: Vec<_> = machine.tasks.iter().copied().collect();
                if old != zone {
                    self.cluster.rezone(&tasks, &old, zone);
                }
            }
        }
        self.cluster.placement_needed = true;
    }

    /// Takes in a complete machine list. The list lags, so a machine missing from it isn't known to
    /// be gone; one listed as failed has stopped by itself.
    pub fn machine_list(&mut self, now: Timestamp, list: &[ListedMachine]) {
        self.autoscaler.machine_list_read = true;
        for entry in list {
            let m = self.cluster.machine_named(now, &entry.name);
            let kind = self.cluster.machine_types.iter().position(|t| t.name == entry.kind);
            let machine = &mut self.cluster.machines[m];
            if machine.state == MachineState::Terminated {
                continue;
            }
            machine.expected = true;
            if machine.kind.is_none() {
                machine.kind = kind;
            }
            if machine.zone.is_empty() {
                machine.spot = entry.spot;
                machine.requested_at = now - TimeDelta::from_secs_f64(entry.age_s);
                machine.zone.clone_from(&entry.zone);
                let tasks: Vec<_> = machine.tasks.iter().copied().collect();
                self.cluster.rezone(&tasks, "", &entry.zone);
            }
            let machine = &mut self.cluster.machines[m];
            if machine.address.is_empty() {
                if let Some(address) = &entry.address {
                    machine.address.clone_from(address);
                }
            }
            if entry.stage == CloudMachineState::Running {
                machine.hinted_up_at.get_or_insert(now);
            }
            if entry.stage == CloudMachineState::Failed {
                // A failed machine stopped by itself, so none of its tasks runs any more. It stays
                // in the list until it is returned.
                if machine.drain_reason != Some(DrainReason::Failed)
                    && machine.state != MachineState::Terminating
                {
                    let tasks: Vec<_> = machine.tasks.iter().copied().collect();
                    self.drain(m, DrainReason::Failed);
                    tasks_lost(&mut self.cluster, now, &tasks);
                }
            }
        }
    }
}
