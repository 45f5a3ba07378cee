//! Handles input from workers: heartbeats, repeated heartbeats, and the outcomes of requests.

use crate::command::{Command, MessageOutcome};
use crate::event::{Anomaly, Event};
use crate::leadership::fencing_token::FencingToken;
use crate::model::ids::MachineIndex;
use crate::protocol::workers::Heartbeat;
use crate::reconciliation::heartbeat_cache::{CacheHolder, CachedHeartbeat};
use crate::reconciliation::heartbeats::{
    HeartbeatAnswer, HeartbeatRefusal, HeartbeatSource, Reconciler,
};
use crate::reconciliation::reported_tasks::ReportedTasks;
use crate::reconciliation::{machine_loss, repeated_heartbeats, response};
use crate::scheduler::Scheduler;
use crate::time::{TimeDelta, Timestamp};

impl Scheduler {
    /// Reconciles the state of the cluster with a worker's heartbeat, and returns the answer to the
    /// worker.
    ///
    /// # Errors
    ///
    /// Returns an error if this node may not answer, because another node leads or because it can't
    /// renew a lease safely. In the second case the information in the heartbeat is still applied.
    pub fn handle_heartbeat(
        &mut self,
        now: Timestamp,
        heartbeat: &Heartbeat,
    ) -> Result<HeartbeatAnswer, HeartbeatRefusal> {
        let acknowledged = heartbeat.token.term();
        if acknowledged > self.term {
            // If the reported term is real, the leader key confirms it. A corrupt token must not
            // end this term.
            self.log_once(&heartbeat.machine, Anomaly::NewerTerm);
            self.commands.push(Command::VerifyLeadership);
            return Err(HeartbeatRefusal::NewerTerm { acknowledged, term: self.term });
        }
        let reported = ReportedTasks::resolve(&self.cluster, heartbeat);
        let machine =
            self.reconcile_heartbeat(now, heartbeat, &reported, HeartbeatSource::Connection);
        if !self.authority.may_renew_leases(now) {
            return Err(HeartbeatRefusal::CancellationsUnknown);
        }
        let (answer, anomaly) =
            response::answer(&mut self.cluster, now, machine, heartbeat, &reported);
        if let Some(anomaly) = anomaly {
            self.log_once(&heartbeat.machine, anomaly);
        }
        Ok(answer)
    }

    /// Handles the outcome of a [`Command::SendToWorker`].
    pub fn message_answered(
        &mut self,
        now: Timestamp,
        machine: MachineIndex,
        outcome: MessageOutcome,
    ) {
        let heartbeat = self.messages.request_ended(&mut self.cluster, now, machine, outcome);
        if let Some(heartbeat) = heartbeat {
            let reported = ReportedTasks::resolve(&self.cluster, &heartbeat);
            self.reconcile_heartbeat(now, &heartbeat, &reported, HeartbeatSource::DirectAnswer);
        }
    }

    fn reconcile_heartbeat(
        &mut self,
        now: Timestamp,
        heartbeat: &Heartbeat,
        reported: &ReportedTasks,
        source: HeartbeatSource,
    ) -> MachineIndex {
        let mut reconciler = Reconciler {
            now,
            sick_after: self.tunables.sick_after,
            cluster: &mut self.cluster,
            messages: &mut self.messages,
            run_times: &mut self.run_times,
            events: Vec::new(),
        };
        let machine = reconciler.reconcile(heartbeat, reported, source);
        let events = reconciler.events;
        self.log_all(events);
        machine
    }

    /// Logs the events in order, with each anomaly only once per name and kind.
    pub(crate) fn log_all(&mut self, events: Vec<Event>) {
        for event in events {
            match event {
                Event::Anomaly { name, kind } => self.log_once(&name, kind),
                event => self.log(event),
            }
        }
    }

    /// Caches a heartbeat so that repetitions of it needn't be parsed. Must be called right after
    /// the heartbeat was answered without commands. Returns `None` if a repetition must be handled
    /// in full.
    pub fn cache_heartbeat(
        &mut self,
        now: Timestamp,
        heartbeat: &Heartbeat,
        holder: CacheHolder,
    ) -> Option<CachedHeartbeat> {
        repeated_heartbeats::cache(&mut self.cluster, now, heartbeat, holder)
    }

    /// Returns how long repetitions of the cached heartbeat carry no new information, unless
    /// another event invalidates the entry.
    pub fn cached_for(&self, now: Timestamp, cached: CachedHeartbeat) -> TimeDelta {
        self.cluster.heartbeat_cache.valid_for(now, cached)
    }

    /// Answers a repetition of the cached heartbeat that differs only in its sequence number.
    /// Returns the token to answer with, without any commands, or `None` if the heartbeat must be
    /// handled in full.
    pub fn answer_repeated_heartbeat(
        &mut self,
        now: Timestamp,
        cached: CachedHeartbeat,
        sequence: u64,
    ) -> Option<FencingToken> {
        if !self.authority.may_renew_leases(now)
            || !self.record_repeated_heartbeat(now, cached, sequence)
        {
            return None;
        }
        let machine = self.cluster.machines.get(cached.machine.as_usize())?;
        Some(machine.token(self.term))
    }

    /// Records a repetition of the cached heartbeat, received here or answered by the follower that
    /// holds the cache entry. Returns whether the entry was still valid and the repetition newer
    /// than the last.
    pub fn record_repeated_heartbeat(
        &mut self,
        now: Timestamp,
        cached: CachedHeartbeat,
        sequence: u64,
    ) -> bool {
        repeated_heartbeats::record_repetition(&mut self.cluster, now, cached, sequence)
    }

    /// Handles the confirmed termination of a machine and of everything that ran on it.
    pub fn machine_gone(&mut self, now: Timestamp, name: &str) {
        machine_loss::machine_terminated(&mut self.cluster, &mut self.messages, now, name);
    }
}
