//! What can become of a request other than its response.

/// Why a request has no response. The difference between the two is whether the request may have been
/// executed.
#[derive(Debug, thiserror::Error)]
pub(crate) enum HttpError {
    /// The request never left.
    #[error("not sent: {0}")]
    NotSent(#[from] NotSent),
    /// The request may have been executed, or may be later.
    #[error("no response: {0}")]
    Indeterminate(#[from] NoResponse),
}

/// Why a request was not sent.
#[derive(Debug, thiserror::Error)]
pub(crate) enum NotSent {
    #[error("cannot connect: {0}")]
    Connect(#[source] std::io::Error),
    #[error("connecting took too long")]
    ConnectTimeout,
    /// Its sender said so once there was a connection.
    #[error("it may not be sent any more")]
    Withdrawn,
}

/// Why a request that was sent, at least in part, has no response.
#[derive(Debug, thiserror::Error)]
pub(crate) enum NoResponse {
    #[error("it took too long")]
    Timeout,
    #[error("the connection failed: {0}")]
    Connection(#[from] std::io::Error),
    #[error("the connection was closed")]
    Closed,
    #[error("the head is malformed: {0}")]
    MalformedHead(#[from] httparse::Error),
    #[error("the head has no status or no valid length")]
    IncompleteHead,
    #[error("the response is too long")]
    TooLong,
    /// Nobody pipelines: this is not the HTTP that is spoken here.
    #[error("bytes follow the response")]
    TrailingBytes,
}
