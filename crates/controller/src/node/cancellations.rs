//! What a node knows of cancelled jobs: its own log, for the other nodes; the watermark up to which it knows theirs;
//! and the ends that came while the records were read, when there was no scheduler to apply them to.

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

/// One node's cancellations. The protocol is in `walnutlug_scheduler::leadership::watermark`.
pub(super) struct CancellationState {
    own_name: String,
    own_incarnation: u64,
    /// This node's own cancellations, and which of the peer_names acknowledged them.
    log: RefCell<CancellationLog>,
    /// Up to when this node knows every node's cancellations.
    watermark: RefCell<Watermark>,
    ends_while_loading: RefCell<Vec<(String, JobEnd)>>,
    /// Whether leases were renewed at the last heartbeat.
    leases_renewed: Cell<bool>,
}

impl CancellationState {
    /// Of a node that has just started, beside the named peer_names.
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

    /// Appends a job that was cancelled, as the key-value store says, to the own log.
    pub(super) fn append(&self, now: Timestamp, job: &str) {
        self.log.borrow_mut().append(now, job);
    }

    /// The part of the own log that the peer should be sent now.
    pub(super) fn entries_to_send(&self, now: Timestamp, peer: &str) -> Option<Cancellations> {
        let LogEntries { first, jobs } = self.log.borrow_mut().entries_to_send(now, peer)?;
        let (node, incarnation) = (self.own_name.clone(), self.own_incarnation);
        Some(Cancellations { node, incarnation, first: first.0, jobs })
    }

    /// The peer has acknowledged a part of the own log, if it means this incarnation's.
    pub(super) fn record_ack(&self, ack: &CancellationsAck) {
        if ack.log_incarnation == self.own_incarnation {
            let (reader, up_to) = (Incarnation(ack.incarnation), LogIndex(ack.up_to));
            self.log.borrow_mut().acknowledged(&ack.node, reader, up_to);
        }
    }

    /// The end of the own log, in answer to a leader's status.
    pub(super) fn log_end(&self, asker_incarnation: u64, asked: u64) -> CancellationLogEnd {
        CancellationLogEnd {
            node: self.own_name.clone(),
            incarnation: self.own_incarnation,
            last: self.log.borrow().last().0,
            asker_incarnation,
            asked,
        }
    }

    /// That incarnation of the peer reads the own log.
    pub(super) fn record_log_reader(&self, peer: &str, incarnation: u64) {
        self.log.borrow_mut().peer_seen(peer, Incarnation(incarnation));
    }

    /// A status of that incarnation of the peer came, and was not stale.
    pub(super) fn record_peer_incarnation(&self, now: Timestamp, peer: &str, incarnation: u64) {
        self.watermark.borrow_mut().peer_seen(now, peer, Incarnation(incarnation));
    }

    /// A part of a peer's log was applied. The acknowledgement to send, if its log is complete up to there.
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

    /// A peer says where its log ends, if it answers this incarnation.
    pub(super) fn log_end_received(&self, now: Timestamp, end: &CancellationLogEnd) {
        if end.asker_incarnation == self.own_incarnation {
            let mut watermark = self.watermark.borrow_mut();
            let (peer_incarnation, last) = (Incarnation(end.incarnation), LogIndex(end.last));
            watermark.request_answered(
                now,
                &end.node,
                peer_incarnation,
                last,
                RequestId(end.asked),
            );
        }
    }

    /// As the leader, asks the peer_names with the status of that number how far their logs go.
    pub(super) fn log_ends_requested(&self, now: Timestamp, request_number: u64) {
        self.watermark.borrow_mut().request_sent(now, RequestId(request_number));
    }

    /// All ends that were stored by then have been read from the key-value store.
    pub(super) fn job_ends_read(&self, until: Timestamp) {
        self.watermark.borrow_mut().records_read(until);
    }

    /// Up to when every cancellation that any node confirmed is known here.
    pub(super) fn known_until(&self, now: Timestamp) -> Timestamp {
        self.watermark.borrow().known_until(now)
    }

    /// Keeps an end that came while the records are read.
    pub(super) fn buffer_end_while_loading(&self, job: &str, end: JobEnd) {
        self.ends_while_loading.borrow_mut().push((job.to_owned(), end));
    }

    /// Takes the ends that were kept.
    pub(super) fn take_buffered_ends(&self) -> Vec<(String, JobEnd)> {
        self.ends_while_loading.take()
    }

    /// Logs when leases cease to be renewed, and when they are again.
    pub(super) fn log_lease_renewal(&self, renewed: bool) {
        if self.leases_renewed.replace(renewed) == renewed {
            return;
        }
        if renewed {
            info!("worker leases renewed again");
        } else {
            // A node that isn't heard may have confirmed cancellations.
            warn!("worker leases not renewed: cancellations of a silent node may be unknown");
        }
    }
}
