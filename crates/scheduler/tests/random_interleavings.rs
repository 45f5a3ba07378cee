//! Property tests that interleave random ticks, message deliveries, losses and failures.
//!
//! In every order a task must be live on at most one machine, a job's stored end must never change,
//! and after every commit a successor must know where each task is that was sent and has not ended,
//! whatever limits of the store its leaders know. The seed is fixed, so each run tests the same
//! cases; `INTERLEAVING_SEED` and `INTERLEAVING_CASES` replace the seed and the number of cases for a
//! longer run by hand.

mod world;

use std::collections::{BTreeMap, BTreeSet};

use proptest::prelude::*;
use proptest::test_runner::{Config, RngSeed};
use serde_json::json;
use walnutlug_scheduler::command::{Command, MessageOutcome, ReadOutcome, TransactionOutcome};
use walnutlug_scheduler::leadership::fencing_token::{FencingToken, Term};
use walnutlug_scheduler::model::ids::AgentEpoch;
use walnutlug_scheduler::model::job_spec::JobSpec;
use walnutlug_scheduler::protocol::key_value::Transaction;
use walnutlug_scheduler::protocol::workers::{Heartbeat, WorkerCommand};
use walnutlug_scheduler::reconciliation::heartbeats::HeartbeatAnswer;
use walnutlug_scheduler::scheduler::Scheduler;
use walnutlug_scheduler::storage::transactions::TransactionLimits;
use world::known_tasks::{self, SentTask};
use world::recorded_starts::assert_starts_are_recorded;
use world::{spec, World};

/// A message in flight, which the test delivers, repeats or loses.
enum Message {
    /// A transaction of the leader of that term. The id is `None` for a duplicate, whose response
    /// nobody awaits.
    Commit(Term, Option<u64>, Transaction),
    /// The read of a key, with the id of the request.
    Read(Term, u64, String),
    /// A leader's request for the ends of these jobs.
    JobEnds(Term, Vec<String>),
    WorkerCommands(WorkerMessage),
    Heartbeat(Heartbeat),
}

/// Commands to the worker with that name, from the leader of that term.
struct WorkerMessage {
    term: Term,
    /// Whether the leader still waits for the response.
    awaits_response: bool,
    name: String,
    token: FencingToken,
    agent_epoch: AgentEpoch,
    calls: Vec<WorkerCommand>,
}

impl WorkerMessage {
    /// Returns a copy whose response nobody awaits.
    fn duplicate(&self) -> WorkerMessage {
        let WorkerMessage { term, token, agent_epoch, .. } = *self;
        let (name, calls) = (self.name.clone(), self.calls.clone());
        WorkerMessage { term, awaits_response: false, name, token, agent_epoch, calls }
    }
}

/// Limits of the key-value store, from high to low: largest value in bytes and most operations per
/// transaction. With all tasks placed, a chunk written by the previous version exceeds the second
/// and the following ones, which hold parts of five, four, three, two and one tasks.
const LIMITS: [(usize, usize); 6] = [(4_096, 12), (536, 3), (448, 2), (360, 2), (272, 1), (100, 1)];

/// Returns the name of a machine, so long that task records of a few machines exceed the limits.
fn machine_name(number: usize) -> String {
    format!("machine-{number:032}")
}

/// The cluster under test and everything that can still happen to it.
struct RandomRun {
    w: World,
    /// Leaders that were replaced and may not know it.
    old_leaders: Vec<Scheduler>,
    /// Messages in flight.
    pending: Vec<Message>,
    /// Tasks that a worker ran to completion.
    completed: BTreeSet<String>,
    /// Machines whose heartbeats arrive, but which receive neither responses nor commands.
    unreachable: BTreeSet<String>,
    /// How many of [`JOBS`] are accepted so far.
    accepted: usize,
    /// Whether the upgrade still goes on, so that a node of the previous version may become leader.
    upgrading: bool,
    /// Terms of leaders that run the previous version.
    previous_version_terms: BTreeSet<Term>,
    /// Which of [`LIMITS`] the store enforces.
    store_limits: usize,
    /// Which of [`LIMITS`] the leader of each term knows. Those may be higher or lower than the
    /// enforced ones.
    known_limits: BTreeMap<Term, usize>,
    /// Every start that a leader sent while it led.
    sent_tasks: BTreeSet<SentTask>,
    /// Those that have exited on their machine. A worker that forgot such an attempt can be sent a
    /// copy of its start, but it has ended.
    ended_tasks: BTreeSet<SentTask>,
}

