//! Free capacity of a shard's machines, and the capacity report for the leader.

use super::cycle::Cycle;
use crate::Millis;
use crate::admission::queue::Place;
use crate::controller::Controller;
use crate::machine::{Machine, Task};
use crate::names::Names;
use crate::needs::Resources;
use cherryyard_wire::peer::{CapacityReport, MachineCapacity, MachinePool};
use cherryyard_wire::record::Key;

/// Maximum number of waiting jobs in a capacity report, taken in the order of service.
const MAX_REPORTED_JOBS: usize = 500;
/// Silence limit of a machine: a number of heartbeat intervals, plus the time that a heartbeat may
/// take to arrive.
const SILENT_HEARTBEATS: f64 = 1.25;
const SILENT_MS: f64 = 700.0;

impl Controller {
    /// Returns the silence in milliseconds after which a machine gets no new tasks.
    pub(crate) fn silence_ms(&self) -> f64 {
        self.config.report_ms * SILENT_HEARTBEATS + SILENT_MS
    }

    /// Returns a machine's total capacity according to its type, or `None` if the type is unknown.
    pub(crate) fn total_capacity(&self, machine: &Machine) -> Option<Resources> {
        let machine_type = machine.type_in(&self.mirror.catalog.machine_types)?;
        Some(Resources {
            cores: machine_type.cores,
            accelerators: machine_type.accelerators,
            ram_gb: machine_type.ram_gb,
        })
    }

    /// Returns the free capacity of a machine, after its assignments (as `cycle` will leave them)
    /// and the tasks on it that have no assignment.
    pub(crate) fn free_on(&self, machine: &Machine, cycle: Option<&Cycle>) -> Option<Resources> {
        let mut free = self.total_capacity(machine)?;
        let is_gone = |task: &Task| cycle.is_some_and(|cycle| cycle.withdrawn.contains(task));
        for (task, _) in self.mirror.assignments_on(machine.host) {
            if !is_gone(&task) {
                free.subtract(&self.mirror.task_resources(task.0)?.1);
            }
        }
        for (task, reported) in &machine.reported {
            let is_assigned = || self.mirror.assignment_on(machine.host, *task).is_some();
            if !reported.ended() && (is_gone(task) || !is_assigned()) {
                // The task has no assignment, or is losing it, and uses capacity until the machine
                // no longer runs it.
                free.subtract(&self.mirror.task_resources(task.0)?.1);
            }
        }
        let assigned = cycle.and_then(|cycle| cycle.assigned.get(&machine.host));
        for task in assigned.into_iter().flatten() {
            let reported = machine.reported.get(task);
            if reported.is_none_or(|reported| reported.ended()) {
                free.subtract(&self.mirror.task_resources(task.0)?.1);
            }
        }
        Some(free)
    }

    /// Returns the free capacity (cores, accelerators, RAM) that a machine would have if all its
    /// arrays of standard rank or below were stopped.
    fn free_if_preempted(&self, machine: &Machine, mut free: Resources) -> (f32, f32, f32) {
        for ((job, _), _) in self.mirror.assignments_on(machine.host) {
            let open = self.mirror.open.get(&job);
            if let Some(open) = open.filter(|open| open.is_preemptible()) {
                free.add(&open.needs());
            }
        }
        as_reported(&free)
    }

    /// Returns the shard's free capacity and waiting tasks, as reported to the leader.
    pub(crate) fn capacity_report(&self, shard_id: usize, now: Millis) -> CapacityReport {
        let silence = self.silence_ms();
        let usable = |m: &&Machine| m.shard == shard_id && m.is_usable(now, silence);
        let machines: Vec<&Machine> = self.machines.values().filter(usable).collect();
        let used = self.mirror.usage(shard_id);
        let waiting = self.reported_jobs(shard_id, now);
        let wants = self.wants(&waiting, &used, &machines);
        let (mut pools, mut images) = (Vec::new(), Names::default());
        let capacities = machines
            .into_iter()
            .filter_map(|machine| self.machine_capacity(machine, &mut pools, &mut images))
            .collect();
        let teams = wants.iter().enumerate();
        CapacityReport {
            shard: shard_id as u32,
            revision: self.mirror.revision(Key::Shard(shard_id)),
            machines: capacities,
            pools,
            images: (0..images.len() as u32)
                .map(|image| images.name(image).to_string())
                .collect(),
            waiting,
            team_demand: teams
                .map(|(team, wanted)| {
                    let name = self.config.team_names.name(team as u32);
                    (name.to_string(), wanted.cores, wanted.accelerators)
                })
                .collect(),
        }
    }

