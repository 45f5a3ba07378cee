//! What the key-value store's history tells of elections between two versions, and of the jobs that lived
//! under both. No sockets and no clock.

use std::collections::{BTreeMap, BTreeSet};

use walnutlug_scheduler::storage::keys;

use crate::fake_key_value_store::Event;

/// Which of the two programs a node runs.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub enum Version {
    /// The one before.
    Previous,
    /// The one under test.
    New,
}

/// Counts of what went from one version to the other.
#[derive(Debug, Default, Clone, Copy, PartialEq, Eq)]
pub struct BothWays {
    /// From the previous version to the new one.
    pub previous_to_new: usize,
    /// From the new version to the previous one.
    pub new_to_previous: usize,
}

impl BothWays {
    /// Counts one, unless both are the same version.
    pub fn count(&mut self, from: Version, to: Version) {
        match (from, to) {
            (Version::Previous, Version::New) => self.previous_to_new += 1,
            (Version::New, Version::Previous) => self.new_to_previous += 1,
            _ => {}
        }
    }

    /// The smaller of both counts.
    pub fn least(&self) -> usize {
        self.previous_to_new.min(self.new_to_previous)
    }
}

/// What a history tells.
#[derive(Debug, Default)]
pub struct Elections {
    /// Leaders that followed one of the other version.
    pub elections: BothWays,
    /// Leaders that followed one of their own version.
    pub same_version: usize,
    /// Jobs accepted while one version led, and done under the other.
    pub accepted_then_done: BothWays,
    /// Jobs with starts recorded by a leader of one version, and done under the other.
    pub started_then_done: BothWays,
    /// Jobs accepted while one version led, and cancelled while the other did.
    pub accepted_then_aborted: BothWays,
    /// The version under whose lead each job was done.
    pub done_under: BTreeMap<String, Version>,
    last: Option<Version>,
    leader: Option<Version>,
    accepted_under: BTreeMap<String, Version>,
    started_under: BTreeMap<String, BTreeSet<Version>>,
}

impl Elections {
    /// Reads a whole history; of each node the version has to be known.
    pub fn read(history: &[Event], version_of: impl Fn(&str) -> Option<Version>) -> Elections {
        let mut told = Elections::default();
        for event in history {
            if event.key == keys::LEADER {
                let node = event.value.as_ref().and_then(|value| value["node"].as_str());
                told.led_by(node.and_then(&version_of));
            } else if let Some(value) = &event.value {
                told.written(&event.key, value.as_str());
            }
        }
        told
    }

    fn led_by(&mut self, leader: Option<Version>) {
        self.leader = leader;
        let Some(now) = leader else { return };
        match self.last.replace(now) {
            Some(before) if before == now => self.same_version += 1,
            Some(before) => self.elections.count(before, now),
            None => {}
        }
    }

    fn written(&mut self, key: &str, text: Option<&str>) {
        let Some(leader) = self.leader else { return };
        if let Some(job) = key.strip_prefix(keys::JOB) {
            self.accepted_under.insert(job.to_owned(), leader);
        } else if let Some((job, ..)) = keys::split_run(key) {
            self.started_under.entry(job.to_owned()).or_default().insert(leader);
        } else if let Some(job) = key.strip_prefix(keys::END) {
            self.ended(job, leader, text == Some("done"));
        }
    }

    fn ended(&mut self, job: &str, leader: Version, done: bool) {
        let accepted = self.accepted_under.get(job).copied().unwrap_or(leader);
        if !done {
            return self.accepted_then_aborted.count(accepted, leader);
        }
        self.accepted_then_done.count(accepted, leader);
        for &started in self.started_under.get(job).into_iter().flatten() {
            self.started_then_done.count(started, leader);
        }
        self.done_under.insert(job.to_owned(), leader);
    }
}
