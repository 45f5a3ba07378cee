//! The frames with which followers answer workers on the leader's behalf; what they mean is told in
//! `walnutlug_scheduler::reconciliation::delegation`. A version that doesn't know them passes them over.

use walnutlug_scheduler::model::task::MachineIx;
use walnutlug_scheduler::reconciliation::delegation::{Grant, NewMark};
use walnutlug_scheduler::reconciliation::repeated_heartbeats::SettledReport;
use walnutlug_scheduler::time::Span;
use zerocopy::little_endian::{U16, U32, U64};
use zerocopy::{FromBytes, Immutable, IntoBytes, KnownLayout, Unaligned};

use super::{name_field, name_of, MOST};

/// Bytes of a report or an answer that one frame takes; a worker with more to say goes to the leader.
pub const MOST_CARRIED: usize = 3_500;
/// Machines in one frame.
pub const MOST_ENTRIES: usize = 150;

const _: () = assert!(size_of::<AnswerBody>() + MOST_CARRIED < MOST);
const _: () = assert!(size_of::<HeardBody>() + MOST_ENTRIES * size_of::<HeardEntry>() < MOST);

/// A worker's report on its way to the leader.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct ForwardedReport {
    /// The follower, and which life of it asks.
    pub node: String,
    pub life: u64,
    /// Names the answer.
    pub number: u64,
    /// As the worker sent it.
    pub report: Vec<u8>,
}

/// The leader's answer to it.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct ForwardedAnswer {
    pub asker_life: u64,
    pub number: u64,
    /// The body for the worker; `None`: the leader doesn't answer this one.
    pub answer: Option<Vec<u8>>,
    /// If repetitions of the report may be answered without asking.
    pub mark: Option<NewMark>,
}

/// A machine that repeated its settled report to a follower.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Heard {
    pub machine: MachineIx,
    pub number: u64,
    pub sequence: u64,
}

/// A follower asks the leader to be granted its share of the workers.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct AskGrant {
    pub node: String,
    pub life: u64,
    pub number: u64,
    /// Workers whose connections the follower holds.
    pub workers: u32,
}

/// The leader's word, and how many workers the follower should send to which other one.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Granting {
    pub node: String,
    pub asker_life: u64,
    pub grant: Grant,
    pub spare: u16,
    pub spare_to: Option<String>,
}

#[derive(FromBytes, IntoBytes, KnownLayout, Immutable, Unaligned, Clone, Copy)]
#[repr(C)]
struct ForwardBody {
    node: [u8; 64],
    life: U64,
    number: U64,
}

#[derive(FromBytes, IntoBytes, KnownLayout, Immutable, Unaligned, Clone, Copy)]
#[repr(C)]
struct AnswerBody {
    asker_life: U64,
    number: U64,
    answered: u8,
    settled: u8,
    term: U64,
    machine: U32,
    settled_number: U64,
    token: U64,
    valid_for_us: U64,
    withdrawn: U64,
}

#[derive(FromBytes, IntoBytes, KnownLayout, Immutable, Unaligned, Clone, Copy)]
#[repr(C)]
struct HeardBody {
    term: U64,
}

#[derive(FromBytes, IntoBytes, KnownLayout, Immutable, Unaligned, Clone, Copy)]
#[repr(C)]
struct HeardEntry {
    machine: U32,
    number: U64,
    sequence: U64,
}

#[derive(FromBytes, IntoBytes, KnownLayout, Immutable, Unaligned, Clone, Copy)]
#[repr(C)]
struct AskBody {
    node: [u8; 64],
    life: U64,
    number: U64,
    workers: U32,
}

#[derive(FromBytes, IntoBytes, KnownLayout, Immutable, Unaligned, Clone, Copy)]
#[repr(C)]
struct GrantBody {
    node: [u8; 64],
    asker_life: U64,
    term: U64,
    asked: U64,
    unknown_for_us: U64,
    withdrawn: U64,
    spare: U16,
    spare_to: [u8; 64],
}

#[derive(FromBytes, IntoBytes, KnownLayout, Immutable, Unaligned, Clone, Copy)]
#[repr(C)]
struct WithdrawnBody {
    term: U64,
    first: U64,
}

#[derive(FromBytes, IntoBytes, KnownLayout, Immutable, Unaligned, Clone, Copy)]
#[repr(C)]
struct WithdrawnEntry {
    machine: U32,
    number: U64,
}

impl ForwardedReport {
    pub(super) fn encode(&self) -> Vec<u8> {
        let head = ForwardBody {
            node: name_field(&self.node),
            life: self.life.into(),
            number: self.number.into(),
        };
        [head.as_bytes(), &self.report].concat()
    }

    pub(super) fn decode(body: &[u8]) -> Result<ForwardedReport, &'static str> {
        let (head, report) = ForwardBody::read_from_prefix(body).map_err(|_| "short report")?;
        Ok(ForwardedReport {
            node: name_of(&head.node).ok_or("bad name")?,
            life: head.life.get(),
            number: head.number.get(),
            report: report.to_vec(),
        })
    }
}

