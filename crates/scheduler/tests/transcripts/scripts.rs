//! Scripts for the transcript tests. Every run of a script is identical, since all random decisions
//! come from a generator with a fixed seed.

use std::collections::BTreeMap;
use std::rc::Rc;

use serde_json::json;
use walnutlug_scheduler::command::{Command, MessageOutcome, TransactionOutcome};
use walnutlug_scheduler::leadership::cancellation_log::{
    CancellationLog, Incarnation, LogEntries, LogIndex,
};
use walnutlug_scheduler::leadership::election::{ElectionEvent, Leadership, Role};
use walnutlug_scheduler::leadership::fencing_token::Term;
use walnutlug_scheduler::leadership::watermark::{RequestId, Watermark};
use walnutlug_scheduler::model::ids::Attempt;
use walnutlug_scheduler::model::job_spec::{JobEnd, JobSpec, Priority};
use walnutlug_scheduler::model::team::Team;
use walnutlug_scheduler::protocol::cloud::{CloudMachineState, ListedMachine};
use walnutlug_scheduler::protocol::key_value::KeyValue;
use walnutlug_scheduler::protocol::workers::{ExitReason, TaskState};
use walnutlug_scheduler::reconciliation::heartbeats::HeartbeatAnswer;
use walnutlug_scheduler::storage::keys;
use walnutlug_scheduler::storage::transactions::TransactionLimits;
use walnutlug_scheduler::time::{TimeDelta, Timestamp};
use walnutlug_scheduler::tunables::{Objective, Site};

use crate::world::golden::SeededRng;
use crate::world::{site, spec, transcript, Worker, World};

const PRODUCTION_RECORDS: &str = include_str!("../fixtures/production-records.json");

fn job_name(index: usize) -> String {
    format!("req-{index:06}")
}

/// Builds a world whose machines alternate between the zones `a` and `b`.
fn world_with_machines(site: Site, machines: usize) -> World {
    let names: Vec<String> = (0..machines).map(|i| format!("n-{i:03}")).collect();
    let zones = ["a", "b"];
    let machines: Vec<(&str, &str)> =
        names.iter().enumerate().map(|(i, n)| (n.as_str(), zones[i % 2])).collect();
    World::with_site(site, &machines)
}

fn team(name: &str, cpus: f64, cpus_max: f64) -> Team {
    Team { name: name.into(), cpus, cpus_max, gpus: 0.0, gpus_max: 0.0 }
}

/// Lets each live task exit with a probability of `percent` in a hundred, for a random one of the
/// reasons in `causes`.
fn exit_random_tasks(
    world: &mut World,
    rng: &mut SeededRng,
    percent: usize,
    causes: &[ExitReason],
) {
    for worker in world.workers.values_mut().filter(|worker| worker.alive) {
        for state in worker.tasks.values_mut().filter(|state| state.0 != TaskState::Exited) {
            if rng.chance(percent) {
                *state = (TaskState::Exited, Some(causes[rng.below(causes.len())]));
            }
        }
    }
}

/// Executes the leader's commands. Commits and messages are lost with a probability of `percent` in
/// a hundred, and half of the lost ones take effect nevertheless. Commits are also rejected, half
/// as often as they are lost.
fn execute_commands_with_losses(world: &mut World, rng: &mut SeededRng, percent: usize) {
    for command in std::mem::take(&mut world.commands) {
        match command {
            Command::Commit { id, .. } if rng.chance(percent / 2) => {
                transcript::count("commit refused", 1);
                world.leader.transaction_answered(world.now, id, TransactionOutcome::Rejected);
            }
            Command::Commit { id, transaction } if rng.chance(percent) => {
                transcript::count("commit lost", 1);
                if rng.chance(50) {
                    world.store.apply(&transaction);
                }
                world.leader.transaction_answered(world.now, id, TransactionOutcome::Indeterminate);
            }
            Command::SendToWorker { machine, token, agent_epoch, calls, .. }
                if rng.chance(percent) =>
            {
                transcript::count("direct lost", 1);
                let name = world.leader.cluster.machines[machine].name.clone();
                if rng.chance(50) {
                    if let Some(worker) = world.workers.get_mut(&name) {
                        worker.run_commands(token, agent_epoch, &calls);
                    }
                }
                let outcome = if rng.chance(80) {
                    MessageOutcome::Indeterminate
                } else {
                    MessageOutcome::NotSent
                };
                world.leader.message_answered(world.now, machine, outcome);
            }
            // Finds only some of the jobs or none; the leader must ask for the others again.
            Command::FindJobEnds { names } if rng.chance(70) => {
                transcript::count("find-ends answered in part", 1);
                let known = rng.below(2) * names.len() / 2;
                let found = world.store.ends(&names[..known]);
                world.leader.job_ends_found(world.now, &found);
            }
            command => {
                world.commands.push(command);
                world.execute_commands();
            }
        }
    }
}

