//! Divides free resources among waiting jobs in small portions, by progressive filling.
//!
//! Tiers (priorities, in the scheduler) are served from the highest to the lowest. Within a tier,
//! the next portion goes to a team that is still within its guarantee, or else to the team with the
//! smallest weighted dominant share; within the team to the class with the smallest share; within
//! the class to the job that is first in the queue. Before any tier is served, each class is
//! brought up to a minimum share, its floor, so that a lasting flood of urgent work cannot stop all
//! other work. Floors are filled from the highest tier down and in the same order of teams. They
//! are divided between teams first, so that a team gains nothing by spreading its jobs over many
//! class names.
//!
//! Shares are updated as portions are taken. Every job gets at least one portion, and each portion
//! costs one lookup, so the cost of a round is proportional to the jobs considered and the portions
//! handed out.

use std::cmp::Ordering;
use std::collections::{BTreeMap, BTreeSet, HashMap, VecDeque};

use crate::resources::Resources;
use crate::shares::{ClassId, Entitlement, Shares, TeamId};

/// Tolerance for comparing shares of the fleet, which are sums of rounded numbers.
const EPSILON: f64 = 1e-9;

/// A job with tasks that wait to be placed. Jobs are passed in queue order.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Waiting {
    /// Priority tier; higher tiers are served first.
    pub tier: u8,
    /// Class to whose share the job's tasks count.
    pub class: ClassId,
    /// Resources of one task.
    pub task: Resources,
    /// Number of tasks that are still to be placed.
    pub tasks: u32,
}

/// Offer to place some tasks of one job next.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Portion {
    /// Index of the job in the queue passed to [`ProgressiveFilling::new`].
    pub job: usize,
    /// Maximum number of tasks to place, at least 1.
    pub tasks: u32,
    /// Whether the portion fills a class up to its floor.
    pub for_floor: bool,
}

/// Parameters of a round.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Rules {
    /// Size of a portion as a fraction of the fleet. A larger task is a portion by itself.
    pub portion: f64,
    /// Fraction of the fleet that each class with waiting work gets first.
    pub floor: f64,
    /// Upper limit for the sum of all floors, as a fraction of the fleet.
    pub all_floors: f64,
}

impl Rules {
    /// Returns the floor of each class of one team, given the number of teams with waiting work and
    /// the number of this team's classes with waiting work.
    pub fn floor_of_each(&self, teams: usize, classes: usize) -> f64 {
        self.floor.min(self.all_floors / teams.max(1) as f64 / classes.max(1) as f64)
    }
}

/// Dominant share with a total order, for use as a sort key.
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

/// Sort key of a team within its tier. The team with the smallest key gets the next portion.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
struct TeamKey {
    /// Whether the team's next task would exceed its guarantee.
    beyond_guarantee: bool,
    share: Share,
    team: TeamId,
}

/// Waiting jobs of one class in one tier, by queue index.
type JobQueue = VecDeque<usize>;

/// Classes ordered by share, smallest first.
type ClassesByShare = BTreeSet<(Share, ClassId)>;

#[derive(Debug, Default)]
struct Tier {
    queues: HashMap<ClassId, JobQueue>,
    /// Classes with waiting jobs by team, smallest share first.
    classes: BTreeMap<TeamId, ClassesByShare>,
    teams: BTreeSet<TeamKey>,
}

#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Stage {
    Floors,
    Tiers,
}

/// A team's usage and floor during this round.
#[derive(Debug)]
struct TeamState {
    entitlement: Entitlement,
    /// Resources in use, including the portions placed in this round.
    used: Resources,
    /// Number of the team's classes with waiting jobs; `floor` applies to each of them.
    classes: usize,
    floor: f64,
}

/// A class's usage during this round.
#[derive(Debug)]
struct ClassState {
    team: TeamId,
    used: Resources,
}

/// An offered portion with the tier and the class of its job.
#[derive(Debug, Clone, Copy)]
struct OfferedPortion {
    tier: u8,
    class: ClassId,
    portion: Portion,
}

/// One round of progressive filling. It works with the shares at the start of the round and the
/// portions placed since.
#[derive(Debug)]
pub struct ProgressiveFilling {
    fleet: Resources,
    rules: Rules,
    jobs: Vec<Waiting>,
    stage: Stage,
    tiers: BTreeMap<u8, Tier>,
    team_states: HashMap<TeamId, TeamState>,
    class_states: HashMap<ClassId, ClassState>,
    /// Last offered portion, until [`ProgressiveFilling::record_placed`] is called for it.
    offered: Option<OfferedPortion>,
}

