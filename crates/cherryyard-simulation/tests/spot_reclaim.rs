//! Spot machines that the cloud reclaims.

use cherryyard_simulation::{Setup, World};

/// Returns four machines under one controller with an array of two tasks that take 20 s, which is
/// also the job's expected time, and a machine that runs one of them.
fn running() -> (World, String) {
    let mut world = World::new(Setup {
        zones: vec!["a"],
        machines: vec![("a", 4)],
        ..Setup::default()
    });
    world.run(5.0);
    for worker in world.workers.values_mut() {
        worker.run_ms = 20_000.0;
    }
    world.submit(&World::spec("j-000001", "sweep", 2));
    world.run_until(5.0, |world| world.running_task_count() == 2);
    world.run(2.0);
    let at = world
        .workers
        .values()
        .find(|x| x.runs("j-000001/0"))
        .unwrap();
    let host = at.host.clone();
    (world, host)
}

fn started_after(world: &World, from: usize, task_name: &str) -> bool {
    let needle = format!("starts {task_name} ");
    world.trace[from..].iter().any(|l| l.contains(&needle))
}

/// Guards against work lost by a reclaim: a task that cannot complete before its machine is
/// reclaimed restarts elsewhere at once; one that can is left alone.
#[test]
fn a_task_that_would_be_lost_moves_at_the_notice() {
    for (notice_s, moves) in [(8.0, true), (30.0, false)] {
        let (mut world, host) = running();
        let from = world.trace.len();
        world.workers.get_mut(&host).unwrap().reclaim_at = Some(world.now + notice_s * 1000.0);
        world.run(5.0);
        assert_eq!(
            started_after(&world, from, "j-000001/0"),
            moves,
            "{notice_s}"
        );
        world.run(25.0);
        assert!(world.violations.is_empty(), "{:?}", world.violations);
        assert!(
            world.controllers[0]
                .as_ref()
                .unwrap()
                .mirror
                .open
                .is_empty()
        );
    }
}

/// Guards against a wait for the lease of a reclaimed machine. Without free capacity elsewhere the
/// task goes on, as it may still complete. Once the machine is reclaimed, the task restarts well
/// before a lease of 10 s expires, because the release proves that the task has ended.
#[test]
fn tasks_of_a_reclaimed_machine_restart_before_its_lease_ends() {
    let (mut world, host) = running();
    let others: Vec<String> = world
        .workers
        .keys()
        .filter(|n| **n != host)
        .cloned()
        .collect();
    let now = world.now;
    for name in &others {
        // Announced for reclaim too, much later: nothing is placed there.
        world.workers.get_mut(name).unwrap().reclaim_at = Some(now + 500_000.0);
    }
    world.run(3.0);
    let from = world.trace.len();
    world.workers.get_mut(&host).unwrap().reclaim_at = Some(world.now + 5000.0);
    world.run(4.8);
    assert!(!started_after(&world, from, "j-000001/0"));
    world.run(0.3);
    assert!(!world.workers.contains_key(&host));
    for name in &others {
        world.workers.get_mut(name).unwrap().reclaim_at = None;
    }
    world.run_until(5.5, |world| world.running_task_count() == 2);
    assert!(started_after(&world, from, "j-000001/0"));
    assert!(world.violations.is_empty(), "{:?}", world.violations);
}
