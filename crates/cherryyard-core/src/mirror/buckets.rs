//! Buckets, which hold the records of many jobs under one key, and the transactions that change
//! them.
//!
//! With a key for each job, every ended job would cost a deletion or would stay in the store for
//! ever. In a bucket, the end of a job replaces its record, and a later write of the bucket leaves
//! it out once it is in the history. Buckets divide the range of all hashes of job numbers: each
//! holds the hashes from the one in its key up to that of the next bucket. A transaction that adds
//! a job depends on the revision of its bucket, so no job is added twice, and the transaction fails
//! if the bucket has been divided or joined in the meantime.

use super::Mirror;
use super::bucket_division::{BucketItem, divide};
use super::ended::{EndedJob, TaskDemand};
use super::job_containers::{JobContainer, JobContainers};
use super::record_error::{RecordError, RecordProblem};
use crate::Config;
use cherryyard_wire::record::{
    self, BUCKETS, BucketRecord, JobRecord, Key, TaskUsage, bucket_key, job_hash, job_key,
};
use cherryyard_wire::state::{Change, Commit, Json};
use std::collections::{BTreeMap, BTreeSet};

/// Maximum number of buckets that are created when the format of buckets is introduced.
const MAX_INITIAL_BUCKETS: usize = 16;

/// Bucket as the mirror holds it.
#[derive(Clone, Debug, Default)]
pub(super) struct Bucket {
    /// Revision of the bucket's key.
    revision: u64,
    /// Numbers of the bucket's open and ended jobs.
    jobs: BTreeSet<u64>,
}

impl JobContainer for Bucket {
    fn jobs(&self) -> &BTreeSet<u64> {
        &self.jobs
    }
}

/// Buckets by number, with an index by job; the number of a bucket is its first hash.
pub(super) type BucketIndex = JobContainers<Bucket>;

impl BucketIndex {
    /// Returns whether the job is stored in a bucket.
    pub fn holds(&self, job: u64) -> bool {
        self.number_of(job).is_some()
    }

    /// Returns the revision of a bucket's key, 0 if there is no such bucket.
    pub fn revision(&self, start: u64) -> u64 {
        self.get(start).map_or(0, |bucket| bucket.revision)
    }

    /// Returns the first hash of the bucket that covers the given hash.
    fn start_covering(&self, hash: u64) -> Option<u64> {
        let mut at_or_below = self.all().range(..=hash);
        at_or_below.next_back().map(|(&start, _)| start)
    }
}

/// Records of jobs to be written, by the kind of key.
#[derive(Default)]
struct WritePlan {
    /// Job numbers and values of records under the jobs' own keys.
    own_records: Vec<(u64, Json)>,
    /// Jobs in buckets, by the first hash of the bucket, then job number.
    buckets: BTreeMap<u64, BTreeMap<u64, BucketItem>>,
    /// Whether any of the records is an end with a generation of the history.
    has_ends: bool,
}

impl Mirror {
    /// Returns the key of the record that contains a job or would contain it: its own key or that
    /// of a bucket.
    pub(crate) fn record_key(&self, job: u64) -> Key {
        if self.format.jobs < BUCKETS || self.has_own_record(job) {
            return Key::Job(job);
        }
        let start = self.buckets.start_covering(job_hash(job));
        Key::Bucket(start.unwrap_or(0))
    }

    fn has_own_record(&self, job: u64) -> bool {
        !self.buckets.holds(job)
            && (self.open.get(&job).is_some_and(|open| open.revision != 0)
                || self.ended.contains(job))
    }

    /// Returns the number of buckets.
    pub fn bucket_count(&self) -> usize {
        self.buckets.all().len()
    }

    pub(super) fn put_bucket(&mut self, start: u64, record: BucketRecord, revision: u64) {
        let mut jobs = BTreeSet::new();
        let mut demands: BTreeMap<u64, TaskUsage> = record.usage.into_iter().collect();
        for (job, open) in record.open {
            jobs.insert(job);
            self.buckets.assign(job, start);
            if let Err(problem) = self.put_job(job, open, revision) {
                let problem = Box::new(problem);
                self.record_errors.push(RecordError {
                    key: bucket_key(start),
                    problem: RecordProblem::Job { job, problem },
                });
            }
        }
        for (job, end, task_count, generation) in record.ended {
            jobs.insert(job);
            self.buckets.assign(job, start);
            let demand = demands.remove(&job);
            let demand = demand.map(|demand| self.task_demand(&demand));
            let ended = EndedJob {
                end,
                task_count,
                generation,
                revision: 0,
                cancelled_by: None,
            };
            self.put_end(job, ended, demand);
        }
        for job in self.buckets.replace(start, Bucket { revision, jobs }) {
            self.drop_job(job);
        }
    }

    pub(super) fn drop_bucket(&mut self, start: u64) {
        for job in self.buckets.remove(start) {
            self.drop_job(job);
        }
    }

    /// Returns whether an ended job may be left out of its bucket: its end is in the history, no
    /// page lists it (so the demand of its tasks is no longer needed), and no open job depends on
    /// it. Transactions that add dependents require the record of the history to be unchanged
    /// since before it covered the end, so the mirror holds all dependents once it has read up to
    /// the current record.
    fn can_remove_ended(&self, job: u64) -> bool {
        if self.store_revision < self.history_progress_revision || self.has_dependents(job) {
            return false;
        }
        self.ended
            .get(job)
            .is_some_and(|ended| ended.generation <= self.history_progress.archived_generation)
            && !self.is_listed_in_pages(job)
    }

