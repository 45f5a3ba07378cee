//! Which cancellations the users were told of, who has to hear of them, and up to when a leader knows
//! them all.
//!
//! A worker's lease is renewed by the answers to its heartbeats, and a task of a cancelled job that is
//! renewed unknowingly lives on. So each node keeps a [`CancellationLog`] of the cancellations that it told,
//! numbered, and repeats them to every other node until that acknowledges them. A leader asks the
//! others again and again how far their logs go; from the answers, and from what it reads itself, its
//! [`Watermark`] works out the time up to which no cancellation can have escaped it. Both are exact
//! about lives: a process that came back vouches for nothing that its former self told.

use std::collections::{BTreeMap, VecDeque};

use crate::time::{TimeDelta, Timestamp};
use crate::tunables::Site;

/// A cancellation is worth telling until its tasks must be gone, and half that again.
const KEEP: f64 = 1.5;
/// Cancellations kept at most, at some hundred bytes each. What a node drops unacknowledged it can't
/// vouch for any more, which the reader sees by the gap.
const MAX_KEPT: usize = 4_096;
/// Cancellations in one message.
pub const MAX_TOLD: usize = 100;
/// How long an acknowledgement may take before the rest is told again.
const TELL_AGAIN: TimeDelta = TimeDelta::from_secs(1);
/// Questions whose answers are still of use.
const MAX_ASKED: usize = 64;

/// Beyond the drift of two clocks, what an answer takes to be written after the time was looked at.
const MARGIN: TimeDelta = TimeDelta::from_millis(250);
/// Drift of two steady clocks against each other, doubled.
const DRIFT: f64 = 0.002;
/// The least window, for sites whose leases outlast the time that a cancellation may take. There the
/// lease can't be the last resort, whoever renews it.
const LEAST_WINDOW: TimeDelta = TimeDelta::from_millis(300);

/// For how long after its watermark a leader may go on renewing leases: a cancellation that it doesn't
/// know of was told after the watermark, and a lease renewed now must have ended `cancel` after that.
pub fn window(site: &Site) -> TimeDelta {
    let drift = (site.worker_lease + site.cancel_within).mul_f64(DRIFT);
    let window = site.cancel_within - site.worker_lease - MARGIN - drift;
    window.max(LEAST_WINDOW)
}

/// How often a leader asks the others, so that the watermark stays well inside the window.
pub fn ask_every(site: &Site) -> TimeDelta {
    window(site).mul_f64(1.0 / 6.0).min(TimeDelta::from_secs(1)).max(TimeDelta::from_millis(50))
}

/// How far another node has acknowledged this one's log.
#[derive(Debug, Default, Clone, Copy)]
struct Reader {
    incarnation: u64,
    acked: u64,
    told: u64,
    told_at: Timestamp,
}

/// The cancellations that this node told in this life, numbered from 1.
#[derive(Debug)]
pub struct CancellationLog {
    keep: TimeDelta,
    /// The number of the first that is still kept.
    first: u64,
    kept: VecDeque<(Timestamp, String)>,
    readers: BTreeMap<String, Reader>,
}

impl CancellationLog {
    pub fn new(site: &Site) -> CancellationLog {
        let keep = site.cancel_within.mul_f64(KEEP);
        CancellationLog { keep, first: 1, kept: VecDeque::new(), readers: BTreeMap::new() }
    }

    /// Before a user is told: the end is stored, and this node is about to say so.
    pub fn append(&mut self, now: Timestamp, job: &str) {
        self.trim(now);
        self.kept.push_back((now, job.to_owned()));
    }

    /// The number of the last; 0: none yet.
    pub fn last(&self) -> u64 {
        self.first + self.kept.len() as u64 - 1
    }

    fn trim(&mut self, now: Timestamp) {
        while self.kept.len() >= MAX_KEPT
            || self.kept.front().is_some_and(|(told, _)| now.since(*told) > self.keep)
        {
            self.kept.pop_front();
            self.first += 1;
        }
    }

    /// The other node is heard, in that life of it: a new one knows nothing of what the last was told.
    pub fn heard(&mut self, reader: &str, incarnation: u64) {
        let known = self.readers.entry(reader.to_owned()).or_default();
        if known.incarnation != incarnation {
            *known = Reader { incarnation, ..Reader::default() };
        }
    }

    /// The other node has all up to that number.
    pub fn acknowledged(&mut self, reader: &str, incarnation: u64, up_to: u64) {
        let last = self.last();
        if let Some(known) = self.readers.get_mut(reader).filter(|r| r.incarnation == incarnation) {
            known.acked = known.acked.max(up_to.min(last));
        }
    }

