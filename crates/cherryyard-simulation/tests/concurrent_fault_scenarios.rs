//! Random scenarios of two or three faults that overlap in time.

mod common;

use cherryyard_simulation::fault::{ADDED_FAULTS, ORIGINAL_FAULTS};
use cherryyard_simulation::{Fault, Question, Users, World, run_seeds, seeded_draws};
use cherryyard_wire::job::Shape;
use common::concurrent::{array, assert_recovers, cluster, cluster_of};

/// Runs three rounds of faults that overlap in time, while users submit, cancel, repeat and poll
/// at every controller.
fn scenario(seed: u64, faults: &[Fault], at_once: usize) {
    scenario_of(seed, faults, at_once, vec!["a", "b", "c"], None);
}

/// Runs such a scenario while each direct command reaches its machine once more after its answer.
fn scenario_with_command_copies(seed: u64, at_once: usize) {
    let zones = vec!["a", "b", "c"];
    let throughout = Some(Fault::DuplicatedCommands);
    scenario_of(seed, &all_faults(), at_once, zones, throughout);
}

/// Runs a scenario with one controller for each entry of `zones`, and with a fault that lasts
/// throughout.
fn scenario_of(
    seed: u64,
    faults: &[Fault],
    at_once: usize,
    zones: Vec<&'static str>,
    throughout: Option<Fault>,
) {
    let mut draw = seeded_draws(seed);
    let seconds = 4.0 + draw(12) as f64;
    // With the newer faults, half of the users' requests take the steps of the program's HTTP
    // routes, and a guest team has a limit of 8 cores.
    let newer = faults.len() > ORIGINAL_FAULTS.len();
    let mut world = match newer {
        false => cluster(seconds),
        true => cluster_of(seconds, vec![("guests", 0.0, 8.0)], zones),
    };
    world.requests.seed(seed);
    world.cloud.list_interval_ms = newer.then_some(5000.0);
    world.seed_state_link(seed);
    (world.cloud.provisioning_ms, world.cloud.provisioned_run_ms) = (Some(5000.0), 8000.0);
    if let Some(fault) = throughout {
        fault.begin(&mut world, &mut draw);
    }
    let mut users = Users::default();
    let mut job = 100;
    let mut open: Vec<String> = Vec::new();
    let mut request_some =
        |world: &mut World, users: &mut Users, draw: &mut dyn FnMut(u64) -> u64| {
            for _ in 0..draw(4) {
                job += 1;
                let mut spec = array(job, [1, 2, 3, 10][draw(4) as usize]);
                if draw(5) == 0 {
                    spec = World::spec(&spec.id, "service", 2);
                }
                spec.cores = [1.0, 2.0, 4.0][draw(3) as usize];
                spec.job_class = ["portal", "posting"][draw(2) as usize].into();
                let at = draw(3) as usize;
                if newer && spec.shape == Shape::Array && draw(4) == 0 {
                    spec.team = "guests".into();
                }
                if newer && draw(2) == 0 {
                    world.submit_at(at, &spec);
                } else {
                    users.submit_via(world, at, &spec);
                }
                if draw(6) == 0 {
                    // Repeats the submission at another controller.
                    users.submit_via(world, (at + 1) % 3, &spec);
                }
                open.push(spec.id.clone());
            }
            for _ in 0..draw(3) {
                if !open.is_empty() {
                    let id = open.swap_remove(draw(open.len() as u64) as usize);
                    if newer && draw(2) == 0 {
                        world.request_until_answered(draw(3) as usize, &id, Question::Cancel);
                    } else {
                        users.cancel_until_confirmed(world, draw(3) as usize, &id);
                    }
                }
            }
        };
    for _ in 0..3 {
        // The pairs are enumerated by seed, so that enough seeds cover all of them.
        let (pair, all) = (seed * 3 + draw(3), faults.len() as u64);
        let fault = |n: u64| faults[(n % all) as usize];
        let (first, second) = (fault(pair), fault(pair / all));
        request_some(&mut world, &mut users, &mut draw);
        users.run(&mut world, 3.0);
        world.trace_line(format!("begin {first:?}"));
        first.begin(&mut world, &mut draw);
        world.run(draw(80) as f64 / 20.0);
        request_some(&mut world, &mut users, &mut draw);
        let third = (at_once > 2).then(|| fault(draw(all)));
        for next in [Some(second), third].into_iter().flatten() {
            world.trace_line(format!("begin {next:?}"));
            next.begin(&mut world, &mut draw);
        }
        for _ in 0..2 {
            request_some(&mut world, &mut users, &mut draw);
            let long = [2, 12, 60][draw(3) as usize];
            users.run(&mut world, 0.5 + draw(long * 2) as f64 / 2.0);
        }
        let order = [[first, second], [second, first]][draw(2) as usize];
        world.trace_line(format!("finish {:?}", order[0]));
        order[0].finish(&mut world);
        world.run(draw(60) as f64 / 20.0);
        request_some(&mut world, &mut users, &mut draw);
        users.run(&mut world, draw(16) as f64 / 2.0);
        for last in [Some(order[1]), third].into_iter().flatten() {
            world.trace_line(format!("finish {last:?}"));
            last.finish(&mut world);
        }
        users.run(&mut world, draw(20) as f64);
        world.list_machines();
    }
    assert_recovers(&mut world, &mut users, &format!("seed {seed}"));
}

