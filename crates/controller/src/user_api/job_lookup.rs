//! Looks up the status of many jobs at once in the key-value store, including their dependencies.

use std::collections::{BTreeSet, HashMap, HashSet};
use std::rc::Rc;

use tokio::time::{Duration, Instant};
use walnutlug_scheduler::command::TransactionOutcome;
use walnutlug_scheduler::model::job_spec::JobEnd;
use walnutlug_scheduler::protocol::key_value::{Compare, Transaction};
use walnutlug_scheduler::storage::keys;
use walnutlug_scheduler::storage::revision::Revision;

use super::cancellation::{cancel_dependents, load_stored_end};
use super::known_jobs::KnownJob;
use super::status::JobStatus;
use crate::key_value_client::{KeyValueError, RequestClass};
use crate::node::Node;

/// Time after which a lookup starts no further round of reads.
const LOOKUP_DEADLINE: Duration = Duration::from_millis(1_500);
/// Limit on descriptions that are read one by one; for more, all descriptions with dependencies are
/// listed.
const MAX_INDIVIDUAL_READS: usize = 3;

/// Looks up jobs with transactions that only compare: for a job known to be accepted, whether it or any
/// of its dependencies has ended; for any other, whether it exists. A job returned as open had not ended
/// when the lookup was called. Jobs whose status can't be determined are missing from the result.
pub(super) async fn look_up_jobs(
    node: &Rc<Node>,
    names: Vec<String>,
    class: RequestClass,
) -> HashMap<String, JobStatus> {
    let mut lookup = JobLookup::new(node, names, class);
    let deadline = Instant::now() + LOOKUP_DEADLINE;
    while !lookup.undecided.is_empty() && Instant::now() < deadline {
        let reads = lookup.evaluate_all();
        if !lookup.perform_reads(reads).await {
            break;
        }
    }
    lookup.statuses
}

/// Reads needed to determine the status of the undecided jobs.
#[derive(Default)]
struct RequiredReads {
    /// Keys to compare with revision 0, which succeeds only if they are absent.
    keys_to_check: BTreeSet<String>,
    /// Accepted jobs without an end whose dependencies have not been read.
    dependencies_to_read: BTreeSet<String>,
}

/// State of a lookup over several rounds of reads.
struct JobLookup<'a> {
    node: &'a Rc<Node>,
    class: RequestClass,
    undecided: Vec<String>,
    statuses: HashMap<String, JobStatus>,
    /// Keys that this lookup has found to be absent.
    absent_keys: HashSet<String>,
    /// Whether a round has read dependencies. Later rounds list all descriptions with dependencies at
    /// once, instead of following a long chain job by job.
    has_read_dependencies: bool,
}

