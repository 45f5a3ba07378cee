//! Deterministic simulation of a small cluster with overlapping faults.
//!
//! Time advances in steps of 100 ms. The simulation holds workers with leases, successive leaders,
//! a key-value store and users, and checks the scheduler's invariants after every step. Leaders run
//! the real scheduler; the simulation decides only when messages arrive or get lost.
#![allow(dead_code)]

use std::collections::{BTreeMap, BTreeSet};
use std::rc::Rc;

use rand::rngs::StdRng;
use rand::{RngExt, SeedableRng};
use serde_json::json;
use walnutlug_scheduler::command::{Command, MessageOutcome, ReadOutcome, TransactionOutcome};
use walnutlug_scheduler::leadership::fencing_token::{FencingToken, Term};
use walnutlug_scheduler::model::ids::{AgentEpoch, Attempt, MachineIndex};
use walnutlug_scheduler::model::job_spec::{JobEnd, JobSpec};
use walnutlug_scheduler::protocol::cloud::{CloudMachineState, ListedMachine};
use walnutlug_scheduler::protocol::key_value::{Operation, Transaction};
use walnutlug_scheduler::protocol::workers::{ExitReason, Heartbeat, TaskState, WorkerCommand};
use walnutlug_scheduler::reconciliation::heartbeat_cache::{CachedHeartbeat, OWN_NODE};
use walnutlug_scheduler::reconciliation::heartbeats::HeartbeatAnswer;
use walnutlug_scheduler::scheduler::Scheduler;
use walnutlug_scheduler::storage::keys::{self, RunKey};
use walnutlug_scheduler::storage::records::description_record;
use walnutlug_scheduler::storage::revision::Revision;
use walnutlug_scheduler::time::{TimeDelta, Timestamp};
use walnutlug_scheduler::tunables::{Site, Tunables};

use crate::world::recorded_starts::assert_starts_are_recorded;
use crate::world::{self, transcript, Store, Worker};

mod follower;
pub mod meetings;
use follower::Follower;

const STEP: TimeDelta = TimeDelta::from_millis(100);
/// Length of a transcript step; it covers several simulation steps.
const RECORDED_STEP: TimeDelta = TimeDelta::from_millis(500);
const START: Timestamp = Timestamp(1 << 40);
/// Tasks per chunk of the submitted jobs.
const CHUNK: u32 = 20;

/// A fault or user action that a script injects.
///
/// A variant's last number is its duration in milliseconds, except for those that count machines
/// or jobs. A number before the duration is the affected percentage of machines, messages or jobs.
#[derive(Debug, Clone, Copy)]
pub enum ScriptedEvent {
    /// The leader crashes; a new one is elected 3.5 s later.
    CrashLeader,
    /// All controllers are down.
    StopAllControllers(u64),
    /// The key-value store rejects only the leader's requests; a new leader is elected unless the
    /// store is down for all.
    RejectLeader(u64),
    /// The leader reaches neither the key-value store nor the other nodes. A new leader is elected,
    /// and both can reach workers.
    PartitionLeader(u64),
    /// The key-value store is down for all nodes.
    StoreOutage(u64),
    /// Messages between nodes are lost.
    LosePeerMessages(u64),
    /// Transactions are executed, but their responses are lost.
    LoseCommitResponses(u64, u64),
    /// Transactions get no response and are executed 2 to 12 s later.
    DelayCommits(u64, u64),
    /// Heartbeats are lost; commands reach the machine.
    LoseHeartbeats(u64, u64),
    /// Heartbeats arrive; their responses and commands to the machine are lost.
    LoseInboundMessages(u64, u64),
    /// Machines are partitioned: messages are lost in both directions.
    PartitionMachines(u64, u64),
    /// All machines of one zone are partitioned.
    PartitionZone(&'static str, u64),
    /// Machines are paused and then resume where they stopped.
    PauseMachines(u64, u64),
    /// Up to this many machines die.
    KillMachines(u64),
    /// Commands to machines are executed 2.5 to 9 s late.
    DelayCommands(u64, u64),
    /// Heartbeats arrive a second time, up to two worker leases later, at the leader of that time.
    DuplicateHeartbeats(u64, u64),
    /// Heartbeats sent during this time arrive again as the first messages of the next leader.
    ReplayToNextLeader(u64),
    /// Users cancel up to this many of the running jobs.
    Cancel(u64),
    /// Jobs are cancelled in the step in which one of their tasks exits.
    CancelOnTaskExit(u64, u64),
    /// This many jobs of the given kind are submitted.
    Submit(u64, JobKind),
    /// In two of three steps a one-task job is submitted; a quarter of them are cancelled within
    /// 9 s.
    SubmitSingleTaskJobs(u64),
    /// Machines rented during this time boot within 2 s instead of 12 s.
    FastBoots(u64),
}

/// What kind of job is submitted, with its number of tasks.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum JobKind {
    Plain(u32),
    /// A job of the team with a limit of 4 CPUs.
    Capped(u32),
    /// A job whose tasks may run only in zone a.
    InZoneA(u32),
    /// A job whose tasks must all run in one zone.
    SingleZone(u32),
    /// A job whose tasks must be spread over the zones.
    Spread(u32),
    /// A job of high priority.
    HighPriority(u32),
    /// A job whose tasks take 60 s instead of 7 s.
    Long(u32),
    /// A job of high priority and of the class `flood`, with a deadline of 20 s.
    Flood(u32),
}

