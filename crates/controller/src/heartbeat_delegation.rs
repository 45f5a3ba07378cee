//! Workers' heartbeats answered by every node: followers pass on to the leader what may be new, and answer
//! repetitions themselves within the bound that `walnutlug_scheduler::reconciliation::delegation` keeps.

use std::cell::{Cell, RefCell};
use std::collections::HashMap;
use std::rc::Rc;

use tokio::sync::oneshot;
use tokio::time::{sleep, timeout, Duration, Instant};
use tracing::info;
use walnutlug_scheduler::leadership::election::Role;
use walnutlug_scheduler::leadership::fencing_token::{FencingToken, Term};
use walnutlug_scheduler::model::ids::MachineIndex;
use walnutlug_scheduler::reconciliation::delegation::{
    CacheGrant, DelegationGrant, FollowerDelegation,
};
use walnutlug_scheduler::reconciliation::repeated_heartbeats::CacheHolder;
use walnutlug_scheduler::tunables::Site;

use crate::http::server::Answer;
use crate::node::Node;
use crate::peers::{
    DelegationGranted, DelegationRequest, ForwardedHeartbeat, ForwardedResponse, Frame,
    RepeatedHeartbeat, MAX_CARRIED, MAX_ENTRIES,
};
use crate::worker_api::{self, CacheableResponse, Repetition, WorkerConnection};

/// How often the leader is told which machines repeated their heartbeats; they report every few seconds.
const HEARD_EVERY: Duration = Duration::from_millis(500);
/// Every how many of these the leader is asked for a grant.
const ASK_EVERY: u32 = 2;
/// How long the leader may take to answer a heartbeat; the worker waits for four seconds.
const ANSWER_WITHIN: Duration = Duration::from_secs(3);
/// A follower that has not asked for so long is sent no workers.
const FOLLOWER_FRESH: Duration = Duration::from_millis(2_500);
/// Workers that a node of a small fleet sends elsewhere in a second, at most.
const LEAST_MOVED: u32 = 40;
/// Seconds in which a large fleet can be spread anew.
const SPREAD_WITHIN: u32 = 60;
/// The leader's part of the workers is this many times smaller than a follower's.
const LEADER_LIGHTER: u32 = 3;
/// Workers beyond a node's part that are left where they are.
const LEFT_ALONE: u32 = 12;

/// What the leader knows of a follower.
#[derive(Debug, Default, Clone, Copy)]
struct Follower {
    asked: Option<Instant>,
    workers: u32,
    /// Marks withdrawn from it, and under which term.
    invalidated: (Term, u64),
}

impl Follower {
    fn is_fresh(&self) -> bool {
        self.asked.is_some_and(|at| at.elapsed() < FOLLOWER_FRESH)
    }

    fn invalidated_under(&mut self, term: Term) -> &mut u64 {
        if self.invalidated.0 != term {
            self.invalidated = (term, 0);
        }
        &mut self.invalidated.1
    }
}

/// Workers that should report to another node.
#[derive(Debug, Default)]
struct Move {
    workers: Cell<u32>,
    to: RefCell<Option<String>>,
}

impl Move {
    fn set(&self, workers: u32, to: Option<String>) {
        self.workers.set(workers);
        *self.to.borrow_mut() = to;
    }

    fn take(&self) -> Option<String> {
        let left = self.workers.get().checked_sub(1)?;
        self.workers.set(left);
        self.to.borrow().clone()
    }
}

/// A node's part in answering reports, as a follower and as the leader.
pub struct HeartbeatDelegation {
    /// Connections on which workers have reported.
    pub workers: Rc<Cell<u32>>,
    leader: RefCell<FollowerDelegation>,
    waiting: RefCell<HashMap<u64, oneshot::Sender<ForwardedResponse>>>,
    /// Reports that may wait for the leader at once.
    most_waiting: usize,
    last_forwarded: Cell<u64>,
    heard: RefCell<Vec<RepeatedHeartbeat>>,
    /// By the place of the node among the peers.
    followers: RefCell<Vec<Follower>>,
    moving: Move,
}

