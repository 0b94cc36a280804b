//! Two faults at once, one test for each combination that has broken schedulers.
//! `docs/restart.md` lists the combinations and their tests. Heartbeat gaps, late transactions
//! and random scenarios are in files of their own.

mod common;

use cherryyard_simulation::fault::leader;
use cherryyard_simulation::{Users, World};
use cherryyard_wire::job::JobStatus;
use common::concurrent::{array, assert_recovers, cluster};
use std::collections::BTreeSet;

fn starts(world: &World, task_name: &str) -> usize {
    let needle = format!("starts {task_name} ");
    world.trace.iter().filter(|l| l.contains(&needle)).count()
}

/// Guards against lost tasks when all controllers end during a handover of a shard. A controller's
/// shard moves to another one and the restarted controller asks for it back; all end at one of
/// eight moments, 150 ms apart, around that request, and one returns after 0, 50, 500 or 1000 ms.
#[test]
fn all_controllers_end_during_a_shard_handover() {
    for back_ms in [0.0, 50.0, 500.0, 1000.0] {
        for step in (0..24).step_by(3) {
            let mut world = cluster(f64::INFINITY);
            let mut users = Users::default();
            for job in 1..=3 {
                users.submit(
                    &mut world,
                    &World::spec(&format!("j-00000{job}"), "service", 4),
                );
            }
            users.run(&mut world, 4.0);
            // Another controller takes over its shard.
            world.kill(1);
            users.run(&mut world, 9.0);
            world.start(1);
            // The restarted controller asks for its shard back 12 s after its start.
            users.run(&mut world, 11.5);
            world.run(f64::from(step) * 0.05);
            for i in 0..3 {
                world.kill(i);
            }
            world.run(back_ms / 1000.0);
            world.start(step as usize % 3);
            world.run(back_ms / 1000.0);
            let case = format!("back after {back_ms} ms, step {step}");
            users.run(&mut world, 6.0);
            assert_recovers(&mut world, &mut users, &case);
            assert_eq!(world.running_task_count(), 12, "{case}");
        }
    }
}

/// Guards against jobs that are reported done too early or never, and against completed tasks
/// that run again. Jobs of two and three tasks end 5 to 60 s apart, across one or two changes of
/// the leader and the owners.
#[test]
fn tasks_complete_once_across_leader_changes() {
    for apart_s in [5.0, 20.0, 60.0] {
        for changes in [1, 2] {
            for late in [0, 25] {
                let mut world = cluster(f64::INFINITY);
                world.seed_state_link(changes);
                let mut users = Users::default();
                users.submit(&mut world, &array(1, 2));
                users.submit(&mut world, &array(2, 3));
                users.run(&mut world, 5.0);
                let case = format!("{apart_s} s, {changes} changes, {late}% late");
                assert_eq!(world.running_task_count(), 5, "{case}");
                world.state_link.delayed_percent = late;
                // One task of each job ends, and after each of the first `changes` of them the
                // leader, which owns a shard too, ends and restarts.
                for (n, task_name) in ["/0", "/1", "/2"].into_iter().enumerate() {
                    for job in ["j-000001", "j-000002"] {
                        let task_name = format!("{job}{task_name}");
                        for worker in world.workers.values_mut() {
                            worker.finish(&task_name);
                        }
                    }
                    users.run(&mut world, apart_s / 2.0);
                    if (n as u64) < changes {
                        let ended_leader = leader(&world);
                        world.kill(ended_leader);
                        users.run(&mut world, apart_s / 2.0);
                        world.start(ended_leader);
                    }
                }
                users.run(&mut world, 16.0);
                world.state_link.delayed_percent = 0;
                users.run(&mut world, 16.0);
                for (job, task_count) in [("j-000001", 2), ("j-000002", 3)] {
                    for i in 0..3 {
                        let view = world.view(i, job).expect("the job is known");
                        assert_eq!(view.status, JobStatus::Done, "{case}: {job}");
                    }
                    for n in 0..task_count {
                        let task_name = format!("{job}/{n}");
                        assert_eq!(starts(&world, &task_name), 1, "{case}: {task_name}");
                    }
                }
                assert_recovers(&mut world, &mut users, &case);
            }
        }
    }
}

