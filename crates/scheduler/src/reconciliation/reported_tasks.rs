//! The task list of a heartbeat, with each entry resolved to the task it names.

use crate::model::cluster::Cluster;
use crate::model::ids::TaskId;
use crate::protocol::workers::{parse_task_id, Heartbeat, TaskState, TaskStatus};

/// One entry of a heartbeat's task list.
pub(crate) struct ReportedTask<'a> {
    /// State of the attempt as reported by the worker.
    pub(crate) status: &'a TaskStatus,
    /// Task that the entry names, or `None` if the scheduler does not know it.
    pub(crate) id: Option<TaskId>,
}

impl ReportedTask<'_> {
    /// Returns whether the attempt still occupies resources on the machine.
    pub(crate) fn is_live(&self) -> bool {
        self.status.state != TaskState::Exited
    }
}

/// Task list of a heartbeat. A worker may report several attempts of the same task.
pub(crate) struct ReportedTasks<'a> {
    /// Entries in the order of the heartbeat.
    entries: Vec<ReportedTask<'a>>,
    /// Entries of known tasks, sorted by task; entries of the same task keep the order of the
    /// heartbeat.
    by_task: Vec<(TaskId, &'a TaskStatus)>,
}

impl<'a> ReportedTasks<'a> {
    /// Resolves the task names of a heartbeat, each once.
    pub(crate) fn resolve(cluster: &Cluster, heartbeat: &'a Heartbeat) -> ReportedTasks<'a> {
        let resolve =
            |status: &'a TaskStatus| ReportedTask { status, id: known_task(cluster, &status.task) };
        let entries: Vec<ReportedTask<'a>> = heartbeat.tasks.iter().map(resolve).collect();
        let known = entries.iter().filter_map(|entry| Some((entry.id?, entry.status)));
        let mut by_task: Vec<(TaskId, &'a TaskStatus)> = known.collect();
        by_task.sort_by_key(|(id, _)| *id);
        ReportedTasks { entries, by_task }
    }

    /// Iterates over all entries in the order of the heartbeat.
    pub(crate) fn iter(&self) -> impl Iterator<Item = &ReportedTask<'a>> {
        self.entries.iter()
    }

    /// Returns the entry with the highest attempt number of the task.
    pub(crate) fn newest(&self, id: TaskId) -> Option<&'a TaskStatus> {
        self.attempts(id)
            .reduce(|best, entry| if entry.attempt > best.attempt { entry } else { best })
    }

    /// Returns whether any attempt of the task still occupies resources on the machine.
    pub(crate) fn any_live(&self, id: TaskId) -> bool {
        self.attempts(id).any(|entry| entry.state != TaskState::Exited)
    }

    fn attempts(&self, id: TaskId) -> impl Iterator<Item = &'a TaskStatus> + '_ {
        let begin = self.by_task.partition_point(|(other, _)| *other < id);
        let same_task = self.by_task[begin..].iter().take_while(move |(other, _)| *other == id);
        same_task.map(|(_, entry)| *entry)
    }
}

/// Looks up a task by its name, for example `req-000412/3`.
fn known_task(cluster: &Cluster, name: &str) -> Option<TaskId> {
    let (job_name, index) = parse_task_id(name)?;
    let &job_index = cluster.jobs_by_name.get(job_name)?;
    let exists = index < cluster.job(job_index)?.tasks.len();
    exists.then_some(TaskId { job: job_index, index })
}