/// Array jobs start and end while commits and messages are lost or rejected.
pub fn task_starts() {
    let mut world = world_with_machines(site(), 6);
    let mut rng = SeededRng::new(1);
    for round in 0..60 {
        if round % 4 == 0 && round < 40 {
            let tasks = 1 + rng.below(14) as u32;
            let priority = [Priority::Low, Priority::Normal, Priority::High][rng.below(3)];
            let team = ["one", "capped"][rng.below(2)].to_owned();
            let zone = rng.chance(20).then(|| "b".to_owned());
            let (one_zone, spread) = [(false, false), (true, false), (false, true)][rng.below(3)];
            let job = JobSpec { priority, team, zone, one_zone, spread, ..spec(tasks) };
            world.submit(&job_name(round), &job);
        }
        for _ in 0..3 {
            world.tick();
            execute_commands_with_losses(&mut world, &mut rng, 12);
        }
        exit_random_tasks(&mut world, &mut rng, 25, &[ExitReason::Done]);
        world.send_all_heartbeats();
        world.wait(600);
    }
    world.run_to_completion();
}

/// Job chains and diamonds, dependencies on jobs that were never submitted, cancellations that
/// propagate along a chain, changes of leader, and commits whose answers are lost.
pub fn job_chains() {
    let mut world = world_with_machines(site(), 4);
    let mut rng = SeededRng::new(2);
    let dependencies = |names: &[usize]| names.iter().map(|&n| job_name(n)).collect::<Vec<_>>();
    for index in 0..40usize {
        let needed: Vec<usize> = match index % 8 {
            0 => vec![],
            1 | 2 => vec![index - 1],
            3 => vec![index - 2, index - 1],
            4 => vec![index - 4, index - 1],
            5 => vec![index - 5, 900 + index],
            _ => vec![index - 1, index - 1],
        };
        let priority = if index % 8 == 7 { Priority::High } else { Priority::Low };
        let deadline_s = (index % 3 == 0).then_some(40.0);
        let job = JobSpec {
            dependencies: dependencies(&needed),
            priority,
            deadline_s,
            ..spec(1 + index as u32 % 3)
        };
        world.submit(&job_name(index), &job);
    }
    for round in 0..70 {
        for _ in 0..2 {
            world.tick();
            execute_commands_with_losses(&mut world, &mut rng, 10);
        }
        exit_random_tasks(&mut world, &mut rng, 30, &[ExitReason::Done]);
        if round % 15 == 14 {
            world.cancel_job_if_open(&job_name(8 * (round / 15)));
        }
        if round % 23 == 22 {
            world.take_over_as(round == 45);
        }
        if round == 50 {
            world.store.put(&keys::end(&job_name(905)), json!("done"));
            world.leader.job_ended(world.now, &job_name(905), JobEnd::Done);
        }
        world.send_all_heartbeats();
        world.wait(700);
    }
    world.run_to_completion();
}

/// Jobs in every stage are cancelled, also during an outage in which the leader learns nothing from
/// the store or its peers, and a worker loses its lease.
pub fn cancellations() {
    let mut world = world_with_machines(site(), 6);
    let mut rng = SeededRng::new(3);
    for round in 0..80 {
        if round < 60 && round % 2 == 0 {
            let checkpoint_s = if rng.chance(50) { 5.0 } else { 0.0 };
            let job = JobSpec { checkpoint_s, save_s: 2.0, ..spec(1 + rng.below(8) as u32) };
            world.submit(&job_name(round), &job);
        }
        world.tick();
        if rng.chance(40) {
            world.cancel_job_if_open(&job_name(2 * rng.below(30)));
        }
        execute_commands_with_losses(&mut world, &mut rng, 15);
        exit_random_tasks(
            &mut world,
            &mut rng,
            8,
            &[ExitReason::Done, ExitReason::Done, ExitReason::Error],
        );
        match round {
            20 => world.workers.get_mut("n-002").expect("a known worker").expire_lease(),
            30 => world.cut_off = true,
            50 => world.cut_off = false,
            _ => {}
        }
        world.send_all_heartbeats();
        world.wait(700);
    }
    world.run_to_completion();
}