/// Guards against duplicate tasks and wrong releases when the leader ends while machines with long
/// tasks are unreachable or do not receive the new leader's responses. None of their tasks starts
/// elsewhere without proof, no reporting machine is released because of outdated state, and all
/// machines are found again.
#[test]
fn a_leader_ends_while_machines_are_unreachable() {
    for (only_inbound_lost, cut_s) in [
        (false, 4.0),
        (false, 25.0),
        (true, 4.0),
        (true, 8.0),
        (true, 25.0),
    ] {
        let mut world = cluster(f64::INFINITY);
        let mut users = Users::default();
        for job in 1..=3 {
            users.submit(&mut world, &array(job, 8));
        }
        users.run(&mut world, 8.0);
        assert_eq!(world.running_task_count(), 24);
        let ended_leader = leader(&world);
        let zone = ["a", "b", "c"][ended_leader];
        let cut_hosts: BTreeSet<String> = world
            .workers
            .values()
            .filter(|x| x.zone == zone)
            .map(|x| x.host.clone())
            .collect();
        if only_inbound_lost {
            world.network.inbound_lost = cut_hosts;
        } else {
            world.network.unreachable = cut_hosts;
        }
        users.run(&mut world, 1.0);
        world.kill(ended_leader);
        users.run(&mut world, cut_s);
        world.network.inbound_lost.clear();
        world.network.unreachable.clear();
        users.run(&mut world, 10.0);
        world.start(ended_leader);
        users.run(&mut world, 60.0);
        let case = format!("only inbound traffic lost {only_inbound_lost}, {cut_s} s");
        assert!(
            world.violations.is_empty(),
            "{case}: {:?}",
            world.violations
        );
        let released = world
            .trace
            .iter()
            .filter(|l| l.contains("releases"))
            .count();
        assert_eq!(released, 0, "{case}: {}", world.trace.join("\n"));
        assert_eq!(
            world.running_task_count(),
            24,
            "{case}: {}",
            world.trace.join("\n")
        );
        for worker in world.workers.values_mut() {
            worker.run_ms = 1000.0;
        }
        assert_recovers(&mut world, &mut users, &case);
    }
}

/// Guards against broken rules when the state service is slow: its latency is hundreds of
/// milliseconds, seconds, or just above a controller's timeout, alone and before it refuses one
/// controller and then all. Jobs are cancelled meanwhile.
#[test]
fn a_slow_state_service() {
    for slow_ms in [300.0, 1500.0, 2100.0, 4000.0] {
        for refuses in [false, true] {
            let mut world = cluster(f64::INFINITY);
            world.seed_state_link(slow_ms as u64);
            let mut users = Users::default();
            for job in 1..=6 {
                users.submit(
                    &mut world,
                    &World::spec(&format!("j-00000{job}"), "service", 3),
                );
            }
            users.run(&mut world, 8.0);
            world.state_link.latency_ms = slow_ms;
            users.run(&mut world, 3.0);
            for job in 1..=3 {
                users.cancel_until_confirmed(&mut world, job % 3, &format!("j-00000{job}"));
                users.run(&mut world, 1.5);
            }
            if refuses {
                world.state_link.refused.insert(0);
                users.run(&mut world, 2.0);
                world.state_link.refused.extend([1, 2]);
                users.run(&mut world, 60.0);
                world.state_link.refused.clear();
            }
            users.run(&mut world, 45.0);
            assert_recovers(
                &mut world,
                &mut users,
                &format!("{slow_ms} ms, refuses {refuses}"),
            );
            assert_eq!(
                world.running_task_count(),
                9,
                "{slow_ms} ms, refuses {refuses}"
            );
        }
    }
}

/// Guards against stale commands: a command or its response is delayed for seconds, and the
/// machine resumes afterwards. Meanwhile its job is cancelled, its tasks start elsewhere because
/// machines are unreachable, or its shard changes owner.
#[test]
fn a_delayed_command() {
    for between in 0..4 {
        for late_s in [2.0, 6.0, 12.0, 30.0] {
            let mut world = cluster(f64::INFINITY);
            let mut users = Users::default();
            let hosts: Vec<String> = world.workers.keys().cloned().collect();
            world.machines.slow_commands.extend(hosts.clone());
            users.submit(&mut world, &World::spec("j-000001", "service", 20));
            users.run(&mut world, 0.5);
            match between {
                0 => users.cancel_until_confirmed(&mut world, 1, "j-000001"),
                1 => world
                    .network
                    .unreachable
                    .extend(hosts.iter().take(7).cloned()),
                2 => {
                    let i = leader(&world);
                    world.kill(i);
                    world.start(i);
                }
                _ => world.kill(1),
            }
            users.run(&mut world, late_s);
            world.network.unreachable.clear();
            world.machines.slow_commands.clear();
            world.deliver_held_commands();
            users.run(&mut world, 30.0);
            let case = format!("between {between}, {late_s} s late");
            assert_recovers(&mut world, &mut users, &case);
            let expected = if between == 0 { 0 } else { 20 };
            assert_eq!(world.running_task_count(), expected, "{case}");
        }
    }
}

