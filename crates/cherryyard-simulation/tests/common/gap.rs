//! Clusters whose services all run, and the outage that the heartbeat gap ends with.

use cherryyard_simulation::{Setup, World};

pub fn id(job: usize) -> String {
    format!("j-{job:06}")
}

/// Services of two tasks, all running; who leads.
pub fn running(jobs: usize) -> (World, usize) {
    let mut w = World::new(Setup {
        machines: vec![("a", 6), ("b", 6), ("c", 6)],
        write_rps: 60.0,
        ..Setup::default()
    });
    w.run(5.0);
    for job in 1..=jobs {
        w.submit(&World::spec(&id(job), "service", 2));
    }
    w.run_until(40.0, |w| w.running() == jobs * 2);
    w.run(20.0);
    let leader = leader(&w).expect("a leader");
    (w, leader)
}

pub fn leader(w: &World) -> Option<usize> {
    let leads = |n: &cherryyard_core::Controller| n.leadership_token().is_some();
    w.controllers
        .iter()
        .position(|n| n.as_ref().is_some_and(leads))
}

pub fn whole(w: &World, state: &str) {
    assert!(
        w.broken.is_empty(),
        "{state}: {:?}\n{}",
        w.broken,
        w.trace.join("\n")
    );
}

/// Everybody is refused for 63 s; then everything works.
pub fn outage(w: &mut World, seconds: f64) {
    w.say("the state service refuses everybody");
    w.state_link.refused = [0, 1, 2].into();
    w.run(seconds);
    w.say("it serves everybody");
    w.state_link.refused.clear();
}
