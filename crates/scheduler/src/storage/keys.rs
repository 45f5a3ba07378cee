//! The key under which each record is kept.

/// Held by the leader; its revision is the term.
pub const LEADER: &str = "leader";
/// The machine types that the cloud offers.
pub const TYPES: &str = "types";
/// Prefix of the descriptions of jobs without dependencies.
pub const TODO: &str = "todo/";
/// Prefix of the descriptions of jobs that depend on others. A version without dependencies reads
/// `todo/` alone: it never sees these, and so can't start one too early, whenever it comes to lead.
pub const CHAINED: &str = "todo-chain/";
/// Common prefix of both kinds of descriptions: one list and one watch serve both.
pub const DESCRIPTIONS: &str = "todo";
/// Prefix of the chunks of task records.
pub const RUN: &str = "run/";
/// Prefix of the proofs of acceptance.
pub const JOB: &str = "job/";
/// Prefix of the ends of jobs.
pub const END: &str = "end/";

/// Proof that the job was accepted. Created once, never deleted.
pub fn job(name: &str) -> String {
    format!("{JOB}{name}")
}

/// The description of a job without dependencies, kept until the job's records are deleted.
pub fn todo(name: &str) -> String {
    format!("{TODO}{name}")
}

/// The description of a job; `chained` if it depends on others.
pub fn description(name: &str, chained: bool) -> String {
    match chained {
        true => format!("{CHAINED}{name}"),
        false => todo(name),
    }
}

/// The job whose description the key holds, of either kind.
pub fn described_job(key: &str) -> Option<&str> {
    key.strip_prefix(TODO).or_else(|| key.strip_prefix(CHAINED))
}

/// The end of a job. Created once, by whoever ends the job first.
pub fn end(name: &str) -> String {
    format!("{END}{name}")
}

/// A chunk of a job's task records.
pub fn run(name: &str, chunk: usize) -> String {
    format!("{RUN}{name}/{chunk:05}")
}

/// Tasks of a chunk, from the one with that number on, that are kept apart from it because the
/// whole would be too large a value.
pub fn part(name: &str, chunk: usize, from: u32) -> String {
    format!("{RUN}{name}/{chunk:05}.{from:06}")
}

/// What a key of a chunk, or of a part of one, names.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct RunKey<'a> {
    /// The job's name.
    pub job: &'a str,
    /// The chunk's number in the job.
    pub chunk: usize,
    /// The first task of a part; `None` for a whole chunk.
    pub part: Option<u32>,
}

impl<'a> RunKey<'a> {
    /// Reads a key made by [`run`] or [`part`]; `None` for any other key.
    pub fn parse(key: &'a str) -> Option<RunKey<'a>> {
        let (job, place) = key.strip_prefix(RUN)?.rsplit_once('/')?;
        let (chunk, part) = match place.split_once('.') {
            Some((chunk, from)) => (chunk, Some(from.parse().ok()?)),
            None => (place, None),
        };
        Some(RunKey { job, chunk: chunk.parse().ok()?, part })
    }
}
