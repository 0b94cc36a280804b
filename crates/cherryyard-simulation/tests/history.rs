//! The history of ended jobs: no job is lost or changed on its way there, whatever fails.

use cherryyard_core::Outcome;
use cherryyard_simulation::{CrashPoint, Setup, World};
use cherryyard_wire::job::{JobSpec, JobStatus, job_id};
use cherryyard_wire::record::{LeaseRecord, job_key, shard_key};
use cherryyard_wire::state::{Change, Commit};
use serde_json::json;

fn cluster(batch: usize) -> World {
    let mut world = World::new(Setup {
        machines: vec![("a", 2), ("b", 2), ("c", 2)],
        history: Some(batch),
        ..Setup::default()
    });
    world.run(5.0);
    for x in world.workers.values_mut() {
        x.run_ms = 300.0;
    }
    world
}

/// Submits jobs that end, every fifth by a cancellation, and returns their expected final status.
fn submit_jobs(world: &mut World, ids: impl Iterator<Item = u64>) -> Vec<(String, JobStatus)> {
    let mut all = Vec::new();
    for n in ids {
        let id = job_id(n);
        world.submit(&World::spec(&id, "sweep", 1 + (n % 3) as u32));
        if n % 5 == 0 {
            let up = (0..3).find(|&i| world.controllers[i].is_some()).unwrap();
            world.cancel(up, &id);
            all.push((id, JobStatus::Cancelled));
        } else {
            all.push((id, JobStatus::Done));
        }
        world.run(0.3);
    }
    all
}

fn assert_statuses(world: &mut World, all: &[(String, JobStatus)], what: &str) {
    for i in 0..3 {
        if world.controllers[i].is_none() {
            continue;
        }
        for (id, status) in all {
            let view = world.view_with_history(i, id);
            let seen = view.as_ref().map(|v| v.status);
            assert_eq!(seen, Some(*status), "{what}: {id} at node-{i}");
        }
    }
}

/// Panics if a job is neither open nor ended, or has ended with another status than expected.
fn assert_no_job_is_lost(world: &mut World, all: &[(String, JobStatus)], what: &str) {
    for i in 0..3 {
        if world.controllers[i].is_none() {
            continue;
        }
        for (id, status) in all {
            let seen = world.view_with_history(i, id).map(|v| v.status);
            let fine = match seen {
                Some(JobStatus::Queued | JobStatus::Running) => *status == JobStatus::Done,
                seen => seen == Some(*status),
            };
            assert!(fine, "{what}: {id} at node-{i}: {seen:?}");
        }
    }
}

fn count_keys(world: &World, prefix: &str) -> usize {
    let pairs = world.state.pairs();
    pairs.iter().filter(|p| p.key.starts_with(prefix)).count()
}

/// Guards against ended jobs that stay in the watched records: they move to the history, are
/// found there, cost few writes, and no job has a key of its own.
#[test]
fn ended_jobs_move_to_the_history() {
    let mut world = cluster(20);
    assert_eq!(world.controllers[0].as_ref().unwrap().mirror.format.jobs, 2);
    let mut all = submit_jobs(&mut world, 1..=60);
    world.run(30.0);
    assert_statuses(&mut world, &all, "after 60");
    let before = world.state.writes;
    all.extend(submit_jobs(&mut world, (1..=60).map(|n| n * 1_000_000_007)));
    world.run(60.0);
    assert_statuses(&mut world, &all, "after 120");
    assert_eq!(count_keys(&world, "c/job/"), 0);
    assert!(count_keys(&world, "c/jobs/") < 40);
    let counts = world.controllers[0].as_ref().unwrap().history_counts();
    assert!(counts.packed >= 100 && counts.recent < 40, "{counts:?}");
    // The same jobs without a history, in a separate cluster.
    let mut plain = World::new(Setup {
        machines: vec![("a", 2), ("b", 2), ("c", 2)],
        ..Setup::default()
    });
    plain.run(5.0);
    plain.workers.values_mut().for_each(|x| x.run_ms = 300.0);
    submit_jobs(&mut plain, 1..=60);
    plain.run(30.0);
    let start = plain.state.writes;
    submit_jobs(&mut plain, (1..=60).map(|n| n * 1_000_000_007));
    plain.run(60.0);
    let (with, without) = (world.state.writes - before, plain.state.writes - start);
    let further = (with as f64 - without as f64) / 60.0;
    // Batches of 20 are small: the closing, the leaves and the record are 5 writes.
    assert!(further < 0.5, "{with} {without}");
    assert!(world.violations.is_empty());
}

