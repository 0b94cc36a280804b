//! Transactions of bulk creation: as many jobs as fit, with the submission's record.

use super::chunk::ChunkJobs;
use crate::{Config, Mirror};
use cherryyard_wire::condor::{PhaseEvent, SubmissionRecord, chunk_key, submission_key};
use cherryyard_wire::record::{JobRecord, Key};
use cherryyard_wire::state::{Change, Commit};
use std::collections::HashSet;

/// Largest number of jobs in one step.
const MAX_STEP_JOBS: usize = 48;
/// Largest size of a transaction, in bytes.
const MAX_STEP_BYTES: usize = 40 * 1024;
/// Number of changes that a write to a bucket may take, as the bucket may have to be split.
const BUCKET_OPS: usize = 2;

/// Record of a job, or none for a job that cannot be created. Such a job is skipped, so that it
/// does not block all jobs after it.
pub(super) type MaybeRecord = Option<(u64, JobRecord)>;

/// Returns how many of these jobs, in their order, a transaction may change, by the number of
/// records that contain them.
pub(super) fn jobs_within_limit(
    jobs: impl Iterator<Item = u64>,
    mirror: &Mirror,
    config: &Config,
) -> usize {
    let max_ops = config.txn_ops.saturating_sub(1).max(2);
    let mut record_keys = HashSet::new();
    let mut ops = 0;
    jobs.take(MAX_STEP_JOBS)
        .take_while(|&job| {
            let key = mirror.record_key(job);
            if record_keys.insert(key) {
                ops += if matches!(key, Key::Job(_)) {
                    1
                } else {
                    BUCKET_OPS
                };
            }
            ops <= max_ops
        })
        .count()
}

/// Returns the transaction that writes as many of these records as fit, and the submission's own
/// record as it is `after` so many of them.
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
        let fitting_records = records[..count].iter().flatten().cloned().collect();
        if mirror.write_jobs(&mut commit, fitting_records, config)
            && commit.bytes() <= MAX_STEP_BYTES
        {
            return Some(commit);
        }
        count /= 2;
    }
    None
}

/// Returns the transaction that writes a submission's record.
pub(super) fn submission_write(submission: u64, record: &SubmissionRecord) -> Commit {
    let mut commit = Commit::default();
    let set = Change::set(submission_key(submission), record);
    commit.changes.push(set);
    commit
}

/// Returns the transaction that deletes chunks that are no longer needed, as many as fit.
pub(super) fn chunk_deletion(
    submission: u64,
    mut record: SubmissionRecord,
    config: &Config,
) -> Commit {
    let max_ops = config.txn_ops.saturating_sub(1).max(1) as u32;
    let end = record.received_chunks.min(record.deleted_chunks + max_ops);
    let mut commit = Commit::default();
    let keys = (record.deleted_chunks..end).map(|chunk| chunk_key(submission, chunk));
    commit.changes.extend(keys.map(Change::delete));
    record.deleted_chunks = end;
    let set = Change::set(submission_key(submission), &record);
    commit.changes.push(set);
    commit
}

/// Returns a submission's record as it is once `created` more of a chunk's jobs are created.
pub(super) fn record_after(
    record: &SubmissionRecord,
    chunk: &ChunkJobs,
    created: usize,
) -> SubmissionRecord {
    let mut after = record.clone();
    after.created_in_chunk += created as u64;
    if after.created_in_chunk as usize >= chunk.jobs.len() {
        after.chunk = (after.chunk.0 + 1, after.chunk.1 + chunk.jobs.len() as u64);
        after.created_in_chunk = 0;
        if after.chunk.0 >= after.chunk_count {
            after.phase = after.phase.after(PhaseEvent::LastCreated);
        }
    }
    after
}
