//! Parsing and validation of workers' heartbeats. A malformed heartbeat is rejected as a whole.

use std::net::{AddrParseError, SocketAddrV4};

use walnutlug_scheduler::protocol::workers::Heartbeat;

/// Longest accepted machine name.
const MAX_MACHINE_NAME_BYTES: usize = 64;

/// Reason why a heartbeat is rejected. The text is sent to the worker, so it uses the field names of the
/// wire protocol.
#[derive(Debug, thiserror::Error)]
pub(crate) enum HeartbeatError {
    /// The body is not JSON, or not the JSON of a heartbeat.
    #[error(transparent)]
    Json(#[from] serde_json::Error),
    #[error("tree: must have 1 to 64 bytes")]
    MachineName,
    #[error("address: must be an IPv4 address and a port")]
    Address(#[source] AddrParseError),
    #[error("shakeS: must be a number")]
    InterruptionNotice,
}

pub(super) fn parse_heartbeat(body: &[u8]) -> Result<Heartbeat, HeartbeatError> {
    let heartbeat: Heartbeat = serde_json::from_slice(body)?;
    if heartbeat.machine.is_empty() || heartbeat.machine.len() > MAX_MACHINE_NAME_BYTES {
        return Err(HeartbeatError::MachineName);
    }
    heartbeat.address.parse::<SocketAddrV4>().map_err(HeartbeatError::Address)?;
    if heartbeat.interruption_notice_s.is_some_and(|seconds| !seconds.is_finite()) {
        return Err(HeartbeatError::InterruptionNotice);
    }
    Ok(heartbeat)
}
