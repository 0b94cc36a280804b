//! Jobs with dependencies: order, cancellations, urgency, large graphs.

mod common;

use cherryyard_simulation::{Pipelines, Question, Response, Setup};
use cherryyard_wire::job::JobStatus;
use cherryyard_wire::record::job_key;
use common::pipelines::{
    accepted, array, ask, assert_no_violation, cancel, cluster, cluster_of, id, status, status_at,
    submit,
};

/// Guards against jobs that start before their dependencies are done: stages run in order, and a
/// poll returns the dependencies that are not done.
#[test]
fn stages_run_one_after_the_other() {
    let mut world = cluster(3.0);
    for spec in [
        array(1, 3, &[]),
        array(2, 4, &[1]),
        array(3, 2, &[1]),
        array(4, 2, &[2, 3]),
        array(5, 1, &[4, 1]),
    ] {
        assert_eq!(submit(&mut world, 1, &spec), Response::Taken);
    }
    let Response::View(view) = ask(&mut world, 2, &id(4), Question::Poll) else {
        panic!("no view");
    };
    assert_eq!(
        (view.status, view.waits_on),
        (JobStatus::Queued, vec![id(2), id(3)])
    );
    world.run_until(60.0, |world| world.is_complete(&id(5)));
    world.run(3.0);
    for i in 0..3 {
        assert_eq!(status_at(&mut world, i, 5), Some(JobStatus::Done));
    }
    // At most about half a second of delay for each of four stages.
    assert!(world.now < 32_000.0, "{}", world.now);
    assert_no_violation(&world);
}

/// Guards against dependents that survive a cancellation: all direct and indirect dependents are
/// reported as cancelled at once at every controller, also at one that restarts later. Their ends
/// are stored, and repeated requests are answered.
#[test]
fn dependents_are_cancelled_with_their_dependencies() {
    let mut world = cluster(f64::INFINITY);
    for spec in [
        array(1, 2, &[]),
        array(2, 2, &[1]),
        array(3, 1, &[2]),
        array(4, 1, &[]),
        array(5, 1, &[3, 4]),
    ] {
        assert_eq!(submit(&mut world, 0, &spec), Response::Taken);
    }
    cancel(&mut world, 1, &id(1));
    for i in 0..3 {
        for job in [2, 3, 5] {
            assert_eq!(status_at(&mut world, i, job), Some(JobStatus::Cancelled));
        }
        assert_eq!(status_at(&mut world, i, 4), Some(JobStatus::Running));
    }
    world.run(10.0);
    for job in [2, 3, 5] {
        let record = world.state.get(&job_key(job)).expect("a record of its end");
        assert!(record.0.text().contains("cancelled"), "{record:?}");
    }
    world.kill(2);
    world.start(2);
    world.run(3.0);
    let Response::View(view) = ask(&mut world, 2, &id(5), Question::Poll) else {
        panic!("no view");
    };
    assert_eq!(view.cancelled_by, Some(id(3)));
    let again = submit(&mut world, 2, &array(5, 1, &[3, 4]));
    assert_eq!(status(&again), Some(JobStatus::Cancelled));
    // A new job that depends on a cancelled one is accepted and is cancelled.
    assert_eq!(submit(&mut world, 1, &array(6, 1, &[5])), Response::Taken);
    assert_eq!(status_at(&mut world, 0, 6), Some(JobStatus::Cancelled));
    world.run(60.0);
    assert_eq!(world.running_task_count(), 1);
    assert_no_violation(&world);
}

/// Guards against the cancellation of a completed job: it stays done, and its dependents run.
#[test]
fn a_late_cancellation_of_a_done_job_keeps_its_dependents() {
    let mut world = cluster(2.0);
    assert_eq!(submit(&mut world, 0, &array(1, 1, &[])), Response::Taken);
    assert_eq!(submit(&mut world, 0, &array(2, 1, &[1])), Response::Taken);
    world.run_until(20.0, |world| world.is_complete(&id(1)));
    world.run(3.0);
    let response = ask(&mut world, 1, &id(1), Question::Cancel);
    assert_eq!(status(&response), Some(JobStatus::Done));
    world.run_until(20.0, |world| world.is_complete(&id(2)));
    assert_no_violation(&world);
}

