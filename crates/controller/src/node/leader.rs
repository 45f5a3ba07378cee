//! A node's time as the leader: election, the lease, reading the records, and the loop in which the core
//! decides. All of it ends with the term.

use std::rc::Rc;

use tokio::time::{sleep, timeout, Duration, Instant};
use tracing::{debug, info, warn};
use walnutlug_fencing::lease;
use walnutlug_scheduler::command::{Command, TransactionOutcome};
use walnutlug_scheduler::leadership::election::{ElectionEvent, Role};
use walnutlug_scheduler::leadership::fencing_token::Term;
use walnutlug_scheduler::leadership::watermark;
use walnutlug_scheduler::model::job_spec::JobEnd;
use walnutlug_scheduler::protocol::cloud::ScaleOutRequest;
use walnutlug_scheduler::protocol::key_value::{Compare, Operation, Transaction, WatchEvent};
use walnutlug_scheduler::queue::dependencies::JobEndLookup;
use walnutlug_scheduler::scheduler::Scheduler;
use walnutlug_scheduler::storage::document::Document;
use walnutlug_scheduler::storage::keys;
use walnutlug_scheduler::storage::revision::Revision;
use walnutlug_scheduler::time::{TimeDelta, Timestamp};

use super::{event_log, fleet_role, Node, ADDRESS_FRESH};
use crate::cloud_client::CloudError;
use crate::key_value_client::{
    leader_record, InvalidResponse, KeyValueClient, KeyValueError, Listing, LostAnswer, Rejection,
    RequestClass, StoreRequest,
};
use crate::{heartbeat_delegation, worker_api};

/// How long a leader that gave way leaves the lead to others.
const STEP_DOWN_BACKOFF: TimeDelta = TimeDelta::from_secs(15);

/// How often a leader reads again what there is to do.
const RECONCILE_EVERY: Duration = Duration::from_secs(20);

pub(super) async fn election(node: Rc<Node>) {
    loop {
        match node.key_value.get(RequestClass::Leadership, keys::LEADER).await {
            Ok(Some(key_value)) => {
                node.ready_once.set(true);
                let name = key_value.value["node"].as_str().unwrap_or_default().to_owned();
                let own = key_value.value["inc"].as_str() == Some(node.election_nonce.as_str());
                if own {
                    // Its lease is not held any more (an answer was lost): it will run out.
                    sleep(Duration::from_millis(300)).await;
                    continue;
                }
                if name == node.settings.node_name {
                    release_former_lease(&node, &key_value).await;
                }
                node.learn_leader(&name, key_value.revision.into());
                let hold = Duration::from_secs(10);
                match node
                    .key_value
                    .watch(RequestClass::Leadership, keys::LEADER, key_value.revision, hold)
                    .await
                {
                    Ok(w) => {
                        let vacant = w.events.iter().any(
                            |e| matches!(e, WatchEvent::Delete { drop, .. } if drop == keys::LEADER),
                        );
                        if vacant {
                            info!("the leader key is gone");
                            node.forget_leader(key_value.revision.into());
                        }
                    }
                    Err(_) => sleep(Duration::from_millis(300)).await,
                }
            }
            Ok(None) => {
                node.ready_once.set(true);
                let now = node.now();
                if node.leadership.borrow_mut().step(now, ElectionEvent::Vacant) {
                    campaign(&node).await;
                } else {
                    sleep(Duration::from_millis(200)).await;
                }
            }
            Err(_) => sleep(Duration::from_millis(rand::random_range(250..400))).await,
        }
    }
}

/// The key names this node, but not this life of it: the process ended while it led, and came back
/// before its lease ran out. Nobody leads, so the lease is ended at once. Were the former self
/// alive against all order, its writes would fail, and nothing worse.
async fn release_former_lease(
    node: &Node,
    key_value: &walnutlug_scheduler::protocol::key_value::KeyValue,
) {
    if let Some(lease) = key_value.value["lease"].as_u64() {
        info!(
            term = key_value.revision.get(),
            "this node led when it ended: its lease is given up"
        );
        let _ = node.key_value.revoke_lease(lease).await;
    }
}

