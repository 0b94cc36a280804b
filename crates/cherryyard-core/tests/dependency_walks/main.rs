//! Work that one event causes in a graph of dependent jobs, counted in steps: an event visits each
//! job that it changes once, whatever the shape of the graph.

mod graphs;

use cherryyard_core::mirror::MAX_URGENCY_STEPS;
use cherryyard_core::{Config, Controller, Tuning};
use cherryyard_wire::job::Rank;
use cherryyard_wire::record::{JobOutcome, JobRecord, job_key};
use cherryyard_wire::settings::Settings;
use cherryyard_wire::state::{Json, Pair, WatchEvent, WatchResponse};
use graphs::{
    Expected, Graph, GraphJob, Shape, ended_record, expected_urgency, in_order, with_dependents,
};
use serde_json::json;
use std::collections::{BTreeMap, BTreeSet};

/// Largest number of jobs that one job may wait for.
const MAX_DEPENDENCIES: u64 = 64;
/// Largest number of steps in one pass: the last job of a pass may have dependencies left.
const MAX_PASS_STEPS: u64 = MAX_URGENCY_STEPS as u64 + MAX_DEPENDENCIES;
/// Number of keys in one page of a full read.
const READ_PAGE: usize = 100;

/// Shapes that all tests use.
const SHAPES: [Shape; 8] = [
    Shape::Stages { count: 9, width: 6 },
    Shape::Stages {
        count: 24,
        width: 8,
    },
    Shape::Stages {
        count: 4,
        width: 64,
    },
    Shape::Chain { length: 2000 },
    Shape::FanOut { width: 2000 },
    Shape::Complete { jobs: 300 },
    Shape::Random { jobs: 600, seed: 1 },
    Shape::Random { jobs: 600, seed: 2 },
];

/// Returns the only controller of its cluster.
fn controller() -> Controller {
    let settings = json!({
        "label": "a", "domain": "a",
        "public_addr": "127.0.0.1:1", "peer_listen": "127.0.0.1:2",
        "known": [],
        "services": { "cloud": "127.0.0.1:4", "state": "127.0.0.1:5" },
        "cluster": {
            "zones": ["a"], "teams": [{ "name": "team" }],
            "workers": { "report_s": 2.0, "lease_s": 10.0, "cancel_s": 40.0 },
            "state": { "rps": 80.0, "write_rps": 20.0, "value_kb": 16.0, "txn_ops": 16 },
            "cloud": { "rps": 4.0, "list_lag_s": 6.0 },
            "limits": { "memory_mb": 72.0, "sockets": 1500 },
        },
    });
    let settings = Settings::parse(settings.to_string().as_bytes()).expect("good settings");
    Controller::new(Config::new(&settings, Tuning::default()), 1, 0.0)
}

/// A controller that receives changes of jobs, and the jobs that it must know.
struct Trial {
    controller: Controller,
    graph: Graph,
    cancelled: BTreeSet<u64>,
    revision: u64,
}

impl Trial {
    /// Returns a controller that has read nothing yet.
    fn unread() -> Self {
        Self {
            controller: controller(),
            graph: Graph::new(),
            cancelled: BTreeSet::new(),
            revision: 1,
        }
    }

    /// Returns a controller that has read an empty state.
    fn new() -> Self {
        let mut trial = Self::unread();
        trial.controller.handle_load_end(1, 0.0, 0.0);
        trial
    }

    /// Returns a controller that has received the jobs one after the other, each after those that
    /// it waits for.
    fn with_jobs(jobs: &Graph) -> Self {
        let mut trial = Self::new();
        for number in in_order(jobs) {
            trial.add(jobs[&number].clone());
        }
        trial
    }

    /// Reports a job's record; returns the steps that this caused, after all passes.
    fn put(&mut self, job: u64, record: &JobRecord) -> u64 {
        let before = self.steps();
        self.report(job, record);
        self.finish_passes();
        self.steps() - before
    }

