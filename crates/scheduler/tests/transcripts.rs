//! Transcript tests: fixed scripts drive the scheduler, and every command, every answer to a
//! heartbeat and every byte written to the store is compared with the files in `transcripts/`.
//! Renaming or moving code changes no transcript; a change of behaviour fails the test at the first
//! step that differs. `UPDATE_TRANSCRIPTS=1` rewrites the files; use it only for an intended change
//! of behaviour.
//!
//! Log messages and the reasons for which a leader steps down are free text and not recorded.
//!
//! Coverage by module. Scripts are named as in [`SCRIPTS`]. The scenarios are the failure scenarios
//! in `sim/meetings.rs`, whose transcripts are the files `meeting-*.txt`:
//!
//! | module | scripts |
//! | --- | --- |
//! | `scheduler`, `dispatch`, `storage`, `reconciliation::heartbeats`, `model::task`, `model::job`, `protocol` (commands, transactions) | all but leadership and watermark |
//! | `placement`, `queue` | starts, objectives, preemption, large fleet, the scenarios (zones, `one_zone` and `spread` jobs) |
//! | `queue::dependencies` | chains, pressed chains, former records |
//! | `queue::fair_share`, with the package `admission` | floods, the scenarios with a flood |
//! | `autoscaling`, `autoscaling::offers`, `tunables` (objectives) | scale out and in, preemption, the scenarios |
//! | `reconciliation::health` | failing machines, notices |
//! | `reconciliation::repeated_heartbeats`, `reconciliation::delegation` | repeated reports (`repeated_heartbeats`), the scenarios: a follower answers half of the workers |
//! | `leadership::election`, `leadership::cancellation_log`, `leadership::watermark` | leadership and watermark |
//!
//! Not covered: `protocol::users::parse_submission` and the responses to users, which golden tests
//! compare byte by byte.

mod sim;
mod world;

#[path = "transcripts/scripts.rs"]
mod scripts;

use std::collections::BTreeSet;

use sim::meetings::{BASE_WORKLOAD, SCENARIOS};
use sim::{ScriptedEvent, Sim};
use world::{golden, transcript};

/// Scripts that run in the scripted world, with the names of their golden files.
const SCRIPTS: [(&str, fn()); 17] = [
    ("starts", scripts::task_starts),
    ("chains", scripts::job_chains),
    ("cancellations", scripts::cancellations),
    ("failovers", scripts::failovers),
    ("preemption", scripts::preemption),
    ("floods", scripts::overload_with_fair_share),
    ("unshared flood", scripts::overload_without_fair_share),
    ("scale out and in", scripts::scale_out_and_in),
    ("failing machines", scripts::failing_machines),
    ("falling limits", scripts::decreasing_store_limits),
    ("former records", scripts::records_of_previous_version),
    ("large fleet", scripts::large_fleet),
    ("leadership and watermark", scripts::leadership_and_watermark),
    ("pressed chains", scripts::competing_chains),
    ("objectives", scripts::objectives),
    ("notices", scripts::interruption_notices),
    ("repeated reports", scripts::repeated_heartbeats),
];

/// Minimum number of events of each kind in all transcripts together: nine tenths of the numbers
/// when the transcripts were written.
const MIN_EVENT_COUNTS: &[(&str, u64)] = &[
    ("acknowledge", 174),
    ("answer to a forwarded report", 6_323),
    ("answer to a late report", 350),
    ("answer to a repeated (at a follower) report", 1_667),
    ("answer to a repeated report", 1_388),
    ("answer to a whole report", 36_103),
    ("call kill at once", 3_245),
    ("call kill with grace", 38),
    ("call reap", 13_509),
    ("call run", 29_507),
    ("check-lead", 133),
    ("commit", 5_818),
    ("commit deletes run", 2_738),
    ("commit deletes todo", 2_844),
    ("commit deletes todo-chain", 54),
    ("commit lost", 37),
    ("commit puts end", 2_445),
    ("commit puts run", 6_468),
    ("commit refused", 27),
    ("conflict", 233),
    ("direct", 20_010),
    ("direct lost", 57),
    ("find-ends", 36),
    ("find-ends answered in part", 18),
    ("known", 1_350),
    ("machines that ended by themselves", 10),
    ("meeting", 64),
    ("next leader", 12),
    ("read", 23),
    ("rent", 407),
    ("repeated", 534),
    ("repeated again", 534),
    ("return", 382),
    ("role", 1_350),
    ("seconds with an overload shared", 54),
    ("seen a report to the former leader", 369),
    ("seen all away", 10),
    ("seen an overload shared", 8_164),
    ("seen cancelled", 599),
    ("seen cancelled at the end", 126),
    ("seen cancelled on an ill machine", 39),
    ("seen cancelled while the lead changed hands", 118),
    ("seen cancelled while the leader was cut", 34),
    ("seen cancelled while the leader was refused", 69),
    ("seen carried out late", 132),
    ("seen carried out unheard", 54),
    ("seen commands held up", 329),
    ("seen copies of reports", 150),
    ("seen cut with tasks", 24),
    ("seen deaf with tasks", 22),
    ("seen elected", 197),
    ("seen hung with tasks", 18),
    ("seen leader cut", 6),
    ("seen leader ended", 105),
    ("seen leader refused alone", 10),
    ("seen machines died", 21),
    ("seen mute with tasks", 27),
    ("seen old reports at a new leader", 199),
    ("seen team at its limit", 16_895),
    ("seen up within two seconds", 16),
    ("settled", 369),
    ("step-down", 26),
    ("stored", 5_397),
    ("tell", 728),
    ("too-large", 1),
    ("withdrawn", 241),
    ("written by others", 7_235),
];

