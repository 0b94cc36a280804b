//! The phases of the compactor, and what moves it from one to another.

use super::transaction::StoredLeafKey;
use crate::leaf::FinishedJob;

/// Finished jobs that are archived together.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Batch {
    /// The generation whose ends, and those of all before, are in the batch.
    pub generation: u64,
    /// The revision up to which ends in records of their own are in the batch.
    pub revision: u64,
    /// The jobs, sorted by number.
    pub jobs: Vec<FinishedJob>,
}

/// Where the compactor stands.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Phase {
    /// Nothing to do.
    Idle,
    /// A batch of finished jobs goes into the small run, leaf by leaf; its jobs are those
    /// that are not there yet.
    Archiving(Batch),
    /// The first leaf of the small run is looked for.
    SeekingLeaf,
    /// That leaf's jobs go into the large run, leaf by leaf.
    Compacting {
        /// The leaf of the small run.
        source: StoredLeafKey,
        /// Its jobs that are not in the large run yet.
        remaining: Vec<FinishedJob>,
    },
}

/// What moves the compactor from one phase to another.
#[derive(Clone, Debug)]
pub(super) enum Event {
    /// A batch has been handed over.
    BatchTaken(Batch),
    /// So many of the batch's first jobs are in the small run.
    Archived(usize),
    /// The history's record says that the batch is archived, and whether the small run is
    /// to be compacted.
    Recorded { compact: bool },
    /// The first leaf of the small run has been read.
    LeafFound {
        source: StoredLeafKey,
        jobs: Vec<FinishedJob>,
    },
    /// So many of the leaf's first jobs are in the large run.
    Compacted(usize),
    /// The leaf is no longer in the small run.
    LeafRemoved,
    /// The small run is empty, and the history's record says so.
    Emptied,
    /// Whatever is under way is given up.
    Stopped,
}

impl Phase {
    /// The phase that follows: the one place where it changes. An event that does not
    /// belong to a phase leaves it as it is.
    pub(super) fn after(self, event: Event) -> Self {
        match (self, event) {
            (_, Event::Stopped) => Self::Idle,
            (Self::Idle, Event::BatchTaken(batch)) => Self::Archiving(batch),
            (Self::Archiving(mut batch), Event::Archived(count)) => {
                remove_first(&mut batch.jobs, count);
                Self::Archiving(batch)
            }
            (Self::Archiving(_) | Self::Idle, Event::Recorded { compact: true }) => {
                Self::SeekingLeaf
            }
            (Self::Archiving(_), Event::Recorded { compact: false }) => Self::Idle,
            (Self::SeekingLeaf, Event::LeafFound { source, jobs }) => Self::Compacting {
                source,
                remaining: jobs,
            },
            (
                Self::Compacting {
                    source,
                    mut remaining,
                },
                Event::Compacted(count),
            ) => {
                remove_first(&mut remaining, count);
                Self::Compacting { source, remaining }
            }
            (Self::Compacting { .. }, Event::LeafRemoved) => Self::SeekingLeaf,
            (Self::SeekingLeaf, Event::Emptied) => Self::Idle,
            (phase, _) => phase,
        }
    }
}

fn remove_first(jobs: &mut Vec<FinishedJob>, count: usize) {
    jobs.drain(..count.min(jobs.len()));
}