    /// Reports a job's record. The event makes one pass, so priorities and deadlines may be left to
    /// be passed on.
    fn report(&mut self, job: u64, record: &JobRecord) {
        self.revision += 1;
        let event = WatchEvent {
            set: Some(job_key(job)),
            delete: None,
            value: Json::of(record),
            revision: self.revision,
        };
        let events = WatchResponse {
            store_revision: self.revision,
            events: vec![event],
        };
        let controller = &mut self.controller;
        let before = controller.mirror.dependency_steps().urgency;
        controller.handle_watch_response(&events, 0.0, 0.0);
        let steps = controller.mirror.dependency_steps().urgency - before;
        assert!(steps <= MAX_PASS_STEPS, "{steps} steps in one event");
    }

    /// Reads all jobs by pages of [`READ_PAGE`] keys in the given order; returns the steps that
    /// this caused, after all passes. Other events are handled between the pages.
    fn read(&mut self, jobs: &Graph, order: &[u64]) -> u64 {
        let before = self.steps();
        self.controller.mirror.begin_load();
        for page in order.chunks(READ_PAGE) {
            let pair = |job: &u64| Pair {
                key: job_key(*job),
                value: Json::of(&jobs[job].open_record()),
                revision: 2,
            };
            let pairs: Vec<Pair> = page.iter().map(pair).collect();
            self.controller.mirror.apply_read_page(&pairs);
            self.controller.tick(0.0);
        }
        self.revision = 2;
        self.controller.handle_load_end(self.revision, 0.0, 0.0);
        self.graph = jobs.clone();
        self.finish_passes();
        self.steps() - before
    }

    fn steps(&self) -> u64 {
        self.controller.mirror.dependency_steps().total()
    }

    /// Ticks until all priorities and deadlines have been passed on. Each tick makes a limited
    /// number of steps.
    fn finish_passes(&mut self) {
        while self.controller.mirror.urgency_backlog() > 0 {
            let before = self.steps();
            self.controller.tick(0.0);
            let steps = self.steps() - before;
            assert!(steps <= MAX_PASS_STEPS, "{steps} steps in one tick");
        }
    }

    fn add(&mut self, job: GraphJob) -> u64 {
        let steps = self.put(job.number, &job.open_record());
        self.graph.insert(job.number, job);
        steps
    }

    fn end(&mut self, job: u64, end: JobOutcome) -> u64 {
        if end == JobOutcome::Cancelled {
            self.cancelled.extend(with_dependents(&self.graph, job));
        }
        let steps = self.put(job, &ended_record(end));
        self.graph.remove(&job);
        steps
    }

    fn expected(&self) -> BTreeMap<u64, Expected> {
        expected_urgency(&self.graph, &self.cancelled)
    }

    /// Asserts that each job has the priority and deadline, and is cancelled or not, as it must be.
    fn assert_jobs(&self, shape: Shape) {
        let mirror = &self.controller.mirror;
        for (job, expected) in self.expected() {
            let open = &mirror.open[&job];
            assert_eq!(open.rank(), expected.rank, "{shape:?}: rank of {job}");
            let is_due =
                open.due_ms() == expected.due_ms || (open.due_ms() - expected.due_ms).abs() < 0.01;
            assert!(is_due, "{shape:?}: {job} is due at {}", open.due_ms());
            let is_cancelled = mirror.cancelled_with(job).is_some();
            assert_eq!(
                is_cancelled,
                self.cancelled.contains(&job),
                "{shape:?}: {job}"
            );
        }
    }

