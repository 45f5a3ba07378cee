//! Acts on the results of failure detection and health checks: drains machines and stops tasks.

use crate::model::ids::MachineIndex;
use crate::model::machine::{DrainReason, MachineState};
use crate::reconciliation::{failure_detector, health};
use crate::scheduler::Scheduler;
use crate::time::Timestamp;

impl Scheduler {
    /// Returns whether all of several machines that should report have been silent for a while. It
    /// is then more likely that this node is unreachable than that all of them failed at once.
    pub fn receives_no_heartbeats(&self, now: Timestamp) -> bool {
        let interval = self.site.heartbeat_interval;
        failure_detector::receives_no_heartbeats(&self.cluster, now, self.started_at, interval)
    }

    /// Returns whether no worker can be reached: every request failed for a heartbeat interval, and
    /// there were several. Heartbeats may still arrive through other nodes, but every start that
    /// this leader sends is lost. Without this check, a leader cut off from its workers continued
    /// for 40 s, lost every start that it sent, and returned machines that other nodes could reach.
    ///
    /// Returns `false` without machines, because there is nothing to reach: a leader that had
    /// returned its whole idle fleet stepped down over the requests still in flight to it, and so
    /// did its successor, leaving the cluster without a leader for six seconds.
    pub fn workers_unreachable(&self, now: Timestamp) -> bool {
        self.messages.all_lost_for(now, self.site.heartbeat_interval)
            && self.cluster.machines.iter().any(|machine| machine.state == MachineState::Up)
    }

    /// Returns the zones in which all machines are silent.
    pub(crate) fn silent_zones(&self, now: Timestamp) -> Vec<String> {
        failure_detector::silent_zones(&self.cluster, now, self.site.heartbeat_interval)
    }

    /// Drains machines that are silent, overdue to boot, or slow.
    pub(crate) fn assess_health(&mut self, now: Timestamp, silent_zones: &[String]) {
        let timeout = failure_detector::suspicion_timeout(&self.site, &self.tunables);
        let suspects =
            failure_detector::suspected_machines(&self.cluster, now, timeout, silent_zones);
        for suspect in suspects {
            self.drain(suspect.machine, suspect.reason);
        }
        let boot_patience = self.tunables.boot_patience;
        for machine in health::overdue_boots(&self.cluster, now, timeout, boot_patience) {
            self.drain(machine, DrainReason::NeverCameUp);
        }
        if now.since(self.autoscaler.last_slow_check) >= health::SLOW_TASK_CHECK_INTERVAL {
            self.autoscaler.last_slow_check = now;
            for machine in health::slow_machines(&self.cluster, now, self.tunables.slow_factor) {
                self.drain(machine, DrainReason::Slow);
            }
        }
    }

    /// Stops tasks that will not finish before the cloud reclaims their machine, if they can run
    /// elsewhere.
    pub(crate) fn evict_before_interruption(&mut self, now: Timestamp) {
        if !health::any_interrupted(&self.cluster) {
            return;
        }
        let free_cpus: f64 = self
            .cluster
            .machines
            .iter()
            .filter(|machine| self.is_schedulable(now, machine))
            .filter_map(|machine| {
                let machine_type = self.cluster.machine_types.get(machine.kind?)?;
                Some((machine_type.cpus - machine.used().cpus).max(0.0))
            })
            .sum();
        for eviction in health::evictions(&self.cluster, &self.run_times, now, free_cpus) {
            self.stop(now, eviction.task, eviction.grace_s);
        }
    }

    /// Excludes the machine from placement, to be returned to the cloud.
    pub(crate) fn drain(&mut self, machine: MachineIndex, reason: DrainReason) {
        let event = health::drain(&mut self.cluster.machines[machine], reason);
        self.log(event);
    }
}
