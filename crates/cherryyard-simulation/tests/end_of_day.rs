//! Checks at the end of a scenario that no job is lost or starved, and scenarios of the newer
//! faults alone, overlapping, and at every step of a claim of a shard's lease.

use cherryyard_simulation::{Setup, Users, World, run_seeds, seeded_draws};
use cherryyard_wire::job::JobSpec;

fn cluster(tuning: impl Fn(&mut Setup)) -> World {
    let mut setup = Setup {
        machines: vec![("a", 4), ("b", 4), ("c", 4)],
        write_rps: 60.0,
        ..Setup::default()
    };
    tuning(&mut setup);
    let mut world = World::new(setup);
    for worker in world.workers.values_mut() {
        worker.run_ms = 4000.0;
    }
    world.run(5.0);
    world
}

fn spec(job: usize, task_count: u32, cores: f64) -> JobSpec {
    let mut spec = World::spec(&format!("j-{job:06}"), "sweep", task_count);
    (spec.cores, spec.expected_s) = (cores, 4.0);
    spec
}

/// Submits many small jobs and a few large arrays for `seconds`.
fn flood(users: &mut Users, world: &mut World, seconds: usize) {
    for second in 0..seconds {
        users.submit(world, &spec(100 + second, 8, 2.0));
        if second % 8 == 4 {
            users.submit(world, &spec(50 + second / 8, 60, 2.0));
        }
        users.run(world, 1.0);
    }
}

/// Tests the check itself: a correct build passes, and each deliberately broken build is detected.
#[test]
fn broken_builds_are_detected() {
    let scenario = |turn_s: f64, never: Option<&str>, skip: bool| {
        let mut world = cluster(|s| s.tuning.admission.aging_s = turn_s);
        let mut users = Users::default();
        users.unanswered_job = never.map(Into::into);
        flood(&mut users, &mut world, 250);
        if skip {
            // A broken build that loses a job that it accepted.
            let key = cherryyard_wire::record::job_key(5);
            assert!(world.state.get(&key).is_none());
            users.submit(&mut world, &spec(5, 1, 2.0));
            users.violations.clear();
        }
        users.run(&mut world, 80.0);
        assert!(world.violations.is_empty(), "{:?}", world.violations);
        let faults_ended_at = world.now - 80_000.0;
        users.violations_since(&world, faults_ended_at)
    };
    assert_eq!(scenario(60.0, None, true), Vec::<String>::new());
    let violations = scenario(1e9, None, false);
    assert!(
        violations.iter().any(|x| x.starts_with("largest of")),
        "{violations:?}"
    );
    assert_eq!(
        scenario(60.0, Some("j-000120"), false),
        ["j-000120 is forgotten"]
    );
}

/// Guards against duplicate tasks and wrong releases when a controller loses the state service
/// and its peers, but not its workers, twice in a row. The durations lie around each threshold,
/// with a cancellation and a submission meanwhile. The cancelled job's tasks stop in time, no
/// running task starts twice, and the controller recovers without a release of a machine.
#[test]
fn a_controller_cut_from_state_and_peers() {
    for seconds in [1.0, 4.9, 5.1, 9.0, 10.5, 20.0, 28.0, 31.0, 39.0, 41.0, 60.0] {
        let mut world = cluster(|_| {});
        let mut users = Users::default();
        for worker in world.workers.values_mut() {
            worker.run_ms = f64::INFINITY;
        }
        for job in 1..=3 {
            users.submit(
                &mut world,
                &World::spec(&format!("j-00000{job}"), "service", 6),
            );
        }
        users.run(&mut world, 6.0);
        assert_eq!(world.running_task_count(), 18);
        for again in 0..2 {
            world.state_link.refused.insert(0);
            world.network.isolated.insert(0);
            users.run(&mut world, seconds / 2.0);
            if again == 0 {
                users.cancel(&mut world, 1, "j-000003");
                users.submit(&mut world, &World::spec("j-000004", "service", 3));
            }
            users.run(&mut world, seconds / 2.0);
            world.state_link.refused.clear();
            world.network.isolated.clear();
            users.run(&mut world, 12.0);
        }
        let faults_ended_at = world.now;
        users.run(&mut world, 80.0);
        assert!(
            world.violations.is_empty(),
            "{seconds} s: {:?}",
            world.violations
        );
        assert_eq!(
            users.violations_since(&world, faults_ended_at),
            Vec::<String>::new(),
            "{seconds} s"
        );
        assert_eq!(
            (world.running_task_count(), world.workers.len()),
            (15, 12),
            "{seconds} s"
        );
    }
}

/// Records the trace of a controller that loses the state service and its peers, but not its
/// workers.
#[test]
fn trace_of_a_controller_cut_from_state_and_peers() {
    let mut world = World::new(Setup {
        machines: vec![("a", 1), ("b", 1)],
        ..Setup::default()
    });
    world.run(5.0);
    world.submit(&World::spec("j-000001", "service", 1));
    world.submit(&World::spec("j-000002", "sweep", 1));
    world.run(3.0);
    world.trace_line("node-0 is alone with its workers");
    world.state_link.refused.insert(0);
    world.network.isolated.insert(0);
    world.run(3.0);
    world.cancel(1, "j-000001");
    world.run(45.0);
    world.trace_line("it is back");
    world.state_link.refused.clear();
    world.network.isolated.clear();
    world.run(30.0);
    assert!(world.violations.is_empty(), "{:?}", world.violations);
    insta::assert_snapshot!(world.trace.join("\n"));
}

