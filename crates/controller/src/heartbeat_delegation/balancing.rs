//! Balances the workers among the nodes: computes how many each node should hold, and how many it
//! should redirect now.

use std::cell::RefCell;

/// Maximum number of workers that a node of a small fleet redirects per second.
const MIN_REDIRECT_LIMIT_PER_S: u32 = 40;
/// Time within which a large fleet can be rebalanced, in seconds.
const REBALANCE_TIME_S: u32 = 60;
/// Ratio of a follower's share of the workers to the leader's share.
const FOLLOWER_TO_LEADER_RATIO: u32 = 3;
/// Number of workers beyond a node's share that don't cause a redirection.
const TOLERATED_EXCESS: u32 = 12;

/// Number of worker connections that a follower holds.
#[derive(Debug, Clone, Copy)]
pub(crate) struct FollowerLoad {
    /// Index of the follower in the list of peers.
    pub(crate) peer_index: usize,
    /// Worker connections, as stated in the follower's last delegation request.
    pub(crate) workers: u32,
}

/// Number of workers to redirect, and the node to which they should report.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) struct Move {
    pub(crate) workers: u32,
    /// Index of the target node in the list of peers.
    pub(crate) to: usize,
}

/// Target numbers of workers for the leader and for each follower.
pub(crate) struct Shares {
    leader: u32,
    follower: u32,
    /// The follower with the fewest workers, which is the target of redirections.
    least_loaded: FollowerLoad,
    /// Maximum number of workers that the leader redirects per second.
    max_moved_per_s: u32,
}

impl Shares {
    /// Computes the shares of a leader that holds `leader_workers` and of its followers. Returns
    /// `None` if there are no followers.
    pub(crate) fn of(leader_workers: u32, followers: &[FollowerLoad]) -> Option<Shares> {
        let least_loaded = *followers.iter().min_by_key(|follower| follower.workers)?;
        let count = followers.len() as u32;
        let all = leader_workers + followers.iter().map(|follower| follower.workers).sum::<u32>();
        let leader = all / (FOLLOWER_TO_LEADER_RATIO * count + 1);
        let follower = (all - leader) / count;
        Some(Shares { leader, follower, least_loaded, max_moved_per_s: redirect_limit_per_s(all) })
    }

    /// Returns how many of the leader's `workers` to redirect to which follower, if they exceed its
    /// share by more than the tolerance.
    pub(crate) fn move_from_leader(&self, workers: u32) -> Option<Move> {
        let excess = workers.checked_sub(self.leader)?;
        let workers = excess.min(self.max_moved_per_s);
        (excess > TOLERATED_EXCESS).then_some(Move { workers, to: self.least_loaded.peer_index })
    }

    /// Returns how many of a follower's `workers` to redirect to which other follower. Only a large
    /// excess leads to a redirection, because the counts are a second old and workers should not
    /// move back and forth.
    pub(crate) fn move_from_follower(&self, workers: u32) -> Option<Move> {
        let excess = workers.saturating_sub(self.follower);
        if excess <= self.follower / 4 + TOLERATED_EXCESS
            || self.least_loaded.workers >= self.follower
        {
            return None;
        }
        let workers = (excess / 2).min(self.max_moved_per_s / 2);
        Some(Move { workers, to: self.least_loaded.peer_index })
    }
}

/// Returns the maximum number of workers that a node redirects per second, given the workers of all
/// nodes. It is small, but the largest fleet is rebalanced within a minute.
fn redirect_limit_per_s(all: u32) -> u32 {
    (all / REBALANCE_TIME_S).max(MIN_REDIRECT_LIMIT_PER_S)
}

/// Workers that this node still has to redirect, and the node to which they should report.
#[derive(Debug, Default)]
pub(crate) struct Redirection {
    pending: RefCell<PendingRedirection>,
}

#[derive(Debug, Default)]
struct PendingRedirection {
    workers: u32,
    to: Option<String>,
}

impl Redirection {
    /// Redirects the next `workers` workers to the node `to`. Replaces what is left of an earlier
    /// call.
    pub(crate) fn set(&self, workers: u32, to: Option<String>) {
        self.pending.replace(PendingRedirection { workers, to });
    }

    /// Cancels the rest of the pending redirection.
    pub(crate) fn clear(&self) {
        self.pending.take();
    }

    /// Returns the node to which the next worker should report, and counts that worker as
    /// redirected. Returns `None` if no worker is left to redirect.
    pub(crate) fn take(&self) -> Option<String> {
        let mut pending = self.pending.borrow_mut();
        pending.workers = pending.workers.checked_sub(1)?;
        pending.to.clone()
    }
}

#[cfg(test)]
mod tests;
