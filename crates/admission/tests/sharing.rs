//! Shares, saturation and the dealing of room: properties over random queues with a fixed seed, and
//! the cases that need an exact answer.

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

fn fleet(cpus_there: f64) -> Resources {
    Resources { cpus: cpus_there, gpus: 0.0, memory_gb: cpus_there * 4.0 }
}

/// Deals until the fleet is full or nothing is left; what was placed of each job, and the portions.
fn deal_out(shares: &Shares, jobs: &[Waiting], free: f64) -> (Vec<u32>, usize) {
    let mut left = free;
    let mut placed = vec![0; jobs.len()];
    let mut portions = 0;
    let mut deal = ProgressiveFilling::new(shares, jobs.iter().copied(), RULES);
    while let Some(portion) = deal.next_portion() {
        portions += 1;
        let job = jobs[portion.job];
        assert!(portion.tasks >= 1 && placed[portion.job] + portion.tasks <= job.tasks);
        let fit = ((left + 1e-6) / job.task.cpus) as u32;
        let taken = fit.min(portion.tasks);
        left -= f64::from(taken) * job.task.cpus;
        placed[portion.job] += taken;
        deal.record_placed(taken);
    }
    (placed, portions)
}

#[derive(Debug, Clone)]
struct Queued {
    team: usize,
    class: usize,
    tier: u8,
    cpus: f64,
    tasks: u32,
}