/// Runs a script and compares its transcript with the golden file.
fn check_script(name: &str) {
    let (_, script) = SCRIPTS
        .iter()
        .find(|(script_name, _)| *script_name == name)
        .expect("a script of that name");
    transcript::record(name, script).assert_matches_golden();
}

fn scenario_name(index: usize) -> String {
    format!("meeting {index:02}")
}

/// Runs every third failure scenario, beginning with the given index, so that three tests share
/// them, and compares the transcripts with the golden files. Each scenario runs with three seeds.
fn check_scenarios(first: usize) {
    for (index, scenario) in SCENARIOS.iter().enumerate().skip(first).step_by(3) {
        let script: Vec<(u64, ScriptedEvent)> =
            BASE_WORKLOAD.iter().chain(scenario.script).copied().collect();
        let transcript = transcript::record(&scenario_name(index), || {
            for seed in 1..=3 {
                transcript::line("meeting", &format!("{} (seed {seed})", scenario.name));
                let mut sim = Sim::new(scenario.name.to_owned(), seed);
                sim.play(&script, 130);
                for (condition, times) in &sim.occurrences {
                    transcript::count(&format!("seen {condition}"), *times);
                }
            }
        });
        transcript.assert_matches_golden();
    }
}

macro_rules! transcript_tests {
    ($($test:ident: $script:literal,)*) => {
        $(#[test]
        fn $test() {
            check_script($script);
        })*
    };
}

transcript_tests! {
    task_starts_match_the_transcript: "starts",
    job_chains_match_the_transcript: "chains",
    cancellations_match_the_transcript: "cancellations",
    failovers_match_the_transcript: "failovers",
    preemption_matches_the_transcript: "preemption",
    overload_with_fair_share_matches_the_transcript: "floods",
    overload_without_fair_share_matches_the_transcript: "unshared flood",
    scale_out_and_scale_in_match_the_transcript: "scale out and in",
    failing_machines_match_the_transcript: "failing machines",
    decreasing_store_limits_match_the_transcript: "falling limits",
    records_of_the_previous_version_match_the_transcript: "former records",
    large_fleet_matches_the_transcript: "large fleet",
    leader_election_and_watermark_match_the_transcript: "leadership and watermark",
    competing_chains_match_the_transcript: "pressed chains",
    start_and_completion_objectives_match_the_transcript: "objectives",
    interruption_notices_match_the_transcript: "notices",
    repeated_heartbeats_match_the_transcript: "repeated reports",
}

#[test]
fn first_third_of_the_failure_scenarios_matches_the_transcripts() {
    check_scenarios(0);
}

#[test]
fn second_third_of_the_failure_scenarios_matches_the_transcripts() {
    check_scenarios(1);
}

#[test]
fn last_third_of_the_failure_scenarios_matches_the_transcripts() {
    check_scenarios(2);
}

/// Returns the label of a scripted event in the check that each kind of event occurs.
fn event_label(event: ScriptedEvent) -> &'static str {
    match event {
        ScriptedEvent::CrashLeader => "crash",
        ScriptedEvent::StopAllControllers(_) => "away",
        ScriptedEvent::RejectLeader(_) => "refuse leader",
        ScriptedEvent::PartitionLeader(_) => "cut leader",
        ScriptedEvent::StoreOutage(_) => "outage",
        ScriptedEvent::LosePeerMessages(_) => "peers lost",
        ScriptedEvent::LoseCommitResponses(..) => "lost answers",
        ScriptedEvent::DelayCommits(..) => "late writes",
        ScriptedEvent::LoseHeartbeats(..) => "mute",
        ScriptedEvent::LoseInboundMessages(..) => "deaf",
        ScriptedEvent::PartitionMachines(..) => "cut machines",
        ScriptedEvent::PartitionZone(..) => "cut zone",
        ScriptedEvent::PauseMachines(..) => "hang",
        ScriptedEvent::KillMachines(_) => "die",
        ScriptedEvent::DelayCommands(..) => "hold commands",
        ScriptedEvent::DuplicateHeartbeats(..) => "late reports",
        ScriptedEvent::ReplayToNextLeader(_) => "reports for next",
        ScriptedEvent::Cancel(_) => "cancel",
        ScriptedEvent::CancelOnTaskExit(..) => "cancel at end",
        ScriptedEvent::Submit(..) => "submit",
        ScriptedEvent::SubmitSingleTaskJobs(_) => "ones",
        ScriptedEvent::FastBoots(_) => "boots",
    }
}

#[test]
fn every_kind_of_scripted_event_occurs_in_a_failure_scenario() {
    let labels =
        SCENARIOS.iter().flat_map(|m| m.script).chain(&BASE_WORKLOAD).map(|(_, t)| event_label(*t));
    let labels: BTreeSet<&str> = labels.collect();
    assert_eq!(labels.len(), 22, "{labels:?}");
}

#[test]
fn transcripts_contain_the_minimum_number_of_each_event() {
    let mut names: Vec<String> = SCRIPTS.iter().map(|(name, _)| (*name).to_owned()).collect();
    names.extend((0..SCENARIOS.len()).map(scenario_name));
    let names: Vec<&str> = names.iter().map(String::as_str).collect();
    golden::assert_min_counts(&names, MIN_EVENT_COUNTS);
}
