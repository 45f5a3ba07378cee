//! Golden tests of the bytes that are stored for roles: holder records, intent records and fenced
//! writes. `golden/records.txt` and `golden/ledger.txt` hold the expected bytes, which are also
//! read and written again.

#[path = "../../scheduler/tests/golden_file/mod.rs"]
mod golden_file;

use golden_file::Golden;
use serde::Serialize;
use serde_json::{json, Value};
use walnutlug_fencing::action_state::ActionAnswer;
use walnutlug_fencing::fence::{Fence, FencedWrite};
use walnutlug_fencing::intent::{
    intent_key, Action, IntentRecord, ScaleOut, StoredIntent, TerminatedMachine,
};
use walnutlug_fencing::intent_log::{IntentLog, IntentLogCommand, WriteLimits};
use walnutlug_fencing::leased_role::{Epoch, HeldRole, HolderRecord, LeasedRole, HOLDER_FORMAT};
use walnutlug_scheduler::command::TransactionOutcome;
use walnutlug_scheduler::protocol::key_value::{KeyValue, Operation, Transaction};
use walnutlug_scheduler::storage::keys;
use walnutlug_scheduler::storage::revision::Revision;
use walnutlug_scheduler::time::{TimeDelta, Timestamp};

const RECORDS: &str = "tests/golden/records.txt";
const WRITES: &str = "tests/golden/ledger.txt";
const START: Timestamp = Timestamp(1 << 40);
const LIMITS: WriteLimits = WriteLimits { value_bytes: 2_048, txn_ops: 10 };

fn to_json(value: &impl Serialize) -> String {
    serde_json::to_string(value).expect("serializable to JSON")
}

fn epoch() -> Epoch {
    Epoch::try_from(Revision(412)).expect("a valid epoch")
}

fn holder() -> HolderRecord {
    HolderRecord {
        format: HOLDER_FORMAT,
        node: "kernel-1".into(),
        incarnation: "00ff00ff00ff00ff".into(),
        lease: 7,
    }
}

fn scale_out(number: u32) -> ScaleOut {
    ScaleOut {
        request: format!("w-412-{number}"),
        kind: "g8".into(),
        zone: "a".into(),
        spot: number.is_multiple_of(2),
        count: 10 + number,
    }
}

fn machine_to_return(name: &str, holds_tasks: bool) -> TerminatedMachine {
    TerminatedMachine { machine: name.into(), holds_tasks }
}

fn intents() -> Vec<(&'static str, Vec<Action>)> {
    let machines = vec![machine_to_return("n-000231", true), machine_to_return("n-000232", false)];
    vec![
        ("intent to rent", vec![Action::ScaleOut(scale_out(1))]),
        ("intent to return", vec![Action::ScaleIn(machines.clone())]),
        (
            "intent to rent and return",
            vec![Action::ScaleIn(machines), Action::ScaleOut(scale_out(2))],
        ),
    ]
}

/// Returns the key of an intent record and, on the next line, its stored JSON value.
fn intent_entry(actions: &[Action]) -> String {
    let key = intent_key(LeasedRole::Fleet, epoch(), 17);
    format!("{key}\n{}", to_json(&IntentRecord::new(actions.to_vec())))
}

fn key_value(entry: &str, revision: u64) -> KeyValue {
    let (key, value) = entry.split_once('\n').expect("a key line and a value line");
    KeyValue {
        key: key.to_owned(),
        value: serde_json::from_str(value).expect("a JSON value"),
        revision: Revision(revision),
    }
}

fn machine_types_write() -> Transaction {
    let mut write = FencedWrite::new(&Fence::new(LeasedRole::MachineTypes, epoch()));
    write.change(Operation::put(keys::TYPES, json!({"breeds": []})));
    write.into_transaction()
}

#[test]
fn stored_holders_and_intents_match_the_golden_bytes() {
    let mut found: Vec<(&str, String)> =
        intents().iter().map(|(kind, actions)| (*kind, intent_entry(actions))).collect();
    found.push((
        "claim of the machine types",
        to_json(&HeldRole::claim(LeasedRole::MachineTypes, &holder())),
    ));
    found.push(("claim of the fleet", to_json(&HeldRole::claim(LeasedRole::Fleet, &holder()))));
    found.push(("fenced write of the machine types", to_json(&machine_types_write())));
    found.push(("holder", format!("{}\n{}", LeasedRole::MachineTypes.key(), to_json(&holder()))));
    let golden = Golden::check(RECORDS, &found);
    let held = HeldRole::read(&key_value(&golden.text("holder"), 412), &["kernel-1"]);
    let Ok(held) = held else { panic!("the golden holder record can't be parsed") };
    assert!(held.role == LeasedRole::MachineTypes, "holder: wrong role");
    assert!(held.epoch == epoch(), "holder: wrong epoch");
    assert!(held.holder == holder(), "holder: a field differs after parsing");
    for (kind, actions) in intents() {
        let entry = golden.text(kind);
        let Ok(read) = StoredIntent::read(&key_value(&entry, 1)) else {
            panic!("{kind}: the golden record can't be parsed")
        };
        assert!(
            read.role == LeasedRole::Fleet && read.epoch == epoch(),
            "{kind}: wrong role or epoch in the key"
        );
        assert!(read.record.actions == actions, "{kind}: a field differs after parsing");
        assert!(
            intent_entry(&read.record.actions) == entry,
            "{kind}: differs when it is written again"
        );
    }
}