impl HeartbeatDelegation {
    /// With nothing granted and no followers. Each connection has at most one heartbeat under way, so as
    /// many may wait as there may be connections: after an outage every heartbeat differs from the last.
    pub fn new(site: &Site, peers: usize, most_waiting: usize) -> HeartbeatDelegation {
        HeartbeatDelegation {
            workers: Rc::default(),
            leader: RefCell::new(FollowerDelegation::new(site)),
            waiting: RefCell::default(),
            most_waiting,
            last_forwarded: Cell::new(0),
            heard: RefCell::default(),
            followers: RefCell::new(vec![Follower::default(); peers]),
            moving: Move::default(),
        }
    }

    /// Whether other nodes hold workers' connections now.
    pub fn has_followers(&self) -> bool {
        self.followers.borrow().iter().any(|follower| follower.is_fresh() && follower.workers > 0)
    }

    /// The node to which the worker should report instead, if this one has more than its part.
    pub fn another_node_for(&self, report_bytes: usize) -> Option<String> {
        // A longer report would come back: followers don't pass it on.
        if report_bytes > MAX_CARRIED / 2 {
            return None;
        }
        self.moving.take()
    }
}

/// The token with which a follower may answer the heartbeat, if it repeats a settled one.
pub fn repeated(node: &Node, connection: &WorkerConnection, body: &[u8]) -> Option<FencingToken> {
    let Repetition { cached, sequence } = connection.repetition(body)?;
    let token = node.serving.leader.borrow().cached_response_token(node.now(), cached)?;
    let heard = RepeatedHeartbeat { machine: cached.machine, number: cached.number, sequence };
    node.serving.heard.borrow_mut().push(heard);
    Some(token)
}

/// Passes the heartbeat on to the leader. `None`: the worker should go elsewhere.
pub async fn forward(node: &Node, connection: &WorkerConnection, body: &[u8]) -> Option<Answer> {
    let serving = &node.serving;
    let term = serving.leader.borrow().forwarding_term(node.now())?;
    let leader = node.leader_under(term)?;
    if body.len() > MAX_CARRIED || serving.waiting.borrow().len() >= serving.most_waiting {
        return None;
    }
    let number = serving.last_forwarded.get() + 1;
    serving.last_forwarded.set(number);
    let (answered, answer) = oneshot::channel();
    serving.waiting.borrow_mut().insert(number, answered);
    node.send_to_peer(
        &leader,
        &Frame::ForwardedHeartbeat(ForwardedHeartbeat {
            node: node.settings.node_name.clone(),
            incarnation: node.incarnation,
            number,
            heartbeat: body.to_vec(),
        }),
    );
    let answer = timeout(ANSWER_WITHIN, answer).await;
    serving.waiting.borrow_mut().remove(&number);
    let ForwardedResponse { answer, cache_entry, .. } = answer.ok()?.ok()?;
    let cache_entry =
        cache_entry.filter(|cache_entry| serving.leader.borrow_mut().add(node.now(), cache_entry));
    connection.remember(body, cache_entry.map(|cache_entry| cache_entry.cached));
    Some(Answer::bytes(200, answer?))
}

/// Keeps up this node's part: as a follower it tells the leader who was heard and asks for grants, as
/// the leader it sees to the balance.
pub async fn keep(node: Rc<Node>) {
    let mut turn = 0u32;
    loop {
        sleep(HEARD_EVERY).await;
        turn = turn.wrapping_add(1);
        send_repeated_heartbeats(&node);
        if !turn.is_multiple_of(ASK_EVERY) {
            continue;
        }
        match node.leadership.borrow().role() {
            Role::Leader { .. } => balance(&node),
            Role::Loading { .. } | Role::Candidate | Role::Follower => ask(&node),
        }
    }
}

/// Asks whoever leads for a grant.
pub fn ask(node: &Node) {
    let Some(leader) = node.other_leader() else { return };
    let number = node.serving.leader.borrow_mut().ask(node.now());
    let ask = DelegationRequest {
        node: node.settings.node_name.clone(),
        incarnation: node.incarnation,
        number,
        workers: node.serving.workers.get(),
    };
    node.send_to_peer(&leader, &Frame::DelegationRequest(ask));
}

/// Asks at once if the leader of that term has not granted anything yet.
pub fn ask_new_leader(node: &Node, term: Term) {
    if node.serving.leader.borrow().term().is_none_or(|granted| granted < term) {
        ask(node);
    }
}

