//! The intent log under messages that are delayed, lost and repeated, holders that stand still, and a store and a
//! cloud that answer late: whatever the order, no action without a record, none of a replaced holder that
//! nobody adopted, no machine returned while it is in use, and all settled once trouble ends.

use std::collections::{BTreeMap, BTreeSet};

use proptest::prelude::*;
use proptest::test_runner::{Config, RngAlgorithm, TestRng, TestRunner};
use serde_json::Value;
use walnutlug_fencing::action_state::{ActionAnswer, ActionId};
use walnutlug_fencing::fence::Fence;
use walnutlug_fencing::intent::{Action, ScaleOut, TerminatedMachine, INTENT_PREFIX};
use walnutlug_fencing::intent_log::{IntentLog, IntentLogCommand, WriteLimits};
use walnutlug_fencing::leased_role::{Epoch, LeasedRole};
use walnutlug_scheduler::command::TransactionOutcome;
use walnutlug_scheduler::protocol::key_value::{KeyValue, Operation, Transaction};
use walnutlug_scheduler::storage::keys;
use walnutlug_scheduler::storage::revision::Revision;
use walnutlug_scheduler::time::{TimeDelta, Timestamp};

const LIMITS: WriteLimits = WriteLimits { value_bytes: 400, txn_ops: 3 };
const SEED: [u8; 32] = [27; 32];
const CASES: u32 = 400;
const MACHINES: usize = 5;
const MAX_ROUNDS: usize = 300;

/// One step of a script.
#[derive(Debug, Clone)]
enum Step {
    /// Time passes.
    Wait(u64),
    /// The holder decides to rent.
    Rent,
    /// The holder puts work on a machine, if it may.
    Use(usize),
    /// The work on a machine ends.
    Release(usize),
    /// The holder decides to return a machine, if it may.
    Return(usize),
    /// A message is delivered: to the store or the cloud.
    Deliver(usize),
    /// The same, and its answer is lost.
    DeliverUnheard(usize),
    /// A message is delivered and stays to be delivered again.
    DeliverTwice(usize),
    /// It never arrives, and the sender is told so as far as it can be.
    Lose(usize),
    /// The holder looks what is to be done.
    Tick,
    /// The holder stands still with all that it was about to send, and another takes over.
    Replace,
    /// A former holder goes on where it stood.
    Resume,
}

fn step() -> impl Strategy<Value = Step> {
    let machine = 0..MACHINES;
    let message = 0usize..6;
    prop_oneof![
        2 => (100u64..4_000).prop_map(Step::Wait),
        2 => Just(Step::Rent),
        2 => machine.clone().prop_map(Step::Use),
        2 => machine.clone().prop_map(Step::Release),
        4 => machine.prop_map(Step::Return),
        6 => message.clone().prop_map(Step::Deliver),
        2 => message.clone().prop_map(Step::DeliverUnheard),
        1 => message.clone().prop_map(Step::DeliverTwice),
        1 => message.prop_map(Step::Lose),
        6 => Just(Step::Tick),
        1 => Just(Step::Replace),
        1 => Just(Step::Resume),
    ]
}

/// Something under way, with the epoch that sent it.
#[derive(Debug, Clone)]
enum Message {
    Write { epoch: u64, id: u64, transaction: Transaction },
    Cloud { epoch: u64, id: ActionId, action: Action },
}

struct Holder {
    epoch: u64,
    intent_log: IntentLog,
    /// What it was told to do and has not done when it stood still.
    about_to: Vec<IntentLogCommand>,
}

struct World {
    now: Timestamp,
    revision: u64,
    keys: BTreeMap<String, (Value, u64)>,
    ever_recorded: BTreeSet<Action>,
    holder: Holder,
    former: Vec<Holder>,
    messages: Vec<Message>,
    in_use: BTreeSet<String>,
    returned: BTreeSet<String>,
    rented: BTreeMap<String, Vec<String>>,
    requests: u64,
}

fn machine(index: usize) -> String {
    format!("n-{index}")
}

