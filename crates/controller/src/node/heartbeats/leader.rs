//! The leader's side: answers the heartbeats that followers forward, lets followers answer
//! repetitions, and balances the workers among the nodes.

use std::collections::HashMap;
use walnutlug_scheduler::leadership::fencing_token::Term;

use walnutlug_scheduler::leadership::election::Role;
use walnutlug_scheduler::model::ids::MachineIndex;
use walnutlug_scheduler::reconciliation::delegation::{CacheGrant, DelegationGrant};
use walnutlug_scheduler::reconciliation::heartbeat_cache::{CacheHolder, CachedHeartbeat};

use crate::heartbeat_delegation::{Move, Shares};
use crate::node::Node;
use crate::peers::{
    DelegationGranted, DelegationRequest, ForwardedHeartbeat, ForwardedResponse, Frame,
    RepeatedHeartbeat, MAX_FORWARDED_BYTES,
};
use crate::worker_api::{self, CacheableResponse};

/// As the leader, tells followers which of their cached heartbeats are no longer valid. Must be
/// sent before any message that states up to when the leader knows all cancellations, since such a
/// statement holds only together with these invalidations.
pub(in crate::node) fn send_invalidations(node: &Node) {
    let (term, invalidated) = {
        let mut scheduler = node.scheduler.borrow_mut();
        let Some(scheduler) = scheduler.as_mut() else { return };
        (scheduler.term, scheduler.cluster.take_invalidations())
    };
    let mut by_holder: HashMap<CacheHolder, Vec<(MachineIndex, u64)>> = HashMap::new();
    for entry in invalidated {
        let CachedHeartbeat { machine, number, .. } = entry.cached;
        by_holder.entry(entry.holder).or_default().push((machine, number));
    }
    for (holder, entries) in by_holder {
        let peer_index = usize::from(holder) - 1;
        let peer = &node.settings.peers[peer_index].name;
        for frame in node.delegation.leader().invalidate(peer_index, term, &entries) {
            node.send_to_peer(peer, &frame);
        }
    }
}

/// Records the repeated heartbeats that a follower answered in the term.
pub(in crate::node) fn record_repeated_heartbeats(
    node: &Node,
    term: Term,
    repeated: &[RepeatedHeartbeat],
) {
    let now = node.now();
    let mut scheduler = node.scheduler.borrow_mut();
    let current = scheduler.as_mut().filter(|scheduler| scheduler.term == term);
    let Some(scheduler) = current else { return };
    for heartbeat in repeated {
        let (machine, number) = (heartbeat.machine, heartbeat.number);
        let cached = CachedHeartbeat { term, machine, number };
        scheduler.record_repeated_heartbeat(now, cached, heartbeat.sequence);
    }
}

/// Returns the follower's index in the list of peers.
fn find_peer_index(node: &Node, name: &str) -> Option<usize> {
    node.settings.peers.iter().position(|peer| peer.name == name)
}

/// Answers a heartbeat that a follower forwarded, and lets the follower cache it if possible.
pub(in crate::node) fn answer_forwarded(node: &Node, forwarded: &ForwardedHeartbeat) {
    let Some(peer_index) = find_peer_index(node, &forwarded.node) else { return };
    let Ok(holder) = CacheHolder::try_from(peer_index + 1) else { return };
    let handled = worker_api::handle_forwarded_heartbeat(node, &forwarded.heartbeat, holder);
    let (answer, cacheable) =
        handled.map_or((None, None), |handled| (Some(handled.body), handled.cacheable));
    send_invalidations(node);
    let cache_entry = cacheable.map(|CacheableResponse { cached, token, valid_for }| CacheGrant {
        cached,
        token,
        valid_for,
        invalidated: node.delegation.leader().invalidated(peer_index, cached.term),
    });
    let response = ForwardedResponse {
        requester_incarnation: forwarded.incarnation,
        number: forwarded.number,
        answer: answer.filter(|body| body.len() <= MAX_FORWARDED_BYTES),
        cache_entry,
    };
    node.send_to_peer(&forwarded.node, &Frame::ForwardedResponse(response));
    node.wake_leader();
}

/// As the leader, lets a follower answer workers and tells it how many of them to redirect.
pub(in crate::node) fn grant_delegation(node: &Node, request: &DelegationRequest) {
    let Some(peer_index) = find_peer_index(node, &request.node) else { return };
    let Role::Leader { term } = node.leadership.borrow().role() else { return };
    send_invalidations(node);
    let leader = &node.delegation.leader();
    leader.record_request(peer_index, request.workers);
    let grant = DelegationGrant {
        term,
        request_number: request.number,
        watermark_age: node.now().since(node.cancellations_known_until()),
        invalidated: leader.invalidated(peer_index, term),
    };
    let redirected =
        worker_shares(node).and_then(|shares| shares.move_from_follower(request.workers));
    let granted = DelegationGranted {
        node: node.settings.node_name.clone(),
        requester_incarnation: request.incarnation,
        grant,
        redirect_count: redirected.map_or(0, |moved| moved.workers.min(u32::from(u16::MAX)) as u16),
        redirect_to: redirected.map(|moved| redirect_target(node, moved)),
    };
    node.send_to_peer(&request.node, &Frame::DelegationGranted(granted));
}

/// As the leader, redirects some of its own workers to the follower that has the fewest.
pub(in crate::node) fn balance_workers(node: &Node) {
    let own = node.delegation.worker_connections().get();
    match worker_shares(node).and_then(|shares| shares.move_from_leader(own)) {
        Some(moved) => {
            node.delegation.redirection().set(moved.workers, Some(redirect_target(node, moved)))
        }
        None => node.delegation.redirection().clear(),
    }
}

/// Returns how the workers should currently be shared among the nodes, if that can be computed.
fn worker_shares(node: &Node) -> Option<Shares> {
    Shares::of(node.delegation.worker_connections().get(), &node.delegation.leader().loads())
}

fn redirect_target(node: &Node, moved: Move) -> String {
    node.settings.peers[moved.to].name.clone()
}