fn send_repeated_heartbeats(node: &Node) {
    let heard = std::mem::take(&mut *node.serving.heard.borrow_mut());
    let term = node.serving.leader.borrow().term();
    let leader = term.and_then(|term| Some((term, node.leader_under(term)?)));
    let Some((term, leader)) = leader else { return };
    for some in heard.chunks(MAX_ENTRIES) {
        node.send_to_peer(&leader, &Frame::RepeatedHeartbeats { term, heard: some.to_vec() });
    }
}

/// Tells followers which of their marks hold no more. Before anything that says how far the leader's
/// knowledge goes, since it is worth nothing without these.
pub fn send_invalidations(node: &Node) {
    let (term, invalidated) = {
        let mut scheduler = node.scheduler.borrow_mut();
        let Some(scheduler) = scheduler.as_mut() else { return };
        (scheduler.term, scheduler.cluster.take_invalidated())
    };
    if invalidated.is_empty() {
        return;
    }
    let mut by_holder: HashMap<CacheHolder, Vec<(MachineIndex, u64)>> = HashMap::new();
    for one in invalidated {
        by_holder.entry(one.holder).or_default().push((one.cached.machine, one.cached.number));
    }
    for (holder, cache_entries) in by_holder {
        let peer = usize::from(holder) - 1;
        for some in cache_entries.chunks(MAX_ENTRIES) {
            let first = {
                let mut followers = node.serving.followers.borrow_mut();
                let count = followers[peer].invalidated_under(term);
                let first = *count + 1;
                *count += some.len() as u64;
                first
            };
            let frame = Frame::Invalidated { term, first, cache_entries: some.to_vec() };
            node.send_to_peer(&node.settings.peers[peer].name, &frame);
        }
    }
}

/// One of the frames of this module has come.
pub fn frame(node: &Node, frame: Frame) {
    match frame {
        Frame::ForwardedHeartbeat(heartbeat) => answer_forwarded(node, &heartbeat),
        Frame::ForwardedResponse(answer) if answer.asker_incarnation == node.incarnation => {
            if let Some(waiting) = node.serving.waiting.borrow_mut().remove(&answer.number) {
                let _ = waiting.send(answer);
            }
        }
        Frame::RepeatedHeartbeats { term, heard } => record_repeated_heartbeats(node, term, &heard),
        Frame::DelegationRequest(ask) => grant(node, &ask),
        Frame::DelegationGranted(granting) if granting.asker_incarnation == node.incarnation => {
            let now = node.now();
            let before = node.serving.leader.borrow().term();
            if node.serving.leader.borrow_mut().granted(now, &granting.grant) {
                let term = granting.grant.term;
                if before != Some(term) {
                    info!(term = term.get(), leader = %granting.node, "answering workers on the leader's behalf");
                }
                node.serving.moving.set(u32::from(granting.spare), granting.spare_to);
            }
        }
        Frame::Invalidated { term, first, cache_entries } => {
            node.serving.leader.borrow_mut().invalidate(term, first, &cache_entries);
        }
        _ => {}
    }
}

fn record_repeated_heartbeats(node: &Node, term: Term, heard: &[RepeatedHeartbeat]) {
    let now = node.now();
    let mut scheduler = node.scheduler.borrow_mut();
    let Some(scheduler) = scheduler.as_mut().filter(|s| s.term == term) else { return };
    for one in heard {
        let cached = walnutlug_scheduler::reconciliation::repeated_heartbeats::CachedHeartbeat {
            term,
            machine: one.machine,
            number: one.number,
        };
        scheduler.record_repeated_heartbeat(now, cached, one.sequence);
    }
}

/// The place of the node among the peers, from which its number as a holder of marks follows.
fn peer_place(node: &Node, name: &str) -> Option<(usize, CacheHolder)> {
    let place = node.settings.peers.iter().position(|peer| peer.name == name)?;
    Some((place, CacheHolder::try_from(place + 1).ok()?))
}

