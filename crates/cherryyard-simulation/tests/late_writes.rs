//! Transactions without a response that are carried out after newer ones of the same controller,
//! under the same lease. `docs/protocol.md` lists all kinds. These tests cover those that caused
//! faults, and random scenarios in which any transaction may be late.

use cherryyard_core::{Controller, Outcome};
use cherryyard_simulation::{Setup, Users, World, run_seeds, seeded_draws};
use cherryyard_wire::job::JobSpec;
use cherryyard_wire::page::StoredPage;
use cherryyard_wire::record::{PageRecord, admission_log_key, assignments_key};
use cherryyard_wire::state::{Change, Commit, Json};
use std::collections::BTreeSet;

fn settled(setup: Setup) -> World {
    let mut world = World::new(setup);
    world.run(8.0);
    world
}

fn in_zone(id: &str, shape: &str, task_count: u32, zone: &str) -> JobSpec {
    let mut spec = World::spec(id, shape, task_count);
    spec.zone = Some(zone.into());
    spec
}

fn leader(world: &World) -> usize {
    let leads = |n: &Controller| n.leadership_token().is_some();
    let leader = world
        .controllers
        .iter()
        .position(|n| n.as_ref().is_some_and(leads));
    leader.expect("a leader")
}

/// Carries out the held transactions and panics if one of them is applied.
fn assert_none_applied(world: &mut World) {
    let late = world.apply_held_commits();
    assert!(!late.is_empty(), "some transactions were held back");
    let dead = |o: &Outcome| matches!(o, Outcome::Conflict(_) | Outcome::NoLease);
    assert!(
        late.iter().all(dead),
        "{late:?}\n{}",
        world.trace.join("\n")
    );
}

/// Guards against a team above its limit: an owner lowers its grant and gets no response, assigns
/// tasks by the previous grant, and then the lowering is carried out. The cores that it gave back
/// were in use and went to another shard.
#[test]
fn a_late_lowering_of_a_grant_is_rejected() {
    let mut world = settled(Setup {
        machines: vec![("a", 6), ("b", 6), ("c", 6)],
        limit: 24.0,
        write_rps: 60.0,
        ..Setup::default()
    });
    // Each shard has a grant of 8 cores; one needs more, and others are to lower theirs.
    let (low, more) = ((leader(&world) + 1) % 3, (leader(&world) + 2) % 3);
    let zone = |p: usize| ["a", "b", "c"][p];
    world.state_link.hold_owner_commits.insert(low);
    world.submit(&in_zone("j-000001", "service", 11, zone(more)));
    let lowers = |c: &Commit| c.changes.iter().any(|a| a.key().starts_with("c/grant"));
    world.run_until(10.0, |world| {
        world.state_link.held_commits.iter().any(lowers)
    });
    world.state_link.held_commits.retain(lowers);
    world.state_link.hold_owner_commits.clear();
    world.submit(&in_zone("j-000002", "service", 4, zone(low)));
    world.run_until(10.0, |world| world.running_copies("j-000002/3") == 1);
    assert_none_applied(&mut world);
    world.run(40.0);
    assert!(
        world.checker.peak_cores <= 24.0,
        "{} cores",
        world.checker.peak_cores
    );
    assert_eq!(
        world.running_task_count() * 2,
        24,
        "{}",
        world.trace.join("\n")
    );
}

/// Guards against two assignments of one task. An owner's first assignment goes into the first
/// page and gets no response, and the task is assigned on another machine. More assignments
/// follow, the last ones of the first page move to other pages, and the page would be deleted;
/// then the first assignment is carried out. Runs with plain pages, as earlier builds write them,
/// and with packed ones, which hold more.
#[test]
fn a_first_assignment_carried_out_after_its_page_is_deleted() {
    first_assignment_after_its_page_is_deleted([0].into(), 60);
    first_assignment_after_its_page_is_deleted([].into(), 300);
}

/// Reads a stored page of assignments.
fn page_of(value: &Json) -> PageRecord {
    let stored: StoredPage = value.read().expect("a page");
    stored.read().expect("a valid page")
}

