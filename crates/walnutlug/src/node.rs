//! One controller node: the loop that joins the core and the sockets.

use std::cell::{Cell, RefCell};
use std::collections::HashMap;
use std::net::SocketAddrV4;
use std::rc::Rc;
use std::time::{SystemTime, UNIX_EPOCH};

use hdrhistogram::Histogram;
use tokio::net::TcpListener;
use tokio::sync::{mpsc, Notify};
use tokio::time::{sleep, timeout, Duration, Instant};
use tracing::{debug, info, warn};
use walnutlug_core::book::{Command, MachineState, Outcome, Scheduler};
use walnutlug_core::job::{keys, End};
use walnutlug_core::leadership::{Input, Leadership, Role};
use walnutlug_core::time::{Span, Time};
use walnutlug_core::tunables::Tunables;
use walnutlug_core::wire::{Change, Guard, MachineType, RentRequest, Txn, WatchEvent};

use crate::cloud::{usable_types, Cloud, CloudError};
use crate::http::client::Client;
use crate::http::server::{self, Answer, Request};
use crate::peers::{self, Frame};
use crate::settings::{Settings, Sockets};
use crate::state::{leader_value, Class, State, StateError};
use crate::{users, workers};

/// How long a leader that gave way leaves the lead to others.
const ASIDE: Span = Span::secs(15);

/// How often a leader reads again what there is to do.
const RECONCILE_EVERY: Duration = Duration::from_secs(20);

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
                settings.state_rps,
                settings.state_write_rps,
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
    tokio::task::spawn_local(election(node.clone()));
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

// ---- leadership -----------------------------------------------------------------------------

async fn election(node: Rc<Node>) {
    loop {
        match node.state.get(Class::Leadership, keys::LEADER).await {
            Ok(Some(pair)) => {
                node.ready_once.set(true);
                let name = pair.value["node"].as_str().unwrap_or_default().to_owned();
                let own = pair.value["inc"].as_str() == Some(node.incarnation.as_str());
                if own {
                    // Its lease is not held any more (an answer was lost): it will run out.
                    sleep(Duration::from_millis(300)).await;
                    continue;
                }
                if name == node.settings.node_name {
                    end_former_lead(&node, &pair).await;
                }
                node.learn_keeper(&name, pair.mark);
                let hold = Duration::from_secs(10);
                match node.state.watch(Class::Leadership, keys::LEADER, pair.mark, hold).await {
                    Ok(w) => {
                        let vacant = w.events.iter().any(
                            |e| matches!(e, WatchEvent::Drop { drop, .. } if drop == keys::LEADER),
                        );
                        if vacant {
                            info!("the leader key is gone");
                            node.forget_keeper(pair.mark);
                        }
                    }
                    Err(_) => sleep(Duration::from_millis(300)).await,
                }
            }
            Ok(None) => {
                node.ready_once.set(true);
                let now = node.now();
                if node.leadership.borrow_mut().step(now, Input::Vacant) {
                    stand(&node).await;
                } else {
                    sleep(Duration::from_millis(200)).await;
                }
            }
            Err(_) => sleep(Duration::from_millis(rand::random_range(250..400))).await,
        }
    }
}

/// The key names this node, but not this life of it: the process ended while it led, and came back
/// before its lease ran out. Nobody leads, so the lease is ended at once. Were the former self
/// alive against all order, its writes would fail, and nothing worse.
async fn end_former_lead(node: &Node, pair: &walnutlug_core::wire::Pair) {
    if let Some(lease) = pair.value["lease"].as_u64() {
        info!(term = pair.mark, "this node led when it ended: its lease is given up");
        let _ = node.state.release(lease).await;
    }
}