fn queued() -> impl Strategy<Value = Queued> {
    let size = prop_oneof![Just(0.5), Just(2.0), Just(8.0)];
    (0..3usize, 0..3usize, 0..2u8, size, 0..400u32).prop_map(|(team, class, tier, cpus, tasks)| {
        // A class has one tier, as a class of jobs has one priority.
        Queued {
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

    /// Nobody is dealt more than a portion beyond a team of its tier that still waits, unless as a
    /// floor; each class with work gets its floor; and room is left only when nothing waits.
    #[test]
    fn room_goes_to_floors_then_tiers_then_the_smallest_share(
        queue in prop::collection::vec(queued(), 1..40),
        room in 10.0..3_000.0f64,
    ) {
        let mut shares = Shares::new(HashMap::new());
        shares.set_fleet(fleet(1_000.0));
        let jobs: Vec<Waiting> = queue.iter().map(|q| {
            let class = shares.add_job(&format!("team-{}", q.team), &format!("class-{}", q.class));
            Waiting { tier: q.tier, class, task: cpus(q.cpus), tasks: q.tasks }
        }).collect();
        let (placed, portions) = deal_out(&shares, &jobs, room);
        let used: f64 = placed.iter().zip(&queue).map(|(&n, q)| f64::from(n) * q.cpus).sum();
        let asked: f64 = queue.iter().map(|q| f64::from(q.tasks) * q.cpus).sum();
        prop_assert!(used <= room + 1e-6);
        // Each job gives one portion that ends it, and each full portion takes that much.
        let most = queue.len() + (used / (1_000.0 * RULES.portion)) as usize;
        prop_assert!(portions <= 2 * most + 6, "{portions} portions for {} jobs", queue.len());
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
        // A task of 8 may not fit where one of 2 does.
        let slack = 8.0 + 1e-6;
        prop_assert!(used + slack >= room.min(asked), "{used} of {asked} in {room}");
        if room >= 500.0 + 9.0 * 8.0 {
            for (class, (got, wants)) in &by_class {
                let floor = floor_of(class.0);
                prop_assert!(got + slack >= wants.min(floor), "{class:?} {got} of {wants}");
            }
        }
        let portion = 1_000.0 * RULES.portion + 8.0;
        for ((tier, team), (got, wants)) in &by_team {
            if got + slack >= *wants {
                continue; // Has all that it wants.
            }
            for ((other_tier, other), (others, _)) in &by_team {
                // What the other has beyond its floors was dealt while this one waited.
                let beyond = others - 3.0 * floor_of(*other) - portion;
                let lower = other_tier < tier;
                prop_assert!(!lower || beyond <= slack, "{other} beneath {team}: {others}");
                let ahead = team_total[other] - team_total[team];
                prop_assert!(
                    other_tier != tier || beyond <= slack || ahead <= portion + slack,
                    "{other} is {ahead} ahead of {team}"
                );
            }
        }
    }

    /// Every entry comes out once, each lane's in their order, and an entry waits for no more than it was
    /// told when it came, if nothing comes after it.
    #[test]
    fn lanes_take_turns(lanes in prop::collection::vec(0..4u8, 1..60), popped in 0..20usize) {
        let mut queue = RoundRobinQueue::default();
        for (at, &lane) in lanes.iter().enumerate() {
            queue.push(lane, at);
        }
        let mut out: Vec<usize> = (0..popped).map_while(|_| queue.pop()).collect();
        let ahead = queue.ahead_of(&9);
        let in_turn: Vec<usize> = (0..4u8).map(|lane| queue.ahead_of(&lane)).collect();
        for lane in [0, 1, 2, 3, 9] {
            let mut copy = RoundRobinQueue::default();
            let left = (0..lanes.len()).filter(|at| !out.contains(at));
            left.for_each(|at| copy.push(lanes[at], at));
            copy.push(lane, usize::MAX);
            let store_reachable = std::iter::from_fn(|| copy.pop()).position(|at| at == usize::MAX);
            let told = in_turn.get(usize::from(lane)).copied().unwrap_or(ahead);
            prop_assert!(store_reachable.is_some_and(|store_reachable| store_reachable <= told), "{lane}: {store_reachable:?} {told}");
        }
        out.extend(std::iter::from_fn(|| queue.pop()));
        for lane in 0..4u8 {
            let of_lane = out.iter().filter(|&&at| lanes[at] == lane);
            prop_assert!(of_lane.is_sorted());
        }
        out.sort_unstable();
        prop_assert_eq!(out, (0..lanes.len()).collect::<Vec<_>>());
    }

    /// Whatever comes and goes, nothing is left of it, and the table stays within its bound.
    #[test]
    fn shares_add_up_and_end_at_nothing(
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

fn split(shares: &mut Shares, tasks: [u32; 2], free: f64) -> Vec<u32> {
    let jobs: Vec<Waiting> = ["one", "two"]
        .iter()
        .zip(tasks)
        .map(|(team, tasks)| {
            let class = shares.add_job(team, "class");
            Waiting { tier: 0, class, task: cpus(1.0), tasks }
        })
        .collect();
    deal_out(shares, &jobs, free).0
}

#[test]
fn weights_and_guarantees_decide() {
    let weight = |weight| Entitlement { weight, ..Entitlement::default() };
    let placed = split(&mut two_teams(weight(1.0), weight(3.0)), [9_000, 9_000], 1_000.0);
    assert!(placed[0].abs_diff(250) <= 16, "{placed:?}");
    let guarantee = |cpus| {
        let guarantee = Resources { cpus, ..Resources::NONE };
        Entitlement { weight: 1.0, guarantee }
    };
    let placed = split(&mut two_teams(weight(1.0), guarantee(700.0)), [9_000, 9_000], 1_000.0);
    assert!(placed[1].abs_diff(700) <= 1, "its guarantee goes before shares: {placed:?}");
    // Guarantees of twice the fleet: each is beyond what there is, and both get half of it.
    let both = split(&mut two_teams(guarantee(1e3), guarantee(1e3)), [9_000, 9_000], 1_000.0);
    assert!(both[0].abs_diff(500) <= 16, "{both:?}");
    // A weight that is none counts as 1, others are bounded.
    for absurd in [f64::NAN, 0.0, -1.0, f64::INFINITY] {
        let placed = split(&mut two_teams(weight(absurd), weight(1.0)), [9_000, 9_000], 1_000.0);
        assert!(placed.iter().all(|&n| n >= 9), "{absurd}: {placed:?}");
    }
}

#[test]
fn one_array_of_29_000_tasks_takes_no_round_whole() {
    let mut shares = two_teams(Entitlement::default(), Entitlement::default());
    assert_eq!(split(&mut shares, [29_000, 40], 1_000.0), [960, 40]);
    // Whoever has much already waits for those that have less.
    let mut shares = two_teams(Entitlement::default(), Entitlement::default());
    let flood = shares.add_job("one", "class");
    (0..900).for_each(|_| shares.task_placed(flood, cpus(1.0)));
    let placed = split(&mut shares, [29_000, 90], 100.0);
    assert_eq!(placed[1], 90, "{placed:?}");
}

#[test]
fn a_fleet_of_nothing_deals_without_end_or_panic() {
    let mut shares = two_teams(Entitlement::default(), Entitlement::default());
    shares.set_fleet(Resources::NONE);
    assert_eq!(split(&mut shares, [5, 5], 3.0).iter().sum::<u32>(), 3);
}

#[test]
fn saturation_is_entered_and_left_with_hysteresis() {
    let at = Thresholds {
        enter: 0.25,
        leave: 0.05,
        at_once: 1.5,
        enter_after: TimeDelta::from_secs(20),
        leave_after: TimeDelta::from_secs(20),
    };
    let mut saturation = Saturation::default();
    let mut observe =
        |s: u64, waiting: f64| saturation.observe(Timestamp(s * 1_000_000), waiting, &at);
    assert_eq!(observe(0, 0.3), None);
    assert_eq!(observe(19, 0.3), None, "a boot may mend it");
    assert_eq!(observe(20, 0.2), None, "and did");
    assert_eq!(observe(21, 0.3), None);
    assert_eq!(observe(41, 0.3), Some(Change::Entered));
    assert_eq!(observe(50, 0.1), None, "less than what overloads it, but not room");
    assert_eq!(observe(60, 0.0), None);
    assert_eq!(observe(79, 0.06), None, "back before the time was over");
    assert_eq!(observe(80, 0.0), None);
    assert_eq!(observe(100, 0.0), Some(Change::Left));
    assert_eq!(observe(101, 1.6), Some(Change::Entered), "no boot mends that");
    assert_eq!(observe(102, 0.0), None);
    assert_eq!(observe(500, 0.3), Some(Change::Left), "nothing was observed in a long calm");
}
