//! The heartbeat gap: the state service refuses the leader alone, other controllers confirm
//! cancellations, and then it refuses all for longer than a cancelled task may run on. During that
//! outage, an owner may renew its workers' leases only as far as heartbeats of its peers show that
//! it has missed none of their cancellations.

mod common;

use cherryyard_simulation::{Setup, Task, World};
use common::gap::{assert_no_violation, id, leader, outage, running};

/// Guards against cancelled tasks that run on after the gap occurs twice, 20 s apart, with
/// cancellations at several points of the two seconds in which only one controller is refused. The
/// confirming controller ends before or soon after its next heartbeat and restarts at once, after
/// 0.5 s or after 4 s, or does not end.
#[test]
fn two_gaps_in_a_row() {
    for before_ms in [1950.0, 1000.0, 450.0, 100.0, 50.0, 0.0] {
        for end in [None, Some((0.0, 0.0)), Some((0.0, 4.0)), Some((0.3, 0.5))] {
            let (mut world, _) = running(12);
            for cycle in 0..2 {
                let case = format!("{before_ms} ms before, end {end:?}, cycle {cycle}");
                let refused_alone = leader(&world).unwrap_or(0);
                world.trace_line(format!("the state service refuses node-{refused_alone}"));
                world.state_link.refused.insert(refused_alone);
                world.run((2000.0 - before_ms) / 1000.0);
                let at = (refused_alone + 1 + cycle) % 3;
                for job in 1..=5 {
                    world.cancel_until_confirmed(at, &id(cycle * 6 + job));
                }
                if let Some((after, back)) = end.filter(|e| e.0 == 0.0) {
                    world.run(after);
                    world.kill(at);
                    world.run(f64::min(back, before_ms / 1000.0));
                    if back == 0.0 {
                        world.start(at);
                    }
                }
                world.run((before_ms / 1000.0 - 0.05_f64).max(0.0));
                world.trace_line("the state service refuses everybody");
                world.state_link.refused = [0, 1, 2].into();
                if let Some((after, back)) = end {
                    world.run(after);
                    if world.controllers[at].is_some() && after > 0.0 {
                        world.kill(at);
                    }
                    world.run(back);
                    if world.controllers[at].is_none() {
                        world.start(at);
                    }
                }
                world.run(62.0);
                assert_no_violation(&world, &case);
                world.state_link.refused.clear();
                world.run(20.0);
            }
            world.run(30.0);
            assert_no_violation(&world, "after");
            assert_eq!(world.running_task_count(), 4, "{}", world.trace.join("\n"));
        }
    }
}

/// Records the trace of a gap in which the confirming controller ends before its next heartbeat,
/// and its next process reports in every heartbeat that it is cut off.
#[test]
fn trace_of_a_confirmation_that_no_peer_receives() {
    let mut world = World::new(Setup::default());
    world.run(5.0);
    world.submit(&World::spec("j-000001", "service", 2));
    world.run(20.0);
    world.trace_line("the state service refuses node-0");
    world.state_link.refused.insert(0);
    world.run(2.1);
    world.cancel_until_confirmed(1, "j-000001");
    world.kill(1);
    outage_with(&mut world, 1);
    assert_no_violation(&world, "the gap");
    insta::assert_snapshot!(world.trace.join("\n"));
}

fn outage_with(world: &mut World, back: usize) {
    world.trace_line("the state service refuses everybody");
    world.state_link.refused = [0, 1, 2].into();
    world.run(4.0);
    world.start(back);
    world.run(60.0);
    world.trace_line("it serves everybody");
    world.state_link.refused.clear();
    world.run(10.0);
}

/// Guards against a cancellation that is confirmed too early. During an outage the state service
/// briefly serves one controller that has reported that it is cut off. That controller commits a
/// cancellation and ends before its next heartbeat. Its peers assume that it was cut off all the
/// time, so it must not have confirmed the cancellation to a user.
#[test]
fn state_service_back_briefly_for_a_cut_off_controller() {
    for (back_s, confirms) in [(0.3, true), (0.3, false), (2.0, true), (12.0, true)] {
        let (mut world, _) = running(6);
        world.state_link.refused = [0, 1, 2].into();
        world.run(8.0);
        world.state_link.refused.remove(&1);
        if back_s > 11.0 {
            // No peer receives its heartbeats, so only elapsed time lets it confirm to its user.
            world.network.isolated.insert(1);
        }
        world.run(back_s - 0.3);
        world.cancel_until_confirmed(1, "j-000001");
        world.cancel_until_confirmed(1, "j-000002");
        world.run(if confirms { 0.3 } else { 0.0 });
        world.kill(1);
        world.state_link.refused.insert(1);
        world.network.isolated.clear();
        world.run(3.0);
        world.start(1);
        world.run(58.0);
        assert_no_violation(&world, &format!("back for {back_s} s, {confirms}"));
        world.state_link.refused.clear();
        world.run(30.0);
        assert_no_violation(&world, "after");
        assert_eq!(world.running_task_count(), 8, "{}", world.trace.join("\n"));
    }
}

/// Guards against an owner that misses a cancellation confirmed by a controller that only read
/// it. The controller that committed it ends without a response; another one reads it, in a full
/// read in place of its watch, and confirms it. The owner, refused by the state service all the
/// while, must still learn of it.
#[test]
fn a_cancellation_confirmed_by_a_controller_that_only_read_it() {
    for ends in [false, true] {
        let (mut world, leader) = running(6);
        let (committer, reader) = ((leader + 1) % 3, (leader + 2) % 3);
        world.state_link.refused.insert(leader);
        world.run(1.0);
        world.state_link.delayed_percent = 100;
        world.seed_state_link(3);
        world.cancel_until_confirmed(committer, "j-000001");
        world.state_link.delayed_percent = 0;
        world.kill(committer);
        // Its transaction is carried out late, and the user asks the next controller.
        world.run(1.0);
        world.start(committer);
        world.run_until(20.0, |world| {
            world.submissions.cancelled_at.contains_key("j-000001")
        });
        if ends {
            world.kill(reader);
            world.start(reader);
        }
        outage(&mut world, 70.0);
        assert_no_violation(&world, &format!("ends {ends}"));
    }
}

