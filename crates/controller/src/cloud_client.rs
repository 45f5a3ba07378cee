//! The client of the cloud: machine types, scale out, scale in and the list of machines, within the
//! cloud's rate.

mod pacer;
mod request;

use std::net::SocketAddrV4;
use std::rc::Rc;
use std::time::Duration;

use serde::de::DeserializeOwned;
use tokio::time::sleep;
use walnutlug_scheduler::protocol::cloud::{
    ListedMachine, MachineIds, MachineList, MachineType, MachineTypes, ScaleOutRequest,
};

use crate::http::client::{Client, HttpError, Request, Response};
use pacer::Pacer;

pub(crate) use request::{CloudError, CloudRequest, Rejection, UnknownOutcome};

/// Whether a request may still be sent, asked directly before it is.
pub(crate) type MaySend<'a> = &'a dyn Fn() -> bool;

/// For requests that change nothing.
fn always() -> bool {
    true
}

/// Machines in a list, many times those of any fleet.
const MAX_LISTED: usize = 50_000;
/// How long an answer is waited for.
const TIMEOUT: Duration = Duration::from_secs(5);
/// Times that a request is sent which the cloud refuses for its rate.
const MAX_ATTEMPTS: u32 = 4;
/// Pause after such a refusal, in milliseconds.
const RATE_REFUSAL_PAUSE_MS: std::ops::Range<u64> = 300..900;
/// How the cloud's answer names a lack of machines.
const NO_CAPACITY: &str = "no capacity";

/// The client of the cloud.
pub(crate) struct CloudClient {
    client: Rc<Client>,
    addr: SocketAddrV4,
    pacer: Pacer,
}

impl CloudClient {
    /// A client of the cloud at that address, which takes so many requests per second.
    pub(crate) fn new(client: Rc<Client>, addr: SocketAddrV4, requests_per_s: f64) -> CloudClient {
        CloudClient { client, addr, pacer: Pacer::new(requests_per_s) }
    }

    async fn send(
        &self,
        request: &CloudRequest,
        body: &[u8],
        may_send: MaySend<'_>,
    ) -> Result<Response, CloudError> {
        let path = request.path();
        let http_request =
            Request { method: request.method(), path: &path, body, timeout: TIMEOUT };
        for _ in 0..MAX_ATTEMPTS {
            self.pacer.wait().await;
            let answer = self.client.send_if(self.addr, &http_request, may_send).await;
            match answer {
                Ok(response) if response.status == 429 => {
                    let pause = rand::random_range(RATE_REFUSAL_PAUSE_MS);
                    sleep(Duration::from_millis(pause)).await;
                }
                Ok(response) => return Ok(response),
                Err(error) => return Err(unanswered(request, error)),
            }
        }
        Err(rejected(request, Rejection::RateUsedUp))
    }

    /// The machine types that the cloud offers, but for those that make no sense.
    pub(crate) async fn types(&self) -> Result<Vec<MachineType>, CloudError> {
        let request = CloudRequest::Types;
        let response = self.send(&request, b"", &always).await?;
        let types: MachineTypes = read(&request, &response)?;
        Ok(usable_types(types.types))
    }

    /// Rents machines, and returns their names. If no answer comes the request is sent once more: under
    /// the same name it gets the same answer and rents nothing twice.
    pub(crate) async fn scale_out(
        &self,
        request: &ScaleOutRequest,
        may_send: MaySend<'_>,
    ) -> Result<Vec<String>, CloudError> {
        let first = self.scale_out_once(request, may_send).await;
        if !matches!(first, Err(CloudError::Indeterminate { .. })) {
            return first;
        }
        match self.scale_out_once(request, may_send).await {
            Err(error @ (CloudError::Rejected { .. } | CloudError::NotSent { .. })) => {
                let request = scale_out_request(request);
                Err(indeterminate(&request, UnknownOutcome::RepetitionFailed(Box::new(error))))
            }
            second => second,
        }
    }

