//! Rounds: what was decided is written before anything is sent, and sent once it is written.

use crate::book::{Command, JobIx, MachineState, Outcome, Scheduler, TaskId, PLACED_UNIT};
use crate::job::keys;
use crate::task::{Input, MachineIx, Phase};
use crate::time::{Span, Time};
use crate::wire::{Call, Change, Guard, Txn};
use serde_json::{json, Value};

const MAX_TXN_BYTES: usize = 40 * 1024;
/// The part of the write allowance that evidence and clean-up leave to starts and ends.
const KEEP_FOR_STARTS: f64 = 0.4;
/// Times its delay after which evidence waits for nothing any more.
const OVERDUE_EVIDENCE: u64 = 5;

/// How often every machine is looked at for what time alone brings: an overdue report, a deadline,
/// the end of a pause. What events bring is looked at when they come.
const SWEEP_EVERY: Span = Span::millis(200);

/// Changes written since it was told last, by kind.
#[derive(Debug, Default)]
pub(crate) struct Tally {
    pub starts: usize,
    pub evidence: usize,
    pub ends: usize,
    pub drops: usize,
    pub jobs: usize,
    /// Tasks placed, and how many of them where their image is known to be.
    pub placed: usize,
    pub cached: usize,
}

/// What one transaction writes, and what its outcome decides.
#[derive(Default)]
struct Batch {
    txn: Txn,
    bytes: usize,
    chunks: Vec<(JobIx, usize)>,
    starts: Vec<TaskId>,
    finishes: Vec<TaskId>,
    ends: Vec<JobIx>,
    /// Jobs whose records go, and whether these are the last of them.
    cleanups: Vec<(JobIx, bool)>,
    /// Evidence and clean-up alone: nothing waits for it.
    lazy: bool,
}

impl Batch {
    fn full(&self, most: usize) -> bool {
        self.txn.apply.len() >= most || self.bytes > MAX_TXN_BYTES
    }
}

/// A transaction whose outcome is open.
pub(crate) struct PendingTxn {
    batch: Batch,
    nonce: String,
    retry_at: Option<Time>,
    /// An answer was lost at least once, so that a conflict may be with its own earlier copy.
    doubted: bool,
}

