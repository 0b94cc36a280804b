//! Polls of old jobs that wait for a look-up: the job that was first polled longest ago is
//! next.
//!
//! There may be more polls than can be looked up. In a plain queue a poll could time out
//! before its turn, again and again. Here a job keeps its place from its first poll, also
//! after that poll has timed out: the result is cached for the next one.

use std::collections::{BTreeSet, HashMap};

/// Jobs that may wait at once.
const MAX_JOBS: usize = 1000;
/// For how long a job keeps its place after its last poll, in milliseconds. Users poll every
/// five seconds.
const KEEP_MS: u64 = 15_000;

/// A job that waits.
#[derive(Debug)]
struct WaitingJob<T> {
    /// Times of its first and last poll, in milliseconds of the steady clock.
    first_poll: u64,
    last_poll: u64,
    waiting: Vec<T>,
}

/// Jobs that wait for a look-up, and who waits for each.
#[derive(Debug)]
pub(super) struct LookupQueue<T> {
    jobs: HashMap<u64, WaitingJob<T>>,
    /// The same jobs by the time of their first poll.
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
    /// Adds a poll of a job at the time `now`. Beyond the bound the job that was polled
    /// first last is dropped, with whoever waits for it.
    pub(super) fn query(&mut self, job: u64, waiting: T, now: u64) {
        let waiting_job = self.jobs.entry(job).or_insert_with(|| WaitingJob {
            first_poll: now,
            last_poll: now,
            waiting: Vec::new(),
        });
        waiting_job.last_poll = now;
        waiting_job.waiting.push(waiting);
        self.order.insert((waiting_job.first_poll, job));
        while self.jobs.len() > MAX_JOBS {
            if let Some((_, last)) = self.order.pop_last() {
                self.jobs.remove(&last);
            }
        }
    }

    /// The job to look up next, and who waits for it; they may all have given up.
    pub(super) fn next(&mut self, now: u64) -> Option<(u64, Vec<T>)> {
        while let Some((_, job)) = self.order.pop_first() {
            let Some(waiting_job) = self.jobs.remove(&job) else {
                continue;
            };
            if now.saturating_sub(waiting_job.last_poll) <= KEEP_MS {
                return Some((job, waiting_job.waiting));
            }
        }
        None
    }
}

#[cfg(test)]
mod tests;
