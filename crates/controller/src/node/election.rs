//! The election loop: a node that does not lead watches the leader key while another node holds it,
//! and campaigns when the key is gone.

use std::rc::Rc;
use walnutlug_scheduler::leadership::fencing_token::Term;
use walnutlug_scheduler::storage::revision::Revision;

use tokio::time::{sleep, timeout, Duration, Instant};
use tracing::info;
use walnutlug_scheduler::command::TransactionOutcome;
use walnutlug_scheduler::leadership::election::ElectionEvent;
use walnutlug_scheduler::protocol::key_value::{
    Compare, KeyValue, Operation, Transaction, WatchEvent,
};
use walnutlug_scheduler::storage::document::Document;
use walnutlug_scheduler::storage::keys;

use super::leader::{self, lease::HeldLease};
use super::Node;
use crate::key_value_client::{leader_record, KeyValueClient, RequestClass};

/// Pause after a failed watch on the leader key, or while an earlier lease of this process expires.
const RETRY_PAUSE: Duration = Duration::from_millis(300);
/// Pause between two reads of the leader key while this node backs off from campaigning.
const BACKOFF_PAUSE: Duration = Duration::from_millis(200);
/// Longest time for which the key-value store may hold a watch request on the leader key.
const WATCH_HOLD: Duration = Duration::from_secs(10);
/// Time allowed for releasing the lease at the end of a term.
const RELEASE_TIMEOUT: Duration = Duration::from_millis(500);

/// Follows, campaigns and leads until the process ends.
pub(super) async fn run(node: Rc<Node>) {
    loop {
        match node.key_value.get(RequestClass::Leadership, keys::LEADER).await {
            Ok(Some(key_value)) => {
                node.readiness.set_dependency_reached();
                follow(&node, &key_value).await;
            }
            Ok(None) => {
                node.readiness.set_dependency_reached();
                if node.leadership.borrow_mut().step(node.now(), ElectionEvent::Vacant) {
                    campaign(&node).await;
                } else {
                    sleep(BACKOFF_PAUSE).await;
                }
            }
            Err(_) => sleep(Duration::from_millis(rand::random_range(250..400))).await,
        }
    }
}

/// Records the leader named by the leader key and waits for the key to change.
async fn follow(node: &Rc<Node>, key_value: &KeyValue) {
    let own_nonce = node.identity.election_nonce.as_str();
    if key_value.value["inc"].as_str() == Some(own_nonce) {
        // This process created the key, but the response was lost and it does not hold the lease.
        // It waits for the lease to expire.
        return sleep(RETRY_PAUSE).await;
    }
    let leader = key_value.value["node"].as_str().unwrap_or_default();
    if leader == node.settings.node_name {
        release_former_lease(node, key_value).await;
    }
    let term = key_value.revision.into();
    node.record_leader(leader, term);
    match node
        .key_value
        .watch(RequestClass::Leadership, keys::LEADER, key_value.revision, WATCH_HOLD)
        .await
    {
        Ok(watched) => {
            if watched.events.iter().any(deletes_leader_key) {
                info!(%term, "leader key deleted");
                node.cluster_view.forget_leader(term);
            }
        }
        Err(_) => sleep(RETRY_PAUSE).await,
    }
}

fn deletes_leader_key(event: &WatchEvent) -> bool {
    matches!(event, WatchEvent::Delete { drop, .. } if drop == keys::LEADER)
}

/// Revokes the lease of a leader key created by an earlier process of this node, which ended while
/// it led and restarted before the lease expired. Nobody leads in that state, so there is nothing
/// to wait for. Even if the earlier process were still running, its writes would only be rejected.
async fn release_former_lease(node: &Node, key_value: &KeyValue) {
    if let Some(lease) = key_value.value["lease"].as_u64() {
        info!(term = %key_value.revision, "leader lease of a former incarnation released");
        let _ = node.key_value.revoke_lease(lease).await;
    }
}

/// Tries to create the leader key and leads if that succeeds.
async fn campaign(node: &Rc<Node>) {
    let ttl = Duration::from_micros(node.tunables.leader_lease.0);
    let campaign_failed = || {
        node.leadership.borrow_mut().step(node.now(), ElectionEvent::Failed);
    };
    let requested = Instant::now();
    let Ok(lease) = node.key_value.grant_lease(ttl).await else {
        campaign_failed();
        return sleep(Duration::from_millis(rand::random_range(50..200))).await;
    };
    node.leader.lease_renewed(requested, ttl);
    let nonce = &node.identity.election_nonce;
    let claim = leader_key_claim(&node.settings.node_name, nonce, lease);
    let Some(term) = create_leader_key(&node.key_value, &claim, nonce).await else {
        // Revoking the lease also removes a key that a delayed copy of the transaction may still
        // create.
        let _ = node.key_value.revoke_lease(lease).await;
        return campaign_failed();
    };
    if !node.leadership.borrow_mut().step(node.now(), ElectionEvent::Won { term }) {
        return;
    }
    info!(%term, "elected as leader");
    node.key_value.set_leading(true);
    node.record_leader(&node.settings.node_name, term);
    leader::lead(node, term, HeldLease { id: lease, renewed: requested }).await;
    let _ = timeout(RELEASE_TIMEOUT, node.key_value.revoke_lease(lease)).await;
}

/// Builds the transaction that creates the leader key if it does not exist.
fn leader_key_claim(node_name: &str, election_nonce: &str, lease: u64) -> Transaction {
    let value = leader_record(node_name, election_nonce, lease);
    Transaction {
        compares: vec![Compare { key: keys::LEADER.into(), revision: Revision::NONE }],
        operations: vec![Operation::Put {
            put: keys::LEADER.into(),
            value: Document::new(&value),
            lease: Some(lease),
        }],
    }
}

/// Commits the claim and returns the new term if this node was elected. If the response was lost,
/// the stored key still shows it by this process's nonce.
async fn create_leader_key(
    key_value_client: &KeyValueClient,
    claim: &Transaction,
    election_nonce: &str,
) -> Option<Term> {
    match key_value_client.commit(RequestClass::Leadership, claim).await {
        TransactionOutcome::Committed { revision } => Some(revision.into()),
        TransactionOutcome::Conflict { .. } | TransactionOutcome::Indeterminate => {
            let found = key_value_client.get(RequestClass::Leadership, keys::LEADER).await;
            let own = found.ok()?.filter(|key| key.value["inc"].as_str() == Some(election_nonce));
            own.map(|key| key.revision.into())
        }
        TransactionOutcome::Rejected | TransactionOutcome::TooLarge => None,
    }
}

#[cfg(test)]
mod tests;
