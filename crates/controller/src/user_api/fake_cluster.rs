//! In-memory key-value store with injectable faults, and nodes connected to it, for tests.

use std::cell::{Cell, RefCell};
use std::rc::Rc;

use rand::rngs::StdRng;
use rand::{RngExt, SeedableRng};
use serde_json::{json, Value};
use tokio::sync::mpsc;
use tokio::time::{sleep, Duration};
use walnutlug_fault_injection::fake_key_value_store::FakeKeyValueStore;
use walnutlug_scheduler::protocol::cloud::MachineType;
use walnutlug_scheduler::protocol::key_value::Transaction;
use walnutlug_scheduler::tunables::Tunables;

use crate::http::client::{Client, HttpError, NoResponse, Response, ResponseFuture};
use crate::node::Node;
use crate::peers::{queue_length, read_frame, Frame, PeerSenders};
use crate::settings::{tests::sample, Settings, SocketBudget};

/// A store fault that a test injects.
#[derive(Clone, Copy, PartialEq)]
pub(crate) enum Fault {
    None,
    /// The next transaction is applied, but its response is lost.
    AppliedButLost,
    /// The next transaction is lost before it is applied.
    NotApplied,
    /// Every request gets a 503.
    Down,
}

/// Queue of encoded frames from one node to another: sender index, receiver index, frames.
type Link = (usize, usize, mpsc::Receiver<Rc<Vec<u8>>>);

/// Nodes that share a store, and the undelivered frames between them.
pub(crate) struct Cluster {
    pub(crate) nodes: Vec<Rc<Node>>,
    links: Vec<Link>,
}

impl Cluster {
    /// Removes and decodes the undelivered frames from one node to another.
    pub(crate) async fn take(&mut self, from: usize, to: usize) -> Vec<Frame> {
        let mut frames = Vec::new();
        let link = self
            .links
            .iter_mut()
            .find(|link| (link.0, link.1) == (from, to))
            .expect("a link between the two nodes");
        while let Ok(bytes) = link.2.try_recv() {
            frames.push(read_frame(&mut bytes.as_slice()).await.expect("a frame").expect("known"));
        }
        frames
    }

    /// Delivers the waiting frames, and those sent in reply, over the links for which `open` returns
    /// true. Frames on all other links are lost.
    pub(crate) async fn deliver(&mut self, open: impl Fn(usize, usize) -> bool) {
        for _ in 0..4 {
            for i in 0..self.links.len() {
                let (from, to) = (self.links[i].0, self.links[i].1);
                for frame in self.take(from, to).await {
                    if open(from, to) {
                        self.nodes[to].handle_frame(frame);
                    }
                }
            }
        }
    }
}

/// In-memory replacement for the key-value store. Clones share the same data.
#[derive(Clone)]
pub(crate) struct FakeStore {
    store: Rc<RefCell<FakeKeyValueStore>>,
    /// Number of requests executed so far.
    pub(crate) request_count: Rc<Cell<u32>>,
    fault: Rc<Cell<Fault>>,
    network_faults: Rc<RefCell<Option<NetworkFaults>>>,
}

/// Random delays of all responses, and random loss or delay of transactions.
struct NetworkFaults {
    rng: StdRng,
    /// Share of transactions that are applied promptly, but whose response is lost.
    lost_share: f64,
    /// Share of transactions that are applied 2 to 12 s later, also without a response.
    delayed_share: f64,
    /// Numbers of transactions with a lost response and of delayed ones.
    injected: (u32, u32),
}

impl Default for FakeStore {
    fn default() -> FakeStore {
        FakeStore {
            store: Rc::default(),
            request_count: Rc::default(),
            fault: Rc::new(Cell::new(Fault::None)),
            network_faults: Rc::default(),
        }
    }
}

impl FakeStore {
    /// Injects a fault, in place of the current one.
    pub(crate) fn fault(&self, fault: Fault) {
        self.fault.set(fault);
    }

    /// Ends an outage, if there is one; other faults stay.
    pub(crate) fn recover(&self) {
        if self.fault.get() == Fault::Down {
            self.fault.set(Fault::None);
        }
    }

