//! A small server: one task a connection, with limits on heads, bodies, idle time and sockets.

use std::cell::Cell;
use std::future::Future;
use std::rc::Rc;
use std::time::Duration;

use serde_json::Value;
use tokio::io::{AsyncRead, AsyncReadExt, AsyncWrite, AsyncWriteExt};
use tokio::net::TcpListener;
use tokio::time::timeout;
use tracing::{debug, warn};

pub const MAX_BODY: usize = 64 * 1024;
const MAX_HEAD: usize = 8 * 1024;
/// How long a connection may stand idle between requests.
const IDLE: Duration = Duration::from_secs(75);
/// How long one request may take to arrive once it has begun.
const SLOW: Duration = Duration::from_secs(10);
const STUCK: Duration = Duration::from_secs(10);

#[derive(Debug, PartialEq)]
pub struct Request {
    pub method: String,
    pub path: String,
    pub body: Vec<u8>,
}

#[derive(Debug)]
pub struct Answer {
    pub status: u16,
    pub body: Vec<u8>,
    /// Seconds after which the caller should come again.
    pub retry_after: Option<u32>,
    /// The connection is closed after this answer.
    pub close: bool,
    /// How long the connection may stand idle after this answer, if not as long as any.
    pub idle: Option<Duration>,
}

impl Answer {
    /// An answer that leaves the connection as it is. The body is JSON.
    pub fn bytes(status: u16, body: Vec<u8>) -> Answer {
        Answer { status, body, retry_after: None, close: false, idle: None }
    }

    pub fn json(status: u16, value: &Value) -> Answer {
        Answer::bytes(status, value.to_string().into_bytes())
    }

    pub fn error(status: u16, text: impl Into<String>) -> Answer {
        Answer::json(status, &serde_json::json!({"error": text.into()}))
    }

    /// What can't be decided now is refused at once, with the time to come again.
    pub fn later(text: &str) -> Answer {
        Answer::later_by(1, text)
    }

    pub fn later_by(seconds: u32, text: &str) -> Answer {
        Answer { retry_after: Some(seconds.max(1)), ..Answer::error(503, text) }
    }
}

fn reason(status: u16) -> &'static str {
    match status {
        200 => "OK",
        201 => "Created",
        400 => "Bad Request",
        404 => "Not Found",
        405 => "Method Not Allowed",
        408 => "Request Timeout",
        413 => "Content Too Large",
        421 => "Misdirected Request",
        422 => "Unprocessable Content",
        429 => "Too Many Requests",
        431 => "Request Header Fields Too Large",
        501 => "Not Implemented",
        503 => "Service Unavailable",
        _ => "Unknown",
    }
}

/// Accepts for ever. Beyond `most` connections new ones are closed at once, so that the node
/// always has sockets left for its own requests.
///
/// `open` counts them for whoever has to make room. Each connection gets a handler of its own, which
/// may remember what came before on it.
pub async fn serve<N, H, F>(listener: TcpListener, most: u32, open: Rc<Cell<u32>>, new_handler: N)
where
    N: Fn() -> H,
    H: Fn(Request) -> F + 'static,
    F: Future<Output = Answer> + 'static,
{
    loop {
        let stream = match listener.accept().await {
            Ok((stream, _)) => stream,
            Err(e) => {
                warn!("cannot accept: {e}");
                tokio::time::sleep(Duration::from_millis(100)).await;
                continue;
            }
        };
        if open.get() >= most {
            debug!("too many connections: one is closed");
            continue;
        }
        let _ = stream.set_nodelay(true);
        open.set(open.get() + 1);
        let open = open.clone();
        let handler = new_handler();
        tokio::task::spawn_local(async move {
            connection(stream, handler).await;
            open.set(open.get() - 1);
        });
    }
}

async fn connection<S, H, F>(mut stream: S, handler: H)
where
    S: AsyncRead + AsyncWrite + Unpin,
    H: Fn(Request) -> F,
    F: Future<Output = Answer>,
{
    let mut buf = Vec::new();
    let mut idle = IDLE;
    loop {
        let (answer, close) = match read_request(&mut stream, &mut buf, idle).await {
            Ok(Some((request, close))) => (handler(request).await, close),
            Ok(None) => return,
            Err(answer) => (answer, true),
        };
        let close = close || answer.close;
        idle = answer.idle.unwrap_or(IDLE).min(IDLE);
        let mut head = format!(
            "HTTP/1.1 {} {}\r\nContent-Type: application/json\r\nContent-Length: {}\r\n",
            answer.status,
            reason(answer.status),
            answer.body.len()
        );
        if let Some(s) = answer.retry_after {
            head.push_str(&format!("Retry-After: {s}\r\n"));
        }
        head.push_str(if close { "Connection: close\r\n\r\n" } else { "\r\n" });
        let mut message = head.into_bytes();
        message.extend_from_slice(&answer.body);
        match timeout(STUCK, stream.write_all(&message)).await {
            Ok(Ok(())) if !close => {}
            _ => {
                let _ = timeout(STUCK, stream.shutdown()).await;
                return;
            }
        }
    }
}

