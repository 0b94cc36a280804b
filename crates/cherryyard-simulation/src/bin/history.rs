//! How a controller starts, and answers, on a long history: fills a stand-in of the
//! state service with jobs that are over, starts the real program on it over
//! loopback, and prints a line.

use cherryyard_clients::http::HttpClient;
use cherryyard_history::{Leaf, Level, Past, fold, leaf_key};
use cherryyard_simulation::http::{Budgets, HttpState};
use cherryyard_simulation::process::{self, Process};
use cherryyard_simulation::{StateStandIn, World, small_machine_type};
use cherryyard_wire::RangeSet;
use cherryyard_wire::dependencies::Dependencies;
use cherryyard_wire::history::{LAST, PackedRecord};
use cherryyard_wire::job::job_id;
use cherryyard_wire::record::{
    BUCKETS, BucketRecord, End, FORMAT, FormatRecord, JobRecord, MACHINE_TYPES_KEY, PACKED,
    PageRecord, TaskUsage, assignments_key, bucket_key, job_hash, job_key,
};
use clap::Parser;
use rand::rngs::StdRng;
use rand::{RngExt, SeedableRng};
use serde_json::json;
use std::path::PathBuf;
use std::time::{Duration, Instant};

/// Measure a controller's start on a history of jobs that are over.
#[derive(Debug, Parser)]
struct Args {
    /// Jobs that are over
    #[arg(long, default_value_t = 100_000)]
    jobs: u64,
    /// Jobs that are open
    #[arg(long, default_value_t = 0)]
    open: u64,
    /// Tasks of each open job, assigned
    #[arg(long, default_value_t = 5)]
    tasks: u32,
    /// The format of their records: 1, a key each, or 2, in the history
    #[arg(long, default_value_t = 2)]
    format: u32,
    /// Ids are drawn from this many, in no order
    #[arg(long, default_value_t = LAST)]
    ids: u64,
    /// Requests a second that the state service allows
    #[arg(long, default_value_t = 80.0)]
    rps: f64,
    /// Puts and deletes a second that it allows
    #[arg(long, default_value_t = 20.0)]
    write_rps: f64,
    /// Polls of old and of unknown jobs, each, once it is ready
    #[arg(long, default_value_t = 40)]
    polls: u64,
    /// The program; by default the one beside this one
    #[arg(long)]
    program: Option<PathBuf>,
}

fn past(job: u64) -> Past {
    Past {
        job,
        end: if job.is_multiple_of(3) {
            End::Cancelled
        } else {
            End::Done
        },
        done: 50,
        day: 20_000,
    }
}

/// The jobs that are over: distinct, in no order, the same for the same arguments.
fn ids(args: &Args) -> Vec<u64> {
    let mut rng = StdRng::seed_from_u64(args.jobs);
    let most = args.ids.max(args.jobs * 2);
    let mut ids: Vec<u64> = (0..args.jobs + args.jobs / 2)
        .map(|_| rng.random_range(0..=most.min(LAST)))
        .collect();
    ids.sort_unstable();
    ids.dedup();
    let step = (ids.len() as u64 / args.jobs.max(1)).max(1) as usize;
    ids.into_iter()
        .step_by(step)
        .take(args.jobs as usize)
        .collect()
}

/// Open jobs and the pages of their assignments.
fn fill_open(state: &mut StateStandIn, args: &Args) {
    let record = |id: u64| JobRecord::Open {
        spec: Box::new(World::spec(&job_id(id), "sweep", args.tasks)),
        at: 0,
        div: vec![RangeSet::span(0, args.tasks.max(1) - 1)],
        zone: None,
        caps: Vec::new(),
        rules: None,
        after: Dependencies::default(),
    };
    let mut jobs: Vec<u64> = (0..args.open).collect();
    if args.format < BUCKETS {
        for &id in &jobs {
            state.seed(&job_key(id), &record(id));
        }
    } else {
        jobs.sort_by_key(|&id| job_hash(id));
        for (i, two) in jobs.chunks(2).enumerate() {
            let bucket = BucketRecord {
                open: two.iter().map(|&id| (id, record(id))).collect(),
                ..BucketRecord::default()
            };
            let from = if i == 0 { 0 } else { job_hash(two[0]) };
            state.seed(&bucket_key(from), &bucket);
        }
    }
    jobs.sort_unstable();
    let per_page = (200 / args.tasks.max(1)).max(1) as usize;
    for (page, some) in jobs.chunks(per_page).enumerate() {
        let mut assignments = PageRecord::default();
        for (i, &job) in some.iter().enumerate() {
            assignments
                .machines
                .push(format!("host-{:06}", page * per_page + i));
            let at = i as u64;
            let places = (0..args.tasks).flat_map(|n| [at, n.into()]);
            let group = [7, 1].into_iter().chain(places).collect();
            assignments.jobs.push((job, vec![group], RangeSet::new()));
        }
        state.seed(&assignments_key(0, page as u32), &assignments);
    }
}

