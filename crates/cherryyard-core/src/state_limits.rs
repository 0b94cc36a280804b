//! Limits of the state service: which transactions may be sent, and what follows when
//! the service refuses one as too large or too many.
//!
//! Every writer plans its transactions within the limits of [`Config`], which are the
//! smaller of those in force and those that are announced. If the service calls a
//! transaction malformed all the same, the limits are lowered below what that transaction had,
//! so its writer plans a smaller one: it is divided, waits, or is refused, and is
//! never sent again unchanged.

use crate::controller::Controller;
use crate::{Config, Millis};
use cherryyard_wire::state::{Apply, Commit};

/// Conditions that a transaction may have for each change that it may have.
pub const CONDITIONS_PER_CHANGE: usize = 4;
/// Bytes that a transaction may have, with its conditions.
pub const MAX_TRANSACTION: usize = 64 * 1024;
/// Limits are not lowered below these: a service with smaller ones cannot be used.
const MIN_VALUE_BYTES: usize = 768;
const MIN_TXN_OPS: usize = 2;
/// About how many bytes a condition or a change takes beside its key and value.
const OVERHEAD_BYTES: usize = 45;

/// The limit that a transaction exceeds.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
pub enum LimitExceeded {
    /// A value is too large.
    #[error("{key}: a value of {bytes} bytes, and {most} are allowed")]
    Value {
        /// The key.
        key: String,
        /// Bytes of its value.
        bytes: usize,
        /// The limit.
        most: usize,
    },
    /// There are too many changes.
    #[error("{count} changes, and {most} are allowed")]
    Changes {
        /// How many.
        count: usize,
        /// The limit.
        most: usize,
    },
    /// There are too many conditions.
    #[error("{count} conditions, and {most} are allowed")]
    Conditions {
        /// How many.
        count: usize,
        /// The limit.
        most: usize,
    },
    /// It is too large as a whole.
    #[error("{bytes} bytes, and {MAX_TRANSACTION} are allowed")]
    Whole {
        /// About how many bytes it has.
        bytes: usize,
    },
}

/// Bytes of the largest value that a transaction puts, and its key.
fn largest_value(commit: &Commit) -> Option<(usize, &str)> {
    let sizes = commit.apply.iter().filter_map(|change| match change {
        Apply::Set { set, value, .. } => Some((value.text().len(), set.as_str())),
        Apply::Delete { .. } => None,
    });
    sizes.max_by_key(|size| size.0)
}

/// About how many bytes a transaction has in all.
fn whole_bytes(commit: &Commit) -> usize {
    let conditions = commit.when.iter();
    let conditions = conditions.map(|condition| condition.key.len() + OVERHEAD_BYTES);
    let changes = commit.apply.iter();
    let changes = changes.map(|change| change.key().len() + OVERHEAD_BYTES);
    commit.bytes() + conditions.sum::<usize>() + changes.sum::<usize>()
}

impl Config {
    /// Whether a transaction keeps within the limits.
    pub fn check_commit(&self, commit: &Commit) -> Result<(), LimitExceeded> {
        if let Some((bytes, key)) = largest_value(commit)
            && bytes > self.value_bytes
        {
            let key = key.to_string();
            let most = self.value_bytes;
            return Err(LimitExceeded::Value { key, bytes, most });
        }
        let (count, most) = (commit.apply.len(), self.txn_ops);
        if count > most {
            return Err(LimitExceeded::Changes { count, most });
        }
        let (count, most) = (commit.when.len(), self.max_conditions());
        if count > most {
            return Err(LimitExceeded::Conditions { count, most });
        }
        let bytes = whole_bytes(commit);
        if bytes > MAX_TRANSACTION {
            return Err(LimitExceeded::Whole { bytes });
        }
        Ok(())
    }

    /// Most conditions of a transaction.
    pub fn max_conditions(&self) -> usize {
        self.txn_ops * CONDITIONS_PER_CHANGE
    }

    /// Lowers the limits below what a refused transaction had; returns whether any has changed.
    fn lower_below(&mut self, refused: &Commit) -> bool {
        let before = (self.value_bytes, self.txn_ops);
        if let Some((bytes, _)) = largest_value(refused) {
            let lowered = (bytes * 3 / 4).max(MIN_VALUE_BYTES);
            self.set_value_bytes(self.value_bytes.min(lowered));
        }
        let conditions = refused.when.len().div_ceil(CONDITIONS_PER_CHANGE);
        let used = refused.apply.len().max(conditions);
        let lowered = (used * 3 / 4).max(MIN_TXN_OPS);
        self.txn_ops = self.txn_ops.min(lowered);
        before != (self.value_bytes, self.txn_ops)
    }
}

impl Controller {
    /// The state service has called a transaction malformed: what is written from now
    /// on is smaller.
    pub fn commit_refused_as_malformed(&mut self, refused: &Commit) {
        if self.config.lower_below(refused) {
            tracing::warn!(
                value_bytes = self.config.value_bytes,
                changes = self.config.txn_ops,
                "a transaction was refused as too large; from now on these are the limits"
            );
        }
    }

    /// The state service has answered that there are too many requests: from the first
    /// time on, the announced rate of writes is kept to if it is the smaller one.
    pub fn state_is_busy(&mut self, now: Millis) {
        let next = self.config.next_writes_per_s;
        if next >= self.config.writes_per_s {
            return;
        }
        tracing::info!(
            writes_per_s = next,
            "the announced rate of writes is kept to"
        );
        self.config.set_writes_per_s(next);
        for shard in &mut self.shards {
            shard.budget.set_rate(self.config.cycle_writes_per_s, now);
        }
        self.leader.set_write_rates(&self.config, now);
        self.set_user_rate(now);
    }
}
