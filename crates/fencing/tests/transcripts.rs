//! Transcripts of the roles: fixed scripts with every transaction, every action and every answer, held against
//! the files in `transcripts/`. `UPDATE_TRANSCRIPTS=1` writes the files anew, which only a change that is
//! meant to change behaviour may do.
//!
//! What the scripts reach: `intent_log`, `intent` and `fence` (intent log), `lease` and `role` (leases), `balancer`
//! (balance), and the reading of stored records (records).

#[path = "../../scheduler/tests/transcripts/golden.rs"]
mod golden;

use std::collections::BTreeMap;

use golden::{Dice, Transcript};
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
const SCRIPTS: [&str; 4] = ["ledger", "leases", "balance", "records"];

/// What has to be in the transcripts, all together, at least so often: nine tenths of what was in them when
/// they were written.
const REACHED: &[(&str, u64)] = &[
    ("adopted", 42),
    ("answered: done", 926),
    ("answered: not sent", 442),
    ("answered: refused", 444),
    ("answered: unknown", 465),
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
    ("limits", 143),
    ("rent", 859),
    ("return", 1_867),
    ("send", 2_727),
    ("state", 3_600),
    ("vacant", 100),
    ("wants to rent", 195),
    ("wants to return", 344),
    ("write", 316),
    ("written: committed", 153),
    ("written: conflict", 15),
    ("written: lost", 46),
    ("written: refused", 34),
    ("written: too large", 43),
];

fn json_of(value: &impl serde::Serialize) -> String {
    serde_json::to_string(value).expect("a value with a written form")
}

fn transaction_text(transaction: &Transaction) -> String {
    let conditions =
        transaction.compares.iter().map(|guard| format!("if {}={}", guard.key, guard.revision));
    let changes = transaction.operations.iter().map(|change| match change {
        Operation::Put { put, value, lease } => {
            let lease = lease.map_or(String::new(), |lease| format!(" lease={lease}"));
            format!("put {put}={}{lease}", json_of(value))
        }
        Operation::Delete { drop } => format!("delete {drop}"),
    });
    let parts: Vec<String> = conditions.chain(changes).collect();
    format!("{} wire={}", parts.join("; "), json_of(transaction))
}

fn epoch_error(error: EpochError) -> String {
    match error {
        EpochError::Zero => "zero".to_owned(),
        EpochError::AtLimit(found) => format!("at the limit: {found}"),
        EpochError::WentBack { found, known } => format!("went back: {found} after {known}"),
    }
}

/// What is wrong with a record; the words of the reader of JSON are left out.
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

/// Something that the holder gave out and that was not answered yet.
enum UnderWay {
    Write { id: u64, transaction: Transaction },
    Action { id: ActionId, action: Action },
}

/// A holder of the fleet's role, with its store and its cloud.
struct Play {
    transcript: Transcript,
    dice: Dice,
    now: Timestamp,
    revision: u64,
    keys: BTreeMap<String, (Value, u64)>,
    intent_log: IntentLog,
    under_way: Vec<UnderWay>,
    requests: u64,
    limits: WriteLimits,
}

fn intent_log(epoch: u64, limits: WriteLimits) -> IntentLog {
    let fence = Fence::new(LeasedRole::Fleet, Epoch::try_from(Revision(epoch)).expect("an epoch"));
    IntentLog::new(fence, limits, TimeDelta::from_secs(12))
}

impl Play {
    fn new() -> Play {
        let limits = WriteLimits { value_bytes: 400, txn_ops: 3 };
        let mut play = Play {
            transcript: Transcript::new("ledger"),
            dice: Dice::new(21),
            now: START,
            revision: 1,
            keys: BTreeMap::new(),
            intent_log: intent_log(1, limits),
            under_way: Vec::new(),
            requests: 0,
            limits,
        };
        play.keys.insert(LeasedRole::Fleet.key(), (Value::Null, 1));
        play
    }

    fn line(&mut self, kind: &str, text: &str) {
        self.transcript.line(kind, text);
    }

