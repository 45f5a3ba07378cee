//! An overloaded fleet is shared: which part of it each team and class holds, and whose turn it is.
//!
//! Below overload the queue's own order decides alone ([`crate::queue::order`]). Above it, room goes out in
//! portions by the rules of [`walnutlug_admission::deal`]; within a class the queue's order stays.

use std::collections::{BTreeMap, HashMap};

use walnutlug_admission::deal::{Deal, Rules, Waiting};
use walnutlug_admission::resources::Resources;
use walnutlug_admission::saturation::{Change, Saturation, Thresholds};
use walnutlug_admission::shares::{ClassId, Entitlement, Shares, TeamId};

use crate::model::job::SLACK;
use crate::model::task::MachineIx;
use crate::placement::MOST_PRESSED;
use crate::protocol::MachineType;
use crate::queue::order::{Lift, Urgency};
use crate::scheduler::{Job, JobIx, Machine, MachineState, Scheduler};
use crate::time::{Span, Time};
use crate::tunables::{Site, Tunables};

/// A portion of room, as a part of the fleet: small enough that the shares of a few teams come out
/// even, large enough that a job of usual size is one portion.
const PORTION: f64 = 1.0 / 64.0;
/// What the floors of all classes take together at most; the rest goes by priority.
const ALL_FLOORS: f64 = 0.5;
/// The fleet is overloaded no more when less waits than this part of what overloads it.
const LEAVE: f64 = 0.2;
/// For how long there has to be room before the overload is over.
const LEAVE_AFTER: Span = Span::secs(20);
/// Waiting work, as a part of the fleet, that nothing on its way will make room for: four fleets'
/// worth beyond the machines that were asked for.
const AT_ONCE: f64 = 4.0;
/// Boots of the quickest machine type for which work has to wait.
const BOOTS: f64 = 1.0;
/// What a class keeps in an overload, as a multiple of its floor: were it no more than that, what was
/// started to bring it there would be stopped as soon as the floor moved.
const KEPT: f64 = 1.25;
/// Classes that the log names.
const MOST_TOLD: usize = 12;
/// How often the work that finds no room is added up.
const OBSERVE_EVERY: Span = Span::millis(500);
/// After a take-over, until a machine list is read, nobody can tell what room there is.
const KNOWS_FLEET_AFTER: Span = Span::secs(10);

/// What the leader keeps to share the fleet.
#[derive(Debug)]
pub struct Sharing {
    pub shares: Shares,
    saturation: Saturation,
    observed_at: Time,
    /// The part of the fleet that each class is brought up to, by team.
    floors: BTreeMap<TeamId, f64>,
}

impl Sharing {
    pub fn new(site: &Site, tun: &Tunables) -> Sharing {
        Sharing {
            shares: Shares::new(entitlements(site, tun)),
            saturation: Saturation::default(),
            observed_at: Time(0),
            floors: BTreeMap::new(),
        }
    }

    /// The part of the fleet that the class keeps, whatever waits; nothing below overload.
    pub fn kept(&self, class: ClassId) -> f64 {
        let floor = self.floors.get(&self.shares.team_of(class)).copied();
        if self.is_on() {
            floor.unwrap_or(0.0) * KEPT
        } else {
            0.0
        }
    }

    /// What the class holds of the fleet, or its floor where it holds less.
    pub fn room_of(&self, class: ClassId) -> Resources {
        let floor = self.floors.get(&self.shares.team_of(class)).copied().unwrap_or(0.0);
        self.shares.fleet().times(self.shares.class_share(class).max(floor))
    }

    /// Whether the fleet is overloaded, so that shares decide.
    pub fn is_on(&self) -> bool {
        self.saturation.is_saturated()
    }
}

