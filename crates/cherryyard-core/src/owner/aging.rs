//! Aging: the oldest job of each flow that has not started goes first, and if no machine has
//! capacity for it, one machine is kept for it.
//!
//! Within a flow the job with the least work goes first, so a steady supply of small jobs would
//! keep a large one from ever starting. All controllers see which jobs have started, so they agree
//! on the oldest without exchanging messages. Only the first task of that job is placed first;
//! after that the next job becomes the oldest one. A task belongs to one shard, so at most
//! one owner keeps a machine for it.

use super::state::KeptMachine;
use super::zone_caps::ZoneCounts;
use crate::Millis;
use crate::admission::flows::Flow;
use crate::controller::Controller;
use crate::machine::{Machine, Task};
use crate::mirror::OpenJob;
use cherryyard_wire::job::Shape;

/// Number of a shard's machines for each one that may be kept; at least one machine may be kept in
/// any shard.
const MACHINES_PER_KEPT: usize = 10;

impl Controller {
    /// Returns whether any task of a job has been assigned or completed in any shard.
    pub(super) fn has_started(&self, job: u64) -> bool {
        self.mirror.assigned(job) + self.mirror.done(job) > 0
    }

    /// Moves the oldest job of each flow that has not started, if it has waited long enough, to the
    /// front of its flow, and requeues the jobs whose place has changed.
    pub(super) fn prioritize_oldest_jobs(&mut self, shard_id: usize, now: Millis) {
        let wall = now + self.wall_offset;
        let min_wait_ms = self.config.tuning.admission.aging_s * 1000.0;
        let mut queues = std::mem::take(&mut self.shards[shard_id].queues);
        // A quarantined job is passed over: it fails wherever it runs, so at the front it would
        // keep every other job from going first.
        let is_passed_over = |job: u64| {
            let failures = self.shards[shard_id].job_failures.get(&job);
            self.has_started(job) || failures.is_some_and(|failures| failures.is_quarantined())
        };
        let changed =
            queues.prioritize_oldest_jobs(|at| wall - at as f64 >= min_wait_ms, is_passed_over);
        self.shards[shard_id].queues = queues;
        for job in changed {
            self.requeue(shard_id, job, now);
        }
        self.drop_kept_machines(shard_id, now);
    }

    /// Drops kept machines that are unusable, and those whose task no longer waits or no longer
    /// belongs to the first job of its flow.
    fn drop_kept_machines(&mut self, shard_id: usize, now: Millis) {
        let max_silence_ms = self.config.lease_ms;
        let (mirror, machines) = (&self.mirror, &self.machines);
        let shard = &mut self.shards[shard_id];
        let queues = &shard.queues;
        shard.kept_machines.retain(|&flow, kept| {
            let (job, number) = kept.task;
            let machine = machines.get(&kept.host);
            let waiting = mirror.waiting(shard_id, job);
            queues.oldest_job(flow) == Some(job)
                && machine.is_some_and(|m| m.is_usable(now, max_silence_ms))
                && waiting.is_some_and(|waiting| waiting.contains(number))
        });
    }

    /// Returns whether a machine is kept for another job that is at least as important.
    pub(super) fn is_kept_for_other(&self, shard_id: usize, host: u32, open: &OpenJob) -> bool {
        let kept_machines = self.shards[shard_id].kept_machines.values();
        let mut kept_here = kept_machines.filter(|kept| kept.host == host);
        kept_here.any(|kept| {
            let other = self.mirror.open.get(&kept.task.0);
            other.is_some_and(|other| other.spec.id != open.spec.id && other.rank() >= open.rank())
        })
    }

    /// Keeps a machine for the first task of a flow's oldest job. Called when no machine has
    /// capacity for the task now: of the machines that would have the capacity once their arrays
    /// are done, the one with the most free cores is kept. Each flow keeps one machine at most, and
    /// all flows of the shard together a tenth of its machines.
    pub(super) fn keep_machine(
        &mut self,
        shard_id: usize,
        flow: Flow,
        task: Task,
        zones: &ZoneCounts,
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
        let usable = |m: &&Machine| m.shard == shard_id && m.is_usable(now, silence);
        let machines = self.machines.values().filter(usable);
        if kept_machines.len() >= (machines.clone().count() / MACHINES_PER_KEPT).max(1) {
            return;
        }
        let best = machines
            .filter(|m| self.may_be_kept(shard_id, m, open, zones))
            .filter_map(|m| Some((self.free_cores_if_fits_after_arrays(m, open)?, m.host)))
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

    /// Returns whether a machine may run a job and is neither reserved nor kept for another.
    fn may_be_kept(
        &self,
        shard_id: usize,
        machine: &Machine,
        open: &OpenJob,
        zones: &ZoneCounts,
    ) -> bool {
        let shard = &self.shards[shard_id];
        let mut kept_machines = shard.kept_machines.values();
        self.may_take_one_more(shard_id, open, machine, zones)
            && !shard.reserved.contains_key(&machine.host)
            && kept_machines.all(|kept| kept.host != machine.host)
    }

    /// Returns the cores that are free on a machine now, or `None` if the machine would be too
    /// small for a task of the job even once its arrays are done.
    fn free_cores_if_fits_after_arrays(&self, machine: &Machine, open: &OpenJob) -> Option<f64> {
        let mut free = self.free_on(machine, None)?;
        let free_cores = free.cores;
        for ((job, _), _) in self.mirror.assignments_on(machine.host) {
            if let Some(other) = self.mirror.open.get(&job)
                && other.spec.shape == Shape::Array
            {
                free.add(&other.needs());
            }
        }
        open.needs().fits(&free).then_some(free_cores)
    }
}