/// The leader is replaced repeatedly while commits and messages are lost and machines terminate.
pub fn failovers() {
    let mut world = world_with_machines(site(), 8);
    let mut rng = SeededRng::new(4);
    for round in 0..90 {
        if round < 60 && round % 3 == 0 {
            world.submit(&job_name(round), &spec(1 + rng.below(10) as u32));
        }
        for _ in 0..2 {
            world.tick();
            execute_commands_with_losses(&mut world, &mut rng, 10);
        }
        if rng.chance(12) {
            transcript::line("next leader", "");
            world.take_over();
            for worker in world.workers.values() {
                world.leader.cluster.hint_address(world.now, &worker.name, "10.0.0.1:1");
            }
        }
        if round == 35 || round == 55 {
            let name = format!("n-{:03}", round / 10);
            let worker = world.workers.get_mut(&name).expect("a known worker");
            worker.alive = false;
            worker.tasks.clear();
            world.leader.machine_gone(world.now, &name);
        }
        exit_random_tasks(&mut world, &mut rng, 15, &[ExitReason::Done]);
        world.send_all_heartbeats();
        world.wait(500);
    }
    world.run_to_completion();
}

/// Jobs of all priorities overload a small fleet, so that urgent tasks preempt others.
pub fn preemption() {
    let teams = vec![team("one", 8.0, 0.0), team("two", 0.0, 60.0)];
    let mut world = world_with_machines(Site { teams, ..site() }, 10);
    world.leader.autoscaler.machine_list_read = true;
    let mut rng = SeededRng::new(5);
    for step in 0..160usize {
        if step % 2 == 0 && step < 120 {
            let priority =
                [Priority::Normal, Priority::High, Priority::Low, Priority::Prod][step / 2 % 4];
            let cpus = [1.0, 2.0, 4.0, 8.0][rng.below(4)];
            let team = ["one", "two"][step / 2 % 2].to_owned();
            let (checkpoint_s, save_s) = if rng.chance(30) { (3.0, 1.0) } else { (0.0, 0.0) };
            let job = JobSpec {
                priority,
                cpus,
                team,
                checkpoint_s,
                save_s,
                one_zone: rng.chance(20),
                deadline_s: Some(7.0),
                ..spec(1 + rng.below(24) as u32)
            };
            world.submit(&job_name(step), &job);
        }
        exit_random_tasks(&mut world, &mut rng, 6, &[ExitReason::Done]);
        world.send_all_heartbeats();
        world.tick();
        world.autoscale();
        world.execute_commands();
        world.wait(250);
    }
}

/// One team submits far more than the fleet can run, next to teams with a guaranteed quota, with a
/// limit and with neither. The leader changes during the overload.
pub fn overload_with_fair_share() {
    let teams = vec![
        team("one", 0.0, 0.0),
        team("two", 30.0, 0.0),
        team("capped", 0.0, 12.0),
        team("free", 0.0, 0.0),
    ];
    let mut world = world_with_machines(Site { teams, ..site() }, 16);
    world.leader.autoscaler.machine_list_read = true;
    let mut rng = SeededRng::new(6);
    let mut overloaded_seconds = 0;
    for second in 0..70usize {
        let job = |team: &str, class: &str, priority| JobSpec {
            team: team.into(),
            class: class.into(),
            priority,
            estimate_s: 5.0,
            deadline_s: Some(12.0),
            ..spec(8)
        };
        for index in 0..5 {
            world.submit(&job_name(10 * second + index), &job("one", "flood", Priority::High));
        }
        if second % 5 == 4 {
            for (index, team) in ["two", "capped", "free"].into_iter().enumerate() {
                let class = ["fix", "sheets"][rng.below(2)];
                let job = JobSpec { cpus: 3.0, ..job(team, class, Priority::Normal) };
                world.submit(&job_name(10 * second + 5 + index), &job);
            }
        }
        if second == 40 {
            world.take_over();
            world.leader.autoscaler.machine_list_read = true;
            world.send_all_heartbeats();
        }
        exit_random_tasks(&mut world, &mut rng, 25, &[ExitReason::Done]);
        world.send_all_heartbeats();
        for _ in 0..3 {
            world.wait(250);
            world.tick();
            world.autoscale();
            world.execute_commands();
        }
        overloaded_seconds += u64::from(world.leader.fair_share.is_active());
    }
    transcript::count("seconds with an overload shared", overloaded_seconds);
    assert!(overloaded_seconds > 10, "the flood didn't cause an overload");
}