    /// Creates a node without peers that uses this store and knows one machine type.
    pub(crate) fn node(&self) -> Rc<Node> {
        self.node_with(&sample())
    }

    /// Like [`FakeStore::node`], with these settings.
    pub(crate) fn node_with(&self, settings: &Value) -> Rc<Node> {
        self.build_node(settings, Vec::new())
    }

    /// Creates `n` nodes that use this store. The test delivers the frames between them.
    pub(crate) fn cluster(&self, n: usize) -> Cluster {
        self.cluster_of(n, &sample())
    }

    /// Like [`FakeStore::cluster`], with the given settings except for node names and peers.
    pub(crate) fn cluster_of(&self, n: usize, common: &Value) -> Cluster {
        let name = |i: usize| format!("kernel-{i}");
        let mut cluster = Cluster { nodes: Vec::new(), links: Vec::new() };
        let fd_limit = common["facts"]["resources"]["fd_limit"].as_u64().expect("a limit") as u32;
        let queue_capacity = queue_length(SocketBudget::for_limit(fd_limit));
        for i in 0..n {
            let mut settings = common.clone();
            let others = (0..n).filter(|&j| j != i);
            let peer = |j: usize| {
                let addr = format!("127.0.0.1:{}", 100 + j);
                json!({"node_name": name(j), "zone": "west", "peer_addr": addr})
            };
            settings["node_name"] = json!(name(i));
            settings["peers"] = others.clone().map(peer).collect();
            let mut queues = Vec::new();
            for to in others {
                let (queue, link) = mpsc::channel(queue_capacity);
                queues.push((name(to), queue));
                cluster.links.push((i, to, link));
            }
            cluster.nodes.push(self.build_node(&settings, queues));
        }
        cluster
    }

    fn build_node(
        &self,
        settings: &Value,
        queues: Vec<(String, mpsc::Sender<Rc<Vec<u8>>>)>,
    ) -> Rc<Node> {
        let store = self.clone();
        let script = move |method: &str, path: &str, body: &[u8]| store.respond(method, path, body);
        let client = Client::scripted_async(Box::new(script));
        let settings = Settings::parse(&settings.to_string()).expect("settings");
        let node =
            Node::new(settings, Tunables::default(), Rc::new(client), PeerSenders::new(queues));
        let node = node.expect("a node");
        node.machine_types.borrow_mut().push(MachineType {
            name: "t8".into(),
            cpus: 8.0,
            gpus: 0.0,
            memory_gb: 32.0,
            cache_gb: 10.0,
            fetch_gb_per_s: 1.0,
            price: 1.0,
            spot_price: 0.5,
            boot_s: 20.0,
            zones: vec!["east".into()],
        });
        Rc::new(node)
    }

    /// Stores a value, attached to the lease named in its `lease` field, if it has one.
    pub(crate) fn put(&self, key: &str, value: Value) {
        let lease = value["lease"].as_u64();
        self.store.borrow_mut().put(key, value, lease);
    }

    /// Deletes a key without any revision check.
    pub(crate) fn remove(&self, key: &str) {
        self.store.borrow_mut().remove(key);
    }

    /// Returns the value stored under the key.
    pub(crate) fn value(&self, key: &str) -> Option<Value> {
        Some(self.store.borrow().keys.get(key)?.value.clone())
    }

    /// Returns whether the key exists.
    pub(crate) fn holds(&self, key: &str) -> bool {
        self.store.borrow().keys.contains_key(key)
    }

    /// Returns all keys in lexical order.
    pub(crate) fn keys(&self) -> Vec<String> {
        self.store.borrow().keys.keys().cloned().collect()
    }

