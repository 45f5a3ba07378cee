//! Checks each start that a leader sends against the key-value store, as its successor would read
//! it.

use std::collections::BTreeMap;

use serde_json::Value;
use walnutlug_scheduler::command::Command;
use walnutlug_scheduler::protocol::workers::{parse_task_id, WorkerCommand};
use walnutlug_scheduler::scheduler::Scheduler;
use walnutlug_scheduler::storage::keys::{self, RunKey};
use walnutlug_scheduler::storage::revision::Revision;

use super::Store;

/// Stored code of a start that is recorded and not confirmed.
const DISPATCHING: u64 = 1;

/// Asserts that the store holds every start among the commands under exactly the attempt, the
/// machine and the agent epoch for which it is sent. A leader that was replaced is not checked: its
/// successor may have changed the records.
pub fn assert_starts_are_recorded(store: &Store, leader: &Scheduler, commands: &[Command]) {
    let holder = store.keys.get(keys::LEADER).map(|(_, revision)| *revision);
    if holder != Some(Revision(leader.term.get())) {
        return;
    }
    for command in commands {
        let Command::SendToWorker { machine, agent_epoch, calls, .. } = command else { continue };
        for call in calls {
            let WorkerCommand::Run { task, attempt } = call else { continue };
            let machine = leader.cluster.machines[*machine].name.as_str();
            let sent = serde_json::json!([DISPATCHING, attempt, machine, agent_epoch]);
            let stored = stored_task(store, leader, task);
            let fields = stored.as_ref().and_then(Value::as_array);
            let placement = fields.and_then(|fields| fields.get(..4)).map(<[Value]>::to_vec);
            assert_eq!(
                placement.map(Value::from),
                Some(sent),
                "{task} is started, but the store holds {stored:?}"
            );
        }
    }
}

/// Returns the newest stored record of the task.
fn stored_task(store: &Store, leader: &Scheduler, task: &str) -> Option<Value> {
    let (job, index) = parse_task_id(task)?;
    let chunk_size = leader.cluster.job(leader.cluster.jobs_by_name[job])?.chunk_size;
    let mut by_revision = BTreeMap::new();
    for (key, (value, revision)) in &store.keys {
        let Some(record) = RunKey::parse(key).filter(|record| record.job == job) else { continue };
        let first = record.part.unwrap_or(record.chunk as u32 * chunk_size);
        let offset = index.checked_sub(first).map(|offset| offset as usize);
        let is_in_chunk = (index / chunk_size) as usize == record.chunk;
        let tasks = value["t"].as_array().filter(|_| is_in_chunk);
        let found = tasks.zip(offset).and_then(|(tasks, offset)| tasks.get(offset));
        by_revision.extend(found.map(|state| (*revision, state.clone())));
    }
    by_revision.pop_last().map(|(_, state)| state)
}
