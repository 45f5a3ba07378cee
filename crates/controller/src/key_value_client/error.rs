//! Errors of requests to the key-value store.

use super::request::StoreRequest;
use crate::http::client::{NoResponse, NotSent};

/// Reason why a request to the store has no usable answer.
#[derive(Debug, thiserror::Error)]
pub(crate) enum KeyValueError {
    /// The request was certainly not executed.
    #[error("{request}: not executed: {source}")]
    Rejected { request: StoreRequest, source: Rejection },
    /// The request may have been executed, or may still be executed later.
    #[error("{request}: may have been executed: {source}")]
    Indeterminate { request: StoreRequest, source: UnknownOutcome },
    /// The object of the request no longer exists: a lease, or the history since a revision.
    #[error("{request}: expired")]
    Expired { request: StoreRequest },
    /// The answer can't be interpreted, which counts as no answer.
    #[error("{request}: invalid response: {source}")]
    InvalidResponse { request: StoreRequest, source: InvalidResponse },
}

/// Reason why a request was certainly not executed.
#[derive(Debug, thiserror::Error)]
pub(crate) enum Rejection {
    /// The rate limiter of this node didn't admit the request in time.
    #[error("this node's share of the rate is exhausted")]
    RateLimited,
    /// The store refused the request because all nodes together exceed the rate.
    #[error("the rate shared by all nodes is exhausted")]
    SharedRateExceeded,
    /// The store answered with status 503.
    #[error("the store is unavailable")]
    Unavailable,
    #[error("the transaction was rejected")]
    Transaction,
    #[error(transparent)]
    NotSent(#[from] NotSent),
}

/// Reason why it is unknown whether a request was executed.
#[derive(Debug, thiserror::Error)]
pub(crate) enum UnknownOutcome {
    #[error("the store answered with status {0}")]
    Status(u16),
    #[error("the transaction's outcome is unknown")]
    Transaction,
    #[error(transparent)]
    NoResponse(#[from] NoResponse),
}

/// Reason why an answer can't be interpreted.
#[derive(Debug, thiserror::Error)]
pub(crate) enum InvalidResponse {
    #[error("unexpected status {0}")]
    Status(u16),
    #[error("the reported conflict is on none of the compared keys")]
    UnrelatedConflict,
    #[error(transparent)]
    Malformed(#[from] serde_json::Error),
}
