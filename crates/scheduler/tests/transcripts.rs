//! Transcripts: fixed scripts over the scheduler, each with every command, every answer to a heartbeat and every
//! byte that is written to the store, held against the files in `transcripts/`. They hold across a change
//! of names and modules, and fail at the first step that differs. `UPDATE_TRANSCRIPTS=1` writes the files
//! anew, which only a change that is meant to change behaviour may do.
//!
//! Left out, as it is free text: what is written to the log, and the reason for which a leader steps down.
//!
//! What the scripts reach, stated once:
//!
//! | module | reached by |
//! | --- | --- |
//! | `registry`, `commands`, `dispatch`, `heartbeats`, `task`, `job`, `records`, `document`, `wire` (commands, transactions) | all but leadership and watermark |
//! | `placement`, `queue` | starts, objectives, preemption, large fleet, the meetings (zones, gangs, spread) |
//! | `chain` | chains, pressed chains, former records |
//! | `sharing`, with the package `admission` | floods, the meetings with a flood |
//! | `fleet`, `offers`, `tunables` (objectives) | scale out and in, preemption, the meetings |
//! | `health` | failing machines, notices |
//! | `unchanged`, `serving` | repeated heartbeats (`unchanged`), the meetings: half of the workers are answered by a follower |
//! | `leadership`, `watermark` | leadership and watermark |
//!
//! Not reached here: `protocol::users::parse_submission` and the answers to users, which are held byte by byte elsewhere.

mod sim;
mod world;

#[path = "transcripts/scripts.rs"]
mod scripts;

use std::collections::BTreeSet;

use sim::meetings::{LOAD, MEETINGS};
use sim::{Sim, Trouble};
use world::{golden, transcript};

/// The scripts of the scripted world, by the names of their files.
const SCRIPTS: [(&str, fn()); 17] = [
    ("starts", scripts::starts),
    ("chains", scripts::chains),
    ("cancellations", scripts::cancellations),
    ("failovers", scripts::failovers),
    ("preemption", scripts::preemption),
    ("floods", scripts::floods),
    ("unshared flood", scripts::unshared_flood),
    ("scale out and in", scripts::scale_out_and_in),
    ("failing machines", scripts::failing_machines),
    ("falling limits", scripts::falling_limits),
    ("former records", scripts::former_records),
    ("large fleet", scripts::large_fleet),
    ("leadership and watermark", scripts::leadership_and_watermark),
    ("pressed chains", scripts::pressed_chains),
    ("objectives", scripts::objectives),
    ("notices", scripts::notices),
    ("repeated reports", scripts::repeated_reports),
];

/// What has to be in the transcripts, all together, at least so often: nine tenths of what was in them when
/// they were written.
const REACHED: &[(&str, u64)] = &[
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

fn hold(name: &str) {
    let (_, script) = SCRIPTS.iter().find(|(of, _)| *of == name).expect("a script");
    transcript::record(name, script).assert_matches_golden();
}

fn meeting_name(index: usize) -> String {
    format!("meeting {index:02}")
}

/// Every third meeting, from that one on: three tests share them. Each is played with three seeds.
fn hold_meetings(from: usize) {
    for (index, meeting) in MEETINGS.iter().enumerate().skip(from).step_by(3) {
        let script: Vec<(u64, Trouble)> = LOAD.iter().chain(meeting.script).copied().collect();
        let transcript = transcript::record(&meeting_name(index), || {
            for seed in 1..=3 {
                transcript::line("meeting", &format!("{} (seed {seed})", meeting.name));
                let mut sim = Sim::new(meeting.name.to_owned(), seed);
                sim.play(&script, 130);
                for (what, times) in &sim.seen {
                    transcript::count(&format!("seen {what}"), *times);
                }
            }
        });
        transcript.assert_matches_golden();
    }
}

macro_rules! held {
    ($($test:ident: $script:literal,)*) => {
        $(#[test]
        fn $test() {
            hold($script);
        })*
    };
}

held! {
    starts: "starts",
    chains: "chains",
    cancellations: "cancellations",
    failovers: "failovers",
    preemption: "preemption",
    floods: "floods",
    unshared_flood: "unshared flood",
    scale_out_and_in: "scale out and in",
    failing_machines: "failing machines",
    falling_limits: "falling limits",
    former_records: "former records",
    large_fleet: "large fleet",
    leadership_and_watermark: "leadership and watermark",
    pressed_chains: "pressed chains",
    objectives: "objectives",
    notices: "notices",
    repeated_reports: "repeated reports",
}

#[test]
fn meetings_first_third() {
    hold_meetings(0);
}

#[test]
fn meetings_second_third() {
    hold_meetings(1);
}

#[test]
fn meetings_last_third() {
    hold_meetings(2);
}

/// The trouble's word in the statement of what the meetings cover.
fn word_of(trouble: Trouble) -> &'static str {
    match trouble {
        Trouble::Crash => "crash",
        Trouble::Away(_) => "away",
        Trouble::RefuseLeader(_) => "refuse leader",
        Trouble::CutLeader(_) => "cut leader",
        Trouble::Outage(_) => "outage",
        Trouble::PeersLost(_) => "peers lost",
        Trouble::LostAnswers(..) => "lost answers",
        Trouble::LateWrites(..) => "late writes",
        Trouble::Mute(..) => "mute",
        Trouble::Deaf(..) => "deaf",
        Trouble::CutMachines(..) => "cut machines",
        Trouble::CutZone(..) => "cut zone",
        Trouble::Hang(..) => "hang",
        Trouble::Die(_) => "die",
        Trouble::HoldCommands(..) => "hold commands",
        Trouble::LateReports(..) => "late reports",
        Trouble::ReportsForNext(_) => "reports for next",
        Trouble::Cancel(_) => "cancel",
        Trouble::CancelAtEnd(..) => "cancel at end",
        Trouble::Submit(..) => "submit",
        Trouble::Ones(_) => "ones",
        Trouble::Boots(_) => "boots",
    }
}

#[test]
fn every_trouble_is_in_a_meeting() {
    let words = MEETINGS.iter().flat_map(|m| m.script).chain(&LOAD).map(|(_, t)| word_of(*t));
    let words: BTreeSet<&str> = words.collect();
    assert_eq!(words.len(), 22, "{words:?}");
}

#[test]
fn the_transcripts_cover_what_they_did() {
    let mut names: Vec<String> = SCRIPTS.iter().map(|(name, _)| (*name).to_owned()).collect();
    names.extend((0..MEETINGS.len()).map(meeting_name));
    let names: Vec<&str> = names.iter().map(String::as_str).collect();
    golden::assert_min_counts(&names, REACHED);
}
