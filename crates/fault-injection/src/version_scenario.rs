//! One controller of the version before beside two new ones: leadership goes to and fro between the
//! versions while jobs are submitted, run and cancelled. What is told: whether each version carries on
//! what the other recorded.

use std::collections::BTreeMap;
use std::path::PathBuf;
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::Arc;
use std::time::{Duration, Instant};

use tokio::task::JoinSet;

use crate::controllers::{Addresses, Controllers, Setup, NODES};
use crate::elections::{BothWays, Elections, Version};
use crate::fake_cloud::FakeCloud;
use crate::fake_key_value_service::FakeKeyValueService;
use crate::fake_workers::FakeWorkers;
use crate::freeze::Freezer;
use crate::user::User;
use crate::workload::{Workload, TEAM};

/// The node that runs the version before.
const PREVIOUS: usize = 0;
/// Elections of each version after the other that the play goes on for.
pub const MIN_ELECTIONS: usize = 3;
/// Machines to be had, of eight processors; tasks take two each.
const MACHINES: usize = 10;
/// Long enough that most tasks see more than one leader.
const TASK_TAKES: Duration = Duration::from_millis(2_000);
/// How long a version leads, about.
const LEADS_FOR: Duration = Duration::from_millis(2_200);
/// The other version is elected within this, or the play ends.
const ELECTED_WITHIN: Duration = Duration::from_secs(40);
/// The play goes on for so long past its length if elections are still missing.
const MAX_EXTENSION: Duration = Duration::from_secs(60);
const LOOK_EVERY: Duration = Duration::from_millis(20);
const WIND_DOWN: Duration = Duration::from_secs(120);
const ASK_EVERY: Duration = Duration::from_millis(500);
/// Jobs that one controller is asked about at once.
const ASKED_AT_ONCE: usize = 25;

/// What to run, and for how long.
pub struct Scenario {
    /// The program under test, run by two nodes.
    pub program: PathBuf,
    /// The program of the version before, run by one.
    pub previous: PathBuf,
    /// The operators' script.
    pub script: PathBuf,
    /// For how long jobs are submitted, at least.
    pub submit_time: Duration,
}

/// What came of it.
#[derive(Debug)]
pub struct Report {
    /// What the store's history tells.
    pub history: Elections,
    /// Jobs accepted by each node.
    pub accepted_by: [usize; NODES],
    /// Jobs whose acceptance a node of one version wrote, and that were done under the other.
    pub written_then_done: BothWays,
    /// Jobs that had to be aborted: cancelled, or dependent on a cancelled one.
    pub aborted: usize,
    /// Jobs that had to be done.
    pub done: usize,
    /// Submissions and cancellations that no controller decided.
    pub undecided: Vec<String>,
    /// Answers of nodes that were not as they had to be.
    pub wrong: Vec<String>,
    /// Tasks that ran on two machines at once.
    pub duplicate_executions: Vec<String>,
}

impl Report {
    /// What has to hold, and whether it does.
    pub fn checks(&self) -> Vec<(&'static str, bool)> {
        let history = &self.history;
        let read = [history.accepted_then_done, history.started_then_done, self.written_then_done];
        vec![
            ("each version was elected often after the other", self.elected_often()),
            ("every node accepted jobs", self.accepted_by.iter().all(|&jobs| jobs > 0)),
            ("jobs were done, and jobs were aborted", self.done > 0 && self.aborted > 0),
            ("every request was decided", self.undecided.is_empty()),
            ("every node of both versions tells every job's end", self.wrong.is_empty()),
            ("no task ran twice at once", self.duplicate_executions.is_empty()),
            ("each version read the other's records", read.iter().all(|both| both.least() > 0)),
        ]
    }

    fn elected_often(&self) -> bool {
        self.history.elections.least() >= MIN_ELECTIONS
    }
}

fn version(node: usize) -> Version {
    if node == PREVIOUS {
        Version::Previous
    } else {
        Version::New
    }
}

/// Runs the plan on loopback.
pub async fn run(scenario: &Scenario) -> Report {
    let state = Arc::new(FakeKeyValueService::default());
    let freezer = Arc::new(Freezer::new(state.clone()));
    let addresses = Addresses::free();
    let fleet = FakeWorkers::new(addresses.for_workers(), TASK_TAKES);
    let cloud = Arc::new(FakeCloud::with_most(MACHINES, state.clone(), fleet.clone()));
    let program_of = |node| match version(node) {
        Version::Previous => scenario.previous.as_path(),
        Version::New => scenario.program.as_path(),
    };
    let programs = std::array::from_fn(program_of);
    let setup = Setup { programs, script: &scenario.script, teams: &[TEAM] };
    let mut controllers = Controllers::start(&setup, addresses, &state, &freezer, &cloud).await;
    let user = Arc::new(User::new(&controllers.users));
    let stop = Arc::new(AtomicBool::new(false));
    let submitting = tokio::spawn(Workload::submit(user.clone(), stop.clone()));
    change_leaders(scenario.submit_time, &mut controllers, &state).await;
    stop.store(true, Ordering::Relaxed);
    let workload = submitting.await.expect("submissions end by themselves");
    let told = ask_until_ended(&user, &workload).await;
    let history = history(&state, &controllers);
    controllers.end();
    summarize(&workload, &told, history, fleet.duplicate_executions())
}

