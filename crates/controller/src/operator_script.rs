//! The operators' settings: a Lua script that returns a table. It runs once at start, without
//! libraries that reach outside, and within limits of instructions and memory.

use std::collections::BTreeMap;
use std::path::Path;

use mlua::{HookTriggers, Lua, LuaOptions, StdLib, Table, Value, VmState};
use walnutlug_admission::shares::WEIGHTS;
use walnutlug_scheduler::time::TimeDelta;
use walnutlug_scheduler::tunables::{Site, Tunables};

/// What ships; checked by the same code as an operator's own.
const DEFAULT: &str = include_str!("../../../deploy/walnutlug.lua");
const MEMORY: usize = 2 * 1024 * 1024;
const INSTRUCTIONS: u32 = 1_000_000;

pub fn read(path: Option<&Path>) -> Result<Tunables, Vec<String>> {
    match path {
        None => run(DEFAULT),
        Some(path) => {
            let text = std::fs::read_to_string(path)
                .map_err(|e| vec![format!("script: cannot read {}: {e}", path.display())])?;
            run(&text)
        }
    }
}

/// One message for each team that has a weight and isn't in the platform's file.
pub fn unknown_teams(tunables: &Tunables, site: &Site) -> Vec<String> {
    let unknown = tunables.team_weights.keys().filter(|name| site.team(name).is_none());
    unknown.map(|name| format!("script: team_weights: {name}: no such team")).collect()
}

fn evaluate(text: &str) -> Result<(Lua, Table), String> {
    let libs = StdLib::MATH | StdLib::STRING | StdLib::TABLE;
    let lua = Lua::new_with(libs, LuaOptions::default()).map_err(|e| e.to_string())?;
    let globals = lua.globals();
    // The base library is always there; these of its functions reach files or other code.
    for name in ["dofile", "loadfile", "load", "require", "collectgarbage", "print"] {
        globals.set(name, Value::Nil).map_err(|e| e.to_string())?;
    }
    lua.set_memory_limit(MEMORY).map_err(|e| e.to_string())?;
    let every = HookTriggers::new().every_nth_instruction(INSTRUCTIONS);
    lua.set_hook(every, |_, _| -> mlua::Result<VmState> {
        Err(mlua::Error::runtime("runs for too long"))
    })
    .map_err(|e| e.to_string())?;
    let value: Value =
        lua.load(text).set_name("=script").eval().map_err(|e| first_line(&e.to_string()))?;
    match value {
        Value::Table(table) => Ok((lua, table)),
        other => Err(format!("must return a table, not {}", other.type_name())),
    }
}

fn first_line(text: &str) -> String {
    text.lines().next().unwrap_or_default().to_owned()
}

struct Fields<'a> {
    table: &'a Table,
    known: Vec<&'static str>,
    faults: Vec<String>,
}

impl Fields<'_> {
    fn number(&mut self, name: &'static str, slot: &mut f64, least: f64, most: f64) {
        self.known.push(name);
        let value = match self.table.raw_get::<Value>(name) {
            Ok(Value::Nil) => return,
            Ok(Value::Number(n)) => n,
            Ok(Value::Integer(n)) => n as f64,
            _ => {
                self.faults.push(format!("script: {name}: must be a number"));
                return;
            }
        };
        if (least..=most).contains(&value) {
            *slot = value;
        } else {
            self.faults.push(format!("script: {name}: {value} is not from {least} to {most}"));
        }
    }

    /// A table of numbers by name.
    fn numbers(
        &mut self,
        name: &'static str,
        slot: &mut BTreeMap<String, f64>,
        least: f64,
        most: f64,
    ) {
        self.known.push(name);
        let table = match self.table.raw_get::<Value>(name) {
            Ok(Value::Nil) => return,
            Ok(Value::Table(table)) => table,
            _ => {
                self.faults.push(format!("script: {name}: must be a table of numbers by name"));
                return;
            }
        };
        for (key, value) in table.pairs::<Value, Value>().flatten() {
            let number = match value {
                Value::Number(n) => Some(n),
                Value::Integer(n) => Some(n as f64),
                _ => None,
            };
            let (Value::String(key), Some(number)) = (key, number) else {
                self.faults.push(format!("script: {name}: must hold numbers by name"));
                continue;
            };
            let key = key.to_string_lossy();
            if (least..=most).contains(&number) {
                slot.insert(key, number);
            } else {
                let fault =
                    format!("script: {name}: {key}: {number} is not from {least} to {most}");
                self.faults.push(fault);
            }
        }
    }

    fn flag(&mut self, name: &'static str, slot: &mut bool) {
        self.known.push(name);
        match self.table.raw_get::<Value>(name) {
            Ok(Value::Nil) => {}
            Ok(Value::Boolean(on)) => *slot = on,
            _ => self.faults.push(format!("script: {name}: must be true or false")),
        }
    }

    fn span(&mut self, name: &'static str, slot: &mut TimeDelta, least: f64, most: f64) {
        let mut seconds = slot.as_secs_f64();
        self.number(name, &mut seconds, least, most);
        *slot = TimeDelta::from_secs_f64(seconds);
    }

    fn count(&mut self, name: &'static str, slot: &mut u32, least: u32, most: u32) {
        let mut n = f64::from(*slot);
        self.number(name, &mut n, f64::from(least), f64::from(most));
        if n.fract() != 0.0 {
            self.faults.push(format!("script: {name}: must be a whole number"));
        }
        *slot = n as u32;
    }
}

