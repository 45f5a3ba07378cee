//! The frames with which followers answer workers on the leader's behalf. Their protocol is in
//! `walnutlug_scheduler::reconciliation::delegation`.

use walnutlug_scheduler::leadership::fencing_token::{FencingToken, Term};
use walnutlug_scheduler::model::ids::MachineIndex;
use walnutlug_scheduler::reconciliation::delegation::{CacheGrant, DelegationGrant};
use walnutlug_scheduler::reconciliation::heartbeat_cache::CachedHeartbeat;
use walnutlug_scheduler::time::TimeDelta;
use zerocopy::little_endian::{U16, U32, U64};
use zerocopy::{FromBytes, Immutable, IntoBytes, KnownLayout, Unaligned};

use super::frame::MAX_BODY;
use super::layout::{self, entries, fixed_part, name_field, optional_name, NODE_NAME_BYTES};
use super::FrameError;

/// Bytes of a heartbeat or an answer that fit one frame; a worker with longer ones reports to the leader itself.
pub(crate) const MAX_FORWARDED_BYTES: usize = 3_500;
/// Entries in one frame.
pub(crate) const MAX_ENTRIES: usize = 150;

const _: () = assert!(size_of::<ForwardedResponseBody>() + MAX_FORWARDED_BYTES < MAX_BODY);
const _: () = assert!(
    size_of::<RepeatedHeartbeatsHead>() + MAX_ENTRIES * size_of::<RepeatedHeartbeatEntry>()
        < MAX_BODY
);

/// A worker's heartbeat on its way to the leader.
#[derive(Debug, Clone, PartialEq, Eq)]
pub(crate) struct ForwardedHeartbeat {
    /// The follower that asks.
    pub(crate) node: String,
    /// Its incarnation.
    pub(crate) incarnation: u64,
    /// Identifies the answer.
    pub(crate) number: u64,
    /// As the worker sent it.
    pub(crate) heartbeat: Vec<u8>,
}

/// The leader's answer to it.
#[derive(Debug, Clone, PartialEq, Eq)]
pub(crate) struct ForwardedResponse {
    /// The incarnation of the follower that asked.
    pub(crate) requester_incarnation: u64,
    /// The number of the heartbeat.
    pub(crate) number: u64,
    /// The body for the worker; `None`: the leader doesn't answer this one.
    pub(crate) answer: Option<Vec<u8>>,
    /// Present if repetitions of the heartbeat may be answered without asking.
    pub(crate) cache_entry: Option<CacheGrant>,
}

/// A machine that repeated its cached heartbeat to a follower.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) struct RepeatedHeartbeat {
    /// The machine.
    pub(crate) machine: MachineIndex,
    /// The number of the cached heartbeat.
    pub(crate) number: u64,
    /// The sequence number of the repetition.
    pub(crate) sequence: u64,
}

/// A follower asks the leader to let it answer workers.
#[derive(Debug, Clone, PartialEq, Eq)]
pub(crate) struct DelegationRequest {
    /// The follower.
    pub(crate) node: String,
    /// Its incarnation.
    pub(crate) incarnation: u64,
    /// Identifies the grant.
    pub(crate) number: u64,
    /// Workers whose connections the follower holds.
    pub(crate) workers: u32,
}

/// The leader lets a follower answer workers, and says how many of them it should redirect to which other node.
#[derive(Debug, Clone, PartialEq, Eq)]
pub(crate) struct DelegationGranted {
    /// The leader.
    pub(crate) node: String,
    /// The incarnation of the follower that asked.
    pub(crate) requester_incarnation: u64,
    /// What the leader grants.
    pub(crate) grant: DelegationGrant,
    /// Workers that the follower should redirect.
    pub(crate) redirect_count: u16,
    /// The node to which it should redirect them.
    pub(crate) redirect_to: Option<String>,
}

#[derive(FromBytes, IntoBytes, KnownLayout, Immutable, Unaligned, Clone, Copy)]
#[repr(C)]
struct ForwardedHeartbeatBody {
    node: [u8; NODE_NAME_BYTES],
    incarnation: U64,
    number: U64,
}

#[derive(FromBytes, IntoBytes, KnownLayout, Immutable, Unaligned, Clone, Copy)]
#[repr(C)]
struct ForwardedResponseBody {
    requester_incarnation: U64,
    number: U64,
    answered: u8,
    cached: u8,
    term: U64,
    machine: U32,
    cached_number: U64,
    token: U64,
    valid_for_us: U64,
    invalidated: U64,
}

