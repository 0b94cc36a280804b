//! Detection of tasks that wait although a suitable machine has capacity for them.

use super::{Job, Users, Wait};
use crate::World;
use crate::worker::job_id_of;
use cherryyard_wire::job::JobSpec;
use std::collections::BTreeMap;

/// Maximum time in milliseconds that a task may wait, once all faults have ended, while a
/// suitable machine has capacity for it and its team is under its limit.
pub(super) const MAX_WAIT_MS: f64 = 90_000.0;
/// Tolerance for rounding errors of cores and GB.
const EPSILON: f64 = 1e-6;

/// Free capacity of a machine that can accept tasks.
struct FreeMachine<'a> {
    zone: &'a str,
    machine_type: &'a str,
    cores: f64,
    ram_gb: f64,
}

impl FreeMachine<'_> {
    fn fits(&self, spec: &JobSpec) -> bool {
        let machine_types = spec.machine_types.as_ref();
        spec.zone.as_deref().is_none_or(|zone| zone == self.zone)
            && machine_types.is_none_or(|types| types.iter().any(|name| name == self.machine_type))
            && spec.cores <= self.cores + EPSILON
            && spec.ram_gb <= self.ram_gb + EPSILON
    }
}

/// Returns the free capacity of each machine that can accept tasks.
fn free_machines(world: &World) -> Vec<FreeMachine<'_>> {
    let usable = world
        .workers
        .values()
        .filter(|worker| world.is_usable(&worker.host));
    let free = usable.map(|worker| {
        let (mut cores, mut ram_gb) = world.machine_capacity(&worker.machine_type);
        for task_name in worker.running_tasks() {
            if let Some(spec) = world.submitted(job_id_of(task_name)) {
                (cores, ram_gb) = (cores - spec.cores, ram_gb - spec.ram_gb);
            }
        }
        FreeMachine {
            zone: &worker.zone,
            machine_type: &worker.machine_type,
            cores,
            ram_gb,
        }
    });
    free.collect()
}

/// Returns whether a task of a job could start now; false for jobs whose tasks must be together
/// or apart.
fn has_capacity(
    world: &World,
    spec: &JobSpec,
    free: &[FreeMachine<'_>],
    used: &BTreeMap<String, f64>,
) -> bool {
    let limit = world.limit_of(&spec.team);
    let used_cores = used.get(&spec.team).copied().unwrap_or(0.0);
    let is_under_limit = limit == 0.0 || used_cores + spec.cores <= limit + EPSILON;
    is_under_limit
        && world.dependencies_complete(&spec.id)
        && !spec.together
        && !spec.apart
        && free.iter().any(|machine| machine.fits(spec))
}

impl Job {
    /// Records tasks that have started, and returns whether there is a new one.
    fn record_started(&mut self, world: &World, id: &str) -> bool {
        let started_before = self.started.len();
        for n in 0..self.task_count {
            let name = format!("{id}/{n}");
            if !self.started.contains(&name) && has_started(world, &name) {
                self.started.insert(name);
            }
        }
        self.started.len() > started_before
    }

    /// Records for how long a task has waited although there is capacity for it.
    fn record_wait(&mut self, now: f64, has_capacity: bool, has_new_start: bool) {
        let waits = has_capacity && self.started.len() < self.task_count as usize;
        if !waits || has_new_start {
            self.waiting_since = waits.then_some(now);
            return;
        }
        let since = *self.waiting_since.get_or_insert(now);
        if now - since > MAX_WAIT_MS {
            self.waits.retain(|wait| wait.since != since);
            self.waits.push(Wait { since, until: now });
        }
    }
}

fn has_started(world: &World, task_name: &str) -> bool {
    world.checker.completed.contains(task_name)
        || world.workers.values().any(|worker| worker.runs(task_name))
}

impl Users {
    /// Records for how long tasks wait although a suitable machine has capacity for them.
    pub(super) fn record_waits(&mut self, world: &World) {
        let used = world.cores_by_team();
        let free = free_machines(world);
        let open = self.jobs.iter_mut();
        for (id, job) in open.filter(|(_, job)| !job.is_cancelled && !job.is_done) {
            let Some(spec) = world.submitted(id) else {
                continue;
            };
            let has_capacity = has_capacity(world, spec, &free, &used);
            let has_new_start = job.record_started(world, id);
            job.record_wait(world.now, has_capacity, has_new_start);
        }
    }
}
