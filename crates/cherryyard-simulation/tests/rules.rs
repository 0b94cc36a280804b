//! Running tasks survive outages and restarts, and responses to users never go back in time.

mod common;

use cherryyard_core::Mirror;
use cherryyard_simulation::{Setup, World};
use cherryyard_wire::job::JobStatus;
use cherryyard_wire::record::admission_log_key;
use cherryyard_wire::state::{WatchEvent, WatchResponse};
use common::settled::settled;

/// Guards against tasks stopped by an outage of the state service for all controllers: nobody can
/// cancel jobs then, so workers' leases are renewed as long as it lasts, and nothing new starts.
#[test]
fn running_tasks_survive_an_outage_for_all() {
    let mut world = settled(Setup::default());
    world.submit(&World::spec("j-000001", "service", 3));
    world.run_until(5.0, |world| world.running_task_count() == 3);
    world.submit(&World::spec("j-000002", "service", 1));
    world.state_link.refused.extend([0, 1, 2]);
    world.run(90.0);
    assert_eq!(world.running_task_count(), 3, "{}", world.trace.join("\n"));
    world.state_link.refused.clear();
    world.run(10.0);
    assert_eq!(world.running_task_count(), 4, "{}", world.trace.join("\n"));
    assert!(world.violations.is_empty(), "{:?}", world.violations);
}

/// Guards against responses older than earlier ones: at another controller, at one that is cut
/// off afterwards, and after a late event of the watch.
#[test]
fn reads_never_go_back() {
    let mut world = settled(Setup::default());
    world.submit(&World::spec("j-000001", "service", 1));
    world.run(2.0);
    let old = world.state.events(0);
    world.cancel(0, "j-000001");
    for i in [1, 2, 0] {
        let status = world.view(i, "j-000001").map(|v| v.status);
        assert_eq!(status, Some(JobStatus::Cancelled), "node-{i}");
    }
    world.state_link.refused.insert(1);
    let now = world.now;
    let controller = world.controllers[1].as_mut().unwrap();
    controller.handle_watch_response(&old, now, now);
    let late = WatchEvent {
        set: Some(admission_log_key(0)),
        delete: None,
        value: old
            .events
            .iter()
            .find(|c| c.set == Some(admission_log_key(0)))
            .unwrap()
            .value
            .clone(),
        revision: controller.mirror.store_revision + 5,
    };
    controller.handle_watch_response(
        &WatchResponse {
            store_revision: controller.mirror.store_revision + 5,
            events: vec![late],
        },
        now,
        now,
    );
    assert_eq!(
        world.view(1, "j-000001").map(|v| v.status),
        Some(JobStatus::Cancelled)
    );
    let open = &world.controllers[1].as_ref().unwrap().mirror.open;
    assert!(
        !open.contains_key(&1),
        "the cancelled job must not be open again"
    );
}

/// Records the trace of a rolling restart: running tasks go on, each restarted controller gets
/// its shard back at once, and the job completes.
#[test]
fn trace_of_a_rolling_restart() {
    let mut world = settled(Setup::default());
    for x in world.workers.values_mut() {
        x.run_ms = 9000.0;
    }
    world.submit(&World::spec("j-000001", "sweep", 9));
    for i in 0..3 {
        world.run(2.0);
        world.kill(i);
        world.run(4.0);
        world.start(i);
    }
    world.run(30.0);
    let view = world.view(2, "j-000001").unwrap();
    assert_eq!(
        (view.status, view.done),
        (JobStatus::Done, 9),
        "{}",
        world.trace.join("\n")
    );
    assert!(world.violations.is_empty(), "{:?}", world.violations);
    insta::assert_snapshot!(world.trace.join("\n"));
}

/// Guards against disruption when only the connections between controllers fail. The leader stays
/// the same (once, leadership moved among all controllers every few seconds), and a job is still
/// divided among all shards by the cloud's list and the assignments (once, the leader's own shard
/// got everything).
#[test]
fn lost_connections_between_controllers_keep_the_leader() {
    let mut world = settled(Setup::default());
    world.list_machines();
    world.run(5.0);
    let leadership = world.state.get("c/lead").unwrap().1;
    world.network.isolated.extend([0, 1, 2]);
    world.run(20.0);
    world.list_machines();
    world.run(3.0);
    world.submit(&World::spec("j-000001", "sweep", 6));
    world.run(3.0);
    assert_eq!(
        world.state.get("c/lead").unwrap().1,
        leadership,
        "the leader changed"
    );
    assert_eq!(world.running_task_count(), 6, "{}", world.trace.join("\n"));
    assert!(world.violations.is_empty(), "{:?}", world.violations);
}

/// Guards against errors of a full read in chunks, between which other events are processed: keys
/// that it lacks are removed only at its end, and newer values stay.
#[test]
fn a_full_read_in_chunks() {
    let mut world = settled(Setup::default());
    for n in 1..=8 {
        world.submit(&World::spec(&format!("j-{n:06}"), "service", 1));
    }
    world.run(10.0);
    world.cancel(0, "j-000003");
    world.run(10.0);
    let watched_mirror = &world.controllers[0].as_ref().unwrap().mirror;
    let mut mirror = Mirror::new(&world.controllers[0].as_ref().unwrap().config);
    let (pairs, store_revision) = (world.state.pairs(), world.state.store_revision());
    mirror.begin_load();
    for some in pairs.chunks(2) {
        mirror.apply_read_page(some);
        assert!(!mirror.loaded && mirror.store_revision == 0);
    }
    mirror.end_load(store_revision);
    assert!(mirror.loaded && mirror.store_revision == store_revision);
    for job in 1..=9 {
        assert_eq!(mirror.view(job), watched_mirror.view(job), "{job}");
    }
    // A read after the page of jobs was deleted; then one that is older than the page in memory.
    let newest = pairs
        .iter()
        .find(|p| p.key == admission_log_key(0))
        .unwrap()
        .revision;
    mirror.begin_load();
    for some in pairs.chunks(2) {
        let left: Vec<_> = some
            .iter()
            .filter(|p| p.key != admission_log_key(0))
            .cloned()
            .collect();
        mirror.apply_read_page(&left);
    }
    assert!(mirror.view(5).is_some());
    mirror.end_load(store_revision);
    assert!(mirror.view(5).is_none() && mirror.view(8).is_none());
    mirror.begin_load();
    mirror.apply_read_page(&pairs);
    mirror.end_load(store_revision);
    mirror.begin_load();
    let old: Vec<_> = pairs
        .iter()
        .filter(|p| p.revision < newest)
        .cloned()
        .collect();
    mirror.apply_read_page(&old);
    mirror.store_revision = newest - 1;
    mirror.end_load(newest - 1);
    assert!(mirror.view(8).is_some());
}
