//! The leader's cache of heartbeats that left nothing to do, and who answers their repetitions.
//!
//! An entry ends by its expiry or by an invalidation; one that another node holds is kept in a list until
//! that node has been told.

use std::collections::HashMap;

use crate::leadership::fencing_token::Term;
use crate::model::ids::MachineIndex;
use crate::time::{TimeDelta, Timestamp};

/// Names one heartbeat that left nothing to do. Of use to the scheduler that gave it, and to no other.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct CachedHeartbeat {
    /// The term of the scheduler.
    pub term: Term,
    /// The machine's place in that scheduler's table.
    pub machine: MachineIndex,
    /// Never given twice in a term.
    pub number: u64,
}

/// Who answers repetitions of a cached heartbeat: 0 is the leader's own node, and what other numbers
/// mean is the caller's.
pub type CacheHolder = u16;

/// The holder that is the leader's own node.
pub const OWN_NODE: CacheHolder = 0;

/// An entry that ended, and the node that has to be told.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct CacheInvalidation {
    /// The node that answered repetitions so far.
    pub holder: CacheHolder,
    /// What it may not answer any more.
    pub cached: CachedHeartbeat,
}

/// The last heartbeat of one machine.
#[derive(Debug, Clone, Copy)]
struct CacheEntry {
    number: u64,
    holder: CacheHolder,
    /// From then on time alone gives the heartbeat a meaning.
    expires_at: Timestamp,
}

/// The cache of one term: at most one entry for each machine.
#[derive(Debug)]
pub(crate) struct HeartbeatCache {
    term: Term,
    /// The number of the entry that was added last.
    last_number: u64,
    entries: HashMap<MachineIndex, CacheEntry>,
    /// Entries of other holders that ended and that these were not told of yet, in that order.
    invalidations: Vec<CacheInvalidation>,
}

impl HeartbeatCache {
    /// Without entries.
    pub(crate) fn new(term: Term) -> HeartbeatCache {
        HeartbeatCache { term, last_number: 0, entries: HashMap::new(), invalidations: Vec::new() }
    }

    /// Adds the machine's last heartbeat in place of an earlier one.
    pub(crate) fn insert(
        &mut self,
        machine: MachineIndex,
        holder: CacheHolder,
        expires_at: Timestamp,
    ) -> CachedHeartbeat {
        self.invalidate(machine);
        self.last_number += 1;
        let number = self.last_number;
        self.entries.insert(machine, CacheEntry { number, holder, expires_at });
        CachedHeartbeat { term: self.term, machine, number }
    }

    /// Ends the machine's entry, if it has one.
    pub(crate) fn invalidate(&mut self, machine: MachineIndex) {
        let Some(CacheEntry { number, holder, .. }) = self.entries.remove(&machine) else { return };
        if holder != OWN_NODE {
            let cached = CachedHeartbeat { term: self.term, machine, number };
            self.invalidations.push(CacheInvalidation { holder, cached });
        }
    }

    /// The invalidations since the last call, in their order.
    pub(crate) fn take_invalidations(&mut self) -> Vec<CacheInvalidation> {
        std::mem::take(&mut self.invalidations)
    }

    /// How long the entry is valid from now on; nothing if it ended.
    pub(crate) fn valid_for(&self, now: Timestamp, cached: CachedHeartbeat) -> TimeDelta {
        self.entry(cached).map_or(TimeDelta::ZERO, |entry| entry.expires_at.since(now))
    }

    /// Whether repetitions of the heartbeat still mean nothing.
    pub(crate) fn is_valid(&self, now: Timestamp, cached: CachedHeartbeat) -> bool {
        cached.term == self.term && self.entry(cached).is_some_and(|entry| now < entry.expires_at)
    }

    fn entry(&self, cached: CachedHeartbeat) -> Option<&CacheEntry> {
        self.entries.get(&cached.machine).filter(|entry| entry.number == cached.number)
    }
}

#[cfg(test)]
mod tests;
