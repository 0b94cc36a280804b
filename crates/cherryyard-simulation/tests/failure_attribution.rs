//! Attribution of task failures to faulty jobs or to faulty machines.

use cherryyard_simulation::{Setup, World};
use std::collections::BTreeSet;

/// Returns a cluster of twelve machines on which tasks run for `run_ms` and jobs `bad` fail.
fn cluster(run_ms: f64, bad: &[&str]) -> World {
    let mut world = World::new(Setup {
        machines: vec![("a", 4), ("b", 4), ("c", 4)],
        ..Setup::default()
    });
    for worker in world.workers.values_mut() {
        worker.run_ms = run_ms;
        worker.failing_jobs = bad.iter().map(|s| s.to_string()).collect();
    }
    world.run(5.0);
    world
}

fn starts(world: &World, from: usize, job: &str) -> Vec<String> {
    let needle = format!("starts {job}/");
    let lines = world.trace[from..].iter();
    lines.filter(|l| l.contains(&needle)).cloned().collect()
}

fn is_done(world: &mut World, id: &str) -> bool {
    world
        .view(1, id)
        .is_some_and(|v| v.status == cherryyard_wire::job::JobStatus::Done)
}

/// Guards against machines that are returned because of faulty jobs: once, four failures returned
/// a machine, and one array of forty tasks emptied the fleet. Three arrays fail on every machine,
/// beside good ones. No machine is returned or avoided, the good jobs complete in time, and the
/// starts of the faulty ones are bounded.
#[test]
fn failing_jobs_cause_no_machine_returns() {
    let mut world = cluster(2000.0, &["j-000001", "j-000002", "j-000003"]);
    for job in 1..=3 {
        world.submit(&World::spec(&format!("j-00000{job}"), "sweep", 40));
    }
    for second in 0..60 {
        if second % 10 == 0 {
            let id = format!("j-00001{}", second / 10);
            world.submit(&World::spec(&id, "sweep", 24));
        }
        world.run(1.0);
        world.list_machines();
    }
    world.run(10.0);
    assert_eq!(world.workers.len(), 12, "{}", world.trace.join("\n"));
    for job in 0..6 {
        assert!(
            is_done(&mut world, &format!("j-00001{job}")),
            "j-00001{job}"
        );
    }
    for job in 1..=3 {
        let tries = starts(&world, 0, &format!("j-00000{job}")).len();
        // A first batch on each shard, then one start at a time, some seconds apart.
        assert!((9..=100).contains(&tries), "{tries}");
    }
    assert!(world.violations.is_empty(), "{:?}", world.violations);
}

/// Guards against further attempts of a failing job after its cancellation.
#[test]
fn a_cancelled_failing_job_is_not_retried() {
    let mut world = cluster(2000.0, &["j-000001"]);
    world.submit(&World::spec("j-000001", "sweep", 40));
    world.run(20.0);
    world.cancel(0, "j-000001");
    world.run(1.0);
    let from = world.trace.len();
    world.run(80.0);
    assert!(starts(&world, from, "j-000001").is_empty());
}

/// Guards against a faulty machine that fails every task and stays: the failed jobs complete on
/// other machines, none of them is delayed, and the machine is returned.
#[test]
fn a_faulty_machine_is_returned() {
    let mut world = cluster(3000.0, &[]);
    let name = "host-000001".to_string();
    world.workers.get_mut(&name).unwrap().tasks_fail = true;
    world.workers.get_mut(&name).unwrap().run_ms = 300.0;
    for second in 0..60 {
        if second % 2 == 0 && second < 50 {
            let id = format!("j-{:06}", second + 1);
            world.submit(&World::spec(&id, "sweep", 12));
        }
        world.run(1.0);
        world.list_machines();
    }
    world.run(5.0);
    for second in (0..50).step_by(2) {
        assert!(is_done(&mut world, &format!("j-{:06}", second + 1)));
    }
    assert!(
        !world.workers.contains_key(&name),
        "the faulty machine is still there"
    );
    assert_eq!(world.workers.len(), 11);
}

/// Guards against a job that fails everywhere for some time and is then never retried: it
/// completes within the longest backoff, also if its shard's owner ends meanwhile and its
/// successor starts to count failures from zero.
#[test]
fn a_job_that_fails_temporarily_completes() {
    for ends in [false, true] {
        let mut world = cluster(2000.0, &["j-000001"]);
        world.submit(&World::spec("j-000001", "sweep", 6));
        world.run(30.0);
        if ends {
            world.restart_all();
            world.run(10.0);
        }
        for worker in world.workers.values_mut() {
            worker.failing_jobs = BTreeSet::new();
        }
        let at = world.now;
        while !is_done(&mut world, "j-000001") {
            world.run(1.0);
            assert!(world.now - at < 48_000.0, "{}", world.trace.join("\n"));
        }
    }
}