/// Guards against outdated responses for dependents: a cancellation is confirmed, and right after
/// that the state service is down for longer than a cancelled task may run on.
#[test]
fn a_cancellation_just_before_an_outage() {
    for i in 0..3 {
        let mut world = cluster(f64::INFINITY);
        assert_eq!(submit(&mut world, 0, &array(1, 2, &[])), Response::Taken);
        assert_eq!(submit(&mut world, 0, &array(2, 2, &[1])), Response::Taken);
        world.run(2.0);
        let request = world.request_once(i, &id(1), Question::Cancel);
        world.run_until(6.0, |world| world.requests.answers.contains_key(&request));
        world.state_link.refused.extend(0..3);
        for _ in 0..14 {
            for k in 0..3 {
                world.request_once(k, &id(2), Question::Poll);
            }
            world.run(5.0);
        }
        world.state_link.refused.clear();
        world.run(3.0);
        for k in 0..3 {
            assert_eq!(status_at(&mut world, k, 2), Some(JobStatus::Cancelled));
        }
        assert_eq!(world.running_task_count(), 0);
        assert_no_violation(&world);
    }
}

/// Guards against a second stage that is never divided: the leader ends at each of thirty moments
/// after the end of the first stage.
#[test]
fn the_leader_ends_between_an_end_and_the_division() {
    for step in 0..30 {
        let mut world = cluster(2.0);
        assert_eq!(submit(&mut world, 0, &array(1, 2, &[])), Response::Taken);
        assert_eq!(submit(&mut world, 0, &array(2, 3, &[1])), Response::Taken);
        world.run_until(20.0, |world| world.is_complete(&id(1)));
        world.run(f64::from(step) * 0.1);
        let leader_index = cherryyard_simulation::fault::leader(&world);
        world.kill(leader_index);
        world.run(1.0);
        world.start(leader_index);
        world.run_until(60.0, |world| world.is_complete(&id(2)));
        assert_no_violation(&world);
    }
}

/// Guards against waiting jobs that use up their team's limit or cause machines to be provisioned,
/// also when the job they depend on belongs to another team.
#[test]
fn waiting_jobs_use_no_limit_and_no_machines() {
    let mut world = cluster_of(
        f64::INFINITY,
        Setup {
            machines: vec![("a", 4), ("b", 4), ("c", 4)],
            write_rps: 60.0,
            limit: 8.0,
            teams: vec![("others", 0.0, 8.0)],
            ..Setup::default()
        },
    );
    let mut first = array(1, 1, &[]);
    first.team = "others".into();
    assert_eq!(submit(&mut world, 0, &first), Response::Taken);
    for job in 2..8 {
        assert_eq!(
            submit(&mut world, 0, &array(job, 40, &[1])),
            Response::Taken
        );
    }
    world.run(20.0);
    world.cloud.provision_requests.clear();
    assert_eq!(world.running_task_count(), 1, "only the first has a task");
    let controller = world.controllers[0].as_ref().expect("the controller runs");
    assert!(controller.mirror.undivided.is_empty());
    assert!(
        controller
            .mirror
            .tasks
            .waiting
            .iter()
            .all(|shard| shard.is_empty())
    );
    assert_eq!(submit(&mut world, 1, &array(9, 4, &[])), Response::Taken);
    world.run(10.0);
    assert_eq!(
        world.running_task_count(),
        5,
        "the whole limit of its team is free for it"
    );
    assert!(
        world.cloud.provision_requests.is_empty(),
        "{:?}",
        world.cloud.provision_requests
    );
    assert_no_violation(&world);
}

