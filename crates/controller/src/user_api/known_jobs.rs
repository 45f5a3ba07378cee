//! Per-node cache of jobs: their confirmed state from the key-value store, and task counts broadcast by
//! the leader, which are for display only.

use std::cell::RefCell;
use std::collections::{HashMap, HashSet};
use std::rc::Rc;

use walnutlug_scheduler::model::job_spec::JobEnd;
use walnutlug_scheduler::protocol::users::is_job_id;

/// Limit on cached jobs, at some hundred bytes each.
const MAX_JOBS: usize = 50_000;

/// Confirmed state of a job. It only moves forward, from accepted to ended.
#[derive(Debug, Clone, PartialEq, Eq)]
pub(super) enum KnownJob {
    /// Accepted, with its dependencies once they have been read; they never change.
    Accepted(Option<Rc<[String]>>),
    Ended(JobEnd),
}

/// Numbers of a job's finished and running tasks, as shown to users.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub(crate) struct TaskCounts {
    /// Number of tasks that have finished.
    pub(crate) done: u32,
    /// Number of tasks that are running now.
    pub(crate) running: u32,
}

/// Cache of job states and task counts. Entries may be dropped at any time and are then read again.
#[derive(Debug, Default)]
pub(crate) struct KnownJobs {
    jobs: RefCell<HashMap<String, KnownJob>>,
    progress: RefCell<HashMap<String, TaskCounts>>,
}

impl KnownJobs {
    /// Records that the store holds the job as accepted, without knowing its dependencies.
    pub(super) fn record_accepted(&self, name: &str) {
        self.record(name, KnownJob::Accepted(None));
    }

    /// Records that the store holds the job as accepted, with these dependencies.
    pub(super) fn record_dependencies(&self, name: &str, dependencies: Rc<[String]>) {
        self.record(name, KnownJob::Accepted(Some(dependencies)));
    }

    /// Records the job's stored end and drops its task counts.
    pub(crate) fn record_end(&self, name: &str, end: JobEnd) {
        self.progress.borrow_mut().remove(name);
        self.record(name, KnownJob::Ended(end));
    }

    fn record(&self, name: &str, job: KnownJob) {
        let mut jobs = self.jobs.borrow_mut();
        if jobs.len() > MAX_JOBS {
            // The key-value store keeps all job records, so dropped entries are read again when needed.
            jobs.clear();
        }
        let adds_nothing = matches!(
            (jobs.get(name), &job),
            // A stored end never changes.
            (Some(KnownJob::Ended(_)), _)
                | (Some(KnownJob::Accepted(Some(_))), KnownJob::Accepted(None))
        );
        if !adds_nothing {
            jobs.insert(name.to_owned(), job);
        }
    }

    pub(super) fn get(&self, name: &str) -> Option<KnownJob> {
        self.jobs.borrow().get(name).cloned()
    }

    pub(super) fn contains(&self, name: &str) -> bool {
        self.jobs.borrow().contains_key(name)
    }

    /// Returns the job's end if this node has recorded one.
    pub(crate) fn end(&self, name: &str) -> Option<JobEnd> {
        match self.jobs.borrow().get(name) {
            Some(KnownJob::Ended(end)) => Some(*end),
            Some(KnownJob::Accepted(_)) | None => None,
        }
    }

    /// Returns the job itself, first, and its direct and transitive dependencies as far as they are
    /// cached. Finished dependencies, and theirs, can no longer block the job and are left out.
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

    /// Stores the task counts of an open job, as received from the leader.
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

    /// Drops the task counts of a job that another node reports as ended.
    pub(crate) fn forget_progress(&self, name: &str) {
        self.progress.borrow_mut().remove(name);
    }

    pub(super) fn progress(&self, name: &str) -> Option<TaskCounts> {
        self.progress.borrow().get(name).copied()
    }
}