fn answer_forwarded(node: &Node, forwarded: &ForwardedHeartbeat) {
    let Some((place, holder)) = peer_place(node, &forwarded.node) else { return };
    let (answer, cache_entry) =
        match worker_api::handle_forwarded_heartbeat(node, &forwarded.heartbeat, holder) {
            Ok(handled) => (Some(handled.body), handled.cacheable),
            Err(_) => (None, None),
        };
    send_invalidations(node);
    let invalidated = |term| *node.serving.followers.borrow_mut()[place].invalidated_under(term);
    let cache_entry = cache_entry.map(|CacheableResponse { cached, token, valid_for }| {
        CacheGrant { cached, token, valid_for, invalidated: invalidated(cached.term) }
    });
    let answer = answer.filter(|body| body.len() <= MAX_CARRIED);
    let (asker_incarnation, number) = (forwarded.incarnation, forwarded.number);
    let frame = Frame::ForwardedResponse(ForwardedResponse {
        asker_incarnation,
        number,
        answer,
        cache_entry,
    });
    node.send_to_peer(&forwarded.node, &frame);
    node.wake_leader();
}

fn grant(node: &Node, ask: &DelegationRequest) {
    let Some((place, _)) = peer_place(node, &ask.node) else { return };
    let Role::Leader { term } = node.leadership.borrow().role() else { return };
    send_invalidations(node);
    let mut followers = node.serving.followers.borrow_mut();
    let follower = &mut followers[place];
    follower.asked = Some(Instant::now());
    follower.workers = ask.workers;
    let invalidated = *follower.invalidated_under(term);
    drop(followers);
    let unknown_for = node.now().since(node.cancellations_known_until());
    let (spare, spare_to) = spare_of(node, place);
    let granting = DelegationGranted {
        node: node.settings.node_name.clone(),
        asker_incarnation: ask.incarnation,
        grant: DelegationGrant { term, asked: ask.number, unknown_for, invalidated },
        spare,
        spare_to,
    };
    node.send_to_peer(&ask.node, &Frame::DelegationGranted(granting));
}

/// How the workers should be spread: the leader's part, a follower's part, and the follower with fewest.
struct Parts {
    leader: u32,
    follower: u32,
    fewest: usize,
    /// Workers that the leader may move in a second.
    most_moved: u32,
}

fn parts(node: &Node) -> Option<Parts> {
    let followers = node.serving.followers.borrow();
    let fresh = || followers.iter().enumerate().filter(|(_, follower)| follower.is_fresh());
    let (fewest, _) = fresh().min_by_key(|(_, follower)| follower.workers)?;
    let count = fresh().count() as u32;
    let held: u32 = fresh().map(|(_, follower)| follower.workers).sum();
    let all = held + node.serving.workers.get();
    let leader = all / (LEADER_LIGHTER * count + 1);
    Some(Parts { leader, follower: (all - leader) / count, fewest, most_moved: most_moved(all) })
}

/// How many of all workers a node moves in a second: few, but the largest fleet is spread in a minute.
fn most_moved(all: u32) -> u32 {
    (all / SPREAD_WITHIN).max(LEAST_MOVED)
}

/// The leader sends some of its own workers to the follower that has fewest.
fn balance(node: &Node) {
    let moving = parts(node).and_then(|parts| {
        let beyond = node.serving.workers.get().checked_sub(parts.leader)?;
        (beyond > LEFT_ALONE).then_some((beyond.min(parts.most_moved), parts.fewest))
    });
    match moving {
        Some((workers, to)) => {
            node.serving.moving.set(workers, Some(node.settings.peers[to].name.clone()));
        }
        None => node.serving.moving.set(0, None),
    }
}

/// How many workers the follower should send to which other one. Only what is far beyond its part: the
/// counts are a second old, and workers should not go back and forth.
fn spare_of(node: &Node, place: usize) -> (u16, Option<String>) {
    let Some(parts) = parts(node) else { return (0, None) };
    let followers = node.serving.followers.borrow();
    let workers = followers[place].workers;
    let beyond = workers.saturating_sub(parts.follower);
    if beyond <= parts.follower / 4 + LEFT_ALONE
        || followers[parts.fewest].workers >= parts.follower
    {
        return (0, None);
    }
    let spare = (beyond / 2).min(parts.most_moved / 2).min(u32::from(u16::MAX)) as u16;
    (spare, Some(node.settings.peers[parts.fewest].name.clone()))
}

#[cfg(test)]
mod tests;
