//! Job chains: which job needs which, when one is released, and what a cancelled one takes with it.
//!
//! A job is released by the stored end `done` of everything that it needs, and by nothing else: not by
//! a count of finishes, a peer's hint, or a write in doubt. Ends never change, so what was read
//! once stays true; a new leader reads the ends again and knows the same. An end `aborted` dooms all
//! that stands behind it, at every depth at once; each of those ends is written like any other, guarded
//! by its absence, so the work goes on from the store alone, whoever leads.

use std::collections::{BTreeSet, HashMap, VecDeque};

use crate::command::Command;
use crate::event::{Anomaly, Event};
use crate::model::ids::JobIndex;
use crate::model::job::Job;
use crate::model::job_spec::{JobEnd, JobSpec};
use crate::model::job_state::JobEvent;
use crate::model::task::TaskPhase;
use crate::scheduler::Scheduler;
use crate::time::{TimeDelta, Timestamp};

/// Names in one question about ends.
const MAX_ASKED: usize = 400;
/// After a question that was not answered whole, the rest is asked again.
const ASK_AGAIN: TimeDelta = TimeDelta::from_millis(400);
/// How much longer than one task a step takes: it is done with its slowest.
const SLOWEST: f64 = 1.3;
/// How often a job's priority and deadline are worked out anew for one event. More would be needed
/// only in a tangle of many ways to the same job, where the last bit of them matters little; and
/// damaged records that name each other in a circle would go on for ever.
const MAX_LOOKS: u32 = 16;

/// A deadline, and the time that is needed after the job at hand to meet it.
#[derive(Debug, Clone, PartialEq)]
pub struct EffectiveDeadline {
    /// Acceptance of the job whose deadline it is.
    pub accepted: Timestamp,
    /// Seconds from the acceptance to the deadline.
    pub deadline_s: f64,
    /// Its class: aims may allow for more than once the deadline.
    pub class: String,
    /// Seconds that the steps after the job at hand are expected to take.
    pub after_s: f64,
}

impl EffectiveDeadline {
    /// The job's own deadline, if it has one.
    pub fn of(spec: &JobSpec, accepted: Timestamp) -> Option<EffectiveDeadline> {
        let class = spec.class.clone();
        Some(EffectiveDeadline { accepted, deadline_s: spec.deadline_s?, class, after_s: 0.0 })
    }

    /// Seconds left to the time at which the job at hand has to be done.
    pub fn left(&self, now: Timestamp) -> f64 {
        self.deadline_s - now.since(self.accepted).as_secs_f64() - self.after_s
    }
}

/// What a question about a job's end found.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum JobEndLookup {
    /// Its end is stored.
    Ended(JobEnd),
    /// Accepted, and not ended when it was asked.
    Open,
    /// Nobody ever submitted it.
    Missing,
}

/// A job that others need and whose end was not read yet.
#[derive(Debug, Default)]
struct Dependency {
    /// Jobs in the registry that can't begin before its end.
    waiting: BTreeSet<JobIndex>,
}

#[derive(Debug, Default)]
pub(crate) struct DependencyGraph {
    /// By name; those that have ended, or that nobody waits for, are not kept.
    dependencies: HashMap<String, Dependency>,
    /// Needs whose end is to be asked for: one may have been written before anybody listened.
    unread: BTreeSet<String>,
    asking: bool,
    ask_at: Timestamp,
    /// Jobs whose end `aborted` is still to be written.
    dependency_cancelled: BTreeSet<JobIndex>,
}

impl DependencyGraph {
    /// Jobs that depend on a cancelled one, and whose own end is still to be written.
    pub(crate) fn dependency_cancelled(&self) -> impl Iterator<Item = JobIndex> + '_ {
        self.dependency_cancelled.iter().copied()
    }

    /// How many jobs wait for the one of that name.
    pub(crate) fn dependent_count(&self, name: &str) -> usize {
        self.dependencies.get(name).map_or(0, |dependency| dependency.waiting.len())
    }
}

