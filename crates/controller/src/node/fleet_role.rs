//! The leader's fenced role of scaling the fleet. Each scale-out and scale-in is stored as an
//! intent before it is requested, the lease is checked directly before each request, and intents
//! left by earlier leaders are settled first.

use std::cell::RefCell;
use std::rc::Rc;
use walnutlug_scheduler::leadership::fencing_token::Term;

use tracing::{debug, error, info, warn};
use walnutlug_fencing::action_state::{ActionAnswer, ActionId};
use walnutlug_fencing::adoption::Adopted;
use walnutlug_fencing::fence::Fence;
use walnutlug_fencing::intent::{Action, ScaleOut, TerminatedMachine, INTENT_PREFIX};
use walnutlug_fencing::intent_log::{IntentLog, IntentLogCommand, WriteLimits};
use walnutlug_fencing::leased_role::LeasedRole;
use walnutlug_scheduler::protocol::cloud::ScaleOutRequest;
use walnutlug_scheduler::scheduler::Scheduler;

use super::leader::{next_page_until_answered, with_scheduler};
use super::step_down::StepDownCause;
use super::Node;
use crate::cloud_client::CloudError;
use crate::key_value_client::{KeyValueError, RequestClass};

/// Multiple of the stated list lag after which a new machine is certainly on the cloud's list; the
/// list may lag twice as long as stated.
const LISTED_AFTER_LAGS: f64 = 3.0;
/// Maximum number of invalid stored intents that are logged one by one at a failover.
const MAX_FAULTS_LOGGED: usize = 5;

/// Holds the intent log of this node's term as the leader, if roles are fenced.
#[derive(Default)]
pub(super) struct FleetRole {
    intent_log: RefCell<Option<IntentLog>>,
}

impl FleetRole {
    /// Drops the intent log when the term ends.
    pub(super) fn end_term(&self) {
        self.intent_log.take();
    }

    fn begin_term(&self, intent_log: IntentLog) {
        self.intent_log.replace(Some(intent_log));
    }

    /// Calls the function with the intent log if it belongs to the term.
    fn with_intent_log<T>(&self, term: Term, apply: impl FnOnce(&mut IntentLog) -> T) -> Option<T> {
        let mut intent_log = self.intent_log.borrow_mut();
        let belongs_to_term =
            |intent_log: &&mut IntentLog| intent_log.fence().epoch().revision() == term.into();
        intent_log.as_mut().filter(belongs_to_term).map(apply)
    }
}

/// Takes over the fleet role at the start of a term: reads the intents that earlier holders left
/// unsettled and hands their effects to the scheduler.
///
/// # Errors
/// Returns an error if the intents cannot be read.
pub(super) async fn take_over(
    node: &Rc<Node>,
    term: Term,
    scheduler: &mut Scheduler,
) -> Result<(), KeyValueError> {
    if !node.tunables.fenced_duties {
        return Ok(());
    }
    let epoch = match node.cluster_view.enter_term(term) {
        Ok(epoch) => epoch,
        Err(reason) => {
            error!(%term, %reason, "fleet role not acquired");
            node.fleet_role.end_term();
            return Ok(());
        }
    };
    // Every write requires the current term, so no intent of an earlier term can be stored after
    // this read.
    let mut pages = node.key_value.list(RequestClass::Dispatch, INTENT_PREFIX);
    let mut stored = Vec::new();
    while let Some(page) = next_page_until_answered(&mut pages).await? {
        stored.extend(page);
    }
    let listed_within = node.site.list_lag.mul_f64(LISTED_AFTER_LAGS);
    let fence = Fence::new(LeasedRole::Fleet, epoch);
    let mut intent_log = IntentLog::new(fence, write_limits(node), listed_within);
    let now = node.now();
    let adopted = intent_log.adopt(now, &stored, |machine: &str| holds_tasks(scheduler, machine));
    log_adopted(term, &adopted);
    for machine in &adopted.scale_ins {
        scheduler.adopt_scale_in(now, &machine.machine);
    }
    for scale_out in &adopted.scale_outs {
        let ScaleOut { kind, zone, spot, count, .. } = scale_out;
        scheduler.adopt_scale_out(kind, zone, *spot, *count);
    }
    node.fleet_role.begin_term(intent_log);
    Ok(())
}

/// Returns whether any task is placed on the machine.
fn holds_tasks(scheduler: &Scheduler, machine: &str) -> bool {
    let cluster = &scheduler.cluster;
    let index = cluster.machines_by_name.get(machine);
    index.is_some_and(|&index| !cluster.machines[index].tasks.is_empty())
}

fn write_limits(node: &Node) -> WriteLimits {
    let limits = node.key_value.limits();
    WriteLimits { value_bytes: limits.value_bytes, txn_ops: limits.txn_ops }
}

fn log_adopted(term: Term, adopted: &Adopted) {
    if !adopted.scale_outs.is_empty() || !adopted.scale_ins.is_empty() {
        let (scale_outs, scale_ins) = (adopted.scale_outs.len(), adopted.scale_ins.len());
        info!(%term, scale_outs, scale_ins, "settling intents of former holders of the fleet role");
    }
    for machine in &adopted.cancelled_scale_ins {
        warn!(%term, machine, "scale-in intent dropped: tasks were placed on the machine later"
        );
    }
    for fault in adopted.faults.iter().take(MAX_FAULTS_LOGGED) {
        error!(%term, reason = %fault, "invalid stored intent ignored");
    }
    if let Some(count) = adopted.faults.len().checked_sub(MAX_FAULTS_LOGGED).filter(|n| *n > 0) {
        error!(%term, count, "further invalid stored intents ignored");
    }
}

