//! A client that keeps connections open and never repeats a request by itself. Whether a failure
//! can mean that the request was executed is the difference between its two errors.

use std::cell::RefCell;
use std::collections::HashMap;
use std::net::SocketAddrV4;
use std::time::Duration;

use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpStream;
use tokio::time::{timeout, Instant};

#[derive(Debug, Clone, Copy, PartialEq, Eq, thiserror::Error)]
pub enum Failure {
    /// No connection: the request never left.
    #[error("not sent")]
    NotSent,
    /// The request may have been executed, or may be later.
    #[error("no answer")]
    Lost,
}

#[derive(Debug)]
pub struct Response {
    pub status: u16,
    pub body: Vec<u8>,
}

const MOST_BODY: usize = 16 * 1024 * 1024;
const MOST_HEAD: usize = 16 * 1024;
const IDLE_KEPT: usize = 4;
const IDLE_FOR: Duration = Duration::from_secs(20);

struct Idle {
    stream: TcpStream,
    since: Instant,
}

/// What a scripted peer says to a request, in tests.
#[cfg(test)]
pub type Script = Box<dyn Fn(&str, &str, &[u8]) -> Result<Response, Failure>>;

#[derive(Default)]
pub struct Client {
    idle: RefCell<HashMap<SocketAddrV4, Vec<Idle>>>,
    #[cfg(test)]
    script: Option<Script>,
}

impl Client {
    #[cfg(test)]
    pub fn scripted(script: Script) -> Client {
        Client { script: Some(script), ..Client::default() }
    }

    pub async fn request(
        &self,
        addr: SocketAddrV4,
        method: &str,
        path: &str,
        body: &[u8],
        within: Duration,
    ) -> Result<Response, Failure> {
        #[cfg(test)]
        if let Some(script) = &self.script {
            return script(method, path, body);
        }
        let deadline = Instant::now() + within;
        let mut stream = match self.take_idle(addr) {
            Some(stream) => stream,
            None => match timeout(within, TcpStream::connect(addr)).await {
                Ok(Ok(stream)) => {
                    // Small requests that wait for their answers gain nothing from Nagle's delay.
                    let _ = stream.set_nodelay(true);
                    stream
                }
                Ok(Err(_)) | Err(_) => return Err(Failure::NotSent),
            },
        };
        let mut message = format!(
            "{method} {path} HTTP/1.1\r\nHost: {addr}\r\nContent-Type: application/json\r\nContent-Length: {}\r\n\r\n",
            body.len()
        )
        .into_bytes();
        message.extend_from_slice(body);
        let exchange = async {
            stream.write_all(&message).await.map_err(|_| Failure::Lost)?;
            read_response(&mut stream).await
        };
        match tokio::time::timeout_at(deadline, exchange).await {
            Ok(Ok((response, keep))) => {
                if keep {
                    self.keep(addr, stream);
                }
                Ok(response)
            }
            Ok(Err(_)) | Err(_) => Err(Failure::Lost),
        }
    }

    fn take_idle(&self, addr: SocketAddrV4) -> Option<TcpStream> {
        let mut idle = self.idle.borrow_mut();
        let list = idle.get_mut(&addr)?;
        while let Some(entry) = list.pop() {
            if entry.since.elapsed() > IDLE_FOR {
                continue;
            }
            // A connection that has something to read, or was closed, is of no use any more.
            let mut probe = [0u8; 1];
            match entry.stream.try_read(&mut probe) {
                Err(e) if e.kind() == std::io::ErrorKind::WouldBlock => return Some(entry.stream),
                _ => continue,
            }
        }
        None
    }

    fn keep(&self, addr: SocketAddrV4, stream: TcpStream) {
        let mut idle = self.idle.borrow_mut();
        if idle.len() > 200 {
            idle.retain(|_, list| {
                list.retain(|e| e.since.elapsed() <= IDLE_FOR);
                !list.is_empty()
            });
        }
        let list = idle.entry(addr).or_default();
        if list.len() < IDLE_KEPT {
            list.push(Idle { stream, since: Instant::now() });
        }
    }
}

async fn read_response(stream: &mut TcpStream) -> Result<(Response, bool), Failure> {
    let mut buf = Vec::with_capacity(1024);
    let (status, length, keep, head) = loop {
        if let Some(head) = parse_head(&buf)? {
            break head;
        }
        if buf.len() > MOST_HEAD {
            return Err(Failure::Lost);
        }
        if stream.read_buf(&mut buf).await.map_err(|_| Failure::Lost)? == 0 {
            return Err(Failure::Lost);
        }
    };
    if length > MOST_BODY {
        return Err(Failure::Lost);
    }
    let mut body = buf.split_off(head);
    body.reserve(length.saturating_sub(body.len()));
    while body.len() < length {
        if stream.read_buf(&mut body).await.map_err(|_| Failure::Lost)? == 0 {
            return Err(Failure::Lost);
        }
    }
    if body.len() > length {
        return Err(Failure::Lost); // Nobody pipelines; this is no HTTP that is spoken here.
    }
    Ok((Response { status, body }, keep))
}

type Head = (u16, usize, bool, usize);

fn parse_head(buf: &[u8]) -> Result<Option<Head>, Failure> {
    let mut headers = [httparse::EMPTY_HEADER; 32];
    let mut response = httparse::Response::new(&mut headers);
    match response.parse(buf) {
        Ok(httparse::Status::Complete(head)) => {
            let mut length = None;
            let mut keep = response.version == Some(1);
            for h in response.headers.iter() {
                if h.name.eq_ignore_ascii_case("content-length") {
                    length = std::str::from_utf8(h.value).ok().and_then(|v| v.trim().parse().ok());
                    if length.is_none() {
                        return Err(Failure::Lost);
                    }
                } else if h.name.eq_ignore_ascii_case("connection") {
                    keep = keep && !h.value.eq_ignore_ascii_case(b"close");
                }
            }
            let status = response.code.ok_or(Failure::Lost)?;
            Ok(Some((status, length.unwrap_or(0), keep, head)))
        }
        Ok(httparse::Status::Partial) => Ok(None),
        Err(_) => Err(Failure::Lost),
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn heads_are_read_whole_or_not_at_all() {
        let good = b"HTTP/1.1 200 OK\r\nContent-Length: 2\r\nConnection: close\r\n\r\n{}";
        assert_eq!(parse_head(good), Ok(Some((200, 2, false, good.len() - 2))));
        for cut in 0..good.len() - 2 {
            assert_eq!(parse_head(&good[..cut]), Ok(None), "cut at {cut}");
        }
        let bad = b"HTTP/1.1 200 OK\r\nContent-Length: many\r\n\r\n";
        assert_eq!(parse_head(bad), Err(Failure::Lost));
        assert_eq!(parse_head(b"SSH-2.0-x\r\n\r\n"), Err(Failure::Lost));
    }
}
