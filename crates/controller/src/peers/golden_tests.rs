//! Compares every kind of frame between nodes with the golden bytes in `golden/frames.txt`: encodes
//! it, decodes the golden bytes, compares all fields, and encodes the result again.

use std::net::SocketAddrV4;

use walnutlug_scheduler::leadership::fencing_token::{FencingToken, Term};
use walnutlug_scheduler::model::ids::MachineIndex;
use walnutlug_scheduler::model::job_spec::JobEnd;
use walnutlug_scheduler::reconciliation::delegation::{CacheGrant, DelegationGrant};
use walnutlug_scheduler::reconciliation::heartbeat_cache::CachedHeartbeat;
use walnutlug_scheduler::time::TimeDelta;

use super::*;
use crate::golden_file::{hexadecimal, Golden};

const GOLDEN_FILE: &str = "src/peers/golden/frames.txt";
/// Number of frame kinds: 1 to 18 without 5, which no version in use knows.
const KIND_COUNT: usize = 17;

/// Returns the number of the frame's kind on the wire. A new kind has to be added here and to
/// [`frames`].
fn kind_number(frame: &Frame) -> u16 {
    match frame {
        Frame::Status(_) => 1,
        Frame::Progress { .. } => 2,
        Frame::Ended { .. } => 3,
        Frame::NewJob { .. } => 4,
        Frame::Machines(_) => 6,
        Frame::LimitsLowered => 7,
        Frame::Cancellations(_) => 8,
        Frame::CancellationsAck(_) => 9,
        Frame::CancellationLogEnd(_) => 10,
        Frame::ForwardedHeartbeat(_) => 11,
        Frame::ForwardedResponse(_) => 12,
        Frame::RepeatedHeartbeats { .. } => 13,
        Frame::DelegationRequest(_) => 14,
        Frame::DelegationGranted(_) => 15,
        Frame::Invalidated { .. } => 16,
        Frame::RatesLowered => 17,
        Frame::HeldJobs(_) => 18,
    }
}

/// Returns at least one frame of each kind. No two fields of a frame hold the same value, so that
/// swapped fields are detected.
fn frames() -> Vec<(&'static str, Frame)> {
    let mut all = job_frames();
    all.extend(node_frames());
    all.extend(heartbeat_frames());
    all.extend(grant_frames());
    all
}

fn job_frames() -> Vec<(&'static str, Frame)> {
    vec![
        ("progress", Frame::Progress { job: "req-000001".into(), done: 3, running: 70_001 }),
        ("ended done", Frame::Ended { job: "req-000002".into(), end: JobEnd::Done }),
        ("ended aborted", Frame::Ended { job: "req-000003".into(), end: JobEnd::Cancelled }),
        ("new job", Frame::NewJob { job: "req-000004".into() }),
        (
            "cancelled",
            Frame::Cancellations(Cancellations {
                node: "kernel-1".into(),
                incarnation: 0x0102_0304_0506_0708,
                first: 0x1112_1314_1516_1718,
                jobs: vec!["req-000005".into(), "req-99999999999999999999".into()],
            }),
        ),
        (
            "cancelled, none",
            Frame::Cancellations(Cancellations {
                node: "kernel-1".into(),
                incarnation: 21,
                first: 22,
                jobs: Vec::new(),
            }),
        ),
        (
            "cancelled receipt",
            Frame::CancellationsAck(CancellationsAck {
                node: "kernel-2".into(),
                incarnation: 0x0102_0304_0506_0708,
                log_incarnation: 0x1112_1314_1516_1718,
                up_to: 0x2122_2324_2526_2728,
            }),
        ),
        (
            "vouch",
            Frame::CancellationLogEnd(CancellationLogEnd {
                node: "kernel-0".into(),
                incarnation: 0x0102_0304_0506_0708,
                last: 0x1112_1314_1516_1718,
                requester_incarnation: 0x2122_2324_2526_2728,
                status_count: 0x3132_3334_3536_3738,
            }),
        ),
    ]
}

fn node_frames() -> Vec<(&'static str, Frame)> {
    let status = |leading, store_reachable| {
        Frame::Status(NodeStatus {
            name: "kernel-1".into(),
            term: Term(0x0102_0304_0506_0708),
            leading,
            store_reachable,
            redirected: 0x1112,
            incarnation: 0x2122_2324_2526_2728,
            count: 0x3132_3334_3536_3738,
        })
    };
    let machine = |name: &str, last, port| MachineAddress {
        machine: name.into(),
        address: SocketAddrV4::new([10, 1, 2, last].into(), port),
    };
    vec![
        ("status of a leader", status(true, false)),
        ("status of a served follower", status(false, true)),
        ("limits fell", Frame::LimitsLowered),
        ("rates fell", Frame::RatesLowered),
        (
            "held jobs",
            Frame::HeldJobs(HeldJobs { term: Term(0x0102_0304_0506_0708), bytes: 70_001 }),
        ),
        (
            "machines",
            Frame::Machines(vec![
                machine("n-000231", 3, 9_000),
                machine("n-00000000000000000000023X", 4, 9_001),
            ]),
        ),
    ]
}

