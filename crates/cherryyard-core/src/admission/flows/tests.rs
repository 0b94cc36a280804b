use super::Flows;

/// A class has a flow for each of its teams, and a flood of invented names ends
/// in the team's own.
#[test]
fn invented_names_cost_nothing() {
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
