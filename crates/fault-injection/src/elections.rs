//! Counts, from the change history of the key-value store, the elections between two versions of
//! the controller and the jobs that both versions worked on. Uses neither sockets nor a clock.

use std::collections::{BTreeMap, BTreeSet};

use walnutlug_scheduler::storage::keys::{self, RunKey};

use crate::fake_key_value_store::Event;

/// Version of the controller program that a node runs.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub enum Version {
    /// An earlier version, with which the tested one has to be compatible.
    Previous,
    /// The version under test.
    New,
}

/// Number of changes between the versions, counted separately for each direction.
#[derive(Debug, Default, Clone, Copy, PartialEq, Eq)]
pub struct DirectionCounts {
    /// Changes from the previous version to the new one.
    pub previous_to_new: usize,
    /// Changes from the new version to the previous one.
    pub new_to_previous: usize,
}

impl DirectionCounts {
    /// Counts one change in its direction, or nothing if both versions are the same.
    pub fn record(&mut self, from: Version, to: Version) {
        match (from, to) {
            (Version::Previous, Version::New) => self.previous_to_new += 1,
            (Version::New, Version::Previous) => self.new_to_previous += 1,
            _ => {}
        }
    }

    /// Returns the smaller count, which is above zero only if both directions occurred.
    pub fn min(&self) -> usize {
        self.previous_to_new.min(self.new_to_previous)
    }
}

/// Elections and jobs found in a history, by the version that led at the time.
#[derive(Debug, Default)]
pub struct Elections {
    /// Elections after which the other version led.
    pub elections: DirectionCounts,
    /// Elections after which the same version led as before.
    pub same_version: usize,
    /// Jobs that were accepted while one version led and finished while the other led.
    pub accepted_then_done: DirectionCounts,
    /// Jobs whose task starts were recorded while one version led and that finished while the other
    /// led.
    pub started_then_done: DirectionCounts,
    /// Jobs that were accepted while one version led and aborted while the other led.
    pub accepted_then_aborted: DirectionCounts,
    /// For each finished job, the version that led when it finished.
    pub done_under: BTreeMap<String, Version>,
    last_version: Option<Version>,
    leader: Option<Version>,
    accepted_under: BTreeMap<String, Version>,
    started_under: BTreeMap<String, BTreeSet<Version>>,
}

impl Elections {
    /// Counts the elections and jobs of a complete history. `version_of` returns the version that a
    /// node runs; a leader of unknown version is treated as no leader.
    pub fn from_history(
        history: &[Event],
        version_of: impl Fn(&str) -> Option<Version>,
    ) -> Elections {
        let mut summary = Elections::default();
        for event in history {
            if event.key == keys::LEADER {
                let node = event.value.as_ref().and_then(|value| value["node"].as_str());
                summary.record_leader(node.and_then(&version_of));
            } else if let Some(value) = &event.value {
                summary.record_put(&event.key, value.as_str());
            }
        }
        summary
    }

    fn record_leader(&mut self, leader: Option<Version>) {
        self.leader = leader;
        let Some(current) = leader else { return };
        match self.last_version.replace(current) {
            Some(previous) if previous == current => self.same_version += 1,
            Some(previous) => self.elections.record(previous, current),
            None => {}
        }
    }

    fn record_put(&mut self, key: &str, value: Option<&str>) {
        let Some(leader) = self.leader else { return };
        if let Some(job) = key.strip_prefix(keys::JOB) {
            self.accepted_under.insert(job.to_owned(), leader);
        } else if let Some(RunKey { job, .. }) = RunKey::parse(key) {
            self.started_under.entry(job.to_owned()).or_default().insert(leader);
        } else if let Some(job) = key.strip_prefix(keys::END) {
            self.record_end(job, leader, value == Some("done"));
        }
    }

    fn record_end(&mut self, job: &str, leader: Version, done: bool) {
        let accepted = self.accepted_under.get(job).copied().unwrap_or(leader);
        if !done {
            return self.accepted_then_aborted.record(accepted, leader);
        }
        self.accepted_then_done.record(accepted, leader);
        for &started in self.started_under.get(job).into_iter().flatten() {
            self.started_then_done.record(started, leader);
        }
        self.done_under.insert(job.to_owned(), leader);
    }
}
