//! Admission under overload: no class of jobs is starved, whatever fails meanwhile.

use cherryyard_core::admission::intake::SubmissionOutcome;
use cherryyard_simulation::{Setup, World};
use cherryyard_wire::job::{JobSpec, JobStatus, Rank};
use rand::rngs::StdRng;
use rand::{RngExt, SeedableRng};

/// First job number of the class of higher rank; lower numbers belong to the steady class.
const FIRST_URGENT_JOB: u64 = 1_000_000;
const CORES_PER_TASK: f64 = 2.0;

fn spec(job: u64, task_count: u32) -> JobSpec {
    let mut spec = World::spec(&format!("j-{job:06}"), "sweep", task_count);
    (spec.job_class, spec.rank) = if job >= FIRST_URGENT_JOB {
        ("urgent".into(), Rank::High)
    } else {
        ("steady".into(), Rank::Standard)
    };
    spec
}

fn cluster(setup: Setup) -> World {
    let mut world = World::new(setup);
    world.run(5.0);
    world.workers.values_mut().for_each(|x| x.run_ms = 12_000.0);
    world
}

fn fleet(controllers: usize, machines: usize) -> Setup {
    Setup {
        zones: vec!["a"; controllers],
        machines: vec![("a", machines)],
        write_rps: 60.0,
        rps: 300.0,
        txn_ops: 8,
        ..Setup::default()
    }
}

/// Returns the cores that the running tasks of the steady and of the urgent class use.
fn running(world: &World) -> (f64, f64) {
    let (mut steady, mut urgent) = (0.0, 0.0);
    for name in world.workers.values().flat_map(|x| x.running_tasks()) {
        let job = name[2..].split('/').next().unwrap().parse::<u64>().unwrap();
        *(if job >= FIRST_URGENT_JOB {
            &mut urgent
        } else {
            &mut steady
        }) += CORES_PER_TASK;
    }
    (steady, urgent)
}

/// Jobs of both classes that arrive at fixed intervals while some controller can accept them.
struct Arrivals {
    next: [u64; 2],
    due: [f64; 2],
    interval_s: [f64; 2],
    task_count: [u32; 2],
}

impl Arrivals {
    fn new(interval_s: [f64; 2], task_count: [u32; 2]) -> Self {
        Self {
            next: [1, FIRST_URGENT_JOB],
            due: [0.0; 2],
            interval_s,
            task_count,
        }
    }

    /// Submits the jobs due in the next second and runs the world for that second.
    fn run_second(&mut self, world: &mut World) {
        for class in 0..2 {
            self.due[class] += 1.0 / self.interval_s[class];
            while self.due[class] >= 1.0 {
                self.due[class] -= 1.0;
                let available = (0..world.controllers.len()).find(|i| {
                    let fresh = |n: &cherryyard_core::Controller| n.state_fresh(world.now);
                    world.controllers[*i].as_ref().is_some_and(fresh)
                        && !world.state_link.refused.contains(i)
                        && !world.processes.frozen.contains(i)
                });
                if available.is_some() {
                    world.submit(&spec(self.next[class], self.task_count[class]));
                    self.next[class] += 1;
                }
            }
        }
        world.run(1.0);
    }
}

/// Returns the mean number of cores that the steady class uses over these seconds.
fn mean_steady_cores(world: &mut World, arrivals: &mut Arrivals, seconds: usize) -> f64 {
    let mut sum = 0.0;
    for _ in 0..seconds {
        arrivals.run_second(world);
        sum += running(world).0;
    }
    sum / seconds as f64
}

fn leader(world: &World) -> Option<usize> {
    let leads = |i: &usize| {
        let controller = world.controllers[*i].as_ref();
        controller.is_some_and(|n| n.leadership_token().is_some())
            && !world.processes.frozen.contains(i)
    };
    (0..world.controllers.len()).find(leads)
}

/// Guards against starvation by a class of higher rank that demands several times the capacity
/// for minutes, while no controller fails.
#[test]
fn a_flood_of_the_higher_rank_without_faults_does_not_starve_the_lower_rank() {
    let mut world = cluster(fleet(3, 40));
    let mut arrivals = Arrivals::new([1.0, 0.1], [6, 10]);
    mean_steady_cores(&mut world, &mut arrivals, 55);
    let with = mean_steady_cores(&mut world, &mut arrivals, 20);
    assert!(with > 30.0, "{with}");
    let later = mean_steady_cores(&mut world, &mut arrivals, 60);
    assert!(later > 30.0, "{later}");
}

