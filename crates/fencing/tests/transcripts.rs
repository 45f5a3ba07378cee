//! Transcript tests: scripts with a fixed seed run the crate, and every transaction, action and
//! answer is compared with the files in `transcripts/`. `UPDATE_TRANSCRIPTS=1` rewrites the files;
//! use it only for an intended change of behaviour.
//!
//! Coverage: the scripts `ledger` and `second-ledger` exercise `intent_log`, `intent` and `fence`,
//! `leases` exercises `lease`, `balance` exercises `role_balancer`, and `records` the parsing of
//! stored records.

#[path = "../../scheduler/tests/transcripts/golden.rs"]
mod golden;

use std::collections::BTreeMap;

use golden::{SeededRng, Transcript};
use serde_json::{json, Value};
use walnutlug_fencing::action_state::{ActionAnswer, ActionId};
use walnutlug_fencing::fence::Fence;
use walnutlug_fencing::intent::{Action, ScaleOut, StoredIntent, TerminatedMachine, INTENT_PREFIX};
use walnutlug_fencing::intent_log::{IntentLog, IntentLogCommand, Stopped, WriteLimits};
use walnutlug_fencing::lease::{LeaseInput, LeaseState, RoleLease};
use walnutlug_fencing::leased_role::{
    Epoch, EpochError, HeldRole, HolderRecord, LeasedRole, RecordError,
};
use walnutlug_fencing::role_balancer::{NodeLoad, RoleBalancer};
use walnutlug_scheduler::command::TransactionOutcome;
use walnutlug_scheduler::protocol::key_value::{KeyValue, Operation, Transaction};
use walnutlug_scheduler::storage::revision::Revision;
use walnutlug_scheduler::time::{TimeDelta, Timestamp};

const START: Timestamp = Timestamp(1 << 40);
const SCRIPTS: [&str; 5] = ["ledger", "second-ledger", "leases", "balance", "records"];

/// Minimum number of events of each kind in all transcripts together: nine tenths of the numbers
/// when the transcripts were written.
const MIN_EVENT_COUNTS: &[(&str, u64)] = &[
    ("adopted", 74),
    ("answered: done", 2_542),
    ("answered: not sent", 1_367),
    ("answered: refused", 1_260),
    ("answered: unknown", 1_316),
    ("claim", 2),
    ("hands over", 168),
    ("held", 1_611),
    ("holder", 18),
    ("intent", 18),
    ("lease ended", 196),
    ("lease failed", 199),
    ("lease granted", 430),
    ("lease renewed", 916),
    ("lease won", 417),
    ("limits", 284),
    ("rent", 2_844),
    ("return", 6_994),
    ("send", 9_839),
    ("state", 7_200),
    ("vacant", 100),
    ("wants to rent", 391),
    ("wants to return", 725),
    ("write", 414),
    ("written: committed", 176),
    ("written: conflict", 19),
    ("written: lost", 69),
    ("written: refused", 45),
    ("written: too large", 54),
];

fn to_json(value: &impl serde::Serialize) -> String {
    serde_json::to_string(value).expect("serializable to JSON")
}

fn transaction_text(transaction: &Transaction) -> String {
    let compares = transaction
        .compares
        .iter()
        .map(|compare| format!("if {}={}", compare.key, compare.revision));
    let operations = transaction.operations.iter().map(|operation| match operation {
        Operation::Put { put, value, lease } => {
            let lease = lease.map_or(String::new(), |lease| format!(" lease={lease}"));
            format!("put {put}={}{lease}", to_json(value))
        }
        Operation::Delete { drop } => format!("delete {drop}"),
    });
    let parts: Vec<String> = compares.chain(operations).collect();
    format!("{} wire={}", parts.join("; "), to_json(transaction))
}

fn epoch_error(error: EpochError) -> String {
    match error {
        EpochError::Zero => "zero".to_owned(),
        EpochError::AboveLimit(found) => format!("at the limit: {found}"),
        EpochError::NotIncreasing { found, known } => format!("went back: {found} after {known}"),
    }
}

