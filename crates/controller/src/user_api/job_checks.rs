//! How jobs stand, asked of the key-value store: many at once, each with all that it needs.

use std::collections::{BTreeSet, HashMap, HashSet};
use std::rc::Rc;

use tokio::time::{Duration, Instant};
use tracing::info;
use walnutlug_scheduler::command::TransactionOutcome;
use walnutlug_scheduler::model::job_spec::JobEnd;
use walnutlug_scheduler::protocol::key_value::{Compare, Operation, Transaction};
use walnutlug_scheduler::storage::keys;

use super::{Known, Status};
use crate::key_value_client::{KeyValueError, RequestClass};
use crate::node::Node;

/// Asks for many jobs in transactions that only compare: of one known to be accepted whether it, or
/// anything that it needs, has ended; of any other whether it exists. What is not ended by then was
/// not ended when it was asked.
pub(super) async fn check(
    node: &Rc<Node>,
    names: Vec<String>,
    class: RequestClass,
) -> HashMap<String, Status> {
    let mut found = HashMap::new();
    let mut open = names;
    let deadline = Instant::now() + Duration::from_millis(1_500);
    // Keys that were compared and are absent, as of this question.
    let mut absent: HashSet<String> = HashSet::new();
    let mut first = true;
    while !open.is_empty() && Instant::now() < deadline {
        let mut ask: BTreeSet<String> = BTreeSet::new();
        let mut unread: BTreeSet<String> = BTreeSet::new();
        open.retain(|name| {
            let mut sure = true;
            for link in node.user_api.chain(name) {
                match node.user_api.known(&link) {
                    Some(Known::Ended(end)) => {
                        // Of what it needs only a cancelled one is here; that is settled below.
                        if link == *name {
                            found.insert(name.clone(), Status::Ended(end));
                            return false;
                        }
                        sure = false;
                    }
                    Some(Known::Accepted(dependencies)) => {
                        let key = keys::end(&link);
                        let asked = absent.contains(&key);
                        sure &= asked && dependencies.is_some();
                        if dependencies.is_none() && asked {
                            unread.insert(link);
                        } else if !asked {
                            ask.insert(key);
                        }
                    }
                    None => {
                        let key = keys::job(&link);
                        if absent.contains(&key) {
                            // The job itself, or one that a damaged record names.
                            if link == *name {
                                found.insert(name.clone(), Status::NeverAccepted);
                                return false;
                            }
                        } else {
                            sure = false;
                            ask.insert(key);
                        }
                    }
                }
            }
            if sure {
                found.insert(name.clone(), Status::Open);
            }
            !sure
        });
        let behind: Vec<String> = open
            .iter()
            .filter(|n| {
                let chain = node.user_api.chain(n);
                chain.iter().any(|link| node.user_api.ended(link) == Some(JobEnd::Cancelled))
            })
            .cloned()
            .collect();
        let settled = !behind.is_empty() && settle_behind(node, &behind).await;
        let compared = !ask.is_empty() && compare(node, ask, class, &mut absent).await;
        // A chain that goes on is read as a whole, not step by step.
        let read =
            !unread.is_empty() && read_dependencies(node, unread, class, first).await.is_ok();
        first &= !read;
        if !settled && !compared && !read {
            break;
        }
    }
    found
}

