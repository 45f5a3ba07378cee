//! A scripted world for the scheduler: a state store, workers and messages that the test holds,
//! loses, repeats and delivers when it likes. No clock but the test's own.
#![allow(dead_code)]

use std::collections::{BTreeMap, BTreeSet};
use std::rc::Rc;

use serde_json::{json, Value};
use walnutlug_scheduler::command::{Command, MessageOutcome, ReadOutcome, TransactionOutcome};
use walnutlug_scheduler::leadership::fencing_token::FencingToken;
use walnutlug_scheduler::model::ids::{AgentEpoch, Attempt, MachineIndex};
use walnutlug_scheduler::model::job_spec::{JobEnd, JobSpec, Priority};
use walnutlug_scheduler::model::team::Team;
use walnutlug_scheduler::protocol::cloud::MachineType;
use walnutlug_scheduler::protocol::key_value::{KeyValue, Operation, Transaction};
use walnutlug_scheduler::protocol::workers::{
    ExitReason, Heartbeat, TaskState, TaskStatus, WorkerCommand,
};
use walnutlug_scheduler::queue::dependencies::JobEndLookup;
use walnutlug_scheduler::reconciliation::heartbeats::HeartbeatAnswer;
use walnutlug_scheduler::scheduler::Scheduler;
use walnutlug_scheduler::storage::keys;
use walnutlug_scheduler::storage::records::{chunk_size, description_record};
use walnutlug_scheduler::storage::revision::Revision;
use walnutlug_scheduler::storage::transactions::TransactionLimits;
use walnutlug_scheduler::time::{TimeDelta, Timestamp};
use walnutlug_scheduler::tunables::{Site, Tunables};

#[path = "../transcripts/golden.rs"]
pub mod golden;
pub mod transcript;

/// The test's clock at its start, and the time of day then.
const START: u64 = 1 << 40;
pub const WALL: u64 = 1_700_000_000_000_000;

#[derive(Debug, Default)]
pub struct Store {
    pub keys: BTreeMap<String, (Value, Revision)>,
    pub store_revision: Revision,
    /// The largest value and the most changes that it takes.
    pub limits: Option<(usize, usize)>,
}

impl Store {
    /// The answer to the reading of a key.
    pub fn read(&self, key: &str) -> ReadOutcome {
        match self.keys.get(key).cloned() {
            Some((value, revision)) => ReadOutcome::Found { value, revision },
            None => ReadOutcome::Missing,
        }
    }

    pub fn apply(&mut self, transaction: &Transaction) -> TransactionOutcome {
        let outcome = self.decide(transaction);
        transcript::applied(transaction, &outcome);
        outcome
    }

    fn decide(&mut self, transaction: &Transaction) -> TransactionOutcome {
        if let Some((value_bytes, ops)) = self.limits {
            let size = |c: &Operation| match c {
                Operation::Put { value, .. } => value.size(),
                Operation::Delete { .. } => 0,
            };
            let large = transaction.operations.iter().any(|c| size(c) > value_bytes);
            if large || transaction.operations.len() > ops || transaction.compares.len() > 4 * ops {
                return TransactionOutcome::TooLarge;
            }
        }
        let revision = |k: &str| self.keys.get(k).map_or(Revision::NONE, |v| v.1);
        let failed: Vec<String> = transaction
            .compares
            .iter()
            .filter(|g| revision(&g.key) != g.revision)
            .map(|g| g.key.clone())
            .collect();
        if !failed.is_empty() {
            return TransactionOutcome::Conflict { failed };
        }
        self.store_revision.0 += 1;
        for change in &transaction.operations {
            match change {
                Operation::Put { put, value, .. } => {
                    if put.starts_with(keys::END) {
                        assert!(!self.keys.contains_key(put), "an end is written once: {put}");
                    }
                    self.keys.insert(put.clone(), (value.to_value(), self.store_revision));
                }
                Operation::Delete { drop } => {
                    self.keys.remove(drop);
                }
            }
        }
        TransactionOutcome::Committed { revision: self.store_revision }
    }

    pub fn key_values(&self, prefix: &str) -> Vec<KeyValue> {
        let found = self.keys.iter().filter(|(k, _)| k.starts_with(prefix));
        found
            .map(|(k, (v, revision))| KeyValue {
                key: k.clone(),
                value: v.clone(),
                revision: *revision,
            })
            .collect()
    }

