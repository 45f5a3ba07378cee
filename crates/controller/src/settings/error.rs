//! What can be wrong with the platform's settings. Operators know the texts.

use std::net::SocketAddrV4;
use std::path::PathBuf;

/// One fault of the settings.
#[derive(Debug, thiserror::Error)]
pub(crate) enum SettingsError {
    #[error("settings: cannot read {}: {source}", path.display())]
    Unreadable { path: PathBuf, source: std::io::Error },
    #[error("settings: not JSON: {0}")]
    NotJson(#[source] serde_json::Error),
    #[error("settings: not a JSON object")]
    NotAnObject,
    #[error("settings: {path}: {fault}")]
    Field { path: String, fault: FieldFault },
    #[error(
        "facts.resources.fd_limit: {limit} sockets are too few: {minimum} are needed for the \
         listeners, the state service, the cloud, {peers} other nodes and a few users and workers"
    )]
    TooFewSockets { limit: f64, minimum: u32, peers: usize },
}

/// What is wrong with one field.
#[derive(Debug, thiserror::Error)]
pub(crate) enum FieldFault {
    #[error("must not be empty")]
    Empty,
    #[error("must be a string")]
    NotAString,
    #[error("must be an IPv4 address and a port")]
    NotAnAddress,
    #[error("must be a number")]
    NotANumber,
    #[error("must be a number above 0")]
    NotPositive,
    #[error("{value} is not from {least} to {most}")]
    OutOfRange { value: f64, least: f64, most: f64 },
    #[error("must be a list")]
    NotAList,
    #[error("must be an object")]
    NotAnObject,
    #[error("{name} {addr} is doubled")]
    DuplicatePeer { name: String, addr: SocketAddrV4 },
    #[error("must have a node_name other than this node's and a peer_addr")]
    InvalidPeer,
    #[error("must have a name and amounts of at least 0")]
    InvalidTeam,
}
