//! The cancellations that this node has confirmed to users, replicated to every other node.
//!
//! Entries are numbered from 1 and belong to one incarnation of the node. They are sent to each peer
//! until it acknowledges them. How far the log goes is the answer to a leader's request, from which the
//! leader works out its [`Watermark`](crate::leadership::watermark::Watermark).

use std::collections::{BTreeMap, VecDeque};

use crate::time::{TimeDelta, Timestamp};
use crate::tunables::Site;

/// How long an entry is kept, in times that a cancellation may take: until its tasks must be gone, and
/// half that again.
const RETENTION: f64 = 1.5;
/// Entries kept at most, at some hundred bytes each. What is dropped unacknowledged leaves a gap in the
/// numbers, by which a peer sees that it missed something.
const MAX_ENTRIES: usize = 4_096;
/// Entries in one message.
pub const MAX_ENTRIES_PER_MESSAGE: usize = 100;
/// How long an acknowledgement may take before all that is not acknowledged is sent again.
const RESEND_AFTER: TimeDelta = TimeDelta::from_secs(1);

/// One life of a node's process. Another number is another life, which knows nothing of the last one's.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, PartialOrd, Ord)]
pub struct Incarnation(pub u64);

/// The number of an entry in a node's log; the first is 1, and 0 stands before it.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, PartialOrd, Ord)]
pub struct LogIndex(pub u64);

/// Successive entries of a log.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct LogEntries {
    /// The number of the first.
    pub first: LogIndex,
    /// The cancelled jobs.
    pub jobs: Vec<String>,
}

#[derive(Debug)]
struct Entry {
    confirmed_at: Timestamp,
    job: String,
}

/// How far the log has been sent to one peer.
#[derive(Debug, Default, Clone, Copy)]
struct PeerProgress {
    incarnation: Incarnation,
    acknowledged: u64,
    sent: u64,
    sent_at: Timestamp,
}

/// The cancellations that this incarnation of the node has confirmed to users.
#[derive(Debug)]
pub struct CancellationLog {
    retention: TimeDelta,
    /// The number of the first entry that is still kept.
    first: u64,
    entries: VecDeque<Entry>,
    peers: BTreeMap<String, PeerProgress>,
}

impl CancellationLog {
    /// An empty log.
    pub fn new(site: &Site) -> CancellationLog {
        let retention = site.cancel_within.mul_f64(RETENTION);
        CancellationLog { retention, first: 1, entries: VecDeque::new(), peers: BTreeMap::new() }
    }

    /// Adds a job's cancellation. Called once the end is stored, and before any user is told of it.
    pub fn append(&mut self, now: Timestamp, job: &str) {
        self.trim(now);
        self.entries.push_back(Entry { confirmed_at: now, job: job.to_owned() });
    }

    /// The number of the last entry.
    pub fn last(&self) -> LogIndex {
        LogIndex(self.first + self.entries.len() as u64 - 1)
    }

    fn trim(&mut self, now: Timestamp) {
        let expired = |entry: &Entry| now.since(entry.confirmed_at) > self.retention;
        while self.entries.len() >= MAX_ENTRIES || self.entries.front().is_some_and(expired) {
            self.entries.pop_front();
            self.first += 1;
        }
    }

    /// A message of the peer has arrived. Entries are sent to it from now on; a new incarnation of it
    /// has none of them.
    pub fn peer_seen(&mut self, peer: &str, incarnation: Incarnation) {
        let progress = self.peers.entry(peer.to_owned()).or_default();
        if progress.incarnation != incarnation {
            *progress = PeerProgress { incarnation, ..PeerProgress::default() };
        }
    }

    /// That incarnation of the peer has all entries up to that number.
    pub fn acknowledged(&mut self, peer: &str, incarnation: Incarnation, up_to: LogIndex) {
        let last = self.last();
        let progress = self.peers.get_mut(peer).filter(|p| p.incarnation == incarnation);
        if let Some(progress) = progress {
            progress.acknowledged = progress.acknowledged.max(up_to.min(last).0);
        }
    }

    /// The entries to send to the peer now: those that were not sent yet, or all that it has not
    /// acknowledged if its last acknowledgement is overdue. They count as sent.
    pub fn entries_to_send(&mut self, now: Timestamp, peer: &str) -> Option<LogEntries> {
        self.trim(now);
        let (first, last) = (self.first, self.last().0);
        let progress = self.peers.get_mut(peer)?;
        let awaits_acknowledgement = now.since(progress.sent_at) < RESEND_AFTER;
        let delivered = match awaits_acknowledgement {
            true => progress.sent.max(progress.acknowledged),
            false => progress.acknowledged,
        };
        let from = (delivered + 1).max(first);
        if from > last {
            return None;
        }
        let entries = self.entries.iter().skip((from - first) as usize);
        let jobs: Vec<String> =
            entries.take(MAX_ENTRIES_PER_MESSAGE).map(|entry| entry.job.clone()).collect();
        progress.sent = from + jobs.len() as u64 - 1;
        progress.sent_at = now;
        Some(LogEntries { first: LogIndex(from), jobs })
    }
}
