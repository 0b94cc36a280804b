//! Aging: the oldest job of each flow that has not begun goes first, and where no machine has
//! room for it one is kept.
//!
//! Within a flow the least work goes first, so while small jobs keep coming a large one
//! would never begin. All controllers see which jobs have begun, so they agree without a
//! message on which is the oldest; only its first task goes ahead of the others, and then it
//! is the next one's turn. A task belongs to one shard, so one owner at the most keeps a
//! machine for it.

use super::state::KeptMachine;
use crate::Millis;
use crate::admission::flows::Flow;
use crate::controller::Controller;
use crate::machine::{Machine, Task};
use crate::mirror::OpenJob;
use cherryyard_wire::job::Shape;
use std::collections::HashMap;

/// Of so many machines of a shard one may be kept.
const MACHINES_PER_KEPT: usize = 10;

impl Controller {
    /// Whether any task of a job has been started, anywhere.
    pub(super) fn begun(&self, job: u64) -> bool {
        self.mirror.assigned(job) + self.mirror.done(job) > 0
    }

    /// Puts each flow's oldest job that has not begun first.
    pub(super) fn reserve_for_oldest(&mut self, shard_id: usize, now: Millis) {
        let wall = now + self.wall_offset;
        let turn_ms = self.config.tuning.admission.turn_s * 1000.0;
        let mut queues = std::mem::take(&mut self.shards[shard_id].queues);
        // While a job that fails everywhere came first, none other ever would.
        let is_over = |job: u64| {
            let failures = self.shards[shard_id].job_failures.get(&job);
            self.begun(job) || failures.is_some_and(|failures| failures.is_quarantined())
        };
        let changed = queues.reserve_for_oldest(|at| wall - at as f64 >= turn_ms, is_over);
        self.shards[shard_id].queues = queues;
        for job in changed {
            self.requeue(shard_id, job, now);
        }
        self.drop_kept_machines(shard_id, now);
    }

    /// Drops machines that are of no use, or whose task is not the first of its flow any more.
    fn drop_kept_machines(&mut self, shard_id: usize, now: Millis) {
        let lost_ms = self.config.lease_ms;
        let (mirror, machines) = (&self.mirror, &self.machines);
        let shard = &mut self.shards[shard_id];
        let queues = &shard.queues;
        shard.kept_machines.retain(|&flow, kept| {
            let (job, number) = kept.task;
            let machine = machines.get(&kept.host);
            let waiting = mirror.waiting(shard_id, job);
            queues.turn(flow) == Some(job)
                && machine.is_some_and(|m| m.usable(now, lost_ms))
                && waiting.is_some_and(|waiting| waiting.contains(number))
        });
    }

    /// Whether a machine is kept for another job that is at least as important.
    pub(super) fn kept_from(&self, shard_id: usize, host: u32, open: &OpenJob) -> bool {
        let kept_machines = self.shards[shard_id].kept_machines.values();
        let mut kept_here = kept_machines.filter(|kept| kept.host == host);
        kept_here.any(|kept| {
            let other = self.mirror.open.get(&kept.task.0);
            other.is_some_and(|other| other.spec.id != open.spec.id && other.rank() >= open.rank())
        })
    }

    /// Keeps a machine for the first task of a flow's oldest job, if no machine has room for
    /// it but one would have once its arrays are done: the one with the most free. One a
    /// flow, and a tenth of the shard's machines in all.
    pub(super) fn keep_machine(
        &mut self,
        shard_id: usize,
        flow: Flow,
        task: Task,
        zones: &HashMap<String, u32>,
        now: Millis,
    ) {
        let kept_machines = &self.shards[shard_id].kept_machines;
        if kept_machines.contains_key(&flow) {
            return;
        }
        let Some(open) = self.mirror.open.get(&task.0) else {
            return;
        };
        let silence = self.silence_ms();
        let usable = |m: &&Machine| m.shard == shard_id && m.usable(now, silence);
        let machines = self.machines.values().filter(usable);
        if kept_machines.len() >= (machines.clone().count() / MACHINES_PER_KEPT).max(1) {
            return;
        }
        let best = machines
            .filter(|m| self.may_be_kept(shard_id, m, open, zones))
            .filter_map(|m| Some((self.free_cores_if_enough_later(m, open)?, m.host)))
            .max_by(|a, b| a.0.total_cmp(&b.0).then(b.1.cmp(&a.1)));
        if let Some((free, host)) = best {
            let machine = self.mirror.hosts.name(host);
            tracing::info!(
                shard = shard_id,
                job = task.0,
                machine,
                free,
                "machine kept for oldest job"
            );
            let kept = KeptMachine { task, host };
            self.shards[shard_id].kept_machines.insert(flow, kept);
        }
    }

    /// Whether a machine may run a job and is not kept for another.
    fn may_be_kept(
        &self,
        shard_id: usize,
        machine: &Machine,
        open: &OpenJob,
        zones: &HashMap<String, u32>,
    ) -> bool {
        let shard = &self.shards[shard_id];
        let mut kept_machines = shard.kept_machines.values();
        self.allowed(open, machine)
            && !shard.reserved.contains_key(&machine.host)
            && kept_machines.all(|kept| kept.host != machine.host)
            && self.zone_open(shard_id, open, &machine.zone, zones)
    }

    /// Cores free on a machine now, if it has room for a job's task once its arrays are done.
    fn free_cores_if_enough_later(&self, machine: &Machine, open: &OpenJob) -> Option<f64> {
        let mut free = self.free_on(machine, None)?;
        let free_cores = free.cores;
        for ((job, _), _) in self.mirror.on_host(machine.host) {
            if let Some(other) = self.mirror.open.get(&job)
                && other.spec.shape == Shape::Array
            {
                free.give(&other.needs());
            }
        }
        open.needs().fits(&free).then_some(free_cores)
    }
}
