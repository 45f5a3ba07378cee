//! Scenario with one controller of an earlier version and two of the version under test. Leadership
//! moves back and forth between the versions while jobs are submitted, run and cancelled. The
//! report shows whether each version continues the work that the other recorded.

use std::collections::BTreeMap;
use std::path::PathBuf;
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::Arc;
use std::time::{Duration, Instant};

use rand::rngs::StdRng;
use rand::{RngExt, SeedableRng};
use tokio::task::JoinSet;

use crate::controllers::{ControllerAddresses, ControllerSetup, Controllers, NODES};
use crate::elections::{DirectionCounts, Elections, Version};
use crate::fake_cloud::FakeCloud;
use crate::fake_key_value_service::FakeKeyValueService;
use crate::fake_workers::FakeWorkers;
use crate::freeze::Freezer;
use crate::user::UserClient;
use crate::workload::{Workload, TASK_DURATION, TEAM};

/// Index of the only node that runs the earlier version.
const PREVIOUS_VERSION_NODE: usize = 0;
/// Minimum number of elections in each direction between the versions. The scenario runs longer
/// than requested if they are still missing.
pub const MIN_ELECTIONS: usize = 3;
/// Number of machines in the cloud. Each has eight vCPUs, and a task uses two.
const MACHINES: usize = 10;
/// Mean time for which a version leads; each time is 0.7 to 1.3 times as long.
const MEAN_LEADING_TIME: Duration = Duration::from_millis(2_200);
/// Maximum time for the election of the other version; after it the scenario ends.
const ELECTION_TIMEOUT: Duration = Duration::from_secs(40);
/// Maximum time by which the scenario is extended while elections are missing.
const MAX_EXTENSION: Duration = Duration::from_secs(60);
/// Time between two checks of the leader key.
const POLL_INTERVAL: Duration = Duration::from_millis(20);
/// Maximum time for all jobs to end after the last submission.
const WIND_DOWN_TIMEOUT: Duration = Duration::from_secs(120);
/// Pause after a node was asked about all unfinished jobs.
const QUERY_INTERVAL: Duration = Duration::from_millis(500);
/// Maximum number of concurrent job queries to one controller.
const CONCURRENT_QUERIES: usize = 25;

/// Parameters of the version scenario.
pub struct Scenario {
    /// Controller program under test, run by two nodes.
    pub program: PathBuf,
    /// Controller program of the earlier version, run by one node.
    pub previous: PathBuf,
    /// Lua settings script of the operators; both versions must accept it.
    pub script: PathBuf,
    /// Minimum time for which jobs are submitted.
    pub submit_time: Duration,
    /// Determines for how long each version leads and when jobs are cancelled.
    pub seed: u64,
}

/// Results of the version scenario.
#[derive(Debug)]
pub struct Report {
    /// Elections and job progress, counted from the history of the key-value store.
    pub history: Elections,
    /// Number of jobs that each node accepted, indexed by node.
    pub accepted_by: [usize; NODES],
    /// Jobs whose acceptance record a node of one version wrote and that finished while the other
    /// version led. Any node can accept a job, so this differs from the counts in `history`, which
    /// are by leader.
    pub written_then_done: DirectionCounts,
    /// Number of jobs that must end as aborted: cancelled ones and jobs that depend on them.
    pub aborted: usize,
    /// Number of jobs that must end as done.
    pub done: usize,
    /// Names of the jobs whose submission or cancellation no controller accepted in time.
    pub undecided: Vec<String>,
    /// Descriptions of the cases in which a node reported another final stage than expected.
    pub wrong_stages: Vec<String>,
    /// Names of the tasks that ran on two machines at the same time.
    pub duplicate_executions: Vec<String>,
}

