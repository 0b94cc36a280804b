//! Submissions of many jobs: each job is created exactly once, whatever fails.

use cherryyard_simulation::{CrashPoint, Setup, World, seeded_draws};
use cherryyard_wire::condor::{Chunk, NO_ID, Phase, Template};
use cherryyard_wire::job::job_id;
use cherryyard_wire::record::JobOutcome;
use std::collections::BTreeSet;

fn cluster(history: Option<usize>, limit: f64) -> World {
    let mut world = World::new(Setup {
        machines: vec![("a", 4), ("b", 4), ("c", 4)],
        history,
        limit,
        ..Setup::default()
    });
    world.run(5.0);
    world.workers.values_mut().for_each(|x| x.run_ms = 400.0);
    world
}

/// Returns a chunk of runs of jobs, each given as number of jobs and tasks of each job.
fn chunk(runs: &[(u32, u32)]) -> Chunk {
    Chunk {
        templates: vec![Template {
            spec: World::spec(NO_ID, "sweep", 1),
            rules: None,
        }],
        runs: runs.iter().map(|&(jobs, tasks)| (0, tasks, jobs)).collect(),
    }
}

/// Returns the starts of tasks of a block of jobs in the trace, as their number and their names.
fn starts(world: &World, first: u64, jobs: u64) -> (usize, BTreeSet<String>) {
    let mut all = BTreeSet::new();
    let mut count = 0;
    for line in &world.trace {
        let mut words = line.split_whitespace().skip(2);
        if words.next() == Some("starts")
            && let Some(task_name) = words.next()
            && let Some((id, _)) = task_name.split_once('/')
            && (0..jobs).any(|k| job_id(first + k) == id)
        {
            all.insert(task_name.to_string());
            count += 1;
        }
    }
    (count, all)
}

fn open_jobs(world: &World) -> usize {
    let up = world.controllers.iter().flatten().next().unwrap();
    up.mirror.open.len()
}

/// Guards against jobs of a submission that are not created, in both formats of records. All run,
/// their chunks are deleted, and the record of the submission stays. Jobs with nearby hashes share
/// writes.
#[test]
fn every_job_is_created_and_runs() {
    for (history, most_writes) in [(None, 125), (Some(400), 70)] {
        let mut world = cluster(history, 0.0);
        // Creation finishes before any task ends, so that no other writes are counted.
        world.workers.values_mut().for_each(|x| x.run_ms = 1e9);
        let before = world.state.writes - world.state.assignment_writes;
        let (number, first) =
            world.store_submission("june", &[chunk(&[(60, 1), (1, 5)]), chunk(&[(39, 2)])]);
        world.run_until(60.0, |world| {
            world.submission(number).unwrap().phase == Phase::Created
        });
        let writes = world.state.writes - world.state.assignment_writes - before;
        // The writes of a hundred jobs, of the queue's own records and of renewed leases.
        assert!(writes < most_writes, "{history:?}: {writes} writes");
        assert_eq!(open_jobs(&world), 100);
        world.workers.values_mut().for_each(|x| x.run_ms = 400.0);
        world.run_until(120.0, |world| open_jobs(world) == 0);
        let (count, tasks) = starts(&world, first, 100);
        assert_eq!((count, tasks.len()), (143, 143));
        let record = world.submission(number).unwrap();
        assert_eq!((record.deleted_chunks, record.created()), (2, 100));
        assert!(
            world
                .state
                .get(&cherryyard_wire::condor::chunk_key(number, 0))
                .is_none()
        );
        assert!(world.violations.is_empty());
    }
}

/// Guards against jobs created twice or never when the leader ends at any step of a creation,
/// before or after it is applied; a held transaction arrives when another controller leads.
#[test]
fn the_leader_ends_at_every_step_of_a_creation() {
    let chunks = [chunk(&[(14, 1)]), chunk(&[(1, 3), (6, 1)])];
    let total = {
        let mut world = cluster(Some(400), 0.0);
        world.store_submission("june", &chunks);
        world.run(25.0);
        world.state_link.creation_commits
    };
    assert!((3..30).contains(&total), "{total}");
    for n in 1..=total {
        for applied in [false, true] {
            let what = format!("cut at {n}, applied {applied}");
            let mut world = cluster(Some(400), 0.0);
            world.state_link.creation_crash = Some(CrashPoint { commit: n, applied });
            let (number, first) = world.store_submission("june", &chunks);
            world.run(12.0);
            let ended = world
                .controllers
                .iter()
                .position(Option::is_none)
                .expect("a controller has ended");
            for commit in std::mem::take(&mut world.state_link.held_commits) {
                world.state.commit(&commit);
            }
            world.run(3.0);
            world.start(ended);
            world.run_until(60.0, |world| {
                world.submission(number).unwrap().deleted_chunks == 2 && open_jobs(world) == 0
            });
            let (_, tasks) = starts(&world, first, 21);
            assert_eq!(tasks.len(), 23, "{what}");
            assert!(
                world.violations.is_empty(),
                "{what}: {:?}",
                world.violations
            );
        }
    }
}

/// Guards against lost jobs when the state service is down midway and all controllers restart.
#[test]
fn an_outage_midway_with_all_controllers_ending() {
    let mut world = cluster(Some(400), 0.0);
    let (number, first) = world.store_submission("june", &[chunk(&[(150, 1)])]);
    world.run_until(30.0, |world| {
        world.submission(number).unwrap().created_in_chunk > 20
    });
    world.state_link.refused = [0, 1, 2].into();
    world.run(5.0);
    world.restart_all();
    world.run(15.0);
    world.state_link.refused.clear();
    world.run_until(120.0, |world| {
        world.submission(number).unwrap().deleted_chunks == 1 && open_jobs(world) == 0
    });
    assert_eq!(starts(&world, first, 150).1.len(), 150);
    assert!(world.violations.is_empty(), "{:?}", world.violations);
}

