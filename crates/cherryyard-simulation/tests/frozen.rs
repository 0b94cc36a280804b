//! Frozen controllers whose clocks run on, delayed packets, and inconsistent machine lists.

use cherryyard_core::{Effect, Reply};
use cherryyard_simulation::{Setup, World, seeded_draws};
use cherryyard_wire::cloud::{Instance, InstanceStatus};

fn running(setup: Setup, task_count: u32) -> World {
    let mut world = World::new(setup);
    world.run(5.0);
    world.submit(&World::spec("j-000001", "service", task_count));
    world.run_until(10.0, |world| {
        world.running_task_count() == task_count as usize
    });
    world.run(10.0);
    world
}

fn listed(world: &World, names: impl Iterator<Item = String>) -> Vec<Instance> {
    let entry = |name: String| Instance {
        addr: format!("{name}:9000"),
        machine_type: "m4".into(),
        zone: world.workers[&name].zone.clone(),
        spot: false,
        status: InstanceStatus::Running,
        held_s: 500.0,
        id: name,
    };
    names.map(entry).collect()
}

/// Guards against actions on outdated state: a controller that was frozen resumes with all timers
/// due, and with a machine list and reports waiting for it. Whichever shards it still considers
/// its own, and however long all its machines seem silent, it writes nothing and sends no command
/// before it has read the current state.
#[test]
fn a_resumed_controller_reads_before_it_acts() {
    for frozen_s in [3.0, 20.0, 35.0, 70.0] {
        let mut world = running(
            Setup {
                machines: vec![("a", 4), ("b", 1), ("c", 1)],
                ..Setup::default()
            },
            8,
        );
        world.processes.frozen.insert(0);
        // A report that waits in the controller's own socket during the freeze.
        let name = world.workers.keys().next().unwrap().clone();
        let old = world
            .workers
            .get_mut(&name)
            .unwrap()
            .next_heartbeat(world.now);
        world.run(frozen_s);
        let now = world.now;
        let names: Vec<String> = world.workers.keys().cloned().collect();
        let list = listed(&world, names.into_iter());
        let heartbeat = world.controllers[1].as_mut().unwrap().build_heartbeat(now);
        let controller = world.controllers[0].as_mut().unwrap();
        controller.effects();
        for order in [[0, 1, 2, 3], [3, 2, 1, 0], [1, 3, 0, 2]] {
            for event in order {
                match event {
                    0 => controller.tick(now),
                    1 => controller.handle_machine_list(list.clone(), now),
                    2 => controller.handle_peer_heartbeat(heartbeat.clone(), now),
                    _ => {
                        if let Reply::Answer(a) = controller.handle_worker_heartbeat(&old, now) {
                            assert!(a.commands.is_empty(), "{frozen_s}: {:?}", a.commands);
                        }
                    }
                }
                // A status query to a machine changes nothing.
                let acts = |e: &Effect| {
                    !matches!(
                        e,
                        Effect::Refresh | Effect::Heartbeat | Effect::QueryStatus { .. }
                    )
                };
                let effects = controller.effects();
                assert!(!effects.iter().any(acts), "{frozen_s}: {effects:?}");
            }
        }
        assert!(!controller.ready(now));
        world.processes.frozen.clear();
        world.run(60.0);
        assert!(world.violations.is_empty(), "{:?}", world.violations);
        assert_eq!(world.running_task_count(), 8, "{}", world.trace.join("\n"));
        let released = world
            .trace
            .iter()
            .filter(|l| l.contains("releases"))
            .count();
        assert_eq!(released, 0, "{}", world.trace.join("\n"));
    }
}

/// Records the trace of a controller that is frozen for half a minute while another takes over
/// its shard.
#[test]
fn trace_of_a_freeze() {
    let mut world = running(Setup::default(), 4);
    world.trace_line("node-0 stands still");
    world.processes.frozen.insert(0);
    world.run(32.0);
    world.trace_line("node-0 goes on");
    world.processes.frozen.clear();
    world.run(30.0);
    assert!(world.violations.is_empty(), "{:?}", world.violations);
    assert_eq!(world.running_task_count(), 4);
    insta::assert_snapshot!(world.trace.join("\n"));
}

