//! Tests of the checker itself: each rule that it checks is broken on purpose and must be reported.

use cherryyard_simulation::{Question, Setup, Users, World};
use cherryyard_wire::job::JobSpec;
use cherryyard_wire::page::{self, StoredPage};
use cherryyard_wire::record::{PageRecord, assignments_key};
use cherryyard_wire::state::{Change, Commit};
use cherryyard_wire::worker::{CommandBatch, WorkerCommand};

fn cluster(limit: f64) -> World {
    let mut world = World::new(Setup {
        machines: vec![("a", 3), ("b", 3), ("c", 3)],
        limit,
        write_rps: 60.0,
        ..Setup::default()
    });
    world.cloud.list_interval_ms = Some(5000.0);
    world.run(6.0);
    world
}

/// Starts a task on a machine directly, past the scheduler, as a faulty build might.
fn force_start(world: &mut World, host: &str, task_name: &str) {
    let worker = world.workers.get_mut(host).expect("the machine is up");
    let start = WorkerCommand::Start {
        task_name: task_name.into(),
        attempt: 9999,
    };
    let request = CommandBatch {
        fencing_token: worker.fencing_token,
        incarnation: worker.incarnation,
        commands: vec![start],
    };
    assert!(
        worker.handle_direct_commands(&request, world.now).0,
        "the worker accepts the command"
    );
    world.deliver_held_commands();
}

/// The checker must report a direct command that starts a task.
#[test]
fn detects_a_direct_start() {
    let mut world = cluster(0.0);
    let start = |task_name: &str| CommandBatch {
        fencing_token: 1,
        incarnation: 1,
        commands: vec![WorkerCommand::Start {
            task_name: task_name.into(),
            attempt: 1,
        }],
    };
    world.check_direct_commands("host-000000", &start("j-000000/100000"));
    assert!(world.violations.is_empty(), "{:?}", world.violations);
    world.check_direct_commands("host-000000", &start("j-000001/0"));
    assert_detects(&world, "sent directly");
}

fn assert_detects(world: &World, text: &str) {
    assert!(
        world.violations.iter().any(|b| b.contains(text)),
        "{text} is not among {:?}",
        world.violations
    );
}

/// Returns a machine of the zone that has no tasks.
fn free_host(world: &World, zone: &str) -> String {
    let mut free = world
        .workers
        .values()
        .filter(|x| x.zone == zone && x.tasks.is_empty());
    free.next().expect("a free machine").host.clone()
}

/// The checker must report a team over its limit while one of its machines hangs.
#[test]
fn detects_a_team_over_its_limit() {
    let mut world = cluster(8.0);
    world.submit(&World::spec("j-000001", "service", 6));
    // The limit is divided among the shards at first.
    world.run_until(60.0, |world| world.running_task_count() == 4);
    let on = world.workers.values().find(|x| x.runs("j-000001/0"));
    let hung = on.expect("the task runs").host.clone();
    world.machines.hung.insert(hung);
    world.run(1.0);
    assert!(world.violations.is_empty(), "{:?}", world.violations);
    let waits = (0..6).find(|n| world.running_copies(&format!("j-000001/{n}")) == 0);
    let task_name = format!("j-000001/{}", waits.expect("a waiting task"));
    let host = free_host(&world, "b");
    force_start(&mut world, &host, &task_name);
    assert_detects(&world, "team uses 10 of 8 cores");
}

