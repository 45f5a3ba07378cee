//! Periodically reads the cloud's list of machines.

use std::rc::Rc;
use walnutlug_scheduler::leadership::fencing_token::Term;

use tokio::time::{sleep, Duration, Instant};

use crate::node::Node;

/// Shortest and longest time between two list requests.
const MIN_INTERVAL: Duration = Duration::from_secs(3);
const MAX_INTERVAL: Duration = Duration::from_secs(10);
/// Pause before a failed list request is repeated.
const RETRY_PAUSE: Duration = Duration::from_secs(2);

/// Passes the cloud's machine list to the scheduler until the term ends.
pub(super) async fn run(node: Rc<Node>, term: Term) {
    let interval =
        Duration::from_micros(node.site.list_lag.0 / 2).clamp(MIN_INTERVAL, MAX_INTERVAL);
    while node.leads_in_term(term) {
        let list_requested = Instant::now();
        let pause = match node.cloud.list().await {
            Ok(machines) => {
                let now = node.now();
                if let Some(scheduler) = node.scheduler.borrow_mut().as_mut() {
                    scheduler.machine_list(now, &machines);
                }
                node.wake_leader();
                // The list of a large fleet takes many pages. A pause as long as the listing leaves
                // half of the cloud's request rate to scaling out and in.
                interval.max(list_requested.elapsed())
            }
            Err(_) => RETRY_PAUSE,
        };
        sleep(pause).await;
    }
}
