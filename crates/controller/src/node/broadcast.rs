//! What a node sends to all others every second: its status, and as the leader what they need for display and for a
//! quick failover.

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
use crate::peers::{Frame, MachineAddress, NodeStatus, MAX_MACHINES};

/// Broadcasts after which redirects are counted anew.
const REDIRECTS_COUNTED_OVER: u32 = 6;
/// Seconds in which all machines' addresses are sent once, one frame a second at least: well within the time for
/// which an address is valid, at any size.
const ADDRESS_CYCLE: usize = 6;

/// What was broadcast before.
#[derive(Default)]
pub(super) struct BroadcastState {
    /// Statuses sent by this incarnation.
    statuses: Cell<u64>,
    /// Each open job's counts as they were sent last.
    job_counts: RefCell<HashMap<String, (u32, u32)>>,
    /// The machine up to whose name addresses were sent in this cycle; empty at its beginning.
    last_machine: RefCell<String>,
}

/// Broadcasts for as long as the node lives.
pub(super) async fn run(node: Rc<Node>) {
    let mut count = 0u32;
    loop {
        let leading = node.broadcast_status();
        count += 1;
        if count.is_multiple_of(REDIRECTS_COUNTED_OVER) {
            node.load.reset_redirected();
        }
        if leading {
            if let Some(scheduler) = node.scheduler.borrow().as_ref() {
                broadcast_progress(&node, scheduler);
                broadcast_addresses(&node, scheduler);
            }
        }
        let probe = node.clone();
        tokio::task::spawn_local(async move { probe.key_value.probe().await });
        sleep(Duration::from_micros(request_interval(&node.site).0)).await;
    }
}

impl Node {
    /// Sends the others this node's status. To a leader's they answer how far their logs of cancellations go.
    /// Whether this node leads.
    pub(crate) fn broadcast_status(&self) -> bool {
        let (term, leading) = match self.leadership.borrow().role() {
            Role::Leader { term } | Role::Loading { term } => (term, true),
            Role::Follower | Role::Candidate => (Term::NONE, false),
        };
        let count = self.broadcasts.statuses.get();
        if leading {
            self.cancellations.log_ends_requested(self.now(), count);
        }
        self.broadcast(&Frame::Status(NodeStatus {
            name: self.settings.node_name.clone(),
            term,
            leading,
            store_reachable: self.key_value.store_reachable(),
            redirected: self.load.redirected(),
            incarnation: self.identity.incarnation,
            count,
        }));
        self.broadcasts.statuses.set(count + 1);
        if self.key_value.limits_lowered() {
            // A node that comes to lead later would find out again, with refused writes.
            self.broadcast(&Frame::LimitsLowered);
        }
        leading
    }
}

fn broadcast_progress(node: &Node, scheduler: &Scheduler) {
    let jobs = &scheduler.cluster.jobs_by_name;
    let mut sent = node.broadcasts.job_counts.borrow_mut();
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

/// Sends the addresses of the next few machines, by name, beginning anew after the last.
fn broadcast_addresses(node: &Node, scheduler: &Scheduler) {
    let cluster = &scheduler.cluster;
    let mut last = node.broadcasts.last_machine.borrow_mut();
    let is_next = |(name, &index): &(&String, &MachineIndex)| {
        **name > *last && cluster.machines[index].state == MachineState::Up
    };
    let mut next: Vec<(&String, &MachineIndex)> =
        cluster.machines_by_name.iter().filter(is_next).collect();
    next.sort_unstable();
    let most = cluster.machines_by_name.len().div_ceil(ADDRESS_CYCLE).max(MAX_MACHINES);
    let last_sent = match next.get(most) {
        Some(_) => next[most - 1].0.clone(),
        None => String::new(),
    };
    *last = last_sent;
    next.truncate(most);
    for some in next.chunks(MAX_MACHINES) {
        let machines = some.iter().filter_map(|(name, &index)| {
            let address = cluster.machines[index].address.parse().ok()?;
            Some(MachineAddress { machine: (*name).clone(), address })
        });
        node.broadcast(&Frame::Machines(machines.collect()));
    }
}