/// The jobs and the jobs that each depends on. The first two are accepted before the upgrade, with
/// chunks of the previous version's size. The others are accepted after the upgrade has begun, each
/// after its dependencies.
const JOBS: [(&str, &[&str]); 6] = [
    ("req-000001", &[]),
    ("req-000002", &[]),
    ("req-000003", &["req-000001"]),
    ("req-000004", &["req-000001", "req-000002"]),
    ("req-000005", &["req-000003"]),
    ("req-000006", &["req-000005", "req-000004", "req-000003"]),
];
/// Tasks per chunk in the previous version.
const PREVIOUS_VERSION_CHUNK: u32 = 168;
/// Tasks of each job that is accepted before the upgrade.
const FORMER_JOB_TASKS: u32 = 12;
/// Tasks of each job that is accepted after the upgrade has begun.
const JOB_TASKS: u32 = 3;

/// Returns the number of tasks of the job with that position in [`JOBS`].
fn tasks_of(job: usize) -> u32 {
    if job < 2 {
        FORMER_JOB_TASKS
    } else {
        JOB_TASKS
    }
}

impl RandomRun {
    fn new() -> RandomRun {
        let machines = [1, 2, 3].map(machine_name);
        let zones = ["a", "b", "a"];
        let machines: Vec<(&str, &str)> = machines.iter().map(String::as_str).zip(zones).collect();
        let mut w = World::new(&machines);
        for (job, _) in &JOBS[..2] {
            w.submit_in_chunks(job, &spec(FORMER_JOB_TASKS), PREVIOUS_VERSION_CHUNK);
        }
        RandomRun {
            accepted: 2,
            upgrading: true,
            previous_version_terms: Default::default(),
            w,
            old_leaders: Vec::new(),
            pending: Vec::new(),
            completed: Default::default(),
            unreachable: Default::default(),
            store_limits: 0,
            known_limits: Default::default(),
            sent_tasks: Default::default(),
            ended_tasks: Default::default(),
        }
    }

    fn scheduler(&mut self, term: Term) -> Option<&mut Scheduler> {
        if self.w.leader.term == term {
            return Some(&mut self.w.leader);
        }
        self.old_leaders.iter_mut().find(|s| s.term == term)
    }

    /// Lets the leader of the term know the limits with that position in [`LIMITS`].
    fn set_known_limits(&mut self, term: Term, limits: usize) {
        let limits = limits.min(LIMITS.len() - 1);
        self.known_limits.insert(term, limits);
        let (value_bytes, operations) = LIMITS[limits];
        if let Some(s) = self.scheduler(term) {
            s.set_limits(TransactionLimits { value_bytes, operations });
        }
    }

    /// Lowers the limits that the leader of the term knows, because the store refused a
    /// transaction for its size.
    fn learn_of_refusal(&mut self, term: Term) {
        let known = self.known_limits.get(&term).copied().unwrap_or(0);
        self.set_known_limits(term, known + 1);
    }

    /// Executes a transaction and checks what a successor would know then. The store judged the size
    /// of a late copy when it received it, perhaps by higher limits.
    fn apply(&mut self, term: Term, transaction: &Transaction, late: bool) -> TransactionOutcome {
        let before = self.w.store.store_revision;
        let limits = self.w.store.limits.take_if(|_| late);
        let outcome = self.w.store.apply(transaction);
        self.w.store.limits = limits.or(self.w.store.limits);
        match &outcome {
            TransactionOutcome::Committed { .. } => {
                self.w.assert_successor_knows(self.tasks_not_ended(), before);
            }
            TransactionOutcome::TooLarge => self.learn_of_refusal(term),
            _ => {}
        }
        outcome
    }

