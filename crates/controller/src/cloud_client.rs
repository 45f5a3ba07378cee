//! The cloud: renting, returning, listing, within its rate.

use std::cell::RefCell;
use std::net::SocketAddrV4;
use std::rc::Rc;
use std::time::Duration;

use tokio::time::{sleep, Instant};
use walnutlug_scheduler::protocol::cloud::{
    ListedMachine, MachineIds, MachineList, MachineType, MachineTypes, ScaleOutRequest,
};

use crate::http::client::{Client, Failure, Response};

#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum CloudError {
    /// No machine of this kind to be had.
    NoCapacity,
    /// Refused for another reason; certainly not carried out.
    Refused,
    /// Nothing was sent: there was no connection, or it was not to be sent any more.
    NotSent,
    /// No usable answer; the request may have been carried out, or may be later.
    Unknown,
}

/// Whether a request may still be sent, asked directly before it is.
pub type MaySend<'a> = &'a dyn Fn() -> bool;

/// For requests that change nothing.
fn always() -> bool {
    true
}

/// Machines in a list, many times those of any fleet.
const MAX_LISTED: usize = 50_000;

pub struct CloudClient {
    client: Rc<Client>,
    addr: SocketAddrV4,
    rps: f64,
    next: RefCell<Instant>,
}

impl CloudClient {
    pub fn new(client: Rc<Client>, addr: SocketAddrV4, rps: f64) -> CloudClient {
        CloudClient { client, addr, rps, next: RefCell::new(Instant::now()) }
    }

    async fn ask(
        &self,
        method: &str,
        path: &str,
        body: &[u8],
        may_send: MaySend<'_>,
    ) -> Result<Response, CloudError> {
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
            match self.client.request_if(self.addr, method, path, body, within, may_send).await {
                Ok(r) if r.status == 429 => {
                    sleep(Duration::from_millis(rand::random_range(300..900))).await;
                }
                Ok(r) => return Ok(r),
                Err(Failure::NotSent) => return Err(CloudError::NotSent),
                Err(Failure::Lost) => return Err(CloudError::Unknown),
            }
        }
        Err(CloudError::Refused)
    }

    pub async fn types(&self) -> Result<Vec<MachineType>, CloudError> {
        let r = self.ask("GET", "/machine_types", b"", &always).await?;
        if r.status != 200 {
            return Err(CloudError::Unknown);
        }
        let types: MachineTypes =
            serde_json::from_slice(&r.body).map_err(|_| CloudError::Unknown)?;
        Ok(usable_types(types.types))
    }

    /// Rents machines. If no answer comes the request is sent once more: under the same name it gets the
    /// same answer and rents nothing twice.
    pub async fn scale_out(
        &self,
        request: &ScaleOutRequest,
        may_send: MaySend<'_>,
    ) -> Result<Vec<String>, CloudError> {
        match self.scale_out_once(request, may_send).await {
            Err(CloudError::Unknown) => match self.scale_out_once(request, may_send).await {
                Err(CloudError::Refused | CloudError::NotSent) => Err(CloudError::Unknown),
                second => second,
            },
            first => first,
        }
    }

    async fn scale_out_once(
        &self,
        request: &ScaleOutRequest,
        may_send: MaySend<'_>,
    ) -> Result<Vec<String>, CloudError> {
        let body = serde_json::to_vec(request).map_err(|_| CloudError::NotSent)?;
        let r = self.ask("POST", "/machines", &body, may_send).await?;
        match r.status {
            200 => serde_json::from_slice::<MachineIds>(&r.body)
                .map(|n| n.machines)
                .map_err(|_| CloudError::Unknown),
            503 if String::from_utf8_lossy(&r.body).contains("no capacity") => {
                Err(CloudError::NoCapacity)
            }
            _ => Err(CloudError::Refused),
        }
    }

    /// Returns machines. Once this is `Ok` they are gone.
    pub async fn terminate(
        &self,
        machines: &[String],
        may_send: MaySend<'_>,
    ) -> Result<(), CloudError> {
        let names = MachineIds { machines: machines.to_vec() };
        let body = serde_json::to_vec(&names).map_err(|_| CloudError::NotSent)?;
        let r = self.ask("POST", "/machines/return", &body, may_send).await?;
        if r.status == 200 {
            Ok(())
        } else {
            Err(CloudError::Refused)
        }
    }

    pub async fn list(&self) -> Result<Vec<ListedMachine>, CloudError> {
        let mut all: Vec<ListedMachine> = Vec::new();
        loop {
            let from = match all.last() {
                Some(m) => format!("from={}&", m.name),
                None => String::new(),
            };
            let r = self.ask("GET", &format!("/machines?{from}most=500"), b"", &always).await?;
            if r.status != 200 {
                return Err(CloudError::Unknown);
            }
            let page: MachineList =
                serde_json::from_slice(&r.body).map_err(|_| CloudError::Unknown)?;
            // Ordered by name, each page beginning after the last: a page that doesn't go on from
            // there would be asked for for ever.
            let last = all.last().map(|m: &ListedMachine| m.name.clone()).unwrap_or_default();
            let before = all.len();
            all.extend(page.machines.into_iter().filter(|m| m.name > last));
            all.dedup_by(|a, b| a.name == b.name);
            if !page.more || all.len() == before || all.len() > MAX_LISTED {
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
mod golden_tests;
#[cfg(test)]
mod tests;
