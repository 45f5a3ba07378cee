use rand::rngs::StdRng;
use rand::{RngExt, SeedableRng};

use super::*;
use crate::leadership::fencing_token::FencingToken;
use crate::model::ids::{AgentEpoch, MachineIndex};
use crate::model::task::TaskEvent;

const START: Timestamp = Timestamp(1_000);
/// Tasks of the arrays in the random comparison.
const TASKS: u32 = 200;
/// Changes in each random comparison.
const CHANGES: usize = 3_000;

fn dispatch(machine: u32) -> TaskEvent {
    TaskEvent::Dispatch { machine: MachineIndex(machine), agent_epoch: AgentEpoch(1) }
}

fn random_event(random: &mut StdRng, task: &Task) -> TaskEvent {
    let placement = task.placement();
    match random.random_range(0..7) {
        0 => dispatch(random.random_range(0..9)),
        1 => TaskEvent::Recorded(placement),
        2 => TaskEvent::NotRecorded(placement),
        3 => TaskEvent::Sent { placement, token: FencingToken(7) },
        4 => TaskEvent::Observed,
        5 => TaskEvent::ProvenAbsent,
        _ => TaskEvent::Completed,
    }
}

/// What the table has to remember of a task: all of a placed one, the phase and the attempt of any
/// other.
fn remembered(task: Task, is_stored: bool) -> Task {
    match task.phase {
        TaskPhase::Pending => Task { attempt: task.attempt, ..Task::new(START) },
        TaskPhase::Done if is_stored => {
            Task { attempt: task.attempt, phase: TaskPhase::Done, ..Task::new(START) }
        }
        _ => task,
    }
}

#[test]
fn table_agrees_with_a_plain_vector_of_tasks() {
    for seed in 0..20 {
        let mut random = StdRng::seed_from_u64(seed);
        let mut table = TaskTable::new(TASKS, START);
        let mut plain = vec![(Task::new(START), false); TASKS as usize];
        for change in 0..CHANGES {
            let index = random.random_range(0..TASKS);
            let (task, is_stored) = &mut plain[index as usize];
            let event = random_event(&mut random, task);
            if task.step(Timestamp(2_000 + change as u64), event) {
                table.set(index, *task);
            }
            if random.random_bool(0.3) {
                table.completion_stored(index);
                *is_stored |= task.phase == TaskPhase::Done;
            }
        }
        let expected: Vec<Task> = plain.iter().map(|&(task, is)| remembered(task, is)).collect();
        for (index, task) in (0..).zip(&expected) {
            assert_eq!(table.get(index).as_ref(), Some(task), "seed {seed}, task {index}");
        }
        assert!(table.range(17..90).eq(expected[17..90].iter().copied()), "seed {seed}");
        for from in 0..=TASKS {
            let is_pending = |index: &u32| plain[*index as usize].0.phase == TaskPhase::Pending;
            assert_eq!(table.next_pending(from), (from..TASKS).find(is_pending), "seed {seed}");
        }
        let is_done = |task: &&Task| task.phase == TaskPhase::Done;
        assert_eq!(table.count_done() as usize, expected.iter().filter(is_done).count());
        let needs_entry =
            |&&(task, is_stored): &&(Task, bool)| task.phase != TaskPhase::Pending && !is_stored;
        assert_eq!(table.entry_count(), plain.iter().filter(needs_entry).count());
    }
}

/// Guards against the loss of every leader that held accepted arrays of 100,000 tasks: one entry a
/// task, placed or not.
#[test]
fn array_has_entries_only_for_placed_tasks_and_unstored_completions() {
    let mut table = TaskTable::new(100_000, START);
    assert_eq!(table.entry_count(), 0);
    let change = |table: &mut TaskTable, index: u32, event: TaskEvent| {
        let mut task = table.get(index).expect("a task of the array");
        assert!(task.step(START, event));
        table.set(index, task);
    };
    for index in 0..1_000 {
        change(&mut table, index, dispatch(1));
    }
    assert_eq!(table.entry_count(), 1_000);
    for index in 0..500 {
        change(&mut table, index, TaskEvent::ProvenAbsent);
    }
    assert_eq!(table.entry_count(), 500);
    for index in 500..1_000 {
        change(&mut table, index, TaskEvent::Completed);
        assert!(table.entry(index).is_some(), "its completion is not stored yet");
        table.completion_stored(index);
        assert_eq!(table.get(index).map(|task| task.phase), Some(TaskPhase::Done));
    }
    assert_eq!(table.entry_count(), 0);
    assert_eq!(table.get(3).map(|task| task.attempt), Some(Attempt(2)));
    assert_eq!((table.next_pending(500), table.get(100_000)), (Some(1_000), None));
}