impl ForwardedAnswer {
    pub(super) fn encode(&self) -> Vec<u8> {
        let mark = self.mark.as_ref();
        let settled = mark.map(|m| m.settled);
        let head = AnswerBody {
            asker_life: self.asker_life.into(),
            number: self.number.into(),
            answered: u8::from(self.answer.is_some()),
            settled: u8::from(mark.is_some()),
            term: settled.map_or(0, |s| s.term).into(),
            machine: settled.map_or(0, |s| s.machine).into(),
            settled_number: settled.map_or(0, |s| s.number).into(),
            token: mark.map_or(0, |m| m.token).into(),
            valid_for_us: mark.map_or(0, |m| m.valid_for.0).into(),
            withdrawn: mark.map_or(0, |m| m.withdrawn).into(),
        };
        [head.as_bytes(), self.answer.as_deref().unwrap_or_default()].concat()
    }

    pub(super) fn decode(body: &[u8]) -> Result<ForwardedAnswer, &'static str> {
        let (head, answer) = AnswerBody::read_from_prefix(body).map_err(|_| "short answer")?;
        let mark = NewMark {
            settled: SettledReport {
                term: head.term.get(),
                machine: head.machine.get(),
                number: head.settled_number.get(),
            },
            token: head.token.get(),
            valid_for: Span(head.valid_for_us.get()),
            withdrawn: head.withdrawn.get(),
        };
        Ok(ForwardedAnswer {
            asker_life: head.asker_life.get(),
            number: head.number.get(),
            answer: (head.answered != 0).then(|| answer.to_vec()),
            mark: (head.settled != 0).then_some(mark),
        })
    }
}

/// The body of a frame of machines that were heard under the term.
pub(super) fn encode_heard(term: u64, heard: &[Heard]) -> Vec<u8> {
    let mut body = HeardBody { term: term.into() }.as_bytes().to_vec();
    for one in heard.iter().take(MOST_ENTRIES) {
        let entry = HeardEntry {
            machine: one.machine.into(),
            number: one.number.into(),
            sequence: one.sequence.into(),
        };
        body.extend_from_slice(entry.as_bytes());
    }
    body
}

pub(super) fn decode_heard(body: &[u8]) -> Result<(u64, Vec<Heard>), &'static str> {
    let (head, rest) = HeardBody::read_from_prefix(body).map_err(|_| "short list of machines")?;
    let entries = entries::<HeardEntry>(rest)?;
    let heard = entries.map(|entry| Heard {
        machine: entry.machine.get(),
        number: entry.number.get(),
        sequence: entry.sequence.get(),
    });
    Ok((head.term.get(), heard.collect()))
}

/// The body of a frame of withdrawn marks, with the number of the first.
pub(super) fn encode_withdrawn(term: u64, first: u64, marks: &[(MachineIx, u64)]) -> Vec<u8> {
    let head = WithdrawnBody { term: term.into(), first: first.into() };
    let mut body = head.as_bytes().to_vec();
    for &(machine, number) in marks.iter().take(MOST_ENTRIES) {
        let entry = WithdrawnEntry { machine: machine.into(), number: number.into() };
        body.extend_from_slice(entry.as_bytes());
    }
    body
}

/// The term, the number of the first, and the marks.
type WithdrawnMarks = (u64, u64, Vec<(MachineIx, u64)>);

pub(super) fn decode_withdrawn(body: &[u8]) -> Result<WithdrawnMarks, &'static str> {
    let (head, rest) = WithdrawnBody::read_from_prefix(body).map_err(|_| "short list of marks")?;
    let marks = entries::<WithdrawnEntry>(rest)?;
    let marks = marks.map(|entry| (entry.machine.get(), entry.number.get())).collect();
    Ok((head.term.get(), head.first.get(), marks))
}

impl AskGrant {
    pub(super) fn encode(&self) -> Vec<u8> {
        let body = AskBody {
            node: name_field(&self.node),
            life: self.life.into(),
            number: self.number.into(),
            workers: self.workers.into(),
        };
        body.as_bytes().to_vec()
    }

    pub(super) fn decode(body: &[u8]) -> Result<AskGrant, &'static str> {
        let (body, _) = AskBody::read_from_prefix(body).map_err(|_| "short question")?;
        Ok(AskGrant {
            node: name_of(&body.node).ok_or("bad name")?,
            life: body.life.get(),
            number: body.number.get(),
            workers: body.workers.get(),
        })
    }
}

impl Granting {
    pub(super) fn encode(&self) -> Vec<u8> {
        let body = GrantBody {
            node: name_field(&self.node),
            asker_life: self.asker_life.into(),
            term: self.grant.term.into(),
            asked: self.grant.asked.into(),
            unknown_for_us: self.grant.unknown_for.0.into(),
            withdrawn: self.grant.withdrawn.into(),
            spare: self.spare.into(),
            spare_to: name_field(self.spare_to.as_deref().unwrap_or_default()),
        };
        body.as_bytes().to_vec()
    }

    pub(super) fn decode(body: &[u8]) -> Result<Granting, &'static str> {
        let (body, _) = GrantBody::read_from_prefix(body).map_err(|_| "short grant")?;
        Ok(Granting {
            node: name_of(&body.node).ok_or("bad name")?,
            asker_life: body.asker_life.get(),
            grant: Grant {
                term: body.term.get(),
                asked: body.asked.get(),
                unknown_for: Span(body.unknown_for_us.get()),
                withdrawn: body.withdrawn.get(),
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
