//! Defines the phases of the compactor and the events that change them.

use super::transaction::StoredLeafKey;
use crate::leaf::FinishedJob;

/// Finished jobs that are archived together.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Batch {
    /// The generation up to which, inclusive, the batch contains all ends.
    pub generation: u64,
    /// The revision up to which the batch contains the ends in records of their own.
    pub revision: u64,
    /// The jobs, sorted by number.
    pub jobs: Vec<FinishedJob>,
}

/// The work that the compactor is doing.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Phase {
    /// No work.
    Idle,
    /// A batch of finished jobs is written to the small run, leaf by leaf; the batch keeps
    /// only the jobs that are not there yet.
    Archiving(Batch),
    /// The first leaf of the small run is read.
    SeekingLeaf,
    /// The jobs of the first leaf of the small run are written to the large run, leaf by
    /// leaf.
    Compacting {
        /// The leaf of the small run.
        source: StoredLeafKey,
        /// The jobs of that leaf that are not in the large run yet.
        remaining: Vec<FinishedJob>,
    },
}

/// An occurrence that may change the compactor's phase.
#[derive(Clone, Debug)]
pub(super) enum Event {
    /// The caller has handed over a batch.
    BatchTaken(Batch),
    /// This many of the batch's first jobs are in the small run.
    Archived(usize),
    /// The history's record includes the batch, and states whether the small run is to be
    /// compacted.
    Recorded { compact: bool },
    /// The first leaf of the small run has been read.
    LeafFound {
        source: StoredLeafKey,
        jobs: Vec<FinishedJob>,
    },
    /// This many of the leaf's first jobs are in the large run.
    Compacted(usize),
    /// The leaf is no longer in the small run.
    LeafRemoved,
    /// The small run is empty, and the history's record is updated.
    Emptied,
    /// All work is abandoned.
    Stopped,
}

impl Phase {
    /// Returns the phase that follows an event; all changes of the phase are made here. An
    /// event that does not apply to a phase leaves it unchanged.
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