/// Guards against a duplicate of a start command that arrives late. The response to the first
/// start is lost, the second one is answered, and then the job is cancelled and its attempt
/// cleared. The first command must not start the task again when it arrives after that (it did
/// at seed 31 of the random pairs).
#[test]
fn a_late_duplicate_of_a_start_command() {
    for late_s in [12.0, 45.0, 80.0] {
        let mut world = cluster(f64::INFINITY);
        let mut users = Users::default();
        let hosts: Vec<String> = world.workers.keys().cloned().collect();
        world.machines.slow_commands.extend(hosts);
        users.submit(&mut world, &World::spec("j-000001", "service", 20));
        world.run_until(2.0, |world| !world.machines.held_commands.is_empty());
        world.machines.slow_commands.clear();
        users.run(&mut world, 5.0);
        assert_eq!(world.running_task_count(), 20);
        users.cancel_until_confirmed(&mut world, 1, "j-000001");
        users.run(&mut world, late_s);
        world.deliver_held_commands();
        assert_eq!(world.running_task_count(), 0, "{late_s} s late");
        assert_recovers(&mut world, &mut users, &format!("{late_s} s late"));
    }
}

/// Guards against a task that runs twice: machines hang for longer than their lease with a start
/// command in flight and carry it out before they notice that their incarnation is over. The
/// task must not run elsewhere by then (found by a random scenario, `rahbar-lahore-hunt`
/// `hunt-bc60-5`).
#[test]
fn a_start_to_a_machine_that_hangs_beyond_its_lease() {
    for hangs_s in [4.0, 12.0, 16.0, 24.0] {
        let mut world = cluster(f64::INFINITY);
        let mut users = Users::default();
        let hosts: Vec<String> = world.workers.keys().cloned().collect();
        world.machines.slow_commands.extend(hosts);
        users.submit(&mut world, &World::spec("j-000001", "service", 20));
        world.run_until(2.0, |world| !world.machines.held_commands.is_empty());
        let held = world
            .machines
            .held_commands
            .iter()
            .take(4)
            .map(|h| h.machine.clone());
        world.machines.hung = held.collect();
        world.machines.slow_commands.clear();
        users.run(&mut world, hangs_s);
        world.deliver_held_commands();
        world.machines.hung.clear();
        let case = format!("{hangs_s} s");
        users.run(&mut world, 30.0);
        assert_recovers(&mut world, &mut users, &case);
        assert_eq!(world.running_task_count(), 20, "{case}");
    }
}

/// Guards against old reports: reports of earlier incarnations and attempts arrive again after
/// newer ones, at the owner, its successor and a new owner, with delays around a lease.
#[test]
fn old_reports_of_earlier_incarnations_and_attempts() {
    for late_ms in [500.0, 2500.0, 9000.0, 11_000.0, 25_000.0, 45_000.0] {
        let mut world = cluster(6.0);
        let mut users = Users::default();
        world.duplicates.delay_ms = Some(late_ms);
        for job in 1..=4 {
            users.submit(&mut world, &array(job, 24));
        }
        users.run(&mut world, 3.0);
        // Incarnations end, and tasks get new attempts.
        let some: Vec<String> = world.workers.keys().step_by(3).cloned().collect();
        world.network.unreachable.extend(some.iter().cloned());
        users.run(&mut world, 13.0);
        world.network.unreachable.clear();
        world.restart_machine(&some[0]);
        users.run(&mut world, 4.0);
        let ended_leader = leader(&world);
        world.kill(ended_leader);
        users.run(&mut world, 8.0);
        users.cancel_until_confirmed(&mut world, (ended_leader + 1) % 3, "j-000004");
        world.start(ended_leader);
        users.run(&mut world, 30.0);
        assert_recovers(&mut world, &mut users, &format!("{late_ms} ms"));
    }
}
