//! Errors in the platform's settings file. Operators read the messages, and the tests check their
//! exact text.

use std::net::SocketAddrV4;
use std::path::PathBuf;

/// An error in the settings file, either in one field or in the file as a whole.
#[derive(Debug, thiserror::Error)]
pub(crate) enum SettingsError {
    #[error("settings: cannot read {}: {source}", path.display())]
    Unreadable { path: PathBuf, source: std::io::Error },
    #[error("settings: not JSON: {0}")]
    NotJson(#[source] serde_json::Error),
    #[error("settings: not a JSON object")]
    NotAnObject,
    #[error("settings: {path}: {error}")]
    Field { path: String, error: FieldError },
    #[error(
        "facts.resources.fd_limit: {limit} sockets are too few: {minimum} are needed for the \
         listeners, the state service, the cloud, {peers} other nodes and a few users and workers"
    )]
    TooFewSockets { limit: f64, minimum: u32, peers: usize },
}

/// The reason why the value of one field is invalid.
#[derive(Debug, thiserror::Error)]
pub(crate) enum FieldError {
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
    #[error("{value} is out of range: must be from {min} to {max}")]
    OutOfRange { value: f64, min: f64, max: f64 },
    #[error("must be a list")]
    NotAList,
    #[error("must be an object")]
    NotAnObject,
    #[error("{name} {addr} repeats the name or address of another peer")]
    DuplicatePeer { name: String, addr: SocketAddrV4 },
    #[error("must have a node_name other than this node's and a peer_addr")]
    InvalidPeer,
    #[error("must have a name and amounts of at least 0")]
    InvalidTeam,
}
