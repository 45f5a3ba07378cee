//! A key-value store for tests: the protocol's conditional writes, and faults on demand.

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

use crate::http::client::{Answering, Client, HttpError, NoResponse, Response};
use crate::node::Node;
use crate::peers::{queue_length, read_frame, Frame, PeerSenders};
use crate::settings::{tests::sample, Settings, Sockets};

/// What goes wrong with the store.
#[derive(Clone, Copy, PartialEq)]
pub(crate) enum Fault {
    None,
    /// The next transaction is carried out and its answer lost.
    AppliedButLost,
    /// The next transaction is lost.
    NotApplied,
    /// 503 to everything.
    Down,
}

/// From one node to another, by their numbers.
type Wire = (usize, usize, mpsc::Receiver<Rc<Vec<u8>>>);

/// Several nodes, and what each has sent to each other one.
pub(crate) struct Cluster {
    pub(crate) nodes: Vec<Rc<Node>>,
    wires: Vec<Wire>,
}

impl Cluster {
    /// What waits on the wire from one node to another, taken off it.
    pub(crate) async fn take(&mut self, from: usize, to: usize) -> Vec<Frame> {
        let mut frames = Vec::new();
        let wire = self.wires.iter_mut().find(|w| (w.0, w.1) == (from, to)).expect("a wire");
        while let Ok(bytes) = wire.2.try_recv() {
            frames.push(read_frame(&mut bytes.as_slice()).await.expect("a frame").expect("known"));
        }
        frames
    }

    /// Delivers all that waits, and what comes of it, on the wires for which `open` holds; on all
    /// others it is lost.
    pub(crate) async fn deliver(&mut self, open: impl Fn(usize, usize) -> bool) {
        for _ in 0..4 {
            for i in 0..self.wires.len() {
                let (from, to) = (self.wires[i].0, self.wires[i].1);
                for frame in self.take(from, to).await {
                    if open(from, to) {
                        self.nodes[to].handle_frame(frame);
                    }
                }
            }
        }
    }
}

/// A key-value store that stands in for the real one, shared by its clones.
#[derive(Clone)]
pub(crate) struct FakeStore {
    store: Rc<RefCell<FakeKeyValueStore>>,
    /// Requests so far.
    pub(crate) request_count: Rc<Cell<u32>>,
    fault: Rc<Cell<Fault>>,
    disorder: Rc<RefCell<Option<Disorder>>>,
}

/// Answers in their own time, or never.
struct Disorder {
    rng: StdRng,
    /// Shares of transactions that are carried out unheard at once, and much later.
    lost: f64,
    late: f64,
    /// How many of each there were.
    seen: (u32, u32),
}

impl Default for FakeStore {
    fn default() -> FakeStore {
        FakeStore {
            store: Rc::default(),
            request_count: Rc::default(),
            fault: Rc::new(Cell::new(Fault::None)),
            disorder: Rc::default(),
        }
    }
}

impl FakeStore {
    /// From here on this goes wrong.
    pub(crate) fn fault(&self, fault: Fault) {
        self.fault.set(fault);
    }

    /// The store answers again, if it was down.
    pub(crate) fn mend(&self) {
        if self.fault.get() == Fault::Down {
            self.fault.set(Fault::None);
        }
    }

    /// A node that knows one machine type and asks this store.
    pub(crate) fn node(&self) -> Rc<Node> {
        self.node_of(&sample(), Vec::new())
    }

    /// Nodes that ask this store and whose frames to each other the test holds.
    pub(crate) fn cluster(&self, n: usize) -> Cluster {
        self.cluster_of(n, &sample())
    }

