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
fn good_settings_are_read_and_unknown_fields_ignored() {
    let s = Settings::parse(&sample().to_string()).expect("valid");
    assert_eq!(s.peers.len(), 1);
    assert_eq!(s.site.start_objective("quick"), Some(TimeDelta::from_secs(2)));
    assert_eq!(s.site.value_bytes, 8192);
    assert_eq!(s.cpu_share, 0.04);
}

#[test]
fn a_part_of_a_core_that_is_not_told_or_more_than_one_counts_as_one() {
    let mut settings = sample();
    for (told, counts) in [
        (Value::Null, Some(1.0)),
        (json!(4.0), Some(1.0)),
        (json!(0.02), Some(0.02)),
        (json!(0.0), None),
        (json!("half"), None),
    ] {
        settings["facts"]["resources"]["cpu_share"] = told.clone();
        let read = Settings::parse(&settings.to_string());
        assert_eq!(read.ok().map(|s| s.cpu_share), counts, "{told}");
    }
}

#[test]
fn the_shares_of_the_sockets_leave_room_for_users_at_any_size() {
    for limit in [32, 256, 1_200, 2_000, 3_312, 65_536] {
        let s = SocketBudget::for_limit(limit);
        assert!(s.inbound + s.outbound < limit, "{s:?}");
        assert!(s.worker_keep_alive_limit < s.inbound && s.messages < s.outbound, "{s:?}");
    }
    // The workers of fleets with half as many machines again keep their connections, beside the
    // connections of users and, in full, of the other nodes.
    for (limit, machines) in [(1_200, 660), (2_000, 1_193), (3_459, 1_962), (3_312, 2_063)] {
        let s = SocketBudget::for_limit(limit);
        assert!(s.worker_keep_alive_limit > machines, "{limit}: {s:?}");
        assert!(s.inbound - s.worker_keep_alive_limit > limit / 10, "{limit}: {s:?}");
        assert!(s.inbound + s.outbound + crate::peers::MAX_CONNECTIONS < limit, "{limit}: {s:?}");
    }
}

#[test]
fn too_few_sockets_are_told_with_how_many_are_needed() {
    let mut few = sample();
    for (limit, fine) in [(0, false), (20, false), (38, false), (39, true), (1_000_000, true)] {
        few["facts"]["resources"]["fd_limit"] = json!(limit);
        let read = Settings::parse(&few.to_string());
        assert_eq!(read.is_ok(), fine, "{limit}");
        if let (20, Err(faults)) = (limit, read) {
            assert!(
                faults[0].to_string().contains("20 sockets are too few: 39 are needed"),
                "{faults:?}"
            );
        }
    }
}

#[test]
fn limits_to_come_are_read_and_their_faults_named() {
    let mut s = sample();
    s["facts"]["state"]["next"] = json!({"value_kb": 2.0, "txn_ops": 10, "later": 1});
    let good = Settings::parse(&s.to_string()).expect("valid");
    let next = good.state_next.expect("next");
    assert_eq!((next.value_bytes, next.txn_ops, next.write_rps), (2_048, 10, 40.0));
    // New jobs are made for the smaller of both, also where the next ones are larger.
    assert_eq!((good.site.value_bytes, good.site.txn_ops), (2_048, 10));
    s["facts"]["state"]["next"] = json!({"value_kb": 64.0, "txn_ops": 100});
    let good = Settings::parse(&s.to_string()).expect("valid");
    assert_eq!((good.site.value_bytes, good.site.txn_ops), (8_192, 32));
    s["facts"]["state"]["next"] = Value::Null;
    assert_eq!(Settings::parse(&s.to_string()).expect("valid").state_next, None);
    s["facts"]["state"]["next"] =
        json!({"value_kb": 0.5, "txn_ops": "few", "write_rps": -1, "rps": 0});
    let faults = Settings::parse(&s.to_string()).expect_err("faults");
    for field in ["value_kb", "txn_ops", "write_rps", "rps"] {
        let path = format!("facts.state.next.{field}");
        assert!(
            faults.iter().any(|fault| fault.to_string().contains(&path)),
            "{path} in {faults:?}"
        );
    }
    s["facts"]["state"]["next"] = json!(7);
    let faults = Settings::parse(&s.to_string()).expect_err("faults");
    let faults: Vec<String> = faults.iter().map(ToString::to_string).collect();
    assert_eq!(faults, ["settings: facts.state.next: must be an object"]);
}

