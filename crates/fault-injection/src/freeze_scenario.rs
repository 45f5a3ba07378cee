//! Scenario that freezes the leader of three controllers repeatedly, while bursts of jobs make the
//! leader rent and return machines. It finds actions of a replaced leader that no intent covers.

use std::path::PathBuf;
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};

use hdrhistogram::Histogram;
use serde_json::json;

use crate::action_checker::{check, Findings};
use crate::controllers::{lock, ControllerAddresses, ControllerSetup, Controllers, NODES};
use crate::fake_cloud::FakeCloud;
use crate::fake_key_value_service::{FakeKeyValueService, Leader};
use crate::fake_workers::FakeWorkers;
use crate::freeze::{FreezePoint, Freezer, FREEZE_POINTS};
use crate::user::{count_done, submission, UserClient};

/// Run time of each task.
const TASK_DURATION: Duration = Duration::from_millis(700);
/// Time between two submissions of a burst.
const SUBMIT_INTERVAL: Duration = Duration::from_millis(350);
/// Length of a freeze: longer than the leader's lease in `crates/fault-injection/scripts` and than
/// an election, so that another node leads before the frozen one resumes.
const FREEZE_DURATION: Duration = Duration::from_millis(1_300);
/// Maximum time to wait until the leader reaches the chosen point.
const AIM_TIMEOUT: Duration = Duration::from_secs(4);
/// Mean pause between two freezes; each pause is 0.2 to 1.8 times as long.
const MEAN_PAUSE: Duration = Duration::from_millis(400);
/// Time between two checks of the freezer or the leader key.
const POLL_INTERVAL: Duration = Duration::from_millis(5);
/// Number of jobs submitted in a burst.
const JOBS_PER_BURST: u64 = 6;
/// Pause after a burst, long enough for machines to become idle and be returned.
const BURST_PAUSE: Duration = Duration::from_millis(2_500);
/// Maximum time until all jobs are done and all machines returned. A few seconds suffice on an idle
/// computer; a busy one takes longer.
const WIND_DOWN_TIMEOUT: Duration = Duration::from_secs(90);

/// Parameters of the freeze scenario.
pub struct Scenario {
    /// Controller program that all nodes run.
    pub program: PathBuf,
    /// Lua settings script of the operators.
    pub script: PathBuf,
    /// Number of freezes after which the scenario ends.
    pub freezes: usize,
    /// Time after which no further freeze begins, even if `freezes` is not reached.
    pub time_limit: Duration,
}

/// Results of the freeze scenario.
#[derive(Debug)]
pub struct Report {
    /// Counts of the cloud requests, including the ones that should not have taken effect.
    pub findings: Findings,
    /// Number of freezes of a leader.
    pub freezes: usize,
    /// Number of freezes at each point of an action, in the order of [`FREEZE_POINTS`].
    pub aimed: [usize; FREEZE_POINTS.len()],
    /// Number of terms that began.
    pub terms: usize,
    /// Number of intents written to the store.
    pub intents: u64,
    /// Number of jobs that a controller accepted.
    pub accepted: usize,
    /// Number of accepted jobs that were done at the end of the scenario.
    pub done: usize,
    /// Names of the tasks that ran on two machines at the same time.
    pub duplicate_executions: Vec<String>,
    /// Lengths of the periods without a leader, in milliseconds.
    pub leaderless_ms: Histogram<u64>,
}

/// Runs the scenario with all processes and fakes on the loopback interface.
pub async fn run(scenario: &Scenario) -> Report {
    let store = Arc::new(FakeKeyValueService::default());
    let freezer = Arc::new(Freezer::new(store.clone()));
    let addresses = ControllerAddresses::allocate();
    let workers = FakeWorkers::new(addresses.names_and_addresses(), TASK_DURATION);
    let cloud = Arc::new(FakeCloud::new(store.clone(), workers.clone()));
    let setup = ControllerSetup {
        programs: [&scenario.program; NODES],
        script: &scenario.script,
        teams: &["one"],
    };
    let controllers = Controllers::start(&setup, addresses, &store, &freezer, &cloud).await;
    run_freezes(scenario, &store, &freezer, &cloud, &workers, controllers).await
}

