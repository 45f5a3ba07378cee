//! Random tests of the intent log with delayed, lost and repeated messages, paused holders, and a
//! store and a cloud that answer late. In every order, no action may take effect without a record,
//! no action of a replaced holder unless its successor adopted it, and no machine may be returned
//! while in use. Once the disruptions end, all actions must settle.

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
const MAX_SETTLE_ROUNDS: usize = 300;

/// One random event of a test case.
#[derive(Debug, Clone)]
enum Step {
    /// The clock advances by this many milliseconds.
    Wait(u64),
    /// The holder requests machines.
    Rent,
    /// The holder places tasks on a machine, unless it is returned or its return is requested.
    PlaceTasks(usize),
    /// The tasks on a machine end.
    EndTasks(usize),
    /// The holder requests the return of a machine, unless it is in use.
    Return(usize),
    /// A message reaches the store or the cloud, and the sender gets the response.
    Deliver(usize),
    /// A message is delivered, but the response is lost.
    DeliverWithoutResponse(usize),
    /// A message is delivered, and a copy of it stays in transit.
    DeliverTwice(usize),
    /// A message is lost, and the sender sees an unknown outcome.
    Lose(usize),
    /// The holder's intent log issues its commands.
    Tick,
    /// The holder pauses with the commands that it was about to send, and another node takes over
    /// the role.
    Replace,
    /// The most recent paused holder resumes with those commands.
    Resume,
}

fn step() -> impl Strategy<Value = Step> {
    let machine = 0..MACHINES;
    let message = 0usize..6;
    prop_oneof![
        2 => (100u64..4_000).prop_map(Step::Wait),
        2 => Just(Step::Rent),
        2 => machine.clone().prop_map(Step::PlaceTasks),
        2 => machine.clone().prop_map(Step::EndTasks),
        4 => machine.prop_map(Step::Return),
        6 => message.clone().prop_map(Step::Deliver),
        2 => message.clone().prop_map(Step::DeliverWithoutResponse),
        1 => message.clone().prop_map(Step::DeliverTwice),
        1 => message.prop_map(Step::Lose),
        6 => Just(Step::Tick),
        1 => Just(Step::Replace),
        1 => Just(Step::Resume),
    ]
}

/// Message in transit, with the epoch of its sender.
#[derive(Debug, Clone)]
enum Message {
    Write { epoch: u64, id: u64, transaction: Transaction },
    Cloud { epoch: u64, id: ActionId, action: Action },
}

struct Holder {
    epoch: u64,
    intent_log: IntentLog,
    /// Commands that were issued but not carried out when the holder was paused.
    unsent_commands: Vec<IntentLogCommand>,
}

struct World {
    now: Timestamp,
    revision: u64,
    keys: BTreeMap<String, (Value, u64)>,
    ever_recorded: BTreeSet<Action>,
    holder: Holder,
    replaced: Vec<Holder>,
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
    let fence =
        Fence::new(LeasedRole::Fleet, Epoch::try_from(Revision(epoch)).expect("a valid epoch"));
    let intent_log = IntentLog::new(fence, LIMITS, TimeDelta::from_secs(12));
    Holder { epoch, intent_log, unsent_commands: Vec::new() }
}

impl World {
    fn new() -> World {
        let mut world = World {
            now: Timestamp(1 << 40),
            revision: 1,
            keys: BTreeMap::new(),
            ever_recorded: BTreeSet::new(),
            holder: holder(1),
            replaced: Vec::new(),
            messages: Vec::new(),
            in_use: BTreeSet::new(),
            returned: BTreeSet::new(),
            rented: BTreeMap::new(),
            requests: 0,
        };
        world.keys.insert(keys::LEADER.to_owned(), (Value::Null, 1));
        world
    }

