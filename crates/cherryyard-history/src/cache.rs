//! Recently read leaves, which make repeated look-ups of old and of unknown jobs cheap.

use crate::leaf::{FinishedJob, Leaf};
use cherryyard_wire::history::Level;
use lru::LruCache;
use std::collections::BTreeSet;

/// What a leaf costs beside its jobs, in jobs' entries: an empty one costs something too.
const LEAF_OVERHEAD: usize = 8;

/// A leaf, as it was read.
#[derive(Clone, Debug)]
struct CachedLeaf {
    /// The first job number that the read covered; the last is that of the leaf's key.
    first: u64,
    /// The revision at which it was read.
    revision: u64,
    leaf: Leaf,
}

/// What the cache knows about a job in one run.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Lookup {
    /// It is finished.
    Finished(FinishedJob),
    /// It is not in this run, as of this revision.
    Absent(u64),
    /// No leaf that could tell is cached.
    Unknown,
}

/// Recently read leaves of both runs, up to a bound on their jobs.
///
/// A job found in a leaf stays finished, however old the leaf is. That a job is *not* in
/// a leaf holds only until the history changes: see [`LeafCache::lookup`].
#[derive(Debug)]
pub struct LeafCache {
    /// By run and last job number; the least recently used is evicted first.
    leaves: LruCache<(Level, u64), CachedLeaf>,
    /// The same keys in order.
    order: BTreeSet<(Level, u64)>,
    jobs: usize,
    capacity: usize,
}

impl LeafCache {
    /// A cache of at most `capacity` jobs' entries, 24 bytes each.
    pub fn new(capacity: usize) -> Self {
        Self {
            leaves: LruCache::unbounded(),
            order: BTreeSet::new(),
            jobs: 0,
            capacity,
        }
    }

    /// What is known about a job in one run. `changed_at` is the revision at which the
    /// history last changed, that of its record: a leaf read before it may lack jobs that
    /// have been added since, so the job's absence from it proves nothing.
    pub fn lookup(&mut self, level: Level, job: u64, changed_at: u64) -> Lookup {
        let Some(&key) = self.order.range((level, job)..=(level, u64::MAX)).next() else {
            return Lookup::Unknown;
        };
        let Some(cached) = self.leaves.get(&key) else {
            return Lookup::Unknown;
        };
        match cached.leaf.find(job) {
            Some(finished) => Lookup::Finished(*finished),
            None if job >= cached.first && cached.revision >= changed_at => {
                Lookup::Absent(cached.revision)
            }
            None => Lookup::Unknown,
        }
    }

    /// Adds a leaf that covers the job numbers from `first` to `last`, read at `revision`.
    pub fn put(&mut self, level: Level, first: u64, last: u64, revision: u64, leaf: Leaf) {
        self.jobs += cost(&leaf);
        let mut added = CachedLeaf {
            first,
            revision,
            leaf,
        };
        let key = (level, last);
        if let Some(replaced) = self.leaves.pop(&key) {
            self.jobs -= cost(&replaced.leaf);
            // A read at least as recent as this one, of more of the leaf, still covers it.
            if replaced.revision >= revision {
                added.first = added.first.min(replaced.first);
            }
        }
        self.leaves.put(key, added);
        self.order.insert(key);
        while self.jobs > self.capacity
            && let Some((key, evicted)) = self.leaves.pop_lru()
        {
            self.order.remove(&key);
            self.jobs -= cost(&evicted.leaf);
        }
    }

    /// How many jobs' entries it holds, with the overhead of their leaves.
    pub fn len(&self) -> usize {
        self.jobs
    }

    /// Whether it holds no leaf.
    pub fn is_empty(&self) -> bool {
        self.leaves.is_empty()
    }
}

fn cost(leaf: &Leaf) -> usize {
    leaf.jobs().len() + LEAF_OVERHEAD
}

#[cfg(test)]
mod tests;
