//! The command line.

use std::path::{Path, PathBuf};
use std::process::ExitCode;

use clap::{Parser, Subcommand};
use tracing::{error, info, warn};
use tracing_subscriber::filter::LevelFilter;
use walnutlug_scheduler::tunables::Tunables;

use crate::settings::Settings;
use crate::{node, operator_script};

#[derive(Parser)]
#[command(
    name = "walnutlug",
    version,
    about = "A cluster scheduler that never starts a task twice"
)]
struct Args {
    #[command(subcommand)]
    command: Command,
}

#[derive(Subcommand)]
enum Command {
    /// Run one controller node until it is killed
    Serve {
        /// The platform's settings file (JSON)
        #[arg(long, value_name = "FILE")]
        config: PathBuf,
        /// The operators' settings script (Lua); the built-in defaults otherwise
        #[arg(long, value_name = "FILE")]
        script: Option<PathBuf>,
    },
    /// Check the settings, name everything that is wrong with them, and exit
    Check {
        /// The platform's settings file (JSON)
        #[arg(long, value_name = "FILE")]
        config: PathBuf,
        /// The operators' settings script (Lua)
        #[arg(long, value_name = "FILE")]
        script: Option<PathBuf>,
    },
}

pub fn main() -> ExitCode {
    let args = Args::parse();
    start_log();
    match args.command {
        Command::Serve { config, script } => {
            let Some((settings, tunables)) = load(&config, script.as_deref()) else {
                return ExitCode::FAILURE;
            };
            info!(node = %settings.node_name, zone = %settings.zone, "starting");
            match node::run(settings, tunables) {
                Ok(()) => ExitCode::SUCCESS,
                Err(e) => {
                    error!("cannot serve: {e}");
                    ExitCode::FAILURE
                }
            }
        }
        Command::Check { config, script } => match load(&config, script.as_deref()) {
            Some(_) => {
                println!("settings are in order");
                ExitCode::SUCCESS
            }
            None => ExitCode::FAILURE,
        },
    }
}

/// Reads both kinds of settings, with one message for each fault.
fn load(config: &Path, script: Option<&Path>) -> Option<(Settings, Tunables)> {
    let settings = Settings::read(config);
    let tunables = operator_script::read(script);
    let mut faults = Vec::new();
    if let Err(f) = &settings {
        faults.extend(f.iter().cloned());
    }
    if let Err(f) = &tunables {
        faults.extend(f.iter().cloned());
    }
    if let (Ok(settings), Ok(tunables)) = (&settings, &tunables) {
        faults.extend(operator_script::unknown_teams(tunables, &settings.site));
    }
    for fault in &faults {
        error!("{fault}");
    }
    let both = (settings.ok()?, tunables.ok()?);
    faults.is_empty().then_some(both)
}

/// Logs to standard error as `LOG_LEVEL` says; what it doesn't say means info.
fn start_log() {
    let asked = std::env::var("LOG_LEVEL").ok();
    let level = match asked.as_deref() {
        Some("error") => Some(LevelFilter::ERROR),
        Some("warn") => Some(LevelFilter::WARN),
        Some("info") => Some(LevelFilter::INFO),
        Some("debug") => Some(LevelFilter::DEBUG),
        Some("trace") => Some(LevelFilter::TRACE),
        _ => None,
    };
    tracing_subscriber::fmt()
        .with_max_level(level.unwrap_or(LevelFilter::INFO))
        .with_writer(std::io::stderr)
        .with_ansi(false)
        .with_target(false)
        .init();
    if level.is_none() {
        match asked {
            Some(other) => warn!("LOG_LEVEL {other:?} is not known: logging at info"),
            None => warn!("LOG_LEVEL is not set: logging at info"),
        }
    }
}