    fn apply_step(&mut self, step: &Step) {
        match step {
            Step::Wait(ms) => self.now = self.now + TimeDelta::from_millis(*ms),
            Step::Rent => self.scale_out(),
            Step::PlaceTasks(index) => {
                let name = machine(*index);
                if !self.returned.contains(&name) && !self.holder.intent_log.is_scaling_in(&name) {
                    self.in_use.insert(name);
                }
            }
            Step::EndTasks(index) => drop(self.in_use.remove(&machine(*index))),
            Step::Return(index) => {
                let name = machine(*index);
                if !self.in_use.contains(&name) {
                    let scale_in = TerminatedMachine { machine: name, holds_tasks: false };
                    self.holder.intent_log.scale_in(self.now, vec![scale_in]);
                }
            }
            Step::Deliver(index) => self.deliver(*index, true, false),
            Step::DeliverWithoutResponse(index) => self.deliver(*index, false, false),
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

    /// Puts a command in transit. The caller makes sure that the sender may still send it.
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

    fn deliver(&mut self, index: usize, response_arrives: bool, keep: bool) {
        match self.take(index, keep) {
            Some(Message::Write { epoch, id, transaction }) => {
                let outcome = self.commit(&transaction);
                let outcome =
                    if response_arrives { outcome } else { TransactionOutcome::Indeterminate };
                self.report_write(epoch, id, &outcome);
            }
            Some(Message::Cloud { epoch, id, action }) => {
                let rented = self.carry_out(epoch, &action);
                let answer =
                    if response_arrives { ActionAnswer::Done } else { ActionAnswer::Unknown };
                self.report_action(epoch, id, answer, &rented);
            }
            None => {}
        }
    }

    fn lose(&mut self, index: usize) {
        match self.take(index, false) {
            Some(Message::Write { epoch, id, .. }) => {
                self.report_write(epoch, id, &TransactionOutcome::Indeterminate)
            }
            Some(Message::Cloud { epoch, id, .. }) => {
                self.report_action(epoch, id, ActionAnswer::Unknown, &[]);
            }
            None => {}
        }
    }

    fn report_write(&mut self, epoch: u64, id: u64, outcome: &TransactionOutcome) {
        if epoch == self.holder.epoch {
            self.holder.intent_log.written(self.now, id, outcome);
        }
    }

    fn report_action(&mut self, epoch: u64, id: ActionId, answer: ActionAnswer, rented: &[String]) {
        if epoch == self.holder.epoch {
            self.holder.intent_log.answered(self.now, id, answer, rented);
        }
    }

    fn commit(&mut self, transaction: &Transaction) -> TransactionOutcome {
        let revision = |key: &str| self.keys.get(key).map_or(0, |(_, revision)| *revision);
        let failed = transaction
            .compares
            .iter()
            .filter(|compare| revision(&compare.key) != compare.revision.get());
        let failed: Vec<String> = failed.map(|compare| compare.key.clone()).collect();
        if !failed.is_empty() {
            return TransactionOutcome::Conflict { failed };
        }
        assert!(
            transaction.operations.len() <= LIMITS.txn_ops,
            "too many operations in a transaction"
        );
        self.revision += 1;
        for operation in &transaction.operations {
            match operation {
                Operation::Put { put, value, .. } => {
                    assert!(value.size() <= LIMITS.value_bytes, "value too large");
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
            serde_json::from_value(value["actions"].clone()).expect("a list of actions");
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
            let actions: Vec<Action> = serde_json::from_value(key_value.value["actions"].clone())
                .expect("a list of actions");
            actions.contains(action)
        })
    }

    fn carry_out(&mut self, epoch: u64, action: &Action) -> Vec<String> {
        assert!(self.ever_recorded.contains(action), "took effect without a record: {action:?}");
        let stale = epoch != self.holder.epoch;
        match action {
            Action::ScaleOut(scale_out) => {
                if !self.rented.contains_key(&scale_out.request) {
                    assert!(!stale || self.is_stored(action), "stale and not adopted: {action:?}");
                    let names = (0..scale_out.count).map(|n| format!("{}/{n}", scale_out.request));
                    self.rented.insert(scale_out.request.clone(), names.collect());
                }
                self.rented[&scale_out.request].clone()
            }
            Action::ScaleIn(machines) => {
                for TerminatedMachine { machine, .. } in machines {
                    if self.returned.insert(machine.clone()) {
                        assert!(
                            !stale || self.is_stored(action),
                            "stale and not adopted: {action:?}"
                        );
                        assert!(
                            !self.in_use.contains(machine),
                            "{machine} was returned while in use"
                        );
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
        old.unsent_commands = old.intent_log.take_commands();
        self.replaced.push(old);
    }

    /// Resumes a replaced holder. Its writes are sent, and the store rejects them. Its cloud
    /// requests are not, because it checks its lease before sending.
    fn resume(&mut self) {
        let Some(mut old) = self.replaced.pop() else { return };
        for command in std::mem::take(&mut old.unsent_commands) {
            if matches!(command, IntentLogCommand::Write { .. }) {
                self.send(old.epoch, command);
            }
        }
    }

    /// Ends all disruptions, delivers every message with its response, and fails unless all actions
    /// settle.
    fn settle(&mut self) {
        for _ in 0..MAX_SETTLE_ROUNDS {
            self.now = self.now + TimeDelta::from_secs(1);
            self.tick();
            while !self.messages.is_empty() {
                self.deliver(0, true, false);
            }
            if self.holder.intent_log.open_actions() == 0 && self.stored().is_empty() {
                return;
            }
        }
        panic!("actions not settled: {:?}", self.holder.intent_log);
    }
}

#[test]
fn random_interleavings_never_run_unrecorded_or_unadopted_stale_actions() {
    let config = Config { cases: CASES, failure_persistence: None, ..Config::default() };
    let rng = TestRng::from_seed(RngAlgorithm::ChaCha, &SEED);
    let mut runner = TestRunner::new_with_rng(config, rng);
    let scripts = proptest::collection::vec(step(), 10..120);
    let result = runner.run(&scripts, |script| {
        let mut world = World::new();
        script.iter().for_each(|step| world.apply_step(step));
        world.settle();
        Ok(())
    });
    result.expect("a failing script, printed above in its minimal form");
}

/// Guards against scale-ins that the store can never accept because a record exceeds its limits,
/// also when the limits shrink while the write is in progress.
#[test]
fn large_scale_in_is_split_to_fit_the_limits_and_again_when_they_shrink() {
    let mut world = World::new();
    let requested: Vec<_> = (0..100)
        .map(|n| TerminatedMachine { machine: format!("n-{n:06}"), holds_tasks: n % 2 == 0 })
        .collect();
    assert_eq!(world.holder.intent_log.scale_in(world.now, requested.clone()), 1);
    assert_eq!(world.holder.intent_log.scale_in(world.now, requested), 0, "requested twice");
    world.holder.intent_log.set_limits(WriteLimits { value_bytes: 8_000, txn_ops: 32 });
    world.holder.intent_log.tick(world.now, true);
    let first = world.holder.intent_log.take_commands();
    let [IntentLogCommand::Write { id, .. }] = first[..] else { panic!("{first:?}") };
    world.holder.intent_log.set_limits(LIMITS);
    world.holder.intent_log.written(world.now, id, &TransactionOutcome::TooLarge);
    world.settle();
    assert_eq!(world.returned.len(), 100);
}

/// Guards against intents that no holder deletes and every later one carries out again: the answer
/// to a write was lost, and its repetition exceeded the limits, which had fallen meanwhile.
#[test]
fn records_of_a_write_that_became_too_large_after_a_lost_answer_are_deleted() {
    for is_committed in [true, false] {
        let mut world = World::new();
        world.scale_out();
        let scale_in = TerminatedMachine { machine: machine(1), holds_tasks: false };
        world.holder.intent_log.scale_in(world.now, vec![scale_in]);
        world.tick();
        match is_committed {
            true => world.deliver(0, false, false),
            false => world.lose(0),
        }
        assert_eq!(!world.stored().is_empty(), is_committed);
        world.now = world.now + TimeDelta::from_secs(1);
        world.tick();
        let Some(Message::Write { epoch, id, .. }) = world.take(0, false) else {
            panic!("the write is not repeated: {:?}", world.holder.intent_log);
        };
        world.report_write(epoch, id, &TransactionOutcome::TooLarge);
        world.settle();
        assert_eq!((world.rented.len(), world.returned.len()), (1, 1));
    }
}

/// A stored intent has the holder's own epoch although that epoch was just acquired, which means
/// that the store lost data.
#[test]
fn intent_log_stops_if_a_stored_intent_already_has_its_epoch() {
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

/// Guards against the loss of tasks that a version without fencing placed on a machine after its
/// return was recorded.
#[test]
fn adoption_cancels_a_scale_in_if_tasks_were_placed_after_its_recording() {
    let mut world = World::new();
    for (name, holds_tasks) in [("n-1", false), ("n-2", true)] {
        let scale_in = TerminatedMachine { machine: name.into(), holds_tasks };
        world.holder.intent_log.scale_in(world.now, vec![scale_in]);
    }
    world.tick();
    world.deliver(0, true, false);
    let mut next = holder(9);
    let adopted = next.intent_log.adopt(world.now, &world.stored(), |_| true);
    assert_eq!(adopted.cancelled_scale_ins, ["n-1"]);
    assert!(!next.intent_log.is_scaling_in("n-1") && next.intent_log.is_scaling_in("n-2"));
}
