//! Machines: what to rent, what to return, what the money goes to.

pub mod offers;

use std::collections::{BTreeMap, HashMap};

use walnutlug_admission::shares::ClassId;

use crate::autoscaling::offers::{
    InstanceOffer, InstanceOffers, WhatIfMachine, MAX_MACHINES_PER_REQUEST,
};
use crate::command::Command;
use crate::event::{Event, FleetCost, MachineScaledIn};
use crate::model::cluster::TeamUsage;
use crate::model::ids::{JobIndex, MachineIndex};
use crate::model::job::Job;
use crate::model::machine::DrainReason;
use crate::model::machine::MachineState;
use crate::model::EPSILON;
use crate::protocol::cloud::{CloudMachineState, ListedMachine};
use crate::queue::order::QueueKey;
use crate::reconciliation::machine_loss::tasks_lost;
use crate::scheduler::Scheduler;
use crate::time::{TimeDelta, Timestamp};

/// What is in progress between the leader and the cloud.
#[derive(Debug, Default)]
pub struct Autoscaler {
    /// Offers refused lately, until when they are not asked again and how often in a row.
    pub refused: HashMap<InstanceOffer, (Timestamp, u32)>,
    /// Requests under way.
    pub asking: HashMap<InstanceOffer, u32>,
    /// The cloud answers nothing at present.
    pub down_until: Timestamp,
    last_assessed: Timestamp,
    last_rent: Timestamp,
    /// When slow machines were looked for last.
    pub(crate) last_slow_check: Timestamp,
    /// Requests to return machines that have no outcome yet.
    pub returning: u32,
    usage: Usage,
    /// Whether a whole machine list was read under this term.
    pub machine_list_read: bool,
}

/// What the money of the last minute went to, in hours of each kind's price.
#[derive(Debug, Default)]
struct Usage {
    since: Option<Timestamp>,
    last: Option<Timestamp>,
    cost: FleetCost,
}

/// How long a machine that is said to be up is counted on without having answered.
const ANSWER_WITHIN: TimeDelta = TimeDelta::from_secs(5);

const LOOK_EVERY: TimeDelta = TimeDelta::from_millis(500);
/// How often needs are compared with the fleet while no machines are asked for: a boot takes many times
/// that. While some are, of which one request gets only so many, at every look.
const SCALE_OUT_EVERY: TimeDelta = TimeDelta::from_millis(1_000);
/// How often the cost of every machine and task is added up: only the log tells it.
const ACCOUNT_EVERY: TimeDelta = TimeDelta::from_secs(5);
/// Refusals in a row that lengthen the pause before an offer is tried again: 16 s at most, since the
/// cloud takes machines back all the time and then has them to give.
const MAX_REFUSALS: u32 = 2;
/// How long nothing is rented after the cloud gave no usable answer.
const CLOUD_PAUSE: TimeDelta = TimeDelta::from_secs(2);
const TERMINATION_RETRY: TimeDelta = TimeDelta::from_secs(6);

impl Scheduler {
    /// Looks at the fleet as a whole, now and then.
    pub fn autoscale(&mut self, now: Timestamp) {
        if now.since(self.autoscaler.last_assessed) < LOOK_EVERY {
            return;
        }
        self.autoscaler.last_assessed = now;
        if now.since(self.autoscaler.usage.last.unwrap_or_default()) >= ACCOUNT_EVERY {
            self.account_costs(now);
        }
        if !self.authority.holds_lease() {
            return;
        }
        let unheard = self.silent_zones(now);
        self.assess_health(now, &unheard);
        self.evict_before_interruption(now);
        let ours = |m: &crate::model::machine::Machine| {
            m.state == MachineState::Up && m.drain_reason.is_none()
        };
        if !unheard.is_empty()
            && self.cluster.machines.iter().all(|m| !ours(m) || unheard.contains(&m.zone))
        {
            // Nothing is heard of any: what there is, and what is lacking, can't be told from here.
            return;
        }
        // A new leader first hears what machines there are.
        let knows_fleet = self.autoscaler.machine_list_read
            || now.since(self.started_at) > TimeDelta::from_secs(10);
        let pause = if self.autoscaler.asking.is_empty() { SCALE_OUT_EVERY } else { LOOK_EVERY };
        if knows_fleet && now.since(self.autoscaler.last_rent) >= pause {
            self.autoscaler.last_rent = now;
            let queue = self.queue(now);
            let none_may_run = !queue.iter().any(|&(_, ix)| self.room_in_team(ix) > 0);
            self.scale_out(now, queue);
            // While a job waits that may run, the next thing to get free may be of use to it.
            if none_may_run {
                self.drain_idle(now);
            }
        }
        self.scale_in(now);
    }

