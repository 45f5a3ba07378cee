//! The scripts that are played in the scripted world. Each is the same at every run: what chance decides in
//! them follows from a fixed seed.

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

fn fleet_of(site: Site, machines: usize) -> World {
    let names: Vec<String> = (0..machines).map(|i| format!("n-{i:03}")).collect();
    let zones = ["a", "b"];
    let machines: Vec<(&str, &str)> =
        names.iter().enumerate().map(|(i, n)| (n.as_str(), zones[i % 2])).collect();
    World::of(site, &machines)
}

fn team(name: &str, cpus: f64, cpus_max: f64) -> Team {
    Team { name: name.into(), cpus, cpus_max, gpus: 0.0, gpus_max: 0.0 }
}

/// Every live task comes to an end of that kind with that chance.
fn some_tasks_end(world: &mut World, rng: &mut SeededRng, percent: usize, causes: &[ExitReason]) {
    for worker in world.workers.values_mut().filter(|worker| worker.alive) {
        for state in worker.tasks.values_mut().filter(|state| state.0 != TaskState::Exited) {
            if rng.chance(percent) {
                *state = (TaskState::Exited, Some(causes[rng.below(causes.len())]));
            }
        }
    }
}

/// Carries out what the leader wants done, but for the share of it that is lost or refused. What is lost
/// was carried out half of the time.
fn carry_out_with_losses(world: &mut World, rng: &mut SeededRng, percent: usize) {
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
                        worker.direct(token, agent_epoch, &calls);
                    }
                }
                let outcome = if rng.chance(80) {
                    MessageOutcome::Indeterminate
                } else {
                    MessageOutcome::NotSent
                };
                world.leader.message_answered(world.now, machine, outcome);
            }
            // What isn't answered, or not in whole, is asked again.
            Command::FindJobEnds { names } if rng.chance(70) => {
                transcript::count("find-ends answered in part", 1);
                let known = rng.below(2) * names.len() / 2;
                let found = world.store.ends(&names[..known]);
                world.leader.job_ends_found(world.now, &found);
            }
            command => {
                world.commands.push(command);
                world.carry_out();
            }
        }
    }
}

/// Arrays that start, end and fail, with lost and refused commits and messages on the way.
pub fn starts() {
    let mut world = fleet_of(site(), 6);
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
            carry_out_with_losses(&mut world, &mut rng, 12);
        }
        some_tasks_end(&mut world, &mut rng, 25, &[ExitReason::Done]);
        world.all_report();
        world.wait(600);
    }
    world.run_out();
}

/// Chains, diamonds, needs that nobody submitted, a cancellation that goes down a chain, changes of the
/// leader, and commits whose answers are lost.
pub fn chains() {
    let mut world = fleet_of(site(), 4);
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
            carry_out_with_losses(&mut world, &mut rng, 10);
        }
        some_tasks_end(&mut world, &mut rng, 30, &[ExitReason::Done]);
        if round % 15 == 14 {
            world.withdraw_if_open(&job_name(8 * (round / 15)));
        }
        if round % 23 == 22 {
            world.take_over_as(round == 45);
        }
        if round == 50 {
            world.store.put(&keys::end(&job_name(905)), json!("done"));
            world.leader.job_ended(world.now, &job_name(905), JobEnd::Done);
        }
        world.all_report();
        world.wait(700);
    }
    world.run_out();
}

/// Jobs of every stage are cancelled, by users and in outages, and their machines fall silent.
pub fn cancellations() {
    let mut world = fleet_of(site(), 6);
    let mut rng = SeededRng::new(3);
    for round in 0..80 {
        if round < 60 && round % 2 == 0 {
            let checkpoint_s = if rng.chance(50) { 5.0 } else { 0.0 };
            let job = JobSpec { checkpoint_s, save_s: 2.0, ..spec(1 + rng.below(8) as u32) };
            world.submit(&job_name(round), &job);
        }
        world.tick();
        if rng.chance(40) {
            world.withdraw_if_open(&job_name(2 * rng.below(30)));
        }
        carry_out_with_losses(&mut world, &mut rng, 15);
        some_tasks_end(
            &mut world,
            &mut rng,
            8,
            &[ExitReason::Done, ExitReason::Done, ExitReason::Error],
        );
        match round {
            20 => world.workers.get_mut("n-002").expect("worker").lease_ends(),
            30 => world.cut_off = true,
            50 => world.cut_off = false,
            _ => {}
        }
        world.all_report();
        world.wait(700);
    }
    world.run_out();
}

