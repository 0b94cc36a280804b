//! Random scenarios of jobs with placement constraints: machines are cut off while their owners
//! restart, and the cloud may release none of them.

mod common;

use cherryyard_simulation::worker::job_id_of;
use cherryyard_simulation::{Setup, Users, World, run_seeds, seeded_draws};
use cherryyard_wire::job::JobSpec;
use common::combinations::{assert_recovers, job};

/// Rounds of faults in a scenario.
const ROUNDS: usize = 3;
/// Zones of the machines. Zones d and e have no controller, so their machines are divided among all
/// shards, and each shard has machines in several zones.
const ZONES: [&str; 3] = ["a", "d", "e"];

/// Returns a running cluster with the intervals of a large deployment, in which a new owner
/// requests the release of a machine that has not reached it before the machine's lease is over.
fn cluster() -> World {
    let mut world = World::new(Setup {
        machines: vec![("a", 7), ("d", 9), ("e", 6)],
        large_machines: vec![("a", 1), ("d", 2)],
        write_rps: 60.0,
        report_s: 5.0,
        lease_s: 26.5,
        cancel_s: 56.5,
        ..Setup::default()
    });
    for worker in world.workers.values_mut() {
        worker.run_ms = 15_000.0;
    }
    world.run(8.0);
    world
}

/// The jobs that users have submitted in a scenario.
#[derive(Default)]
struct Jobs {
    last: u64,
    open: Vec<String>,
}

impl Jobs {
    /// Returns a job with placement constraints drawn at random.
    fn draw_spec(&mut self, draw: &mut dyn FnMut(u64) -> u64) -> JobSpec {
        self.last += 1;
        let shape = ["service", "service", "sweep"][draw(3) as usize];
        let mut spec = job(self.last, shape, 2 + draw(4) as u32);
        spec.cores = [1.0, 2.0, 4.0][draw(3) as usize];
        match draw(8) {
            0..=3 => spec.apart = true,
            4 => spec.together = true,
            5 => spec.machine_types = Some(vec![["m4", "m8"][draw(2) as usize].into()]),
            _ => spec.zone = Some(ZONES[draw(3) as usize].into()),
        }
        spec
    }

    fn submit_some(
        &mut self,
        world: &mut World,
        users: &mut Users,
        draw: &mut dyn FnMut(u64) -> u64,
    ) {
        for _ in 0..3 + draw(4) {
            let spec = self.draw_spec(draw);
            users.submit_via(world, draw(3) as usize, &spec);
            self.open.push(spec.id);
        }
    }

    fn cancel_some(
        &mut self,
        world: &mut World,
        users: &mut Users,
        draw: &mut dyn FnMut(u64) -> u64,
    ) {
        for _ in 0..draw(4) {
            if !self.open.is_empty() {
                let id = self.open.swap_remove(draw(self.open.len() as u64) as usize);
                users.cancel_until_confirmed(world, draw(3) as usize, &id);
            }
        }
    }
}

/// Returns whether some of a job's tasks run and others wait.
fn is_partly_placed(world: &World, id: &str) -> bool {
    let task_count = world.submitted(id).map_or(0, |spec| spec.task_count);
    let running = (0..task_count).filter(|n| world.running_copies(&format!("{id}/{n}")) > 0);
    (1..task_count as usize).contains(&running.count())
}

/// Cuts one or two machines off from all controllers. Each runs a task of a job of which other tasks
/// wait, if there is such a job.
fn cut_off_some(world: &mut World, draw: &mut dyn FnMut(u64) -> u64) {
    let busy = world.workers.values();
    let busy = busy.filter(|worker| worker.running_tasks().next().is_some());
    let (mut partly_placed, mut other): (Vec<String>, Vec<String>) =
        busy.map(|worker| worker.host.clone()).partition(|host| {
            let mut tasks = world.workers[host].running_tasks();
            tasks.any(|name| is_partly_placed(world, job_id_of(name)))
        });
    for _ in 0..1 + draw(2) {
        let machines = match partly_placed.is_empty() {
            true => &mut other,
            false => &mut partly_placed,
        };
        if !machines.is_empty() {
            let machine = machines.swap_remove(draw(machines.len() as u64) as usize);
            world.trace_line(format!("{machine} is cut off"));
            world.network.unreachable.insert(machine);
        }
    }
}

/// Ends some controllers and starts them again within a second.
fn restart_some_controllers(world: &mut World, draw: &mut dyn FnMut(u64) -> u64) {
    let ended: Vec<usize> = (0..3).filter(|_| draw(3) != 0).collect();
    ended.iter().for_each(|&i| world.kill(i));
    world.run(draw(20) as f64 / 20.0);
    ended.iter().for_each(|&i| world.start(i));
}

fn scenario(seed: u64) {
    let mut draw = seeded_draws(seed);
    let (mut world, mut users, mut jobs) = (cluster(), Users::default(), Jobs::default());
    world.cloud.list_interval_ms = (draw(2) == 0).then_some(5000.0);
    for _ in 0..ROUNDS {
        jobs.submit_some(&mut world, &mut users, &mut draw);
        users.run(&mut world, 6.0 + draw(8) as f64);
        world.cloud.down = draw(3) != 0;
        cut_off_some(&mut world, &mut draw);
        restart_some_controllers(&mut world, &mut draw);
        jobs.cancel_some(&mut world, &mut users, &mut draw);
        users.run(&mut world, 5.0 + draw(20) as f64);
        jobs.cancel_some(&mut world, &mut users, &mut draw);
        jobs.submit_some(&mut world, &mut users, &mut draw);
        users.run(&mut world, draw(30) as f64);
        world.cloud.down = false;
        world.network.unreachable.clear();
        users.run(&mut world, draw(10) as f64);
    }
    assert_recovers(&mut world, &mut users, &format!("seed {seed}"));
}

#[test]
fn random_placements() {
    (0..40).for_each(scenario);
}

/// Runs on demand; the environment variables `FROM` and `SEEDS` choose the seeds.
#[test]
#[ignore = "minutes"]
fn random_placements_by_the_thousand() {
    run_seeds(40, 1000, scenario);
}