impl Scheduler {
    /// A job has come into the registry: what it needs is looked for.
    pub(crate) fn add_dependencies(&mut self, now: Timestamp, ix: JobIndex) {
        // What needs it may have come first: records are read in no order of theirs. (After each
        // failover half the steps of all chains had only their own priority, the lowest, and waited
        // for two minutes.)
        self.refresh_inherited(now, ix);
        let Some(job) = self.cluster.jobs.get_mut(&ix) else { return };
        if job.spec.dependencies.is_empty() {
            return;
        }
        // Accepted records name each once; one from outside may not.
        let dependencies: BTreeSet<String> = job.spec.dependencies.iter().cloned().collect();
        job.unmet_dependencies = dependencies.len();
        let mut depends_on_cancelled = false;
        for name in dependencies {
            let above = self.cluster.jobs_by_name.get(&name).and_then(|i| self.cluster.jobs.get(i));
            depends_on_cancelled |= above.is_some_and(|j| j.state().is_dependency_cancelled());
            // The end may have been told before there was anybody to tell it to.
            self.dependency_graph.unread.insert(name.clone());
            self.dependency_graph.dependencies.entry(name).or_default().waiting.insert(ix);
        }
        if depends_on_cancelled {
            self.cancel_dependents(vec![ix]);
        }
        self.propagate_to_dependencies(now, ix);
    }

    /// The job waits for nothing any more: it has ended.
    pub(crate) fn remove_dependencies(&mut self, now: Timestamp, ix: JobIndex) {
        self.dependency_graph.dependency_cancelled.remove(&ix);
        let Some(job) = self.cluster.jobs.get(&ix).filter(|j| j.unmet_dependencies > 0) else {
            return;
        };
        for name in &job.spec.dependencies {
            if let Some(dependency) = self.dependency_graph.dependencies.get_mut(name) {
                dependency.waiting.remove(&ix);
                if dependency.waiting.is_empty() {
                    self.dependency_graph.dependencies.remove(name);
                    self.dependency_graph.unread.remove(name);
                }
            }
        }
        self.propagate_to_dependencies(now, ix);
    }

    /// A job's end as it is stored. Nothing else may be told here.
    pub fn job_ended(&mut self, now: Timestamp, name: &str, end: JobEnd) {
        self.mark_job_ended(now, name);
        self.dependency_graph.unread.remove(name);
        let Some(dependency) = self.dependency_graph.dependencies.remove(name) else { return };
        match end {
            JobEnd::Done => {
                for ix in dependency.waiting {
                    self.dependency_met(now, ix);
                }
            }
            JobEnd::Cancelled => {
                let behind: Vec<JobIndex> = dependency.waiting.iter().copied().collect();
                // It stays what they wait for: they never begin.
                self.cancel_dependents(behind);
            }
        }
    }

    /// One of the jobs that it needs is done.
    fn dependency_met(&mut self, now: Timestamp, ix: JobIndex) {
        let Some(job) = self.cluster.jobs.get_mut(&ix) else { return };
        job.unmet_dependencies = job.unmet_dependencies.saturating_sub(1);
        if job.unmet_dependencies > 0 || job.is_ended() {
            return;
        }
        // Of one that an earlier leader released, the first placing tells about when that was.
        let begun = job.tasks.iter().filter(|t| t.phase != TaskPhase::Pending).map(|t| t.placed_at);
        job.ready_at = begun.min().unwrap_or(now);
        let (spec, since) = (job.spec.clone(), job.ready_at);
        let event = Event::JobReady {
            job: job.name.clone(),
            waited: since.since(job.accepted),
            priority: job.priority,
            dependencies: spec.dependencies.clone(),
        };
        self.log(event);
        self.run_times.learn_size(&spec, now, since);
        self.cluster.placement_needed = true;
    }

    /// Marks the jobs and all that need them, at every depth.
    fn cancel_dependents(&mut self, first: Vec<JobIndex>) {
        let mut work = first;
        while let Some(ix) = work.pop() {
            let Some(job) = self.cluster.jobs.get_mut(&ix) else { continue };
            if job.is_ended() || job.state().is_dependency_cancelled() {
                continue;
            }
            // What stands behind an unfinished job has never been started, so nothing of it is
            // anywhere. (Were a record from outside to say otherwise, its end would stop the tasks.)
            debug_assert!(job.placed == 0 && job.done == 0, "{} began too early", job.name);
            job.apply(JobEvent::DependencyCancelled);
            self.dependency_graph.dependency_cancelled.insert(ix);
            if let Some(dependency) = self.dependency_graph.dependencies.get(&job.name) {
                work.extend(dependency.waiting.iter().copied());
            }
        }
    }

