use super::*;

#[tokio::test(start_paused = true)]
async fn idle_connections_are_bounded_in_all_and_the_oldest_go() {
    let mut pool = Pool { idle: HashMap::new() };
    let addr = |port| SocketAddrV4::new([10, 0, 0, 1].into(), port);
    for port in 0..30 {
        pool.keep(addr(port), port);
        tokio::time::advance(Duration::from_millis(10)).await;
        pool.shrink(10);
    }
    assert_eq!(pool.len(), 10);
    assert!(pool.idle.keys().all(|a| a.port() >= 20));
    assert_eq!(pool.take(addr(25), |_| true), Some(25));
    assert_eq!(pool.take(addr(26), |_| false), None, "closed by the other side");
    tokio::time::advance(IDLE_FOR).await;
    assert_eq!(pool.take(addr(27), |_| true), None, "too old");
    pool.shrink(0);
    assert_eq!(pool.len(), 0);
}

#[test]
fn heads_are_read_whole_or_not_at_all() {
    let good = b"HTTP/1.1 200 OK\r\nContent-Length: 2\r\nConnection: close\r\n\r\n{}";
    assert_eq!(parse_head(good), Ok(Some((200, 2, false, good.len() - 2))));
    for cut in 0..good.len() - 2 {
        assert_eq!(parse_head(&good[..cut]), Ok(None), "cut at {cut}");
    }
    let bad = b"HTTP/1.1 200 OK\r\nContent-Length: many\r\n\r\n";
    assert_eq!(parse_head(bad), Err(Failure::Lost));
    assert_eq!(parse_head(b"SSH-2.0-x\r\n\r\n"), Err(Failure::Lost));
}
