//! Tests of the pause after lost requests, and of what a request contains.

use super::WorkerChannel;
use crate::model::ids::{AgentEpoch, Attempt, JobIndex, MachineIndex, TaskId};
use crate::model::start::{Placement, TaskStart};
use crate::protocol::workers::WorkerCommand;
use crate::time::{TimeDelta, Timestamp};

const NOW: Timestamp = Timestamp(1_000_000);

fn kill_command() -> WorkerCommand {
    WorkerCommand::Kill { task: "req-000001/0".to_owned(), attempt: Attempt::FIRST, grace_s: 0.0 }
}

#[test]
fn the_pause_after_lost_requests_doubles_at_most_four_times() {
    let mut channel = WorkerChannel::default();
    for expected_s in [1, 2, 4, 8, 16, 16] {
        channel.request_lost(NOW, TimeDelta::from_secs(1));
        let end = NOW + TimeDelta::from_secs(expected_s);
        assert!(channel.is_paused(end - TimeDelta(1)) && !channel.is_paused(end), "{expected_s}");
    }
    channel.request_answered();
    channel.request_lost(NOW, TimeDelta::from_secs(1));
    assert!(!channel.is_paused(NOW + TimeDelta::from_secs(1)));
}

#[test]
fn an_acknowledgement_ends_the_pause_only_after_a_single_loss() {
    let mut channel = WorkerChannel::default();
    channel.request_lost(NOW, TimeDelta::from_secs(1));
    channel.acknowledged(NOW);
    assert!(!channel.is_paused(NOW));
    channel.request_lost(NOW, TimeDelta::from_secs(1));
    channel.acknowledged(NOW);
    assert!(channel.is_paused(NOW));
}

#[test]
fn a_request_takes_all_waiting_commands_and_remembers_its_starts() {
    let mut channel = WorkerChannel::default();
    channel.push(kill_command());
    channel.push_missing(vec![kill_command()]);
    let placement =
        Placement { attempt: Attempt::FIRST, machine: MachineIndex(0), agent_epoch: AgentEpoch(1) };
    let start = TaskStart { task: TaskId { job: JobIndex(1), index: 0 }, placement };
    assert_eq!(channel.begin_request(vec![start]), [kill_command()]);
    assert!(channel.has_request_in_flight() && !channel.has_commands());
    assert_eq!(channel.end_request(), Some(vec![start]));
    assert_eq!(channel.end_request(), None, "an outcome is counted only once");
}
