//! Routes the findings of the failure detector and of health assessment: machines to drain, tasks to
//! stop.

use crate::model::ids::MachineIndex;
use crate::model::machine::{DrainReason, MachineState};
use crate::reconciliation::{failure_detector, health};
use crate::scheduler::Scheduler;
use crate::time::Timestamp;

impl Scheduler {
    /// Whether all of several machines that should report have been silent for a while: more likely
    /// this node can't be reached than that all of them failed at once.
    pub fn receives_no_heartbeats(&self, now: Timestamp) -> bool {
        let interval = self.site.heartbeat_interval;
        failure_detector::receives_no_heartbeats(&self.cluster, now, self.started_at, interval)
    }

    /// Whether no worker is reached any more: for a heartbeat's interval every request was lost, and
    /// there were several. Their heartbeats may still come, through other nodes, so this leader may
    /// still be heard from; but whatever it starts is lost. (A leader cut off from the workers went on
    /// so for 40 s, lost each start that it sent, and gave machines back that other nodes reach.) Without
    /// machines there is nothing to reach. (A leader that had returned its whole idle fleet stepped down
    /// for the requests that were in flight to it, and so did the next: nobody led for six seconds.)
    pub fn workers_unreachable(&self, now: Timestamp) -> bool {
        self.messages.all_lost_for(now, self.site.heartbeat_interval)
            && self.cluster.machines.iter().any(|machine| machine.state == MachineState::Up)
    }

    /// The zones whose machines are silent as a whole.
    pub(crate) fn silent_zones(&self, now: Timestamp) -> Vec<String> {
        failure_detector::silent_zones(&self.cluster, now, self.site.heartbeat_interval)
    }

    /// Drains machines that have to go: silent, overdue, slow.
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
        if now.since(self.autoscaler.slow_looked_for) >= health::SLOW_EVERY {
            self.autoscaler.slow_looked_for = now;
            for machine in health::slow_machines(&self.cluster, now, self.tunables.slow_factor) {
                self.drain(machine, DrainReason::Slow);
            }
        }
    }

    /// Stops what won't be done on a machine before the cloud takes it, where it can run elsewhere.
    pub(crate) fn evict_before_interruption(&mut self, now: Timestamp) {
        if !health::any_interrupted(&self.cluster) {
            return;
        }
        let free_cpus: f64 = self
            .cluster
            .machines
            .iter()
            .filter(|machine| self.open_for_work(now, machine))
            .filter_map(|machine| {
                let machine_type = self.cluster.machine_types.get(machine.kind?)?;
                Some((machine_type.cpus - machine.used().cpus).max(0.0))
            })
            .sum();
        for eviction in health::evictions(&self.cluster, &self.run_times, now, free_cpus) {
            self.stop(now, eviction.task, eviction.grace_s);
        }
    }

    /// Nothing more is placed on the machine, and it is returned to the cloud.
    pub(crate) fn drain(&mut self, machine: MachineIndex, reason: DrainReason) {
        let event = health::drain(&mut self.cluster.machines[machine], reason);
        self.log(event);
    }
}
