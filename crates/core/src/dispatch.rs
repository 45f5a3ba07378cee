//! The leader's book: jobs, tasks and machines, the rounds that write starts before they are sent,
//! the receipts that settle them, and the proofs that let a task move.
//!
//! A [`Scheduler`] lives for one term. It is built from the stored records, told what happens, and
//! asked for commands; when the term is lost it is thrown away.

use std::collections::{BTreeMap, BTreeSet, HashMap};

use serde_json::{json, Value};

use crate::job::{keys, JobSpec};
use crate::leadership::token;
use crate::task::{Input, MachineIx, Phase, Task};
use crate::time::{Span, Time};
use crate::tunables::{Site, Tunables};
use crate::wire::{self, Call, Cause, Change, Guard, MachineType, Report, TaskStage, Txn};

pub type JobIx = u32;
pub type TaskId = (JobIx, u32);

/// Something for the sockets to do.
#[derive(Debug, Clone, PartialEq)]
pub enum Command {
    /// Send the transaction and answer with [`Scheduler::txn_answer`].
    Commit {
        id: u64,
        txn: Txn,
    },
    /// Read one key and answer with [`Scheduler::read_answer`].
    Read {
        id: u64,
        key: String,
    },
    /// Post the calls once, never again, and answer with [`Scheduler::direct_answer`].
    Direct {
        machine: MachineIx,
        address: String,
        token: u64,
        session: u64,
        calls: Vec<Call>,
    },
    Rent {
        kind: String,
        zone: String,
        spot: bool,
        count: u32,
    },
    Return {
        machines: Vec<String>,
    },
    /// Worth a line in the log.
    Note(String),
    /// The term is over.
    StepDown(&'static str),
}

/// What became of a transaction.
#[derive(Debug, Clone, PartialEq)]
pub enum Outcome {
    Committed {
        mark: u64,
    },
    Conflict {
        failed: Vec<String>,
    },
    /// Certainly not executed.
    Refused,
    /// May have been executed, or may be later.
    Lost,
}

/// What became of a direct command.
#[derive(Debug, Clone)]
pub enum DirectOutcome {
    /// 200 or 409: the worker's report after it.
    Answered(Box<Report>),
    /// The connection was refused, so nothing was sent.
    NotSent,
    /// Anything else: it may be executed, even minutes later.
    Lost,
}

#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum MachineState {
    /// Rented; not heard of yet.
    Booting,
    /// Its worker reports.
    Up,
    /// Being given back; whatever was on it is still on it.
    Returning,
    /// Certainly gone, and everything on it.
    Gone,
}

#[derive(Debug, Clone)]
pub struct Machine {
    pub name: String,
    pub address: String,
    pub kind: Option<usize>,
    pub zone: String,
    pub spot: bool,
    pub state: MachineState,
    pub session: u64,
    pub seq: u64,
    /// Highest token that the worker has been seen to know.
    pub seen_token: u64,
    pub fence: u64,
    /// Highest token with which a start was sent; a reap needs a higher one.
    pub start_token: u64,
    pub last_report: Time,
    pub rented: Time,
    pub notice: Option<Time>,
    /// Tasks that are on it as far as anybody knows.
    pub tasks: BTreeSet<TaskId>,
    /// Tasks that it reports and the book doesn't place there: room that can't be counted on.
    pub foreign: u32,
    pub cpus: f64,
    pub gpus: f64,
    pub memory: f64,
    pub images: Vec<String>,
    pub outbox: Vec<Call>,
    /// The tasks whose starts are in the outbox.
    pub starting: Vec<TaskId>,
    pub busy: bool,
    /// Starts in the message under way, with their attempts.
    pub in_message: Vec<(TaskId, u32)>,
    pub retry_at: Time,
    pub idle_since: Time,
    /// Jobs that failed here, each counted once.
    pub failures: BTreeSet<JobIx>,
    pub draining: Option<&'static str>,
    pub return_sent: Option<Time>,
}

impl Machine {
    pub fn token(&self, term: u64) -> u64 {
        token(term, self.fence)
    }
}

#[derive(Debug, Clone, Default)]
pub struct Chunk {
    pub mark: u64,
    pub in_flight: bool,
    /// Holds evidence that is not written yet.
    pub dirty: Option<Time>,
}

#[derive(Debug, Clone)]
pub struct Job {
    pub name: String,
    pub spec: JobSpec,
    pub accepted: Time,
    pub chunk_size: u32,
    pub chunks: Vec<Chunk>,
    pub tasks: Vec<Task>,
    /// Which finishes are written; only then may the worker forget them.
    pub recorded: Vec<bool>,
    /// Ended for its users: nothing more is started, all that is left is stopped.
    pub over: bool,
    pub ending: bool,
    pub dropping: bool,
    pub done: u32,
    pub placed: u32,
    /// Tasks not proven absent, by zone.
    pub zones: BTreeMap<String, u32>,
    /// No task below this index is pending.
    pub scan_from: u32,
    /// Failures in a row, over different machines: the job itself may be at fault.
    pub errors: u32,
    pub error_machines: BTreeSet<MachineIx>,
    pub not_before: Time,
    /// When each running task was first seen with its image.
    pub started: HashMap<u32, Time>,
    pub run_times: (f64, u32),
}

impl Job {
    pub fn pending(&self) -> u32 {
        self.spec.tasks - self.done - self.placed
    }

    fn chunk_of(&self, index: u32) -> usize {
        (index / self.chunk_size) as usize
    }
}

struct PendingTxn {
    txn: Txn,
    nonce: String,
    chunks: Vec<(JobIx, usize)>,
    starts: Vec<TaskId>,
    finishes: Vec<TaskId>,
    end: Option<JobIx>,
    cleanup: Option<(JobIx, bool)>,
    retry_at: Option<Time>,
    /// An answer was lost at least once, so that a conflict may be with its own earlier copy.
    doubted: bool,
}

pub struct Scheduler {
    pub site: std::rc::Rc<Site>,
    pub tun: std::rc::Rc<Tunables>,
    pub term: u64,
    /// By a number that is never used again, so that a late answer can't mean another job.
    pub jobs: BTreeMap<JobIx, Job>,
    next_job: JobIx,
    pub by_ref: HashMap<String, JobIx>,
    pub machines: Vec<Machine>,
    pub by_name: HashMap<String, MachineIx>,
    pub types: Vec<MachineType>,
    pub team_use: HashMap<String, (f64, f64)>,
    pub(crate) out: Vec<Command>,
    txns: BTreeMap<u64, PendingTxn>,
    next_id: u64,
    /// The state service refused the last write: nothing is decided until it answers again.
    pub stalled_until: Time,
    last_round: Time,
    pub dirty: bool,
    pub started_at: Time,
    pub fleet: crate::fleet::Fleet,
    /// Learned ratio of run time to the owner's estimate, by class: sum of logs and count.
    pub ratios: HashMap<String, (f64, f64)>,
    /// Learned size of a job, in processors, by class, and when one came last.
    pub sizes: HashMap<String, (f64, Time)>,
}

