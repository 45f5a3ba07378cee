//! Tests of shares, saturation and progressive filling: properties checked on random queues with a
//! fixed seed, and cases with exact results.

use std::collections::{BTreeMap, HashMap};

use proptest::prelude::*;
use proptest::test_runner::{Config, RngSeed};
use walnutlug_admission::deal::{ProgressiveFilling, Rules, Waiting};
use walnutlug_admission::resources::Resources;
use walnutlug_admission::saturation::{Change, Saturation, Thresholds};
use walnutlug_admission::shares::{Entitlement, Shares, MAX_CLASSES};
use walnutlug_admission::turns::RoundRobinQueue;
use walnutlug_time::{TimeDelta, Timestamp};

const RULES: Rules = Rules { portion: 1.0 / 64.0, floor: 0.1, all_floors: 0.5 };

fn cpus(cpus: f64) -> Resources {
    Resources { cpus, gpus: 0.0, memory_gb: cpus }
}

fn fleet(total_cpus: f64) -> Resources {
    Resources { cpus: total_cpus, gpus: 0.0, memory_gb: total_cpus * 4.0 }
}

/// Runs one round until the free CPUs are used up or no job is left. Returns the number of tasks
/// placed of each job, and the number of portions.
fn run_round(shares: &Shares, jobs: &[Waiting], free: f64) -> (Vec<u32>, usize) {
    let mut remaining = free;
    let mut placed = vec![0; jobs.len()];
    let mut portions = 0;
    let mut round = ProgressiveFilling::new(shares, jobs.iter().copied(), RULES);
    while let Some(portion) = round.next_portion() {
        portions += 1;
        let job = jobs[portion.job];
        assert!(portion.tasks >= 1 && placed[portion.job] + portion.tasks <= job.tasks);
        let fit = ((remaining + 1e-6) / job.task.cpus) as u32;
        let taken = fit.min(portion.tasks);
        remaining -= f64::from(taken) * job.task.cpus;
        placed[portion.job] += taken;
        round.record_placed(taken);
    }
    (placed, portions)
}

#[derive(Debug, Clone)]
struct QueuedJob {
    team: usize,
    class: usize,
    tier: u8,
    cpus: f64,
    tasks: u32,
}

fn queued_job() -> impl Strategy<Value = QueuedJob> {
    let size = prop_oneof![Just(0.5), Just(2.0), Just(8.0)];
    (0..3usize, 0..3usize, 0..2u8, size, 0..400u32).prop_map(|(team, class, tier, cpus, tasks)| {
        // All jobs of a class are in one tier, as they have one priority.
        QueuedJob {
            team,
            class,
            tier: if class == 0 { 1 } else { tier.min(class as u8 - 1) },
            cpus,
            tasks,
        }
    })
}

