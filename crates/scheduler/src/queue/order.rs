//! The order of the queue: how urgent each job is, by age, priority, guarantee and slack.

use std::cmp::Ordering;

use crate::model::cluster::TeamUsage;
use crate::model::ids::JobIndex;
use crate::model::job::Job;
use crate::model::job_spec::Priority;
use crate::model::EPSILON;
use crate::scheduler::Scheduler;
use crate::time::{TimeDelta, Timestamp};

/// Factor by which the time that a job would occupy the whole fleet is added to its slack.
const SIZE_WEIGHT: f64 = 8.0;
/// Seconds beyond a missed start objective after which it is given up, and the class's next looser
/// one or the deadline counts.
const START_GRACE_S: f64 = 1.5;

/// Fraction of its expected run time that a job must have left to be worth trying, below overload.
const MIN_RUN_FRACTION: f64 = 0.5;
/// Expected run time of a job's slowest task, as a multiple of the job's expected run time. Under
/// overload a job is worth trying only if it has time left for that whole run.
const SLOWEST_TASK_FACTOR: f64 = 1.2;

/// Urgency of a job, by which the queue is sorted; see [`QueueKey::order`].
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct QueueKey {
    /// Precedence that the job has by its age.
    pub aging: Aging,
    /// The highest priority among the job's own and those of its direct and indirect dependents.
    pub priority: Priority,
    /// Whether one more task would stay within its team's guarantee.
    pub within_guarantee: bool,
    /// Whether the job can't meet its deadline any more; jobs that still can go first.
    pub deadline_unreachable: bool,
    /// Seconds until the job has to start to meet its objectives.
    pub slack: f64,
    /// Seconds that the job's remaining work would occupy the whole fleet, times `SIZE_WEIGHT`,
    /// 600 at most.
    pub size_penalty: f64,
    /// Slack without the start objective: what a machine that has yet to boot can still help with.
    pub finish_slack: f64,
    /// When the job became ready to start; among equals the oldest goes first.
    pub ready_at: Timestamp,
}

/// Precedence of a job by its age. Under lasting overload the order by priority and slack would
/// starve a class, a team or the largest jobs, and an accepted job has to run.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub enum Aging {
    /// The job's age gives it no precedence.
    None,
    /// The job has been unfinished for longer than `lift_after`: it goes first within a share of
    /// the fleet.
    Overdue,
    /// No task of the job has started within `begin_within`: its first task goes before everything
    /// else.
    NotStarted,
}

impl QueueKey {
    /// Compares two jobs in the order in which they are served; the smaller is served first.
    pub fn order(&self, other: &QueueKey) -> Ordering {
        other
            .aging
            .cmp(&self.aging)
            .then(other.priority.cmp(&self.priority))
            .then(other.within_guarantee.cmp(&self.within_guarantee))
            .then(self.deadline_unreachable.cmp(&other.deadline_unreachable))
            .then((self.slack + self.size_penalty).total_cmp(&(other.slack + other.size_penalty)))
            .then(self.ready_at.cmp(&other.ready_at))
    }
}

