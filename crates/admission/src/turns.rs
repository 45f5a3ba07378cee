//! A round-robin queue, in which many entries of one lane do not delay the few entries of another.
//!
//! Nodes write accepted submissions to the store in batches. In a first-in, first-out queue, a new
//! submission would wait behind a whole flood of earlier ones. Here, a lane's next entry waits for
//! at most one entry of each other lane.

use std::collections::{BTreeMap, VecDeque};

/// Queue of entries by lane. Lanes are served in round-robin order, and each lane is first in,
/// first out.
#[derive(Debug)]
pub struct RoundRobinQueue<Lane, Entry> {
    lanes: BTreeMap<Lane, VecDeque<Entry>>,
    /// Lane that was served last.
    last_served: Option<Lane>,
}

impl<Lane, Entry> Default for RoundRobinQueue<Lane, Entry> {
    fn default() -> Self {
        RoundRobinQueue { lanes: BTreeMap::new(), last_served: None }
    }
}

impl<Lane: Ord + Clone, Entry> RoundRobinQueue<Lane, Entry> {
    /// Appends an entry to its lane.
    pub fn push(&mut self, lane: Lane, entry: Entry) {
        self.lanes.entry(lane).or_default().push_back(entry);
    }

    /// Returns how many entries would be served before a new entry of this lane.
    pub fn ahead_of(&self, lane: &Lane) -> usize {
        let own = self.lanes.get(lane).map_or(0, VecDeque::len);
        let others = self.lanes.iter().filter(|(other, _)| *other != lane);
        own + others.map(|(_, entries)| entries.len().min(own + 1)).sum::<usize>()
    }

    /// Keeps only the entries for which `keep` returns true.
    pub fn retain(&mut self, keep: impl Fn(&Entry) -> bool) {
        self.lanes.values_mut().for_each(|entries| entries.retain(&keep));
        self.lanes.retain(|_, entries| !entries.is_empty());
    }

    /// Returns the lane to serve next: the first non-empty one after the lane served last, in
    /// cyclic order.
    fn next_lane(&self) -> Option<&Lane> {
        use std::ops::Bound::{Excluded, Unbounded};
        let after = self.last_served.as_ref().and_then(|last_served| {
            self.lanes.range((Excluded(last_served), Unbounded)).next().map(|(lane, _)| lane)
        });
        after.or_else(|| self.lanes.keys().next())
    }

    /// Returns the entry that [`RoundRobinQueue::pop`] would return.
    pub fn peek(&self) -> Option<&Entry> {
        self.lanes.get(self.next_lane()?)?.front()
    }

    /// Removes and returns the next entry.
    pub fn pop(&mut self) -> Option<Entry> {
        let lane = self.next_lane()?.clone();
        let entries = self.lanes.get_mut(&lane)?;
        let entry = entries.pop_front();
        if entries.is_empty() {
            self.lanes.remove(&lane);
        }
        self.last_served = Some(lane);
        entry
    }
}
