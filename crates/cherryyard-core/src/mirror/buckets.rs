//! Buckets: many jobs' records under one key, and the transactions that change them.
//!
//! With a key for each job, every job that is over costs a deletion, or stays for
//! ever. In a bucket its end takes the place of its record, and goes with a later
//! write of the bucket once it is in the history. Buckets divide all hashes of ids
//! among them, each from its own key's up to the next one's; a transaction that
//! adds a job depends on its bucket's revision, so no job comes twice, and a bucket
//! that has been divided or joined meanwhile takes nothing.

use super::{EndedJob, Mirror};
use crate::Config;
use cherryyard_wire::record::{
    self, BUCKETS, BucketRecord, End, JobRecord, Key, TaskUsage, bucket_key, job_hash, job_key,
};
use cherryyard_wire::state::{Apply, Commit, Json};
use std::collections::{BTreeMap, BTreeSet};

/// Bytes beyond which a bucket is divided; a single job's may be larger.
const MOST: usize = 2048;

/// A bucket as the mirror knows it.
#[derive(Clone, Debug, Default)]
pub struct Bucket {
    /// Revision of its key.
    pub revision: u64,
    /// Its jobs, open and over.
    pub jobs: BTreeSet<u64>,
}

/// One job in a bucket to be written.
enum Item {
    Open(JobRecord),
    Over(End, u32, u64, Option<TaskUsage>),
}

impl Item {
    fn of(record: JobRecord, generation: u64) -> Self {
        match record {
            JobRecord::Ended {
                end,
                task_count,
                usage,
                ..
            } => Self::Over(end, task_count, generation, Some(usage)),
            open => Self::Open(open),
        }
    }

    /// About how many bytes it takes, never too few.
    fn bytes(&self) -> usize {
        match self {
            Self::Open(open) => Json::of(open).text().len() + 25,
            Self::Over(_, _, _, None) => 60,
            Self::Over(_, _, _, Some(usage)) => 160 + usage.team.len(),
        }
    }
}

impl Mirror {
    /// The key of the record that a job stands in, or would stand in.
    pub(crate) fn home(&self, job: u64) -> Key {
        if self.format < BUCKETS || self.has_own_record(job) {
            return Key::Job(job);
        }
        match self.covering(job) {
            Some(from) => Key::Bucket(from),
            None => Key::Bucket(0),
        }
    }

    fn has_own_record(&self, job: u64) -> bool {
        !self.bucket_of.contains_key(&job)
            && (self.open.get(&job).is_some_and(|o| o.revision != 0)
                || self.ended.contains_key(&job))
    }

    fn covering(&self, job: u64) -> Option<u64> {
        let mut below = self.buckets.range(..=job_hash(job));
        below.next_back().map(|(&from, _)| from)
    }

    /// How many buckets there are.
    pub fn bucket_count(&self) -> usize {
        self.buckets.len()
    }

    pub(super) fn put_bucket(&mut self, from: u64, record: BucketRecord, revision: u64) {
        let mut jobs = BTreeSet::new();
        let mut uses: BTreeMap<u64, TaskUsage> = record.usage.into_iter().collect();
        for (job, open) in record.open {
            jobs.insert(job);
            self.bucket_of.insert(job, from);
            if let Err(e) = self.put_job(job, open, revision) {
                let key = bucket_key(from);
                self.complaints.push(format!("{key}: job {job}: {e}"));
            }
        }
        for (job, end, n, generation) in record.ended {
            jobs.insert(job);
            self.bucket_of.insert(job, from);
            let uses = uses.remove(&job).map(|u| self.uses_of(&u));
            let ended = EndedJob {
                end,
                n,
                generation,
                revision: 0,
                cancelled_by: None,
            };
            self.put_end(job, ended, uses);
        }
        let new = Bucket { revision, jobs };
        let old = self.buckets.insert(from, new).unwrap_or_default();
        self.drop_gone(from, old.jobs);
    }

    pub(super) fn drop_bucket(&mut self, from: u64) {
        let old = self.buckets.remove(&from).unwrap_or_default();
        self.drop_gone(from, old.jobs);
    }

