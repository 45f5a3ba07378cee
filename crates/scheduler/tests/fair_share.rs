//! An overloaded fleet is shared: floods by a team and by a class, across changes of the leader, and
//! the order below overload.

mod world;

use std::collections::BTreeMap;
use std::rc::Rc;

use walnutlug_scheduler::model::job_spec::{JobSpec, Priority};
use walnutlug_scheduler::model::team::Team;
use walnutlug_scheduler::tunables::{Site, Tunables};
use world::{site, spec, World};

const MACHINES: usize = 20;
/// The longest run of a task.
const RUN_S: u64 = 5;
/// Jobs that the flood keeps waiting: several fleets' worth.
const BACKLOG: usize = 120;

fn team(name: &str, cpus: f64, cpus_max: f64) -> Team {
    Team { name: name.into(), cpus, cpus_max, gpus: 0.0, gpus_max: 0.0 }
}

fn fleet(teams: Vec<Team>) -> World {
    let names: Vec<String> = (0..MACHINES).map(|i| format!("n-{i:03}")).collect();
    let machines: Vec<(&str, &str)> = names.iter().map(|n| (n.as_str(), "a")).collect();
    let mut world = World::of(Site { teams, ..site() }, &machines);
    world.leader.autoscaler.machine_list_read = true;
    world
}

fn set(world: &mut World, change: impl FnOnce(&mut Tunables)) {
    let mut tunables = (*world.leader.tunables).clone();
    change(&mut tunables);
    world.leader.tunables = Rc::new(tunables);
}

/// A job whose aim on time is as tight as that of every other one here.
fn job(team: &str, class: &str, priority: Priority, tasks: u32) -> JobSpec {
    let names = (class.to_owned(), team.to_owned());
    JobSpec {
        class: names.0,
        team: names.1,
        priority,
        estimate_s: 5.0,
        deadline_s: Some(12.0),
        ..spec(tasks)
    }
}

/// A flood that never ends, and what else is submitted beside it, second by second.
struct Overload {
    world: World,
    flood: JobSpec,
    /// Jobs of the flood that come each second; otherwise it keeps its backlog.
    flood_a_second: Option<usize>,
    next: u32,
    submitted: BTreeMap<String, u64>,
    started: BTreeMap<String, u64>,
    running_since: BTreeMap<String, u64>,
    second: u64,
}

impl Overload {
    fn new(world: World, flood: JobSpec) -> Overload {
        Overload {
            world,
            flood,
            flood_a_second: None,
            next: 0,
            submitted: BTreeMap::new(),
            started: BTreeMap::new(),
            running_since: BTreeMap::new(),
            second: 0,
        }
    }

    fn submit(&mut self, spec: &JobSpec) -> String {
        self.next += 1;
        let name = format!("req-{:06}", self.next);
        self.world.submit(&name, spec);
        self.submitted.insert(name.clone(), self.second);
        name
    }

    /// One second: the flood's jobs come, tasks that ran their time end, everybody reports, and the
    /// leader does what it decides.
    fn pass(&mut self) {
        self.second += 1;
        let waiting = self
            .world
            .leader
            .cluster
            .jobs
            .values()
            .filter(|j| !j.is_ended() && j.pending() > 0)
            .count();
        let coming = self.flood_a_second.unwrap_or(BACKLOG.saturating_sub(waiting));
        for _ in 0..coming {
            let flood = self.flood.clone();
            self.submit(&flood);
        }
        let places = self.world.places();
        self.running_since.retain(|task, _| places.contains_key(task));
        for (task, machines) in places {
            assert_eq!(machines.len(), 1, "{task} is on {machines:?}");
            let since = *self.running_since.entry(task.clone()).or_insert(self.second);
            let job = task.split('/').next().expect("a job").to_owned();
            self.started.entry(job).or_insert(self.second);
            if self.second - since >= run_of(&task) {
                self.world.finish(&machines[0], &task);
            }
        }
        self.world.all_report();
        for _ in 0..4 {
            self.world.wait(200);
            self.world.tick();
            self.world.carry_out();
        }
    }

    /// Seconds from the job's submission to its first start; so far, if it has not started.
    fn waited(&self, name: &str) -> u64 {
        self.started.get(name).unwrap_or(&self.second) - self.submitted[name]
    }

    fn take_over(&mut self) {
        self.world.take_over();
        self.world.leader.autoscaler.machine_list_read = true;
        self.world.all_report();
        self.world.all_report();
    }
}

/// Tasks end at different times, so that room for a large one never comes by itself.
fn run_of(task: &str) -> u64 {
    let sum: u64 = task.bytes().map(u64::from).sum();
    RUN_S - sum % 4
}

