//! Machines that report but receive nothing, late copies of reports, and restarted workers.

use cherryyard_simulation::{Setup, World, run_seeds, seeded_draws};

fn settled(setup: Setup) -> World {
    let mut world = World::new(setup);
    world.run(5.0);
    world
}

fn count(world: &World, from: usize, needle: &str) -> usize {
    world.trace[from..]
        .iter()
        .filter(|l| l.contains(needle))
        .count()
}

fn host_of(world: &World, task_name: &str) -> String {
    let on = world.workers.values().find(|x| x.runs(task_name));
    on.expect("the task runs").host.clone()
}

/// Guards against assignments that are lost for the length of a lease each on a machine without
/// inbound traffic. Its tasks run elsewhere once its next incarnation shows that its lease has
/// expired. Meanwhile nothing is placed on it, although each of its incarnations looks like an
/// empty machine. It is used again once it receives traffic.
#[test]
fn a_machine_without_inbound_traffic_gets_no_tasks() {
    let mut world = settled(Setup {
        machines: vec![("a", 3)],
        ..Setup::default()
    });
    world.submit(&World::spec("j-000001", "sweep", 2));
    world.run_until(5.0, |world| world.running_task_count() == 2);
    let host = host_of(&world, "j-000001/0");
    world.network.inbound_lost.insert(host.clone());
    world.run(30.0);
    assert_eq!(world.running_task_count(), 2, "{}", world.trace.join("\n"));
    let from = world.trace.len();
    for job in 2..8 {
        // Six tasks of two cores: more than the other two machines have left.
        world.submit(&World::spec(&format!("j-00000{job}"), "service", 1));
    }
    world.run(40.0);
    assert_eq!(
        world.running_task_count(),
        4,
        "the other two machines are full"
    );
    assert_eq!(count(&world, from, &format!("{host} starts")), 0);
    world.network.inbound_lost.clear();
    world.run_until(20.0, |world| world.running_task_count() == 6);
    assert_eq!(world.workers.len(), 3, "a machine was released");
    assert!(world.violations.is_empty(), "{:?}", world.violations);
}

/// Guards against releases and stale tasks when all machines of a zone lose inbound traffic,
/// including a cancellation, and their reports go from controller to controller. Cancelled tasks
/// stop in time, the other tasks run in other zones, and no machine of the zone is released.
#[test]
fn a_zone_without_inbound_traffic() {
    for copies in [None, Some(3000.0), Some(25_000.0)] {
        let mut world = settled(Setup {
            machines: vec![("a", 3), ("b", 3), ("c", 3)],
            ..Setup::default()
        });
        world.duplicates.delay_ms = copies;
        world.submit(&World::spec("j-000001", "service", 6));
        world.submit(&World::spec("j-000002", "sweep", 3));
        world.run_until(10.0, |world| world.running_task_count() == 9);
        let zone: Vec<String> = world
            .workers
            .values()
            .filter(|x| x.zone == "a")
            .map(|x| x.host.clone())
            .collect();
        world.network.inbound_lost.extend(zone);
        world.run(3.0);
        world.cancel(1, "j-000002");
        world.run(45.0);
        assert_eq!(
            world.running_copies("j-000002/0") + world.running_copies("j-000002/1"),
            0
        );
        let there = (0..6)
            .filter(|n| world.running_copies(&format!("j-000001/{n}")) == 1)
            .count();
        assert_eq!(there, 6, "{}", world.trace.join("\n"));
        world.network.inbound_lost.clear();
        world.run(40.0);
        assert_eq!(world.workers.len(), 9, "a machine was released");
        assert!(world.violations.is_empty(), "{:?}", world.violations);
    }
}

/// Guards against copies of reports that extend, from the owner's view, a lease that the worker
/// has lost. A dead machine's reports arrive again for longer than its lease; its tasks must run
/// elsewhere as soon as without the copies.
#[test]
fn copied_reports_extend_no_lease_of_a_dead_machine() {
    let mut waits = Vec::new();
    for copies in [None, Some(2500.0), Some(9000.0), Some(30_000.0)] {
        let mut world = settled(Setup {
            machines: vec![("a", 3)],
            ..Setup::default()
        });
        world.duplicates.delay_ms = copies;
        world.submit(&World::spec("j-000001", "sweep", 1));
        world.run_until(5.0, |world| world.running_task_count() == 1);
        world.run(35.0);
        let host = host_of(&world, "j-000001/0");
        world.network.unreachable.insert(host.clone());
        world.workers.get_mut(&host).unwrap().tasks.clear();
        let at = world.now;
        world.run_until(40.0, |world| world.running_task_count() == 1);
        waits.push((world.now - at) / 1000.0);
        assert!(world.violations.is_empty(), "{:?}", world.violations);
    }
    let without = waits[0];
    assert!(waits.iter().all(|s| *s < without + 2.5), "{waits:?}");
}