    /// How the jobs stand, for a leader that asks.
    pub fn ends(&self, names: &[String]) -> Vec<(String, JobEndLookup)> {
        let find = |name: &String| match self.keys.get(&keys::end(name)) {
            Some((end, _)) => {
                JobEndLookup::Ended(serde_json::from_value(end.clone()).expect("an end"))
            }
            None if self.keys.contains_key(&keys::job(name)) => JobEndLookup::Open,
            None => JobEndLookup::Missing,
        };
        names.iter().map(|n| (n.clone(), find(n))).collect()
    }

    pub fn put(&mut self, key: &str, value: Value) -> Revision {
        transcript::put(key, &value);
        self.store_revision.0 += 1;
        self.keys.insert(key.to_owned(), (value, self.store_revision));
        self.store_revision
    }
}

/// A worker as the protocol describes it.
#[derive(Debug, Clone)]
pub struct Worker {
    pub name: String,
    pub zone: String,
    pub agent_epoch: AgentEpoch,
    pub sequence: u64,
    pub token: FencingToken,
    pub tasks: BTreeMap<(String, Attempt), (TaskState, Option<ExitReason>)>,
    pub alive: bool,
    pub interruption_at: Option<f64>,
    pub spot: bool,
}

impl Worker {
    pub fn new(name: &str, zone: &str) -> Worker {
        Worker {
            name: name.to_owned(),
            zone: zone.to_owned(),
            agent_epoch: AgentEpoch(1),
            sequence: 0,
            token: FencingToken(0),
            tasks: BTreeMap::new(),
            alive: true,
            interruption_at: None,
            spot: false,
        }
    }

    pub fn heartbeat(&mut self) -> Heartbeat {
        self.sequence += 1;
        Heartbeat {
            machine: self.name.clone(),
            address: "10.0.0.1:1".into(),
            kind: "t8".into(),
            zone: self.zone.clone(),
            spot: self.spot,
            agent_epoch: self.agent_epoch,
            sequence: self.sequence,
            token: self.token,
            interruption_notice_s: self.interruption_at,
            tasks: self
                .tasks
                .iter()
                .map(|((task, attempt), (state, cause))| TaskStatus {
                    task: task.clone(),
                    attempt: *attempt,
                    state: *state,
                    cause: *cause,
                })
                .collect(),
        }
    }

    fn execute(&mut self, calls: &[WorkerCommand]) {
        for call in calls {
            match call {
                WorkerCommand::Run { task, attempt } => {
                    let here =
                        |(t, (s, _)): (&(String, Attempt), &(TaskState, Option<ExitReason>))| {
                            t.0 == *task && *s != TaskState::Exited
                        };
                    let key = (task.clone(), *attempt);
                    if self.tasks.contains_key(&key) {
                        continue;
                    }
                    let state = if self.tasks.iter().any(here) {
                        (TaskState::Exited, Some(ExitReason::InUse))
                    } else {
                        (TaskState::Running, None)
                    };
                    self.tasks.insert(key, state);
                }
                WorkerCommand::Kill { task, attempt, .. } => {
                    if let Some(t) = self.tasks.get_mut(&(task.clone(), *attempt)) {
                        if t.0 != TaskState::Exited {
                            *t = (TaskState::Exited, Some(ExitReason::Stopped));
                        }
                    }
                }
                WorkerCommand::Reap { task, attempt } => {
                    let key = (task.clone(), *attempt);
                    if self.tasks.get(&key).is_some_and(|t| t.0 == TaskState::Exited) {
                        self.tasks.remove(&key);
                    }
                }
            }
        }
    }

    /// `/commands`: the heartbeat after them, executed or not.
    pub fn run_commands(
        &mut self,
        token: FencingToken,
        agent_epoch: AgentEpoch,
        calls: &[WorkerCommand],
    ) -> Heartbeat {
        if token >= self.token && agent_epoch == self.agent_epoch {
            self.token = token;
            self.execute(calls);
        }
        self.heartbeat()
    }

    /// The answer to a heartbeat of the given agent epoch.
    pub fn receive_heartbeat_response(
        &mut self,
        agent_epoch: AgentEpoch,
        token: FencingToken,
        calls: &[WorkerCommand],
    ) {
        if token >= self.token && agent_epoch == self.agent_epoch {
            self.token = token;
            self.execute(calls);
        }
    }

    pub fn expire_lease(&mut self) {
        self.tasks.clear();
        self.agent_epoch.0 += 1;
    }

