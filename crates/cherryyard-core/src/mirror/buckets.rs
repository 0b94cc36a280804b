//! Buckets: many jobs' records under one key, and the transactions that change them.
//!
//! With a key for each job, every job that is over costs a deletion, or stays for
//! ever. In a bucket its end takes the place of its record, and goes with a later
//! write of the bucket once it is in the history. Buckets divide all hashes of ids
//! among them, each from its own key's up to the next one's; a transaction that
//! adds a job depends on its bucket's revision, so no job comes twice, and a bucket
//! that has been divided or joined meanwhile takes nothing.

use super::Mirror;
use super::bucket_division::{BucketItem, divide};
use super::ended::{EndedJob, TaskDemand};
use super::job_containers::{JobContainer, JobContainers};
use super::record_error::{RecordError, RecordProblem};
use crate::Config;
use cherryyard_wire::record::{
    self, BUCKETS, BucketRecord, JobRecord, Key, TaskUsage, bucket_key, job_hash, job_key,
};
use cherryyard_wire::state::{Apply, Commit, Json};
use std::collections::{BTreeMap, BTreeSet};

/// Most buckets that the format begins with.
const MAX_FIRST_BUCKETS: usize = 16;

/// A bucket as the mirror knows it.
#[derive(Clone, Debug, Default)]
pub(super) struct Bucket {
    /// Revision of its key.
    revision: u64,
    /// Its jobs, open and over.
    jobs: BTreeSet<u64>,
}

impl JobContainer for Bucket {
    fn jobs(&self) -> &BTreeSet<u64> {
        &self.jobs
    }
}

/// Which job stands in which bucket; a bucket's number is the hash at which it starts.
pub(super) type BucketIndex = JobContainers<Bucket>;

impl BucketIndex {
    /// Whether the job stands in a bucket.
    pub fn holds(&self, job: u64) -> bool {
        self.number_of(job).is_some()
    }

    /// The revision of a bucket's key, 0 if there is no such bucket.
    pub fn revision(&self, start: u64) -> u64 {
        self.get(start).map_or(0, |bucket| bucket.revision)
    }

    /// The start of the bucket that a job of this hash belongs to.
    fn start_covering(&self, hash: u64) -> Option<u64> {
        let mut below = self.all().range(..=hash);
        below.next_back().map(|(&start, _)| start)
    }
}

/// Records to be written, by where they go.
#[derive(Default)]
struct WritePlan {
    /// Under keys of their own.
    own: Vec<(u64, Json)>,
    /// By the start of their bucket.
    buckets: BTreeMap<u64, BTreeMap<u64, BucketItem>>,
    /// Whether ends with a generation are among them.
    has_ends: bool,
}

impl Mirror {
    /// The key of the record that a job stands in, or would stand in.
    pub(crate) fn home(&self, job: u64) -> Key {
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

    /// How many buckets there are.
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

    /// Whether a job that is over may leave its bucket: it is in the history, no page
    /// names it, so nothing asks what its tasks take, and no open job waits for its end.
    /// Jobs that wait depend on the history's record as it was when its end was not in
    /// there, so they are known once all up to that record has been read.
    fn may_leave(&self, job: u64) -> bool {
        if self.store_revision < self.packed_revision || self.has_dependents(job) {
            return false;
        }
        self.ended
            .get(job)
            .is_some_and(|ended| ended.generation <= self.packed.gen_done)
            && !self.named_in_pages(job)
    }

    /// A job of a bucket as it is known, to write it anew.
    fn known_item(&self, job: u64) -> Option<BucketItem> {
        if let Some(open) = self.open.get(&job) {
            return Some(BucketItem::Open(open.record()));
        }
        let ended = self.ended.get(job)?;
        // What its tasks take matters while a page may name it.
        let demand = self.ended.demand(job);
        let demand = demand.filter(|_| self.named_in_pages(job));
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
            known => self.teams.name(known).to_string(),
        };
        TaskUsage {
            team,
            cores: demand.needs.cores,
            accelerators: demand.needs.acc,
            ram_gb: demand.needs.ram,
        }
    }