/// The longest that an urgent job of team `two` waits in four minutes of a flood by team `one` at three
/// times what the fleet can do, with a new leader every forty seconds that knows no more than what is stored.
fn longest_wait_beside_a_flood(shared_order: bool) -> u64 {
    let mut world = fleet(vec![team("one", 0.0, 0.0), team("two", 0.0, 0.0)]);
    set(&mut world, |t| t.shared_order = shared_order);
    // Each of its jobs is more pressed for time than the other team's.
    let flood = JobSpec { deadline_s: Some(6.0), ..job("one", "flood", Priority::High, 8) };
    let mut overload = Overload::new(world, flood);
    overload.flood_a_second = Some(9);
    let mut urgent = Vec::new();
    for second in 0..240 {
        if second % 40 == 39 {
            overload.take_over();
        }
        if second >= 30 && second % 7 == 0 && second < 200 {
            let fix = JobSpec { deadline_s: Some(40.0), ..job("two", "fix", Priority::High, 4) };
            urgent.push(overload.submit(&fix));
        }
        overload.pass();
    }
    urgent.iter().map(|name| overload.waited(name)).max().expect("jobs")
}

/// Within one run of a task, since equal priorities stop nothing, and a failover that may fall in; both
/// ends of a run are seen a second late here.
#[test]
fn urgent_work_of_a_team_below_its_share_starts_soon_whoever_leads() {
    let bound = RUN_S + 4;
    let waited = longest_wait_beside_a_flood(true);
    assert!(waited <= bound, "{waited} s");
    let unshared = longest_wait_beside_a_flood(false);
    assert!(unshared > 3 * bound, "the flood is none: {unshared} s without shares");
}

/// Half an hour in which one class floods its own team's other one and another team's, both of lower
/// priority and with larger tasks.
#[test]
fn every_class_with_work_gets_its_floor() {
    let world = fleet(vec![team("one", 0.0, 0.0), team("two", 0.0, 0.0)]);
    let mut overload = Overload::new(world, job("one", "flood", Priority::High, 8));
    let others = [("one", "sheets"), ("two", "tiles")];
    let large = |(team, class): (&str, &str)| JobSpec {
        cpus: 6.0,
        deadline_s: Some(60.0),
        ..job(team, class, Priority::Normal, 6)
    };
    let mut jobs: [Vec<String>; 2] = Default::default();
    let mut share = [0.0; 2];
    for second in 0..1_800 {
        if second % 300 == 299 {
            overload.take_over();
        }
        for (at, class) in others.into_iter().enumerate() {
            let done = |name: &String| overload.world.end(name).is_some();
            if jobs[at].last().is_none_or(done) {
                jobs[at].push(overload.submit(&large(class)));
            }
            let shares = &overload.world.leader.cluster.shares;
            share[at] +=
                job_of(&overload, jobs[at].last()).map_or(0.0, |class| shares.class_share(class));
        }
        overload.pass();
    }
    // Each has one job of 36 processors' worth at a time, of 160; a floor of a tenth is 16, two of its
    // tasks at once, so six take three runs and what clearing the machines takes.
    for (at, class) in others.iter().enumerate() {
        let waits = jobs[at].iter().map(|name| overload.waited(name));
        let longest = waits.max().expect("jobs");
        assert!(longest <= 3 * RUN_S + 5, "{class:?} waited {longest} s");
        let mean = share[at] / 1_800.0;
        assert!(mean >= 0.04, "{class:?} held {mean} of the fleet, in {} jobs", jobs[at].len());
    }
}

fn job_of(
    overload: &Overload,
    name: Option<&String>,
) -> Option<walnutlug_admission::shares::ClassId> {
    let leader = &overload.world.leader;
    Some(leader.cluster.job(*leader.cluster.jobs_by_name.get(name?)?)?.share_class())
}