/// How many tasks one stored chunk holds, so that its value stays below the limit even with long
/// machine names and large attempt numbers.
pub fn chunk_size(value_bytes: usize) -> u32 {
    ((value_bytes.saturating_sub(96)) / 48).clamp(1, 200) as u32
}

/// The stored form of a job's description.
pub fn todo_value(spec: &JobSpec, accepted_wall_us: u64, chunk: u32) -> Value {
    json!({"spec": spec, "at": accepted_wall_us, "chunk": chunk})
}

/// Report intervals, each up to a quarter longer than told, after which a worker is overdue.
pub const OVERDUE: f64 = 1.4;
/// How long a machine that is gone is remembered, against late reports of it.
const FORGET_AFTER: Span = Span::secs(600);
/// Classes to learn about; more than any deployment has, fewer than would hurt.
const MOST_CLASSES: usize = 1_000;
const MAX_TXN_BYTES: usize = 40 * 1024;
const WRITE_EVIDENCE_AFTER: Span = Span::millis(1_000);

impl Scheduler {
    pub fn new(
        site: std::rc::Rc<Site>,
        tun: std::rc::Rc<Tunables>,
        term: u64,
        types: Vec<MachineType>,
        now: Time,
    ) -> Scheduler {
        Scheduler {
            site,
            tun,
            term,
            jobs: BTreeMap::new(),
            next_job: 0,
            by_ref: HashMap::new(),
            machines: Vec::new(),
            by_name: HashMap::new(),
            types,
            team_use: HashMap::new(),
            out: Vec::new(),
            txns: BTreeMap::new(),
            next_id: 1,
            stalled_until: Time(0),
            last_round: Time(0),
            dirty: true,
            started_at: now,
            fleet: crate::fleet::Fleet::default(),
            ratios: HashMap::new(),
            sizes: HashMap::new(),
        }
    }

    pub fn take_commands(&mut self) -> Vec<Command> {
        std::mem::take(&mut self.out)
    }

    pub(crate) fn note(&mut self, text: String) {
        self.out.push(Command::Note(text));
    }

    pub fn job(&self, ix: JobIx) -> Option<&Job> {
        self.jobs.get(&ix)
    }

    // ---- what is loaded -------------------------------------------------------------------

    /// Adds a job from its stored description. `accepted` is its acceptance on this node's clock.
    /// Returns whether the record could be read.
    pub fn add_job(&mut self, now: Time, name: &str, value: &Value, wall_us: u64) -> bool {
        if self.by_ref.contains_key(name) {
            return true;
        }
        let spec = serde_json::from_value::<JobSpec>(value["spec"].clone());
        let (Ok(spec), Some(at), Some(chunk_size)) =
            (spec, value["at"].as_u64(), value["chunk"].as_u64())
        else {
            self.note(format!("stored description of {name} cannot be read"));
            return false;
        };
        if spec.tasks == 0 || u64::from(spec.tasks) > wire::MOST_TASKS || chunk_size == 0 {
            self.note(format!("stored description of {name} is out of range"));
            return false;
        }
        let chunk_size = chunk_size.min(u64::from(u32::MAX)) as u32;
        let age = Span(wall_us.saturating_sub(at));
        if self.sizes.len() > MOST_CLASSES {
            self.sizes.clear();
            self.ratios.clear();
        }
        let size = f64::from(spec.tasks) * spec.cpus;
        let known = self.sizes.entry(spec.class.clone()).or_insert((size, now));
        known.0 += 0.2 * (size - known.0);
        known.1 = known.1.max(now - age);
        let chunks = spec.tasks.div_ceil(chunk_size) as usize;
        let job = Job {
            name: name.to_owned(),
            accepted: now - age,
            chunk_size,
            chunks: vec![Chunk::default(); chunks],
            tasks: vec![Task::new(now); spec.tasks as usize],
            recorded: vec![false; spec.tasks as usize],
            over: false,
            ending: false,
            dropping: false,
            done: 0,
            placed: 0,
            zones: BTreeMap::new(),
            scan_from: 0,
            errors: 0,
            error_machines: BTreeSet::new(),
            not_before: Time(0),
            started: HashMap::new(),
            run_times: (0.0, 0),
            spec,
        };
        let ix = self.next_job;
        self.next_job += 1;
        self.jobs.insert(ix, job);
        self.by_ref.insert(name.to_owned(), ix);
        self.dirty = true;
        true
    }

    /// Takes over a stored chunk. All that was placed keeps its machine; deadlines start again.
    pub fn load_chunk(&mut self, now: Time, key: &str, value: &Value, mark: u64) -> bool {
        let Some((name, chunk)) = keys::split_run(key) else { return false };
        let Some(&ix) = self.by_ref.get(name) else { return false };
        let Some(records) = value["t"].as_array() else { return false };
        let Some(job) = self.jobs.get_mut(&ix) else { return false };
        if chunk >= job.chunks.len() {
            return false;
        }
        job.chunks[chunk].mark = mark;
        let base = chunk as u32 * job.chunk_size;
        let mut placed = Vec::new();
        for (i, record) in records.iter().enumerate() {
            let index = base + i as u32;
            let Some(task) = job.tasks.get_mut(index as usize) else { break };
            let Some((phase, attempt, machine, session)) = read_record(record) else { continue };
            task.attempt = attempt;
            task.since = now;
            if phase == Phase::Done {
                task.phase = Phase::Done;
                job.recorded[index as usize] = true;
                job.done += 1;
            } else if phase.placed() {
                // Whatever it was, all that is certain now is that it may be there.
                task.phase = Phase::Dispatching;
                task.session = session;
                // Sent under an older term, so with a token below all of this one's. Only a worker
                // that has seen this term refuses it for certain; a lower bar would take a report
                // from before the old start's arrival for proof.
                task.token = token(self.term, 0) - 1;
                placed.push((index, machine.to_owned()));
            }
        }
        for (index, machine) in placed {
            let m = self.machine_named(now, &machine);
            self.attach((ix, index), m);
        }
        true
    }