    pub fn live(&self) -> BTreeSet<String> {
        if !self.alive {
            return BTreeSet::new();
        }
        let live = self.tasks.iter().filter(|(_, s)| s.0 != TaskState::Exited);
        live.map(|(t, _)| t.0.clone()).collect()
    }
}

pub fn spec(tasks: u32) -> JobSpec {
    JobSpec {
        class: "c".into(),
        team: "one".into(),
        priority: Priority::Normal,
        tasks,
        cpus: 2.0,
        gpus: 0.0,
        memory_gb: 1.0,
        image: "i".into(),
        image_gb: 1.0,
        types: None,
        zone: None,
        one_zone: false,
        spread: false,
        spot: true,
        estimate_s: 10.0,
        checkpoint_s: 0.0,
        save_s: 0.0,
        deadline_s: Some(100.0),
        dependencies: Vec::new(),
    }
}

pub fn one_machine() -> World {
    World::new(&[("n-1", "a")])
}

pub fn site() -> Site {
    Site {
        teams: vec![
            Team { name: "one".into(), cpus: 0.0, cpus_max: 0.0, gpus: 0.0, gpus_max: 0.0 },
            Team { name: "capped".into(), cpus: 0.0, cpus_max: 4.0, gpus: 0.0, gpus_max: 0.0 },
        ],
        objectives: Vec::new(),
        heartbeat_interval: TimeDelta::from_secs(3),
        worker_lease: TimeDelta::from_secs(20),
        cancel_within: TimeDelta::from_secs(40),
        value_bytes: 4096,
        txn_ops: 12,
        list_lag: TimeDelta::from_secs(4),
        max_messages_in_flight: 300,
    }
}

pub fn types() -> Vec<MachineType> {
    vec![MachineType {
        name: "t8".into(),
        cpus: 8.0,
        gpus: 0.0,
        memory_gb: 64.0,
        cache_gb: 10.0,
        fetch_gb_per_s: 1.0,
        price: 1.0,
        spot_price: 0.3,
        boot_s: 20.0,
        zones: vec!["a".into(), "b".into()],
    }]
}

/// One leader with its messages, and the world around it.
pub struct World {
    pub now: Timestamp,
    pub store: Store,
    pub workers: BTreeMap<String, Worker>,
    pub leader: Scheduler,
    pub commands: Vec<Command>,
    /// Neither the key-value store nor another node tells the leader anything.
    pub cut_off: bool,
}

impl World {
    pub fn new(machines: &[(&str, &str)]) -> World {
        World::with_site(site(), machines)
    }

    pub fn with_site(site: Site, machines: &[(&str, &str)]) -> World {
        let mut store = Store::default();
        let term = store.put(keys::LEADER, json!("first"));
        let now = Timestamp(START);
        let workers = machines.iter().map(|(n, z)| ((*n).to_owned(), Worker::new(n, z))).collect();
        let leader =
            Scheduler::new(Rc::new(site), Rc::new(Tunables::default()), term.into(), types(), now);
        let mut world = World { now, store, workers, leader, commands: Vec::new(), cut_off: false };
        world.send_all_heartbeats();
        world.send_all_heartbeats();
        world
    }

    pub fn submit(&mut self, name: &str, spec: &JobSpec) {
        self.submit_in_chunks(name, spec, chunk_size(site().value_bytes));
    }

    /// As a version accepted it that made chunks of that size.
    pub fn submit_in_chunks(&mut self, name: &str, spec: &JobSpec, chunk: u32) {
        let value = self.store_job(name, spec, chunk);
        let wall = self.wall_us();
        self.leader.add_job(self.now, name, &value, wall).expect("a readable description");
    }

    /// Accepted, with nobody told.
    pub fn store_job(&mut self, name: &str, spec: &JobSpec, chunk: u32) -> Value {
        let value = description_record(spec, self.wall_us(), chunk);
        self.store.put(&keys::job(name), json!(1));
        self.store.put(&keys::description(name, !spec.dependencies.is_empty()), value.clone());
        value
    }

    fn wall_us(&self) -> u64 {
        WALL + (self.now.0 - START)
    }

    /// Time passes in which the leader hears of every cancellation, unless it is `cut_off`.
    pub fn wait(&mut self, ms: u64) {
        self.now = self.now + TimeDelta::from_millis(ms);
        if !self.cut_off {
            self.leader.authority.set_cancellations_known_until(self.now);
        }
    }

