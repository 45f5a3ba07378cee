use super::*;

#[test]
fn out_of_range_seconds_are_clamped() {
    assert_eq!(TimeDelta::from_secs_f64(f64::NAN), TimeDelta::ZERO);
    assert_eq!(TimeDelta::from_secs_f64(-3.0), TimeDelta::ZERO);
    assert_eq!(TimeDelta::from_secs_f64(1.5), TimeDelta::from_millis(1500));
    assert_eq!(TimeDelta::from_secs_f64(f64::INFINITY), TimeDelta::from_secs(1_000_000_000));
    assert_eq!(Timestamp(5).since(Timestamp(9)), TimeDelta::ZERO);
}
