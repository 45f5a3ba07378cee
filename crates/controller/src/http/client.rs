//! An HTTP client that reuses connections and never retries a request by itself.
//!
//! Its two kinds of error tell whether the server may have executed the request: a caller may
//! safely repeat one that was not sent.

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

/// Limit on connections of a client that is created without a limit of its own.
const DEFAULT_MAX_CONNECTIONS: usize = 200;

/// A request to an HTTP server, borrowed from the caller until its response arrives.
#[derive(Debug, Clone, Copy)]
pub(crate) struct Request<'a> {
    /// The HTTP method, such as `GET`; sent as is.
    pub(crate) method: &'a str,
    /// The request target: the path with its query string; sent as is, without percent-encoding.
    pub(crate) path: &'a str,
    /// A JSON document, or empty for a request without a body.
    pub(crate) body: &'a [u8],
    /// Time limit for the whole exchange, from connecting to the last byte of the response.
    pub(crate) timeout: Duration,
}

/// Computes the response to a method, path and body, so that a test needs no server.
#[cfg(test)]
pub(crate) type Script = Box<dyn Fn(&str, &str, &[u8]) -> Result<Response, HttpError>>;
/// The pending result of an [`AsyncScript`].
#[cfg(test)]
pub(crate) type ResponseFuture =
    std::pin::Pin<Box<dyn std::future::Future<Output = Result<Response, HttpError>>>>;
/// Like [`Script`], but a test decides when the response arrives.
#[cfg(test)]
pub(crate) type AsyncScript = Box<dyn Fn(&str, &str, &[u8]) -> ResponseFuture>;

/// Sends requests and keeps the connections in a pool for later ones.
pub(crate) struct Client {
    idle: RefCell<Pool<TcpStream>>,
    /// Number of requests in progress, each of which has a connection or is opening one.
    in_use: Rc<Cell<u32>>,
    /// Limit on connections in use and idle together. At the limit an idle one is closed before a
    /// new one is opened; otherwise the pool would take the sockets that users need.
    max_connections: usize,
    #[cfg(test)]
    script: Option<AsyncScript>,
}

impl Default for Client {
    fn default() -> Client {
        Client::with_max_connections(DEFAULT_MAX_CONNECTIONS)
    }
}

impl Client {
    /// Creates a client that closes idle connections to stay below the limit. Connections in use
    /// alone may exceed it.
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

    /// Sends the request unconditionally and returns its response.
    pub(crate) async fn send(
        &self,
        addr: SocketAddrV4,
        request: &Request<'_>,
    ) -> Result<Response, HttpError> {
        self.send_if(addr, request, &|| true).await
    }

    /// Sends the request only if `may_send` returns true. It is called once a connection is open,
    /// directly before the bytes are written to the socket; if it returns false, nothing is sent.
    pub(crate) async fn send_if(
        &self,
        addr: SocketAddrV4,
        request: &Request<'_>,
        may_send: &dyn Fn() -> bool,
    ) -> Result<Response, HttpError> {
        #[cfg(test)]
        if let Some(script) = &self.script {
            return run_script(script, request, may_send).await;
        }
        let deadline = Instant::now() + request.timeout;
        let _in_use = CountGuard::new(&self.in_use);
        let mut stream = self.connect(addr, request.timeout).await?;
        let request_bytes = encode_request(addr, request);
        if !may_send() {
            self.idle.borrow_mut().put(addr, stream);
            return Err(NotSent::Withdrawn.into());
        }
        let exchange = async {
            stream.write_all(&request_bytes).await?;
            read_response(&mut stream).await
        };
        let received = timeout_at(deadline, exchange).await.map_err(|_| NoResponse::Timeout)?;
        let Received { response, keep_alive } = received?;
        if keep_alive {
            self.idle.borrow_mut().put(addr, stream);
        }
        Ok(response)
    }

    /// Takes an idle connection from the pool, or opens a new one.
    async fn connect(
        &self,
        addr: SocketAddrV4,
        connect_timeout: Duration,
    ) -> Result<TcpStream, NotSent> {
        if let Some(stream) = self.idle.borrow_mut().take(addr, is_usable) {
            return Ok(stream);
        }
        // `in_use` already counts the connection that is about to be opened.
        let max_idle = self.max_connections.saturating_sub(self.in_use.get() as usize);
        self.idle.borrow_mut().shrink(max_idle);
        let connected = timeout(connect_timeout, TcpStream::connect(addr)).await;
        let stream = connected.map_err(|_| NotSent::ConnectTimeout)?.map_err(NotSent::Connect)?;
        // Nagle's algorithm only delays small requests that wait for their responses.
        let _ = stream.set_nodelay(true);
        Ok(stream)
    }
}

/// Encodes the request as HTTP/1.1 with a JSON content type.
fn encode_request(addr: SocketAddrV4, request: &Request<'_>) -> Vec<u8> {
    let Request { method, path, body, .. } = request;
    let mut bytes = format!(
        "{method} {path} HTTP/1.1\r\nHost: {addr}\r\nContent-Type: application/json\r\nContent-Length: {}\r\n\r\n",
        body.len()
    )
    .into_bytes();
    bytes.extend_from_slice(body);
    bytes
}

/// Returns whether an idle connection can carry another request. It can't once the server has
/// closed it or has sent bytes that no request asked for.
fn is_usable(stream: &TcpStream) -> bool {
    let mut probe = [0u8; 1];
    let read = stream.try_read(&mut probe);
    matches!(read, Err(error) if error.kind() == std::io::ErrorKind::WouldBlock)
}

#[cfg(test)]
async fn run_script(
    script: &AsyncScript,
    request: &Request<'_>,
    may_send: &dyn Fn() -> bool,
) -> Result<Response, HttpError> {
    if !may_send() {
        return Err(NotSent::Withdrawn.into());
    }
    let response = script(request.method, request.path, request.body);
    timeout(request.timeout, response).await.unwrap_or(Err(NoResponse::Timeout.into()))
}

#[cfg(test)]
mod golden_tests;
