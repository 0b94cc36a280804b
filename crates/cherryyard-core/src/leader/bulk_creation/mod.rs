//! Submissions of many jobs: their jobs are created from chunks that the state service
//! holds, cancelled as a whole, and what is not needed any more is deleted.
//!
//! Whoever leads does it, one step at a time, each a transaction that depends on the
//! leader's lease and on the submission's record. That record says how far creation has
//! come and is written with the jobs, so a step is done once whatever fails, a removal
//! stops creation at once, and another leader goes on where this one was.

mod chunk;
mod handlers;
mod transactions;

use crate::token_bucket::TokenBucket;
use crate::{Config, Millis, Mirror};
use cherryyard_wire::condor::{Phase, SubmissionRecord};
use chunk::ChunkJobs;

/// Least time between two looks for something to do.
const INSPECT_MS: f64 = 100.0;
/// Time after which a submission whose chunks have stopped coming is given up.
const RECEIVE_MS: f64 = 600_000.0;
/// Time for which the names of submissions are kept once all their jobs are over.
const KEEP_MS: f64 = 30.0 * 86_400_000.0;
/// Creation's own share of users' writes; it has more while they leave half of it.
const SHARE: f64 = 0.25;
/// Time to the next try where a transaction cannot be made, or a chunk not be read.
const RETRY_MS: f64 = 1000.0;
/// The same where a chunk is missing.
const MISSING_RETRY_MS: f64 = 5000.0;

/// What is under way.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Stage {
    /// Nothing.
    Idle,
    /// A read of a chunk.
    Reading,
    /// A transaction.
    Writing,
}

/// What a submission needs next, the most urgent first.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
enum Need {
    /// Its open jobs are to be cancelled.
    Cancel,
    /// Its next jobs are to be created.
    Create,
    /// Its chunks have stopped coming.
    GiveUp,
    /// Chunks of it are of no use any more.
    Sweep,
    /// Nor is its record.
    Forget,
}

/// A submission, and what it needs.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
struct Needy {
    need: Need,
    /// When it was submitted.
    at: u64,
    /// Its number.
    submission: u64,
}

/// The creation of jobs, and its pace.
#[derive(Debug)]
pub(crate) struct BulkCreation {
    stage: Stage,
    /// The chunk whose jobs are being created.
    chunk: Option<ChunkJobs>,
    write_budget: TokenBucket,
    retry_after: Millis,
    inspected_at: Millis,
}

impl BulkCreation {
    pub(crate) fn new(config: &Config, now: Millis) -> Self {
        Self {
            stage: Stage::Idle,
            chunk: None,
            write_budget: TokenBucket::new(config.user_writes_per_s * SHARE, now),
            retry_after: now,
            inspected_at: f64::NEG_INFINITY,
        }
    }

    pub(crate) fn set_write_rate(&mut self, config: &Config, now: Millis) {
        let rate = config.user_writes_per_s * SHARE;
        self.write_budget.set_rate(rate, now);
    }

    /// Another controller leads: what is under way dies with our lease, or was done by it.
    fn stop(&mut self) {
        self.chunk = None;
        self.stage = Stage::Idle;
    }

    /// Whether it is time to look for something to do.
    fn is_due(&self, now: Millis) -> bool {
        self.stage == Stage::Idle
            && now >= self.retry_after
            && now - self.inspected_at >= INSPECT_MS
    }

    /// Takes the chunk that is being created, if it is this one.
    fn take_chunk(&mut self, submission: u64, chunk: u32) -> Option<ChunkJobs> {
        let known = self.chunk.take();
        known.filter(|known| known.is_of(submission, chunk))
    }

    /// Whether a chunk was asked for.
    fn is_reading(&self) -> bool {
        self.stage == Stage::Reading
    }

    /// Takes how the read of a chunk came out.
    fn chunk_read(&mut self, read: ChunkRead, now: Millis) {
        self.stage = Stage::Idle;
        match read {
            ChunkRead::Found(chunk) => self.chunk = Some(chunk),
            ChunkRead::Missing => self.retry_after = now + MISSING_RETRY_MS,
            ChunkRead::Failed => self.retry_after = now + RETRY_MS,
        }
    }
}

/// How a read of a chunk came out.
#[derive(Debug)]
enum ChunkRead {
    Found(ChunkJobs),
    Missing,
    /// No answer, or its submission is not there any more.
    Failed,
}

/// What a submission needs next, at this time of day.
fn need_of(record: &SubmissionRecord, mirror: &Mirror, wall: f64) -> Option<Need> {
    let age_ms = wall - record.at as f64;
    let any_open = || mirror.open.range(record.block()).next().is_some();
    match record.phase {
        Phase::Cancelling => Some(Need::Cancel),
        Phase::Creating => Some(Need::Create),
        Phase::Receiving => (age_ms > RECEIVE_MS).then_some(Need::GiveUp),
        Phase::Created | Phase::Cancelled | Phase::Dropped if record.swept < record.chunks => {
            Some(Need::Sweep)
        }
        Phase::Dropped => Some(Need::Forget),
        Phase::Created | Phase::Cancelled => {
            (age_ms > KEEP_MS && !any_open()).then_some(Need::Forget)
        }
    }
}

/// The submission with the most urgent need, the oldest first.
fn most_urgent(mirror: &Mirror, wall: f64) -> Option<Needy> {
    // What came before a record has been seen once all up to that record is.
    let seen = mirror
        .submissions
        .iter()
        .filter(|(_, (_, revision))| *revision <= mirror.store_revision);
    let needy = seen.filter_map(|(&submission, (record, _))| {
        let need = need_of(record, mirror, wall)?;
        Some(Needy {
            need,
            at: record.at,
            submission,
        })
    });
    needy.min()
}
