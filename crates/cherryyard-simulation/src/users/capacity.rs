//! Tasks that wait although a machine that fits has room.

use super::{Job, Users, Wait};
use crate::World;
use crate::worker::job_of;
use cherryyard_wire::job::JobSpec;
use std::collections::BTreeMap;

/// So long no task may wait, once all faults are over, while a machine that fits has room
/// and its team is under its limit.
pub(super) const MOST_WAIT_MS: f64 = 90_000.0;
/// Rounding errors of cores and GB.
const EPSILON: f64 = 1e-6;

/// What is free on a machine that can take tasks.
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

/// What is free on each machine that can take tasks.
fn free_machines(world: &World) -> Vec<FreeMachine<'_>> {
    let usable = world
        .workers
        .values()
        .filter(|worker| world.is_usable(&worker.host));
    let free = usable.map(|worker| {
        let (mut cores, mut ram_gb) = world.machine_capacity(&worker.machine_type);
        for task_name in worker.running_tasks() {
            if let Some(spec) = world.submitted(job_of(task_name)) {
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

/// Whether a task of a job could start now.
fn has_room(
    world: &World,
    spec: &JobSpec,
    free: &[FreeMachine<'_>],
    used: &BTreeMap<String, f64>,
) -> bool {
    let limit = world.limit_of(&spec.team);
    let uses = used.get(&spec.team).copied().unwrap_or(0.0);
    let is_under_limit = limit == 0.0 || uses + spec.cores <= limit + EPSILON;
    is_under_limit
        && world.needs_are_complete(&spec.id)
        && !spec.together
        && !spec.apart
        && free.iter().any(|machine| machine.fits(spec))
}

impl Job {
    /// Notes tasks that have started; whether there is a new one.
    fn note_started(&mut self, world: &World, id: &str) -> bool {
        let before = self.started.len();
        for n in 0..self.task_count {
            let name = format!("{id}/{n}");
            if !self.started.contains(&name) && has_started(world, &name) {
                self.started.insert(name);
            }
        }
        self.started.len() > before
    }

    /// Notes for how long a task has waited though there is room.
    fn note_wait(&mut self, now: f64, has_room: bool, is_progressing: bool) {
        let waits = has_room && self.started.len() < self.task_count as usize;
        if !waits || is_progressing {
            self.waits_since = waits.then_some(now);
            return;
        }
        let since = *self.waits_since.get_or_insert(now);
        if now - since > MOST_WAIT_MS {
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
    /// Notes for how long tasks wait while a machine that fits has room.
    pub(super) fn note_waits(&mut self, world: &World) {
        let used = world.cores_by_team();
        let free = free_machines(world);
        let open = self.jobs.iter_mut();
        for (id, job) in open.filter(|(_, job)| !job.is_cancelled && !job.is_done) {
            let Some(spec) = world.submitted(id) else {
                continue;
            };
            let has_room = has_room(world, spec, &free, &used);
            let is_progressing = job.note_started(world, id);
            job.note_wait(world.now, has_room, is_progressing);
        }
    }
}
