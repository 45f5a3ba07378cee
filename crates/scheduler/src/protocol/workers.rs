//! Workers' heartbeats, and the commands that answer them.

use serde::{Deserialize, Serialize};

use crate::leadership::fencing_token::FencingToken;
use crate::model::ids::{AgentEpoch, Attempt};
use crate::protocol::users::is_job_id;

/// One task in a worker's heartbeat.
#[derive(Debug, Clone, PartialEq, Eq, Deserialize, Serialize)]
pub struct TaskStatus {
    /// The task's name: its job's id, a slash and its number.
    #[serde(rename = "nut")]
    pub task: String,
    /// Its attempt.
    #[serde(rename = "try")]
    pub attempt: Attempt,
    /// Its state.
    #[serde(rename = "stage")]
    pub state: TaskState,
    /// Why it exited, if it did.
    #[serde(rename = "cause", default)]
    pub cause: Option<ExitReason>,
}

/// A task's state on its machine.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Deserialize, Serialize)]
#[serde(rename_all = "lowercase")]
pub enum TaskState {
    /// Waits for its image.
    Fetching,
    /// Runs.
    Running,
    /// Was told to stop, and saves its progress.
    Flushing,
    /// Has ended.
    Exited,
    /// A state of a later protocol: on the machine, not exited.
    #[serde(other)]
    Other,
}

/// Why a task exited.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Deserialize, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum ExitReason {
    /// It completed.
    Done,
    /// It was stopped by command.
    Stopped,
    /// It failed.
    Error,
    /// Its start was refused: not enough free resources on the machine.
    NoRoom,
    /// Its start was refused: the task is on the machine under another attempt.
    InUse,
    /// Its start was refused: the worker knows no such task.
    Unknown,
    /// A cause of a later protocol.
    #[serde(other)]
    Other,
}

/// A worker's heartbeat, also the answer to `/commands` and `/show`.
#[derive(Debug, Clone, Deserialize, Serialize)]
pub struct Heartbeat {
    /// The machine's name.
    #[serde(rename = "tree")]
    pub machine: String,
    /// Where the worker listens.
    pub address: String,
    /// The machine's type.
    #[serde(rename = "breed")]
    pub kind: String,
    /// The machine's zone.
    #[serde(rename = "grove")]
    pub zone: String,
    /// A spot machine.
    #[serde(rename = "windfall")]
    pub spot: bool,
    /// Rises each time the worker's lease expires; its tasks are gone then.
    #[serde(rename = "season")]
    pub agent_epoch: AgentEpoch,
    /// Rises with every heartbeat and every answer to a command.
    #[serde(rename = "ring")]
    pub sequence: u64,
    /// The highest fencing token that the worker has seen.
    #[serde(rename = "staff")]
    pub token: FencingToken,
    /// Seconds until the cloud takes the machine, if it will.
    #[serde(rename = "shakeS", default)]
    pub interruption_notice_s: Option<f64>,
    /// All tasks on the machine, exited ones until they are forgotten by command.
    #[serde(rename = "nuts", default)]
    pub tasks: Vec<TaskStatus>,
}

/// The name of a heartbeat's sequence number, as it stands in the text.
const SEQUENCE_KEY: &[u8] = b"\"ring\":";

/// Where the digits of a heartbeat's sequence number stand in its text. `None`: nowhere, or in more than
/// one place, or not as plain digits. (Inside of a string the key can't stand like that: its quotation
/// marks would be escaped.)
pub fn sequence_digits(heartbeat: &[u8]) -> Option<std::ops::Range<usize>> {
    let mut places = heartbeat
        .windows(SEQUENCE_KEY.len())
        .enumerate()
        .filter(|(_, window)| *window == SEQUENCE_KEY);
    let start = places.next()?.0 + SEQUENCE_KEY.len();
    if places.next().is_some() {
        return None;
    }
    let digits = heartbeat[start..].iter().take_while(|byte| byte.is_ascii_digit()).count();
    let ends_there = matches!(heartbeat.get(start + digits), Some(b',' | b'}'));
    (digits > 0 && ends_there).then_some(start..start + digits)
}

/// Splits `req-000412/3` into the job and the task's number.
pub fn parse_task_id(name: &str) -> Option<(&str, u32)> {
    let (job, index) = name.rsplit_once('/')?;
    if !is_job_id(job) || (index.len() > 1 && index.starts_with('0')) {
        return None;
    }
    Some((job, index.parse().ok()?))
}

/// A command to a worker.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(tag = "call", rename_all = "lowercase")]
pub enum WorkerCommand {
    /// Stop a task.
    Kill {
        /// The task.
        #[serde(rename = "nut")]
        task: String,
        /// Its attempt.
        #[serde(rename = "try")]
        attempt: Attempt,
        /// Seconds that it may take to save its progress.
        #[serde(rename = "dropS")]
        grace_s: f64,
    },
    /// Forget a task that has exited.
    Reap {
        /// The task.
        #[serde(rename = "nut")]
        task: String,
        /// Its attempt.
        #[serde(rename = "try")]
        attempt: Attempt,
    },
    /// Start a task.
    Run {
        /// The task.
        #[serde(rename = "nut")]
        task: String,
        /// Its attempt.
        #[serde(rename = "try")]
        attempt: Attempt,
    },
}

/// The answer to a heartbeat.
#[derive(Debug, Serialize)]
pub struct HeartbeatResponse {
    /// The fencing token under which the commands are valid.
    #[serde(rename = "staff")]
    pub token: FencingToken,
    /// The commands, in the order in which they are executed.
    pub calls: Vec<WorkerCommand>,
}

/// The body of an answer that sends a worker to another node.
#[derive(Debug, Serialize)]
pub struct Redirect {
    /// Where it should report; `None`: to whichever answers.
    #[serde(rename = "keeper", skip_serializing_if = "Option::is_none")]
    pub node: Option<String>,
}

/// The body of `/commands`.
#[derive(Debug, Serialize)]
pub struct CommandsRequest<'a> {
    /// The fencing token; the worker refuses one below the highest that it has seen.
    #[serde(rename = "staff")]
    pub token: FencingToken,
    /// The agent epoch that is meant; the worker refuses any other.
    #[serde(rename = "season")]
    pub agent_epoch: AgentEpoch,
    /// The commands, in the order in which they are executed.
    pub calls: &'a [WorkerCommand],
}
