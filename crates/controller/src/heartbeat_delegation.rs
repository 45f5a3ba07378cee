//! Workers' reports answered by every node: followers pass on to the leader what may be new, and answer
//! repetitions themselves within the bound that `walnutlug_scheduler::reconciliation::delegation` keeps.

use std::cell::{Cell, RefCell};
use std::collections::HashMap;
use std::rc::Rc;

use tokio::sync::oneshot;
use tokio::time::{sleep, timeout, Duration, Instant};
use tracing::info;
use walnutlug_scheduler::leadership::election::Role;
use walnutlug_scheduler::model::task::MachineIx;
use walnutlug_scheduler::reconciliation::delegation::{Grant, NewMark, ServedLeader};
use walnutlug_scheduler::reconciliation::repeated_heartbeats::Holder;
use walnutlug_scheduler::tunables::Site;

use crate::http::server::Answer;
use crate::node::Node;
use crate::peers::{
    AskGrant, ForwardedAnswer, ForwardedReport, Frame, Granting, Heard, MOST_CARRIED, MOST_ENTRIES,
};
use crate::worker_api::{self, WorkerConnection};

/// How often the leader is told which machines repeated their reports; they report every few seconds.
const HEARD_EVERY: Duration = Duration::from_millis(500);
/// Every how many of these the leader is asked for a grant.
const ASK_EVERY: u32 = 2;
/// How long the leader may take to answer a report; the worker waits for four seconds.
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
    withdrawn: (u64, u64),
}

impl Follower {
    fn is_fresh(&self) -> bool {
        self.asked.is_some_and(|at| at.elapsed() < FOLLOWER_FRESH)
    }

