//! What the nodes tell each other: fixed layouts, little-endian, behind a header with a magic
//! number, a version and a length. Losing or delaying any of it costs time and never a rule, so a
//! frame that can't be read simply closes its connection. All of it is hints but cancellations, which
//! are told only once they are stored: those are facts, acknowledged and repeated
//! (`walnutlug_scheduler::leadership::watermark`).

use std::cell::Cell;
use std::net::SocketAddrV4;
use std::rc::Rc;
use std::time::Duration;

use tokio::io::{AsyncRead, AsyncReadExt, AsyncWriteExt, BufReader};
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::mpsc;
use tokio::time::timeout;
use tracing::debug;
use walnutlug_scheduler::leadership::fencing_token::Term;
use walnutlug_scheduler::leadership::watermark::MAX_TOLD;
use walnutlug_scheduler::model::ids::MachineIndex;
use walnutlug_scheduler::model::job_spec::JobEnd;
use walnutlug_scheduler::protocol::users::is_job_id;
use zerocopy::little_endian::{U16, U32, U64};
use zerocopy::{FromBytes, Immutable, IntoBytes, KnownLayout, Unaligned};

use crate::node::Node;

mod heartbeat_frames;
use heartbeat_frames::{
    decode_invalidated, decode_repeated_heartbeats, encode_invalidated, encode_repeated_heartbeats,
};
pub use heartbeat_frames::{
    DelegationGranted, DelegationRequest, ForwardedHeartbeat, ForwardedResponse, RepeatedHeartbeat,
    MAX_CARRIED, MAX_ENTRIES,
};

/// Bytes of a job's name; `is_job_id` allows fewer.
const JOB_BYTES: usize = 32;
const MAGIC: u32 = 0x4755_4c57;
const VERSION: u16 = 2;
const MOST: usize = 4096;
const MAX_WRITE: usize = 32 * 1024;
/// Connections from peers at once, with room for stale ones.
pub const MAX_OPEN: u32 = 64;

#[derive(FromBytes, IntoBytes, KnownLayout, Immutable, Unaligned, Clone, Copy)]
#[repr(C)]
struct Header {
    magic: U32,
    version: U16,
    kind: U16,
    length: U32,
}

const KIND_STATUS: u16 = 1;
const KIND_PROGRESS: u16 = 2;
const KIND_ENDED: u16 = 3;
const KIND_NEW_JOB: u16 = 4;
const KIND_MACHINES: u16 = 6;
/// New with job chains; a version that doesn't know it passes it over.
const KIND_LIMITS_LOWERED: u16 = 7;
/// New with the watermark of cancellations; a version that doesn't know them passes them over.
const KIND_CANCELLATIONS: u16 = 8;
const KIND_CANCELLATIONS_ACK: u16 = 9;
const KIND_CANCELLATION_LOG_END: u16 = 10;
/// New with reports answered by followers.
const KIND_FORWARDED_HEARTBEAT: u16 = 11;
const KIND_FORWARDED_RESPONSE: u16 = 12;
const KIND_REPEATED_HEARTBEATS: u16 = 13;
const KIND_DELEGATION_REQUEST: u16 = 14;
const KIND_DELEGATION_GRANTED: u16 = 15;
const KIND_INVALIDATED: u16 = 16;

#[derive(FromBytes, IntoBytes, KnownLayout, Immutable, Unaligned, Clone, Copy)]
#[repr(C)]
struct StatusBody {
    term: U64,
    name: [u8; 64],
    leading: u8,
    store_reachable: u8,
    /// Worker reports answered with a redirect in the last seconds.
    redirected: U16,
    /// Which life of the node speaks, and the how manieth time.
    incarnation: U64,
    count: U64,
}

#[derive(FromBytes, IntoBytes, KnownLayout, Immutable, Unaligned, Clone, Copy)]
#[repr(C)]
struct JobBody {
    name: [u8; JOB_BYTES],
    done: U32,
    running: U32,
    end: u8,
}

