//! Stand-in of the state service.

use cherryyard_core::Outcome;
use cherryyard_wire::history::{LeafRecord, Level, leaf_key, leaf_of_key};
use cherryyard_wire::record::PREFIX;
use cherryyard_wire::state::{Apply, Commit, Json, Pair, WatchEvent, WatchResponse};
use std::collections::{BTreeMap, BTreeSet};

/// Keys, revisions and leases.
#[derive(Debug, Default)]
pub struct StateStandIn {
    store_revision: u64,
    keys: BTreeMap<String, (Json, u64, Option<u64>)>,
    leases: BTreeMap<u64, f64>,
    next_lease: u64,
    /// Changes up to this revision are not told any more.
    forgotten: u64,
    changes: Vec<WatchEvent>,
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
            Apply::Set { value, .. } => value.text().len() <= self.value_bytes,
            Apply::Delete { .. } => true,
        };
        commit.apply.len() <= self.txn_ops
            && commit.when.len() <= 4 * self.txn_ops
            && commit.bytes() <= 64 * 1024
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
        self.keys.get(key).map(|(v, revision, _)| (v, *revision))
    }

    /// All keys.
    pub fn pairs(&self) -> Vec<Pair> {
        self.keys
            .iter()
            .filter(|(key, _)| key.starts_with(PREFIX))
            .map(|(key, (v, revision, _))| Pair {
                key: key.clone(),
                value: v.clone(),
                revision: *revision,
            })
            .collect()
    }

    /// The first leaf of a run whose last possible id is `job` or later.
    pub fn leaf(&self, level: Level, job: u64) -> Option<(u64, u64, LeafRecord)> {
        let from = leaf_key(level, job);
        let (key, (value, revision, _)) = self.keys.range(from..).next()?;
        let record = value.read().expect("a leaf");
        Some((leaf_of_key(level, key)?, *revision, record))
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
        for (key, (v, revision, _)) in &mut after {
            bytes += key.len() + v.text().len() + 40;
            if pairs.len() == most.min(1000) || bytes > 512 * 1024 {
                return (pairs, true);
            }
            pairs.push(Pair {
                key: key.clone(),
                value: v.clone(),
                revision: *revision,
            });
        }
        (pairs, false)
    }

    /// Puts a value that nobody is told of, before anybody runs.
    pub fn seed(&mut self, key: &str, value: &impl serde::Serialize) {
        self.store_revision += 1;
        let value = (Json::of(value), self.store_revision, None);
        self.keys.insert(key.to_string(), value);
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
            .filter(|c| c.revision > since)
            .filter(|c| {
                let key = c.set.as_ref().or(c.delete.as_ref());
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
        self.leases.get_mut(&lease_id).map(|u| *u = until).is_some()
    }

    /// Lets leases run out.
    pub fn expire(&mut self, now: f64) {
        let over: BTreeSet<u64> = self
            .leases
            .iter()
            .filter(|(_, u)| **u < now)
            .map(|(h, _)| *h)
            .collect();
        self.leases.retain(|h, _| !over.contains(h));
        let gone: Vec<String> = self
            .keys
            .iter()
            .filter(|(_, (_, _, lease_id))| lease_id.is_some_and(|h| over.contains(&h)))
            .map(|(k, _)| k.clone())
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
        // Those that fail cost as much.
        self.writes += commit.apply.len();
        let assignment = |a: &&Apply| a.key().starts_with("c/mark");
        self.assignment_writes += commit.apply.iter().filter(assignment).count();
        self.most_ops = self.most_ops.max(commit.apply.len());
        self.most_conditions = self.most_conditions.max(commit.when.len());
        let unchanged =
            |key: &str, revision: u64| self.keys.get(key).map_or(0, |k| k.1) == revision;
        if !commit.when.iter().all(|w| unchanged(&w.key, w.revision)) {
            return Outcome::Conflict(self.store_revision);
        }
        for change in &commit.apply {
            if let Apply::Set {
                lease_id: Some(h), ..
            } = change
                && !self.leases.contains_key(h)
            {
                return Outcome::NoLease;
            }
        }
        self.store_revision += 1;
        for change in &commit.apply {
            match change {
                Apply::Set {
                    set,
                    value: v,
                    lease_id,
                } => {
                    let size = v.text().len();
                    let largest = self.largest.entry(set.clone()).or_default();
                    *largest = (*largest).max(size);
                    self.keys
                        .insert(set.clone(), (v.clone(), self.store_revision, *lease_id));
                    self.changes.push(WatchEvent {
                        set: Some(set.clone()),
                        delete: None,
                        value: v.clone(),
                        revision: self.store_revision,
                    });
                }
                Apply::Delete { delete } => self.drop_key(delete),
            }
        }
        Outcome::Applied(self.store_revision)
    }
}