    /// Returns a job of a bucket as the mirror holds it, for rewriting the bucket.
    fn current_item(&self, job: u64) -> Option<BucketItem> {
        if let Some(open) = self.open.get(&job) {
            return Some(BucketItem::Open(open.record()));
        }
        let ended = self.ended.get(job)?;
        // The demand of the job's tasks is needed only while a page lists the job.
        let demand = self.ended.demand(job);
        let demand = demand.filter(|_| self.is_listed_in_pages(job));
        Some(BucketItem::Ended {
            end: ended.end,
            task_count: ended.task_count,
            generation: ended.generation,
            demand: demand.map(|demand| self.demand_record(demand)),
        })
    }

    fn demand_record(&self, demand: TaskDemand) -> TaskUsage {
        let team = match demand.team {
            u32::MAX => String::new(),
            team => self.teams.name(team).to_string(),
        };
        TaskUsage {
            team,
            cores: demand.needs.cores,
            accelerators: demand.needs.accelerators,
            ram_gb: demand.needs.ram_gb,
        }
    }

    /// Adds the creation of a job to a transaction, with the condition that the job is absent.
    /// Returns false, and adds nothing, if the admission log is in use, if this mirror already
    /// holds the job, or if the record cannot be written. Rewriting an existing job as a new one
    /// would divide tasks again that may be running, a fault that has occurred. The
    /// transaction depends on the admission log not having been introduced in the meantime.
    pub fn add_job(
        &self,
        commit: &mut Commit,
        job: u64,
        record: JobRecord,
        config: &Config,
    ) -> bool {
        let added = !self.format.uses_admission_log
            && self.status(job).is_none()
            && self.write_jobs(commit, vec![(job, record)], config);
        if added {
            self.require(commit, Key::Format);
        }
        added
    }

    /// Adds the writes of the given records of jobs to a transaction, with the conditions that the
    /// jobs are as this mirror holds them. Returns false, and adds nothing, if a bucket is not in
    /// the mirror, a value would be too large, or the transaction would have too many changes.
    pub fn write_jobs(
        &self,
        commit: &mut Commit,
        records: Vec<(u64, JobRecord)>,
        config: &Config,
    ) -> bool {
        let WritePlan {
            own_records,
            buckets,
            has_ends,
        } = self.plan_write(records);
        let mut puts: Vec<Change> = Vec::new();
        for (job, value) in &own_records {
            if value.text().len() > config.value_bytes {
                return false;
            }
            puts.push(Change::put(job_key(*job), value.clone()));
        }
        let starts: Vec<u64> = buckets.keys().copied().collect();
        for (start, items) in buckets {
            let Some(changed) = self.bucket_puts(start, items, config.value_bytes) else {
                return false;
            };
            puts.extend(changed);
        }
        if commit.changes.len() + puts.len() > config.txn_ops {
            return false;
        }
        for (job, _) in own_records {
            self.require(commit, Key::Job(job));
            // A job must not be added under its own key after other controllers have begun
            // to add jobs to buckets.
            if self.revision(Key::Job(job)) == 0 {
                self.require(commit, Key::Format);
            }
        }
        if has_ends {
            // No end may be added to a generation after it has been closed.
            self.require(commit, Key::HistoryProgress);
        }
        for start in starts {
            self.require(commit, Key::Bucket(start));
        }
        commit.changes.extend(puts);
        true
    }

    fn plan_write(&self, records: Vec<(u64, JobRecord)>) -> WritePlan {
        let mut plan = WritePlan::default();
        let generation = self.history_progress.generation();
        for (job, mut record) in records {
            if let JobRecord::Ended {
                generation: stored, ..
            } = &mut record
                && self.format.jobs >= BUCKETS
            {
                *stored = generation;
                plan.has_ends = true;
            }
            match self.record_key(job) {
                Key::Bucket(start) => {
                    let items = plan.buckets.entry(start).or_default();
                    items.insert(job, BucketItem::of(record, generation));
                }
                _ => plan.own_records.push((job, Json::of(&record))),
            }
        }
        plan
    }

    /// Returns the changes that write a bucket with the given jobs changed, divided if it has
    /// become too large; none if the mirror does not hold the bucket, which may not have been read
    /// or created yet, or if a value would be too large.
    fn bucket_puts(
        &self,
        start: u64,
        mut items: BTreeMap<u64, BucketItem>,
        value_bytes: usize,
    ) -> Option<Vec<Change>> {
        let bucket = self.buckets.get(start)?;
        for &job in &bucket.jobs {
            if !items.contains_key(&job)
                && !self.can_remove_ended(job)
                && let Some(item) = self.current_item(job)
            {
                items.insert(job, item);
            }
        }
        let mut puts = Vec::new();
        for (start, record) in divide(start, items, value_bytes) {
            let value = Json::of(&record);
            if value.text().len() > value_bytes {
                return None;
            }
            puts.push(Change::put(bucket_key(start), value));
        }
        Some(puts)
    }

    /// Returns the transaction that introduces the format of buckets and creates as many empty
    /// buckets as it may have changes, up to a maximum. It changes the record of the formats, which
    /// transactions that add a job under its own key require to be unchanged.
    pub(crate) fn enable_buckets(&self, txn_ops: usize) -> Commit {
        let mut commit = Commit::default();
        self.require(&mut commit, Key::Format);
        let format = record::FormatRecord {
            jobs: BUCKETS,
            admission_log: self.format.uses_admission_log,
            dependencies: self.format.dependencies,
        };
        commit
            .changes
            .push(Change::set(record::FORMAT_KEY, &format));
        let count = txn_ops.saturating_sub(1).clamp(1, MAX_INITIAL_BUCKETS) as u64;
        let width = (u64::MAX / count).saturating_add(1);
        for i in 0..count {
            let start = width * i;
            commit.require(bucket_key(start), 0);
            let empty = BucketRecord::default();
            commit.changes.push(Change::set(bucket_key(start), &empty));
        }
        commit
    }
}