/// Before the names in a part of a node's log of cancellations.
#[derive(FromBytes, IntoBytes, KnownLayout, Immutable, Unaligned, Clone, Copy)]
#[repr(C)]
struct CancellationsBody {
    node: [u8; 64],
    incarnation: U64,
    first: U64,
}

#[derive(FromBytes, IntoBytes, KnownLayout, Immutable, Unaligned, Clone, Copy)]
#[repr(C)]
struct CancellationsAckBody {
    node: [u8; 64],
    incarnation: U64,
    log_incarnation: U64,
    up_to: U64,
}

#[derive(FromBytes, IntoBytes, KnownLayout, Immutable, Unaligned, Clone, Copy)]
#[repr(C)]
struct CancellationLogEndBody {
    node: [u8; 64],
    incarnation: U64,
    last: U64,
    asker_incarnation: U64,
    asked: U64,
}

/// One machine of many in a frame.
#[derive(FromBytes, IntoBytes, KnownLayout, Immutable, Unaligned, Clone, Copy)]
#[repr(C)]
struct MachineBody {
    name: [u8; 26],
    ip: U32,
    port: U16,
}

/// Machines in one frame. One frame each, the hints of a large fleet overran the queue, and a
/// failover asked only a part of it.
pub const MAX_MACHINES: usize = 120;

/// One message between nodes.
#[derive(Debug, Clone, PartialEq)]
pub enum Frame {
    /// Who speaks, whether it leads under what term, and whether the key-value store serves it.
    Status {
        name: String,
        term: Term,
        leading: bool,
        store_reachable: bool,
        redirected: u16,
        incarnation: u64,
        count: u64,
    },
    Progress {
        job: String,
        done: u32,
        running: u32,
    },
    Ended {
        job: String,
        end: JobEnd,
    },
    NewJob {
        job: String,
    },
    /// The key-value store has come down to its next limits, as the speaker met with. Whoever hears it
    /// only sends less.
    LimitsLowered,
    /// Where machines that report to the leader can be reached.
    Machines(Vec<(String, SocketAddrV4)>),
    /// A part of the log of cancellations that this life of the node has told, from that number on.
    Cancellations {
        node: String,
        incarnation: u64,
        first: u64,
        jobs: Vec<String>,
    },
    /// All of that life's log up to the number is here; and in which life of the reader.
    CancellationsAck {
        node: String,
        incarnation: u64,
        log_incarnation: u64,
        up_to: u64,
    },
    /// To a leader's status, named by its life and count: how far this node's log goes by now.
    CancellationLogEnd {
        node: String,
        incarnation: u64,
        last: u64,
        asker_incarnation: u64,
        asked: u64,
    },
    ForwardedHeartbeat(ForwardedHeartbeat),
    ForwardedResponse(ForwardedResponse),
    /// Machines that repeated their settled reports to a follower, under that leader's term.
    RepeatedHeartbeats {
        term: Term,
        heard: Vec<RepeatedHeartbeat>,
    },
    DelegationRequest(DelegationRequest),
    DelegationGranted(DelegationGranted),
    /// Marks of settled reports that hold no more, with the number of the first.
    Invalidated {
        term: Term,
        first: u64,
        cache_entries: Vec<(MachineIndex, u64)>,
    },
}

fn name_field<const N: usize>(name: &str) -> [u8; N] {
    let mut field = [0u8; N];
    let n = name.len().min(N);
    field[..n].copy_from_slice(&name.as_bytes()[..n]);
    field
}

fn name_of(field: &[u8]) -> Option<String> {
    let end = field.iter().position(|&b| b == 0).unwrap_or(field.len());
    std::str::from_utf8(&field[..end]).ok().filter(|s| !s.is_empty()).map(str::to_owned)
}

