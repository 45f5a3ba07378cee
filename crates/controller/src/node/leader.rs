//! A node that leads: it keeps its lease, reads the records, and then lets the scheduler decide whenever something
//! happened. All of it ends with the term.

mod commands;
mod job_ends;
pub(super) mod lease;
mod loading;
mod machine_list;
mod reconciling;
mod watches;

pub(super) use loading::list_until_answered;

use std::cell::Cell;
use std::rc::Rc;
use walnutlug_scheduler::leadership::fencing_token::Term;

use tokio::sync::futures::Notified;
use tokio::sync::Notify;
use tokio::time::{sleep, timeout, Duration, Instant};
use walnutlug_scheduler::command::Command;
use walnutlug_scheduler::scheduler::Scheduler;
use walnutlug_scheduler::storage::transactions::{TransactionLimits, WriteAllowance};
use walnutlug_scheduler::time::{TimeDelta, Timestamp};

use super::step_down::StepDownCause;
use super::{fleet_role, heartbeats, Node};
use lease::HeldLease;

/// How long a leader that stepped down leaves the lead to others.
const STEP_DOWN_BACKOFF: TimeDelta = TimeDelta::from_secs(15);
/// Longest time between two rounds in which nothing wakes the leader.
const MAX_ROUND_INTERVAL: Duration = Duration::from_millis(100);
/// Shortest and longest pause between two rounds.
const MIN_PAUSE: Duration = Duration::from_millis(10);
const MAX_PAUSE: Duration = Duration::from_millis(500);

/// What a leader keeps beside the scheduler.
pub(super) struct LeaderState {
    /// Something is to be decided.
    wake: Notify,
    step_down: Notify,
    /// Until when the leader's lease is certainly held.
    lease_until: Cell<Instant>,
    /// Requests to scale out that this process named.
    last_scale_out_number: Cell<u64>,
    /// Whether the leader key is being read.
    verifying_leader_key: Cell<bool>,
}

impl LeaderState {
    pub(super) fn new() -> LeaderState {
        LeaderState {
            wake: Notify::new(),
            step_down: Notify::new(),
            lease_until: Cell::new(Instant::now()),
            last_scale_out_number: Cell::default(),
            verifying_leader_key: Cell::default(),
        }
    }

    /// Begins the next round soon.
    pub(super) fn wake(&self) {
        self.wake.notify_one();
    }

    /// Ends the leader's tasks.
    pub(super) fn signal_step_down(&self) {
        self.step_down.notify_waiters();
    }

    fn step_down_signal(&self) -> Notified<'_> {
        self.step_down.notified()
    }

    /// The lease was granted or renewed by a request that was sent at that time.
    pub(super) fn lease_renewed(&self, sent: Instant, ttl: Duration) {
        self.lease_until.set(sent + lease::safe_lease_duration(ttl));
    }

    /// Whether the lease is certainly held. By this node's own clock, and from before the request was sent, so never
    /// too long.
    pub(super) fn holds_lease(&self) -> bool {
        Instant::now() < self.lease_until.get()
    }

    fn next_scale_out_number(&self) -> u64 {
        let number = self.last_scale_out_number.get() + 1;
        self.last_scale_out_number.set(number);
        number
    }
}

/// Everything that a leader does, until it leads no more.
pub(super) async fn lead(node: &Rc<Node>, term: Term, held_lease: HeldLease) {
    let renewal_task =
        tokio::task::spawn_local(lease::renew_until_expired(node.clone(), held_lease));
    let stepped_down = node.leader.step_down_signal();
    let work = async {
        match loading::load(node, term).await {
            Ok(()) => run_scheduler(node, term).await,
            Err(error) => node.step_down(StepDownCause::RecordsUnreadable(error)),
        }
    };
    tokio::select! {
        _ = stepped_down => {}
        _ = work => {}
    }
    node.step_down(StepDownCause::TermOver);
    renewal_task.abort();
}

