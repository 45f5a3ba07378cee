use super::*;

#[test]
fn a_head_is_parsed_only_when_it_is_complete_and_valid() {
    let good = b"HTTP/1.1 200 OK\r\nContent-Length: 2\r\nConnection: close\r\n\r\n{}";
    let head_length = good.len() - 2;
    let head = Head { status: 200, body_length: 2, keep_alive: false, head_length };
    assert_eq!(parse_head(good).expect("a head"), Some(head));
    for cut in 0..good.len() - 2 {
        assert!(matches!(parse_head(&good[..cut]), Ok(None)), "truncated to {cut} bytes");
    }
    let bad = b"HTTP/1.1 200 OK\r\nContent-Length: many\r\n\r\n";
    assert!(matches!(parse_head(bad), Err(NoResponse::IncompleteHead)));
    let not_http = parse_head(b"SSH-2.0-x\r\n\r\n");
    assert!(matches!(not_http, Err(NoResponse::MalformedHead(_))));
}
