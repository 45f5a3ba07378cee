//! Why a job with waiting tasks gets no machine now, and until when that reason counts.
//!
//! Each reason is a prediction that the job gets capacity without a machine being requested for it.
//! A prediction is given up once its time has passed and none of the job's tasks was placed
//! meanwhile; then a machine is requested whatever else speaks against it.

use std::fmt;

use crate::time::{TimeDelta, Timestamp};
use crate::tunables::Tunables;

/// Multiple of the boot time within which a running task has to end for its capacity to be waited
/// for.
pub(crate) const ENDING_SOON_BOOTS: f64 = 1.2;
/// Multiple of the predicted time after which capacity that was to become free is given up, since
/// run times are known only roughly.
const PREDICTION_MARGIN: f64 = 2.0;
/// Fraction of a boot that has to be left until the job must start for an ordinary machine to still
/// help it.
const MIN_BOOT_FRACTION: f64 = 0.5;
/// Time for which a job waits before the reason is logged.
const LOGGED_AFTER: TimeDelta = TimeDelta::from_secs(10);

/// Why no machine is requested for a job's waiting tasks.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub enum WaitReason {
    /// Machines that are up have room for them.
    RoomOnMachines,
    /// Machines that are booting or requested will have room for them.
    MachinesIncoming,
    /// Running work will end before a machine could boot.
    RunningWorkEndsSoon,
    /// The job has time to spare, and work runs on machines that it may use.
    TimeToSpare,
    /// Work of lower priority can be stopped for them.
    PreemptionSuffices,
    /// The job may use spot machines, and ordinary ones cost too much for it at present.
    SpotPreferred,
    /// The cloud had no machine that the job may use when it was last asked.
    NoOffer,
}

impl fmt::Display for WaitReason {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(match self {
            WaitReason::RoomOnMachines => "machines that are up have room",
            WaitReason::MachinesIncoming => "machines are booting or requested",
            WaitReason::RunningWorkEndsSoon => "running work ends before a machine could boot",
            WaitReason::TimeToSpare => "the job has time to spare",
            WaitReason::PreemptionSuffices => "work of lower priority can be stopped",
            WaitReason::SpotPreferred => "ordinary machines cost too much for it at present",
            WaitReason::NoOffer => "the cloud had no machine that it may use",
        })
    }
}

/// What decides how long a job waits for capacity.
#[derive(Debug, Clone, Copy)]
pub(crate) struct WaitingJob {
    /// Since when the job has waiting tasks and none of them was placed.
    pub(crate) since: Timestamp,
    /// When the job became ready to start.
    pub(crate) ready_at: Timestamp,
    /// Shortest boot time among the machine types that it may use, in seconds.
    pub(crate) boot_s: f64,
    /// Seconds until the job has to start to meet its objectives; see
    /// [`QueueKey`](crate::queue::order::QueueKey).
    pub(crate) slack: f64,
    /// The same without the start objective.
    pub(crate) finish_slack: f64,
}

impl WaitingJob {
    /// Returns whether the job has so much time to spare that it waits for running work, as long as
    /// there is any on machines that it may use.
    pub(crate) fn has_time_to_spare(&self, now: Timestamp, tunables: &Tunables) -> bool {
        self.slack > tunables.rent_slack.as_secs_f64() + self.boot_s
            && now < self.waits_until(now, WaitReason::TimeToSpare, tunables)
    }

    /// Returns whether a job that may use spot machines is worth an expensive ordinary one: it has
    /// to start soon, and not so soon that no boot could help it.
    pub(crate) fn is_worth_ordinary_machine(&self, tunables: &Tunables) -> bool {
        self.finish_slack < tunables.ordinary_slack.as_secs_f64()
            && self.finish_slack > MIN_BOOT_FRACTION * self.boot_s
    }

    /// Returns until when the reason counts if none of the job's tasks is placed meanwhile.
    pub(crate) fn waits_until(
        &self,
        now: Timestamp,
        reason: WaitReason,
        tunables: &Tunables,
    ) -> Timestamp {
        let boots = |count: f64| TimeDelta::from_secs_f64(self.boot_s * count);
        match reason {
            WaitReason::TimeToSpare => self.ready_at + tunables.rent_slack,
            WaitReason::RunningWorkEndsSoon => {
                self.since + boots(ENDING_SOON_BOOTS * PREDICTION_MARGIN)
            }
            WaitReason::MachinesIncoming => {
                self.since + boots(tunables.boot_patience).max(tunables.rent_slack)
            }
            WaitReason::SpotPreferred => {
                // The time at which an ordinary machine becomes worth its price, if there is one.
                let remaining_s = self.finish_slack - tunables.ordinary_slack.as_secs_f64();
                let remaining_s = if remaining_s.is_finite() { remaining_s.max(0.0) } else { 0.0 };
                (self.since + tunables.rent_slack).max(now + TimeDelta::from_secs_f64(remaining_s))
            }
            WaitReason::RoomOnMachines | WaitReason::PreemptionSuffices | WaitReason::NoOffer => {
                self.since + tunables.rent_slack
            }
        }
    }
}

/// How long a job has been waiting for capacity, and for which reason.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub(crate) struct CapacityWait {
    /// Since when the job has waiting tasks that its team's limit allows.
    demand_since: Option<Timestamp>,
    /// When a task of the job was last placed.
    last_placed: Timestamp,
    /// The reason that was logged last, since a task was last placed.
    logged: Option<WaitReason>,
}

impl CapacityWait {
    /// Returns since when the job has waiting tasks and none of them was placed.
    pub(crate) fn since(&self, now: Timestamp) -> Timestamp {
        self.demand_since.unwrap_or(now).max(self.last_placed)
    }

    /// Records that a task was placed.
    pub(crate) fn task_placed(&mut self, now: Timestamp) {
        self.last_placed = now;
        self.logged = None;
    }

    /// Records that no task waits that could be placed.
    pub(crate) fn demand_met(&mut self) {
        self.demand_since = None;
        self.logged = None;
    }

    /// Records that tasks wait for the reason. Returns whether it is to be logged: each reason once,
    /// and none that ends soon by itself.
    pub(crate) fn waits(&mut self, now: Timestamp, reason: WaitReason) -> bool {
        self.demand_since.get_or_insert(now);
        let is_new = self.logged != Some(reason) && now.since(self.since(now)) >= LOGGED_AFTER;
        if is_new {
            self.logged = Some(reason);
        }
        is_new
    }
}

#[cfg(test)]
mod tests;
