//! Stand-in of the state service: a store of keys with revisions, leases and transactions,
//! and a log of its changes.

use cherryyard_core::Outcome;
use cherryyard_wire::history::{LeafRecord, Level, leaf_key, leaf_of_key};
use cherryyard_wire::record::PREFIX;
use cherryyard_wire::state::{Apply, Commit, Json, Pair, WatchEvent, WatchResponse, When};
use std::collections::{BTreeMap, BTreeSet};

/// Prefix of the keys of assignments.
const ASSIGNMENTS: &str = "c/mark";
/// Most pairs of a page of keys.
const PAGE_PAIRS: usize = 1000;
/// Most bytes of a page of keys.
const PAGE_BYTES: usize = 512 * 1024;
/// What a pair takes in a page beside its key and value.
const PAIR_OVERHEAD_BYTES: usize = 40;
/// Most bytes of a transaction.
const COMMIT_BYTES: usize = 64 * 1024;
/// Conditions that a transaction may have for each change.
const CONDITIONS_PER_CHANGE: usize = 4;

/// A key's value.
#[derive(Clone, Debug)]
struct Stored {
    value: Json,
    revision: u64,
    /// The lease that it ends with.
    lease_id: Option<u64>,
}

impl Stored {
    fn pair(&self, key: &str) -> Pair {
        Pair {
            key: key.to_string(),
            value: self.value.clone(),
            revision: self.revision,
        }
    }
}

/// The state service: keys, revisions and leases.
#[derive(Debug, Default)]
pub struct StateStandIn {
    store_revision: u64,
    keys: BTreeMap<String, Stored>,
    /// Until when each lease lasts, in milliseconds.
    leases: BTreeMap<u64, f64>,
    next_lease: u64,
    /// Changes up to this revision are not told any more.
    forgotten: u64,
    changes: Vec<WatchEvent>,
    /// The largest value in bytes that each key ever had.
    largest: BTreeMap<String, usize>,
    /// Puts and deletes of assignments so far.
    pub assignment_writes: usize,
    /// All puts and deletes so far.
    pub writes: usize,
    /// Most changes that a transaction has had.
    pub most_ops: usize,
    /// Most conditions that a transaction has had.
    pub most_conditions: usize,
    /// Limits in force; none: everything is taken.
    pub limits: Option<ServiceLimits>,
    /// Transactions that were refused because they exceed the limits.
    pub malformed: usize,
}

/// What the state service takes.
#[derive(Clone, Copy, Debug)]
pub struct ServiceLimits {
    /// Largest value in bytes.
    pub value_bytes: usize,
    /// Most puts and deletes in a transaction; four times as many conditions.
    pub txn_ops: usize,
}

impl ServiceLimits {
    fn allow(&self, commit: &Commit) -> bool {
        let fits = |change: &Apply| match change {
            Apply::Set { value: v, .. } => v.text().len() <= self.value_bytes,
            Apply::Delete { .. } => true,
        };
        commit.apply.len() <= self.txn_ops
            && commit.when.len() <= CONDITIONS_PER_CHANGE * self.txn_ops
            && commit.bytes() <= COMMIT_BYTES
            && commit.apply.iter().all(fits)
    }
}

impl StateStandIn {
    /// The newest revision.
    pub fn store_revision(&self) -> u64 {
        self.store_revision
    }

    /// A key's value and revision.
    pub fn get(&self, key: &str) -> Option<(&Json, u64)> {
        let stored = self.keys.get(key)?;
        Some((&stored.value, stored.revision))
    }

    /// All keys.
    pub fn pairs(&self) -> Vec<Pair> {
        self.keys
            .iter()
            .filter(|(key, _)| key.starts_with(PREFIX))
            .map(|(key, stored)| stored.pair(key))
            .collect()
    }

    /// The first leaf of a run whose last possible id is `job` or later.
    pub fn leaf(&self, level: Level, job: u64) -> Option<(u64, u64, LeafRecord)> {
        let from = leaf_key(level, job);
        let (key, stored) = self.keys.range(from..).next()?;
        let record = stored.value.read().expect("a leaf");
        Some((leaf_of_key(level, key)?, stored.revision, record))
    }

    /// A page of the keys with this prefix after `since`: at most `most` of them and
    /// 512 KiB, and whether more follow.
    pub fn page(&self, prefix: &str, since: Option<&str>, most: usize) -> (Vec<Pair>, bool) {
        let from = since.filter(|s| *s >= prefix).unwrap_or(prefix);
        let after = self.keys.range(from.to_string()..);
        let mut after = after
            .filter(|(key, _)| since != Some(key.as_str()))
            .take_while(|(key, _)| key.starts_with(prefix));
        let (mut pairs, mut bytes) = (Vec::new(), 0);
        for (key, stored) in &mut after {
            bytes += key.len() + stored.value.text().len() + PAIR_OVERHEAD_BYTES;
            if pairs.len() == most.min(PAGE_PAIRS) || bytes > PAGE_BYTES {
                return (pairs, true);
            }
            pairs.push(stored.pair(key));
        }
        (pairs, false)
    }

