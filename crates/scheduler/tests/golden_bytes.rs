//! Every kind of record that the scheduler keeps in the key-value store, to the byte: as it is written,
//! as the loader reads it, and as it is written again. Kept in `golden/records.txt`; those of the
//! former version in `fixtures/production-records.json`.

mod golden_file;
mod world;

use golden_file::Golden;
use serde::Serialize;
use serde_json::{json, Value};
use walnutlug_scheduler::command::Command;
use walnutlug_scheduler::leadership::fencing_token::FencingToken;
use walnutlug_scheduler::model::ids::{AgentEpoch, Attempt};
use walnutlug_scheduler::model::job_spec::{JobEnd, JobSpec, Priority};
use walnutlug_scheduler::model::task::TaskPhase;
use walnutlug_scheduler::protocol::key_value::{KeyValue, Operation};
use walnutlug_scheduler::protocol::users::{job_response, parse_submission, JobStage};
use walnutlug_scheduler::protocol::workers::{
    CommandsRequest, ExitReason, Heartbeat, HeartbeatResponse, Redirect, TaskState, TaskStatus,
    WorkerCommand,
};
use walnutlug_scheduler::storage::keys::{self, RunKey};
use walnutlug_scheduler::storage::records::{chunk_size, description_record};
use walnutlug_scheduler::storage::revision::Revision;
use walnutlug_scheduler::storage::transactions::TransactionLimits;
use world::{spec, types, World};

const RECORDS: &str = "tests/golden/records.txt";
const WRITES: &str = "tests/golden/writes.txt";
const JOB: &str = "req-000001";
const ACCEPTED_US: u64 = 1_700_000_000_000_001;

/// A description with a value of its own in every field.
fn full_spec() -> JobSpec {
    JobSpec {
        class: "train".into(),
        team: "one".into(),
        priority: Priority::High,
        tasks: 7,
        cpus: 2.5,
        gpus: 1.0,
        memory_gb: 4.0,
        image: "img-07".into(),
        image_gb: 6.25,
        types: Some(vec!["t8".into(), "g8".into()]),
        zone: Some("a".into()),
        one_zone: true,
        spread: false,
        spot: true,
        estimate_s: 240.0,
        checkpoint_s: 30.0,
        save_s: 4.5,
        deadline_s: Some(900.0),
        dependencies: Vec::new(),
    }
}

fn chained_spec() -> JobSpec {
    JobSpec {
        priority: Priority::Low,
        types: None,
        zone: None,
        one_zone: false,
        spread: true,
        spot: false,
        deadline_s: None,
        dependencies: vec!["req-000002".into(), "req-000003".into()],
        ..full_spec()
    }
}

fn text(value: &impl Serialize) -> String {
    serde_json::to_string(value).expect("text")
}

/// A key and its value as they go to the key-value store.
fn stored(key: &str, value: &Value) -> String {
    let Operation::Put { put, value, lease } = Operation::put(key, value) else {
        panic!("a change that puts")
    };
    assert!(lease.is_none(), "records of jobs hang on no lease");
    format!("{put}\n{}", text(&value))
}

fn split(entry: &str) -> (String, Value) {
    let (key, value) = entry.split_once('\n').expect("a key and a value");
    (key.to_owned(), serde_json::from_str(value).expect("a value"))
}

fn descriptions() -> Vec<(&'static str, JobSpec)> {
    let ranked = |priority| JobSpec { priority, ..full_spec() };
    vec![
        ("description", full_spec()),
        ("description of a chained job", chained_spec()),
        ("description, rank normal", ranked(Priority::Normal)),
        ("description, rank prod", ranked(Priority::Prod)),
    ]
}

fn description(spec: &JobSpec) -> String {
    let key = keys::description(JOB, !spec.dependencies.is_empty());
    stored(&key, &description_record(spec, ACCEPTED_US, 83))
}

