//! Sends requests to workers. Each worker has at most one request in flight, and each request is
//! sent once; later heartbeats of the worker show whether it arrived.

pub(crate) mod channel;
pub(crate) mod starts;

use crate::command::{Command, MessageOutcome};
use crate::dispatch::starts::{ReleasedStarts, StartGate};
use crate::leadership::fencing_token::Term;
use crate::model::cluster::Cluster;
use crate::model::ids::{MachineIndex, TaskId};
use crate::model::machine::{Machine, MachineState};
use crate::model::start::TaskStart;
use crate::model::task::{TaskEvent, TaskPhase};
use crate::protocol::workers::{Heartbeat, WorkerCommand};
use crate::reconciliation::response::MAX_COMMANDS;
use crate::scheduler::OVERDUE_INTERVALS;
use crate::time::{TimeDelta, Timestamp};
use crate::tunables::Site;

/// Time allowed for a worker to acknowledge a raised token that it was sent in a heartbeat
/// response. A worker that received the response reports the token within half a second.
const TOKEN_ACKNOWLEDGEMENT_TIMEOUT: TimeDelta = TimeDelta::from_millis(1_500);
/// Interval at which all machines are checked for conditions that arise with the passage of time:
/// an overdue heartbeat, a deadline, the end of a pause. Conditions caused by events are checked
/// when the events occur.
const SWEEP_INTERVAL: TimeDelta = TimeDelta::from_millis(200);
/// Initial pause after a refused connection.
const CONNECTION_REFUSED_PAUSE: TimeDelta = TimeDelta::from_secs(1);
/// Initial pause after a request whose outcome is indeterminate.
const INDETERMINATE_PAUSE: TimeDelta = TimeDelta::from_millis(1_500);
/// Pause after a request was answered by another machine's worker.
const WRONG_MACHINE_PAUSE: TimeDelta = TimeDelta::from_secs(1);

/// Number of consecutive lost requests, to any machines, that can't be explained by failures of
/// single machines.
const MIN_LOSSES_FOR_OUTAGE: u32 = 12;

/// Tracks the requests to workers: which machines may need one, and the outcomes of the most recent
/// ones. The commands waiting for a single worker are in its machine's [`channel::WorkerChannel`].
#[derive(Debug)]
pub(crate) struct Messages {
    /// Machines to be checked for something to send, each listed once.
    send_queue: Vec<MachineIndex>,
    /// Number of requests whose outcome is not known yet.
    in_flight: usize,
    /// Time at which a worker last answered a request.
    last_answered: Timestamp,
    /// Number of requests lost since the last answer.
    consecutive_losses: u32,
    last_sweep: Timestamp,
}

/// Requests to be sent now.
#[derive(Debug, Default)]
pub(crate) struct DueMessages {
    /// Contains one [`Command::SendToWorker`] per request.
    pub(crate) commands: Vec<Command>,
    /// Number of machines that were checked to find these requests.
    pub(crate) machines_examined: u64,
}

/// Parameters of a single pass over the machines.
#[derive(Debug, Clone, Copy)]
struct SendPass<'a> {
    site: &'a Site,
    gate: &'a StartGate<'a>,
    /// Requests that only ask for a heartbeat are sent while fewer than this many requests are in
    /// flight, because after a failover every machine of the fleet is asked.
    max_heartbeat_requests: usize,
}

/// Kind of request that a machine needs.
enum Need {
    Nothing,
    /// A request that includes the released starts.
    Request(ReleasedStarts),
    /// A request for the heartbeat that is overdue.
    OverdueHeartbeat,
}

impl Messages {
    pub(crate) fn new(now: Timestamp) -> Messages {
        Messages {
            send_queue: Vec::new(),
            in_flight: 0,
            last_answered: now,
            consecutive_losses: 0,
            last_sweep: Timestamp(0),
        }
    }

    /// Returns whether a check of all machines is due, and if so starts the next interval.
    pub(crate) fn begin_sweep(&mut self, now: Timestamp) -> bool {
        let is_due = now.since(self.last_sweep) >= SWEEP_INTERVAL;
        if is_due {
            self.last_sweep = now;
        }
        is_due
    }

    /// Returns whether many consecutive requests were lost and none was answered for at least
    /// `interval`.
    pub(crate) fn all_lost_for(&self, now: Timestamp, interval: TimeDelta) -> bool {
        self.consecutive_losses >= MIN_LOSSES_FOR_OUTAGE && now.since(self.last_answered) > interval
    }

