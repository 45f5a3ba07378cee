//! Delegation of worker heartbeats, which lets every node answer workers and not only the leader.
//!
//! Followers forward heartbeats that may carry news to the leader, and answer repeated heartbeats
//! themselves within the time bound enforced by `walnutlug_scheduler::reconciliation::delegation`.
//! This module holds the state that a node keeps for this as a follower and as the leader, and
//! balances the workers among the nodes.

mod balancing;
mod follower;
mod leader;

pub(crate) use balancing::{Move, Redirection, Shares};
pub(crate) use follower::FollowerSide;
#[cfg(test)]
pub(crate) use follower::RESPONSE_TIMEOUT;
pub(crate) use leader::LeaderSide;
#[cfg(test)]
pub(crate) use leader::FOLLOWER_TIMEOUT;

use std::cell::Cell;
use std::rc::Rc;

use walnutlug_scheduler::tunables::Site;

use crate::peers::MAX_FORWARDED_BYTES;

/// Delegation state of a node, both as a follower and as the leader.
pub(crate) struct HeartbeatDelegation {
    /// Number of open connections on which a worker has sent a heartbeat.
    worker_connections: Rc<Cell<u32>>,
    follower: FollowerSide,
    leader: LeaderSide,
    redirection: Redirection,
}

impl HeartbeatDelegation {
    /// Creates the state of a node with `peers` other nodes, without a grant and without followers.
    /// `max_pending` limits the forwarded heartbeats that await a response. It has to equal the
    /// maximum number of connections: each connection has at most one heartbeat in flight, and
    /// after an outage every heartbeat differs from the last one and is forwarded.
    pub(crate) fn new(site: &Site, peers: usize, max_pending: usize) -> HeartbeatDelegation {
        HeartbeatDelegation {
            worker_connections: Rc::default(),
            follower: FollowerSide::new(site, max_pending),
            leader: LeaderSide::new(peers),
            redirection: Redirection::default(),
        }
    }

    /// Returns the counter of connections on which workers have reported; the connections update
    /// it.
    pub(crate) fn worker_connections(&self) -> &Rc<Cell<u32>> {
        &self.worker_connections
    }

    /// Returns the state used while another node leads.
    pub(crate) fn follower(&self) -> &FollowerSide {
        &self.follower
    }

    /// Returns the state used while this node leads.
    pub(crate) fn leader(&self) -> &LeaderSide {
        &self.leader
    }

    /// Returns the pending redirection of workers to another node.
    pub(crate) fn redirection(&self) -> &Redirection {
        &self.redirection
    }

    /// Returns whether any follower with a recent request holds worker connections.
    pub(crate) fn has_followers(&self) -> bool {
        self.leader.has_followers()
    }

    /// Returns the node to which the worker should report from now on, if this node has more than
    /// its share of the workers. Counts the worker as redirected.
    pub(crate) fn take_redirect_target(&self, heartbeat_bytes: usize) -> Option<String> {
        // Followers don't forward heartbeats above `MAX_FORWARDED_BYTES`, so a worker with long
        // heartbeats would come back.
        if heartbeat_bytes > MAX_FORWARDED_BYTES / 2 {
            return None;
        }
        self.redirection.take()
    }
}
