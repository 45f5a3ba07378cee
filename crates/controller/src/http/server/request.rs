//! Reads and parses HTTP/1.1 requests, with limits on size and on the time to arrive.

use std::time::Duration;

use tokio::io::{AsyncRead, AsyncReadExt, AsyncWrite, AsyncWriteExt};
use tokio::time::timeout;

use super::answer::Answer;

const MAX_BODY_BYTES: usize = 64 * 1024;
const MAX_HEAD_BYTES: usize = 8 * 1024;
const MAX_HEADERS: usize = 48;
/// Size of the fixed buffer for the first read of a request. The growable one is allocated only once
/// bytes have arrived.
const FIRST_READ_BYTES: usize = 1024;
/// Time limit for the rest of a request after its first bytes have arrived.
const ARRIVAL_TIMEOUT: Duration = Duration::from_secs(10);
const CONTINUE_RESPONSE: &[u8] = b"HTTP/1.1 100 Continue\r\n\r\n";

/// A complete request, as it is passed to a handler.
#[derive(Debug, PartialEq)]
pub(crate) struct Request {
    /// The HTTP method as sent; not checked against a list.
    pub(crate) method: String,
    /// The request target: the path with its query string, not percent-decoded.
    pub(crate) path: String,
    /// The body, at most 64 KiB; empty if there is none.
    pub(crate) body: Vec<u8>,
}