/// A fake cloud API: rented machines take time to boot, requests may fail or be filled only in
/// part, and machines terminate.
struct FakeCloud {
    last_number: usize,
    /// Rented machines that aren't up yet, each with the time at which it will be.
    booting: Vec<(Timestamp, Worker)>,
    /// The machine list: name, whether it is a spot machine, zone and state.
    listed: BTreeMap<String, (bool, String, CloudMachineState)>,
}

impl FakeCloud {
    fn new(world: &World) -> FakeCloud {
        let listed = world.workers.values().map(|worker| {
            (worker.name.clone(), (false, worker.zone.clone(), CloudMachineState::Running))
        });
        FakeCloud { last_number: 0, booting: Vec::new(), listed: listed.collect() }
    }

    /// Executes the leader's commands. Requests to rent or return machines sometimes fail or are
    /// filled only in part.
    fn execute_commands(&mut self, world: &mut World, rng: &mut SeededRng) {
        let mut others = Vec::new();
        for command in std::mem::take(&mut world.commands) {
            match command {
                Command::ScaleOut { kind, zone, spot, count } => {
                    let answer = match rng.below(10) {
                        0 => Err(()),
                        1 => Ok(Vec::new()),
                        2 => Ok(self.scale_out(world.now, &zone, spot, count / 2)),
                        _ => Ok(self.scale_out(world.now, &zone, spot, count)),
                    };
                    world.leader.scale_out_answered(world.now, &kind, &zone, spot, count, answer);
                }
                Command::ScaleIn { machines } => {
                    let done = rng.chance(80);
                    for name in machines.iter().filter(|_| done) {
                        world.workers.remove(name);
                        self.booting.retain(|(_, worker)| worker.name != *name);
                        self.listed.remove(name);
                    }
                    world.leader.scale_in_answered(world.now, &machines, done);
                }
                command => others.push(command),
            }
        }
        world.commands = others;
        world.execute_commands();
    }

    /// Rents machines that are up five seconds later, and returns their names.
    fn scale_out(&mut self, now: Timestamp, zone: &str, spot: bool, count: u32) -> Vec<String> {
        let mut names = Vec::new();
        for _ in 0..count {
            self.last_number += 1;
            let name = format!("x-{:03}", self.last_number);
            let worker = Worker { spot, ..Worker::new(&name, zone) };
            self.booting.push((now + TimeDelta::from_secs(5), worker));
            self.listed.insert(name.clone(), (spot, zone.to_owned(), CloudMachineState::Booting));
            names.push(name);
        }
        names
    }

    /// Advances the cloud: machines finish booting, spot machines get an interruption notice and
    /// terminate, other machines fail, and the leader receives the machine list.
    fn advance(&mut self, world: &mut World, rng: &mut SeededRng) {
        let now = world.now;
        for (_, worker) in self.booting.extract_if(.., |(at, _)| *at <= now) {
            self.listed.get_mut(&worker.name).expect("a listed machine").2 =
                CloudMachineState::Running;
            world.workers.insert(worker.name.clone(), worker);
        }
        for worker in world.workers.values_mut().filter(|worker| worker.alive) {
            match worker.interruption_at {
                None if worker.spot && rng.chance(2) => worker.interruption_at = Some(6.0),
                None if rng.below(1_000) < 4 => worker.terminate(&mut self.listed),
                Some(left) if left <= 1.0 => worker.terminate(&mut self.listed),
                Some(left) => worker.interruption_at = Some(left - 1.0),
                None => {}
            }
        }
        let entry = |(name, (spot, zone, stage)): (&String, &(bool, String, CloudMachineState))| {
            ListedMachine {
                name: name.clone(),
                address: Some("10.0.0.1:1".into()),
                kind: "t8".into(),
                zone: zone.clone(),
                spot: *spot,
                stage: *stage,
                age_s: 9.0,
            }
        };
        let list: Vec<ListedMachine> = self.listed.iter().map(entry).collect();
        world.leader.machine_list(now, &list);
    }
}

impl Worker {
    /// Terminates the machine without a request of the leader; the machine list shows it as failed.
    fn terminate(&mut self, listed: &mut BTreeMap<String, (bool, String, CloudMachineState)>) {
        transcript::count("machines that ended by themselves", 1);
        self.alive = false;
        self.tasks.clear();
        if let Some(entry) = listed.get_mut(&self.name) {
            entry.2 = CloudMachineState::Failed;
        }
    }
}