/// A scheduler that leads, or that doesn't know yet that it was replaced.
struct Leader {
    scheduler: Scheduler,
    /// Time of the last successful request to the key-value store; zero once it has stepped down.
    last_store_contact: Timestamp,
    /// When the partition from the key-value store ends.
    store_unreachable_until: Timestamp,
    /// When the partition from the other nodes ends.
    peers_unreachable_until: Timestamp,
    /// The leader knows every cancellation confirmed before this time.
    cancellations_known_until: Timestamp,
    /// When it next reads new jobs and job ends from the key-value store.
    next_store_poll: Timestamp,
}

struct Machine {
    worker: Worker,
    lease_renewed_at: Timestamp,
    next_heartbeat: Timestamp,
    booted_at: Timestamp,
    /// Its heartbeats are lost until then.
    heartbeats_lost_until: Timestamp,
    /// Commands and heartbeat responses to it are lost until then.
    inbound_lost_until: Timestamp,
    paused_until: Timestamp,
    /// Commands that arrived during a pause or were delayed, and when they are executed.
    delayed_commands: Vec<(Timestamp, FencingToken, AgentEpoch, Vec<WorkerCommand>)>,
    /// How long each attempt of a task has run.
    run_times: BTreeMap<(String, Attempt), TimeDelta>,
    /// The machine died or was returned to the cloud.
    removed: bool,
    /// The last heartbeat with its cache entry, if it needed no commands in response.
    cached_heartbeat: Option<(Heartbeat, CachedHeartbeat)>,
}

/// Returns the cache entry of the last heartbeat if the new one differs from it only in its
/// sequence number.
fn entry_if_repeated(
    cached: &Option<(Heartbeat, CachedHeartbeat)>,
    heartbeat: &Heartbeat,
) -> Option<CachedHeartbeat> {
    let (last, cache_entry) = cached.as_ref()?;
    let last = Heartbeat { sequence: heartbeat.sequence, ..last.clone() };
    (format!("{last:?}") == format!("{heartbeat:?}")).then_some(*cache_entry)
}

/// Responds to a heartbeat as the leader's node does: a repetition of a cached heartbeat is
/// answered from the cache, any other is handled in full and cached if it needs no commands.
fn respond_to_heartbeat(
    leader: &mut Leader,
    now: Timestamp,
    cached: &mut Option<(Heartbeat, CachedHeartbeat)>,
    heartbeat: &Heartbeat,
) -> Option<HeartbeatAnswer> {
    leader.scheduler.authority.set_cancellations_known_until(leader.cancellations_known_until);
    if let Some(cache_entry) = entry_if_repeated(cached, heartbeat) {
        if let Some(token) =
            leader.scheduler.answer_repeated_heartbeat(now, cache_entry, heartbeat.sequence)
        {
            let answer = Some(HeartbeatAnswer { token, commands: Vec::new() });
            transcript::answer("repeated", &heartbeat.machine, answer.as_ref());
            return answer;
        }
    }
    let answer = leader.scheduler.handle_heartbeat(now, heartbeat).ok();
    transcript::answer("whole", &heartbeat.machine, answer.as_ref());
    let no_commands = answer.as_ref().is_some_and(|answer| answer.commands.is_empty());
    let cache_entry =
        no_commands.then(|| leader.scheduler.cache_heartbeat(now, heartbeat, OWN_NODE)).flatten();
    *cached = cache_entry.map(|cache_entry| (heartbeat.clone(), cache_entry));
    answer
}

struct Job {
    spec: JobSpec,
    /// When the cancellation was confirmed to the user.
    cancelled_at: Option<Timestamp>,
    /// How long each task runs.
    run_time: TimeDelta,
}

/// A message that arrives at a later time.
enum Delivery {
    /// The store's response to a transaction.
    CommitResponse { term: Term, id: u64, outcome: TransactionOutcome },
    /// The store's response to the read of a key.
    ReadResponse { term: Term, id: u64, outcome: ReadOutcome },
    /// A worker's response to commands.
    CommandResponse { term: Term, machine: MachineIndex, outcome: MessageOutcome },
    /// A delayed transaction whose sender no longer waits for the response.
    DelayedTransaction(Transaction),
    /// A duplicate of an earlier heartbeat.
    HeartbeatCopy(Heartbeat),
    /// A node tells the leaders about a cancelled job. If the name starts with `!`, the user
    /// cancels the job only now.
    Cancellation { job: String },
}

/// State of the simulated cluster.
pub struct Sim {
    pub now: Timestamp,
    /// Name and seed of the scenario, for failure messages.
    scenario: String,
    rng: StdRng,
    site: Rc<Site>,
    store: Store,
    /// All schedulers that believe they lead, the newest last.
    leaders: Vec<Leader>,
    next_election: Option<Timestamp>,
    machines: BTreeMap<String, Machine>,
    jobs: BTreeMap<String, Job>,
    /// Messages under way and when they arrive.
    deliveries: Vec<(Timestamp, Delivery)>,
    /// Timed faults by name, with the affected percentage and their end.
    active_faults: BTreeMap<&'static str, (u64, Timestamp)>,
    fast_boots_until: Timestamp,
    /// Copies of heartbeats that the next leader receives first.
    heartbeats_for_next_leader: Vec<Heartbeat>,
    next_machine: u32,
    next_job: u32,
    /// A node that answers the heartbeats of half of the workers.
    follower: Follower,
    /// How often each condition occurred, so that tests can check that a scenario was effective.
    pub occurrences: BTreeMap<&'static str, u64>,
}

impl Sim {
    /// Returns how many repeated heartbeats the follower answered without asking the leader.
    pub fn repeated_by_follower(&self) -> u64 {
        self.follower.repeated_answered
    }