/// Leaders follow on one another while commits and messages are lost, and machines end for good.
pub fn failovers() {
    let mut world = fleet_of(site(), 8);
    let mut rng = SeededRng::new(4);
    for round in 0..90 {
        if round < 60 && round % 3 == 0 {
            world.submit(&job_name(round), &spec(1 + rng.below(10) as u32));
        }
        for _ in 0..2 {
            world.tick();
            carry_out_with_losses(&mut world, &mut rng, 10);
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
            let worker = world.workers.get_mut(&name).expect("worker");
            worker.alive = false;
            worker.tasks.clear();
            world.leader.machine_gone(world.now, &name);
        }
        some_tasks_end(&mut world, &mut rng, 15, &[ExitReason::Done]);
        world.all_report();
        world.wait(500);
    }
    world.run_out();
}

/// Work of three priorities crowds a small fleet, so that the urgent stops the other.
pub fn preemption() {
    let teams = vec![team("one", 8.0, 0.0), team("two", 0.0, 60.0)];
    let mut world = fleet_of(Site { teams, ..site() }, 10);
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
        some_tasks_end(&mut world, &mut rng, 6, &[ExitReason::Done]);
        world.all_report();
        world.tick();
        world.autoscale();
        world.carry_out();
        world.wait(250);
    }
}

/// A flood of one team beside guarantees and a limit, with a change of the leader in it.
pub fn floods() {
    let teams = vec![
        team("one", 0.0, 0.0),
        team("two", 30.0, 0.0),
        team("capped", 0.0, 12.0),
        team("free", 0.0, 0.0),
    ];
    let mut world = fleet_of(Site { teams, ..site() }, 16);
    world.leader.autoscaler.machine_list_read = true;
    let mut rng = SeededRng::new(6);
    let mut shared = 0;
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
            world.all_report();
        }
        some_tasks_end(&mut world, &mut rng, 25, &[ExitReason::Done]);
        world.all_report();
        for _ in 0..3 {
            world.wait(250);
            world.tick();
            world.autoscale();
            world.carry_out();
        }
        shared += u64::from(world.leader.fair_share.is_active());
    }
    transcript::count("seconds with an overload shared", shared);
    assert!(shared > 10, "the flood is an overload");
}

/// The cloud of a script: machines come after a while, or not at all, and go.
struct Cloud {
    next: usize,
    coming: Vec<(Timestamp, Worker)>,
    listed: BTreeMap<String, (bool, String, CloudMachineState)>,
}

impl Cloud {
    fn new(world: &World) -> Cloud {
        let listed = world.workers.values().map(|worker| {
            (worker.name.clone(), (false, worker.zone.clone(), CloudMachineState::Running))
        });
        Cloud { next: 0, coming: Vec::new(), listed: listed.collect() }
    }

