//! A flood of one team's jobs beside a trickle of two others', while controllers are killed, frozen and
//! started again. What is told of each team: how long its jobs wait for their first start, and how long
//! nothing of it starts.

use std::collections::BTreeMap;
use std::path::PathBuf;
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};

use hdrhistogram::Histogram;
use serde_json::json;

use crate::controllers::{lock, Addresses, Controllers, Setup, NODES};
use crate::fake_cloud::FakeCloud;
use crate::fake_key_value_service::FakeKeyValueService;
use crate::fake_workers::FakeWorkers;
use crate::freeze::Freezer;
use crate::user::{client, count_done, submission};

/// The team that floods, and the others.
pub const TEAMS: [&str; 3] = ["flood", "two", "three"];
/// Machines to be had, of eight processors; tasks take two each.
const MACHINES: usize = 10;
const TASK_TAKES: Duration = Duration::from_millis(1_500);
/// What the flood's clients send together: two and a half times what the machines can do.
const FLOOD_CLIENTS: u64 = 4;
const FLOOD_EVERY: Duration = Duration::from_millis(500);
const FLOOD_TASKS: u32 = 8;
/// The flood pauses while so many of its jobs have not started, so that the run can end.
const MAX_WAITING: usize = 300;
const TRICKLE_EVERY: Duration = Duration::from_millis(1_500);
const TRICKLE_TASKS: u32 = 4;
/// By its own reckoning each job of the flood is more urgent.
const FLOOD_DEADLINE_S: f64 = 8.0;
const TRICKLE_DEADLINE_S: f64 = 40.0;
/// The other teams' jobs come once the first leader may judge its fleet, which takes it 10 s without a
/// machine list; before that the queue's own order holds.
const TRICKLE_AFTER: Duration = Duration::from_secs(12);
const TROUBLE_EVERY: Duration = Duration::from_secs(12);
const FREEZE: Duration = Duration::from_millis(2_500);
/// Between a controller's end and its next start.
const RESTARTS: [Duration; 2] = [Duration::from_millis(200), Duration::from_secs(2)];
/// A user gives up after so long, and tries again after so long or what the answer says.
const GIVES_UP: Duration = Duration::from_secs(60);
const RETRY: Duration = Duration::from_secs(1);
const WIND_DOWN: Duration = Duration::from_secs(240);

/// What to run, and for how long.
pub struct Scenario {
    /// The program of all controllers.
    pub program: PathBuf,
    /// The operators' script.
    pub script: PathBuf,
    /// For how long jobs are submitted.
    pub submit_time: Duration,
}

/// What became of one team's jobs.
#[derive(Debug)]
pub struct TeamReport {
    /// Jobs that were accepted.
    pub accepted: usize,
    /// Answers that told to come again.
    pub refused: usize,
    /// No answer: a controller was away.
    pub unanswered: usize,
    /// Jobs that were given up after retries.
    pub given_up: usize,
    /// Jobs that were done at the end.
    pub done: usize,
    /// From the first try to the first start of a task, in milliseconds.
    pub start_ms: Histogram<u64>,
    /// The most jobs of the flood that started between a job's first try and its own start.
    pub max_overtaken: usize,
    /// The longest time in which nothing of the team started though a job of it waited.
    pub longest_without_start: Duration,
}

/// What came of it.
#[derive(Debug)]
pub struct Report {
    /// Controllers that were killed.
    pub killed: usize,
    /// Controllers that were frozen.
    pub frozen: usize,
    /// How each team fared.
    pub teams: BTreeMap<&'static str, TeamReport>,
    /// Tasks that ran on two machines at once.
    pub duplicate_executions: Vec<String>,
}

#[derive(Default)]
struct Counts {
    accepted: Vec<String>,
    refused: usize,
    unanswered: usize,
    given_up: usize,
}

#[derive(Default)]
struct Counters {
    first_try: Mutex<BTreeMap<String, Instant>>,
    counts: Mutex<BTreeMap<&'static str, Counts>>,
}

impl Counters {
    fn count(&self, team: &'static str, change: impl FnOnce(&mut Counts)) {
        change(lock(&self.counts).entry(team).or_default());
    }

