//! A job's place in the order of service, and by age.

use cherryyard_wire::job::Rank;
use std::cmp::{Ordering, Reverse};

/// When a job was submitted, and its number: the oldest comes first.
pub(super) type ByAge = (u64, u64);

/// A job's place in the order of service.
#[derive(Clone, Copy, Debug)]
pub struct Place {
    /// By rank, the most important first.
    pub rank: Rank,
    /// Services before arrays.
    pub is_array: bool,
    /// Which of its deadline's multiples it can still make.
    pub hope: usize,
    /// What is left of it, in core-seconds.
    pub work: f64,
    /// When it is due, in milliseconds of the day's clock.
    pub due: f64,
    /// When it was submitted.
    pub at: u64,
    /// Its number.
    pub job: u64,
}

impl Ord for Place {
    fn cmp(&self, other: &Self) -> Ordering {
        let key = |place: &Self| (Reverse(place.rank), place.is_array, place.hope);
        key(self)
            .cmp(&key(other))
            .then(self.work.total_cmp(&other.work))
            .then(self.due.total_cmp(&other.due))
            .then(self.at.cmp(&other.at))
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
