//! What the cloud offers, and trying placements on machines that aren't there yet.

use crate::model::job::{JobSpec, SLACK};

/// A kind of machine that can be asked for: type, zone, spot or ordinary.
pub type Offer = (usize, String, bool);

/// Machines in one request, by the protocol.
pub(crate) const MOST_ASKED: u32 = 50;

/// Room on a machine that is there, coming or wanted, for trying placements on paper.
pub(crate) struct Paper {
    pub offer: usize,
    pub cpus: f64,
    pub gpus: f64,
    pub memory: f64,
}

impl Paper {
    /// Puts as many of `todo` tasks on it as there is room for.
    pub fn take(&mut self, spec: &JobSpec, todo: u32) -> u32 {
        let by =
            |free: f64, takes: f64| if takes > 0.0 { (free + SLACK) / takes } else { f64::MAX };
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
pub(crate) struct Market {
    pub offers: Vec<Offer>,
    price: Vec<f64>,
    open: Vec<bool>,
    pub there: Vec<u32>,
    pub wanted: Vec<u32>,
}

impl Market {
    pub fn add(&mut self, offer: Offer, price: f64, open: bool) -> usize {
        self.offers.push(offer);
        self.price.push(price);
        self.open.push(open);
        self.there.push(0);
        self.wanted.push(0);
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

    pub fn want(&mut self, offer: usize) {
        self.there[offer] += 1;
        self.wanted[offer] += 1;
    }

    /// Whether any more can be asked for in this look.
    pub fn has_room(&self) -> bool {
        self.wanted.iter().any(|&n| n < MOST_ASKED)
    }
}