    /// Lets the leader decide; what it wants done waits in `commands`.
    pub fn tick(&mut self) {
        transcript::next_step();
        self.wait(50);
        self.leader.tick(self.now);
        self.take_commands();
    }

    /// Lets the leader look at what to rent and to give back.
    pub fn autoscale(&mut self) {
        self.leader.autoscale(self.now);
        self.take_commands();
    }

    fn take_commands(&mut self) {
        let commands = self.leader.take_commands();
        transcript::commands(self.leader.term, &commands);
        self.commands.extend(commands);
    }

    pub fn take_commit(&mut self) -> (u64, Transaction) {
        let at = self.commands.iter().position(|c| matches!(c, Command::Commit { .. }));
        match self.commands.remove(at.expect("a transaction")) {
            Command::Commit { id, transaction } => (id, transaction),
            _ => unreachable!(),
        }
    }

    pub fn take_worker_message(
        &mut self,
    ) -> (MachineIndex, FencingToken, AgentEpoch, Vec<WorkerCommand>) {
        let with_calls =
            |c: &Command| matches!(c, Command::SendToWorker { calls, .. } if !calls.is_empty());
        let at = self.commands.iter().position(with_calls);
        match self.commands.remove(at.expect("a direct command")) {
            Command::SendToWorker { machine, token, agent_epoch, calls, .. } => {
                (machine, token, agent_epoch, calls)
            }
            _ => unreachable!(),
        }
    }

    /// Lets the leader place what waits, commits its write and lets it send.
    pub fn place_and_commit(&mut self) {
        self.tick();
        let (id, transaction) = self.take_commit();
        let outcome = self.store.apply(&transaction);
        self.leader.transaction_answered(self.now, id, outcome);
        self.tick();
    }

    /// A job of one task whose start is on its way: the machine's name and the message.
    pub fn submit_with_start_in_flight(
        &mut self,
        job: &str,
    ) -> (String, (MachineIndex, FencingToken, AgentEpoch, Vec<WorkerCommand>)) {
        self.submit(job, &spec(1));
        self.place_and_commit();
        let message = self.take_worker_message();
        (self.leader.cluster.machines[message.0].name.clone(), message)
    }

    /// The job has ended for its user: the end is stored, and told to the leader.
    pub fn cancel_job(&mut self, job: &str) {
        self.store.put(&keys::end(job), json!("aborted"));
        self.leader.job_ended(self.now, job, JobEnd::Cancelled);
    }

    /// The same, if nothing has ended it yet.
    pub fn cancel_job_if_open(&mut self, job: &str) {
        let accepted = self.store.keys.contains_key(&keys::job(job));
        if accepted && self.end(job).is_none() {
            self.cancel_job(job);
        }
    }

    /// Lets everything that runs complete, round by round, until all is done that can be.
    pub fn run_to_completion(&mut self) {
        for _ in 0..40 {
            self.settle();
            let places = self.places();
            for (task, machines) in places {
                assert_eq!(machines.len(), 1, "{task} is on {machines:?}");
                self.finish(&machines[0], &task);
            }
            self.send_all_heartbeats();
            self.wait(700);
        }
    }

    /// Carries out every command there is, faultlessly, until nothing is left to do.
    pub fn settle(&mut self) {
        for _ in 0..20 {
            self.tick();
            self.execute_commands();
        }
    }

    /// Carries out, faultlessly, what the leader wants done now.
    pub fn execute_commands(&mut self) {
        for command in std::mem::take(&mut self.commands) {
            match command {
                Command::Commit { id, transaction } => {
                    let outcome = self.store.apply(&transaction);
                    self.leader.transaction_answered(self.now, id, outcome);
                }
                Command::SendToWorker { machine, token, agent_epoch, calls, .. } => {
                    self.deliver(machine, token, agent_epoch, &calls);
                }
                Command::FindJobEnds { names } => {
                    let found = self.store.ends(&names);
                    self.leader.job_ends_found(self.now, &found);
                }
                Command::Read { id, key } => {
                    let outcome = self.store.read(&key);
                    self.leader.read_answered(self.now, id, outcome);
                }
                _ => {}
            }
        }
    }

