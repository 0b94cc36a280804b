//! Archives batches of finished jobs into the small run, and compacts the small run into
//! the large one. The compactor is a state machine that returns what to read or write next
//! ([`Compactor::step`]) and takes the result ([`Compactor::read`],
//! [`Compactor::written`]).
//!
//! Every write depends on the revisions of the leaves that it changes and, added by the
//! caller, on the leader's lease, so a delayed write, or one of a former leader, changes
//! nothing. Every step may be repeated: adding jobs that are already stored writes nothing.
//! A finished job is always stored in its next place before it is removed from the previous
//! one: it is in the small run before the history's record includes it (`archived_generation`), and
//! only then removed from the watched records; it is in the large run before it is removed
//! from the small one.

mod phase;
mod split;
mod transaction;

pub use phase::{Batch, Phase};
pub use transaction::{Precondition, ReadFailed, Step, StoredLeaf, StoredLeafKey, Transaction};

use crate::leaf::{FinishedJob, Leaf};
use cherryyard_wire::history::{HistoryProgressRecord, Level, MAX_JOB_NUMBER, leaf_key};
use phase::Event;
use split::LeafSplit;

/// Smallest limit on the number of leaves that a transaction may put: a split needs two.
const MIN_TXN_OPS: usize = 2;

/// Bounds on the compactor's writes, and the thresholds of compaction and retention.
#[derive(Clone, Copy, Debug)]
pub struct Limits {
    /// The largest size of a leaf's record, in bytes.
    pub leaf_bytes: usize,
    /// The largest number of changes in a transaction.
    pub txn_ops: usize,
    /// The number of jobs in the small run beyond which it is compacted.
    pub small_run: u64,
    /// The number of days for which finished jobs are kept; 0 means forever.
    pub keep_days: u32,
}

/// The change of state that follows when a transaction has been applied.
#[derive(Clone, Debug)]
enum Completion {
    /// The first leaves of a split are written.
    SplitAdvanced,
    /// This many of the first remaining jobs are in the small run.
    Archived(usize),
    /// This many of the first remaining jobs are in the large run.
    Compacted(usize),
    /// The compacted leaf of the small run is deleted.
    LeafRemoved,
    /// The history's record, as given, includes the archived batch.
    Recorded(HistoryProgressRecord),
    /// The history's record, as given, marks the small run as empty.
    Emptied(HistoryProgressRecord),
}

/// The pending read or transaction; there is at most one.
#[derive(Debug, Default)]
enum Operation {
    /// Nothing is pending.
    #[default]
    None,
    /// A read is in flight.
    Reading,
    /// A transaction that results from the last read is ready to be sent.
    Prepared(Transaction, Completion),
    /// A transaction is in flight.
    Writing(Completion),
}

/// The state machine that archives and compacts finished jobs.
#[derive(Debug)]
pub struct Compactor {
    phase: Phase,
    limits: Limits,
    /// The history's record as last written, plus the jobs that have been archived since.
    record: HistoryProgressRecord,
    operation: Operation,
    /// The leaf that is being split, while the leaves before it are read.
    split: Option<LeafSplit>,
    /// The day on which the current batch is archived, in days since 1970-01-01.
    day: u32,
}

impl Compactor {
    /// Creates an idle compactor.
    pub fn new(limits: Limits) -> Self {
        Self {
            phase: Phase::Idle,
            limits,
            record: HistoryProgressRecord::default(),
            operation: Operation::None,
            split: None,
            day: 0,
        }
    }

    /// Sets the bounds of a transaction, which may be lowered while the compactor works.
    pub fn set_limits(&mut self, leaf_bytes: usize, txn_ops: usize) {
        self.limits.leaf_bytes = leaf_bytes;
        self.limits.txn_ops = txn_ops;
    }

    /// Returns the current phase.
    pub fn phase(&self) -> &Phase {
        &self.phase
    }

    /// Returns whether the compactor can take a batch.
    pub fn is_idle(&self) -> bool {
        let busy = matches!(self.operation, Operation::Reading | Operation::Writing(_));
        self.phase == Phase::Idle && !busy
    }

    fn change(&mut self, event: Event) {
        self.phase = std::mem::replace(&mut self.phase, Phase::Idle).after(event);
    }

    /// Abandons all work, because another controller leads, or none does.
    pub fn stop(&mut self) {
        self.change(Event::Stopped);
        self.operation = Operation::None;
        self.split = None;
    }

