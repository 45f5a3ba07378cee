//! Runs three real controllers and moves leadership back and forth as between two versions of the
//! program. Here both versions are the same build. The README has the command for a long run with
//! an earlier version.

use std::path::Path;
use std::time::Duration;

use walnutlug_fault_injection::version_scenario::{run, Scenario};

const SUBMIT_TIME: Duration = Duration::from_secs(16);
/// Seed of the times at which leaders are replaced and jobs are cancelled.
const SEED: u64 = 1;

#[test]
fn leaders_continue_work_recorded_by_the_other_version() {
    let scripts = Path::new(env!("CARGO_MANIFEST_DIR")).join("../fault-injection/scripts");
    let scenario = Scenario {
        program: env!("CARGO_BIN_EXE_walnutlug").into(),
        previous: env!("CARGO_BIN_EXE_walnutlug").into(),
        script: scripts.join("fenced.lua"),
        submit_time: SUBMIT_TIME,
        seed: SEED,
    };
    let runtime = tokio::runtime::Builder::new_multi_thread().enable_all().build();
    let report = runtime.expect("tokio runtime").block_on(run(&scenario));
    println!("{report:#?}");
    for (check, holds) in report.checks() {
        assert!(holds, "check failed with seed {SEED}: {check}");
    }
}
