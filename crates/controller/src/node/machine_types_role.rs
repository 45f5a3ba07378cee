//! The role that reads machine types and prices from the cloud and shares them. Any node may hold
//! it under a lease of its own; the leader leaves it to another node if there is one.

use std::cell::{Cell, RefCell};
use std::rc::Rc;
use walnutlug_scheduler::storage::revision::Revision;

use tokio::time::{sleep, Duration};
use tracing::{debug, error, info, warn};
use walnutlug_fencing::fence::{Fence, FencedWrite};
use walnutlug_fencing::lease::{LeaseInput, LeaseState, RoleLease};
use walnutlug_fencing::leased_role::{
    Epoch, HeldRole, HolderRecord, LeasedRole, RecordError, HOLDER_FORMAT,
};
use walnutlug_fencing::role_balancer::{NodeLoad, RoleBalancer};
use walnutlug_scheduler::command::TransactionOutcome;
use walnutlug_scheduler::protocol::cloud::MachineType;
use walnutlug_scheduler::protocol::key_value::{KeyValue, Operation};
use walnutlug_scheduler::storage::keys;
use walnutlug_scheduler::time::{TimeDelta, Timestamp};

use super::Node;
use crate::key_value_client::{KeyValueError, RequestClass};

const ROLE: LeasedRole = LeasedRole::MachineTypes;
const TTL: TimeDelta = TimeDelta::from_secs(12);
/// Longest time between two lease renewals by the holder, or between two reads of the holder record
/// by the other nodes.
const MAX_CHECK_INTERVAL: Duration = Duration::from_secs(4);

/// This node's state in the machine-types role.
pub(super) struct MachineTypesRole {
    lease: RefCell<RoleLease>,
    /// Identifier of the lease in the key-value store, while this node has one.
    lease_id: Cell<Option<u64>>,
    balancer: RefCell<RoleBalancer>,
    /// The epoch in which this node last shared the types.
    last_shared_epoch: Cell<Option<Epoch>>,
    /// The last logged error of the stored holder record; the same error is not logged twice in a
    /// row.
    last_logged_error: RefCell<Option<RecordError>>,
}

impl Default for MachineTypesRole {
    fn default() -> MachineTypesRole {
        MachineTypesRole {
            lease: RefCell::new(RoleLease::new(TTL)),
            lease_id: Cell::default(),
            balancer: RefCell::default(),
            last_shared_epoch: Cell::default(),
            last_logged_error: RefCell::default(),
        }
    }
}

impl MachineTypesRole {
    /// Returns whether this node certainly holds the role now.
    pub(super) fn is_held(&self, now: Timestamp) -> bool {
        self.lease.borrow().permit(now).is_some()
    }

    /// Returns whether this node holds the role and has shared nothing in its current epoch.
    pub(super) fn must_share(&self) -> bool {
        let epoch = self.lease.borrow().epoch();
        epoch.is_some() && self.last_shared_epoch.get() != epoch
    }

    /// Records that this node holds the role's key at this revision, under this lease.
    fn acquired(&self, lease_id: u64, revision: Revision) {
        self.lease_id.set(Some(lease_id));
        self.step(LeaseInput::Won { revision });
    }

    /// Records that this node no longer holds the role.
    fn lost(&self) {
        self.lease_id.set(None);
        self.step(LeaseInput::Ended);
    }

    /// Logs that the stored holder record cannot be read, unless the same error was logged last.
    fn log_unreadable_holder(&self, fault: RecordError) {
        let mut logged = self.last_logged_error.borrow_mut();
        if logged.as_ref() != Some(&fault) {
            warn!(role = ROLE.name(), reason = %fault, "stored role holder record is unreadable");
            *logged = Some(fault);
        }
    }

    fn step(&self, input: LeaseInput) {
        let mut lease = self.lease.borrow_mut();
        let before = lease.state();
        if !lease.step(input) {
            return;
        }
        let role = ROLE.name();
        match (before, lease.state()) {
            (LeaseState::Acquiring { .. }, LeaseState::Held { epoch, .. }) => {
                info!(role, %epoch, "role acquired");
            }
            (LeaseState::Held { epoch, .. }, LeaseState::Idle) => {
                info!(role, %epoch, "role lost or handed over");
            }
            (_, LeaseState::Stopped { error }) => {
                error!(role, reason = %error, "role disabled at this node until it restarts");
            }
            _ => {}
        }
    }
}

/// Acquires, renews and hands over the role until the process ends, if roles are fenced.
pub(super) async fn run(node: Rc<Node>) {
    if !node.tunables.fenced_duties {
        return;
    }
    loop {
        let epoch = node.machine_types_role.lease.borrow().epoch();
        match epoch {
            Some(_) => renew(&node).await,
            None => observe(&node).await,
        }
        sleep(MAX_CHECK_INTERVAL.mul_f64(rand::random_range(0.8..1.0))).await;
    }
}

fn own_load(node: &Node) -> NodeLoad {
    let leads = node.leadership.borrow().term().is_some();
    NodeLoad { leads, store_reachable: node.key_value.store_reachable() }
}

