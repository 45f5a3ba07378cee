//! Dealing out room in small portions: progressive filling.
//!
//! What waits is dealt to tier by tier (priorities, in the scheduler). Within a tier the next
//! portion goes to the team that is furthest below its guarantee, or else has the smallest weighted
//! dominant share; within the team to the class with the smallest share; within the class to the job
//! that came first in the queue. Before all tiers, each class is brought up to a floor, the higher
//! tiers first and within them by the same order of teams, so that a lasting flood of urgent work
//! doesn't stop all other work. Floors are divided between teams first, so that a team gains nothing
//! by giving its jobs many class names.
//!
//! Shares are reckoned forward as portions are taken. A job costs one look for each portion, and one
//! portion at least, so a round costs about the jobs it looks at and the portions it deals.

use std::cmp::Ordering;
use std::collections::{BTreeMap, BTreeSet, HashMap, VecDeque};

use crate::resources::Resources;
use crate::shares::{ClassId, Entitlement, Shares, TeamId};

/// Sums of decimals drift: this much of the fleet is no difference.
const EPSILON: f64 = 1e-9;

/// A job that waits for room, in the order of the queue.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Waiting {
    /// The higher goes first.
    pub tier: u8,
    /// Whose share it counts for.
    pub class: ClassId,
    /// What one task takes.
    pub task: Resources,
    /// Tasks to place.
    pub tasks: u32,
}

/// What may be placed next.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Portion {
    /// Which of the jobs that wait, by its place in the queue.
    pub job: usize,
    /// At most this many tasks, and at least one.
    pub tasks: u32,
    /// Whether it brings a class up to its floor.
    pub for_floor: bool,
}

/// How room is dealt out.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Rules {
    /// A portion, as a part of the fleet. A task larger than that is a portion of its own.
    pub portion: f64,
    /// The part of the fleet that each class with work is brought up to first.
    pub floor: f64,
    /// The part of the fleet that all floors take together at most.
    pub all_floors: f64,
}

impl Rules {
    /// The floor of each class of a team where so many teams, and classes of that one, have work.
    pub fn floor_of_each(&self, teams: usize, classes: usize) -> f64 {
        self.floor.min(self.all_floors / teams.max(1) as f64 / classes.max(1) as f64)
    }
}

/// A share that can be sorted by.
#[derive(Debug, Clone, Copy, PartialEq)]
struct Share(f64);

impl Eq for Share {}

impl PartialOrd for Share {
    fn partial_cmp(&self, other: &Share) -> Option<Ordering> {
        Some(self.cmp(other))
    }
}

impl Ord for Share {
    fn cmp(&self, other: &Share) -> Ordering {
        self.0.total_cmp(&other.0)
    }
}

/// Where a team stands in its tier; the smallest is dealt to next.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
struct TeamKey {
    /// The next task is beyond its guarantee.
    beyond_guarantee: bool,
    share: Share,
    team: TeamId,
}

/// Jobs of one class in one tier, by their places in the queue.
type Line = VecDeque<usize>;

/// Classes in the order of their shares, the smallest first.
type ClassesByShare = BTreeSet<(Share, ClassId)>;

#[derive(Debug, Default)]
struct Tier {
    lines: HashMap<ClassId, Line>,
    /// Classes of each team that have a job left, the smallest share first.
    classes: BTreeMap<TeamId, ClassesByShare>,
    teams: BTreeSet<TeamKey>,
}

#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Stage {
    Floors,
    Tiers,
}

/// A team in this round.
#[derive(Debug)]
struct TeamState {
    entitlement: Entitlement,
    /// What it uses, with the portions taken.
    used: Resources,
    /// Its classes that wait in this round, and the floor of each.
    classes: usize,
    floor: f64,
}

/// A class in this round.
#[derive(Debug)]
struct ClassState {
    team: TeamId,
    used: Resources,
}

/// A portion that was offered, and where its job stands.
#[derive(Debug, Clone, Copy)]
struct Offered {
    tier: u8,
    class: ClassId,
    portion: Portion,
}

/// One round of dealing. It reckons with the shares as they were at its start and the portions taken
/// since.
#[derive(Debug)]
pub struct ProgressiveFilling {
    fleet: Resources,
    rules: Rules,
    jobs: Vec<Waiting>,
    stage: Stage,
    tiers: BTreeMap<u8, Tier>,
    team_states: HashMap<TeamId, TeamState>,
    class_states: HashMap<ClassId, ClassState>,
    /// The portion that was offered last and not answered yet.
    offered: Option<Offered>,
}

