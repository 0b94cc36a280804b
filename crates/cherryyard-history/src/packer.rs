//! The packer: folds batches of ends into the small run, and spills the small run
//! into the large one. One state machine, which says what to read or write next
//! and takes how that came out.
//!
//! Every write depends on the stamps of the leaves that it changes and (added by
//! the caller) on the leader's claim, so a late one, or one by a leader before,
//! changes nothing. Every step may be repeated: folding what is there already
//! writes nothing. An end is in one more place before it leaves another, always:
//! into the small run before the record says so (`gen_done`), out of the watched
//! records after; into the large run before out of the small one.

use crate::leaf::{Leaf, Past, fold};
use cherryyard_wire::history::{LAST, LeafRecord, Level, PackedRecord, leaf_key};

/// Where the packer stands.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Phase {
    /// Nothing to do.
    Idle,
    /// A batch of ends goes into the small run, leaf by leaf.
    Folding {
        /// The generation whose ends, and those before, are in the batch.
        done: u64,
        /// The revision up to which ends in records of their own are.
        own: u64,
        /// Ends not yet folded, by number.
        rest: Vec<Past>,
    },
    /// The first leaf of the small run is looked for.
    Emptying,
    /// That leaf's jobs go into the large run, leaf by leaf.
    Spilling {
        /// Its last id, and its stamp.
        from: (u64, u64),
        /// Its jobs that are not in the large run yet.
        rest: Vec<Past>,
    },
}

/// What moves the packer from one phase to another.
#[derive(Clone, Debug)]
enum Event {
    Batch {
        done: u64,
        own: u64,
        jobs: Vec<Past>,
    },
    Folded(usize),
    Recorded {
        spill: bool,
    },
    FirstLeaf {
        from: (u64, u64),
        jobs: Vec<Past>,
    },
    Spilled(usize),
    LeafGone,
    Emptied,
    Stop,
}

impl Phase {
    /// The one place where the phase changes.
    fn after(self, event: Event) -> Self {
        let without = |mut rest: Vec<Past>, n: usize| {
            rest.drain(..n.min(rest.len()));
            rest
        };
        match (self, event) {
            (Self::Idle, Event::Batch { done, own, jobs }) => Self::Folding {
                done,
                own,
                rest: jobs,
            },
            (Self::Folding { done, own, rest }, Event::Folded(n)) => Self::Folding {
                done,
                own,
                rest: without(rest, n),
            },
            (Self::Folding { .. } | Self::Idle, Event::Recorded { spill: true }) => Self::Emptying,
            (Self::Folding { .. }, Event::Recorded { spill: false }) => Self::Idle,
            (Self::Emptying, Event::FirstLeaf { from, jobs }) => {
                Self::Spilling { from, rest: jobs }
            }
            (Self::Spilling { from, rest }, Event::Spilled(n)) => Self::Spilling {
                from,
                rest: without(rest, n),
            },
            (Self::Spilling { .. }, Event::LeafGone) => Self::Emptying,
            (Self::Emptying, Event::Emptied) => Self::Idle,
            (_, Event::Stop) => Self::Idle,
            (same, _) => same,
        }
    }
}

/// What bounds the packer's writes.
#[derive(Clone, Copy, Debug)]
pub struct Limits {
    /// Most bytes of a leaf's record.
    pub leaf_bytes: usize,
    /// Most changes in a transaction.
    pub txn_ops: usize,
    /// Jobs in the small run beyond which it is spilled.
    pub small_run: u64,
    /// Days for which ends are kept; 0: for ever.
    pub keep_days: u32,
}

/// A transaction to make.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Write {
    /// Keys and the stamps that they must have; 0: absent.
    pub when: Vec<(String, u64)>,
    /// Leaves to put.
    pub put: Vec<(String, LeafRecord)>,
    /// Keys to delete.
    pub delete: Vec<String>,
    /// The history's record to put, if it changes.
    pub record: Option<PackedRecord>,
}

/// What the packer wants.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Step {
    /// Nothing, or the answer to what it wanted before.
    Nothing,
    /// The first leaf of a run whose last id is this one or a later one.
    Read(Level, u64),
    /// A transaction.
    Write(Write),
}

/// A leaf that has to be divided into more leaves than one transaction may put, as the
/// limits have fallen since it was written. Its first jobs go into leaves of their own, as
/// many at a time as may be; the leaf itself is written anew with the last of them. Until
/// then it holds jobs that stand in the leaves before it too, which are found there: what
/// is left to divide is what comes after those.
#[derive(Clone, Debug)]
struct Division {
    level: Level,
    /// The leaf's last possible id, and its stamp.
    last: u64,
    stamp: u64,
    /// Its jobs, less those that have been found in leaves before it.
    leaf: Leaf,
    /// Jobs that are to be folded into it.
    more: Vec<Past>,
}

