//! Leaves lately read, so that polls of old jobs and of unknown ones cost little.

use crate::leaf::{Leaf, Past};
use cherryyard_wire::history::Level;
use lru::LruCache;
use std::collections::BTreeSet;

/// A leaf as it was read.
#[derive(Clone, Debug)]
struct Read {
    /// The ids that it covers: from here to the last of its key.
    from: u64,
    /// The revision that it was read at.
    epoch: u64,
    leaf: Leaf,
}

/// What the cache says of a job.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Answer {
    /// It is over.
    Over(Past),
    /// It is not in this run, as of this revision.
    Absent(u64),
    /// Its leaf is not here.
    Unknown,
}

/// Leaves lately read, of both runs, within a bound of jobs.
///
/// A job found in a leaf is over for ever, however old the leaf. That a job is
/// *not* in a leaf holds only while nothing has moved since it was read: see
/// [`Cache::look`].
#[derive(Debug)]
pub struct Cache {
    /// By run and last id, the least recently used first to go.
    leaves: LruCache<(Level, u64), Read>,
    /// The same keys in order.
    order: BTreeSet<(Level, u64)>,
    jobs: usize,
    most: usize,
}

impl Cache {
    /// A cache of at most `most` jobs' entries, 24 bytes each.
    pub fn new(most: usize) -> Self {
        Self {
            leaves: LruCache::unbounded(),
            order: BTreeSet::new(),
            jobs: 0,
            most,
        }
    }

    /// What is known of a job in one run. `moved` is the revision at which the
    /// history last moved (its record's stamp): a leaf read before it may lack what
    /// has come into it since, so its silence tells nothing.
    pub fn look(&mut self, level: Level, job: u64, moved: u64) -> Answer {
        let Some(&key) = self.order.range((level, job)..=(level, u64::MAX)).next() else {
            return Answer::Unknown;
        };
        let Some(read) = self.leaves.get(&key) else {
            return Answer::Unknown;
        };
        match read.leaf.find(job) {
            Some(past) => Answer::Over(*past),
            None if job >= read.from && read.epoch >= moved => Answer::Absent(read.epoch),
            None => Answer::Unknown,
        }
    }

    /// Takes a leaf that covers the ids from `from` to `last`, read at `epoch`.
    pub fn put(&mut self, level: Level, from: u64, last: u64, epoch: u64, leaf: Leaf) {
        // An empty leaf costs something too.
        let size = |leaf: &Leaf| leaf.jobs().len() + 8;
        self.jobs += size(&leaf);
        let mut read = Read { from, epoch, leaf };
        let key = (level, last);
        if let Some(before) = self.leaves.pop(&key) {
            self.jobs -= size(&before.leaf);
            // What covered more, as late as this one, still does.
            if before.epoch >= epoch {
                read.from = read.from.min(before.from);
            }
        }
        self.leaves.put(key, read);
        self.order.insert(key);
        while self.jobs > self.most
            && let Some((key, gone)) = self.leaves.pop_lru()
        {
            self.order.remove(&key);
            self.jobs -= size(&gone.leaf);
        }
    }

    /// How many jobs' entries it holds.
    pub fn len(&self) -> usize {
        self.jobs
    }

    /// Whether it holds nothing.
    pub fn is_empty(&self) -> bool {
        self.leaves.is_empty()
    }
}

#[cfg(test)]
mod tests;
