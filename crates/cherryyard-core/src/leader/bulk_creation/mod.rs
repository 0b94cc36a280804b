//! Submissions of many jobs. Their jobs are created from chunks that the state service stores, and
//! are cancelled as a whole. Data that is no longer needed is deleted.
//!
//! The leader does this one step at a time. Each step is a transaction that depends on the
//! leader's lease and on the submission's record. That record contains the progress of creation
//! and is written with the jobs. So a step is applied once whatever fails, a removal stops
//! creation at once, and another leader continues where the previous one stopped.

mod chunk;
mod handlers;
mod transactions;

use crate::token_bucket::TokenBucket;
use crate::{Config, Millis, Mirror};
use cherryyard_wire::condor::{Phase, SubmissionRecord};
use chunk::ChunkJobs;

/// Least time between two searches for a submission that needs a step.
const SEARCH_INTERVAL_MS: f64 = 100.0;
/// Age of a submission, from its first chunk, after which it is abandoned if it is still
/// incomplete.
const MAX_RECEIVING_MS: f64 = 600_000.0;
/// Age of a submission, from its first chunk, up to which its name is kept after all its jobs have
/// finished.
const NAME_RETENTION_MS: f64 = 30.0 * 86_400_000.0;
/// Creation's own share of the rate of users' writes. Creation may use more while users' writes
/// leave half of their budget.
const WRITE_SHARE: f64 = 0.25;
/// Delay before the next attempt if a transaction cannot be made or a chunk cannot be read.
const RETRY_MS: f64 = 1000.0;
/// Delay before the next attempt if a chunk is missing.
const MISSING_RETRY_MS: f64 = 5000.0;

/// Pending operation of bulk creation.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Stage {
    /// No operation is pending.
    Idle,
    /// A chunk is being read.
    Reading,
    /// A transaction is pending.
    Writing,
}

/// Step that a submission needs next, the most urgent first.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
enum NextStep {
    /// The submission's open jobs are to be cancelled.
    Cancel,
    /// The submission's next jobs are to be created.
    Create,
    /// The submission is to be abandoned, because its chunks have stopped arriving.
    Abandon,
    /// Chunks that are no longer needed are to be deleted.
    DeleteChunks,
    /// The submission's record is to be deleted.
    DeleteRecord,
}

/// A submission and the step that it needs, ordered by urgency and age.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
struct PendingStep {
    step: NextStep,
    /// Time at which the submission arrived.
    at: u64,
    /// Number of the submission.
    submission: u64,
}

/// State of bulk creation, and its rate limit.
#[derive(Debug)]
pub(crate) struct BulkCreation {
    stage: Stage,
    /// Chunk whose jobs are being created.
    chunk: Option<ChunkJobs>,
    write_budget: TokenBucket,
    retry_after: Millis,
    searched_at: Millis,
}

impl BulkCreation {
    pub(crate) fn new(config: &Config, now: Millis) -> Self {
        Self {
            stage: Stage::Idle,
            chunk: None,
            write_budget: TokenBucket::new(config.user_writes_per_s * WRITE_SHARE, now),
            retry_after: now,
            searched_at: f64::NEG_INFINITY,
        }
    }

    pub(crate) fn set_write_rate(&mut self, config: &Config, now: Millis) {
        let rate = config.user_writes_per_s * WRITE_SHARE;
        self.write_budget.set_rate(rate, now);
    }

    /// Stops, because another controller leads. The pending operation fails with this controller's
    /// lease, or was completed under it.
    fn stop(&mut self) {
        self.chunk = None;
        self.stage = Stage::Idle;
    }

    /// Returns whether a search for a submission that needs a step is due.
    fn is_due(&self, now: Millis) -> bool {
        self.stage == Stage::Idle
            && now >= self.retry_after
            && now - self.searched_at >= SEARCH_INTERVAL_MS
    }

    /// Takes the chunk whose jobs are being created, if it is the given one.
    fn take_chunk(&mut self, submission: u64, chunk: u32) -> Option<ChunkJobs> {
        let loaded = self.chunk.take();
        loaded.filter(|loaded| loaded.is_of(submission, chunk))
    }

    /// Returns whether a chunk is being read.
    fn is_reading(&self) -> bool {
        self.stage == Stage::Reading
    }

    /// Handles the result of reading a chunk.
    fn chunk_read(&mut self, read: ChunkRead, now: Millis) {
        self.stage = Stage::Idle;
        match read {
            ChunkRead::Found(chunk) => self.chunk = Some(chunk),
            ChunkRead::Missing => self.retry_after = now + MISSING_RETRY_MS,
            ChunkRead::Failed => self.retry_after = now + RETRY_MS,
        }
    }
}

/// Result of reading a chunk.
#[derive(Debug)]
enum ChunkRead {
    Found(ChunkJobs),
    Missing,
    /// The read was not answered, or the submission no longer exists.
    Failed,
}

/// Returns the step that a submission needs next at this wall-clock time, if any.
fn next_step(record: &SubmissionRecord, mirror: &Mirror, wall_ms: f64) -> Option<NextStep> {
    let age_ms = wall_ms - record.started_at_ms as f64;
    let any_open = || mirror.open.range(record.block()).next().is_some();
    match record.phase {
        Phase::Cancelling => Some(NextStep::Cancel),
        Phase::Creating => Some(NextStep::Create),
        Phase::Receiving => (age_ms > MAX_RECEIVING_MS).then_some(NextStep::Abandon),
        Phase::Created | Phase::Cancelled | Phase::Dropped
            if record.deleted_chunks < record.received_chunks =>
        {
            Some(NextStep::DeleteChunks)
        }
        Phase::Dropped => Some(NextStep::DeleteRecord),
        Phase::Created | Phase::Cancelled => {
            (age_ms > NAME_RETENTION_MS && !any_open()).then_some(NextStep::DeleteRecord)
        }
    }
}

/// Returns the submission that needs the most urgent step, among equals the oldest.
fn most_urgent(mirror: &Mirror, wall_ms: f64) -> Option<PendingStep> {
    // Everything that was written before a submission's record is known once the state up to that
    // record has been read.
    let seen = mirror
        .submissions
        .iter()
        .filter(|(_, (_, revision))| *revision <= mirror.store_revision);
    let pending = seen.filter_map(|(&submission, (record, _))| {
        let step = next_step(record, mirror, wall_ms)?;
        Some(PendingStep {
            step,
            at: record.started_at_ms,
            submission,
        })
    });
    pending.min()
}
