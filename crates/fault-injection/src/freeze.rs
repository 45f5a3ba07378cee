//! Stops a controller's process for longer than its lease, at random or at a chosen point of an action.

use std::sync::{Arc, Mutex, PoisonError};
use std::time::Duration;

use nix::sys::signal::{kill, Signal};
use nix::unistd::Pid;

use crate::fake_key_value_service::FakeKeyValueService;

/// Where in an action a holder can be frozen.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Point {
    /// Its write of an intent has arrived; it is carried out once the holder has been replaced.
    IntentArrived,
    /// Its intent is stored; the answer waits for it.
    IntentStored,
    /// Its request has arrived at the cloud; it is carried out once the holder has been replaced.
    RequestArrived,
    /// Its request was carried out; the answer waits for it.
    RequestDone,
}

/// The points, to aim at in turn.
pub const POINTS: [Point; 4] =
    [Point::IntentArrived, Point::IntentStored, Point::RequestArrived, Point::RequestDone];

/// The processes, and the point at which the next freeze is due.
pub struct Freezer {
    processes: Mutex<Vec<(String, Pid)>>,
    armed: Mutex<Option<(Point, Duration)>>,
    state: Arc<FakeKeyValueService>,
}

impl Freezer {
    /// Freezes nobody until it is armed.
    pub fn new(state: Arc<FakeKeyValueService>) -> Freezer {
        Freezer { processes: Mutex::default(), armed: Mutex::default(), state }
    }

    /// The controllers, by their names and the ids of their processes.
    pub fn watch(&self, processes: Vec<(String, Pid)>) {
        *self.processes.lock().unwrap_or_else(PoisonError::into_inner) = processes;
    }

    /// The next holder that comes to that point is frozen for so long.
    pub fn arm(&self, point: Point, length: Duration) {
        *self.armed.lock().unwrap_or_else(PoisonError::into_inner) = Some((point, length));
    }

    /// Whether the freeze that was armed is still to come.
    pub fn is_armed(&self) -> bool {
        self.armed.lock().unwrap_or_else(PoisonError::into_inner).is_some()
    }

    /// Whether the freeze that was armed hasn't happened yet; it is called off then.
    pub fn disarm(&self) -> bool {
        self.armed.lock().unwrap_or_else(PoisonError::into_inner).take().is_some()
    }

    fn process(&self, node: usize) -> Option<(String, Pid)> {
        let processes = self.processes.lock().unwrap_or_else(PoisonError::into_inner);
        processes.get(node).cloned()
    }

    /// A request of the node has come to that point. Where the request waits for the freeze to end, so
    /// does this.
    pub async fn reached(&self, point: Point, node: usize) {
        let Some((name, pid)) = self.process(node) else { return };
        if self.state.holder().is_none_or(|holder| holder.node != name) {
            return;
        }
        let length = {
            let mut armed = self.armed.lock().unwrap_or_else(PoisonError::into_inner);
            match armed.take_if(|(at, _)| *at == point) {
                Some((_, length)) => length,
                None => return,
            }
        };
        let frozen = freeze(pid, length);
        if matches!(point, Point::IntentArrived | Point::RequestArrived) {
            let _ = frozen.await;
        }
    }

    /// Freezes whoever leads now, and waits for the end of it. Whether anybody did.
    pub async fn freeze_holder(&self, length: Duration) -> bool {
        let Some(holder) = self.state.holder() else { return false };
        let pid = {
            let processes = self.processes.lock().unwrap_or_else(PoisonError::into_inner);
            processes.iter().find(|(name, _)| *name == holder.node).map(|(_, pid)| *pid)
        };
        let Some(pid) = pid else { return false };
        freeze(pid, length).await.is_ok()
    }
}

/// Stops the process at once and lets it go on after a while.
fn freeze(pid: Pid, length: Duration) -> tokio::task::JoinHandle<()> {
    let _ = kill(pid, Signal::SIGSTOP);
    tokio::spawn(async move {
        tokio::time::sleep(length).await;
        let _ = kill(pid, Signal::SIGCONT);
    })
}
