//! Sort keys of waiting jobs: the place in the order of service, and the age.

use cherryyard_wire::job::Rank;
use std::cmp::{Ordering, Reverse};

/// Sort key by age: wall-clock time in milliseconds at which the job became ready to run, and job
/// number; the oldest job comes first.
pub(super) type AgeKey = (u64, u64);

/// Place of a job in the order of service: the fields are compared in their order.
#[derive(Clone, Copy, Debug)]
pub struct Place {
    /// Rank of the job; the highest rank comes first.
    pub rank: Rank,
    /// Whether the job is an array; services come before arrays.
    pub is_array: bool,
    /// Index of the first multiple of its deadline that the job can still meet; jobs that can meet
    /// an earlier one come first.
    pub deadline_multiple: usize,
    /// Remaining work of the job in core-seconds; the least work comes first.
    pub work: f64,
    /// Wall-clock time of the job's deadline in milliseconds.
    pub due: f64,
    /// Wall-clock time in milliseconds at which the job became ready to run: at its submission, or
    /// when the last job that it depends on was done.
    pub ready_at: u64,
    /// Number of the job.
    pub job: u64,
}

impl Ord for Place {
    fn cmp(&self, other: &Self) -> Ordering {
        let key = |place: &Self| (Reverse(place.rank), place.is_array, place.deadline_multiple);
        key(self)
            .cmp(&key(other))
            .then(self.work.total_cmp(&other.work))
            .then(self.due.total_cmp(&other.due))
            .then(self.ready_at.cmp(&other.ready_at))
            .then(self.job.cmp(&other.job))
    }
}

impl PartialOrd for Place {
    fn partial_cmp(&self, other: &Self) -> Option<Ordering> {
        Some(self.cmp(other))
    }
}

impl PartialEq for Place {
    fn eq(&self, other: &Self) -> bool {
        self.cmp(other) == Ordering::Equal
    }
}

impl Eq for Place {}