fn heartbeat_frames() -> Vec<(&'static str, Frame)> {
    let cached = CachedHeartbeat {
        term: Term(0x2122_2324_2526_2728),
        machine: MachineIndex(0x3132_3334),
        number: 0x4142_4344_4546_4748,
    };
    let cache_entry = CacheGrant {
        cached,
        token: FencingToken(0x5152_5354_5556_5758),
        valid_for: TimeDelta(0x6162_6364_6566_6768),
        invalidated: 0x7172_7374_7576_7778,
    };
    let unanswered = ForwardedResponse {
        requester_incarnation: 0x0102_0304_0506_0708,
        number: 0x1112_1314_1516_1718,
        answer: None,
        cache_entry: None,
    };
    let answered = ForwardedResponse {
        answer: Some(br#"{"staff":41,"calls":[]}"#.to_vec()),
        cache_entry: Some(cache_entry),
        ..unanswered.clone()
    };
    let uncached = ForwardedResponse { cache_entry: None, ..answered.clone() };
    let repeated = |machine, number, sequence| RepeatedHeartbeat { machine, number, sequence };
    vec![
        (
            "forwarded report",
            Frame::ForwardedHeartbeat(ForwardedHeartbeat {
                node: "kernel-1".into(),
                incarnation: 0x0102_0304_0506_0708,
                number: 0x1112_1314_1516_1718,
                heartbeat: br#"{"tree":"n-000231"}"#.to_vec(),
            }),
        ),
        ("forwarded answer, none", Frame::ForwardedResponse(unanswered)),
        ("forwarded answer", Frame::ForwardedResponse(uncached)),
        ("forwarded answer and mark", Frame::ForwardedResponse(answered)),
        (
            "heard",
            Frame::RepeatedHeartbeats {
                term: Term(0x0102_0304_0506_0708),
                heartbeats: vec![
                    repeated(MachineIndex(1), 2, 3),
                    repeated(MachineIndex(0x1112_1314), 1 << 40, 1 << 50),
                ],
            },
        ),
    ]
}

fn grant_frames() -> Vec<(&'static str, Frame)> {
    let granted = |redirect_count, redirect_to| {
        Frame::DelegationGranted(DelegationGranted {
            node: "kernel-0".into(),
            requester_incarnation: 0x0102_0304_0506_0708,
            grant: DelegationGrant {
                term: Term(0x1112_1314_1516_1718),
                request_number: 0x2122_2324_2526_2728,
                watermark_age: TimeDelta(0x3132_3334_3536_3738),
                invalidated: 0x4142_4344_4546_4748,
            },
            redirect_count,
            redirect_to,
        })
    };
    vec![
        (
            "ask grant",
            Frame::DelegationRequest(DelegationRequest {
                node: "kernel-2".into(),
                incarnation: 0x0102_0304_0506_0708,
                number: 0x1112_1314_1516_1718,
                workers: 0x2122_2324,
            }),
        ),
        ("granting", granted(0x5152, Some("kernel-2".into()))),
        ("granting, none to spare", granted(0, None)),
        (
            "withdrawn",
            Frame::Invalidated {
                term: Term(0x0102_0304_0506_0708),
                first: 0x1112_1314_1516_1718,
                cache_entries: vec![(MachineIndex(3), 4), (MachineIndex(0x2122_2324), 1 << 40)],
            },
        ),
    ]
}

#[tokio::test(start_paused = true)]
async fn every_frame_kind_matches_its_golden_bytes() {
    let frames = frames();
    let written = |(kind, frame): &(&'static str, Frame)| (*kind, hexadecimal(&frame.encode()));
    let golden = Golden::check(GOLDEN_FILE, &frames.iter().map(written).collect::<Vec<_>>());
    let mut numbers = std::collections::BTreeSet::new();
    for (kind, frame) in &frames {
        let bytes = golden.bytes(kind);
        let header = [0x57, 0x4c, 0x55, 0x47, 2, 0];
        assert!(bytes[..6] == header, "{kind}: wrong magic number or version");
        let number = u16::from_le_bytes([bytes[6], bytes[7]]);
        assert!(number == kind_number(frame), "{kind}: wrong kind number");
        numbers.insert(number);
        let read = read_frame(&mut bytes.as_slice()).await;
        let Ok(Some(read)) = read else { panic!("{kind}: the golden bytes can't be decoded") };
        assert!(read == *frame, "{kind}: the decoded frame differs");
        assert!(read.encode() == bytes, "{kind}: encoding the decoded frame yields other bytes");
    }
    assert_eq!(numbers.len(), KIND_COUNT, "a frame kind has no golden bytes");
}

/// Reads the fields at fixed offsets of the golden bytes, so that the test also documents the
/// layout.
#[test]
fn status_fields_keep_their_offsets() {
    let bytes = Golden::open(GOLDEN_FILE).bytes("status of a leader");
    let digits = |from: usize, length: usize| hexadecimal(&bytes[from..from + length]);
    assert_eq!(bytes.len(), 12 + 8 + 64 + 1 + 1 + 2 + 8 + 8);
    assert_eq!(digits(0, 12), "574c5547020001005c000000", "header");
    assert_eq!(digits(12, 8), "0807060504030201", "term");
    assert_eq!(digits(20, 9), "6b65726e656c2d3100", "name");
    assert_eq!(digits(84, 2), "0100", "leading, store_reachable");
    assert_eq!(digits(86, 2), "1211", "redirected");
    assert_eq!(digits(88, 8), "2827262524232221", "incarnation");
    assert_eq!(digits(96, 8), "3837363534333231", "count");
}
