//! The jobs that a new one depends on, as they stand when it is submitted.

use std::collections::HashMap;
use std::rc::Rc;

use tokio::time::{timeout, Duration};
use walnutlug_scheduler::model::job_spec::JobEnd;

use super::job_lookup::look_up_jobs;
use super::status::JobStatus;
use crate::key_value_client::RequestClass;
use crate::node::Node;

/// How long a submission waits for the state of the jobs that it names, if all are known.
const WAIT_FOR_KNOWN: Duration = Duration::from_millis(80);

/// What a new job has to wait for.
pub(super) enum Dependencies {
    /// These, which may end at any time; none, if all are done.
    Open(Vec<String>),
    /// One that is cancelled, or depends on one that is.
    Cancelled,
    /// One that was certainly never accepted.
    Missing(String),
    /// Their state can't be read now.
    Unclear,
}

/// Reads the state of the jobs that a new one depends on. Those whose stored end is `done` are left
/// out: an end never changes. Where all are known to be accepted a slow answer isn't waited for:
/// whatever was cancelled meanwhile the leader finds.
pub(super) async fn look_up_dependencies(node: &Rc<Node>, names: &[String]) -> Dependencies {
    let all_known = names.iter().all(|name| node.user_api.known_jobs.contains(name));
    let lookup = look_up_jobs(node, names.to_vec(), RequestClass::Submission);
    tokio::pin!(lookup);
    let found = match timeout(WAIT_FOR_KNOWN, &mut lookup).await {
        Ok(found) => found,
        Err(_) if all_known => HashMap::new(),
        Err(_) => lookup.await,
    };
    let (mut open, mut is_unclear, mut is_cancelled) = (Vec::new(), false, false);
    for name in names {
        match found.get(name).copied().unwrap_or(JobStatus::Unclear) {
            JobStatus::NeverAccepted => return Dependencies::Missing(name.clone()),
            JobStatus::Ended(JobEnd::Cancelled) => is_cancelled = true,
            JobStatus::Ended(JobEnd::Done) => {}
            JobStatus::Open => open.push(name.clone()),
            JobStatus::Unclear if all_known => open.push(name.clone()),
            JobStatus::Unclear => is_unclear = true,
        }
    }
    // All of them have to be looked at: a cancelled one, answered first, once hid that another was
    // never submitted by anybody.
    match (is_unclear, is_cancelled) {
        (true, _) => Dependencies::Unclear,
        (false, true) => Dependencies::Cancelled,
        (false, false) => Dependencies::Open(open),
    }
}
