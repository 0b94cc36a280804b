//! Applies changes of the store to the mirror: from full reads, from watches and barriers, and from
//! this controller's own committed transactions, in any order relative to each other.
//!
//! For each key, the change with the highest revision counts. For a deleted key, this takes a
//! tombstone until the watch has passed the deletion, since an earlier put of the key may still
//! be reported.

use super::{Mirror, RecordError};
use cherryyard_wire::record::Key;
use cherryyard_wire::state::{Change, Commit, Json, Pair, WatchResponse};
use std::collections::{HashMap, HashSet};

/// State of keys besides their values: tombstones, and keys of the full read in progress.
#[derive(Clone, Debug, Default)]
pub(super) struct KeyTracking {
    /// Revisions of deletions that the watch has not reported yet, by key.
    tombstones: HashMap<Key, u64>,
    /// Keys that the full read in progress has returned so far.
    keys_in_read: HashSet<Key>,
}

impl KeyTracking {
    /// Returns whether a full read has returned keys and is not complete.
    pub fn is_reading(&self) -> bool {
        !self.keys_in_read.is_empty()
    }

    fn is_deleted_since(&self, key: Key, revision: u64) -> bool {
        let deleted = self.tombstones.get(&key);
        deleted.is_some_and(|&deleted| deleted >= revision)
    }

    fn add_tombstone(&mut self, key: Key, revision: u64) {
        let newest = self.tombstones.entry(key).or_default();
        *newest = (*newest).max(revision);
    }

    /// Drops the tombstones of deletions up to the given revision, which the watch has reported.
    fn drop_tombstones(&mut self, store_revision: u64) {
        self.tombstones
            .retain(|_, revision| *revision > store_revision);
    }
}

impl Mirror {
    /// Starts a full read.
    pub fn begin_load(&mut self) {
        self.key_tracking.keys_in_read.clear();
    }

    /// Applies one page of a full read, as if a watch had reported each of its keys. Keys that the
    /// read does not return are removed only at its end.
    pub fn apply_read_page(&mut self, pairs: &[Pair]) {
        for pair in pairs {
            self.key_tracking.keys_in_read.extend(Key::parse(&pair.key));
            self.put(&pair.key, &pair.value, pair.revision);
        }
    }

    /// Completes a full read whose first page was read at revision `store_revision`.
    pub fn end_load(&mut self, store_revision: u64) {
        let present = std::mem::take(&mut self.key_tracking.keys_in_read);
        if self.loaded && store_revision < self.store_revision {
            return;
        }
        // Keys that the read has not returned were deleted before it. If they were kept, a job
        // or assignment deleted while the watch's revision was too old (status 410) would stay
        // in the mirror for ever.
        for key in self.keys() {
            if !present.contains(&key) && self.revision(key) <= store_revision {
                self.remove_record(key);
            }
        }
        self.store_revision = self.store_revision.max(store_revision);
        if !self.loaded {
            // The first read does not show when its ended jobs ended, so recent cancellations
            // among them cannot be identified.
            self.ended.note_missed_ends();
        }
        self.loaded = true;
    }

    /// Applies the changes that a watch or a barrier has reported.
    pub fn apply_events(&mut self, events: &WatchResponse) {
        for change in &events.events {
            // A watch and a barrier may report the same change. Changes that have been applied
            // are skipped, since an old put could otherwise restore a deleted key.
            if change.revision <= self.store_revision {
                continue;
            }
            match (&change.set, &change.delete) {
                (Some(key), _) => self.put(key, &change.value, change.revision),
                (None, Some(key)) => self.remove(key, change.revision),
                (None, None) => {}
            }
        }
        self.store_revision = self.store_revision.max(events.store_revision);
        self.key_tracking.drop_tombstones(self.store_revision);
    }

    /// Applies this controller's own transaction, which was committed at revision
    /// `store_revision`.
    pub fn apply_committed(&mut self, commit: &Commit, store_revision: u64) {
        for change in &commit.changes {
            match change {
                Change::Set { set, value, .. } => self.put(set, value, store_revision),
                Change::Delete { delete } => self.remove(delete, store_revision),
            }
        }
    }

    fn put(&mut self, text: &str, value: &Json, revision: u64) {
        let Some(key) = Key::parse(text) else { return };
        if self.revision(key) >= revision || self.key_tracking.is_deleted_since(key, revision) {
            return;
        }
        if let Err(problem) = self.put_record(key, value, revision) {
            let key = text.to_string();
            self.record_errors.push(RecordError { key, problem });
        }
    }

    fn remove(&mut self, text: &str, revision: u64) {
        let Some(key) = Key::parse(text) else { return };
        if self.revision(key) >= revision {
            return;
        }
        self.remove_record(key);
        // Guards against an older put of this key that the watch has not reported yet and that
        // would restore the deleted value.
        if revision > self.store_revision {
            self.key_tracking.add_tombstone(key, revision);
        }
    }

    /// Returns the keys of all records that a full read may show to have been deleted.
    fn keys(&self) -> Vec<Key> {
        let mut keys = Vec::new();
        keys.extend(self.leader_lease.iter().map(|_| Key::Leader));
        keys.extend((self.catalog.attributes_revision != 0).then_some(Key::Attributes));
        keys.extend((self.ids_revision != 0).then_some(Key::Ids));
        keys.extend(self.submissions.keys().copied().map(Key::Submission));
        let shards = 0..self.shards.len();
        let held = shards.filter(|&shard_id| self.shards[shard_id].is_some());
        keys.extend(held.map(Key::Shard));
        let own = |job: &u64| !self.buckets.holds(*job);
        let open = self.open.keys().copied();
        let open_with_own = open
            .filter(own)
            .filter(|&job| !self.is_only_in_admission_log(job));
        keys.extend(open_with_own.map(Key::Job));
        let admission_pages = self.admission_log.pages().keys().copied();
        keys.extend(admission_pages.map(Key::AdmissionPage));
        keys.extend(self.ended.numbers().filter(own).map(Key::Job));
        keys.extend(self.buckets.all().keys().copied().map(Key::Bucket));
        for (shard, pages) in self.tasks.pages.iter().enumerate() {
            keys.extend(pages.keys().map(|&page| Key::Assignment { shard, page }));
        }
        for (team, shards) in self.grants.iter().enumerate() {
            keys.extend((0..shards.len()).map(|shard| Key::Grant { team, shard }));
        }
        keys
    }
}
