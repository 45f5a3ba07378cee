//! An overloaded fleet is shared: which part of it each team and class holds, and whose turn it is.
//!
//! Below overload the queue's own order decides alone ([`crate::queue::order`]). Above it, room goes out in
//! portions by the rules of [`walnutlug_admission::deal`]; within a class the queue's order stays.

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

/// A portion of room, as a part of the fleet: small enough that the shares of a few teams come out
/// even, large enough that a job of usual size is one portion.
const PORTION: f64 = 1.0 / 64.0;
/// What the floors of all classes take together at most; the rest goes by priority.
const ALL_FLOORS: f64 = 0.5;
/// The fleet is overloaded no more when less waits than this part of what overloads it.
const LEAVE: f64 = 0.2;
/// For how long there has to be room before the overload is over.
const LEAVE_AFTER: TimeDelta = TimeDelta::from_secs(20);
/// Waiting work, as a part of the fleet, that nothing on its way will make room for: four fleets'
/// worth beyond the machines that were asked for.
const AT_ONCE: f64 = 4.0;
/// Boots of the quickest machine type for which work has to wait.
const BOOTS: f64 = 1.0;
/// What a class keeps in an overload, as a multiple of its floor: were it no more than that, what was
/// started to bring it there would be stopped as soon as the floor moved.
const KEPT: f64 = 1.25;
/// Classes that the log names.
const MAX_TOLD: usize = 12;
/// How often the work that finds no room is added up.
const OBSERVE_EVERY: TimeDelta = TimeDelta::from_millis(500);
/// After a failover, until a machine list is read, nobody can tell what room there is.
const KNOWS_FLEET_AFTER: TimeDelta = TimeDelta::from_secs(10);

/// What the leader keeps to share the fleet.
#[derive(Debug, Default)]
pub struct FairShare {
    saturation: Saturation,
    observed_at: Timestamp,
    /// The part of the fleet that each class is brought up to, by team.
    floors: BTreeMap<TeamId, f64>,
}

impl FairShare {
    /// The part of the fleet that the class keeps, whatever waits; nothing below overload.
    pub fn retained_share(&self, shares: &Shares, class: ClassId) -> f64 {
        let floor = self.floors.get(&shares.team_of(class)).copied();
        if self.is_active() {
            floor.unwrap_or(0.0) * KEPT
        } else {
            0.0
        }
    }

    /// What the class holds of the fleet, or its floor where it holds less.
    pub fn room_of(&self, shares: &Shares, class: ClassId) -> Resources {
        let floor = self.floors.get(&shares.team_of(class)).copied().unwrap_or(0.0);
        shares.fleet().times(shares.class_share(class).max(floor))
    }

    /// Whether the fleet is overloaded, so that shares decide.
    pub fn is_active(&self) -> bool {
        self.saturation.is_saturated()
    }
}

/// Weights are relative: a guarantee counts against the mean of all guarantees.
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
    /// What a machine of the type has.
    pub fn room(&self) -> Resources {
        Resources { cpus: self.cpus, gpus: self.gpus, memory_gb: self.memory_gb }
    }
}

impl Scheduler {
    fn rules(&self) -> Rules {
        Rules { portion: PORTION, floor: self.tunables.class_floor, all_floors: ALL_FLOORS }
    }

    /// Whether the job may have work of lower priority stopped. In an overload a team that holds its
    /// part of the fleet stops nobody's work: its next jobs would be as late as those before them, and
    /// what was done of the work is lost.
    pub(crate) fn may_preempt(&self, queue_key: &QueueKey, ix: JobIndex) -> bool {
        let Some(job) = self.cluster.job(ix) else { return false };
        self.is_urgent(queue_key)
            && (queue_key.within_guarantee
                || !self.fair_share.is_active()
                || !self.cluster.shares.has_fair_share(job.share_class()))
    }

    /// Whether one task less would leave the job's class with less than it keeps.
    pub(crate) fn is_at_floor(&self, job: &Job) -> bool {
        let left = self.cluster.shares.share_without(job.share_class(), job.spec.task());
        left < self.fair_share.retained_share(&self.cluster.shares, job.share_class())
    }

