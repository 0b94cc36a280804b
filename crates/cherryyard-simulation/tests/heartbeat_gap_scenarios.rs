//! The heartbeat gap: the state service refuses the leader alone, other controllers confirm
//! cancellations, and then it refuses all for longer than a cancelled task may run on.
//! Random scenarios of that gap.

mod common;

use cherryyard_simulation::{run_seeds, seeded_draws};
use common::gap::{assert_no_violation, id, leader, running};

/// Runs a random scenario of two gaps. The seed decides which controller is refused, when and
/// where cancellations come, and whether the confirming controller ends. It also decides whether a
/// controller is isolated, so that its heartbeats are lost, whether machines are unreachable or
/// without inbound traffic, whether commands or transactions are late, the state service is slow,
/// or workers' heartbeats are duplicated, and whether the cloud does not respond.
fn scenario(seed: u64) {
    let mut draw = seeded_draws(seed);
    let (mut world, _) = running(12);
    world.seed_state_link(seed);
    for cycle in 0..2 {
        let refused_alone = if draw(4) > 0 {
            leader(&world).unwrap_or(0)
        } else {
            draw(3) as usize
        };
        match draw(8) {
            0 => world.state_link.delayed_percent = 10 + draw(40),
            1 => world.state_link.latency_ms = 200.0 + draw(2300) as f64,
            2 => world.duplicates.delay_ms = Some(500.0 + draw(20_000) as f64),
            _ => {}
        }
        let hosts: Vec<String> = world.workers.keys().cloned().collect();
        let host = || hosts.iter();
        match draw(6) {
            0 => world
                .machines
                .slow_commands
                .extend(host().filter(|_| draw(2) == 0).cloned()),
            1 => world
                .network
                .unreachable
                .extend(host().filter(|_| draw(4) == 0).cloned()),
            2 => world
                .network
                .inbound_lost
                .extend(host().filter(|_| draw(4) == 0).cloned()),
            3 => world.cloud.down = true,
            _ => {}
        }
        world.trace_line(format!("the state service refuses node-{refused_alone}"));
        world.state_link.refused.insert(refused_alone);
        let before = draw(40) as f64 / 20.0;
        world.run(2.0 - before);
        let at = (refused_alone + 1 + draw(2) as usize) % 3;
        for job in 1..=(1 + draw(5) as usize) {
            let at = if draw(4) == 0 { draw(3) as usize } else { at };
            world.cancel_until_confirmed(at, &id(cycle * 6 + job));
        }
        if draw(3) == 0 {
            world
                .network
                .isolated
                .insert([at, refused_alone][draw(2) as usize]);
        }
        let ends = draw(2) == 0;
        if ends && draw(2) == 0 {
            world.kill(at);
            world.run(before.min(draw(20) as f64 / 20.0));
            world.start(at);
        }
        world.run(draw(1 + (before * 20.0) as u64) as f64 / 20.0);
        world.trace_line("the state service refuses everybody");
        world.state_link.refused = [0, 1, 2].into();
        if ends {
            world.run(draw(120) as f64 / 20.0);
            world.kill(at);
            world.run(draw(80) as f64 / 20.0);
            world.start(at);
        }
        // In some scenarios the state service briefly serves one controller again.
        let mut left = 60.0;
        if draw(3) == 0 {
            let (after, back) = (draw(25) as f64, 0.2 + draw(240) as f64 / 20.0);
            world.run(after);
            let one = draw(3) as usize;
            world.state_link.refused.remove(&one);
            world.run(back);
            world.cancel_until_confirmed(one, &id(cycle * 6 + 6));
            world.run(draw(10) as f64 / 20.0);
            if draw(2) == 0 {
                world.kill(one);
                world.start(one);
            }
            world.state_link.refused = [0, 1, 2].into();
            left -= after + back;
        }
        world.run(draw(15) as f64);
        world.network.isolated.clear();
        world.deliver_held_commands();
        world.machines.slow_commands.clear();
        world.run(left);
        world.state_link.refused.clear();
        world.network.unreachable.clear();
        world.network.inbound_lost.clear();
        (
            world.state_link.delayed_percent,
            world.state_link.latency_ms,
            world.duplicates.delay_ms,
            world.cloud.down,
        ) = (0, 0.0, None, false);
        world.run(20.0);
        assert_no_violation(&world, &format!("seed {seed}, cycle {cycle}"));
    }
    world.run(50.0);
    assert_no_violation(&world, &format!("seed {seed}"));
}

#[test]
fn random_gaps() {
    (0..40).for_each(scenario);
}

/// Runs on demand; the environment variables `FROM` and `SEEDS` choose the seeds.
#[test]
#[ignore = "minutes"]
fn random_gaps_by_the_thousand() {
    run_seeds(40, 1000, scenario);
}
