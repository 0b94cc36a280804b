//! Machines that the cloud takes back: what to do with their tasks.

use super::*;

/// Least tasks of a job that must have completed for their run time to count.
const KNOWN_RUNS: u32 = 3;

impl Controller {
    /// How long a task of the job takes: as its completed tasks did, or as its
    /// owner estimates, whichever is longer (those that complete first are short).
    fn run_ms(&self, shard_id: usize, job: u64, open: &OpenJob) -> Millis {
        let estimate = open.spec.expected_s * 1000.0;
        match self.shards[shard_id].ran.get(&job) {
            Some(&(n, sum)) if n >= KNOWN_RUNS => (sum / f64::from(n)).max(estimate * 0.5),
            _ => estimate,
        }
    }

    /// Whether a task on a recalled machine cannot complete there and can start
    /// anew elsewhere at once. Left alone, it is lost with the machine, and then
    /// waits until that is proven: the longest of all delays on calm days.
    pub(crate) fn doomed(
        &self,
        m: &Machine,
        task: Task,
        attempt: u64,
        open: &OpenJob,
        now: Millis,
    ) -> bool {
        let Some(at) = m.reclaim_at else { return false };
        if open.spec.shape != Shape::Array
            || open.spec.snapshot_every_s > 0.0
            || !self.mirror.tasks.waiting[m.shard].is_empty()
        {
            return false;
        }
        let ran = m.ran_ms(task, attempt, now).unwrap_or(0.0);
        // Almost there by the estimate may as well be over at any moment.
        let left = (self.run_ms(m.shard, task.0, open) - ran).max(ran * 0.2);
        if left <= at - now {
            return false;
        }
        let all = self.mirror.on_host(m.host).count() as u32;
        let silence = self.silence_ms();
        let mut capacity = 0;
        for other in self.machines.values().filter(|o| o.shard == m.shard) {
            if other.usable(now, silence)
                && self.allowed(open, other)
                && !self.shards[m.shard].reserved.contains_key(&other.host)
                && let Some(free) = self.free_on(other, None)
            {
                capacity += open.needs().times_in(&free);
                if capacity >= all {
                    return true;
                }
            }
        }
        false
    }

    /// Recalled machines that have fallen silent when they were to be taken are
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
                    && m.taken(now, silence)
            })
            .map(|m| m.host)
            .take(90)
            .collect();
        if taken.is_empty() {
            return;
        }
        let release: Vec<String> = taken
            .into_iter()
            .map(|host| self.request_release(host, shard_id, now))
            .collect();
        tracing::info!(
            ?release,
            "return machines that the cloud was to take by now"
        );
        self.effects.push(Effect::Release(release));
    }
}
