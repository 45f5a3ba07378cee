//! Outgoing messages of a single worker: at most one request is in flight, and further commands and
//! starts wait here.

use crate::model::start::TaskStart;
use crate::protocol::workers::WorkerCommand;
use crate::time::{TimeDelta, Timestamp};

/// Number of times the pause doubles with consecutive losses; the longest pause is 2 to this power
/// times the first.
const MAX_PAUSE_DOUBLINGS: u32 = 4;

/// Commands and starts waiting to be sent to a worker, and the request in flight to it.
#[derive(Debug, Clone, Default)]
pub(crate) struct WorkerChannel {
    /// Commands to include in the next request.
    outbox: Vec<WorkerCommand>,
    /// Stored starts that are candidates for the next request.
    waiting_starts: Vec<TaskStart>,
    /// Starts in the request in flight, or `None` if no request is in flight.
    request: Option<Vec<TaskStart>>,
    /// Whether the machine is in the send queue of [`Messages`](super::Messages).
    is_queued: bool,
    /// Number of consecutive requests to this worker that were lost.
    consecutive_losses: u32,
    /// Earliest time for the next request.
    retry_at: Timestamp,
}

impl WorkerChannel {
    /// Returns whether a request is in flight, that is, has no outcome yet.
    pub(crate) fn has_request_in_flight(&self) -> bool {
        self.request.is_some()
    }

    /// Returns whether sending is paused after an earlier request was lost or answered by another
    /// machine.
    pub(crate) fn is_paused(&self, now: Timestamp) -> bool {
        now < self.retry_at
    }

    /// Returns whether any commands other than starts are waiting.
    pub(crate) fn has_commands(&self) -> bool {
        !self.outbox.is_empty()
    }

    /// Adds a command to the next request.
    pub(super) fn push(&mut self, command: WorkerCommand) {
        self.outbox.push(command);
    }

    /// Adds the commands that are not already part of the next request.
    pub(super) fn push_missing(&mut self, mut commands: Vec<WorkerCommand>) {
        commands.retain(|command| !self.outbox.contains(command));
        self.outbox.extend(commands);
    }

    /// Drops all waiting commands; waiting starts are kept.
    pub(crate) fn discard_commands(&mut self) {
        self.outbox.clear();
    }

    /// Adds a stored start to the candidates for the next request.
    pub(super) fn push_start(&mut self, start: TaskStart) {
        self.waiting_starts.push(start);
    }

    /// Removes and returns all waiting starts. The caller decides on each, and adds those that have
    /// to wait longer again.
    pub(super) fn take_starts(&mut self) -> Vec<TaskStart> {
        std::mem::take(&mut self.waiting_starts)
    }

    /// Records that the machine is in the send queue, and returns whether it was not there before.
    pub(super) fn mark_queued(&mut self) -> bool {
        !std::mem::replace(&mut self.is_queued, true)
    }

    /// Records that the machine was removed from the send queue.
    pub(super) fn mark_dequeued(&mut self) {
        self.is_queued = false;
    }

    /// Records that a request with these starts is being sent, and returns the other commands to
    /// include in it.
    pub(super) fn begin_request(&mut self, starts: Vec<TaskStart>) -> Vec<WorkerCommand> {
        self.request = Some(starts);
        std::mem::take(&mut self.outbox)
    }

    /// Records that the request in flight has an outcome, and returns its starts, or `None` if no
    /// request was in flight.
    pub(super) fn end_request(&mut self) -> Option<Vec<TaskStart>> {
        self.request.take()
    }

    /// Resets the count of consecutive losses, because the worker itself answered.
    pub(super) fn request_answered(&mut self) {
        self.consecutive_losses = 0;
    }

    /// Records that the request was lost and pauses sending. The pause grows with each consecutive
    /// loss.
    pub(super) fn request_lost(&mut self, now: Timestamp, first_pause: TimeDelta) {
        self.consecutive_losses += 1;
        let doublings = self.consecutive_losses.saturating_sub(1).min(MAX_PAUSE_DOUBLINGS);
        self.retry_at = now + TimeDelta(first_pause.0 << doublings);
    }

    /// Sends nothing to the worker for the given time.
    pub(super) fn pause(&mut self, now: Timestamp, pause: TimeDelta) {
        self.retry_at = now + pause;
    }

    /// Ends the pause after a single lost request, because the worker has acknowledged the token
    /// that was raised for it. After several losses the pause continues.
    pub(crate) fn acknowledged(&mut self, now: Timestamp) {
        if self.consecutive_losses <= 1 {
            self.retry_at = self.retry_at.min(now);
        }
    }
}

#[cfg(test)]
mod tests;
