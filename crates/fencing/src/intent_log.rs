//! Log of the cloud actions of a role's holder, from the request through the record and the sending
//! to the settlement.
//!
//! Each action passes through the states of [`crate::action_state`] and is sent only after its
//! record is stored. A record is deleted when all of its actions are settled. A new holder adopts
//! the records of earlier holders unchanged and settles them like its own.

use std::collections::{BTreeMap, BTreeSet};

use walnutlug_scheduler::command::TransactionOutcome;
use walnutlug_scheduler::protocol::key_value::{KeyValue, Operation, Transaction};
use walnutlug_scheduler::storage::document::Document;
use walnutlug_scheduler::time::{TimeDelta, Timestamp};

use crate::action_state::{
    ActionAnswer, ActionEvent, ActionId, ActionState, ACTION_BACKOFF, WRITE_RETRY_DELAY,
};
use crate::adoption::Adopted;
use crate::fence::{Fence, FencedWrite};
use crate::intent::{intent_key, Action, IntentRecord, ScaleOut, StoredIntent, TerminatedMachine};
use crate::leased_role::EpochError;

/// Time that a settled record waits to be deleted along with another write. After that it is
/// deleted by a write of its own.
const DELETE_DELAY: TimeDelta = TimeDelta::from_secs(2);
/// Size allowed for a stored record besides its actions.
const RECORD_OVERHEAD_BYTES: usize = 64;
/// Maximum number of unsettled actions; further requests are rejected. A fleet of some thousands of
/// machines has a few dozen.
const MAX_OPEN_ACTIONS: usize = 4_096;

/// Command that the caller carries out for the intent log.
#[derive(Debug, Clone, PartialEq)]
pub enum IntentLogCommand {
    /// Asks the caller to commit the transaction and to report the outcome to
    /// [`IntentLog::written`].
    Write {
        /// Identifies the write in the report.
        id: u64,
        /// Transaction that creates and deletes records, conditional on the fence.
        transaction: Transaction,
    },
    /// Asks the caller to check the lease, send the action, and report the outcome to
    /// [`IntentLog::answered`].
    Send {
        /// Identifies the action in the report.
        id: ActionId,
        /// Request to make of the cloud.
        action: Action,
    },
}

/// Reason why the intent log has stopped. It issues no commands from then on.
#[derive(Debug, Clone, PartialEq, Eq, thiserror::Error)]
pub enum Stopped {
    /// A write failed because the role key no longer has this epoch.
    #[error("the role is no longer held under this epoch")]
    Fenced,
    /// A stored intent has this epoch or a later one, although this epoch should be the newest.
    #[error(transparent)]
    Epoch(#[from] EpochError),
}

#[derive(Debug)]
struct TrackedAction {
    action: Action,
    state: ActionState,
}

#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum RecordState {
    /// The write that creates the record is in progress or is due for a retry.
    Writing,
    Stored,
    /// All actions are settled, and the record waits to be deleted.
    Settled {
        since: Timestamp,
    },
    Deleting,
}

#[derive(Debug)]
struct Record {
    key: String,
    state: RecordState,
    actions: Vec<TrackedAction>,
}

#[derive(Debug)]
struct PendingWrite {
    id: u64,
    transaction: Transaction,
    created: Vec<u64>,
    deleted: Vec<u64>,
    retry_at: Option<Timestamp>,
    /// Whether the answer to an earlier attempt was lost, so that it may have been committed.
    is_indeterminate: bool,
}

/// Limits of the key-value store for one transaction.
#[derive(Debug, Clone, Copy)]
pub struct WriteLimits {
    /// Maximum size of a value, in bytes.
    pub value_bytes: usize,
    /// Maximum number of operations in a transaction.
    pub txn_ops: usize,
}

/// Cloud actions of a role's holder under one epoch, with their intent records.
#[derive(Debug)]
pub struct IntentLog {
    fence: Fence,
    limits: WriteLimits,
    /// Time after a scale-out from which the cloud's machine list is certain to show its machines.
    listed_within: TimeDelta,
    requested: Vec<Action>,
    records: BTreeMap<u64, Record>,
    /// Machines of recorded scale-ins that are not settled, with the action that returns them.
    returning: BTreeMap<String, ActionId>,
    /// Machines that the cloud's machine list may not show yet, with the scale-out whose record is
    /// kept for them.
    unlisted: BTreeMap<String, ActionId>,
    write: Option<PendingWrite>,
    next_record: u64,
    next_write: u64,
    stopped: Option<Stopped>,
    commands: Vec<IntentLogCommand>,
}

impl IntentLog {
    /// Creates an empty log. Call [`IntentLog::adopt`] with the records of earlier holders before
    /// any other method.
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

    /// Returns the fence that every write of the log is conditional on.
    pub fn fence(&self) -> &Fence {
        &self.fence
    }