async fn stand(node: &Rc<Node>) {
    let ttl = Duration::from_micros(node.tunables.leader_lease.0);
    let lost = |input| {
        node.leadership.borrow_mut().step(node.now(), input);
    };
    let Ok(lease) = node.state.lease(ttl).await else {
        lost(Input::Failed);
        sleep(Duration::from_millis(rand::random_range(50..200))).await;
        return;
    };
    let touched = Instant::now();
    node.lease_until.set(touched + ttl);
    let value = leader_value(&node.settings.node_name, &node.incarnation, lease);
    let txn = Txn {
        guards: vec![Guard { key: keys::LEADER.into(), mark: 0 }],
        apply: vec![Change::Put { put: keys::LEADER.into(), value, lease: Some(lease) }],
    };
    let term = create_leader_key(&node.state, &txn, &node.incarnation).await;
    let Some(term) = term else {
        // Ending the lease ends whatever a late copy of the transaction might yet create.
        let _ = node.state.release(lease).await;
        lost(Input::Failed);
        return;
    };
    if !node.leadership.borrow_mut().step(node.now(), Input::Won { term }) {
        return;
    }
    info!(term, "elected");
    node.state.lead(true);
    node.learn_keeper(&node.settings.node_name, term);
    lead(node, term, lease, touched).await;
    let _ = timeout(Duration::from_millis(500), node.state.release(lease)).await;
}

/// Creates the key, and tells the term if this node did. If only the answer was lost, the key holds
/// this node's own incarnation.
async fn create_leader_key(state: &State, txn: &Txn, incarnation: &str) -> Option<u64> {
    match state.commit(Class::Leadership, txn).await {
        Outcome::Committed { mark } => Some(mark),
        Outcome::Conflict { .. } | Outcome::Lost => {
            match state.get(Class::Leadership, keys::LEADER).await {
                Ok(Some(p)) if p.value["inc"].as_str() == Some(incarnation) => Some(p.mark),
                _ => None,
            }
        }
        Outcome::Refused => None,
    }
}

/// Everything that a leader does, until it is one no more.
async fn lead(node: &Rc<Node>, term: u64, lease: u64, touched: Instant) {
    let mut children = Vec::new();
    let lease_node = node.clone();
    children.push(tokio::task::spawn_local(async move {
        keep_lease(&lease_node, lease, touched).await;
    }));
    let over = node.step_down.notified();
    let work = async {
        if let Err(e) = load(node, term).await {
            node.give_up_lead(&format!("the records can't be read: {e}"));
            return;
        }
        decide(node, term).await;
    };
    tokio::select! {
        _ = over => {}
        _ = work => {}
    }
    node.give_up_lead("the term is over");
    for child in children {
        child.abort();
    }
}

async fn keep_lease(node: &Rc<Node>, lease: u64, mut touched: Instant) {
    let ttl = Duration::from_micros(node.tunables.leader_lease.0);
    loop {
        tokio::time::sleep_until(touched + ttl.mul_f64(0.28)).await;
        let sent = Instant::now();
        match node.state.touch(lease).await {
            Ok(()) => {
                touched = sent;
                node.lease_until.set(sent + ttl);
            }
            Err(StateError::Gone) => {
                node.give_up_lead("the lease ran out");
                return;
            }
            Err(e) => {
                debug!("lease not renewed: {e}");
                // In an outage the lease gets its full time again, so the leader stays and goes
                // on answering its workers; what it may not do any more the state service and
                // the workers' tokens refuse.
                touched = sent - ttl.mul_f64(0.28) + Duration::from_millis(150);
            }
        }
    }
}

