//! A small deployment in steps of a tenth of a second: workers with leases, one leader after another,
//! users, and troubles laid over each other. The rules are looked at after every step. What a leader
//! and a worker do is theirs; only the messages between them are the simulation's.
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

use crate::world::{self, transcript, Store, Worker};

mod follower;
pub mod meetings;
use follower::Follower;

const STEP: TimeDelta = TimeDelta::from_millis(100);
/// A step of a transcript, in which several of these are told together.
const RECORDED_STEP: TimeDelta = TimeDelta::from_millis(500);
const START: Timestamp = Timestamp(1 << 40);
const CHUNK: u32 = 20;

/// A trouble, and for how long; shares are of a hundred machines, messages or jobs.
#[derive(Debug, Clone, Copy)]
pub enum ScriptedEvent {
    /// The leader ends; another leads as soon as it can.
    CrashLeader,
    /// All controllers are away.
    StopAllControllers(u64),
    /// The key-value store refuses the leader alone, which is replaced unless it is down for all.
    RejectLeader(u64),
    /// The leader loses the key-value store and the other nodes; another leads, and both reach workers.
    PartitionLeader(u64),
    StoreOutage(u64),
    /// Frames between nodes are lost.
    LosePeerMessages(u64),
    /// Transactions are carried out, and nobody hears of it.
    LoseCommitResponses(u64, u64),
    /// Transactions get no answer and are carried out 2 to 12 s later.
    DelayCommits(u64, u64),
    /// Reports don't arrive; direct commands do.
    LoseHeartbeats(u64, u64),
    /// Reports arrive; answers and direct commands don't.
    LoseInboundMessages(u64, u64),
    /// Neither.
    PartitionMachines(u64, u64),
    /// Neither, for the machines of one zone.
    PartitionZone(&'static str, u64),
    /// They stand still, and go on.
    PauseMachines(u64, u64),
    KillMachines(u64),
    /// Direct commands are held up for two to nine seconds, and carried out then.
    DelayCommands(u64, u64),
    /// Copies of reports arrive again, up to two leases later, at whoever leads then.
    DuplicateHeartbeats(u64, u64),
    /// The next leader hears old heartbeats first.
    ReplayToNextLeader(u64),
    /// Users cancel so many of the jobs that run.
    Cancel(u64),
    /// Jobs are cancelled in the step in which their last task ends.
    CancelOnTaskExit(u64, u64),
    /// So many jobs of that kind are submitted.
    Submit(u64, Kind),
    /// Jobs of one task, two in three steps, a quarter of them cancelled soon.
    SubmitSingleTaskJobs(u64),
    /// New machines are up at once, and until then more are to be had.
    FastBoots(u64),
}

#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Kind {
    Plain(u32),
    /// Of a team at its limit.
    Capped(u32),
    /// Bound to zone a.
    Bound(u32),
    Together(u32),
    Spread(u32),
    Urgent(u32),
    /// Its tasks take long.
    Long(u32),
    /// Urgent, of a class of its own.
    Flood(u32),
}

struct Leader {
    s: Scheduler,
    /// When it was last served by the key-value store.
    served: Timestamp,
    /// Up to when it is cut from the key-value store, and from the other nodes.
    no_state: Timestamp,
    no_peers: Timestamp,
    known: Timestamp,
    hears_at: Timestamp,
}

struct Machine {
    worker: Worker,
    renewed: Timestamp,
    report_at: Timestamp,
    up_at: Timestamp,
    mute: Timestamp,
    deaf: Timestamp,
    hung: Timestamp,
    /// Messages that came while it hung or that were held up.
    held: Vec<(Timestamp, FencingToken, AgentEpoch, Vec<WorkerCommand>)>,
    ran: BTreeMap<(String, Attempt), TimeDelta>,
    gone: bool,
    /// Its last heartbeat, if that left nothing to do.
    cached: Option<(Heartbeat, CachedHeartbeat)>,
}

/// The mark of the machine's last heartbeat, if this one is that again.
fn repeats(
    cached: &Option<(Heartbeat, CachedHeartbeat)>,
    heartbeat: &Heartbeat,
) -> Option<CachedHeartbeat> {
    let (last, cache_entry) = cached.as_ref()?;
    let last = Heartbeat { sequence: heartbeat.sequence, ..last.clone() };
    (format!("{last:?}") == format!("{heartbeat:?}")).then_some(*cache_entry)
}