    /// Returns the largest number of steps that an event may take: three for each dependency of the
    /// jobs whose priority or deadline it changes, and of the job itself.
    fn urgency_bound(&self, before: &BTreeMap<u64, Expected>, job: &GraphJob) -> u64 {
        let after = self.expected();
        let is_changed = |number: &u64| {
            before.get(number).is_some_and(|before| {
                let after = after.get(number).unwrap_or(before);
                before.rank != after.rank || before.due_ms != after.due_ms
            })
        };
        let changed = self.graph.iter().filter(|(number, _)| is_changed(number));
        let dependencies: usize = changed.map(|(_, job)| 1 + job.dependencies.len()).sum();
        3 * (dependencies + 1 + job.dependencies.len()) as u64
    }
}

fn without_last(mut graph: Graph) -> (Graph, GraphJob) {
    let (_, last) = graph.pop_last().expect("a last job");
    (graph, last)
}

/// Guards against controllers that answer nothing after the last job of a pipeline is submitted:
/// its deadline was passed on once for each way through the graph (review, case 1).
#[test]
fn a_deadline_is_passed_on_once_to_each_job() {
    for shape in SHAPES {
        let (graph, last) = without_last(shape.graph());
        let mut trial = Trial::with_jobs(&graph);
        let before = trial.expected();
        let last = last.urgent(900.0);
        let steps = trial.add(last.clone());
        let bound = trial.urgency_bound(&before, &last);
        assert!(steps <= bound, "{shape:?}: {steps} steps, at most {bound}");
        trial.assert_jobs(shape);
    }
}

/// Guards against controllers that answer nothing after the last job of a pipeline is cancelled, or
/// any other: each job that inherited from it is visited once.
#[test]
fn a_cancellation_withdraws_a_deadline_once_from_each_job() {
    for shape in SHAPES {
        let (graph, last) = without_last(shape.graph());
        let last = last.urgent(900.0);
        let mut trial = Trial::with_jobs(&graph);
        trial.add(last.clone());
        let before = trial.expected();
        let steps = trial.end(last.number, JobOutcome::Cancelled);
        let bound = trial.urgency_bound(&before, &last);
        assert!(steps <= bound, "{shape:?}: {steps} steps, at most {bound}");
        trial.assert_jobs(shape);
    }
}

/// Guards against a cancellation that visits a job once for each way to it: each direct and
/// indirect dependent is marked once, and each of its dependencies looked at twice.
#[test]
fn a_cancellation_marks_each_dependent_once() {
    for shape in SHAPES {
        let (mut graph, last) = without_last(shape.graph());
        graph.insert(last.number, last.urgent(900.0));
        let first = in_order(&graph)[0];
        let cancelled = with_dependents(&graph, first);
        let mut trial = Trial::with_jobs(&graph);
        let before = trial.expected();
        let steps = trial.end(first, JobOutcome::Cancelled);
        let dependencies = |job: &u64| 1 + graph[job].dependencies.len() as u64;
        let marks: u64 = cancelled.iter().map(dependencies).sum();
        let bound = 5 * marks + trial.urgency_bound(&before, &graph[&first]);
        assert!(steps <= bound, "{shape:?}: {steps} steps, at most {bound}");
        trial.assert_jobs(shape);
    }
}

/// Guards against a restart, or a reload while serving, that visits jobs once for each way to them
/// or once for each page: users choose the numbers of jobs, so a full read, in the order of keys,
/// may return a job after its dependents.
#[test]
fn a_full_read_visits_each_dependency_a_few_times() {
    for shape in SHAPES {
        let (mut graph, last) = without_last(shape.graph());
        graph.insert(last.number, last.urgent(900.0));
        let ascending = in_order(&graph);
        let descending: Vec<u64> = ascending.iter().rev().copied().collect();
        let by_key: Vec<u64> = graph.keys().copied().collect();
        let dependencies: usize = graph.values().map(|job| 1 + job.dependencies.len()).sum();
        let bound = 5 * dependencies as u64;
        for order in [ascending, descending, by_key] {
            let mut started = Trial::unread();
            let steps = started.read(&graph, &order);
            assert!(steps <= bound, "{shape:?}: {steps} steps, at most {bound}");
            started.assert_jobs(shape);
            let mut reloaded = Trial::new();
            let steps = reloaded.read(&graph, &order);
            assert!(steps <= bound, "{shape:?}: {steps} steps, at most {bound}");
            reloaded.assert_jobs(shape);
        }
    }
}

