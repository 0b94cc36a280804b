//! Jobs that are over go into the history: the leader's part of it.
//!
//! The compactor (`cherryyard_history`) says what to read and write; here are the
//! batches that it is given, the format that it needs, and the pace.

mod handlers;
mod transactions;

use crate::token_bucket::TokenBucket;
use crate::{Config, Millis, Mirror};
use cherryyard_history::{Compactor, FinishedJob, Limits};
use cherryyard_wire::history::PackedRecord;
use cherryyard_wire::record::End;

/// Time between two small batches, while ends in records of their own are left.
const SMALL_BATCH_MS: f64 = 60_000.0;
/// Times that a batch may be in the small run of leaves before that is spilled.
const SPILL_BATCHES: u64 = 32;
/// Time between two looks for a calm moment.
const BUSY_MS: f64 = 250.0;
/// Batches that may wait for one.
const OVERDUE_BATCHES: usize = 2;
/// Least time between two looks at all ends, while there is nothing to do.
const INSPECT_MS: f64 = 1000.0;
/// Time to the next try after a leaf could not be read.
const READ_RETRY_MS: f64 = 1000.0;
/// The same after a transaction that was not applied.
const WRITE_RETRY_MS: f64 = 300.0;
const DAY_MS: f64 = 86_400_000.0;

/// What the leader's compactor has under way.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Pending {
    Nothing,
    /// A read, or a transaction of the compactor's own.
    Compactor,
    /// Another transaction for it.
    Other,
}

/// The leader's compactor and its pace.
#[derive(Debug)]
pub(crate) struct HistoryCompaction {
    compactor: Compactor,
    write_budget: TokenBucket,
    /// Reads of leaves: a compaction that is done again finds what it would write there
    /// already, and would read leaf after leaf without a pause.
    reads: TokenBucket,
    pending: Pending,
    retry_after: Millis,
    small_batch_at: Millis,
    inspected_at: Millis,
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
            reads: TokenBucket::new(config.history_reads_per_s, now),
            pending: Pending::Nothing,
            retry_after: now,
            small_batch_at: now,
            inspected_at: f64::NEG_INFINITY,
        }
    }

    pub(crate) fn set_write_rate(&mut self, config: &Config, now: Millis) {
        self.write_budget.set_rate(config.history_writes_per_s, now);
    }

    /// Whether the budgets have room for another read or transaction.
    fn may_step(&mut self, now: Millis) -> bool {
        now >= self.retry_after && self.write_budget.left(now) >= 1.0 && self.reads.left(now) >= 1.0
    }

    /// Whether nothing is under way, and the budgets allow another step.
    fn is_ready(&mut self, now: Millis) -> bool {
        self.pending == Pending::Nothing && self.may_step(now)
    }

    /// Whether the compactor has nothing to do, and was lately found to get nothing.
    fn is_resting(&self, now: Millis) -> bool {
        self.compactor.is_idle() && now - self.inspected_at < INSPECT_MS
    }

    fn begin_read(&mut self) {
        self.pending = Pending::Compactor;
        self.reads.spend(1.0);
    }

    fn begin_write(&mut self, pending: Pending, changes: usize) {
        self.pending = pending;
        self.write_budget.spend(changes as f64);
    }

    /// Takes how a transaction came out.
    fn committed(&mut self, is_applied: bool, now: Millis) {
        let pending = std::mem::replace(&mut self.pending, Pending::Nothing);
        if pending == Pending::Compactor {
            self.compactor.written(is_applied);
        }
        if !is_applied {
            self.retry_after = now + WRITE_RETRY_MS;
        }
    }

    /// Whether the generation of ends that is written now should be closed: it has
    /// enough ends, or some are left in records of their own.
    fn should_close_generation(&self, mirror: &Mirror, config: &Config, now: Millis) -> bool {
        let record = mirror.packed;
        let (mut fresh, mut any_own) = (0, false);
        for (_, ended) in mirror.ended_jobs() {
            let is_own = ended.revision > record.own;
            let is_fresh = is_own || (ended.revision == 0 && ended.generation > record.gen_done);
            fresh += usize::from(is_fresh);
            any_own |= is_own;
        }
        let is_small_due = any_own && now - self.small_batch_at >= SMALL_BATCH_MS;
        fresh >= config.tuning.history_batch || is_small_due
    }
}

/// Whether the history may have its share of the write budget now: while tasks
/// wait for assignments, or jobs for their division, it waits too, but for a while
/// only, as ends take memory until they are compacted. (With batches of 300 a day of
/// restarts had three times as many requests refused.)
fn is_calm(mirror: &Mirror, config: &Config) -> bool {
    let is_overdue = mirror.ended_count() > OVERDUE_BATCHES * config.tuning.history_batch;
    let any_waiting = mirror.tasks.waiting.iter().any(|jobs| !jobs.is_empty());
    is_overdue || !any_waiting && mirror.undivided.is_empty()
}

/// The ends of closed generations up to `done`, for the history; `day` is today.
fn closed_ends(mirror: &Mirror, record: &PackedRecord, done: u64, day: u32) -> Vec<FinishedJob> {
    let own = mirror.packed_revision;
    let closed = mirror.ended_jobs().filter(|(_, ended)| {
        if ended.revision != 0 {
            ended.revision > record.own && ended.revision <= own
        } else {
            ended.generation > record.gen_done && ended.generation <= done
        }
    });
    closed
        .map(|(job, ended)| FinishedJob {
            job,
            end: ended.end,
            done: if ended.end == End::Done {
                ended.task_count
            } else {
                0
            },
            day,
        })
        .collect()
}

/// What an operator sees of the history.
#[derive(Clone, Copy, Debug, PartialEq, Eq, serde::Serialize)]
pub struct HistoryCounts {
    /// The format of jobs' records.
    pub format: u32,
    /// Jobs that are not over.
    pub open: usize,
    /// Jobs that are over and still watched by controllers.
    pub recent: usize,
    /// Of these, those that earlier builds' records hold and that are still to be moved.
    pub to_move: usize,
    /// About how many jobs are in the history.
    pub packed: u64,
    /// The same for each run of leaves.
    pub runs: [u64; 2],
    /// The generation of ends written now.
    pub generation: u64,
    /// Whether the small run is being spilled into the large one.
    pub spilling: bool,
    /// Buckets that jobs stand in.
    pub buckets: usize,
}

#[cfg(test)]
mod tests;
