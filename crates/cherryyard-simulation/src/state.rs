//! Stand-in of the state service: a key-value store with revisions, leases and transactions,
//! and a log of its changes.

use cherryyard_core::Outcome;
use cherryyard_wire::history::{LeafRecord, Level, last_job_of_leaf_key, leaf_key};
use cherryyard_wire::record::PREFIX;
use cherryyard_wire::state::{Change, Commit, Condition, Json, Pair, WatchEvent, WatchResponse};
use std::collections::{BTreeMap, BTreeSet};

/// Prefix of the keys that hold assignments of tasks to machines.
const ASSIGNMENTS: &str = "c/mark";
/// Maximum number of pairs in a page of keys.
const MAX_PAGE_PAIRS: usize = 1000;
/// Maximum size of a page of keys, in bytes.
const MAX_PAGE_BYTES: usize = 512 * 1024;
/// Bytes that a pair takes in a page in addition to its key and value.
const PAIR_OVERHEAD_BYTES: usize = 40;
/// Maximum size of a transaction, in bytes.
const MAX_COMMIT_BYTES: usize = 64 * 1024;
/// Maximum number of conditions of a transaction, for each change that the limits allow.
const MAX_CONDITIONS_PER_CHANGE: usize = 4;

/// A stored value with its revision.
#[derive(Clone, Debug)]
struct Stored {
    value: Json,
    revision: u64,
    /// Lease whose end deletes the key; none if the key is not bound to a lease.
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

/// Stand-in of the state service.
#[derive(Debug, Default)]
pub struct StateStandIn {
    store_revision: u64,
    keys: BTreeMap<String, Stored>,
    /// Expiry time of each lease, in milliseconds.
    leases: BTreeMap<u64, f64>,
    next_lease: u64,
    /// Revision up to which changes are no longer available to watches.
    compacted_revision: u64,
    changes: Vec<WatchEvent>,
    /// Size in bytes of the largest value that each key has ever had.
    largest: BTreeMap<String, usize>,
    /// Number of puts and deletes of assignments so far.
    pub assignment_writes: usize,
    /// Number of all puts and deletes so far.
    pub writes: usize,
    /// Largest number of changes in a transaction so far.
    pub max_transaction_ops: usize,
    /// Largest number of conditions in a transaction so far.
    pub max_transaction_conditions: usize,
    /// Limits that are enforced; if none, every transaction is accepted.
    pub limits: Option<ServiceLimits>,
    /// Number of transactions that were refused because they exceeded the limits.
    pub malformed: usize,
}

/// Limits of the state service.
#[derive(Clone, Copy, Debug)]
pub struct ServiceLimits {
    /// Maximum size of a value, in bytes.
    pub value_bytes: usize,
    /// Maximum number of puts and deletes in a transaction; four times as many conditions are
    /// allowed.
    pub txn_ops: usize,
}

impl ServiceLimits {
    fn allow(&self, commit: &Commit) -> bool {
        let fits = |change: &Change| match change {
            Change::Set { value: v, .. } => v.text().len() <= self.value_bytes,
            Change::Delete { .. } => true,
        };
        commit.changes.len() <= self.txn_ops
            && commit.conditions.len() <= MAX_CONDITIONS_PER_CHANGE * self.txn_ops
            && commit.bytes() <= MAX_COMMIT_BYTES
            && commit.changes.iter().all(fits)
    }
}

impl StateStandIn {
    /// Returns the newest revision of the store.
    pub fn store_revision(&self) -> u64 {
        self.store_revision
    }

    /// Returns a key's value and revision.
    pub fn get(&self, key: &str) -> Option<(&Json, u64)> {
        let stored = self.keys.get(key)?;
        Some((&stored.value, stored.revision))
    }

    /// Returns all pairs whose keys belong to the controllers (prefix [`PREFIX`]).
    pub fn pairs(&self) -> Vec<Pair> {
        self.keys
            .iter()
            .filter(|(key, _)| key.starts_with(PREFIX))
            .map(|(key, stored)| stored.pair(key))
            .collect()
    }

    /// Returns the first leaf of a level of the history whose last possible job number is `job`
    /// or larger: that number, the leaf's revision and the leaf.
    pub fn leaf(&self, level: Level, job: u64) -> Option<(u64, u64, LeafRecord)> {
        let from = leaf_key(level, job);
        let (key, stored) = self.keys.range(from..).next()?;
        let record = stored.value.read().expect("a leaf");
        Some((last_job_of_leaf_key(level, key)?, stored.revision, record))
    }

    /// Returns a page of the pairs whose keys have this prefix and follow `since`, and whether
    /// more follow. A page holds at most `max_pairs` pairs, 1000 pairs and 512 KiB.
    pub fn page(&self, prefix: &str, since: Option<&str>, max_pairs: usize) -> (Vec<Pair>, bool) {
        let from = since.filter(|s| *s >= prefix).unwrap_or(prefix);
        let after = self.keys.range(from.to_string()..);
        let mut after = after
            .filter(|(key, _)| since != Some(key.as_str()))
            .take_while(|(key, _)| key.starts_with(prefix));
        let (mut pairs, mut bytes) = (Vec::new(), 0);
        for (key, stored) in &mut after {
            bytes += key.len() + stored.value.text().len() + PAIR_OVERHEAD_BYTES;
            if pairs.len() == max_pairs.min(MAX_PAGE_PAIRS) || bytes > MAX_PAGE_BYTES {
                return (pairs, true);
            }
            pairs.push(stored.pair(key));
        }
        (pairs, false)
    }