async fn campaign(node: &Rc<Node>) {
    let ttl = Duration::from_micros(node.tunables.leader_lease.0);
    let lost = |input| {
        node.leadership.borrow_mut().step(node.now(), input);
    };
    let asked = Instant::now();
    let Ok(lease) = node.key_value.grant_lease(ttl).await else {
        lost(ElectionEvent::Failed);
        sleep(Duration::from_millis(rand::random_range(50..200))).await;
        return;
    };
    node.lease_until.set(asked + safe_lease_duration(ttl));
    let value = leader_record(&node.settings.node_name, &node.election_nonce, lease);
    let transaction = Transaction {
        compares: vec![Compare { key: keys::LEADER.into(), revision: Revision::NONE }],
        operations: vec![Operation::Put {
            put: keys::LEADER.into(),
            value: Document::new(&value),
            lease: Some(lease),
        }],
    };
    let term = create_leader_key(&node.key_value, &transaction, &node.election_nonce).await;
    let Some(term) = term else {
        // Ending the lease ends whatever a late copy of the transaction might yet create.
        let _ = node.key_value.revoke_lease(lease).await;
        lost(ElectionEvent::Failed);
        return;
    };
    if !node.leadership.borrow_mut().step(node.now(), ElectionEvent::Won { term }) {
        return;
    }
    info!(term = term.get(), "elected");
    node.key_value.set_leading(true);
    node.learn_leader(&node.settings.node_name, term);
    lead(node, term, lease, asked).await;
    let _ = timeout(Duration::from_millis(500), node.key_value.revoke_lease(lease)).await;
}

/// Creates the key, and tells the term if this node did. If only the answer was lost, the key holds
/// this node's own incarnation.
async fn create_leader_key(
    state: &KeyValueClient,
    transaction: &Transaction,
    election_nonce: &str,
) -> Option<Term> {
    match state.commit(RequestClass::Leadership, transaction).await {
        TransactionOutcome::Committed { revision } => Some(revision.into()),
        TransactionOutcome::Conflict { .. } | TransactionOutcome::Indeterminate => {
            match state.get(RequestClass::Leadership, keys::LEADER).await {
                Ok(Some(p)) if p.value["inc"].as_str() == Some(election_nonce) => {
                    Some(p.revision.into())
                }
                _ => None,
            }
        }
        TransactionOutcome::Rejected | TransactionOutcome::TooLarge => None,
    }
}

/// Everything that a leader does, until it is one no more.
async fn lead(node: &Rc<Node>, term: Term, lease: u64, touched: Instant) {
    let mut children = Vec::new();
    let lease_node = node.clone();
    children.push(tokio::task::spawn_local(async move {
        keep_lease(&lease_node, lease, touched).await;
    }));
    let over = node.step_down_signal.notified();
    let work = async {
        if let Err(e) = load(node, term).await {
            node.step_down(&format!("the records can't be read: {e}"));
            return;
        }
        run_scheduler(node, term).await;
    };
    tokio::select! {
        _ = over => {}
        _ = work => {}
    }
    node.step_down("the term is over");
    for child in children {
        child.abort();
    }
}

/// For how long after it was asked for the lease is certainly held, whatever the clocks do.
fn safe_lease_duration(ttl: Duration) -> Duration {
    Duration::from_micros(lease::safe_lease_time(TimeDelta(ttl.as_micros() as u64)).0)
}

async fn keep_lease(node: &Rc<Node>, lease: u64, mut touched: Instant) {
    let ttl = Duration::from_micros(node.tunables.leader_lease.0);
    loop {
        tokio::time::sleep_until(touched + ttl.mul_f64(0.28)).await;
        let sent = Instant::now();
        match node.key_value.renew_lease(lease).await {
            Ok(()) => {
                touched = sent;
                node.lease_until.set(sent + safe_lease_duration(ttl));
            }
            Err(KeyValueError::Expired { .. }) => {
                node.step_down("the lease ran out");
                return;
            }
            Err(e) => {
                debug!("lease not renewed: {e}");
                // In an outage the lease gets its full time again, so the leader stays and goes
                // on answering its workers; what it may not do any more the key-value store and
                // the workers' tokens refuse.
                touched = sent - ttl.mul_f64(0.28) + Duration::from_millis(150);
            }
        }
    }
}

