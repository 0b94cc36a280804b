//! Which job stands in which record of many jobs: a bucket, or a page of the admission log.

use std::collections::{BTreeMap, BTreeSet, HashMap};

/// A record of many jobs.
pub(super) trait JobContainer: Default {
    /// Its jobs.
    fn jobs(&self) -> &BTreeSet<u64>;
}

/// Records of many jobs by number, and the record that names each job.
#[derive(Clone, Debug, Default)]
pub(super) struct JobContainers<C> {
    by_number: BTreeMap<u64, C>,
    number_by_job: HashMap<u64, u64>,
}

impl<C: JobContainer> JobContainers<C> {
    /// All records, in order of their numbers.
    pub fn all(&self) -> &BTreeMap<u64, C> {
        &self.by_number
    }

    /// A record.
    pub fn get(&self, number: u64) -> Option<&C> {
        self.by_number.get(&number)
    }

    /// The number of the record that names a job.
    pub fn number_of(&self, job: u64) -> Option<u64> {
        self.number_by_job.get(&job).copied()
    }

    /// Notes that a job is named by a record, which is about to be replaced.
    pub fn assign(&mut self, job: u64, number: u64) {
        self.number_by_job.insert(job, number);
    }

    /// Puts a record into the place of an earlier version; gives back the jobs that no
    /// record names any more.
    pub fn replace(&mut self, number: u64, new: C) -> Vec<u64> {
        let old = self.by_number.insert(number, new).unwrap_or_default();
        self.unlist(number, &old)
    }

    /// Removes a record; gives back the jobs that no record names any more.
    pub fn remove(&mut self, number: u64) -> Vec<u64> {
        let old = self.by_number.remove(&number).unwrap_or_default();
        self.unlist(number, &old)
    }

    /// Of a record's jobs before, takes out those that it does not name any more and that
    /// have not gone to another.
    fn unlist(&mut self, number: u64, before: &C) -> Vec<u64> {
        let named = self.by_number.get(&number).map(C::jobs);
        let mut gone = Vec::new();
        for &job in before.jobs() {
            let is_named = named.is_some_and(|jobs| jobs.contains(&job));
            if !is_named && self.number_by_job.get(&job) == Some(&number) {
                self.number_by_job.remove(&job);
                gone.push(job);
            }
        }
        gone
    }
}
