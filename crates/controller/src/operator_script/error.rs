//! Errors in the operators' script. Operators read the messages, and the tests check their exact text.

use std::path::PathBuf;

/// An error in the script, either in one setting or in the script as a whole.
#[derive(Debug, thiserror::Error)]
pub(crate) enum ScriptError {
    #[error("script: cannot read {}: {source}", path.display())]
    Unreadable { path: PathBuf, source: std::io::Error },
    /// The Lua interpreter could not be created.
    #[error("script: {0}")]
    Interpreter(#[source] mlua::Error),
    /// The script ended with an error. Only the first line of the message is shown: the stack trace
    /// that follows is of no use to an operator.
    #[error("script: {}", first_line(.0))]
    Failed(#[source] mlua::Error),
    #[error("script: must return a table, not {type_name}")]
    NotATable { type_name: &'static str },
    #[error("script: {setting}: {error}")]
    Setting { setting: String, error: SettingError },
}

/// The reason why the value of one setting is invalid.
#[derive(Debug, thiserror::Error)]
pub(crate) enum SettingError {
    #[error("no such setting")]
    Unknown,
    #[error("must be a number")]
    NotANumber,
    #[error("must be a whole number")]
    NotWhole,
    #[error("must be true or false")]
    NotABoolean,
    #[error("{value} is out of range: must be from {min} to {max}")]
    OutOfRange { value: f64, min: f64, max: f64 },
    #[error("must be a table that maps names to numbers")]
    NotATableOfNumbers,
    #[error("every entry must map a name to a number")]
    InvalidEntry,
    #[error("{name}: {value} is out of range: must be from {min} to {max}")]
    EntryOutOfRange { name: String, value: f64, min: f64, max: f64 },
    #[error("{0}: no such team")]
    UnknownTeam(String),
}

fn first_line(error: &mlua::Error) -> String {
    error.to_string().lines().next().unwrap_or_default().to_owned()
}