impl ProgressiveFilling {
    /// Starts a round. `jobs` must be in queue order; jobs without tasks to place are skipped.
    pub fn new(
        shares: &Shares,
        jobs: impl IntoIterator<Item = Waiting>,
        rules: Rules,
    ) -> ProgressiveFilling {
        let mut round = ProgressiveFilling {
            fleet: shares.fleet(),
            rules,
            jobs: Vec::new(),
            stage: Stage::Floors,
            tiers: BTreeMap::new(),
            team_states: HashMap::new(),
            class_states: HashMap::new(),
            offered: None,
        };
        for (index, job) in jobs.into_iter().enumerate() {
            round.jobs.push(job);
            if job.tasks == 0 {
                continue;
            }
            let team = shares.team_of(job.class);
            let state = round.team_states.entry(team).or_insert_with(|| TeamState {
                entitlement: shares.entitlement(team),
                used: shares.team_used(team),
                classes: 0,
                floor: 0.0,
            });
            round.class_states.entry(job.class).or_insert_with(|| {
                state.classes += 1;
                ClassState { team, used: shares.class_used(job.class) }
            });
            let tier = round.tiers.entry(job.tier).or_default();
            tier.queues.entry(job.class).or_default().push_back(index);
        }
        let teams = round.team_states.len();
        for team in round.team_states.values_mut() {
            team.floor = rules.floor_of_each(teams, team.classes);
        }
        let tiers: Vec<u8> = round.tiers.keys().copied().collect();
        for tier in tiers {
            round.sort_tier(tier);
        }
        round
    }

    /// Builds the sorted sets of classes and teams for a tier.
    fn sort_tier(&mut self, tier: u8) {
        let classes: Vec<ClassId> = self.tiers[&tier].queues.keys().copied().collect();
        for class in classes {
            let share = self.class_share(class);
            let team = self.class_states[&class].team;
            if let Some(tier) = self.tiers.get_mut(&tier) {
                tier.classes.entry(team).or_default().insert((share, class));
            }
        }
        let teams: Vec<TeamId> = self.tiers[&tier].classes.keys().copied().collect();
        for team in teams {
            self.insert_team(tier, team);
        }
    }

    fn class_share(&self, class: ClassId) -> Share {
        Share(self.class_states[&class].used.dominant_share(self.fleet))
    }

    /// Returns the team's sort key in the tier, based on its next job, or `None` if the team has no
    /// jobs left there.
    fn team_key(&self, tier: u8, team: TeamId) -> Option<TeamKey> {
        let next = self.next_job_of_team(tier, team)?;
        let task = self.jobs[next.1].task;
        let TeamState { entitlement, used, .. } = &self.team_states[&team];
        let share = used.dominant_share(self.fleet) / entitlement.weight;
        let beyond_guarantee = tasks_within(*used, task, entitlement.guarantee) == 0;
        Some(TeamKey { beyond_guarantee, share: Share(share), team })
    }

    /// Returns the class and the index of the job that the team would place next in the tier.
    fn next_job_of_team(&self, tier: u8, team: TeamId) -> Option<(ClassId, usize)> {
        let tier = self.tiers.get(&tier)?;
        let &(_, class) = tier.classes.get(&team)?.first()?;
        Some((class, *tier.queues.get(&class)?.front()?))
    }

    fn insert_team(&mut self, tier: u8, team: TeamId) {
        let Some(key) = self.team_key(tier, team) else { return };
        if let Some(tier) = self.tiers.get_mut(&tier) {
            tier.teams.insert(key);
        }
    }

