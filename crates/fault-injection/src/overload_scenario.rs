//! Scenario in which one team overloads the cluster with jobs, two other teams submit a few, and
//! controllers are killed, frozen and restarted. For each team, the report shows how long its jobs
//! wait for their first start and the longest time in which none of its waiting jobs starts.

use std::collections::BTreeMap;
use std::path::PathBuf;
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};

use hdrhistogram::Histogram;
use serde_json::json;

use crate::controllers::{lock, ControllerAddresses, ControllerSetup, Controllers, NODES};
use crate::fake_cloud::FakeCloud;
use crate::fake_key_value_service::FakeKeyValueService;
use crate::fake_workers::FakeWorkers;
use crate::freeze::Freezer;
use crate::user::{count_done, http_client, submission};

/// Names of the teams. The first one submits too many jobs; the others submit a few.
pub const TEAMS: [&str; 3] = ["flood", "two", "three"];
/// Number of machines in the cloud. Each has eight vCPUs, and a task uses two.
const MACHINES: usize = 10;
/// Run time of each task.
const TASK_DURATION: Duration = Duration::from_millis(1_500);
/// Number of clients of the flooding team. Together with the next two constants it makes a load of
/// two and a half times what the machines can run.
const FLOOD_CLIENTS: u64 = 4;
/// Mean time between two submissions of a client of the flooding team.
const FLOOD_INTERVAL: Duration = Duration::from_millis(500);
/// Tasks in each job of the flooding team.
const FLOOD_TASKS: u32 = 8;
/// Maximum number of accepted jobs of a team that have not started. The team's clients pause at
/// this number, so that the scenario can end.
const MAX_WAITING_JOBS: usize = 300;
/// Mean time between two submissions of a client of the other teams.
const TRICKLE_INTERVAL: Duration = Duration::from_millis(1_500);
/// Tasks in each job of the other teams.
const TRICKLE_TASKS: u32 = 4;
/// Deadline in seconds of each job of the flooding team. It is shorter than that of the other
/// teams, so by deadline alone every job of the flood would be more urgent.
const FLOOD_DEADLINE_S: f64 = 8.0;
/// Deadline in seconds of each job of the other teams.
const TRICKLE_DEADLINE_S: f64 = 40.0;
/// Time before the other teams start to submit. Without a machine listing, the first leader needs
/// 10 s until it can judge whether the cluster is overloaded; until then jobs start in the order of
/// the queue, not in the order shared between teams.
const TRICKLE_DELAY: Duration = Duration::from_secs(12);
/// Mean time between two faults; each interval is 0.7 to 1.3 times as long.
const FAULT_INTERVAL: Duration = Duration::from_secs(12);
/// Length of a freeze of the leader.
const FREEZE_DURATION: Duration = Duration::from_millis(2_500);
/// Times between the kill of a controller and its restart. Faults are numbered from 0; even ones
/// use the first time, odd ones the second.
const RESTART_DELAYS: [Duration; 2] = [Duration::from_millis(200), Duration::from_secs(2)];
/// Time after which a client gives up a job that was not accepted.
const RETRY_TIMEOUT: Duration = Duration::from_secs(60);
/// Minimum pause before a client retries; a longer `Retry-After` header takes precedence.
const RETRY_INTERVAL: Duration = Duration::from_secs(1);
/// Maximum time for all accepted jobs to be done after the last submission.
const WIND_DOWN_TIMEOUT: Duration = Duration::from_secs(240);

/// Parameters of the overload scenario.
pub struct Scenario {
    /// Controller program that all nodes run.
    pub program: PathBuf,
    /// Lua settings script of the operators.
    pub script: PathBuf,
    /// Time for which jobs are submitted and faults are injected.
    pub submit_time: Duration,
}

/// Results for the jobs of one team.
#[derive(Debug)]
pub struct TeamReport {
    /// Number of jobs that a controller accepted.
    pub accepted: usize,
    /// Number of submissions that a controller refused and that were retried.
    pub refused: usize,
    /// Number of submissions without a response, for example because the controller was down.
    pub unanswered: usize,
    /// Number of jobs that no controller accepted before the client gave up.
    pub given_up: usize,
    /// Number of accepted jobs that were done at the end of the scenario.
    pub done: usize,
    /// Time from a job's first submission to the first start of one of its tasks, in milliseconds.
    pub start_delay_ms: Histogram<u64>,
    /// Maximum, over the jobs of this team, of the number of jobs of the flooding team that started
    /// between the first submission of the job and its start.
    pub max_overtaken: usize,
    /// Longest time in which no job of the team started although at least one was waiting.
    pub longest_without_start: Duration,
}

