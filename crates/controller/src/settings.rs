//! The platform's settings file, checked whole: every fault is named, not only the first.

use std::net::SocketAddrV4;
use std::path::Path;

use serde_json::Value;
use walnutlug_scheduler::model::team::Team;
use walnutlug_scheduler::time::TimeDelta;
use walnutlug_scheduler::tunables::{Objective, Site};

#[derive(Debug, Clone)]
pub struct Peer {
    pub name: String,
    pub addr: SocketAddrV4,
}

#[derive(Debug, Clone)]
pub struct Settings {
    pub node_name: String,
    pub zone: String,
    pub listen: SocketAddrV4,
    pub internal: SocketAddrV4,
    pub peers: Vec<Peer>,
    pub cloud: SocketAddrV4,
    pub state: SocketAddrV4,
    pub site: Site,
    pub state_limits: crate::key_value_client::Limits,
    /// What the key-value store may come down to at any time.
    pub state_next: Option<crate::key_value_client::Limits>,
    pub cloud_rps: f64,
    pub fd_limit: u32,
    /// The part of a core that the node may use, above 0 and at most 1.
    pub cpu_share: f64,
}

/// How a node's sockets are shared out. One node leads, so all workers may keep a connection to it,
/// and it sends to all of them: without shares either could take every socket. Shares count what is
/// needed of a limit `L` at the size that the platform plans for (a fleet of up to 0.62 L machines):
///
/// | who | part of L |
/// | --- | --- |
/// | workers' own connections, kept open | 64% |
/// | users, probes, and workers beyond that for one heartbeat each | 12% |
/// | requests of this node: messages to workers 11%, the rest state, cloud and idle connections | 16% |
/// | other nodes, listeners, connections that are closing | 8% |
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Sockets {
    /// Most connections from users and workers.
    pub inbound: u32,
    /// Beyond this many, a worker's connection is closed after its answer: the rest is for users.
    pub workers_kept: u32,
    /// Most connections to others, idle ones included.
    pub outbound: u32,
    /// Most messages under way to workers at once.
    pub messages: u32,
}

impl Sockets {
    /// The fewest sockets that a node can do with: its own descriptors and listeners, requests to the
    /// key-value store and the cloud beside two watches, a connection each way with one to spare for
    /// every other node, and some users and workers.
    pub fn least(peers: usize) -> u32 {
        (8 + 12 + 3 * peers + 16) as u32
    }

    /// What is left over is for the other nodes, the listeners and connections that are closing.
    pub fn share(limit: u32) -> Sockets {
        let part = |percent: u32| (u64::from(limit) * u64::from(percent) / 100) as u32;
        Sockets {
            inbound: part(76),
            workers_kept: part(64),
            outbound: part(16),
            messages: part(11).max(4),
        }
    }
}

/// Walks the file's fields and collects what is wrong with them.
struct Reader<'a> {
    root: &'a Value,
    faults: Vec<String>,
}