    /// Tells once a minute what the fleet's money went to.
    fn account_costs(&mut self, now: Timestamp) {
        let mut usage = std::mem::take(&mut self.autoscaler.usage);
        let hours = usage.last.map_or(0.0, |t| now.since(t).as_secs_f64() / 3_600.0);
        usage.last = Some(now);
        let cost = &mut usage.cost;
        for m in &self.cluster.machines {
            let Some(kind) = m.kind.and_then(|k| self.cluster.machine_types.get(k)) else {
                continue;
            };
            if m.state == MachineState::Terminated {
                continue;
            }
            let money = hours * if m.spot { kind.spot_price } else { kind.price };
            *(if m.spot { &mut cost.spot } else { &mut cost.ordinary }) += money;
            if m.state == MachineState::Booting {
                cost.booting += money;
                continue;
            }
            // By the resource that is scarcest on the machine, so that a full one is not idle.
            let part = |takes: f64, of: f64| if of > 0.0 { (takes / of).min(1.0) } else { 0.0 };
            let idle =
                1.0 - part(m.used().cpus, kind.cpus).max(part(m.used().memory_gb, kind.memory_gb));
            *(if m.spot { &mut cost.idle_spot } else { &mut cost.idle_ordinary }) += money * idle;
            for id in &m.tasks {
                let Some(job) = self.cluster.job(id.0) else { continue };
                let share = money * part(job.spec.cpus, kind.cpus);
                if job.started.contains_key(&id.1) {
                    cost.running += share;
                } else {
                    cost.fetching += share;
                }
            }
        }
        let since = *usage.since.get_or_insert(now);
        if now.since(since) >= TimeDelta::from_secs(60) {
            self.log(Event::FleetCost(usage.cost));
            usage = Usage { since: Some(now), last: Some(now), cost: FleetCost::default() };
            let written = self.transactions.take_counts();
            self.log(Event::Writes(written));
            self.log_shares();
        }
        self.autoscaler.usage = usage;
    }

