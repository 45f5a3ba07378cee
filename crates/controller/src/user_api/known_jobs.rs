//! What this node knows of jobs: for certain from the key-value store, and for display from the leader.

use std::cell::RefCell;
use std::collections::{HashMap, HashSet};
use std::rc::Rc;

use walnutlug_scheduler::model::job_spec::JobEnd;
use walnutlug_scheduler::protocol::users::is_job_id;

/// Jobs remembered at a node, at some hundred bytes each.
const MAX_JOBS: usize = 50_000;

/// What is certain of a job. It only ever goes on, from accepted to ended.
#[derive(Debug, Clone, PartialEq, Eq)]
pub(super) enum KnownJob {
    /// With the jobs that it depends on, once they are read: they never change.
    Accepted(Option<Rc<[String]>>),
    Ended(JobEnd),
}

/// How many tasks of a job are done and how many run, for display.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub(crate) struct TaskCounts {
    /// Tasks done.
    pub(crate) done: u32,
    /// Tasks running.
    pub(crate) running: u32,
}

/// The jobs that this node knows.
#[derive(Debug, Default)]
pub(crate) struct KnownJobs {
    jobs: RefCell<HashMap<String, KnownJob>>,
    progress: RefCell<HashMap<String, TaskCounts>>,
}

impl KnownJobs {
    /// The job was accepted, for certain; what it depends on isn't known.
    pub(super) fn learn_accepted(&self, name: &str) {
        self.learn(name, KnownJob::Accepted(None));
    }

    /// The job was accepted, for certain, and depends on these.
    pub(super) fn learn_dependencies(&self, name: &str, dependencies: Rc<[String]>) {
        self.learn(name, KnownJob::Accepted(Some(dependencies)));
    }

    /// The job has ended, for certain.
    pub(crate) fn record_end(&self, name: &str, end: JobEnd) {
        self.progress.borrow_mut().remove(name);
        self.learn(name, KnownJob::Ended(end));
    }

    fn learn(&self, name: &str, job: KnownJob) {
        let mut jobs = self.jobs.borrow_mut();
        if jobs.len() > MAX_JOBS {
            // Only a cache of what the key-value store keeps for ever: it is read again.
            jobs.clear();
        }
        let says_nothing_new = matches!(
            (jobs.get(name), &job),
            // An end never changes.
            (Some(KnownJob::Ended(_)), _)
                | (Some(KnownJob::Accepted(Some(_))), KnownJob::Accepted(None))
        );
        if !says_nothing_new {
            jobs.insert(name.to_owned(), job);
        }
    }

    pub(super) fn get(&self, name: &str) -> Option<KnownJob> {
        self.jobs.borrow().get(name).cloned()
    }

    pub(super) fn contains(&self, name: &str) -> bool {
        self.jobs.borrow().contains_key(name)
    }

    /// How the job ended, if it is known to have.
    pub(crate) fn end(&self, name: &str) -> Option<JobEnd> {
        match self.jobs.borrow().get(name) {
            Some(KnownJob::Ended(end)) => Some(*end),
            Some(KnownJob::Accepted(_)) | None => None,
        }
    }

    /// The job itself, first, and all that it depends on, directly or through others, as far as is
    /// known here. What is done, and what that depends on, can't hold it up any more and is left out.
    pub(super) fn with_dependencies(&self, name: &str) -> Vec<String> {
        let jobs = self.jobs.borrow();
        let mut found: Vec<String> = vec![name.to_owned()];
        let mut seen: HashSet<&str> = HashSet::from([name]);
        let mut next = 0;
        while next < found.len() {
            if let Some(KnownJob::Accepted(Some(dependencies))) = jobs.get(&found[next]) {
                for dependency in dependencies.iter() {
                    let is_done =
                        matches!(jobs.get(dependency), Some(KnownJob::Ended(JobEnd::Done)));
                    if !is_done && seen.insert(dependency) {
                        found.push(dependency.clone());
                    }
                }
            }
            next += 1;
        }
        found
    }

    /// A job's counts, as the leader broadcasts them.
    pub(crate) fn record_progress(&self, name: &str, counts: TaskCounts) {
        if !is_job_id(name) || self.end(name).is_some() {
            return;
        }
        let mut progress = self.progress.borrow_mut();
        if progress.len() > MAX_JOBS {
            progress.clear();
        }
        progress.insert(name.to_owned(), counts);
    }

    /// A job has ended by the word of another node: its counts are of no more use.
    pub(crate) fn forget_progress(&self, name: &str) {
        self.progress.borrow_mut().remove(name);
    }

    pub(super) fn progress(&self, name: &str) -> Option<TaskCounts> {
        self.progress.borrow().get(name).copied()
    }
}
