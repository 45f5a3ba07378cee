//! The cloud: renting, returning, listing, within its rate.

use std::cell::RefCell;
use std::net::SocketAddrV4;
use std::rc::Rc;
use std::time::Duration;

use tokio::time::{sleep, Instant};
use walnutlug_core::wire::{
    ListedMachine, MachineList, MachineNames, MachineType, MachineTypes, RentRequest,
};

use crate::http::client::{Client, Response};

#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum CloudError {
    /// No machine of this kind to be had.
    NoCapacity,
    /// No usable answer; the request may have been carried out.
    Trouble,
}

/// Machines in a list, many times those of any fleet.
const MOST_LISTED: usize = 50_000;

pub struct Cloud {
    client: Rc<Client>,
    addr: SocketAddrV4,
    rps: f64,
    next: RefCell<Instant>,
}

impl Cloud {
    pub fn new(client: Rc<Client>, addr: SocketAddrV4, rps: f64) -> Cloud {
        Cloud { client, addr, rps, next: RefCell::new(Instant::now()) }
    }

    async fn ask(&self, method: &str, path: &str, body: &[u8]) -> Result<Response, CloudError> {
        for _ in 0..4 {
            let at = {
                let mut next = self.next.borrow_mut();
                let now = Instant::now();
                // The cloud allows bursts worth two seconds; half of that is used.
                let earliest = now.checked_sub(Duration::from_secs(1)).unwrap_or(now);
                let at = (*next).max(earliest);
                *next = at + Duration::from_secs_f64(1.0 / (self.rps * 0.8));
                at
            };
            tokio::time::sleep_until(at).await;
            let within = Duration::from_secs(5);
            match self.client.request(self.addr, method, path, body, within).await {
                Ok(r) if r.status == 429 => {
                    sleep(Duration::from_millis(rand::random_range(300..900))).await;
                }
                Ok(r) => return Ok(r),
                Err(_) => return Err(CloudError::Trouble),
            }
        }
        Err(CloudError::Trouble)
    }

    pub async fn types(&self) -> Result<Vec<MachineType>, CloudError> {
        let r = self.ask("GET", "/machine_types", b"").await?;
        if r.status != 200 {
            return Err(CloudError::Trouble);
        }
        let types: MachineTypes =
            serde_json::from_slice(&r.body).map_err(|_| CloudError::Trouble)?;
        Ok(usable_types(types.types))
    }

    pub async fn rent(&self, request: &RentRequest) -> Result<Vec<String>, CloudError> {
        let body = serde_json::to_vec(request).map_err(|_| CloudError::Trouble)?;
        let mut r = self.ask("POST", "/machines", &body).await;
        if r.is_err() {
            // The same name again gives the same answer and rents nothing twice.
            r = self.ask("POST", "/machines", &body).await;
        }
        let r = r?;
        match r.status {
            200 => serde_json::from_slice::<MachineNames>(&r.body)
                .map(|n| n.machines)
                .map_err(|_| CloudError::Trouble),
            503 if String::from_utf8_lossy(&r.body).contains("no capacity") => {
                Err(CloudError::NoCapacity)
            }
            _ => Err(CloudError::Trouble),
        }
    }

    /// True only on 200: then the machines are gone.
    pub async fn give_back(&self, machines: &[String]) -> bool {
        let names = MachineNames { machines: machines.to_vec() };
        let Ok(body) = serde_json::to_vec(&names) else { return false };
        matches!(self.ask("POST", "/machines/return", &body).await, Ok(r) if r.status == 200)
    }

    pub async fn list(&self) -> Result<Vec<ListedMachine>, CloudError> {
        let mut all: Vec<ListedMachine> = Vec::new();
        loop {
            let from = match all.last() {
                Some(m) => format!("from={}&", m.name),
                None => String::new(),
            };
            let r = self.ask("GET", &format!("/machines?{from}most=500"), b"").await?;
            if r.status != 200 {
                return Err(CloudError::Trouble);
            }
            let page: MachineList =
                serde_json::from_slice(&r.body).map_err(|_| CloudError::Trouble)?;
            // Ordered by name, each page beginning after the last: a page that doesn't go on from
            // there would be asked for for ever.
            let last = all.last().map(|m: &ListedMachine| m.name.clone()).unwrap_or_default();
            let before = all.len();
            all.extend(page.machines.into_iter().filter(|m| m.name > last));
            all.dedup_by(|a, b| a.name == b.name);
            if !page.more || all.len() == before || all.len() > MOST_LISTED {
                return Ok(all);
            }
        }
    }
}

/// Drops what can't be reckoned with, so that nonsense from the cloud never reaches a decision.
pub fn usable_types(types: Vec<MachineType>) -> Vec<MachineType> {
    let sane = |x: f64| x.is_finite() && x >= 0.0;
    let (good, odd): (Vec<_>, Vec<_>) = types.into_iter().partition(|t| {
        !t.name.is_empty()
            && t.cpus > 0.0
            && [t.cpus, t.gpus, t.memory_gb, t.price, t.spot_price, t.boot_s].into_iter().all(sane)
            && !t.zones.is_empty()
    });
    for t in odd {
        tracing::warn!("machine type {:?} makes no sense and is left out", t.name);
    }
    good
}

#[cfg(test)]
mod tests;