fn first_assignment_after_its_page_is_deleted(earlier: BTreeSet<usize>, size: u32) {
    let mut world = settled(Setup {
        zones: vec!["a"],
        machines: vec![("a", size as usize)],
        value_kb: 1.0,
        write_rps: 100.0,
        earlier_builds: earlier,
        ..Setup::default()
    });
    world.state_link.hold_owner_commits.insert(0);
    world.submit(&World::spec("j-000001", "service", 1));
    world.run_until(5.0, |world| !world.state_link.held_commits.is_empty());
    // The task is placed elsewhere: a reclaim advance_clock, far ahead, makes the machine unusable.
    let first = world.state_link.held_commits.len();
    let assigned = world.state_link.held_commits[0]
        .changes
        .iter()
        .find_map(|a| match a {
            Change::Set { set, value: v, .. } if set.starts_with("c/mark") => Some(page_of(v)),
            _ => None,
        });
    let host = assigned.expect("a page").machines[0].clone();
    assert!(
        world.workers.contains_key(&host),
        "the assignment's machine"
    );
    let at = world.now + 900_000.0;
    world
        .workers
        .get_mut(&host)
        .expect("the machine is up")
        .reclaim_at = Some(at);
    world.run(3.0);
    world.state_link.held_commits.truncate(first);
    world.state_link.hold_owner_commits.clear();
    world.run_until(5.0, |world| world.running_copies("j-000001/0") == 1);
    for worker in world.workers.values_mut() {
        worker.run_ms = 2500.0;
    }
    // The service must outlive the arrays, so its machine runs tasks without end.
    let on: Vec<String> = world
        .workers
        .iter()
        .filter(|x| x.1.runs("j-000001/0"))
        .map(|x| x.0.clone())
        .collect();
    world
        .workers
        .get_mut(&on[0])
        .expect("the machine is up")
        .run_ms = f64::INFINITY;
    for job in 2..8 {
        world.submit(&World::spec(&format!("j-00000{job}"), "sweep", size));
    }
    let key = |page: u32| assignments_key(0, page);
    let gone = |world: &World| match world.state.get(&key(0)) {
        None => true,
        Some((v, _)) => page_of(v).jobs.is_empty(),
    };
    world.run_until(60.0, |world| {
        gone(world) && (1..9).any(|p| world.state.get(&key(p)).is_some())
    });
    assert_eq!(world.running_copies("j-000001/0"), 1);
    assert_none_applied(&mut world);
    world.run(20.0);
    assert!(world.violations.is_empty(), "{:?}", world.violations);
    assert_eq!(world.running_copies("j-000001/0"), 1);
}

/// Guards against a job that returns as undivided while it runs. The write of its submission gets
/// no response, and its user submits it to the leader, which accepts it with a new page. That page
/// is deleted when its rest is merged with the next one; then the first write is carried out.
#[test]
fn a_submission_carried_out_after_its_page_is_deleted() {
    for at_leader in [false, true] {
        let mut world = settled(Setup {
            machines: vec![("a", 20), ("b", 20), ("c", 20)],
            value_kb: 1.0,
            write_rps: 400.0,
            rps: 2000.0,
            ..Setup::default()
        });
        let service = |job: u64| World::spec(&format!("j-{job:06}"), "service", 1);
        let page = |world: &World, job: u64| {
            let controller = world.controllers[leader(world)]
                .as_ref()
                .expect("the controller runs");
            (
                controller.mirror.admission_page_of(job),
                controller.mirror.is_only_in_admission_log(job),
            )
        };
        // Fills pages until one job is in page 2.
        let mut last = 0;
        while page(&world, last).0 != Some(2) {
            last += 1;
            world.submit(&service(last));
            world.run(0.1);
        }
        world.run(2.0);
        let add =
            |world: &mut World, i: usize, job: u64| world.submit_to_core(i, &service(job), None);
        // Fills page 2 until one job is in page 3.
        let mut next = last + 1;
        while page(&world, next - 1).0 != Some(3) {
            world.submit(&service(next));
            world.run(0.1);
            next += 1;
        }
        let first = next;
        // Fills page 3; the next job is in page 4.
        while page(&world, next - 1).0 == Some(3) {
            world.submit(&service(next));
            world.run(0.1);
            next += 1;
        }
        let _ = first;
        // Page 4 has one job: fills it, and holds back the write that would begin page 5.
        let job = loop {
            let i = if at_leader {
                leader(&world)
            } else {
                (leader(&world) + 1) % 3
            };
            world.state_link.hold_admission_commits.insert(i);
            let before = world.state_link.held_commits.len();
            add(&mut world, i, next);
            world.run(0.2);
            world.state_link.hold_admission_commits.clear();
            let commits = world.state_link.held_commits.split_off(before);
            let begins = |c: &Commit| c.conditions.iter().any(|x| x.key == admission_log_key(4));
            assert!(commits.iter().all(begins), "{commits:?}");
            // The user submits the job to the leader.
            world.submit(&service(next));
            world.run(0.2);
            next += 1;
            if page(&world, next - 1).0 == Some(5) {
                world.state_link.held_commits.extend(commits);
                break next - 1;
            }
        };
        // Fills pages 5 and 6, then cancels all jobs of page 5 but that one and all of page 6 but
        // one.
        while page(&world, next - 1).0 != Some(7) {
            world.submit(&service(next));
            world.run(0.1);
            next += 1;
        }
        let mut kept = 0;
        for other in 1..next {
            let at = page(&world, other).0;
            let keep = other == job || at == Some(6) && kept == 0;
            kept += usize::from(keep && at == Some(6));
            if matches!(at, Some(5 | 6)) && !keep {
                world.cancel_until_confirmed(0, &format!("j-{other:06}"));
            }
        }
        world.run_until(40.0, |world| {
            let gone = world.state.get(&admission_log_key(5));
            gone.is_none()
        });
        assert_eq!(
            page(&world, job),
            (Some(6), true),
            "merged with the next page"
        );
        assert_none_applied(&mut world);
        world.run(30.0);
        assert!(world.violations.is_empty(), "{:?}", world.violations);
    }
}

