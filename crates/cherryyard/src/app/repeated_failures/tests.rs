use super::*;

/// An outage of ten minutes with two tries a second is told in seven lines.
#[test]
fn an_outage_is_told_in_a_few_lines() {
    let mut repeats = RepeatedFailures::default();
    let start = Instant::now();
    let told: Vec<(u64, u64)> = (0..1200u64)
        .filter_map(|n| {
            let now = start + Duration::from_millis(n * 500);
            repeats.failed(now).map(|count| (n / 2, count))
        })
        .collect();
    let at: Vec<u64> = told.iter().map(|t| t.0).collect();
    assert_eq!(at, [0, 5, 15, 35, 75, 155, 315]);
    assert_eq!(told[1].1, 11);
    assert_eq!(repeats.worked(), Some(1200));
    assert_eq!(repeats.worked(), None);
    assert_eq!(repeats.failed(start), Some(1));
}
