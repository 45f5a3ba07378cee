//! Heartbeats as they come from workers: what is malformed changes nothing.

use std::net::{AddrParseError, SocketAddrV4};

use walnutlug_scheduler::protocol::workers::Heartbeat;

/// Bytes that a machine's name may have.
const MAX_MACHINE_NAME: usize = 64;

/// What is wrong with a heartbeat. The worker is sent the text, so it names fields as the protocol
/// does.
#[derive(Debug, thiserror::Error)]
pub(crate) enum HeartbeatError {
    /// No JSON, or not of a heartbeat.
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
    if heartbeat.machine.is_empty() || heartbeat.machine.len() > MAX_MACHINE_NAME {
        return Err(HeartbeatError::MachineName);
    }
    heartbeat.address.parse::<SocketAddrV4>().map_err(HeartbeatError::Address)?;
    if heartbeat.interruption_notice_s.is_some_and(|seconds| !seconds.is_finite()) {
        return Err(HeartbeatError::InterruptionNotice);
    }
    Ok(heartbeat)
}