/// Reads the records of the term before, whole, before anything is decided.
async fn load(node: &Rc<Node>, term: u64) -> Result<(), StateError> {
    let began = Instant::now();
    if node.types.borrow().is_empty() {
        node.read_types().await;
    }
    let mut s = Scheduler::new(
        node.site.clone(),
        node.tunables.clone(),
        term,
        node.types.borrow().clone(),
        node.now(),
    );
    let (todo, growth) = retry(node, keys::TODO).await?;
    let (runs, _) = retry(node, keys::RUN).await?;
    let (now, wall) = (node.now(), node.wall_us());
    for pair in &todo {
        if let Some(name) = pair.key.strip_prefix(keys::TODO) {
            s.add_job(now, name, &pair.value, wall);
        }
    }
    for pair in &runs {
        if !s.load_chunk(now, &pair.key, &pair.value, pair.mark) {
            // Descriptions are dropped last, so this is damage from outside. Whatever it places is
            // strange to the book and will be stopped where it reports.
            warn!("stored {} belongs to no job and is passed over", pair.key);
        }
    }
    let open: Vec<String> = s.by_ref.keys().cloned().collect();
    loop {
        match ended_of(node, open.clone()).await {
            Ok(ended) => {
                for name in &ended {
                    s.job_over(now, name);
                }
                break;
            }
            Err(StateError::Bad) => return Err(StateError::Bad),
            Err(_) => sleep(Duration::from_millis(200)).await,
        }
    }
    for (name, (address, heard)) in node.addresses.borrow().iter() {
        if heard.elapsed() < ADDRESS_FRESH {
            s.hint_address(now, name, &address.to_string());
        }
    }
    let placed: usize = s.machines.iter().map(|m| m.tasks.len()).sum();
    info!(
        term,
        jobs = s.by_ref.len(),
        placed,
        ms = began.elapsed().as_millis() as u64,
        "records read: leading"
    );
    install(node, s);
    if !node.leadership.borrow_mut().step(node.now(), Input::Loaded { term }) {
        return Err(StateError::Gone);
    }
    for prefix in [keys::TODO, keys::END] {
        tokio::task::spawn_local(watch(node.clone(), term, prefix, growth));
    }
    tokio::task::spawn_local(list_machines(node.clone(), term));
    tokio::task::spawn_local(reconcile(node.clone(), term));
    Ok(())
}

/// Which of the jobs have ended, by comparing: the ends of all jobs ever are never listed.
async fn ended_of(node: &Node, mut open: Vec<String>) -> Result<Vec<String>, StateError> {
    let most = (node.site.txn_ops * 4).min(200);
    let mut found = Vec::new();
    while !open.is_empty() {
        let batch = &open[open.len().saturating_sub(most)..];
        let txn = Txn {
            guards: batch.iter().map(|n| Guard { key: keys::end(n), mark: 0 }).collect(),
            apply: Vec::new(),
        };
        let keep = open.len() - batch.len();
        match node.state.commit(Class::Dispatch, &txn).await {
            Outcome::Committed { .. } => open.truncate(keep),
            Outcome::Conflict { failed } => {
                let before = open.len();
                open.retain(|n| !failed.contains(&keys::end(n)));
                if open.len() == before {
                    return Err(StateError::Bad);
                }
                found.extend(
                    failed.iter().filter_map(|k| k.strip_prefix(keys::END)).map(str::to_owned),
                );
            }
            Outcome::Refused => return Err(StateError::Refused),
            Outcome::Lost => return Err(StateError::Lost),
        }
    }
    Ok(found)
}

/// Reads the truth again, now and then: jobs that are to be done, and which of them have ended. The
/// watches tell the same sooner; but no job may hang on one message that was lost.
async fn reconcile(node: Rc<Node>, term: u64) {
    loop {
        sleep(RECONCILE_EVERY).await;
        if !leads(&node, term) {
            return;
        }
        if !node.state.served() {
            continue;
        }
        if let Err(e) = reconcile_once(&node, term).await {
            debug!("reading the records again: {e}");
        }
    }
}

async fn reconcile_once(node: &Rc<Node>, term: u64) -> Result<(), StateError> {
    let (todo, _) = node.state.list(Class::Poll, keys::TODO).await?;
    let (now, wall) = (node.now(), node.wall_us());
    let open = {
        let mut scheduler = node.scheduler.borrow_mut();
        let Some(s) = scheduler.as_mut().filter(|s| s.term == term) else { return Ok(()) };
        for pair in &todo {
            // One that was cleaned up since the list was read comes back here as a job to do; the
            // guard on its end then fails, and it is cleaned up again.
            if let Some(name) = pair.key.strip_prefix(keys::TODO) {
                if !s.by_ref.contains_key(name) && s.add_job(now, name, &pair.value, wall) {
                    info!(job = %name, "found by reading the records again");
                }
            }
        }
        s.open_jobs()
    };
    for name in ended_of(node, open).await? {
        if let Some(end) = node.state.end(&name).await? {
            node.learn_end(&name, end);
        }
    }
    node.pump();
    Ok(())
}

