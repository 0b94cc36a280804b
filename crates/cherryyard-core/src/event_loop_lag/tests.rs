use super::*;

/// Guards against silence judged by a clock that goes before the queue in
/// which the reports wait.
#[test]
fn a_queue_that_stands_is_late_before_it_moves() {
    let mut l = EventLoopLag::new(0.0);
    for i in 1..=100 {
        let now = f64::from(i) * 100.0;
        l.ticked(now);
        l.passed(now, now);
    }
    assert_eq!(l.punctual_for(10_000.0), 10_000.0);
    // Ticks go on, the queue does not.
    for i in 101..=120 {
        l.ticked(f64::from(i) * 100.0);
    }
    assert_eq!(l.now(12_000.0), 1900.0);
    assert_eq!(l.punctual_for(12_000.0), 0.0);
    l.passed(10_100.0, 12_000.0);
    l.passed(12_100.0, 12_100.0);
    l.ticked(12_100.0);
    assert_eq!(l.now(12_100.0), 0.0);
    assert_eq!(l.punctual_for(12_100.0), 100.0);
}
