//! Fake workers that implement the worker protocol: reports, fencing tokens, agent epochs, leases
//! and commands. All workers run in this process, and their tasks only wait for a fixed time.

use std::collections::BTreeMap;
use std::sync::{Arc, Mutex, PoisonError};
use std::time::{Duration, Instant};

use axum::extract::State;
use axum::http::StatusCode;
use axum::routing::{get, post};
use axum::{Json, Router};
use serde_json::{json, Value};
use tokio::task::JoinHandle;

/// Time between two reports of a worker to the controllers.
const REPORT_INTERVAL: Duration = Duration::from_millis(500);
/// Lease of a worker: without a valid response to a report for this long, it drops its tasks and
/// starts a new epoch. The controllers' settings use the same value.
pub const WORKER_LEASE: Duration = Duration::from_secs(10);
/// Time after which a report without a response counts as failed.
const REQUEST_TIMEOUT: Duration = Duration::from_secs(4);

/// Rented machine as the cloud knows it.
#[derive(Debug, Clone)]
pub struct FakeMachine {
    zone: String,
    spot: bool,
    rented_at: Instant,
}

impl FakeMachine {
    /// Creates a machine whose rental starts now.
    pub fn new(zone: &str, spot: bool) -> FakeMachine {
        FakeMachine { zone: zone.to_owned(), spot, rented_at: Instant::now() }
    }

    /// Returns the machine's entry in the cloud's machine listing.
    pub fn list_entry(&self, name: &str) -> Value {
        json!({"ref": name, "breed": "t8", "grove": self.zone, "windfall": self.spot,
            "stage": "running", "ageS": self.rented_at.elapsed().as_secs_f64()})
    }
}

struct Task {
    ends_at: Instant,
    exit_cause: Option<&'static str>,
}

struct Worker {
    name: String,
    address: String,
    machine: FakeMachine,
    epoch: u64,
    sequence: u64,
    token: u64,
    tasks: BTreeMap<(String, u64), Task>,
    lease_renewed_at: Instant,
}

type SharedWorker = Arc<Mutex<Worker>>;
/// A worker with the tasks that serve its commands and send its reports.
type RunningWorker = (SharedWorker, Vec<JoinHandle<()>>);

/// Names of tasks that were started while they were still running on another worker. The list must
/// stay empty.
pub type DuplicateExecutions = Arc<Mutex<Vec<String>>>;

/// All workers of a scenario; clones share the same workers.
#[derive(Clone)]
pub struct FakeWorkers {
    controllers: Arc<Vec<(String, String)>>,
    http_client: reqwest::Client,
    workers: Arc<Mutex<BTreeMap<String, RunningWorker>>>,
    task_duration: Duration,
    duplicate_executions: DuplicateExecutions,
    /// Time of the first task start of each job, by the name of the job.
    first_starts: Arc<Mutex<BTreeMap<String, Instant>>>,
}

fn lock<T>(mutex: &Mutex<T>) -> std::sync::MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(PoisonError::into_inner)
}

/// Splits the name of a task into the name of its job and the task number.
fn split_task_name(task: &str) -> Option<(&str, &str)> {
    task.split_once('/')
}

impl FakeWorkers {
    /// Creates an empty set of workers whose tasks run for `task_duration`. The controllers are
    /// given as pairs of node name and API address.
    pub fn new(controllers: Vec<(String, String)>, task_duration: Duration) -> FakeWorkers {
        let http_client = reqwest::Client::builder().timeout(REQUEST_TIMEOUT).no_proxy().build();
        FakeWorkers {
            controllers: Arc::new(controllers),
            http_client: http_client.expect("failed to build the HTTP client"),
            workers: Arc::default(),
            task_duration,
            duplicate_executions: Arc::default(),
            first_starts: Arc::default(),
        }
    }

    /// Returns the names of the tasks that ran on two workers at the same time.
    pub fn duplicate_executions(&self) -> Vec<String> {
        lock(&self.duplicate_executions).clone()
    }

    /// Returns the time of the first task start of each job, by the name of the job.
    pub fn first_starts(&self) -> BTreeMap<String, Instant> {
        lock(&self.first_starts).clone()
    }

    /// Starts the worker of a machine, without any boot time.
    pub async fn start(&self, name: &str, machine: &FakeMachine) {
        let listener = tokio::net::TcpListener::bind("127.0.0.1:0")
            .await
            .expect("failed to bind a loopback port");
        let address = listener.local_addr().expect("local address").to_string();
        let worker = Arc::new(Mutex::new(Worker {
            name: name.to_owned(),
            address,
            machine: machine.clone(),
            epoch: 1,
            sequence: 0,
            token: 0,
            tasks: BTreeMap::new(),
            lease_renewed_at: Instant::now(),
        }));
        let handler_state = (self.clone(), worker.clone());
        let app = Router::new()
            .route("/commands", post(commands))
            .route("/show", get(show_report))
            .with_state(handler_state);
        let server = tokio::spawn(async move { drop(axum::serve(listener, app).await) });
        let (workers, reporting_worker) = (self.clone(), worker.clone());
        let reporter =
            tokio::spawn(async move { workers.report_periodically(&reporting_worker).await });
        lock(&self.workers).insert(name.to_owned(), (worker, vec![server, reporter]));
    }

    /// Stops the worker of a machine and discards its tasks. Returns how many of them were running.
    pub fn stop(&self, name: &str) -> usize {
        let Some((worker, handles)) = lock(&self.workers).remove(name) else { return 0 };
        handles.iter().for_each(JoinHandle::abort);
        let mut worker = lock(&worker);
        worker.advance();
        let running_tasks = worker.tasks.values().filter(|task| task.exit_cause.is_none()).count();
        worker.tasks.clear();
        running_tasks
    }

