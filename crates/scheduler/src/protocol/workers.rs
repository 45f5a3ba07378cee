//! Workers' heartbeats, and the commands that answer them.

use serde::{Deserialize, Serialize};

use crate::leadership::fencing_token::FencingToken;
use crate::model::ids::{AgentEpoch, Attempt};
use crate::protocol::users::is_job_id;

/// One task in a worker's heartbeat.
#[derive(Debug, Clone, PartialEq, Eq, Deserialize, Serialize)]
pub struct TaskStatus {
    #[serde(rename = "nut")]
    pub task: String,
    #[serde(rename = "try")]
    pub attempt: Attempt,
    #[serde(rename = "stage")]
    pub state: TaskState,
    #[serde(rename = "cause", default)]
    pub cause: Option<ExitReason>,
}

#[derive(Debug, Clone, Copy, PartialEq, Eq, Deserialize, Serialize)]
#[serde(rename_all = "lowercase")]
pub enum TaskState {
    Fetching,
    Running,
    Flushing,
    Exited,
    /// A state of a later protocol: on the machine, not exited.
    #[serde(other)]
    Other,
}

#[derive(Debug, Clone, Copy, PartialEq, Eq, Deserialize, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum ExitReason {
    Done,
    Stopped,
    Error,
    NoRoom,
    InUse,
    Unknown,
    #[serde(other)]
    Other,
}

/// A worker's heartbeat, also the answer to `/commands` and `/show`.
#[derive(Debug, Clone, Deserialize, Serialize)]
pub struct Heartbeat {
    #[serde(rename = "tree")]
    pub machine: String,
    pub address: String,
    #[serde(rename = "breed")]
    pub kind: String,
    #[serde(rename = "grove")]
    pub zone: String,
    #[serde(rename = "windfall")]
    pub spot: bool,
    #[serde(rename = "season")]
    pub agent_epoch: AgentEpoch,
    #[serde(rename = "ring")]
    pub sequence: u64,
    #[serde(rename = "staff")]
    pub token: FencingToken,
    #[serde(rename = "shakeS", default)]
    pub interruption_notice_s: Option<f64>,
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
    Kill {
        #[serde(rename = "nut")]
        task: String,
        #[serde(rename = "try")]
        attempt: Attempt,
        #[serde(rename = "dropS")]
        grace_s: f64,
    },
    Reap {
        #[serde(rename = "nut")]
        task: String,
        #[serde(rename = "try")]
        attempt: Attempt,
    },
    Run {
        #[serde(rename = "nut")]
        task: String,
        #[serde(rename = "try")]
        attempt: Attempt,
    },
}

/// The answer to a heartbeat.
#[derive(Debug, Serialize)]
pub struct HeartbeatResponse {
    #[serde(rename = "staff")]
    pub token: FencingToken,
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
    #[serde(rename = "staff")]
    pub token: FencingToken,
    #[serde(rename = "season")]
    pub agent_epoch: AgentEpoch,
    pub calls: &'a [WorkerCommand],
}
