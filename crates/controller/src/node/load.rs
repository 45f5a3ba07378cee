//! Load figures of a node: open connections, redirected heartbeats and submission latency.

use std::cell::{Cell, RefCell};
use std::rc::Rc;

use hdrhistogram::{CreationError, Histogram};
use tokio::time::{sleep, Duration};
use tracing::{info, warn};

use super::Node;

/// Interval at which the load figures are logged.
const LOG_INTERVAL: Duration = Duration::from_secs(60);
/// Highest submission latency that the histogram tells apart, in milliseconds; longer ones count as
/// this.
const MAX_SUBMISSION_MS: u64 = 60_000;
const SUBMISSION_MS_SIGNIFICANT_DIGITS: u8 = 2;

/// Load figures of one node, updated by the HTTP server and the user and worker APIs.
pub(super) struct Load {
    /// Number of open connections from users and workers.
    open_connections: Rc<Cell<u32>>,
    /// Number of worker connections closed to keep sockets free for users, since the figure was
    /// last logged.
    connections_closed: Cell<u32>,
    /// Number of heartbeats answered with a redirect since the last reset, a few seconds ago at
    /// most.
    redirect_count: Cell<u16>,
    submission_ms: RefCell<Histogram<u64>>,
}

impl Load {
    /// Creates the figures of a node that has served no requests yet.
    ///
    /// # Errors
    /// Returns an error if the latency histogram cannot be created.
    pub(super) fn new() -> Result<Load, CreationError> {
        Ok(Load {
            open_connections: Rc::default(),
            connections_closed: Cell::default(),
            redirect_count: Cell::default(),
            submission_ms: RefCell::new(Histogram::new_with_bounds(
                1,
                MAX_SUBMISSION_MS,
                SUBMISSION_MS_SIGNIFICANT_DIGITS,
            )?),
        })
    }

    /// Returns the number of open connections, which the HTTP server keeps up to date.
    pub(super) fn open_connections(&self) -> &Rc<Cell<u32>> {
        &self.open_connections
    }

    /// Counts a worker connection that is closed to keep sockets free for users.
    pub(super) fn count_closed_connection(&self) {
        self.connections_closed.set(self.connections_closed.get() + 1);
    }

    /// Counts a heartbeat that was answered with a redirect; peers learn the count from this node's
    /// status.
    pub(super) fn count_redirect(&self) {
        self.redirect_count.set(self.redirect_count.get().saturating_add(1));
    }

    /// Returns the number of heartbeats answered with a redirect since the last reset.
    pub(super) fn redirect_count(&self) -> u16 {
        self.redirect_count.get()
    }

    /// Resets the number of redirected heartbeats to zero.
    pub(super) fn reset_redirect_count(&self) {
        self.redirect_count.set(0);
    }

    /// Records the latency of an answered submission, in milliseconds.
    pub(super) fn record_submission(&self, ms: u64) {
        self.submission_ms.borrow_mut().saturating_record(ms);
    }

    fn log(&self) {
        let closed = self.connections_closed.replace(0);
        if closed > 0 {
            let open = self.open_connections.get();
            warn!(
                heartbeats = closed,
                open, "worker connections closed to keep sockets free for users"
            );
        }
        let mut submission_ms = self.submission_ms.borrow_mut();
        if !submission_ms.is_empty() {
            info!(
                count = submission_ms.len(),
                p50_ms = submission_ms.value_at_quantile(0.5),
                p99_ms = submission_ms.value_at_quantile(0.99),
                "submission latency over the last minute"
            );
            submission_ms.reset();
        }
    }
}

/// Logs the load figures every `LOG_INTERVAL` until the process ends.
pub(super) async fn log_periodically(node: Rc<Node>) {
    loop {
        sleep(LOG_INTERVAL).await;
        node.load.log();
    }
}
