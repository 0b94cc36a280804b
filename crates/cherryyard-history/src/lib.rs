//! Archives finished jobs in the history and looks them up there.
//!
//! The history is stored in the state service as two sorted runs of *leaves*, as in a
//! log-structured merge tree, outside the key prefix that controllers watch: a small run
//! into which batches of finished jobs are archived, and a large run into which the small
//! run is compacted when it has grown. The key of a leaf is the last job number that it may
//! hold, so the state service's own order of keys is the index: a range read limited to one
//! key finds the leaf of any job, however many leaves there are, and no index is kept in
//! memory or read at startup.
//!
//! Everything in this crate is pure and does no I/O: keys, the codec of leaves ([`Leaf`]),
//! the state machine that determines what to read and write next ([`Compactor`]), and the
//! cache of leaves for look-ups ([`LeafCache`]). `docs/history.md` describes the
//! alternatives and the proofs.

mod cache;
mod compactor;
mod leaf;

pub use cache::{LeafCache, Lookup};
pub use compactor::{
    Batch, Compactor, Limits, Phase, Precondition, ReadFailed, Step, StoredLeaf, StoredLeafKey,
    Transaction,
};
pub use leaf::{FinishedJob, Leaf, LeafError};

pub use cherryyard_wire::history::{
    Level, MAX_JOB_NUMBER, key_before_leaf, last_job_of_leaf_key, leaf_key,
};
