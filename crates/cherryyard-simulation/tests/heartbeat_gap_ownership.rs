//! The heartbeat gap: the state service refuses the leader alone, other controllers confirm
//! cancellations, then it refuses everybody for longer than a cancellation has.
//! Here the gap meets shards, machines and starts that change hands.

mod common;

use cherryyard_simulation::{Setup, World};
use common::gap::{id, outage, running, whole};

/// An owner has just adopted a shard and is refused before it reads what runs there. It
/// is told of a cancellation of a job that it has never heard of.
#[test]
fn a_part_adopted_just_before() {
    for step in 0..40 {
        let (mut w, _) = running(6);
        w.kill(2);
        // The others come to own its shard within these seconds.
        w.run(4.5 + f64::from(step) * 0.05);
        let owner = (0..2).find(|&i| {
            let controller = w.controllers[i].as_ref();
            controller.is_some_and(|n| {
                n.mirror.shards[2]
                    .as_ref()
                    .is_some_and(|c| c.label == format!("node-{i}"))
            })
        });
        let Some(owner) = owner else { continue };
        w.state_link.refused.insert(owner);
        w.run(0.5);
        let other = 1 - owner;
        for job in 1..=3 {
            w.ask_cancel(other, &id(job));
        }
        w.run(0.5);
        w.start(2);
        outage(&mut w, 66.0);
        whole(&w, &format!("step {step}"));
    }
}

/// The machine of a cancelled task is being returned, and the cloud does not answer: it
/// goes on reporting, and its tasks are stopped all the same. Guards against an owner
/// that keeps a lease and sends nothing to a machine that is not `Ready`.
#[test]
fn a_machine_that_is_being_returned() {
    let (mut w, _) = running(6);
    w.cloud.down = true;
    let names: Vec<String> = w.workers.keys().cloned().collect();
    let held: Vec<String> = names
        .into_iter()
        .filter(|n| w.workers[n].tasks.keys().any(|p| p.starts_with("j-000001")))
        .collect();
    // Silent for longer than a service waits, so that they are to be returned.
    w.network.unreachable.extend(held.iter().cloned());
    w.run(7.5);
    assert!(w.cloud.releases_failed > 0, "{}", w.trace.join("\n"));
    w.network.unreachable.clear();
    w.run(2.0);
    let before = w.copies("j-000001/0") + w.copies("j-000001/1");
    assert!(before > 0, "still there: {}", w.trace.join("\n"));
    w.ask_cancel(1, "j-000001");
    w.run(60.0);
    whole(&w, "returned");
}

/// A direct start of a task is on its way when its job is cancelled, just before an
/// outage: nobody can get the token that would stop it, so the incarnation has to end before
/// it may arrive.
#[test]
fn a_start_on_its_way_in_an_outage() {
    for late_s in [5.0, 30.0, 39.0, 50.0, 60.0] {
        let mut w = World::new(Setup {
            machines: vec![("a", 1), ("b", 1), ("c", 1)],
            ..Setup::default()
        });
        w.run(8.0);
        let hosts: Vec<String> = w.workers.keys().cloned().collect();
        w.machines.slow_commands.extend(hosts);
        // In between two reports, so that the start goes directly.
        w.submit(&World::spec("j-000001", "service", 6));
        w.run_until(3.0, |w| !w.machines.held_commands.is_empty());
        w.state_link.refused = [0].into();
        w.ask_cancel(1, "j-000001");
        w.run(0.5);
        w.state_link.refused = [0, 1, 2].into();
        w.machines.slow_commands.clear();
        w.run(late_s);
        w.deliver_direct();
        w.run(75.0 - late_s);
        whole(&w, &format!("{late_s} s late"));
    }
}

/// An owner is served again just when its leases are about to end: it leases its shard,
/// answers machines that still show the token before, and ends. What it knows to be
/// cancelled must not have a lease more by that. (Found by seed 286 of the gaps.)
#[test]
fn a_new_claim_just_before_an_owner_ends() {
    for back in 2..20 {
        let back_ms = f64::from(back) * 100.0;
        let (mut w, leader) = running(6);
        let other = (leader + 1) % 3;
        w.state_link.refused.insert(leader);
        w.network.isolated.insert(leader);
        w.run(1.9);
        for job in 1..=6 {
            w.ask_cancel(other, &id(job));
        }
        w.run(0.1);
        w.state_link.refused = [0, 1, 2].into();
        w.run(30.5);
        w.state_link.refused.remove(&leader);
        w.run(back_ms / 1000.0);
        w.kill(leader);
        w.run(30.0);
        whole(&w, &format!("back for {back_ms} ms"));
    }
}