/// Adds a scale-out to the intent log. If the log does not accept it, tells the scheduler that it
/// failed.
pub(super) fn scale_out(node: &Node, request: &ScaleOutRequest) {
    let ScaleOutRequest { request, kind, zone, spot, count } = request.clone();
    let scale_out = ScaleOut { request, kind, zone, spot, count };
    let mut intent_log = node.fleet_role.intent_log.borrow_mut();
    let (kind, zone) = (scale_out.kind.clone(), scale_out.zone.clone());
    let accepted = intent_log.as_mut().is_some_and(|intent_log| intent_log.scale_out(scale_out));
    drop(intent_log);
    if accepted {
        return;
    }
    if let Some(scheduler) = node.scheduler.borrow_mut().as_mut() {
        scheduler.scale_out_answered(node.now(), &kind, &zone, spot, count, Err(()));
    }
}

/// Adds a scale-in to the intent log.
pub(super) fn scale_in(node: &Node, machines: &[String]) {
    let now = node.now();
    let mut scheduler = node.scheduler.borrow_mut();
    let Some(scheduler) = scheduler.as_mut() else { return };
    let to_terminated_machine = |machine: &String| TerminatedMachine {
        machine: machine.clone(),
        holds_tasks: holds_tasks(scheduler, machine),
    };
    let machines = machines.iter().map(to_terminated_machine).collect();
    let mut intent_log = node.fleet_role.intent_log.borrow_mut();
    let requests = intent_log.as_mut().map_or(0, |intent_log| intent_log.scale_in(now, machines));
    if requests == 0 {
        // No new request results from this, so no response will follow.
        scheduler.scale_in_answered(now, &[], false);
    }
}

/// Starts the writes and cloud requests that the intent log has ready.
pub(super) fn advance_intents(node: &Rc<Node>, term: Term) {
    let commands = node.fleet_role.with_intent_log(term, |intent_log| {
        intent_log.set_limits(write_limits(node));
        intent_log.tick(node.now(), holds_role(node, term));
        intent_log.take_commands()
    });
    for command in commands.unwrap_or_default() {
        match command {
            IntentLogCommand::Write { id, transaction } => {
                let node = node.clone();
                tokio::task::spawn_local(async move {
                    let outcome = node.key_value.commit(RequestClass::Dispatch, &transaction).await;
                    apply_answer(&node, term, |intent_log| {
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

/// Applies a response to the intent log of the term and continues with it. Steps down if the log
/// has stopped.
fn apply_answer(node: &Rc<Node>, term: Term, apply: impl FnOnce(&mut IntentLog)) {
    let stopped = node.fleet_role.with_intent_log(term, |intent_log| {
        apply(intent_log);
        intent_log.stopped().cloned()
    });
    match stopped {
        Some(Some(stopped)) => node.step_down(StepDownCause::FleetRoleStopped(stopped)),
        Some(None) => advance_intents(node, term),
        None => {}
    }
}

/// Returns whether this node certainly holds the role for the term at this moment.
fn holds_role(node: &Node, term: Term) -> bool {
    node.leadership.borrow().term() == Some(term) && node.leader.holds_lease()
}

/// Translates the cloud's response into the outcome of the intent's action.
fn action_answer<T>(answer: &Result<T, CloudError>) -> ActionAnswer {
    match answer {
        Ok(_) => ActionAnswer::Done,
        Err(CloudError::NoCapacity { .. } | CloudError::Rejected { .. }) => ActionAnswer::Refused,
        Err(CloudError::NotSent { .. }) => ActionAnswer::NotSent,
        Err(CloudError::Indeterminate { .. }) => ActionAnswer::Unknown,
    }
}

async fn send_scale_out(node: Rc<Node>, term: Term, id: ActionId, scale_out: ScaleOut) {
    let answer = node.cloud.scale_out(&scale_out.request(), &|| holds_role(&node, term)).await;
    let outcome = action_answer(&answer);
    let granted = answer.as_deref().unwrap_or_default();
    apply_answer(&node, term, |intent_log| intent_log.answered(node.now(), id, outcome, granted));
    let granted = match answer {
        Ok(machines) => Ok(machines),
        Err(CloudError::NoCapacity { .. }) => Ok(Vec::new()),
        Err(CloudError::Rejected { .. }) => Err(()),
        // The request is repeated, and its machines may still arrive.
        Err(CloudError::NotSent { .. } | CloudError::Indeterminate { .. }) => {
            return with_scheduler(&node, term, |scheduler, now| scheduler.pause_cloud(now));
        }
    };
    let ScaleOut { kind, zone, spot, count, .. } = &scale_out;
    with_scheduler(&node, term, |scheduler, now| {
        scheduler.scale_out_answered(now, kind, zone, *spot, *count, granted);
    });
}

async fn send_scale_in(node: Rc<Node>, term: Term, id: ActionId, machines: Vec<TerminatedMachine>) {
    let machines: Vec<String> = machines.into_iter().map(|machine| machine.machine).collect();
    let answer = node.cloud.terminate(&machines, &|| holds_role(&node, term)).await;
    let outcome = action_answer(&answer);
    if outcome != ActionAnswer::Done {
        debug!(%term, ?outcome, "scale-in request not completed");
    }
    apply_answer(&node, term, |intent_log| intent_log.answered(node.now(), id, outcome, &[]));
    with_scheduler(&node, term, |scheduler, now| {
        scheduler.scale_in_answered(now, &machines, outcome == ActionAnswer::Done);
    });
}
