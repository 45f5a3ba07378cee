//! The scheduler at 4,200 machines: the cost of starts, of a failover, of a change on every machine
//! at once and of the end of an outage, in entries examined, messages, transactions and bytes of
//! memory.

mod world;

use std::alloc::System;
use std::sync::{Mutex, MutexGuard, PoisonError};

use stats_alloc::{Region, StatsAlloc, INSTRUMENTED_SYSTEM};
use walnutlug_scheduler::command::{Command, TransactionOutcome};
use walnutlug_scheduler::model::job_spec::JobSpec;
use walnutlug_scheduler::model::task::TaskPhase;
use walnutlug_scheduler::scheduler::Scheduler;
use world::{spec, World};

/// Counts the memory that the tests of this file allocate.
#[global_allocator]
static ALLOCATOR: &StatsAlloc<System> = &INSTRUMENTED_SYSTEM;

const MACHINES: usize = 4_200;
const TASKS_PER_MACHINE: usize = 4;
const JOBS: usize = 84;
const TASKS_PER_JOB: u32 = 200;
/// Maximum memory that the registry may take per machine with its tasks, in bytes: about a quarter
/// above the 1,592 that its tables take.
const MAX_BYTES_PER_MACHINE: usize = 2_000;

/// Makes the tests run one at a time, since the allocator counts for all of them.
fn run_alone() -> MutexGuard<'static, ()> {
    static ONE_AT_A_TIME: Mutex<()> = Mutex::new(());
    ONE_AT_A_TIME.lock().unwrap_or_else(PoisonError::into_inner)
}

fn machine_names() -> Vec<String> {
    (0..MACHINES).map(|i| format!("n-{i:06}")).collect()
}

fn job_name(index: usize) -> String {
    format!("req-{index:06}")
}

/// A world in which every machine is full of running tasks.
fn full_fleet() -> World {
    let names = machine_names();
    let machines: Vec<(&str, &str)> = names.iter().map(|n| (n.as_str(), "a")).collect();
    let mut world = World::new(&machines);
    for index in 0..JOBS {
        world.submit(&job_name(index), &JobSpec { cpus: 2.0, ..spec(TASKS_PER_JOB) });
    }
    for _ in 0..40 {
        world.settle();
    }
    world
}

fn running_tasks(world: &World) -> usize {
    world.workers.values().map(|worker| worker.live().len()).sum()
}

#[test]
fn filling_the_fleet_examines_each_machine_once_per_job_in_bounded_memory() {
    let _alone = run_alone();
    let names = machine_names();
    let machines: Vec<(&str, &str)> = names.iter().map(|n| (n.as_str(), "a")).collect();
    let mut world = World::new(&machines);
    let before_jobs = world.leader.examined.machines;
    for index in 0..JOBS {
        world.submit(&job_name(index), &JobSpec { cpus: 2.0, ..spec(TASKS_PER_JOB) });
    }
    world.tick();
    let machines_examined = world.leader.examined.machines - before_jobs;
    assert!(
        machines_examined <= (JOBS * MACHINES) as u64,
        "each job examines each machine at most once: {machines_examined}"
    );
    for _ in 0..40 {
        world.settle();
    }
    assert_eq!(running_tasks(&world), MACHINES * TASKS_PER_MACHINE);
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
    assert!(held < MACHINES * MAX_BYTES_PER_MACHINE, "{held} bytes for {MACHINES} machines");
}

#[test]
fn a_new_leader_reaches_every_machine_with_a_bounded_number_of_messages() {
    let _alone = run_alone();
    let mut world = full_fleet();
    world.take_over();
    for name in machine_names() {
        world.leader.cluster.hint_address(world.now, &name, "10.0.0.1:1");
    }
    let max_in_flight = world.leader.site.max_messages_in_flight;
    let token = world.token_now();
    let mut messages = 0;
    for round in 0.. {
        let acknowledged = world
            .leader
            .cluster
            .machines
            .iter()
            .filter(|m| m.fence.acknowledged() >= token)
            .count();
        assert!(
            round < 120,
            "{acknowledged} acknowledged the leader after {round} rounds, {messages} messages"
        );
        world.wait(150);
        world.tick();
        let commands = std::mem::take(&mut world.commands);
        let sent = commands.iter().filter(|c| matches!(c, Command::SendToWorker { .. })).count();
        assert!(sent <= max_in_flight, "{sent} messages at once");
        messages += sent;
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
    assert_eq!(
        running_tasks(&world),
        MACHINES * TASKS_PER_MACHINE,
        "no task was stopped or started again"
    );
}

#[test]
fn a_change_on_every_machine_at_once_costs_a_few_checks_and_writes_each() {
    let _alone = run_alone();
    let mut world = full_fleet();
    let places = world.places();
    let mut changed = std::collections::BTreeSet::new();
    for (task, machines) in &places {
        if changed.insert(machines[0].clone()) {
            world.finish(&machines[0], task);
        }
    }
    assert_eq!(changed.len(), MACHINES);
    let (checks_before, written) = (world.leader.examined.send_checks, world.store.store_revision);
    world.send_all_heartbeats();
    world.tick();
    let checks = world.leader.examined.send_checks - checks_before;
    assert!(checks <= 3 * MACHINES as u64, "{checks} checks for {MACHINES} heartbeats");
    for _ in 0..10 {
        world.wait(1_000);
        world.settle();
    }
    let chunks: usize =
        world.leader.cluster.jobs.values().map(|job| job.chunks.recorded_count()).sum();
    let written = (world.store.store_revision.get() - written.get()) as usize;
    assert!(written <= 2 * chunks, "{written} transactions for {chunks} records");
    let recorded: usize =
        world.leader.cluster.jobs.values().map(|job| job.done as usize).sum::<usize>();
    assert_eq!(recorded, MACHINES);
}

#[test]
fn tasks_that_end_during_a_store_outage_are_recorded_in_few_transactions() {
    let _alone = run_alone();
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
        world.send_all_heartbeats();
        refuse(&mut world);
    }
    assert_eq!(running_tasks(&world), 0);
    let chunks: usize =
        world.leader.cluster.jobs.values().map(|job| job.chunks.recorded_count()).sum();
    let written = world.store.store_revision;
    for _ in 0..60 {
        world.wait(500);
        world.send_all_heartbeats();
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
