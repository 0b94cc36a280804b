//! Transactions of bulk creation: as many jobs as fit, with the submission's record.

use super::chunk::ChunkJobs;
use crate::{Config, Mirror};
use cherryyard_wire::condor::{PhaseEvent, SubmissionRecord, chunk_key, submission_key};
use cherryyard_wire::record::{JobRecord, Key};
use cherryyard_wire::state::{Apply, Commit};
use std::collections::HashSet;

/// Jobs created in one step, at most.
const BATCH: usize = 48;
/// Bytes of a transaction's values.
const STEP_BYTES: usize = 40 * 1024;
/// Changes that a write to a bucket may take, as it may have to be divided.
const BUCKET_OPS: usize = 2;

/// A job's record; none for what cannot be created: it is passed over, so that it does not
/// hold up all that come after it.
pub(super) type MaybeRecord = Option<(u64, JobRecord)>;

/// Of some jobs in a row, how many a transaction may change by the records that
/// they stand in.
pub(super) fn jobs_within_limit(
    jobs: impl Iterator<Item = u64>,
    mirror: &Mirror,
    config: &Config,
) -> usize {
    let most = config.txn_ops.saturating_sub(1).max(2);
    let mut homes = HashSet::new();
    let mut ops = 0;
    jobs.take(BATCH)
        .take_while(|&job| {
            let home = mirror.home(job);
            if homes.insert(home) {
                ops += if matches!(home, Key::Job(_)) {
                    1
                } else {
                    BUCKET_OPS
                };
            }
            ops <= most
        })
        .count()
}

/// The transaction that writes as many of these records as fit, with the
/// submission's own as it is after so many of them.
pub(super) fn records_that_fit(
    submission: u64,
    records: &[MaybeRecord],
    after: impl Fn(usize) -> SubmissionRecord,
    mirror: &Mirror,
    config: &Config,
) -> Option<Commit> {
    let mut count = records.len();
    while count > 0 {
        let mut commit = submission_write(submission, &after(count));
        let some = records[..count].iter().flatten().cloned().collect();
        if mirror.write_jobs(&mut commit, some, config) && commit.bytes() <= STEP_BYTES {
            return Some(commit);
        }
        count /= 2;
    }
    None
}

/// The write of a submission's record.
pub(super) fn submission_write(submission: u64, record: &SubmissionRecord) -> Commit {
    let mut commit = Commit::default();
    let set = Apply::set(submission_key(submission), record);
    commit.apply.push(set);
    commit
}

/// Deletes chunks that are of no use any more, as many as fit.
pub(super) fn sweep(submission: u64, mut record: SubmissionRecord, config: &Config) -> Commit {
    let most = config.txn_ops.saturating_sub(1).max(1) as u32;
    let end = record.chunks.min(record.swept + most);
    let mut commit = Commit::default();
    let keys = (record.swept..end).map(|chunk| chunk_key(submission, chunk));
    commit.apply.extend(keys.map(Apply::delete));
    record.swept = end;
    let set = Apply::set(submission_key(submission), &record);
    commit.apply.push(set);
    commit
}

/// A submission's record once so many more of a chunk's jobs are created.
pub(super) fn record_after(
    record: &SubmissionRecord,
    chunk: &ChunkJobs,
    created: usize,
) -> SubmissionRecord {
    let mut after = record.clone();
    after.next += created as u64;
    if after.next as usize >= chunk.jobs.len() {
        after.chunk = (after.chunk.0 + 1, after.chunk.1 + chunk.jobs.len() as u64);
        after.next = 0;
        if after.chunk.0 >= after.of {
            after.phase = after.phase.after(PhaseEvent::LastCreated);
        }
    }
    after
}