    /// The machine of that name, made up as silent if nothing is known of it.
    pub fn machine_named(&mut self, now: Time, name: &str) -> MachineIx {
        if let Some(&ix) = self.by_name.get(name) {
            return ix;
        }
        let machine = Machine {
            name: name.to_owned(),
            address: String::new(),
            kind: None,
            zone: String::new(),
            spot: false,
            state: MachineState::Booting,
            session: 0,
            seq: 0,
            seen_token: 0,
            fence: 0,
            start_token: 0,
            last_report: now,
            rented: now,
            notice: None,
            tasks: BTreeSet::new(),
            foreign: 0,
            cpus: 0.0,
            gpus: 0.0,
            memory: 0.0,
            images: Vec::new(),
            outbox: Vec::new(),
            starting: Vec::new(),
            busy: false,
            in_message: Vec::new(),
            retry_at: Time(0),
            idle_since: now,
            failures: BTreeSet::new(),
            draining: None,
            return_sent: None,
        };
        // A machine that is long gone leaves its place to a new one, or the table would grow for
        // as long as a leader leads. Nothing may refer to it any more.
        let gone = |m: &Machine| {
            m.state == MachineState::Gone
                && m.tasks.is_empty()
                && !m.busy
                && now.since(m.last_report) > FORGET_AFTER
        };
        let free =
            if self.machines.len() >= 64 { self.machines.iter().position(gone) } else { None };
        let ix = match free {
            Some(ix) => {
                self.by_name.remove(&self.machines[ix].name);
                self.machines[ix] = machine;
                ix as MachineIx
            }
            None => {
                self.machines.push(machine);
                self.machines.len() as MachineIx - 1
            }
        };
        self.by_name.insert(name.to_owned(), ix);
        ix
    }

    /// The job has ended for its users: nothing of it is started any more.
    pub fn job_over(&mut self, now: Time, name: &str) {
        let Some(&ix) = self.by_ref.get(name) else { return };
        let Some(job) = self.jobs.get_mut(&ix) else { return };
        if job.over {
            return;
        }
        job.over = true;
        self.dirty = true;
        let all: Vec<u32> =
            (0..job.spec.tasks).filter(|&i| job.tasks[i as usize].phase.placed()).collect();
        for index in all {
            self.stop(now, (ix, index), 0.0);
        }
    }

    // ---- the book -------------------------------------------------------------------------

    /// Counts a placed task on its machine, for its team and its zone.
    fn attach(&mut self, id: TaskId, m: MachineIx) {
        let Some(job) = self.jobs.get_mut(&id.0) else { return };
        let machine = &mut self.machines[m as usize];
        if !machine.tasks.insert(id) {
            return;
        }
        job.tasks[id.1 as usize].machine = m;
        machine.cpus += job.spec.cpus;
        machine.gpus += job.spec.gpus;
        machine.memory += job.spec.memory_gb;
        job.placed += 1;
        *job.zones.entry(machine.zone.clone()).or_default() += 1;
        let team = self.team_use.entry(job.spec.team.clone()).or_default();
        team.0 += job.spec.cpus;
        team.1 += job.spec.gpus;
    }

    /// The reverse of [`Scheduler::attach`]; only called on proof.
    fn detach(&mut self, now: Time, id: TaskId) {
        let Some(job) = self.jobs.get_mut(&id.0) else { return };
        let machine = &mut self.machines[job.tasks[id.1 as usize].machine as usize];
        if !machine.tasks.remove(&id) {
            return;
        }
        machine.cpus -= job.spec.cpus;
        machine.gpus -= job.spec.gpus;
        machine.memory -= job.spec.memory_gb;
        if machine.tasks.is_empty() {
            // Sums of decimals drift; an empty machine is a chance to start from nothing.
            (machine.cpus, machine.gpus, machine.memory) = (0.0, 0.0, 0.0);
            machine.idle_since = now;
        }
        job.placed -= 1;
        if let Some(n) = job.zones.get_mut(&machine.zone) {
            *n -= 1;
            if *n == 0 {
                job.zones.remove(&machine.zone);
            }
        }
        if let Some(team) = self.team_use.get_mut(&job.spec.team) {
            team.0 = (team.0 - job.spec.cpus).max(0.0);
            team.1 = (team.1 - job.spec.gpus).max(0.0);
        }
        job.started.remove(&id.1);
        job.scan_from = job.scan_from.min(id.1);
        self.dirty = true;
    }

    /// Every change of a task's state goes through here, so that the sums always agree with it.
    fn step(&mut self, now: Time, id: TaskId, input: Input) -> bool {
        let Some(job) = self.jobs.get_mut(&id.0) else { return false };
        let Some(task) = job.tasks.get_mut(id.1 as usize) else { return false };
        let before = task.phase;
        if !task.step(now, input) {
            return false;
        }
        let after = task.phase;
        match input {
            Input::Finish | Input::Absent | Input::Settle => {
                let chunk = job.chunk_of(id.1);
                job.chunks[chunk].dirty.get_or_insert(now);
            }
            Input::Dispatch { .. }
            | Input::Retract
            | Input::Send { .. }
            | Input::Seen
            | Input::Stop => {}
        }
        if after == Phase::Done {
            job.done += 1;
            job.errors = 0;
        }
        if before.placed() && !after.placed() {
            self.detach(now, id);
        } else if let Input::Dispatch { machine, .. } = input {
            self.attach(id, machine);
        }
        true
    }

    /// Plans a start: written with the next transactions, sent after they are committed.
    pub(crate) fn dispatch(&mut self, now: Time, id: TaskId, machine: MachineIx) {
        let session = self.machines[machine as usize].session;
        if self.step(now, id, Input::Dispatch { machine, session }) {
            if let Some(job) = self.jobs.get_mut(&id.0) {
                let chunk = job.chunk_of(id.1);
                // Due at once: a start waits for nothing but its own write.
                job.chunks[chunk].dirty = Some(Time(0));
            }
        }
    }

    /// Tells a task's machine to stop it; repeated with every report until it is gone.
    pub(crate) fn stop(&mut self, now: Time, id: TaskId, grace_s: f64) {
        let Some(job) = self.jobs.get(&id.0) else { return };
        let task = job.tasks[id.1 as usize];
        if task.phase == Phase::Dispatching && task.token == 0 {
            // Not sent yet, and with the job over or the task wanted elsewhere it never will be:
            // the commit's answer takes it back.
            return;
        }
        let name = format!("{}/{}", job.name, id.1);
        if self.step(now, id, Input::Stop) {
            let attempt = u64::from(task.attempt);
            let call = Call::Kill { task: name, attempt, grace_s };
            let machine = &mut self.machines[task.machine as usize];
            if machine.state == MachineState::Up {
                machine.outbox.push(call);
            }
        }
    }