    /// Rents for work that finds no place, and for the headroom.
    fn scale_out(&mut self, now: Timestamp, queue: Vec<(QueueKey, JobIndex)>) {
        if now < self.autoscaler.down_until || self.cluster.machine_types.is_empty() {
            return;
        }
        // A machine without room for the smallest task that waits is of no use to any.
        let (mut least_cpus, mut least_memory) = (f64::INFINITY, f64::INFINITY);
        for job in queue.iter().filter_map(|&(_, ix)| self.cluster.job(ix)) {
            least_cpus = least_cpus.min(job.spec.cpus);
            least_memory = least_memory.min(job.spec.memory_gb);
        }
        let mut offers = self.offers(now);
        let mut what_if_machines: Vec<WhatIfMachine> = Vec::new();
        let mut free = 0.0;
        // Processors of ordinary machines that are on their way.
        let mut ordered = 0.0;
        for m in &self.cluster.machines {
            let Some(kind) = m.kind else { continue };
            // One that is said to run and doesn't answer is most likely gone.
            let coming = m.state == MachineState::Booting
                && m.expected
                && m.drain_reason.is_none()
                && m.hinted_up_at.is_none_or(|t| now.since(t) < ANSWER_WITHIN);
            if !coming && !self.is_schedulable(now, m) {
                continue;
            }
            let t = &self.cluster.machine_types[kind];
            let p = WhatIfMachine {
                offer: offers.index(kind, &m.zone, m.spot),
                cpus: t.cpus - m.used().cpus,
                gpus: t.gpus - m.used().gpus,
                memory: t.memory_gb - m.used().memory_gb,
            };
            offers.there[p.offer] += 1;
            free += p.cpus.max(0.0);
            if coming && !m.spot {
                ordered += p.cpus.max(0.0);
            }
            if p.cpus + EPSILON >= least_cpus && p.memory + EPSILON >= least_memory {
                what_if_machines.push(p);
            }
        }
        for (offer, &n) in &self.autoscaler.asking {
            let index = offers.index(offer.0, &offer.1, offer.2);
            offers.there[index] += n;
            for _ in 0..n {
                let p = self.empty_machine(index, offer.0);
                free += p.cpus;
                if !offer.2 {
                    ordered += p.cpus;
                }
                what_if_machines.push(p);
            }
        }
        let dear = !self.ordinary_is_cheap();
        let mut soon_free = self.cpus_free_soon(now);
        for (queue_key, ix) in queue {
            let Some(job) = self.cluster.job(ix) else { continue };
            if job.errors > 0 && job.suspect() {
                continue; // No machine is rented for a job that fails everywhere.
            }
            let allowed: Vec<bool> =
                offers.offers.iter().map(|o| self.offer_allowed(job, o)).collect();
            let mut todo = job.pending().min(self.room_in_team(ix));
            for p in what_if_machines.iter_mut().filter(|p| allowed[p.offer]) {
                if todo == 0 {
                    break;
                }
                let n = p.take(&job.spec, todo);
                todo -= n;
                free -= f64::from(n) * job.spec.cpus;
            }
            if todo == 0 {
                continue;
            }
            let boot = self.quickest_boot(ix);
            if queue_key.slack > self.tunables.rent_slack.as_secs_f64() + boot
                && now.since(job.ready_at) < self.tunables.rent_slack
                && self.makes_room_for(now, ix)
            {
                continue; // Time enough for running work to make room.
            }
            // Where an ordinary machine is several times as dear as a spot one, it is only for work
            // that it can still bring home in time, and that nothing else will.
            let ordinary = self.ordinary_is_cheap()
                || (!self.others_can_give_way(ix, f64::from(todo) * job.spec.cpus)
                    && queue_key.finish_slack < self.tunables.ordinary_slack.as_secs_f64()
                    && queue_key.finish_slack > 0.5 * boot);
            while todo > 0 && offers.has_room() {
                let spot_job = job.spec.spot;
                let open = |i: usize| allowed[i] && (offers.offers[i].2 || !spot_job || ordinary);
                let Some(index) = offers.cheapest(open) else { break };
                let (kind, _, spot) = offers.offers[index];
                if !spot && dear && soon_free >= job.spec.cpus {
                    // Room that running work frees before a machine could boot.
                    soon_free -= job.spec.cpus;
                    todo -= 1;
                    continue;
                }
                if !spot && dear && ordered >= job.spec.cpus {
                    // Rented for this need before. On paper a machine on its way goes to the first in
                    // the queue, which may be a job that nothing dear is rented for, and each look
                    // rented anew for the others: 230 machines within three seconds for one job's 76
                    // tasks.
                    ordered -= job.spec.cpus;
                    todo -= 1;
                    continue;
                }
                let mut p = self.empty_machine(index, kind);
                let n = p.take(&job.spec, todo);
                if n == 0 {
                    break;
                }
                todo -= n;
                free += p.cpus;
                offers.add_desired(index);
                what_if_machines.push(p);
            }
        }
        let cheap = self.ordinary_is_cheap();
        let mut lacking = self.headroom_cpus(now) - free;
        while lacking > EPSILON && offers.has_room() {
            // The cheapest machine to stand by, an ordinary one only where those are cheap.
            let Some(index) = offers.cheapest(|i| offers.offers[i].2 || cheap) else { break };
            lacking -= self.cluster.machine_types[offers.offers[index].0].cpus;
            offers.add_desired(index);
        }
        for (offer, count) in offers.offers.into_iter().zip(offers.desired) {
            if count == 0 || self.autoscaler.asking.get(&offer).copied().unwrap_or(0) > 0 {
                continue;
            }
            let count = count.min(MAX_MACHINES_PER_REQUEST);
            self.autoscaler.asking.insert(offer.clone(), count);
            self.commands.push(Command::ScaleOut {
                kind: self.cluster.machine_types[offer.0].name.clone(),
                zone: offer.1,
                spot: offer.2,
                count,
            });
        }
    }

