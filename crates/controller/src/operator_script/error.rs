//! What can be wrong with the operators' script. Operators know the texts.

use std::path::PathBuf;

/// One fault of the script.
#[derive(Debug, thiserror::Error)]
pub(crate) enum ScriptError {
    #[error("script: cannot read {}: {source}", path.display())]
    Unreadable { path: PathBuf, source: std::io::Error },
    /// The interpreter could not be set up.
    #[error("script: {0}")]
    Interpreter(#[source] mlua::Error),
    /// It ended with an error; of the text only the first line is of use to an operator.
    #[error("script: {}", first_line(.0))]
    Failed(#[source] mlua::Error),
    #[error("script: must return a table, not {type_name}")]
    NotATable { type_name: &'static str },
    #[error("script: {setting}: {fault}")]
    Setting { setting: String, fault: SettingFault },
}

/// What is wrong with one setting.
#[derive(Debug, thiserror::Error)]
pub(crate) enum SettingFault {
    #[error("no such setting")]
    Unknown,
    #[error("must be a number")]
    NotANumber,
    #[error("must be a whole number")]
    NotWhole,
    #[error("must be true or false")]
    NotAFlag,
    #[error("{value} is not from {least} to {most}")]
    OutOfRange { value: f64, least: f64, most: f64 },
    #[error("must be a table of numbers by name")]
    NotNumbersByName,
    #[error("must hold numbers by name")]
    EntryNotANumber,
    #[error("{name}: {value} is not from {least} to {most}")]
    EntryOutOfRange { name: String, value: f64, least: f64, most: f64 },
    #[error("{0}: no such team")]
    UnknownTeam(String),
}

fn first_line(error: &mlua::Error) -> String {
    error.to_string().lines().next().unwrap_or_default().to_owned()
}
