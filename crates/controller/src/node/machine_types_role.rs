//! The duty of reading machine types and prices from the cloud and sharing them, which any node may hold on a
//! lease of its own. The leader leaves it to another node if there is one.

use std::cell::RefCell;
use std::rc::Rc;

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
use walnutlug_scheduler::storage::revision::Revision;
use walnutlug_scheduler::time::{TimeDelta, Timestamp};

use super::{Node, PEER_FRESH};
use crate::key_value_client::{KeyValueError, RequestClass};

const ROLE: LeasedRole = LeasedRole::MachineTypes;
const LEASE: TimeDelta = TimeDelta::from_secs(12);
/// How often the holder renews its lease and the others look who holds the duty.
const LOOK_EVERY: Duration = Duration::from_secs(4);

/// A node's part in the duty.
pub(super) struct MachineTypesRole {
    lease: RefCell<RoleLease>,
    /// The number of the lease in the key-value store, while there is one.
    lease_id: RefCell<Option<u64>>,
    balancer: RefCell<RoleBalancer>,
    /// The epoch under which the types were shared last.
    shared: RefCell<Option<Epoch>>,
    /// The stored fault that was logged last; each is logged once.
    told: RefCell<Option<RecordError>>,
}

impl Default for MachineTypesRole {
    fn default() -> MachineTypesRole {
        MachineTypesRole {
            lease: RefCell::new(RoleLease::new(LEASE)),
            lease_id: RefCell::default(),
            balancer: RefCell::default(),
            shared: RefCell::default(),
            told: RefCell::default(),
        }
    }
}

impl MachineTypesRole {
    /// Whether this node certainly holds the duty now.
    pub(super) fn is_held(&self, now: Timestamp) -> bool {
        self.lease.borrow().permit(now).is_some()
    }

    /// Whether this node holds the duty and has not shared anything since it took it.
    pub(super) fn has_yet_to_share(&self) -> bool {
        let epoch = self.lease.borrow().epoch();
        epoch.is_some() && *self.shared.borrow() != epoch
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
                info!(role, %epoch, "this node holds the duty");
            }
            (LeaseState::Held { epoch, .. }, LeaseState::Idle) => {
                info!(role, %epoch, "this node holds the duty no more");
            }
            (_, LeaseState::Stopped { error }) => {
                error!(role, "the duty stops at this node: {error}");
            }
            _ => {}
        }
    }
}

/// Takes, keeps and hands over the duty for as long as the node lives.
pub(super) async fn keep(node: Rc<Node>) {
    if !node.tunables.fenced_duties {
        return;
    }
    loop {
        let epoch = node.machine_types_role.lease.borrow().epoch();
        match epoch {
            Some(_) => renew(&node).await,
            None => look(&node).await,
        }
        sleep(LOOK_EVERY.mul_f64(rand::random_range(0.8..1.0))).await;
    }
}

fn own_load(node: &Node) -> NodeLoad {
    let leads = node.leadership.borrow().term().is_some();
    NodeLoad { leads, store_reachable: node.key_value.store_reachable() }
}

fn other_loads(node: &Node) -> Vec<NodeLoad> {
    let leader = node.other_leader();
    let states = node.peer_states.borrow();
    let fresh = states.iter().filter(|(_, state)| state.heard.elapsed() < PEER_FRESH);
    let load = |(name, state): (&String, &super::PeerState)| NodeLoad {
        leads: leader.as_ref() == Some(name),
        store_reachable: state.store_reachable,
    };
    fresh.map(load).collect()
}

async fn renew(node: &Rc<Node>) {
    let role = &node.machine_types_role;
    let Some(id) = *role.lease_id.borrow() else { return };
    let (now, own, others) = (node.now(), own_load(node), other_loads(node));
    if role.balancer.borrow_mut().should_hand_over(now, own, &others) {
        info!(role = ROLE.name(), "given up for a node that doesn't lead");
        return give_up(node, id).await;
    }
    match node.key_value.renew_lease(id).await {
        Ok(()) => role.step(LeaseInput::Renewed { sent: now }),
        Err(KeyValueError::Expired { .. }) => {
            *role.lease_id.borrow_mut() = None;
            role.step(LeaseInput::Ended);
        }
        Err(e) => debug!("the lease of {} is not renewed: {e}", ROLE.name()),
    }
}

async fn give_up(node: &Node, id: u64) {
    node.machine_types_role.step(LeaseInput::Ended);
    *node.machine_types_role.lease_id.borrow_mut() = None;
    let _ = node.key_value.revoke_lease(id).await;
}