    /// Returns the sent tasks that have not ended and are live, or can still be started by a message
    /// in flight.
    fn tasks_not_ended(&self) -> BTreeSet<SentTask> {
        let mut tasks = known_tasks::live_tasks(&self.w.workers);
        for message in &self.pending {
            if let Message::WorkerCommands(WorkerMessage {
                name, token, agent_epoch, calls, ..
            }) = message
            {
                let worker = &self.w.workers[name];
                tasks.extend(known_tasks::startable_tasks(worker, *token, *agent_epoch, calls));
            }
        }
        tasks.retain(|task| self.sent_tasks.contains(task) && !self.ended_tasks.contains(task));
        tasks
    }

    /// Puts a leader's commands in flight.
    fn enqueue(&mut self, term: Term, commands: Vec<Command>) {
        for command in commands {
            match command {
                Command::Commit { id, transaction } => {
                    self.pending.push(Message::Commit(term, Some(id), transaction))
                }
                Command::Read { id, key } => self.pending.push(Message::Read(term, id, key)),
                Command::FindJobEnds { names } => self.pending.push(Message::JobEnds(term, names)),
                Command::SendToWorker { machine, token, agent_epoch, calls, .. } => {
                    let name = self
                        .scheduler(term)
                        .map(|s| s.cluster.machines[machine].name.clone())
                        .expect("the sending leader exists");
                    let message = WorkerMessage {
                        term,
                        awaits_response: true,
                        name,
                        token,
                        agent_epoch,
                        calls,
                    };
                    self.pending.push(Message::WorkerCommands(message));
                }
                _ => {}
            }
        }
    }

    /// Lets the current leader or an old one make its decisions.
    fn tick(&mut self, which: usize) {
        let now = self.w.now;
        // An old leader that doesn't know of its successor keeps making decisions.
        let s = match which % 4 {
            0 if !self.old_leaders.is_empty() => {
                let n = self.old_leaders.len();
                &mut self.old_leaders[which / 4 % n]
            }
            _ => &mut self.w.leader,
        };
        s.tick(now);
        let (term, commands) = (s.term, s.take_commands());
        assert_starts_are_recorded(&self.w.store, s, &commands);
        self.sent_tasks.extend(known_tasks::sent_tasks(s, &commands));
        let steps_down = commands.iter().any(|c| matches!(c, Command::StepDown(_)));
        self.enqueue(term, commands);
        if steps_down {
            self.end_term(term);
        }
    }

    /// Ends the term of a leader that steps down; another one takes over if it was the current one.
    fn end_term(&mut self, term: Term) {
        if self.w.leader.term == term {
            self.w.take_over();
            self.set_known_limits(self.w.leader.term, self.store_limits);
        }
        self.old_leaders.retain(|leader| leader.term != term);
    }

    /// Takes a message in flight and executes, loses, repeats or rejects it, as `fate` says.
    fn deliver(&mut self, pick: usize, fate: usize) {
        if self.pending.is_empty() {
            return;
        }
        let at = pick % self.pending.len();
        match self.pending.swap_remove(at) {
            Message::Commit(term, id, transaction) => {
                self.deliver_commit(term, id, transaction, fate);
            }
            Message::JobEnds(term, names) => {
                // Only the first `fate` of the ends are found, perhaps none.
                let mut found = self.w.store.ends(&names);
                found.truncate(fate);
                let now = self.w.now;
                if let Some(s) = self.scheduler(term) {
                    s.job_ends_found(now, &found);
                }
            }
            Message::Read(term, id, key) => {
                let outcome = match fate.is_multiple_of(4) {
                    true => ReadOutcome::Unavailable,
                    false => self.w.store.read(&key),
                };
                let now = self.w.now;
                if let Some(s) = self.scheduler(term) {
                    s.read_answered(now, id, outcome);
                }
            }
            Message::WorkerCommands(message) if self.unreachable.contains(&message.name) => {
                // The message stays in flight and may arrive once the machine is reachable again.
                self.pending.push(Message::WorkerCommands(message.duplicate()));
                self.answer_worker_message(&message, MessageOutcome::Indeterminate);
            }
            Message::WorkerCommands(message) => self.deliver_worker_commands(message, fate),
            Message::Heartbeat(heartbeat) => self.deliver_heartbeat(heartbeat, fate),
        }
    }

