//! Tests of how cache entries end, and which holders are notified.

use super::{CacheInvalidation, HeartbeatCache, OWN_NODE};
use crate::leadership::fencing_token::Term;
use crate::model::ids::MachineIndex;
use crate::time::{TimeDelta, Timestamp};

const TERM: Term = Term(7);
const FOLLOWER: u16 = 3;
const NOW: Timestamp = Timestamp(1_000_000);

#[test]
fn an_entry_is_valid_until_it_expires_and_only_in_its_term() {
    let mut cache = HeartbeatCache::new(TERM);
    let expires_at = NOW + TimeDelta::from_secs(2);
    let cached = cache.insert(MachineIndex(4), OWN_NODE, expires_at);
    assert!(cache.is_valid(NOW, cached));
    assert_eq!(cache.valid_for(NOW, cached), TimeDelta::from_secs(2));
    assert!(!cache.is_valid(expires_at, cached));
    let in_other_term = super::CachedHeartbeat { term: Term(8), ..cached };
    assert!(!cache.is_valid(NOW, in_other_term));
}

#[test]
fn an_entry_replaced_by_a_later_one_is_invalidated() {
    let mut cache = HeartbeatCache::new(TERM);
    let first = cache.insert(MachineIndex(4), FOLLOWER, Timestamp(u64::MAX));
    let second = cache.insert(MachineIndex(4), OWN_NODE, Timestamp(u64::MAX));
    assert!(!cache.is_valid(NOW, first));
    assert_eq!(cache.valid_for(NOW, first), TimeDelta::ZERO);
    assert!(cache.is_valid(NOW, second));
    let expected = CacheInvalidation { holder: FOLLOWER, cached: first };
    assert_eq!(cache.take_invalidations(), [expected]);
}

#[test]
fn invalidations_for_other_nodes_are_returned_once_and_in_order() {
    let mut cache = HeartbeatCache::new(TERM);
    let entries =
        [5, 4].map(|machine| cache.insert(MachineIndex(machine), FOLLOWER, Timestamp(u64::MAX)));
    cache.insert(MachineIndex(6), OWN_NODE, Timestamp(u64::MAX));
    for machine in [6, 5, 4, 5, 9] {
        cache.invalidate(MachineIndex(machine));
    }
    let expected = entries.map(|cached| CacheInvalidation { holder: FOLLOWER, cached });
    assert_eq!(cache.take_invalidations(), expected);
    assert!(cache.take_invalidations().is_empty());
}