#[test]
fn random_pairs() {
    (0..24).for_each(|seed| scenario(seed, &ORIGINAL_FAULTS, 2));
}

/// Returns all faults, the newer ones first.
fn all_faults() -> Vec<Fault> {
    ADDED_FAULTS.into_iter().chain(ORIGINAL_FAULTS).collect()
}

#[test]
fn random_pairs_of_all() {
    (0..24).for_each(|seed| scenario(seed, &all_faults(), 2));
}

#[test]
fn random_threes() {
    (0..12).for_each(|seed| scenario(seed, &all_faults(), 3));
}

/// Zones of six controllers, two in each zone.
const SIX_CONTROLLERS: [&str; 6] = ["a", "b", "c", "a", "b", "c"];

#[test]
fn random_threes_of_six_controllers() {
    (0..8).for_each(|seed| scenario_of(seed, &all_faults(), 3, SIX_CONTROLLERS.to_vec(), None));
}

#[test]
fn random_pairs_with_copies_of_commands() {
    (0..16).for_each(|seed| scenario_with_command_copies(seed, 2));
}

#[test]
fn random_threes_with_copies_of_commands() {
    (0..8).for_each(|seed| scenario_with_command_copies(seed, 3));
}

/// Runs on demand; the environment variables `FROM` and `SEEDS` choose the seeds.
#[test]
#[ignore = "minutes"]
fn random_pairs_by_the_thousand() {
    run_seeds(24, 1000, |seed| scenario(seed, &ORIGINAL_FAULTS, 2));
}

/// Runs pairs of all faults on demand.
#[test]
#[ignore = "minutes"]
fn random_pairs_of_all_by_the_thousand() {
    run_seeds(24, 1000, |seed| scenario(seed, &all_faults(), 2));
}

#[test]
#[ignore = "minutes"]
fn random_threes_by_the_thousand() {
    run_seeds(24, 1000, |seed| scenario(seed, &all_faults(), 3));
}

#[test]
#[ignore = "minutes"]
fn random_threes_of_six_by_the_thousand() {
    run_seeds(24, 1000, |seed| {
        scenario_of(seed, &all_faults(), 3, SIX_CONTROLLERS.to_vec(), None)
    });
}

#[test]
#[ignore = "minutes"]
fn random_pairs_with_copies_of_commands_by_the_thousand() {
    run_seeds(16, 1000, |seed| scenario_with_command_copies(seed, 2));
}

#[test]
#[ignore = "minutes"]
fn random_threes_with_copies_of_commands_by_the_thousand() {
    run_seeds(8, 1000, |seed| scenario_with_command_copies(seed, 3));
}
