use tokio::io::AsyncReadExt;

use super::*;

async fn send_and_read_responses(input: &[u8]) -> String {
    let (mut client, server) = tokio::io::duplex(256 * 1024);
    client.write_all(input).await.expect("write");
    client.shutdown().await.expect("shutdown");
    serve_connection(server, |r: Request| async move {
        Answer::json(200, &serde_json::json!({"path": r.path, "bytes": r.body.len()}))
    })
    .await;
    let mut output = String::new();
    client.read_to_string(&mut output).await.expect("read");
    output
}

#[tokio::test(start_paused = true)]
async fn pipelined_requests_on_one_connection_are_all_answered() {
    let output = send_and_read_responses(
        b"GET /a HTTP/1.1\r\n\r\nPOST /b HTTP/1.1\r\nContent-Length: 3\r\n\r\nabc",
    )
    .await;
    assert_eq!(output.matches("200 OK").count(), 2);
    assert!(output.contains("{\"bytes\":3,\"path\":\"/b\"}"), "{output}");
}

/// After a network partition, workers reconnected, but their dead old connections held sockets for
/// the full idle timeout of 75 s.
#[tokio::test(start_paused = true)]
async fn a_response_can_shorten_the_idle_timeout_of_its_connection_but_not_extend_it() {
    for (idle_timeout, min, max) in [(None, 74, 76), (Some(24), 23, 25), (Some(900), 74, 76)] {
        let (mut client, server) = tokio::io::duplex(1024);
        client.write_all(b"GET / HTTP/1.1\r\n\r\n").await.expect("write");
        let start = tokio::time::Instant::now();
        serve_connection(server, |_| async move {
            Answer { idle_timeout: idle_timeout.map(Duration::from_secs), ..Answer::error(200, "") }
        })
        .await;
        let idle_secs = start.elapsed().as_secs();
        assert!((min..=max).contains(&idle_secs), "{idle_timeout:?}: closed after {idle_secs} s");
    }
}

#[tokio::test(start_paused = true)]
async fn invalid_requests_get_a_specific_status_and_the_connection_is_closed() {
    let long_head = format!("GET /{} HTTP/1.1\r\n", "x".repeat(9000));
    let cases: [(&[u8], &str); 6] = [
        (b"POST / HTTP/1.1\r\nContent-Length: 65537\r\n\r\n", "413"),
        (b"POST / HTTP/1.1\r\nContent-Length: 99999999999999999999999\r\n\r\n", "413"),
        (b"POST / HTTP/1.1\r\nContent-Length: -1\r\n\r\n", "400"),
        (b"POST / HTTP/1.1\r\nTransfer-Encoding: chunked\r\n\r\n", "501"),
        (b"nonsense\x00\r\n\r\n", "400"),
        (long_head.as_bytes(), "431"),
    ];
    for (input, status) in cases {
        let output = send_and_read_responses(input).await;
        assert!(output.starts_with(&format!("HTTP/1.1 {status}")), "{status}: {output}");
        assert!(output.contains("Connection: close"));
    }
}

#[tokio::test(start_paused = true)]
async fn a_truncated_request_is_dropped_and_a_stalled_one_gets_408() {
    assert_eq!(
        send_and_read_responses(b"POST / HTTP/1.1\r\nContent-Length: 5\r\n\r\nab").await,
        ""
    );
    let (mut client, server) = tokio::io::duplex(1024);
    client.write_all(b"GET / HT").await.expect("write");
    serve_connection(server, |_| async { Answer::error(200, "") }).await;
    let mut output = String::new();
    client.read_to_string(&mut output).await.expect("read");
    assert!(output.starts_with("HTTP/1.1 408"), "{output}");
}

/// The error messages are part of the protocol with clients, so their exact text is checked.
#[tokio::test(start_paused = true)]
async fn invalid_requests_get_the_exact_error_message() {
    let too_many_headers = format!("GET / HTTP/1.1\r\n{}\r\n", "A: b\r\n".repeat(49));
    let long_head = format!("GET /{} HTTP/1.1\r\n", "x".repeat(9000));
    let cases: [(&[u8], &str); 7] = [
        (b"POST / HTTP/1.1\r\nContent-Length: 65537\r\n\r\n", "a body may have at most 64 KiB"),
        (b"POST / HTTP/1.1\r\nContent-Length: -1\r\n\r\n", "bad Content-Length"),
        (
            b"POST / HTTP/1.1\r\nContent-Length: 1\r\nContent-Length: 2\r\n\r\n",
            "bad Content-Length",
        ),
        (
            b"POST / HTTP/1.1\r\nTransfer-Encoding: chunked\r\n\r\n",
            "Transfer-Encoding is not supported",
        ),
        (b"nonsense\x00\r\n\r\n", "bad head: invalid token"),
        (long_head.as_bytes(), "the head is too long"),
        (too_many_headers.as_bytes(), "too many header fields"),
    ];
    for (input, message) in cases {
        let output = send_and_read_responses(input).await;
        let body = serde_json::json!({"error": message}).to_string();
        assert!(output.ends_with(&format!("\r\n\r\n{body}")), "{message}: {output}");
    }
    let (mut client, server) = tokio::io::duplex(1024);
    client.write_all(b"GET / HT").await.expect("write");
    serve_connection(server, |_| async { Answer::error(200, "") }).await;
    let mut output = String::new();
    client.read_to_string(&mut output).await.expect("read");
    assert!(output.ends_with(r#"{"error":"the request took too long to arrive"}"#), "{output}");
}