/// Reads the records of the term before, whole, before anything is decided.
async fn load(node: &Rc<Node>, term: Term) -> Result<(), KeyValueError> {
    let (began, asked) = (Instant::now(), node.now());
    node.ends_while_loading.borrow_mut().clear();
    if node.types.borrow().is_empty() {
        node.read_types().await;
    }
    let mut s = Scheduler::new(
        node.site.clone(),
        node.tunables.clone(),
        term,
        node.types.borrow().clone(),
        node.now(),
    );
    let Listing { key_values: todo, store_revision } = retry(node, keys::DESCRIPTIONS).await?;
    let Listing { key_values: runs, .. } = retry(node, keys::RUN).await?;
    let (now, wall) = (node.now(), node.wall_us());
    for key_value in &todo {
        if let Some(name) = keys::described(&key_value.key) {
            s.add_job(now, name, &key_value.value, wall);
        }
    }
    for key in s.load_runs(now, &runs) {
        // Descriptions are dropped last, so this is damage from outside. Whatever it places is
        // strange to the registry and will be stopped where it reports.
        warn!("stored {key} belongs to no job and is passed over");
    }
    let open: Vec<String> = s.cluster.jobs_by_name.keys().cloned().collect();
    loop {
        match find_ended_jobs(node, open.clone()).await {
            Ok(ended) => {
                for name in &ended {
                    s.job_over(now, name);
                }
                break;
            }
            Err(error @ KeyValueError::InvalidResponse { .. }) => return Err(error),
            Err(_) => sleep(Duration::from_millis(200)).await,
        }
    }
    fleet_role::take_over(node, term, &mut s).await?;
    for (name, (address, heard)) in node.addresses.borrow().iter() {
        if heard.elapsed() < ADDRESS_FRESH {
            s.cluster.hint_address(now, name, &address.to_string());
        }
    }
    let placed: usize = s.cluster.machines.iter().map(|m| m.tasks.len()).sum();
    info!(
        term = term.get(),
        jobs = s.cluster.jobs_by_name.len(),
        placed,
        ms = began.elapsed().as_millis() as u64,
        "records read: leading"
    );
    install(node, s);
    node.watermark.borrow_mut().read(asked);
    if !node.leadership.borrow_mut().step(node.now(), ElectionEvent::Loaded { term }) {
        let request = StoreRequest::Get { key: keys::LEADER.to_owned() };
        return Err(KeyValueError::Expired { request });
    }
    // The others hear of it at once, and go on answering workers under this term.
    node.broadcast_status();
    for prefix in [keys::DESCRIPTIONS, keys::END] {
        tokio::task::spawn_local(watch(node.clone(), term, prefix, store_revision));
    }
    tokio::task::spawn_local(list_machines(node.clone(), term));
    tokio::task::spawn_local(reconcile(node.clone(), term));
    Ok(())
}

/// Which of the jobs have ended, by comparing: the ends of all jobs ever are never listed.
async fn find_ended_jobs(node: &Node, mut open: Vec<String>) -> Result<Vec<String>, KeyValueError> {
    let mut found = Vec::new();
    while !open.is_empty() {
        let most = node.key_value.max_compares();
        let batch = &open[open.len().saturating_sub(most)..];
        let transaction = Transaction {
            compares: batch
                .iter()
                .map(|n| Compare { key: keys::end(n), revision: Revision::NONE })
                .collect(),
            operations: Vec::new(),
        };
        let keep = open.len() - batch.len();
        let request = StoreRequest::Commit { operations: 0 };
        match node.key_value.commit(RequestClass::Dispatch, &transaction).await {
            TransactionOutcome::Committed { .. } => open.truncate(keep),
            TransactionOutcome::Conflict { failed } => {
                let before = open.len();
                open.retain(|n| !failed.contains(&keys::end(n)));
                if open.len() == before {
                    let source = InvalidResponse::UnrelatedConflict;
                    return Err(KeyValueError::InvalidResponse { request, source });
                }
                found.extend(
                    failed.iter().filter_map(|k| k.strip_prefix(keys::END)).map(str::to_owned),
                );
            }
            TransactionOutcome::Rejected | TransactionOutcome::TooLarge => {
                return Err(KeyValueError::Rejected { request, source: Rejection::Transaction })
            }
            TransactionOutcome::Indeterminate => {
                return Err(KeyValueError::Indeterminate {
                    request,
                    source: LostAnswer::Transaction,
                })
            }
        }
    }
    Ok(found)
}

/// How the jobs stand by what is stored, as far as it can be read.
async fn look_up_job_ends(node: &Node, names: Vec<String>) -> Vec<(String, JobEndLookup)> {
    let mut found = Vec::new();
    let Ok(ended) = find_ended_jobs(node, names.clone()).await else { return found };
    for name in &ended {
        if let Ok(Some(end)) = node.key_value.job_end(name).await {
            found.push((name.clone(), JobEndLookup::Ended(end)));
        }
    }
    let open: Vec<String> = names.into_iter().filter(|n| !ended.contains(n)).collect();
    for name in open {
        // What is in the registry was accepted; of anything else, the proof is looked for once.
        let known = node
            .scheduler
            .borrow()
            .as_ref()
            .is_some_and(|s| s.cluster.jobs_by_name.contains_key(&name));
        if known {
            found.push((name, JobEndLookup::Open));
        } else if let Ok(proof) =
            node.key_value.get(RequestClass::Dispatch, &keys::job(&name)).await
        {
            let state = if proof.is_some() { JobEndLookup::Open } else { JobEndLookup::Missing };
            found.push((name, state));
        }
    }
    found
}

