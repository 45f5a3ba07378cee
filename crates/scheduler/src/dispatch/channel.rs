//! The messages of one worker: at most one request is in flight, the rest waits here.

use crate::model::ids::Attempt;
use crate::model::job::TaskId;
use crate::protocol::workers::WorkerCommand;
use crate::time::{TimeDelta, Timestamp};

/// The pause doubles with each further loss, up to 2 to this power times the first.
const MAX_PAUSE_DOUBLINGS: u32 = 4;

/// A start in a request, named by the attempt that it starts.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) struct SentStart {
    pub(crate) task: TaskId,
    pub(crate) attempt: Attempt,
}

/// What waits to be sent to one worker, and the request in flight to it.
#[derive(Debug, Clone, Default)]
pub(crate) struct WorkerChannel {
    /// Commands for the next request.
    outbox: Vec<WorkerCommand>,
    /// Tasks whose stored starts go with the next request.
    waiting_starts: Vec<TaskId>,
    /// The starts in the request in flight; `None`: none is in flight.
    request: Option<Vec<SentStart>>,
    /// Whether the machine is in the send queue.
    is_queued: bool,
    /// Requests to it that were lost in a row.
    consecutive_losses: u32,
    /// No request is sent before.
    retry_at: Timestamp,
}

impl WorkerChannel {
    /// Whether a request has no outcome yet.
    pub(crate) fn has_request_in_flight(&self) -> bool {
        self.request.is_some()
    }

    /// Whether nothing is sent for now, since an earlier request was lost.
    pub(crate) fn is_paused(&self, now: Timestamp) -> bool {
        now < self.retry_at
    }

    /// Whether commands wait, besides starts.
    pub(crate) fn has_commands(&self) -> bool {
        !self.outbox.is_empty()
    }

    /// Adds a command to the next request.
    pub(super) fn push(&mut self, command: WorkerCommand) {
        self.outbox.push(command);
    }

    /// Adds those commands to the next request that are not in it yet.
    pub(super) fn push_missing(&mut self, mut commands: Vec<WorkerCommand>) {
        commands.retain(|command| !self.outbox.contains(command));
        self.outbox.extend(commands);
    }

    /// Drops all commands that wait, except starts.
    pub(crate) fn discard_commands(&mut self) {
        self.outbox.clear();
    }

    /// Adds a stored start to the next request.
    pub(super) fn push_start(&mut self, task: TaskId) {
        self.waiting_starts.push(task);
    }

    /// Whether stored starts wait.
    pub(super) fn has_starts(&self) -> bool {
        !self.waiting_starts.is_empty()
    }

    /// Takes all stored starts that wait, to judge each; those that go on waiting are pushed again.
    pub(super) fn take_starts(&mut self) -> Vec<TaskId> {
        std::mem::take(&mut self.waiting_starts)
    }

    /// Notes that the machine is in the send queue; whether it was not.
    pub(super) fn mark_queued(&mut self) -> bool {
        !std::mem::replace(&mut self.is_queued, true)
    }

    /// Notes that the machine was taken from the send queue.
    pub(super) fn mark_dequeued(&mut self) {
        self.is_queued = false;
    }

    /// A request with these starts is sent now; its other commands.
    pub(super) fn begin_request(&mut self, starts: Vec<SentStart>) -> Vec<WorkerCommand> {
        self.request = Some(starts);
        std::mem::take(&mut self.outbox)
    }

    /// The request has an outcome; the starts in it. `None`: none was in flight.
    pub(super) fn end_request(&mut self) -> Option<Vec<SentStart>> {
        self.request.take()
    }

    /// The worker itself answered.
    pub(super) fn request_answered(&mut self) {
        self.consecutive_losses = 0;
    }

    /// The request was lost: nothing is sent for a while, ever longer while requests go on being lost.
    pub(super) fn request_lost(&mut self, now: Timestamp, first_pause: TimeDelta) {
        self.consecutive_losses += 1;
        let doublings = self.consecutive_losses.saturating_sub(1).min(MAX_PAUSE_DOUBLINGS);
        self.retry_at = now + TimeDelta(first_pause.0 << doublings);
    }

    /// Sends nothing for that long.
    pub(super) fn pause(&mut self, now: Timestamp, pause: TimeDelta) {
        self.retry_at = now + pause;
    }

    /// The worker has acknowledged the token that a loss required: a pause after a single loss ends.
    pub(crate) fn acknowledged(&mut self, now: Timestamp) {
        if self.consecutive_losses <= 1 {
            self.retry_at = self.retry_at.min(now);
        }
    }
}

#[cfg(test)]
mod tests;