impl Frame {
    pub fn encode(&self) -> Vec<u8> {
        let job_body = |job: &str, done: u32, running: u32, end: u8| JobBody {
            name: name_field(job),
            done: done.into(),
            running: running.into(),
            end,
        };
        let (kind, body) = match self {
            Frame::Status {
                name,
                term,
                leading,
                store_reachable,
                redirected,
                incarnation,
                count,
            } => {
                let body = StatusBody {
                    term: term.get().into(),
                    name: name_field(name),
                    leading: u8::from(*leading),
                    store_reachable: u8::from(*store_reachable),
                    redirected: (*redirected).into(),
                    incarnation: (*incarnation).into(),
                    count: (*count).into(),
                };
                (KIND_STATUS, body.as_bytes().to_vec())
            }
            Frame::Progress { job, done, running } => {
                (KIND_PROGRESS, job_body(job, *done, *running, 0).as_bytes().to_vec())
            }
            Frame::Ended { job, end } => {
                let code = if *end == JobEnd::Done { 1 } else { 2 };
                (KIND_ENDED, job_body(job, 0, 0, code).as_bytes().to_vec())
            }
            Frame::Machines(list) => {
                let mut body = Vec::with_capacity(list.len() * size_of::<MachineBody>());
                // A longer name than any cloud gave so far has no place here and is asked later.
                for (name, addr) in list.iter().take(MAX_MACHINES).filter(|m| m.0.len() <= 26) {
                    let entry = MachineBody {
                        name: name_field(name),
                        ip: u32::from(*addr.ip()).into(),
                        port: addr.port().into(),
                    };
                    body.extend_from_slice(entry.as_bytes());
                }
                (KIND_MACHINES, body)
            }
            Frame::Cancellations { node, incarnation, first, jobs } => {
                let head = CancellationsBody {
                    node: name_field(node),
                    incarnation: (*incarnation).into(),
                    first: (*first).into(),
                };
                let mut body = head.as_bytes().to_vec();
                for job in jobs.iter().take(MAX_TOLD) {
                    body.extend_from_slice(&name_field::<JOB_BYTES>(job));
                }
                (KIND_CANCELLATIONS, body)
            }
            Frame::CancellationsAck { node, incarnation, log_incarnation, up_to } => {
                let body = CancellationsAckBody {
                    node: name_field(node),
                    incarnation: (*incarnation).into(),
                    log_incarnation: (*log_incarnation).into(),
                    up_to: (*up_to).into(),
                };
                (KIND_CANCELLATIONS_ACK, body.as_bytes().to_vec())
            }
            Frame::CancellationLogEnd { node, incarnation, last, asker_incarnation, asked } => {
                let body = CancellationLogEndBody {
                    node: name_field(node),
                    incarnation: (*incarnation).into(),
                    last: (*last).into(),
                    asker_incarnation: (*asker_incarnation).into(),
                    asked: (*asked).into(),
                };
                (KIND_CANCELLATION_LOG_END, body.as_bytes().to_vec())
            }
            Frame::ForwardedHeartbeat(frame) => (KIND_FORWARDED_HEARTBEAT, frame.encode()),
            Frame::ForwardedResponse(frame) => (KIND_FORWARDED_RESPONSE, frame.encode()),
            Frame::RepeatedHeartbeats { term, heard } => {
                (KIND_REPEATED_HEARTBEATS, encode_repeated_heartbeats(*term, heard))
            }
            Frame::DelegationRequest(frame) => (KIND_DELEGATION_REQUEST, frame.encode()),
            Frame::DelegationGranted(frame) => (KIND_DELEGATION_GRANTED, frame.encode()),
            Frame::Invalidated { term, first, cache_entries } => {
                (KIND_INVALIDATED, encode_invalidated(*term, *first, cache_entries))
            }
            Frame::LimitsLowered => (KIND_LIMITS_LOWERED, Vec::new()),
            Frame::NewJob { job } => (KIND_NEW_JOB, job_body(job, 0, 0, 0).as_bytes().to_vec()),
        };
        let header = Header {
            magic: MAGIC.into(),
            version: VERSION.into(),
            kind: kind.into(),
            length: (body.len() as u32).into(),
        };
        let mut out = header.as_bytes().to_vec();
        out.extend_from_slice(&body);
        out
    }

