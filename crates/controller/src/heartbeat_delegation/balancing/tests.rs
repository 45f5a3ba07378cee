use super::*;

/// Workers are spread anew within a minute, whatever their number.
#[test]
fn more_workers_are_moved_where_there_are_more() {
    assert_eq!(max_moved_per_second(500), MIN_MOVED_PER_SECOND);
    assert_eq!(max_moved_per_second(4_200), 70);
}