#[test]
fn descriptions_ends_and_types_are_written_and_read_as_before() {
    let descriptions = descriptions();
    let mut found: Vec<(&str, String)> =
        descriptions.iter().map(|(kind, spec)| (*kind, description(spec))).collect();
    found.push(("acceptance", stored(&keys::job(JOB), &json!(1))));
    found.push(("end done", stored(&keys::end(JOB), &json!(JobEnd::Done))));
    found.push(("end aborted", stored(&keys::end(JOB), &json!(JobEnd::Cancelled))));
    found.push(("machine types", stored(keys::TYPES, &json!({"breeds": types()}))));
    found.push(("chunk's key", keys::run(JOB, 12)));
    found.push(("part's key", keys::part(JOB, 12, 345)));
    let golden = Golden::check(RECORDS, &found);
    for (kind, spec) in &descriptions {
        read_description(kind, &golden.text(kind), spec);
    }
    for (kind, end) in [("end done", JobEnd::Done), ("end aborted", JobEnd::Cancelled)] {
        let (key, value) = split(&golden.text(kind));
        assert!(key.strip_prefix(keys::END) == Some(JOB), "{kind}: its key");
        let read: JobEnd = serde_json::from_value(value).expect("an end");
        assert!(read == end, "{kind}: read otherwise");
    }
    let (_, value) = split(&golden.text("machine types"));
    let read: Vec<walnutlug_scheduler::protocol::cloud::MachineType> =
        serde_json::from_value(value["breeds"].clone()).expect("types");
    assert!(read == types(), "machine types: read otherwise");
    let chunk = RunKey { job: JOB, chunk: 12, part: None };
    assert_eq!(RunKey::parse(&golden.text("chunk's key")), Some(chunk));
    let part = RunKey { part: Some(345), ..chunk };
    assert_eq!(RunKey::parse(&golden.text("part's key")), Some(part));
}

/// Reads the description as a new leader does, and writes it again.
fn read_description(kind: &str, entry: &str, spec: &JobSpec) {
    let (key, value) = split(entry);
    assert!(keys::described_job(&key) == Some(JOB), "{kind}: its key");
    let mut world = World::new(&[]);
    assert!(
        world.leader.add_job(world.now, JOB, &value, ACCEPTED_US).is_ok(),
        "{kind}: can't be read"
    );
    let job = world.leader.cluster.job(world.leader.cluster.jobs_by_name[JOB]).expect("the job");
    assert!(job.spec == *spec, "{kind}: a field was read otherwise");
    assert!(job.chunk_size == 83, "{kind}: chunk size");
    assert!(job.accepted == world.now, "{kind}: time of acceptance");
    assert!(description(&job.spec) == entry, "{kind}: written again it differs");
}

/// What the former version wrote, read and written again: descriptions to the byte, chunks task by task.
#[test]
fn records_of_the_former_version_are_read_as_before() {
    let former: Vec<KeyValue> =
        serde_json::from_str(include_str!("fixtures/production-records.json")).expect("records");
    let mut world = World::new(&[]);
    for key_value in former.iter().filter(|key_value| key_value.key.starts_with(keys::TODO)) {
        let name = keys::described_job(&key_value.key).expect("a description");
        let wall = key_value.value["at"].as_u64().expect("a time");
        assert!(
            world.leader.add_job(world.now, name, &key_value.value, wall).is_ok(),
            "{}",
            key_value.key
        );
        let job =
            world.leader.cluster.job(world.leader.cluster.jobs_by_name[name]).expect("the job");
        let again = description_record(&job.spec, wall, job.chunk_size);
        assert_eq!(text(&again), text(&key_value.value), "{}", key_value.key);
    }
    let runs: Vec<KeyValue> =
        former.into_iter().filter(|key_value| key_value.key.starts_with(keys::RUN)).collect();
    assert!(world.leader.load_chunks(world.now, &runs).is_empty(), "all of them are read");
    let found: Vec<(&str, String)> = ["req-000001", "req-000002"]
        .into_iter()
        .map(|name| (name, tasks_as_read(&world, name)))
        .collect();
    Golden::check("tests/golden/former.txt", &found);
}