    async fn report_periodically(&self, worker: &SharedWorker) {
        let mut index = rand::random_range(0..self.controllers.len());
        loop {
            let (report, epoch, sent_at) = {
                let mut worker = lock(worker);
                (worker.build_report(), worker.epoch, Instant::now())
            };
            let url = format!("http://{}/hello", self.controllers[index].1);
            let response = self.http_client.post(url).json(&report).send().await;
            let status = response.as_ref().map(|response| response.status().as_u16()).ok();
            let body: Value = match response {
                Ok(response) => response.json().await.unwrap_or_default(),
                Err(_) => Value::Null,
            };
            match (status, body["keeper"].as_str()) {
                (Some(200), _) => self.handle_report_response(worker, epoch, sent_at, &body),
                (Some(421), Some(keeper)) => {
                    let known_index = self.controllers.iter().position(|(name, _)| name == keeper);
                    index = known_index.unwrap_or((index + 1) % self.controllers.len());
                }
                _ => index = (index + 1) % self.controllers.len(),
            }
            tokio::time::sleep(REPORT_INTERVAL).await;
        }
    }

    fn handle_report_response(
        &self,
        worker: &SharedWorker,
        epoch: u64,
        sent_at: Instant,
        body: &Value,
    ) {
        let token = body["staff"].as_u64().unwrap_or(0);
        let mut state = lock(worker);
        if token < state.token || epoch != state.epoch {
            return;
        }
        (state.token, state.lease_renewed_at) = (token, state.lease_renewed_at.max(sent_at));
        drop(state);
        self.execute_commands(worker, &body["calls"]);
    }

    fn execute_commands(&self, worker: &SharedWorker, commands: &Value) {
        for command in commands.as_array().into_iter().flatten() {
            let task = command["nut"].as_str().unwrap_or_default().to_owned();
            let key = (task.clone(), command["try"].as_u64().unwrap_or(0));
            match command["call"].as_str() {
                Some("run") => {
                    if self.is_running_elsewhere(worker, &task) {
                        lock(&self.duplicate_executions).push(task);
                    }
                    if let Some((job, _)) = split_task_name(&key.0) {
                        let mut first_starts = lock(&self.first_starts);
                        first_starts.entry(job.to_owned()).or_insert_with(Instant::now);
                    }
                    let ends_at = Instant::now() + self.task_duration;
                    lock(worker).tasks.entry(key).or_insert(Task { ends_at, exit_cause: None });
                }
                Some("kill") => {
                    if let Some(task) = lock(worker).tasks.get_mut(&key) {
                        task.exit_cause.get_or_insert("stopped");
                    }
                }
                _ => drop(lock(worker).tasks.remove(&key)),
            }
        }
    }

    fn is_running_elsewhere(&self, this_worker: &SharedWorker, task: &str) -> bool {
        let others: Vec<SharedWorker> = {
            let workers = lock(&self.workers);
            let others = workers.values().map(|(worker, _)| worker.clone());
            others.filter(|worker| !Arc::ptr_eq(worker, this_worker)).collect()
        };
        others.iter().any(|worker| {
            let mut worker = lock(worker);
            worker.advance();
            worker
                .tasks
                .iter()
                .any(|((name, _), task_state)| name == task && task_state.exit_cause.is_none())
        })
    }
}

impl Worker {
    /// Brings the worker up to date with the clock. If the lease has expired, all tasks are dropped
    /// and a new epoch begins; tasks whose time is over are marked as done.
    fn advance(&mut self) {
        let now = Instant::now();
        if self.lease_renewed_at.elapsed() > WORKER_LEASE {
            self.tasks.clear();
            self.epoch += 1;
            self.lease_renewed_at = now;
        }
        for task in self.tasks.values_mut().filter(|task| now >= task.ends_at) {
            task.exit_cause.get_or_insert("done");
        }
    }

    fn build_report(&mut self) -> Value {
        self.advance();
        self.sequence += 1;
        let tasks: Vec<Value> = self
            .tasks
            .iter()
            .map(|((name, attempt), task)| match task.exit_cause {
                Some(cause) => {
                    json!({"nut": name, "try": attempt, "stage": "exited", "cause": cause})
                }
                None => json!({"nut": name, "try": attempt, "stage": "running"}),
            })
            .collect();
        json!({"tree": self.name, "address": self.address, "breed": "t8",
            "grove": self.machine.zone, "windfall": self.machine.spot, "season": self.epoch,
            "ring": self.sequence, "staff": self.token, "shakeS": null, "nuts": tasks})
    }
}

async fn commands(
    State((workers, worker)): State<(FakeWorkers, SharedWorker)>,
    Json(body): Json<Value>,
) -> (StatusCode, Json<Value>) {
    let token = body["staff"].as_u64().unwrap_or(0);
    let accepted = {
        let mut worker = lock(&worker);
        worker.advance();
        let accepted = token >= worker.token && body["season"].as_u64() == Some(worker.epoch);
        if accepted {
            worker.token = token;
        }
        accepted
    };
    if accepted {
        workers.execute_commands(&worker, &body["calls"]);
    }
    let status = if accepted { StatusCode::OK } else { StatusCode::CONFLICT };
    (status, Json(lock(&worker).build_report()))
}

async fn show_report(State((_, worker)): State<(FakeWorkers, SharedWorker)>) -> Json<Value> {
    Json(lock(&worker).build_report())
}
