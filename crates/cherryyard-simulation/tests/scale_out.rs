//! Provisioned machines that start late, never, or all at once.

use cherryyard_simulation::{Setup, World};
use std::collections::BTreeSet;

/// Returns a cluster of two machines with work for twelve.
fn undersized_cluster(provisioning_ms: f64) -> World {
    let mut world = World::new(Setup {
        machines: vec![("a", 1), ("b", 1)],
        ..Setup::default()
    });
    world.cloud.provisioning_ms = Some(provisioning_ms);
    world.run(10.0);
    world.submit(&World::spec("j-000001", "service", 24));
    world
}

fn run_with_listing(world: &mut World, seconds: usize) {
    for _ in 0..seconds {
        world.run(1.0);
        world.list_machines();
    }
}

fn provisioned(world: &World) -> usize {
    world
        .cloud
        .provision_requests
        .iter()
        .map(|h| h.number as usize)
        .sum()
}

/// Guards against excess provisioning when machines start within a second.
#[test]
fn machines_that_start_at_once() {
    let mut world = undersized_cluster(500.0);
    run_with_listing(&mut world, 60);
    assert_eq!(world.running_task_count(), 24, "{}", world.trace.join("\n"));
    assert!(
        (10..=24).contains(&provisioned(&world)),
        "{}",
        provisioned(&world)
    );
}

/// Guards against a second fleet when all machines are two minutes late: only a few replacements
/// are provisioned, late machines are used, and the excess is returned.
#[test]
fn all_machines_late_and_then_at_once() {
    let mut world = undersized_cluster(150_000.0);
    run_with_listing(&mut world, 140);
    let before = provisioned(&world);
    assert!((12..=30).contains(&before), "{before}");
    run_with_listing(&mut world, 60);
    assert_eq!(world.running_task_count(), 24, "{}", world.trace.join("\n"));
    run_with_listing(&mut world, 400);
    assert!(world.workers.len() <= 24, "{}", world.workers.len());
    let names: BTreeSet<&String> = world
        .cloud
        .provision_requests
        .iter()
        .map(|h| &h.request_id)
        .collect();
    assert_eq!(
        names.len(),
        world.cloud.provision_requests.len(),
        "a request id was used again"
    );
}

/// Guards against machines that never start: they are replaced once overdue, and returned.
#[test]
fn machines_that_never_start_are_replaced() {
    let mut world = undersized_cluster(1e12);
    run_with_listing(&mut world, 20);
    world.cloud.provisioning_ms = Some(20_000.0);
    let lost: Vec<String> = world.cloud.booting.keys().cloned().collect();
    assert!(lost.len() >= 8);
    run_with_listing(&mut world, 100);
    // The first were expected after 60 s; four at a time are replaced.
    assert!(
        world.running_task_count() > 12,
        "{}",
        world.running_task_count()
    );
    run_with_listing(&mut world, 200);
    assert_eq!(world.running_task_count(), 24);
    assert!(
        lost.iter()
            .all(|name| !world.cloud.booting.contains_key(name)),
        "a machine that never started is kept"
    );
}

/// Guards against duplicate provisioning when the leader ends with requests in flight: its
/// successor counts the listed machines.
#[test]
fn the_leader_ends_with_provisioning_requests_in_flight() {
    let mut world = undersized_cluster(30_000.0);
    run_with_listing(&mut world, 12);
    let leads = |n: &cherryyard_core::Controller| n.leadership_token().is_some();
    let leader = world
        .controllers
        .iter()
        .position(|n| n.as_ref().is_some_and(leads));
    let leader = leader.expect("a leader");
    world.kill(leader);
    run_with_listing(&mut world, 6);
    world.start(leader);
    run_with_listing(&mut world, 90);
    assert_eq!(world.running_task_count(), 24, "{}", world.trace.join("\n"));
    assert!(provisioned(&world) <= 30, "{}", provisioned(&world));
}
