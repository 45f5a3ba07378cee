//! What the cloud offers, and trying placements on machines that aren't there yet.

use crate::model::job_spec::JobSpec;
use crate::model::EPSILON;

/// A kind of machine that can be asked for: type, zone, spot or ordinary.
pub type InstanceOffer = (usize, String, bool);

/// Machines in one request, by the protocol.
pub(crate) const MAX_MACHINES_PER_REQUEST: u32 = 50;

/// Room on a machine that is there, coming or wanted, for trying placements on paper.
pub(crate) struct WhatIfMachine {
    pub offer: usize,
    pub cpus: f64,
    pub gpus: f64,
    pub memory: f64,
}

impl WhatIfMachine {
    /// Puts as many of `todo` tasks on it as there is room for.
    pub fn take(&mut self, spec: &JobSpec, todo: u32) -> u32 {
        let by =
            |free: f64, takes: f64| if takes > 0.0 { (free + EPSILON) / takes } else { f64::MAX };
        let fit = by(self.cpus, spec.cpus)
            .min(by(self.gpus, spec.gpus))
            .min(by(self.memory, spec.memory_gb));
        let n = (fit.max(0.0) as u32).min(todo);
        self.cpus -= spec.cpus * f64::from(n);
        self.gpus -= spec.gpus * f64::from(n);
        self.memory -= spec.memory_gb * f64::from(n);
        n
    }
}

/// What can be asked for, and how many of each there are, are coming or are wanted. Counted once a
/// look: at several hundred machines, counting them anew for each one wanted took whole seconds of
/// a node's share, and was cut off at 400, where the fleet then stopped growing.
#[derive(Default)]
pub(crate) struct InstanceOffers {
    pub offers: Vec<InstanceOffer>,
    price: Vec<f64>,
    open: Vec<bool>,
    pub there: Vec<u32>,
    pub desired: Vec<u32>,
}

impl InstanceOffers {
    pub fn add(&mut self, offer: InstanceOffer, price: f64, open: bool) -> usize {
        self.offers.push(offer);
        self.price.push(price);
        self.open.push(open);
        self.there.push(0);
        self.desired.push(0);
        self.offers.len() - 1
    }

    /// The offer's place; one that the cloud doesn't name any more is added as closed.
    pub fn index(&mut self, kind: usize, zone: &str, spot: bool) -> usize {
        let known = self.offers.iter().position(|o| o.0 == kind && o.2 == spot && o.1 == zone);
        known.unwrap_or_else(|| self.add((kind, zone.to_owned(), spot), f64::INFINITY, false))
    }

    /// The cheapest of those allowed, by price per processor. Among equals the one with fewest
    /// machines, so that one wave doesn't take them all.
    pub fn cheapest(&self, allowed: impl Fn(usize) -> bool) -> Option<usize> {
        let open = (0..self.offers.len()).filter(|&i| self.open[i] && allowed(i));
        open.min_by(|&a, &b| {
            let by_price = self.price[a].total_cmp(&self.price[b]);
            by_price.then(self.there[a].cmp(&self.there[b])).then(a.cmp(&b))
        })
    }

    pub fn add_desired(&mut self, offer: usize) {
        self.there[offer] += 1;
        self.desired[offer] += 1;
    }

    /// Whether any more can be asked for in this look.
    pub fn has_room(&self) -> bool {
        self.desired.iter().any(|&n| n < MAX_MACHINES_PER_REQUEST)
    }
}