/// Reads the truth again, now and then: jobs that are to be done, and which of them have ended. The
/// watches tell the same sooner; but no job may hang on one message that was lost.
async fn reconcile(node: Rc<Node>, term: Term) {
    loop {
        sleep(RECONCILE_EVERY).await;
        if !is_leading_under(&node, term) {
            return;
        }
        if !node.key_value.store_reachable() {
            continue;
        }
        if let Err(e) = reconcile_once(&node, term).await {
            debug!("reading the records again: {e}");
        }
    }
}

async fn reconcile_once(node: &Rc<Node>, term: Term) -> Result<(), KeyValueError> {
    let Listing { key_values: todo, .. } =
        node.key_value.list(RequestClass::Poll, keys::DESCRIPTIONS).await?;
    let (now, wall) = (node.now(), node.wall_us());
    let open = {
        let mut scheduler = node.scheduler.borrow_mut();
        let Some(s) = scheduler.as_mut().filter(|s| s.term == term) else { return Ok(()) };
        for key_value in &todo {
            // One that was cleaned up since the list was read comes back here as a job to do; the
            // guard on its end then fails, and it is cleaned up again.
            if let Some(name) = keys::described(&key_value.key) {
                if !s.cluster.jobs_by_name.contains_key(name)
                    && s.add_job(now, name, &key_value.value, wall)
                {
                    info!(job = %name, "found by reading the records again");
                }
            }
        }
        // What others wait for may not be in the registry: its end has to be heard of all the same.
        let dependencies =
            s.open_dependencies().into_iter().filter(|n| !s.cluster.jobs_by_name.contains_key(n));
        let dependencies: Vec<String> = dependencies.collect();
        [s.cluster.open_jobs(), dependencies].concat()
    };
    for name in find_ended_jobs(node, open).await? {
        if let Some(end) = node.key_value.job_end(&name).await? {
            node.learn_end(&name, end);
        }
    }
    node.wake_leader();
    Ok(())
}

/// The registry becomes the node's. The machine types may have come while the records were read, when
/// there was no registry to tell them to. (Seen on loopback, where the cloud answers within that time:
/// a leader without types rented and placed nothing until a price moved.)
///
/// So may ends have that other nodes told meanwhile, which their word for them counts as known here.
pub(super) fn install(node: &Node, mut s: Scheduler) {
    s.cluster.set_types(node.types.borrow().clone());
    for (name, end) in node.ends_while_loading.borrow_mut().drain(..) {
        s.job_ended(node.now(), &name, end);
    }
    *node.scheduler.borrow_mut() = Some(s);
}

pub(super) async fn retry(node: &Rc<Node>, prefix: &str) -> Result<Listing, KeyValueError> {
    let mut tries = 0;
    loop {
        match node.key_value.list(RequestClass::Dispatch, prefix).await {
            Ok(found) => return Ok(found),
            Err(e) if tries > 20 => return Err(e),
            Err(_) => {
                tries += 1;
                sleep(Duration::from_millis(200)).await;
            }
        }
    }
}

fn is_leading_under(node: &Node, term: Term) -> bool {
    node.leadership.borrow().role() == Role::Leader { term }
}

/// Shortest time between two openings of a watch.
const WATCH_PACE: Duration = Duration::from_millis(150);

/// What is left of a watch's pace. The clock is looked at once: between two looks the process may
/// lose its turn, and a time that was below the pace is beyond it. (Such a difference below nothing
/// ended a leader, with a fleet of two thousand, on a busy day.)
fn rest_of_pace(elapsed: Duration) -> Duration {
    WATCH_PACE.saturating_sub(elapsed)
}

