//! Tests of cancellations that coincide with a refusal by the key-value store, a network partition,
//! an outage or the stop of a node. They script interleavings of one leader and two other nodes,
//! using the same cancellation logs and watermarks as the nodes.

mod world;

use walnutlug_scheduler::leadership::cancellation_log::{
    CancellationLog, Incarnation, LogEntries, LogIndex,
};
use walnutlug_scheduler::leadership::watermark::{
    lease_renewal_window, request_interval, RequestId, Watermark,
};
use walnutlug_scheduler::model::ids::AgentEpoch;
use walnutlug_scheduler::model::job_spec::JobEnd;
use walnutlug_scheduler::reconciliation::heartbeats::HeartbeatAnswer;
use walnutlug_scheduler::storage::keys;
use walnutlug_scheduler::time::{TimeDelta, Timestamp};
use walnutlug_scheduler::tunables::Site;
use world::{spec, World};

const JOB: &str = "req-000001";
const STEP_MS: u64 = 100;
/// Duration of an interval on a slow worker's clock, relative to the simulation's time.
const WORKER_CLOCK_SLOWDOWN: f64 = 1.0005;

/// What happens to the messages to the leader from the node that confirms the cancellation.
#[derive(Debug, Clone, Copy, PartialEq)]
enum Fault {
    Healthy,
    /// Messages are lost for this many milliseconds from the confirmation on.
    LostFor(u64),
    /// Each message is delivered this many milliseconds late, and a second time after the same
    /// delay again.
    DelayedBy(u64),
    /// The node stops right after it confirms the cancellation to the user, before it sends any
    /// message, and restarts this many milliseconds later.
    RestartsAfter(u64),
    /// The node stops right after it confirms the cancellation, and does not return.
    Stops,
    /// The leader is partitioned from the other nodes from the start, in both directions and
    /// permanently.
    Partitioned,
}

#[derive(Debug, Clone, Copy)]
struct Scenario {
    name: &'static str,
    fault: Fault,
    /// Time in milliseconds at which the key-value store becomes unavailable to all nodes. It
    /// refuses the leader's requests from the start.
    outage_at_ms: u64,
    confirmed_at_ms: u64,
}

struct Peer {
    name: &'static str,
    incarnation: Incarnation,
    up: bool,
    log: CancellationLog,
}

struct Simulation {
    w: World,
    watermark: Watermark,
    last_request_id: u64,
    peers: Vec<Peer>,
    /// Messages on their way to the leader, each with the time of its delivery.
    messages_in_flight: Vec<(Timestamp, PeerMessage)>,
    lease_renewed_at: Timestamp,
}

#[derive(Debug, Clone)]
enum PeerMessage {
    Entries { node: usize, incarnation: Incarnation, entries: LogEntries },
    LogEnd { node: usize, incarnation: Incarnation, last: LogIndex, request: RequestId },
}

fn site(lease: u64, cancel: u64) -> Site {
    Site {
        worker_lease: TimeDelta::from_millis(lease),
        cancel_within: TimeDelta::from_millis(cancel),
        ..world::site()
    }
}

fn new_peer(name: &'static str, incarnation: Incarnation, site: &Site) -> Peer {
    let mut log = CancellationLog::new(site);
    log.peer_seen("leader", Incarnation(1));
    Peer { name, incarnation, up: true, log }
}

impl Simulation {
    /// Creates a leader that could use the key-value store until now, with one running task.
    fn new(site: &Site) -> Simulation {
        let mut w = World::with_site(site.clone(), &[("n-1", "a")]);
        w.submit(JOB, &spec(1));
        w.settle();
        w.heartbeat("n-1");
        w.cut_off = true;
        let mut watermark = Watermark::new(["p".to_owned(), "q".to_owned()]);
        // Both incarnations are known before the records are read.
        for node in ["p", "q"] {
            watermark.request_answered(w.now, node, Incarnation(7), LogIndex(0), RequestId(0));
        }
        watermark.records_read(w.now);
        let lease_renewed_at = w.now;
        let peers = vec![new_peer("p", Incarnation(7), site), new_peer("q", Incarnation(7), site)];
        Simulation {
            w,
            watermark,
            last_request_id: 0,
            peers,
            messages_in_flight: Vec::new(),
            lease_renewed_at,
        }
    }

    fn task_is_running(&self) -> bool {
        !self.w.places_of(&format!("{JOB}/0")).is_empty()
    }