/// What is to be done once the transaction under way is durable.
#[derive(Clone, Debug)]
enum Then {
    Divided,
    Folded(usize),
    Spilled(usize),
    LeafGone,
    Recorded(PackedRecord),
    Emptied(PackedRecord),
}

/// The packer.
#[derive(Debug)]
pub struct Packer {
    phase: Phase,
    limits: Limits,
    /// What the history's record says, with what has come since.
    record: PackedRecord,
    /// A transaction that the last read has brought about.
    ready: Option<(Write, Then)>,
    /// What follows the transaction under way.
    then: Option<Then>,
    /// The leaf that is being divided; what comes before it is being read.
    division: Option<Division>,
    reading: bool,
    day: u32,
}

impl Division {
    /// Where what is left of it begins.
    fn first_job(&self) -> Option<(Level, u64)> {
        let first = self.leaf.jobs().first()?;
        Some((self.level, first.job))
    }
}

/// A transaction that puts leaves before the one that holds ids up to `last`.
fn put_heads(level: Level, last: u64, stamp: u64, heads: &[Leaf]) -> Write {
    let mut write = Write {
        when: vec![(leaf_key(level, last), stamp)],
        ..Write::default()
    };
    for head in heads {
        if let Some(end) = head.jobs().last() {
            let key = leaf_key(level, end.job);
            write.when.push((key.clone(), 0));
            write.put.push((key, head.record()));
        }
    }
    write
}

impl Packer {
    /// A packer that has nothing to do.
    pub fn new(limits: Limits) -> Self {
        Self {
            phase: Phase::Idle,
            limits,
            record: PackedRecord::default(),
            ready: None,
            then: None,
            division: None,
            reading: false,
            day: 0,
        }
    }

