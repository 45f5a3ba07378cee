//! One controller node: the state shared by its components and its place in the cluster.

mod broadcast;
mod cancellations;
mod clock;
mod cluster_view;
mod election;
mod event_log;
mod fleet_role;
mod heartbeats;
mod leader;
mod load;
mod machine_types;
mod machine_types_role;
mod peer_messages;
mod readiness;
mod routes;
mod startup;
mod step_down;

pub(crate) use startup::run;

use std::cell::RefCell;
use std::rc::Rc;
use walnutlug_scheduler::leadership::fencing_token::Term;

use tokio::sync::Notify;
use tracing::info;
use walnutlug_scheduler::leadership::election::{ElectionEvent, Leadership, Role};
use walnutlug_scheduler::model::job_spec::JobEnd;
use walnutlug_scheduler::protocol::cloud::MachineType;
use walnutlug_scheduler::scheduler::Scheduler;
use walnutlug_scheduler::time::Timestamp;
use walnutlug_scheduler::tunables::{Site, Tunables};

use crate::cloud_client::CloudClient;
use crate::heartbeat_delegation::HeartbeatDelegation;
use crate::http::client::Client;
use crate::key_value_client::KeyValueClient;
use crate::peers::{Frame, PeerSenders};
use crate::settings::{Settings, SocketBudget};
use crate::user_api::UserApi;

use broadcast::BroadcastState;
use cancellations::CancellationState;
use clock::Clock;
use cluster_view::ClusterView;
use fleet_role::FleetRole;
use leader::LeaderState;
use load::Load;
use machine_types_role::MachineTypesRole;
use readiness::Readiness;
use step_down::StepDownCause;

/// One controller node. Each component owns its state and changes it only through its own methods.
/// All components run on one thread, and none holds a `RefCell` borrow while it waits.
pub(crate) struct Node {
    pub(crate) settings: Settings,
    pub(crate) tunables: Rc<Tunables>,
    pub(crate) site: Rc<Site>,
    pub(crate) key_value: KeyValueClient,
    pub(crate) cloud: CloudClient,
    pub(crate) client: Rc<Client>,
    pub(crate) leadership: RefCell<Leadership>,
    /// Present only while the node leads and has loaded the stored records.
    pub(crate) scheduler: RefCell<Option<Scheduler>>,
    /// The usable machine types as last read from the key-value store or the cloud; empty until the
    /// first read.
    pub(crate) machine_types: RefCell<Vec<MachineType>>,
    pub(crate) user_api: UserApi,
    /// State for answering workers' heartbeats, both as a follower and as the leader.
    pub(crate) delegation: HeartbeatDelegation,
    /// Wakes the leader's watches early, when a message from another node or a local request
    /// suggests that there are new records to read.
    pub(crate) watch_wakeup: Notify,
    identity: Identity,
    clock: Clock,
    peers: PeerSenders,
    cluster_view: ClusterView,
    cancellations: CancellationState,
    broadcasts: BroadcastState,
    load: Load,
    readiness: Readiness,
    leader: LeaderState,
    fleet_role: FleetRole,
    machine_types_role: MachineTypesRole,
}

/// Distinguishes this process from other nodes and from earlier processes of the same node.
struct Identity {
    /// Random nonce stored in the leader key and the role holder record, by which this process
    /// recognizes its own entries.
    election_nonce: String,
    /// Wall-clock time at process start, in microseconds since 1970. Sent in peer frames to tell
    /// restarted processes apart.
    incarnation: u64,
}

impl Identity {
    fn new() -> Identity {
        Identity {
            election_nonce: format!("{:016x}", rand::random::<u64>()),
            incarnation: clock::wall_clock_us(),
        }
    }
}

impl Node {
    /// Creates a node that knows no leader and has received no messages yet.
    ///
    /// # Errors
    /// Returns an error if the submission latency histogram cannot be created.
    pub(crate) fn new(
        settings: Settings,
        tunables: Tunables,
        client: Rc<Client>,
        peers: PeerSenders,
    ) -> std::io::Result<Node> {
        let identity = Identity::new();
        let (state, limits, next) = (settings.state, settings.state_limits, settings.state_next);
        let delegation = HeartbeatDelegation::new(
            &settings.site,
            settings.peers.len(),
            SocketBudget::for_limit(settings.fd_limit).inbound as usize,
        );
        let cancellations = CancellationState::new(
            &settings.node_name,
            identity.incarnation,
            &settings.site,
            settings.peers.iter().map(|peer| peer.name.clone()),
        );
        Ok(Node {
            tunables: Rc::new(tunables),
            site: Rc::new(settings.site.clone()),
            key_value: KeyValueClient::new(client.clone(), state, limits, next),
            cloud: CloudClient::new(client.clone(), settings.cloud, settings.cloud_rps),
            client,
            leadership: RefCell::default(),
            scheduler: RefCell::default(),
            machine_types: RefCell::default(),
            user_api: UserApi::new(settings.job_memory_bytes, settings.peers.len() + 1),
            delegation,
            watch_wakeup: Notify::new(),
            identity,
            clock: Clock::start(),
            peers,
            cluster_view: ClusterView::new(&settings.node_name, !settings.peers.is_empty()),
            cancellations,
            broadcasts: BroadcastState::default(),
            load: Load::new().map_err(std::io::Error::other)?,
            readiness: Readiness::default(),
            leader: LeaderState::new(),
            fleet_role: FleetRole::default(),
            machine_types_role: MachineTypesRole::default(),
            settings,
        })
    }

