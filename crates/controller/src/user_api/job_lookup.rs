//! How jobs stand, asked of the key-value store: many at once, each with all that it depends on.

use std::collections::{BTreeSet, HashMap, HashSet};
use std::rc::Rc;

use tokio::time::{Duration, Instant};
use walnutlug_scheduler::command::TransactionOutcome;
use walnutlug_scheduler::model::job_spec::JobEnd;
use walnutlug_scheduler::protocol::key_value::{Compare, Transaction};
use walnutlug_scheduler::storage::keys;
use walnutlug_scheduler::storage::revision::Revision;

use super::cancellation::{cancel_dependents, learn_stored_end};
use super::known_jobs::KnownJob;
use super::status::JobStatus;
use crate::key_value_client::{KeyValueError, RequestClass};
use crate::node::Node;

/// How long a lookup goes on asking.
const LOOKUP_DEADLINE: Duration = Duration::from_millis(1_500);
/// Jobs whose descriptions are read one by one; for more, the list of all is read.
const MAX_READ_ONE_BY_ONE: usize = 3;

/// Asks for many jobs in transactions that only compare: of one known to be accepted whether it, or
/// anything that it depends on, has ended; of any other whether it exists. What is not ended by then
/// was not ended when it was asked. Jobs that can't be decided are absent from the result.
pub(super) async fn look_up_jobs(
    node: &Rc<Node>,
    names: Vec<String>,
    class: RequestClass,
) -> HashMap<String, JobStatus> {
    let mut lookup = JobLookup::new(node, names, class);
    let deadline = Instant::now() + LOOKUP_DEADLINE;
    while !lookup.undecided.is_empty() && Instant::now() < deadline {
        let questions = lookup.decide();
        if !lookup.answer(questions).await {
            break;
        }
    }
    lookup.found
}

/// What has to be read for the jobs that are undecided.
#[derive(Default)]
struct Questions {
    /// Keys to compare with nothing.
    compare: BTreeSet<String>,
    /// Accepted and open jobs whose dependencies are not known.
    unread: BTreeSet<String>,
}

/// One lookup of some jobs.
struct JobLookup<'a> {
    node: &'a Rc<Node>,
    class: RequestClass,
    undecided: Vec<String>,
    found: HashMap<String, JobStatus>,
    /// Keys that were compared and are absent, as of this lookup.
    absent: HashSet<String>,
    /// Whether dependencies were read once. A chain that goes on is read as a whole, not step by step.
    has_read: bool,
}

