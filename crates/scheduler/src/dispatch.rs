//! Requests to workers: at most one in flight for each worker, each sent once. Whether one arrived is
//! shown by the worker's later heartbeats.

pub(crate) mod channel;
pub(crate) mod starts;

use crate::command::{Command, MessageOutcome};
use crate::dispatch::channel::SentStart;
use crate::dispatch::starts::{ReleasedStarts, StartGate};
use crate::leadership::fencing_token::{FencingToken, Term};
use crate::model::cluster::Cluster;
use crate::model::ids::MachineIndex;
use crate::model::job::TaskId;
use crate::model::machine::{Machine, MachineState};
use crate::model::task::{TaskEvent, TaskPhase};
use crate::protocol::workers::{Heartbeat, WorkerCommand};
use crate::reconciliation::response::MAX_COMMANDS;
use crate::scheduler::OVERDUE_INTERVALS;
use crate::time::{TimeDelta, Timestamp};
use crate::tunables::Site;

/// A worker reports a higher token that an answer showed it within half a second, if the answer arrived.
const ANSWER_SHOWS_WITHIN: TimeDelta = TimeDelta::from_millis(1_500);
/// How often all machines are examined for what time alone brings: an overdue heartbeat, a deadline,
/// the end of a pause. What events bring is examined when they come.
const SWEEP_EVERY: TimeDelta = TimeDelta::from_millis(200);
/// The first pause after a refused connection.
const REFUSED_PAUSE: TimeDelta = TimeDelta::from_secs(1);
/// The first pause after a request whose outcome is indeterminate.
const INDETERMINATE_PAUSE: TimeDelta = TimeDelta::from_millis(1_500);
/// The pause after the answer of another machine's worker.
const WRONG_MACHINE_PAUSE: TimeDelta = TimeDelta::from_secs(1);

/// Requests lost in a row, to any machines, that are more than the bad luck of some of them.
const MANY_LOST: u32 = 12;

/// Requests to workers: which machines may need one, and the outcomes of the last ones. What waits for
/// one worker is in its machine's [`channel::WorkerChannel`].
#[derive(Debug)]
pub(crate) struct Messages {
    /// Machines to be examined for something to send, each once.
    send_queue: Vec<MachineIndex>,
    /// Requests without an outcome.
    in_flight: usize,
    /// When a worker last answered one.
    last_answered: Timestamp,
    /// How many were lost since.
    lost_in_a_row: u32,
    last_sweep: Timestamp,
}

/// Requests to send now.
#[derive(Debug, Default)]
pub(crate) struct DueMessages {
    /// One [`Command::SendToWorker`] for each request.
    pub(crate) commands: Vec<Command>,
    /// How many machines were examined for them.
    pub(crate) machines_examined: u64,
}

/// What one pass over the machines goes by.
#[derive(Debug, Clone, Copy)]
struct SendPass<'a> {
    site: &'a Site,
    gate: &'a StartGate<'a>,
    /// A request that only asks for a heartbeat is sent while fewer are in flight: at a failover the
    /// whole fleet is asked.
    max_questions: usize,
}

/// What a machine needs.
enum Need {
    Nothing,
    /// A request, with the starts that were released for it.
    Request(ReleasedStarts),
    /// To be asked for the heartbeat that is missing.
    OverdueHeartbeat,
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

    /// Whether it is time to examine all machines; if so, the next time counts from now.
    pub(crate) fn begin_sweep(&mut self, now: Timestamp) -> bool {
        let is_due = now.since(self.last_sweep) >= SWEEP_EVERY;
        if is_due {
            self.last_sweep = now;
        }
        is_due
    }

    /// Whether many requests in a row were lost, and none was answered for that long.
    pub(crate) fn all_lost_for(&self, now: Timestamp, interval: TimeDelta) -> bool {
        self.lost_in_a_row >= MANY_LOST && now.since(self.last_answered) > interval
    }

    /// Something may have to be sent to the machine.
    pub(crate) fn enqueue(&mut self, cluster: &mut Cluster, machine: MachineIndex) {
        if cluster.machines[machine].channel.mark_queued() {
            self.send_queue.push(machine);
        }
    }

    /// Tells a task's machine to stop it; repeated in the answer to each heartbeat until it is gone.
    pub(crate) fn stop_task(
        &mut self,
        cluster: &mut Cluster,
        now: Timestamp,
        id: TaskId,
        grace_s: f64,
    ) {
        let Some(job) = cluster.job(id.0) else { return };
        let task = job.tasks[id.1 as usize];
        if task.phase == TaskPhase::Dispatching && task.token == FencingToken::NONE {
            // Not sent yet, and with the job over or the task wanted elsewhere it never will be:
            // the outcome of its transaction takes it back.
            return;
        }
        let name = format!("{}/{}", job.name, id.1);
        if !cluster.apply(now, id, TaskEvent::Stop) {
            return;
        }
        let machine = &mut cluster.machines[task.machine];
        if machine.state == MachineState::Up {
            let attempt = task.attempt;
            machine.channel.push(WorkerCommand::Kill { task: name, attempt, grace_s });
            self.enqueue(cluster, task.machine);
        }
    }

