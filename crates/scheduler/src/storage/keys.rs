//! The key under which each record is kept.

pub const LEADER: &str = "leader";
pub const TYPES: &str = "types";
pub const TODO: &str = "todo/";
/// Descriptions of jobs that wait for others. A version without chains reads `todo/` alone: it
/// never sees these, and so can't start one too early, whenever it comes to lead.
pub const CHAINED: &str = "todo-chain/";
/// What both kinds of descriptions begin with: one list and one watch serve both.
pub const DESCRIPTIONS: &str = "todo";
pub const RUN: &str = "run/";
pub const JOB: &str = "job/";
pub const END: &str = "end/";

/// Proof that the job was accepted. Created once, never deleted.
pub fn job(name: &str) -> String {
    format!("{JOB}{name}")
}
/// The description, for as long as there is anything to do about the job.
pub fn todo(name: &str) -> String {
    format!("{TODO}{name}")
}
/// Where the description of a job is kept, one of a chain or not.
pub fn description(name: &str, chained: bool) -> String {
    match chained {
        true => format!("{CHAINED}{name}"),
        false => todo(name),
    }
}
/// The job whose description the key holds, of either kind.
pub fn described(key: &str) -> Option<&str> {
    key.strip_prefix(TODO).or_else(|| key.strip_prefix(CHAINED))
}
pub fn end(name: &str) -> String {
    format!("{END}{name}")
}
pub fn run(name: &str, chunk: usize) -> String {
    format!("{RUN}{name}/{chunk:05}")
}
/// Tasks of a chunk, from the one with that number on, that are kept apart from it because the
/// whole would be too large a value.
pub fn part(name: &str, chunk: usize, from: u32) -> String {
    format!("{RUN}{name}/{chunk:05}.{from:06}")
}
/// The job, the chunk and, of a part, its first task.
pub fn split_run(key: &str) -> Option<(&str, usize, Option<u32>)> {
    let (name, place) = key.strip_prefix(RUN)?.rsplit_once('/')?;
    Some(match place.split_once('.') {
        Some((chunk, from)) => (name, chunk.parse().ok()?, Some(from.parse().ok()?)),
        None => (name, place.parse().ok()?, None),
    })
}