    /// All that the cloud offers at present.
    fn offers(&self, now: Timestamp) -> InstanceOffers {
        let mut offers = InstanceOffers::default();
        for (k, kind) in self.cluster.machine_types.iter().enumerate() {
            for zone in &kind.zones {
                for spot in [true, false] {
                    let price = if spot { kind.spot_price } else { kind.price };
                    let offer = (k, zone.clone(), spot);
                    let open = kind.cpus > 0.0 && self.open_offer(now, &offer);
                    offers.add(offer, price.max(0.0) / kind.cpus.max(EPSILON), open);
                }
            }
        }
        offers
    }

    /// Whether the job's tasks may be on a machine of the offer, were it empty.
    fn offer_allowed(&self, job: &Job, offer: &InstanceOffer) -> bool {
        let spec = &job.spec;
        (spec.spot || !offer.2)
            && spec.fits_type(&self.cluster.machine_types[offer.0])
            && spec.zone.as_ref().is_none_or(|z| *z == offer.1)
            && (!spec.one_zone || job.zones.is_empty() || job.zones.contains_key(&offer.1))
    }

    fn empty_machine(&self, offer: usize, kind: usize) -> WhatIfMachine {
        let kind = &self.cluster.machine_types[kind];
        WhatIfMachine { offer, cpus: kind.cpus, gpus: kind.gpus, memory: kind.memory_gb }
    }

    /// Processors that running tasks should free within a boot's time. Those of quick classes don't
    /// count: the next of their kind take their place.
    fn cpus_free_soon(&self, now: Timestamp) -> f64 {
        let boots = self.cluster.machine_types.iter().map(|t| t.boot_s);
        let boot = boots.min_by(f64::total_cmp).unwrap_or(0.0) * 1.2;
        let mut free = 0.0;
        for job in
            self.cluster.jobs.values().filter(|j| !self.has_short_start_objective(&j.spec.class))
        {
            let run = self.run_times.expected_run(job);
            let soon = job.tasks.iter().zip(0..).filter(|(t, index)| {
                let since = match job.started.get(index) {
                    Some(&since) => since,
                    // Right after a failover nothing has been seen running yet. (Taken for work
                    // that frees nothing, it made a new leader rent three hundred dear machines.)
                    None if self.cluster.predates_term(t) => self.cluster.run_started_at(now, t),
                    None => return false,
                };
                t.phase.placed() && run - now.since(since).as_secs_f64() < boot
            });
            free += soon.count() as f64 * job.spec.cpus;
        }
        free
    }

    /// Whether there is running work on machines that the job could use, so that waiting makes
    /// sense. (Without this a job with time to spare waited on an empty fleet for machines that
    /// nobody rented.)
    fn makes_room_for(&self, now: Timestamp, ix: JobIndex) -> bool {
        let Some(job) = self.cluster.job(ix) else { return false };
        self.cluster.machines.iter().any(|m| {
            let kind = m.kind.and_then(|k| self.cluster.machine_types.get(k));
            self.is_schedulable(now, m)
                && !m.tasks.is_empty()
                && (job.spec.spot || !m.spot)
                && job.spec.zone.as_ref().is_none_or(|z| *z == m.zone)
                && kind.is_some_and(|k| job.spec.fits_type(k))
        })
    }