/// Guards against reports delayed by 51 s, of machines that were given up meanwhile and whose
/// tasks run elsewhere: they cause no assignment, no placement on these machines, and no command
/// except to stop the tasks of the old incarnations.
#[test]
fn long_delayed_reports_change_nothing() {
    let mut world = running(
        Setup {
            machines: vec![("a", 6), ("b", 1), ("c", 1)],
            ..Setup::default()
        },
        10,
    );
    let cut: Vec<String> = world.workers.keys().take(3).cloned().collect();
    let now = world.now;
    let held: Vec<_> = cut
        .iter()
        .flat_map(|name| {
            let worker = world.workers.get_mut(name).unwrap();
            [worker.next_heartbeat(now), worker.next_heartbeat(now)]
        })
        .collect();
    world.network.unreachable.extend(cut.iter().cloned());
    world.run(51.0);
    assert_eq!(world.running_task_count(), 10, "{}", world.trace.join("\n"));
    let assignments = |world: &World| -> Vec<_> {
        let pairs = world.state.pairs();
        pairs
            .into_iter()
            .filter(|p| p.key.contains("mark"))
            .map(|p| (p.key, p.value.text().to_string()))
            .collect()
    };
    let before = assignments(&world);
    let now = world.now;
    for report in &held {
        // The worker does not receive the response: it gave up waiting long ago.
        world.controllers[0]
            .as_mut()
            .unwrap()
            .handle_worker_heartbeat(report, now);
    }
    world.run(1.0);
    assert_eq!(assignments(&world), before);
    world.network.unreachable.clear();
    world.run(30.0);
    assert!(world.violations.is_empty(), "{:?}", world.violations);
    assert_eq!(world.running_task_count(), 10);
}

/// Guards against wrong releases when pages of a machine list differ in age: one page shows
/// machines that are gone, the next lacks some that run. No reporting machine is released, and
/// no released machine returns.
#[test]
fn inconsistent_machine_lists_release_no_reporting_machine() {
    let mut world = running(
        Setup {
            machines: vec![("a", 9)],
            zones: vec!["a"],
            ..Setup::default()
        },
        12,
    );
    world.run(60.0);
    let names: Vec<String> = world.workers.keys().cloned().collect();
    for missing in 0..3 {
        let seen = names.iter().enumerate();
        let seen = seen.filter(|(i, _)| i / 3 != missing).map(|n| n.1.clone());
        let list = listed(&world, seen);
        let now = world.now;
        world.controllers[0]
            .as_mut()
            .unwrap()
            .handle_machine_list(list, now);
        world.run(3.0);
    }
    assert_eq!(world.workers.len(), 9, "{}", world.trace.join("\n"));
    assert_eq!(world.running_task_count(), 12);
}

/// Guards against ticks whose cost grows with the fleet: one completion makes scheduling cycles
/// inspect the same number of machines in fleets of 130 and 1,300 machines. Beyond that, only the
/// full inspection every 5 s depends on the fleet.
#[test]
fn one_completion_costs_the_same_in_a_fleet_ten_times_as_large() {
    let cost = |machines: usize| {
        let mut world = World::new(Setup {
            zones: vec!["a"],
            machines: vec![("a", machines)],
            ..Setup::default()
        });
        world.run(5.0);
        world.submit(&World::spec("j-000001", "sweep", machines as u32));
        world.run_until(30.0, |world| world.running_task_count() == machines);
        world.run(10.0);
        let inspected_machines =
            |world: &World| world.controllers[0].as_ref().unwrap().inspected_machines;
        // Measured between two inspections of all machines, which come every 5 s.
        let before = inspected_machines(&world);
        world.run_until(6.0, |world| inspected_machines(world) > before);
        let before_completion = inspected_machines(&world);
        world.workers.values_mut().next().unwrap().run_ms = 0.0;
        world.run(4.0);
        inspected_machines(&world) - before_completion
    };
    let (small, large) = (cost(130), cost(1300));
    assert!(small > 0, "{small}");
    assert!(large <= small + 5, "{small} {large}");
}

