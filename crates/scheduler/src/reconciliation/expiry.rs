//! Finds starts that were sent to a worker and that no heartbeat has confirmed.

use crate::event::Event;
use crate::model::cluster::Cluster;
use crate::model::ids::TaskId;
use crate::model::task::{TaskEvent, TaskPhase};
use crate::time::{TimeDelta, Timestamp};
use crate::tunables::{Site, Tunables};

/// Marks the tasks of starts that no heartbeat confirmed by their deadline as unknown. The tasks
/// stay placed on their machines: only proof of absence frees a task.
pub(crate) fn expire_unconfirmed_starts(
    cluster: &mut Cluster,
    now: Timestamp,
    site: &Site,
    tunables: &Tunables,
) -> Vec<Event> {
    let confirmation_timeout = site.worker_lease + tunables.settle_margin;
    let mut events = Vec::new();
    for id in unconfirmed_starts(cluster, now, site.heartbeat_interval, confirmation_timeout) {
        if cluster.apply(now, id, TaskEvent::ConfirmationExpired) {
            events.extend(cluster.task_name(id).map(|task| Event::StartUnconfirmed { task }));
        }
    }
    events
}

/// Returns the tasks whose start was sent at least `timeout` ago without confirmation, on machines
/// whose next heartbeat is due.
fn unconfirmed_starts(
    cluster: &Cluster,
    now: Timestamp,
    heartbeat_interval: TimeDelta,
    timeout: TimeDelta,
) -> Vec<TaskId> {
    let is_due = |last_heartbeat| now.since(last_heartbeat) >= heartbeat_interval;
    let silent = cluster.machines.iter().filter(|machine| is_due(machine.last_heartbeat));
    let placed = silent.flat_map(|machine| machine.tasks.iter().copied());
    let unconfirmed = placed.filter(|id| {
        cluster.task(*id).is_some_and(|task| {
            task.phase == TaskPhase::Dispatching && now.since(task.since) >= timeout
        })
    });
    unconfirmed.collect()
}
