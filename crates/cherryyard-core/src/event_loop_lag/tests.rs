use super::*;

/// Guards against workers that are taken for silent because time passes while their reports wait
/// in the controller's queue: ticks continue, but no probe is handled.
#[test]
fn controller_is_late_while_its_queue_is_not_processed() {
    let mut lag = EventLoopLag::new(0.0);
    for i in 1..=100 {
        let now = f64::from(i) * 100.0;
        lag.ticked(now);
        lag.probe_handled(now, now);
    }
    assert_eq!(lag.time_without_lag(10_000.0), 10_000.0);
    // Ticks continue, the queue is not processed.
    for i in 101..=120 {
        lag.ticked(f64::from(i) * 100.0);
    }
    assert_eq!(lag.current(12_000.0), 1900.0);
    assert_eq!(lag.time_without_lag(12_000.0), 0.0);
    lag.probe_handled(10_100.0, 12_000.0);
    lag.probe_handled(12_100.0, 12_100.0);
    lag.ticked(12_100.0);
    assert_eq!(lag.current(12_100.0), 0.0);
    assert_eq!(lag.time_without_lag(12_100.0), 100.0);
}