fn phase_name(phase: TaskPhase) -> &'static str {
    match phase {
        TaskPhase::Pending => "pending",
        TaskPhase::Dispatching => "dispatching",
        TaskPhase::Running => "running",
        TaskPhase::Stopping => "stopping",
        TaskPhase::Unknown => "unknown",
        TaskPhase::Done => "done",
    }
}

/// Every task of a job, field by field, in words of this test.
fn tasks_as_read(world: &World, name: &str) -> String {
    let job = world.leader.cluster.job(world.leader.cluster.jobs_by_name[name]).expect("the job");
    let line = |task: &walnutlug_scheduler::model::task::Task| {
        let place = match task.phase.placed() {
            true => world.leader.cluster.machines[task.machine].name.as_str(),
            false => "nowhere",
        };
        let after = task.placed_at.since(job.accepted).0;
        let (phase, attempt, agent_epoch) =
            (phase_name(task.phase), task.attempt, task.agent_epoch);
        format!("{phase}, attempt {attempt}, at {place}, session {agent_epoch}, after {after} us")
    };
    job.tasks.iter().map(line).collect::<Vec<_>>().join("\n")
}

/// One record of each phase, and one that tells no time of placing, as a very early version wrote it.
fn chunk_of_every_phase() -> Value {
    json!({"t": [0, [0, 2], [1, 1, "n-000001", 1, 3], [2, 4, "n-000002", 5, 0],
        [3, 1, "n-000001", 1, 2], [4, 1, "n-000002", 1], [5, 6]], "w": "1-1"})
}

#[test]
fn chunks_and_parts_of_every_phase_are_read_as_before() {
    let mut world = World::new(&[]);
    world.wait(100_000);
    let spec = JobSpec { tasks: 9, ..full_spec() };
    let accepted_before_us = 50_000_000;
    let value = description_record(&spec, ACCEPTED_US, 7);
    let wall = ACCEPTED_US + accepted_before_us;
    assert!(world.leader.add_job(world.now, JOB, &value, wall).is_ok(), "the description");
    let key_value = |key, value, revision| KeyValue { key, value, revision };
    let part = json!({"t": [[2, 9, "n-000003", 7, 11]], "w": "1-2"});
    let strange = world.leader.load_chunks(
        world.now,
        &[
            key_value(keys::run(JOB, 0), chunk_of_every_phase(), Revision(8)),
            key_value(keys::part(JOB, 1, 8), part, Revision(9)),
        ],
    );
    assert!(strange.is_empty(), "all of them are read");
    let found = [("chunk 0 and part 8 of chunk 1", tasks_as_read(&world, JOB))];
    Golden::check("tests/golden/chunks.txt", &found);
}

/// Every transaction that the leader wants written, as the bytes sent, while jobs start, run, are
/// stopped, go unconfirmed, finish and are withdrawn, with a change of the leader between.
#[test]
fn the_leaders_transactions_are_written_as_before() {
    let mut script = Script::new();
    script.start_and_confirm();
    script.lose_a_machine();
    script.take_over();
    script.withdraw_and_finish();
    script.fall_to_smaller_limits();
    script.drain_a_machine();
    script.run_short_of_room();
    let found: Vec<(&str, String)> =
        script.steps.iter().map(|(kind, lines)| (*kind, lines.join("\n"))).collect();
    let golden = Golden::check(WRITES, &found);
    let all: String = found.iter().map(|(kind, _)| golden.text(kind)).collect();
    for (what, part) in [
        ("pending, a later attempt", "[0,2]"),
        ("pending, untouched", ",0],\"w\""),
        ("dispatching", "[1,1,\"n-"),
        ("running", "[2,1,\"n-"),
        ("stopping", "[3,1,\"n-"),
        ("unknown", "[4,1,\"n-"),
        ("done", "[5,1]"),
        ("a part", "\"put\":\"run/req-000005/00000."),
        ("an end", "\"put\":\"end/"),
        ("a dropped chunk", "\"drop\":\"run/"),
        ("a dropped description", "\"drop\":\"todo/"),
    ] {
        assert!(all.contains(part), "the script writes {what}");
    }
}

