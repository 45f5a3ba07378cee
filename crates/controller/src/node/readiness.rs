//! Tells the platform whether to send user requests to this node.

use std::cell::Cell;

use tokio::time::Duration;

use super::Node;

/// Time for which a node stays ready while the key-value store refuses its requests.
const UNREACHABLE_GRACE: Duration = Duration::from_millis(1_500);

/// Tracks whether the node has ever reached the key-value store or the cloud.
#[derive(Default)]
pub(super) struct Readiness {
    dependency_reached: Cell<bool>,
}

impl Readiness {
    /// Records that the key-value store or the cloud has responded.
    pub(super) fn set_dependency_reached(&self) {
        self.dependency_reached.set(true);
    }
}

/// Returns whether the node should receive user requests: it has to know machine types and have
/// reached the store or the cloud.
///
/// In an outage that affects all nodes it stays ready and answers 503 with a retry time, since
/// users are then served sooner than through the load balancer's growing pauses. A node is not
/// ready if the key-value store refuses it but serves a peer, or if it is cut off from the store
/// and from all peers, which may well be served.
pub(super) fn is_ready(node: &Node) -> bool {
    if node.machine_types.borrow().is_empty() || !node.readiness.dependency_reached.get() {
        return false;
    }
    let store_unreachable = node.key_value.unreachable_for() > UNREACHABLE_GRACE;
    let view = &node.cluster_view;
    !(store_unreachable && (view.any_peer_reaches_store() || view.is_isolated()))
}