    // ---- rounds and transactions ----------------------------------------------------------

    /// Called often: starts a round if there is something to do, sends what is due.
    pub fn tick(&mut self, now: Time) {
        let due: Vec<u64> = self
            .txns
            .iter()
            .filter(|(_, t)| t.retry_at.is_some_and(|at| now >= at))
            .map(|(&id, _)| id)
            .collect();
        for id in due {
            if let Some(t) = self.txns.get_mut(&id) {
                t.retry_at = None;
                let txn = t.txn.clone();
                self.out.push(Command::Commit { id, txn });
            }
        }
        self.settle(now);
        if now >= self.stalled_until
            && now.since(self.last_round) >= self.tun.round_every
            && self.txns.len() < self.tun.txns_in_flight as usize
        {
            self.last_round = now;
            if self.dirty {
                self.dirty = false;
                self.place(now);
            }
            self.write_round(now);
        }
        self.flush(now);
    }

    /// Writes what the round decided and the evidence that is due, as few transactions as the
    /// limits allow. What finds no room waits for the next round, which takes more at once.
    fn write_round(&mut self, now: Time) {
        let ops = self.site.txn_ops.max(1);
        let mut batch = Batch::default();
        let all: Vec<JobIx> = self.jobs.keys().copied().collect();
        for ix in all {
            if self.txns.len() >= self.tun.txns_in_flight as usize {
                self.dirty = true;
                break;
            }
            let Some(job) = self.jobs.get(&ix) else { continue };
            if job.over {
                self.clean_up(ix);
                continue;
            }
            if job.done == job.spec.tasks {
                if !job.ending && !job.chunks.iter().any(|c| c.in_flight) {
                    self.write_end(ix);
                }
                continue;
            }
            let due: Vec<usize> = job
                .chunks
                .iter()
                .enumerate()
                .filter(|(_, c)| {
                    !c.in_flight && c.dirty.is_some_and(|d| now.since(d) >= WRITE_EVIDENCE_AFTER)
                })
                .map(|(i, _)| i)
                .collect();
            for chunk in due {
                if batch.txn.apply.len() >= ops || batch.bytes > MAX_TXN_BYTES {
                    self.commit(std::mem::take(&mut batch));
                    if self.txns.len() >= self.tun.txns_in_flight as usize {
                        self.dirty = true;
                        return;
                    }
                }
                self.add_chunk(&mut batch, ix, chunk);
            }
        }
        self.commit(batch);
    }

    fn nonce(&self) -> String {
        format!("{}-{}", self.term, self.next_id)
    }

    fn add_chunk(&mut self, batch: &mut Batch, ix: JobIx, chunk: usize) {
        let nonce = self.nonce();
        let Some(job) = self.jobs.get_mut(&ix) else { return };
        let base = chunk as u32 * job.chunk_size;
        let end = (base + job.chunk_size).min(job.spec.tasks);
        let mut records = Vec::with_capacity((end - base) as usize);
        for index in base..end {
            let task = &job.tasks[index as usize];
            match task.phase {
                Phase::Pending if task.attempt == 1 => records.push(json!(0)),
                Phase::Pending => records.push(json!([0, task.attempt])),
                Phase::Done => {
                    if !job.recorded[index as usize] {
                        batch.finishes.push((ix, index));
                    }
                    records.push(json!([5, task.attempt]));
                }
                phase => {
                    if phase == Phase::Dispatching && task.token == 0 {
                        batch.starts.push((ix, index));
                    }
                    let name = &self.machines[task.machine as usize].name;
                    records.push(json!([phase.code(), task.attempt, name, task.session]));
                }
            }
        }
        let key = keys::run(&job.name, chunk);
        let value = json!({"w": nonce, "t": records});
        batch.bytes += value.to_string().len() + key.len() * 2 + 64;
        let state = &mut job.chunks[chunk];
        state.in_flight = true;
        state.dirty = None;
        batch.txn.guards.push(Guard { key: key.clone(), mark: state.mark });
        // After an acknowledged withdrawal nothing can be dispatched: the end's absence is part
        // of the write itself.
        let end_key = keys::end(&job.name);
        if !batch.txn.guards.iter().any(|g| g.key == end_key) {
            batch.txn.guards.push(Guard { key: end_key, mark: 0 });
        }
        batch.txn.apply.push(Change::put(key, value));
        batch.chunks.push((ix, chunk));
    }

    fn commit(&mut self, batch: Batch) {
        if batch.txn.apply.is_empty() {
            return;
        }
        let nonce = self.nonce();
        let id = self.next_id;
        self.next_id += 1;
        let mut txn = batch.txn;
        txn.guards.insert(0, Guard { key: keys::LEADER.into(), mark: self.term });
        self.out.push(Command::Commit { id, txn: txn.clone() });
        self.txns.insert(
            id,
            PendingTxn {
                txn,
                nonce,
                chunks: batch.chunks,
                starts: batch.starts,
                finishes: batch.finishes,
                end: batch.end,
                cleanup: batch.cleanup,
                retry_at: None,
                doubted: false,
            },
        );
    }

    /// All tasks are done: the job's end, written once by whoever comes first.
    fn write_end(&mut self, ix: JobIx) {
        let Some(job) = self.jobs.get_mut(&ix) else { return };
        job.ending = true;
        let key = keys::end(&job.name);
        let mut batch = Batch { end: Some(ix), ..Batch::default() };
        batch.txn.guards.push(Guard { key: key.clone(), mark: 0 });
        batch.txn.apply.push(Change::put(key, json!("done")));
        self.commit(batch);
    }

    /// Drops the records of a job that is over, once nothing of it can be anywhere. The
    /// description goes last, so that a chunk never outlives it.
    fn clean_up(&mut self, ix: JobIx) {
        let ops = self.site.txn_ops.max(1);
        let Some(job) = self.jobs.get_mut(&ix) else { return };
        if job.dropping || job.placed > 0 || job.chunks.iter().any(|c| c.in_flight) {
            return;
        }
        job.dropping = true;
        let mut batch = Batch::default();
        for (i, chunk) in job.chunks.iter_mut().enumerate() {
            if chunk.mark > 0 && batch.txn.apply.len() + 1 < ops.max(2) {
                batch.txn.apply.push(Change::drop(keys::run(&job.name, i)));
                chunk.mark = 0;
            }
        }
        let last = !job.chunks.iter().any(|c| c.mark > 0);
        if last {
            batch.txn.apply.push(Change::drop(keys::todo(&job.name)));
        }
        batch.cleanup = Some((ix, last));
        self.commit(batch);
    }