proptest! {
    #![proptest_config(Config {
        cases: 300,
        rng_seed: RngSeed::Fixed(7),
        failure_persistence: None,
        ..Config::default()
    })]

    /// Checks that no team gets more than a portion beyond its floors ahead of a waiting team of
    /// the same tier, that lower tiers get only their floors while a higher one waits, that each
    /// class with work gets its floor, and that room is left over only when nothing waits.
    #[test]
    fn resources_go_to_floors_then_tiers_then_the_smallest_share(
        queue in prop::collection::vec(queued_job(), 1..40),
        room in 10.0..3_000.0f64,
    ) {
        let mut shares = Shares::new(HashMap::new());
        shares.set_fleet(fleet(1_000.0));
        let jobs: Vec<Waiting> = queue.iter().map(|q| {
            let class = shares.add_job(&format!("team-{}", q.team), &format!("class-{}", q.class));
            Waiting { tier: q.tier, class, task: cpus(q.cpus), tasks: q.tasks }
        }).collect();
        let (placed, portions) = run_round(&shares, &jobs, room);
        let used: f64 = placed.iter().zip(&queue).map(|(&n, q)| f64::from(n) * q.cpus).sum();
        let asked: f64 = queue.iter().map(|q| f64::from(q.tasks) * q.cpus).sum();
        prop_assert!(used <= room + 1e-6);
        // Each job has one portion that ends it; every other portion takes its full size.
        let bound = queue.len() + (used / (1_000.0 * RULES.portion)) as usize;
        prop_assert!(portions <= 2 * bound + 6, "{portions} portions for {} jobs", queue.len());
        let mut by_team: BTreeMap<(u8, usize), (f64, f64)> = BTreeMap::new();
        let mut by_class: BTreeMap<(usize, usize), (f64, f64)> = BTreeMap::new();
        let mut team_total: BTreeMap<usize, f64> = BTreeMap::new();
        for (&n, q) in placed.iter().zip(&queue) {
            let (got, wants) = (f64::from(n) * q.cpus, f64::from(q.tasks) * q.cpus);
            for entry in [
                by_team.entry((q.tier, q.team)).or_default(),
                by_class.entry((q.team, q.class)).or_default(),
            ] {
                entry.0 += got;
                entry.1 += wants;
            }
            *team_total.entry(q.team).or_default() += got;
        }
        let waiting = |team: usize| by_class.iter().filter(move |c| c.0.0 == team && c.1.1 > 0.0);
        let teams = (0..3).filter(|&team| waiting(team).count() > 0).count();
        let floor_of = |team| RULES.floor_of_each(teams, waiting(team).count()) * 1_000.0;
        // Room may be left that is too small for a task of 8 CPUs but not for one of 2.
        let slack = 8.0 + 1e-6;
        prop_assert!(used + slack >= room.min(asked), "used {used} of {asked} in {room}");
        if room >= 500.0 + 9.0 * 8.0 {
            for (class, (got, wants)) in &by_class {
                let floor = floor_of(class.0);
                prop_assert!(got + slack >= wants.min(floor), "{class:?} got {got} of {wants}");
            }
        }
        let portion = 1_000.0 * RULES.portion + 8.0;
        for ((tier, team), (got, wants)) in &by_team {
            if got + slack >= *wants {
                continue; // Has all that it wants.
            }
            for ((other_tier, other), (others, _)) in &by_team {
                // Whatever the other team has beyond its floors was placed while this team waited.
                let beyond = others - 3.0 * floor_of(*other) - portion;
                let lower = other_tier < tier;
                prop_assert!(!lower || beyond <= slack, "{other} before {team}: {others}");
                let ahead = team_total[other] - team_total[team];
                prop_assert!(
                    other_tier != tier || beyond <= slack || ahead <= portion + slack,
                    "team {other} is {ahead} ahead of team {team}"
                );
            }
        }
    }

    /// Checks that every entry is popped exactly once, in order within its lane, and that an entry
    /// waits for no more than `ahead_of` said, as long as nothing is pushed after it.
    #[test]
    fn lanes_are_served_in_turn(lanes in prop::collection::vec(0..4u8, 1..60), popped in 0..20usize) {
        let mut queue = RoundRobinQueue::default();
        for (at, &lane) in lanes.iter().enumerate() {
            queue.push(lane, at);
        }
        let mut out: Vec<usize> = (0..popped).map_while(|_| queue.pop()).collect();
        let ahead = queue.ahead_of(&9);
        let ahead_by_lane: Vec<usize> = (0..4u8).map(|lane| queue.ahead_of(&lane)).collect();
        for lane in [0, 1, 2, 3, 9] {
            let mut copy = RoundRobinQueue::default();
            let remaining = (0..lanes.len()).filter(|at| !out.contains(at));
            remaining.for_each(|at| copy.push(lanes[at], at));
            copy.push(lane, usize::MAX);
            let position = std::iter::from_fn(|| copy.pop()).position(|at| at == usize::MAX);
            let promised = ahead_by_lane.get(usize::from(lane)).copied().unwrap_or(ahead);
            prop_assert!(
                position.is_some_and(|position| position <= promised),
                "lane {lane} at position {position:?}, promised {promised}"
            );
        }
        out.extend(std::iter::from_fn(|| queue.pop()));
        for lane in 0..4u8 {
            let of_lane = out.iter().filter(|&&at| lanes[at] == lane);
            prop_assert!(of_lane.is_sorted());
        }
        out.sort_unstable();
        prop_assert_eq!(out, (0..lanes.len()).collect::<Vec<_>>());
    }

    /// Checks that no usage and no entry is left when all jobs are gone, and that the number of
    /// entries stays within its limit.
    #[test]
    fn removing_all_jobs_leaves_no_usage_and_no_entry(
        steps in prop::collection::vec((0..4usize, 0..2_500usize, 0.0..64.0f64), 1..300),
    ) {
        let mut shares = Shares::new(HashMap::new());
        shares.set_fleet(fleet(100.0));
        let mut open = Vec::new();
        for (team, class, size) in steps {
            let id = shares.add_job(&format!("team-{team}"), &format!("class-{class}"));
            shares.task_placed(id, cpus(size));
            shares.task_stopping(id, cpus(size));
            open.push((id, size));
        }
        prop_assert!(shares.classes_kept() <= MAX_CLASSES + 4);
        for (id, size) in open {
            prop_assert!(shares.class_share(id) >= size / 100.0 - 1e-9);
            shares.task_stopped(id, cpus(size));
            shares.task_gone(id, cpus(size));
            shares.remove_job(id);
        }
        prop_assert_eq!(shares.classes_kept(), 0);
    }
}

