use tokio::io::AsyncReadExt;

use super::*;

async fn run_sender(input: &[u8]) -> String {
    let (mut near, far) = tokio::io::duplex(256 * 1024);
    near.write_all(input).await.expect("write");
    near.shutdown().await.expect("shutdown");
    connection(far, |r: Request| async move {
        Answer::json(200, &serde_json::json!({"path": r.path, "bytes": r.body.len()}))
    })
    .await;
    let mut out = String::new();
    near.read_to_string(&mut out).await.expect("read");
    out
}

#[tokio::test(start_paused = true)]
async fn requests_follow_each_other_on_a_connection() {
    let out =
        run_sender(b"GET /a HTTP/1.1\r\n\r\nPOST /b HTTP/1.1\r\nContent-Length: 3\r\n\r\nabc")
            .await;
    assert_eq!(out.matches("200 OK").count(), 2);
    assert!(out.contains("{\"bytes\":3,\"path\":\"/b\"}"), "{out}");
}

/// After a cut dead connections of workers that had come back lay for 75 s on sockets.
#[tokio::test(start_paused = true)]
async fn an_answer_may_shorten_how_long_its_connection_stands_idle() {
    for (idle, least, most) in [(None, 74, 76), (Some(24), 23, 25), (Some(900), 74, 76)] {
        let (mut near, far) = tokio::io::duplex(1024);
        near.write_all(b"GET / HTTP/1.1\r\n\r\n").await.expect("write");
        let before = tokio::time::Instant::now();
        connection(far, |_| async move {
            Answer { idle_timeout: idle.map(Duration::from_secs), ..Answer::error(200, "") }
        })
        .await;
        let stood = before.elapsed().as_secs();
        assert!((least..=most).contains(&stood), "{idle:?}: {stood} s");
    }
}

#[tokio::test(start_paused = true)]
async fn heads_and_bodies_that_are_wrong_get_a_specific_answer() {
    let long = format!("GET /{} HTTP/1.1\r\n", "x".repeat(9000));
    let cases: [(&[u8], &str); 6] = [
        (b"POST / HTTP/1.1\r\nContent-Length: 65537\r\n\r\n", "413"),
        (b"POST / HTTP/1.1\r\nContent-Length: 99999999999999999999999\r\n\r\n", "413"),
        (b"POST / HTTP/1.1\r\nContent-Length: -1\r\n\r\n", "400"),
        (b"POST / HTTP/1.1\r\nTransfer-Encoding: chunked\r\n\r\n", "501"),
        (b"nonsense\x00\r\n\r\n", "400"),
        (long.as_bytes(), "431"),
    ];
    for (input, status) in cases {
        let out = run_sender(input).await;
        assert!(out.starts_with(&format!("HTTP/1.1 {status}")), "{status}: {out}");
        assert!(out.contains("Connection: close"));
    }
}

#[tokio::test(start_paused = true)]
async fn a_request_cut_short_is_dropped_and_a_slow_one_refused() {
    assert_eq!(run_sender(b"POST / HTTP/1.1\r\nContent-Length: 5\r\n\r\nab").await, "");
    let (mut near, far) = tokio::io::duplex(1024);
    near.write_all(b"GET / HT").await.expect("write");
    connection(far, |_| async { Answer::error(200, "") }).await;
    let mut out = String::new();
    near.read_to_string(&mut out).await.expect("read");
    assert!(out.starts_with("HTTP/1.1 408"), "{out}");
}

/// Whoever sends such a request is told in these words.
#[tokio::test(start_paused = true)]
async fn what_is_wrong_with_a_request_is_told_as_before() {
    let many = format!("GET / HTTP/1.1\r\n{}\r\n", "A: b\r\n".repeat(49));
    let long = format!("GET /{} HTTP/1.1\r\n", "x".repeat(9000));
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
        (long.as_bytes(), "the head is too long"),
        (many.as_bytes(), "too many header fields"),
    ];
    for (input, text) in cases {
        let out = run_sender(input).await;
        let body = serde_json::json!({"error": text}).to_string();
        assert!(out.ends_with(&format!("\r\n\r\n{body}")), "{text}: {out}");
    }
    let (mut near, far) = tokio::io::duplex(1024);
    near.write_all(b"GET / HT").await.expect("write");
    connection(far, |_| async { Answer::error(200, "") }).await;
    let mut out = String::new();
    near.read_to_string(&mut out).await.expect("read");
    assert!(out.ends_with(r#"{"error":"the request took too long to arrive"}"#), "{out}");
}
