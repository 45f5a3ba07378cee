//! Reads the cloud's log on its own and says what of it should not have been.

use std::collections::BTreeSet;

use crate::fake_cloud::{Effect, Logged};

/// What the log shows.
#[derive(Debug, Default, Clone, PartialEq, Eq)]
pub struct Findings {
    pub rentals: usize,
    pub returns: usize,
    /// Rentals of a name that was known, which rented nothing.
    pub repeats: usize,
    /// Requests that arrived from a node that didn't lead then.
    pub stale: usize,
    /// Of these, the ones that changed nothing, or that an intent stood for when they were carried out.
    pub stale_covered: usize,
    /// Requests that took effect under another leader than the one they arrived under.
    pub late: usize,
    /// Of these, the ones that an intent stood for.
    pub late_covered: usize,
    /// Machines that a node which didn't lead returned while tasks ran on them.
    pub stale_returns_under_work: usize,
    /// Machines returned while tasks ran on them, by whomever.
    pub returns_under_work: usize,
    /// Machines still there at the end, long after all work was done.
    pub forgotten: usize,
}

impl Findings {
    /// Requests of replaced holders that nobody stood for.
    pub fn unfenced_actions(&self) -> usize {
        self.stale - self.stale_covered + self.late - self.late_covered
    }
}

/// Goes through the log; `left` are the machines at the end.
pub fn check(log: &[Logged], left: &[String]) -> Findings {
    let mut findings = Findings { forgotten: left.len(), ..Findings::default() };
    let mut returned = BTreeSet::new();
    for entry in log {
        let (changes, under_work) = match &entry.effect {
            Effect::Rented(_) => (true, 0),
            Effect::Repeated => {
                findings.repeats += 1;
                (false, 0)
            }
            Effect::Returned { machines, with_tasks } => {
                let new = machines.iter().filter(|name| returned.insert((*name).clone())).count();
                (new > 0, *with_tasks)
            }
        };
        match &entry.effect {
            Effect::Rented(_) | Effect::Repeated => findings.rentals += 1,
            Effect::Returned { .. } => findings.returns += 1,
        }
        findings.returns_under_work += under_work;
        let covered = usize::from(!changes || entry.recorded);
        let led = entry.holder_on_arrival.as_ref().is_some_and(|holder| holder.node == entry.node);
        if !led {
            findings.stale += 1;
            findings.stale_covered += covered;
            findings.stale_returns_under_work += under_work;
        } else if entry.holder_on_arrival != entry.holder_on_effect {
            findings.late += 1;
            findings.late_covered += covered;
        }
    }
    findings
}