/// What the leader leaves to everything else after a round that took so long: as much of the node's part of a core as
/// the round used. Under load the next round then decides more at once. (Without a pause, rounds of 2 ms each took all
/// of a fiftieth of a core for ten seconds, and heartbeats and submissions waited behind them.)
fn pause_after_round(round: Duration, cpu_share: f64) -> Duration {
    round.div_f64(cpu_share).clamp(MIN_PAUSE, MAX_PAUSE)
}

/// The leader's loop: whenever something happened, and now and then, the scheduler decides.
async fn run_scheduler(node: &Rc<Node>, term: Term) {
    let mut last_pause_end = Instant::now();
    while node.leads_in_term(term) {
        let round_start = Instant::now();
        if !run_round(node, term) {
            return;
        }
        let pause = pause_after_round(round_start.elapsed(), node.settings.cpu_share);
        let remaining_pause = pause.saturating_sub(last_pause_end.elapsed());
        if !remaining_pause.is_zero() {
            sleep(remaining_pause).await;
        }
        last_pause_end = Instant::now();
        let _ = timeout(MAX_ROUND_INTERVAL, node.leader.wake.notified()).await;
    }
}

/// One round. False if there is nothing to lead any more.
fn run_round(node: &Rc<Node>, term: Term) -> bool {
    let now = node.now();
    let mut scheduler = node.scheduler.borrow_mut();
    let Some(active_scheduler) = scheduler.as_mut() else { return false };
    if is_cut_off_from_workers(node, active_scheduler, now) {
        drop(scheduler);
        // Leading from here serves nobody. Another node may, and this one holds back for a while.
        node.leadership.borrow_mut().back_off(now, STEP_DOWN_BACKOFF);
        node.step_down(StepDownCause::CutOffFromWorkers);
        return false;
    }
    let commands = run_scheduler_tick(node, active_scheduler, now);
    drop(scheduler);
    heartbeats::leader::send_invalidations(node);
    for command in commands {
        commands::execute(node, term, command);
    }
    fleet_role::advance_intents(node, term);
    true
}

/// Whether no worker reaches this node while they reach another one.
fn is_cut_off_from_workers(node: &Node, scheduler: &Scheduler, now: Timestamp) -> bool {
    (node.cluster_view.workers_reach_other_nodes() && scheduler.hears_no_worker(now))
        || (node.delegation.has_followers() && scheduler.reaches_no_worker(now))
}

fn run_scheduler_tick(node: &Node, scheduler: &mut Scheduler, now: Timestamp) -> Vec<Command> {
    let allowance = node.key_value.write_allowance();
    scheduler.set_write_allowance(WriteAllowance { left: allowance.now, most: allowance.most });
    let limits = node.key_value.limits();
    scheduler.set_limits(TransactionLimits {
        value_bytes: limits.value_bytes,
        operations: limits.txn_ops,
    });
    scheduler.authority.set_holds_lease(node.leader.holds_lease());
    scheduler.authority.set_cancellations_known_until(node.cancellations_known_until());
    scheduler.tick(now);
    scheduler.autoscale(now);
    scheduler.take_commands()
}

/// Applies an answer to the scheduler of that term, and wakes the leader.
pub(super) fn with_scheduler(
    node: &Node,
    term: Term,
    apply: impl FnOnce(&mut Scheduler, Timestamp),
) {
    let now = node.now();
    if let Some(scheduler) = node.scheduler.borrow_mut().as_mut() {
        // Answers to a former term's requests mean nothing to this one's records.
        if scheduler.term == term {
            apply(scheduler, now);
        }
    }
    node.wake_leader();
}

/// Puts a scheduler that has read the records in charge. The machine types may have come meanwhile, when there was no
/// scheduler to give them to. (Seen on loopback, where the cloud answers within that time: a leader without types
/// scaled out and placed nothing until a price moved.)
///
/// So may ends that other nodes sent meanwhile, and which count as known here because they were acknowledged.
pub(super) fn install_scheduler(node: &Node, mut scheduler: Scheduler) {
    scheduler.cluster.set_types(node.machine_types.borrow().clone());
    for (job, end) in node.cancellations.take_buffered_ends() {
        scheduler.job_ended(node.now(), &job, end);
    }
    node.scheduler.replace(Some(scheduler));
}

#[cfg(test)]
mod tests;