    /// The answer to a [`Command::Commit`].
    pub fn txn_answer(&mut self, now: Time, id: u64, outcome: Outcome) {
        let Some(mut pending) = self.txns.remove(&id) else { return };
        match outcome {
            Outcome::Committed { mark } => self.committed(now, pending, mark),
            Outcome::Lost => {
                // It may have been executed, or may be yet. Sending the same again with the same
                // guards settles it: only one of the copies can ever take effect.
                pending.doubted = true;
                pending.retry_at = Some(now + Span::millis(250));
                self.txns.insert(id, pending);
            }
            Outcome::Refused if pending.doubted => {
                pending.retry_at = Some(now + Span::millis(500));
                self.txns.insert(id, pending);
            }
            Outcome::Refused => {
                self.stalled_until = now + Span::millis(300);
                self.failed(now, pending);
            }
            Outcome::Conflict { failed } => {
                if failed.iter().any(|k| k == keys::LEADER) {
                    self.out.push(Command::StepDown("another node holds the leader key"));
                    self.failed(now, pending);
                    return;
                }
                let chunk_failed = failed.iter().find(|k| k.starts_with(keys::RUN)).cloned();
                let ended: Vec<String> = failed
                    .iter()
                    .filter_map(|k| k.strip_prefix(keys::END).map(str::to_owned))
                    .collect();
                match chunk_failed {
                    Some(key) => {
                        // With a doubted transaction, most likely its own first copy: the value
                        // tells. Until it is read the outcome stays open.
                        for name in ended {
                            self.job_over(now, &name);
                        }
                        self.out.push(Command::Read { id, key });
                        self.txns.insert(id, pending);
                    }
                    None => {
                        for name in &ended {
                            self.job_over(now, name);
                        }
                        self.failed(now, pending);
                    }
                }
            }
        }
    }

    /// The answer to a [`Command::Read`]: the value and mark (0: no such key), or nothing.
    pub fn read_answer(&mut self, now: Time, id: u64, answer: Option<(Value, u64)>) {
        let Some(mut pending) = self.txns.remove(&id) else { return };
        match answer {
            None => {
                pending.retry_at = Some(now + Span::millis(500));
                pending.doubted = true;
                self.txns.insert(id, pending);
            }
            Some((value, mark)) if value["w"] == pending.nonce.as_str() => {
                self.committed(now, pending, mark);
            }
            Some(_) => {
                // Under this term only this book writes chunks, so a strange value means that
                // the book is not what is stored. Reading everything again is the safe way.
                self.out.push(Command::StepDown("a stored chunk differs from the book"));
                self.failed(now, pending);
            }
        }
    }

    fn committed(&mut self, now: Time, pending: PendingTxn, mark: u64) {
        self.stalled_until = Time(0);
        for &(ix, chunk) in &pending.chunks {
            if let Some(job) = self.jobs.get_mut(&ix) {
                job.chunks[chunk].mark = mark;
                job.chunks[chunk].in_flight = false;
            }
        }
        for &(ix, index) in &pending.finishes {
            if let Some(job) = self.jobs.get_mut(&ix) {
                job.recorded[index as usize] = true;
            }
        }
        for &id in &pending.starts {
            self.send_start(id);
        }
        if let Some(ix) = pending.end {
            if let Some(job) = self.jobs.get_mut(&ix) {
                job.over = true;
                let deadline = job.spec.deadline_s.map(|d| format!(" of {d:.0} s"));
                let text = format!(
                    "{} is done after {:.1} s{}: class {}, {} tasks, estimate {:.0} s, ran {:.0} s",
                    job.name,
                    now.since(job.accepted).as_secs(),
                    deadline.unwrap_or_default(),
                    job.spec.class,
                    job.spec.tasks,
                    job.spec.estimate_s,
                    job.run_times.0 / f64::from(job.run_times.1.max(1)),
                );
                self.note(text);
            }
        }
        if let Some((ix, last)) = pending.cleanup {
            if last {
                if let Some(job) = self.jobs.remove(&ix) {
                    self.by_ref.remove(&job.name);
                }
            } else if let Some(job) = self.jobs.get_mut(&ix) {
                job.dropping = false;
            }
        }
        self.dirty = true;
    }

    /// A written start joins its machine's next message.
    fn send_start(&mut self, id: TaskId) {
        let Some(job) = self.job(id.0) else { return };
        let task = job.tasks[id.1 as usize];
        if task.phase == Phase::Dispatching && task.token == 0 {
            self.machines[task.machine as usize].starting.push(id);
        }
    }

    /// The last look at the starts that wait for a machine's next message. Those that may still
    /// go are marked as sent with the very token of the message; a start that is given its token
    /// any earlier could be proven absent by a report while it still waits here.
    fn last_look(
        &mut self,
        now: Time,
        m: MachineIx,
        sending: bool,
    ) -> (Vec<(TaskId, u32)>, Vec<Call>) {
        let machine = &self.machines[m as usize];
        let open = machine.state == MachineState::Up
            && machine.notice.is_none()
            && machine.draining.is_none();
        if machine.starting.is_empty() || (open && !sending) {
            return (Vec::new(), Vec::new());
        }
        let (token, session) = (machine.token(self.term), machine.session);
        let (mut ids, mut calls) = (Vec::new(), Vec::new());
        for id in std::mem::take(&mut self.machines[m as usize].starting) {
            let Some(job) = self.job(id.0) else { continue };
            let task = job.tasks[id.1 as usize];
            if task.phase != Phase::Dispatching || task.token != 0 || task.machine != m {
                continue;
            }
            if job.over || !open || task.session != session {
                // Recorded, never sent and never to be sent: absent by this book's own doing.
                self.step(now, id, Input::Absent);
                continue;
            }
            let name = format!("{}/{}", job.name, id.1);
            calls.push(Call::Run { task: name, attempt: u64::from(task.attempt) });
            ids.push((id, task.attempt));
            self.step(now, id, Input::Send { token });
        }
        if !ids.is_empty() {
            let machine = &mut self.machines[m as usize];
            machine.start_token = machine.start_token.max(token);
        }
        (ids, calls)
    }