    /// Resumes from the history's record, if the compactor is idle: a former leader may
    /// have stopped in the middle of a compaction.
    pub fn resume(&mut self, record: HistoryProgressRecord) {
        if self.is_idle() {
            self.record = record;
            if record.merging_runs {
                self.change(Event::Recorded { compact: true });
            }
        }
    }

    /// Takes a batch, if the compactor is idle: all ends that are not in the leaves yet, of
    /// generations up to `generation`, and of jobs with records of their own (outside of
    /// buckets) up to state revision `revision`. `day` is the current day, in days since
    /// 1970-01-01.
    pub fn begin(&mut self, generation: u64, revision: u64, jobs: Vec<FinishedJob>, day: u32) {
        if self.is_idle() {
            self.day = day;
            self.change(Event::BatchTaken(Batch {
                generation,
                revision,
                jobs: Leaf::new(jobs).jobs().to_vec(),
            }));
        }
    }

    /// Returns the next read or write to carry out.
    pub fn step(&mut self) -> Step {
        match std::mem::take(&mut self.operation) {
            Operation::None => {}
            Operation::Prepared(transaction, completion) => {
                self.operation = Operation::Writing(completion);
                return Step::Write(transaction);
            }
            under_way @ (Operation::Reading | Operation::Writing(_)) => {
                self.operation = under_way;
                return Step::Nothing;
            }
        }
        let first_to_split = self.split.as_ref().and_then(LeafSplit::first_job);
        if let Some((level, job)) = first_to_split {
            return self.start_read(level, job);
        }
        match &self.phase {
            Phase::Idle => Step::Nothing,
            Phase::Archiving(batch) => match batch.jobs.first() {
                Some(first) => self.start_read(Level::Small, first.job),
                None => {
                    let record = self.record_of_archived(batch);
                    let transaction = Transaction::of_record(record);
                    self.start_write(transaction, Completion::Recorded(record))
                }
            },
            Phase::SeekingLeaf => self.start_read(Level::Small, 0),
            Phase::Compacting { source, remaining } => match remaining.first() {
                Some(first) => self.start_read(Level::Large, first.job),
                None => {
                    let transaction = Transaction::of_deletion(Level::Small, *source);
                    self.start_write(transaction, Completion::LeafRemoved)
                }
            },
        }
    }

    fn start_read(&mut self, level: Level, job: u64) -> Step {
        self.operation = Operation::Reading;
        Step::Read(level, job)
    }

    fn start_write(&mut self, transaction: Transaction, completion: Completion) -> Step {
        self.operation = Operation::Writing(completion);
        Step::Write(transaction)
    }

    /// Returns the history's record as it is once a batch is archived.
    fn record_of_archived(&self, batch: &Batch) -> HistoryProgressRecord {
        let mut record = self.record;
        record.archived_generation = record.archived_generation.max(batch.generation);
        record.archived_revision = record.archived_revision.max(batch.revision);
        record.merging_runs = record.jobs_in_runs[0] > self.limits.small_run;
        record
    }

    /// Takes the result of a read: the leaf, or `None` if there is no such leaf. After a
    /// failure the leaf is read again.
    pub fn read(&mut self, result: Result<Option<StoredLeaf>, ReadFailed>) {
        if !matches!(self.operation, Operation::Reading) {
            return;
        }
        self.operation = Operation::None;
        let Ok(found) = result else { return };
        if let Some(split) = self.split.take() {
            self.continue_split(split, found);
            return;
        }
        match self.phase.clone() {
            Phase::Archiving(batch) => self.merge_into(Level::Small, &batch.jobs, found),
            Phase::Compacting { remaining, .. } => {
                self.merge_into(Level::Large, &remaining, found);
            }
            Phase::SeekingLeaf => match found {
                Some(stored) => self.change(Event::LeafFound {
                    source: stored.key(),
                    jobs: stored.leaf.jobs().to_vec(),
                }),
                None => self.prepare_emptied(),
            },
            Phase::Idle => {}
        }
    }

    /// Prepares the write of the record that marks the small run as empty.
    fn prepare_emptied(&mut self) {
        let mut record = self.record;
        record.jobs_in_runs = [0, record.jobs_in_runs[0] + record.jobs_in_runs[1]];
        record.merging_runs = false;
        let transaction = Transaction::of_record(record);
        self.operation = Operation::Prepared(transaction, Completion::Emptied(record));
    }