#[test]
fn every_fault_is_named() {
    let mut bad = sample();
    bad["listen"] = json!("nowhere");
    bad["node_name"] = json!("");
    bad["peers"][0]["peer_addr"] = json!(3);
    bad["facts"]["state"]["rps"] = json!(-1);
    bad["facts"]["teams"][0]["cpus"] = json!("many");
    let faults = Settings::parse(&bad.to_string()).expect_err("faults");
    for path in ["listen", "node_name", "peers.0", "facts.state.rps", "facts.teams.0"] {
        assert!(
            faults.iter().any(|fault| fault.to_string().contains(path)),
            "{path} in {faults:?}"
        );
    }
    assert_eq!(faults.len(), 5);
    assert_eq!(Settings::parse("[]").expect_err("array").len(), 1);
}

#[test]
fn aims_may_be_several_and_odd_ones_are_named_or_passed_over() {
    let mut s = sample();
    s["facts"]["objectives"] = json!([
        {"kind": "wait", "class": "quick", "within_s": 15.0},
        {"kind": "wait", "class": "quick", "within_s": 3.0},
        {"kind": "deadline", "class": "quick", "times": 1.5},
        {"kind": "deadline", "class": "quick"},
        {"kind": "deadline", "class": "nobody", "times": 2, "later": []},
        {"kind": "harvest", "within_s": -1}
    ]);
    let good = Settings::parse(&s.to_string()).expect("valid");
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
    let faults = Settings::parse(&s.to_string()).expect_err("faults");
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
            faults.iter().any(|fault| fault.to_string().contains(path)),
            "{path} in {faults:?}"
        );
    }
    assert_eq!(faults.len(), 8);
}

/// Operators know the faults by these words.
#[test]
fn faults_are_told_in_these_words() {
    let told = |settings: &Value| -> Vec<String> {
        let faults = Settings::parse(&settings.to_string()).expect_err("faults");
        faults.iter().map(ToString::to_string).collect()
    };
    assert_eq!(told(&json!([])), ["settings: not a JSON object"]);
    let text = |text: &str| Settings::parse(text).expect_err("faults")[0].to_string();
    assert_eq!(text("{"), "settings: not JSON: EOF while parsing an object at line 1 column 1");
    let missing = Settings::read(Path::new("/nonexistent/settings")).expect_err("faults");
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
        told(&bad),
        [
            "settings: node_name: must not be empty",
            "settings: zone: must be a string",
            "settings: listen: must be an IPv4 address and a port",
            "settings: peers.1: kernel-1 127.0.0.1:6 is doubled",
            "settings: peers.2: must have a node_name other than this node's and a peer_addr",
            "settings: facts.teams.0: must have a name and amounts of at least 0",
            "settings: facts.objectives.0.kind: must be a string",
            "settings: facts.objectives.1.times: must be a number above 0",
            "settings: facts.objectives.2.within_s: must be a number above 0",
            "settings: facts.workers.lease_s: 0.25 is not from 0.5 to 86400",
            "settings: facts.state.value_kb: 65 is not from 1 to 64",
            "settings: facts.state.rps: must be a number",
            "settings: facts.state.write_rps: 0 is not from 1 to 1000000",
            "settings: facts.state.txn_ops: 1 is not from 2 to 10000",
            "settings: facts.state.next.value_kb: 100.5 is not from 1 to 64",
            "settings: facts.resources.cpu_share: 2000 is not from 0.001 to 1024",
            "facts.resources.fd_limit: 20 sockets are too few: 39 are needed for the listeners, the \
             state service, the cloud, 1 other nodes and a few users and workers",
        ]
    );
    bad["peers"] = json!(1);
    bad["facts"]["teams"] = Value::Null;
    bad["facts"]["objectives"] = json!({});
    let told = told(&bad);
    for path in ["peers", "facts.teams", "facts.objectives"] {
        assert!(told.contains(&format!("settings: {path}: must be a list")), "{told:?}");
    }
}