    fn deliver_commit(
        &mut self,
        term: Term,
        id: Option<u64>,
        transaction: Transaction,
        fate: usize,
    ) {
        let late = id.is_none();
        let (outcome, copy) = match fate % 6 {
            0 => (TransactionOutcome::Indeterminate, true),
            1 => {
                self.apply(term, &transaction, late);
                (TransactionOutcome::Indeterminate, false)
            }
            2 => (TransactionOutcome::Rejected, false),
            _ => (self.apply(term, &transaction, late), false),
        };
        if copy {
            self.pending.push(Message::Commit(term, None, transaction));
        }
        let now = self.w.now;
        if let (Some(id), Some(s)) = (id, self.scheduler(term)) {
            s.transaction_answered(now, id, outcome);
        }
    }

    fn deliver_worker_commands(&mut self, message: WorkerMessage, fate: usize) {
        let WorkerMessage { token, agent_epoch, calls, .. } = &message;
        let worker = self.w.workers.get_mut(&message.name).expect("a worker of that name");
        let (outcome, copy) = match fate % 6 {
            0 => (MessageOutcome::Indeterminate, true),
            2 => (MessageOutcome::NotSent, false),
            1 if worker.alive => {
                worker.run_commands(*token, *agent_epoch, calls);
                (MessageOutcome::Indeterminate, fate % 12 == 1)
            }
            _ if worker.alive => {
                let heartbeat = worker.run_commands(*token, *agent_epoch, calls);
                // A duplicate of an executed request may follow.
                (MessageOutcome::Answered(Box::new(heartbeat)), fate % 12 == 3)
            }
            _ => (MessageOutcome::Indeterminate, false),
        };
        if copy {
            self.pending.push(Message::WorkerCommands(message.duplicate()));
        }
        self.answer_worker_message(&message, outcome);
    }

    /// Gives the outcome to the leader that sent the message, if it still waits for it.
    fn answer_worker_message(&mut self, message: &WorkerMessage, outcome: MessageOutcome) {
        let now = self.w.now;
        if !message.awaits_response {
            return;
        }
        if let Some(s) = self.scheduler(message.term) {
            let machine = s.cluster.machines_by_name[&message.name];
            s.message_answered(now, machine, outcome);
        }
    }

    fn deliver_heartbeat(&mut self, heartbeat: Heartbeat, fate: usize) {
        if fate % 12 == 7 {
            // A duplicate arrives later, perhaps at the next leader.
            self.pending.push(Message::Heartbeat(heartbeat.clone()));
        }
        // It reaches the current leader or an old one, and the response may get lost.
        let n = self.old_leaders.len();
        let s = match fate % 5 {
            0 if n > 0 => &mut self.old_leaders[fate / 5 % n],
            _ => &mut self.w.leader,
        };
        let answer = s.handle_heartbeat(self.w.now, &heartbeat);
        let unreachable = self.unreachable.contains(&heartbeat.machine);
        if let (Ok(HeartbeatAnswer { token, commands: calls }), true) =
            (answer, !fate.is_multiple_of(3) && !unreachable)
        {
            let worker = self.w.workers.get_mut(&heartbeat.machine).expect("a worker of that name");
            if worker.alive {
                worker.receive_heartbeat_response(heartbeat.agent_epoch, token, &calls);
            }
        }
    }

