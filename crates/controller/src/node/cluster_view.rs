//! What a node knows about the rest of the cluster: the leader and its term, the recent status of
//! each peer, and machine addresses. All of it comes from unconfirmed messages, except a leader's
//! term that was read from the key-value store.

use std::cell::{Cell, RefCell};
use std::collections::HashMap;
use std::net::SocketAddrV4;
use walnutlug_scheduler::leadership::fencing_token::Term;

use tokio::time::{Duration, Instant};
use tracing::info;
use walnutlug_fencing::leased_role::{Epoch, EpochError};
use walnutlug_fencing::role_balancer::NodeLoad;

use crate::peers::{MachineAddress, NodeStatus};

/// Time for which a peer's last status is considered current.
pub(super) const STATUS_VALID: Duration = Duration::from_secs(4);
/// Time for which an address received from another node is worth trying.
const ADDRESS_VALID: Duration = Duration::from_secs(20);
/// Maximum number of remembered addresses: many times the size of any fleet, at about forty bytes
/// each.
const MAX_ADDRESSES: usize = 50_000;
/// Maximum number of peers whose status is remembered.
const MAX_PEERS: usize = 64;

/// The leader known to this node and its term.
struct KnownLeader {
    name: String,
    term: Term,
}

/// A peer's last status and when it was received.
struct PeerState {
    received: Instant,
    status: NodeStatus,
}

impl PeerState {
    fn is_fresh(&self) -> bool {
        self.received.elapsed() < STATUS_VALID
    }
}

/// A machine's address and when it was received.
struct KnownAddress {
    address: SocketAddrV4,
    received: Instant,
}

impl KnownAddress {
    fn is_fresh(&self) -> bool {
        self.received.elapsed() < ADDRESS_VALID
    }
}

/// One node's view of the leader, its peers and the machines' addresses.
pub(super) struct ClusterView {
    own_name: String,
    /// Whether the cluster has any other node.
    has_peers: bool,
    created: Instant,
    leader: RefCell<Option<KnownLeader>>,
    /// The highest term that this node knows of.
    highest_term: Cell<Option<Epoch>>,
    peers: RefCell<HashMap<String, PeerState>>,
    /// Whether a stale status has been logged; only the first one is.
    stale_status_logged: Cell<bool>,
    addresses: RefCell<HashMap<String, KnownAddress>>,
}

impl ClusterView {
    /// Creates the view of a node that has received no messages yet.
    pub(super) fn new(own_name: &str, has_peers: bool) -> ClusterView {
        ClusterView {
            own_name: own_name.to_owned(),
            has_peers,
            created: Instant::now(),
            leader: RefCell::default(),
            highest_term: Cell::default(),
            peers: RefCell::default(),
            stale_status_logged: Cell::default(),
            addresses: RefCell::default(),
        }
    }

    /// Returns the leader's name if the leader is another node.
    pub(super) fn other_leader(&self) -> Option<String> {
        let leader = self.leader.borrow();
        leader.as_ref().map(|leader| leader.name.clone()).filter(|name| *name != self.own_name)
    }

    /// Returns the name of the other node known to lead in exactly this term.
    pub(super) fn other_leader_in_term(&self, term: Term) -> Option<String> {
        let leader = self.leader.borrow();
        let leader = leader.as_ref().filter(|leader| leader.term == term)?;
        (leader.name != self.own_name).then(|| leader.name.clone())
    }

    /// Records that the node leads in the term, unless this or a newer term is already known.
    pub(super) fn record_leader(&self, name: &str, term: Term) {
        if name != self.own_name {
            let epoch = Epoch::try_from(term).ok();
            self.highest_term.set(self.highest_term.get().max(epoch));
        }
        let mut leader = self.leader.borrow_mut();
        if leader.as_ref().is_none_or(|known| known.term < term) {
            *leader = Some(KnownLeader { name: name.to_owned(), term });
        }
    }

