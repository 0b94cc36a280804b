//! A flow's jobs that cannot make any multiple of their deadlines. They come after all
//! that can, so while those keep coming they would wait for ever: the oldest one goes
//! before them whenever enough has been started of the flow to pay for it.

use super::place::ByAge;
use std::collections::BTreeSet;

/// Part of what a flow starts that is kept for its jobs that are late anyway.
pub const LATE_SHARE: f64 = 0.1;
/// Cores that a job may lack: sums of parts are not exact.
const ROUNDING: f64 = 1e-6;

/// A flow's late jobs.
#[derive(Clone, Debug, Default)]
pub(super) struct LateJobs {
    by_age: BTreeSet<ByAge>,
    /// Those that have become due: they stay so until they are done here.
    due: BTreeSet<u64>,
    /// Cores that are due to them.
    credit: f64,
}

impl LateJobs {
    pub(super) fn insert(&mut self, (at, job): ByAge) {
        if !self.due.contains(&job) {
            self.by_age.insert((at, job));
        }
    }

    pub(super) fn remove(&mut self, (at, job): ByAge) {
        self.by_age.remove(&(at, job));
        self.due.remove(&job);
    }

    /// Whether a late job goes before those that are in time.
    pub(super) fn is_due(&self, job: u64) -> bool {
        self.due.contains(&job)
    }

    /// So many cores of the flow have been started.
    pub(super) fn started(&mut self, cores: f64) {
        if !self.by_age.is_empty() {
            self.credit += cores * LATE_SHARE;
        }
    }

    /// Adds the jobs that have become due to `all`, given what each takes.
    pub(super) fn take_due(&mut self, cores: impl Fn(u64) -> f64, all: &mut Vec<u64>) {
        while let Some(&(at, job)) = self.by_age.first() {
            let cost = cores(job);
            if self.credit + ROUNDING < cost {
                // What is saved up is worth one job.
                self.credit = self.credit.min(cost);
                break;
            }
            self.credit -= cost;
            self.by_age.remove(&(at, job));
            self.due.insert(job);
            all.push(job);
        }
    }
}
