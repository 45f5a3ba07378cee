//! Golden tests of the bytes that the scheduler stores and sends: every kind of record in the
//! key-value store, the transactions that write them, and the messages of the user and worker
//! protocols.
//!
//! The expected bytes are in `golden/`. Records are also read as the loader reads them and written
//! again. `fixtures/production-records.json` holds records that the previous version wrote.

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

/// A job description whose values differ from field to field, so that mixed-up fields are noticed.
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

fn spec_with_dependencies() -> JobSpec {
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

fn to_json(value: &impl Serialize) -> String {
    serde_json::to_string(value).expect("serializable to JSON")
}

/// Formats a put operation as its key and, on the next line, the JSON text of its value.
fn format_put(key: &str, value: &Value) -> String {
    let Operation::Put { put, value, lease } = Operation::put(key, value) else {
        panic!("not a put operation")
    };
    assert!(lease.is_none(), "a record of a job is bound to a lease");
    format!("{put}\n{}", to_json(&value))
}

/// Splits an entry of the golden file into its key and value; the inverse of [`format_put`].
fn split_entry(entry: &str) -> (String, Value) {
    let (key, value) = entry.split_once('\n').expect("an entry with a key and a value");
    (key.to_owned(), serde_json::from_str(value).expect("a JSON value"))
}

fn job_descriptions() -> Vec<(&'static str, JobSpec)> {
    let with_priority = |priority| JobSpec { priority, ..full_spec() };
    vec![
        ("description", full_spec()),
        ("description of a chained job", spec_with_dependencies()),
        ("description, rank normal", with_priority(Priority::Normal)),
        ("description, rank prod", with_priority(Priority::Prod)),
    ]
}

fn format_description(spec: &JobSpec) -> String {
    let key = keys::description(JOB, !spec.dependencies.is_empty());
    format_put(&key, &description_record(spec, ACCEPTED_US, 83))
}

#[test]
fn job_and_machine_type_records_match_the_golden_file() {
    let descriptions = job_descriptions();
    let mut found: Vec<(&str, String)> =
        descriptions.iter().map(|(kind, spec)| (*kind, format_description(spec))).collect();
    found.push(("acceptance", format_put(&keys::job(JOB), &json!(1))));
    found.push(("end done", format_put(&keys::end(JOB), &json!(JobEnd::Done))));
    found.push(("end aborted", format_put(&keys::end(JOB), &json!(JobEnd::Cancelled))));
    found.push(("machine types", format_put(keys::TYPES, &json!({"breeds": types()}))));
    found.push(("chunk's key", keys::run(JOB, 12)));
    found.push(("part's key", keys::part(JOB, 12, 345)));
    let golden = Golden::check(RECORDS, &found);
    for (kind, spec) in &descriptions {
        check_description_round_trip(kind, &golden.text(kind), spec);
    }
    for (kind, end) in [("end done", JobEnd::Done), ("end aborted", JobEnd::Cancelled)] {
        let (key, value) = split_entry(&golden.text(kind));
        assert!(key.strip_prefix(keys::END) == Some(JOB), "{kind}: wrong job name in the key");
        let read: JobEnd = serde_json::from_value(value).expect("the end of a job");
        assert!(read == end, "{kind}: differs after reading");
    }
    let (_, value) = split_entry(&golden.text("machine types"));
    let read: Vec<walnutlug_scheduler::protocol::cloud::MachineType> =
        serde_json::from_value(value["breeds"].clone()).expect("a list of machine types");
    assert!(read == types(), "machine types: differ after reading");
    let chunk = RunKey { job: JOB, chunk: 12, part: None };
    assert_eq!(RunKey::parse(&golden.text("chunk's key")), Some(chunk));
    let part = RunKey { part: Some(345), ..chunk };
    assert_eq!(RunKey::parse(&golden.text("part's key")), Some(part));
}

/// Checks that a new leader reads the description with every field intact and that writing it again
/// yields the same bytes.
fn check_description_round_trip(kind: &str, entry: &str, spec: &JobSpec) {
    let (key, value) = split_entry(entry);
    assert!(keys::described_job(&key) == Some(JOB), "{kind}: wrong job name in the key");
    let mut world = World::new(&[]);
    assert!(
        world.leader.add_job(world.now, JOB, &value, ACCEPTED_US).is_ok(),
        "{kind}: can't be read back"
    );
    let job = world.leader.cluster.job(world.leader.cluster.jobs_by_name[JOB]).expect("the job");
    assert!(job.spec == *spec, "{kind}: a field differs after reading");
    assert!(job.chunk_size == 83, "{kind}: wrong chunk size");
    assert!(job.accepted == world.now, "{kind}: wrong acceptance time");
    assert!(format_description(&job.spec) == entry, "{kind}: differs when written again");
}

/// Reads the records of the previous version. Descriptions must be byte-identical when written
/// again; chunks are compared task by task.
#[test]
fn records_of_the_previous_version_are_read_completely() {
    let previous_records: Vec<KeyValue> =
        serde_json::from_str(include_str!("fixtures/production-records.json"))
            .expect("the fixture is a list of records");
    let mut world = World::new(&[]);
    for key_value in
        previous_records.iter().filter(|key_value| key_value.key.starts_with(keys::TODO))
    {
        let name = keys::described_job(&key_value.key).expect("the key of a job description");
        let wall = key_value.value["at"].as_u64().expect("an acceptance time");
        assert!(
            world.leader.add_job(world.now, name, &key_value.value, wall).is_ok(),
            "{}",
            key_value.key
        );
        let job =
            world.leader.cluster.job(world.leader.cluster.jobs_by_name[name]).expect("the job");
        let rewritten = description_record(&job.spec, wall, job.chunk_size);
        assert_eq!(to_json(&rewritten), to_json(&key_value.value), "{}", key_value.key);
    }
    let chunks: Vec<KeyValue> = previous_records
        .into_iter()
        .filter(|key_value| key_value.key.starts_with(keys::RUN))
        .collect();
    assert!(world.leader.load_chunks(world.now, &chunks).is_empty(), "some records can't be read");
    let found: Vec<(&str, String)> = ["req-000001", "req-000002"]
        .into_iter()
        .map(|name| (name, format_tasks(&world, name)))
        .collect();
    Golden::check("tests/golden/former.txt", &found);
}

fn phase_name(phase: TaskPhase) -> &'static str {
    match phase {
        TaskPhase::Pending => "pending",
        TaskPhase::Planned => "planned",
        TaskPhase::Recorded => "recorded",
        TaskPhase::Dispatching => "dispatching",
        TaskPhase::Running => "running",
        TaskPhase::Stopping => "stopping",
        TaskPhase::Unknown => "unknown",
        TaskPhase::Done => "done",
    }
}