    fn step(&mut self) {
        self.transcript.next_step();
        match self.dice.below(20) {
            0 => self.scale_out(),
            1 | 2 => self.scale_in(),
            3..6 => {
                self.now = self.now + TimeDelta::from_millis(100 + self.dice.below(3_000) as u64)
            }
            6..10 => self.tick(),
            10..19 => (0..3).for_each(|_| self.deliver()),
            _ if self.dice.chance(20) => self.replace(),
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
            zone: ["a", "b"][self.dice.below(2)].into(),
            spot: self.dice.chance(50),
            count: 1 + self.dice.below(4) as u32,
        };
        let taken = self.intent_log.scale_out(scale_out);
        self.line("wants to rent", &format!("taken={taken}"));
    }

    fn scale_in(&mut self) {
        let machines: Vec<TerminatedMachine> = (0..1 + self.dice.below(12))
            .map(|_| TerminatedMachine {
                machine: format!("n-{:03}", self.dice.below(60)),
                holds_tasks: self.dice.chance(30),
            })
            .collect();
        let first = machines[0].machine.clone();
        let requests = self.intent_log.scale_in(self.now, machines);
        let returning = self.intent_log.is_scaling_in(&first);
        self.line("wants to return", &format!("requests={requests} {first} returning={returning}"));
    }

    fn tick(&mut self) {
        let holds_lease = self.dice.chance(90);
        self.intent_log.tick(self.now, holds_lease);
        for command in self.intent_log.take_commands() {
            match command {
                IntentLogCommand::Write { id, transaction } => {
                    self.line("write", &format!("id={id} {}", transaction_text(&transaction)));
                    self.under_way.push(UnderWay::Write { id, transaction });
                }
                IntentLogCommand::Send { id, action } => {
                    self.line("send", &json_of(&action));
                    match &action {
                        Action::ScaleOut(scale_out) => {
                            self.line("rent", &json_of(&scale_out.request()))
                        }
                        Action::ScaleIn(machines) => self.line("return", &json_of(machines)),
                    }
                    self.under_way.push(UnderWay::Action { id, action });
                }
            }
        }
    }

