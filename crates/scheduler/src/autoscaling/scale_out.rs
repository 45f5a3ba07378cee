//! Scaling out: which machines to request for the queue and the headroom.

use std::collections::BTreeMap;

use walnutlug_admission::resources::Resources;
use walnutlug_admission::shares::ClassId;

use crate::autoscaling::capacity_wait::{WaitReason, WaitingJob, ENDING_SOON_BOOTS};
use crate::autoscaling::demand::Demand;
use crate::autoscaling::offers::{
    InstanceOffer, InstanceOffers, SimulatedMachine, MAX_MACHINES_PER_REQUEST,
};
use crate::autoscaling::FIRST_HEARTBEAT_TIMEOUT;
use crate::command::Command;
use crate::event::Event;
use crate::model::cluster::TeamUsage;
use crate::model::ids::{JobIndex, MachineIndex};
use crate::model::job::Job;
use crate::model::machine::{Machine, MachineState};
use crate::model::task::Task;
use crate::model::EPSILON;
use crate::queue::order::QueueKey;
use crate::scheduler::Scheduler;
use crate::time::Timestamp;

/// What one assessment found out about capacity, and what it wants to request.
struct ScaleOutPlan<'a> {
    scheduler: &'a Scheduler,
    now: Timestamp,
    ordinary_is_cheap: bool,
    offers: InstanceOffers,
    /// Machines that are up, by free capacity.
    machines: Vec<SimulatedMachine>,
    /// Machines that are booting, requested or to be requested.
    incoming: Vec<SimulatedMachine>,
    /// The incoming ordinary machines as they were before this assessment, summed by offer.
    incoming_ordinary: Vec<SimulatedMachine>,
    /// Capacity that running tasks are expected to free before a machine could boot, summed by
    /// offer.
    soon_free: Vec<SimulatedMachine>,
    /// CPUs that no waiting task takes.
    free_cpus: f64,
}

/// Capacity that a waiting task needs at least, over the whole queue.
struct SmallestTask {
    cpus: f64,
    memory: f64,
}

impl SmallestTask {
    /// Returns whether the machine may have room for any task. It has none for most of a busy
    /// fleet, which is then not looked at for each job.
    fn may_fit(&self, simulated: &SimulatedMachine) -> bool {
        simulated.cpus + EPSILON >= self.cpus && simulated.memory + EPSILON >= self.memory
    }
}

impl Scheduler {
    /// Requests machines for tasks that fit on no machine, and for the headroom.
    pub(super) fn scale_out(&mut self, now: Timestamp, queue: Vec<(QueueKey, JobIndex)>) {
        if now < self.autoscaler.requests_paused_until || self.cluster.machine_types.is_empty() {
            return;
        }
        let mut plan = ScaleOutPlan::new(self, now, &queue);
        let waits: Vec<(JobIndex, Option<WaitReason>)> =
            queue.iter().map(|(key, ix)| (*ix, plan.plan_job(key, *ix))).collect();
        plan.add_headroom();
        let InstanceOffers { offers, desired, .. } = plan.offers;
        for (ix, reason) in waits {
            self.record_wait(now, ix, reason);
        }
        for (offer, count) in offers.into_iter().zip(desired) {
            self.request_machines(offer, count);
        }
    }

