//! Commands sent to workers directly: one message under way per worker, each sent once. Whether it arrived
//! is for the worker's heartbeats to tell.

use crate::command::{Command, MessageOutcome};
use crate::leadership::fencing_token::FencingToken;
use crate::model::ids::{Attempt, MachineIndex};
use crate::model::job::TaskId;
use crate::model::machine::MachineState;
use crate::model::task::{TaskEvent, TaskPhase};
use crate::protocol::workers::WorkerCommand;
use crate::reconciliation::heartbeats::MAX_COMMANDS;
use crate::scheduler::{Scheduler, OVERDUE};
use crate::time::{TimeDelta, Timestamp};

/// A worker reports a higher token that an answer showed it within half a second, if the answer arrived.
const ANSWER_SHOWS_WITHIN: TimeDelta = TimeDelta::from_millis(1_500);

/// Ever longer, up to sixteen times the first, while messages to a machine go on being lost.
fn pause(first: TimeDelta, consecutive_losses: u32) -> TimeDelta {
    TimeDelta(first.0 << consecutive_losses.saturating_sub(1).min(4))
}

/// Messages to workers: which machines may need one, and what became of the last ones.
#[derive(Debug)]
pub(crate) struct Messages {
    /// Machines to be looked at for something to send, each once.
    pub(crate) send_queue: Vec<MachineIndex>,
    /// How many have an open outcome.
    pub(crate) in_flight: usize,
    /// When a worker last answered one.
    pub(crate) last_answered: Timestamp,
    /// How many were lost since.
    pub(crate) lost_in_a_row: u32,
    pub(crate) last_sweep: Timestamp,
}

impl Messages {
    /// With nothing to send.
    pub(crate) fn new(now: Timestamp) -> Messages {
        Messages {
            send_queue: Vec::new(),
            in_flight: 0,
            last_answered: now,
            lost_in_a_row: 0,
            last_sweep: Timestamp(0),
        }
    }
}

impl Scheduler {
    /// Sends what waits for workers: one message under way per worker. Without a sweep only those
    /// machines are looked at that something happened to.
    pub(crate) fn send_messages(&mut self, now: Timestamp, sweep: bool) {
        let term = self.term;
        let overdue = self.site.heartbeat_interval.mul_f64(OVERDUE);
        let most_questions = self.site.most_messages / 3 + 1;
        let noted = std::mem::take(&mut self.messages.send_queue);
        for &ix in &noted {
            self.cluster.machines[ix].in_send_queue = false;
        }
        let all = if sweep { 0..self.cluster.machines.len() } else { 0..0 };
        let noted = noted.into_iter().map(|ix| ix.as_usize()).filter(|_| !sweep);
        let mut overdue_machines = Vec::new();
        for ix in all.chain(noted) {
            self.examined.send_checks += 1;
            let m = &self.cluster.machines[ix];
            // A machine of the last leader's that has not reported yet is asked at the address that
            // the cloud or another node tells, so that a failover doesn't wait for its next heartbeat.
            let asked = m.state == MachineState::Booting
                && (m.hinted_up_at.is_some() || !m.tasks.is_empty());
            let known = m.state == MachineState::Up || asked;
            let can_send = known
                && !m.request_in_flight
                && now >= m.retry_at
                && !m.address.is_empty()
                && self.messages.in_flight < self.site.most_messages;
            // A fence that was raised for a lost send, or a new term, is shown to the worker at
            // once instead of with its next heartbeat.
            // (The first answer of a worker whose agent epoch wasn't known shows the agent epoch only; the
            // second shows that it has seen the term.)
            // A fence that an answer to its own heartbeat has just shown it is asked about only if its
            // next heartbeat doesn't come. (Each reap raises the fence: a question after each of them was a
            // third of all messages.)
            let just_told = now.since(m.token_sent_at) < ANSWER_SHOWS_WITHIN;
            let unseen = m.acknowledged_token < FencingToken::first_of(term).max(m.required_token)
                || (m.acknowledged_token < m.token(term) && !m.tasks.is_empty() && !just_told);
            // One that missed a heartbeat is asked: if it answers it is not silent, and if it doesn't
            // it can be given up sooner.
            let missed = m.state == MachineState::Up && now.since(m.last_heartbeat) > overdue;
            let may_start = can_send && self.holds_lease;
            let (ids, starts) = self.release_starts(now, ix.into(), may_start);
            let m = &mut self.cluster.machines[ix];
            // Mere questions are paced: at a failover the whole fleet is asked.
            let ask_later = m.outbox.is_empty()
                && starts.is_empty()
                && self.messages.in_flight >= most_questions;
            if ask_later
                || !can_send
                || (m.outbox.is_empty() && starts.is_empty() && !unseen && !missed)
            {
                continue;
            }
            if m.outbox.is_empty() && starts.is_empty() && !unseen {
                overdue_machines.push(ix.into());
                continue;
            }
            self.send_message(ix.into(), ids, starts);
        }
        self.ask_overdue(overdue_machines, most_questions);
    }