    /// Something under way arrives and is answered, or is not.
    fn deliver(&mut self) {
        if self.under_way.is_empty() {
            return;
        }
        let at = self.dice.below(self.under_way.len());
        match self.under_way.remove(at) {
            UnderWay::Write { id, transaction } => {
                let outcome = match self.dice.below(10) {
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
            UnderWay::Action { id, action } => {
                let (answer, kind) = [
                    (ActionAnswer::Done, "answered: done"),
                    (ActionAnswer::Done, "answered: done"),
                    (ActionAnswer::Refused, "answered: refused"),
                    (ActionAnswer::NotSent, "answered: not sent"),
                    (ActionAnswer::Unknown, "answered: unknown"),
                ][self.dice.below(5)];
                let rented: Vec<String> = match (&action, answer) {
                    (Action::ScaleOut(scale_out), ActionAnswer::Done) => (0..scale_out.count)
                        .map(|_| format!("n-{:03}", self.dice.below(60)))
                        .collect(),
                    _ => Vec::new(),
                };
                self.intent_log.answered(self.now, id, answer, &rented);
                self.line(kind, &json_of(&rented));
            }
        }
    }

    fn apply(&mut self, transaction: &Transaction) -> TransactionOutcome {
        let too_large = transaction.operations.iter().any(|change| match change {
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
            .filter(|guard| revision(&guard.key) != guard.revision.get());
        let failed: Vec<String> = failed.map(|guard| guard.key.clone()).collect();
        if !failed.is_empty() {
            return TransactionOutcome::Conflict { failed };
        }
        self.revision += 1;
        for change in &transaction.operations {
            match change {
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

    /// Another holds the role from now on; at times the store tells the former one so first.
    fn replace(&mut self) {
        self.revision += 1;
        self.keys.insert(LeasedRole::Fleet.key(), (Value::Null, self.revision));
        if self.dice.chance(50) {
            self.tick();
            self.deliver();
        }
        self.under_way.clear();
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
            json_of(&adopted.scale_outs),
            json_of(&adopted.scale_ins),
            json_of(&adopted.cancelled_scale_ins),
            json_of(&faults)
        );
        self.line("adopted", &text);
    }

    fn change_limits(&mut self) {
        let (value_bytes, txn_ops) = [(400, 3), (200, 2), (900, 8)][self.dice.below(3)];
        self.limits = WriteLimits { value_bytes, txn_ops };
        // At times the intent log hears of it only by a refusal.
        if self.dice.chance(70) {
            self.intent_log.set_limits(self.limits);
        }
        self.line("limits", &format!("{value_bytes} {txn_ops}"));
    }
}

#[test]
fn ledger_is_as_it_was() {
    let mut play = Play::new();
    for _ in 0..4_000 {
        play.step();
    }
    play.transcript.hold_against_golden();
}

#[test]
fn leases_are_as_they_were() {
    let mut transcript = Transcript::new("leases");
    let mut dice = Dice::new(22);
    let mut now = START;
    for (life, ttl) in [10, 4, 30].into_iter().cycle().take(60).enumerate() {
        let mut lease = RoleLease::new(TimeDelta::from_secs(ttl));
        for _ in 0..40 {
            transcript.next_step();
            now = now + TimeDelta::from_millis(dice.below(4_000) as u64);
            let sent = now - TimeDelta::from_millis(dice.below(900) as u64);
            let rising = 40 + life as u64 + dice.below(30) as u64;
            let revision = [rising, rising, 0, 5, Epoch::LIMIT + 1][dice.below(5)];
            let (input, name) = match dice.below(10) {
                0 | 1 => (LeaseInput::Granted { sent }, "granted"),
                2 | 3 => (LeaseInput::Won { revision: Revision(revision) }, "won"),
                4 => (LeaseInput::Failed, "failed"),
                5..9 => (LeaseInput::Renewed { sent }, "renewed"),
                _ => (LeaseInput::Ended, "ended"),
            };
            let changed = lease.step(input);
            if dice.chance(3) {
                lease.observe(Epoch::try_from(Revision(rising)).expect("an epoch"));
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
    transcript.hold_against_golden();
}

#[test]
fn balance_is_as_it_was() {
    let mut transcript = Transcript::new("balance");
    let mut dice = Dice::new(23);
    let mut now = START;
    let mut balancer = RoleBalancer::default();
    let (mut leads, mut others_lead) = (false, false);
    for _ in 0..2_000 {
        transcript.next_step();
        now = now + TimeDelta::from_millis(dice.below(3_000) as u64);
        if dice.chance(4) {
            (leads, others_lead) = (dice.chance(50), dice.chance(50));
        }
        let own = NodeLoad { leads, store_reachable: dice.chance(90) };
        let others = [
            NodeLoad { leads: others_lead, store_reachable: dice.chance(97) },
            NodeLoad { leads: false, store_reachable: dice.chance(97) },
        ];
        match dice.below(20) {
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
    transcript.hold_against_golden();
}

fn read_holders(transcript: &mut Transcript) {
    let well = json!({"format": 1, "node": "p", "inc": "x", "lease": 4});
    for value in [
        well.clone(),
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
                    format!("{} {} {}", found.role.name(), found.epoch, json_of(&found.holder))
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
                    format!("{} {} {}", found.role.name(), found.epoch, json_of(&found.record))
                }
                Err(error) => record_error(&error),
            };
            transcript.line("intent", &text);
        }
    }
}

/// Holders' records and intents, well and ill formed, of this format and of a newer one.
#[test]
fn records_are_read_and_written_as_they_were() {
    let mut transcript = Transcript::new("records");
    let incarnation = "x1".to_owned();
    let holder = HolderRecord { format: 1, node: "p".into(), incarnation, lease: 9 };
    for role in LeasedRole::ALL {
        transcript.next_step();
        transcript.line("claim", &transaction_text(&HeldRole::claim(role, &holder)));
    }
    read_holders(&mut transcript);
    read_intents(&mut transcript);
    transcript.hold_against_golden();
}

#[test]
fn the_transcripts_cover_what_they_did() {
    golden::must_reach(&SCRIPTS, REACHED);
}
