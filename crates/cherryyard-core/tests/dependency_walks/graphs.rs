//! Graphs of jobs of many shapes, and the priority and deadline that each of their jobs must have.

use cherryyard_wire::dependencies::Dependencies;
use cherryyard_wire::job::{JobSpec, Rank, job_id};
use cherryyard_wire::record::{JobOutcome, JobRecord, TaskUsage};
use rand::rngs::StdRng;
use rand::seq::SliceRandom;
use rand::{RngExt, SeedableRng};
use serde_json::json;
use std::collections::{BTreeMap, BTreeSet};

/// Largest number of jobs that one job may wait for.
const MAX_DEPENDENCIES: u64 = 64;
/// Time of all submissions, in milliseconds since the Unix epoch.
const SUBMITTED_AT_MS: u64 = 1_000_000;

/// Job of a graph.
#[derive(Clone, Debug)]
pub struct GraphJob {
    pub number: u64,
    pub dependencies: Vec<u64>,
    pub expected_s: f64,
    pub due_s: Option<f64>,
    pub rank: Rank,
}

impl GraphJob {
    /// Returns a job without a deadline.
    pub fn new(number: u64, dependencies: Vec<u64>, expected_s: f64) -> Self {
        Self {
            number,
            dependencies,
            expected_s,
            due_s: None,
            rank: Rank::BestEffort,
        }
    }

    /// Returns the job as the last one of a pipeline, with a deadline and a high priority.
    pub fn urgent(mut self, due_s: f64) -> Self {
        (self.due_s, self.rank) = (Some(due_s), Rank::High);
        self
    }

    fn spec(&self) -> JobSpec {
        let text = json!({
            "id": job_id(self.number), "jobclass": "class", "owner": "team", "shape": "sweep",
            "rank": self.rank, "pieces": 1, "cores": 1.0, "accelerators": 0.0, "ram_gb": 1.0,
            "bundle": "img", "image_gb": 1.0, "together": false, "apart": false,
            "borrowed": false, "expected_s": self.expected_s, "snapshot_every_s": 0.0,
            "snapshot_cost_s": 0.0, "due_s": self.due_s,
        });
        JobSpec::parse(text.to_string().as_bytes()).expect("the job is valid")
    }

    /// Returns the record of the job while it is open.
    pub fn open_record(&self) -> JobRecord {
        JobRecord::Open {
            spec: Box::new(self.spec()),
            submitted_at_ms: SUBMITTED_AT_MS,
            division: Vec::new(),
            zone: None,
            zone_caps: Vec::new(),
            rules: None,
            dependencies: Dependencies {
                jobs: self.dependencies.clone(),
                ..Dependencies::default()
            },
        }
    }
}

/// Returns the record of a job that has ended.
pub fn ended_record(end: JobOutcome) -> JobRecord {
    JobRecord::Ended {
        end,
        task_count: 1,
        usage: TaskUsage {
            team: "team".into(),
            cores: 1.0,
            accelerators: 0.0,
            ram_gb: 1.0,
        },
        generation: 0,
        cancelled_by: None,
    }
}

/// Priority and deadline that a job must have.
#[derive(Clone, Copy, Debug)]
pub struct Expected {
    pub rank: Rank,
    pub due_ms: f64,
}

/// Open jobs by number.
pub type Graph = BTreeMap<u64, GraphJob>;

/// Returns the numbers of the jobs, each after its dependencies.
pub fn in_order(graph: &Graph) -> Vec<u64> {
    let mut order = Vec::new();
    let mut placed = BTreeSet::new();
    while order.len() < graph.len() {
        let placed_before = order.len();
        for (number, job) in graph {
            let is_placed = |dependency: &u64| placed.contains(dependency);
            let is_open = |dependency: &&u64| graph.contains_key(*dependency);
            let mut dependencies = job.dependencies.iter().filter(is_open);
            if !placed.contains(number) && dependencies.all(is_placed) {
                placed.insert(*number);
                order.push(*number);
            }
        }
        assert!(order.len() > placed_before, "the graph has a circle");
    }
    order
}

/// Returns the priority and deadline that each job must have: the highest priority of the job and
/// its direct and indirect dependents, and the earliest deadline of these less the later stages
/// (half as much again as the estimate of each, and 5 s). Cancelled jobs pass on nothing.
pub fn expected_urgency(graph: &Graph, cancelled: &BTreeSet<u64>) -> BTreeMap<u64, Expected> {
    let mut expected: BTreeMap<u64, Expected> = BTreeMap::new();
    for (&number, job) in graph {
        let due_s = job.due_s.unwrap_or(f64::INFINITY);
        let due_ms = SUBMITTED_AT_MS as f64 + due_s * 1000.0;
        let rank = job.rank;
        expected.insert(number, Expected { rank, due_ms });
    }
    for number in in_order(graph).into_iter().rev() {
        if cancelled.contains(&number) {
            continue;
        }
        let own = expected[&number];
        let due_ms = own.due_ms - (graph[&number].expected_s * 1500.0 + 5000.0);
        for dependency in &graph[&number].dependencies {
            if let Some(inherits) = expected.get_mut(dependency) {
                inherits.rank = inherits.rank.max(own.rank);
                inherits.due_ms = inherits.due_ms.min(due_ms);
            }
        }
    }
    expected
}

