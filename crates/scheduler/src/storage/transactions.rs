//! Rounds: what was decided is written before anything is sent, and sent once it is written.

use crate::command::{Command, TransactionOutcome};
use crate::leadership::fencing_token::FencingToken;
use crate::model::ids::{Attempt, JobIndex, MachineIndex};
use crate::storage::revision::Revision;
use std::collections::BTreeMap;

use serde_json::Value;

use crate::event::{Event, JobDone, WriteCounts};
use crate::model::job::TaskId;
use crate::model::job_spec::JobEnd;
use crate::model::job_state::JobEvent;
use crate::model::machine::MachineState;
use crate::model::task::{TaskEvent, TaskPhase};
use crate::protocol::key_value::{Compare, Operation, Transaction};
use crate::protocol::workers::WorkerCommand;
use crate::scheduler::Scheduler;
use crate::storage::document::Document;
use crate::storage::keys;
use crate::time::{TimeDelta, Timestamp};

const MAX_TRANSACTION_BYTES: usize = 40 * 1024;
/// The part of the write allowance that unpersisted_since and clean-up leave to starts and ends.
const KEEP_FOR_STARTS: f64 = 0.4;
/// Times its delay after which unpersisted_since waits for nothing any more.
const OVERDUE_STATUS_WRITE: u64 = 5;

/// How often every machine is looked at for what time alone brings: an overdue report, a deadline,
/// the end of a pause. What events bring is looked at when they come.
const SWEEP_EVERY: TimeDelta = TimeDelta::from_millis(200);

/// What one transaction writes, and what its outcome decides.
#[derive(Default)]
struct Batch {
    transaction: Transaction,
    bytes: usize,
    /// Chunks written, whole or in part.
    chunks: Vec<(JobIndex, usize)>,
    /// What was written of each: its first task, if it is a part.
    written: Vec<(JobIndex, usize, Option<u32>)>,
    /// All tasks whose records were written anew.
    changed: Vec<TaskId>,
    starts: Vec<TaskId>,
    finishes: Vec<TaskId>,
    ends: Vec<(JobIndex, JobEnd)>,
    /// Jobs whose records go.
    cleanups: Vec<RecordCleanup>,
    /// Evidence and clean-up alone: nothing waits for it.
    background: bool,
}

/// What goes of a job's records.
struct RecordCleanup {
    job: JobIndex,
    /// Whether these are the last of them.
    last: bool,
    /// Parts of chunks, by chunk and first task.
    parts: Vec<(usize, u32)>,
}

impl Batch {
    fn full(&self, most: usize) -> bool {
        self.transaction.operations.len() >= most || self.bytes > MAX_TRANSACTION_BYTES
    }
}

/// A transaction whose outcome is open.
pub(crate) struct InFlightTransaction {
    batch: Batch,
    nonce: String,
    retry_at: Option<Timestamp>,
    /// An answer was lost at least once, so that a conflict may be with its own earlier copy.
    indeterminate: bool,
    /// It is over the service's limits by now, so that none of its copies takes effect any more.
    too_large: bool,
}

impl InFlightTransaction {
    /// Whether the mark is the one that a record of it had before.
    fn expects(&self, revision: Revision) -> bool {
        self.batch
            .transaction
            .compares
            .iter()
            .any(|g| g.key.starts_with(keys::RUN) && g.revision == revision)
    }
}

/// What the key-value store takes at once.
#[derive(Debug, Clone, Copy)]
pub(crate) struct Limits {
    pub(crate) value_bytes: usize,
    pub(crate) txn_ops: usize,
}

/// The transactions whose outcome is open, and what may be written beside them.
pub(crate) struct Transactions {
    pub(crate) in_flight: BTreeMap<u64, InFlightTransaction>,
    pub(crate) next_id: u64,
    /// The store refused the last write: nothing is decided until it answers again.
    pub(crate) paused_until: Timestamp,
    /// The largest value and the most operations of a transaction that the store takes now, as far as
    /// is known.
    pub(crate) limits: Limits,
    /// Operations that the write rate has room for now, and at most; `None`: any.
    allowance: Option<(f64, f64)>,
    /// Chunks with planned starts that are not on their way to the store.
    pub(crate) planned_chunks: usize,
    pub(crate) counts: WriteCounts,
}