/// Guards against starvation by a class of higher rank that demands several times the capacity
/// for minutes. The other class demands a third of the cores and gets its guaranteed share
/// despite its lower rank, also while the leader ends, another controller is frozen and a third
/// is cut off from its peers.
#[test]
fn a_flood_of_the_higher_rank_does_not_starve_the_lower_rank() {
    let mut world = cluster(fleet(3, 40));
    // 160 cores; the steady class could use about 50 of them, the urgent one 800.
    let mut arrivals = Arrivals::new([1.0, 0.1], [6, 10]);
    let before = mean_steady_cores(&mut world, &mut arrivals, 30);
    assert!(
        before < 16.0,
        "the guaranteed share does not apply yet: {before}"
    );
    mean_steady_cores(&mut world, &mut arrivals, 25);
    let with = mean_steady_cores(&mut world, &mut arrivals, 20);
    assert!(with > 30.0, "{with}");
    let leader_index = leader(&world).unwrap();
    world.kill(leader_index);
    let leaderless = mean_steady_cores(&mut world, &mut arrivals, 12);
    assert!(leaderless > 15.0, "{leaderless}");
    world.start(leader_index);
    let other = (leader_index + 1) % 3;
    world.processes.frozen.insert(other);
    mean_steady_cores(&mut world, &mut arrivals, 20);
    world.processes.frozen.remove(&other);
    world.network.isolated.insert((leader_index + 2) % 3);
    mean_steady_cores(&mut world, &mut arrivals, 15);
    let cut = mean_steady_cores(&mut world, &mut arrivals, 20);
    assert!(cut > 20.0, "{cut}");
    world.network.isolated.clear();
    assert!(world.violations.is_empty(), "{:?}", world.violations);
}

/// Guards against starvation in three cases: the class of higher rank loses nothing to a flood
/// of the lower one; a class that submits again after a long pause gets its guaranteed share
/// during a flood of the other; and so does a class of single tasks beside one of large arrays.
#[test]
fn floods_do_not_starve_the_higher_rank_or_a_class_after_a_pause() {
    let mut world = cluster(fleet(3, 40));
    let mut arrivals = Arrivals::new([0.05, 1.0], [10, 4]);
    mean_steady_cores(&mut world, &mut arrivals, 40);
    let mut urgent = 0.0;
    for _ in 0..20 {
        arrivals.run_second(&mut world);
        urgent += running(&world).1 / 20.0;
    }
    // Four tasks a second for 12 s are 96 cores.
    assert!(urgent > 85.0, "{urgent}");
    let mut world = cluster(fleet(3, 40));
    let mut arrivals = Arrivals::new([f64::INFINITY, 0.5], [1, 100]);
    let none = mean_steady_cores(&mut world, &mut arrivals, 60);
    assert_eq!(none, 0.0);
    arrivals.interval_s[0] = 0.2;
    mean_steady_cores(&mut world, &mut arrivals, 50);
    let with = mean_steady_cores(&mut world, &mut arrivals, 20);
    assert!(with > 25.0, "{with}");
    assert!(world.violations.is_empty(), "{:?}", world.violations);
}

/// Guards against starvation and broken rules when faults overlap a burst of jobs: the leader
/// is frozen as the burst begins, the state service is down for 12 s, and a zone with half of
/// the machines is lost. Once there is a leader, the class of lower rank has its guaranteed
/// share of the remaining cores.
#[test]
fn guaranteed_shares_recover_after_faults_in_a_burst() {
    let mut world = cluster(Setup {
        zones: vec!["a", "b", "a"],
        machines: vec![("a", 30), ("b", 30)],
        ..fleet(3, 0)
    });
    world.run(10.0);
    let leader_index = leader(&world).unwrap();
    world.processes.frozen.insert(leader_index);
    let mut arrivals = Arrivals::new([0.5, 0.1], [6, 10]);
    mean_steady_cores(&mut world, &mut arrivals, 8);
    world.processes.frozen.clear();
    mean_steady_cores(&mut world, &mut arrivals, 50);
    world.state_link.refused.extend(0..3);
    mean_steady_cores(&mut world, &mut arrivals, 12);
    world.state_link.refused.clear();
    let zone: Vec<String> = world
        .workers
        .values()
        .filter(|x| x.zone == "b")
        .map(|x| x.host.clone())
        .collect();
    for host in zone {
        world.network.unreachable.insert(host);
    }
    mean_steady_cores(&mut world, &mut arrivals, 50);
    let mut steady_cores = 0.0;
    for _ in 0..20 {
        arrivals.run_second(&mut world);
        let left = |x: &&cherryyard_simulation::WorkerStandIn| x.zone == "a";
        let tasks = world.workers.values().filter(left);
        let steady = tasks.flat_map(|x| x.running_tasks());
        let steady = steady.filter(|name| name.len() < 12);
        steady_cores += steady.count() as f64 * CORES_PER_TASK / 20.0;
    }
    // 120 cores are left, so the guaranteed share is 30.
    assert!(steady_cores > 20.0, "{steady_cores}");
    assert!(world.violations.is_empty(), "{:?}", world.violations);
}

