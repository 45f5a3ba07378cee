//! Two troubles at once, each meeting with several seeds over the simulated deployment.

mod sim;
mod world;

use sim::meetings::{BASE_WORKLOAD, SCENARIOS};
use sim::{ScriptedEvent, Sim};

#[test]
fn no_rule_breaks_where_two_troubles_meet() {
    for m in SCENARIOS {
        for seed in 1..=6 {
            let mut sim = Sim::new(format!("{} (seed {seed})", m.name), seed);
            let script: Vec<(u64, ScriptedEvent)> =
                BASE_WORKLOAD.iter().chain(m.script).copied().collect();
            sim.play(&script, 130);
            assert!(
                sim.repeated_by_follower() > 0,
                "{} (seed {seed}): no report was answered by the follower alone",
                m.name
            );
            for what in m.seen {
                assert!(
                    sim.occurrences.contains_key(what),
                    "{} (seed {seed}): no meeting, nothing {what}: {:?}",
                    m.name,
                    sim.occurrences
                );
            }
        }
    }
}
