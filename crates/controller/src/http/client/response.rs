//! Reads and parses HTTP/1.1 responses, with limits on the size of head and body.

use tokio::io::{AsyncRead, AsyncReadExt};

use super::error::NoResponse;

const MAX_BODY_BYTES: usize = 16 * 1024 * 1024;
const MAX_HEAD_BYTES: usize = 16 * 1024;
const MAX_HEADERS: usize = 32;

/// A complete response. Error statuses count as responses too.
#[derive(Debug)]
pub(crate) struct Response {
    /// The HTTP status code.
    pub(crate) status: u16,
    /// The complete body, empty if there is none.
    pub(crate) body: Vec<u8>,
}

/// A response together with what it says about its connection.
pub(super) struct Received {
    pub(super) response: Response,
    /// Whether the connection can be reused: HTTP/1.1 without `Connection: close`.
    pub(super) keep_alive: bool,
}

#[derive(Debug, PartialEq, Eq)]
struct Head {
    status: u16,
    /// Value of `Content-Length`, in bytes; 0 if it is absent.
    body_length: usize,
    keep_alive: bool,
    /// Length of the head in bytes, its final empty line included.
    head_length: usize,
}

pub(super) async fn read_response(
    stream: &mut (impl AsyncRead + Unpin),
) -> Result<Received, NoResponse> {
    let mut buffer = Vec::with_capacity(1024);
    let head = loop {
        if let Some(head) = parse_head(&buffer)? {
            break head;
        }
        if buffer.len() > MAX_HEAD_BYTES {
            return Err(NoResponse::TooLong);
        }
        read_more(stream, &mut buffer).await?;
    };
    if head.body_length > MAX_BODY_BYTES {
        return Err(NoResponse::TooLong);
    }
    let mut body = buffer.split_off(head.head_length);
    body.reserve(head.body_length.saturating_sub(body.len()));
    while body.len() < head.body_length {
        read_more(stream, &mut body).await?;
    }
    if body.len() > head.body_length {
        return Err(NoResponse::TrailingBytes);
    }
    let response = Response { status: head.status, body };
    Ok(Received { response, keep_alive: head.keep_alive })
}

async fn read_more(
    stream: &mut (impl AsyncRead + Unpin),
    buffer: &mut Vec<u8>,
) -> Result<(), NoResponse> {
    match stream.read_buf(buffer).await? {
        0 => Err(NoResponse::Closed),
        _ => Ok(()),
    }
}

/// Parses the head, or returns `None` if it is still incomplete.
fn parse_head(buffer: &[u8]) -> Result<Option<Head>, NoResponse> {
    let mut headers = [httparse::EMPTY_HEADER; MAX_HEADERS];
    let mut response = httparse::Response::new(&mut headers);
    let httparse::Status::Complete(head_length) = response.parse(buffer)? else { return Ok(None) };
    let mut body_length = 0;
    let mut keep_alive = response.version == Some(1);
    for header in response.headers.iter() {
        if header.name.eq_ignore_ascii_case("content-length") {
            body_length = parse_length(header.value).ok_or(NoResponse::IncompleteHead)?;
        } else if header.name.eq_ignore_ascii_case("connection") {
            keep_alive = keep_alive && !header.value.eq_ignore_ascii_case(b"close");
        }
    }
    let status = response.code.ok_or(NoResponse::IncompleteHead)?;
    Ok(Some(Head { status, body_length, keep_alive, head_length }))
}

fn parse_length(value: &[u8]) -> Option<usize> {
    std::str::from_utf8(value).ok()?.trim().parse().ok()
}

#[cfg(test)]
mod tests;
