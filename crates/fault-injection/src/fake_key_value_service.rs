//! Fake of the key-value service's HTTP API: reads, listings, conditional transactions, leases and
//! watches, all in memory. Each controller has its own socket, so that the fake knows the sender.

use std::collections::BTreeMap;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::{Duration, Instant};

use axum::extract::{Path, Query, State};
use axum::http::StatusCode;
use axum::routing::{get, post};
use axum::{Json, Router};
use serde::Deserialize;
use serde_json::{json, Value};
use tokio::sync::Notify;
use walnutlug_scheduler::protocol::key_value::{Operation, Transaction};

use crate::fake_key_value_store::{Event, FakeKeyValueStore};
use crate::freeze::{FreezePoint, Freezer};

type JsonResponse = (StatusCode, Json<Value>);

struct Lease {
    ttl: Duration,
    expires_at: Instant,
}

#[derive(Default)]
struct Inner {
    store: FakeKeyValueStore,
    leases: BTreeMap<u64, Lease>,
    intents_stored: u64,
}

/// The current leader according to the leader key in the store.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Leader {
    /// Name of the node that holds the leader key.
    pub node: String,
    /// Term of the leader, which is the revision of the leader key.
    pub term: u64,
}

/// State of the fake key-value service, shared by the sockets of all controllers.
#[derive(Default)]
pub struct FakeKeyValueService {
    inner: Mutex<Inner>,
    store_changed: Notify,
}

impl Inner {
    fn end_lease(&mut self, lease: u64) {
        self.leases.remove(&lease);
        self.store.end_lease(lease);
    }
}

impl FakeKeyValueService {
    /// Locks the state and first ends all leases that have expired.
    fn lock(&self) -> MutexGuard<'_, Inner> {
        let mut inner = self.inner.lock().unwrap_or_else(PoisonError::into_inner);
        let now = Instant::now();
        let expired =
            inner.leases.iter().filter(|(_, lease)| now >= lease.expires_at).map(|(&id, _)| id);
        let expired: Vec<u64> = expired.collect();
        expired.into_iter().for_each(|lease| inner.end_lease(lease));
        inner
    }

    /// Returns the current leader, or `None` if the leader key does not exist.
    pub fn leader(&self) -> Option<Leader> {
        let inner = self.lock();
        let entry = inner.store.keys.get("leader")?;
        let node = entry.value["node"].as_str()?.to_owned();
        Some(Leader { node, term: entry.revision })
    }

    /// Returns whether an intent whose value contains the text is stored. The text is a request id
    /// or the name of a machine.
    pub fn has_intent(&self, text: &str) -> bool {
        let inner = self.lock();
        let mut intents = inner.store.keys.iter().filter(|(key, _)| key.starts_with("intent/"));
        intents.any(|(_, entry)| entry.value.to_string().contains(text))
    }

    /// Returns the number of intent writes so far, including intents that were deleted since.
    pub fn intents_stored(&self) -> u64 {
        self.lock().intents_stored
    }

    /// Returns a copy of all changes so far, oldest first.
    pub fn history(&self) -> Vec<Event> {
        self.lock().store.history.clone()
    }

    fn commit(&self, body: Value) -> JsonResponse {
        let Ok(transaction) = serde_json::from_value::<Transaction>(body) else {
            return (StatusCode::BAD_REQUEST, Json(json!({"error": "malformed"})));
        };
        let mut inner = self.lock();
        let uses_ended_lease = |operation: &Operation| matches!(operation, Operation::Put { lease: Some(id), .. } if !inner.leases.contains_key(id));
        if transaction.operations.iter().any(uses_ended_lease) {
            return (StatusCode::BAD_REQUEST, Json(json!({"error": "no such lease"})));
        }
        if let Err(conflict) = inner.store.commit(&transaction) {
            let body = json!({"failed": conflict.failed, "growth": inner.store.revision});
            return (StatusCode::CONFLICT, Json(body));
        }
        let puts = transaction.operations.iter().filter_map(|operation| match operation {
            Operation::Put { put, .. } => Some(put),
            Operation::Delete { .. } => None,
        });
        inner.intents_stored += puts.filter(|key| key.starts_with("intent/")).count() as u64;
        let revision = inner.store.revision;
        drop(inner);
        self.store_changed.notify_waiters();
        (StatusCode::OK, Json(json!({"growth": revision})))
    }
}

#[derive(Clone)]
struct Endpoint {
    service: Arc<FakeKeyValueService>,
    freezer: Arc<Freezer>,
    node: usize,
}

#[derive(Deserialize)]
struct ListQuery {
    #[serde(rename = "starts")]
    prefix: String,
    #[serde(rename = "from", default)]
    after: String,
    #[serde(rename = "most", default)]
    limit: Option<usize>,
}

