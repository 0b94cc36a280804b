//! Division of jobs and of teams' limits among the shards.

mod common;

use cherryyard_core::Tuning;
use cherryyard_simulation::{Setup, World};
use cherryyard_wire::job::JobStatus;
use common::settled::settled;

/// Guards against a limited team that gets no grant when there are more controllers than a
/// transaction may have changes. Once, the first distribution was omitted as a whole, and nothing
/// ever ran.
#[test]
fn a_team_limit_over_twenty_four_shards() {
    let mut world = settled(Setup {
        zones: vec!["a"; 24],
        machines: vec![("a", 48)],
        limit: 60.0,
        txn_ops: 8,
        write_rps: 100.0,
        ..Setup::default()
    });
    for x in world.workers.values_mut() {
        x.run_ms = 5000.0;
    }
    world.submit(&World::spec("j-000001", "sweep", 200));
    world.run(20.0);
    assert_eq!(world.checker.peak_cores, 60.0);
    world.run(80.0);
    assert_eq!(world.view(3, "j-000001").unwrap().status, JobStatus::Done);
    assert_eq!(world.checker.peak_cores, 60.0);
    assert!(world.violations.is_empty(), "{:?}", world.violations);
}

/// Guards against a team limit that is exceeded over three shards, or that one shard cannot use.
#[test]
fn a_team_limit_over_three_shards() {
    let machines = vec![("a", 4), ("b", 4), ("c", 4)];
    let mut world = settled(Setup {
        machines,
        limit: 12.0,
        ..Setup::default()
    });
    for x in world.workers.values_mut() {
        x.run_ms = 4000.0;
    }
    world.submit(&World::spec("j-000001", "sweep", 40));
    world.run_until(120.0, |world| {
        world
            .state
            .pairs()
            .iter()
            .any(|p| p.value.text().contains("done"))
    });
    assert_eq!(world.checker.peak_cores, 12.0);
    world.checker.peak_cores = 0.0;
    let mut spec = World::spec("j-000002", "sweep", 12);
    spec.zone = Some("a".into());
    world.submit(&spec);
    world.run(60.0);
    assert_eq!(
        world.checker.peak_cores, 12.0,
        "the other shards return unused grants"
    );
    let view = world.view(1, "j-000002").unwrap();
    assert_eq!((view.status, view.done), (JobStatus::Done, 12));
}

/// Guards against a move of assigned tasks: after the delay a shard passes waiting tasks to shards
/// with free capacity, and only those that it has not assigned.
#[test]
fn overflow_moves_only_unassigned_tasks() {
    let mut world = settled(Setup::default());
    world.submit(&World::spec("j-000001", "sweep", 12));
    world.run_until(5.0, |world| world.running_task_count() == 6);
    world.run(0.5);
    let record = |world: &World| world.division(1);
    let before = record(&world);
    let assigned: Vec<Vec<u32>> = (0..3)
        .map(|p| {
            let controller = world.controllers[0].as_ref().unwrap();
            let assignments = &controller.mirror.tasks.assignments[&(p, 1)];
            assignments.assignments.keys().copied().collect()
        })
        .collect();
    for n in 10..13 {
        let name = format!("host-{n:06}");
        let worker = cherryyard_simulation::WorkerStandIn::new(&name, "c", 2, 10_000.0, world.now);
        world.workers.insert(name, worker);
    }
    world.run(Tuning::default().autoscale_multi_cluster_delay_s / 2.0);
    assert_eq!(record(&world)[0], before[0], "not before the delay");
    world.run(20.0);
    let after = record(&world);
    assert_eq!(world.running_task_count(), 12, "{}", world.trace.join("\n"));
    for p in 0..3 {
        for &n in &assigned[p] {
            assert!(after[p].contains(n), "task {n} was assigned in shard {p}");
        }
    }
    assert!(after[2].len() > before[2].len());
    assert!(world.violations.is_empty(), "{:?}", world.violations);
}

/// Guards against a large array placed mostly on one shard: tasks beyond all free capacity are
/// divided by machine counts, not by the few free cores.
#[test]
fn excess_tasks_are_divided_over_all_shards() {
    let mut world = settled(Setup::default());
    world.submit(&World::spec("j-000001", "sweep", 5));
    world.run(3.0);
    assert_eq!(world.running_task_count(), 5);
    world.submit(&World::spec("j-000002", "sweep", 31));
    world.run(2.0);
    let division_of_job = world.division(2);
    let shares: Vec<u32> = division_of_job.iter().map(|s| s.len()).collect();
    assert_eq!(shares.iter().sum::<u32>(), 31);
    assert!(shares.iter().all(|n| (10..=11).contains(n)), "{shares:?}");
}