/// Formats every field of every task of a job, in words that are independent of names in the code.
fn format_tasks(world: &World, name: &str) -> String {
    let job = world.leader.cluster.job(world.leader.cluster.jobs_by_name[name]).expect("the job");
    let line = |task: walnutlug_scheduler::model::task::Task| {
        let place = match task.phase.placed() {
            true => world.leader.cluster.machines[task.machine].name.as_str(),
            false => "nowhere",
        };
        let delay = task.placed_at.since(job.accepted).0;
        let (phase, attempt, agent_epoch) =
            (phase_name(task.phase), task.attempt, task.agent_epoch);
        format!("{phase}, attempt {attempt}, at {place}, session {agent_epoch}, after {delay} us")
    };
    job.tasks.iter().map(line).collect::<Vec<_>>().join("\n")
}

/// A chunk with a task in each phase, and one task without a placement time, as written by a very
/// early version.
fn chunk_with_every_phase() -> Value {
    json!({"t": [0, [0, 2], [1, 1, "n-000001", 1, 3], [2, 4, "n-000002", 5, 0],
        [3, 1, "n-000001", 1, 2], [4, 1, "n-000002", 1], [5, 6]], "w": "1-1"})
}

#[test]
fn chunks_and_parts_with_tasks_in_every_phase_are_read_completely() {
    let mut world = World::new(&[]);
    world.wait(100_000);
    let spec = JobSpec { tasks: 9, ..full_spec() };
    let accepted_before_us = 50_000_000;
    let value = description_record(&spec, ACCEPTED_US, 7);
    let wall = ACCEPTED_US + accepted_before_us;
    assert!(
        world.leader.add_job(world.now, JOB, &value, wall).is_ok(),
        "the description can't be read"
    );
    let key_value = |key, value, revision| KeyValue { key, value, revision };
    let part = json!({"t": [[2, 9, "n-000003", 7, 11]], "w": "1-2"});
    let unreadable = world.leader.load_chunks(
        world.now,
        &[
            key_value(keys::run(JOB, 0), chunk_with_every_phase(), Revision(8)),
            key_value(keys::part(JOB, 1, 8), part, Revision(9)),
        ],
    );
    assert!(unreadable.is_empty(), "some records can't be read");
    let found = [("chunk 0 and part 8 of chunk 1", format_tasks(&world, JOB))];
    Golden::check("tests/golden/chunks.txt", &found);
}