    /// Adds the machine to the queue of machines that may need a request.
    pub(crate) fn enqueue(&mut self, cluster: &mut Cluster, machine: MachineIndex) {
        if cluster.machines[machine].channel.mark_queued() {
            self.send_queue.push(machine);
        }
    }

    /// Sends the task's machine a command to stop it. The command is repeated in the response to
    /// each heartbeat until the task is gone. A task whose start was not sent is left alone: if its
    /// job has ended, the start is retracted once it is recorded and its machine's turn comes.
    pub(crate) fn stop_task(
        &mut self,
        cluster: &mut Cluster,
        now: Timestamp,
        id: TaskId,
        grace_s: f64,
    ) {
        if !cluster.apply(now, id, TaskEvent::Stop) {
            return;
        }
        let (Some(task), Some(name)) = (cluster.task(id), cluster.task_name(id)) else { return };
        let machine = &mut cluster.machines[task.machine];
        if machine.state == MachineState::Up {
            let attempt = task.attempt;
            machine.channel.push(WorkerCommand::Kill { task: name, attempt, grace_s });
            self.enqueue(cluster, task.machine);
        }
    }

    /// Adds a start that has been stored to the next request for its machine. Returns whether the
    /// task still has the placement that was stored; otherwise nothing is sent for it.
    pub(crate) fn start_stored(
        &mut self,
        cluster: &mut Cluster,
        now: Timestamp,
        start: TaskStart,
    ) -> bool {
        let TaskStart { task, placement } = start;
        if !cluster.apply(now, task, TaskEvent::Recorded(placement)) {
            return false;
        }
        cluster.machines[placement.machine].channel.push_start(start);
        self.enqueue(cluster, placement.machine);
        true
    }

    /// Discards everything that waits to be sent to a machine that is gone.
    pub(crate) fn discard(&mut self, cluster: &mut Cluster, now: Timestamp, machine: MachineIndex) {
        cluster.machines[machine].channel.discard_commands();
        starts::retract_all(cluster, now, machine);
    }

    /// Returns the requests to send now. A sweep checks all machines; otherwise only those in the
    /// send queue are checked.
    pub(crate) fn take_due(
        &mut self,
        cluster: &mut Cluster,
        site: &Site,
        gate: &StartGate,
        is_sweep: bool,
    ) -> DueMessages {
        let pass =
            SendPass { site, gate, max_heartbeat_requests: site.max_messages_in_flight / 3 + 1 };
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
        for index in self.most_overdue(cluster, overdue, pass.max_heartbeat_requests) {
            due.commands.push(self.send(cluster, index, ReleasedStarts::default()));
        }
        due
    }

