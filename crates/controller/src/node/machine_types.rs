//! Reads the machine types and their prices and keeps them up to date.

use std::rc::Rc;

use tokio::time::{sleep, Duration};
use tracing::{debug, warn};
use walnutlug_scheduler::command::TransactionOutcome;
use walnutlug_scheduler::protocol::cloud::MachineType;
use walnutlug_scheduler::protocol::key_value::{Operation, Transaction};
use walnutlug_scheduler::storage::keys;

use super::{machine_types_role, Node};
use crate::cloud_client::usable_types;
use crate::key_value_client::{KeyValueClient, RequestClass};

/// Longest time between two reads of the machine types.
const MAX_INTERVAL: Duration = Duration::from_secs(60);
/// Longest time between two reads while no machine types are known.
const MAX_INTERVAL_WITHOUT_TYPES: Duration = Duration::from_secs(2);
/// Time between the first two reads; it doubles from read to read.
const INITIAL_INTERVAL: Duration = Duration::from_millis(300);

/// Reads the machine types, first from the key-value store, and refreshes them while the node leads
/// or holds the role that shares them.
pub(super) async fn keep_fresh(node: Rc<Node>) {
    let mut pause = INITIAL_INTERVAL;
    loop {
        if node.machine_types.borrow().is_empty() {
            node.read_types().await;
        }
        let leads = node.leadership.borrow().term().is_some();
        let fenced = node.tunables.fenced_duties;
        let is_sharer = if fenced { node.machine_types_role.is_held(node.now()) } else { leads };
        if node.machine_types.borrow().is_empty() || is_sharer {
            read_types_from_cloud(&node, is_sharer || !fenced).await;
        } else if leads {
            node.read_types().await;
        }
        if !node.machine_types.borrow().is_empty() {
            pause = MAX_INTERVAL;
        }
        sleep(pause).await;
        pause = (pause * 2).min(MAX_INTERVAL);
        if node.machine_types.borrow().is_empty() {
            pause = pause.min(MAX_INTERVAL_WITHOUT_TYPES);
        }
    }
}

async fn read_types_from_cloud(node: &Rc<Node>, share: bool) {
    match node.cloud.types().await {
        Ok(types) if types.is_empty() => warn!("cloud offers no usable machine types"),
        Ok(types) => {
            let changed = node.set_types(&types);
            if share && (changed || node.machine_types_role.must_share()) {
                share_types(node, &types).await;
            }
            node.readiness.set_dependency_reached();
        }
        Err(error) => debug!(%error, "failed to read machine types from the cloud"),
    }
}

async fn share_types(node: &Node, types: &[MachineType]) {
    if node.tunables.fenced_duties {
        machine_types_role::share(node, types).await;
    } else {
        let _ = share_unfenced(&node.key_value, types).await;
    }
}

impl Node {
    /// Reads the machine types that some node has shared in the key-value store.
    pub(super) async fn read_types(&self) {
        let found = self.key_value.get(RequestClass::Submission, keys::TYPES).await;
        let Ok(Some(key_value)) = found else { return };
        self.readiness.set_dependency_reached();
        let types = serde_json::from_value::<Vec<MachineType>>(key_value.value["breeds"].clone());
        if let Ok(types) = types {
            self.set_types(&usable_types(types));
        }
    }

    /// Replaces the machine types and returns whether they changed.
    fn set_types(&self, types: &[MachineType]) -> bool {
        if *self.machine_types.borrow() == types {
            return false;
        }
        self.machine_types.replace(types.to_vec());
        if let Some(scheduler) = self.scheduler.borrow_mut().as_mut() {
            scheduler.cluster.set_types(types.to_vec());
        }
        true
    }
}

/// Stores the types for nodes that start while the cloud is unavailable. Used only if roles are not
/// fenced.
pub(super) async fn share_unfenced(
    key_value: &KeyValueClient,
    types: &[MachineType],
) -> TransactionOutcome {
    let value = serde_json::json!({"breeds": types});
    if value.to_string().len() > key_value.limits().value_bytes {
        // The client takes each rejection for size as a sign that the store's limits were lowered
        // again.
        debug!("machine types not stored: value exceeds the store's size limit");
        return TransactionOutcome::TooLarge;
    }
    let transaction =
        Transaction { compares: Vec::new(), operations: vec![Operation::put(keys::TYPES, value)] };
    key_value.commit(RequestClass::Watch, &transaction).await
}

#[cfg(test)]
mod tests;