/// Describes a record error without the message of the JSON parser.
fn record_error(error: &RecordError) -> String {
    match error {
        RecordError::Unreadable { key, .. } => format!("{key} unreadable"),
        RecordError::NewerFormat { key, found, newest } => {
            format!("{key} newer format {found} above {newest}")
        }
        RecordError::UnknownRole { key } => format!("{key} unknown duty"),
        RecordError::UnknownHolder { key, node } => format!("{key} unknown holder {node}"),
        RecordError::Epoch { key, error } => format!("{key} epoch {}", epoch_error(*error)),
    }
}

/// Command of the holder that was not answered yet.
enum PendingCommand {
    Write { id: u64, transaction: Transaction },
    Action { id: ActionId, action: Action },
}

/// Simulation of a holder of the fleet role with the key-value store and the cloud.
struct Simulation {
    transcript: Transcript,
    rng: SeededRng,
    now: Timestamp,
    revision: u64,
    keys: BTreeMap<String, (Value, u64)>,
    intent_log: IntentLog,
    pending: Vec<PendingCommand>,
    requests: u64,
    limits: WriteLimits,
}

fn intent_log(epoch: u64, limits: WriteLimits) -> IntentLog {
    let fence =
        Fence::new(LeasedRole::Fleet, Epoch::try_from(Revision(epoch)).expect("a valid epoch"));
    IntentLog::new(fence, limits, TimeDelta::from_secs(12))
}

impl Simulation {
    fn new(script: &'static str, seed: u64) -> Simulation {
        let limits = WriteLimits { value_bytes: 400, txn_ops: 3 };
        let mut simulation = Simulation {
            transcript: Transcript::new(script),
            rng: SeededRng::new(seed),
            now: START,
            revision: 1,
            keys: BTreeMap::new(),
            intent_log: intent_log(1, limits),
            pending: Vec::new(),
            requests: 0,
            limits,
        };
        simulation.keys.insert(LeasedRole::Fleet.key(), (Value::Null, 1));
        simulation
    }

    fn line(&mut self, kind: &str, text: &str) {
        self.transcript.line(kind, text);
    }

    fn step(&mut self) {
        self.transcript.next_step();
        match self.rng.below(20) {
            0 => self.scale_out(),
            1 | 2 => self.scale_in(),
            3..6 => {
                self.now = self.now + TimeDelta::from_millis(100 + self.rng.below(3_000) as u64)
            }
            6..10 => self.tick(),
            10..19 => (0..3).for_each(|_| self.deliver()),
            _ if self.rng.chance(20) => self.replace(),
            _ => self.change_limits(),
        }
        let open = self.intent_log.open_actions();
        let stopped = match self.intent_log.stopped() {
            None => "no".to_owned(),
            Some(Stopped::Fenced) => "fenced".to_owned(),
            Some(Stopped::Epoch(error)) => epoch_error(*error),
        };
        self.line("state", &format!("open={open} stopped={stopped}"));
    }

    fn scale_out(&mut self) {
        self.requests += 1;
        let scale_out = ScaleOut {
            request: format!("ask-{}", self.requests),
            kind: "t8".into(),
            zone: ["a", "b"][self.rng.below(2)].into(),
            spot: self.rng.chance(50),
            count: 1 + self.rng.below(4) as u32,
        };
        let taken = self.intent_log.scale_out(scale_out);
        self.line("wants to rent", &format!("taken={taken}"));
    }

    fn scale_in(&mut self) {
        let machines: Vec<TerminatedMachine> = (0..1 + self.rng.below(12))
            .map(|_| TerminatedMachine {
                machine: format!("n-{:03}", self.rng.below(60)),
                holds_tasks: self.rng.chance(30),
            })
            .collect();
        let first = machines[0].machine.clone();
        let requests = self.intent_log.scale_in(self.now, machines);
        let returning = self.intent_log.is_scaling_in(&first);
        self.line("wants to return", &format!("requests={requests} {first} returning={returning}"));
    }