/// Guards against copies of reports that arrive after a takeover of the shard: they show a token
/// that is not the new owner's, so they must have no effect.
#[test]
fn copied_reports_after_a_takeover_have_no_effect() {
    for ms in [1500.0, 6000.0, 14_000.0, 40_000.0] {
        let mut world = settled(Setup {
            machines: vec![("a", 3), ("b", 1)],
            ..Setup::default()
        });
        world.duplicates.delay_ms = Some(ms);
        world.submit(&World::spec("j-000001", "service", 5));
        world.run_until(5.0, |world| world.running_task_count() == 5);
        world.run(20.0);
        world.kill(0);
        world.run(10.0);
        world.start(0);
        world.run(60.0);
        assert_eq!(world.running_task_count(), 5, "{}", world.trace.join("\n"));
        assert_eq!(world.workers.len(), 4);
        assert!(world.violations.is_empty(), "{:?}", world.violations);
    }
}

/// Guards against a restarted worker whose reports are mistaken for old copies: it numbers them
/// from the start again. The owner must query it and restart its tasks within seconds. Once, its
/// reports were ignored for as long as the previous process had run, and its tasks were
/// considered running.
#[test]
fn a_restarted_workers_reports_are_not_taken_for_copies() {
    for copies in [None, Some(2000.0), Some(30_000.0)] {
        let mut world = settled(Setup {
            machines: vec![("a", 2)],
            ..Setup::default()
        });
        world.duplicates.delay_ms = copies;
        world.submit(&World::spec("j-000001", "service", 3));
        world.run_until(5.0, |world| world.running_task_count() == 3);
        world.run(60.0);
        let host = host_of(&world, "j-000001/1");
        world.restart_machine(&host);
        assert!(world.running_task_count() < 3);
        let from = world.trace.len();
        world.run_until(12.0, |world| world.running_task_count() == 3);
        world.run(60.0);
        assert!(
            count(&world, from, "starts") <= 2,
            "more starts than lost tasks"
        );
        assert_eq!(world.running_task_count(), 3);
        assert!(world.violations.is_empty(), "{:?}", world.violations);
    }
}

/// Guards against tasks that wait for a machine whose heartbeats are lost while direct commands reach
/// it: only the answer to a heartbeat could start them. They start elsewhere before its lease is over.
#[test]
fn tasks_leave_a_machine_whose_heartbeats_are_lost() {
    let mut world = settled(Setup {
        machines: vec![("a", 3)],
        ..Setup::default()
    });
    let host = "host-000000".to_string();
    world.network.outbound_lost.insert(host.clone());
    world.submit(&World::spec("j-000001", "service", 4));
    let seconds = Setup::default().lease_ms() / 1000.0;
    world.run_until(seconds, |world| world.running_task_count() == 4);
    assert_eq!(world.workers[&host].running_tasks().count(), 0);
    world.network.outbound_lost.clear();
    world.run(20.0);
    assert_eq!(world.running_task_count(), 4);
    assert!(world.violations.is_empty(), "{:?}", world.violations);
}

/// Guards against a task that runs twice: a direct command to a worker's previous process is in
/// flight.
#[test]
fn a_start_to_a_workers_previous_process() {
    let mut world = settled(Setup {
        machines: vec![("a", 2)],
        ..Setup::default()
    });
    world.run(30.0);
    let hosts: Vec<String> = world.workers.keys().cloned().collect();
    world.machines.slow_commands.extend(hosts.clone());
    world.submit(&World::spec("j-000001", "service", 1));
    world.run_until(5.0, |world| !world.machines.held_commands.is_empty());
    let host = world.machines.held_commands[0].machine.clone();
    let held = std::mem::take(&mut world.machines.held_commands);
    world.restart_machine(&host);
    world.machines.held_commands = held;
    world.run(15.0);
    world.machines.slow_commands.clear();
    world.deliver_held_commands();
    world.run(20.0);
    assert_eq!(
        world.running_copies("j-000001/0"),
        1,
        "{}",
        world.trace.join("\n")
    );
    assert!(world.violations.is_empty(), "{:?}", world.violations);
}

/// Guards against a task that counts as running for ever after a worker restarts while its shard
/// gets a new owner, which has no record of incarnations. An assignment of an incarnation that the
/// worker has not reached yet belongs to its previous process (found at seed 1930 of the random
/// overlaps below).
#[test]
fn a_worker_restarts_under_a_new_owner() {
    let mut world = settled(Setup {
        machines: vec![("a", 2)],
        ..Setup::default()
    });
    let host = "host-000000".to_string();
    // The worker begins its second incarnation.
    world.network.unreachable.insert(host.clone());
    world.run(12.0);
    world.network.unreachable.clear();
    world.run(5.0);
    world.submit(&World::spec("j-000001", "service", 4));
    world.run_until(5.0, |world| world.running_task_count() == 4);
    world.kill(0);
    world.run(1.0);
    world.restart_machine(&host);
    world.start(0);
    world.run_until(25.0, |world| world.running_task_count() == 4);
    world.run(30.0);
    assert_eq!(world.running_task_count(), 4);
    assert!(world.violations.is_empty(), "{:?}", world.violations);
}

