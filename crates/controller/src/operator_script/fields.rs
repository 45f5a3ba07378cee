//! Reads typed settings from the table that a script returned, and collects the errors found.

use std::collections::BTreeMap;
use std::ops::RangeInclusive;

use mlua::{Table, Value};
use walnutlug_scheduler::time::TimeDelta;

use super::error::{ScriptError, SettingError};

/// Reads settings by name. Each method leaves the target unchanged if the script doesn't set the name
/// or sets it to an invalid value; an invalid value is recorded as an error.
pub(super) struct Fields<'a> {
    table: &'a Table,
    /// Names that were read so far; any other name in the table is an error.
    known_names: Vec<&'static str>,
    errors: Vec<ScriptError>,
}

impl<'a> Fields<'a> {
    pub(super) fn new(table: &'a Table) -> Fields<'a> {
        Fields { table, known_names: Vec::new(), errors: Vec::new() }
    }

    /// Returns all errors, including one for each name in the table that was never read.
    pub(super) fn into_errors(mut self) -> Vec<ScriptError> {
        for (key, _) in self.table.pairs::<Value, Value>().flatten() {
            let name = key.to_string().unwrap_or_default();
            if !self.known_names.iter().any(|known| *known == name) {
                self.report(&name, SettingError::Unknown);
            }
        }
        self.errors
    }

    fn report(&mut self, setting: &str, error: SettingError) {
        self.errors.push(ScriptError::Setting { setting: setting.to_owned(), error });
    }

    pub(super) fn number(
        &mut self,
        name: &'static str,
        target: &mut f64,
        range: RangeInclusive<f64>,
    ) {
        self.known_names.push(name);
        let value = match self.table.raw_get::<Value>(name) {
            Ok(Value::Nil) => return,
            Ok(value) => as_number(&value),
            Err(_) => None,
        };
        let (min, max) = range.clone().into_inner();
        match value {
            Some(value) if range.contains(&value) => *target = value,
            Some(value) => self.report(name, SettingError::OutOfRange { value, min, max }),
            None => self.report(name, SettingError::NotANumber),
        }
    }

    /// Reads a table that maps names to numbers, such as the weights of teams.
    pub(super) fn numbers(
        &mut self,
        name: &'static str,
        target: &mut BTreeMap<String, f64>,
        range: RangeInclusive<f64>,
    ) {
        self.known_names.push(name);
        let table = match self.table.raw_get::<Value>(name) {
            Ok(Value::Nil) => return,
            Ok(Value::Table(table)) => table,
            Ok(_) | Err(_) => return self.report(name, SettingError::NotATableOfNumbers),
        };
        let (min, max) = range.clone().into_inner();
        for (key, value) in table.pairs::<Value, Value>().flatten() {
            let (Value::String(key), Some(value)) = (key, as_number(&value)) else {
                self.report(name, SettingError::InvalidEntry);
                continue;
            };
            let key = key.to_string_lossy();
            if range.contains(&value) {
                target.insert(key, value);
            } else {
                let error = SettingError::EntryOutOfRange { name: key, value, min, max };
                self.report(name, error);
            }
        }
    }

    pub(super) fn flag(&mut self, name: &'static str, target: &mut bool) {
        self.known_names.push(name);
        match self.table.raw_get::<Value>(name) {
            Ok(Value::Nil) => {}
            Ok(Value::Boolean(on)) => *target = on,
            Ok(_) | Err(_) => self.report(name, SettingError::NotABoolean),
        }
    }

    /// Reads a duration, which the script gives in seconds.
    pub(super) fn seconds(
        &mut self,
        name: &'static str,
        target: &mut TimeDelta,
        range: RangeInclusive<f64>,
    ) {
        let mut seconds = target.as_secs_f64();
        self.number(name, &mut seconds, range);
        *target = TimeDelta::from_secs_f64(seconds);
    }

    /// Reads a whole number; one with a fractional part is an error.
    pub(super) fn count(
        &mut self,
        name: &'static str,
        target: &mut u32,
        range: RangeInclusive<u32>,
    ) {
        let (min, max) = range.into_inner();
        let mut number = f64::from(*target);
        self.number(name, &mut number, f64::from(min)..=f64::from(max));
        if number.fract() != 0.0 {
            self.report(name, SettingError::NotWhole);
        }
        *target = number as u32;
    }
}

fn as_number(value: &Value) -> Option<f64> {
    match value {
        Value::Number(number) => Some(*number),
        Value::Integer(number) => Some(*number as f64),
        _ => None,
    }
}
