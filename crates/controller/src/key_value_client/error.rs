//! What can become of a request to the store, other than its answer.

use super::request::StoreRequest;
use crate::http::client::{NoResponse, NotSent};

/// Why a request to the store has no usable answer.
#[derive(Debug, thiserror::Error)]
pub(crate) enum KeyValueError {
    /// Certainly not executed.
    #[error("{request}: not executed: {source}")]
    Rejected { request: StoreRequest, source: Rejection },
    /// May have been executed, or may be later.
    #[error("{request}: may have been executed: {source}")]
    Indeterminate { request: StoreRequest, source: UnknownOutcome },
    /// What the request names is gone: a lease, or the history from a revision on.
    #[error("{request}: expired")]
    Expired { request: StoreRequest },
    /// An answer that makes no sense, which counts as none.
    #[error("{request}: invalid response: {source}")]
    InvalidResponse { request: StoreRequest, source: InvalidResponse },
}

/// Why a request was certainly not executed.
#[derive(Debug, thiserror::Error)]
pub(crate) enum Rejection {
    /// The rate limiter let it through at no time of its patience.
    #[error("this node's share of the rate is used up")]
    RateLimited,
    /// The store refused it for the rate that all nodes share.
    #[error("the common rate is used up")]
    CommonRateUsedUp,
    /// Status 503.
    #[error("the store is unavailable")]
    Unavailable,
    #[error("the transaction was rejected")]
    Transaction,
    #[error(transparent)]
    NotSent(#[from] NotSent),
}

/// Why the answer to a request is missing.
#[derive(Debug, thiserror::Error)]
pub(crate) enum UnknownOutcome {
    #[error("the store answered with status {0}")]
    Status(u16),
    #[error("the transaction's outcome is unknown")]
    Transaction,
    #[error(transparent)]
    NoResponse(#[from] NoResponse),
}

/// What makes no sense about an answer.
#[derive(Debug, thiserror::Error)]
pub(crate) enum InvalidResponse {
    #[error("status {0}")]
    Status(u16),
    #[error("a conflict on none of the compared keys")]
    UnrelatedConflict,
    #[error(transparent)]
    Malformed(#[from] serde_json::Error),
}
