//! Defines the reads and transactions that the compactor requests.

use crate::leaf::Leaf;
use cherryyard_wire::history::{HistoryProgressRecord, LeafRecord, Level, leaf_key};

/// The compactor's next request.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Step {
    /// No request: the compactor is idle, or waits for the result of the previous step.
    Nothing,
    /// A read of the first leaf of a run whose last job number is at least this one.
    Read(Level, u64),
    /// A transaction to apply.
    Write(Transaction),
}

/// Changes that are applied together if all preconditions hold.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Transaction {
    /// The keys that must be unchanged, with their revisions.
    pub preconditions: Vec<Precondition>,
    /// The leaves to put, with their keys.
    pub put: Vec<(String, LeafRecord)>,
    /// The keys to delete.
    pub delete: Vec<String>,
    /// The history's record to put, if it changes.
    pub record: Option<HistoryProgressRecord>,
}

/// A condition that a key was last written at a certain revision.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Precondition {
    /// The key in the state service.
    pub key: String,
    /// The expected revision; 0 if the key must be absent.
    pub revision: u64,
}

impl Transaction {
    /// Creates a transaction that only puts the history's record.
    pub(super) fn of_record(record: HistoryProgressRecord) -> Self {
        Self {
            record: Some(record),
            ..Self::default()
        }
    }

    /// Creates a transaction that deletes a leaf if it is unchanged.
    pub(super) fn of_deletion(level: Level, leaf: StoredLeafKey) -> Self {
        let key = leaf_key(level, leaf.last);
        Self {
            preconditions: vec![Precondition {
                key: key.clone(),
                revision: leaf.revision,
            }],
            delete: vec![key],
            ..Self::default()
        }
    }

    /// Creates a transaction that puts new leaves before an existing one if that one is
    /// unchanged.
    pub(super) fn of_new_leaves(level: Level, existing: StoredLeafKey, leaves: &[Leaf]) -> Self {
        let mut transaction = Self {
            preconditions: vec![Precondition {
                key: leaf_key(level, existing.last),
                revision: existing.revision,
            }],
            ..Self::default()
        };
        for leaf in leaves {
            if let Some(last) = leaf.jobs().last() {
                let key = leaf_key(level, last.job);
                transaction.preconditions.push(Precondition {
                    key: key.clone(),
                    revision: 0,
                });
                transaction.put.push((key, leaf.to_record()));
            }
        }
        transaction
    }
}

/// The position of a leaf within its run, and its revision.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct StoredLeafKey {
    /// The last job number that the leaf may hold.
    pub last: u64,
    /// The revision at which the leaf was written; 0 if it does not exist.
    pub revision: u64,
}

/// A leaf as it is stored.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct StoredLeaf {
    /// The last job number that the leaf may hold.
    pub last: u64,
    /// The revision at which the leaf was written; 0 if it does not exist.
    pub revision: u64,
    /// The jobs of the leaf.
    pub leaf: Leaf,
}

impl StoredLeaf {
    pub(super) fn key(&self) -> StoredLeafKey {
        StoredLeafKey {
            last: self.last,
            revision: self.revision,
        }
    }
}

/// The error that a leaf could not be read, or that its record could not be decoded.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
#[error("the leaf could not be read")]
pub struct ReadFailed;
