//! Tasks that machines report as live contrary to the cluster state.

use std::collections::BTreeSet;

use crate::model::ids::{MachineIndex, TaskId};

/// Tasks that a machine reports as live under a placement other than the one in the task table.
/// They still occupy that machine. Several machines may report the same task, and each report
/// stands until a newer one of its own machine replaces it.
#[derive(Debug, Default)]
pub(crate) struct ConflictingReplicas {
    reports: BTreeSet<(TaskId, MachineIndex)>,
}

impl ConflictingReplicas {
    /// Records that the machine reports the task as live.
    pub(crate) fn insert(&mut self, task: TaskId, machine: MachineIndex) {
        self.reports.insert((task, machine));
    }

    /// Drops everything that the machine reported: its newest heartbeat replaces it, or the machine
    /// is gone.
    pub(crate) fn clear(&mut self, machine: MachineIndex) {
        self.reports.retain(|(_, reporter)| *reporter != machine);
    }

    /// Returns whether any machine reports the task.
    pub(crate) fn contains(&self, task: TaskId) -> bool {
        let all_machines = (task, MachineIndex(0))..=(task, MachineIndex(u32::MAX));
        self.reports.range(all_machines).next().is_some()
    }
}
