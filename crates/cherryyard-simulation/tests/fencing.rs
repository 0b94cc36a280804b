//! Fencing: actions in flight of an isolated, ended or late owner change nothing, and no task
//! starts elsewhere without proof that its previous run has ended.

mod common;

use cherryyard_core::Outcome;
use cherryyard_simulation::{Setup, World};
use cherryyard_wire::record::job_key;
use common::settled::{assignments_left, settled, starts};

/// Guards against a task that runs twice: its owner ends while its machine is unreachable. The
/// new owner never showed that machine its token, so the machine's silence proves nothing, and
/// the task starts elsewhere only once the machine is released.
#[test]
fn a_dead_owners_task_waits_for_proof_of_its_end() {
    let mut world = settled(Setup::default());
    world.submit(&World::spec("j-000001", "service", 1));
    world.run_until(5.0, |world| world.running_task_count() == 1);
    let host = world
        .workers
        .values()
        .find(|x| x.runs("j-000001/0"))
        .unwrap()
        .host
        .clone();
    let owner = usize::from(host.as_bytes()[10] - b'0');
    world.network.unreachable.insert(host.clone());
    world.workers.get_mut(&host).unwrap().lease_ms = f64::INFINITY;
    world.kill(owner);
    world.run(120.0);
    assert_eq!(
        starts(&world, "j-000001/0").len(),
        1,
        "{}",
        world.trace.join("\n")
    );
    assert!(world.violations.is_empty());
    // The list no longer shows the machine, which proves that it is released.
    let now = world.now;
    for controller in world.controllers.iter_mut().flatten() {
        controller.handle_machine_list(Vec::new(), now);
    }
    world.run_until(40.0, |world| starts(world, "j-000001/0").len() == 2);
    assert!(!world.workers.contains_key(&host));
    assert!(world.violations.is_empty(), "{:?}", world.violations);
}

/// Guards against a previous owner's transaction that is carried out late: it must not apply.
#[test]
fn a_late_transaction_is_rejected() {
    let mut world = settled(Setup {
        machines: vec![("a", 2)],
        ..Setup::default()
    });
    world.state_link.hold_owner_commits.insert(0);
    world.submit(&World::spec("j-000001", "service", 1));
    world.run_until(5.0, |world| !world.state_link.held_commits.is_empty());
    world.kill(0);
    world.state_link.hold_owner_commits.clear();
    world.run_until(30.0, |world| world.running_task_count() == 1);
    let store_revision = world.state.store_revision();
    let outcomes = world.apply_held_commits();
    assert!(!outcomes.is_empty());
    assert!(
        outcomes.iter().all(|o| matches!(o, Outcome::Conflict(_))),
        "{outcomes:?}"
    );
    assert_eq!(world.state.store_revision(), store_revision);
    world.run(20.0);
    assert_eq!(world.running_copies("j-000001/0"), 1);
    assert!(world.violations.is_empty(), "{:?}", world.violations);
}

/// Guards against a previous owner's transaction that is carried out late, but before the new owner
/// has written anything except its claim: the claim alone rejects the transaction.
#[test]
fn a_late_transaction_is_rejected_by_the_claim_alone() {
    let mut world = settled(Setup {
        machines: vec![("a", 2)],
        ..Setup::default()
    });
    world.state_link.hold_owner_commits.extend([0, 1, 2]);
    world.submit(&World::spec("j-000001", "service", 1));
    world.run_until(5.0, |world| !world.state_link.held_commits.is_empty());
    world.kill(0);
    let old = std::mem::take(&mut world.state_link.held_commits);
    world.run_until(15.0, |world| {
        world
            .trace
            .iter()
            .any(|l| l.contains("node-1 claims c/part/0: Applied"))
    });
    for commit in old {
        let outcome = world.state.commit(&commit);
        assert!(
            matches!(outcome, Outcome::Conflict(_)),
            "{outcome:?}: {commit:?}"
        );
    }
}

