//! The state service's messages.

use serde::{Deserialize, Serialize};
use serde_json::value::RawValue;

/// A value as text, which is parsed only where it is needed: most changes that a watch
/// returns are known already, from the reader's own transactions.
#[derive(Clone, Debug, Serialize, Deserialize)]
#[serde(transparent)]
pub struct Json(Box<RawValue>);

impl Json {
    /// The JSON of `value`; null if it has none.
    pub fn of(value: &impl Serialize) -> Self {
        serde_json::value::to_raw_value(value).map_or_else(|_| Self::default(), Self)
    }

    /// The text.
    pub fn text(&self) -> &str {
        self.0.get()
    }

    /// Reads it as a `T`.
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

/// A key and its value.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct Pair {
    /// The key.
    pub key: String,
    /// Its value.
    #[serde(rename = "v")]
    pub value: Json,
    /// Revision of its last change.
    #[serde(rename = "stamp")]
    pub revision: u64,
}

/// One page of a range read.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct Page {
    /// Keys in order.
    pub pairs: Vec<Pair>,
    /// Whether more follow.
    #[serde(default)]
    pub truncated: bool,
    /// The revision that the page describes.
    #[serde(rename = "epoch")]
    pub store_revision: u64,
}

/// A condition: the key's revision; 0 means absent.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct When {
    /// The key.
    pub key: String,
    /// The revision it must have.
    #[serde(rename = "stamp")]
    pub revision: u64,
}

/// One change of a transaction.
#[derive(Clone, Debug, PartialEq, Serialize)]
#[serde(untagged)]
pub enum Apply {
    /// Puts a value.
    Set {
        /// The key.
        set: String,
        /// The value.
        #[serde(rename = "v")]
        value: Json,
        /// The state lease with which the key ends.
        #[serde(rename = "hold", skip_serializing_if = "Option::is_none")]
        lease_id: Option<u64>,
    },
    /// Deletes a key.
    Delete {
        /// The key.
        delete: String,
    },
}

impl Apply {
    /// A put without a lease.
    pub fn set(key: impl Into<String>, value: &impl Serialize) -> Self {
        Self::put(key, Json::of(value))
    }

    /// A put without a lease, of a value made before.
    pub fn put(key: impl Into<String>, value: Json) -> Self {
        Self::Set {
            set: key.into(),
            value,
            lease_id: None,
        }
    }

    /// A deletion.
    pub fn delete(key: impl Into<String>) -> Self {
        Self::Delete { delete: key.into() }
    }

    /// The key that changes.
    pub fn key(&self) -> &str {
        match self {
            Self::Set { set, .. } => set,
            Self::Delete { delete } => delete,
        }
    }
}

/// A transaction.
#[derive(Clone, Debug, Default, PartialEq, Serialize)]
pub struct Commit {
    /// What must hold.
    pub when: Vec<When>,
    /// What changes then.
    pub apply: Vec<Apply>,
}

impl Commit {
    /// Bytes of the values that it puts.
    pub fn bytes(&self) -> usize {
        let size = |change: &Apply| match change {
            Apply::Set { value, .. } => value.text().len(),
            Apply::Delete { .. } => 0,
        };
        self.apply.iter().map(size).sum()
    }

    /// Adds a condition unless the same key is conditioned already.
    pub fn require(&mut self, key: impl Into<String>, revision: u64) {
        let key = key.into();
        if !self.when.iter().any(|w| w.key == key) {
            self.when.push(When { key, revision });
        }
    }
}

/// The answer to a transaction or to a read of an absent key.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct StoreRevision {
    /// The revision.
    #[serde(rename = "epoch")]
    pub store_revision: u64,
}

/// A state lease.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct LeaseGrant {
    /// Its number.
    #[serde(rename = "hold")]
    pub lease_id: u64,
}

/// The response to a watch.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct WatchResponse {
    /// The revision up to which the changes go.
    #[serde(rename = "epoch")]
    pub store_revision: u64,
    /// The changes, in order.
    #[serde(default)]
    #[serde(rename = "news")]
    pub events: Vec<WatchEvent>,
}

/// One change that a watch returns.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct WatchEvent {
    /// The key put, or null.
    #[serde(default)]
    pub set: Option<String>,
    /// The key deleted, or null.
    #[serde(default)]
    pub delete: Option<String>,
    /// The value put.
    #[serde(default, rename = "v")]
    pub value: Json,
    /// The revision.
    #[serde(rename = "stamp")]
    pub revision: u64,
}
