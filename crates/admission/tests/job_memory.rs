//! Acceptance of jobs by several nodes within the memory of a leader.

use proptest::prelude::*;
use walnutlug_admission::job_memory::{JobMemory, NoMemory, Urgency, MAX_URGENT_BYTES};
use walnutlug_time::{TimeDelta, Timestamp};

const LIMIT: u64 = 10_000_000;
const START: Timestamp = Timestamp(1 << 40);

/// One step of a random sequence.
#[derive(Debug, Clone)]
enum Step {
    /// A node is asked to accept a job of that size.
    Submit { node: usize, bytes: u64, urgency: Urgency },
    /// The leader learns of all jobs accepted so far, and the node hears from it.
    Tell { node: usize },
    /// Time passes.
    Wait { seconds: u64 },
    /// The leader's oldest job ends.
    End,
}

fn step(nodes: usize) -> impl Strategy<Value = Step> {
    let urgency = prop_oneof![Just(Urgency::Ordinary), Just(Urgency::Urgent)];
    prop_oneof![
        4 => (0..nodes, 1_000..1_500_000u64, urgency)
            .prop_map(|(node, bytes, urgency)| Step::Submit { node, bytes, urgency }),
        2 => (0..nodes).prop_map(|node| Step::Tell { node }),
        1 => (1..60u64).prop_map(|seconds| Step::Wait { seconds }),
        1 => Just(Step::End),
    ]
}

proptest! {
    /// Guards against accepting more than a leader and its successors can load: each node keeps to
    /// its part by itself, and hears from the leader at any time or not at all.
    #[test]
    fn nodes_together_never_accept_more_than_the_limit(
        steps in proptest::collection::vec(step(3), 1..200),
    ) {
        let mut nodes: Vec<JobMemory> = (0..3).map(|_| JobMemory::new(Some(LIMIT), 3)).collect();
        let mut accepted: Vec<u64> = Vec::new();
        let mut now = START;
        for step in steps {
            match step {
                Step::Submit { node, bytes, urgency } => {
                    if nodes[node].reserve(now, bytes, urgency).is_ok() {
                        accepted.push(bytes);
                    }
                }
                Step::Tell { node } => nodes[node].record_held(now, accepted.iter().sum()),
                Step::Wait { seconds } => {
                    now = now + TimeDelta::from_secs(seconds);
                    // Every node hears from the leader, which has had time to learn of the jobs.
                    for node in &mut nodes {
                        node.record_held(now, accepted.iter().sum());
                    }
                }
                Step::End => {
                    accepted.drain(..1.min(accepted.len()));
                }
            }
            prop_assert!(accepted.iter().sum::<u64>() <= LIMIT);
        }
    }
}

/// Accepts jobs of that size until the node refuses one, and returns their number.
fn accept_all(memory: &mut JobMemory, bytes: u64, urgency: Urgency) -> usize {
    (0..).find(|_| memory.reserve(START, bytes, urgency).is_err()).unwrap_or(0)
}

#[test]
fn small_urgent_job_finds_room_when_arrays_have_filled_the_rest() {
    let mut memory = JobMemory::new(Some(LIMIT), 1);
    memory.record_held(START, 0);
    assert_eq!(accept_all(&mut memory, 150_000, Urgency::Ordinary), 50);
    assert!(memory.reserve(START, MAX_URGENT_BYTES + 1, Urgency::Urgent).is_err());
    assert!(memory.reserve(START, 3_000, Urgency::Ordinary).is_err());
    assert!(memory.reserve(START, 3_000, Urgency::Urgent).is_ok());
}

#[test]
fn refusal_ends_by_itself_as_jobs_end() {
    let mut memory = JobMemory::new(Some(LIMIT), 2);
    memory.record_held(START, 7_400_000);
    let refused = NoMemory { needed: 100_000, left: 50_000 };
    assert_eq!(memory.reserve(START, 100_000, Urgency::Ordinary), Err(refused));
    memory.record_held(START, 7_300_000);
    assert!(memory.reserve(START, 100_000, Urgency::Ordinary).is_ok());
}

#[test]
fn released_reservation_can_be_used_again() {
    let mut memory = JobMemory::new(Some(LIMIT), 1);
    memory.record_held(START, 0);
    let reservation = memory.reserve(START, 7_500_000, Urgency::Ordinary).expect("room");
    assert!(memory.reserve(START, 1, Urgency::Ordinary).is_err());
    memory.release(reservation);
    assert!(memory.reserve(START, 7_500_000, Urgency::Ordinary).is_ok());
}

#[test]
fn node_that_heard_of_no_leader_accepts_a_part_of_its_share() {
    let mut memory = JobMemory::new(Some(LIMIT), 1);
    let untold = accept_all(&mut memory, 10_000, Urgency::Ordinary);
    memory.record_held(START, 0);
    let told = accept_all(&mut memory, 10_000, Urgency::Ordinary);
    assert!(untold > 0 && untold <= told, "{untold} jobs, then {told}");
    // Leaders of older versions never tell; what was accepted long ago no longer counts then.
    let mut memory = JobMemory::new(Some(LIMIT), 1);
    assert_eq!(accept_all(&mut memory, 10_000, Urgency::Ordinary), untold);
    let later = START + TimeDelta::from_secs(600);
    assert!(memory.reserve(later, 10_000, Urgency::Ordinary).is_ok());
    assert!(JobMemory::new(None, 1).reserve(START, u64::MAX, Urgency::Ordinary).is_ok());
}
