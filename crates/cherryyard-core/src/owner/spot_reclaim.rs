//! Spot reclaims: machines that the cloud takes back, and what to do with their tasks.

use super::release::{MAX_RELEASED, ReleaseReason};
use crate::Millis;
use crate::controller::Controller;
use crate::machine::{Machine, MachineState, Task};
use crate::mirror::OpenJob;
use crate::needs::Needs;
use cherryyard_wire::job::Shape;

/// Least tasks of a job that must have completed for their run time to count.
const KNOWN_RUNS: u32 = 3;
/// Share of the estimate that completed tasks shorten it to at most: those that complete
/// first are short.
const LEAST_SHARE_OF_ESTIMATE: f64 = 0.5;
/// Share of its run time that a task is expected to run on, whatever the estimate.
const LEAST_SHARE_LEFT: f64 = 0.2;

impl Controller {
    /// How long a task of the job takes: as its completed tasks did, or as its
    /// owner estimates, whichever is longer (those that complete first are short).
    fn expected_run_ms(&self, shard_id: usize, job: u64, open: &OpenJob) -> Millis {
        let estimate = open.spec.expected_s * 1000.0;
        match self.shards[shard_id].ran.get(&job) {
            Some(&(runs, sum)) if runs >= KNOWN_RUNS => {
                (sum / f64::from(runs)).max(estimate * LEAST_SHARE_OF_ESTIMATE)
            }
            _ => estimate,
        }
    }

    /// Whether a task on a machine that the cloud takes back cannot complete there and can
    /// start anew elsewhere at once. Left alone, it is lost with the machine, and then
    /// waits until that is proven: the longest of all delays on calm days.
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
        // Almost there by the estimate may as well be over at any moment.
        let expected = self.expected_run_ms(machine.shard, task.0, open);
        let left = (expected - ran).max(ran * LEAST_SHARE_LEFT);
        left > reclaim_at - now && self.has_room_for_tasks_of(machine, open, now)
    }

    /// Whether the shard's other machines have room for as many tasks of a job as a machine
    /// has tasks.
    fn has_room_for_tasks_of(&self, machine: &Machine, open: &OpenJob, now: Millis) -> bool {
        let tasks = self.mirror.on_host(machine.host).count() as u32;
        let mut room = 0;
        for other in self.machines.values() {
            if other.shard == machine.shard
                && let Some(free) = self.unreserved_room(other, open, now)
            {
                room += open.needs().times_in(&free);
                if room >= tasks {
                    return true;
                }
            }
        }
        false
    }

    /// What is free on a machine that may run a job and is not reserved.
    fn unreserved_room(&self, machine: &Machine, open: &OpenJob, now: Millis) -> Option<Needs> {
        let reserved = &self.shards[machine.shard].reserved;
        if !machine.usable(now, self.silence_ms())
            || !self.allowed(open, machine)
            || reserved.contains_key(&machine.host)
        {
            return None;
        }
        self.free_on(machine, None)
    }

    /// Machines that the cloud was to take by now, and that have fallen silent, are
    /// released: the answer proves gone what was on them, three quarters of a
    /// lease before it ends.
    pub(crate) fn release_reclaimed(&mut self, shard_id: usize, now: Millis) {
        let silence = self.silence_ms();
        let taken: Vec<u32> = self
            .machines
            .values()
            .filter(|m| {
                m.shard == shard_id
                    && matches!(m.state, MachineState::Ready | MachineState::Expired)
                    && now >= m.release_after
                    && m.is_taken_by_now(now, silence)
            })
            .map(|m| m.host)
            .take(MAX_RELEASED)
            .collect();
        self.release_hosts(taken, shard_id, ReleaseReason::Reclaimed, now);
    }
}
