//! How long a submission of many jobs takes until all are created, and how many writes
//! it costs, on a simulated clock: by the budgets of a state service, with the leader
//! ending midway and without.

use cherryyard_simulation::{Setup, World};
use cherryyard_wire::condor::{Chunk, NO_ID, Phase, Template};
use clap::Parser;

/// Measure the creation of a submission's jobs (simulated).
#[derive(Debug, Parser)]
struct Args {
    /// Jobs
    #[arg(long, default_value_t = 20_000)]
    jobs: u32,
    /// Tasks of each
    #[arg(long, default_value_t = 1)]
    tasks: u32,
    /// Requests a second that the state service allows
    #[arg(long, default_value_t = 250.0)]
    rps: f64,
    /// Puts and deletes a second that it allows
    #[arg(long, default_value_t = 60.0)]
    write_rps: f64,
    /// Largest value in KiB
    #[arg(long, default_value_t = 16.0)]
    value_kb: f64,
    /// Most changes in a transaction
    #[arg(long, default_value_t = 16)]
    txn_ops: usize,
    /// Without the history, and with it a record of its own for each job
    #[arg(long)]
    plain: bool,
    /// The leader ends once this share of the jobs has been created
    #[arg(long)]
    end_at: Option<f64>,
}

/// Simulated time within which all jobs must have been created.
const DEADLINE_MS: f64 = 7_200_000.0;

fn main() {
    let args = Args::parse();
    let mut w = World::new(Setup {
        machines: vec![("a", 4), ("b", 4), ("c", 4)],
        rps: args.rps,
        write_rps: args.write_rps,
        value_kb: args.value_kb,
        txn_ops: args.txn_ops,
        history: (!args.plain).then_some(8192),
        ..Setup::default()
    });
    w.run(10.0);
    let (since, before) = (w.now, w.state.writes);
    let (number, _) = w.queue("measured", &[chunk(&args)]);
    run_until_created(&mut w, &args, number);
    println!(
        "{} jobs of {}: created after {:.1} s, {} writes, {} in the largest transaction",
        args.jobs,
        args.tasks,
        (w.now - since) / 1000.0,
        w.state.writes - before,
        w.state.most_ops,
    );
}

/// All jobs of the submission, equal to each other.
fn chunk(args: &Args) -> Chunk {
    Chunk {
        templates: vec![Template {
            spec: World::spec(NO_ID, "sweep", 1),
            rules: None,
        }],
        runs: vec![(0, args.tasks, args.jobs)],
    }
}

/// Lets time pass until all jobs have been created; the leader ends midway, if it is to.
fn run_until_created(w: &mut World, args: &Args, number: u64) {
    let deadline = w.now + DEADLINE_MS;
    let mut has_ended = false;
    loop {
        w.run(0.5);
        let record = w.submission(number).expect("the submission");
        let created = record.created();
        if let Some(share) = args.end_at.filter(|_| !has_ended)
            && created as f64 >= share * f64::from(args.jobs)
        {
            has_ended = true;
            let leader = w.leader().expect("a leader");
            w.kill(leader);
            w.start(leader);
        }
        if record.phase == Phase::Created {
            return;
        }
        assert!(w.now < deadline, "not within two hours: {created}");
    }
}