/// The fleet grows with the workload and shrinks after it, in two zones, with spot and on-demand
/// machines, interruption notices, machine failures, rejected requests, an objective for start
/// times and a change of leader.
pub fn scale_out_and_in() {
    let within = TimeDelta::from_secs(3);
    let objectives = vec![Objective::Wait { class: "quick".into(), within }];
    let mut world = world_with_machines(Site { objectives, ..site() }, 2);
    let mut rng = SeededRng::new(7);
    let mut cloud = FakeCloud::new(&world);
    for second in 0..150usize {
        if second < 90 && second % 5 == 0 {
            let quick = rng.chance(30);
            let job = JobSpec {
                class: if quick { "quick" } else { "c" }.into(),
                priority: if quick { Priority::High } else { Priority::Normal },
                cpus: [1.0, 2.0, 8.0][rng.below(3)],
                spot: rng.chance(70),
                zone: rng.chance(20).then(|| "b".to_owned()),
                estimate_s: 8.0,
                deadline_s: Some(15.0),
                ..spec(1 + rng.below(30) as u32)
            };
            world.submit(&job_name(second), &job);
        }
        if second == 60 {
            world.take_over();
        }
        cloud.advance(&mut world, &mut rng);
        exit_random_tasks(&mut world, &mut rng, 12, &[ExitReason::Done]);
        world.send_all_heartbeats();
        for _ in 0..2 {
            world.wait(400);
            world.tick();
            world.autoscale();
            cloud.execute_commands(&mut world, &mut rng);
        }
    }
}

/// Tasks exit for different reasons, and three machines fail every task that they are given.
pub fn failing_machines() {
    let mut world = world_with_machines(site(), 8);
    let mut rng = SeededRng::new(8);
    let causes = [
        ExitReason::Done,
        ExitReason::Error,
        ExitReason::NoRoom,
        ExitReason::InUse,
        ExitReason::Unknown,
    ];
    for round in 0..50 {
        if round < 30 && round % 2 == 0 {
            world.submit(&job_name(round), &spec(4 + rng.below(8) as u32));
        }
        for _ in 0..2 {
            world.tick();
            world.autoscale();
            execute_commands_with_losses(&mut world, &mut rng, 4);
        }
        for worker in world.workers.values_mut().take(3) {
            let live = worker.tasks.values_mut().filter(|state| state.0 != TaskState::Exited);
            live.for_each(|state| *state = (TaskState::Exited, Some(ExitReason::Error)));
        }
        exit_random_tasks(&mut world, &mut rng, 20, &causes);
        world.send_all_heartbeats();
        world.wait(500);
    }
}

/// The limits of the key-value store are lowered while a large array job runs, and again before the
/// answer to a transaction.
pub fn decreasing_store_limits() {
    let job = job_name(1);
    let mut world = world_with_machines(site(), 40);
    let mut rng = SeededRng::new(9);
    world.submit_in_chunks(&job, &spec(160), 168);
    world.settle();
    let lower_limits = |world: &mut World, bytes: usize, operations: usize| {
        world.store.limits = Some((bytes, operations));
        world.leader.set_limits(TransactionLimits { value_bytes: bytes, operations });
    };
    lower_limits(&mut world, 2_048, 4);
    for round in 0..10 {
        exit_random_tasks(&mut world, &mut rng, 8, &[ExitReason::Done]);
        if round % 3 == 1 {
            world.take_over();
        }
        world.send_all_heartbeats();
        for _ in 0..3 {
            world.tick();
            execute_commands_with_losses(&mut world, &mut rng, 10);
        }
        world.wait(3_000);
    }
    // The store rejects a transaction as too large before the leader learns the new limits.
    world.submit_in_chunks(&job_name(2), &spec(60), 168);
    world.store.limits = Some((700, 2));
    world.tick();
    world.execute_commands();
    lower_limits(&mut world, 700, 2);
    world.run_to_completion();
}

