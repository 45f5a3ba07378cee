//! The worker-facing API: answers workers' heartbeats, as the leader or as a follower on its behalf, and
//! sends commands to workers.

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
use connection::parse_sequence;
pub(crate) use connection::{Repetition, WorkerConnection};
use parsing::parse_heartbeat;
pub(crate) use parsing::HeartbeatError;

/// Reason why this node may not answer a heartbeat; the worker is redirected to another node.
#[derive(Debug, Clone, Copy, PartialEq, Eq, thiserror::Error)]
pub(crate) enum CannotAnswer {
    /// This node is not the leader, or is still loading the stored records after its election.
    #[error("this node is not the leader or has not loaded the records yet")]
    NotLeader,
    /// The scheduler rejected the heartbeat.
    #[error(transparent)]
    Refused(#[from] HeartbeatRefusal),
}

/// Reason why the leader returns no response to a heartbeat that a follower forwarded.
#[derive(Debug, thiserror::Error)]
pub(crate) enum ForwardedHeartbeatError {
    #[error("malformed heartbeat: {0}")]
    Malformed(#[from] HeartbeatError),
    #[error(transparent)]
    CannotAnswer(#[from] CannotAnswer),
    #[error("failed to serialize the heartbeat response: {0}")]
    Response(#[from] serde_json::Error),
}

/// Answers a worker's heartbeat: directly as the leader, from the cache as a follower, or by forwarding
/// it to the leader. Redirects the worker if none of these is possible.
pub(crate) async fn heartbeat(node: &Node, connection: &WorkerConnection, body: &[u8]) -> Answer {
    let is_first = connection.record_heartbeat(node.delegation.worker_connections());
    // The first heartbeat on a connection is never redirected for load: a worker that can't reach the
    // other node comes straight back, and its lease must not expire while two nodes redirect it to
    // each other.
    let other_node = if is_first { None } else { node.delegation.take_redirect_target(body.len()) };
    if other_node.is_some() {
        return redirect_to(other_node);
    }
    if is_leader(node) {
        return answer_heartbeat(node, connection, body);
    }
    if let Some(token) = node.repeated_heartbeat_token(connection, body) {
        return heartbeat_response(token, Vec::new());
    }
    match node.forward_heartbeat(connection, body).await {
        Some(answer) => answer,
        None => redirect(node),
    }
}

/// Answers a worker's heartbeat as the leader, from the connection's cached heartbeat if it repeats it.
pub(crate) fn answer_heartbeat(node: &Node, connection: &WorkerConnection, body: &[u8]) -> Answer {
    if let Some(token) = cached_response_token(node, connection, body) {
        return heartbeat_response(token, Vec::new());
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
    heartbeat_response(handled.token, handled.calls)
}

fn is_leader(node: &Node) -> bool {
    matches!(node.leadership.borrow().role(), Role::Leader { .. })
}

/// Returns the fencing token for the response if the body repeats the connection's cached heartbeat and
/// the cache entry is still valid. There is then nothing to decide, so the leader loop isn't woken.
fn cached_response_token(
    node: &Node,
    connection: &WorkerConnection,
    body: &[u8],
) -> Option<FencingToken> {
    let Repetition { cached, sequence } = connection.repetition(body)?;
    if !is_leader(node) {
        return None;
    }
    let now = node.now();
    let mut scheduler = node.scheduler.borrow_mut();
    let scheduler = scheduler.as_mut()?;
    scheduler.authority.set_cancellations_known_until(node.cancellations_known_until());
    scheduler.answer_repeated_heartbeat(now, cached, sequence)
}

/// The scheduler's response to a heartbeat, before it is serialized.
struct HandledHeartbeat {
    token: FencingToken,
    calls: Vec<WorkerCommand>,
    /// Cache entry for answering repetitions; set only if the heartbeat required no command.
    cached: Option<CachedHeartbeat>,
}

/// Passes a heartbeat to the scheduler and caches it for `holder` if it required no command.
fn handle_heartbeat(
    node: &Node,
    body: &[u8],
    heartbeat: &Heartbeat,
    holder: CacheHolder,
) -> Result<HandledHeartbeat, CannotAnswer> {
    // Until the records are loaded, a response could renew the lease of tasks that were cancelled during
    // an outage of the store, possibly almost as long ago as a cancelled task may take to stop.
    if !is_leader(node) {
        return Err(CannotAnswer::NotLeader);
    }
    let now = node.now();
    let mut scheduler = node.scheduler.borrow_mut();
    let scheduler = scheduler.as_mut().ok_or(CannotAnswer::NotLeader)?;
    scheduler.authority.set_cancellations_known_until(node.cancellations_known_until());
    node.log_lease_renewal(scheduler.authority.may_renew_leases(now));
    let HeartbeatAnswer { token, commands: calls } = scheduler.handle_heartbeat(now, heartbeat)?;
    // Repetitions are recognized by their text, so the sequence number found there must match the
    // parsed one.
    let is_cacheable = calls.is_empty() && parse_sequence(body) == Some(heartbeat.sequence);
    let cached = is_cacheable.then(|| scheduler.cache_heartbeat(now, heartbeat, holder)).flatten();
    Ok(HandledHeartbeat { token, calls, cached })
}

/// Permission for a follower to answer repetitions of a heartbeat without asking the leader.
#[derive(Debug, Clone, Copy)]
pub(crate) struct CacheableResponse {
    /// The leader's cache entry for the heartbeat.
    pub(crate) cached: CachedHeartbeat,
    /// The fencing token that the follower puts into its responses.
    pub(crate) token: FencingToken,
    /// Time from now until the follower has to forward the heartbeat again.
    pub(crate) valid_for: TimeDelta,
}

/// The leader's result for a heartbeat that a follower forwarded.
#[derive(Debug)]
pub(crate) struct HandledForwardedHeartbeat {
    /// The serialized response, which the follower passes to the worker unchanged.
    pub(crate) body: Vec<u8>,
    /// Set if the follower may answer repetitions of this heartbeat itself.
    pub(crate) cacheable: Option<CacheableResponse>,
}

/// Handles a heartbeat that a follower forwarded, as the leader.
///
/// # Errors
///
/// If the heartbeat is malformed, this node can't answer it, or the response can't be serialized. The
/// follower then redirects the worker.
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
    let valid_for = scheduler.as_ref().map(|scheduler| scheduler.cached_for(node.now(), cached));
    valid_for.unwrap_or(TimeDelta::ZERO)
}

fn heartbeat_response(token: FencingToken, calls: Vec<WorkerCommand>) -> Answer {
    match serde_json::to_vec(&HeartbeatResponse { token, calls }) {
        Ok(body) => Answer::bytes(200, body),
        Err(error) => Answer::error(503, error.to_string()),
    }
}

/// Redirects the worker to the leader, if known, and counts the redirect in this node's load statistics.
fn redirect(node: &Node) -> Answer {
    node.count_redirect();
    redirect_to(node.other_leader())
}

/// Builds a 421 response that names the node to send heartbeats to. Without a name, the worker tries the
/// next node of its list.
fn redirect_to(node: Option<String>) -> Answer {
    match serde_json::to_value(Redirect { node }) {
        Ok(body) => Answer::json(421, &body),
        Err(error) => Answer::error(503, error.to_string()),
    }
}

#[cfg(test)]
mod tests;
