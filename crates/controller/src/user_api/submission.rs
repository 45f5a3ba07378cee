//! Submissions: what is checked before one is written, and its answer.

use std::rc::Rc;

use tokio::sync::oneshot;
use tokio::time::{timeout, Duration, Instant};
use tracing::{debug, info};
use walnutlug_scheduler::model::job_spec::JobSpec;
use walnutlug_scheduler::protocol::users::{
    job_response, parse_submission, InvalidField, JobStage,
};
use walnutlug_scheduler::storage::document::Document;
use walnutlug_scheduler::storage::keys;
use walnutlug_scheduler::storage::records::{chunk_size, description_record};

use super::batch_writer::{write_submission, Acceptance, PendingSubmission, OPERATIONS_PER_JOB};
use super::dependencies::{look_up_dependencies, Dependencies};
use super::status::{job_status, open_job, stage_of_end, JobStatus};
use super::DECIDE_WITHIN;
use crate::http::server::Answer;
use crate::key_value_client::{KeyValueError, RequestClass};
use crate::node::Node;

/// Slower submissions are worth a line when debugging.
const SLOW: Duration = Duration::from_millis(150);

/// An accepted job.
struct Accepted {
    name: String,
    stage: JobStage,
    /// Whether this very submission was accepted, and no earlier one.
    is_new: bool,
}

impl From<Accepted> for Answer {
    fn from(accepted: Accepted) -> Answer {
        let status = if accepted.is_new { 201 } else { 200 };
        Answer::json(status, &job_response(&accepted.name, accepted.stage, None))
    }
}

/// Why a job can never run. Users are sent the text, so it names fields as the protocol does.
#[derive(Debug, thiserror::Error)]
pub(super) enum Unrunnable {
    /// No team, or no machine type, allows it.
    #[error("{0}")]
    Impossible(String),
    #[error("waits: {0} can't wait for itself")]
    DependsOnItself(String),
    #[error("waits: nobody submitted {0}")]
    UnknownDependency(String),
}

/// Why a submission is not accepted. Users are sent the text.
#[derive(Debug, thiserror::Error)]
pub(super) enum SubmissionError {
    #[error(transparent)]
    Malformed(#[from] InvalidField),
    #[error("breeds, waits: the description is too long to be kept")]
    DescriptionTooLong,
    #[error(transparent)]
    Unrunnable(#[from] Unrunnable),
    #[error("the machine types are not known yet")]
    TypesUnknown,
    #[error("the state service can't be reached")]
    StoreDown,
    /// Whether the job was accepted before can't be read.
    #[error("{}", text_for_users(.0))]
    Store(#[from] KeyValueError),
    #[error("the jobs it waits for can't be read now")]
    DependenciesUnclear,
    #[error("too many submissions at once")]
    TooMany { delay: Duration },
    /// It may have been written; a repetition will show.
    #[error("the submission can't be recorded now")]
    Indeterminate,
    /// Accepted for certain, but how it stands can't be read.
    #[error("the job's state can't be read now")]
    StatusUnclear,
}

impl From<SubmissionError> for Answer {
    fn from(error: SubmissionError) -> Answer {
        let text = error.to_string();
        match error {
            SubmissionError::Malformed(_) | SubmissionError::DescriptionTooLong => {
                Answer::error(400, text)
            }
            SubmissionError::Unrunnable(_) => Answer::error(422, text),
            SubmissionError::TooMany { delay } => Answer::later_by(delay.as_secs() as u32, &text),
            SubmissionError::TypesUnknown
            | SubmissionError::StoreDown
            | SubmissionError::Store(_)
            | SubmissionError::DependenciesUnclear
            | SubmissionError::Indeterminate
            | SubmissionError::StatusUnclear => Answer::later(&text),
        }
    }
}

/// How the store's faults are answered to users.
fn text_for_users(error: &KeyValueError) -> &'static str {
    match error {
        KeyValueError::Rejected { .. } => "the state service refuses",
        KeyValueError::Indeterminate { .. } => "the state service does not answer",
        KeyValueError::Expired { .. } => "gone",
        KeyValueError::InvalidResponse { .. } => "a bad answer",
    }
}

/// Accepts a submission, or says why not and when to come again.
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
        return known_job(node, name).await;
    }
    if let Some(reason) = unrunnable(node, &name, &spec)? {
        return refuse_unless_accepted(node, name, reason).await;
    }
    if node.key_value.is_down() {
        return Err(SubmissionError::StoreDown);
    }
    let mut is_cancelled = false;
    if !spec.dependencies.is_empty() {
        match look_up_dependencies(node, &spec.dependencies).await {
            Dependencies::Open(dependencies) => spec.dependencies = dependencies,
            Dependencies::Cancelled => is_cancelled = true,
            Dependencies::Missing(dependency) => {
                let reason = Unrunnable::UnknownDependency(dependency);
                return refuse_unless_accepted(node, name, reason).await;
            }
            Dependencies::Unclear => return Err(SubmissionError::DependenciesUnclear),
        }
    }
    let acceptance = write(node, &name, spec, is_cancelled, started).await?;
    match acceptance {
        Acceptance::New => {
            let stage = node.user_api.known_jobs.end(&name).map_or(JobStage::Queued, stage_of_end);
            Ok(Accepted { name, stage, is_new: true })
        }
        Acceptance::Known => known_job(node, name).await,
        Acceptance::Indeterminate => Err(SubmissionError::Indeterminate),
    }
}

