//! One controller node: what it knows, whom it answers and what it tells the others.

mod lead;

use std::cell::{Cell, RefCell};
use std::collections::HashMap;
use std::net::SocketAddrV4;
use std::rc::Rc;
use std::time::{SystemTime, UNIX_EPOCH};

use hdrhistogram::Histogram;
use tokio::net::TcpListener;
use tokio::sync::{mpsc, Notify};
use tokio::time::{sleep, Duration, Instant};
use tracing::{debug, info, warn};
use walnutlug_core::book::{MachineState, Scheduler};
use walnutlug_core::job::keys;
use walnutlug_core::leadership::{Input, Leadership, Role};
use walnutlug_core::time::Time;
use walnutlug_core::tunables::Tunables;
use walnutlug_core::wire::MachineType;

use crate::cloud::{usable_types, Cloud};
use crate::http::client::Client;
use crate::http::server::{self, Answer, Request};
use crate::peers::{self, Frame};
use crate::settings::{Settings, Sockets};
use crate::state::{Class, State};
use crate::{users, workers};

/// How long what another node said of itself is worth something.
const PEER_FRESH: Duration = Duration::from_secs(4);

/// How long an address that another node told is worth asking at.
const ADDRESS_FRESH: Duration = Duration::from_secs(20);
/// Seconds in which all machines are told once, one frame a second at least: well within the time for
/// which an address counts as fresh, at any size.
const ADDRESS_TURN: usize = 6;
/// Addresses remembered: many times those of any fleet, at some forty bytes each.
const MOST_ADDRESSES: usize = 50_000;
/// Messages that wait for another node: a status, some addresses and the progress of every open job
/// each second. What finds no place is only a hint lost.
const PEER_QUEUE: usize = 2_048;

/// What another node last said of itself.
struct PeerState {
    heard: Instant,
    served: bool,
    redirected: u16,
    life: u64,
    count: u64,
}

pub struct Node {
    pub settings: Settings,
    pub tunables: Rc<Tunables>,
    pub site: Rc<walnutlug_core::tunables::Site>,
    pub state: State,
    pub cloud: Cloud,
    pub client: Rc<Client>,
    pub leadership: RefCell<Leadership>,
    pub scheduler: RefCell<Option<Scheduler>>,
    pub types: RefCell<Vec<MachineType>>,
    pub desk: users::Desk,
    /// Wakes the leader: something is to be decided.
    pub new_work: Notify,
    pub redirected: Cell<u16>,
    pub submit_times: RefCell<Histogram<u64>>,
    wake: Notify,
    step_down: Notify,
    /// Who leads, as far as this node knows, and under which term.
    keeper: RefCell<Option<(String, u64)>>,
    peer_states: RefCell<HashMap<String, PeerState>>,
    peer_queues: Vec<mpsc::Sender<Rc<Vec<u8>>>>,
    incarnation: String,
    requests: Cell<u64>,
    epoch: Instant,
    ready_once: Cell<bool>,
    told: RefCell<HashMap<String, (u32, u32)>>,
    /// Where machines can be reached, as the leader told lately: for a quick take-over.
    addresses: RefCell<HashMap<String, (SocketAddrV4, Instant)>>,
    /// The name up to which machines' addresses were told in this turn.
    addresses_told: RefCell<String>,
    checking_lead: Cell<bool>,
    /// Whether a late status of another node was logged; once is enough.
    stale_told: Cell<bool>,
    /// Until when the leader's lease is certainly held.
    lease_until: Cell<Instant>,
    /// Connections from users and workers.
    open: Rc<Cell<u32>>,
    /// Workers whose connection was closed to leave room for users, since it was told last.
    let_go: Cell<u32>,
    /// Tells this life of the node from its former ones.
    life: u64,
    statuses: Cell<u64>,
}

/// Where the node's steady clock begins. Not at nothing, so that times before the start of this
/// process, such as a job's acceptance, can be told.
const CLOCK_BASE_US: u64 = 1 << 50;

