//! Job chains: which job needs which, when one is released, and what a cancelled one takes with it.
//!
//! A job is released by the stored end `done` of everything that it needs, and by nothing else: not by
//! a count of finishes, a peer's hint, or a write in doubt. Ends never change, so what was read
//! once stays true; a new leader reads the ends again and knows the same. An end `aborted` dooms all
//! that stands behind it, at every depth at once; each of those ends is written like any other, guarded
//! by its absence, so the work goes on from the store alone, whoever leads.

use std::collections::{BTreeSet, HashMap, VecDeque};

use crate::model::job::{End, JobSpec};
use crate::model::task::Phase;
use crate::scheduler::{Command, Job, JobIx, Scheduler};
use crate::time::{Span, Time};

/// Names in one question about ends.
const MOST_ASKED: usize = 400;
/// After a question that was not answered whole, the rest is asked again.
const ASK_AGAIN: Span = Span::millis(400);
/// How much longer than one task a step takes: it is done with its slowest.
const SLOWEST: f64 = 1.3;
/// How often a job's priority and deadline are worked out anew for one event. More would be needed
/// only in a tangle of many ways to the same job, where the last bit of them matters little; and
/// damaged records that name each other in a circle would go on for ever.
const MOST_LOOKS: u32 = 16;

/// A deadline, and the time that is needed after the job at hand to meet it.
#[derive(Debug, Clone, PartialEq)]
pub struct Due {
    /// Acceptance of the job whose deadline it is.
    pub accepted: Time,
    pub deadline_s: f64,
    /// Its class: aims may allow for more than once the deadline.
    pub class: String,
    /// Seconds that the steps after the job at hand are expected to take.
    pub after_s: f64,
}

impl Due {
    pub fn of(spec: &JobSpec, accepted: Time) -> Option<Due> {
        let class = spec.class.clone();
        Some(Due { accepted, deadline_s: spec.deadline_s?, class, after_s: 0.0 })
    }

    /// Seconds left to the time at which the job at hand has to be done.
    pub fn left(&self, now: Time) -> f64 {
        self.deadline_s - now.since(self.accepted).as_secs() - self.after_s
    }
}

/// What a question about a job's end found.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Found {
    Ended(End),
    /// Accepted, and not ended when it was asked.
    Open,
    /// Nobody ever submitted it.
    Missing,
}

/// A job that others need and whose end was not read yet.
#[derive(Debug, Default)]
struct Need {
    /// Jobs in the registry that can't begin before its end.
    waiting: BTreeSet<JobIx>,
}

#[derive(Debug, Default)]
pub(crate) struct Chains {
    /// By name; those that have ended, or that nobody waits for, are not kept.
    needs: HashMap<String, Need>,
    /// Needs whose end is to be asked for: one may have been written before anybody listened.
    unread: BTreeSet<String>,
    asking: bool,
    ask_at: Time,
    /// Jobs whose end `aborted` is still to be written.
    pub(crate) doomed: BTreeSet<JobIx>,
}

impl Scheduler {
    /// A job has come into the registry: what it needs is looked for.
    pub(crate) fn link(&mut self, now: Time, ix: JobIx) {
        // What needs it may have come first: records are read in no order of theirs. (After each
        // take-over half the steps of all chains had only their own priority, the lowest, and waited
        // for two minutes.)
        self.refresh(now, ix);
        let Some(job) = self.jobs.get_mut(&ix) else { return };
        if job.spec.needs.is_empty() {
            return;
        }
        // Accepted records name each once; one from outside may not.
        let needs: BTreeSet<String> = job.spec.needs.iter().cloned().collect();
        job.unmet = needs.len();
        let mut behind_doomed = false;
        for name in needs {
            let above = self.by_ref.get(&name).and_then(|i| self.jobs.get(i));
            behind_doomed |= above.is_some_and(|j| j.doomed);
            // The end may have been told before there was anybody to tell it to.
            self.chains.unread.insert(name.clone());
            self.chains.needs.entry(name).or_default().waiting.insert(ix);
        }
        if behind_doomed {
            self.doom(vec![ix]);
        }
        self.refresh_above(now, ix);
    }

    /// The job waits for nothing any more: it has ended.
    pub(crate) fn unlink(&mut self, now: Time, ix: JobIx) {
        self.chains.doomed.remove(&ix);
        let Some(job) = self.jobs.get(&ix).filter(|j| j.unmet > 0) else { return };
        for name in &job.spec.needs {
            if let Some(need) = self.chains.needs.get_mut(name) {
                need.waiting.remove(&ix);
                if need.waiting.is_empty() {
                    self.chains.needs.remove(name);
                    self.chains.unread.remove(name);
                }
            }
        }
        self.refresh_above(now, ix);
    }

    /// A job's end as it is stored. Nothing else may be told here.
    pub fn job_ended(&mut self, now: Time, name: &str, end: End) {
        self.job_over(now, name);
        self.chains.unread.remove(name);
        let Some(need) = self.chains.needs.remove(name) else { return };
        match end {
            End::Done => {
                for ix in need.waiting {
                    self.meet(now, ix);
                }
            }
            End::Aborted => {
                let behind: Vec<JobIx> = need.waiting.iter().copied().collect();
                // It stays what they wait for: they never begin.
                self.doom(behind);
            }
        }
    }