/// Work that fits, with passing queues, blocked jobs and preemption.
#[test]
fn below_overload_every_command_is_the_same() {
    let play = |shared_order: bool, crowded: bool| {
        let mut world = fleet(vec![team("one", 8.0, 0.0), team("two", 0.0, 130.0)]);
        set(&mut world, |t| t.shared_order = shared_order);
        let mut said = Vec::new();
        let mut overloaded = false;
        for step in 0..400u32 {
            if step % 2 == 0 {
                let name = format!("req-{step:06}");
                let priority = [Priority::Normal, Priority::High, Priority::Low][step as usize % 3];
                let tasks = 1 + step * 7 % if crowded { 300 } else { 37 };
                let cpus = f64::from(1 + step % 4);
                let team = ["one", "two"][step as usize / 2 % 2];
                world.submit(
                    &name,
                    &JobSpec { cpus, deadline_s: Some(7.0), ..job(team, "class", priority, tasks) },
                );
            }
            // Room comes in bunches, so that there are queues in between.
            let ending = if step % 40 < 20 { 2 } else { 60 };
            for (task, machines) in world.places().into_iter().take(ending) {
                world.finish(&machines[0], &task);
            }
            world.all_report();
            world.tick();
            world.leader.autoscale(world.now);
            overloaded |= world.leader.fair_share.is_active();
            said.extend(world.commands.iter().map(|command| format!("{command:?}")));
            world.carry_out();
        }
        (said, overloaded)
    };
    let (with, overloaded) = play(true, false);
    let (without, _) = play(false, false);
    assert!(!overloaded, "this load is no overload");
    assert!(without.iter().any(|c| c.contains("TaskPreempted")), "somebody had to wait");
    assert_eq!(with, without);
    let (with, overloaded) = play(true, true);
    assert!(overloaded && with != play(false, true).0, "an overload is shared");
}

/// A guarantee goes before shares and floors; limits hold whatever the order.
#[test]
fn guarantees_and_limits_hold_in_an_overload() {
    // Guarantees of three times the fleet, one three times the other and so its weight; one team at its limit, one with a limit of none.
    let teams = vec![
        team("one", 120.0, 0.0),
        team("two", 360.0, 0.0),
        team("capped", 0.0, 12.0),
        team("free", 0.0, 0.0),
    ];
    let mut overload = Overload::new(fleet(teams), job("one", "flood", Priority::High, 8));
    for second in 0..120 {
        if second % 4 == 0 {
            for team in ["two", "capped", "free"] {
                overload
                    .submit(&JobSpec { deadline_s: None, ..job(team, "c", Priority::High, 80) });
            }
        }
        overload.pass();
        let used = |team: &str| {
            overload.world.leader.cluster.team_usage.get(team).map_or(0.0, |used| used.cpus)
        };
        assert!(used("capped") <= 12.0, "{}", used("capped"));
        if second > 40 {
            assert!(
                used("one") >= 24.0 && used("two") >= 80.0,
                "{:?}",
                overload.world.leader.cluster.team_usage
            );
            assert!(used("free") >= 10.0, "its floor: {}", used("free"));
        }
    }
}

/// Classes without number, estimates of nothing or of thousands of years, tasks that take next to nothing.
#[test]
fn absurd_jobs_neither_starve_others_nor_stop_the_round() {
    let mut overload = Overload::new(
        fleet(vec![team("one", 0.0, 0.0), team("two", 0.0, 0.0)]),
        job("one", "flood", Priority::High, 8),
    );
    let estimates = [0.0, 1e300, f64::MAX, 1e-300];
    for at in 0..1_200u32 {
        let estimate_s = estimates[at as usize % 4];
        let class = format!("class-{at}");
        let cpus = [1e-9, 2.0, 8.0][at as usize % 3];
        let absurd = JobSpec { estimate_s, cpus, ..job("one", &class, Priority::High, 1) };
        overload.submit(&absurd);
    }
    (0..20).for_each(|_| overload.pass());
    assert!(overload.world.leader.cluster.shares.classes_kept() <= 1_003);
    let urgent = overload.submit(&job("two", "fix", Priority::High, 4));
    (0..RUN_S + 3).for_each(|_| overload.pass());
    assert!(overload.started.contains_key(&urgent));
}

/// What a round looks at with 10,000 jobs of four teams that wait, shared and not.
#[test]
fn a_round_over_ten_thousand_jobs_looks_at_no_more_than_before() {
    let machines_examined = |shared_order: bool| {
        let teams = ["one", "two", "three", "four"];
        let mut world = fleet(teams.iter().map(|name| team(name, 0.0, 0.0)).collect());
        set(&mut world, |t| t.shared_order = shared_order);
        for at in 0..10_000usize {
            let priority = [Priority::Normal, Priority::High][at % 2];
            world.submit(&format!("req-{at:06}"), &job(teams[at % 4], "class", priority, 4));
        }
        world.settle();
        assert_eq!(world.leader.fair_share.is_active(), shared_order);
        // One machine has room again.
        for (task, machines) in world.places() {
            if machines[0] == "n-007" {
                world.finish("n-007", &task);
            }
        }
        world.heartbeat("n-007");
        let entries = |world: &World| world.leader.examined.machines + world.leader.examined.jobs;
        let before = entries(&world);
        world.tick();
        entries(&world) - before
    };
    let (before, shared) = (machines_examined(false), machines_examined(true));
    assert!(before > 0 && shared * 10 <= before * 11, "{shared} instead of {before}");
}