fn holder(epoch: u64) -> Holder {
    let fence = Fence::new(LeasedRole::Fleet, Epoch::try_from(Revision(epoch)).expect("an epoch"));
    let intent_log = IntentLog::new(fence, LIMITS, TimeDelta::from_secs(12));
    Holder { epoch, intent_log, about_to: Vec::new() }
}

impl World {
    fn new() -> World {
        let mut world = World {
            now: Timestamp(1 << 40),
            revision: 1,
            keys: BTreeMap::new(),
            ever_recorded: BTreeSet::new(),
            holder: holder(1),
            former: Vec::new(),
            messages: Vec::new(),
            in_use: BTreeSet::new(),
            returned: BTreeSet::new(),
            rented: BTreeMap::new(),
            requests: 0,
        };
        world.keys.insert(keys::LEADER.to_owned(), (Value::Null, 1));
        world
    }

    fn play(&mut self, step: &Step) {
        match step {
            Step::Wait(ms) => self.now = self.now + TimeDelta::from_millis(*ms),
            Step::Rent => self.scale_out(),
            Step::Use(index) => {
                let name = machine(*index);
                if !self.returned.contains(&name) && !self.holder.intent_log.is_scaling_in(&name) {
                    self.in_use.insert(name);
                }
            }
            Step::Release(index) => drop(self.in_use.remove(&machine(*index))),
            Step::Return(index) => {
                let name = machine(*index);
                if !self.in_use.contains(&name) {
                    let wish = TerminatedMachine { machine: name, holds_tasks: false };
                    self.holder.intent_log.scale_in(self.now, vec![wish]);
                }
            }
            Step::Deliver(index) => self.deliver(*index, true, false),
            Step::DeliverUnheard(index) => self.deliver(*index, false, false),
            Step::DeliverTwice(index) => self.deliver(*index, true, true),
            Step::Lose(index) => self.lose(*index),
            Step::Tick => self.tick(),
            Step::Replace => self.replace(),
            Step::Resume => self.resume(),
        }
    }

    fn scale_out(&mut self) {
        self.requests += 1;
        self.holder.intent_log.scale_out(ScaleOut {
            request: format!("{}-{}", self.holder.epoch, self.requests),
            kind: "t8".into(),
            zone: "a".into(),
            spot: true,
            count: 2,
        });
    }

    fn tick(&mut self) {
        self.holder.intent_log.tick(self.now, true);
        for command in self.holder.intent_log.take_commands() {
            self.send(self.holder.epoch, command);
        }
    }

    /// The sender holds its lease: nobody has replaced it.
    fn send(&mut self, epoch: u64, command: IntentLogCommand) {
        self.messages.push(match command {
            IntentLogCommand::Write { id, transaction } => {
                Message::Write { epoch, id, transaction }
            }
            IntentLogCommand::Send { id, action } => Message::Cloud { epoch, id, action },
        });
    }

    fn take(&mut self, index: usize, keep: bool) -> Option<Message> {
        let index = index.checked_rem(self.messages.len())?;
        match keep {
            true => Some(self.messages[index].clone()),
            false => Some(self.messages.remove(index)),
        }
    }

    fn deliver(&mut self, index: usize, heard: bool, keep: bool) {
        match self.take(index, keep) {
            Some(Message::Write { epoch, id, transaction }) => {
                let outcome = self.commit(&transaction);
                let outcome = if heard { outcome } else { TransactionOutcome::Indeterminate };
                self.tell_write(epoch, id, &outcome);
            }
            Some(Message::Cloud { epoch, id, action }) => {
                let rented = self.carry_out(epoch, &action);
                let answer = if heard { ActionAnswer::Done } else { ActionAnswer::Unknown };
                self.tell_action(epoch, id, answer, &rented);
            }
            None => {}
        }
    }

    fn lose(&mut self, index: usize) {
        match self.take(index, false) {
            Some(Message::Write { epoch, id, .. }) => {
                self.tell_write(epoch, id, &TransactionOutcome::Indeterminate)
            }
            Some(Message::Cloud { epoch, id, .. }) => {
                self.tell_action(epoch, id, ActionAnswer::Unknown, &[]);
            }
            None => {}
        }
    }

