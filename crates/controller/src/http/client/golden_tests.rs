//! Checks the bytes that the client sends against `golden/requests.txt`.

use tokio::io::AsyncReadExt;
use tokio::net::TcpListener;

use super::*;
use crate::golden_file::Golden;

const FILE: &str = "src/http/client/golden/requests.txt";

/// Sends a request to a listener that responds once, and returns the bytes that arrived there. The
/// listener's port, which differs in each run, is replaced by `PORT`.
async fn capture_request(method: &str, path: &str, body: &[u8]) -> String {
    let listener = TcpListener::bind("127.0.0.1:0").await.expect("bind a listener");
    let addr = listener.local_addr().expect("local address of the listener");
    let std::net::SocketAddr::V4(addr) = addr else { panic!("the listener has an IPv6 address") };
    let client = Client::default();
    let request = Request { method, path, body, timeout: Duration::from_secs(30) };
    let request = client.send(addr, &request);
    let server = async {
        let (mut stream, _) = listener.accept().await.expect("accept a connection");
        let mut bytes = Vec::new();
        while !is_complete(&bytes, body) {
            assert!(
                stream.read_buf(&mut bytes).await.expect("read the request") > 0,
                "the client closed the connection early"
            );
        }
        let response = b"HTTP/1.1 409 Conflict\r\nContent-Length: 2\r\n\r\n{}";
        stream.write_all(response).await.expect("response written");
        bytes
    };
    let (response, bytes) = tokio::join!(request, server);
    let response = response.expect("a response");
    assert!(response.status == 409 && response.body == b"{}", "response as parsed: {response:?}");
    let text = String::from_utf8(bytes).expect("request in UTF-8");
    text.replace(&addr.to_string(), "127.0.0.1:PORT")
}

fn is_complete(bytes: &[u8], body: &[u8]) -> bool {
    let head = bytes.windows(4).position(|window| window == b"\r\n\r\n");
    head.is_some_and(|head| bytes.len() >= head + 4 + body.len())
}

#[tokio::test]
async fn request_bytes_match_the_golden_file() {
    let found = [
        ("get", capture_request("GET", "/keys/a/b", b"").await),
        ("post", capture_request("POST", "/multi", br#"{"guards":[],"apply":[]}"#).await),
        ("delete", capture_request("DELETE", "/leases/7", b"").await),
    ];
    Golden::check(FILE, &found);
}
