//! Submissions of jobs with dependencies: which are accepted, and which jobs they may name.

mod common;

use cherryyard_simulation::{Response, Setup, World};
use cherryyard_wire::job::JobStatus;
use cherryyard_wire::record::ADMISSION_LOG;
use common::pipelines::{
    accepted, array, assert_no_violation, cancel, cluster, cluster_of, id, status, submit,
};

/// Guards against accepted dependencies on jobs that were never accepted, on the job itself, or
/// on services. Such submissions are refused, but only after all durable state has been read.
#[test]
fn dependencies_never_accepted_are_refused() {
    let mut world = cluster(f64::INFINITY);
    assert_eq!(submit(&mut world, 0, &array(1, 1, &[])), Response::Taken);
    world.submit(&World::spec(&id(2), "service", 1));
    assert_eq!(
        submit(&mut world, 1, &array(3, 1, &[1, 77])),
        Response::Never
    );
    assert_eq!(submit(&mut world, 1, &array(4, 1, &[4])), Response::Never);
    assert_eq!(submit(&mut world, 1, &array(5, 1, &[2])), Response::Never);
    world.state_link.refused.extend(0..3);
    world.run(4.0);
    assert_eq!(submit(&mut world, 1, &array(6, 1, &[78])), Response::Later);
    world.state_link.refused.clear();
    world.run(3.0);
    assert_eq!(submit(&mut world, 1, &array(6, 1, &[1])), Response::Taken);
    // A repeated submission of an accepted job is never refused, whatever it names.
    let again = submit(&mut world, 2, &array(6, 1, &[79]));
    assert_eq!(status(&again), Some(JobStatus::Queued));
    assert_no_violation(&world);
}

/// Guards against a refused dependency on a job that another controller has just accepted, with
/// its response lost or while reads are slow.
#[test]
fn a_dependency_just_accepted_by_another_controller() {
    for slow_ms in [0.0, 400.0] {
        for i in 0..3 {
            for lost in [false, true] {
                let mut world = cluster(2.0);
                world.state_link.latency_ms = slow_ms;
                world.requests.seed(i as u64 + 7);
                world.state_link.lost_response_percent = if lost { 100 } else { 0 };
                let first = submit(&mut world, i, &array(1, 1, &[]));
                world.state_link.lost_response_percent = 0;
                if lost {
                    // Its user submits it again at another controller.
                    let again = submit(&mut world, (i + 2) % 3, &array(1, 1, &[]));
                    assert!(
                        again == Response::Taken || status(&again).is_some(),
                        "{again:?}"
                    );
                } else {
                    assert!(
                        first == Response::Taken || status(&first).is_some(),
                        "{first:?}"
                    );
                }
                accepted(&mut world, (i + 1) % 3, &array(2, 1, &[1]));
                world.run_until(40.0, |world| world.is_complete(&id(2)));
                assert_no_violation(&world);
            }
        }
    }
}

/// Guards against dependencies stored before every controller supports them: until then, jobs
/// with dependencies are not accepted, and the stored format stays as before.
#[test]
fn no_dependencies_before_all_controllers_support_them() {
    for last in 0..3 {
        let mut world = World::new(Setup {
            earlier_builds: (0..3).collect(),
            ..Setup::default()
        });
        world.run(10.0);
        for i in (0..3).filter(|i| *i != last) {
            world.upgrade(i);
            world.kill(i);
            world.run(1.0);
            world.start(i);
            world.run(16.0);
        }
        assert_eq!(submit(&mut world, 0, &array(1, 1, &[])), Response::Taken);
        for i in (0..3).filter(|i| *i != last) {
            assert_eq!(submit(&mut world, i, &array(2, 1, &[1])), Response::Later);
        }
        let all = world.state.pairs();
        assert!(!all.iter().any(|p| p.value.text().contains("dependencies")));
        assert!(!all.iter().any(|p| p.value.text().contains("\"after\"")));
        // The last controller restarts with the earlier build; later it is upgraded too.
        world.kill(last);
        world.run(1.0);
        world.start(last);
        world.run(16.0);
        assert_eq!(
            submit(&mut world, (last + 1) % 3, &array(2, 1, &[1])),
            Response::Later
        );
        world.upgrade(last);
        world.kill(last);
        world.run(1.0);
        world.start(last);
        world.run(20.0);
        let format = world.controllers[last].as_ref().map(|n| n.config.format);
        assert!(format.is_some_and(|f| f > ADMISSION_LOG));
        assert_eq!(
            submit(&mut world, last, &array(2, 1, &[1])),
            Response::Taken
        );
        assert_no_violation(&world);
    }
}

/// Guards against lost dependencies on ended jobs: a dependency on a job that is only in the
/// history is decided by the history, and ended jobs stay available until their dependents are
/// divided.
#[test]
fn dependencies_only_in_the_history() {
    let mut world = cluster_of(
        2.0,
        Setup {
            machines: vec![("a", 4), ("b", 4), ("c", 4)],
            write_rps: 200.0,
            history: Some(2),
            ..Setup::default()
        },
    );
    for job in 1..=6 {
        assert_eq!(submit(&mut world, 0, &array(job, 1, &[])), Response::Taken);
    }
    cancel(&mut world, 0, &id(6));
    world.run(30.0);
    for job in 10..20 {
        assert_eq!(submit(&mut world, 0, &array(job, 1, &[])), Response::Taken);
    }
    world.run(30.0);
    for controller in world.controllers.iter_mut().flatten() {
        assert!(
            controller.mirror.history_progress.may_have_jobs(),
            "some are in the history"
        );
    }
    world.restart_all();
    world.run(10.0);
    accepted(&mut world, 1, &array(30, 2, &[1, 2]));
    accepted(&mut world, 2, &array(31, 1, &[6, 1]));
    assert_eq!(
        submit(&mut world, 2, &array(32, 1, &[1, 99])),
        Response::Never
    );
    world.run(15.0);
    assert!(world.is_complete(&id(30)));
    for i in 0..3 {
        let view = world.view_with_history(i, &id(31)).expect("known");
        assert_eq!(view.status, JobStatus::Cancelled);
    }
    assert_no_violation(&world);
}