    /// What is to be told to the other node now, with the number of its first.
    pub fn to_tell(&mut self, now: Timestamp, reader: &str) -> Option<(u64, Vec<String>)> {
        self.trim(now);
        let (first, last) = (self.first, self.last());
        let known = self.readers.get_mut(reader)?;
        let waiting = now.since(known.told_at) < TELL_AGAIN;
        let from = if waiting { known.told.max(known.acked) } else { known.acked } + 1;
        let from = from.max(first);
        if from > last {
            return None;
        }
        let skip = (from - first) as usize;
        let jobs: Vec<String> =
            self.kept.iter().skip(skip).take(MAX_TOLD).map(|(_, job)| job.clone()).collect();
        known.told = from + jobs.len() as u64 - 1;
        known.told_at = now;
        Some((from, jobs))
    }
}

/// One other node's log, as far as it arrived here.
#[derive(Debug, Default)]
struct Stream {
    incarnation: u64,
    received: u64,
    /// All that it told before this is known here.
    vouched: Timestamp,
    /// Something that it, or its former self, told before this may have been missed: it vouches for
    /// nothing until the key-value store was read later than that.
    gap: Option<Timestamp>,
}

/// Up to when every cancellation that any node told is known here.
#[derive(Debug)]
pub struct Watermark {
    /// All ends that were stored before this have been read.
    read: Timestamp,
    streams: BTreeMap<String, Stream>,
    /// When which question was asked.
    asked: VecDeque<(u64, Timestamp)>,
}

impl Watermark {
    pub fn new(others: impl IntoIterator<Item = String>) -> Watermark {
        let streams = others.into_iter().map(|name| (name, Stream::default())).collect();
        Watermark { read: Timestamp(0), streams, asked: VecDeque::new() }
    }

    /// All ends that were stored by then have been read from the key-value store.
    pub fn read(&mut self, by: Timestamp) {
        self.read = self.read.max(by);
    }

    /// The others are asked how far their logs go.
    pub fn ask(&mut self, now: Timestamp, number: u64) {
        if self.asked.len() >= MAX_ASKED {
            self.asked.pop_front();
        }
        self.asked.push_back((number, now));
    }

    fn stream(&mut self, now: Timestamp, node: &str, incarnation: u64) -> Option<&mut Stream> {
        let stream = self.streams.get_mut(node)?;
        if stream.incarnation != incarnation {
            // What the former self told last may never have been sent.
            *stream = Stream { incarnation, received: 0, gap: Some(now), vouched: stream.vouched };
        }
        Some(stream)
    }

    /// Another node is heard, in that life of it. A node that comes to lead has to know the lives of the
    /// others from before it reads the records. (Met first with their first vouches, after the records
    /// were read, they vouched for nothing until the next read; a leader elected just before an outage
    /// let all leases run out in it.)
    pub fn heard(&mut self, now: Timestamp, node: &str, incarnation: u64) {
        self.stream(now, node, incarnation);
    }

    /// A part of another node's log has come, beginning with that number. What to acknowledge.
    pub fn told(
        &mut self,
        now: Timestamp,
        node: &str,
        incarnation: u64,
        first: u64,
        n: u64,
    ) -> Option<u64> {
        let stream = self.stream(now, node, incarnation)?;
        if first > stream.received + 1 {
            stream.gap = Some(now);
        }
        stream.received = stream.received.max((first + n).saturating_sub(1));
        Some(stream.received)
    }

    /// Another node answers a question: all that it has told by now has numbers up to `last`.
    pub fn vouch(&mut self, now: Timestamp, node: &str, incarnation: u64, last: u64, number: u64) {
        let read = self.read;
        let asked = self.asked.iter().find(|a| a.0 == number).map(|a| a.1);
        let Some(stream) = self.stream(now, node, incarnation) else { return };
        if stream.gap.is_some_and(|gap| gap <= read) {
            stream.gap = None;
        }
        // It answered after it was asked, so what it told before that is among those.
        if let Some(asked) = asked.filter(|_| stream.gap.is_none() && stream.received >= last) {
            stream.vouched = stream.vouched.max(asked);
        }
    }

    /// Every cancellation told before this is known. Its own are, at any time.
    pub fn until(&self, now: Timestamp) -> Timestamp {
        let others = self.streams.values().map(|s| s.vouched).min().unwrap_or(now);
        others.max(self.read)
    }
}
