//! Answers users' polls for the status of a job. Polls are batched into shared lookups in the store.

use std::cell::RefCell;
use std::collections::HashMap;
use std::rc::Rc;

use tokio::sync::oneshot;
use tokio::time::{sleep, timeout, Duration};
use walnutlug_scheduler::model::job_spec::JobEnd;
use walnutlug_scheduler::protocol::users::{is_job_id, job_response, JobStage};

use super::job_lookup::look_up_jobs;
use super::known_jobs::TaskCounts;
use super::task_slots::TaskSlots;
use crate::http::server::Answer;
use crate::key_value_client::RequestClass;
use crate::node::Node;

/// Pause between two batched lookups, so that polls accumulate and share a request.
const LOOKUP_INTERVAL: Duration = Duration::from_millis(120);
/// Time that a poll waits for its lookup before it returns an unknown status.
const LOOKUP_TIMEOUT: Duration = Duration::from_millis(1_700);

/// Status of a job according to the key-value store.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) enum JobStatus {
    NeverAccepted,
    /// Accepted and not ended.
    Open,
    Ended(JobEnd),
    /// The store could not be read in time.
    Unknown,
}

/// Status queries waiting for the next batched lookup.
#[derive(Debug)]
pub(super) struct StatusQueries {
    waiting: RefCell<HashMap<String, Vec<oneshot::Sender<JobStatus>>>>,
    lookup_tasks: TaskSlots,
}

impl Default for StatusQueries {
    fn default() -> StatusQueries {
        StatusQueries { waiting: RefCell::default(), lookup_tasks: TaskSlots::new(1) }
    }
}

impl StatusQueries {
    fn add(&self, name: &str) -> oneshot::Receiver<JobStatus> {
        let (reply, answer) = oneshot::channel();
        self.waiting.borrow_mut().entry(name.to_owned()).or_default().push(reply);
        answer
    }

    fn take_batch(&self, max_jobs: usize) -> HashMap<String, Vec<oneshot::Sender<JobStatus>>> {
        let mut waiting = self.waiting.borrow_mut();
        let names: Vec<String> = waiting.keys().take(max_jobs).cloned().collect();
        names.into_iter().filter_map(|name| waiting.remove_entry(&name)).collect()
    }

    fn len(&self) -> usize {
        self.waiting.borrow().len()
    }
}

/// Handles a user's poll: returns the job's stage and, while it is open, its task counts.
pub(crate) async fn poll(node: Rc<Node>, name: &str) -> Answer {
    if !is_job_id(name) {
        return Answer::error(404, "no such job");
    }
    match job_status(&node, name).await {
        JobStatus::NeverAccepted => Answer::error(404, "no such job"),
        JobStatus::Ended(end) => Answer::json(200, &job_response(name, stage_of_end(end), None)),
        JobStatus::Open => {
            let OpenJob { stage, counts } = open_job(&node, name);
            let counts = (counts.done, counts.running);
            Answer::json(200, &job_response(name, stage, Some(counts)))
        }
        JobStatus::Unknown => Answer::retry("could not read the job state; try again"),
    }
}

/// Returns the job's current status: from the cache if it has ended, otherwise from the store.
pub(super) async fn job_status(node: &Rc<Node>, name: &str) -> JobStatus {
    if let Some(end) = node.user_api.known_jobs.end(name) {
        return JobStatus::Ended(end);
    }
    if node.key_value.is_down() {
        return JobStatus::Unknown;
    }
    let answer = node.user_api.status_queries.add(name);
    start_lookups(node);
    match timeout(LOOKUP_TIMEOUT, answer).await {
        Ok(Ok(status)) => status,
        Ok(Err(_)) | Err(_) => JobStatus::Unknown,
    }
}

/// Starts the lookup task unless it is running. It serves queries until none are waiting.
fn start_lookups(node: &Rc<Node>) {
    let Some(slot) = node.user_api.status_queries.lookup_tasks.try_acquire() else { return };
    let node = node.clone();
    tokio::task::spawn_local(async move {
        let queries = &node.user_api.status_queries;
        loop {
            let max_jobs = node.key_value.max_compares();
            let batch = queries.take_batch(max_jobs);
            if batch.is_empty() {
                break;
            }
            let names: Vec<String> = batch.keys().cloned().collect();
            let found = look_up_jobs(&node, names, RequestClass::Poll).await;
            for (name, replies) in batch {
                let status = found.get(&name).copied().unwrap_or(JobStatus::Unknown);
                for reply in replies {
                    let _ = reply.send(status);
                }
            }
            if queries.len() < max_jobs {
                sleep(LOOKUP_INTERVAL).await;
            }
        }
        drop(slot);
    });
}

/// Stage and task counts of an open job, as shown to users.
pub(super) struct OpenJob {
    pub(super) stage: JobStage,
    pub(super) counts: TaskCounts,
}

/// Returns an open job's stage and task counts, from this node's scheduler if it leads, otherwise from
/// the leader's broadcasts.
pub(super) fn open_job(node: &Node, name: &str) -> OpenJob {
    let own = node.scheduler.borrow().as_ref().and_then(|scheduler| {
        let index = *scheduler.cluster.jobs_by_name.get(name)?;
        let (done, running) = scheduler.cluster.counts(index)?;
        Some(TaskCounts { done, running })
    });
    let counts = own.or_else(|| node.user_api.known_jobs.progress(name)).unwrap_or_default();
    let stage = if counts.running > 0 { JobStage::Running } else { JobStage::Queued };
    OpenJob { stage, counts }
}

pub(super) fn stage_of_end(end: JobEnd) -> JobStage {
    match end {
        JobEnd::Done => JobStage::Done,
        JobEnd::Cancelled => JobStage::Cancelled,
    }
}
