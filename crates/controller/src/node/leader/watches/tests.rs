use super::*;

#[test]
fn a_watch_that_returned_late_is_opened_at_once() {
    assert_eq!(rest_of_interval(Duration::ZERO), MIN_INTERVAL);
    assert_eq!(rest_of_interval(MIN_INTERVAL / 3), MIN_INTERVAL - MIN_INTERVAL / 3);
    for late in [MIN_INTERVAL, MIN_INTERVAL + Duration::from_nanos(1), Duration::from_secs(9)] {
        assert_eq!(rest_of_interval(late), Duration::ZERO);
    }
}
