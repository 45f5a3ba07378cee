use super::*;
use serde_json::json;

pub(crate) fn sample() -> Value {
    json!({
        "node_name": "kernel-0", "zone": "east", "listen": "127.0.0.1:1",
        "internal_addr": "127.0.0.1:2",
        "peers": [{"node_name": "kernel-1", "zone": "west", "peer_addr": "127.0.0.1:3"}],
        "external": {"cloud": "127.0.0.1:4", "state": "127.0.0.1:5"},
        "facts": {
            "size": 2, "zones": ["east", "west"],
            "teams": [{"name": "one", "cpus": 8.0, "cpus_max": 64.0, "gpus": 0.0, "gpus_max": 0.0}],
            "objectives": [{"kind": "wait", "class": "quick", "within_s": 2.0, "share": 0.9}],
            "workers": {"report_s": 3.0, "lease_s": 20.0, "cancel_s": 40.0},
            "state": {"rps": 100.0, "write_rps": 40.0, "value_kb": 8.0, "txn_ops": 32},
            "cloud": {"rps": 4.0, "list_lag_s": 10.0},
            "resources": {"cpu_share": 0.04, "mem_mb": 72.0, "fd_limit": 1200},
            "later": {"x": 1}
        }
    })
}

#[test]
fn valid_settings_are_read_and_unknown_fields_are_ignored() {
    let s = Settings::parse(&sample().to_string()).expect("valid settings");
    assert_eq!(s.peers.len(), 1);
    assert_eq!(s.site.start_objective("quick"), Some(TimeDelta::from_secs(2)));
    assert_eq!(s.site.value_bytes, 8192);
    assert_eq!(s.cpu_share, 0.04);
}

#[test]
fn a_cpu_share_that_is_missing_or_above_one_counts_as_one_core() {
    let mut settings = sample();
    for (configured, expected) in [
        (Value::Null, Some(1.0)),
        (json!(4.0), Some(1.0)),
        (json!(0.02), Some(0.02)),
        (json!(0.0), None),
        (json!("half"), None),
    ] {
        settings["facts"]["resources"]["cpu_share"] = configured.clone();
        let read = Settings::parse(&settings.to_string());
        assert_eq!(read.ok().map(|s| s.cpu_share), expected, "{configured}");
    }
}

#[test]
fn the_socket_budget_leaves_room_for_users_at_any_limit() {
    for limit in [32, 256, 1_200, 2_000, 3_312, 65_536] {
        let s = SocketBudget::for_limit(limit);
        assert!(s.inbound + s.outbound < limit, "{s:?}");
        assert!(s.worker_keep_alive_limit < s.inbound && s.messages < s.outbound, "{s:?}");
    }
    // The machine counts are those of fleets enlarged by half: all workers keep their connections,
    // and there is room for users and for the full number of connections from other nodes.
    for (limit, machines) in [(1_200, 660), (2_000, 1_193), (3_459, 1_962), (3_312, 2_063)] {
        let s = SocketBudget::for_limit(limit);
        assert!(s.worker_keep_alive_limit > machines, "{limit}: {s:?}");
        assert!(s.inbound - s.worker_keep_alive_limit > limit / 10, "{limit}: {s:?}");
        assert!(s.inbound + s.outbound + crate::peers::MAX_CONNECTIONS < limit, "{limit}: {s:?}");
    }
}

#[test]
fn an_fd_limit_that_is_too_low_is_reported_with_the_required_minimum() {
    let mut settings = sample();
    for (limit, valid) in [(0, false), (20, false), (38, false), (39, true), (1_000_000, true)] {
        settings["facts"]["resources"]["fd_limit"] = json!(limit);
        let read = Settings::parse(&settings.to_string());
        assert_eq!(read.is_ok(), valid, "{limit}");
        if let (20, Err(errors)) = (limit, read) {
            assert!(
                errors[0].to_string().contains("20 sockets are too few: 39 are needed"),
                "{errors:?}"
            );
        }
    }
}

