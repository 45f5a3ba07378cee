//! HTTP client of a user who submits and cancels jobs and reads their state. If a controller does
//! not accept a request, the client sends it to the next one.

use std::time::{Duration, Instant};

use reqwest::{RequestBuilder, Response};
use serde_json::{json, Value};

/// Time after which a request that no controller has accepted is given up.
const RETRY_TIMEOUT: Duration = Duration::from_secs(60);
/// Pause before a request is sent to the next controller.
const RETRY_INTERVAL: Duration = Duration::from_millis(200);

/// Builds an HTTP client with a timeout of two seconds per request and no proxy.
pub fn http_client() -> reqwest::Client {
    let client = reqwest::Client::builder().timeout(Duration::from_secs(2)).no_proxy().build();
    client.expect("failed to build the HTTP client")
}

/// Returns the request body of a job with small tasks; scenarios change the fields they need to.
pub fn submission(name: &str, team: &str, tasks: u32) -> Value {
    json!({"ref": name, "shell": "c", "crew": team, "husk": "batch", "rank": "normal",
        "nuts": tasks, "vcpus": 2.0, "gpus": 0.0, "memoryGb": 1.0, "seed": "i", "imageGb": 0.1,
        "breeds": null, "grove": null, "together": false, "spread": false, "windfall": true,
        "ripenS": 1.0, "stashS": 0.0, "buryS": 0.0, "harvestS": null})
}

/// Client that can reach every controller and retries a request with the next one.
pub struct UserClient {
    http: reqwest::Client,
    controllers: Vec<String>,
}

impl UserClient {
    /// Creates a client for the controllers with these API addresses.
    pub fn new(controllers: &[String]) -> UserClient {
        UserClient { http: http_client(), controllers: controllers.to_vec() }
    }

    /// Returns the number of controllers that the client can reach.
    pub fn controllers(&self) -> usize {
        self.controllers.len()
    }

    /// Submits the job, first to the controller with index `first`. Returns the index of the
    /// controller that accepted it, or `None` if none did in time.
    pub async fn submit(&self, job: &Value, first: usize) -> Option<usize> {
        let request = |at: &str| self.http.post(format!("http://{at}/submissions")).json(job);
        self.retry_until_success(first, request).await.map(|(node, _)| node)
    }

    /// Cancels the job. Returns the stage of the job afterwards, which is `done` if the job had
    /// already finished, or `None` if no controller accepted the request in time.
    pub async fn cancel(&self, job: &str, first: usize) -> Option<String> {
        let request = |at: &str| self.http.post(format!("http://{at}/submissions/{job}/withdraw"));
        let (_, response) = self.retry_until_success(first, request).await?;
        parse_stage(response).await
    }

    /// Returns the stage that one controller reports for the job, or `None` if it reports none.
    pub async fn stage_at(&self, node: usize, job: &str) -> Option<String> {
        stage_at(&self.http, &self.controllers[node], job).await
    }

    /// Sends the request to the controllers in turn until one responds with success. Returns the
    /// index of that controller and its response.
    async fn retry_until_success(
        &self,
        first: usize,
        request: impl Fn(&str) -> RequestBuilder,
    ) -> Option<(usize, Response)> {
        let deadline = Instant::now() + RETRY_TIMEOUT;
        for turn in first.. {
            if Instant::now() >= deadline {
                break;
            }
            let node = turn % self.controllers.len();
            if let Ok(response) = request(&self.controllers[node]).send().await {
                if response.status().is_success() {
                    return Some((node, response));
                }
            }
            tokio::time::sleep(RETRY_INTERVAL).await;
        }
        None
    }
}

async fn parse_stage(response: Response) -> Option<String> {
    let body: Value = response.json().await.ok()?;
    Some(body["stage"].as_str()?.to_owned())
}

async fn stage_at(http: &reqwest::Client, at: &str, job: &str) -> Option<String> {
    parse_stage(http.get(format!("http://{at}/submissions/{job}")).send().await.ok()?).await
}

/// Returns how many of the jobs at least one controller reports as done.
pub async fn count_done(controllers: &[String], jobs: &[String]) -> usize {
    let client = http_client();
    let mut done = 0;
    for job in jobs {
        for at in controllers {
            if stage_at(&client, at, job).await.as_deref() == Some("done") {
                done += 1;
                break;
            }
        }
    }
    done
}
