use super::*;

#[test]
fn watch_that_outlasted_the_minimum_interval_is_reopened_without_a_pause() {
    assert_eq!(remaining_interval(Duration::ZERO), MIN_INTERVAL);
    assert_eq!(remaining_interval(MIN_INTERVAL / 3), MIN_INTERVAL - MIN_INTERVAL / 3);
    for late in [MIN_INTERVAL, MIN_INTERVAL + Duration::from_nanos(1), Duration::from_secs(9)] {
        assert_eq!(remaining_interval(late), Duration::ZERO);
    }
}