    /// Performs one random action; its low 5 bits choose the kind, the others the target.
    fn step(&mut self, action: u16) {
        let (kind, pick) = (usize::from(action % 32), usize::from(action / 32));
        let names: Vec<String> = self.w.workers.keys().cloned().collect();
        let name = &names[pick % names.len()];
        match kind {
            0..=6 => self.tick(pick),
            7..=16 => self.deliver(pick / 12, pick % 12),
            17..=21 => {
                let worker = self.w.workers.get_mut(name).expect("a worker of that name");
                if worker.alive {
                    let heartbeat = worker.heartbeat();
                    self.pending.push(Message::Heartbeat(heartbeat));
                }
            }
            22..=24 => {
                let worker = &self.w.workers[name];
                let live: Vec<String> = worker.live().into_iter().collect();
                if !live.is_empty() {
                    let task = live[pick / 8 % live.len()].clone();
                    self.w.finish(name, &task);
                    self.completed.insert(task);
                }
            }
            25 => self.w.workers.get_mut(name).expect("a worker of that name").expire_lease(),
            26 if pick.is_multiple_of(4) => {
                // The machine dies, is returned to the cloud and replaced. The cloud's response to
                // the return proves that none of its tasks runs any more.
                let worker = self.w.workers.get_mut(name).expect("a worker of that name");
                worker.alive = false;
                worker.tasks.clear();
                let now = self.w.now;
                self.w.leader.machine_gone(now, name);
                let fresh = machine_name(names.len() + 1);
                self.w.workers.insert(fresh.clone(), world::Worker::new(&fresh, "a"));
            }
            27 if pick.is_multiple_of(3) => {
                let previous_version = self.upgrading && pick.is_multiple_of(2);
                let old_leader = self.w.take_over_as(previous_version);
                self.old_leaders.push(old_leader);
                let term = self.w.leader.term;
                if previous_version {
                    self.previous_version_terms.insert(term);
                }
                // A process that starts knows the configured limits, or those of another page.
                self.set_known_limits(term, pick / 3 % LIMITS.len());
            }
            28 if pick % 4 == 1 => {
                // The leader learns of limits from a peer, or forgets them at a restart.
                self.set_known_limits(self.w.leader.term, pick / 4 % LIMITS.len());
            }
            28 if pick.is_multiple_of(16) => {
                let job = JOBS[pick / 16 % self.accepted].0;
                if self.w.end(job).is_none() {
                    self.w.cancel_job(job);
                }
            }
            31 if pick.is_multiple_of(8) && self.accepted < JOBS.len() => {
                let (job, dependencies) = JOBS[self.accepted];
                self.accepted += 1;
                let dependencies = dependencies.iter().map(|n| (*n).to_owned()).collect();
                let spec = JobSpec { dependencies, ..spec(JOB_TASKS) };
                // A leader of the previous version isn't notified of jobs with dependencies.
                if self.previous_version_terms.contains(&self.w.leader.term) {
                    self.w.store_job(job, &spec, 2);
                } else {
                    self.w.submit_in_chunks(job, &spec, 2);
                }
            }
            31 if pick.is_multiple_of(5) => {
                // The first time, the upgrade ends. Later the store's limits are lowered, also more
                // than once.
                let previous_version = self.previous_version_terms.contains(&self.w.leader.term);
                if !self.upgrading && !previous_version {
                    let lowered = self.store_limits + 1 + pick / 5 % 2;
                    self.store_limits = lowered.min(LIMITS.len() - 1);
                    self.w.store.limits = Some(LIMITS[self.store_limits]);
                }
                self.upgrading = false;
            }
            29 if pick.is_multiple_of(3) => {
                if !self.unreachable.remove(name) {
                    self.unreachable.insert(name.clone());
                }
            }
            30 if pick.is_multiple_of(4) => {
                // The worker restarts immediately without its tasks, in half of the cases also with
                // a new agent epoch and without its fencing token.
                let worker = self.w.workers.get_mut(name).expect("a worker of that name");
                worker.tasks.clear();
                if pick.is_multiple_of(8) {
                    worker.agent_epoch.0 += 1;
                    worker.sequence = 0;
                    worker.token = FencingToken(0);
                }
            }
            _ => self.w.wait(700),
        }
        self.ended_tasks.extend(known_tasks::exited_tasks(&self.w.workers));
        self.w.wait(30);
    }

