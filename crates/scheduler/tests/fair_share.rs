//! Sharing of an overloaded fleet: bursts by one team or one class, failovers during overload, and
//! the unchanged order below overload.

mod world;

use std::collections::BTreeMap;
use std::rc::Rc;

use walnutlug_scheduler::model::job_spec::{JobSpec, Priority};
use walnutlug_scheduler::model::team::Team;
use walnutlug_scheduler::tunables::{Site, Tunables};
use world::{site, spec, World};

const MACHINES: usize = 20;
/// Longest run time of a task, in seconds.
const RUN_S: u64 = 5;
/// Jobs that the flood keeps waiting: several times the work that the fleet can hold.
const BACKLOG: usize = 120;

fn team(name: &str, cpus: f64, cpus_max: f64) -> Team {
    Team { name: name.into(), cpus, cpus_max, gpus: 0.0, gpus_max: 0.0 }
}

fn fleet(teams: Vec<Team>) -> World {
    let names: Vec<String> = (0..MACHINES).map(|i| format!("n-{i:03}")).collect();
    let machines: Vec<(&str, &str)> = names.iter().map(|n| (n.as_str(), "a")).collect();
    let mut world = World::with_site(Site { teams, ..site() }, &machines);
    world.leader.autoscaler.machine_list_read = true;
    world
}

fn set_tunables(world: &mut World, change: impl FnOnce(&mut Tunables)) {
    let mut tunables = (*world.leader.tunables).clone();
    change(&mut tunables);
    world.leader.tunables = Rc::new(tunables);
}

/// A job with the estimate and deadline that these tests use unless they need another.
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

/// An endless flood of jobs, the jobs submitted beside it, and when each started, in steps of a
/// second.
struct Overload {
    world: World,
    flood: JobSpec,
    /// Jobs of the flood submitted each second; if unset, the flood keeps up its backlog.
    flood_jobs_per_second: Option<usize>,
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
            flood_jobs_per_second: None,
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

    /// Advances by one second: submits jobs of the flood, ends tasks that ran their time, sends all
    /// heartbeats, and carries out what the leader decides.
    fn advance_second(&mut self) {
        self.second += 1;
        let waiting = self
            .world
            .leader
            .cluster
            .jobs
            .values()
            .filter(|j| !j.is_ended() && j.pending() > 0)
            .count();
        let new_jobs = self.flood_jobs_per_second.unwrap_or(BACKLOG.saturating_sub(waiting));
        for _ in 0..new_jobs {
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
            if self.second - since >= run_time_s(&task) {
                self.world.finish(&machines[0], &task);
            }
        }
        self.world.send_all_heartbeats();
        for _ in 0..4 {
            self.world.wait(200);
            self.world.tick();
            self.world.execute_commands();
        }
    }

    /// Seconds from the job's submission to its first start, or until now if it hasn't started.
    fn waited(&self, name: &str) -> u64 {
        self.started.get(name).unwrap_or(&self.second) - self.submitted[name]
    }

    fn take_over(&mut self) {
        self.world.take_over();
        self.world.leader.autoscaler.machine_list_read = true;
        self.world.send_all_heartbeats();
        self.world.send_all_heartbeats();
    }
}

/// Run time of a task in seconds. Tasks end at different times, so that capacity for a large task
/// never becomes free by chance.
fn run_time_s(task: &str) -> u64 {
    let sum: u64 = task.bytes().map(u64::from).sum();
    RUN_S - sum % 4
}

/// The longest wait, in seconds, of an urgent job of team `two` in four minutes of a flood by team
/// `one` at three times the fleet's capacity. A new leader that knows only what is stored takes
/// over every forty seconds.
fn longest_urgent_wait_during_flood(shared_order: bool) -> u64 {
    let mut world = fleet(vec![team("one", 0.0, 0.0), team("two", 0.0, 0.0)]);
    set_tunables(&mut world, |t| t.shared_order = shared_order);
    // Each job of the flood has a tighter deadline than those of the other team.
    let flood = JobSpec { deadline_s: Some(6.0), ..job("one", "flood", Priority::High, 8) };
    let mut overload = Overload::new(world, flood);
    overload.flood_jobs_per_second = Some(9);
    let mut urgent = Vec::new();
    for second in 0..240 {
        if second % 40 == 39 {
            overload.take_over();
        }
        if second >= 30 && second % 7 == 0 && second < 200 {
            let fix = JobSpec { deadline_s: Some(40.0), ..job("two", "fix", Priority::High, 4) };
            urgent.push(overload.submit(&fix));
        }
        overload.advance_second();
    }
    urgent.iter().map(|name| overload.waited(name)).max().expect("jobs")
}

/// The bound is one run time of a task, since equal priorities don't preempt, and a failover that
/// may fall into it; the start and the end of a run are each seen a second late here.
#[test]
fn urgent_jobs_of_a_team_below_its_share_start_soon_across_failovers() {
    let bound = RUN_S + 4;
    let waited = longest_urgent_wait_during_flood(true);
    assert!(waited <= bound, "{waited} s");
    let without_shares = longest_urgent_wait_during_flood(false);
    assert!(
        without_shares > 3 * bound,
        "the flood causes no contention: {without_shares} s without shares"
    );
}