    /// Forgets the leader of this term or an earlier one. Workers are then no longer redirected to
    /// a node that may be dead, where a connection could hang.
    pub(super) fn forget_leader(&self, term: Term) {
        self.leader.borrow_mut().take_if(|known| known.term <= term);
    }

    /// Converts this node's own term to an epoch and makes it the highest known one.
    ///
    /// # Errors
    /// Returns an error if the term is not a valid epoch or is not above every known term.
    pub(super) fn enter_term(&self, term: Term) -> Result<Epoch, EpochError> {
        let epoch = Epoch::try_from(term)?.must_follow(self.highest_term.get())?;
        self.highest_term.set(Some(epoch));
        Ok(epoch)
    }

    /// Returns whether the status was delayed or sent by an earlier process of the peer.
    /// Incarnations are ordered by the wall clock, which may be set back, so any incarnation
    /// replaces a status that is no longer current.
    pub(super) fn is_stale(&self, status: &NodeStatus) -> bool {
        let peers = self.peers.borrow();
        let stale = peers.get(&status.name).is_some_and(|known| {
            let order = |status: &NodeStatus| (status.incarnation, status.count);
            order(&known.status) >= order(status) && known.is_fresh()
        });
        if stale && !self.stale_status_logged.replace(true) {
            info!(peer = %status.name, "stale peer status ignored");
        }
        stale
    }

    /// Stores a status that is not stale, unless too many peers are remembered already.
    pub(super) fn record_status(&self, status: NodeStatus) {
        let mut peers = self.peers.borrow_mut();
        if peers.len() < MAX_PEERS || peers.contains_key(&status.name) {
            let received = Instant::now();
            peers.insert(status.name.clone(), PeerState { received, status });
        }
    }

    /// Returns whether the key-value store serves any peer.
    pub(super) fn any_peer_reaches_store(&self) -> bool {
        self.any_fresh_peer(|status| status.store_reachable)
    }

    /// Returns whether workers reach any peer with their heartbeats.
    pub(super) fn workers_reach_other_nodes(&self) -> bool {
        self.any_fresh_peer(|status| status.redirected > 0)
    }

    /// Returns whether other nodes exist but none has sent a status recently.
    pub(super) fn is_isolated(&self) -> bool {
        self.has_peers && self.created.elapsed() > STATUS_VALID && !self.any_fresh_peer(|_| true)
    }

    fn any_fresh_peer(&self, predicate: impl Fn(&NodeStatus) -> bool) -> bool {
        self.peers.borrow().values().any(|peer| predicate(&peer.status) && peer.is_fresh())
    }

    /// Returns the load of each peer whose status is current.
    pub(super) fn peer_loads(&self) -> Vec<NodeLoad> {
        let leader = self.other_leader();
        let peers = self.peers.borrow();
        let load = |(name, peer): (&String, &PeerState)| NodeLoad {
            leads: leader.as_ref() == Some(name),
            store_reachable: peer.status.store_reachable,
        };
        peers.iter().filter(|(_, peer)| peer.is_fresh()).map(load).collect()
    }

    /// Stores the machine addresses sent by the leader.
    pub(super) fn record_addresses(&self, machines: Vec<MachineAddress>) {
        let mut addresses = self.addresses.borrow_mut();
        if addresses.len() + machines.len() > MAX_ADDRESSES {
            addresses.retain(|_, known| known.is_fresh());
        }
        let received = Instant::now();
        for MachineAddress { machine, address } in machines {
            if addresses.len() < MAX_ADDRESSES || addresses.contains_key(&machine) {
                addresses.insert(machine, KnownAddress { address, received });
            }
        }
    }

    /// Returns the addresses received recently, with which a new leader can contact machines at
    /// once.
    pub(super) fn fresh_addresses(&self) -> Vec<MachineAddress> {
        let addresses = self.addresses.borrow();
        let fresh = addresses.iter().filter(|(_, known)| known.is_fresh());
        let address = |(machine, known): (&String, &KnownAddress)| MachineAddress {
            machine: machine.clone(),
            address: known.address,
        };
        fresh.map(address).collect()
    }
}