    /// Executes a request, with random delays and faults if these are enabled.
    fn respond(&self, method: &str, path: &str, body: &[u8]) -> ResponseFuture {
        let is_transaction = path == "/multi";
        let Some(faults) = &mut *self.network_faults.borrow_mut() else {
            return Box::pin(std::future::ready(self.execute(method, path, body)));
        };
        let ms = |rng: &mut StdRng, max_ms| Duration::from_millis(rng.random_range(0..max_ms));
        let (before, after) = (ms(&mut faults.rng, 40), ms(&mut faults.rng, 40));
        let chance = faults.rng.random::<f64>();
        let (store, method) = (self.clone(), method.to_owned());
        let (path, body) = (path.to_owned(), body.to_vec());
        if is_transaction && chance < faults.lost_share {
            faults.injected.0 += 1;
            // Applied promptly, but the response never arrives.
            return Box::pin(async move {
                sleep(before).await;
                let _ = store.execute(&method, &path, &body);
                std::future::pending().await
            });
        }
        if is_transaction && chance < faults.lost_share + faults.delayed_share {
            faults.injected.1 += 1;
            let delay = Duration::from_millis(faults.rng.random_range(2_000..12_000));
            tokio::task::spawn_local(async move {
                sleep(delay).await;
                let _ = store.execute(&method, &path, &body);
            });
            return Box::pin(std::future::pending());
        }
        Box::pin(async move {
            sleep(before).await;
            let result = store.execute(&method, &path, &body);
            sleep(after).await;
            result
        })
    }

    /// Delays all responses from now on, and applies the given shares of transactions without a response:
    /// `lost_share` promptly, `delayed_share` seconds later.
    pub(crate) fn enable_network_faults(&self, seed: u64, lost_share: f64, delayed_share: f64) {
        let rng = StdRng::seed_from_u64(seed);
        *self.network_faults.borrow_mut() =
            Some(NetworkFaults { rng, lost_share, delayed_share, injected: (0, 0) });
    }

    /// Ends delays and faults, and returns how many transactions lost their response and how many were
    /// delayed.
    pub(crate) fn disable_network_faults(&self) -> (u32, u32) {
        self.network_faults.borrow_mut().take().map_or((0, 0), |faults| faults.injected)
    }

    /// Executes a request and returns its response immediately.
    fn execute(&self, method: &str, path: &str, body: &[u8]) -> Result<Response, HttpError> {
        self.request_count.set(self.request_count.get() + 1);
        match (self.fault.get(), method, path) {
            (Fault::Down, _, _) => response(503, json!({})),
            (_, "GET", _) if path.starts_with("/keys?starts=") => {
                let rest = path.strip_prefix("/keys?starts=").unwrap_or_default();
                let prefix = rest.split('&').next().unwrap_or_default();
                response(200, self.store.borrow().list(prefix, "", usize::MAX))
            }
            (_, "GET", _) => {
                let key = path.strip_prefix("/keys/").expect("a key");
                let store = self.store.borrow();
                match store.read(key) {
                    Some(body) => response(200, body),
                    None => response(404, json!({"growth": store.revision})),
                }
            }
            (_, "POST", "/leases") => {
                let mut store = self.store.borrow_mut();
                store.revision += 1;
                response(200, json!({"hold": store.revision}))
            }
            (_, "POST", _) if path.ends_with("/touch") => response(200, json!({})),
            (_, "DELETE", _) if path.starts_with("/leases/") => {
                let lease = path.strip_prefix("/leases/").and_then(|id| id.parse().ok());
                self.store.borrow_mut().end_lease(lease.expect("a lease"));
                response(200, json!({}))
            }
            (fault, "POST", "/multi") => self.commit(fault, body),
            _ => response(400, json!({})),
        }
    }

    /// Executes a transaction, subject to the injected fault.
    fn commit(&self, fault: Fault, body: &[u8]) -> Result<Response, HttpError> {
        self.fault.set(Fault::None);
        if fault == Fault::NotApplied {
            return Err(NoResponse::Closed.into());
        }
        let transaction: Transaction = serde_json::from_slice(body).expect("a transaction");
        let mut store = self.store.borrow_mut();
        if let Err(conflict) = store.commit(&transaction) {
            let store_revision = store.revision;
            return response(409, json!({"failed": conflict.failed, "growth": store_revision}));
        }
        if fault == Fault::AppliedButLost {
            return Err(NoResponse::Closed.into());
        }
        response(200, json!({"growth": store.revision}))
    }
}

fn response(status: u16, value: Value) -> Result<Response, HttpError> {
    Ok(Response { status, body: value.to_string().into_bytes() })
}