impl Node {
    pub fn new(
        settings: Settings,
        tunables: Tunables,
        client: Rc<Client>,
        peer_queues: Vec<mpsc::Sender<Rc<Vec<u8>>>>,
    ) -> std::io::Result<Node> {
        let histogram = Histogram::new_with_bounds(1, 60_000, 2)
            .map_err(|e| std::io::Error::other(e.to_string()))?;
        Ok(Node {
            tunables: Rc::new(tunables),
            site: Rc::new(settings.site.clone()),
            state: State::new(
                client.clone(),
                settings.state,
                settings.state_limits,
                settings.state_next,
            ),
            cloud: Cloud::new(client.clone(), settings.cloud, settings.cloud_rps),
            client,
            leadership: RefCell::default(),
            scheduler: RefCell::new(None),
            types: RefCell::default(),
            desk: users::Desk::default(),
            new_work: Notify::new(),
            redirected: Cell::new(0),
            submit_times: RefCell::new(histogram),
            wake: Notify::new(),
            step_down: Notify::new(),
            keeper: RefCell::new(None),
            peer_states: RefCell::default(),
            peer_queues,
            incarnation: format!("{:016x}", rand::random::<u64>()),
            requests: Cell::new(0),
            epoch: Instant::now(),
            ready_once: Cell::new(false),
            told: RefCell::default(),
            addresses: RefCell::default(),
            addresses_told: RefCell::default(),
            checking_lead: Cell::new(false),
            stale_told: Cell::new(false),
            lease_until: Cell::new(Instant::now()),
            open: Rc::default(),
            let_go: Cell::new(0),
            life: SystemTime::now().duration_since(UNIX_EPOCH).map_or(0, |d| d.as_micros() as u64),
            statuses: Cell::new(0),
            settings,
        })
    }

    pub fn now(&self) -> Time {
        Time(CLOCK_BASE_US + self.epoch.elapsed().as_micros() as u64)
    }

    pub fn wall_us(&self) -> u64 {
        SystemTime::now().duration_since(UNIX_EPOCH).map_or(0, |d| d.as_micros() as u64)
    }

    /// The node that workers should report to, if it is another one.
    pub fn keeper(&self) -> Option<String> {
        let keeper = self.keeper.borrow();
        keeper.as_ref().map(|k| k.0.clone()).filter(|n| *n != self.settings.node_name)
    }

    fn learn_keeper(&self, name: &str, term: u64) {
        let mut keeper = self.keeper.borrow_mut();
        if keeper.as_ref().is_none_or(|k| k.1 < term) {
            *keeper = Some((name.to_owned(), term));
        }
        drop(keeper);
        let own = self.leadership.borrow().term();
        if name != self.settings.node_name && own.is_some_and(|own| own < term) {
            self.give_up_lead("another node leads under a newer term");
        }
    }

    /// The leader of that term leads no more. Workers aren't sent to it: it may be dead, and a
    /// connection to it may hang.
    fn forget_keeper(&self, term: u64) {
        let mut keeper = self.keeper.borrow_mut();
        if keeper.as_ref().is_some_and(|k| k.1 <= term) {
            *keeper = None;
        }
    }

    pub fn tell_peers(&self, frame: &Frame) {
        let bytes = Rc::new(frame.encode());
        for queue in &self.peer_queues {
            let _ = queue.try_send(bytes.clone());
        }
    }