    fn deliver(&mut self, message: PeerMessage) {
        let now = self.w.now;
        match message {
            PeerMessage::Entries { node, incarnation, entries: LogEntries { first, jobs } } => {
                for job in &jobs {
                    self.w.leader.job_ended(now, job, JobEnd::Cancelled);
                }
                let name = self.peers[node].name;
                let up_to =
                    self.watermark.entries_received(now, name, incarnation, first, jobs.len());
                if let Some(up_to) = up_to.filter(|_| self.peers[node].incarnation == incarnation) {
                    self.peers[node].log.acknowledged("leader", Incarnation(1), up_to);
                }
            }
            PeerMessage::LogEnd { node, incarnation, last, request } => {
                let name = self.peers[node].name;
                self.watermark.request_answered(now, name, incarnation, last, request);
            }
        }
    }

    /// Runs the simulation until `until_ms` after `began`.
    fn run_until(&mut self, began: Timestamp, until_ms: u64, scenario: &Scenario) {
        let request_interval_ms = request_interval(&self.w.leader.site).0.div_ceil(1_000).max(1);
        let mut since_request_ms = 0;
        while self.w.now.since(began) < TimeDelta::from_millis(until_ms) {
            self.w.wait(STEP_MS);
            let now = self.w.now;
            let elapsed_ms = now.since(began).0 / 1_000;
            let confirmed = began + TimeDelta::from_millis(scenario.confirmed_at_ms);
            if elapsed_ms >= scenario.confirmed_at_ms
                && elapsed_ms < scenario.confirmed_at_ms + STEP_MS
            {
                // The end is stored and logged, then confirmed to the user, and only then may the
                // node stop.
                self.w.store.put(&keys::end(JOB), serde_json::json!("aborted"));
                self.peers[0].log.append(now, JOB);
                if matches!(scenario.fault, Fault::Stops | Fault::RestartsAfter(_)) {
                    self.peers[0].up = false;
                }
            }
            if let Fault::RestartsAfter(after) = scenario.fault {
                if !self.peers[0].up && now.since(confirmed) >= TimeDelta::from_millis(after) {
                    self.peers[0] = new_peer("p", Incarnation(8), &self.w.leader.site);
                }
            }
            since_request_ms += STEP_MS;
            if since_request_ms >= request_interval_ms {
                since_request_ms = 0;
                self.last_request_id += 1;
                self.watermark.request_sent(now, RequestId(self.last_request_id));
                self.exchange_with_peers(now, confirmed, scenario);
            }
            let (due, rest): (Vec<_>, Vec<_>) =
                self.messages_in_flight.drain(..).partition(|(at, _)| *at <= now);
            self.messages_in_flight = rest;
            for (_, message) in due {
                self.deliver(message);
            }
            self.step_worker(now, elapsed_ms);
        }
    }

    /// The other nodes answer the leader's request and send it the log entries that it lacks.
    fn exchange_with_peers(&mut self, now: Timestamp, confirmed: Timestamp, scenario: &Scenario) {
        for node in 0..self.peers.len() {
            let lossy = node == 0 && now >= confirmed;
            let lost = match scenario.fault {
                Fault::Partitioned => true,
                Fault::LostFor(ms) => lossy && now.since(confirmed) < TimeDelta::from_millis(ms),
                _ => false,
            };
            let peer = &mut self.peers[node];
            if lost || !peer.up {
                // The log counts the entries as sent, so they are lost and must be resent.
                let _ = peer.log.entries_to_send(now, "leader");
                continue;
            }
            let mut sent = vec![PeerMessage::LogEnd {
                node,
                incarnation: peer.incarnation,
                last: peer.log.last(),
                request: RequestId(self.last_request_id),
            }];
            if let Some(entries) = peer.log.entries_to_send(now, "leader") {
                sent.push(PeerMessage::Entries { node, incarnation: peer.incarnation, entries });
            }
            for message in sent {
                match scenario.fault {
                    Fault::DelayedBy(ms) if lossy => {
                        let late = now + TimeDelta::from_millis(ms);
                        self.messages_in_flight.push((late, message.clone()));
                        self.messages_in_flight.push((late + TimeDelta::from_millis(ms), message));
                    }
                    _ => self.messages_in_flight.push((now, message)),
                }
            }
        }
    }