/// A leader loads the records of the previous version, runs their jobs to completion and deletes
/// them. Leadership then alternates between the two versions.
pub fn records_of_previous_version() {
    let mut world = World::new(&[("n-000001", "a"), ("n-000002", "b")]);
    let records: Vec<KeyValue> =
        serde_json::from_str(PRODUCTION_RECORDS).expect("the fixture is a list of records");
    for key_value in records.into_iter().filter(|key_value| key_value.key != keys::LEADER) {
        world.store.put(&key_value.key, key_value.value);
    }
    for (machine, task) in [
        ("n-000001", "req-000001/2"),
        ("n-000001", "req-000001/3"),
        ("n-000002", "req-000001/4"),
        ("n-000001", "req-000002/0"),
        ("n-000001", "req-000002/1"),
    ] {
        let worker = world.workers.get_mut(machine).expect("a known worker");
        worker.tasks.insert((task.to_owned(), Attempt(1)), (TaskState::Running, None));
    }
    world.take_over();
    world.send_all_heartbeats();
    world.run_to_completion();
    world.submit_in_chunks(&job_name(11), &spec(3), 168);
    world.submit(&job_name(12), &JobSpec { dependencies: vec![job_name(11)], ..spec(3) });
    for turn in 0..8 {
        world.take_over_as(turn % 3 != 2);
        world.send_all_heartbeats();
        world.send_all_heartbeats();
        if turn == 4 {
            for (task, machines) in world.places() {
                world.finish(&machines[0], &task);
            }
        }
        world.settle();
    }
    world.take_over();
    world.send_all_heartbeats();
    world.run_to_completion();
}

/// Jobs fill 4,200 machines, some tasks end, some machines are lost, and another leader takes over.
pub fn large_fleet() {
    let names: Vec<String> = (0..4_200).map(|i| format!("n-{i:06}")).collect();
    let machines: Vec<(&str, &str)> = names.iter().map(|n| (n.as_str(), "a")).collect();
    let mut world = World::new(&machines);
    let mut rng = SeededRng::new(10);
    for index in 0..84 {
        world.submit(&job_name(index), &spec(200));
    }
    let run_ticks = |world: &mut World, ticks: usize| {
        for _ in 0..ticks {
            world.tick();
            world.execute_commands();
        }
    };
    run_ticks(&mut world, 30);
    exit_random_tasks(&mut world, &mut rng, 5, &[ExitReason::Done]);
    for name in names.iter().step_by(600) {
        let worker = world.workers.get_mut(name).expect("a known worker");
        worker.alive = false;
        worker.tasks.clear();
        world.leader.machine_gone(world.now, name);
    }
    world.send_all_heartbeats();
    run_ticks(&mut world, 4);
    world.send_all_heartbeats();
    run_ticks(&mut world, 4);
    world.take_over();
    for name in &names {
        world.leader.cluster.hint_address(world.now, name, "10.0.0.1:1");
    }
    run_ticks(&mut world, 6);
    world.send_all_heartbeats();
    run_ticks(&mut world, 4);
}

/// Leader election, the cancellation log and the watermark process random sequences of events.
pub fn leadership_and_watermark() {
    let mut rng = SeededRng::new(11);
    let mut leadership = Leadership::default();
    let mut log = CancellationLog::new(&site());
    let mut watermark = Watermark::new(["p".to_owned(), "q".to_owned()]);
    let mut now = Timestamp(1 << 40);
    for step in 0..1_500u64 {
        transcript::next_step();
        now = now + TimeDelta::from_millis(rng.below(900) as u64);
        let term = Term(1 + rng.below(3) as u64);
        let changed = match rng.below(7) {
            0 => leadership.step(now, ElectionEvent::Vacant),
            1 => leadership.step(now, ElectionEvent::Won { term }),
            2 => leadership.step(now, ElectionEvent::Failed),
            3 | 4 => leadership.step(now, ElectionEvent::Loaded { term }),
            5 => leadership.step(now, ElectionEvent::Lost),
            _ => {
                leadership.back_off(now, TimeDelta::from_secs(2));
                false
            }
        };
        let role = match leadership.role() {
            Role::Follower => "follows".to_owned(),
            Role::Candidate => "campaigns".to_owned(),
            Role::Loading { term } => format!("loads {term}"),
            Role::Leader { term } => format!("leads {term}"),
        };
        transcript::line("role", &format!("{role} changed={changed}"));
        let node = ["p", "q"][rng.below(2)];
        let incarnation = Incarnation(1 + step / 400 + u64::from(rng.chance(10)));
        match rng.below(8) {
            0 => log.append(now, &job_name(step as usize)),
            1 => log.peer_seen(node, incarnation),
            2 => log.acknowledged(node, incarnation, LogIndex(rng.below(60) as u64)),
            3 => watermark.request_sent(now, RequestId(step)),
            4 => watermark.request_answered(
                now,
                node,
                incarnation,
                LogIndex(rng.below(40) as u64),
                RequestId(step.saturating_sub(2)),
            ),
            5 => watermark.records_read(now),
            6 => watermark.peer_seen(now, node, incarnation),
            _ => {
                let first = LogIndex(rng.below(40) as u64);
                let up_to = watermark.entries_received(now, node, incarnation, first, 3);
                transcript::line("acknowledge", &up_to.map_or("-".into(), |n| n.0.to_string()));
            }
        }
        if let Some(LogEntries { first: LogIndex(first), jobs }) = log.entries_to_send(now, node) {
            transcript::line("tell", &format!("{node} from {first}: {}", jobs.join(" ")));
        }
        let until = watermark.known_until(now).0;
        transcript::line("known", &format!("last={} until={until}", log.last().0));
    }
}

