//! Cancelled jobs known to a node: its own log, which it replicates to its peers; the watermark up
//! to which it knows the peers' logs; and job ends received while the records are loading, before
//! there is a scheduler to apply them to.

use std::cell::{Cell, RefCell};

use tracing::{info, warn};
use walnutlug_scheduler::leadership::cancellation_log::{
    CancellationLog, Incarnation, LogEntries, LogIndex,
};
use walnutlug_scheduler::leadership::watermark::{RequestId, Watermark};
use walnutlug_scheduler::model::job_spec::JobEnd;
use walnutlug_scheduler::time::Timestamp;
use walnutlug_scheduler::tunables::Site;

use crate::peers::{CancellationLogEnd, Cancellations, CancellationsAck};

/// Cancellation state of one node. `walnutlug_scheduler::leadership::watermark` describes the
/// replication protocol.
pub(super) struct CancellationState {
    own_name: String,
    own_incarnation: u64,
    /// Cancellations confirmed by this node and how far each peer has acknowledged them.
    log: RefCell<CancellationLog>,
    /// The time up to which this node knows every node's cancellations.
    watermark: RefCell<Watermark>,
    ends_while_loading: RefCell<Vec<(String, JobEnd)>>,
    /// Whether worker leases were renewed at the last heartbeat, so that only changes are logged.
    leases_renewed: Cell<bool>,
}

impl CancellationState {
    /// Creates the state of a node that has just started, with the names of its peers.
    pub(super) fn new(
        own_name: &str,
        own_incarnation: u64,
        site: &Site,
        peer_names: impl IntoIterator<Item = String>,
    ) -> CancellationState {
        CancellationState {
            own_name: own_name.to_owned(),
            own_incarnation,
            log: RefCell::new(CancellationLog::new(site)),
            watermark: RefCell::new(Watermark::new(peer_names)),
            ends_while_loading: RefCell::default(),
            leases_renewed: Cell::new(true),
        }
    }

    /// Appends a cancelled job, whose end is already stored, to this node's log.
    pub(super) fn append(&self, now: Timestamp, job: &str) {
        self.log.borrow_mut().append(now, job);
    }

    /// Returns the entries of this node's log to send to the peer now, or `None` if none are due.
    pub(super) fn entries_to_send(&self, now: Timestamp, peer: &str) -> Option<Cancellations> {
        let LogEntries { first, jobs } = self.log.borrow_mut().entries_to_send(now, peer)?;
        let (node, incarnation) = (self.own_name.clone(), self.own_incarnation);
        Some(Cancellations { node, incarnation, first: first.0, jobs })
    }

    /// Records a peer's acknowledgement. Ignores one for the log of an earlier process of this
    /// node.
    pub(super) fn record_ack(&self, ack: &CancellationsAck) {
        if ack.log_incarnation == self.own_incarnation {
            let (reader, up_to) = (Incarnation(ack.incarnation), LogIndex(ack.up_to));
            self.log.borrow_mut().acknowledged(&ack.node, reader, up_to);
        }
    }

    /// Builds the answer to a leader's status: the index of the last entry in this node's log.
    pub(super) fn log_end(
        &self,
        requester_incarnation: u64,
        status_count: u64,
    ) -> CancellationLogEnd {
        CancellationLogEnd {
            node: self.own_name.clone(),
            incarnation: self.own_incarnation,
            last: self.log.borrow().last().0,
            requester_incarnation,
            status_count,
        }
    }

    /// Records which incarnation of the peer reads this node's log.
    pub(super) fn record_log_reader(&self, peer: &str, incarnation: u64) {
        self.log.borrow_mut().peer_seen(peer, Incarnation(incarnation));
    }

    /// Records which incarnation of the peer sent a status that was not stale.
    pub(super) fn record_peer_incarnation(&self, now: Timestamp, peer: &str, incarnation: u64) {
        self.watermark.borrow_mut().peer_seen(now, peer, Incarnation(incarnation));
    }

    /// Records that entries of a peer's log were applied. Returns the acknowledgement to send if
    /// the log is complete up to these entries.
    pub(super) fn record_entries(
        &self,
        now: Timestamp,
        entries: &Cancellations,
    ) -> Option<CancellationsAck> {
        let Cancellations { node, incarnation, first, jobs } = entries;
        let LogIndex(up_to) = self.watermark.borrow_mut().entries_received(
            now,
            node,
            Incarnation(*incarnation),
            LogIndex(*first),
            jobs.len(),
        )?;
        Some(CancellationsAck {
            node: self.own_name.clone(),
            incarnation: self.own_incarnation,
            log_incarnation: *incarnation,
            up_to,
        })
    }

    /// Records where a peer's log ends. Ignores an answer to an earlier process of this node.
    pub(super) fn log_end_received(&self, now: Timestamp, end: &CancellationLogEnd) {
        if end.requester_incarnation == self.own_incarnation {
            let mut watermark = self.watermark.borrow_mut();
            let (peer_incarnation, last) = (Incarnation(end.incarnation), LogIndex(end.last));
            watermark.request_answered(
                now,
                &end.node,
                peer_incarnation,
                last,
                RequestId(end.status_count),
            );
        }
    }

    /// As the leader, records that the status with this number asked the peers where their logs
    /// end.
    pub(super) fn log_ends_requested(&self, now: Timestamp, request_number: u64) {
        self.watermark.borrow_mut().request_sent(now, RequestId(request_number));
    }

    /// Records that all job ends stored before `until` have been read from the key-value store.
    pub(super) fn job_ends_read(&self, until: Timestamp) {
        self.watermark.borrow_mut().records_read(until);
    }

    /// Returns the time before which every cancellation confirmed by any node is known here.
    pub(super) fn known_until(&self, now: Timestamp) -> Timestamp {
        self.watermark.borrow().known_until(now)
    }

    /// Buffers a job end that is received while the records are loading.
    pub(super) fn buffer_end_while_loading(&self, job: &str, end: JobEnd) {
        self.ends_while_loading.borrow_mut().push((job.to_owned(), end));
    }

    /// Returns the buffered job ends and empties the buffer.
    pub(super) fn take_buffered_ends(&self) -> Vec<(String, JobEnd)> {
        self.ends_while_loading.take()
    }

    /// Logs when worker leases stop being renewed and when renewal resumes.
    pub(super) fn log_lease_renewal(&self, renewed: bool) {
        if self.leases_renewed.replace(renewed) == renewed {
            return;
        }
        if renewed {
            info!("worker leases renewed again");
        } else {
            // A peer that sends nothing may have confirmed cancellations that this node does not
            // know.
            warn!("worker leases not renewed: cancellations of an unreachable node may be unknown");
        }
    }
}
