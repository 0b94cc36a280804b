//! What the compactor asks to be read and written.

use crate::leaf::Leaf;
use cherryyard_wire::history::{LeafRecord, Level, PackedRecord, leaf_key};

/// What the compactor wants to be done.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Step {
    /// Nothing, or the result of the step before.
    Nothing,
    /// A read of the first leaf of a run whose last job number is this one or a later one.
    Read(Level, u64),
    /// A transaction.
    Write(Transaction),
}

/// A transaction: its changes are applied together if all preconditions hold.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Transaction {
    /// Keys that must not have changed.
    pub preconditions: Vec<Precondition>,
    /// Leaves to put, by key.
    pub put: Vec<(String, LeafRecord)>,
    /// Keys to delete.
    pub delete: Vec<String>,
    /// The history's record to put, if it changes.
    pub record: Option<PackedRecord>,
}

/// A key that must have been written last at a certain revision.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Precondition {
    /// The key.
    pub key: String,
    /// The revision; 0 if the key must be absent.
    pub revision: u64,
}

impl Transaction {
    /// A transaction that puts the history's record alone.
    pub(super) fn of_record(record: PackedRecord) -> Self {
        Self {
            record: Some(record),
            ..Self::default()
        }
    }

    /// A transaction that deletes a leaf, unless it has changed.
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

    /// A transaction that puts new leaves before an existing one, unless that has changed.
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

/// A leaf's key within its run, and its revision.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct StoredLeafKey {
    /// The last job number that the leaf may hold.
    pub last: u64,
    /// The revision at which it was written; 0 if it is not there.
    pub revision: u64,
}

/// A leaf as it is stored.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct StoredLeaf {
    /// The last job number that it may hold.
    pub last: u64,
    /// The revision at which it was written; 0 if it is not there.
    pub revision: u64,
    /// Its jobs.
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

/// A leaf could not be read, or its record not be decoded.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
#[error("the leaf could not be read")]
pub struct ReadFailed;
