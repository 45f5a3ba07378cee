//! Looks up typed fields in the platform's settings and collects the errors found on the way.

use std::net::{Ipv4Addr, SocketAddrV4};
use std::ops::RangeInclusive;

use serde_json::Value;
use walnutlug_scheduler::time::TimeDelta;

use super::error::{FieldError, SettingsError};
use crate::key_value_client::Limits;

/// Reads fields by their dotted paths, such as `facts.cloud.rps`. A method that finds an invalid field
/// records the error and returns a placeholder, so that the remaining fields are checked too.
pub(super) struct Reader<'a> {
    root: &'a Value,
    errors: Vec<SettingsError>,
}

impl<'a> Reader<'a> {
    pub(super) fn new(root: &'a Value) -> Reader<'a> {
        Reader { root, errors: Vec::new() }
    }

    /// Returns the given value if no error was recorded, and all recorded errors otherwise.
    pub(super) fn finish<T>(self, value: T) -> Result<T, Vec<SettingsError>> {
        if self.errors.is_empty() {
            Ok(value)
        } else {
            Err(self.errors)
        }
    }

    pub(super) fn report(&mut self, path: impl Into<String>, error: FieldError) {
        self.errors.push(SettingsError::Field { path: path.into(), error });
    }

    pub(super) fn report_too_few_sockets(&mut self, limit: f64, minimum: u32, peers: usize) {
        self.errors.push(SettingsError::TooFewSockets { limit, minimum, peers });
    }

    /// Returns the value at a dotted path, or `Null` if there is none.
    pub(super) fn value_at(&self, path: &str) -> &'a Value {
        path.split('.').fold(self.root, |value, field| &value[field])
    }

    pub(super) fn text(&mut self, path: &str) -> String {
        match self.value_at(path).as_str() {
            Some(text) if !text.is_empty() => return text.to_owned(),
            Some(_) => self.report(path, FieldError::Empty),
            None => self.report(path, FieldError::NotAString),
        }
        String::new()
    }

    pub(super) fn addr(&mut self, path: &str) -> SocketAddrV4 {
        let text = self.text(path);
        text.parse().unwrap_or_else(|_| {
            if !text.is_empty() {
                self.report(path, FieldError::NotAnAddress);
            }
            SocketAddrV4::new(Ipv4Addr::UNSPECIFIED, 0)
        })
    }

    pub(super) fn number(&mut self, path: &str, range: RangeInclusive<f64>) -> f64 {
        let (min, max) = range.clone().into_inner();
        match self.value_at(path).as_f64() {
            Some(value) if range.contains(&value) => return value,
            Some(value) => self.report(path, FieldError::OutOfRange { value, min, max }),
            None => self.report(path, FieldError::NotANumber),
        }
        min
    }

    pub(super) fn seconds(&mut self, path: &str, range: RangeInclusive<f64>) -> TimeDelta {
        TimeDelta::from_secs_f64(self.number(path, range))
    }

    /// Reads a number, which may be left out only if there is a fallback.
    fn number_or(&mut self, path: &str, range: RangeInclusive<f64>, fallback: Option<f64>) -> f64 {
        match (self.value_at(path), fallback) {
            (Value::Null, Some(fallback)) => fallback,
            _ => self.number(path, range),
        }
    }

    /// Reads the limits of the key-value store. Each may be left out only if there is a fallback.
    pub(super) fn limits(&mut self, path: &str, fallback: Option<Limits>) -> Limits {
        let path = |field: &str| format!("{path}.{field}");
        let fallback_kb = fallback.map(|limits| limits.value_bytes as f64 / 1024.0);
        let kb = self.number_or(&path("value_kb"), 1.0..=64.0, fallback_kb);
        let fallback_ops = fallback.map(|limits| limits.txn_ops as f64);
        Limits {
            rps: self.number_or(&path("rps"), 1.0..=1.0e6, fallback.map(|limits| limits.rps)),
            write_rps: self.number_or(
                &path("write_rps"),
                1.0..=1.0e6,
                fallback.map(|limits| limits.write_rps),
            ),
            value_bytes: (kb * 1024.0) as usize,
            txn_ops: self.number_or(&path("txn_ops"), 2.0..=10_000.0, fallback_ops) as usize,
        }
    }

    pub(super) fn list(&mut self, path: &str) -> &'a [Value] {
        match self.value_at(path) {
            Value::Array(items) => items,
            _ => {
                self.report(path, FieldError::NotAList);
                &[]
            }
        }
    }

    /// Reads a list that may be left out, and is then empty.
    pub(super) fn optional_list(&mut self, path: &str) -> &'a [Value] {
        match self.value_at(path) {
            Value::Null => &[],
            _ => self.list(path),
        }
    }
}
