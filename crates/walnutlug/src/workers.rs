//! The workers: their reports, and commands sent to them directly.

use std::net::SocketAddrV4;
use std::time::Duration;

use serde_json::json;
use walnutlug_core::book::DirectOutcome;
use walnutlug_core::leadership::Role;
use walnutlug_core::unchanged::OWN_NODE;
use walnutlug_core::wire::{Call, Commands, Report, ReportAnswer};

use crate::http::client::{Client, Failure};
use crate::http::server::Answer;
use crate::node::Node;

mod repeated;
pub use repeated::LastReport;

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

/// Answers a worker's report. `last` belongs to the connection on which it came.
pub fn answer_report(node: &Node, last: &LastReport, body: &[u8]) -> Answer {
    if let Some(token) = repeated_report(node, last, body) {
        return accepted(token, Vec::new());
    }
    let report = match parse(body) {
        Ok(report) => report,
        Err(e) => return Answer::error(400, e),
    };
    let role = node.leadership.borrow().role();
    let answer = match role {
        Role::Leading { .. } => new_report(node, last, body, &report),
        // The records aren't read yet. An answer would renew the lease of tasks that were cancelled
        // while nobody could write or read, perhaps almost as long ago as they may take to go.
        Role::Loading { .. } | Role::Standing | Role::Following => None,
    };
    match answer {
        Some((token, calls)) => accepted(token, calls),
        None => redirect(node),
    }
}

/// The token to answer with, if the report is the connection's last one again and that left nothing
/// to do. Nothing is to be decided then either, so the leader isn't woken.
fn repeated_report(node: &Node, last: &LastReport, body: &[u8]) -> Option<u64> {
    let (settled, sequence) = last.repeated_by(body)?;
    if !matches!(node.leadership.borrow().role(), Role::Leading { .. }) {
        return None;
    }
    let now = node.now();
    let mut scheduler = node.scheduler.borrow_mut();
    let scheduler = scheduler.as_mut()?;
    scheduler.known_until = node.known_until();
    scheduler.report_unchanged(now, settled, sequence)
}

/// The leader's token and commands for a report that may say something new.
fn new_report(
    node: &Node,
    last: &LastReport,
    body: &[u8],
    report: &Report,
) -> Option<(u64, Vec<Call>)> {
    let now = node.now();
    let mut scheduler = node.scheduler.borrow_mut();
    let scheduler = scheduler.as_mut()?;
    scheduler.known_until = node.known_until();
    node.tell_renewing(scheduler.may_renew(now));
    let answer = scheduler.report(now, report);
    let without_commands = answer.as_ref().is_some_and(|(_, calls)| calls.is_empty());
    let settled =
        without_commands.then(|| scheduler.settle_report(now, report, OWN_NODE)).flatten();
    last.remember(body, report, settled);
    node.pump();
    answer
}

fn accepted(token: u64, calls: Vec<Call>) -> Answer {
    match serde_json::to_vec(&ReportAnswer { token, calls }) {
        Ok(body) => Answer { status: 200, body, retry_after: None, close: false, idle: None },
        Err(e) => Answer::error(503, e.to_string()),
    }
}

fn redirect(node: &Node) -> Answer {
    node.redirected.set(node.redirected.get().saturating_add(1));
    match node.keeper() {
        Some(name) => Answer::json(421, &json!({"keeper": name})),
        None => Answer::json(421, &json!({})),
    }
}

/// Sends commands once. Never again: whether they arrived is for the worker's reports to tell.
pub async fn direct(
    client: &Client,
    address: &str,
    token: u64,
    session: u64,
    calls: &[Call],
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