    /// Checks that no task is live twice, that a job that is done ran all its tasks, and that no
    /// job runs before its dependencies are done.
    fn check(&self) {
        for (task, machines) in self.w.places() {
            assert!(machines.len() <= 1, "{task} is on {machines:?}");
        }
        for (number, (job, dependencies)) in JOBS.into_iter().enumerate() {
            if self.w.end(job) == Some(&json!("done")) {
                for i in 0..tasks_of(number) {
                    assert!(
                        self.completed.contains(&format!("{job}/{i}")),
                        "{job} is done, but its task {i} never completed"
                    );
                }
            }
            let live = |i: &u32| !self.w.places_of(&format!("{job}/{i}")).is_empty();
            if (0..tasks_of(number)).any(|i| live(&i)) {
                for dependency in dependencies {
                    let end = self.w.end(dependency);
                    assert_eq!(
                        end,
                        Some(&json!("done")),
                        "{job} runs before its dependency {dependency} is done"
                    );
                }
            }
        }
    }
}

/// Returns the number in the environment variable, or the default if it isn't set.
fn from_environment(variable: &str, default: u64) -> u64 {
    match std::env::var(variable) {
        Ok(text) => text.parse().unwrap_or_else(|error| panic!("{variable}: {error}")),
        Err(_) => default,
    }
}

fn config(cases: u64) -> Config {
    Config {
        cases: from_environment("INTERLEAVING_CASES", cases) as u32,
        rng_seed: RngSeed::Fixed(from_environment("INTERLEAVING_SEED", 7)),
        failure_persistence: None,
        max_shrink_iters: 2_000,
        ..Config::default()
    }
}

proptest! {
    #![proptest_config(config(4_000))]

    #[test]
    fn tasks_are_live_on_at_most_one_machine_and_job_ends_never_change(
        actions in prop::collection::vec(any::<u16>(), 50..700)
    ) {
        let mut run = RandomRun::new();
        for action in actions {
            run.step(action);
            run.check();
        }
    }
}

/// Answers the leader's requests to the cloud: returned machines are gone, requested ones come up at
/// once.
fn answer_scaling(w: &mut World) {
    for command in w.leader.take_commands() {
        match command {
            Command::ScaleIn { machines } => {
                for worker in w.workers.values_mut().filter(|k| machines.contains(&k.name)) {
                    worker.alive = false;
                    worker.tasks.clear();
                }
                w.leader.scale_in_answered(w.now, &machines, true);
            }
            Command::ScaleOut { kind, zone, spot, count } => {
                let first = w.workers.len() + 1;
                let numbers = first..first + count as usize;
                let names: Vec<String> = numbers.map(machine_name).collect();
                for name in &names {
                    w.workers.insert(name.clone(), world::Worker::new(name, &zone));
                }
                w.leader.scale_out_answered(w.now, &kind, &zone, spot, count, Ok(names));
            }
            _ => {}
        }
    }
}

/// Drops all messages in flight and runs without faults, until every accepted job is done or
/// cancelled. This fails if a job waits forever for a message that was lost.
fn finish_without_faults(mut run: RandomRun) {
    run.pending.clear();
    run.unreachable.clear();
    let accepted = run.accepted;
    let w = &mut run.w;
    w.take_over();
    for _ in 0..80 {
        w.send_all_heartbeats();
        // A machine that died before its loss was recorded sends the new leader no heartbeats, so
        // the leader returns it to the cloud.
        w.leader.autoscale(w.now);
        answer_scaling(w);
        w.settle();
        for (task, machines) in w.places() {
            assert!(machines.len() <= 1, "{task} is on {machines:?}");
            w.finish(&machines[0], &task);
        }
        if JOBS[..accepted].iter().all(|(job, _)| w.end(job).is_some()) {
            break;
        }
        w.wait(1_000);
    }
    for (job, dependencies) in &JOBS[..accepted] {
        let end = w.end(job);
        assert!(end.is_some(), "{job} is neither done nor cancelled after the faults stopped");
        for dependency in *dependencies {
            let dependency_end = w.end(dependency);
            assert!(
                dependency_end == end || end == Some(&json!("aborted")),
                "{job} ended other than its dependency {dependency}"
            );
        }
    }
}

proptest! {
    #![proptest_config(config(1_500))]

    #[test]
    fn every_accepted_job_ends_after_the_faults_stop(
        actions in prop::collection::vec(any::<u16>(), 50..500)
    ) {
        let mut run = RandomRun::new();
        for action in actions {
            run.step(action);
            run.check();
        }
        finish_without_faults(run);
    }
}
