//! Dependencies between jobs: when a job is released, what it inherits from the jobs that depend on
//! it, and how a cancellation reaches them.
//!
//! A job is released once the stored end of each of its dependencies is `done`, and by nothing
//! else: not by a count of finished tasks, a hint from a peer or a write of unknown outcome. Ends
//! never change, so an end that was read once stays valid, and a new leader that reads the ends
//! again arrives at the same state. An end `aborted` cancels all direct and indirect dependents at
//! once. Each of their ends is written like any other, on condition that none is stored yet, so any
//! leader can continue the work from the store alone.

use std::collections::{BTreeSet, HashMap, VecDeque};

use crate::command::Command;
use crate::event::{Anomaly, Event};
use crate::model::ids::JobIndex;
use crate::model::job::Job;
use crate::model::job_spec::{JobEnd, JobSpec};
use crate::model::job_state::JobEvent;
use crate::scheduler::Scheduler;
use crate::time::{TimeDelta, Timestamp};

/// Most job names in one lookup of ends.
const MAX_NAMES_PER_LOOKUP: usize = 400;
/// Delay before the rest of a lookup that was answered only in part is repeated.
const LOOKUP_RETRY_DELAY: TimeDelta = TimeDelta::from_millis(400);
/// Expected run time of the slowest task of a job, as a multiple of the expected run time of a
/// task.
const SLOWEST_TASK_FACTOR: f64 = 1.3;
/// How often the priority and deadline of one job are recomputed for one event. More would be
/// needed only where many paths lead to the same job, and would change little; and damaged records
/// with a dependency cycle would never end.
const MAX_RECOMPUTATIONS: u32 = 16;

/// The tightest deadline that a job has to meet for itself or for a job that depends on it.
#[derive(Debug, Clone, PartialEq)]
pub struct EffectiveDeadline {
    /// When the job that has the deadline was accepted.
    pub accepted: Timestamp,
    /// Seconds from the acceptance to the deadline.
    pub deadline_s: f64,
    /// Class of the job that has the deadline: its objectives may allow for a multiple of the
    /// deadline.
    pub class: String,
    /// Seconds that the jobs between this one and the deadline are expected to take, including the
    /// job that has the deadline.
    pub chain_s: f64,
}

impl EffectiveDeadline {
    /// Returns the job's own deadline, if it has one.
    pub fn of(spec: &JobSpec, accepted: Timestamp) -> Option<EffectiveDeadline> {
        let class = spec.class.clone();
        Some(EffectiveDeadline { accepted, deadline_s: spec.deadline_s?, class, chain_s: 0.0 })
    }

    /// Seconds left until the job has to be done for the deadline to be met; negative if it is
    /// late.
    pub fn left(&self, now: Timestamp) -> f64 {
        self.deadline_s - now.since(self.accepted).as_secs_f64() - self.chain_s
    }
}

/// Result of a lookup of a job's stored end.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum JobEndLookup {
    /// The job's end is stored.
    Ended(JobEnd),
    /// The job was accepted, and had no end at the time of the lookup.
    Open,
    /// No job of that name was ever submitted.
    Missing,
}

/// A job that others depend on and whose end hasn't been read yet.
#[derive(Debug, Default)]
struct Dependency {
    /// Jobs in the registry that can't start before its end.
    dependents: BTreeSet<JobIndex>,
}

#[derive(Debug, Default)]
pub(crate) struct DependencyGraph {
    /// Dependencies by name. Only those without a known end that a job in the registry depends on.
    dependencies: HashMap<String, Dependency>,
    /// Dependencies whose end has to be looked up, since it may have been written before this
    /// leader watched for it.
    unknown_ends: BTreeSet<String>,
    lookup_in_flight: bool,
    next_lookup_at: Timestamp,
    /// Jobs whose end `aborted` is still to be written.
    dependency_cancelled: BTreeSet<JobIndex>,
}

impl DependencyGraph {
    /// Jobs that depend on a cancelled job and whose own end is still to be written.
    pub(crate) fn dependency_cancelled(&self) -> impl Iterator<Item = JobIndex> + '_ {
        self.dependency_cancelled.iter().copied()
    }

    /// Number of jobs that depend directly on the job of that name.
    pub(crate) fn dependent_count(&self, name: &str) -> usize {
        self.dependencies.get(name).map_or(0, |dependency| dependency.dependents.len())
    }
}

