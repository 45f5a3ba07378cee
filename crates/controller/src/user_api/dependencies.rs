//! Looks up the dependencies of a job at the time of its submission.

use std::collections::HashMap;
use std::rc::Rc;

use tokio::time::{timeout, Duration};
use walnutlug_scheduler::model::job_spec::JobEnd;

use super::job_lookup::look_up_jobs;
use super::status::JobStatus;
use crate::key_value_client::RequestClass;
use crate::node::Node;

/// Longest wait for the lookup if all dependencies are already known to be accepted.
const KNOWN_JOBS_TIMEOUT: Duration = Duration::from_millis(80);

/// Combined status of a submission's dependencies.
pub(super) enum Dependencies {
    /// The dependencies that were not done at the lookup; empty if all are done.
    Open(Vec<String>),
    /// At least one dependency is cancelled, directly or because of its own dependencies.
    Cancelled,
    /// The store has no record of this dependency.
    Missing(String),
    /// The status of at least one dependency can't be read now.
    Unknown,
}

/// Reads the status of a new job's dependencies. Those that are done are dropped, because a stored end
/// never changes. If all are known to be accepted, a slow lookup is abandoned and they count as open; the
/// leader later cancels the job if one of them was cancelled.
pub(super) async fn look_up_dependencies(node: &Rc<Node>, names: &[String]) -> Dependencies {
    let all_known = names.iter().all(|name| node.user_api.known_jobs.contains(name));
    let lookup = look_up_jobs(node, names.to_vec(), RequestClass::Submission);
    tokio::pin!(lookup);
    let found = match timeout(KNOWN_JOBS_TIMEOUT, &mut lookup).await {
        Ok(found) => found,
        Err(_) if all_known => HashMap::new(),
        Err(_) => lookup.await,
    };
    let (mut open, mut is_unknown, mut is_cancelled) = (Vec::new(), false, false);
    for name in names {
        match found.get(name).copied().unwrap_or(JobStatus::Unknown) {
            JobStatus::NeverAccepted => return Dependencies::Missing(name.clone()),
            JobStatus::Ended(JobEnd::Cancelled) => is_cancelled = true,
            JobStatus::Ended(JobEnd::Done) => {}
            JobStatus::Open => open.push(name.clone()),
            JobStatus::Unknown if all_known => open.push(name.clone()),
            JobStatus::Unknown => is_unknown = true,
        }
    }
    // Decided only after the loop has seen every dependency: returning at the first cancelled one hid
    // that a later one had never been submitted.
    match (is_unknown, is_cancelled) {
        (true, _) => Dependencies::Unknown,
        (false, true) => Dependencies::Cancelled,
        (false, false) => Dependencies::Open(open),
    }
}
