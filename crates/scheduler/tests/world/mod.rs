//! A scripted cluster for scheduler tests: an in-memory key-value store, workers and messages.
//!
//! The test decides when messages are delivered, lost or repeated, and advances the clock.
#![allow(dead_code)]

use std::collections::{BTreeMap, BTreeSet};
use std::rc::Rc;

use serde_json::{json, Value};
use walnutlug_scheduler::command::{Command, MessageOutcome};
use walnutlug_scheduler::leadership::fencing_token::{FencingToken, Term};
use walnutlug_scheduler::model::ids::{AgentEpoch, Attempt, MachineIndex};
use walnutlug_scheduler::model::job_spec::{JobEnd, JobSpec, Priority};
use walnutlug_scheduler::model::task::{Task, TaskPhase};
use walnutlug_scheduler::model::team::Team;
use walnutlug_scheduler::protocol::cloud::MachineType;
use walnutlug_scheduler::protocol::key_value::Transaction;
use walnutlug_scheduler::protocol::workers::{ExitReason, TaskState, WorkerCommand};
use walnutlug_scheduler::reconciliation::heartbeats::HeartbeatAnswer;
use walnutlug_scheduler::scheduler::Scheduler;
use walnutlug_scheduler::storage::keys::{self, RunKey};
use walnutlug_scheduler::storage::records::{chunk_size, description_record};
use walnutlug_scheduler::storage::revision::Revision;
use walnutlug_scheduler::storage::transactions::TransactionLimits;
use walnutlug_scheduler::time::{TimeDelta, Timestamp};
use walnutlug_scheduler::tunables::{Site, Tunables};

use known_tasks::SentTask;

#[path = "../transcripts/golden.rs"]
pub mod golden;
pub mod known_tasks;
pub mod recorded_starts;
mod store;
pub mod transcript;
mod worker;

pub use store::Store;
pub use worker::Worker;

/// Start of the tests' monotonic clock, in microseconds.
const START: u64 = 1 << 40;
/// Wall-clock time at [`START`], in microseconds since the Unix epoch.
pub const WALL: u64 = 1_700_000_000_000_000;

/// Returns the default job: tasks of 2 CPUs with 100 s to finish, for the team without a limit.
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

/// Returns a cluster with the single machine `n-1`.
pub fn one_machine() -> World {
    World::new(&[("n-1", "a")])
}

/// Returns the default settings: one team without a limit, and one limited to 4 CPUs.
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

/// Returns the only machine type, with 8 CPUs.
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