fn two_teams(one: Entitlement, two: Entitlement) -> Shares {
    let teams = HashMap::from([("one".to_owned(), one), ("two".to_owned(), two)]);
    let mut shares = Shares::new(teams);
    shares.set_fleet(fleet(1_000.0));
    shares
}

fn place(shares: &mut Shares, tasks: [u32; 2], free: f64) -> Vec<u32> {
    let jobs: Vec<Waiting> = ["one", "two"]
        .iter()
        .zip(tasks)
        .map(|(team, tasks)| {
            let class = shares.add_job(team, "class");
            Waiting { tier: 0, class, task: cpus(1.0), tasks }
        })
        .collect();
    run_round(shares, &jobs, free).0
}

#[test]
fn weights_and_guarantees_set_the_team_shares() {
    let weight = |weight| Entitlement { weight, ..Entitlement::default() };
    let placed = place(&mut two_teams(weight(1.0), weight(3.0)), [9_000, 9_000], 1_000.0);
    assert!(placed[0].abs_diff(250) <= 16, "{placed:?}");
    let guarantee = |cpus| {
        let guarantee = Resources { cpus, ..Resources::NONE };
        Entitlement { weight: 1.0, guarantee }
    };
    let placed = place(&mut two_teams(weight(1.0), guarantee(700.0)), [9_000, 9_000], 1_000.0);
    assert!(placed[1].abs_diff(700) <= 1, "guarantees precede shares: {placed:?}");
    // Guarantees of twice the fleet in total: neither can be met, and each team gets half of the
    // fleet.
    let both = place(&mut two_teams(guarantee(1e3), guarantee(1e3)), [9_000, 9_000], 1_000.0);
    assert!(both[0].abs_diff(500) <= 16, "{both:?}");
    // A weight that is not a number counts as 1; other invalid weights are clamped.
    for invalid in [f64::NAN, 0.0, -1.0, f64::INFINITY] {
        let placed = place(&mut two_teams(weight(invalid), weight(1.0)), [9_000, 9_000], 1_000.0);
        assert!(placed.iter().all(|&n| n >= 9), "{invalid}: {placed:?}");
    }
}

#[test]
fn array_of_29_000_tasks_does_not_starve_a_smaller_job() {
    let mut shares = two_teams(Entitlement::default(), Entitlement::default());
    assert_eq!(place(&mut shares, [29_000, 40], 1_000.0), [960, 40]);
    // A team that already holds a large share waits for teams that hold less.
    let mut shares = two_teams(Entitlement::default(), Entitlement::default());
    let flood = shares.add_job("one", "class");
    (0..900).for_each(|_| shares.task_placed(flood, cpus(1.0)));
    let placed = place(&mut shares, [29_000, 90], 100.0);
    assert_eq!(placed[1], 90, "{placed:?}");
}

#[test]
fn empty_fleet_neither_hangs_nor_panics() {
    let mut shares = two_teams(Entitlement::default(), Entitlement::default());
    shares.set_fleet(Resources::NONE);
    assert_eq!(place(&mut shares, [5, 5], 3.0).iter().sum::<u32>(), 3);
}

#[test]
fn saturation_is_entered_and_left_with_hysteresis() {
    let limits = Thresholds {
        enter: 0.25,
        leave: 0.05,
        at_once: 1.5,
        enter_after: TimeDelta::from_secs(20),
        leave_after: TimeDelta::from_secs(20),
    };
    let mut saturation = Saturation::default();
    let mut observe =
        |s: u64, waiting: f64| saturation.observe(Timestamp(s * 1_000_000), waiting, &limits);
    assert_eq!(observe(0, 0.3), None);
    assert_eq!(observe(19, 0.3), None, "enter_after has not passed");
    assert_eq!(observe(20, 0.2), None, "waiting work fell below enter");
    assert_eq!(observe(21, 0.3), None);
    assert_eq!(observe(41, 0.3), Some(Change::Entered));
    assert_eq!(observe(50, 0.1), None, "below enter, but still above leave");
    assert_eq!(observe(60, 0.0), None);
    assert_eq!(observe(79, 0.06), None, "above leave again before leave_after");
    assert_eq!(observe(80, 0.0), None);
    assert_eq!(observe(100, 0.0), Some(Change::Left));
    assert_eq!(observe(101, 1.6), Some(Change::Entered), "immediate from at_once on");
    assert_eq!(observe(102, 0.0), None);
    assert_eq!(observe(500, 0.3), Some(Change::Left), "no observation since counts as room");
}