    /// `Ok(None)`: a kind of a later version, to be passed over.
    fn decode(kind: u16, body: &[u8]) -> Result<Option<Frame>, &'static str> {
        match kind {
            KIND_STATUS => {
                let (b, _) = StatusBody::read_from_prefix(body).map_err(|_| "short status")?;
                Ok(Some(Frame::Status {
                    name: name_of(&b.name).ok_or("bad name")?,
                    term: Term(b.term.get()),
                    leading: b.leading != 0,
                    store_reachable: b.store_reachable != 0,
                    redirected: b.redirected.get(),
                    incarnation: b.incarnation.get(),
                    count: b.count.get(),
                }))
            }
            KIND_MACHINES => {
                let size = size_of::<MachineBody>();
                if !body.len().is_multiple_of(size) || body.len() > MAX_MACHINES * size {
                    return Err("odd list of machines");
                }
                let mut list = Vec::with_capacity(body.len() / size);
                for entry in body.chunks_exact(size) {
                    let b = MachineBody::read_from_bytes(entry).map_err(|_| "short machine")?;
                    let addr = SocketAddrV4::new(b.ip.get().into(), b.port.get());
                    list.push((name_of(&b.name).ok_or("bad name")?, addr));
                }
                Ok(Some(Frame::Machines(list)))
            }
            KIND_PROGRESS | KIND_ENDED | KIND_NEW_JOB => {
                let (b, _) = JobBody::read_from_prefix(body).map_err(|_| "short job frame")?;
                let job = name_of(&b.name).ok_or("bad name")?;
                Ok(Some(match (kind, b.end) {
                    (KIND_PROGRESS, _) => {
                        Frame::Progress { job, done: b.done.get(), running: b.running.get() }
                    }
                    (KIND_NEW_JOB, _) => Frame::NewJob { job },
                    (_, 1) => Frame::Ended { job, end: JobEnd::Done },
                    (_, 2) => Frame::Ended { job, end: JobEnd::Cancelled },
                    _ => return Err("bad end"),
                }))
            }
            KIND_CANCELLATIONS => {
                let (b, names) =
                    CancellationsBody::read_from_prefix(body).map_err(|_| "short list of jobs")?;
                if !names.len().is_multiple_of(JOB_BYTES) {
                    return Err("odd list of jobs");
                }
                let mut jobs = Vec::with_capacity(names.len() / JOB_BYTES);
                for name in names.chunks_exact(JOB_BYTES) {
                    // These are acted on: a name that no job has is no cancellation.
                    let job = name_of(name).filter(|n| is_job_id(n));
                    jobs.push(job.ok_or("bad job name")?);
                }
                Ok(Some(Frame::Cancellations {
                    node: name_of(&b.node).ok_or("bad name")?,
                    incarnation: b.incarnation.get(),
                    first: b.first.get(),
                    jobs,
                }))
            }
            KIND_CANCELLATIONS_ACK => {
                let (b, _) =
                    CancellationsAckBody::read_from_prefix(body).map_err(|_| "short receipt")?;
                Ok(Some(Frame::CancellationsAck {
                    node: name_of(&b.node).ok_or("bad name")?,
                    incarnation: b.incarnation.get(),
                    log_incarnation: b.log_incarnation.get(),
                    up_to: b.up_to.get(),
                }))
            }
            KIND_CANCELLATION_LOG_END => {
                let (b, _) =
                    CancellationLogEndBody::read_from_prefix(body).map_err(|_| "short answer")?;
                Ok(Some(Frame::CancellationLogEnd {
                    node: name_of(&b.node).ok_or("bad name")?,
                    incarnation: b.incarnation.get(),
                    last: b.last.get(),
                    asker_incarnation: b.asker_incarnation.get(),
                    asked: b.asked.get(),
                }))
            }
            KIND_FORWARDED_HEARTBEAT => {
                Ok(Some(Frame::ForwardedHeartbeat(ForwardedHeartbeat::decode(body)?)))
            }
            KIND_FORWARDED_RESPONSE => {
                Ok(Some(Frame::ForwardedResponse(ForwardedResponse::decode(body)?)))
            }
            KIND_REPEATED_HEARTBEATS => {
                let (term, heard) = decode_repeated_heartbeats(body)?;
                Ok(Some(Frame::RepeatedHeartbeats { term, heard }))
            }
            KIND_DELEGATION_REQUEST => {
                Ok(Some(Frame::DelegationRequest(DelegationRequest::decode(body)?)))
            }
            KIND_DELEGATION_GRANTED => {
                Ok(Some(Frame::DelegationGranted(DelegationGranted::decode(body)?)))
            }
            KIND_INVALIDATED => {
                let (term, first, cache_entries) = decode_invalidated(body)?;
                Ok(Some(Frame::Invalidated { term, first, cache_entries }))
            }
            KIND_LIMITS_LOWERED => Ok(Some(Frame::LimitsLowered)),
            _ => Ok(None),
        }
    }
}