    /// Of a bucket's jobs before, those that it does not name any more and that
    /// have not gone to another bucket.
    fn drop_gone(&mut self, from: u64, before: BTreeSet<u64>) {
        for job in before {
            let named = self
                .buckets
                .get(&from)
                .is_some_and(|b| b.jobs.contains(&job));
            if !named && self.bucket_of.get(&job) == Some(&from) {
                self.bucket_of.remove(&job);
                self.drop_job(job);
            }
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
            .get(&job)
            .is_some_and(|e| e.generation <= self.packed.gen_done)
            && !self.named_in_pages(job)
    }

    fn item(&self, job: u64) -> Option<Item> {
        if let Some(open) = self.open.get(&job) {
            return Some(Item::Open(open.record()));
        }
        let ended = self.ended.get(&job)?;
        // What its tasks take matters while a page may name it.
        let uses = self.ended_uses.get(&job);
        let uses = uses
            .filter(|_| self.named_in_pages(job))
            .map(|(team, n)| TaskUsage {
                team: if *team == u32::MAX {
                    String::new()
                } else {
                    self.teams.name(*team).to_string()
                },
                cores: n.cores,
                accelerators: n.acc,
                ram_gb: n.ram,
            });
        Some(Item::Over(ended.end, ended.n, ended.generation, uses))
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
        let added = !self.by_pages
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
        let mut own: Vec<(u64, Json)> = Vec::new();
        let generation = self.packed.generation();
        let mut ends = false;
        let mut buckets: BTreeMap<u64, BTreeMap<u64, Item>> = BTreeMap::new();
        for (job, mut record) in records {
            if let JobRecord::Ended { generation: g, .. } = &mut record
                && self.format >= BUCKETS
            {
                *g = generation;
                ends = true;
            }
            match self.home(job) {
                Key::Bucket(from) => {
                    let edits = buckets.entry(from).or_default();
                    edits.insert(job, Item::of(record, generation));
                }
                _ => own.push((job, Json::of(&record))),
            }
        }
        let mut puts: Vec<Apply> = Vec::new();
        for (job, value) in &own {
            if value.text().len() > config.value_bytes {
                return false;
            }
            puts.push(Apply::put(job_key(*job), value.clone()));
        }
        let mut homes = Vec::new();
        for (from, mut items) in buckets {
            let Some(bucket) = self.buckets.get(&from) else {
                // Not read yet, or not made yet.
                return false;
            };
            for &job in &bucket.jobs {
                if !items.contains_key(&job)
                    && !self.may_leave(job)
                    && let Some(item) = self.item(job)
                {
                    items.insert(job, item);
                }
            }
            homes.push(from);
            for (from, record) in divide(from, items, config.value_bytes) {
                let value = Json::of(&record);
                if value.text().len() > config.value_bytes {
                    return false;
                }
                puts.push(Apply::put(bucket_key(from), value));
            }
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
        if ends {
            // So that a generation, once closed, gets no further ends.
            self.require(commit, Key::Packed);
        }
        for from in homes {
            self.require(commit, Key::Bucket(from));
        }
        commit.apply.extend(puts);
        true
    }

    /// The transaction that begins the format of buckets, as many at once as it may
    /// have; whoever adds a job by its own key depends on its not having been made.
    pub(crate) fn begin_buckets(&self, txn_ops: usize) -> Commit {
        let mut commit = Commit::default();
        self.require(&mut commit, Key::Format);
        let format = record::FormatRecord {
            jobs: BUCKETS,
            admission_log: self.by_pages,
            dependencies: self.dependencies,
        };
        commit.apply.push(Apply::set(record::FORMAT, &format));
        let count = txn_ops.saturating_sub(1).clamp(1, 16) as u64;
        let width = (u64::MAX / count).saturating_add(1);
        for i in 0..count {
            let from = width * i;
            commit.require(bucket_key(from), 0);
            let empty = BucketRecord::default();
            commit.apply.push(Apply::set(bucket_key(from), &empty));
        }
        commit
    }
}

/// One job on its way into a bucket: its hash, number, about how many bytes, and it.
type Sized = (u64, u64, usize, Item);

/// Divides a bucket's jobs, in the order of their hashes, into as few buckets as
/// keep below the bounds; the first keeps its key. New ones come before the one that
/// is divided, so that a reader finds its jobs in one or the other.
fn divide(from: u64, items: BTreeMap<u64, Item>, value_bytes: usize) -> Vec<(u64, BucketRecord)> {
    let mut sorted: Vec<Sized> = items
        .into_iter()
        .map(|(job, item)| (job_hash(job), job, item.bytes(), item))
        .collect();
    sorted.sort_by_key(|i| (i.0, i.1));
    let mut all = Vec::new();
    halve(
        from,
        sorted,
        MOST.min(value_bytes.saturating_sub(30)),
        &mut all,
    );
    all.reverse();
    all
}

/// Halves a run of jobs, by bytes, until each piece is small enough.
fn halve(from: u64, mut run: Vec<Sized>, most: usize, all: &mut Vec<(u64, BucketRecord)>) {
    let total: usize = run.iter().map(|i| i.2).sum();
    let mut best: Option<(usize, usize)> = None;
    let mut left = 0;
    for at in 1..run.len() {
        left += run[at - 1].2;
        // Of two with the same hash, neither can begin a bucket of its own.
        let larger = left.max(total - left);
        if run[at - 1].0 != run[at].0 && best.is_none_or(|b| larger < b.1) {
            best = Some((at, larger));
        }
    }
    if total > most
        && let Some((at, _)) = best
    {
        let right = run.split_off(at);
        let begin = right[0].0;
        halve(from, run, most, all);
        halve(begin, right, most, all);
        return;
    }
    let mut record = BucketRecord::default();
    for (_, job, _, item) in run {
        match item {
            Item::Open(open) => record.open.push((job, open)),
            Item::Over(end, n, generation, uses) => {
                record.ended.push((job, end, n, generation));
                record.usage.extend(uses.map(|u| (job, u)));
            }
        }
    }
    all.push((from, record));
}
