//! The users' side: submissions, polls and withdrawals. Any node serves it, from the state
//! service alone; what the leader and the other nodes tell only adds counts for display.
//!
//! No answer is ever older than one that any node gave before: an end never changes, and "not ended" is said only after the key-value store confirmed it.

#[cfg(test)]
pub mod fake_cluster;
mod job_checks;

use std::cell::{Cell, RefCell};
use std::collections::{HashMap, HashSet};
use std::rc::Rc;

use tokio::sync::oneshot;
use tokio::time::{sleep, Duration, Instant};
use tracing::{debug, info};
use walnutlug_admission::turns::TurnQueue;
use walnutlug_scheduler::command::TransactionOutcome;
use walnutlug_scheduler::model::job_spec::{JobEnd, JobSpec, Priority};
use walnutlug_scheduler::protocol;
use walnutlug_scheduler::protocol::key_value::{Compare, Operation, Transaction};
use walnutlug_scheduler::protocol::users::{is_job_id, job_response, JobStage};
use walnutlug_scheduler::storage::document::Document;
use walnutlug_scheduler::storage::keys;
use walnutlug_scheduler::storage::records::{chunk_size, description_record};

use job_checks::check;

use crate::http::server::Answer;
use crate::key_value_client::{KeyValueClient, KeyValueError, RequestClass};
use crate::node::Node;
use crate::peers::Frame;

/// What this node knows of a job for certain.
#[derive(Debug, Clone, PartialEq, Eq)]
enum Known {
    /// With the jobs that it needs, once they are read: they never change.
    Accepted(Option<Rc<[String]>>),
    Ended(JobEnd),
}

/// What a poll found.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Status {
    NeverAccepted,
    Open,
    Ended(JobEnd),
    /// Can't be told now.
    Unclear,
}

#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Accept {
    New,
    Known,
    Unclear,
}

struct Waiting {
    name: String,
    value: Document,
    dependencies: Rc<[String]>,
    /// A job that it needs is cancelled: it is accepted, and ends with that.
    aborted: bool,
    reply: oneshot::Sender<Accept>,
}

/// Submissions of a team and priority take turns with the others'; all are one lane if the order isn't
/// shared.
type Lane = Option<(String, Priority)>;

#[derive(Default)]
pub struct UserApi {
    known: RefCell<HashMap<String, Known>>,
    progress: RefCell<HashMap<String, (u32, u32)>>,
    submissions: RefCell<TurnQueue<Lane, Waiting>>,
    submitting: Cell<u32>,
    checks: RefCell<HashMap<String, Vec<oneshot::Sender<Status>>>>,
    checking: Cell<bool>,
}

/// Jobs remembered at a node, at some hundred bytes each.
const MAX_KNOWN: usize = 50_000;
/// Time between two rounds of checks, so that many polls share a request.
const CHECK_EVERY: Duration = Duration::from_millis(120);
/// An acceptance whose answer takes longer is sent once more.
const SECOND_COPY_AFTER: Duration = Duration::from_millis(70);
/// How long a submission waits to hear how the jobs stand that it names, if all are known.
const LOOK_WITHIN: Duration = Duration::from_millis(80);
/// Slower submissions are worth a line when debugging.
const SLOW_MS: u64 = 150;
/// After this long an undecided request is refused, to be repeated by its user.
const DECIDE_WITHIN: Duration = Duration::from_millis(2_500);

impl UserApi {
    /// Remembers what is certain. An end never changes, so it is never replaced.
    fn learn(&self, name: &str, known: Known) {
        let mut map = self.known.borrow_mut();
        if map.len() > MAX_KNOWN {
            // Only a memory of what the key-value store keeps for ever: it is asked again.
            map.clear();
        }
        if matches!(known, Known::Ended(_)) {
            self.progress.borrow_mut().remove(name);
        }
        match (map.get(name), &known) {
            (Some(Known::Ended(_)), _) => {}
            (Some(Known::Accepted(Some(_))), Known::Accepted(None)) => {}
            _ => {
                map.insert(name.to_owned(), known);
            }
        }
    }

    /// The job has ended, for certain.
    pub fn learn_end(&self, name: &str, end: JobEnd) {
        self.learn(name, Known::Ended(end));
    }

    fn known(&self, name: &str) -> Option<Known> {
        self.known.borrow().get(name).cloned()
    }

    pub fn ended(&self, name: &str) -> Option<JobEnd> {
        match self.known.borrow().get(name) {
            Some(Known::Ended(end)) => Some(*end),
            _ => None,
        }
    }

