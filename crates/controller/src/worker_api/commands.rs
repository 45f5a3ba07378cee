//! Sends commands to workers over HTTP, outside their heartbeat responses.

use std::net::SocketAddrV4;
use std::time::Duration;

use walnutlug_scheduler::command::MessageOutcome;
use walnutlug_scheduler::leadership::fencing_token::FencingToken;
use walnutlug_scheduler::model::ids::AgentEpoch;
use walnutlug_scheduler::protocol::workers::{CommandsRequest, WorkerCommand};

use super::parsing::parse_heartbeat;
use crate::http::client::{Client, HttpError, Request};

const COMMANDS_TIMEOUT: Duration = Duration::from_secs(2);

/// Sends commands to a worker and parses the heartbeat it answers with.
///
/// The request is never retried: the worker's next heartbeats show whether the commands arrived.
pub(crate) async fn send_commands(
    client: &Client,
    address: &str,
    token: FencingToken,
    agent_epoch: AgentEpoch,
    calls: &[WorkerCommand],
) -> MessageOutcome {
    let Ok(addr) = address.parse::<SocketAddrV4>() else { return MessageOutcome::NotSent };
    let Ok(body) = serde_json::to_vec(&CommandsRequest { token, agent_epoch, calls }) else {
        return MessageOutcome::NotSent;
    };
    let request =
        Request { method: "POST", path: "/commands", body: &body, timeout: COMMANDS_TIMEOUT };
    match client.send(addr, &request).await {
        Ok(response) if matches!(response.status, 200 | 409) => {
            match parse_heartbeat(&response.body) {
                Ok(heartbeat) => MessageOutcome::Answered(Box::new(heartbeat)),
                Err(_) => MessageOutcome::Indeterminate,
            }
        }
        Ok(_) | Err(HttpError::Indeterminate(_)) => MessageOutcome::Indeterminate,
        Err(HttpError::NotSent(_)) => MessageOutcome::NotSent,
    }
}