impl<'a> Reader<'a> {
    fn at(&self, path: &str) -> &'a Value {
        path.split('.').fold(self.root, |v, part| &v[part])
    }

    fn text(&mut self, path: &str) -> String {
        match self.at(path).as_str() {
            Some(s) if !s.is_empty() => s.to_owned(),
            Some(_) => self.fault(path, "must not be empty"),
            None => self.fault(path, "must be a string"),
        }
    }

    fn addr(&mut self, path: &str) -> SocketAddrV4 {
        let text = self.text(path);
        parse_addr(&text).unwrap_or_else(|| {
            if !text.is_empty() {
                self.fault::<String>(path, "must be an IPv4 address and a port");
            }
            SocketAddrV4::new(std::net::Ipv4Addr::UNSPECIFIED, 0)
        })
    }

    fn number(&mut self, path: &str, least: f64, most: f64) -> f64 {
        match self.at(path).as_f64() {
            Some(n) if (least..=most).contains(&n) => n,
            Some(n) => {
                self.fault::<String>(path, &format!("{n} is not from {least} to {most}"));
                least
            }
            None => {
                self.fault::<String>(path, "must be a number");
                least
            }
        }
    }

    /// The key-value store's limits. Where there are limits to fall back on, each may be left out.
    fn limits(
        &mut self,
        path: &str,
        known: Option<crate::key_value_client::Limits>,
    ) -> crate::key_value_client::Limits {
        let mut one = |field: &str, least: f64, most: f64, known: Option<f64>| {
            let path = format!("{path}.{field}");
            match (self.at(&path), known) {
                (Value::Null, Some(known)) => known,
                _ => self.number(&path, least, most),
            }
        };
        let kb = one("value_kb", 1.0, 64.0, known.map(|k| k.value_bytes as f64 / 1024.0));
        crate::key_value_client::Limits {
            rps: one("rps", 1.0, 1.0e6, known.map(|k| k.rps)),
            write_rps: one("write_rps", 1.0, 1.0e6, known.map(|k| k.write_rps)),
            value_bytes: (kb * 1024.0) as usize,
            txn_ops: one("txn_ops", 2.0, 10_000.0, known.map(|k| k.txn_ops as f64)) as usize,
        }
    }

    fn fault<T: Default>(&mut self, path: &str, what: &str) -> T {
        self.faults.push(format!("settings: {path}: {what}"));
        T::default()
    }
}

fn parse_addr(text: &str) -> Option<SocketAddrV4> {
    text.parse().ok()
}

impl Settings {
    pub fn read(path: &Path) -> Result<Settings, Vec<String>> {
        let text = std::fs::read_to_string(path)
            .map_err(|e| vec![format!("settings: cannot read {}: {e}", path.display())])?;
        Settings::parse(&text)
    }