impl Transactions {
    /// With nothing in flight.
    pub(crate) fn new(limits: Limits) -> Transactions {
        Transactions {
            in_flight: BTreeMap::new(),
            next_id: 1,
            paused_until: Timestamp(0),
            limits,
            allowance: None,
            planned_chunks: 0,
            counts: WriteCounts::default(),
        }
    }

    /// Tells what the key-value store takes at once; it may become less at any time.
    pub fn set_limits(&mut self, value_bytes: usize, txn_ops: usize) {
        self.limits = Limits { value_bytes, txn_ops: txn_ops.max(1) };
    }

    /// Tells how many changes the write rate has room for now, of how many at most. What is decided
    /// beyond that waits here, where the most urgent goes first, and not in front of the service.
    pub fn set_write_allowance(&mut self, left: f64, most: f64) {
        self.allowance = Some((left, most));
    }

    /// Changes that may be written now, keeping the given part of the most for what is more urgent.
    pub(crate) fn write_allowance(&self, keep: f64) -> usize {
        self.allowance.map_or(usize::MAX, |(left, most)| (left - keep * most).max(0.0) as usize)
    }

    /// Changes that the write rate has room for in a second; `None`: any.
    pub(crate) fn writes_per_second(&self) -> Option<f64> {
        self.allowance.map(|(_, most)| most.max(1.0))
    }

    pub(crate) fn spend_writes(&mut self, n: usize) {
        if let Some((left, _)) = &mut self.allowance {
            *left -= n as f64;
        }
    }
}

/// Tasks in one part of a chunk: few enough for the longest records.
fn part_size(value_bytes: usize) -> u32 {
    (value_bytes.saturating_sub(96) / 64).clamp(1, 200) as u32
}

impl Scheduler {
    /// Called often: starts a round if there is something to do, sends what is due.
    pub fn tick(&mut self, now: Timestamp) {
        let due: Vec<u64> = self
            .transactions
            .in_flight
            .iter()
            .filter(|(_, t)| t.retry_at.is_some_and(|at| now >= at))
            .map(|(&id, _)| id)
            .collect();
        for id in due {
            if let Some(t) = self.transactions.in_flight.get_mut(&id) {
                t.retry_at = None;
                let transaction = t.batch.transaction.clone();
                self.out.push(Command::Commit { id, transaction });
            }
        }
        let sweep = now.since(self.messages.last_sweep) >= SWEEP_EVERY;
        if sweep {
            self.messages.last_sweep = now;
            self.settle(now);
        }
        if self.holds_lease
            && now >= self.transactions.paused_until
            && now.since(self.last_round) >= self.tunables.round_every
            && self.transactions.in_flight.len() < self.tunables.txns_in_flight as usize
            && self.transactions.write_allowance(0.0) >= 1
        {
            self.last_round = now;
            if self.cluster.placement_needed && !self.waits_for_writes() {
                self.cluster.placement_needed = false;
                self.place(now);
            }
            self.write_round(now);
        }
        self.look_up_job_ends(now);
        self.send_messages(now, sweep);
    }