    /// The worker sends a heartbeat every three seconds, and stops its tasks when its lease
    /// expires.
    fn step_worker(&mut self, now: Timestamp, elapsed_ms: u64) {
        self.w.leader.authority.set_cancellations_known_until(self.watermark.known_until(now));
        let lease = self.w.leader.site.worker_lease.mul_f64(WORKER_CLOCK_SLOWDOWN);
        if now.since(self.lease_renewed_at) > lease {
            self.w.workers.get_mut("n-1").expect("worker").expire_lease();
            self.lease_renewed_at = now;
        }
        if elapsed_ms.is_multiple_of(3_000) {
            let worker = self.w.workers.get_mut("n-1").expect("worker");
            let heartbeat = worker.heartbeat();
            if let Ok(HeartbeatAnswer { token, commands: calls }) =
                self.w.leader.handle_heartbeat(now, &heartbeat)
            {
                let worker = self.w.workers.get_mut("n-1").expect("worker");
                worker.receive_heartbeat_response(heartbeat.agent_epoch, token, &calls);
                self.lease_renewed_at = now;
            }
        }
    }
}

const SCENARIOS: [Scenario; 9] = [
    Scenario {
        name: "messages arrive",
        fault: Fault::Healthy,
        outage_at_ms: 2_000,
        confirmed_at_ms: 1_000,
    },
    Scenario {
        name: "confirmed while the leader is refused, outage right after",
        fault: Fault::LostFor(700),
        outage_at_ms: 200,
        confirmed_at_ms: 100,
    },
    Scenario {
        name: "messages lost for a minute",
        fault: Fault::LostFor(60_000),
        outage_at_ms: 5_000,
        confirmed_at_ms: 4_000,
    },
    Scenario {
        name: "messages delayed and duplicated",
        fault: Fault::DelayedBy(9_000),
        outage_at_ms: 2_000,
        confirmed_at_ms: 1_500,
    },
    Scenario {
        name: "messages delayed beyond the lease",
        fault: Fault::DelayedBy(31_000),
        outage_at_ms: 2_000,
        confirmed_at_ms: 1_500,
    },
    Scenario {
        name: "node stops right after confirming",
        fault: Fault::Stops,
        outage_at_ms: 2_000,
        confirmed_at_ms: 1_000,
    },
    Scenario {
        name: "node stops after confirming and restarts at once",
        fault: Fault::RestartsAfter(200),
        outage_at_ms: 2_000,
        confirmed_at_ms: 1_000,
    },
    Scenario {
        name: "node stops after confirming and restarts later",
        fault: Fault::RestartsAfter(9_000),
        outage_at_ms: 2_000,
        confirmed_at_ms: 1_000,
    },
    Scenario {
        name: "leader partitioned from store and peers, confirmed later",
        fault: Fault::Partitioned,
        outage_at_ms: 0,
        confirmed_at_ms: 12_000,
    },
];

/// The key-value store first refuses only the leader and then fails for all nodes for longer than
/// `cancel_s`, while the worker keeps sending heartbeats. A cancellation confirmed by another node
/// around that time can reach the leader only through that node's messages.
#[test]
fn cancellation_confirmed_by_another_node_takes_effect_in_time_despite_peer_faults() {
    for (lease, cancel) in [(24_000, 44_000), (31_000, 51_000), (20_000, 24_000), (20_000, 20_700)]
    {
        for scenario in SCENARIOS {
            let site = site(lease, cancel);
            let mut simulation = Simulation::new(&site);
            let began = simulation.w.now;
            simulation.run_until(began, scenario.confirmed_at_ms + 200, &scenario);
            let context = format!("{} (lease {lease}, cancel {cancel})", scenario.name);
            assert!(simulation.w.end(JOB).is_some(), "{context}: the job has no end");
            // The leader reads nothing from the store during the run, so all that it knows comes
            // from the other nodes.
            assert!(
                scenario.confirmed_at_ms.abs_diff(scenario.outage_at_ms) <= 12_000,
                "{context}: outage and confirmation are too far apart"
            );
            simulation.run_until(began, scenario.confirmed_at_ms + cancel, &scenario);
            assert!(!simulation.task_is_running(), "{context}: the task still runs after cancel_s");
            simulation.run_until(began, scenario.confirmed_at_ms + 3 * cancel, &scenario);
            assert!(!simulation.task_is_running(), "{context}: the task was started again");
        }
    }
}

