//! The compactor: archives batches of finished jobs into the small run, and compacts the
//! small run into the large one. It is a state machine that says what to read or write
//! next ([`Compactor::step`]) and is told the result ([`Compactor::read`],
//! [`Compactor::written`]).
//!
//! Every write depends on the revisions of the leaves that it changes and, added by the
//! caller, on the leader's lease, so a late one, or one of a former leader, changes nothing.
//! Every step may be repeated: adding jobs that are there already writes nothing. A finished
//! job is always in its next place before it leaves the one before: in the small run before
//! the history's record says so (`gen_done`), out of the watched records after that; in the
//! large run before it leaves the small one.

mod phase;
mod split;
mod transaction;

pub use phase::{Batch, Phase};
pub use transaction::{Precondition, ReadFailed, Step, StoredLeaf, StoredLeafKey, Transaction};

use crate::leaf::{FinishedJob, Leaf};
use cherryyard_wire::history::{LAST, Level, PackedRecord, leaf_key};
use phase::Event;
use split::LeafSplit;

/// Least number of leaves that a transaction may put: a split needs two.
const MIN_TXN_OPS: usize = 2;

/// What bounds the compactor's writes.
#[derive(Clone, Copy, Debug)]
pub struct Limits {
    /// Most bytes of a leaf's record.
    pub leaf_bytes: usize,
    /// Most changes in a transaction.
    pub txn_ops: usize,
    /// Number of jobs in the small run beyond which it is compacted.
    pub small_run: u64,
    /// Days for which finished jobs are kept; 0 means forever.
    pub keep_days: u32,
}

/// What a transaction of the compactor brings about when it is applied.
#[derive(Clone, Debug)]
enum Completion {
    /// The first leaves of a split are written.
    SplitAdvanced,
    /// So many jobs are in the small run.
    Archived(usize),
    /// So many jobs are in the large run.
    Compacted(usize),
    /// A leaf of the small run is gone.
    LeafRemoved,
    /// The history's record says that a batch is archived.
    Recorded(PackedRecord),
    /// The history's record says that the small run is empty.
    Emptied(PackedRecord),
}

/// The read or transaction at hand; there is at most one.
#[derive(Debug, Default)]
enum Operation {
    /// None.
    #[default]
    None,
    /// A read is under way.
    Reading,
    /// A transaction follows from the last read.
    Prepared(Transaction, Completion),
    /// A transaction is under way.
    Writing(Completion),
}

/// The compactor.
#[derive(Debug)]
pub struct Compactor {
    phase: Phase,
    limits: Limits,
    /// The history's record, with what has been archived since it was written.
    record: PackedRecord,
    operation: Operation,
    /// A leaf that is being split; the leaves before it are being read.
    split: Option<LeafSplit>,
    /// The day of the current batch, in days since 1970.
    day: u32,
}

impl Compactor {
    /// A compactor that has nothing to do.
    pub fn new(limits: Limits) -> Self {
        Self {
            phase: Phase::Idle,
            limits,
            record: PackedRecord::default(),
            operation: Operation::None,
            split: None,
            day: 0,
        }
    }

    /// Sets the bounds of a transaction, which may be lowered while it works.
    pub fn set_limits(&mut self, leaf_bytes: usize, txn_ops: usize) {
        self.limits.leaf_bytes = leaf_bytes;
        self.limits.txn_ops = txn_ops;
    }

    /// Where it stands.
    pub fn phase(&self) -> &Phase {
        &self.phase
    }

    /// Whether a batch may be handed to it.
    pub fn is_idle(&self) -> bool {
        let busy = matches!(self.operation, Operation::Reading | Operation::Writing(_));
        self.phase == Phase::Idle && !busy
    }

    fn change(&mut self, event: Event) {
        self.phase = std::mem::replace(&mut self.phase, Phase::Idle).after(event);
    }

    /// Gives up what is under way: another controller leads, or none does.
    pub fn stop(&mut self) {
        self.change(Event::Stopped);
        self.operation = Operation::None;
        self.split = None;
    }

    /// Resumes from the history's record, if nothing is under way: a former leader may
    /// have stopped in the middle of a compaction.
    pub fn resume(&mut self, record: PackedRecord) {
        if self.is_idle() {
            self.record = record;
            if record.spilling {
                self.change(Event::Recorded { compact: true });
            }
        }
    }

    /// Takes a batch, if nothing is under way: all ends of generations up to `generation`,
    /// and those in records of their own up to `revision`, that are not in the leaves yet.
    /// `day` is the current one, in days since 1970.
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

    /// What is to be done now.
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

    /// The history's record once a batch is archived.
    fn record_of_archived(&self, batch: &Batch) -> PackedRecord {
        let mut record = self.record;
        record.gen_done = record.gen_done.max(batch.generation);
        record.own = record.own.max(batch.revision);
        record.spilling = record.jobs_in_runs[0] > self.limits.small_run;
        record
    }

    /// Takes the result of a read: the leaf, or none if there is no such leaf. After a
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

    /// Prepares the record that says that the small run is empty.
    fn prepare_emptied(&mut self) {
        let mut record = self.record;
        record.jobs_in_runs = [0, record.jobs_in_runs[0] + record.jobs_in_runs[1]];
        record.spilling = false;
        let transaction = Transaction::of_record(record);
        self.operation = Operation::Prepared(transaction, Completion::Emptied(record));
    }

    /// Prepares the transaction that merges the first of `jobs` into a leaf: as many as
    /// belong there and fit into the transaction.
    fn merge_into(&mut self, level: Level, jobs: &[FinishedJob], found: Option<StoredLeaf>) {
        // Jobs after the last leaf go into a new one that is open to the end.
        let stored = found.unwrap_or(StoredLeaf {
            last: LAST,
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

    /// How many leaves one transaction may put.
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

    /// Prepares the transaction that puts these leaves in the place of one, which merges
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
            // All of them are there already: a former leader came as far as this.
            self.complete(completion);
            return;
        };
        let mut transaction = Transaction::of_new_leaves(level, replaced, others);
        let key = leaf_key(level, replaced.last);
        transaction.put.push((key, last.to_record()));
        self.operation = Operation::Prepared(transaction, completion);
    }

    /// Takes the leaf that holds the first job of one that is being split: an earlier
    /// leaf, or that leaf itself, which shows that what is left to split is known.
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
            // It has changed: the merge begins anew.
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

    /// Takes the result of the transaction under way. One that was not applied, or may not
    /// have been, is prepared anew from what is stored then.
    pub fn written(&mut self, applied: bool) {
        match std::mem::take(&mut self.operation) {
            Operation::Writing(completion) if applied => self.complete(completion),
            // The leaf was deleted or has changed: it is looked for again.
            Operation::Writing(Completion::LeafRemoved) => self.change(Event::LeafRemoved),
            Operation::Writing(_) => {}
            other => self.operation = other,
        }
    }

    fn complete(&mut self, completion: Completion) {
        match completion {
            Completion::SplitAdvanced => {}
            Completion::Archived(count) => {
                // Jobs that are there already were written by a leader that stopped
                // before it could count them.
                self.record.jobs_in_runs[0] += count as u64;
                self.change(Event::Archived(count));
            }
            Completion::Compacted(count) => self.change(Event::Compacted(count)),
            Completion::LeafRemoved => self.change(Event::LeafRemoved),
            Completion::Recorded(record) => {
                self.record = record;
                self.change(Event::Recorded {
                    compact: record.spilling,
                });
            }
            Completion::Emptied(record) => {
                self.record = record;
                self.change(Event::Emptied);
            }
        }
    }
}
