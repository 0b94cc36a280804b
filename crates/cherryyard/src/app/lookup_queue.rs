//! Polls of old jobs that wait for a look-up: who first asked longest ago is next.
//!
//! There may be more of them than can be looked up. In a plain queue it is luck who is
//! served before giving up, and a job could be refused again and again while others are
//! answered. Here a job keeps its place from when it was first asked for, also when
//! whoever asked has given up: what is looked up then is there for the next one.

use std::collections::{BTreeSet, HashMap};

/// Jobs whose first asking is remembered.
const MOST: usize = 1000;
/// For how long a job that nobody asks for again keeps its place, in milliseconds: it is
/// asked for every five seconds.
const KEEP_MS: u64 = 15_000;

/// A job that waits.
#[derive(Debug)]
struct Place<T> {
    first: u64,
    last: u64,
    waiting: Vec<T>,
}

/// Jobs that wait for a look-up, and who waits for each.
#[derive(Debug)]
pub(super) struct LookupQueue<T> {
    jobs: HashMap<u64, Place<T>>,
    order: BTreeSet<(u64, u64)>,
}

impl<T> Default for LookupQueue<T> {
    fn default() -> Self {
        Self {
            jobs: HashMap::new(),
            order: BTreeSet::new(),
        }
    }
}

impl<T> LookupQueue<T> {
    /// A job is asked for. Where too many wait, the one that came last makes way; its
    /// waiting are dropped.
    pub(super) fn query(&mut self, job: u64, waiting: T, now: u64) {
        let place = self.jobs.entry(job).or_insert_with(|| Place {
            first: now,
            last: now,
            waiting: Vec::new(),
        });
        place.last = now;
        place.waiting.push(waiting);
        self.order.insert((place.first, job));
        while self.jobs.len() > MOST {
            if let Some((_, last)) = self.order.pop_last() {
                self.jobs.remove(&last);
            }
        }
    }

    /// The job whose turn it is, and who waits for it; none may wait any more.
    pub(super) fn next(&mut self, now: u64) -> Option<(u64, Vec<T>)> {
        while let Some((_, job)) = self.order.pop_first() {
            let Some(place) = self.jobs.remove(&job) else {
                continue;
            };
            if now.saturating_sub(place.last) <= KEEP_MS {
                return Some((job, place.waiting));
            }
        }
        None
    }
}

#[cfg(test)]
mod tests;