/// Guards against jobs that are lost when the leader ends during a move to the history. It ends
/// at each transaction of the move, before or after the transaction is applied, and a transaction
/// that was not applied arrives when another controller leads. At all times each job is open or
/// ended with its correct status, and the move is finished.
#[test]
fn the_leader_ends_at_every_write_of_a_move() {
    let total = {
        let mut world = cluster(12);
        submit_jobs(&mut world, 1..=14);
        world.run(20.0);
        world.state_link.compaction_commits
    };
    assert!((4..40).contains(&total), "{total}");
    for n in 1..=total {
        for applied in [false, true] {
            let what = format!("cut at {n}, applied {applied}");
            let mut world = World::new(Setup {
                machines: vec![("a", 2), ("b", 2), ("c", 2)],
                history: Some(12),
                ..Setup::default()
            });
            world.state_link.compaction_crash = Some(CrashPoint { commit: n, applied });
            world.run(5.0);
            world.workers.values_mut().for_each(|x| x.run_ms = 300.0);
            let all = submit_jobs(&mut world, 1..=14);
            world.run(6.0);
            assert_no_job_is_lost(&mut world, &all, &what);
            let ended = world.controllers.iter().position(Option::is_none);
            let late = std::mem::take(&mut world.state_link.held_commits);
            world.run(8.0);
            for commit in late {
                // Another controller leads now, or nothing is left to move.
                let store_revision = world.state.store_revision();
                let outcome = world.state.commit(&commit);
                assert!(
                    matches!(outcome, Outcome::Conflict(_)),
                    "{what}: {outcome:?}"
                );
                assert_eq!(world.state.store_revision(), store_revision);
            }
            assert_no_job_is_lost(&mut world, &all, &what);
            if let Some(i) = ended {
                world.start(i);
            }
            world.run(25.0);
            assert_statuses(&mut world, &all, &what);
            let leaders = world.controllers.iter().flatten();
            let packed = leaders.map(|n| n.history_counts().packed).max();
            assert!(packed >= Some(10), "{what}: {packed:?}");
            assert!(
                world.violations.is_empty(),
                "{what}: {:?}",
                world.violations
            );
        }
    }
}

/// Guards against lost records of builds without a history: their ended jobs are found at once,
/// moved a few at a time while the cluster runs, and found ever after.
#[test]
fn records_of_earlier_builds_are_moved() {
    let mut world = World::new(Setup {
        machines: vec![("a", 2), ("b", 2), ("c", 2)],
        history: Some(50),
        ..Setup::default()
    });
    let mut all = Vec::new();
    for n in 0..120u64 {
        let end = if n % 2 == 0 { "done" } else { "cancelled" };
        // The records have the format of the previous build.
        let record = json!({ "end": end, "n": 3,
            "use": { "team": "team", "cores": 2.0, "acc": 0.0, "ram": 1.0 } });
        let mut commit = Commit::default();
        let id = job_id(n * 7919);
        commit.changes.push(Change::set(job_key(n * 7919), &record));
        world.state.commit(&commit);
        let status = if n % 2 == 0 {
            JobStatus::Done
        } else {
            JobStatus::Cancelled
        };
        all.push((id, status));
    }
    world.run(3.0);
    assert_statuses(&mut world, &all, "before");
    for _ in 0..40 {
        world.run(4.0);
        assert_statuses(&mut world, &all, "while moving");
    }
    assert_eq!(count_keys(&world, "c/job/"), 0, "all are moved");
    let (_, first) = world
        .state
        .get("c/packed")
        .map(|p| (p.0.clone(), p.1))
        .unwrap();
    assert!(first > 0);
    // A restart does not run a job with such an id again.
    world.restart_all();
    world.run(10.0);
    assert_statuses(&mut world, &all, "after a restart");
}

