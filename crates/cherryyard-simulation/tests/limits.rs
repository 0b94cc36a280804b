//! The state service lowers its limits: announced, while controllers are upgraded one after the
//! other, or without an announcement.

use cherryyard_simulation::{Setup, World};
use cherryyard_wire::job::JobSpec;

/// Number of arrays that run while the limits are lowered.
const JOBS: u64 = 19;

fn array(job: u64, task_count: u32) -> JobSpec {
    let mut spec = World::spec(&format!("j-{job:06}"), "sweep", task_count);
    (spec.cores, spec.ram_gb) = (1.0, 0.5);
    spec
}

/// Returns a cluster of three controllers of an earlier build with 210 machines and 780 tasks, more
/// than 720 of them running, whose pages are larger than the later limits allow.
fn cluster_before_upgrade(team_limit: f64) -> World {
    let mut world = World::new(Setup {
        machines: vec![("a", 70), ("b", 70), ("c", 70)],
        value_kb: 16.0,
        txn_ops: 16,
        write_rps: 60.0,
        limit: team_limit,
        earlier_builds: (0..3).collect(),
        ..Setup::default()
    });
    for worker in world.workers.values_mut() {
        worker.run_ms = 40_000.0;
    }
    world.run(6.0);
    for job in 1..=JOBS {
        world.submit(&array(job, 40));
    }
    for job in 20..40 {
        world.submit(&World::spec(&format!("j-{job:06}"), "service", 1));
    }
    world.run_until(40.0, |world| world.running_task_count() > 720);
    world
}

fn upgrade_all(world: &mut World) {
    for i in 0..3 {
        world.upgrade(i);
        world.kill(i);
        world.run(1.0);
        world.start(i);
        world.run(5.0);
    }
}

/// Guards against transactions and values that exceed announced limits, and against jobs stored
/// before that are never processed: once the limits are in force, no transaction or value is too
/// large, and all jobs complete.
#[test]
fn announced_limits_come_into_force_after_an_upgrade() {
    for (value_kb, txn_ops, team_limit) in [(2.0, 5, 0.0), (2.0, 4, 840.0), (1.0, 2, 840.0)] {
        let mut world = cluster_before_upgrade(team_limit);
        let largest = world.state.largest("c/mark");
        assert!(largest > 2200, "{largest}");
        world.announce_limits(value_kb, txn_ops);
        upgrade_all(&mut world);
        world.run(10.0);
        world.enforce_announced_limits();
        for job in 50..56 {
            world.submit(&array(job, 40));
        }
        world.run(150.0);
        let case = format!("{value_kb} KiB, {txn_ops} changes, limit {team_limit}");
        assert_eq!(world.state.malformed, 0, "{case}");
        for job in (1..=JOBS).chain(50..56) {
            assert!(world.is_complete(&format!("j-{job:06}")), "{case}: {job}");
        }
        assert_eq!(world.running_task_count(), 20, "{case}");
        let now = world.state.pairs();
        // Only pages of assignments are measured: earlier pages of new jobs stay as they are while
        // nothing in them changes.
        let pages = now.iter().filter(|p| p.key.starts_with("c/mark"));
        let largest = pages.map(|p| (p.value.text().len(), &p.key)).max();
        let bytes = (value_kb * 1024.0) as usize;
        assert!(largest.is_some_and(|l| l.0 <= bytes), "{case}: {largest:?}");
        assert!(
            world.violations.is_empty(),
            "{case}: {:?}",
            world.violations
        );
    }
}

/// Guards against pages that are divided twice or never when limits are announced during an
/// upgrade and an upgraded controller ends soon after its restart. Upgraded controllers divide the
/// pages of earlier builds, also those of shards that they take over.
#[test]
fn a_controller_ends_while_its_pages_are_divided() {
    for step in 0..6 {
        let mut world = cluster_before_upgrade(0.0);
        world.announce_limits(2.0, 4);
        world.upgrade(0);
        world.kill(0);
        world.run(0.5);
        world.start(0);
        world.run(0.2 + f64::from(step) * 0.3);
        // Its shard goes to a controller of the earlier build, or it takes the shard back.
        world.kill(0);
        world.run(if step % 2 == 0 { 0.5 } else { 9.0 });
        world.start(0);
        world.run(5.0);
        upgrade_all(&mut world);
        world.enforce_announced_limits();
        world.run(120.0);
        for job in 1..=JOBS {
            assert!(
                world.is_complete(&format!("j-{job:06}")),
                "step {step}: {job}"
            );
        }
        assert_eq!(world.state.malformed, 0, "step {step}");
        assert!(
            world.violations.is_empty(),
            "step {step}: {:?}",
            world.violations
        );
    }
}

/// Guards against controllers that cannot work after limits are lowered without an announcement:
/// a few of their transactions are refused, then they plan smaller ones, and all jobs complete.
#[test]
fn limits_lowered_without_announcement() {
    let mut world = cluster_before_upgrade(840.0);
    upgrade_all(&mut world);
    world.run(5.0);
    world.announce_limits(2.0, 5);
    world.enforce_announced_limits();
    for job in 50..56 {
        world.submit(&array(job, 40));
    }
    world.run(200.0);
    for job in (1..=JOBS).chain(50..56) {
        assert!(world.is_complete(&format!("j-{job:06}")), "{job}");
    }
    let refused = world.state.malformed;
    assert!((1..40).contains(&refused), "{refused} refused");
    assert!(world.violations.is_empty(), "{:?}", world.violations);
}