/// Hears of new jobs and of ends. Opened again at a bounded pace, since every opening counts.
async fn watch(node: Rc<Node>, term: Term, prefix: &'static str, mut from: Revision) {
    // The watch on ends moves the watermark each time it returns, so it returns often.
    let sixth = Duration::from_micros(watermark::window(&node.site).0 / 6);
    let hold = sixth.clamp(Duration::from_millis(100), Duration::from_secs(10));
    while is_leading_under(&node, term) {
        let (opened, asked) = (Instant::now(), node.now());
        match node.key_value.watch(RequestClass::Dispatch, prefix, from, hold).await {
            Ok(watched) => {
                from = watched.store_revision.max(from);
                if !is_leading_under(&node, term) {
                    return;
                }
                let (now, wall) = (node.now(), node.wall_us());
                for event in &watched.events {
                    let WatchEvent::Put { put, value, .. } = event else { continue };
                    if let Some(name) = keys::described(put) {
                        if let Some(s) = node.scheduler.borrow_mut().as_mut() {
                            s.add_job(now, name, value, wall);
                        }
                    } else if let Some(name) = put.strip_prefix(keys::END) {
                        if let Ok(end) = serde_json::from_value::<JobEnd>(value.clone()) {
                            node.learn_end(name, end);
                        }
                    }
                }
                if prefix == keys::END {
                    // All that was stored when it was opened is in this answer or an earlier one.
                    node.watermark.borrow_mut().read(asked);
                }
                node.wake_leader();
            }
            Err(KeyValueError::Expired { .. }) => {
                node.step_down("the watch lost its place: the records are read again");
                return;
            }
            Err(_) => sleep(Duration::from_millis(300)).await,
        }
        let rest = rest_of_pace(opened.elapsed());
        if !rest.is_zero() {
            // A node that took a job or a withdrawal hints that there is something to see.
            let _ = timeout(rest, node.new_work.notified()).await;
        }
    }
}

async fn list_machines(node: Rc<Node>, term: Term) {
    let every = Duration::from_micros(node.site.list_lag.0 / 2)
        .clamp(Duration::from_secs(3), Duration::from_secs(10));
    while is_leading_under(&node, term) {
        let asked = Instant::now();
        let pause = match node.cloud.list().await {
            Ok(list) => {
                let now = node.now();
                if let Some(s) = node.scheduler.borrow_mut().as_mut() {
                    s.machine_list(now, &list);
                }
                node.wake_leader();
                // The pages of a large fleet's list leave half of the cloud's rate to rentals and returns.
                every.max(asked.elapsed())
            }
            Err(_) => Duration::from_secs(2),
        };
        sleep(pause).await;
    }
}

/// Shortest and longest pause between two turns of the leader's loop.
const LEAST_PAUSE: Duration = Duration::from_millis(10);
const MAX_PAUSE: Duration = Duration::from_millis(500);

/// What the leader leaves to everything else after a turn that took so long: as much of the node's part
/// of a core as the turn used. Under load the next turn then decides more at once. (Without a pause,
/// rounds of 2 ms each took all of a fiftieth of a core for ten seconds, and reports and submissions
/// waited behind them.)
fn pause_after(turn: Duration, cpu_share: f64) -> Duration {
    turn.div_f64(cpu_share).clamp(LEAST_PAUSE, MAX_PAUSE)
}

/// The leader's loop: whenever something happened, and now and then, the core decides.
async fn run_scheduler(node: &Rc<Node>, term: Term) {
    let mut last = Instant::now();
    while is_leading_under(node, term) {
        let began = Instant::now();
        {
            let now = node.now();
            let mut guard = node.scheduler.borrow_mut();
            let Some(s) = guard.as_mut() else { return };
            let cut_off = (node.workers_reach_other_nodes() && s.hears_no_worker(now))
                || (node.serving.has_followers() && s.reaches_no_worker(now));
            if cut_off {
                drop(guard);
                // Cut off from the workers while they reach another node: leading from here
                // serves nobody. Another may, and this one holds back for a while.
                node.leadership.borrow_mut().back_off(now, STEP_DOWN_BACKOFF);
                node.step_down("no worker reaches this node, but they reach others");
                return;
            }
            let allowance = node.key_value.write_allowance();
            s.set_write_allowance(allowance.now, allowance.most);
            let limits = node.key_value.limits();
            s.set_limits(limits.value_bytes, limits.txn_ops);
            // By this node's own clock, and from before the request was sent, so never too long.
            s.holds_lease = Instant::now() < node.lease_until.get();
            s.cancellations_known_until = node.cancellations_known_until();
            s.tick(now);
            s.autoscale(now);
            let commands = s.take_commands();
            drop(guard);
            heartbeat_delegation::send_invalidations(node);
            for command in commands {
                execute(node, term, command);
            }
            fleet_role::advance(node, term);
        }
        let pause = pause_after(began.elapsed(), node.settings.cpu_share);
        let least = pause.saturating_sub(last.elapsed());
        if !least.is_zero() {
            sleep(least).await;
        }
        last = Instant::now();
        let _ = timeout(Duration::from_millis(100), node.wake.notified()).await;
    }
}

