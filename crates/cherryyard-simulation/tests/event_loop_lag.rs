//! Controllers whose event loop lags, and the cost of scheduling cycles.

use cherryyard_simulation::{Setup, World};

/// Returns a running cluster whose shards are owned and whose machines have reported.
fn settled(setup: Setup) -> World {
    let mut world = World::new(setup);
    world.run(5.0);
    world
}

/// Guards against a lagging controller that mistakes its own delay for silence of its machines:
/// no machine is released, no lease is considered expired or lost, and no task runs twice. Its
/// actions are only late.
#[test]
fn trace_of_a_lagging_controller() {
    let mut world = settled(Setup::default());
    world.submit(&World::spec("j-000001", "service", 6));
    world.run_until(10.0, |world| world.running_task_count() == 6);
    world.run(20.0);
    world.trace_line("node-0 is 3.5 s behind");
    world.processes.lag_ms.insert(0, 3500.0);
    world.run(40.0);
    world.submit(&World::spec("j-000002", "service", 1));
    world.cancel(1, "j-000001");
    world.run(15.0);
    assert_eq!(world.running_task_count(), 1, "{}", world.trace.join("\n"));
    world.processes.lag_ms.clear();
    world.trace_line("node-0 is in time again");
    world.run(20.0);
    assert!(world.violations.is_empty(), "{:?}", world.violations);
    let loses_machine = |l: &&String| l.contains("releases") || l.contains("loses its lease");
    assert_eq!(world.trace.iter().find(loses_machine), None);
    insta::assert_snapshot!(world.trace.join("\n"));
}

/// Guards against broken rules when a controller lags so far that no response arrives in time:
/// leases expire, and lost tasks start again once the expiry is proven.
#[test]
fn a_controller_lagging_beyond_timeouts_breaks_no_rule() {
    let mut world = settled(Setup {
        machines: vec![("a", 4), ("b", 2), ("c", 2)],
        ..Setup::default()
    });
    world.submit(&World::spec("j-000001", "service", 10));
    world.run_until(10.0, |world| world.running_task_count() == 10);
    for late in [5000.0, 1000.0, 9000.0, 6000.0] {
        world.processes.lag_ms.insert(0, late);
        world.run(25.0);
    }
    world.processes.lag_ms.clear();
    world.run(90.0);
    assert_eq!(world.running_task_count(), 10, "{}", world.trace.join("\n"));
    assert!(world.violations.is_empty(), "{:?}", world.violations);
}

/// Guards against scheduling cycles that inspect machines without need: reports without news
/// cause no inspection of their machines' assignments, and one completion costs the same in a
/// shard ten times as large. As a safety net, all machines are inspected every 5 s.
#[test]
fn cycles_inspect_only_changed_machines() {
    let inspected_machines = |machines: usize, change: bool| {
        let mut world = settled(Setup {
            zones: vec!["a"],
            machines: vec![("a", machines)],
            ..Setup::default()
        });
        world.submit(&World::spec("j-000001", "service", machines as u32));
        world.run_until(10.0, |world| world.running_task_count() == machines);
        world.run(20.0);
        let before = world.controllers[0].as_ref().unwrap().inspected_machines;
        if change {
            world.workers.values_mut().next().unwrap().run_ms = 0.0;
            world.workers.values_mut().next().unwrap().tasks_fail = true;
        }
        world.run(20.0);
        world.controllers[0].as_ref().unwrap().inspected_machines - before
    };
    for machines in [6, 60] {
        let all = inspected_machines(machines, false);
        // All machines are inspected 4 times; an inspection for each report would make about 40.
        assert!(all <= 5 * machines as u64, "{all} for {machines}");
    }
    let cost = |n: usize| inspected_machines(n, true).saturating_sub(inspected_machines(n, false));
    let (small, large) = (cost(6), cost(60));
    assert!(small > 0 && large <= small + 70, "{small} {large}");
}

/// Guards against an owner that is cut off from all its workers and releases the first overdue
/// machines as dead, one by one, with the tasks on them. The owner must give up its shard
/// instead, and all tasks go on under another owner. A machine that falls silent alone is
/// released.
#[test]
fn an_owner_cut_from_its_workers_releases_none() {
    let all = 24;
    let mut world = World::new(Setup {
        zones: vec!["a", "b", "c"],
        machines: vec![("a", all), ("b", 1), ("c", 1)],
        ..Setup::default()
    });
    world.run(5.0);
    let mut spec = World::spec("j-000001", "service", all as u32);
    spec.cores = 4.0;
    world.submit(&spec);
    world.run_until(20.0, |world| world.running_task_count() == all);
    // Reports are spread over the report interval.
    for (i, x) in world.workers.values_mut().enumerate() {
        x.next_heartbeat_at = world.now + 85.0 * i as f64;
    }
    world.run(20.0);
    world.trace_line("node-0 loses its workers");
    world.network.cut_from_workers.insert(0);
    world.run(40.0);
    let releases = |world: &World| {
        world
            .trace
            .iter()
            .filter(|l| l.contains("releases"))
            .count()
    };
    assert_eq!(releases(&world), 0, "{}", world.trace.join("\n"));
    assert_eq!(
        world.running_task_count(),
        all,
        "{}",
        world.trace.join("\n")
    );
    assert!(world.violations.is_empty());
    world.network.cut_from_workers.clear();
    world.run(60.0);
    let host = world.workers.keys().next().unwrap().clone();
    world.network.unreachable.insert(host);
    world.run(9.0);
    assert_eq!(releases(&world), 1, "{}", world.trace.join("\n"));
}
