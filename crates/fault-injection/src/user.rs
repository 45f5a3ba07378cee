//! A user of the controllers: submits, cancels and asks, at the next one when one gives no answer.

use std::time::{Duration, Instant};

use reqwest::{RequestBuilder, Response};
use serde_json::{json, Value};

/// A user gives up after so long, and tries the next controller after so long.
const GIVES_UP: Duration = Duration::from_secs(60);
const RETRY: Duration = Duration::from_millis(200);

/// A user's client.
pub fn client() -> reqwest::Client {
    let client = reqwest::Client::builder().timeout(Duration::from_secs(2)).no_proxy().build();
    client.expect("a client")
}

/// A job of so many small tasks, as it is submitted; plays change what matters to them.
pub fn submission(name: &str, team: &str, tasks: u32) -> Value {
    json!({"ref": name, "shell": "c", "crew": team, "husk": "batch", "rank": "normal",
        "nuts": tasks, "vcpus": 2.0, "gpus": 0.0, "memoryGb": 1.0, "seed": "i", "imageGb": 0.1,
        "breeds": null, "grove": null, "together": false, "spread": false, "windfall": true,
        "ripenS": 1.0, "stashS": 0.0, "buryS": 0.0, "harvestS": null})
}

/// A user who knows all controllers by their addresses.
pub struct User {
    http: reqwest::Client,
    controllers: Vec<String>,
}

impl User {
    /// A user of these controllers.
    pub fn new(controllers: &[String]) -> User {
        User { http: client(), controllers: controllers.to_vec() }
    }

    /// How many controllers there are to ask.
    pub fn controllers(&self) -> usize {
        self.controllers.len()
    }

    /// Submits the job, first to that controller. Which one accepted it, if any did in time.
    pub async fn submit(&self, job: &Value, first: usize) -> Option<usize> {
        let request = |at: &str| self.http.post(format!("http://{at}/submissions")).json(job);
        self.until_answered(first, request).await.map(|(at, _)| at)
    }

    /// Cancels the job. The stage that it was found in or brought to, if anybody told in time.
    pub async fn cancel(&self, job: &str, first: usize) -> Option<String> {
        let request = |at: &str| self.http.post(format!("http://{at}/submissions/{job}/withdraw"));
        let (_, answer) = self.until_answered(first, request).await?;
        stage(answer).await
    }

    /// The job's stage, as that controller tells it.
    pub async fn stage_at(&self, at: usize, job: &str) -> Option<String> {
        stage_at(&self.http, &self.controllers[at], job).await
    }

    /// Sends the request to one controller after the other until one agrees.
    async fn until_answered(
        &self,
        first: usize,
        request: impl Fn(&str) -> RequestBuilder,
    ) -> Option<(usize, Response)> {
        let until = Instant::now() + GIVES_UP;
        for turn in first.. {
            if Instant::now() >= until {
                break;
            }
            let at = turn % self.controllers.len();
            if let Ok(answer) = request(&self.controllers[at]).send().await {
                if answer.status().is_success() {
                    return Some((at, answer));
                }
            }
            tokio::time::sleep(RETRY).await;
        }
        None
    }
}

async fn stage(answer: Response) -> Option<String> {
    let body: Value = answer.json().await.ok()?;
    Some(body["stage"].as_str()?.to_owned())
}

async fn stage_at(http: &reqwest::Client, at: &str, job: &str) -> Option<String> {
    stage(http.get(format!("http://{at}/submissions/{job}")).send().await.ok()?).await
}

/// How many of the jobs some controller calls done.
pub async fn count_done(users: &[String], jobs: &[String]) -> usize {
    let client = client();
    let mut done = 0;
    for job in jobs {
        for at in users {
            if stage_at(&client, at, job).await.as_deref() == Some("done") {
                done += 1;
                break;
            }
        }
    }
    done
}
