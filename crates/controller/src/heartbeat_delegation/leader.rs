//! Delegation state of the leader: the last request and the workers of each follower, and how many
//! of its cache entries were invalidated.

use std::cell::RefCell;
use walnutlug_scheduler::leadership::fencing_token::Term;

use tokio::time::{Duration, Instant};
use walnutlug_scheduler::model::ids::MachineIndex;

use super::balancing::FollowerLoad;
use crate::peers::{Frame, MAX_ENTRIES};

/// Time since its last request after which a follower is considered gone and is sent no workers.
pub(crate) const FOLLOWER_TIMEOUT: Duration = Duration::from_millis(2_500);

/// Number of cache entries invalidated at a follower under one term.
#[derive(Debug, Default, Clone, Copy)]
struct InvalidatedCount {
    term: Term,
    count: u64,
}

/// The leader's record of one follower.
#[derive(Debug, Default, Clone, Copy)]
struct Follower {
    last_request: Option<Instant>,
    workers: u32,
    invalidated: InvalidatedCount,
}

impl Follower {
    fn is_active(&self) -> bool {
        self.last_request.is_some_and(|at| at.elapsed() < FOLLOWER_TIMEOUT)
    }

    /// Returns the counter of invalidated entries for the term; it starts at zero for a new term.
    fn invalidated_under(&mut self, term: Term) -> &mut u64 {
        if self.invalidated.term != term {
            self.invalidated = InvalidatedCount { term, count: 0 };
        }
        &mut self.invalidated.count
    }
}

/// State of a node that lets followers answer heartbeats. Followers are identified by their index
/// in the list of peers.
pub(crate) struct LeaderSide {
    followers: RefCell<Vec<Follower>>,
}

impl LeaderSide {
    /// Creates the state for `peers` other nodes, none of which has sent a request yet.
    pub(crate) fn new(peers: usize) -> LeaderSide {
        LeaderSide { followers: RefCell::new(vec![Follower::default(); peers]) }
    }

    /// Returns whether any follower with a recent request holds worker connections.
    pub(crate) fn has_followers(&self) -> bool {
        self.followers.borrow().iter().any(|follower| follower.is_active() && follower.workers > 0)
    }

    /// Records a delegation request of a follower that holds the connections of `workers` workers.
    pub(crate) fn record_request(&self, peer_index: usize, workers: u32) {
        let follower = &mut self.followers.borrow_mut()[peer_index];
        follower.last_request = Some(Instant::now());
        follower.workers = workers;
    }

    /// Returns how many cache entries of the follower were invalidated under the term, which is
    /// also the number of the last invalidation.
    pub(crate) fn invalidated(&self, peer_index: usize, term: Term) -> u64 {
        *self.followers.borrow_mut()[peer_index].invalidated_under(term)
    }

    /// Returns the frames that invalidate the entries at the follower. The invalidations are
    /// numbered consecutively, continuing from earlier calls.
    pub(crate) fn invalidate(
        &self,
        peer_index: usize,
        term: Term,
        entries: &[(MachineIndex, u64)],
    ) -> Vec<Frame> {
        let follower = &mut self.followers.borrow_mut()[peer_index];
        let count = follower.invalidated_under(term);
        let mut frame = |entries: &[(MachineIndex, u64)]| {
            let first = *count + 1;
            *count += entries.len() as u64;
            Frame::Invalidated { term, first, cache_entries: entries.to_vec() }
        };
        entries.chunks(MAX_ENTRIES).map(&mut frame).collect()
    }

    /// Returns the number of workers of each follower with a recent request.
    pub(crate) fn loads(&self) -> Vec<FollowerLoad> {
        let followers = self.followers.borrow();
        let active = followers.iter().enumerate().filter(|(_, follower)| follower.is_active());
        active
            .map(|(peer_index, follower)| FollowerLoad { peer_index, workers: follower.workers })
            .collect()
    }
}
