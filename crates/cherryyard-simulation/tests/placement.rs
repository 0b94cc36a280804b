//! Placement and start order of tasks: preemption, deadlines, failing jobs, lost replicas.

mod common;

use cherryyard_simulation::{Setup, World};
use cherryyard_wire::job::Rank;
use common::settled::{settled, starts};

/// Guards against a job that fails everywhere and is retried without a backoff or costs machines.
#[test]
fn a_job_that_always_fails_is_delayed() {
    let mut world = settled(Setup::default());
    for x in world.workers.values_mut() {
        x.run_ms = 200.0;
        x.tasks_fail = true;
    }
    world.submit(&World::spec("j-000001", "sweep", 1));
    world.run(120.0);
    let n = starts(&world, "j-000001/0").len();
    assert!((3..=20).contains(&n), "{n} starts");
    assert_eq!(world.workers.len(), 3);
}

/// Records the trace of a service that needs a whole machine: both tasks there are stopped, and
/// the machine is reserved for it. Once, the first freed cores went to a waiting task, and the
/// service never started.
#[test]
fn trace_of_preemption_for_a_whole_machine() {
    let mut world = settled(Setup {
        machines: vec![("a", 1)],
        ..Setup::default()
    });
    world.submit(&World::spec("j-000001", "sweep", 6));
    world.run(2.0);
    let mut spec = World::spec("j-000002", "service", 1);
    spec.cores = 4.0;
    spec.rank = Rank::High;
    world.submit(&spec);
    world.run(8.0);
    world.cancel(0, "j-000002");
    world.run(4.0);
    insta::assert_snapshot!(world.trace.join("\n"));
}

/// Guards against delays caused by jobs that are late anyway: a job that can no longer meet its
/// deadline starts after one that can, although it was submitted first and is due first.
#[test]
fn late_jobs_delay_no_others() {
    let mut world = settled(Setup {
        machines: vec![("a", 1)],
        ..Setup::default()
    });
    world.workers.get_mut("host-000000").unwrap().run_ms = 5000.0;
    world.submit(&World::spec("j-000001", "sweep", 2));
    world.run(1.0);
    for (id, due) in [("j-000002", 5.0), ("j-000003", 100.0)] {
        let mut spec = World::spec(id, "sweep", 2);
        spec.due_s = Some(due);
        world.submit(&spec);
    }
    world.run(20.0);
    let first = |id: &str| {
        world
            .trace
            .iter()
            .position(|l| l.contains(&format!("starts {id}/0")))
            .expect("it started")
    };
    assert!(
        first("j-000003") < first("j-000002"),
        "{}",
        world.trace.join("\n")
    );
}

/// Records the trace of a replica whose machine is lost. Only another shard holds its image: the
/// replica starts there at once, without a fetch of the image in its own shard and without the
/// delay.
#[test]
fn trace_of_a_lost_replica() {
    let mut world = settled(Setup {
        zones: vec!["a", "b"],
        machines: vec![("a", 2), ("b", 2)],
        ..Setup::default()
    });
    let service = |id: &str, zone: Option<&str>| {
        let mut spec = World::spec(id, "service", 1);
        spec.cores = 4.0;
        spec.image_gb = 12.0;
        spec.zone = zone.map(str::to_string);
        spec
    };
    // One machine in each zone gets the image.
    for (id, zone) in [("j-000001", "a"), ("j-000002", "b")] {
        world.submit(&service(id, Some(zone)));
    }
    world.run(8.0);
    world.cancel(0, "j-000001");
    world.cancel(0, "j-000002");
    world.run(4.0);
    world.submit(&service("j-000003", None));
    world.run(4.0);
    let holder = |world: &World| {
        let mut all = world.workers.values();
        all.find(|x| x.runs("j-000003/0")).map(|x| x.host.clone())
    };
    let first = holder(&world).expect("the replica runs");
    world.network.unreachable.insert(first.clone());
    world.trace_line(format!("{first} is lost"));
    world.run(14.0);
    let starts = starts(&world, "j-000003/0");
    assert_eq!(starts.len(), 2, "{}", world.trace.join("\n"));
    let other = world
        .workers
        .values()
        .find(|x| x.runs("j-000003/0") && x.host != first);
    let zone = |host: &str| usize::from(host.as_bytes()[10] - b'0') / 2;
    let other = other.expect("the replica runs again").host.clone();
    assert_ne!(zone(&other), zone(&first), "{}", world.trace.join("\n"));
    insta::assert_snapshot!(world.trace.join("\n"));
}

/// Returns a cluster in which one task of a service that must be apart runs in zone a and the other
/// waits, because the only machine of zone d is full; one shard has the machines of both zones. The
/// machine of the running task is then cut off as its owner ends and is back, while the cloud
/// releases no machine. Returns the cluster at that moment.
fn cluster_with_a_machine_cut_off_from_its_new_owner() -> World {
    let mut world = settled(Setup {
        machines: vec![("a", 6), ("d", 1)],
        report_s: 5.0,
        lease_s: 26.5,
        cancel_s: 56.5,
        ..Setup::default()
    });
    let mut filler = World::spec("j-000001", "service", 1);
    (filler.cores, filler.zone) = (4.0, Some("d".into()));
    world.submit(&filler);
    let mut others = World::spec("j-000002", "service", 6);
    (others.cores, others.zone) = (1.0, Some("a".into()));
    world.submit(&others);
    world.run_until(20.0, |world| world.running_task_count() == 7);
    let mut spread = World::spec("j-000003", "service", 2);
    (spread.cores, spread.apart) = (1.0, true);
    world.submit(&spread);
    world.run_until(20.0, |world| world.running_task_count() == 8);
    world.run(8.0);
    let mut workers = world.workers.values();
    let machine = workers.find(|worker| worker.runs("j-000003/0") || worker.runs("j-000003/1"));
    let machine = machine.expect("a machine").host.clone();
    world.cloud.down = true;
    world.trace_line(format!("{machine} is cut off"));
    world.network.unreachable.insert(machine);
    world.kill(0);
    world.run(0.3);
    world.start(0);
    world
}

/// Guards against both tasks of a spread service in one zone: a new owner requests the release of a
/// machine that it has not heard of, whose tasks then counted in no zone.
#[test]
fn a_machine_released_unheard_still_counts_in_its_zone() {
    let mut world = cluster_with_a_machine_cut_off_from_its_new_owner();
    world.run(60.0);
    let trace = world.trace.join("\n");
    assert!(world.cloud.releases_failed > 0, "{trace}");
    assert!(
        world.violations.is_empty(),
        "{:?}\n{trace}",
        world.violations
    );
    world.cloud.down = false;
    world.cancel(1, "j-000001");
    world.run_until(60.0, |world| world.zones_of("j-000003").len() == 2);
    assert!(world.violations.is_empty(), "{:?}", world.violations);
}

/// Guards against a spread service that waits for a machine although the cloud's list tells its
/// zone: the other task starts in another zone at once.
#[test]
fn a_listed_machine_counts_only_in_its_zone() {
    let mut world = cluster_with_a_machine_cut_off_from_its_new_owner();
    world.run(18.0);
    world.list_machines();
    world.cancel(1, "j-000001");
    world.run_until(5.0, |world| world.zones_of("j-000003") == ["a", "d"]);
    assert!(world.violations.is_empty(), "{:?}", world.violations);
}
