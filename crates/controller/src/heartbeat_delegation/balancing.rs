//! Balances the workers among the nodes: how many each should hold, and how many to redirect now.

use std::cell::RefCell;

/// Workers that a node of a small fleet redirects in a second, at most.
const MIN_MOVED_PER_SECOND: u32 = 40;
/// Seconds in which a large fleet can be balanced anew.
const BALANCED_WITHIN_S: u32 = 60;
/// The leader's share of the workers is this many times smaller than a follower's.
const LEADER_DISCOUNT: u32 = 3;
/// Workers beyond a node's share that are left where they are.
const TOLERANCE: u32 = 12;

/// How many workers' connections a follower holds.
#[derive(Debug, Clone, Copy)]
pub(crate) struct FollowerLoad {
    /// Its place among the peers.
    pub(crate) place: usize,
    /// The workers.
    pub(crate) workers: u32,
}

/// Workers to redirect, and the place of the node to which they should report among the peers.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) struct Move {
    pub(crate) workers: u32,
    pub(crate) to: usize,
}

/// How many workers each node should hold.
pub(crate) struct Shares {
    leader: u32,
    follower: u32,
    /// The follower with fewest.
    fewest: FollowerLoad,
    /// Workers that the leader may redirect in a second.
    max_moved: u32,
}

impl Shares {
    /// The shares of a leader that holds so many workers, and its followers. `None` if there is none.
    pub(crate) fn of(leader_workers: u32, followers: &[FollowerLoad]) -> Option<Shares> {
        let fewest = *followers.iter().min_by_key(|follower| follower.workers)?;
        let count = followers.len() as u32;
        let all = leader_workers + followers.iter().map(|follower| follower.workers).sum::<u32>();
        let leader = all / (LEADER_DISCOUNT * count + 1);
        let follower = (all - leader) / count;
        Some(Shares { leader, follower, fewest, max_moved: max_moved_per_second(all) })
    }

    /// What the leader should redirect, of so many workers.
    pub(crate) fn move_from_leader(&self, workers: u32) -> Option<Move> {
        let excess = workers.checked_sub(self.leader)?;
        let workers = excess.min(self.max_moved);
        (excess > TOLERANCE).then_some(Move { workers, to: self.fewest.place })
    }

    /// What a follower should redirect, of so many workers. Only what is far beyond its share: the counts are a
    /// second old, and workers should not go back and forth.
    pub(crate) fn move_from_follower(&self, workers: u32) -> Option<Move> {
        let excess = workers.saturating_sub(self.follower);
        if excess <= self.follower / 4 + TOLERANCE || self.fewest.workers >= self.follower {
            return None;
        }
        let workers = (excess / 2).min(self.max_moved / 2);
        Some(Move { workers, to: self.fewest.place })
    }
}

/// How many of all workers a node redirects in a second: few, but the largest fleet is balanced in a minute.
fn max_moved_per_second(all: u32) -> u32 {
    (all / BALANCED_WITHIN_S).max(MIN_MOVED_PER_SECOND)
}

/// The workers that this node still has to redirect.
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
    /// Redirects so many workers from now on, instead of what was left.
    pub(crate) fn set(&self, workers: u32, to: Option<String>) {
        self.pending.replace(PendingRedirection { workers, to });
    }

    /// Redirects none any more.
    pub(crate) fn clear(&self) {
        self.pending.take();
    }

    /// The node to which the next worker should report, if it should be redirected.
    pub(crate) fn take(&self) -> Option<String> {
        let mut pending = self.pending.borrow_mut();
        pending.workers = pending.workers.checked_sub(1)?;
        pending.to.clone()
    }
}

#[cfg(test)]
mod tests;