/// Guards against a flood of submissions of one class that delays another class: all
/// submissions of the other class are accepted within a second, rejected users get different
/// times to retry, and every accepted job runs.
#[test]
fn a_flood_of_submissions_delays_only_its_own_class() {
    let mut world = cluster(Setup {
        machines: vec![("a", 21)],
        write_rps: 20.0,
        ..fleet(7, 0)
    });
    world.workers.values_mut().for_each(|x| x.run_ms = 100.0);
    world.run(5.0);
    let leader_index = leader(&world).unwrap();
    let (mut flood, mut few) = (Vec::new(), Vec::new());
    for i in 0..3000 {
        flood.push(world.submit_to_core(leader_index, &spec(FIRST_URGENT_JOB + i, 1), None));
        if i % 300 == 299 {
            few.push(world.submit_to_core(leader_index, &spec(1 + i, 1), None));
        }
    }
    // All submissions are repeated, as if no response had arrived.
    for i in 0..3000 {
        flood.push(world.submit_to_core(leader_index, &spec(FIRST_URGENT_JOB + i, 1), None));
    }
    world.run(1.0);
    let verdict = |world: &World, ticket: &u64| world.submissions.verdicts.get(ticket).copied();
    for ticket in &few {
        assert_eq!(verdict(&world, ticket), Some(SubmissionOutcome::Stored));
    }
    world.run(3.0);
    let all: Vec<SubmissionOutcome> = flood.iter().filter_map(|t| verdict(&world, t)).collect();
    assert_eq!(all.len(), flood.len(), "every submission gets a response");
    let taken = all
        .iter()
        .filter(|v| **v == SubmissionOutcome::Stored)
        .count();
    // Four writes a second, with about forty jobs each.
    assert!(taken >= 60, "{taken}");
    let waits: Vec<u32> = all
        .iter()
        .filter_map(|v| match v {
            SubmissionOutcome::Refused(s) => Some(*s),
            _ => None,
        })
        .collect();
    assert!(waits.iter().all(|s| (1..=20).contains(s)));
    assert!(
        waits.iter().any(|s| *s > 10),
        "the times to retry must be spread"
    );
    world.run(60.0);
    let mut done = 0;
    for (i, ticket) in flood.iter().enumerate() {
        if verdict(&world, ticket) == Some(SubmissionOutcome::Stored) {
            let id = format!("j-{:06}", FIRST_URGENT_JOB + i as u64 % 3000);
            let view = world.view(0, &id).unwrap();
            assert_eq!(view.status, JobStatus::Done, "{id}");
            done += 1;
        }
    }
    assert_eq!(done, taken);
    assert!(world.violations.is_empty(), "{:?}", world.violations);
    assert!(world.state.largest("c/new/") <= 4096);
}