/// The reason why a request is refused before it reaches a handler. The message is sent to the
/// client.
#[derive(Debug, thiserror::Error)]
pub(super) enum RequestError {
    #[error("the head is too long")]
    HeadTooLong,
    #[error("too many header fields")]
    TooManyHeaders,
    #[error("bad head: {0}")]
    MalformedHead(#[source] httparse::Error),
    #[error("bad Content-Length")]
    InvalidLength,
    #[error("Transfer-Encoding is not supported")]
    TransferEncoding,
    #[error("a body may have at most 64 KiB")]
    BodyTooLong,
    #[error("the request took too long to arrive")]
    TooSlow,
}

impl From<RequestError> for Answer {
    fn from(error: RequestError) -> Answer {
        let status = match error {
            RequestError::HeadTooLong | RequestError::TooManyHeaders => 431,
            RequestError::MalformedHead(_) | RequestError::InvalidLength => 400,
            RequestError::TransferEncoding => 501,
            RequestError::BodyTooLong => 413,
            RequestError::TooSlow => 408,
        };
        Answer::error(status, error.to_string())
    }
}

/// The outcome of waiting for the next request on a connection.
pub(super) enum Received {
    Request {
        request: Request,
        /// Whether to close the connection after the response: the client sent
        /// `Connection: close` or speaks HTTP/1.0.
        close: bool,
    },
    /// The client closed the connection, possibly within a request, or was idle for too long.
    Closed,
}

/// Reads one request. Bytes of a following, pipelined request stay in the buffer.
pub(super) async fn read_request<S: AsyncRead + AsyncWrite + Unpin>(
    stream: &mut S,
    buffer: &mut Vec<u8>,
    idle_timeout: Duration,
) -> Result<Received, RequestError> {
    if buffer.is_empty() {
        // Frees the buffer while the connection is idle: memory is scarce and connections are many.
        *buffer = Vec::new();
        let mut first = [0u8; FIRST_READ_BYTES];
        match timeout(idle_timeout, stream.read(&mut first)).await {
            Ok(Ok(length)) if length > 0 => buffer.extend_from_slice(&first[..length]),
            _ => return Ok(Received::Closed),
        }
    }
    let rest_of_request = read_complete_request(stream, buffer);
    timeout(ARRIVAL_TIMEOUT, rest_of_request).await.unwrap_or(Err(RequestError::TooSlow))
}

async fn read_complete_request<S: AsyncRead + AsyncWrite + Unpin>(
    stream: &mut S,
    buffer: &mut Vec<u8>,
) -> Result<Received, RequestError> {
    let head = loop {
        if let Some(head) = parse_head(buffer)? {
            break head;
        }
        if !read_more(stream, buffer).await {
            return Ok(Received::Closed);
        }
    };
    let request_length = head.head_length + head.body_length;
    if head.expects_continue
        && buffer.len() < request_length
        && stream.write_all(CONTINUE_RESPONSE).await.is_err()
    {
        return Ok(Received::Closed);
    }
    while buffer.len() < request_length {
        if !read_more(stream, buffer).await {
            return Ok(Received::Closed);
        }
    }
    let next_request = buffer.split_off(request_length);
    let body = buffer.split_off(head.head_length);
    *buffer = next_request;
    let Head { method, path, close, .. } = head;
    Ok(Received::Request { request: Request { method, path, body }, close })
}

/// Reads more bytes into the buffer; returns false if the connection was closed or failed.
async fn read_more(stream: &mut (impl AsyncRead + Unpin), buffer: &mut Vec<u8>) -> bool {
    matches!(stream.read_buf(buffer).await, Ok(length) if length > 0)
}

struct Head {
    method: String,
    path: String,
    /// Value of `Content-Length`, in bytes; 0 if it is absent.
    body_length: usize,
    close: bool,
    /// The client sent `Expect: 100-continue` and waits for that response before it sends the body.
    expects_continue: bool,
    /// Length of the head in bytes, its final empty line included.
    head_length: usize,
}

/// Parses the head, or returns `None` if it is still incomplete.
fn parse_head(buffer: &[u8]) -> Result<Option<Head>, RequestError> {
    let mut headers = [httparse::EMPTY_HEADER; MAX_HEADERS];
    let mut request = httparse::Request::new(&mut headers);
    let head_length = match request.parse(buffer) {
        Ok(httparse::Status::Complete(head_length)) => head_length,
        Ok(httparse::Status::Partial) if buffer.len() > MAX_HEAD_BYTES => {
            return Err(RequestError::HeadTooLong)
        }
        Ok(httparse::Status::Partial) => return Ok(None),
        Err(httparse::Error::TooManyHeaders) => return Err(RequestError::TooManyHeaders),
        Err(error) => return Err(RequestError::MalformedHead(error)),
    };
    let mut content_length = None;
    let mut close = request.version == Some(0);
    let mut expects_continue = false;
    for header in request.headers.iter() {
        if header.name.eq_ignore_ascii_case("content-length") {
            content_length = Some(parse_length(header.value, content_length)?);
        } else if header.name.eq_ignore_ascii_case("transfer-encoding") {
            return Err(RequestError::TransferEncoding);
        } else if header.name.eq_ignore_ascii_case("connection") {
            close = close || header.value.eq_ignore_ascii_case(b"close");
        } else if header.name.eq_ignore_ascii_case("expect") {
            expects_continue = header.value.eq_ignore_ascii_case(b"100-continue");
        }
    }
    let body_length = content_length.unwrap_or(0);
    if body_length > MAX_BODY_BYTES {
        return Err(RequestError::BodyTooLong);
    }
    let method = request.method.unwrap_or_default().to_owned();
    let path = request.path.unwrap_or_default().to_owned();
    Ok(Some(Head { method, path, body_length, close, expects_continue, head_length }))
}

/// Parses a `Content-Length` value. A repeated header must have the same value; a number that
/// overflows `usize` is returned as the maximum, which no body may reach.
fn parse_length(value: &[u8], previous: Option<usize>) -> Result<usize, RequestError> {
    let text = std::str::from_utf8(value).map_err(|_| RequestError::InvalidLength)?.trim();
    if text.is_empty() || !text.bytes().all(|byte| byte.is_ascii_digit()) {
        return Err(RequestError::InvalidLength);
    }
    match (text.parse(), previous) {
        (Ok(length), None) => Ok(length),
        (Ok(length), Some(previous_length)) if length == previous_length => Ok(length),
        (Err(_), None) => Ok(usize::MAX),
        (Ok(_) | Err(_), Some(_)) => Err(RequestError::InvalidLength),
    }
}
