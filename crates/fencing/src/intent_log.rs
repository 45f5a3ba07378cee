//! The holder's list of outside actions: what it wants done, what is recorded, what was sent, what is settled.
//!
//! An action passes through the states of [`crate::action_state`]. Nothing is sent before its record is stored. A record goes when all of its actions are
//! settled; what a former holder left is taken over as it was recorded and settled like the holder's own.

use std::collections::{BTreeMap, BTreeSet};

use walnutlug_scheduler::command::TransactionOutcome;
use walnutlug_scheduler::protocol::key_value::{KeyValue, Operation, Transaction};
use walnutlug_scheduler::storage::document::Document;
use walnutlug_scheduler::time::{TimeDelta, Timestamp};

use crate::action_state::{
    ActionAnswer, ActionEvent, ActionId, ActionState, ACTION_RETRY, WRITE_RETRY,
};
use crate::adoption::Adopted;
use crate::fence::{Fence, FencedWrite};
use crate::intent::{intent_key, Action, IntentRecord, ScaleOut, StoredIntent, TerminatedMachine};
use crate::leased_role::EpochError;

/// How long settled records wait for a write to go along with.
const DELETE_DELAY: TimeDelta = TimeDelta::from_secs(2);
/// Bytes of a stored record beside its actions.
const RECORD_OVERHEAD: usize = 64;
/// Actions that may wait or be open at once; beyond this many nothing more is taken on. A fleet of some
/// thousands has a few dozen.
const MAX_OPEN: usize = 4_096;

/// What the intent log wants done.
#[derive(Debug, Clone, PartialEq)]
pub enum IntentLogCommand {
    /// Send the transaction and answer with [`IntentLog::written`].
    Write {
        /// Names the write.
        id: u64,
        /// What to send.
        transaction: Transaction,
    },
    /// Check the lease, send the action, and answer with [`IntentLog::answered`].
    Send {
        /// Names the action.
        id: ActionId,
        /// What to send.
        action: Action,
    },
}

/// Why the intent log does nothing any more.
#[derive(Debug, Clone, PartialEq, Eq, thiserror::Error)]
pub enum Stopped {
    /// A write found that the role is another's.
    #[error("the role is held under another epoch now")]
    Fenced,
    /// A stored intent is of this epoch or a later one, though this one is the newest.
    #[error(transparent)]
    Epoch(#[from] EpochError),
}

#[derive(Debug)]
struct Tracked {
    action: Action,
    state: ActionState,
}

#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum RecordState {
    /// Its write is under way, or has to be sent again.
    Writing,
    Stored,
    /// All of its actions are settled; since then it waits to be deleted.
    Settled {
        since: Timestamp,
    },
    Deleting,
}

#[derive(Debug)]
struct Record {
    key: String,
    state: RecordState,
    actions: Vec<Tracked>,
}

#[derive(Debug)]
struct PendingWrite {
    id: u64,
    transaction: Transaction,
    created: Vec<u64>,
    deleted: Vec<u64>,
    retry_at: Option<Timestamp>,
}

/// What the key-value store takes at once.
#[derive(Debug, Clone, Copy)]
pub struct WriteLimits {
    /// The largest value.
    pub value_bytes: usize,
    /// The most changes of a transaction.
    pub txn_ops: usize,
}

/// The outside actions of one holding of a role.
#[derive(Debug)]
pub struct IntentLog {
    fence: Fence,
    limits: WriteLimits,
    /// How long after a scale-out its machines are on the cloud's list for certain.
    listed_within: TimeDelta,
    requested: Vec<Action>,
    records: BTreeMap<u64, Record>,
    /// Machines named by a return that is not settled, with the action.
    returning: BTreeMap<String, ActionId>,
    /// Machines of scale-outs whose records stay until they are listed.
    unlisted: BTreeMap<String, ActionId>,
    write: Option<PendingWrite>,
    next_record: u64,
    next_write: u64,
    stopped: Option<Stopped>,
    commands: Vec<IntentLogCommand>,
}

impl IntentLog {
    /// With nothing to do. What former holders left has to be adopted before anything else.
    pub fn new(fence: Fence, limits: WriteLimits, listed_within: TimeDelta) -> IntentLog {
        IntentLog {
            fence,
            limits,
            listed_within,
            requested: Vec::new(),
            records: BTreeMap::new(),
            returning: BTreeMap::new(),
            unlisted: BTreeMap::new(),
            write: None,
            next_record: 1,
            next_write: 1,
            stopped: None,
            commands: Vec::new(),
        }
    }

    /// The fence of its writes.
    pub fn fence(&self) -> &Fence {
        &self.fence
    }

