//! The workers: their reports, and commands sent to them directly.

use std::net::SocketAddrV4;
use std::time::Duration;

use walnutlug_scheduler::leadership::election::Role;
use walnutlug_scheduler::protocol::{Commands, Redirect, Report, ReportAnswer, WorkerCommand};
use walnutlug_scheduler::reconciliation::repeated_heartbeats::{Holder, SettledReport, OWN_NODE};
use walnutlug_scheduler::scheduler::DirectOutcome;
use walnutlug_scheduler::time::Span;

use crate::heartbeat_delegation;
use crate::http::client::{Client, Failure};
use crate::http::server::Answer;
use crate::node::Node;

mod connection;
use connection::sequence_in;
pub use connection::WorkerConnection;

/// Reads a report; what is malformed changes nothing.
fn parse(body: &[u8]) -> Result<Report, String> {
    let report: Report = serde_json::from_slice(body).map_err(|e| e.to_string())?;
    if report.machine.is_empty() || report.machine.len() > 64 {
        return Err("tree: must have 1 to 64 bytes".to_owned());
    }
    if report.address.parse::<SocketAddrV4>().is_err() {
        return Err("address: must be an IPv4 address and a port".to_owned());
    }
    if report.notice_s.is_some_and(|s| !s.is_finite()) {
        return Err("shakeS: must be a number".to_owned());
    }
    Ok(report)
}

/// Answers a worker's report, as the leader or on its behalf.
pub async fn report(node: &Node, connection: &WorkerConnection, body: &[u8]) -> Answer {
    let first = connection.count(&node.serving.workers);
    // Not with its first report: a worker that can't reach the other node comes back at once, and its
    // lease must not run out between two nodes that send it to each other.
    let other = if first { None } else { node.serving.another_node_for(body.len()) };
    if let Some(other) = other {
        return redirect_to(Some(other));
    }
    if matches!(node.leadership.borrow().role(), Role::Leading { .. }) {
        return answer_report(node, connection, body);
    }
    if let Some(token) = heartbeat_delegation::repeated(node, connection, body) {
        return accepted(token, Vec::new());
    }
    match heartbeat_delegation::forward(node, connection, body).await {
        Some(answer) => answer,
        None => redirect(node),
    }
}

/// Answers a worker's report as the leader.
pub fn answer_report(node: &Node, connection: &WorkerConnection, body: &[u8]) -> Answer {
    if let Some(token) = repeated_report(node, connection, body) {
        return accepted(token, Vec::new());
    }
    let report = match parse(body) {
        Ok(report) => report,
        Err(e) => return Answer::error(400, e),
    };
    let Some(read) = read_report(node, body, &report, OWN_NODE) else { return redirect(node) };
    connection.remember(body, read.settled);
    node.pump();
    accepted(read.token, read.calls)
}

/// The token to answer with, if the report is the connection's last one again and that left nothing
/// to do. Nothing is to be decided then either, so the leader isn't woken.
fn repeated_report(node: &Node, connection: &WorkerConnection, body: &[u8]) -> Option<u64> {
    let (settled, sequence) = connection.repeated_by(body)?;
    if !matches!(node.leadership.borrow().role(), Role::Leading { .. }) {
        return None;
    }
    let now = node.now();
    let mut scheduler = node.scheduler.borrow_mut();
    let scheduler = scheduler.as_mut()?;
    scheduler.known_until = node.known_until();
    scheduler.report_unchanged(now, settled, sequence)
}

/// The leader's answer to a report, and the mark if it left nothing to do.
struct ReadReport {
    token: u64,
    calls: Vec<WorkerCommand>,
    settled: Option<SettledReport>,
}

/// Reads a report that may say something new. `None`: this node may not answer it.
fn read_report(node: &Node, body: &[u8], report: &Report, holder: Holder) -> Option<ReadReport> {
    // While the records aren't read yet, an answer would renew the lease of tasks that were cancelled
    // while nobody could write or read, perhaps almost as long ago as they may take to go.
    if !matches!(node.leadership.borrow().role(), Role::Leading { .. }) {
        return None;
    }
    let now = node.now();
    let mut scheduler = node.scheduler.borrow_mut();
    let scheduler = scheduler.as_mut()?;
    scheduler.known_until = node.known_until();
    node.tell_renewing(scheduler.may_renew(now));
    let (token, calls) = scheduler.report(now, report)?;
    // The number found in the text has to be the one that was read.
    let may_settle = calls.is_empty() && sequence_in(body) == Some(report.seq);
    let settled = may_settle.then(|| scheduler.settle_report(now, report, holder)).flatten();
    Some(ReadReport { token, calls, settled })
}

/// The leader's answer to a report that a follower passed on.
pub struct ForwardedRead {
    /// The body for the worker.
    pub body: Vec<u8>,
    /// If repetitions mean nothing: the mark, the token to answer with, and for how long.
    pub mark: Option<(SettledReport, u64, Span)>,
}

/// Reads a report that a follower passed on. `None`: the worker should come itself, or go elsewhere.
pub fn read_forwarded(node: &Node, body: &[u8], holder: Holder) -> Option<ForwardedRead> {
    let report = parse(body).ok()?;
    let ReadReport { token, calls, settled } = read_report(node, body, &report, holder)?;
    let scheduler = node.scheduler.borrow();
    let valid_for =
        |s| scheduler.as_ref().map_or(Span::ZERO, |known| known.settled_for(node.now(), s));
    let mark = settled.map(|settled| (settled, token, valid_for(settled)));
    let body = serde_json::to_vec(&ReportAnswer { token, calls }).ok()?;
    Some(ForwardedRead { body, mark })
}

fn accepted(token: u64, calls: Vec<WorkerCommand>) -> Answer {
    match serde_json::to_vec(&ReportAnswer { token, calls }) {
        Ok(body) => Answer { status: 200, body, retry_after: None, close: false, idle: None },
        Err(e) => Answer::error(503, e.to_string()),
    }
}

fn redirect(node: &Node) -> Answer {
    node.redirected.set(node.redirected.get().saturating_add(1));
    redirect_to(node.other_leader())
}

/// The worker should report to that node, or try the next one.
fn redirect_to(node: Option<String>) -> Answer {
    match serde_json::to_value(Redirect { node }) {
        Ok(body) => Answer::json(421, &body),
        Err(e) => Answer::error(503, e.to_string()),
    }
}

/// Sends commands once. Never again: whether they arrived is for the worker's reports to tell.
pub async fn direct(
    client: &Client,
    address: &str,
    token: u64,
    session: u64,
    calls: &[WorkerCommand],
) -> DirectOutcome {
    let Ok(addr) = address.parse::<SocketAddrV4>() else { return DirectOutcome::NotSent };
    let Ok(body) = serde_json::to_vec(&Commands { token, session, calls }) else {
        return DirectOutcome::NotSent;
    };
    let within = Duration::from_secs(2);
    match client.request(addr, "POST", "/commands", &body, within).await {
        Ok(r) if r.status == 200 || r.status == 409 => match parse(&r.body) {
            Ok(report) => DirectOutcome::Answered(Box::new(report)),
            Err(_) => DirectOutcome::Lost,
        },
        Ok(_) | Err(Failure::Lost) => DirectOutcome::Lost,
        Err(Failure::NotSent) => DirectOutcome::NotSent,
    }
}

#[cfg(test)]
mod tests;
