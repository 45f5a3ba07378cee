//! Runs three controllers as local processes. Each controller gets its own sockets to the fakes, so
//! that the fakes know which controller sent a request.

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
use crate::fake_workers::WORKER_LEASE;
use crate::freeze::Freezer;

/// Number of controllers in every scenario.
pub const NODES: usize = 3;

/// Names of the controllers and the addresses that they listen on, indexed by node.
pub struct ControllerAddresses {
    /// Node names, as the controllers know each other.
    pub names: Vec<String>,
    /// Addresses of the HTTP API for users and workers.
    pub api_addresses: Vec<String>,
    peer_addresses: Vec<String>,
}

/// Ports below those that Linux assigns by itself, which begin at 32,768.
const PORTS: std::ops::Range<u16> = 20_000..32_000;

impl ControllerAddresses {
    /// Chooses loopback ports that are free at the moment. They are not reserved until a controller
    /// binds them, so they lie outside the range that the system gives to connections and to
    /// listeners without a port of their own.
    pub fn allocate() -> ControllerAddresses {
        // Concurrent processes begin at different ports.
        let skipped = std::process::id() as usize % PORTS.len();
        let ports = PORTS.cycle().skip(skipped).take(PORTS.len());
        let listeners: Vec<_> = ports
            .filter_map(|port| std::net::TcpListener::bind(("127.0.0.1", port)).ok())
            .take(2 * NODES)
            .collect();
        assert_eq!(listeners.len(), 2 * NODES, "too few free loopback ports");
        let address =
            |l: &std::net::TcpListener| l.local_addr().expect("local address").to_string();
        let mut api_addresses: Vec<String> = listeners.iter().map(address).collect();
        let peer_addresses = api_addresses.split_off(NODES);
        let names = (0..NODES).map(|node| format!("kernel-{node}")).collect();
        ControllerAddresses { names, api_addresses, peer_addresses }
    }

    /// Returns the name and the API address of each controller, which is what workers need.
    pub fn names_and_addresses(&self) -> Vec<(String, String)> {
        self.names.iter().cloned().zip(self.api_addresses.clone()).collect()
    }
}

/// Programs and settings with which the controllers are started.
pub struct ControllerSetup<'a> {
    /// Controller program that each node runs.
    pub programs: [&'a Path; NODES],
    /// Lua settings script of the operators, shared by all nodes.
    pub script: &'a Path,
    /// Names of the teams; they have neither a quota nor a limit.
    pub teams: &'a [&'a str],
}

/// The running controller processes, which are killed when this value is dropped.
pub struct Controllers {
    programs: [PathBuf; NODES],
    script: PathBuf,
    names: Vec<String>,
    /// API address of each controller.
    pub api_addresses: Vec<String>,
    settings_files: Vec<PathBuf>,
    processes: Vec<Child>,
    freezer: Arc<Freezer>,
}

/// Builds the settings file that the platform would provide to one controller.
fn settings_json(
    node: usize,
    addresses: &ControllerAddresses,
    teams: &[&str],
    external: &Value,
) -> Value {
    let ControllerAddresses { names, api_addresses, peer_addresses } = addresses;
    let team = |team: &&str| json!({"name": team, "cpus": 0.0, "cpus_max": 0.0, "gpus": 0.0, "gpus_max": 0.0});
    let teams: Vec<Value> = teams.iter().map(team).collect();
    let peers = (0..NODES).filter(|&other| other != node).map(
        |other| json!({"node_name": names[other], "zone": "a", "peer_addr": peer_addresses[other]}),
    );
    json!({
        "node_name": names[node], "zone": "a", "listen": api_addresses[node],
        "internal_addr": peer_addresses[node], "peers": peers.collect::<Vec<_>>(),
        "external": external,
        "facts": {
            "size": NODES, "zones": ["a", "b"], "teams": teams, "objectives": [],
            "workers": {"report_s": 0.5, "lease_s": WORKER_LEASE.as_secs_f64(), "cancel_s": 20.0},
            "state": {"rps": 2000.0, "write_rps": 1000.0, "value_kb": 8.0, "txn_ops": 32},
            "cloud": {"rps": 8.0, "list_lag_s": 1.0},
            "resources": {"cpu_share": 1.0, "mem_mb": 200.0, "fd_limit": 1200},
            "clock_error_ms": 1000.0
        }
    })
}

