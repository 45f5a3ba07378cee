//! A state service: keys with revisions, leases, conditional transactions and watches, in memory. One socket
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
use walnutlug_core::wire::{Change, Txn};

use crate::freeze::{Freezer, Point};

type Answer = (StatusCode, Json<Value>);

struct Entry {
    value: Value,
    mark: u64,
    lease: Option<u64>,
}

struct Lease {
    ttl: Duration,
    until: Instant,
}

#[derive(Default)]
struct Stored {
    revision: u64,
    keys: BTreeMap<String, Entry>,
    leases: BTreeMap<u64, Lease>,
    history: Vec<(u64, String, Option<Value>)>,
    intents: u64,
}

/// The leader as the store has it.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Holder {
    pub node: String,
    pub term: u64,
}

/// The store that all sockets share.
#[derive(Default)]
pub struct StateService {
    stored: Mutex<Stored>,
    changed: Notify,
}

impl Stored {
    fn put(&mut self, key: &str, value: Value, lease: Option<u64>) {
        self.history.push((self.revision, key.to_owned(), Some(value.clone())));
        self.keys.insert(key.to_owned(), Entry { value, mark: self.revision, lease });
    }

    fn remove(&mut self, key: &str) {
        if self.keys.remove(key).is_some() {
            self.history.push((self.revision, key.to_owned(), None));
        }
    }

    fn end_lease(&mut self, lease: u64) {
        self.leases.remove(&lease);
        let attached =
            |(key, entry): (&String, &Entry)| (entry.lease == Some(lease)).then(|| key.clone());
        let keys: Vec<String> = self.keys.iter().filter_map(attached).collect();
        self.revision += u64::from(!keys.is_empty());
        keys.iter().for_each(|key| self.remove(key));
    }
}

impl StateService {
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
        let entry = stored.keys.get("leader")?;
        let node = entry.value["node"].as_str()?.to_owned();
        Some(Holder { node, term: entry.mark })
    }

    /// Whether an intent with that text in it is stored, and how many were ever stored.
    pub fn has_intent(&self, text: &str) -> bool {
        let stored = self.lock();
        let mut intents = stored.keys.iter().filter(|(key, _)| key.starts_with("intent/"));
        intents.any(|(_, entry)| entry.value.to_string().contains(text))
    }

    /// How many intents were ever stored.
    pub fn intents(&self) -> u64 {
        self.lock().intents
    }

    fn commit(&self, body: Value) -> Answer {
        let Ok(txn) = serde_json::from_value::<Txn>(body) else {
            return (StatusCode::BAD_REQUEST, Json(json!({"error": "malformed"})));
        };
        let mut stored = self.lock();
        let mark = |key: &str| stored.keys.get(key).map_or(0, |entry| entry.mark);
        let wrong = txn.guards.iter().filter(|guard| mark(&guard.key) != guard.mark);
        let failed: Vec<&str> = wrong.map(|guard| guard.key.as_str()).collect();
        if !failed.is_empty() {
            let body = json!({"failed": failed, "growth": stored.revision});
            return (StatusCode::CONFLICT, Json(body));
        }
        let ended = |change: &Change| matches!(change, Change::Put { lease: Some(id), .. } if !stored.leases.contains_key(id));
        if txn.apply.iter().any(ended) {
            return (StatusCode::BAD_REQUEST, Json(json!({"error": "no such lease"})));
        }
        stored.revision += u64::from(!txn.apply.is_empty());
        for change in &txn.apply {
            match change {
                Change::Put { put, value, lease } => {
                    stored.intents += u64::from(put.starts_with("intent/"));
                    stored.put(put, value.to_value(), *lease);
                }
                Change::Drop { drop } => stored.remove(drop),
            }
        }
        let revision = stored.revision;
        drop(stored);
        self.changed.notify_waiters();
        (StatusCode::OK, Json(json!({"growth": revision})))
    }
}

#[derive(Clone)]
struct Socket {
    service: Arc<StateService>,
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
pub fn router(service: Arc<StateService>, freezer: Arc<Freezer>, node: usize) -> Router {
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
    match stored.keys.get(&key) {
        Some(entry) => {
            let body = json!({"key": key, "value": entry.value, "mark": entry.mark});
            (StatusCode::OK, Json(body))
        }
        None => (StatusCode::NOT_FOUND, Json(json!({"growth": stored.revision}))),
    }
}

async fn list(State(s): State<Socket>, Query(asked): Query<Listing>) -> Answer {
    let stored = s.service.lock();
    let most = asked.most.unwrap_or(1_000);
    let found = stored.keys.iter().filter(|(key, _)| {
        key.starts_with(&asked.starts) && (asked.from.is_empty() || **key > asked.from)
    });
    let mut pairs: Vec<Value> = found
        .take(most + 1)
        .map(|(key, entry)| json!({"key": key, "value": entry.value, "mark": entry.mark}))
        .collect();
    let more = pairs.len() > most;
    pairs.truncate(most);
    (StatusCode::OK, Json(json!({"pairs": pairs, "hasNext": more, "growth": stored.revision})))
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
    stored.revision += 1;
    let id = stored.revision;
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
            let new = stored.history.iter().rev().take_while(|(at, ..)| *at > asked.from);
            let ours = new.filter(|(_, key, _)| key.starts_with(&asked.starts));
            let mut events: Vec<Value> = ours
                .map(|(mark, key, value)| match value {
                    Some(value) => json!({"put": key, "value": value, "mark": mark}),
                    None => json!({"drop": key, "mark": mark}),
                })
                .collect();
            events.reverse();
            (stored.revision, events)
        };
        if !events.is_empty() || Instant::now() >= until {
            return (StatusCode::OK, Json(json!({"growth": revision, "events": events})));
        }
        // Leases end by themselves, so a look now and then is needed too.
        let pause = Duration::from_millis(50).min(until - Instant::now());
        let _ = tokio::time::timeout(pause, s.service.changed.notified()).await;
    }
}
