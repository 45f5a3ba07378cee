//! Random orders of everything that can happen: whatever comes, a task is live on at most one
//! machine, and an end, once written, never changes. The seed is fixed, so the verdict is too.

mod world;

use proptest::prelude::*;
use proptest::test_runner::{Config, RngSeed};
use serde_json::json;
use walnutlug_scheduler::command::{Command, MessageOutcome, ReadOutcome, TransactionOutcome};
use walnutlug_scheduler::leadership::fencing_token::{FencingToken, Term};
use walnutlug_scheduler::model::ids::AgentEpoch;
use walnutlug_scheduler::protocol::workers::{Heartbeat, WorkerCommand};
use walnutlug_scheduler::reconciliation::heartbeats::HeartbeatAnswer;
use walnutlug_scheduler::scheduler::Scheduler;
use walnutlug_scheduler::storage::transactions::TransactionLimits;
use world::{spec, World};

/// A message that the test holds.
enum Held {
    /// To the state store; `None`: a copy nobody waits for.
    Commit(Term, Option<u64>, walnutlug_scheduler::protocol::key_value::Transaction),
    Read(Term, u64, String),
    /// A leader's question about ends.
    Ends(Term, Vec<String>),
    /// To a worker: term of the sender, whether its answer still matters.
    Direct {
        term: Term,
        waits: bool,
        name: String,
        token: FencingToken,
        agent_epoch: AgentEpoch,
        calls: Vec<WorkerCommand>,
    },
    Heartbeat(Heartbeat),
}

/// What the key-value store takes once its limits have fallen: less than a chunk of the former version
/// with its tasks placed.
const LEAST: (usize, usize) = (100, 2);

struct Play {
    w: World,
    old: Vec<Scheduler>,
    held: Vec<Held>,
    completed: std::collections::BTreeSet<String>,
    /// Machines whose reports arrive and that nothing reaches.
    deaf: std::collections::BTreeSet<String>,
    /// Jobs accepted so far.
    accepted: usize,
    /// Whether processes of the former version may still come to lead.
    former: bool,
    /// Terms under which one leads, or thinks it does.
    former_terms: std::collections::BTreeSet<Term>,
}

/// The jobs, each with those that it needs. The first two are there before the upgrade, in chunks of the
/// former version; the others come after it, and only once what they need was accepted.
const JOBS: [(&str, &[&str]); 6] = [
    ("req-000001", &[]),
    ("req-000002", &[]),
    ("req-000003", &["req-000001"]),
    ("req-000004", &["req-000001", "req-000002"]),
    ("req-000005", &["req-000003"]),
    ("req-000006", &["req-000005", "req-000004", "req-000003"]),
];
const FORMER_CHUNK: u32 = 168;

impl Play {
    fn new() -> Play {
        let mut w = World::new(&[("n-1", "a"), ("n-2", "b"), ("n-3", "a")]);
        for (job, _) in &JOBS[..2] {
            w.submit_in_chunks(job, &spec(3), FORMER_CHUNK);
        }
        Play {
            accepted: 2,
            former: true,
            former_terms: Default::default(),
            w,
            old: Vec::new(),
            held: Vec::new(),
            completed: Default::default(),
            deaf: Default::default(),
        }
    }

    fn scheduler(&mut self, term: Term) -> Option<&mut Scheduler> {
        if self.w.leader.term == term {
            return Some(&mut self.w.leader);
        }
        self.old.iter_mut().find(|s| s.term == term)
    }

    fn hold(&mut self, term: Term, commands: Vec<Command>) {
        for command in commands {
            match command {
                Command::Commit { id, transaction } => {
                    self.held.push(Held::Commit(term, Some(id), transaction))
                }
                Command::Read { id, key } => self.held.push(Held::Read(term, id, key)),
                Command::FindJobEnds { names } => self.held.push(Held::Ends(term, names)),
                Command::SendToWorker { machine, token, agent_epoch, calls, .. } => {
                    let name = self
                        .scheduler(term)
                        .map(|s| s.cluster.machines[machine].name.clone())
                        .expect("the sender");
                    let direct =
                        Held::Direct { term, waits: true, name, token, agent_epoch, calls };
                    self.held.push(direct);
                }
                _ => {}
            }
        }
    }

    fn tick(&mut self, which: usize) {
        let now = self.w.now;
        // An old leader that nobody told goes on deciding.
        let s = match which % 4 {
            0 if !self.old.is_empty() => {
                let n = self.old.len();
                &mut self.old[which / 4 % n]
            }
            _ => &mut self.w.leader,
        };
        s.tick(now);
        let (term, commands) = (s.term, s.take_commands());
        self.hold(term, commands);
    }

