//! Layout of the keys in the key-value store.

/// Key held by the current leader; its revision is the leader's term.
pub const LEADER: &str = "leader";
/// Key of the machine types that the cloud offers.
pub const TYPES: &str = "types";
/// Prefix of the descriptions of jobs without dependencies.
pub const TODO: &str = "todo/";
/// Prefix of the descriptions of jobs with dependencies. Versions without support for dependencies
/// read only `todo/`, so they can't start such a job too early if one of their nodes becomes
/// leader.
pub const CHAINED: &str = "todo-chain/";
/// Common prefix of the descriptions of all jobs, so that one list and one watch cover both kinds.
pub const DESCRIPTIONS: &str = "todo";
/// Prefix of the chunks of task records.
pub const RUN: &str = "run/";
/// Prefix of the records that prove the acceptance of jobs.
pub const JOB: &str = "job/";
/// Prefix of the records of job ends.
pub const END: &str = "end/";

/// Returns the key of the record that proves the job's acceptance. It is created once and never
/// deleted.
pub fn job(name: &str) -> String {
    format!("{JOB}{name}")
}

/// Returns the key of the description of a job without dependencies. It is kept until the job's
/// records are deleted.
pub fn todo(name: &str) -> String {
    format!("{TODO}{name}")
}

/// Returns the key of a job's description; `chained` is whether the job depends on others.
pub fn description(name: &str, chained: bool) -> String {
    match chained {
        true => format!("{CHAINED}{name}"),
        false => todo(name),
    }
}

/// Returns the name of the job that a description's key belongs to, with or without dependencies.
pub fn described_job(key: &str) -> Option<&str> {
    key.strip_prefix(TODO).or_else(|| key.strip_prefix(CHAINED))
}

/// Returns the key of a job's end. It is created once, by the first node that ends the job.
pub fn end(name: &str) -> String {
    format!("{END}{name}")
}

/// Returns the key of a chunk of a job's task records.
pub fn run(name: &str, chunk: usize) -> String {
    format!("{RUN}{name}/{chunk:05}")
}

/// Returns the key of a part of a chunk: a separate record of the tasks from number `from` on, used
/// when the whole chunk is too large a value.
pub fn part(name: &str, chunk: usize, from: u32) -> String {
    format!("{RUN}{name}/{chunk:05}.{from:06}")
}

/// Returns the key of a chunk, or of the part of it whose first task is given.
pub fn task_record(name: &str, chunk: usize, part: Option<u32>) -> String {
    match part {
        Some(from) => self::part(name, chunk, from),
        None => run(name, chunk),
    }
}

/// The parsed key of a chunk or of a part of a chunk.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct RunKey<'a> {
    /// Name of the job that the tasks belong to.
    pub job: &'a str,
    /// Number of the chunk within the job, from 0.
    pub chunk: usize,
    /// Number of the part's first task; `None` for a whole chunk.
    pub part: Option<u32>,
}

impl<'a> RunKey<'a> {
    /// Parses a key built by [`run`] or [`part`]; returns `None` for any other key.
    pub fn parse(key: &'a str) -> Option<RunKey<'a>> {
        let (job, place) = key.strip_prefix(RUN)?.rsplit_once('/')?;
        let (chunk, part) = match place.split_once('.') {
            Some((chunk, from)) => (chunk, Some(from.parse().ok()?)),
            None => (place, None),
        };
        Some(RunKey { job, chunk: chunk.parse().ok()?, part })
    }
}
