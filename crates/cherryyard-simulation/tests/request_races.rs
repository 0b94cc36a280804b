//! Users' requests that race each other, the end of a job, or its acceptance; invalid requests;
//! high rates of requests.

mod common;

use cherryyard_simulation::fault::leader;
use cherryyard_simulation::{Question, Setup, Users, World};
use common::combinations::{assert_recovers, cluster, job};

/// Guards against inconsistent responses when users ask all controllers within milliseconds and
/// repeat the submission, right after a job was accepted, ended or confirmed as cancelled; some
/// cancel at once. The state service is fast or slow, transactions or only their responses are
/// late or lost, and controllers end between a transaction and its response.
#[test]
fn concurrent_requests_right_after_a_response() {
    for slow_ms in [0.0, 300.0, 1500.0] {
        for (late, lost) in [(0, 0), (30, 0), (0, 30)] {
            for ends in [false, true] {
                let case = format!("{slow_ms} ms, {late}% late, {lost}% lost, ends {ends}");
                let mut world = cluster(0.0, 2.0);
                let mut users = Users::default();
                world.seed_state_link(slow_ms as u64 + late + lost);
                world.requests.seed(late + lost + u64::from(ends));
                (
                    world.state_link.latency_ms,
                    world.state_link.delayed_percent,
                    world.state_link.lost_response_percent,
                ) = (slow_ms, late, lost);
                world.requests.query_all_controllers = true;
                for second in 0..40u64 {
                    let shape = if second % 4 == 3 { "service" } else { "sweep" };
                    let spec = job(second + 1, shape, 1 + second as u32 % 3);
                    world.submit_at(second as usize % 3, &spec);
                    if second % 4 == 0 && second >= 8 {
                        let id = format!("j-{:06}", second - 4);
                        world.request_until_answered(second as usize % 3, &id, Question::Cancel);
                    }
                    let i = (second / 10) as usize % 3;
                    match second % 10 {
                        5 if ends => world.kill(i),
                        7 if ends => world.start(i),
                        _ => {}
                    }
                    users.run(&mut world, 1.0);
                }
                assert_recovers(&mut world, &mut users, &case);
                assert!(
                    world.requests.checked_responses > 500,
                    "{case}: {}",
                    world.requests.checked_responses
                );
            }
        }
    }
}

/// Guards against excessive writes and long waits at the smallest budgets, with four jobs of one
/// task a second for three minutes, a quarter of them cancelled.
#[test]
fn one_task_jobs_four_a_second() {
    let mut world = World::new(Setup {
        zones: vec!["a"; 7],
        machines: vec![("a", 28)],
        write_rps: 15.0,
        ..Setup::default()
    });
    for worker in world.workers.values_mut() {
        worker.run_ms = 6000.0;
    }
    world.cloud.list_interval_ms = Some(10_000.0);
    world.run(8.0);
    let mut users = Users::default();
    let (before, seconds) = (world.state.writes, 180);
    for n in 0..seconds * 4 {
        world.submit_at(n as usize % 7, &job(n + 1, "sweep", 1));
        if n % 4 == 3 {
            let id = format!("j-{:06}", n - n % 8);
            world.request_until_answered(n as usize % 5, &id, Question::Cancel);
        }
        if n % 2 == 1 {
            users.run(&mut world, 0.5);
        }
    }
    let writes = (world.state.writes - before) as f64 / seconds as f64;
    assert!(writes < 15.0, "{writes} writes a second");
    assert_recovers(&mut world, &mut users, "four a second");
    assert!(
        users.longest_unanswered_ms < 30_000.0,
        "{} ms without an answer",
        users.longest_unanswered_ms
    );
    let waited = users.longest_wait(&world);
    assert!(waited < 30_000.0, "{waited} ms until a task started");
}

/// Guards against races with the end of a job's last task: a cancellation, a poll or a repeated
/// submission arrives at each step around it, at any controller, with no other fault.
#[test]
fn requests_race_the_end_of_the_last_task() {
    for step in 0..24 {
        for at in 0..3 {
            let mut world = cluster(0.0, 3.0);
            let mut users = Users::default();
            world.requests.seed(step * 3 + at);
            world.requests.query_all_controllers = step % 2 == 0;
            for n in 1..=6 {
                world.submit_at(n as usize % 3, &job(n, "sweep", 1 + n as u32 % 3));
            }
            users.run(&mut world, 2.5);
            world.run(step as f64 * 0.1);
            for n in 1..=6u64 {
                let (i, id) = ((n + at) as usize % 3, format!("j-{n:06}"));
                match n % 3 {
                    0 => drop(world.request_until_answered(i, &id, Question::Cancel)),
                    1 => drop(world.request_once(i, &id, Question::Poll)),
                    _ => drop(world.submit_at(i, &job(n, "sweep", 1 + n as u32 % 3))),
                }
                world.request_until_answered((i + 1) % 3, &id, Question::Cancel);
                world.run(0.05);
            }
            users.run(&mut world, 10.0);
            assert_recovers(&mut world, &mut users, &format!("step {step}, at {at}"));
        }
    }
}

/// Guards against wrong responses to unusual requests: repeated submissions of open or ended
/// jobs, also with other fields; cancellations of ended jobs; jobs that cannot run or lack a
/// field.
#[test]
fn unusual_requests() {
    for seed in 0..6 {
        let mut world = cluster(24.0, 3.0);
        let mut users = Users::default();
        world.requests.seed(seed);
        (
            world.requests.odd_requests,
            world.requests.query_all_controllers,
        ) = (true, seed % 2 == 0);
        for second in 0..60u64 {
            world.submit_at(
                second as usize % 3,
                &job(second + 1, "sweep", 1 + second as u32 % 3),
            );
            if second % 7 == 6 {
                let id = format!("j-{second:06}");
                world.request_until_answered(second as usize % 3, &id, Question::Cancel);
            }
            if second == 30 && seed % 3 == 0 {
                let i = leader(&world);
                world.kill(i);
                world.start(i);
            }
            users.run(&mut world, 1.0);
        }
        assert!(
            world.requests.impossible.len() > 10,
            "{}",
            world.requests.impossible.len()
        );
        assert_recovers(&mut world, &mut users, &format!("seed {seed}"));
    }
}
