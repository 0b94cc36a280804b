//! The leader's part in compacting finished jobs into the history.
//!
//! The compactor (`cherryyard_history`) determines what to read and write. This module contains
//! the batches that it is given, the record format that it requires, and its rate limits.

mod handlers;
mod transactions;

use crate::token_bucket::TokenBucket;
use crate::{Config, Millis, Mirror};
use cherryyard_history::{Compactor, FinishedJob, Limits};
use cherryyard_wire::history::HistoryProgressRecord;
use cherryyard_wire::record::JobOutcome;

/// Time between two small batches, while finished jobs are left in records of their own, as
/// earlier builds wrote them.
const SMALL_BATCH_MS: f64 = 60_000.0;
/// Size of the small run of leaves, in batches, beyond which it is spilled into the large one.
const SPILL_BATCHES: u64 = 32;
/// Delay before the next attempt while other work has priority.
const BUSY_RETRY_MS: f64 = 250.0;
/// Number of batches of finished jobs beyond which compaction no longer waits for other work.
const MAX_DEFERRED_BATCHES: usize = 2;
/// Least time between two scans of all finished jobs while there is nothing to compact.
const SCAN_INTERVAL_MS: f64 = 1000.0;
/// Delay before the next attempt after a leaf could not be read.
const READ_RETRY_MS: f64 = 1000.0;
/// Delay before the next attempt after a transaction that was not applied.
const WRITE_RETRY_MS: f64 = 300.0;
const DAY_MS: f64 = 86_400_000.0;

/// Pending operation of history compaction.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Pending {
    Nothing,
    /// A read, or a transaction that the compactor requested.
    Compactor,
    /// A transaction that the compactor did not request.
    Other,
}

/// The leader's compactor and its rate limits.
#[derive(Debug)]
pub(crate) struct HistoryCompaction {
    compactor: Compactor,
    write_budget: TokenBucket,
    /// Budget for reads of leaves. A repeated compaction finds its leaves already written, so
    /// without this budget it would read leaf after leaf without a pause.
    read_budget: TokenBucket,
    pending: Pending,
    retry_after: Millis,
    small_batch_at: Millis,
    scanned_at: Millis,
}

impl HistoryCompaction {
    pub(crate) fn new(config: &Config, now: Millis) -> Self {
        Self {
            compactor: Compactor::new(Limits {
                leaf_bytes: config.page_bytes,
                txn_ops: config.txn_ops,
                small_run: SPILL_BATCHES * config.tuning.history_batch as u64,
                keep_days: config.tuning.history_keep_days,
            }),
            write_budget: TokenBucket::new(config.history_writes_per_s, now),
            read_budget: TokenBucket::new(config.history_reads_per_s, now),
            pending: Pending::Nothing,
            retry_after: now,
            small_batch_at: now,
            scanned_at: f64::NEG_INFINITY,
        }
    }

    pub(crate) fn set_write_rate(&mut self, config: &Config, now: Millis) {
        self.write_budget.set_rate(config.history_writes_per_s, now);
    }

    /// Returns whether the budgets and the retry delay allow another read or transaction.
    fn may_step(&mut self, now: Millis) -> bool {
        now >= self.retry_after
            && self.write_budget.tokens(now) >= 1.0
            && self.read_budget.tokens(now) >= 1.0
    }

    /// Returns whether nothing is pending and another step is allowed.
    fn is_ready(&mut self, now: Millis) -> bool {
        self.pending == Pending::Nothing && self.may_step(now)
    }

    /// Returns whether the compactor is idle and the next scan for jobs to compact is not due.
    fn is_idle_until_next_scan(&self, now: Millis) -> bool {
        self.compactor.is_idle() && now - self.scanned_at < SCAN_INTERVAL_MS
    }

    fn begin_read(&mut self) {
        self.pending = Pending::Compactor;
        self.read_budget.spend(1.0);
    }

    fn begin_write(&mut self, pending: Pending, changes: usize) {
        self.pending = pending;
        self.write_budget.spend(changes as f64);
    }

    /// Handles the outcome of a transaction.
    fn committed(&mut self, is_applied: bool, now: Millis) {
        let pending = std::mem::replace(&mut self.pending, Pending::Nothing);
        if pending == Pending::Compactor {
            self.compactor.written(is_applied);
        }
        if !is_applied {
            self.retry_after = now + WRITE_RETRY_MS;
        }
    }

    /// Returns whether the current generation of finished jobs should be closed: it contains
    /// enough jobs, or some jobs are left in records of their own and the next small batch is due.
    fn should_close_generation(&self, mirror: &Mirror, config: &Config, now: Millis) -> bool {
        let record = mirror.history_progress;
        let (mut uncompacted, mut any_has_own_record) = (0, false);
        for (_, ended) in mirror.ended_jobs() {
            let has_own_record = ended.revision > record.archived_revision;
            let is_uncompacted = has_own_record
                || (ended.revision == 0 && ended.generation > record.archived_generation);
            uncompacted += usize::from(is_uncompacted);
            any_has_own_record |= has_own_record;
        }
        let is_small_batch_due = any_has_own_record && now - self.small_batch_at >= SMALL_BATCH_MS;
        uncompacted >= config.tuning.history_batch || is_small_batch_due
    }
}

/// Returns whether compaction may use its share of the write budget now. While tasks wait for
/// assignments, or jobs for their division, compaction waits too, but only up to
/// [`MAX_DEFERRED_BATCHES`], because finished jobs take memory until they are compacted. With
/// batches of 300 jobs, a day of restarts had three times as many requests refused.
fn may_compact_now(mirror: &Mirror, config: &Config) -> bool {
    let is_overdue = mirror.ended_count() > MAX_DEFERRED_BATCHES * config.tuning.history_batch;
    let any_waiting = mirror.tasks.waiting.iter().any(|jobs| !jobs.is_empty());
    is_overdue || !any_waiting && mirror.undivided.is_empty()
}

/// Returns the finished jobs of closed generations up to `done`; `day` is the current day.
fn finished_jobs_of_closed_generations(
    mirror: &Mirror,
    record: &HistoryProgressRecord,
    done: u64,
    day: u32,
) -> Vec<FinishedJob> {
    let closed_at_revision = mirror.history_progress_revision;
    let closed = mirror.ended_jobs().filter(|(_, ended)| {
        if ended.revision != 0 {
            ended.revision > record.archived_revision && ended.revision <= closed_at_revision
        } else {
            ended.generation > record.archived_generation && ended.generation <= done
        }
    });
    closed
        .map(|(job, ended)| FinishedJob {
            job,
            end: ended.end,
            done: if ended.end == JobOutcome::Done {
                ended.task_count
            } else {
                0
            },
            day,
        })
        .collect()
}

/// Counts of open and finished jobs, for operators.
#[derive(Clone, Copy, Debug, PartialEq, Eq, serde::Serialize)]
pub struct HistoryCounts {
    /// Format of the job records.
    pub format: u32,
    /// Number of jobs that are not finished.
    pub open: usize,
    /// Number of finished jobs whose records controllers still watch.
    pub recent: usize,
    /// Number of these whose records were written by earlier builds and are still to be moved.
    pub to_move: usize,
    /// Approximate number of jobs in the history.
    pub packed: u64,
    /// Approximate number of jobs in each run of leaves.
    pub runs: [u64; 2],
    /// Generation in which finished jobs are recorded now.
    pub generation: u64,
    /// Whether the small run is being spilled into the large one.
    pub spilling: bool,
    /// Number of buckets that contain job records.
    pub buckets: usize,
}

#[cfg(test)]
mod tests;