    pub fn parse(text: &str) -> Result<Settings, Vec<String>> {
        let root: Value =
            serde_json::from_str(text).map_err(|e| vec![format!("settings: not JSON: {e}")])?;
        if !root.is_object() {
            return Err(vec!["settings: not a JSON object".to_owned()]);
        }
        let mut r = Reader { root: &root, faults: Vec::new() };
        let node_name = r.text("node_name");
        let zone = r.text("zone");
        let listen = r.addr("listen");
        let internal = r.addr("internal_addr");
        let cloud = r.addr("external.cloud");
        let state = r.addr("external.state");
        let mut peers = Vec::new();
        match r.at("peers") {
            Value::Array(items) => {
                for (i, item) in items.iter().enumerate() {
                    let name = item["node_name"].as_str().unwrap_or_default();
                    let addr = item["peer_addr"].as_str().and_then(parse_addr);
                    match addr {
                        Some(addr)
                            if peers.iter().any(|p: &Peer| p.name == name || p.addr == addr) =>
                        {
                            r.fault::<()>(
                                &format!("peers.{i}"),
                                &format!("{name} {addr} is doubled"),
                            );
                        }
                        Some(addr) if !name.is_empty() && name != node_name => {
                            peers.push(Peer { name: name.to_owned(), addr });
                        }
                        _ => r.fault(
                            &format!("peers.{i}"),
                            "must have a node_name other than this node's and a peer_addr",
                        ),
                    }
                }
            }
            Value::Null => {}
            _ => r.fault("peers", "must be a list"),
        }
        let mut teams = Vec::new();
        match r.at("facts.teams") {
            Value::Array(items) => {
                for (i, item) in items.iter().enumerate() {
                    let amount = |field: &str| match &item[field] {
                        Value::Null => Some(0.0),
                        v => v.as_f64().filter(|n| *n >= 0.0),
                    };
                    let amounts = ["cpus", "cpus_max", "gpus", "gpus_max"].map(amount);
                    match (item["name"].as_str(), amounts) {
                        (Some(name), [Some(cpus), Some(cpus_max), Some(gpus), Some(gpus_max)])
                            if !name.is_empty() =>
                        {
                            let name = name.to_owned();
                            teams.push(Team { name, cpus, cpus_max, gpus, gpus_max });
                        }
                        _ => r.fault(
                            &format!("facts.teams.{i}"),
                            "must have a name and amounts of at least 0",
                        ),
                    }
                }
            }
            _ => r.fault("facts.teams", "must be a list"),
        }
        let mut objectives = Vec::new();
        match r.at("facts.objectives") {
            Value::Array(items) => {
                for (i, item) in items.iter().enumerate() {
                    let class = item["class"].as_str().unwrap_or_default().to_owned();
                    // What is absent is not asked for; what is there has to make sense.
                    let positive = |field: &str| match &item[field] {
                        Value::Null => Ok(None),
                        v => v.as_f64().filter(|n| *n > 0.0 && n.is_finite()).map(Some).ok_or(()),
                    };
                    let mut amount = |field: &str, default: Option<f64>| match positive(field) {
                        Ok(Some(n)) => Some(n),
                        Ok(None) if default.is_some() => default,
                        Ok(None) | Err(()) => r.fault(
                            &format!("facts.objectives.{i}.{field}"),
                            "must be a number above 0",
                        ),
                    };
                    match item["kind"].as_str() {
                        Some("deadline") => {
                            if let Some(times) = amount("times", Some(1.0)) {
                                objectives.push(Objective::Deadline { class, times });
                            }
                        }
                        Some("wait") => {
                            if let Some(within) =
                                amount("within_s", None).map(TimeDelta::from_secs_f64)
                            {
                                objectives.push(Objective::Wait { class, within });
                            }
                        }
                        Some("finished") => {
                            if let Some(within) =
                                amount("within_s", None).map(TimeDelta::from_secs_f64)
                            {
                                objectives.push(Objective::Finished { class, within });
                            }
                        }
                        Some(_) => {} // An aim of a later version.
                        None => r.fault(&format!("facts.objectives.{i}.kind"), "must be a string"),
                    }
                }
            }
            Value::Null => {}
            _ => r.fault("facts.objectives", "must be a list"),
        }
        let report_s = r.number("facts.workers.report_s", 0.1, 3_600.0);
        let lease_s = r.number("facts.workers.lease_s", 0.5, 86_400.0);
        let cancel_s = r.number("facts.workers.cancel_s", 0.5, 86_400.0);
        let state_limits = r.limits("facts.state", None);
        let state_next = match r.at("facts.state.next") {
            Value::Null => None,
            Value::Object(_) => Some(r.limits("facts.state.next", Some(state_limits))),
            _ => r.fault("facts.state.next", "must be an object"),
        };
        let smaller = state_next.map_or(state_limits, |next| next.smaller_of_each(state_limits));
        let cloud_rps = r.number("facts.cloud.rps", 0.1, 1.0e6);
        let list_lag_s = r.number("facts.cloud.list_lag_s", 0.0, 3_600.0);
        let fd_limit = r.number("facts.resources.fd_limit", 1.0, 1.0e7);
        let cpu_share = match r.at("facts.resources.cpu_share") {
            Value::Null => 1.0,
            _ => r.number("facts.resources.cpu_share", 0.001, 1_024.0).min(1.0),
        };
        let least = Sockets::least(peers.len());
        if fd_limit < f64::from(least) {
            r.faults.push(format!(
                "facts.resources.fd_limit: {fd_limit} sockets are too few: {least} are needed for the \
                 listeners, the state service, the cloud, {} other nodes and a few users and workers",
                peers.len()
            ));
        }
        if !r.faults.is_empty() {
            return Err(r.faults);
        }
        Ok(Settings {
            node_name,
            zone,
            listen,
            internal,
            peers,
            cloud,
            state,
            site: Site {
                teams,
                objectives,
                heartbeat_interval: TimeDelta::from_secs_f64(report_s),
                worker_lease: TimeDelta::from_secs_f64(lease_s),
                cancel_within: TimeDelta::from_secs_f64(cancel_s),
                // New jobs are kept in a form that fits whatever comes.
                value_bytes: smaller.value_bytes,
                txn_ops: smaller.txn_ops,
                list_lag: TimeDelta::from_secs_f64(list_lag_s),
                most_messages: Sockets::share(fd_limit as u32).messages as usize,
            },
            state_limits,
            state_next,
            cloud_rps,
            fd_limit: fd_limit as u32,
            cpu_share,
        })
    }
}

#[cfg(test)]
pub mod tests;