    /// Asks for ends that may have been written unheard.
    pub(crate) fn look_up_job_ends(&mut self, now: Timestamp) {
        if self.dependency_graph.asking
            || self.dependency_graph.unread.is_empty()
            || now < self.dependency_graph.ask_at
        {
            return;
        }
        self.dependency_graph.asking = true;
        let names = self.dependency_graph.unread.iter().take(MAX_ASKED).cloned().collect();
        self.commands.push(Command::FindJobEnds { names });
    }

    /// The end of a job is known to be written, but not which: a write met it.
    pub(crate) fn job_ended_with_unknown_outcome(&mut self, now: Timestamp, name: &str) {
        self.mark_job_ended(now, name);
        if self.dependency_graph.dependencies.contains_key(name) {
            self.dependency_graph.unread.insert(name.to_owned());
        }
    }

    /// The answer to [`Command::FindJobEnds`], as far as it could be had.
    pub fn job_ends_found(&mut self, now: Timestamp, found: &[(String, JobEndLookup)]) {
        self.dependency_graph.asking = false;
        self.dependency_graph.ask_at = if found.is_empty() { now + ASK_AGAIN } else { now };
        for (name, found) in found {
            self.dependency_graph.unread.remove(name);
            match found {
                JobEndLookup::Ended(end) => self.job_ended(now, name, *end),
                // From here on its end is told by the watch, and by each reading of the records.
                JobEndLookup::Open => {}
                JobEndLookup::Missing => {
                    self.log_once(name, Anomaly::DependencyNeverSubmitted);
                }
            }
        }
    }

    /// Jobs that others wait for, whether in the registry or not.
    pub fn open_dependencies(&self) -> Vec<String> {
        self.dependency_graph.dependencies.keys().cloned().collect()
    }

    // ---- what is passed up a chain --------------------------------------------------------

    /// A job began or ceased to wait: what it passes to those that it needs changes, step by
    /// step, as far as it makes a difference.
    fn propagate_to_dependencies(&mut self, now: Timestamp, ix: JobIndex) {
        let mut work: VecDeque<JobIndex> = VecDeque::from([ix]);
        let mut queued = BTreeSet::from([ix]);
        let mut looks: HashMap<JobIndex, u32> = HashMap::new();
        while let Some(ix) = work.pop_front() {
            queued.remove(&ix);
            let Some(job) = self.cluster.jobs.get(&ix) else { continue };
            let above: Vec<JobIndex> = job
                .spec
                .dependencies
                .iter()
                .filter_map(|n| self.cluster.jobs_by_name.get(n).copied())
                .collect();
            for dependency in above {
                let looks = looks.entry(dependency).or_default();
                *looks += 1;
                if *looks <= MAX_LOOKS
                    && self.refresh_inherited(now, dependency)
                    && queued.insert(dependency)
                {
                    work.push_back(dependency);
                }
            }
        }
    }

    /// Works out a job's priority and deadline from its own and those of the jobs right behind it;
    /// whether either changed.
    fn refresh_inherited(&mut self, now: Timestamp, ix: JobIndex) -> bool {
        let Some(job) = self.cluster.jobs.get(&ix) else { return false };
        let mut priority = job.spec.priority;
        let mut effective_deadline = EffectiveDeadline::of(&job.spec, job.accepted);
        if let Some(dependency) = self.dependency_graph.dependencies.get(&job.name) {
            for next in dependency.waiting.iter().filter_map(|i| self.cluster.jobs.get(i)) {
                priority = priority.max(next.priority);
                let Some(theirs) = &next.effective_deadline else { continue };
                let after_s = theirs.after_s + self.step_takes(next);
                let passed = EffectiveDeadline { after_s, ..theirs.clone() };
                if effective_deadline.as_ref().is_none_or(|d| passed.left(now) < d.left(now)) {
                    effective_deadline = Some(passed);
                }
            }
        }
        if job.priority == priority && job.effective_deadline == effective_deadline {
            return false;
        }
        if let Some(job) = self.cluster.jobs.get_mut(&ix) {
            job.priority = priority;
            job.effective_deadline = effective_deadline;
        }
        self.cluster.placement_needed = true;
        true
    }

    /// Seconds from the release of a step to its end.
    fn step_takes(&self, job: &Job) -> f64 {
        self.run_times.expected_run(job) * SLOWEST + self.tunables.chain_step.as_secs_f64()
    }
}
