//! Reads the lists in the platform's settings: peers, teams and objectives. An invalid entry is
//! reported and left out.

use std::net::SocketAddrV4;

use serde_json::Value;
use walnutlug_scheduler::model::team::Team;
use walnutlug_scheduler::time::TimeDelta;
use walnutlug_scheduler::tunables::Objective;

use super::error::FieldError;
use super::reader::Reader;
use super::Peer;

pub(super) fn read_peers(reader: &mut Reader<'_>, node_name: &str) -> Vec<Peer> {
    let mut peers: Vec<Peer> = Vec::new();
    for (index, item) in reader.optional_list("peers").iter().enumerate() {
        match read_peer(item, node_name, &peers) {
            Ok(peer) => peers.push(peer),
            Err(error) => reader.report(format!("peers.{index}"), error),
        }
    }
    peers
}

fn read_peer(item: &Value, node_name: &str, others: &[Peer]) -> Result<Peer, FieldError> {
    let name = item["node_name"].as_str().unwrap_or_default().to_owned();
    let addr = item["peer_addr"].as_str().and_then(|text| text.parse::<SocketAddrV4>().ok());
    let addr = addr.ok_or(FieldError::InvalidPeer)?;
    if others.iter().any(|other| other.name == name || other.addr == addr) {
        return Err(FieldError::DuplicatePeer { name, addr });
    }
    if name.is_empty() || name == node_name {
        return Err(FieldError::InvalidPeer);
    }
    Ok(Peer { name, addr })
}

pub(super) fn read_teams(reader: &mut Reader<'_>) -> Vec<Team> {
    let mut teams = Vec::new();
    for (index, item) in reader.list("facts.teams").iter().enumerate() {
        match read_team(item) {
            Some(team) => teams.push(team),
            None => reader.report(format!("facts.teams.{index}"), FieldError::InvalidTeam),
        }
    }
    teams
}

fn read_team(item: &Value) -> Option<Team> {
    let amount = |field: &str| match &item[field] {
        Value::Null => Some(0.0),
        value => value.as_f64().filter(|amount| *amount >= 0.0),
    };
    Some(Team {
        name: item["name"].as_str().filter(|name| !name.is_empty())?.to_owned(),
        cpus: amount("cpus")?,
        cpus_max: amount("cpus_max")?,
        gpus: amount("gpus")?,
        gpus_max: amount("gpus_max")?,
    })
}

pub(super) fn read_objectives(reader: &mut Reader<'_>) -> Vec<Objective> {
    let mut objectives = Vec::new();
    for (index, item) in reader.optional_list("facts.objectives").iter().enumerate() {
        objectives.extend(read_objective(reader, index, item));
    }
    objectives
}

/// Returns `None` for an invalid objective, which is reported, and for one of an unknown kind, which
/// is ignored because later versions of the platform may add kinds.
fn read_objective(reader: &mut Reader<'_>, index: usize, item: &Value) -> Option<Objective> {
    let class = item["class"].as_str().unwrap_or_default().to_owned();
    let mut amount = |field: &str, default: Option<f64>| match &item[field] {
        Value::Null if default.is_some() => default,
        value => {
            let amount = value.as_f64().filter(|amount| *amount > 0.0 && amount.is_finite());
            if amount.is_none() {
                let path = format!("facts.objectives.{index}.{field}");
                reader.report(path, FieldError::NotPositive);
            }
            amount
        }
    };
    match item["kind"].as_str() {
        Some("deadline") => Some(Objective::Deadline { class, times: amount("times", Some(1.0))? }),
        Some("wait") => {
            let within = TimeDelta::from_secs_f64(amount("within_s", None)?);
            Some(Objective::Wait { class, within })
        }
        Some("finished") => {
            let within = TimeDelta::from_secs_f64(amount("within_s", None)?);
            Some(Objective::Finished { class, within })
        }
        Some(_) => None,
        None => {
            reader.report(format!("facts.objectives.{index}.kind"), FieldError::NotAString);
            None
        }
    }
}