/// A world whose transactions are noted.
struct Script {
    world: World,
    steps: Vec<(&'static str, Vec<String>)>,
}

impl Script {
    fn new() -> Script {
        let world = World::new(&[("n-000001", "a"), ("n-000002", "b"), ("n-000003", "a")]);
        Script { world, steps: Vec::new() }
    }

    fn begin(&mut self, kind: &'static str) {
        self.steps.push((kind, Vec::new()));
    }

    /// Lets the leader decide, notes what it writes and carries it out.
    fn go_on(&mut self, rounds: usize) {
        for _ in 0..rounds {
            self.decide();
            self.world.carry_out();
        }
    }

    /// The same, with nothing arriving at the workers.
    fn go_on_unheard(&mut self, rounds: usize) {
        for _ in 0..rounds {
            self.decide();
            self.world.commands.retain(|c| !matches!(c, Command::SendToWorker { .. }));
            self.world.carry_out();
        }
    }

    fn decide(&mut self) {
        self.world.tick();
        let lines = &mut self.steps.last_mut().expect("a step").1;
        for command in &self.world.commands {
            if let Command::Commit { transaction, .. } = command {
                lines.push(text(transaction));
            }
        }
    }

    /// Another world, whose steps are noted after those of the first.
    fn begin_anew(&mut self, kind: &'static str) {
        self.world = Script::new().world;
        self.begin(kind);
    }

    /// One machine's tasks are told to stop; before it says more, another machine's task is done.
    fn drain_a_machine(&mut self) {
        self.begin_anew("6 drained");
        self.world.submit(JOB, &JobSpec { cpus: 6.0, estimate_s: 600.0, ..spec(2) });
        self.go_on(4);
        self.world.all_report();
        self.go_on(1);
        self.world.workers.get_mut("n-000001").expect("a worker").interruption_at = Some(30.0);
        self.world.heartbeat("n-000001");
        self.world.leader.autoscale(self.world.now);
        self.go_on_unheard(2);
        self.finish_all_of("n-000002");
        for _ in 0..6 {
            self.world.wait(1_000);
            self.go_on_unheard(1);
        }
    }

    /// Two machines go with their tasks, and there is room for one of these.
    fn run_short_of_room(&mut self) {
        self.begin_anew("7 short of room");
        self.world.submit(JOB, &JobSpec { cpus: 6.0, ..spec(5) });
        self.go_on(4);
        self.world.all_report();
        self.go_on(1);
        for name in ["n-000002", "n-000003"] {
            self.world.workers.remove(name);
            self.world.leader.machine_gone(self.world.now, name);
        }
        self.go_on(2);
        self.finish_all_of("n-000001");
        self.go_on(4);
    }

    fn finish_all_of(&mut self, machine: &str) {
        for (task, machines) in self.world.places() {
            if machines.iter().any(|name| name == machine) {
                self.world.finish(machine, &task);
            }
        }
        self.world.wait(3_000);
        self.world.heartbeat(machine);
    }

    fn start_and_confirm(&mut self) {
        self.begin("1 start");
        self.world.submit(JOB, &JobSpec { checkpoint_s: 5.0, save_s: 2.0, ..spec(5) });
        self.world.submit("req-000002", &JobSpec { dependencies: vec![JOB.into()], ..spec(1) });
        self.go_on(4);
        self.world.all_report();
        self.go_on(2);
    }