    /// Whether work of lower priority holds the room that the job needs, so that stopping it serves
    /// the job sooner than any machine that has yet to boot.
    fn others_can_give_way(&self, ix: JobIndex, cpus: f64) -> bool {
        let Some(job) = self.cluster.job(ix) else { return false };
        let lower = self
            .cluster
            .jobs
            .values()
            .filter(|j| j.priority < job.priority && !j.is_ended() && j.placed > 0);
        let mut by_class: BTreeMap<ClassId, f64> = BTreeMap::new();
        for other in lower {
            let held = f64::from(other.placed) * other.spec.cpus;
            *by_class.entry(other.share_class()).or_default() += held;
        }
        // What a class keeps in an overload makes room for nobody. (Counted as if it did, it kept the
        // leader from renting for a flood of urgent work until the flood was nearly over.)
        let retained_share = |class: ClassId| {
            self.fair_share.retained_share(&self.cluster.shares, class) * self.fleet_cpus
        };
        let beyond = by_class.iter().map(|(&class, held)| (held - retained_share(class)).max(0.0));
        beyond.sum::<f64>() >= cpus
    }

    /// Whether ordinary machines cost little more than spot ones, over all types.
    pub(crate) fn ordinary_is_cheap(&self) -> bool {
        let (ordinary, spot) = self
            .cluster
            .machine_types
            .iter()
            .fold((0.0, 0.0), |(o, s), t| (o + t.price / t.cpus, s + t.spot_price / t.cpus));
        ordinary <= self.tunables.premium * spot
    }

    /// The shortest boot among the types that the job allows, in seconds.
    fn quickest_boot(&self, ix: JobIndex) -> f64 {
        let Some(job) = self.cluster.job(ix) else { return 0.0 };
        let fits = self.cluster.machine_types.iter().filter(|t| job.spec.fits_type(t));
        fits.map(|t| t.boot_s).min_by(f64::total_cmp).unwrap_or(0.0)
    }

    /// How many more tasks of the job its team's limit allows.
    pub(crate) fn room_in_team(&self, ix: JobIndex) -> u32 {
        let Some(job) = self.cluster.job(ix) else { return 0 };
        let Some(team) = self.site.team(&job.spec.team) else { return 0 };
        let TeamUsage { cpus, gpus } = self.cluster.team_usage(&job.spec.team);
        let by = |max: f64, used: f64, takes: f64| {
            if max <= 0.0 || takes <= 0.0 {
                u32::MAX
            } else {
                ((max - used + EPSILON) / takes).clamp(0.0, 1.0e6) as u32
            }
        };
        by(team.cpus_max, cpus, job.spec.cpus).min(by(team.gpus_max, gpus, job.spec.gpus))
    }

    fn open_offer(&self, now: Timestamp, offer: &InstanceOffer) -> bool {
        self.autoscaler.refused.get(offer).is_none_or(|&(until, _)| now >= until)
    }

    /// Drains machines that have had nothing to do for a while, ordinary ones sooner.
    fn drain_idle(&mut self, now: Timestamp) {
        let mut free: f64 = self
            .cluster
            .machines
            .iter()
            .filter(|m| self.is_schedulable(now, m))
            .filter_map(|m| Some(self.cluster.machine_types[m.kind?].cpus - m.used().cpus))
            .sum();
        let headroom = self.headroom_cpus(now);
        let cheap = self.ordinary_is_cheap();
        let mut idle: Vec<usize> = (0..self.cluster.machines.len())
            .filter(|&i| {
                let m = &self.cluster.machines[i];
                let limit = match (cheap, m.spot) {
                    (true, _) => self.tunables.idle_cheap,
                    (false, true) => self.tunables.idle_spot,
                    (false, false) => self.tunables.idle_ordinary,
                };
                self.is_schedulable(now, m) && m.tasks.is_empty() && now.since(m.idle_since) > limit
            })
            .collect();
        idle.sort_by_key(|&i| (self.cluster.machines[i].spot, self.cluster.machines[i].idle_since));
        for i in idle {
            let cpus =
                self.cluster.machines[i].kind.map_or(0.0, |k| self.cluster.machine_types[k].cpus);
            // Ordinary machines are too dear to stand by.
            if (cheap || self.cluster.machines[i].spot) && free - cpus < headroom {
                break;
            }
            free -= cpus;
            self.cluster.machines[i].drain_reason = Some(DrainReason::Idle);
        }
    }