    /// Removes the class and its team from the sorted sets of all tiers before their shares change.
    /// [`ProgressiveFilling::restore_to_order`] adds them again with their new shares.
    fn remove_from_order(&mut self, class: ClassId) {
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

    fn restore_to_order(&mut self, class: ClassId) {
        let share = self.class_share(class);
        let team = self.class_states[&class].team;
        let tiers: Vec<u8> = self.tiers.keys().copied().collect();
        for tier in tiers {
            if let Some(entry) = self.tiers.get_mut(&tier) {
                if entry.queues.get(&class).is_some_and(|queue| !queue.is_empty()) {
                    entry.classes.entry(team).or_default().insert((share, class));
                }
            }
            self.insert_team(tier, team);
        }
    }

    /// Returns the floor of each team's classes as a fraction of the fleet.
    pub fn floors(&self) -> BTreeMap<TeamId, f64> {
        self.team_states.iter().map(|(&team, state)| (team, state.floor)).collect()
    }

    /// Returns the first class with waiting jobs that is below its floor: its tier, the class, its
    /// next job and the missing fraction of the fleet.
    fn below_floor(&self) -> Option<(u8, ClassId, usize, f64)> {
        self.tiers.iter().rev().find_map(|(&tier, entry)| {
            entry.teams.iter().find_map(|key| {
                // The team's next class is the one with its smallest share.
                let (class, job) = self.next_job_of_team(tier, key.team)?;
                let missing = self.team_states[&key.team].floor - self.class_share(class).0;
                (missing > EPSILON).then_some((tier, class, job, missing))
            })
        })
    }

    /// Returns the next portion, or `None` once every job is fully placed or no longer fits. Call
    /// [`ProgressiveFilling::record_placed`] after each portion.
    pub fn next_portion(&mut self) -> Option<Portion> {
        if self.stage == Stage::Floors {
            if let Some((tier, class, job, missing)) = self.below_floor() {
                return Some(self.offer(tier, class, job, missing));
            }
            self.stage = Stage::Tiers;
        }
        let (&tier, entry) = self.tiers.iter().rev().find(|(_, tier)| !tier.teams.is_empty())?;
        let team = entry.teams.first()?.team;
        let (class, job) = self.next_job_of_team(tier, team)?;
        Some(self.offer(tier, class, job, f64::INFINITY))
    }

    fn offer(&mut self, tier: u8, class: ClassId, job: usize, limit: f64) -> Portion {
        let waiting = self.jobs[job];
        let share_per_task = waiting.task.dominant_share(self.fleet);
        let portion = self.rules.portion.min(limit);
        let count =
            if share_per_task > 0.0 { (portion / share_per_task).ceil() } else { f64::INFINITY };
        // A float-to-integer cast saturates.
        let mut tasks = (count as u32).clamp(1, waiting.tasks);
        let team = self.class_states[&class].team;
        let team = &self.team_states[&team];
        let within_guarantee = tasks_within(team.used, waiting.task, team.entitlement.guarantee);
        if within_guarantee > 0 {
            tasks = tasks.min(within_guarantee);
        }
        let for_floor = self.stage == Stage::Floors;
        let portion = Portion { job, tasks, for_floor };
        self.offered = Some(OfferedPortion { tier, class, portion });
        portion
    }

    /// Records how many tasks of the last offered portion were placed. If fewer than offered were
    /// placed, the job gets no further portions in this round.
    pub fn record_placed(&mut self, placed: u32) {
        let Some(OfferedPortion { tier, class, portion }) = self.offered.take() else { return };
        self.remove_from_order(class);
        let waiting = &mut self.jobs[portion.job];
        let taken = waiting.task.times(f64::from(placed));
        waiting.tasks = waiting.tasks.saturating_sub(placed);
        if placed < portion.tasks || waiting.tasks == 0 {
            let queue = self.tiers.get_mut(&tier).and_then(|t| t.queues.get_mut(&class));
            if let Some(queue) = queue {
                queue.pop_front();
            }
        }
        let team = self.class_states[&class].team;
        if let Some(team) = self.team_states.get_mut(&team) {
            team.used += taken;
        }
        if let Some(class) = self.class_states.get_mut(&class) {
            class.used += taken;
        }
        self.restore_to_order(class);
    }
}

/// Returns how many more such tasks a team may place within its guarantee. A task that needs a
/// resource without a guarantee is never within it.
fn tasks_within(used: Resources, task: Resources, guarantee: Resources) -> u32 {
    let fitting = |used: f64, needed: f64, guaranteed: f64| {
        if needed <= 0.0 {
            f64::INFINITY
        } else {
            ((guaranteed - used) / needed + 1e-6).floor()
        }
    };
    if guarantee.cpus <= 0.0 && guarantee.gpus <= 0.0 {
        return 0;
    }
    let cpus = fitting(used.cpus, task.cpus, guarantee.cpus);
    cpus.min(fitting(used.gpus, task.gpus, guarantee.gpus)).max(0.0) as u32
}
