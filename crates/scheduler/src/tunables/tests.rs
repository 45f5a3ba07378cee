use super::*;

#[test]
fn objectives_of_a_class_apply_regardless_of_their_order() {
    let wait = |s| Objective::Wait { class: "c".into(), within: TimeDelta::from_secs(s) };
    let deadline = |times| Objective::Deadline { class: "c".into(), times };
    let mut site = Site {
        teams: Vec::new(),
        objectives: vec![wait(15), deadline(1.5), wait(3), deadline(1.0), wait(3)],
        heartbeat_interval: TimeDelta::from_secs(3),
        worker_lease: TimeDelta::from_secs(20),
        cancel_within: TimeDelta::from_secs(40),
        value_bytes: 4096,
        txn_ops: 12,
        list_lag: TimeDelta::from_secs(4),
        max_messages_in_flight: 300,
    };
    for _ in 0..2 {
        assert_eq!(site.start_objective("c"), Some(TimeDelta::from_secs(3)));
        assert_eq!(
            site.next_start_objective("c", TimeDelta::from_secs(3)),
            Some(TimeDelta::from_secs(15))
        );
        assert_eq!(site.next_start_objective("c", TimeDelta::from_secs(15)), None);
        assert_eq!(site.deadline_times("c", 0.0), 1.0);
        assert_eq!(site.deadline_times("c", 1.1), 1.5);
        assert_eq!(site.deadline_times("c", 9.0), 1.5);
        site.objectives.reverse();
    }
    assert_eq!(site.deadline_times("other", 0.0), 1.0);
}