/// During an outage of the key-value store that affects all nodes, with every peer reachable and
/// nothing cancelled, leases must be renewed until it ends.
#[test]
fn outage_of_the_key_value_store_alone_stops_no_running_task() {
    let no_cancellation = Scenario {
        name: "no cancellation",
        fault: Fault::Healthy,
        outage_at_ms: 0,
        confirmed_at_ms: u64::MAX / 2,
    };
    for (lease, cancel) in [(24_000, 44_000), (16_000, 36_000), (20_000, 24_000), (20_000, 20_700)]
    {
        let mut simulation = Simulation::new(&site(lease, cancel));
        let began = simulation.w.now;
        simulation.run_until(began, 5 * cancel, &no_cancellation);
        assert!(simulation.task_is_running(), "lease {lease}, cancel {cancel}");
        assert_eq!(
            simulation.w.workers["n-1"].agent_epoch,
            AgentEpoch(1),
            "lease {lease}, cancel {cancel}"
        );
    }
}

/// If a peer can't be reached, running tasks lose their leases, but only once the lease renewal
/// window has passed.
#[test]
fn unreachable_peers_stop_lease_renewal_only_after_the_window() {
    let site = site(24_000, 44_000);
    let partitioned = Scenario {
        name: "partitioned",
        fault: Fault::Partitioned,
        outage_at_ms: 0,
        confirmed_at_ms: u64::MAX / 2,
    };
    let mut simulation = Simulation::new(&site);
    let began = simulation.w.now;
    simulation.run_until(began, lease_renewal_window(&site).0 / 1_000 - 2 * STEP_MS, &partitioned);
    assert!(simulation.w.leader.authority.may_renew_leases(simulation.w.now));
    // The last heartbeat within the window was sent at 18 s.
    simulation.run_until(began, 18_000 + 24_000 - STEP_MS, &partitioned);
    assert!(simulation.task_is_running());
    simulation.run_until(began, 18_000 + 24_000 + 3 * STEP_MS, &partitioned);
    assert!(!simulation.task_is_running());
    // Once the records are read again, leases may be renewed as before.
    simulation.watermark.records_read(simulation.w.now);
    simulation.w.leader.authority.set_cancellations_known_until(simulation.w.now);
    assert!(simulation.w.leader.authority.may_renew_leases(simulation.w.now));
}

#[test]
fn log_is_resent_until_the_current_incarnation_of_the_peer_acknowledges_it() {
    let site = site(24_000, 44_000);
    let mut log = CancellationLog::new(&site);
    let now = Timestamp(1 << 40);
    let at = |ms: u64| now + TimeDelta::from_millis(ms);
    log.append(now, "req-1");
    assert_eq!(log.entries_to_send(now, "q"), None, "entries for a peer that was never seen");
    log.peer_seen("q", Incarnation(3));
    let entries = |first: u64, jobs: &[&str]| {
        let jobs = jobs.iter().map(|j| (*j).to_owned()).collect();
        Some(LogEntries { first: LogIndex(first), jobs })
    };
    assert_eq!(log.entries_to_send(now, "q"), entries(1, &["req-1"]));
    assert_eq!(
        log.entries_to_send(at(10), "q"),
        None,
        "resent before the acknowledgement is overdue"
    );
    log.append(at(20), "req-2");
    assert_eq!(
        log.entries_to_send(at(20), "q"),
        entries(2, &["req-2"]),
        "new entries are sent at once"
    );
    assert_eq!(
        log.entries_to_send(at(1_100), "q"),
        entries(1, &["req-1", "req-2"]),
        "all unacknowledged entries are resent"
    );
    log.acknowledged("q", Incarnation(2), LogIndex(2));
    assert!(
        log.entries_to_send(at(2_200), "q").is_some(),
        "acknowledgement of a previous incarnation was accepted"
    );
    log.acknowledged("q", Incarnation(3), LogIndex(2));
    assert_eq!(log.entries_to_send(at(3_300), "q"), None);
    log.peer_seen("q", Incarnation(4));
    assert_eq!(
        log.entries_to_send(at(3_300), "q"),
        entries(1, &["req-1", "req-2"]),
        "a new incarnation has no entries"
    );
    log.append(at(80_000), "req-3");
    log.peer_seen("q", Incarnation(5));
    assert_eq!(
        log.entries_to_send(at(80_000), "q"),
        entries(3, &["req-3"]),
        "expired entries are not sent"
    );
}