    pub fn peer_frame(&self, frame: Frame) {
        match frame {
            Frame::Status { name, term, leading, served, redirected, life, count } => {
                if leading {
                    self.learn_keeper(&name, term);
                }
                let heard = Instant::now();
                let state = PeerState { heard, served, redirected, life, count };
                let mut states = self.peer_states.borrow_mut();
                // A frame of the node's former life, or one held back, says nothing of now. (Lives
                // are told apart by the time of day, which may wander: one that has long been
                // silent gives way to any other.)
                let stale = states.get(&name).is_some_and(|known| {
                    (known.life, known.count) >= (life, count) && known.heard.elapsed() < PEER_FRESH
                });
                if stale {
                    if !self.stale_told.replace(true) {
                        info!(peer = %name, "a status of the past is passed over");
                    }
                    return;
                }
                if states.len() < 64 || states.contains_key(&name) {
                    states.insert(name, state);
                }
            }
            Frame::Progress { job, done, running } => self.desk.progress(&job, done, running),
            // Only a hint to look: what an end is, the state service tells.
            Frame::Ended { job, .. } => {
                self.desk.ended_elsewhere(&job);
                self.new_work.notify_one();
            }
            Frame::NewJob { .. } => self.new_work.notify_one(),
            Frame::LimitsFell => self.state.heard_of_fall(),
            Frame::Machines(list) => {
                let mut known = self.addresses.borrow_mut();
                if known.len() + list.len() > MOST_ADDRESSES {
                    known.retain(|_, (_, heard)| heard.elapsed() < ADDRESS_FRESH);
                }
                let heard = Instant::now();
                for (name, addr) in list {
                    if known.len() < MOST_ADDRESSES || known.contains_key(&name) {
                        known.insert(name, (addr, heard));
                    }
                }
            }
        }
    }

    fn a_peer_is_served(&self) -> bool {
        let states = self.peer_states.borrow();
        states.values().any(|p| p.served && p.heard.elapsed() < PEER_FRESH)
    }

    fn workers_go_elsewhere(&self) -> bool {
        let states = self.peer_states.borrow();
        states.values().any(|p| p.redirected > 0 && p.heard.elapsed() < PEER_FRESH)
    }

    /// Whether other nodes exist and none of them is heard.
    fn alone(&self) -> bool {
        let states = self.peer_states.borrow();
        !self.settings.peers.is_empty()
            && self.epoch.elapsed() > PEER_FRESH
            && !states.values().any(|p| p.heard.elapsed() < PEER_FRESH)
    }

    /// Ready once the node can decide. In an outage for all it stays ready and says 503 with a
    /// time to come again: users are served sooner so than through the balancer's growing pauses.
    /// Alone refused while others are served, it is of no use to anybody; nor is it cut off from
    /// the state service and from all other nodes, which are served for all it knows.
    fn ready(&self) -> bool {
        if self.types.borrow().is_empty() || !self.ready_once.get() {
            return false;
        }
        let unserved = self.state.unserved_for() > Duration::from_millis(1_500);
        !(unserved && (self.a_peer_is_served() || self.alone()))
    }

    fn give_up_lead(&self, why: &str) {
        let now = self.now();
        if self.leadership.borrow_mut().step(now, Input::Lost) {
            info!("no longer leading: {why}");
            *self.scheduler.borrow_mut() = None;
            self.state.lead(false);
            self.step_down.notify_waiters();
        }
    }

    /// Lets the core decide and carries its commands out.
    pub fn pump(&self) {
        self.wake.notify_one();
    }

    async fn read_types(&self) {
        if let Ok(Some(pair)) = self.state.get(Class::Submission, keys::TYPES).await {
            self.ready_once.set(true);
            let types = serde_json::from_value::<Vec<MachineType>>(pair.value["breeds"].clone());
            if let Ok(types) = types {
                *self.types.borrow_mut() = usable_types(types);
            }
        }
    }
}

pub fn run(settings: Settings, tunables: Tunables) -> std::io::Result<()> {
    let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build()?;
    let local = tokio::task::LocalSet::new();
    local.block_on(&runtime, serve(settings, tunables))
}

