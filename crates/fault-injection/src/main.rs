//! Freezes the leader of three real controllers many times over, or plays an overload or two versions side by
//! side, and prints what was seen.

use std::path::PathBuf;
use std::process::ExitCode;
use std::time::Duration;

use clap::{Parser, Subcommand};
use walnutlug_fault_injection::{freeze_scenario, overload_scenario, version_scenario};

#[derive(Parser)]
#[command(about = "Plays failures of three real controllers on loopback")]
struct Args {
    /// The controllers' program
    #[arg(long, global = true, default_value = "target/release/walnutlug")]
    program: PathBuf,
    #[command(subcommand)]
    play: Play,
}

#[derive(Subcommand)]
enum Play {
    /// Freezes the leader many times over, and looks at what the cloud was asked
    Freezes {
        /// The operators' script that the controllers are run with
        #[arg(long, default_value = "crates/fault-injection/scripts/fenced.lua")]
        script: PathBuf,
        /// How often a leader is frozen
        #[arg(long, default_value_t = 300)]
        freezes: usize,
        /// No freeze is begun after so many minutes
        #[arg(long, default_value_t = 60)]
        minutes: u64,
    },
    /// Floods them with one team's jobs while they are killed, frozen and started again
    Overload {
        /// The operators' script that the controllers are run with
        #[arg(long, default_value = "crates/fault-injection/scripts/overload.lua")]
        script: PathBuf,
        /// For how many minutes jobs are submitted
        #[arg(long, default_value_t = 10.0)]
        minutes: f64,
    },
    /// Lets one controller of the version before lead by turns with two new ones
    Versions {
        /// The program of the version before
        #[arg(long)]
        previous: PathBuf,
        /// The operators' script that the controllers are run with; both versions have to know its names
        #[arg(long, default_value = "crates/fault-injection/scripts/fenced.lua")]
        script: PathBuf,
        /// For how many minutes jobs are submitted
        #[arg(long, default_value_t = 2.0)]
        minutes: f64,
    },
}

#[tokio::main]
async fn main() -> ExitCode {
    let Args { program, play } = Args::parse();
    match play {
        Play::Freezes { script, freezes, minutes } => {
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
        Play::Overload { script, minutes } => {
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
        Play::Versions { previous, script, minutes } => {
            let submit_time = Duration::from_secs_f64(60.0 * minutes);
            let scenario = version_scenario::Scenario { program, previous, script, submit_time };
            tell_versions(&version_scenario::run(&scenario).await)
        }
    }
}

fn print_overload_report(report: &overload_scenario::Report) -> ExitCode {
    println!("controllers killed {}, frozen {}", report.killed, report.frozen);
    println!("tasks that ran twice at once {:?}", report.duplicate_executions);
    let mut lost = 0;
    for (team, told) in &report.teams {
        let start = |quantile| told.start_ms.value_at_quantile(quantile);
        println!(
            "{team}: accepted {}, told to come again {}, unanswered {}, given up {}, done {}",
            told.accepted, told.refused, told.unanswered, told.given_up, told.done
        );
        println!(
            "{team}: first start after ms: median {}, 99th percentile {}, most {}; longest without one {} ms",
            start(0.5),
            start(0.99),
            told.start_ms.max(),
            told.longest_without_start.as_millis()
        );
        println!(
            "{team}: jobs of the flood that started before one of its own, at most {}",
            told.max_overtaken
        );
        lost += told.accepted - told.done;
    }
    match (lost, report.duplicate_executions.is_empty()) {
        (0, true) => ExitCode::SUCCESS,
        _ => ExitCode::FAILURE,
    }
}

fn print_freeze_report(report: &freeze_scenario::Report) -> ExitCode {
    let vacant = |quantile| report.vacant_ms.value_at_quantile(quantile);
    println!("freezes {} (aimed at each point: {:?})", report.freezes, report.aimed);
    println!("terms {}, intents stored {}", report.terms, report.intents);
    println!("jobs accepted {}, done {}", report.accepted, report.done);
    println!("tasks that ran twice at once {:?}", report.duplicate_executions);
    println!("{:#?}", report.findings);
    println!("uncovered actions of replaced holders {}", report.findings.unfenced_actions());
    println!(
        "time without a leader: median {} ms, 99th percentile {} ms, most {} ms",
        vacant(0.5),
        vacant(0.99),
        report.vacant_ms.max()
    );
    match report.findings.unfenced_actions() {
        0 if report.duplicate_executions.is_empty() => ExitCode::SUCCESS,
        _ => ExitCode::FAILURE,
    }
}

fn tell_versions(report: &version_scenario::Report) -> ExitCode {
    let history = &report.history;
    let ways = [
        ("elections", history.elections),
        ("jobs accepted under one version, done under the other", history.accepted_then_done),
        ("jobs started under one version, done under the other", history.started_then_done),
        ("jobs whose acceptance one version wrote, done under the other", report.written_then_done),
        (
            "jobs accepted under one version, cancelled under the other",
            history.accepted_then_aborted,
        ),
    ];
    for (what, both) in ways {
        println!(
            "{what}: previous to new {}, new to previous {}",
            both.previous_to_new, both.new_to_previous
        );
    }
    println!("elections within a version {}", history.same_version);
    println!("jobs accepted by each node, the previous version's first {:?}", report.accepted_by);
    println!("jobs to be done {}, to be aborted {}", report.done, report.aborted);
    println!("undecided requests {:?}", report.undecided);
    println!("wrong answers {:?}", report.wrong);
    println!("tasks that ran twice at once {:?}", report.duplicate_executions);
    let checks = report.checks();
    for (check, holds) in &checks {
        println!("{}: {check}", if *holds { "holds" } else { "FAILS" });
    }
    match checks.iter().all(|(_, holds)| *holds) {
        true => ExitCode::SUCCESS,
        false => ExitCode::FAILURE,
    }
}