impl Scheduler {
    /// Computes the job's urgency at the given time.
    pub fn queue_key(&self, now: Timestamp, job: &Job) -> QueueKey {
        let spec = &job.spec;
        let run_s = self.run_times.expected_run(job);
        // Time spent waiting for dependencies doesn't count as delay of the job.
        let age = now.since(job.ready_at).as_secs_f64();
        let mut slack = f64::INFINITY;
        let mut deadline_unreachable = false;
        let mut size_penalty = 0.0;
        if let Some(effective_deadline) = &job.effective_deadline {
            // Estimates err by half, so a deadline is given up only when it is missed by far, and
            // then the class's longer deadline counts, if it has one. A job in a chain shares the
            // deadline of the chain's last job, less the expected time of the jobs in between.
            let deadline = effective_deadline.deadline_s;
            let elapsed_s =
                now.since(effective_deadline.accepted).as_secs_f64() + effective_deadline.chain_s;
            let needed_s = self.min_time_needed(job, run_s);
            let min_multiple = (elapsed_s + needed_s) / deadline.max(0.1);
            slack = deadline * self.site.deadline_times(&effective_deadline.class, min_multiple)
                - elapsed_s
                - run_s;
            deadline_unreachable = slack < needed_s - run_s;
        }
        let finish_objective = if self.fair_share.is_active() {
            // An objective that is certain to be missed adds no urgency.
            let needed_s = age + self.min_time_needed(job, run_s);
            let next =
                self.site.next_finish_objective(&spec.class, TimeDelta::from_secs_f64(needed_s));
            deadline_unreachable |=
                next.is_none() && self.site.finish_objective(&spec.class).is_some();
            next
        } else {
            self.site.finish_objective(&spec.class)
        };
        if let Some(within) = finish_objective {
            slack = slack.min(within.as_secs_f64() - age - run_s);
        }
        let finish_slack = slack;
        // Under overload not all jobs can be on time, and large jobs would make many small ones
        // late.
        if slack.is_finite() && self.fleet_cpus > 0.0 {
            let remaining_cpu_s = f64::from(spec.tasks - job.done) * spec.cpus * run_s;
            size_penalty = (remaining_cpu_s / self.fleet_cpus * SIZE_WEIGHT).min(600.0);
        }
        // Hurrying doesn't help a job whose start is late already, so the class's next looser start
        // objective counts, if there is one.
        let missed = TimeDelta::from_secs_f64(age - START_GRACE_S);
        match self.site.next_start_objective(&spec.class, missed) {
            Some(within) => slack = slack.min(within.as_secs_f64() - age),
            None if slack == f64::INFINITY => {
                if let Some(within) = self.site.start_objective(&spec.class) {
                    slack = within.as_secs_f64() - age;
                }
            }
            None => {}
        }
        if slack == f64::INFINITY {
            // Without an objective only age counts, behind everything that has one.
            slack = 3_600.0 - age;
        }
        let within_guarantee = self.site.team(&spec.team).is_some_and(|team| {
            let TeamUsage { cpus, gpus } = self.cluster.team_usage(&spec.team);
            let fits = |used: f64, needed: f64, guarantee: f64| {
                needed <= 0.0 || (guarantee > 0.0 && used + needed <= guarantee + EPSILON)
            };
            (team.cpus > 0.0 || team.gpus > 0.0)
                && fits(cpus, spec.cpus, team.cpus)
                && fits(gpus, spec.gpus, team.gpus)
        });
        QueueKey {
            aging: self.aging(now, job),
            priority: job.priority,
            within_guarantee,
            deadline_unreachable,
            size_penalty,
            slack,
            finish_slack,
            ready_at: job.ready_at,
        }
    }

    /// Time that the job must have left to be worth trying, in seconds. Estimates err by half, so
    /// below overload half the expected run time is enough. Under overload that would make every
    /// job late: each would wait until it can hardly be on time, and then take the capacity of one
    /// that still could. There the job needs its whole run time, and the time in which its class's
    /// resources can run its pending tasks, unless half of its tasks are placed or done already.
    fn min_time_needed(&self, job: &Job, run_s: f64) -> f64 {
        let mostly_started = 2 * (job.placed + job.done) >= job.spec.tasks;
        if self.fair_share.is_active() && !mostly_started {
            let pending_cpu_s = f64::from(job.pending()) * job.spec.cpus * run_s;
            let class_cpus =
                self.fair_share.class_resources(&self.cluster.shares, job.share_class()).cpus;
            run_s * SLOWEST_TASK_FACTOR
                + if class_cpus > 0.0 { pending_cpu_s / class_cpus } else { 0.0 }
        } else {
            run_s * MIN_RUN_FRACTION
        }
    }

    fn aging(&self, now: Timestamp, job: &Job) -> Aging {
        let age = now.since(job.ready_at);
        if !job.has_started && job.placed == 0 && age > self.tunables.begin_within {
            Aging::NotStarted
        } else if age > self.tunables.lift_after {
            Aging::Overdue
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
                // A job with unmet dependencies is left out: it takes no capacity and none is
                // requested for it.
                let is_queued = !job.is_ended()
                    && !job.is_blocked()
                    && !job.state().is_writing_end()
                    && job.pending() > 0
                    && now >= job.not_before;
                is_queued.then(|| (self.queue_key(now, job), ix))
            })
            .collect();
        queue.sort_by(|a, b| a.0.order(&b.0).then(a.1.cmp(&b.1)));
        queue
    }
}