    /// Gives back what is marked and either empty or beyond help.
    fn scale_in(&mut self, now: Timestamp) {
        if now < self.autoscaler.down_until || self.autoscaler.returning > 1 {
            return;
        }
        let mut names = Vec::new();
        let mut scaled_in = Vec::new();
        let mut returning = Vec::new();
        for (m, ix) in self.cluster.machines.iter_mut().zip(0..) {
            let again = m.state == MachineState::Terminating
                && m.termination_sent_at.is_some_and(|t| now.since(t) > TERMINATION_RETRY);
            // A drained machine is returned when empty; a silent one is returned because it holds
            // tasks that nothing else can prove off it. One that never came up is just returned.
            let hopeless = m.drain_reason.is_some_and(DrainReason::terminates_with_tasks);
            let due = m.state != MachineState::Terminated
                && m.state != MachineState::Terminating
                && (hopeless
                    || (m.drain_reason.is_some() && m.tasks.is_empty() && m.unexpected_tasks == 0));
            if (due || again) && names.len() < 100 {
                scaled_in.push(MachineScaledIn { machine: m.name.clone(), reason: m.drain_reason });
                m.state = MachineState::Terminating;
                returning.push(ix);
                m.termination_sent_at = Some(now);
                names.push(m.name.clone());
            }
        }
        for ix in returning {
            self.cluster.invalidate_cached_heartbeat(MachineIndex(ix));
        }
        if !names.is_empty() {
            self.autoscaler.returning += 1;
            self.log(Event::ScaleIn { machines: scaled_in });
            self.commands.push(Command::ScaleIn { machines: names });
        }
    }

    /// The answer to [`Command::ScaleIn`]: whether it was 200, which proves the machines gone.
    pub fn scale_in_answered(&mut self, now: Timestamp, names: &[String], ok: bool) {
        self.autoscaler.returning = self.autoscaler.returning.saturating_sub(1);
        for name in names {
            if ok {
                self.reopen_offer(name);
                self.machine_gone(now, name);
            } else if let Some(&m) = self.cluster.machines_by_name.get(name) {
                self.cluster.machines[m].termination_sent_at =
                    Some(now - TERMINATION_RETRY + TimeDelta::from_millis(1_500));
            }
        }
    }

    /// A former leader recorded that the machine is returned. Nothing is placed there, and what is on it
    /// is there until the return is answered.
    pub fn adopt_scale_in(&mut self, now: Timestamp, name: &str) {
        let ix = self.cluster.machine_named(now, name);
        let machine = &mut self.cluster.machines[ix];
        machine.state = MachineState::Terminating;
        machine.termination_sent_at = Some(now);
        self.cluster.invalidate_cached_heartbeat(ix);
    }

    /// A former leader recorded that it rents these machines, and whether they came isn't known yet.
    pub fn adopt_scale_out(&mut self, kind: &str, zone: &str, spot: bool, count: u32) {
        if let Some(kind) = self.cluster.machine_types.iter().position(|t| t.name == kind) {
            *self.autoscaler.asking.entry((kind, zone.to_owned(), spot)).or_default() += count;
        }
    }

    /// The cloud gives no usable answers: nothing more is asked for during a moment.
    pub fn pause_cloud(&mut self, now: Timestamp) {
        self.autoscaler.down_until = now + CLOUD_PAUSE;
    }