    fn deliver(&mut self, pick: usize, fate: usize) {
        if self.held.is_empty() {
            return;
        }
        let now = self.w.now;
        let at = pick % self.held.len();
        match self.held.swap_remove(at) {
            Held::Commit(term, id, transaction) => {
                let (outcome, copy) = match fate % 6 {
                    0 => (TransactionOutcome::Indeterminate, true),
                    1 => {
                        self.w.store.apply(&transaction);
                        (TransactionOutcome::Indeterminate, false)
                    }
                    2 => (TransactionOutcome::Rejected, false),
                    _ => (self.w.store.apply(&transaction), false),
                };
                if copy {
                    self.held.push(Held::Commit(term, None, transaction));
                }
                if let (Some(id), Some(s)) = (id, self.scheduler(term)) {
                    s.transaction_answered(now, id, outcome);
                }
            }
            Held::Ends(term, names) => {
                // Answered in part, or not at all.
                let mut found = self.w.store.ends(&names);
                found.truncate(fate);
                if let Some(s) = self.scheduler(term) {
                    s.job_ends_found(now, &found);
                }
            }
            Held::Read(term, id, key) => {
                let outcome = match fate.is_multiple_of(4) {
                    true => ReadOutcome::Unavailable,
                    false => self.w.store.read(&key),
                };
                if let Some(s) = self.scheduler(term) {
                    s.read_answered(now, id, outcome);
                }
            }
            Held::Direct { term, waits, name, token, agent_epoch, calls }
                if self.deaf.contains(&name) =>
            {
                // Held on the way: it may arrive once the machine hears again.
                let copy = Held::Direct {
                    term,
                    waits: false,
                    name: name.clone(),
                    token,
                    agent_epoch,
                    calls,
                };
                self.held.push(copy);
                if waits {
                    if let Some(s) = self.scheduler(term) {
                        let machine = s.cluster.machines_by_name[&name];
                        s.message_answered(now, machine, MessageOutcome::Indeterminate);
                    }
                }
            }
            Held::Direct { term, waits, name, token, agent_epoch, calls } => {
                let worker = self.w.workers.get_mut(&name).expect("worker");
                let (outcome, copy) = match fate % 6 {
                    0 => (MessageOutcome::Indeterminate, true),
                    2 => (MessageOutcome::NotSent, false),
                    1 if worker.alive => {
                        worker.run_commands(token, agent_epoch, &calls);
                        (MessageOutcome::Indeterminate, fate % 12 == 1)
                    }
                    _ if worker.alive => {
                        let heartbeat = worker.run_commands(token, agent_epoch, &calls);
                        // A repeat of a request that was carried out may follow.
                        (MessageOutcome::Answered(Box::new(heartbeat)), fate % 12 == 3)
                    }
                    _ => (MessageOutcome::Indeterminate, false),
                };
                if copy {
                    let name = name.clone();
                    let copy = Held::Direct { term, waits: false, name, token, agent_epoch, calls };
                    self.held.push(copy);
                }
                if waits {
                    if let Some(s) = self.scheduler(term) {
                        let machine = s.cluster.machines_by_name[&name];
                        s.message_answered(now, machine, outcome);
                    }
                }
            }
            Held::Heartbeat(heartbeat) => {
                if fate % 12 == 7 {
                    // A copy comes later still, perhaps to the next leader.
                    self.held.push(Held::Heartbeat(heartbeat.clone()));
                }
                // Late or not, to the leader or to an old one, answered or not.
                let n = self.old.len();
                let s = match fate % 5 {
                    0 if n > 0 => &mut self.old[fate / 5 % n],
                    _ => &mut self.w.leader,
                };
                let answer = s.handle_heartbeat(now, &heartbeat);
                let deaf = self.deaf.contains(&heartbeat.machine);
                if let (Ok(HeartbeatAnswer { token, commands: calls }), true) =
                    (answer, !fate.is_multiple_of(3) && !deaf)
                {
                    let worker = self.w.workers.get_mut(&heartbeat.machine).expect("worker");
                    if worker.alive {
                        worker.receive_heartbeat_response(heartbeat.agent_epoch, token, &calls);
                    }
                }
            }
        }
    }

