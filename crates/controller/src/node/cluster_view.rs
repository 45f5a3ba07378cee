//! What a node knows of the others: who leads under which term, which nodes were heard lately and what they said of
//! themselves, and the addresses at which machines can be reached. All of it comes from hints, except the term of a
//! leader that was read from the key-value store.

use std::cell::{Cell, RefCell};
use std::collections::HashMap;
use std::net::SocketAddrV4;
use walnutlug_scheduler::leadership::fencing_token::Term;

use tokio::time::{Duration, Instant};
use tracing::info;
use walnutlug_fencing::leased_role::{Epoch, EpochError};
use walnutlug_fencing::role_balancer::NodeLoad;

use crate::peers::{MachineAddress, NodeStatus};

/// How long a peer's status counts.
pub(super) const STATUS_VALID: Duration = Duration::from_secs(4);
/// How long an address received from another node is worth trying.
const ADDRESS_VALID: Duration = Duration::from_secs(20);
/// Addresses remembered: many times those of any fleet, at some forty bytes each.
const MAX_ADDRESSES: usize = 50_000;
/// Peers whose status is remembered.
const MAX_PEERS: usize = 64;

/// Who leads, as far as this node knows, and under which term.
struct KnownLeader {
    name: String,
    term: Term,
}

/// A peer's last status, and when it came.
struct PeerState {
    received: Instant,
    status: NodeStatus,
}

impl PeerState {
    fn is_fresh(&self) -> bool {
        self.received.elapsed() < STATUS_VALID
    }
}

/// A machine's address, and when it was received.
struct KnownAddress {
    address: SocketAddrV4,
    received: Instant,
}

impl KnownAddress {
    fn is_fresh(&self) -> bool {
        self.received.elapsed() < ADDRESS_VALID
    }
}

/// One node's view of the cluster.
pub(super) struct ClusterView {
    own_name: String,
    /// Whether there are other nodes at all.
    has_peers: bool,
    created: Instant,
    leader: RefCell<Option<KnownLeader>>,
    /// The highest term of which this node knows.
    highest_term: Cell<Option<Epoch>>,
    peers: RefCell<HashMap<String, PeerState>>,
    /// Whether an out-of-date status was logged; once is enough.
    stale_status_logged: Cell<bool>,
    addresses: RefCell<HashMap<String, KnownAddress>>,
}

impl ClusterView {
    /// Of a node that has heard of nobody yet.
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

    /// The leader, if it is another node.
    pub(super) fn other_leader(&self) -> Option<String> {
        let leader = self.leader.borrow();
        leader.as_ref().map(|leader| leader.name.clone()).filter(|name| *name != self.own_name)
    }

    /// The other node that leads under exactly that term, as far as this one knows.
    pub(super) fn other_leader_in_term(&self, term: Term) -> Option<String> {
        let leader = self.leader.borrow();
        let leader = leader.as_ref().filter(|leader| leader.term == term)?;
        (leader.name != self.own_name).then(|| leader.name.clone())
    }

    /// Records that the node leads under the term, unless a newer term is known.
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

    /// The leader of that term leads no more. Workers aren't redirected to it: it may be dead, and a connection to
    /// it may hang.
    pub(super) fn forget_leader(&self, term: Term) {
        self.leader.borrow_mut().take_if(|known| known.term <= term);
    }

    /// The own term as an epoch, which from then on is the highest known.
    ///
    /// # Errors
    /// If the term is no epoch, or not above all terms known.
    pub(super) fn enter_term(&self, term: Term) -> Result<Epoch, EpochError> {
        let epoch = Epoch::try_from(term)?.must_follow(self.highest_term.get())?;
        self.highest_term.set(Some(epoch));
        Ok(epoch)
    }

    /// Whether the status is out of date: sent by a former incarnation of the node, or delayed. (Incarnations are
    /// ordered by the time of day, which may wander: a peer not heard for long is replaced by any other.)
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

    /// Takes a status that is not stale.
    pub(super) fn record_status(&self, status: NodeStatus) {
        let mut peers = self.peers.borrow_mut();
        if peers.len() < MAX_PEERS || peers.contains_key(&status.name) {
            let received = Instant::now();
            peers.insert(status.name.clone(), PeerState { received, status });
        }
    }

    /// Whether the key-value store serves another node.
    pub(super) fn any_peer_reaches_store(&self) -> bool {
        self.any_fresh_peer(|status| status.store_reachable)
    }

    /// Whether workers report to another node.
    pub(super) fn workers_reach_other_nodes(&self) -> bool {
        self.any_fresh_peer(|status| status.redirected > 0)
    }

    /// Whether other nodes exist and none of them is heard.
    pub(super) fn is_isolated(&self) -> bool {
        self.has_peers && self.created.elapsed() > STATUS_VALID && !self.any_fresh_peer(|_| true)
    }

    fn any_fresh_peer(&self, predicate: impl Fn(&NodeStatus) -> bool) -> bool {
        self.peers.borrow().values().any(|peer| predicate(&peer.status) && peer.is_fresh())
    }

    /// The load of each other node that was heard lately.
    pub(super) fn peer_loads(&self) -> Vec<NodeLoad> {
        let leader = self.other_leader();
        let peers = self.peers.borrow();
        let load = |(name, peer): (&String, &PeerState)| NodeLoad {
            leads: leader.as_ref() == Some(name),
            store_reachable: peer.status.store_reachable,
        };
        peers.iter().filter(|(_, peer)| peer.is_fresh()).map(load).collect()
    }

    /// Takes machines' addresses from the leader.
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

    /// The machines whose addresses came lately: for a quick failover.
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
