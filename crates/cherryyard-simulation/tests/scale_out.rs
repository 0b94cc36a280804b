//! Provisioned machines that start late, never, or all at once.

use cherryyard_simulation::{Setup, World};
use std::collections::BTreeSet;

/// Returns a cluster of two machines with work for twelve.
fn undersized_cluster(provisioning_ms: f64) -> World {
    let mut w = World::new(Setup {
        machines: vec![("a", 1), ("b", 1)],
        ..Setup::default()
    });
    w.cloud.provisioning_ms = Some(provisioning_ms);
    w.run(10.0);
    w.submit(&World::spec("j-000001", "service", 24));
    w
}

fn run_with_listing(w: &mut World, seconds: usize) {
    for _ in 0..seconds {
        w.run(1.0);
        w.list_machines();
    }
}

fn provisioned(w: &World) -> usize {
    w.cloud
        .provision_requests
        .iter()
        .map(|h| h.number as usize)
        .sum()
}

/// Guards against excess provisioning when machines start within a second.
#[test]
fn machines_that_start_at_once() {
    let mut w = undersized_cluster(500.0);
    run_with_listing(&mut w, 60);
    assert_eq!(w.running(), 24, "{}", w.trace.join("\n"));
    assert!((10..=24).contains(&provisioned(&w)), "{}", provisioned(&w));
}

/// Guards against a second fleet when all machines are two minutes late: only a few replacements
/// are provisioned, late machines are used, and the excess is returned.
#[test]
fn all_machines_late_and_then_at_once() {
    let mut w = undersized_cluster(150_000.0);
    run_with_listing(&mut w, 140);
    let before = provisioned(&w);
    assert!((12..=30).contains(&before), "{before}");
    run_with_listing(&mut w, 60);
    assert_eq!(w.running(), 24, "{}", w.trace.join("\n"));
    run_with_listing(&mut w, 400);
    assert!(w.workers.len() <= 24, "{}", w.workers.len());
    let names: BTreeSet<&String> = w
        .cloud
        .provision_requests
        .iter()
        .map(|h| &h.request_id)
        .collect();
    assert_eq!(
        names.len(),
        w.cloud.provision_requests.len(),
        "a request id was used again"
    );
}

/// Guards against machines that never start: they are replaced once overdue, and returned.
#[test]
fn machines_that_never_start_are_replaced() {
    let mut w = undersized_cluster(1e12);
    run_with_listing(&mut w, 20);
    w.cloud.provisioning_ms = Some(20_000.0);
    let lost: Vec<String> = w.cloud.booting.keys().cloned().collect();
    assert!(lost.len() >= 8);
    run_with_listing(&mut w, 100);
    // The first were expected after 60 s; four at a time are replaced.
    assert!(w.running() > 12, "{}", w.running());
    run_with_listing(&mut w, 200);
    assert_eq!(w.running(), 24);
    assert!(
        lost.iter().all(|name| !w.cloud.booting.contains_key(name)),
        "kept"
    );
}

/// Guards against duplicate provisioning when the leader ends with requests in flight: its
/// successor counts the listed machines.
#[test]
fn the_leader_ends_with_provisioning_requests_in_flight() {
    let mut w = undersized_cluster(30_000.0);
    run_with_listing(&mut w, 12);
    let leads = |n: &cherryyard_core::Controller| n.leadership_token().is_some();
    let leader = w
        .controllers
        .iter()
        .position(|n| n.as_ref().is_some_and(leads));
    let leader = leader.expect("a leader");
    w.kill(leader);
    run_with_listing(&mut w, 6);
    w.start(leader);
    run_with_listing(&mut w, 90);
    assert_eq!(w.running(), 24, "{}", w.trace.join("\n"));
    assert!(provisioned(&w) <= 30, "{}", provisioned(&w));
}
