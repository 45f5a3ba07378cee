//! Floods three real controllers with the jobs of one team, while controllers are killed and
//! restarted. Only counts are checked, because the speed of machines differs. The README has the
//! command for a long run.

use std::path::Path;
use std::time::Duration;

use walnutlug_fault_injection::overload_scenario::{run, Scenario, TEAMS};

const RUN_TIME: Duration = Duration::from_secs(32);
/// Maximum number of jobs of the flood that may start while a job of another team waits: enough to
/// fill all machines once, and once more for what a change of leader loses. Without a shared order,
/// every waiting job of the flood would start first.
const MAX_OVERTAKEN: usize = 24;

#[test]
fn job_flood_of_one_team_does_not_delay_other_teams() {
    let scripts = Path::new(env!("CARGO_MANIFEST_DIR")).join("../fault-injection/scripts");
    let scenario = Scenario {
        program: env!("CARGO_BIN_EXE_walnutlug").into(),
        script: scripts.join("overload.lua"),
        submit_time: RUN_TIME,
    };
    let runtime = tokio::runtime::Builder::new_multi_thread().enable_all().build();
    let report = runtime.expect("tokio runtime").block_on(run(&scenario));
    println!("{report:#?}");
    assert!(report.killed > 0, "no controller was killed");
    assert!(report.duplicate_executions.is_empty(), "{:?}", report.duplicate_executions);
    for team in TEAMS {
        let team_report = &report.teams[team];
        assert!(team_report.accepted > 0, "{team}: no job was accepted");
        assert_eq!(team_report.done, team_report.accepted, "{team}: accepted jobs were lost");
    }
    for team in &TEAMS[1..] {
        let overtaken = report.teams[team].max_overtaken;
        assert!(overtaken <= MAX_OVERTAKEN, "{team}: {overtaken} jobs of the flood started first");
    }
}