#[test]
fn announced_store_limits_are_read_and_their_errors_reported() {
    let mut s = sample();
    s["facts"]["state"]["next"] = json!({"value_kb": 2.0, "txn_ops": 10, "later": 1});
    let good = Settings::parse(&s.to_string()).expect("valid settings");
    let next = good.state_next.expect("announced limits");
    assert_eq!((next.value_bytes, next.txn_ops, next.write_rps), (2_048, 10, 40.0));
    // New jobs have to fit the smaller of the present and the announced limits, whichever it is.
    assert_eq!((good.site.value_bytes, good.site.txn_ops), (2_048, 10));
    s["facts"]["state"]["next"] = json!({"value_kb": 64.0, "txn_ops": 100});
    let good = Settings::parse(&s.to_string()).expect("valid settings");
    assert_eq!((good.site.value_bytes, good.site.txn_ops), (8_192, 32));
    s["facts"]["state"]["next"] = Value::Null;
    assert_eq!(Settings::parse(&s.to_string()).expect("valid settings").state_next, None);
    s["facts"]["state"]["next"] =
        json!({"value_kb": 0.5, "txn_ops": "few", "write_rps": -1, "rps": 0});
    let errors = Settings::parse(&s.to_string()).expect_err("invalid settings");
    for field in ["value_kb", "txn_ops", "write_rps", "rps"] {
        let path = format!("facts.state.next.{field}");
        assert!(
            errors.iter().any(|error| error.to_string().contains(&path)),
            "{path} in {errors:?}"
        );
    }
    s["facts"]["state"]["next"] = json!(7);
    let errors = Settings::parse(&s.to_string()).expect_err("invalid settings");
    let errors: Vec<String> = errors.iter().map(ToString::to_string).collect();
    assert_eq!(errors, ["settings: facts.state.next: must be an object"]);
}

#[test]
fn every_invalid_field_is_reported() {
    let mut bad = sample();
    bad["listen"] = json!("nowhere");
    bad["node_name"] = json!("");
    bad["peers"][0]["peer_addr"] = json!(3);
    bad["facts"]["state"]["rps"] = json!(-1);
    bad["facts"]["teams"][0]["cpus"] = json!("many");
    let errors = Settings::parse(&bad.to_string()).expect_err("invalid settings");
    for path in ["listen", "node_name", "peers.0", "facts.state.rps", "facts.teams.0"] {
        assert!(
            errors.iter().any(|error| error.to_string().contains(path)),
            "{path} in {errors:?}"
        );
    }
    assert_eq!(errors.len(), 5);
    assert_eq!(Settings::parse("[]").expect_err("settings in an array").len(), 1);
}

#[test]
fn objectives_may_repeat_invalid_ones_are_reported_and_unknown_kinds_ignored() {
    let mut s = sample();
    s["facts"]["objectives"] = json!([
        {"kind": "wait", "class": "quick", "within_s": 15.0},
        {"kind": "wait", "class": "quick", "within_s": 3.0},
        {"kind": "deadline", "class": "quick", "times": 1.5},
        {"kind": "deadline", "class": "quick"},
        {"kind": "deadline", "class": "nobody", "times": 2, "later": []},
        {"kind": "harvest", "within_s": -1}
    ]);
    let good = Settings::parse(&s.to_string()).expect("valid settings");
    assert_eq!(good.site.objectives.len(), 5);
    assert_eq!(good.site.start_objective("quick"), Some(TimeDelta::from_secs(3)));
    s["facts"]["objectives"] = json!([
        {"kind": "wait", "class": "quick", "within_s": 0},
        {"kind": "wait", "class": "quick"},
        {"kind": "deadline", "class": "quick", "times": -1},
        {"kind": "deadline", "class": "quick", "times": "often"},
        {"kind": "finished", "class": "quick", "within_s": "soon"}
    ]);
    s["peers"] = json!([
        {"node_name": "kernel-1", "peer_addr": "127.0.0.1:3"},
        {"node_name": "kernel-1", "peer_addr": "127.0.0.1:6"},
        {"peer_addr": "127.0.0.1:7"},
        {"node_name": "kernel-2"}
    ]);
    let errors = Settings::parse(&s.to_string()).expect_err("invalid settings");
    for path in [
        "objectives.0.within_s",
        "objectives.1.within_s",
        "objectives.2.times",
        "objectives.3.times",
        "objectives.4.within_s",
        "peers.1",
        "peers.2",
        "peers.3",
    ] {
        assert!(
            errors.iter().any(|error| error.to_string().contains(path)),
            "{path} in {errors:?}"
        );
    }
    assert_eq!(errors.len(), 8);
}

