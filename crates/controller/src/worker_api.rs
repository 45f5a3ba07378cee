//! The workers: their heartbeats, and commands sent to them directly.

use std::net::SocketAddrV4;
use std::time::Duration;

use walnutlug_scheduler::command::MessageOutcome;
use walnutlug_scheduler::leadership::election::Role;
use walnutlug_scheduler::leadership::fencing_token::FencingToken;
use walnutlug_scheduler::model::ids::AgentEpoch;
use walnutlug_scheduler::protocol::workers::{
    CommandsRequest, Heartbeat, HeartbeatResponse, Redirect, WorkerCommand,
};
use walnutlug_scheduler::reconciliation::repeated_heartbeats::{
    CacheHolder, CachedHeartbeat, OWN_NODE,
};
use walnutlug_scheduler::time::TimeDelta;

use crate::http::client::{Client, Failure};
use crate::http::server::Answer;
use crate::node::Node;

mod connection;
use connection::sequence_in;
pub use connection::WorkerConnection;

/// Reads a heartbeat; what is malformed changes nothing.
fn parse(body: &[u8]) -> Result<Heartbeat, String> {
    let heartbeat: Heartbeat = serde_json::from_slice(body).map_err(|e| e.to_string())?;
    if heartbeat.machine.is_empty() || heartbeat.machine.len() > 64 {
        return Err("tree: must have 1 to 64 bytes".to_owned());
    }
    if heartbeat.address.parse::<SocketAddrV4>().is_err() {
        return Err("address: must be an IPv4 address and a port".to_owned());
    }
    if heartbeat.interruption_notice_s.is_some_and(|s| !s.is_finite()) {
        return Err("shakeS: must be a number".to_owned());
    }
    Ok(heartbeat)
}

/// Answers a worker's heartbeat, as the leader or on its behalf.
pub async fn heartbeat(node: &Node, connection: &WorkerConnection, body: &[u8]) -> Answer {
    let first = connection.count(node.delegation.worker_connections());
    // Not with its first heartbeat: a worker that can't reach the other node comes back at once, and its
    // lease must not run out between two nodes that send it to each other.
    let other = if first { None } else { node.delegation.another_node_for(body.len()) };
    if let Some(other) = other {
        return redirect_to(Some(other));
    }
    if matches!(node.leadership.borrow().role(), Role::Leader { .. }) {
        return answer_heartbeat(node, connection, body);
    }
    if let Some(token) = node.repeated_heartbeat_token(connection, body) {
        return accepted(token, Vec::new());
    }
    match node.forward_heartbeat(connection, body).await {
        Some(answer) => answer,
        None => redirect(node),
    }
}

/// Answers a worker's heartbeat as the leader.
pub fn answer_heartbeat(node: &Node, connection: &WorkerConnection, body: &[u8]) -> Answer {
    if let Some(token) = cached_response_token(node, connection, body) {
        return accepted(token, Vec::new());
    }
    let heartbeat = match parse(body) {
        Ok(heartbeat) => heartbeat,
        Err(e) => return Answer::error(400, e),
    };
    let Some(read) = handle_heartbeat(node, body, &heartbeat, OWN_NODE) else {
        return redirect(node);
    };
    connection.remember(body, read.cached);
    node.wake_leader();
    accepted(read.token, read.calls)
}

/// The token to answer with, if the heartbeat is the connection's last one again and that left nothing
/// to do. Nothing is to be decided then either, so the leader isn't woken.
fn cached_response_token(
    node: &Node,
    connection: &WorkerConnection,
    body: &[u8],
) -> Option<FencingToken> {
    let (cached, sequence) = connection.repeated_by(body)?;
    if !matches!(node.leadership.borrow().role(), Role::Leader { .. }) {
        return None;
    }
    let now = node.now();
    let mut scheduler = node.scheduler.borrow_mut();
    let scheduler = scheduler.as_mut()?;
    scheduler.cancellations_known_until = node.cancellations_known_until();
    scheduler.answer_repeated_heartbeat(now, cached, sequence)
}

/// The leader's answer to a heartbeat, and the mark if it left nothing to do.
struct HandledHeartbeat {
    token: FencingToken,
    calls: Vec<WorkerCommand>,
    cached: Option<CachedHeartbeat>,
}