    /// The transaction certainly had no effect: what it would have started is pending again.
    fn failed(&mut self, now: Time, pending: PendingTxn) {
        for &(ix, chunk) in &pending.chunks {
            if let Some(job) = self.jobs.get_mut(&ix) {
                job.chunks[chunk].in_flight = false;
                job.chunks[chunk].dirty.get_or_insert(now);
            }
        }
        for &id in &pending.starts {
            self.step(now, id, Input::Retract);
        }
        if let Some(ix) = pending.end {
            if let Some(job) = self.jobs.get_mut(&ix) {
                job.ending = false;
            }
        }
        if let Some((ix, _)) = pending.cleanup {
            if let Some(job) = self.jobs.get_mut(&ix) {
                job.dropping = false;
                // Which chunks still exist is not known any more; dropping a key that does not
                // exist does no harm.
                for chunk in &mut job.chunks {
                    chunk.mark = chunk.mark.max(1);
                }
            }
        }
        self.dirty = true;
    }

    // ---- workers --------------------------------------------------------------------------

    /// Sends what waits for workers: one message under way per worker.
    fn flush(&mut self, now: Time) {
        let term = self.term;
        let overdue = self.site.report.scale(OVERDUE);
        for ix in 0..self.machines.len() {
            let m = &self.machines[ix];
            // A machine of the last leader's that has not reported yet is asked at its listed
            // address, so that a take-over doesn't wait for its next report.
            let known = m.state == MachineState::Up
                || (m.state == MachineState::Booting && !m.tasks.is_empty());
            let can_send = known && !m.busy && now >= m.retry_at && !m.address.is_empty();
            // A fence that was raised for a lost send, or a new term, is shown to the worker at
            // once instead of with its next report.
            let unseen = m.seen_token < m.token(term) && !m.tasks.is_empty();
            // One that missed a report is asked: if it answers it is not silent, and if it doesn't
            // it can be given up sooner.
            let missed = m.state == MachineState::Up && now.since(m.last_report) > overdue;
            let (ids, starts) = self.last_look(now, ix as MachineIx, can_send);
            let m = &mut self.machines[ix];
            if !can_send || (m.outbox.is_empty() && starts.is_empty() && !unseen && !missed) {
                continue;
            }
            m.busy = true;
            m.in_message = ids;
            let mut calls = std::mem::take(&mut m.outbox);
            calls.extend(starts);
            let command = Command::Direct {
                machine: ix as MachineIx,
                address: m.address.clone(),
                token: m.token(term),
                session: m.session,
                calls,
            };
            self.out.push(command);
        }
    }

    /// The answer to a [`Command::Direct`].
    pub fn direct_answer(&mut self, now: Time, m: MachineIx, outcome: DirectOutcome) {
        let Some(machine) = self.machines.get_mut(m as usize) else { return };
        machine.busy = false;
        let starts = std::mem::take(&mut machine.in_message);
        match outcome {
            DirectOutcome::Answered(report) => {
                if report.machine == machine.name {
                    self.evidence(now, &report);
                } else {
                    machine.retry_at = now + Span::secs(1);
                }
            }
            DirectOutcome::NotSent => {
                machine.retry_at = now + Span::millis(1_000);
                // There was no connection, so nothing left this process and nothing ever will:
                // these starts are absent by this book's own doing.
                // Only the attempt that the message held, though: the machine may have been returned
                // meanwhile and the task be running elsewhere under its next attempt. (Seen on a
                // rough day: such a task was taken for absent and started a second time.)
                for (id, attempt) in starts {
                    let same = self.job(id.0).is_some_and(|j| {
                        let t = &j.tasks[id.1 as usize];
                        t.attempt == attempt && t.machine == m
                    });
                    if same {
                        self.step(now, id, Input::Absent);
                    }
                }
            }
            DirectOutcome::Lost => {
                // The message may be executed minutes later. Raising the fence makes sure that a
                // report that has seen the new number proves that the old message never will be.
                machine.fence += 1;
                machine.retry_at = now + Span::millis(1_500);
            }
        }
    }

    /// A worker's report. `None`: this node is not entitled to answer it.
    pub fn report(&mut self, now: Time, report: &Report) -> Option<(u64, Vec<Call>)> {
        if crate::leadership::term_of(report.token) > self.term {
            self.out.push(Command::StepDown("a worker has seen a newer term"));
            return None;
        }
        let m = self.evidence(now, report);
        let machine = &self.machines[m as usize];
        if matches!(machine.state, MachineState::Gone) {
            return Some((machine.token(self.term), Vec::new()));
        }
        let calls = self.calls_for(m, report);
        let machine = &self.machines[m as usize];
        Some((machine.token(self.term), calls))
    }

    /// What the worker should still do about the tasks it reports: stop those that have no
    /// business there and forget those whose end is recorded. Both can be repeated.
    fn calls_for(&mut self, m: MachineIx, report: &Report) -> Vec<Call> {
        let mut calls = Vec::new();
        let mut reaps = Vec::new();
        for entry in &report.tasks {
            let place = self.locate(m, entry);
            if entry.state == TaskStage::Exited {
                let keep = match place {
                    Place::Ours(id) => self.job(id.0).is_some_and(|j| {
                        !j.over
                            && (j.tasks[id.1 as usize].phase != Phase::Done
                                || !j.recorded[id.1 as usize])
                    }),
                    Place::Strange => false,
                };
                if !keep {
                    reaps.push(Call::Reap { task: entry.task.clone(), attempt: entry.attempt });
                }
            } else {
                let grace = match place {
                    Place::Strange => Some(0.0),
                    Place::Ours(id) => self.job(id.0).and_then(|j| {
                        if j.over {
                            Some(0.0)
                        } else if j.tasks[id.1 as usize].phase == Phase::Stopping {
                            Some(grace_of(&j.spec))
                        } else {
                            None
                        }
                    }),
                };
                if let Some(grace_s) = grace {
                    calls.push(Call::Kill {
                        task: entry.task.clone(),
                        attempt: entry.attempt,
                        grace_s,
                    });
                }
            }
        }
        if !reaps.is_empty() {
            let machine = &mut self.machines[m as usize];
            // After a reap the worker has forgotten the attempt, so a copy of its start that is
            // still under way somewhere would run it again. A reap therefore always travels with
            // a token above that of every start sent before.
            if machine.token(self.term) <= machine.start_token && !machine.busy {
                machine.fence += 1;
            }
            if machine.token(self.term) > machine.start_token {
                calls.extend(reaps);
            }
        }
        calls
    }

