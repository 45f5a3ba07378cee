//! One controller node: the state that its parts share, and its place in the cluster.

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
use crate::settings::{Settings, Sockets};
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

/// One controller node. Each part owns its state and changes it by its own methods; the parts run on one thread, and
/// no borrow is held while one of them waits.
pub(crate) struct Node {
    pub(crate) settings: Settings,
    pub(crate) tunables: Rc<Tunables>,
    pub(crate) site: Rc<Site>,
    pub(crate) key_value: KeyValueClient,
    pub(crate) cloud: CloudClient,
    pub(crate) client: Rc<Client>,
    pub(crate) leadership: RefCell<Leadership>,
    /// Present while the node leads and has read the records.
    pub(crate) scheduler: RefCell<Option<Scheduler>>,
    /// The machine types as last read; none at first.
    pub(crate) machine_types: RefCell<Vec<MachineType>>,
    pub(crate) user_api: UserApi,
    /// Its part in answering the workers' heartbeats.
    pub(crate) delegation: HeartbeatDelegation,
    /// Wakes the leader's watches: there is something new to read.
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

/// What distinguishes this process from others, also from former ones of the same node.
struct Identity {
    /// Written into the keys that the node holds.
    election_nonce: String,
    /// The time of day at the start, in microseconds: sent in frames.
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
    /// A node that has done nothing yet.
    ///
    /// # Errors
    /// If the histogram of the submissions' times can't be made.
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
            Sockets::share(settings.fd_limit).inbound as usize,
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
            user_api: UserApi::default(),
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

    /// The monotonic time.
    pub(crate) fn now(&self) -> Timestamp {
        self.clock.now()
    }

    /// The time of day in microseconds since 1970.
    pub(crate) fn wall_clock_us(&self) -> u64 {
        clock::wall_clock_us()
    }

    /// The node to which workers should report, if it is another one.
    pub(crate) fn other_leader(&self) -> Option<String> {
        self.cluster_view.other_leader()
    }

    /// The other node that leads under exactly that term, as far as this one knows.
    pub(crate) fn other_leader_in_term(&self, term: Term) -> Option<String> {
        self.cluster_view.other_leader_in_term(term)
    }

    /// Sends the frame to all other nodes.
    pub(crate) fn broadcast(&self, frame: &Frame) {
        self.peers.broadcast(frame);
    }

    /// Sends the frame to the other node of that name.
    pub(crate) fn send_to_peer(&self, name: &str, frame: &Frame) {
        self.peers.send(name, frame);
    }

    /// A heartbeat was answered with a redirect.
    pub(crate) fn count_redirect(&self) {
        self.load.count_redirect();
    }

    /// A submission was answered after that many milliseconds.
    pub(crate) fn record_submission(&self, ms: u64) {
        self.load.record_submission(ms);
    }

    /// Logs when worker leases cease to be renewed, and when they are again.
    pub(crate) fn log_lease_renewal(&self, renewed: bool) {
        self.cancellations.log_lease_renewal(renewed);
    }

    /// Up to when every cancellation that any node confirmed is known here.
    pub(crate) fn cancellations_known_until(&self) -> Timestamp {
        self.cancellations.known_until(self.now())
    }

    /// The job has ended, for certain: the key-value store says so. The other nodes are told before any user
    /// learns it from this one.
    pub(crate) fn record_job_end(&self, job: &str, end: JobEnd) {
        if end == JobEnd::Cancelled && self.user_api.known_jobs.end(job).is_none() {
            self.cancellations.append(self.now(), job);
            self.send_cancellations();
        }
        self.broadcast(&Frame::Ended { job: job.to_owned(), end });
        self.apply_job_end(job, end);
    }

    /// The job has ended, for certain: the key-value store says so, or another node that cancelled it, which sends
    /// only what is stored.
    fn apply_job_end(&self, job: &str, end: JobEnd) {
        let known = self.user_api.known_jobs.end(job).is_some();
        if known && !self.is_open_in_scheduler(job) {
            return;
        }
        self.user_api.known_jobs.learn_end(job, end);
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

    /// Sends the other nodes those of this one's cancellations that they have not acknowledged yet.
    fn send_cancellations(&self) {
        let now = self.now();
        for peer in &self.settings.peers {
            if let Some(entries) = self.cancellations.entries_to_send(now, &peer.name) {
                self.send_to_peer(&peer.name, &Frame::Cancellations(entries));
            }
        }
    }

    /// Records that the node leads under the term. If the term is newer than the own, this node leads no more.
    fn record_leader(&self, name: &str, term: Term) {
        self.cluster_view.record_leader(name, term);
        let own = self.leadership.borrow().term();
        if name != self.settings.node_name && own.is_some_and(|own| own < term) {
            self.step_down(StepDownCause::NewerTerm);
        }
    }

    /// Whether this node leads under the term, and has read the records.
    fn leads_in_term(&self, term: Term) -> bool {
        self.leadership.borrow().role() == Role::Leader { term }
    }

    /// Ends the node's term as the leader, if it leads.
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

    /// Lets the scheduler decide and carries its commands out.
    pub(crate) fn wake_leader(&self) {
        self.leader.wake();
    }
}

#[cfg(test)]
mod golden_tests;
#[cfg(test)]
pub(crate) mod tests;
