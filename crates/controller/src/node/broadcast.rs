//! Periodic messages to all peers: the node's status and, from the leader, the job progress that
//! users are shown and the machine addresses that speed up a failover.

use std::cell::{Cell, RefCell};
use std::collections::HashMap;
use std::rc::Rc;

use tokio::time::{sleep, Duration};
use walnutlug_scheduler::leadership::election::Role;
use walnutlug_scheduler::leadership::fencing_token::Term;
use walnutlug_scheduler::leadership::watermark::request_interval;
use walnutlug_scheduler::model::ids::MachineIndex;
use walnutlug_scheduler::model::machine::MachineState;
use walnutlug_scheduler::scheduler::Scheduler;

use super::Node;
use crate::peers::{Frame, HeldJobs, MachineAddress, NodeStatus, MAX_MACHINES};

/// Number of broadcasts after which the redirect count is reset.
const BROADCASTS_PER_REDIRECT_COUNT: u32 = 6;
/// Number of broadcasts after which the leader tells again what its jobs may take. Nodes count what
/// they accept meanwhile.
const BROADCASTS_PER_HELD_JOBS: u64 = 5;
/// Number of broadcasts, at most a second apart, in which every machine's address is sent once.
/// Each sends at least one full frame, so a cycle stays well within the time for which an address
/// is valid, whatever the size of the fleet.
const ADDRESS_CYCLE_BROADCASTS: usize = 6;

/// Tracks what this node has already broadcast.
#[derive(Default)]
pub(super) struct BroadcastState {
    /// Number of statuses sent by this process; the next status carries it as its sequence number.
    statuses_sent: Cell<u64>,
    /// The (done, running) task counts last sent for each open job.
    last_job_counts: RefCell<HashMap<String, (u32, u32)>>,
    /// Name of the last machine whose address was sent in the current cycle; empty at the start of
    /// a cycle.
    last_machine_sent: RefCell<String>,
}

/// Sends the periodic broadcasts and probes the key-value store until the process ends.
pub(super) async fn run(node: Rc<Node>) {
    let mut broadcasts = 0u32;
    loop {
        let leading = node.broadcast_status();
        broadcasts += 1;
        if broadcasts.is_multiple_of(BROADCASTS_PER_REDIRECT_COUNT) {
            node.load.reset_redirect_count();
        }
        if leading {
            if let Some(scheduler) = node.scheduler.borrow().as_ref() {
                broadcast_progress(&node, scheduler);
                broadcast_addresses(&node, scheduler);
                broadcast_held_jobs(&node, scheduler);
            }
        }
        let probing_node = node.clone();
        tokio::task::spawn_local(async move { probing_node.key_value.probe().await });
        sleep(Duration::from_micros(request_interval(&node.site).0)).await;
    }
}

impl Node {
    /// Sends this node's status to all peers and returns whether this node leads. Peers answer a
    /// leader's status with the end of their cancellation log.
    pub(crate) fn broadcast_status(&self) -> bool {
        let (term, leading) = match self.leadership.borrow().role() {
            Role::Leader { term } | Role::Loading { term } => (term, true),
            Role::Follower | Role::Candidate => (Term::NONE, false),
        };
        let count = self.broadcasts.statuses_sent.get();
        if leading {
            self.cancellations.log_ends_requested(self.now(), count);
        }
        self.broadcast(&Frame::Status(NodeStatus {
            name: self.settings.node_name.clone(),
            term,
            leading,
            store_reachable: self.key_value.store_reachable(),
            redirected: self.load.redirect_count(),
            incarnation: self.identity.incarnation,
            count,
        }));
        self.broadcasts.statuses_sent.set(count + 1);
        if self.key_value.limits_lowered() {
            // Otherwise a node that becomes leader later would learn of the lowered limits only
            // from rejected writes.
            self.broadcast(&Frame::LimitsLowered);
        } else if self.key_value.rates_lowered() {
            self.broadcast(&Frame::RatesLowered);
        }
        leading
    }
}

fn broadcast_progress(node: &Node, scheduler: &Scheduler) {
    let jobs = &scheduler.cluster.jobs_by_name;
    let mut sent = node.broadcasts.last_job_counts.borrow_mut();
    sent.retain(|job, _| jobs.contains_key(job));
    for (job, &index) in jobs {
        let Some(counts) = scheduler.cluster.counts(index) else { continue };
        if sent.get(job) != Some(&counts) {
            sent.insert(job.clone(), counts);
            let (done, running) = counts;
            node.broadcast(&Frame::Progress { job: job.clone(), done, running });
        }
    }
}

/// Tells the peers from time to time how much memory the jobs may take, and records it for this node.
/// A leader that the store doesn't answer may not know the newest jobs.
fn broadcast_held_jobs(node: &Node, scheduler: &Scheduler) {
    let sent = node.broadcasts.statuses_sent.get();
    let is_due = sent.is_multiple_of(BROADCASTS_PER_HELD_JOBS);
    if !node.key_value.store_reachable() || !is_due {
        return;
    }
    let held = HeldJobs { term: scheduler.term, bytes: scheduler.cluster.job_bytes() };
    node.user_api.record_held_jobs(node.now(), held.bytes);
    node.broadcast(&Frame::HeldJobs(held));
}

/// Sends the next batch of machine addresses in name order and starts over after the last one.
fn broadcast_addresses(node: &Node, scheduler: &Scheduler) {
    let cluster = &scheduler.cluster;
    let mut last_name = node.broadcasts.last_machine_sent.borrow_mut();
    let is_next = |(name, &index): &(&String, &MachineIndex)| {
        **name > *last_name && cluster.machines[index].state == MachineState::Up
    };
    let mut next: Vec<(&String, &MachineIndex)> =
        cluster.machines_by_name.iter().filter(is_next).collect();
    next.sort_unstable();
    let batch_size =
        cluster.machines_by_name.len().div_ceil(ADDRESS_CYCLE_BROADCASTS).max(MAX_MACHINES);
    let last_sent = match next.get(batch_size) {
        Some(_) => next[batch_size - 1].0.clone(),
        None => String::new(),
    };
    *last_name = last_sent;
    next.truncate(batch_size);
    for chunk in next.chunks(MAX_MACHINES) {
        let machines = chunk.iter().filter_map(|(name, &index)| {
            let address = cluster.machines[index].address.parse().ok()?;
            Some(MachineAddress { machine: (*name).clone(), address })
        });
        node.broadcast(&Frame::Machines(machines.collect()));
    }
}
