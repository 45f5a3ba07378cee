//! Handles the frames that a node receives from its peers.

use walnutlug_scheduler::model::job_spec::JobEnd;
use walnutlug_scheduler::protocol::users::is_job_id;

use super::heartbeats::{follower, leader};
use super::Node;
use crate::peers::{Cancellations, Frame, HeldJobs, NodeStatus};
use crate::user_api::TaskCounts;

impl Node {
    /// Passes a frame from a peer to the component that handles it.
    pub(crate) fn handle_frame(&self, frame: Frame) {
        match frame {
            Frame::Status(status) => self.handle_status(status),
            Frame::Progress { job, done, running } => {
                let counts = TaskCounts { done, running };
                self.user_api.known_jobs.record_progress(&job, counts);
            }
            Frame::Ended { job, end } => self.handle_ended(&job, end),
            Frame::Cancellations(entries) => self.handle_cancellations(&entries),
            Frame::CancellationsAck(ack) => self.cancellations.record_ack(&ack),
            Frame::CancellationLogEnd(end) => self.cancellations.log_end_received(self.now(), &end),
            Frame::ForwardedHeartbeat(heartbeat) => leader::answer_forwarded(self, &heartbeat),
            Frame::ForwardedResponse(response) => follower::apply_response(self, response),
            Frame::RepeatedHeartbeats { term, heartbeats } => {
                leader::record_repeated_heartbeats(self, term, &heartbeats);
            }
            Frame::DelegationRequest(request) => leader::grant_delegation(self, &request),
            Frame::DelegationGranted(granted) => follower::apply_grant(self, granted),
            Frame::Invalidated { term, first, cache_entries } => {
                self.delegation.follower().invalidate(term, first, &cache_entries);
            }
            Frame::NewJob { .. } => self.watch_wakeup.notify_one(),
            Frame::LimitsLowered => self.key_value.learn_limits_lowered(),
            Frame::RatesLowered => self.key_value.learn_rates_lowered(),
            Frame::HeldJobs(held) => self.record_held_jobs(held),
            Frame::Machines(machines) => self.cluster_view.record_addresses(machines),
        }
    }

    fn handle_status(&self, status: NodeStatus) {
        if status.leading {
            self.record_leader(&status.name, status.term);
            follower::request_from_new_leader(self, status.term);
            let log_end = self.cancellations.log_end(status.incarnation, status.count);
            self.send_to_peer(&status.name, &Frame::CancellationLogEnd(log_end));
        }
        self.cancellations.record_log_reader(&status.name, status.incarnation);
        self.send_cancellations();
        if self.cluster_view.is_stale(&status) {
            return;
        }
        self.cancellations.record_peer_incarnation(self.now(), &status.name, status.incarnation);
        self.cluster_view.record_status(status);
    }

    /// Records what the leader of the newest known term holds.
    fn record_held_jobs(&self, held: HeldJobs) {
        if self.other_leader_in_term(held.term).is_some() {
            self.user_api.record_held_jobs(self.now(), held.bytes);
        }
    }

    fn handle_ended(&self, job: &str, end: JobEnd) {
        // Sent only after the end is stored, so it is certain. The job's tasks are stopped even
        // while the key-value store rejects this node's requests.
        if end == JobEnd::Cancelled && is_job_id(job) {
            return self.apply_job_end(job, JobEnd::Cancelled);
        }
        // Only a hint to read the records: what the key-value store contains decides whether a job
        // is ready.
        self.user_api.known_jobs.forget_progress(job);
        self.watch_wakeup.notify_one();
    }

    fn handle_cancellations(&self, entries: &Cancellations) {
        for job in &entries.jobs {
            self.apply_job_end(job, JobEnd::Cancelled);
        }
        if let Some(ack) = self.cancellations.record_entries(self.now(), entries) {
            self.send_to_peer(&entries.node, &Frame::CancellationsAck(ack));
        }
    }
}
