//! Reads responses from a connection.

use tokio::io::{AsyncRead, AsyncReadExt};

use super::error::NoResponse;

const MAX_BODY: usize = 16 * 1024 * 1024;
const MAX_HEAD: usize = 16 * 1024;
const MAX_HEADERS: usize = 32;

/// A response, whatever its status.
#[derive(Debug)]
pub(crate) struct Response {
    /// The status code.
    pub(crate) status: u16,
    /// The body, whole.
    pub(crate) body: Vec<u8>,
}

/// A response as it came.
pub(super) struct Received {
    pub(super) response: Response,
    /// Whether the connection may be used again.
    pub(super) keep_alive: bool,
}

#[derive(Debug, PartialEq, Eq)]
struct Head {
    status: u16,
    /// Bytes of the body.
    length: usize,
    keep_alive: bool,
    /// Bytes of the head itself.
    bytes: usize,
}

pub(super) async fn read_response(
    stream: &mut (impl AsyncRead + Unpin),
) -> Result<Received, NoResponse> {
    let mut buffer = Vec::with_capacity(1024);
    let head = loop {
        if let Some(head) = parse_head(&buffer)? {
            break head;
        }
        if buffer.len() > MAX_HEAD {
            return Err(NoResponse::TooLong);
        }
        read_more(stream, &mut buffer).await?;
    };
    if head.length > MAX_BODY {
        return Err(NoResponse::TooLong);
    }
    let mut body = buffer.split_off(head.bytes);
    body.reserve(head.length.saturating_sub(body.len()));
    while body.len() < head.length {
        read_more(stream, &mut body).await?;
    }
    if body.len() > head.length {
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

/// The head, or `None` if there is more of it to come.
fn parse_head(buffer: &[u8]) -> Result<Option<Head>, NoResponse> {
    let mut headers = [httparse::EMPTY_HEADER; MAX_HEADERS];
    let mut response = httparse::Response::new(&mut headers);
    let httparse::Status::Complete(bytes) = response.parse(buffer)? else { return Ok(None) };
    let mut length = 0;
    let mut keep_alive = response.version == Some(1);
    for header in response.headers.iter() {
        if header.name.eq_ignore_ascii_case("content-length") {
            length = parse_length(header.value).ok_or(NoResponse::IncompleteHead)?;
        } else if header.name.eq_ignore_ascii_case("connection") {
            keep_alive = keep_alive && !header.value.eq_ignore_ascii_case(b"close");
        }
    }
    let status = response.code.ok_or(NoResponse::IncompleteHead)?;
    Ok(Some(Head { status, length, keep_alive, bytes }))
}

fn parse_length(value: &[u8]) -> Option<usize> {
    std::str::from_utf8(value).ok()?.trim().parse().ok()
}

#[cfg(test)]
mod tests;
