//! The platform's settings file, checked whole: every fault is named, not only the first.

mod error;
mod lists;
mod reader;
mod sockets;

use std::net::SocketAddrV4;
use std::path::Path;

use serde_json::Value;
use walnutlug_scheduler::time::TimeDelta;
use walnutlug_scheduler::tunables::Site;

use crate::key_value_client::Limits;
use lists::{read_objectives, read_peers, read_teams};
use reader::Reader;

pub(crate) use error::{FieldFault, SettingsError};
pub(crate) use sockets::SocketBudget;

/// Another controller node.
#[derive(Debug, Clone)]
pub(crate) struct Peer {
    /// Its name, which no other node has.
    pub(crate) name: String,
    /// Where it listens for the other nodes.
    pub(crate) addr: SocketAddrV4,
}

/// The platform's settings.
#[derive(Debug, Clone)]
pub(crate) struct Settings {
    /// This node's name.
    pub(crate) node_name: String,
    /// The zone that it runs in.
    pub(crate) zone: String,
    /// Where it listens for users and workers.
    pub(crate) listen: SocketAddrV4,
    /// Where it listens for the other nodes.
    pub(crate) internal: SocketAddrV4,
    /// The other nodes.
    pub(crate) peers: Vec<Peer>,
    /// Where the cloud is.
    pub(crate) cloud: SocketAddrV4,
    /// Where the key-value store is.
    pub(crate) state: SocketAddrV4,
    /// What the scheduler needs to know of the deployment.
    pub(crate) site: Site,
    /// What the key-value store accepts.
    pub(crate) state_limits: Limits,
    /// What the key-value store may come down to at any time.
    pub(crate) state_next: Option<Limits>,
    /// Requests per second that the cloud takes.
    pub(crate) cloud_rps: f64,
    /// Sockets and files that the node may have open.
    pub(crate) fd_limit: u32,
    /// The part of a core that the node may use, above 0 and at most 1.
    pub(crate) cpu_share: f64,
}

impl Settings {
    /// Reads the settings from a file.
    ///
    /// # Errors
    ///
    /// All faults that were found.
    pub(crate) fn read(path: &Path) -> Result<Settings, Vec<SettingsError>> {
        match std::fs::read_to_string(path) {
            Ok(text) => Settings::parse(&text),
            Err(source) => Err(vec![SettingsError::Unreadable { path: path.to_owned(), source }]),
        }
    }

    /// Reads the settings from JSON.
    ///
    /// # Errors
    ///
    /// All faults that were found.
    pub(crate) fn parse(text: &str) -> Result<Settings, Vec<SettingsError>> {
        let root: Value =
            serde_json::from_str(text).map_err(|error| vec![SettingsError::NotJson(error)])?;
        if !root.is_object() {
            return Err(vec![SettingsError::NotAnObject]);
        }
        let mut reader = Reader::new(&root);
        let settings = read_settings(&mut reader);
        reader.finish(settings)
    }
}

/// Reads all fields, in the order in which faults are logged.
fn read_settings(reader: &mut Reader<'_>) -> Settings {
    let node_name = reader.text("node_name");
    let zone = reader.text("zone");
    let listen = reader.addr("listen");
    let internal = reader.addr("internal_addr");
    let cloud = reader.addr("external.cloud");
    let state = reader.addr("external.state");
    let peers = read_peers(reader, &node_name);
    let teams = read_teams(reader);
    let objectives = read_objectives(reader);
    let workers = WorkerTimes::read(reader);
    let state_limits = reader.limits("facts.state", None);
    let state_next = read_announced_limits(reader, state_limits);
    let smaller = state_next.map_or(state_limits, |next| next.smaller_of_each(state_limits));
    let cloud_rps = reader.number("facts.cloud.rps", 0.1..=1.0e6);
    let list_lag = reader.seconds("facts.cloud.list_lag_s", 0.0..=3_600.0);
    let fd_limit = reader.number("facts.resources.fd_limit", 1.0..=1.0e7);
    let cpu_share = read_cpu_share(reader);
    let fd_limit = check_sockets(reader, fd_limit, peers.len());
    let site = Site {
        teams,
        objectives,
        heartbeat_interval: workers.heartbeat_interval,
        worker_lease: workers.lease,
        cancel_within: workers.cancel_within,
        // New jobs are kept in a form that fits whatever comes.
        value_bytes: smaller.value_bytes,
        txn_ops: smaller.txn_ops,
        list_lag,
        most_messages: SocketBudget::for_limit(fd_limit).messages as usize,
    };
    Settings {
        node_name,
        zone,
        listen,
        internal,
        peers,
        cloud,
        state,
        site,
        state_limits,
        state_next,
        cloud_rps,
        fd_limit,
        cpu_share,
    }
}

struct WorkerTimes {
    heartbeat_interval: TimeDelta,
    lease: TimeDelta,
    cancel_within: TimeDelta,
}

impl WorkerTimes {
    fn read(reader: &mut Reader<'_>) -> WorkerTimes {
        WorkerTimes {
            heartbeat_interval: reader.seconds("facts.workers.report_s", 0.1..=3_600.0),
            lease: reader.seconds("facts.workers.lease_s", 0.5..=86_400.0),
            cancel_within: reader.seconds("facts.workers.cancel_s", 0.5..=86_400.0),
        }
    }
}

/// The limits that the key-value store may come down to, each that of now where it is left out.
fn read_announced_limits(reader: &mut Reader<'_>, now: Limits) -> Option<Limits> {
    const PATH: &str = "facts.state.next";
    match reader.at(PATH) {
        Value::Null => None,
        Value::Object(_) => Some(reader.limits(PATH, Some(now))),
        _ => {
            reader.fault(PATH, FieldFault::NotAnObject);
            None
        }
    }
}

/// What is left out, or more than a whole core, counts as one: the node uses no more.
fn read_cpu_share(reader: &mut Reader<'_>) -> f64 {
    const PATH: &str = "facts.resources.cpu_share";
    match reader.at(PATH) {
        Value::Null => 1.0,
        _ => reader.number(PATH, 0.001..=1_024.0).min(1.0),
    }
}

fn check_sockets(reader: &mut Reader<'_>, limit: f64, peers: usize) -> u32 {
    let minimum = SocketBudget::minimum(peers);
    if limit < f64::from(minimum) {
        reader.too_few_sockets(limit, minimum, peers);
    }
    limit as u32
}

#[cfg(test)]
pub(crate) mod tests;
