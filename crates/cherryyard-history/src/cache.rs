//! Caches recently read leaves, so that repeated look-ups of old and of unknown jobs need
//! no read of the state service.

use crate::leaf::{FinishedJob, Leaf};
use cherryyard_wire::history::Level;
use lru::LruCache;
use std::collections::BTreeSet;

/// Size that each cached leaf counts for in addition to its jobs, in entries: an empty leaf
/// takes memory too.
const LEAF_OVERHEAD: usize = 8;

/// A cached leaf, with the job numbers and the revision that its read covered.
#[derive(Clone, Debug)]
struct CachedLeaf {
    /// The first job number that the read covered; the last one is in the leaf's key.
    first: u64,
    /// The revision of the state service at which the leaf was read.
    revision: u64,
    leaf: Leaf,
}

/// The cache's answer about a job in one run.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Lookup {
    /// The job is finished.
    Finished(FinishedJob),
    /// The job is not in this run, as of this revision.
    Absent(u64),
    /// No cached leaf covers the job, or the one that does may be out of date.
    Unknown,
}

/// Recently read leaves of both runs, bounded by the number of their entries.
///
/// A job found in a leaf stays finished, however old the leaf is. The absence of a job from
/// a leaf is valid only until the history changes: see [`LeafCache::lookup`].
#[derive(Debug)]
pub struct LeafCache {
    /// Leaves by run and last job number; the least recently used is evicted first.
    leaves: LruCache<(Level, u64), CachedLeaf>,
    /// The keys of `leaves` in order, to find the leaf whose range contains a job.
    keys: BTreeSet<(Level, u64)>,
    entries: usize,
    capacity: usize,
}

impl LeafCache {
    /// Creates a cache of at most `capacity` entries; the entry of a job takes 24 bytes.
    pub fn new(capacity: usize) -> Self {
        Self {
            leaves: LruCache::unbounded(),
            keys: BTreeSet::new(),
            entries: 0,
            capacity,
        }
    }

    /// Looks a job up in one run. `changed_at` is the revision at which the history's
    /// record last changed: a leaf that was read before it may lack jobs that have been
    /// added since, so the absence of the job from that leaf proves nothing.
    pub fn lookup(&mut self, level: Level, job: u64, changed_at: u64) -> Lookup {
        let Some(&key) = self.keys.range((level, job)..=(level, u64::MAX)).next() else {
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
        self.entries += entry_count(&leaf);
        let mut added = CachedLeaf {
            first,
            revision,
            leaf,
        };
        let key = (level, last);
        if let Some(replaced) = self.leaves.pop(&key) {
            self.entries -= entry_count(&replaced.leaf);
            // A replaced read that is at least as recent and covered more of the leaf
            // remains valid for that part.
            if replaced.revision >= revision {
                added.first = added.first.min(replaced.first);
            }
        }
        self.leaves.put(key, added);
        self.keys.insert(key);
        while self.entries > self.capacity
            && let Some((key, evicted)) = self.leaves.pop_lru()
        {
            self.keys.remove(&key);
            self.entries -= entry_count(&evicted.leaf);
        }
    }

    /// Returns the number of cached entries: the jobs, and a fixed overhead for each leaf.
    pub fn len(&self) -> usize {
        self.entries
    }

    /// Returns whether the cache holds no leaf.
    pub fn is_empty(&self) -> bool {
        self.leaves.is_empty()
    }
}

fn entry_count(leaf: &Leaf) -> usize {
    leaf.jobs().len() + LEAF_OVERHEAD
}

#[cfg(test)]
mod tests;