    /// The job itself and all that it needs, directly or through others, as far as is known here;
    /// what is done, and what stands before that, can't hold it up any more.
    fn chain(&self, name: &str) -> Vec<String> {
        let known = self.known.borrow();
        let mut found: Vec<String> = vec![name.to_owned()];
        let mut seen: HashSet<&str> = HashSet::from([name]);
        let mut next = 0;
        while next < found.len() {
            if let Some((_, Known::Accepted(Some(dependencies)))) =
                known.get_key_value(&found[next])
            {
                for need in dependencies.iter() {
                    let done = matches!(known.get(need), Some(Known::Ended(JobEnd::Done)));
                    if !done && seen.insert(need) {
                        found.push(need.clone());
                    }
                }
            }
            next += 1;
        }
        found
    }

    /// A job's counts, as the leader tells them; for display.
    pub fn progress(&self, name: &str, done: u32, running: u32) {
        if !is_job_id(name) || self.ended(name).is_some() {
            return;
        }
        let mut progress = self.progress.borrow_mut();
        if progress.len() > MAX_KNOWN {
            progress.clear();
        }
        progress.insert(name.to_owned(), (done, running));
    }

    /// A job has ended, as another node tells: its counts are of no more use.
    pub fn ended_elsewhere(&self, name: &str) {
        self.progress.borrow_mut().remove(name);
    }
}

fn stage_of_end(end: JobEnd) -> JobStage {
    match end {
        JobEnd::Done => JobStage::Done,
        JobEnd::Cancelled => JobStage::Cancelled,
    }
}

pub async fn submit(node: Rc<Node>, body: Vec<u8>) -> Answer {
    let started = Instant::now();
    let (name, spec) = match protocol::users::parse_submission(&body) {
        Ok(parsed) => parsed,
        Err(e) => return Answer::error(400, e.to_string()),
    };
    if node.user_api.known(&name).is_some() {
        return known_answer(&node, &name).await;
    }
    let Some(fault) = impossible(&node, &spec) else {
        return Answer::later("the machine types are not known yet");
    };
    let own = || format!("waits: {name} can't wait for itself");
    let fault = fault.or_else(|| spec.dependencies.contains(&name).then(own));
    if let Some(fault) = fault {
        return refuse_new(&node, &name, fault).await;
    }
    if node.key_value.is_down() {
        return Answer::later("the state service can't be reached");
    }
    let mut spec = spec;
    let mut aborted = false;
    if !spec.dependencies.is_empty() {
        match look_up_dependencies(&node, &spec.dependencies).await {
            Dependencies::Open(dependencies) => spec.dependencies = dependencies,
            Dependencies::Cancelled => aborted = true,
            Dependencies::Missing(need) => {
                let fault = format!("waits: nobody submitted {need}");
                return refuse_new(&node, &name, fault).await;
            }
            Dependencies::Unclear => {
                return Answer::later("the jobs it waits for can't be read now")
            }
        }
    }
    let chunk = chunk_size(node.settings.site.value_bytes);
    let value = Document::new(&description_record(&spec, node.wall_us(), chunk));
    let most = node.key_value.limits().value_bytes.min(node.settings.site.value_bytes);
    if value.size() > most {
        return Answer::error(400, "breeds, waits: the description is too long to be kept");
    }
    // What can't be written in time is told so at once, and when to come again.
    let lane = node.tunables.shared_order.then(|| (spec.team.clone(), spec.priority));
    let ahead = node.user_api.submissions.borrow().ahead_of(&lane);
    let wait = node.key_value.submission_delay(2 * ahead);
    if wait > DECIDE_WITHIN {
        return Answer::later_by(wait.as_secs() as u32, "too many submissions at once");
    }
    let (reply, answer) = oneshot::channel();
    let dependencies: Rc<[String]> = spec.dependencies.into();
    let waiting = Waiting { name: name.clone(), value, dependencies, aborted, reply };
    node.user_api.submissions.borrow_mut().push(lane, waiting);
    start_submitting(&node);
    let accepted = tokio::time::timeout(DECIDE_WITHIN, answer).await;
    let ms = started.elapsed().as_millis() as u64;
    node.submit_times.borrow_mut().saturating_record(ms);
    if ms > SLOW_MS {
        debug!(job = %name, ms, accepted = matches!(accepted, Ok(Ok(_))), "a slow submission");
    }
    match accepted {
        Ok(Ok(Accept::New)) => {
            let stage = node.user_api.ended(&name).map_or(JobStage::Queued, stage_of_end);
            Answer::json(201, &job_response(&name, stage, None))
        }
        Ok(Ok(Accept::Known)) => known_answer(&node, &name).await,
        _ => Answer::later("the submission can't be recorded now"),
    }
}