/// Guards against jobs created after a removal: late steps in flight are not applied, nothing more
/// is created, and the created jobs are cancelled with their tasks.
#[test]
fn a_removal_stops_creation() {
    let mut world = cluster(Some(400), 0.0);
    world.workers.values_mut().for_each(|x| x.run_ms = 1e9);
    let (number, first) = world.store_submission("june", &[chunk(&[(300, 1)])]);
    world.state_link.creation_crash = Some(CrashPoint {
        commit: 6,
        applied: false,
    });
    world.run_until(30.0, |world| world.controllers.iter().any(Option::is_none));
    let late = std::mem::take(&mut world.state_link.held_commits);
    world.remove(number);
    let created = world.submission(number).unwrap().created();
    assert!(created > 5 && created < 300, "{created}");
    for commit in &late {
        let outcome = world.state.commit(commit);
        assert!(!matches!(outcome, cherryyard_core::Outcome::Applied(_)));
    }
    let ended = world.controllers.iter().position(Option::is_none).unwrap();
    world.start(ended);
    world.run_until(60.0, |world| {
        world.submission(number).unwrap().phase == Phase::Cancelled
    });
    assert_eq!(world.submission(number).unwrap().created(), created);
    assert_eq!(open_jobs(&world), 0);
    // The tasks are gone within `cancel_s`.
    world.run(40.0);
    assert_eq!(world.running_task_count(), 0);
    let controller = world.controllers.iter().flatten().next().unwrap();
    let block = first..first + 300;
    let ends = controller
        .mirror
        .ended_jobs()
        .filter(|(j, _)| block.contains(j));
    let ends: Vec<JobOutcome> = ends.map(|(_, e)| e.end).collect();
    assert_eq!(ends.len() as u64, created);
    assert!(ends.iter().all(|e| *e == JobOutcome::Cancelled));
    // A repeated removal after that changes nothing.
    let record = world.submission(number).unwrap();
    world.remove(number);
    assert_eq!(world.submission(number).unwrap().phase, record.phase);
}

/// Guards against a team above its limit that gets jobs by submissions of both kinds at once.
#[test]
fn both_kinds_of_submission_count_under_one_limit() {
    let mut world = cluster(Some(400), 12.0);
    world.workers.values_mut().for_each(|x| x.run_ms = 1500.0);
    world.store_submission("june", &[chunk(&[(30, 1), (2, 10)])]);
    for n in 1..=10 {
        world.submit(&World::spec(&job_id(n), "sweep", 4));
        world.run(0.7);
    }
    world.run_until(200.0, |world| open_jobs(world) == 0);
    assert_eq!(world.checker.peak_cores, 12.0);
    assert!(world.violations.is_empty());
}

/// Runs random overlaps of ends, outages, held transactions and removals. At the end every job of
/// a submission that was not removed has been created and is done, every job of a removed one has
/// ended, and no rule, such as the one that no task runs twice, is broken.
#[test]
fn random_overlaps() {
    for seed in 0..60u64 {
        let mut next = seeded_draws(seed);
        let mut world = cluster((next(2) == 0).then_some(400), 0.0);
        let mut all = Vec::new();
        for name in ["june", "july"] {
            let chunks = [chunk(&[(10 + next(20) as u32, 1)]), chunk(&[(5, 2)])];
            let jobs: u64 = chunks.iter().map(Chunk::jobs).sum();
            let (number, first) = world.store_submission(name, &chunks);
            all.push((number, first, jobs, false));
            world.run(next(20) as f64 / 10.0);
        }
        for _ in 0..6 {
            match next(5) {
                0 => {
                    let i = next(3) as usize;
                    if world.controllers.iter().flatten().count() > 1
                        && world.controllers[i].is_some()
                    {
                        world.kill(i);
                    }
                }
                1 => world.state_link.refused = [0, 1, 2].into(),
                2 => world.state_link.refused = [next(3) as usize].into(),
                3 => {
                    let at = world.state_link.creation_commits + 1;
                    let applied = next(2) == 0;
                    world.state_link.creation_crash = Some(CrashPoint {
                        commit: at,
                        applied,
                    });
                }
                _ => {
                    let one = &mut all[next(2) as usize];
                    world.remove(one.0);
                    one.3 = true;
                }
            }
            world.run(next(60) as f64 / 10.0);
            world.state_link.refused.clear();
            for i in 0..3 {
                if world.controllers[i].is_none() && next(2) == 0 {
                    world.start(i);
                }
            }
            world.apply_held_commits();
        }
        world.state_link.creation_crash = None;
        for i in 0..3 {
            if world.controllers[i].is_none() {
                world.start(i);
            }
        }
        world.run(20.0);
        world.run_until(150.0, |world| {
            all.iter()
                .all(|s| world.submission(s.0).unwrap().phase.chunks_are_deletable())
                && open_jobs(world) == 0
        });
        for (number, first, jobs, removed) in all {
            let record = world.submission(number).unwrap();
            if !removed {
                assert_eq!(record.phase, Phase::Created, "seed {seed}");
                let tasks = starts(&world, first, jobs).1.len() as u64;
                assert_eq!(tasks, jobs + 5, "seed {seed}: {} of {jobs}", record.name);
            } else {
                assert_eq!(record.phase, Phase::Cancelled, "seed {seed}");
            }
        }
        assert!(
            world.violations.is_empty(),
            "seed {seed}: {:?}",
            world.violations
        );
    }
}
