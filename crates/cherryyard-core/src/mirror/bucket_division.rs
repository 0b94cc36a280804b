//! Division of a bucket into several buckets when its jobs take too many bytes.

use cherryyard_wire::record::{BucketRecord, JobOutcome, JobRecord, TaskUsage, job_hash};
use cherryyard_wire::state::Json;
use std::collections::BTreeMap;

/// Size in bytes beyond which a bucket is divided; a bucket with a single job may be larger.
const MAX_BUCKET_BYTES: usize = 2048;
/// Bytes that the record of a bucket takes besides its jobs.
const BUCKET_OVERHEAD_BYTES: usize = 30;
/// Maximum number of bytes that an open job takes besides its record.
const OPEN_JOB_OVERHEAD_BYTES: usize = 25;
/// Maximum number of bytes that an ended job takes without the demand of its tasks.
const ENDED_JOB_BYTES: usize = 60;
/// Maximum number of bytes that an ended job takes with the demand of its tasks, besides the name
/// of the team.
const ENDED_JOB_WITH_DEMAND_BYTES: usize = 160;

/// Job in a bucket that is to be written.
pub(super) enum BucketItem {
    /// Record of a job that has not ended.
    Open(JobRecord),
    /// Job that has ended.
    Ended {
        /// Outcome of the job: done or cancelled.
        end: JobOutcome,
        /// Number of the job's tasks.
        task_count: u32,
        /// Generation of the history that the end belongs to.
        generation: u64,
        /// Resources that each task takes, while some tasks may still be on machines.
        demand: Option<TaskUsage>,
    },
}

impl BucketItem {
    /// Converts a job's record; an end gets the given generation.
    pub fn of(record: JobRecord, generation: u64) -> Self {
        match record {
            JobRecord::Ended {
                end,
                task_count,
                usage: demand,
                ..
            } => Self::Ended {
                end,
                task_count,
                generation,
                demand: Some(demand),
            },
            open @ JobRecord::Open { .. } => Self::Open(open),
        }
    }

    /// Returns an upper estimate of the bytes that the job takes in its bucket.
    fn bytes(&self) -> usize {
        match self {
            Self::Open(open) => Json::of(open).text().len() + OPEN_JOB_OVERHEAD_BYTES,
            Self::Ended { demand: None, .. } => ENDED_JOB_BYTES,
            Self::Ended {
                demand: Some(demand),
                ..
            } => ENDED_JOB_WITH_DEMAND_BYTES + demand.team.len(),
        }
    }

    fn write(self, job: u64, record: &mut BucketRecord) {
        match self {
            Self::Open(open) => record.open.push((job, open)),
            Self::Ended {
                end,
                task_count,
                generation,
                demand,
            } => {
                record.ended.push((job, end, task_count, generation));
                record.usage.extend(demand.map(|demand| (job, demand)));
            }
        }
    }
}

/// Job that is to be written to a bucket, with its hash and size.
struct SizedItem {
    hash: u64,
    job: u64,
    bytes: usize,
    item: BucketItem,
}

/// Divides the jobs of the bucket whose first hash is `start`, in the order of their hashes, into
/// as few buckets as repeated splitting takes to keep within the size limits. The first bucket
/// keeps its key. That bucket comes last in the result, after the new buckets, so that a mirror
/// that applies the changes in order always finds each job in at least one bucket.
pub(super) fn divide(
    start: u64,
    items: BTreeMap<u64, BucketItem>,
    value_bytes: usize,
) -> Vec<(u64, BucketRecord)> {
    let sized = items.into_iter().map(|(job, item)| SizedItem {
        hash: job_hash(job),
        job,
        bytes: item.bytes(),
        item,
    });
    let mut sorted: Vec<SizedItem> = sized.collect();
    sorted.sort_by_key(|item| (item.hash, item.job));
    let max_bytes = MAX_BUCKET_BYTES.min(value_bytes.saturating_sub(BUCKET_OVERHEAD_BYTES));
    let mut buckets = Vec::new();
    split_until_fits(start, sorted, max_bytes, &mut buckets);
    buckets.reverse();
    buckets
}

/// Splits a run of jobs into halves of similar size in bytes until each bucket is small enough, and
/// appends the buckets in the order of their hashes.
fn split_until_fits(
    start: u64,
    mut run: Vec<SizedItem>,
    max_bytes: usize,
    buckets: &mut Vec<(u64, BucketRecord)>,
) {
    let total: usize = run.iter().map(|item| item.bytes).sum();
    if total > max_bytes
        && let Some(split) = best_split(&run, total)
    {
        let right = run.split_off(split);
        let right_start = right[0].hash;
        split_until_fits(start, run, max_bytes, buckets);
        split_until_fits(right_start, right, max_bytes, buckets);
        return;
    }
    let mut record = BucketRecord::default();
    for sized in run {
        sized.item.write(sized.job, &mut record);
    }
    buckets.push((start, record));
}

/// Returns the index at which to split a run so that the larger half is as small as possible; none
/// if all jobs have the same hash, since a bucket boundary cannot separate such jobs.
fn best_split(run: &[SizedItem], total: usize) -> Option<usize> {
    let mut best: Option<(usize, usize)> = None;
    let mut left_bytes = 0;
    for split in 1..run.len() {
        left_bytes += run[split - 1].bytes;
        let larger_bytes = left_bytes.max(total - left_bytes);
        let hashes_differ = run[split - 1].hash != run[split].hash;
        if hashes_differ && best.is_none_or(|(_, smallest_bytes)| larger_bytes < smallest_bytes) {
            best = Some((split, larger_bytes));
        }
    }
    best.map(|(split, _)| split)
}
