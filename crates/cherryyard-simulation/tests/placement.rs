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