    pub fn new(scenario: String, seed: u64) -> Sim {
        let site = Rc::new(world::site());
        let mut sim = Sim {
            now: START,
            scenario,
            rng: StdRng::seed_from_u64(seed),
            site,
            store: Store::default(),
            leaders: Vec::new(),
            next_election: Some(START),
            machines: BTreeMap::new(),
            jobs: BTreeMap::new(),
            deliveries: Vec::new(),
            active_faults: BTreeMap::new(),
            fast_boots_until: START,
            heartbeats_for_next_leader: Vec::new(),
            next_machine: 0,
            next_job: 0,
            follower: Follower::new(&world::site()),
            occurrences: BTreeMap::new(),
        };
        for i in 0..8 {
            sim.boot_machine(if i % 2 == 0 { "a" } else { "b" }, START);
        }
        sim
    }

    fn chance(&mut self, percent: u64) -> bool {
        self.rng.random_range(0..100) < percent
    }

    fn random_between(&mut self, from: u64, to: u64) -> u64 {
        self.rng.random_range(from..to)
    }

    /// Returns a random time from `from` to `to` milliseconds after now.
    fn random_time_in(&mut self, from: u64, to: u64) -> Timestamp {
        let ms = self.random_between(from, to);
        self.now + TimeDelta::from_millis(ms)
    }

    fn count_occurrence(&mut self, condition: &'static str) {
        *self.occurrences.entry(condition).or_default() += 1;
    }

    /// Returns the affected percentage of a timed fault if it is active.
    fn active(&self, fault: &'static str) -> Option<u64> {
        self.active_faults.get(fault).filter(|u| self.now < u.1).map(|u| u.0)
    }

    /// Adds a machine whose worker starts at `booted_at`, and returns its name.
    fn boot_machine(&mut self, zone: &str, booted_at: Timestamp) -> String {
        self.next_machine += 1;
        let name = format!("n-{:03}", self.next_machine);
        let machine = Machine {
            worker: Worker::new(&name, zone),
            lease_renewed_at: booted_at,
            next_heartbeat: booted_at,
            booted_at,
            heartbeats_lost_until: START,
            inbound_lost_until: START,
            paused_until: START,
            delayed_commands: Vec::new(),
            run_times: BTreeMap::new(),
            removed: false,
            cached_heartbeat: None,
        };
        self.machines.insert(name.clone(), machine);
        name
    }

    /// Picks each machine with the given chance, and at least one.
    fn random_machines(&mut self, percent: u64) -> Vec<String> {
        let names: Vec<String> = self.machines.keys().cloned().collect();
        let picked: Vec<String> = names.iter().filter(|_| self.chance(percent)).cloned().collect();
        if picked.is_empty() {
            names.into_iter().take(1).collect()
        } else {
            picked
        }
    }