/// Reads a heartbeat that may say something new. `None`: this node may not answer it.
fn handle_heartbeat(
    node: &Node,
    body: &[u8],
    heartbeat: &Heartbeat,
    holder: CacheHolder,
) -> Option<HandledHeartbeat> {
    // While the records aren't read yet, an answer would renew the lease of tasks that were cancelled
    // while nobody could write or read, perhaps almost as long ago as they may take to go.
    if !matches!(node.leadership.borrow().role(), Role::Leader { .. }) {
        return None;
    }
    let now = node.now();
    let mut scheduler = node.scheduler.borrow_mut();
    let scheduler = scheduler.as_mut()?;
    scheduler.cancellations_known_until = node.cancellations_known_until();
    node.log_lease_renewal(scheduler.may_renew_leases(now));
    let (token, calls) = scheduler.heartbeat(now, heartbeat)?;
    // The number found in the text has to be the one that was read.
    let may_settle = calls.is_empty() && sequence_in(body) == Some(heartbeat.sequence);
    let cached = may_settle.then(|| scheduler.cache_heartbeat(now, heartbeat, holder)).flatten();
    Some(HandledHeartbeat { token, calls, cached })
}

/// The leader's answer to a heartbeat that a follower passed on.
pub struct HandledForwardedHeartbeat {
    /// The body for the worker.
    pub body: Vec<u8>,
    /// If repetitions mean nothing: the mark, the token to answer with, and for how long.
    pub cache_entry: Option<(CachedHeartbeat, FencingToken, TimeDelta)>,
}

/// Reads a heartbeat that a follower passed on. `None`: the worker should come itself, or go elsewhere.
pub fn handle_forwarded_heartbeat(
    node: &Node,
    body: &[u8],
    holder: CacheHolder,
) -> Option<HandledForwardedHeartbeat> {
    let heartbeat = parse(body).ok()?;
    let HandledHeartbeat { token, calls, cached } =
        handle_heartbeat(node, body, &heartbeat, holder)?;
    let scheduler = node.scheduler.borrow();
    let valid_for =
        |s| scheduler.as_ref().map_or(TimeDelta::ZERO, |known| known.cached_for(node.now(), s));
    let cache_entry = cached.map(|cached| (cached, token, valid_for(cached)));
    let body = serde_json::to_vec(&HeartbeatResponse { token, calls }).ok()?;
    Some(HandledForwardedHeartbeat { body, cache_entry })
}

fn accepted(token: FencingToken, calls: Vec<WorkerCommand>) -> Answer {
    match serde_json::to_vec(&HeartbeatResponse { token, calls }) {
        Ok(body) => Answer { status: 200, body, retry_after: None, close: false, idle: None },
        Err(e) => Answer::error(503, e.to_string()),
    }
}

fn redirect(node: &Node) -> Answer {
    node.count_redirect();
    redirect_to(node.other_leader())
}

/// The worker should report to that node, or try the next one.
fn redirect_to(node: Option<String>) -> Answer {
    match serde_json::to_value(Redirect { node }) {
        Ok(body) => Answer::json(421, &body),
        Err(e) => Answer::error(503, e.to_string()),
    }
}

/// Sends commands once. Never again: whether they arrived is for the worker's heartbeats to tell.
pub async fn send_commands(
    client: &Client,
    address: &str,
    token: FencingToken,
    agent_epoch: AgentEpoch,
    calls: &[WorkerCommand],
) -> MessageOutcome {
    let Ok(addr) = address.parse::<SocketAddrV4>() else { return MessageOutcome::NotSent };
    let Ok(body) = serde_json::to_vec(&CommandsRequest { token, agent_epoch, calls }) else {
        return MessageOutcome::NotSent;
    };
    let within = Duration::from_secs(2);
    match client.request(addr, "POST", "/commands", &body, within).await {
        Ok(r) if r.status == 200 || r.status == 409 => match parse(&r.body) {
            Ok(heartbeat) => MessageOutcome::Answered(Box::new(heartbeat)),
            Err(_) => MessageOutcome::Indeterminate,
        },
        Ok(_) | Err(Failure::Lost) => MessageOutcome::Indeterminate,
        Err(Failure::NotSent) => MessageOutcome::NotSent,
    }
}

#[cfg(test)]
mod tests;
