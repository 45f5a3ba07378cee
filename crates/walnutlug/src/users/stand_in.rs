//! A state service for tests: the protocol's conditional writes, and faults on demand.

use std::cell::{Cell, RefCell};
use std::collections::BTreeMap;
use std::rc::Rc;

use serde_json::{json, Value};
use walnutlug_core::tunables::Tunables;
use walnutlug_core::wire::{Change, MachineType, Txn};

use crate::http::client::{Client, Failure, Response};
use crate::node::Node;
use crate::settings::{tests::sample, Settings};

#[derive(Clone, Copy, PartialEq)]
pub enum Fault {
    None,
    /// The next transaction is carried out and its answer lost.
    AppliedButLost,
    /// The next transaction is lost.
    NotApplied,
    /// 503 to everything.
    Down,
}

#[derive(Clone)]
pub struct StandIn {
    pub keys: Rc<RefCell<BTreeMap<String, (Value, u64)>>>,
    pub asked: Rc<Cell<u32>>,
    growth: Rc<Cell<u64>>,
    fault: Rc<Cell<Fault>>,
}

impl Default for StandIn {
    fn default() -> StandIn {
        StandIn {
            keys: Rc::default(),
            asked: Rc::default(),
            growth: Rc::default(),
            fault: Rc::new(Cell::new(Fault::None)),
        }
    }
}

impl StandIn {
    pub fn fault(&self, fault: Fault) {
        self.fault.set(fault);
    }

    /// A node that knows one machine type and asks this store.
    pub fn node(&self) -> Rc<Node> {
        let store = self.clone();
        let script = move |method: &str, path: &str, body: &[u8]| store.say(method, path, body);
        let client = Client::scripted(Box::new(script));
        let settings = Settings::parse(&sample().to_string()).expect("settings");
        let node = Node::new(settings, Tunables::default(), Rc::new(client), Vec::new());
        let node = node.expect("a node");
        node.types.borrow_mut().push(MachineType {
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

    pub fn put(&self, key: &str, value: Value) {
        self.growth.set(self.growth.get() + 1);
        self.keys.borrow_mut().insert(key.into(), (value, self.growth.get()));
    }

    fn say(&self, method: &str, path: &str, body: &[u8]) -> Result<Response, Failure> {
        self.asked.set(self.asked.get() + 1);
        let answer =
            |status, value: Value| Ok(Response { status, body: value.to_string().into_bytes() });
        match (self.fault.get(), method, path) {
            (Fault::Down, _, _) => answer(503, json!({})),
            (_, "GET", _) if path.starts_with("/keys?starts=") => {
                let rest = path.strip_prefix("/keys?starts=").unwrap_or_default();
                let prefix = rest.split('&').next().unwrap_or_default();
                let keys = self.keys.borrow();
                let found = keys.iter().filter(|(k, _)| k.starts_with(prefix));
                let pairs: Vec<Value> =
                    found.map(|(k, (v, m))| json!({"key": k, "value": v, "mark": m})).collect();
                let growth = self.growth.get();
                answer(200, json!({"pairs": pairs, "hasNext": false, "growth": growth}))
            }
            (_, "GET", _) => {
                let key = path.strip_prefix("/keys/").expect("a key");
                match self.keys.borrow().get(key) {
                    Some((value, mark)) => {
                        answer(200, json!({"key": key, "value": value, "mark": mark}))
                    }
                    None => answer(404, json!({"growth": self.growth.get()})),
                }
            }
            (_, "DELETE", _) if path.starts_with("/leases/") => {
                // The keys on the lease go with it.
                self.keys.borrow_mut().retain(|_, (value, _)| {
                    path.strip_prefix("/leases/") != Some(value["lease"].to_string().as_str())
                });
                answer(200, json!({}))
            }
            (fault, "POST", "/multi") => {
                self.fault.set(Fault::None);
                if fault == Fault::NotApplied {
                    return Err(Failure::Lost);
                }
                let txn: Txn = serde_json::from_slice(body).expect("a transaction");
                let failed: Vec<&str> = {
                    let keys = self.keys.borrow();
                    let mark = |k: &str| keys.get(k).map_or(0, |v| v.1);
                    let wrong = txn.guards.iter().filter(|g| mark(&g.key) != g.mark);
                    wrong.map(|g| g.key.as_str()).collect()
                };
                if !failed.is_empty() {
                    return answer(409, json!({"failed": failed, "growth": 1}));
                }
                self.growth.set(self.growth.get() + 1);
                for change in &txn.apply {
                    match change {
                        Change::Put { put, value, .. } => {
                            let entry = (value.clone(), self.growth.get());
                            self.keys.borrow_mut().insert(put.clone(), entry);
                        }
                        Change::Drop { drop } => {
                            self.keys.borrow_mut().remove(drop);
                        }
                    }
                }
                if fault == Fault::AppliedButLost {
                    return Err(Failure::Lost);
                }
                answer(200, json!({"growth": self.growth.get()}))
            }
            _ => answer(400, json!({})),
        }
    }
}