    /// A start was stored: it joins its machine's next request.
    pub(crate) fn start_stored(&mut self, cluster: &mut Cluster, id: TaskId) {
        let Some(job) = cluster.job(id.0) else { return };
        let task = job.tasks[id.1 as usize];
        if task.phase == TaskPhase::Dispatching && task.token == FencingToken::NONE {
            cluster.machines[task.machine].channel.push_start(id);
            self.enqueue(cluster, task.machine);
        }
    }

    /// The machine is gone: nothing that waits for it is ever sent.
    pub(crate) fn discard(&mut self, cluster: &mut Cluster, now: Timestamp, machine: MachineIndex) {
        cluster.machines[machine].channel.discard_commands();
        starts::retract_all(cluster, now, machine);
    }

    /// The requests to send now. In a sweep all machines are examined, otherwise those in the send
    /// queue.
    pub(crate) fn take_due(
        &mut self,
        cluster: &mut Cluster,
        site: &Site,
        gate: &StartGate,
        is_sweep: bool,
    ) -> DueMessages {
        let pass = SendPass { site, gate, max_questions: site.most_messages / 3 + 1 };
        let mut due = DueMessages::default();
        let mut overdue = Vec::new();
        for index in self.take_candidates(cluster, is_sweep) {
            due.machines_examined += 1;
            match self.examine(cluster, &pass, index) {
                Need::Nothing => {}
                Need::Request(released) => due.commands.push(self.send(cluster, index, released)),
                Need::OverdueHeartbeat => overdue.push(index),
            }
        }
        for index in self.most_overdue(cluster, overdue, pass.max_questions) {
            due.commands.push(self.send(cluster, index, ReleasedStarts::default()));
        }
        due
    }

    /// The machines to examine; the send queue is empty afterwards.
    fn take_candidates(&mut self, cluster: &mut Cluster, is_sweep: bool) -> Vec<MachineIndex> {
        let queued = std::mem::take(&mut self.send_queue);
        for &index in &queued {
            cluster.machines[index].channel.mark_dequeued();
        }
        if is_sweep {
            cluster.machine_indices().collect()
        } else {
            queued
        }
    }

    fn examine(&self, cluster: &mut Cluster, pass: &SendPass, index: MachineIndex) -> Need {
        let now = pass.gate.now;
        let machine = &cluster.machines[index];
        let can_send = self.can_send(machine, now, pass.site);
        let owes_token = owes_token(machine, cluster.term, now);
        // One whose heartbeat is overdue is asked: if it answers it is not silent, and if it doesn't
        // it can be given up sooner.
        let overdue_after = pass.site.heartbeat_interval.mul_f64(OVERDUE_INTERVALS);
        let is_overdue =
            machine.state == MachineState::Up && now.since(machine.last_heartbeat) > overdue_after;
        let is_sending = can_send && pass.gate.authority.holds_lease();
        let released = starts::release(cluster, pass.gate, index, is_sending);
        if !can_send {
            return Need::Nothing;
        }
        let has_commands = cluster.machines[index].channel.has_commands();
        if has_commands || !released.starts.is_empty() {
            return Need::Request(released);
        }
        match (owes_token, is_overdue) {
            _ if self.in_flight >= pass.max_questions => Need::Nothing,
            (true, _) => Need::Request(released),
            (false, true) => Need::OverdueHeartbeat,
            (false, false) => Need::Nothing,
        }
    }

    /// Whether a request may be sent to the machine now.
    fn can_send(&self, machine: &Machine, now: Timestamp, site: &Site) -> bool {
        // A machine of the last leader's that has not reported yet is asked at the address that the
        // cloud or another node gave, so that a failover doesn't wait for its next heartbeat.
        let may_be_up = machine.state == MachineState::Booting
            && (machine.hinted_up_at.is_some() || !machine.tasks.is_empty());
        (machine.state == MachineState::Up || may_be_up)
            && !machine.channel.has_request_in_flight()
            && !machine.channel.is_paused(now)
            && !machine.address.is_empty()
            && self.in_flight < site.most_messages
    }

    /// Those of the machines whose heartbeat is overdue that are asked now, after all that a request is
    /// more urgent for: the ones with the oldest heartbeats. (In the order of the table, the first two
    /// thousand were overdue again before the others were asked at all.)
    fn most_overdue(
        &self,
        cluster: &Cluster,
        mut machines: Vec<MachineIndex>,
        max_questions: usize,
    ) -> Vec<MachineIndex> {
        let room = max_questions.saturating_sub(self.in_flight);
        if machines.len() > room {
            machines.sort_unstable_by_key(|&ix| cluster.machines[ix].last_heartbeat);
            machines.truncate(room);
        }
        machines
    }

