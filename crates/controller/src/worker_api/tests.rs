use super::*;
use serde_json::json;

#[test]
fn heartbeats_with_invalid_fields_are_rejected() {
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

/// The error texts are sent to workers and therefore have to stay the same.
#[test]
fn heartbeat_validation_errors_name_the_protocol_field() {
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
