//! Checks of the rules at every step, based on what is on the machines, whether or not the
//! machines are reachable.

use super::World;
use crate::WorkerStandIn;
use crate::worker::job_id_of;
use cherryyard_wire::job::{JobSpec, Shape};
use cherryyard_wire::worker::ExitCause;
use std::collections::{BTreeMap, BTreeSet};

/// Cores counted for a task whose job was not submitted through the simulation.
const UNKNOWN_CORES: f64 = 2.0;

/// Observations that the rules are checked against.
#[derive(Debug, Default)]
pub struct Checker {
    /// Tasks that have completed.
    pub completed: BTreeSet<String>,
    /// Largest number of cores that running tasks have taken at the same time.
    pub peak_cores: f64,
    /// Specifications of the jobs as first submitted.
    specs: BTreeMap<String, JobSpec>,
    /// Ids of the submitted services, whose tasks end only with their jobs.
    pub(super) services: BTreeSet<String>,
    /// Attempts that have been seen on a machine.
    known_attempts: BTreeSet<Attempt>,
    /// Ids of jobs of which all tasks have completed, until [`Checker::take_ended`] returns
    /// them.
    ended: Vec<String>,
    /// Number of starts of tasks whose jobs' users had already been told that the job is
    /// cancelled.
    started_cancelled: usize,
}

/// An attempt to run a task on a machine.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord)]
struct Attempt {
    task_name: String,
    number: u64,
    machine: String,
}

/// State of the machines at one step.
#[derive(Debug, Default)]
struct Observation {
    /// Names of the running tasks.
    running: BTreeSet<String>,
    /// Attempts that were not seen in earlier steps.
    started: Vec<Attempt>,
    /// Tasks that have completed since the previous step.
    completed: Vec<String>,
    /// Violations: tasks that run on two machines.
    duplicated: Vec<String>,
    /// Violations: tasks that run too long after the cancellation of their jobs was confirmed.
    overdue: Vec<String>,
}

impl Checker {
    /// Records a job's specification; that of the first submission counts.
    pub(super) fn record_spec(&mut self, spec: &JobSpec) {
        if !self.specs.contains_key(&spec.id) {
            self.specs.insert(spec.id.clone(), spec.clone());
            if spec.shape == Shape::Service {
                self.services.insert(spec.id.clone());
            }
        }
    }

    /// Returns the jobs that have ended since the previous call.
    pub(super) fn take_ended(&mut self) -> Vec<String> {
        std::mem::take(&mut self.ended)
    }
}

impl World {
    /// Returns a job's specification as first submitted.
    pub fn submitted(&self, id: &str) -> Option<&JobSpec> {
        self.checker.specs.get(id)
    }

    /// Returns how many tasks have started after their jobs' users were told that the job is
    /// cancelled. Such a task violates a rule only if it is not stopped in time.
    pub fn started_cancelled(&self) -> usize {
        self.checker.started_cancelled
    }

    /// Records a rule violation, once for each text.
    pub(super) fn record_violation(&mut self, text: String) {
        if !self.violations.contains(&text) {
            self.trace_line(&text);
            self.violations.push(text);
        }
    }

    /// Returns the limit of a team in cores; 0 means no limit.
    pub fn limit_of(&self, team: &str) -> f64 {
        let further_team = self.setup.teams.iter().find(|t| t.0 == team);
        further_team.map_or(self.setup.limit, |t| t.2)
    }

    /// Returns the cores that the running tasks of each team take, including tasks on hanging
    /// and unreachable machines.
    pub fn cores_by_team(&self) -> BTreeMap<String, f64> {
        let mut cores: BTreeMap<String, f64> = BTreeMap::new();
        for task_name in self.workers.values().flat_map(WorkerStandIn::running_tasks) {
            if let Some(spec) = self.submitted(job_id_of(task_name)) {
                *cores.entry(spec.team.clone()).or_default() += spec.cores;
            }
        }
        cores
    }

