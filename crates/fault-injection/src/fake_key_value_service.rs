//! A key-value store: keys with revisions, leases, conditional transactions and watches, in memory. One socket
//! for each controller, so that it is known who asks.

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
use crate::freeze::{Freezer, Point};

type Answer = (StatusCode, Json<Value>);

struct Lease {
    ttl: Duration,
    until: Instant,
}

#[derive(Default)]
struct Stored {
    store: FakeKeyValueStore,
    leases: BTreeMap<u64, Lease>,
    intents: u64,
}

/// The leader as the store has it.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Holder {
    /// The name of the node that holds the leader key.
    pub node: String,
    /// The revision of the leader key.
    pub term: u64,
}

/// The store that all sockets share.
#[derive(Default)]
pub struct FakeKeyValueService {
    stored: Mutex<Stored>,
    changed: Notify,
}

impl Stored {
    fn end_lease(&mut self, lease: u64) {
        self.leases.remove(&lease);
        self.store.end_lease(lease);
    }
}

impl FakeKeyValueService {
    fn lock(&self) -> MutexGuard<'_, Stored> {
        let mut stored = self.stored.lock().unwrap_or_else(PoisonError::into_inner);
        let now = Instant::now();
        let over = stored.leases.iter().filter(|(_, lease)| now >= lease.until).map(|(&id, _)| id);
        let over: Vec<u64> = over.collect();
        over.into_iter().for_each(|lease| stored.end_lease(lease));
        stored
    }

    /// Who leads now.
    pub fn holder(&self) -> Option<Holder> {
        let stored = self.lock();
        let entry = stored.store.keys.get("leader")?;
        let node = entry.value["node"].as_str()?.to_owned();
        Some(Holder { node, term: entry.revision })
    }

    /// Whether an intent with that text in it is stored, and how many were ever stored.
    pub fn has_intent(&self, text: &str) -> bool {
        let stored = self.lock();
        let mut intents = stored.store.keys.iter().filter(|(key, _)| key.starts_with("intent/"));
        intents.any(|(_, entry)| entry.value.to_string().contains(text))
    }

    /// How many intents were ever stored.
    pub fn intents(&self) -> u64 {
        self.lock().intents
    }

    /// All changes so far.
    pub fn history(&self) -> Vec<Event> {
        self.lock().store.history.clone()
    }

    fn commit(&self, body: Value) -> Answer {
        let Ok(transaction) = serde_json::from_value::<Transaction>(body) else {
            return (StatusCode::BAD_REQUEST, Json(json!({"error": "malformed"})));
        };
        let mut stored = self.lock();
        let ended = |change: &Operation| matches!(change, Operation::Put { lease: Some(id), .. } if !stored.leases.contains_key(id));
        if transaction.operations.iter().any(ended) {
            return (StatusCode::BAD_REQUEST, Json(json!({"error": "no such lease"})));
        }
        if let Err(conflict) = stored.store.commit(&transaction) {
            let body = json!({"failed": conflict.failed, "growth": stored.store.revision});
            return (StatusCode::CONFLICT, Json(body));
        }
        let puts = transaction.operations.iter().filter_map(|change| match change {
            Operation::Put { put, .. } => Some(put),
            Operation::Delete { .. } => None,
        });
        stored.intents += puts.filter(|key| key.starts_with("intent/")).count() as u64;
        let revision = stored.store.revision;
        drop(stored);
        self.changed.notify_waiters();
        (StatusCode::OK, Json(json!({"growth": revision})))
    }
}

#[derive(Clone)]
struct Socket {
    service: Arc<FakeKeyValueService>,
    freezer: Arc<Freezer>,
    node: usize,
}

#[derive(Deserialize)]
struct Listing {
    starts: String,
    #[serde(default)]
    from: String,
    #[serde(default)]
    most: Option<usize>,
}

#[derive(Deserialize)]
#[serde(rename_all = "camelCase")]
struct Watching {
    starts: String,
    from: u64,
    #[serde(default)]
    hold_ms: u64,
}