    fn tell_write(&mut self, epoch: u64, id: u64, outcome: &TransactionOutcome) {
        if epoch == self.holder.epoch {
            self.holder.intent_log.written(self.now, id, outcome);
        }
    }

    fn tell_action(&mut self, epoch: u64, id: ActionId, answer: ActionAnswer, rented: &[String]) {
        if epoch == self.holder.epoch {
            self.holder.intent_log.answered(self.now, id, answer, rented);
        }
    }

    fn commit(&mut self, transaction: &Transaction) -> TransactionOutcome {
        let revision = |key: &str| self.keys.get(key).map_or(0, |(_, revision)| *revision);
        let failed = transaction
            .compares
            .iter()
            .filter(|guard| revision(&guard.key) != guard.revision.get());
        let failed: Vec<String> = failed.map(|guard| guard.key.clone()).collect();
        if !failed.is_empty() {
            return TransactionOutcome::Conflict { failed };
        }
        assert!(transaction.operations.len() <= LIMITS.txn_ops, "within the limits");
        self.revision += 1;
        for change in &transaction.operations {
            match change {
                Operation::Put { put, value, .. } => {
                    assert!(value.size() <= LIMITS.value_bytes, "within the limits");
                    self.record(&value.to_value());
                    self.keys.insert(put.clone(), (value.to_value(), self.revision));
                }
                Operation::Delete { drop } => {
                    self.keys.remove(drop);
                }
            }
        }
        TransactionOutcome::Committed { revision: Revision(self.revision) }
    }

    fn record(&mut self, value: &Value) {
        let actions: Vec<Action> =
            serde_json::from_value(value["actions"].clone()).expect("actions");
        self.ever_recorded.extend(actions);
    }

    fn stored(&self) -> Vec<KeyValue> {
        let intents = self.keys.iter().filter(|(key, _)| key.starts_with(INTENT_PREFIX));
        let key_value = |(key, (value, revision)): (&String, &(Value, u64))| KeyValue {
            key: key.clone(),
            value: value.clone(),
            revision: Revision(*revision),
        };
        intents.map(key_value).collect()
    }

    fn is_stored(&self, action: &Action) -> bool {
        self.stored().iter().any(|key_value| {
            let actions: Vec<Action> =
                serde_json::from_value(key_value.value["actions"].clone()).expect("actions");
            actions.contains(action)
        })
    }

    fn carry_out(&mut self, epoch: u64, action: &Action) -> Vec<String> {
        assert!(self.ever_recorded.contains(action), "sent without a record: {action:?}");
        let stale = epoch != self.holder.epoch;
        match action {
            Action::ScaleOut(scale_out) => {
                if !self.rented.contains_key(&scale_out.request) {
                    assert!(!stale || self.is_stored(action), "nobody adopted {action:?}");
                    let names = (0..scale_out.count).map(|n| format!("{}/{n}", scale_out.request));
                    self.rented.insert(scale_out.request.clone(), names.collect());
                }
                self.rented[&scale_out.request].clone()
            }
            Action::ScaleIn(machines) => {
                for TerminatedMachine { machine, .. } in machines {
                    if self.returned.insert(machine.clone()) {
                        assert!(!stale || self.is_stored(action), "nobody adopted {action:?}");
                        assert!(!self.in_use.contains(machine), "{machine} is in use");
                    }
                }
                Vec::new()
            }
        }
    }

    fn replace(&mut self) {
        self.revision += 1;
        self.keys.insert(keys::LEADER.to_owned(), (Value::Null, self.revision));
        let mut new = holder(self.revision);
        let adopted =
            new.intent_log.adopt(self.now, &self.stored(), |name| self.in_use.contains(name));
        assert!(adopted.faults.is_empty() && adopted.cancelled_scale_ins.is_empty(), "{adopted:?}");
        let mut old = std::mem::replace(&mut self.holder, new);
        old.intent_log.tick(self.now, true);
        old.about_to = old.intent_log.take_commands();
        self.former.push(old);
    }

