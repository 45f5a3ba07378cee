//! What part of the fleet each team and each of its classes holds, kept as tasks are placed and
//! proven gone.

use std::collections::HashMap;

use crate::resources::Resources;

/// Classes that are told apart, over all teams. Class names are the users' own and without bound;
/// beyond this many with open jobs at once, the further classes of a team share one entry, so that
/// they get one class's share between them.
pub const MAX_CLASSES: usize = 1_000;
/// Teams that are told apart; the platform's file names far fewer. Further ones share the last entry.
pub const MAX_TEAMS: usize = 1_000;
/// Weights outside of these would leave a team all of the fleet, or nothing of it.
pub const WEIGHTS: std::ops::RangeInclusive<f64> = 0.01..=100.0;

/// A team.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct TeamId(pub(crate) u32);

/// A class of one team.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct ClassId(pub(crate) u32);

/// What a team may count on.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Entitlement {
    /// Its part relative to the other teams' parts.
    pub weight: f64,
    /// What it is guaranteed; nothing where it has no guarantee.
    pub guarantee: Resources,
}

impl Default for Entitlement {
    fn default() -> Entitlement {
        Entitlement { weight: 1.0, guarantee: Resources::NONE }
    }
}

#[derive(Debug, Clone, Default)]
struct Team {
    name: String,
    entitlement: Entitlement,
    used: Resources,
    /// Its jobs, whatever their class.
    jobs: u32,
}

#[derive(Debug, Clone)]
struct Class {
    team: TeamId,
    /// Jobs that count here; the entry is free when there are none.
    jobs: u32,
    used: Resources,
    /// The part of that which is told to stop.
    stopping: Resources,
    /// By what it is found; the team's shared entry has none.
    name: Option<String>,
}

/// What a class holds of the fleet.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct HeldShare<'a> {
    /// The team's name.
    pub team: &'a str,
    /// The class's name; `None` for the entry that a team's further classes share.
    pub class: Option<&'a str>,
    /// Its dominant share: the largest part of the fleet that it uses of any resource.
    pub share: f64,
}

/// Shares of the fleet by team and class.
#[derive(Debug, Clone, Default)]
pub struct Shares {
    fleet: Resources,
    entitlements: HashMap<String, Entitlement>,
    teams: Vec<Team>,
    team_ids: HashMap<String, TeamId>,
    classes: Vec<Class>,
    class_ids: HashMap<(TeamId, String), ClassId>,
    /// The entry that a team's further classes share.
    further: HashMap<TeamId, ClassId>,
    free: Vec<ClassId>,
}

impl Shares {
    /// `entitlements` by the name of the team; a team that isn't named has weight 1 and no
    /// guarantee. Weights are brought into [`WEIGHTS`].
    pub fn new(entitlements: HashMap<String, Entitlement>) -> Shares {
        Shares { entitlements, ..Shares::default() }
    }

    /// Tells what all machines have together.
    pub fn set_fleet(&mut self, fleet: Resources) {
        self.fleet = fleet;
    }

    /// What all machines have together, as far as it was told.
    pub fn fleet(&self) -> Resources {
        self.fleet
    }

    fn team_id(&mut self, name: &str) -> TeamId {
        if let Some(&id) = self.team_ids.get(name) {
            return id;
        }
        if self.teams.len() >= MAX_TEAMS {
            return TeamId(MAX_TEAMS as u32 - 1);
        }
        let mut entitlement = self.entitlements.get(name).copied().unwrap_or_default();
        if !WEIGHTS.contains(&entitlement.weight) {
            let weight = entitlement.weight;
            let bounded = weight.clamp(*WEIGHTS.start(), *WEIGHTS.end());
            entitlement.weight = if weight.is_nan() { 1.0 } else { bounded };
        }
        let id = TeamId(self.teams.len() as u32);
        let name = name.to_owned();
        self.team_ids.insert(name.clone(), id);
        self.teams.push(Team { name, entitlement, used: Resources::NONE, jobs: 0 });
        id
    }

    /// A job of the class is there; to be undone by [`Shares::remove_job`].
    pub fn add_job(&mut self, team: &str, class: &str) -> ClassId {
        let team = self.team_id(team);
        let key = (team, class.to_owned());
        let id = match self.class_ids.get(&key) {
            Some(&id) => id,
            None if self.class_ids.len() < MAX_CLASSES => {
                let id = self.new_class(team, Some(key.1.clone()));
                self.class_ids.insert(key, id);
                id
            }
            None => match self.further.get(&team) {
                Some(&id) => id,
                None => {
                    let id = self.new_class(team, None);
                    self.further.insert(team, id);
                    id
                }
            },
        };
        self.classes[id.0 as usize].jobs += 1;
        let team = self.classes[id.0 as usize].team;
        self.teams[team.0 as usize].jobs += 1;
        id
    }

