//! A small server: one task a connection, with limits on heads, bodies, idle time and sockets.

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

/// How long a connection may stand idle between requests.
const IDLE_TIMEOUT: Duration = Duration::from_secs(75);
/// How long the other side may take to accept an answer.
const WRITE_TIMEOUT: Duration = Duration::from_secs(10);
/// Pause after a connection could not be accepted.
const ACCEPT_PAUSE: Duration = Duration::from_millis(100);

/// Accepts for ever. Beyond `max_open` connections new ones are closed at once, so that the node always
/// has sockets left for its own requests.
///
/// `open` counts them for whoever has to make room. Each connection gets a handler of its own, which may
/// remember what came before on it.
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
                sleep(ACCEPT_PAUSE).await;
                continue;
            }
        };
        if open.get() >= max_open {
            debug!("too many connections: closing a new one");
            continue;
        }
        let _ = stream.set_nodelay(true);
        let counted = CountGuard::new(&open);
        let handler = new_handler();
        tokio::task::spawn_local(async move {
            connection(stream, handler).await;
            drop(counted);
        });
    }
}

/// Answers one request after the other until either side closes the connection.
async fn connection<S, H, F>(mut stream: S, handler: H)
where
    S: AsyncRead + AsyncWrite + Unpin,
    H: Fn(Request) -> F,
    F: Future<Output = Answer>,
{
    let mut buffer = Vec::new();
    let mut idle = IDLE_TIMEOUT;
    loop {
        let (answer, close) = match read_request(&mut stream, &mut buffer, idle).await {
            Ok(Received::Request { request, close }) => (handler(request).await, close),
            Ok(Received::Closed) => return,
            Err(error) => (error.into(), true),
        };
        let close = close || answer.close;
        idle = answer.idle_timeout.unwrap_or(IDLE_TIMEOUT).min(IDLE_TIMEOUT);
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
