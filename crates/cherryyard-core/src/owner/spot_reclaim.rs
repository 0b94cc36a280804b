//! Spot reclaims: machines that the cloud takes back, and the handling of their tasks.

use super::release::{MAX_RELEASED, ReleaseReason};
use crate::Millis;
use crate::controller::Controller;
use crate::machine::{Machine, MachineState, Task};
use crate::mirror::OpenJob;
use crate::needs::Resources;
use cherryyard_wire::job::Shape;

/// Minimum number of a job's completed tasks for their run time to be used.
const MIN_COMPLETED_RUNS: u32 = 3;
/// Lower bound for the expected run time, as a share of the estimate: the tasks that complete first
/// are short, so their average may be too low.
const MIN_SHARE_OF_ESTIMATE: f64 = 0.5;
/// Lower bound for the remaining run time, as a share of the time that a task has run: a task that
/// is close to or beyond its expected run time is not assumed to complete at once.
const MIN_SHARE_LEFT: f64 = 0.2;

impl Controller {
    /// Returns the expected run time of a job's tasks: the average of the completed ones, but at
    /// least half of the job's estimate (the tasks that complete first are short); the estimate
    /// while too few have completed.
    fn expected_run_ms(&self, shard_id: usize, job: u64, open: &OpenJob) -> Millis {
        let estimate = open.spec.expected_s * 1000.0;
        match self.shards[shard_id].completed_runs.get(&job) {
            Some(&(runs, sum)) if runs >= MIN_COMPLETED_RUNS => {
                (sum / f64::from(runs)).max(estimate * MIN_SHARE_OF_ESTIMATE)
            }
            _ => estimate,
        }
    }

    /// Returns whether a task on a machine that is being reclaimed cannot complete there and can
    /// start again elsewhere at once. Otherwise the task would be lost with the machine and wait
    /// until the loss is proven, which is the longest delay of all when nothing else goes wrong.
    pub(crate) fn should_restart_elsewhere(
        &self,
        machine: &Machine,
        task: Task,
        attempt: u64,
        open: &OpenJob,
        now: Millis,
    ) -> bool {
        let Some(reclaim_at) = machine.reclaim_at else {
            return false;
        };
        if open.spec.shape != Shape::Array
            || open.spec.snapshot_every_s > 0.0
            || !self.mirror.tasks.waiting[machine.shard].is_empty()
        {
            return false;
        }
        let ran = machine.ran_ms(task, attempt, now).unwrap_or(0.0);
        // The expected run time is an estimate, so a task close to or beyond it may still run on.
        // Without the lower bound, the difference would be near zero or negative, and the task
        // would count as completing before the reclaim.
        let expected = self.expected_run_ms(machine.shard, task.0, open);
        let left = (expected - ran).max(ran * MIN_SHARE_LEFT);
        left > reclaim_at - now && self.has_capacity_for_tasks_of(machine, open, now)
    }

    /// Returns whether the shard's other machines have capacity for as many tasks of a job as there
    /// are tasks on `machine`.
    fn has_capacity_for_tasks_of(&self, machine: &Machine, open: &OpenJob, now: Millis) -> bool {
        let tasks = self.mirror.assignments_on(machine.host).count() as u32;
        let mut capacity = 0;
        for other in self.machines.values() {
            if other.shard == machine.shard
                && let Some(free) = self.unreserved_capacity(other, open, now)
            {
                capacity += open.needs().times_in(&free);
                if capacity >= tasks {
                    return true;
                }
            }
        }
        false
    }

    /// Returns the free capacity of a machine, or `None` if it may not run the job or is reserved.
    fn unreserved_capacity(
        &self,
        machine: &Machine,
        open: &OpenJob,
        now: Millis,
    ) -> Option<Resources> {
        let reserved = &self.shards[machine.shard].reserved;
        if !machine.is_usable(now, self.silence_ms())
            || !self.allowed(open, machine)
            || reserved.contains_key(&machine.host)
        {
            return None;
        }
        self.free_on(machine, None)
    }

    /// Releases silent machines whose announced reclaim time has passed. The answer proves the loss
    /// of their tasks three quarters of a lease before the lease ends.
    pub(crate) fn release_reclaimed(&mut self, shard_id: usize, now: Millis) {
        let silence = self.silence_ms();
        let taken: Vec<u32> = self
            .machines
            .values()
            .filter(|m| {
                m.shard == shard_id
                    && matches!(m.state, MachineState::Ready | MachineState::Expired)
                    && now >= m.release_after
                    && m.is_past_reclaim(now, silence)
            })
            .map(|m| m.host)
            .take(MAX_RELEASED)
            .collect();
        self.release_hosts(taken, shard_id, ReleaseReason::Reclaimed, now);
    }
}
