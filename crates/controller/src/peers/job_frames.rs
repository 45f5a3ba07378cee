//! Frames about jobs: hints of new jobs, progress and ends, and the cancellation logs, whose
//! protocol is implemented in `walnutlug_scheduler::leadership::cancellation_log`.

use walnutlug_scheduler::leadership::cancellation_log::MAX_ENTRIES_PER_MESSAGE;
use walnutlug_scheduler::model::job_spec::JobEnd;
use walnutlug_scheduler::protocol::users::is_job_id;
use zerocopy::little_endian::{U32, U64};
use zerocopy::{FromBytes, Immutable, IntoBytes, KnownLayout, Unaligned};

use super::layout::{self, name_field, JOB_NAME_BYTES, NODE_NAME_BYTES};
use super::FrameError;

const END_DONE: u8 = 1;
const END_CANCELLED: u8 = 2;

/// Body shared by all frames about one job. Fields that a kind doesn't use are zero.
#[derive(FromBytes, IntoBytes, KnownLayout, Immutable, Unaligned, Clone, Copy)]
#[repr(C)]
pub(super) struct JobBody {
    name: [u8; JOB_NAME_BYTES],
    done: U32,
    running: U32,
    end: u8,
}

impl JobBody {
    pub(super) fn new(job: &str) -> JobBody {
        JobBody { name: name_field(job), done: 0.into(), running: 0.into(), end: 0 }
    }

    pub(super) fn with_counts(self, done: u32, running: u32) -> JobBody {
        JobBody { done: done.into(), running: running.into(), ..self }
    }

    pub(super) fn with_end(self, end: JobEnd) -> JobBody {
        let end = if end == JobEnd::Done { END_DONE } else { END_CANCELLED };
        JobBody { end, ..self }
    }

    pub(super) fn encode(&self) -> Vec<u8> {
        self.as_bytes().to_vec()
    }

    pub(super) fn decode(body: &[u8]) -> Result<JobBody, FrameError> {
        Ok(layout::split_fixed_part::<JobBody>(body)?.0)
    }

    pub(super) fn job(&self) -> Result<String, FrameError> {
        layout::required_name(&self.name)
    }

    pub(super) fn done(&self) -> u32 {
        self.done.get()
    }

    pub(super) fn running(&self) -> u32 {
        self.running.get()
    }

    pub(super) fn end(&self) -> Result<JobEnd, FrameError> {
        match self.end {
            END_DONE => Ok(JobEnd::Done),
            END_CANCELLED => Ok(JobEnd::Cancelled),
            code => Err(FrameError::BadJobEnd { code }),
        }
    }
}

/// Consecutive entries of the log of cancellations that one incarnation of a node has confirmed.
#[derive(Debug, Clone, PartialEq, Eq)]
pub(crate) struct Cancellations {
    /// Name of the node whose log it is.
    pub(crate) node: String,
    /// Incarnation of that node.
    pub(crate) incarnation: u64,
    /// Number of the first of these entries in the log.
    pub(crate) first: u64,
    /// Cancelled jobs, in the order of the log.
    pub(crate) jobs: Vec<String>,
}

/// Acknowledges that all entries of a log up to a number have been applied.
#[derive(Debug, Clone, PartialEq, Eq)]
pub(crate) struct CancellationsAck {
    /// Name of the node that read the log.
    pub(crate) node: String,
    /// Incarnation of the reader.
    pub(crate) incarnation: u64,
    /// Incarnation of the node whose log it is.
    pub(crate) log_incarnation: u64,
    /// Number of the last entry up to which none is missing.
    pub(crate) up_to: u64,
}

/// Reply to a leader's status, which is identified by the leader's incarnation and the count of the
/// status. Tells where the sender's cancellation log ended at the time of the reply.
#[derive(Debug, Clone, PartialEq, Eq)]
pub(crate) struct CancellationLogEnd {
    /// Name of the node whose log it is.
    pub(crate) node: String,
    /// Incarnation of that node.
    pub(crate) incarnation: u64,
    /// Number of the last entry in the log.
    pub(crate) last: u64,
    /// Incarnation of the leader that sent the status.
    pub(crate) requester_incarnation: u64,
    /// Count of the status that this frame replies to.
    pub(crate) status_count: u64,
}