impl Scheduler {
    /// Registers the dependencies of a job that was added to the registry, and cancels it if one of
    /// them is cancelled.
    pub(crate) fn add_dependencies(&mut self, now: Timestamp, ix: JobIndex) {
        // Dependents may be in the registry already, since records are loaded in any order.
        // (Without this, half the jobs of all chains had only their own priority after each
        // failover, the lowest, and waited for two minutes.)
        self.refresh_inherited(now, ix);
        let Some(job) = self.cluster.jobs.get_mut(&ix) else { return };
        if job.spec.dependencies.is_empty() {
            return;
        }
        // Accepted records name each dependency once; records written by others may not.
        let dependencies: BTreeSet<String> = job.spec.dependencies.iter().cloned().collect();
        job.unmet_dependencies = dependencies.len();
        let mut depends_on_cancelled = false;
        for name in dependencies {
            let dependency =
                self.cluster.jobs_by_name.get(&name).and_then(|i| self.cluster.jobs.get(i));
            depends_on_cancelled |= dependency.is_some_and(|j| j.state().is_dependency_cancelled());
            // The end may have been reported before any job depended on it here.
            self.dependency_graph.unknown_ends.insert(name.clone());
            self.dependency_graph.dependencies.entry(name).or_default().dependents.insert(ix);
        }
        if depends_on_cancelled {
            self.cancel_dependents(vec![ix]);
        }
        self.propagate_to_dependencies(now, ix);
    }

    /// Removes a job that has ended from the dependents of other jobs.
    pub(crate) fn remove_dependencies(&mut self, now: Timestamp, ix: JobIndex) {
        self.dependency_graph.dependency_cancelled.remove(&ix);
        let Some(job) = self.cluster.jobs.get(&ix).filter(|j| j.unmet_dependencies > 0) else {
            return;
        };
        for name in &job.spec.dependencies {
            if let Some(dependency) = self.dependency_graph.dependencies.get_mut(name) {
                dependency.dependents.remove(&ix);
                if dependency.dependents.is_empty() {
                    self.dependency_graph.dependencies.remove(name);
                    self.dependency_graph.unknown_ends.remove(name);
                }
            }
        }
        self.propagate_to_dependencies(now, ix);
    }

    /// Takes in a job's end as it is stored, and releases or cancels the jobs that depend on it.
    /// Must be called only with an end that is stored.
    pub fn job_ended(&mut self, now: Timestamp, name: &str, end: JobEnd) {
        self.mark_job_ended(now, name);
        self.dependency_graph.unknown_ends.remove(name);
        let Some(dependency) = self.dependency_graph.dependencies.remove(name) else { return };
        match end {
            JobEnd::Done => {
                for ix in dependency.dependents {
                    self.dependency_met(now, ix);
                }
            }
            JobEnd::Cancelled => {
                let dependents: Vec<JobIndex> = dependency.dependents.iter().copied().collect();
                // The dependents keep their unmet dependency, so they never start.
                self.cancel_dependents(dependents);
            }
        }
    }

    /// Counts a dependency as done, and releases the job if it was the last.
    fn dependency_met(&mut self, now: Timestamp, ix: JobIndex) {
        let Some(job) = self.cluster.jobs.get_mut(&ix) else { return };
        job.unmet_dependencies = job.unmet_dependencies.saturating_sub(1);
        if job.unmet_dependencies > 0 || job.is_ended() {
            return;
        }
        // If an earlier leader released the job, its earliest placement is the best known time of
        // release.
        job.ready_at = job.tasks.earliest_placement().unwrap_or(now);
        let (spec, released_at) = (job.spec.clone(), job.ready_at);
        let event = Event::JobReady {
            job: job.name.clone(),
            waited: released_at.since(job.accepted),
            priority: job.priority,
            dependencies: spec.dependencies.clone(),
        };
        self.log(event);
        self.run_times.learn_size(&spec, now, released_at);
        self.cluster.placement_needed = true;
    }

    /// Marks the jobs and all their direct and indirect dependents as cancelled.
    fn cancel_dependents(&mut self, roots: Vec<JobIndex>) {
        let mut stack = roots;
        while let Some(ix) = stack.pop() {
            let Some(job) = self.cluster.jobs.get_mut(&ix) else { continue };
            if job.is_ended() || job.state().is_dependency_cancelled() {
                continue;
            }
            // A job with an unfinished dependency was never started, so none of its tasks runs. (If
            // a record written by others says otherwise, writing the end stops the tasks.)
            debug_assert!(
                job.placed == 0 && job.done == 0,
                "{} started before its dependencies were done",
                job.name
            );
            job.apply(JobEvent::DependencyCancelled);
            self.dependency_graph.dependency_cancelled.insert(ix);
            if let Some(dependency) = self.dependency_graph.dependencies.get(&job.name) {
                stack.extend(dependency.dependents.iter().copied());
            }
        }
    }