    /// Puts a value that nobody is told of, before anybody runs.
    pub fn seed(&mut self, key: &str, value: &impl serde::Serialize) {
        self.store_revision += 1;
        let stored = Stored {
            value: Json::of(value),
            revision: self.store_revision,
            lease_id: None,
        };
        self.keys.insert(key.to_string(), stored);
    }

    /// Ends a lease at once.
    pub fn end_lease(&mut self, lease_id: u64) {
        if let Some(until) = self.leases.get_mut(&lease_id) {
            *until = f64::NEG_INFINITY;
        }
        self.expire(0.0);
    }

    /// Whether a watch from `since` can still be served.
    pub fn remembers(&self, since: u64) -> bool {
        self.forgotten <= since
    }

    /// What has changed after `since`.
    pub fn events(&self, since: u64) -> WatchResponse {
        let events = self
            .changes
            .iter()
            .filter(|event| event.revision > since)
            .filter(|event| {
                let key = event.set.as_ref().or(event.delete.as_ref());
                key.is_some_and(|k| k.starts_with(PREFIX))
            })
            .cloned()
            .collect();
        WatchResponse {
            store_revision: self.store_revision,
            events,
        }
    }

    /// The largest value that was ever put under a key with this prefix.
    pub fn largest(&self, prefix: &str) -> usize {
        self.largest
            .iter()
            .filter(|(k, _)| k.starts_with(prefix))
            .map(|(_, n)| *n)
            .max()
            .unwrap_or(0)
    }

    /// A new lease that lasts until `until`.
    pub fn grant_lease(&mut self, until: f64) -> u64 {
        self.next_lease += 1;
        self.leases.insert(self.next_lease, until);
        self.next_lease
    }

    /// Renews a lease; false if it is over.
    pub fn renew_lease(&mut self, lease_id: u64, until: f64) -> bool {
        let known = self.leases.get_mut(&lease_id);
        known.map(|old| *old = until).is_some()
    }

    /// Lets leases run out.
    pub fn expire(&mut self, now: f64) {
        let over: BTreeSet<u64> = self
            .leases
            .iter()
            .filter(|(_, until)| **until < now)
            .map(|(lease_id, _)| *lease_id)
            .collect();
        self.leases.retain(|lease_id, _| !over.contains(lease_id));
        let is_over = |stored: &Stored| stored.lease_id.is_some_and(|id| over.contains(&id));
        let gone: Vec<String> = self
            .keys
            .iter()
            .filter(|(_, stored)| is_over(stored))
            .map(|(key, _)| key.clone())
            .collect();
        for key in gone {
            self.store_revision += 1;
            self.drop_key(&key);
        }
    }

    fn drop_key(&mut self, key: &str) {
        if self.keys.remove(key).is_some() {
            self.changes.push(WatchEvent {
                set: None,
                delete: Some(key.to_string()),
                value: Json::default(),
                revision: self.store_revision,
            });
        }
    }

    /// Takes a controller's transaction, if it keeps within the limits.
    pub fn commit_within_limits(&mut self, commit: &Commit) -> Outcome {
        if self.limits.is_some_and(|limits| !limits.allow(commit)) {
            self.malformed += 1;
            return Outcome::Malformed;
        }
        self.commit(commit)
    }

    /// Applies a transaction, if its conditions hold.
    pub fn commit(&mut self, commit: &Commit) -> Outcome {
        self.count(commit);
        let is_unchanged = |when: &When| {
            let stored = self.keys.get(&when.key);
            stored.map_or(0, |stored| stored.revision) == when.revision
        };
        if !commit.when.iter().all(is_unchanged) {
            return Outcome::Conflict(self.store_revision);
        }
        let is_leased = |change: &Apply| match change {
            Apply::Set { lease_id, .. } => {
                lease_id.is_none_or(|lease_id| self.leases.contains_key(&lease_id))
            }
            Apply::Delete { .. } => true,
        };
        if !commit.apply.iter().all(is_leased) {
            return Outcome::NoLease;
        }
        self.store_revision += 1;
        for change in &commit.apply {
            match change {
                Apply::Set {
                    set,
                    value: v,
                    lease_id,
                } => self.set_key(set, v, *lease_id),
                Apply::Delete { delete } => self.drop_key(delete),
            }
        }
        Outcome::Applied(self.store_revision)
    }

    /// Counts what a transaction costs; those that fail cost as much.
    fn count(&mut self, commit: &Commit) {
        self.writes += commit.apply.len();
        let is_assignment = |change: &&Apply| change.key().starts_with(ASSIGNMENTS);
        self.assignment_writes += commit.apply.iter().filter(is_assignment).count();
        self.most_ops = self.most_ops.max(commit.apply.len());
        self.most_conditions = self.most_conditions.max(commit.when.len());
    }

    fn set_key(&mut self, key: &str, value: &Json, lease_id: Option<u64>) {
        let largest = self.largest.entry(key.to_string()).or_default();
        *largest = (*largest).max(value.text().len());
        let stored = Stored {
            value: value.clone(),
            revision: self.store_revision,
            lease_id,
        };
        self.keys.insert(key.to_string(), stored);
        self.changes.push(WatchEvent {
            set: Some(key.to_string()),
            delete: None,
            value: value.clone(),
            revision: self.store_revision,
        });
    }
}
