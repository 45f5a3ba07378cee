//! Handling of ended attempts: completions, failures, and whether a failure is attributed to the
//! machine or to the job.

use crate::event::Event;
use crate::model::ids::{Attempt, JobIndex, MachineIndex, TaskId};
use crate::model::machine::DrainReason;
use crate::model::task::{TaskEvent, TaskPhase};
use crate::protocol::workers::ExitReason;
use crate::reconciliation::health::drain;
use crate::reconciliation::heartbeats::Reconciler;
use crate::time::{TimeDelta, Timestamp};

/// Time for which a job's tasks are not placed after a worker refused a start of one of them.
const REFUSED_START_PAUSE: TimeDelta = TimeDelta::from_millis(500);
/// Upper bound for the exponent of the back-off: a job that fails on one machine after another
/// waits up to 2 to this power seconds between attempts.
const MAX_FAILURE_BACKOFF_EXPONENT: u32 = 5;

impl Reconciler<'_> {
    /// Records that the attempt completed on the machine.
    pub(crate) fn task_completed(&mut self, id: TaskId, machine: MachineIndex, attempt: Attempt) {
        let Some(task) = self.cluster.task(id) else { return };
        if task.phase == TaskPhase::Done || attempt > task.attempt {
            return;
        }
        let is_current = task.machine == machine && task.attempt == attempt;
        if task.phase.placed() && !is_current {
            // An older attempt completed. The newer one is no longer needed: it is stopped first,
            // and the task is free only once its absence is proven.
            self.messages.stop_task(self.cluster, self.now, id, 0.0);
            return;
        }
        if is_current {
            self.record_run_time(id);
        }
        if let Some(job) = self.cluster.jobs.get_mut(&id.job) {
            job.has_started = true;
        }
        self.clear_failures(id.job, machine);
        self.cluster.apply(self.now, id, TaskEvent::Completed);
    }

    /// Records that the attempt ended on the machine without completing.
    pub(crate) fn task_exited(&mut self, id: TaskId, machine: MachineIndex, reason: ExitReason) {
        if reason == ExitReason::Done {
            return;
        }
        self.cluster.apply(self.now, id, TaskEvent::ProvenAbsent);
        match reason {
            ExitReason::Error | ExitReason::Unknown | ExitReason::Other => {
                self.task_failed(id, machine)
            }
            ExitReason::NoRoom | ExitReason::InUse => {
                if let Some(job) = self.cluster.jobs.get_mut(&id.job) {
                    job.not_before = self.now + REFUSED_START_PAUSE;
                }
            }
            ExitReason::Stopped | ExitReason::Done => {}
        }
    }

    fn record_run_time(&mut self, id: TaskId) {
        let Some(job) = self.cluster.jobs.get_mut(&id.job) else { return };
        let Some(&started_at) = job.started.get(&id.index) else { return };
        let ran_s = self.now.since(started_at).as_secs_f64();
        self.run_times.learn_ratio(job.spec.class.clone(), ran_s, job.spec.estimate_s);
        job.run_times.0 += ran_s;
        job.run_times.1 += 1;
    }

    /// Clears the failures of a machine on which a task completed. If it is the job's first
    /// completion, the job was not the cause of its earlier failures, which are now attributed to
    /// the machines on which they occurred.
    fn clear_failures(&mut self, job_index: JobIndex, machine: MachineIndex) {
        let completed_on = &mut self.cluster.machines[machine];
        completed_on.failures.task_completed(self.now);
        let Some(job) = self.cluster.job(job_index).filter(|job| job.done == 0) else { return };
        let failed_on: Vec<(MachineIndex, Timestamp)> =
            job.error_machines.iter().map(|(&other, &at)| (other, at)).collect();
        for (other, failed_at) in failed_on {
            if !self.cluster.machines[other].failures.completed_since(failed_at) {
                self.attribute_to_machine(other, job_index);
            }
        }
    }

    /// Records that the attempt ended with an error.
    fn task_failed(&mut self, id: TaskId, machine: MachineIndex) {
        let Some(job) = self.cluster.jobs.get_mut(&id.job) else { return };
        job.error_machines.insert(machine, self.now);
        // A job that fails on one machine after another and completes nowhere is itself the cause.
        // It is retried at growing intervals, and its failures are not attributed to any machine.
        let job_is_suspect = job.suspect();
        if job_is_suspect && self.now >= job.not_before {
            job.errors += 1;
            let backoff_s = 1u64 << job.errors.min(MAX_FAILURE_BACKOFF_EXPONENT);
            job.not_before = self.now + TimeDelta::from_secs(backoff_s);
        }
        let task = job.task_name(id.index);
        if job_is_suspect {
            for &other in job.error_machines.keys() {
                self.cluster.machines[other].failures.remove_job(id.job);
            }
        }
        let machine_name = self.cluster.machines[machine].name.clone();
        self.events.push(Event::TaskFailed { task, machine: machine_name });
        if !job_is_suspect {
            self.attribute_to_machine(machine, id.job);
        }
    }

    /// Attributes a failure of the job to the machine, and drains the machine if too many jobs have
    /// failed there.
    fn attribute_to_machine(&mut self, index: MachineIndex, job: JobIndex) {
        let machine = &mut self.cluster.machines[index];
        let failed_jobs = machine.failures.attribute(job);
        if failed_jobs as u32 >= self.sick_after && machine.drain_reason.is_none() {
            self.events.push(drain(machine, DrainReason::FailsTasks));
        }
    }
}
