//! Chooses the node that holds a role that any node can hold.
//!
//! The leader has the most work, so another node is the better holder. A handover leaves the role
//! without a holder for some seconds, so it is made only after a better node has been available for
//! a while. The choice affects only cost, not safety: whoever holds the role, its epoch fences all
//! others.

use walnutlug_scheduler::time::{TimeDelta, Timestamp};

/// Time for which another node must be the better holder before the role is handed over.
const HAND_OVER_DELAY: TimeDelta = TimeDelta::from_secs(30);
/// Time that the leader leaves to other nodes to acquire a vacant role before it tries itself.
const LEADER_ACQUIRE_DELAY: TimeDelta = TimeDelta::from_secs(3);

/// Properties of a node that decide how well it suits as holder.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct NodeLoad {
    /// Whether the node is the leader.
    pub leads: bool,
    /// Whether the node gets responses from the key-value store.
    pub store_reachable: bool,
}

/// Decides at one node when to acquire a role and when to hand it over.
#[derive(Debug, Default)]
pub struct RoleBalancer {
    vacant_since: Option<Timestamp>,
    better_node_since: Option<Timestamp>,
}

impl RoleBalancer {
    /// Returns whether this node should try to acquire the role now. Called while nobody holds it.
    pub fn should_take(&mut self, now: Timestamp, own: NodeLoad) -> bool {
        self.better_node_since = None;
        let since = *self.vacant_since.get_or_insert(now);
        let wait = if own.leads { LEADER_ACQUIRE_DELAY } else { TimeDelta::ZERO };
        own.store_reachable && now.since(since) >= wait
    }

    /// Resets the vacancy timer. Called when another node is seen to hold the role.
    pub fn taken(&mut self) {
        self.vacant_since = None;
    }

    /// Returns whether this node should release the role so that one of `others` acquires it.
    /// Called while this node holds it.
    pub fn should_hand_over(&mut self, now: Timestamp, own: NodeLoad, others: &[NodeLoad]) -> bool {
        self.vacant_since = None;
        let better_node_exists =
            own.leads && others.iter().any(|other| other.store_reachable && !other.leads);
        if !better_node_exists {
            self.better_node_since = None;
            return false;
        }
        let since = *self.better_node_since.get_or_insert(now);
        now.since(since) >= HAND_OVER_DELAY
    }
}
