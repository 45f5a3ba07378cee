//! The leader's cache of heartbeats that required no action, with the node that answers their
//! repetitions.
//!
//! An entry ends when it expires or is invalidated. If another node holds the entry, the
//! invalidation is queued until it has been sent to that node.

use std::collections::HashMap;

use crate::leadership::fencing_token::Term;
use crate::model::ids::MachineIndex;
use crate::time::{TimeDelta, Timestamp};

/// Identifies a cached heartbeat that required no action. It is valid only for the scheduler that
/// issued it.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct CachedHeartbeat {
    /// Term of the scheduler that issued the entry.
    pub term: Term,
    /// Index of the machine in that scheduler's machine table.
    pub machine: MachineIndex,
    /// Entry number, unique within the term.
    pub number: u64,
}

/// Node that answers repetitions of a cached heartbeat. 0 is the leader's own node; the caller
/// assigns all other numbers.
pub type CacheHolder = u16;

/// Holder number of the leader's own node.
pub const OWN_NODE: CacheHolder = 0;

/// Entry that ended and whose holder has to be notified.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct CacheInvalidation {
    /// Node that answered repetitions until now.
    pub holder: CacheHolder,
    /// Heartbeat whose repetitions the holder must no longer answer.
    pub cached: CachedHeartbeat,
}

/// Cached state of a machine's most recent heartbeat.
#[derive(Debug, Clone, Copy)]
struct CacheEntry {
    number: u64,
    holder: CacheHolder,
    /// Time from which a repetition of the heartbeat would change the cluster state.
    expires_at: Timestamp,
}

/// Cache of a single term, with at most one entry per machine.
#[derive(Debug)]
pub(crate) struct HeartbeatCache {
    term: Term,
    /// Number of the entry that was added most recently.
    last_number: u64,
    entries: HashMap<MachineIndex, CacheEntry>,
    /// Invalidations of entries held by other nodes that have not been sent yet, in order.
    invalidations: Vec<CacheInvalidation>,
}

impl HeartbeatCache {
    pub(crate) fn new(term: Term) -> HeartbeatCache {
        HeartbeatCache { term, last_number: 0, entries: HashMap::new(), invalidations: Vec::new() }
    }

    /// Adds an entry for the machine's most recent heartbeat and invalidates the previous one.
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

    /// Removes the machine's entry, if there is one, and queues the notification of its holder.
    pub(crate) fn invalidate(&mut self, machine: MachineIndex) {
        let Some(CacheEntry { number, holder, .. }) = self.entries.remove(&machine) else { return };
        if holder != OWN_NODE {
            let cached = CachedHeartbeat { term: self.term, machine, number };
            self.invalidations.push(CacheInvalidation { holder, cached });
        }
    }

    /// Removes and returns the queued invalidations, in order.
    pub(crate) fn take_invalidations(&mut self) -> Vec<CacheInvalidation> {
        std::mem::take(&mut self.invalidations)
    }

    /// Returns how long the entry remains valid, or zero if it has ended.
    pub(crate) fn valid_for(&self, now: Timestamp, cached: CachedHeartbeat) -> TimeDelta {
        self.entry(cached).map_or(TimeDelta::ZERO, |entry| entry.expires_at.since(now))
    }

    /// Returns whether repetitions of the heartbeat may still be answered from the cache.
    pub(crate) fn is_valid(&self, now: Timestamp, cached: CachedHeartbeat) -> bool {
        cached.term == self.term && self.entry(cached).is_some_and(|entry| now < entry.expires_at)
    }

    fn entry(&self, cached: CachedHeartbeat) -> Option<&CacheEntry> {
        self.entries.get(&cached.machine).filter(|entry| entry.number == cached.number)
    }
}

#[cfg(test)]
mod tests;