/// Guards against a shard without service: an owner that its workers do not reach gives up the
/// shard, and then an earlier claim of its own is carried out. Once, no controller served the
/// shard for as long as that owner was cut off.
#[test]
fn a_claim_carried_out_after_its_shard_was_given_up() {
    let mut world = settled(Setup {
        machines: vec![("a", 3), ("b", 1), ("c", 1)],
        ..Setup::default()
    });
    world.submit(&World::spec("j-000001", "service", 6));
    world.run(6.0);
    let (value, _) = world.state.get("c/part/0").expect("a claim of the shard");
    let value = value.clone();
    world.network.cut_from_workers.insert(0);
    world.run_until(20.0, |world| world.state.get("c/part/0").is_none());
    let lease_id = world.controllers[0].as_ref().and_then(Controller::lease_id);
    let mut late = Commit::default();
    late.require("c/part/0", 0);
    late.changes.push(cherryyard_wire::state::Change::Set {
        set: "c/part/0".into(),
        value,
        lease_id,
    });
    assert!(matches!(world.state.commit(&late), Outcome::Applied(_)));
    world.run(6.0);
    let owner = world.controllers[1]
        .as_ref()
        .and_then(|n| n.mirror.shards[0].clone());
    assert_ne!(owner.expect("an owner").label, "node-0");
    world.run(15.0);
    assert!(world.violations.is_empty(), "{:?}", world.violations);
    assert_eq!(world.running_task_count(), 6, "{}", world.trace.join("\n"));
}

/// Runs a random scenario of the older faults in which any transaction may get no response and be
/// carried out at once or 2 to 12 s later. Users repeat submissions and cancellations until they
/// are confirmed; in half of the scenarios the team has a limit.
fn scenario(seed: u64) {
    let mut draw = seeded_draws(seed);
    let limit = [0.0, 24.0][draw(2) as usize];
    let mut world = World::new(Setup {
        machines: vec![("a", 4), ("b", 4), ("c", 4)],
        limit,
        value_kb: [1.0, 2.0, 4.0][draw(3) as usize],
        write_rps: 60.0,
        ..Setup::default()
    });
    world.seed_state_link(seed);
    world.run(5.0);
    let share = 10 + draw(30);
    let mut users = Users::default();
    let mut job = 100;
    let mut open: Vec<String> = Vec::new();
    for worker in world.workers.values_mut() {
        worker.run_ms = 2000.0 + draw(20_000) as f64;
    }
    for _ in 0..25 {
        world.state_link.delayed_percent = if draw(4) == 0 { 0 } else { share };
        for _ in 0..draw(6) {
            job += 1;
            let task_count = [1, 2, 3, 24][draw(4) as usize];
            let mut spec = World::spec(&format!("j-{job:06}"), "sweep", task_count);
            (spec.cores, spec.expected_s) = ([1.0, 2.0, 4.0][draw(3) as usize], 4.0);
            users.submit_via(&mut world, draw(3) as usize, &spec);
            open.push(spec.id.clone());
        }
        if draw(3) == 0 && !open.is_empty() {
            let id = open.swap_remove(draw(open.len() as u64) as usize);
            users.cancel_until_confirmed(&mut world, draw(3) as usize, &id);
        }
        let i = draw(3) as usize;
        match draw(10) {
            0 => {
                world.kill(i);
                users.run(&mut world, [0.0, 0.5, 4.0][draw(3) as usize]);
                world.start(i);
            }
            1 => drop(world.processes.frozen.insert(i)),
            2 => drop(world.state_link.refused.insert(i)),
            3 => world.state_link.refused.extend([0, 1, 2]),
            4 => {
                world.network.cut_from_workers.insert(i);
            }
            _ => {
                world.network.cut_from_workers.clear();
                world.processes.frozen.clear();
                world.state_link.refused.clear();
            }
        }
        users.run(&mut world, 1.0 + draw(16) as f64 / 2.0);
    }
    world.state_link.delayed_percent = 0;
    world.network.cut_from_workers.clear();
    world.processes.frozen.clear();
    world.state_link.refused.clear();
    users.run(&mut world, 13.0);
    let faults_ended_at = world.now;
    users.run(&mut world, 240.0);
    if std::env::var("DEBUG").is_ok() && !world.violations.is_empty() {
        println!("{}", world.trace.join("\n"));
    }
    assert!(
        world.violations.is_empty(),
        "seed {seed}: {:?}",
        world.violations
    );
    assert!(
        limit == 0.0 || world.checker.peak_cores <= limit,
        "seed {seed}: {} of {limit} cores",
        world.checker.peak_cores
    );
    let violations = users.violations_since(&world, faults_ended_at);
    if std::env::var("DEBUG").is_ok() && !violations.is_empty() {
        println!("{}", world.trace.join("\n"));
        for p in world.state.pairs() {
            println!("{} {}", p.key, p.value.text());
        }
    }
    assert!(violations.is_empty(), "seed {seed}: {violations:?}");
}

