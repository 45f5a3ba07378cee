//! One run: three controllers as processes, work that rents and returns machines, and a leader that is frozen
//! again and again.

use std::path::PathBuf;
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};

use hdrhistogram::Histogram;
use serde_json::json;

use crate::action_checker::{check, Findings};
use crate::controllers::{lock, Addresses, Controllers, Setup, NODES};
use crate::fake_cloud::FakeCloud;
use crate::fake_key_value_service::{FakeKeyValueService, Holder};
use crate::fake_workers::FakeWorkers;
use crate::freeze::{Freezer, Point, POINTS};
use crate::user::{count_done, submission, User};

const TASK_TAKES: Duration = Duration::from_millis(700);
const SUBMIT_EVERY: Duration = Duration::from_millis(350);
/// Longer than a leader's lease of `crates/fault-injection/scripts`, and than an election.
const FREEZE: Duration = Duration::from_millis(1_300);
const AIM_FOR: Duration = Duration::from_secs(4);
const REST: Duration = Duration::from_millis(400);
const LOOK_EVERY: Duration = Duration::from_millis(5);
/// Jobs in a burst, and the pause after it in which machines become idle and are returned.
const BURST: u64 = 6;
const BETWEEN_BURSTS: Duration = Duration::from_millis(2_500);
/// Once the work is done, idle machines are returned within a few seconds; a busy computer takes longer.
const MAX_WIND_DOWN: Duration = Duration::from_secs(90);

/// What to run, and how often to freeze.
pub struct Scenario {
    /// The program of all controllers.
    pub program: PathBuf,
    /// The operators' script.
    pub script: PathBuf,
    /// How often a leader is frozen.
    pub freezes: usize,
    /// After which time no further one is begun.
    pub time_limit: Duration,
}

/// What came of it.
#[derive(Debug)]
pub struct Report {
    /// What the cloud's log shows.
    pub findings: Findings,
    /// How often a leader was frozen.
    pub freezes: usize,
    /// Of these, the ones at a point of an action, by its number among [`POINTS`].
    pub aimed: [usize; POINTS.len()],
    /// Terms that began.
    pub terms: usize,
    /// Intents that were stored.
    pub intents: u64,
    /// Jobs that were accepted.
    pub accepted: usize,
    /// Jobs that were done at the end.
    pub done: usize,
    /// Tasks that ran on two machines at once.
    pub duplicate_executions: Vec<String>,
    /// Times without a leader, in milliseconds.
    pub vacant_ms: Histogram<u64>,
}

/// Runs the plan on loopback.
pub async fn run(scenario: &Scenario) -> Report {
    let state = Arc::new(FakeKeyValueService::default());
    let freezer = Arc::new(Freezer::new(state.clone()));
    let addresses = Addresses::free();
    let fleet = FakeWorkers::new(addresses.for_workers(), TASK_TAKES);
    let cloud = Arc::new(FakeCloud::new(state.clone(), fleet.clone()));
    let setup =
        Setup { programs: [&scenario.program; NODES], script: &scenario.script, teams: &["one"] };
    let controllers = Controllers::start(&setup, addresses, &state, &freezer, &cloud).await;
    play(scenario, &state, &freezer, &cloud, &fleet, controllers).await
}