    /// Writes what the round decided, starts and ends first, as few transactions as the limits
    /// allow. What finds no room waits for the next round, which takes more at once. (Evidence and
    /// clean-up once went out beside the starts: at 20 changes a second they took most of it, and a
    /// start or an acceptance waited whole seconds.)
    fn write_round(&mut self, now: Timestamp) {
        let ops = self.transactions.limits.txn_ops;
        let most = self.tunables.txns_in_flight as usize;
        let mut starts: Vec<(
            std::cmp::Reverse<crate::model::job_spec::Priority>,
            Timestamp,
            JobIndex,
            usize,
        )> = Vec::new();
        let mut ends: Vec<JobIndex> = Vec::new();
        let mut background: Vec<(Timestamp, JobIndex, usize)> = Vec::new();
        let mut ended: Vec<JobIndex> = Vec::new();
        for (&ix, job) in &self.cluster.jobs {
            if job.is_ended() {
                ended.push(ix);
                continue;
            }
            if job.state().is_dependency_cancelled() {
                continue;
            }
            if job.done == job.spec.tasks {
                if !job.state().is_writing_end() && !job.chunks.iter().any(|c| c.in_flight) {
                    ends.push(ix);
                }
                continue;
            }
            for (chunk, c) in job.chunks.iter().enumerate().filter(|(_, c)| !c.in_flight) {
                if let Some(due) = c.start_due {
                    starts.push((std::cmp::Reverse(job.priority), due, ix, chunk));
                } else if let Some(since) = c.unpersisted_since {
                    if now.since(since) >= self.tunables.evidence_delay {
                        background.push((since, ix, chunk));
                    }
                }
            }
        }
        // A user was told that these are cancelled with the job before them: nothing goes first.
        let dependency_cancelled: Vec<JobIndex> =
            self.dependency_graph.dependency_cancelled.iter().copied().collect();
        self.write_all_ends(&dependency_cancelled, JobEnd::Cancelled);
        ends.sort_by_key(|&ix| std::cmp::Reverse(self.dependent_count(ix)));
        self.write_all_ends(&ends, JobEnd::Done);
        starts.sort_unstable();
        let mut starts = starts.into_iter().peekable();
        self.transactions.planned_chunks = starts.len();
        while starts.peek().is_some() {
            let room = self.transactions.write_allowance(0.0).min(ops);
            if self.transactions.in_flight.len() >= most || room == 0 {
                self.cluster.placement_needed = true;
                break;
            }
            let mut batch = Batch::default();
            while !batch.full(room) {
                let Some((_, _, ix, chunk)) = starts.next() else { break };
                self.transactions.planned_chunks -= 1;
                self.add_chunk(&mut batch, ix, chunk, room);
            }
            self.commit(batch);
        }
        if background.is_empty() && ended.is_empty() {
            return;
        }
        background.sort_unstable();
        let limit = TimeDelta(self.tunables.evidence_delay.0.saturating_mul(OVERDUE_STATUS_WRITE));
        let overdue = background.first().is_some_and(|l| now.since(l.0) > limit);
        let keep = if overdue { 0.0 } else { KEEP_FOR_STARTS };
        let room = self.transactions.write_allowance(keep).min(ops);
        let background_in_flight = self.transactions.in_flight.values().any(|t| t.batch.background);
        if room == 0 || background_in_flight || self.transactions.in_flight.len() >= most {
            return;
        }
        let mut batch = Batch { background: true, ..Batch::default() };
        for (_, ix, chunk) in background {
            if batch.full(room) {
                break;
            }
            self.add_chunk(&mut batch, ix, chunk, room);
        }
        for ix in ended {
            if batch.full(room) {
                break;
            }
            self.clean_up_records(&mut batch, ix, room);
        }
        self.commit(batch);
    }

    pub(crate) fn nonce(&self) -> String {
        format!("{}-{}", self.term, self.transactions.next_id)
    }

    /// Adds what changed of a chunk. The chunk is written whole where it is small enough a value. One
    /// that isn't (a former version made chunks for larger values than the service takes by now) stays
    /// as it is, and those of its tasks that changed go into parts beside it. Each record of either
    /// kind holds its tasks as they are at that moment and is guarded by its own mark; whoever reads
    /// them takes, of each task, the one that was written last. So it makes no difference which
    /// parts were written before a leader ended.
    fn add_chunk(&mut self, batch: &mut Batch, ix: JobIndex, chunk: usize, room: usize) {
        let Some(job) = self.cluster.jobs.get(&ix) else { return };
        let base = chunk as u32 * job.chunk_size;
        let end = base.saturating_add(job.chunk_size).min(job.spec.tasks);
        let value = self.records(ix, base, end);
        if value.size() <= self.transactions.limits.value_bytes {
            self.add_records(batch, ix, chunk, None, value, base..end);
        } else {
            let size = part_size(self.transactions.limits.value_bytes);
            // By the start of their window, counted from the chunk's: the same windows each time.
            let windows: std::collections::BTreeSet<u32> =
                job.changed.range(base..end).map(|i| i - (i - base) % size).collect();
            if windows.is_empty() {
                // All of it is written: nothing to wait for an answer to.
                let state = self.cluster.jobs.get_mut(&ix).and_then(|j| j.chunks.get_mut(chunk));
                if let Some(state) = state {
                    (state.start_due, state.unpersisted_since) = (None, None);
                }
                return;
            }
            for from in windows {
                if batch.full(room) {
                    // The rest of it waits for the next round.
                    return self.mark_chunk_in_flight(batch, ix, chunk, false);
                }
                let to = (from + size).min(end);
                let value = self.records(ix, from, to);
                self.add_records(batch, ix, chunk, Some(from), value, from..to);
            }
        }
        self.mark_chunk_in_flight(batch, ix, chunk, true);
    }

