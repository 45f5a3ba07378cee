//! Cancellations that meet a refusal, a cut, an outage or an end: scripted interleavings of one leader
//! and two other nodes, with the very logs, watermarks and books that the nodes hold.

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
const STEP: u64 = 100;
/// A worker's clock may be slow against the world's.
const SLOW: f64 = 1.0005;

/// What becomes of the frames from the node that tells the cancellation to the leader.
#[derive(Debug, Clone, Copy, PartialEq)]
enum Frames {
    Arrive,
    /// Those of so many milliseconds from the cancellation on are lost.
    LostFor(u64),
    /// Each arrives so much later, and once more after that.
    Late(u64),
    /// The node ends right after its answer to the user, before any frame left it, and is back so
    /// much later.
    EndsAndReturns(u64),
    /// It ends, and stays away.
    Ends,
    /// The leader is cut from the other nodes before it, both ways, for good.
    Cut,
}

#[derive(Debug, Clone, Copy)]
struct Meeting {
    name: &'static str,
    frames: Frames,
    /// The key-value store refuses the leader from the start on, and is down for all from this on.
    outage_at: u64,
    told_at: u64,
}

struct Peer {
    name: &'static str,
    incarnation: Incarnation,
    up: bool,
    log: CancellationLog,
}

struct Play {
    w: World,
    watermark: Watermark,
    asked: u64,
    peers: Vec<Peer>,
    /// Frames under way to the leader, by when they arrive.
    messages_in_flight: Vec<(Timestamp, Frame)>,
    renewed: Timestamp,
}

#[derive(Debug, Clone)]
enum Frame {
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

impl Play {
    /// A leader that was served until now, with one task that runs.
    fn new(site: &Site) -> Play {
        let mut w = World::of(site.clone(), &[("n-1", "a")]);
        w.submit(JOB, &spec(1));
        w.settle();
        w.heartbeat("n-1");
        w.cut_off = true;
        let mut watermark = Watermark::new(["p".to_owned(), "q".to_owned()]);
        // Both are known, and the key-value store was read since.
        for node in ["p", "q"] {
            watermark.request_answered(w.now, node, Incarnation(7), LogIndex(0), RequestId(0));
        }
        watermark.records_read(w.now);
        let renewed = w.now;
        let peers = vec![new_peer("p", Incarnation(7), site), new_peer("q", Incarnation(7), site)];
        Play { w, watermark, asked: 0, peers, messages_in_flight: Vec::new(), renewed }
    }

    fn live(&self) -> bool {
        !self.w.places_of(&format!("{JOB}/0")).is_empty()
    }