/// Compares the keys with nothing. Those that exist are learned, the others noted as absent. Whether
/// anything came of it.
async fn compare(
    node: &Rc<Node>,
    keys: BTreeSet<String>,
    class: RequestClass,
    absent: &mut HashSet<String>,
) -> bool {
    let mut left: Vec<String> = keys.into_iter().collect();
    let mut any = false;
    while !left.is_empty() {
        let n = left.len().min(node.key_value.max_compares());
        let batch = &left[left.len() - n..];
        let compares = batch.iter().map(|k| Compare { key: k.clone(), revision: 0 }).collect();
        match node.key_value.commit(class, &Transaction { compares, operations: Vec::new() }).await
        {
            TransactionOutcome::Committed { .. } => {
                any = true;
                absent.extend(left.split_off(left.len() - n));
            }
            TransactionOutcome::Conflict { failed } => {
                let before = left.len();
                left.retain(|k| !failed.contains(k));
                if left.len() == before {
                    return any; // An answer that makes no sense.
                }
                for key in failed {
                    if let Some(name) = key.strip_prefix(keys::JOB) {
                        node.user_api.learn(name, Known::Accepted(None));
                        any = true;
                    } else if let Some(name) = key.strip_prefix(keys::END) {
                        if let Ok(Some(end)) = node.key_value.job_end(name).await {
                            node.learn_end(name, end);
                            any = true;
                        }
                    }
                }
            }
            TransactionOutcome::Rejected
            | TransactionOutcome::Indeterminate
            | TransactionOutcome::TooLarge => return any,
        }
    }
    any
}

/// Jobs whose descriptions are read one by one; for more, the list of all is read.
const FEW: usize = 3;

/// Reads what the jobs need, which were not ended when they were compared. One without a description
/// among those that need others needs none (or its records went meanwhile, and its end is met).
async fn read_dependencies(
    node: &Rc<Node>,
    names: BTreeSet<String>,
    class: RequestClass,
    few: bool,
) -> Result<(), KeyValueError> {
    // A record that can't be read names nothing that could be looked for.
    let needs_of = |value: &serde_json::Value| -> Rc<[String]> {
        let dependencies = serde_json::from_value::<Vec<String>>(value["spec"]["needs"].clone());
        dependencies.unwrap_or_default().into()
    };
    if few && names.len() <= FEW {
        for name in &names {
            let found = node.key_value.get(class, &keys::description(name, true)).await?;
            let dependencies = found.map_or(Rc::from([]), |key_value| needs_of(&key_value.value));
            node.user_api.learn(name, Known::Accepted(Some(dependencies)));
        }
        return Ok(());
    }
    let key_values = node.key_value.list(class, keys::CHAINED).await?.key_values;
    for key_value in &key_values {
        if let Some(name) = key_value.key.strip_prefix(keys::CHAINED) {
            node.user_api.learn(name, Known::Accepted(Some(needs_of(&key_value.value))));
        }
    }
    for name in names {
        if matches!(node.user_api.known(&name), Some(Known::Accepted(None))) {
            node.user_api.learn(&name, Known::Accepted(Some(Rc::from([]))));
        }
    }
    Ok(())
}

/// Writes the ends of jobs that stand behind a cancelled one. The leader does the same; but until it
/// has, nobody may be told that such a job is queued.
async fn settle_behind(node: &Rc<Node>, names: &[String]) -> bool {
    let mut any = false;
    for some in names.chunks(node.key_value.limits().txn_ops.max(1)) {
        let transaction = Transaction {
            compares: some.iter().map(|n| Compare { key: keys::end(n), revision: 0 }).collect(),
            operations: some
                .iter()
                .map(|n| Operation::put(keys::end(n), serde_json::json!(JobEnd::Cancelled)))
                .collect(),
        };
        match node.key_value.commit(RequestClass::Submission, &transaction).await {
            TransactionOutcome::Committed { .. } => {
                for name in some {
                    info!(job = %name, "cancelled with a job that it needs");
                    node.learn_end(name, JobEnd::Cancelled);
                }
                any = true;
            }
            TransactionOutcome::Conflict { failed } => {
                for name in failed.iter().filter_map(|k| k.strip_prefix(keys::END)) {
                    if let Ok(Some(end)) = node.key_value.job_end(name).await {
                        node.learn_end(name, end);
                        any = true;
                    }
                }
            }
            TransactionOutcome::Rejected
            | TransactionOutcome::Indeterminate
            | TransactionOutcome::TooLarge => {}
        }
    }
    any
}