    fn locate(&self, m: MachineIx, entry: &wire::TaskReport) -> Place {
        let Some((name, index)) = wire::split_task(&entry.task) else { return Place::Strange };
        let Some(&ix) = self.by_ref.get(name) else { return Place::Strange };
        let Some(job) = self.job(ix) else { return Place::Strange };
        match job.tasks.get(index as usize) {
            Some(t)
                if u64::from(t.attempt) == entry.attempt
                    && t.machine == m
                    && t.phase != Phase::Pending =>
            {
                Place::Ours((ix, index))
            }
            _ => Place::Strange,
        }
    }

    /// Merges a report into the book. Older reports add evidence and take none away.
    fn evidence(&mut self, now: Time, report: &Report) -> MachineIx {
        let m = self.machine_named(now, &report.machine);
        let newer = {
            let known = &self.machines[m as usize];
            (report.session, report.seq) > (known.session, known.seq)
        };
        if self.machines[m as usize].state == MachineState::Gone {
            return m;
        }
        // A finish is a finish, however late the report that tells it.
        for entry in &report.tasks {
            if entry.state == TaskStage::Exited && entry.cause == Some(Cause::Done) {
                if let Some((name, index)) = wire::split_task(&entry.task) {
                    if let Some(&ix) = self.by_ref.get(name) {
                        self.finish(now, (ix, index), m, entry.attempt);
                    }
                }
            }
        }
        if !newer {
            return m;
        }
        self.adopt(now, m, report);
        let mut seen: HashMap<(&str, u32), &wire::TaskReport> = HashMap::new();
        let mut foreign = 0;
        for entry in &report.tasks {
            if let Some(key) = wire::split_task(&entry.task) {
                let better = seen.get(&key).is_none_or(|old| old.attempt < entry.attempt);
                if better {
                    seen.insert(key, entry);
                }
            }
            if entry.state != TaskStage::Exited && self.locate(m, entry) == Place::Strange {
                foreign += 1;
            }
        }
        let mine: Vec<TaskId> = self.machines[m as usize].tasks.iter().copied().collect();
        let mut changed = foreign != self.machines[m as usize].foreign;
        self.machines[m as usize].foreign = foreign;
        for id in mine {
            let Some(job) = self.job(id.0) else { continue };
            let task = job.tasks[id.1 as usize];
            let entry = seen
                .get(&(job.name.as_str(), id.1))
                .filter(|e| e.attempt == u64::from(task.attempt));
            match entry {
                Some(e) if e.state == TaskStage::Exited => {
                    changed = true;
                    self.exited(now, id, m, e.cause.unwrap_or(Cause::Other));
                }
                Some(e) => {
                    if e.state == TaskStage::Running {
                        let image = job.spec.image.clone();
                        if let Some(job) = self.jobs.get_mut(&id.0) {
                            job.started.entry(id.1).or_insert(now);
                        }
                        self.has_image(m, image);
                    }
                    self.step(now, id, Input::Seen);
                }
                None => {
                    // An absent task proves nothing while its start may still be under way:
                    // the worker must have moved on to a later session, or have seen a token
                    // above the one that the start carries.
                    let proven = task.token != 0
                        && (report.session > task.session || report.token > task.token);
                    if proven {
                        changed = true;
                        self.step(now, id, Input::Absent);
                    }
                }
            }
        }
        // A confirmed task that is missing under the very token it was sent with is strange;
        // a raised fence turns the next report into proof.
        let machine = &self.machines[m as usize];
        let doubt = machine.tasks.iter().any(|id| {
            self.job(id.0).is_some_and(|j| {
                let t = &j.tasks[id.1 as usize];
                t.token != 0
                    && t.token == machine.token(self.term)
                    && !machine.busy
                    && !seen.contains_key(&(j.name.as_str(), id.1))
            })
        });
        if doubt {
            self.machines[m as usize].fence += 1;
        }
        self.dirty |= changed;
        m
    }

    fn adopt(&mut self, now: Time, m: MachineIx, report: &Report) {
        let kind = self.types.iter().position(|t| t.name == report.kind);
        let term = self.term;
        let machine = &mut self.machines[m as usize];
        if report.session > machine.session {
            // A new session begins without tasks, and without messages meant for the old one.
            machine.outbox.clear();
        }
        let first = machine.seen_token < token(term, 0);
        machine.session = report.session;
        machine.seq = report.seq;
        machine.seen_token = machine.seen_token.max(report.token);
        machine.address.clone_from(&report.address);
        machine.kind = kind;
        machine.spot = report.spot;
        machine.last_report = now;
        if machine.state == MachineState::Booting {
            machine.state = MachineState::Up;
            machine.idle_since = now;
            self.dirty = true;
        }
        if machine.zone != report.zone {
            // Tasks loaded before the machine was known were counted under no zone.
            let old = std::mem::replace(&mut machine.zone, report.zone.clone());
            let tasks: Vec<TaskId> = machine.tasks.iter().copied().collect();
            self.rezone(&tasks, &old, &report.zone);
        }
        let machine = &mut self.machines[m as usize];
        let notice = report.notice_s.map(|s| now + Span::from_secs(s));
        if notice.is_some() && machine.notice.is_none() {
            self.dirty = true;
            let name = machine.name.clone();
            machine.notice = notice;
            self.note(format!("{name} will be taken by the cloud"));
        } else {
            machine.notice = notice.or(machine.notice);
        }
        let machine = &self.machines[m as usize];
        if first && machine.seen_token >= token(term, 0) {
            self.dirty = true;
        }
    }

    pub(crate) fn rezone(&mut self, tasks: &[TaskId], old: &str, new: &str) {
        for id in tasks {
            if let Some(job) = self.jobs.get_mut(&id.0) {
                if let Some(n) = job.zones.get_mut(old) {
                    *n -= 1;
                    if *n == 0 {
                        job.zones.remove(old);
                    }
                }
                *job.zones.entry(new.to_owned()).or_default() += 1;
            }
        }
    }

    fn has_image(&mut self, m: MachineIx, image: String) {
        let images = &mut self.machines[m as usize].images;
        if images.last() != Some(&image) {
            images.retain(|i| *i != image);
            images.push(image);
            if images.len() > 32 {
                images.remove(0);
            }
        }
    }

