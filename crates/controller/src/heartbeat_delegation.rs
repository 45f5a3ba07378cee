//! Workers' heartbeats answered by every node: followers forward to the leader what may be new, and answer repetitions
//! themselves within the bound that `walnutlug_scheduler::reconciliation::delegation` keeps. Here the two sides meet
//! the node; what each of them knows is in [`follower`] and [`leader`].

mod balancing;
mod follower;
mod leader;

use std::cell::Cell;
use std::collections::HashMap;
use std::rc::Rc;

use tokio::time::{sleep, Duration};
use tracing::info;
use walnutlug_scheduler::leadership::election::Role;
use walnutlug_scheduler::model::task::MachineIndex;
use walnutlug_scheduler::reconciliation::delegation::{CacheGrant, DelegationGrant};
use walnutlug_scheduler::reconciliation::repeated_heartbeats::{CacheHolder, CachedHeartbeat};
use walnutlug_scheduler::tunables::Site;

use crate::http::server::Answer;
use crate::node::Node;
use crate::peers::{
    DelegationGranted, DelegationRequest, ForwardedHeartbeat, ForwardedResponse, Frame,
    RepeatedHeartbeat, MAX_CARRIED, MAX_ENTRIES,
};
use crate::worker_api::{self, WorkerConnection};

use balancing::{Move, Redirection, Shares};
use follower::FollowerSide;
use leader::LeaderSide;

/// How often the leader is told which machines repeated their heartbeats; they report every few seconds.
const REPORT_EVERY: Duration = Duration::from_millis(500);
/// Every how many of these the leader is asked for a grant, or balances the workers.
const REQUEST_EVERY: u32 = 2;

/// A node's part in answering heartbeats, as a follower and as the leader.
pub(crate) struct HeartbeatDelegation {
    /// Connections on which workers have reported.
    worker_connections: Rc<Cell<u32>>,
    follower: FollowerSide,
    leader: LeaderSide,
    redirection: Redirection,
}

impl HeartbeatDelegation {
    /// With nothing granted and no followers. Each connection has at most one heartbeat in flight, so as many may wait
    /// as there may be connections: after an outage every heartbeat differs from the last.
    pub(crate) fn new(site: &Site, peers: usize, max_pending: usize) -> HeartbeatDelegation {
        HeartbeatDelegation {
            worker_connections: Rc::default(),
            follower: FollowerSide::new(site, max_pending),
            leader: LeaderSide::new(peers),
            redirection: Redirection::default(),
        }
    }

    /// The count of connections on which workers have reported, which the connections keep.
    pub(crate) fn worker_connections(&self) -> &Rc<Cell<u32>> {
        &self.worker_connections
    }

    /// Whether other nodes hold workers' connections now.
    pub(crate) fn has_followers(&self) -> bool {
        self.leader.has_followers()
    }

    /// The node to which the worker should report instead, if this one has more than its share.
    pub(crate) fn another_node_for(&self, heartbeat_bytes: usize) -> Option<String> {
        // A longer heartbeat would come back: followers don't forward it.
        if heartbeat_bytes > MAX_CARRIED / 2 {
            return None;
        }
        self.redirection.take()
    }
}

/// Keeps up this node's part for as long as it lives: as a follower it tells the leader who repeated a heartbeat and
/// asks for grants, as the leader it balances the workers.
pub(crate) async fn run(node: Rc<Node>) {
    let mut count = 0u32;
    loop {
        sleep(REPORT_EVERY).await;
        count = count.wrapping_add(1);
        send_repeated_heartbeats(&node);
        if !count.is_multiple_of(REQUEST_EVERY) {
            continue;
        }
        match node.leadership.borrow().role() {
            Role::Leader { .. } => balance(&node),
            Role::Loading { .. } | Role::Candidate | Role::Follower => request_delegation(&node),
        }
    }
}