    /// Empties the send queue and returns the machines to check.
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
        let is_token_acknowledgement_due = is_token_acknowledgement_due(machine, cluster.term, now);
        // A machine with an overdue heartbeat is sent a request: an answer shows that it is not
        // silent, and the lack of one allows the machine to be suspected sooner.
        let overdue_after = pass.site.heartbeat_interval.mul_f64(OVERDUE_INTERVALS);
        let is_overdue =
            machine.state == MachineState::Up && now.since(machine.last_heartbeat) > overdue_after;
        let may_send_starts = can_send && pass.gate.authority.holds_lease();
        let released = starts::release(cluster, pass.gate, index, may_send_starts);
        if !can_send {
            return Need::Nothing;
        }
        let has_commands = cluster.machines[index].channel.has_commands();
        if has_commands || !released.starts.is_empty() {
            return Need::Request(released);
        }
        match (is_token_acknowledgement_due, is_overdue) {
            _ if self.in_flight >= pass.max_heartbeat_requests => Need::Nothing,
            (true, _) => Need::Request(released),
            (false, true) => Need::OverdueHeartbeat,
            (false, false) => Need::Nothing,
        }
    }

    /// Returns whether a request may be sent to the machine now.
    fn can_send(&self, machine: &Machine, now: Timestamp, site: &Site) -> bool {
        // A machine known from the previous leader that has not reported yet is sent a request at
        // the address given by the cloud or another node, so that a failover does not have to wait
        // for its next heartbeat.
        let is_possibly_up = machine.state == MachineState::Booting
            && (machine.hinted_up_at.is_some() || !machine.tasks.is_empty());
        (machine.state == MachineState::Up || is_possibly_up)
            && !machine.channel.has_request_in_flight()
            && !machine.channel.is_paused(now)
            && !machine.address.is_empty()
            && self.in_flight < site.max_messages_in_flight
    }

    /// Selects the machines with overdue heartbeats that are asked now, in the slots left by more
    /// urgent requests. Those with the oldest heartbeats come first: in table order, the first two
    /// thousand machines were overdue again before the others were asked at all.
    fn most_overdue(
        &self,
        cluster: &Cluster,
        mut machines: Vec<MachineIndex>,
        max_heartbeat_requests: usize,
    ) -> Vec<MachineIndex> {
        let available_slots = max_heartbeat_requests.saturating_sub(self.in_flight);
        if machines.len() > available_slots {
            machines.sort_unstable_by_key(|&index| cluster.machines[index].last_heartbeat);
            machines.truncate(available_slots);
        }
        machines
    }

    /// Creates the request with the machine's waiting commands and the given starts, and counts it
    /// as in flight.
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

    /// Handles the outcome of a request. Returns the heartbeat to reconcile if the machine's own
    /// worker answered.
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
                (self.last_answered, self.consecutive_losses) = (now, 0);
                let machine = &mut cluster.machines[index];
                if heartbeat.machine == machine.name {
                    machine.channel.request_answered();
                    return Some(heartbeat);
                }
                machine.channel.pause(now, WRONG_MACHINE_PAUSE);
            }
            MessageOutcome::NotSent => {
                self.request_lost(cluster, now, index, CONNECTION_REFUSED_PAUSE);
                retract_unsent(cluster, now, &request.unwrap_or_default());
            }
            // The request may still be executed minutes later. Once the fencing counter is raised,
            // a heartbeat that has seen the new token proves that the old request never will be
            // executed.
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
        self.consecutive_losses += 1;
        cluster.invalidate_cached_heartbeat(index);
        let term = cluster.term;
        let machine = &mut cluster.machines[index];
        machine.channel.request_lost(now, first_pause);
        machine.fence.raise_required(now, term);
        requeue_stop_commands(cluster, index);
    }
}

/// Returns whether the machine should be sent a request because it has not acknowledged its current
/// token. A new term, or a fencing counter raised for a lost request, is thereby sent to the worker
/// at once instead of with the response to its next heartbeat. The first answer of a worker whose
/// agent epoch was unknown shows only the agent epoch; the second one shows that it has seen the
/// term.
fn is_token_acknowledgement_due(machine: &Machine, term: Term, now: Timestamp) -> bool {
    // A token just sent in a heartbeat response needs a request only if the worker's next heartbeat
    // does not arrive. Each reap raises the fencing counter, and a request after every reap made up
    // a third of all requests.
    let was_just_sent = now.since(machine.fence.sent_at()) < TOKEN_ACKNOWLEDGEMENT_TIMEOUT;
    !machine.fence.is_acknowledged(term)
        || (machine.fence.acknowledged() < machine.token(term)
            && !machine.tasks.is_empty()
            && !was_just_sent)
}

/// Retracts the starts of a request for which no connection was established. The request never
/// left this process, so the starts are known to be absent. A task that was placed anew meanwhile,
/// because its machine was returned, keeps its placement.
fn retract_unsent(cluster: &mut Cluster, now: Timestamp, starts: &[TaskStart]) {
    for &TaskStart { task, placement } in starts {
        cluster.apply(now, task, TaskEvent::NotSent(placement));
    }
}

/// Queues the stop commands for tasks of ended jobs again, because the lost request may have
/// contained them. The responses to the worker's heartbeats repeat them too, but only if heartbeats
/// arrive.
fn requeue_stop_commands(cluster: &mut Cluster, index: MachineIndex) {
    let machine = &cluster.machines[index];
    if machine.state != MachineState::Up {
        return;
    }
    let stop_command = |id: &TaskId| {
        let job = cluster.job(id.job).filter(|job| job.is_ended())?;
        let task = job.tasks.get(id.index)?;
        let command = WorkerCommand::Kill {
            task: job.task_name(id.index),
            attempt: task.attempt,
            grace_s: 0.0,
        };
        (task.phase == TaskPhase::Stopping).then_some(command)
    };
    let stops = machine.tasks.iter().filter_map(stop_command).take(MAX_COMMANDS).collect();
    cluster.machines[index].channel.push_missing(stops);
}