async fn renew(node: &Rc<Node>) {
    let role = &node.machine_types_role;
    let Some(id) = role.lease_id.get() else { return };
    let (now, own, others) = (node.now(), own_load(node), node.cluster_view.peer_loads());
    if role.balancer.borrow_mut().should_hand_over(now, own, &others) {
        info!(role = ROLE.name(), "handing over the role because this node leads");
        return release(node, id).await;
    }
    match node.key_value.renew_lease(id).await {
        Ok(()) => role.step(LeaseInput::Renewed { sent: now }),
        Err(KeyValueError::Expired { .. }) => role.lost(),
        Err(error) => debug!(role = ROLE.name(), %error, "role lease renewal failed"),
    }
}

async fn release(node: &Node, id: u64) {
    node.machine_types_role.lost();
    let _ = node.key_value.revoke_lease(id).await;
}

/// Reads who holds the role, and acquires it if nobody does.
async fn observe(node: &Rc<Node>) {
    let role = &node.machine_types_role;
    match node.key_value.get(RequestClass::Watch, &ROLE.key()).await {
        Ok(Some(key_value)) => {
            role.balancer.borrow_mut().taken();
            observe_holder(node, &key_value).await;
        }
        Ok(None) => {
            let own = own_load(node);
            if role.balancer.borrow_mut().should_take(node.now(), own) {
                acquire(node).await;
            }
        }
        Err(error) => debug!(role = ROLE.name(), %error, "failed to read the role holder"),
    }
}

/// Records the holder's epoch, and revokes the lease if an earlier process of this node left it.
async fn observe_holder(node: &Rc<Node>, key_value: &KeyValue) {
    let mut names: Vec<&str> = node.settings.peers.iter().map(|peer| peer.name.as_str()).collect();
    names.push(&node.settings.node_name);
    let held = match HeldRole::read(key_value, &names) {
        Ok(held) => held,
        Err(fault) => {
            // The record stays in place: its lease will expire, or a version that can read it will
            // handle it.
            return node.machine_types_role.log_unreadable_holder(fault);
        }
    };
    node.machine_types_role.lease.borrow_mut().observe(held.epoch);
    let own_name = held.holder.node == node.settings.node_name;
    if own_name && held.holder.incarnation != node.identity.election_nonce {
        // An earlier process of this node held the role, so nobody holds it now.
        let _ = node.key_value.revoke_lease(held.holder.lease).await;
    }
}

async fn acquire(node: &Rc<Node>) {
    let role = &node.machine_types_role;
    let sent = node.now();
    let Ok(id) = node.key_value.grant_lease(Duration::from_micros(TTL.0)).await else { return };
    role.step(LeaseInput::Granted { sent });
    match create_key(node, id).await {
        Some(revision) => role.acquired(id, revision),
        None => {
            role.step(LeaseInput::Failed);
            // Revoking the lease also removes a key that a delayed copy of the transaction may
            // still create.
            let _ = node.key_value.revoke_lease(id).await;
        }
    }
}

/// Creates the role's key. Returns its revision if this node created it, even if the response was
/// lost.
async fn create_key(node: &Node, lease: u64) -> Option<Revision> {
    let holder = HolderRecord {
        format: HOLDER_FORMAT,
        node: node.settings.node_name.clone(),
        incarnation: node.identity.election_nonce.clone(),
        lease,
    };
    let transaction = HeldRole::claim(ROLE, &holder);
    match node.key_value.commit(RequestClass::Watch, &transaction).await {
        TransactionOutcome::Committed { revision } => Some(revision),
        TransactionOutcome::Conflict { .. } | TransactionOutcome::Indeterminate => {
            let key_value = node.key_value.get(RequestClass::Watch, &ROLE.key()).await.ok()??;
            let held = HeldRole::read(&key_value, &[&node.settings.node_name]).ok()?;
            (held.holder == holder).then_some(key_value.revision)
        }
        TransactionOutcome::Rejected | TransactionOutcome::TooLarge => None,
    }
}

/// Stores the types for all nodes. The write succeeds only if this node still holds the role.
pub(super) async fn share(node: &Node, types: &[MachineType]) {
    let role = &node.machine_types_role;
    let epoch = role.lease.borrow().epoch();
    let Some(epoch) = epoch else { return };
    let value = serde_json::json!({"breeds": types});
    if value.to_string().len() > node.key_value.limits().value_bytes {
        debug!("machine types not shared: value exceeds the store's size limit");
        return;
    }
    let mut write = FencedWrite::new(&Fence::new(ROLE, epoch));
    write.change(Operation::put(keys::TYPES, value));
    match node.key_value.commit(RequestClass::Watch, &write.into_transaction()).await {
        TransactionOutcome::Committed { .. } => role.last_shared_epoch.set(Some(epoch)),
        TransactionOutcome::Conflict { .. } => role.lost(),
        // Not retried: the next read from the cloud is soon enough.
        TransactionOutcome::Rejected
        | TransactionOutcome::TooLarge
        | TransactionOutcome::Indeterminate => {}
    }
}

#[cfg(test)]
mod tests;