    /// Puts a value without an event for watches, before any controller runs.
    pub fn seed(&mut self, key: &str, value: &impl serde::Serialize) {
        self.store_revision += 1;
        let stored = Stored {
            value: Json::of(value),
            revision: self.store_revision,
            lease_id: None,
        };
        self.keys.insert(key.to_string(), stored);
    }

    /// Ends a lease at once and deletes its keys.
    pub fn end_lease(&mut self, lease_id: u64) {
        if let Some(expires_at) = self.leases.get_mut(&lease_id) {
            *expires_at = f64::NEG_INFINITY;
        }
        self.expire(0.0);
    }

    /// Returns whether the changes after revision `since` are still available to a watch.
    pub fn has_changes_since(&self, since: u64) -> bool {
        self.compacted_revision <= since
    }

    /// Returns the changes after revision `since` to the controllers' keys (prefix [`PREFIX`]).
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

    /// Returns all changes but the first `count`.
    pub fn changes_after(&self, count: usize) -> &[WatchEvent] {
        &self.changes[count..]
    }

    /// Returns the size of the largest value that any key with this prefix has ever had, in
    /// bytes.
    pub fn largest(&self, prefix: &str) -> usize {
        self.largest
            .iter()
            .filter(|(k, _)| k.starts_with(prefix))
            .map(|(_, n)| *n)
            .max()
            .unwrap_or(0)
    }

    /// Grants a lease that expires at `expires_at`, and returns its id.
    pub fn grant_lease(&mut self, expires_at: f64) -> u64 {
        self.next_lease += 1;
        self.leases.insert(self.next_lease, expires_at);
        self.next_lease
    }

    /// Renews a lease; returns false if the lease no longer exists.
    pub fn renew_lease(&mut self, lease_id: u64, expires_at: f64) -> bool {
        let lease_expiry = self.leases.get_mut(&lease_id);
        lease_expiry.map(|old| *old = expires_at).is_some()
    }

    /// Ends the leases that expired before `now`, and deletes their keys.
    pub fn expire(&mut self, now: f64) {
        let expired: BTreeSet<u64> = self
            .leases
            .iter()
            .filter(|(_, expires_at)| **expires_at < now)
            .map(|(lease_id, _)| *lease_id)
            .collect();
        self.leases
            .retain(|lease_id, _| !expired.contains(lease_id));
        let has_expired = |stored: &Stored| stored.lease_id.is_some_and(|id| expired.contains(&id));
        let expired_keys: Vec<String> = self
            .keys
            .iter()
            .filter(|(_, stored)| has_expired(stored))
            .map(|(key, _)| key.clone())
            .collect();
        for key in expired_keys {
            self.store_revision += 1;
            self.delete_key(&key);
        }
    }

    fn delete_key(&mut self, key: &str) {
        if self.keys.remove(key).is_some() {
            self.changes.push(WatchEvent {
                set: None,
                delete: Some(key.to_string()),
                value: Json::default(),
                revision: self.store_revision,
            });
        }
    }

    /// Applies a controller's transaction as [`Self::commit`] does, if it keeps within the
    /// limits.
    pub fn commit_within_limits(&mut self, commit: &Commit) -> Outcome {
        if self.limits.is_some_and(|limits| !limits.allow(commit)) {
            self.malformed += 1;
            return Outcome::Malformed;
        }
        self.commit(commit)
    }

    /// Applies a transaction if its conditions hold and the leases that it names exist.
    pub fn commit(&mut self, commit: &Commit) -> Outcome {
        self.record_cost(commit);
        let is_unchanged = |when: &Condition| {
            let stored = self.keys.get(&when.key);
            stored.map_or(0, |stored| stored.revision) == when.revision
        };
        if !commit.conditions.iter().all(is_unchanged) {
            return Outcome::Conflict(self.store_revision);
        }
        let is_leased = |change: &Change| match change {
            Change::Set { lease_id, .. } => {
                lease_id.is_none_or(|lease_id| self.leases.contains_key(&lease_id))
            }
            Change::Delete { .. } => true,
        };
        if !commit.changes.iter().all(is_leased) {
            return Outcome::NoLease;
        }
        self.store_revision += 1;
        for change in &commit.changes {
            match change {
                Change::Set {
                    set,
                    value: v,
                    lease_id,
                } => self.set_key(set, v, *lease_id),
                Change::Delete { delete } => self.delete_key(delete),
            }
        }
        Outcome::Applied(self.store_revision)
    }

    /// Counts the changes and conditions of a transaction; those of a failed transaction cost
    /// the service as much.
    fn record_cost(&mut self, commit: &Commit) {
        self.writes += commit.changes.len();
        let is_assignment = |change: &&Change| change.key().starts_with(ASSIGNMENTS);
        self.assignment_writes += commit.changes.iter().filter(is_assignment).count();
        self.max_transaction_ops = self.max_transaction_ops.max(commit.changes.len());
        self.max_transaction_conditions =
            self.max_transaction_conditions.max(commit.conditions.len());
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