#[derive(FromBytes, IntoBytes, KnownLayout, Immutable, Unaligned, Clone, Copy)]
#[repr(C)]
struct RepeatedHeartbeatsHead {
    term: U64,
}

#[derive(FromBytes, IntoBytes, KnownLayout, Immutable, Unaligned, Clone, Copy)]
#[repr(C)]
struct RepeatedHeartbeatEntry {
    machine: U32,
    number: U64,
    sequence: U64,
}

#[derive(FromBytes, IntoBytes, KnownLayout, Immutable, Unaligned, Clone, Copy)]
#[repr(C)]
struct DelegationRequestBody {
    node: [u8; NODE_NAME_BYTES],
    incarnation: U64,
    number: U64,
    workers: U32,
}

#[derive(FromBytes, IntoBytes, KnownLayout, Immutable, Unaligned, Clone, Copy)]
#[repr(C)]
struct DelegationGrantedBody {
    node: [u8; NODE_NAME_BYTES],
    requester_incarnation: U64,
    term: U64,
    asked: U64,
    unknown_for_us: U64,
    invalidated: U64,
    redirect_count: U16,
    redirect_to: [u8; NODE_NAME_BYTES],
}

#[derive(FromBytes, IntoBytes, KnownLayout, Immutable, Unaligned, Clone, Copy)]
#[repr(C)]
struct InvalidatedHead {
    term: U64,
    first: U64,
}

#[derive(FromBytes, IntoBytes, KnownLayout, Immutable, Unaligned, Clone, Copy)]
#[repr(C)]
struct InvalidatedEntry {
    machine: U32,
    number: U64,
}

impl ForwardedHeartbeat {
    pub(super) fn encode(&self) -> Vec<u8> {
        let head = ForwardedHeartbeatBody {
            node: name_field(&self.node),
            incarnation: self.incarnation.into(),
            number: self.number.into(),
        };
        [head.as_bytes(), &self.heartbeat].concat()
    }

    pub(super) fn decode(body: &[u8]) -> Result<ForwardedHeartbeat, FrameError> {
        let (head, heartbeat) = fixed_part::<ForwardedHeartbeatBody>(body)?;
        Ok(ForwardedHeartbeat {
            node: layout::name(&head.node)?,
            incarnation: head.incarnation.get(),
            number: head.number.get(),
            heartbeat: heartbeat.to_vec(),
        })
    }
}

impl ForwardedResponse {
    pub(super) fn encode(&self) -> Vec<u8> {
        let cache_entry = self.cache_entry.as_ref();
        let cached = cache_entry.map(|entry| entry.cached);
        let head = ForwardedResponseBody {
            requester_incarnation: self.requester_incarnation.into(),
            number: self.number.into(),
            answered: u8::from(self.answer.is_some()),
            cached: u8::from(cache_entry.is_some()),
            term: cached.map_or(0, |cached| cached.term.get()).into(),
            machine: cached.map_or(0, |cached| cached.machine.get()).into(),
            cached_number: cached.map_or(0, |cached| cached.number).into(),
            token: cache_entry.map_or(0, |entry| entry.token.get()).into(),
            valid_for_us: cache_entry.map_or(0, |entry| entry.valid_for.0).into(),
            invalidated: cache_entry.map_or(0, |entry| entry.invalidated).into(),
        };
        [head.as_bytes(), self.answer.as_deref().unwrap_or_default()].concat()
    }

    pub(super) fn decode(body: &[u8]) -> Result<ForwardedResponse, FrameError> {
        let (head, answer) = fixed_part::<ForwardedResponseBody>(body)?;
        let cache_entry = CacheGrant {
            cached: CachedHeartbeat {
                term: Term(head.term.get()),
                machine: MachineIndex(head.machine.get()),
                number: head.cached_number.get(),
            },
            token: FencingToken(head.token.get()),
            valid_for: TimeDelta(head.valid_for_us.get()),
            invalidated: head.invalidated.get(),
        };
        Ok(ForwardedResponse {
            requester_incarnation: head.requester_incarnation.get(),
            number: head.number.get(),
            answer: (head.answered != 0).then(|| answer.to_vec()),
            cache_entry: (head.cached != 0).then_some(cache_entry),
        })
    }
}

