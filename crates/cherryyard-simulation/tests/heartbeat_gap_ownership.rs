//! The heartbeat gap: the state service refuses the leader alone, other controllers confirm
//! cancellations, and then it refuses all for longer than a cancelled task may run on. These tests
//! combine the gap with takeovers of shards, returned machines and starts in flight.

mod common;

use cherryyard_simulation::{Setup, World};
use common::gap::{assert_no_violation, id, outage, running};

/// Guards against an owner that ignores a cancellation of a job that it has never read: it has
/// just taken over a shard and is refused by the state service before it reads what runs there.
#[test]
fn a_shard_taken_over_just_before_the_gap() {
    for step in 0..40 {
        let (mut world, _) = running(6);
        world.kill(2);
        // One of the others takes over its shard within these seconds.
        world.run(4.5 + f64::from(step) * 0.05);
        let owner = (0..2).find(|&i| {
            let controller = world.controllers[i].as_ref();
            controller.is_some_and(|n| {
                n.mirror.shards[2]
                    .as_ref()
                    .is_some_and(|c| c.label == format!("node-{i}"))
            })
        });
        let Some(owner) = owner else { continue };
        world.state_link.refused.insert(owner);
        world.run(0.5);
        let other = 1 - owner;
        for job in 1..=3 {
            world.cancel_until_confirmed(other, &id(job));
        }
        world.run(0.5);
        world.start(2);
        outage(&mut world, 66.0);
        assert_no_violation(&world, &format!("step {step}"));
    }
}

/// Guards against an owner that renews the lease of a machine that is not `Ready` without sending
/// it commands. The machine of a cancelled task is being returned, but the cloud does not respond.
/// The machine goes on reporting, and its tasks must be stopped.
#[test]
fn a_machine_that_is_being_returned() {
    let (mut world, _) = running(6);
    world.cloud.down = true;
    let names: Vec<String> = world.workers.keys().cloned().collect();
    let held: Vec<String> = names
        .into_iter()
        .filter(|n| {
            world.workers[n]
                .tasks
                .keys()
                .any(|p| p.starts_with("j-000001"))
        })
        .collect();
    // The machines are silent for longer than a service waits, so that they are returned.
    world.network.unreachable.extend(held.iter().cloned());
    world.run(7.5);
    assert!(
        world.cloud.releases_failed > 0,
        "{}",
        world.trace.join("\n")
    );
    world.network.unreachable.clear();
    world.run(2.0);
    let before = world.running_copies("j-000001/0") + world.running_copies("j-000001/1");
    assert!(
        before > 0,
        "no task of the job runs: {}",
        world.trace.join("\n")
    );
    world.cancel_until_confirmed(1, "j-000001");
    world.run(60.0);
    assert_no_violation(&world, "returned");
}

/// Guards against a direct command for a start that is in flight when the job is cancelled, just
/// before an outage: no controller can take a token that would reject it, so it must start nothing.
#[test]
fn a_start_in_flight_during_an_outage() {
    for late_s in [5.0, 30.0, 39.0, 50.0, 60.0] {
        let mut world = World::new(Setup {
            machines: vec![("a", 1), ("b", 1), ("c", 1)],
            ..Setup::default()
        });
        world.run(8.0);
        let hosts: Vec<String> = world.workers.keys().cloned().collect();
        world.machines.slow_commands.extend(hosts);
        // Submitted between two heartbeats, so that one is requested directly.
        world.submit(&World::spec("j-000001", "service", 6));
        world.run_until(3.0, |world| !world.machines.held_commands.is_empty());
        world.state_link.refused = [0].into();
        world.cancel_until_confirmed(1, "j-000001");
        world.run(0.5);
        world.state_link.refused = [0, 1, 2].into();
        world.machines.slow_commands.clear();
        world.run(late_s);
        world.deliver_held_commands();
        world.run(75.0 - late_s);
        assert_no_violation(&world, &format!("{late_s} s late"));
    }
}

/// Guards against a lease renewed for a cancelled task: an owner is served again just before its
/// workers' leases end, claims its shard anew, answers machines that still show the previous
/// token, and ends. These answers must not extend the lease of a task of whose cancellation the
/// owner has learned (found at seed 286 of the random gaps).
#[test]
fn a_new_claim_just_before_an_owner_ends() {
    for back in 2..20 {
        let back_ms = f64::from(back) * 100.0;
        let (mut world, leader) = running(6);
        let other = (leader + 1) % 3;
        world.state_link.refused.insert(leader);
        world.network.isolated.insert(leader);
        world.run(1.9);
        for job in 1..=6 {
            world.cancel_until_confirmed(other, &id(job));
        }
        world.run(0.1);
        world.state_link.refused = [0, 1, 2].into();
        world.run(30.5);
        world.state_link.refused.remove(&leader);
        world.run(back_ms / 1000.0);
        world.kill(leader);
        world.run(30.0);
        assert_no_violation(&world, &format!("back for {back_ms} ms"));
    }
}