    /// The chunk has something in the batch; whether that is all that it has to write.
    fn mark_chunk_in_flight(&mut self, batch: &mut Batch, ix: JobIndex, chunk: usize, all: bool) {
        if let Some(state) = self.cluster.jobs.get_mut(&ix).and_then(|j| j.chunks.get_mut(chunk)) {
            state.in_flight = true;
            if all {
                state.start_due = None;
                state.unpersisted_since = None;
            }
        }
        batch.chunks.push((ix, chunk));
    }

    fn add_records(
        &mut self,
        batch: &mut Batch,
        ix: JobIndex,
        chunk: usize,
        part: Option<u32>,
        value: Document,
        tasks: std::ops::Range<u32>,
    ) {
        let Some(job) = self.cluster.jobs.get_mut(&ix) else { return };
        for index in tasks {
            let task = &job.tasks[index as usize];
            if task.phase == TaskPhase::Done && !job.recorded.contains(index) {
                batch.finishes.push((ix, index));
            }
            if task.phase == TaskPhase::Dispatching && task.token == FencingToken::NONE {
                batch.starts.push((ix, index));
            }
            if job.changed.remove(index) {
                batch.changed.push((ix, index));
            }
        }
        let state = &job.chunks[chunk];
        match state.start_due {
            Some(_) => self.transactions.counts.starts += 1,
            None => self.transactions.counts.task_states += 1,
        }
        let mut compare = |key: String, revision| {
            if !batch.transaction.compares.iter().any(|g| g.key == key) {
                batch.transaction.compares.push(Compare { key, revision });
            }
        };
        let whole = keys::run(&job.name, chunk);
        compare(whole.clone(), state.revision);
        let key = match part {
            Some(from) => {
                let key = keys::part(&job.name, chunk, from);
                compare(key.clone(), job.parts.get(&(chunk, from)).copied().unwrap_or(Revision(0)));
                key
            }
            None => whole,
        };
        // After an acknowledged withdrawal nothing can be dispatched: the end's absence is part
        // of the write itself.
        compare(keys::end(&job.name), Revision(0));
        batch.bytes += value.size() + key.len() * 2 + 64;
        batch.transaction.operations.push(Operation::put_document(key, value));
        batch.written.push((ix, chunk, part));
    }

    fn commit(&mut self, batch: Batch) {
        if batch.transaction.operations.is_empty() {
            return;
        }
        let nonce = self.nonce();
        let id = self.transactions.next_id;
        self.transactions.next_id += 1;
        let mut batch = batch;
        self.transactions.spend_writes(batch.transaction.operations.len());
        batch
            .transaction
            .compares
            .insert(0, Compare { key: keys::LEADER.into(), revision: self.term.into() });
        self.out.push(Command::Commit { id, transaction: batch.transaction.clone() });
        let (retry_at, indeterminate, too_large) = (None, false, false);
        self.transactions
            .in_flight
            .insert(id, InFlightTransaction { batch, nonce, retry_at, indeterminate, too_large });
    }

