//! Sharing of an overloaded fleet: the share of it that each team and class holds, and which is
//! served next.
//!
//! Below overload the order of the queue alone decides ([`crate::queue::order`]). Under overload,
//! capacity is handed out in portions by the rules of [`walnutlug_admission::deal`]; within a class
//! the order of the queue still applies.

use std::collections::{BTreeMap, HashMap};

use walnutlug_admission::deal::{ProgressiveFilling, Rules, Waiting};
use walnutlug_admission::resources::Resources;
use walnutlug_admission::saturation::{Change, Saturation, Thresholds};
use walnutlug_admission::shares::{ClassId, Entitlement, Shares, TeamId};

use crate::event::{Event, HeldShare};
use crate::model::cluster::TeamUsage;
use crate::model::ids::{JobIndex, MachineIndex};
use crate::model::job::Job;
use crate::model::machine::{Machine, MachineState};
use crate::model::EPSILON;
use crate::placement::MAX_PREEMPTING_JOBS;
use crate::protocol::cloud::MachineType;
use crate::queue::order::{Aging, QueueKey};
use crate::scheduler::Scheduler;
use crate::time::{TimeDelta, Timestamp};
use crate::tunables::{Site, Tunables};

/// Size of a portion, as a share of the fleet: small enough for an even division between a few
/// teams, large enough for a job of usual size to be one portion.
const PORTION_SHARE: f64 = 1.0 / 64.0;
/// Largest share of the fleet that the floors of all classes take together; the rest goes by
/// priority.
const MAX_TOTAL_FLOOR_SHARE: f64 = 0.5;
/// The overload ends when the waiting work falls below this fraction of the threshold that starts
/// it.
const LEAVE_FRACTION: f64 = 0.2;
/// How long the waiting work has to stay below that before the overload ends.
const LEAVE_AFTER: TimeDelta = TimeDelta::from_secs(20);
/// Waiting work, as a multiple of the fleet and net of the capacity that is booting or requested,
/// that counts as an overload at once.
const IMMEDIATE_OVERLOAD: f64 = 4.0;
/// How long work has to wait for an overload to start, in boot times of the machine type that boots
/// fastest.
const ENTER_AFTER_BOOTS: f64 = 1.0;
/// What a class retains under overload, as a multiple of its floor. With a factor of 1, tasks
/// started to bring a class to its floor would be stopped as soon as the floor moved.
const RETAINED_FLOOR_FACTOR: f64 = 1.25;
/// Most classes named in one log entry.
const MAX_LOGGED_CLASSES: usize = 12;
/// How often the work that finds no capacity is added up.
const OBSERVE_INTERVAL: TimeDelta = TimeDelta::from_millis(500);
/// How long a new leader without a machine list waits before it judges the load: until then the
/// capacity of the fleet isn't known.
const FLEET_LIST_TIMEOUT: TimeDelta = TimeDelta::from_secs(10);

/// State of fair sharing: whether the fleet is overloaded, and the floors of the classes.
#[derive(Debug, Default)]
pub struct FairShare {
    saturation: Saturation,
    observed_at: Timestamp,
    /// Share of the fleet that each class of a team is brought up to.
    floors: BTreeMap<TeamId, f64>,
}

impl FairShare {
    /// The share of the fleet that the class retains against preemption; 0 below overload.
    pub fn retained_share(&self, shares: &Shares, class: ClassId) -> f64 {
        let floor = self.floors.get(&shares.team_of(class)).copied();
        if self.is_active() {
            floor.unwrap_or(0.0) * RETAINED_FLOOR_FACTOR
        } else {
            0.0
        }
    }

    /// The resources that the class holds, or those of its floor if that is more.
    pub fn class_resources(&self, shares: &Shares, class: ClassId) -> Resources {
        let floor = self.floors.get(&shares.team_of(class)).copied().unwrap_or(0.0);
        shares.fleet().times(shares.class_share(class).max(floor))
    }

    /// Whether the fleet is overloaded, so that shares decide.
    pub fn is_active(&self) -> bool {
        self.saturation.is_saturated()
    }
}

