//! One message between nodes: a header with a magic number, a version, a kind and a length, then the kind's body.

use std::io;
use walnutlug_scheduler::leadership::fencing_token::Term;

use tokio::io::{AsyncRead, AsyncReadExt};
use walnutlug_scheduler::model::ids::MachineIndex;
use walnutlug_scheduler::model::job_spec::JobEnd;
use zerocopy::little_endian::{U16, U32};
use zerocopy::{FromBytes, Immutable, IntoBytes, KnownLayout, Unaligned};

use super::heartbeat_frames::{
    decode_invalidated, decode_repeated_heartbeats, encode_invalidated, encode_repeated_heartbeats,
    DelegationGranted, DelegationRequest, ForwardedHeartbeat, ForwardedResponse, RepeatedHeartbeat,
};
use super::job_frames::{CancellationLogEnd, Cancellations, CancellationsAck, JobBody};
use super::node_frames::{decode_machines, encode_machines, MachineAddress, NodeStatus};

const MAGIC: u32 = 0x4755_4c57;
const VERSION: u16 = 2;
/// Bytes of a body, at most.
pub(super) const MAX_BODY: usize = 4096;

#[derive(FromBytes, IntoBytes, KnownLayout, Immutable, Unaligned, Clone, Copy)]
#[repr(C)]
pub(super) struct Header {
    magic: U32,
    version: U16,
    kind: U16,
    length: U32,
}

/// The kinds' numbers on the wire. A version ignores the kinds that it doesn't know.
mod kind {
    pub(super) const STATUS: u16 = 1;
    pub(super) const PROGRESS: u16 = 2;
    pub(super) const ENDED: u16 = 3;
    pub(super) const NEW_JOB: u16 = 4;
    pub(super) const MACHINES: u16 = 6;
    /// New with job dependencies.
    pub(super) const LIMITS_LOWERED: u16 = 7;
    /// New with the watermark of cancellations, as are the next two.
    pub(super) const CANCELLATIONS: u16 = 8;
    pub(super) const CANCELLATIONS_ACK: u16 = 9;
    pub(super) const CANCELLATION_LOG_END: u16 = 10;
    /// New with heartbeats answered by followers, as are all that follow.
    pub(super) const FORWARDED_HEARTBEAT: u16 = 11;
    pub(super) const FORWARDED_RESPONSE: u16 = 12;
    pub(super) const REPEATED_HEARTBEATS: u16 = 13;
    pub(super) const DELEGATION_REQUEST: u16 = 14;
    pub(super) const DELEGATION_GRANTED: u16 = 15;
    pub(super) const INVALIDATED: u16 = 16;
}

/// Why no frame could be read. The connection is closed then.
#[derive(Debug, thiserror::Error)]
pub(crate) enum FrameError {
    /// The connection ended or failed, between two frames or within one.
    #[error("the connection ended: {0}")]
    Connection(#[from] io::Error),
    /// The bytes don't begin with the magic number.
    #[error("the magic number is {found:#x}")]
    BadMagic { found: u32 },
    /// The header is of another version of the protocol.
    #[error("the protocol's version is {found}")]
    UnknownVersion { found: u16 },
    /// The body is longer than any that a node sends.
    #[error("a body of {length} bytes is too long")]
    BodyTooLong { length: usize },
    /// The body is shorter than its kind's fixed part.
    #[error("a body of {length} bytes is shorter than {least}")]
    BodyTooShort { length: usize, least: usize },
    /// A list doesn't end with a whole entry.
    #[error("a list of {length} bytes has no whole number of entries of {entry_size}")]
    PartialEntry { length: usize, entry_size: usize },
    /// More machines than any node sends in one frame.
    #[error("a list of machines of {length} bytes is too long")]
    TooManyMachines { length: usize },
    /// A name is empty, no text, or no job's where a job is named.
    #[error("a name is invalid")]
    BadName,
    /// A job's end is neither done nor cancelled.
    #[error("{code} is no end of a job")]
    BadJobEnd { code: u8 },
}

/// One message between nodes.
#[derive(Debug, Clone, PartialEq)]
pub(crate) enum Frame {
    /// What a node says of itself.
    Status(NodeStatus),
    /// A job's counts of tasks, for display.
    Progress { job: String, done: u32, running: u32 },
    /// A job has ended.
    Ended { job: String, end: JobEnd },
    /// A job was accepted.
    NewJob { job: String },
    /// The sender found the key-value store at its lower limits. Whoever receives this only sends less.
    LimitsLowered,
    /// Where machines that report to the leader can be reached.
    Machines(Vec<MachineAddress>),
    /// A part of a node's log of cancellations.
    Cancellations(Cancellations),
    /// The acknowledgement of such parts.
    CancellationsAck(CancellationsAck),
    /// How far a node's log of cancellations goes.
    CancellationLogEnd(CancellationLogEnd),
    /// A worker's heartbeat on its way to the leader.
    ForwardedHeartbeat(ForwardedHeartbeat),
    /// The leader's answer to it.
    ForwardedResponse(ForwardedResponse),
    /// Machines that repeated their cached heartbeats to a follower, under that leader's term.
    RepeatedHeartbeats { term: Term, heartbeats: Vec<RepeatedHeartbeat> },
    /// A follower asks to answer heartbeats on the leader's behalf.
    DelegationRequest(DelegationRequest),
    /// The leader lets it.
    DelegationGranted(DelegationGranted),
    /// Cached heartbeats that are valid no more, with the number of the first.
    Invalidated { term: Term, first: u64, cache_entries: Vec<(MachineIndex, u64)> },
}

impl Frame {
    /// The frame's bytes, header and body.
    pub(crate) fn encode(&self) -> Vec<u8> {
        let (kind, body) = self.kind_and_body();
        let header = Header {
            magic: MAGIC.into(),
            version: VERSION.into(),
            kind: kind.into(),
            length: (body.len() as u32).into(),
        };
        [header.as_bytes(), &body].concat()
    }

