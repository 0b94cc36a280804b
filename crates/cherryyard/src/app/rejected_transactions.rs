//! Transactions that the state service has called malformed, or that exceed its limits:
//! none of them is sent again unchanged.

use cherryyard_core::state_limits::LimitExceeded;
use cherryyard_wire::state::Commit;
use std::collections::VecDeque;
use xxhash_rust::xxh3::xxh3_64;

/// Rejected transactions that are remembered.
const MAX_REMEMBERED: usize = 64;

/// Transactions that were rejected lately.
#[derive(Debug, Default)]
pub(crate) struct RejectedTransactions {
    /// Their hashes, the oldest first.
    hashes: VecDeque<u64>,
    /// Whether an excess has been logged; later ones are logged at debug level.
    excess_logged: bool,
}

fn hash(commit: &Commit) -> u64 {
    // A transaction without a JSON form is never sent.
    let text = serde_json::to_vec(commit).unwrap_or_default();
    xxh3_64(&text)
}

impl RejectedTransactions {
    /// Remembers a transaction that the state service has called malformed.
    pub(crate) fn remember(&mut self, commit: &Commit) {
        if self.hashes.len() >= MAX_REMEMBERED {
            self.hashes.pop_front();
        }
        self.hashes.push_back(hash(commit));
    }

    /// Whether a transaction is not to be sent: it has an `excess`, or it has been
    /// refused as it is.
    pub(crate) fn forbids(&mut self, commit: &Commit, excess: Option<LimitExceeded>) -> bool {
        if let Some(excess) = excess {
            self.log_excess(&excess);
            return true;
        }
        if self.hashes.is_empty() {
            return false;
        }
        self.hashes.contains(&hash(commit))
    }

    fn log_excess(&mut self, excess: &LimitExceeded) {
        if std::mem::replace(&mut self.excess_logged, true) {
            tracing::debug!("transaction beyond the limits not sent: {excess}");
        } else {
            tracing::error!("transaction beyond the limits not sent: {excess}");
        }
    }
}
