//! Offers of the cloud, and simulated placement on machines that exist, are booting or are to be
//! requested.

use crate::model::ids::MachineIndex;
use crate::model::job_spec::JobSpec;
use crate::model::EPSILON;

/// A kind of machine that can be requested: index of the machine type, zone, and whether it is a
/// spot machine.
pub type InstanceOffer = (usize, String, bool);

/// Most machines in one request; a limit of the cloud's API.
pub(crate) const MAX_MACHINES_PER_REQUEST: u32 = 50;

/// Free resources of a machine that is up, booting or to be requested, or of several machines of one
/// offer, for simulated placement.
pub(crate) struct SimulatedMachine {
    pub offer: usize,
    /// The machine, if it is known by name.
    pub machine: Option<MachineIndex>,
    pub cpus: f64,
    pub gpus: f64,
    pub memory: f64,
}

impl SimulatedMachine {
    /// Adds the machine's resources to those of its offer.
    pub fn add_to(&self, by_offer: &mut Vec<SimulatedMachine>) {
        match by_offer.iter_mut().find(|sum| sum.offer == self.offer) {
            Some(sum) => {
                sum.cpus += self.cpus.max(0.0);
                sum.gpus += self.gpus.max(0.0);
                sum.memory += self.memory.max(0.0);
            }
            None => by_offer.push(SimulatedMachine { machine: None, ..*self }),
        }
    }

    /// Places as many of `unplaced` tasks as fit, and returns their number.
    pub fn place_tasks(&mut self, spec: &JobSpec, unplaced: u32) -> u32 {
        let fitting =
            |free: f64, need: f64| if need > 0.0 { (free + EPSILON) / need } else { f64::MAX };
        let fitting_tasks = fitting(self.cpus, spec.cpus)
            .min(fitting(self.gpus, spec.gpus))
            .min(fitting(self.memory, spec.memory_gb));
        let placed = (fitting_tasks.max(0.0) as u32).min(unplaced);
        self.cpus -= spec.cpus * f64::from(placed);
        self.gpus -= spec.gpus * f64::from(placed);
        self.memory -= spec.memory_gb * f64::from(placed);
        placed
    }
}

/// The offers that can be requested, with the number of machines of each that are up, booting or to
/// be requested. Counted once per assessment: counted again for each machine to request, it took
/// whole seconds of CPU at several hundred machines; it was then cut off at 400 machines, where the
/// fleet stopped growing.
#[derive(Default)]
pub(crate) struct InstanceOffers {
    pub offers: Vec<InstanceOffer>,
    price: Vec<f64>,
    available: Vec<bool>,
    pub machine_counts: Vec<u32>,
    pub desired: Vec<u32>,
}

impl InstanceOffers {
    pub fn add(&mut self, offer: InstanceOffer, price: f64, available: bool) -> usize {
        self.offers.push(offer);
        self.price.push(price);
        self.available.push(available);
        self.machine_counts.push(0);
        self.desired.push(0);
        self.offers.len() - 1
    }

    /// The position of the offer. One that the cloud no longer lists is added as unavailable.
    pub fn index(&mut self, kind: usize, zone: &str, spot: bool) -> usize {
        let known = self.offers.iter().position(|o| o.0 == kind && o.2 == spot && o.1 == zone);
        known.unwrap_or_else(|| self.add((kind, zone.to_owned(), spot), f64::INFINITY, false))
    }

    /// The cheapest available offer per CPU among those that `allowed` accepts. Ties go to the
    /// offer with fewest machines, so that one wave of reclaimed machines doesn't take them all.
    pub fn cheapest(&self, allowed: impl Fn(usize) -> bool) -> Option<usize> {
        let available = (0..self.offers.len()).filter(|&i| self.available[i] && allowed(i));
        available.min_by(|&a, &b| {
            let by_price = self.price[a].total_cmp(&self.price[b]);
            by_price.then(self.machine_counts[a].cmp(&self.machine_counts[b])).then(a.cmp(&b))
        })
    }

    pub fn add_desired(&mut self, offer: usize) {
        self.machine_counts[offer] += 1;
        self.desired[offer] += 1;
    }

    /// Whether a request of this assessment can take another machine.
    pub fn can_request_more(&self) -> bool {
        self.desired.iter().any(|&n| n < MAX_MACHINES_PER_REQUEST)
    }
}
