//! Leases, the balance and stored records, each by itself.

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

fn held() -> RoleLease {
    let mut lease = RoleLease::new(TTL);
    assert!(lease.step(LeaseInput::Granted { sent: START }));
    assert!(lease.step(LeaseInput::Won { revision: Revision(7) }));
    lease
}

#[test]
fn time_left_counts_from_the_sending_and_less_drift() {
    let mut lease = held();
    let late = START + TimeDelta::from_secs(4);
    assert!(lease.permit(late).is_some());
    // Renewed at 3 s, answered at 9 s.
    assert!(lease.step(LeaseInput::Renewed { sent: START + TimeDelta::from_secs(3) }));
    let end = START + TimeDelta::from_secs(3) + safe_lease_time(TTL);
    assert!(end < START + TimeDelta::from_secs(13), "clocks drift");
    assert!(lease.permit(end - TimeDelta::from_millis(1)).is_some());
    assert!(lease.permit(end).is_none(), "it stops by itself");
    // A renewal that was overtaken by a newer one takes nothing back.
    assert!(lease.step(LeaseInput::Renewed { sent: START + TimeDelta::from_secs(1) }));
    assert_eq!(lease.held_until(), Some(end));
    // Past its end it may still be held: a renewal that is taken shows it.
    assert!(lease.step(LeaseInput::Renewed { sent: end + TimeDelta::from_secs(2) }));
    assert!(lease.permit(end + TimeDelta::from_secs(3)).is_some());
    assert!(lease.step(LeaseInput::Ended));
    assert!(lease.permit(START).is_none());
    assert!(!lease.step(LeaseInput::Renewed { sent: end }), "what ended can't be renewed");
}

#[test]
fn an_epoch_that_went_back_or_is_at_its_limit_stops_the_duty() {
    for (revision, error) in [
        (5, EpochError::WentBack { found: 5, known: 7 }),
        (7, EpochError::WentBack { found: 7, known: 7 }),
        (0, EpochError::Zero),
        (Epoch::LIMIT + 1, EpochError::AtLimit(Epoch::LIMIT + 1)),
    ] {
        let mut lease = RoleLease::new(TTL);
        lease.observe(Epoch::try_from(Revision(7)).expect("an epoch"));
        lease.step(LeaseInput::Granted { sent: START });
        assert!(lease.step(LeaseInput::Won { revision: Revision(revision) }));
        assert_eq!(lease.state(), LeaseState::Stopped { error });
        assert!(lease.permit(START).is_none());
        assert!(!lease.step(LeaseInput::Granted { sent: START }), "not again in this life");
    }
}

#[test]
fn a_duty_moves_away_from_the_leader_only_after_a_while() {
    let node = |leads| NodeLoad { leads, store_reachable: true };
    let cut_off = NodeLoad { leads: false, store_reachable: false };
    let mut balancer = RoleBalancer::default();
    assert!(balancer.should_take(START, node(false)));
    let mut balancer = RoleBalancer::default();
    assert!(!balancer.should_take(START, node(true)), "others first");
    assert!(balancer.should_take(START + TimeDelta::from_secs(4), node(true)), "somebody has to");
    let at = |s| START + TimeDelta::from_secs(s);
    assert!(!balancer.should_hand_over(at(10), node(true), &[node(false)]));
    assert!(!balancer.should_hand_over(at(20), node(true), &[cut_off]), "nobody better there");
    assert!(!balancer.should_hand_over(at(45), node(true), &[node(false)]), "counted anew");
    assert!(balancer.should_hand_over(at(76), node(true), &[node(false)]));
    assert!(!balancer.should_hand_over(at(200), node(false), &[node(false)]), "no back and forth");
}

#[test]
fn stored_intents_that_cannot_be_acted_on_are_named() {
    let epoch = Epoch::try_from(Revision(9)).expect("an epoch");
    let key = intent_key(LeasedRole::Fleet, epoch, 1);
    let read = |key: &str, value| {
        StoredIntent::read(&KeyValue { key: key.to_owned(), value, revision: Revision(1) })
            .map(|i| i.epoch)
    };
    let scale_out =
        json!({"rent": {"request": "r", "kind": "t8", "zone": "a", "spot": true, "count": 2}});
    let good =
        json!({"format": 1, "actions": [scale_out, {"return": [{"name": "n-1", "tasks": false}]}]});
    assert_eq!(read(&key, good.clone()), Ok(epoch));
    let newer = read(&key, json!({"format": 2, "plans": []}));
    assert!(matches!(newer, Err(RecordError::NewerFormat { found: 2, .. })), "{newer:?}");
    let unknown = read("intent/tea/00000000000000000009/000001", good.clone());
    assert!(matches!(unknown, Err(RecordError::UnknownRole { .. })), "{unknown:?}");
    let bad_epoch = read("intent/fleet/0/000001", good.clone());
    assert!(matches!(bad_epoch, Err(RecordError::Epoch { .. })), "{bad_epoch:?}");
    for (key, value) in [
        (key.as_str(), json!(null)),
        (key.as_str(), json!({"actions": []})),
        (key.as_str(), json!({"format": 0, "actions": []})),
        (key.as_str(), json!({"format": 1, "actions": [{"sell": 1}]})),
        ("intent/fleet/later/000001", good),
    ] {
        let found = read(key, value.clone());
        assert!(matches!(found, Err(RecordError::Unreadable { .. })), "{key} {value}: {found:?}");
    }
}