impl Report {
    /// Returns the description of each check of the scenario and whether it passed.
    pub fn checks(&self) -> Vec<(&'static str, bool)> {
        let history = &self.history;
        let handovers =
            [history.accepted_then_done, history.started_then_done, self.written_then_done];
        vec![
            (
                "enough elections took place in both directions between the versions",
                self.has_min_elections(),
            ),
            ("every node accepted at least one job", self.accepted_by.iter().all(|&jobs| jobs > 0)),
            ("the workload has both finished and aborted jobs", self.done > 0 && self.aborted > 0),
            (
                "every submission and cancellation was accepted by a controller",
                self.undecided.is_empty(),
            ),
            (
                "every node reports the expected final stage of every job",
                self.wrong_stages.is_empty(),
            ),
            ("no task ran on two machines at the same time", self.duplicate_executions.is_empty()),
            (
                "each version finished jobs that were accepted or started under the other",
                handovers.iter().all(|counts| counts.min() > 0),
            ),
        ]
    }

    fn has_min_elections(&self) -> bool {
        self.history.elections.min() >= MIN_ELECTIONS
    }
}

fn version_of(node: usize) -> Version {
    if node == PREVIOUS_VERSION_NODE {
        Version::Previous
    } else {
        Version::New
    }
}

/// Runs the scenario with all processes and fakes on the loopback interface.
pub async fn run(scenario: &Scenario) -> Report {
    let store = Arc::new(FakeKeyValueService::default());
    let freezer = Arc::new(Freezer::new(store.clone()));
    let addresses = ControllerAddresses::allocate();
    let workers = FakeWorkers::new(addresses.names_and_addresses(), TASK_DURATION);
    let cloud = Arc::new(FakeCloud::with_capacity(MACHINES, store.clone(), workers.clone()));
    let program_of = |node| match version_of(node) {
        Version::Previous => scenario.previous.as_path(),
        Version::New => scenario.program.as_path(),
    };
    let programs = std::array::from_fn(program_of);
    let setup = ControllerSetup { programs, script: &scenario.script, teams: &[TEAM] };
    let mut controllers = Controllers::start(&setup, addresses, &store, &freezer, &cloud).await;
    let user = Arc::new(UserClient::new(&controllers.api_addresses));
    let stop = Arc::new(AtomicBool::new(false));
    let submitter = tokio::spawn(Workload::submit(user.clone(), stop.clone(), scenario.seed));
    change_leaders(scenario, &mut controllers, &store).await;
    stop.store(true, Ordering::Relaxed);
    let workload = submitter.await.expect("submission task panicked");
    let stages_by_node = wait_until_jobs_ended(&user, &workload).await;
    let history = history(&store, &controllers);
    controllers.kill_all();
    summarize(&workload, &stages_by_node, history, workers.duplicate_executions())
}

fn history(store: &FakeKeyValueService, controllers: &Controllers) -> Elections {
    Elections::from_history(&store.history(), |name| controllers.index_of(name).map(version_of))
}

/// Moves leadership back and forth between the versions until the submission time is over and
/// enough elections took place.
async fn change_leaders(
    scenario: &Scenario,
    controllers: &mut Controllers,
    store: &FakeKeyValueService,
) {
    let submit_time = scenario.submit_time;
    let mut rng = StdRng::seed_from_u64(scenario.seed);
    let started_at = Instant::now();
    loop {
        let elected = history(store, controllers).elections.min();
        let over = started_at.elapsed() >= submit_time && elected >= MIN_ELECTIONS;
        if over || started_at.elapsed() >= submit_time + MAX_EXTENSION {
            return;
        }
        tokio::time::sleep(MEAN_LEADING_TIME.mul_f64(rng.random_range(0.7..1.3))).await;
        if !replace_leading_version(controllers, store).await {
            return;
        }
    }
}

/// Kills all nodes of the leading version and restarts them as soon as the other version leads.
/// Returns `false` if no leader of the wanted version was elected in time.
async fn replace_leading_version(
    controllers: &mut Controllers,
    store: &FakeKeyValueService,
) -> bool {
    let Some(leading) = wait_for_leader(controllers, store, |_| true).await else { return false };
    let nodes: Vec<usize> = (0..NODES).filter(|&node| version_of(node) == leading).collect();
    controllers.kill(&nodes).await;
    let elected = wait_for_leader(controllers, store, |version| version != leading).await;
    controllers.restart(&nodes);
    elected.is_some()
}

