//! Direct commands that were carried out and answered reach their machine once more, at any later
//! time.

mod common;

use cherryyard_simulation::{Fault, Question, Setup, Users, World, run_seeds, seeded_draws};
use common::combinations::{assert_recovers, job};

/// Seconds after the end of a task at which copies of all answered commands arrive.
const COPY_TIMES_S: [f64; 6] = [0.5, 3.0, 20.0, 40.0, 100.0, 300.0];

/// Largest heartbeat of a machine, a quarter of the largest body that controllers accept.
const MAX_HEARTBEAT_BYTES: usize = 16 * 1024;
/// Fewest copies in a random day; with fewer it would show little.
const MIN_COPIES: usize = 50;

/// Returns a running cluster with the given number of machines in each zone, in which answered
/// commands are recorded.
fn cluster(machines: usize) -> World {
    let mut world = World::new(Setup {
        machines: vec![("a", machines), ("b", machines), ("c", machines)],
        write_rps: 60.0,
        ..Setup::default()
    });
    world.cloud.list_interval_ms = Some(5000.0);
    world.command_copies.recording = true;
    world.run(6.0);
    world
}

/// Delivers copies of all answered starts at each of [`COPY_TIMES_S`] from now on. No copy may start
/// a task.
fn assert_copies_start_nothing(world: &mut World, case: &str) {
    assert!(!world.command_copies.answered.is_empty(), "{case}");
    let since = world.now;
    for time_s in COPY_TIMES_S {
        world.run((since - world.now) / 1000.0 + time_s);
        world.deliver_recorded_starts();
        world.run(0.05);
    }
    let trace = world.trace.join("\n");
    let started = world.trace.iter().filter(|line| line.contains("copy: "));
    let started: Vec<&String> = started.collect();
    assert_eq!(started, Vec::<&String>::new(), "{case}\n{trace}");
    assert!(
        world.violations.is_empty(),
        "{case}: {:?}\n{trace}",
        world.violations
    );
}

/// Guards against a task that runs twice: it fails on one machine and runs on another, and a copy
/// of its first start arrives.
#[test]
fn copies_of_starts_of_failed_tasks_start_nothing() {
    let mut world = cluster(2);
    let failing = world.workers.values_mut().next().expect("a machine");
    failing.tasks_fail = true;
    failing.run_ms = 1200.0;
    world.submit(&World::spec("j-000001", "service", 8));
    world.run_until(30.0, |world| {
        world.running_task_count() == 8
            && world
                .trace
                .iter()
                .any(|line| line.contains("ends j-000001/"))
    });
    assert_copies_start_nothing(&mut world, "failed and started elsewhere");
    assert_eq!(world.running_task_count(), 8);
}

/// Guards against tasks that run again after their job was cancelled and they have stopped.
#[test]
fn copies_of_starts_of_a_cancelled_job_start_nothing() {
    let mut world = cluster(1);
    world.submit(&World::spec("j-000001", "service", 4));
    world.run_until(10.0, |world| world.running_task_count() == 4);
    world.cancel(0, "j-000001");
    world.run_until(10.0, |world| world.running_task_count() == 0);
    assert_copies_start_nothing(&mut world, "cancelled");
    assert_eq!(world.running_task_count(), 0);
    assert_eq!(world.started_cancelled(), 0);
}

/// Guards against tasks that run twice after they have been moved from machines of one shard that
/// make way for a more important job.
#[test]
fn copies_of_starts_of_moved_tasks_start_nothing() {
    let mut world = cluster(2);
    let mut low = World::spec("j-000001", "service", 6);
    low.rank = serde_json::from_str("\"best_effort\"").expect("a rank");
    low.together = true;
    world.submit(&low);
    world.run_until(20.0, |world| world.running_task_count() >= 4);
    let mut high = World::spec("j-000002", "service", 9);
    high.rank = serde_json::from_str("\"critical\"").expect("a rank");
    world.submit(&high);
    world.run_until(60.0, |world| {
        world
            .trace
            .iter()
            .any(|line| line.contains("stops j-000001/"))
    });
    assert_copies_start_nothing(&mut world, "moved");
}

