//! Shares of the fleet held by each team and its job classes, updated as tasks are placed and
//! proven gone.

use std::collections::HashMap;

use crate::resources::Resources;

/// Maximum number of classes with an entry of their own, over all teams. Users choose class names
/// freely, so their number is unbounded. Once this many classes have open jobs, any further classes
/// of a team share one entry, and thus the share of one class.
pub const MAX_CLASSES: usize = 1_000;
/// Maximum number of teams with an entry of their own; the platform's settings name far fewer. Any
/// further teams share the last entry.
pub const MAX_TEAMS: usize = 1_000;
/// Allowed weights. A weight outside of this range would give a team all of the fleet or nothing.
pub const WEIGHTS: std::ops::RangeInclusive<f64> = 0.01..=100.0;

/// Identifies a team within [`Shares`].
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct TeamId(pub(crate) u32);

/// Identifies a class of one team within [`Shares`].
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct ClassId(pub(crate) u32);

/// Weight and guarantee of a team.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Entitlement {
    /// Weight of the team relative to the other teams.
    pub weight: f64,
    /// Guaranteed resources; zero for a resource without a guarantee.
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
    /// Number of the team's jobs in all classes.
    jobs: u32,
}

#[derive(Debug, Clone)]
struct Class {
    team: TeamId,
    /// Number of jobs that use this entry. The entry can be reused when it drops to 0.
    jobs: u32,
    used: Resources,
    /// Part of `used` that belongs to tasks told to stop.
    stopping: Resources,
    /// Class name; `None` for the entry shared by a team's further classes.
    name: Option<String>,
}

/// Share of the fleet held by a class.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct HeldShare<'a> {
    /// Name of the class's team.
    pub team: &'a str,
    /// Class name; `None` for the entry shared by a team's further classes.
    pub class: Option<&'a str>,
    /// Dominant share: the largest fraction of the fleet that the class uses of any resource.
    pub share: f64,
}

/// Resource usage of teams and classes, and the size of the fleet to which it is compared.
#[derive(Debug, Clone, Default)]
pub struct Shares {
    fleet: Resources,
    entitlements: HashMap<String, Entitlement>,
    teams: Vec<Team>,
    team_ids: HashMap<String, TeamId>,
    classes: Vec<Class>,
    class_ids: HashMap<(TeamId, String), ClassId>,
    /// Entry shared by a team's classes beyond [`MAX_CLASSES`].
    overflow_classes: HashMap<TeamId, ClassId>,
    free_classes: Vec<ClassId>,
}

impl Shares {
    /// Creates the shares of a fleet without jobs. `entitlements` is keyed by team name; a team
    /// that is not listed has weight 1 and no guarantee. Weights are clamped to [`WEIGHTS`].
    pub fn new(entitlements: HashMap<String, Entitlement>) -> Shares {
        Shares { entitlements, ..Shares::default() }
    }

    /// Sets the total resources of all machines.
    pub fn set_fleet(&mut self, fleet: Resources) {
        self.fleet = fleet;
    }

    /// Returns the total resources of all machines, as last set.
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

    /// Registers a job of the class. [`Shares::remove_job`] undoes this.
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
            None => match self.overflow_classes.get(&team) {
                Some(&id) => id,
                None => {
                    let id = self.new_class(team, None);
                    self.overflow_classes.insert(team, id);
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
        match self.free_classes.pop() {
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

    /// Unregisters a job. None of its tasks may be placed any more.
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
                self.overflow_classes.remove(&class.team);
            }
        }
        self.free_classes.push(id);
    }

    /// Adds a placed task to the usage of its class and team.
    pub fn task_placed(&mut self, id: ClassId, task: Resources) {
        let class = &mut self.classes[id.0 as usize];
        class.used += task;
        self.teams[class.team.0 as usize].used += task;
    }

    /// Removes a task from the usage of its class and team, once it is proven absent from its
    /// machine.
    pub fn task_gone(&mut self, id: ClassId, task: Resources) {
        let class = &mut self.classes[id.0 as usize];
        class.used = class.used.less(task);
        let team = &mut self.teams[class.team.0 as usize];
        team.used = team.used.less(task);
    }

    /// Marks the resources of a placed task as about to be released, because it was told to stop.
    pub fn task_stopping(&mut self, id: ClassId, task: Resources) {
        self.classes[id.0 as usize].stopping += task;
    }

    /// Undoes [`Shares::task_stopping`] when the task has exited or is proven absent.
    pub fn task_stopped(&mut self, id: ClassId, task: Resources) {
        let class = &mut self.classes[id.0 as usize];
        class.stopping = class.stopping.less(task);
    }

    /// Returns the team to which the class belongs.
    pub fn team_of(&self, id: ClassId) -> TeamId {
        self.classes[id.0 as usize].team
    }

    pub(crate) fn entitlement(&self, team: TeamId) -> Entitlement {
        self.teams[team.0 as usize].entitlement
    }

    pub(crate) fn team_used(&self, team: TeamId) -> Resources {
        self.teams[team.0 as usize].used
    }

    /// Returns the resources used by the class's tasks that are not proven absent.
    pub fn class_used(&self, id: ClassId) -> Resources {
        self.classes[id.0 as usize].used
    }

    /// Returns the class's dominant share of the fleet.
    pub fn class_share(&self, id: ClassId) -> f64 {
        self.class_used(id).dominant_share(self.fleet)
    }

    /// Returns the class's dominant share after all stopping tasks and one more such task have
    /// gone.
    pub fn share_without(&self, id: ClassId, task: Resources) -> f64 {
        let class = &self.classes[id.0 as usize];
        class.used.less(class.stopping).less(task).dominant_share(self.fleet)
    }

    /// Returns whether the class's team already holds its fair share: its weighted fraction of the
    /// fleet, divided between all teams with jobs.
    pub fn has_fair_share(&self, id: ClassId) -> bool {
        let team = &self.teams[self.team_of(id).0 as usize];
        let with_jobs = self.teams.iter().filter(|team| team.jobs > 0);
        let weights: f64 = with_jobs.map(|team| team.entitlement.weight).sum();
        let part = team.entitlement.weight / weights.max(team.entitlement.weight);
        team.used.dominant_share(self.fleet) >= part
    }

    /// Returns up to `max` classes with jobs, in descending order of their share.
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

    /// Returns the number of class entries in use. Tests check with it that no entry leaks.
    pub fn classes_kept(&self) -> usize {
        self.classes.len() - self.free_classes.len()
    }
}
