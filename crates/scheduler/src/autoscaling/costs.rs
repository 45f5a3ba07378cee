//! Accounting of what the fleet costs, for the log.

use crate::event::FleetCost;
use crate::model::cluster::Cluster;
use crate::model::machine::{Machine, MachineState};
use crate::protocol::cloud::MachineType;
use crate::time::{TimeDelta, Timestamp};

/// How often the cost of each machine and task is added up; only the log uses it.
const ACCOUNTING_INTERVAL: TimeDelta = TimeDelta::from_secs(5);
/// How often the sums are logged.
const LOG_INTERVAL: TimeDelta = TimeDelta::from_secs(60);

/// Cost of the fleet since the last log entry: hourly price times hours, by kind of machine and by
/// use.
#[derive(Debug, Default)]
pub(super) struct CostAccount {
    logged_at: Option<Timestamp>,
    sampled_at: Option<Timestamp>,
    cost: FleetCost,
}

impl CostAccount {
    /// Returns whether the cost since the last sample should be added now.
    pub(super) fn is_sample_due(&self, now: Timestamp) -> bool {
        now.since(self.sampled_at.unwrap_or_default()) >= ACCOUNTING_INTERVAL
    }

    /// Adds the cost since the last sample.
    pub(super) fn sample(&mut self, cluster: &Cluster, now: Timestamp) {
        let hours = self.sampled_at.map_or(0.0, |t| now.since(t).as_secs_f64() / 3_600.0);
        self.sampled_at = Some(now);
        for machine in &cluster.machines {
            let Some(kind) = machine.kind.and_then(|k| cluster.machine_types.get(k)) else {
                continue;
            };
            if machine.state != MachineState::Terminated {
                self.add_machine(cluster, machine, kind, hours);
            }
        }
    }

    /// Returns the sums and starts new ones, if they are due for the log.
    pub(super) fn take_if_due(&mut self, now: Timestamp) -> Option<FleetCost> {
        let logged_at = *self.logged_at.get_or_insert(now);
        if now.since(logged_at) < LOG_INTERVAL {
            return None;
        }
        self.logged_at = Some(now);
        Some(std::mem::take(&mut self.cost))
    }

    fn add_machine(
        &mut self,
        cluster: &Cluster,
        machine: &Machine,
        kind: &MachineType,
        hours: f64,
    ) {
        let cost = &mut self.cost;
        let amount = hours * if machine.spot { kind.spot_price } else { kind.price };
        *(if machine.spot { &mut cost.spot } else { &mut cost.ordinary }) += amount;
        if machine.state == MachineState::Booting {
            cost.booting += amount;
            return;
        }
        // The scarcest resource counts, so that a machine full in one resource isn't idle.
        let share_of =
            |used: f64, total: f64| if total > 0.0 { (used / total).min(1.0) } else { 0.0 };
        let used = machine.used();
        let used_share =
            share_of(used.cpus, kind.cpus).max(share_of(used.memory_gb, kind.memory_gb));
        let idle = if machine.spot { &mut cost.idle_spot } else { &mut cost.idle_ordinary };
        *idle += amount * (1.0 - used_share);
        for id in &machine.tasks {
            let Some(job) = cluster.job(id.job) else { continue };
            let share = amount * share_of(job.spec.cpus, kind.cpus);
            if job.started.contains_key(&id.index) {
                cost.running += share;
            } else {
                cost.fetching += share;
            }
        }
    }
}
