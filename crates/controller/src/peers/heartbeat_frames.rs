//! Frames for heartbeats that followers answer on the leader's behalf. The protocol is implemented
//! in `walnutlug_scheduler::reconciliation::delegation`.

use walnutlug_scheduler::leadership::fencing_token::{FencingToken, Term};
use walnutlug_scheduler::model::ids::MachineIndex;
use walnutlug_scheduler::reconciliation::delegation::{CacheGrant, DelegationGrant};
use walnutlug_scheduler::reconciliation::heartbeat_cache::CachedHeartbeat;
use walnutlug_scheduler::time::TimeDelta;
use zerocopy::little_endian::{U16, U32, U64};
use zerocopy::{FromBytes, Immutable, IntoBytes, KnownLayout, Unaligned};

use super::frame::MAX_BODY_BYTES;
use super::layout::{self, entries, name_field, optional_name, split_fixed_part, NODE_NAME_BYTES};
use super::FrameError;

/// Maximum size of a heartbeat or response that fits into one frame, in bytes. A worker with longer
/// ones reports to the leader itself.
pub(crate) const MAX_FORWARDED_BYTES: usize = 3_500;
/// Maximum number of repeated heartbeats or invalidations in one frame.
pub(crate) const MAX_ENTRIES: usize = 150;

const _: () = assert!(size_of::<ForwardedResponseBody>() + MAX_FORWARDED_BYTES < MAX_BODY_BYTES);
const _: () = assert!(
    size_of::<RepeatedHeartbeatsPrefix>() + MAX_ENTRIES * size_of::<RepeatedHeartbeatEntry>()
        < MAX_BODY_BYTES
);

/// A worker's heartbeat that a follower forwards to the leader.
#[derive(Debug, Clone, PartialEq, Eq)]
pub(crate) struct ForwardedHeartbeat {
    /// Name of the follower that forwards it.
    pub(crate) node: String,
    /// Incarnation of the follower.
    pub(crate) incarnation: u64,
    /// Number chosen by the follower, which the response repeats.
    pub(crate) number: u64,
    /// The heartbeat as the worker sent it.
    pub(crate) heartbeat: Vec<u8>,
}

/// The leader's response to a forwarded heartbeat.
#[derive(Debug, Clone, PartialEq, Eq)]
pub(crate) struct ForwardedResponse {
    /// Incarnation of the follower that forwarded the heartbeat.
    pub(crate) requester_incarnation: u64,
    /// Number of the forwarded heartbeat.
    pub(crate) number: u64,
    /// The response body for the worker; `None` if the leader doesn't answer this heartbeat.
    pub(crate) answer: Option<Vec<u8>>,
    /// Set if the follower may answer repetitions of the heartbeat itself.
    pub(crate) cache_entry: Option<CacheGrant>,
}

/// A machine that repeated its cached heartbeat to a follower.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) struct RepeatedHeartbeat {
    /// The machine that sent the heartbeat.
    pub(crate) machine: MachineIndex,
    /// Number of the cached heartbeat that was repeated.
    pub(crate) number: u64,
    /// Sequence number of the repetition.
    pub(crate) sequence: u64,
}

/// A follower's request to answer workers on the leader's behalf.
#[derive(Debug, Clone, PartialEq, Eq)]
pub(crate) struct DelegationRequest {
    /// Name of the follower.
    pub(crate) node: String,
    /// Incarnation of the follower.
    pub(crate) incarnation: u64,
    /// Number of the request, which the grant repeats.
    pub(crate) number: u64,
    /// Number of workers whose connections the follower holds.
    pub(crate) workers: u32,
}

/// The leader's grant to a follower to answer workers, with the number of workers that the follower
/// should redirect to another node.
#[derive(Debug, Clone, PartialEq, Eq)]
pub(crate) struct DelegationGranted {
    /// Name of the leader.
    pub(crate) node: String,
    /// Incarnation of the follower that sent the request.
    pub(crate) requester_incarnation: u64,
    /// The conditions under which the follower may answer.
    pub(crate) grant: DelegationGrant,
    /// Number of workers that the follower should redirect.
    pub(crate) redirect_count: u16,
    /// Name of the node to which it should redirect them.
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
struct RepeatedHeartbeatsPrefix {
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
struct InvalidatedPrefix {
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
        let (head, heartbeat) = split_fixed_part::<ForwardedHeartbeatBody>(body)?;
        Ok(ForwardedHeartbeat {
            node: layout::required_name(&head.node)?,
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
        let (head, answer) = split_fixed_part::<ForwardedResponseBody>(body)?;
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

/// Encodes the body of [`Frame::RepeatedHeartbeats`](super::Frame::RepeatedHeartbeats): at most
/// [`MAX_ENTRIES`] heartbeats, repeated under the term.
pub(super) fn encode_repeated_heartbeats(term: Term, heartbeats: &[RepeatedHeartbeat]) -> Vec<u8> {
    let mut body = RepeatedHeartbeatsPrefix { term: term.get().into() }.as_bytes().to_vec();
    for heartbeat in heartbeats.iter().take(MAX_ENTRIES) {
        let entry = RepeatedHeartbeatEntry {
            machine: heartbeat.machine.get().into(),
            number: heartbeat.number.into(),
            sequence: heartbeat.sequence.into(),
        };
        body.extend_from_slice(entry.as_bytes());
    }
    body
}

pub(super) fn decode_repeated_heartbeats(
    body: &[u8],
) -> Result<(Term, Vec<RepeatedHeartbeat>), FrameError> {
    let (head, rest) = split_fixed_part::<RepeatedHeartbeatsPrefix>(body)?;
    let entries = entries::<RepeatedHeartbeatEntry>(rest)?;
    let heartbeats = entries.map(|entry| RepeatedHeartbeat {
        machine: MachineIndex(entry.machine.get()),
        number: entry.number.get(),
        sequence: entry.sequence.get(),
    });
    Ok((Term(head.term.get()), heartbeats.collect()))
}

/// Encodes the body of [`Frame::Invalidated`](super::Frame::Invalidated): at most [`MAX_ENTRIES`]
/// cache entries, of which the first has the invalidation number `first`.
pub(super) fn encode_invalidated(
    term: Term,
    first: u64,
    cache_entries: &[(MachineIndex, u64)],
) -> Vec<u8> {
    let head = InvalidatedPrefix { term: term.get().into(), first: first.into() };
    let mut body = head.as_bytes().to_vec();
    for &(machine, number) in cache_entries.iter().take(MAX_ENTRIES) {
        let entry = InvalidatedEntry { machine: machine.get().into(), number: number.into() };
        body.extend_from_slice(entry.as_bytes());
    }
    body
}

/// Term, number of the first invalidation, and the cache entries by machine and heartbeat number.
type InvalidatedEntries = (Term, u64, Vec<(MachineIndex, u64)>);

pub(super) fn decode_invalidated(body: &[u8]) -> Result<InvalidatedEntries, FrameError> {
    let (head, rest) = split_fixed_part::<InvalidatedPrefix>(body)?;
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
        let (body, _) = split_fixed_part::<DelegationRequestBody>(body)?;
        Ok(DelegationRequest {
            node: layout::required_name(&body.node)?,
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
        let (body, _) = split_fixed_part::<DelegationGrantedBody>(body)?;
        Ok(DelegationGranted {
            node: layout::required_name(&body.node)?,
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
