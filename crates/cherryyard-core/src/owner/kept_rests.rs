//! Rests of teams' limits that a shard keeps for its oldest jobs.

use crate::Millis;
use std::collections::HashMap;

/// Longest that a shard's rest of a team's limit is kept for a task, and then for so long
/// not: whoever else waits for it must not wait for minutes.
const KEEP_REST_MS: f64 = 45_000.0;

/// Teams whose rest of the limit in a shard is kept for a job: which, and since when.
#[derive(Clone, Debug, Default)]
pub(crate) struct KeptRests(HashMap<usize, (u64, Millis)>);

impl KeptRests {
    /// Whether a team's rest is kept for a job now.
    pub(super) fn keep(&mut self, team: usize, job: u64, now: Millis) -> bool {
        let (kept_for, since) = self.0.entry(team).or_insert((job, now));
        if *kept_for != job || now - *since > 2.0 * KEEP_REST_MS {
            (*kept_for, *since) = (job, now);
        }
        now - *since < KEEP_REST_MS
    }
}
