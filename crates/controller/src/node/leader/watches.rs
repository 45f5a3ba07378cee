//! Watches the key-value store for new jobs and job ends. Watches are reopened at a limited rate,
//! since each request counts against the store's request allowance.

use std::rc::Rc;
use walnutlug_scheduler::leadership::fencing_token::Term;
use walnutlug_scheduler::storage::revision::Revision;

use tokio::time::{sleep, timeout, Duration, Instant};
use walnutlug_scheduler::leadership::watermark;
use walnutlug_scheduler::model::job_spec::JobEnd;
use walnutlug_scheduler::protocol::key_value::WatchEvent;
use walnutlug_scheduler::storage::keys;

use crate::key_value_client::{KeyValueError, RequestClass};
use crate::node::step_down::StepDownCause;
use crate::node::Node;

/// Shortest time between opening a watch and opening it again.
const MIN_INTERVAL: Duration = Duration::from_millis(150);
/// Pause before a failed watch is opened again.
const RETRY_PAUSE: Duration = Duration::from_millis(300);
/// Shortest and longest time for which the key-value store may hold a watch request.
const MIN_HOLD: Duration = Duration::from_millis(100);
const MAX_HOLD: Duration = Duration::from_secs(10);
/// Minimum number of times that a watch returns within the watermark's window.
const RETURNS_PER_WINDOW: u64 = 6;

/// Returns the remaining part of the minimum interval. The clock is read only once: if the process
/// is suspended between two readings, a time that was below the interval at the first can be above
/// it at the second. The resulting negative difference once ended a leader with a fleet of two
/// thousand machines under load.
fn remaining_interval(elapsed: Duration) -> Duration {
    MIN_INTERVAL.saturating_sub(elapsed)
}

/// Watches the keys under the prefix and applies changes to the scheduler until the term ends.
pub(super) async fn run(node: Rc<Node>, term: Term, prefix: &'static str, mut from: Revision) {
    // The watch on job ends advances the watermark whenever it returns, so it has to return often.
    let window = watermark::lease_renewal_window(&node.site).0;
    let hold = Duration::from_micros(window / RETURNS_PER_WINDOW).clamp(MIN_HOLD, MAX_HOLD);
    while node.leads_in_term(term) {
        let (opened, requested) = (Instant::now(), node.now());
        match node.key_value.watch(RequestClass::Dispatch, prefix, from, hold).await {
            Ok(watched) => {
                from = watched.store_revision.max(from);
                if !node.leads_in_term(term) {
                    return;
                }
                apply(&node, &watched.events);
                if prefix == keys::END {
                    // This response and earlier ones contain every end that was stored before the
                    // watch was opened.
                    node.cancellations.job_ends_read(requested);
                }
                node.wake_leader();
            }
            Err(KeyValueError::Expired { .. }) => {
                return node.step_down(StepDownCause::WatchExpired)
            }
            Err(_) => sleep(RETRY_PAUSE).await,
        }
        let remaining = remaining_interval(opened.elapsed());
        if !remaining.is_zero() {
            // A node that accepted or cancelled a job sends a hint that there are new records to
            // read.
            let _ = timeout(remaining, node.watch_wakeup.notified()).await;
        }
    }
}

fn apply(node: &Node, events: &[WatchEvent]) {
    let (now, wall_clock_us) = (node.now(), node.wall_clock_us());
    for event in events {
        let WatchEvent::Put { put, value, .. } = event else { continue };
        if let Some(job) = keys::described_job(put) {
            if let Some(scheduler) = node.scheduler.borrow_mut().as_mut() {
                // The scheduler logs an unreadable description and skips its job.
                let _ = scheduler.add_job(now, job, value, wall_clock_us);
            }
        } else if let Some(job) = put.strip_prefix(keys::END) {
            if let Ok(end) = serde_json::from_value::<JobEnd>(value.clone()) {
                node.record_job_end(job, end);
            }
        }
    }
}

#[cfg(test)]
mod tests;
