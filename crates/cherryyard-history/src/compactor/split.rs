//! Leaves that take several transactions to split.

use super::transaction::StoredLeaf;
use crate::leaf::FinishedJob;
use cherryyard_wire::history::Level;

/// A leaf that has to be split into more leaves than one transaction may put, because the
/// limits have been lowered since it was written.
///
/// Its first jobs go into leaves of their own, as many at a time as the limits allow; the
/// leaf itself is rewritten with the last of them. Until then it also holds jobs that are in
/// the leaves before it, where look-ups find them: what is left to split is what comes after
/// those.
#[derive(Clone, Debug)]
pub(super) struct LeafSplit {
    pub(super) level: Level,
    /// The leaf, without the jobs that have been found in leaves before it.
    pub(super) stored: StoredLeaf,
    /// Jobs that are to be merged into it.
    pub(super) new_jobs: Vec<FinishedJob>,
}

impl LeafSplit {
    /// The run and number of the first job that is left to split.
    pub(super) fn first_job(&self) -> Option<(Level, u64)> {
        let first = self.stored.leaf.jobs().first()?;
        Some((self.level, first.job))
    }
}
