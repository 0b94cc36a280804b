//! Represents leaves whose split takes several transactions.

use super::transaction::StoredLeaf;
use crate::leaf::FinishedJob;
use cherryyard_wire::history::Level;

/// A leaf that has to be split into more leaves than one transaction may put, because the
/// limits have been lowered since it was written.
///
/// The leaf's first jobs are written to new leaves before it, as many at a time as the
/// limits allow; the leaf itself is rewritten by the last transaction. Until then it also
/// holds jobs that are in the leaves before it, where look-ups find them: what is left to
/// split are the jobs after those.
#[derive(Clone, Debug)]
pub(super) struct LeafSplit {
    pub(super) level: Level,
    /// The leaf, without the jobs that have been found in leaves before it.
    pub(super) stored: StoredLeaf,
    /// The jobs to merge into the leaf.
    pub(super) new_jobs: Vec<FinishedJob>,
}

impl LeafSplit {
    /// Returns the run and the number of the first job that is left to split.
    pub(super) fn first_job(&self) -> Option<(Level, u64)> {
        let first = self.stored.leaf.jobs().first()?;
        Some((self.level, first.job))
    }
}