/// Records the trace of a machine that receives neither responses nor commands.
#[test]
fn trace_of_a_machine_without_inbound_traffic() {
    let mut world = World::new(Setup {
        machines: vec![("a", 2)],
        ..Setup::default()
    });
    world.duplicates.delay_ms = Some(12_000.0);
    world.run(5.0);
    world.submit(&World::spec("j-000001", "sweep", 3));
    world.run(5.0);
    world.trace_line("host-000000 hears nothing");
    world.network.inbound_lost.insert("host-000000".into());
    world.run(40.0);
    world.submit(&World::spec("j-000002", "sweep", 2));
    world.run(10.0);
    world.trace_line("host-000000 hears again");
    world.network.inbound_lost.clear();
    world.run(20.0);
    world.restart_machine("host-000001");
    world.run(20.0);
    assert!(world.violations.is_empty(), "{:?}", world.violations);
    insta::assert_snapshot!(world.trace.join("\n"));
}

/// Guards against shards with two leases or without an owner: the leader ends and restarts, and
/// at every step of the first three seconds of the takeover it and its successor end once more
/// and restart after 0, 50 or 500 ms. All shards are owned again within seconds, and running
/// tasks go on.
#[test]
fn controllers_end_at_every_step_of_a_claim() {
    for back in [0.0, 0.05, 0.5] {
        for step in 0..60 {
            let mut world = World::new(Setup {
                machines: vec![("a", 2), ("b", 1), ("c", 1)],
                ..Setup::default()
            });
            world.run(5.0);
            world.submit(&World::spec("j-000001", "service", 6));
            world.run(4.0);
            let leads = |n: &cherryyard_core::Controller| n.leadership_token().is_some();
            let leader = world
                .controllers
                .iter()
                .position(|n| n.as_ref().is_some_and(leads));
            let leader = leader.expect("a leader");
            world.kill(leader);
            world.run(back);
            world.start(leader);
            world.run(f64::from(step) * 0.05);
            let successor = (leader + 1) % 3;
            for i in [leader, successor] {
                world.kill(i);
                world.run(back);
                world.start(i);
            }
            world.run(20.0);
            let case = format!("back after {back} s, step {step}");
            assert_eq!(
                world.running_task_count(),
                6,
                "{case}: {}",
                world.trace.join("\n")
            );
            assert!(
                world.violations.is_empty(),
                "{case}: {:?}",
                world.violations
            );
            let leaders = world
                .controllers
                .iter()
                .flatten()
                .filter(|n| leads(n))
                .count();
            assert_eq!(leaders, 1, "{case}");
        }
    }
}

/// Runs a random scenario of overlapping newer and older faults while users submit, cancel and
/// poll; at the end no job may be lost or starved.
fn scenario(seed: u64) {
    let mut draw = seeded_draws(seed);
    let mut world = cluster(|_| {});
    (world.cloud.provisioning_ms, world.cloud.provisioned_run_ms) = (Some(5000.0), 4000.0);
    let mut users = Users::default();
    let mut job = 100;
    for _ in 0..25 {
        for _ in 0..draw(5) {
            job += 1;
            let task_count = [1, 4, 12, 60][draw(4) as usize];
            let mut spec = spec(job, task_count, [0.5, 2.0, 4.0][draw(3) as usize]);
            spec.job_class = ["portal", "posting"][draw(2) as usize].into();
            users.submit(&mut world, &spec);
        }
        let hosts: Vec<String> = world.workers.keys().cloned().collect();
        let host = hosts.get(draw(hosts.len().max(1) as u64) as usize);
        let host = host.cloned().unwrap_or_default();
        let i = draw(3) as usize;
        match draw(10) {
            0 => drop(world.network.inbound_lost.insert(host)),
            1 => world
                .network
                .inbound_lost
                .extend(hosts.into_iter().filter(|_| draw(3) == 0)),
            2 => world.duplicates.delay_ms = Some(500.0 + draw(44_500) as f64),
            3 => world.restart_machine(&host),
            4 => {
                world.kill(i);
                users.run(&mut world, [0.0, 0.5, 0.5, 4.0][draw(4) as usize]);
                world.start(i);
            }
            5 => drop(world.processes.frozen.insert(i)),
            6 => {
                world.state_link.refused.insert(i);
                world.network.isolated.insert(i);
            }
            7 => world.state_link.refused.extend([0, 1, 2]),
            _ => {
                world.network.inbound_lost.clear();
                world.processes.frozen.clear();
                world.network.isolated.clear();
                world.state_link.refused.clear();
            }
        }
        users.run(&mut world, 1.0 + draw(16) as f64 / 2.0);
        world.list_machines();
    }
    world.network.inbound_lost.clear();
    world.processes.frozen.clear();
    world.network.isolated.clear();
    world.state_link.refused.clear();
    let faults_ended_at = world.now;
    for _ in 0..50 {
        users.run(&mut world, 5.0);
        world.list_machines();
    }
    assert!(
        world.violations.is_empty(),
        "seed {seed}: {:?}",
        world.violations
    );
    let violations = users.violations_since(&world, faults_ended_at);
    assert!(violations.is_empty(), "seed {seed}: {violations:?}");
}

#[test]
fn random_scenarios() {
    (0..10).for_each(scenario);
}

/// Runs on demand; the environment variables `FROM` and `SEEDS` choose the seeds.
#[test]
#[ignore = "minutes"]
fn random_days_by_the_hundred() {
    run_seeds(10, 200, scenario);
}
