//! The command line.

use std::path::{Path, PathBuf};
use std::process::ExitCode;

use clap::{Parser, Subcommand};
use tracing::{error, info, warn};
use tracing_subscriber::filter::LevelFilter;
use walnutlug_scheduler::tunables::Tunables;

use crate::operator_script::ScriptError;
use crate::settings::{Settings, SettingsError};
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

/// Runs the program. Faults are logged.
pub(crate) fn main() -> ExitCode {
    let args = Args::parse();
    start_log();
    match args.command {
        Command::Serve { config, script } => serve(&config, script.as_deref()),
        Command::Check { config, script } => check(&config, script.as_deref()),
    }
}

fn serve(config: &Path, script: Option<&Path>) -> ExitCode {
    let Configuration { settings, tunables } = match load(config, script) {
        Ok(configuration) => configuration,
        Err(faults) => return log_faults(&faults),
    };
    info!(node = %settings.node_name, zone = %settings.zone, "starting");
    match node::run(settings, tunables) {
        Ok(()) => ExitCode::SUCCESS,
        Err(error) => {
            error!("cannot serve: {error}");
            ExitCode::FAILURE
        }
    }
}

fn check(config: &Path, script: Option<&Path>) -> ExitCode {
    match load(config, script) {
        Ok(_) => {
            println!("settings are in order");
            ExitCode::SUCCESS
        }
        Err(faults) => log_faults(&faults),
    }
}

fn log_faults(faults: &[ConfigurationError]) -> ExitCode {
    for fault in faults {
        error!("{fault}");
    }
    ExitCode::FAILURE
}

/// Both kinds of settings.
struct Configuration {
    settings: Settings,
    tunables: Tunables,
}

/// One fault of either kind of settings.
#[derive(Debug, thiserror::Error)]
enum ConfigurationError {
    #[error(transparent)]
    Settings(#[from] SettingsError),
    #[error(transparent)]
    Script(#[from] ScriptError),
}

/// Reads both kinds of settings.
///
/// # Errors
///
/// All faults of both, those of the platform's file first.
fn load(config: &Path, script: Option<&Path>) -> Result<Configuration, Vec<ConfigurationError>> {
    let settings = Settings::read(config).map_err(into_configuration_errors);
    let tunables = operator_script::read(script).map_err(into_configuration_errors);
    match (settings, tunables) {
        (Ok(settings), Ok(tunables)) => {
            let unknown = operator_script::unknown_teams(&tunables, &settings.site);
            if unknown.is_empty() {
                Ok(Configuration { settings, tunables })
            } else {
                Err(into_configuration_errors(unknown))
            }
        }
        (settings, tunables) => {
            let mut faults = settings.err().unwrap_or_default();
            faults.extend(tunables.err().unwrap_or_default());
            Err(faults)
        }
    }
}

fn into_configuration_errors<E: Into<ConfigurationError>>(
    faults: Vec<E>,
) -> Vec<ConfigurationError> {
    faults.into_iter().map(Into::into).collect()
}

/// Logs to standard error at the level of `LOG_LEVEL`, or at info if that is unset or unknown.
fn start_log() {
    let requested = std::env::var("LOG_LEVEL").ok();
    let level = match requested.as_deref() {
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
        match requested {
            Some(other) => warn!("LOG_LEVEL {other:?} is not known: logging at info"),
            None => warn!("LOG_LEVEL is not set: logging at info"),
        }
    }
}
