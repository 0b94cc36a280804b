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
fn free_machines(w: &World) -> Vec<FreeMachine<'_>> {
    let usable = w.workers.values().filter(|worker| w.in_order(&worker.host));
    let free = usable.map(|worker| {
        let (mut cores, mut ram_gb) = w.whole(&worker.machine_type);
        for task_name in worker.running_tasks() {
            if let Some(spec) = w.submitted(job_of(task_name)) {
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
    w: &World,
    spec: &JobSpec,
    free: &[FreeMachine<'_>],
    used: &BTreeMap<String, f64>,
) -> bool {
    let limit = w.limit_of(&spec.team);
    let uses = used.get(&spec.team).copied().unwrap_or(0.0);
    let is_under_limit = limit == 0.0 || uses + spec.cores <= limit + EPSILON;
    is_under_limit
        && w.needs_are_complete(&spec.id)
        && !spec.together
        && !spec.apart
        && free.iter().any(|machine| machine.fits(spec))
}

impl Job {
    /// Notes tasks that have started; whether there is a new one.
    fn note_started(&mut self, w: &World, id: &str) -> bool {
        let before = self.started.len();
        for n in 0..self.task_count {
            let name = format!("{id}/{n}");
            if !self.started.contains(&name) && has_started(w, &name) {
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

fn has_started(w: &World, task_name: &str) -> bool {
    w.checker.completed.contains(task_name) || w.workers.values().any(|x| x.runs(task_name))
}

impl Users {
    /// Notes for how long tasks wait while a machine that fits has room.
    pub(super) fn note_waits(&mut self, w: &World) {
        let used = w.cores_by_team();
        let free = free_machines(w);
        let open = self.jobs.iter_mut();
        for (id, job) in open.filter(|(_, job)| !job.is_cancelled && !job.is_done) {
            let Some(spec) = w.submitted(id) else {
                continue;
            };
            let has_room = has_room(w, spec, &free, &used);
            let is_progressing = job.note_started(w, id);
            job.note_wait(w.now, has_room, is_progressing);
        }
    }
}
