//! Executes the scheduler's commands and passes each response back to the scheduler if its term
//! still lasts.

use std::rc::Rc;
use walnutlug_scheduler::leadership::fencing_token::Term;

use tokio::task::spawn_local;
use tokio::time::{sleep, Duration};
use walnutlug_scheduler::command::{Command, ReadOutcome};
use walnutlug_scheduler::protocol::cloud::ScaleOutRequest;
use walnutlug_scheduler::storage::keys;

use super::{job_ends, with_scheduler};
use crate::cloud_client::CloudError;
use crate::key_value_client::RequestClass;
use crate::node::step_down::StepDownCause;
use crate::node::{event_log, fleet_role, Node};
use crate::worker_api;

/// Shortest time between two checks of the leader key.
const VERIFY_INTERVAL: Duration = Duration::from_millis(500);

/// Starts executing a command without waiting for it to finish.
pub(super) fn execute(node: &Rc<Node>, term: Term, command: Command) {
    let node = node.clone();
    match command {
        Command::Log(event) => event_log::write(&event),
        Command::StepDown(reason) => node.step_down(StepDownCause::Scheduler(reason)),
        Command::VerifyLeadership => verify_leadership(node, term),
        Command::Commit { id, transaction } => {
            spawn_local(async move {
                let outcome = node.key_value.commit(RequestClass::Dispatch, &transaction).await;
                with_scheduler(&node, term, |scheduler, now| {
                    scheduler.transaction_answered(now, id, outcome);
                });
            });
        }
        Command::Read { id, key } => {
            spawn_local(async move {
                let outcome = match node.key_value.get(RequestClass::Dispatch, &key).await {
                    Ok(Some(key_value)) => {
                        ReadOutcome::Found { value: key_value.value, revision: key_value.revision }
                    }
                    Ok(None) => ReadOutcome::Missing,
                    Err(_) => ReadOutcome::Unavailable,
                };
                with_scheduler(&node, term, |scheduler, now| {
                    scheduler.read_answered(now, id, outcome);
                });
            });
        }
        Command::FindJobEnds { names } => {
            spawn_local(async move {
                let found = job_ends::look_up(&node, names).await;
                with_scheduler(&node, term, |scheduler, now| scheduler.job_ends_found(now, &found));
            });
        }
        Command::SendToWorker { machine, address, token, agent_epoch, calls } => {
            spawn_local(async move {
                let client = &node.client;
                let outcome =
                    worker_api::send_commands(client, &address, token, agent_epoch, &calls).await;
                with_scheduler(&node, term, |scheduler, now| {
                    scheduler.message_answered(now, machine, outcome);
                });
            });
        }
        Command::ScaleOut { kind, zone, spot, count } => {
            let request = scale_out_request_name(&node, term);
            scale_out(node, term, ScaleOutRequest { request, kind, zone, spot, count });
        }
        Command::ScaleIn { machines } => scale_in(node, term, machines),
    }
}

/// Checks that the leader key still belongs to this term, unless a check is already in progress.
fn verify_leadership(node: Rc<Node>, term: Term) {
    if node.leader.verifying_leader_key.replace(true) {
        return;
    }
    spawn_local(async move {
        if let Ok(found) = node.key_value.get(RequestClass::Leadership, keys::LEADER).await {
            if found.is_none_or(|key_value| key_value.revision != term.into()) {
                node.step_down(StepDownCause::LeaderKeyChanged);
            }
        }
        sleep(VERIFY_INTERVAL).await;
        node.leader.verifying_leader_key.set(false);
    });
}

/// Returns a request name made of term, nonce and counter, which no other node or process ever
/// uses.
fn scale_out_request_name(node: &Node, term: Term) -> String {
    let number = node.leader.next_scale_out_number();
    format!("{term}-{}-{number}", node.identity.election_nonce)
}

fn scale_out(node: Rc<Node>, term: Term, request: ScaleOutRequest) {
    if node.tunables.fenced_duties {
        fleet_role::scale_out(&node, &request);
    } else {
        spawn_local(scale_out_unfenced(node, term, request));
    }
}

fn scale_in(node: Rc<Node>, term: Term, machines: Vec<String>) {
    if node.tunables.fenced_duties {
        fleet_role::scale_in(&node, &machines);
    } else {
        spawn_local(scale_in_unfenced(node, term, machines));
    }
}

/// Scales out without a stored intent, as all versions without fenced roles did.
async fn scale_out_unfenced(node: Rc<Node>, term: Term, request: ScaleOutRequest) {
    let answer = match node.cloud.scale_out(&request, &|| true).await {
        Ok(machines) => Ok(machines),
        Err(CloudError::NoCapacity { .. }) => Ok(Vec::new()),
        Err(
            CloudError::Rejected { .. }
            | CloudError::NotSent { .. }
            | CloudError::Indeterminate { .. },
        ) => Err(()),
    };
    let ScaleOutRequest { kind, zone, spot, count, .. } = &request;
    with_scheduler(&node, term, |scheduler, now| {
        scheduler.scale_out_answered(now, kind, zone, *spot, *count, answer);
    });
}

async fn scale_in_unfenced(node: Rc<Node>, term: Term, machines: Vec<String>) {
    let terminated = node.cloud.terminate(&machines, &|| true).await.is_ok();
    with_scheduler(&node, term, |scheduler, now| {
        scheduler.scale_in_answered(now, &machines, terminated);
    });
}
