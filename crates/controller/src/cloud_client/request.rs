//! Requests to the cloud (method and path; the client builds the bodies), and their errors.

use std::fmt;

use crate::http::client;

/// A request to the cloud. Errors display it to identify what failed.
#[derive(Debug, Clone, PartialEq, Eq)]
pub(crate) enum CloudRequest {
    /// Lists the machine types and their prices.
    Types,
    /// Rents machines of one type in one zone.
    ScaleOut { kind: String, zone: String, count: u32 },
    /// Returns this number of machines to the cloud.
    Terminate { count: usize },
    /// Lists one page of the machines, after the one named `from`.
    List { from: Option<String> },
}

impl CloudRequest {
    pub(super) fn method(&self) -> &'static str {
        match self {
            CloudRequest::Types | CloudRequest::List { .. } => "GET",
            CloudRequest::ScaleOut { .. } | CloudRequest::Terminate { .. } => "POST",
        }
    }

    pub(super) fn path(&self) -> String {
        match self {
            CloudRequest::Types => "/machine_types".to_owned(),
            CloudRequest::ScaleOut { .. } => "/machines".to_owned(),
            CloudRequest::Terminate { .. } => "/machines/return".to_owned(),
            CloudRequest::List { from } => {
                let from = from.as_ref().map(|name| format!("from={name}&")).unwrap_or_default();
                format!("/machines?{from}most=500")
            }
        }
    }
}

impl fmt::Display for CloudRequest {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            CloudRequest::Types => write!(f, "list the machine types"),
            CloudRequest::ScaleOut { kind, zone, count } => {
                write!(f, "scale out by {count} {kind} in {zone}")
            }
            CloudRequest::Terminate { count } => write!(f, "terminate {count} machines"),
            CloudRequest::List { .. } => write!(f, "list the machines"),
        }
    }
}

/// Reason why a request to the cloud was not carried out, or may not have been.
#[derive(Debug, thiserror::Error)]
pub(crate) enum CloudError {
    /// The cloud has no machine of this type available in the zone.
    #[error("{request}: no capacity")]
    NoCapacity { request: CloudRequest },
    /// The request was certainly not carried out, for a reason other than capacity.
    #[error("{request}: rejected: {source}")]
    Rejected { request: CloudRequest, source: Rejection },
    /// The request was not sent: no connection was made, or the caller withdrew the request.
    #[error("{request}: not sent: {source}")]
    NotSent { request: CloudRequest, source: NotSent },
    /// There is no usable answer; the request may have been carried out, or may still be later.
    #[error("{request}: may have been carried out: {source}")]
    Indeterminate { request: CloudRequest, source: UnknownOutcome },
}

/// Reason why the cloud refused a request.
#[derive(Debug, thiserror::Error)]
pub(crate) enum Rejection {
    #[error("unexpected status {0}")]
    Status(u16),
    #[error("the cloud's request rate is exceeded")]
    RateExceeded,
}

/// Reason why a request was not sent.
#[derive(Debug, thiserror::Error)]
pub(crate) enum NotSent {
    #[error(transparent)]
    Http(#[from] client::NotSent),
    #[error("the request body can't be serialized: {0}")]
    Body(#[from] serde_json::Error),
}

/// Reason why it is unknown whether a request was carried out.
#[derive(Debug, thiserror::Error)]
pub(crate) enum UnknownOutcome {
    #[error("unexpected status {0}")]
    Status(u16),
    #[error(transparent)]
    Http(#[from] client::NoResponse),
    #[error(transparent)]
    Malformed(#[from] serde_json::Error),
    /// The request was repeated because the first answer was missing. A rejection of the repetition
    /// doesn't tell whether the first request was carried out.
    #[error("no usable answer to the first attempt, and the second failed: {0}")]
    RepetitionFailed(Box<CloudError>),
}