/// Compares the bytes of every transaction that the leader commits while tasks start, run, are
/// stopped, stay unconfirmed and finish, and while jobs are cancelled, with a change of leader in
/// between.
#[test]
fn transactions_of_the_leader_match_the_golden_file() {
    let mut script = TransactionRecorder::new();
    script.start_and_confirm();
    script.lose_a_machine();
    script.take_over();
    script.cancel_and_finish();
    script.lower_store_limits();
    script.drain_a_machine();
    script.run_short_of_capacity();
    let found: Vec<(&str, String)> =
        script.sections.iter().map(|(kind, lines)| (*kind, lines.join("\n"))).collect();
    let golden = Golden::check(WRITES, &found);
    let transactions: String = found.iter().map(|(kind, _)| golden.text(kind)).collect();
    for (description, fragment) in [
        ("a pending task in a later attempt", "[0,2]"),
        ("a pending task in its first attempt", ",0],\"w\""),
        ("a dispatching task", "[1,1,\"n-"),
        ("a running task", "[2,1,\"n-"),
        ("a stopping task", "[3,1,\"n-"),
        ("a task in unknown state", "[4,1,\"n-"),
        ("a completed task", "[5,1]"),
        ("a part of a chunk", "\"put\":\"run/req-000005/00000."),
        ("the end of a job", "\"put\":\"end/"),
        ("the deletion of a chunk", "\"drop\":\"run/"),
        ("the deletion of a description", "\"drop\":\"todo/"),
    ] {
        assert!(transactions.contains(fragment), "no transaction contains {description}");
    }
}

/// Runs a scripted world and records the transactions that its leader commits.
struct TransactionRecorder {
    world: World,
    /// Name of each section in the golden file, with the transactions recorded in it.
    sections: Vec<(&'static str, Vec<String>)>,
}

impl TransactionRecorder {
    fn new() -> TransactionRecorder {
        let world = World::new(&[("n-000001", "a"), ("n-000002", "b"), ("n-000003", "a")]);
        TransactionRecorder { world, sections: Vec::new() }
    }

    fn begin_section(&mut self, kind: &'static str) {
        self.sections.push((kind, Vec::new()));
    }

    /// Runs rounds in which the leader decides, its transactions are recorded, and all of its
    /// commands are executed.
    fn run_rounds(&mut self, rounds: usize) {
        for _ in 0..rounds {
            self.tick_and_record();
            self.world.execute_commands();
        }
    }

    /// Runs rounds like [`Self::run_rounds`], but drops all messages to workers.
    fn run_rounds_without_delivery(&mut self, rounds: usize) {
        for _ in 0..rounds {
            self.tick_and_record();
            self.world.commands.retain(|c| !matches!(c, Command::SendToWorker { .. }));
            self.world.execute_commands();
        }
    }

    /// Lets the leader decide and records its transactions, without executing any command.
    fn tick_and_record(&mut self) {
        self.world.tick();
        let lines = &mut self.sections.last_mut().expect("a section was begun").1;
        for command in &self.world.commands {
            if let Command::Commit { transaction, .. } = command {
                lines.push(to_json(transaction));
            }
        }
    }

    /// Begins a section that runs in a new world.
    fn begin_section_in_new_world(&mut self, kind: &'static str) {
        self.world = TransactionRecorder::new().world;
        self.begin_section(kind);
    }

    /// Drains a machine after an interruption notice: its tasks are told to stop, and before it
    /// confirms that, the tasks on another machine complete.
    fn drain_a_machine(&mut self) {
        self.begin_section_in_new_world("6 drained");
        self.world.submit(JOB, &JobSpec { cpus: 6.0, estimate_s: 600.0, ..spec(2) });
        self.run_rounds(4);
        self.world.send_all_heartbeats();
        self.run_rounds(1);
        self.world.workers.get_mut("n-000001").expect("a worker").interruption_at = Some(30.0);
        self.world.heartbeat("n-000001");
        self.world.leader.autoscale(self.world.now);
        self.run_rounds_without_delivery(2);
        self.finish_tasks_on("n-000002");
        for _ in 0..6 {
            self.world.wait(1_000);
            self.run_rounds_without_delivery(1);
        }
    }

    /// Loses two machines with their tasks, after which there is room for only one of those tasks.
    fn run_short_of_capacity(&mut self) {
        self.begin_section_in_new_world("7 short of room");
        self.world.submit(JOB, &JobSpec { cpus: 6.0, ..spec(5) });
        self.run_rounds(4);
        self.world.send_all_heartbeats();
        self.run_rounds(1);
        for name in ["n-000002", "n-000003"] {
            self.world.workers.remove(name);
            self.world.leader.machine_gone(self.world.now, name);
        }
        self.run_rounds(2);
        self.finish_tasks_on("n-000001");
        self.run_rounds(4);
    }

