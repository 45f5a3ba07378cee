//! Handles submissions: validates them, has them written and builds the response.

use std::rc::Rc;

use tokio::sync::oneshot;
use tokio::time::{timeout, Duration, Instant};
use tracing::{debug, info};
use walnutlug_admission::job_memory::{NoMemory, Reservation, Urgency};
use walnutlug_scheduler::model::footprint::max_bytes;
use walnutlug_scheduler::model::job_spec::{JobSpec, Priority};
use walnutlug_scheduler::protocol::users::{
    job_response, parse_submission, InvalidField, JobStage,
};
use walnutlug_scheduler::storage::document::Document;
use walnutlug_scheduler::storage::keys;
use walnutlug_scheduler::storage::records::{chunk_size, description_record};

use super::batch_writer::{write_submission, PendingSubmission, WriteOutcome, OPERATIONS_PER_JOB};
use super::dependencies::{look_up_dependencies, Dependencies};
use super::status::{job_status, open_job, stage_of_end, JobStatus};
use super::REQUEST_TIMEOUT;
use crate::http::server::Answer;
use crate::key_value_client::{KeyValueError, RequestClass};
use crate::node::Node;

/// Latency above which a submission is logged at debug level.
const SLOW_SUBMISSION: Duration = Duration::from_millis(150);

/// When a user should repeat a submission that there was no memory for, in seconds.
const NO_MEMORY_RETRY_S: u32 = 5;

/// Successful result of a submission.
struct Accepted {
    name: String,
    stage: JobStage,
    /// Whether this request created the job (201) or repeated an earlier one (200).
    is_new: bool,
}

impl From<Accepted> for Answer {
    fn from(accepted: Accepted) -> Answer {
        let status = if accepted.is_new { 201 } else { 200 };
        Answer::json(status, &job_response(&accepted.name, accepted.stage, None))
    }
}

/// Reason why a job can never run. The text is sent to users, so it uses the field names of the wire
/// protocol.
#[derive(Debug, thiserror::Error)]
pub(super) enum Unrunnable {
    /// No team or no machine type permits the job.
    #[error("{0}")]
    Infeasible(String),
    #[error("waits: {0} can't wait for itself")]
    DependsOnItself(String),
    #[error("waits: {0} was never submitted; submit it before the jobs that wait for it")]
    UnknownDependency(String),
}

