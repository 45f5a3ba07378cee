//! The leader's side: what it knows of each follower, and how many cache entries it has invalidated there.

use std::cell::RefCell;
use walnutlug_scheduler::leadership::fencing_token::Term;

use tokio::time::{Duration, Instant};
use walnutlug_scheduler::model::ids::MachineIndex;

use super::balancing::FollowerLoad;
use crate::peers::{Frame, MAX_ENTRIES};

/// A follower that has not asked for so long is sent no workers.
pub(crate) const FOLLOWER_TIMEOUT: Duration = Duration::from_millis(2_500);

/// Cache entries invalidated under one term.
#[derive(Debug, Default, Clone, Copy)]
struct InvalidatedCount {
    term: Term,
    count: u64,
}

/// What the leader knows of a follower.
#[derive(Debug, Default, Clone, Copy)]
struct Follower {
    last_request: Option<Instant>,
    workers: u32,
    invalidated: InvalidatedCount,
}

impl Follower {
    fn is_fresh(&self) -> bool {
        self.last_request.is_some_and(|at| at.elapsed() < FOLLOWER_TIMEOUT)
    }

    /// The count under the term, which begins at zero.
    fn invalidated_under(&mut self, term: Term) -> &mut u64 {
        if self.invalidated.term != term {
            self.invalidated = InvalidatedCount { term, count: 0 };
        }
        &mut self.invalidated.count
    }
}

/// A node's state as the leader. Followers are known by their places among the peers.
pub(crate) struct LeaderSide {
    followers: RefCell<Vec<Follower>>,
}

impl LeaderSide {
    /// With that many other nodes, none of which has asked yet.
    pub(crate) fn new(peers: usize) -> LeaderSide {
        LeaderSide { followers: RefCell::new(vec![Follower::default(); peers]) }
    }

    /// Whether other nodes hold workers' connections now.
    pub(crate) fn has_followers(&self) -> bool {
        self.followers.borrow().iter().any(|follower| follower.is_fresh() && follower.workers > 0)
    }

    /// The follower has asked, and holds the connections of so many workers.
    pub(crate) fn record_request(&self, place: usize, workers: u32) {
        let follower = &mut self.followers.borrow_mut()[place];
        follower.last_request = Some(Instant::now());
        follower.workers = workers;
    }

    /// Cache entries invalidated at the follower under the term.
    pub(crate) fn invalidated(&self, place: usize, term: Term) -> u64 {
        *self.followers.borrow_mut()[place].invalidated_under(term)
    }

    /// The frames that invalidate the entries at the follower, numbered on from those before.
    pub(crate) fn invalidate(
        &self,
        place: usize,
        term: Term,
        entries: &[(MachineIndex, u64)],
    ) -> Vec<Frame> {
        let follower = &mut self.followers.borrow_mut()[place];
        let count = follower.invalidated_under(term);
        let mut frame = |entries: &[(MachineIndex, u64)]| {
            let first = *count + 1;
            *count += entries.len() as u64;
            Frame::Invalidated { term, first, cache_entries: entries.to_vec() }
        };
        entries.chunks(MAX_ENTRIES).map(&mut frame).collect()
    }

    /// The followers that have asked lately.
    pub(crate) fn loads(&self) -> Vec<FollowerLoad> {
        let followers = self.followers.borrow();
        let fresh = followers.iter().enumerate().filter(|(_, follower)| follower.is_fresh());
        fresh.map(|(place, follower)| FollowerLoad { place, workers: follower.workers }).collect()
    }
}
