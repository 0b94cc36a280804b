//! The rules, judged at every step by what is on the machines, whoever reaches them.

use super::World;
use crate::WorkerStandIn;
use crate::worker::job_of;
use cherryyard_wire::job::{JobSpec, Shape};
use cherryyard_wire::worker::ExitCause;
use std::collections::{BTreeMap, BTreeSet};

/// Time within which a cancelled job's tasks must be gone.
const CANCEL_MS: f64 = 40_000.0;
/// Cores of a task whose job was not submitted through the simulation.
const UNKNOWN_CORES: f64 = 2.0;

/// What the rules are judged by.
#[derive(Debug, Default)]
pub struct Checker {
    /// Tasks that have completed.
    pub completed: BTreeSet<String>,
    /// Most cores that tasks took at any time.
    pub most_cores: f64,
    /// Jobs as they were first submitted.
    specs: BTreeMap<String, JobSpec>,
    /// Submitted services: their tasks end only with their jobs.
    pub(super) services: BTreeSet<String>,
    /// Attempts that have been seen on a machine.
    known_attempts: BTreeSet<Attempt>,
    /// Jobs of which all tasks have completed, until they have been taken note of.
    ended: Vec<String>,
    /// Starts after their jobs' users had been told that they are cancelled.
    started_cancelled: usize,
}

/// An attempt at a task on a machine.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord)]
struct Attempt {
    task_name: String,
    number: u64,
    machine: String,
}

/// What is on the machines at one step.
#[derive(Debug, Default)]
struct Observation {
    /// Tasks that run.
    running: BTreeSet<String>,
    /// Attempts that were not seen before.
    started: Vec<Attempt>,
    /// Tasks that have completed since the last step.
    completed: Vec<String>,
    /// Tasks on two machines.
    doubled: Vec<String>,
    /// Tasks that run too long after their jobs were cancelled.
    overdue: Vec<String>,
}

impl Checker {
    /// Notes what is to be known of a job: it is as it was first submitted.
    pub(super) fn note(&mut self, spec: &JobSpec) {
        if !self.specs.contains_key(&spec.id) {
            self.specs.insert(spec.id.clone(), spec.clone());
            if spec.shape == Shape::Service {
                self.services.insert(spec.id.clone());
            }
        }
    }

    /// Jobs that have ended since the last call.
    pub(super) fn take_ended(&mut self) -> Vec<String> {
        std::mem::take(&mut self.ended)
    }
}

impl World {
    /// A job as it was submitted.
    pub fn submitted(&self, id: &str) -> Option<&JobSpec> {
        self.checker.specs.get(id)
    }

    /// How many tasks have started after their jobs' users had been told that they are
    /// cancelled; in time, or a rule is broken.
    pub fn started_cancelled(&self) -> usize {
        self.checker.started_cancelled
    }

    /// Notes that a rule is broken.
    pub(super) fn note_violation(&mut self, text: String) {
        if !self.broken.contains(&text) {
            self.say(&text);
            self.broken.push(text);
        }
    }

    /// The limit of a team in cores; 0: none.
    pub fn limit_of(&self, team: &str) -> f64 {
        let more = self.setup.teams.iter().find(|t| t.0 == team);
        more.map_or(self.setup.limit, |t| t.2)
    }

    /// What the tasks of each team that are on machines take, hanging and unreachable
    /// ones too.
    pub fn cores_by_team(&self) -> BTreeMap<String, f64> {
        let mut cores: BTreeMap<String, f64> = BTreeMap::new();
        for task_name in self.workers.values().flat_map(WorkerStandIn::running_tasks) {
            if let Some(spec) = self.submitted(job_of(task_name)) {
                *cores.entry(spec.team.clone()).or_default() += spec.cores;
            }
        }
        cores
    }