/// Answers as a node does: a repetition of a heartbeat that left nothing to do is not read in full.
fn answer(
    leader: &mut Leader,
    now: Timestamp,
    cached: &mut Option<(Heartbeat, CachedHeartbeat)>,
    heartbeat: &Heartbeat,
) -> Option<HeartbeatAnswer> {
    leader.s.authority.set_cancellations_known_until(leader.known);
    if let Some(cache_entry) = repeats(cached, heartbeat) {
        if let Some(token) =
            leader.s.answer_repeated_heartbeat(now, cache_entry, heartbeat.sequence)
        {
            let answer = Some(HeartbeatAnswer { token, commands: Vec::new() });
            transcript::answer("repeated", &heartbeat.machine, answer.as_ref());
            return answer;
        }
    }
    let answer = leader.s.handle_heartbeat(now, heartbeat).ok();
    transcript::answer("whole", &heartbeat.machine, answer.as_ref());
    let quiet = answer.as_ref().is_some_and(|answer| answer.commands.is_empty());
    let cache_entry = quiet.then(|| leader.s.cache_heartbeat(now, heartbeat, OWN_NODE)).flatten();
    *cached = cache_entry.map(|cache_entry| (heartbeat.clone(), cache_entry));
    answer
}

struct Job {
    spec: JobSpec,
    told: Option<Timestamp>,
    runs: TimeDelta,
}

enum Event {
    Answer {
        term: Term,
        id: u64,
        outcome: TransactionOutcome,
    },
    Read {
        term: Term,
        id: u64,
        outcome: ReadOutcome,
    },
    Direct {
        term: Term,
        machine: MachineIndex,
        outcome: MessageOutcome,
    },
    /// A transaction that nobody waits for any more.
    Late(Transaction),
    Copy(Heartbeat),
    Told {
        job: String,
    },
}

pub struct Sim {
    pub now: Timestamp,
    what: String,
    rng: StdRng,
    site: Rc<Site>,
    store: Store,
    leaders: Vec<Leader>,
    elect_at: Option<Timestamp>,
    machines: BTreeMap<String, Machine>,
    jobs: BTreeMap<String, Job>,
    events: Vec<(Timestamp, Event)>,
    until: BTreeMap<&'static str, (u64, Timestamp)>,
    boots: Timestamp,
    kept: Vec<Heartbeat>,
    next_machine: u32,
    next_job: u32,
    /// Answers half of the workers.
    follower: Follower,
    /// What came to pass, to see that a meeting took place.
    pub occurrences: BTreeMap<&'static str, u64>,
}

impl Sim {
    /// Repetitions that the follower answered by itself.
    pub fn repeated_by_follower(&self) -> u64 {
        self.follower.repeated
    }

    pub fn new(what: String, seed: u64) -> Sim {
        let site = Rc::new(world::site());
        let mut sim = Sim {
            now: START,
            what,
            rng: StdRng::seed_from_u64(seed),
            site,
            store: Store::default(),
            leaders: Vec::new(),
            elect_at: Some(START),
            machines: BTreeMap::new(),
            jobs: BTreeMap::new(),
            events: Vec::new(),
            until: BTreeMap::new(),
            boots: START,
            kept: Vec::new(),
            next_machine: 0,
            next_job: 0,
            follower: Follower::new(&world::site()),
            occurrences: BTreeMap::new(),
        };
        for i in 0..8 {
            sim.boot(if i % 2 == 0 { "a" } else { "b" }, START);
        }
        sim
    }

    fn chance(&mut self, percent: u64) -> bool {
        self.rng.random_range(0..100) < percent
    }

    fn between(&mut self, from: u64, to: u64) -> u64 {
        self.rng.random_range(from..to)
    }

    fn in_ms(&mut self, from: u64, to: u64) -> Timestamp {
        let ms = self.between(from, to);
        self.now + TimeDelta::from_millis(ms)
    }

    fn saw(&mut self, what: &'static str) {
        *self.occurrences.entry(what).or_default() += 1;
    }

    fn on(&self, trouble: &'static str) -> Option<u64> {
        self.until.get(trouble).filter(|u| self.now < u.1).map(|u| u.0)
    }

    fn boot(&mut self, zone: &str, up_at: Timestamp) -> String {
        self.next_machine += 1;
        let name = format!("n-{:03}", self.next_machine);
        let machine = Machine {
            worker: Worker::new(&name, zone),
            renewed: up_at,
            report_at: up_at,
            up_at,
            mute: START,
            deaf: START,
            hung: START,
            held: Vec::new(),
            ran: BTreeMap::new(),
            gone: false,
            cached: None,
        };
        self.machines.insert(name.clone(), machine);
        name
    }