/// Guards against cancellations that do not fit into one heartbeat: an owner that has not been
/// told of all of hundreds must not assume that it has.
#[test]
fn hundreds_of_cancellations_at_once() {
    let mut world = World::new(Setup {
        machines: vec![("a", 60), ("b", 60), ("c", 60)],
        write_rps: 400.0,
        rps: 2000.0,
        ..Setup::default()
    });
    world.run(5.0);
    for job in 1..=280 {
        let mut spec = World::spec(&id(job), "service", 1);
        spec.cores = 1.0;
        world.submit(&spec);
    }
    world.run_until(60.0, |world| world.running_task_count() == 280);
    world.run(10.0);
    let refused_alone = leader(&world).expect("a leader");
    world.state_link.refused.insert(refused_alone);
    world.run(0.5);
    for job in 1..=270 {
        world.cancel_until_confirmed((refused_alone + 1) % 3, &id(job));
    }
    world.run(1.0);
    outage(&mut world, 70.0);
    assert_no_violation(&world, "270 at once");
    world.run(30.0);
    assert_eq!(world.running_task_count(), 10);
}

/// Guards against a delayed heartbeat whose sender was cut off when it sent it, and which arrives
/// seconds or minutes later, when its receiver is alone in the gap. The receiver recognizes the
/// heartbeat as old by the echo of its own heartbeats in it.
#[test]
fn old_heartbeats_of_a_cut_off_sender() {
    let (mut world, leader) = running(6);
    let (other, third) = ((leader + 1) % 3, (leader + 2) % 3);
    world.state_link.refused = [0, 1, 2].into();
    world.run(3.0);
    let now = world.now;
    let old = world.controllers[other]
        .as_mut()
        .expect("the controller runs")
        .build_heartbeat(now);
    assert!(old.cut_off);
    world.state_link.refused.clear();
    world.run(14.0);
    // The owner is isolated; the other controller is served and accepts a cancellation.
    world.network.isolated.insert(leader);
    world.state_link.refused = [leader].into();
    world.run(0.5);
    world.cancel_until_confirmed(other, "j-000001");
    assert!(world.submissions.cancelled_at.contains_key("j-000001"));
    world.run(0.3);
    world.state_link.refused = [0, 1, 2].into();
    for _ in 0..140 {
        world.run(0.5);
        let now = world.now;
        let heartbeat = world.controllers[third]
            .as_mut()
            .expect("the controller runs")
            .build_heartbeat(now);
        let heartbeat = cherryyard_wire::peer::Heartbeat {
            // The third controller has not learned of the cancellation either.
            cancelled: Vec::new(),
            ..heartbeat
        };
        let controller = world.controllers[leader]
            .as_mut()
            .expect("the controller runs");
        controller.handle_peer_heartbeat(old.clone(), now);
        controller.handle_peer_heartbeat(heartbeat, now);
    }
    assert_no_violation(&world, "old heartbeats");
}

/// Guards against an owner that ignores the cancellation of a job that it has never read, as when
/// it took over the shard just before the state service refused it, while a machine of that shard
/// runs a task of the job.
#[test]
fn a_cancellation_of_a_job_that_its_owner_never_read() {
    let (mut world, leader) = running(3);
    let zone = ["a", "b", "c"];
    let other = (leader + 1) % 3;
    world.state_link.refused.insert(leader);
    world.run(0.2);
    // No controller places the job, as it is cancelled at once; the test starts its task.
    world.submit(&World::spec("j-000099", "service", 1));
    world.cancel_until_confirmed(other, "j-000099");
    let worker = world.workers.values_mut().find(|x| x.zone == zone[leader]);
    let worker = worker.expect("a machine");
    let now = world.now;
    worker.tasks.insert("j-000099/0".into(), Task::new(1, now));
    world.run(1.0);
    outage(&mut world, 70.0);
    assert_no_violation(&world, "never read");
}

/// Guards against heartbeats that name only the cancellations that their sender has read. An owner
/// confirms a cancellation while the state service serves it alone, reports it in a heartbeat,
/// ends, and starts again during the outage. Its peers have learned of it by that heartbeat alone
/// and must forward it, so that the new process renews no lease of the cancelled tasks (found by
/// the model of leases).
#[test]
fn cancellations_are_forwarded_to_a_restarted_owner() {
    let mut world = World::new(Setup::default());
    world.run(5.0);
    world.submit(&World::spec("j-000001", "service", 6));
    world.run_until(10.0, |world| world.running_task_count() == 6);
    world.run(30.0);
    world.state_link.refused = [0, 1, 2].into();
    world.run(3.0);
    world.state_link.refused.remove(&0);
    world.run(1.2);
    // The owner's workers must not receive the cancellation before it ends.
    let names: Vec<String> = world.workers.keys().cloned().collect();
    world.network.unreachable.extend(names);
    world.cancel_until_confirmed(0, "j-000001");
    world.run(0.6);
    assert!(world.submissions.cancelled_at.contains_key("j-000001"));
    world.state_link.refused.insert(0);
    world.kill(0);
    world.run(2.0);
    world.start(0);
    world.network.unreachable.clear();
    world.run(60.0);
    assert_no_violation(&world, "forwarded to a restarted owner");
}