/// Returns the given jobs and their direct and indirect dependents.
pub fn with_dependents(graph: &Graph, first: u64) -> BTreeSet<u64> {
    let mut found = BTreeSet::from([first]);
    for number in in_order(graph) {
        let mut dependencies = graph[&number].dependencies.iter();
        if dependencies.any(|dependency| found.contains(dependency)) {
            found.insert(number);
        }
    }
    found
}

/// Shapes of graphs. The last job of each has the highest number.
#[derive(Clone, Copy, Debug)]
pub enum Shape {
    /// Stages in which each job waits for all jobs of the stage before.
    Stages { count: u64, width: u64 },
    /// Each job waits for the one before.
    Chain { length: u64 },
    /// Many jobs wait for one, and the last for some of these.
    FanOut { width: u64 },
    /// Every job waits for as many of the jobs before it as it may.
    Complete { jobs: u64 },
    /// Each job waits for some of the jobs before it, chosen by the seed.
    Random { jobs: u64, seed: u64 },
}

impl Shape {
    /// Returns the graph. Estimates grow from stage to stage and differ within one, so that each
    /// way to a job passes on a deadline of its own.
    pub fn graph(self) -> Graph {
        let jobs: Vec<GraphJob> = match self {
            Self::Stages { count, width } => stages(count, width),
            Self::Chain { length } => (1..=length).map(|n| before(n, 1)).collect(),
            Self::FanOut { width } => fan_out(width),
            Self::Complete { jobs } => (1..=jobs).map(|n| before(n, MAX_DEPENDENCIES)).collect(),
            Self::Random { jobs, seed } => random(jobs, seed),
        };
        jobs.into_iter().map(|job| (job.number, job)).collect()
    }
}

fn stages(count: u64, width: u64) -> Vec<GraphJob> {
    let job = |stage: u64, index: u64| {
        let dependencies = match stage {
            0 => Vec::new(),
            _ => ((stage - 1) * width + 1..=stage * width).collect(),
        };
        let expected_s = 0.001 * 2f64.powi(stage as i32) * (width - index) as f64;
        GraphJob::new(stage * width + index + 1, dependencies, expected_s)
    };
    let mut jobs: Vec<GraphJob> = Vec::new();
    for stage in 0..count {
        jobs.extend((0..width).map(|index| job(stage, index)));
    }
    let last_stage = (count - 1) * width + 1..=count * width;
    jobs.push(GraphJob::new(count * width + 1, last_stage.collect(), 1.0));
    jobs
}

fn fan_out(width: u64) -> Vec<GraphJob> {
    let mut jobs = vec![GraphJob::new(1, Vec::new(), 5.0)];
    jobs.extend((2..=width).map(|number| GraphJob::new(number, vec![1], number as f64)));
    let last = (width + 1 - MAX_DEPENDENCIES..=width).collect();
    jobs.push(GraphJob::new(width + 1, last, 5.0));
    jobs
}

/// Returns a job that waits for up to `count` of the jobs with the numbers before its own.
fn before(number: u64, count: u64) -> GraphJob {
    let dependencies = (number.saturating_sub(count).max(1)..number).collect();
    let expected_s = 1.0 + (number % 7) as f64;
    GraphJob::new(number, dependencies, expected_s)
}

/// Numbers are not in the order of acceptance, since users choose them.
fn random(jobs: u64, seed: u64) -> Vec<GraphJob> {
    let mut random = StdRng::seed_from_u64(seed);
    let mut numbers: Vec<u64> = (1..jobs).collect();
    numbers.shuffle(&mut random);
    numbers.push(jobs);
    let mut graph = Vec::new();
    for (index, &number) in numbers.iter().enumerate() {
        let mut dependencies = BTreeSet::new();
        for _ in 0..random.random_range(0..=4.min(index)) {
            dependencies.insert(numbers[random.random_range(index.saturating_sub(30)..index)]);
        }
        if number == jobs {
            dependencies.insert(numbers[index - 1]);
        }
        let expected_s = f64::from(random.random_range(0..1000u32));
        graph.push(GraphJob::new(
            number,
            dependencies.into_iter().collect(),
            expected_s,
        ));
    }
    graph
}