    fn some_machines(&mut self, percent: u64) -> Vec<String> {
        let names: Vec<String> = self.machines.keys().cloned().collect();
        let picked: Vec<String> = names.iter().filter(|_| self.chance(percent)).cloned().collect();
        if picked.is_empty() {
            names.into_iter().take(1).collect()
        } else {
            picked
        }
    }

    pub fn trouble(&mut self, trouble: ScriptedEvent) {
        let end = |sim: &Sim, ms: u64| sim.now + TimeDelta::from_millis(ms);
        let spell = |sim: &mut Sim, what: &'static str, share: u64, ms: u64| {
            sim.until.insert(what, (share, sim.now + TimeDelta::from_millis(ms)));
        };
        match trouble {
            ScriptedEvent::CrashLeader => {
                if self.leaders.pop().is_some() {
                    self.saw("leader ended");
                }
                self.elect_at = Some(end(self, 3_500));
            }
            ScriptedEvent::StopAllControllers(ms) => {
                self.leaders.clear();
                self.saw("all away");
                self.elect_at = Some(end(self, ms));
            }
            ScriptedEvent::RejectLeader(ms) => {
                let until = end(self, ms);
                if let Some(l) = self.leaders.last_mut() {
                    l.no_state = until;
                    self.elect_at = Some(end(self, 3_000));
                    self.saw("leader refused alone");
                }
            }
            ScriptedEvent::PartitionLeader(ms) => {
                let until = end(self, ms);
                if let Some(l) = self.leaders.last_mut() {
                    (l.no_state, l.no_peers) = (until, until);
                    self.elect_at = Some(end(self, 3_000));
                    self.saw("leader cut");
                }
            }
            ScriptedEvent::StoreOutage(ms) => spell(self, "outage", 0, ms),
            ScriptedEvent::LosePeerMessages(ms) => spell(self, "peers", 0, ms),
            ScriptedEvent::LoseCommitResponses(share, ms) => spell(self, "lost", share, ms),
            ScriptedEvent::DelayCommits(share, ms) => spell(self, "late", share, ms),
            ScriptedEvent::DelayCommands(share, ms) => spell(self, "hold", share, ms),
            ScriptedEvent::DuplicateHeartbeats(share, ms) => spell(self, "copies", share, ms),
            ScriptedEvent::ReplayToNextLeader(ms) => spell(self, "next", 0, ms),
            ScriptedEvent::CancelOnTaskExit(share, ms) => spell(self, "at end", share, ms),
            ScriptedEvent::SubmitSingleTaskJobs(ms) => spell(self, "ones", 0, ms),
            ScriptedEvent::FastBoots(ms) => self.boots = end(self, ms),
            ScriptedEvent::LoseHeartbeats(share, ms)
            | ScriptedEvent::LoseInboundMessages(share, ms)
            | ScriptedEvent::PartitionMachines(share, ms)
            | ScriptedEvent::PauseMachines(share, ms) => {
                let until = end(self, ms);
                for name in self.some_machines(share) {
                    self.touch(&name, trouble, until);
                }
            }
            ScriptedEvent::PartitionZone(zone, ms) => {
                let until = end(self, ms);
                let there = |m: &&Machine| m.worker.zone == zone;
                let names: Vec<String> =
                    self.machines.values().filter(there).map(|m| m.worker.name.clone()).collect();
                for name in names {
                    self.touch(&name, ScriptedEvent::PartitionMachines(0, 0), until);
                }
            }
            ScriptedEvent::KillMachines(n) => {
                for name in self.some_machines(40).into_iter().take(n as usize) {
                    let m = self.machines.get_mut(&name).expect("machine");
                    m.gone = true;
                    m.worker.alive = false;
                    self.saw("machines died");
                }
            }
            ScriptedEvent::Cancel(n) => {
                let live = self.live();
                let running: Vec<String> = self
                    .jobs
                    .iter()
                    .filter(|(name, j)| {
                        j.told.is_none()
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

    fn touch(&mut self, name: &str, trouble: ScriptedEvent, until: Timestamp) {
        let holds = self.machines.get(name).is_some_and(|m| !m.worker.live().is_empty());
        let Some(m) = self.machines.get_mut(name) else { return };
        let what = match trouble {
            ScriptedEvent::LoseHeartbeats(..) => {
                m.mute = until;
                "mute with tasks"
            }
            ScriptedEvent::LoseInboundMessages(..) => {
                m.deaf = until;
                "deaf with tasks"
            }
            ScriptedEvent::PauseMachines(..) => {
                m.hung = until;
                "hung with tasks"
            }
            _ => {
                (m.mute, m.deaf) = (until, until);
                "cut with tasks"
            }
        };
        if holds {
            self.saw(what);
        }
    }

    pub fn submit(&mut self, kind: Kind) {
        if self.on("outage").is_some() {
            return;
        }
        self.next_job += 1;
        let name = format!("req-{:06}", self.next_job);
        let mut runs = TimeDelta::from_secs(7);
        let plain = |n| JobSpec { deadline_s: Some(60.0), ..world::spec(n) };
        let spec = match kind {
            Kind::Plain(n) => plain(n),
            Kind::Capped(n) => JobSpec { team: "capped".into(), ..plain(n) },
            Kind::Bound(n) => JobSpec { zone: Some("a".into()), ..plain(n) },
            Kind::Together(n) => JobSpec { one_zone: true, ..plain(n) },
            Kind::Spread(n) => JobSpec { spread: true, ..plain(n) },
            Kind::Urgent(n) => JobSpec {
                priority: walnutlug_scheduler::model::job_spec::Priority::High,
                ..plain(n)
            },
            Kind::Flood(n) => {
                let priority = walnutlug_scheduler::model::job_spec::Priority::High;
                JobSpec { priority, class: "flood".into(), deadline_s: Some(20.0), ..plain(n) }
            }
            Kind::Long(n) => {
                runs = TimeDelta::from_secs(60);
                JobSpec { estimate_s: 60.0, deadline_s: Some(200.0), ..plain(n) }
            }
        };
        let value = description_record(&spec, world::WALL + (self.now.0 - START.0), CHUNK);
        self.store.put(&keys::job(&name), json!(1));
        self.store.put(&keys::todo(&name), value);
        self.jobs.insert(name, Job { spec, told: None, runs });
    }

    /// Another node writes the end, as the user asks; the user is told, and the others hear of it.
    fn cancel(&mut self, name: &str) {
        let key = keys::end(name);
        if self.on("outage").is_some() || self.store.keys.contains_key(&key) {
            return;
        }
        self.store.put(&key, json!("aborted"));
        self.jobs.get_mut(name).expect("job").told = Some(self.now);
        self.saw("cancelled");
        for (what, met) in [
            ("cancelled while the leader was cut", "leader cut"),
            ("cancelled while the leader was refused", "leader refused alone"),
        ] {
            let cut = self.leaders.iter().any(|l| l.no_state > self.now);
            if cut && self.occurrences.contains_key(met) {
                self.saw(what);
            }
        }
        if self.elect_at.is_some() {
            self.saw("cancelled while the lead changed hands");
        }
        let ill = |m: &&Machine| m.hung > self.now || m.deaf > self.now || m.mute > self.now;
        let prefix = format!("{name}/");
        let there = |m: &&Machine| m.worker.live().iter().any(|t| t.starts_with(&prefix));
        if self.machines.values().filter(ill).any(|m| there(&m)) {
            self.saw("cancelled on an ill machine");
        }
        let at = self.now + STEP;
        self.events.push((at, Event::Told { job: name.to_owned() }));
    }

    /// Live tasks with their attempts, and where.
    fn live(&self) -> BTreeMap<(String, Attempt), Vec<String>> {
        let mut live: BTreeMap<(String, Attempt), Vec<String>> = BTreeMap::new();
        for (name, m) in self.machines.iter().filter(|(_, m)| !m.gone) {
            for (key, state) in &m.worker.tasks {
                if state.0 != TaskState::Exited {
                    live.entry(key.clone()).or_default().push(name.clone());
                }
            }
        }
        live
    }

    fn elect(&mut self) {
        if self.elect_at.is_none_or(|at| self.now < at) || self.on("outage").is_some() {
            return;
        }
        self.elect_at = None;
        self.saw("elected");
        let term = self.store.put(keys::LEADER, json!(self.now.0));
        let tunables = Rc::new(Tunables::default());
        let mut s =
            Scheduler::new(self.site.clone(), tunables, term.into(), world::types(), self.now);
        let wall = world::WALL + (self.now.0 - START.0);
        for key_value in self.store.key_values(keys::TODO) {
            let name = key_value.key.strip_prefix(keys::TODO).expect("a description").to_owned();
            // Damaged descriptions are passed over, as by the program.
            let _ = s.add_job(self.now, &name, &key_value.value, wall);
        }
        let strange = s.load_chunks(self.now, &self.store.key_values(keys::RUN));
        assert!(strange.is_empty(), "{}: {strange:?}", self.what);
        // In one order, whatever that of the table: a transcript holds what comes of it.
        let mut names: Vec<String> = s.cluster.jobs_by_name.keys().cloned().collect();
        names.sort_unstable();
        for name in names.iter().filter(|n| self.store.keys.contains_key(&keys::end(n))) {
            s.mark_job_ended(self.now, name);
        }
        let (now, then) = (self.now, self.now);
        self.leaders.push(Leader {
            s,
            served: now,
            no_state: START,
            no_peers: START,
            known: then,
            hears_at: now,
        });
        // What was kept for it arrives first of all.
        for heartbeat in std::mem::take(&mut self.kept) {
            self.saw("old reports at a new leader");
            let answer =
                self.leaders.last_mut().expect("leader").s.handle_heartbeat(now, &heartbeat).ok();
            transcript::answer("late", &heartbeat.machine, answer.as_ref());
        }
    }

    fn step(&mut self) {
        self.now = self.now + STEP;
        if self.now.since(START).0.is_multiple_of(RECORDED_STEP.0) {
            transcript::next_step();
        }
        self.elect();
        if self.on("ones").is_some() && self.chance(66) {
            self.submit(Kind::Plain(1));
            if self.chance(25) {
                let name = format!("req-{:06}", self.next_job);
                let at = self.in_ms(0, 9_000);
                self.events.push((at, Event::Told { job: format!("!{name}") }));
            }
        }
        let (due, rest): (Vec<_>, Vec<_>) =
            std::mem::take(&mut self.events).into_iter().partition(|e| e.0 <= self.now);
        self.events = rest;
        for (_, event) in due {
            self.happen(event);
        }
        let names: Vec<String> = self.machines.keys().cloned().collect();
        for name in &names {
            self.work(name);
        }
        for i in 0..self.leaders.len() {
            self.lead(i);
        }
        let delay_ms = self.between(0, 300);
        let linked = self.on("peers").is_none();
        let leader = self.leaders.last_mut();
        let linked = linked && leader.as_ref().is_some_and(|l| self.now >= l.no_peers);
        self.follower.step(self.now, leader, linked, delay_ms);
        self.leaders.retain(|l| l.served != Timestamp(0));
        self.check();
    }

    /// Carries a transaction out. Nobody but the leader of the newest term writes records, and none of
    /// a job that has ended for its user but to drop it.
    fn apply(&mut self, transaction: &Transaction) -> TransactionOutcome {
        let outcome = self.store.apply(transaction);
        if matches!(outcome, TransactionOutcome::Committed { .. }) {
            let term = self.store.keys.get(keys::LEADER).map_or(Revision::NONE, |k| k.1);
            let guarded =
                transaction.compares.iter().any(|g| g.key == keys::LEADER && g.revision == term);
            assert!(guarded, "{}: written by a deposed leader: {transaction:?}", self.what);
            for change in &transaction.operations {
                let Operation::Put { put, .. } = change else { continue };
                let Some(RunKey { job, .. }) = RunKey::parse(put) else { continue };
                let ended = self.store.keys.contains_key(&keys::end(job));
                assert!(!ended, "{}: {put} written after its job's end", self.what);
            }
        }
        outcome
    }

    fn happen(&mut self, event: Event) {
        let now = self.now;
        let by_term = |sim: &mut Sim, term: Term, f: &mut dyn FnMut(&mut Scheduler)| {
            if let Some(l) = sim.leaders.iter_mut().find(|l| l.s.term == term) {
                f(&mut l.s);
            }
        };
        match event {
            Event::Answer { term, id, outcome } => {
                by_term(self, term, &mut |s| s.transaction_answered(now, id, outcome.clone()));
            }
            Event::Read { term, id, outcome } => {
                by_term(self, term, &mut |s| s.read_answered(now, id, outcome.clone()));
            }
            Event::Direct { term, machine, outcome } => {
                by_term(self, term, &mut |s| s.message_answered(now, machine, outcome.clone()));
            }
            Event::Late(transaction) => {
                if self.on("outage").is_none() {
                    let _ = self.apply(&transaction);
                    self.saw("carried out late");
                }
            }
            Event::Copy(heartbeat) => {
                if let Some(l) = self.leaders.last_mut() {
                    let answer = l.s.handle_heartbeat(now, &heartbeat).ok();
                    transcript::answer("late", &heartbeat.machine, answer.as_ref());
                    self.saw("copies of reports");
                }
            }
            Event::Told { job } => {
                if let Some(name) = job.strip_prefix('!') {
                    let name = name.to_owned();
                    return self.cancel(&name);
                }
                let lost = self.on("peers").is_some();
                for l in self.leaders.iter_mut().filter(|l| !lost && l.no_peers <= now) {
                    l.s.job_ended(now, &job, JobEnd::Cancelled);
                }
            }
        }
    }

    /// One machine's step: its lease, what was held up for it, its tasks, its heartbeat.
    fn work(&mut self, name: &str) {
        let now = self.now;
        let m = self.machines.get_mut(name).expect("machine");
        if m.gone || now < m.up_at {
            return;
        }
        if now.since(m.renewed) > self.site.worker_lease {
            m.worker.expire_lease();
            m.renewed = now;
            m.report_at = now;
        }
        if now < m.hung {
            return;
        }
        let (due, rest): (Vec<_>, Vec<_>) =
            std::mem::take(&mut m.held).into_iter().partition(|h| h.0 <= now);
        m.held = rest;
        let late = due.len();
        for (_, token, agent_epoch, calls) in due {
            m.worker.run_commands(token, agent_epoch, &calls);
        }
        let mut ended = Vec::new();
        for (key, state) in &mut m.worker.tasks {
            if state.0 == TaskState::Exited {
                continue;
            }
            let ran = m.ran.entry(key.clone()).or_default();
            *ran = *ran + STEP;
            let job = key.0.split('/').next().unwrap_or_default();
            if self.jobs.get(job).is_some_and(|j| *ran >= j.runs) {
                *state = (TaskState::Exited, Some(ExitReason::Done));
                m.report_at = now;
                ended.push(job.to_owned());
            }
        }
        for _ in 0..late {
            self.saw("commands held up");
        }
        for job in ended {
            if self.on("at end").is_some_and(|share| self.chance(share)) {
                self.saw("cancelled at the end");
                self.cancel(&job);
            }
        }
        let m = self.machines.get_mut(name).expect("machine");
        if now < m.report_at || now < m.mute {
            return;
        }
        let heartbeat = m.worker.heartbeat();
        m.report_at = now + self.site.heartbeat_interval;
        // To the newest leader, but to one that was cut off while it still answers.
        let cut = self.leaders.len().saturating_sub(2);
        let stays = self.leaders.len() > 1 && name.as_bytes()[4].is_multiple_of(2);
        let at = if stays { cut } else { self.leaders.len().saturating_sub(1) };
        let mut cached = m.cached.take();
        let linked = self.on("peers").is_none();
        let by_follower = (name.as_bytes()[4] / 2).is_multiple_of(2);
        let at_follower = by_follower.then(|| {
            let leader = self.leaders.last_mut();
            let linked = linked && leader.as_ref().is_some_and(|l| now >= l.no_peers);
            self.follower.answer(now, leader, linked, &mut cached, &heartbeat)
        });
        let answer = at_follower.flatten().or_else(|| {
            let leader = self.leaders.get_mut(at)?;
            answer(leader, now, &mut cached, &heartbeat)
        });
        if stays {
            self.saw("a report to the former leader");
        }
        let answer = match (answer, stays) {
            (None, true) => {
                // 421: it goes over.
                let l = self.leaders.last_mut().expect("leader");
                self::answer(l, now, &mut cached, &heartbeat)
            }
            (answer, _) => answer,
        };
        if self.on("copies").is_some_and(|share| self.chance(share)) {
            let at = self.in_ms(2_000, 2 * self.site.worker_lease.0 / 1_000);
            self.events.push((at, Event::Copy(heartbeat.clone())));
        }
        if self.on("next").is_some() {
            self.kept.push(heartbeat.clone());
        }
        let m = self.machines.get_mut(name).expect("machine");
        m.cached = cached;
        if let Some(HeartbeatAnswer { token, commands: calls }) = answer.filter(|_| now >= m.deaf) {
            if token >= m.worker.token && heartbeat.agent_epoch == m.worker.agent_epoch {
                m.renewed = now;
            }
            m.worker.receive_heartbeat_response(heartbeat.agent_epoch, token, &calls);
        }
    }

    /// One leader's step: what it hears, what it decides, what is done of it.
    fn lead(&mut self, i: usize) {
        let now = self.now;
        let outage = self.on("outage").is_some();
        let peers = self.on("peers").is_none();
        let l = &mut self.leaders[i];
        let served = !outage && now >= l.no_state;
        if served {
            l.served = now;
            if now >= l.hears_at {
                l.hears_at = now + TimeDelta::from_millis(300);
                l.known = now;
                let wall = world::WALL + (now.0 - START.0);
                for key_value in self.store.key_values(keys::TODO) {
                    let name = key_value.key.strip_prefix(keys::TODO).expect("a description");
                    let _ = l.s.add_job(now, name, &key_value.value, wall);
                }
                for name in l.s.cluster.open_jobs() {
                    if let Some((end, _)) = self.store.keys.get(&keys::end(&name)) {
                        let end = serde_json::from_value(end.clone()).expect("an end");
                        l.s.job_ended(now, &name, end);
                    }
                }
            }
        } else if peers && now >= l.no_peers {
            l.known = l.known.max(now - TimeDelta::from_secs(1));
        }
        l.s.authority.set_cancellations_known_until(l.known);
        l.s.authority.set_holds_lease(now.since(l.served) < TimeDelta::from_millis(2_400));
        l.s.tick(now);
        l.s.autoscale(now);
        let shared = l.s.fair_share.is_active();
        if shared {
            *self.occurrences.entry("an overload shared").or_default() += 1;
        }
        if now.0 % 3_000_000 < STEP.0 {
            let list: Vec<ListedMachine> = self
                .machines
                .values()
                .filter(|m| !m.gone)
                .map(|m| ListedMachine {
                    name: m.worker.name.clone(),
                    address: Some("10.0.0.1:1".into()),
                    kind: "t8".into(),
                    zone: m.worker.zone.clone(),
                    spot: false,
                    stage: if now >= m.up_at {
                        CloudMachineState::Running
                    } else {
                        CloudMachineState::Booting
                    },
                    age_s: now.since(m.up_at).as_secs_f64(),
                })
                .collect();
            l.s.machine_list(now, &list);
        }
        let term = l.s.term;
        let commands = l.s.take_commands();
        transcript::commands(term, &commands);
        for command in commands {
            self.execute_commands(i, term, served, command);
        }
    }

    fn execute_commands(&mut self, i: usize, term: Term, served: bool, command: Command) {
        match command {
            Command::Log(_) | Command::FindJobEnds { .. } => {}
            Command::VerifyLeadership | Command::StepDown(_) => {
                let cache_entry = self.store.keys.get(keys::LEADER).map_or(Revision::NONE, |k| k.1);
                let down = matches!(command, Command::StepDown(_));
                if served && (down || cache_entry != term.into()) {
                    self.leaders[i].served = Timestamp(0);
                    if cache_entry == term.into() {
                        self.elect_at.get_or_insert(self.now + TimeDelta::from_millis(500));
                    }
                }
            }
            Command::Commit { id, transaction } => {
                let answer = |at, outcome| (at, Event::Answer { term, id, outcome });
                let soon = self.in_ms(10, 150);
                if !served {
                    return self.events.push(answer(soon, TransactionOutcome::Rejected));
                }
                let never = self.now + TimeDelta::from_millis(900);
                if self.on("late").is_some_and(|share| self.chance(share)) {
                    let at = self.in_ms(2_000, 12_000);
                    self.events.push((at, Event::Late(transaction)));
                    return self.events.push(answer(never, TransactionOutcome::Indeterminate));
                }
                let outcome = self.apply(&transaction);
                if self.on("lost").is_some_and(|share| self.chance(share)) {
                    self.saw("carried out unheard");
                    return self.events.push(answer(never, TransactionOutcome::Indeterminate));
                }
                self.events.push(answer(soon, outcome));
            }
            Command::Read { id, key } => {
                let outcome = if served { self.store.read(&key) } else { ReadOutcome::Unavailable };
                let at = self.in_ms(10, 150);
                self.events.push((at, Event::Read { term, id, outcome }));
            }
            Command::SendToWorker { machine, token, agent_epoch, calls, .. } => {
                let name = self.leaders[i].s.cluster.machines[machine].name.clone();
                let answer = |at, outcome| (at, Event::Direct { term, machine, outcome });
                let late = self.now + TimeDelta::from_secs(2);
                let now = self.now;
                let held = self.on("hold").is_some_and(|share| self.chance(share));
                let held_until = self.in_ms(2_500, 9_000);
                let soon = self.in_ms(10, 150);
                let Some(m) = self.machines.get_mut(&name) else {
                    return self.events.push(answer(soon, MessageOutcome::NotSent));
                };
                if m.gone || now < m.up_at || now < m.deaf {
                    return self.events.push(answer(late, MessageOutcome::Indeterminate));
                }
                if now < m.hung || held {
                    let at = if held { held_until.max(m.hung) } else { m.hung };
                    m.held.push((at, token, agent_epoch, calls));
                    return self.events.push(answer(late, MessageOutcome::Indeterminate));
                }
                let heartbeat = m.worker.run_commands(token, agent_epoch, &calls);
                if !calls.is_empty() {
                    // A change of its tasks is reported, within half a second.
                    m.report_at = m.report_at.min(now + TimeDelta::from_millis(500));
                }
                let outcome = MessageOutcome::Answered(Box::new(heartbeat));
                self.events.push(answer(soon, outcome));
            }
            Command::ScaleOut { kind, zone, spot, count } => {
                let now = self.now;
                let most =
                    14usize.saturating_sub(self.machines.values().filter(|m| !m.gone).count());
                let mut names = Vec::new();
                for _ in 0..(count as usize).min(most) {
                    let ms = if now < self.boots { self.between(300, 1_900) } else { 12_000 };
                    if now < self.boots {
                        self.saw("up within two seconds");
                    }
                    names.push(self.boot(&zone, now + TimeDelta::from_millis(ms)));
                }
                self.leaders[i].s.scale_out_answered(now, &kind, &zone, spot, count, Ok(names));
            }
            Command::ScaleIn { machines } => {
                for name in &machines {
                    if let Some(m) = self.machines.get_mut(name) {
                        m.gone = true;
                        m.worker.alive = false;
                    }
                }
                let now = self.now;
                self.leaders[i].s.scale_in_answered(now, &machines, true);
            }
        }
    }

    /// The rules, as of this step.
    fn check(&mut self) {
        let live = self.live();
        let mut places: BTreeMap<&str, Vec<&str>> = BTreeMap::new();
        let mut capped = 0.0;
        let mut zones: BTreeMap<&str, BTreeMap<&str, u32>> = BTreeMap::new();
        for ((task, _), machines) in &live {
            let (job, _) = task.split_once('/').expect("a task");
            let spec = &self.jobs[job].spec;
            for m in machines {
                places.entry(task).or_default().push(m);
                let zone = self.machines[m].worker.zone.as_str();
                *zones.entry(job).or_default().entry(zone).or_default() += 1;
                if spec.team == "capped" {
                    capped += spec.cpus;
                }
            }
        }
        let at = self.now.since(START).as_secs_f64();
        let what = format!("{} at {at:.1} s", self.what);
        for (task, machines) in &places {
            assert_eq!(machines.len(), 1, "ran_twice, {what}: {task} on {machines:?}");
        }
        assert!(capped <= 4.0 + 1e-9, "quota, {what}: {capped}");
        for (job, zones) in &zones {
            let spec = &self.jobs[*job].spec;
            let most = zones.values().max().copied().unwrap_or(0);
            let half = spec.tasks.div_ceil(2);
            assert!(!spec.spread || most <= half, "wrong_place, {what}: {job} {zones:?}");
            assert!(!spec.one_zone || zones.len() == 1, "wrong_place, {what}: {job} {zones:?}");
            let bound = spec.zone.as_deref().is_none_or(|z| zones.keys().all(|k| *k == z));
            assert!(bound, "wrong_place, {what}: {job} {zones:?}");
            if let Some(told) = self.jobs[*job].told {
                let ago = self.now.since(told);
                assert!(ago <= self.site.cancel_within, "ran_cancelled, {what}: {job}, {zones:?}");
            }
        }
        if capped >= 4.0 {
            self.saw("team at its limit");
        }
    }

    /// Plays the script, then a time without troubles; then nothing may be left.
    pub fn play(&mut self, script: &[(u64, ScriptedEvent)], for_s: u64) {
        let mut script: Vec<(u64, ScriptedEvent)> = script.to_vec();
        script.sort_by_key(|s| s.0);
        let mut script = script.into_iter().peekable();
        while self.now.since(START) < TimeDelta::from_secs(for_s) {
            while script
                .peek()
                .is_some_and(|s| TimeDelta::from_millis(s.0) <= self.now.since(START))
            {
                let (_, trouble) = script.next().expect("a trouble");
                self.trouble(trouble);
            }
            self.step();
        }
        for _ in 0..3_600 {
            if self.left().is_empty() {
                return;
            }
            self.step();
        }
        panic!("{}: six minutes after all troubles are left: {:?}", self.what, self.left());
    }

    /// Jobs without an end, and records of those that have one.
    fn left(&self) -> BTreeSet<String> {
        let open = self.jobs.keys().filter(|n| !self.store.keys.contains_key(&keys::end(n)));
        let records = self.store.keys.keys().filter(|k| k.starts_with(keys::DESCRIPTIONS));
        let mut left: BTreeSet<String> = open.cloned().collect();
        left.extend(records.cloned());
        left
    }
}