/// Guards against tasks that run twice or after their cancellation when the owner that started them
/// ends and is back within a second.
#[test]
fn copies_of_starts_after_quick_restarts_start_nothing() {
    for back_s in [0.0, 0.2, 0.9] {
        let mut world = cluster(2);
        world.submit(&World::spec("j-000001", "service", 6));
        world.submit(&World::spec("j-000002", "service", 6));
        world.run_until(10.0, |world| world.running_task_count() == 12);
        world.request_until_answered(1, "j-000002", Question::Cancel);
        for i in 0..3 {
            world.kill(i);
            world.run(back_s);
            world.start(i);
        }
        world.run_until(30.0, |world| world.running_task_count() == 6);
        assert_copies_start_nothing(&mut world, &format!("back after {back_s} s"));
        assert_eq!(world.running_task_count(), 6, "back after {back_s} s");
    }
}

/// Returns a cluster in which a task has failed on one machine and runs on another, and the name of
/// the first machine, which has just restarted.
fn cluster_with_restarted_machine() -> (World, String) {
    let mut world = cluster(2);
    world.submit(&World::spec("j-000001", "service", 1));
    world.run_until(10.0, |world| world.running_task_count() == 1);
    let mut workers = world.workers.values_mut();
    let worker = workers.find(|worker| worker.runs("j-000001/0"));
    let worker = worker.expect("a machine");
    (worker.tasks_fail, worker.run_ms) = (true, 0.0);
    let host = worker.host.clone();
    world.run_until(10.0, |world| {
        world.running_task_count() == 1 && !world.workers[&host].runs("j-000001/0")
    });
    world.restart_machine(&host);
    (world, host)
}

/// Guards against a task that runs twice: a machine on which it failed restarts and holds no attempt
/// any more, and a copy of its start arrives once the restart is known.
#[test]
fn copies_of_starts_after_a_machine_restarted_start_nothing() {
    let (mut world, _) = cluster_with_restarted_machine();
    world.run(6.0);
    assert_copies_start_nothing(&mut world, "restarted");
}

/// Guards against the same before the restarted worker has its first answer, when it accepts any
/// token.
#[test]
fn copies_of_starts_at_the_moment_of_a_restart_start_nothing() {
    let (mut world, host) = cluster_with_restarted_machine();
    assert_eq!(world.workers[&host].fencing_token, 0);
    world.deliver_recorded_starts();
    assert!(world.violations.is_empty(), "{:?}", world.violations);
}

/// Guards against the same at each moment in the seconds after the restart, while the owner learns of
/// it, and after a second restart.
#[test]
fn copies_of_starts_at_any_moment_after_a_restart_start_nothing() {
    let (mut world, host) = cluster_with_restarted_machine();
    for step in 0..200 {
        if step == 100 {
            world.restart_machine(&host);
        }
        world.deliver_recorded_starts();
        world.run(0.05);
    }
    assert!(world.violations.is_empty(), "{:?}", world.violations);
    assert_copies_start_nothing(&mut world, "restarted twice");
    assert_eq!(world.running_task_count(), 1);
}

/// Guards against requests for heartbeats that stay on a worker: copies of all of them, also of those
/// to the worker's former process, are cleared.
#[test]
fn copies_of_heartbeat_requests_are_cleared() {
    let (mut world, host) = cluster_with_restarted_machine();
    world.run(10.0);
    world.deliver_recorded_starts();
    let tasks = |world: &World| world.workers[&host].tasks.len();
    assert_eq!(tasks(&world), 1, "one request is held, however many arrive");
    world.run_until(3.0, |world| tasks(world) == 0);
}

