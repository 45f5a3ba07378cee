//! Exchange of worker heartbeats between nodes. [`crate::heartbeat_delegation`] holds the rules;
//! these modules connect both sides of it to the node's scheduler and peers.

pub(super) mod follower;
pub(super) mod leader;

use std::rc::Rc;

use tokio::time::{sleep, Duration};
use walnutlug_scheduler::leadership::election::Role;

use super::Node;

/// Interval at which a follower tells the leader which machines repeated their heartbeats. Workers
/// send heartbeats every few seconds.
const REPORT_INTERVAL: Duration = Duration::from_millis(500);
/// Number of report intervals after which a follower requests a delegation, or the leader balances
/// the workers.
const REPORTS_PER_REQUEST: u32 = 2;

/// Runs the node's side until the process ends. A follower reports repeated heartbeats to the
/// leader and requests delegations; the leader balances the workers.
pub(super) async fn run(node: Rc<Node>) {
    let mut reports = 0u32;
    loop {
        sleep(REPORT_INTERVAL).await;
        reports = reports.wrapping_add(1);
        follower::send_repeated_heartbeats(&node);
        if !reports.is_multiple_of(REPORTS_PER_REQUEST) {
            continue;
        }
        match node.leadership.borrow().role() {
            Role::Leader { .. } => leader::balance_workers(&node),
            Role::Loading { .. } | Role::Candidate | Role::Follower => {
                follower::request_delegation(&node)
            }
        }
    }
}

#[cfg(test)]
mod tests;
