//! Which node should hold a role that any node may hold.
//!
//! The leader has the most to do, so such a role is better held by another node. A change of hands costs some
//! seconds without a holder, so it is made only when there has been a better node for a while. Nothing but
//! cost depends on this: whoever holds a role, its epoch fences all others.

use walnutlug_scheduler::time::{TimeDelta, Timestamp};

/// For how long another node has to be the better holder before the role is handed over.
const HAND_OVER_AFTER: TimeDelta = TimeDelta::from_secs(30);
/// How much later than others the leader tries to take a role that nobody holds.
const LEADER_WAITS: TimeDelta = TimeDelta::from_secs(3);

/// How a node stands, as far as the balance looks at it.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct NodeLoad {
    /// It leads.
    pub leads: bool,
    /// The key-value store answers it.
    pub store_reachable: bool,
}

/// Decides at one node when to take and when to give up a role.
#[derive(Debug, Default)]
pub struct RoleBalancer {
    vacant_since: Option<Timestamp>,
    better_since: Option<Timestamp>,
}

impl RoleBalancer {
    /// Nobody holds the role. Whether this node should try to take it now.
    pub fn should_take(&mut self, now: Timestamp, own: NodeLoad) -> bool {
        self.better_since = None;
        let since = *self.vacant_since.get_or_insert(now);
        let wait = if own.leads { LEADER_WAITS } else { TimeDelta::ZERO };
        own.store_reachable && now.since(since) >= wait
    }

    /// Somebody holds the role.
    pub fn taken(&mut self) {
        self.vacant_since = None;
    }

    /// This node holds the role. Whether it should give it up for one of the others.
    pub fn should_hand_over(&mut self, now: Timestamp, own: NodeLoad, others: &[NodeLoad]) -> bool {
        self.vacant_since = None;
        let better = own.leads && others.iter().any(|other| other.store_reachable && !other.leads);
        if !better {
            self.better_since = None;
            return false;
        }
        let since = *self.better_since.get_or_insert(now);
        now.since(since) >= HAND_OVER_AFTER
    }
}
