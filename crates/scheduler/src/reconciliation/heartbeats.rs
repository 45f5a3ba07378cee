//! Workers' heartbeats: what they prove, and the commands that answer them. (The paper's receipts.)

use crate::command::Command;
use crate::event::{Anomaly, Event};
use crate::leadership::fencing_token::FencingToken;
use crate::model::ids::{AgentEpoch, Attempt, MachineIndex};
use crate::model::job::TaskId;
use crate::model::machine::DrainReason;
use crate::model::machine::MachineState;
use crate::model::task::{TaskEvent, TaskPhase};
use crate::protocol;
use crate::protocol::workers::{ExitReason, Heartbeat, TaskState, WorkerCommand};
use crate::scheduler::{grace_of, Scheduler};
use crate::time::{TimeDelta, Timestamp};

/// A start counts for the job's users if it is not stopped again within half a minute.
pub(crate) const STARTED_AFTER: TimeDelta = TimeDelta::from_secs(32);

/// Commands in one answer, which is one line of at most 64 KiB; the next heartbeat is told the rest. (A
/// report may have as many tasks as fit into its own 64 KiB, and a call is longer than a task.)
pub(crate) const MAX_COMMANDS: usize = 500;

/// One task of a heartbeat, and the known task that it names, if there is one.
pub(crate) struct ReportedTask<'a> {
    entry: &'a protocol::workers::TaskStatus,
    id: Option<TaskId>,
}

/// The entries of a heartbeat that name known tasks, in the order of those.
struct EntriesByTask<'a>(Vec<(TaskId, &'a protocol::workers::TaskStatus)>);

