use super::*;

#[test]
fn heads_are_read_whole_or_not_at_all() {
    let good = b"HTTP/1.1 200 OK\r\nContent-Length: 2\r\nConnection: close\r\n\r\n{}";
    let bytes = good.len() - 2;
    let head = Head { status: 200, length: 2, keep_alive: false, bytes };
    assert_eq!(parse_head(good).expect("a head"), Some(head));
    for cut in 0..good.len() - 2 {
        assert!(matches!(parse_head(&good[..cut]), Ok(None)), "cut at {cut}");
    }
    let bad = b"HTTP/1.1 200 OK\r\nContent-Length: many\r\n\r\n";
    assert!(matches!(parse_head(bad), Err(NoResponse::IncompleteHead)));
    let other = parse_head(b"SSH-2.0-x\r\n\r\n");
    assert!(matches!(other, Err(NoResponse::MalformedHead(_))));
}