    /// Sets the bounds of a transaction, which may fall while it works.
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
        self.phase == Phase::Idle && !self.reading && self.then.is_none()
    }

    fn change(&mut self, event: Event) {
        self.phase = std::mem::replace(&mut self.phase, Phase::Idle).after(event);
    }

    /// Gives up what is under way: somebody else leads, or nobody.
    pub fn stop(&mut self) {
        self.change(Event::Stop);
        self.ready = None;
        self.then = None;
        self.division = None;
        self.reading = false;
    }

    /// Goes on from what the history's record says, if nothing is under way: a
    /// leader before may have ended while it spilled.
    pub fn resume(&mut self, record: PackedRecord) {
        if self.is_idle() {
            self.record = record;
            if record.spilling {
                self.change(Event::Recorded { spill: true });
            }
        }
    }

    /// Takes a batch: all ends of generations up to `done`, and those in records of
    /// their own up to revision `own`, that are not in the leaves.
    pub fn begin(&mut self, done: u64, own: u64, jobs: Vec<Past>, day: u32) {
        if self.is_idle() {
            self.day = day;
            let jobs = Leaf::of(jobs).jobs().to_vec();
            self.change(Event::Batch { done, own, jobs });
        }
    }

    /// What is to be done now.
    pub fn step(&mut self) -> Step {
        if self.reading || self.then.is_some() {
            return Step::Nothing;
        }
        if let Some((write, then)) = self.ready.take() {
            self.then = Some(then);
            return Step::Write(write);
        }
        let begins_at = self.division.as_ref().and_then(Division::first_job);
        if let Some((level, job)) = begins_at {
            self.reading = true;
            return Step::Read(level, job);
        }
        let step = match &self.phase {
            Phase::Idle => Step::Nothing,
            Phase::Folding { done, own, rest } => match rest.first() {
                Some(first) => Step::Read(Level::Small, first.job),
                None => {
                    let mut record = self.record;
                    record.gen_done = record.gen_done.max(*done);
                    record.own = record.own.max(*own);
                    record.spilling = record.jobs_in_runs[0] > self.limits.small_run;
                    self.then = Some(Then::Recorded(record));
                    Step::Write(Write {
                        record: Some(record),
                        ..Write::default()
                    })
                }
            },
            Phase::Emptying => Step::Read(Level::Small, 0),
            Phase::Spilling { from, rest } => match rest.first() {
                Some(first) => Step::Read(Level::Large, first.job),
                None => {
                    let key = leaf_key(Level::Small, from.0);
                    self.then = Some(Then::LeafGone);
                    Step::Write(Write {
                        when: vec![(key.clone(), from.1)],
                        delete: vec![key],
                        ..Write::default()
                    })
                }
            },
        };
        self.reading = matches!(step, Step::Read(..));
        step
    }

    /// Takes the answer to a read: the leaf's last id, its stamp and itself; none
    /// if there is no such leaf. An error has it read again.
    pub fn read(&mut self, answer: Result<Option<(u64, u64, Leaf)>, ()>) {
        if !std::mem::take(&mut self.reading) {
            return;
        }
        let Ok(found) = answer else { return };
        if let Some(division) = self.division.take() {
            self.read_before(division, found);
            return;
        }
        match self.phase.clone() {
            Phase::Folding { rest, .. } => self.fold_into(Level::Small, &rest, found),
            Phase::Spilling { rest, .. } => self.fold_into(Level::Large, &rest, found),
            Phase::Emptying => match found {
                Some((last, stamp, leaf)) => self.change(Event::FirstLeaf {
                    from: (last, stamp),
                    jobs: leaf.jobs().to_vec(),
                }),
                None => {
                    let mut record = self.record;
                    record.jobs_in_runs = [0, record.jobs_in_runs[0] + record.jobs_in_runs[1]];
                    record.spilling = false;
                    let write = Write {
                        record: Some(record),
                        ..Write::default()
                    };
                    self.ready = Some((write, Then::Emptied(record)));
                }
            },
            Phase::Idle => {}
        }
    }

    /// Prepares the transaction that folds the first of `rest` into a leaf.
    fn fold_into(&mut self, level: Level, rest: &[Past], found: Option<(u64, u64, Leaf)>) {
        // Ids beyond the last leaf's go into a new one that is open to the end.
        let (last, stamp, leaf) = found.unwrap_or((LAST, 0, Leaf::default()));
        let mut taken = rest.partition_point(|p| p.job <= last);
        let pieces = loop {
            let pieces = self.fold(&leaf, &rest[..taken]);
            if pieces.len() <= self.most_leaves() || taken <= 1 {
                break pieces;
            }
            taken = taken.div_ceil(2);
        };
        if pieces.len() > self.most_leaves() {
            let more = rest[..taken].to_vec();
            self.division = Some(Division {
                level,
                last,
                stamp,
                leaf,
                more,
            });
            return;
        }
        self.write_leaves(level, last, stamp, &pieces, taken);
    }

    /// Leaves that one transaction may put.
    fn most_leaves(&self) -> usize {
        self.limits.txn_ops.max(2)
    }

    fn fold(&self, leaf: &Leaf, more: &[Past]) -> Vec<Leaf> {
        let oldest = match self.limits.keep_days {
            0 => 0,
            days => self.day.saturating_sub(days),
        };
        fold(leaf, more, oldest, self.limits.leaf_bytes)
    }

    /// Prepares the transaction that puts these leaves in the place of one, which ends a
    /// fold of so many jobs.
    fn write_leaves(&mut self, level: Level, last: u64, stamp: u64, pieces: &[Leaf], taken: usize) {
        let folded = match level {
            Level::Small => Then::Folded(taken),
            Level::Large => Then::Spilled(taken),
        };
        let Some((tail, heads)) = pieces.split_last() else {
            // All there already: a leader before came as far as this.
            self.finish(folded);
            return;
        };
        let mut write = put_heads(level, last, stamp, heads);
        write.put.push((leaf_key(level, last), tail.record()));
        self.ready = Some((write, folded));
    }

    /// Takes the leaf that holds the first job of one that is being divided: an earlier
    /// one, or that leaf itself, of which then all that is left to divide is known.
    fn read_before(&mut self, mut division: Division, found: Option<(u64, u64, Leaf)>) {
        let Some((last, stamp, _)) = found else {
            return;
        };
        if last < division.last {
            division.leaf.drop_up_to(last);
            if division.first_job().is_some() {
                self.division = Some(division);
                return;
            }
        } else if (last, stamp) != (division.last, division.stamp) {
            // It has changed: the fold begins anew.
            return;
        }
        let Division {
            level, last, stamp, ..
        } = division;
        let pieces = self.fold(&division.leaf, &division.more);
        let most = self.most_leaves();
        if pieces.len() <= most {
            self.write_leaves(level, last, stamp, &pieces, division.more.len());
        } else {
            let write = put_heads(level, last, stamp, &pieces[..most]);
            self.ready = Some((write, Then::Divided));
        }
    }

    /// Takes how the transaction under way came out; one that was not applied, or
    /// may not have been, is prepared anew from what is there then.
    pub fn written(&mut self, applied: bool) {
        if let Some(then) = self.then.take() {
            if applied {
                self.finish(then);
            } else if matches!(then, Then::LeafGone) {
                // Deleted or changed: the leaf is looked for again.
                self.change(Event::LeafGone);
            }
        }
    }

    fn finish(&mut self, then: Then) {
        match then {
            Then::Divided => {}
            Then::Folded(taken) => {
                // Those that are there already were folded by a leader that ended
                // before it could count them.
                self.record.jobs_in_runs[0] += taken as u64;
                self.change(Event::Folded(taken));
            }
            Then::Spilled(taken) => self.change(Event::Spilled(taken)),
            Then::LeafGone => self.change(Event::LeafGone),
            Then::Recorded(record) => {
                self.record = record;
                self.change(Event::Recorded {
                    spill: record.spilling,
                });
            }
            Then::Emptied(record) => {
                self.record = record;
                self.change(Event::Emptied);
            }
        }
    }
}
