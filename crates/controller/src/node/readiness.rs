//! Whether the platform should send users to this node.

use std::cell::Cell;

use tokio::time::Duration;

use super::Node;

/// Time for which the key-value store may refuse a node that stays ready.
const UNREACHABLE_GRACE: Duration = Duration::from_millis(1_500);

/// Whether the node has ever reached what it needs.
#[derive(Default)]
pub(super) struct Readiness {
    dependency_reached: Cell<bool>,
}

impl Readiness {
    /// The node has had an answer from the key-value store or the cloud.
    pub(super) fn set_dependency_reached(&self) {
        self.dependency_reached.set(true);
    }
}

/// Ready once the node can decide. In an outage for all it stays ready and says 503 with a time to come again: users
/// are served sooner so than through the balancer's growing pauses. A node that is refused while others are served is
/// of no use to anybody; nor is one that is cut off from the key-value store and from all other nodes, which are
/// served for all it knows.
pub(super) fn is_ready(node: &Node) -> bool {
    if node.machine_types.borrow().is_empty() || !node.readiness.dependency_reached.get() {
        return false;
    }
    let store_unreachable = node.key_value.unreachable_for() > UNREACHABLE_GRACE;
    let view = &node.cluster_view;
    !(store_unreachable && (view.any_peer_reaches_store() || view.is_isolated()))
}
