//! In-memory connections to the server, for tests that check the bytes of its responses.

use tokio::io::{AsyncReadExt, DuplexStream};

use super::*;

/// Sends the bytes on one connection, closes its sending side, and returns all bytes that the server
/// sends back.
pub(crate) async fn exchange<H, F>(input: &[u8], handler: H) -> String
where
    H: Fn(Request) -> F,
    F: Future<Output = Answer>,
{
    let (mut client, server) = tokio::io::duplex(256 * 1024);
    client.write_all(input).await.expect("write the request");
    client.shutdown().await.expect("close the sending side");
    serve_and_read(client, server, handler).await
}

/// Like [`exchange`], but the sending side stays open and silent after the bytes, so that the server
/// runs into its timeouts.
pub(crate) async fn exchange_unfinished<H, F>(input: &[u8], handler: H) -> String
where
    H: Fn(Request) -> F,
    F: Future<Output = Answer>,
{
    let (mut client, server) = tokio::io::duplex(256 * 1024);
    client.write_all(input).await.expect("write the request");
    serve_and_read(client, server, handler).await
}

async fn serve_and_read<H, F>(mut client: DuplexStream, server: DuplexStream, handler: H) -> String
where
    H: Fn(Request) -> F,
    F: Future<Output = Answer>,
{
    serve_connection(server, handler).await;
    let mut response_bytes = String::new();
    client.read_to_string(&mut response_bytes).await.expect("read the responses");
    response_bytes
}
