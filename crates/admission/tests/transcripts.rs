//! Transcripts of the admission: fixed scripts with every portion, share, turn and change, held against the
//! files in `transcripts/`. `UPDATE_TRANSCRIPTS=1` writes the files anew, which only a change that is
//! meant to change behaviour may do.
//!
//! What the scripts reach: `deal`, `shares` and `resources` (deal), `turns` (turns), `saturation`
//! (saturation).

#[path = "../../scheduler/tests/transcripts/golden.rs"]
mod golden;

use std::collections::HashMap;

use golden::{Dice, Transcript};
use walnutlug_admission::deal::{ProgressiveFilling, Rules, Waiting};
use walnutlug_admission::resources::Resources;
use walnutlug_admission::saturation::{Change, Saturation, Thresholds};
use walnutlug_admission::shares::{ClassId, Entitlement, HeldShare, Shares};
use walnutlug_admission::turns::RoundRobinQueue;
use walnutlug_time::{TimeDelta, Timestamp};

const RULES: Rules = Rules { portion: 1.0 / 64.0, floor: 0.1, all_floors: 0.5 };
const SCRIPTS: [&str; 3] = ["deal", "turns", "saturation"];

/// What has to be in the transcripts, all together, at least so often: nine tenths of what was in them when
/// they were written.
const REACHED: &[(&str, u64)] = &[
    ("ahead", 1_340),
    ("change entered", 27),
    ("change left", 26),
    ("change none", 3_546),
    ("class", 3_204),
    ("classes kept", 270),
    ("floors", 270),
    ("largest shares", 270),
    ("popped", 1_237),
    ("portion", 14_742),
    ("portion for a floor", 5_481),
    ("retained", 122),
];

/// A number with all of its bits, in decimal.
fn exact(number: f64) -> String {
    format!("{number:e}")
}

struct Held {
    class: ClassId,
    task: Resources,
    tasks: u32,
}

/// A fleet that is dealt out again and again while jobs come and go.
struct Play {
    transcript: Transcript,
    dice: Dice,
    shares: Shares,
    held: Vec<Held>,
}

fn entitlements() -> HashMap<String, Entitlement> {
    let of = |weight, cpus, gpus| {
        let guarantee = Resources { cpus, gpus, memory_gb: 0.0 };
        Entitlement { weight, guarantee }
    };
    HashMap::from([
        ("team-0".to_owned(), of(1.0, 0.0, 0.0)),
        ("team-1".to_owned(), of(3.0, 100.0, 0.0)),
        ("team-2".to_owned(), of(f64::NAN, 40.0, 8.0)),
    ])
}

impl Play {
    fn new() -> Play {
        let mut shares = Shares::new(entitlements());
        shares.set_fleet(Resources { cpus: 1_000.0, gpus: 64.0, memory_gb: 4_000.0 });
        let transcript = Transcript::new("deal");
        Play { transcript, dice: Dice::new(31), shares, held: Vec::new() }
    }

    fn waiting(&mut self) -> Vec<Waiting> {
        (0..1 + self.dice.below(30))
            .map(|_| {
                let team = format!("team-{}", self.dice.below(4));
                let class = format!("class-{}", self.dice.below(3));
                let cpus = [0.5, 2.0, 8.0, 0.1][self.dice.below(4)];
                let gpus = [0.0, 0.0, 0.0, 1.0][self.dice.below(4)];
                let task = Resources { cpus, gpus, memory_gb: cpus * 3.0 };
                let class = self.shares.add_job(&team, &class);
                let tier = self.dice.below(3) as u8;
                Waiting { tier, class, task, tasks: self.dice.below(300) as u32 }
            })
            .collect()
    }

    fn round(&mut self) {
        self.transcript.next_step();
        let jobs = self.waiting();
        let mut left = self.dice.below(900) as f64;
        let mut deal = ProgressiveFilling::new(&self.shares, jobs.iter().copied(), RULES);
        let floors: Vec<String> = deal.floors().values().map(|floor| exact(*floor)).collect();
        self.transcript.line("floors", &floors.join(" "));
        let mut placed = vec![0; jobs.len()];
        while let Some(portion) = deal.next_portion() {
            let job = jobs[portion.job];
            let taken = portion.tasks.min(((left + 1e-6) / job.task.cpus) as u32);
            left -= f64::from(taken) * job.task.cpus;
            placed[portion.job] += taken;
            deal.record_placed(taken);
            let kind = if portion.for_floor { "portion for a floor" } else { "portion" };
            let text = format!("job={} tasks={} taken={taken}", portion.job, portion.tasks);
            self.transcript.line(kind, &text);
        }
        for (job, tasks) in jobs.into_iter().zip(placed) {
            (0..tasks).for_each(|_| self.shares.task_placed(job.class, job.task));
            self.held.push(Held { class: job.class, task: job.task, tasks });
        }
        self.tell_shares();
        self.some_jobs_go();
    }

