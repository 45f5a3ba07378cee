//! A queue in which lanes take turns, so that one lane's many entries don't hold up the others' few.
//!
//! A node writes down submissions in batches. Under a flood its queue is long, and whoever comes last
//! would wait behind all of it; here a lane's next entry waits for one turn of each other lane.

use std::collections::{BTreeMap, VecDeque};

/// Entries by lane; lanes are served in turn, and within a lane the first comes first.
#[derive(Debug)]
pub struct RoundRobinQueue<Lane, Entry> {
    lanes: BTreeMap<Lane, VecDeque<Entry>>,
    /// The lane that was served last.
    last: Option<Lane>,
}

impl<Lane, Entry> Default for RoundRobinQueue<Lane, Entry> {
    fn default() -> Self {
        RoundRobinQueue { lanes: BTreeMap::new(), last: None }
    }
}

impl<Lane: Ord + Clone, Entry> RoundRobinQueue<Lane, Entry> {
    /// Adds an entry behind those of its lane.
    pub fn push(&mut self, lane: Lane, entry: Entry) {
        self.lanes.entry(lane).or_default().push_back(entry);
    }

    /// How many entries would be served before a new one of that lane.
    pub fn ahead_of(&self, lane: &Lane) -> usize {
        let own = self.lanes.get(lane).map_or(0, VecDeque::len);
        let others = self.lanes.iter().filter(|(other, _)| *other != lane);
        own + others.map(|(_, entries)| entries.len().min(own + 1)).sum::<usize>()
    }

    /// Drops the entries for which `keep` doesn't hold.
    pub fn retain(&mut self, keep: impl Fn(&Entry) -> bool) {
        self.lanes.values_mut().for_each(|entries| entries.retain(&keep));
        self.lanes.retain(|_, entries| !entries.is_empty());
    }

    /// The lane whose turn it is: the next one after the lane served last.
    fn next_lane(&self) -> Option<&Lane> {
        use std::ops::Bound::{Excluded, Unbounded};
        let after = self.last.as_ref().and_then(|last| {
            self.lanes.range((Excluded(last), Unbounded)).next().map(|(lane, _)| lane)
        });
        after.or_else(|| self.lanes.keys().next())
    }

    /// The entry that [`RoundRobinQueue::pop`] would give.
    pub fn peek(&self) -> Option<&Entry> {
        self.lanes.get(self.next_lane()?)?.front()
    }

    /// Takes the next entry.
    pub fn pop(&mut self) -> Option<Entry> {
        let lane = self.next_lane()?.clone();
        let entries = self.lanes.get_mut(&lane)?;
        let entry = entries.pop_front();
        if entries.is_empty() {
            self.lanes.remove(&lane);
        }
        self.last = Some(lane);
        entry
    }
}
