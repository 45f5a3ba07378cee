//! Reads the cloud's log on its own and says what of it should not have been.

use std::collections::BTreeSet;

use crate::fake_cloud::{Effect, Logged};

/// What the log shows.
#[derive(Debug, Default, Clone, PartialEq, Eq)]
pub struct Findings {
    /// Requests for machines.
    pub scale_outs: usize,
    /// Requests that return machines.
    pub scale_ins: usize,
    /// Rentals of a name that was known, which rented nothing.
    pub repeated: usize,
    /// Requests that arrived from a node that didn't lead then.
    pub stale: usize,
    /// Of these, the ones that changed nothing, or that an intent stood for when they were carried out.
    pub stale_recorded: usize,
    /// Requests that took effect under another leader than the one they arrived under.
    pub late: usize,
    /// Of these, the ones that an intent stood for.
    pub late_recorded: usize,
    /// Machines that a node which didn't lead returned while tasks ran on them.
    pub stale_scale_ins_with_tasks: usize,
    /// Machines returned while tasks ran on them, by whomever.
    pub scale_ins_with_tasks: usize,
    /// Machines still there at the end, long after all work was done.
    pub leaked_machines: usize,
}

impl Findings {
    /// Requests of replaced holders that nobody stood for.
    pub fn unfenced_actions(&self) -> usize {
        self.stale - self.stale_recorded + self.late - self.late_recorded
    }
}

/// Goes through the log; `left` are the machines at the end.
pub fn check(log: &[Logged], left: &[String]) -> Findings {
    let mut findings = Findings { leaked_machines: left.len(), ..Findings::default() };
    let mut returned = BTreeSet::new();
    for entry in log {
        let (changes, with_tasks) = match &entry.effect {
            Effect::ScaledOut(_) => (true, 0),
            Effect::Repeated => {
                findings.repeated += 1;
                (false, 0)
            }
            Effect::ScaledIn { machines, with_tasks } => {
                let new = machines.iter().filter(|name| returned.insert((*name).clone())).count();
                (new > 0, *with_tasks)
            }
        };
        match &entry.effect {
            Effect::ScaledOut(_) | Effect::Repeated => findings.scale_outs += 1,
            Effect::ScaledIn { .. } => findings.scale_ins += 1,
        }
        findings.scale_ins_with_tasks += with_tasks;
        let recorded = usize::from(!changes || entry.recorded);
        let led = entry.holder_on_arrival.as_ref().is_some_and(|holder| holder.node == entry.node);
        if !led {
            findings.stale += 1;
            findings.stale_recorded += recorded;
            findings.stale_scale_ins_with_tasks += with_tasks;
        } else if entry.holder_on_arrival != entry.holder_on_effect {
            findings.late += 1;
            findings.late_recorded += recorded;
        }
    }
    findings
}
