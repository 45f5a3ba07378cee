//! The stored records of roles, to the byte: holders, intents, and the writes under a fence. As they
//! are written, read, and written again; kept in `golden/records.txt`.

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

fn text(value: &impl Serialize) -> String {
    serde_json::to_string(value).expect("text")
}

fn epoch() -> Epoch {
    Epoch::try_from(Revision(412)).expect("an epoch")
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

fn returned(name: &str, holds_tasks: bool) -> TerminatedMachine {
    TerminatedMachine { machine: name.into(), holds_tasks }
}

fn intents() -> Vec<(&'static str, Vec<Action>)> {
    let back = vec![returned("n-000231", true), returned("n-000232", false)];
    vec![
        ("intent to rent", vec![Action::ScaleOut(scale_out(1))]),
        ("intent to return", vec![Action::ScaleIn(back.clone())]),
        ("intent to rent and return", vec![Action::ScaleIn(back), Action::ScaleOut(scale_out(2))]),
    ]
}

/// A record below its key, as it goes to the key-value store.
fn intent_text(actions: &[Action]) -> String {
    let key = intent_key(LeasedRole::Fleet, epoch(), 17);
    format!("{key}\n{}", text(&IntentRecord::new(actions.to_vec())))
}

fn key_value(entry: &str, revision: u64) -> KeyValue {
    let (key, value) = entry.split_once('\n').expect("a key and a value");
    KeyValue {
        key: key.to_owned(),
        value: serde_json::from_str(value).expect("a value"),
        revision: Revision(revision),
    }
}

fn types_write() -> Transaction {
    let mut write = FencedWrite::new(&Fence::new(LeasedRole::MachineTypes, epoch()));
    write.change(Operation::put(keys::TYPES, json!({"breeds": []})));
    write.into_transaction()
}

#[test]
fn holders_and_intents_are_written_and_read_as_before() {
    let mut found: Vec<(&str, String)> =
        intents().iter().map(|(kind, actions)| (*kind, intent_text(actions))).collect();
    found.push((
        "claim of the machine types",
        text(&HeldRole::claim(LeasedRole::MachineTypes, &holder())),
    ));
    found.push(("claim of the fleet", text(&HeldRole::claim(LeasedRole::Fleet, &holder()))));
    found.push(("fenced write of the machine types", text(&types_write())));
    found.push(("holder", format!("{}\n{}", LeasedRole::MachineTypes.key(), text(&holder()))));
    let golden = Golden::check(RECORDS, &found);
    let holding = HeldRole::read(&key_value(&golden.text("holder"), 412), &["kernel-1"]);
    let Ok(holding) = holding else { panic!("holder: can't be read") };
    assert!(holding.role == LeasedRole::MachineTypes, "holder: the duty");
    assert!(holding.epoch == epoch(), "holder: the epoch");
    assert!(holding.holder == holder(), "holder: a field was read otherwise");
    for (kind, actions) in intents() {
        let entry = golden.text(kind);
        let Ok(read) = StoredIntent::read(&key_value(&entry, 1)) else {
            panic!("{kind}: can't be read")
        };
        assert!(read.role == LeasedRole::Fleet && read.epoch == epoch(), "{kind}: its key");
        assert!(read.record.actions == actions, "{kind}: a field was read otherwise");
        assert!(intent_text(&read.record.actions) == entry, "{kind}: written again it differs");
    }
}

/// What the intent log writes and sends, as it goes out.
fn noted(intent_log: &mut IntentLog, now: Timestamp, lines: &mut Vec<String>) {
    intent_log.tick(now, true);
    for command in intent_log.take_commands() {
        match command {
            IntentLogCommand::Write { id, transaction } => {
                lines.push(text(&transaction));
                intent_log.written(
                    now,
                    id,
                    &TransactionOutcome::Committed { revision: Revision(500) },
                );
            }
            IntentLogCommand::Send { id, action } => {
                lines.push(format!("send {}", sent(&action)));
                let names: Vec<String> = Vec::new();
                intent_log.answered(now, id, ActionAnswer::Done, &names);
            }
        }
    }
}

fn sent(action: &Action) -> String {
    match action {
        Action::ScaleOut(scale_out) => text(&scale_out.request()),
        Action::ScaleIn(machines) => {
            let name = |machine: &TerminatedMachine| machine.machine.clone();
            machines.iter().map(name).collect::<Vec<_>>().join(" ")
        }
    }
}

fn intent_log() -> IntentLog {
    IntentLog::new(Fence::new(LeasedRole::Fleet, epoch()), LIMITS, TimeDelta::from_secs(20))
}

/// Intents are stored, sent and dropped; then what an earlier holder left is adopted and dropped.
#[test]
fn the_ledgers_transactions_are_written_as_before() {
    let mut own = Vec::new();
    let mut kept = intent_log();
    assert!(kept.scale_out(scale_out(3)), "taken on");
    let machines = vec![returned("n-000233", false), returned("n-000234", true)];
    assert_eq!(kept.scale_in(START, machines), 1);
    for step in 0..40 {
        noted(&mut kept, START + TimeDelta::from_secs(step), &mut own);
    }
    let mut adopted = Vec::new();
    let mut successor = intent_log();
    let left: Vec<KeyValue> = vec![left_by_the_former()];
    let taken = successor.adopt(START, &left, |_| false);
    assert!(taken.faults.is_empty(), "the record is read");
    assert_eq!((taken.scale_outs.len(), taken.scale_ins.len()), (1, 1));
    for step in 0..40 {
        noted(&mut successor, START + TimeDelta::from_secs(step), &mut adopted);
    }
    let found = [("own intents", own.join("\n")), ("adopted intents", adopted.join("\n"))];
    let golden = Golden::check(WRITES, &found);
    for (kind, _) in found {
        let whole = golden.text(kind);
        assert!(whole.contains("\"drop\":\"intent/fleet/"), "{kind}: dropped at last");
        for line in whole.lines().filter(|line| !line.starts_with("send ")) {
            let transaction: Transaction = serde_json::from_str(line).expect("a transaction");
            // Read back, the fields of a value stand in the order of their names.
            let before: Value = serde_json::from_str(line).expect("json");
            assert!(json!(transaction) == before, "{kind}: written again it differs");
        }
    }
}

fn left_by_the_former() -> KeyValue {
    let former = Epoch::try_from(Revision(300)).expect("an epoch");
    let actions: Value = json!([{"rent": {"request": "w-300-1", "kind": "t8", "zone": "b",
        "spot": false, "count": 3}}, {"return": [{"name": "n-000100", "tasks": true}]}]);
    let value = json!({"format": 1, "actions": actions});
    KeyValue { key: intent_key(LeasedRole::Fleet, former, 2), value, revision: Revision(301) }
}
