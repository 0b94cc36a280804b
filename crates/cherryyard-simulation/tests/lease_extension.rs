//! Extension of workers' leases when their owner restarts during an outage of the state service.

use cherryyard_simulation::{Setup, World};

/// Returns a cluster with six replicas on three machines, one machine in each shard.
fn running() -> World {
    let mut world = World::new(Setup::default());
    world.run(5.0);
    world.submit(&World::spec("j-000001", "service", 4));
    world.submit(&World::spec("j-000002", "service", 2));
    world.run_until(10.0, |world| world.running_task_count() == 6);
    // Long enough for the lists of cancellations to reach back beyond a lease.
    world.run(30.0);
    world
}

fn starts(world: &World) -> usize {
    world
        .trace
        .iter()
        .filter(|l| l.contains(" starts j-"))
        .count()
}

fn begin_outage(world: &mut World) {
    world.trace_line("the state service is down");
    world.state_link.refused = [0, 1, 2].into();
}

fn end_outage(world: &mut World) {
    world.trace_line("the state service is up");
    world.state_link.refused.clear();
}

/// Records the trace of owners that restart, one after the other, during an outage. Their workers'
/// leases are extended because peers that have run throughout confirm them, and no task restarts
/// after the outage.
#[test]
fn trace_of_owner_restarts_in_an_outage() {
    let mut world = running();
    let before = starts(&world);
    begin_outage(&mut world);
    world.run(4.0);
    for i in [0, 1] {
        world.kill(i);
        world.run(3.0);
        world.start(i);
        world.run(4.0);
    }
    world.run(40.0);
    assert_eq!(world.running_task_count(), 6, "{}", world.trace.join("\n"));
    end_outage(&mut world);
    world.run(30.0);
    assert_eq!(
        (world.running_task_count(), starts(&world)),
        (6, before),
        "{}",
        world.trace.join("\n")
    );
    assert!(world.violations.is_empty(), "{:?}", world.violations);
    insta::assert_snapshot!(world.trace.join("\n"));
}

/// Guards against lease extensions without evidence: all controllers restart at once, so none
/// has the tokens or the cancellations, and the leases must expire.
#[test]
fn no_lease_extension_after_all_controllers_restart() {
    let mut world = running();
    begin_outage(&mut world);
    world.run(4.0);
    world.restart_all();
    world.run(20.0);
    assert_eq!(world.running_task_count(), 0);
    end_outage(&mut world);
    world.run(40.0);
    assert_eq!(world.running_task_count(), 6, "{}", world.trace.join("\n"));
    assert!(world.violations.is_empty(), "{:?}", world.violations);
}

/// Guards against lease extensions when the state service refuses only one controller and that one
/// restarts: the others can accept cancellations, and its shard gets another owner, so it must
/// answer no worker.
#[test]
fn no_lease_extension_without_a_general_outage() {
    let mut world = running();
    world.state_link.refused.insert(0);
    world.run(1.0);
    world.kill(0);
    world.run(1.0);
    world.start(0);
    world.run(5.0);
    world.cancel(1, "j-000001");
    world.run(39.0);
    assert_eq!(world.running_task_count(), 2, "{}", world.trace.join("\n"));
    assert!(world.violations.is_empty(), "{:?}", world.violations);
}

/// Guards against lease extensions of cancelled tasks: a controller accepts a cancellation just
/// before an outage and ends, and the job's owner ends too. The third controller has learned of
/// the cancellation, so no lease of the job's tasks is extended.
#[test]
fn no_lease_extension_for_cancelled_jobs() {
    for owner_reads in [true, false] {
        let mut world = running();
        if !owner_reads {
            world.state_link.refused.insert(0);
            world.run(1.0);
        }
        world.cancel(1, "j-000001");
        world.run(if owner_reads { 0.05 } else { 0.7 });
        begin_outage(&mut world);
        world.run(0.5);
        world.kill(0);
        world.kill(1);
        world.run(2.0);
        world.start(0);
        world.start(1);
        world.run(60.0);
        assert!(
            world.violations.is_empty(),
            "{:?}\n{}",
            world.violations,
            world.trace.join("\n")
        );
        assert!(
            world.running_task_count() <= 2,
            "{}",
            world.trace.join("\n")
        );
    }
}

/// Guards against lease extensions by outdated evidence: the peers that know the cancellations are
/// frozen, and their reports count for 3 s at most.
#[test]
fn no_lease_extension_by_frozen_peers() {
    let mut world = running();
    begin_outage(&mut world);
    world.run(4.0);
    world.kill(0);
    world.run(2.0);
    world.start(0);
    world.run(4.0);
    world.processes.frozen = [1, 2].into();
    world.run(25.0);
    assert_eq!(world.running_task_count(), 0, "{}", world.trace.join("\n"));
    world.processes.frozen.clear();
    end_outage(&mut world);
    world.run(40.0);
    assert_eq!(world.running_task_count(), 6);
    assert!(world.violations.is_empty(), "{:?}", world.violations);
}
