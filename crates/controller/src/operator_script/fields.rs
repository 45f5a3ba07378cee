//! Reads the settings in a script's table, and collects what is wrong with them.

use std::collections::BTreeMap;
use std::ops::RangeInclusive;

use mlua::{Table, Value};
use walnutlug_scheduler::time::TimeDelta;

use super::error::{ScriptError, SettingFault};

/// Reads settings by their names. Each method leaves the value as it is where the script doesn't set it,
/// or sets it wrongly.
pub(super) struct Fields<'a> {
    table: &'a Table,
    known: Vec<&'static str>,
    faults: Vec<ScriptError>,
}

impl<'a> Fields<'a> {
    pub(super) fn new(table: &'a Table) -> Fields<'a> {
        Fields { table, known: Vec::new(), faults: Vec::new() }
    }

    /// All faults, those of settings that nothing read among them.
    pub(super) fn into_faults(mut self) -> Vec<ScriptError> {
        for (key, _) in self.table.pairs::<Value, Value>().flatten() {
            let name = key.to_string().unwrap_or_default();
            if !self.known.iter().any(|known| *known == name) {
                self.fault(&name, SettingFault::Unknown);
            }
        }
        self.faults
    }

    fn fault(&mut self, setting: &str, fault: SettingFault) {
        self.faults.push(ScriptError::Setting { setting: setting.to_owned(), fault });
    }

    pub(super) fn number(
        &mut self,
        name: &'static str,
        slot: &mut f64,
        range: RangeInclusive<f64>,
    ) {
        self.known.push(name);
        let value = match self.table.raw_get::<Value>(name) {
            Ok(Value::Nil) => return,
            Ok(value) => as_number(&value),
            Err(_) => None,
        };
        let (least, most) = range.clone().into_inner();
        match value {
            Some(value) if range.contains(&value) => *slot = value,
            Some(value) => self.fault(name, SettingFault::OutOfRange { value, least, most }),
            None => self.fault(name, SettingFault::NotANumber),
        }
    }

    /// A table of numbers by name.
    pub(super) fn numbers(
        &mut self,
        name: &'static str,
        slot: &mut BTreeMap<String, f64>,
        range: RangeInclusive<f64>,
    ) {
        self.known.push(name);
        let table = match self.table.raw_get::<Value>(name) {
            Ok(Value::Nil) => return,
            Ok(Value::Table(table)) => table,
            Ok(_) | Err(_) => return self.fault(name, SettingFault::NotNumbersByName),
        };
        let (least, most) = range.clone().into_inner();
        for (key, value) in table.pairs::<Value, Value>().flatten() {
            let (Value::String(key), Some(value)) = (key, as_number(&value)) else {
                self.fault(name, SettingFault::EntryNotANumber);
                continue;
            };
            let key = key.to_string_lossy();
            if range.contains(&value) {
                slot.insert(key, value);
            } else {
                let fault = SettingFault::EntryOutOfRange { name: key, value, least, most };
                self.fault(name, fault);
            }
        }
    }

    pub(super) fn flag(&mut self, name: &'static str, slot: &mut bool) {
        self.known.push(name);
        match self.table.raw_get::<Value>(name) {
            Ok(Value::Nil) => {}
            Ok(Value::Boolean(on)) => *slot = on,
            Ok(_) | Err(_) => self.fault(name, SettingFault::NotAFlag),
        }
    }

    /// A time in seconds.
    pub(super) fn seconds(
        &mut self,
        name: &'static str,
        slot: &mut TimeDelta,
        range: RangeInclusive<f64>,
    ) {
        let mut seconds = slot.as_secs_f64();
        self.number(name, &mut seconds, range);
        *slot = TimeDelta::from_secs_f64(seconds);
    }

    /// A whole number.
    pub(super) fn count(&mut self, name: &'static str, slot: &mut u32, range: RangeInclusive<u32>) {
        let (least, most) = range.into_inner();
        let mut number = f64::from(*slot);
        self.number(name, &mut number, f64::from(least)..=f64::from(most));
        if number.fract() != 0.0 {
            self.fault(name, SettingFault::NotWhole);
        }
        *slot = number as u32;
    }
}

fn as_number(value: &Value) -> Option<f64> {
    match value {
        Value::Number(number) => Some(*number),
        Value::Integer(number) => Some(*number as f64),
        _ => None,
    }
}
