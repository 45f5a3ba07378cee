//! Client of the cloud: lists machine types and machines, rents machines and returns them, within
//! the cloud's request rate.

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

/// Tells whether a request may still be sent. It is called directly before the request is written
/// to the connection.
pub(crate) type MaySend<'a> = &'a dyn Fn() -> bool;

/// Permits sending at any time, for requests that change nothing.
fn may_always_send() -> bool {
    true
}

/// Maximum number of machines in a listing, many times that of any fleet.
const MAX_LISTED_MACHINES: usize = 50_000;
/// Time limit for an answer.
const TIMEOUT: Duration = Duration::from_secs(5);
/// Maximum number of times that a request is sent if the cloud refuses it for the rate.
const MAX_ATTEMPTS: u32 = 4;
/// Pause after a refusal for the rate, in milliseconds.
const RATE_REFUSAL_PAUSE_MS: std::ops::Range<u64> = 300..900;
/// Text in the cloud's answer when it has no machine of the requested type.
const NO_CAPACITY: &str = "no capacity";

/// Client of the cloud, whose requests are paced to the cloud's rate.
pub(crate) struct CloudClient {
    client: Rc<Client>,
    addr: SocketAddrV4,
    pacer: Pacer,
}

impl CloudClient {
    /// Creates a client of the cloud at `addr`, which accepts `requests_per_s` requests per second.
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
                Err(error) => return Err(http_failure(request, error)),
            }
        }
        Err(rejected(request, Rejection::RateExceeded))
    }

    /// Reads the machine types that the cloud offers, without those whose values are not usable.
    pub(crate) async fn types(&self) -> Result<Vec<MachineType>, CloudError> {
        let request = CloudRequest::Types;
        let response = self.send(&request, b"", &may_always_send).await?;
        let types: MachineTypes = decode_body(&request, &response)?;
        Ok(usable_types(types.types))
    }

    /// Rents machines and returns their names. If no usable answer arrives, the request is sent
    /// once more. The repetition has the same name, so the cloud answers as before and rents
    /// nothing twice.
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
            200 => Ok(decode_body::<MachineIds>(&request, &response)?.machines),
            503 if String::from_utf8_lossy(&response.body).contains(NO_CAPACITY) => {
                Err(CloudError::NoCapacity { request })
            }
            status => Err(rejected(&request, Rejection::Status(status))),
        }
    }

    /// Returns machines to the cloud. On `Ok` the machines are gone.
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

    /// Lists all machines of the cloud, page by page.
    pub(crate) async fn list(&self) -> Result<Vec<ListedMachine>, CloudError> {
        let mut all: Vec<ListedMachine> = Vec::new();
        loop {
            let last = all.last().map(|machine| machine.name.clone());
            let request = CloudRequest::List { from: last.clone() };
            let response = self.send(&request, b"", &may_always_send).await?;
            let page: MachineList = decode_body(&request, &response)?;
            // Each page is sorted by name and starts after the last machine of the page before.
            // Stop at a page that makes no progress, because it would be requested forever.
            let last = last.unwrap_or_default();
            let before = all.len();
            all.extend(page.machines.into_iter().filter(|machine| machine.name > last));
            all.dedup_by(|a, b| a.name == b.name);
            if !page.more || all.len() == before || all.len() > MAX_LISTED_MACHINES {
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

fn http_failure(request: &CloudRequest, error: HttpError) -> CloudError {
    match error {
        HttpError::NotSent(source) => {
            CloudError::NotSent { request: request.clone(), source: source.into() }
        }
        HttpError::Indeterminate(source) => indeterminate(request, source.into()),
    }
}

/// Decodes the body of an answer, which has to have status 200.
fn decode_body<T: DeserializeOwned>(
    request: &CloudRequest,
    response: &Response,
) -> Result<T, CloudError> {
    if response.status != 200 {
        return Err(indeterminate(request, UnknownOutcome::Status(response.status)));
    }
    serde_json::from_slice(&response.body).map_err(|error| indeterminate(request, error.into()))
}

/// Removes machine types with values that can't be computed with, so that invalid data from the
/// cloud never affects a decision.
pub(crate) fn usable_types(types: Vec<MachineType>) -> Vec<MachineType> {
    let (usable, unusable): (Vec<_>, Vec<_>) = types.into_iter().partition(is_usable);
    for machine_type in unusable {
        tracing::warn!(machine_type = ?machine_type.name, "ignoring a machine type with missing or invalid values");
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
