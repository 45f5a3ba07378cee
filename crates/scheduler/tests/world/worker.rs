//! A scripted worker.

use std::collections::{BTreeMap, BTreeSet};

use walnutlug_scheduler::leadership::fencing_token::FencingToken;
use walnutlug_scheduler::model::ids::{AgentEpoch, Attempt};
use walnutlug_scheduler::protocol::workers::{
    ExitReason, Heartbeat, TaskState, TaskStatus, WorkerCommand,
};

/// A worker that follows the worker protocol.
#[derive(Debug, Clone)]
pub struct Worker {
    pub name: String,
    pub zone: String,
    pub agent_epoch: AgentEpoch,
    pub sequence: u64,
    pub token: FencingToken,
    pub tasks: BTreeMap<(String, Attempt), (TaskState, Option<ExitReason>)>,
    pub alive: bool,
    /// Interruption notice that its heartbeats report, in seconds.
    pub interruption_at: Option<f64>,
    pub spot: bool,
}

impl Worker {
    pub fn new(name: &str, zone: &str) -> Worker {
        Worker {
            name: name.to_owned(),
            zone: zone.to_owned(),
            agent_epoch: AgentEpoch(1),
            sequence: 0,
            token: FencingToken(0),
            tasks: BTreeMap::new(),
            alive: true,
            interruption_at: None,
            spot: false,
        }
    }

    /// Returns its next heartbeat.
    pub fn heartbeat(&mut self) -> Heartbeat {
        self.sequence += 1;
        Heartbeat {
            machine: self.name.clone(),
            address: "10.0.0.1:1".into(),
            kind: "t8".into(),
            zone: self.zone.clone(),
            spot: self.spot,
            agent_epoch: self.agent_epoch,
            sequence: self.sequence,
            token: self.token,
            interruption_notice_s: self.interruption_at,
            tasks: self
                .tasks
                .iter()
                .map(|((task, attempt), (state, cause))| TaskStatus {
                    task: task.clone(),
                    attempt: *attempt,
                    state: *state,
                    cause: *cause,
                })
                .collect(),
        }
    }

    fn execute(&mut self, calls: &[WorkerCommand]) {
        for call in calls {
            match call {
                WorkerCommand::Run { task, attempt } => {
                    let is_live_here =
                        |(t, (s, _)): (&(String, Attempt), &(TaskState, Option<ExitReason>))| {
                            t.0 == *task && *s != TaskState::Exited
                        };
                    let key = (task.clone(), *attempt);
                    if self.tasks.contains_key(&key) {
                        continue;
                    }
                    let state = if self.tasks.iter().any(is_live_here) {
                        (TaskState::Exited, Some(ExitReason::InUse))
                    } else {
                        (TaskState::Running, None)
                    };
                    self.tasks.insert(key, state);
                }
                WorkerCommand::Kill { task, attempt, .. } => {
                    if let Some(t) = self.tasks.get_mut(&(task.clone(), *attempt)) {
                        if t.0 != TaskState::Exited {
                            *t = (TaskState::Exited, Some(ExitReason::Stopped));
                        }
                    }
                }
                WorkerCommand::Reap { task, attempt } => {
                    let key = (task.clone(), *attempt);
                    if self.tasks.get(&key).is_some_and(|t| t.0 == TaskState::Exited) {
                        self.tasks.remove(&key);
                    }
                }
            }
        }
    }

    /// Handles a request to `/commands`. It executes the commands unless their token or agent epoch
    /// is outdated, and returns the heartbeat after that.
    pub fn run_commands(
        &mut self,
        token: FencingToken,
        agent_epoch: AgentEpoch,
        calls: &[WorkerCommand],
    ) -> Heartbeat {
        if token >= self.token && agent_epoch == self.agent_epoch {
            self.token = token;
            self.execute(calls);
        }
        self.heartbeat()
    }

    /// Handles the response to a heartbeat that it sent in the given agent epoch.
    pub fn receive_heartbeat_response(
        &mut self,
        agent_epoch: AgentEpoch,
        token: FencingToken,
        calls: &[WorkerCommand],
    ) {
        if token >= self.token && agent_epoch == self.agent_epoch {
            self.token = token;
            self.execute(calls);
        }
    }

    /// Stops all tasks and begins a new agent epoch, as a worker does when its lease expires.
    pub fn expire_lease(&mut self) {
        self.tasks.clear();
        self.agent_epoch.0 += 1;
    }

    /// Returns the tasks that have not exited.
    pub fn live(&self) -> BTreeSet<String> {
        if !self.alive {
            return BTreeSet::new();
        }
        let live = self.tasks.iter().filter(|(_, s)| s.0 != TaskState::Exited);
        live.map(|(t, _)| t.0.clone()).collect()
    }
}
