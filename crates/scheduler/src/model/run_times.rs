//! What the leader learns of classes of jobs: how far estimates are off, and how large jobs are.

use std::collections::HashMap;

use crate::model::job::Job;
use crate::model::job_spec::JobSpec;
use crate::time::Timestamp;

/// Classes to learn about; more than any deployment has, fewer than would hurt.
const MAX_CLASSES: usize = 1_000;

/// Ratios of run time to estimate: the sum of their logarithms and their count, older ones counting less.
#[derive(Debug, Clone, Copy, Default)]
pub(crate) struct RunTimeRatio {
    pub(crate) log_sum: f64,
    pub(crate) count: f64,
}

/// The size of a class's jobs.
#[derive(Debug, Clone, Copy)]
pub(crate) struct JobSize {
    /// Processors of all tasks of a job, averaged.
    pub(crate) cpus: f64,
    /// When a job of the class came last.
    pub(crate) last_seen: Timestamp,
}

/// What was learned, by class.
#[derive(Debug, Default)]
pub struct RunTimes {
    pub(crate) ratios: HashMap<String, RunTimeRatio>,
    pub(crate) sizes: HashMap<String, JobSize>,
}

impl RunTimes {
    /// Learns how large the class's jobs are, from one that can begin.
    pub(crate) fn learn_size(&mut self, spec: &JobSpec, now: Timestamp, since: Timestamp) {
        if self.sizes.len() > MAX_CLASSES {
            self.sizes.clear();
            self.ratios.clear();
        }
        let size = f64::from(spec.tasks) * spec.cpus;
        let first = JobSize { cpus: size, last_seen: now };
        let known = self.sizes.entry(spec.class.clone()).or_insert(first);
        known.cpus += 0.2 * (size - known.cpus);
        known.last_seen = known.last_seen.max(since);
    }

    /// How long a task of the job is expected to run. The owner's estimate is corrected by what
    /// the class's tasks took so far, and by the job's own once some have completed; an estimate
    /// of nothing, or an absurd one, is bounded so that it can't upset the order.
    pub fn expected_run(&self, job: &Job) -> f64 {
        if job.run_times.1 >= 2 {
            return job.run_times.0 / f64::from(job.run_times.1);
        }
        let estimate = job.spec.estimate_s.clamp(0.1, 1.0e6);
        match self.ratios.get(&job.spec.class) {
            Some(ratio) if ratio.count >= 5.0 => estimate * (ratio.log_sum / ratio.count).exp(),
            _ => estimate,
        }
    }

    /// Learns from a task that ran to its end.
    pub(crate) fn learn_ratio(&mut self, class: String, ran_s: f64, estimate_s: f64) {
        let ratio = self.ratios.entry(class).or_default();
        if estimate_s > 0.0 && ran_s > 0.0 {
            ratio.log_sum = ratio.log_sum * 0.98 + (ran_s / estimate_s).clamp(0.05, 20.0).ln();
            ratio.count = ratio.count * 0.98 + 1.0;
        }
    }
}
