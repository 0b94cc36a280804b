//! Durable ends of tasks: failures are attributed to machines and jobs.

use super::failure_attribution::{JobFailures, Verdict};
use crate::Millis;
use crate::controller::Controller;
use rand::RngExt;

impl Controller {
    /// Records that a task of a job has completed on a machine, which clears both of earlier
    /// failures.
    pub(crate) fn record_completion(&mut self, shard_id: usize, job: u64, host: u32) {
        let failures = self.shards[shard_id].job_failures.remove(&job);
        if failures.is_some_and(|failures| failures.is_quarantined()) {
            tracing::info!(job, shard = shard_id, "job left quarantine");
        }
        if let Some(machine) = self.machines.get_mut(&host) {
            machine.failures = 0;
            machine.unattributed_jobs.clear();
        }
    }

    /// Records that a task of a job has failed on a machine, and attributes the failure.
    pub(crate) fn attribute_failure(&mut self, shard_id: usize, job: u64, host: u32, now: Millis) {
        let proven = self.mirror.done(job) > 0;
        let jitter = self.rng.random_range(0.0..1.0);
        let job_failures = &mut self.shards[shard_id].job_failures;
        let failures = job_failures
            .entry(job)
            .or_insert_with(|| JobFailures::new(now));
        let verdict = if proven && !failures.is_quarantined() {
            // Other tasks of the job have completed, so the failure counts against the machine.
            failures.hosts.insert(host);
            failures.last_failed_at = now;
            Verdict::Machine
        } else {
            failures.record(host, jitter, now)
        };
        match verdict {
            Verdict::Machine => {
                if let Some(machine) = self.machines.get_mut(&host) {
                    machine.record_failure(job, proven, now);
                }
            }
            Verdict::JobEstablished => {
                let hosts = std::mem::take(&mut failures.hosts);
                tracing::info!(job, shard = shard_id, "job quarantined");
                for host in hosts {
                    if let Some(machine) = self.machines.get_mut(&host) {
                        machine.withdraw_failures_of(job, now);
                    }
                }
            }
            Verdict::Job => {}
        }
    }

    /// Forgets the failures of ended jobs, and failures that are long past.
    pub(crate) fn forget_job_failures(&mut self, shard_id: usize, now: Millis) {
        let open = &self.mirror.open;
        self.shards[shard_id]
            .job_failures
            .retain(|job, failures| open.contains_key(job) && !failures.is_forgotten(now));
    }
}
