//! Limits of the state service: checks that transactions keep within them, and lowers them when
//! the service refuses a transaction as too large or refuses a request as one too many.
//!
//! Every writer plans its transactions within the limits of [`Config`]. The limits on values and
//! on the number of changes are the smaller of those in force and those announced for later. If
//! the service refuses a transaction as malformed nevertheless, the limits are lowered below the
//! sizes in that transaction, so that its writer plans a smaller one. The changes are then split
//! among several transactions, wait, or are refused, and the same transaction is never sent again
//! unchanged.

use crate::controller::Controller;
use crate::{Config, Millis};
use cherryyard_wire::state::{Change, Commit};

/// Number of conditions that a transaction may have for each change that it may have.
pub const CONDITIONS_PER_CHANGE: usize = 4;
/// Largest size of a transaction with its conditions, in bytes.
pub const MAX_TRANSACTION: usize = 64 * 1024;
/// Lower bound of the limit on the size of a value: a service with a smaller limit cannot be used.
const MIN_VALUE_BYTES: usize = 768;
/// Lower bound of the limit on the number of changes in a transaction: a service with a smaller
/// limit cannot be used.
const MIN_TXN_OPS: usize = 2;
/// Approximate size of a condition or a change without its key and value, in bytes.
const OVERHEAD_BYTES: usize = 45;

/// A limit of the state service that a transaction exceeds.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
pub enum LimitExceeded {
    /// A value in the transaction is too large.
    #[error("the value of key {key} has {bytes} bytes, at most {limit} are allowed")]
    Value {
        /// Key of the largest value.
        key: String,
        /// Size of the largest value in bytes.
        bytes: usize,
        /// Largest size that is allowed, in bytes.
        limit: usize,
    },
    /// The transaction has too many changes.
    #[error("the transaction has {count} changes, at most {limit} are allowed")]
    Changes {
        /// Number of changes in the transaction.
        count: usize,
        /// Largest number of changes that is allowed.
        limit: usize,
    },
    /// The transaction has too many conditions.
    #[error("the transaction has {count} conditions, at most {limit} are allowed")]
    Conditions {
        /// Number of conditions in the transaction.
        count: usize,
        /// Largest number of conditions that is allowed.
        limit: usize,
    },
    /// The transaction as a whole is too large.
    #[error("the transaction has about {bytes} bytes, at most {MAX_TRANSACTION} are allowed")]
    Whole {
        /// Approximate size of the transaction in bytes.
        bytes: usize,
    },
}

/// Returns the size in bytes of the largest value that a transaction sets, and its key.
fn largest_value(commit: &Commit) -> Option<(usize, &str)> {
    let sizes = commit.changes.iter().filter_map(|change| match change {
        Change::Set { set, value, .. } => Some((value.text().len(), set.as_str())),
        Change::Delete { .. } => None,
    });
    sizes.max_by_key(|size| size.0)
}

/// Returns the approximate size of a transaction in bytes.
fn approximate_bytes(commit: &Commit) -> usize {
    let conditions = commit.conditions.iter();
    let conditions = conditions.map(|condition| condition.key.len() + OVERHEAD_BYTES);
    let changes = commit.changes.iter();
    let changes = changes.map(|change| change.key().len() + OVERHEAD_BYTES);
    commit.bytes() + conditions.sum::<usize>() + changes.sum::<usize>()
}

impl Config {
    /// Checks that a transaction keeps within the limits.
    pub fn check_commit(&self, commit: &Commit) -> Result<(), LimitExceeded> {
        if let Some((bytes, key)) = largest_value(commit)
            && bytes > self.value_bytes
        {
            let key = key.to_string();
            let limit = self.value_bytes;
            return Err(LimitExceeded::Value { key, bytes, limit });
        }
        let (count, limit) = (commit.changes.len(), self.txn_ops);
        if count > limit {
            return Err(LimitExceeded::Changes { count, limit });
        }
        let (count, limit) = (commit.conditions.len(), self.max_conditions());
        if count > limit {
            return Err(LimitExceeded::Conditions { count, limit });
        }
        let bytes = approximate_bytes(commit);
        if bytes > MAX_TRANSACTION {
            return Err(LimitExceeded::Whole { bytes });
        }
        Ok(())
    }

    /// Returns the largest number of conditions that a transaction may have.
    pub fn max_conditions(&self) -> usize {
        self.txn_ops * CONDITIONS_PER_CHANGE
    }

    /// Lowers the limits to three quarters of what a refused transaction used: its largest value,
    /// and its number of changes or, if larger, the number of changes that its conditions require.
    /// No limit is raised, or lowered below its lower bound. Returns whether a limit has changed.
    fn lower_below(&mut self, refused: &Commit) -> bool {
        let before = (self.value_bytes, self.txn_ops);
        if let Some((bytes, _)) = largest_value(refused) {
            let lowered = (bytes * 3 / 4).max(MIN_VALUE_BYTES);
            self.set_value_bytes(self.value_bytes.min(lowered));
        }
        let conditions = refused.conditions.len().div_ceil(CONDITIONS_PER_CHANGE);
        let used = refused.changes.len().max(conditions);
        let lowered = (used * 3 / 4).max(MIN_TXN_OPS);
        self.txn_ops = self.txn_ops.min(lowered);
        before != (self.value_bytes, self.txn_ops)
    }
}

impl Controller {
    /// Lowers the limits after the state service has refused a transaction as malformed.
    pub fn commit_refused_as_malformed(&mut self, refused: &Commit) {
        if self.config.lower_below(refused) {
            tracing::warn!(
                value_bytes = self.config.value_bytes,
                changes = self.config.txn_ops,
                "lowered the limits on transactions: the state service refused one as malformed"
            );
        }
    }

    /// Lowers the rate of writes to the announced rate, if that is smaller, when the state service
    /// answers for the first time that it receives too many requests.
    pub fn state_is_busy(&mut self, now: Millis) {
        let next = self.config.next_writes_per_s;
        if next >= self.config.writes_per_s {
            return;
        }
        tracing::info!(
            writes_per_s = next,
            "lowered the rate of writes to the announced rate"
        );
        self.config.set_writes_per_s(next);
        for shard in &mut self.shards {
            shard.budget.set_rate(self.config.cycle_writes_per_s, now);
        }
        self.leader.set_write_rates(&self.config, now);
        self.set_user_rate(now);
    }
}
