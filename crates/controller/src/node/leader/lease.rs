//! The leader's lease.

use std::rc::Rc;

use tokio::time::{sleep_until, Duration, Instant};
use tracing::debug;
use walnutlug_fencing::lease::safe_lease_time;
use walnutlug_scheduler::time::TimeDelta;

use crate::key_value_client::KeyValueError;
use crate::node::step_down::StepDownCause;
use crate::node::Node;

/// The part of the lease's time after which it is renewed.
const RENEWAL_FRACTION: f64 = 0.28;
/// Pause after a renewal failed.
const RETRY_PAUSE: Duration = Duration::from_millis(150);

/// A lease in the key-value store.
pub(in crate::node) struct HeldLease {
    /// Its number in the key-value store.
    pub(in crate::node) id: u64,
    /// When the last successful request for it was sent.
    pub(in crate::node) renewed: Instant,
}

/// For how long after it was requested the lease is certainly held, whatever the clocks do.
pub(super) fn safe_lease_duration(ttl: Duration) -> Duration {
    Duration::from_micros(safe_lease_time(TimeDelta(ttl.as_micros() as u64)).0)
}

/// Renews the lease until it expires.
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
                debug!(%error, "leader lease not renewed");
                // In an outage the lease gets its full time again, so the leader stays and goes on answering its
                // workers; what it may not do any more the key-value store and the workers' tokens refuse.
                renewed = sent - ttl.mul_f64(RENEWAL_FRACTION) + RETRY_PAUSE;
            }
        }
    }
}
