//! The frames with which followers answer workers on the leader's behalf; what they mean is told in
//! `walnutlug_scheduler::reconciliation::delegation`. A version that doesn't know them passes them over.

use walnutlug_scheduler::leadership::fencing_token::{FencingToken, Term};
use walnutlug_scheduler::model::ids::MachineIndex;
use walnutlug_scheduler::reconciliation::delegation::{CacheGrant, DelegationGrant};
use walnutlug_scheduler::reconciliation::repeated_heartbeats::CachedHeartbeat;
use walnutlug_scheduler::time::TimeDelta;
use zerocopy::little_endian::{U16, U32, U64};
use zerocopy::{FromBytes, Immutable, IntoBytes, KnownLayout, Unaligned};

use super::{name_field, name_of, MOST};

/// Bytes of a heartbeat or an answer that one frame takes; a worker with more to say goes to the leader.
pub const MAX_CARRIED: usize = 3_500;
/// Machines in one frame.
pub const MAX_ENTRIES: usize = 150;

const _: () = assert!(size_of::<AnswerBody>() + MAX_CARRIED < MOST);
const _: () = assert!(
    size_of::<RepeatedHeartbeatsBody>() + MAX_ENTRIES * size_of::<RepeatedHeartbeatEntry>() < MOST
);

/// A worker's heartbeat on its way to the leader.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct ForwardedHeartbeat {
    /// The follower, and which life of it asks.
    pub node: String,
    pub incarnation: u64,
    /// Names the answer.
    pub number: u64,
    /// As the worker sent it.
    pub heartbeat: Vec<u8>,
}

/// The leader's answer to it.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct ForwardedResponse {
    pub asker_incarnation: u64,
    pub number: u64,
    /// The body for the worker; `None`: the leader doesn't answer this one.
    pub answer: Option<Vec<u8>>,
    /// If repetitions of the heartbeat may be answered without asking.
    pub cache_entry: Option<CacheGrant>,
}

/// A machine that repeated its settled report to a follower.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct RepeatedHeartbeat {
    pub machine: MachineIndex,
    pub number: u64,
    pub sequence: u64,
}

/// A follower asks the leader to be granted its share of the workers.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct DelegationRequest {
    pub node: String,
    pub incarnation: u64,
    pub number: u64,
    /// Workers whose connections the follower holds.
    pub workers: u32,
}

/// The leader's word, and how many workers the follower should send to which other one.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct DelegationGranted {
    pub node: String,
    pub asker_incarnation: u64,
    pub grant: DelegationGrant,
    pub spare: u16,
    pub spare_to: Option<String>,
}

#[derive(FromBytes, IntoBytes, KnownLayout, Immutable, Unaligned, Clone, Copy)]
#[repr(C)]
struct ForwardBody {
    node: [u8; 64],
    incarnation: U64,
    number: U64,
}

#[derive(FromBytes, IntoBytes, KnownLayout, Immutable, Unaligned, Clone, Copy)]
#[repr(C)]
struct AnswerBody {
    asker_incarnation: U64,
    number: U64,
    answered: u8,
    cached: u8,
    term: U64,
    machine: U32,
    settled_number: U64,
    token: U64,
    valid_for_us: U64,
    invalidated: U64,
}

#[derive(FromBytes, IntoBytes, KnownLayout, Immutable, Unaligned, Clone, Copy)]
#[repr(C)]
struct RepeatedHeartbeatsBody {
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
struct AskBody {
    node: [u8; 64],
    incarnation: U64,
    number: U64,
    workers: U32,
}

#[derive(FromBytes, IntoBytes, KnownLayout, Immutable, Unaligned, Clone, Copy)]
#[repr(C)]
struct GrantBody {
    node: [u8; 64],
    asker_incarnation: U64,
    term: U64,
    asked: U64,
    unknown_for_us: U64,
    invalidated: U64,
    spare: U16,
    spare_to: [u8; 64],
}

#[derive(FromBytes, IntoBytes, KnownLayout, Immutable, Unaligned, Clone, Copy)]
#[repr(C)]
struct InvalidatedBody {
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
        let head = ForwardBody {
            node: name_field(&self.node),
            incarnation: self.incarnation.into(),
            number: self.number.into(),
        };
        [head.as_bytes(), &self.heartbeat].concat()
    }

    pub(super) fn decode(body: &[u8]) -> Result<ForwardedHeartbeat, &'static str> {
        let (head, heartbeat) = ForwardBody::read_from_prefix(body).map_err(|_| "short report")?;
        Ok(ForwardedHeartbeat {
            node: name_of(&head.node).ok_or("bad name")?,
            incarnation: head.incarnation.get(),
            number: head.number.get(),
            heartbeat: heartbeat.to_vec(),
        })
    }
}

impl ForwardedResponse {
    pub(super) fn encode(&self) -> Vec<u8> {
        let cache_entry = self.cache_entry.as_ref();
        let cached = cache_entry.map(|m| m.cached);
        let head = AnswerBody {
            asker_incarnation: self.asker_incarnation.into(),
            number: self.number.into(),
            answered: u8::from(self.answer.is_some()),
            cached: u8::from(cache_entry.is_some()),
            term: cached.map_or(0, |s| s.term.get()).into(),
            machine: cached.map_or(0, |s| s.machine.get()).into(),
            settled_number: cached.map_or(0, |s| s.number).into(),
            token: cache_entry.map_or(0, |m| m.token.get()).into(),
            valid_for_us: cache_entry.map_or(0, |m| m.valid_for.0).into(),
            invalidated: cache_entry.map_or(0, |m| m.invalidated).into(),
        };
        [head.as_bytes(), self.answer.as_deref().unwrap_or_default()].concat()
    }