impl Scheduler {
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
                let txn = t.batch.txn.clone();
                self.out.push(Command::Commit { id, txn });
            }
        }
        let sweep = now.since(self.last_sweep) >= SWEEP_EVERY;
        if sweep {
            self.last_sweep = now;
            self.settle(now);
        }
        if self.in_office
            && now >= self.stalled_until
            && now.since(self.last_round) >= self.tun.round_every
            && self.txns.len() < self.tun.txns_in_flight as usize
            && self.writes_left(0.0) >= 1
        {
            self.last_round = now;
            if self.dirty {
                self.dirty = false;
                self.place(now);
            }
            self.write_round(now);
        }
        self.flush(now, sweep);
    }

    /// Writes what the round decided, starts and ends first, as few transactions as the limits
    /// allow. What finds no room waits for the next round, which takes more at once. (Evidence and
    /// clean-up once went out beside the starts: at 20 changes a second they took most of it, and a
    /// start or an acceptance waited whole seconds.)
    fn write_round(&mut self, now: Time) {
        let ops = self.site.txn_ops.max(1);
        let most = self.tun.txns_in_flight as usize;
        let mut starts: Vec<(std::cmp::Reverse<crate::job::Rank>, Time, JobIx, usize)> = Vec::new();
        let mut ends: Vec<JobIx> = Vec::new();
        let mut lazy: Vec<(Time, JobIx, usize)> = Vec::new();
        let mut over: Vec<JobIx> = Vec::new();
        for (&ix, job) in &self.jobs {
            if job.over {
                over.push(ix);
                continue;
            }
            if job.done == job.spec.tasks {
                if !job.ending && !job.chunks.iter().any(|c| c.in_flight) {
                    ends.push(ix);
                }
                continue;
            }
            for (chunk, c) in job.chunks.iter().enumerate().filter(|(_, c)| !c.in_flight) {
                if let Some(due) = c.start_due {
                    starts.push((std::cmp::Reverse(job.spec.rank), due, ix, chunk));
                } else if let Some(since) = c.evidence {
                    if now.since(since) >= self.tun.evidence_delay {
                        lazy.push((since, ix, chunk));
                    }
                }
            }
        }
        for some in ends.chunks(ops) {
            let room = self.writes_left(0.0).min(some.len());
            if self.txns.len() < most && room > 0 {
                self.write_ends(&some[..room]);
            }
        }
        starts.sort_unstable();
        let mut starts = starts.into_iter().peekable();
        while starts.peek().is_some() {
            let room = self.writes_left(0.0).min(ops);
            if self.txns.len() >= most || room == 0 {
                self.dirty = true;
                break;
            }
            let mut batch = Batch::default();
            while !batch.full(room) {
                let Some((_, _, ix, chunk)) = starts.next() else { break };
                self.add_chunk(&mut batch, ix, chunk);
            }
            self.commit(batch);
        }
        if lazy.is_empty() && over.is_empty() {
            return;
        }
        lazy.sort_unstable();
        let limit = Span(self.tun.evidence_delay.0.saturating_mul(OVERDUE_EVIDENCE));
        let overdue = lazy.first().is_some_and(|l| now.since(l.0) > limit);
        let keep = if overdue { 0.0 } else { KEEP_FOR_STARTS };
        let room = self.writes_left(keep).min(ops);
        let under_way = self.txns.values().any(|t| t.batch.lazy);
        if room == 0 || under_way || self.txns.len() >= most {
            return;
        }
        let mut batch = Batch { lazy: true, ..Batch::default() };
        for (_, ix, chunk) in lazy {
            if batch.full(room) {
                break;
            }
            self.add_chunk(&mut batch, ix, chunk);
        }
        for ix in over {
            if batch.full(room) {
                break;
            }
            self.clean_up(&mut batch, ix, room);
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
                    let placed = task.placed_at.since(job.accepted).0 / PLACED_UNIT.0;
                    records.push(json!([phase.code(), task.attempt, name, task.session, placed]));
                }
            }
        }
        let key = keys::run(&job.name, chunk);
        let value = json!({"w": nonce, "t": records});
        batch.bytes += value.to_string().len() + key.len() * 2 + 64;
        let state = &mut job.chunks[chunk];
        state.in_flight = true;
        if state.start_due.take().is_some() {
            self.tally.starts += 1;
        } else {
            self.tally.evidence += 1;
        }
        state.evidence = None;
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
        let mut batch = batch;
        self.spend_writes(batch.txn.apply.len());
        batch.txn.guards.insert(0, Guard { key: keys::LEADER.into(), mark: self.term });
        self.out.push(Command::Commit { id, txn: batch.txn.clone() });
        self.txns.insert(id, PendingTxn { batch, nonce, retry_at: None, doubted: false });
    }

    /// All tasks are done: the jobs' ends, each written once by whoever comes first.
    fn write_ends(&mut self, jobs: &[JobIx]) {
        let mut batch = Batch::default();
        for &ix in jobs {
            let Some(job) = self.jobs.get_mut(&ix) else { continue };
            job.ending = true;
            let key = keys::end(&job.name);
            batch.txn.guards.push(Guard { key: key.clone(), mark: 0 });
            batch.txn.apply.push(Change::put(key, json!("done")));
            batch.ends.push(ix);
        }
        self.tally.ends += batch.ends.len();
        self.commit(batch);
    }

    /// Drops the records of a job that is over, once nothing of it can be anywhere. The
    /// description goes last, so that a chunk never outlives it.
    fn clean_up(&mut self, batch: &mut Batch, ix: JobIx, most: usize) {
        let Some(job) = self.jobs.get_mut(&ix) else { return };
        if job.dropping || job.placed > 0 || job.chunks.iter().any(|c| c.in_flight) {
            return;
        }
        job.dropping = true;
        let before = batch.txn.apply.len();
        for (i, chunk) in job.chunks.iter_mut().enumerate() {
            if chunk.mark > 0 && !batch.full(most) {
                batch.txn.apply.push(Change::drop(keys::run(&job.name, i)));
                chunk.mark = 0;
            }
        }
        let last = !job.chunks.iter().any(|c| c.mark > 0) && !batch.full(most);
        if last {
            batch.txn.apply.push(Change::drop(keys::todo(&job.name)));
            self.tally.jobs += 1;
        }
        batch.cleanups.push((ix, last));
        self.tally.drops += batch.txn.apply.len() - before;
    }

    /// The answer to a [`Command::Commit`].
    pub fn txn_answer(&mut self, now: Time, id: u64, outcome: Outcome) {
        let Some(mut pending) = self.txns.remove(&id) else { return };
        match outcome {
            Outcome::Committed { mark } => self.committed(now, pending.batch, mark),
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
                self.failed(now, pending.batch);
            }
            Outcome::Conflict { failed } => {
                if failed.iter().any(|k| k == keys::LEADER) {
                    self.out.push(Command::StepDown("another node holds the leader key"));
                    self.failed(now, pending.batch);
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
                        self.failed(now, pending.batch);
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
                self.committed(now, pending.batch, mark);
            }
            Some(_) => {
                // Under this term only this book writes chunks, so a strange value means that
                // the book is not what is stored. Reading everything again is the safe way.
                self.out.push(Command::StepDown("a stored chunk differs from the book"));
                self.failed(now, pending.batch);
            }
        }
    }

    fn committed(&mut self, now: Time, done: Batch, mark: u64) {
        self.stalled_until = Time(0);
        for &(ix, chunk) in &done.chunks {
            if let Some(job) = self.jobs.get_mut(&ix) {
                job.chunks[chunk].mark = mark;
                job.chunks[chunk].in_flight = false;
            }
        }
        for &(ix, index) in &done.finishes {
            if let Some(job) = self.jobs.get_mut(&ix) {
                job.recorded[index as usize] = true;
            }
        }
        for &id in &done.starts {
            self.send_start(id);
        }
        for ix in done.ends {
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
        for (ix, last) in done.cleanups {
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
            self.attend(task.machine);
        }
    }

    /// The last look at the starts that wait for a machine's next message. Those that may still
    /// go are marked as sent with the very token of the message; a start that is given its token
    /// any earlier could be proven absent by a report while it still waits here.
    pub(crate) fn last_look(
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
    fn failed(&mut self, now: Time, failed: Batch) {
        for &(ix, chunk) in &failed.chunks {
            if let Some(job) = self.jobs.get_mut(&ix) {
                job.chunks[chunk].in_flight = false;
                job.chunks[chunk].evidence.get_or_insert(now);
            }
        }
        for &id in &failed.starts {
            self.step(now, id, Input::Retract);
        }
        for ix in failed.ends {
            if let Some(job) = self.jobs.get_mut(&ix) {
                job.ending = false;
            }
        }
        for (ix, _) in failed.cleanups {
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
}
