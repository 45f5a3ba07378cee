//! The leader's duty over the fleet, fenced: rentals and returns are recorded before they are sent, the lease
//! is looked at directly before each is, and what former leaders recorded is settled first.

use std::rc::Rc;

use tokio::time::Instant;
use tracing::{debug, error, info, warn};
use walnutlug_fencing::action_state::{ActionAnswer, ActionId};
use walnutlug_fencing::adoption::Adopted;
use walnutlug_fencing::fence::Fence;
use walnutlug_fencing::intent::{Action, ScaleOut, TerminatedMachine, INTENT_PREFIX};
use walnutlug_fencing::intent_log::{IntentLog, IntentLogCommand, WriteLimits};
use walnutlug_fencing::leased_role::{Epoch, EpochError, LeasedRole};
use walnutlug_scheduler::leadership::fencing_token::Term;
use walnutlug_scheduler::protocol::cloud::ScaleOutRequest;
use walnutlug_scheduler::scheduler::Scheduler;

use super::leader::{retry, with_scheduler};
use super::Node;
use crate::cloud_client::CloudError;
use crate::key_value_client::{KeyValueError, RequestClass};

/// Lags of the cloud's list after which a machine is on it for certain; it may lag twice as long as told.
const LISTED_AFTER_LAGS: f64 = 3.0;
/// Faulty records that are named in the log at a failover.
const MAX_FAULTS_LOGGED: usize = 5;

/// Takes the duty over with the lead: reads what former holders recorded and were not seen to settle.
pub(super) async fn take_over(
    node: &Rc<Node>,
    term: Term,
    scheduler: &mut Scheduler,
) -> Result<(), KeyValueError> {
    if !node.tunables.fenced_duties {
        return Ok(());
    }
    let epoch = match next_epoch(node, term) {
        Ok(epoch) => epoch,
        Err(fault) => {
            error!(term = term.get(), "the fleet duty stops at this node: {fault}");
            *node.fleet.borrow_mut() = None;
            return Ok(());
        }
    };
    // The term guards every write, so no record of an earlier one can come after this.
    let stored = retry(node, INTENT_PREFIX).await?.key_values;
    let listed_within = node.site.list_lag.mul_f64(LISTED_AFTER_LAGS);
    let fence = Fence::new(LeasedRole::Fleet, epoch);
    let mut intent_log = IntentLog::new(fence, write_limits(node), listed_within);
    let now = node.now();
    let has_tasks = |name: &str| {
        let machine =
            scheduler.cluster.machines_by_name.get(name).map(|&ix| &scheduler.cluster.machines[ix]);
        machine.is_some_and(|machine| !machine.tasks.is_empty())
    };
    let adopted = intent_log.adopt(now, &stored, has_tasks);
    log_adopted(term, &adopted);
    for machine in &adopted.returns {
        scheduler.adopt_scale_in(now, &machine.machine);
    }
    for scale_out in &adopted.scale_outs {
        scheduler.adopt_scale_out(
            &scale_out.kind,
            &scale_out.zone,
            scale_out.spot,
            scale_out.count,
        );
    }
    *node.fleet.borrow_mut() = Some(intent_log);
    Ok(())
}

/// The term as an epoch, if it is above all that are known.
fn next_epoch(node: &Node, term: Term) -> Result<Epoch, EpochError> {
    let epoch = Epoch::try_from(term)?.must_follow(node.highest_term.get())?;
    node.highest_term.set(Some(epoch));
    Ok(epoch)
}

fn write_limits(node: &Node) -> WriteLimits {
    let limits = node.key_value.limits();
    WriteLimits { value_bytes: limits.value_bytes, txn_ops: limits.txn_ops }
}

fn log_adopted(term: Term, adopted: &Adopted) {
    if !adopted.scale_outs.is_empty() || !adopted.returns.is_empty() {
        let (scale_outs, returns) = (adopted.scale_outs.len(), adopted.returns.len());
        info!(
            term = term.get(),
            scale_outs, returns, "settling what former holders of the fleet duty recorded"
        );
    }
    for machine in &adopted.overruled {
        warn!(machine, "its recorded return is dropped: work was recorded there after it");
    }
    for fault in adopted.faults.iter().take(MAX_FAULTS_LOGGED) {
        error!("left as it is: {fault}");
    }
    if let Some(more) = adopted.faults.len().checked_sub(MAX_FAULTS_LOGGED).filter(|n| *n > 0) {
        error!("and {more} more records that this version can't act on");
    }
}

/// Rents machines under the fence. False where duties aren't fenced.
pub(super) fn scale_out(node: &Rc<Node>, request: &ScaleOutRequest) -> bool {
    if !node.tunables.fenced_duties {
        return false;
    }
    let scale_out = ScaleOut {
        request: request.request.clone(),
        kind: request.kind.clone(),
        zone: request.zone.clone(),
        spot: request.spot,
        count: request.count,
    };
    let taken =
        node.fleet.borrow_mut().as_mut().is_some_and(|intent_log| intent_log.scale_out(scale_out));
    if !taken {
        scale_out_failed(node, request);
    }
    true
}

fn scale_out_failed(node: &Node, request: &ScaleOutRequest) {
    if let Some(s) = node.scheduler.borrow_mut().as_mut() {
        s.scale_out_answered(
            node.now(),
            &request.kind,
            &request.zone,
            request.spot,
            request.count,
            Err(()),
        );
    }
}

