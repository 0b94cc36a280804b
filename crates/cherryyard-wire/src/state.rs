//! Messages of the state service, a key-value store with revisions, transactions, watches and
//! leases.

use serde::{Deserialize, Serialize};
use serde_json::value::RawValue;

/// Value in JSON, kept as text and parsed only on demand: most changes that a watch returns are
/// already known to the reader, from its own transactions.
#[derive(Clone, Debug, Serialize, Deserialize)]
#[serde(transparent)]
pub struct Json(Box<RawValue>);

impl Json {
    /// Serializes `value`; null if it cannot be represented in JSON.
    pub fn of(value: &impl Serialize) -> Self {
        serde_json::value::to_raw_value(value).map_or_else(|_| Self::default(), Self)
    }

    /// Returns the JSON text.
    pub fn text(&self) -> &str {
        self.0.get()
    }

    /// Parses the JSON as a `T`.
    pub fn read<T: serde::de::DeserializeOwned>(&self) -> Result<T, String> {
        serde_json::from_str(self.text()).map_err(|e| e.to_string())
    }
}

impl Default for Json {
    fn default() -> Self {
        Self(RawValue::NULL.to_owned())
    }
}

impl PartialEq for Json {
    fn eq(&self, other: &Self) -> bool {
        self.text() == other.text()
    }
}

/// Key with its value.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct Pair {
    /// Name of the key.
    pub key: String,
    /// Value of the key.
    #[serde(rename = "v")]
    pub value: Json,
    /// Revision of the key's last change.
    #[serde(rename = "stamp")]
    pub revision: u64,
}

/// Page of a range read.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct Page {
    /// Keys with their values, sorted by key.
    pub pairs: Vec<Pair>,
    /// Whether further pages follow.
    #[serde(default)]
    pub truncated: bool,
    /// Revision of the state that the page shows.
    #[serde(rename = "epoch")]
    pub store_revision: u64,
}

/// Condition of a transaction on the revision of a key.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Condition {
    /// Name of the key.
    pub key: String,
    /// Revision of the last change that the key must have; 0: the key must be absent.
    #[serde(rename = "stamp")]
    pub revision: u64,
}

/// Change of a transaction.
#[derive(Clone, Debug, PartialEq, Serialize)]
#[serde(untagged)]
pub enum Change {
    /// Put of a value.
    Set {
        /// Key that is put.
        set: String,
        /// Value that is put.
        #[serde(rename = "v")]
        value: Json,
        /// Lease of the state service; the key is deleted when that lease ends.
        #[serde(rename = "hold", skip_serializing_if = "Option::is_none")]
        lease_id: Option<u64>,
    },
    /// Deletion of a key.
    Delete {
        /// Key that is deleted.
        delete: String,
    },
}

impl Change {
    /// Returns a put without a lease.
    pub fn set(key: impl Into<String>, value: &impl Serialize) -> Self {
        Self::put(key, Json::of(value))
    }

    /// Returns a put without a lease, of a value that is already serialized.
    pub fn put(key: impl Into<String>, value: Json) -> Self {
        Self::Set {
            set: key.into(),
            value,
            lease_id: None,
        }
    }

    /// Returns a deletion.
    pub fn delete(key: impl Into<String>) -> Self {
        Self::Delete { delete: key.into() }
    }

    /// Returns the key that is changed.
    pub fn key(&self) -> &str {
        match self {
            Self::Set { set, .. } => set,
            Self::Delete { delete } => delete,
        }
    }
}

/// Transaction: changes that are applied together if all conditions are met.
#[derive(Clone, Debug, Default, PartialEq, Serialize)]
pub struct Commit {
    /// Conditions, all of which must be met for the changes to be applied.
    #[serde(rename = "when")]
    pub conditions: Vec<Condition>,
    /// Changes, which are applied all or not at all.
    #[serde(rename = "apply")]
    pub changes: Vec<Change>,
}

impl Commit {
    /// Returns the total size of the values that are put, in bytes.
    pub fn bytes(&self) -> usize {
        let size = |change: &Change| match change {
            Change::Set { value, .. } => value.text().len(),
            Change::Delete { .. } => 0,
        };
        self.changes.iter().map(size).sum()
    }

    /// Adds a condition, unless there is already one for the same key.
    pub fn require(&mut self, key: impl Into<String>, revision: u64) {
        let key = key.into();
        if !self.conditions.iter().any(|w| w.key == key) {
            self.conditions.push(Condition { key, revision });
        }
    }
}

/// Response to a transaction or to a read of an absent key.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct StoreRevision {
    /// Revision of the state.
    #[serde(rename = "epoch")]
    pub store_revision: u64,
}

/// Lease that the state service has granted.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct LeaseGrant {
    /// Number of the lease.
    #[serde(rename = "hold")]
    pub lease_id: u64,
}

/// Response to a watch.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct WatchResponse {
    /// Revision up to which the changes are included.
    #[serde(rename = "epoch")]
    pub store_revision: u64,
    /// Changes, in the order in which they were made.
    #[serde(default)]
    #[serde(rename = "news")]
    pub events: Vec<WatchEvent>,
}

/// Change that a watch returns.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct WatchEvent {
    /// Key that was put; null for a deletion.
    #[serde(default)]
    pub set: Option<String>,
    /// Key that was deleted; null for a put.
    #[serde(default)]
    pub delete: Option<String>,
    /// Value that was put.
    #[serde(default, rename = "v")]
    pub value: Json,
    /// Revision of the change.
    #[serde(rename = "stamp")]
    pub revision: u64,
}