/// Looks who holds the duty, and takes it if nobody does.
async fn look(node: &Rc<Node>) {
    let role = &node.machine_types_role;
    match node.key_value.get(RequestClass::Watch, &ROLE.key()).await {
        Ok(Some(key_value)) => {
            role.balancer.borrow_mut().taken();
            held_by(node, &key_value).await;
        }
        Ok(None) => {
            let own = own_load(node);
            if role.balancer.borrow_mut().should_take(node.now(), own) {
                acquire(node).await;
            }
        }
        Err(e) => debug!("who holds {} can't be read: {e}", ROLE.name()),
    }
}

async fn held_by(node: &Rc<Node>, key_value: &KeyValue) {
    let mut names: Vec<&str> = node.settings.peers.iter().map(|peer| peer.name.as_str()).collect();
    names.push(&node.settings.node_name);
    let holding = match HeldRole::read(key_value, &names) {
        Ok(holding) => holding,
        Err(fault) => {
            // Left as it is: its lease will end, or a version that can read it will see to it.
            if node.machine_types_role.told.replace(Some(fault.clone())) != Some(fault.clone()) {
                warn!("nothing is done for the duty {}: {fault}", ROLE.name());
            }
            return;
        }
    };
    node.machine_types_role.lease.borrow_mut().observe(holding.epoch);
    let own_name = holding.holder.node == node.settings.node_name;
    if own_name && holding.holder.incarnation != node.election_nonce {
        // This node's former life held it; nobody does now.
        let _ = node.key_value.revoke_lease(holding.holder.lease).await;
    }
}

async fn acquire(node: &Rc<Node>) {
    let role = &node.machine_types_role;
    let sent = node.now();
    let Ok(id) = node.key_value.grant_lease(Duration::from_micros(LEASE.0)).await else { return };
    role.step(LeaseInput::Granted { sent });
    match create_key(node, id).await {
        Some(revision) => {
            *role.lease_id.borrow_mut() = Some(id);
            role.step(LeaseInput::Won { revision });
        }
        None => {
            role.step(LeaseInput::Failed);
            // Ending the lease ends whatever a late copy of the transaction might yet create.
            let _ = node.key_value.revoke_lease(id).await;
        }
    }
}

/// Creates the duty's key, and tells its revision if this node did, also where only the answer was lost.
async fn create_key(node: &Node, lease: u64) -> Option<Revision> {
    let holder = HolderRecord {
        format: HOLDER_FORMAT,
        node: node.settings.node_name.clone(),
        incarnation: node.election_nonce.clone(),
        lease,
    };
    let transaction = HeldRole::claim(ROLE, &holder);
    match node.key_value.commit(RequestClass::Watch, &transaction).await {
        TransactionOutcome::Committed { revision } => Some(revision),
        TransactionOutcome::Conflict { .. } | TransactionOutcome::Indeterminate => {
            let key_value = node.key_value.get(RequestClass::Watch, &ROLE.key()).await.ok()??;
            let holding = HeldRole::read(&key_value, &[&node.settings.node_name]).ok()?;
            (holding.holder == holder).then_some(key_value.revision)
        }
        TransactionOutcome::Rejected | TransactionOutcome::TooLarge => None,
    }
}

/// Writes the types for all nodes, if this one still holds the duty when the write is carried out.
pub(super) async fn share(node: &Node, types: &[MachineType]) {
    let epoch: Option<Epoch> = node.machine_types_role.lease.borrow().epoch();
    let Some(epoch) = epoch else { return };
    let value = serde_json::json!({"breeds": types});
    if value.to_string().len() > node.key_value.limits().value_bytes {
        debug!("the machine types are too long to be kept");
        return;
    }
    let mut write = FencedWrite::new(&Fence::new(ROLE, epoch));
    write.change(Operation::put(keys::TYPES, value));
    match node.key_value.commit(RequestClass::Watch, &write.into_transaction()).await {
        TransactionOutcome::Committed { .. } => {
            *node.machine_types_role.shared.borrow_mut() = Some(epoch)
        }
        TransactionOutcome::Conflict { .. } => {
            *node.machine_types_role.lease_id.borrow_mut() = None;
            node.machine_types_role.step(LeaseInput::Ended);
        }
        // The next look at the cloud is soon enough.
        TransactionOutcome::Rejected
        | TransactionOutcome::TooLarge
        | TransactionOutcome::Indeterminate => {}
    }
}

#[cfg(test)]
mod tests;
