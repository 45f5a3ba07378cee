//! The follower's side: answers repeated heartbeats on the leader's behalf and forwards all others
//! to the leader.

use tracing::info;
use walnutlug_scheduler::leadership::fencing_token::{FencingToken, Term};

use crate::http::server::Answer;
use crate::node::Node;
use crate::peers::{
    DelegationGranted, DelegationRequest, ForwardedHeartbeat, ForwardedResponse, Frame,
    MAX_ENTRIES, MAX_FORWARDED_BYTES,
};
use crate::worker_api::{Repetition, WorkerConnection};

impl Node {
    /// Returns the token for answering the heartbeat, if it repeats a cached one that this node may
    /// answer itself.
    pub(crate) fn repeated_heartbeat_token(
        &self,
        connection: &WorkerConnection,
        body: &[u8],
    ) -> Option<FencingToken> {
        let Repetition { cached, sequence } = connection.repetition(body)?;
        self.delegation.follower().answer_repeated(self.now(), cached, sequence)
    }

    /// Forwards the heartbeat to the leader and returns its response. `None` means that the worker
    /// should send its heartbeat to another node.
    pub(crate) async fn forward_heartbeat(
        &self,
        connection: &WorkerConnection,
        body: &[u8],
    ) -> Option<Answer> {
        let follower = self.delegation.follower();
        let term = follower.forwarding_term(self.now())?;
        let leader = self.other_leader_in_term(term)?;
        if body.len() > MAX_FORWARDED_BYTES {
            return None;
        }
        let pending = follower.begin_forward()?;
        let forwarded = ForwardedHeartbeat {
            node: self.settings.node_name.clone(),
            incarnation: self.identity.incarnation,
            number: pending.number(),
            heartbeat: body.to_vec(),
        };
        self.send_to_peer(&leader, &Frame::ForwardedHeartbeat(forwarded));
        let ForwardedResponse { answer, cache_entry, .. } = pending.response().await?;
        let cached = cache_entry.and_then(|entry| follower.cache(self.now(), &entry));
        connection.cache_heartbeat(body, cached);
        Some(Answer::bytes(200, answer?))
    }
}

/// As a follower, requests a delegation from the current leader.
pub(in crate::node) fn request_delegation(node: &Node) {
    let Some(leader) = node.other_leader() else { return };
    let request = DelegationRequest {
        node: node.settings.node_name.clone(),
        incarnation: node.identity.incarnation,
        number: node.delegation.follower().next_request(node.now()),
        workers: node.delegation.worker_connections().get(),
    };
    node.send_to_peer(&leader, &Frame::DelegationRequest(request));
}

/// Requests a delegation at once if the leader of this term has not granted one yet.
pub(in crate::node) fn request_from_new_leader(node: &Node, term: Term) {
    if node.delegation.follower().granted_term().is_none_or(|granted| granted < term) {
        request_delegation(node);
    }
}

/// Applies a grant, unless it answers a request of an earlier process of this node.
pub(in crate::node) fn apply_grant(node: &Node, granted: DelegationGranted) {
    if granted.requester_incarnation != node.identity.incarnation {
        return;
    }
    let follower = node.delegation.follower();
    let previous_term = follower.granted_term();
    if !follower.take_grant(node.now(), &granted.grant) {
        return;
    }
    let term = granted.grant.term;
    if previous_term != Some(term) {
        info!(%term, leader = %granted.node, "answering workers on the leader's behalf");
    }
    node.delegation.redirection().set(u32::from(granted.redirect_count), granted.redirect_to);
}

/// Tells the leader which machines repeated their heartbeats.
pub(in crate::node) fn send_repeated_heartbeats(node: &Node) {
    let follower = node.delegation.follower();
    let repeated = follower.take_repeated();
    let Some(term) = follower.granted_term() else { return };
    let Some(leader) = node.other_leader_in_term(term) else { return };
    for chunk in repeated.chunks(MAX_ENTRIES) {
        node.send_to_peer(&leader, &Frame::RepeatedHeartbeats { term, heartbeats: chunk.to_vec() });
    }
}

/// Passes the leader's response to the heartbeat that waits for it, unless an earlier process of
/// this node forwarded that heartbeat.
pub(in crate::node) fn apply_response(node: &Node, response: ForwardedResponse) {
    if response.requester_incarnation == node.identity.incarnation {
        node.delegation.follower().respond(response);
    }
}