/// Each step is a sequence of events after which an answer must not advance the watermark, followed
/// by the event that makes it count.
#[test]
fn answer_advances_the_watermark_only_if_no_entry_is_missing() {
    let now = Timestamp(1 << 40);
    let at = |ms: u64| now + TimeDelta::from_millis(ms);
    let mut w = Watermark::new(["p".to_owned()]);
    w.request_sent(at(10), RequestId(1));
    w.request_answered(at(11), "p", Incarnation(7), LogIndex(0), RequestId(1));
    assert_eq!(
        w.known_until(at(11)),
        Timestamp(0),
        "confirmations of the previous incarnation are unknown"
    );
    w.records_read(at(12));
    w.request_sent(at(20), RequestId(2));
    w.request_answered(at(21), "p", Incarnation(7), LogIndex(1), RequestId(2));
    assert_eq!(w.known_until(at(21)), at(12), "entry 1 has not arrived");
    assert_eq!(w.entries_received(at(22), "p", Incarnation(7), LogIndex(1), 1), Some(LogIndex(1)));
    w.request_answered(at(23), "p", Incarnation(7), LogIndex(1), RequestId(2));
    assert_eq!(w.known_until(at(23)), at(20), "known until the request was sent, not answered");
    w.request_answered(at(24), "p", Incarnation(7), LogIndex(1), RequestId(99));
    assert_eq!(w.known_until(at(24)), at(20), "no such request was sent");
    // The peer dropped an entry before it was sent.
    w.request_sent(at(30), RequestId(3));
    assert_eq!(w.entries_received(at(31), "p", Incarnation(7), LogIndex(3), 1), Some(LogIndex(3)));
    w.request_answered(at(32), "p", Incarnation(7), LogIndex(3), RequestId(3));
    assert_eq!(w.known_until(at(32)), at(20), "entry 2 is missing");
    w.records_read(at(30));
    w.request_answered(at(33), "p", Incarnation(7), LogIndex(3), RequestId(3));
    assert_eq!(w.known_until(at(33)), at(30), "the records were read before the gap was detected");
    w.records_read(at(40));
    w.request_sent(at(50), RequestId(4));
    w.request_answered(at(51), "p", Incarnation(7), LogIndex(3), RequestId(4));
    assert_eq!(w.known_until(at(51)), at(50));
    // A new incarnation answers, and then a delayed message of the old one arrives.
    w.request_sent(at(60), RequestId(5));
    w.request_answered(at(61), "p", Incarnation(8), LogIndex(0), RequestId(5));
    assert_eq!(w.known_until(at(61)), at(50));
    w.records_read(at(62));
    w.request_answered(at(63), "p", Incarnation(8), LogIndex(0), RequestId(5));
    assert_eq!(w.known_until(at(63)), at(62).max(at(60)));
    w.entries_received(at(70), "p", Incarnation(7), LogIndex(1), 1);
    w.request_sent(at(80), RequestId(6));
    w.request_answered(at(81), "p", Incarnation(8), LogIndex(0), RequestId(6));
    assert_eq!(w.known_until(at(81)), at(62), "a gap again, until the records are read");
    w.entries_received(at(82), "stranger", Incarnation(1), LogIndex(1), 1);
    assert_eq!(w.known_until(at(82)), at(62), "entries of a node that is not a peer are ignored");
    assert_eq!(
        Watermark::new([]).known_until(at(90)),
        at(90),
        "a node without peers knows every cancellation"
    );
}

/// A start is committed before an outage, but the leader learns this only afterwards. The job was
/// cancelled through another node in the meantime, and the leader has not been told.
#[test]
fn start_delayed_by_an_outage_is_not_sent_before_job_ends_are_known() {
    let mut w = World::new(&[("n-1", "a")]);
    w.submit(JOB, &spec(1));
    w.tick();
    let (id, transaction) = w.take_commit();
    let outcome = w.store.apply(&transaction);
    w.cut_off = true;
    // The other node cancels the job right after the commit; the leader receives no answer for
    // almost a minute.
    w.store.put(&keys::end(JOB), serde_json::json!("aborted"));
    w.wait(56_000);
    w.leader.transaction_answered(w.now, id, outcome);
    for _ in 0..20 {
        w.tick();
        for command in std::mem::take(&mut w.commands) {
            if let walnutlug_scheduler::command::Command::SendToWorker { calls, .. } = command {
                assert!(calls.is_empty(), "{calls:?}");
            }
        }
    }
    // After the job's end has been read, the start must not be sent.
    w.leader.job_ended(w.now, JOB, JobEnd::Cancelled);
    w.cut_off = false;
    w.settle();
    w.heartbeat("n-1");
    w.settle();
    assert!(w.workers["n-1"].tasks.is_empty());
    // Without the cancellation, the start is sent once the job ends are known.
    let mut w = World::new(&[("n-1", "a")]);
    w.submit(JOB, &spec(1));
    w.tick();
    let (id, transaction) = w.take_commit();
    let outcome = w.store.apply(&transaction);
    w.cut_off = true;
    w.wait(56_000);
    w.leader.transaction_answered(w.now, id, outcome);
    w.heartbeat("n-1");
    w.tick();
    assert!(w.workers["n-1"].tasks.is_empty());
    w.cut_off = false;
    w.settle();
    assert_eq!(w.workers["n-1"].tasks.len(), 1);
}