impl<'a> EntriesByTask<'a> {
    fn new(entries: &[ReportedTask<'a>]) -> EntriesByTask<'a> {
        let known = entries.iter().filter_map(|reported| Some((reported.id?, reported.entry)));
        let mut by_task: Vec<(TaskId, &'a protocol::workers::TaskStatus)> = known.collect();
        by_task.sort_by_key(|(id, _)| *id);
        EntriesByTask(by_task)
    }

    fn of(&self, id: TaskId) -> impl Iterator<Item = &'a protocol::workers::TaskStatus> + '_ {
        let begin = self.0.partition_point(|(other, _)| *other < id);
        self.0[begin..].iter().take_while(move |(other, _)| *other == id).map(|(_, entry)| *entry)
    }

    /// The entry of the highest attempt.
    fn newest(&self, id: TaskId) -> Option<&'a protocol::workers::TaskStatus> {
        self.of(id).reduce(|best, entry| if entry.attempt > best.attempt { entry } else { best })
    }

    /// Whether the task is on the machine under whatever attempt.
    fn any_live(&self, id: TaskId) -> bool {
        self.of(id).any(|entry| entry.state != TaskState::Exited)
    }
}

impl Scheduler {
    /// A worker's heartbeat. `None`: this node is not entitled to answer it.
    pub fn heartbeat(
        &mut self,
        now: Timestamp,
        heartbeat: &Heartbeat,
    ) -> Option<(FencingToken, Vec<WorkerCommand>)> {
        if heartbeat.token.term() > self.term {
            // Most likely true: then the leader key tells. A token that came from nowhere must not
            // end a term.
            self.log_once(&heartbeat.machine, Anomaly::NewerTerm);
            self.out.push(Command::VerifyLeadership);
            return None;
        }
        let known = self
            .cluster
            .machines_by_name
            .get(&heartbeat.machine)
            .map(|&m| &self.cluster.machines[m]);
        let newest = known.map_or((AgentEpoch::NONE, 0), |k| (k.agent_epoch, k.sequence));
        let entries = self.resolve(heartbeat);
        let m = self.reconcile_heartbeat(now, heartbeat, &entries, false);
        // What it proves counts at any time; an answer renews its lease.
        if !self.may_renew_leases(now) {
            return None;
        }
        let machine = &self.cluster.machines[m];
        if machine.state == MachineState::Terminated {
            let token = machine.token(self.term);
            self.log_once(&heartbeat.machine, Anomaly::HeartbeatAfterTermination);
            return Some((token, Vec::new()));
        }
        if heartbeat.agent_epoch < newest.0 {
            self.log_once(&heartbeat.machine, Anomaly::LateHeartbeat);
            let machine = &self.cluster.machines[m];
            return Some((machine.token(self.term), Vec::new()));
        }
        // Also one that the answer to a direct command has overtaken: its answer renews the lease, so
        // it has to stop what is to be stopped. In a copy of the past it says nothing new.
        let calls = self.commands_for(m, &entries);
        let machine = &mut self.cluster.machines[m];
        let token = machine.token(self.term);
        if token > heartbeat.token {
            machine.token_sent_at = now;
        }
        Some((token, calls))
    }

    /// What the worker should still do about the tasks it reports: stop those that have no
    /// business there and forget those whose end is recorded. Both can be repeated.
    fn commands_for(&mut self, m: MachineIndex, entries: &[ReportedTask]) -> Vec<WorkerCommand> {
        let mut calls = Vec::new();
        let mut reaps = Vec::new();
        for reported in entries {
            let entry = reported.entry;
            let job = reported.id.filter(|&id| self.cluster.is_placed(m, id, entry.attempt));
            let job = job.and_then(|id| Some((self.cluster.job(id.0)?, id.1 as usize)));
            if entry.state == TaskState::Exited {
                let keep = job.is_some_and(|(job, index)| {
                    !job.is_ended()
                        && (job.tasks[index].phase != TaskPhase::Done
                            || !job.recorded.contains(index as u32))
                });
                if !keep {
                    reaps.push(WorkerCommand::Reap {
                        task: entry.task.clone(),
                        attempt: entry.attempt,
                    });
                }
                continue;
            }
            let grace = match job {
                None => Some(0.0),
                Some((job, _)) if job.is_ended() => Some(0.0),
                Some((job, index)) if job.tasks[index].phase == TaskPhase::Stopping => {
                    Some(grace_of(&job.spec))
                }
                Some(_) => None,
            };
            if let Some(grace_s) = grace {
                let (task, attempt) = (entry.task.clone(), entry.attempt);
                calls.push(WorkerCommand::Kill { task, attempt, grace_s });
            }
        }
        if !reaps.is_empty() {
            let machine = &mut self.cluster.machines[m];
            // After a reap the worker has forgotten the attempt, so a copy of its start that is
            // still under way somewhere would run it again. A reap therefore always travels with
            // a token above that of every start sent before.
            if machine.token(self.term) <= machine.start_token && !machine.request_in_flight {
                machine.fencing_counter += 1;
            }
            if machine.token(self.term) > machine.start_token {
                calls.extend(reaps);
            }
        }
        calls.truncate(MAX_COMMANDS);
        calls
    }

    /// Looks up the tasks of a heartbeat, each once.
    pub(crate) fn resolve<'a>(&self, heartbeat: &'a Heartbeat) -> Vec<ReportedTask<'a>> {
        let resolve = |entry: &'a protocol::workers::TaskStatus| {
            let id = protocol::workers::parse_task_id(&entry.task).and_then(|(name, index)| {
                let &job_index = self.cluster.jobs_by_name.get(name)?;
                let exists = (index as usize) < self.cluster.job(job_index)?.tasks.len();
                exists.then_some((job_index, index))
            });
            ReportedTask { entry, id }
        };
        heartbeat.tasks.iter().map(resolve).collect()
    }

    /// Merges a heartbeat into the registry. Older reports add unpersisted_since and take none away. An answer to a
    /// direct command comes from the machine as it is now; a heartbeat that came by itself may be a
    /// copy from long ago.
    pub(crate) fn reconcile_heartbeat(
        &mut self,
        now: Timestamp,
        heartbeat: &Heartbeat,
        entries: &[ReportedTask],
        direct: bool,
    ) -> MachineIndex {
        let m = self.cluster.machine_named(now, &heartbeat.machine);
        let newer = {
            let known = &self.cluster.machines[m];
            (heartbeat.agent_epoch, heartbeat.sequence) > (known.agent_epoch, known.sequence)
        };
        if self.cluster.machines[m].state == MachineState::Terminated {
            return m;
        }
        // A finish is a finish, however late the heartbeat that tells it.
        for ReportedTask { entry, id } in entries {
            if entry.state == TaskState::Exited && entry.cause == Some(ExitReason::Done) {
                if let Some(id) = id {
                    self.finish(now, *id, m, entry.attempt);
                }
            }
        }
        if !newer {
            return m;
        }
        self.cluster.invalidate_cached_heartbeat(m);
        if heartbeat.token.term() > self.term {
            return m; // Another leader's to judge.
        }
        self.adopt(now, m, heartbeat, direct);
        self.enqueue_send(m);
        let mut unexpected_tasks = 0;
        self.cluster.conflicting_replicas.retain(|_, on| *on != m);
        for ReportedTask { entry, id } in entries {
            if entry.state == TaskState::Exited {
                continue;
            }
            if !id.is_some_and(|id| self.cluster.is_placed(m, id, entry.attempt)) {
                unexpected_tasks += 1;
                if let Some(id) = id {
                    self.cluster.conflicting_replicas.insert(*id, m);
                }
            }
        }
        let by_task = EntriesByTask::new(entries);
        if unexpected_tasks > 0 {
            self.log_once(&heartbeat.machine, Anomaly::UnexpectedTasks);
        }
        let mine: Vec<TaskId> = self.cluster.machines[m].tasks.iter().copied().collect();
        let mut changed = unexpected_tasks != self.cluster.machines[m].unexpected_tasks;
        self.cluster.machines[m].unexpected_tasks = unexpected_tasks;
        for id in mine {
            let Some(job) = self.cluster.job(id.0) else { continue };
            let task = job.tasks[id.1 as usize];
            let entry = by_task.newest(id).filter(|e| e.attempt == task.attempt);
            match entry {
                // An attempt that was refused since another is there says that the task is there. (Taken
                // for absent, it was started a second time elsewhere.)
                _ if entry.is_none_or(|e| e.state == TaskState::Exited) && by_task.any_live(id) => {
                }
                Some(e) if e.state == TaskState::Exited => {
                    changed = true;
                    self.exited(now, id, m, e.cause.unwrap_or(ExitReason::Other));
                }
                Some(e) => {
                    if e.state == TaskState::Running {
                        let image = job.spec.image.clone();
                        let began = self.cluster.began(now, &task);
                        if let Some(job) = self.cluster.jobs.get_mut(&id.0) {
                            let since = *job.started.entry(id.1).or_insert(began);
                            job.has_started |= now.since(since) >= STARTED_AFTER;
                        }
                        self.cluster.has_image(m, image);
                    }
                    self.cluster.apply(now, id, TaskEvent::Observed);
                }
                None => {
                    // An absent task proves nothing while its start may still be under way:
                    // the worker must have moved on to a later agent epoch, or have seen a token
                    // above the one that the start carries.
                    let proven = task.token != FencingToken::NONE
                        && (heartbeat.agent_epoch > task.agent_epoch
                            || heartbeat.token > task.token);
                    if proven {
                        changed = true;
                        self.cluster.apply(now, id, TaskEvent::ProvenAbsent);
                    }
                }
            }
        }
        // A confirmed task that is missing under the very token it was sent with is strange;
        // a raised fence turns the next heartbeat into proof.
        let machine = &self.cluster.machines[m];
        let doubt = machine.tasks.iter().any(|id| {
            self.cluster.job(id.0).is_some_and(|j| {
                let t = &j.tasks[id.1 as usize];
                t.token != FencingToken::NONE
                    && t.token == machine.token(self.term)
                    && !machine.request_in_flight
                    && by_task.newest(*id).is_none()
            })
        });
        if doubt {
            self.cluster.machines[m].fencing_counter += 1;
        }
        self.cluster.placement_needed |= changed;
        m
    }

    /// Takes over what a newer heartbeat says of its machine.
    fn adopt(&mut self, now: Timestamp, m: MachineIndex, heartbeat: &Heartbeat, direct: bool) {
        let kind = self.cluster.machine_types.iter().position(|t| t.name == heartbeat.kind);
        let term = self.term;
        let machine = &mut self.cluster.machines[m];
        // Only a worker that has heard of this term, or answers right now, shows that its machine
        // lives. Anything else may be a copy, minutes old, that reached a leader which never saw
        // the newer ones: the machine is asked, and nothing else comes of it.
        let live = direct || heartbeat.token >= FencingToken::first_of(term);
        if heartbeat.agent_epoch > machine.agent_epoch {
            // A new agent epoch begins without tasks, and without messages meant for the old one.
            machine.outbox.clear();
            if machine.agent_epoch > AgentEpoch::NONE && !direct {
                // Its lease ran out though its heartbeats arrive: answers may not reach it.
                machine.raise_fencing_counter(now, term);
            }
        }
        let first = machine.acknowledged_token < FencingToken::first_of(term);
        machine.agent_epoch = heartbeat.agent_epoch;
        machine.sequence = heartbeat.sequence;
        machine.acknowledged_token = heartbeat.token;
        if live || machine.address.is_empty() {
            machine.address.clone_from(&heartbeat.address);
        }
        if machine.acknowledged_token >= machine.required_token {
            // Open again: there may be work that waited for it.
            self.cluster.placement_needed |= machine.unacknowledged_since.take().is_some();
            if machine.consecutive_losses <= 1 {
                machine.retry_at = machine.retry_at.min(now);
            }
        }
        machine.kind = kind;
        machine.spot = heartbeat.spot;
        machine.hinted_up_at.get_or_insert(now);
        if machine.zone != heartbeat.zone {
            // Tasks loaded before the machine was known were counted under no zone.
            let old = std::mem::replace(&mut machine.zone, heartbeat.zone.clone());
            let tasks: Vec<TaskId> = machine.tasks.iter().copied().collect();
            self.cluster.rezone(&tasks, &old, &heartbeat.zone);
        }
        if !live {
            return;
        }
        let machine = &mut self.cluster.machines[m];
        machine.last_heartbeat = now;
        machine.expected = true;
        if machine.state == MachineState::Booting {
            machine.state = MachineState::Up;
            machine.idle_since = now;
            self.cluster.placement_needed = true;
        }
        let machine = &mut self.cluster.machines[m];
        let interruption_at =
            heartbeat.interruption_notice_s.map(|s| now + TimeDelta::from_secs_f64(s));
        let new = interruption_at.is_some() && machine.interruption_at.is_none();
        machine.interruption_at = match (interruption_at, machine.interruption_at) {
            (Some(_), Some(known)) => Some(known),
            (interruption_at, _) => interruption_at,
        };
        let machine = machine.name.clone();
        if new {
            self.cluster.placement_needed = true;
            self.log(Event::MachineInterruptionNotice { machine });
        }
        let machine = &self.cluster.machines[m];
        if first && machine.acknowledged_token >= FencingToken::first_of(term) {
            self.cluster.placement_needed = true;
        }
    }

    fn finish(&mut self, now: Timestamp, id: TaskId, m: MachineIndex, attempt: Attempt) {
        let Some(job) = self.cluster.job(id.0) else { return };
        let Some(task) = job.tasks.get(id.1 as usize) else { return };
        if task.phase == TaskPhase::Done || attempt > task.attempt {
            return;
        }
        let here = task.machine == m && task.attempt == attempt;
        if task.phase.placed() && !here {
            // An older attempt finished after all. The newer one is of no use: it is stopped
            // first, and only its proven absence lets the registry forget it.
            if task.token != FencingToken::NONE || task.phase != TaskPhase::Dispatching {
                self.stop(now, id, 0.0);
            }
            return;
        }
        if here {
            if let Some(&began) = job.started.get(&id.1) {
                let ran = now.since(began).as_secs_f64();
                let (class, estimate) = (job.spec.class.clone(), job.spec.estimate_s);
                self.run_times.learn_ratio(class, ran, estimate);
                if let Some(job) = self.cluster.jobs.get_mut(&id.0) {
                    job.run_times.0 += ran;
                    job.run_times.1 += 1;
                }
            }
        }
        if let Some(job) = self.cluster.jobs.get_mut(&id.0) {
            job.has_started = true;
        }
        // What completes anything isn't sick; and a job that comes off somewhere was not at fault
        // where it failed.
        let machine = &mut self.cluster.machines[m];
        machine.failures.clear();
        machine.completed_at = now;
        let first = self.cluster.job(id.0).filter(|j| j.done == 0);
        let failed: Vec<(MachineIndex, Timestamp)> = first
            .map_or(Vec::new(), |j| j.error_machines.iter().map(|(&m, &at)| (m, at)).collect());
        for (other, at) in failed {
            if self.cluster.machines[other].completed_at < at {
                self.attribute_failure(other, id.0);
            }
        }
        self.cluster.apply(now, id, TaskEvent::Completed);
    }

    /// The job failed on the machine, and not by its own fault as far as can be told.
    fn attribute_failure(&mut self, m: MachineIndex, job: crate::model::ids::JobIndex) {
        let machine = &mut self.cluster.machines[m];
        machine.failures.insert(job);
        if machine.failures.len() as u32 >= self.tunables.sick_after
            && machine.drain_reason.is_none()
        {
            self.drain(m.as_usize(), DrainReason::FailsTasks);
        }
    }

    /// A task's attempt ended on its machine for another reason than completion.
    fn exited(&mut self, now: Timestamp, id: TaskId, m: MachineIndex, cause: ExitReason) {
        if cause == ExitReason::Done {
            return;
        }
        self.cluster.apply(now, id, TaskEvent::ProvenAbsent);
        let Some(job) = self.cluster.jobs.get_mut(&id.0) else { return };
        match cause {
            ExitReason::Error | ExitReason::Unknown | ExitReason::Other => {
                job.error_machines.insert(m, now);
                // A job that fails on machine after machine, and nowhere comes off, is at fault
                // itself: it is tried at ever longer intervals and no machine is blamed for it.
                let suspect = job.suspect();
                if suspect && now >= job.not_before {
                    job.errors += 1;
                    job.not_before = now + TimeDelta::from_secs(1u64 << job.errors.min(5));
                }
                let name = job.name.clone();
                let cleared: Vec<MachineIndex> = match suspect {
                    true => job.error_machines.keys().copied().collect(),
                    false => Vec::new(),
                };
                for other in cleared {
                    self.cluster.machines[other].failures.remove(&id.0);
                }
                let machine = self.cluster.machines[m].name.clone();
                self.log(Event::TaskFailed { task: format!("{name}/{}", id.1), machine });
                if !suspect {
                    self.attribute_failure(m, id.0);
                }
            }
            ExitReason::NoRoom | ExitReason::InUse => {
                job.not_before = now + TimeDelta::from_millis(500);
            }
            ExitReason::Stopped | ExitReason::Done => {}
        }
    }

    /// Settles starts that no receipt confirmed by their deadline, and gives machines up that
    /// stay silent. Neither makes a task free: only proof does.
    pub(crate) fn settle(&mut self, now: Timestamp) {
        let limit = self.site.worker_lease + self.tunables.settle_margin;
        let mut late = Vec::new();
        for m in &self.cluster.machines {
            if m.tasks.is_empty() || now.since(m.last_heartbeat) < self.site.heartbeat_interval {
                continue;
            }
            for &id in &m.tasks {
                if let Some(job) = self.cluster.job(id.0) {
                    let t = &job.tasks[id.1 as usize];
                    if t.phase == TaskPhase::Dispatching
                        && t.token != FencingToken::NONE
                        && now.since(t.since) >= limit
                    {
                        late.push(id);
                    }
                }
            }
        }
        for id in late {
            if self.cluster.apply(now, id, TaskEvent::ConfirmationExpired) {
                let Some(job) = self.cluster.job(id.0) else { continue };
                let task = format!("{}/{}", job.name, id.1);
                self.log(Event::StartUnconfirmed { task });
            }
        }
    }

    /// The machine and all that was on it are certainly gone.
    pub fn machine_gone(&mut self, now: Timestamp, name: &str) {
        let Some(&m) = self.cluster.machines_by_name.get(name) else { return };
        let machine = &mut self.cluster.machines[m];
        if machine.state == MachineState::Terminated {
            return;
        }
        machine.state = MachineState::Terminated;
        machine.outbox.clear();
        self.cluster.invalidate_cached_heartbeat(m);
        self.cluster.conflicting_replicas.retain(|_, on| *on != m);
        self.cluster.terminated.push_back((now, m));
        // Starts that waited for the next message to it are never sent.
        self.release_starts(now, m, false);
        let machine = &self.cluster.machines[m];
        let tasks: Vec<TaskId> = machine.tasks.iter().copied().collect();
        self.lost_with_machine(now, &tasks);
        self.cluster.placement_needed = true;
    }

    /// The tasks' machine has certainly stopped, and they with it.
    pub(crate) fn lost_with_machine(&mut self, now: Timestamp, tasks: &[TaskId]) {
        for &id in tasks {
            let unsent = self.cluster.job(id.0).is_some_and(|j| {
                let t = &j.tasks[id.1 as usize];
                t.phase == TaskPhase::Dispatching && t.token == FencingToken::NONE
            });
            // An unsent start is settled by the answer to its own write.
            if !unsent {
                self.cluster.apply(now, id, TaskEvent::ProvenAbsent);
            }
        }
    }
}