impl<'a> JobLookup<'a> {
    fn new(node: &'a Rc<Node>, undecided: Vec<String>, class: RequestClass) -> JobLookup<'a> {
        JobLookup {
            node,
            class,
            undecided,
            statuses: HashMap::new(),
            absent_keys: HashSet::new(),
            has_read_dependencies: false,
        }
    }

    /// Stores the status of every job that can be determined, and returns the reads for the others.
    fn evaluate_all(&mut self) -> RequiredReads {
        let mut reads = RequiredReads::default();
        for name in std::mem::take(&mut self.undecided) {
            match self.evaluate(&name, &mut reads) {
                Some(status) => {
                    self.statuses.insert(name, status);
                }
                None => self.undecided.push(name),
            }
        }
        reads
    }

    /// Returns the job's status, or `None` if further reads are needed, which are added to `reads`.
    fn evaluate(&self, name: &str, reads: &mut RequiredReads) -> Option<JobStatus> {
        let known_jobs = &self.node.user_api.known_jobs;
        let mut is_certain = true;
        for job in known_jobs.with_dependencies(name) {
            let is_target = job == name;
            match known_jobs.get(&job) {
                Some(KnownJob::Ended(end)) if is_target => return Some(JobStatus::Ended(end)),
                // A cancelled dependency, since finished ones are left out. `perform_reads` cancels the
                // jobs that depend on it.
                Some(KnownJob::Ended(_)) => is_certain = false,
                Some(KnownJob::Accepted(dependencies)) => {
                    let key = keys::end(&job);
                    let is_open = self.absent_keys.contains(&key);
                    is_certain &= is_open && dependencies.is_some();
                    if !is_open {
                        reads.keys_to_check.insert(key);
                    } else if dependencies.is_none() {
                        reads.dependencies_to_read.insert(job);
                    }
                }
                None => {
                    let key = keys::job(&job);
                    if !self.absent_keys.contains(&key) {
                        is_certain = false;
                        reads.keys_to_check.insert(key);
                    } else if is_target {
                        return Some(JobStatus::NeverAccepted);
                    }
                    // Otherwise a damaged record names a dependency that was never submitted; ignored.
                }
            }
        }
        is_certain.then_some(JobStatus::Open)
    }

    /// Cancels jobs with a cancelled dependency, performs the reads, and returns whether any progress was
    /// made.
    async fn perform_reads(
        &mut self,
        RequiredReads { keys_to_check, dependencies_to_read }: RequiredReads,
    ) -> bool {
        let to_cancel = self.undecided_with_cancelled_dependency();
        let cancelled = !to_cancel.is_empty() && cancel_dependents(self.node, &to_cancel).await;
        let compared = !keys_to_check.is_empty() && self.check_absence(keys_to_check).await;
        let read = !dependencies_to_read.is_empty()
            && self.read_dependencies(dependencies_to_read).await.is_ok();
        self.has_read_dependencies |= read;
        cancelled || compared || read
    }

    fn undecided_with_cancelled_dependency(&self) -> Vec<String> {
        let known_jobs = &self.node.user_api.known_jobs;
        let depends_on_cancelled = |name: &&String| {
            let jobs = known_jobs.with_dependencies(name);
            jobs.iter().any(|job| known_jobs.end(job) == Some(JobEnd::Cancelled))
        };
        self.undecided.iter().filter(depends_on_cancelled).cloned().collect()
    }

    /// Checks which keys are absent, notes those, and records what the existing ones say about their
    /// jobs. Returns whether anything new is known.
    async fn check_absence(&mut self, keys: BTreeSet<String>) -> bool {
        let mut remaining: Vec<String> = keys.into_iter().collect();
        let mut recorded_any = false;
        while !remaining.is_empty() {
            let chunk_start = remaining.len().saturating_sub(self.node.key_value.max_compares());
            let expect_absent =
                |key: &String| Compare { key: key.clone(), revision: Revision::NONE };
            let compares = remaining[chunk_start..].iter().map(expect_absent).collect();
            let transaction = Transaction { compares, operations: Vec::new() };
            match self.node.key_value.commit(self.class, &transaction).await {
                TransactionOutcome::Committed { .. } => {
                    recorded_any = true;
                    self.absent_keys.extend(remaining.split_off(chunk_start));
                }
                TransactionOutcome::Conflict { failed } => {
                    let before = remaining.len();
                    remaining.retain(|key| !failed.contains(key));
                    if remaining.len() == before {
                        return recorded_any; // Invalid response: names none of the compared keys.
                    }
                    recorded_any |= self.record_existing(&failed).await;
                }
                TransactionOutcome::Rejected
                | TransactionOutcome::Indeterminate
                | TransactionOutcome::TooLarge => return recorded_any,
            }
        }
        recorded_any
    }

    /// Records what the existing keys say about their jobs, and returns whether anything was recorded.
    async fn record_existing(&self, existing: &[String]) -> bool {
        let mut recorded_any = false;
        for key in existing {
            if let Some(name) = key.strip_prefix(keys::JOB) {
                self.node.user_api.known_jobs.record_accepted(name);
                recorded_any = true;
            } else if let Some(name) = key.strip_prefix(keys::END) {
                recorded_any |= load_stored_end(self.node, name).await;
            }
        }
        recorded_any
    }

    /// Reads the dependencies of jobs that had no end when they were checked. A job that is missing among
    /// the descriptions with dependencies has none, or its records were deleted meanwhile and its end is
    /// found later.
    async fn read_dependencies(&self, names: BTreeSet<String>) -> Result<(), KeyValueError> {
        let (key_value, known_jobs) = (&self.node.key_value, &self.node.user_api.known_jobs);
        if !self.has_read_dependencies && names.len() <= MAX_INDIVIDUAL_READS {
            for name in &names {
                let found = key_value.get(self.class, &keys::description(name, true)).await?;
                let dependencies = found.map(|found| dependencies_in(&found.value));
                known_jobs.record_dependencies(name, dependencies.unwrap_or_default());
            }
            return Ok(());
        }
        let mut chained = key_value.list(self.class, keys::CHAINED);
        while let Some(page) = chained.next_page().await? {
            for found in page {
                if let Some(name) = found.key.strip_prefix(keys::CHAINED) {
                    known_jobs.record_dependencies(name, dependencies_in(&found.value));
                }
            }
        }
        for name in names {
            if matches!(known_jobs.get(&name), Some(KnownJob::Accepted(None))) {
                known_jobs.record_dependencies(&name, Rc::default());
            }
        }
        Ok(())
    }
}

/// Extracts the dependencies from a stored description. An unreadable description counts as having none,
/// since there is nothing to look up.
fn dependencies_in(description: &serde_json::Value) -> Rc<[String]> {
    let names = serde_json::from_value::<Vec<String>>(description["spec"]["needs"].clone());
    names.unwrap_or_default().into()
}