    /// Checks the rules against the current state of the machines.
    pub(super) fn check_rules(&mut self) {
        let observed = self.observe();
        for task_name in observed.completed {
            self.record_completed(task_name);
        }
        for text in observed.duplicated.into_iter().chain(observed.overdue) {
            self.record_violation(text);
        }
        for attempt in observed.started {
            self.check_placement(&attempt.task_name, &attempt.machine);
            self.checker.known_attempts.insert(attempt);
        }
        self.check_limits();
        self.record_peak_cores(&observed.running);
    }

    fn observe(&self) -> Observation {
        let mut observed = Observation::default();
        let max_cancel_ms = self.setup.cancel_ms();
        for worker in self.workers.values() {
            for (name, task) in &worker.tasks {
                if task.cause == Some(ExitCause::Done) && !self.checker.completed.contains(name) {
                    observed.completed.push(name.clone());
                }
                if !task.runs() {
                    continue;
                }
                if !observed.running.insert(name.clone()) {
                    observed
                        .duplicated
                        .push(format!("{name} is on two machines"));
                }
                let cancelled_at = self.submissions.cancelled_at.get(job_id_of(name));
                if cancelled_at.is_some_and(|at| self.now - at > max_cancel_ms) {
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

    fn record_completed(&mut self, task_name: String) {
        let id = job_id_of(&task_name).to_string();
        self.checker.completed.insert(task_name);
        if self.is_complete(&id) {
            self.checker.ended.push(id);
        }
    }

    fn check_limits(&mut self) {
        for (team, cores) in self.cores_by_team() {
            let limit = self.limit_of(&team);
            if limit > 0.0 && cores > limit + 1e-6 {
                self.record_violation(format!("{team} uses {cores} of {limit} cores"));
            }
        }
    }

    fn record_peak_cores(&mut self, running: &BTreeSet<String>) {
        let cores = |name: &String| {
            self.submitted(job_id_of(name))
                .map_or(UNKNOWN_CORES, |spec| spec.cores)
        };
        let cores: f64 = running.iter().map(cores).sum();
        self.checker.peak_cores = self.checker.peak_cores.max(cores);
    }

    /// Checks that a task that has just started may be on its machine, given where the job's
    /// other tasks are now. All machines are regular (not spot) ones.
    fn check_placement(&mut self, task_name: &str, machine: &str) {
        let id = job_id_of(task_name);
        if self.submissions.cancelled_at.contains_key(id) {
            self.checker.started_cancelled += 1;
        }
        self.check_dependencies(id, task_name);
        let (Some(spec), Some(worker)) = (self.submitted(id), self.workers.get(machine)) else {
            return;
        };
        if let Some(violated) = misplaced_by(spec, worker, &self.zones_of(id)) {
            self.record_violation(format!("{task_name} starts on {machine}: wrong {violated}"));
        }
    }

    /// Returns the zone of each running task of a job.
    pub fn zones_of(&self, id: &str) -> Vec<&str> {
        let zones = self.workers.values().flat_map(|worker| {
            let tasks = worker.running_tasks().filter(|name| job_id_of(name) == id);
            tasks.map(|_| worker.zone.as_str())
        });
        zones.collect()
    }
}

/// Returns which property of a task's machine violates its job's placement constraints, given
/// the zones of all running tasks of the job.
fn misplaced_by(spec: &JobSpec, worker: &WorkerStandIn, zones: &[&str]) -> Option<&'static str> {
    let in_same_zone = zones.iter().filter(|zone| **zone == worker.zone).count();
    let machine_types = spec.machine_types.as_ref();
    if spec.zone.as_ref().is_some_and(|zone| *zone != worker.zone) {
        Some("zone")
    } else if machine_types.is_some_and(|types| !types.contains(&worker.machine_type)) {
        Some("type")
    } else if spec.together && in_same_zone < zones.len() {
        Some("zone, as its others are elsewhere")
    } else if spec.apart && in_same_zone > spec.task_count.div_ceil(2) as usize {
        Some("zone, as half of its others are there")
    } else {
        None
    }
}
