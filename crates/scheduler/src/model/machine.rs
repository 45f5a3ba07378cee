//! A machine: what is known of it, what is on it and what is being sent to it.

use std::collections::BTreeSet;

use crate::leadership::fencing_token::{FencingToken, Term};
use crate::model::ids::{AgentEpoch, Attempt, JobIndex};
use crate::model::job::TaskId;
use crate::model::job_spec::Priority;
use crate::protocol::workers::WorkerCommand;
use crate::reconciliation::repeated_heartbeats::CacheRecord;
use crate::time::Timestamp;

#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum MachineState {
    /// Rented; not heard of yet.
    Booting,
    /// Its worker reports.
    Up,
    /// Being given back; whatever was on it is still on it.
    Terminating,
    /// Certainly gone, and everything on it.
    Terminated,
}

#[derive(Debug, Clone)]
pub struct Machine {
    pub name: String,
    pub address: String,
    pub kind: Option<usize>,
    pub zone: String,
    pub spot: bool,
    pub state: MachineState,
    pub agent_epoch: AgentEpoch,
    pub sequence: u64,
    /// The token that the worker knew by its newest report.
    pub acknowledged_token: FencingToken,
    /// When an answer to its heartbeat last carried a token that it had not seen.
    pub token_sent_at: Timestamp,
    /// The token that it has to show before anything more is started there: raised when a message
    /// to it was lost, or when its lease ran out though its heartbeats arrive.
    pub required_token: FencingToken,
    /// Since when it has owed that. A machine that is heard and doesn't hear looks alive by its
    /// reports; this is what gives it away.
    pub unacknowledged_since: Option<Timestamp>,
    /// Messages to it that were lost in a row.
    pub consecutive_losses: u32,
    /// Rented by this leader or listed by the cloud, so that it can be counted on to come. What a
    /// late heartbeat alone tells of may be long gone.
    pub expected: bool,
    pub fencing_counter: u64,
    /// Highest token with which a start was sent; a reap needs a higher one.
    pub start_token: FencingToken,
    /// Since when it is said to be running, by the cloud, another node or a heartbeat that may be a
    /// late copy: worth asking directly.
    pub hinted_up_at: Option<Timestamp>,
    pub last_heartbeat: Timestamp,
    pub requested_at: Timestamp,
    pub interruption_at: Option<Timestamp>,
    /// Tasks that are on it as far as anybody knows.
    pub tasks: BTreeSet<TaskId>,
    /// How many of them the jobs gave each priority to, the lowest first. A job may count with a higher
    /// one that needs it, never with a lower one.
    pub(crate) tasks_by_priority: [u32; Priority::COUNT],
    /// How many of them are told to stop.
    pub(crate) stopping: u32,
    /// Tasks that it reports and the registry doesn't place there: room that can't be counted on.
    pub unexpected_tasks: u32,
    pub cpus: f64,
    pub gpus: f64,
    pub memory: f64,
    pub images: Vec<String>,
    pub outbox: Vec<WorkerCommand>,
    /// The tasks whose starts are in the outbox.
    pub starting: Vec<TaskId>,
    pub request_in_flight: bool,
    /// Is on the list of those that something may have to be sent to.
    pub in_send_queue: bool,
    /// Starts in the message under way, with their attempts.
    pub in_message: Vec<(TaskId, Attempt)>,
    pub retry_at: Timestamp,
    pub idle_since: Timestamp,
    /// Jobs that failed here since anything completed here, each counted once.
    pub failures: BTreeSet<JobIndex>,
    /// When a task completed here last.
    pub completed_at: Timestamp,
    /// Nothing more is placed on it, and it is returned to the cloud.
    pub drain_reason: Option<DrainReason>,
    pub termination_sent_at: Option<Timestamp>,
    /// Its last heartbeat, if a repetition of that would mean nothing; see [`crate::reconciliation::repeated_heartbeats`].
    pub(crate) cached: Option<CacheRecord>,
}

/// Why a machine is returned to the cloud.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum DrainReason {
    /// No heartbeat came for too long.
    Silent,
    /// Its heartbeats come, but nothing sent to it arrives.
    Unreachable,
    /// Its boot is overdue.
    NeverCameUp,
    /// The cloud lists it as failed.
    Failed,
    /// Its tasks run far longer than their siblings elsewhere.
    Slow,
    /// Tasks of several jobs failed on it.
    FailsTasks,
    /// It has had nothing to do for a while.
    Idle,
}

impl DrainReason {
    /// Whether the machine is returned with the tasks that are on it: nothing else proves them gone.
    pub fn is_hopeless(self) -> bool {
        match self {
            DrainReason::Silent
            | DrainReason::Unreachable
            | DrainReason::NeverCameUp
            | DrainReason::Failed => true,
            DrainReason::Slow | DrainReason::FailsTasks | DrainReason::Idle => false,
        }
    }
}

impl std::fmt::Display for DrainReason {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        f.write_str(match self {
            DrainReason::Silent => "silent",
            DrainReason::Unreachable => "unreachable",
            DrainReason::NeverCameUp => "never came up",
            DrainReason::Failed => "failed",
            DrainReason::Slow => "slow",
            DrainReason::FailsTasks => "fails the tasks of several jobs",
            DrainReason::Idle => "idle",
        })
    }
}

impl Machine {
    pub fn token(&self, term: Term) -> FencingToken {
        FencingToken::new(term, self.fencing_counter)
    }

    /// The lowest priority that a job gave to one of its tasks.
    pub(crate) fn lowest_priority(&self) -> Option<Priority> {
        let lowest = self.tasks_by_priority.iter().position(|&tasks| tasks > 0)?;
        Priority::ALL.get(lowest).copied()
    }

    /// Nothing more is started there until it shows that it heard of this.
    pub(crate) fn raise_fencing_counter(&mut self, now: Timestamp, term: Term) {
        self.fencing_counter += 1;
        self.required_token = FencingToken::new(term, self.fencing_counter);
        self.unacknowledged_since.get_or_insert(now);
    }
}
