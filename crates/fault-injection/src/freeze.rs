//! Freezes a controller's process with `SIGSTOP` for longer than its lease, either at any time or
//! at a chosen point of an action.

use std::sync::{Arc, Mutex, PoisonError};
use std::time::Duration;

use nix::sys::signal::{kill, Signal};
use nix::unistd::Pid;

use crate::fake_key_value_service::FakeKeyValueService;

/// Point of a cloud action at which the leader can be frozen.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum FreezePoint {
    /// The write of the intent has arrived at the key-value service and is executed after the
    /// freeze, when the leader has been replaced.
    IntentArrived,
    /// The intent is stored, and the frozen leader receives the response only after the freeze.
    IntentStored,
    /// The request has arrived at the cloud and is executed after the freeze, when the leader has
    /// been replaced.
    RequestArrived,
    /// The cloud has executed the request, and the frozen leader receives the response only after
    /// the freeze.
    RequestDone,
}

/// All freeze points, in the order in which a scenario uses them.
pub const FREEZE_POINTS: [FreezePoint; 4] = [
    FreezePoint::IntentArrived,
    FreezePoint::IntentStored,
    FreezePoint::RequestArrived,
    FreezePoint::RequestDone,
];

/// Freezes controller processes. It can be armed to freeze the leader at a point of its next
/// action; the fakes report every point that a request reaches.
pub struct Freezer {
    processes: Mutex<Vec<(String, Pid)>>,
    armed: Mutex<Option<(FreezePoint, Duration)>>,
    store: Arc<FakeKeyValueService>,
}

impl Freezer {
    /// Creates a freezer that is not armed and knows no processes.
    pub fn new(store: Arc<FakeKeyValueService>) -> Freezer {
        Freezer { processes: Mutex::default(), armed: Mutex::default(), store }
    }

    /// Sets the node names and process ids of the controllers, replacing all earlier ones.
    pub fn set_processes(&self, processes: Vec<(String, Pid)>) {
        *self.processes.lock().unwrap_or_else(PoisonError::into_inner) = processes;
    }

    /// Arms the freezer: the next leader to reach the point is frozen for `duration`.
    pub fn arm(&self, point: FreezePoint, duration: Duration) {
        *self.armed.lock().unwrap_or_else(PoisonError::into_inner) = Some((point, duration));
    }

    /// Returns whether the armed freeze has not started yet.
    pub fn is_armed(&self) -> bool {
        self.armed.lock().unwrap_or_else(PoisonError::into_inner).is_some()
    }

    /// Cancels the armed freeze. Returns whether it had not started yet.
    pub fn disarm(&self) -> bool {
        self.armed.lock().unwrap_or_else(PoisonError::into_inner).take().is_some()
    }

    fn process_of(&self, node: usize) -> Option<(String, Pid)> {
        let processes = self.processes.lock().unwrap_or_else(PoisonError::into_inner);
        processes.get(node).cloned()
    }

    /// Called by the fakes when a request of the node reaches the point. If the freezer is armed
    /// for it and the node leads, the node is frozen. At points before the request is executed, the
    /// call returns only when the freeze is over.
    pub async fn reached(&self, point: FreezePoint, node: usize) {
        let Some((name, pid)) = self.process_of(node) else { return };
        if self.store.leader().is_none_or(|leader| leader.node != name) {
            return;
        }
        let duration = {
            let mut armed = self.armed.lock().unwrap_or_else(PoisonError::into_inner);
            match armed.take_if(|(armed_point, _)| *armed_point == point) {
                Some((_, duration)) => duration,
                None => return,
            }
        };
        let thaw = freeze(pid, duration);
        if matches!(point, FreezePoint::IntentArrived | FreezePoint::RequestArrived) {
            let _ = thaw.await;
        }
    }

    /// Freezes the current leader and waits until the freeze is over. Returns `false` if there is
    /// no leader or its process is not known.
    pub async fn freeze_leader(&self, duration: Duration) -> bool {
        let Some(leader) = self.store.leader() else { return false };
        let pid = {
            let processes = self.processes.lock().unwrap_or_else(PoisonError::into_inner);
            processes.iter().find(|(name, _)| *name == leader.node).map(|(_, pid)| *pid)
        };
        let Some(pid) = pid else { return false };
        freeze(pid, duration).await.is_ok()
    }
}

/// Stops the process immediately and resumes it in the background after `duration`.
fn freeze(pid: Pid, duration: Duration) -> tokio::task::JoinHandle<()> {
    let _ = kill(pid, Signal::SIGSTOP);
    tokio::spawn(async move {
        tokio::time::sleep(duration).await;
        let _ = kill(pid, Signal::SIGCONT);
    })
}