    /// Returns the reason why the log has stopped, or `None` while it is active.
    pub fn stopped(&self) -> Option<&Stopped> {
        self.stopped.as_ref()
    }

    /// Sets the limits of the key-value store for writes that are built from now on.
    pub fn set_limits(&mut self, limits: WriteLimits) {
        self.limits = limits;
    }

    /// Returns the commands issued since the last call, for the caller to carry out.
    pub fn take_commands(&mut self) -> Vec<IntentLogCommand> {
        std::mem::take(&mut self.commands)
    }

    /// Returns the number of actions that are waiting for a record or are recorded and not settled.
    pub fn open_actions(&self) -> usize {
        let open = |t: &&TrackedAction| t.state != ActionState::Settled;
        let recorded: usize =
            self.records.values().map(|record| record.actions.iter().filter(open).count()).sum();
        recorded + self.requested.len()
    }

    /// Adopts the records that holders under earlier epochs left. `has_tasks` returns whether tasks
    /// are recorded on a machine.
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
        let initial_state = match state {
            RecordState::Writing => ActionState::Unrecorded,
            _ => ActionState::Due { at: now, unknown: 0 },
        };
        let actions = actions
            .into_iter()
            .map(|action| TrackedAction { action, state: initial_state })
            .collect();
        self.records.insert(number, Record { key, state, actions });
        self.settle_record(now, number);
    }

    /// Requests machines. Returns `false` if the log has stopped or has too many open actions.
    pub fn scale_out(&mut self, scale_out: ScaleOut) -> bool {
        let taken = self.stopped.is_none() && self.open_actions() < MAX_OPEN_ACTIONS;
        if taken {
            self.requested.push(Action::ScaleOut(scale_out));
        }
        taken
    }

    /// Requests the return of machines, and returns the number of cloud requests to expect. A
    /// return that is recorded already is sent again at the next tick, unless an attempt is in
    /// progress.
    pub fn scale_in(&mut self, now: Timestamp, machines: Vec<TerminatedMachine>) -> usize {
        if self.stopped.is_some() || self.open_actions() >= MAX_OPEN_ACTIONS {
            return 0;
        }
        let mut resend = BTreeSet::new();
        let mut new = Vec::new();
        for machine in machines {
            match self.returning.get(&machine.machine) {
                Some(&id) => {
                    resend.insert(id);
                }
                None if self.is_scale_in_requested(&machine.machine) => {}
                None => new.push(machine),
            }
        }
        let resent_count = resend.into_iter().filter(|&id| {
            self.apply(id, ActionEvent::RequestedAgain { now }) // Ignored while it is in progress.
        });
        let resent_count = resent_count.count();
        let queued_count = usize::from(!new.is_empty());
        if !new.is_empty() {
            self.requested.push(Action::ScaleIn(new));
        }
        resent_count + queued_count
    }

    fn is_scale_in_requested(&self, machine: &str) -> bool {
        self.requested.iter().any(|request| match request {
            Action::ScaleIn(machines) => machines.iter().any(|m| m.machine == machine),
            Action::ScaleOut(_) => false,
        })
    }

    /// Returns whether the machine's return is requested or recorded and not settled.
    pub fn is_scaling_in(&self, machine: &str) -> bool {
        self.returning.contains_key(machine) || self.is_scale_in_requested(machine)
    }

    /// Issues the next write of records, and, if `holds_lease`, the actions that are due. The
    /// caller checks the lease once more directly before sending.
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
        for (&record, entry) in &self.records {
            for (index, tracked) in entry.actions.iter().enumerate() {
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

    /// Creates records for waiting requests and deletes settled records in one transaction, as far
    /// as the limits allow.
    fn start_write(&mut self, now: Timestamp) {
        let mut write = FencedWrite::new(&self.fence);
        let created = self.create_records(now, &mut write);
        let overdue = |record: &Record| matches!(record.state, RecordState::Settled { since } if now.since(since) >= DELETE_DELAY);
        // Deletions share a transaction with new records, or are collected until one is overdue.
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
        let (retry_at, is_indeterminate) = (None, false);
        self.write =
            Some(PendingWrite { id, transaction, created, deleted, retry_at, is_indeterminate });
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

    /// Takes as many requests of one kind from the front of the queue as fit into a record.
    fn take_requested(&mut self) -> Vec<Action> {
        let max_bytes = self.limits.value_bytes.saturating_sub(RECORD_OVERHEAD_BYTES);
        self.split_first_request(max_bytes);
        let Some(first) = self.requested.first() else { return Vec::new() };
        let kind = std::mem::discriminant(first);
        let mut bytes = 0;
        let fits = |request: &&Action| {
            bytes += Document::new(request).size() + 1;
            std::mem::discriminant(*request) == kind && bytes <= max_bytes
        };
        let count = self.requested.iter().take_while(fits).count().max(1);
        self.requested.drain(..count).collect()
    }

    /// Splits a scale-in at the front of the queue in halves until its machines fit into a record.
    fn split_first_request(&mut self, max_bytes: usize) {
        while let Some(Action::ScaleIn(machines)) = self.requested.first_mut() {
            if machines.len() < 2
                || Document::new(machines).size() + RECORD_OVERHEAD_BYTES <= max_bytes
            {
                return;
            }
            let rest = machines.split_off(machines.len() / 2);
            self.requested.insert(1, Action::ScaleIn(rest));
        }
    }

    /// Handles the outcome of [`IntentLogCommand::Write`].
    pub fn written(&mut self, now: Timestamp, id: u64, outcome: &TransactionOutcome) {
        let Some(mut write) = self.write.take_if(|write| write.id == id) else { return };
        match outcome {
            TransactionOutcome::Committed { .. } => self.write_committed(now, &write),
            TransactionOutcome::Conflict { failed } if self.fence.is_broken_by(failed) => {
                self.stopped = Some(Stopped::Fenced);
            }
            // No other node creates keys of this epoch, so an earlier attempt of this write was
            // committed, and with all its operations.
            TransactionOutcome::Conflict { .. } => self.write_committed(now, &write),
            TransactionOutcome::Rejected | TransactionOutcome::Indeterminate => {
                write.is_indeterminate |= *outcome == TransactionOutcome::Indeterminate;
                write.retry_at = Some(now + WRITE_RETRY_DELAY);
                self.write = Some(write);
            }
            TransactionOutcome::TooLarge => self.requeue_actions(now, &write),
        }
    }

    fn write_committed(&mut self, now: Timestamp, write: &PendingWrite) {
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

    /// Puts the actions of a write back into the queue, because the store's limits fell below its
    /// size. It will not be committed from now on. If the answer to an earlier attempt was lost, its
    /// records may be stored; they are then deleted, since the actions get new ones.
    fn requeue_actions(&mut self, now: Timestamp, write: &PendingWrite) {
        for number in &write.created {
            let Some(record) = self.records.remove(number) else { continue };
            self.returning.retain(|_, id| id.record != *number);
            self.requested.extend(record.actions.into_iter().map(|tracked| tracked.action));
            if write.is_indeterminate {
                self.add_record(now, record.key, Vec::new(), RecordState::Stored);
            }
        }
        for number in &write.deleted {
            if let Some(record) = self.records.get_mut(number) {
                record.state = RecordState::Settled { since: now };
            }
        }
    }

    /// Handles the outcome of [`IntentLogCommand::Send`]. `rented` names the machines that a
    /// scale-out obtained.
    pub fn answered(
        &mut self,
        now: Timestamp,
        id: ActionId,
        answer: ActionAnswer,
        rented: &[String],
    ) {
        let Some(action) = self.action(id).map(|tracked| &tracked.action) else { return };
        let is_scale_out = matches!(action, Action::ScaleOut(_));
        let event = match answer {
            ActionAnswer::Done if is_scale_out && !rented.is_empty() => {
                ActionEvent::Completed { keep_until: Some(now + self.listed_within) }
            }
            ActionAnswer::Done => ActionEvent::Completed { keep_until: None },
            // A refused scale-in is retried because the machines must still be returned. A refused
            // scale-out is settled: the scheduler requests machines anew if it still needs them.
            ActionAnswer::Refused if is_scale_out => ActionEvent::Refused { retry_at: None },
            ActionAnswer::Refused => ActionEvent::Refused { retry_at: Some(now + ACTION_BACKOFF) },
            ActionAnswer::NotSent => ActionEvent::NotSent { now },
            ActionAnswer::Unknown => ActionEvent::Unknown { now },
        };
        if !self.apply(id, event) {
            return;
        }
        if matches!(event, ActionEvent::Completed { .. }) {
            self.unlisted.extend(rented.iter().map(|machine| (machine.clone(), id)));
            self.forget_returned_machines(now, id);
        }
        self.settle_record(now, id.record);
    }

    /// Stops tracking the machines of a completed scale-in. The scale-out that rented one of them
    /// need not be kept either: a successor that repeated it would count on machines that are gone.
    fn forget_returned_machines(&mut self, now: Timestamp, id: ActionId) {
        let Some(Action::ScaleIn(machines)) = self.action(id).map(|t| t.action.clone()) else {
            return;
        };
        for TerminatedMachine { machine, .. } in machines {
            self.returning.remove(&machine);
            if let Some(scale_out) = self.unlisted.remove(&machine) {
                self.stop_waiting_for_list(now, scale_out);
            }
        }
    }

    fn stop_waiting_for_list(&mut self, now: Timestamp, scale_out: ActionId) {
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
                self.stop_waiting_for_list(now, id);
            }
        }
    }

    fn action(&self, id: ActionId) -> Option<&TrackedAction> {
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
