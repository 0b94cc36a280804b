//! The rules, judged at every step by what is on the machines, whoever reaches them.

use super::World;
use cherryyard_wire::job::JobSpec;
use cherryyard_wire::worker::ExitCause;
use std::collections::{BTreeMap, BTreeSet};

/// Time within which a cancelled job's tasks must be gone.
const CANCEL_MS: f64 = 40_000.0;

/// What the rules are judged by.
#[derive(Debug, Default)]
pub(super) struct Checker {
    /// Jobs as they were submitted.
    pub(super) specs: BTreeMap<String, JobSpec>,
    /// Attempts that have been seen on a machine: task, attempt, machine.
    seen: BTreeSet<(String, u64, String)>,
    /// Jobs of which all tasks have completed, until they have been taken note of.
    pub(super) ended: Vec<String>,
    /// Starts after their jobs' users had been told that they are cancelled.
    pub(super) started_cancelled: usize,
}

fn job_of(task_name: &str) -> &str {
    task_name.split('/').next().unwrap_or_default()
}

impl World {
    /// How many tasks have started after their jobs' users had been told that they are
    /// cancelled; in time, or a rule is broken.
    pub fn started_cancelled(&self) -> usize {
        self.checker.started_cancelled
    }

    /// Notes that a rule is broken.
    pub(super) fn breaks(&mut self, text: String) {
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
        for worker in self.workers.values() {
            for (task_name, _) in worker.tasks.iter().filter(|p| p.1.2.is_none()) {
                if let Some(spec) = self.submitted(job_of(task_name)) {
                    *cores.entry(spec.team.clone()).or_default() += spec.cores;
                }
            }
        }
        cores
    }

    pub(super) fn check(&mut self) {
        let (mut on, mut twice, mut late) = (BTreeSet::new(), Vec::new(), Vec::new());
        let (mut new, mut completed) = (Vec::new(), Vec::new());
        for worker in self.workers.values() {
            for (name, task_name) in &worker.tasks {
                if task_name.2 == Some(ExitCause::Done) && !self.completed.contains(name) {
                    completed.push(name.clone());
                }
                if task_name.2.is_some() {
                    continue;
                }
                if !on.insert(name.clone()) {
                    twice.push(format!("{name} is on two machines"));
                }
                let told_at = self.cancelled_at.get(job_of(name));
                if told_at.is_some_and(|at| self.now - at > CANCEL_MS) {
                    late.push(format!("{name} runs though cancelled"));
                }
                let start = (name.clone(), task_name.0, worker.host.clone());
                if !self.checker.seen.contains(&start) {
                    new.push(start);
                }
            }
        }
        for name in completed {
            self.completed.insert(name.clone());
            self.note_ended(job_of(&name));
        }
        for text in twice.into_iter().chain(late) {
            self.breaks(text);
        }
        for start in new {
            self.check_start(&start.0, &start.2);
            self.checker.seen.insert(start);
        }
        for (team, cores) in self.cores_by_team() {
            let limit = self.limit_of(&team);
            if limit > 0.0 && cores > limit + 1e-6 {
                self.breaks(format!("{team} uses {cores} of {limit} cores"));
            }
        }
        let cores = |name: &String| self.submitted(job_of(name)).map_or(2.0, |s| s.cores);
        self.most_cores = self.most_cores.max(on.iter().map(cores).sum());
    }

    fn note_ended(&mut self, id: &str) {
        if self.is_complete(id) {
            self.checker.ended.push(id.into());
        }
    }

    /// Whether a task that has just started may be where it is, given the job's other
    /// tasks now. All stand-ins are ordinary machines.
    fn check_start(&mut self, task_name: &str, host: &str) {
        let id = job_of(task_name);
        if self.cancelled_at.contains_key(id) {
            self.checker.started_cancelled += 1;
        }
        self.check_needs(id, task_name);
        let (Some(spec), Some(worker)) = (self.submitted(id), self.workers.get(host)) else {
            return;
        };
        let zones = self.workers.values().flat_map(|w| {
            let here = w.tasks.iter().filter(|p| p.1.2.is_none());
            here.filter(|p| job_of(p.0) == id).map(|_| w.zone.as_str())
        });
        let zones: Vec<&str> = zones.collect();
        let here = zones.iter().filter(|z| **z == worker.zone).count();
        let machine_types = spec.machine_types.as_ref();
        let wrong = if spec.zone.as_ref().is_some_and(|y| *y != worker.zone) {
            "zone"
        } else if machine_types.is_some_and(|k| !k.contains(&worker.machine_type)) {
            "type"
        } else if spec.together && here < zones.len() {
            "zone, as its others are elsewhere"
        } else if spec.apart && here > spec.task_count.div_ceil(2) as usize {
            "zone, as half of its others are there"
        } else {
            return;
        };
        self.breaks(format!("{task_name} starts on {host}: wrong {wrong}"));
    }
}
