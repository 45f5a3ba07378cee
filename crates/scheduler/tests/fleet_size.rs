//! The scheduler at 4,200 machines: what a start, a failover, a change of every machine at once and the end
//! of an outage cost, in entries looked at, messages, transactions and bytes kept.

mod world;

use std::alloc::System;
use std::sync::{Mutex, MutexGuard, PoisonError};

use stats_alloc::{Region, StatsAlloc, INSTRUMENTED_SYSTEM};
use walnutlug_scheduler::command::{Command, TransactionOutcome};
use walnutlug_scheduler::model::job_spec::JobSpec;
use walnutlug_scheduler::model::task::TaskPhase;
use walnutlug_scheduler::scheduler::Scheduler;
use world::{spec, World};

/// Counts what the tests of this file allocate.
#[global_allocator]
static ALLOCATOR: &StatsAlloc<System> = &INSTRUMENTED_SYSTEM;

const MACHINES: usize = 4_200;
const TASKS_EACH: usize = 4;
const JOBS: usize = 84;
const TASKS_OF_A_JOB: u32 = 200;
/// What the registry may take for a machine with its tasks; when this was written it took 1,592.
const MAX_BYTES_A_MACHINE: usize = 2_000;

/// The tests run one at a time, since the allocator counts for all of them.
fn alone() -> MutexGuard<'static, ()> {
    static ONE_AT_A_TIME: Mutex<()> = Mutex::new(());
    ONE_AT_A_TIME.lock().unwrap_or_else(PoisonError::into_inner)
}

fn machine_names() -> Vec<String> {
    (0..MACHINES).map(|i| format!("n-{i:06}")).collect()
}

fn job_name(index: usize) -> String {
    format!("req-{index:06}")
}

/// A fleet of which every machine is full.
fn full_fleet() -> World {
    let names = machine_names();
    let machines: Vec<(&str, &str)> = names.iter().map(|n| (n.as_str(), "a")).collect();
    let mut world = World::new(&machines);
    for index in 0..JOBS {
        world.submit(&job_name(index), &JobSpec { cpus: 2.0, ..spec(TASKS_OF_A_JOB) });
    }
    for _ in 0..40 {
        world.settle();
    }
    world
}

fn running(world: &World) -> usize {
    world.workers.values().map(|worker| worker.live().len()).sum()
}

#[test]
fn every_machine_is_used_at_a_bounded_cost_in_looks_and_bytes() {
    let _alone = alone();
    let names = machine_names();
    let machines: Vec<(&str, &str)> = names.iter().map(|n| (n.as_str(), "a")).collect();
    let mut world = World::new(&machines);
    let before_jobs = world.leader.examined.machines;
    for index in 0..JOBS {
        world.submit(&job_name(index), &JobSpec { cpus: 2.0, ..spec(TASKS_OF_A_JOB) });
    }
    world.tick();
    let machines_examined = world.leader.examined.machines - before_jobs;
    assert!(
        machines_examined <= (JOBS * MACHINES) as u64,
        "a job looks at each machine once: {machines_examined}"
    );
    for _ in 0..40 {
        world.settle();
    }
    assert_eq!(running(&world), MACHINES * TASKS_EACH);
    let empty = Scheduler::new(
        world.leader.site.clone(),
        world.leader.tunables.clone(),
        world.leader.term,
        Vec::new(),
        world.now,
    );
    let leader = std::mem::replace(&mut world.leader, empty);
    let region = Region::new(ALLOCATOR);
    drop(leader);
    let held = region.change().bytes_deallocated;
    assert!(held < MACHINES * MAX_BYTES_A_MACHINE, "{held} bytes for {MACHINES} machines");
}