#[derive(Deserialize)]
#[serde(rename_all = "camelCase")]
struct WatchQuery {
    #[serde(rename = "starts")]
    prefix: String,
    #[serde(rename = "from")]
    after_revision: u64,
    #[serde(default)]
    hold_ms: u64,
}

/// Builds the HTTP API for one controller; `node` is the controller's index.
pub fn router(service: Arc<FakeKeyValueService>, freezer: Arc<Freezer>, node: usize) -> Router {
    Router::new()
        .route("/keys", get(list_keys))
        .route("/keys/{*key}", get(read_key))
        .route("/multi", post(commit))
        .route("/leases", post(grant_lease))
        .route("/leases/{id}", axum::routing::delete(revoke_lease))
        .route("/leases/{id}/touch", post(renew_lease))
        .route("/watch", get(watch))
        .with_state(Endpoint { service, freezer, node })
}

async fn read_key(State(endpoint): State<Endpoint>, Path(key): Path<String>) -> JsonResponse {
    let inner = endpoint.service.lock();
    match inner.store.read(&key) {
        Some(body) => (StatusCode::OK, Json(body)),
        None => (StatusCode::NOT_FOUND, Json(json!({"growth": inner.store.revision}))),
    }
}

async fn list_keys(
    State(endpoint): State<Endpoint>,
    Query(query): Query<ListQuery>,
) -> JsonResponse {
    let limit = query.limit.unwrap_or(1_000);
    let body = endpoint.service.lock().store.list(&query.prefix, &query.after, limit);
    (StatusCode::OK, Json(body))
}

async fn commit(State(endpoint): State<Endpoint>, Json(body): Json<Value>) -> JsonResponse {
    let operations = body["apply"].as_array().into_iter().flatten();
    let puts = operations.filter_map(|operation| operation["put"].as_str());
    let puts_intent = puts.into_iter().any(|key| key.starts_with("intent/"));
    if puts_intent {
        endpoint.freezer.reached(FreezePoint::IntentArrived, endpoint.node).await;
    }
    let response = endpoint.service.commit(body);
    if puts_intent {
        endpoint.freezer.reached(FreezePoint::IntentStored, endpoint.node).await;
    }
    response
}

async fn grant_lease(State(endpoint): State<Endpoint>, Json(body): Json<Value>) -> JsonResponse {
    let mut inner = endpoint.service.lock();
    let ttl = Duration::from_millis(body["ttlMs"].as_u64().unwrap_or(0));
    inner.store.revision += 1;
    let id = inner.store.revision;
    inner.leases.insert(id, Lease { ttl, expires_at: Instant::now() + ttl });
    (StatusCode::OK, Json(json!({"hold": id})))
}

async fn renew_lease(State(endpoint): State<Endpoint>, Path(id): Path<u64>) -> JsonResponse {
    let mut inner = endpoint.service.lock();
    match inner.leases.get_mut(&id) {
        Some(lease) => {
            lease.expires_at = Instant::now() + lease.ttl;
            (StatusCode::OK, Json(json!({"hold": id})))
        }
        None => (StatusCode::NOT_FOUND, Json(json!({}))),
    }
}

async fn revoke_lease(State(endpoint): State<Endpoint>, Path(id): Path<u64>) -> JsonResponse {
    endpoint.service.lock().end_lease(id);
    endpoint.service.store_changed.notify_waiters();
    (StatusCode::OK, Json(json!({})))
}

async fn watch(State(endpoint): State<Endpoint>, Query(query): Query<WatchQuery>) -> JsonResponse {
    let deadline = Instant::now() + Duration::from_millis(query.hold_ms);
    loop {
        let (revision, events) = {
            let inner = endpoint.service.lock();
            let history = &inner.store.history;
            let new_events =
                history.iter().rev().take_while(|event| event.revision > query.after_revision);
            let matching = new_events.filter(|event| event.key.starts_with(&query.prefix));
            let mut events: Vec<Value> = matching
                .map(|event| match &event.value {
                    Some(value) => {
                        json!({"put": event.key, "value": value, "mark": event.revision})
                    }
                    None => json!({"drop": event.key, "mark": event.revision}),
                })
                .collect();
            events.reverse();
            (inner.store.revision, events)
        };
        if !events.is_empty() || Instant::now() >= deadline {
            return (StatusCode::OK, Json(json!({"growth": revision, "events": events})));
        }
        // The expiry of a lease sends no notification, so the watch also polls.
        let pause = Duration::from_millis(50).min(deadline - Instant::now());
        let _ = tokio::time::timeout(pause, endpoint.service.store_changed.notified()).await;
    }
}