    fn new_class(&mut self, team: TeamId, name: Option<String>) -> ClassId {
        let (used, stopping) = (Resources::NONE, Resources::NONE);
        let class = Class { team, jobs: 0, used, stopping, name };
        match self.free.pop() {
            Some(id) => {
                self.classes[id.0 as usize] = class;
                id
            }
            None => {
                self.classes.push(class);
                ClassId(self.classes.len() as u32 - 1)
            }
        }
    }

    /// The job is forgotten, and nothing of it is placed any more.
    pub fn remove_job(&mut self, id: ClassId) {
        let class = &mut self.classes[id.0 as usize];
        class.jobs = class.jobs.saturating_sub(1);
        let team = &mut self.teams[class.team.0 as usize];
        team.jobs = team.jobs.saturating_sub(1);
        if class.jobs > 0 {
            return;
        }
        match class.name.take() {
            Some(name) => {
                self.class_ids.remove(&(class.team, name));
            }
            None => {
                self.further.remove(&class.team);
            }
        }
        self.free.push(id);
    }

    /// A task of the class was placed.
    pub fn task_placed(&mut self, id: ClassId, task: Resources) {
        let class = &mut self.classes[id.0 as usize];
        class.used += task;
        self.teams[class.team.0 as usize].used += task;
    }

    /// A task of the class is proven to be off its machine.
    pub fn task_gone(&mut self, id: ClassId, task: Resources) {
        let class = &mut self.classes[id.0 as usize];
        class.used = class.used.less(task);
        let team = &mut self.teams[class.team.0 as usize];
        team.used = team.used.less(task);
    }

    /// A placed task of the class was told to stop.
    pub fn task_stopping(&mut self, id: ClassId, task: Resources) {
        self.classes[id.0 as usize].stopping += task;
    }

    /// A task that was told to stop has ended, or is gone.
    pub fn task_stopped(&mut self, id: ClassId, task: Resources) {
        let class = &mut self.classes[id.0 as usize];
        class.stopping = class.stopping.less(task);
    }

    /// The team of the class.
    pub fn team_of(&self, id: ClassId) -> TeamId {
        self.classes[id.0 as usize].team
    }

    pub(crate) fn entitlement(&self, team: TeamId) -> Entitlement {
        self.teams[team.0 as usize].entitlement
    }

    pub(crate) fn team_used(&self, team: TeamId) -> Resources {
        self.teams[team.0 as usize].used
    }

    /// What the class's tasks use that aren't proven gone.
    pub fn class_used(&self, id: ClassId) -> Resources {
        self.classes[id.0 as usize].used
    }

    /// The class's dominant share of the fleet.
    pub fn class_share(&self, id: ClassId) -> f64 {
        self.class_used(id).dominant_share(self.fleet)
    }

    /// What is left of the class's share once another such task is told to stop.
    pub fn share_without(&self, id: ClassId, task: Resources) -> f64 {
        let class = &self.classes[id.0 as usize];
        class.used.less(class.stopping).less(task).dominant_share(self.fleet)
    }

    /// Whether the class's team holds as much as its part of the fleet, were that divided between the
    /// teams that have jobs.
    pub fn has_fair_share(&self, id: ClassId) -> bool {
        let team = &self.teams[self.team_of(id).0 as usize];
        let with_jobs = self.teams.iter().filter(|team| team.jobs > 0);
        let weights: f64 = with_jobs.map(|team| team.entitlement.weight).sum();
        let part = team.entitlement.weight / weights.max(team.entitlement.weight);
        team.used.dominant_share(self.fleet) >= part
    }

    /// The classes that hold most of the fleet, `max` at most, the largest share first.
    pub fn largest(&self, max: usize) -> Vec<HeldShare<'_>> {
        let with_jobs = self.classes.iter().filter(|class| class.jobs > 0);
        let mut held: Vec<HeldShare> = with_jobs
            .map(|class| HeldShare {
                team: &self.teams[class.team.0 as usize].name,
                class: class.name.as_deref(),
                share: class.used.dominant_share(self.fleet),
            })
            .collect();
        held.sort_by(|a, b| {
            b.share.total_cmp(&a.share).then((a.team, a.class).cmp(&(b.team, b.class)))
        });
        held.truncate(max);
        held
    }

    /// Entries in use, for tests of what is kept.
    pub fn classes_kept(&self) -> usize {
        self.classes.len() - self.free.len()
    }
}