    /// A start whose command was lost, and a machine that goes with its tasks.
    fn lose_a_machine(&mut self) {
        self.begin("2 unconfirmed and lost");
        self.world.workers.get_mut("n-000003").expect("a worker").alive = false;
        self.world.submit("req-000003", &JobSpec { cpus: 6.0, ..spec(2) });
        self.go_on(3);
        for _ in 0..20 {
            self.world.wait(3_000);
            for name in ["n-000001", "n-000002"] {
                self.world.heartbeat(name);
            }
            self.go_on(1);
        }
        self.world.leader.machine_gone(self.world.now, "n-000003");
        self.go_on(3);
    }

    fn take_over(&mut self) {
        self.begin("3 another leader");
        self.world.take_over();
        self.world.all_report();
        self.go_on(4);
        self.world.wait(3_000);
        self.world.all_report();
        self.go_on(2);
    }

    fn withdraw_and_finish(&mut self) {
        self.begin("4 withdrawn and done");
        self.world.submit("req-000004", &spec(2));
        self.go_on(3);
        self.world.withdraw("req-000004");
        self.go_on(3);
        for _ in 0..6 {
            for (task, machines) in self.world.places() {
                self.world.finish(&machines[0], &task);
            }
            self.world.wait(3_000);
            self.world.all_report();
            self.go_on(4);
        }
    }