/// The book becomes the node's. The machine types may have come while the records were read, when
/// there was no book to tell them to. (Seen on loopback, where the cloud answers within that time:
/// a leader without types rented and placed nothing until a price moved.)
fn install(node: &Node, mut s: Scheduler) {
    s.set_types(node.types.borrow().clone());
    *node.scheduler.borrow_mut() = Some(s);
}

async fn retry(
    node: &Rc<Node>,
    prefix: &str,
) -> Result<(Vec<walnutlug_core::wire::Pair>, u64), StateError> {
    let mut tries = 0;
    loop {
        match node.state.list(Class::Dispatch, prefix).await {
            Ok(found) => return Ok(found),
            Err(e) if tries > 20 => return Err(e),
            Err(_) => {
                tries += 1;
                sleep(Duration::from_millis(200)).await;
            }
        }
    }
}

fn leads(node: &Node, term: u64) -> bool {
    node.leadership.borrow().role() == Role::Leading { term }
}

/// Shortest time between two openings of a watch.
const WATCH_PACE: Duration = Duration::from_millis(150);

/// What is left of a watch's pace. The clock is looked at once: between two looks the process may
/// lose its turn, and a time that was below the pace is beyond it. (Such a difference below nothing
/// ended a leader, with a fleet of two thousand, on a busy day.)
fn rest_of_pace(elapsed: Duration) -> Duration {
    WATCH_PACE.saturating_sub(elapsed)
}

/// Hears of new jobs and of ends. Opened again at a bounded pace, since every opening counts.
async fn watch(node: Rc<Node>, term: u64, prefix: &'static str, mut from: u64) {
    while leads(&node, term) {
        let opened = Instant::now();
        match node.state.watch(Class::Dispatch, prefix, from, Duration::from_secs(10)).await {
            Ok(watched) => {
                from = watched.growth.max(from);
                if !leads(&node, term) {
                    return;
                }
                let (now, wall) = (node.now(), node.wall_us());
                for event in &watched.events {
                    let WatchEvent::Put { put, value, .. } = event else { continue };
                    if let Some(name) = put.strip_prefix(keys::TODO) {
                        if let Some(s) = node.scheduler.borrow_mut().as_mut() {
                            s.add_job(now, name, value, wall);
                        }
                    } else if let Some(name) = put.strip_prefix(keys::END) {
                        if let Ok(end) = serde_json::from_value::<End>(value.clone()) {
                            node.learn_end(name, end);
                        }
                    }
                }
                node.pump();
            }
            Err(StateError::Gone) => {
                node.give_up_lead("the watch lost its place: the records are read again");
                return;
            }
            Err(_) => sleep(Duration::from_millis(300)).await,
        }
        let rest = rest_of_pace(opened.elapsed());
        if !rest.is_zero() {
            // A node that took a job or a withdrawal hints that there is something to see.
            let _ = timeout(rest, node.new_work.notified()).await;
        }
    }
}

async fn list_machines(node: Rc<Node>, term: u64) {
    let every = Duration::from_micros(node.site.list_lag.0 / 2)
        .clamp(Duration::from_secs(3), Duration::from_secs(10));
    while leads(&node, term) {
        let pause = match node.cloud.list().await {
            Ok(list) => {
                let now = node.now();
                if let Some(s) = node.scheduler.borrow_mut().as_mut() {
                    s.machine_list(now, &list);
                }
                node.pump();
                every
            }
            Err(_) => Duration::from_secs(2),
        };
        sleep(pause).await;
    }
}