/// Guards against one write for each submission: 400 submissions in a second share fewer than
/// 60 writes. A submission that is too large for any write does not delay the others.
#[test]
fn many_submissions_share_writes() {
    let mut world = cluster(fleet(3, 9));
    world.run(10.0);
    let leader_index = leader(&world).unwrap();
    let writes = world.state.writes;
    let mut tickets = Vec::new();
    for i in 0..400 {
        tickets.push(world.submit_to_core(leader_index, &spec(FIRST_URGENT_JOB + i, 1), None));
    }
    world.run(1.0);
    let taken = |t: &&u64| world.submissions.verdicts.get(*t) == Some(&SubmissionOutcome::Stored);
    assert_eq!(tickets.iter().filter(taken).count(), 400);
    let writes = world.state.writes - writes;
    assert!(
        writes < 60,
        "{writes} writes, those of assignments included"
    );
    let long = "x".repeat(3000);
    let mut oversized = spec(FIRST_URGENT_JOB + 500, 1);
    oversized.image = long.clone() + &long;
    let oversized = world.submit_to_core(leader_index, &oversized, None);
    let next = world.submit_to_core(leader_index, &spec(FIRST_URGENT_JOB + 501, 1), None);
    world.run(2.0);
    assert_eq!(
        world.submissions.verdicts.get(&next),
        Some(&SubmissionOutcome::Stored)
    );
    assert!(!matches!(
        world.submissions.verdicts.get(&oversized),
        None | Some(SubmissionOutcome::Stored)
    ));
    // The same job goes to two controllers at once: one accepts it, the other reports it as known.
    let other = (leader_index + 1) % 3;
    let controller = world.controllers[other]
        .as_ref()
        .unwrap()
        .mirror
        .store_revision;
    let one = world.submit_to_core(leader_index, &spec(FIRST_URGENT_JOB + 502, 1), None);
    assert!(
        world.controllers[other]
            .as_ref()
            .unwrap()
            .mirror
            .store_revision
            >= controller
    );
    let two = world.submit_to_core(other, &spec(FIRST_URGENT_JOB + 502, 1), None);
    world.run(2.0);
    assert_eq!(
        world.submissions.verdicts.get(&one),
        Some(&SubmissionOutcome::Stored)
    );
    assert_eq!(
        world.submissions.verdicts.get(&two),
        Some(&SubmissionOutcome::AlreadyKnown)
    );
}

/// Guards against controllers that block each other's writes while all of them are isolated:
/// the leader writes submissions into pages and the others into records of single jobs. All
/// are accepted within seconds, and a job submitted to two controllers is accepted by one.
#[test]
fn isolated_controllers_do_not_block_each_others_submissions() {
    let mut world = cluster(fleet(7, 21));
    world.run(10.0);
    world.network.isolated.extend(0..7);
    world.run(2.0);
    let (mut single, mut twice) = (Vec::new(), Vec::new());
    for i in 0..60 {
        let at = i as usize % 7;
        single.push(world.submit_to_core(at, &spec(FIRST_URGENT_JOB + i, 1), None));
        if i % 5 == 0 {
            let same = spec(FIRST_URGENT_JOB + 1000 + i, 1);
            twice.push([
                world.submit_to_core(at, &same, None),
                world.submit_to_core((at + 1) % 7, &same, None),
            ]);
        }
        world.run(0.3);
    }
    world.run(1.5);
    let verdict = |t: &u64| world.submissions.verdicts.get(t).copied();
    for ticket in &single {
        assert_eq!(verdict(ticket), Some(SubmissionOutcome::Stored));
    }
    for pair in &twice {
        let all = pair.each_ref().map(verdict);
        let taken = all
            .iter()
            .filter(|v| **v == Some(SubmissionOutcome::Stored))
            .count();
        assert_eq!(taken, 1, "{all:?}");
    }
    world.network.isolated.clear();
    world.run(60.0);
    for i in 0..60 {
        let view = world
            .view(2, &format!("j-{:06}", FIRST_URGENT_JOB + i))
            .unwrap();
        assert_eq!(view.status, JobStatus::Done, "{i}");
    }
    assert!(world.violations.is_empty(), "{:?}", world.violations);
}

/// Guards against starvation with twelve controllers at the smallest transactions and values.
#[test]
fn shares_hold_with_twelve_controllers_at_the_smallest_limits() {
    let mut world = cluster(Setup {
        value_kb: 1.0,
        txn_ops: 2,
        ..fleet(12, 48)
    });
    let mut arrivals = Arrivals::new([1.0, 0.2], [6, 16]);
    mean_steady_cores(&mut world, &mut arrivals, 60);
    let with = mean_steady_cores(&mut world, &mut arrivals, 20);
    assert!(with > 25.0, "{with}");
    assert!(world.state.max_transaction_ops <= 2 && world.state.max_transaction_conditions <= 8);
    let largest = world.state.largest("c/new/");
    assert!((100..=1024).contains(&largest), "{largest}");
    assert!(world.violations.is_empty(), "{:?}", world.violations);
}

/// Guards against scheduling cycles whose cost grows with the number of waiting jobs or tasks.
#[test]
fn cycle_cost_does_not_grow_with_waiting_jobs() {
    let inspected_jobs = |jobs: u64, task_count: u32| {
        let mut world = cluster(fleet(3, 6));
        world
            .workers
            .values_mut()
            .for_each(|x| x.run_ms = f64::INFINITY);
        for i in 0..jobs {
            world.submit(&spec(FIRST_URGENT_JOB + i, task_count));
        }
        world.run(5.0);
        let sum = |world: &World| {
            world
                .controllers
                .iter()
                .flatten()
                .map(|n| n.inspected_jobs)
                .sum::<u64>()
        };
        let before = sum(&world);
        world.run(10.0);
        (sum(&world) - before) as f64
    };
    let (few, many, large) = (
        inspected_jobs(100, 1),
        inspected_jobs(3000, 1),
        inspected_jobs(1000, 100),
    );
    // In each of three shards 48 jobs of the only flow and 16 others, at most every 0.4 s: at most 26
    // times in 10 s.
    let most = 3.0 * 64.0 * 26.0;
    assert!(few > 0.0 && few <= most, "{few}");
    assert!(many <= most && large <= most, "{few} {many} {large}");
}