/// Handles the frames of this module.
pub(crate) fn handle_frame(node: &Node, frame: Frame) {
    let follower = &node.serving.follower;
    match frame {
        Frame::ForwardedHeartbeat(heartbeat) => answer_forwarded(node, &heartbeat),
        Frame::ForwardedResponse(response) if response.asker_incarnation == node.incarnation() => {
            follower.respond(response);
        }
        Frame::RepeatedHeartbeats { term, heard } => record_repeated_heartbeats(node, term, &heard),
        Frame::DelegationRequest(request) => grant(node, &request),
        Frame::DelegationGranted(granted) if granted.asker_incarnation == node.incarnation() => {
            take_grant(node, granted);
        }
        Frame::Invalidated { term, first, cache_entries } => {
            follower.invalidate(term, first, &cache_entries);
        }
        _ => {}
    }
}

/// The token with which a follower may answer the heartbeat, if it repeats a cached one.
pub(crate) fn repeated(node: &Node, connection: &WorkerConnection, body: &[u8]) -> Option<u64> {
    let (cached, sequence) = connection.repeated_by(body)?;
    node.serving.follower.answer_repeated(node.now(), cached, sequence)
}

/// Forwards the heartbeat to the leader. `None`: the worker should report elsewhere.
pub(crate) async fn forward(
    node: &Node,
    connection: &WorkerConnection,
    body: &[u8],
) -> Option<Answer> {
    let follower = &node.serving.follower;
    let term = follower.forwarding_term(node.now())?;
    let leader = node.leader_under(term)?;
    if body.len() > MAX_CARRIED {
        return None;
    }
    let pending = follower.begin_forward()?;
    let forwarded = ForwardedHeartbeat {
        node: node.settings.node_name.clone(),
        incarnation: node.incarnation(),
        number: pending.number(),
        heartbeat: body.to_vec(),
    };
    node.send_to_peer(&leader, &Frame::ForwardedHeartbeat(forwarded));
    let ForwardedResponse { answer, cache_entry, .. } = pending.response().await?;
    let cached = cache_entry.and_then(|entry| follower.cache(node.now(), &entry));
    connection.remember(body, cached);
    Some(Answer { status: 200, body: answer?, retry_after: None, close: false, idle: None })
}

/// As a follower, asks whoever leads for a grant.
fn request_delegation(node: &Node) {
    let Some(leader) = node.other_leader() else { return };
    let request = DelegationRequest {
        node: node.settings.node_name.clone(),
        incarnation: node.incarnation(),
        number: node.serving.follower.next_request(node.now()),
        workers: node.serving.worker_connections.get(),
    };
    node.send_to_peer(&leader, &Frame::DelegationRequest(request));
}

/// Asks at once if the leader of that term has not granted anything yet.
pub(crate) fn request_from_new_leader(node: &Node, term: u64) {
    if node.serving.follower.granted_term().is_none_or(|granted| granted < term) {
        request_delegation(node);
    }
}

fn take_grant(node: &Node, granted: DelegationGranted) {
    let follower = &node.serving.follower;
    let before = follower.granted_term();
    if !follower.take_grant(node.now(), &granted.grant) {
        return;
    }
    let term = granted.grant.term;
    if before != Some(term) {
        info!(term, leader = %granted.node, "answering workers on the leader's behalf");
    }
    node.serving.redirection.set(u32::from(granted.spare), granted.spare_to);
}

fn send_repeated_heartbeats(node: &Node) {
    let follower = &node.serving.follower;
    let repeated = follower.take_repeated();
    let Some(term) = follower.granted_term() else { return };
    let Some(leader) = node.leader_under(term) else { return };
    for some in repeated.chunks(MAX_ENTRIES) {
        node.send_to_peer(&leader, &Frame::RepeatedHeartbeats { term, heard: some.to_vec() });
    }
}

