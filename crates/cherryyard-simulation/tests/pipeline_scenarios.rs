//! Random scenarios of jobs with dependencies and of faults.

mod common;

use cherryyard_simulation::fault::{ADDED_FAULTS, ORIGINAL_FAULTS};
use cherryyard_simulation::{
    Fault, Pipelines, Question, Setup, Users, World, run_seeds, seeded_draws,
};
use common::pipelines::{array, cluster_of, id};

/// Runs a random scenario of pipelines with two faults at once.
fn scenario(seed: u64, faults: &[Fault]) {
    let mut draw = seeded_draws(seed);
    let mut world = cluster_of(
        2.0 + draw(6) as f64,
        Setup {
            machines: vec![("a", 5), ("b", 5), ("c", 5)],
            write_rps: 60.0,
            limit: 48.0,
            teams: vec![("guests", 0.0, 8.0)],
            ..Setup::default()
        },
    );
    world.requests.seed(seed);
    world.seed_state_link(seed);
    world.cloud.list_interval_ms = Some(5000.0);
    (world.cloud.provisioning_ms, world.cloud.provisioned_run_ms) = (Some(5000.0), 4000.0);
    let mut users = Users::default();
    let mut pipelines = Pipelines::default();
    let mut job = 100;
    for _ in 0..3 {
        let (first, second) = (
            faults[draw(faults.len() as u64) as usize],
            faults[draw(faults.len() as u64) as usize],
        );
        let mut made: Vec<u64> = Vec::new();
        for _ in 0..1 + draw(3) {
            let base = job + 1;
            job += 5;
            pipelines.add(array(base, 1 + draw(3) as u32, &[]));
            for stage in 1..=2 {
                let mut spec = array(base + stage, 1 + draw(6) as u32, &[base]);
                if draw(4) == 0 {
                    spec.team = "guests".into();
                }
                if draw(3) == 0 && !made.is_empty() {
                    spec.waits_on
                        .push(id(made[draw(made.len() as u64) as usize]));
                }
                pipelines.add(spec);
            }
            let mut last = array(base + 3, 1, &[base + 1, base + 2]);
            (last.rank, last.due_s) = (cherryyard_wire::job::Rank::High, Some(60.0));
            match draw(3) {
                0 => pipelines.add_after_completion(last),
                _ => pipelines.add(last),
            }
            made.extend(base..base + 4);
        }
        let mut run = |world: &mut World, users: &mut Users, seconds: f64| {
            for _ in 0..(seconds * 2.0) as usize {
                pipelines.step(world);
                users.run(world, 0.5);
            }
        };
        run(&mut world, &mut users, 1.0 + draw(6) as f64);
        world.trace_line(format!("begin {first:?}"));
        first.begin(&mut world, &mut draw);
        run(&mut world, &mut users, draw(8) as f64 / 2.0);
        world.trace_line(format!("begin {second:?}"));
        second.begin(&mut world, &mut draw);
        let to_cancel = made[draw(made.len() as u64) as usize];
        if draw(2) == 0 && world.is_accepted(&id(to_cancel)) {
            let at = draw(3) as usize;
            world.request_until_answered(at, &id(to_cancel), Question::Cancel);
        }
        run(&mut world, &mut users, 1.0 + draw(30) as f64);
        world.trace_line(format!("finish {first:?}, {second:?}"));
        first.finish(&mut world);
        second.finish(&mut world);
        run(&mut world, &mut users, 10.0 + draw(10) as f64);
    }
    for _ in 0..40 {
        pipelines.step(&mut world);
        users.run(&mut world, 1.0);
    }
    let violations = users.recover_and_check(&mut world);
    if std::env::var("DEBUG").is_ok() && !(violations.is_empty() && world.violations.is_empty()) {
        println!("{}", world.trace.join("\n"));
    }
    assert!(
        world.violations.is_empty(),
        "seed {seed}: {:?}",
        world.violations
    );
    assert!(violations.is_empty(), "seed {seed}: {violations:?}");
    assert_eq!(world.state.malformed, 0, "seed {seed}");
}

fn all_faults() -> Vec<Fault> {
    ADDED_FAULTS.into_iter().chain(ORIGINAL_FAULTS).collect()
}

#[test]
fn random_days_with_pipelines() {
    (0..24).for_each(|seed| scenario(seed, &all_faults()));
}

/// Runs on demand; the environment variables `FROM` and `SEEDS` choose the seeds.
#[test]
#[ignore = "minutes"]
fn random_days_with_pipelines_by_the_thousand() {
    run_seeds(24, 1000, |seed| scenario(seed, &all_faults()));
}