async fn run_freezes(
    scenario: &Scenario,
    store: &Arc<FakeKeyValueService>,
    freezer: &Arc<Freezer>,
    cloud: &Arc<FakeCloud>,
    workers: &FakeWorkers,
    mut controllers: Controllers,
) -> Report {
    let terms: Arc<Mutex<Terms>> = Arc::default();
    let accepted: Arc<Mutex<Vec<String>>> = Arc::default();
    let term_watcher = tokio::spawn(watch_terms(store.clone(), terms.clone()));
    let submitter = tokio::spawn(submit(controllers.api_addresses.clone(), accepted.clone()));
    tokio::time::sleep(Duration::from_secs(2)).await;
    let (mut freezes, mut aimed) = (0, [0; FREEZE_POINTS.len()]);
    let started_at = Instant::now();
    for turn in 0.. {
        if freezes >= scenario.freezes || started_at.elapsed() >= scenario.time_limit {
            break;
        }
        let point_index = turn % (FREEZE_POINTS.len() + 1);
        let frozen = match FREEZE_POINTS.get(point_index) {
            Some(&point) => freeze_at(freezer, point).await,
            None => freezer.freeze_leader(FREEZE_DURATION).await,
        };
        freezes += usize::from(frozen);
        if let Some(count) = aimed.get_mut(point_index) {
            *count += usize::from(frozen);
        }
        tokio::time::sleep(MEAN_PAUSE.mul_f64(rand::random_range(0.2..1.8))).await;
    }
    submitter.abort();
    let accepted = lock(&accepted).clone();
    let done = wind_down(&controllers.api_addresses, &accepted, cloud).await;
    term_watcher.abort();
    controllers.kill_all();
    let terms = lock(&terms);
    Report {
        findings: check(&cloud.log(), &cloud.machines()),
        freezes,
        aimed,
        terms: terms.count,
        intents: store.intents_stored(),
        accepted: accepted.len(),
        done,
        duplicate_executions: workers.duplicate_executions(),
        leaderless_ms: terms.leaderless_ms.clone(),
    }
}

/// Freezes the next leader that reaches the point and waits until the freeze is over. Returns
/// `false` if no leader reaches it within [`AIM_TIMEOUT`].
async fn freeze_at(freezer: &Freezer, point: FreezePoint) -> bool {
    freezer.arm(point, FREEZE_DURATION);
    let deadline = Instant::now() + AIM_TIMEOUT;
    while freezer.is_armed() && Instant::now() < deadline {
        tokio::time::sleep(POLL_INTERVAL).await;
    }
    let was_frozen = !freezer.disarm();
    if was_frozen {
        tokio::time::sleep(FREEZE_DURATION).await;
    }
    was_frozen
}

/// Terms observed so far and the periods without a leader between them.
struct Terms {
    count: usize,
    leaderless_ms: Histogram<u64>,
}

impl Default for Terms {
    fn default() -> Terms {
        let leaderless_ms =
            Histogram::new_with_bounds(1, 600_000, 3).expect("valid histogram bounds");
        Terms { count: 0, leaderless_ms }
    }
}

async fn watch_terms(store: Arc<FakeKeyValueService>, terms: Arc<Mutex<Terms>>) {
    let mut last_leader: Option<Leader> = None;
    let mut leaderless_since = None;
    loop {
        let leader = store.leader();
        if leader.is_none() && last_leader.is_some() {
            leaderless_since.get_or_insert_with(Instant::now);
        }
        if leader.is_some() && leader != last_leader {
            let mut terms = lock(&terms);
            terms.count += 1;
            if let Some(start) = leaderless_since.take() {
                let leaderless = start.elapsed().as_millis().max(1) as u64;
                let _ = terms.leaderless_ms.record(leaderless);
            }
            last_leader = leader;
        }
        tokio::time::sleep(POLL_INTERVAL).await;
    }
}

/// Submits small jobs in bursts until it is aborted. Machines become idle during the pauses.
async fn submit(api_addresses: Vec<String>, accepted: Arc<Mutex<Vec<String>>>) {
    let user_client = UserClient::new(&api_addresses);
    for number in 1u64.. {
        let name = format!("req-{number:06}");
        let mut job = submission(&name, "one", rand::random_range(2..12));
        job["vcpus"] = json!(4.0);
        job["memoryGb"] = json!(2.0);
        job["windfall"] = json!(rand::random_bool(0.5));
        job["harvestS"] = json!(5.0);
        if user_client.submit(&job, rand::random_range(0..api_addresses.len())).await.is_some() {
            lock(&accepted).push(name);
        }
        let pause = if number % JOBS_PER_BURST == 0 { BURST_PAUSE } else { SUBMIT_INTERVAL };
        tokio::time::sleep(pause).await;
    }
}

/// Waits until all jobs are done and all machines returned, or the timeout is over. Returns the
/// number of jobs that are done.
async fn wind_down(api_addresses: &[String], accepted: &[String], cloud: &FakeCloud) -> usize {
    let deadline = Instant::now() + WIND_DOWN_TIMEOUT;
    loop {
        tokio::time::sleep(Duration::from_secs(1)).await;
        let done = count_done(api_addresses, accepted).await;
        let is_finished = done == accepted.len() && cloud.machines().is_empty();
        if is_finished || Instant::now() >= deadline {
            return done;
        }
    }
}
