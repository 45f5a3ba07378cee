//! Routes HTTP requests to the user API, the worker API and the platform's readiness check.

use std::rc::Rc;

use tokio::time::Duration;

use super::{readiness, Node};
use crate::http::server::{Answer, Request};
use crate::settings::SocketBudget;
use crate::worker_api::WorkerConnection;
use crate::{user_api, worker_api};

/// Answers an HTTP request according to its path and method; other paths and methods get 404 or
/// 405.
pub(super) async fn handle(
    node: Rc<Node>,
    connection: Rc<WorkerConnection>,
    request: Request,
) -> Answer {
    let path = request.path.split('?').next().unwrap_or_default().to_owned();
    match (path.as_str(), request.method.as_str()) {
        ("/ready", "GET") => readiness_answer(&node),
        ("/ready", _) => method_not_allowed("GET"),
        ("/hello", "POST") => heartbeat(&node, &connection, &request.body).await,
        ("/hello", _) => method_not_allowed("POST"),
        ("/submissions", "POST") => user_api::submit(node, request.body).await,
        ("/submissions", _) => method_not_allowed("POST"),
        (path, method) => match path.strip_prefix("/submissions/") {
            Some(rest) => submission(node, method, rest).await,
            None => not_found(),
        },
    }
}

/// Answers requests under `/submissions/`.
async fn submission(node: Rc<Node>, method: &str, path: &str) -> Answer {
    match (path.split_once('/'), method) {
        (None, "GET") => user_api::poll(node, path).await,
        (None, _) => method_not_allowed("GET"),
        (Some((name, "withdraw")), "POST") => user_api::cancel(node, name).await,
        (Some((_, "withdraw")), _) => method_not_allowed("POST"),
        (Some(_), _) => not_found(),
    }
}

fn readiness_answer(node: &Node) -> Answer {
    if readiness::is_ready(node) {
        Answer::json(200, &serde_json::json!({"ready": true}))
    } else {
        Answer::retry("not ready")
    }
}

async fn heartbeat(node: &Node, connection: &WorkerConnection, body: &[u8]) -> Answer {
    let mut answer = worker_api::heartbeat(node, connection, body).await;
    // A worker reconnects with its next heartbeat, but a user may find no free socket.
    let worker_keep_alive_limit =
        SocketBudget::for_limit(node.settings.fd_limit).worker_keep_alive_limit;
    if node.load.open_connections().get() > worker_keep_alive_limit {
        answer.close = true;
        node.load.count_closed_connection();
    }
    // A worker that is silent for longer than its lease has already started over on another
    // connection.
    answer.idle_timeout = Some(Duration::from_micros(node.site.worker_lease.0));
    answer
}

fn method_not_allowed(allowed: &str) -> Answer {
    Answer::error(405, format!("use {allowed}"))
}

fn not_found() -> Answer {
    Answer::error(404, "no such path")
}
