//! Loads all records of earlier terms before the scheduler makes any decision.

use std::rc::Rc;
use walnutlug_scheduler::leadership::fencing_token::Term;
use walnutlug_scheduler::storage::revision::Revision;

use tokio::time::{sleep, Duration, Instant};
use tracing::{info, warn};
use walnutlug_scheduler::leadership::election::ElectionEvent;
use walnutlug_scheduler::protocol::key_value::KeyValue;
use walnutlug_scheduler::scheduler::Scheduler;
use walnutlug_scheduler::storage::keys;
use walnutlug_scheduler::storage::loader::ChunkLoader;
use walnutlug_scheduler::time::Timestamp;

use super::{install_scheduler, job_ends, machine_list, reconciling, watches};
use crate::key_value_client::{KeyValueError, PageReader, RequestClass, StoreRequest};
use crate::node::{fleet_role, Node};
use crate::peers::MachineAddress;

/// Pause before a failed read is repeated.
const RETRY_PAUSE: Duration = Duration::from_millis(200);
/// Number of times that a failed read of a page is repeated.
const MAX_RETRIES: u32 = 21;

/// Loads the records, puts the scheduler into use and starts the tasks that keep it up to date.
///
/// # Errors
/// Returns an error if the records cannot be read or the term has ended.
pub(super) async fn load(node: &Rc<Node>, term: Term) -> Result<(), KeyValueError> {
    let (load_start, load_requested) = (Instant::now(), node.now());
    node.cancellations.take_buffered_ends();
    if node.machine_types.borrow().is_empty() {
        node.read_types().await;
    }
    let types = node.machine_types.borrow().clone();
    let (site, tunables) = (node.site.clone(), node.tunables.clone());
    let mut scheduler = Scheduler::new(site, tunables, term, types, node.now());
    let records = load_jobs(node, &mut scheduler).await?;
    remove_ended_jobs(node, &mut scheduler, records.read_at).await?;
    fleet_role::take_over(node, term, &mut scheduler).await?;
    for MachineAddress { machine, address } in node.cluster_view.fresh_addresses() {
        scheduler.cluster.hint_address(records.read_at, &machine, &address.to_string());
    }
    log_loaded(&scheduler, load_start);
    install_scheduler(node, scheduler);
    node.cancellations.job_ends_read(load_requested);
    if !node.leadership.borrow_mut().step(node.now(), ElectionEvent::Loaded { term }) {
        let request = StoreRequest::Get { key: keys::LEADER.to_owned() };
        return Err(KeyValueError::Expired { request });
    }
    // Tells the peers at once, so that they continue to answer workers in this term.
    node.broadcast_status();
    start_tasks(node, term, records.store_revision);
    Ok(())
}

/// Starts the tasks that run beside the leader loop until the term ends.
fn start_tasks(node: &Rc<Node>, term: Term, store_revision: Revision) {
    for prefix in [keys::DESCRIPTIONS, keys::END] {
        tokio::task::spawn_local(watches::run(node.clone(), term, prefix, store_revision));
    }
    tokio::task::spawn_local(machine_list::run(node.clone(), term));
    tokio::task::spawn_local(reconciling::run(node.clone(), term));
}

/// When the records were read, and at which revision of the store.
struct LoadedRecords {
    read_at: Timestamp,
    /// The store revision from which the watches continue.
    store_revision: Revision,
}

/// Adds the stored jobs and their task runs to the scheduler.
async fn load_jobs(
    node: &Rc<Node>,
    scheduler: &mut Scheduler,
) -> Result<LoadedRecords, KeyValueError> {
    let mut descriptions = node.key_value.list(RequestClass::Dispatch, keys::DESCRIPTIONS);
    while let Some(page) = next_page_until_answered(&mut descriptions).await? {
        let (now, wall_clock_us) = (node.now(), node.wall_clock_us());
        for description in &page {
            if let Some(job) = keys::described_job(&description.key) {
                // The scheduler logs an unreadable description and skips its job.
                let _ = scheduler.add_job(now, job, &description.value, wall_clock_us);
            }
        }
    }
    let mut runs = node.key_value.list(RequestClass::Dispatch, keys::RUN);
    let mut loader = ChunkLoader::new(node.now());
    while let Some(page) = next_page_until_answered(&mut runs).await? {
        for key in scheduler.load_page(&mut loader, &page) {
            // Descriptions are deleted last, so a run without one means that the records were
            // damaged from outside. The scheduler does not know its tasks and stops them when a
            // worker reports them.
            warn!(%key, "stored task run ignored: its job does not exist");
        }
    }
    scheduler.chunks_loaded(loader);
    Ok(LoadedRecords { read_at: node.now(), store_revision: descriptions.store_revision() })
}

/// Removes the jobs that have ended from the scheduler.
async fn remove_ended_jobs(
    node: &Rc<Node>,
    scheduler: &mut Scheduler,
    now: Timestamp,
) -> Result<(), KeyValueError> {
    let jobs: Vec<String> = scheduler.cluster.jobs_by_name.keys().cloned().collect();
    loop {
        match job_ends::find_ended(node, jobs.clone()).await {
            Ok(ended) => {
                for job in &ended {
                    scheduler.mark_job_ended(now, job);
                }
                return Ok(());
            }
            Err(error @ KeyValueError::InvalidResponse { .. }) => return Err(error),
            Err(_) => sleep(RETRY_PAUSE).await,
        }
    }
}

fn log_loaded(scheduler: &Scheduler, load_start: Instant) {
    let placed: usize = scheduler.cluster.machines.iter().map(|machine| machine.tasks.len()).sum();
    info!(
        term = %scheduler.term,
        jobs = scheduler.cluster.jobs_by_name.len(),
        placed,
        ms = load_start.elapsed().as_millis() as u64,
        "records loaded; now leading"
    );
}

/// Reads the next page of a listing, and retries for some seconds.
///
/// # Errors
/// Returns an error if the key-value store does not respond within that time.
pub(in crate::node) async fn next_page_until_answered(
    pages: &mut PageReader<'_>,
) -> Result<Option<Vec<KeyValue>>, KeyValueError> {
    for _ in 0..MAX_RETRIES {
        if let Ok(page) = pages.next_page().await {
            return Ok(page);
        }
        sleep(RETRY_PAUSE).await;
    }
    pages.next_page().await
}
