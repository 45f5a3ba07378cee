//! HTTP/1.1 as the protocol needs it: a small server with limits, and a client that
//! distinguishes what was certainly not sent from what may have arrived.

pub(crate) mod client;
pub(crate) mod server;
