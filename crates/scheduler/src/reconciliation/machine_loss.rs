//! Handling of machines that are known to be gone.

use crate::dispatch::Messages;
use crate::model::cluster::Cluster;
use crate::model::ids::TaskId;
use crate::model::machine::MachineState;
use crate::model::task::TaskEvent;
use crate::time::Timestamp;

/// Marks a machine that is known to be gone as terminated. Everything that was on it is thereby
/// proven absent.
pub(crate) fn machine_terminated(
    cluster: &mut Cluster,
    messages: &mut Messages,
    now: Timestamp,
    name: &str,
) {
    let Some(&index) = cluster.machines_by_name.get(name) else { return };
    let machine = &mut cluster.machines[index];
    if machine.state == MachineState::Terminated {
        return;
    }
    machine.state = MachineState::Terminated;
    cluster.invalidate_cached_heartbeat(index);
    cluster.conflicting_replicas.clear(index);
    cluster.terminated.push_back((now, index));
    // Starts waiting for the machine's next request will never be sent.
    messages.discard(cluster, now, index);
    let tasks: Vec<TaskId> = cluster.machines[index].tasks.iter().copied().collect();
    tasks_lost(cluster, now, &tasks);
    cluster.placement_needed = true;
}

/// Marks the tasks as proven absent, because their machine is known to have stopped.
pub(crate) fn tasks_lost(cluster: &mut Cluster, now: Timestamp, tasks: &[TaskId]) {
    for &id in tasks {
        let is_unsent = cluster.task(id).is_some_and(|task| task.phase.is_unsent());
        // An unsent start is resolved by the outcome of its own transaction.
        if !is_unsent {
            cluster.apply(now, id, TaskEvent::ProvenAbsent);
        }
    }
}