/// Has the submission written, and waits for it.
///
/// # Errors
///
/// If it is too long, or can't be written in time; then it was not queued.
async fn write(
    node: &Rc<Node>,
    name: &str,
    spec: JobSpec,
    is_cancelled: bool,
    started: Instant,
) -> Result<Acceptance, SubmissionError> {
    let description = describe(node, &spec)?;
    let lane = node.tunables.shared_order.then(|| (spec.team.clone(), spec.priority));
    // What can't be written in time is refused at once, with the time to come again.
    let ahead = node.user_api.submissions.ahead_of(&lane);
    let delay = node.key_value.submission_delay(OPERATIONS_PER_JOB * ahead);
    if delay > DECIDE_WITHIN {
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
    let acceptance = timeout(DECIDE_WITHIN, answer).await.ok().and_then(Result::ok);
    let elapsed = started.elapsed();
    let ms = elapsed.as_millis() as u64;
    node.record_submission(ms);
    if elapsed > SLOW {
        debug!(job = %name, ms, accepted = acceptance.is_some(), "slow submission");
    }
    Ok(acceptance.unwrap_or(Acceptance::Indeterminate))
}

/// The description as it is stored.
fn describe(node: &Node, spec: &JobSpec) -> Result<Document, SubmissionError> {
    let site_limit = node.settings.site.value_bytes;
    let chunk = chunk_size(site_limit);
    let description = Document::new(&description_record(spec, node.wall_clock_us(), chunk));
    if description.size() > node.key_value.limits().value_bytes.min(site_limit) {
        return Err(SubmissionError::DescriptionTooLong);
    }
    Ok(description)
}

/// Why the job can never run, if so.
///
/// # Errors
///
/// If that can't be decided yet.
fn unrunnable(
    node: &Node,
    name: &str,
    spec: &JobSpec,
) -> Result<Option<Unrunnable>, SubmissionError> {
    let types = node.machine_types.borrow();
    if types.is_empty() {
        return Err(SubmissionError::TypesUnknown);
    }
    let impossible = spec.infeasibility_reason(&node.settings.site.teams, &types);
    let depends_on_itself = spec.dependencies.iter().any(|dependency| dependency == name);
    Ok(impossible
        .map(Unrunnable::Impossible)
        .or_else(|| depends_on_itself.then(|| Unrunnable::DependsOnItself(name.to_owned()))))
}

/// Refuses what can never run, unless it was accepted once: then it is never refused, whatever has
/// changed since.
async fn refuse_unless_accepted(
    node: &Rc<Node>,
    name: String,
    reason: Unrunnable,
) -> Result<Accepted, SubmissionError> {
    if node.key_value.is_down() {
        return Err(SubmissionError::StoreDown);
    }
    let accepted = node.key_value.get(RequestClass::Submission, &keys::job(&name)).await?;
    if accepted.is_none() {
        info!(job = %name, %reason, "submission refused: the job can never run");
        return Err(reason.into());
    }
    node.user_api.known_jobs.learn_accepted(&name);
    known_job(node, name).await
}

/// The answer to a repeated submission. Like a poll it has to ask: another node may have answered the
/// user meanwhile that the job has ended.
async fn known_job(node: &Rc<Node>, name: String) -> Result<Accepted, SubmissionError> {
    let stage = match job_status(node, &name).await {
        JobStatus::Ended(end) => stage_of_end(end),
        JobStatus::Open => open_job(node, &name).stage,
        // Accepted for certain, so never "not found", whatever could not be read.
        JobStatus::NeverAccepted | JobStatus::Unclear => {
            return Err(SubmissionError::StatusUnclear)
        }
    };
    Ok(Accepted { name, stage, is_new: false })
}