/// Advances the intent log by one tick, answers each command with success, and appends the
/// transactions and requests to `lines`.
fn tick_and_answer(intent_log: &mut IntentLog, now: Timestamp, lines: &mut Vec<String>) {
    intent_log.tick(now, true);
    for command in intent_log.take_commands() {
        match command {
            IntentLogCommand::Write { id, transaction } => {
                lines.push(to_json(&transaction));
                intent_log.written(
                    now,
                    id,
                    &TransactionOutcome::Committed { revision: Revision(500) },
                );
            }
            IntentLogCommand::Send { id, action } => {
                lines.push(format!("send {}", request_text(&action)));
                let rented: Vec<String> = Vec::new();
                intent_log.answered(now, id, ActionAnswer::Done, &rented);
            }
        }
    }
}

fn request_text(action: &Action) -> String {
    match action {
        Action::ScaleOut(scale_out) => to_json(&scale_out.request()),
        Action::ScaleIn(machines) => {
            let name = |machine: &TerminatedMachine| machine.machine.clone();
            machines.iter().map(name).collect::<Vec<_>>().join(" ")
        }
    }
}

fn intent_log() -> IntentLog {
    IntentLog::new(Fence::new(LeasedRole::Fleet, epoch()), LIMITS, TimeDelta::from_secs(20))
}

/// Checks the writes and requests of two logs: one stores, sends and deletes its own intents, the
/// other adopts and deletes an intent of an earlier holder.
#[test]
fn intent_log_writes_and_requests_match_the_golden_bytes() {
    let mut own_lines = Vec::new();
    let mut own_log = intent_log();
    assert!(own_log.scale_out(scale_out(3)), "scale-out rejected");
    let machines = vec![machine_to_return("n-000233", false), machine_to_return("n-000234", true)];
    assert_eq!(own_log.scale_in(START, machines), 1);
    for step in 0..40 {
        tick_and_answer(&mut own_log, START + TimeDelta::from_secs(step), &mut own_lines);
    }
    let mut adopted_lines = Vec::new();
    let mut successor = intent_log();
    let stored: Vec<KeyValue> = vec![intent_of_an_earlier_holder()];
    let adoption = successor.adopt(START, &stored, |_| false);
    assert!(adoption.faults.is_empty(), "the earlier record was not parsed");
    assert_eq!((adoption.scale_outs.len(), adoption.scale_ins.len()), (1, 1));
    for step in 0..40 {
        tick_and_answer(&mut successor, START + TimeDelta::from_secs(step), &mut adopted_lines);
    }
    let found =
        [("own intents", own_lines.join("\n")), ("adopted intents", adopted_lines.join("\n"))];
    let golden = Golden::check(WRITES, &found);
    for (kind, _) in found {
        let entry = golden.text(kind);
        assert!(entry.contains("\"drop\":\"intent/fleet/"), "{kind}: the record was not deleted");
        for line in entry.lines().filter(|line| !line.starts_with("send ")) {
            let transaction: Transaction =
                serde_json::from_str(line).expect("a stored transaction");
            // A parsed `Value` sorts its fields by name, so the comparison ignores their order.
            let before: Value = serde_json::from_str(line).expect("a JSON line");
            assert!(json!(transaction) == before, "{kind}: differs when it is written again");
        }
    }
}

fn intent_of_an_earlier_holder() -> KeyValue {
    let earlier_epoch = Epoch::try_from(Revision(300)).expect("a valid epoch");
    let actions: Value = json!([{"rent": {"request": "w-300-1", "kind": "t8", "zone": "b",
        "spot": false, "count": 3}}, {"return": [{"name": "n-000100", "tasks": true}]}]);
    let value = json!({"format": 1, "actions": actions});
    KeyValue {
        key: intent_key(LeasedRole::Fleet, earlier_epoch, 2),
        value,
        revision: Revision(301),
    }
}