    async fn scale_out_once(
        &self,
        scale_out: &ScaleOutRequest,
        may_send: MaySend<'_>,
    ) -> Result<Vec<String>, CloudError> {
        let request = scale_out_request(scale_out);
        let body = match serde_json::to_vec(scale_out) {
            Ok(body) => body,
            Err(error) => return Err(CloudError::NotSent { request, source: error.into() }),
        };
        let response = self.send(&request, &body, may_send).await?;
        match response.status {
            200 => Ok(read::<MachineIds>(&request, &response)?.machines),
            503 if String::from_utf8_lossy(&response.body).contains(NO_CAPACITY) => {
                Err(CloudError::NoCapacity { request })
            }
            status => Err(rejected(&request, Rejection::Status(status))),
        }
    }

    /// Returns machines to the cloud. Once this is `Ok` they are gone.
    pub(crate) async fn terminate(
        &self,
        machines: &[String],
        may_send: MaySend<'_>,
    ) -> Result<(), CloudError> {
        let request = CloudRequest::Terminate { count: machines.len() };
        let body = match serde_json::to_vec(&MachineIds { machines: machines.to_vec() }) {
            Ok(body) => body,
            Err(error) => return Err(CloudError::NotSent { request, source: error.into() }),
        };
        let response = self.send(&request, &body, may_send).await?;
        match response.status {
            200 => Ok(()),
            status => Err(rejected(&request, Rejection::Status(status))),
        }
    }

    /// All machines of the cloud, read page by page.
    pub(crate) async fn list(&self) -> Result<Vec<ListedMachine>, CloudError> {
        let mut all: Vec<ListedMachine> = Vec::new();
        loop {
            let last = all.last().map(|machine| machine.name.clone());
            let request = CloudRequest::List { from: last.clone() };
            let response = self.send(&request, b"", &always).await?;
            let page: MachineList = read(&request, &response)?;
            // Ordered by name, each page beginning after the last: a page that doesn't go on from
            // there would be asked for for ever.
            let last = last.unwrap_or_default();
            let before = all.len();
            all.extend(page.machines.into_iter().filter(|machine| machine.name > last));
            all.dedup_by(|a, b| a.name == b.name);
            if !page.more || all.len() == before || all.len() > MAX_LISTED {
                return Ok(all);
            }
        }
    }
}

fn scale_out_request(scale_out: &ScaleOutRequest) -> CloudRequest {
    let ScaleOutRequest { kind, zone, count, .. } = scale_out;
    CloudRequest::ScaleOut { kind: kind.clone(), zone: zone.clone(), count: *count }
}

fn rejected(request: &CloudRequest, source: Rejection) -> CloudError {
    CloudError::Rejected { request: request.clone(), source }
}

fn indeterminate(request: &CloudRequest, source: UnknownOutcome) -> CloudError {
    CloudError::Indeterminate { request: request.clone(), source }
}

fn unanswered(request: &CloudRequest, error: HttpError) -> CloudError {
    match error {
        HttpError::NotSent(source) => {
            CloudError::NotSent { request: request.clone(), source: source.into() }
        }
        HttpError::Indeterminate(source) => indeterminate(request, source.into()),
    }
}

/// The body of an answer that has to have status 200.
fn read<T: DeserializeOwned>(request: &CloudRequest, response: &Response) -> Result<T, CloudError> {
    if response.status != 200 {
        return Err(indeterminate(request, UnknownOutcome::Status(response.status)));
    }
    serde_json::from_slice(&response.body).map_err(|error| indeterminate(request, error.into()))
}

/// Leaves out what can't be reckoned with, so that nonsense from the cloud never reaches a decision.
pub(crate) fn usable_types(types: Vec<MachineType>) -> Vec<MachineType> {
    let (usable, unusable): (Vec<_>, Vec<_>) = types.into_iter().partition(is_usable);
    for machine_type in unusable {
        tracing::warn!(machine_type = ?machine_type.name, "a machine type makes no sense and is left out");
    }
    usable
}

fn is_usable(machine_type: &MachineType) -> bool {
    let MachineType { cpus, gpus, memory_gb, price, spot_price, boot_s, .. } = *machine_type;
    let amounts = [cpus, gpus, memory_gb, price, spot_price, boot_s];
    !machine_type.name.is_empty()
        && cpus > 0.0
        && amounts.into_iter().all(|amount| amount.is_finite() && amount >= 0.0)
        && !machine_type.zones.is_empty()
}

#[cfg(test)]
mod golden_tests;
#[cfg(test)]
mod tests;
