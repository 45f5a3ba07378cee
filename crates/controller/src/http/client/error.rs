//! Errors of the HTTP client, divided by whether the request may have been executed.

/// The reason why a request has no response. The variants differ in whether the server may have
/// executed the request.
#[derive(Debug, thiserror::Error)]
pub(crate) enum HttpError {
    /// No byte of the request was sent, so it was certainly not executed.
    #[error("not sent: {0}")]
    NotSent(#[from] NotSent),
    /// The request was sent, at least in part: it may have been executed, or may be later.
    #[error("no response: {0}")]
    Indeterminate(#[from] NoResponse),
}

/// The reason why no byte of a request was sent.
#[derive(Debug, thiserror::Error)]
pub(crate) enum NotSent {
    #[error("cannot connect: {0}")]
    Connect(#[source] std::io::Error),
    #[error("connecting took too long")]
    ConnectTimeout,
    /// The caller's `may_send` returned false once the connection was open.
    #[error("withdrawn by the caller before it was sent")]
    Withdrawn,
}

/// The reason why a request that was sent, at least in part, has no usable response.
#[derive(Debug, thiserror::Error)]
pub(crate) enum NoResponse {
    #[error("timed out")]
    Timeout,
    #[error("the connection failed: {0}")]
    Connection(#[from] std::io::Error),
    #[error("the server closed the connection")]
    Closed,
    #[error("malformed response head: {0}")]
    MalformedHead(#[from] httparse::Error),
    #[error("the response head lacks a status or a valid Content-Length")]
    IncompleteHead,
    #[error("the response head or body exceeds its size limit")]
    TooLong,
    /// The client never pipelines, so bytes after the response mean that the server doesn't follow
    /// the protocol.
    #[error("unexpected bytes after the response")]
    TrailingBytes,
}