/// Guards against a task that runs twice: a machine that has reported to its new owner, but not
/// yet under the new token, falls silent. Its silence is no proof of an expired lease, because
/// the previous owner may have answered it since.
#[test]
fn silence_before_the_token_is_shown_proves_nothing() {
    let mut world = settled(Setup {
        machines: vec![("a", 2)],
        ..Setup::default()
    });
    world.submit(&World::spec("j-000001", "service", 1));
    world.run_until(5.0, |world| world.running_task_count() == 1);
    let host = world
        .workers
        .values()
        .find(|x| x.runs("j-000001/0"))
        .unwrap()
        .host
        .clone();
    world.network.unreachable.insert(host.clone());
    world.workers.get_mut(&host).unwrap().lease_ms = f64::INFINITY;
    world.kill(0);
    world.run_until(15.0, |world| {
        world
            .trace
            .iter()
            .any(|l| l.contains("node-1 claims c/part/0: Applied"))
    });
    world.run(0.5);
    // Its report arrives; the response, and with it the token, is lost.
    let report = world
        .workers
        .get_mut(&host)
        .unwrap()
        .next_heartbeat(world.now);
    let now = world.now;
    world.controllers[1]
        .as_mut()
        .unwrap()
        .handle_worker_heartbeat(&report, now);
    world.run(60.0);
    assert_eq!(
        starts(&world, "j-000001/0").len(),
        1,
        "{}",
        world.trace.join("\n")
    );
    assert!(world.violations.is_empty(), "{:?}", world.violations);
}

/// Guards against a previous owner's direct command that arrives late: it must not be executed.
#[test]
fn a_late_direct_command_is_rejected() {
    let mut world = settled(Setup {
        machines: vec![("a", 2)],
        ..Setup::default()
    });
    world
        .machines
        .slow_commands
        .extend(["host-000000".to_string(), "host-000001".to_string()]);
    world.submit(&World::spec("j-000001", "service", 1));
    world.run_until(5.0, |world| !world.machines.held_commands.is_empty());
    world.kill(0);
    let old = std::mem::take(&mut world.machines.held_commands);
    world.machines.slow_commands.clear();
    world.run_until(25.0, |world| world.running_task_count() == 1);
    world.machines.held_commands = old;
    assert_eq!(world.deliver_held_commands(), 0);
    assert!(world.violations.is_empty(), "{:?}", world.violations);
}

/// Guards against a direct command whose response is lost and that arrives after the task it was
/// sent for was cancelled: it starts nothing.
#[test]
fn a_cancellation_with_a_start_in_flight() {
    let mut world = settled(Setup {
        machines: vec![("a", 1)],
        ..Setup::default()
    });
    world.machines.slow_commands.insert("host-000000".into());
    world.submit(&World::spec("j-000001", "service", 1));
    world.run_until(5.0, |world| !world.machines.held_commands.is_empty());
    world.network.unreachable.insert("host-000000".into());
    world.cancel(1, "j-000001");
    world.run(1.0);
    world.network.unreachable.clear();
    world.run(10.0);
    assert!(!world.machines.held_commands.is_empty());
    world.deliver_held_commands();
    let trace = world.trace.join("\n");
    assert!(!trace.contains("late: "), "{trace}");
    assert_eq!(world.running_task_count(), 0, "{trace}");
    world.run(5.0);
    assert_eq!(world.running_task_count(), 0);
    // Nothing of the job is left in the state service but its end.
    assert_eq!(assignments_left(&world), Vec::<String>::new());
}

/// Guards against a cancelled task that runs on under an owner that is refused by the state
/// service and isolated from its peers, and so cannot see the cancellation. The owner stops
/// answering its workers in time for every lease to expire.
#[test]
fn a_cancellation_under_an_isolated_owner() {
    let mut world = settled(Setup {
        machines: vec![("a", 1)],
        ..Setup::default()
    });
    world.submit(&World::spec("j-000001", "service", 1));
    world.run_until(5.0, |world| world.running_task_count() == 1);
    world.state_link.refused.insert(0);
    world.network.isolated.insert(0);
    world.run(0.5);
    world.cancel(1, "j-000001");
    world.run(20.0);
    assert_eq!(
        world.running_task_count(),
        1,
        "the owner renews its workers' leases as long as it may"
    );
    world.run(20.0);
    assert_eq!(world.running_task_count(), 0, "{}", world.trace.join("\n"));
}

