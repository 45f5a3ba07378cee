use std::net::SocketAddrV4;

use super::frame::{Header, MAX_BODY_BYTES};
use super::*;
use walnutlug_scheduler::leadership::fencing_token::{FencingToken, Term};
use walnutlug_scheduler::model::ids::MachineIndex;
use walnutlug_scheduler::model::job_spec::JobEnd;
use walnutlug_scheduler::reconciliation::delegation::{CacheGrant, DelegationGrant};
use walnutlug_scheduler::reconciliation::heartbeat_cache::CachedHeartbeat;
use walnutlug_scheduler::time::TimeDelta;

fn frames() -> Vec<Frame> {
    vec![
        Frame::Status(NodeStatus {
            name: "kernel-1".into(),
            term: Term(1 << 40),
            leading: true,
            store_reachable: false,
            redirected: 7,
            incarnation: 1 << 50,
            count: 9,
        }),
        Frame::Progress { job: "req-000001".into(), done: 3, running: 70_000 },
        Frame::Ended { job: "req-000002".into(), end: JobEnd::Cancelled },
        Frame::NewJob { job: "req-000003".into() },
        Frame::Machines(
            (0..3)
                .map(|i| {
                    let addr = SocketAddrV4::new([10, 1, 0, i].into(), 9000);
                    MachineAddress { machine: format!("n-00023{i}"), address: addr }
                })
                .collect(),
        ),
    ]
}

fn heartbeat_frames() -> Vec<Frame> {
    let cached =
        CachedHeartbeat { term: Term(1 << 40), machine: MachineIndex(700), number: 1 << 33 };
    let cache_entry = CacheGrant {
        cached,
        token: FencingToken(1 << 60),
        valid_for: TimeDelta(u64::MAX),
        invalidated: 90_000,
    };
    let answer =
        ForwardedResponse { requester_incarnation: 3, number: 9, answer: None, cache_entry: None };
    let grant = DelegationGrant {
        term: Term(1 << 40),
        request_number: 17,
        watermark_age: TimeDelta::from_millis(900),
        invalidated: 4,
    };
    let granted = DelegationGranted {
        node: "kernel-0".into(),
        requester_incarnation: 1 << 50,
        grant,
        redirect_count: 20,
        redirect_to: Some("kernel-2".into()),
    };
    let repeated = |machine| RepeatedHeartbeat { machine, number: 5, sequence: 1 << 34 };
    vec![
        Frame::ForwardedHeartbeat(ForwardedHeartbeat {
            node: "kernel-1".into(),
            incarnation: 1 << 50,
            number: 70_000,
            heartbeat: vec![b'x'; MAX_FORWARDED_BYTES],
        }),
        Frame::ForwardedResponse(answer.clone()),
        Frame::ForwardedResponse(ForwardedResponse {
            answer: Some(vec![b'y'; MAX_FORWARDED_BYTES]),
            cache_entry: Some(cache_entry),
            ..answer
        }),
        Frame::RepeatedHeartbeats {
            term: Term(1 << 40),
            heartbeats: (0..MAX_ENTRIES as u32).map(MachineIndex).map(repeated).collect(),
        },
        Frame::DelegationRequest(DelegationRequest {
            node: "kernel-1".into(),
            incarnation: 1,
            number: 2,
            workers: 300,
        }),
        Frame::DelegationGranted(granted.clone()),
        Frame::DelegationGranted(DelegationGranted { redirect_to: None, ..granted }),
        Frame::Invalidated {
            term: Term(1 << 40),
            first: 8,
            cache_entries: vec![(MachineIndex(3), 4), (MachineIndex(5), 6)],
        },
    ]
}