    /// Writes the jobs' ends, as many as may be written now.
    fn write_all_ends(&mut self, jobs: &[JobIndex], end: JobEnd) {
        let open = |ix: &&JobIndex| {
            self.cluster.job(**ix).is_some_and(|j| !j.state().is_writing_end() && !j.is_ended())
        };
        let jobs: Vec<JobIndex> = jobs.iter().filter(open).copied().collect();
        for some in jobs.chunks(self.transactions.limits.txn_ops) {
            let room = self.transactions.write_allowance(0.0).min(some.len());
            if self.transactions.in_flight.len() < self.tunables.txns_in_flight as usize && room > 0
            {
                self.write_ends(&some[..room], end);
            }
        }
    }

    /// The jobs' ends, each written once by whoever comes first: all tasks are done, or a job that
    /// they need was cancelled.
    fn write_ends(&mut self, jobs: &[JobIndex], end: JobEnd) {
        let mut batch = Batch::default();
        for &ix in jobs {
            let Some(job) = self.cluster.jobs.get_mut(&ix) else { continue };
            job.apply(JobEvent::EndWriteStarted);
            let key = keys::end(&job.name);
            batch.transaction.compares.push(Compare { key: key.clone(), revision: Revision::NONE });
            batch.transaction.operations.push(Operation::put(key, end));
            batch.ends.push((ix, end));
        }
        self.transactions.counts.job_ends += batch.ends.len();
        self.commit(batch);
    }

    /// Drops the records of a job that is over, once nothing of it can be anywhere. The
    /// description goes last, so that a chunk never outlives it.
    fn clean_up_records(&mut self, batch: &mut Batch, ix: JobIndex, most: usize) {
        let Some(job) = self.cluster.jobs.get_mut(&ix) else { return };
        if !job.may_delete_records() || job.placed > 0 || job.chunks.iter().any(|c| c.in_flight) {
            return;
        }
        job.apply(JobEvent::DeletionStarted);
        let before = batch.transaction.operations.len();
        for (i, chunk) in job.chunks.iter_mut().enumerate() {
            if chunk.revision > Revision::NONE && !batch.full(most) {
                batch.transaction.operations.push(Operation::delete(keys::run(&job.name, i)));
                chunk.revision = Revision::NONE;
            }
        }
        let mut parts = Vec::new();
        while !batch.full(most) {
            let Some(((chunk, from), _)) = job.parts.pop_first() else { break };
            batch
                .transaction
                .operations
                .push(Operation::delete(keys::part(&job.name, chunk, from)));
            parts.push((chunk, from));
        }
        let left = !job.parts.is_empty() || job.chunks.iter().any(|c| c.revision > Revision::NONE);
        let last = !left && !batch.full(most);
        if last {
            let key = keys::description(&job.name, !job.spec.dependencies.is_empty());
            batch.transaction.operations.push(Operation::delete(key));
            self.transactions.counts.jobs_deleted += 1;
        }
        batch.cleanups.push(RecordCleanup { job: ix, last, parts });
        self.transactions.counts.deletes += batch.transaction.operations.len() - before;
    }

