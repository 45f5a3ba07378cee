//! The order of the queue: how urgent each job is, by age, priority, guarantee and slack.

use std::cmp::Ordering;

use crate::model::cluster::TeamUsage;
use crate::model::ids::JobIndex;
use crate::model::job::Job;
use crate::model::job_spec::Priority;
use crate::model::EPSILON;
use crate::scheduler::Scheduler;
use crate::time::{TimeDelta, Timestamp};

/// How much a job's share of the fleet counts against its slack.
const SIZE_WEIGHT: f64 = 8.0;
/// Seconds after which a missed aim on starting is given up, and the one on finishing counts.
const GRACE: f64 = 1.5;

/// The part of its expected run that a job has to have time for, below overload.
const HALF_RUN: f64 = 0.5;
/// What the slowest of its tasks takes of that in an overload, where nothing is left to chance.
const SLOWEST_TASK: f64 = 1.2;

/// Where a job stands in the queue. Smaller comes first.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct QueueKey {
    /// Has waited so long that age outweighs all else.
    pub aging: Aging,
    /// The highest priority of its own and of the jobs that depend on it.
    pub priority: Priority,
    /// Within its team's guarantee.
    pub within_guarantee: bool,
    /// Can't meet its deadline any more: others still can.
    pub hopeless: bool,
    /// Seconds until the job has to start to meet its aim.
    pub slack: f64,
    /// Seconds that the job's own work takes of the whole fleet, weighted.
    pub size: f64,
    /// The same without the aim on starting: what a machine that has yet to boot can still help.
    pub finish_slack: f64,
    /// When it was ready to start; the older goes first among equals.
    pub accepted: Timestamp,
}

/// What age lifts a job to. Under lasting overload the order by priority and slack would starve a
/// class, a team or the largest jobs, and an accepted job has to run.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub enum Aging {
    /// Its age gives it no precedence.
    None,
    /// Unfinished for long: first within a part of the fleet.
    Old,
    /// Nothing of it has run yet: its first task goes before everything.
    Unbegun,
}

impl QueueKey {
    /// The order in which jobs are served: the smaller first.
    pub fn order(&self, other: &QueueKey) -> Ordering {
        other
            .aging
            .cmp(&self.aging)
            .then(other.priority.cmp(&self.priority))
            .then(other.within_guarantee.cmp(&self.within_guarantee))
            .then(self.hopeless.cmp(&other.hopeless))
            .then((self.slack + self.size).total_cmp(&(other.slack + other.size)))
            .then(self.accepted.cmp(&other.accepted))
    }
}

