//! Memory of a leader and of its successors that hold many arrays of the largest size.

mod world;

use std::alloc::System;
use std::sync::{Mutex, MutexGuard, PoisonError};

use serde_json::{json, Value};
use stats_alloc::{Region, StatsAlloc, INSTRUMENTED_SYSTEM};
use walnutlug_scheduler::command::{Command, TransactionOutcome};
use walnutlug_scheduler::leadership::fencing_token::Term;
use walnutlug_scheduler::model::job_spec::{JobSpec, Priority};
use walnutlug_scheduler::protocol::key_value::{KeyValue, Operation};
use walnutlug_scheduler::scheduler::Scheduler;
use walnutlug_scheduler::storage::keys;
use walnutlug_scheduler::storage::loader::ChunkLoader;
use walnutlug_scheduler::storage::records::chunk_size;
use walnutlug_scheduler::storage::revision::Revision;
use world::{site, spec, types, World};

/// Counts the memory that the tests of this file allocate.
#[global_allocator]
static ALLOCATOR: &StatsAlloc<System> = &INSTRUMENTED_SYSTEM;

const ARRAYS: usize = 20;
/// The largest number of tasks that a submission may have.
const TASKS: u32 = 100_000;
/// A quarter of the memory of the smallest controllers.
const MAX_HELD_BYTES: usize = 46 * 1024 * 1024 / 4;
/// Jobs of three tasks, most of which depend on twenty others.
const SMALL_JOBS: usize = 150;
/// Records in one page of a read of the store, whose pages hold 512 KiB.
const PAGE_RECORDS: usize = 128;

/// Makes the tests run one at a time, since the allocator counts for all of them.
fn run_alone() -> MutexGuard<'static, ()> {
    static ONE_AT_A_TIME: Mutex<()> = Mutex::new(());
    ONE_AT_A_TIME.lock().unwrap_or_else(PoisonError::into_inner)
}

fn array_name(index: usize) -> String {
    format!("req-{index:06}")
}

fn array() -> JobSpec {
    JobSpec { cpus: 8.0, ..spec(TASKS) }
}

/// Returns the memory that the scheduler held.
fn drop_counted(scheduler: Scheduler) -> usize {
    let region = Region::new(ALLOCATOR);
    drop(scheduler);
    region.change().bytes_deallocated
}

fn empty_scheduler(world: &World, term: Term) -> Scheduler {
    let (site, tunables) = (world.leader.site.clone(), world.leader.tunables.clone());
    Scheduler::new(site, tunables, term, types(), world.now)
}

/// Guards against leaders that are ended for memory one after the other while an accepted urgent
/// job waits: each held every task of each accepted array, placed or not.
#[test]
fn many_accepted_arrays_fit_into_a_small_controller_beside_an_urgent_job() {
    let _alone = run_alone();
    let mut world = World::new(&[("n-1", "a"), ("n-2", "b")]);
    for index in 0..ARRAYS {
        world.submit(&array_name(index), &array());
    }
    let urgent = JobSpec { priority: Priority::High, deadline_s: Some(20.0), ..spec(1) };
    world.submit("req-900000", &urgent);
    world.settle();
    assert_eq!(world.places_of("req-900000/0").len(), 1, "the urgent job runs");
    let former_leader = world.take_over();
    for scheduler in [former_leader, empty_scheduler(&world, world.leader.term)] {
        let leader = std::mem::replace(&mut world.leader, scheduler);
        let held = drop_counted(leader);
        assert!(held < MAX_HELD_BYTES, "{held} bytes for {ARRAYS} arrays");
    }
}

/// Ticks until the leader sends a transaction that deletes records, and rejects it.
fn reject_deletion(world: &mut World) {
    for _ in 0..200 {
        world.wait(100);
        world.send_all_heartbeats();
        world.tick();
        let is_deletion = |operation: &Operation| matches!(operation, Operation::Delete { .. });
        for command in std::mem::take(&mut world.commands) {
            match command {
                Command::Commit { id, transaction }
                    if transaction.operations.iter().any(is_deletion) =>
                {
                    let rejected = TransactionOutcome::Rejected;
                    return world.leader.transaction_answered(world.now, id, rejected);
                }
                other => world.commands.push(other),
            }
        }
        world.execute_commands();
    }
    panic!("no deletion was sent");
}

/// Guards against an entry for each chunk of an array, stored or not, after a deletion that was not
/// executed.
#[test]
fn deletion_without_effect_restores_only_what_it_deleted() {
    let _alone = run_alone();
    let mut world = World::new(&[("n-1", "a")]);
    world.submit(&array_name(0), &array());
    world.settle();
    world.cancel_job(&array_name(0));
    reject_deletion(&mut world);
    let chunks: Vec<usize> =
        world.leader.cluster.jobs.values().map(|job| job.chunks.recorded_count()).collect();
    assert_eq!(chunks, [1], "one chunk had been written");
    for _ in 0..10 {
        world.wait(1_000);
        world.settle();
    }
    assert!(world.leader.cluster.jobs.is_empty() && world.store.key_values(keys::RUN).is_empty());
}

/// Returns the record of a chunk whose tasks are all done.
fn completed_chunk(array: usize, chunk: usize, tasks: u32) -> KeyValue {
    let value = json!({"t": vec![json!([5, 1]); tasks as usize], "w": "1-1"});
    KeyValue { key: keys::run(&array_name(array), chunk), value, revision: Revision(7) }
}

#[test]
fn successor_holds_a_completed_task_as_a_bit() {
    let _alone = run_alone();
    let mut world = World::new(&[("n-1", "a")]);
    let size = chunk_size(site().value_bytes);
    for index in 0..ARRAYS {
        let _: Value = world.store_job(&array_name(index), &array(), size);
    }
    world.take_over();
    let mut loader = ChunkLoader::new(world.now);
    for index in 0..ARRAYS {
        let chunks: Vec<usize> = (0..TASKS.div_ceil(size) as usize).collect();
        for page in chunks.chunks(PAGE_RECORDS) {
            let tasks = |chunk: usize| size.min(TASKS - chunk as u32 * size);
            let page: Vec<KeyValue> =
                page.iter().map(|&chunk| completed_chunk(index, chunk, tasks(chunk))).collect();
            assert!(world.leader.load_page(&mut loader, &page).is_empty(), "readable records");
        }
    }
    world.leader.chunks_loaded(loader);
    assert!(world.leader.cluster.jobs.values().all(|job| job.done == TASKS));
    let bound = world.leader.cluster.job_bytes() as usize;
    let next = empty_scheduler(&world, world.leader.term);
    let held = drop_counted(std::mem::replace(&mut world.leader, next));
    assert!(held < MAX_HELD_BYTES, "{held} bytes for {ARRAYS} completed arrays");
    assert!(held <= bound, "{held} bytes, more than the {bound} that acceptance counts with");
}

#[test]
fn small_jobs_with_dependencies_take_no_more_memory_than_acceptance_counts_with() {
    let _alone = run_alone();
    let mut world = World::new(&[]);
    for index in 0..SMALL_JOBS {
        let dependencies = (index.saturating_sub(20)..index).map(array_name).collect();
        world.submit(&array_name(index), &JobSpec { dependencies, ..spec(3) });
    }
    let bound = world.leader.cluster.job_bytes() as usize;
    let next = empty_scheduler(&world, world.leader.term);
    let held = drop_counted(std::mem::replace(&mut world.leader, next));
    assert!(held <= bound, "{held} bytes, more than the {bound} that acceptance counts with");
}
