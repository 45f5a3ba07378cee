//! Finds cloud requests that should not have taken effect. The checker uses only the fake cloud's
//! log, independently of what the controllers report.

use std::collections::BTreeSet;

use crate::fake_cloud::{Effect, LoggedRequest};

/// Counts of the cloud requests in a log, by what was wrong with them.
#[derive(Debug, Default, Clone, PartialEq, Eq)]
pub struct Findings {
    /// Requests to rent machines, including repeated ones.
    pub scale_outs: usize,
    /// Requests to return machines.
    pub scale_ins: usize,
    /// Requests to rent machines under a request id that the cloud already knew; these rent
    /// nothing.
    pub repeated: usize,
    /// Requests from a node that was not the leader when they arrived.
    pub stale: usize,
    /// Number of `stale` requests that did no harm: they changed nothing, or a stored intent
    /// covered them when they were executed.
    pub stale_recorded: usize,
    /// Requests from the leader that were executed after its term had ended.
    pub late: usize,
    /// Number of `late` requests that did no harm: they changed nothing, or a stored intent
    /// covered them when they were executed.
    pub late_recorded: usize,
    /// Machines with running tasks that were returned by a node that was not the leader.
    pub stale_scale_ins_with_tasks: usize,
    /// Machines with running tasks that were returned by any node.
    pub scale_ins_with_tasks: usize,
    /// Machines that were still rented at the end of the scenario, although all jobs had ended.
    pub leaked_machines: usize,
}

impl Findings {
    /// Returns the number of requests by replaced leaders that no stored intent covered.
    pub fn unfenced_actions(&self) -> usize {
        self.stale - self.stale_recorded + self.late - self.late_recorded
    }
}

/// Checks the log of a finished scenario; `remaining_machines` are the machines still rented.
pub fn check(log: &[LoggedRequest], remaining_machines: &[String]) -> Findings {
    let mut findings =
        Findings { leaked_machines: remaining_machines.len(), ..Findings::default() };
    let mut returned_machines = BTreeSet::new();
    for entry in log {
        let (changes, with_tasks) = match &entry.effect {
            Effect::ScaledOut(_) => (true, 0),
            Effect::Repeated => {
                findings.repeated += 1;
                (false, 0)
            }
            Effect::ScaledIn { machines, with_tasks } => {
                let newly_returned = machines
                    .iter()
                    .filter(|name| returned_machines.insert((*name).clone()))
                    .count();
                (newly_returned > 0, *with_tasks)
            }
        };
        match &entry.effect {
            Effect::ScaledOut(_) | Effect::Repeated => findings.scale_outs += 1,
            Effect::ScaledIn { .. } => findings.scale_ins += 1,
        }
        findings.scale_ins_with_tasks += with_tasks;
        let covered = usize::from(!changes || entry.has_intent);
        let sent_by_leader =
            entry.leader_on_arrival.as_ref().is_some_and(|leader| leader.node == entry.node);
        if !sent_by_leader {
            findings.stale += 1;
            findings.stale_recorded += covered;
            findings.stale_scale_ins_with_tasks += with_tasks;
        } else if entry.leader_on_arrival != entry.leader_on_effect {
            findings.late += 1;
            findings.late_recorded += covered;
        }
    }
    findings
}