    /// Prepares the transaction that merges the first of `jobs` into a leaf: as many as
    /// belong to this leaf and fit into the transaction.
    fn merge_into(&mut self, level: Level, jobs: &[FinishedJob], found: Option<StoredLeaf>) {
        // Jobs beyond the last leaf go into a new leaf, whose range has no upper end.
        let stored = found.unwrap_or(StoredLeaf {
            last: MAX_JOB_NUMBER,
            revision: 0,
            leaf: Leaf::default(),
        });
        let mut count = jobs.partition_point(|finished| finished.job <= stored.last);
        let leaves = loop {
            let leaves = self.merged(&stored.leaf, &jobs[..count]);
            if leaves.len() <= self.max_leaves() || count <= 1 {
                break leaves;
            }
            count = count.div_ceil(2);
        };
        if leaves.len() > self.max_leaves() {
            self.split = Some(LeafSplit {
                level,
                stored,
                new_jobs: jobs[..count].to_vec(),
            });
            return;
        }
        self.replace_leaf(level, stored.key(), &leaves, count);
    }

    /// Returns the largest number of leaves that one transaction may put.
    fn max_leaves(&self) -> usize {
        self.limits.txn_ops.max(MIN_TXN_OPS)
    }

    fn merged(&self, leaf: &Leaf, jobs: &[FinishedJob]) -> Vec<Leaf> {
        let oldest_day = match self.limits.keep_days {
            0 => 0,
            days => self.day.saturating_sub(days),
        };
        leaf.merged_with(jobs, oldest_day, self.limits.leaf_bytes)
    }

    /// Prepares the transaction that replaces a leaf with these leaves, which merges
    /// `count` jobs into their run.
    fn replace_leaf(
        &mut self,
        level: Level,
        replaced: StoredLeafKey,
        leaves: &[Leaf],
        count: usize,
    ) {
        let completion = match level {
            Level::Small => Completion::Archived(count),
            Level::Large => Completion::Compacted(count),
        };
        let Some((last, others)) = leaves.split_last() else {
            // All of the jobs are stored already: a former leader wrote them before it
            // stopped.
            self.complete(completion);
            return;
        };
        let mut transaction = Transaction::of_new_leaves(level, replaced, others);
        let key = leaf_key(level, replaced.last);
        transaction.put.push((key, last.to_record()));
        self.operation = Operation::Prepared(transaction, completion);
    }

    /// Continues a split with the leaf that was found for the first job left to split: an
    /// earlier leaf, up to whose last number jobs are left out of the split, or the leaf
    /// itself, which shows that no earlier leaf holds any job that is left.
    fn continue_split(&mut self, mut split: LeafSplit, found: Option<StoredLeaf>) {
        let Some(found) = found else {
            return;
        };
        if found.last < split.stored.last {
            split.stored.leaf.remove_up_to(found.last);
            if split.first_job().is_some() {
                self.split = Some(split);
                return;
            }
        } else if found.key() != split.stored.key() {
            // The leaf has changed: the merge starts again from the stored state.
            return;
        }
        let key = split.stored.key();
        let leaves = self.merged(&split.stored.leaf, &split.new_jobs);
        let max_leaves = self.max_leaves();
        if leaves.len() <= max_leaves {
            self.replace_leaf(split.level, key, &leaves, split.new_jobs.len());
        } else {
            let first_leaves = &leaves[..max_leaves];
            let transaction = Transaction::of_new_leaves(split.level, key, first_leaves);
            self.operation = Operation::Prepared(transaction, Completion::SplitAdvanced);
        }
    }

    /// Takes the result of the transaction in flight: `applied` is `false` if the
    /// transaction was not applied, or may not have been. Such a transaction is prepared
    /// again from the state that is stored then.
    pub fn written(&mut self, applied: bool) {
        match std::mem::take(&mut self.operation) {
            Operation::Writing(completion) if applied => self.complete(completion),
            // The leaf was deleted or has changed, so the first leaf of the small run is
            // read again.
            Operation::Writing(Completion::LeafRemoved) => self.change(Event::LeafRemoved),
            Operation::Writing(_) => {}
            other => self.operation = other,
        }
    }

    fn complete(&mut self, completion: Completion) {
        match completion {
            Completion::SplitAdvanced => {}
            Completion::Archived(count) => {
                // Jobs that were stored already are counted too: a former leader wrote them
                // and stopped before it could count them.
                self.record.jobs_in_runs[0] += count as u64;
                self.change(Event::Archived(count));
            }
            Completion::Compacted(count) => self.change(Event::Compacted(count)),
            Completion::LeafRemoved => self.change(Event::LeafRemoved),
            Completion::Recorded(record) => {
                self.record = record;
                self.change(Event::Recorded {
                    compact: record.merging_runs,
                });
            }
            Completion::Emptied(record) => {
                self.record = record;
                self.change(Event::Emptied);
            }
        }
    }
}