fn run(text: &str) -> Result<Tunables, Vec<String>> {
    let (_lua, table) = evaluate(text).map_err(|e| vec![format!("script: {e}")])?;
    let mut t = Tunables::default();
    let mut f = Fields { table: &table, known: Vec::new(), faults: Vec::new() };
    f.span("leader_lease", &mut t.leader_lease, 0.5, 60.0);
    f.span("settle_margin", &mut t.settle_margin, 0.5, 600.0);
    f.span("patience", &mut t.patience, 1.0, 3_600.0);
    f.span("idle_spot", &mut t.idle_spot, 0.0, 86_400.0);
    f.span("idle_ordinary", &mut t.idle_ordinary, 0.0, 86_400.0);
    f.span("ordinary_slack", &mut t.ordinary_slack, 0.0, 86_400.0);
    f.number("premium", &mut t.premium, 0.0, 1_000.0);
    f.span("rent_slack", &mut t.rent_slack, 0.0, 86_400.0);
    f.span("preempt_slack", &mut t.preempt_slack, 0.0, 86_400.0);
    f.number("headroom", &mut t.headroom, 0.0, 10.0);
    f.number("headroom_cheap", &mut t.headroom_cheap, 0.0, 100.0);
    f.span("idle_cheap", &mut t.idle_cheap, 0.0, 86_400.0);
    f.span("begin_within", &mut t.begin_within, 1.0, 86_400.0);
    f.span("lift_after", &mut t.lift_after, 1.0, 86_400.0);
    f.number("lift_share", &mut t.lift_share, 0.0, 1.0);
    f.number("boot_patience", &mut t.boot_patience, 1.0, 100.0);
    f.count("sick_after", &mut t.sick_after, 1, 1_000);
    f.number("slow_factor", &mut t.slow_factor, 1.1, 100.0);
    f.span("round_every", &mut t.round_every, 0.005, 10.0);
    f.span("evidence_delay", &mut t.evidence_delay, 0.1, 600.0);
    f.span("chain_step", &mut t.chain_step, 0.0, 3_600.0);
    f.count("txns_in_flight", &mut t.txns_in_flight, 1, 64);
    f.flag("shared_order", &mut t.shared_order);
    f.number("overload_at", &mut t.overload_at, 0.01, 100.0);
    f.number("class_floor", &mut t.class_floor, 0.0, 0.5);
    f.numbers("team_weights", &mut t.team_weights, *WEIGHTS.start(), *WEIGHTS.end());
    f.flag("fenced_duties", &mut t.fenced_duties);
    for pair in table.pairs::<Value, Value>() {
        let Ok((key, _)) = pair else { continue };
        let name = key.to_string().unwrap_or_default();
        if !f.known.iter().any(|k| *k == name) {
            f.faults.push(format!("script: {name}: no such setting"));
        }
    }
    if f.faults.is_empty() {
        Ok(t)
    } else {
        Err(f.faults)
    }
}

#[cfg(test)]
mod tests;