/// A truncated frame must yield an error, which only closes the connection that it came on.
#[tokio::test(start_paused = true)]
async fn truncated_heartbeat_frames_are_rejected() {
    for frame in heartbeat_frames() {
        let bytes = frame.encode();
        let head = size_of::<Header>();
        // The body is cut within its fixed part, as if the header announced only seven bytes.
        let short = Frame::decode(u16::from_le_bytes([bytes[6], bytes[7]]), &bytes[head..head + 7]);
        assert!(short.is_err(), "{frame:?}");
        assert!(read_frame(&mut &bytes[..bytes.len() - 1]).await.is_err(), "{frame:?}");
    }
    let list =
        Frame::Invalidated { term: Term(1), first: 1, cache_entries: vec![(MachineIndex(3), 4)] }
            .encode();
    let body = &list[size_of::<Header>()..list.len() - 1];
    assert!(
        Frame::decode(u16::from_le_bytes([list[6], list[7]]), body).is_err(),
        "a list that ends within an entry must be rejected"
    );
}

#[tokio::test(start_paused = true)]
async fn decoding_an_encoded_frame_yields_the_same_frame() {
    for frame in frames()
        .into_iter()
        .chain([Frame::LimitsLowered, Frame::RatesLowered])
        .chain(heartbeat_frames())
    {
        let bytes = frame.encode();
        let read = read_frame(&mut bytes.as_slice()).await;
        assert_eq!(read.expect("a valid frame"), Some(frame));
    }
}

/// The fixture holds frames that the production version encoded. Each must decode, and encode again
/// to the same bytes, so that the production version can read the frames of this version.
#[tokio::test(start_paused = true)]
async fn frames_are_byte_compatible_with_the_production_version() {
    let lines = include_str!("../../fixtures/production-frames.hex").lines();
    let bytes = |line: &str| -> Vec<u8> {
        let digits =
            |i: usize| u8::from_str_radix(&line[i..i + 2], 16).expect("hexadecimal digits");
        (0..line.len()).step_by(2).map(digits).collect()
    };
    let expected: Vec<Vec<u8>> = lines.map(bytes).collect();
    assert_eq!(expected.len(), frames().len());
    for (frame, expected) in frames().into_iter().zip(expected) {
        let read = read_frame(&mut expected.as_slice()).await;
        assert_eq!(read.expect("a valid frame"), Some(frame.clone()));
        assert_eq!(frame.encode(), expected);
    }
}

/// With one machine per frame, the addresses of a large fleet overflowed the send queue.
#[test]
fn machine_addresses_of_a_large_fleet_fit_into_few_frames() {
    let address = SocketAddrV4::new([10, 0, 0, 1].into(), 9000);
    let machine = |i: usize| MachineAddress { machine: format!("n-{i:06}"), address };
    let all: Vec<_> = (0..2_060).map(machine).collect();
    let frames: Vec<Vec<u8>> =
        all.chunks(MAX_MACHINES).map(|c| Frame::Machines(c.to_vec()).encode()).collect();
    assert!(frames.len() <= 18, "too many frames: {}", frames.len());
    assert!(frames.iter().all(|f| f.len() <= MAX_BODY_BYTES));
}

#[tokio::test(start_paused = true)]
async fn malformed_frames_are_rejected_and_unknown_kinds_ignored() {
    for frame in frames() {
        let valid = frame.encode();
        for cut in 0..valid.len() {
            assert!(read_frame(&mut &valid[..cut]).await.is_err(), "cut at {cut}");
        }
        let mut magic = valid.clone();
        magic[0] ^= 1;
        let read = read_frame(&mut magic.as_slice()).await;
        assert!(matches!(read, Err(FrameError::BadMagic { .. })), "{read:?}");
        let mut version = valid.clone();
        version[4] = 9;
        let read = read_frame(&mut version.as_slice()).await;
        assert!(matches!(read, Err(FrameError::UnknownVersion { found: 9 })), "{read:?}");
        let mut long = valid.clone();
        long[8..12].copy_from_slice(&u32::MAX.to_le_bytes());
        let read = read_frame(&mut long.as_slice()).await;
        assert!(matches!(read, Err(FrameError::BodyTooLong { .. })), "{read:?}");
        let mut short = valid.clone();
        short[8..12].copy_from_slice(&5u32.to_le_bytes());
        assert!(read_frame(&mut short.as_slice()).await.is_err());
        let mut unknown_kind = valid.clone();
        unknown_kind[6] = 99;
        let read = read_frame(&mut unknown_kind.as_slice()).await;
        assert!(matches!(read, Ok(None)), "{read:?}");
    }
}
