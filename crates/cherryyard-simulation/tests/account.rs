//! Accounting of core-seconds: every core is counted exactly once, whatever fails.

use cherryyard_core::account::CoreUse;
use cherryyard_simulation::{Setup, World};

/// Guards against core-seconds that are counted twice or not at all. Idle cores count as idle
/// only as far as waiting tasks could use them, and the work of a machine that fails counts as
/// lost. Twelve machines of 4 cores belong to one controller; tasks run for 20 s.
#[test]
fn every_core_second_is_accounted_for() {
    let mut world = World::new(Setup {
        zones: vec!["a"],
        machines: vec![("a", 12)],
        ..Setup::default()
    });
    world.run(5.0);
    for worker in world.workers.values_mut() {
        worker.run_ms = 20_000.0;
    }
    world.account();
    // 12 tasks of 2 cores use half of the 48 cores.
    world.submit(&World::spec("j-000001", "sweep", 12));
    world.run(15.0);
    let half = world.account();
    let cores = 15.0 * 48.0;
    assert!((half.total() - cores).abs() < 0.1 * cores, "{half:?}");
    let arrays = half.get(CoreUse::Arrays) + half.get(CoreUse::Starting) + half.get(CoreUse::Round);
    assert!((arrays - cores / 2.0).abs() < 0.1 * cores, "{half:?}");
    assert_eq!(half.get(CoreUse::Lost), 0.0);

    // A machine fails with its tasks: about 17 s of 2 cores are lost for each task.
    let dead = world
        .workers
        .values()
        .find(|x| !x.tasks.is_empty())
        .unwrap();
    let (dead, tasks) = (dead.host.clone(), dead.tasks.len() as f64);
    world.workers.remove(&dead);
    world.run(60.0);
    let lost = world.account().get(CoreUse::Lost);
    let least = 15.0 * 2.0 * tasks;
    assert!(lost > least - 5.0 && lost < 2.0 * least, "{lost}");
    assert_eq!(world.controllers[0].as_ref().unwrap().mirror.open.len(), 0);
}