    /// Why it does nothing any more, if so.
    pub fn stopped(&self) -> Option<&Stopped> {
        self.stopped.as_ref()
    }

    /// The key-value store takes that much at once from now on.
    pub fn set_limits(&mut self, limits: WriteLimits) {
        self.limits = limits;
    }

    /// What is to be done now.
    pub fn take_commands(&mut self) -> Vec<IntentLogCommand> {
        std::mem::take(&mut self.commands)
    }

    /// How many actions wait or are not settled.
    pub fn open_actions(&self) -> usize {
        let open = |t: &&Tracked| t.state != ActionState::Settled;
        let recorded: usize =
            self.records.values().map(|record| record.actions.iter().filter(open).count()).sum();
        recorded + self.requested.len()
    }

    /// Takes over what earlier epochs left. `has_tasks` tells on which machines work is recorded.
    pub fn adopt(
        &mut self,
        now: Timestamp,
        stored: &[KeyValue],
        has_tasks: impl Fn(&str) -> bool,
    ) -> Adopted {
        let mut adopted = Adopted::default();
        for key_value in stored {
            let intent = match StoredIntent::read(key_value) {
                Ok(intent) if intent.role == self.fence.role() => intent,
                Ok(_) => continue,
                Err(fault) => {
                    adopted.faults.push(fault);
                    continue;
                }
            };
            if let Err(error) = self.fence.epoch().must_follow(Some(intent.epoch)) {
                self.stopped = Some(Stopped::Epoch(error));
                return Adopted { faults: adopted.faults, ..Adopted::default() };
            }
            let mut actions = Vec::new();
            for action in intent.record.actions {
                actions.extend(adopted.adopt(action, &has_tasks));
            }
            self.add_record(now, key_value.key.clone(), actions, RecordState::Stored);
        }
        adopted
    }

    fn add_record(
        &mut self,
        now: Timestamp,
        key: String,
        actions: Vec<Action>,
        state: RecordState,
    ) {
        let number = self.next_record;
        self.next_record += 1;
        for (index, action) in actions.iter().enumerate() {
            if let Action::ScaleIn(machines) = action {
                let id = ActionId { record: number, index };
                self.returning.extend(machines.iter().map(|m| (m.machine.clone(), id)));
            }
        }
        let first = match state {
            RecordState::Writing => ActionState::Unrecorded,
            _ => ActionState::Due { at: now, unknown: 0 },
        };
        let actions = actions.into_iter().map(|action| Tracked { action, state: first }).collect();
        self.records.insert(number, Record { key, state, actions });
        self.settle_record(now, number);
    }

    /// Wants machines rented. Whether it will see to it.
    pub fn scale_out(&mut self, scale_out: ScaleOut) -> bool {
        let taken = self.stopped.is_none() && self.open_actions() < MAX_OPEN;
        if taken {
            self.requested.push(Action::ScaleOut(scale_out));
        }
        taken
    }

    /// Wants machines returned. What is recorded already is sent again, if its outcome isn't known. How
    /// many requests come of it.
    pub fn scale_in(&mut self, now: Timestamp, machines: Vec<TerminatedMachine>) -> usize {
        if self.stopped.is_some() || self.open_actions() >= MAX_OPEN {
            return 0;
        }
        let mut again = BTreeSet::new();
        let mut new = Vec::new();
        for machine in machines {
            match self.returning.get(&machine.machine) {
                Some(&id) => {
                    again.insert(id);
                }
                None if self.is_scale_in_requested(&machine.machine) => {}
                None => new.push(machine),
            }
        }
        let resent = again.into_iter().filter(|&id| {
            self.apply(id, ActionEvent::RequestedAgain { now }) // Not while it is under way.
        });
        let resent = resent.count();
        let more = usize::from(!new.is_empty());
        if !new.is_empty() {
            self.requested.push(Action::ScaleIn(new));
        }
        resent + more
    }

    fn is_scale_in_requested(&self, machine: &str) -> bool {
        self.requested.iter().any(|request| match request {
            Action::ScaleIn(machines) => machines.iter().any(|m| m.machine == machine),
            Action::ScaleOut(_) => false,
        })
    }

    /// Whether a return of the machine is wanted or recorded and not settled.
    pub fn is_scaling_in(&self, machine: &str) -> bool {
        self.returning.contains_key(machine) || self.is_scale_in_requested(machine)
    }

