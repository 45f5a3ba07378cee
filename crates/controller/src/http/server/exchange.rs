//! A connection to the server in memory, for tests that look at its bytes.

use tokio::io::{AsyncReadExt, DuplexStream};

use super::*;

/// Sends the bytes on one connection and returns all that comes back on it.
pub(crate) async fn exchange<H, F>(input: &[u8], handler: H) -> String
where
    H: Fn(Request) -> F,
    F: Future<Output = Answer>,
{
    let (mut near, far) = tokio::io::duplex(256 * 1024);
    near.write_all(input).await.expect("written");
    near.shutdown().await.expect("shut down");
    answered(near, far, handler).await
}

/// The same where the other side sends no more and doesn't hang up either.
pub(crate) async fn exchange_unfinished<H, F>(input: &[u8], handler: H) -> String
where
    H: Fn(Request) -> F,
    F: Future<Output = Answer>,
{
    let (mut near, far) = tokio::io::duplex(256 * 1024);
    near.write_all(input).await.expect("written");
    answered(near, far, handler).await
}

async fn answered<H, F>(mut near: DuplexStream, far: DuplexStream, handler: H) -> String
where
    H: Fn(Request) -> F,
    F: Future<Output = Answer>,
{
    connection(far, handler).await;
    let mut output = String::new();
    near.read_to_string(&mut output).await.expect("read");
    output
}