impl<'a> JobLookup<'a> {
    fn new(node: &'a Rc<Node>, undecided: Vec<String>, class: RequestClass) -> JobLookup<'a> {
        JobLookup {
            node,
            class,
            undecided,
            found: HashMap::new(),
            absent: HashSet::new(),
            has_read: false,
        }
    }

    /// Decides the jobs for which enough is known, and returns what to ask for the others.
    fn decide(&mut self) -> Questions {
        let mut questions = Questions::default();
        for name in std::mem::take(&mut self.undecided) {
            match self.status(&name, &mut questions) {
                Some(status) => {
                    self.found.insert(name, status);
                }
                None => self.undecided.push(name),
            }
        }
        questions
    }

    /// How the job stands, or `None` after adding to the questions.
    fn status(&self, name: &str, questions: &mut Questions) -> Option<JobStatus> {
        let known_jobs = &self.node.user_api.known_jobs;
        let mut is_certain = true;
        for link in known_jobs.with_dependencies(name) {
            let is_itself = link == name;
            match known_jobs.get(&link) {
                Some(KnownJob::Ended(end)) if is_itself => return Some(JobStatus::Ended(end)),
                // Only cancelled dependencies are among the links; `answer` ends what depends on them.
                Some(KnownJob::Ended(_)) => is_certain = false,
                Some(KnownJob::Accepted(dependencies)) => {
                    let key = keys::end(&link);
                    let is_open = self.absent.contains(&key);
                    is_certain &= is_open && dependencies.is_some();
                    if !is_open {
                        questions.compare.insert(key);
                    } else if dependencies.is_none() {
                        questions.unread.insert(link);
                    }
                }
                None => {
                    let key = keys::job(&link);
                    if !self.absent.contains(&key) {
                        is_certain = false;
                        questions.compare.insert(key);
                    } else if is_itself {
                        return Some(JobStatus::NeverAccepted);
                    }
                    // Otherwise a damaged record names a job that never was.
                }
            }
        }
        is_certain.then_some(JobStatus::Open)
    }

    /// Has the questions answered by the store. Whether anything was learned.
    async fn answer(&mut self, Questions { compare, unread }: Questions) -> bool {
        let to_cancel = self.depending_on_cancelled();
        let cancelled = !to_cancel.is_empty() && cancel_dependents(self.node, &to_cancel).await;
        let compared = !compare.is_empty() && self.compare(compare).await;
        let read = !unread.is_empty() && self.read_dependencies(unread).await.is_ok();
        self.has_read |= read;
        cancelled || compared || read
    }

    fn depending_on_cancelled(&self) -> Vec<String> {
        let known_jobs = &self.node.user_api.known_jobs;
        let depends_on_cancelled = |name: &&String| {
            let links = known_jobs.with_dependencies(name);
            links.iter().any(|link| known_jobs.end(link) == Some(JobEnd::Cancelled))
        };
        self.undecided.iter().filter(depends_on_cancelled).cloned().collect()
    }

    /// Compares the keys with nothing. Those that exist are learned, the others noted as absent.
    /// Whether anything came of it.
    async fn compare(&mut self, keys: BTreeSet<String>) -> bool {
        let mut left: Vec<String> = keys.into_iter().collect();
        let mut learned_any = false;
        while !left.is_empty() {
            let rest = left.len().saturating_sub(self.node.key_value.max_compares());
            let absent = |key: &String| Compare { key: key.clone(), revision: Revision::NONE };
            let compares = left[rest..].iter().map(absent).collect();
            let transaction = Transaction { compares, operations: Vec::new() };
            match self.node.key_value.commit(self.class, &transaction).await {
                TransactionOutcome::Committed { .. } => {
                    learned_any = true;
                    self.absent.extend(left.split_off(rest));
                }
                TransactionOutcome::Conflict { failed } => {
                    let before = left.len();
                    left.retain(|key| !failed.contains(key));
                    if left.len() == before {
                        return learned_any; // A conflict on none of the keys makes no sense.
                    }
                    learned_any |= self.learn_existing(&failed).await;
                }
                TransactionOutcome::Rejected
                | TransactionOutcome::Indeterminate
                | TransactionOutcome::TooLarge => return learned_any,
            }
        }
        learned_any
    }

    /// The keys exist. Whether any job was learned by that.
    async fn learn_existing(&self, existing: &[String]) -> bool {
        let mut learned_any = false;
        for key in existing {
            if let Some(name) = key.strip_prefix(keys::JOB) {
                self.node.user_api.known_jobs.learn_accepted(name);
                learned_any = true;
            } else if let Some(name) = key.strip_prefix(keys::END) {
                learned_any |= learn_stored_end(self.node, name).await;
            }
        }
        learned_any
    }

    /// Reads what the jobs depend on, which were not ended when they were compared. One without a
    /// description among those that have dependencies has none (or its records went meanwhile, and its
    /// end is met).
    async fn read_dependencies(&self, names: BTreeSet<String>) -> Result<(), KeyValueError> {
        let (key_value, known_jobs) = (&self.node.key_value, &self.node.user_api.known_jobs);
        if !self.has_read && names.len() <= MAX_READ_ONE_BY_ONE {
            for name in &names {
                let found = key_value.get(self.class, &keys::description(name, true)).await?;
                let dependencies = found.map(|found| dependencies_in(&found.value));
                known_jobs.learn_dependencies(name, dependencies.unwrap_or_default());
            }
            return Ok(());
        }
        for found in key_value.list(self.class, keys::CHAINED).await?.key_values {
            if let Some(name) = found.key.strip_prefix(keys::CHAINED) {
                known_jobs.learn_dependencies(name, dependencies_in(&found.value));
            }
        }
        for name in names {
            if matches!(known_jobs.get(&name), Some(KnownJob::Accepted(None))) {
                known_jobs.learn_dependencies(&name, Rc::default());
            }
        }
        Ok(())
    }
}

/// The dependencies in a stored description. One that can't be read names nothing that could be looked
/// for.
fn dependencies_in(description: &serde_json::Value) -> Rc<[String]> {
    let names = serde_json::from_value::<Vec<String>>(description["spec"]["needs"].clone());
    names.unwrap_or_default().into()
}