    /// Applies one event of a script.
    pub fn inject(&mut self, event: ScriptedEvent) {
        let end = |sim: &Sim, ms: u64| sim.now + TimeDelta::from_millis(ms);
        let start = |sim: &mut Sim, fault: &'static str, percent: u64, ms: u64| {
            sim.active_faults.insert(fault, (percent, sim.now + TimeDelta::from_millis(ms)));
        };
        match event {
            ScriptedEvent::CrashLeader => {
                if self.leaders.pop().is_some() {
                    self.count_occurrence("leader ended");
                }
                self.next_election = Some(end(self, 3_500));
            }
            ScriptedEvent::StopAllControllers(ms) => {
                self.leaders.clear();
                self.count_occurrence("all away");
                self.next_election = Some(end(self, ms));
            }
            ScriptedEvent::RejectLeader(ms) => {
                let until = end(self, ms);
                if let Some(l) = self.leaders.last_mut() {
                    l.store_unreachable_until = until;
                    self.next_election = Some(end(self, 3_000));
                    self.count_occurrence("leader refused alone");
                }
            }
            ScriptedEvent::PartitionLeader(ms) => {
                let until = end(self, ms);
                if let Some(l) = self.leaders.last_mut() {
                    (l.store_unreachable_until, l.peers_unreachable_until) = (until, until);
                    self.next_election = Some(end(self, 3_000));
                    self.count_occurrence("leader cut");
                }
            }
            ScriptedEvent::StoreOutage(ms) => start(self, "outage", 0, ms),
            ScriptedEvent::LosePeerMessages(ms) => start(self, "peers", 0, ms),
            ScriptedEvent::LoseCommitResponses(percent, ms) => start(self, "lost", percent, ms),
            ScriptedEvent::DelayCommits(percent, ms) => start(self, "late", percent, ms),
            ScriptedEvent::DelayCommands(percent, ms) => start(self, "hold", percent, ms),
            ScriptedEvent::DuplicateHeartbeats(percent, ms) => start(self, "copies", percent, ms),
            ScriptedEvent::ReplayToNextLeader(ms) => start(self, "next", 0, ms),
            ScriptedEvent::CancelOnTaskExit(percent, ms) => start(self, "at end", percent, ms),
            ScriptedEvent::SubmitSingleTaskJobs(ms) => start(self, "ones", 0, ms),
            ScriptedEvent::FastBoots(ms) => self.fast_boots_until = end(self, ms),
            ScriptedEvent::LoseHeartbeats(percent, ms)
            | ScriptedEvent::LoseInboundMessages(percent, ms)
            | ScriptedEvent::PartitionMachines(percent, ms)
            | ScriptedEvent::PauseMachines(percent, ms) => {
                let until = end(self, ms);
                for name in self.random_machines(percent) {
                    self.impair_machine(&name, event, until);
                }
            }
            ScriptedEvent::PartitionZone(zone, ms) => {
                let until = end(self, ms);
                let in_zone = |m: &&Machine| m.worker.zone == zone;
                let names: Vec<String> =
                    self.machines.values().filter(in_zone).map(|m| m.worker.name.clone()).collect();
                for name in names {
                    self.impair_machine(&name, ScriptedEvent::PartitionMachines(0, 0), until);
                }
            }
            ScriptedEvent::KillMachines(n) => {
                for name in self.random_machines(40).into_iter().take(n as usize) {
                    let m = self.machines.get_mut(&name).expect("a machine of that name");
                    m.removed = true;
                    m.worker.alive = false;
                    self.count_occurrence("machines died");
                }
            }
            ScriptedEvent::Cancel(n) => {
                let live = self.live_attempts();
                let running: Vec<String> = self
                    .jobs
                    .iter()
                    .filter(|(name, j)| {
                        j.cancelled_at.is_none()
                            && live.keys().any(|t| t.0.starts_with(&format!("{name}/")))
                    })
                    .map(|(name, _)| name.clone())
                    .collect();
                for name in running.into_iter().take(n as usize) {
                    self.cancel(&name);
                }
            }
            ScriptedEvent::Submit(n, kind) => {
                for _ in 0..n {
                    self.submit(kind);
                }
            }
        }
    }

    /// Starts a fault of one machine.
    fn impair_machine(&mut self, name: &str, fault: ScriptedEvent, until: Timestamp) {
        let has_tasks = self.machines.get(name).is_some_and(|m| !m.worker.live().is_empty());
        let Some(m) = self.machines.get_mut(name) else { return };
        let condition = match fault {
            ScriptedEvent::LoseHeartbeats(..) => {
                m.heartbeats_lost_until = until;
                "mute with tasks"
            }
            ScriptedEvent::LoseInboundMessages(..) => {
                m.inbound_lost_until = until;
                "deaf with tasks"
            }
            ScriptedEvent::PauseMachines(..) => {
                m.paused_until = until;
                "hung with tasks"
            }
            _ => {
                (m.heartbeats_lost_until, m.inbound_lost_until) = (until, until);
                "cut with tasks"
            }
        };
        if has_tasks {
            self.count_occurrence(condition);
        }
    }

    /// Stores a job as the accepting node does; leaders find it at their next poll.
    pub fn submit(&mut self, kind: JobKind) {
        if self.active("outage").is_some() {
            return;
        }
        self.next_job += 1;
        let name = format!("req-{:06}", self.next_job);
        let mut run_time = TimeDelta::from_secs(7);
        let plain = |n| JobSpec { deadline_s: Some(60.0), ..world::spec(n) };
        let spec = match kind {
            JobKind::Plain(n) => plain(n),
            JobKind::Capped(n) => JobSpec { team: "capped".into(), ..plain(n) },
            JobKind::InZoneA(n) => JobSpec { zone: Some("a".into()), ..plain(n) },
            JobKind::SingleZone(n) => JobSpec { one_zone: true, ..plain(n) },
            JobKind::Spread(n) => JobSpec { spread: true, ..plain(n) },
            JobKind::HighPriority(n) => JobSpec {
                priority: walnutlug_scheduler::model::job_spec::Priority::High,
                ..plain(n)
            },
            JobKind::Flood(n) => {
                let priority = walnutlug_scheduler::model::job_spec::Priority::High;
                JobSpec { priority, class: "flood".into(), deadline_s: Some(20.0), ..plain(n) }
            }
            JobKind::Long(n) => {
                run_time = TimeDelta::from_secs(60);
                JobSpec { estimate_s: 60.0, deadline_s: Some(200.0), ..plain(n) }
            }
        };
        let value = description_record(&spec, world::WALL + (self.now.0 - START.0), CHUNK);
        self.store.put(&keys::job(&name), json!(1));
        self.store.put(&keys::todo(&name), value);
        self.jobs.insert(name, Job { spec, cancelled_at: None, run_time });
    }

    /// Cancels a job for its user: another node stores the end, confirms it and notifies the
    /// leaders.
    fn cancel(&mut self, name: &str) {
        let key = keys::end(name);
        if self.active("outage").is_some() || self.store.keys.contains_key(&key) {
            return;
        }
        self.store.put(&key, json!("aborted"));
        self.jobs.get_mut(name).expect("submitted job").cancelled_at = Some(self.now);
        self.count_occurrence("cancelled");
        for (condition, fault) in [
            ("cancelled while the leader was cut", "leader cut"),
            ("cancelled while the leader was refused", "leader refused alone"),
        ] {
            let cut = self.leaders.iter().any(|l| l.store_unreachable_until > self.now);
            if cut && self.occurrences.contains_key(fault) {
                self.count_occurrence(condition);
            }
        }
        if self.next_election.is_some() {
            self.count_occurrence("cancelled while the lead changed hands");
        }
        let impaired = |m: &&Machine| {
            m.paused_until > self.now
                || m.inbound_lost_until > self.now
                || m.heartbeats_lost_until > self.now
        };
        let prefix = format!("{name}/");
        let runs_job = |m: &&Machine| m.worker.live().iter().any(|t| t.starts_with(&prefix));
        if self.machines.values().filter(impaired).any(|m| runs_job(&m)) {
            self.count_occurrence("cancelled on an ill machine");
        }
        let at = self.now + STEP;
        self.deliveries.push((at, Delivery::Cancellation { job: name.to_owned() }));
    }

    /// Returns the machines on which each live attempt of a task runs.
    fn live_attempts(&self) -> BTreeMap<(String, Attempt), Vec<String>> {
        let mut live: BTreeMap<(String, Attempt), Vec<String>> = BTreeMap::new();
        for (name, m) in self.machines.iter().filter(|(_, m)| !m.removed) {
            for (key, state) in &m.worker.tasks {
                if state.0 != TaskState::Exited {
                    live.entry(key.clone()).or_default().push(name.clone());
                }
            }
        }
        live
    }

    /// Starts a new leader from the stored state if an election is due.
    fn elect(&mut self) {
        if self.next_election.is_none_or(|at| self.now < at) || self.active("outage").is_some() {
            return;
        }
        self.next_election = None;
        self.count_occurrence("elected");
        let term = self.store.put(keys::LEADER, json!(self.now.0));
        let tunables = Rc::new(Tunables::default());
        let mut scheduler =
            Scheduler::new(self.site.clone(), tunables, term.into(), world::types(), self.now);
        let wall = world::WALL + (self.now.0 - START.0);
        for key_value in self.store.key_values(keys::TODO) {
            let name = key_value.key.strip_prefix(keys::TODO).expect("a description").to_owned();
            // Unreadable descriptions are skipped, as in the controller.
            let _ = scheduler.add_job(self.now, &name, &key_value.value, wall);
        }
        let unreadable = scheduler.load_chunks(self.now, &self.store.key_values(keys::RUN));
        assert!(unreadable.is_empty(), "{}: {unreadable:?}", self.scenario);
        // Sorted because the hash map has no fixed order and the transcripts depend on the order.
        let mut names: Vec<String> = scheduler.cluster.jobs_by_name.keys().cloned().collect();
        names.sort_unstable();
        for name in names.iter().filter(|n| self.store.keys.contains_key(&keys::end(n))) {
            scheduler.mark_job_ended(self.now, name);
        }
        let (now, watermark) = (self.now, self.now);
        self.leaders.push(Leader {
            scheduler,
            last_store_contact: now,
            store_unreachable_until: START,
            peers_unreachable_until: START,
            cancellations_known_until: watermark,
            next_store_poll: now,
        });
        // Old heartbeats arrive before any other message.
        for heartbeat in std::mem::take(&mut self.heartbeats_for_next_leader) {
            self.count_occurrence("old reports at a new leader");
            let answer = self
                .leaders
                .last_mut()
                .expect("a leader")
                .scheduler
                .handle_heartbeat(now, &heartbeat)
                .ok();
            transcript::answer("late", &heartbeat.machine, answer.as_ref());
        }
    }

    /// Advances the simulation by [`STEP`] and checks the invariants.
    fn step(&mut self) {
        self.now = self.now + STEP;
        if self.now.since(START).0.is_multiple_of(RECORDED_STEP.0) {
            transcript::next_step();
        }
        self.elect();
        if self.active("ones").is_some() && self.chance(66) {
            self.submit(JobKind::Plain(1));
            if self.chance(25) {
                let name = format!("req-{:06}", self.next_job);
                let at = self.random_time_in(0, 9_000);
                self.deliveries.push((at, Delivery::Cancellation { job: format!("!{name}") }));
            }
        }
        let (due, rest): (Vec<_>, Vec<_>) =
            std::mem::take(&mut self.deliveries).into_iter().partition(|e| e.0 <= self.now);
        self.deliveries = rest;
        for (_, delivery) in due {
            self.deliver(delivery);
        }
        let names: Vec<String> = self.machines.keys().cloned().collect();
        for name in &names {
            self.step_machine(name);
        }
        for i in 0..self.leaders.len() {
            self.step_leader(i);
        }
        let delay_ms = self.random_between(0, 300);
        let peers_reachable = self.active("peers").is_none();
        let leader = self.leaders.last_mut();
        let peers_reachable = peers_reachable
            && leader.as_ref().is_some_and(|l| self.now >= l.peers_unreachable_until);
        self.follower.step(self.now, leader, peers_reachable, delay_ms);
        self.leaders.retain(|l| l.last_store_contact != Timestamp(0));
        self.check_invariants();
    }

    /// Executes a transaction in the store and checks that only the leader of the newest term
    /// writes records, and that a job that has ended gets no new ones; deleting its records is
    /// allowed.
    fn apply(&mut self, transaction: &Transaction) -> TransactionOutcome {
        let outcome = self.store.apply(transaction);
        if matches!(outcome, TransactionOutcome::Committed { .. }) {
            let term = self.store.keys.get(keys::LEADER).map_or(Revision::NONE, |k| k.1);
            let guarded =
                transaction.compares.iter().any(|g| g.key == keys::LEADER && g.revision == term);
            assert!(
                guarded,
                "{}: transaction executed for a deposed leader: {transaction:?}",
                self.scenario
            );
            for change in &transaction.operations {
                let Operation::Put { put, .. } = change else { continue };
                let Some(RunKey { job, .. }) = RunKey::parse(put) else { continue };
                let ended = self.store.keys.contains_key(&keys::end(job));
                assert!(
                    !ended,
                    "{}: {put} was written although its job had already ended",
                    self.scenario
                );
            }
        }
        outcome
    }

    /// Delivers a message that is due.
    fn deliver(&mut self, delivery: Delivery) {
        let now = self.now;
        let by_term = |sim: &mut Sim, term: Term, f: &mut dyn FnMut(&mut Scheduler)| {
            if let Some(l) = sim.leaders.iter_mut().find(|l| l.scheduler.term == term) {
                f(&mut l.scheduler);
            }
        };
        match delivery {
            Delivery::CommitResponse { term, id, outcome } => {
                by_term(self, term, &mut |s| s.transaction_answered(now, id, outcome.clone()));
            }
            Delivery::ReadResponse { term, id, outcome } => {
                by_term(self, term, &mut |s| s.read_answered(now, id, outcome.clone()));
            }
            Delivery::CommandResponse { term, machine, outcome } => {
                by_term(self, term, &mut |s| s.message_answered(now, machine, outcome.clone()));
            }
            Delivery::DelayedTransaction(transaction) => {
                if self.active("outage").is_none() {
                    let _ = self.apply(&transaction);
                    self.count_occurrence("carried out late");
                }
            }
            Delivery::HeartbeatCopy(heartbeat) => {
                if let Some(l) = self.leaders.last_mut() {
                    let answer = l.scheduler.handle_heartbeat(now, &heartbeat).ok();
                    transcript::answer("late", &heartbeat.machine, answer.as_ref());
                    self.count_occurrence("copies of reports");
                }
            }
            Delivery::Cancellation { job } => {
                if let Some(name) = job.strip_prefix('!') {
                    let name = name.to_owned();
                    return self.cancel(&name);
                }
                let lost = self.active("peers").is_some();
                for l in
                    self.leaders.iter_mut().filter(|l| !lost && l.peers_unreachable_until <= now)
                {
                    l.scheduler.job_ended(now, &job, JobEnd::Cancelled);
                }
            }
        }
    }

    /// Advances one machine: expires its lease, executes delayed commands, runs its tasks and sends
    /// a heartbeat.
    fn step_machine(&mut self, name: &str) {
        let now = self.now;
        let m = self.machines.get_mut(name).expect("a machine of that name");
        if m.removed || now < m.booted_at {
            return;
        }
        if now.since(m.lease_renewed_at) > self.site.worker_lease {
            m.worker.expire_lease();
            m.lease_renewed_at = now;
            m.next_heartbeat = now;
        }
        if now < m.paused_until {
            return;
        }
        let (due, rest): (Vec<_>, Vec<_>) =
            std::mem::take(&mut m.delayed_commands).into_iter().partition(|h| h.0 <= now);
        m.delayed_commands = rest;
        let executed_late = due.len();
        for (_, token, agent_epoch, calls) in due {
            m.worker.run_commands(token, agent_epoch, &calls);
        }
        let mut jobs_with_exits = Vec::new();
        for (key, state) in &mut m.worker.tasks {
            if state.0 == TaskState::Exited {
                continue;
            }
            let run_time = m.run_times.entry(key.clone()).or_default();
            *run_time = *run_time + STEP;
            let job = key.0.split('/').next().unwrap_or_default();
            if self.jobs.get(job).is_some_and(|j| *run_time >= j.run_time) {
                *state = (TaskState::Exited, Some(ExitReason::Done));
                m.next_heartbeat = now;
                jobs_with_exits.push(job.to_owned());
            }
        }
        for _ in 0..executed_late {
            self.count_occurrence("commands held up");
        }
        for job in jobs_with_exits {
            if self.active("at end").is_some_and(|percent| self.chance(percent)) {
                self.count_occurrence("cancelled at the end");
                self.cancel(&job);
            }
        }
        let m = self.machines.get_mut(name).expect("a machine of that name");
        if now < m.next_heartbeat || now < m.heartbeats_lost_until {
            return;
        }
        let heartbeat = m.worker.heartbeat();
        m.next_heartbeat = now + self.site.heartbeat_interval;
        // Heartbeats go to the newest leader. If there are several leaders, machines with an even
        // last digit keep sending theirs to the previous one as long as it answers.
        let previous = self.leaders.len().saturating_sub(2);
        let uses_previous = self.leaders.len() > 1 && name.as_bytes()[4].is_multiple_of(2);
        let target = if uses_previous { previous } else { self.leaders.len().saturating_sub(1) };
        let mut cached = m.cached_heartbeat.take();
        let peers_reachable = self.active("peers").is_none();
        let uses_follower = (name.as_bytes()[4] / 2).is_multiple_of(2);
        let follower_answer = uses_follower.then(|| {
            let leader = self.leaders.last_mut();
            let peers_reachable = peers_reachable
                && leader.as_ref().is_some_and(|l| now >= l.peers_unreachable_until);
            self.follower.answer(now, leader, peers_reachable, &mut cached, &heartbeat)
        });
        let answer = follower_answer.flatten().or_else(|| {
            let leader = self.leaders.get_mut(target)?;
            respond_to_heartbeat(leader, now, &mut cached, &heartbeat)
        });
        if uses_previous {
            self.count_occurrence("a report to the former leader");
        }
        let answer = match (answer, uses_previous) {
            (None, true) => {
                // The previous leader refused with 421, so the worker switches to the newest one.
                let l = self.leaders.last_mut().expect("a leader");
                self::respond_to_heartbeat(l, now, &mut cached, &heartbeat)
            }
            (answer, _) => answer,
        };
        if self.active("copies").is_some_and(|percent| self.chance(percent)) {
            let at = self.random_time_in(2_000, 2 * self.site.worker_lease.0 / 1_000);
            self.deliveries.push((at, Delivery::HeartbeatCopy(heartbeat.clone())));
        }
        if self.active("next").is_some() {
            self.heartbeats_for_next_leader.push(heartbeat.clone());
        }
        let m = self.machines.get_mut(name).expect("a machine of that name");
        m.cached_heartbeat = cached;
        if let Some(HeartbeatAnswer { token, commands: calls }) =
            answer.filter(|_| now >= m.inbound_lost_until)
        {
            if token >= m.worker.token && heartbeat.agent_epoch == m.worker.agent_epoch {
                m.lease_renewed_at = now;
            }
            m.worker.receive_heartbeat_response(heartbeat.agent_epoch, token, &calls);
        }
    }

    /// Advances one leader: updates what it knows, lets it decide and executes its commands.
    fn step_leader(&mut self, i: usize) {
        let now = self.now;
        let outage = self.active("outage").is_some();
        let peers_reachable = self.active("peers").is_none();
        let l = &mut self.leaders[i];
        let store_reachable = !outage && now >= l.store_unreachable_until;
        if store_reachable {
            l.last_store_contact = now;
            if now >= l.next_store_poll {
                l.next_store_poll = now + TimeDelta::from_millis(300);
                l.cancellations_known_until = now;
                let wall = world::WALL + (now.0 - START.0);
                for key_value in self.store.key_values(keys::TODO) {
                    let name = key_value.key.strip_prefix(keys::TODO).expect("a description");
                    let _ = l.scheduler.add_job(now, name, &key_value.value, wall);
                }
                for name in l.scheduler.cluster.open_jobs() {
                    if let Some((end, _)) = self.store.keys.get(&keys::end(&name)) {
                        let end = serde_json::from_value(end.clone()).expect("an end");
                        l.scheduler.job_ended(now, &name, end);
                    }
                }
            }
        } else if peers_reachable && now >= l.peers_unreachable_until {
            l.cancellations_known_until =
                l.cancellations_known_until.max(now - TimeDelta::from_secs(1));
        }
        l.scheduler.authority.set_cancellations_known_until(l.cancellations_known_until);
        l.scheduler
            .authority
            .set_holds_lease(now.since(l.last_store_contact) < TimeDelta::from_millis(2_400));
        l.scheduler.tick(now);
        l.scheduler.autoscale(now);
        let overloaded = l.scheduler.fair_share.is_active();
        if overloaded {
            *self.occurrences.entry("an overload shared").or_default() += 1;
        }
        if now.0 % 3_000_000 < STEP.0 {
            let list: Vec<ListedMachine> = self
                .machines
                .values()
                .filter(|m| !m.removed)
                .map(|m| ListedMachine {
                    name: m.worker.name.clone(),
                    address: Some("10.0.0.1:1".into()),
                    kind: "t8".into(),
                    zone: m.worker.zone.clone(),
                    spot: false,
                    stage: if now >= m.booted_at {
                        CloudMachineState::Running
                    } else {
                        CloudMachineState::Booting
                    },
                    age_s: now.since(m.booted_at).as_secs_f64(),
                })
                .collect();
            l.scheduler.machine_list(now, &list);
        }
        let term = l.scheduler.term;
        let commands = l.scheduler.take_commands();
        assert_starts_are_recorded(&self.store, &l.scheduler, &commands);
        transcript::commands(term, &commands);
        for command in commands {
            self.execute_command(i, term, store_reachable, command);
        }
    }

    /// Executes a command of the leader at index `i`, with the faults that are active.
    fn execute_command(&mut self, i: usize, term: Term, store_reachable: bool, command: Command) {
        match command {
            Command::Log(_) | Command::FindJobEnds { .. } => {}
            Command::VerifyLeadership | Command::StepDown(_) => {
                let leader_revision =
                    self.store.keys.get(keys::LEADER).map_or(Revision::NONE, |k| k.1);
                let steps_down = matches!(command, Command::StepDown(_));
                if store_reachable && (steps_down || leader_revision != term.into()) {
                    self.leaders[i].last_store_contact = Timestamp(0);
                    if leader_revision == term.into() {
                        self.next_election.get_or_insert(self.now + TimeDelta::from_millis(500));
                    }
                }
            }
            Command::Commit { id, transaction } => {
                let response = |at, outcome| (at, Delivery::CommitResponse { term, id, outcome });
                let soon = self.random_time_in(10, 150);
                if !store_reachable {
                    return self.deliveries.push(response(soon, TransactionOutcome::Rejected));
                }
                let timeout = self.now + TimeDelta::from_millis(900);
                if self.active("late").is_some_and(|percent| self.chance(percent)) {
                    let at = self.random_time_in(2_000, 12_000);
                    self.deliveries.push((at, Delivery::DelayedTransaction(transaction)));
                    return self
                        .deliveries
                        .push(response(timeout, TransactionOutcome::Indeterminate));
                }
                let outcome = self.apply(&transaction);
                if self.active("lost").is_some_and(|percent| self.chance(percent)) {
                    self.count_occurrence("carried out unheard");
                    return self
                        .deliveries
                        .push(response(timeout, TransactionOutcome::Indeterminate));
                }
                self.deliveries.push(response(soon, outcome));
            }
            Command::Read { id, key } => {
                let outcome =
                    if store_reachable { self.store.read(&key) } else { ReadOutcome::Unavailable };
                let at = self.random_time_in(10, 150);
                self.deliveries.push((at, Delivery::ReadResponse { term, id, outcome }));
            }
            Command::SendToWorker { machine, token, agent_epoch, calls, .. } => {
                let name = self.leaders[i].scheduler.cluster.machines[machine].name.clone();
                let response =
                    |at, outcome| (at, Delivery::CommandResponse { term, machine, outcome });
                let timeout = self.now + TimeDelta::from_secs(2);
                let now = self.now;
                let delayed = self.active("hold").is_some_and(|percent| self.chance(percent));
                let delayed_until = self.random_time_in(2_500, 9_000);
                let soon = self.random_time_in(10, 150);
                let Some(m) = self.machines.get_mut(&name) else {
                    return self.deliveries.push(response(soon, MessageOutcome::NotSent));
                };
                if m.removed || now < m.booted_at || now < m.inbound_lost_until {
                    return self.deliveries.push(response(timeout, MessageOutcome::Indeterminate));
                }
                if now < m.paused_until || delayed {
                    let at =
                        if delayed { delayed_until.max(m.paused_until) } else { m.paused_until };
                    m.delayed_commands.push((at, token, agent_epoch, calls));
                    return self.deliveries.push(response(timeout, MessageOutcome::Indeterminate));
                }
                let heartbeat = m.worker.run_commands(token, agent_epoch, &calls);
                if !calls.is_empty() {
                    // A worker sends a heartbeat within 500 ms of a change of its tasks.
                    m.next_heartbeat = m.next_heartbeat.min(now + TimeDelta::from_millis(500));
                }
                let outcome = MessageOutcome::Answered(Box::new(heartbeat));
                self.deliveries.push(response(soon, outcome));
            }
            Command::ScaleOut { kind, zone, spot, count } => {
                let now = self.now;
                let room =
                    14usize.saturating_sub(self.machines.values().filter(|m| !m.removed).count());
                let mut names = Vec::new();
                for _ in 0..(count as usize).min(room) {
                    let ms = if now < self.fast_boots_until {
                        self.random_between(300, 1_900)
                    } else {
                        12_000
                    };
                    if now < self.fast_boots_until {
                        self.count_occurrence("up within two seconds");
                    }
                    names.push(self.boot_machine(&zone, now + TimeDelta::from_millis(ms)));
                }
                self.leaders[i].scheduler.scale_out_answered(
                    now,
                    &kind,
                    &zone,
                    spot,
                    count,
                    Ok(names),
                );
            }
            Command::ScaleIn { machines } => {
                for name in &machines {
                    if let Some(m) = self.machines.get_mut(name) {
                        m.removed = true;
                        m.worker.alive = false;
                    }
                }
                let now = self.now;
                self.leaders[i].scheduler.scale_in_answered(now, &machines, true);
            }
        }
    }

    /// Checks the invariants: no task is live twice, team limits and zone constraints hold, and
    /// cancelled jobs are stopped in time.
    fn check_invariants(&mut self) {
        let live = self.live_attempts();
        let mut machines_by_task: BTreeMap<&str, Vec<&str>> = BTreeMap::new();
        let mut capped = 0.0;
        let mut zones: BTreeMap<&str, BTreeMap<&str, u32>> = BTreeMap::new();
        for ((task, _), machines) in &live {
            let (job, _) = task.split_once('/').expect("a task");
            let spec = &self.jobs[job].spec;
            for m in machines {
                machines_by_task.entry(task).or_default().push(m);
                let zone = self.machines[m].worker.zone.as_str();
                *zones.entry(job).or_default().entry(zone).or_default() += 1;
                if spec.team == "capped" {
                    capped += spec.cpus;
                }
            }
        }
        let at = self.now.since(START).as_secs_f64();
        let context = format!("{} at {at:.1} s", self.scenario);
        for (task, machines) in &machines_by_task {
            assert_eq!(
                machines.len(),
                1,
                "{context}: task {task} is live on several machines: {machines:?}"
            );
        }
        assert!(capped <= 4.0 + 1e-9, "{context}: a team exceeds its limit of 4 CPUs: {capped}");
        for (job, zones) in &zones {
            let spec = &self.jobs[*job].spec;
            let most = zones.values().max().copied().unwrap_or(0);
            let half = spec.tasks.div_ceil(2);
            assert!(
                !spec.spread || most <= half,
                "{context}: {job} is not spread over zones: {zones:?}"
            );
            assert!(
                !spec.one_zone || zones.len() == 1,
                "{context}: {job} is not in one zone: {zones:?}"
            );
            let in_zone = spec.zone.as_deref().is_none_or(|z| zones.keys().all(|k| *k == z));
            assert!(in_zone, "{context}: {job} is outside of its zone: {zones:?}");
            if let Some(cancelled_at) = self.jobs[*job].cancelled_at {
                let ago = self.now.since(cancelled_at);
                assert!(
                    ago <= self.site.cancel_within,
                    "{context}: cancelled job {job} still runs: {zones:?}"
                );
            }
        }
        if capped >= 4.0 {
            self.count_occurrence("team at its limit");
        }
    }

    /// Plays the script for `for_s` seconds, then runs without new events. Fails unless all jobs
    /// have ended and their records are deleted within six minutes.
    pub fn play(&mut self, script: &[(u64, ScriptedEvent)], for_s: u64) {
        let mut script: Vec<(u64, ScriptedEvent)> = script.to_vec();
        script.sort_by_key(|s| s.0);
        let mut script = script.into_iter().peekable();
        while self.now.since(START) < TimeDelta::from_secs(for_s) {
            while script
                .peek()
                .is_some_and(|s| TimeDelta::from_millis(s.0) <= self.now.since(START))
            {
                let (_, event) = script.next().expect("a peeked event");
                self.inject(event);
            }
            self.step();
        }
        for _ in 0..3_600 {
            if self.unfinished().is_empty() {
                return;
            }
            self.step();
        }
        panic!(
            "{}: unfinished jobs or stale records six minutes after the script: {:?}",
            self.scenario,
            self.unfinished()
        );
    }

    /// Returns the jobs without an end and the keys of descriptions that are not deleted yet.
    fn unfinished(&self) -> BTreeSet<String> {
        let open = self.jobs.keys().filter(|n| !self.store.keys.contains_key(&keys::end(n)));
        let records = self.store.keys.keys().filter(|k| k.starts_with(keys::DESCRIPTIONS));
        let mut unfinished: BTreeSet<String> = open.cloned().collect();
        unfinished.extend(records.cloned());
        unfinished
    }
}