    /// Places what it can by shares: what age has lifted first, within its part of the fleet, then
    /// floors, priorities, guarantees and shares. Returns jobs that found no machine, as many as may
    /// have room made for them.
    pub(crate) fn place_by_share(
        &mut self,
        now: Timestamp,
        queue: &[(QueueKey, JobIndex)],
        mut open: Vec<MachineIndex>,
        least: Resources,
    ) -> Vec<(QueueKey, JobIndex)> {
        let mut reserved = self.place_aged_by_share(now, queue, &open);
        open.retain(|ix| !reserved.contains(ix));
        self.examined.jobs += queue.len() as u64;
        let waiting =
            queue.iter().map(|&(queue_key, ix)| self.waiting(ix, queue_key.priority as u8));
        let mut deal = ProgressiveFilling::new(&self.cluster.shares, waiting, self.rules());
        self.fair_share.floors = deal.floors();
        let mut blocked: Vec<(QueueKey, JobIndex)> = Vec::new();
        let mut preempting = 0;
        while let Some(portion) = deal.next_portion() {
            if open.is_empty() && preempting >= MAX_PREEMPTING_JOBS {
                break; // Room can't be made for more than these in one look.
            }
            if self.enough_starts_planned() {
                self.cluster.placement_needed = true;
                break;
            }
            let (queue_key, ix) = queue[portion.job];
            let (placed, stuck) = self.place_job(now, ix, &open, portion.tasks);
            deal.record_placed(placed);
            if stuck {
                let queue_key = QueueKey { aging: Aging::None, ..queue_key };
                blocked.push((queue_key, ix));
                preempting += usize::from(self.may_preempt(&queue_key, ix));
                if portion.for_floor && reserved.len() < self.max_reserved() {
                    // Small tasks of others would take every bit that gets free.
                    let count = (self.max_reserved() - reserved.len())
                        .min((portion.tasks - placed) as usize);
                    let cleared = self.machines_to_reserve(now, ix, &reserved, count);
                    open.retain(|m| !cleared.contains(m));
                    reserved.extend(cleared);
                }
            }
            if placed > 0 {
                open.retain(|&m| self.has_room(&self.cluster.machines[m], least));
            }
        }
        blocked.sort_by_key(|entry| std::cmp::Reverse(entry.0.priority));
        blocked
    }

