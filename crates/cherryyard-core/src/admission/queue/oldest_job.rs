//! Aging: a flow's oldest job that has not begun goes first once it is old enough.

use super::place::ByAge;
use std::collections::BTreeSet;

/// A flow's jobs by age, and the one that goes first for it.
#[derive(Clone, Debug, Default)]
pub(super) struct OldestJob {
    /// What waits, as far as it may not have begun.
    by_age: BTreeSet<ByAge>,
    first: Option<u64>,
}

impl OldestJob {
    pub(super) fn insert(&mut self, by_age: ByAge) {
        self.by_age.insert(by_age);
    }

    pub(super) fn remove(&mut self, (at, job): ByAge) {
        self.by_age.remove(&(at, job));
        self.first.take_if(|first| *first == job);
    }

    /// The job that goes first.
    pub(super) fn first(&self) -> Option<u64> {
        self.first
    }

    /// Whether it is this one that goes first.
    pub(super) fn goes_first(&self, job: u64) -> bool {
        self.first == Some(job)
    }

    /// Finds the oldest job that has not `begun`, if it is `old` enough; adds to `changed`
    /// which one ceases and which one begins to go first.
    pub(super) fn update(
        &mut self,
        old: impl Fn(u64) -> bool,
        begun: impl Fn(u64) -> bool,
        changed: &mut Vec<u64>,
    ) {
        let next = self.oldest_not_begun(old, begun);
        if next != self.first {
            changed.extend(self.first.take().into_iter().chain(next));
            self.first = next;
        }
    }

    fn oldest_not_begun(
        &mut self,
        old: impl Fn(u64) -> bool,
        begun: impl Fn(u64) -> bool,
    ) -> Option<u64> {
        while let Some(&(at, job)) = self.by_age.first() {
            if !old(at) {
                return None;
            }
            if !begun(job) {
                return Some(job);
            }
            self.by_age.remove(&(at, job));
        }
        None
    }
}