/// Fixed part of [`Cancellations`], followed by the names of the jobs.
#[derive(FromBytes, IntoBytes, KnownLayout, Immutable, Unaligned, Clone, Copy)]
#[repr(C)]
struct CancellationsBody {
    node: [u8; NODE_NAME_BYTES],
    incarnation: U64,
    first: U64,
}

#[derive(FromBytes, IntoBytes, KnownLayout, Immutable, Unaligned, Clone, Copy)]
#[repr(C)]
struct CancellationsAckBody {
    node: [u8; NODE_NAME_BYTES],
    incarnation: U64,
    log_incarnation: U64,
    up_to: U64,
}

#[derive(FromBytes, IntoBytes, KnownLayout, Immutable, Unaligned, Clone, Copy)]
#[repr(C)]
struct CancellationLogEndBody {
    node: [u8; NODE_NAME_BYTES],
    incarnation: U64,
    last: U64,
    requester_incarnation: U64,
    status_count: U64,
}

impl Cancellations {
    pub(super) fn encode(&self) -> Vec<u8> {
        let head = CancellationsBody {
            node: name_field(&self.node),
            incarnation: self.incarnation.into(),
            first: self.first.into(),
        };
        let mut body = head.as_bytes().to_vec();
        for job in self.jobs.iter().take(MAX_ENTRIES_PER_MESSAGE) {
            body.extend_from_slice(&name_field::<JOB_NAME_BYTES>(job));
        }
        body
    }

    pub(super) fn decode(body: &[u8]) -> Result<Cancellations, FrameError> {
        let (head, names) = layout::split_fixed_part::<CancellationsBody>(body)?;
        // Cancellations take effect at the receiver, so an entry that is not a valid job id is an
        // error.
        let job = |field: [u8; JOB_NAME_BYTES]| {
            layout::optional_name(&field).filter(|name| is_job_id(name)).ok_or(FrameError::BadName)
        };
        let jobs = layout::entries(names)?.map(job).collect::<Result<_, _>>()?;
        Ok(Cancellations {
            node: layout::required_name(&head.node)?,
            incarnation: head.incarnation.get(),
            first: head.first.get(),
            jobs,
        })
    }
}

impl CancellationsAck {
    pub(super) fn encode(&self) -> Vec<u8> {
        let body = CancellationsAckBody {
            node: name_field(&self.node),
            incarnation: self.incarnation.into(),
            log_incarnation: self.log_incarnation.into(),
            up_to: self.up_to.into(),
        };
        body.as_bytes().to_vec()
    }

    pub(super) fn decode(body: &[u8]) -> Result<CancellationsAck, FrameError> {
        let (body, _) = layout::split_fixed_part::<CancellationsAckBody>(body)?;
        Ok(CancellationsAck {
            node: layout::required_name(&body.node)?,
            incarnation: body.incarnation.get(),
            log_incarnation: body.log_incarnation.get(),
            up_to: body.up_to.get(),
        })
    }
}

impl CancellationLogEnd {
    pub(super) fn encode(&self) -> Vec<u8> {
        let body = CancellationLogEndBody {
            node: name_field(&self.node),
            incarnation: self.incarnation.into(),
            last: self.last.into(),
            requester_incarnation: self.requester_incarnation.into(),
            status_count: self.status_count.into(),
        };
        body.as_bytes().to_vec()
    }

    pub(super) fn decode(body: &[u8]) -> Result<CancellationLogEnd, FrameError> {
        let (body, _) = layout::split_fixed_part::<CancellationLogEndBody>(body)?;
        Ok(CancellationLogEnd {
            node: layout::required_name(&body.node)?,
            incarnation: body.incarnation.get(),
            last: body.last.get(),
            requester_incarnation: body.requester_incarnation.get(),
            status_count: body.status_count.get(),
        })
    }
}
