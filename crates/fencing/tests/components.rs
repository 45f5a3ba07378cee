//! Unit tests of role leases, the role balancer and the parsing of stored records.

use serde_json::json;
use walnutlug_fencing::intent::{intent_key, StoredIntent};
use walnutlug_fencing::lease::{safe_lease_time, LeaseInput, LeaseState, RoleLease};
use walnutlug_fencing::leased_role::{Epoch, EpochError, LeasedRole, RecordError};
use walnutlug_fencing::role_balancer::{NodeLoad, RoleBalancer};
use walnutlug_scheduler::protocol::key_value::KeyValue;
use walnutlug_scheduler::storage::revision::Revision;
use walnutlug_scheduler::time::{TimeDelta, Timestamp};

const TTL: TimeDelta = TimeDelta::from_secs(10);
const START: Timestamp = Timestamp(1 << 40);

fn held_lease() -> RoleLease {
    let mut lease = RoleLease::new(TTL);
    assert!(lease.step(LeaseInput::Granted { sent: START }));
    assert!(lease.step(LeaseInput::Won { revision: Revision(7) }));
    lease
}

#[test]
fn lease_validity_counts_from_the_sending_of_a_renewal_minus_clock_drift() {
    let mut lease = held_lease();
    let before_renewal = START + TimeDelta::from_secs(4);
    assert!(lease.permit(before_renewal).is_some());
    // A renewal that was sent at 3 s and answered at 9 s.
    assert!(lease.step(LeaseInput::Renewed { sent: START + TimeDelta::from_secs(3) }));
    let end = START + TimeDelta::from_secs(3) + safe_lease_time(TTL);
    assert!(end < START + TimeDelta::from_secs(13), "clock drift is not subtracted");
    assert!(lease.permit(end - TimeDelta::from_millis(1)).is_some());
    assert!(lease.permit(end).is_none(), "permit after the lease may have expired");
    // The late answer to an older renewal does not shorten the lease.
    assert!(lease.step(LeaseInput::Renewed { sent: START + TimeDelta::from_secs(1) }));
    assert_eq!(lease.held_until(), Some(end));
    // The lease may still be held after `end`: a renewal that the store accepts proves it.
    assert!(lease.step(LeaseInput::Renewed { sent: end + TimeDelta::from_secs(2) }));
    assert!(lease.permit(end + TimeDelta::from_secs(3)).is_some());
    assert!(lease.step(LeaseInput::Ended));
    assert!(lease.permit(START).is_none());
    assert!(!lease.step(LeaseInput::Renewed { sent: end }), "a lease that has ended was renewed");
}

#[test]
fn role_lease_stops_on_an_epoch_that_is_zero_too_large_or_not_increasing() {
    for (revision, error) in [
        (5, EpochError::NotIncreasing { found: 5, known: 7 }),
        (7, EpochError::NotIncreasing { found: 7, known: 7 }),
        (0, EpochError::Zero),
        (Epoch::LIMIT + 1, EpochError::AboveLimit(Epoch::LIMIT + 1)),
    ] {
        let mut lease = RoleLease::new(TTL);
        lease.observe(Epoch::try_from(Revision(7)).expect("a valid epoch"));
        lease.step(LeaseInput::Granted { sent: START });
        assert!(lease.step(LeaseInput::Won { revision: Revision(revision) }));
        assert_eq!(lease.state(), LeaseState::Stopped { error });
        assert!(lease.permit(START).is_none());
        assert!(
            !lease.step(LeaseInput::Granted { sent: START }),
            "acquired again after it stopped"
        );
    }
}

#[test]
fn leader_acquires_late_and_hands_over_only_after_a_delay() {
    let node = |leads| NodeLoad { leads, store_reachable: true };
    let without_store = NodeLoad { leads: false, store_reachable: false };
    let mut balancer = RoleBalancer::default();
    assert!(balancer.should_take(START, node(false)));
    let mut balancer = RoleBalancer::default();
    assert!(
        !balancer.should_take(START, node(true)),
        "the leader did not leave the role to other nodes first"
    );
    assert!(
        balancer.should_take(START + TimeDelta::from_secs(4), node(true)),
        "the leader did not acquire a role that stayed vacant"
    );
    let at = |s| START + TimeDelta::from_secs(s);
    assert!(!balancer.should_hand_over(at(10), node(true), &[node(false)]));
    assert!(
        !balancer.should_hand_over(at(20), node(true), &[without_store]),
        "handed over to a node without the store"
    );
    assert!(
        !balancer.should_hand_over(at(45), node(true), &[node(false)]),
        "the delay did not start again"
    );
    assert!(balancer.should_hand_over(at(76), node(true), &[node(false)]));
    assert!(
        !balancer.should_hand_over(at(200), node(false), &[node(false)]),
        "a node that is not the leader handed the role back"
    );
}

#[test]
fn invalid_stored_intents_are_reported_by_kind_of_fault() {
    let epoch = Epoch::try_from(Revision(9)).expect("a valid epoch");
    let key = intent_key(LeasedRole::Fleet, epoch, 1);
    let read = |key: &str, value| {
        StoredIntent::read(&KeyValue { key: key.to_owned(), value, revision: Revision(1) })
            .map(|i| i.epoch)
    };
    let scale_out =
        json!({"rent": {"request": "r", "kind": "t8", "zone": "a", "spot": true, "count": 2}});
    let valid =
        json!({"format": 1, "actions": [scale_out, {"return": [{"name": "n-1", "tasks": false}]}]});
    assert_eq!(read(&key, valid.clone()), Ok(epoch));
    let newer = read(&key, json!({"format": 2, "plans": []}));
    assert!(matches!(newer, Err(RecordError::NewerFormat { found: 2, .. })), "{newer:?}");
    let unknown = read("intent/tea/00000000000000000009/000001", valid.clone());
    assert!(matches!(unknown, Err(RecordError::UnknownRole { .. })), "{unknown:?}");
    let bad_epoch = read("intent/fleet/0/000001", valid.clone());
    assert!(matches!(bad_epoch, Err(RecordError::Epoch { .. })), "{bad_epoch:?}");
    for (key, value) in [
        (key.as_str(), json!(null)),
        (key.as_str(), json!({"actions": []})),
        (key.as_str(), json!({"format": 0, "actions": []})),
        (key.as_str(), json!({"format": 1, "actions": [{"sell": 1}]})),
        ("intent/fleet/later/000001", valid),
    ] {
        let found = read(key, value.clone());
        assert!(matches!(found, Err(RecordError::Unreadable { .. })), "{key} {value}: {found:?}");
    }
}
