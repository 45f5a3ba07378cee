//! Writes the scheduler's events to the log, with a constant message and the details as fields.
//! `docs/operations.md` explains each message and how to respond to it.

use tracing::info;
use walnutlug_scheduler::event::{
    Anomaly, Event, FleetCost, HeldEntries, HeldShare, JobDone, MachineScaledIn, SupersededStart,
    WriteCounts,
};
use walnutlug_scheduler::model::machine::DrainReason;

/// Writes one scheduler event to the log, always at level info.
pub(super) fn write(event: &Event) {
    match event {
        Event::JobDone(done) => write_job_done(done),
        Event::JobCancelledByDependency { job } => {
            info!(%job, "job cancelled: a job it depends on was cancelled");
        }
        Event::JobReady { job, waited, priority, dependencies } => {
            let dependencies = dependencies.join(",");
            let waited_s = format_args!("{:.1}", waited.as_secs_f64());
            info!(%job, %waited_s, ?priority, %dependencies, "job ready: all dependencies are done");
        }
        Event::JobWaits { job, reason, waiting } => {
            let waiting_s = format_args!("{:.0}", waiting.as_secs_f64());
            info!(%job, %reason, %waiting_s, "job waits for capacity");
        }
        Event::TaskPreempted { task } => info!(%task, "task preempted"),
        Event::TaskFailed { task, machine } => info!(%task, %machine, "task failed"),
        Event::StartUnconfirmed { task } => {
            info!(%task, "task start unconfirmed by its deadline: state unknown");
        }
        Event::StartSuperseded(superseded) => write_superseded(superseded),
        Event::MachineInterruptionNotice { machine } => {
            info!(%machine, "spot interruption notice");
        }
        Event::MachineDrained { machine, reason } => write_drained(machine, *reason),
        Event::ScaleIn { machines } => write_scale_in(machines),
        Event::ScaleOutAnswered { requested, granted, machine_type, zone, spot } => {
            info!(requested, granted, %machine_type, %zone, spot, "scale-out answered");
        }
        Event::FleetCost(cost) => write_cost(cost),
        Event::Writes(written) => write_counts(written),
        Event::Held(held) => write_held(held),
        Event::Shares { shares } => write_shares(shares),
        Event::OverloadEntered { waiting } => {
            let waiting = format_args!("{waiting:.2}");
            info!(%waiting, "fleet overloaded: capacity now shared by team and class");
        }
        Event::OverloadLeft => info!("fleet no longer overloaded"),
        Event::Anomaly { name, kind } => write_anomaly(name, *kind),
    }
}

fn write_job_done(done: &JobDone) {
    let deadline_s = done.deadline_s.map(|deadline| deadline.round());
    info!(
        job = %done.job,
        class = %done.class,
        tasks = done.tasks,
        elapsed_s = %format_args!("{:.1}", done.elapsed.as_secs_f64()),
        deadline_s,
        estimate_s = done.estimate_s.round(),
        mean_run_s = done.mean_run_s.round(),
        "job done"
    );
}

fn write_superseded(superseded: &SupersededStart) {
    info!(
        task = %superseded.task,
        outcome = ?superseded.outcome,
        attempt = %superseded.attempt,
        machine = %superseded.machine,
        current_phase = ?superseded.current_phase,
        current_attempt = %superseded.current_attempt,
        current_machine = superseded.current_machine,
        "task start superseded before its transaction was settled"
    );
}

fn write_drained(machine: &str, reason: DrainReason) {
    info!(%machine, %reason, "machine drained");
}

fn write_scale_in(machines: &[MachineScaledIn]) {
    let one = |machine: &MachineScaledIn| match machine.reason {
        Some(reason) => format!("{} ({reason})", machine.machine),
        None => format!("{} (repeated)", machine.machine),
    };
    let machines = machines.iter().map(one).collect::<Vec<_>>().join(", ");
    info!(%machines, "scale-in requested");
}

fn write_cost(cost: &FleetCost) {
    let amount = |amount: f64| format!("{amount:.3}");
    info!(
        total = %amount(cost.spot + cost.ordinary),
        spot = %amount(cost.spot),
        ordinary = %amount(cost.ordinary),
        running = %amount(cost.running),
        fetching = %amount(cost.fetching),
        booting = %amount(cost.booting),
        idle_spot = %amount(cost.idle_spot),
        idle_ordinary = %amount(cost.idle_ordinary),
        "fleet cost"
    );
}

fn write_counts(written: &WriteCounts) {
    info!(
        starts = written.starts,
        task_states = written.task_states,
        job_ends = written.job_ends,
        deletes = written.deletes,
        jobs_deleted = written.jobs_deleted,
        tasks_placed = written.tasks_placed,
        image_cached = written.image_cached,
        "store writes and task placements"
    );
}

fn write_held(held: &HeldEntries) {
    info!(
        jobs = held.jobs,
        max_job_bytes = held.max_job_bytes,
        tasks = held.tasks,
        chunks = held.chunks,
        machines = held.machines,
        process_kb = process_kb(),
        "entries held by the leader"
    );
}

/// Returns the anonymous memory of this process in KiB, where the system tells it.
fn process_kb() -> Option<u64> {
    let status = std::fs::read_to_string("/proc/self/status").ok()?;
    let line = status.lines().find_map(|line| line.strip_prefix("RssAnon:"))?;
    line.split_whitespace().next()?.parse().ok()
}

fn write_shares(shares: &[HeldShare]) {
    let one = |held: &HeldShare| {
        let class = held.class.as_deref().unwrap_or("further classes");
        format!("{}/{class} {:.3}", held.team, held.share)
    };
    let shares = shares.iter().map(one).collect::<Vec<_>>().join(", ");
    info!(%shares, "shares of the overloaded fleet by team and class");
}

fn write_anomaly(name: &str, kind: Anomaly) {
    match kind {
        Anomaly::NewerTerm => info!(machine = %name, "heartbeat carries a token of a newer term"),
        Anomaly::HeartbeatAfterTermination => {
            info!(machine = %name, "heartbeat received from a terminated machine");
        }
        Anomaly::LateHeartbeat => {
            info!(machine = %name, "late heartbeat from an earlier agent epoch")
        }
        Anomaly::UnexpectedTasks => info!(machine = %name, "machine runs unexpected tasks"),
        Anomaly::DependencyNeverSubmitted => info!(job = %name, "dependency was never submitted"),
        Anomaly::UnreadableDescription => {
            info!(job = %name, "stored job description is unreadable")
        }
        Anomaly::DescriptionOutOfRange => {
            info!(job = %name, "stored job description is out of range")
        }
    }
}