    /// Writes what is to be recorded or deleted, and, while the lease is certainly held, gives out what may
    /// be sent. (It is looked at again directly before sending.)
    pub fn tick(&mut self, now: Timestamp, holds_lease: bool) {
        if self.stopped.is_some() {
            return;
        }
        self.expire_unlisted(now);
        match &mut self.write {
            Some(write) if write.retry_at.is_some_and(|at| now >= at) => {
                write.retry_at = None;
                let (id, transaction) = (write.id, write.transaction.clone());
                self.commands.push(IntentLogCommand::Write { id, transaction });
            }
            Some(_) => {}
            None => self.start_write(now),
        }
        if holds_lease {
            self.send_due_actions(now);
        }
    }

    fn send_due_actions(&mut self, now: Timestamp) {
        let mut due = Vec::new();
        for (&record, kept) in &self.records {
            for (index, tracked) in kept.actions.iter().enumerate() {
                if matches!(tracked.state, ActionState::Due { at, .. } if now >= at) {
                    due.push((ActionId { record, index }, tracked.action.clone()));
                }
            }
        }
        for (id, action) in due {
            if self.apply(id, ActionEvent::SendStarted) {
                self.commands.push(IntentLogCommand::Send { id, action });
            }
        }
    }

    /// One transaction with all that waits, as far as the limits allow.
    fn start_write(&mut self, now: Timestamp) {
        let mut write = FencedWrite::new(&self.fence);
        let created = self.create_records(now, &mut write);
        let overdue = |record: &Record| matches!(record.state, RecordState::Settled { since } if now.since(since) >= DELETE_DELAY);
        // Drops go along with what has to be written anyway, or wait for each other.
        let mut deleted = Vec::new();
        if !created.is_empty() || self.records.values().any(overdue) {
            for (&number, record) in &mut self.records {
                if write.len() >= self.limits.txn_ops {
                    break;
                }
                if matches!(record.state, RecordState::Settled { .. }) {
                    record.state = RecordState::Deleting;
                    write.change(Operation::delete(&record.key));
                    deleted.push(number);
                }
            }
        }
        if write.is_empty() {
            return;
        }
        let (id, transaction) = (self.next_write, write.into_transaction());
        self.next_write += 1;
        self.commands.push(IntentLogCommand::Write { id, transaction: transaction.clone() });
        self.write = Some(PendingWrite { id, transaction, created, deleted, retry_at: None });
    }

    fn create_records(&mut self, now: Timestamp, write: &mut FencedWrite) -> Vec<u64> {
        let mut created = Vec::new();
        while write.len() < self.limits.txn_ops {
            let actions = self.take_requested();
            if actions.is_empty() {
                break;
            }
            let number = self.next_record;
            let key = intent_key(self.fence.role(), self.fence.epoch(), number);
            let record = IntentRecord::new(actions.clone());
            write.create(&key, Operation::put_document(&key, Document::new(&record)));
            self.add_record(now, key, actions, RecordState::Writing);
            created.push(number);
        }
        created
    }

    /// As many requests of one kind as fit into a record.
    fn take_requested(&mut self) -> Vec<Action> {
        let room = self.limits.value_bytes.saturating_sub(RECORD_OVERHEAD);
        self.split_first_request(room);
        let Some(first) = self.requested.first() else { return Vec::new() };
        let kind = std::mem::discriminant(first);
        let mut bytes = 0;
        let fits = |request: &&Action| {
            bytes += Document::new(request).size() + 1;
            std::mem::discriminant(*request) == kind && bytes <= room
        };
        let count = self.requested.iter().take_while(fits).count().max(1);
        self.requested.drain(..count).collect()
    }

    /// A return of more machines than a record has room for is made two.
    fn split_first_request(&mut self, room: usize) {
        while let Some(Action::ScaleIn(machines)) = self.requested.first_mut() {
            if machines.len() < 2 || Document::new(machines).size() + RECORD_OVERHEAD <= room {
                return;
            }
            let rest = machines.split_off(machines.len() / 2);
            self.requested.insert(1, Action::ScaleIn(rest));
        }
    }

    /// The answer to [`IntentLogCommand::Write`].
    pub fn written(&mut self, now: Timestamp, id: u64, outcome: &TransactionOutcome) {
        let Some(mut write) = self.write.take_if(|write| write.id == id) else { return };
        match outcome {
            TransactionOutcome::Committed { .. } => self.stored(now, &write),
            TransactionOutcome::Conflict { failed } if self.fence.is_broken_by(failed) => {
                self.stopped = Some(Stopped::Fenced);
            }
            // Nobody else makes keys of this epoch: an earlier copy was carried out, all of it.
            TransactionOutcome::Conflict { .. } => self.stored(now, &write),
            TransactionOutcome::Rejected | TransactionOutcome::Indeterminate => {
                write.retry_at = Some(now + WRITE_RETRY);
                self.write = Some(write);
            }
            TransactionOutcome::TooLarge => self.request_again(now, &write),
        }
    }