    /// Returns the jobs that wait in a shard in the order of service, each with the number of its
    /// waiting tasks and the seconds for which it has waited.
    fn reported_jobs(&self, shard_id: usize, now: Millis) -> Vec<(u64, u32, f32)> {
        let queues = &self.shards[shard_id].queues;
        let mut service_order = queues.service_order();
        let jobs = std::iter::from_fn(|| service_order.next_job()).take(MAX_REPORTED_JOBS);
        let reported = jobs.map(|(_, Place { job, .. })| {
            let waiting = self.mirror.waiting(shard_id, job);
            let since = queues.since(job).unwrap_or(now);
            let waited_s = (now - since) / 1000.0;
            (job, waiting.map_or(0, |set| set.len()), waited_s as f32)
        });
        reported.collect()
    }

    /// Returns the capacity that each team uses and waits for, limited to the total capacity of the
    /// shard's machines, but never less than the team uses. A shard cannot use more of a team's
    /// limit than its machines have; the rest of the limit is of use to other shards.
    fn wants(
        &self,
        waiting: &[(u64, u32, f32)],
        used: &[Resources],
        machines: &[&Machine],
    ) -> Vec<Resources> {
        let mut wants = used.to_vec();
        for &(job, tasks, _) in waiting {
            if let Some((team, needs)) = self.mirror.task_resources(job)
                && let Some(wanted) = wants.get_mut(team as usize)
            {
                let tasks = f64::from(tasks);
                wanted.cores += needs.cores * tasks;
                wanted.accelerators += needs.accelerators * tasks;
            }
        }
        let mut total = Resources::default();
        for machine in machines {
            total.add(&self.total_capacity(machine).unwrap_or_default());
        }
        for (wanted, used) in wants.iter_mut().zip(used) {
            wanted.cores = wanted.cores.min(total.cores).max(used.cores);
            wanted.accelerators = wanted
                .accelerators
                .min(total.accelerators)
                .max(used.accelerators);
        }
        wants
    }

    /// Returns a machine's free capacity in the form of the report. Adds its pool and images to the
    /// report's lists and refers to them by index.
    fn machine_capacity(
        &self,
        machine: &Machine,
        pools: &mut Vec<MachinePool>,
        images: &mut Names,
    ) -> Option<MachineCapacity> {
        let free = self.free_on(machine, None)?;
        let pool = index_of_pool(machine.pool.as_ref()?, pools)?;
        let held = machine.images.iter().filter(|image| image.is_complete);
        Some(MachineCapacity {
            pool,
            free: as_reported(&free),
            free_if_preempted: self.free_if_preempted(machine, free),
            images: held
                .filter_map(|image| images.intern(&image.name).try_into().ok())
                .collect(),
        })
    }
}

/// Returns the index of a pool in a report, to whose pools it is added if it is missing; `None` if
/// the report cannot number any more pools.
pub(crate) fn index_of_pool(pool: &MachinePool, pools: &mut Vec<MachinePool>) -> Option<u16> {
    let known = pools.iter().position(|known| known == pool);
    let index = known.unwrap_or_else(|| {
        pools.push(pool.clone());
        pools.len() - 1
    });
    index.try_into().ok()
}

/// Converts an amount to the report's cores, accelerators and RAM.
pub(crate) fn as_reported(needs: &Resources) -> (f32, f32, f32) {
    (
        needs.cores as f32,
        needs.accelerators as f32,
        needs.ram_gb as f32,
    )
}
