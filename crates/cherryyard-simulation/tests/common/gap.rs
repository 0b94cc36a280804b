//! Clusters that run services, and the general outage at the end of a heartbeat gap.

use cherryyard_simulation::{Setup, World};

/// Returns the id of a job number.
pub fn id(job: usize) -> String {
    format!("j-{job:06}")
}

/// Returns a cluster in which `jobs` services of two tasks each run, and the index of its leader.
pub fn running(jobs: usize) -> (World, usize) {
    let mut world = World::new(Setup {
        machines: vec![("a", 6), ("b", 6), ("c", 6)],
        write_rps: 60.0,
        ..Setup::default()
    });
    world.run(5.0);
    for job in 1..=jobs {
        world.submit(&World::spec(&id(job), "service", 2));
    }
    world.run_until(40.0, |world| world.running_task_count() == jobs * 2);
    world.run(20.0);
    let leader = leader(&world).expect("a leader");
    (world, leader)
}

/// Returns the index of the leader.
pub fn leader(world: &World) -> Option<usize> {
    world.leader()
}

/// Panics if a rule has been broken.
pub fn assert_no_violation(world: &World, case: &str) {
    assert!(
        world.violations.is_empty(),
        "{case}: {:?}\n{}",
        world.violations,
        world.trace.join("\n")
    );
}

/// Makes the state service refuse every controller for the given seconds, then serve all again.
pub fn outage(world: &mut World, seconds: f64) {
    world.trace_line("the state service refuses everybody");
    world.state_link.refused = [0, 1, 2].into();
    world.run(seconds);
    world.trace_line("it serves everybody");
    world.state_link.refused.clear();
}