    /// Adds to a transaction what adds a new job, with the condition that it is
    /// absent. False, and nothing added, if this mirror knows it already: to write it
    /// anew, as one that is known, would divide again what may run (so it once did),
    /// or if it cannot be written. So jobs came before there were pages of admissions:
    /// it depends on their not having begun.
    pub fn add_job(
        &self,
        commit: &mut Commit,
        job: u64,
        record: JobRecord,
        config: &Config,
    ) -> bool {
        let added = !self.format.by_pages
            && self.view(job).is_none()
            && self.write_jobs(commit, vec![(job, record)], config);
        if added {
            self.require(commit, Key::Format);
        }
        added
    }

    /// Adds to a transaction what writes these jobs' records, with the conditions
    /// that they are as this mirror knows them. False, and nothing added, if a value
    /// would be too large or the transaction would have too many changes.
    pub fn write_jobs(
        &self,
        commit: &mut Commit,
        records: Vec<(u64, JobRecord)>,
        config: &Config,
    ) -> bool {
        let WritePlan {
            own,
            buckets,
            has_ends,
        } = self.plan_write(records);
        let mut puts: Vec<Apply> = Vec::new();
        for (job, value) in &own {
            if value.text().len() > config.value_bytes {
                return false;
            }
            puts.push(Apply::put(job_key(*job), value.clone()));
        }
        let starts: Vec<u64> = buckets.keys().copied().collect();
        for (start, items) in buckets {
            let Some(changed) = self.bucket_puts(start, items, config.value_bytes) else {
                return false;
            };
            puts.extend(changed);
        }
        if commit.apply.len() + puts.len() > config.txn_ops {
            return false;
        }
        for (job, _) in own {
            self.require(commit, Key::Job(job));
            // A job that is added by its own key must not come after the others
            // have begun to add jobs to buckets.
            if self.revision(Key::Job(job)) == 0 {
                self.require(commit, Key::Format);
            }
        }
        if has_ends {
            // So that a generation, once closed, gets no further ends.
            self.require(commit, Key::Packed);
        }
        for start in starts {
            self.require(commit, Key::Bucket(start));
        }
        commit.apply.extend(puts);
        true
    }

    fn plan_write(&self, records: Vec<(u64, JobRecord)>) -> WritePlan {
        let mut plan = WritePlan::default();
        let generation = self.packed.generation();
        for (job, mut record) in records {
            if let JobRecord::Ended {
                generation: stored, ..
            } = &mut record
                && self.format.jobs >= BUCKETS
            {
                *stored = generation;
                plan.has_ends = true;
            }
            match self.home(job) {
                Key::Bucket(start) => {
                    let items = plan.buckets.entry(start).or_default();
                    items.insert(job, BucketItem::of(record, generation));
                }
                _ => plan.own.push((job, Json::of(&record))),
            }
        }
        plan
    }

    /// What writes a bucket with these jobs changed, divided if it has to be; none if the
    /// bucket is not known, since it has not been read yet or made yet, or if a value would
    /// be too large.
    fn bucket_puts(
        &self,
        start: u64,
        mut items: BTreeMap<u64, BucketItem>,
        value_bytes: usize,
    ) -> Option<Vec<Apply>> {
        let bucket = self.buckets.get(start)?;
        for &job in &bucket.jobs {
            if !items.contains_key(&job)
                && !self.may_leave(job)
                && let Some(item) = self.known_item(job)
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
            puts.push(Apply::put(bucket_key(start), value));
        }
        Some(puts)
    }

    /// The transaction that begins the format of buckets, as many at once as it may
    /// have; whoever adds a job by its own key depends on its not having been made.
    pub(crate) fn begin_buckets(&self, txn_ops: usize) -> Commit {
        let mut commit = Commit::default();
        self.require(&mut commit, Key::Format);
        let format = record::FormatRecord {
            jobs: BUCKETS,
            admission_log: self.format.by_pages,
            dependencies: self.format.dependencies,
        };
        commit.apply.push(Apply::set(record::FORMAT, &format));
        let count = txn_ops.saturating_sub(1).clamp(1, MAX_FIRST_BUCKETS) as u64;
        let width = (u64::MAX / count).saturating_add(1);
        for i in 0..count {
            let start = width * i;
            commit.require(bucket_key(start), 0);
            let empty = BucketRecord::default();
            commit.apply.push(Apply::set(bucket_key(start), &empty));
        }
        commit
    }
}
