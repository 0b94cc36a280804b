//! How a controller starts, and answers, on a long history: fills a stand-in of the
//! state service with jobs that are over, starts the real program on it over
//! loopback, and prints a line.

use cherryyard_clients::http::HttpClient;
use cherryyard_history::{FinishedJob, Leaf, Level, leaf_key};
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
use serde_json::{Value, json};
use std::net::SocketAddr;
use std::path::PathBuf;
use std::time::{Duration, Instant};

/// How long a connection attempt may take.
const CONNECT_TIMEOUT: Duration = Duration::from_secs(1);
/// How long a request may take.
const REQUEST_TIMEOUT: Duration = Duration::from_secs(3);
/// Within what time the controller must be ready.
const READY_TIMEOUT: Duration = Duration::from_secs(600);

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

fn past(job: u64) -> FinishedJob {
    FinishedJob {
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
            let tasks = (0..args.tasks).flat_map(|n| [at, n.into()]);
            let group = [7, 1].into_iter().chain(tasks).collect();
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
        let jobs: Vec<FinishedJob> = chunk.iter().map(|&id| past(id)).collect();
        let leaves = Leaf::default().merged_with(&jobs, 0, 4032);
        let count = leaves.len();
        for (i, leaf) in leaves.into_iter().enumerate() {
            let last = leaf.jobs().last().map_or(LAST, |p| p.job);
            let open = rest.peek().is_none() && i + 1 == count;
            let last = if open { LAST } else { last };
            state.seed(&leaf_key(Level::Large, last), &leaf.to_record());
        }
    }
}

/// Settings of the controller that is measured.
fn settings(args: &Args, state: SocketAddr) -> Value {
    let mut settings = process::settings(&state.to_string());
    let cluster = &mut settings["cluster"];
    cluster["workers"] = json!({ "report_s": 5.0, "lease_s": 26.5, "cancel_s": 51.5 });
    cluster["state"]["rps"] = args.rps.into();
    cluster["state"]["write_rps"] = args.write_rps.into();
    cluster["limits"] = json!({ "cpu_share": 0.1, "memory_mb": 53.0, "sockets": 1000 });
    settings
}

/// A client of the controller, which asks for paths alone.
struct Client {
    http: HttpClient,
    controller: String,
}

impl Client {
    fn new(controller: &str) -> Self {
        Self {
            http: HttpClient::new(CONNECT_TIMEOUT, 4),
            controller: controller.into(),
        }
    }

    /// The status that a path is answered with, if it is.
    async fn get(&self, path: &str) -> Option<u16> {
        let url = format!("http://{}{path}", self.controller);
        let method = "GET".parse().expect("a method");
        let response = self.http.call(method, &url, None, REQUEST_TIMEOUT, 65_536);
        response.await.ok().map(|(status, _)| status)
    }

    /// Waits until the controller is ready; how long it took since `started`.
    async fn ready(&self, started: Instant) -> Duration {
        while self.get("/ready").await != Some(200) {
            assert!(started.elapsed() < READY_TIMEOUT, "never ready");
            tokio::time::sleep(Duration::from_millis(10)).await;
        }
        started.elapsed()
    }
}

/// Which jobs are polled.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Polled {
    Old,
    Unknown,
}

impl Polled {
    fn name(self) -> &'static str {
        match self {
            Self::Old => "old",
            Self::Unknown => "unknown",
        }
    }
}

/// Polls jobs one after the other, and prints how that went.
async fn measure_polls(
    client: &Client,
    service: &HttpState,
    polled: Polled,
    polls: u64,
    ids: &[u64],
    rng: &mut StdRng,
) {
    let before = service.requests().reads;
    let (mut good, mut worst) = (0, Duration::ZERO);
    let is_known = polled == Polled::Old && !ids.is_empty();
    for _ in 0..polls {
        let id = if is_known {
            ids[rng.random_range(0..ids.len())]
        } else {
            rng.random_range(0..LAST)
        };
        let sent_at = Instant::now();
        let status = client.get(&format!("/v2/runs/{}", job_id(id))).await;
        worst = worst.max(sent_at.elapsed());
        let expected = if is_known { 200 } else { 404 };
        good += u64::from(status == Some(expected));
    }
    let reads = service.requests().reads - before;
    println!(
        "{polls} polls of {} jobs: {good} answered, {reads} reads, worst {:.0} ms",
        polled.name(),
        worst.as_secs_f64() * 1000.0
    );
}

/// The program beside this one.
fn program_beside() -> PathBuf {
    let this = std::env::current_exe().expect("this program's path");
    this.with_file_name("cherryyard")
}

#[tokio::main(flavor = "current_thread")]
async fn main() {
    let args = Args::parse();
    let program = args.program.clone().unwrap_or_else(program_beside);
    let mut state = StateStandIn::default();
    let ids = ids(&args);
    fill(&mut state, &args, &ids);
    let budgets = Budgets {
        rps: args.rps,
        write_rps: args.write_rps,
    };
    let service = HttpState::new(state, budgets);
    let settings = settings(&args, service.serve().await);
    let started = Instant::now();
    let controller = Process::start(&program, &settings, "history = true\n");
    let client = Client::new(&controller.addr);
    let ready = client.ready(started).await;
    println!(
        "{} jobs over: ready after {:.2} s, peak {:.1} MB, {} reads",
        ids.len(),
        ready.as_secs_f64(),
        controller.memory_mb(),
        service.requests().reads
    );
    let mut rng = StdRng::seed_from_u64(7);
    for polled in [Polled::Old, Polled::Unknown] {
        measure_polls(&client, &service, polled, args.polls, &ids, &mut rng).await;
    }
    println!("peak {:.1} MB", controller.memory_mb());
}