/// Refuses what can never run, unless it was accepted once: then it is never refused, whatever has
/// changed since.
async fn refuse_new(node: &Rc<Node>, name: &str, fault: String) -> Answer {
    if node.key_value.is_down() {
        return Answer::later("the state service can't be reached");
    }
    match node.key_value.get(RequestClass::Submission, &keys::job(name)).await {
        Ok(None) => {
            info!(job = %name, "refused: {fault}");
            Answer::error(422, fault)
        }
        Ok(Some(_)) => {
            node.user_api.learn(name, Known::Accepted(None));
            known_answer(node, name).await
        }
        Err(error) => Answer::later(user_text(&error)),
    }
}

/// How users are told of a fault of the store; they may compare the texts.
fn user_text(error: &KeyValueError) -> &'static str {
    match error {
        KeyValueError::Rejected { .. } => "the state service refuses",
        KeyValueError::Indeterminate { .. } => "the state service does not answer",
        KeyValueError::Expired { .. } => "gone",
        KeyValueError::InvalidResponse { .. } => "a bad answer",
    }
}

/// What a new job has to wait for.
enum Dependencies {
    /// These, which may end at any time; none, if all are done.
    Open(Vec<String>),
    /// One that is cancelled, or stands behind one.
    Cancelled,
    /// One that was certainly never accepted.
    Missing(String),
    Unclear,
}

/// Reads how the jobs stand that a new one names. Those whose stored end is `done` are left out: an
/// end never changes. Where all are known to be accepted a slow answer isn't waited for: whatever was
/// cancelled meanwhile the leader finds.
async fn look_up_dependencies(node: &Rc<Node>, dependencies: &[String]) -> Dependencies {
    let known = dependencies.iter().all(|n| node.user_api.known(n).is_some());
    let looked = check(node, dependencies.to_vec(), RequestClass::Submission);
    tokio::pin!(looked);
    let found = match tokio::time::timeout(LOOK_WITHIN, &mut looked).await {
        Ok(found) => found,
        Err(_) if known => HashMap::new(),
        Err(_) => looked.await,
    };
    let (mut open, mut unclear, mut aborted) = (Vec::new(), false, false);
    for need in dependencies {
        match found.get(need).copied().unwrap_or(Status::Unclear) {
            Status::NeverAccepted => return Dependencies::Missing(need.clone()),
            Status::Ended(JobEnd::Cancelled) => aborted = true,
            Status::Ended(JobEnd::Done) => {}
            Status::Open => open.push(need.clone()),
            Status::Unclear if known => open.push(need.clone()),
            Status::Unclear => unclear = true,
        }
    }
    // All of them have to be looked at: a cancelled one told first once hid that another was never
    // submitted by anybody.
    match (unclear, aborted) {
        (true, _) => Dependencies::Unclear,
        (false, true) => Dependencies::Cancelled,
        (false, false) => Dependencies::Open(open),
    }
}

/// Why the job can never run; `None` while that can't be decided.
fn impossible(node: &Node, spec: &JobSpec) -> Option<Option<String>> {
    let types = node.types.borrow();
    if types.is_empty() {
        return None;
    }
    Some(spec.impossible(&node.settings.site.teams, &types))
}

/// The answer to a repeated submission. Like a poll it has to ask: another node may have told
/// the user meanwhile that the job has ended.
async fn known_answer(node: &Rc<Node>, name: &str) -> Answer {
    let stage = match status(node, name).await {
        Status::Ended(end) => stage_of_end(end),
        Status::Open => open_stage(node, name).0,
        // Accepted for certain, so never "not found", whatever the check could not tell.
        Status::NeverAccepted | Status::Unclear => {
            return Answer::later("the job's state can't be read now");
        }
    };
    Answer::json(200, &job_response(name, stage, None))
}

fn open_stage(node: &Node, name: &str) -> (JobStage, u32, u32) {
    let own = node.scheduler.borrow().as_ref().and_then(|s| {
        let ix = *s.cluster.jobs_by_name.get(name)?;
        s.cluster.counts(ix)
    });
    let heard = || node.user_api.progress.borrow().get(name).copied();
    let (done, running) = own.or_else(heard).unwrap_or((0, 0));
    let stage = if running > 0 { JobStage::Running } else { JobStage::Queued };
    (stage, done, running)
}