    pub(super) fn decode(body: &[u8]) -> Result<ForwardedResponse, &'static str> {
        let (head, answer) = AnswerBody::read_from_prefix(body).map_err(|_| "short answer")?;
        let cache_entry = CacheGrant {
            cached: CachedHeartbeat {
                term: Term(head.term.get()),
                machine: MachineIndex(head.machine.get()),
                number: head.settled_number.get(),
            },
            token: FencingToken(head.token.get()),
            valid_for: TimeDelta(head.valid_for_us.get()),
            invalidated: head.invalidated.get(),
        };
        Ok(ForwardedResponse {
            asker_incarnation: head.asker_incarnation.get(),
            number: head.number.get(),
            answer: (head.answered != 0).then(|| answer.to_vec()),
            cache_entry: (head.cached != 0).then_some(cache_entry),
        })
    }
}

/// The body of a frame of machines that were heard under the term.
pub(super) fn encode_repeated_heartbeats(term: Term, heard: &[RepeatedHeartbeat]) -> Vec<u8> {
    let mut body = RepeatedHeartbeatsBody { term: term.get().into() }.as_bytes().to_vec();
    for one in heard.iter().take(MAX_ENTRIES) {
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
) -> Result<(Term, Vec<RepeatedHeartbeat>), &'static str> {
    let (head, rest) =
        RepeatedHeartbeatsBody::read_from_prefix(body).map_err(|_| "short list of machines")?;
    let entries = entries::<RepeatedHeartbeatEntry>(rest)?;
    let heard = entries.map(|entry| RepeatedHeartbeat {
        machine: MachineIndex(entry.machine.get()),
        number: entry.number.get(),
        sequence: entry.sequence.get(),
    });
    Ok((Term(head.term.get()), heard.collect()))
}

/// The body of a frame of withdrawn marks, with the number of the first.
pub(super) fn encode_invalidated(
    term: Term,
    first: u64,
    cache_entries: &[(MachineIndex, u64)],
) -> Vec<u8> {
    let head = InvalidatedBody { term: term.get().into(), first: first.into() };
    let mut body = head.as_bytes().to_vec();
    for &(machine, number) in cache_entries.iter().take(MAX_ENTRIES) {
        let entry = InvalidatedEntry { machine: machine.get().into(), number: number.into() };
        body.extend_from_slice(entry.as_bytes());
    }
    body
}

/// The term, the number of the first, and the marks.
type InvalidatedEntries = (Term, u64, Vec<(MachineIndex, u64)>);

pub(super) fn decode_invalidated(body: &[u8]) -> Result<InvalidatedEntries, &'static str> {
    let (head, rest) =
        InvalidatedBody::read_from_prefix(body).map_err(|_| "short list of marks")?;
    let cache_entries = entries::<InvalidatedEntry>(rest)?;
    let cache_entries = cache_entries
        .map(|entry| (MachineIndex(entry.machine.get()), entry.number.get()))
        .collect();
    Ok((Term(head.term.get()), head.first.get(), cache_entries))
}

impl DelegationRequest {
    pub(super) fn encode(&self) -> Vec<u8> {
        let body = AskBody {
            node: name_field(&self.node),
            incarnation: self.incarnation.into(),
            number: self.number.into(),
            workers: self.workers.into(),
        };
        body.as_bytes().to_vec()
    }

    pub(super) fn decode(body: &[u8]) -> Result<DelegationRequest, &'static str> {
        let (body, _) = AskBody::read_from_prefix(body).map_err(|_| "short question")?;
        Ok(DelegationRequest {
            node: name_of(&body.node).ok_or("bad name")?,
            incarnation: body.incarnation.get(),
            number: body.number.get(),
            workers: body.workers.get(),
        })
    }
}

impl DelegationGranted {
    pub(super) fn encode(&self) -> Vec<u8> {
        let body = GrantBody {
            node: name_field(&self.node),
            asker_incarnation: self.asker_incarnation.into(),
            term: self.grant.term.get().into(),
            asked: self.grant.asked.into(),
            unknown_for_us: self.grant.unknown_for.0.into(),
            invalidated: self.grant.invalidated.into(),
            spare: self.spare.into(),
            spare_to: name_field(self.spare_to.as_deref().unwrap_or_default()),
        };
        body.as_bytes().to_vec()
    }

    pub(super) fn decode(body: &[u8]) -> Result<DelegationGranted, &'static str> {
        let (body, _) = GrantBody::read_from_prefix(body).map_err(|_| "short grant")?;
        Ok(DelegationGranted {
            node: name_of(&body.node).ok_or("bad name")?,
            asker_incarnation: body.asker_incarnation.get(),
            grant: DelegationGrant {
                term: Term(body.term.get()),
                asked: body.asked.get(),
                unknown_for: TimeDelta(body.unknown_for_us.get()),
                invalidated: body.invalidated.get(),
            },
            spare: body.spare.get(),
            spare_to: name_of(&body.spare_to),
        })
    }
}

/// Entries of one size, up to the end of the frame.
fn entries<T: FromBytes + KnownLayout + Immutable>(
    bytes: &[u8],
) -> Result<impl Iterator<Item = T> + '_, &'static str> {
    if !bytes.len().is_multiple_of(size_of::<T>()) {
        return Err("odd list");
    }
    Ok(bytes.chunks_exact(size_of::<T>()).filter_map(|entry| T::read_from_bytes(entry).ok()))
}
