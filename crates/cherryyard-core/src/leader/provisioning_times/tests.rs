use super::*;

/// Guards against expected times that ignore how long machines of the same type and zone took to
/// come up, or that leave their bounds.
#[test]
fn expected_time_follows_recorded_times() {
    let mut times = ProvisioningTimes::default();
    assert_eq!(times.expected_s("m", "a", 25.0), 50.0);
    for _ in 0..50 {
        times.record("m", "a", 25.0, 22.0);
    }
    assert_eq!(
        times.expected_s("m", "a", 25.0),
        40.0,
        "no less than the least"
    );
    assert_eq!(
        times.progress("m", "a", 25.0, 41.0),
        ProvisioningProgress::Overdue
    );
    assert_eq!(
        times.progress("m", "a", 25.0, 151.0),
        ProvisioningProgress::Failed
    );
    for _ in 0..50 {
        times.record("m", "a", 25.0, 100.0);
    }
    let by = times.expected_s("m", "a", 25.0);
    assert!((100.0..=150.0).contains(&by), "{by}");
    assert_eq!(times.expected_s("m", "b", 25.0), 50.0, "another zone");
}

/// Guards against a second fleet when a fault delays all machines: a few overdue machines are all
/// replaced, of very many only a share.
#[test]
fn replacements_of_overdue_machines_are_limited() {
    assert_eq!(cores_to_come(40.0, 8.0, 1000.0, 4.0), 40.0);
    assert_eq!(cores_to_come(0.0, 400.0, 1000.0, 4.0), 320.0);
    assert_eq!(cores_to_come(0.0, 12.0, 20.0, 4.0), 0.0);
}
