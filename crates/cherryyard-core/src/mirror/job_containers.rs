//! Records that each contain many jobs (buckets, and pages of the admission log), with an index by
//! job.

use std::collections::{BTreeMap, BTreeSet, HashMap};

/// Record that contains many jobs.
pub(super) trait JobContainer: Default {
    /// Returns the numbers of the jobs in the record.
    fn jobs(&self) -> &BTreeSet<u64>;
}

/// Records that contain many jobs, by number, and the number of the record that lists each job.
#[derive(Clone, Debug, Default)]
pub(super) struct JobContainers<C> {
    by_number: BTreeMap<u64, C>,
    number_by_job: HashMap<u64, u64>,
}

impl<C: JobContainer> JobContainers<C> {
    /// Returns all records, in the order of their numbers.
    pub fn all(&self) -> &BTreeMap<u64, C> {
        &self.by_number
    }

    /// Returns a record by its number.
    pub fn get(&self, number: u64) -> Option<&C> {
        self.by_number.get(&number)
    }

    /// Returns the number of the record that lists a job.
    pub fn number_of(&self, job: u64) -> Option<u64> {
        self.number_by_job.get(&job).copied()
    }

    /// Assigns a job to a record. Called for each job of a new version of the record, before
    /// `replace`.
    pub fn assign(&mut self, job: u64, number: u64) {
        self.number_by_job.insert(job, number);
    }

    /// Inserts a record, or replaces its earlier version; returns the jobs that no record lists any
    /// more.
    pub fn replace(&mut self, number: u64, new: C) -> Vec<u64> {
        let old = self.by_number.insert(number, new).unwrap_or_default();
        self.unlist(number, &old)
    }

    /// Removes a record; returns the jobs that no record lists any more.
    pub fn remove(&mut self, number: u64) -> Vec<u64> {
        let old = self.by_number.remove(&number).unwrap_or_default();
        self.unlist(number, &old)
    }

    /// Removes from the index by job the jobs of a record's old version that the record no longer
    /// lists and that have not been assigned to another record; returns them.
    fn unlist(&mut self, number: u64, old: &C) -> Vec<u64> {
        let listed = self.by_number.get(&number).map(C::jobs);
        let mut unlisted = Vec::new();
        for &job in old.jobs() {
            let is_listed = listed.is_some_and(|jobs| jobs.contains(&job));
            if !is_listed && self.number_by_job.get(&job) == Some(&number) {
                self.number_by_job.remove(&job);
                unlisted.push(job);
            }
        }
        unlisted
    }
}
