//! Tests of compatibility between the production version and this one. `fixtures/` holds records
//! written by the code of the production version, which this version must load; records written by
//! this version must have the shape that the production version reads.

mod world;

use std::collections::BTreeMap;

use serde_json::{json, Value};
use walnutlug_scheduler::model::ids::Attempt;
use walnutlug_scheduler::model::job_spec::{JobSpec, Priority};
use walnutlug_scheduler::model::task::TaskPhase;
use walnutlug_scheduler::protocol::key_value::KeyValue;
use walnutlug_scheduler::storage::keys::{self, RunKey};
use walnutlug_scheduler::storage::records::{chunk_size, description_record};
use world::{spec, World};

const PRODUCTION_RECORDS: &str = include_str!("fixtures/production-records.json");

fn production_records() -> Vec<KeyValue> {
    serde_json::from_str(PRODUCTION_RECORDS).expect("the fixture")
}

#[test]
fn records_of_the_production_version_are_loaded_and_their_jobs_completed() {
    let mut w = World::new(&[("n-000001", "a"), ("n-000002", "b")]);
    for key_value in production_records() {
        if key_value.key != keys::LEADER {
            w.store.store_revision.0 += 1;
            w.store.keys.insert(key_value.key, (key_value.value, w.store.store_revision));
        }
    }
    // The workers report the tasks that the previous leader started on them.
    for (machine, task) in [
        ("n-000001", "req-000001/2"),
        ("n-000001", "req-000001/3"),
        ("n-000002", "req-000001/4"),
        ("n-000001", "req-000002/0"),
        ("n-000001", "req-000002/1"),
    ] {
        let worker = w.workers.get_mut(machine).expect("worker");
        let running = (walnutlug_scheduler::protocol::workers::TaskState::Running, None);
        worker.tasks.insert((task.to_owned(), Attempt(1)), running);
    }
    w.take_over();
    let phases: Vec<TaskPhase> = (0..5).map(|i| w.phase("req-000001", i)).collect();
    let placed = TaskPhase::Dispatching;
    assert_eq!(phases, [TaskPhase::Done, TaskPhase::Done, placed, placed, placed]);
    let job = w.leader.cluster.job(w.leader.cluster.jobs_by_name["req-000002"]).expect("job");
    assert_eq!((job.spec.zone.as_deref(), job.spec.priority), (Some("a"), Priority::Normal));
    assert!(job.spec.dependencies.is_empty() && !job.is_blocked());
    w.send_all_heartbeats();
    w.run_to_completion();
    for job in ["req-000001", "req-000002"] {
        assert_eq!(w.end(job), Some(&json!("done")));
    }
    assert!(!w.store.keys.keys().any(|k| k.starts_with("run/") || k.starts_with("todo")));
}

/// Returns the type of each field of an object, by its path; nested objects are included.
fn shape(value: &Value) -> BTreeMap<String, &'static str> {
    let mut found = BTreeMap::new();
    for (name, value) in value.as_object().expect("an object") {
        let kind = match value {
            Value::Null => "null",
            Value::Bool(_) => "bool",
            Value::Number(n) if n.is_u64() => "whole",
            Value::Number(_) => "number",
            Value::String(_) => "text",
            Value::Array(_) => "list",
            Value::Object(_) => "object",
        };
        found.insert(name.clone(), kind);
        if value.is_object() {
            found.extend(shape(value).into_iter().map(|(n, k)| (format!("{name}.{n}"), k)));
        }
    }
    found
}

#[test]
fn written_records_have_the_shape_that_the_production_version_reads() {
    let written = production_records();
    let stored = |key: &str| &written.iter().find(|p| p.key == key).expect("a record").value;
    let chunk = chunk_size(2_048);
    // Without dependencies, a job uses the same key and exactly the same fields.
    assert_eq!(shape(&description_record(&spec(5), 1, chunk)), shape(stored("todo/req-000001")));
    let zoned = JobSpec {
        types: Some(vec!["t8".into()]),
        zone: Some("a".into()),
        deadline_s: None,
        ..spec(2)
    };
    assert_eq!(shape(&description_record(&zoned, 1, chunk)), shape(stored("todo/req-000002")));
    assert_eq!(keys::description("req-000001", false), "todo/req-000001");
    // The task records of a chunk have the same fields.
    let mut w = World::new(&[("n-000001", "a"), ("n-000002", "b")]);
    w.submit("req-000001", &spec(5));
    w.settle();
    let (written_now, _) = &w.store.keys[&keys::run("req-000001", 0)];
    let production = stored("run/req-000001/00000");
    assert_eq!(shape(written_now), shape(production));
    for record in written_now["t"].as_array().expect("records") {
        assert_eq!(record.as_array().map(Vec::len), Some(5), "{record}");
        assert!(record[2].is_string() && record[3].is_u64() && record[4].is_u64());
    }
}

/// The production version lists `todo/`, and reads `run/` records with a plain chunk number for the
/// jobs found there. Records that it would misread must have other keys.
#[test]
fn new_kinds_of_records_have_keys_that_the_production_version_ignores() {
    let chained = keys::description("req-000001", true);
    assert!(!chained.starts_with(keys::TODO) && chained.starts_with(keys::DESCRIPTIONS));
    assert_eq!(keys::described_job(&chained), Some("req-000001"));
    let part = keys::part("req-000001", 3, 40);
    let suffix = part.rsplit_once('/').expect("a chunk key").1;
    assert!(suffix.parse::<usize>().is_err(), "{suffix}");
    let key = RunKey { job: "req-000001", chunk: 3, part: Some(40) };
    assert_eq!(RunKey::parse(&part), Some(key));
}

/// Leaders of both versions replace each other repeatedly, at short intervals, while a chain of
/// dependent jobs runs.
#[test]
fn leaders_of_both_versions_alternate_while_a_dependency_chain_runs() {
    let mut w = World::new(&[("n-000001", "a"), ("n-000002", "b")]);
    let dependencies = |names: &[&str]| names.iter().map(|n| (*n).to_owned()).collect::<Vec<_>>();
    w.submit_in_chunks("req-000001", &spec(3), 168);
    w.submit("req-000002", &JobSpec { dependencies: dependencies(&["req-000001"]), ..spec(3) });
    w.settle();
    for turn in 0..8 {
        w.take_over_as(turn % 3 != 2);
        w.send_all_heartbeats();
        w.send_all_heartbeats();
        if turn == 4 {
            let places = w.places();
            for (task, machines) in places {
                w.finish(&machines[0], &task);
            }
        }
        w.settle();
        if w.end("req-000001").is_none() {
            assert!(w.places().keys().all(|t| t.starts_with("req-000001/")), "{:?}", w.places());
        }
    }
    // A leader of this version has seen the first job complete; the second job then runs only once.
    w.take_over();
    w.send_all_heartbeats();
    w.run_to_completion();
    assert_eq!(w.end("req-000002"), Some(&json!("done")));
}
