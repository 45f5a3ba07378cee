use super::*;

fn listing(page: impl Fn(usize) -> serde_json::Value + 'static) -> CloudClient {
    let asked = std::cell::Cell::new(0);
    let script = move |_: &str, path: &str, _: &[u8]| {
        assert!(path.starts_with("/machines?"));
        asked.set(asked.get() + 1);
        assert!(asked.get() < 300, "asked for ever");
        Ok(Response { status: 200, body: page(asked.get()).to_string().into_bytes() })
    };
    let addr = SocketAddrV4::new([127, 0, 0, 1].into(), 1);
    CloudClient::new(Rc::new(Client::scripted(Box::new(script))), addr, 1_000.0)
}

fn entry(n: usize) -> serde_json::Value {
    serde_json::json!({"ref": format!("n-{n:06}"), "breed": "a", "grove": "east",
        "windfall": true, "stage": "running"})
}

#[tokio::test(start_paused = true)]
async fn lists_of_several_pages_repeated_names_and_no_end_are_read() {
    let page = |from: usize, to: usize, more: bool| {
        let trees: Vec<_> = (from..to).map(entry).collect();
        serde_json::json!({"trees": trees, "hasNext": more})
    };
    let two = listing(move |n| if n == 1 { page(0, 500, true) } else { page(500, 795, false) });
    assert_eq!(two.list().await.expect("a list").len(), 795);
    let again = listing(move |n| if n == 1 { page(0, 50, true) } else { page(40, 60, false) });
    assert_eq!(again.list().await.expect("a list").len(), 60, "each name once");
    let stuck = listing(move |_| page(0, 500, true));
    assert_eq!(stuck.list().await.expect("a list").len(), 500, "the same page for ever");
    let endless = listing(move |n| page(n * 500, n * 500 + 500, true));
    assert!(endless.list().await.expect("a list").len() <= MAX_LISTED + 500);
}

#[test]
fn nonsense_types_are_left_out() {
    let good = MachineType {
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
    let zero = MachineType { cpus: 0.0, ..good.clone() };
    let negative = MachineType { price: -1.0, ..good.clone() };
    let nowhere = MachineType { zones: vec![], ..good.clone() };
    assert_eq!(usable_types(vec![zero, good.clone(), negative, nowhere]), vec![good]);
}
