//! Settings of the scheduler: the operators' tunables, and the deployment's configuration from the
//! platform.

use std::collections::BTreeMap;

use crate::model::team::Team;
use crate::time::TimeDelta;

/// The operators' settings; `docs/operations.md` describes each. The binary reads them from a
/// script and checks their ranges.
#[derive(Debug, Clone, PartialEq)]
pub struct Tunables {
    /// Duration of the leader's lease in the key-value store.
    pub leader_lease: TimeDelta,
    /// Time beyond the worker lease after which an unconfirmed start is settled as unknown.
    pub settle_margin: TimeDelta,
    /// How long a machine may stay silent after a heartbeat is overdue before it is returned to the
    /// cloud.
    pub patience: TimeDelta,
    /// Idle time after which a spot machine is returned while ordinary ones are expensive.
    pub idle_spot: TimeDelta,
    /// Idle time after which an ordinary machine is returned while ordinary ones are expensive.
    pub idle_ordinary: TimeDelta,
    /// While ordinary machines are expensive, one is requested only for a job that has to start
    /// within this time.
    pub ordinary_slack: TimeDelta,
    /// Largest ratio of the price of ordinary machines to that of spot ones at which both are
    /// requested alike and count as cheap.
    pub premium: f64,
    /// A job that can wait for a boot and this time beyond it waits for running work to free
    /// capacity; otherwise machines are requested for it.
    pub rent_slack: TimeDelta,
    /// A job that has to start within this time may preempt work of lower priority.
    pub preempt_slack: TimeDelta,
    /// Spare capacity for classes with a short start objective, in jobs of their usual size.
    pub headroom: f64,
    /// The value of `headroom` while ordinary machines are cheap (see `premium`): then idle
    /// machines cost little compared with the time of a boot.
    pub headroom_cheap: f64,
    /// Idle time after which a machine is returned while ordinary machines are cheap.
    pub idle_cheap: TimeDelta,
    /// Age after which the first task of a job that hasn't started goes before all others.
    pub begin_within: TimeDelta,
    /// Age after which an unfinished job goes before younger ones, within `lift_share`.
    pub lift_after: TimeDelta,
    /// Share of the fleet in which age goes before priority.
    pub lift_share: f64,
    /// Multiple of its type's boot time after which a machine that never came up is returned.
    pub boot_patience: f64,
    /// Number of failed tasks of different jobs after which a machine counts as faulty.
    pub sick_after: u32,
    /// Multiple of the run time of a job's other tasks at which a running task marks its machine as
    /// slow.
    pub slow_factor: f64,
    /// Shortest time between two scheduling rounds; under load they are less frequent.
    pub round_every: TimeDelta,
    /// Longest delay of evidence (finished tasks, tasks proven absent) that waits to be written
    /// together with more.
    pub evidence_delay: TimeDelta,
    /// Expected time of each later job of a chain beyond the run time of its slowest task: its
    /// release, its starts and the fetching of its images.
    pub chain_step: TimeDelta,
    /// Most transactions of the leader in flight at once.
    pub txns_in_flight: u32,
    /// Whether an overloaded fleet is shared between teams and classes; see
    /// [`crate::queue::fair_share`].
    pub shared_order: bool,
    /// Waiting work without capacity, as a share of the fleet, at which the fleet counts as
    /// overloaded.
    pub overload_at: f64,
    /// Share of an overloaded fleet that each class of a team with work gets before priorities
    /// count.
    pub class_floor: f64,
    /// Weights of the teams in an overloaded fleet, relative to one another. A team without an
    /// entry has a weight by its guarantee, or 1.
    pub team_weights: BTreeMap<String, f64>,
    /// Whether scale-outs and scale-ins are recorded before they are sent, and leases guard the
    /// roles that send them.
    pub fenced_duties: bool,
}

impl Default for Tunables {
    fn default() -> Tunables {
        Tunables {
            leader_lease: TimeDelta::from_millis(2_500),
            settle_margin: TimeDelta::from_secs(2),
            patience: TimeDelta::from_millis(2_300),
            idle_spot: TimeDelta::from_secs(20),
            idle_ordinary: TimeDelta::from_secs(8),
            ordinary_slack: TimeDelta::from_secs(80),
            premium: 3.0,
            rent_slack: TimeDelta::from_secs(60),
            preempt_slack: TimeDelta::from_secs(8),
            headroom: 0.5,
            headroom_cheap: 5.0,
            idle_cheap: TimeDelta::from_secs(200),
            begin_within: TimeDelta::from_secs(160),
            lift_after: TimeDelta::from_secs(420),
            lift_share: 0.1,
            boot_patience: 3.0,
            sick_after: 2,
            slow_factor: 2.0,
            round_every: TimeDelta::from_millis(20),
            evidence_delay: TimeDelta::from_secs(4),
            chain_step: TimeDelta::from_secs(5),
            txns_in_flight: 4,
            shared_order: true,
            overload_at: 1.0,
            class_floor: 0.2,
            team_weights: BTreeMap::new(),
            fenced_duties: true,
        }
    }
}

