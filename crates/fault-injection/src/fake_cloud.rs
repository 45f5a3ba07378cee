//! Fake of the cloud API with one machine type and a log of every request that rents or returns
//! machines. Each controller has its own socket, so that the log can name the sender.

use std::collections::BTreeMap;
use std::sync::{Arc, Mutex, PoisonError};
use std::time::Instant;

use axum::extract::{Query, State};
use axum::http::StatusCode;
use axum::routing::{get, post};
use axum::{Json, Router};
use serde::Deserialize;
use serde_json::{json, Value};

use crate::fake_key_value_service::{FakeKeyValueService, Leader};
use crate::fake_workers::{FakeMachine, FakeWorkers};
use crate::freeze::{FreezePoint, Freezer};

/// Effect of a request that rents or returns machines.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Effect {
    /// The request id was new and these machines were rented.
    ScaledOut(Vec<String>),
    /// The request id was known: nothing was rented and the first response was sent again.
    Repeated,
    /// The machines of the request that were still rented were returned.
    ScaledIn {
        /// Names of the machines that were returned.
        machines: Vec<String>,
        /// Number of returned machines on which tasks were still running.
        with_tasks: usize,
    },
}

/// Log entry of a request that rents or returns machines, read by the action checker.
#[derive(Debug, Clone)]
pub struct LoggedRequest {
    /// Time at which the request was executed.
    pub executed_at: Instant,
    /// Name of the controller that sent the request.
    pub node: String,
    /// Leader at the time the request arrived; `None` if there was none.
    pub leader_on_arrival: Option<Leader>,
    /// Leader at the time the request was executed; `None` if there was none.
    pub leader_on_effect: Option<Leader>,
    /// Whether a stored intent covered the request when it was executed.
    pub has_intent: bool,
    /// What the request changed.
    pub effect: Effect,
}

#[derive(Default)]
struct Inner {
    machines_by_request: BTreeMap<String, Vec<String>>,
    machines: BTreeMap<String, FakeMachine>,
    machines_started: u64,
    log: Vec<LoggedRequest>,
}

/// State of the fake cloud, shared by the sockets of all controllers.
pub struct FakeCloud {
    inner: Mutex<Inner>,
    store: Arc<FakeKeyValueService>,
    workers: FakeWorkers,
    /// Maximum number of machines rented at the same time.
    capacity: usize,
}

impl FakeCloud {
    /// Creates a cloud that rents any number of machines.
    pub fn new(store: Arc<FakeKeyValueService>, workers: FakeWorkers) -> FakeCloud {
        FakeCloud::with_capacity(usize::MAX, store, workers)
    }

    /// Creates a cloud that rents at most `capacity` machines at the same time.
    pub fn with_capacity(
        capacity: usize,
        store: Arc<FakeKeyValueService>,
        workers: FakeWorkers,
    ) -> FakeCloud {
        FakeCloud { inner: Mutex::default(), store, workers, capacity }
    }

    /// Returns a copy of the request log, oldest entry first.
    pub fn log(&self) -> Vec<LoggedRequest> {
        self.lock().log.clone()
    }

    /// Returns the names of all machines that are rented now.
    pub fn machines(&self) -> Vec<String> {
        self.lock().machines.keys().cloned().collect()
    }

