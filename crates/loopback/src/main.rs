//! Freezes the leader of three real controllers many times over, and prints what the cloud's log shows.

use std::path::PathBuf;
use std::process::ExitCode;
use std::time::Duration;

use clap::Parser;
use walnutlug_loopback::run::{run, Plan};

#[derive(Parser)]
#[command(about = "Freezes the leader of three real controllers on loopback, many times over")]
struct Args {
    /// The controller's program
    #[arg(long, default_value = "target/release/walnutlug")]
    program: PathBuf,
    /// The operators' script that it is run with
    #[arg(long, default_value = "crates/loopback/scripts/fenced.lua")]
    script: PathBuf,
    /// How often a leader is frozen
    #[arg(long, default_value_t = 300)]
    freezes: usize,
    /// No freeze is begun after so many minutes
    #[arg(long, default_value_t = 60)]
    minutes: u64,
}

#[tokio::main]
async fn main() -> ExitCode {
    let Args { program, script, freezes, minutes } = Args::parse();
    let within = Duration::from_secs(60 * minutes);
    let report = run(&Plan { program, script, freezes, within }).await;
    let vacant = |quantile| report.vacant_ms.value_at_quantile(quantile);
    println!("freezes {} (aimed at each point: {:?})", report.freezes, report.aimed);
    println!("terms {}, intents stored {}", report.terms, report.intents);
    println!("jobs accepted {}, done {}", report.accepted, report.done);
    println!("tasks that ran twice at once {:?}", report.ran_twice);
    println!("{:#?}", report.findings);
    println!("uncovered actions of replaced holders {}", report.findings.uncovered());
    println!(
        "time without a leader: median {} ms, 99th percentile {} ms, most {} ms",
        vacant(0.5),
        vacant(0.99),
        report.vacant_ms.max()
    );
    match report.findings.uncovered() {
        0 if report.ran_twice.is_empty() => ExitCode::SUCCESS,
        _ => ExitCode::FAILURE,
    }
}