/// Waits until a wanted version leads and returns it, or `None` after [`ELECTION_TIMEOUT`].
async fn wait_for_leader(
    controllers: &Controllers,
    store: &FakeKeyValueService,
    is_wanted: impl Fn(Version) -> bool,
) -> Option<Version> {
    let deadline = Instant::now() + ELECTION_TIMEOUT;
    while Instant::now() < deadline {
        let leader = store.leader().and_then(|leader| controllers.index_of(&leader.node));
        if let Some(leading) = leader.map(version_of).filter(|&version| is_wanted(version)) {
            return Some(leading);
        }
        tokio::time::sleep(POLL_INTERVAL).await;
    }
    None
}

/// Last stage that one node reported for each job, by the name of the job.
type JobStages = BTreeMap<String, String>;

/// Asks every node about every job until the node reports that the job has ended. Returns the last
/// reported stages of each node.
async fn wait_until_jobs_ended(user: &Arc<UserClient>, workload: &Workload) -> Vec<JobStages> {
    let deadline = Instant::now() + WIND_DOWN_TIMEOUT;
    let names: Vec<String> = workload.jobs.iter().map(|job| job.name.clone()).collect();
    let mut queries = Vec::new();
    for node in 0..user.controllers() {
        queries.push(tokio::spawn(query_node(user.clone(), node, names.clone(), deadline)));
    }
    let mut stages_by_node = Vec::new();
    for node in queries {
        stages_by_node.push(node.await.expect("job query task panicked"));
    }
    stages_by_node
}

async fn query_node(
    user: Arc<UserClient>,
    node: usize,
    mut open_jobs: Vec<String>,
    deadline: Instant,
) -> JobStages {
    let mut stages = JobStages::new();
    while !open_jobs.is_empty() && Instant::now() < deadline {
        for batch in open_jobs.chunks(CONCURRENT_QUERIES) {
            let mut queries = JoinSet::new();
            for name in batch.iter().cloned() {
                let user = user.clone();
                queries.spawn(async move { (user.stage_at(node, &name).await, name) });
            }
            for (stage, name) in queries.join_all().await {
                stages.insert(name, stage.unwrap_or_else(|| "not reported".to_owned()));
            }
        }
        open_jobs.retain(|name| !matches!(stages[name].as_str(), "done" | "aborted"));
        tokio::time::sleep(QUERY_INTERVAL).await;
    }
    stages
}

fn summarize(
    workload: &Workload,
    stages_by_node: &[JobStages],
    history: Elections,
    duplicate_executions: Vec<String>,
) -> Report {
    let aborted = workload.aborted();
    let mut accepted_by = [0; NODES];
    let mut written_then_done = DirectionCounts::default();
    let mut wrong_stages = Vec::new();
    for job in &workload.jobs {
        accepted_by[job.accepted_by] += 1;
        if let Some(&leader) = history.done_under.get(&job.name) {
            written_then_done.record(version_of(job.accepted_by), leader);
        }
        let expected = if aborted.contains(job.name.as_str()) { "aborted" } else { "done" };
        for (node, stages) in stages_by_node.iter().enumerate() {
            let stage = stages.get(&job.name).map_or("not queried", String::as_str);
            if stage != expected {
                wrong_stages.push(format!(
                    "node {node} reports job {} as {stage}, expected {expected}",
                    job.name
                ));
            }
        }
    }
    Report {
        accepted_by,
        written_then_done,
        aborted: aborted.len(),
        done: workload.jobs.len() - aborted.len(),
        undecided: workload.undecided.clone(),
        wrong_stages,
        duplicate_executions,
        history,
    }
}
