//! Reads and checks the platform's settings file (JSON). Every error in it is reported, not only the
//! first.

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

pub(crate) use error::{FieldError, SettingsError};
pub(crate) use sockets::SocketBudget;

/// Bytes in a megabyte of `mem_mb`.
const BYTES_PER_MB: f64 = 1.0e6;
/// Fraction of the memory for accepted jobs. Placed tasks, machines, buffers and the code need the
/// rest.
const JOB_MEMORY_FRACTION: f64 = 0.5;

/// Another controller node of the same cluster.
#[derive(Debug, Clone)]
pub(crate) struct Peer {
    /// The peer's node name, unique in the cluster.
    pub(crate) name: String,
    /// Address at which the peer listens for other nodes.
    pub(crate) addr: SocketAddrV4,
}

/// The checked content of the platform's settings file. It is read once, at start.
#[derive(Debug, Clone)]
pub(crate) struct Settings {
    /// Name of this node, different from that of every peer.
    pub(crate) node_name: String,
    /// Availability zone in which this node runs.
    pub(crate) zone: String,
    /// Address at which this node listens for users and workers.
    pub(crate) listen: SocketAddrV4,
    /// Address at which this node listens for its peers (`internal_addr` in the file).
    pub(crate) internal: SocketAddrV4,
    /// All other nodes of the cluster; empty if this node runs alone.
    pub(crate) peers: Vec<Peer>,
    /// Address of the cloud's API.
    pub(crate) cloud: SocketAddrV4,
    /// Address of the key-value store.
    pub(crate) state: SocketAddrV4,
    /// Properties of the deployment on which the scheduler's decisions depend.
    pub(crate) site: Site,
    /// Rate and size limits that the key-value store enforces at present.
    pub(crate) state_limits: Limits,
    /// Announced limits to which the key-value store may change at any time.
    pub(crate) state_next: Option<Limits>,
    /// Rate limit of the cloud's API, in requests per second.
    pub(crate) cloud_rps: f64,
    /// Limit on the file descriptors, sockets included, that this process may have open.
    pub(crate) fd_limit: u32,
    /// Memory that accepted jobs may take on each node, in bytes; `None` if it is not limited.
    pub(crate) job_memory_bytes: Option<u64>,
    /// Fraction of a CPU core that the node may use, above 0 and at most 1.
    pub(crate) cpu_share: f64,
}

impl Settings {
    /// Reads the settings from a JSON file.
    ///
    /// # Errors
    ///
    /// Returns all errors in the file, or the one that kept it from being read.
    pub(crate) fn read(path: &Path) -> Result<Settings, Vec<SettingsError>> {
        match std::fs::read_to_string(path) {
            Ok(text) => Settings::parse(&text),
            Err(source) => Err(vec![SettingsError::Unreadable { path: path.to_owned(), source }]),
        }
    }

    /// Reads the settings from the text of a JSON object. Unknown fields are ignored.
    ///
    /// # Errors
    ///
    /// Returns all errors that were found.
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

/// Reads all fields, in the order in which their errors are logged.
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
    let smallest_limits =
        state_next.map_or(state_limits, |next| next.smaller_of_each(state_limits));
    let cloud_rps = reader.number("facts.cloud.rps", 0.1..=1.0e6);
    let list_lag = reader.seconds("facts.cloud.list_lag_s", 0.0..=3_600.0);
    let fd_limit = reader.number("facts.resources.fd_limit", 1.0..=1.0e7);
    let cpu_share = read_cpu_share(reader);
    let job_memory_bytes = read_job_memory(reader);
    let fd_limit = check_fd_limit(reader, fd_limit, peers.len());
    let site = Site {
        teams,
        objectives,
        heartbeat_interval: workers.heartbeat_interval,
        worker_lease: workers.lease,
        cancel_within: workers.cancel_within,
        // New jobs are stored in a form that fits both the current and the announced limits.
        value_bytes: smallest_limits.value_bytes,
        txn_ops: smallest_limits.txn_ops,
        list_lag,
        max_messages_in_flight: SocketBudget::for_limit(fd_limit).messages as usize,
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
        job_memory_bytes,
        cpu_share,
    }
}

/// The worker timings that the platform's file states.
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

/// Reads the announced limits of the key-value store, if there are any. One that is left out keeps its
/// current value.
fn read_announced_limits(reader: &mut Reader<'_>, current: Limits) -> Option<Limits> {
    const PATH: &str = "facts.state.next";
    match reader.value_at(PATH) {
        Value::Null => None,
        Value::Object(_) => Some(reader.limits(PATH, Some(current))),
        _ => {
            reader.report(PATH, FieldError::NotAnObject);
            None
        }
    }
}

/// Reads the node's share of a CPU core. A missing value or one above 1 counts as 1, because the
/// node uses at most one core.
fn read_cpu_share(reader: &mut Reader<'_>) -> f64 {
    const PATH: &str = "facts.resources.cpu_share";
    match reader.value_at(PATH) {
        Value::Null => 1.0,
        _ => reader.number(PATH, 0.001..=1_024.0).min(1.0),
    }
}

/// Reads the part of the node's memory that accepted jobs may take. Without a limit on the memory
/// there is none on the jobs.
fn read_job_memory(reader: &mut Reader<'_>) -> Option<u64> {
    const PATH: &str = "facts.resources.mem_mb";
    match reader.value_at(PATH) {
        Value::Null => None,
        _ => {
            let bytes = reader.number(PATH, 1.0..=1.0e9) * BYTES_PER_MB;
            Some((bytes * JOB_MEMORY_FRACTION) as u64)
        }
    }
}

/// Reports a limit on file descriptors that is too low for the number of peers.
fn check_fd_limit(reader: &mut Reader<'_>, limit: f64, peers: usize) -> u32 {
    let minimum = SocketBudget::minimum(peers);
    if limit < f64::from(minimum) {
        reader.report_too_few_sockets(limit, minimum, peers);
    }
    limit as u32
}

#[cfg(test)]
pub(crate) mod tests;