    /// Its writes leave, since the store refuses them; its requests don't, since it looks at its lease first.
    fn resume(&mut self) {
        let Some(mut old) = self.former.pop() else { return };
        for command in std::mem::take(&mut old.about_to) {
            if matches!(command, IntentLogCommand::Write { .. }) {
                self.send(old.epoch, command);
            }
        }
    }

    /// Trouble ends: everything arrives and is heard.
    fn settle(&mut self) {
        for _ in 0..MAX_ROUNDS {
            self.now = self.now + TimeDelta::from_secs(1);
            self.tick();
            while !self.messages.is_empty() {
                self.deliver(0, true, false);
            }
            if self.holder.intent_log.open_actions() == 0 && self.stored().is_empty() {
                return;
            }
        }
        panic!("not settled: {:?}", self.holder.intent_log);
    }
}

#[test]
fn whatever_the_order_nothing_is_done_unrecorded_or_by_a_replaced_holder() {
    let config = Config { cases: CASES, failure_persistence: None, ..Config::default() };
    let rng = TestRng::from_seed(RngAlgorithm::ChaCha, &SEED);
    let mut runner = TestRunner::new_with_rng(config, rng);
    let scripts = proptest::collection::vec(step(), 10..120);
    let played = runner.run(&scripts, |script| {
        let mut world = World::new();
        script.iter().for_each(|step| world.play(step));
        world.settle();
        Ok(())
    });
    played.expect("a minimal script is printed above");
}

/// What a record names is given to the store in as many records as its limits ask for.
#[test]
fn a_large_return_is_recorded_in_parts_and_in_smaller_ones_when_the_limits_fall() {
    let mut world = World::new();
    let requested: Vec<_> = (0..100)
        .map(|n| TerminatedMachine { machine: format!("n-{n:06}"), holds_tasks: n % 2 == 0 })
        .collect();
    assert_eq!(world.holder.intent_log.scale_in(world.now, requested.clone()), 1);
    assert_eq!(world.holder.intent_log.scale_in(world.now, requested), 0, "wanted already");
    world.holder.intent_log.set_limits(WriteLimits { value_bytes: 8_000, txn_ops: 32 });
    world.holder.intent_log.tick(world.now, true);
    let first = world.holder.intent_log.take_commands();
    let [IntentLogCommand::Write { id, .. }] = first[..] else { panic!("{first:?}") };
    world.holder.intent_log.set_limits(LIMITS);
    world.holder.intent_log.written(world.now, id, &TransactionOutcome::TooLarge);
    world.settle();
    assert_eq!(world.returned.len(), 100);
}

/// A record of this epoch or a later one, when this is the newest: the store lost what it had.
#[test]
fn a_holder_whose_epoch_went_back_does_nothing() {
    let mut world = World::new();
    world.scale_out();
    world.tick();
    world.deliver(0, true, false);
    let mut same = holder(1);
    same.intent_log.adopt(world.now, &world.stored(), |_| false);
    assert!(same.intent_log.stopped().is_some());
    same.intent_log.tick(world.now, true);
    assert!(same.intent_log.take_commands().is_empty());
}

/// Work that a version without fences put on a machine whose return is recorded is not destroyed.
#[test]
fn a_recorded_return_is_dropped_where_a_former_version_put_work_since() {
    let mut world = World::new();
    for (name, holds_tasks) in [("n-1", false), ("n-2", true)] {
        let wish = TerminatedMachine { machine: name.into(), holds_tasks };
        world.holder.intent_log.scale_in(world.now, vec![wish]);
    }
    world.tick();
    world.deliver(0, true, false);
    let mut next = holder(9);
    let adopted = next.intent_log.adopt(world.now, &world.stored(), |_| true);
    assert_eq!(adopted.cancelled_scale_ins, ["n-1"]);
    assert!(!next.intent_log.is_scaling_in("n-1") && next.intent_log.is_scaling_in("n-2"));
}