/// An overload while fair sharing is disabled by the tunable `shared_order`.
pub fn overload_without_fair_share() {
    let teams = vec![team("one", 0.0, 0.0), team("two", 0.0, 0.0)];
    let mut world = world_with_machines(Site { teams, ..site() }, 6);
    let mut tunables = (*world.leader.tunables).clone();
    tunables.shared_order = false;
    world.leader.tunables = Rc::new(tunables);
    world.leader.autoscaler.machine_list_read = true;
    let mut rng = SeededRng::new(12);
    for second in 0..40usize {
        for (index, team) in ["one", "one", "one", "two"].into_iter().enumerate() {
            let job = JobSpec { team: team.into(), deadline_s: Some(9.0), ..spec(6) };
            world.submit(&job_name(10 * second + index), &job);
        }
        exit_random_tasks(&mut world, &mut rng, 25, &[ExitReason::Done]);
        world.send_all_heartbeats();
        world.tick();
        world.autoscale();
        world.execute_commands();
        world.wait(900);
    }
}

/// Chains of different lengths and jobs without dependencies compete for two machines. The urgency
/// of a chain follows from the deadline and priority of its last job.
pub fn competing_chains() {
    let mut world = world_with_machines(site(), 2);
    let mut rng = SeededRng::new(13);
    let mut last = 0;
    for round in 0..90usize {
        if round < 50 && round % 2 == 0 {
            let steps = 1 + rng.below(4);
            for step in 0..steps {
                let dependencies = if step == 0 { Vec::new() } else { vec![job_name(last)] };
                let is_last = step + 1 == steps;
                let deadline_s = is_last.then(|| 20.0 + rng.below(120) as f64);
                let priority =
                    if is_last && rng.chance(15) { Priority::High } else { Priority::Normal };
                let estimate_s = 4.0 + rng.below(9) as f64;
                let tasks = 1 + rng.below(3) as u32;
                last += 1;
                let job = JobSpec { dependencies, priority, deadline_s, estimate_s, ..spec(tasks) };
                world.submit(&job_name(last), &job);
            }
        }
        world.tick();
        world.autoscale();
        execute_commands_with_losses(&mut world, &mut rng, 5);
        exit_random_tasks(&mut world, &mut rng, 30, &[ExitReason::Done]);
        if round == 45 {
            world.take_over();
        }
        world.send_all_heartbeats();
        world.wait(900);
    }
}

/// Jobs of classes with objectives for start or completion times overload a small fleet.
pub fn objectives() {
    let wait = |class: &str, within| Objective::Wait {
        class: class.into(),
        within: TimeDelta::from_secs(within),
    };
    let objectives = vec![
        wait("quick", 2),
        wait("quick", 9),
        wait("soon", 5),
        Objective::Deadline { class: "c".into(), times: 2.0 },
        Objective::Finished { class: "soon".into(), within: TimeDelta::from_secs(40) },
    ];
    let mut world = world_with_machines(Site { objectives, ..site() }, 3);
    let mut rng = SeededRng::new(14);
    for round in 0..160usize {
        if round < 120 {
            let class = ["quick", "soon", "c"][rng.below(3)].to_owned();
            let deadline_s = rng.chance(40).then(|| 5.0 + rng.below(60) as f64);
            let priority = [Priority::Normal, Priority::High][usize::from(rng.chance(20))];
            let estimate_s = 1.0 + rng.below(12) as f64;
            let job = JobSpec {
                class,
                deadline_s,
                priority,
                estimate_s,
                ..spec(1 + rng.below(6) as u32)
            };
            world.submit(&job_name(round), &job);
        }
        exit_random_tasks(&mut world, &mut rng, 22, &[ExitReason::Done]);
        world.send_all_heartbeats();
        world.tick();
        world.autoscale();
        world.execute_commands();
        world.wait(500);
    }
}