async fn serve(settings: Settings, tunables: Tunables) -> std::io::Result<()> {
    let listener = TcpListener::bind(settings.listen).await?;
    let internal = TcpListener::bind(settings.internal).await?;
    let sockets = Sockets::share(settings.fd_limit);
    let client = Rc::new(Client::with_most(sockets.outbound as usize));
    let mut peer_queues = Vec::new();
    for peer in &settings.peers {
        debug!(peer = %peer.name, "peer");
        let (queue, rx) = mpsc::channel(PEER_QUEUE);
        peer_queues.push(queue);
        tokio::task::spawn_local(peers::talk(peer.addr, rx));
    }
    let node = Rc::new(Node::new(settings, tunables, client, peer_queues)?);
    node.state.lead(false);
    tokio::task::spawn_local(peers::listen(node.clone(), internal));
    tokio::task::spawn_local(lead::election(node.clone()));
    tokio::task::spawn_local(keep_types(node.clone()));
    tokio::task::spawn_local(tell_status(node.clone()));
    tokio::task::spawn_local(tell_times(node.clone()));
    let handler_node = node.clone();
    let open = node.open.clone();
    let handler = move |request| handle(handler_node.clone(), request);
    server::serve(listener, sockets.inbound, open, handler).await;
    Ok(())
}

async fn handle(node: Rc<Node>, request: Request) -> Answer {
    let path = request.path.split('?').next().unwrap_or_default().to_owned();
    let method = request.method.as_str();
    match path.as_str() {
        "/ready" => match method {
            "GET" if node.ready() => Answer::json(200, &serde_json::json!({"ready": true})),
            "GET" => Answer::later("not ready"),
            _ => Answer::error(405, "use GET"),
        },
        "/hello" => match method {
            "POST" => {
                let mut answer = workers::hello(&node, &request.body);
                // Workers find their way back with the next report; a user may not find a socket.
                if node.open.get() > Sockets::share(node.settings.fd_limit).workers_kept {
                    answer.close = true;
                    node.let_go.set(node.let_go.get() + 1);
                }
                // Silent for longer than its lease, a worker has begun anew on another connection.
                answer.idle = Some(Duration::from_micros(node.site.lease.0));
                answer
            }
            _ => Answer::error(405, "use POST"),
        },
        "/submissions" => match method {
            "POST" => users::submit(node, request.body).await,
            _ => Answer::error(405, "use POST"),
        },
        _ => {
            let Some(rest) = path.strip_prefix("/submissions/") else {
                return Answer::error(404, "no such path");
            };
            match rest.split_once('/') {
                None => match method {
                    "GET" => users::poll(node, rest).await,
                    _ => Answer::error(405, "use GET"),
                },
                Some((name, "withdraw")) => match method {
                    "POST" => users::withdraw(node, name).await,
                    _ => Answer::error(405, "use POST"),
                },
                Some(_) => Answer::error(404, "no such path"),
            }
        }
    }
}

/// Gets the machine types, first from the common store, and keeps them fresh while leading.
async fn keep_types(node: Rc<Node>) {
    let mut pause = Duration::from_millis(300);
    loop {
        let leads = node.leadership.borrow().term().is_some();
        let empty = node.types.borrow().is_empty();
        if empty {
            node.read_types().await;
        }
        if node.types.borrow().is_empty() || leads {
            match node.cloud.types().await {
                Ok(types) if types.is_empty() => warn!("the cloud offers no usable machine type"),
                Ok(types) => {
                    let changed = *node.types.borrow() != types;
                    if changed {
                        node.types.borrow_mut().clone_from(&types);
                        if let Some(s) = node.scheduler.borrow_mut().as_mut() {
                            s.set_types(types.clone());
                        }
                        let _ = users::share_types(&node.state, &types).await;
                    }
                    node.ready_once.set(true);
                }
                Err(e) => debug!("machine types: {e:?}"),
            }
        }
        if !node.types.borrow().is_empty() {
            pause = Duration::from_secs(60);
        }
        sleep(pause).await;
        pause = (pause * 2).min(Duration::from_secs(60));
        if node.types.borrow().is_empty() {
            pause = pause.min(Duration::from_secs(2));
        }
    }
}

