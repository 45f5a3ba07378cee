//! A request's bytes on the wire, kept in `golden/requests.txt`.

use tokio::io::AsyncReadExt;
use tokio::net::TcpListener;

use super::*;
use crate::golden_file::Golden;

const FILE: &str = "src/http/client/golden/requests.txt";

/// What arrives at a listener that answers once. Its port, which differs each time, is replaced.
async fn sent(method: &str, path: &str, body: &[u8]) -> String {
    let listener = TcpListener::bind("127.0.0.1:0").await.expect("a listener");
    let addr = listener.local_addr().expect("an address");
    let std::net::SocketAddr::V4(addr) = addr else { panic!("an address of version 4") };
    let client = Client::default();
    let request = Request { method, path, body, timeout: Duration::from_secs(30) };
    let request = client.send(addr, &request);
    let answer = async {
        let (mut stream, _) = listener.accept().await.expect("a connection");
        let mut bytes = Vec::new();
        while !whole(&bytes, body) {
            assert!(stream.read_buf(&mut bytes).await.expect("bytes") > 0, "cut short");
        }
        let answer = b"HTTP/1.1 409 Conflict\r\nContent-Length: 2\r\n\r\n{}";
        stream.write_all(answer).await.expect("sent");
        bytes
    };
    let (response, bytes) = tokio::join!(request, answer);
    let response = response.expect("an answer");
    assert!(response.status == 409 && response.body == b"{}", "the answer as read");
    let text = String::from_utf8(bytes).expect("text");
    text.replace(&addr.to_string(), "127.0.0.1:PORT")
}

fn whole(bytes: &[u8], body: &[u8]) -> bool {
    let head = bytes.windows(4).position(|window| window == b"\r\n\r\n");
    head.is_some_and(|head| bytes.len() >= head + 4 + body.len())
}

#[tokio::test]
async fn requests_are_written_as_before() {
    let found = [
        ("get", sent("GET", "/keys/a/b", b"").await),
        ("post", sent("POST", "/multi", br#"{"guards":[],"apply":[]}"#).await),
        ("delete", sent("DELETE", "/leases/7", b"").await),
    ];
    Golden::check(FILE, &found);
}