/// Guards against admission pages that stay: unreferenced pages are deleted and small ones merged.
#[test]
fn admission_pages_are_deleted_and_merged() {
    let mut world = cluster(fleet(3, 30));
    world.run(10.0);
    for i in 0..300 {
        world.submit(&spec(FIRST_URGENT_JOB + i, 1));
        if i % 20 == 0 {
            world.run(0.5);
        }
    }
    let pages = |world: &World| {
        let keys = world.state.pairs();
        keys.iter().filter(|p| p.key.starts_with("c/new/")).count()
    };
    assert!(pages(&world) > 4, "{}", pages(&world));
    world.run(90.0);
    assert!(pages(&world) <= 4, "{}", pages(&world));
    for i in 0..300 {
        let view = world
            .view(1, &format!("j-{:06}", FIRST_URGENT_JOB + i))
            .unwrap();
        assert_eq!(view.status, JobStatus::Done, "{i}");
    }
    assert!(world.violations.is_empty(), "{:?}", world.violations);
}

/// Runs a hundred of the random scenarios of `random_overlaps`; takes minutes.
#[test]
#[ignore = "takes minutes"]
fn random_overlaps_by_the_hundred() {
    (1000..1100).for_each(short_scenario);
}

/// Runs short scenarios by seed: floods of either class or both, while controllers end, freeze,
/// or lose their peers or the state service. Some time after the last fault, each class must
/// have its guaranteed share or all that it demands.
#[test]
fn random_overlaps() {
    (0..12).for_each(short_scenario);
}

/// Ends all faults and restarts the controllers that have ended.
fn end_all_faults(world: &mut World) {
    world.processes.frozen.clear();
    world.network.isolated.clear();
    world.state_link.refused.clear();
    for i in 0..world.controllers.len() {
        if world.controllers[i].is_none() {
            world.start(i);
        }
    }
}

fn short_scenario(seed: u64) {
    let mut rng = StdRng::seed_from_u64(seed);
    let n = [3, 4, 5][rng.random_range(0..3)];
    let mut world = cluster(fleet(n, 36));
    let every = [[1.0, 0.15], [0.15, 1.0], [0.3, 0.3]][rng.random_range(0..3)];
    let mut arrivals = Arrivals::new(every, [5, 8]);
    for _ in 0..70 {
        let i = rng.random_range(0..n);
        match rng.random_range(0..30) {
            0 if world.controllers[i].is_some() => world.kill(i),
            1 => drop(world.processes.frozen.insert(i)),
            2 => drop(world.network.isolated.insert(i)),
            3 => drop(world.state_link.refused.insert(i)),
            4 => world.state_link.refused.extend(0..n),
            5..12 => end_all_faults(&mut world),
            _ => {}
        }
        arrivals.run_second(&mut world);
        if world.controllers.iter().all(Option::is_none) {
            world.start(i);
        }
    }
    end_all_faults(&mut world);
    mean_steady_cores(&mut world, &mut arrivals, 60);
    let (mut steady, mut urgent) = (0.0, 0.0);
    for _ in 0..20 {
        arrivals.run_second(&mut world);
        let now = running(&world);
        (steady, urgent) = (steady + now.0 / 20.0, urgent + now.1 / 20.0);
    }
    // 144 cores in all; the guaranteed share is a quarter, which each shard rounds to whole tasks.
    let demanded = |class: usize| f64::from([5, 8][class]) * 2.0 * 12.0 / every[class];
    let guaranteed = |class: usize| (demanded(class) * 0.6).min(144.0 * 0.25);
    assert!(
        steady >= guaranteed(0) * 0.6,
        "seed {seed}: {steady} of {}",
        demanded(0)
    );
    assert!(
        urgent >= guaranteed(1) * 0.6,
        "seed {seed}: {urgent} of {}",
        demanded(1)
    );
    assert!(
        world.violations.is_empty(),
        "seed {seed}: {:?}",
        world.violations
    );
}
