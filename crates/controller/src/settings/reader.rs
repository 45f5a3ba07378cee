//! Walks the fields of the platform's settings, and collects what is wrong with them.

use std::net::{Ipv4Addr, SocketAddrV4};
use std::ops::RangeInclusive;

use serde_json::Value;
use walnutlug_scheduler::time::TimeDelta;

use super::error::{FieldFault, SettingsError};
use crate::key_value_client::Limits;

/// Reads fields by their paths. Each method that finds a fault notes it and returns a placeholder, so
/// that the fields after it are looked at too.
pub(super) struct Reader<'a> {
    root: &'a Value,
    faults: Vec<SettingsError>,
}

impl<'a> Reader<'a> {
    pub(super) fn new(root: &'a Value) -> Reader<'a> {
        Reader { root, faults: Vec::new() }
    }

    /// What was read, if there was no fault.
    pub(super) fn finish<T>(self, read: T) -> Result<T, Vec<SettingsError>> {
        if self.faults.is_empty() {
            Ok(read)
        } else {
            Err(self.faults)
        }
    }

    pub(super) fn fault(&mut self, path: impl Into<String>, fault: FieldFault) {
        self.faults.push(SettingsError::Field { path: path.into(), fault });
    }

    pub(super) fn too_few_sockets(&mut self, limit: f64, minimum: u32, peers: usize) {
        self.faults.push(SettingsError::TooFewSockets { limit, minimum, peers });
    }

    /// The value at a path, `Null` if there is none.
    pub(super) fn at(&self, path: &str) -> &'a Value {
        path.split('.').fold(self.root, |value, field| &value[field])
    }

    pub(super) fn text(&mut self, path: &str) -> String {
        match self.at(path).as_str() {
            Some(text) if !text.is_empty() => return text.to_owned(),
            Some(_) => self.fault(path, FieldFault::Empty),
            None => self.fault(path, FieldFault::NotAString),
        }
        String::new()
    }

    pub(super) fn addr(&mut self, path: &str) -> SocketAddrV4 {
        let text = self.text(path);
        text.parse().unwrap_or_else(|_| {
            if !text.is_empty() {
                self.fault(path, FieldFault::NotAnAddress);
            }
            SocketAddrV4::new(Ipv4Addr::UNSPECIFIED, 0)
        })
    }

    pub(super) fn number(&mut self, path: &str, range: RangeInclusive<f64>) -> f64 {
        let (least, most) = range.clone().into_inner();
        match self.at(path).as_f64() {
            Some(value) if range.contains(&value) => return value,
            Some(value) => self.fault(path, FieldFault::OutOfRange { value, least, most }),
            None => self.fault(path, FieldFault::NotANumber),
        }
        least
    }

    pub(super) fn seconds(&mut self, path: &str, range: RangeInclusive<f64>) -> TimeDelta {
        TimeDelta::from_secs_f64(self.number(path, range))
    }

    /// A number that may be left out where there is one to fall back on.
    fn number_or(&mut self, path: &str, range: RangeInclusive<f64>, fallback: Option<f64>) -> f64 {
        match (self.at(path), fallback) {
            (Value::Null, Some(fallback)) => fallback,
            _ => self.number(path, range),
        }
    }

    /// The key-value store's limits. Where there are limits to fall back on, each may be left out.
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
        match self.at(path) {
            Value::Array(items) => items,
            _ => {
                self.fault(path, FieldFault::NotAList);
                &[]
            }
        }
    }

    /// A list that may be left out, and then is empty.
    pub(super) fn optional_list(&mut self, path: &str) -> &'a [Value] {
        match self.at(path) {
            Value::Null => &[],
            _ => self.list(path),
        }
    }
}