    /// What the leader wants rented and returned is done, in part or not at all at times.
    fn carry_out(&mut self, world: &mut World, rng: &mut SeededRng) {
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
                        self.coming.retain(|(_, worker)| worker.name != *name);
                        self.listed.remove(name);
                    }
                    world.leader.scale_in_answered(world.now, &machines, done);
                }
                command => others.push(command),
            }
        }
        world.commands = others;
        world.carry_out();
    }

    fn scale_out(&mut self, now: Timestamp, zone: &str, spot: bool, count: u32) -> Vec<String> {
        let mut names = Vec::new();
        for _ in 0..count {
            self.next += 1;
            let name = format!("x-{:03}", self.next);
            let worker = Worker { spot, ..Worker::new(&name, zone) };
            self.coming.push((now + TimeDelta::from_secs(5), worker));
            self.listed.insert(name.clone(), (spot, zone.to_owned(), CloudMachineState::Booting));
            names.push(name);
        }
        names
    }

    /// Machines come up, spot machines get notice and go, one fails, and the list is read.
    fn pass(&mut self, world: &mut World, rng: &mut SeededRng) {
        let now = world.now;
        for (_, worker) in self.coming.extract_if(.., |(at, _)| *at <= now) {
            self.listed.get_mut(&worker.name).expect("a listed machine").2 =
                CloudMachineState::Running;
            world.workers.insert(worker.name.clone(), worker);
        }
        for worker in world.workers.values_mut().filter(|worker| worker.alive) {
            match worker.interruption_at {
                None if worker.spot && rng.chance(2) => worker.interruption_at = Some(6.0),
                None if rng.below(1_000) < 4 => worker.stop(&mut self.listed),
                Some(left) if left <= 1.0 => worker.stop(&mut self.listed),
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
    /// It ends by itself; the list tells so.
    fn stop(&mut self, listed: &mut BTreeMap<String, (bool, String, CloudMachineState)>) {
        transcript::count("machines that ended by themselves", 1);
        self.alive = false;
        self.tasks.clear();
        if let Some(entry) = listed.get_mut(&self.name) {
            entry.2 = CloudMachineState::Failed;
        }
    }
}

/// The fleet grows with the work and shrinks after it, in two zones, on spot and ordinary machines, with
/// notices, failures, refusals, an objective, and a change of the leader.
pub fn scale_out_and_in() {
    let within = TimeDelta::from_secs(3);
    let objectives = vec![Objective::Wait { class: "quick".into(), within }];
    let mut world = fleet_of(Site { objectives, ..site() }, 2);
    let mut rng = SeededRng::new(7);
    let mut cloud = Cloud::new(&world);
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
        cloud.pass(&mut world, &mut rng);
        some_tasks_end(&mut world, &mut rng, 12, &[ExitReason::Done]);
        world.all_report();
        for _ in 0..2 {
            world.wait(400);
            world.tick();
            world.autoscale();
            cloud.carry_out(&mut world, &mut rng);
        }
    }
}

/// Tasks end for every cause there is; three machines fail whatever they are given.
pub fn failing_machines() {
    let mut world = fleet_of(site(), 8);
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
            carry_out_with_losses(&mut world, &mut rng, 4);
        }
        for worker in world.workers.values_mut().take(3) {
            let live = worker.tasks.values_mut().filter(|state| state.0 != TaskState::Exited);
            live.for_each(|state| *state = (TaskState::Exited, Some(ExitReason::Error)));
        }
        some_tasks_end(&mut world, &mut rng, 20, &causes);
        world.all_report();
        world.wait(500);
    }
}

/// The limits of the key-value store fall while a large array runs, and again before a transaction's answer.
pub fn falling_limits() {
    let job = job_name(1);
    let mut world = fleet_of(site(), 40);
    let mut rng = SeededRng::new(9);
    world.submit_in_chunks(&job, &spec(160), 168);
    world.settle();
    let fall = |world: &mut World, bytes: usize, operations: usize| {
        world.store.limits = Some((bytes, operations));
        world.leader.set_limits(TransactionLimits { value_bytes: bytes, operations });
    };
    fall(&mut world, 2_048, 4);
    for round in 0..10 {
        some_tasks_end(&mut world, &mut rng, 8, &[ExitReason::Done]);
        if round % 3 == 1 {
            world.take_over();
        }
        world.all_report();
        for _ in 0..3 {
            world.tick();
            carry_out_with_losses(&mut world, &mut rng, 10);
        }
        world.wait(3_000);
    }
    // The answer tells that it was too large before the leader hears of the limits.
    world.submit_in_chunks(&job_name(2), &spec(60), 168);
    world.store.limits = Some((700, 2));
    world.tick();
    world.carry_out();
    fall(&mut world, 700, 2);
    world.run_out();
}

/// Records that the former version wrote are taken over, done and cleaned up, and the lead goes to and fro
/// between the versions.
pub fn former_records() {
    let mut world = World::new(&[("n-000001", "a"), ("n-000002", "b")]);
    let records: Vec<KeyValue> = serde_json::from_str(PRODUCTION_RECORDS).expect("the fixture");
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
        let worker = world.workers.get_mut(machine).expect("worker");
        worker.tasks.insert((task.to_owned(), Attempt(1)), (TaskState::Running, None));
    }
    world.take_over();
    world.all_report();
    world.run_out();
    world.submit_in_chunks(&job_name(11), &spec(3), 168);
    world.submit(&job_name(12), &JobSpec { dependencies: vec![job_name(11)], ..spec(3) });
    for turn in 0..8 {
        world.take_over_as(turn % 3 != 2);
        world.all_report();
        world.all_report();
        if turn == 4 {
            for (task, machines) in world.places() {
                world.finish(&machines[0], &task);
            }
        }
        world.settle();
    }
    world.take_over();
    world.all_report();
    world.run_out();
}

