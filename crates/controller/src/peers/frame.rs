//! Encoding of messages between nodes: a header with a magic number, a version, a kind and a
//! length, followed by a body whose layout depends on the kind.

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
use super::node_frames::{decode_machines, encode_machines, HeldJobs, MachineAddress, NodeStatus};

const MAGIC: u32 = 0x4755_4c57;
const VERSION: u16 = 2;
/// Maximum size of a frame's body, in bytes.
pub(super) const MAX_BODY_BYTES: usize = 4096;

#[derive(FromBytes, IntoBytes, KnownLayout, Immutable, Unaligned, Clone, Copy)]
#[repr(C)]
pub(super) struct Header {
    magic: U32,
    version: U16,
    kind: U16,
    length: U32,
}

/// Numbers of the frame kinds on the wire. A node ignores kinds that its version doesn't know.
mod kind {
    pub(super) const STATUS: u16 = 1;
    pub(super) const PROGRESS: u16 = 2;
    pub(super) const ENDED: u16 = 3;
    pub(super) const NEW_JOB: u16 = 4;
    pub(super) const MACHINES: u16 = 6;
    /// Introduced with job dependencies.
    pub(super) const LIMITS_LOWERED: u16 = 7;
    /// Introduced with the watermark of cancellations, like the next two.
    pub(super) const CANCELLATIONS: u16 = 8;
    pub(super) const CANCELLATIONS_ACK: u16 = 9;
    pub(super) const CANCELLATION_LOG_END: u16 = 10;
    /// Introduced with heartbeats answered by followers, like all that follow.
    pub(super) const FORWARDED_HEARTBEAT: u16 = 11;
    pub(super) const FORWARDED_RESPONSE: u16 = 12;
    pub(super) const REPEATED_HEARTBEATS: u16 = 13;
    pub(super) const DELEGATION_REQUEST: u16 = 14;
    pub(super) const DELEGATION_GRANTED: u16 = 15;
    pub(super) const INVALIDATED: u16 = 16;
    /// Introduced when refusals for the rate no longer lowered the limits for sizes.
    pub(super) const RATES_LOWERED: u16 = 17;
    /// Introduced when acceptance became bounded by the leader's memory.
    pub(super) const HELD_JOBS: u16 = 18;
}

/// Reason why a frame can't be read. The connection is closed then.
#[derive(Debug, thiserror::Error)]
pub(crate) enum FrameError {
    /// The connection was closed or failed, between two frames or within one.
    #[error("connection closed or failed: {0}")]
    Connection(#[from] io::Error),
    /// The header doesn't start with the magic number.
    #[error("unexpected magic number {found:#x}")]
    BadMagic { found: u32 },
    /// The header names another version of the protocol.
    #[error("unsupported protocol version {found}")]
    UnknownVersion { found: u16 },
    /// The header announces a body longer than [`MAX_BODY_BYTES`].
    #[error("frame body of {length} bytes exceeds the maximum size")]
    BodyTooLong { length: usize },
    /// The body is shorter than the fixed part of its kind.
    #[error("frame body of {length} bytes is shorter than its fixed part of {min_length} bytes")]
    BodyTooShort { length: usize, min_length: usize },
    /// The length of a list is not a multiple of its entry size.
    #[error("list of {length} bytes does not consist of whole entries of {entry_size} bytes")]
    PartialEntry { length: usize, entry_size: usize },
    /// A list of machines is longer than any that a node sends.
    #[error("list of machines of {length} bytes exceeds the maximum size")]
    TooManyMachines { length: usize },
    /// A name field is empty or not valid UTF-8, or holds no job id where one is required.
    #[error("name field is empty, not UTF-8, or not a job id")]
    BadName,
    /// The code for a job's end stands neither for done nor for cancelled.
    #[error("unknown code {code} for the end of a job")]
    BadJobEnd { code: u8 },
}

/// A message between nodes.
#[derive(Debug, Clone, PartialEq)]
pub(crate) enum Frame {
    /// The status of the sender, such as its term and whether it reaches the store.
    Status(NodeStatus),
    /// Task counts of a job, which are only displayed.
    Progress { job: String, done: u32, running: u32 },
    /// A job has ended, either done or cancelled.
    Ended { job: String, end: JobEnd },
    /// A job was accepted.
    NewJob { job: String },
    /// The key-value store enforces its lower, announced limits at the sender. A node that receives
    /// this only reduces what it sends.
    LimitsLowered,
    /// The key-value store enforces its lower, announced rates at the sender, which has had no
    /// refusal for size.
    RatesLowered,
    /// Memory that the sender's jobs may take; sent by the leader.
    HeldJobs(HeldJobs),
    /// Addresses of machines that report to the leader.
    Machines(Vec<MachineAddress>),
    /// Consecutive entries of a node's cancellation log.
    Cancellations(Cancellations),
    /// Acknowledges entries of a cancellation log.
    CancellationsAck(CancellationsAck),
    /// The number of the last entry in a node's cancellation log.
    CancellationLogEnd(CancellationLogEnd),
    /// A worker's heartbeat that a follower forwards to the leader.
    ForwardedHeartbeat(ForwardedHeartbeat),
    /// The leader's response to a forwarded heartbeat.
    ForwardedResponse(ForwardedResponse),
    /// Machines that repeated their cached heartbeats to a follower, under the term of the leader
    /// that this is sent to.
    RepeatedHeartbeats { term: Term, heartbeats: Vec<RepeatedHeartbeat> },
    /// Asks the leader to let a follower answer heartbeats on its behalf.
    DelegationRequest(DelegationRequest),
    /// Lets a follower answer heartbeats on the leader's behalf.
    DelegationGranted(DelegationGranted),
    /// Invalidates cached heartbeats, given by machine and heartbeat number. `first` is the number
    /// of the first invalidation.
    Invalidated { term: Term, first: u64, cache_entries: Vec<(MachineIndex, u64)> },
}

impl Frame {
    /// Encodes the header and the body.
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
            Frame::RatesLowered => (kind::RATES_LOWERED, Vec::new()),
            Frame::HeldJobs(held) => (kind::HELD_JOBS, held.encode()),
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

    /// Decodes a body of the given kind. Returns `Ok(None)` for an unknown kind, which belongs to a
    /// later version and is ignored.
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
            kind::RATES_LOWERED => Frame::RatesLowered,
            kind::HELD_JOBS => Frame::HeldJobs(HeldJobs::decode(body)?),
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

/// Reads one frame. Returns `Ok(None)` for a frame of a kind that this version doesn't know.
///
/// # Errors
///
/// If the connection ends or the bytes are not a valid frame.
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
    if length > MAX_BODY_BYTES {
        return Err(FrameError::BodyTooLong { length });
    }
    let mut body = vec![0u8; length];
    from.read_exact(&mut body).await?;
    Frame::decode(header.kind.get(), &body)
}
