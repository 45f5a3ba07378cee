//! The workers' API: their heartbeats, answered by the leader or by a follower on its behalf, and the
//! commands that are sent to them.

mod commands;
mod connection;
mod parsing;

use walnutlug_scheduler::leadership::election::Role;
use walnutlug_scheduler::leadership::fencing_token::FencingToken;
use walnutlug_scheduler::protocol::workers::{
    Heartbeat, HeartbeatResponse, Redirect, WorkerCommand,
};
use walnutlug_scheduler::reconciliation::heartbeat_cache::{
    CacheHolder, CachedHeartbeat, OWN_NODE,
};
use walnutlug_scheduler::reconciliation::heartbeats::{HeartbeatAnswer, HeartbeatRefusal};
use walnutlug_scheduler::time::TimeDelta;

use crate::http::server::Answer;
use crate::node::Node;

pub(crate) use commands::send_commands;
use connection::sequence_in;
pub(crate) use connection::{Repetition, WorkerConnection};
use parsing::parse_heartbeat;
pub(crate) use parsing::HeartbeatError;

/// Why this node may not answer a heartbeat; the worker should go elsewhere.
#[derive(Debug, Clone, Copy, PartialEq, Eq, thiserror::Error)]
pub(crate) enum NotAnswerable {
    /// It doesn't lead, or hasn't read the records yet.
    #[error("this node does not lead")]
    NotLeading,
    /// The scheduler refuses to answer it.
    #[error(transparent)]
    Refused(#[from] HeartbeatRefusal),
}

/// Why a forwarded heartbeat has no answer.
#[derive(Debug, thiserror::Error)]
pub(crate) enum ForwardedHeartbeatError {
    #[error("malformed heartbeat: {0}")]
    Malformed(#[from] HeartbeatError),
    #[error(transparent)]
    NotAnswerable(#[from] NotAnswerable),
    #[error("the answer can't be written: {0}")]
    Response(#[from] serde_json::Error),
}

/// Answers a worker's heartbeat, as the leader or on its behalf.
pub(crate) async fn heartbeat(node: &Node, connection: &WorkerConnection, body: &[u8]) -> Answer {
    let is_first = connection.record_heartbeat(node.delegation.worker_connections());
    // Not with its first heartbeat: a worker that can't reach the other node comes back at once, and
    // its lease must not expire between two nodes that send it to each other.
    let other_node = if is_first { None } else { node.delegation.another_node_for(body.len()) };
    if other_node.is_some() {
        return redirect_to(other_node);
    }
    if leads(node) {
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
pub(crate) fn answer_heartbeat(node: &Node, connection: &WorkerConnection, body: &[u8]) -> Answer {
    if let Some(token) = cached_response_token(node, connection, body) {
        return accepted(token, Vec::new());
    }
    let heartbeat = match parse_heartbeat(body) {
        Ok(heartbeat) => heartbeat,
        Err(error) => return Answer::error(400, error.to_string()),
    };
    let Ok(handled) = handle_heartbeat(node, body, &heartbeat, OWN_NODE) else {
        return redirect(node);
    };
    connection.cache_heartbeat(body, handled.cached);
    node.wake_leader();
    accepted(handled.token, handled.calls)
}

fn leads(node: &Node) -> bool {
    matches!(node.leadership.borrow().role(), Role::Leader { .. })
}

/// The token to answer with, if the heartbeat repeats the connection's last one and that left nothing
/// to do. Nothing is to be decided then either, so the leader isn't woken.
fn cached_response_token(
    node: &Node,
    connection: &WorkerConnection,
    body: &[u8],
) -> Option<FencingToken> {
    let Repetition { cached, sequence } = connection.repetition(body)?;
    if !leads(node) {
        return None;
    }
    let now = node.now();
    let mut scheduler = node.scheduler.borrow_mut();
    let scheduler = scheduler.as_mut()?;
    scheduler.authority.set_cancellations_known_until(node.cancellations_known_until());
    scheduler.answer_repeated_heartbeat(now, cached, sequence)
}

/// The leader's answer to a heartbeat.
struct HandledHeartbeat {
    token: FencingToken,
    calls: Vec<WorkerCommand>,
    /// Under which the heartbeat's repetitions are answered, if it left nothing to do.
    cached: Option<CachedHeartbeat>,
}

/// Gives the scheduler a heartbeat that may say something new.
fn handle_heartbeat(
    node: &Node,
    body: &[u8],
    heartbeat: &Heartbeat,
    holder: CacheHolder,
) -> Result<HandledHeartbeat, NotAnswerable> {
    // While the records aren't read yet, an answer would renew the lease of tasks that were cancelled
    // while nobody could write or read, perhaps almost as long ago as they may take to go.
    if !leads(node) {
        return Err(NotAnswerable::NotLeading);
    }
    let now = node.now();
    let mut scheduler = node.scheduler.borrow_mut();
    let scheduler = scheduler.as_mut().ok_or(NotAnswerable::NotLeading)?;
    scheduler.authority.set_cancellations_known_until(node.cancellations_known_until());
    node.log_lease_renewal(scheduler.authority.may_renew_leases(now));
    let HeartbeatAnswer { token, commands: calls } = scheduler.handle_heartbeat(now, heartbeat)?;
    // The number found in the text has to be the one that was read.
    let is_cacheable = calls.is_empty() && sequence_in(body) == Some(heartbeat.sequence);
    let cached = is_cacheable.then(|| scheduler.cache_heartbeat(now, heartbeat, holder)).flatten();
    Ok(HandledHeartbeat { token, calls, cached })
}

/// The answer with which a follower may answer a heartbeat's repetitions.
#[derive(Debug, Clone, Copy)]
pub(crate) struct CacheableResponse {
    /// The heartbeat.
    pub(crate) cached: CachedHeartbeat,
    /// The fencing token to answer with.
    pub(crate) token: FencingToken,
    /// For how long.
    pub(crate) valid_for: TimeDelta,
}

/// The leader's answer to a heartbeat that a follower forwarded.
#[derive(Debug)]
pub(crate) struct HandledForwardedHeartbeat {
    /// The body for the worker.
    pub(crate) body: Vec<u8>,
    /// If repetitions mean nothing new.
    pub(crate) cacheable: Option<CacheableResponse>,
}

/// Gives the scheduler a heartbeat that a follower forwarded.
///
/// # Errors
///
/// Then the worker should come itself, or go elsewhere.
pub(crate) fn handle_forwarded_heartbeat(
    node: &Node,
    body: &[u8],
    holder: CacheHolder,
) -> Result<HandledForwardedHeartbeat, ForwardedHeartbeatError> {
    let heartbeat = parse_heartbeat(body)?;
    let HandledHeartbeat { token, calls, cached } =
        handle_heartbeat(node, body, &heartbeat, holder)?;
    let cacheable = cached.map(|cached| CacheableResponse {
        cached,
        token,
        valid_for: valid_for(node, cached),
    });
    let body = serde_json::to_vec(&HeartbeatResponse { token, calls })?;
    Ok(HandledForwardedHeartbeat { body, cacheable })
}

fn valid_for(node: &Node, cached: CachedHeartbeat) -> TimeDelta {
    let scheduler = node.scheduler.borrow();
    let valid_for = scheduler.as_ref().map(|known| known.cached_for(node.now(), cached));
    valid_for.unwrap_or(TimeDelta::ZERO)
}

fn accepted(token: FencingToken, calls: Vec<WorkerCommand>) -> Answer {
    match serde_json::to_vec(&HeartbeatResponse { token, calls }) {
        Ok(body) => Answer::bytes(200, body),
        Err(error) => Answer::error(503, error.to_string()),
    }
}

/// Sends the worker to the leader, and counts that for the other nodes.
fn redirect(node: &Node) -> Answer {
    node.count_redirect();
    redirect_to(node.other_leader())
}

/// The worker should send its heartbeats to that node, or try the next one.
fn redirect_to(node: Option<String>) -> Answer {
    match serde_json::to_value(Redirect { node }) {
        Ok(body) => Answer::json(421, &body),
        Err(error) => Answer::error(503, error.to_string()),
    }
}

#[cfg(test)]
mod tests;