    /// Requests machines of an offer, unless a request for it is not answered yet.
    fn request_machines(&mut self, offer: InstanceOffer, count: u32) {
        let is_pending = self.autoscaler.pending_scale_out.get(&offer).is_some_and(|&n| n > 0);
        if count == 0 || is_pending {
            return;
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

    /// Records why the job waits for capacity, and logs it if it is new.
    fn record_wait(&mut self, now: Timestamp, ix: JobIndex, reason: Option<WaitReason>) {
        let Some(job) = self.cluster.jobs.get_mut(&ix) else { return };
        let Some(reason) = reason else { return job.capacity_wait.demand_met() };
        if !job.capacity_wait.waits(now, reason) {
            return;
        }
        let event = Event::JobWaits {
            job: job.name.clone(),
            reason,
            waiting: now.since(job.capacity_wait.since(now)),
        };
        self.log(event);
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
        SimulatedMachine {
            offer,
            machine: None,
            cpus: kind.cpus,
            gpus: kind.gpus,
            memory: kind.memory_gb,
        }
    }

    /// How long a placed task has run, in seconds, if it was seen running or was placed before the
    /// failover, after which no task has been seen running yet.
    fn ran_s(&self, now: Timestamp, job: &Job, index: u32, task: &Task) -> Option<f64> {
        let since = match job.started.get(&index) {
            Some(&since) => since,
            None if self.cluster.predates_term(task) => self.cluster.run_started_at(now, task),
            None => return None,
        };
        Some(now.since(since).as_secs_f64())
    }

    /// Whether tasks run on machines that the job could use, so that waiting for them makes sense.
    /// (Without this check a job with time to spare waited on an empty fleet for machines that
    /// nobody requested.)
    fn usable_machines_have_tasks(&self, now: Timestamp, ix: JobIndex) -> bool {
        let Some(job) = self.cluster.job(ix) else { return false };
        self.cluster.machine_indices().any(|index| {
            let m = &self.cluster.machines[index];
            let kind = m.kind.and_then(|k| self.cluster.machine_types.get(k));
            self.is_schedulable(now, m)
                && !m.tasks.is_empty()
                && !job.avoids(now, index)
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
            let usable = match &job.spec.zone {
                Some(zone) => other.zones.get(zone).copied().unwrap_or(0),
                None => other.placed,
            };
            let held = f64::from(usable) * other.spec.cpus;
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

    /// Takes over a request that a former leader recorded and whose outcome isn't known yet.
    pub fn adopt_scale_out(&mut self, kind: &str, zone: &str, spot: bool, count: u32) {
        if let Some(kind) = self.cluster.machine_types.iter().position(|t| t.name == kind) {
            *self.autoscaler.pending_scale_out.entry((kind, zone.to_owned(), spot)).or_default() +=
                count;
        }
    }
}

impl<'a> ScaleOutPlan<'a> {
    fn new(
        scheduler: &'a Scheduler,
        now: Timestamp,
        queue: &[(QueueKey, JobIndex)],
    ) -> ScaleOutPlan<'a> {
        let mut plan = ScaleOutPlan {
            scheduler,
            now,
            ordinary_is_cheap: scheduler.ordinary_is_cheap(),
            offers: scheduler.current_offers(now),
            machines: Vec::new(),
            incoming: Vec::new(),
            incoming_ordinary: Vec::new(),
            soon_free: Vec::new(),
            free_cpus: 0.0,
        };
        let mut smallest = SmallestTask { cpus: f64::INFINITY, memory: f64::INFINITY };
        for job in queue.iter().filter_map(|&(_, ix)| scheduler.cluster.job(ix)) {
            smallest.cpus = smallest.cpus.min(job.spec.cpus);
            smallest.memory = smallest.memory.min(job.spec.memory_gb);
        }
        let offer_of_machine = plan.add_machines(&smallest);
        plan.add_requested_machines();
        if !plan.ordinary_is_cheap {
            plan.add_soon_free(&offer_of_machine);
        }
        plan
    }

    /// Adds the machines that are up or booting. Returns the offers of those that new tasks may be
    /// placed on, now or once they are heard again.
    fn add_machines(&mut self, smallest: &SmallestTask) -> Vec<Option<usize>> {
        let cluster = &self.scheduler.cluster;
        let mut offer_of_machine = vec![None; cluster.machines.len()];
        for (index, m) in cluster.machines.iter().enumerate() {
            let Some(kind) = m.kind else { continue };
            if is_kept(m) {
                offer_of_machine[index] = Some(self.offers.index(kind, &m.zone, m.spot));
            }
            let is_incoming = is_incoming(self.now, m);
            if !is_incoming && !self.scheduler.is_schedulable(self.now, m) {
                continue;
            }
            let machine_type = &cluster.machine_types[kind];
            let simulated = SimulatedMachine {
                offer: self.offers.index(kind, &m.zone, m.spot),
                machine: Some(MachineIndex::from(index)),
                cpus: machine_type.cpus - m.used().cpus,
                gpus: machine_type.gpus - m.used().gpus,
                memory: machine_type.memory_gb - m.used().memory_gb,
            };
            self.offers.machine_counts[simulated.offer] += 1;
            self.free_cpus += simulated.cpus.max(0.0);
            if is_incoming {
                self.add_incoming(simulated);
                continue;
            }
            if smallest.may_fit(&simulated) {
                self.machines.push(simulated);
            }
        }
        offer_of_machine
    }

    fn add_requested_machines(&mut self) {
        let scheduler = self.scheduler;
        for (offer, &count) in &scheduler.autoscaler.pending_scale_out {
            let index = self.offers.index(offer.0, &offer.1, offer.2);
            self.offers.machine_counts[index] += count;
            for _ in 0..count {
                let simulated = scheduler.empty_machine(index, offer.0);
                self.free_cpus += simulated.cpus;
                self.add_incoming(simulated);
            }
        }
    }

    fn add_incoming(&mut self, simulated: SimulatedMachine) {
        let is_spot = self.offers.offers[simulated.offer].2;
        if !is_spot {
            simulated.add_to(&mut self.incoming_ordinary);
        }
        self.incoming.push(simulated);
    }

    /// Adds the capacity that running tasks are expected to free within [`ENDING_SOON_BOOTS`].
    /// Classes with short start objectives don't count, since their next tasks take the place of
    /// those that end.
    fn add_soon_free(&mut self, offer_of_machine: &[Option<usize>]) {
        let scheduler = self.scheduler;
        let boots = scheduler.cluster.machine_types.iter().map(|t| t.boot_s);
        let boot_s = boots.min_by(f64::total_cmp).unwrap_or(0.0) * ENDING_SOON_BOOTS;
        let has_short_start = |job: &Job| scheduler.has_short_start_objective(&job.spec.class);
        for job in scheduler.cluster.jobs.values().filter(|job| !has_short_start(job)) {
            let run_s = scheduler.run_times.expected_run(job);
            for (index, task) in job.tasks.placed() {
                let Some(offer) = offer_of_machine[task.machine.as_usize()] else { continue };
                let Some(ran_s) = scheduler.ran_s(self.now, job, index, task) else { continue };
                if run_s - ran_s < boot_s {
                    let Resources { cpus, gpus, memory_gb } = job.spec.task();
                    let freed =
                        SimulatedMachine { offer, machine: None, cpus, gpus, memory: memory_gb };
                    freed.add_to(&mut self.soon_free);
                }
            }
        }
    }

    /// Plans requests for a job. Returns why the rest of its tasks waits, or `None` if none does.
    fn plan_job(&mut self, key: &QueueKey, ix: JobIndex) -> Option<WaitReason> {
        let scheduler = self.scheduler;
        let job = scheduler.cluster.job(ix)?;
        let tasks = job.pending().min(scheduler.tasks_within_team_limit(ix));
        if tasks == 0 {
            return None;
        }
        let allowed = self.offers.offers.iter().map(|o| scheduler.offer_allowed(job, o)).collect();
        let mut demand = Demand::new(self.now, job, &self.offers, allowed, tasks);
        if job.errors > 0 && job.suspect() && demand.may_use_any(&self.offers, &self.machines) {
            return Some(WaitReason::RoomOnMachines); // The job fails on every machine.
        }
        let waiting = WaitingJob {
            since: job.capacity_wait.since(self.now),
            ready_at: job.ready_at,
            boot_s: scheduler.shortest_boot_s(ix),
            slack: key.slack,
            finish_slack: key.finish_slack,
        };
        let reason = self.place_or_request(&mut demand, &waiting, ix);
        if self.now >= waiting.waits_until(self.now, reason, &scheduler.tunables) {
            self.request_for_overdue(&mut demand);
        }
        Some(reason)
    }

    /// Gives the job's tasks capacity that is there or that is expected, and requests machines for
    /// the others where that is worth their price. Returns what the job waits for.
    fn place_or_request(
        &mut self,
        demand: &mut Demand<'_>,
        waiting: &WaitingJob,
        ix: JobIndex,
    ) -> WaitReason {
        let cpus = demand.job.spec.cpus;
        let on_machines = demand.place_on_all(&self.offers, &mut self.machines);
        let on_incoming = demand.place_on_all(&self.offers, &mut self.incoming);
        self.free_cpus -= f64::from(on_machines + on_incoming) * cpus;
        if demand.unplaced == 0 {
            return match on_incoming {
                0 => WaitReason::RoomOnMachines,
                _ => WaitReason::MachinesIncoming,
            };
        }
        let scheduler = self.scheduler;
        if waiting.has_time_to_spare(self.now, &scheduler.tunables)
            && scheduler.usable_machines_have_tasks(self.now, ix)
        {
            // Running tasks can free capacity in time.
            return WaitReason::TimeToSpare;
        }
        let reason_against_ordinary = self.reason_against_ordinary(demand, waiting, ix);
        self.request(demand, reason_against_ordinary)
    }

    /// Returns why a job that may use spot machines gets no ordinary one, while those cost several
    /// times as much.
    fn reason_against_ordinary(
        &self,
        demand: &Demand<'_>,
        waiting: &WaitingJob,
        ix: JobIndex,
    ) -> Option<WaitReason> {
        if self.ordinary_is_cheap || !demand.job.spec.spot {
            return None;
        }
        let cpus = f64::from(demand.unplaced) * demand.job.spec.cpus;
        if !waiting.is_worth_ordinary_machine(&self.scheduler.tunables) {
            Some(WaitReason::SpotPreferred)
        } else if self.scheduler.preemption_can_free(ix, cpus) {
            Some(WaitReason::PreemptionSuffices)
        } else {
            None
        }
    }

    /// Requests machines for the tasks, but for those that expensive ordinary machines would be
    /// requested for and that other capacity will serve as soon.
    fn request(&mut self, demand: &mut Demand<'_>, against: Option<WaitReason>) -> WaitReason {
        let mut reason = WaitReason::MachinesIncoming;
        while demand.unplaced > 0 && self.offers.can_request_more() {
            let offers = &self.offers;
            let usable = |offer: usize| {
                demand.may_use(offers, offer) && (offers.offers[offer].2 || against.is_none())
            };
            let Some(offer) = offers.cheapest(usable) else {
                return against.unwrap_or(WaitReason::NoOffer);
            };
            let is_expensive = !offers.offers[offer].2 && !self.ordinary_is_cheap;
            if is_expensive && demand.place_on_all(offers, &mut self.soon_free) > 0 {
                reason = WaitReason::RunningWorkEndsSoon;
                continue;
            }
            // What is incoming was requested before. The simulation gives a booting machine to the
            // first job in the queue, which may be one that no expensive machine is requested for;
            // machines must not be requested for the other jobs again at each assessment.
            if is_expensive && demand.place_on_all(offers, &mut self.incoming_ordinary) > 0 {
                continue;
            }
            if !self.request_machine(demand, offer) {
                return WaitReason::NoOffer;
            }
        }
        reason
    }

    /// Plans the request of one machine and places tasks on it. Returns whether any fits.
    fn request_machine(&mut self, demand: &mut Demand<'_>, offer: usize) -> bool {
        let kind = self.offers.offers[offer].0;
        let mut simulated = self.scheduler.empty_machine(offer, kind);
        if demand.place(&self.offers, &mut simulated) == 0 {
            return false;
        }
        self.free_cpus += simulated.cpus;
        self.offers.add_desired(offer);
        self.incoming.push(simulated);
        true
    }

    /// Requests one machine for a job that was not served in the time that was predicted, unless
    /// one that it may use is on its way.
    fn request_for_overdue(&mut self, demand: &mut Demand<'_>) {
        if demand.may_use_any(&self.offers, &self.incoming) {
            return;
        }
        demand.unplaced = demand.unplaced.max(1);
        let offers = &self.offers;
        let Some(offer) = offers.cheapest(|offer| demand.may_use(offers, offer)) else { return };
        self.request_machine(demand, offer);
    }

    /// Plans requests for the headroom, from the cheapest offer, and ordinary machines only while
    /// they are cheap.
    fn add_headroom(&mut self) {
        let mut missing_cpus = self.scheduler.headroom_cpus(self.now) - self.free_cpus;
        while missing_cpus > EPSILON && self.offers.can_request_more() {
            let offers = &self.offers;
            let is_usable = |offer: usize| offers.offers[offer].2 || self.ordinary_is_cheap;
            let Some(offer) = offers.cheapest(is_usable) else { break };
            missing_cpus -= self.scheduler.cluster.machine_types[offers.offers[offer].0].cpus;
            self.offers.add_desired(offer);
        }
    }
}

/// Returns whether the machine will take new tasks when it has room. After a failover that holds for
/// machines that this leader has not heard yet.
fn is_kept(machine: &Machine) -> bool {
    let is_returned = matches!(machine.state, MachineState::Terminating | MachineState::Terminated);
    !is_returned && machine.drain_reason.is_none() && machine.interruption_at.is_none()
}

/// Returns whether the machine is booting and can be counted on. One that the cloud reports as
/// running and that sends no heartbeat is most likely gone.
fn is_incoming(now: Timestamp, machine: &Machine) -> bool {
    machine.state == MachineState::Booting
        && machine.expected
        && machine.drain_reason.is_none()
        && machine.hinted_up_at.is_none_or(|t| now.since(t) < FIRST_HEARTBEAT_TIMEOUT)
}
