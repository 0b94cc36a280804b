//! Provisioned machines that start late, never, or all at once.

use cherryyard_simulation::{Setup, World};
use std::collections::BTreeSet;

/// Returns a cluster of two machines with work for twelve.
fn short(provisioning_ms: f64) -> World {
    let mut w = World::new(Setup {
        machines: vec![("a", 1), ("b", 1)],
        ..Setup::default()
    });
    w.cloud.provisioning_ms = Some(provisioning_ms);
    w.run(10.0);
    w.submit(&World::spec("j-000001", "service", 24));
    w
}

fn listing(w: &mut World, seconds: usize) {
    for _ in 0..seconds {
        w.run(1.0);
        w.list_machines();
    }
}

fn rented(w: &World) -> usize {
    w.cloud
        .provision_requests
        .iter()
        .map(|h| h.number as usize)
        .sum()
}

/// Guards against excess provisioning when machines start within a second.
#[test]
fn up_at_once() {
    let mut w = short(500.0);
    listing(&mut w, 60);
    assert_eq!(w.running(), 24, "{}", w.trace.join("\n"));
    assert!((10..=24).contains(&rented(&w)), "{}", rented(&w));
}

/// Guards against a second fleet when all machines are two minutes late: only a few replacements
/// are provisioned, late machines are used, and the excess is returned.
#[test]
fn all_late_and_then_at_once() {
    let mut w = short(150_000.0);
    listing(&mut w, 140);
    let before = rented(&w);
    assert!((12..=30).contains(&before), "{before}");
    listing(&mut w, 60);
    assert_eq!(w.running(), 24, "{}", w.trace.join("\n"));
    listing(&mut w, 400);
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
        "a name was used again"
    );
}

/// Guards against machines that never start: they are replaced once overdue, and returned.
#[test]
fn some_never_come() {
    let mut w = short(1e12);
    listing(&mut w, 20);
    w.cloud.provisioning_ms = Some(20_000.0);
    let lost: Vec<String> = w.cloud.booting.keys().cloned().collect();
    assert!(lost.len() >= 8);
    listing(&mut w, 100);
    // The first were expected after 60 s; four at a time are replaced.
    assert!(w.running() > 12, "{}", w.running());
    listing(&mut w, 200);
    assert_eq!(w.running(), 24);
    assert!(
        lost.iter().all(|name| !w.cloud.booting.contains_key(name)),
        "kept"
    );
}

/// Guards against duplicate provisioning when the leader ends with requests in flight: its
/// successor counts the listed machines.
#[test]
fn the_leader_ends_with_rentals_in_flight() {
    let mut w = short(30_000.0);
    listing(&mut w, 12);
    let leads = |n: &cherryyard_core::Controller| n.leadership_token().is_some();
    let leader = w
        .controllers
        .iter()
        .position(|n| n.as_ref().is_some_and(leads));
    let leader = leader.expect("a leader");
    w.kill(leader);
    listing(&mut w, 6);
    w.start(leader);
    listing(&mut w, 90);
    assert_eq!(w.running(), 24, "{}", w.trace.join("\n"));
    assert!(rented(&w) <= 30, "{}", rented(&w));
}