impl ProgressiveFilling {
    /// `jobs` in the order of the queue. Jobs without tasks to place are passed over.
    pub fn new(
        shares: &Shares,
        jobs: impl IntoIterator<Item = Waiting>,
        rules: Rules,
    ) -> ProgressiveFilling {
        let mut deal = ProgressiveFilling {
            fleet: shares.fleet(),
            rules,
            jobs: Vec::new(),
            stage: Stage::Floors,
            tiers: BTreeMap::new(),
            team_states: HashMap::new(),
            class_states: HashMap::new(),
            offered: None,
        };
        for (at, job) in jobs.into_iter().enumerate() {
            deal.jobs.push(job);
            if job.tasks == 0 {
                continue;
            }
            let team = shares.team_of(job.class);
            let state = deal.team_states.entry(team).or_insert_with(|| TeamState {
                entitlement: shares.entitlement(team),
                used: shares.team_used(team),
                classes: 0,
                floor: 0.0,
            });
            deal.class_states.entry(job.class).or_insert_with(|| {
                state.classes += 1;
                ClassState { team, used: shares.class_used(job.class) }
            });
            let tier = deal.tiers.entry(job.tier).or_default();
            tier.lines.entry(job.class).or_default().push_back(at);
        }
        let teams = deal.team_states.len();
        for team in deal.team_states.values_mut() {
            team.floor = rules.floor_of_each(teams, team.classes);
        }
        let tiers: Vec<u8> = deal.tiers.keys().copied().collect();
        for tier in tiers {
            deal.line_up(tier);
        }
        deal
    }

    /// Puts the classes and teams of a tier in their order.
    fn line_up(&mut self, tier: u8) {
        let classes: Vec<ClassId> = self.tiers[&tier].lines.keys().copied().collect();
        for class in classes {
            let share = self.class_share(class);
            let team = self.class_states[&class].team;
            if let Some(tier) = self.tiers.get_mut(&tier) {
                tier.classes.entry(team).or_default().insert((share, class));
            }
        }
        let teams: Vec<TeamId> = self.tiers[&tier].classes.keys().copied().collect();
        for team in teams {
            self.put_team(tier, team);
        }
    }

    fn class_share(&self, class: ClassId) -> Share {
        Share(self.class_states[&class].used.dominant_share(self.fleet))
    }

    /// The team's key in the tier by its next job; nothing if none is left.
    fn team_key(&self, tier: u8, team: TeamId) -> Option<TeamKey> {
        let next = self.next_of_team(tier, team)?;
        let task = self.jobs[next.1].task;
        let TeamState { entitlement, used, .. } = &self.team_states[&team];
        let share = used.dominant_share(self.fleet) / entitlement.weight;
        let beyond_guarantee = tasks_within(*used, task, entitlement.guarantee) == 0;
        Some(TeamKey { beyond_guarantee, share: Share(share), team })
    }

    /// The class and the job that the team would place next in the tier.
    fn next_of_team(&self, tier: u8, team: TeamId) -> Option<(ClassId, usize)> {
        let tier = self.tiers.get(&tier)?;
        let &(_, class) = tier.classes.get(&team)?.first()?;
        Some((class, *tier.lines.get(&class)?.front()?))
    }

    fn put_team(&mut self, tier: u8, team: TeamId) {
        let Some(key) = self.team_key(tier, team) else { return };
        if let Some(tier) = self.tiers.get_mut(&tier) {
            tier.teams.insert(key);
        }
    }

    /// Takes the team, and the class with it, out of the order of every tier; to be put back by
    /// [`ProgressiveFilling::restore`] with the shares as they are then.
    fn lift_out(&mut self, class: ClassId) {
        let share = self.class_share(class);
        let team = self.class_states[&class].team;
        let tiers: Vec<u8> = self.tiers.keys().copied().collect();
        for tier in tiers {
            if let Some(key) = self.team_key(tier, team) {
                if let Some(tier) = self.tiers.get_mut(&tier) {
                    tier.teams.remove(&key);
                }
            }
            let classes = self.tiers.get_mut(&tier).and_then(|t| t.classes.get_mut(&team));
            if let Some(classes) = classes {
                classes.remove(&(share, class));
            }
        }
    }