async fn play(
    scenario: &Scenario,
    state: &Arc<FakeKeyValueService>,
    freezer: &Arc<Freezer>,
    cloud: &Arc<FakeCloud>,
    fleet: &FakeWorkers,
    mut controllers: Controllers,
) -> Report {
    let terms: Arc<Mutex<Terms>> = Arc::default();
    let accepted: Arc<Mutex<Vec<String>>> = Arc::default();
    let watching = tokio::spawn(watch_terms(state.clone(), terms.clone()));
    let submitting = tokio::spawn(submit(controllers.users.clone(), accepted.clone()));
    tokio::time::sleep(Duration::from_secs(2)).await;
    let (mut freezes, mut aimed) = (0, [0; POINTS.len()]);
    let began = Instant::now();
    for turn in 0.. {
        if freezes >= scenario.freezes || began.elapsed() >= scenario.time_limit {
            break;
        }
        let aim = turn % (POINTS.len() + 1);
        let frozen = match POINTS.get(aim) {
            Some(&point) => aim_at(freezer, point).await,
            None => freezer.freeze_holder(FREEZE).await,
        };
        freezes += usize::from(frozen);
        if let Some(count) = aimed.get_mut(aim) {
            *count += usize::from(frozen);
        }
        tokio::time::sleep(REST.mul_f64(rand::random_range(0.2..1.8))).await;
    }
    submitting.abort();
    let accepted = lock(&accepted).clone();
    let done = wind_down(&controllers.users, &accepted, cloud).await;
    watching.abort();
    controllers.end();
    let terms = lock(&terms);
    Report {
        findings: check(&cloud.log(), &cloud.machines()),
        freezes,
        aimed,
        terms: terms.count,
        intents: state.intents(),
        accepted: accepted.len(),
        done,
        duplicate_executions: fleet.duplicate_executions(),
        vacant_ms: terms.vacant_ms.clone(),
    }
}

/// Freezes the next leader that comes to that point. Whether one did in time.
async fn aim_at(freezer: &Freezer, point: Point) -> bool {
    freezer.arm(point, FREEZE);
    let until = Instant::now() + AIM_FOR;
    while freezer.is_armed() && Instant::now() < until {
        tokio::time::sleep(LOOK_EVERY).await;
    }
    let hit = !freezer.disarm();
    if hit {
        tokio::time::sleep(FREEZE).await;
    }
    hit
}

/// The terms that were seen, and the times without a leader.
struct Terms {
    count: usize,
    vacant_ms: Histogram<u64>,
}

impl Default for Terms {
    fn default() -> Terms {
        let vacant_ms = Histogram::new_with_bounds(1, 600_000, 3).expect("bounds");
        Terms { count: 0, vacant_ms }
    }
}

async fn watch_terms(state: Arc<FakeKeyValueService>, terms: Arc<Mutex<Terms>>) {
    let mut last: Option<Holder> = None;
    let mut vacant_since = None;
    loop {
        let holder = state.holder();
        if holder.is_none() && last.is_some() {
            vacant_since.get_or_insert_with(Instant::now);
        }
        if holder.is_some() && holder != last {
            let mut terms = lock(&terms);
            terms.count += 1;
            if let Some(since) = vacant_since.take() {
                let vacant = since.elapsed().as_millis().max(1) as u64;
                let _ = terms.vacant_ms.record(vacant);
            }
            last = holder;
        }
        tokio::time::sleep(LOOK_EVERY).await;
    }
}

/// Submits a small job now and then, in bursts with pauses in which machines become idle.
async fn submit(users: Vec<String>, accepted: Arc<Mutex<Vec<String>>>) {
    let user = User::new(&users);
    for number in 1u64.. {
        let name = format!("req-{number:06}");
        let mut job = submission(&name, "one", rand::random_range(2..12));
        job["vcpus"] = json!(4.0);
        job["memoryGb"] = json!(2.0);
        job["windfall"] = json!(rand::random_bool(0.5));
        job["harvestS"] = json!(5.0);
        if user.submit(&job, rand::random_range(0..users.len())).await.is_some() {
            lock(&accepted).push(name);
        }
        let pause = if number % BURST == 0 { BETWEEN_BURSTS } else { SUBMIT_EVERY };
        tokio::time::sleep(pause).await;
    }
}

/// Waits until all jobs are done and all machines returned. How many jobs are done.
async fn wind_down(users: &[String], accepted: &[String], cloud: &FakeCloud) -> usize {
    let until = Instant::now() + MAX_WIND_DOWN;
    loop {
        tokio::time::sleep(Duration::from_secs(1)).await;
        let done = count_done(users, accepted).await;
        let settled = done == accepted.len() && cloud.machines().is_empty();
        if settled || Instant::now() >= until {
            return done;
        }
    }
}
