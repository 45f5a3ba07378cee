//! Up to when a leader knows every cancellation that any node has confirmed to a user.
//!
//! A worker's lease is renewed by the answers to its heartbeats, and a task of a cancelled job that is
//! renewed unknowingly lives on. So each node replicates its
//! [`CancellationLog`](crate::leadership::cancellation_log::CancellationLog) to the others. A leader
//! requests the ends of their logs again and again; from the answers, and from what it reads itself, its
//! [`Watermark`] works out the time before which no cancellation can have escaped it. Both tell
//! incarnations apart: a restarted process answers for nothing that the last one confirmed.

use std::collections::{BTreeMap, VecDeque};

use crate::leadership::cancellation_log::{Incarnation, LogIndex};
use crate::time::{TimeDelta, Timestamp};
use crate::tunables::Site;

/// Requests whose answers still count.
const MAX_OPEN_REQUESTS: usize = 64;

/// Beyond the drift of two clocks, how long after its time was read an answer may be written.
const MARGIN: TimeDelta = TimeDelta::from_millis(250);
/// Drift of two monotonic clocks against each other, doubled.
const DRIFT: f64 = 0.002;
/// The least window, for sites whose leases outlast the time that a cancellation may take. There the
/// lease can't be the last resort, whoever renews it.
const LEAST_WINDOW: TimeDelta = TimeDelta::from_millis(300);

/// Requests in one window.
const REQUESTS_PER_WINDOW: f64 = 6.0;
/// The longest time between two requests.
const MAX_REQUEST_INTERVAL: TimeDelta = TimeDelta::from_secs(1);
/// The shortest time between two requests.
const MIN_REQUEST_INTERVAL: TimeDelta = TimeDelta::from_millis(50);

/// For how long after its watermark a leader may go on renewing leases: a cancellation that it doesn't
/// know of was confirmed after the watermark, and a lease renewed now must have ended
/// [`Site::cancel_within`] after that.
pub fn lease_renewal_window(site: &Site) -> TimeDelta {
    let drift = (site.worker_lease + site.cancel_within).mul_f64(DRIFT);
    let window = site.cancel_within - site.worker_lease - MARGIN - drift;
    window.max(LEAST_WINDOW)
}

/// How often a leader requests the ends of the others' logs, so that the watermark stays well inside
/// the window.
pub fn request_interval(site: &Site) -> TimeDelta {
    let interval = lease_renewal_window(site).mul_f64(1.0 / REQUESTS_PER_WINDOW);
    interval.min(MAX_REQUEST_INTERVAL).max(MIN_REQUEST_INTERVAL)
}

/// The number of a leader's request.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct RequestId(pub u64);

#[derive(Debug)]
struct OpenRequest {
    id: RequestId,
    sent_at: Timestamp,
}

/// One other node's log, as far as it has arrived here.
#[derive(Debug, Default)]
struct PeerLog {
    incarnation: Incarnation,
    /// The number of the last entry that has arrived.
    received: LogIndex,
    /// All that the node confirmed before this is known here.
    complete_until: Timestamp,
    /// Something that it, or its last incarnation, confirmed before this may have been missed: its
    /// answers count for nothing until the records were read later than that.
    gap_at: Option<Timestamp>,
}

/// Up to when every cancellation that any node has confirmed is known here.
#[derive(Debug)]
pub struct Watermark {
    /// All ends that were stored before this have been read.
    records_read_at: Timestamp,
    peers: BTreeMap<String, PeerLog>,
    requests: VecDeque<OpenRequest>,
}

impl Watermark {
    /// Of a node with these peers, of which nothing is known yet.
    pub fn new(peers: impl IntoIterator<Item = String>) -> Watermark {
        let peers = peers.into_iter().map(|name| (name, PeerLog::default())).collect();
        Watermark { records_read_at: Timestamp(0), peers, requests: VecDeque::new() }
    }

    /// All ends that were stored by then have been read from the key-value store.
    pub fn records_read(&mut self, as_of: Timestamp) {
        self.records_read_at = self.records_read_at.max(as_of);
    }

    /// The ends of the others' logs are requested now.
    pub fn request_sent(&mut self, now: Timestamp, id: RequestId) {
        if self.requests.len() >= MAX_OPEN_REQUESTS {
            self.requests.pop_front();
        }
        self.requests.push_back(OpenRequest { id, sent_at: now });
    }

    /// The peer's log, from its start if this is a new incarnation of the peer.
    fn peer_log(
        &mut self,
        now: Timestamp,
        peer: &str,
        incarnation: Incarnation,
    ) -> Option<&mut PeerLog> {
        let log = self.peers.get_mut(peer)?;
        if log.incarnation != incarnation {
            // What the last incarnation confirmed at its end may never have been sent.
            let (received, complete_until) = (LogIndex(0), log.complete_until);
            *log = PeerLog { incarnation, received, complete_until, gap_at: Some(now) };
        }
        Some(log)
    }

    /// A message of that incarnation of the peer has arrived. A node that comes to lead has to know the
    /// others' incarnations from before it reads the records. (Met first with their first answers,
    /// after the records were read, they answered for nothing until the next read; a leader elected just
    /// before an outage let all leases run out in it.)
    pub fn peer_seen(&mut self, now: Timestamp, peer: &str, incarnation: Incarnation) {
        self.peer_log(now, peer, incarnation);
    }

    /// Successive entries of the peer's log have arrived. Returns up to which they are to be
    /// acknowledged, or `None` if the node is no peer.
    pub fn entries_received(
        &mut self,
        now: Timestamp,
        peer: &str,
        incarnation: Incarnation,
        first: LogIndex,
        count: usize,
    ) -> Option<LogIndex> {
        let log = self.peer_log(now, peer, incarnation)?;
        if first.0 > log.received.0 + 1 {
            log.gap_at = Some(now);
        }
        let last = LogIndex((first.0 + count as u64).saturating_sub(1));
        log.received = log.received.max(last);
        Some(log.received)
    }

    /// The peer has answered a request: all that it has confirmed by now has numbers up to `last`.
    pub fn request_answered(
        &mut self,
        now: Timestamp,
        peer: &str,
        incarnation: Incarnation,
        last: LogIndex,
        id: RequestId,
    ) {
        let records_read_at = self.records_read_at;
        let sent_at = self.requests.iter().find(|r| r.id == id).map(|request| request.sent_at);
        let Some(log) = self.peer_log(now, peer, incarnation) else { return };
        if log.gap_at.is_some_and(|gap| gap <= records_read_at) {
            log.gap_at = None;
        }
        let complete = log.gap_at.is_none() && log.received >= last;
        // It answered after the request was sent, so what it confirmed before that is among those.
        if let Some(sent_at) = sent_at.filter(|_| complete) {
            log.complete_until = log.complete_until.max(sent_at);
        }
    }

    /// Every cancellation that was confirmed before this is known here. This node's own are at any
    /// time.
    pub fn known_until(&self, now: Timestamp) -> Timestamp {
        let peers = self.peers.values().map(|log| log.complete_until).min().unwrap_or(now);
        peers.max(self.records_read_at)
    }
}