/// Submissions that come while one transaction is under way share the next.
fn start_submitting(node: &Rc<Node>) {
    if node.user_api.submitting.get() >= 2 {
        return;
    }
    node.user_api.submitting.set(node.user_api.submitting.get() + 1);
    let node = node.clone();
    tokio::task::spawn_local(async move {
        loop {
            let batch: Vec<Waiting> = {
                let mut queue = node.user_api.submissions.borrow_mut();
                // Who has stopped waiting was told to come again.
                queue.retain(|w| !w.reply.is_closed());
                let most = (node.key_value.limits().txn_ops / 2).max(1);
                let mut bytes = 0;
                let mut batch = Vec::new();
                while let Some(next) = queue.peek().filter(|_| batch.len() < most) {
                    bytes += next.value.size() + 256;
                    if !batch.is_empty() && bytes > 40 * 1024 {
                        break;
                    }
                    batch.extend(queue.pop());
                }
                batch
            };
            if batch.is_empty() {
                break;
            }
            accept(&node, batch).await;
        }
        node.user_api.submitting.set(node.user_api.submitting.get() - 1);
    });
}

async fn accept(node: &Rc<Node>, mut batch: Vec<Waiting>) {
    let deadline = Instant::now() + DECIDE_WITHIN;
    while !batch.is_empty() {
        let mut transaction = Transaction::default();
        let mut names: Vec<&str> = Vec::new();
        for w in &batch {
            if names.contains(&w.name.as_str()) {
                continue; // The same job twice at once: one record serves both.
            }
            names.push(&w.name);
            transaction.compares.push(Compare { key: keys::job(&w.name), revision: 0 });
            transaction.operations.push(Operation::put(keys::job(&w.name), serde_json::json!(1)));
            if w.aborted {
                // Accepted and over at once: there is nothing to do about it.
                transaction
                    .operations
                    .push(Operation::put(keys::end(&w.name), serde_json::json!(JobEnd::Cancelled)));
            } else {
                let key = keys::description(&w.name, !w.dependencies.is_empty());
                transaction.operations.push(Operation::put_document(key, w.value.clone()));
            }
        }
        match commit_twice(node, &transaction).await {
            TransactionOutcome::Committed { .. } => {
                for w in batch.drain(..) {
                    if w.aborted {
                        node.learn_end(&w.name, JobEnd::Cancelled);
                    } else {
                        node.user_api.learn(&w.name, Known::Accepted(Some(w.dependencies.clone())));
                    }
                    node.broadcast(&Frame::NewJob { job: w.name.clone() });
                    let _ = w.reply.send(Accept::New);
                }
                node.new_work.notify_one();
            }
            TransactionOutcome::Conflict { failed } => {
                // Known already, perhaps by a copy of this very transaction whose answer was
                // lost. The others try again without them.
                let (known, rest): (Vec<_>, Vec<_>) =
                    batch.into_iter().partition(|w| failed.contains(&keys::job(&w.name)));
                if known.is_empty() {
                    reply_all(rest, Accept::Unclear);
                    return;
                }
                batch = rest;
                for w in known {
                    // Perhaps by another node, which saw what it needs in another state.
                    node.user_api.learn(&w.name, Known::Accepted(None));
                    let _ = w.reply.send(Accept::Known);
                }
            }
            TransactionOutcome::Indeterminate if Instant::now() < deadline => {}
            TransactionOutcome::TooLarge if batch.len() > 1 => {
                // Each may go alone. What is refused even so is told to come again, and then keeps to
                // the limits that were learned by it.
                for w in batch {
                    Box::pin(accept(node, vec![w])).await;
                }
                return;
            }
            TransactionOutcome::Indeterminate
            | TransactionOutcome::Rejected
            | TransactionOutcome::TooLarge => {
                reply_all(batch, Accept::Unclear);
                return;
            }
        }
    }
}

/// Sends an acceptance, and once more over another connection if the answer takes long: now and then
/// the key-value store takes some hundred milliseconds over one request and few over the next. Both
/// are guarded by the job's absence, so only one takes effect; the other then finds the job known.
async fn commit_twice(node: &Rc<Node>, transaction: &Transaction) -> TransactionOutcome {
    let first = node.key_value.commit(RequestClass::Submission, transaction);
    tokio::pin!(first);
    if let Ok(outcome) = tokio::time::timeout(SECOND_COPY_AFTER, &mut first).await {
        return outcome;
    }
    let second = node.key_value.commit(RequestClass::Submission, transaction);
    tokio::pin!(second);
    let certain = |o: &TransactionOutcome| {
        matches!(o, TransactionOutcome::Committed { .. } | TransactionOutcome::Conflict { .. })
    };
    tokio::select! {
        outcome = &mut first => if certain(&outcome) { outcome } else { second.await },
        outcome = &mut second => if certain(&outcome) { outcome } else { first.await },
    }
}

