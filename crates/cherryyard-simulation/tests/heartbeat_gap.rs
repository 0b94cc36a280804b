//! The heartbeat gap: the state service refuses the leader alone, other controllers confirm
//! cancellations, then it refuses everybody for longer than a cancellation has.
//! What an owner may take for known of the others' cancellations decides.

mod common;

use cherryyard_simulation::{Setup, Task, World};
use common::gap::{id, leader, outage, running, whole};

/// The gap, twice in a row, 20 s apart, with a cancellation at each place of the first
/// two seconds; the confirming controller ends after it, before a heartbeat or soon after,
/// and is back at once, after 0.5 s or after 4 s, or does not end.
#[test]
fn the_gap_twice_in_a_row() {
    for before_ms in [1950.0, 1000.0, 450.0, 100.0, 50.0, 0.0] {
        for end in [None, Some((0.0, 0.0)), Some((0.0, 4.0)), Some((0.3, 0.5))] {
            let (mut w, _) = running(12);
            for cycle in 0..2 {
                let state = format!("{before_ms} ms before, end {end:?}, round {cycle}");
                let alone = leader(&w).unwrap_or(0);
                w.say(format!("the state service refuses node-{alone}"));
                w.state_link.refused.insert(alone);
                w.run((2000.0 - before_ms) / 1000.0);
                let at = (alone + 1 + cycle) % 3;
                for job in 1..=5 {
                    w.ask_cancel(at, &id(cycle * 6 + job));
                }
                if let Some((after, back)) = end.filter(|e| e.0 == 0.0) {
                    w.run(after);
                    w.kill(at);
                    w.run(f64::min(back, before_ms / 1000.0));
                    if back == 0.0 {
                        w.start(at);
                    }
                }
                w.run((before_ms / 1000.0 - 0.05_f64).max(0.0));
                w.say("the state service refuses everybody");
                w.state_link.refused = [0, 1, 2].into();
                if let Some((after, back)) = end {
                    w.run(after);
                    if w.controllers[at].is_some() && after > 0.0 {
                        w.kill(at);
                    }
                    w.run(back);
                    if w.controllers[at].is_none() {
                        w.start(at);
                    }
                }
                w.run(62.0);
                whole(&w, &state);
                w.state_link.refused.clear();
                w.run(20.0);
            }
            w.run(30.0);
            whole(&w, "after");
            assert_eq!(w.running(), 4, "{}", w.trace.join("\n"));
        }
    }
}

/// One story of it, kept: the confirming controller ends before its next heartbeat, and the
/// process after it says, in heartbeat after heartbeat, that it is cut off.
#[test]
fn trace_of_a_confirmation_that_nobody_heard() {
    let mut w = World::new(Setup::default());
    w.run(5.0);
    w.submit(&World::spec("j-000001", "service", 2));
    w.run(20.0);
    w.say("the state service refuses node-0");
    w.state_link.refused.insert(0);
    w.run(2.1);
    w.ask_cancel(1, "j-000001");
    w.kill(1);
    outage_with(&mut w, 1);
    whole(&w, "the gap");
    insta::assert_snapshot!(w.trace.join("\n"));
}

fn outage_with(w: &mut World, back: usize) {
    w.say("the state service refuses everybody");
    w.state_link.refused = [0, 1, 2].into();
    w.run(4.0);
    w.start(back);
    w.run(60.0);
    w.say("it serves everybody");
    w.state_link.refused.clear();
    w.run(10.0);
}

/// The service is back for a moment in the outage, for one who has said that it is cut
/// off: it takes a cancellation and ends before its next heartbeat. The others take the
/// process after it for one that stayed cut off, so no user may have been told.
#[test]
fn back_for_less_than_a_restart() {
    for (back_s, tells) in [(0.3, true), (0.3, false), (2.0, true), (12.0, true)] {
        let (mut w, _) = running(6);
        w.state_link.refused = [0, 1, 2].into();
        w.run(8.0);
        w.state_link.refused.remove(&1);
        if back_s > 11.0 {
            // None of the others hears it, so only time lets it tell its user.
            w.network.isolated.insert(1);
        }
        w.run(back_s - 0.3);
        w.ask_cancel(1, "j-000001");
        w.ask_cancel(1, "j-000002");
        w.run(if tells { 0.3 } else { 0.0 });
        w.kill(1);
        w.state_link.refused.insert(1);
        w.network.isolated.clear();
        w.run(3.0);
        w.start(1);
        w.run(58.0);
        whole(&w, &format!("back for {back_s} s, {tells}"));
        w.state_link.refused.clear();
        w.run(30.0);
        whole(&w, "after");
        assert_eq!(w.running(), 8, "{}", w.trace.join("\n"));
    }
}

/// What one controller reads and another has taken: the one that took it ends without an
/// answer, and the one that read it, in a full read in place of its watch, tells a user.
/// The owner, refused all the while, is told of it all the same.
#[test]
fn confirmed_by_one_that_only_read_it() {
    for ends in [false, true] {
        let (mut w, leader) = running(6);
        let (taker, reader) = ((leader + 1) % 3, (leader + 2) % 3);
        w.state_link.refused.insert(leader);
        w.run(1.0);
        w.state_link.delayed_percent = 100;
        w.seed_late(3);
        w.ask_cancel(taker, "j-000001");
        w.state_link.delayed_percent = 0;
        w.kill(taker);
        // Its transaction is carried out late, and the user asks the next controller.
        w.run(1.0);
        w.start(taker);
        w.run_until(20.0, |w| {
            w.submissions.cancelled_at.contains_key("j-000001")
        });
        if ends {
            w.kill(reader);
            w.start(reader);
        }
        outage(&mut w, 70.0);
        whole(&w, &format!("ends {ends}"));
    }
}

