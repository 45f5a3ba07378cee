//! Messages between scheduler and workers: heartbeats, and the commands sent in response.

use serde::{Deserialize, Serialize};

use crate::leadership::fencing_token::FencingToken;
use crate::model::ids::{AgentEpoch, Attempt};
use crate::protocol::users::is_job_id;

/// Status of one task in a worker's heartbeat.
#[derive(Debug, Clone, PartialEq, Eq, Deserialize, Serialize)]
pub struct TaskStatus {
    /// Task id: the job id, a slash and the task's index, as in `req-000412/3`.
    #[serde(rename = "nut")]
    pub task: String,
    /// Attempt under which the task is on the machine.
    #[serde(rename = "try")]
    pub attempt: Attempt,
    /// State of the task on the machine.
    #[serde(rename = "stage")]
    pub state: TaskState,
    /// Why the task exited; `None` unless it has.
    #[serde(rename = "cause", default)]
    pub cause: Option<ExitReason>,
}

/// State of a task on its machine.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Deserialize, Serialize)]
#[serde(rename_all = "lowercase")]
pub enum TaskState {
    /// Waiting for the download of its image.
    Fetching,
    /// Executing its program.
    Running,
    /// Told to stop, and saving a checkpoint.
    Flushing,
    /// No longer running, with an [`ExitReason`].
    Exited,
    /// Any state that this version does not know. The task is treated as on the machine and not
    /// exited.
    #[serde(other)]
    Other,
}

/// Why a task exited.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Deserialize, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum ExitReason {
    /// The task completed.
    Done,
    /// The task was stopped by a command.
    Stopped,
    /// The task failed.
    Error,
    /// The start was rejected: the machine has too few free resources.
    NoRoom,
    /// The start was rejected: the task is on the machine under another attempt.
    InUse,
    /// The start was rejected: the worker does not know the task.
    Unknown,
    /// Any reason that this version does not know.
    #[serde(other)]
    Other,
}

/// A worker's heartbeat. Workers also send it in response to `/commands` and `/show`.
#[derive(Debug, Clone, Deserialize, Serialize)]
pub struct Heartbeat {
    /// Machine name as assigned by the cloud.
    #[serde(rename = "tree")]
    pub machine: String,
    /// Address at which the worker accepts requests.
    pub address: String,
    /// Name of the machine type.
    #[serde(rename = "breed")]
    pub kind: String,
    /// Zone in which the machine runs.
    #[serde(rename = "grove")]
    pub zone: String,
    /// Whether this is a spot machine.
    #[serde(rename = "windfall")]
    pub spot: bool,
    /// Incarnation of the agent. It is increased each time the worker's lease expires, at which
    /// point all of its tasks are gone.
    #[serde(rename = "season")]
    pub agent_epoch: AgentEpoch,
    /// Sequence number, increased with every heartbeat and every response to a command.
    #[serde(rename = "ring")]
    pub sequence: u64,
    /// Highest fencing token that the worker has seen.
    #[serde(rename = "staff")]
    pub token: FencingToken,
    /// Time in seconds until the cloud reclaims the machine; `None` if no interruption is
    /// announced.
    #[serde(rename = "shakeS", default)]
    pub interruption_notice_s: Option<f64>,
    /// All tasks on the machine, including exited ones until a command tells the worker to forget
    /// them.
    #[serde(rename = "nuts", default)]
    pub tasks: Vec<TaskStatus>,
}

/// JSON key of a heartbeat's sequence number, as it appears in the encoded text.
const SEQUENCE_KEY: &[u8] = b"\"ring\":";

/// Returns the byte range of the sequence number's digits in an encoded heartbeat. Returns `None`
/// if the key is missing, occurs more than once, or is not followed by plain digits. The key cannot
/// be matched inside of a string value, where its quotation marks would be escaped.
pub fn sequence_digits(heartbeat: &[u8]) -> Option<std::ops::Range<usize>> {
    let mut matches = heartbeat
        .windows(SEQUENCE_KEY.len())
        .enumerate()
        .filter(|(_, window)| *window == SEQUENCE_KEY);
    let start = matches.next()?.0 + SEQUENCE_KEY.len();
    if matches.next().is_some() {
        return None;
    }
    let digits = heartbeat[start..].iter().take_while(|byte| byte.is_ascii_digit()).count();
    let is_terminated = matches!(heartbeat.get(start + digits), Some(b',' | b'}'));
    (digits > 0 && is_terminated).then_some(start..start + digits)
}

/// Splits a task id such as `req-000412/3` into the job id and the task's index.
pub fn parse_task_id(name: &str) -> Option<(&str, u32)> {
    let (job, index) = name.rsplit_once('/')?;
    if !is_job_id(job) || (index.len() > 1 && index.starts_with('0')) {
        return None;
    }
    Some((job, index.parse().ok()?))
}

/// Command to a worker.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(tag = "call", rename_all = "lowercase")]
pub enum WorkerCommand {
    /// Stops a task.
    Kill {
        /// Id of the task to stop.
        #[serde(rename = "nut")]
        task: String,
        /// Attempt to stop.
        #[serde(rename = "try")]
        attempt: Attempt,
        /// Time in seconds that the task gets to save a checkpoint.
        #[serde(rename = "dropS")]
        grace_s: f64,
    },
    /// Tells the worker to forget a task that has exited.
    Reap {
        /// Id of the task to forget.
        #[serde(rename = "nut")]
        task: String,
        /// Attempt to forget.
        #[serde(rename = "try")]
        attempt: Attempt,
    },
    /// Starts a task.
    Run {
        /// Id of the task to start.
        #[serde(rename = "nut")]
        task: String,
        /// Attempt under which the task is started.
        #[serde(rename = "try")]
        attempt: Attempt,
    },
}

/// Response to a heartbeat.
#[derive(Debug, Serialize)]
pub struct HeartbeatResponse {
    /// Fencing token under which the commands are valid.
    #[serde(rename = "staff")]
    pub token: FencingToken,
    /// Commands in the order in which the worker executes them.
    pub calls: Vec<WorkerCommand>,
}

/// Response that redirects a worker to another node.
#[derive(Debug, Serialize)]
pub struct Redirect {
    /// Address of the node to report to; `None` lets the worker try any node.
    #[serde(rename = "keeper", skip_serializing_if = "Option::is_none")]
    pub node: Option<String>,
}

/// Body of a request to `/commands`.
#[derive(Debug, Serialize)]
pub struct CommandsRequest<'a> {
    /// Fencing token of the request. The worker rejects a token below the highest one that it has
    /// seen.
    #[serde(rename = "staff")]
    pub token: FencingToken,
    /// Agent epoch for which the commands are meant. The worker rejects any other.
    #[serde(rename = "season")]
    pub agent_epoch: AgentEpoch,
    /// Commands in the order in which the worker executes them.
    pub calls: &'a [WorkerCommand],
}
