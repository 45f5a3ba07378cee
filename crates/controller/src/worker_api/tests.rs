use super::*;
use serde_json::json;

#[test]
fn malformed_heartbeats_are_named() {
    let good = json!({"tree":"n-000231","address":"10.1.0.232:9000","breed":"g8","grove":"a",
        "windfall":true,"season":1,"ring":88,"staff":41,"shakeS":null,
        "nuts":[{"nut":"req-000412/3","try":2,"stage":"running"},
                {"nut":"req-000398/0","try":1,"stage":"exited","cause":"done"}]});
    assert_eq!(parse_heartbeat(good.to_string().as_bytes()).expect("valid").tasks.len(), 2);
    for (field, value) in [
        ("tree", json!("")),
        ("address", json!("here")),
        ("season", json!(-1)),
        ("staff", json!("x")),
        ("nuts", json!([{"nut": 3}])),
    ] {
        let mut bad = good.clone();
        bad[field] = value;
        assert!(parse_heartbeat(bad.to_string().as_bytes()).is_err(), "{field}");
    }
    assert!(parse_heartbeat(b"").is_err());
}

/// Workers are sent these texts.
#[test]
fn what_is_wrong_with_a_heartbeat_is_told_as_before() {
    let good = json!({"tree":"n-000231","address":"10.1.0.232:9000","breed":"g8","grove":"a",
        "windfall":true,"season":1,"ring":88,"staff":41});
    for (field, value, text) in [
        ("tree", json!("x".repeat(65)), "tree: must have 1 to 64 bytes"),
        ("address", json!("here"), "address: must be an IPv4 address and a port"),
    ] {
        let mut bad = good.clone();
        bad[field] = value;
        let error = parse_heartbeat(bad.to_string().as_bytes()).expect_err(field);
        assert_eq!(error.to_string(), text);
    }
    assert_eq!(HeartbeatError::InterruptionNotice.to_string(), "shakeS: must be a number");
}
