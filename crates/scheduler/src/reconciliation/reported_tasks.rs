//! The task list of a heartbeat, with the known task that each entry names.

use crate::model::cluster::Cluster;
use crate::model::job::TaskId;
use crate::protocol::workers::{parse_task_id, Heartbeat, TaskState, TaskStatus};

/// One entry of a heartbeat's task list.
pub(crate) struct ReportedTask<'a> {
    /// What the worker reports.
    pub(crate) status: &'a TaskStatus,
    /// The known task that it names, if there is one.
    pub(crate) id: Option<TaskId>,
}

impl ReportedTask<'_> {
    /// Whether the attempt still occupies the machine.
    pub(crate) fn is_live(&self) -> bool {
        self.status.state != TaskState::Exited
    }
}

/// The task list of a heartbeat. A worker may report several attempts of one task.
pub(crate) struct ReportedTasks<'a> {
    /// In the order of the heartbeat.
    entries: Vec<ReportedTask<'a>>,
    /// The entries that name known tasks, by task; those of one task in the order of the heartbeat.
    by_task: Vec<(TaskId, &'a TaskStatus)>,
}

impl<'a> ReportedTasks<'a> {
    /// Looks up the tasks of a heartbeat, each once.
    pub(crate) fn resolve(cluster: &Cluster, heartbeat: &'a Heartbeat) -> ReportedTasks<'a> {
        let resolve =
            |status: &'a TaskStatus| ReportedTask { status, id: known_task(cluster, &status.task) };
        let entries: Vec<ReportedTask<'a>> = heartbeat.tasks.iter().map(resolve).collect();
        let known = entries.iter().filter_map(|entry| Some((entry.id?, entry.status)));
        let mut by_task: Vec<(TaskId, &'a TaskStatus)> = known.collect();
        by_task.sort_by_key(|(id, _)| *id);
        ReportedTasks { entries, by_task }
    }

    /// All entries, in the order of the heartbeat.
    pub(crate) fn iter(&self) -> impl Iterator<Item = &ReportedTask<'a>> {
        self.entries.iter()
    }

    /// The entry of the task's highest attempt.
    pub(crate) fn newest(&self, id: TaskId) -> Option<&'a TaskStatus> {
        self.attempts(id)
            .reduce(|best, entry| if entry.attempt > best.attempt { entry } else { best })
    }

    /// Whether any attempt of the task occupies the machine.
    pub(crate) fn any_live(&self, id: TaskId) -> bool {
        self.attempts(id).any(|entry| entry.state != TaskState::Exited)
    }

    fn attempts(&self, id: TaskId) -> impl Iterator<Item = &'a TaskStatus> + '_ {
        let begin = self.by_task.partition_point(|(other, _)| *other < id);
        let same_task = self.by_task[begin..].iter().take_while(move |(other, _)| *other == id);
        same_task.map(|(_, entry)| *entry)
    }
}

/// The known task of that name (`req-000412/3`).
fn known_task(cluster: &Cluster, name: &str) -> Option<TaskId> {
    let (job_name, index) = parse_task_id(name)?;
    let &job_index = cluster.jobs_by_name.get(job_name)?;
    let exists = (index as usize) < cluster.job(job_index)?.tasks.len();
    exists.then_some((job_index, index))
}