fn reply_all(batch: Vec<Waiting>, answer: Accept) {
    for w in batch {
        let _ = w.reply.send(answer);
    }
}

pub async fn poll(node: Rc<Node>, name: &str) -> Answer {
    if !is_job_id(name) {
        return Answer::error(404, "no such job");
    }
    match status(&node, name).await {
        Status::NeverAccepted => Answer::error(404, "no such job"),
        Status::Ended(end) => Answer::json(200, &job_response(name, stage_of_end(end), None)),
        Status::Open => {
            let (stage, done, running) = open_stage(&node, name);
            Answer::json(200, &job_response(name, stage, Some((done, running))))
        }
        Status::Unclear => Answer::later("the job's state can't be read now"),
    }
}

/// How the job stands, as of now: ended jobs from memory, all others by asking.
async fn status(node: &Rc<Node>, name: &str) -> Status {
    if let Some(end) = node.user_api.ended(name) {
        return Status::Ended(end);
    }
    if node.key_value.is_down() {
        return Status::Unclear;
    }
    let (reply, answer) = oneshot::channel();
    node.user_api.checks.borrow_mut().entry(name.to_owned()).or_default().push(reply);
    start_checking(node);
    match tokio::time::timeout(Duration::from_millis(1_700), answer).await {
        Ok(Ok(status)) => status,
        _ => Status::Unclear,
    }
}

fn start_checking(node: &Rc<Node>) {
    if node.user_api.checking.replace(true) {
        return;
    }
    let node = node.clone();
    tokio::task::spawn_local(async move {
        loop {
            let most = node.key_value.max_compares();
            let batch: HashMap<String, Vec<oneshot::Sender<Status>>> = {
                let mut checks = node.user_api.checks.borrow_mut();
                let names: Vec<String> = checks.keys().take(most).cloned().collect();
                names.into_iter().filter_map(|n| checks.remove_entry(&n)).collect()
            };
            if batch.is_empty() {
                break;
            }
            let names: Vec<String> = batch.keys().cloned().collect();
            let found = check(&node, names, RequestClass::Poll).await;
            for (name, replies) in batch {
                let status = found.get(&name).copied().unwrap_or(Status::Unclear);
                for reply in replies {
                    let _ = reply.send(status);
                }
            }
            if node.user_api.checks.borrow().len() < most {
                sleep(CHECK_EVERY).await;
            }
        }
        node.user_api.checking.set(false);
    });
}

pub async fn withdraw(node: Rc<Node>, name: &str) -> Answer {
    if !is_job_id(name) {
        return Answer::error(404, "no such job");
    }
    let give_up = Instant::now() + DECIDE_WITHIN;
    loop {
        match status(&node, name).await {
            Status::NeverAccepted => return Answer::error(404, "no such job"),
            Status::Ended(end) => {
                return Answer::json(200, &job_response(name, stage_of_end(end), None));
            }
            Status::Unclear => return Answer::later("the job's state can't be read now"),
            Status::Open => {}
        }
        // Whoever writes the end first wins, so a last finish and a withdrawal can't both be
        // told; and every start guards this key's absence.
        let key = keys::end(name);
        let transaction = Transaction {
            compares: vec![Compare { key: key.clone(), revision: 0 }],
            operations: vec![Operation::put(key, serde_json::json!("aborted"))],
        };
        match node.key_value.commit(RequestClass::Submission, &transaction).await {
            TransactionOutcome::Committed { .. } => {
                info!(job = %name, "withdrawn");
                node.learn_end(name, JobEnd::Cancelled);
                return Answer::json(200, &job_response(name, JobStage::Cancelled, None));
            }
            // Ended meanwhile, or by a copy of this transaction: the next look tells.
            TransactionOutcome::Conflict { .. } | TransactionOutcome::Indeterminate
                if Instant::now() < give_up => {}
            _ => return Answer::later("the withdrawal can't be recorded now"),
        }
    }
}

/// Keeps the types for nodes that start while the cloud is down.
pub async fn share_types(
    state: &KeyValueClient,
    types: &[protocol::cloud::MachineType],
) -> TransactionOutcome {
    let value = serde_json::json!({"breeds": types});
    if value.to_string().len() > state.limits().value_bytes {
        // Sent all the same, each refusal would be taken for limits that fell once more.
        debug!("the machine types are too long to be kept");
        return TransactionOutcome::TooLarge;
    }
    let transaction =
        Transaction { compares: Vec::new(), operations: vec![Operation::put(keys::TYPES, value)] };
    state.commit(RequestClass::Watch, &transaction).await
}

#[cfg(test)]
mod concurrent_failures_tests;
#[cfg(test)]
mod tests;
