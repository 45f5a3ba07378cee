//! An HTTP server with one task per connection and limits on the size of heads and bodies, on idle
//! time and on the number of connections.

mod answer;
mod request;

use std::cell::Cell;
use std::future::Future;
use std::rc::Rc;
use std::time::Duration;

use tokio::io::{AsyncRead, AsyncWrite, AsyncWriteExt};
use tokio::net::TcpListener;
use tokio::time::{sleep, timeout};
use tracing::{debug, warn};

use crate::count_guard::CountGuard;
use request::{read_request, Received};

pub(crate) use answer::Answer;
pub(crate) use request::Request;

/// A connection that sends no new request for this long is closed.
const IDLE_TIMEOUT: Duration = Duration::from_secs(75);
/// Time limit for writing a response, and again for closing the connection.
const WRITE_TIMEOUT: Duration = Duration::from_secs(10);
/// Delay before accepting again after an error, such as having no free file descriptor.
const ACCEPT_RETRY_DELAY: Duration = Duration::from_millis(100);

/// Accepts and serves connections forever. Once `max_open` are open, a new one is closed at once, so
/// that the node always has sockets left for its own requests.
///
/// `open` holds the number of open connections, which the caller reads to decide when to close some.
/// `new_handler` is called once per connection, so a handler can keep state between the requests of
/// one connection.
pub(crate) async fn serve<N, H, F>(
    listener: TcpListener,
    max_open: u32,
    open: Rc<Cell<u32>>,
    new_handler: N,
) where
    N: Fn() -> H,
    H: Fn(Request) -> F + 'static,
    F: Future<Output = Answer> + 'static,
{
    loop {
        let stream = match listener.accept().await {
            Ok((stream, _)) => stream,
            Err(error) => {
                warn!(%error, "cannot accept a connection");
                sleep(ACCEPT_RETRY_DELAY).await;
                continue;
            }
        };
        if open.get() >= max_open {
            debug!("connection limit reached: closing a new connection");
            continue;
        }
        let _ = stream.set_nodelay(true);
        let open_guard = CountGuard::new(&open);
        let handler = new_handler();
        tokio::task::spawn_local(async move {
            serve_connection(stream, handler).await;
            drop(open_guard);
        });
    }
}

/// Responds to the requests of one connection in turn until either side closes it. A request that
/// can't be parsed gets an error response, after which the connection is closed.
async fn serve_connection<S, H, F>(mut stream: S, handler: H)
where
    S: AsyncRead + AsyncWrite + Unpin,
    H: Fn(Request) -> F,
    F: Future<Output = Answer>,
{
    let mut buffer = Vec::new();
    let mut idle_timeout = IDLE_TIMEOUT;
    loop {
        let (answer, close) = match read_request(&mut stream, &mut buffer, idle_timeout).await {
            Ok(Received::Request { request, close }) => (handler(request).await, close),
            Ok(Received::Closed) => return,
            Err(error) => (error.into(), true),
        };
        let close = close || answer.close;
        idle_timeout = answer.idle_timeout.unwrap_or(IDLE_TIMEOUT).min(IDLE_TIMEOUT);
        let written = timeout(WRITE_TIMEOUT, stream.write_all(&answer.to_bytes(close))).await;
        if close || !matches!(written, Ok(Ok(()))) {
            let _ = timeout(WRITE_TIMEOUT, stream.shutdown()).await;
            return;
        }
    }
}

#[cfg(test)]
pub(crate) mod exchange;
#[cfg(test)]
mod tests;