/// Guards against expired leases when only the workers cannot reach their owner: it gives up its
/// shard early enough for another owner to renew their leases.
#[test]
fn an_owner_cut_from_its_workers_gives_up_its_shard() {
    let mut world = settled(Setup {
        machines: vec![("a", 4)],
        ..Setup::default()
    });
    world.run(12.0);
    for x in world.workers.values_mut() {
        x.lease_ms = 20_000.0;
    }
    world.submit(&World::spec("j-000001", "service", 8));
    world.run_until(5.0, |world| world.running_task_count() == 8);
    world.network.cut_from_workers.insert(0);
    world.run(18.0);
    assert_eq!(world.running_task_count(), 8);
    world.run(40.0);
    assert!(
        world.trace.iter().all(|l| !l.contains("loses its lease")),
        "{}",
        world.trace.join("\n")
    );
    assert!(world.violations.is_empty(), "{:?}", world.violations);
}

/// Guards against a move of tasks to another shard that is carried out after their shard's owner
/// has assigned some of them: the page of assignments has changed, so the move must not apply. If
/// it applied, a running task would belong to another shard.
#[test]
fn a_move_by_outdated_state_is_rejected() {
    let mut world = settled(Setup::default());
    for x in world.workers.values_mut() {
        x.run_ms = 16_000.0;
    }
    world.submit(&World::spec("j-000001", "sweep", 12));
    world.run_until(5.0, |world| world.running_task_count() == 6);
    for n in 10..13 {
        let name = format!("host-{n:06}");
        let worker = cherryyard_simulation::WorkerStandIn::new(&name, "c", 2, 10_000.0, world.now);
        world.workers.insert(name, worker);
    }
    world.state_link.hold_leader_commits = true;
    world.run_until(14.0, |world| !world.state_link.held_commits.is_empty());
    let moves = std::mem::take(&mut world.state_link.held_commits);
    assert!(
        moves
            .iter()
            .all(|c| c.changes.iter().all(|a| a.key() == job_key(1)))
    );
    world.run(8.0);
    for commit in moves {
        let outcome = world.state.commit(&commit);
        assert!(
            matches!(outcome, Outcome::Conflict(_)),
            "{outcome:?}: {commit:?}"
        );
    }
    world.state_link.held_commits.clear();
    world.state_link.hold_leader_commits = false;
    world.run(40.0);
    assert!(world.violations.is_empty(), "{:?}", world.violations);
    let view = world.view(1, "j-000001").unwrap();
    assert_eq!(view.done + view.running, 12, "{view:?}");
}

/// Records the trace of a machine that is lost with its owner. It never shows the next owner its
/// token, so that owner cannot prove that its lease expired. It is released, and its task starts
/// again, once the other machines have reported, but not while a network fault may be the cause.
#[test]
fn trace_of_a_machine_lost_with_its_owner() {
    let mut world = settled(Setup {
        machines: vec![("a", 7)],
        ..Setup::default()
    });
    world.submit(&World::spec("j-000001", "sweep", 7));
    world.run_until(5.0, |world| world.running_task_count() == 7);
    world.kill(0);
    world.trace_line("host-000003 is lost");
    world.network.unreachable.insert("host-000003".into());
    world.run(4.0);
    world.start(0);
    world.run(9.0);
    assert!(world.trace.iter().all(|l| !l.contains("releases")));
    world.run(4.0);
    assert!(world.violations.is_empty(), "{:?}", world.violations);
    assert!(!world.workers.contains_key("host-000003"));
    assert_eq!(world.running_task_count(), 7, "{}", world.trace.join("\n"));
    insta::assert_snapshot!(world.trace.join("\n"));
}