pub(super) fn with_scheduler(
    node: &Rc<Node>,
    term: Term,
    f: impl FnOnce(&mut Scheduler, Timestamp),
) {
    let now = node.now();
    if let Some(s) = node.scheduler.borrow_mut().as_mut() {
        // Answers to a former term's requests mean nothing to this one's registry.
        if s.term == term {
            f(s, now);
        }
    }
    node.wake_leader();
}

fn execute(node: &Rc<Node>, term: Term, command: Command) {
    let node = node.clone();
    match command {
        Command::Log(event) => event_log::write(&event),
        Command::StepDown(why) => node.step_down(why),
        Command::VerifyLeadership => {
            if !node.checking_lead.replace(true) {
                tokio::task::spawn_local(async move {
                    if let Ok(found) =
                        node.key_value.get(RequestClass::Leadership, keys::LEADER).await
                    {
                        if found.is_none_or(|key_value| key_value.revision != term.into()) {
                            node.step_down("the leader key is not this term's any more");
                        }
                    }
                    sleep(Duration::from_millis(500)).await;
                    node.checking_lead.set(false);
                });
            }
        }
        Command::Commit { id, transaction } => {
            tokio::task::spawn_local(async move {
                let outcome = node.key_value.commit(RequestClass::Dispatch, &transaction).await;
                with_scheduler(&node, term, |s, now| s.transaction_answered(now, id, outcome));
            });
        }
        Command::Read { id, key } => {
            tokio::task::spawn_local(async move {
                let answer = match node.key_value.get(RequestClass::Dispatch, &key).await {
                    Ok(Some(key_value)) => Some((key_value.value, key_value.revision)),
                    Ok(None) => Some((serde_json::Value::Null, Revision::NONE)),
                    Err(_) => None,
                };
                with_scheduler(&node, term, |s, now| s.read_answered(now, id, answer));
            });
        }
        Command::FindJobEnds { names } => {
            tokio::task::spawn_local(async move {
                let found = look_up_job_ends(&node, names).await;
                with_scheduler(&node, term, |s, now| s.job_ends_found(now, &found));
            });
        }
        Command::SendToWorker { machine, address, token, agent_epoch, calls } => {
            tokio::task::spawn_local(async move {
                let outcome =
                    worker_api::send_commands(&node.client, &address, token, agent_epoch, &calls)
                        .await;
                with_scheduler(&node, term, |s, now| s.message_answered(now, machine, outcome));
            });
        }
        Command::ScaleOut { kind, zone, spot, count } => {
            let n = node.requests.get() + 1;
            node.requests.set(n);
            // Term, incarnation and counter: a name that no other node or time ever uses.
            let request = format!("{term}-{}-{n}", node.election_nonce);
            let scale_out = ScaleOutRequest { request, kind, zone, spot, count };
            if !fleet_role::scale_out(&node, &scale_out) {
                tokio::task::spawn_local(scale_out_unfenced(node, term, scale_out));
            }
        }
        Command::ScaleIn { machines } => {
            if !fleet_role::terminate(&node, &machines) {
                tokio::task::spawn_local(scale_in_unfenced(node, term, machines));
            }
        }
    }
}

/// Rents without a record, as all versions did before there were fenced duties.
async fn scale_out_unfenced(node: Rc<Node>, term: Term, scale_out: ScaleOutRequest) {
    let answer = match node.cloud.scale_out(&scale_out, &|| true).await {
        Ok(names) => Ok(names),
        Err(CloudError::NoCapacity { .. }) => Ok(Vec::new()),
        Err(
            CloudError::Rejected { .. }
            | CloudError::NotSent { .. }
            | CloudError::Indeterminate { .. },
        ) => Err(()),
    };
    with_scheduler(&node, term, |s, now| {
        s.scale_out_answered(
            now,
            &scale_out.kind,
            &scale_out.zone,
            scale_out.spot,
            scale_out.count,
            answer,
        );
    });
}

async fn scale_in_unfenced(node: Rc<Node>, term: Term, machines: Vec<String>) {
    let gone = node.cloud.terminate(&machines, &|| true).await.is_ok();
    with_scheduler(&node, term, |s, now| s.scale_in_answered(now, &machines, gone));
}

#[cfg(test)]
mod tests;