/// Guards against slow cancellation of large graphs: a thousand dependents of one job and a chain
/// of a hundred are cancelled at once. Their ends are written at the rate left over by users'
/// requests, and the list of cancellations in heartbeats does not overflow.
#[test]
fn wide_and_deep_graphs() {
    let mut world = cluster_of(
        f64::INFINITY,
        Setup {
            write_rps: 200.0,
            ..Setup::default()
        },
    );
    assert_eq!(submit(&mut world, 0, &array(1, 1, &[])), Response::Taken);
    let mut pipelines = Pipelines::default();
    for job in 2..1002 {
        pipelines.add(array(job, 1, &[1]));
    }
    for job in 2000..2100 {
        pipelines.add(array(job, 1, &[if job == 2000 { 1 } else { job - 1 }]));
    }
    for _ in 0..600 {
        pipelines.step(&mut world);
        world.run(0.2);
        if pipelines.is_empty() && world.requests.open() == 0 {
            break;
        }
    }
    assert!(pipelines.is_empty());
    cancel(&mut world, 1, &id(1));
    for job in [2, 500, 1001, 2000, 2050, 2099] {
        assert_eq!(status_at(&mut world, 2, job), Some(JobStatus::Cancelled));
    }
    let before = world.state.writes;
    let named = world.controllers[0]
        .as_mut()
        .expect("up")
        .build_heartbeat(world.now)
        .cancelled;
    assert_eq!(named, [1], "heartbeats name only jobs that may have tasks");
    world.run(60.0);
    let open = world.controllers[0].as_ref().map(|n| n.mirror.open.len());
    assert_eq!(open, Some(0));
    let writes = world.state.writes - before;
    assert!(writes < 1500, "{writes} writes for 1100 ends");
    assert_no_violation(&world);
}

/// Guards against priority inversion: a job is as urgent as its most urgent dependent, direct or
/// indirect.
#[test]
fn dependencies_inherit_urgency() {
    let mut world = cluster(f64::INFINITY);
    let mut last = array(3, 1, &[2]);
    (last.rank, last.due_s) = (cherryyard_wire::job::Rank::High, Some(600.0));
    for spec in [array(1, 1, &[]), array(2, 1, &[1]), last] {
        accepted(&mut world, 0, &spec);
    }
    world.run(2.0);
    for controller in world.controllers.iter().flatten() {
        let due = |job: u64| controller.mirror.open[&job].due_ms();
        assert!(due(1) < due(2) && due(2) < due(3));
        for job in 1..=3 {
            let rank = controller.mirror.open[&job].rank();
            assert_eq!(rank, cherryyard_wire::job::Rank::High, "job {job}");
        }
    }
}

/// Guards against controllers that answer nothing after the last job of a pipeline with many ways
/// through it is submitted with a deadline, after a restart with its record in the state, and after
/// its cancellation (review, case 1).
#[test]
fn all_controllers_answer_after_the_last_job_of_many_stages() {
    const STAGES: u64 = 24;
    const WIDTH: u64 = 8;
    let mut world = cluster(f64::INFINITY);
    let mut pipelines = Pipelines::default();
    let mut last_stage = Vec::new();
    for stage in 0..STAGES {
        let jobs: Vec<u64> = (stage * WIDTH + 1..=(stage + 1) * WIDTH).collect();
        for (index, &job) in jobs.iter().enumerate() {
            let mut spec = array(job, 1, &last_stage);
            if stage > 0 {
                spec.expected_s = 0.001 * 2f64.powi(stage as i32) * (jobs.len() - index) as f64;
            }
            pipelines.add(spec);
        }
        last_stage = jobs;
    }
    let last = STAGES * WIDTH + 1;
    for _ in 0..200 {
        pipelines.step(&mut world);
        world.run(0.2);
        if pipelines.is_empty() && world.requests.open() == 0 {
            break;
        }
    }
    assert!(pipelines.is_empty());
    let mut spec = array(last, 1, &last_stage);
    (spec.rank, spec.due_s) = (cherryyard_wire::job::Rank::High, Some(900.0));
    accepted(&mut world, 0, &spec);
    let assert_answers = |world: &mut cherryyard_simulation::World, status| {
        for i in 0..3 {
            assert_eq!(status_at(world, i, 1), Some(JobStatus::Running));
            assert_eq!(status_at(world, i, last), Some(status));
        }
    };
    assert_answers(&mut world, JobStatus::Queued);
    for controller in world.controllers.iter().flatten() {
        let job = &controller.mirror.open[&1];
        assert_eq!(job.rank(), cherryyard_wire::job::Rank::High);
        assert!(job.due_ms().is_finite());
    }
    world.kill(1);
    world.start(1);
    world.run(6.0);
    assert_answers(&mut world, JobStatus::Queued);
    cancel(&mut world, 2, &id(last));
    assert_answers(&mut world, JobStatus::Cancelled);
    assert_no_violation(&world);
}
