//! Three real controllers between which leadership goes to and fro as between two versions of the program;
//! here both are the same. The long form, with another version, is a command in the README.

use std::path::Path;
use std::time::Duration;

use walnutlug_fault_injection::version_scenario::{run, Scenario};

const LENGTH: Duration = Duration::from_secs(16);

#[test]
fn leaders_carry_on_what_the_other_version_recorded() {
    let scripts = Path::new(env!("CARGO_MANIFEST_DIR")).join("../fault-injection/scripts");
    let scenario = Scenario {
        program: env!("CARGO_BIN_EXE_walnutlug").into(),
        previous: env!("CARGO_BIN_EXE_walnutlug").into(),
        script: scripts.join("fenced.lua"),
        length: LENGTH,
    };
    let runtime = tokio::runtime::Builder::new_multi_thread().enable_all().build();
    let report = runtime.expect("a runtime").block_on(run(&scenario));
    println!("{report:#?}");
    for (check, holds) in report.checks() {
        assert!(holds, "{check}");
    }
}