fn history(state: &FakeKeyValueService, controllers: &Controllers) -> Elections {
    Elections::read(&state.history(), |name| controllers.number_of(name).map(version))
}

/// Lets one version lead after the other.
async fn change_leaders(
    length: Duration,
    controllers: &mut Controllers,
    state: &FakeKeyValueService,
) {
    let began = Instant::now();
    loop {
        let elected = history(state, controllers).elections.least();
        let over = began.elapsed() >= length && elected >= MIN_ELECTIONS;
        if over || began.elapsed() >= length + MAX_EXTENSION {
            return;
        }
        tokio::time::sleep(LEADS_FOR.mul_f64(rand::random_range(0.7..1.3))).await;
        if !replace_leading_version(controllers, state).await {
            return;
        }
    }
}

/// Kills all nodes of the version that leads, and starts them again once the other leads. Whether it came
/// to that.
async fn replace_leading_version(
    controllers: &mut Controllers,
    state: &FakeKeyValueService,
) -> bool {
    let Some(leading) = wait_for_leader(controllers, state, |_| true).await else { return false };
    let nodes: Vec<usize> = (0..NODES).filter(|&node| version(node) == leading).collect();
    controllers.kill(&nodes).await;
    let elected = wait_for_leader(controllers, state, |version| version != leading).await;
    controllers.start_again(&nodes);
    elected.is_some()
}

/// The version that leads, once it is one that is wanted.
async fn wait_for_leader(
    controllers: &Controllers,
    state: &FakeKeyValueService,
    wanted: impl Fn(Version) -> bool,
) -> Option<Version> {
    let until = Instant::now() + ELECTED_WITHIN;
    while Instant::now() < until {
        let leader = state.holder().and_then(|holder| controllers.number_of(&holder.node));
        if let Some(leading) = leader.map(version).filter(|&version| wanted(version)) {
            return Some(leading);
        }
        tokio::time::sleep(LOOK_EVERY).await;
    }
    None
}

/// Each job's stage as one node told it last.
type Stages = BTreeMap<String, String>;

/// Asks every node about every job until it has ended there.
async fn ask_until_ended(user: &Arc<User>, workload: &Workload) -> Vec<Stages> {
    let until = Instant::now() + WIND_DOWN;
    let names: Vec<String> = workload.jobs.iter().map(|job| job.name.clone()).collect();
    let mut asking = Vec::new();
    for node in 0..user.controllers() {
        asking.push(tokio::spawn(ask_node(user.clone(), node, names.clone(), until)));
    }
    let mut told = Vec::new();
    for node in asking {
        told.push(node.await.expect("questions end by themselves"));
    }
    told
}

async fn ask_node(user: Arc<User>, node: usize, mut open: Vec<String>, until: Instant) -> Stages {
    let mut told = Stages::new();
    while !open.is_empty() && Instant::now() < until {
        for some in open.chunks(ASKED_AT_ONCE) {
            let mut answers = JoinSet::new();
            for name in some.iter().cloned() {
                let user = user.clone();
                answers.spawn(async move { (user.stage_at(node, &name).await, name) });
            }
            for (stage, name) in answers.join_all().await {
                told.insert(name, stage.unwrap_or_else(|| "not known".to_owned()));
            }
        }
        open.retain(|name| !matches!(told[name].as_str(), "done" | "aborted"));
        tokio::time::sleep(ASK_EVERY).await;
    }
    told
}

fn summarize(
    workload: &Workload,
    told: &[Stages],
    history: Elections,
    duplicate_executions: Vec<String>,
) -> Report {
    let aborted = workload.aborted();
    let mut accepted_by = [0; NODES];
    let mut written_then_done = BothWays::default();
    let mut wrong = Vec::new();
    for job in &workload.jobs {
        accepted_by[job.accepted_by] += 1;
        if let Some(&leader) = history.done_under.get(&job.name) {
            written_then_done.count(version(job.accepted_by), leader);
        }
        let expected = if aborted.contains(job.name.as_str()) { "aborted" } else { "done" };
        for (node, stages) in told.iter().enumerate() {
            let stage = stages.get(&job.name).map_or("not asked", String::as_str);
            if stage != expected {
                wrong.push(format!("node {node}: {} is {stage}, not {expected}", job.name));
            }
        }
    }
    Report {
        accepted_by,
        written_then_done,
        aborted: aborted.len(),
        done: workload.jobs.len() - aborted.len(),
        undecided: workload.undecided.clone(),
        wrong,
        duplicate_executions,
        history,
    }
}
