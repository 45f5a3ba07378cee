//! A node that answers workers on the leader's behalf, in the simulation: the other side of a stream of
//! frames that are late by up to a third of a second, and lost while the nodes don't hear each other.

use walnutlug_scheduler::protocol::{Report, WorkerCommand};
use walnutlug_scheduler::reconciliation::delegation::{Grant, NewMark, ServedLeader};
use walnutlug_scheduler::reconciliation::repeated_heartbeats::{SettledReport, Withdrawn};
use walnutlug_scheduler::time::{Span, Time};
use walnutlug_scheduler::tunables::Site;

use super::Leader;
use crate::world::transcript;

/// Its number as a holder of marks.
const HOLDER: u16 = 1;

enum ToFollower {
    Grant(Grant),
    Withdrawn { term: u64, first: u64, settled: SettledReport },
}

pub(super) struct Follower {
    served: ServedLeader,
    frames: Vec<(Time, ToFollower)>,
    last_frame: Time,
    heard: Vec<(SettledReport, u64)>,
    /// Marks withdrawn by the leader of a term.
    withdrawn: (u64, u64),
    asks_at: Time,
    /// Repetitions that it answered by itself.
    pub(super) repeated: u64,
}

impl Follower {
    pub(super) fn new(site: &Site) -> Follower {
        Follower {
            served: ServedLeader::new(site),
            frames: Vec::new(),
            last_frame: Time(0),
            heard: Vec::new(),
            withdrawn: (0, 0),
            asks_at: Time(0),
            repeated: 0,
        }
    }

    fn send(&mut self, now: Time, delay_ms: u64, frame: ToFollower) {
        self.last_frame = self.last_frame.max(now + Span::millis(delay_ms));
        self.frames.push((self.last_frame, frame));
    }

    /// What the leader withdrew goes out, or is lost with the connection.
    fn tell_withdrawn(&mut self, now: Time, leader: &mut Leader, linked: bool, delay_ms: u64) {
        let term = leader.s.term;
        for Withdrawn { settled, .. } in leader.s.take_withdrawn() {
            if self.withdrawn.0 != term {
                self.withdrawn = (term, 0);
            }
            self.withdrawn.1 += 1;
            let first = self.withdrawn.1;
            if linked {
                self.send(now, delay_ms, ToFollower::Withdrawn { term, first, settled });
            }
        }
    }

    /// One step: it hears, is heard, and asks.
    pub(super) fn step(
        &mut self,
        now: Time,
        leader: Option<&mut Leader>,
        linked: bool,
        delay_ms: u64,
    ) {
        if let Some(leader) = leader {
            self.tell_withdrawn(now, leader, linked, delay_ms);
            if now >= self.asks_at {
                self.asks_at = now + Span::secs(1);
                let asked = self.served.ask(now);
                let term = leader.s.term;
                let withdrawn = if self.withdrawn.0 == term { self.withdrawn.1 } else { 0 };
                let unknown_for = now.since(leader.known);
                if linked {
                    let grant = Grant { term, asked, unknown_for, withdrawn };
                    self.send(now, delay_ms, ToFollower::Grant(grant));
                    for (settled, sequence) in std::mem::take(&mut self.heard) {
                        leader.s.heard_unchanged(now, settled, sequence);
                    }
                }
            }
        }
        let frames = std::mem::take(&mut self.frames);
        for (at, frame) in frames {
            match frame {
                frame if at > now => self.frames.push((at, frame)),
                ToFollower::Grant(grant) => drop(self.served.granted(now, &grant)),
                ToFollower::Withdrawn { term, first, settled } => {
                    self.served.withdraw(term, first, &[(settled.machine, settled.number)]);
                }
            }
        }
    }

    /// The answer to a worker's report; `None`: the worker goes to the leader.
    pub(super) fn answer(
        &mut self,
        now: Time,
        leader: Option<&mut Leader>,
        linked: bool,
        settled: &mut Option<(Report, SettledReport)>,
        report: &Report,
    ) -> Option<(u64, Vec<WorkerCommand>)> {
        if let Some(mark) = super::repeats(settled, report) {
            if let Some(token) = self.served.may_repeat(now, mark) {
                self.heard.push((mark, report.seq));
                self.repeated += 1;
                let answer = Some((token, Vec::new()));
                transcript::answer("repeated (at a follower)", &report.machine, answer.as_ref());
                return answer;
            }
        }
        let leader = leader.filter(|l| linked && self.served.may_forward(now) == Some(l.s.term))?;
        leader.s.known_until = leader.known;
        let answer = leader.s.report(now, report);
        transcript::answer("forwarded", &report.machine, answer.as_ref());
        let (token, calls) = answer?;
        let mark =
            if calls.is_empty() { leader.s.settle_report(now, report, HOLDER) } else { None };
        self.tell_withdrawn(now, leader, linked, 300);
        *settled = mark.and_then(|settled| {
            let valid_for = leader.s.settled_for(now, settled);
            let new = NewMark { settled, token, valid_for, withdrawn: self.withdrawn.1 };
            self.served.add(now, &new).then(|| (report.clone(), settled))
        });
        Some((token, calls))
    }
}