/// Results of the overload scenario.
#[derive(Debug)]
pub struct Report {
    /// Number of times a controller was killed.
    pub killed: usize,
    /// Number of times a leader was frozen.
    pub frozen: usize,
    /// Results of each team, by its name.
    pub teams: BTreeMap<&'static str, TeamReport>,
    /// Names of the tasks that ran on two machines at the same time.
    pub duplicate_executions: Vec<String>,
}

#[derive(Default)]
struct RequestCounts {
    accepted: Vec<String>,
    refused: usize,
    unanswered: usize,
    given_up: usize,
}

#[derive(Default)]
struct SharedCounts {
    first_try: Mutex<BTreeMap<String, Instant>>,
    by_team: Mutex<BTreeMap<&'static str, RequestCounts>>,
}

impl SharedCounts {
    fn count(&self, team: &'static str, change: impl FnOnce(&mut RequestCounts)) {
        change(lock(&self.by_team).entry(team).or_default());
    }

    fn accepted(&self, team: &str) -> Vec<String> {
        lock(&self.by_team).get(team).map(|counts| counts.accepted.clone()).unwrap_or_default()
    }
}

/// Client of one team that submits jobs at random intervals to randomly chosen controllers.
struct Client {
    team: &'static str,
    number: u64,
    tasks: u32,
    deadline_s: f64,
    interval: Duration,
    api_addresses: Vec<String>,
    counts: Arc<SharedCounts>,
    workers: FakeWorkers,
}

impl Client {
    async fn run(self) {
        let http = http_client();
        if self.team != TEAMS[0] {
            tokio::time::sleep(TRICKLE_DELAY).await;
        }
        for job in 1u64.. {
            let name = format!("req-{}{job:05}", self.number);
            if self.is_below_waiting_limit() {
                self.submit(&http, &name).await;
            }
            tokio::time::sleep(self.interval.mul_f64(rand::random_range(0.6..1.4))).await;
        }
    }

    fn is_below_waiting_limit(&self) -> bool {
        let accepted = self.counts.accepted(self.team);
        let first_starts = self.workers.first_starts();
        let waiting = accepted.iter().filter(|name| !first_starts.contains_key(*name)).count();
        waiting < MAX_WAITING_JOBS
    }

    async fn submit(&self, http: &reqwest::Client, name: &str) {
        let mut job = submission(name, self.team, self.tasks);
        job["shell"] = json!(self.team);
        job["rank"] = json!("high");
        job["ripenS"] = json!(1.5);
        job["harvestS"] = json!(self.deadline_s);
        let first_try_at = Instant::now();
        lock(&self.counts.first_try).insert(name.to_owned(), first_try_at);
        while first_try_at.elapsed() < RETRY_TIMEOUT {
            let address = &self.api_addresses[rand::random_range(0..self.api_addresses.len())];
            let response =
                http.post(format!("http://{address}/submissions")).json(&job).send().await;
            let status = response.as_ref().map(|response| response.status().is_success());
            let mut pause = RETRY_INTERVAL;
            match status {
                Ok(true) => {
                    return self.counts.count(self.team, |c| c.accepted.push(name.to_owned()));
                }
                Ok(false) => {
                    let retry_after = response.ok().and_then(|response| {
                        response.headers().get("retry-after")?.to_str().ok()?.parse().ok()
                    });
                    pause = pause.max(Duration::from_secs(retry_after.unwrap_or(0)));
                    self.counts.count(self.team, |c| c.refused += 1);
                }
                Err(_) => self.counts.count(self.team, |c| c.unanswered += 1),
            }
            tokio::time::sleep(pause).await;
        }
        self.counts.count(self.team, |c| c.given_up += 1);
    }
}

/// Runs the scenario with all processes and fakes on the loopback interface.
pub async fn run(scenario: &Scenario) -> Report {
    let store = Arc::new(FakeKeyValueService::default());
    let freezer = Arc::new(Freezer::new(store.clone()));
    let addresses = ControllerAddresses::allocate();
    let workers = FakeWorkers::new(addresses.names_and_addresses(), TASK_DURATION);
    let cloud = Arc::new(FakeCloud::with_capacity(MACHINES, store.clone(), workers.clone()));
    let setup = ControllerSetup {
        programs: [&scenario.program; NODES],
        script: &scenario.script,
        teams: &TEAMS,
    };
    let mut controllers = Controllers::start(&setup, addresses, &store, &freezer, &cloud).await;
    let counts = Arc::new(SharedCounts::default());
    let clients: Vec<_> = clients(&controllers.api_addresses, &counts, &workers)
        .into_iter()
        .map(|client| tokio::spawn(client.run()))
        .collect();
    let (mut killed, mut frozen) = (0, 0);
    let started_at = Instant::now();
    for turn in 0.. {
        tokio::time::sleep(FAULT_INTERVAL.mul_f64(rand::random_range(0.7..1.3))).await;
        if started_at.elapsed() >= scenario.submit_time {
            break;
        }
        if turn % 3 == 1 {
            frozen += usize::from(freezer.freeze_leader(FREEZE_DURATION).await);
            continue;
        }
        let leader = store.leader().and_then(|leader| controllers.index_of(&leader.node));
        let nodes: Vec<usize> = match (turn % 4, leader) {
            (2, _) => (0..NODES).collect(),
            (_, Some(leader)) => vec![leader],
            (_, None) => vec![rand::random_range(0..NODES)],
        };
        killed += nodes.len();
        controllers.kill_and_restart(&nodes, RESTART_DELAYS[turn % RESTART_DELAYS.len()]).await;
    }
    clients.iter().for_each(tokio::task::JoinHandle::abort);
    let done = wind_down(&controllers.api_addresses, &counts).await;
    controllers.kill_all();
    let teams = TEAMS.iter().map(|&team| (team, summarize(team, &counts, &workers, done[team])));
    Report {
        killed,
        frozen,
        teams: teams.collect(),
        duplicate_executions: workers.duplicate_executions(),
    }
}

