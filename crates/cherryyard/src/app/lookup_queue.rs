//! Queue of polled jobs that wait for a look-up in the history, ordered by the time of each
//! job's first poll.
//!
//! There may be more polls than can be looked up. In a plain first-in, first-out queue the
//! polls of a job could time out again and again before the job is reached. Here a job keeps
//! its position from its first poll, even after that poll has timed out: the result of the
//! look-up is cached and answers the next poll.

use std::collections::{BTreeSet, HashMap};

/// Most jobs that wait at once.
const MAX_JOBS: usize = 1000;
/// Time that a job keeps its position after its last poll, in milliseconds. Users poll every
/// five seconds.
const KEEP_AFTER_LAST_POLL_MS: u64 = 15_000;

/// A job that waits for a look-up.
#[derive(Debug)]
struct WaitingJob<T> {
    /// Time of the first poll, in milliseconds of the monotonic clock.
    first_poll: u64,
    /// Time of the last poll, in milliseconds of the monotonic clock.
    last_poll: u64,
    /// Reply channels of the polls that wait for the result.
    polls: Vec<T>,
}

/// Jobs that wait for a look-up, each with the polls that wait for its result.
#[derive(Debug)]
pub(super) struct LookupQueue<T> {
    jobs: HashMap<u64, WaitingJob<T>>,
    /// The same jobs as (time of the first poll, job number).
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
    /// Adds a poll of a job at the time `now`. Beyond [`MAX_JOBS`] the job whose first poll is
    /// the latest is dropped, with the polls that wait for it.
    pub(super) fn add_poll(&mut self, job: u64, poll: T, now: u64) {
        let waiting_job = self.jobs.entry(job).or_insert_with(|| WaitingJob {
            first_poll: now,
            last_poll: now,
            polls: Vec::new(),
        });
        waiting_job.last_poll = now;
        waiting_job.polls.push(poll);
        self.order.insert((waiting_job.first_poll, job));
        while self.jobs.len() > MAX_JOBS {
            if let Some((_, latest)) = self.order.pop_last() {
                self.jobs.remove(&latest);
            }
        }
    }

    /// Removes and returns the job to look up next, with its waiting polls, all of
    /// which may have timed out. Drops jobs whose last poll is older than
    /// [`KEEP_AFTER_LAST_POLL_MS`].
    pub(super) fn next(&mut self, now: u64) -> Option<(u64, Vec<T>)> {
        while let Some((_, job)) = self.order.pop_first() {
            let Some(waiting_job) = self.jobs.remove(&job) else {
                continue;
            };
            if now.saturating_sub(waiting_job.last_poll) <= KEEP_AFTER_LAST_POLL_MS {
                return Some((job, waiting_job.polls));
            }
        }
        None
    }
}

#[cfg(test)]
mod tests;
