//! Three controllers as processes of this machine, each with sockets of its own to the fakes.

use std::path::{Path, PathBuf};
use std::process::Stdio;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Duration;

use axum::Router;
use nix::unistd::Pid;
use serde_json::{json, Value};
use tokio::net::TcpListener;
use tokio::process::{Child, Command};

use crate::fake_cloud::{self, FakeCloud};
use crate::fake_key_value_service::{self, FakeKeyValueService};
use crate::fake_workers::LEASE;
use crate::freeze::Freezer;

/// Controllers in a scenario.
pub const NODES: usize = 3;

/// Names of the controllers, and where they listen.
pub struct Addresses {
    /// The names of the nodes.
    pub names: Vec<String>,
    /// For users and workers.
    pub users: Vec<String>,
    peers: Vec<String>,
}

impl Addresses {
    /// Ports that nobody listens on now.
    pub fn free() -> Addresses {
        let bind = |_| std::net::TcpListener::bind("127.0.0.1:0").expect("a socket");
        let listeners: Vec<_> = (0..2 * NODES).map(bind).collect();
        let address = |l: &std::net::TcpListener| l.local_addr().expect("an address").to_string();
        let mut users: Vec<String> = listeners.iter().map(address).collect();
        let peers = users.split_off(NODES);
        let names = (0..NODES).map(|node| format!("kernel-{node}")).collect();
        Addresses { names, users, peers }
    }

    /// The controllers by name and address, as workers know them.
    pub fn for_workers(&self) -> Vec<(String, String)> {
        self.names.iter().cloned().zip(self.users.clone()).collect()
    }
}

/// What the controllers are run with.
pub struct Setup<'a> {
    /// The program of each.
    pub programs: [&'a Path; NODES],
    /// The operators' script, the same for all.
    pub script: &'a Path,
    /// Teams without quota or limit.
    pub teams: &'a [&'a str],
}

/// The processes; they end with this value.
pub struct Controllers {
    programs: [PathBuf; NODES],
    script: PathBuf,
    names: Vec<String>,
    /// Where users reach each of them.
    pub users: Vec<String>,
    files: Vec<PathBuf>,
    children: Vec<Child>,
    freezer: Arc<Freezer>,
}

/// The platform's settings file of one controller.
fn settings_of(node: usize, addresses: &Addresses, teams: &[&str], external: &Value) -> Value {
    let Addresses { names, users, peers } = addresses;
    let team = |team: &&str| json!({"name": team, "cpus": 0.0, "cpus_max": 0.0, "gpus": 0.0, "gpus_max": 0.0});
    let teams: Vec<Value> = teams.iter().map(team).collect();
    let others = (0..NODES)
        .filter(|&other| other != node)
        .map(|other| json!({"node_name": names[other], "zone": "a", "peer_addr": peers[other]}));
    json!({
        "node_name": names[node], "zone": "a", "listen": users[node],
        "internal_addr": peers[node], "peers": others.collect::<Vec<_>>(),
        "external": external,
        "facts": {
            "size": NODES, "zones": ["a", "b"], "teams": teams, "objectives": [],
            "workers": {"report_s": 0.5, "lease_s": LEASE.as_secs_f64(), "cancel_s": 20.0},
            "state": {"rps": 2000.0, "write_rps": 1000.0, "value_kb": 8.0, "txn_ops": 32},
            "cloud": {"rps": 8.0, "list_lag_s": 1.0},
            "resources": {"cpu_share": 1.0, "mem_mb": 200.0, "fd_limit": 1200},
            "clock_error_ms": 1000.0
        }
    })
}

impl Controllers {
    /// Writes the settings and starts all of them.
    pub async fn start(
        setup: &Setup<'_>,
        addresses: Addresses,
        state: &Arc<FakeKeyValueService>,
        freezer: &Arc<Freezer>,
        cloud: &Arc<FakeCloud>,
    ) -> Controllers {
        let directory =
            std::env::temp_dir().join(format!("walnutlug-fault-injection-{}", std::process::id()));
        std::fs::create_dir_all(&directory).expect("a directory for the settings");
        let mut files = Vec::new();
        for node in 0..NODES {
            let state_address =
                serve(fake_key_value_service::router(state.clone(), freezer.clone(), node)).await;
            let cloud_address =
                serve(fake_cloud::router(cloud.clone(), freezer.clone(), node)).await;
            let external = json!({"cloud": cloud_address, "state": state_address});
            let settings = settings_of(node, &addresses, setup.teams, &external);
            let file = directory.join(format!("{}.json", addresses.names[node]));
            std::fs::write(&file, settings.to_string()).expect("a settings file");
            files.push(file);
        }
        let mut controllers = Controllers {
            programs: setup.programs.map(Path::to_owned),
            script: setup.script.to_owned(),
            names: addresses.names,
            users: addresses.users,
            files,
            children: Vec::new(),
            freezer: freezer.clone(),
        };
        controllers.children = (0..NODES).map(|node| controllers.spawn(node)).collect();
        controllers.watch();
        controllers
    }

    fn spawn(&self, node: usize) -> Child {
        let log = self.files[node].with_extension("log");
        let log = std::fs::OpenOptions::new().create(true).append(true).open(log).expect("a log");
        Command::new(&self.programs[node])
            .arg("serve")
            .arg("--script")
            .arg(&self.script)
            .arg("--config")
            .arg(&self.files[node])
            .env("LOG_LEVEL", "info")
            .stdin(Stdio::null())
            .stdout(Stdio::null())
            .stderr(log)
            .kill_on_drop(true)
            .spawn()
            .expect("the program")
    }

    fn watch(&self) {
        let pids = self.children.iter().map(|child| Pid::from_raw(child.id().unwrap_or(0) as i32));
        self.freezer.watch(self.names.iter().cloned().zip(pids).collect());
    }

    /// The controller of that name, by its number.
    pub fn number_of(&self, name: &str) -> Option<usize> {
        self.names.iter().position(|other| other == name)
    }

    /// Ends the processes without a signal that they could handle, and starts them again after a while.
    pub async fn kill_and_start(&mut self, nodes: &[usize], after: Duration) {
        self.kill(nodes).await;
        tokio::time::sleep(after).await;
        self.start_again(nodes);
    }

    /// Ends the processes without a signal that they could handle.
    pub async fn kill(&mut self, nodes: &[usize]) {
        for &node in nodes {
            let _ = self.children[node].kill().await;
        }
    }

    /// Starts processes that were killed.
    pub fn start_again(&mut self, nodes: &[usize]) {
        for &node in nodes {
            self.children[node] = self.spawn(node);
        }
        self.watch();
    }

    /// Kills all of them.
    pub fn end(&mut self) {
        for child in &mut self.children {
            let _ = child.start_kill();
        }
    }
}

/// Listens on a free port of this machine and tells its address.
async fn serve(router: Router) -> String {
    let listener = TcpListener::bind("127.0.0.1:0").await.expect("a socket");
    let address = listener.local_addr().expect("an address").to_string();
    tokio::spawn(async move { drop(axum::serve(listener, router).await) });
    address
}

pub(crate) fn lock<T>(mutex: &Mutex<T>) -> MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(PoisonError::into_inner)
}
