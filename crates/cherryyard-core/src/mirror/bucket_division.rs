//! How the jobs of a bucket are divided once they take too many bytes for one.

use cherryyard_wire::record::{BucketRecord, End, JobRecord, TaskUsage, job_hash};
use cherryyard_wire::state::Json;
use std::collections::BTreeMap;

/// Bytes beyond which a bucket is divided; a single job's may be larger.
const MAX_BUCKET_BYTES: usize = 2048;
/// Bytes that a bucket's record takes beside its jobs.
const FRAME_BYTES: usize = 30;
/// Most bytes that an open job takes beside its record, an end, and an end with what its
/// tasks take beside the team's name.
const OPEN_FRAME_BYTES: usize = 25;
const END_BYTES: usize = 60;
const END_WITH_DEMAND_BYTES: usize = 160;

/// One job in a bucket to be written.
pub(super) enum BucketItem {
    /// It is not over.
    Open(JobRecord),
    /// It is over.
    Ended {
        /// How.
        end: End,
        /// How many tasks it had.
        task_count: u32,
        /// Its generation in the history.
        generation: u64,
        /// What its tasks take, while some may still be on machines.
        demand: Option<TaskUsage>,
    },
}

impl BucketItem {
    /// A job by its record; an end gets this generation.
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

    /// About how many bytes it takes, never too few.
    fn bytes(&self) -> usize {
        match self {
            Self::Open(open) => Json::of(open).text().len() + OPEN_FRAME_BYTES,
            Self::Ended { demand: None, .. } => END_BYTES,
            Self::Ended {
                demand: Some(demand),
                ..
            } => END_WITH_DEMAND_BYTES + demand.team.len(),
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

/// One job on its way into a bucket.
struct SizedItem {
    hash: u64,
    job: u64,
    bytes: usize,
    item: BucketItem,
}

/// Divides the jobs of the bucket that starts at `start`, in the order of their hashes, into
/// as few buckets as keep below the bounds; the first keeps its key. New ones come before
/// the one that is divided, so that a reader finds its jobs in one or the other.
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
    let max_bytes = MAX_BUCKET_BYTES.min(value_bytes.saturating_sub(FRAME_BYTES));
    let mut buckets = Vec::new();
    halve(start, sorted, max_bytes, &mut buckets);
    buckets.reverse();
    buckets
}

/// Halves a run of jobs, by bytes, until each piece is small enough.
fn halve(
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
        halve(start, run, max_bytes, buckets);
        halve(right_start, right, max_bytes, buckets);
        return;
    }
    let mut record = BucketRecord::default();
    for sized in run {
        sized.item.write(sized.job, &mut record);
    }
    buckets.push((start, record));
}

/// Where to split a run so that the larger half is as small as possible; none if all have
/// the same hash, since of two such jobs neither can begin a bucket of its own.
fn best_split(run: &[SizedItem], total: usize) -> Option<usize> {
    let mut best: Option<(usize, usize)> = None;
    let mut left = 0;
    for split in 1..run.len() {
        left += run[split - 1].bytes;
        let larger = left.max(total - left);
        let is_border = run[split - 1].hash != run[split].hash;
        if is_border && best.is_none_or(|(_, smallest)| larger < smallest) {
            best = Some((split, larger));
        }
    }
    best.map(|(split, _)| split)
}