    fn withdrawn_under(&mut self, term: u64) -> &mut u64 {
        if self.withdrawn.0 != term {
            self.withdrawn = (term, 0);
        }
        &mut self.withdrawn.1
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
pub struct Serving {
    /// Connections on which workers have reported.
    pub workers: Rc<Cell<u32>>,
    leader: RefCell<ServedLeader>,
    waiting: RefCell<HashMap<u64, oneshot::Sender<ForwardedAnswer>>>,
    /// Reports that may wait for the leader at once.
    most_waiting: usize,
    last_forwarded: Cell<u64>,
    heard: RefCell<Vec<Heard>>,
    /// By the place of the node among the peers.
    followers: RefCell<Vec<Follower>>,
    moving: Move,
}

impl Serving {
    /// With nothing granted and no followers. Each connection has at most one report under way, so as
    /// many may wait as there may be connections: after an outage every report differs from the last.
    pub fn new(site: &Site, peers: usize, most_waiting: usize) -> Serving {
        Serving {
            workers: Rc::default(),
            leader: RefCell::new(ServedLeader::new(site)),
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
        if report_bytes > MOST_CARRIED / 2 {
            return None;
        }
        self.moving.take()
    }
}

/// The token with which a follower may answer the report, if it repeats a settled one.
pub fn repeated(node: &Node, connection: &WorkerConnection, body: &[u8]) -> Option<u64> {
    let (settled, sequence) = connection.repeated_by(body)?;
    let token = node.serving.leader.borrow().may_repeat(node.now(), settled)?;
    let heard = Heard { machine: settled.machine, number: settled.number, sequence };
    node.serving.heard.borrow_mut().push(heard);
    Some(token)
}

/// Passes the report on to the leader. `None`: the worker should go elsewhere.
pub async fn forward(node: &Node, connection: &WorkerConnection, body: &[u8]) -> Option<Answer> {
    let serving = &node.serving;
    let term = serving.leader.borrow().may_forward(node.now())?;
    let leader = node.leader_under(term)?;
    if body.len() > MOST_CARRIED || serving.waiting.borrow().len() >= serving.most_waiting {
        return None;
    }
    let number = serving.last_forwarded.get() + 1;
    serving.last_forwarded.set(number);
    let (answered, answer) = oneshot::channel();
    serving.waiting.borrow_mut().insert(number, answered);
    node.tell_peer(
        &leader,
        &Frame::ForwardedReport(ForwardedReport {
            node: node.settings.node_name.clone(),
            life: node.life,
            number,
            report: body.to_vec(),
        }),
    );
    let answer = timeout(ANSWER_WITHIN, answer).await;
    serving.waiting.borrow_mut().remove(&number);
    let ForwardedAnswer { answer, mark, .. } = answer.ok()?.ok()?;
    let mark = mark.filter(|mark| serving.leader.borrow_mut().add(node.now(), mark));
    connection.remember(body, mark.map(|mark| mark.settled));
    Some(Answer { status: 200, body: answer?, retry_after: None, close: false, idle: None })
}

/// Keeps up this node's part: as a follower it tells the leader who was heard and asks for grants, as
/// the leader it sees to the balance.
pub async fn keep(node: Rc<Node>) {
    let mut turn = 0u32;
    loop {
        sleep(HEARD_EVERY).await;
        turn = turn.wrapping_add(1);
        tell_heard(&node);
        if !turn.is_multiple_of(ASK_EVERY) {
            continue;
        }
        match node.leadership.borrow().role() {
            Role::Leading { .. } => balance(&node),
            Role::Loading { .. } | Role::Standing | Role::Following => ask(&node),
        }
    }
}

/// Asks whoever leads for a grant.
pub fn ask(node: &Node) {
    let Some(leader) = node.other_leader() else { return };
    let number = node.serving.leader.borrow_mut().ask(node.now());
    let ask = AskGrant {
        node: node.settings.node_name.clone(),
        life: node.life,
        number,
        workers: node.serving.workers.get(),
    };
    node.tell_peer(&leader, &Frame::AskGrant(ask));
}

/// Asks at once if the leader of that term has not granted anything yet.
pub fn ask_new_leader(node: &Node, term: u64) {
    if node.serving.leader.borrow().term().is_none_or(|granted| granted < term) {
        ask(node);
    }
}

fn tell_heard(node: &Node) {
    let heard = std::mem::take(&mut *node.serving.heard.borrow_mut());
    let term = node.serving.leader.borrow().term();
    let leader = term.and_then(|term| Some((term, node.leader_under(term)?)));
    let Some((term, leader)) = leader else { return };
    for some in heard.chunks(MOST_ENTRIES) {
        node.tell_peer(&leader, &Frame::Heard { term, heard: some.to_vec() });
    }
}

/// Tells followers which of their marks hold no more. Before anything that says how far the leader's
/// knowledge goes, since it is worth nothing without these.
pub fn tell_withdrawn(node: &Node) {
    let (term, withdrawn) = {
        let mut scheduler = node.scheduler.borrow_mut();
        let Some(scheduler) = scheduler.as_mut() else { return };
        (scheduler.term, scheduler.take_withdrawn())
    };
    if withdrawn.is_empty() {
        return;
    }
    let mut by_holder: HashMap<Holder, Vec<(MachineIx, u64)>> = HashMap::new();
    for one in withdrawn {
        by_holder.entry(one.holder).or_default().push((one.settled.machine, one.settled.number));
    }
    for (holder, marks) in by_holder {
        let peer = usize::from(holder) - 1;
        for some in marks.chunks(MOST_ENTRIES) {
            let first = {
                let mut followers = node.serving.followers.borrow_mut();
                let count = followers[peer].withdrawn_under(term);
                let first = *count + 1;
                *count += some.len() as u64;
                first
            };
            let frame = Frame::Withdrawn { term, first, marks: some.to_vec() };
            node.tell_peer(&node.settings.peers[peer].name, &frame);
        }
    }
}

/// One of the frames of this module has come.
pub fn frame(node: &Node, frame: Frame) {
    match frame {
        Frame::ForwardedReport(report) => answer_forwarded(node, &report),
        Frame::ForwardedAnswer(answer) if answer.asker_life == node.life => {
            if let Some(waiting) = node.serving.waiting.borrow_mut().remove(&answer.number) {
                let _ = waiting.send(answer);
            }
        }
        Frame::Heard { term, heard } => take_heard(node, term, &heard),
        Frame::AskGrant(ask) => grant(node, &ask),
        Frame::Granting(granting) if granting.asker_life == node.life => {
            let now = node.now();
            let before = node.serving.leader.borrow().term();
            if node.serving.leader.borrow_mut().granted(now, &granting.grant) {
                let term = granting.grant.term;
                if before != Some(term) {
                    info!(term, leader = %granting.node, "answering workers on the leader's behalf");
                }
                node.serving.moving.set(u32::from(granting.spare), granting.spare_to);
            }
        }
        Frame::Withdrawn { term, first, marks } => {
            node.serving.leader.borrow_mut().withdraw(term, first, &marks);
        }
        _ => {}
    }
}

fn take_heard(node: &Node, term: u64, heard: &[Heard]) {
    let now = node.now();
    let mut scheduler = node.scheduler.borrow_mut();
    let Some(scheduler) = scheduler.as_mut().filter(|s| s.term == term) else { return };
    for one in heard {
        let settled = walnutlug_scheduler::reconciliation::repeated_heartbeats::SettledReport {
            term,
            machine: one.machine,
            number: one.number,
        };
        scheduler.heard_unchanged(now, settled, one.sequence);
    }
}

/// The place of the node among the peers, from which its number as a holder of marks follows.
fn peer_place(node: &Node, name: &str) -> Option<(usize, Holder)> {
    let place = node.settings.peers.iter().position(|peer| peer.name == name)?;
    Some((place, Holder::try_from(place + 1).ok()?))
}

fn answer_forwarded(node: &Node, forwarded: &ForwardedReport) {
    let Some((place, holder)) = peer_place(node, &forwarded.node) else { return };
    let (answer, mark) = match worker_api::read_forwarded(node, &forwarded.report, holder) {
        Some(read) => (Some(read.body), read.mark),
        None => (None, None),
    };
    tell_withdrawn(node);
    let withdrawn = |term| *node.serving.followers.borrow_mut()[place].withdrawn_under(term);
    let mark = mark.map(|(settled, token, valid_for)| NewMark {
        settled,
        token,
        valid_for,
        withdrawn: withdrawn(settled.term),
    });
    let answer = answer.filter(|body| body.len() <= MOST_CARRIED);
    let (asker_life, number) = (forwarded.life, forwarded.number);
    let frame = Frame::ForwardedAnswer(ForwardedAnswer { asker_life, number, answer, mark });
    node.tell_peer(&forwarded.node, &frame);
    node.pump();
}

fn grant(node: &Node, ask: &AskGrant) {
    let Some((place, _)) = peer_place(node, &ask.node) else { return };
    let Role::Leading { term } = node.leadership.borrow().role() else { return };
    tell_withdrawn(node);
    let mut followers = node.serving.followers.borrow_mut();
    let follower = &mut followers[place];
    follower.asked = Some(Instant::now());
    follower.workers = ask.workers;
    let withdrawn = *follower.withdrawn_under(term);
    drop(followers);
    let unknown_for = node.now().since(node.known_until());
    let (spare, spare_to) = spare_of(node, place);
    let granting = Granting {
        node: node.settings.node_name.clone(),
        asker_life: ask.life,
        grant: Grant { term, asked: ask.number, unknown_for, withdrawn },
        spare,
        spare_to,
    };
    node.tell_peer(&ask.node, &Frame::Granting(granting));
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