/// Hundreds of cancellations at once, more than a heartbeat names: what an owner has not been
/// told of is not taken for known.
#[test]
fn hundreds_of_cancellations_at_once() {
    let mut w = World::new(Setup {
        machines: vec![("a", 60), ("b", 60), ("c", 60)],
        write_rps: 400.0,
        rps: 2000.0,
        ..Setup::default()
    });
    w.run(5.0);
    for job in 1..=280 {
        let mut spec = World::spec(&id(job), "service", 1);
        spec.cores = 1.0;
        w.submit(&spec);
    }
    w.run_until(60.0, |w| w.running() == 280);
    w.run(10.0);
    let alone = leader(&w).expect("a leader");
    w.state_link.refused.insert(alone);
    w.run(0.5);
    for job in 1..=270 {
        w.ask_cancel((alone + 1) % 3, &id(job));
    }
    w.run(1.0);
    outage(&mut w, 70.0);
    whole(&w, "270 at once");
    w.run(30.0);
    assert_eq!(w.running(), 10);
}

/// A heartbeat that says that its sender is cut off is held back until, minutes or seconds
/// later, its receiver is alone in the gap. By the echo of the receiver's own heartbeats it is
/// known to be old.
#[test]
fn old_beats_that_say_cut_off() {
    let (mut w, leader) = running(6);
    let (other, third) = ((leader + 1) % 3, (leader + 2) % 3);
    w.state_link.refused = [0, 1, 2].into();
    w.run(3.0);
    let now = w.now;
    let old = w.controllers[other]
        .as_mut()
        .expect("it runs")
        .build_heartbeat(now);
    assert!(old.cut_off);
    w.state_link.refused.clear();
    w.run(14.0);
    // The owner is cut from the other, which is served and takes a cancellation.
    w.network.isolated.insert(leader);
    w.state_link.refused = [leader].into();
    w.run(0.5);
    w.ask_cancel(other, "j-000001");
    assert!(w.submissions.cancelled_at.contains_key("j-000001"));
    w.run(0.3);
    w.state_link.refused = [0, 1, 2].into();
    for _ in 0..140 {
        w.run(0.5);
        let now = w.now;
        let heartbeat = w.controllers[third]
            .as_mut()
            .expect("it runs")
            .build_heartbeat(now);
        let heartbeat = cherryyard_wire::peer::Heartbeat {
            // The third one does not know of it either.
            cancelled: Vec::new(),
            ..heartbeat
        };
        let controller = w.controllers[leader].as_mut().expect("it runs");
        controller.handle_peer_heartbeat(old.clone(), now);
        controller.handle_peer_heartbeat(heartbeat, now);
    }
    whole(&w, "old heartbeats");
}

/// An owner is told of the cancellation of a job that it has never read of, as it adopted
/// the shard just before it was refused, and a machine there runs it.
#[test]
fn told_of_a_job_that_it_never_read() {
    let (mut w, leader) = running(3);
    let zone = ["a", "b", "c"];
    let other = (leader + 1) % 3;
    w.state_link.refused.insert(leader);
    w.run(0.2);
    // It may run anywhere: nobody places it, as it is cancelled in the same moment.
    w.submit(&World::spec("j-000099", "service", 1));
    w.ask_cancel(other, "j-000099");
    let worker = w.workers.values_mut().find(|x| x.zone == zone[leader]);
    let worker = worker.expect("a machine");
    let now = w.now;
    worker.tasks.insert("j-000099/0".into(), Task::new(1, now));
    w.run(1.0);
    outage(&mut w, 70.0);
    whole(&w, "never read");
}

/// An owner confirms a cancellation in a moment in which only it is served, says so in a
/// heartbeat, ends and starts again in the outage. The others have only been told of it; they
/// tell it on, so that the owner's new process lets no lease of it go on by their word.
/// (Found by the model: a heartbeat named only what its sender had read.)
#[test]
fn told_on_to_one_that_starts_again() {
    let mut w = World::new(Setup::default());
    w.run(5.0);
    w.submit(&World::spec("j-000001", "service", 6));
    w.run_until(10.0, |w| w.running() == 6);
    w.run(30.0);
    w.state_link.refused = [0, 1, 2].into();
    w.run(3.0);
    w.state_link.refused.remove(&0);
    w.run(1.2);
    // Its own workers do not come to hear of it before it ends.
    let names: Vec<String> = w.workers.keys().cloned().collect();
    w.network.unreachable.extend(names);
    w.ask_cancel(0, "j-000001");
    w.run(0.6);
    assert!(w.submissions.cancelled_at.contains_key("j-000001"));
    w.state_link.refused.insert(0);
    w.kill(0);
    w.run(2.0);
    w.start(0);
    w.network.unreachable.clear();
    w.run(60.0);
    whole(&w, "told on");
}