    fn tick(&mut self) {
        let holds_lease = self.rng.chance(90);
        self.intent_log.tick(self.now, holds_lease);
        for command in self.intent_log.take_commands() {
            match command {
                IntentLogCommand::Write { id, transaction } => {
                    self.line("write", &format!("id={id} {}", transaction_text(&transaction)));
                    self.pending.push(PendingCommand::Write { id, transaction });
                }
                IntentLogCommand::Send { id, action } => {
                    self.line("send", &to_json(&action));
                    match &action {
                        Action::ScaleOut(scale_out) => {
                            self.line("rent", &to_json(&scale_out.request()))
                        }
                        Action::ScaleIn(machines) => self.line("return", &to_json(machines)),
                    }
                    self.pending.push(PendingCommand::Action { id, action });
                }
            }
        }
    }

    /// Delivers a random pending command to the store or the cloud and reports an outcome: a
    /// success, a refusal or a loss.
    fn deliver(&mut self) {
        if self.pending.is_empty() {
            return;
        }
        let index = self.rng.below(self.pending.len());
        match self.pending.remove(index) {
            PendingCommand::Write { id, transaction } => {
                let outcome = match self.rng.below(10) {
                    0 => TransactionOutcome::Rejected,
                    1 => TransactionOutcome::Indeterminate,
                    2 => {
                        self.apply(&transaction);
                        TransactionOutcome::Indeterminate
                    }
                    _ => self.apply(&transaction),
                };
                self.intent_log.written(self.now, id, &outcome);
                let kind = match outcome {
                    TransactionOutcome::Committed { .. } => "written: committed",
                    TransactionOutcome::Conflict { .. } => "written: conflict",
                    TransactionOutcome::Rejected => "written: refused",
                    TransactionOutcome::TooLarge => "written: too large",
                    TransactionOutcome::Indeterminate => "written: lost",
                };
                self.line(kind, &id.to_string());
            }
            PendingCommand::Action { id, action } => {
                let (answer, kind) = [
                    (ActionAnswer::Done, "answered: done"),
                    (ActionAnswer::Done, "answered: done"),
                    (ActionAnswer::Refused, "answered: refused"),
                    (ActionAnswer::NotSent, "answered: not sent"),
                    (ActionAnswer::Unknown, "answered: unknown"),
                ][self.rng.below(5)];
                let rented: Vec<String> = match (&action, answer) {
                    (Action::ScaleOut(scale_out), ActionAnswer::Done) => (0..scale_out.count)
                        .map(|_| format!("n-{:03}", self.rng.below(60)))
                        .collect(),
                    _ => Vec::new(),
                };
                self.intent_log.answered(self.now, id, answer, &rented);
                self.line(kind, &to_json(&rented));
            }
        }
    }

    fn apply(&mut self, transaction: &Transaction) -> TransactionOutcome {
        let too_large = transaction.operations.iter().any(|operation| match operation {
            Operation::Put { value, .. } => value.size() > self.limits.value_bytes,
            Operation::Delete { .. } => false,
        });
        if too_large || transaction.operations.len() > self.limits.txn_ops {
            return TransactionOutcome::TooLarge;
        }
        let revision = |key: &str| self.keys.get(key).map_or(0, |(_, revision)| *revision);
        let failed = transaction
            .compares
            .iter()
            .filter(|compare| revision(&compare.key) != compare.revision.get());
        let failed: Vec<String> = failed.map(|compare| compare.key.clone()).collect();
        if !failed.is_empty() {
            return TransactionOutcome::Conflict { failed };
        }
        self.revision += 1;
        for operation in &transaction.operations {
            match operation {
                Operation::Put { put, value, .. } => {
                    self.keys.insert(put.clone(), (value.to_value(), self.revision));
                }
                Operation::Delete { drop } => {
                    self.keys.remove(drop);
                }
            }
        }
        TransactionOutcome::Committed { revision: Revision(self.revision) }
    }