    /// Sends the machine what waits for it, with these starts.
    fn send(
        &mut self,
        cluster: &mut Cluster,
        index: MachineIndex,
        released: ReleasedStarts,
    ) -> Command {
        self.in_flight += 1;
        let machine = &mut cluster.machines[index];
        let mut calls = machine.channel.begin_request(released.starts);
        calls.extend(released.commands);
        Command::SendToWorker {
            machine: index,
            address: machine.address.clone(),
            token: machine.token(cluster.term),
            agent_epoch: machine.agent_epoch,
            calls,
        }
    }

    /// A request has an outcome. If the machine's own worker answered, the heartbeat to reconcile.
    pub(crate) fn request_ended(
        &mut self,
        cluster: &mut Cluster,
        now: Timestamp,
        index: MachineIndex,
        outcome: MessageOutcome,
    ) -> Option<Box<Heartbeat>> {
        let request = cluster.machines.get_mut(index.as_usize())?.channel.end_request();
        if request.is_some() {
            self.in_flight = self.in_flight.saturating_sub(1);
        }
        self.enqueue(cluster, index);
        match outcome {
            MessageOutcome::Answered(heartbeat) => {
                (self.last_answered, self.lost_in_a_row) = (now, 0);
                let machine = &mut cluster.machines[index];
                if heartbeat.machine == machine.name {
                    machine.channel.request_answered();
                    return Some(heartbeat);
                }
                machine.channel.pause(now, WRONG_MACHINE_PAUSE);
            }
            MessageOutcome::NotSent => {
                self.request_lost(cluster, now, index, REFUSED_PAUSE);
                retract_unsent(cluster, now, index, &request.unwrap_or_default());
            }
            // The request may be executed minutes later. Raising the fencing counter makes sure that
            // a heartbeat which has seen the new token proves that the old request never will be.
            MessageOutcome::Indeterminate => {
                self.request_lost(cluster, now, index, INDETERMINATE_PAUSE);
            }
        }
        None
    }

    fn request_lost(
        &mut self,
        cluster: &mut Cluster,
        now: Timestamp,
        index: MachineIndex,
        first_pause: TimeDelta,
    ) {
        self.lost_in_a_row += 1;
        cluster.invalidate_cached_heartbeat(index);
        let term = cluster.term;
        let machine = &mut cluster.machines[index];
        machine.channel.request_lost(now, first_pause);
        machine.fence.raise_required(now, term);
        repeat_stops(cluster, index);
    }
}

/// Whether the machine is asked since it has not acknowledged its token. A fencing counter that was
/// raised for a lost request, or a new term, is shown to the worker at once instead of with its next
/// heartbeat. (The first answer of a worker whose agent epoch wasn't known shows the agent epoch only;
/// the second shows that it has seen the term.)
fn owes_token(machine: &Machine, term: Term, now: Timestamp) -> bool {
    // A token that the answer to its own heartbeat has just shown it is asked about only if its next
    // heartbeat doesn't come. (Each reap raises the fencing counter: a question after each of them was
    // a third of all requests.)
    let was_just_sent = now.since(machine.fence.sent_at()) < ANSWER_SHOWS_WITHIN;
    !machine.fence.is_acknowledged(term)
        || (machine.fence.acknowledged() < machine.token(term)
            && !machine.tasks.is_empty()
            && !was_just_sent)
}

/// There was no connection, so nothing left this process and nothing ever will: these starts are
/// absent by this scheduler's own doing. Only the attempt that the request held, though: the machine
/// may have been returned meanwhile and the task be running elsewhere under its next attempt. (Seen on
/// a rough day: such a task was taken for absent and started a second time.)
fn retract_unsent(
    cluster: &mut Cluster,
    now: Timestamp,
    index: MachineIndex,
    starts: &[SentStart],
) {
    for start in starts {
        let is_same_attempt = cluster.job(start.task.0).is_some_and(|job| {
            let task = &job.tasks[start.task.1 as usize];
            task.attempt == start.attempt && task.machine == index
        });
        if is_same_attempt {
            cluster.apply(now, start.task, TaskEvent::ProvenAbsent);
        }
    }
}

/// The request may have held the command to stop a cancelled job's tasks: the next one holds it
/// again. The answers to the worker's heartbeats do so too, where there are any.
fn repeat_stops(cluster: &mut Cluster, index: MachineIndex) {
    let machine = &cluster.machines[index];
    if machine.state != MachineState::Up {
        return;
    }
    let stop_command = |id: &TaskId| {
        let job = cluster.job(id.0).filter(|job| job.is_ended())?;
        let task = &job.tasks[id.1 as usize];
        let command = WorkerCommand::Kill {
            task: format!("{}/{}", job.name, id.1),
            attempt: task.attempt,
            grace_s: 0.0,
        };
        (task.phase == TaskPhase::Stopping).then_some(command)
    };
    let stops = machine.tasks.iter().filter_map(stop_command).take(MAX_COMMANDS).collect();
    cluster.machines[index].channel.push_missing(stops);
}