/// The weight and guarantee of each team. A weight that isn't set is the team's guarantee relative
/// to the mean of all guarantees, or 1 without a guarantee.
pub(crate) fn entitlements(site: &Site, tunables: &Tunables) -> HashMap<String, Entitlement> {
    let guaranteed: Vec<f64> = site.teams.iter().map(|t| t.cpus).filter(|&c| c > 0.0).collect();
    let mean = guaranteed.iter().sum::<f64>() / guaranteed.len().max(1) as f64;
    let entitlement = |team: &crate::model::team::Team| {
        let by_guarantee = if team.cpus > 0.0 { team.cpus / mean } else { 1.0 };
        Entitlement {
            weight: tunables.team_weights.get(&team.name).copied().unwrap_or(by_guarantee),
            guarantee: Resources { cpus: team.cpus, gpus: team.gpus, memory_gb: 0.0 },
        }
    };
    site.teams.iter().map(|team| (team.name.clone(), entitlement(team))).collect()
}

impl MachineType {
    /// The resources of an empty machine of the type.
    pub fn resources(&self) -> Resources {
        Resources { cpus: self.cpus, gpus: self.gpus, memory_gb: self.memory_gb }
    }
}

impl Scheduler {
    fn deal_rules(&self) -> Rules {
        Rules {
            portion: PORTION_SHARE,
            floor: self.tunables.class_floor,
            all_floors: MAX_TOTAL_FLOOR_SHARE,
        }
    }

    /// Whether the job may preempt work of lower priority. Under overload, a team that holds its
    /// share of the fleet may not: its next jobs would be as late as those before, and the work of
    /// the preempted tasks would be lost.
    pub(crate) fn may_preempt(&self, queue_key: &QueueKey, ix: JobIndex) -> bool {
        let Some(job) = self.cluster.job(ix) else { return false };
        self.is_urgent(queue_key)
            && (queue_key.within_guarantee
                || !self.fair_share.is_active()
                || !self.cluster.shares.has_fair_share(job.share_class()))
    }

    /// Whether stopping one task of the job would leave its class with less than it retains.
    pub(crate) fn is_at_floor(&self, job: &Job) -> bool {
        let left = self.cluster.shares.share_without(job.share_class(), job.spec.task());
        left < self.fair_share.retained_share(&self.cluster.shares, job.share_class())
    }

    /// Places tasks by shares: aged jobs first, up to their share of the fleet, then by floors,
    /// priorities, guarantees and shares. Returns jobs that found no machine, as many as one
    /// preemption pass can serve.
    pub(crate) fn place_by_share(
        &mut self,
        now: Timestamp,
        queue: &[(QueueKey, JobIndex)],
        mut open: Vec<MachineIndex>,
        smallest: Resources,
    ) -> Vec<(QueueKey, JobIndex)> {
        let mut reserved = self.place_aged_by_share(now, queue, &open);
        open.retain(|ix| !reserved.contains(ix));
        self.examined.jobs += queue.len() as u64;
        let waiting =
            queue.iter().map(|&(queue_key, ix)| self.waiting(ix, queue_key.priority as u8));
        let mut deal = ProgressiveFilling::new(&self.cluster.shares, waiting, self.deal_rules());
        self.fair_share.floors = deal.floors();
        let mut blocked: Vec<(QueueKey, JobIndex)> = Vec::new();
        let mut preempting = 0;
        while let Some(portion) = deal.next_portion() {
            if open.is_empty() && preempting >= MAX_PREEMPTING_JOBS {
                break; // One preemption pass serves no more jobs than these.
            }
            if self.enough_starts_planned() {
                self.cluster.placement_needed = true;
                break;
            }
            let (queue_key, ix) = queue[portion.job];
            let (placed, out_of_machines) = self.place_job(now, ix, &open, portion.tasks);
            deal.record_placed(placed);
            if out_of_machines {
                let queue_key = QueueKey { aging: Aging::None, ..queue_key };
                blocked.push((queue_key, ix));
                preempting += usize::from(self.may_preempt(&queue_key, ix));
                if portion.for_floor && reserved.len() < self.max_reserved() {
                    // Without a reservation, small tasks of other classes would take all capacity
                    // as it becomes free.
                    let count = (self.max_reserved() - reserved.len())
                        .min((portion.tasks - placed) as usize);
                    let newly_reserved = self.machines_to_reserve(now, ix, &reserved, count);
                    open.retain(|m| !newly_reserved.contains(m));
                    reserved.extend(newly_reserved);
                }
            }
            if placed > 0 {
                open.retain(|&m| self.has_free_capacity(&self.cluster.machines[m], smallest));
            }
        }
        blocked.sort_by_key(|entry| std::cmp::Reverse(entry.0.priority));
        blocked
    }

