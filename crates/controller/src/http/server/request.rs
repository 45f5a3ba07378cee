//! Reads requests from a connection, within limits of size and time.

use std::time::Duration;

use tokio::io::{AsyncRead, AsyncReadExt, AsyncWrite, AsyncWriteExt};
use tokio::time::timeout;

use super::answer::Answer;

const MAX_BODY: usize = 64 * 1024;
const MAX_HEAD: usize = 8 * 1024;
const MAX_HEADERS: usize = 48;
/// What is read at once of a new request.
const FIRST_READ: usize = 1024;
/// How long one request may take to arrive once it has begun.
const ARRIVAL_TIMEOUT: Duration = Duration::from_secs(10);
const CONTINUE: &[u8] = b"HTTP/1.1 100 Continue\r\n\r\n";

/// A request.
#[derive(Debug, PartialEq)]
pub(crate) struct Request {
    /// The method.
    pub(crate) method: String,
    /// The path, with its query.
    pub(crate) path: String,
    /// The body, empty if there is none.
    pub(crate) body: Vec<u8>,
}

/// What is wrong with a request. Its sender is sent the text.
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

/// What came on a connection.
pub(super) enum Received {
    Request {
        request: Request,
        /// The sender asks for the connection to be closed after the answer.
        close: bool,
    },
    /// The other side is done, or was idle for too long.
    Closed,
}

/// Reads one request. What follows it stays in the buffer.
pub(super) async fn read_request<S: AsyncRead + AsyncWrite + Unpin>(
    stream: &mut S,
    buffer: &mut Vec<u8>,
    idle: Duration,
) -> Result<Received, RequestError> {
    if buffer.is_empty() {
        // An idle connection holds no buffer; memory is short and connections are many.
        *buffer = Vec::new();
        let mut first = [0u8; FIRST_READ];
        match timeout(idle, stream.read(&mut first)).await {
            Ok(Ok(length)) if length > 0 => buffer.extend_from_slice(&first[..length]),
            _ => return Ok(Received::Closed),
        }
    }
    let whole = read_whole(stream, buffer);
    timeout(ARRIVAL_TIMEOUT, whole).await.unwrap_or(Err(RequestError::TooSlow))
}

async fn read_whole<S: AsyncRead + AsyncWrite + Unpin>(
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
    let end = head.bytes + head.length;
    if head.expects_continue && buffer.len() < end && stream.write_all(CONTINUE).await.is_err() {
        return Ok(Received::Closed);
    }
    while buffer.len() < end {
        if !read_more(stream, buffer).await {
            return Ok(Received::Closed);
        }
    }
    let rest = buffer.split_off(end);
    let body = buffer.split_off(head.bytes);
    *buffer = rest;
    let Head { method, path, close, .. } = head;
    Ok(Received::Request { request: Request { method, path, body }, close })
}

/// Whether anything came.
async fn read_more(stream: &mut (impl AsyncRead + Unpin), buffer: &mut Vec<u8>) -> bool {
    matches!(stream.read_buf(buffer).await, Ok(length) if length > 0)
}

struct Head {
    method: String,
    path: String,
    /// Bytes of the body.
    length: usize,
    close: bool,
    expects_continue: bool,
    /// Bytes of the head itself.
    bytes: usize,
}

/// The head, or `None` if there is more of it to come.
fn parse_head(buffer: &[u8]) -> Result<Option<Head>, RequestError> {
    let mut headers = [httparse::EMPTY_HEADER; MAX_HEADERS];
    let mut request = httparse::Request::new(&mut headers);
    let bytes = match request.parse(buffer) {
        Ok(httparse::Status::Complete(bytes)) => bytes,
        Ok(httparse::Status::Partial) if buffer.len() > MAX_HEAD => {
            return Err(RequestError::HeadTooLong)
        }
        Ok(httparse::Status::Partial) => return Ok(None),
        Err(httparse::Error::TooManyHeaders) => return Err(RequestError::TooManyHeaders),
        Err(error) => return Err(RequestError::MalformedHead(error)),
    };
    let mut length = None;
    let mut close = request.version == Some(0);
    let mut expects_continue = false;
    for header in request.headers.iter() {
        if header.name.eq_ignore_ascii_case("content-length") {
            length = Some(parse_length(header.value, length)?);
        } else if header.name.eq_ignore_ascii_case("transfer-encoding") {
            return Err(RequestError::TransferEncoding);
        } else if header.name.eq_ignore_ascii_case("connection") {
            close = close || header.value.eq_ignore_ascii_case(b"close");
        } else if header.name.eq_ignore_ascii_case("expect") {
            expects_continue = header.value.eq_ignore_ascii_case(b"100-continue");
        }
    }
    let length = length.unwrap_or(0);
    if length > MAX_BODY {
        return Err(RequestError::BodyTooLong);
    }
    let method = request.method.unwrap_or_default().to_owned();
    let path = request.path.unwrap_or_default().to_owned();
    Ok(Some(Head { method, path, length, close, expects_continue, bytes }))
}

/// The body's length. One given again has to be the same; one that no number holds is too long for any
/// body.
fn parse_length(value: &[u8], given_before: Option<usize>) -> Result<usize, RequestError> {
    let text = std::str::from_utf8(value).map_err(|_| RequestError::InvalidLength)?.trim();
    if text.is_empty() || !text.bytes().all(|byte| byte.is_ascii_digit()) {
        return Err(RequestError::InvalidLength);
    }
    match (text.parse(), given_before) {
        (Ok(length), None) => Ok(length),
        (Ok(length), Some(before)) if length == before => Ok(length),
        (Err(_), None) => Ok(usize::MAX),
        (Ok(_) | Err(_), Some(_)) => Err(RequestError::InvalidLength),
    }
}
