//! The same workload as a submit file and as native jobs: the same machines run the same tasks,
//! under the same limit, with the same accounting.

use cherryyard_condor::{Options, Source, SourceError, read};
use cherryyard_core::account::CoreUse;
use cherryyard_simulation::{Setup, World};
use cherryyard_wire::condor::Phase;
use cherryyard_wire::job::{JobSpec, Rank, job_id};
use cherryyard_wire::record::job_hash;
use cherryyard_wire::rules::{PoolBlock, Rules};
use std::collections::BTreeMap;

struct NoFiles;

impl Source for NoFiles {
    fn file(&mut self, path: &str) -> Result<String, SourceError> {
        Err(SourceError::new(path, "no such file"))
    }

    fn matching(&mut self, _: &str, _: bool) -> Result<Vec<String>, SourceError> {
        Ok(Vec::new())
    }

    fn variable(&mut self, _: &str) -> Option<String> {
        None
    }
}

const SUBMIT_FILE: &str = r#"
executable      = post
container_image = img
accounting_group = team
+ImageGB        = 1
+JobClass       = "class"
+ExpectedSeconds = 20
request_cpus    = 2
request_memory  = 1G
arguments       = $(Process)

# Wherever there is room.
queue 150

# A product of types and zones, which native fields can say.
requirements = MachineType == "m4" && Zone == "a"
queue 40

# None that they could.
requirements = (MachineType == "m8" && Zone == "b") || (MachineType == "m4" && Zone == "c")
rank         = Cpus
queue 60

# Many of one task each.
requirements =
rank         =
nice_user    = true
arguments    = $(item)
queue in (l1 l2 l3 l4 l5 l6 l7 l8 l9 l10 l11 l12 l13 l14 l15 l16 l17 l18 l19 l20)
"#;

/// Returns the same workload as native jobs.
fn native_jobs() -> Vec<(JobSpec, Option<Rules>)> {
    let job = |tasks| {
        let mut spec = World::spec("j-000000", "sweep", tasks);
        spec.expected_s = 20.0;
        spec
    };
    let mut all = vec![(job(150), None)];
    let mut product = job(40);
    product.machine_types = Some(vec!["m4".into()]);
    product.zone = Some("a".into());
    all.push((product, None));
    let block = |machine_type: &str, zone: &str, tier| PoolBlock {
        machine_types: Some(vec![machine_type.into()]),
        zones: Some(vec![zone.into()]),
        spot: None,
        tier,
    };
    let pools = Rules {
        pools: vec![block("m8", "b", 0), block("m4", "c", 1)],
        ..Rules::default()
    };
    all.push((job(60), Some(pools)));
    let mut small = job(1);
    small.rank = Rank::BestEffort;
    all.extend(std::iter::repeat_n((small, None), 20));
    all
}

/// Returns a cluster of three shards, 200 machines of two types, and a limited team.
fn cluster() -> World {
    let mut world = World::new(Setup {
        machines: vec![("a", 60), ("b", 60), ("c", 60)],
        large_machines: vec![("b", 20)],
        limit: 400.0,
        ..Setup::default()
    });
    world.network.unreachable = world.workers.keys().cloned().collect();
    world.workers.values_mut().for_each(|x| x.run_ms = 9000.0);
    world.run(5.0);
    world
}

/// Returns the machine of each running task.
fn places(world: &World) -> BTreeMap<String, String> {
    let mut all = BTreeMap::new();
    for worker in world.workers.values() {
        for task_name in worker.running_tasks() {
            all.insert(task_name.clone(), worker.host.clone());
        }
    }
    all
}

fn open_jobs(world: &World) -> usize {
    world
        .controllers
        .iter()
        .flatten()
        .next()
        .map_or(0, |n| n.mirror.open.len())
}

#[test]
fn a_submit_file_and_native_jobs_run_alike() {
    let submit_file = read("ledger.sub", SUBMIT_FILE, &Options::default(), &mut NoFiles);
    let submit_file = submit_file.unwrap_or_else(|e| panic!("{}: {}", e.line, e.kind));
    let chunks = submit_file.chunks(4000);
    assert_eq!((submit_file.groups.len(), chunks.len()), (23, 1));

    let mut file_world = cluster();
    let at = file_world.now;
    let (number, first) = file_world.store_submission("ledger", &chunks);
    file_world.run_until(40.0, |world| {
        world.submission(number).unwrap().phase == Phase::Created
    });
    // The native jobs have the same ids in the same order and are submitted at the same time.
    let mut native_world = cluster();
    assert_eq!(native_world.now, at);
    let mut jobs: Vec<_> = (first..).zip(native_jobs()).collect();
    jobs.sort_by_key(|j| job_hash(j.0));
    for (id, (mut spec, rules)) in jobs {
        spec.id = job_id(id);
        native_world.submit_with(&spec, rules);
    }
    let mut placed = Vec::new();
    for world in [&mut file_world, &mut native_world] {
        let until = at + 45_000.0;
        while world.now < until {
            world.run(0.05);
        }
        assert_eq!(world.running_task_count(), 0);
        world.network.unreachable.clear();
        world.run(6.0);
        assert!(
            world.running_task_count() >= 190,
            "{}",
            world.running_task_count()
        );
        placed.push(places(world));
    }
    // Placement and assignments: the same task is on the same machine.
    assert_eq!(placed[0], placed[1]);
    let cores = |world: &World| world.checker.peak_cores;
    assert!(cores(&file_world) <= 400.0 && cores(&file_world) == cores(&native_world));

    // Faults meanwhile: a controller ends and restarts, and machines are cut off.
    let mut ends = Vec::new();
    for world in [&mut file_world, &mut native_world] {
        world.run(2.0);
        world.kill(1);
        let cut = ["host-000007", "host-000071", "host-000130"];
        world.network.unreachable.extend(cut.map(String::from));
        world.run(12.0);
        world.start(1);
        world.network.unreachable.clear();
        world.run_until(120.0, |world| open_jobs(world) == 0);
        assert!(world.violations.is_empty(), "{:?}", world.violations);
        assert!(
            world.checker.peak_cores <= 400.0,
            "{}",
            world.checker.peak_cores
        );
        let done = world
            .trace
            .iter()
            .filter(|l| l.contains(" ends j-"))
            .count();
        let account = world.account();
        ends.push((done, world.checker.peak_cores, account.get(CoreUse::Arrays)));
    }
    // All tasks, and some that were repeated; the accounts agree within the interval of samples.
    assert!(ends.iter().all(|e| e.0 >= 270), "{ends:?}");
    assert_eq!((ends[0].0, ends[0].1), (ends[1].0, ends[1].1), "{ends:?}");
    let (a, b) = (ends[0].2, ends[1].2);
    assert!((a - b).abs() <= 0.02 * a.max(b), "{ends:?}");
}