/// 4,200 machines are filled, some work ends, some machines go, and another leader takes over.
pub fn large_fleet() {
    let names: Vec<String> = (0..4_200).map(|i| format!("n-{i:06}")).collect();
    let machines: Vec<(&str, &str)> = names.iter().map(|n| (n.as_str(), "a")).collect();
    let mut world = World::new(&machines);
    let mut rng = SeededRng::new(10);
    for index in 0..84 {
        world.submit(&job_name(index), &spec(200));
    }
    let play = |world: &mut World, ticks: usize| {
        for _ in 0..ticks {
            world.tick();
            world.carry_out();
        }
    };
    play(&mut world, 30);
    some_tasks_end(&mut world, &mut rng, 5, &[ExitReason::Done]);
    for name in names.iter().step_by(600) {
        let worker = world.workers.get_mut(name).expect("worker");
        worker.alive = false;
        worker.tasks.clear();
        world.leader.machine_gone(world.now, name);
    }
    world.all_report();
    play(&mut world, 4);
    world.all_report();
    play(&mut world, 4);
    world.take_over();
    for name in &names {
        world.leader.cluster.hint_address(world.now, name, "10.0.0.1:1");
    }
    play(&mut world, 6);
    world.all_report();
    play(&mut world, 4);
}

/// Who may lead, and what the nodes know of each other's cancellations, under any order of events.
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

/// Tunables other than the usual ones, for a script that plays with them.
pub fn unshared_flood() {
    let teams = vec![team("one", 0.0, 0.0), team("two", 0.0, 0.0)];
    let mut world = fleet_of(Site { teams, ..site() }, 6);
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
        some_tasks_end(&mut world, &mut rng, 25, &[ExitReason::Done]);
        world.all_report();
        world.tick();
        world.autoscale();
        world.carry_out();
        world.wait(900);
    }
}

/// Chains of unlike lengths press for room on two machines, each by its last step's deadline and priority,
/// beside jobs that stand alone.
pub fn pressed_chains() {
    let mut world = fleet_of(site(), 2);
    let mut rng = SeededRng::new(13);
    let mut last = 0;
    for round in 0..90usize {
        if round < 50 && round % 2 == 0 {
            let steps = 1 + rng.below(4);
            for step in 0..steps {
                let dependencies = if step == 0 { Vec::new() } else { vec![job_name(last)] };
                let ends = step + 1 == steps;
                let deadline_s = ends.then(|| 20.0 + rng.below(120) as f64);
                let priority =
                    if ends && rng.chance(15) { Priority::High } else { Priority::Normal };
                let estimate_s = 4.0 + rng.below(9) as f64;
                let tasks = 1 + rng.below(3) as u32;
                last += 1;
                let job = JobSpec { dependencies, priority, deadline_s, estimate_s, ..spec(tasks) };
                world.submit(&job_name(last), &job);
            }
        }
        world.tick();
        world.autoscale();
        carry_out_with_losses(&mut world, &mut rng, 5);
        some_tasks_end(&mut world, &mut rng, 30, &[ExitReason::Done]);
        if round == 45 {
            world.take_over();
        }
        world.all_report();
        world.wait(900);
    }
}

/// Classes that have to start or finish within a time crowd a small fleet.
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
    let mut world = fleet_of(Site { objectives, ..site() }, 3);
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
        some_tasks_end(&mut world, &mut rng, 22, &[ExitReason::Done]);
        world.all_report();
        world.tick();
        world.autoscale();
        world.carry_out();
        world.wait(500);
    }
}

/// Spot machines get notice long and short before they go, while there is room elsewhere and while there is
/// none, with tasks of all lengths.
pub fn notices() {
    let mut world = fleet_of(site(), 12);
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
                // It is gone, and another stands in its place some time later.
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
        some_tasks_end(&mut world, &mut rng, 4, &[ExitReason::Done]);
        world.all_report();
        for _ in 0..2 {
            world.wait(400);
            world.tick();
            world.autoscale();
            world.carry_out();
        }
    }
}

/// Reports that left nothing to do come again, in and out of their order, here and at another node.
pub fn repeated_reports() {
    let mut world = fleet_of(site(), 4);
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
        carry_out_with_losses(&mut world, &mut rng, 5);
        some_tasks_end(&mut world, &mut rng, 2, &[ExitReason::Done]);
        let now = world.now;
        for name in &names {
            let heartbeat = world.workers.get_mut(name).expect("worker").heartbeat();
            if rng.chance(50) {
                let answer = world.leader.handle_heartbeat(now, &heartbeat).ok();
                transcript::answer("whole", name, answer.as_ref());
                let Some(HeartbeatAnswer { token, commands: calls }) = answer else { continue };
                let worker = world.workers.get_mut(name).expect("worker");
                worker.answered(heartbeat.agent_epoch, token, &calls);
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
                let again = world.leader.record_repeated_heartbeat(now, revision, sequence);
                transcript::line("repeated again", &format!("{name} {again}"));
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