/// Guards against a preempted task that waits for long although its only machine is free again,
/// because its ended attempt there is not cleared.
#[test]
fn a_preempted_task_returns_to_its_only_machine() {
    let mut world = World::new(Setup {
        machines: vec![("a", 1)],
        ..Setup::default()
    });
    world.run(10.0);
    world.submit(&World::spec("j-000001", "service", 2));
    world.run(2.0);
    let mut whole = World::spec("j-000002", "service", 1);
    whole.cores = 4.0;
    whole.rank = serde_json::from_str("\"high\"").expect("a rank");
    world.submit(&whole);
    world.run(8.0);
    world.cancel(0, "j-000002");
    world.run_until(6.0, |world| world.running_copies("j-000001/1") == 1);
    assert!(world.violations.is_empty(), "{:?}", world.violations);
}

/// Guards against heartbeats that grow with the attempts that are not cleared yet: hundreds of short
/// tasks run on a machine in a lease time, and the state service is out for a while.
#[test]
fn uncleared_attempts_leave_heartbeats_small() {
    let mut world = World::new(Setup {
        machines: vec![("a", 1)],
        write_rps: 200.0,
        ..Setup::default()
    });
    let host = "host-000000";
    world.run(6.0);
    world.workers.get_mut(host).expect("the machine").run_ms = 300.0;
    for number in 1..=20 {
        let mut spec = job(number, "sweep", 100);
        (spec.cores, spec.ram_gb, spec.expected_s) = (0.05, 0.05, 0.3);
        world.submit(&spec);
    }
    let mut largest_heartbeat = 0;
    for step in 0..1200 {
        match step {
            300 => world.state_link.refused.extend([0, 1, 2]),
            500 => world.state_link.refused.clear(),
            _ => {}
        }
        world.run(0.05);
        let heartbeat = world.workers[host].clone().next_heartbeat(world.now);
        let bytes = serde_json::to_vec(&heartbeat).expect("a heartbeat").len();
        largest_heartbeat = largest_heartbeat.max(bytes);
    }
    let completed = world.checker.completed.len();
    assert!(completed > 1000, "{completed} tasks have completed");
    assert!(
        largest_heartbeat <= MAX_HEARTBEAT_BYTES,
        "{largest_heartbeat} bytes"
    );
    assert!(world.violations.is_empty(), "{:?}", world.violations);
}

/// Runs a random day of two minutes: short jobs, failing machines, cancellations, and controllers
/// that are back at once, while each answered command reaches its machine once more.
fn day(seed: u64) {
    let mut draw = seeded_draws(seed);
    let mut world = cluster(4);
    world.command_copies.recording = false;
    Fault::DuplicatedCommands.begin(&mut world, &mut draw);
    for (k, worker) in world.workers.values_mut().enumerate() {
        worker.run_ms = 2000.0 + draw(6000) as f64;
        worker.tasks_fail = k % 5 == 0;
    }
    world.cloud.provisioned_run_ms = 4000.0;
    let mut users = Users::default();
    let mut open: Vec<String> = Vec::new();
    for number in 100..220 {
        let shape = if draw(6) == 0 { "service" } else { "sweep" };
        let spec = job(number, shape, [1, 2, 3, 4][draw(4) as usize]);
        users.submit(&mut world, &spec);
        open.push(spec.id);
        if draw(3) == 0 {
            let id = open.swap_remove(draw(open.len() as u64) as usize);
            world.request_until_answered(draw(3) as usize, &id, Question::Cancel);
        }
        if draw(12) == 0 {
            let i = draw(3) as usize;
            world.kill(i);
            users.run(&mut world, [0.0, 0.1, 0.5, 1.0][draw(4) as usize]);
            world.start(i);
        }
        users.run(&mut world, 1.0);
    }
    for worker in world.workers.values_mut() {
        worker.tasks_fail = false;
    }
    let copies = world.command_copies.delivered;
    assert!(copies >= MIN_COPIES, "seed {seed}: {copies} copies");
    assert_recovers(&mut world, &mut users, &format!("seed {seed}"));
}

#[test]
fn random_days_with_copies_of_commands() {
    (0..10).for_each(day);
}

/// Runs on demand; the environment variables `FROM` and `SEEDS` choose the seeds.
#[test]
#[ignore = "minutes"]
fn random_days_with_copies_of_commands_by_the_thousand() {
    run_seeds(10, 1000, day);
}
