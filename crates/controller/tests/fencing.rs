//! Three real controllers whose leader is frozen a few times; the long form is a command in the README. Judged
//! by counts alone, since computers differ in speed.

use std::path::Path;
use std::time::Duration;

use walnutlug_fault_injection::freeze_scenario::{run, Plan};

const FREEZES: usize = 5;
/// Far longer than that takes on a slow computer.
const MAX_TIME: Duration = Duration::from_secs(300);

#[test]
fn a_frozen_leader_does_nothing_to_its_successors_fleet() {
    let scripts = Path::new(env!("CARGO_MANIFEST_DIR")).join("../fault-injection/scripts");
    let plan = Plan {
        program: env!("CARGO_BIN_EXE_walnutlug").into(),
        script: scripts.join("fenced.lua"),
        freezes: FREEZES,
        within: MAX_TIME,
    };
    let runtime = tokio::runtime::Builder::new_multi_thread().enable_all().build();
    let heartbeat = runtime.expect("a runtime").block_on(run(&plan));
    println!("{:#?}", heartbeat.findings);
    assert_eq!(heartbeat.freezes, FREEZES);
    assert!(heartbeat.terms > 1, "others took over");
    assert!(
        heartbeat.intents > 0 && heartbeat.findings.rentals > 0 && heartbeat.findings.returns > 0
    );
    assert_eq!(heartbeat.findings.unfenced_actions(), 0, "actions of replaced holders");
    assert_eq!(heartbeat.findings.stale_returns_under_work, 0);
    assert_eq!(heartbeat.findings.forgotten, 0, "machines that nobody returned");
    assert_eq!(heartbeat.done, heartbeat.accepted, "jobs that got lost");
    assert!(heartbeat.duplicate_executions.is_empty(), "{:?}", heartbeat.duplicate_executions);
}