/// Reads one frame. `Ok(None)`: one of a kind that this version doesn't know.
pub(crate) async fn read_frame<R: AsyncRead + Unpin>(
    from: &mut R,
) -> Result<Option<Frame>, &'static str> {
    let mut head = [0u8; size_of::<Header>()];
    from.read_exact(&mut head).await.map_err(|_| "closed")?;
    let header = Header::read_from_bytes(&head).map_err(|_| "bad header")?;
    if header.magic.get() != MAGIC {
        return Err("bad magic number");
    }
    if header.version.get() != VERSION {
        return Err("unknown version");
    }
    let length = header.length.get() as usize;
    if length > MOST {
        return Err("frame too long");
    }
    let mut body = vec![0u8; length];
    from.read_exact(&mut body).await.map_err(|_| "cut frame")?;
    Frame::decode(header.kind.get(), &body)
}

/// Counts a connection as closed when its task ends, however it ends.
struct Closed(Rc<Cell<u32>>);

impl Drop for Closed {
    fn drop(&mut self) {
        self.0.set(self.0.get() - 1);
    }
}

/// Takes frames from other nodes.
pub async fn listen(node: Rc<Node>, listener: TcpListener) {
    let open = Rc::new(Cell::new(0));
    loop {
        let Ok((stream, _)) = listener.accept().await else {
            tokio::time::sleep(Duration::from_millis(100)).await;
            continue;
        };
        if open.get() >= MAX_OPEN {
            continue;
        }
        open.set(open.get() + 1);
        let open = open.clone();
        let node = node.clone();
        tokio::task::spawn_local(async move {
            let _closed = Closed(open);
            // Frames come in bunches; each system call is paid for.
            let mut stream = BufReader::with_capacity(MOST, stream);
            loop {
                match timeout(Duration::from_secs(30), read_frame(&mut stream)).await {
                    Ok(Ok(Some(frame))) => node.peer_frame(frame),
                    Ok(Ok(None)) => {}
                    Ok(Err(why)) => {
                        debug!("peer connection closed: {why}");
                        return;
                    }
                    Err(_) => return,
                }
            }
        });
    }
}

/// Sends what is queued for one peer over a connection that is made anew when it breaks. What
/// can't be sent is dropped: it was only a hint.
pub async fn run_sender(addr: std::net::SocketAddrV4, mut queue: mpsc::Receiver<Rc<Vec<u8>>>) {
    let mut stream: Option<TcpStream> = None;
    let patience = Duration::from_secs(1);
    while let Some(first) = queue.recv().await {
        // What has queued up goes out in one piece.
        let mut message = first.to_vec();
        while message.len() < MAX_WRITE {
            let Ok(more) = queue.try_recv() else { break };
            message.extend_from_slice(&more);
        }
        if stream.is_none() {
            if let Ok(Ok(s)) = timeout(patience, TcpStream::connect(addr)).await {
                let _ = s.set_nodelay(true);
                stream = Some(s);
            }
        }
        if let Some(s) = &mut stream {
            if !matches!(timeout(patience, s.write_all(&message)).await, Ok(Ok(()))) {
                stream = None;
            }
        }
    }
}

#[cfg(test)]
mod golden_tests;
#[cfg(test)]
mod tests;