    pub fn deliver(
        &mut self,
        machine: MachineIndex,
        token: FencingToken,
        agent_epoch: AgentEpoch,
        calls: &[WorkerCommand],
    ) {
        let name = self.leader.cluster.machines[machine].name.clone();
        let outcome = match self.workers.get_mut(&name) {
            Some(worker) if worker.alive => {
                MessageOutcome::Answered(Box::new(worker.run_commands(token, agent_epoch, calls)))
            }
            Some(_) => MessageOutcome::Indeterminate,
            None => MessageOutcome::NotSent,
        };
        self.leader.message_answered(self.now, machine, outcome);
    }

    pub fn heartbeat(&mut self, name: &str) {
        let worker = self.workers.get_mut(name).expect("worker");
        let heartbeat = worker.heartbeat();
        let answer = self.leader.handle_heartbeat(self.now, &heartbeat).ok();
        transcript::answer("whole", name, answer.as_ref());
        if let Some(HeartbeatAnswer { token, commands: calls }) = answer {
            worker.receive_heartbeat_response(heartbeat.agent_epoch, token, &calls);
        }
    }

    pub fn send_all_heartbeats(&mut self) {
        let names: Vec<String> = self.workers.keys().cloned().collect();
        for name in names {
            if self.workers[&name].alive {
                self.heartbeat(&name);
            }
        }
    }

    /// A new leader, with what the store holds and nothing else.
    pub fn take_over(&mut self) -> Scheduler {
        self.take_over_as(false)
    }

    /// The same, as the version without chains does it: it reads neither the jobs that wait nor their
    /// chunks.
    pub fn take_over_as(&mut self, former: bool) -> Scheduler {
        let term = self.store.put(keys::LEADER, json!("next"));
        let (site, tunables) = (self.leader.site.clone(), self.leader.tunables.clone());
        let mut s = Scheduler::new(site, tunables, term.into(), types(), self.now);
        for (key, (value, _)) in &self.store.keys {
            if let Some(name) = keys::described_job(key) {
                if !former || key.starts_with(keys::TODO) {
                    // Damaged descriptions are passed over, as by the program.
                    let _ = s.add_job(self.now, name, value, self.wall_us());
                }
            }
        }
        let strange = s.load_chunks(self.now, &self.store.key_values(keys::RUN));
        assert!(former || strange.is_empty(), "{strange:?}");
        if let Some((value_bytes, ops)) = self.store.limits {
            s.set_limits(TransactionLimits { value_bytes, operations: ops });
        }
        // In one order, whatever that of the table: a transcript holds what comes of it.
        let mut names: Vec<String> = s.cluster.jobs_by_name.keys().cloned().collect();
        names.sort_unstable();
        for name in names {
            if self.store.keys.contains_key(&keys::end(&name)) {
                s.mark_job_ended(self.now, &name);
            }
        }
        self.commands.clear();
        std::mem::replace(&mut self.leader, s)
    }

    pub fn finish(&mut self, machine: &str, task: &str) {
        let worker = self.workers.get_mut(machine).expect("worker");
        for (key, state) in &mut worker.tasks {
            if key.0 == task && state.0 != TaskState::Exited {
                *state = (TaskState::Exited, Some(ExitReason::Done));
            }
        }
    }

    /// Where each live task is.
    pub fn places(&self) -> BTreeMap<String, Vec<String>> {
        let mut places: BTreeMap<String, Vec<String>> = BTreeMap::new();
        for (name, worker) in &self.workers {
            for task in worker.live() {
                places.entry(task).or_default().push(name.clone());
            }
        }
        places
    }

    /// Where the task is live.
    pub fn places_of(&self, task: &str) -> Vec<&str> {
        let here = |w: &&Worker| {
            w.alive && w.tasks.iter().any(|(t, s)| t.0 == task && s.0 != TaskState::Exited)
        };
        self.workers.values().filter(here).map(|w| w.name.as_str()).collect()
    }

    pub fn end(&self, name: &str) -> Option<&Value> {
        self.store.keys.get(&keys::end(name)).map(|v| &v.0)
    }

    pub fn phase(&self, name: &str, index: usize) -> walnutlug_scheduler::model::task::TaskPhase {
        let ix = self.leader.cluster.jobs_by_name[name];
        self.leader.cluster.job(ix).expect("job").tasks[index].phase
    }

    pub fn attempt(&self, name: &str, index: usize) -> Attempt {
        let ix = self.leader.cluster.jobs_by_name[name];
        self.leader.cluster.job(ix).expect("job").tasks[index].attempt
    }

    pub fn token_now(&self) -> FencingToken {
        FencingToken::first_of(self.leader.term)
    }
}