/// Guards against status queries for each report: a cluster without faults sends none, and one
/// with copies of all reports sends few.
#[test]
fn few_status_queries_are_sent() {
    let mut world = settled(Setup {
        machines: vec![("a", 10), ("b", 10)],
        ..Setup::default()
    });
    world.submit(&World::spec("j-000001", "service", 20));
    world.run(60.0);
    assert_eq!(world.machines.status_queries, 0);
    world.duplicates.delay_ms = Some(7000.0);
    world.run(60.0);
    assert!(
        world.machines.status_queries <= 20,
        "{}",
        world.machines.status_queries
    );
}

/// Runs random overlaps of this file's faults with ends, freezes, refusals and cancellations;
/// afterwards each task that was not cancelled runs exactly once.
fn scenario(seed: u64) {
    let mut draw = seeded_draws(seed);
    let mut world = settled(Setup {
        machines: vec![("a", 3), ("b", 3), ("c", 3)],
        ..Setup::default()
    });
    let jobs = 8;
    for job in 1..=jobs {
        let shape = if job % 2 == 0 { "service" } else { "sweep" };
        world.submit(&World::spec(&format!("j-00000{job}"), shape, 1));
    }
    world.run(5.0);
    let mut cancelled = 0;
    for _ in 0..12 {
        let hosts: Vec<String> = world.workers.keys().cloned().collect();
        let host = hosts[draw(hosts.len() as u64) as usize].clone();
        let i = draw(3) as usize;
        match draw(11) {
            0 => drop(world.network.inbound_lost.insert(host)),
            1 => world.network.inbound_lost.extend(
                hosts
                    .into_iter()
                    .filter(|h| h.as_bytes()[10] % 3 == i as u8),
            ),
            2 => world.duplicates.delay_ms = Some(500.0 + draw(44_500) as f64),
            3 => world.restart_machine(&host),
            4 => {
                if world.controllers[i].is_some() {
                    world.kill(i);
                    world.run([0.0, 0.05, 0.5, 4.0][draw(4) as usize]);
                }
                world.start(i);
            }
            5 => drop(world.processes.frozen.insert(i)),
            6 => drop(world.network.isolated.insert(i)),
            7 => {
                world.state_link.refused.insert(i);
                world.network.isolated.insert(i);
            }
            8 => drop(world.machines.slow_commands.insert(host)),
            9 => drop(world.network.unreachable.insert(host)),
            _ => {
                world.network.inbound_lost.clear();
                world.processes.frozen.clear();
                world.network.isolated.clear();
                world.state_link.refused.clear();
                world.network.unreachable.clear();
                world.machines.slow_commands.clear();
                world.deliver_held_commands();
            }
        }
        if cancelled < 2
            && draw(100) < 15
            && world.state_link.refused.len() + world.processes.frozen.len() == 0
        {
            cancelled += 1;
            let id = format!("j-00000{}", jobs + 1 - cancelled);
            world.cancel(0, &id);
        }
        world.run(0.2 + draw(88) as f64 / 10.0);
    }
    world.network.inbound_lost.clear();
    world.processes.frozen.clear();
    world.network.isolated.clear();
    world.state_link.refused.clear();
    world.network.unreachable.clear();
    world.machines.slow_commands.clear();
    world.deliver_held_commands();
    for _ in 0..20 {
        world.run(5.0);
        world.list_machines();
    }
    assert!(
        world.violations.is_empty(),
        "seed {seed}: {:?}",
        world.violations
    );
    for job in 1..=jobs - cancelled {
        let task_name = format!("j-00000{job}/0");
        assert_eq!(
            world.running_copies(&task_name),
            1,
            "seed {seed}: {task_name}\n{}",
            world.trace.join("\n")
        );
    }
}

#[test]
fn random_overlaps() {
    (0..40).for_each(scenario);
}

/// Runs on demand; the environment variables `FROM` and `SEEDS` choose the seeds.
#[test]
#[ignore = "minutes"]
fn random_overlaps_by_the_thousand() {
    run_seeds(40, 1000, scenario);
}

/// Guards against a stale connection to a peer that was down and has restarted. Once, such a
/// connection accepted a minute's heartbeats without a response, while the shard's workers were
/// directed to a controller that did not answer. A peer that acknowledges none of our messages
/// for three seconds is reconnected, and again after three more; one that acknowledges is not.
#[test]
fn a_peer_that_acknowledges_nothing_is_reconnected() {
    let mut world = settled(Setup::default());
    let to_reconnect = |world: &mut World| -> Vec<String> {
        let now = world.now;
        let controller = world.controllers[0].as_mut().expect("running");
        controller
            .peers_to_reconnect(now)
            .into_iter()
            .map(Into::into)
            .collect()
    };
    assert!(to_reconnect(&mut world).is_empty());
    world.kill(2);
    world.run(2.0);
    assert!(to_reconnect(&mut world).is_empty());
    let mut reconnected = Vec::new();
    for _ in 0..16 {
        world.run(0.5);
        reconnected.extend(to_reconnect(&mut world));
    }
    assert_eq!(reconnected, ["node-2", "node-2"]);
    world.start(2);
    world.run(3.5);
    assert!(to_reconnect(&mut world).is_empty());
}