    /// What age has lifted, by turns of the teams: a flood's jobs grow old together, and would leave
    /// nothing of the old jobs' part to the others. Returns machines that are kept for it.
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
        let mut room = self.room_for_aged(now);
        let max_reserved = self.max_reserved();
        let waiting = aged.iter().map(|&&(queue_key, ix)| {
            let waiting = self.waiting(ix, queue_key.aging as u8);
            match queue_key.aging {
                Aging::Unbegun => Waiting { tasks: waiting.tasks.min(1), ..waiting },
                _ => waiting,
            }
        });
        let rules = Rules { floor: 0.0, ..self.rules() };
        let mut deal = ProgressiveFilling::new(&self.cluster.shares, waiting, rules);
        while let Some(portion) = deal.next_portion() {
            let &(queue_key, ix) = aged[portion.job];
            let Some(job) = self.cluster.job(ix) else { break };
            let cpus = job.spec.cpus.max(0.1);
            let most = match queue_key.aging {
                Aging::Unbegun => portion.tasks,
                _ => portion.tasks.min((room / cpus).max(0.0) as u32),
            };
            let (placed, stuck) = self.place_job(now, ix, open, most);
            deal.record_placed(placed);
            room -= f64::from(placed) * cpus;
            if stuck && reserved.len() < max_reserved {
                reserved.extend(self.machines_to_reserve(now, ix, &reserved, 1));
            }
            if open.is_empty() && reserved.len() >= max_reserved {
                break; // Nothing finds room, and no more may be cleared.
            }
        }
        reserved
    }

    /// Whether as many starts are planned as can be written within a second. What is decided beyond
    /// that would wait in the order in which it was decided, and not in that of the shares. (With
    /// half of a fleet idle for want of writes, a team's few starts stood behind the flood's.)
    fn enough_starts_planned(&self) -> bool {
        self.transactions
            .writes_per_second()
            .is_some_and(|writes| self.transactions.planned_chunks() as f64 >= writes)
    }

    /// Whether the next round had better wait for the writes of the last ones: a look at the whole queue
    /// for each few of them would cost more than it decides.
    pub(crate) fn waits_for_writes(&self) -> bool {
        let half = self.transactions.writes_per_second().map(|writes| writes / 2.0);
        self.fair_share.is_active()
            && half.is_some_and(|half| self.transactions.planned_chunks() as f64 > half)
    }

    fn waiting(&self, ix: JobIndex, tier: u8) -> Waiting {
        let job = &self.cluster.jobs[&ix];
        Waiting { tier, class: job.share_class, task: job.spec.task(), tasks: job.pending() }
    }

    /// Tells who holds an overloaded fleet.
    pub(crate) fn log_shares(&mut self) {
        if !self.fair_share.is_active() {
            return;
        }
        let held = self.cluster.shares.largest(MAX_TOLD).into_iter();
        let shares = held.map(|held| HeldShare {
            team: held.team.to_owned(),
            class: held.class.map(str::to_owned),
            share: held.share,
        });
        let shares = shares.collect();
        self.log(Event::Shares { shares });
    }

    /// Takes in how much of the queue was left without room.
    pub(crate) fn observe_saturation(&mut self, now: Timestamp, queue: &[(QueueKey, JobIndex)]) {
        if !self.tunables.shared_order {
            return;
        }
        let knows_fleet =
            self.autoscaler.machine_list_read || now.since(self.started_at) > KNOWS_FLEET_AFTER;
        if !knows_fleet || now.since(self.fair_share.observed_at) < OBSERVE_EVERY {
            return;
        }
        self.fair_share.observed_at = now;
        self.examined.jobs += queue.len() as u64;
        let fleet = self.cluster.shares.fleet();
        let boots = self.cluster.machine_types.iter().map(|t| t.boot_s);
        let boot = boots.min_by(f64::total_cmp).unwrap_or(0.0);
        let lacking = self.without_room(now, queue, boot).less(self.on_its_way());
        let waiting = lacking.dominant_share(fleet);
        let thresholds = Thresholds {
            enter: self.tunables.overload_at,
            leave: self.tunables.overload_at * LEAVE,
            at_once: AT_ONCE.max(self.tunables.overload_at),
            enter_after: TimeDelta::from_secs_f64(boot * BOOTS),
            leave_after: LEAVE_AFTER,
        };
        match self.fair_share.saturation.observe(now, waiting, &thresholds) {
            Some(Change::Entered) => self.log(Event::OverloadEntered { waiting }),
            Some(Change::Left) => self.log(Event::OverloadLeft),
            None => {}
        }
    }

    /// What the jobs' tasks take that wait, that their teams' limits allow, and that can't wait for a
    /// machine to boot. (Work with time to spare waits for running work as a matter of course: counted
    /// in, it made an overload of every ordinary day.)
    fn without_room(
        &self,
        now: Timestamp,
        queue: &[(QueueKey, JobIndex)],
        boot_s: f64,
    ) -> Resources {
        let mut allowed: HashMap<&str, Resources> = HashMap::new();
        let mut sum = Resources::NONE;
        for &(queue_key, ix) in queue {
            let Some(job) = self.cluster.job(ix) else { continue };
            let waits_long = now.since(job.ready_at) > self.tunables.begin_within;
            let fails = job.errors > 0 && job.suspect();
            if fails || queue_key.slack > boot_s && !waits_long {
                continue;
            }
            let task = job.spec.task();
            let room = allowed
                .entry(job.spec.team.as_str())
                .or_insert_with(|| self.room_under_limit(&job.spec.team));
            let by = |room: f64, takes: f64| if takes > 0.0 { room / takes } else { f64::INFINITY };
            let most = by(room.cpus, task.cpus).min(by(room.gpus, task.gpus)) + EPSILON;
            let tasks = f64::from(job.pending()).min(most.floor());
            *room = room.less(task.times(tasks));
            sum += task.times(tasks);
        }
        sum
    }

    /// What the team's limit leaves it; without bound where there is no limit.
    fn room_under_limit(&self, team: &str) -> Resources {
        let TeamUsage { cpus, gpus } = self.cluster.team_usage(team);
        let left = |most: f64, used: f64| {
            if most > 0.0 {
                (most - used).max(0.0)
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

    /// What the machines have that were rented or are being asked for.
    fn on_its_way(&self) -> Resources {
        let boots = |m: &&Machine| {
            m.state == MachineState::Booting && m.expected && m.drain_reason.is_none()
        };
        let kinds = self.cluster.machines.iter().filter(boots).filter_map(|m| m.kind);
        let rented = kinds.map(|kind| self.cluster.machine_types[kind].room());
        let asked = self.autoscaler.asking.iter();
        let asked = asked.map(|(offer, &count)| {
            self.cluster.machine_types[offer.0].room().times(f64::from(count))
        });
        rented.chain(asked).fold(Resources::NONE, |sum, room| sum + room)
    }
}