impl Controllers {
    /// Starts the sockets of the fakes, writes the settings files and starts all controllers.
    pub async fn start(
        setup: &ControllerSetup<'_>,
        addresses: ControllerAddresses,
        store: &Arc<FakeKeyValueService>,
        freezer: &Arc<Freezer>,
        cloud: &Arc<FakeCloud>,
    ) -> Controllers {
        let settings_directory =
            std::env::temp_dir().join(format!("walnutlug-fault-injection-{}", std::process::id()));
        std::fs::create_dir_all(&settings_directory)
            .expect("failed to create the settings directory");
        let mut settings_files = Vec::new();
        for node in 0..NODES {
            let store_address = serve_on_free_port(fake_key_value_service::router(
                store.clone(),
                freezer.clone(),
                node,
            ))
            .await;
            let cloud_address =
                serve_on_free_port(fake_cloud::router(cloud.clone(), freezer.clone(), node)).await;
            let external = json!({"cloud": cloud_address, "state": store_address});
            let settings = settings_json(node, &addresses, setup.teams, &external);
            let settings_file = settings_directory.join(format!("{}.json", addresses.names[node]));
            std::fs::write(&settings_file, settings.to_string())
                .expect("failed to write a settings file");
            settings_files.push(settings_file);
        }
        let mut controllers = Controllers {
            programs: setup.programs.map(Path::to_owned),
            script: setup.script.to_owned(),
            names: addresses.names,
            api_addresses: addresses.api_addresses,
            settings_files,
            processes: Vec::new(),
            freezer: freezer.clone(),
        };
        controllers.processes = (0..NODES).map(|node| controllers.spawn(node)).collect();
        controllers.register_processes();
        controllers
    }

    fn spawn(&self, node: usize) -> Child {
        let log = self.settings_files[node].with_extension("log");
        let log = std::fs::OpenOptions::new()
            .create(true)
            .append(true)
            .open(log)
            .expect("failed to open a controller log");
        Command::new(&self.programs[node])
            .arg("serve")
            .arg("--script")
            .arg(&self.script)
            .arg("--config")
            .arg(&self.settings_files[node])
            .env("LOG_LEVEL", "info")
            .stdin(Stdio::null())
            .stdout(Stdio::null())
            .stderr(log)
            .kill_on_drop(true)
            .spawn()
            .expect("failed to start the controller program")
    }

    fn register_processes(&self) {
        let pids = self.processes.iter().map(|child| Pid::from_raw(child.id().unwrap_or(0) as i32));
        self.freezer.set_processes(self.names.iter().cloned().zip(pids).collect());
    }

    /// Returns the index of the node with this name.
    pub fn index_of(&self, name: &str) -> Option<usize> {
        self.names.iter().position(|other| other == name)
    }

    /// Kills the nodes with `SIGKILL` and starts them again after the delay.
    pub async fn kill_and_restart(&mut self, nodes: &[usize], delay: Duration) {
        self.kill(nodes).await;
        tokio::time::sleep(delay).await;
        self.restart(nodes);
    }

    /// Kills the nodes with `SIGKILL`, so that they have no chance to shut down cleanly.
    pub async fn kill(&mut self, nodes: &[usize]) {
        for &node in nodes {
            let _ = self.processes[node].kill().await;
        }
    }

    /// Starts new processes for nodes that were killed.
    pub fn restart(&mut self, nodes: &[usize]) {
        for &node in nodes {
            self.processes[node] = self.spawn(node);
        }
        self.register_processes();
    }

    /// Sends `SIGKILL` to all controllers without waiting for them to exit.
    pub fn kill_all(&mut self) {
        for child in &mut self.processes {
            let _ = child.start_kill();
        }
    }
}

/// Serves the router on a free loopback port and returns the address.
async fn serve_on_free_port(router: Router) -> String {
    let listener = TcpListener::bind("127.0.0.1:0").await.expect("failed to bind a loopback port");
    let address = listener.local_addr().expect("local address").to_string();
    tokio::spawn(async move { drop(axum::serve(listener, router).await) });
    address
}

pub(crate) fn lock<T>(mutex: &Mutex<T>) -> MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(PoisonError::into_inner)
}
