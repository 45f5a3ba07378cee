//! A cloud with one type of machine that logs every rental and return. One socket for each controller, so
//! that it is known who asks.

use std::collections::BTreeMap;
use std::sync::{Arc, Mutex, PoisonError};
use std::time::Instant;

use axum::extract::{Query, State};
use axum::http::StatusCode;
use axum::routing::{get, post};
use axum::{Json, Router};
use serde::Deserialize;
use serde_json::{json, Value};

use crate::fake_key_value_service::{FakeKeyValueService, Holder};
use crate::fake_workers::{FakeMachine, FakeWorkers};
use crate::freeze::{Freezer, Point};

/// What a request did.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Effect {
    /// These machines were rented under a name that is new.
    ScaledOut(Vec<String>),
    /// The name was known: the same answer again.
    Repeated,
    /// Of the machines named these were there, and so many of them ran tasks.
    ScaledIn {
        /// The machines.
        machines: Vec<String>,
        /// How many of them ran tasks.
        with_tasks: usize,
    },
}

/// One request, as the checker wants to see it.
#[derive(Debug, Clone)]
pub struct Logged {
    /// When it was carried out.
    pub at: Instant,
    /// Which controller sent it.
    pub node: String,
    /// Who led when it arrived.
    pub holder_on_arrival: Option<Holder>,
    /// Who led when it was carried out.
    pub holder_on_effect: Option<Holder>,
    /// Whether an intent stood for it when it was carried out.
    pub recorded: bool,
    /// What it did.
    pub effect: Effect,
}

#[derive(Default)]
struct Inner {
    by_request: BTreeMap<String, Vec<String>>,
    machines: BTreeMap<String, FakeMachine>,
    machines_started: u64,
    log: Vec<Logged>,
}

/// The cloud that all sockets share.
pub struct FakeCloud {
    inner: Mutex<Inner>,
    state: Arc<FakeKeyValueService>,
    fleet: FakeWorkers,
    /// Machines that it has in all.
    most: usize,
}

impl FakeCloud {
    /// As many machines as anybody asks for.
    pub fn new(state: Arc<FakeKeyValueService>, fleet: FakeWorkers) -> FakeCloud {
        FakeCloud::with_most(usize::MAX, state, fleet)
    }

    /// So many machines and no more.
    pub fn with_most(
        most: usize,
        state: Arc<FakeKeyValueService>,
        fleet: FakeWorkers,
    ) -> FakeCloud {
        FakeCloud { inner: Mutex::default(), state, fleet, most }
    }

    /// All requests so far.
    pub fn log(&self) -> Vec<Logged> {
        self.lock().log.clone()
    }

    /// Machines that are there.
    pub fn machines(&self) -> Vec<String> {
        self.lock().machines.keys().cloned().collect()
    }

    fn lock(&self) -> std::sync::MutexGuard<'_, Inner> {
        self.inner.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

#[derive(Clone)]
struct Socket {
    cloud: Arc<FakeCloud>,
    freezer: Arc<Freezer>,
    node: usize,
}

/// The cloud as one controller reaches it.
pub fn router(cloud: Arc<FakeCloud>, freezer: Arc<Freezer>, node: usize) -> Router {
    Router::new()
        .route("/machine_types", get(types))
        .route("/machines", get(list).post(scale_out))
        .route("/machines/return", post(scale_in))
        .with_state(Socket { cloud, freezer, node })
}

async fn types() -> Json<Value> {
    Json(json!({"breeds": [{"sku": "t8", "vcpus": 8, "gpus": 0, "memoryGb": 32, "localGb": 50,
        "pullGbPerS": 10.0, "price": 1.0, "lowPrice": 0.4, "bootS": 1, "groves": ["a", "b"]}]}))
}

#[derive(Deserialize)]
struct Listing {
    #[serde(default)]
    from: String,
}

async fn list(State(s): State<Socket>, Query(asked): Query<Listing>) -> Json<Value> {
    let inner = s.cloud.lock();
    let after = inner.machines.iter().filter(|(name, _)| **name > asked.from);
    let all: Vec<Value> = after.map(|(name, machine)| machine.listed(name)).collect();
    Json(json!({"trees": all, "hasNext": false}))
}

#[derive(Deserialize)]
struct ScaleOutBody {
    ask: String,
    grove: String,
    windfall: bool,
    count: u64,
}

async fn scale_out(
    State(s): State<Socket>,
    Json(asked): Json<ScaleOutBody>,
) -> (StatusCode, Json<Value>) {
    let on_arrival = s.cloud.state.holder();
    s.freezer.reached(Point::RequestArrived, s.node).await;
    let (names, started) = {
        let recorded = s.cloud.state.has_intent(&asked.ask);
        let holder_on_effect = s.cloud.state.holder();
        let mut inner = s.cloud.lock();
        let known = inner.by_request.get(&asked.ask).cloned();
        let left = s.cloud.most.saturating_sub(inner.machines.len()) as u64;
        let count = asked.count.min(left);
        if known.is_none() && count == 0 {
            let body = json!({"error": "no capacity"});
            return (StatusCode::SERVICE_UNAVAILABLE, Json(body));
        }
        let effect = known.as_ref().map(|_| Effect::Repeated);
        let names = known.unwrap_or_else(|| {
            let first = inner.machines_started + 1;
            inner.machines_started += count;
            (first..first + count).map(|n| format!("n-{n:06}")).collect()
        });
        let started = if effect.is_none() { names.clone() } else { Vec::new() };
        inner.by_request.insert(asked.ask.clone(), names.clone());
        for name in &started {
            inner.machines.insert(name.clone(), FakeMachine::new(&asked.grove, asked.windfall));
        }
        inner.log.push(Logged {
            at: Instant::now(),
            node: format!("kernel-{}", s.node),
            holder_on_arrival: on_arrival,
            holder_on_effect,
            recorded,
            effect: effect.unwrap_or(Effect::ScaledOut(names.clone())),
        });
        (names, started)
    };
    for name in &started {
        let machine = s.cloud.lock().machines.get(name).cloned();
        if let Some(machine) = machine {
            s.cloud.fleet.start(name, &machine).await;
        }
    }
    s.freezer.reached(Point::RequestDone, s.node).await;
    (StatusCode::OK, Json(json!({"trees": names})))
}

#[derive(Deserialize)]
struct ScaleInBody {
    trees: Vec<String>,
}

async fn scale_in(
    State(s): State<Socket>,
    Json(asked): Json<ScaleInBody>,
) -> (StatusCode, Json<Value>) {
    let on_arrival = s.cloud.state.holder();
    s.freezer.reached(Point::RequestArrived, s.node).await;
    {
        let recorded = asked.trees.iter().all(|name| s.cloud.state.has_intent(name));
        let holder_on_effect = s.cloud.state.holder();
        let mut inner = s.cloud.lock();
        let there = |name: &&String| inner.machines.contains_key(*name);
        let machines: Vec<String> = asked.trees.iter().filter(there).cloned().collect();
        let with_tasks = machines.iter().filter(|name| s.cloud.fleet.stop(name) > 0).count();
        machines.iter().for_each(|name| drop(inner.machines.remove(name)));
        inner.log.push(Logged {
            at: Instant::now(),
            node: format!("kernel-{}", s.node),
            holder_on_arrival: on_arrival,
            holder_on_effect,
            recorded,
            effect: Effect::ScaledIn { machines, with_tasks },
        });
    }
    s.freezer.reached(Point::RequestDone, s.node).await;
    (StatusCode::OK, Json(json!({})))
}
