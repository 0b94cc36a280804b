//! Transactions that the state service has rejected as malformed, or that exceed its limits.
//! Such a transaction is not sent again unchanged.

use cherryyard_core::state_limits::LimitExceeded;
use cherryyard_wire::state::Commit;
use std::collections::VecDeque;
use xxhash_rust::xxh3::xxh3_64;

/// Most rejected transactions that are remembered.
const MAX_REMEMBERED: usize = 64;

/// Transactions that were rejected recently.
#[derive(Debug, Default)]
pub(crate) struct RejectedTransactions {
    /// Hashes of the rejected transactions, oldest first.
    hashes: VecDeque<u64>,
    /// Whether a transaction beyond the limits has been logged as an error; later ones are
    /// logged at debug level.
    limit_exceeded_logged: bool,
}

/// Returns the hash of a transaction's JSON form.
fn hash(commit: &Commit) -> u64 {
    // Empty if the transaction has no JSON form; such a transaction is never sent.
    let text = serde_json::to_vec(commit).unwrap_or_default();
    xxh3_64(&text)
}

impl RejectedTransactions {
    /// Remembers a transaction that the state service has rejected as malformed.
    pub(crate) fn remember(&mut self, commit: &Commit) {
        if self.hashes.len() >= MAX_REMEMBERED {
            self.hashes.pop_front();
        }
        self.hashes.push_back(hash(commit));
    }

    /// Returns whether a transaction must not be sent: because it exceeds a limit, which is
    /// logged, or because the same transaction was rejected recently.
    pub(crate) fn forbids(
        &mut self,
        commit: &Commit,
        limit_exceeded: Option<LimitExceeded>,
    ) -> bool {
        if let Some(limit_exceeded) = limit_exceeded {
            self.log_limit_exceeded(&limit_exceeded);
            return true;
        }
        if self.hashes.is_empty() {
            return false;
        }
        self.hashes.contains(&hash(commit))
    }

    fn log_limit_exceeded(&mut self, limit_exceeded: &LimitExceeded) {
        if std::mem::replace(&mut self.limit_exceeded_logged, true) {
            tracing::debug!("transaction not sent, it exceeds a limit: {limit_exceeded}");
        } else {
            tracing::error!("transaction not sent, it exceeds a limit: {limit_exceeded}");
        }
    }
}
