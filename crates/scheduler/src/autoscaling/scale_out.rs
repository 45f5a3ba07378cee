//! Scaling out: which machines to request for the queue and the headroom.

use std::collections::BTreeMap;

use walnutlug_admission::shares::ClassId;

use crate::autoscaling::offers::{
    InstanceOffer, InstanceOffers, SimulatedMachine, MAX_MACHINES_PER_REQUEST,
};
use crate::autoscaling::FIRST_HEARTBEAT_TIMEOUT;
use crate::command::Command;
use crate::model::cluster::TeamUsage;
use crate::model::ids::JobIndex;
use crate::model::job::Job;
use crate::model::machine::MachineState;
use crate::model::EPSILON;
use crate::queue::order::QueueKey;
use crate::scheduler::Scheduler;
use crate::time::Timestamp;

impl Scheduler {
    /// Requests machines for tasks that fit on no machine, and for the headroom.
    pub(super) fn scale_out(&mut self, now: Timestamp, queue: Vec<(QueueKey, JobIndex)>) {
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

    /// Takes over a request that a former leader recorded and whose outcome isn't known yet.
    pub fn adopt_scale_out(&mut self, kind: &str, zone: &str, spot: bool, count: u32) {
        if let Some(kind) = self.cluster.machine_types.iter().position(|t| t.name == kind) {
            *self.autoscaler.pending_scale_out.entry((kind, zone.to_owned(), spot)).or_default() +=
                count;
        }
    }
}
