//! One controller node: what it knows, whom it answers and what it tells the others.

mod broadcast;
mod event_log;
mod fleet_role;
mod leader;
mod machine_types;
mod machine_types_role;

use std::cell::{Cell, RefCell};
use std::collections::HashMap;
use std::net::SocketAddrV4;
use std::rc::Rc;
use std::time::{SystemTime, UNIX_EPOCH};

use hdrhistogram::Histogram;
use tokio::net::TcpListener;
use tokio::sync::{mpsc, Notify};
use tokio::time::{Duration, Instant};
use tracing::{debug, info, warn};
use walnutlug_fencing::intent_log::IntentLog;
use walnutlug_fencing::leased_role::Epoch;
use walnutlug_scheduler::leadership::election::{ElectionEvent, Leadership, Role};
use walnutlug_scheduler::leadership::fencing_token::Term;
use walnutlug_scheduler::leadership::watermark::{CancellationLog, Watermark};
use walnutlug_scheduler::model::job_spec::JobEnd;
use walnutlug_scheduler::protocol::cloud::MachineType;
use walnutlug_scheduler::protocol::users::is_job_id;
use walnutlug_scheduler::scheduler::Scheduler;
use walnutlug_scheduler::time::Timestamp;
use walnutlug_scheduler::tunables::Tunables;

use crate::cloud_client::CloudClient;
use crate::heartbeat_delegation::{self, HeartbeatDelegation};
use crate::http::client::Client;
use crate::http::server::{self, Answer, Request};
use crate::key_value_client::KeyValueClient;
use crate::peers::{self, Frame};
use crate::settings::{Settings, Sockets};
use crate::user_api;
use crate::worker_api::{self, WorkerConnection};

/// How long what another node said of itself is worth something.
const PEER_FRESH: Duration = Duration::from_secs(4);

/// How long an address that another node told is worth asking at.
const ADDRESS_FRESH: Duration = Duration::from_secs(20);
/// Seconds in which all machines are told once, one frame a second at least: well within the time for
/// which an address counts as fresh, at any size.
const ADDRESS_TURN: usize = 6;
/// Addresses remembered: many times those of any fleet, at some forty bytes each.
const MAX_ADDRESSES: usize = 50_000;
/// Messages that wait for another node beside its workers' heartbeats: a status, some addresses and the
/// progress of every open job each second. What finds no place is only a hint lost.
const PEER_HINTS: usize = 2_048;

/// Messages that may wait for another node: in a burst the heartbeats on all of a node's connections, or the
/// answers to as many, and the hints.
pub(crate) fn peer_queue(sockets: Sockets) -> usize {
    sockets.inbound as usize + PEER_HINTS
}

/// What another node last said of itself.
struct PeerState {
    heard: Instant,
    store_reachable: bool,
    redirected: u16,
    incarnation: u64,
    count: u64,
}

/// Who leads, as far as a node knows, and under which term.
struct KnownLeader {
    name: String,
    term: Term,
}

