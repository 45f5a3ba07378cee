//! The subset of HTTP/1.1 that the controller speaks: a server with resource limits, and a client
//! that distinguishes requests that were certainly not sent from those that may have arrived.

pub(crate) mod client;
pub(crate) mod server;
