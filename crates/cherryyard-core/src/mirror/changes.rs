//! How changes of the store come into the mirror: full reads, watch events, and our own
//! answered transactions, in any order between these.
//!
//! Each key keeps the change with the highest revision. For a deleted key that needs a
//! tombstone until the watch has passed the deletion, since an earlier put of the key may
//! still be on its way.

use super::{Mirror, RecordError};
use cherryyard_wire::record::Key;
use cherryyard_wire::state::{Apply, Commit, Json, Pair, WatchResponse};
use std::collections::{HashMap, HashSet};

/// What is remembered of keys beside their values.
#[derive(Clone, Debug, Default)]
pub(super) struct SeenKeys {
    /// Revisions of deletions that the watch has not reported yet.
    tombstones: HashMap<Key, u64>,
    /// Keys that a full read under way has shown.
    loading: HashSet<Key>,
}

impl SeenKeys {
    fn is_deleted_since(&self, key: Key, revision: u64) -> bool {
        let deleted = self.tombstones.get(&key);
        deleted.is_some_and(|&deleted| deleted >= revision)
    }

    fn add_tombstone(&mut self, key: Key, revision: u64) {
        let kept = self.tombstones.entry(key).or_default();
        *kept = (*kept).max(revision);
    }

    /// Drops tombstones of deletions that the watch has reported by now.
    fn drop_tombstones(&mut self, store_revision: u64) {
        self.tombstones
            .retain(|_, revision| *revision > store_revision);
    }
}

impl Mirror {
    /// Begins a full read.
    pub fn begin_load(&mut self) {
        self.seen.loading.clear();
    }

    /// Takes one page of a full read. Each key counts as if a watch had reported it; what
    /// the read lacks, and that nothing is missing, shows at its end.
    pub fn load_some(&mut self, pairs: &[Pair]) {
        for pair in pairs {
            self.seen.loading.extend(Key::parse(&pair.key));
            self.put(&pair.key, &pair.value, pair.revision);
        }
    }

    /// Ends a full read whose first page described revision `store_revision`.
    pub fn end_load(&mut self, store_revision: u64) {
        let present = std::mem::take(&mut self.seen.loading);
        if self.loaded && store_revision < self.store_revision {
            return;
        }
        // What the read lacks was deleted before it: without this, a job or
        // assignment deleted while the watch was too old (410) would live on here.
        for key in self.keys() {
            if !present.contains(&key) && self.revision(key) <= store_revision {
                self.forget(key);
            }
        }
        self.store_revision = self.store_revision.max(store_revision);
        if !self.loaded {
            // Of the jobs that the first read shows to be over, nobody knows since when.
            self.ended.note_gap();
        }
        self.loaded = true;
    }

    /// Takes the changes that a watch or a barrier has reported.
    pub fn events(&mut self, events: &WatchResponse) {
        for change in &events.events {
            // A watch and a barrier may report the same change; what has been
            // seen is skipped, or an old put could bring back a deleted key.
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
        self.seen.drop_tombstones(self.store_revision);
    }

    /// Takes our own transaction, answered with revision `store_revision`.
    pub fn committed(&mut self, commit: &Commit, store_revision: u64) {
        for change in &commit.apply {
            match change {
                Apply::Set { set, value, .. } => self.put(set, value, store_revision),
                Apply::Delete { delete } => self.remove(delete, store_revision),
            }
        }
    }

    fn put(&mut self, text: &str, value: &Json, revision: u64) {
        let Some(key) = Key::parse(text) else { return };
        if self.revision(key) >= revision || self.seen.is_deleted_since(key, revision) {
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
        self.forget(key);
        // Guards against an older put of this key that the watch has yet to
        // report: it would bring the deleted value back.
        if revision > self.store_revision {
            self.seen.add_tombstone(key, revision);
        }
    }

    /// The keys of all records that a full read may show to be deleted.
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
        let open_with_own = open.filter(own).filter(|&job| !self.in_page(job));
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
