//! Upper bound of the memory that a leader comes to hold for a job, from its description alone.
//!
//! Placed tasks are not included: their number is bounded by the fleet and not by what is accepted.

use crate::model::job_spec::JobSpec;

/// Memory of a job with one task, and of its entries in all tables, in bytes.
const JOB_BYTES: u64 = 3 * 1024;
/// Memory of a dependency besides its name, which several tables hold, in bytes.
const DEPENDENCY_BYTES: u64 = 256;
/// Copies of each name that are kept.
const NAME_COPIES: u64 = 4;
/// Memory of the entry of a stored chunk, in bytes.
const CHUNK_BYTES: u64 = 160;
/// Sets of tasks that are kept for a job: those that are not pending, of a later attempt, changed.
const TASK_SETS: u64 = 3;
/// Memory of a task in a sparse set, in bytes.
const SET_ENTRY_BYTES: u64 = 4;
/// Number of tasks that share a container of a dense set, and the container's size in bytes.
const SET_CONTAINER_TASKS: u64 = 65_536;
const SET_CONTAINER_BYTES: u64 = 8_192 + 128;

/// Returns the most memory that the job takes besides its placed tasks, in bytes.
pub fn max_bytes(spec: &JobSpec, chunk_size: u32) -> u64 {
    let tasks = u64::from(spec.tasks);
    let chunks = u64::from(spec.tasks.div_ceil(chunk_size.max(1)));
    let dense = tasks.div_ceil(SET_CONTAINER_TASKS) * SET_CONTAINER_BYTES;
    let set = dense.min(tasks * SET_ENTRY_BYTES);
    JOB_BYTES + names_bytes(spec) + chunks * CHUNK_BYTES + set * TASK_SETS
}

fn names_bytes(spec: &JobSpec) -> u64 {
    let optional = spec.zone.iter().chain(spec.types.iter().flatten());
    let names = [&spec.class, &spec.team, &spec.image].into_iter().chain(optional);
    let names: u64 = names.map(|name| name.len() as u64).sum();
    let dependencies = spec.dependencies.iter().map(|name| name.len() as u64);
    let dependencies: u64 = dependencies.map(|len| len * NAME_COPIES + DEPENDENCY_BYTES).sum();
    names * NAME_COPIES + dependencies
}