/// Weights are relative: a guarantee counts against the mean of all guarantees.
fn entitlements(site: &Site, tun: &Tunables) -> HashMap<String, Entitlement> {
    let guaranteed: Vec<f64> = site.teams.iter().map(|t| t.cpus).filter(|&c| c > 0.0).collect();
    let mean = guaranteed.iter().sum::<f64>() / guaranteed.len().max(1) as f64;
    let entitlement = |team: &crate::model::job::Team| {
        let by_guarantee = if team.cpus > 0.0 { team.cpus / mean } else { 1.0 };
        Entitlement {
            weight: tun.team_weights.get(&team.name).copied().unwrap_or(by_guarantee),
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
        Rules { portion: PORTION, floor: self.tun.class_floor, all_floors: ALL_FLOORS }
    }

    /// Whether the job may have work of lower priority stopped. In an overload a team that holds its
    /// part of the fleet stops nobody's work: its next jobs would be as late as those before them, and
    /// what was done of the work is lost.
    pub(crate) fn may_press(&self, urgency: &Urgency, ix: JobIx) -> bool {
        let Some(job) = self.job(ix) else { return false };
        self.is_pressed(urgency)
            && (urgency.owed
                || !self.sharing.is_on()
                || !self.sharing.shares.has_its_part(job.share_class()))
    }

    /// Whether one task less would leave the job's class with less than it keeps.
    pub(crate) fn is_at_floor(&self, job: &Job) -> bool {
        let left = self.sharing.shares.share_without(job.share_class(), job.spec.task());
        left < self.sharing.kept(job.share_class())
    }

    /// Places what it can by shares: what age has lifted first, within its part of the fleet, then
    /// floors, priorities, guarantees and shares. Returns jobs that found no machine, as many as may
    /// have room made for them.
    pub(crate) fn place_by_share(
        &mut self,
        now: Time,
        queue: &[(Urgency, JobIx)],
        mut open: Vec<MachineIx>,
        least: Resources,
    ) -> Vec<(Urgency, JobIx)> {
        let mut reserved = self.place_lifted_by_share(now, queue, &open);
        open.retain(|ix| !reserved.contains(ix));
        self.jobs_examined += queue.len() as u64;
        let waiting = queue.iter().map(|&(urgency, ix)| self.waiting(ix, urgency.rank as u8));
        let mut deal = Deal::new(&self.sharing.shares, waiting, self.rules());
        self.sharing.floors = deal.floors();
        let mut blocked: Vec<(Urgency, JobIx)> = Vec::new();
        let mut pressed = 0;
        while let Some(portion) = deal.next_portion() {
            if open.is_empty() && pressed >= MOST_PRESSED {
                break; // Room can't be made for more than these in one look.
            }
            if self.plans_enough() {
                self.dirty = true;
                break;
            }
            let (urgency, ix) = queue[portion.job];
            let (placed, stuck) = self.place_job(now, ix, &open, portion.tasks);
            deal.taken(placed);
            if stuck {
                let urgency = Urgency { lift: Lift::None, ..urgency };
                blocked.push((urgency, ix));
                pressed += usize::from(self.may_press(&urgency, ix));
                if portion.for_floor && reserved.len() < self.most_reserved() {
                    // Small tasks of others would take every bit that gets free.
                    let count = (self.most_reserved() - reserved.len())
                        .min((portion.tasks - placed) as usize);
                    let cleared = self.clearing(now, ix, &reserved, count);
                    open.retain(|m| !cleared.contains(m));
                    reserved.extend(cleared);
                }
            }
            if placed > 0 {
                open.retain(|&m| self.has_room(&self.machines[m as usize], least));
            }
        }
        blocked.sort_by_key(|entry| std::cmp::Reverse(entry.0.rank));
        blocked
    }

    /// What age has lifted, by turns of the teams: a flood's jobs grow old together, and would leave
    /// nothing of the old jobs' part to the others. Returns machines that are kept for it.
    fn place_lifted_by_share(
        &mut self,
        now: Time,
        queue: &[(Urgency, JobIx)],
        open: &[MachineIx],
    ) -> Vec<MachineIx> {
        self.jobs_examined += queue.len() as u64;
        let lifted: Vec<&(Urgency, JobIx)> =
            queue.iter().filter(|entry| entry.0.lift > Lift::None).collect();
        let mut reserved: Vec<MachineIx> = Vec::new();
        if lifted.is_empty() {
            return reserved;
        }
        let mut room = self.room_for_old(now);
        let most_reserved = self.most_reserved();
        let waiting = lifted.iter().map(|&&(urgency, ix)| {
            let waiting = self.waiting(ix, urgency.lift as u8);
            match urgency.lift {
                Lift::Unbegun => Waiting { tasks: waiting.tasks.min(1), ..waiting },
                _ => waiting,
            }
        });
        let rules = Rules { floor: 0.0, ..self.rules() };
        let mut deal = Deal::new(&self.sharing.shares, waiting, rules);
        while let Some(portion) = deal.next_portion() {
            let &(urgency, ix) = lifted[portion.job];
            let Some(job) = self.job(ix) else { break };
            let cpus = job.spec.cpus.max(0.1);
            let most = match urgency.lift {
                Lift::Unbegun => portion.tasks,
                _ => portion.tasks.min((room / cpus).max(0.0) as u32),
            };
            let (placed, stuck) = self.place_job(now, ix, open, most);
            deal.taken(placed);
            room -= f64::from(placed) * cpus;
            if stuck && reserved.len() < most_reserved {
                reserved.extend(self.clearing(now, ix, &reserved, 1));
            }
            if open.is_empty() && reserved.len() >= most_reserved {
                break; // Nothing finds room, and no more may be cleared.
            }
        }
        reserved
    }

    /// Whether as many starts are planned as can be written within a second. What is decided beyond
    /// that would wait in the order in which it was decided, and not in that of the shares. (With
    /// half of a fleet idle for want of writes, a team's few starts stood behind the flood's.)
    fn plans_enough(&self) -> bool {
        self.writes_per_second().is_some_and(|writes| self.planned_chunks as f64 >= writes)
    }

    /// Whether the next round had better wait for the writes of the last ones: a look at the whole queue
    /// for each few of them would cost more than it decides.
    pub(crate) fn has_plans_to_write(&self) -> bool {
        let half = self.writes_per_second().map(|writes| writes / 2.0);
        self.sharing.is_on() && half.is_some_and(|half| self.planned_chunks as f64 > half)
    }

    fn waiting(&self, ix: JobIx, tier: u8) -> Waiting {
        let job = &self.jobs[&ix];
        Waiting { tier, class: job.share_class, task: job.spec.task(), tasks: job.pending() }
    }

    /// Tells who holds an overloaded fleet.
    pub(crate) fn note_shares(&mut self) {
        if !self.sharing.is_on() {
            return;
        }
        let held: Vec<String> = self
            .sharing
            .shares
            .largest(MOST_TOLD)
            .into_iter()
            .map(|(team, class, share)| {
                format!("{team}/{} {share:.3}", class.unwrap_or("further classes"))
            })
            .collect();
        self.log(format!("shares of the overloaded fleet: {}", held.join(", ")));
    }

    /// Takes in how much of the queue was left without room.
    pub(crate) fn observe_load(&mut self, now: Time, queue: &[(Urgency, JobIx)]) {
        if !self.tun.shared_order {
            return;
        }
        let knows_fleet = self.autoscaler.listed || now.since(self.started_at) > KNOWS_FLEET_AFTER;
        if !knows_fleet || now.since(self.sharing.observed_at) < OBSERVE_EVERY {
            return;
        }
        self.sharing.observed_at = now;
        self.jobs_examined += queue.len() as u64;
        let fleet = self.sharing.shares.fleet();
        let boots = self.types.iter().map(|t| t.boot_s);
        let boot = boots.min_by(f64::total_cmp).unwrap_or(0.0);
        let lacking = self.without_room(now, queue, boot).less(self.on_its_way());
        let waiting = lacking.dominant_share(fleet);
        let thresholds = Thresholds {
            enter: self.tun.overload_at,
            leave: self.tun.overload_at * LEAVE,
            at_once: AT_ONCE.max(self.tun.overload_at),
            enter_after: Span::from_secs(boot * BOOTS),
            leave_after: LEAVE_AFTER,
        };
        match self.sharing.saturation.observe(now, waiting, &thresholds) {
            Some(Change::Entered) => self.log(format!(
                "overloaded: work for {waiting:.2} of the fleet finds no room; it is shared by team and class"
            )),
            Some(Change::Left) => self.log("no longer overloaded".to_owned()),
            None => {}
        }
    }

    /// What the jobs' tasks take that wait, that their teams' limits allow, and that can't wait for a
    /// machine to boot. (Work with time to spare waits for running work as a matter of course: counted
    /// in, it made an overload of every ordinary day.)
    fn without_room(&self, now: Time, queue: &[(Urgency, JobIx)], boot_s: f64) -> Resources {
        let mut allowed: HashMap<&str, Resources> = HashMap::new();
        let mut sum = Resources::NONE;
        for &(urgency, ix) in queue {
            let Some(job) = self.job(ix) else { continue };
            let waits_long = now.since(job.released) > self.tun.begin_within;
            let fails = job.errors > 0 && job.suspect();
            if fails || urgency.slack > boot_s && !waits_long {
                continue;
            }
            let task = job.spec.task();
            let room = allowed
                .entry(job.spec.team.as_str())
                .or_insert_with(|| self.room_under_limit(&job.spec.team));
            let by = |room: f64, takes: f64| if takes > 0.0 { room / takes } else { f64::INFINITY };
            let most = by(room.cpus, task.cpus).min(by(room.gpus, task.gpus)) + SLACK;
            let tasks = f64::from(job.pending()).min(most.floor());
            *room = room.less(task.times(tasks));
            sum += task.times(tasks);
        }
        sum
    }

    /// What the team's limit leaves it; without bound where there is no limit.
    fn room_under_limit(&self, team: &str) -> Resources {
        let (cpus, gpus) = self.team_use.get(team).copied().unwrap_or_default();
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
        let boots =
            |m: &&Machine| m.state == MachineState::Booting && m.expected && m.draining.is_none();
        let kinds = self.machines.iter().filter(boots).filter_map(|m| m.kind);
        let rented = kinds.map(|kind| self.types[kind].room());
        let asked = self.autoscaler.asking.iter();
        let asked = asked.map(|(offer, &count)| self.types[offer.0].room().times(f64::from(count)));
        rented.chain(asked).fold(Resources::NONE, |sum, room| sum + room)
    }
}
