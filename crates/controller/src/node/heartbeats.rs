//! Workers' heartbeats between the nodes. The rules are in [`crate::heartbeat_delegation`]; here its two sides meet the
//! node's scheduler and its peers.

pub(super) mod follower;
pub(super) mod leader;

use std::rc::Rc;

use tokio::time::{sleep, Duration};
use walnutlug_scheduler::leadership::election::Role;

use super::Node;

/// How often the leader is told which machines repeated their heartbeats; they report every few seconds.
const REPORT_INTERVAL: Duration = Duration::from_millis(500);
/// Every how many of these the leader is asked for a grant, or balances the workers.
const REPORTS_PER_REQUEST: u32 = 2;

/// Keeps up this node's part for as long as it lives: as a follower it tells the leader who repeated a heartbeat and
/// asks for grants, as the leader it balances the workers.
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
