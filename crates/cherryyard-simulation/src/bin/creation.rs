//! Measures how long the creation of all jobs of a large submission takes and how many writes
//! it costs, on a simulated clock and within the budgets of a state service. With `--end-at`
//! the leader is killed and restarted midway.

use cherryyard_simulation::{Setup, World};
use cherryyard_wire::condor::{Chunk, NO_ID, Phase, Template};
use clap::Parser;

/// Measure the creation of a submission's jobs (simulated).
#[derive(Debug, Parser)]
struct Args {
    /// Number of jobs
    #[arg(long, default_value_t = 20_000)]
    jobs: u32,
    /// Number of tasks of each job
    #[arg(long, default_value_t = 1)]
    tasks: u32,
    /// Requests per second that the state service allows
    #[arg(long, default_value_t = 250.0)]
    rps: f64,
    /// Puts and deletes per second that the state service allows
    #[arg(long, default_value_t = 60.0)]
    write_rps: f64,
    /// Largest value that the state service accepts, in KiB
    #[arg(long, default_value_t = 16.0)]
    value_kb: f64,
    /// Maximum number of changes in a transaction
    #[arg(long, default_value_t = 16)]
    txn_ops: usize,
    /// Run without the history; each job then has a record of its own
    #[arg(long)]
    plain: bool,
    /// Kill and restart the leader once this share of the jobs has been created
    #[arg(long)]
    end_at: Option<f64>,
}

/// Simulated time within which all jobs must have been created.
const DEADLINE_MS: f64 = 7_200_000.0;

fn main() {
    let args = Args::parse();
    let mut world = World::new(Setup {
        machines: vec![("a", 4), ("b", 4), ("c", 4)],
        rps: args.rps,
        write_rps: args.write_rps,
        value_kb: args.value_kb,
        txn_ops: args.txn_ops,
        history: (!args.plain).then_some(8192),
        ..Setup::default()
    });
    world.run(10.0);
    let (since, before) = (world.now, world.state.writes);
    let (number, _) = world.store_submission("measured", &[chunk(&args)]);
    run_until_created(&mut world, &args, number);
    println!(
        "{} jobs of {}: created after {:.1} s, {} writes, {} in the largest transaction",
        args.jobs,
        args.tasks,
        (world.now - since) / 1000.0,
        world.state.writes - before,
        world.state.max_transaction_ops,
    );
}

/// Returns a chunk with all jobs of the submission, which are equal to each other.
fn chunk(args: &Args) -> Chunk {
    Chunk {
        templates: vec![Template {
            spec: World::spec(NO_ID, "sweep", 1),
            rules: None,
        }],
        runs: vec![(0, args.tasks, args.jobs)],
    }
}

/// Advances the clock until all jobs have been created; the leader is killed and restarted
/// midway if `--end-at` is given.
fn run_until_created(world: &mut World, args: &Args, number: u64) {
    let deadline = world.now + DEADLINE_MS;
    let mut is_leader_restarted = false;
    loop {
        world.run(0.5);
        let record = world.submission(number).expect("the submission");
        let created = record.created();
        if let Some(share) = args.end_at.filter(|_| !is_leader_restarted)
            && created as f64 >= share * f64::from(args.jobs)
        {
            is_leader_restarted = true;
            let leader = world.leader().expect("a leader");
            world.kill(leader);
            world.start(leader);
        }
        if record.phase == Phase::Created {
            return;
        }
        assert!(
            world.now < deadline,
            "not all jobs created within two hours: {created}"
        );
    }
}