/// A leader, its pending commands, the store and the workers.
pub struct World {
    pub now: Timestamp,
    pub store: Store,
    pub workers: BTreeMap<String, Worker>,
    pub leader: Scheduler,
    /// Commands of the leader that have not been executed yet.
    pub commands: Vec<Command>,
    /// The leader reaches neither the key-value store nor another node, so it learns of no
    /// cancellations.
    pub cut_off: bool,
    /// Revision of the store for which it was last checked what a successor would know.
    checked_revision: Revision,
    /// Every start that a leader sent.
    sent_tasks: BTreeSet<SentTask>,
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
        let mut world = World {
            now,
            store,
            workers,
            leader,
            commands: Vec::new(),
            cut_off: false,
            checked_revision: Revision::NONE,
            sent_tasks: BTreeSet::new(),
        };
        world.send_all_heartbeats();
        world.send_all_heartbeats();
        world
    }

    /// Stores a job and tells the leader of it.
    pub fn submit(&mut self, name: &str, spec: &JobSpec) {
        self.submit_in_chunks(name, spec, chunk_size(site().value_bytes));
    }

    /// Submits a job with `chunk` tasks per chunk; earlier versions used other chunk sizes.
    pub fn submit_in_chunks(&mut self, name: &str, spec: &JobSpec, chunk: u32) {
        let value = self.store_job(name, spec, chunk);
        let wall = self.wall_us();
        self.leader.add_job(self.now, name, &value, wall).expect("a readable description");
    }

    /// Stores an accepted job without telling the leader, and returns its description record.
    pub fn store_job(&mut self, name: &str, spec: &JobSpec, chunk: u32) -> Value {
        let value = description_record(spec, self.wall_us(), chunk);
        self.store.put(&keys::job(name), json!(1));
        self.store.put(&keys::description(name, !spec.dependencies.is_empty()), value.clone());
        value
    }

    fn wall_us(&self) -> u64 {
        WALL + (self.now.0 - START)
    }

    /// Advances the clock. The leader knows all cancellations up to the new time unless it is
    /// `cut_off`.
    pub fn wait(&mut self, ms: u64) {
        self.now = self.now + TimeDelta::from_millis(ms);
        if !self.cut_off {
            self.leader.authority.set_cancellations_known_until(self.now);
        }
    }

    /// Advances the clock by 50 ms, runs the leader's tick and adds its commands to `commands`.
    pub fn tick(&mut self) {
        transcript::next_step();
        self.wait(50);
        self.leader.tick(self.now);
        self.take_commands();
    }

    /// Lets the leader decide which machines to rent and to return.
    pub fn autoscale(&mut self) {
        self.leader.autoscale(self.now);
        self.take_commands();
    }

    fn take_commands(&mut self) {
        let commands = self.leader.take_commands();
        recorded_starts::assert_starts_are_recorded(&self.store, &self.leader, &commands);
        self.sent_tasks.extend(known_tasks::sent_tasks(&self.leader, &commands));
        self.assert_successor_knows_sent_tasks();
        transcript::commands(self.leader.term, &commands);
        self.commands.extend(commands);
    }

    /// Removes and returns the first pending transaction.
    pub fn take_commit(&mut self) -> (u64, Transaction) {
        let at = self.commands.iter().position(|c| matches!(c, Command::Commit { .. }));
        match self.commands.remove(at.expect("a pending transaction")) {
            Command::Commit { id, transaction } => (id, transaction),
            _ => unreachable!(),
        }
    }

    /// Removes and returns the first pending message to a worker that holds commands.
    pub fn take_worker_message(
        &mut self,
    ) -> (MachineIndex, FencingToken, AgentEpoch, Vec<WorkerCommand>) {
        let with_calls =
            |c: &Command| matches!(c, Command::SendToWorker { calls, .. } if !calls.is_empty());
        let at = self.commands.iter().position(with_calls);
        match self.commands.remove(at.expect("a pending message with commands")) {
            Command::SendToWorker { machine, token, agent_epoch, calls, .. } => {
                (machine, token, agent_epoch, calls)
            }
            _ => unreachable!(),
        }
    }

    /// Lets the leader place waiting tasks and commits the transaction, without a tick in which the
    /// starts could be sent.
    pub fn place_and_record(&mut self) {
        self.tick();
        let (id, transaction) = self.take_commit();
        let outcome = self.store.apply(&transaction);
        self.leader.transaction_answered(self.now, id, outcome);
    }

    /// Lets the leader place waiting tasks, commits the transaction and lets it send the starts.
    pub fn place_and_commit(&mut self) {
        self.place_and_record();
        self.tick();
    }

    /// Submits a job of one task and returns its machine's name and the undelivered start message.
    pub fn submit_with_start_in_flight(
        &mut self,
        job: &str,
    ) -> (String, (MachineIndex, FencingToken, AgentEpoch, Vec<WorkerCommand>)) {
        self.submit(job, &spec(1));
        self.place_and_commit();
        let message = self.take_worker_message();
        (self.leader.cluster.machines[message.0].name.clone(), message)
    }

    /// Cancels a job: stores its end and tells the leader.
    pub fn cancel_job(&mut self, job: &str) {
        self.store.put(&keys::end(job), json!("aborted"));
        self.leader.job_ended(self.now, job, JobEnd::Cancelled);
    }

    /// Cancels a job if it was accepted and has not ended.
    pub fn cancel_job_if_open(&mut self, job: &str) {
        let accepted = self.store.keys.contains_key(&keys::job(job));
        if accepted && self.end(job).is_none() {
            self.cancel_job(job);
        }
    }

    /// Completes all running tasks, 40 times in a row, so that waiting tasks get their turn.
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

    /// Ticks the leader and executes its commands without faults, 20 times.
    pub fn settle(&mut self) {
        for _ in 0..20 {
            self.tick();
            self.execute_commands();
        }
    }

    /// Executes the pending commands without faults.
    pub fn execute_commands(&mut self) {
        for command in std::mem::take(&mut self.commands) {
            match command {
                Command::Commit { id, transaction } => {
                    let outcome = self.store.apply(&transaction);
                    self.assert_successor_knows_sent_tasks();
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

    /// Delivers commands to a machine's worker and returns the response to the leader.
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

    /// Sends a worker's heartbeat to the leader and delivers the response.
    pub fn heartbeat(&mut self, name: &str) {
        let worker = self.workers.get_mut(name).expect("a worker of that name");
        let heartbeat = worker.heartbeat();
        let answer = self.leader.handle_heartbeat(self.now, &heartbeat).ok();
        transcript::answer("whole", name, answer.as_ref());
        if let Some(HeartbeatAnswer { token, commands: calls }) = answer {
            worker.receive_heartbeat_response(heartbeat.agent_epoch, token, &calls);
        }
    }

    /// Sends a heartbeat from every worker that is alive.
    pub fn send_all_heartbeats(&mut self) {
        let names: Vec<String> = self.workers.keys().cloned().collect();
        for name in names {
            if self.workers[&name].alive {
                self.heartbeat(&name);
            }
        }
    }

    /// Replaces the leader by a new one, which knows only what the store holds. Returns the old
    /// one.
    pub fn take_over(&mut self) -> Scheduler {
        self.take_over_as(false)
    }

    /// Replaces the leader by a new one, which runs the previous version if `previous_version`.
    /// That version doesn't support dependencies: it reads no job that has them, nor the job's
    /// chunks.
    pub fn take_over_as(&mut self, previous_version: bool) -> Scheduler {
        let term = self.store.put(keys::LEADER, json!("next"));
        let mut s = self.load_records(term.into(), previous_version, |_| true);
        if let Some((value_bytes, max_operations)) = self.store.limits {
            s.set_limits(TransactionLimits { value_bytes, operations: max_operations });
        }
        // Sorted because the hash map has no fixed order and the transcripts depend on the order.
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

    /// Returns a scheduler that has read the stored descriptions and tasks of the jobs, as a new
    /// leader does.
    fn load_records(
        &self,
        term: Term,
        previous_version: bool,
        reads_job: impl Fn(&str) -> bool,
    ) -> Scheduler {
        let (site, tunables) = (self.leader.site.clone(), self.leader.tunables.clone());
        let mut s = Scheduler::new(site, tunables, term, types(), self.now);
        for (key, (value, _)) in &self.store.keys {
            if let Some(name) = keys::described_job(key) {
                if reads_job(name) && (!previous_version || key.starts_with(keys::TODO)) {
                    // Unreadable descriptions are skipped, as in the controller.
                    let _ = s.add_job(self.now, name, value, self.wall_us());
                }
            }
        }
        let mut chunks = self.store.key_values(keys::RUN);
        chunks.retain(|chunk| RunKey::parse(&chunk.key).is_none_or(|key| reads_job(key.job)));
        let unreadable = s.load_chunks(self.now, &chunks);
        assert!(previous_version || unreadable.is_empty(), "{unreadable:?}");
        s
    }

    /// Asserts that a leader that took over now would know where each live task is, of the jobs
    /// whose records changed since the last call. Tasks that a test put on a worker without a start
    /// are not looked at.
    fn assert_successor_knows_sent_tasks(&mut self) {
        let since = std::mem::replace(&mut self.checked_revision, self.store.store_revision);
        if since == self.store.store_revision {
            return;
        }
        let mut sent = known_tasks::live_tasks(&self.workers);
        sent.retain(|sent| self.sent_tasks.contains(sent));
        self.assert_successor_knows(sent, since);
    }

    /// Asserts that a leader that took over now would know where each of these tasks is, of the
    /// jobs whose records changed after the revision.
    pub fn assert_successor_knows(&self, mut sent: BTreeSet<SentTask>, since: Revision) {
        let mut jobs: BTreeSet<String> = sent.iter().map(|sent| sent.job().to_owned()).collect();
        jobs.retain(|job| self.records_changed_since(job, since));
        sent.retain(|sent| jobs.contains(sent.job()));
        let successor = self.load_records(self.leader.term, false, |job| jobs.contains(job));
        known_tasks::assert_known(&successor, &sent);
    }

    /// Returns whether the job's description is not stored, or one of its task records was written
    /// after the revision.
    fn records_changed_since(&self, job: &str, since: Revision) -> bool {
        let records = format!("{}{job}/", keys::RUN);
        let written = self.store.keys.range(records.clone()..);
        let mut written = written.take_while(|(key, _)| key.starts_with(&records));
        let described = [true, false].map(|chained| keys::description(job, chained));
        !described.iter().any(|key| self.store.keys.contains_key(key))
            || written.any(|(_, (_, revision))| *revision > since)
    }

    /// Lets a live task exit successfully.
    pub fn finish(&mut self, machine: &str, task: &str) {
        let worker = self.workers.get_mut(machine).expect("a worker of that name");
        for (key, state) in &mut worker.tasks {
            if key.0 == task && state.0 != TaskState::Exited {
                *state = (TaskState::Exited, Some(ExitReason::Done));
            }
        }
    }

    /// Returns the machines on which each live task runs.
    pub fn places(&self) -> BTreeMap<String, Vec<String>> {
        let mut places: BTreeMap<String, Vec<String>> = BTreeMap::new();
        for (name, worker) in &self.workers {
            for task in worker.live() {
                places.entry(task).or_default().push(name.clone());
            }
        }
        places
    }

    /// Returns the machines on which the task is live.
    pub fn places_of(&self, task: &str) -> Vec<&str> {
        let runs_task = |w: &&Worker| {
            w.alive && w.tasks.iter().any(|(t, s)| t.0 == task && s.0 != TaskState::Exited)
        };
        self.workers.values().filter(runs_task).map(|w| w.name.as_str()).collect()
    }

    /// Returns the stored end of a job.
    pub fn end(&self, name: &str) -> Option<&Value> {
        self.store.keys.get(&keys::end(name)).map(|v| &v.0)
    }

    /// Returns the leader's state of a task of an open job.
    fn task(&self, name: &str, index: usize) -> Task {
        let ix = self.leader.cluster.jobs_by_name[name];
        let job = self.leader.cluster.job(ix).expect("an open job");
        job.tasks.get(index as u32).expect("a task of the job")
    }

    pub fn phase(&self, name: &str, index: usize) -> TaskPhase {
        self.task(name, index).phase
    }

    pub fn attempt(&self, name: &str, index: usize) -> Attempt {
        self.task(name, index).attempt
    }

    /// Returns the first fencing token of the leader's term.
    pub fn token_now(&self) -> FencingToken {
        FencingToken::first_of(self.leader.term)
    }
}
