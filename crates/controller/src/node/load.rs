//! How busy a node is: its connections, the heartbeats that it redirected, and how long submissions took.

use std::cell::{Cell, RefCell};
use std::rc::Rc;

use hdrhistogram::{CreationError, Histogram};
use tokio::time::{sleep, Duration};
use tracing::{info, warn};

use super::Node;

/// How often the figures are logged.
const LOG_INTERVAL: Duration = Duration::from_secs(60);
/// Longest time of a submission that is told from longer ones, in milliseconds.
const MAX_SUBMISSION_MS: u64 = 60_000;
const SUBMISSION_MS_SIGNIFICANT_DIGITS: u8 = 2;

/// One node's load.
pub(super) struct Load {
    /// Connections from users and workers.
    open_connections: Rc<Cell<u32>>,
    /// Workers' connections that were closed to leave room for users, since they were logged last.
    connections_closed: Cell<u32>,
    /// Heartbeats answered with a redirect in the last seconds.
    redirect_count: Cell<u16>,
    submission_ms: RefCell<Histogram<u64>>,
}

impl Load {
    /// Of a node that has served nothing yet.
    ///
    /// # Errors
    /// If the histogram can't be made.
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

    /// The count of open connections, which the server keeps.
    pub(super) fn open_connections(&self) -> &Rc<Cell<u32>> {
        &self.open_connections
    }

    /// A worker's connection is closed to leave room for users.
    pub(super) fn count_closed_connection(&self) {
        self.connections_closed.set(self.connections_closed.get() + 1);
    }

    /// A heartbeat was answered with a redirect.
    pub(super) fn count_redirect(&self) {
        self.redirect_count.set(self.redirect_count.get().saturating_add(1));
    }

    /// Heartbeats answered with a redirect since the count was reset.
    pub(super) fn redirect_count(&self) -> u16 {
        self.redirect_count.get()
    }

    /// Begins to count redirects anew.
    pub(super) fn reset_redirect_count(&self) {
        self.redirect_count.set(0);
    }

    /// A submission was answered after that many milliseconds.
    pub(super) fn record_submission(&self, ms: u64) {
        self.submission_ms.borrow_mut().saturating_record(ms);
    }

    fn log(&self) {
        let closed = self.connections_closed.replace(0);
        if closed > 0 {
            let open = self.open_connections.get();
            warn!(heartbeats = closed, open, "worker connections closed: too many for the sockets");
        }
        let mut submission_ms = self.submission_ms.borrow_mut();
        if !submission_ms.is_empty() {
            info!(
                count = submission_ms.len(),
                p50_ms = submission_ms.value_at_quantile(0.5),
                p99_ms = submission_ms.value_at_quantile(0.99),
                "submissions of the last minute"
            );
            submission_ms.reset();
        }
    }
}

/// Logs the figures for as long as the node lives.
pub(super) async fn log_periodically(node: Rc<Node>) {
    loop {
        sleep(LOG_INTERVAL).await;
        node.load.log();
    }
}
