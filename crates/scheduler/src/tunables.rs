//! What the operators may set, beyond the platform's own file, and what the platform tells.

use std::collections::BTreeMap;

use crate::model::team::Team;
use crate::time::TimeDelta;

/// The operators' settings. `docs/operations.md` says what each is for; the binary reads them from
/// a script and checks their ranges.
#[derive(Debug, Clone, PartialEq)]
pub struct Tunables {
    /// How long the leader's lease in the key-value store lasts.
    pub leader_lease: TimeDelta,
    /// Added to the worker lease before an unconfirmed start is settled as unknown.
    pub settle_margin: TimeDelta,
    /// Silence beyond an overdue report after which a machine is given back to the cloud.
    pub patience: TimeDelta,
    /// Idle time after which a spot machine is returned.
    pub idle_spot: TimeDelta,
    /// Idle time after which an ordinary machine is returned.
    pub idle_ordinary: TimeDelta,
    /// A job with less time than this to its latest start may rent ordinary machines.
    pub ordinary_slack: TimeDelta,
    /// Ordinary machines up to this many times as dear as spot ones are rented as freely.
    pub premium: f64,
    /// A job with less time than this to its latest start, beyond a boot, may rent spot machines;
    /// with more, it waits for running work to make room.
    pub rent_slack: TimeDelta,
    /// A job with less time than this to its latest start may stop work of lower priority.
    pub preempt_slack: TimeDelta,
    /// Spare room kept for classes with a wait aim, in jobs of the usual size.
    pub headroom: f64,
    /// The same where ordinary machines are cheap (see `premium`): there standing by costs little
    /// beside what a boot costs in time.
    pub headroom_cheap: f64,
    /// Idle time before a return where ordinary machines are cheap.
    pub idle_cheap: TimeDelta,
    /// Age at which the first task of a job of which nothing has run yet goes before all others.
    pub begin_within: TimeDelta,
    /// Age at which an unfinished job goes before younger ones, within `lift_share`.
    pub lift_after: TimeDelta,
    /// The part of the fleet in which age goes before priority.
    pub lift_share: f64,
    /// Boot times (of the type's own) after which a machine that never came up is returned.
    pub boot_patience: f64,
    /// Failed tasks of different jobs that make a machine suspect.
    pub sick_after: u32,
    /// Times its siblings' run time at which a running task marks its machine slow.
    pub slow_factor: f64,
    /// Shortest time between two rounds of decisions; under load they come less often.
    pub round_every: TimeDelta,
    /// Longest that evidence (finishes, tasks proven absent) waits for company before it is written.
    pub evidence_delay: TimeDelta,
    /// What each later step of a chain is expected to take beyond the run of its slowest task: its
    /// release, its starts and its images.
    pub chain_step: TimeDelta,
    /// Most transactions of the leader under way at once.
    pub txns_in_flight: u32,
    /// Whether an overloaded fleet is shared between teams and classes; see [`crate::queue::fair_share`].
    pub shared_order: bool,
    /// Work that waits without room, as a part of the fleet, from which on the fleet is overloaded.
    pub overload_at: f64,
    /// The part of an overloaded fleet that each team's class with work is brought up to before the
    /// priorities count.
    pub class_floor: f64,
    /// Parts of an overloaded fleet relative to one another; a team that isn't named has what its
    /// guarantee gives it, or 1.
    pub team_weights: BTreeMap<String, f64>,
    /// Whether rentals and returns are recorded before they are sent, and duties held under leases.
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

/// An aim on starting or finishing, from the platform's file.
#[derive(Debug, Clone, PartialEq)]
pub enum Objective {
    /// Done within `times` the deadline that the owner set.
    Deadline {
        /// The class.
        class: String,
        /// The multiple of the deadline.
        times: f64,
    },
    /// Tasks started within a time.
    Wait {
        /// The class.
        class: String,
        /// From the job's submission.
        within: TimeDelta,
    },
    /// Jobs done within a time.
    Finished {
        /// The class.
        class: String,
        /// From the job's submission.
        within: TimeDelta,
    },
}

/// What the platform's file says about the deployment.
#[derive(Debug, Clone)]
pub struct Site {
    /// The teams, with quotas and limits.
    pub teams: Vec<Team>,
    /// The service-level objectives.
    pub objectives: Vec<Objective>,
    /// How often workers send heartbeats.
    pub heartbeat_interval: TimeDelta,
    /// How long a worker keeps its tasks without an answer.
    pub worker_lease: TimeDelta,
    /// Within what time of its confirmation a cancelled job's tasks must be gone.
    pub cancel_within: TimeDelta,
    /// The largest value that the key-value store takes.
    pub value_bytes: usize,
    /// The most operations of a transaction.
    pub txn_ops: usize,
    /// How far the cloud's list of machines may lag.
    pub list_lag: TimeDelta,
    /// Messages to workers that may be under way at once.
    pub max_messages_in_flight: usize,
}

impl Site {
    /// The team of that name.
    pub fn team(&self, name: &str) -> Option<&Team> {
        self.teams.iter().find(|t| t.name == name)
    }

    fn waits<'a>(&'a self, class: &'a str) -> impl Iterator<Item = TimeDelta> + 'a {
        self.objectives.iter().filter_map(move |o| match o {
            Objective::Wait { class: c, within } if c == class => Some(*within),
            _ => None,
        })
    }

    /// The shortest time within which tasks of the class should start, if an aim says so.
    pub fn start_objective(&self, class: &str) -> Option<TimeDelta> {
        self.waits(class).min()
    }

    /// The shortest of the class's aims on starting that is longer than `lost`. A class may have
    /// several, in any order: once the tighter can't be met the looser one counts.
    pub fn next_start_objective(&self, class: &str, lost: TimeDelta) -> Option<TimeDelta> {
        self.waits(class).filter(|w| *w > lost).min()
    }

    fn finishes<'a>(&'a self, class: &'a str) -> impl Iterator<Item = TimeDelta> + 'a {
        self.objectives.iter().filter_map(move |o| match o {
            Objective::Finished { class: c, within } if c == class => Some(*within),
            _ => None,
        })
    }

    /// Within what time jobs of the class should be complete, if an aim says so.
    pub fn finish_objective(&self, class: &str) -> Option<TimeDelta> {
        self.finishes(class).min()
    }

    /// The shortest of the class's aims on completion that leaves a job `needed` time in all.
    pub fn next_finish_objective(&self, class: &str, needed: TimeDelta) -> Option<TimeDelta> {
        self.finishes(class).filter(|within| *within >= needed).min()
    }

    /// How many times its deadline a job of the class may take and still count: the least multiple
    /// of at least `least`, or else the greatest there is. A job that can't make its deadline any
    /// more still counts at the longer one.
    pub fn deadline_times(&self, class: &str, least: f64) -> f64 {
        let (mut next, mut last) = (f64::INFINITY, 0.0f64);
        for o in &self.objectives {
            if let Objective::Deadline { class: c, times } = o {
                if c == class {
                    last = last.max(*times);
                    if *times >= least {
                        next = next.min(*times);
                    }
                }
            }
        }
        match (next.is_finite(), last > 0.0) {
            (true, _) => next,
            (false, true) => last,
            (false, false) => 1.0,
        }
    }
}

#[cfg(test)]
mod tests;