/// The leader's loop: whenever something happened, and now and then, the core decides.
async fn decide(node: &Rc<Node>, term: u64) {
    let mut last = Instant::now();
    while leads(node, term) {
        {
            let now = node.now();
            let mut guard = node.scheduler.borrow_mut();
            let Some(s) = guard.as_mut() else { return };
            if s.deaf(now) && node.workers_go_elsewhere() {
                drop(guard);
                // Cut off from the workers while they reach another node: leading from here
                // serves nobody. Another may, and this one holds back for a while.
                node.leadership.borrow_mut().stand_aside(now, ASIDE);
                node.give_up_lead("no worker reaches this node, but they reach others");
                return;
            }
            let (left, most) = node.state.writes_left();
            s.allow_writes(left, most);
            // By this node's own clock, and from before the request was sent, so never too long.
            s.in_office = Instant::now() < node.lease_until.get();
            s.tick(now);
            s.look_at_fleet(now);
            let commands = s.take_commands();
            drop(guard);
            for command in commands {
                carry_out(node, term, command);
            }
        }
        let least = Duration::from_millis(10).saturating_sub(last.elapsed());
        if !least.is_zero() {
            sleep(least).await;
        }
        last = Instant::now();
        let _ = timeout(Duration::from_millis(100), node.wake.notified()).await;
    }
}

fn with_scheduler(node: &Rc<Node>, term: u64, f: impl FnOnce(&mut Scheduler, Time)) {
    let now = node.now();
    if let Some(s) = node.scheduler.borrow_mut().as_mut() {
        // Answers to a former term's requests mean nothing to this one's book.
        if s.term == term {
            f(s, now);
        }
    }
    node.pump();
}

fn carry_out(node: &Rc<Node>, term: u64, command: Command) {
    let node = node.clone();
    match command {
        Command::Note(text) => info!("{text}"),
        Command::StepDown(why) => node.give_up_lead(why),
        Command::CheckLead => {
            if !node.checking_lead.replace(true) {
                tokio::task::spawn_local(async move {
                    if let Ok(found) = node.state.get(Class::Leadership, keys::LEADER).await {
                        if found.is_none_or(|pair| pair.mark != term) {
                            node.give_up_lead("the leader key is not this term's any more");
                        }
                    }
                    sleep(Duration::from_millis(500)).await;
                    node.checking_lead.set(false);
                });
            }
        }
        Command::Commit { id, txn } => {
            tokio::task::spawn_local(async move {
                let outcome = node.state.commit(Class::Dispatch, &txn).await;
                with_scheduler(&node, term, |s, now| s.txn_answer(now, id, outcome));
            });
        }
        Command::Read { id, key } => {
            tokio::task::spawn_local(async move {
                let answer = match node.state.get(Class::Dispatch, &key).await {
                    Ok(Some(pair)) => Some((pair.value, pair.mark)),
                    Ok(None) => Some((serde_json::Value::Null, 0)),
                    Err(_) => None,
                };
                with_scheduler(&node, term, |s, now| s.read_answer(now, id, answer));
            });
        }
        Command::Direct { machine, address, token, session, calls } => {
            tokio::task::spawn_local(async move {
                let outcome = workers::direct(&node.client, &address, token, session, &calls).await;
                with_scheduler(&node, term, |s, now| s.direct_answer(now, machine, outcome));
            });
        }
        Command::Rent { kind, zone, spot, count } => {
            tokio::task::spawn_local(async move {
                let n = node.requests.get() + 1;
                node.requests.set(n);
                // Term, incarnation and counter: a name that no other node or time ever uses.
                let request = RentRequest {
                    request: format!("{term}-{}-{n}", node.incarnation),
                    kind: kind.clone(),
                    zone: zone.clone(),
                    spot,
                    count,
                };
                let answer = match node.cloud.rent(&request).await {
                    Ok(names) => Ok(names),
                    Err(CloudError::NoCapacity) => Ok(Vec::new()),
                    Err(CloudError::Trouble) => Err(()),
                };
                with_scheduler(&node, term, |s, now| {
                    s.rented(now, &kind, &zone, spot, count, answer);
                });
            });
        }
        Command::Return { machines } => {
            tokio::task::spawn_local(async move {
                let ok = node.cloud.give_back(&machines).await;
                with_scheduler(&node, term, |s, now| s.returned(now, &machines, ok));
            });
        }
    }
}

