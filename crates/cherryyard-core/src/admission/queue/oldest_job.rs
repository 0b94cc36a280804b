//! Aging: of a flow's jobs that are not quarantined and have no started task, the oldest comes
//! first in its flow once it is old enough, so that jobs with less work that keep arriving cannot
//! starve it.

use super::place::AgeKey;
use std::collections::BTreeSet;

/// Jobs of one flow by age, and the one that comes first because of its age.
#[derive(Clone, Debug, Default)]
pub(super) struct OldestJob {
    /// Waiting jobs, oldest first, without those for which `update` found `has_begun` to hold.
    jobs_by_age: BTreeSet<AgeKey>,
    /// The job that comes first.
    first: Option<u64>,
}

impl OldestJob {
    pub(super) fn insert(&mut self, age_key: AgeKey) {
        self.jobs_by_age.insert(age_key);
    }

    pub(super) fn remove(&mut self, (at, job): AgeKey) {
        self.jobs_by_age.remove(&(at, job));
        self.first.take_if(|first| *first == job);
    }

    /// Returns the job that comes first because of its age.
    pub(super) fn first(&self) -> Option<u64> {
        self.first
    }

    /// Returns whether `job` is the one that comes first.
    pub(super) fn is_first(&self, job: u64) -> bool {
        self.first == Some(job)
    }

    /// Finds the oldest job for which `has_begun` is false, if `is_old` holds for the time
    /// since which it has been ready to run. `has_begun` holds for jobs with an assigned or
    /// completed task and for quarantined jobs, which are passed over. If this changes the first
    /// job, adds the former and the new one to `changed`.
    pub(super) fn update(
        &mut self,
        is_old: impl Fn(u64) -> bool,
        has_begun: impl Fn(u64) -> bool,
        changed: &mut Vec<u64>,
    ) {
        let next = self.oldest_not_begun(is_old, has_begun);
        if next != self.first {
            changed.extend(self.first.take().into_iter().chain(next));
            self.first = next;
        }
    }

    fn oldest_not_begun(
        &mut self,
        is_old: impl Fn(u64) -> bool,
        has_begun: impl Fn(u64) -> bool,
    ) -> Option<u64> {
        while let Some(&(at, job)) = self.jobs_by_age.first() {
            if !is_old(at) {
                return None;
            }
            if !has_begun(job) {
                return Some(job);
            }
            self.jobs_by_age.remove(&(at, job));
        }
        None
    }
}