fn fill(state: &mut StateStandIn, args: &Args, ids: &[u64]) {
    let machine_type = small_machine_type(vec!["a".into()]);
    state.seed(MACHINE_TYPES_KEY, &[machine_type]);
    fill_open(state, args);
    if args.format < BUCKETS {
        for &id in ids {
            let record = JobRecord::Ended {
                end: past(id).end,
                task_count: 50,
                usage: TaskUsage {
                    team: "team".into(),
                    cores: 1.0,
                    accelerators: 0.0,
                    ram_gb: 1.7,
                },
                generation: 0,
                cancelled_by: None,
            };
            state.seed(&job_key(id), &record);
        }
        return;
    }
    state.seed(
        FORMAT,
        &FormatRecord {
            jobs: BUCKETS,
            admission_log: false,
            dependencies: false,
        },
    );
    for i in (0..8u64).filter(|_| args.open == 0) {
        state.seed(&bucket_key(i << 61), &BucketRecord::default());
    }
    let record = PackedRecord {
        gen_now: 2,
        gen_done: 1,
        jobs_in_runs: [0, ids.len() as u64],
        ..PackedRecord::default()
    };
    state.seed(PACKED, &record);
    // Leaves as full as folds leave them on average.
    let mut rest = ids.chunks(350).peekable();
    while let Some(chunk) = rest.next() {
        let jobs: Vec<Past> = chunk.iter().map(|&id| past(id)).collect();
        let task_count = fold(&Leaf::default(), &jobs, 0, 4032);
        let count = task_count.len();
        for (i, leaf) in task_count.into_iter().enumerate() {
            let last = leaf.jobs().last().map_or(LAST, |p| p.job);
            let open = rest.peek().is_none() && i + 1 == count;
            let last = if open { LAST } else { last };
            state.seed(&leaf_key(Level::Large, last), &leaf.record());
        }
    }
}

#[tokio::main(flavor = "current_thread")]
async fn main() {
    let args = Args::parse();
    let beside = || {
        let me = std::env::current_exe().expect("this program's path");
        me.with_file_name("cherryyard")
    };
    let program = args.program.clone().unwrap_or_else(beside);
    let mut state = StateStandIn::default();
    let ids = ids(&args);
    fill(&mut state, &args, &ids);
    let budgets = Budgets {
        rps: args.rps,
        write_rps: args.write_rps,
    };
    let service = HttpState::new(state, budgets);
    let addr = service.serve().await;
    let mut settings = process::settings(&addr.to_string());
    let cluster = &mut settings["cluster"];
    cluster["workers"] = json!({ "report_s": 5.0, "lease_s": 26.5, "cancel_s": 51.5 });
    cluster["state"]["rps"] = args.rps.into();
    cluster["state"]["write_rps"] = args.write_rps.into();
    cluster["limits"] = json!({ "cpu_share": 0.1, "memory_mb": 53.0, "sockets": 1000 });
    let born = Instant::now();
    let controller = Process::start(&program, &settings, "history = true\n");
    let public = controller.addr.clone();
    let http = HttpClient::new(Duration::from_secs(1), 4);
    let get = async |path: String| {
        let url = format!("http://{public}{path}");
        let second = Duration::from_secs(3);
        let answer = http.call("GET".parse().expect("a method"), &url, None, second, 65_536);
        answer.await.map(|a| a.0)
    };
    let mut first_answer = None;
    let ready = loop {
        let status = get("/ready".into()).await;
        if status.is_ok() {
            first_answer.get_or_insert(born.elapsed());
        }
        if status == Ok(200) {
            break born.elapsed();
        }
        assert!(born.elapsed() < Duration::from_secs(600), "never ready");
        tokio::time::sleep(Duration::from_millis(10)).await;
    };
    let reads = service.requests().reads;
    println!(
        "{} jobs over: ready after {:.2} s, peak {:.1} MB, {reads} reads",
        ids.len(),
        ready.as_secs_f64(),
        controller.memory_mb()
    );
    let mut rng = StdRng::seed_from_u64(7);
    for (what, old) in [("old", true), ("unknown", false)] {
        let before = service.requests().reads;
        let (mut good, mut worst) = (0, Duration::ZERO);
        for _ in 0..args.polls {
            let id = if old && !ids.is_empty() {
                ids[rng.random_range(0..ids.len())]
            } else {
                rng.random_range(0..LAST)
            };
            let queried = Instant::now();
            let status = get(format!("/v2/runs/{}", job_id(id))).await;
            worst = worst.max(queried.elapsed());
            let expected = if old && !ids.is_empty() { 200 } else { 404 };
            good += u64::from(status == Ok(expected));
        }
        let reads = service.requests().reads - before;
        println!(
            "{} polls of {what} jobs: {good} answered, {reads} reads, worst {:.0} ms",
            args.polls,
            worst.as_secs_f64() * 1000.0
        );
    }
    println!("peak {:.1} MB", controller.memory_mb());
}