    /// One of the jobs that it needs is done.
    fn meet(&mut self, now: Time, ix: JobIx) {
        let Some(job) = self.jobs.get_mut(&ix) else { return };
        job.unmet = job.unmet.saturating_sub(1);
        if job.unmet > 0 || job.over {
            return;
        }
        // Of one that an earlier leader released, the first placing tells about when that was.
        let begun = job.tasks.iter().filter(|t| t.phase != Phase::Pending).map(|t| t.placed_at);
        job.released = begun.min().unwrap_or(now);
        let (spec, since) = (job.spec.clone(), job.released);
        let text = format!(
            "{} may begin after {:.1} s, {:?}: {} done",
            job.name,
            since.since(job.accepted).as_secs(),
            job.rank,
            spec.needs.join(", ")
        );
        self.log(text);
        self.learn_size(&spec, now, since);
        self.dirty = true;
    }

    /// Marks the jobs and all that need them, at every depth.
    fn doom(&mut self, first: Vec<JobIx>) {
        let mut work = first;
        while let Some(ix) = work.pop() {
            let Some(job) = self.jobs.get_mut(&ix) else { continue };
            if job.over || job.doomed {
                continue;
            }
            // What stands behind an unfinished job has never been started, so nothing of it is
            // anywhere. (Were a record from outside to say otherwise, its end would stop the tasks.)
            debug_assert!(job.placed == 0 && job.done == 0, "{} began too early", job.name);
            job.doomed = true;
            self.chains.doomed.insert(ix);
            if let Some(need) = self.chains.needs.get(&job.name) {
                work.extend(need.waiting.iter().copied());
            }
        }
    }

    /// Asks for ends that may have been written unheard.
    pub(crate) fn ask_for_ends(&mut self, now: Time) {
        if self.chains.asking || self.chains.unread.is_empty() || now < self.chains.ask_at {
            return;
        }
        self.chains.asking = true;
        let names = self.chains.unread.iter().take(MOST_ASKED).cloned().collect();
        self.out.push(Command::FindJobEnds { names });
    }

    /// The end of a job is known to be written, but not which: a write met it.
    pub(crate) fn ended_somehow(&mut self, now: Time, name: &str) {
        self.job_over(now, name);
        if self.chains.needs.contains_key(name) {
            self.chains.unread.insert(name.to_owned());
        }
    }

    /// The answer to [`Command::FindJobEnds`], as far as it could be had.
    pub fn job_ends_found(&mut self, now: Time, found: &[(String, Found)]) {
        self.chains.asking = false;
        self.chains.ask_at = if found.is_empty() { now + ASK_AGAIN } else { now };
        for (name, found) in found {
            self.chains.unread.remove(name);
            match found {
                Found::Ended(end) => self.job_ended(now, name, *end),
                // From here on its end is told by the watch, and by each reading of the records.
                Found::Open => {}
                Found::Missing => {
                    self.log_once(name, "is waited for, but nobody ever submitted it");
                }
            }
        }
    }

    /// Jobs that others wait for, whether in the registry or not.
    pub fn open_needs(&self) -> Vec<String> {
        self.chains.needs.keys().cloned().collect()
    }

    // ---- what is passed up a chain --------------------------------------------------------

    /// A job began or ceased to wait: what it passes to those that it needs changes, step by
    /// step, as far as it makes a difference.
    fn refresh_above(&mut self, now: Time, ix: JobIx) {
        let mut work: VecDeque<JobIx> = VecDeque::from([ix]);
        let mut queued = BTreeSet::from([ix]);
        let mut looks: HashMap<JobIx, u32> = HashMap::new();
        while let Some(ix) = work.pop_front() {
            queued.remove(&ix);
            let Some(job) = self.jobs.get(&ix) else { continue };
            let above: Vec<JobIx> =
                job.spec.needs.iter().filter_map(|n| self.by_ref.get(n).copied()).collect();
            for need in above {
                let looks = looks.entry(need).or_default();
                *looks += 1;
                if *looks <= MOST_LOOKS && self.refresh(now, need) && queued.insert(need) {
                    work.push_back(need);
                }
            }
        }
    }

    /// Works out a job's priority and deadline from its own and those of the jobs right behind it;
    /// whether either changed.
    fn refresh(&mut self, now: Time, ix: JobIx) -> bool {
        let Some(job) = self.jobs.get(&ix) else { return false };
        let mut rank = job.spec.rank;
        let mut due = Due::of(&job.spec, job.accepted);
        if let Some(need) = self.chains.needs.get(&job.name) {
            for next in need.waiting.iter().filter_map(|i| self.jobs.get(i)) {
                rank = rank.max(next.rank);
                let Some(theirs) = &next.due else { continue };
                let after_s = theirs.after_s + self.step_takes(next);
                let passed = Due { after_s, ..theirs.clone() };
                if due.as_ref().is_none_or(|d| passed.left(now) < d.left(now)) {
                    due = Some(passed);
                }
            }
        }
        if job.rank == rank && job.due == due {
            return false;
        }
        if let Some(job) = self.jobs.get_mut(&ix) {
            job.rank = rank;
            job.due = due;
        }
        self.dirty = true;
        true
    }

    /// Seconds from the release of a step to its end.
    fn step_takes(&self, job: &Job) -> f64 {
        self.expected_run(job) * SLOWEST + self.tun.chain_step.as_secs()
    }

    /// How many jobs need each of the given ones; an end that releases others is written first.
    pub(crate) fn waited_for(&self, ix: JobIx) -> usize {
        let Some(job) = self.jobs.get(&ix) else { return 0 };
        self.chains.needs.get(&job.name).map_or(0, |n| n.waiting.len())
    }
}