/// Operators recognize errors by their messages, so a change of the text must be deliberate.
#[test]
fn error_messages_have_their_exact_text() {
    let messages = |settings: &Value| -> Vec<String> {
        let errors = Settings::parse(&settings.to_string()).expect_err("invalid settings");
        errors.iter().map(ToString::to_string).collect()
    };
    assert_eq!(messages(&json!([])), ["settings: not a JSON object"]);
    let first_message =
        |text: &str| Settings::parse(text).expect_err("invalid settings")[0].to_string();
    assert_eq!(
        first_message("{"),
        "settings: not JSON: EOF while parsing an object at line 1 column 1"
    );
    let missing = Settings::read(Path::new("/nonexistent/settings")).expect_err("missing file");
    let missing = missing[0].to_string();
    assert!(missing.starts_with("settings: cannot read /nonexistent/settings: "), "{missing}");
    let mut bad = sample();
    bad["node_name"] = json!("");
    bad["zone"] = json!(7);
    bad["listen"] = json!("nowhere");
    bad["peers"] = json!([
        {"node_name": "kernel-1", "peer_addr": "127.0.0.1:3"},
        {"node_name": "kernel-1", "peer_addr": "127.0.0.1:6"},
        {"node_name": "kernel-2"}
    ]);
    bad["facts"]["teams"] = json!([{"name": "one", "cpus": -1.0}]);
    bad["facts"]["objectives"] =
        json!([{"kind": 3}, {"kind": "deadline", "times": -1}, {"kind": "finished"}]);
    bad["facts"]["workers"]["lease_s"] = json!(0.25);
    bad["facts"]["state"] = json!({"rps": "x", "write_rps": 0, "value_kb": 65, "txn_ops": 1});
    bad["facts"]["state"]["next"] = json!({"value_kb": 100.5, "txn_ops": null});
    bad["facts"]["resources"] = json!({"fd_limit": 20, "cpu_share": 2000});
    assert_eq!(
        messages(&bad),
        [
            "settings: node_name: must not be empty",
            "settings: zone: must be a string",
            "settings: listen: must be an IPv4 address and a port",
            "settings: peers.1: kernel-1 127.0.0.1:6 repeats the name or address of another peer",
            "settings: peers.2: must have a node_name other than this node's and a peer_addr",
            "settings: facts.teams.0: must have a name and amounts of at least 0",
            "settings: facts.objectives.0.kind: must be a string",
            "settings: facts.objectives.1.times: must be a number above 0",
            "settings: facts.objectives.2.within_s: must be a number above 0",
            "settings: facts.workers.lease_s: 0.25 is out of range: must be from 0.5 to 86400",
            "settings: facts.state.value_kb: 65 is out of range: must be from 1 to 64",
            "settings: facts.state.rps: must be a number",
            "settings: facts.state.write_rps: 0 is out of range: must be from 1 to 1000000",
            "settings: facts.state.txn_ops: 1 is out of range: must be from 2 to 10000",
            "settings: facts.state.next.value_kb: 100.5 is out of range: must be from 1 to 64",
            "settings: facts.resources.cpu_share: 2000 is out of range: must be from 0.001 to 1024",
            "facts.resources.fd_limit: 20 sockets are too few: 39 are needed for the listeners, the \
             state service, the cloud, 1 other nodes and a few users and workers",
        ]
    );
    bad["peers"] = json!(1);
    bad["facts"]["teams"] = Value::Null;
    bad["facts"]["objectives"] = json!({});
    let messages = messages(&bad);
    for path in ["peers", "facts.teams", "facts.objectives"] {
        assert!(messages.contains(&format!("settings: {path}: must be a list")), "{messages:?}");
    }
}