    /// What was given back is to be had again, whatever was refused before. (After a cut of a zone
    /// half the fleet had been given back, and nothing was rented there for half a minute.)
    fn reopen_offer(&mut self, name: &str) {
        let Some(&m) = self.cluster.machines_by_name.get(name) else { return };
        let machine = &self.cluster.machines[m];
        if let Some(kind) = machine.kind {
            let offer = (kind, machine.zone.clone(), machine.spot);
            self.autoscaler.refused.remove(&offer);
        }
    }

    /// The answer to [`Command::ScaleOut`]: the names, or nothing if there was no capacity, or
    /// `Err` if the cloud gave no usable answer.
    pub fn scale_out_answered(
        &mut self,
        now: Timestamp,
        kind: &str,
        zone: &str,
        spot: bool,
        asked: u32,
        answer: Result<Vec<String>, ()>,
    ) {
        let Some(k) = self.cluster.machine_types.iter().position(|t| t.name == kind) else {
            return;
        };
        let offer = (k, zone.to_owned(), spot);
        self.autoscaler.asking.remove(&offer);
        let got = match answer {
            Ok(names) => names,
            Err(()) => {
                self.pause_cloud(now);
                return;
            }
        };
        if (got.len() as u32) < asked {
            let entry = self.autoscaler.refused.entry(offer.clone()).or_insert((now, 0));
            entry.1 = (entry.1 + 1).min(MAX_REFUSALS);
            entry.0 = now + TimeDelta::from_secs(4 << entry.1);
        } else {
            self.autoscaler.refused.remove(&offer);
        }
        self.log(Event::ScaleOutAnswered {
            requested: asked,
            granted: got.len(),
            machine_type: kind.to_owned(),
            zone: zone.to_owned(),
            spot,
        });
        for name in got {
            let m = self.cluster.machine_named(now, &name);
            let machine = &mut self.cluster.machines[m];
            machine.expected = true;
            if machine.state == MachineState::Booting {
                machine.kind = Some(k);
                machine.spot = spot;
                let old = std::mem::replace(&mut machine.zone, zone.to_owned());
                let tasks: Vec<_> = machine.tasks.iter().copied().collect();
                if old != zone {
                    self.cluster.rezone(&tasks, &old, zone);
                }
            }
        }
        self.cluster.placement_needed = true;
    }

    /// A whole machine list. It lags, so what is missing from it proves nothing; what it calls
    /// failed has stopped by itself.
    pub fn machine_list(&mut self, now: Timestamp, list: &[ListedMachine]) {
        self.autoscaler.machine_list_read = true;
        for entry in list {
            let m = self.cluster.machine_named(now, &entry.name);
            let kind = self.cluster.machine_types.iter().position(|t| t.name == entry.kind);
            let machine = &mut self.cluster.machines[m];
            if machine.state == MachineState::Terminated {
                continue;
            }
            machine.expected = true;
            if machine.kind.is_none() {
                machine.kind = kind;
            }
            if machine.zone.is_empty() {
                machine.spot = entry.spot;
                machine.requested_at = now - TimeDelta::from_secs_f64(entry.age_s);
                machine.zone.clone_from(&entry.zone);
                let tasks: Vec<_> = machine.tasks.iter().copied().collect();
                self.cluster.rezone(&tasks, "", &entry.zone);
            }
            let machine = &mut self.cluster.machines[m];
            if machine.address.is_empty() {
                if let Some(address) = &entry.address {
                    machine.address.clone_from(address);
                }
            }
            if entry.stage == CloudMachineState::Running {
                machine.hinted_up_at.get_or_insert(now);
            }
            if entry.stage == CloudMachineState::Failed {
                // A failed machine stopped by itself, so nothing is on it any more. It stays
                // listed until it is returned.
                if machine.drain_reason != Some(DrainReason::Failed)
                    && machine.state != MachineState::Terminating
                {
                    let tasks: Vec<_> = machine.tasks.iter().copied().collect();
                    self.drain(m, DrainReason::Failed);
                    tasks_lost(&mut self.cluster, now, &tasks);
                }
            }
        }
    }
}

impl Scheduler {}
