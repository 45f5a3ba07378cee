//! Log of the cancellations that this node has confirmed to users, replicated to every other node.
//!
//! Entries are numbered from 1 and belong to one incarnation of the node. They are resent to each
//! peer until it acknowledges them. A leader asks each node for the number of its last log entry
//! and computes its [`Watermark`](crate::leadership::watermark::Watermark) from the answers.

use std::collections::{BTreeMap, VecDeque};

use crate::time::{TimeDelta, Timestamp};
use crate::tunables::Site;

/// Retention time of an entry, as a multiple of the time that a cancellation may take: until its tasks must be gone, and half of that time again.
const RETENTION_FACTOR: f64 = 1.5;
/// Maximum number of retained entries, at about a hundred bytes each. Dropping an unacknowledged
/// entry leaves a gap in the numbers, which tells the peer that it missed something.
const MAX_ENTRIES: usize = 4_096;
/// Maximum number of entries in one message.
pub const MAX_ENTRIES_PER_MESSAGE: usize = 100;
/// Time without an acknowledgement after which all unacknowledged entries are resent.
const RESEND_AFTER: TimeDelta = TimeDelta::from_secs(1);

/// Identifies one run of a node's process. A restarted process has a different incarnation and no
/// knowledge of what the previous one confirmed.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, PartialOrd, Ord)]
pub struct Incarnation(pub u64);

/// Number of an entry in a node's log. The first entry is 1; 0 means that no entry exists yet.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, PartialOrd, Ord)]
pub struct LogIndex(pub u64);

/// Consecutive entries of a log, as sent in one message.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct LogEntries {
    /// Number of the first entry in `jobs`.
    pub first: LogIndex,
    /// Names of the cancelled jobs, in log order.
    pub jobs: Vec<String>,
}

#[derive(Debug)]
struct Entry {
    confirmed_at: Timestamp,
    job: String,
}

/// How far the log has been sent to and acknowledged by one peer.
#[derive(Debug, Default, Clone, Copy)]
struct PeerProgress {
    incarnation: Incarnation,
    acknowledged: u64,
    sent: u64,
    sent_at: Timestamp,
}

/// Cancellations that this incarnation of the node has confirmed to users, with the progress of
/// their replication to each peer.
#[derive(Debug)]
pub struct CancellationLog {
    retention: TimeDelta,
    /// Number of the oldest retained entry.
    first: u64,
    entries: VecDeque<Entry>,
    peers: BTreeMap<String, PeerProgress>,
}

impl CancellationLog {
    /// Creates an empty log whose retention follows from the site's cancellation time limit.
    pub fn new(site: &Site) -> CancellationLog {
        let retention = site.cancel_within.mul_f64(RETENTION_FACTOR);
        CancellationLog { retention, first: 1, entries: VecDeque::new(), peers: BTreeMap::new() }
    }

    /// Appends a job's cancellation. Must be called after the job's end is stored and before the
    /// cancellation is confirmed to any user.
    pub fn append(&mut self, now: Timestamp, job: &str) {
        self.trim(now);
        self.entries.push_back(Entry { confirmed_at: now, job: job.to_owned() });
    }

    /// Returns the number of the last entry, 0 if nothing was ever appended.
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

    /// Registers that a message from the peer has arrived. The peer is sent entries from now on; a
    /// new incarnation of it starts from the first retained entry.
    pub fn peer_seen(&mut self, peer: &str, incarnation: Incarnation) {
        let progress = self.peers.entry(peer.to_owned()).or_default();
        if progress.incarnation != incarnation {
            *progress = PeerProgress { incarnation, ..PeerProgress::default() };
        }
    }

    /// Registers that the given incarnation of the peer has received all entries up to `up_to`.
    pub fn acknowledged(&mut self, peer: &str, incarnation: Incarnation, up_to: LogIndex) {
        let last = self.last();
        let progress = self.peers.get_mut(peer).filter(|p| p.incarnation == incarnation);
        if let Some(progress) = progress {
            progress.acknowledged = progress.acknowledged.max(up_to.min(last).0);
        }
    }

    /// Returns the entries to send to the peer now: those not sent yet or, if its last
    /// acknowledgement is overdue, all unacknowledged ones. The returned entries count as sent.
    pub fn entries_to_send(&mut self, now: Timestamp, peer: &str) -> Option<LogEntries> {
        self.trim(now);
        let (first, last) = (self.first, self.last().0);
        let progress = self.peers.get_mut(peer)?;
        let acknowledgement_pending = now.since(progress.sent_at) < RESEND_AFTER;
        let skip_up_to = match acknowledgement_pending {
            true => progress.sent.max(progress.acknowledged),
            false => progress.acknowledged,
        };
        let from = (skip_up_to + 1).max(first);
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