    /// Returns the time of the node's monotonic clock, by which leases and timeouts are measured.
    pub(crate) fn now(&self) -> Timestamp {
        self.clock.now()
    }

    /// Returns the wall-clock time in microseconds since 1970.
    pub(crate) fn wall_clock_us(&self) -> u64 {
        clock::wall_clock_us()
    }

    /// Returns the name of the node to which workers should send heartbeats, if it is another node.
    pub(crate) fn other_leader(&self) -> Option<String> {
        self.cluster_view.other_leader()
    }

    /// Returns the name of the other node known to lead in exactly this term.
    pub(crate) fn other_leader_in_term(&self, term: Term) -> Option<String> {
        self.cluster_view.other_leader_in_term(term)
    }

    /// Queues the frame for every peer.
    pub(crate) fn broadcast(&self, frame: &Frame) {
        self.peers.broadcast(frame);
    }

    /// Queues the frame for the peer with this name.
    pub(crate) fn send_to_peer(&self, name: &str, frame: &Frame) {
        self.peers.send(name, frame);
    }

    /// Counts a heartbeat that was answered with a redirect; peers learn the count from this node's
    /// status.
    pub(crate) fn count_redirect(&self) {
        self.load.count_redirect();
    }

    /// Records the latency of an answered submission, in milliseconds.
    pub(crate) fn record_submission(&self, ms: u64) {
        self.load.record_submission(ms);
    }

    /// Logs when worker leases stop being renewed and when renewal resumes.
    pub(crate) fn log_lease_renewal(&self, renewed: bool) {
        self.cancellations.log_lease_renewal(renewed);
    }

    /// Returns the time before which every cancellation confirmed by any node is known here.
    pub(crate) fn cancellations_known_until(&self) -> Timestamp {
        self.cancellations.known_until(self.now())
    }

    /// Records a job end that the key-value store has confirmed. Peers are notified before this
    /// node reports the end to any user.
    pub(crate) fn record_job_end(&self, job: &str, end: JobEnd) {
        if end == JobEnd::Cancelled && self.user_api.known_jobs.end(job).is_none() {
            self.cancellations.append(self.now(), job);
            self.send_cancellations();
        }
        self.broadcast(&Frame::Ended { job: job.to_owned(), end });
        self.apply_job_end(job, end);
    }

    /// Applies a certain job end: either read from the key-value store or sent by the node that
    /// cancelled the job, which sends only stored ends.
    fn apply_job_end(&self, job: &str, end: JobEnd) {
        let known = self.user_api.known_jobs.end(job).is_some();
        if known && !self.is_open_in_scheduler(job) {
            return;
        }
        self.user_api.known_jobs.record_end(job, end);
        match self.scheduler.borrow_mut().as_mut() {
            Some(scheduler) => scheduler.job_ended(self.now(), job, end),
            None if self.leadership.borrow().term().is_some() => {
                self.cancellations.buffer_end_while_loading(job, end);
            }
            None => {}
        }
        self.watch_wakeup.notify_one();
        self.wake_leader();
    }

    fn is_open_in_scheduler(&self, job: &str) -> bool {
        let scheduler = self.scheduler.borrow();
        let Some(scheduler) = scheduler.as_ref() else { return false };
        let index = scheduler.cluster.jobs_by_name.get(job);
        let job = index.and_then(|index| scheduler.cluster.job(*index));
        job.is_some_and(|job| !job.is_ended())
    }

    /// Sends each peer the entries of this node's cancellation log that the peer has not
    /// acknowledged.
    fn send_cancellations(&self) {
        let now = self.now();
        for peer in &self.settings.peers {
            if let Some(entries) = self.cancellations.entries_to_send(now, &peer.name) {
                self.send_to_peer(&peer.name, &Frame::Cancellations(entries));
            }
        }
    }

    /// Records which node leads in the term. Steps down if this node leads in an older term.
    fn record_leader(&self, name: &str, term: Term) {
        self.cluster_view.record_leader(name, term);
        let own = self.leadership.borrow().term();
        if name != self.settings.node_name && own.is_some_and(|own| own < term) {
            self.step_down(StepDownCause::NewerTerm);
        }
    }

    /// Returns whether this node leads in the term and has loaded the records.
    fn leads_in_term(&self, term: Term) -> bool {
        self.leadership.borrow().role() == Role::Leader { term }
    }

    /// Ends this node's term as the leader and drops the leader's state. Does nothing if it does
    /// not lead.
    fn step_down(&self, cause: StepDownCause) {
        let now = self.now();
        if self.leadership.borrow_mut().step(now, ElectionEvent::Lost) {
            info!(reason = %cause, "no longer leading");
            self.scheduler.take();
            self.fleet_role.end_term();
            self.key_value.set_leading(false);
            self.leader.signal_step_down();
        }
    }

    /// Wakes the leader loop, which runs the scheduler and executes its commands.
    pub(crate) fn wake_leader(&self) {
        self.leader.wake();
    }
}

#[cfg(test)]
mod golden_tests;
#[cfg(test)]
pub(crate) mod tests;
