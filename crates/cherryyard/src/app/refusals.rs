//! Transactions that the state service has called malformed, or that exceed its limits:
//! none of them is sent again unchanged.

use cherryyard_core::state_limits::LimitExceeded;
use cherryyard_wire::state::Commit;
use std::collections::VecDeque;
use xxhash_rust::xxh3::xxh3_64;

/// Refused transactions that are remembered.
const MOST: usize = 64;

/// What has been refused lately.
#[derive(Debug, Default)]
pub(crate) struct Refusals {
    /// Hashes of refused transactions, the oldest first.
    hashes: VecDeque<u64>,
    /// Whether an excess has been told in the log; later ones are told at debug level.
    told: bool,
}

fn hash(commit: &Commit) -> u64 {
    // A transaction without a JSON form is never sent.
    let text = serde_json::to_vec(commit).unwrap_or_default();
    xxh3_64(&text)
}

impl Refusals {
    /// Remembers a transaction that the state service has called malformed.
    pub(crate) fn note(&mut self, commit: &Commit) {
        if self.hashes.len() >= MOST {
            self.hashes.pop_front();
        }
        self.hashes.push_back(hash(commit));
    }

    /// Whether a transaction is not to be sent: it has an `excess`, or it has been
    /// refused as it is.
    pub(crate) fn forbids(&mut self, commit: &Commit, excess: Option<LimitExceeded>) -> bool {
        if let Some(excess) = excess {
            self.tell(&excess);
            return true;
        }
        if self.hashes.is_empty() {
            return false;
        }
        self.hashes.contains(&hash(commit))
    }

    fn tell(&mut self, excess: &LimitExceeded) {
        if std::mem::replace(&mut self.told, true) {
            tracing::debug!("a transaction is not sent: {excess}");
        } else {
            tracing::error!("a transaction is not sent: {excess}");
        }
    }
}
