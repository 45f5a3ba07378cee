//! Workload of the version scenario: single tasks, job arrays, jobs with dependencies and jobs that
//! are cancelled, submitted to all controllers in turn.

use std::collections::BTreeSet;
use std::ops::Range;
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::Arc;
use std::time::Duration;

use rand::rngs::StdRng;
use rand::{RngExt, SeedableRng};
use serde_json::json;
use tokio::task::JoinSet;

use crate::user::{submission, UserClient};

/// Team to which all jobs of the workload belong.
pub const TEAM: &str = "one";
/// Time between two submissions.
const SUBMIT_INTERVAL: Duration = Duration::from_millis(400);
/// Deadline of each job in seconds, short enough that machines are rented immediately.
const DEADLINE_S: f64 = 5.0;
/// Run time of each task, long enough that the leader changes while most tasks run.
pub const TASK_DURATION: Duration = Duration::from_millis(2_000);

/// Whether a job is cancelled, and when.
#[derive(Clone, Copy)]
enum Cancellation {
    Never,
    /// Before, while or after the job's tasks run.
    AnyTime,
    /// Before a task of the job can have run to its end.
    BeforeFirstEnd,
}

impl Cancellation {
    /// Returns the range of the time between the acceptance of a job and its cancellation, in
    /// milliseconds; `None` if it is not cancelled.
    fn delay_range_ms(self) -> Option<Range<u64>> {
        match self {
            Cancellation::Never => None,
            Cancellation::AnyTime => Some(400..4_000),
            Cancellation::BeforeFirstEnd => Some(100..TASK_DURATION.as_millis() as u64 / 2),
        }
    }
}

/// Kind of job in the workload: the number of its tasks, its dependencies, and whether it is
/// cancelled. Each entry of `dependencies` is the distance, in submissions, back to a job that this
/// one depends on.
struct JobKind {
    tasks: u32,
    dependencies: &'static [usize],
    cancellation: Cancellation,
}

/// Job kinds in the order of submission; the sequence repeats.
const JOB_KINDS: [JobKind; 7] = [
    JobKind { tasks: 6, dependencies: &[], cancellation: Cancellation::Never },
    JobKind { tasks: 1, dependencies: &[], cancellation: Cancellation::Never },
    JobKind { tasks: 3, dependencies: &[1, 2], cancellation: Cancellation::Never },
    JobKind { tasks: 4, dependencies: &[], cancellation: Cancellation::AnyTime },
    JobKind { tasks: 1, dependencies: &[1], cancellation: Cancellation::Never },
    JobKind { tasks: 2, dependencies: &[3], cancellation: Cancellation::Never },
    JobKind { tasks: 2, dependencies: &[], cancellation: Cancellation::BeforeFirstEnd },
];

/// Job that a controller accepted.
#[derive(Debug)]
pub struct Job {
    /// Name under which the job was submitted.
    pub name: String,
    /// Names of the jobs that must be done before this one starts.
    pub dependencies: Vec<String>,
    /// Index of the controller that accepted the job.
    pub accepted_by: usize,
    /// Whether a controller confirmed that the job was cancelled before it was done.
    pub cancelled: bool,
}

/// Submitted jobs and the outcome of their cancellations.
#[derive(Debug, Default)]
pub struct Workload {
    /// Accepted jobs in the order of submission.
    pub jobs: Vec<Job>,
    /// Names of the jobs whose submission or cancellation no controller accepted in time.
    pub undecided: Vec<String>,
}

impl Workload {
    /// Submits jobs until `stop` is set, then waits for the responses to all cancellations. The
    /// times of the cancellations follow from the seed.
    pub async fn submit(client: Arc<UserClient>, stop: Arc<AtomicBool>, seed: u64) -> Workload {
        let mut rng = StdRng::seed_from_u64(seed);
        let mut workload = Workload::default();
        let mut cancellations: JoinSet<(String, Option<String>)> = JoinSet::new();
        let kinds = JOB_KINDS.iter().cycle();
        for (number, kind) in kinds.enumerate().take_while(|_| !stop.load(Ordering::Relaxed)) {
            // Drawn whether or not the job is accepted, so that it depends on the number alone.
            let cancel_delay_ms =
                kind.cancellation.delay_range_ms().map(|range| rng.random_range(range));
            let accepted = workload.submit_job(&client, number, kind).await;
            if let Some(delay_ms) = cancel_delay_ms.filter(|_| accepted) {
                let (client, name) = (client.clone(), job_name(number));
                cancellations.spawn(async move {
                    tokio::time::sleep(Duration::from_millis(delay_ms)).await;
                    let stage = client.cancel(&name, number % client.controllers()).await;
                    (name, stage)
                });
            }
            tokio::time::sleep(SUBMIT_INTERVAL).await;
        }
        for (name, stage) in cancellations.join_all().await {
            workload.record_cancellation(name, stage.as_deref());
        }
        workload
    }

    /// Submits one job, depending only on jobs that were accepted. Returns whether it was accepted.
    async fn submit_job(&mut self, client: &UserClient, number: usize, kind: &JobKind) -> bool {
        let name = job_name(number);
        let accepted = |dependency: &String| self.jobs.iter().any(|job| job.name == *dependency);
        let dependencies =
            kind.dependencies.iter().map(|distance| job_name(number - distance)).filter(accepted);
        let dependencies: Vec<String> = dependencies.collect();
        let mut job = submission(&name, TEAM, kind.tasks);
        job["waits"] = json!(dependencies);
        job["harvestS"] = json!(DEADLINE_S);
        match client.submit(&job, number % client.controllers()).await {
            Some(accepted_by) => {
                self.jobs.push(Job { name, dependencies, accepted_by, cancelled: false });
                true
            }
            None => {
                self.undecided.push(name);
                false
            }
        }
    }

    fn record_cancellation(&mut self, name: String, stage: Option<&str>) {
        match stage {
            Some("aborted") => {
                let job = self.jobs.iter_mut().find(|job| job.name == name);
                job.expect("only accepted jobs are cancelled").cancelled = true;
            }
            Some("done") => {}
            _ => self.undecided.push(name),
        }
    }

    /// Returns the jobs that must end as aborted: the cancelled ones and all that depend on them.
    pub fn aborted(&self) -> BTreeSet<&str> {
        let mut aborted = BTreeSet::new();
        for job in &self.jobs {
            if job.cancelled
                || job.dependencies.iter().any(|dependency| aborted.contains(dependency.as_str()))
            {
                aborted.insert(job.name.as_str());
            }
        }
        aborted
    }
}

fn job_name(number: usize) -> String {
    format!("req-{:06}", number + 1)
}
