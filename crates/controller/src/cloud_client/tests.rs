use super::*;

fn client_with_pages(page: impl Fn(usize) -> serde_json::Value + 'static) -> CloudClient {
    let requests = std::cell::Cell::new(0);
    let script = move |_: &str, path: &str, _: &[u8]| {
        assert!(path.starts_with("/machines?"));
        requests.set(requests.get() + 1);
        assert!(requests.get() < 300, "the listing does not end");
        Ok(Response { status: 200, body: page(requests.get()).to_string().into_bytes() })
    };
    let addr = SocketAddrV4::new([127, 0, 0, 1].into(), 1);
    CloudClient::new(Rc::new(Client::scripted(Box::new(script))), addr, 1_000.0)
}

fn entry(n: usize) -> serde_json::Value {
    serde_json::json!({"ref": format!("n-{n:06}"), "breed": "a", "grove": "east",
        "windfall": true, "stage": "running"})
}

/// A cloud that repeats a page or announces more pages forever must not keep a listing from ending.
#[tokio::test(start_paused = true)]
async fn listing_merges_pages_and_always_terminates() {
    let page = |from: usize, to: usize, more: bool| {
        let trees: Vec<_> = (from..to).map(entry).collect();
        serde_json::json!({"trees": trees, "hasNext": more})
    };
    let two_pages =
        client_with_pages(move |n| if n == 1 { page(0, 500, true) } else { page(500, 795, false) });
    assert_eq!(two_pages.list().await.expect("a list").len(), 795);
    let overlapping =
        client_with_pages(move |n| if n == 1 { page(0, 50, true) } else { page(40, 60, false) });
    assert_eq!(
        overlapping.list().await.expect("a list").len(),
        60,
        "each name must be listed once"
    );
    let stuck = client_with_pages(move |_| page(0, 500, true));
    assert_eq!(
        stuck.list().await.expect("a list").len(),
        500,
        "a cloud that always returns the same page"
    );
    let endless = client_with_pages(move |n| page(n * 500, n * 500 + 500, true));
    assert!(endless.list().await.expect("a list").len() <= MAX_LISTED_MACHINES + 500);
}

#[test]
fn unusable_machine_types_are_removed() {
    let usable = MachineType {
        name: "a".into(),
        cpus: 8.0,
        gpus: 0.0,
        memory_gb: 16.0,
        cache_gb: 1.0,
        fetch_gb_per_s: 1.0,
        price: 0.0,
        spot_price: 0.0,
        boot_s: 20.0,
        zones: vec!["east".into()],
    };
    let without_cpus = MachineType { cpus: 0.0, ..usable.clone() };
    let negative_price = MachineType { price: -1.0, ..usable.clone() };
    let without_zones = MachineType { zones: vec![], ..usable.clone() };
    assert_eq!(
        usable_types(vec![without_cpus, usable.clone(), negative_price, without_zones]),
        vec![usable]
    );
}
