use super::*;

/// A machine must not be suspected after a single lost answer, must be queried after two in a row,
/// and must be reachable again as soon as it answers a query. Guards against a one-way partition
/// that leaves heartbeats intact while commands do not arrive.
#[test]
fn lost_answers_make_a_machine_suspected_until_it_answers() {
    use ReachabilityEvent::*;
    let mut reachability = Reachability::Reachable(0);
    let mut states = Vec::new();
    for event in [
        NotReflected,
        Reflected,
        NotReflected,
        NotReflected,
        NoAnswer,
        NotReflected,
        NoAnswer,
        NewIncarnation,
        Reflected,
        NewIncarnation,
        Reflected,
    ] {
        reachability = reachability.after(event, 9.0);
        states.push(reachability);
    }
    use Reachability::*;
    assert_eq!(
        states,
        [
            Reachable(1),
            Reachable(0),
            Reachable(1),
            Suspected(0),
            Suspected(1),
            Suspected(1),
            Unreachable(9.0),
            Unreachable(9.0),
            Reachable(0),
            Suspected(0),
            Reachable(0),
        ]
    );
}