/// A service-level objective for a class of jobs, from the platform's configuration.
#[derive(Debug, Clone, PartialEq)]
pub enum Objective {
    /// Jobs should be done within a multiple of the deadline that their owner set.
    Deadline {
        /// The class of jobs that the objective is for.
        class: String,
        /// The multiple of the deadline.
        times: f64,
    },
    /// Tasks should start within a time.
    Wait {
        /// The class of jobs that the objective is for.
        class: String,
        /// Time from the job's submission.
        within: TimeDelta,
    },
    /// Jobs should be done within a time.
    Finished {
        /// The class of jobs that the objective is for.
        class: String,
        /// Time from the job's submission.
        within: TimeDelta,
    },
}

/// The deployment's configuration, from the platform's file.
#[derive(Debug, Clone)]
pub struct Site {
    /// The teams, with their guarantees and limits.
    pub teams: Vec<Team>,
    /// The service-level objectives of all classes, in any order.
    pub objectives: Vec<Objective>,
    /// Interval between two heartbeats of a worker.
    pub heartbeat_interval: TimeDelta,
    /// How long a worker keeps its tasks running without an answer to its heartbeats.
    pub worker_lease: TimeDelta,
    /// Longest time from the confirmation of a cancellation until the job's tasks are stopped.
    pub cancel_within: TimeDelta,
    /// Size in bytes of the largest value that the key-value store accepts.
    pub value_bytes: usize,
    /// Most operations that the key-value store accepts in one transaction.
    pub txn_ops: usize,
    /// Longest delay after which a change shows up in the cloud's machine list.
    pub list_lag: TimeDelta,
    /// Most messages to workers in flight at once.
    pub max_messages_in_flight: usize,
}

impl Site {
    /// Returns the team of that name, if it is configured.
    pub fn team(&self, name: &str) -> Option<&Team> {
        self.teams.iter().find(|t| t.name == name)
    }

    fn start_objectives<'a>(&'a self, class: &'a str) -> impl Iterator<Item = TimeDelta> + 'a {
        self.objectives.iter().filter_map(move |o| match o {
            Objective::Wait { class: c, within } if c == class => Some(*within),
            _ => None,
        })
    }

    /// The shortest start objective of the class, if it has one.
    pub fn start_objective(&self, class: &str) -> Option<TimeDelta> {
        self.start_objectives(class).min()
    }

    /// The shortest start objective of the class that is longer than `missed`. A class may have
    /// several, in any order: once a tighter one can't be met, the next looser one counts.
    pub fn next_start_objective(&self, class: &str, missed: TimeDelta) -> Option<TimeDelta> {
        self.start_objectives(class).filter(|w| *w > missed).min()
    }

    fn finish_objectives<'a>(&'a self, class: &'a str) -> impl Iterator<Item = TimeDelta> + 'a {
        self.objectives.iter().filter_map(move |o| match o {
            Objective::Finished { class: c, within } if c == class => Some(*within),
            _ => None,
        })
    }

    /// The shortest finish objective of the class, if it has one.
    pub fn finish_objective(&self, class: &str) -> Option<TimeDelta> {
        self.finish_objectives(class).min()
    }

    /// The shortest finish objective of the class that leaves a job at least `needed` time.
    pub fn next_finish_objective(&self, class: &str, needed: TimeDelta) -> Option<TimeDelta> {
        self.finish_objectives(class).filter(|within| *within >= needed).min()
    }

    /// The multiple of its deadline within which a job of the class still counts as done in time:
    /// the smallest one of at least `min_multiple`, or else the largest; 1 without an objective. A
    /// job that can't meet its deadline any more still counts at a larger multiple.
    pub fn deadline_times(&self, class: &str, min_multiple: f64) -> f64 {
        let (mut smallest_sufficient, mut largest) = (f64::INFINITY, 0.0f64);
        for o in &self.objectives {
            if let Objective::Deadline { class: c, times } = o {
                if c == class {
                    largest = largest.max(*times);
                    if *times >= min_multiple {
                        smallest_sufficient = smallest_sufficient.min(*times);
                    }
                }
            }
        }
        match (smallest_sufficient.is_finite(), largest > 0.0) {
            (true, _) => smallest_sufficient,
            (false, true) => largest,
            (false, false) => 1.0,
        }
    }
}

#[cfg(test)]
mod tests;