async fn tell_status(node: Rc<Node>) {
    let mut count = 0u32;
    loop {
        let role = node.leadership.borrow().role();
        let (term, leading) = match role {
            Role::Leading { term } | Role::Loading { term } => (term, true),
            Role::Following | Role::Standing => (0, false),
        };
        node.tell_peers(&Frame::Status {
            name: node.settings.node_name.clone(),
            term,
            leading,
            served: node.state.served(),
            redirected: node.redirected.get(),
            life: node.life,
            count: node.statuses.get(),
        });
        node.statuses.set(node.statuses.get() + 1);
        if node.state.met_fall() {
            // A node that comes to lead later would find out again, with refused writes.
            node.tell_peers(&Frame::LimitsFell);
        }
        count += 1;
        if count.is_multiple_of(6) {
            node.redirected.set(0);
        }
        if leading {
            tell_progress(&node);
            tell_addresses(&node);
        }
        let probe = node.clone();
        tokio::task::spawn_local(async move { probe.state.probe().await });
        sleep(Duration::from_millis(1_000)).await;
    }
}

fn tell_progress(node: &Node) {
    let scheduler = node.scheduler.borrow();
    let Some(s) = scheduler.as_ref() else { return };
    let mut told = node.told.borrow_mut();
    told.retain(|name, _| s.by_ref.contains_key(name));
    for (name, &ix) in &s.by_ref {
        let Some(counts) = s.counts(ix) else { continue };
        if told.get(name) != Some(&counts) {
            told.insert(name.clone(), counts);
            let (done, running) = counts;
            node.tell_peers(&Frame::Progress { job: name.clone(), done, running });
        }
    }
}

/// Tells the next few of the machines, by name, beginning anew after the last.
fn tell_addresses(node: &Node) {
    let scheduler = node.scheduler.borrow();
    let Some(s) = scheduler.as_ref() else { return };
    let mut told = node.addresses_told.borrow_mut();
    let mut names: Vec<(&String, &u32)> = s
        .by_name
        .iter()
        .filter(|(n, &ix)| **n > *told && s.machines[ix as usize].state == MachineState::Up)
        .collect();
    names.sort_unstable();
    let most = s.by_name.len().div_ceil(ADDRESS_TURN).max(peers::MOST_MACHINES);
    *told = match names.get(most) {
        Some(_) => names[most - 1].0.clone(),
        None => String::new(),
    };
    names.truncate(most);
    for some in names.chunks(peers::MOST_MACHINES) {
        let list = some.iter().filter_map(|(name, &ix)| {
            let addr = s.machines[ix as usize].address.parse().ok()?;
            Some(((*name).clone(), addr))
        });
        node.tell_peers(&Frame::Machines(list.collect()));
    }
}