/// Guards against a cancelled job that runs on during an outage. A controller is frozen, another
/// accepts a cancellation, the state service goes down for all, and the first resumes. Every peer
/// reports that it is cut off too, and yet there is a cancellation that the first controller has
/// not seen. Once, it answered its workers for the whole outage, so the cancelled tasks ran on.
#[test]
fn a_frozen_controller_misses_a_cancellation_before_an_outage() {
    for (frozen_s, cancels) in [(8.0, true), (0.0, false)] {
        let mut world = running(Setup::default(), 6);
        if cancels {
            world.processes.frozen.insert(0);
            world.run(0.5);
            world.cancel(1, "j-000001");
        }
        world.run(0.5);
        world.state_link.refused = [0, 1, 2].into();
        world.run(frozen_s);
        world.processes.frozen.clear();
        world.run(39.0 - frozen_s);
        if cancels {
            assert_eq!(world.running_task_count(), 0, "{}", world.trace.join("\n"));
        } else {
            // No cancellation was missed: running tasks go on. A freeze during the outage, when no
            // controller can have accepted one, changes nothing.
            assert_eq!(world.running_task_count(), 6);
            world.processes.frozen.insert(0);
            world.run(5.0);
            world.processes.frozen.clear();
            world.run(40.0);
            assert_eq!(world.running_task_count(), 6, "{}", world.trace.join("\n"));
        }
    }
}

/// Guards against a cancelled job that runs on when the state service refuses one controller
/// alone, another accepts a cancellation, and then the state service refuses all.
#[test]
fn a_refused_controller_misses_a_cancellation_before_an_outage() {
    let mut world = running(Setup::default(), 6);
    world.state_link.refused.insert(0);
    world.run(3.0);
    world.cancel(1, "j-000001");
    world.run(2.0);
    world.state_link.refused = [0, 1, 2].into();
    world.run(60.0);
    assert_eq!(world.running_task_count(), 0, "{}", world.trace.join("\n"));
    assert!(world.violations.is_empty(), "{:?}", world.violations);
}

/// Runs random overlaps of freezes, refusals of one controller, outages, ends and cancellations:
/// no task runs on two machines, and no task of a cancelled job runs 40 s later.
#[test]
fn random_overlaps_with_cancellations() {
    for seed in 0..60u64 {
        let mut next = seeded_draws(seed);
        let mut world = World::new(Setup::default());
        world.run(5.0);
        for id in ["j-000001", "j-000002", "j-000003"] {
            world.submit(&World::spec(id, "service", 2));
        }
        world.run(6.0);
        let mut open = vec!["j-000001", "j-000002", "j-000003"];
        for _ in 0..14 {
            let i = next(3) as usize;
            match next(9) {
                0 | 1 => {
                    world.processes.frozen.insert(i);
                }
                2 => world.processes.frozen.clear(),
                3 => {
                    world.state_link.refused.insert(i);
                }
                4 => world.state_link.refused = [0, 1, 2].into(),
                5 => world.state_link.refused.clear(),
                6 if world.controllers[i].is_some() => world.kill(i),
                6 => world.start(i),
                _ => {
                    let available = world.controllers[i]
                        .as_ref()
                        .is_some_and(|n| n.mirror.loaded);
                    let available = available
                        && !world.state_link.refused.contains(&i)
                        && !world.processes.frozen.contains(&i);
                    if available
                        && open.len() > 1
                        && let Some(id) = open.pop()
                    {
                        world.cancel(i, id);
                    }
                }
            }
            // The pauses are mostly short and sometimes long.
            let s = if next(4) == 0 { next(300) } else { next(30) };
            world.run(s as f64 / 10.0);
        }
        // Mostly, a long outage follows soon after one controller was cut off or frozen.
        if next(3) > 0 {
            world.processes.frozen.clear();
            world.state_link.refused.clear();
            for k in 0..3 {
                if world.controllers[k].is_none() {
                    world.start(k);
                }
            }
            world.run(15.0);
            let i = next(3) as usize;
            if next(2) == 0 {
                world.processes.frozen.insert(i);
            } else {
                world.state_link.refused.insert(i);
            }
            world.run(next(30) as f64 / 10.0);
            if let Some(id) = open.pop() {
                world.cancel((i + 1) % 3, id);
            }
            world.run(next(20) as f64 / 10.0);
            world.state_link.refused = [0, 1, 2].into();
            world.run(next(60) as f64 / 10.0);
            world.processes.frozen.clear();
            // Controllers end during the outage, so that peers' reports decide on lease extensions.
            for _ in 0..next(3) {
                let k = next(3) as usize;
                world.kill(k);
                world.run(next(30) as f64 / 10.0);
                world.start(k);
                world.run(next(40) as f64 / 10.0);
            }
        }
        world.run(45.0);
        assert!(
            world.violations.is_empty(),
            "seed {seed}: {:?}\n{}",
            world.violations,
            world.trace.join("\n")
        );
    }
}
