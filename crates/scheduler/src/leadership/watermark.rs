//! The watermark: the time up to which a leader knows every cancellation that any node has
//! confirmed to a user.
//!
//! The answer to a heartbeat renews the worker's lease, so a leader that doesn't know of a
//! cancellation would keep the cancelled job's tasks running. Each node therefore replicates its
//! [`CancellationLog`](crate::leadership::cancellation_log::CancellationLog) to the others. A
//! leader regularly requests the number of the last entry of each log; from the answers and from
//! its own reads of the key-value store, [`Watermark`] computes the time before which it can't have
//! missed a cancellation. Both distinguish incarnations: a restarted process can't answer for what
//! the previous one confirmed.

use std::collections::{BTreeMap, VecDeque};

use crate::leadership::cancellation_log::{Incarnation, LogIndex};
use crate::time::{TimeDelta, Timestamp};
use crate::tunables::Site;

/// Maximum number of requests whose answers are still accepted; older requests are dropped.
const MAX_OPEN_REQUESTS: usize = 64;

/// Allowance, in addition to clock drift, for the delay between reading the time for an answer and
/// writing that answer.
const ANSWER_DELAY_MARGIN: TimeDelta = TimeDelta::from_millis(250);
/// Twice the relative drift of two monotonic clocks.
const DOUBLE_CLOCK_DRIFT: f64 = 0.002;
/// Lower bound of the lease renewal window, for sites whose worker leases last longer than a
/// cancellation may take. On such sites the expiry of a lease can't ensure that a cancellation
/// takes effect in time, whichever node renews it.
const MIN_WINDOW: TimeDelta = TimeDelta::from_millis(300);

/// Number of requests sent during one lease renewal window.
const REQUESTS_PER_WINDOW: f64 = 6.0;
/// Upper bound of the time between two requests.
const MAX_REQUEST_INTERVAL: TimeDelta = TimeDelta::from_secs(1);
/// Lower bound of the time between two requests.
const MIN_REQUEST_INTERVAL: TimeDelta = TimeDelta::from_millis(50);

/// Returns how long after its watermark a leader may still renew leases. An unknown cancellation
/// was confirmed after the watermark, and a lease renewed now must have ended
/// [`Site::cancel_within`] after that confirmation.
pub fn lease_renewal_window(site: &Site) -> TimeDelta {
    let drift = (site.worker_lease + site.cancel_within).mul_f64(DOUBLE_CLOCK_DRIFT);
    let window = site.cancel_within - site.worker_lease - ANSWER_DELAY_MARGIN - drift;
    window.max(MIN_WINDOW)
}

/// Returns the time between a leader's requests for the last entries of the other nodes' logs,
/// short enough to keep the watermark well inside the lease renewal window.
pub fn request_interval(site: &Site) -> TimeDelta {
    let interval = lease_renewal_window(site).mul_f64(1.0 / REQUESTS_PER_WINDOW);
    interval.min(MAX_REQUEST_INTERVAL).max(MIN_REQUEST_INTERVAL)
}

/// Identifies a leader's request for the last entries of the other nodes' logs.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct RequestId(pub u64);

#[derive(Debug)]
struct OpenRequest {
    id: RequestId,
    sent_at: Timestamp,
}

/// State of one other node's log, as received by this node.
#[derive(Debug, Default)]
struct PeerLog {
    incarnation: Incarnation,
    /// Number of the last entry received.
    received: LogIndex,
    /// Every cancellation that the node confirmed before this time is known here.
    complete_until: Timestamp,
    /// Set if a cancellation that the node, or its previous incarnation, confirmed before this time
    /// may have been missed. The node's answers are ignored until the records have been read at a
    /// later time.
    gap_detected_at: Option<Timestamp>,
}

/// Computes the time up to which every cancellation confirmed by any node is known here.
#[derive(Debug)]
pub struct Watermark {
    /// Every job end stored before this time has been read from the key-value store.
    records_read_at: Timestamp,
    peers: BTreeMap<String, PeerLog>,
    requests: VecDeque<OpenRequest>,
}

impl Watermark {
    /// Creates the watermark of a node with the given peers, of whose cancellations nothing is
    /// known yet.
    pub fn new(peers: impl IntoIterator<Item = String>) -> Watermark {
        let peers = peers.into_iter().map(|name| (name, PeerLog::default())).collect();
        Watermark { records_read_at: Timestamp(0), peers, requests: VecDeque::new() }
    }

    /// Registers that all job ends stored before `as_of` have been read from the key-value store.
    pub fn records_read(&mut self, as_of: Timestamp) {
        self.records_read_at = self.records_read_at.max(as_of);
    }

    /// Registers that the numbers of the last entries of the other nodes' logs are requested now.
    pub fn request_sent(&mut self, now: Timestamp, id: RequestId) {
        if self.requests.len() >= MAX_OPEN_REQUESTS {
            self.requests.pop_front();
        }
        self.requests.push_back(OpenRequest { id, sent_at: now });
    }

    /// Returns the state of the peer's log, reset if the incarnation is new, or `None` for a node
    /// that is not a peer.
    fn peer_log(
        &mut self,
        now: Timestamp,
        peer: &str,
        incarnation: Incarnation,
    ) -> Option<&mut PeerLog> {
        let log = self.peers.get_mut(peer)?;
        if log.incarnation != incarnation {
            // The last entries of the previous incarnation may never have been sent.
            let (received, complete_until) = (LogIndex(0), log.complete_until);
            *log = PeerLog { incarnation, received, complete_until, gap_detected_at: Some(now) };
        }
        Some(log)
    }

    /// Registers that a message of the given incarnation of the peer has arrived. A node that
    /// becomes leader must know its peers' incarnations before it reads the records. If it first
    /// learned them from answers after that read, those answers would be ignored until the next
    /// read; this let all leases expire when a leader was elected just before an outage.
    pub fn peer_seen(&mut self, now: Timestamp, peer: &str, incarnation: Incarnation) {
        self.peer_log(now, peer, incarnation);
    }

    /// Registers the arrival of consecutive entries of the peer's log. Returns the number up to
    /// which to acknowledge them, or `None` if the node is not a peer.
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
            log.gap_detected_at = Some(now);
        }
        let last = LogIndex((first.0 + count as u64).saturating_sub(1));
        log.received = log.received.max(last);
        Some(log.received)
    }

    /// Registers the peer's answer to a request: every cancellation that it has confirmed so far
    /// has a number up to `last`.
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
        if log.gap_detected_at.is_some_and(|gap| gap <= records_read_at) {
            log.gap_detected_at = None;
        }
        let complete = log.gap_detected_at.is_none() && log.received >= last;
        // The peer answered after the request was sent, so `last` covers everything that it
        // confirmed before `sent_at`.
        if let Some(sent_at) = sent_at.filter(|_| complete) {
            log.complete_until = log.complete_until.max(sent_at);
        }
    }

    /// Returns the time before which every confirmed cancellation is known here. This node always
    /// knows the cancellations that it confirmed itself.
    pub fn known_until(&self, now: Timestamp) -> Timestamp {
        let peers = self.peers.values().map(|log| log.complete_until).min().unwrap_or(now);
        peers.max(self.records_read_at)
    }
}
