//! Provides leaves, which hold finished jobs sorted by number, and their stored form.

mod codec;
mod jobs;
mod merge;

pub use codec::LeafError;
pub use jobs::{FinishedJob, Leaf};

#[cfg(test)]
mod tests;