    /// Asks machines of which a heartbeat is missing, after all that a message is more urgent for, and those first
    /// that were heard longest ago. (In the order of the table, the first two thousand were overdue again
    /// before the others were asked at all.)
    fn ask_overdue(&mut self, mut machines: Vec<MachineIndex>, most_questions: usize) {
        let room = most_questions.saturating_sub(self.messages.in_flight);
        if machines.len() > room {
            machines.sort_unstable_by_key(|&ix| self.cluster.machines[ix].last_heartbeat);
            machines.truncate(room);
        }
        for ix in machines {
            self.send_message(ix, Vec::new(), Vec::new());
        }
    }

    /// Sends the machine what waits for it, with these starts.
    fn send_message(
        &mut self,
        ix: MachineIndex,
        ids: Vec<(TaskId, Attempt)>,
        starts: Vec<WorkerCommand>,
    ) {
        let term = self.term;
        let m = &mut self.cluster.machines[ix];
        m.request_in_flight = true;
        self.messages.in_flight += 1;
        m.in_message = ids;
        let mut calls = std::mem::take(&mut m.outbox);
        calls.extend(starts);
        self.out.push(Command::SendToWorker {
            machine: ix,
            address: m.address.clone(),
            token: m.token(term),
            agent_epoch: m.agent_epoch,
            calls,
        });
    }

    /// The answer to a [`Command::SendToWorker`].
    pub fn message_answered(&mut self, now: Timestamp, m: MachineIndex, outcome: MessageOutcome) {
        let Some(machine) = self.cluster.machines.get_mut(m.as_usize()) else { return };
        if std::mem::take(&mut machine.request_in_flight) {
            self.messages.in_flight = self.messages.in_flight.saturating_sub(1);
        }
        let starts = std::mem::take(&mut machine.in_message);
        let term = self.term;
        self.enqueue_send(m);
        if !matches!(outcome, MessageOutcome::Answered(_)) {
            self.cluster.invalidate_cached_heartbeat(m);
        }
        let machine = &mut self.cluster.machines[m];
        match outcome {
            MessageOutcome::Answered(_) => {
                (self.messages.last_answered, self.messages.lost_in_a_row) = (now, 0)
            }
            MessageOutcome::NotSent | MessageOutcome::Indeterminate => {
                self.messages.lost_in_a_row += 1
            }
        }
        match outcome {
            MessageOutcome::Answered(heartbeat) => {
                if heartbeat.machine == machine.name {
                    machine.consecutive_losses = 0;
                    let entries = self.resolve(&heartbeat);
                    self.reconcile_heartbeat(now, &heartbeat, &entries, true);
                } else {
                    machine.retry_at = now + TimeDelta::from_secs(1);
                }
            }
            MessageOutcome::NotSent => {
                machine.consecutive_losses += 1;
                machine.retry_at = now + pause(TimeDelta::from_secs(1), machine.consecutive_losses);
                machine.raise_fencing_counter(now, term);
                self.repeat_stops(m);
                // There was no connection, so nothing left this process and nothing ever will:
                // these starts are absent by this registry's own doing.
                // Only the attempt that the message held, though: the machine may have been returned
                // meanwhile and the task be running elsewhere under its next attempt. (Seen on a
                // rough day: such a task was taken for absent and started a second time.)
                for (id, attempt) in starts {
                    let same = self.cluster.job(id.0).is_some_and(|j| {
                        let t = &j.tasks[id.1 as usize];
                        t.attempt == attempt && t.machine == m
                    });
                    if same {
                        self.cluster.apply(now, id, TaskEvent::ProvenAbsent);
                    }
                }
            }
            MessageOutcome::Indeterminate => {
                // The message may be executed minutes later. Raising the fence makes sure that a
                // report that has seen the new number proves that the old message never will be.
                machine.consecutive_losses += 1;
                machine.retry_at =
                    now + pause(TimeDelta::from_millis(1_500), machine.consecutive_losses);
                machine.raise_fencing_counter(now, term);
                self.repeat_stops(m);
            }
        }
    }

    /// The message may have held the command to stop a cancelled job's tasks: the next one holds it
    /// again. The answers to the worker's heartbeats do so too, where there are any.
    fn repeat_stops(&mut self, m: MachineIndex) {
        let machine = &self.cluster.machines[m];
        let mut calls = Vec::new();
        for id in &machine.tasks {
            let Some(job) = self.cluster.job(id.0).filter(|j| j.is_ended()) else { continue };
            let task = &job.tasks[id.1 as usize];
            if task.phase == TaskPhase::Stopping {
                let name = format!("{}/{}", job.name, id.1);
                let attempt = task.attempt;
                calls.push(WorkerCommand::Kill { task: name, attempt, grace_s: 0.0 });
            }
        }
        calls.truncate(MAX_COMMANDS);
        let machine = &mut self.cluster.machines[m];
        if machine.state == MachineState::Up {
            calls.retain(|call| !machine.outbox.contains(call));
            machine.outbox.extend(calls);
        }
    }
}