    fn restore(&mut self, class: ClassId) {
        let share = self.class_share(class);
        let team = self.class_states[&class].team;
        let tiers: Vec<u8> = self.tiers.keys().copied().collect();
        for tier in tiers {
            if let Some(entry) = self.tiers.get_mut(&tier) {
                if entry.lines.get(&class).is_some_and(|line| !line.is_empty()) {
                    entry.classes.entry(team).or_default().insert((share, class));
                }
            }
            self.put_team(tier, team);
        }
    }

    /// The part of the fleet that each class with work is brought up to, by team.
    pub fn floors(&self) -> BTreeMap<TeamId, f64> {
        self.team_states.iter().map(|(&team, state)| (team, state.floor)).collect()
    }

    /// The first class that is below its floor with something waiting: its tier, itself, its next job and
    /// what is missing.
    fn below_floor(&self) -> Option<(u8, ClassId, usize, f64)> {
        self.tiers.iter().rev().find_map(|(&tier, entry)| {
            entry.teams.iter().find_map(|key| {
                // Its classes come with the smallest share first.
                let (class, job) = self.next_of_team(tier, key.team)?;
                let missing = self.team_states[&key.team].floor - self.class_share(class).0;
                (missing > EPSILON).then_some((tier, class, job, missing))
            })
        })
    }

    /// What may be placed next; nothing once every job is placed or found no room. Each portion has to
    /// be answered with [`ProgressiveFilling::record_placed`].
    pub fn next_portion(&mut self) -> Option<Portion> {
        if self.stage == Stage::Floors {
            if let Some((tier, class, job, missing)) = self.below_floor() {
                return Some(self.offer(tier, class, job, missing));
            }
            self.stage = Stage::Tiers;
        }
        let (&tier, entry) = self.tiers.iter().rev().find(|(_, tier)| !tier.teams.is_empty())?;
        let team = entry.teams.first()?.team;
        let (class, job) = self.next_of_team(tier, team)?;
        Some(self.offer(tier, class, job, f64::INFINITY))
    }

    fn offer(&mut self, tier: u8, class: ClassId, job: usize, most: f64) -> Portion {
        let waiting = self.jobs[job];
        let each = waiting.task.dominant_share(self.fleet);
        let portion = self.rules.portion.min(most);
        let count = if each > 0.0 { (portion / each).ceil() } else { f64::INFINITY };
        // A conversion from a float stops at the largest number.
        let mut tasks = (count as u32).clamp(1, waiting.tasks);
        let team = self.class_states[&class].team;
        let team = &self.team_states[&team];
        let owed = tasks_within(team.used, waiting.task, team.entitlement.guarantee);
        if owed > 0 {
            tasks = tasks.min(owed);
        }
        let for_floor = self.stage == Stage::Floors;
        let portion = Portion { job, tasks, for_floor };
        self.offered = Some(Offered { tier, class, portion });
        portion
    }

    /// How many tasks of the portion offered last were placed. With fewer than offered, nothing more
    /// of the job finds room in this round.
    pub fn record_placed(&mut self, placed: u32) {
        let Some(Offered { tier, class, portion }) = self.offered.take() else { return };
        self.lift_out(class);
        let waiting = &mut self.jobs[portion.job];
        let taken = waiting.task.times(f64::from(placed));
        waiting.tasks = waiting.tasks.saturating_sub(placed);
        if placed < portion.tasks || waiting.tasks == 0 {
            let line = self.tiers.get_mut(&tier).and_then(|t| t.lines.get_mut(&class));
            if let Some(line) = line {
                line.pop_front();
            }
        }
        let team = self.class_states[&class].team;
        if let Some(team) = self.team_states.get_mut(&team) {
            team.used += taken;
        }
        if let Some(class) = self.class_states.get_mut(&class) {
            class.used += taken;
        }
        self.restore(class);
    }
}

/// How many tasks of that size a team may add within its guarantee, for the resources that it has a
/// guarantee of. A task that takes something of which nothing is guaranteed isn't within it.
fn tasks_within(used: Resources, task: Resources, guarantee: Resources) -> u32 {
    let by = |used: f64, takes: f64, guaranteed: f64| {
        if takes <= 0.0 {
            f64::INFINITY
        } else {
            ((guaranteed - used) / takes + 1e-6).floor()
        }
    };
    if guarantee.cpus <= 0.0 && guarantee.gpus <= 0.0 {
        return 0;
    }
    let cpus = by(used.cpus, task.cpus, guarantee.cpus);
    cpus.min(by(used.gpus, task.gpus, guarantee.gpus)).max(0.0) as u32
}