    fn accepted(&self, team: &str) -> Vec<String> {
        lock(&self.counts).get(team).map(|counts| counts.accepted.clone()).unwrap_or_default()
    }
}

/// One client of a team, that submits a job every so often to whichever controller it comes upon.
struct Client {
    team: &'static str,
    number: u64,
    tasks: u32,
    deadline_s: f64,
    every: Duration,
    users: Vec<String>,
    counters: Arc<Counters>,
    fleet: FakeWorkers,
}

impl Client {
    async fn run(self) {
        let http = client();
        if self.team != TEAMS[0] {
            tokio::time::sleep(TRICKLE_AFTER).await;
        }
        for job in 1u64.. {
            let name = format!("req-{}{job:05}", self.number);
            if self.may_send() {
                self.submit(&http, &name).await;
            }
            tokio::time::sleep(self.every.mul_f64(rand::random_range(0.6..1.4))).await;
        }
    }

    fn may_send(&self) -> bool {
        let accepted = self.counters.accepted(self.team);
        let started = self.fleet.first_starts();
        let waiting = accepted.iter().filter(|name| !started.contains_key(*name)).count();
        waiting < MAX_WAITING
    }

    async fn submit(&self, http: &reqwest::Client, name: &str) {
        let mut job = submission(name, self.team, self.tasks);
        job["shell"] = json!(self.team);
        job["rank"] = json!("high");
        job["ripenS"] = json!(1.5);
        job["harvestS"] = json!(self.deadline_s);
        let began = Instant::now();
        lock(&self.counters.first_try).insert(name.to_owned(), began);
        while began.elapsed() < GIVES_UP {
            let at = &self.users[rand::random_range(0..self.users.len())];
            let answer = http.post(format!("http://{at}/submissions")).json(&job).send().await;
            let status = answer.as_ref().map(|answer| answer.status().is_success());
            let mut pause = RETRY;
            match status {
                Ok(true) => {
                    return self.counters.count(self.team, |c| c.accepted.push(name.to_owned()));
                }
                Ok(false) => {
                    let after = answer.ok().and_then(|answer| {
                        answer.headers().get("retry-after")?.to_str().ok()?.parse().ok()
                    });
                    pause = pause.max(Duration::from_secs(after.unwrap_or(0)));
                    self.counters.count(self.team, |c| c.refused += 1);
                }
                Err(_) => self.counters.count(self.team, |c| c.unanswered += 1),
            }
            tokio::time::sleep(pause).await;
        }
        self.counters.count(self.team, |c| c.given_up += 1);
    }
}

/// Runs the plan on loopback.
pub async fn run(scenario: &Scenario) -> Report {
    let state = Arc::new(FakeKeyValueService::default());
    let freezer = Arc::new(Freezer::new(state.clone()));
    let addresses = Addresses::free();
    let fleet = FakeWorkers::new(addresses.for_workers(), TASK_TAKES);
    let cloud = Arc::new(FakeCloud::with_most(MACHINES, state.clone(), fleet.clone()));
    let setup =
        Setup { programs: [&scenario.program; NODES], script: &scenario.script, teams: &TEAMS };
    let mut controllers = Controllers::start(&setup, addresses, &state, &freezer, &cloud).await;
    let counters = Arc::new(Counters::default());
    let clients: Vec<_> = clients(&controllers.users, &counters, &fleet)
        .into_iter()
        .map(|client| tokio::spawn(client.run()))
        .collect();
    let (mut killed, mut frozen) = (0, 0);
    let began = Instant::now();
    for turn in 0.. {
        tokio::time::sleep(TROUBLE_EVERY.mul_f64(rand::random_range(0.7..1.3))).await;
        if began.elapsed() >= scenario.submit_time {
            break;
        }
        if turn % 3 == 1 {
            frozen += usize::from(freezer.freeze_holder(FREEZE).await);
            continue;
        }
        let leader = state.holder().and_then(|holder| controllers.number_of(&holder.node));
        let nodes: Vec<usize> = match (turn % 4, leader) {
            (2, _) => (0..NODES).collect(),
            (_, Some(leader)) => vec![leader],
            (_, None) => vec![rand::random_range(0..NODES)],
        };
        killed += nodes.len();
        controllers.kill_and_start(&nodes, RESTARTS[turn % RESTARTS.len()]).await;
    }
    clients.iter().for_each(tokio::task::JoinHandle::abort);
    let done = wind_down(&controllers.users, &counters).await;
    controllers.end();
    let teams = TEAMS.iter().map(|&team| (team, summarize(team, &counters, &fleet, done[team])));
    Report {
        killed,
        frozen,
        teams: teams.collect(),
        duplicate_executions: fleet.duplicate_executions(),
    }
}