fn clients(
    api_addresses: &[String],
    counts: &Arc<SharedCounts>,
    workers: &FakeWorkers,
) -> Vec<Client> {
    let client = |team, number, tasks, deadline_s, interval| Client {
        team,
        number,
        tasks,
        deadline_s,
        interval,
        api_addresses: api_addresses.to_vec(),
        counts: counts.clone(),
        workers: workers.clone(),
    };
    let flood = (1..=FLOOD_CLIENTS)
        .map(|number| client(TEAMS[0], number, FLOOD_TASKS, FLOOD_DEADLINE_S, FLOOD_INTERVAL));
    let trickles = TEAMS[1..].iter().zip(FLOOD_CLIENTS + 1..).map(|(team, number)| {
        client(team, number, TRICKLE_TASKS, TRICKLE_DEADLINE_S, TRICKLE_INTERVAL)
    });
    flood.chain(trickles).collect()
}

/// Waits until all accepted jobs are done or the timeout is over. Returns the number of jobs done,
/// by team.
async fn wind_down(
    api_addresses: &[String],
    counts: &SharedCounts,
) -> BTreeMap<&'static str, usize> {
    let deadline = Instant::now() + WIND_DOWN_TIMEOUT;
    loop {
        tokio::time::sleep(Duration::from_secs(5)).await;
        let mut done = BTreeMap::new();
        let mut unfinished = 0;
        for team in TEAMS {
            let accepted = counts.accepted(team);
            let team_done = count_done(api_addresses, &accepted).await;
            unfinished += accepted.len() - team_done;
            done.insert(team, team_done);
        }
        if unfinished == 0 || Instant::now() >= deadline {
            return done;
        }
    }
}

fn summarize(
    team: &'static str,
    counts: &SharedCounts,
    workers: &FakeWorkers,
    done: usize,
) -> TeamReport {
    let first_starts = workers.first_starts();
    let first_try = lock(&counts.first_try);
    let mut start_delay_ms =
        Histogram::new_with_bounds(1, 3_600_000, 3).expect("valid histogram bounds");
    let accepted = counts.accepted(team);
    // A job waits from its first submission to its start. Each start of a job of the same team in
    // between ends a period without a start.
    let mut waits: Vec<(Instant, Instant)> = Vec::new();
    for name in &accepted {
        if let (Some(&first_try_at), Some(&started_at)) =
            (first_try.get(name), first_starts.get(name))
        {
            let _ = start_delay_ms
                .record(started_at.duration_since(first_try_at).as_millis().max(1) as u64);
            waits.push((first_try_at, started_at));
        }
    }
    let mut starts: Vec<Instant> = waits.iter().map(|wait| wait.1).collect();
    starts.sort_unstable();
    let longest_wait = waits.iter().map(|&(first_try_at, started_at)| {
        let previous = starts[..starts.partition_point(|&start| start < started_at)].last();
        started_at
            .duration_since(previous.map_or(first_try_at, |&previous| previous.max(first_try_at)))
    });
    let flood = counts.accepted(TEAMS[0]);
    let flood_starts: Vec<Instant> =
        flood.iter().filter_map(|n| first_starts.get(n)).copied().collect();
    let overtaken = waits.iter().map(|&(first_try_at, started_at)| {
        flood_starts.iter().filter(|&&start| start > first_try_at && start < started_at).count()
    });
    let counts = lock(&counts.by_team);
    let counts = counts.get(team);
    TeamReport {
        accepted: accepted.len(),
        refused: counts.map_or(0, |c| c.refused),
        unanswered: counts.map_or(0, |c| c.unanswered),
        given_up: counts.map_or(0, |c| c.given_up),
        done,
        max_overtaken: overtaken.max().unwrap_or_default(),
        start_delay_ms,
        longest_without_start: longest_wait.max().unwrap_or_default(),
    }
}
