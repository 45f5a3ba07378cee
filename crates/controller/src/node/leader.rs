//! The work of a node that leads: it renews its lease, loads the records, and then runs the
//! scheduler whenever something has changed. All of it ends with the term.

mod commands;
mod job_ends;
pub(super) mod lease;
mod loading;
mod machine_list;
mod reconciling;
mod watches;

pub(super) use loading::next_page_until_answered;

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

/// Time for which a leader that was cut off from workers does not campaign again.
const STEP_DOWN_BACKOFF: TimeDelta = TimeDelta::from_secs(15);
/// Longest time between two rounds when nothing wakes the leader.
const MAX_ROUND_INTERVAL: Duration = Duration::from_millis(100);
/// Shortest and longest pause between two rounds.
const MIN_PAUSE: Duration = Duration::from_millis(10);
const MAX_PAUSE: Duration = Duration::from_millis(500);

/// State of the leader that is not part of the scheduler.
pub(super) struct LeaderState {
    /// Signals that there is something for the scheduler to decide.
    wake: Notify,
    step_down: Notify,
    /// Time until which the leader's lease is certainly held.
    lease_until: Cell<Instant>,
    /// Number used in the name of the last scale-out request of this process.
    last_scale_out_number: Cell<u64>,
    /// Whether a check of the leader key, or the pause after it, is in progress.
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

    /// Makes the leader loop start its next round soon.
    pub(super) fn wake(&self) {
        self.wake.notify_one();
    }

    /// Tells the leader's tasks to end.
    pub(super) fn signal_step_down(&self) {
        self.step_down.notify_waiters();
    }

    fn step_down_signal(&self) -> Notified<'_> {
        self.step_down.notified()
    }

    /// Extends the lease after it was granted or renewed by a request sent at `sent`.
    pub(super) fn lease_renewed(&self, sent: Instant, ttl: Duration) {
        self.lease_until.set(sent + lease::safe_lease_duration(ttl));
    }

    /// Returns whether the lease is certainly held. It is measured by this node's own clock from
    /// before the request was sent, so it is never assumed to last too long.
    pub(super) fn holds_lease(&self) -> bool {
        Instant::now() < self.lease_until.get()
    }

    fn next_scale_out_number(&self) -> u64 {
        let number = self.last_scale_out_number.get() + 1;
        self.last_scale_out_number.set(number);
        number
    }
}

/// Performs all work of a leader until its term ends.
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

/// Returns the pause after a round of this duration: long enough that the node's CPU share gives
/// other tasks as much CPU time as the round used. Under load the next round then handles more
/// changes at once. Without a pause, rounds of 2 ms each used the whole share of 1/50 core for ten
/// seconds, and heartbeats and submissions waited behind them.
fn pause_after_round(round: Duration, cpu_share: f64) -> Duration {
    round.div_f64(cpu_share).clamp(MIN_PAUSE, MAX_PAUSE)
}

/// Runs the scheduler whenever something has changed, and at least every `MAX_ROUND_INTERVAL`.
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

/// Runs one round of the scheduler. Returns false if this node no longer leads.
fn run_round(node: &Rc<Node>, term: Term) -> bool {
    let now = node.now();
    let mut scheduler = node.scheduler.borrow_mut();
    let Some(active_scheduler) = scheduler.as_mut() else { return false };
    if is_cut_off_from_workers(node, active_scheduler, now) {
        drop(scheduler);
        // A leader that no worker reaches is of no use. It backs off for a while so that another
        // node can lead.
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

/// Returns whether workers reach another node but not this one.
fn is_cut_off_from_workers(node: &Node, scheduler: &Scheduler, now: Timestamp) -> bool {
    (node.cluster_view.workers_reach_other_nodes() && scheduler.receives_no_heartbeats(now))
        || (node.delegation.has_followers() && scheduler.workers_unreachable(now))
}

fn run_scheduler_tick(node: &Node, scheduler: &mut Scheduler, now: Timestamp) -> Vec<Command> {
    let allowance = node.key_value.write_allowance();
    scheduler
        .set_write_allowance(WriteAllowance { left: allowance.now, per_s: allowance.max_burst });
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

/// Applies a response to the scheduler if it still runs in the term, and wakes the leader.
pub(super) fn with_scheduler(
    node: &Node,
    term: Term,
    apply: impl FnOnce(&mut Scheduler, Timestamp),
) {
    let now = node.now();
    if let Some(scheduler) = node.scheduler.borrow_mut().as_mut() {
        // A response to a request of an earlier term has no meaning for the records of this one.
        if scheduler.term == term {
            apply(scheduler, now);
        }
    }
    node.wake_leader();
}

/// Puts a scheduler that has loaded the records into use.
///
/// Machine types may have been read during the loading, when there was no scheduler to receive
/// them. On loopback, where the cloud responds within that time, a leader without types neither
/// scaled out nor placed tasks until a price changed.
///
/// Job ends sent by other nodes during the loading are applied too: they count as known here
/// because this node has acknowledged them.
pub(super) fn install_scheduler(node: &Node, mut scheduler: Scheduler) {
    scheduler.cluster.set_types(node.machine_types.borrow().clone());
    for (job, end) in node.cancellations.take_buffered_ends() {
        scheduler.job_ended(node.now(), &job, end);
    }
    node.scheduler.replace(Some(scheduler));
}

#[cfg(test)]
mod tests;
