use super::*;

/// A machine must not be doubted after a single lost answer, must be queried after two in a row,
/// and must be reachable again as soon as it answers a query. Guards against a one-way partition
/// that leaves heartbeats intact while commands do not arrive.
#[test]
fn silence_of_one_direction() {
    use ReachabilityEvent::*;
    let mut r = Reachability::Reachable(0);
    let mut states = Vec::new();
    for event in [
        Missed,
        Reflected,
        Missed,
        Missed,
        NoAnswer,
        Missed,
        NoAnswer,
        NewIncarnation,
        Reflected,
        NewIncarnation,
        Reflected,
    ] {
        r = r.after(event, 9.0);
        states.push(r);
    }
    use Reachability::*;
    assert_eq!(
        states,
        [
            Reachable(1),
            Reachable(0),
            Reachable(1),
            Doubted(0),
            Doubted(1),
            Doubted(1),
            Unreachable(9.0),
            Unreachable(9.0),
            Reachable(0),
            Doubted(0),
            Reachable(0),
        ]
    );
}