    fn lock(&self) -> std::sync::MutexGuard<'_, Inner> {
        self.inner.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

#[derive(Clone)]
struct Endpoint {
    cloud: Arc<FakeCloud>,
    freezer: Arc<Freezer>,
    node: usize,
}

/// Builds the cloud API for one controller; `node` is the controller's index.
pub fn router(cloud: Arc<FakeCloud>, freezer: Arc<Freezer>, node: usize) -> Router {
    Router::new()
        .route("/machine_types", get(list_machine_types))
        .route("/machines", get(list_machines).post(scale_out))
        .route("/machines/return", post(scale_in))
        .with_state(Endpoint { cloud, freezer, node })
}

async fn list_machine_types() -> Json<Value> {
    Json(json!({"breeds": [{"sku": "t8", "vcpus": 8, "gpus": 0, "memoryGb": 32, "localGb": 50,
        "pullGbPerS": 10.0, "price": 1.0, "lowPrice": 0.4, "bootS": 1, "groves": ["a", "b"]}]}))
}

#[derive(Deserialize)]
struct ListQuery {
    #[serde(rename = "from", default)]
    after: String,
}

async fn list_machines(
    State(endpoint): State<Endpoint>,
    Query(request): Query<ListQuery>,
) -> Json<Value> {
    let inner = endpoint.cloud.lock();
    let following = inner.machines.iter().filter(|(name, _)| **name > request.after);
    let all: Vec<Value> = following.map(|(name, machine)| machine.list_entry(name)).collect();
    Json(json!({"trees": all, "hasNext": false}))
}

#[derive(Deserialize)]
struct ScaleOutBody {
    #[serde(rename = "ask")]
    request_id: String,
    #[serde(rename = "grove")]
    zone: String,
    #[serde(rename = "windfall")]
    spot: bool,
    count: u64,
}

async fn scale_out(
    State(endpoint): State<Endpoint>,
    Json(request): Json<ScaleOutBody>,
) -> (StatusCode, Json<Value>) {
    let on_arrival = endpoint.cloud.store.leader();
    endpoint.freezer.reached(FreezePoint::RequestArrived, endpoint.node).await;
    let (names, started) = {
        let has_intent = endpoint.cloud.store.has_intent(&request.request_id);
        let leader_on_effect = endpoint.cloud.store.leader();
        let mut inner = endpoint.cloud.lock();
        let known_names = inner.machines_by_request.get(&request.request_id).cloned();
        let available = endpoint.cloud.capacity.saturating_sub(inner.machines.len()) as u64;
        let count = request.count.min(available);
        if known_names.is_none() && count == 0 {
            let body = json!({"error": "no capacity"});
            return (StatusCode::SERVICE_UNAVAILABLE, Json(body));
        }
        let effect = known_names.as_ref().map(|_| Effect::Repeated);
        let names = known_names.unwrap_or_else(|| {
            let first = inner.machines_started + 1;
            inner.machines_started += count;
            (first..first + count).map(|n| format!("n-{n:06}")).collect()
        });
        let started = if effect.is_none() { names.clone() } else { Vec::new() };
        inner.machines_by_request.insert(request.request_id.clone(), names.clone());
        for name in &started {
            inner.machines.insert(name.clone(), FakeMachine::new(&request.zone, request.spot));
        }
        inner.log.push(LoggedRequest {
            executed_at: Instant::now(),
            node: format!("kernel-{}", endpoint.node),
            leader_on_arrival: on_arrival,
            leader_on_effect,
            has_intent,
            effect: effect.unwrap_or(Effect::ScaledOut(names.clone())),
        });
        (names, started)
    };
    for name in &started {
        let machine = endpoint.cloud.lock().machines.get(name).cloned();
        if let Some(machine) = machine {
            endpoint.cloud.workers.start(name, &machine).await;
        }
    }
    endpoint.freezer.reached(FreezePoint::RequestDone, endpoint.node).await;
    (StatusCode::OK, Json(json!({"trees": names})))
}

#[derive(Deserialize)]
struct ScaleInBody {
    #[serde(rename = "trees")]
    machines: Vec<String>,
}

async fn scale_in(
    State(endpoint): State<Endpoint>,
    Json(request): Json<ScaleInBody>,
) -> (StatusCode, Json<Value>) {
    let on_arrival = endpoint.cloud.store.leader();
    endpoint.freezer.reached(FreezePoint::RequestArrived, endpoint.node).await;
    {
        let has_intent = request.machines.iter().all(|name| endpoint.cloud.store.has_intent(name));
        let leader_on_effect = endpoint.cloud.store.leader();
        let mut inner = endpoint.cloud.lock();
        let is_rented = |name: &&String| inner.machines.contains_key(*name);
        let machines: Vec<String> = request.machines.iter().filter(is_rented).cloned().collect();
        let with_tasks =
            machines.iter().filter(|name| endpoint.cloud.workers.stop(name) > 0).count();
        machines.iter().for_each(|name| drop(inner.machines.remove(name)));
        inner.log.push(LoggedRequest {
            executed_at: Instant::now(),
            node: format!("kernel-{}", endpoint.node),
            leader_on_arrival: on_arrival,
            leader_on_effect,
            has_intent,
            effect: Effect::ScaledIn { machines, with_tasks },
        });
    }
    endpoint.freezer.reached(FreezePoint::RequestDone, endpoint.node).await;
    (StatusCode::OK, Json(json!({})))
}
