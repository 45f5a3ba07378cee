//! A machine: what is known of it, what is on it and what is being sent to it.

use std::collections::BTreeSet;

use crate::dispatch::channel::WorkerChannel;
use crate::leadership::election::token;
use crate::model::job::{JobIndex, TaskId};
use crate::model::job_spec::Priority;
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
    pub agent_epoch: u64,
    pub sequence: u64,
    /// The token that the worker knew by its newest report.
    pub acknowledged_token: u64,
    /// When an answer to its heartbeat last carried a token that it had not seen.
    pub token_sent_at: Timestamp,
    /// The token that it has to show before anything more is started there: raised when a message
    /// to it was lost, or when its lease ran out though its heartbeats arrive.
    pub required_token: u64,
    /// Since when it has owed that. A machine that is heard and doesn't hear looks alive by its
    /// reports; this is what gives it away.
    pub unacknowledged_since: Option<Timestamp>,
    /// Rented by this leader or listed by the cloud, so that it can be counted on to come. What a
    /// late heartbeat alone tells of may be long gone.
    pub expected: bool,
    pub fencing_counter: u64,
    /// Highest token with which a start was sent; a reap needs a higher one.
    pub start_token: u64,
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
    /// What is being sent to it.
    pub channel: WorkerChannel,
    pub idle_since: Timestamp,
    /// Jobs that failed here since anything completed here, each counted once.
    pub failures: BTreeSet<JobIndex>,
    /// When a task completed here last.
    pub completed_at: Timestamp,
    /// Nothing more is placed on it, and it is returned to the cloud.
    pub drain_reason: Option<DrainReason>,
    pub termination_sent_at: Option<Timestamp>,
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
    pub fn token(&self, term: u64) -> u64 {
        token(term, self.fencing_counter)
    }

    /// The lowest priority that a job gave to one of its tasks.
    pub(crate) fn lowest_priority(&self) -> Option<Priority> {
        let lowest = self.tasks_by_priority.iter().position(|&tasks| tasks > 0)?;
        Priority::ALL.get(lowest).copied()
    }

    /// Takes over the token that its worker has seen. Whether the machine no longer owes one.
    pub(crate) fn acknowledge(&mut self, now: Timestamp, token: u64) -> bool {
        self.acknowledged_token = token;
        if token < self.required_token {
            return false;
        }
        self.channel.acknowledged(now);
        self.unacknowledged_since.take().is_some()
    }

    /// Its last heartbeat came again under that sequence number. Whether that is a later one.
    pub(crate) fn record_repeated_heartbeat(&mut self, now: Timestamp, sequence: u64) -> bool {
        let is_later = sequence > self.sequence;
        if is_later {
            self.sequence = sequence;
            self.last_heartbeat = now;
        }
        is_later
    }

    /// Nothing more is started there until it shows that it heard of this.
    pub(crate) fn raise_fencing_counter(&mut self, now: Timestamp, term: u64) {
        self.fencing_counter += 1;
        self.required_token = token(term, self.fencing_counter);
        self.unacknowledged_since.get_or_insert(now);
    }
}