/// The service as one controller reaches it.
pub fn router(service: Arc<FakeKeyValueService>, freezer: Arc<Freezer>, node: usize) -> Router {
    Router::new()
        .route("/keys", get(list))
        .route("/keys/{*key}", get(read))
        .route("/multi", post(commit))
        .route("/leases", post(grant))
        .route("/leases/{id}", axum::routing::delete(release))
        .route("/leases/{id}/touch", post(touch))
        .route("/watch", get(watch))
        .with_state(Socket { service, freezer, node })
}

async fn read(State(s): State<Socket>, Path(key): Path<String>) -> Answer {
    let stored = s.service.lock();
    match stored.store.read(&key) {
        Some(body) => (StatusCode::OK, Json(body)),
        None => (StatusCode::NOT_FOUND, Json(json!({"growth": stored.store.revision}))),
    }
}

async fn list(State(s): State<Socket>, Query(asked): Query<Listing>) -> Answer {
    let most = asked.most.unwrap_or(1_000);
    let body = s.service.lock().store.list(&asked.starts, &asked.from, most);
    (StatusCode::OK, Json(body))
}

async fn commit(State(s): State<Socket>, Json(body): Json<Value>) -> Answer {
    let changes = body["apply"].as_array().into_iter().flatten();
    let puts = changes.filter_map(|change| change["put"].as_str());
    let holds_intent = puts.into_iter().any(|key| key.starts_with("intent/"));
    if holds_intent {
        s.freezer.reached(Point::IntentArrived, s.node).await;
    }
    let answer = s.service.commit(body);
    if holds_intent {
        s.freezer.reached(Point::IntentStored, s.node).await;
    }
    answer
}

async fn grant(State(s): State<Socket>, Json(body): Json<Value>) -> Answer {
    let mut stored = s.service.lock();
    let ttl = Duration::from_millis(body["ttlMs"].as_u64().unwrap_or(0));
    stored.store.revision += 1;
    let id = stored.store.revision;
    stored.leases.insert(id, Lease { ttl, until: Instant::now() + ttl });
    (StatusCode::OK, Json(json!({"hold": id})))
}

async fn touch(State(s): State<Socket>, Path(id): Path<u64>) -> Answer {
    let mut stored = s.service.lock();
    match stored.leases.get_mut(&id) {
        Some(lease) => {
            lease.until = Instant::now() + lease.ttl;
            (StatusCode::OK, Json(json!({"hold": id})))
        }
        None => (StatusCode::NOT_FOUND, Json(json!({}))),
    }
}

async fn release(State(s): State<Socket>, Path(id): Path<u64>) -> Answer {
    s.service.lock().end_lease(id);
    s.service.changed.notify_waiters();
    (StatusCode::OK, Json(json!({})))
}

async fn watch(State(s): State<Socket>, Query(asked): Query<Watching>) -> Answer {
    let until = Instant::now() + Duration::from_millis(asked.hold_ms);
    loop {
        let (revision, events) = {
            let stored = s.service.lock();
            let history = &stored.store.history;
            let new = history.iter().rev().take_while(|event| event.revision > asked.from);
            let ours = new.filter(|event| event.key.starts_with(&asked.starts));
            let mut events: Vec<Value> = ours
                .map(|event| match &event.value {
                    Some(value) => {
                        json!({"put": event.key, "value": value, "mark": event.revision})
                    }
                    None => json!({"drop": event.key, "mark": event.revision}),
                })
                .collect();
            events.reverse();
            (stored.store.revision, events)
        };
        if !events.is_empty() || Instant::now() >= until {
            return (StatusCode::OK, Json(json!({"growth": revision, "events": events})));
        }
        // Leases end by themselves, so a look now and then is needed too.
        let pause = Duration::from_millis(50).min(until - Instant::now());
        let _ = tokio::time::timeout(pause, s.service.changed.notified()).await;
    }
}