/// Guards against buckets written while a controller of an earlier build owns a shard: that
/// controller would not see the jobs in them and would treat them as never submitted.
#[test]
fn no_buckets_beside_an_earlier_build() {
    let mut world = World::new(Setup {
        history: Some(10),
        ..Setup::default()
    });
    // Node 2 belongs to a build whose lease records name no format.
    world.kill(2);
    let lease_id = world.state.grant_lease(1e9);
    let mut commit = Commit::default();
    let holder = LeaseRecord {
        label: "node-2".into(),
        newest_format: None,
        process: None,
    };
    commit.changes.push(Change::Set {
        set: shard_key(2),
        value: cherryyard_wire::state::Json::of(&holder),
        lease_id: Some(lease_id),
    });
    world.state.commit(&commit);
    world.run(30.0);
    world.submit(&World::spec("j-000001", "sweep", 1));
    world.run(5.0);
    assert_eq!(count_keys(&world, "c/jobs/"), 0);
    assert!(world.state.get(&job_key(1)).is_some());
    // The earlier build is replaced.
    world.state.renew_lease(lease_id, 0.0);
    world.start(2);
    world.run(30.0);
    assert!(count_keys(&world, "c/jobs/") > 0);
    assert!(world.view_with_history(1, "j-000001").is_some());
    // A job that another build would add under its own key depends on the first format.
    let store_revision = world.state.store_revision();
    let mut old = Commit::default();
    old.require(job_key(2), 0);
    old.require("c/format", 0);
    old.changes.push(Change::set(job_key(2), &json!({})));
    assert!(matches!(world.state.commit(&old), Outcome::Conflict(_)));
    assert_eq!(world.state.store_revision(), store_revision);
}

/// Guards against values above the limit at the smallest values and transactions: buckets and
/// leaves divide in time.
#[test]
fn buckets_divide_at_the_smallest_limits() {
    let mut world = World::new(Setup {
        machines: vec![("a", 2), ("b", 2), ("c", 2)],
        value_kb: 1.0,
        txn_ops: 2,
        history: Some(40),
        ..Setup::default()
    });
    world.run(5.0);
    world.workers.values_mut().for_each(|x| x.run_ms = 300.0);
    let all = submit_jobs(&mut world, (1..=160).map(|n| n * 104_729 * 1_000_003));
    world.run(120.0);
    assert_statuses(&mut world, &all, "at the end");
    assert!(world.state.max_transaction_ops <= 2 && world.state.max_transaction_conditions <= 8);
    for prefix in ["c/jobs/", "h/1/", "c/mark"] {
        let largest = world.state.largest(prefix);
        assert!((20..=1024).contains(&largest), "{prefix}: {largest}");
    }
    assert!(world.violations.is_empty());
}

/// Guards against a job id that is accepted twice: of two submissions of one id through different
/// controllers one is accepted, and one that depends on an outdated page is rejected.
#[test]
fn no_job_id_is_accepted_twice() {
    // Where jobs have keys of their own, a second record of an id is not added.
    let mut plain = World::new(Setup::default());
    plain.run(5.0);
    plain.submit(&World::spec("j-000077", "sweep", 3));
    plain.run(1.0);
    let controller = plain.controllers[1].as_ref().unwrap();
    let record = controller.mirror.open[&77].record();
    let mut commit = Commit::default();
    assert!(
        !controller
            .mirror
            .add_job(&mut commit, 77, record, &controller.config)
    );
    let mut world = cluster(1000);
    let spec = World::spec("j-000077", "sweep", 1);
    let write = |world: &mut World, i: usize, spec: &JobSpec| {
        let controller = world.controllers[i].as_mut().unwrap();
        let job = cherryyard_wire::job::job_number(&spec.id).unwrap();
        if controller.mirror.view(job).is_some() {
            return None;
        }
        let open = controller.mirror.new_job(spec.clone(), None, 1).unwrap();
        let mut commit = Commit::default();
        let jobs = std::iter::once((job, &open));
        let added = controller
            .mirror
            .add_jobs(&mut commit, jobs, &controller.config);
        (added == 1).then_some(commit)
    };
    let first = write(&mut world, 0, &spec).unwrap();
    let second = write(&mut world, 1, &spec).unwrap();
    // The page changes before the third submission arrives.
    let stale = write(&mut world, 2, &World::spec("j-000078", "sweep", 1)).unwrap();
    assert!(matches!(world.state.commit(&first), Outcome::Applied(_)));
    assert!(matches!(world.state.commit(&second), Outcome::Conflict(_)));
    // A controller that has read the job writes nothing: its record would replace the first one,
    // and its division would replace the one by which tasks have started.
    world.run(1.0);
    for i in 0..3 {
        assert!(write(&mut world, i, &spec).is_none());
    }
    submit_jobs(&mut world, 100..140);
    assert!(matches!(world.state.commit(&stale), Outcome::Conflict(_)));
    world.run(10.0);
    assert_eq!(
        world.view_with_history(0, "j-000077").unwrap().status,
        JobStatus::Done
    );
    assert!(world.view_with_history(0, "j-000078").is_none());
}