    /// Looks up the ends that may have been written before this leader watched for them.
    pub(crate) fn look_up_job_ends(&mut self, now: Timestamp) {
        if self.dependency_graph.lookup_in_flight
            || self.dependency_graph.unknown_ends.is_empty()
            || now < self.dependency_graph.next_lookup_at
        {
            return;
        }
        self.dependency_graph.lookup_in_flight = true;
        let names =
            self.dependency_graph.unknown_ends.iter().take(MAX_NAMES_PER_LOOKUP).cloned().collect();
        self.commands.push(Command::FindJobEnds { names });
    }

    /// Takes in that a job has ended where it isn't known how, since a write conflicted with the
    /// stored end. The end is looked up if other jobs depend on it.
    pub(crate) fn job_ended_with_unknown_outcome(&mut self, now: Timestamp, name: &str) {
        self.mark_job_ended(now, name);
        if self.dependency_graph.dependencies.contains_key(name) {
            self.dependency_graph.unknown_ends.insert(name.to_owned());
        }
    }

    /// Handles the answer to [`Command::FindJobEnds`], which may cover only some of the names.
    pub fn job_ends_found(&mut self, now: Timestamp, found: &[(String, JobEndLookup)]) {
        self.dependency_graph.lookup_in_flight = false;
        self.dependency_graph.next_lookup_at =
            if found.is_empty() { now + LOOKUP_RETRY_DELAY } else { now };
        for (name, found) in found {
            self.dependency_graph.unknown_ends.remove(name);
            match found {
                JobEndLookup::Ended(end) => self.job_ended(now, name, *end),
                // From here on the watch reports its end, and so does each reload of the records.
                JobEndLookup::Open => {}
                JobEndLookup::Missing => {
                    self.log_once(name, Anomaly::DependencyNeverSubmitted);
                }
            }
        }
    }

    /// Names of the jobs without a known end that others depend on, whether in the registry or not.
    pub fn open_dependencies(&self) -> Vec<String> {
        self.dependency_graph.dependencies.keys().cloned().collect()
    }

    // ---- inheritance of priorities and deadlines --------------------------------------------

    /// Recomputes priority and deadline of the direct and indirect dependencies of a job that was
    /// added or has ended, as far as they change.
    fn propagate_to_dependencies(&mut self, now: Timestamp, ix: JobIndex) {
        let mut worklist: VecDeque<JobIndex> = VecDeque::from([ix]);
        let mut queued = BTreeSet::from([ix]);
        let mut recomputations: HashMap<JobIndex, u32> = HashMap::new();
        while let Some(ix) = worklist.pop_front() {
            queued.remove(&ix);
            let Some(job) = self.cluster.jobs.get(&ix) else { continue };
            let dependencies: Vec<JobIndex> = job
                .spec
                .dependencies
                .iter()
                .filter_map(|n| self.cluster.jobs_by_name.get(n).copied())
                .collect();
            for dependency in dependencies {
                let recomputations = recomputations.entry(dependency).or_default();
                *recomputations += 1;
                if *recomputations <= MAX_RECOMPUTATIONS
                    && self.refresh_inherited(now, dependency)
                    && queued.insert(dependency)
                {
                    worklist.push_back(dependency);
                }
            }
        }
    }

    /// Recomputes a job's priority and deadline from its own and those of its direct dependents.
    /// Returns whether either changed.
    fn refresh_inherited(&mut self, now: Timestamp, ix: JobIndex) -> bool {
        let Some(job) = self.cluster.jobs.get(&ix) else { return false };
        let mut priority = job.spec.priority;
        let mut effective_deadline = EffectiveDeadline::of(&job.spec, job.accepted);
        if let Some(dependency) = self.dependency_graph.dependencies.get(&job.name) {
            for dependent in dependency.dependents.iter().filter_map(|i| self.cluster.jobs.get(i)) {
                priority = priority.max(dependent.priority);
                let Some(dependent_deadline) = &dependent.effective_deadline else { continue };
                let chain_s = dependent_deadline.chain_s + self.expected_chain_step_s(dependent);
                let inherited = EffectiveDeadline { chain_s, ..dependent_deadline.clone() };
                if effective_deadline.as_ref().is_none_or(|d| inherited.left(now) < d.left(now)) {
                    effective_deadline = Some(inherited);
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

    /// Expected seconds from the release of a job in a chain to its end.
    fn expected_chain_step_s(&self, job: &Job) -> f64 {
        self.run_times.expected_run(job) * SLOWEST_TASK_FACTOR
            + self.tunables.chain_step.as_secs_f64()
    }
}