/// One controller: what it knows, and the conversations that it takes part in.
pub struct Node {
    pub settings: Settings,
    pub tunables: Rc<Tunables>,
    pub site: Rc<walnutlug_scheduler::tunables::Site>,
    pub key_value: KeyValueClient,
    pub cloud: CloudClient,
    pub client: Rc<Client>,
    pub leadership: RefCell<Leadership>,
    pub scheduler: RefCell<Option<Scheduler>>,
    pub types: RefCell<Vec<MachineType>>,
    pub user_api: user_api::UserApi,
    /// Wakes the leader: something is to be decided.
    pub new_work: Notify,
    pub redirected: Cell<u16>,
    /// Its part in answering the workers' heartbeats.
    pub serving: HeartbeatDelegation,
    pub submit_times: RefCell<Histogram<u64>>,
    wake: Notify,
    step_down_signal: Notify,
    known_leader: RefCell<Option<KnownLeader>>,
    peer_states: RefCell<HashMap<String, PeerState>>,
    peer_queues: Vec<mpsc::Sender<Rc<Vec<u8>>>>,
    election_nonce: String,
    requests: Cell<u64>,
    epoch: Instant,
    ready_once: Cell<bool>,
    told: RefCell<HashMap<String, (u32, u32)>>,
    /// Where machines can be reached, as the leader told lately: for a quick failover.
    addresses: RefCell<HashMap<String, (SocketAddrV4, Instant)>>,
    /// The name up to which machines' addresses were told in this turn.
    addresses_told: RefCell<String>,
    checking_lead: Cell<bool>,
    /// Whether a late status of another node was logged; once is enough.
    stale_told: Cell<bool>,
    /// Until when the leader's lease is certainly held.
    lease_until: Cell<Instant>,
    /// The outside actions of this node's time as the leader, if duties are fenced.
    fleet: RefCell<Option<IntentLog>>,
    /// This node's part in reading and sharing the machine types, if duties are fenced.
    machine_types_role: machine_types_role::MachineTypesRole,
    /// The highest term of which this node knows.
    highest_term: Cell<Option<Epoch>>,
    /// Connections from users and workers.
    open: Rc<Cell<u32>>,
    /// Workers whose connection was closed to leave room for users, since it was told last.
    let_go: Cell<u32>,
    /// Tells this life of the node from its former ones.
    pub incarnation: u64,
    statuses: Cell<u64>,
    /// The cancellations that this node told, and who has heard of them.
    cancellation_log: RefCell<CancellationLog>,
    /// Up to when this node knows every node's.
    watermark: RefCell<Watermark>,
    /// Whether leases were renewed when a worker reported last.
    renews: Cell<bool>,
    /// Ends heard of while the records are read, when there is no registry to tell them to.
    ends_while_loading: RefCell<Vec<(String, JobEnd)>>,
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
            key_value: KeyValueClient::new(
                client.clone(),
                settings.state,
                settings.state_limits,
                settings.state_next,
            ),
            cloud: CloudClient::new(client.clone(), settings.cloud, settings.cloud_rps),
            client,
            leadership: RefCell::default(),
            scheduler: RefCell::new(None),
            types: RefCell::default(),
            user_api: user_api::UserApi::default(),
            new_work: Notify::new(),
            redirected: Cell::new(0),
            serving: HeartbeatDelegation::new(
                &settings.site,
                settings.peers.len(),
                Sockets::share(settings.fd_limit).inbound as usize,
            ),
            submit_times: RefCell::new(histogram),
            wake: Notify::new(),
            step_down_signal: Notify::new(),
            known_leader: RefCell::new(None),
            peer_states: RefCell::default(),
            peer_queues,
            election_nonce: format!("{:016x}", rand::random::<u64>()),
            requests: Cell::new(0),
            epoch: Instant::now(),
            ready_once: Cell::new(false),
            told: RefCell::default(),
            addresses: RefCell::default(),
            addresses_told: RefCell::default(),
            checking_lead: Cell::new(false),
            stale_told: Cell::new(false),
            lease_until: Cell::new(Instant::now()),
            fleet: RefCell::default(),
            machine_types_role: machine_types_role::MachineTypesRole::default(),
            highest_term: Cell::new(None),
            open: Rc::default(),
            let_go: Cell::new(0),
            incarnation: SystemTime::now()
                .duration_since(UNIX_EPOCH)
                .map_or(0, |d| d.as_micros() as u64),
            statuses: Cell::new(0),
            cancellation_log: RefCell::new(CancellationLog::new(&settings.site)),
            watermark: RefCell::new(Watermark::new(settings.peers.iter().map(|p| p.name.clone()))),
            renews: Cell::new(true),
            ends_while_loading: RefCell::default(),
            settings,
        })
    }

    pub fn now(&self) -> Timestamp {
        Timestamp(CLOCK_BASE_US + self.epoch.elapsed().as_micros() as u64)
    }

    pub fn wall_us(&self) -> u64 {
        SystemTime::now().duration_since(UNIX_EPOCH).map_or(0, |d| d.as_micros() as u64)
    }

    /// The node that workers should report to, if it is another one.
    pub fn other_leader(&self) -> Option<String> {
        let leader = self.known_leader.borrow();
        leader.as_ref().map(|leader| leader.name.clone()).filter(|n| *n != self.settings.node_name)
    }

    /// The other node that leads under that very term, as far as this one knows.
    pub fn leader_under(&self, term: Term) -> Option<String> {
        let leader = self.known_leader.borrow();
        let leader = leader.as_ref().filter(|leader| leader.term == term)?;
        (leader.name != self.settings.node_name).then(|| leader.name.clone())
    }

    fn learn_leader(&self, name: &str, term: Term) {
        if name != self.settings.node_name {
            let epoch = Epoch::try_from(term).ok();
            self.highest_term.set(self.highest_term.get().max(epoch));
        }
        let mut leader = self.known_leader.borrow_mut();
        if leader.as_ref().is_none_or(|known| known.term < term) {
            *leader = Some(KnownLeader { name: name.to_owned(), term });
        }
        drop(leader);
        let own = self.leadership.borrow().term();
        if name != self.settings.node_name && own.is_some_and(|own| own < term) {
            self.step_down("another node leads under a newer term");
        }
    }

    /// The leader of that term leads no more. Workers aren't sent to it: it may be dead, and a
    /// connection to it may hang.
    fn forget_leader(&self, term: Term) {
        let mut leader = self.known_leader.borrow_mut();
        if leader.as_ref().is_some_and(|known| known.term <= term) {
            *leader = None;
        }
    }

    pub fn broadcast(&self, frame: &Frame) {
        let bytes = Rc::new(frame.encode());
        for queue in &self.peer_queues {
            let _ = queue.try_send(bytes.clone());
        }
    }

    pub fn send_to_peer(&self, name: &str, frame: &Frame) {
        let at = self.settings.peers.iter().position(|p| p.name == name);
        if let Some(queue) = at.and_then(|i| self.peer_queues.get(i)) {
            let _ = queue.try_send(Rc::new(frame.encode()));
        }
    }

    /// Tells the others how this node stands. To a leader's they answer how far their logs go.
    pub fn broadcast_status(&self) -> bool {
        let role = self.leadership.borrow().role();
        let (term, leading) = match role {
            Role::Leader { term } | Role::Loading { term } => (term, true),
            Role::Follower | Role::Candidate => (Term::NONE, false),
        };
        if leading {
            self.watermark.borrow_mut().ask(self.now(), self.statuses.get());
        }
        self.broadcast(&Frame::Status {
            name: self.settings.node_name.clone(),
            term,
            leading,
            store_reachable: self.key_value.store_reachable(),
            redirected: self.redirected.get(),
            incarnation: self.incarnation,
            count: self.statuses.get(),
        });
        self.statuses.set(self.statuses.get() + 1);
        if self.key_value.limits_lowered() {
            // A node that comes to lead later would find out again, with refused writes.
            self.broadcast(&Frame::LimitsLowered);
        }
        leading
    }

    /// Tells the other nodes which of this one's cancellations they have not acknowledged yet.
    fn send_cancellations(&self) {
        let now = self.now();
        for peer in &self.settings.peers {
            let told = self.cancellation_log.borrow_mut().to_tell(now, &peer.name);
            if let Some((first, jobs)) = told {
                let node = self.settings.node_name.clone();
                self.send_to_peer(
                    &peer.name,
                    &Frame::Cancellations { node, incarnation: self.incarnation, first, jobs },
                );
            }
        }
    }

    /// Logs when leases cease to be renewed, and when they are again.
    pub fn log_lease_renewal(&self, renews: bool) {
        if self.renews.replace(renews) != renews {
            match renews {
                true => info!("leases are renewed again"),
                false => warn!(
                    "leases are not renewed: a node that isn't heard may have confirmed cancellations"
                ),
            }
        }
    }

    /// Up to when every cancellation that any node told is known here.
    pub fn cancellations_known_until(&self) -> Timestamp {
        self.watermark.borrow().until(self.now())
    }

    /// The job has ended, for certain: from the key-value store. Told to the other nodes before any
    /// user hears of it from this one.
    pub fn learn_end(&self, name: &str, end: JobEnd) {
        if end == JobEnd::Cancelled && self.user_api.known_jobs.end(name).is_none() {
            self.cancellation_log.borrow_mut().append(self.now(), name);
            self.send_cancellations();
        }
        self.broadcast(&Frame::Ended { job: name.to_owned(), end });
        self.take_end(name, end);
    }

    /// The job has ended, for certain: from the key-value store, or cancelled by another node's word,
    /// which tells only what is stored.
    fn take_end(&self, name: &str, end: JobEnd) {
        let known = self.user_api.known_jobs.end(name).is_some();
        let open = |s: &Scheduler| {
            s.cluster
                .jobs_by_name
                .get(name)
                .and_then(|ix| s.cluster.job(*ix))
                .is_some_and(|j| !j.is_ended())
        };
        if known && !self.scheduler.borrow().as_ref().is_some_and(open) {
            return;
        }
        self.user_api.known_jobs.learn_end(name, end);
        let mut scheduler = self.scheduler.borrow_mut();
        match scheduler.as_mut() {
            Some(s) => s.job_ended(self.now(), name, end),
            None if self.leadership.borrow().term().is_some() => {
                self.ends_while_loading.borrow_mut().push((name.to_owned(), end));
            }
            None => {}
        }
        drop(scheduler);
        self.new_work.notify_one();
        self.wake_leader();
    }

    pub fn peer_frame(&self, frame: Frame) {
        match frame {
            Frame::Status {
                name,
                term,
                leading,
                store_reachable,
                redirected,
                incarnation,
                count,
            } => {
                if leading {
                    self.learn_leader(&name, term);
                    heartbeat_delegation::ask_new_leader(self, term);
                    let last = self.cancellation_log.borrow().last();
                    let vouch = Frame::CancellationLogEnd {
                        node: self.settings.node_name.clone(),
                        incarnation: self.incarnation,
                        last,
                        asker_incarnation: incarnation,
                        asked: count,
                    };
                    self.send_to_peer(&name, &vouch);
                }
                self.cancellation_log.borrow_mut().heard(&name, incarnation);
                self.send_cancellations();
                let heard = Instant::now();
                let state = PeerState { heard, store_reachable, redirected, incarnation, count };
                let mut states = self.peer_states.borrow_mut();
                // A frame of the node's former life, or one held back, says nothing of now. (Lives
                // are told apart by the time of day, which may wander: one that has long been
                // silent gives way to any other.)
                let stale = states.get(&name).is_some_and(|known| {
                    (known.incarnation, known.count) >= (incarnation, count)
                        && known.heard.elapsed() < PEER_FRESH
                });
                if stale {
                    if !self.stale_told.replace(true) {
                        info!(peer = %name, "a status of the past is passed over");
                    }
                    return;
                }
                self.watermark.borrow_mut().heard(self.now(), &name, incarnation);
                if states.len() < 64 || states.contains_key(&name) {
                    states.insert(name, state);
                }
            }
            Frame::Progress { job, done, running } => {
                let counts = user_api::TaskCounts { done, running };
                self.user_api.known_jobs.record_progress(&job, counts);
            }
            // Told only once it is stored, so a fact: what it cancels is stopped, also while the state
            // service refuses this node.
            Frame::Ended { job, end: JobEnd::Cancelled } if is_job_id(&job) => {
                self.take_end(&job, JobEnd::Cancelled);
            }
            // Only a hint to look: a job is released by what the key-value store tells.
            Frame::Ended { job, .. } => {
                self.user_api.known_jobs.forget_progress(&job);
                self.new_work.notify_one();
            }
            Frame::Cancellations { node, incarnation, first, jobs } => {
                for job in &jobs {
                    self.take_end(job, JobEnd::Cancelled);
                }
                let (now, n) = (self.now(), jobs.len() as u64);
                let up_to = self.watermark.borrow_mut().told(now, &node, incarnation, first, n);
                if let Some(up_to) = up_to {
                    let ack = Frame::CancellationsAck {
                        node: self.settings.node_name.clone(),
                        incarnation: self.incarnation,
                        log_incarnation: incarnation,
                        up_to,
                    };
                    self.send_to_peer(&node, &ack);
                }
            }
            Frame::CancellationsAck { node, incarnation, log_incarnation, up_to } => {
                if log_incarnation == self.incarnation {
                    self.cancellation_log.borrow_mut().acknowledged(&node, incarnation, up_to);
                }
            }
            Frame::CancellationLogEnd { node, incarnation, last, asker_incarnation, asked } => {
                if asker_incarnation == self.incarnation {
                    self.watermark.borrow_mut().vouch(self.now(), &node, incarnation, last, asked);
                }
            }
            Frame::ForwardedHeartbeat(_)
            | Frame::ForwardedResponse(_)
            | Frame::RepeatedHeartbeats { .. }
            | Frame::DelegationRequest(_)
            | Frame::DelegationGranted(_)
            | Frame::Invalidated { .. } => heartbeat_delegation::frame(self, frame),
            Frame::NewJob { .. } => self.new_work.notify_one(),
            Frame::LimitsLowered => self.key_value.learn_limits_lowered(),
            Frame::Machines(list) => {
                let mut known = self.addresses.borrow_mut();
                if known.len() + list.len() > MAX_ADDRESSES {
                    known.retain(|_, (_, heard)| heard.elapsed() < ADDRESS_FRESH);
                }
                let heard = Instant::now();
                for (name, addr) in list {
                    if known.len() < MAX_ADDRESSES || known.contains_key(&name) {
                        known.insert(name, (addr, heard));
                    }
                }
            }
        }
    }

    fn some_peer_reaches_store(&self) -> bool {
        let states = self.peer_states.borrow();
        states.values().any(|p| p.store_reachable && p.heard.elapsed() < PEER_FRESH)
    }

    fn workers_reach_other_nodes(&self) -> bool {
        let states = self.peer_states.borrow();
        states.values().any(|p| p.redirected > 0 && p.heard.elapsed() < PEER_FRESH)
    }

    /// Whether other nodes exist and none of them is heard.
    fn is_isolated(&self) -> bool {
        let states = self.peer_states.borrow();
        !self.settings.peers.is_empty()
            && self.epoch.elapsed() > PEER_FRESH
            && !states.values().any(|p| p.heard.elapsed() < PEER_FRESH)
    }

    /// Ready once the node can decide. In an outage for all it stays ready and says 503 with a
    /// time to come again: users are served sooner so than through the balancer's growing pauses.
    /// Alone refused while others are served, it is of no use to anybody; nor is it cut off from
    /// the key-value store and from all other nodes, which are served for all it knows.
    fn ready(&self) -> bool {
        if self.types.borrow().is_empty() || !self.ready_once.get() {
            return false;
        }
        let unserved = self.key_value.unreachable_for() > Duration::from_millis(1_500);
        !(unserved && (self.some_peer_reaches_store() || self.is_isolated()))
    }

    fn step_down(&self, why: &str) {
        let now = self.now();
        if self.leadership.borrow_mut().step(now, ElectionEvent::Lost) {
            info!("no longer leading: {why}");
            *self.scheduler.borrow_mut() = None;
            *self.fleet.borrow_mut() = None;
            self.key_value.set_leading(false);
            self.step_down_signal.notify_waiters();
        }
    }

    /// Lets the core decide and carries its commands out.
    pub fn wake_leader(&self) {
        self.wake.notify_one();
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
    let client = Rc::new(Client::with_max_connections(sockets.outbound as usize));
    let mut peer_queues = Vec::new();
    for peer in &settings.peers {
        debug!(peer = %peer.name, "peer");
        let (queue, rx) = mpsc::channel(peer_queue(sockets));
        peer_queues.push(queue);
        tokio::task::spawn_local(peers::run_sender(peer.addr, rx));
    }
    let node = Rc::new(Node::new(settings, tunables, client, peer_queues)?);
    node.key_value.set_leading(false);
    tokio::task::spawn_local(peers::listen(node.clone(), internal));
    tokio::task::spawn_local(leader::election(node.clone()));
    tokio::task::spawn_local(machine_types::keep(node.clone()));
    tokio::task::spawn_local(machine_types_role::keep(node.clone()));
    tokio::task::spawn_local(broadcast::run_broadcasts(node.clone()));
    tokio::task::spawn_local(broadcast::log_times(node.clone()));
    tokio::task::spawn_local(heartbeat_delegation::keep(node.clone()));
    let open = node.open.clone();
    let new_handler = move || {
        let (node, connection) = (node.clone(), Rc::new(WorkerConnection::default()));
        move |request| handle(node.clone(), connection.clone(), request)
    };
    server::serve(listener, sockets.inbound, open, new_handler).await;
    Ok(())
}