/// The body of a frame of machines that repeated their heartbeats under the term.
pub(super) fn encode_repeated_heartbeats(term: Term, heartbeats: &[RepeatedHeartbeat]) -> Vec<u8> {
    let mut body = RepeatedHeartbeatsHead { term: term.get().into() }.as_bytes().to_vec();
    for one in heartbeats.iter().take(MAX_ENTRIES) {
        let entry = RepeatedHeartbeatEntry {
            machine: one.machine.get().into(),
            number: one.number.into(),
            sequence: one.sequence.into(),
        };
        body.extend_from_slice(entry.as_bytes());
    }
    body
}

pub(super) fn decode_repeated_heartbeats(
    body: &[u8],
) -> Result<(Term, Vec<RepeatedHeartbeat>), FrameError> {
    let (head, rest) = fixed_part::<RepeatedHeartbeatsHead>(body)?;
    let entries = entries::<RepeatedHeartbeatEntry>(rest)?;
    let heartbeats = entries.map(|entry| RepeatedHeartbeat {
        machine: MachineIndex(entry.machine.get()),
        number: entry.number.get(),
        sequence: entry.sequence.get(),
    });
    Ok((Term(head.term.get()), heartbeats.collect()))
}

/// The body of a frame of invalidated cache entries, with the number of the first.
pub(super) fn encode_invalidated(
    term: Term,
    first: u64,
    cache_entries: &[(MachineIndex, u64)],
) -> Vec<u8> {
    let head = InvalidatedHead { term: term.get().into(), first: first.into() };
    let mut body = head.as_bytes().to_vec();
    for &(machine, number) in cache_entries.iter().take(MAX_ENTRIES) {
        let entry = InvalidatedEntry { machine: machine.get().into(), number: number.into() };
        body.extend_from_slice(entry.as_bytes());
    }
    body
}

/// The term, the number of the first, and the cache entries.
type InvalidatedEntries = (Term, u64, Vec<(MachineIndex, u64)>);

pub(super) fn decode_invalidated(body: &[u8]) -> Result<InvalidatedEntries, FrameError> {
    let (head, rest) = fixed_part::<InvalidatedHead>(body)?;
    let cache_entries = entries::<InvalidatedEntry>(rest)?;
    let cache_entries = cache_entries
        .map(|entry| (MachineIndex(entry.machine.get()), entry.number.get()))
        .collect();
    Ok((Term(head.term.get()), head.first.get(), cache_entries))
}

impl DelegationRequest {
    pub(super) fn encode(&self) -> Vec<u8> {
        let body = DelegationRequestBody {
            node: name_field(&self.node),
            incarnation: self.incarnation.into(),
            number: self.number.into(),
            workers: self.workers.into(),
        };
        body.as_bytes().to_vec()
    }

    pub(super) fn decode(body: &[u8]) -> Result<DelegationRequest, FrameError> {
        let (body, _) = fixed_part::<DelegationRequestBody>(body)?;
        Ok(DelegationRequest {
            node: layout::name(&body.node)?,
            incarnation: body.incarnation.get(),
            number: body.number.get(),
            workers: body.workers.get(),
        })
    }
}

impl DelegationGranted {
    pub(super) fn encode(&self) -> Vec<u8> {
        let body = DelegationGrantedBody {
            node: name_field(&self.node),
            requester_incarnation: self.requester_incarnation.into(),
            term: self.grant.term.get().into(),
            asked: self.grant.request_number.into(),
            unknown_for_us: self.grant.watermark_age.0.into(),
            invalidated: self.grant.invalidated.into(),
            redirect_count: self.redirect_count.into(),
            redirect_to: name_field(self.redirect_to.as_deref().unwrap_or_default()),
        };
        body.as_bytes().to_vec()
    }

    pub(super) fn decode(body: &[u8]) -> Result<DelegationGranted, FrameError> {
        let (body, _) = fixed_part::<DelegationGrantedBody>(body)?;
        Ok(DelegationGranted {
            node: layout::name(&body.node)?,
            requester_incarnation: body.requester_incarnation.get(),
            grant: DelegationGrant {
                term: Term(body.term.get()),
                request_number: body.asked.get(),
                watermark_age: TimeDelta(body.unknown_for_us.get()),
                invalidated: body.invalidated.get(),
            },
            redirect_count: body.redirect_count.get(),
            redirect_to: optional_name(&body.redirect_to),
        })
    }
}