/// The message with the stop command is lost and the worker's heartbeats don't arrive, so only
/// resending the command can stop the task.
#[test]
fn lost_stop_command_of_a_cancelled_job_is_resent() {
    let mut w = World::new(&[("n-1", "a")]);
    w.submit(JOB, &spec(1));
    w.settle();
    w.heartbeat("n-1");
    w.settle();
    w.cancel_job(JOB);
    w.tick();
    let (machine, _, _, calls) = w.take_worker_message();
    assert_eq!(calls.len(), 1);
    w.leader.message_answered(
        w.now,
        machine,
        walnutlug_scheduler::command::MessageOutcome::Indeterminate,
    );
    w.wait(3_000);
    w.settle();
    assert!(
        w.places_of(&format!("{JOB}/0")).is_empty(),
        "the task must be stopped by a direct command, without any heartbeat"
    );
}

/// The answer to a direct command has a higher sequence number than a heartbeat sent just before
/// it, and arrives first. The answer to that late heartbeat still renews the lease, so it must
/// contain the stop command.
#[test]
fn answer_to_an_overtaken_heartbeat_stops_the_cancelled_task() {
    let mut w = World::new(&[("n-1", "a")]);
    w.submit(JOB, &spec(1));
    w.settle();
    w.heartbeat("n-1");
    let worker = w.workers.get_mut("n-1").expect("worker");
    let overtaken = worker.heartbeat();
    let newer = worker.heartbeat();
    let machine = w.leader.cluster.machines_by_name["n-1"];
    w.leader.message_answered(
        w.now,
        machine,
        walnutlug_scheduler::command::MessageOutcome::Answered(Box::new(newer)),
    );
    w.cancel_job(JOB);
    let HeartbeatAnswer { token, commands: calls } =
        w.leader.handle_heartbeat(w.now, &overtaken).expect("an answer");
    w.workers.get_mut("n-1").expect("worker").receive_heartbeat_response(
        AgentEpoch(1),
        token,
        &calls,
    );
    assert!(
        w.places_of(&format!("{JOB}/0")).is_empty(),
        "the lease was renewed without a stop command"
    );
}

/// A leader elected just before an outage has read the records, but its watch has not returned yet.
#[test]
fn answers_count_at_once_if_the_incarnation_was_known_before_the_records_were_read() {
    let at = |s: u64| Timestamp((1 << 40) + s * 1_000_000);
    for (known_at, counts) in [(Some(1), true), (None, false), (Some(4), false)] {
        let mut watermark = Watermark::new(["b".to_owned()]);
        if let Some(s) = known_at {
            watermark.peer_seen(at(s), "b", Incarnation(7));
        }
        watermark.records_read(at(3));
        for (number, s) in (5..25).enumerate() {
            watermark.request_sent(at(s), RequestId(number as u64));
            watermark.request_answered(
                at(s),
                "b",
                Incarnation(7),
                LogIndex(0),
                RequestId(number as u64),
            );
        }
        let until = if counts { at(24) } else { at(3) };
        assert_eq!(watermark.known_until(at(25)), until, "incarnation first known at {known_at:?}");
        // A new incarnation can't answer for the previous one until the next read, however it
        // became known.
        watermark.peer_seen(at(26), "b", Incarnation(8));
        watermark.request_sent(at(27), RequestId(100));
        watermark.request_answered(at(27), "b", Incarnation(8), LogIndex(0), RequestId(100));
        assert_eq!(watermark.known_until(at(28)), until, "a new incarnation");
        watermark.records_read(at(26));
        watermark.request_sent(at(29), RequestId(101));
        watermark.request_answered(at(29), "b", Incarnation(8), LogIndex(0), RequestId(101));
        assert_eq!(watermark.known_until(at(30)), at(29), "after the next read");
    }
}
