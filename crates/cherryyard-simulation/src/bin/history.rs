//! Measures how a controller starts and answers polls with a long history: fills a stand-in of
//! the state service with ended jobs, starts the real program with it over the loopback
//! interface, and prints the results.

use cherryyard_clients::http::HttpClient;
use cherryyard_history::{FinishedJob, Leaf, Level, leaf_key};
use cherryyard_simulation::http::{Budgets, HttpState};
use cherryyard_simulation::process::{self, Process};
use cherryyard_simulation::{StateStandIn, World, small_machine_type};
use cherryyard_wire::RangeSet;
use cherryyard_wire::dependencies::Dependencies;
use cherryyard_wire::history::{HistoryProgressRecord, MAX_JOB_NUMBER};
use cherryyard_wire::job::job_id;
use cherryyard_wire::record::{
    BUCKETS, BucketRecord, FORMAT_KEY, FormatRecord, HISTORY_PROGRESS_KEY, JobOutcome, JobRecord,
    MACHINE_TYPES_KEY, PageRecord, TaskUsage, assignments_key, bucket_key, job_hash, job_key,
};
use clap::Parser;
use rand::rngs::StdRng;
use rand::{RngExt, SeedableRng};
use serde_json::{Value, json};
use std::net::SocketAddr;
use std::path::PathBuf;
use std::time::{Duration, Instant};

/// Timeout of a connection attempt.
const CONNECT_TIMEOUT: Duration = Duration::from_secs(1);
/// Timeout of a request.
const REQUEST_TIMEOUT: Duration = Duration::from_secs(3);
/// Time within which the controller must be ready.
const READY_TIMEOUT: Duration = Duration::from_secs(600);

/// Measure a controller's start with a history of ended jobs.
#[derive(Debug, Parser)]
struct Args {
    /// Number of ended jobs
    #[arg(long, default_value_t = 100_000)]
    jobs: u64,
    /// Number of open jobs
    #[arg(long, default_value_t = 0)]
    open: u64,
    /// Number of tasks of each open job, all assigned
    #[arg(long, default_value_t = 5)]
    tasks: u32,
    /// Format of the jobs' records: 1 for a key for each job, 2 for the history
    #[arg(long, default_value_t = 2)]
    format: u32,
    /// The ids of the ended jobs are drawn at random from this many
    #[arg(long, default_value_t = MAX_JOB_NUMBER)]
    ids: u64,
    /// Requests per second that the state service allows
    #[arg(long, default_value_t = 80.0)]
    rps: f64,
    /// Puts and deletes per second that the state service allows
    #[arg(long, default_value_t = 20.0)]
    write_rps: f64,
    /// Number of polls of ended jobs, and of unknown ones, once the controller is ready
    #[arg(long, default_value_t = 40)]
    polls: u64,
    /// Path of the controller's program; by default the one in the folder of this executable
    #[arg(long)]
    program: Option<PathBuf>,
}

fn finished_job(job: u64) -> FinishedJob {
    FinishedJob {
        job,
        end: if job.is_multiple_of(3) {
            JobOutcome::Cancelled
        } else {
            JobOutcome::Done
        },
        done: 50,
        day: 20_000,
    }
}

/// Returns the numbers of the ended jobs: distinct, spread over the range of `--ids`, and the
/// same for the same arguments.
fn finished_job_ids(args: &Args) -> Vec<u64> {
    let mut rng = StdRng::seed_from_u64(args.jobs);
    let max_id = args.ids.max(args.jobs * 2);
    let mut ids: Vec<u64> = (0..args.jobs + args.jobs / 2)
        .map(|_| rng.random_range(0..=max_id.min(MAX_JOB_NUMBER)))
        .collect();
    ids.sort_unstable();
    ids.dedup();
    let step = (ids.len() as u64 / args.jobs.max(1)).max(1) as usize;
    ids.into_iter()
        .step_by(step)
        .take(args.jobs as usize)
        .collect()
}

