//! Renews the lease that the leader key is attached to, and works out how long it is certainly
//! held.

use std::rc::Rc;

use tokio::time::{sleep_until, Duration, Instant};
use tracing::debug;
use walnutlug_fencing::lease::safe_lease_time;
use walnutlug_scheduler::time::TimeDelta;

use crate::key_value_client::KeyValueError;
use crate::node::step_down::StepDownCause;
use crate::node::Node;

/// Fraction of the lease's time to live after which the lease is renewed.
const RENEWAL_FRACTION: f64 = 0.28;
/// Pause before a failed renewal is repeated.
const RETRY_PAUSE: Duration = Duration::from_millis(150);

/// The leader's lease as granted by the key-value store.
pub(in crate::node) struct HeldLease {
    /// Identifier of the lease in the key-value store.
    pub(in crate::node) id: u64,
    /// When the last successful grant or renewal request was sent.
    pub(in crate::node) renewed: Instant,
}

/// Returns how long after its request was sent a lease is certainly held, despite clock drift.
pub(super) fn safe_lease_duration(ttl: Duration) -> Duration {
    Duration::from_micros(safe_lease_time(TimeDelta(ttl.as_micros() as u64)).0)
}

/// Renews the leader's lease until the key-value store reports it expired, then steps down.
pub(super) async fn renew_until_expired(node: Rc<Node>, lease: HeldLease) {
    let ttl = Duration::from_micros(node.tunables.leader_lease.0);
    let mut renewed = lease.renewed;
    loop {
        sleep_until(renewed + ttl.mul_f64(RENEWAL_FRACTION)).await;
        let sent = Instant::now();
        match node.key_value.renew_lease(lease.id).await {
            Ok(()) => {
                renewed = sent;
                node.leader.lease_renewed(sent, ttl);
            }
            Err(KeyValueError::Expired { .. }) => {
                return node.step_down(StepDownCause::LeaseExpired)
            }
            Err(error) => {
                debug!(%error, "leader lease renewal failed");
                // After an outage the store gives leases their full time again, so the leader stays
                // and keeps answering its workers. The store and the workers' token checks reject
                // what it may no longer do.
                renewed = sent - ttl.mul_f64(RENEWAL_FRACTION) + RETRY_PAUSE;
            }
        }
    }
}
