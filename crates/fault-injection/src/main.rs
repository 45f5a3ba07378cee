//! Command line of the fault-injection scenarios. Runs one scenario against three real controllers,
//! prints its report, and exits with a failure if a check of the scenario failed.

use std::path::PathBuf;
use std::process::ExitCode;
use std::time::Duration;

use clap::{Parser, Subcommand};
use walnutlug_fault_injection::{freeze_scenario, overload_scenario, version_scenario};

#[derive(Parser)]
#[command(
    about = "Runs fault-injection scenarios with three real controllers on the loopback interface"
)]
struct Args {
    /// Controller program to run
    #[arg(long, global = true, default_value = "target/release/walnutlug")]
    program: PathBuf,
    #[command(subcommand)]
    scenario: ScenarioCommand,
}

#[derive(Subcommand)]
enum ScenarioCommand {
    /// Freezes the leader repeatedly and checks the requests that the cloud received
    Freezes {
        /// Lua settings script of the operators, passed to all controllers
        #[arg(long, default_value = "crates/fault-injection/scripts/fenced.lua")]
        script: PathBuf,
        /// Number of freezes after which the scenario ends
        #[arg(long, default_value_t = 300)]
        freezes: usize,
        /// Time in minutes after which no further freeze begins
        #[arg(long, default_value_t = 60)]
        minutes: u64,
    },
    /// Overloads the cluster with one team's jobs while controllers are killed, frozen and
    /// restarted
    Overload {
        /// Lua settings script of the operators, passed to all controllers
        #[arg(long, default_value = "crates/fault-injection/scripts/overload.lua")]
        script: PathBuf,
        /// Time in minutes for which jobs are submitted
        #[arg(long, default_value_t = 10.0)]
        minutes: f64,
    },
    /// Moves leadership between one controller of an earlier version and two of the tested version
    Versions {
        /// Controller program of the earlier version
        #[arg(long)]
        previous: PathBuf,
        /// Lua settings script of the operators; both versions must know all settings in it
        #[arg(long, default_value = "crates/fault-injection/scripts/fenced.lua")]
        script: PathBuf,
        /// Minimum time in minutes for which jobs are submitted
        #[arg(long, default_value_t = 2.0)]
        minutes: f64,
        /// Seed of the times at which leaders are replaced and jobs are cancelled; drawn if omitted
        #[arg(long)]
        seed: Option<u64>,
    },
}

#[tokio::main]
async fn main() -> ExitCode {
    let Args { program, scenario } = Args::parse();
    match scenario {
        ScenarioCommand::Freezes { script, freezes, minutes } => {
            let time_limit = Duration::from_secs(60 * minutes);
            print_freeze_report(
                &freeze_scenario::run(&freeze_scenario::Scenario {
                    program,
                    script,
                    freezes,
                    time_limit,
                })
                .await,
            )
        }
        ScenarioCommand::Overload { script, minutes } => {
            let submit_time = Duration::from_secs_f64(60.0 * minutes);
            print_overload_report(
                &overload_scenario::run(&overload_scenario::Scenario {
                    program,
                    script,
                    submit_time,
                })
                .await,
            )
        }
        ScenarioCommand::Versions { previous, script, minutes, seed } => {
            let submit_time = Duration::from_secs_f64(60.0 * minutes);
            let seed = seed.unwrap_or_else(rand::random);
            println!("seed: {seed}");
            let scenario =
                version_scenario::Scenario { program, previous, script, submit_time, seed };
            print_version_report(&version_scenario::run(&scenario).await)
        }
    }
}

fn print_overload_report(report: &overload_scenario::Report) -> ExitCode {
    println!("controllers killed: {}, leaders frozen: {}", report.killed, report.frozen);
    println!("tasks that ran on two machines at the same time: {:?}", report.duplicate_executions);
    let mut lost = 0;
    for (team, team_report) in &report.teams {
        let start_delay = |quantile| team_report.start_delay_ms.value_at_quantile(quantile);
        println!(
            "{team}: jobs accepted {}, submissions refused {}, without response {}, jobs given up {}, done {}",
            team_report.accepted,
            team_report.refused,
            team_report.unanswered,
            team_report.given_up,
            team_report.done
        );
        println!(
            "{team}: time to first start in ms: median {}, 99th percentile {}, maximum {}; longest time without a start {} ms",
            start_delay(0.5),
            start_delay(0.99),
            team_report.start_delay_ms.max(),
            team_report.longest_without_start.as_millis()
        );
        println!(
            "{team}: maximum number of jobs of the flooding team that started before a waiting job: {}",
            team_report.max_overtaken
        );
        lost += team_report.accepted - team_report.done;
    }
    match (lost, report.duplicate_executions.is_empty()) {
        (0, true) => ExitCode::SUCCESS,
        _ => ExitCode::FAILURE,
    }
}

fn print_freeze_report(report: &freeze_scenario::Report) -> ExitCode {
    let leaderless = |quantile| report.leaderless_ms.value_at_quantile(quantile);
    println!("freezes: {} (at each point of an action: {:?})", report.freezes, report.aimed);
    println!("terms: {}, intents stored: {}", report.terms, report.intents);
    println!("jobs accepted: {}, done: {}", report.accepted, report.done);
    println!("tasks that ran on two machines at the same time: {:?}", report.duplicate_executions);
    println!("{:#?}", report.findings);
    println!(
        "actions of replaced leaders without a stored intent: {}",
        report.findings.unfenced_actions()
    );
    println!(
        "time without a leader: median {} ms, 99th percentile {} ms, maximum {} ms",
        leaderless(0.5),
        leaderless(0.99),
        report.leaderless_ms.max()
    );
    match report.findings.unfenced_actions() {
        0 if report.duplicate_executions.is_empty() => ExitCode::SUCCESS,
        _ => ExitCode::FAILURE,
    }
}

fn print_version_report(report: &version_scenario::Report) -> ExitCode {
    let history = &report.history;
    let transitions = [
        ("elections won by the other version", history.elections),
        (
            "jobs accepted while one version led, done while the other led",
            history.accepted_then_done,
        ),
        ("jobs started while one version led, done while the other led", history.started_then_done),
        (
            "jobs accepted by a node of one version, done while the other led",
            report.written_then_done,
        ),
        (
            "jobs accepted while one version led, aborted while the other led",
            history.accepted_then_aborted,
        ),
    ];
    for (description, counts) in transitions {
        println!(
            "{description}: previous to new {}, new to previous {}",
            counts.previous_to_new, counts.new_to_previous
        );
    }
    println!("elections won by the same version: {}", history.same_version);
    println!(
        "jobs accepted by each node, starting with the previous version's: {:?}",
        report.accepted_by
    );
    println!("jobs expected to be done: {}, to be aborted: {}", report.done, report.aborted);
    println!(
        "jobs with a submission or cancellation that no controller accepted: {:?}",
        report.undecided
    );
    println!("unexpected job stages: {:?}", report.wrong_stages);
    println!("tasks that ran on two machines at the same time: {:?}", report.duplicate_executions);
    let checks = report.checks();
    for (description, passed) in &checks {
        println!("{}: {description}", if *passed { "passed" } else { "FAILED" });
    }
    match checks.iter().all(|(_, passed)| *passed) {
        true => ExitCode::SUCCESS,
        false => ExitCode::FAILURE,
    }
}
