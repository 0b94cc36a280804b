use super::Flows;

/// Guards against memory growth by invented class names: after 64 classes a job of a new class gets
/// the flow of its team, and the classes known before keep their flows.
#[test]
fn invented_classes_get_the_flow_of_their_team() {
    let mut flows = Flows::new(2);
    let portal = flows.intern(1, "portal");
    assert_eq!(flows.intern(1, "portal"), portal);
    assert_ne!(flows.intern(0, "portal"), portal);
    assert_eq!((flows.team(portal), flows.class(portal)), (1, "portal"));
    for i in 0..10_000 {
        flows.intern(i % 2, &format!("invented-{i}"));
    }
    assert!(flows.len() <= 2 + 2 * 64, "{}", flows.len());
    assert_eq!(flows.intern(0, "one-more"), 0);
    assert_eq!(flows.intern(1, "one-more"), 1);
    assert_eq!(flows.intern(1, "portal"), portal);
}
