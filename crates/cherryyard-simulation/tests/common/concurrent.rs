//! Clusters of fifteen machines for scenarios with several faults at once, and the check at
//! the end of such a scenario.

use cherryyard_simulation::{Setup, Users, World};
use cherryyard_wire::job::JobSpec;

/// Returns a cluster without further teams, whose tasks run for the given seconds.
pub fn cluster(seconds: f64) -> World {
    cluster_of(seconds, Vec::new(), vec!["a", "b", "c"])
}

/// Returns a cluster like that of [`cluster`], with further teams, and a controller for each
/// entry of `zones`.
pub fn cluster_of(
    seconds: f64,
    teams: Vec<(&'static str, f64, f64)>,
    zones: Vec<&'static str>,
) -> World {
    let mut world = World::new(Setup {
        zones,
        machines: vec![("a", 5), ("b", 5), ("c", 5)],
        write_rps: 60.0,
        limit: 48.0,
        teams,
        ..Setup::default()
    });
    for worker in world.workers.values_mut() {
        worker.run_ms = seconds * 1000.0;
    }
    world.run(6.0);
    world
}

/// Returns an array job with this number of tasks.
pub fn array(job: u64, task_count: u32) -> JobSpec {
    let mut spec = World::spec(&format!("j-{job:06}"), "sweep", task_count);
    spec.expected_s = 10.0;
    spec
}

/// Ends all faults, waits for recovery, and panics if a rule or the limit of 48 cores is broken
/// or a job is lost or starved.
pub fn assert_recovers(world: &mut World, users: &mut Users, case: &str) {
    let violations = users.recover_and_check(world);
    if std::env::var("DEBUG").is_ok() && !world.violations.is_empty() {
        println!("{}", world.trace.join("\n"));
    }
    assert!(
        world.violations.is_empty(),
        "{case}: {:?}",
        world.violations
    );
    if world.limit_of("guests") == world.limit_of("team") {
        assert!(
            world.checker.peak_cores <= 48.0,
            "{case}: {} cores",
            world.checker.peak_cores
        );
    }
    if std::env::var("DEBUG").is_ok() && !violations.is_empty() {
        for i in 0..3 {
            for j in 1..5 {
                println!("{:?}", world.view(i, &format!("j-{j:06}")));
            }
        }
        println!("{}", world.trace.join("\n"));
        for p in world.state.pairs() {
            println!("{} {}", p.key, p.value.text());
        }
    }
    assert!(violations.is_empty(), "{case}: {violations:?}");
}
