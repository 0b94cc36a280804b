//! Late jobs of a flow: those that cannot meet any multiple of their deadlines.
//!
//! Late jobs are sorted after all jobs that can still be in time, and would starve while such
//! jobs keep arriving. A share of the cores that the flow starts is therefore credited to its
//! late jobs; the oldest one comes first as soon as the credit covers its cores.

use super::place::AgeKey;
use std::collections::BTreeSet;

/// Share of the cores started for a flow that is credited to its late jobs.
pub const LATE_SHARE: f64 = 0.1;
/// Number of cores by which the credit may fall short of a job's cores, as sums of floating-point
/// numbers are not exact.
const ROUNDING: f64 = 1e-6;

/// Late jobs of one flow.
#[derive(Clone, Debug, Default)]
pub(super) struct LateJobs {
    /// Late jobs that are not due yet, oldest first.
    jobs_by_age: BTreeSet<AgeKey>,
    /// Late jobs that have become due; they stay due until they do not wait in this shard any more.
    due: BTreeSet<u64>,
    /// Cores credited to the late jobs and not used yet.
    credit: f64,
}

impl LateJobs {
    pub(super) fn insert(&mut self, (at, job): AgeKey) {
        if !self.due.contains(&job) {
            self.jobs_by_age.insert((at, job));
        }
    }

    pub(super) fn remove(&mut self, (at, job): AgeKey) {
        self.jobs_by_age.remove(&(at, job));
        self.due.remove(&job);
    }

    /// Returns whether a job is due: sorted before the jobs that can still be in time.
    pub(super) fn is_due(&self, job: u64) -> bool {
        self.due.contains(&job)
    }

    /// Credits the late jobs with their share of the `cores` started for the flow.
    pub(super) fn credit_started_cores(&mut self, cores: f64) {
        if !self.jobs_by_age.is_empty() {
            self.credit += cores * LATE_SHARE;
        }
    }

    /// Adds to `newly_due` the late jobs that the credit covers, oldest first, and marks them as
    /// due. `cores` returns the number of cores that a job takes.
    pub(super) fn take_due(&mut self, cores: impl Fn(u64) -> f64, newly_due: &mut Vec<u64>) {
        while let Some(&(at, job)) = self.jobs_by_age.first() {
            let cost = cores(job);
            if self.credit + ROUNDING < cost {
                // The saved credit is limited to the cores of one job.
                self.credit = self.credit.min(cost);
                break;
            }
            self.credit -= cost;
            self.jobs_by_age.remove(&(at, job));
            self.due.insert(job);
            newly_due.push(job);
        }
    }
}
