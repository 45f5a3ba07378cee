//! Autoscaling: requesting machines from the cloud, returning them, and accounting for the cost of
//! the fleet.

pub mod offers;

use std::collections::{BTreeMap, HashMap};

use walnutlug_admission::shares::ClassId;

use crate::autoscaling::offers::{
    InstanceOffer, InstanceOffers, SimulatedMachine, MAX_MACHINES_PER_REQUEST,
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

/// Requests to the cloud that are in progress, offers to avoid for now, and the accounting of
/// costs.
#[derive(Debug, Default)]
pub struct Autoscaler {
    /// Offers that were recently not filled: when each may be requested again, and how often it was
    /// refused in a row.
    pub refused: HashMap<InstanceOffer, (Timestamp, u32)>,
    /// Machines requested per offer and not yet answered.
    pub pending_scale_out: HashMap<InstanceOffer, u32>,
    /// No request is sent before this, since the cloud gave no usable answer.
    pub requests_paused_until: Timestamp,
    last_assessed: Timestamp,
    last_scale_out: Timestamp,
    /// When the fleet was last checked for slow machines.
    pub(crate) last_slow_check: Timestamp,
    /// Requests to return machines that are not answered yet.
    pub pending_scale_ins: u32,
    costs: CostAccount,
    /// Whether a complete machine list was read in this term.
    pub machine_list_read: bool,
}

/// Cost of the fleet since the last log entry: hourly price times hours, by kind of machine and by
/// use.
#[derive(Debug, Default)]
struct CostAccount {
    logged_at: Option<Timestamp>,
    sampled_at: Option<Timestamp>,
    cost: FleetCost,
}

/// How long after the cloud reports a machine as running its capacity is still counted on without a
/// heartbeat.
const FIRST_HEARTBEAT_TIMEOUT: TimeDelta = TimeDelta::from_secs(5);

const ASSESS_INTERVAL: TimeDelta = TimeDelta::from_millis(500);
/// How often demand is compared with the fleet while no request for machines is open; a boot takes
/// many times that. With requests open it is compared at every assessment, since one request yields
/// a limited number of machines.
const SCALE_OUT_INTERVAL: TimeDelta = TimeDelta::from_millis(1_000);
/// How often the cost of each machine and task is added up; only the log uses it.
const ACCOUNTING_INTERVAL: TimeDelta = TimeDelta::from_secs(5);
/// Most doublings of the pause before a refused offer is requested again. The pause is 16 s at
/// most, since the cloud reclaims machines all the time and can then offer them again.
const MAX_BACKOFF_DOUBLINGS: u32 = 2;
/// How long no request is sent after the cloud gave no usable answer.
const CLOUD_PAUSE: TimeDelta = TimeDelta::from_secs(2);
const TERMINATION_RETRY_INTERVAL: TimeDelta = TimeDelta::from_secs(6);

impl Scheduler {
    /// Assesses the fleet every `ASSESS_INTERVAL`: adds up costs, checks the health of machines,
    /// requests and returns machines.
    pub fn autoscale(&mut self, now: Timestamp) {
        if now.since(self.autoscaler.last_assessed) < ASSESS_INTERVAL {
            return;
        }
        self.autoscaler.last_assessed = now;
        if now.since(self.autoscaler.costs.sampled_at.unwrap_or_default()) >= ACCOUNTING_INTERVAL {
            self.account_costs(now);
        }
        if !self.authority.holds_lease() {
            return;
        }
        let silent_zones = self.silent_zones(now);
        self.assess_health(now, &silent_zones);
        self.evict_before_interruption(now);
        let in_use = |m: &crate::model::machine::Machine| {
            m.state == MachineState::Up && m.drain_reason.is_none()
        };
        if !silent_zones.is_empty()
            && self.cluster.machines.iter().all(|m| !in_use(m) || silent_zones.contains(&m.zone))
        {
            // No machine is heard, so neither the fleet nor the demand can be judged.
            return;
        }
        // A new leader waits for a machine list, 10 s at most.
        let knows_fleet = self.autoscaler.machine_list_read
            || now.since(self.started_at) > TimeDelta::from_secs(10);
        let interval = if self.autoscaler.pending_scale_out.is_empty() {
            SCALE_OUT_INTERVAL
        } else {
            ASSESS_INTERVAL
        };
        if knows_fleet && now.since(self.autoscaler.last_scale_out) >= interval {
            self.autoscaler.last_scale_out = now;
            let queue = self.queue(now);
            let none_may_run = !queue.iter().any(|&(_, ix)| self.tasks_within_team_limit(ix) > 0);
            self.scale_out(now, queue);
            // While a job that may run is queued, it may need the next capacity that becomes free.
            if none_may_run {
                self.drain_idle(now);
            }
        }
        self.scale_in(now);
    }

    /// Adds the cost since the last sample, and logs the sums, the writes and the shares once a
    /// minute.
    fn account_costs(&mut self, now: Timestamp) {
        let mut costs = std::mem::take(&mut self.autoscaler.costs);
        let hours = costs.sampled_at.map_or(0.0, |t| now.since(t).as_secs_f64() / 3_600.0);
        costs.sampled_at = Some(now);
        let cost = &mut costs.cost;
        for m in &self.cluster.machines {
            let Some(kind) = m.kind.and_then(|k| self.cluster.machine_types.get(k)) else {
                continue;
            };
            if m.state == MachineState::Terminated {
                continue;
            }
            let amount = hours * if m.spot { kind.spot_price } else { kind.price };
            *(if m.spot { &mut cost.spot } else { &mut cost.ordinary }) += amount;
            if m.state == MachineState::Booting {
                cost.booting += amount;
                continue;
            }
            // The scarcest resource counts, so that a machine full in one resource isn't idle.
            let share_of =
                |used: f64, total: f64| if total > 0.0 { (used / total).min(1.0) } else { 0.0 };
            let idle_share = 1.0
                - share_of(m.used().cpus, kind.cpus)
                    .max(share_of(m.used().memory_gb, kind.memory_gb));
            *(if m.spot { &mut cost.idle_spot } else { &mut cost.idle_ordinary }) +=
                amount * idle_share;
            for id in &m.tasks {
                let Some(job) = self.cluster.job(id.job) else { continue };
                let share = amount * share_of(job.spec.cpus, kind.cpus);
                if job.started.contains_key(&id.index) {
                    cost.running += share;
                } else {
                    cost.fetching += share;
                }
            }
        }
        let logged_at = *costs.logged_at.get_or_insert(now);
        if now.since(logged_at) >= TimeDelta::from_secs(60) {
            self.log(Event::FleetCost(costs.cost));
            costs = CostAccount {
                logged_at: Some(now),
                sampled_at: Some(now),
                cost: FleetCost::default(),
            };
            let write_counts = self.transactions.take_counts();
            self.log(Event::Writes(write_counts));
            self.log(Event::Held(self.cluster.held_entries()));
            self.log_shares();
        }
        self.autoscaler.costs = costs;
    }

    /// Requests machines for tasks that fit on no machine, and for the headroom.
    fn scale_out(&mut self, now: Timestamp, queue: Vec<(QueueKey, JobIndex)>) {
        if now < self.autoscaler.requests_paused_until || self.cluster.machine_types.is_empty() {
            return;
        }
        // A machine with less free than the smallest queued task can take none of them.
        let (mut least_cpus, mut least_memory) = (f64::INFINITY, f64::INFINITY);
        for job in queue.iter().filter_map(|&(_, ix)| self.cluster.job(ix)) {
            least_cpus = least_cpus.min(job.spec.cpus);
            least_memory = least_memory.min(job.spec.memory_gb);
        }
        let mut offers = self.current_offers(now);
        let mut machines: Vec<SimulatedMachine> = Vec::new();
        let mut free_cpus = 0.0;
        // CPUs of ordinary machines that are booting or requested.
        let mut incoming_ordinary_cpus = 0.0;
        for m in &self.cluster.machines {
            let Some(kind) = m.kind else { continue };
            // A machine that the cloud reports as running and that sends no heartbeat is most
            // likely gone.
            let is_incoming = m.state == MachineState::Booting
                && m.expected
                && m.drain_reason.is_none()
                && m.hinted_up_at.is_none_or(|t| now.since(t) < FIRST_HEARTBEAT_TIMEOUT);
            if !is_incoming && !self.is_schedulable(now, m) {
                continue;
            }
            let machine_type = &self.cluster.machine_types[kind];
            let simulated = SimulatedMachine {
                offer: offers.index(kind, &m.zone, m.spot),
                cpus: machine_type.cpus - m.used().cpus,
                gpus: machine_type.gpus - m.used().gpus,
                memory: machine_type.memory_gb - m.used().memory_gb,
            };
            offers.machine_counts[simulated.offer] += 1;
            free_cpus += simulated.cpus.max(0.0);
            if is_incoming && !m.spot {
                incoming_ordinary_cpus += simulated.cpus.max(0.0);
            }
            if simulated.cpus + EPSILON >= least_cpus && simulated.memory + EPSILON >= least_memory
            {
                machines.push(simulated);
            }
        }
        for (offer, &n) in &self.autoscaler.pending_scale_out {
            let index = offers.index(offer.0, &offer.1, offer.2);
            offers.machine_counts[index] += n;
            for _ in 0..n {
                let simulated = self.empty_machine(index, offer.0);
                free_cpus += simulated.cpus;
                if !offer.2 {
                    incoming_ordinary_cpus += simulated.cpus;
                }
                machines.push(simulated);
            }
        }
        let ordinary_is_expensive = !self.ordinary_is_cheap();
        let mut cpus_soon_free = self.cpus_freed_during_boot(now);
        for (queue_key, ix) in queue {
            let Some(job) = self.cluster.job(ix) else { continue };
            if job.errors > 0 && job.suspect() {
                continue; // The job fails on every machine.
            }
            let allowed: Vec<bool> =
                offers.offers.iter().map(|o| self.offer_allowed(job, o)).collect();
            let mut unplaced = job.pending().min(self.tasks_within_team_limit(ix));
            for simulated in machines.iter_mut().filter(|simulated| allowed[simulated.offer]) {
                if unplaced == 0 {
                    break;
                }
                let n = simulated.place_tasks(&job.spec, unplaced);
                unplaced -= n;
                free_cpus -= f64::from(n) * job.spec.cpus;
            }
            if unplaced == 0 {
                continue;
            }
            let boot_s = self.shortest_boot_s(ix);
            if queue_key.slack > self.tunables.rent_slack.as_secs_f64() + boot_s
                && now.since(job.ready_at) < self.tunables.rent_slack
                && self.usable_machines_have_tasks(now, ix)
            {
                continue; // Running tasks can free capacity in time.
            }
            // While ordinary machines cost several times as much as spot ones, one is requested
            // only if the job can still finish in time on it and preemption can't free enough.
            let ordinary_allowed = self.ordinary_is_cheap()
                || (!self.preemption_can_free(ix, f64::from(unplaced) * job.spec.cpus)
                    && queue_key.finish_slack < self.tunables.ordinary_slack.as_secs_f64()
                    && queue_key.finish_slack > 0.5 * boot_s);
            while unplaced > 0 && offers.can_request_more() {
                let spot_job = job.spec.spot;
                let usable =
                    |i: usize| allowed[i] && (offers.offers[i].2 || !spot_job || ordinary_allowed);
                let Some(index) = offers.cheapest(usable) else { break };
                let (kind, _, spot) = offers.offers[index];
                if !spot && ordinary_is_expensive && cpus_soon_free >= job.spec.cpus {
                    // Running tasks will free this capacity before a machine could boot.
                    cpus_soon_free -= job.spec.cpus;
                    unplaced -= 1;
                    continue;
                }
                if !spot && ordinary_is_expensive && incoming_ordinary_cpus >= job.spec.cpus {
                    // This demand was requested before. The simulation gives a booting machine to
                    // the first job in the queue, which may be one that no expensive machine is
                    // requested for; each assessment then requested machines for the other jobs
                    // again: 230 within three seconds for one job's 76 tasks.
                    incoming_ordinary_cpus -= job.spec.cpus;
                    unplaced -= 1;
                    continue;
                }
                let mut simulated = self.empty_machine(index, kind);
                let n = simulated.place_tasks(&job.spec, unplaced);
                if n == 0 {
                    break;
                }
                unplaced -= n;
                free_cpus += simulated.cpus;
                offers.add_desired(index);
                machines.push(simulated);
            }
        }
        let cheap = self.ordinary_is_cheap();
        let mut missing_cpus = self.headroom_cpus(now) - free_cpus;
        while missing_cpus > EPSILON && offers.can_request_more() {
            // Headroom uses the cheapest offer, and ordinary machines only while they are cheap.
            let Some(index) = offers.cheapest(|i| offers.offers[i].2 || cheap) else { break };
            missing_cpus -= self.cluster.machine_types[offers.offers[index].0].cpus;
            offers.add_desired(index);
        }
        for (offer, count) in offers.offers.into_iter().zip(offers.desired) {
            if count == 0 || self.autoscaler.pending_scale_out.get(&offer).copied().unwrap_or(0) > 0
            {
                continue;
            }
            let count = count.min(MAX_MACHINES_PER_REQUEST);
            self.autoscaler.pending_scale_out.insert(offer.clone(), count);
            self.commands.push(Command::ScaleOut {
                kind: self.cluster.machine_types[offer.0].name.clone(),
                zone: offer.1,
                spot: offer.2,
                count,
            });
        }
    }

    /// All offers of the cloud, with prices per CPU, closed where a refusal is recent.
    fn current_offers(&self, now: Timestamp) -> InstanceOffers {
        let mut offers = InstanceOffers::default();
        for (k, kind) in self.cluster.machine_types.iter().enumerate() {
            for zone in &kind.zones {
                for spot in [true, false] {
                    let price = if spot { kind.spot_price } else { kind.price };
                    let offer = (k, zone.clone(), spot);
                    let open = kind.cpus > 0.0 && self.is_offer_available(now, &offer);
                    offers.add(offer, price.max(0.0) / kind.cpus.max(EPSILON), open);
                }
            }
        }
        offers
    }

    /// Whether an empty machine of the offer could run tasks of the job.
    fn offer_allowed(&self, job: &Job, offer: &InstanceOffer) -> bool {
        let spec = &job.spec;
        (spec.spot || !offer.2)
            && spec.fits_type(&self.cluster.machine_types[offer.0])
            && spec.zone.as_ref().is_none_or(|z| *z == offer.1)
            && (!spec.one_zone || job.zones.is_empty() || job.zones.contains_key(&offer.1))
    }

    fn empty_machine(&self, offer: usize, kind: usize) -> SimulatedMachine {
        let kind = &self.cluster.machine_types[kind];
        SimulatedMachine { offer, cpus: kind.cpus, gpus: kind.gpus, memory: kind.memory_gb }
    }

    /// CPUs that running tasks are expected to free within 1.2 times the shortest boot. Classes
    /// with short start objectives don't count, since their next tasks take the place of those that
    /// end.
    fn cpus_freed_during_boot(&self, now: Timestamp) -> f64 {
        let boots = self.cluster.machine_types.iter().map(|t| t.boot_s);
        let boot_s = boots.min_by(f64::total_cmp).unwrap_or(0.0) * 1.2;
        let mut freed_cpus = 0.0;
        for job in
            self.cluster.jobs.values().filter(|j| !self.has_short_start_objective(&j.spec.class))
        {
            let run = self.run_times.expected_run(job);
            let ending_tasks = job.tasks.placed().filter(|(index, t)| {
                let since = match job.started.get(index) {
                    Some(&since) => since,
                    // Right after a failover no task has been seen running yet. (While these tasks
                    // counted as freeing nothing, a new leader requested three hundred expensive
                    // machines.)
                    None if self.cluster.predates_term(t) => self.cluster.run_started_at(now, t),
                    None => return false,
                };
                run - now.since(since).as_secs_f64() < boot_s
            });
            freed_cpus += ending_tasks.count() as f64 * job.spec.cpus;
        }
        freed_cpus
    }

    /// Whether tasks run on machines that the job could use, so that waiting for them makes sense.
    /// (Without this check a job with time to spare waited on an empty fleet for machines that
    /// nobody requested.)
    fn usable_machines_have_tasks(&self, now: Timestamp, ix: JobIndex) -> bool {
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

    /// Whether work of lower priority holds at least as many CPUs as the job needs, so that
    /// preemption serves the job sooner than a machine that has yet to boot.
    fn preemption_can_free(&self, ix: JobIndex, cpus: f64) -> bool {
        let Some(job) = self.cluster.job(ix) else { return false };
        let lower_priority = self
            .cluster
            .jobs
            .values()
            .filter(|j| j.priority < job.priority && !j.is_ended() && j.placed > 0);
        let mut by_class: BTreeMap<ClassId, f64> = BTreeMap::new();
        for other in lower_priority {
            let held = f64::from(other.placed) * other.spec.cpus;
            *by_class.entry(other.share_class()).or_default() += held;
        }
        // Under overload, what a class retains can't be preempted. (When it was counted, no
        // machines were requested for a burst of urgent work until the burst was nearly over.)
        let retained_share = |class: ClassId| {
            self.fair_share.retained_share(&self.cluster.shares, class) * self.fleet_cpus
        };
        let preemptable =
            by_class.iter().map(|(&class, held)| (held - retained_share(class)).max(0.0));
        preemptable.sum::<f64>() >= cpus
    }

    /// Whether ordinary machines cost at most `premium` times as much as spot ones, per CPU over
    /// all types.
    pub(crate) fn ordinary_is_cheap(&self) -> bool {
        let (ordinary, spot) = self
            .cluster
            .machine_types
            .iter()
            .fold((0.0, 0.0), |(o, s), t| (o + t.price / t.cpus, s + t.spot_price / t.cpus));
        ordinary <= self.tunables.premium * spot
    }

    /// The shortest boot time in seconds among the types that the job allows.
    fn shortest_boot_s(&self, ix: JobIndex) -> f64 {
        let Some(job) = self.cluster.job(ix) else { return 0.0 };
        let fits = self.cluster.machine_types.iter().filter(|t| job.spec.fits_type(t));
        fits.map(|t| t.boot_s).min_by(f64::total_cmp).unwrap_or(0.0)
    }

    /// How many more tasks of the job its team's limit allows.
    pub(crate) fn tasks_within_team_limit(&self, ix: JobIndex) -> u32 {
        let Some(job) = self.cluster.job(ix) else { return 0 };
        let Some(team) = self.site.team(&job.spec.team) else { return 0 };
        let TeamUsage { cpus, gpus } = self.cluster.team_usage(&job.spec.team);
        let allowed = |max: f64, used: f64, needed: f64| {
            if max <= 0.0 || needed <= 0.0 {
                u32::MAX
            } else {
                ((max - used + EPSILON) / needed).clamp(0.0, 1.0e6) as u32
            }
        };
        allowed(team.cpus_max, cpus, job.spec.cpus).min(allowed(team.gpus_max, gpus, job.spec.gpus))
    }

    fn is_offer_available(&self, now: Timestamp, offer: &InstanceOffer) -> bool {
        self.autoscaler.refused.get(offer).is_none_or(|&(until, _)| now >= until)
    }

    /// Marks machines for return that were idle for too long, ordinary ones first, and keeps the
    /// headroom.
    fn drain_idle(&mut self, now: Timestamp) {
        let mut free_cpus: f64 = self
            .cluster
            .machines
            .iter()
            .filter(|m| self.is_schedulable(now, m))
            .filter_map(|m| Some(self.cluster.machine_types[m.kind?].cpus - m.used().cpus))
            .sum();
        let headroom = self.headroom_cpus(now);
        let ordinary_is_cheap = self.ordinary_is_cheap();
        let mut idle: Vec<usize> = (0..self.cluster.machines.len())
            .filter(|&i| {
                let m = &self.cluster.machines[i];
                let limit = match (ordinary_is_cheap, m.spot) {
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
            // Expensive ordinary machines don't serve as headroom.
            if (ordinary_is_cheap || self.cluster.machines[i].spot) && free_cpus - cpus < headroom {
                break;
            }
            free_cpus -= cpus;
            self.cluster.machines[i].drain_reason = Some(DrainReason::Idle);
        }
    }

    /// Returns machines that are marked and either empty or beyond recovery, and repeats requests
    /// that weren't answered.
    fn scale_in(&mut self, now: Timestamp) {
        if now < self.autoscaler.requests_paused_until || self.autoscaler.pending_scale_ins > 1 {
            return;
        }
        let mut names = Vec::new();
        let mut scaled_in = Vec::new();
        let mut pending_scale_ins = Vec::new();
        for (m, ix) in self.cluster.machines.iter_mut().zip(0..) {
            let retry = m.state == MachineState::Terminating
                && m.termination_sent_at.is_some_and(|t| now.since(t) > TERMINATION_RETRY_INTERVAL);
            // A drained machine is returned once it is empty. A silent one is returned with its
            // tasks, since only its termination proves that they stopped. One that never came up is
            // returned at once.
            let is_unrecoverable = m.drain_reason.is_some_and(DrainReason::terminates_with_tasks);
            let due = m.state != MachineState::Terminated
                && m.state != MachineState::Terminating
                && (is_unrecoverable
                    || (m.drain_reason.is_some() && m.tasks.is_empty() && m.unexpected_tasks == 0));
            if (due || retry) && names.len() < 100 {
                scaled_in.push(MachineScaledIn { machine: m.name.clone(), reason: m.drain_reason });
                m.state = MachineState::Terminating;
                pending_scale_ins.push(ix);
                m.termination_sent_at = Some(now);
                names.push(m.name.clone());
            }
        }
        for ix in pending_scale_ins {
            self.cluster.invalidate_cached_heartbeat(MachineIndex(ix));
        }
        if !names.is_empty() {
            self.autoscaler.pending_scale_ins += 1;
            self.log(Event::ScaleIn { machines: scaled_in });
            self.commands.push(Command::ScaleIn { machines: names });
        }
    }

    /// Handles the answer to [`Command::ScaleIn`]; `ok` is whether it was 200, which proves that
    /// the machines are gone.
    pub fn scale_in_answered(&mut self, now: Timestamp, names: &[String], ok: bool) {
        self.autoscaler.pending_scale_ins = self.autoscaler.pending_scale_ins.saturating_sub(1);
        for name in names {
            if ok {
                self.clear_refusals(name);
                self.machine_gone(now, name);
            } else if let Some(&m) = self.cluster.machines_by_name.get(name) {
                self.cluster.machines[m].termination_sent_at =
                    Some(now - TERMINATION_RETRY_INTERVAL + TimeDelta::from_millis(1_500));
            }
        }
    }

    /// Takes over a return that a former leader recorded. Nothing is placed on the machine, and its
    /// tasks count as running until the return is answered.
    pub fn adopt_scale_in(&mut self, now: Timestamp, name: &str) {
        let ix = self.cluster.machine_named(now, name);
        let machine = &mut self.cluster.machines[ix];
        machine.state = MachineState::Terminating;
        machine.termination_sent_at = Some(now);
        self.cluster.invalidate_cached_heartbeat(ix);
    }

    /// Takes over a request that a former leader recorded and whose outcome isn't known yet.
    pub fn adopt_scale_out(&mut self, kind: &str, zone: &str, spot: bool, count: u32) {
        if let Some(kind) = self.cluster.machine_types.iter().position(|t| t.name == kind) {
            *self.autoscaler.pending_scale_out.entry((kind, zone.to_owned(), spot)).or_default() +=
                count;
        }
    }

    /// Sends no requests for `CLOUD_PAUSE`, since the cloud gives no usable answers.
    pub fn pause_cloud(&mut self, now: Timestamp) {
        self.autoscaler.requests_paused_until = now + CLOUD_PAUSE;
    }

    /// Makes the offer of a returned machine available again, whatever was refused before. (After a
    /// zone was cut off, half the fleet had been returned, and nothing was requested there for half
    /// a minute.)
    fn clear_refusals(&mut self, name: &str) {
        let Some(&m) = self.cluster.machines_by_name.get(name) else { return };
        let machine = &self.cluster.machines[m];
        if let Some(kind) = machine.kind {
            let offer = (kind, machine.zone.clone(), machine.spot);
            self.autoscaler.refused.remove(&offer);
        }
    }

    /// Handles the answer to [`Command::ScaleOut`]: the names of the machines, none if there was no
    /// capacity, or `Err` if the cloud gave no usable answer.
    pub fn scale_out_answered(
        &mut self,
        now: Timestamp,
        kind: &str,
        zone: &str,
        spot: bool,
        asked: u32,
        answer: Result<Vec<String>, ()>,
    ) {
        let Some(type_index) = self.cluster.machine_types.iter().position(|t| t.name == kind)
        else {
            return;
        };
        let offer = (type_index, zone.to_owned(), spot);
        self.autoscaler.pending_scale_out.remove(&offer);
        let granted = match answer {
            Ok(names) => names,
            Err(()) => {
                self.pause_cloud(now);
                return;
            }
        };
        if (granted.len() as u32) < asked {
            let entry = self.autoscaler.refused.entry(offer.clone()).or_insert((now, 0));
            entry.1 = (entry.1 + 1).min(MAX_BACKOFF_DOUBLINGS);
            entry.0 = now + TimeDelta::from_secs(4 << entry.1);
        } else {
            self.autoscaler.refused.remove(&offer);
        }
        self.log(Event::ScaleOutAnswered {
            requested: asked,
            granted: granted.len(),
            machine_type: kind.to_owned(),
            zone: zone.to_owned(),
            spot,
        });
        for name in granted {
            let m = self.cluster.machine_named(now, &name);
            let machine = &mut self.cluster.machines[m];
            machine.expected = true;
            if machine.state == MachineState::Booting {
                machine.kind = Some(type_index);
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

    /// Takes in a complete machine list. The list lags, so a machine missing from it isn't known to
    /// be gone; one listed as failed has stopped by itself.
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
                // A failed machine stopped by itself, so none of its tasks runs any more. It stays
                // in the list until it is returned.
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