#[cfg(test)]
mod tests {
    use super::*;
    use crate::users::stand_in::{Fault, StandIn};

    fn key_for(incarnation: &str) -> Txn {
        Txn {
            guards: vec![Guard { key: keys::LEADER.into(), mark: 0 }],
            apply: vec![Change::put(keys::LEADER, leader_value("kernel-0", incarnation, 5))],
        }
    }

    #[tokio::test(start_paused = true)]
    async fn a_lost_answer_on_election_is_read_back() {
        let store = StandIn::default();
        let node = store.node();
        store.fault(Fault::AppliedButLost);
        let own = create_leader_key(&node.state, &key_for("mine"), "mine").await;
        assert_eq!(own, Some(1), "elected after all");
        let other = create_leader_key(&node.state, &key_for("theirs"), "theirs").await;
        assert_eq!(other, None, "the key is taken");
        store.fault(Fault::NotApplied);
        assert_eq!(create_leader_key(&node.state, &key_for("third"), "third").await, None);
    }

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

    #[tokio::test(start_paused = true)]
    async fn types_that_came_while_the_records_were_read_reach_the_book() {
        let node = StandIn::default().node();
        let (site, tunables) = (node.site.clone(), node.tunables.clone());
        install(&node, Scheduler::new(site, tunables, 7, Vec::new(), node.now()));
        let book = node.scheduler.borrow();
        assert_eq!(book.as_ref().map(|s| s.types.len()), Some(1));
    }

    /// A process back within its former lease met its own key and waited for it to run out.
    #[tokio::test(start_paused = true)]
    async fn a_node_back_at_once_ends_its_former_lead_and_no_other() {
        let store = StandIn::default();
        let node = store.node();
        store.put(keys::LEADER, leader_value("kernel-0", "former", 5));
        store.put("other", leader_value("kernel-1", "x", 6));
        let pair = node.state.get(Class::Leadership, keys::LEADER).await.expect("ok").expect("key");
        end_former_lead(&node, &pair).await;
        assert!(!store.keys.borrow().contains_key(keys::LEADER));
        assert!(store.keys.borrow().contains_key("other"));
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

    #[test]
    fn a_watch_that_returned_late_is_opened_at_once() {
        assert_eq!(rest_of_pace(Duration::ZERO), WATCH_PACE);
        assert_eq!(rest_of_pace(WATCH_PACE / 3), WATCH_PACE - WATCH_PACE / 3);
        for late in [WATCH_PACE, WATCH_PACE + Duration::from_nanos(1), Duration::from_secs(9)] {
            assert_eq!(rest_of_pace(late), Duration::ZERO);
        }
    }

    /// The watch's answer with the job in it was lost, and with it every mention of the job.
    #[tokio::test(start_paused = true)]
    async fn a_job_that_no_message_told_of_is_found_and_a_lost_end_too() {
        let store = StandIn::default();
        let node = store.node();
        let spec = serde_json::json!({"spec": {
            "class": "c", "team": "one", "rank": "High", "tasks": 3, "cpus": 1.0, "gpus": 0.0,
            "memory_gb": 1.0, "image": "i", "image_gb": 1.0, "types": null, "zone": null,
            "one_zone": false, "spread": false, "spot": true, "estimate_s": 9.0,
            "checkpoint_s": 0.0, "save_s": 0.0, "deadline_s": null}, "at": 1, "chunk": 50});
        store.put(&keys::todo("req-1"), spec);
        *node.scheduler.borrow_mut() = Some(Scheduler::new(
            node.site.clone(),
            node.tunables.clone(),
            7,
            node.types.borrow().clone(),
            node.now(),
        ));
        reconcile_once(&node, 7).await.expect("read");
        let open = || node.scheduler.borrow().as_ref().map(|s| s.open_jobs()).unwrap_or_default();
        assert_eq!(open(), ["req-1"]);
        store.put(&keys::end("req-1"), serde_json::json!("aborted"));
        reconcile_once(&node, 7).await.expect("read");
        assert!(open().is_empty());
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
