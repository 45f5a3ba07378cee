//! Statistics per job class: how far the users' run time estimates are off, and how large the jobs
//! are.

use std::collections::HashMap;

use crate::model::job::Job;
use crate::model::job_spec::JobSpec;
use crate::time::Timestamp;

/// Limit on the number of classes with statistics, to bound memory. It is above the number of
/// classes in any known deployment.
const MAX_CLASSES: usize = 1_000;

/// Ratio of actual run time to estimate, as an exponentially weighted mean of its logarithm: the
/// weighted sum and the total weight.
#[derive(Debug, Clone, Copy, Default)]
pub(crate) struct RunTimeRatio {
    pub(crate) log_sum: f64,
    pub(crate) count: f64,
}

/// Typical size of the jobs of one class.
#[derive(Debug, Clone, Copy)]
pub(crate) struct JobSize {
    /// Moving average of the CPUs that all tasks of a job request together.
    pub(crate) cpus: f64,
    /// When the last job of the class became ready to start.
    pub(crate) last_seen: Timestamp,
}

/// Run time ratios and job sizes by class.
#[derive(Debug, Default)]
pub struct RunTimes {
    pub(crate) ratios: HashMap<String, RunTimeRatio>,
    pub(crate) sizes: HashMap<String, JobSize>,
}

impl RunTimes {
    /// Updates the class's typical job size with a job that became ready at `since`.
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

    /// Returns the expected run time in seconds of a task of the job. Uses the mean of the job's
    /// own completed tasks from the second one on; before that, the user's estimate, corrected by
    /// the ratio observed for the class. The estimate is clamped, so that a value of zero or an
    /// absurd one cannot distort the queue order.
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

    /// Updates the class's run time ratio with a completed task.
    pub(crate) fn learn_ratio(&mut self, class: String, ran_s: f64, estimate_s: f64) {
        let ratio = self.ratios.entry(class).or_default();
        if estimate_s > 0.0 && ran_s > 0.0 {
            ratio.log_sum = ratio.log_sum * 0.98 + (ran_s / estimate_s).clamp(0.05, 20.0).ln();
            ratio.count = ratio.count * 0.98 + 1.0;
        }
    }
}
