//! Golden transcripts of the admission package: seeded scripts that record every portion, share,
//! queue operation and state change, compared with the files in `transcripts/`.
//! `UPDATE_TRANSCRIPTS=1` rewrites the files; do that only for an intended change of behaviour.
//!
//! Coverage by script: `deal`, `shares` and `resources` (deal), `turns` (turns), `saturation`
//! (saturation).

#[path = "../../scheduler/tests/transcripts/golden.rs"]
mod golden;

use std::collections::HashMap;

use golden::{SeededRng, Transcript};
use walnutlug_admission::deal::{ProgressiveFilling, Rules, Waiting};
use walnutlug_admission::resources::Resources;
use walnutlug_admission::saturation::{Change, Saturation, Thresholds};
use walnutlug_admission::shares::{ClassId, Entitlement, HeldShare, Shares};
use walnutlug_admission::turns::RoundRobinQueue;
use walnutlug_time::{TimeDelta, Timestamp};

const RULES: Rules = Rules { portion: 1.0 / 64.0, floor: 0.1, all_floors: 0.5 };
const SCRIPTS: [&str; 3] = ["deal", "turns", "saturation"];

/// Minimum number of lines of each kind over all transcripts: nine tenths of their number when the
/// files were first written.
const MIN_LINE_COUNTS: &[(&str, u64)] = &[
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

/// Formats a number in decimal without loss of precision.
fn format_exact(number: f64) -> String {
    format!("{number:e}")
}

struct PlacedJob {
    class: ClassId,
    task: Resources,
    tasks: u32,
}

/// Simulation of a fleet that is divided again and again while jobs come and go.
struct Simulation {
    transcript: Transcript,
    rng: SeededRng,
    shares: Shares,
    placed_jobs: Vec<PlacedJob>,
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

impl Simulation {
    fn new() -> Simulation {
        let mut shares = Shares::new(entitlements());
        shares.set_fleet(Resources { cpus: 1_000.0, gpus: 64.0, memory_gb: 4_000.0 });
        let transcript = Transcript::new("deal");
        Simulation { transcript, rng: SeededRng::new(31), shares, placed_jobs: Vec::new() }
    }

    fn random_jobs(&mut self) -> Vec<Waiting> {
        (0..1 + self.rng.below(30))
            .map(|_| {
                let team = format!("team-{}", self.rng.below(4));
                let class = format!("class-{}", self.rng.below(3));
                let cpus = [0.5, 2.0, 8.0, 0.1][self.rng.below(4)];
                let gpus = [0.0, 0.0, 0.0, 1.0][self.rng.below(4)];
                let task = Resources { cpus, gpus, memory_gb: cpus * 3.0 };
                let class = self.shares.add_job(&team, &class);
                let tier = self.rng.below(3) as u8;
                Waiting { tier, class, task, tasks: self.rng.below(300) as u32 }
            })
            .collect()
    }

    fn run_round(&mut self) {
        self.transcript.next_step();
        let jobs = self.random_jobs();
        let mut free_cpus = self.rng.below(900) as f64;
        let mut filling = ProgressiveFilling::new(&self.shares, jobs.iter().copied(), RULES);
        let floors: Vec<String> =
            filling.floors().values().map(|floor| format_exact(*floor)).collect();
        self.transcript.line("floors", &floors.join(" "));
        let mut placed = vec![0; jobs.len()];
        while let Some(portion) = filling.next_portion() {
            let job = jobs[portion.job];
            let taken = portion.tasks.min(((free_cpus + 1e-6) / job.task.cpus) as u32);
            free_cpus -= f64::from(taken) * job.task.cpus;
            placed[portion.job] += taken;
            filling.record_placed(taken);
            let kind = if portion.for_floor { "portion for a floor" } else { "portion" };
            let text = format!("job={} tasks={} taken={taken}", portion.job, portion.tasks);
            self.transcript.line(kind, &text);
        }
        for (job, tasks) in jobs.into_iter().zip(placed) {
            (0..tasks).for_each(|_| self.shares.task_placed(job.class, job.task));
            self.placed_jobs.push(PlacedJob { class: job.class, task: job.task, tasks });
        }
        self.record_shares();
        self.remove_random_jobs();
    }

    fn record_shares(&mut self) {
        let largest = self.shares.largest(20);
        let held: Vec<String> = largest
            .into_iter()
            .map(|HeldShare { team, class, share }| {
                format!("{team}/{} {}", class.unwrap_or("-"), format_exact(share))
            })
            .collect();
        self.transcript.line("largest shares", &held.join("; "));
        for at in 0..self.placed_jobs.len().min(12) {
            let placed = &self.placed_jobs[at];
            let used = self.shares.class_used(placed.class);
            let text = format!(
                "{} {} {} {} {} {}",
                format_exact(self.shares.class_share(placed.class)),
                format_exact(self.shares.share_without(placed.class, placed.task)),
                self.shares.has_fair_share(placed.class),
                format_exact(used.cpus),
                format_exact(used.gpus),
                format_exact(used.memory_gb)
            );
            self.transcript.line("class", &text);
        }
    }

    /// Removes each job with a probability of 55 %. For 30 % of the removed jobs, all tasks are
    /// told to stop first.
    fn remove_random_jobs(&mut self) {
        let (gone, kept): (Vec<PlacedJob>, Vec<PlacedJob>) =
            std::mem::take(&mut self.placed_jobs).into_iter().partition(|_| self.rng.chance(55));
        self.placed_jobs = kept;
        for PlacedJob { class, task, tasks } in gone {
            let stopping = self.rng.chance(30);
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
fn progressive_filling_matches_the_golden_transcript() {
    let mut simulation = Simulation::new();
    (0..300).for_each(|_| simulation.run_round());
    simulation.transcript.assert_matches_golden();
}

#[test]
fn round_robin_queue_matches_the_golden_transcript() {
    let mut transcript = Transcript::new("turns");
    let mut rng = SeededRng::new(32);
    let mut queue: RoundRobinQueue<usize, usize> = RoundRobinQueue::default();
    for entry in 0..3_000 {
        transcript.next_step();
        match rng.below(20) {
            0..10 => {
                let lane = if rng.chance(60) { 0 } else { rng.below(6) };
                transcript.line("ahead", &format!("{lane}: {}", queue.ahead_of(&lane)));
                queue.push(lane, entry);
            }
            10..19 => {
                let next = queue.peek().copied();
                let popped = queue.pop();
                let name = |entry: Option<usize>| entry.map_or("-".into(), |e| e.to_string());
                let names: [String; 2] = [name(next), name(popped)];
                transcript.line("popped", &names.join(" "));
            }
            _ => {
                let part = 2 + rng.below(9);
                queue.retain(|entry| entry % part != 0);
                transcript.line("retained", &part.to_string());
            }
        }
    }
    transcript.assert_matches_golden();
}

#[test]
fn saturation_matches_the_golden_transcript() {
    let mut transcript = Transcript::new("saturation");
    let mut rng = SeededRng::new(33);
    let limits = Thresholds {
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
        now = now + TimeDelta::from_millis(rng.below(4_000) as u64);
        if rng.chance(8) {
            level = rng.below(4);
        }
        let waiting = [0.0, 0.1, 0.3, 1.6][level];
        let change = match saturation.observe(now, waiting, &limits) {
            None => "none",
            Some(Change::Entered) => "entered",
            Some(Change::Left) => "left",
        };
        transcript.line(&format!("change {change}"), &saturation.is_saturated().to_string());
    }
    transcript.assert_matches_golden();
}

#[test]
fn transcripts_contain_the_minimum_number_of_lines() {
    golden::assert_min_counts(&SCRIPTS, MIN_LINE_COUNTS);
}