    fn frame(&mut self, frame: Frame) {
        let now = self.w.now;
        match frame {
            Frame::Entries { node, incarnation, entries: LogEntries { first, jobs } } => {
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
            Frame::LogEnd { node, incarnation, last, request } => {
                let name = self.peers[node].name;
                self.watermark.request_answered(now, name, incarnation, last, request);
            }
        }
    }

    /// Plays on to the given time after `began`; whether the task was live at all steps.
    fn play(&mut self, began: Timestamp, to: u64, m: &Meeting) {
        let every = request_interval(&self.w.leader.site).0.div_ceil(1_000).max(1);
        let mut since_ask = 0;
        while self.w.now.since(began) < TimeDelta::from_millis(to) {
            self.w.wait(STEP);
            let now = self.w.now;
            let at = now.since(began).0 / 1_000;
            let told = began + TimeDelta::from_millis(m.told_at);
            if at >= m.told_at && at < m.told_at + STEP {
                // Stored, in the log, told to the user; and only then whatever happens to the node.
                self.w.store.put(&keys::end(JOB), serde_json::json!("aborted"));
                self.peers[0].log.append(now, JOB);
                if matches!(m.frames, Frames::Ends | Frames::EndsAndReturns(_)) {
                    self.peers[0].up = false;
                }
            }
            if let Frames::EndsAndReturns(after) = m.frames {
                if !self.peers[0].up && now.since(told) >= TimeDelta::from_millis(after) {
                    self.peers[0] = new_peer("p", Incarnation(8), &self.w.leader.site);
                }
            }
            since_ask += STEP;
            if since_ask >= every {
                since_ask = 0;
                self.asked += 1;
                self.watermark.request_sent(now, RequestId(self.asked));
                self.exchange(now, told, m);
            }
            let (due, rest): (Vec<_>, Vec<_>) =
                self.messages_in_flight.drain(..).partition(|(at, _)| *at <= now);
            self.messages_in_flight = rest;
            for (_, frame) in due {
                self.frame(frame);
            }
            self.work(now, at);
        }
    }

    /// The others answer the leader's question and tell what it lacks.
    fn exchange(&mut self, now: Timestamp, told: Timestamp, m: &Meeting) {
        for node in 0..self.peers.len() {
            let lossy = node == 0 && now >= told;
            let lost = match m.frames {
                Frames::Cut => true,
                Frames::LostFor(ms) => lossy && now.since(told) < TimeDelta::from_millis(ms),
                _ => false,
            };
            let peer = &mut self.peers[node];
            if lost || !peer.up {
                // What was sent and lost is told again.
                let _ = peer.log.entries_to_send(now, "leader");
                continue;
            }
            let mut sent = vec![Frame::LogEnd {
                node,
                incarnation: peer.incarnation,
                last: peer.log.last(),
                request: RequestId(self.asked),
            }];
            if let Some(entries) = peer.log.entries_to_send(now, "leader") {
                sent.push(Frame::Entries { node, incarnation: peer.incarnation, entries });
            }
            for frame in sent {
                match m.frames {
                    Frames::Late(ms) if lossy => {
                        let late = now + TimeDelta::from_millis(ms);
                        self.messages_in_flight.push((late, frame.clone()));
                        self.messages_in_flight.push((late + TimeDelta::from_millis(ms), frame));
                    }
                    _ => self.messages_in_flight.push((now, frame)),
                }
            }
        }
    }

    /// The worker reports every three seconds and drops all when its lease ends.
    fn work(&mut self, now: Timestamp, at: u64) {
        self.w.leader.authority.set_cancellations_known_until(self.watermark.known_until(now));
        let lease = self.w.leader.site.worker_lease.mul_f64(SLOW);
        if now.since(self.renewed) > lease {
            self.w.workers.get_mut("n-1").expect("worker").lease_ends();
            self.renewed = now;
        }
        if at.is_multiple_of(3_000) {
            let worker = self.w.workers.get_mut("n-1").expect("worker");
            let heartbeat = worker.heartbeat();
            if let Ok(HeartbeatAnswer { token, commands: calls }) =
                self.w.leader.handle_heartbeat(now, &heartbeat)
            {
                let worker = self.w.workers.get_mut("n-1").expect("worker");
                worker.answered(heartbeat.agent_epoch, token, &calls);
                self.renewed = now;
            }
        }
    }
}

const MEETINGS: [Meeting; 9] = [
    Meeting { name: "frames arrive", frames: Frames::Arrive, outage_at: 2_000, told_at: 1_000 },
    Meeting {
        name: "told at the moment of the refusal, all down at once",
        frames: Frames::LostFor(700),
        outage_at: 200,
        told_at: 100,
    },
    Meeting {
        name: "frames lost for long",
        frames: Frames::LostFor(60_000),
        outage_at: 5_000,
        told_at: 4_000,
    },
    Meeting {
        name: "frames late, and twice",
        frames: Frames::Late(9_000),
        outage_at: 2_000,
        told_at: 1_500,
    },
    Meeting {
        name: "frames later than the lease",
        frames: Frames::Late(31_000),
        outage_at: 2_000,
        told_at: 1_500,
    },
    Meeting {
        name: "the node ends right after its answer",
        frames: Frames::Ends,
        outage_at: 2_000,
        told_at: 1_000,
    },
    Meeting {
        name: "the node ends after its answer and is back at once",
        frames: Frames::EndsAndReturns(200),
        outage_at: 2_000,
        told_at: 1_000,
    },
    Meeting {
        name: "the node ends after its answer and is back later",
        frames: Frames::EndsAndReturns(9_000),
        outage_at: 2_000,
        told_at: 1_000,
    },
    Meeting {
        name: "cut from state and peers, told a while later",
        frames: Frames::Cut,
        outage_at: 0,
        told_at: 12_000,
    },
];

/// Refused alone, then down for all for longer than `cancel_s`, while the worker goes on reporting.
#[test]
fn a_cancellation_told_elsewhere_is_carried_out_in_time_whatever_becomes_of_the_frames() {
    for (lease, cancel) in [(24_000, 44_000), (31_000, 51_000), (20_000, 24_000), (20_000, 20_700)]
    {
        for m in MEETINGS {
            let site = site(lease, cancel);
            let mut p = Play::new(&site);
            let began = p.w.now;
            p.play(began, m.told_at + 200, &m);
            let what = format!("{} (lease {lease}, cancel {cancel})", m.name);
            assert!(p.w.end(JOB).is_some(), "{what}: nothing was cancelled");
            // Nothing was read by the leader since, so all that it knows came from the others.
            assert!(m.told_at.abs_diff(m.outage_at) <= 12_000, "{what}: no meeting");
            p.play(began, m.told_at + cancel, &m);
            assert!(!p.live(), "{what}: goes on after cancel_s");
            p.play(began, m.told_at + 3 * cancel, &m);
            assert!(!p.live(), "{what}: began again");
        }
    }
}

/// What all nodes see alike costs nothing: with everybody heard, and nothing cancelled, leases are
/// renewed for as long as it lasts.
#[test]
fn an_outage_that_all_see_alike_costs_no_running_work() {
    let quiet =
        Meeting { name: "quiet", frames: Frames::Arrive, outage_at: 0, told_at: u64::MAX / 2 };
    for (lease, cancel) in [(24_000, 44_000), (16_000, 36_000), (20_000, 24_000), (20_000, 20_700)]
    {
        let mut p = Play::new(&site(lease, cancel));
        let began = p.w.now;
        p.play(began, 5 * cancel, &quiet);
        assert!(p.live(), "lease {lease}, cancel {cancel}");
        assert_eq!(p.w.workers["n-1"].agent_epoch, AgentEpoch(1), "lease {lease}, cancel {cancel}");
    }
}

/// The price of the rule, as the design page tells it: with one node unheard the leases run out, but
/// not before the window has passed.
#[test]
fn a_node_that_is_not_heard_costs_work_only_after_the_window() {
    let site = site(24_000, 44_000);
    let far = Meeting { name: "cut", frames: Frames::Cut, outage_at: 0, told_at: u64::MAX / 2 };
    let mut p = Play::new(&site);
    let began = p.w.now;
    p.play(began, lease_renewal_window(&site).0 / 1_000 - 2 * STEP, &far);
    assert!(p.w.leader.authority.may_renew_leases(p.w.now));
    // The last heartbeat within the window came at 18 s.
    p.play(began, 18_000 + 24_000 - STEP, &far);
    assert!(p.live());
    p.play(began, 18_000 + 24_000 + 3 * STEP, &far);
    assert!(!p.live());
    // Heard of again, the machine is open for work as before.
    p.watermark.records_read(p.w.now);
    p.w.leader.authority.set_cancellations_known_until(p.w.now);
    assert!(p.w.leader.authority.may_renew_leases(p.w.now));
}

#[test]
fn a_log_is_sent_until_that_incarnation_of_the_peer_acknowledges_it() {
    let site = site(24_000, 44_000);
    let mut log = CancellationLog::new(&site);
    let now = Timestamp(1 << 40);
    let at = |ms: u64| now + TimeDelta::from_millis(ms);
    log.append(now, "req-1");
    assert_eq!(log.entries_to_send(now, "q"), None, "nobody of that name was heard");
    log.peer_seen("q", Incarnation(3));
    let told = |first: u64, jobs: &[&str]| {
        let jobs = jobs.iter().map(|j| (*j).to_owned()).collect();
        Some(LogEntries { first: LogIndex(first), jobs })
    };
    assert_eq!(log.entries_to_send(now, "q"), told(1, &["req-1"]));
    assert_eq!(log.entries_to_send(at(10), "q"), None, "it may be on its way");
    log.append(at(20), "req-2");
    assert_eq!(log.entries_to_send(at(20), "q"), told(2, &["req-2"]), "what is new goes at once");
    assert_eq!(log.entries_to_send(at(1_100), "q"), told(1, &["req-1", "req-2"]), "and all again");
    log.acknowledged("q", Incarnation(2), LogIndex(2));
    assert!(log.entries_to_send(at(2_200), "q").is_some(), "a receipt of a former life");
    log.acknowledged("q", Incarnation(3), LogIndex(2));
    assert_eq!(log.entries_to_send(at(3_300), "q"), None);
    log.peer_seen("q", Incarnation(4));
    assert_eq!(
        log.entries_to_send(at(3_300), "q"),
        told(1, &["req-1", "req-2"]),
        "a new life knows none"
    );
    log.append(at(80_000), "req-3");
    log.peer_seen("q", Incarnation(5));
    assert_eq!(log.entries_to_send(at(80_000), "q"), told(3, &["req-3"]), "the old are over");
}

/// Each line is an order of events in which an answer must not count, and what makes it count.
#[test]
fn an_answer_counts_only_for_what_arrived_without_a_gap() {
    let now = Timestamp(1 << 40);
    let at = |ms: u64| now + TimeDelta::from_millis(ms);
    let mut w = Watermark::new(["p".to_owned()]);
    w.request_sent(at(10), RequestId(1));
    w.request_answered(at(11), "p", Incarnation(7), LogIndex(0), RequestId(1));
    assert_eq!(w.known_until(at(11)), Timestamp(0), "what its former self told is not known");
    w.records_read(at(12));
    w.request_sent(at(20), RequestId(2));
    w.request_answered(at(21), "p", Incarnation(7), LogIndex(1), RequestId(2));
    assert_eq!(w.known_until(at(21)), at(12), "its first cancellation has not come");
    assert_eq!(w.entries_received(at(22), "p", Incarnation(7), LogIndex(1), 1), Some(LogIndex(1)));
    w.request_answered(at(23), "p", Incarnation(7), LogIndex(1), RequestId(2));
    assert_eq!(w.known_until(at(23)), at(20), "known up to when it was asked, not answered");
    w.request_answered(at(24), "p", Incarnation(7), LogIndex(1), RequestId(99));
    assert_eq!(w.known_until(at(24)), at(20), "nobody asked that");
    // One that it dropped before it arrived.
    w.request_sent(at(30), RequestId(3));
    assert_eq!(w.entries_received(at(31), "p", Incarnation(7), LogIndex(3), 1), Some(LogIndex(3)));
    w.request_answered(at(32), "p", Incarnation(7), LogIndex(3), RequestId(3));
    assert_eq!(w.known_until(at(32)), at(20), "the second is missing");
    w.records_read(at(30));
    w.request_answered(at(33), "p", Incarnation(7), LogIndex(3), RequestId(3));
    assert_eq!(w.known_until(at(33)), at(30), "read, but before the gap was noticed");
    w.records_read(at(40));
    w.request_sent(at(50), RequestId(4));
    w.request_answered(at(51), "p", Incarnation(7), LogIndex(3), RequestId(4));
    assert_eq!(w.known_until(at(51)), at(50));
    // A new life, then a late frame of the old one.
    w.request_sent(at(60), RequestId(5));
    w.request_answered(at(61), "p", Incarnation(8), LogIndex(0), RequestId(5));
    assert_eq!(w.known_until(at(61)), at(50));
    w.records_read(at(62));
    w.request_answered(at(63), "p", Incarnation(8), LogIndex(0), RequestId(5));
    assert_eq!(w.known_until(at(63)), at(62).max(at(60)));
    w.entries_received(at(70), "p", Incarnation(7), LogIndex(1), 1);
    w.request_sent(at(80), RequestId(6));
    w.request_answered(at(81), "p", Incarnation(8), LogIndex(0), RequestId(6));
    assert_eq!(w.known_until(at(81)), at(62), "a gap again, until the state service is read");
    w.entries_received(at(82), "stranger", Incarnation(1), LogIndex(1), 1);
    assert_eq!(w.known_until(at(82)), at(62), "a node that is not in the settings says nothing");
    assert_eq!(Watermark::new([]).known_until(at(90)), at(90), "alone it knows all");
}

/// Written before an outage, and found to be committed only after it: the job was cancelled meanwhile
/// through another node, and nothing told this one.
#[test]
fn a_start_that_waited_through_an_outage_is_not_sent_before_the_ends_are_known() {
    let mut w = World::new(&[("n-1", "a")]);
    w.submit(JOB, &spec(1));
    w.tick();
    let (id, transaction) = w.take_commit();
    let outcome = w.store.apply(&transaction);
    w.cut_off = true;
    // The other node's write comes right after; the leader hears nothing for a minute.
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
    // The ends are read: it is never sent.
    w.leader.job_ended(w.now, JOB, JobEnd::Cancelled);
    w.cut_off = false;
    w.settle();
    w.heartbeat("n-1");
    w.settle();
    assert!(w.workers["n-1"].tasks.is_empty());
    // Had it not been cancelled, it would have gone then.
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

/// The message with the kill is lost, and the worker's heartbeats don't come: it is sent again.
#[test]
fn a_lost_kill_of_a_cancelled_job_is_sent_again() {
    let mut w = World::new(&[("n-1", "a")]);
    w.submit(JOB, &spec(1));
    w.settle();
    w.heartbeat("n-1");
    w.settle();
    w.withdraw(JOB);
    w.tick();
    let (m, _, _, calls) = w.take_direct();
    assert_eq!(calls.len(), 1);
    w.leader.message_answered(
        w.now,
        m,
        walnutlug_scheduler::command::MessageOutcome::Indeterminate,
    );
    w.wait(3_000);
    w.settle();
    assert!(w.places_of(&format!("{JOB}/0")).is_empty(), "by direct command, without any report");
}

/// The answer to a direct command has a higher count than a heartbeat sent just before it and overtakes
/// it; the heartbeat's answer renews the lease all the same.
#[test]
fn a_report_that_was_overtaken_is_told_what_to_stop() {
    let mut w = World::new(&[("n-1", "a")]);
    w.submit(JOB, &spec(1));
    w.settle();
    w.heartbeat("n-1");
    let worker = w.workers.get_mut("n-1").expect("worker");
    let overtaken = worker.heartbeat();
    let newer = worker.heartbeat();
    let m = w.leader.cluster.machines_by_name["n-1"];
    w.leader.message_answered(
        w.now,
        m,
        walnutlug_scheduler::command::MessageOutcome::Answered(Box::new(newer)),
    );
    w.withdraw(JOB);
    let HeartbeatAnswer { token, commands: calls } =
        w.leader.handle_heartbeat(w.now, &overtaken).expect("an answer");
    w.workers.get_mut("n-1").expect("worker").answered(AgentEpoch(1), token, &calls);
    assert!(w.places_of(&format!("{JOB}/0")).is_empty(), "renewed without a kill");
}

/// A leader elected just before an outage for all has read its records, and its watch has not returned yet.
#[test]
fn answers_of_incarnations_known_before_the_records_were_read_count_at_once() {
    let at = |s: u64| Timestamp((1 << 40) + s * 1_000_000);
    for (heard_at, counts) in [(Some(1), true), (None, false), (Some(4), false)] {
        let mut watermark = Watermark::new(["b".to_owned()]);
        if let Some(s) = heard_at {
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
        assert_eq!(watermark.known_until(at(25)), until, "first heard at {heard_at:?}");
        // A new life vouches for nothing before the next read, however it is met.
        watermark.peer_seen(at(26), "b", Incarnation(8));
        watermark.request_sent(at(27), RequestId(100));
        watermark.request_answered(at(27), "b", Incarnation(8), LogIndex(0), RequestId(100));
        assert_eq!(watermark.known_until(at(28)), until, "a new life");
        watermark.records_read(at(26));
        watermark.request_sent(at(29), RequestId(101));
        watermark.request_answered(at(29), "b", Incarnation(8), LogIndex(0), RequestId(101));
        assert_eq!(watermark.known_until(at(30)), at(29), "after the next read");
    }
}