    /// Gives the role to a new holder. In half of the cases the former one has a last tick and
    /// delivery first, by which it can learn of it.
    fn replace(&mut self) {
        self.revision += 1;
        self.keys.insert(LeasedRole::Fleet.key(), (Value::Null, self.revision));
        if self.rng.chance(50) {
            self.tick();
            self.deliver();
        }
        self.pending.clear();
        self.intent_log = intent_log(self.revision, self.limits);
        let stored: Vec<KeyValue> = self
            .keys
            .iter()
            .filter(|(key, _)| key.starts_with(INTENT_PREFIX))
            .map(|(key, (value, revision))| KeyValue {
                key: key.clone(),
                value: value.clone(),
                revision: Revision(*revision),
            })
            .collect();
        let adopted = self.intent_log.adopt(self.now, &stored, |name| name.ends_with('7'));
        let faults: Vec<String> = adopted.faults.iter().map(record_error).collect();
        let text = format!(
            "rentals={} returns={} overruled={} faults={}",
            to_json(&adopted.scale_outs),
            to_json(&adopted.scale_ins),
            to_json(&adopted.cancelled_scale_ins),
            to_json(&faults)
        );
        self.line("adopted", &text);
    }

    fn change_limits(&mut self) {
        let (value_bytes, txn_ops) = [(400, 3), (200, 2), (900, 8)][self.rng.below(3)];
        self.limits = WriteLimits { value_bytes, txn_ops };
        // Otherwise the intent log learns of the limits only when a write is rejected.
        if self.rng.chance(70) {
            self.intent_log.set_limits(self.limits);
        }
        self.line("limits", &format!("{value_bytes} {txn_ops}"));
    }
}

#[test]
fn intent_log_matches_its_transcript() {
    for (script, seed) in [("ledger", 21), ("second-ledger", 121)] {
        let mut simulation = Simulation::new(script, seed);
        for _ in 0..4_000 {
            simulation.step();
        }
        simulation.transcript.assert_matches_golden();
    }
}

#[test]
fn role_lease_matches_its_transcript() {
    let mut transcript = Transcript::new("leases");
    let mut rng = SeededRng::new(22);
    let mut now = START;
    for (lease_number, ttl) in [10, 4, 30].into_iter().cycle().take(60).enumerate() {
        let mut lease = RoleLease::new(TimeDelta::from_secs(ttl));
        for _ in 0..40 {
            transcript.next_step();
            now = now + TimeDelta::from_millis(rng.below(4_000) as u64);
            let sent = now - TimeDelta::from_millis(rng.below(900) as u64);
            let later_revision = 40 + lease_number as u64 + rng.below(30) as u64;
            let revision = [later_revision, later_revision, 0, 5, Epoch::LIMIT + 1][rng.below(5)];
            let (input, name) = match rng.below(10) {
                0 | 1 => (LeaseInput::Granted { sent }, "granted"),
                2 | 3 => (LeaseInput::Won { revision: Revision(revision) }, "won"),
                4 => (LeaseInput::Failed, "failed"),
                5..9 => (LeaseInput::Renewed { sent }, "renewed"),
                _ => (LeaseInput::Ended, "ended"),
            };
            let changed = lease.step(input);
            if rng.chance(3) {
                lease.observe(Epoch::try_from(Revision(later_revision)).expect("a valid epoch"));
            }
            let state = match lease.state() {
                LeaseState::Idle => "idle".to_owned(),
                LeaseState::Acquiring { sent } => format!("acquiring since {}", sent.0),
                LeaseState::Held { epoch, until } => {
                    format!("held under {} until {}", epoch.revision(), until.0)
                }
                LeaseState::Stopped { error } => format!("stopped: {}", epoch_error(error)),
            };
            let permit = lease.permit(now).map_or(0, |permit| permit.epoch().revision().get());
            let until = lease.held_until().map_or(0, |until| until.0);
            let epoch = lease.epoch().map_or(0, |epoch| epoch.revision().get());
            let text = format!("changed={changed} {state}; {permit} {until} {epoch}");
            transcript.line(&format!("lease {name}"), &text);
        }
    }
    transcript.assert_matches_golden();
}

