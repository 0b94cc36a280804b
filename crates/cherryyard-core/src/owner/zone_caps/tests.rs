use super::ZoneCounts;

/// Guards against tasks on machines of an unknown zone that count in no real zone.
#[test]
fn tasks_of_an_unknown_zone_count_in_each_zone() {
    let mut counts = ZoneCounts::default();
    for zone in [Some("a"), Some("a"), None, Some("b")] {
        counts.add(zone);
    }
    let largest = ["a", "b", "c"].map(|zone| counts.largest_in(zone));
    assert_eq!(largest, [3, 2, 1]);
}
