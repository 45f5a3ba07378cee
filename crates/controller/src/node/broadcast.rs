//! What a node tells the others every second, and the log every minute.

use std::rc::Rc;

use tokio::time::{sleep, Duration};
use tracing::{info, warn};
use walnutlug_scheduler::leadership::watermark::ask_every;
use walnutlug_scheduler::model::ids::MachineIndex;
use walnutlug_scheduler::model::machine::MachineState;

use super::{Node, ADDRESS_TURN};
use crate::peers::{self, Frame};

/// Tells the others how this node stands, and as the leader what they need for a quick failover.
pub(super) async fn run_broadcasts(node: Rc<Node>) {
    let mut count = 0u32;
    loop {
        let leading = node.broadcast_status();
        count += 1;
        if count.is_multiple_of(6) {
            node.redirected.set(0);
        }
        if leading {
            broadcast_progress(&node);
            broadcast_addresses(&node);
        }
        let probe = node.clone();
        tokio::task::spawn_local(async move { probe.key_value.probe().await });
        sleep(Duration::from_micros(ask_every(&node.site).0)).await;
    }
}

fn broadcast_progress(node: &Node) {
    let scheduler = node.scheduler.borrow();
    let Some(s) = scheduler.as_ref() else { return };
    let mut told = node.told.borrow_mut();
    told.retain(|name, _| s.cluster.jobs_by_name.contains_key(name));
    for (name, &ix) in &s.cluster.jobs_by_name {
        let Some(counts) = s.cluster.counts(ix) else { continue };
        if told.get(name) != Some(&counts) {
            told.insert(name.clone(), counts);
            let (done, running) = counts;
            node.broadcast(&Frame::Progress { job: name.clone(), done, running });
        }
    }
}

/// Tells the next few of the machines, by name, beginning anew after the last.
fn broadcast_addresses(node: &Node) {
    let scheduler = node.scheduler.borrow();
    let Some(s) = scheduler.as_ref() else { return };
    let mut told = node.addresses_told.borrow_mut();
    let mut names: Vec<(&String, &MachineIndex)> = s
        .cluster
        .machines_by_name
        .iter()
        .filter(|(n, &ix)| **n > *told && s.cluster.machines[ix].state == MachineState::Up)
        .collect();
    names.sort_unstable();
    let most = s.cluster.machines_by_name.len().div_ceil(ADDRESS_TURN).max(peers::MAX_MACHINES);
    *told = match names.get(most) {
        Some(_) => names[most - 1].0.clone(),
        None => String::new(),
    };
    names.truncate(most);
    for some in names.chunks(peers::MAX_MACHINES) {
        let list = some.iter().filter_map(|(name, &ix)| {
            let addr = s.cluster.machines[ix].address.parse().ok()?;
            Some(((*name).clone(), addr))
        });
        node.broadcast(&Frame::Machines(list.collect()));
    }
}

/// Tells the log how submissions fared.
pub(super) async fn log_times(node: Rc<Node>) {
    loop {
        sleep(Duration::from_secs(60)).await;
        let let_go = node.let_go.replace(0);
        if let_go > 0 {
            warn!(
                heartbeats = let_go,
                open = node.open.get(),
                "more workers than sockets: their connections are closed after each report"
            );
        }
        let mut times = node.submit_times.borrow_mut();
        if !times.is_empty() {
            info!(
                count = times.len(),
                p50_ms = times.value_at_quantile(0.5),
                p99_ms = times.value_at_quantile(0.99),
                "submissions of the last minute"
            );
            times.reset();
        }
    }
}