    /// The answer to a [`Command::Commit`].
    pub fn transaction_answered(&mut self, now: Timestamp, id: u64, outcome: TransactionOutcome) {
        let Some(mut pending) = self.transactions.in_flight.remove(&id) else { return };
        match outcome {
            TransactionOutcome::Committed { revision } => {
                self.committed(now, pending.batch, revision)
            }
            TransactionOutcome::Indeterminate => {
                // It may have been executed, or may be yet. Sending the same again with the same
                // guards settles it: only one of the copies can ever take effect.
                pending.indeterminate = true;
                pending.retry_at = Some(now + TimeDelta::from_millis(250));
                self.transactions.in_flight.insert(id, pending);
            }
            TransactionOutcome::Rejected if pending.indeterminate => {
                pending.retry_at = Some(now + TimeDelta::from_millis(500));
                self.transactions.in_flight.insert(id, pending);
            }
            TransactionOutcome::Rejected => {
                self.transactions.paused_until = now + TimeDelta::from_millis(300);
                self.failed(now, pending.batch);
            }
            TransactionOutcome::TooLarge => {
                // The limits fell. This copy was not executed, and no earlier one will be any more;
                // but one may have been before they fell.
                let first =
                    pending.batch.transaction.operations.iter().find_map(|change| match change {
                        Operation::Put { put, .. } if put.starts_with(keys::RUN) => {
                            Some(put.clone())
                        }
                        _ => None,
                    });
                match first {
                    Some(key) if pending.indeterminate => {
                        pending.too_large = true;
                        self.out.push(Command::Read { id, key });
                        self.transactions.in_flight.insert(id, pending);
                    }
                    // An end or a clean-up that took effect unheard is met by its next try.
                    _ => self.failed(now, pending.batch),
                }
            }
            TransactionOutcome::Conflict { failed } => {
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
                            self.job_ended_unknown_how(now, &name);
                        }
                        self.out.push(Command::Read { id, key });
                        self.transactions.in_flight.insert(id, pending);
                    }
                    None => {
                        for name in &ended {
                            self.job_ended_unknown_how(now, name);
                        }
                        self.failed(now, pending.batch);
                    }
                }
            }
        }
    }

    /// The answer to a [`Command::Read`]: the value and mark (0: no such key), or nothing.
    pub fn read_answered(&mut self, now: Timestamp, id: u64, answer: Option<(Value, Revision)>) {
        let Some(mut pending) = self.transactions.in_flight.remove(&id) else { return };
        match answer {
            None => {
                pending.retry_at = Some(now + TimeDelta::from_millis(500));
                pending.indeterminate = true;
                self.transactions.in_flight.insert(id, pending);
            }
            Some((value, revision)) if value["w"] == pending.nonce.as_str() => {
                self.committed(now, pending.batch, revision);
            }
            Some((_, revision)) if pending.too_large && pending.expects(revision) => {
                self.failed(now, pending.batch);
            }
            Some(_) => {
                // Under this term only this registry writes chunks, so a strange value means that
                // the registry is not what is stored. Reading everything again is the safe way.
                self.out.push(Command::StepDown("a stored chunk differs from the registry"));
                self.failed(now, pending.batch);
            }
        }
    }

    fn committed(&mut self, now: Timestamp, done: Batch, revision: Revision) {
        self.transactions.paused_until = Timestamp(0);
        for &(ix, chunk) in &done.chunks {
            if let Some(job) = self.cluster.jobs.get_mut(&ix) {
                job.chunks[chunk].in_flight = false;
            }
        }
        for &(ix, chunk, part) in &done.written {
            if let Some(job) = self.cluster.jobs.get_mut(&ix) {
                match part {
                    Some(from) => {
                        job.parts.insert((chunk, from), revision);
                    }
                    None => job.chunks[chunk].revision = revision,
                }
            }
        }
        for &(ix, index) in &done.finishes {
            if let Some(job) = self.cluster.jobs.get_mut(&ix) {
                job.recorded.insert(index);
            }
        }
        for &id in &done.starts {
            self.send_start(id);
        }
        for (ix, end) in done.ends {
            let Some(name) = self.cluster.job(ix).map(|j| j.name.clone()) else { continue };
            if end == JobEnd::Cancelled {
                self.log(Event::JobCancelledByDependency { job: name.clone() });
            } else if let Some(job) = self.cluster.job(ix) {
                let done = JobDone {
                    job: job.name.clone(),
                    class: job.spec.class.clone(),
                    tasks: job.spec.tasks,
                    elapsed: now.since(job.accepted),
                    deadline_s: job.spec.deadline_s,
                    estimate_s: job.spec.estimate_s,
                    mean_run_s: job.run_times.0 / f64::from(job.run_times.1.max(1)),
                };
                self.log(Event::JobDone(done));
            }
            // Committed, so stored: what waits for it may begin in this very turn.
            self.job_ended(now, &name, end);
        }
        for RecordCleanup { job: ix, last, .. } in done.cleanups {
            if last {
                if let Some(job) = self.cluster.jobs.remove(&ix) {
                    self.cluster.jobs_by_name.remove(&job.name);
                    self.cluster.shares.job_gone(job.share_class);
                }
            } else if let Some(job) = self.cluster.jobs.get_mut(&ix) {
                job.apply(JobEvent::DeletionIncomplete);
            }
        }
        self.cluster.placement_needed = true;
    }

    /// A written start joins its machine's next message.
    fn send_start(&mut self, id: TaskId) {
        let Some(job) = self.cluster.job(id.0) else { return };
        let task = job.tasks[id.1 as usize];
        if task.phase == TaskPhase::Dispatching && task.token == FencingToken::NONE {
            self.cluster.machines[task.machine].starting.push(id);
            self.enqueue_send(task.machine);
        }
    }

    /// The last look at the starts that wait for a machine's next message. Those that may still
    /// go are marked as sent with the very token of the message; a start that is given its token
    /// any earlier could be proven absent by a heartbeat while it still waits here.
    pub(crate) fn release_starts(
        &mut self,
        now: Timestamp,
        m: MachineIndex,
        sending: bool,
    ) -> (Vec<(TaskId, Attempt)>, Vec<WorkerCommand>) {
        let machine = &self.cluster.machines[m];
        let open = machine.state == MachineState::Up
            && machine.interruption_at.is_none()
            && machine.drain_reason.is_none();
        if machine.starting.is_empty() || (open && !sending) {
            return (Vec::new(), Vec::new());
        }
        let (token, agent_epoch) = (machine.token(self.term), machine.agent_epoch);
        let (mut ids, mut calls, mut wait) = (Vec::new(), Vec::new(), Vec::new());
        for id in std::mem::take(&mut self.cluster.machines[m].starting) {
            let Some(job) = self.cluster.job(id.0) else { continue };
            let task = job.tasks[id.1 as usize];
            if task.phase != TaskPhase::Dispatching
                || task.token != FencingToken::NONE
                || task.machine != m
            {
                continue;
            }
            if job.is_ended() || !open || task.agent_epoch != agent_epoch {
                // Recorded, never sent and never to be sent: absent by this registry's own doing.
                self.cluster.apply(now, id, TaskEvent::ProvenAbsent);
                continue;
            }
            // One that a machine shows live against the registry is stopped there first.
            if !self.may_start(now, task.since)
                || self.cluster.conflicting_replicas.contains_key(&id)
            {
                wait.push(id);
                continue;
            }
            let name = format!("{}/{}", job.name, id.1);
            calls.push(WorkerCommand::Run { task: name, attempt: task.attempt });
            ids.push((id, task.attempt));
            self.cluster.apply(now, id, TaskEvent::Sent { token });
        }
        self.cluster.machines[m].starting = wait;
        if !ids.is_empty() {
            let machine = &mut self.cluster.machines[m];
            machine.start_token = machine.start_token.max(token);
        }
        (ids, calls)
    }

    /// The transaction certainly had no effect: what it would have started is pending again.
    fn failed(&mut self, now: Timestamp, failed: Batch) {
        for &(ix, chunk) in &failed.chunks {
            if let Some(job) = self.cluster.jobs.get_mut(&ix) {
                job.chunks[chunk].in_flight = false;
                job.chunks[chunk].unpersisted_since.get_or_insert(now);
            }
        }
        for &(ix, index) in &failed.changed {
            if let Some(job) = self.cluster.jobs.get_mut(&ix) {
                job.changed.insert(index);
            }
        }
        for &id in &failed.starts {
            self.cluster.apply(now, id, TaskEvent::Retract);
        }
        for (ix, _) in failed.ends {
            if let Some(job) = self.cluster.jobs.get_mut(&ix) {
                job.apply(JobEvent::EndWriteFailed);
            }
        }
        for RecordCleanup { job: ix, parts, .. } in failed.cleanups {
            if let Some(job) = self.cluster.jobs.get_mut(&ix) {
                job.apply(JobEvent::DeletionIncomplete);
                job.parts.extend(parts.into_iter().map(|part| (part, Revision::UNKNOWN)));
                // Which chunks still exist is not known any more; dropping a key that does not
                // exist does no harm.
                for chunk in &mut job.chunks {
                    chunk.revision = chunk.revision.max(Revision::UNKNOWN);
                }
            }
        }
        self.cluster.placement_needed = true;
    }
}