    fn kind_and_body(&self) -> (u16, Vec<u8>) {
        match self {
            Frame::Status(status) => (kind::STATUS, status.encode()),
            Frame::Progress { job, done, running } => {
                (kind::PROGRESS, JobBody::new(job).with_counts(*done, *running).encode())
            }
            Frame::Ended { job, end } => (kind::ENDED, JobBody::new(job).with_end(*end).encode()),
            Frame::NewJob { job } => (kind::NEW_JOB, JobBody::new(job).encode()),
            Frame::LimitsLowered => (kind::LIMITS_LOWERED, Vec::new()),
            Frame::Machines(machines) => (kind::MACHINES, encode_machines(machines)),
            Frame::Cancellations(part) => (kind::CANCELLATIONS, part.encode()),
            Frame::CancellationsAck(ack) => (kind::CANCELLATIONS_ACK, ack.encode()),
            Frame::CancellationLogEnd(end) => (kind::CANCELLATION_LOG_END, end.encode()),
            Frame::ForwardedHeartbeat(frame) => (kind::FORWARDED_HEARTBEAT, frame.encode()),
            Frame::ForwardedResponse(frame) => (kind::FORWARDED_RESPONSE, frame.encode()),
            Frame::RepeatedHeartbeats { term, heartbeats } => {
                (kind::REPEATED_HEARTBEATS, encode_repeated_heartbeats(*term, heartbeats))
            }
            Frame::DelegationRequest(frame) => (kind::DELEGATION_REQUEST, frame.encode()),
            Frame::DelegationGranted(frame) => (kind::DELEGATION_GRANTED, frame.encode()),
            Frame::Invalidated { term, first, cache_entries } => {
                (kind::INVALIDATED, encode_invalidated(*term, *first, cache_entries))
            }
        }
    }

    /// The frame of that kind and body. `Ok(None)`: a kind of a later version, to be ignored.
    pub(super) fn decode(kind: u16, body: &[u8]) -> Result<Option<Frame>, FrameError> {
        let frame = match kind {
            kind::STATUS => Frame::Status(NodeStatus::decode(body)?),
            kind::PROGRESS => {
                let body = JobBody::decode(body)?;
                Frame::Progress { job: body.job()?, done: body.done(), running: body.running() }
            }
            kind::ENDED => {
                let body = JobBody::decode(body)?;
                Frame::Ended { job: body.job()?, end: body.end()? }
            }
            kind::NEW_JOB => Frame::NewJob { job: JobBody::decode(body)?.job()? },
            kind::MACHINES => Frame::Machines(decode_machines(body)?),
            kind::LIMITS_LOWERED => Frame::LimitsLowered,
            kind::CANCELLATIONS => Frame::Cancellations(Cancellations::decode(body)?),
            kind::CANCELLATIONS_ACK => Frame::CancellationsAck(CancellationsAck::decode(body)?),
            kind::CANCELLATION_LOG_END => {
                Frame::CancellationLogEnd(CancellationLogEnd::decode(body)?)
            }
            kind::FORWARDED_HEARTBEAT => {
                Frame::ForwardedHeartbeat(ForwardedHeartbeat::decode(body)?)
            }
            kind::FORWARDED_RESPONSE => Frame::ForwardedResponse(ForwardedResponse::decode(body)?),
            kind::REPEATED_HEARTBEATS => {
                let (term, heartbeats) = decode_repeated_heartbeats(body)?;
                Frame::RepeatedHeartbeats { term, heartbeats }
            }
            kind::DELEGATION_REQUEST => Frame::DelegationRequest(DelegationRequest::decode(body)?),
            kind::DELEGATION_GRANTED => Frame::DelegationGranted(DelegationGranted::decode(body)?),
            kind::INVALIDATED => {
                let (term, first, cache_entries) = decode_invalidated(body)?;
                Frame::Invalidated { term, first, cache_entries }
            }
            _ => return Ok(None),
        };
        Ok(Some(frame))
    }
}

/// Reads one frame. `Ok(None)`: one of a kind that this version doesn't know.
///
/// # Errors
/// If the connection ended, or the bytes are no frame.
pub(crate) async fn read_frame<R: AsyncRead + Unpin>(
    from: &mut R,
) -> Result<Option<Frame>, FrameError> {
    let mut head = [0u8; size_of::<Header>()];
    from.read_exact(&mut head).await?;
    let header: Header = zerocopy::transmute!(head);
    if header.magic.get() != MAGIC {
        return Err(FrameError::BadMagic { found: header.magic.get() });
    }
    if header.version.get() != VERSION {
        return Err(FrameError::UnknownVersion { found: header.version.get() });
    }
    let length = header.length.get() as usize;
    if length > MAX_BODY {
        return Err(FrameError::BodyTooLong { length });
    }
    let mut body = vec![0u8; length];
    from.read_exact(&mut body).await?;
    Frame::decode(header.kind.get(), &body)
}