/// Guards against ends that cost more the more dependencies the dependents have: the end of a job is
/// one step for each of its dependents, and none when its record is written again.
#[test]
fn an_end_is_one_step_for_each_dependent() {
    for shape in SHAPES {
        let graph = shape.graph();
        let mut trial = Trial::with_jobs(&graph);
        for job in in_order(&graph) {
            let depends = |other: &&GraphJob| other.dependencies.contains(&job);
            let dependents = trial.graph.values().filter(depends).count() as u64;
            let steps = trial.end(job, JobOutcome::Done);
            assert!(
                steps <= dependents,
                "{shape:?}: {steps} steps, {dependents} dependents"
            );
            let steps = trial.put(job, &ended_record(JobOutcome::Done));
            assert_eq!(steps, 0, "{shape:?}: the end of {job}, written again");
            for waiting in trial.graph.values() {
                let mut dependencies = waiting.dependencies.iter();
                let waits = dependencies.any(|job| trial.graph.contains_key(job));
                let mirror = &trial.controller.mirror;
                assert_eq!(mirror.waits_for_others(waiting.number), waits, "{shape:?}");
                assert_eq!(
                    mirror.undivided.contains(&waiting.number),
                    !waits,
                    "{shape:?}"
                );
            }
        }
    }
}

/// Guards against events that wait for each other's passes: jobs with ever earlier deadlines arrive
/// and are cancelled while earlier ones are still being passed on, and each event makes one pass.
#[test]
fn events_between_passes_keep_to_the_limit() {
    const LAST_JOBS: u64 = 40;
    let shape = Shape::Complete { jobs: 300 };
    let graph = shape.graph();
    let last_dependencies = graph[&300].dependencies.clone();
    let mut trial = Trial::with_jobs(&graph);
    for index in 0..LAST_JOBS {
        let number = 301 + index;
        let due_s = 9000.0 - 100.0 * index as f64;
        let last = GraphJob::new(number, last_dependencies.clone(), 1.0).urgent(due_s);
        trial.report(number, &last.open_record());
        trial.graph.insert(number, last);
        if index % 3 == 2 {
            trial.report(number, &ended_record(JobOutcome::Cancelled));
            trial.graph.remove(&number);
        }
    }
    assert!(trial.controller.mirror.urgency_backlog() > 0);
    trial.finish_passes();
    trial.assert_jobs(shape);
}

/// Guards against a job that never becomes ready because its stored list of dependencies is not in
/// order or names one of them twice.
#[test]
fn a_list_of_dependencies_in_any_order_is_read() {
    let mut trial = Trial::new();
    trial.add(GraphJob::new(1, Vec::new(), 1.0));
    trial.add(GraphJob::new(2, Vec::new(), 1.0));
    trial.add(GraphJob::new(3, vec![2, 1, 2], 1.0).urgent(900.0));
    let rank = |trial: &Trial, job: u64| trial.controller.mirror.open[&job].rank();
    assert_eq!((rank(&trial, 1), rank(&trial, 2)), (Rank::High, Rank::High));
    trial.add(GraphJob::new(3, vec![2, 1, 2], 1.0));
    assert_eq!(rank(&trial, 1), Rank::BestEffort);
    assert_eq!(rank(&trial, 2), Rank::BestEffort);
    for job in [2, 1] {
        assert!(trial.controller.mirror.waits_for_others(3));
        trial.put(job, &ended_record(JobOutcome::Done));
    }
    assert!(!trial.controller.mirror.waits_for_others(3));
    assert!(trial.controller.mirror.undivided.contains(&3));
}
