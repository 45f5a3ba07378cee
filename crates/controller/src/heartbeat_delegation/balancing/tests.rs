use super::*;

/// The limit of redirected workers per second grows with the fleet, so that rebalancing takes at
/// most a minute at any size.
#[test]
fn redirect_limit_grows_with_the_number_of_workers() {
    assert_eq!(redirect_limit_per_s(500), MIN_REDIRECT_LIMIT_PER_S);
    assert_eq!(redirect_limit_per_s(4_200), 70);
}