    /// Completes all tasks on the machine and delivers its next heartbeat.
    fn finish_tasks_on(&mut self, machine: &str) {
        for (task, machines) in self.world.places() {
            if machines.iter().any(|name| name == machine) {
                self.world.finish(machine, &task);
            }
        }
        self.world.wait(3_000);
        self.world.heartbeat(machine);
    }

    /// Starts a job until its workers have confirmed it, with a second job that depends on it.
    fn start_and_confirm(&mut self) {
        self.begin_section("1 start");
        self.world.submit(JOB, &JobSpec { checkpoint_s: 5.0, save_s: 2.0, ..spec(5) });
        self.world.submit("req-000002", &JobSpec { dependencies: vec![JOB.into()], ..spec(1) });
        self.run_rounds(4);
        self.world.send_all_heartbeats();
        self.run_rounds(2);
    }

    /// Sends starts to a machine that doesn't answer, so that they stay unconfirmed, and then loses
    /// the machine.
    fn lose_a_machine(&mut self) {
        self.begin_section("2 unconfirmed and lost");
        self.world.workers.get_mut("n-000003").expect("a worker").alive = false;
        self.world.submit("req-000003", &JobSpec { cpus: 6.0, ..spec(2) });
        self.run_rounds(3);
        for _ in 0..20 {
            self.world.wait(3_000);
            for name in ["n-000001", "n-000002"] {
                self.world.heartbeat(name);
            }
            self.run_rounds(1);
        }
        self.world.leader.machine_gone(self.world.now, "n-000003");
        self.run_rounds(3);
    }

    /// Replaces the leader while tasks run.
    fn take_over(&mut self) {
        self.begin_section("3 another leader");
        self.world.take_over();
        self.world.send_all_heartbeats();
        self.run_rounds(4);
        self.world.wait(3_000);
        self.world.send_all_heartbeats();
        self.run_rounds(2);
    }

    /// Cancels a started job and lets the tasks of all other jobs complete.
    fn cancel_and_finish(&mut self) {
        self.begin_section("4 withdrawn and done");
        self.world.submit("req-000004", &spec(2));
        self.run_rounds(3);
        self.world.cancel_job("req-000004");
        self.run_rounds(3);
        for _ in 0..6 {
            for (task, machines) in self.world.places() {
                self.world.finish(&machines[0], &task);
            }
            self.world.wait(3_000);
            self.world.send_all_heartbeats();
            self.run_rounds(4);
        }
    }