enum Step {
    More,
    Head { method: String, path: String, length: usize, close: bool, head: usize, expect: bool },
    Bad(Answer),
}

fn parse(buf: &[u8]) -> Step {
    let mut headers = [httparse::EMPTY_HEADER; 48];
    let mut request = httparse::Request::new(&mut headers);
    let head = match request.parse(buf) {
        Ok(httparse::Status::Complete(head)) => head,
        Ok(httparse::Status::Partial) if buf.len() > MAX_HEAD => {
            return Step::Bad(Answer::error(431, "the head is too long"));
        }
        Ok(httparse::Status::Partial) => return Step::More,
        Err(httparse::Error::TooManyHeaders) => {
            return Step::Bad(Answer::error(431, "too many header fields"));
        }
        Err(e) => return Step::Bad(Answer::error(400, format!("bad head: {e}"))),
    };
    let mut length = 0usize;
    let mut seen_length = false;
    let mut close = request.version == Some(0);
    let mut expect = false;
    for h in request.headers.iter() {
        if h.name.eq_ignore_ascii_case("content-length") {
            let value = std::str::from_utf8(h.value).ok().map(str::trim);
            let digits = value.filter(|v| !v.is_empty() && v.bytes().all(|b| b.is_ascii_digit()));
            match digits.and_then(|v| v.parse::<usize>().ok()) {
                Some(n) if !seen_length || n == length => length = n,
                _ if digits.is_some() && !seen_length => length = usize::MAX,
                _ => return Step::Bad(Answer::error(400, "bad Content-Length")),
            }
            seen_length = true;
        } else if h.name.eq_ignore_ascii_case("transfer-encoding") {
            return Step::Bad(Answer::error(501, "Transfer-Encoding is not supported"));
        } else if h.name.eq_ignore_ascii_case("connection") {
            close = close || h.value.eq_ignore_ascii_case(b"close");
        } else if h.name.eq_ignore_ascii_case("expect") {
            expect = h.value.eq_ignore_ascii_case(b"100-continue");
        }
    }
    if length > MAX_BODY {
        return Step::Bad(Answer::error(413, "a body may have at most 64 KiB"));
    }
    let method = request.method.unwrap_or_default().to_owned();
    let path = request.path.unwrap_or_default().to_owned();
    Step::Head { method, path, length, close, head, expect }
}

/// Reads one request. `Ok(None)`: the other side is done.
async fn read_request<S: AsyncRead + AsyncWrite + Unpin>(
    stream: &mut S,
    buf: &mut Vec<u8>,
    idle: Duration,
) -> Result<Option<(Request, bool)>, Answer> {
    if buf.is_empty() {
        // An idle connection holds no buffer; memory is short and connections are many.
        *buf = Vec::new();
        let mut first = [0u8; 1024];
        match timeout(idle, stream.read(&mut first)).await {
            Ok(Ok(n)) if n > 0 => buf.extend_from_slice(&first[..n]),
            _ => return Ok(None),
        }
    }
    let whole = async {
        loop {
            match parse(buf) {
                Step::More => {}
                Step::Bad(answer) => return Err(answer),
                Step::Head { method, path, length, close, head, expect } => {
                    if expect && buf.len() < head + length {
                        let go_on = b"HTTP/1.1 100 Continue\r\n\r\n";
                        if stream.write_all(go_on).await.is_err() {
                            return Ok(None);
                        }
                    }
                    while buf.len() < head + length {
                        match stream.read_buf(buf).await {
                            Ok(n) if n > 0 => {}
                            _ => return Ok(None),
                        }
                    }
                    let rest = buf.split_off(head + length);
                    let body = buf.split_off(head);
                    *buf = rest;
                    return Ok(Some((Request { method, path, body }, close)));
                }
            }
            match stream.read_buf(buf).await {
                Ok(n) if n > 0 => {}
                _ => return Ok(None),
            }
        }
    };
    match timeout(SLOW, whole).await {
        Ok(result) => result,
        Err(_) => Err(Answer::error(408, "the request took too long to arrive")),
    }
}

#[cfg(test)]
pub mod exchange;
#[cfg(test)]
mod tests;