#[test]
fn a_new_leader_hears_of_every_machine_in_bounded_parts() {
    let _alone = alone();
    let mut world = full_fleet();
    world.take_over();
    for name in machine_names() {
        world.leader.cluster.hint_address(world.now, &name, "10.0.0.1:1");
    }
    let most_under_way = world.leader.site.max_messages_in_flight;
    let token = world.token_now();
    let mut messages = 0;
    for round in 0.. {
        let heard = world
            .leader
            .cluster
            .machines
            .iter()
            .filter(|m| m.fence.acknowledged() >= token)
            .count();
        assert!(round < 120, "{heard} are heard after {round} rounds, {messages} messages");
        world.wait(150);
        world.tick();
        let commands = std::mem::take(&mut world.commands);
        let direct = commands.iter().filter(|c| matches!(c, Command::SendToWorker { .. })).count();
        assert!(direct <= most_under_way, "{direct} messages at once");
        messages += direct;
        for command in commands {
            match command {
                Command::SendToWorker { machine, token, agent_epoch, calls, .. } => {
                    world.deliver(machine, token, agent_epoch, &calls);
                }
                Command::Commit { id, transaction } => {
                    let outcome = world.store.apply(&transaction);
                    world.leader.transaction_answered(world.now, id, outcome);
                }
                _ => {}
            }
        }
        if world.leader.cluster.machines.iter().all(|machine| machine.fence.acknowledged() >= token)
        {
            break;
        }
    }
    assert!(messages <= 3 * MACHINES, "{messages} messages");
    assert_eq!(running(&world), MACHINES * TASKS_EACH, "nothing was stopped or started anew");
}

#[test]
fn a_change_on_every_machine_at_once_looks_at_each_a_few_times() {
    let _alone = alone();
    let mut world = full_fleet();
    let places = world.places();
    let mut changed = std::collections::BTreeSet::new();
    for (task, machines) in &places {
        if changed.insert(machines[0].clone()) {
            world.finish(&machines[0], task);
        }
    }
    assert_eq!(changed.len(), MACHINES);
    let (looks, written) = (world.leader.examined.send_checks, world.store.store_revision);
    world.all_report();
    world.tick();
    let looked = world.leader.examined.send_checks - looks;
    assert!(looked <= 3 * MACHINES as u64, "{looked} looks for {MACHINES} reports");
    for _ in 0..10 {
        world.wait(1_000);
        world.settle();
    }
    let chunks: usize = world.leader.cluster.jobs.values().map(|job| job.chunks.len()).sum();
    let written = (world.store.store_revision.get() - written.get()) as usize;
    assert!(written <= 2 * chunks, "{written} transactions for {chunks} records");
    let recorded: usize =
        world.leader.cluster.jobs.values().map(|job| job.done as usize).sum::<usize>();
    assert_eq!(recorded, MACHINES);
}

#[test]
fn what_ended_in_an_outage_is_caught_up_in_few_transactions() {
    let _alone = alone();
    let mut world = full_fleet();
    let refuse = |world: &mut World| {
        world.tick();
        for command in std::mem::take(&mut world.commands) {
            if let Command::Commit { id, .. } = command {
                world.leader.transaction_answered(world.now, id, TransactionOutcome::Rejected);
            }
        }
    };
    for (task, machines) in world.places() {
        world.finish(&machines[0], &task);
    }
    for _ in 0..40 {
        world.wait(500);
        world.all_report();
        refuse(&mut world);
    }
    assert_eq!(running(&world), 0);
    let chunks: usize = world.leader.cluster.jobs.values().map(|job| job.chunks.len()).sum();
    let written = world.store.store_revision;
    for _ in 0..60 {
        world.wait(500);
        world.all_report();
        world.settle();
    }
    let ended = (0..JOBS).filter(|&index| world.end(&job_name(index)).is_some()).count();
    assert_eq!(ended, JOBS, "every job is recorded as done");
    let all_done = |job: &walnutlug_scheduler::model::job::Job| {
        job.tasks.iter().all(|task| task.phase == TaskPhase::Done)
    };
    assert!(world.leader.cluster.jobs.values().all(all_done));
    let written = (world.store.store_revision.get() - written.get()) as usize;
    assert!(written <= 2 * chunks + 2 * JOBS, "{written} transactions for {chunks} records");
}
