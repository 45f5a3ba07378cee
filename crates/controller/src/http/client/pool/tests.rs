use super::*;

#[tokio::test(start_paused = true)]
async fn shrink_closes_the_longest_idle_and_take_skips_closed_or_expired_connections() {
    let mut pool = Pool::default();
    let addr = |port| SocketAddrV4::new([10, 0, 0, 1].into(), port);
    for port in 0..30 {
        pool.put(addr(port), port);
        tokio::time::advance(Duration::from_millis(10)).await;
        pool.shrink(10);
    }
    assert_eq!(pool.len(), 10);
    assert!(pool.idle.keys().all(|a| a.port() >= 20));
    assert_eq!(pool.take(addr(25), |_| true), Some(25));
    assert_eq!(
        pool.take(addr(26), |_| false),
        None,
        "a connection closed by the server is not reused"
    );
    tokio::time::advance(MAX_IDLE_TIME).await;
    assert_eq!(pool.take(addr(27), |_| true), None, "an expired connection is not reused");
    pool.shrink(0);
    assert_eq!(pool.len(), 0);
}
