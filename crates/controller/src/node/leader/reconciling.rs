//! Periodically reads the records again: which jobs exist and which of them have ended. The watches
//! report the same sooner, but no job may depend on a single message that can be lost.

use std::rc::Rc;
use walnutlug_scheduler::leadership::fencing_token::Term;

use tokio::time::{sleep, Duration};
use tracing::{debug, info};
use walnutlug_scheduler::protocol::key_value::KeyValue;
use walnutlug_scheduler::scheduler::Scheduler;
use walnutlug_scheduler::storage::keys;

use super::job_ends;
use crate::key_value_client::{KeyValueError, RequestClass};
use crate::node::Node;

/// Interval at which a leader reads the records again.
const RECONCILE_INTERVAL: Duration = Duration::from_secs(20);

/// Reads the records again every `RECONCILE_INTERVAL` until the term ends, except while the
/// key-value store is unreachable.
pub(super) async fn run(node: Rc<Node>, term: Term) {
    loop {
        sleep(RECONCILE_INTERVAL).await;
        if !node.leads_in_term(term) {
            return;
        }
        if !node.key_value.store_reachable() {
            continue;
        }
        if let Err(error) = reconcile_once(&node, term).await {
            debug!(%error, "reconciliation failed: records could not be read");
        }
    }
}

/// Adds jobs missing from the scheduler and applies job ends that it missed.
///
/// # Errors
/// Returns an error if the records cannot be read.
pub(super) async fn reconcile_once(node: &Rc<Node>, term: Term) -> Result<(), KeyValueError> {
    let mut descriptions = node.key_value.list(RequestClass::Poll, keys::DESCRIPTIONS);
    while let Some(page) = descriptions.next_page().await? {
        let add = |scheduler: &mut Scheduler| add_missing_jobs(node, scheduler, &page);
        if with_scheduler_in_term(node, term, add).is_none() {
            return Ok(());
        }
    }
    let open = with_scheduler_in_term(node, term, |scheduler| jobs_to_look_up(scheduler));
    let Some(open) = open else { return Ok(()) };
    for job in job_ends::find_ended(node, open).await? {
        if let Some(end) = node.key_value.job_end(&job).await? {
            node.record_job_end(&job, end);
        }
    }
    node.wake_leader();
    Ok(())
}

/// Calls `action` with the scheduler, if this node still leads in the term.
fn with_scheduler_in_term<T>(
    node: &Node,
    term: Term,
    action: impl FnOnce(&mut Scheduler) -> T,
) -> Option<T> {
    let mut scheduler = node.scheduler.borrow_mut();
    scheduler.as_mut().filter(|scheduler| scheduler.term == term).map(action)
}

fn add_missing_jobs(node: &Node, scheduler: &mut Scheduler, descriptions: &[KeyValue]) {
    let (now, wall_clock_us) = (node.now(), node.wall_clock_us());
    for description in descriptions {
        // A job deleted since the list was read is added again here. The precondition that it has
        // not ended then fails, and the job is deleted again.
        let Some(job) = keys::described_job(&description.key) else { continue };
        if !scheduler.cluster.jobs_by_name.contains_key(job)
            && scheduler.add_job(now, job, &description.value, wall_clock_us).is_ok()
        {
            info!(%job, "missing job found by reconciliation");
        }
    }
}

/// Returns the open jobs, and the dependencies that the scheduler does not know, because their ends
/// are needed as well.
fn jobs_to_look_up(scheduler: &Scheduler) -> Vec<String> {
    let cluster = &scheduler.cluster;
    let dependencies = scheduler.open_dependencies().into_iter();
    let missing = dependencies.filter(|job| !cluster.jobs_by_name.contains_key(job));
    let missing: Vec<String> = missing.collect();
    [cluster.open_jobs(), missing].concat()
}

#[cfg(test)]
mod tests;
