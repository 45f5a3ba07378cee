//! A client that keeps connections open and never repeats a request by itself. Whether a failure
//! can mean that the request was executed is the difference between its two errors.

use std::cell::{Cell, RefCell};
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

const MAX_BODY: usize = 16 * 1024 * 1024;
const MAX_HEAD: usize = 16 * 1024;
const IDLE_KEPT: usize = 4;
/// Connections kept open where nothing else is said.
const MAX_OPEN: usize = 200;
const IDLE_FOR: Duration = Duration::from_secs(20);

/// Connections that wait for their next use, the longest idle first for each address.
struct Pool<T> {
    idle: HashMap<SocketAddrV4, Vec<(T, Instant)>>,
}

impl<T> Pool<T> {
    fn len(&self) -> usize {
        self.idle.values().map(Vec::len).sum()
    }

    fn keep(&mut self, addr: SocketAddrV4, connection: T) {
        let list = self.idle.entry(addr).or_default();
        if list.len() < IDLE_KEPT {
            list.push((connection, Instant::now()));
        }
    }

    /// The one used last that is not too old and still `good`.
    fn take(&mut self, addr: SocketAddrV4, good: impl Fn(&T) -> bool) -> Option<T> {
        let list = self.idle.get_mut(&addr)?;
        while let Some((connection, since)) = list.pop() {
            if since.elapsed() <= IDLE_FOR && good(&connection) {
                return Some(connection);
            }
        }
        self.idle.remove(&addr);
        None
    }

    /// Closes those that have been idle longest until at most `most` are left.
    fn shrink(&mut self, most: usize) {
        for _ in most..self.len() {
            let all = self.idle.iter();
            let first = all.filter_map(|(&addr, list)| Some((list.first()?.1, addr)));
            let Some((_, addr)) = first.min() else { return };
            if let Some(list) = self.idle.get_mut(&addr) {
                list.remove(0);
                if list.is_empty() {
                    self.idle.remove(&addr);
                }
            }
        }
    }
}

/// What a scripted peer says to a request, in tests, and the same in its own time.
#[cfg(test)]
pub type Script = Box<dyn Fn(&str, &str, &[u8]) -> Result<Response, Failure>>;
#[cfg(test)]
pub type Answering =
    std::pin::Pin<Box<dyn std::future::Future<Output = Result<Response, Failure>>>>;
#[cfg(test)]
pub type SlowScript = Box<dyn Fn(&str, &str, &[u8]) -> Answering>;

pub struct Client {
    idle: RefCell<Pool<TcpStream>>,
    /// Connections in use, and most of all together: an idle one is closed for a new one, or the
    /// pool would take the sockets that users need.
    in_use: Cell<usize>,
    most: usize,
    #[cfg(test)]
    script: Option<SlowScript>,
}

impl Default for Client {
    fn default() -> Client {
        Client::with_most(MAX_OPEN)
    }
}

/// Counts a connection as out of use, however its request ends.
struct InUse<'a>(&'a Cell<usize>);

impl<'a> InUse<'a> {
    fn new(count: &'a Cell<usize>) -> InUse<'a> {
        count.set(count.get() + 1);
        InUse(count)
    }
}

impl Drop for InUse<'_> {
    fn drop(&mut self) {
        self.0.set(self.0.get() - 1);
    }
}

impl Client {
    pub fn with_most(most: usize) -> Client {
        Client {
            idle: RefCell::new(Pool { idle: HashMap::new() }),
            in_use: Cell::new(0),
            most,
            #[cfg(test)]
            script: None,
        }
    }

    #[cfg(test)]
    pub fn scripted(script: Script) -> Client {
        Client::scripted_slow(Box::new(move |method, path, body| {
            Box::pin(std::future::ready(script(method, path, body)))
        }))
    }

    #[cfg(test)]
    pub fn scripted_slow(script: SlowScript) -> Client {
        Client { script: Some(script), ..Client::default() }
    }

    /// Sends the request, whatever else has happened meanwhile.
    pub async fn request(
        &self,
        addr: SocketAddrV4,
        method: &str,
        path: &str,
        body: &[u8],
        within: Duration,
    ) -> Result<Response, Failure> {
        self.request_if(addr, method, path, body, within, &|| true).await
    }

    /// Sends the request if it still may be sent once there is a connection: asked directly before the
    /// bytes are handed to the socket. Otherwise nothing leaves.
    pub async fn request_if(
        &self,
        addr: SocketAddrV4,
        method: &str,
        path: &str,
        body: &[u8],
        within: Duration,
        may_send: &dyn Fn() -> bool,
    ) -> Result<Response, Failure> {
        #[cfg(test)]
        if let Some(script) = &self.script {
            if !may_send() {
                return Err(Failure::NotSent);
            }
            let answer = script(method, path, body);
            return timeout(within, answer).await.unwrap_or(Err(Failure::Lost));
        }
        let deadline = Instant::now() + within;
        let _in_use = InUse::new(&self.in_use);
        let kept = self.take_idle(addr);
        if kept.is_none() {
            // Those in use count, this one among them.
            self.idle.borrow_mut().shrink(self.most.saturating_sub(self.in_use.get()));
        }
        let mut stream = match kept {
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
        if !may_send() {
            self.idle.borrow_mut().keep(addr, stream);
            return Err(Failure::NotSent);
        }
        let exchange = async {
            stream.write_all(&message).await.map_err(|_| Failure::Lost)?;
            read_response(&mut stream).await
        };
        match tokio::time::timeout_at(deadline, exchange).await {
            Ok(Ok((response, keep))) => {
                if keep {
                    self.idle.borrow_mut().keep(addr, stream);
                }
                Ok(response)
            }
            Ok(Err(_)) | Err(_) => Err(Failure::Lost),
        }
    }

    fn take_idle(&self, addr: SocketAddrV4) -> Option<TcpStream> {
        self.idle.borrow_mut().take(addr, |stream| {
            // A connection that has something to read, or was closed, is of no use any more.
            let mut probe = [0u8; 1];
            let read = stream.try_read(&mut probe);
            matches!(read, Err(e) if e.kind() == std::io::ErrorKind::WouldBlock)
        })
    }
}

async fn read_response(stream: &mut TcpStream) -> Result<(Response, bool), Failure> {
    let mut buf = Vec::with_capacity(1024);
    let (status, length, keep, head) = loop {
        if let Some(head) = parse_head(&buf)? {
            break head;
        }
        if buf.len() > MAX_HEAD {
            return Err(Failure::Lost);
        }
        if stream.read_buf(&mut buf).await.map_err(|_| Failure::Lost)? == 0 {
            return Err(Failure::Lost);
        }
    };
    if length > MAX_BODY {
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
mod golden_tests;
#[cfg(test)]
mod tests;
