//! A flood by one team at three real controllers, which are killed and started again. Judged by counts alone,
//! since computers differ in speed; the long form is a command in the README.

use std::path::Path;
use std::time::Duration;

use walnutlug_fault_injection::overload_scenario::{run, Scenario, TEAMS};

const LENGTH: Duration = Duration::from_secs(32);
/// Jobs of the flood that may start before a job of another team that came later: all machines once over, and
/// again for what a change of the leader loses. Without a shared order all that wait go first.
const MAX_OVERTAKEN: usize = 24;

#[test]
fn a_flood_of_one_team_holds_up_no_other() {
    let scripts = Path::new(env!("CARGO_MANIFEST_DIR")).join("../fault-injection/scripts");
    let scenario = Scenario {
        program: env!("CARGO_BIN_EXE_walnutlug").into(),
        script: scripts.join("overload.lua"),
        length: LENGTH,
    };
    let runtime = tokio::runtime::Builder::new_multi_thread().enable_all().build();
    let report = runtime.expect("a runtime").block_on(run(&scenario));
    println!("{report:#?}");
    assert!(report.killed > 0, "a controller was killed");
    assert!(report.duplicate_executions.is_empty(), "{:?}", report.duplicate_executions);
    for team in TEAMS {
        let told = &report.teams[team];
        assert!(told.accepted > 0, "{team}");
        assert_eq!(told.done, told.accepted, "{team}: jobs that got lost");
    }
    for team in &TEAMS[1..] {
        let overtaken = report.teams[team].most_overtaken;
        assert!(overtaken <= MAX_OVERTAKEN, "{team}: {overtaken} jobs of the flood went first");
    }
}