    fn step(&mut self, action: u16) {
        let (kind, pick) = (usize::from(action % 32), usize::from(action / 32));
        let names: Vec<String> = self.w.workers.keys().cloned().collect();
        let name = &names[pick % names.len()];
        match kind {
            0..=6 => self.tick(pick),
            7..=16 => self.deliver(pick / 12, pick % 12),
            17..=21 => {
                let worker = self.w.workers.get_mut(name).expect("worker");
                if worker.alive {
                    let heartbeat = worker.heartbeat();
                    self.held.push(Held::Heartbeat(heartbeat));
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
            25 => self.w.workers.get_mut(name).expect("worker").expire_lease(),
            26 if pick.is_multiple_of(4) => {
                // Killed, returned and replaced: the answer to the return is proof.
                let worker = self.w.workers.get_mut(name).expect("worker");
                worker.alive = false;
                worker.tasks.clear();
                let now = self.w.now;
                self.w.leader.machine_gone(now, name);
                let fresh = format!("n-{}", names.len() + 1);
                self.w.workers.insert(fresh.clone(), world::Worker::new(&fresh, "a"));
            }
            27 if pick.is_multiple_of(3) => {
                let former = self.former && pick.is_multiple_of(2);
                let old = self.w.take_over_as(former);
                self.old.push(old);
                if former {
                    self.former_terms.insert(self.w.leader.term);
                }
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
                let spec =
                    walnutlug_scheduler::model::job_spec::JobSpec { dependencies, ..spec(3) };
                // Of what waits a leader of the former version hears nothing.
                if self.former_terms.contains(&self.w.leader.term) {
                    self.w.store_job(job, &spec, 2);
                } else {
                    self.w.submit_in_chunks(job, &spec, 2);
                }
            }
            31 if pick.is_multiple_of(5) => {
                // The upgrade is over; some time later the limits fall, to less than one of the
                // former chunks takes.
                if !self.former && !self.former_terms.contains(&self.w.leader.term) {
                    self.w.store.limits = Some(LEAST);
                    for s in self.old.iter_mut().chain([&mut self.w.leader]) {
                        s.set_limits(TransactionLimits {
                            value_bytes: LEAST.0,
                            operations: LEAST.1,
                        });
                    }
                }
                self.former = false;
            }
            29 if pick.is_multiple_of(3) => {
                if !self.deaf.remove(name) {
                    self.deaf.insert(name.clone());
                }
            }
            30 if pick.is_multiple_of(4) => {
                // Back within a moment: none of its tasks, or a new agent epoch and no token either.
                let worker = self.w.workers.get_mut(name).expect("worker");
                worker.tasks.clear();
                if pick.is_multiple_of(8) {
                    worker.agent_epoch.0 += 1;
                    worker.sequence = 0;
                    worker.token = FencingToken(0);
                }
            }
            _ => self.w.wait(700),
        }
        self.w.wait(30);
    }

    fn check(&self) {
        for (task, machines) in self.w.places() {
            assert!(machines.len() <= 1, "{task} is on {machines:?}");
        }
        for (job, dependencies) in JOBS {
            if self.w.end(job) == Some(&json!("done")) {
                for i in 0..3 {
                    assert!(self.completed.contains(&format!("{job}/{i}")), "{job} isn't done");
                }
            }
            let live = |i: &u32| !self.w.places_of(&format!("{job}/{i}")).is_empty();
            if (0..3).any(|i| live(&i)) {
                for need in dependencies {
                    let end = self.w.end(need);
                    assert_eq!(end, Some(&json!("done")), "{job} runs before {need} is done");
                }
            }
        }
    }
}

fn config() -> Config {
    Config {
        cases: 400,
        rng_seed: RngSeed::Fixed(7),
        failure_persistence: None,
        max_shrink_iters: 2_000,
        ..Config::default()
    }
}

proptest! {
    #![proptest_config(config())]

    #[test]
    fn at_most_one_live_place_and_ends_that_never_change(
        actions in prop::collection::vec(any::<u16>(), 50..700)
    ) {
        let mut play = Play::new();
        for action in actions {
            play.step(action);
            play.check();
        }
    }
}

/// Plays a quiet world after the disorder: every job is done or was cancelled, or is still known and
/// then gets done. Nothing may hang on a message that never came.
fn end_quietly(mut play: Play) {
    play.held.clear();
    play.deaf.clear();
    let accepted = play.accepted;
    let w = &mut play.w;
    w.take_over();
    for _ in 0..80 {
        w.send_all_heartbeats();
        // What died with its absence unwritten is silent for the new leader, which gives it back.
        w.leader.autoscale(w.now);
        for command in w.leader.take_commands() {
            if let Command::ScaleIn { machines } = command {
                w.leader.scale_in_answered(w.now, &machines, true);
            }
        }
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
        assert!(end.is_some(), "{job} is neither done nor cancelled after all is quiet");
        for need in *dependencies {
            let before = w.end(need);
            assert!(before == end || end == Some(&json!("aborted")), "{job} behind {need}");
        }
    }
}

proptest! {
    #![proptest_config(Config { cases: 150, ..config() })]

    #[test]
    fn every_accepted_job_ends_once_the_disorder_does(
        actions in prop::collection::vec(any::<u16>(), 50..500)
    ) {
        let mut play = Play::new();
        for action in actions {
            play.step(action);
            play.check();
        }
        end_quietly(play);
    }
}
