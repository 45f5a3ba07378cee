//! A client that keeps connections open and never repeats a request by itself. Whether a failure can mean
//! that the request was executed is the difference between its two errors.

mod error;
mod pool;
mod response;

use std::cell::{Cell, RefCell};
use std::net::SocketAddrV4;
use std::rc::Rc;
use std::time::Duration;

use tokio::io::AsyncWriteExt;
use tokio::net::TcpStream;
use tokio::time::{timeout, timeout_at, Instant};

use crate::count_guard::CountGuard;
use pool::Pool;
use response::{read_response, Received};

pub(crate) use error::{HttpError, NoResponse, NotSent};
pub(crate) use response::Response;

/// Connections kept open where nothing else is said.
const MAX_CONNECTIONS: usize = 200;

/// A request to send.
#[derive(Debug, Clone, Copy)]
pub(crate) struct Request<'a> {
    /// The method.
    pub(crate) method: &'a str,
    /// The path, with its query.
    pub(crate) path: &'a str,
    /// The body, which is JSON or empty.
    pub(crate) body: &'a [u8],
    /// For how long a response is waited for, connecting included.
    pub(crate) timeout: Duration,
}

/// What a scripted peer says to a request, in tests, and the same in its own time.
#[cfg(test)]
pub(crate) type Script = Box<dyn Fn(&str, &str, &[u8]) -> Result<Response, HttpError>>;
#[cfg(test)]
pub(crate) type ResponseFuture =
    std::pin::Pin<Box<dyn std::future::Future<Output = Result<Response, HttpError>>>>;
#[cfg(test)]
pub(crate) type AsyncScript = Box<dyn Fn(&str, &str, &[u8]) -> ResponseFuture>;

/// Sends requests, and keeps their connections for the next ones.
pub(crate) struct Client {
    idle: RefCell<Pool<TcpStream>>,
    /// Connections in use.
    in_use: Rc<Cell<u32>>,
    /// Most connections, in use and idle: an idle one is closed for a new one, or the pool would take the
    /// sockets that users need.
    max_connections: usize,
    #[cfg(test)]
    script: Option<AsyncScript>,
}

impl Default for Client {
    fn default() -> Client {
        Client::with_max_connections(MAX_CONNECTIONS)
    }
}

impl Client {
    /// A client that closes idle connections beyond so many in all.
    pub(crate) fn with_max_connections(max_connections: usize) -> Client {
        Client {
            idle: RefCell::default(),
            in_use: Rc::default(),
            max_connections,
            #[cfg(test)]
            script: None,
        }
    }

    #[cfg(test)]
    pub(crate) fn scripted(script: Script) -> Client {
        Client::scripted_async(Box::new(move |method, path, body| {
            Box::pin(std::future::ready(script(method, path, body)))
        }))
    }

    #[cfg(test)]
    pub(crate) fn scripted_async(script: AsyncScript) -> Client {
        Client { script: Some(script), ..Client::default() }
    }

    /// Sends the request, whatever else has happened meanwhile.
    pub(crate) async fn send(
        &self,
        addr: SocketAddrV4,
        request: &Request<'_>,
    ) -> Result<Response, HttpError> {
        self.send_if(addr, request, &|| true).await
    }

    /// Sends the request if it still may be sent once there is a connection: asked directly before the
    /// bytes are handed to the socket. Otherwise nothing leaves.
    pub(crate) async fn send_if(
        &self,
        addr: SocketAddrV4,
        request: &Request<'_>,
        may_send: &dyn Fn() -> bool,
    ) -> Result<Response, HttpError> {
        #[cfg(test)]
        if let Some(script) = &self.script {
            return play(script, request, may_send).await;
        }
        let deadline = Instant::now() + request.timeout;
        let _in_use = CountGuard::new(&self.in_use);
        let mut stream = self.connect(addr, request.timeout).await?;
        let message = message(addr, request);
        if !may_send() {
            self.idle.borrow_mut().put(addr, stream);
            return Err(NotSent::Withdrawn.into());
        }
        let exchange = async {
            stream.write_all(&message).await?;
            read_response(&mut stream).await
        };
        let received = timeout_at(deadline, exchange).await.map_err(|_| NoResponse::Timeout)?;
        let Received { response, keep_alive } = received?;
        if keep_alive {
            self.idle.borrow_mut().put(addr, stream);
        }
        Ok(response)
    }

    /// A kept connection, or a new one.
    async fn connect(&self, addr: SocketAddrV4, within: Duration) -> Result<TcpStream, NotSent> {
        if let Some(stream) = self.idle.borrow_mut().take(addr, is_usable) {
            return Ok(stream);
        }
        // Those in use count, the one that is to be opened among them.
        let most_idle = self.max_connections.saturating_sub(self.in_use.get() as usize);
        self.idle.borrow_mut().shrink(most_idle);
        let connected = timeout(within, TcpStream::connect(addr)).await;
        let stream = connected.map_err(|_| NotSent::ConnectTimeout)?.map_err(NotSent::Connect)?;
        // Small requests that wait for their answers gain nothing from Nagle's delay.
        let _ = stream.set_nodelay(true);
        Ok(stream)
    }
}

/// The request's bytes.
fn message(addr: SocketAddrV4, request: &Request<'_>) -> Vec<u8> {
    let Request { method, path, body, .. } = request;
    let mut message = format!(
        "{method} {path} HTTP/1.1\r\nHost: {addr}\r\nContent-Type: application/json\r\nContent-Length: {}\r\n\r\n",
        body.len()
    )
    .into_bytes();
    message.extend_from_slice(body);
    message
}

/// A connection that has something to read, or was closed, is of no use any more.
fn is_usable(stream: &TcpStream) -> bool {
    let mut probe = [0u8; 1];
    let read = stream.try_read(&mut probe);
    matches!(read, Err(error) if error.kind() == std::io::ErrorKind::WouldBlock)
}

#[cfg(test)]
async fn play(
    script: &AsyncScript,
    request: &Request<'_>,
    may_send: &dyn Fn() -> bool,
) -> Result<Response, HttpError> {
    if !may_send() {
        return Err(NotSent::Withdrawn.into());
    }
    let answer = script(request.method, request.path, request.body);
    timeout(request.timeout, answer).await.unwrap_or(Err(NoResponse::Timeout.into()))
}

#[cfg(test)]
mod golden_tests;