async fn handle(node: Rc<Node>, connection: Rc<WorkerConnection>, request: Request) -> Answer {
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
                let mut answer = worker_api::heartbeat(&node, &connection, &request.body).await;
                // Workers find their way back with the next heartbeat; a user may not find a socket.
                if node.open.get() > Sockets::share(node.settings.fd_limit).workers_kept {
                    answer.close = true;
                    node.let_go.set(node.let_go.get() + 1);
                }
                // Silent for longer than its lease, a worker has begun anew on another connection.
                answer.idle = Some(Duration::from_micros(node.site.worker_lease.0));
                answer
            }
            _ => Answer::error(405, "use POST"),
        },
        "/submissions" => match method {
            "POST" => user_api::submit(node, request.body).await,
            _ => Answer::error(405, "use POST"),
        },
        _ => {
            let Some(rest) = path.strip_prefix("/submissions/") else {
                return Answer::error(404, "no such path");
            };
            match rest.split_once('/') {
                None => match method {
                    "GET" => user_api::poll(node, rest).await,
                    _ => Answer::error(405, "use GET"),
                },
                Some((name, "withdraw")) => match method {
                    "POST" => user_api::cancel(node, name).await,
                    _ => Answer::error(405, "use POST"),
                },
                Some(_) => Answer::error(404, "no such path"),
            }
        }
    }
}

#[cfg(test)]
mod golden_tests;
#[cfg(test)]
pub mod tests;