/// Reason why a submission is not accepted. The text is sent to users.
#[derive(Debug, thiserror::Error)]
pub(super) enum SubmissionError {
    #[error(transparent)]
    Malformed(#[from] InvalidField),
    #[error("breeds, waits: the job description is too large to store; shorten these lists")]
    DescriptionTooLong,
    #[error(transparent)]
    Unrunnable(#[from] Unrunnable),
    #[error("this node does not know the machine types yet; try again")]
    MachineTypesUnknown,
    #[error("the state service can't be reached")]
    StoreUnreachable,
    /// Reading whether the job was accepted earlier failed.
    #[error("{}", text_for_users(.0))]
    Store(#[from] KeyValueError),
    #[error("could not read the state of the jobs in waits; try again")]
    DependenciesUnknown,
    #[error("the jobs that are accepted already leave no memory for this one; try again later")]
    NoMemory(#[from] NoMemory),
    #[error("too many submissions at once")]
    TooMany { delay: Duration },
    /// The write may have taken effect; the user finds out by repeating the submission.
    #[error("could not confirm the submission; it may have been accepted, repeat it unchanged")]
    Indeterminate,
    /// The job was accepted earlier, but its current status can't be read.
    #[error("could not read the job state; try again")]
    StatusUnknown,
}

impl From<SubmissionError> for Answer {
    fn from(error: SubmissionError) -> Answer {
        let text = error.to_string();
        match error {
            SubmissionError::Malformed(_) | SubmissionError::DescriptionTooLong => {
                Answer::error(400, text)
            }
            SubmissionError::Unrunnable(_) => Answer::error(422, text),
            SubmissionError::NoMemory(_) => Answer::retry_in(NO_MEMORY_RETRY_S, &text),
            SubmissionError::TooMany { delay } => Answer::retry_in(delay.as_secs() as u32, &text),
            SubmissionError::MachineTypesUnknown
            | SubmissionError::StoreUnreachable
            | SubmissionError::Store(_)
            | SubmissionError::DependenciesUnknown
            | SubmissionError::Indeterminate
            | SubmissionError::StatusUnknown => Answer::retry(&text),
        }
    }
}

/// Maps store errors to fixed texts, so that internal details don't reach users.
fn text_for_users(error: &KeyValueError) -> &'static str {
    match error {
        KeyValueError::Rejected { .. } => "the state service refuses",
        KeyValueError::Indeterminate { .. } => "the state service does not answer",
        KeyValueError::Expired { .. } => "the state service no longer has what was requested",
        KeyValueError::InvalidResponse { .. } => "the state service returned an invalid response",
    }
}

/// Handles a submission: accepts it or returns the error, with a `Retry-After` if a retry may succeed.
pub(crate) async fn submit(node: Rc<Node>, body: Vec<u8>) -> Answer {
    match try_submit(&node, &body).await {
        Ok(accepted) => accepted.into(),
        Err(error) => error.into(),
    }
}

async fn try_submit(node: &Rc<Node>, body: &[u8]) -> Result<Accepted, SubmissionError> {
    let started = Instant::now();
    let (name, mut spec) = parse_submission(body)?;
    if node.user_api.known_jobs.contains(&name) {
        return answer_repeated_submission(node, name).await;
    }
    if let Some(reason) = unrunnable(node, &name, &spec)? {
        return refuse_unless_accepted(node, name, reason.into()).await;
    }
    if node.key_value.is_down() {
        return Err(SubmissionError::StoreUnreachable);
    }
    let mut is_cancelled = false;
    if !spec.dependencies.is_empty() {
        match look_up_dependencies(node, &spec.dependencies).await {
            Dependencies::Open(dependencies) => spec.dependencies = dependencies,
            Dependencies::Cancelled => is_cancelled = true,
            Dependencies::Missing(dependency) => {
                let reason = Unrunnable::UnknownDependency(dependency);
                return refuse_unless_accepted(node, name, reason.into()).await;
            }
            Dependencies::Unknown => return Err(SubmissionError::DependenciesUnknown),
        }
    }
    let description = match encode_description(node, &spec) {
        Ok(description) => description,
        Err(reason) => return refuse_unless_accepted(node, name, reason).await,
    };
    let reservation = match reserve_memory(node, &name, &spec) {
        Ok(reservation) => reservation,
        Err(reason) => return refuse_unless_accepted(node, name, reason.into()).await,
    };
    let outcome = write_and_wait(node, &name, spec, description, is_cancelled, started).await;
    if is_cancelled || matches!(outcome, Err(_) | Ok(WriteOutcome::AlreadyAccepted)) {
        node.user_api.job_memory.borrow_mut().release(reservation);
    }
    match outcome? {
        WriteOutcome::Written => {
            let stage = node.user_api.known_jobs.end(&name).map_or(JobStage::Queued, stage_of_end);
            Ok(Accepted { name, stage, is_new: true })
        }
        WriteOutcome::AlreadyAccepted => answer_repeated_submission(node, name).await,
        WriteOutcome::Indeterminate => Err(SubmissionError::Indeterminate),
    }
}

/// Queues the submission for writing and waits for the outcome.
///
/// # Errors
///
/// If the queue is too long to write it in time. It is then not queued.
async fn write_and_wait(
    node: &Rc<Node>,
    name: &str,
    spec: JobSpec,
    description: Document,
    is_cancelled: bool,
    started: Instant,
) -> Result<WriteOutcome, SubmissionError> {
    let lane = node.tunables.shared_order.then(|| (spec.team.clone(), spec.priority));
    // If the queue can't be written in time, refuse at once and say when to retry.
    let queued_ahead = node.user_api.submissions.ahead_of(&lane);
    let delay = node.key_value.submission_delay(OPERATIONS_PER_JOB * queued_ahead);
    if delay > REQUEST_TIMEOUT {
        return Err(SubmissionError::TooMany { delay });
    }
    let (reply, answer) = oneshot::channel();
    let pending = PendingSubmission {
        name: name.to_owned(),
        description,
        dependencies: spec.dependencies.into(),
        is_cancelled,
        reply,
    };
    write_submission(node, lane, pending);
    let outcome = timeout(REQUEST_TIMEOUT, answer).await.ok().and_then(Result::ok);
    let elapsed = started.elapsed();
    let ms = elapsed.as_millis() as u64;
    node.record_submission(ms);
    if elapsed > SLOW_SUBMISSION {
        debug!(job = %name, ms, accepted = outcome.is_some(), "submission took longer than the slow-submission threshold");
    }
    Ok(outcome.unwrap_or(WriteOutcome::Indeterminate))
}

/// Reserves the memory that the job will take on the leader.
///
/// # Errors
///
/// If this node's part of the memory for jobs is used up.
fn reserve_memory(node: &Node, name: &str, spec: &JobSpec) -> Result<Reservation, NoMemory> {
    let urgency = match spec.priority {
        Priority::High | Priority::Prod => Urgency::Urgent,
        Priority::Low | Priority::Normal => Urgency::Ordinary,
    };
    let bytes = max_bytes(spec, chunk_size(node.settings.site.value_bytes));
    let mut memory = node.user_api.job_memory.borrow_mut();
    memory.reserve(node.now(), bytes, urgency).inspect_err(|reason| {
        info!(job = %name, %reason, "accepted jobs leave no memory for the job");
    })
}

/// Encodes the job description for storage.
///
/// # Errors
///
/// If it exceeds the store's value size limit as this node knows it now. Another node may have
/// accepted the job under a higher one.
fn encode_description(node: &Node, spec: &JobSpec) -> Result<Document, SubmissionError> {
    let site_limit = node.settings.site.value_bytes;
    let chunk = chunk_size(site_limit);
    let description = Document::new(&description_record(spec, node.wall_clock_us(), chunk));
    if description.size() > node.key_value.limits().value_bytes.min(site_limit) {
        return Err(SubmissionError::DescriptionTooLong);
    }
    Ok(description)
}

/// Returns the reason why the job can never run, or `None` if it can.
///
/// # Errors
///
/// If this node has not received the machine types yet.
fn unrunnable(
    node: &Node,
    name: &str,
    spec: &JobSpec,
) -> Result<Option<Unrunnable>, SubmissionError> {
    let machine_types = node.machine_types.borrow();
    if machine_types.is_empty() {
        return Err(SubmissionError::MachineTypesUnknown);
    }
    let infeasibility = spec.infeasibility_reason(&node.settings.site.teams, &machine_types);
    let depends_on_itself = spec.dependencies.iter().any(|dependency| dependency == name);
    Ok(infeasibility
        .map(Unrunnable::Infeasible)
        .or_else(|| depends_on_itself.then(|| Unrunnable::DependsOnItself(name.to_owned()))))
}

/// Refuses a job that can never run or be stored, or that there is no memory for, unless it was
/// accepted earlier: an accepted job is never refused, even if teams, machine types or the store's
/// limits have changed since.
async fn refuse_unless_accepted(
    node: &Rc<Node>,
    name: String,
    reason: SubmissionError,
) -> Result<Accepted, SubmissionError> {
    if node.key_value.is_down() {
        return Err(SubmissionError::StoreUnreachable);
    }
    let accepted = node.key_value.get(RequestClass::Submission, &keys::job(&name)).await?;
    if accepted.is_none() {
        info!(job = %name, %reason, "submission refused");
        return Err(reason);
    }
    node.user_api.known_jobs.record_accepted(&name);
    answer_repeated_submission(node, name).await
}

/// Answers a repeated submission with the job's current status. Like a poll it has to read the store,
/// because another node may already have told the user that the job has ended.
async fn answer_repeated_submission(
    node: &Rc<Node>,
    name: String,
) -> Result<Accepted, SubmissionError> {
    let stage = match job_status(node, &name).await {
        JobStatus::Ended(end) => stage_of_end(end),
        JobStatus::Open => open_job(node, &name).stage,
        // The job is known to be accepted, so a lookup that doesn't find it must not return 404.
        JobStatus::NeverAccepted | JobStatus::Unknown => {
            return Err(SubmissionError::StatusUnknown)
        }
    };
    Ok(Accepted { name, stage, is_new: false })
}
