//! Remainders of teams' grants that a shard keeps free for the oldest waiting jobs.

use crate::Millis;
use std::collections::HashMap;

/// Maximum time for which the remainder of a team's grant in a shard is kept for a job. After that
/// it is not kept for the same length of time, so that other jobs of the team do not wait for
/// minutes.
const KEEP_REMAINDER_MS: f64 = 45_000.0;

/// Jobs for which remainders of teams' grants are kept, by team, and the start of each period.
#[derive(Clone, Debug, Default)]
pub(crate) struct KeptRemainders(HashMap<usize, (u64, Millis)>);

impl KeptRemainders {
    /// Returns whether the remainder of a team's grant is kept for a job now, and starts a new
    /// period if the job has changed or the last one is over.
    pub(super) fn keep(&mut self, team: usize, job: u64, now: Millis) -> bool {
        let (kept_for, since) = self.0.entry(team).or_insert((job, now));
        if *kept_for != job || now - *since > 2.0 * KEEP_REMAINDER_MS {
            (*kept_for, *since) = (job, now);
        }
        now - *since < KEEP_REMAINDER_MS
    }
}
