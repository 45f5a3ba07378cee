//! Workload of the version scenario: single tasks, job arrays, jobs with dependencies and jobs that
//! are cancelled, submitted to all controllers in turn.

use std::collections::BTreeSet;
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::Arc;
use std::time::Duration;

use serde_json::json;
use tokio::task::JoinSet;

use crate::user::{submission, UserClient};

/// Team to which all jobs of the workload belong.
pub const TEAM: &str = "one";
/// Time between two submissions.
const SUBMIT_INTERVAL: Duration = Duration::from_millis(400);
/// Deadline of each job in seconds, short enough that machines are rented immediately.
const DEADLINE_S: f64 = 5.0;
/// Maximum time between the acceptance of a job and its cancellation.
const MAX_CANCEL_DELAY: Duration = Duration::from_secs(4);

/// Kind of job in the workload: the number of its tasks, its dependencies, and whether it is
/// cancelled. Each entry of `dependencies` is the distance, in submissions, back to a job that this
/// one depends on.
struct JobKind {
    tasks: u32,
    dependencies: &'static [usize],
    cancelled: bool,
}

/// Job kinds in the order of submission; the sequence repeats.
const JOB_KINDS: [JobKind; 6] = [
    JobKind { tasks: 6, dependencies: &[], cancelled: false },
    JobKind { tasks: 1, dependencies: &[], cancelled: false },
    JobKind { tasks: 3, dependencies: &[1, 2], cancelled: false },
    JobKind { tasks: 4, dependencies: &[], cancelled: true },
    JobKind { tasks: 1, dependencies: &[1], cancelled: false },
    JobKind { tasks: 2, dependencies: &[3], cancelled: false },
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
    /// Submits jobs until `stop` is set, then waits for the responses to all cancellations.
    pub async fn submit(client: Arc<UserClient>, stop: Arc<AtomicBool>) -> Workload {
        let mut workload = Workload::default();
        let mut cancellations: JoinSet<(String, Option<String>)> = JoinSet::new();
        let kinds = JOB_KINDS.iter().cycle();
        for (number, kind) in kinds.enumerate().take_while(|_| !stop.load(Ordering::Relaxed)) {
            if workload.submit_job(&client, number, kind).await && kind.cancelled {
                let (client, name) = (client.clone(), job_name(number));
                cancellations.spawn(async move {
                    tokio::time::sleep(MAX_CANCEL_DELAY.mul_f64(rand::random_range(0.1..1.0)))
                        .await;
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