    /// Places aged jobs, with the teams taking turns: the jobs of one burst age together, and would
    /// take the whole share of aged jobs. Returns the machines that are reserved for aged jobs.
    fn place_aged_by_share(
        &mut self,
        now: Timestamp,
        queue: &[(QueueKey, JobIndex)],
        open: &[MachineIndex],
    ) -> Vec<MachineIndex> {
        self.examined.jobs += queue.len() as u64;
        let aged: Vec<&(QueueKey, JobIndex)> =
            queue.iter().filter(|entry| entry.0.aging > Aging::None).collect();
        let mut reserved: Vec<MachineIndex> = Vec::new();
        if aged.is_empty() {
            return reserved;
        }
        let mut aged_cpus_left = self.cpus_left_for_aged(now);
        let max_reserved = self.max_reserved();
        let waiting = aged.iter().map(|&&(queue_key, ix)| {
            let waiting = self.waiting(ix, queue_key.aging as u8);
            match queue_key.aging {
                Aging::NotStarted => Waiting { tasks: waiting.tasks.min(1), ..waiting },
                _ => waiting,
            }
        });
        let deal_rules = Rules { floor: 0.0, ..self.deal_rules() };
        let mut deal = ProgressiveFilling::new(&self.cluster.shares, waiting, deal_rules);
        while let Some(portion) = deal.next_portion() {
            let &(queue_key, ix) = aged[portion.job];
            let Some(job) = self.cluster.job(ix) else { break };
            let cpus = job.spec.cpus.max(0.1);
            let max_tasks = match queue_key.aging {
                Aging::NotStarted => portion.tasks,
                _ => portion.tasks.min((aged_cpus_left / cpus).max(0.0) as u32),
            };
            let (placed, out_of_machines) = self.place_job(now, ix, open, max_tasks);
            deal.record_placed(placed);
            aged_cpus_left -= f64::from(placed) * cpus;
            if out_of_machines && reserved.len() < max_reserved {
                reserved.extend(self.machines_to_reserve(now, ix, &reserved, 1));
            }
            if open.is_empty() && reserved.len() >= max_reserved {
                break; // No machine is open, and no more may be reserved.
            }
        }
        reserved
    }

    /// Whether as many starts are planned as can be written within a second. Starts decided beyond
    /// that would be written in the order of decision and not in that of the shares. (When half of
    /// a fleet was idle for lack of write capacity, a team's few starts were queued behind those of
    /// another team's burst.)
    fn enough_starts_planned(&self) -> bool {
        self.transactions
            .writes_per_second()
            .is_some_and(|writes| self.transactions.planned_chunks() as f64 >= writes)
    }

    /// Whether the next round should wait until planned starts are written: scanning the whole
    /// queue for each few writes would cost more than it decides.
    pub(crate) fn waits_for_writes(&self) -> bool {
        let limit = self.transactions.writes_per_second().map(|writes| writes / 2.0);
        self.fair_share.is_active()
            && limit.is_some_and(|limit| self.transactions.planned_chunks() as f64 > limit)
    }

    fn waiting(&self, ix: JobIndex, tier: u8) -> Waiting {
        let job = &self.cluster.jobs[&ix];
        Waiting { tier, class: job.share_class, task: job.spec.task(), tasks: job.pending() }
    }

    /// Logs the largest shares of an overloaded fleet.
    pub(crate) fn log_shares(&mut self) {
        if !self.fair_share.is_active() {
            return;
        }
        let held = self.cluster.shares.largest(MAX_LOGGED_CLASSES).into_iter();
        let shares = held.map(|held| HeldShare {
            team: held.team.to_owned(),
            class: held.class.map(str::to_owned),
            share: held.share,
        });
        let shares = shares.collect();
        self.log(Event::Shares { shares });
    }