async fn tell_times(node: Rc<Node>) {
    loop {
        sleep(Duration::from_secs(60)).await;
        let let_go = node.let_go.replace(0);
        if let_go > 0 {
            warn!(
                reports = let_go,
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

#[cfg(test)]
mod tests {
    use super::*;
    use crate::users::stand_in::{Fault, StandIn};

    #[tokio::test(start_paused = true)]
    async fn a_node_alone_refused_is_not_ready_and_one_among_all_is() {
        let store = StandIn::default();
        let node = store.node();
        let status = |served| Frame::Status {
            name: "kernel-1".into(),
            term: 3,
            leading: false,
            served,
            redirected: 0,
            life: 1,
            count: 1 + u64::from(served),
        };
        assert!(!node.ready(), "never loaded");
        node.ready_once.set(true);
        assert!(node.ready());
        store.fault(Fault::Down);
        let _ = node.state.get(Class::Poll, "x").await;
        tokio::time::advance(Duration::from_secs(2)).await;
        let _ = node.state.get(Class::Poll, "x").await;
        node.peer_frame(status(false));
        assert!(node.ready(), "an outage for all");
        node.peer_frame(status(true));
        assert!(!node.ready(), "alone refused");
    }

    #[tokio::test(start_paused = true)]
    async fn unknown_paths_and_wrong_methods_are_told_apart() {
        let node = StandIn::default().node();
        for (method, path, status) in [
            ("GET", "/nowhere", 404),
            ("GET", "/submissions", 405),
            ("DELETE", "/submissions/req-000001", 405),
            ("GET", "/submissions/req-000001/withdraw", 405),
            ("POST", "/submissions/req-000001/other", 404),
            ("GET", "/hello", 405),
            ("POST", "/ready", 405),
        ] {
            let request = Request { method: method.into(), path: path.into(), body: vec![] };
            assert_eq!(handle(node.clone(), request).await.status, status, "{method} {path}");
        }
    }

    /// Cut off from the state service and from the other nodes, while workers still reach it.
    #[tokio::test(start_paused = true)]
    async fn a_node_cut_off_from_state_and_peers_refuses_users_at_once() {
        let store = StandIn::default();
        let node = store.node();
        node.ready_once.set(true);
        store.fault(Fault::Down);
        tokio::time::advance(PEER_FRESH + Duration::from_secs(1)).await;
        let _ = node.state.get(Class::Poll, "x").await;
        assert!(node.state.down());
        assert!(!node.ready(), "alone with an unserved state");
        let asked = store.asked.get();
        let before = Instant::now();
        let answer = users::poll(node.clone(), "req-000412").await;
        assert_eq!((answer.status, answer.retry_after), (503, Some(1)));
        assert_eq!(store.asked.get(), asked, "nobody is asked who does not answer");
        assert_eq!(before.elapsed(), Duration::ZERO);
        // The leader's own probe finds the service again.
        store.fault(Fault::None);
        let _ = node.state.get(Class::Leadership, "x").await;
        assert!(!node.state.down() && node.ready());
    }

    #[tokio::test(start_paused = true)]
    async fn a_status_of_a_former_life_says_nothing_of_now() {
        let node = StandIn::default().node();
        let status = |life, count, served| Frame::Status {
            name: "kernel-1".into(),
            term: 0,
            leading: false,
            served,
            redirected: 0,
            life,
            count,
        };
        node.peer_frame(status(7, 2, false));
        node.peer_frame(status(6, 90, true));
        node.peer_frame(status(7, 1, true));
        assert!(!node.a_peer_is_served());
        node.peer_frame(status(7, 3, true));
        assert!(node.a_peer_is_served());
        // Its clock wandered back over a quick restart: it is heard again after a while.
        node.peer_frame(status(5, 1, false));
        assert!(node.a_peer_is_served());
        tokio::time::advance(PEER_FRESH).await;
        node.peer_frame(status(5, 2, true));
        assert!(node.a_peer_is_served());
    }

    #[tokio::test(start_paused = true)]
    async fn a_worker_is_let_go_before_users_lack_sockets() {
        let node = StandIn::default().node();
        let hello = || Request { method: "POST".into(), path: "/hello".into(), body: vec![] };
        node.open.set(Sockets::share(node.settings.fd_limit).workers_kept);
        assert!(!handle(node.clone(), hello()).await.close);
        node.open.set(node.open.get() + 1);
        assert!(handle(node.clone(), hello()).await.close);
    }

    #[tokio::test(start_paused = true)]
    async fn a_newer_term_ends_the_lead_and_an_older_one_does_not() {
        let node = StandIn::default().node();
        node.leadership.borrow_mut().step(node.now(), Input::Vacant);
        node.leadership.borrow_mut().step(node.now(), Input::Won { term: 5 });
        let status = |term| Frame::Status {
            name: "kernel-1".into(),
            term,
            leading: true,
            served: true,
            redirected: 0,
            life: 1,
            count: term,
        };
        node.peer_frame(status(4));
        assert_eq!(node.leadership.borrow().term(), Some(5));
        node.peer_frame(status(6));
        assert_eq!(node.leadership.borrow().term(), None);
        assert_eq!(node.keeper().as_deref(), Some("kernel-1"));
    }
}