    /// A chunk that has become too large goes on in parts.
    fn fall_to_smaller_limits(&mut self) {
        self.begin("5 parts");
        let many = JobSpec { cpus: 0.1, memory_gb: 0.1, ..spec(160) };
        self.world.submit_in_chunks("req-000005", &many, 168);
        self.go_on(4);
        self.world.store.limits = Some((2_048, 4));
        self.world.leader.set_limits(TransactionLimits { value_bytes: 2_048, operations: 4 });
        for (task, machines) in self.world.places().into_iter().take(3) {
            self.world.finish(&machines[0], &task);
        }
        for _ in 0..6 {
            self.world.wait(1_000);
            self.world.all_report();
            self.go_on(1);
        }
    }
}

const PROTOCOL: &str = "tests/golden/protocol.txt";

/// A heartbeat with every state and every cause.
fn full_report() -> Heartbeat {
    let task = |index: u64, state, cause| TaskStatus {
        task: format!("req-000412/{index}"),
        attempt: Attempt(10 + index),
        state,
        cause,
    };
    let exited = |index, cause| task(index, TaskState::Exited, Some(cause));
    Heartbeat {
        machine: "n-000231".into(),
        address: "10.1.0.232:9000".into(),
        kind: "g8".into(),
        zone: "a".into(),
        spot: true,
        agent_epoch: AgentEpoch(3),
        sequence: 88,
        token: FencingToken(41),
        interruption_notice_s: Some(27.5),
        tasks: vec![
            task(0, TaskState::Fetching, None),
            task(1, TaskState::Running, None),
            task(2, TaskState::Flushing, None),
            exited(3, ExitReason::Done),
            exited(4, ExitReason::Stopped),
            exited(5, ExitReason::Error),
            exited(6, ExitReason::NoRoom),
            exited(7, ExitReason::InUse),
            exited(8, ExitReason::Unknown),
        ],
    }
}

fn calls() -> Vec<WorkerCommand> {
    vec![
        WorkerCommand::Run { task: "req-000412/4".into(), attempt: Attempt(2) },
        WorkerCommand::Kill { task: "req-000377/1".into(), attempt: Attempt(1), grace_s: 10.0 },
        WorkerCommand::Reap { task: "req-000398/0".into(), attempt: Attempt(3) },
    ]
}

#[test]
fn messages_of_the_protocol_are_written_and_read_as_before() {
    let stages = [JobStage::Queued, JobStage::Running, JobStage::Done, JobStage::Cancelled];
    let answers = stages.map(|stage| job_response(JOB, stage, None).to_string()).join("\n");
    let found = [
        ("report", text(&full_report())),
        (
            "answer to a report",
            text(&HeartbeatResponse { token: FencingToken(41), calls: calls() }),
        ),
        (
            "answer without calls",
            text(&HeartbeatResponse { token: FencingToken(41), calls: Vec::new() }),
        ),
        (
            "commands",
            text(&CommandsRequest {
                token: FencingToken(41),
                agent_epoch: AgentEpoch(7),
                calls: &calls(),
            }),
        ),
        ("redirect", text(&Redirect { node: Some("kernel-2".into()) })),
        ("redirect to none", text(&Redirect { node: None })),
        ("job", answers),
        ("job with counts", job_response(JOB, JobStage::Running, Some((3, 13))).to_string()),
    ];
    let golden = Golden::check(PROTOCOL, &found);
    let heartbeat = golden.text("report");
    let read: Heartbeat = serde_json::from_str(&heartbeat).expect("a report");
    let full = full_report();
    assert!(read.machine == full.machine && read.address == full.address, "report: names");
    assert!(read.kind == full.kind && read.zone == full.zone, "report: type and zone");
    assert!(read.spot && read.interruption_notice_s == Some(27.5), "report: spot and notice");
    assert!(
        (read.agent_epoch, read.sequence, read.token) == (AgentEpoch(3), 88, FencingToken(41)),
        "report: numbers"
    );
    assert!(read.tasks == full.tasks, "report: tasks");
    assert!(text(&read) == heartbeat, "report: written again it differs");
    let commands: Value = serde_json::from_str(&golden.text("commands")).expect("commands");
    let read: Vec<WorkerCommand> =
        serde_json::from_value(commands["calls"].clone()).expect("calls");
    assert!(read == calls(), "commands: read otherwise");
}

/// What later protocols may add, and what may be left out.
#[test]
fn odd_reports_are_read_as_before() {
    let least = r#"{"tree":"n-1","address":"10.0.0.1:1","breed":"g8","grove":"a","windfall":false,"season":1,"ring":2,"staff":3,"new":true}"#;
    let read: Heartbeat = serde_json::from_str(least).expect("a report");
    assert!(read.interruption_notice_s.is_none() && read.tasks.is_empty(), "what is left out");
    let later = r#"{"nut":"req-1/0","try":1,"stage":"dreaming","cause":"weather"}"#;
    let read: TaskStatus = serde_json::from_str(later).expect("a task");
    assert!(read.state == TaskState::Other && read.cause == Some(ExitReason::Other), "later words");
}

/// A submission with a value of its own in every field, as the protocol spells it.
#[test]
fn submissions_are_read_as_before() {
    let body = r#"{"ref":"req-000001","shell":"train","crew":"one","husk":"batch","rank":"high","nuts":7,
        "vcpus":2.5,"gpus":1.0,"memoryGb":4.0,"seed":"img-07","imageGb":6.25,"breeds":["t8","g8"],
        "grove":"a","together":true,"spread":false,"windfall":true,"ripenS":240.0,"stashS":30.0,
        "buryS":4.5,"harvestS":900.0}"#;
    let Ok((name, spec)) = parse_submission(body.as_bytes()) else { panic!("can't be read") };
    assert!(name == JOB && spec == full_spec(), "a field was read otherwise");
    let chained = body.replace("\"high\"", "\"low\"").replace("[\"t8\",\"g8\"]", "null");
    let chained = chained.replace("\"grove\":\"a\"", "\"grove\":null");
    let chained =
        chained.replace("\"together\":true,\"spread\":false", "\"together\":false,\"spread\":true");
    let chained = chained.replace("\"windfall\":true", "\"windfall\":false");
    let chained =
        chained.replace("900.0", "null,\"waits\":[\"req-000002\",\"req-000003\",\"req-000002\"]");
    let Ok((_, spec)) = parse_submission(chained.as_bytes()) else { panic!("can't be read") };
    assert!(spec == chained_spec(), "a field of a chained one was read otherwise");
}

#[test]
fn the_number_of_tasks_in_a_chunk_is_as_before() {
    let sizes: Vec<u32> = [96, 512, 2_048, 4_096, 8_192, 65_536].map(chunk_size).to_vec();
    assert_eq!(sizes, [1, 8, 40, 83, 168, 200]);
}
