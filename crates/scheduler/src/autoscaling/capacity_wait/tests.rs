use super::*;

const START: Timestamp = Timestamp(1 << 40);
/// A day without an effect on any reason.
const LONG_S: f64 = 1.0e5;

fn seconds(s: u64) -> TimeDelta {
    TimeDelta::from_secs(s)
}

/// A job that has been waiting since `START`, on machines that boot in 35 s.
fn waiting(slack: f64, finish_slack: f64) -> WaitingJob {
    WaitingJob { since: START, ready_at: START, boot_s: 35.0, slack, finish_slack }
}

/// Guards against jobs that wait without end because each assessment finds the same reason anew
/// (review/6 and review/7 of the second review).
#[test]
fn every_reason_to_wait_ends() {
    let tunables = Tunables::default();
    let (reasons, unlimited) = (
        [
            (WaitReason::RoomOnMachines, 60),
            (WaitReason::MachinesIncoming, 105),
            (WaitReason::RunningWorkEndsSoon, 84),
            (WaitReason::TimeToSpare, 60),
            (WaitReason::PreemptionSuffices, 60),
            (WaitReason::SpotPreferred, 60),
            (WaitReason::NoOffer, 60),
        ],
        f64::INFINITY,
    );
    // Without a deadline, with a missed one, and with one so near that no boot helps.
    for finish_slack in [unlimited, -1.0e9, 10.0] {
        let job = waiting(finish_slack, finish_slack);
        for (reason, ends_after_s) in reasons {
            let until = job.waits_until(START, reason, &tunables);
            assert_eq!(until.since(START), seconds(ends_after_s), "{reason:?}, {finish_slack}");
            let later = START + seconds(3_600);
            assert!(job.waits_until(later, reason, &tunables) <= later, "{reason:?}");
        }
    }
}

#[test]
fn ordinary_machine_is_requested_when_the_deadline_makes_it_worth_its_price() {
    let tunables = Tunables::default();
    for (finish_slack, is_worth) in [(LONG_S, false), (81.0, false), (79.0, true), (17.0, false)] {
        let job = waiting(finish_slack, finish_slack);
        assert_eq!(job.is_worth_ordinary_machine(&tunables), is_worth, "{finish_slack}");
    }
    let until = waiting(580.0, 580.0).waits_until(START, WaitReason::SpotPreferred, &tunables);
    assert_eq!(until.since(START), seconds(500));
}

#[test]
fn job_with_time_to_spare_waits_for_running_work_for_a_limited_time() {
    let tunables = Tunables::default();
    assert!(waiting(LONG_S, LONG_S).has_time_to_spare(START, &tunables));
    assert!(!waiting(90.0, LONG_S).has_time_to_spare(START, &tunables));
    assert!(!waiting(LONG_S, LONG_S).has_time_to_spare(START + seconds(60), &tunables));
}

#[test]
fn placed_task_renews_the_wait_and_each_reason_is_logged_once() {
    let mut wait = CapacityWait::default();
    assert!(!wait.waits(START, WaitReason::SpotPreferred), "it may end by itself");
    let later = START + seconds(20);
    assert!(wait.waits(later, WaitReason::SpotPreferred));
    assert!(!wait.waits(later, WaitReason::SpotPreferred));
    assert!(wait.waits(later, WaitReason::NoOffer));
    assert_eq!(wait.since(later), START);
    wait.task_placed(later);
    assert_eq!(wait.since(later + seconds(1)), later);
    wait.demand_met();
    let next = later + seconds(500);
    assert!(!wait.waits(next, WaitReason::NoOffer));
    assert_eq!(wait.since(next), next);
}