/// Spot machines get interruption notices 3 to 42 s ahead, with and without free capacity on other
/// machines, while they run tasks of different lengths.
pub fn interruption_notices() {
    let mut world = world_with_machines(site(), 12);
    let mut rng = SeededRng::new(15);
    for worker in world.workers.values_mut().skip(4) {
        worker.spot = true;
    }
    for second in 0..140usize {
        if second < 120 && (second < 6 || second % 3 == 0) {
            let estimate_s = [4.0, 15.0, 40.0, 90.0][rng.below(4)];
            let checkpoint_s = [0.0, 5.0][rng.below(2)];
            let job = JobSpec { estimate_s, checkpoint_s, deadline_s: Some(200.0), ..spec(4) };
            world.submit(&job_name(second), &job);
        }
        for worker in world.workers.values_mut().filter(|worker| worker.spot) {
            match worker.interruption_at {
                None if worker.alive && rng.chance(3) => {
                    worker.interruption_at = Some(3.0 + rng.below(40) as f64);
                }
                // The machine has terminated. About ten seconds later, another takes its place.
                Some(left) if left <= 1.0 => {
                    worker.alive = left < -9.0;
                    worker.interruption_at = (!worker.alive).then_some(left - 1.0);
                    worker.tasks.clear();
                    worker.agent_epoch.0 += u64::from(worker.alive);
                }
                Some(left) => worker.interruption_at = Some(left - 1.0),
                None => {}
            }
        }
        exit_random_tasks(&mut world, &mut rng, 4, &[ExitReason::Done]);
        world.send_all_heartbeats();
        for _ in 0..2 {
            world.wait(400);
            world.tick();
            world.autoscale();
            world.execute_commands();
        }
    }
}

/// Heartbeats that required no action are repeated, in and out of order, to the leader and to other
/// nodes.
pub fn repeated_heartbeats() {
    let mut world = world_with_machines(site(), 4);
    let mut rng = SeededRng::new(16);
    let names: Vec<String> = world.workers.keys().cloned().collect();
    let mut cache_entries = BTreeMap::new();
    for round in 0..300usize {
        if round % 20 == 0 {
            world.submit(&job_name(round), &spec(1 + rng.below(6) as u32));
        }
        if round == 150 {
            world.take_over();
        }
        world.tick();
        execute_commands_with_losses(&mut world, &mut rng, 5);
        exit_random_tasks(&mut world, &mut rng, 2, &[ExitReason::Done]);
        let now = world.now;
        for name in &names {
            let heartbeat = world.workers.get_mut(name).expect("a known worker").heartbeat();
            if rng.chance(50) {
                let answer = world.leader.handle_heartbeat(now, &heartbeat).ok();
                transcript::answer("whole", name, answer.as_ref());
                let Some(HeartbeatAnswer { token, commands: calls }) = answer else { continue };
                let worker = world.workers.get_mut(name).expect("a known worker");
                worker.receive_heartbeat_response(heartbeat.agent_epoch, token, &calls);
                let holder = rng.below(3) as u16;
                let revision = world.leader.cache_heartbeat(now, &heartbeat, holder);
                if let Some(revision) = revision {
                    let valid_for = world.leader.cached_for(now, revision).0;
                    let text = format!("{name} number={} valid-for={valid_for}", revision.number);
                    transcript::line("settled", &text);
                    cache_entries.insert(name.clone(), revision);
                }
            } else if let Some(&revision) = cache_entries.get(name) {
                let sequence = (heartbeat.sequence + 1).saturating_sub(rng.below(3) as u64);
                let token = world.leader.answer_repeated_heartbeat(now, revision, sequence);
                let token = token.map_or("-".to_owned(), |token| token.to_string());
                transcript::line("repeated", &format!("{name} sequence={sequence} {token}"));
                let recorded = world.leader.record_repeated_heartbeat(now, revision, sequence);
                transcript::line("repeated again", &format!("{name} {recorded}"));
            }
        }
        for invalidated in world.leader.cluster.take_invalidations() {
            let (holder, revision) = (invalidated.holder, invalidated.cached);
            let text =
                format!("holder={holder} machine={} number={}", revision.machine, revision.number);
            transcript::line("withdrawn", &text);
        }
        world.wait([300, 900, 4_000][usize::from(rng.chance(20)) + usize::from(rng.chance(5))]);
    }
}