    fn stored(&mut self, now: Timestamp, write: &PendingWrite) {
        for number in &write.deleted {
            self.records.remove(number);
        }
        for &number in &write.created {
            let Some(record) = self.records.get_mut(&number) else { continue };
            record.state = RecordState::Stored;
            for index in 0..record.actions.len() {
                self.apply(ActionId { record: number, index }, ActionEvent::Recorded { now });
            }
        }
    }

    /// The transaction is over the limits and certainly not carried out: its actions are requests again.
    fn request_again(&mut self, now: Timestamp, write: &PendingWrite) {
        for number in &write.created {
            let Some(record) = self.records.remove(number) else { continue };
            self.returning.retain(|_, id| id.record != *number);
            self.requested.extend(record.actions.into_iter().map(|tracked| tracked.action));
        }
        for number in &write.deleted {
            if let Some(record) = self.records.get_mut(number) {
                record.state = RecordState::Settled { since: now };
            }
        }
    }

    /// The answer to [`IntentLogCommand::Send`]; of a scale-out, with the machines that were rented.
    pub fn answered(
        &mut self,
        now: Timestamp,
        id: ActionId,
        answer: ActionAnswer,
        rented: &[String],
    ) {
        let Some(action) = self.action(id).map(|tracked| &tracked.action) else { return };
        let rents = matches!(action, Action::ScaleOut(_));
        let input = match answer {
            ActionAnswer::Done if rents && !rented.is_empty() => {
                ActionEvent::Completed { keep_until: Some(now + self.listed_within) }
            }
            ActionAnswer::Done => ActionEvent::Completed { keep_until: None },
            // A machine has to go all the same; what can't be rented now is asked for anew, if it is
            // still wanted then.
            ActionAnswer::Refused if rents => ActionEvent::Refused { retry_at: None },
            ActionAnswer::Refused => ActionEvent::Refused { retry_at: Some(now + ACTION_RETRY) },
            ActionAnswer::NotSent => ActionEvent::NotSent { now },
            ActionAnswer::Unknown => ActionEvent::Unknown { now },
        };
        if !self.apply(id, input) {
            return;
        }
        if matches!(input, ActionEvent::Completed { .. }) {
            self.unlisted.extend(rented.iter().map(|machine| (machine.clone(), id)));
            self.forget_returned(now, id);
        }
        self.settle_record(now, id.record);
    }

    /// Machines that are gone: a successor that asked for their scale-out again would count on them.
    fn forget_returned(&mut self, now: Timestamp, id: ActionId) {
        let Some(Action::ScaleIn(machines)) = self.action(id).map(|t| t.action.clone()) else {
            return;
        };
        for TerminatedMachine { machine, .. } in machines {
            self.returning.remove(&machine);
            if let Some(scale_out) = self.unlisted.remove(&machine) {
                self.listed(now, scale_out);
            }
        }
    }

    fn listed(&mut self, now: Timestamp, scale_out: ActionId) {
        if self.apply(scale_out, ActionEvent::Listed) {
            self.unlisted.retain(|_, id| *id != scale_out);
            self.settle_record(now, scale_out.record);
        }
    }

    fn expire_unlisted(&mut self, now: Timestamp) {
        let scale_outs: BTreeSet<ActionId> = self.unlisted.values().copied().collect();
        for id in scale_outs {
            let state = self.action(id).map(|tracked| tracked.state);
            if matches!(state, Some(ActionState::Unlisted { until }) if now >= until) {
                self.listed(now, id);
            }
        }
    }

    fn action(&self, id: ActionId) -> Option<&Tracked> {
        self.records.get(&id.record)?.actions.get(id.index)
    }

    fn apply(&mut self, id: ActionId, event: ActionEvent) -> bool {
        let record = self.records.get_mut(&id.record);
        let Some(tracked) = record.and_then(|record| record.actions.get_mut(id.index)) else {
            return false;
        };
        let next = tracked.state.next(event);
        tracked.state = next.unwrap_or(tracked.state);
        next.is_some()
    }

    fn settle_record(&mut self, now: Timestamp, number: u64) {
        let Some(record) = self.records.get_mut(&number) else { return };
        let settled = record.actions.iter().all(|tracked| tracked.state == ActionState::Settled);
        if settled && record.state == RecordState::Stored {
            record.state = RecordState::Settled { since: now };
        }
    }
}