/// One class floods the fleet for half an hour, against another class of its team and one of
/// another team, both of lower priority and with larger tasks.
#[test]
fn every_class_with_work_holds_its_floor_during_a_flood() {
    let world = fleet(vec![team("one", 0.0, 0.0), team("two", 0.0, 0.0)]);
    let mut overload = Overload::new(world, job("one", "flood", Priority::High, 8));
    let others = [("one", "sheets"), ("two", "tiles")];
    let large = |(team, class): (&str, &str)| JobSpec {
        cpus: 6.0,
        deadline_s: Some(60.0),
        ..job(team, class, Priority::Normal, 6)
    };
    let mut jobs: [Vec<String>; 2] = Default::default();
    let mut share_sums = [0.0; 2];
    for second in 0..1_800 {
        if second % 300 == 299 {
            overload.take_over();
        }
        for (index, class) in others.into_iter().enumerate() {
            let done = |name: &String| overload.world.end(name).is_some();
            if jobs[index].last().is_none_or(done) {
                jobs[index].push(overload.submit(&large(class)));
            }
            let shares = &overload.world.leader.cluster.shares;
            share_sums[index] += share_class_of(&overload, jobs[index].last())
                .map_or(0.0, |class| shares.class_share(class));
        }
        overload.advance_second();
    }
    // Each class has one job of 36 CPUs at a time, of 160 in the fleet. A floor of a tenth is 16
    // CPUs, two of its tasks at once, so six tasks take three runs and the time to free the
    // machines.
    for (index, class) in others.iter().enumerate() {
        let waits = jobs[index].iter().map(|name| overload.waited(name));
        let longest = waits.max().expect("jobs");
        assert!(longest <= 3 * RUN_S + 5, "{class:?} waited {longest} s");
        let mean = share_sums[index] / 1_800.0;
        assert!(mean >= 0.04, "{class:?} held {mean} of the fleet, in {} jobs", jobs[index].len());
    }
}

fn share_class_of(
    overload: &Overload,
    name: Option<&String>,
) -> Option<walnutlug_admission::shares::ClassId> {
    let leader = &overload.world.leader;
    Some(leader.cluster.job(*leader.cluster.jobs_by_name.get(name?)?)?.share_class())
}

/// The load mostly fits, with short queues, blocked jobs and preemption.
#[test]
fn fair_sharing_changes_no_command_below_overload() {
    let run_load = |shared_order: bool, crowded: bool| {
        let mut world = fleet(vec![team("one", 8.0, 0.0), team("two", 0.0, 130.0)]);
        set_tunables(&mut world, |t| t.shared_order = shared_order);
        let mut commands = Vec::new();
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
            // Tasks end in bursts, so that queues form in between.
            let tasks_to_end = if step % 40 < 20 { 2 } else { 60 };
            for (task, machines) in world.places().into_iter().take(tasks_to_end) {
                world.finish(&machines[0], &task);
            }
            world.send_all_heartbeats();
            world.tick();
            world.leader.autoscale(world.now);
            overloaded |= world.leader.fair_share.is_active();
            commands.extend(world.commands.iter().map(|command| format!("{command:?}")));
            world.execute_commands();
        }
        (commands, overloaded)
    };
    let (shared, overloaded) = run_load(true, false);
    let (unshared, _) = run_load(false, false);
    assert!(!overloaded, "this load is no overload");
    assert!(unshared.iter().any(|c| c.contains("TaskPreempted")), "some task was preempted");
    assert_eq!(shared, unshared);
    let (shared, overloaded) = run_load(true, true);
    assert!(overloaded && shared != run_load(false, true).0, "an overload is shared");
}

/// Guarantees go before shares and floors; limits hold in any order.
#[test]
fn guarantees_and_limits_hold_under_overload() {
    // The guarantees add up to three times the fleet; one is three times the other, and so is its
    // weight. One team is at its limit, one has neither limit nor guarantee.
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
        overload.advance_second();
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
            assert!(used("free") >= 10.0, "its floor share: {}", used("free"));
        }
    }
}

/// Tests more than a thousand classes, estimates of zero or of thousands of years, and tasks that
/// need next to no CPU.
#[test]
fn extreme_job_specs_neither_starve_other_jobs_nor_stall_the_round() {
    let mut overload = Overload::new(
        fleet(vec![team("one", 0.0, 0.0), team("two", 0.0, 0.0)]),
        job("one", "flood", Priority::High, 8),
    );
    let estimates = [0.0, 1e300, f64::MAX, 1e-300];
    for at in 0..1_200u32 {
        let estimate_s = estimates[at as usize % 4];
        let class = format!("class-{at}");
        let cpus = [1e-9, 2.0, 8.0][at as usize % 3];
        let extreme = JobSpec { estimate_s, cpus, ..job("one", &class, Priority::High, 1) };
        overload.submit(&extreme);
    }
    (0..20).for_each(|_| overload.advance_second());
    assert!(overload.world.leader.cluster.shares.classes_kept() <= 1_003);
    let urgent = overload.submit(&job("two", "fix", Priority::High, 4));
    (0..RUN_S + 3).for_each(|_| overload.advance_second());
    assert!(overload.started.contains_key(&urgent));
}

/// Counts the entries that a round examines with 10,000 queued jobs of four teams, with and without
/// fair sharing: at most a tenth more with it.
#[test]
fn fair_sharing_examines_few_more_entries_per_round_with_ten_thousand_jobs() {
    let entries_examined = |shared_order: bool| {
        let teams = ["one", "two", "three", "four"];
        let mut world = fleet(teams.iter().map(|name| team(name, 0.0, 0.0)).collect());
        set_tunables(&mut world, |t| t.shared_order = shared_order);
        for at in 0..10_000usize {
            let priority = [Priority::Normal, Priority::High][at % 2];
            world.submit(&format!("req-{at:06}"), &job(teams[at % 4], "class", priority, 4));
        }
        world.settle();
        assert_eq!(world.leader.fair_share.is_active(), shared_order);
        // One machine has free capacity again.
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
    let (unshared, shared) = (entries_examined(false), entries_examined(true));
    assert!(unshared > 0 && shared * 10 <= unshared * 11, "{shared} entries instead of {unshared}");
}
