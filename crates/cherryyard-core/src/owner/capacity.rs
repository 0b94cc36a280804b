//! Free capacity of a shard's machines, and the capacity report that the leader gets.

use super::cycle::Cycle;
use crate::Millis;
use crate::admission::queue::Place;
use crate::controller::Controller;
use crate::machine::{Machine, Task};
use crate::names::Names;
use crate::needs::Needs;
use cherryyard_wire::peer::{CapacityReport, MachineCapacity, MachinePool};
use cherryyard_wire::record::Key;

/// Waiting jobs that the leader is told of, in the order of service.
const MAX_REPORTED_JOBS: usize = 500;
/// Intervals between heartbeats, and what one may take to arrive, after which a machine is
/// silent.
const SILENT_HEARTBEATS: f64 = 1.25;
const SILENT_MS: f64 = 700.0;

impl Controller {
    /// Silence after which a machine gets nothing new.
    pub(crate) fn silence_ms(&self) -> f64 {
        self.config.report_ms * SILENT_HEARTBEATS + SILENT_MS
    }

    /// A machine's whole size, by its type.
    pub(crate) fn whole(&self, machine: &Machine) -> Option<Needs> {
        let machine_type = machine.type_in(&self.mirror.catalog.machine_types)?;
        Some(Needs {
            cores: machine_type.cores,
            acc: machine_type.accelerators,
            ram: machine_type.ram_gb,
        })
    }

    /// What is left on a machine, after assignments (as the scheduling cycle leaves them) and
    /// tasks without one.
    pub(crate) fn free_on(&self, machine: &Machine, cycle: Option<&Cycle>) -> Option<Needs> {
        let mut free = self.whole(machine)?;
        let is_gone = |task: &Task| cycle.is_some_and(|cycle| cycle.gone.contains(task));
        for (task, _) in self.mirror.on_host(machine.host) {
            if !is_gone(&task) {
                free.take(&self.mirror.uses(task.0)?.1);
            }
        }
        for (task, reported) in &machine.reported {
            let is_assigned = || self.mirror.assignment_on(machine.host, *task).is_some();
            if !reported.ended() && (is_gone(task) || !is_assigned()) {
                // Not ours, or not any more: it takes room until it is gone.
                free.take(&self.mirror.uses(task.0)?.1);
            }
        }
        let put = cycle.and_then(|cycle| cycle.put.get(&machine.host));
        for task in put.into_iter().flatten() {
            let reported = machine.reported.get(task);
            if reported.is_none_or(|reported| reported.ended()) {
                free.take(&self.mirror.uses(task.0)?.1);
            }
        }
        Some(free)
    }

    /// Free capacity (cores, accelerators, RAM) if arrays of ordinary rank or below made way.
    fn free_if_preempted(&self, machine: &Machine, mut free: Needs) -> (f32, f32, f32) {
        for ((job, _), _) in self.mirror.on_host(machine.host) {
            let open = self.mirror.open.get(&job);
            if let Some(open) = open.filter(|open| open.makes_way()) {
                free.give(&open.needs());
            }
        }
        as_reported(&free)
    }

    /// Free capacity and waiting tasks, for the leader.
    pub(crate) fn capacity_report(&self, shard_id: usize, now: Millis) -> CapacityReport {
        let silence = self.silence_ms();
        let usable = |m: &&Machine| m.shard == shard_id && m.usable(now, silence);
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
            wants: teams
                .map(|(team, wanted)| {
                    let name = self.config.team_names.name(team as u32);
                    (name.to_string(), wanted.cores, wanted.acc)
                })
                .collect(),
        }
    }

    /// Jobs that wait in a shard, in the order of service: how many of their tasks, and for
    /// how many seconds.
    fn reported_jobs(&self, shard_id: usize, now: Millis) -> Vec<(u64, u32, f32)> {
        let queues = &self.shards[shard_id].queues;
        let mut service_order = queues.service_order();
        let jobs = std::iter::from_fn(|| service_order.step()).take(MAX_REPORTED_JOBS);
        let reported = jobs.map(|(_, Place { job, .. })| {
            let waiting = self.mirror.waiting(shard_id, job);
            let since = queues.since(job).unwrap_or(now);
            let waited_s = (now - since) / 1000.0;
            (job, waiting.map_or(0, |set| set.len()), waited_s as f32)
        });
        reported.collect()
    }

    /// What each team uses and waits for. A shard cannot use more of a limit than its
    /// machines have; what it holds beyond that is another shard's to use.
    fn wants(
        &self,
        waiting: &[(u64, u32, f32)],
        used: &[Needs],
        machines: &[&Machine],
    ) -> Vec<Needs> {
        let mut wants = used.to_vec();
        for &(job, tasks, _) in waiting {
            if let Some((team, needs)) = self.mirror.uses(job)
                && let Some(wanted) = wants.get_mut(team as usize)
            {
                let tasks = f64::from(tasks);
                wanted.cores += needs.cores * tasks;
                wanted.acc += needs.acc * tasks;
            }
        }
        let mut whole = Needs::default();
        for machine in machines {
            whole.give(&self.whole(machine).unwrap_or_default());
        }
        for (wanted, used) in wants.iter_mut().zip(used) {
            wanted.cores = wanted.cores.min(whole.cores).max(used.cores);
            wanted.acc = wanted.acc.min(whole.acc).max(used.acc);
        }
        wants
    }

    /// A machine's free capacity as it is reported, with its pool's and images' indices.
    fn machine_capacity(
        &self,
        machine: &Machine,
        pools: &mut Vec<MachinePool>,
        images: &mut Names,
    ) -> Option<MachineCapacity> {
        let free = self.free_on(machine, None)?;
        let pool = index_of_pool(machine, pools);
        let held = machine.images.iter().filter(|image| image.whole);
        Some(MachineCapacity {
            pool: pool.try_into().ok()?,
            free: as_reported(&free),
            yielding: self.free_if_preempted(machine, free),
            images: held
                .filter_map(|image| images.intern(&image.name).try_into().ok())
                .collect(),
        })
    }
}

/// The index of a machine's pool, which is added if it is new.
fn index_of_pool(machine: &Machine, pools: &mut Vec<MachinePool>) -> usize {
    let known = pools.iter().position(|pool| {
        pool.machine_type == machine.machine_type
            && pool.zone == machine.zone
            && pool.spot == machine.spot
    });
    known.unwrap_or_else(|| {
        pools.push(MachinePool {
            machine_type: machine.machine_type.clone(),
            zone: machine.zone.clone(),
            spot: machine.spot,
        });
        pools.len() - 1
    })
}

/// Cores, accelerators and RAM, as they are reported.
fn as_reported(needs: &Needs) -> (f32, f32, f32) {
    (needs.cores as f32, needs.acc as f32, needs.ram as f32)
}
