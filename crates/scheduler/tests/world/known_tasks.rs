//! Checks that a successor, which knows only what the store holds, would know of each task that was
//! sent to a machine and has not ended.

use std::collections::{BTreeMap, BTreeSet};

use walnutlug_scheduler::command::Command;
use walnutlug_scheduler::leadership::fencing_token::FencingToken;
use walnutlug_scheduler::model::ids::{AgentEpoch, Attempt};
use walnutlug_scheduler::protocol::workers::{parse_task_id, TaskState, WorkerCommand};
use walnutlug_scheduler::scheduler::Scheduler;

use super::Worker;

/// An attempt of a task that is on a machine, or that a message in flight can still start there.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord)]
pub struct SentTask {
    pub task: String,
    pub attempt: Attempt,
    pub machine: String,
    pub agent_epoch: AgentEpoch,
}

impl SentTask {
    /// Returns the name of the task's job.
    pub fn job(&self) -> &str {
        self.task.split_once('/').map_or(&self.task, |(job, _)| job)
    }
}

/// Returns the starts among the leader's commands.
pub fn sent_tasks(leader: &Scheduler, commands: &[Command]) -> BTreeSet<SentTask> {
    let mut sent = BTreeSet::new();
    for command in commands {
        let Command::SendToWorker { machine, agent_epoch, calls, .. } = command else { continue };
        let machine = &leader.cluster.machines[*machine].name;
        for call in calls {
            let WorkerCommand::Run { task, attempt } = call else { continue };
            sent.insert(SentTask {
                task: task.clone(),
                attempt: *attempt,
                machine: machine.clone(),
                agent_epoch: *agent_epoch,
            });
        }
    }
    sent
}

/// Returns the tasks that are live on a worker.
pub fn live_tasks(workers: &BTreeMap<String, Worker>) -> BTreeSet<SentTask> {
    let alive = workers.values().filter(|worker| worker.alive);
    alive.flat_map(live_tasks_of).collect()
}

/// Returns the attempts that workers show as exited.
pub fn exited_tasks(workers: &BTreeMap<String, Worker>) -> BTreeSet<SentTask> {
    let exited = |worker| tasks_with(worker, |state| state == TaskState::Exited);
    workers.values().flat_map(exited).collect()
}

fn live_tasks_of(worker: &Worker) -> impl Iterator<Item = SentTask> + '_ {
    tasks_with(worker, |state| state != TaskState::Exited)
}

fn tasks_with<'a>(
    worker: &'a Worker,
    has_state: impl Fn(TaskState) -> bool + 'a,
) -> impl Iterator<Item = SentTask> + 'a {
    let tasks = worker.tasks.iter().filter(move |(_, (state, _))| has_state(*state));
    tasks.map(|((task, attempt), _)| sent_task(worker, task, *attempt))
}

/// Returns the tasks that the worker would start if it received these commands now.
pub fn startable_tasks(
    worker: &Worker,
    token: FencingToken,
    agent_epoch: AgentEpoch,
    calls: &[WorkerCommand],
) -> BTreeSet<SentTask> {
    if !worker.alive || token < worker.token || agent_epoch != worker.agent_epoch {
        return BTreeSet::new();
    }
    let live = worker.live();
    let starts = calls.iter().filter_map(|call| match call {
        WorkerCommand::Run { task, attempt } => Some((task, *attempt)),
        _ => None,
    });
    let new = starts.filter(|(task, attempt)| {
        !live.contains(*task) && !worker.tasks.contains_key(&((*task).clone(), *attempt))
    });
    new.map(|(task, attempt)| sent_task(worker, task, attempt)).collect()
}

fn sent_task(worker: &Worker, task: &str, attempt: Attempt) -> SentTask {
    SentTask {
        task: task.to_owned(),
        attempt,
        machine: worker.name.clone(),
        agent_epoch: worker.agent_epoch,
    }
}

/// Asserts that the successor takes each of the tasks for placed on its machine, under the attempt
/// and agent epoch with which it was sent.
pub fn assert_known(successor: &Scheduler, sent: &BTreeSet<SentTask>) {
    for sent in sent {
        let known = known_task(successor, &sent.task);
        assert_eq!(known.as_ref(), Some(sent), "a successor doesn't know where {} is", sent.task);
    }
}

/// Returns where the scheduler takes the task to be; `None` if it takes it for pending or done.
fn known_task(scheduler: &Scheduler, name: &str) -> Option<SentTask> {
    let (job, index) = parse_task_id(name)?;
    let job = scheduler.cluster.job(*scheduler.cluster.jobs_by_name.get(job)?)?;
    let task = job.tasks.get(index).filter(|task| task.phase.placed())?;
    Some(SentTask {
        task: name.to_owned(),
        attempt: task.attempt,
        machine: scheduler.cluster.machines[task.machine].name.clone(),
        agent_epoch: task.agent_epoch,
    })
}