    /// The same with the settings given, but for names and peers.
    pub(crate) fn cluster_of(&self, n: usize, common: &Value) -> Cluster {
        let name = |i: usize| format!("kernel-{i}");
        let mut cluster = Cluster { nodes: Vec::new(), wires: Vec::new() };
        let fd_limit = common["facts"]["resources"]["fd_limit"].as_u64().expect("a limit") as u32;
        let most_waiting = queue_length(Sockets::share(fd_limit));
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
                let (queue, wire) = mpsc::channel(most_waiting);
                queues.push((name(to), queue));
                cluster.wires.push((i, to, wire));
            }
            cluster.nodes.push(self.node_of(&settings, queues));
        }
        cluster
    }

    fn node_of(
        &self,
        settings: &Value,
        queues: Vec<(String, mpsc::Sender<Rc<Vec<u8>>>)>,
    ) -> Rc<Node> {
        let store = self.clone();
        let script = move |method: &str, path: &str, body: &[u8]| store.answer(method, path, body);
        let client = Client::scripted_slow(Box::new(script));
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

    /// Stores a value, attached to the lease that it names, if it does.
    pub(crate) fn put(&self, key: &str, value: Value) {
        let lease = value["lease"].as_u64();
        self.store.borrow_mut().put(key, value, lease);
    }

    /// Deletes a key.
    pub(crate) fn remove(&self, key: &str) {
        self.store.borrow_mut().remove(key);
    }

    /// What is stored under the key.
    pub(crate) fn value(&self, key: &str) -> Option<Value> {
        Some(self.store.borrow().keys.get(key)?.value.clone())
    }

    /// Whether there is such a key.
    pub(crate) fn holds(&self, key: &str) -> bool {
        self.store.borrow().keys.contains_key(key)
    }

    /// All keys, in their order.
    pub(crate) fn names(&self) -> Vec<String> {
        self.store.borrow().keys.keys().cloned().collect()
    }

    /// The answer, in time or out of it.
    fn answer(&self, method: &str, path: &str, body: &[u8]) -> Answering {
        let write = path == "/multi";
        let Some(disorder) = &mut *self.disorder.borrow_mut() else {
            return Box::pin(std::future::ready(self.say(method, path, body)));
        };
        let ms = |rng: &mut StdRng, most| Duration::from_millis(rng.random_range(0..most));
        let (before, after) = (ms(&mut disorder.rng, 40), ms(&mut disorder.rng, 40));
        let chance = disorder.rng.random::<f64>();
        let (store, method) = (self.clone(), method.to_owned());
        let (path, body) = (path.to_owned(), body.to_vec());
        if write && chance < disorder.lost {
            disorder.seen.0 += 1;
            // Carried out at once; nobody hears of it.
            return Box::pin(async move {
                sleep(before).await;
                let _ = store.say(&method, &path, &body);
                std::future::pending().await
            });
        }
        if write && chance < disorder.lost + disorder.late {
            disorder.seen.1 += 1;
            let later = Duration::from_millis(disorder.rng.random_range(2_000..12_000));
            tokio::task::spawn_local(async move {
                sleep(later).await;
                let _ = store.say(&method, &path, &body);
            });
            return Box::pin(std::future::pending());
        }
        Box::pin(async move {
            sleep(before).await;
            let said = store.say(&method, &path, &body);
            sleep(after).await;
            said
        })
    }

    /// From here on answers take their time, and the given shares of transactions are carried out at
    /// once, or much later, without one.
    pub(crate) fn disorder(&self, seed: u64, lost: f64, late: f64) {
        let rng = StdRng::seed_from_u64(seed);
        *self.disorder.borrow_mut() = Some(Disorder { rng, lost, late, seen: (0, 0) });
    }

    /// Answers are prompt again. How many transactions were carried out unheard, and how many late.
    pub(crate) fn order(&self) -> (u32, u32) {
        self.disorder.borrow_mut().take().map_or((0, 0), |d| d.seen)
    }

    /// Carries out a request, and answers it at once.
    fn say(&self, method: &str, path: &str, body: &[u8]) -> Result<Response, HttpError> {
        self.request_count.set(self.request_count.get() + 1);
        match (self.fault.get(), method, path) {
            (Fault::Down, _, _) => answer(503, json!({})),
            (_, "GET", _) if path.starts_with("/keys?starts=") => {
                let rest = path.strip_prefix("/keys?starts=").unwrap_or_default();
                let prefix = rest.split('&').next().unwrap_or_default();
                answer(200, self.store.borrow().list(prefix, "", usize::MAX))
            }
            (_, "GET", _) => {
                let key = path.strip_prefix("/keys/").expect("a key");
                let store = self.store.borrow();
                match store.read(key) {
                    Some(body) => answer(200, body),
                    None => answer(404, json!({"growth": store.revision})),
                }
            }
            (_, "POST", "/leases") => {
                let mut store = self.store.borrow_mut();
                store.revision += 1;
                answer(200, json!({"hold": store.revision}))
            }
            (_, "POST", _) if path.ends_with("/touch") => answer(200, json!({})),
            (_, "DELETE", _) if path.starts_with("/leases/") => {
                let lease = path.strip_prefix("/leases/").and_then(|id| id.parse().ok());
                self.store.borrow_mut().end_lease(lease.expect("a lease"));
                answer(200, json!({}))
            }
            (fault, "POST", "/multi") => self.commit(fault, body),
            _ => answer(400, json!({})),
        }
    }

    /// Carries out a transaction, and answers it, but for the fault.
    fn commit(&self, fault: Fault, body: &[u8]) -> Result<Response, HttpError> {
        self.fault.set(Fault::None);
        if fault == Fault::NotApplied {
            return Err(NoResponse::Closed.into());
        }
        let transaction: Transaction = serde_json::from_slice(body).expect("a transaction");
        let mut store = self.store.borrow_mut();
        if let Err(conflict) = store.commit(&transaction) {
            let store_revision = store.revision;
            return answer(409, json!({"failed": conflict.failed, "growth": store_revision}));
        }
        if fault == Fault::AppliedButLost {
            return Err(NoResponse::Closed.into());
        }
        answer(200, json!({"growth": store.revision}))
    }
}

fn answer(status: u16, value: Value) -> Result<Response, HttpError> {
    Ok(Response { status, body: value.to_string().into_bytes() })
}
