//! Both versions on one another's data: records as the production version wrote them (made by its own
//! code, kept in `fixtures/`), and new ones held against the shape that it reads.

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

const RECORDS: &str = include_str!("fixtures/production-records.json");

fn production() -> Vec<KeyValue> {
    serde_json::from_str(RECORDS).expect("the fixture")
}

#[test]
fn what_production_wrote_is_taken_over_and_done() {
    let mut w = World::new(&[("n-000001", "a"), ("n-000002", "b")]);
    for key_value in production() {
        if key_value.key != keys::LEADER {
            w.store.store_revision.0 += 1;
            w.store.keys.insert(key_value.key, (key_value.value, w.store.store_revision));
        }
    }
    // The worker tells of what the former leader started there.
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
    let there = TaskPhase::Dispatching;
    assert_eq!(phases, [TaskPhase::Done, TaskPhase::Done, there, there, there]);
    let job = w.leader.cluster.job(w.leader.cluster.jobs_by_name["req-000002"]).expect("job");
    assert_eq!((job.spec.zone.as_deref(), job.spec.priority), (Some("a"), Priority::Normal));
    assert!(job.spec.dependencies.is_empty() && !job.is_blocked());
    w.all_report();
    w.run_out();
    for job in ["req-000001", "req-000002"] {
        assert_eq!(w.end(job), Some(&json!("done")));
    }
    assert!(!w.store.keys.keys().any(|k| k.starts_with("run/") || k.starts_with("todo")));
}

/// The names and the kinds of values of an object, at every depth.
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
fn what_is_written_now_has_the_shape_that_production_reads() {
    let written = production();
    let of = |key: &str| &written.iter().find(|p| p.key == key).expect("a record").value;
    let chunk = chunk_size(2_048);
    // A job that waits for nothing, under the same key, without a field more or less.
    assert_eq!(shape(&description_record(&spec(5), 1, chunk)), shape(of("todo/req-000001")));
    let zoned = JobSpec {
        types: Some(vec!["t8".into()]),
        zone: Some("a".into()),
        deadline_s: None,
        ..spec(2)
    };
    assert_eq!(shape(&description_record(&zoned, 1, chunk)), shape(of("todo/req-000002")));
    assert_eq!(keys::description("req-000001", false), "todo/req-000001");
    // A chunk, record by record.
    let mut w = World::new(&[("n-000001", "a"), ("n-000002", "b")]);
    w.submit("req-000001", &spec(5));
    w.settle();
    let (now, _) = &w.store.keys[&keys::run("req-000001", 0)];
    let then = of("run/req-000001/00000");
    assert_eq!(shape(now), shape(then));
    for record in now["t"].as_array().expect("records") {
        assert_eq!(record.as_array().map(Vec::len), Some(5), "{record}");
        assert!(record[2].is_string() && record[3].is_u64() && record[4].is_u64());
    }
}

/// What the former version would misread it never reads: it lists `todo/` and takes `run/` records of
/// the jobs that it found there, by a chunk number alone.
#[test]
fn what_is_new_lies_where_production_does_not_look() {
    let chained = keys::description("req-000001", true);
    assert!(!chained.starts_with(keys::TODO) && chained.starts_with(keys::DESCRIPTIONS));
    assert_eq!(keys::described_job(&chained), Some("req-000001"));
    let part = keys::part("req-000001", 3, 40);
    let place = part.rsplit_once('/').expect("a place").1;
    assert!(place.parse::<usize>().is_err(), "{place}");
    let key = RunKey { job: "req-000001", chunk: 3, part: Some(40) };
    assert_eq!(RunKey::parse(&part), Some(key));
}

/// Either takes over from the other, and again within moments, while a chain is under way.
#[test]
fn the_lead_goes_to_and_fro_between_the_versions() {
    let mut w = World::new(&[("n-000001", "a"), ("n-000002", "b")]);
    let dependencies = |names: &[&str]| names.iter().map(|n| (*n).to_owned()).collect::<Vec<_>>();
    w.submit_in_chunks("req-000001", &spec(3), 168);
    w.submit("req-000002", &JobSpec { dependencies: dependencies(&["req-000001"]), ..spec(3) });
    w.settle();
    for turn in 0..8 {
        w.take_over_as(turn % 3 != 2);
        w.all_report();
        w.all_report();
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
    // The last leader of the new version saw the first job done; the second runs, and only once.
    w.take_over();
    w.all_report();
    w.run_out();
    assert_eq!(w.end("req-000002"), Some(&json!("done")));
}