    /// Lowers the store's limits, so that a chunk becomes too large and its changes are written as
    /// parts.
    fn lower_store_limits(&mut self) {
        self.begin_section("5 parts");
        let large_job = JobSpec { cpus: 0.1, memory_gb: 0.1, ..spec(160) };
        self.world.submit_in_chunks("req-000005", &large_job, 168);
        self.run_rounds(4);
        self.world.store.limits = Some((2_048, 4));
        self.world.leader.set_limits(TransactionLimits { value_bytes: 2_048, operations: 4 });
        for (task, machines) in self.world.places().into_iter().take(3) {
            self.world.finish(&machines[0], &task);
        }
        for _ in 0..6 {
            self.world.wait(1_000);
            self.world.send_all_heartbeats();
            self.run_rounds(1);
        }
    }
}

const PROTOCOL: &str = "tests/golden/protocol.txt";

/// A heartbeat with a task in every state and with every exit reason.
fn full_heartbeat() -> Heartbeat {
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

/// One worker command of each kind.
fn worker_commands() -> Vec<WorkerCommand> {
    vec![
        WorkerCommand::Run { task: "req-000412/4".into(), attempt: Attempt(2) },
        WorkerCommand::Kill { task: "req-000377/1".into(), attempt: Attempt(1), grace_s: 10.0 },
        WorkerCommand::Reap { task: "req-000398/0".into(), attempt: Attempt(3) },
    ]
}

#[test]
fn protocol_messages_match_the_golden_file() {
    let stages = [JobStage::Queued, JobStage::Running, JobStage::Done, JobStage::Cancelled];
    let answers = stages.map(|stage| job_response(JOB, stage, None).to_string()).join("\n");
    let found = [
        ("report", to_json(&full_heartbeat())),
        (
            "answer to a report",
            to_json(&HeartbeatResponse { token: FencingToken(41), calls: worker_commands() }),
        ),
        (
            "answer without calls",
            to_json(&HeartbeatResponse { token: FencingToken(41), calls: Vec::new() }),
        ),
        (
            "commands",
            to_json(&CommandsRequest {
                token: FencingToken(41),
                agent_epoch: AgentEpoch(7),
                calls: &worker_commands(),
            }),
        ),
        ("redirect", to_json(&Redirect { node: Some("kernel-2".into()) })),
        ("redirect to none", to_json(&Redirect { node: None })),
        ("job", answers),
        ("job with counts", job_response(JOB, JobStage::Running, Some((3, 13))).to_string()),
    ];
    let golden = Golden::check(PROTOCOL, &found);
    let heartbeat = golden.text("report");
    let read: Heartbeat = serde_json::from_str(&heartbeat).expect("a readable heartbeat");
    let expected = full_heartbeat();
    assert!(
        read.machine == expected.machine && read.address == expected.address,
        "heartbeat: names differ"
    );
    assert!(read.kind == expected.kind && read.zone == expected.zone, "heartbeat: type or zone");
    assert!(read.spot && read.interruption_notice_s == Some(27.5), "heartbeat: spot or notice");
    assert!(
        (read.agent_epoch, read.sequence, read.token) == (AgentEpoch(3), 88, FencingToken(41)),
        "heartbeat: a number differs"
    );
    assert!(read.tasks == expected.tasks, "heartbeat: tasks differ");
    assert!(to_json(&read) == heartbeat, "heartbeat: differs when written again");
    let commands: Value =
        serde_json::from_str(&golden.text("commands")).expect("a readable command request");
    let read: Vec<WorkerCommand> =
        serde_json::from_value(commands["calls"].clone()).expect("a readable list of commands");
    assert!(read == worker_commands(), "commands: differ after reading");
}

/// Optional fields may be missing, and later versions of the protocol may add fields and values.
#[test]
fn heartbeats_may_omit_optional_fields_and_contain_unknown_ones() {
    let minimal = r#"{"tree":"n-1","address":"10.0.0.1:1","breed":"g8","grove":"a","windfall":false,"season":1,"ring":2,"staff":3,"new":true}"#;
    let read: Heartbeat = serde_json::from_str(minimal).expect("a readable heartbeat");
    assert!(
        read.interruption_notice_s.is_none() && read.tasks.is_empty(),
        "an omitted field has no default"
    );
    let unknown = r#"{"nut":"req-1/0","try":1,"stage":"dreaming","cause":"weather"}"#;
    let read: TaskStatus = serde_json::from_str(unknown).expect("a readable task status");
    assert!(
        read.state == TaskState::Other && read.cause == Some(ExitReason::Other),
        "unknown values aren't read as Other"
    );
}

/// Parses submissions with a distinct value in every field, and with the values that the first one
/// leaves out.
#[test]
fn submission_fields_are_parsed_into_the_job_spec() {
    let body = r#"{"ref":"req-000001","shell":"train","crew":"one","husk":"batch","rank":"high","nuts":7,
        "vcpus":2.5,"gpus":1.0,"memoryGb":4.0,"seed":"img-07","imageGb":6.25,"breeds":["t8","g8"],
        "grove":"a","together":true,"spread":false,"windfall":true,"ripenS":240.0,"stashS":30.0,
        "buryS":4.5,"harvestS":900.0}"#;
    let Ok((name, spec)) = parse_submission(body.as_bytes()) else {
        panic!("the submission is rejected")
    };
    assert!(name == JOB && spec == full_spec(), "a field differs after parsing");
    let dependent = body.replace("\"high\"", "\"low\"").replace("[\"t8\",\"g8\"]", "null");
    let dependent = dependent.replace("\"grove\":\"a\"", "\"grove\":null");
    let dependent = dependent
        .replace("\"together\":true,\"spread\":false", "\"together\":false,\"spread\":true");
    let dependent = dependent.replace("\"windfall\":true", "\"windfall\":false");
    let dependent =
        dependent.replace("900.0", "null,\"waits\":[\"req-000002\",\"req-000003\",\"req-000002\"]");
    let Ok((_, spec)) = parse_submission(dependent.as_bytes()) else {
        panic!("the submission is rejected")
    };
    assert!(
        spec == spec_with_dependencies(),
        "a field of the job with dependencies differs after parsing"
    );
}

#[test]
fn chunk_size_for_each_value_limit_is_unchanged() {
    let sizes: Vec<u32> = [96, 512, 2_048, 4_096, 8_192, 65_536].map(chunk_size).to_vec();
    assert_eq!(sizes, [1, 8, 40, 83, 168, 200]);
}