/// As the leader, tells followers which of their cache entries are valid no more. Before anything that says how far
/// the leader's knowledge goes, since that is worth nothing without these.
pub(crate) fn send_invalidations(node: &Node) {
    let (term, invalidated) = {
        let mut scheduler = node.scheduler.borrow_mut();
        let Some(scheduler) = scheduler.as_mut() else { return };
        (scheduler.term, scheduler.cluster.take_invalidated())
    };
    let mut by_holder: HashMap<CacheHolder, Vec<(MachineIndex, u64)>> = HashMap::new();
    for entry in invalidated {
        let CachedHeartbeat { machine, number, .. } = entry.cached;
        by_holder.entry(entry.holder).or_default().push((machine, number));
    }
    for (holder, entries) in by_holder {
        let place = usize::from(holder) - 1;
        let peer = &node.settings.peers[place].name;
        for frame in node.serving.leader.invalidate(place, term, &entries) {
            node.send_to_peer(peer, &frame);
        }
    }
}

fn record_repeated_heartbeats(node: &Node, term: u64, repeated: &[RepeatedHeartbeat]) {
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

/// A follower's place among the peers.
fn peer_place(node: &Node, name: &str) -> Option<usize> {
    node.settings.peers.iter().position(|peer| peer.name == name)
}

fn answer_forwarded(node: &Node, forwarded: &ForwardedHeartbeat) {
    let Some(place) = peer_place(node, &forwarded.node) else { return };
    let Ok(holder) = CacheHolder::try_from(place + 1) else { return };
    let handled = worker_api::handle_forwarded_heartbeat(node, &forwarded.heartbeat, holder);
    let (answer, cache_entry) =
        handled.map_or((None, None), |handled| (Some(handled.body), handled.cache_entry));
    send_invalidations(node);
    let cache_entry = cache_entry.map(|(cached, token, valid_for)| CacheGrant {
        cached,
        token,
        valid_for,
        invalidated: node.serving.leader.invalidated(place, cached.term),
    });
    let response = ForwardedResponse {
        asker_incarnation: forwarded.incarnation,
        number: forwarded.number,
        answer: answer.filter(|body| body.len() <= MAX_CARRIED),
        cache_entry,
    };
    node.send_to_peer(&forwarded.node, &Frame::ForwardedResponse(response));
    node.wake_leader();
}

/// As the leader, lets a follower answer workers.
fn grant(node: &Node, request: &DelegationRequest) {
    let Some(place) = peer_place(node, &request.node) else { return };
    let Role::Leader { term } = node.leadership.borrow().role() else { return };
    send_invalidations(node);
    let leader = &node.serving.leader;
    leader.record_request(place, request.workers);
    let grant = DelegationGrant {
        term,
        asked: request.number,
        unknown_for: node.now().since(node.cancellations_known_until()),
        invalidated: leader.invalidated(place, term),
    };
    let redirected = shares(node).and_then(|shares| shares.move_from_follower(request.workers));
    let granted = DelegationGranted {
        node: node.settings.node_name.clone(),
        asker_incarnation: request.incarnation,
        grant,
        spare: redirected.map_or(0, |moved| moved.workers.min(u32::from(u16::MAX)) as u16),
        spare_to: redirected.map(|moved| destination(node, moved)),
    };
    node.send_to_peer(&request.node, &Frame::DelegationGranted(granted));
}

/// As the leader, redirects some of its own workers to the follower that has fewest.
fn balance(node: &Node) {
    let own = node.serving.worker_connections.get();
    match shares(node).and_then(|shares| shares.move_from_leader(own)) {
        Some(moved) => node.serving.redirection.set(moved.workers, Some(destination(node, moved))),
        None => node.serving.redirection.clear(),
    }
}

fn shares(node: &Node) -> Option<Shares> {
    Shares::of(node.serving.worker_connections.get(), &node.serving.leader.loads())
}

fn destination(node: &Node, moved: Move) -> String {
    node.settings.peers[moved.to].name.clone()
}

#[cfg(test)]
mod tests;
