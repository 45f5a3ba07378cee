//! Workers as the protocol describes them, many in one process: reports, tokens, agent epochs, leases, commands.
//! Their tasks only take time.

use std::collections::BTreeMap;
use std::sync::{Arc, Mutex, PoisonError};
use std::time::{Duration, Instant};

use axum::extract::State;
use axum::http::StatusCode;
use axum::routing::{get, post};
use axum::{Json, Router};
use serde_json::{json, Value};
use tokio::task::JoinHandle;

const REPORT_EVERY: Duration = Duration::from_millis(500);
/// The workers' lease; the settings of the run say the same.
pub const LEASE: Duration = Duration::from_secs(10);
const ANSWER_WITHIN: Duration = Duration::from_secs(4);

/// A machine as it was rented.
#[derive(Debug, Clone)]
pub struct FakeMachine {
    zone: String,
    spot: bool,
    since: Instant,
}

impl FakeMachine {
    /// A machine that was asked for just now.
    pub fn new(zone: &str, spot: bool) -> FakeMachine {
        FakeMachine { zone: zone.to_owned(), spot, since: Instant::now() }
    }

    /// Its line in the cloud's list.
    pub fn listed(&self, name: &str) -> Value {
        json!({"ref": name, "breed": "t8", "grove": self.zone, "windfall": self.spot,
            "stage": "running", "ageS": self.since.elapsed().as_secs_f64()})
    }
}

struct Task {
    ends: Instant,
    exited: Option<&'static str>,
}

struct Worker {
    name: String,
    address: String,
    machine: FakeMachine,
    session: u64,
    sequence: u64,
    token: u64,
    tasks: BTreeMap<(String, u64), Task>,
    renewed: Instant,
}

type Shared = Arc<Mutex<Worker>>;
/// A worker, and what serves and reports for it.
type Running = (Shared, Vec<JoinHandle<()>>);

/// Starts of a task while the same task was on another machine: none may be.
pub type DuplicateExecutions = Arc<Mutex<Vec<String>>>;

/// All workers of a run.
#[derive(Clone)]
pub struct FakeWorkers {
    controllers: Arc<Vec<(String, String)>>,
    client: reqwest::Client,
    workers: Arc<Mutex<BTreeMap<String, Running>>>,
    run_for: Duration,
    duplicate_executions: DuplicateExecutions,
    /// When a task of each job first started.
    first_starts: Arc<Mutex<BTreeMap<String, Instant>>>,
}

fn lock<T>(mutex: &Mutex<T>) -> std::sync::MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(PoisonError::into_inner)
}

/// The job and the number of a task.
fn task_name(task: &str) -> Option<(&str, &str)> {
    task.split_once('/')
}

impl FakeWorkers {
    /// No machines yet; tasks take so long. The controllers are given by name and address.
    pub fn new(controllers: Vec<(String, String)>, run_for: Duration) -> FakeWorkers {
        let client = reqwest::Client::builder().timeout(ANSWER_WITHIN).no_proxy().build();
        FakeWorkers {
            controllers: Arc::new(controllers),
            client: client.expect("a client"),
            workers: Arc::default(),
            run_for,
            duplicate_executions: Arc::default(),
            first_starts: Arc::default(),
        }
    }

    /// Tasks that ran twice at once.
    pub fn duplicate_executions(&self) -> Vec<String> {
        lock(&self.duplicate_executions).clone()
    }

    /// When a task of each job first started.
    pub fn first_starts(&self) -> BTreeMap<String, Instant> {
        lock(&self.first_starts).clone()
    }

    /// The machine is up at once.
    pub async fn start(&self, name: &str, machine: &FakeMachine) {
        let listener = tokio::net::TcpListener::bind("127.0.0.1:0").await.expect("a socket");
        let address = listener.local_addr().expect("an address").to_string();
        let worker = Arc::new(Mutex::new(Worker {
            name: name.to_owned(),
            address,
            machine: machine.clone(),
            session: 1,
            sequence: 0,
            token: 0,
            tasks: BTreeMap::new(),
            renewed: Instant::now(),
        }));
        let store_reachable = (self.clone(), worker.clone());
        let app = Router::new()
            .route("/commands", post(commands))
            .route("/show", get(show))
            .with_state(store_reachable);
        let listens = tokio::spawn(async move { drop(axum::serve(listener, app).await) });
        let (fleet, reporting) = (self.clone(), worker.clone());
        let reports = tokio::spawn(async move { fleet.report_on(&reporting).await });
        lock(&self.workers).insert(name.to_owned(), (worker, vec![listens, reports]));
    }

    /// The machine is gone, and what is on it. How many tasks that were.
    pub fn stop(&self, name: &str) -> usize {
        let Some((worker, running)) = lock(&self.workers).remove(name) else { return 0 };
        running.iter().for_each(JoinHandle::abort);
        let mut worker = lock(&worker);
        worker.finish_due();
        let live = worker.tasks.values().filter(|task| task.exited.is_none()).count();
        worker.tasks.clear();
        live
    }