impl Scheduler {
    /// Where the job stands in the queue now.
    pub fn queue_key(&self, now: Timestamp, job: &Job) -> QueueKey {
        let spec = &job.spec;
        let run = self.run_times.expected_run(job);
        // What a job waited for others is no delay of its own.
        let age = now.since(job.ready_at).as_secs_f64();
        let mut slack = f64::INFINITY;
        let mut hopeless = false;
        let mut size = 0.0;
        if let Some(effective_deadline) = &job.effective_deadline {
            // Estimates err by half: only what is far beyond its time is given up, and then the
            // class's longer deadline counts, if it has one. A step of a chain shares the deadline
            // of the job at its end, and leaves the time for what comes between.
            let deadline = effective_deadline.deadline_s;
            let takes =
                now.since(effective_deadline.accepted).as_secs_f64() + effective_deadline.after_s;
            let dependencies = self.least_run(job, run);
            let least = (takes + dependencies) / deadline.max(0.1);
            slack =
                deadline * self.site.deadline_times(&effective_deadline.class, least) - takes - run;
            hopeless = slack < dependencies - run;
        }
        let finish_objective = if self.fair_share.is_active() {
            // One that is missed for certain hurries nothing any more.
            let dependencies = age + self.least_run(job, run);
            let next = self
                .site
                .next_finish_objective(&spec.class, TimeDelta::from_secs_f64(dependencies));
            hopeless |= next.is_none() && self.site.finish_objective(&spec.class).is_some();
            next
        } else {
            self.site.finish_objective(&spec.class)
        };
        if let Some(within) = finish_objective {
            slack = slack.min(within.as_secs_f64() - age - run);
        }
        let finish_slack = slack;
        // Under overload not all jobs can be in time; the large ones would make many small ones late.
        if slack.is_finite() && self.fleet_cpus > 0.0 {
            let left = f64::from(spec.tasks - job.done) * spec.cpus * run;
            size = (left / self.fleet_cpus * SIZE_WEIGHT).min(600.0);
        }
        // A start that is late already gains nothing from being hurried further: then the class's
        // next aim on starting counts, if it has a looser one.
        let lost = TimeDelta::from_secs_f64(age - GRACE);
        match self.site.next_start_objective(&spec.class, lost) {
            Some(within) => slack = slack.min(within.as_secs_f64() - age),
            None if slack == f64::INFINITY => {
                if let Some(within) = self.site.start_objective(&spec.class) {
                    slack = within.as_secs_f64() - age;
                }
            }
            None => {}
        }
        if slack == f64::INFINITY {
            // Without any aim, age alone counts, behind everything that is pressed for time.
            slack = 3_600.0 - age;
        }
        let within_guarantee = self.site.team(&spec.team).is_some_and(|team| {
            let TeamUsage { cpus, gpus } = self.cluster.team_usage(&spec.team);
            let within = |used: f64, takes: f64, within_guarantee: f64| {
                takes <= 0.0
                    || (within_guarantee > 0.0 && used + takes <= within_guarantee + EPSILON)
            };
            (team.cpus > 0.0 || team.gpus > 0.0)
                && within(cpus, spec.cpus, team.cpus)
                && within(gpus, spec.gpus, team.gpus)
        });
        QueueKey {
            aging: self.aging(now, job),
            priority: job.priority,
            within_guarantee,
            hopeless,
            size,
            slack,
            finish_slack,
            accepted: job.ready_at,
        }
    }

    /// The time that the job has to have left, in seconds, to be worth trying. Estimates err by half, so
    /// as a rule only what is far beyond its time is given up. In an overload that would make every
    /// job late: each would wait until it can hardly be in time, and then take the room of one that
    /// still could. There a job needs its whole run, and the time in which its class's room is free for
    /// its tasks, unless most of it is under way already.
    fn least_run(&self, job: &Job, run: f64) -> f64 {
        let begun = 2 * (job.placed + job.done) >= job.spec.tasks;
        if self.fair_share.is_active() && !begun {
            let left = f64::from(job.pending()) * job.spec.cpus * run;
            let room = self.fair_share.room_of(&self.cluster.shares, job.share_class()).cpus;
            run * SLOWEST_TASK + if room > 0.0 { left / room } else { 0.0 }
        } else {
            run * HALF_RUN
        }
    }

    fn aging(&self, now: Timestamp, job: &Job) -> Aging {
        let age = now.since(job.ready_at);
        if !job.has_started && job.placed == 0 && age > self.tunables.begin_within {
            Aging::Unbegun
        } else if age > self.tunables.lift_after {
            Aging::Old
        } else {
            Aging::None
        }
    }

    /// Jobs with tasks to place, the most urgent first.
    pub fn queue(&self, now: Timestamp) -> Vec<(QueueKey, JobIndex)> {
        let mut queue: Vec<(QueueKey, JobIndex)> = self
            .cluster
            .jobs
            .iter()
            .filter_map(|(&ix, job)| {
                // One that waits for others is no work yet: it takes no room and asks for none.
                let open = !job.is_ended()
                    && !job.is_blocked()
                    && !job.state().is_writing_end()
                    && job.pending() > 0
                    && now >= job.not_before;
                open.then(|| (self.queue_key(now, job), ix))
            })
            .collect();
        queue.sort_by(|a, b| a.0.order(&b.0).then(a.1.cmp(&b.1)));
        queue
    }
}