/// The checker must report starts that violate a job's zone, machine type or (anti-)affinity.
#[test]
fn detects_placement_violations() {
    type Place = (&'static str, fn(&mut JobSpec));
    let places: [Place; 4] = [
        ("wrong zone", |s| s.zone = Some("b".into())),
        ("wrong type", |s| s.machine_types = Some(vec!["m8".into()])),
        ("as its others are elsewhere", |s| s.together = true),
        ("as half of its others are there", |s| s.apart = true),
    ];
    for (text, place) in places {
        let mut world = cluster(0.0);
        let mut spec = World::spec("j-000001", "service", 3);
        place(&mut spec);
        world.submit(&spec);
        let host = free_host(&world, "c");
        if spec.together || spec.apart {
            // Two tasks run; the third is started in the wrong zone.
            world
                .workers
                .values_mut()
                .for_each(|x| x.run_ms = f64::INFINITY);
            world.run(6.0);
            let one = world.workers.values().find(|x| x.runs("j-000001/1"));
            let zone = one.expect("the task runs").zone.clone();
            let wrong_zone = ["a", "b", "c"]
                .into_iter()
                .find(|z| (*z == zone) == spec.apart);
            let host = free_host(&world, wrong_zone.expect("a zone"));
            force_start(&mut world, &host, "j-000001/2");
            if spec.apart {
                let host = free_host(&world, wrong_zone.expect("a zone"));
                force_start(&mut world, &host, "j-000001/0");
            }
        } else {
            force_start(&mut world, &host, "j-000001/2");
        }
        assert_detects(&world, text);
    }
}

/// The checker must accept a start shortly after a cancellation and report one long after it.
#[test]
fn detects_late_starts_of_cancelled_tasks() {
    let mut world = cluster(0.0);
    world.submit(&World::spec("j-000001", "service", 1));
    world.run(5.0);
    world.request_until_answered(1, "j-000001", Question::Cancel);
    world.run(5.0);
    assert_eq!(
        (world.running_task_count(), world.started_cancelled()),
        (0, 0)
    );
    let host = free_host(&world, "c");
    force_start(&mut world, &host, "j-000001/0");
    assert_eq!(world.started_cancelled(), 1);
    assert!(world.violations.is_empty(), "{:?}", world.violations);
    world.run(40.0);
    force_start(&mut world, &host, "j-000001/0");
    assert_detects(&world, "runs though cancelled");
}

/// The checker must report responses older than earlier ones when reads skip the barrier.
#[test]
fn detects_responses_that_go_back() {
    let mut world = cluster(0.0);
    world.requests.query_all_controllers = true;
    world.requests.without_barrier = true;
    world.state_link.latency_ms = 1500.0;
    for n in 1..=12 {
        world.submit_at(n % 3, &World::spec(&format!("j-{n:06}"), "service", 1));
        world.run(1.0);
        if n > 4 {
            world.request_until_answered(n % 3, &format!("j-{:06}", n - 4), Question::Cancel);
        }
    }
    world.run(10.0);
    assert_detects(&world, "after something newer");
}

/// The checker must report that a build without admission checks accepts jobs that cannot run.
#[test]
fn detects_accepted_jobs_that_cannot_run() {
    let mut world = cluster(8.0);
    world.requests.odd_requests = true;
    world.requests.without_admission = true;
    for n in 1..=20 {
        world.submit_at(n % 3, &World::spec(&format!("j-{n:06}"), "service", 1));
        world.run(1.0);
    }
    assert_detects(&world, "it is taken though it cannot run");
}

/// The checker must report jobs marked done before they are, and cancelled without a request.
#[test]
fn detects_unjustified_ends_of_jobs() {
    let mut world = cluster(0.0);
    world.submit_at(0, &World::spec("j-000001", "sweep", 2));
    world.submit_at(1, &World::spec("j-000002", "sweep", 2));
    world.run(5.0);
    for job in 1..=2 {
        let controller = world.controllers[0].as_ref().expect("the controller runs");
        let mut commit = controller.cancellation(job).expect("the job is open");
        if job == 1
            && let cherryyard_wire::state::Change::Set { value: v, .. } = &mut commit.changes[0]
        {
            let text = v.text().replace("cancelled", "done");
            *v = serde_json::from_str(&text).expect("a record");
        }
        world.state.commit(&commit);
    }
    world.request_once(0, "j-000001", Question::Poll);
    world.request_once(0, "j-000002", Question::Poll);
    world.run(2.0);
    assert_detects(&world, "j-000001: it is called done before it is");
    assert_detects(&world, "j-000001 is stored as done before it is");
    assert_detects(
        &world,
        "j-000002: it is called cancelled, and nobody asked for that",
    );
}

/// The checker must report a job that waits although there is room and its team's limit allows it.
#[test]
fn detects_a_job_that_waits_despite_free_capacity() {
    let mut world = cluster(0.0);
    let mut users = Users::default();
    users.submit(&mut world, &World::spec("j-000001", "service", 2));
    users.run(&mut world, 6.0);
    let faults_ended_at = world.now;
    world.processes.frozen.extend([0, 1, 2]);
    let mut spec = World::spec("j-000002", "service", 2);
    users.run(&mut world, 1.0);
    world.processes.frozen.clear();
    spec.zone = Some("b".into());
    users.submit(&mut world, &spec);
    world.processes.frozen.extend([0, 1, 2]);
    users.run(&mut world, 95.0);
    let violations = users.violations_since(&world, faults_ended_at);
    let waits = |x: &String| x.contains("j-000002 waits for") && x.contains("though there is room");
    assert!(violations.iter().any(waits), "{violations:?}");
}

fn dependent(id: &str, need: &str) -> JobSpec {
    let mut spec = World::spec(id, "sweep", 1);
    spec.waits_on = vec![need.into()];
    spec
}

/// The checker must report a start of a job whose dependencies are not done.
#[test]
fn detects_a_start_before_dependencies_are_done() {
    let mut world = cluster(0.0);
    world.submit_at(0, &World::spec("j-000001", "sweep", 1));
    world.run(3.0);
    world.submit_at(1, &dependent("j-000002", "j-000001"));
    world.run(3.0);
    assert!(world.violations.is_empty(), "{:?}", world.violations);
    let host = free_host(&world, "b");
    force_start(&mut world, &host, "j-000002/0");
    assert_detects(&world, "j-000002/0 starts before all that it needs is done");
}

/// The checker must report a build that loses a job's dependencies: the job is reported as queued
/// long after its user was told that the job it depends on is cancelled.
#[test]
fn detects_a_job_that_outlives_a_cancelled_dependency() {
    let mut world = cluster(0.0);
    // All cores are in use, so that neither job starts.
    world.submit(&World::spec("j-000009", "service", 18));
    world.run(3.0);
    world.submit_at(0, &World::spec("j-000001", "sweep", 1));
    world.run(3.0);
    world.requests.without_dependencies = true;
    world.submit_at(1, &dependent("j-000002", "j-000001"));
    world.run(3.0);
    world.request_until_answered(0, "j-000001", Question::Cancel);
    world.run(30.0);
    world.request_once(2, "j-000002", Question::Poll);
    world.run(8.0);
    assert!(world.violations.is_empty(), "{:?}", world.violations);
    world.run(5.0);
    world.request_once(2, "j-000002", Question::Poll);
    world.run(2.0);
    assert_detects(&world, "j-000002: called Queued long after what it needs");
}

/// The checker must report a cancelled job when nobody cancelled it or one of its dependencies.
#[test]
fn detects_a_cancellation_without_cause() {
    let mut world = cluster(0.0);
    world.submit_at(0, &World::spec("j-000001", "sweep", 1));
    world.submit_at(0, &World::spec("j-000003", "sweep", 1));
    world.run(3.0);
    world.submit_at(1, &dependent("j-000002", "j-000001"));
    world.run(3.0);
    // The cancellation of an unrelated job does not justify this one.
    world.request_until_answered(0, "j-000003", Question::Cancel);
    world.run(3.0);
    let controller = world.controllers[0].as_ref().expect("the controller runs");
    let commit = controller.cancellation(2).expect("an open job");
    world.state.commit(&commit);
    world.request_once(2, "j-000002", Question::Poll);
    world.run(3.0);
    assert_detects(
        &world,
        "j-000002: it is called cancelled, and nobody asked for that",
    );
}

/// Stores the record of a shard's first page, changed by `edit`, as that of another page.
fn copy_first_page(world: &mut World, page: u32, edit: impl Fn(&mut PageRecord)) {
    let (value, _) = world.state.get(&assignments_key(0, 0)).expect("a page");
    let stored: StoredPage = value.read().expect("a page");
    let mut record = stored.read().expect("a valid page");
    edit(&mut record);
    let base64 = page::pack(&record).expect("a valid page");
    let key = assignments_key(0, page);
    let mut commit = Commit::default();
    commit
        .changes
        .push(Change::set(key, &StoredPage::Packed { base64 }));
    world.state.commit(&commit);
    world.run(0.05);
}

/// Returns a cluster with tasks on shard 0, whose owner writes nothing more.
fn cluster_with_a_page() -> World {
    let mut world = cluster(0.0);
    world.submit(&World::spec("j-000001", "sweep", 12));
    world.run(5.0);
    world.processes.frozen.extend([0, 1, 2]);
    world
}

/// The checker must report a task that is stored as assigned and as completed.
#[test]
fn detects_a_task_stored_as_assigned_and_completed() {
    let mut world = cluster_with_a_page();
    copy_first_page(&mut world, 1, |_| ());
    assert!(world.violations.is_empty(), "{:?}", world.violations);
    copy_first_page(&mut world, 0, |page| {
        let number = page.jobs[0].1[0][3];
        page.jobs[0].2.insert(number as u32);
    });
    assert_detects(&world, "is stored as {Assigned");
}

/// The checker must report an assignment that goes while its page is divided.
#[test]
fn detects_a_change_during_a_division() {
    let mut world = cluster_with_a_page();
    copy_first_page(&mut world, 1, |page| {
        page.jobs[0].1[0].truncate(4);
    });
    assert!(world.is_in_division(0));
    assert!(world.violations.is_empty(), "{:?}", world.violations);
    copy_first_page(&mut world, 0, |page| {
        page.jobs[0].1[0].truncate(4);
    });
    assert_detects(&world, "shard 0 changes while a page is divided");
}