    async fn report_on(&self, worker: &Shared) {
        let mut at = rand::random_range(0..self.controllers.len());
        loop {
            let (report, session, sent) = {
                let mut worker = lock(worker);
                (worker.report(), worker.session, Instant::now())
            };
            let url = format!("http://{}/hello", self.controllers[at].1);
            let answer = self.client.post(url).json(&report).send().await;
            let status = answer.as_ref().map(|answer| answer.status().as_u16()).ok();
            let body: Value = match answer {
                Ok(answer) => answer.json().await.unwrap_or_default(),
                Err(_) => Value::Null,
            };
            match (status, body["keeper"].as_str()) {
                (Some(200), _) => self.answered(worker, session, sent, &body),
                (Some(421), Some(keeper)) => {
                    let place = self.controllers.iter().position(|(name, _)| name == keeper);
                    at = place.unwrap_or((at + 1) % self.controllers.len());
                }
                _ => at = (at + 1) % self.controllers.len(),
            }
            tokio::time::sleep(REPORT_EVERY).await;
        }
    }

    fn answered(&self, worker: &Shared, session: u64, sent: Instant, body: &Value) {
        let token = body["staff"].as_u64().unwrap_or(0);
        let mut known = lock(worker);
        if token < known.token || session != known.session {
            return;
        }
        (known.token, known.renewed) = (token, known.renewed.max(sent));
        drop(known);
        self.execute(worker, &body["calls"]);
    }

    fn execute(&self, worker: &Shared, calls: &Value) {
        for call in calls.as_array().into_iter().flatten() {
            let task = call["nut"].as_str().unwrap_or_default().to_owned();
            let key = (task.clone(), call["try"].as_u64().unwrap_or(0));
            match call["call"].as_str() {
                Some("run") => {
                    if self.runs_elsewhere(worker, &task) {
                        lock(&self.duplicate_executions).push(task);
                    }
                    if let Some((job, _)) = task_name(&key.0) {
                        let mut first = lock(&self.first_starts);
                        first.entry(job.to_owned()).or_insert_with(Instant::now);
                    }
                    let ends = Instant::now() + self.run_for;
                    lock(worker).tasks.entry(key).or_insert(Task { ends, exited: None });
                }
                Some("kill") => {
                    if let Some(task) = lock(worker).tasks.get_mut(&key) {
                        task.exited.get_or_insert("stopped");
                    }
                }
                _ => drop(lock(worker).tasks.remove(&key)),
            }
        }
    }

    fn runs_elsewhere(&self, here: &Shared, task: &str) -> bool {
        let others: Vec<Shared> = {
            let workers = lock(&self.workers);
            let others = workers.values().map(|(worker, _)| worker.clone());
            others.filter(|worker| !Arc::ptr_eq(worker, here)).collect()
        };
        others.iter().any(|worker| {
            let mut worker = lock(worker);
            worker.finish_due();
            worker.tasks.iter().any(|((name, _), t)| name == task && t.exited.is_none())
        })
    }
}

impl Worker {
    fn finish_due(&mut self) {
        let now = Instant::now();
        if self.renewed.elapsed() > LEASE {
            self.tasks.clear();
            self.session += 1;
            self.renewed = now;
        }
        for task in self.tasks.values_mut().filter(|task| now >= task.ends) {
            task.exited.get_or_insert("done");
        }
    }

    fn report(&mut self) -> Value {
        self.finish_due();
        self.sequence += 1;
        let tasks: Vec<Value> = self
            .tasks
            .iter()
            .map(|((name, attempt), task)| match task.exited {
                Some(cause) => {
                    json!({"nut": name, "try": attempt, "stage": "exited", "cause": cause})
                }
                None => json!({"nut": name, "try": attempt, "stage": "running"}),
            })
            .collect();
        json!({"tree": self.name, "address": self.address, "breed": "t8",
            "grove": self.machine.zone, "windfall": self.machine.spot, "season": self.session,
            "ring": self.sequence, "staff": self.token, "shakeS": null, "nuts": tasks})
    }
}

async fn commands(
    State((fleet, worker)): State<(FakeWorkers, Shared)>,
    Json(body): Json<Value>,
) -> (StatusCode, Json<Value>) {
    let token = body["staff"].as_u64().unwrap_or(0);
    let taken = {
        let mut worker = lock(&worker);
        worker.finish_due();
        let taken = token >= worker.token && body["season"].as_u64() == Some(worker.session);
        if taken {
            worker.token = token;
        }
        taken
    };
    if taken {
        fleet.execute(&worker, &body["calls"]);
    }
    let status = if taken { StatusCode::OK } else { StatusCode::CONFLICT };
    (status, Json(lock(&worker).report()))
}

async fn show(State((_, worker)): State<(FakeWorkers, Shared)>) -> Json<Value> {
    Json(lock(&worker).report())
}
