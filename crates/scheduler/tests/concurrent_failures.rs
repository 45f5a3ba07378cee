//! Plays every scenario with overlapping faults in the simulated cluster, each with six seeds.

mod sim;
mod world;

use sim::meetings::{BASE_WORKLOAD, SCENARIOS};
use sim::{ScriptedEvent, Sim};

#[test]
fn invariants_hold_when_failures_overlap() {
    for scenario in SCENARIOS {
        for seed in 1..=6 {
            let mut sim = Sim::new(format!("{} (seed {seed})", scenario.name), seed);
            let script: Vec<(u64, ScriptedEvent)> =
                BASE_WORKLOAD.iter().chain(scenario.script).copied().collect();
            sim.play(&script, 130);
            assert!(
                sim.repeated_by_follower() > 0,
                "{} (seed {seed}): the follower answered no repeated heartbeat by itself",
                scenario.name
            );
            for condition in scenario.expected {
                assert!(
                    sim.occurrences.contains_key(condition),
                    "{} (seed {seed}): \"{condition}\" never occurred, only {:?}",
                    scenario.name,
                    sim.occurrences
                );
            }
        }
    }
}
