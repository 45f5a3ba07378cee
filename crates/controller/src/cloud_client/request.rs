//! Requests to the cloud as they are sent, but for their bodies, and what can become of them.

use std::fmt;

use crate::http::client;

/// One request, as errors name it.
#[derive(Debug, Clone, PartialEq, Eq)]
pub(crate) enum CloudRequest {
    /// The machine types and their prices.
    Types,
    /// New machines of one type in one zone.
    ScaleOut { kind: String, zone: String, count: u32 },
    /// The return of so many machines.
    Terminate { count: usize },
    /// A page of the machines, after the one named `from`.
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

/// Why a request to the cloud was not carried out, or may not have been.
#[derive(Debug, thiserror::Error)]
pub(crate) enum CloudError {
    /// The cloud has no machine of this type in the zone.
    #[error("{request}: no capacity")]
    NoCapacity { request: CloudRequest },
    /// Certainly not carried out, for another reason than capacity.
    #[error("{request}: rejected: {source}")]
    Rejected { request: CloudRequest, source: Rejection },
    /// Nothing was sent: there was no connection, or it was not to be sent any more.
    #[error("{request}: not sent: {source}")]
    NotSent { request: CloudRequest, source: NotSent },
    /// No usable answer; the request may have been carried out, or may be later.
    #[error("{request}: may have been carried out: {source}")]
    Indeterminate { request: CloudRequest, source: UnknownOutcome },
}

/// Why the cloud refused a request.
#[derive(Debug, thiserror::Error)]
pub(crate) enum Rejection {
    #[error("status {0}")]
    Status(u16),
    #[error("the cloud's rate is used up")]
    RateUsedUp,
}

/// Why a request was not sent.
#[derive(Debug, thiserror::Error)]
pub(crate) enum NotSent {
    #[error(transparent)]
    Http(#[from] client::NotSent),
    #[error("the body can't be written: {0}")]
    Body(#[from] serde_json::Error),
}

/// Why it isn't known whether a request was carried out.
#[derive(Debug, thiserror::Error)]
pub(crate) enum UnknownOutcome {
    #[error("status {0}")]
    Status(u16),
    #[error(transparent)]
    Http(#[from] client::NoResponse),
    #[error(transparent)]
    Malformed(#[from] serde_json::Error),
    /// A rejection of a repeated request says nothing of the request before.
    #[error("repeated after no answer, then: {0}")]
    RepetitionFailed(Box<CloudError>),
}
