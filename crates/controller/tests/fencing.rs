//! Three real controllers whose leader is frozen a few times; the long form is a command in the README. Judged
//! by counts alone, since computers differ in speed.

use std::path::Path;
use std::time::Duration;

use walnutlug_fault_injection::freeze_scenario::{run, Scenario};

const FREEZES: usize = 5;
/// Far longer than that takes on a slow computer.
const MAX_TIME: Duration = Duration::from_secs(300);

#[test]
fn a_frozen_leader_does_nothing_to_its_successors_fleet() {
    let scripts = Path::new(env!("CARGO_MANIFEST_DIR")).join("../fault-injection/scripts");
    let scenario = Scenario {
        program: env!("CARGO_BIN_EXE_walnutlug").into(),
        script: scripts.join("fenced.lua"),
        freezes: FREEZES,
        within: MAX_TIME,
    };
    let runtime = tokio::runtime::Builder::new_multi_thread().enable_all().build();
    let report = runtime.expect("a runtime").block_on(run(&scenario));
    println!("{:#?}", report.findings);
    assert_eq!(report.freezes, FREEZES);
    assert!(report.terms > 1, "others took over");
    assert!(report.intents > 0 && report.findings.scale_outs > 0 && report.findings.scale_ins > 0);
    assert_eq!(report.findings.unfenced_actions(), 0, "actions of replaced holders");
    assert_eq!(report.findings.stale_scale_ins_with_tasks, 0);
    assert_eq!(report.findings.leaked_machines, 0, "machines that nobody returned");
    assert_eq!(report.done, report.accepted, "jobs that got lost");
    assert!(report.duplicate_executions.is_empty(), "{:?}", report.duplicate_executions);
}