#[test]
fn random_scenarios() {
    (0..12).for_each(scenario);
}

/// Runs on demand; the environment variables `FROM` and `SEEDS` choose the seeds.
#[test]
#[ignore = "minutes"]
fn random_days_by_the_hundred() {
    run_seeds(12, 200, scenario);
}

/// Guards against a running task that moves to another shard. New jobs are undivided in a page
/// without room for their divisions, so the leader divides them by records of their own and gets
/// no response. Later the page has room, they are divided in it, differently, and assigned; then
/// the first division is carried out. It depended only on the absence of the jobs' records, which
/// still held (found at seed 5091).
#[test]
fn a_division_by_records_carried_out_after_one_in_the_page() {
    let mut world = settled(Setup {
        machines: vec![("a", 8), ("b", 8), ("c", 8)],
        value_kb: 1.0,
        write_rps: 100.0,
        ..Setup::default()
    });
    let ids: Vec<String> = (1..=14).map(|n| format!("j-{n:06}")).collect();
    let leader_index = leader(&world);
    // None is divided, as the leader gets no response to its transactions.
    world.state_link.hold_leader_commits = true;
    for id in &ids {
        let mut spec = World::spec(id, "service", 4);
        spec.image = format!("img-{id}");
        world.submit(&spec);
    }
    let by_records = |c: &Commit| c.changes.iter().any(|a| a.key().starts_with("c/job/"));
    world.run_until(10.0, |world| {
        world.state_link.held_commits.iter().any(by_records)
    });
    let held = world
        .state_link
        .held_commits
        .iter()
        .find(|c| by_records(c))
        .expect("the transaction was held");
    let held = held.clone();
    let divided: Vec<String> = held
        .changes
        .iter()
        .map(|a| a.key().replace("c/job/", ""))
        .collect();
    // The cancellation of some jobs that are not among the divided ones makes room in the page.
    for id in ids.iter().filter(|id| !divided.contains(id)) {
        world.cancel_until_confirmed(leader_index, id);
    }
    world.state_link.hold_leader_commits = false;
    world.state_link.held_commits.clear();
    world.run_until(20.0, |world| {
        world.running_copies(&format!("{}/0", divided[0])) == 1
    });
    world.run(5.0);
    let in_page = |world: &World| {
        let controller = world.controllers[leader(world)]
            .as_ref()
            .expect("the controller runs");
        let job = cherryyard_wire::job::job_number(&divided[0]).expect("a job");
        controller.mirror.is_only_in_admission_log(job)
    };
    assert!(in_page(&world), "the job was divided in its page");
    world.state_link.held_commits.push(held);
    assert_none_applied(&mut world);
    world.run(20.0);
    assert!(world.violations.is_empty(), "{:?}", world.violations);
}
