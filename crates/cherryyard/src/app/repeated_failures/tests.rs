use super::*;

/// Guards against a log flooded by an outage: ten minutes with two failures a second are logged
/// in seven lines.
#[test]
fn an_outage_is_logged_in_a_few_lines() {
    let mut failures = RepeatedFailures::default();
    let start = Instant::now();
    let logged: Vec<(u64, u64)> = (0..1200u64)
        .filter_map(|n| {
            let now = start + Duration::from_millis(n * 500);
            failures.record_failure(now).map(|count| (n / 2, count))
        })
        .collect();
    let logged_at_s: Vec<u64> = logged.iter().map(|line| line.0).collect();
    assert_eq!(logged_at_s, [0, 5, 15, 35, 75, 155, 315]);
    assert_eq!(logged[1].1, 11);
    assert_eq!(failures.record_success(), Some(1200));
    assert_eq!(failures.record_success(), None);
    assert_eq!(failures.record_failure(start), Some(1));
}