    /// Measures how much of the queue has no capacity, and logs when an overload starts or ends.
    pub(crate) fn observe_saturation(&mut self, now: Timestamp, queue: &[(QueueKey, JobIndex)]) {
        if !self.tunables.shared_order {
            return;
        }
        let knows_fleet =
            self.autoscaler.machine_list_read || now.since(self.started_at) > FLEET_LIST_TIMEOUT;
        if !knows_fleet || now.since(self.fair_share.observed_at) < OBSERVE_INTERVAL {
            return;
        }
        self.fair_share.observed_at = now;
        self.examined.jobs += queue.len() as u64;
        let fleet = self.cluster.shares.fleet();
        let boots = self.cluster.machine_types.iter().map(|t| t.boot_s);
        let boot_s = boots.min_by(f64::total_cmp).unwrap_or(0.0);
        let unmet = self.unplaceable_demand(now, queue, boot_s).less(self.incoming_resources());
        let waiting = unmet.dominant_share(fleet);
        let thresholds = Thresholds {
            enter: self.tunables.overload_at,
            leave: self.tunables.overload_at * LEAVE_FRACTION,
            at_once: IMMEDIATE_OVERLOAD.max(self.tunables.overload_at),
            enter_after: TimeDelta::from_secs_f64(boot_s * ENTER_AFTER_BOOTS),
            leave_after: LEAVE_AFTER,
        };
        match self.fair_share.saturation.observe(now, waiting, &thresholds) {
            Some(Change::Entered) => self.log(Event::OverloadEntered { waiting }),
            Some(Change::Left) => self.log(Event::OverloadLeft),
            None => {}
        }
    }

    /// Resources requested by waiting tasks that their teams' limits allow and that can't wait for
    /// a machine to boot. (Work with time to spare waits for running work as a matter of course;
    /// when it was counted, every ordinary day was an overload.)
    fn unplaceable_demand(
        &self,
        now: Timestamp,
        queue: &[(QueueKey, JobIndex)],
        boot_s: f64,
    ) -> Resources {
        let mut team_limits: HashMap<&str, Resources> = HashMap::new();
        let mut sum = Resources::NONE;
        for &(queue_key, ix) in queue {
            let Some(job) = self.cluster.job(ix) else { continue };
            let waits_long = now.since(job.ready_at) > self.tunables.begin_within;
            let fails_everywhere = job.errors > 0 && job.suspect();
            if fails_everywhere || queue_key.slack > boot_s && !waits_long {
                continue;
            }
            let task = job.spec.task();
            let remaining = team_limits
                .entry(job.spec.team.as_str())
                .or_insert_with(|| self.remaining_team_limit(&job.spec.team));
            let fitting =
                |free: f64, needed: f64| if needed > 0.0 { free / needed } else { f64::INFINITY };
            let max_tasks = fitting(remaining.cpus, task.cpus)
                .min(fitting(remaining.gpus, task.gpus))
                + EPSILON;
            let tasks = f64::from(job.pending()).min(max_tasks.floor());
            *remaining = remaining.less(task.times(tasks));
            sum += task.times(tasks);
        }
        sum
    }

    /// What the team's limit leaves it; infinite where there is no limit.
    fn remaining_team_limit(&self, team: &str) -> Resources {
        let TeamUsage { cpus, gpus } = self.cluster.team_usage(team);
        let left = |limit: f64, used: f64| {
            if limit > 0.0 {
                (limit - used).max(0.0)
            } else {
                f64::INFINITY
            }
        };
        match self.site.team(team) {
            Some(team) => Resources {
                cpus: left(team.cpus_max, cpus),
                gpus: left(team.gpus_max, gpus),
                memory_gb: f64::INFINITY,
            },
            None => Resources::NONE,
        }
    }

    /// Resources of the machines that are booting or requested.
    fn incoming_resources(&self) -> Resources {
        let is_booting = |m: &&Machine| {
            m.state == MachineState::Booting && m.expected && m.drain_reason.is_none()
        };
        let kinds = self.cluster.machines.iter().filter(is_booting).filter_map(|m| m.kind);
        let booting = kinds.map(|kind| self.cluster.machine_types[kind].resources());
        let requested = self.autoscaler.pending_scale_out.iter();
        let requested = requested.map(|(offer, &count)| {
            self.cluster.machine_types[offer.0].resources().times(f64::from(count))
        });
        booting.chain(requested).fold(Resources::NONE, |sum, room| sum + room)
    }
}
