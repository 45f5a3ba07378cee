use serde_json::{json, Value};

use super::users::*;
use super::workers::*;
use crate::model::ids::Attempt;
use crate::model::job_spec::Priority;

fn sample() -> Value {
    json!({"ref":"req-000412","shell":"train","crew":"vision","husk":"batch","rank":"high",
        "nuts":16,"vcpus":8.0,"gpus":1.0,"memoryGb":64.0,"seed":"img-07","imageGb":6.2,
        "breeds":["g8"],"grove":null,"together":true,"spread":false,"windfall":true,
        "ripenS":240.0,"stashS":30.0,"buryS":4.0,"harvestS":900.0,"later":1})
}

#[test]
fn valid_submission_is_parsed_completely() {
    let (name, spec) = parse_submission(sample().to_string().as_bytes()).expect("valid");
    assert_eq!(name, "req-000412");
    assert_eq!((spec.tasks, spec.priority, spec.deadline_s), (16, Priority::High, Some(900.0)));
    assert!(spec.one_zone && spec.spot && !spec.spread);
}

#[test]
fn invalid_submission_is_rejected_with_the_field_name() {
    let cases = [
        ("ref", json!("job-1")),
        ("husk", json!("group")),
        ("rank", json!("top")),
        ("nuts", json!(0)),
        ("nuts", json!(100_001)),
        ("nuts", json!(1.5)),
        ("vcpus", json!(-1.0)),
        ("memoryGb", json!("8")),
        ("breeds", json!([])),
        ("breeds", json!([3])),
        ("grove", json!(7)),
        ("together", json!(1)),
        ("harvestS", json!(-2)),
        ("seed", json!("")),
        ("waits", json!("req-1")),
        ("waits", json!([1])),
        ("waits", json!(["job-1"])),
        ("waits", json!((0..65).map(|i| format!("req-{i}")).collect::<Vec<_>>())),
    ];
    for (field, value) in cases {
        let mut body = sample();
        body[field] = value;
        let err = parse_submission(body.to_string().as_bytes()).expect_err(field);
        assert_eq!(err.field, field);
    }
    for field in ["ref", "shell", "crew", "husk", "rank", "nuts", "vcpus", "spread", "buryS"] {
        let mut body = sample();
        body.as_object_mut().expect("object").remove(field);
        let err = parse_submission(body.to_string().as_bytes()).expect_err(field);
        assert_eq!(err.field, field);
    }
    assert_eq!(parse_submission(b"[1]").expect_err("array").field, "body");
    assert_eq!(parse_submission(b"{").expect_err("truncated JSON").field, "body");
}

#[test]
fn duplicate_dependencies_are_removed() {
    let mut body = sample();
    for (waits, read) in [
        (json!(null), vec![]),
        (json!([]), vec![]),
        (json!(["req-2", "req-1", "req-2"]), vec!["req-2", "req-1"]),
    ] {
        body["waits"] = waits;
        let (_, spec) = parse_submission(body.to_string().as_bytes()).expect("valid");
        assert_eq!(spec.dependencies, read);
    }
    // Only distinct names count towards the limit.
    body["waits"] = json!(vec!["req-1"; 500]);
    assert!(parse_submission(body.to_string().as_bytes()).is_ok());
}

#[test]
fn malformed_task_ids_are_rejected() {
    assert_eq!(parse_task_id("req-000412/3"), Some(("req-000412", 3)));
    for malformed in ["req-000412", "req-000412/", "req-000412/x", "x/3", "req-1/03", "req-1/-1"] {
        assert_eq!(parse_task_id(malformed), None, "{malformed}");
    }
}

#[test]
fn kill_command_uses_the_wire_field_names() {
    let command =
        WorkerCommand::Kill { task: "req-1/0".into(), attempt: Attempt(2), grace_s: 10.0 };
    assert_eq!(
        serde_json::to_value(&command).expect("command serializes"),
        json!({"call":"kill","nut":"req-1/0","try":2,"dropS":10.0})
    );
}
