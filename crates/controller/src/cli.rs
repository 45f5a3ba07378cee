//! The command-line interface: `serve` runs a node, `check` validates its configuration.

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
    /// Run one controller node in the foreground until it is killed
    Serve {
        /// The platform's settings file (JSON)
        #[arg(long, value_name = "FILE")]
        config: PathBuf,
        /// The operators' settings script (Lua); without it, the built-in defaults apply
        #[arg(long, value_name = "FILE")]
        script: Option<PathBuf>,
    },
    /// Check both settings files, report every error in them, and exit
    Check {
        /// The platform's settings file (JSON)
        #[arg(long, value_name = "FILE")]
        config: PathBuf,
        /// The operators' settings script (Lua); without it, the built-in defaults apply
        #[arg(long, value_name = "FILE")]
        script: Option<PathBuf>,
    },
}

/// Parses the arguments and runs the chosen subcommand. Errors are logged and end in a failure exit
/// code.
pub(crate) fn main() -> ExitCode {
    let args = Args::parse();
    init_logging();
    match args.command {
        Command::Serve { config, script } => serve(&config, script.as_deref()),
        Command::Check { config, script } => check(&config, script.as_deref()),
    }
}

fn serve(config: &Path, script: Option<&Path>) -> ExitCode {
    let Configuration { settings, tunables } = match load(config, script) {
        Ok(configuration) => configuration,
        Err(errors) => return log_errors(&errors),
    };
    info!(node = %settings.node_name, zone = %settings.zone, "starting the controller node");
    match node::run(settings, tunables) {
        Ok(()) => ExitCode::SUCCESS,
        Err(error) => {
            error!("cannot start the controller node: {error}");
            ExitCode::FAILURE
        }
    }
}

fn check(config: &Path, script: Option<&Path>) -> ExitCode {
    match load(config, script) {
        Ok(_) => {
            println!("settings are valid");
            ExitCode::SUCCESS
        }
        Err(errors) => log_errors(&errors),
    }
}

fn log_errors(errors: &[ConfigurationError]) -> ExitCode {
    for error in errors {
        error!("{error}");
    }
    ExitCode::FAILURE
}

/// The checked content of the platform's settings file and of the operators' script.
struct Configuration {
    settings: Settings,
    tunables: Tunables,
}

/// An error in the platform's settings file or in the operators' script.
#[derive(Debug, thiserror::Error)]
enum ConfigurationError {
    #[error(transparent)]
    Settings(#[from] SettingsError),
    #[error(transparent)]
    Script(#[from] ScriptError),
}

/// Reads the platform's settings file and the operators' script, and checks that the script names
/// only teams that the file defines.
///
/// # Errors
///
/// Returns all errors of both, those of the platform's file first.
fn load(config: &Path, script: Option<&Path>) -> Result<Configuration, Vec<ConfigurationError>> {
    let settings = Settings::read(config).map_err(into_configuration_errors);
    let tunables = operator_script::read(script).map_err(into_configuration_errors);
    match (settings, tunables) {
        (Ok(settings), Ok(tunables)) => {
            let unknown_teams = operator_script::unknown_teams(&tunables, &settings.site);
            if unknown_teams.is_empty() {
                Ok(Configuration { settings, tunables })
            } else {
                Err(into_configuration_errors(unknown_teams))
            }
        }
        (settings, tunables) => {
            let mut errors = settings.err().unwrap_or_default();
            errors.extend(tunables.err().unwrap_or_default());
            Err(errors)
        }
    }
}

fn into_configuration_errors<E: Into<ConfigurationError>>(
    errors: Vec<E>,
) -> Vec<ConfigurationError> {
    errors.into_iter().map(Into::into).collect()
}

/// Logs to standard error at the level in the environment variable `LOG_LEVEL`, or at info if that is
/// unset or not a known level.
fn init_logging() {
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
            Some(other) => warn!("unknown LOG_LEVEL {other:?}: logging at info"),
            None => warn!("LOG_LEVEL is not set: logging at info"),
        }
    }
}