    /// Judges what is on the machines now.
    pub(super) fn check(&mut self) {
        let observed = self.observe();
        for task_name in observed.completed {
            self.note_completed(task_name);
        }
        for text in observed.doubled.into_iter().chain(observed.overdue) {
            self.note_violation(text);
        }
        for attempt in observed.started {
            self.check_start(&attempt.task_name, &attempt.machine);
            self.checker.known_attempts.insert(attempt);
        }
        self.check_limits();
        self.note_cores(&observed.running);
    }

    fn observe(&self) -> Observation {
        let mut observed = Observation::default();
        for worker in self.workers.values() {
            for (name, task) in &worker.tasks {
                if task.cause == Some(ExitCause::Done) && !self.checker.completed.contains(name) {
                    observed.completed.push(name.clone());
                }
                if !task.runs() {
                    continue;
                }
                if !observed.running.insert(name.clone()) {
                    observed.doubled.push(format!("{name} is on two machines"));
                }
                let cancelled_at = self.submissions.cancelled_at.get(job_of(name));
                if cancelled_at.is_some_and(|at| self.now - at > CANCEL_MS) {
                    let text = format!("{name} runs though cancelled");
                    observed.overdue.push(text);
                }
                let attempt = Attempt {
                    task_name: name.clone(),
                    number: task.attempt,
                    machine: worker.host.clone(),
                };
                if !self.checker.known_attempts.contains(&attempt) {
                    observed.started.push(attempt);
                }
            }
        }
        observed
    }

    fn note_completed(&mut self, task_name: String) {
        let id = job_of(&task_name).to_string();
        self.checker.completed.insert(task_name);
        if self.is_complete(&id) {
            self.checker.ended.push(id);
        }
    }

    fn check_limits(&mut self) {
        for (team, cores) in self.cores_by_team() {
            let limit = self.limit_of(&team);
            if limit > 0.0 && cores > limit + 1e-6 {
                self.note_violation(format!("{team} uses {cores} of {limit} cores"));
            }
        }
    }

    fn note_cores(&mut self, running: &BTreeSet<String>) {
        let cores = |name: &String| {
            self.submitted(job_of(name))
                .map_or(UNKNOWN_CORES, |spec| spec.cores)
        };
        let cores: f64 = running.iter().map(cores).sum();
        self.checker.most_cores = self.checker.most_cores.max(cores);
    }

    /// Whether a task that has just started may be where it is, given the job's other
    /// tasks now. All machines are ordinary ones.
    fn check_start(&mut self, task_name: &str, machine: &str) {
        let id = job_of(task_name);
        if self.submissions.cancelled_at.contains_key(id) {
            self.checker.started_cancelled += 1;
        }
        self.check_needs(id, task_name);
        let (Some(spec), Some(worker)) = (self.submitted(id), self.workers.get(machine)) else {
            return;
        };
        if let Some(wrong) = wrong_placement(spec, worker, &self.zones_of(id)) {
            self.note_violation(format!("{task_name} starts on {machine}: wrong {wrong}"));
        }
    }

    /// The zone of each running task of a job.
    fn zones_of(&self, id: &str) -> Vec<&str> {
        let zones = self.workers.values().flat_map(|worker| {
            let tasks = worker.running_tasks().filter(|name| job_of(name) == id);
            tasks.map(|_| worker.zone.as_str())
        });
        zones.collect()
    }
}

/// What of a task's machine is against its job's rules, given the zones of all tasks of
/// the job.
fn wrong_placement(spec: &JobSpec, worker: &WorkerStandIn, zones: &[&str]) -> Option<&'static str> {
    let here = zones.iter().filter(|zone| **zone == worker.zone).count();
    let machine_types = spec.machine_types.as_ref();
    if spec.zone.as_ref().is_some_and(|zone| *zone != worker.zone) {
        Some("zone")
    } else if machine_types.is_some_and(|types| !types.contains(&worker.machine_type)) {
        Some("type")
    } else if spec.together && here < zones.len() {
        Some("zone, as its others are elsewhere")
    } else if spec.apart && here > spec.task_count.div_ceil(2) as usize {
        Some("zone, as half of its others are there")
    } else {
        None
    }
}
