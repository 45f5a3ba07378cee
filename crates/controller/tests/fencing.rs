//! Runs three real controllers and freezes the leader several times. The README has the command for
//! a long run. Only counts are checked, because the speed of machines differs.

use std::path::Path;
use std::time::Duration;

use walnutlug_fault_injection::freeze_scenario::{run, Scenario};

const FREEZES: usize = 5;
/// No further freeze begins after this time, which is far longer than a slow machine needs.
const MAX_TIME: Duration = Duration::from_secs(300);

#[test]
fn frozen_leader_takes_no_unfenced_cloud_action_after_its_replacement() {
    let scripts = Path::new(env!("CARGO_MANIFEST_DIR")).join("../fault-injection/scripts");
    let scenario = Scenario {
        program: env!("CARGO_BIN_EXE_walnutlug").into(),
        script: scripts.join("fenced.lua"),
        freezes: FREEZES,
        time_limit: MAX_TIME,
    };
    let runtime = tokio::runtime::Builder::new_multi_thread().enable_all().build();
    let report = runtime.expect("tokio runtime").block_on(run(&scenario));
    println!("{:#?}", report.findings);
    assert_eq!(report.freezes, FREEZES);
    assert!(report.terms > 1, "no other node took over");
    assert!(report.intents > 0 && report.findings.scale_outs > 0 && report.findings.scale_ins > 0);
    assert_eq!(
        report.findings.unfenced_actions(),
        0,
        "replaced holders took actions that no stored intent covers"
    );
    assert_eq!(report.findings.stale_scale_ins_with_tasks, 0);
    assert_eq!(report.findings.leaked_machines, 0, "machines were never returned");
    assert_eq!(report.done, report.accepted, "accepted jobs were lost");
    assert!(report.duplicate_executions.is_empty(), "{:?}", report.duplicate_executions);
}
