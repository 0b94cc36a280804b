//! The history of jobs that are over.
//!
//! It stands in the state service as two sorted runs of *leaves*, outside the
//! prefix that controllers watch: a small run into which batches of ends are
//! folded, and a large one into which the small one is spilled now and then. A
//! leaf's key is the last id that it may hold, so the service's own order of keys
//! is the index: one range read with a page of 1 finds the leaf of any id, however
//! many there are, and nothing of it is kept in memory or read at a start.
//!
//! Everything here is pure: keys, codecs, the packer (what to read and write next)
//! and the finder's cache. `docs/history.md` has the ways weighed and the proofs.

mod cache;
mod compactor;
mod leaf;

pub use cache::{Answer, Cache};
pub use compactor::{Limits, Packer, Phase, Step, Write};
pub use leaf::{Leaf, Past, fold};

pub use cherryyard_wire::history::{LAST, Level, leaf_key, leaf_of_key, since_key};