    fn tell_shares(&mut self) {
        let largest = self.shares.largest(20);
        let told: Vec<String> = largest
            .into_iter()
            .map(|HeldShare { team, class, share }| {
                format!("{team}/{} {}", class.unwrap_or("-"), exact(share))
            })
            .collect();
        self.transcript.line("largest shares", &told.join("; "));
        for at in 0..self.held.len().min(12) {
            let held = &self.held[at];
            let used = self.shares.class_used(held.class);
            let text = format!(
                "{} {} {} {} {} {}",
                exact(self.shares.class_share(held.class)),
                exact(self.shares.share_without(held.class, held.task)),
                self.shares.has_fair_share(held.class),
                exact(used.cpus),
                exact(used.gpus),
                exact(used.memory_gb)
            );
            self.transcript.line("class", &text);
        }
    }

    /// Half of the jobs end, some of their tasks after they were asked to stop.
    fn some_jobs_go(&mut self) {
        let (gone, kept): (Vec<Held>, Vec<Held>) =
            std::mem::take(&mut self.held).into_iter().partition(|_| self.dice.chance(55));
        self.held = kept;
        for Held { class, task, tasks } in gone {
            let stopping = self.dice.chance(30);
            for _ in 0..tasks {
                if stopping {
                    self.shares.task_stopping(class, task);
                    self.shares.task_stopped(class, task);
                }
                self.shares.task_gone(class, task);
            }
            self.shares.remove_job(class);
        }
        self.transcript.line("classes kept", &self.shares.classes_kept().to_string());
    }
}

#[test]
fn deal_is_as_it_was() {
    let mut play = Play::new();
    (0..300).for_each(|_| play.round());
    play.transcript.hold_against_golden();
}

#[test]
fn turns_are_as_they_were() {
    let mut transcript = Transcript::new("turns");
    let mut dice = Dice::new(32);
    let mut queue: RoundRobinQueue<usize, usize> = RoundRobinQueue::default();
    for entry in 0..3_000 {
        transcript.next_step();
        match dice.below(20) {
            0..10 => {
                let lane = if dice.chance(60) { 0 } else { dice.below(6) };
                transcript.line("ahead", &format!("{lane}: {}", queue.ahead_of(&lane)));
                queue.push(lane, entry);
            }
            10..19 => {
                let next = queue.peek().copied();
                let popped = queue.pop();
                let told = |entry: Option<usize>| entry.map_or("-".into(), |e| e.to_string());
                let told: [String; 2] = [told(next), told(popped)];
                transcript.line("popped", &told.join(" "));
            }
            _ => {
                let part = 2 + dice.below(9);
                queue.retain(|entry| entry % part != 0);
                transcript.line("retained", &part.to_string());
            }
        }
    }
    transcript.hold_against_golden();
}

#[test]
fn saturation_is_as_it_was() {
    let mut transcript = Transcript::new("saturation");
    let mut dice = Dice::new(33);
    let at = Thresholds {
        enter: 0.25,
        leave: 0.05,
        at_once: 1.5,
        enter_after: TimeDelta::from_secs(20),
        leave_after: TimeDelta::from_secs(20),
    };
    let mut saturation = Saturation::default();
    let mut now = Timestamp(1 << 40);
    let mut level = 0;
    for _ in 0..4_000 {
        transcript.next_step();
        now = now + TimeDelta::from_millis(dice.below(4_000) as u64);
        if dice.chance(8) {
            level = dice.below(4);
        }
        let waiting = [0.0, 0.1, 0.3, 1.6][level];
        let change = match saturation.observe(now, waiting, &at) {
            None => "none",
            Some(Change::Entered) => "entered",
            Some(Change::Left) => "left",
        };
        transcript.line(&format!("change {change}"), &saturation.is_saturated().to_string());
    }
    transcript.hold_against_golden();
}

#[test]
fn the_transcripts_cover_what_they_did() {
    golden::must_reach(&SCRIPTS, REACHED);
}
