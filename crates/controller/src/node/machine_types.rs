//! The machine types and their prices, as a node knows them.

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

/// Longest time between two looks at the machine types and their prices.
const TYPES_EVERY: Duration = Duration::from_secs(60);
/// The same while none are known.
const TYPES_EVERY_AT_FIRST: Duration = Duration::from_secs(2);

/// Gets the machine types, first from the common store, and keeps them fresh while leading or while holding
/// the duty to share them.
pub(super) async fn keep(node: Rc<Node>) {
    let mut pause = Duration::from_millis(300);
    loop {
        if node.types.borrow().is_empty() {
            node.read_types().await;
        }
        let leads = node.leadership.borrow().term().is_some();
        let fenced = node.tunables.fenced_duties;
        let shares = if fenced { node.machine_types_role.is_held(node.now()) } else { leads };
        if node.types.borrow().is_empty() || shares {
            ask_cloud_for_types(&node, shares || !fenced).await;
        } else if leads {
            node.read_types().await;
        }
        if !node.types.borrow().is_empty() {
            pause = TYPES_EVERY;
        }
        sleep(pause).await;
        pause = (pause * 2).min(TYPES_EVERY);
        if node.types.borrow().is_empty() {
            pause = pause.min(TYPES_EVERY_AT_FIRST);
        }
    }
}

async fn ask_cloud_for_types(node: &Node, share: bool) {
    match node.cloud.types().await {
        Ok(types) if types.is_empty() => warn!("the cloud offers no usable machine type"),
        Ok(types) => {
            let changed = node.take_types(&types);
            if share && (changed || node.machine_types_role.has_yet_to_share()) {
                if node.tunables.fenced_duties {
                    machine_types_role::share(node, &types).await;
                } else {
                    let _ = share_unfenced(&node.key_value, &types).await;
                }
            }
            node.ready_once.set(true);
        }
        Err(error) => debug!(%error, "the machine types can't be read"),
    }
}

impl Node {
    /// Takes the types over from the common store.
    pub(super) async fn read_types(&self) {
        if let Ok(Some(key_value)) = self.key_value.get(RequestClass::Submission, keys::TYPES).await
        {
            self.ready_once.set(true);
            let types =
                serde_json::from_value::<Vec<MachineType>>(key_value.value["breeds"].clone());
            if let Ok(types) = types {
                self.take_types(&usable_types(types));
            }
        }
    }

    /// The machine types are these. Whether that is new.
    fn take_types(&self, types: &[MachineType]) -> bool {
        if *self.types.borrow() == types {
            return false;
        }
        *self.types.borrow_mut() = types.to_vec();
        if let Some(s) = self.scheduler.borrow_mut().as_mut() {
            s.cluster.set_types(types.to_vec());
        }
        true
    }
}

/// Keeps the types in the store for nodes that start while the cloud is down, where duties aren't
/// fenced.
pub(super) async fn share_unfenced(
    key_value: &KeyValueClient,
    types: &[MachineType],
) -> TransactionOutcome {
    let value = serde_json::json!({"breeds": types});
    if value.to_string().len() > key_value.limits().value_bytes {
        // Sent all the same, each refusal would be taken for limits that fell once more.
        debug!("the machine types are too long to be kept");
        return TransactionOutcome::TooLarge;
    }
    let transaction =
        Transaction { compares: Vec::new(), operations: vec![Operation::put(keys::TYPES, value)] };
    key_value.commit(RequestClass::Watch, &transaction).await
}

#[cfg(test)]
mod tests;
