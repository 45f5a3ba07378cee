//! Jobs of several kinds, submitted through all controllers in turn: single tasks, job arrays,
//! dependencies, and jobs that are cancelled.

use std::collections::BTreeSet;
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::Arc;
use std::time::Duration;

use serde_json::json;
use tokio::task::JoinSet;

use crate::user::{submission, User};

/// The team of all jobs.
pub const TEAM: &str = "one";
const SUBMIT_EVERY: Duration = Duration::from_millis(400);
/// Short, so that machines are rented at once.
const DEADLINE_S: f64 = 5.0;
/// A cancellation comes at most so long after the acceptance.
const CANCEL_WITHIN: Duration = Duration::from_secs(4);

/// One kind of job: its number of tasks, how many jobs before it each one that it depends on was
/// submitted, and whether it is cancelled.
struct Kind {
    tasks: u32,
    needs: &'static [usize],
    cancelled: bool,
}

/// The kinds in the order in which they are submitted, again and again.
const KINDS: [Kind; 6] = [
    Kind { tasks: 6, needs: &[], cancelled: false },
    Kind { tasks: 1, needs: &[], cancelled: false },
    Kind { tasks: 3, needs: &[1, 2], cancelled: false },
    Kind { tasks: 4, needs: &[], cancelled: true },
    Kind { tasks: 1, needs: &[1], cancelled: false },
    Kind { tasks: 2, needs: &[3], cancelled: false },
];

/// A job that was accepted.
#[derive(Debug)]
pub struct Job {
    /// The job's id.
    pub name: String,
    /// The jobs that it depends on.
    pub needs: Vec<String>,
    /// The number of the controller that accepted it.
    pub accepted_by: usize,
    /// Whether a controller told that its cancellation came before its end.
    pub cancelled: bool,
}

/// What was submitted, in order.
#[derive(Debug, Default)]
pub struct Workload {
    /// What was submitted, in order.
    pub jobs: Vec<Job>,
    /// Submissions and cancellations that no controller decided in time.
    pub undecided: Vec<String>,
}

impl Workload {
    /// Submits jobs until it is told to stop, and waits for all decisions.
    pub async fn submit(user: Arc<User>, stop: Arc<AtomicBool>) -> Workload {
        let mut workload = Workload::default();
        let mut cancellations: JoinSet<(String, Option<String>)> = JoinSet::new();
        let kinds = KINDS.iter().cycle();
        for (number, kind) in kinds.enumerate().take_while(|_| !stop.load(Ordering::Relaxed)) {
            if workload.submit_one(&user, number, kind).await && kind.cancelled {
                let (user, name) = (user.clone(), job_name(number));
                cancellations.spawn(async move {
                    tokio::time::sleep(CANCEL_WITHIN.mul_f64(rand::random_range(0.1..1.0))).await;
                    let stage = user.cancel(&name, number % user.controllers()).await;
                    (name, stage)
                });
            }
            tokio::time::sleep(SUBMIT_EVERY).await;
        }
        for (name, stage) in cancellations.join_all().await {
            workload.cancelled(name, stage.as_deref());
        }
        workload
    }

    /// Whether the job was accepted.
    async fn submit_one(&mut self, user: &User, number: usize, kind: &Kind) -> bool {
        let name = job_name(number);
        let accepted = |need: &String| self.jobs.iter().any(|job| job.name == *need);
        let needs = kind.needs.iter().map(|back| job_name(number - back)).filter(accepted);
        let needs: Vec<String> = needs.collect();
        let mut job = submission(&name, TEAM, kind.tasks);
        job["waits"] = json!(needs);
        job["harvestS"] = json!(DEADLINE_S);
        match user.submit(&job, number % user.controllers()).await {
            Some(accepted_by) => {
                self.jobs.push(Job { name, needs, accepted_by, cancelled: false });
                true
            }
            None => {
                self.undecided.push(name);
                false
            }
        }
    }

    fn cancelled(&mut self, name: String, stage: Option<&str>) {
        match stage {
            Some("aborted") => {
                let job = self.jobs.iter_mut().find(|job| job.name == name);
                job.expect("only accepted jobs are cancelled").cancelled = true;
            }
            Some("done") => {}
            _ => self.undecided.push(name),
        }
    }

    /// The jobs that have to end as cancelled: those that were, and all that depend on them.
    pub fn aborted(&self) -> BTreeSet<&str> {
        let mut aborted = BTreeSet::new();
        for job in &self.jobs {
            if job.cancelled || job.needs.iter().any(|need| aborted.contains(need.as_str())) {
                aborted.insert(job.name.as_str());
            }
        }
        aborted
    }
}

fn job_name(number: usize) -> String {
    format!("req-{:06}", number + 1)
}
