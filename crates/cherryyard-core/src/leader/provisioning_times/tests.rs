use super::*;

/// What has come up sets when the next is expected, within bounds.
#[test]
fn expectations_are_learned() {
    let mut b = ProvisioningTimes::default();
    assert_eq!(b.expected_s("m", "a", 25.0), 50.0);
    for _ in 0..50 {
        b.up("m", "a", 25.0, 22.0);
    }
    assert_eq!(b.expected_s("m", "a", 25.0), 40.0, "no less than the least");
    assert_eq!(
        b.stands("m", "a", 25.0, 41.0),
        ProvisioningProgress::Overdue
    );
    assert_eq!(b.stands("m", "a", 25.0, 151.0), ProvisioningProgress::Never);
    for _ in 0..50 {
        b.up("m", "a", 25.0, 100.0);
    }
    let by = b.expected_s("m", "a", 25.0);
    assert!((100.0..=150.0).contains(&by), "{by}");
    assert_eq!(b.expected_s("m", "b", 25.0), 50.0, "another zone");
}

/// Few that are overdue are replaced, of very many only a share.
#[test]
fn no_storm_of_replacements() {
    assert_eq!(coming(40.0, 8.0, 1000.0, 4.0), 40.0);
    assert_eq!(coming(0.0, 400.0, 1000.0, 4.0), 320.0);
    assert_eq!(coming(0.0, 12.0, 20.0, 4.0), 0.0);
}