/// Stores the open jobs and the pages of their assignments.
fn fill_open(state: &mut StateStandIn, args: &Args) {
    let record = |id: u64| JobRecord::Open {
        spec: Box::new(World::spec(&job_id(id), "sweep", args.tasks)),
        submitted_at_ms: 0,
        division: vec![RangeSet::from_range(0, args.tasks.max(1) - 1)],
        zone: None,
        zone_caps: Vec::new(),
        rules: None,
        dependencies: Dependencies::default(),
    };
    let mut jobs: Vec<u64> = (0..args.open).collect();
    if args.format < BUCKETS {
        for &id in &jobs {
            state.seed(&job_key(id), &record(id));
        }
    } else {
        jobs.sort_by_key(|&id| job_hash(id));
        for (i, pair) in jobs.chunks(2).enumerate() {
            let bucket = BucketRecord {
                open: pair.iter().map(|&id| (id, record(id))).collect(),
                ..BucketRecord::default()
            };
            let from = if i == 0 { 0 } else { job_hash(pair[0]) };
            state.seed(&bucket_key(from), &bucket);
        }
    }
    jobs.sort_unstable();
    let jobs_per_page = (200 / args.tasks.max(1)).max(1) as usize;
    for (page, page_jobs) in jobs.chunks(jobs_per_page).enumerate() {
        let mut assignments = PageRecord::default();
        for (i, &job) in page_jobs.iter().enumerate() {
            assignments
                .machines
                .push(format!("host-{:06}", page * jobs_per_page + i));
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
                end: finished_job(id).end,
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
        FORMAT_KEY,
        &FormatRecord {
            jobs: BUCKETS,
            admission_log: false,
            dependencies: false,
        },
    );
    for i in (0..8u64).filter(|_| args.open == 0) {
        state.seed(&bucket_key(i << 61), &BucketRecord::default());
    }
    let record = HistoryProgressRecord {
        current_generation: 2,
        archived_generation: 1,
        jobs_in_runs: [0, ids.len() as u64],
        ..HistoryProgressRecord::default()
    };
    state.seed(HISTORY_PROGRESS_KEY, &record);
    // Leaves filled as much as merges leave them on average.
    let mut remaining = ids.chunks(350).peekable();
    while let Some(chunk) = remaining.next() {
        let jobs: Vec<FinishedJob> = chunk.iter().map(|&id| finished_job(id)).collect();
        let leaves = Leaf::default().merged_with(&jobs, 0, 4032);
        let count = leaves.len();
        for (i, leaf) in leaves.into_iter().enumerate() {
            let last = leaf.jobs().last().map_or(MAX_JOB_NUMBER, |p| p.job);
            let is_last_leaf = remaining.peek().is_none() && i + 1 == count;
            let last = if is_last_leaf { MAX_JOB_NUMBER } else { last };
            state.seed(&leaf_key(Level::Large, last), &leaf.to_record());
        }
    }
}

/// Returns the settings of the controller that is measured.
fn settings(args: &Args, state: SocketAddr) -> Value {
    let mut settings = process::settings(&state.to_string());
    let cluster = &mut settings["cluster"];
    cluster["workers"] = json!({ "report_s": 5.0, "lease_s": 26.5, "cancel_s": 51.5 });
    cluster["state"]["rps"] = args.rps.into();
    cluster["state"]["write_rps"] = args.write_rps.into();
    cluster["limits"] = json!({ "cpu_share": 0.1, "memory_mb": 53.0, "sockets": 1000 });
    settings
}

/// An HTTP client of the controller that sends only GET requests.
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

    /// Returns the status of the response to a GET request; none if there is no response.
    async fn get(&self, path: &str) -> Option<u16> {
        let url = format!("http://{}{path}", self.controller);
        let method = "GET".parse().expect("a method");
        let response = self.http.call(method, &url, None, REQUEST_TIMEOUT, 65_536);
        response.await.ok().map(|(status, _)| status)
    }

    /// Waits until the controller is ready, and returns the time since `started`.
    async fn ready(&self, started: Instant) -> Duration {
        while self.get("/ready").await != Some(200) {
            assert!(
                started.elapsed() < READY_TIMEOUT,
                "the controller is not ready in time"
            );
            tokio::time::sleep(Duration::from_millis(10)).await;
        }
        started.elapsed()
    }
}

/// The kind of jobs that are polled.
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

/// Polls jobs one after the other, and prints how many polls got the expected status, the reads
/// that they caused and the longest response time.
async fn measure_polls(
    client: &Client,
    service: &HttpState,
    polled: Polled,
    polls: u64,
    ids: &[u64],
    rng: &mut StdRng,
) {
    let before = service.requests().reads;
    let (mut expected_responses, mut worst) = (0, Duration::ZERO);
    let is_known = polled == Polled::Old && !ids.is_empty();
    for _ in 0..polls {
        let id = if is_known {
            ids[rng.random_range(0..ids.len())]
        } else {
            rng.random_range(0..MAX_JOB_NUMBER)
        };
        let sent_at = Instant::now();
        let status = client.get(&format!("/v2/runs/{}", job_id(id))).await;
        worst = worst.max(sent_at.elapsed());
        let expected = if is_known { 200 } else { 404 };
        expected_responses += u64::from(status == Some(expected));
    }
    let reads = service.requests().reads - before;
    println!(
        "{polls} polls of {} jobs: {expected_responses} answered, {reads} reads, worst {:.0} ms",
        polled.name(),
        worst.as_secs_f64() * 1000.0
    );
}

/// Returns the path of the controller's program in the folder of this executable.
fn default_program() -> PathBuf {
    let this = std::env::current_exe().expect("this program's path");
    this.with_file_name("cherryyard")
}

#[tokio::main(flavor = "current_thread")]
async fn main() {
    let args = Args::parse();
    let program = args.program.clone().unwrap_or_else(default_program);
    let mut state = StateStandIn::default();
    let ids = finished_job_ids(&args);
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