/// Returns machines under the fence. False where duties aren't fenced.
pub(super) fn terminate(node: &Rc<Node>, machines: &[String]) -> bool {
    if !node.tunables.fenced_duties {
        return false;
    }
    let now = node.now();
    let mut scheduler = node.scheduler.borrow_mut();
    let Some(scheduler) = scheduler.as_mut() else { return true };
    let with_tasks = |name: &String| {
        let known =
            scheduler.cluster.machines_by_name.get(name).map(|&ix| &scheduler.cluster.machines[ix]);
        let holds_tasks = known.is_some_and(|machine| !machine.tasks.is_empty());
        TerminatedMachine { machine: name.clone(), holds_tasks }
    };
    let machines = machines.iter().map(with_tasks).collect();
    let mut fleet = node.fleet.borrow_mut();
    let requests = fleet.as_mut().map_or(0, |intent_log| intent_log.scale_in(now, machines));
    if requests == 0 {
        // Nothing new comes of it, so no answer will either.
        scheduler.scale_in_answered(now, &[], false);
    }
    true
}

/// Carries on with what is to be recorded, sent and dropped.
pub(super) fn advance(node: &Rc<Node>, term: Term) {
    let commands = {
        let mut fleet = node.fleet.borrow_mut();
        let Some(intent_log) = fleet.as_mut() else { return };
        if intent_log.fence().epoch().revision() != term.into() {
            return;
        }
        intent_log.set_limits(write_limits(node));
        intent_log.tick(node.now(), holds(node, term));
        intent_log.take_commands()
    };
    for command in commands {
        match command {
            IntentLogCommand::Write { id, transaction } => {
                let node = node.clone();
                tokio::task::spawn_local(async move {
                    let outcome = node.key_value.commit(RequestClass::Dispatch, &transaction).await;
                    with_intent_log(&node, term, |intent_log| {
                        intent_log.written(node.now(), id, &outcome)
                    });
                });
            }
            IntentLogCommand::Send { id, action: Action::ScaleOut(scale_out) } => {
                tokio::task::spawn_local(send_scale_out(node.clone(), term, id, scale_out));
            }
            IntentLogCommand::Send { id, action: Action::ScaleIn(machines) } => {
                tokio::task::spawn_local(send_scale_in(node.clone(), term, id, machines));
            }
        }
    }
}

/// Tells the ledger of that term what happened, and carries on.
fn with_intent_log(node: &Rc<Node>, term: Term, tell: impl FnOnce(&mut IntentLog)) {
    let stopped = {
        let mut fleet = node.fleet.borrow_mut();
        let intent_log = fleet
            .as_mut()
            .filter(|intent_log| intent_log.fence().epoch().revision() == term.into());
        let Some(intent_log) = intent_log else { return };
        tell(intent_log);
        intent_log.stopped().map(ToString::to_string)
    };
    match stopped {
        Some(why) => node.step_down(&format!("the fleet duty is over: {why}")),
        None => advance(node, term),
    }
}

/// Whether this node still holds the duty under that epoch, for certain and right now.
fn holds(node: &Node, term: Term) -> bool {
    node.leadership.borrow().term() == Some(term) && Instant::now() < node.lease_until.get()
}

async fn send_scale_out(node: Rc<Node>, term: Term, id: ActionId, scale_out: ScaleOut) {
    let answer = node.cloud.scale_out(&scale_out.request(), &|| holds(&node, term)).await;
    let outcome = match &answer {
        Ok(_) => ActionAnswer::Done,
        Err(CloudError::NoCapacity { .. } | CloudError::Rejected { .. }) => ActionAnswer::Refused,
        Err(CloudError::NotSent { .. }) => ActionAnswer::NotSent,
        Err(CloudError::Indeterminate { .. }) => ActionAnswer::Unknown,
    };
    let rented = answer.as_deref().unwrap_or_default();
    with_intent_log(&node, term, |intent_log| intent_log.answered(node.now(), id, outcome, rented));
    with_scheduler(&node, term, |s, now| {
        let ScaleOut { kind, zone, spot, count, .. } = &scale_out;
        match answer {
            Ok(names) => s.scale_out_answered(now, kind, zone, *spot, *count, Ok(names)),
            Err(CloudError::NoCapacity { .. }) => {
                s.scale_out_answered(now, kind, zone, *spot, *count, Ok(Vec::new()))
            }
            Err(CloudError::Rejected { .. }) => {
                s.scale_out_answered(now, kind, zone, *spot, *count, Err(()))
            }
            // It is sent again, and the machines may come.
            Err(CloudError::NotSent { .. } | CloudError::Indeterminate { .. }) => {
                s.cloud_in_trouble(now)
            }
        }
    });
}

async fn send_scale_in(node: Rc<Node>, term: Term, id: ActionId, machines: Vec<TerminatedMachine>) {
    let names: Vec<String> = machines.into_iter().map(|machine| machine.machine).collect();
    let answer = node.cloud.terminate(&names, &|| holds(&node, term)).await;
    let outcome = match answer {
        Ok(()) => ActionAnswer::Done,
        Err(CloudError::NoCapacity { .. } | CloudError::Rejected { .. }) => ActionAnswer::Refused,
        Err(CloudError::NotSent { .. }) => ActionAnswer::NotSent,
        Err(CloudError::Indeterminate { .. }) => ActionAnswer::Unknown,
    };
    if outcome != ActionAnswer::Done {
        debug!("machines not returned yet: {outcome:?}");
    }
    with_intent_log(&node, term, |intent_log| intent_log.answered(node.now(), id, outcome, &[]));
    with_scheduler(&node, term, |s, now| {
        s.scale_in_answered(now, &names, outcome == ActionAnswer::Done);
    });
}
