//! Workers' heartbeats answered by every node: followers forward to the leader what may be new, and answer repetitions
//! themselves within the bound that `walnutlug_scheduler::reconciliation::delegation` keeps. Here is what a node keeps
//! for that as a follower and as the leader, and how workers are balanced among the nodes.

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

/// A node's part in answering heartbeats, as a follower and as the leader.
pub(crate) struct HeartbeatDelegation {
    /// Connections on which workers have reported.
    worker_connections: Rc<Cell<u32>>,
    follower: FollowerSide,
    leader: LeaderSide,
    redirection: Redirection,
}

impl HeartbeatDelegation {
    /// With nothing granted and no followers. Each connection has at most one heartbeat in flight, so as many may wait
    /// as there may be connections: after an outage every heartbeat differs from the last.
    pub(crate) fn new(site: &Site, peers: usize, max_pending: usize) -> HeartbeatDelegation {
        HeartbeatDelegation {
            worker_connections: Rc::default(),
            follower: FollowerSide::new(site, max_pending),
            leader: LeaderSide::new(peers),
            redirection: Redirection::default(),
        }
    }

    /// The count of connections on which workers have reported, which the connections keep.
    pub(crate) fn worker_connections(&self) -> &Rc<Cell<u32>> {
        &self.worker_connections
    }

    /// The node's state as a follower.
    pub(crate) fn follower(&self) -> &FollowerSide {
        &self.follower
    }

    /// The node's state as the leader.
    pub(crate) fn leader(&self) -> &LeaderSide {
        &self.leader
    }

    /// The workers that this node still has to redirect.
    pub(crate) fn redirection(&self) -> &Redirection {
        &self.redirection
    }

    /// Whether other nodes hold workers' connections now.
    pub(crate) fn has_followers(&self) -> bool {
        self.leader.has_followers()
    }

    /// The node to which the worker should report instead, if this one has more than its share.
    pub(crate) fn take_redirect_target(&self, heartbeat_bytes: usize) -> Option<String> {
        // A longer heartbeat would come back: followers don't forward it.
        if heartbeat_bytes > MAX_FORWARDED_BYTES / 2 {
            return None;
        }
        self.redirection.take()
    }
}