fn clients(users: &[String], counters: &Arc<Counters>, fleet: &FakeWorkers) -> Vec<Client> {
    let client = |team, number, tasks, deadline_s, every| Client {
        team,
        number,
        tasks,
        deadline_s,
        every,
        users: users.to_vec(),
        counters: counters.clone(),
        fleet: fleet.clone(),
    };
    let flood = (1..=FLOOD_CLIENTS)
        .map(|number| client(TEAMS[0], number, FLOOD_TASKS, FLOOD_DEADLINE_S, FLOOD_EVERY));
    let trickles = TEAMS[1..].iter().zip(FLOOD_CLIENTS + 1..).map(|(team, number)| {
        client(team, number, TRICKLE_TASKS, TRICKLE_DEADLINE_S, TRICKLE_EVERY)
    });
    flood.chain(trickles).collect()
}

/// Waits until all accepted jobs are done. How many are, by team.
async fn wind_down(users: &[String], counters: &Counters) -> BTreeMap<&'static str, usize> {
    let until = Instant::now() + WIND_DOWN;
    loop {
        tokio::time::sleep(Duration::from_secs(5)).await;
        let mut done = BTreeMap::new();
        let mut left = 0;
        for team in TEAMS {
            let accepted = counters.accepted(team);
            let of_team = count_done(users, &accepted).await;
            left += accepted.len() - of_team;
            done.insert(team, of_team);
        }
        if left == 0 || Instant::now() >= until {
            return done;
        }
    }
}

fn summarize(
    team: &'static str,
    counters: &Counters,
    fleet: &FakeWorkers,
    done: usize,
) -> TeamReport {
    let started = fleet.first_starts();
    let first_try = lock(&counters.first_try);
    let mut start_ms = Histogram::new_with_bounds(1, 3_600_000, 3).expect("bounds");
    let accepted = counters.accepted(team);
    // Each job waits from its first try on; in between, each start of the team ends a time without one.
    let mut waits: Vec<(Instant, Instant)> = Vec::new();
    for name in &accepted {
        if let (Some(&tried), Some(&at)) = (first_try.get(name), started.get(name)) {
            let _ = start_ms.record(at.duration_since(tried).as_millis().max(1) as u64);
            waits.push((tried, at));
        }
    }
    let mut starts: Vec<Instant> = waits.iter().map(|wait| wait.1).collect();
    starts.sort_unstable();
    let longest = waits.iter().map(|&(tried, at)| {
        let before = starts[..starts.partition_point(|&start| start < at)].last();
        at.duration_since(before.map_or(tried, |&before| before.max(tried)))
    });
    let flood = counters.accepted(TEAMS[0]);
    let flood_starts: Vec<Instant> = flood.iter().filter_map(|n| started.get(n)).copied().collect();
    let overtaken = waits.iter().map(|&(tried, at)| {
        flood_starts.iter().filter(|&&start| start > tried && start < at).count()
    });
    let counts = lock(&counters.counts);
    let counts = counts.get(team);
    TeamReport {
        accepted: accepted.len(),
        refused: counts.map_or(0, |c| c.refused),
        unanswered: counts.map_or(0, |c| c.unanswered),
        given_up: counts.map_or(0, |c| c.given_up),
        done,
        max_overtaken: overtaken.max().unwrap_or_default(),
        start_ms,
        longest_without_start: longest.max().unwrap_or_default(),
    }
}
