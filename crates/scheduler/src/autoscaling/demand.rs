//! The waiting tasks of one job, placed on simulated capacity that the job may use.

use std::collections::BTreeMap;

use crate::autoscaling::offers::{InstanceOffers, SimulatedMachine};
use crate::model::job::Job;
use crate::time::Timestamp;

/// Tasks of a job that wait for a machine.
pub(super) struct Demand<'a> {
    pub(super) job: &'a Job,
    now: Timestamp,
    /// Which offers the job may use, by position.
    allowed: Vec<bool>,
    /// How many more tasks each zone may take; `None` if the job does not limit that.
    zone_room: Option<BTreeMap<String, u32>>,
    /// Tasks that have found no capacity yet.
    pub(super) unplaced: u32,
}

impl<'a> Demand<'a> {
    pub(super) fn new(
        now: Timestamp,
        job: &'a Job,
        offers: &InstanceOffers,
        allowed: Vec<bool>,
        tasks: u32,
    ) -> Demand<'a> {
        let zone_room = job.spec.spread.then(|| zone_room(job, offers));
        Demand { job, now, allowed, zone_room, unplaced: tasks }
    }

    /// Returns whether the job may use machines of the offer for one more task.
    pub(super) fn may_use(&self, offers: &InstanceOffers, offer: usize) -> bool {
        self.allowed[offer] && self.room_in_zone(&offers.offers[offer].1) > 0
    }

    /// Places tasks on the machine as far as the job may use it and it has room. Returns their
    /// number.
    pub(super) fn place(
        &mut self,
        offers: &InstanceOffers,
        simulated: &mut SimulatedMachine,
    ) -> u32 {
        let offer = simulated.offer;
        if self.unplaced == 0 || !self.may_use(offers, offer) {
            return 0;
        }
        if simulated.machine.is_some_and(|m| self.job.avoids(self.now, m)) {
            return 0;
        }
        let zone = &offers.offers[offer].1;
        let placed =
            simulated.place_tasks(&self.job.spec, self.unplaced.min(self.room_in_zone(zone)));
        self.unplaced -= placed;
        if let Some(room) = self.zone_room.as_mut().and_then(|rooms| rooms.get_mut(zone)) {
            *room -= placed;
        }
        placed
    }

    /// Places tasks on all of the machines. Returns their number.
    pub(super) fn place_on_all(
        &mut self,
        offers: &InstanceOffers,
        machines: &mut [SimulatedMachine],
    ) -> u32 {
        let before = self.unplaced;
        for simulated in machines {
            if self.unplaced == 0 {
                break;
            }
            self.place(offers, simulated);
        }
        before - self.unplaced
    }

    /// Returns whether the job may use any of the machines, with room or without.
    pub(super) fn may_use_any(
        &self,
        offers: &InstanceOffers,
        machines: &[SimulatedMachine],
    ) -> bool {
        machines.iter().any(|simulated| self.may_use(offers, simulated.offer))
    }

    fn room_in_zone(&self, zone: &str) -> u32 {
        match &self.zone_room {
            Some(rooms) => rooms.get(zone).copied().unwrap_or(0),
            None => u32::MAX,
        }
    }
}

/// Returns how many more tasks of a `spread` job each zone may take. Tasks on machines of unknown
/// zone could be in any zone.
fn zone_room(job: &Job, offers: &InstanceOffers) -> BTreeMap<String, u32> {
    let placed_in = |zone: &str| job.zones.get(zone).copied().unwrap_or(0);
    let max_per_zone = job.spec.tasks.div_ceil(2);
    let room = |zone: &str| max_per_zone.saturating_sub(placed_in(zone) + placed_in(""));
    offers.offers.iter().map(|(_, zone, _)| (zone.clone(), room(zone))).collect()
}