#[test]
fn role_balancer_matches_its_transcript() {
    let mut transcript = Transcript::new("balance");
    let mut rng = SeededRng::new(23);
    let mut now = START;
    let mut balancer = RoleBalancer::default();
    let (mut leads, mut others_lead) = (false, false);
    for _ in 0..2_000 {
        transcript.next_step();
        now = now + TimeDelta::from_millis(rng.below(3_000) as u64);
        if rng.chance(4) {
            (leads, others_lead) = (rng.chance(50), rng.chance(50));
        }
        let own = NodeLoad { leads, store_reachable: rng.chance(90) };
        let others = [
            NodeLoad { leads: others_lead, store_reachable: rng.chance(97) },
            NodeLoad { leads: false, store_reachable: rng.chance(97) },
        ];
        match rng.below(20) {
            0 => balancer.taken(),
            1 => {
                let takes = balancer.should_take(now, own);
                transcript.line("vacant", &format!("takes={takes}"));
            }
            _ => {
                let hands_over = balancer.should_hand_over(now, own, &others);
                transcript.line("held", &format!("hands-over={hands_over}"));
                transcript.count("hands over", u64::from(hands_over));
            }
        }
    }
    transcript.assert_matches_golden();
}

fn read_holders(transcript: &mut Transcript) {
    let valid = json!({"format": 1, "node": "p", "inc": "x", "lease": 4});
    for value in [
        valid.clone(),
        json!({"format": 2, "node": "p", "inc": "x", "lease": 4}),
        json!({"format": 0, "node": "p", "inc": "x", "lease": 4}),
        json!({"node": "p"}),
        json!({"format": 1, "node": "z", "inc": "x", "lease": 4}),
        json!({"format": 1, "node": "p"}),
        json!(null),
    ] {
        for (key, revision) in
            [("duty/machine-types", 7), ("duty/else", 7), ("duty/fleet", 1 << 50)]
        {
            transcript.next_step();
            let key_value = KeyValue {
                key: key.to_owned(),
                value: value.clone(),
                revision: Revision(revision),
            };
            let text = match HeldRole::read(&key_value, &["p", "q"]) {
                Ok(found) => {
                    format!("{} {} {}", found.role.name(), found.epoch, to_json(&found.holder))
                }
                Err(error) => record_error(&error),
            };
            transcript.line("holder", &text);
        }
    }
}

fn read_intents(transcript: &mut Transcript) {
    let scale_out =
        json!({"request": "ask-1", "kind": "t8", "zone": "a", "spot": true, "count": 2});
    for value in [
        json!({"format": 1, "actions": [{"rent": scale_out}]}),
        json!({"format": 1, "actions": [{"return": [{"name": "n-1", "tasks": true}]}]}),
        json!({"format": 1, "actions": [{"paint": []}]}),
        json!({"format": 3, "actions": []}),
        json!([]),
    ] {
        for place in ["fleet/00000000000000000007/000001", "fleet/x/1", "fleet/0/1", "other/7/1"] {
            transcript.next_step();
            let key = format!("{INTENT_PREFIX}{place}");
            let text = match StoredIntent::read(&KeyValue {
                key,
                value: value.clone(),
                revision: Revision(3),
            }) {
                Ok(found) => {
                    format!("{} {} {}", found.role.name(), found.epoch, to_json(&found.record))
                }
                Err(error) => record_error(&error),
            };
            transcript.line("intent", &text);
        }
    }
}

/// Covers valid and malformed holder and intent records, in this format and a newer one.
#[test]
fn stored_records_match_their_transcript() {
    let mut transcript = Transcript::new("records");
    let incarnation = "x1".to_owned();
    let holder = HolderRecord { format: 1, node: "p".into(), incarnation, lease: 9 };
    for role in LeasedRole::ALL {
        transcript.next_step();
        transcript.line("claim", &transaction_text(&HeldRole::claim(role, &holder)));
    }
    read_holders(&mut transcript);
    read_intents(&mut transcript);
    transcript.assert_matches_golden();
}

#[test]
fn transcripts_contain_the_minimum_number_of_each_event() {
    golden::assert_min_counts(&SCRIPTS, MIN_EVENT_COUNTS);
}
