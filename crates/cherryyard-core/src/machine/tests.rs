use super::{Freshness, Machine, MachineState, OwnTokens};
use cherryyard_wire::worker::WorkerHeartbeat;

const TOKEN: u64 = 7;
const OWN: OwnTokens = OwnTokens {
    first: TOKEN,
    current: TOKEN,
};

fn message(sequence: u64) -> WorkerHeartbeat {
    WorkerHeartbeat {
        host: "host-000001".into(),
        addr: "10.0.0.1:9000".into(),
        machine_type: "m4".into(),
        zone: "a".into(),
        spot: false,
        incarnation: 1,
        sequence,
        fencing_token: TOKEN,
        reclaim_in_s: None,
        tasks: Vec::new(),
    }
}

/// Returns a machine that has sent four messages and is queried.
fn queried_machine() -> Machine {
    let mut machine = Machine::new(0, 0, &message(1), 0.0);
    for sequence in 1..=4 {
        machine.receive(&message(sequence), OWN, 0.0);
    }
    machine.last_query = (0.0, machine.newest);
    machine
}

#[test]
fn an_answer_numbered_anew_shows_a_restart() {
    let mut machine = queried_machine();
    assert!(machine.shows_restart(&message(3)));
    let freshness = machine.receive_status(&message(3), OWN, 100, 1.0);
    assert_eq!(freshness, Freshness::Changed);
    assert_eq!(machine.restarted_under, Some(TOKEN));
}

/// Guards against a start that counts as gone while it runs: the new process of a machine sends more
/// messages than the old one had, is answered with a start, and the answer to an earlier query arrives
/// after that.
#[test]
fn an_answer_older_than_a_message_since_the_query_shows_no_restart() {
    let mut machine = queried_machine();
    machine.receive(&message(5), OWN, 1.0);
    machine.offered_starts = vec![((1, 0), 50)];
    assert!(!machine.shows_restart(&message(3)));
    let freshness = machine.receive_status(&message(3), OWN, 100, 2.0);
    assert_eq!(freshness, Freshness::Stale);
    assert_eq!(machine.state, MachineState::Ready);
    assert!(machine.start_pending((1, 0), 50));
    assert!(!machine.proven_gone((1, 0), 1, 50));
}