    fn finish(&mut self, now: Time, id: TaskId, m: MachineIx, attempt: u64) {
        let Some(job) = self.job(id.0) else { return };
        let Some(task) = job.tasks.get(id.1 as usize) else { return };
        if task.phase == Phase::Done || attempt > u64::from(task.attempt) {
            return;
        }
        let here = task.machine == m && u64::from(task.attempt) == attempt;
        if task.phase.placed() && !here {
            // An older attempt finished after all. The newer one is of no use: it is stopped
            // first, and only its proven absence lets the book forget it.
            if task.token != 0 || task.phase != Phase::Dispatching {
                self.stop(now, id, 0.0);
            }
            return;
        }
        if here {
            if let Some(&began) = job.started.get(&id.1) {
                let ran = now.since(began).as_secs();
                let (class, estimate) = (job.spec.class.clone(), job.spec.estimate_s);
                let slot = self.ratios.entry(class).or_insert((0.0, 0.0));
                if estimate > 0.0 && ran > 0.0 {
                    slot.0 = slot.0 * 0.98 + (ran / estimate).clamp(0.05, 20.0).ln();
                    slot.1 = slot.1 * 0.98 + 1.0;
                }
                if let Some(job) = self.jobs.get_mut(&id.0) {
                    job.run_times.0 += ran;
                    job.run_times.1 += 1;
                }
            }
        }
        self.step(now, id, Input::Finish);
    }

    /// A task's attempt ended on its machine for another reason than completion.
    fn exited(&mut self, now: Time, id: TaskId, m: MachineIx, cause: Cause) {
        if cause == Cause::Done {
            return;
        }
        self.step(now, id, Input::Absent);
        let tun = self.tun.clone();
        let Some(job) = self.jobs.get_mut(&id.0) else { return };
        match cause {
            Cause::Error | Cause::Unknown | Cause::Other => {
                job.errors += 1;
                job.error_machines.insert(m);
                // A job that fails on machine after machine is at fault itself: it is tried at
                // ever longer intervals and no machine is blamed for it.
                let suspect = job.error_machines.len() >= 3;
                let wait = 1u64 << job.errors.min(5);
                if suspect {
                    job.not_before = now + Span::secs(wait);
                }
                let name = job.name.clone();
                self.note(format!("{name}/{} failed on {}", id.1, self.machines[m as usize].name));
                let machine = &mut self.machines[m as usize];
                if !suspect {
                    machine.failures.insert(id.0);
                }
                let bad = machine.failures.len() as u32 >= tun.sick_after
                    || (machine.failures.len() >= 2 && machine.images.is_empty());
                if bad && machine.draining.is_none() {
                    machine.draining = Some("fails the tasks of several jobs");
                    let name = machine.name.clone();
                    self.note(format!("{name} is drained: it fails the tasks of several jobs"));
                }
            }
            Cause::NoRoom | Cause::InUse => {
                job.not_before = now + Span::millis(500);
            }
            Cause::Stopped | Cause::Done => {}
        }
    }

    /// Settles starts that no receipt confirmed by their deadline, and gives machines up that
    /// stay silent. Neither makes a task free: only proof does.
    fn settle(&mut self, now: Time) {
        let limit = self.site.lease + self.tun.settle_margin;
        let mut late = Vec::new();
        for m in &self.machines {
            if m.tasks.is_empty() || now.since(m.last_report) < self.site.report {
                continue;
            }
            for &id in &m.tasks {
                if let Some(job) = self.job(id.0) {
                    let t = &job.tasks[id.1 as usize];
                    if t.phase == Phase::Dispatching && t.token != 0 && now.since(t.since) >= limit
                    {
                        late.push(id);
                    }
                }
            }
        }
        for id in late {
            if self.step(now, id, Input::Settle) {
                let Some(job) = self.job(id.0) else { continue };
                let text = format!("start of {}/{} is unconfirmed: unknown", job.name, id.1);
                self.note(text);
            }
        }
    }

    /// The machine and all that was on it are certainly gone.
    pub fn machine_gone(&mut self, now: Time, name: &str) {
        let Some(&m) = self.by_name.get(name) else { return };
        let machine = &mut self.machines[m as usize];
        if machine.state == MachineState::Gone {
            return;
        }
        machine.state = MachineState::Gone;
        machine.outbox.clear();
        // Starts that waited for the next message to it are never sent.
        self.last_look(now, m, false);
        let machine = &self.machines[m as usize];
        let tasks: Vec<TaskId> = machine.tasks.iter().copied().collect();
        self.lost_with_machine(now, &tasks);
        self.dirty = true;
    }

    /// The tasks' machine has certainly stopped, and they with it.
    pub(crate) fn lost_with_machine(&mut self, now: Time, tasks: &[TaskId]) {
        for &id in tasks {
            let unsent = self.job(id.0).is_some_and(|j| {
                let t = &j.tasks[id.1 as usize];
                t.phase == Phase::Dispatching && t.token == 0
            });
            // An unsent start is settled by the answer to its own write.
            if !unsent {
                self.step(now, id, Input::Absent);
            }
        }
    }

    /// Tasks of the job that are done and that run, for display.
    pub fn counts(&self, ix: JobIx) -> Option<(u32, u32)> {
        let job = self.job(ix)?;
        Some((job.done, job.started.len() as u32))
    }
}

/// What a stopped task may take to save itself.
pub fn grace_of(spec: &JobSpec) -> f64 {
    if spec.checkpoint_s > 0.0 {
        spec.save_s
    } else {
        0.0
    }
}

#[derive(Debug, PartialEq, Eq, Clone, Copy)]
enum Place {
    Ours(TaskId),
    Strange,
}

#[derive(Default)]
struct Batch {
    txn: Txn,
    bytes: usize,
    chunks: Vec<(JobIx, usize)>,
    starts: Vec<TaskId>,
    finishes: Vec<TaskId>,
    end: Option<JobIx>,
    cleanup: Option<(JobIx, bool)>,
}

fn read_record(record: &Value) -> Option<(Phase, u32, &str, u64)> {
    let items = match record {
        Value::Number(_) => return Some((Phase::Pending, 1, "", 0)),
        Value::Array(items) => items,
        _ => return None,
    };
    let phase = Phase::from_code(items.first()?.as_u64()?)?;
    let attempt = u32::try_from(items.get(1)?.as_u64()?).ok()?;
    if !phase.placed() {
        return Some((phase, attempt, "", 0));
    }
    Some((phase, attempt, items.get(2)?.as_str()?, items.get(3)?.as_u64()?))
}
